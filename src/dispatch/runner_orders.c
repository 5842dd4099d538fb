/*
 * Orders to the worker and their answers.
 *
 * An order without an answer may be carried out at any later time.  Two things
 * make it void: a higher fence that the worker has seen and, for a start, the
 * end of its lease by the worker's clock.  So after a start without an answer,
 * the fence is raised and a listing is sent under the new fence on a connection
 * where nothing older is in flight; runner_listing.c applies the result.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

/*
 * Appends an order; run is NULL if it concerns no run in the table.  An order
 * that the run still has in flight is detached from it: a listing may show a
 * run active before its start is answered, and its stop follows then.
 */
static struct mlk_order *
order_push(struct mlk_runner *r, enum mlk_order_type type, struct run *run)
{
	struct mlk_runner_effect *fx;
	struct order *order;

	fx = mlk_runner_push(r->out, MLK_RUNNER_FX_ORDER);
	if (fx == NULL)
		g_error("out of memory");
	order = g_new0(struct order, 1);
	order->id = ++r->last_order;
	order->type = type;
	order->run = run;
	order->fence = r->worker.fence;
	order->sent_at = r->now;
	if (run != NULL) {
		runner_orders_forget(r, run);
		run->order = order->id;
	}
	(void)g_hash_table_insert(r->orders, &order->id, order);
	fx->u.order.order = order->id;
	fx->u.order.type = type;
	fx->u.order.fence = order->fence;
	fx->u.order.timeout_ms = ORDER_TIMEOUT_MS;
	(void)g_strlcpy(
	    fx->u.order.worker, r->worker.info.id, sizeof(fx->u.order.worker));
	return (&fx->u.order);
}

/*
 * Sends a start; the resources of the run are reserved already.
 */
void
runner_order_start(struct mlk_runner *r, struct run *run)
{
	struct mlk_order *order;
	struct order *sent;
	gconstpointer data;
	gsize len;

	order = order_push(r, MLK_ORDER_START, run);
	order->name = run->name;
	data = g_bytes_get_data(run->spec, &len);
	if (mlk_blob_copy(&order->spec, data, len) != 0)
		g_error("out of memory");
	sent = g_hash_table_lookup(r->orders, &order->order);
	order->lease_until_ms = runner_lease_until(r, &sent->leases_expired_at);
	run->state = RUN_STARTING;
	run->fence = order->fence;
	run->boot = r->worker.boot;
	run->sent_at = r->now;
	run->tries++;
	r->counters.starts++;
}

/*
 * Sends a stop, unless another agent gives the orders.
 */
void
runner_order_stop(struct mlk_runner *r, struct run *run)
{
	struct mlk_order *order;

	if (runner_superseded(r))
		return;
	order = order_push(r, MLK_ORDER_STOP, run);
	order->name = run->name;
	run->stop_sent_at = r->now;
	r->counters.stops++;
}

/*
 * Stops a run that is not in the table, left by an earlier agent.
 */
void
runner_order_stop_foreign(struct mlk_runner *r, const struct mlk_run_name *name)
{
	struct mlk_order *order;

	order = order_push(r, MLK_ORDER_STOP, NULL);
	order->name = *name;
	r->counters.stops++;
}

/*
 * Appends an order that lists active and ended runs.  It also renews the lease
 * of all runs.
 */
static struct mlk_order *
list_push(struct mlk_runner *r, uint32_t wait_ms)
{
	struct mlk_order *order;
	struct order *sent;

	order = order_push(r, MLK_ORDER_LIST, NULL);
	order->ack = r->worker.acked;
	sent = g_hash_table_lookup(r->orders, &order->order);
	sent->ack = order->ack;
	order->wait_ms = wait_ms;
	order->timeout_ms = wait_ms + ORDER_TIMEOUT_MS;
	/*
	 * The lease is not renewed at a worker that is away: the worker may
	 * still act on an order that it does not answer, and the lease has to
	 * expire before the runs count as lost.
	 */
	if (r->nactive > 0 && !runner_away(r))
		order->lease_until_ms =
		    runner_lease_until(r, &sent->leases_expired_at);
	r->counters.lists++;
	return (order);
}

/*
 * Sends the listing that confirms the current fence, on a new connection if
 * `fresh` is set.
 */
void
runner_order_list_fence(struct mlk_runner *r, bool fresh)
{
	struct mlk_order *order;

	order = list_push(r, 0);
	order->channel = CHANNEL_FENCE;
	order->fresh = fresh;
	r->counters.lists_fresh += fresh;
	r->worker.fence_list = order->order;
}

