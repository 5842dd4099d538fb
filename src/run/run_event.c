/*
 * Conversion of event-loop events to the reducer events that the entry and the
 * agent have in common.
 */
#include <string.h>

#include <monsoonlock/run.h>

static void
link_event(const struct mlk_net_event *nev, enum mlk_event_type type,
    struct mlk_event *ev)
{
	ev->type = type;
	ev->u.link.link = nev->u.link.link;
	ev->u.link.connect = nev->u.link.connect;
}

bool
mlk_event_from_net(const struct mlk_net_event *nev, struct mlk_event *ev)
{
	memset(ev, 0, sizeof(*ev));
	switch (nev->type) {
	case MLK_NET_LINK_UP:
		link_event(nev, MLK_EV_LINK_UP, ev);
		return (true);
	case MLK_NET_LINK_DOWN:
		link_event(nev, MLK_EV_LINK_DOWN, ev);
		return (true);
	case MLK_NET_MSG:
		ev->type = MLK_EV_MSG;
		ev->u.msg.link = nev->u.msg.link;
		ev->u.msg.msg = nev->u.msg.msg;
		return (true);
	case MLK_NET_TICK:
		ev->type = MLK_EV_TICK;
		return (true);
	case MLK_NET_STOP:
		ev->type = MLK_EV_STOP;
		return (true);
	case MLK_NET_HTTP_REQUEST:
	case MLK_NET_HTTP_DROPPED:
	case MLK_NET_HTTP_GONE:
	case MLK_NET_HTTP_RESPONSE:
	case MLK_NET_RELOAD:
		break;
	}
	return (false);
}
