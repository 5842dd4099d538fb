/*
 * Orders to the worker and their answers.
 *
 * An order without an answer may be carried out at any later time.  Two
 * things void it: a higher fence that the worker has seen, and for a start the
 * end of its lease on the worker's clock.  So after a missing answer the fence
 * is raised and a listing is asked for under the new one, on a new connection;
 * see runner_listing.c for what follows from it.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

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
 * Sends a start.  The run holds its room already.
 */
void
runner_order_start(struct mlk_runner *r, struct run *run)
{
	struct mlk_order *order;
	gconstpointer data;
	gsize len;

	order = order_push(r, MLK_ORDER_START, run);
	order->name = run->name;
	data = g_bytes_get_data(run->spec, &len);
	if (mlk_blob_copy(&order->spec, data, len) != 0)
		g_error("out of memory");
	order->lease_until_ms = runner_lease_until(r);
	run->state = RUN_STARTING;
	run->order = order->order;
	run->fence = order->fence;
	run->sent_at = r->now;
	run->tries++;
	r->counters.starts++;
}

void
runner_order_stop(struct mlk_runner *r, struct run *run)
{
	struct mlk_order *order;

	order = order_push(r, MLK_ORDER_STOP, run);
	order->name = run->name;
	run->order = order->order;
	run->stop_sent_at = r->now;
	r->counters.stops++;
}

/*
 * Stops a run that is not in the table: an earlier agent's.
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
 * Asks what runs and what has ended, and renews the lease of all runs.
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
	/* A worker that is away may take what it does not answer. */
	if (r->nactive > 0 && !runner_away(r))
		order->lease_until_ms = runner_lease_until(r);
	r->counters.lists++;
	return (order);
}

/*
 * The listing that settles the present fence.
 */
void
runner_order_settle(struct mlk_runner *r)
{
	struct mlk_order *order;

	order = list_push(r, 0);
	order->fresh = true;
	r->worker.settle_list = order->order;
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
 * A run is freed; answers to its orders will find none.
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
 * Voids every order that has no answer yet, once a listing under the new
 * fence has been answered.
 */
void
runner_fence_raise(struct mlk_runner *r, const char *cause)
{
	r->worker.fence++;
	r->worker.settle = true;
	r->counters.fences++;
	runner_log(r, MLK_LOG_INFO, NULL, "fence raised to %" PRIu64 ": %s",
	    r->worker.fence, cause);
}

/*
 * The worker refused an order for its fence.  One below the present fence is
 * simply out of date; otherwise an earlier agent, or an order of another life
 * of the worker, has used a higher one, which is found by growing steps.
 */
static void
on_fenced(struct mlk_runner *r, const struct order *order)
{
	struct worker *w = &r->worker;

	if (order->fence < w->fence)
		return;
	w->fence += 1ULL << (FENCE_SHIFT + MIN(w->fenced, 32U));
	w->fenced++;
	w->settle = true;
	r->counters.fences++;
	runner_log(r, MLK_LOG_NOTICE, NULL,
	    "the worker has seen a higher fence; trying %" PRIu64, w->fence);
}

bool
runner_may_start_again(const struct mlk_runner *r, const struct run *run)
{
	return (!run->stop_wanted && run->tries < START_TRIES_MAX &&
	    r->now < run->deadline &&
	    runner_lease_end(r) - r->now >= LEASE_MIN_NS);
}

/*
 * Sends a start once more, under the next number and the present fence; or
 * gives it up as not run.
 */
static void
start_again(struct mlk_runner *r, struct run *run)
{
	if (!runner_may_start_again(r, run)) {
		runner_run_ended(r, run, MLK_RUN_REFUSED);
		return;
	}
	/* An earlier submission of the job may have used some numbers. */
	run->name.run += run->tries;
	r->counters.starts_again++;
	runner_order_start(r, run);
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
	case MLK_ORDER_OLD:
	case MLK_ORDER_LATE:
	case MLK_ORDER_UNREACHED:
		start_again(r, run);
		return;
	case MLK_ORDER_NO_ANSWER:
		r->counters.starts_unanswered++;
		run->state = RUN_DOUBT;
		runner_log(r, MLK_LOG_INFO, run, "start of %u.%u got no answer",
		    run->name.step, run->name.index);
		return;
	case MLK_ORDER_NO_ROOM:
		runner_log(r, MLK_LOG_WARNING, run,
		    "the worker has no room for %u.%u, by our count %u of cpu",
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
 * The end of a run is taken from a listing only; a stop that was answered
 * makes the next one due at once.
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
	return (result != MLK_ORDER_NO_ANSWER && result != MLK_ORDER_UNREACHED);
}

/*
 * Takes note of the answer as a sign of the worker's life.
 */
static void
note_answer(struct mlk_runner *r, const struct order *order,
    const struct mlk_runner_event *ev)
{
	enum mlk_order_result result = ev->u.order.result;

	if (order->type == MLK_ORDER_START && result != MLK_ORDER_UNREACHED)
		runner_health_started(r, was_answered(result));
	if (!was_answered(result)) {
		runner_unanswered(r, order, result == MLK_ORDER_UNREACHED);
		/* A listing or a stop may be carried out late: no harm. */
		if (result == MLK_ORDER_NO_ANSWER &&
		    order->type == MLK_ORDER_START &&
		    order->fence == r->worker.fence)
			runner_fence_raise(r, "a start got no answer");
		return;
	}
	runner_answered(r);
	runner_clock(r, ev->u.order.clock_ms);
	if (result == MLK_ORDER_FENCED)
		on_fenced(r, order);
	else if (order->fence == r->worker.fence)
		r->worker.fenced = 0;
	/* Another life of the worker answers; its announcement is under way. */
	if (result == MLK_ORDER_OTHER_WORKER) {
		r->worker.cleared = false;
		r->worker.list_after = r->now + PROBE_NS;
	}
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
	if (r->worker.settle_list == order->id)
		r->worker.settle_list = 0;
	if (ev->u.order.result == MLK_ORDER_OK)
		runner_listed(r, ev, order);
	else if (ev->u.order.result != MLK_ORDER_NO_ANSWER)
		r->worker.list_after =
		    MAX(r->worker.list_after, r->now + LIST_RETRY_NS);
}

/*
 * Handles the end of an order.
 */
void
runner_order_ended(struct mlk_runner *r, const struct mlk_runner_event *ev)
{
	struct order *order;
	struct run *run;

	order = g_hash_table_lookup(r->orders, &ev->u.order.order);
	if (order == NULL)
		return;
	/* May end the run, which is taken out of the order then. */
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