void
runner_order_list(struct mlk_runner *r, uint32_t slot, uint32_t wait_ms)
{
	struct mlk_order *order;

	order = list_push(r, wait_ms);
	order->channel = slot;
	r->worker.lists[slot] = order->order;
	r->worker.list_sent_at = r->now;
}

/*
 * Sends the listing that asks the worker whether it has the announced identity.
 * It neither renews a lease nor acknowledges ends.
 */
void
runner_order_list_candidate(struct mlk_runner *r)
{
	struct candidate *c = &r->worker.candidate;
	struct mlk_order *order;

	order = order_push(r, MLK_ORDER_LIST, NULL);
	(void)g_strlcpy(
	    order->worker, c->announced.info.id, sizeof(order->worker));
	order->fresh = true;
	c->list = order->order;
	r->counters.lists++;
	r->counters.lists_fresh++;
}

/*
 * Detaches a run from its order before the run is freed.
 */
void
runner_orders_forget(struct mlk_runner *r, const struct run *run)
{
	struct order *order;

	if (run->order == 0)
		return;
	order = g_hash_table_lookup(r->orders, &run->order);
	if (order != NULL)
		order->run = NULL;
}

/*
 * Raises the fence.  All orders without an answer become void when a listing
 * under the new fence is answered.
 */
void
runner_fence_raise(struct mlk_runner *r, const char *cause)
{
	r->worker.fence++;
	r->worker.fence_unconfirmed = true;
	r->counters.fences++;
	runner_log(r, MLK_LOG_INFO, NULL, "fence raised to %" PRIu64 ": %s",
	    r->worker.fence, cause);
}

/*
 * Tells whether another agent gives the orders to the worker at present.
 */
bool
runner_superseded(const struct mlk_runner *r)
{
	return (r->worker.superseded_until != 0);
}

/*
 * The worker has accepted a higher fence after it had accepted ours: another
 * agent has taken it over, perhaps while this process was paused.  That agent
 * stops the runs of this one; here they end when their leases have expired.
 */
static void
stand_down(struct mlk_runner *r)
{
	struct worker *w = &r->worker;

	w->stand_down =
	    CLAMP(w->stand_down * 2, STAND_DOWN_MIN_NS, STAND_DOWN_MAX_NS);
	w->superseded_until = r->now + w->stand_down;
	r->counters.superseded++;
	runner_log(r, MLK_LOG_WARNING, NULL,
	    "another agent has taken over the worker: fence %" PRIu64
	    " is rejected; no orders for %" PRId64 " ms, %u runs active",
	    w->fence, w->stand_down / MS, r->nactive);
}

/*
 * Raises the fence above one that the worker has seen, in doubling steps since
 * the value is unknown.
 */
static void
outbid_fence(struct mlk_runner *r)
{
	struct worker *w = &r->worker;

	w->fence += 1ULL << (FENCE_SHIFT + MIN(w->fence_rejections, 32U));
	w->fence_rejections++;
	w->fence_unconfirmed = true;
	r->counters.fences++;
	runner_log(r, MLK_LOG_NOTICE, NULL,
	    "the worker has seen a higher fence; trying %" PRIu64, w->fence);
}

/*
 * The worker rejected an order by its fence.  An order below the current fence
 * is only outdated.  Before this boot has accepted a fence of this agent, the
 * higher one is that of an earlier agent, or of an order to an earlier boot.
 */
static void
on_fenced(struct mlk_runner *r, const struct order *order)
{
	if (order->fence < r->worker.fence || runner_superseded(r))
		return;
	if (r->worker.fence_held)
		stand_down(r);
	else
		outbid_fence(r);
}

/*
 * Takes the worker over again when the time without orders is over, as an agent
 * does that has just started: the other one may have died, or the higher fence
 * was that of a delayed order of a dead one.
 */
void
runner_take_over_due(struct mlk_runner *r)
{
	struct worker *w = &r->worker;

	if (!runner_superseded(r) || r->now < w->superseded_until ||
	    r->nactive > 0 || r->stopping)
		return;
	w->superseded_until = 0;
	w->fence_held = false;
	w->no_foreign_runs = false;
	w->list_after = r->now;
	r->claimed_at = r->now;
	r->predecessor_done = false;
	outbid_fence(r);
}

