/*
 * The queue: the order in which jobs are placed.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

/* Longer than any job waits; sorts late jobs behind all others. */
#define LATE_OFFSET_NS (30000 * MS)
/* Keeps the urgency of overdue jobs above 0. */
#define URGENCY_BASE_NS (1000 * MS)
/* More than the number of the smallest tasks that one worker can hold. */
#define WANT_TASKS_MAX 128U

static gint
cmp_start_by(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct job *x = a, *y = b;

	(void)data;
	if (x->start_by != y->start_by)
		return (x->start_by < y->start_by ? -1 : 1);
	return (x->handle < y->handle ? -1 : x->handle > y->handle);
}

/*
 * Queues a task.  Its job is in the queue while it has a queued task.
 */
void
dispatch_enqueue(struct mlk_dispatcher *d, struct task *task)
{
	struct job *job = task->job;

	task->state = TASK_QUEUED;
	task->agent = NULL;
	job->nqueued++;
	d->nqueued++;
	task->work = dispatch_task_work(d, job, task->step);
	d->queued_work += task->work;
	if (d->demand != NULL)
		demand_queued(d->demand, job->route, task->work);
	if (job->queue_iter == NULL) {
		job->queue_iter =
		    g_sequence_insert_sorted(d->queue, job, cmp_start_by, NULL);
		(void)g_array_append_val(d->new_jobs, job->handle);
	}
	d->place_due = true;
}

/*
 * Removes a task from the queue; the caller sets its next state.
 */
void
dispatch_dequeue(struct mlk_dispatcher *d, struct task *task)
{
	struct job *job = task->job;

	job->nqueued--;
	d->nqueued--;
	/* An empty queue must not keep a rounding error. */
	d->queued_work = d->nqueued == 0 ? 0 : d->queued_work - task->work;
	if (d->demand != NULL)
		demand_dequeued(d->demand, job->route, task->work);
	if (job->nqueued == 0) {
		g_sequence_remove(job->queue_iter);
		job->queue_iter = NULL;
	}
}

/*
 * Moves a queued job to the place that its new latest start gives it.
 */
void
dispatch_requeue(struct job *job, int64_t start_by)
{
	job->start_by = start_by;
	g_sequence_sort_changed(job->queue_iter, cmp_start_by, NULL);
}

/*
 * Tells whether a task of the job was started or may have been.
 */
static bool
has_started(const struct job *job)
{
	return (job->ran || job->nsent > 0);
}

/*
 * Returns the sort key of a job as a time; the lowest comes first.  Jobs are
 * ordered by least slack.  Jobs that can no longer meet their goal come last:
 * those with a started task before the others, and within each group the newest
 * first.
 *
 * This is for a load above the capacity of the workers: with the late jobs in
 * front, every job would become late.
 */
static int64_t
urgency(const struct mlk_dispatcher *d, const struct job *job)
{
	if (job->start_by >= d->now)
		return (job->start_by);
	return (d->now +
	    (has_started(job) ? LATE_OFFSET_NS : LATE_OFFSET_NS * 2) +
	    (d->now - job->start_by));
}

/*
 * Returns the first job that can still start in time; all jobs before it are
 * late.
 */
static GSequenceIter *
first_on_time(const struct mlk_dispatcher *d)
{
	struct job key = { .start_by = d->now };

	return (g_sequence_search(d->queue, &key, cmp_start_by, NULL));
}

/*
 * Starts a pass over the jobs that are on time, the most urgent first.
 */
static void
walk_begin_on_time(struct queue_walk *walk, enum walk_part part)
{
	walk->part = part;
	walk->next = first_on_time(walk->d);
	walk->more = !g_sequence_iter_is_end(walk->next);
}

/*
 * Starts an iteration over the queued jobs, the most urgent first.  The queue
 * is sorted by start_by, so late jobs are at its front.  They come last: those
 * with a started task before the others, the newest first.
 *
 * The queue is not re-sorted because after a power failure there is a backlog
 * and every message triggers a scan.  Most scans end at the first jobs, and an
 * entry with 0.12 cores cannot sort hundreds of jobs for each message.
 */
