/*
 * The table of runs: from the RUN message until the end is known.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

static bool
holds_room(const struct run *run)
{
	return (run->state != RUN_WAITING);
}

struct run *
runner_run_find(struct mlk_runner *r, const struct mlk_run_name *name)
{
	return (g_hash_table_lookup(r->by_name, name));
}

/*
 * Queues the result of a task for its entry, if that is still attached.
 */
static void
report(struct entry *e, uint64_t job, uint32_t step, uint32_t index,
    enum mlk_run_end end, int64_t run_ns)
{
	struct mlk_run_result result = { 0 };

	if (!e->attached)
		return;
	result.job = job;
	result.step = step;
	result.index = index;
	result.end = end;
	result.run_ms = run_ns > 0 ? (uint32_t)(run_ns / MS) : 0;
	(void)g_array_append_val(e->ends, result);
}

static void
count_end(struct mlk_runner *r, enum mlk_run_end end)
{
	switch (end) {
	case MLK_RUN_DONE:
		r->counters.done++;
		break;
	case MLK_RUN_FAILED:
		r->counters.failed++;
		break;
	case MLK_RUN_BUSY:
		r->counters.busy++;
		break;
	case MLK_RUN_REFUSED:
		r->counters.refused++;
		break;
	case MLK_RUN_LOST:
		r->counters.lost++;
		break;
	case MLK_RUN_STOPPED:
		r->counters.stopped++;
		break;
	case MLK_RUN_STALLED:
		r->counters.stalled++;
		break;
	}
}

/*
 * Takes a run out of the table and frees it; its room is free again.
 */
void
runner_run_ended(struct mlk_runner *r, struct run *run, enum mlk_run_end end)
{
	if (holds_room(run)) {
		mlk_room_take(&r->reserved, &run->room);
		r->nactive--;
	} else {
		r->nwaiting--;
	}
	count_end(r, end);
	report(run->entry, run->job, run->name.step, run->name.index, end,
	    run->confirmed_at != 0 ? r->now - run->sent_at : 0);
	run->entry->nruns--;
	runner_orders_forget(r, run);
	(void)g_hash_table_remove(r->by_name, &run->name);
	(void)g_ptr_array_remove_fast(r->runs, run);
	g_bytes_unref(run->spec);
	g_free(run);
}

/*
 * Adds a task of a RUN message.  Without place in the table, and while the
 * same task is still at work here for an earlier request, it is answered
 * REFUSED.
 */
void
runner_run_add(struct mlk_runner *r, struct entry *e, const struct mlk_msg *msg,
    const struct mlk_run_task *task, GBytes *spec)
{
	struct run *run;

	run = g_new0(struct run, 1);
	(void)g_strlcpy(run->name.id, msg->u.run.id, sizeof(run->name.id));
	run->name.step = msg->u.run.step;
	run->name.index = task->index;
	if (r->runs->len >= RUNNER_RUNS_MAX ||
	    runner_run_find(r, &run->name) != NULL) {
		runner_log(r, MLK_LOG_WARNING, run, "task %u.%u refused: %s",
		    run->name.step, run->name.index,
		    r->runs->len >= RUNNER_RUNS_MAX ? "too many runs" :
						      "it is at work already");
		r->counters.refused++;
		report(e, msg->u.run.job, msg->u.run.step, task->index,
		    MLK_RUN_REFUSED, 0);
		g_free(run);
		return;
	}
	run->entry = e;
	run->job = msg->u.run.job;
	run->room = task->room;
	run->spec = g_bytes_ref(spec);
	run->estimate_ms = msg->u.run.estimate_ms;
	run->deadline = r->now + (int64_t)msg->u.run.deadline_ms * MS;
	run->wait_until = r->now + (int64_t)msg->u.run.wait_ms * MS;
	run->urgent_at = r->now + (int64_t)msg->u.run.urgency_ms * MS;
	run->stop_end = MLK_RUN_STOPPED;
	g_ptr_array_add(r->runs, run);
	(void)g_hash_table_insert(r->by_name, &run->name, run);
	e->nruns++;
	r->nwaiting++;
}

/*
 * The worker was seen to have the run at work.
 */
