/*
 * Links of an entry with agents and with peers, and what peers exchange: their
 * addresses and newer routing tables.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

uint64_t
dispatch_now_ms(const struct mlk_dispatcher *d)
{
	return ((uint64_t)(d->now / MS));
}

/*
 * Appends a message to the effects; the caller fills it before the next one.
 */
struct mlk_msg *
dispatch_send(struct mlk_dispatcher *d, uint32_t link, enum mlk_msg_type type)
{
	struct mlk_dispatch_effect *fx;

	fx = mlk_dispatch_push(d->out, MLK_DISPATCH_FX_SEND);
	if (fx == NULL)
		g_error("out of memory");
	fx->u.send.link = link;
	fx->u.send.msg.type = type;
	return (&fx->u.send.msg);
}

/*
 * Closes a link and drops its state; the link reports no further event.
 */
void
dispatch_close(struct mlk_dispatcher *d, uint32_t link)
{
	struct mlk_dispatch_effect *fx;

	fx = mlk_dispatch_push(d->out, MLK_DISPATCH_FX_CLOSE);
	if (fx != NULL)
		fx->u.close.link = link;
	(void)g_hash_table_remove(d->links, GUINT_TO_POINTER(link));
}

/*
 * Counts and logs an address that is not used.  Addresses come from other
 * processes and from the store, where any writer may have left them.
 */
static struct peer *
ignore_address(struct mlk_dispatcher *d, const char *addr, const char *cause)
{
	d->counters.addrs_ignored++;
	if (d->out != NULL)
		dispatch_log(d, MLK_LOG_WARNING, NULL, NULL,
		    "address of an entry ignored: %s: %s", cause, addr);
	return (NULL);
}

/*
 * Adds the address of an entry.  Returns the peer, or NULL for this entry's
 * own address, for one that cannot be used, and when the table is full.
 */
struct peer *
dispatch_peer_learn(struct mlk_dispatcher *d, const char *addr, bool configured)
{
	struct peer *p;
	guint i;

	if (strcmp(addr, d->options.self.addr) == 0)
		return (NULL);
	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (strcmp(p->addr, addr) == 0) {
			p->configured = p->configured || configured;
			return (p);
		}
	}
	if (!mlk_addr_valid(addr))
		return (ignore_address(d, addr, "not ip:port"));
	if (d->peers->len >= PEERS_MAX)
		return (ignore_address(d, addr, "too many entries"));
	p = g_new0(struct peer, 1);
	(void)g_strlcpy(p->addr, addr, sizeof(p->addr));
	p->configured = configured;
	p->retry_ns = CONNECT_RETRY_NS;
	p->reached_at = d->now;
	g_ptr_array_add(d->peers, p);
	return (p);
}

/*
 * Appends a PEERS message with space for all peers.
 */
static struct mlk_msg *
push_peers(struct mlk_dispatcher *d, uint32_t link)
{
	struct mlk_msg *msg;

	msg = dispatch_send(d, link, MLK_MSG_PEERS);
	msg->u.peers.peers =
	    calloc(d->peers->len + 1, sizeof(*msg->u.peers.peers));
	if (msg->u.peers.peers == NULL)
		g_error("out of memory");
	return (msg);
}

/*
 * Sends the full peer list: this entry and the entries that it is connected to.
 */
void
dispatch_send_peers(struct mlk_dispatcher *d, uint32_t link)
{
	const struct peer *p;
	struct mlk_msg *msg;
	guint i;

	msg = push_peers(d, link);
	msg->u.peers.peers[msg->u.peers.n++] = d->options.self;
	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (p->link != 0 && p->info.id[0] != '\0')
			msg->u.peers.peers[msg->u.peers.n++] = p->info;
	}
}

/*
 * Sends the peers that are new, or have restarted, since the last broadcast.
 */
static void
send_peer_updates(struct mlk_dispatcher *d, uint32_t link)
{
	const struct peer *p;
	struct mlk_msg *msg;
	guint i;

	msg = push_peers(d, link);
	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (p->unannounced)
			msg->u.peers.peers[msg->u.peers.n++] = p->info;
	}
}

/*
 * Sends new peers to all agents, in one message per tick.  This bounds the
 * messages when hundreds of machines start at once.
 */
static void
broadcast_peer_updates(struct mlk_dispatcher *d)
{
	struct agent *a;
	guint i;

	if (!d->peers_changed)
		return;
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (a->link != 0)
			send_peer_updates(d, a->link);
	}
	for (i = 0; i < d->peers->len; i++)
		((struct peer *)g_ptr_array_index(d->peers, i))->unannounced =
		    false;
	d->peers_changed = false;
}

/*
 * Sends the full peer list to one agent, in rotation: agents forget entries
 * that they have not reached for a long time.
 */
