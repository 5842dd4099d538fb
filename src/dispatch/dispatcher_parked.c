/*
 * Requests that come before the routing table: a fresh entry reads it within
 * 0.1 s, and what came meanwhile is taken then.
 *
 * The load that it answers: all entries start at once after a loss of power,
 * and the callers, who are there already, come in the first moments.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

void
dispatch_parked_free(gpointer data)
{
	struct parked *p = data;

	g_free((gpointer)p->work.spec);
	g_free((gpointer)p->work.steps);
	g_free(p);
}

/*
 * Keeps a request; returns false when there are too many, or its names are too
 * long for any route.
 */
bool
dispatch_park(struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev)
{
	const struct mlk_work *work = ev->u.submit.work;
	struct parked *p;

	if (g_queue_get_length(&d->parked) >= PARKED_MAX ||
	    strlen(ev->u.submit.host) >= MLK_HOST_MAX ||
	    strlen(ev->u.submit.path) >= MLK_HOST_MAX)
		return (false);
	p = g_new0(struct parked, 1);
	p->request = ev->u.submit.request;
	p->deadline_ms = ev->u.submit.deadline_ms;
	p->arrived = d->now;
	(void)g_strlcpy(
	    p->request_id, ev->u.submit.request_id, sizeof(p->request_id));
	(void)g_strlcpy(p->host, ev->u.submit.host, sizeof(p->host));
	(void)g_strlcpy(p->path, ev->u.submit.path, sizeof(p->path));
	p->valid = work != NULL;
	if (work != NULL) {
		p->work = *work;
		p->work.spec = g_memdup2(work->spec, work->spec_len);
		p->work.steps =
		    g_memdup2(work->steps, work->nsteps * sizeof(*work->steps));
		/* The text is the event's; the fact is what counts. */
		if (work->unsupported != NULL)
			p->work.unsupported = "not built";
	}
	g_queue_push_tail(&d->parked, p);
	return (true);
}

static void
event_of(const struct parked *p, struct mlk_dispatch_event *ev)
{
	memset(ev, 0, sizeof(*ev));
	ev->type = MLK_DISPATCH_SUBMIT;
	ev->u.submit.request = p->request;
	ev->u.submit.request_id = p->request_id;
	ev->u.submit.host = p->host;
	ev->u.submit.path = p->path;
	ev->u.submit.deadline_ms = p->deadline_ms;
	ev->u.submit.work = p->valid ? &p->work : NULL;
}

/*
 * The routing table is there: takes what has waited, with the time that is
 * left of its deadline.
 */
void
dispatch_unpark(struct mlk_dispatcher *d)
{
	struct mlk_dispatch_event ev;
	struct parked *p;
	uint32_t waited_ms;

	while ((p = g_queue_pop_head(&d->parked)) != NULL) {
		waited_ms = (uint32_t)((d->now - p->arrived) / MS);
		event_of(p, &ev);
		if (p->deadline_ms != 0) {
			ev.u.submit.deadline_ms = p->deadline_ms > waited_ms ?
			    p->deadline_ms - waited_ms :
			    1;
		}
		dispatch_submit(d, &ev);
		dispatch_parked_free(p);
	}
}

/*
 * A caller has left; returns whether its request was parked.
 */
bool
dispatch_parked_gone(struct mlk_dispatcher *d, uint64_t request)
{
	struct parked *p;
	GList *l;

	for (l = d->parked.head; l != NULL; l = l->next) {
		p = l->data;
		if (p->request != request)
			continue;
		g_queue_delete_link(&d->parked, l);
		dispatch_parked_free(p);
		return (true);
	}
	return (false);
}

/*
 * Refuses what has waited for the whole warm-up.
 */
void
dispatch_parked_due(struct mlk_dispatcher *d)
{
	struct mlk_dispatch_event ev;
	struct parked *p;

	if (dispatch_warming_up(d))
		return;
	while ((p = g_queue_pop_head(&d->parked)) != NULL) {
		event_of(p, &ev);
		dispatch_refuse(d, &ev, MLK_WORK_REFUSED, "no routing table");
		dispatch_parked_free(p);
	}
}