/*
 * Tells whether the worker, as announced by its present boot, may get the
 * starts of all runs in the table.  Their resources were reserved under the
 * capacity of the boot at that time.
 */
bool
runner_takes_reserved(const struct mlk_runner *r)
{
	const struct worker *w = &r->worker;

	return (w->known && w->left_at == 0 && w->boot == w->info.boot &&
	    w->info.state == MLK_WORKER_READY &&
	    mlk_resources_fit(&w->info.capacity, &r->reserved));
}

bool
runner_may_start_again(const struct mlk_runner *r, const struct run *run)
{
	return (!run->stop_wanted && run->tries < START_TRIES_MAX &&
	    !runner_superseded(r) && !runner_evacuated(r) &&
	    r->now < run->deadline && runner_takes_reserved(r) &&
	    runner_lease_end(r) - r->now >= LEASE_MIN_NS);
}

/*
 * Repeats a start with the next run number and the current fence, or ends the
 * run as refused.
 */
static void
start_again(struct mlk_runner *r, struct run *run)
{
	if (!runner_may_start_again(r, run)) {
		runner_run_ended(r, run, MLK_RUN_REFUSED);
		return;
	}
	/* An earlier submission of the job may have used some run numbers. */
	run->name.run += run->tries;
	r->counters.starts_again++;
	runner_run_begin(r, run);
}

static void
start_ended(
    struct mlk_runner *r, struct run *run, const struct mlk_runner_event *ev)
{
	switch (ev->u.order.result) {
	case MLK_ORDER_OK:
		runner_run_confirmed(r, run);
		return;
	case MLK_ORDER_FENCED:
	case MLK_ORDER_STALE_RUN:
	case MLK_ORDER_LEASE_EXPIRED:
	case MLK_ORDER_NOT_SENT:
		start_again(r, run);
		return;
	case MLK_ORDER_NO_ANSWER:
		r->counters.starts_unanswered++;
		run->state = RUN_UNCONFIRMED;
		runner_log(r, MLK_LOG_INFO, run, "start of %u.%u got no answer",
		    run->name.step, run->name.index);
		return;
	case MLK_ORDER_NO_ROOM:
		runner_log(r, MLK_LOG_WARNING, run,
		    "the worker has no room for %u.%u; expected %u of cpu to "
		    "be free",
		    run->name.step, run->name.index, runner_free(r).cpu);
		runner_run_ended(r, run, MLK_RUN_BUSY);
		return;
	case MLK_ORDER_INVALID:
	case MLK_ORDER_UNHEALTHY:
	case MLK_ORDER_OTHER_WORKER:
		runner_log(r, MLK_LOG_INFO, run,
		    "start of %u.%u refused by the worker, result %d",
		    run->name.step, run->name.index, (int)ev->u.order.result);
		runner_run_ended(r, run, MLK_RUN_REFUSED);
		return;
	}
}

/*
 * The end of a run is taken only from a listing; an answered stop makes the
 * next listing due at once.
 */
static void
stop_ended(struct mlk_runner *r, const struct mlk_runner_event *ev)
{
	if (ev->u.order.result == MLK_ORDER_OK)
		r->worker.list_after = r->now;
}

static bool
was_answered(enum mlk_order_result result)
{
	return (result != MLK_ORDER_NO_ANSWER && result != MLK_ORDER_NOT_SENT);
}

/*
 * Updates what is known of the worker's life.  An answered listing names it,
 * see runner_listed().
 */
static void
note_life(struct mlk_runner *r, const struct order *order,
    const struct mlk_runner_event *ev)
{
	enum mlk_order_result result = ev->u.order.result;
	struct life *life = &r->worker.life;

	if (!was_answered(result))
		life_unanswered(life, order->sent_at, r->now);
	else if (result == MLK_ORDER_OTHER_WORKER)
		life_doubt(life, r->now);
	else if ((order->type != MLK_ORDER_LIST || result != MLK_ORDER_OK) &&
	    ev->u.order.clock_ms > 0 &&
	    life_answered(life, ev->u.order.clock_ms, order->sent_at, r->now)) {
		r->counters.lives_doubted++;
		runner_log(r, MLK_LOG_INFO, NULL,
		    "the worker's clock shows %" PRId64
		    " ms, not what follows from %" PRId64
		    " ms: it may have restarted",
		    ev->u.order.clock_ms, life->clock_ms);
	}
}

/*
 * Updates what is known of the worker's liveness, life, clock and fence.
 */