static void
send_full_list(struct mlk_dispatcher *d)
{
	struct agent *a;
	guint i;

	if (d->now < d->full_list_at)
		return;
	d->full_list_at = d->now + FULL_LIST_INTERVAL_NS;
	for (i = 0; i < d->agents->len; i++) {
		d->full_list_last = (d->full_list_last + 1) % d->agents->len;
		a = g_ptr_array_index(d->agents, d->full_list_last);
		if (a->link == 0)
			continue;
		dispatch_send_peers(d, a->link);
		return;
	}
}

static void
send_hello(struct mlk_dispatcher *d, uint32_t link)
{
	struct mlk_msg *msg;

	msg = dispatch_send(d, link, MLK_MSG_PEER_HELLO);
	msg->u.peer_hello.self = d->options.self;
	msg->u.peer_hello.config_version = d->routing.version;
	dispatch_evacuations_newer(d, link, 0);
}

static struct peer *
peer_of_connect(struct mlk_dispatcher *d, uint32_t connect)
{
	struct peer *p;
	guint i;

	for (i = 0; connect != 0 && i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (p->connect == connect)
			return (p);
	}
	return (NULL);
}

void
dispatch_link_up(struct mlk_dispatcher *d, uint32_t link, uint32_t connect)
{
	struct link *l;
	struct peer *p;

	if (g_hash_table_size(d->links) >= LINKS_MAX) {
		dispatch_close(d, link);
		return;
	}
	l = g_new0(struct link, 1);
	l->link = link;
	(void)g_hash_table_insert(d->links, GUINT_TO_POINTER(link), l);
	p = peer_of_connect(d, connect);
	if (p == NULL)
		return;
	l->kind = LINK_PEER_OUT;
	l->peer = p;
	p->connect = 0;
	p->link = link;
	p->last_recv = d->now;
	p->last_sent = d->now;
	p->retry_ns = CONNECT_RETRY_NS;
	send_hello(d, link);
}

static void
peer_down(struct mlk_dispatcher *d, struct peer *p)
{
	p->link = 0;
	p->reached_at = d->now;
	p->retry_at = d->now + p->retry_ns;
}

void
dispatch_link_down(struct mlk_dispatcher *d, uint32_t link, uint32_t connect)
{
	struct link *l;
	struct peer *p;

	p = peer_of_connect(d, connect);
	if (p != NULL) {
		p->connect = 0;
		p->retry_at = d->now + p->retry_ns;
		p->retry_ns = MIN(p->retry_ns * 2, CONNECT_RETRY_MAX_NS);
		return;
	}
	l = g_hash_table_lookup(d->links, GUINT_TO_POINTER(link));
	if (l == NULL)
		return;
	if (l->kind == LINK_AGENT)
		dispatch_agent_down(d, l->agent);
	else if (l->kind == LINK_PEER_OUT)
		peer_down(d, l->peer);
	(void)g_hash_table_remove(d->links, GUINT_TO_POINTER(link));
}

/*
 * Handles PEER_HELLO.  The accepting side replies with its own, so that the
 * initiator learns its id.
 */
static void
on_peer_hello(
    struct mlk_dispatcher *d, struct link *l, const struct mlk_msg *msg)
{
	const struct mlk_peer_info *info = &msg->u.peer_hello.self;
	struct peer *p;

	if (l->kind == LINK_NEW) {
		l->kind = LINK_PEER_IN;
		send_hello(d, l->link);
	}
	(void)g_strlcpy(l->id, info->id, sizeof(l->id));
	p = l->kind == LINK_PEER_OUT ?
	    l->peer :
	    dispatch_peer_learn(d, info->addr, false);
	if (p == NULL)
		return;
	if (p->info.incarnation == info->incarnation)
		return;
	p->info = *info;
	p->retry_at = d->now;
	p->unannounced = true;
	d->peers_changed = true;
}

/*
 * Replaces the routing table if the new one has a higher version; versions
 * never decrease.
 */
void
dispatch_routes(struct mlk_dispatcher *d, const struct mlk_routing *routing)
{
	struct mlk_routing copy;

	if (routing->version <= d->routing.version)
		return;
	if (mlk_routing_copy(&copy, routing) != 0)
		g_error("out of memory");
	mlk_routing_clear(&d->routing);
	d->routing = copy;
	d->counters.routings++;
	dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
	    "routing table %" PRIu64 " in force, %u routes", d->routing.version,
	    d->routing.nroutes);
	dispatch_unpark(d);
}

/*
 * Sends the current routing table to a peer that has a lower version.
 */
static void
send_newer_routes(struct mlk_dispatcher *d, uint32_t link, uint64_t version)
{
	struct mlk_msg *msg;

	if (version >= d->routing.version)
		return;
	msg = dispatch_send(d, link, MLK_MSG_ROUTES);
	if (mlk_routing_copy(&msg->u.routes, &d->routing) != 0)
		g_error("out of memory");
}

