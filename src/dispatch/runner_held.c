/*
 * Tasks that wait at the agent for a run that is about to end.
 *
 * Under an overload every worker is full and its resources are offered when a
 * run has ended.  An offer takes 2 to 7 ms until its tasks arrive, in which the
 * resources are idle; with runs of 60 ms that is a twentieth of the capacity.
 * Resources are therefore offered shortly before the expected end of a run, and
 * tasks that arrive before it are held here.  They start when the resources are
 * free and are returned as not run after a short time.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

/*
 * The longest time that a task is held: the error of an expected end plus the
 * time to the next listing.  Longer waits would bind tasks to workers on which
 * they start later than elsewhere.
 */
#define HOLD_NS (20 * MS)
#define HELD_MAX 64U
/* An end is expected only from this progress on; percentages are rounded. */
#define FORECAST_PERCENT 20
/* A run that is late by more than this is not expected to end soon. */
#define OVERDUE_NS (10 * MS)

/*
 * A task of a RUN message.  Of the message the number of tasks is kept, and
 * neither the tasks nor the spec.
 */
struct held_task {
	struct entry *entry;
	struct mlk_msg msg;
	struct mlk_run_task task;
	GBytes *spec;
	int64_t received_at;
};

/*
 * Updates the expected end of a run from its progress.  Its time is counted
 * from the start order: a run whose start is answered late is first seen active
 * with most of its work done, and from then on would seem to end at once.
 */
void
runner_forecast_end(
    const struct mlk_runner *r, struct run *run, uint32_t percent)
{
	if (percent < FORECAST_PERCENT || percent == run->forecast_percent)
		return;
	run->forecast_percent = percent;
	run->ends_at =
	    run->sent_at + (r->now - run->sent_at) * 100 / (int64_t)percent;
}

/*
 * Tells whether a run is expected to end within the time by which offers are
 * made ahead.
 */
static bool
ends_soon(const struct mlk_runner *r, const struct run *run)
{
	return (run->state == RUN_ACTIVE && run->ends_at != 0 &&
	    !run->forecast_missed &&
	    run->ends_at <= r->now + (int64_t)r->options.offer_ahead_ms * MS &&
	    r->now - run->ends_at < OVERDUE_NS);
}

/*
 * Returns the resources that are free or expected to be released within the
 * time by which offers are made ahead.
 */
struct mlk_resources
runner_free_soon(const struct mlk_runner *r)
{
	struct mlk_resources free = r->worker.info.capacity;
	const struct run *run;
	guint i;

	for (i = 0; r->options.offer_ahead_ms > 0 && i < r->runs->len; i++) {
		run = g_ptr_array_index(r->runs, i);
		if (ends_soon(r, run))
			mlk_resources_add(&free, &run->resources);
	}
	mlk_resources_subtract(&free, &r->reserved);
	mlk_resources_subtract(&free, &r->offered);
	mlk_resources_subtract(&free, &r->held_resources);
	return (free);
}

static void
held_free(struct held_task *held)
{
	g_bytes_unref(held->spec);
	g_free(held);
}

static void
remove_at(struct mlk_runner *r, guint i)
{
	struct held_task *held = g_ptr_array_index(r->held, i);

	mlk_resources_subtract(&r->held_resources, &held->task.resources);
	(void)g_ptr_array_remove_index(r->held, i);
}

/*
 * Holds a task that answers an offer and whose resources are not free yet.
 * Returns false when it is to be returned at once.
 */
bool
runner_hold(struct mlk_runner *r, struct entry *e, const struct mlk_msg *msg,
    const struct mlk_run_task *task, GBytes *spec)
{
	struct held_task *held;

	if (r->options.offer_ahead_ms == 0 || msg->u.run.offer == 0 ||
	    r->held->len >= HELD_MAX || runner_on_probation(r) ||
	    !mlk_resources_fit(&r->worker.info.capacity, &task->resources))
		return (false);
	held = g_new0(struct held_task, 1);
	held->entry = e;
	held->msg = *msg;
	memset(&held->msg.u.run.spec, 0, sizeof(held->msg.u.run.spec));
	held->msg.u.run.tasks = NULL;
	held->task = *task;
	held->spec = g_bytes_ref(spec);
	held->received_at = r->now;
	g_ptr_array_add(r->held, held);
	mlk_resources_add(&r->held_resources, &task->resources);
	r->counters.held++;
	return (true);
}

/*
 * A task was held in vain: the runs that are still expected to end are not
 * offered ahead again.  At a worker that becomes slow, the expected end of a
 * run moves on with its progress, and the same tasks would be sent for it and
 * returned many times.
 */
static void
note_missed_ends(struct mlk_runner *r)
{
	struct run *run;
	guint i;

	for (i = 0; i < r->runs->len; i++) {
		run = g_ptr_array_index(r->runs, i);
		if (run->ends_at != 0 &&
		    run->ends_at <=
			r->now + (int64_t)r->options.offer_ahead_ms * MS)
			run->forecast_missed = true;
	}
}

/*
 * Starts the held tasks whose resources are free, oldest first, and returns
 * those that were held too long.
 */
void
runner_held_due(struct mlk_runner *r)
{
	struct mlk_resources free;
	struct held_task held;
	int64_t waited;
	guint i = 0;

	while (i < r->held->len) {
		held = *(struct held_task *)g_ptr_array_index(r->held, i);
		waited = r->now - held.received_at;
		free = r->worker.info.capacity;
		mlk_resources_subtract(&free, &r->reserved);
		if (runner_takes_work(r) && waited < HOLD_NS &&
		    !mlk_resources_fit(&free, &held.task.resources)) {
			i++;
			continue;
		}
		(void)g_bytes_ref(held.spec);
		remove_at(r, i);
		if (!runner_takes_work(r)) {
			runner_run_reject(r, held.entry, &held.msg, &held.task,
			    MLK_RUN_REFUSED);
		} else if (waited >= HOLD_NS) {
			note_missed_ends(r);
			runner_run_reject(
			    r, held.entry, &held.msg, &held.task, MLK_RUN_BUSY);
		} else {
			held.msg.u.run.deadline_ms -= (uint32_t)MIN(
			    waited / MS, (int64_t)held.msg.u.run.deadline_ms);
			runner_run_start(r, held.entry, &held.msg, &held.task,
			    held.spec, &free);
		}
		g_bytes_unref(held.spec);
	}
}

/*
 * Drops the held tasks of an entry, or of one of its jobs; 0: of all jobs.
 * Their entry has given them up or is gone.
 */
void
runner_held_drop(struct mlk_runner *r, const struct entry *e, uint64_t job)
{
	const struct held_task *held;
	guint i;

	for (i = r->held->len; i > 0; i--) {
		held = g_ptr_array_index(r->held, i - 1);
		if (held->entry == e &&
		    (job == 0 || held->msg.u.run.job == job))
			remove_at(r, i - 1);
	}
}

GPtrArray *
runner_held_create(void)
{
	return (g_ptr_array_new_with_free_func((GDestroyNotify)held_free));
}