void
runner_run_confirmed(struct mlk_runner *r, struct run *run)
{
	if (run->state != RUN_STARTING && run->state != RUN_DOUBT)
		return;
	run->state = RUN_ACTIVE;
	run->confirmed_at = r->now;
	run->progress_at = r->now;
	if (run->stop_wanted)
		runner_run_stop(r, run, run->stop_end);
}

/*
 * Sees to it that a run ends; it is reported as `end` then.  What waits ends
 * at once; a start without an answer is stopped when it is known to have
 * taken effect.
 */
void
runner_run_stop(struct mlk_runner *r, struct run *run, enum mlk_run_end end)
{
	switch (run->state) {
	case RUN_WAITING:
		runner_run_ended(r, run, MLK_RUN_REFUSED);
		return;
	case RUN_STARTING:
	case RUN_DOUBT:
		if (!run->stop_wanted)
			run->stop_end = end;
		run->stop_wanted = true;
		return;
	case RUN_ACTIVE:
		if (!run->stop_wanted)
			run->stop_end = end;
		run->stop_wanted = true;
		run->state = RUN_STOPPING;
		run->stop_since = r->now;
		runner_order_stop(r, run);
		return;
	case RUN_STOPPING:
		return;
	}
}

/*
 * Ends every run that may have been at work: the worker, or their lease, is
 * over.
 */
void
runner_runs_lost(struct mlk_runner *r, const char *cause)
{
	struct run *run;
	uint32_t n = 0;
	guint i;

	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (!holds_room(run))
			continue;
		runner_run_ended(
		    r, run, run->stop_wanted ? run->stop_end : MLK_RUN_LOST);
		n++;
	}
	if (n > 0)
		runner_log(
		    r, MLK_LOG_WARNING, NULL, "%u runs lost: %s", n, cause);
}

/*
 * Deadlines of jobs, waits for room that are over, stops to be repeated.
 * Comes after the starts, so that a task that may not wait can still start.
 */
void
runner_runs_due(struct mlk_runner *r)
{
	struct run *run;
	guint i;

	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (r->now >= run->deadline) {
			runner_run_stop(r, run, MLK_RUN_STOPPED);
		} else if (run->state == RUN_WAITING &&
		    r->state != MLK_WORKER_READY) {
			runner_run_ended(r, run, MLK_RUN_REFUSED);
		} else if (run->state == RUN_WAITING &&
		    r->now >= run->wait_until) {
			runner_run_ended(r, run, MLK_RUN_BUSY);
		} else if (run->state == RUN_STOPPING && run->order == 0 &&
		    r->now - run->stop_sent_at >= STOP_RETRY_NS) {
			runner_order_stop(r, run);
		}
	}
}

static gint
by_urgency(gconstpointer a, gconstpointer b)
{
	const struct run *x = *(struct run *const *)a;
	const struct run *y = *(struct run *const *)b;

	if (x->urgent_at != y->urgent_at)
		return (x->urgent_at < y->urgent_at ? -1 : 1);
	return (0);
}

/*
 * Starts what waits and fits, most urgent first.  A task that does not fit is
 * passed over: its wait is short, and others go on meanwhile.
 */
void
runner_runs_start(struct mlk_runner *r)
{
	struct mlk_room free;
	GPtrArray *waiting;
	struct run *run;
	guint i;

	if (r->nwaiting == 0 || r->state != MLK_WORKER_READY)
		return;
	free = runner_free(r);
	waiting = g_ptr_array_sized_new(r->nwaiting);
	for (i = 0; i < r->runs->len; i++) {
		run = g_ptr_array_index(r->runs, i);
		if (run->state == RUN_WAITING && r->now < run->deadline)
			g_ptr_array_add(waiting, run);
	}
	g_ptr_array_sort(waiting, by_urgency);
	for (i = 0; i < waiting->len; i++) {
		run = g_ptr_array_index(waiting, i);
		if (!mlk_room_fits(&free, &run->room))
			continue;
		mlk_room_take(&free, &run->room);
		mlk_room_add(&r->reserved, &run->room);
		r->nwaiting--;
		r->nactive++;
		run->name.run = 1;
		run->state = RUN_STARTING;
		runner_order_start(r, run);
	}
	(void)g_ptr_array_free(waiting, TRUE);
}
