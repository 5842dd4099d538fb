/*
 * The table of runs, from the RUN message until the end is known.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

/*
 * Returns a key that distinguishes the jobs of all entries.
 */
uint64_t
runner_job_key(const struct run *run)
{
	return (run->job ^ (uint64_t)(uintptr_t)run->entry << 20);
}

struct run *
runner_run_find(struct mlk_runner *r, const struct mlk_run_name *name)
{
	return (g_hash_table_lookup(r->by_name, name));
}

/*
 * Queues the result of a task for its entry if the entry is attached.
 */
static void
queue_result(struct entry *e, uint64_t job, uint32_t step, uint32_t index,
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
 * Removes a run from the table, releases its resources and reports its end.
 * BUSY and REFUSED mean that the task has not run; if an earlier start may have
 * been carried out, LOST is reported in their place.
 */
void
runner_run_ended(struct mlk_runner *r, struct run *run, enum mlk_run_end end)
{
	if (run->may_have_run &&
	    (end == MLK_RUN_BUSY || end == MLK_RUN_REFUSED))
		end = MLK_RUN_LOST;
	mlk_resources_subtract(&r->reserved, &run->resources);
	r->nactive--;
	runner_corun_end(r, run, end);
	count_end(r, end);
	runner_health_ended(r, run, end);
	queue_result(run->entry, run->job, run->name.step, run->name.index, end,
	    run->confirmed_at != 0 ? r->now - run->sent_at : 0);
	run->entry->nruns--;
	runner_orders_forget(r, run);
	(void)g_hash_table_remove(r->by_name, &run->name);
	(void)g_ptr_array_remove_fast(r->runs, run);
	g_bytes_unref(run->spec);
	g_free(run);
}

/*
 * Returns the end to report for a task that cannot be started with these free
 * resources, or DONE if it can be.
 */
static enum mlk_run_end
reject_reason(struct mlk_runner *r, const struct mlk_run_name *name,
    const struct mlk_resources *need, const struct mlk_resources *free)
{
	if (r->runs->len >= RUNNER_RUNS_MAX)
		return (MLK_RUN_BUSY);
	if (runner_run_find(r, name) != NULL)
		return (MLK_RUN_REFUSED);
	if (!mlk_resources_fit(free, need) ||
	    (runner_on_probation(r) && r->nactive > 0))
		return (MLK_RUN_BUSY);
	return (MLK_RUN_DONE);
}

/*
 * Reports a task of a RUN message as not run.
 */
void
runner_run_reject(struct mlk_runner *r, struct entry *e,
    const struct mlk_msg *msg, const struct mlk_run_task *task,
    enum mlk_run_end end)
{
	count_end(r, end);
	queue_result(e, msg->u.run.job, msg->u.run.step, task->index, end, 0);
}

/*
 * Starts a task of a RUN message, or holds it until resources are free that
 * were offered ahead.
 */
void
runner_run_add(struct mlk_runner *r, struct entry *e, const struct mlk_msg *msg,
    const struct mlk_run_task *task, GBytes *spec)
{
	struct mlk_resources free = runner_free(r);

	if (!mlk_resources_fit(&free, &task->resources) &&
	    runner_hold(r, e, msg, task, spec))
		return;
	runner_run_start(r, e, msg, task, spec, &free);
}

/*
 * Starts a task of a RUN message.  Reports BUSY if its resources are not free,
 * and REFUSED while an earlier run of the same task is in the table.
 */
void
runner_run_start(struct mlk_runner *r, struct entry *e,
    const struct mlk_msg *msg, const struct mlk_run_task *task, GBytes *spec,
    const struct mlk_resources *free)
{
	struct mlk_run_name name = { 0 };
	enum mlk_run_end end;
	struct run *run;

	(void)g_strlcpy(name.id, msg->u.run.id, sizeof(name.id));
	name.step = msg->u.run.step;
	name.index = task->index;
	name.run = 1;
	end = reject_reason(r, &name, &task->resources, free);
	if (end != MLK_RUN_DONE) {
		runner_run_reject(r, e, msg, task, end);
		return;
	}
	run = g_new0(struct run, 1);
	run->name = name;
	run->entry = e;
	run->job = msg->u.run.job;
	run->resources = task->resources;
	run->spec = g_bytes_ref(spec);
	run->expected_ms = msg->u.run.expected_ms;
	run->kind = msg->u.run.kind;
	run->batch = msg->u.run.n;
	run->movable = msg->u.run.movable != 0;
	run->deadline = r->now + (int64_t)msg->u.run.deadline_ms * MS;
	run->stop_end = MLK_RUN_STOPPED;
	g_ptr_array_add(r->runs, run);
	(void)g_hash_table_insert(r->by_name, &run->name, run);
	e->nruns++;
	mlk_resources_add(&r->reserved, &run->resources);
	r->nactive++;
	runner_corun_load(r);
	runner_run_begin(r, run);
}

/*
 * The worker has confirmed that the run is active.
 */
void
runner_run_confirmed(struct mlk_runner *r, struct run *run)
{
	if (run->state != RUN_STARTING && run->state != RUN_UNCONFIRMED)
		return;
	run->state = RUN_ACTIVE;
	run->confirmed_at = r->now;
	health_run_begin(&run->health, runner_job_key(run),
	    speed_run_ms(&r->speed, run->expected_ms), r->now);
	runner_corun_begin(r, run);
	if (run->stop_wanted)
		runner_run_stop(r, run, run->stop_end);
}

static void
request_stop(struct mlk_runner *r, struct run *run, enum mlk_run_end end)
{
	if (run->stop_wanted)
		return;
	run->stop_wanted = true;
	run->stop_end = end;
	run->stop_at = r->now;
}

/*
 * Stops a run and reports its end as `end`.  If its start has no answer, the
 * stop is sent when the run is known to be active.  A run whose start waits
 * ends at once as not run and is freed.
 */
void
runner_run_stop(struct mlk_runner *r, struct run *run, enum mlk_run_end end)
{
	switch (run->state) {
	case RUN_WAITING:
		runner_run_ended(r, run, MLK_RUN_REFUSED);
		return;
	case RUN_STARTING:
	case RUN_UNCONFIRMED:
		request_stop(r, run, end);
		return;
	case RUN_ACTIVE:
		request_stop(r, run, end);
		run->state = RUN_STOPPING;
		runner_order_stop(r, run);
		return;
	case RUN_STOPPING:
		return;
	}
}

/*
 * Ends all runs, also those whose start is unanswered: every lease that the
 * worker may have been granted has expired.  Those whose start waits are no
 * runs yet.
 */
void
runner_runs_lost(struct mlk_runner *r, const char *cause)
{
	struct run *run;
	uint32_t n = 0;
	guint i;

	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (run->state == RUN_WAITING)
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
 * Stops runs at their deadline, and repeats stops.
 */
void
runner_runs_due(struct mlk_runner *r)
{
	struct run *run;
	guint i;

	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (r->now >= run->deadline)
			runner_run_stop(r, run, MLK_RUN_STOPPED);
		else if (run->state == RUN_STOPPING && run->order == 0 &&
		    r->now - run->stop_sent_at >= STOP_RETRY_NS)
			runner_order_stop(r, run);
	}
}