void
dispatch_walk_begin(struct mlk_dispatcher *d, struct queue_walk *walk)
{
	walk->d = d;
	walk->split = dispatch_any_pool_short(d);
	walk_begin_on_time(
	    walk, walk->split ? WALK_WITHIN_SHARE : WALK_ON_TIME);
}

/*
 * Starts one of the two passes over the late jobs, from the newest.
 */
static void
walk_begin_late(struct queue_walk *walk, enum walk_part part)
{
	walk->part = part;
	walk->next = first_on_time(walk->d);
	walk->more = !g_sequence_iter_is_begin(walk->next);
	if (walk->more)
		walk->next = g_sequence_iter_prev(walk->next);
}

/*
 * Returns the current job of the iteration and advances, so that the job may
 * leave the queue.
 */
static struct job *
walk_step(struct queue_walk *walk)
{
	struct job *job = g_sequence_get(walk->next);

	walk->d->counters.looks++;
	if (walk->part <= WALK_ON_TIME) {
		walk->next = g_sequence_iter_next(walk->next);
		walk->more = !g_sequence_iter_is_end(walk->next);
	} else {
		walk->more = !g_sequence_iter_is_begin(walk->next);
		if (walk->more)
			walk->next = g_sequence_iter_prev(walk->next);
	}
	return (job);
}

static bool
is_preferred(const struct queue_walk *walk, const struct job *job)
{
	return (walk->split && job->within_share &&
	    job->start_by - walk->d->now <= PREFERRED_SLACK_NS);
}

/*
 * Tells whether a job belongs to the current part.
 */
static bool
is_in_part(const struct queue_walk *walk, const struct job *job)
{
	switch (walk->part) {
	case WALK_WITHIN_SHARE:
		return (is_preferred(walk, job));
	case WALK_ON_TIME:
		return (!is_preferred(walk, job));
	case WALK_LATE_STARTED:
		return (has_started(job));
	case WALK_LATE_UNSTARTED:
		break;
	}
	return (!has_started(job));
}

/*
 * Returns the next job, or NULL at the end.  The job returned last may have
 * left the queue in the meantime; other jobs may not.
 */
struct job *
dispatch_walk_next(struct queue_walk *walk)
{
	struct job *job;

	for (;;) {
		if (!walk->more) {
			if (walk->part == WALK_LATE_UNSTARTED)
				return (NULL);
			if (walk->part == WALK_WITHIN_SHARE) {
				walk_begin_on_time(walk, WALK_ON_TIME);
				continue;
			}
			walk_begin_late(walk,
			    walk->part == WALK_ON_TIME ? WALK_LATE_STARTED :
							 WALK_LATE_UNSTARTED);
			continue;
		}
		job = walk_step(walk);
		if (is_in_part(walk, job))
			return (job);
	}
}

/*
 * Fills a WANT for the workers of a pool from the most urgent queued job.
 * Stops counting tasks at the number that no worker can exceed.
 */
void
dispatch_queue_want(
    struct mlk_dispatcher *d, const char *pool, struct mlk_want *want)
{
	const struct job *job;
	struct queue_walk walk;
	int64_t left_ms;
	uint32_t k;

	memset(want, 0, sizeof(*want));
	dispatch_walk_begin(d, &walk);
	while (want->tasks < WANT_TASKS_MAX &&
	    (job = dispatch_walk_next(&walk)) != NULL) {
		if (job->nqueued == 0 || strcmp(job->pool, pool) != 0)
			continue;
		want->tasks += job->nqueued;
		if (want->tasks > job->nqueued)
			continue;
		for (k = 0; k < job->ntasks; k++) {
			if (job->tasks[k].state == TASK_QUEUED)
				break;
		}
		want->resources = job->steps[job->tasks[k].step].resources;
		left_ms = (urgency(d, job) - d->now + URGENCY_BASE_NS) / MS;
		want->urgency_ms =
		    (uint32_t)CLAMP(left_ms, 0, (int64_t)UINT32_MAX);
	}
}
