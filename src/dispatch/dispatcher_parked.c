/*
 * Requests that arrive before the routing table.  A new entry reads the table
 * within 0.1 s; these requests are held and submitted then.
 *
 * After a power failure all entries start at once while the callers are already
 * up and send in the first moments.
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
 * Holds a request.  Returns false when too many are held or its host or path is
 * too long for any route.
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
	p->arrived = d->now - ev->u.submit.held;
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
		/* The text belongs to the event; only its presence matters. */
		if (work->unsupported != NULL)
			p->work.unsupported = "not supported";
	}
	g_queue_push_tail(&d->parked, p);
	return (true);
}

static void
parked_event(const struct parked *p, struct mlk_dispatch_event *ev)
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
 * The routing table has arrived: submits the held requests, each with the time
 * that remains until its deadline.
 */
void
dispatch_unpark(struct mlk_dispatcher *d)
{
	struct mlk_dispatch_event ev;
	struct parked *p;
	uint32_t waited_ms;

	while ((p = g_queue_pop_head(&d->parked)) != NULL) {
		waited_ms = (uint32_t)((d->now - p->arrived) / MS);
		parked_event(p, &ev);
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
 * The caller has disconnected.  Returns whether its request was held.
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
 * Refuses the requests that were held for the whole warm-up time.
 */
void
dispatch_parked_due(struct mlk_dispatcher *d)
{
	struct mlk_dispatch_event ev;
	struct parked *p;

	if (dispatch_warming_up(d))
		return;
	while ((p = g_queue_pop_head(&d->parked)) != NULL) {
		parked_event(p, &ev);
		dispatch_refuse(d, &ev, MLK_WORK_REFUSED, "no routing table");
		dispatch_parked_free(p);
	}
}
