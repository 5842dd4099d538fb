/*
 * Listings: the runs that are active at the worker and those that have ended.
 * Ends, progress and the outcome of unanswered starts are taken only from
 * listings.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

/* Maximum of ends in an answer; one with this many may be incomplete. */
#define LISTED_ENDS_MAX 500

static enum mlk_run_end
run_end_of(const struct run *run, enum mlk_listed_end_type how)
{
	switch (how) {
	case MLK_LISTED_DONE:
		return (MLK_RUN_DONE);
	case MLK_LISTED_FAILED:
		return (MLK_RUN_FAILED);
	case MLK_LISTED_STOPPED:
		return (run->stop_wanted ? run->stop_end : MLK_RUN_STOPPED);
	case MLK_LISTED_LEASE_EXPIRED:
	case MLK_LISTED_OTHER:
		break;
	}
	return (run->stop_wanted ? run->stop_end : MLK_RUN_LOST);
}

static void
apply_ends(struct mlk_runner *r, const struct mlk_runner_event *ev)
{
	const struct mlk_listed_end *end;
	struct run *run;
	uint32_t i;

	for (i = 0; i < ev->u.order.nended; i++) {
		end = &ev->u.order.ended[i];
		if (end->number <= r->worker.acked)
			continue;
		r->worker.acked = end->number;
		run = runner_run_find(r, &end->name);
		if (run == NULL || run->name.run != end->name.run)
			continue;
		if (run->confirmed_at == 0)
			run->confirmed_at = r->now;
		runner_run_ended(r, run, run_end_of(run, end->how));
	}
}

/*
 * Applies the active runs of a listing.  Stops those that are not in the table,
 * and returns whether there were any.
 */
static bool
apply_running(struct mlk_runner *r, const struct mlk_runner_event *ev)
{
	const struct mlk_listed_run *listed;
	struct run *run;
	bool foreign = false;
	uint32_t i;

	r->list_number++;
	for (i = 0; i < ev->u.order.nrunning; i++) {
		listed = &ev->u.order.running[i];
		run = runner_run_find(r, &listed->name);
		if (run == NULL || run->name.run != listed->name.run) {
			foreign = true;
			runner_order_stop_foreign(r, &listed->name);
			continue;
		}
		run->listed = r->list_number;
		runner_run_confirmed(r, run);
		health_run_progress(&run->health, listed->percent, r->now);
		runner_forecast_end(r, run, listed->percent);
		runner_corun_progress(r, run);
	}
	return (foreign);
}

/*
 * An unanswered start that is missing from a listing under a later fence will
 * not take effect any more.  A listing of the same boot also shows that it
 * never has; one of a later boot does not, as an earlier boot may have begun
 * the run and ended with it.
 */
static void
void_start(struct mlk_runner *r, struct run *run)
{
	r->counters.starts_void++;
	if (run->boot != r->worker.boot)
		run->may_have_run = true;
	runner_log(r, MLK_LOG_INFO, run,
	    "start of %u.%u is void: not listed under fence %" PRIu64 "; %s",
	    run->name.step, run->name.index, r->worker.fence,
	    run->may_have_run ? "an earlier boot may have run it" :
				"it has not run");
	if (!runner_may_start_again(r, run)) {
		runner_run_ended(r, run, MLK_RUN_REFUSED);
		return;
	}
	run->name.run++;
	runner_run_begin(r, run);
}

/*
 * Handles the runs that are missing from the listing.  A run that was confirmed
 * before the listing was sent has ended without a reported end.
 */
static void
apply_missing(struct mlk_runner *r, const struct order *order)
{
	struct run *run;
	guint i;

	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (run->listed == r->list_number)
			continue;
		if (run->state == RUN_UNCONFIRMED && run->fence < order->fence)
			void_start(r, run);
		else if ((run->state == RUN_ACTIVE ||
			     run->state == RUN_STOPPING) &&
		    run->confirmed_at < order->sent_at)
			runner_run_ended(r, run,
			    run->stop_wanted ? run->stop_end : MLK_RUN_LOST);
	}
}

/*
 * A listing names an earlier life than the one in use.  Unless the worker has
 * named that one since, it gets no starts.
 */
static void
other_life_listed(struct mlk_runner *r, const struct order *order)
{
	struct worker *w = &r->worker;

	if (order->sent_at > w->life.confirmed_at) {
		life_doubt(&w->life, r->now);
		w->other_life = true;
		w->list_after = r->now + PROBE_NS;
	}
	runner_disowned(r, order);
}