static void
note_answer(struct mlk_runner *r, const struct order *order,
    const struct mlk_runner_event *ev)
{
	enum mlk_order_result result = ev->u.order.result;

	note_life(r, order, ev);
	if (result != MLK_ORDER_NOT_SENT)
		r->worker.leases_expired_at =
		    MAX(r->worker.leases_expired_at, order->leases_expired_at);
	if (order->type == MLK_ORDER_START && result != MLK_ORDER_NOT_SENT)
		runner_health_started(r, was_answered(result));
	if (!was_answered(result)) {
		runner_unanswered(r, result != MLK_ORDER_NOT_SENT);
		/* Listings and stops are harmless when carried out late. */
		if (result == MLK_ORDER_NO_ANSWER &&
		    order->type == MLK_ORDER_START &&
		    order->fence == r->worker.fence)
			runner_fence_raise(r, "a start got no answer");
		return;
	}
	runner_answered(r);
	runner_note_clock(r, ev->u.order.clock_ms);
	if (result == MLK_ORDER_FENCED)
		on_fenced(r, order);
	else if (order->fence == r->worker.fence)
		r->worker.fence_rejections = 0;
	/* A worker with another id answered; its announcement will follow. */
	if (result == MLK_ORDER_OTHER_WORKER) {
		r->worker.no_foreign_runs = false;
		r->worker.list_after = r->now + PROBE_NS;
		runner_disowned(r, order);
	}
}

/*
 * Handles the answer to the listing for the candidate.  It says nothing of the
 * identity in use, but shows whether a worker is there.
 */
static void
candidate_ended(struct mlk_runner *r, const struct mlk_runner_event *ev)
{
	struct candidate *c = &r->worker.candidate;
	enum mlk_order_result result = ev->u.order.result;

	c->list = 0;
	if (was_answered(result)) {
		runner_answered(r);
		if (!c->replaced)
			runner_candidate_listed(r, ev);
	} else {
		runner_unanswered(r, result != MLK_ORDER_NOT_SENT);
		c->list_after = r->now + PROBE_NS;
	}
	c->replaced = false;
}

/*
 * Delays the next listing after one without an answer.  A connection that is
 * reset ends the listing at once, and without a delay the next one would follow
 * on a new connection after one round trip.
 */
static void
list_unanswered(struct worker *w, const struct order *order)
{
	w->list_retry =
	    CLAMP(w->list_retry * 2, LIST_RETRY_NS, LIST_RETRY_MAX_NS);
	w->list_after = MAX(w->list_after, order->sent_at + w->list_retry);
}

static void
list_ended(struct mlk_runner *r, const struct mlk_runner_event *ev,
    const struct order *order)
{
	uint32_t i;

	for (i = 0; i < LISTS_MAX; i++) {
		if (r->worker.lists[i] == order->id)
			r->worker.lists[i] = 0;
	}
	if (r->worker.fence_list == order->id)
		r->worker.fence_list = 0;
	if (was_answered(ev->u.order.result))
		r->worker.list_retry = 0;
	else
		runner_waiting_unanswered(r);
	if (ev->u.order.result == MLK_ORDER_OK)
		runner_listed(r, ev, order);
	else if (ev->u.order.result == MLK_ORDER_NO_ANSWER)
		list_unanswered(&r->worker, order);
	else
		r->worker.list_after =
		    MAX(r->worker.list_after, r->now + LIST_RETRY_NS);
}

/*
 * Handles the result of an order.
 */
void
runner_order_ended(struct mlk_runner *r, const struct mlk_runner_event *ev)
{
	struct order *order;
	struct run *run;

	order = g_hash_table_lookup(r->orders, &ev->u.order.order);
	if (order == NULL)
		return;
	if (order->id == r->worker.candidate.list) {
		(void)g_hash_table_steal(r->orders, &ev->u.order.order);
		candidate_ended(r, ev);
		g_free(order);
		return;
	}
	/* This may end the run, which clears order->run. */
	note_answer(r, order, ev);
	(void)g_hash_table_steal(r->orders, &ev->u.order.order);
	run = order->run;
	if (run != NULL && run->order == order->id)
		run->order = 0;
	if (order->type == MLK_ORDER_LIST) {
		list_ended(r, ev, order);
	} else if (order->type == MLK_ORDER_STOP) {
		stop_ended(r, ev);
	} else if (run != NULL && run->state == RUN_STARTING) {
		start_ended(r, run, ev);
	}
	g_free(order);
}