static void
agent_msg(struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg)
{
	switch (msg->type) {
	case MLK_MSG_WORKER:
		dispatch_worker(d, a, msg);
		break;
	case MLK_MSG_ENDS:
		dispatch_ends(d, a, msg);
		break;
	case MLK_MSG_OFFER:
		dispatch_offer(d, a, msg);
		break;
	case MLK_MSG_EVACUATIONS:
		dispatch_evacuations_confirmed(
		    d, a, msg->u.evacuations.version);
		break;
	case MLK_MSG_CORUN:
		dispatch_corun(d, a, msg);
		break;
	default:
		dispatch_log(d, MLK_LOG_WARNING, NULL, a->id, "unexpected %s",
		    mlk_msg_name(msg->type));
		break;
	}
}

void
dispatch_msg(struct mlk_dispatcher *d, uint32_t link, const struct mlk_msg *msg)
{
	struct link *l;

	l = g_hash_table_lookup(d->links, GUINT_TO_POINTER(link));
	if (l == NULL)
		return;
	if (l->kind == LINK_PEER_OUT)
		l->peer->last_recv = d->now;
	if (l->kind == LINK_AGENT) {
		agent_msg(d, l->agent, msg);
		return;
	}
	switch (msg->type) {
	case MLK_MSG_ATTACH:
		if (l->kind == LINK_NEW)
			dispatch_attach(d, l, msg);
		break;
	case MLK_MSG_PEER_HELLO:
		on_peer_hello(d, l, msg);
		break;
	case MLK_MSG_PING:
		send_newer_routes(d, link, msg->u.ping.routing_version);
		dispatch_evacuations_newer(d, link, msg->u.ping.evacuations);
		if (l->kind == LINK_PEER_IN) {
			struct mlk_msg *pong;

			pong = dispatch_send(d, link, MLK_MSG_PING);
			pong->u.ping.sent_at = dispatch_now_ms(d);
			pong->u.ping.routing_version = d->routing.version;
			pong->u.ping.evacuations = d->evacuations.version;
		}
		break;
	case MLK_MSG_ROUTES:
		dispatch_routes(d, &msg->u.routes);
		break;
	case MLK_MSG_DEMAND:
		/* An entry that knows itself under two addresses. */
		if (strcmp(msg->u.demand.id, d->options.self.id) == 0)
			break;
		if (d->demand != NULL)
			demand_apply(d->demand, &msg->u.demand, d->now);
		break;
	case MLK_MSG_EVACUATIONS:
		dispatch_evacuations(d, &msg->u.evacuations);
		break;
	case MLK_MSG_VERDICTS:
		dispatch_verdicts(d, l, msg);
		break;
	default:
		dispatch_log(d, MLK_LOG_WARNING, NULL, NULL,
		    "unexpected %s on a link", mlk_msg_name(msg->type));
		break;
	}
}

static void
try_connect(struct mlk_dispatcher *d, struct peer *p)
{
	struct mlk_dispatch_effect *fx;

	fx = mlk_dispatch_push(d->out, MLK_DISPATCH_FX_CONNECT);
	if (fx == NULL)
		return;
	p->connect = ++d->last_connect;
	fx->u.connect.connect = p->connect;
	(void)g_strlcpy(
	    fx->u.connect.addr, p->addr, sizeof(fx->u.connect.addr));
}

/*
 * Returns true when the peer is to be removed.
 */
static bool
peer_due(struct mlk_dispatcher *d, struct peer *p)
{
	struct mlk_msg *msg;

	if (p->link == 0) {
		if (p->connect == 0 && d->now >= p->retry_at && !d->stopping)
			try_connect(d, p);
		return (!p->configured && p->connect == 0 &&
		    d->now - p->reached_at >= PEER_FORGET_NS);
	}
	if (d->now >= d->paused_until &&
	    d->now - p->last_recv >= PEER_TIMEOUT_NS) {
		dispatch_close(d, p->link);
		peer_down(d, p);
		return (false);
	}
	if (d->now - p->last_sent >= PEER_PING_NS) {
		msg = dispatch_send(d, p->link, MLK_MSG_PING);
		msg->u.ping.sent_at = dispatch_now_ms(d);
		msg->u.ping.routing_version = d->routing.version;
		msg->u.ping.evacuations = d->evacuations.version;
		p->last_sent = d->now;
	}
	return (false);
}

/*
 * Connects to peers, sends PING, times out silent peers, and informs agents of
 * changes.
 */
void
dispatch_peers_due(struct mlk_dispatcher *d)
{
	struct peer *p;
	guint i;

	broadcast_peer_updates(d);
	send_full_list(d);
	for (i = d->peers->len; i > 0; i--) {
		p = g_ptr_array_index(d->peers, i - 1);
		if (peer_due(d, p))
			(void)g_ptr_array_remove_index_fast(d->peers, i - 1);
	}
}