/*
 * Handles an answered listing.
 */
void
runner_listed(struct mlk_runner *r, const struct mlk_runner_event *ev,
    const struct order *order)
{
	struct worker *w = &r->worker;
	bool foreign;

	if (ev->u.order.boot != 0 && ev->u.order.boot < w->boot) {
		other_life_listed(r, order);
		return;
	}
	w->confirmed = true;
	runner_note_boot(r, ev->u.order.boot);
	life_confirm(&w->life, ev->u.order.clock_ms, order->sent_at, r->now);
	w->life_missed = false;
	w->other_life = false;
	w->ack_sent = MAX(w->ack_sent, MIN(w->acked, order->ack));
	apply_ends(r, ev);
	/* A delayed listing may show runs that have ended since. */
	if (ev->u.order.clock_ms < w->list_clock_ms)
		return;
	w->list_clock_ms = ev->u.order.clock_ms;
	foreign = apply_running(r, ev);
	if (ev->u.order.nended < LISTED_ENDS_MAX)
		apply_missing(r, order);
	w->list_after = foreign ? r->now + LIST_RETRY_NS : r->now;
	runner_health_judge(r);
	if (foreign)
		w->no_foreign_runs = false;
	if (order->fence != w->fence)
		return;
	w->fence_unconfirmed = false;
	w->fence_held = true;
	if (foreign)
		return;
	w->no_foreign_runs = true;
	if (!r->predecessor_done)
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "no run of an earlier agent is left at the worker");
	r->predecessor_done = true;
}

/*
 * Tells whether to send a regular listing now.
 */
static bool
list_wanted(const struct mlk_runner *r)
{
	const struct worker *w = &r->worker;

	if (r->nactive > 0 || w->acked > w->ack_sent || !w->no_foreign_runs)
		return (r->now >= w->list_after);
	return (r->now >= w->list_after + IDLE_LIST_NS);
}

/*
 * Returns the slot for another listing, or LISTS_MAX when none may be sent in
 * addition to those in flight.
 */
static uint32_t
free_slot(const struct mlk_runner *r)
{
	uint32_t i, slot = LISTS_MAX, busy = 0;

	for (i = LISTS_MAX; i > 0; i--) {
		if (r->worker.lists[i - 1] == 0)
			slot = i - 1;
		else
			busy++;
	}
	if (busy > 0 && r->now - r->worker.list_sent_at < LIST_HEDGE_NS)
		return (LISTS_MAX);
	return (slot);
}

/*
 * Sends the listing that the starts that wait need.  One that waits for an end
 * may be in flight and comes too late for them.
 */
static void
list_for_waiting(struct mlk_runner *r)
{
	struct worker *w = &r->worker;
	uint32_t slot = free_slot(r);

	if (slot < LISTS_MAX) {
		runner_order_list(r, slot, 0);
	} else if (w->fence_list == 0) {
		runner_order_list_fence(r, false);
		w->list_after = r->now + LIST_RETRY_NS;
	}
}

/*
 * Sends the listings that are due: one that confirms the current fence or the
 * life of the worker, and one that waits for the next end.
 */
void
runner_list_due(struct mlk_runner *r)
{
	struct worker *w = &r->worker;
	bool away, confirm;
	uint32_t slot;

	if (!w->known || runner_superseded(r))
		return;
	/* A worker that has left without runs need not be watched. */
	if (w->left_at != 0 && r->nactive == 0 && w->acked <= w->ack_sent)
		return;
	away = runner_away(r);
	confirm =
	    w->fence_unconfirmed || w->life_missed || w->other_life || away;
	/*
	 * A listing for a worker that is away or has refused a connection uses
	 * a new one, since the old ones may be dead.
	 */
	if (confirm && w->fence_list == 0 && r->now >= w->list_after) {
		runner_order_list_fence(r, away || w->not_sent > 0);
		w->list_after = r->now + (away ? PROBE_NS : LIST_RETRY_NS);
	}
	if (confirm || !list_wanted(r))
		return;
	if (runner_has_waiting(r)) {
		list_for_waiting(r);
		return;
	}
	slot = free_slot(r);
	if (slot < LISTS_MAX)
		runner_order_list(r, slot,
		    r->nactive > 0 && w->no_foreign_runs ? LIST_WAIT_MS : 0);
}
