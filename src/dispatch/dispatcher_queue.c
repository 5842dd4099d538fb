/*
 * How work waits: the order in which jobs get room.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

/* Longer than any job waits; keeps jobs that are late behind all others. */
#define MISSED_NS (30000 * MS)
/* Keeps the urgency of what is due now above 0. */
#define URGENCY_BASE_NS (1000 * MS)
/* More tasks than a worker holds of the smallest that the deployments send. */
#define WANT_TASKS_MAX 128U

static gint
by_start(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct job *x = a, *y = b;

	(void)data;
	if (x->start_by != y->start_by)
		return (x->start_by < y->start_by ? -1 : 1);
	return (x->handle < y->handle ? -1 : x->handle > y->handle);
}

/*
 * A task waits for a place.  Its job is in the queue while one of its tasks
 * does.
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
	if (job->place == NULL) {
		job->place =
		    g_sequence_insert_sorted(d->queue, job, by_start, NULL);
		(void)g_array_append_val(d->fresh, job->handle);
	}
	d->place = true;
}

/*
 * A task leaves the queue; the caller sets its next state.
 */
void
dispatch_dequeue(struct mlk_dispatcher *d, struct task *task)
{
	struct job *job = task->job;

	job->nqueued--;
	d->nqueued--;
	/* Rounding errors must not outlive the queue. */
	d->queued_work = d->nqueued == 0 ? 0 : d->queued_work - task->work;
	if (job->nqueued == 0) {
		g_sequence_remove(job->place);
		job->place = NULL;
	}
}

/*
 * Tells whether a run of the job is or was at work.
 */
static bool
has_begun(const struct job *job)
{
	return (job->ran || job->nsent > 0);
}

/*
 * Returns the place of a job in the queue as a time; less comes first.  Least
 * slack first; then the jobs that have missed their goal, those that have begun
 * before the others, and of each the newest first.
 *
 * The load that it answers: a crest beyond what the workers can carry.  With
 * the backlog in front, every job would be late by it.
 */
static int64_t
urgency(const struct mlk_dispatcher *d, const struct job *job)
{
	if (job->start_by >= d->now)
		return (job->start_by);
	return (d->now + (has_begun(job) ? MISSED_NS : MISSED_NS * 2) +
	    (d->now - job->start_by));
}

/*
 * Returns the first job whose start is not late; all before it are.
 */
static GSequenceIter *
first_in_time(const struct mlk_dispatcher *d)
{
	struct job key = { .start_by = d->now };

	return (g_sequence_search(d->queue, &key, by_start, NULL));
}

/*
 * Starts a walk over the jobs with queued tasks, the most urgent first.  The
 * queue is sorted by start_by, so that the jobs that have missed their goal
 * stand at its front: they come last, those that have begun before the others,
 * the newest first.
 *
 * The load that it answers: a backlog after a loss of power, in which every
 * message leads to a look at the queue.  Most looks end at the first jobs, and
 * an entry of 0.12 cores has no time to put hundreds of jobs in order for each.
 */
void
dispatch_walk_begin(struct mlk_dispatcher *d, struct queue_walk *walk)
{
	walk->d = d;
	walk->part = WALK_IN_TIME;
	walk->next = first_in_time(d);
	walk->more = !g_sequence_iter_is_end(walk->next);
}

/*
 * Turns to a part of the late jobs, of which the last is the newest.
 */
static void
walk_late(struct queue_walk *walk, enum walk_part part)
{
	walk->part = part;
	walk->next = first_in_time(walk->d);
	walk->more = !g_sequence_iter_is_begin(walk->next);
	if (walk->more)
		walk->next = g_sequence_iter_prev(walk->next);
}

/*
 * Returns the job at the walk's place and moves on, so that the job may leave
 * the queue.
 */
static struct job *
walk_step(struct queue_walk *walk)
{
	struct job *job = g_sequence_get(walk->next);

	walk->d->counters.looks++;
	if (walk->part == WALK_IN_TIME) {
		walk->next = g_sequence_iter_next(walk->next);
		walk->more = !g_sequence_iter_is_end(walk->next);
	} else {
		walk->more = !g_sequence_iter_is_begin(walk->next);
		if (walk->more)
			walk->next = g_sequence_iter_prev(walk->next);
	}
	return (job);
}

/*
 * Returns the next job of a walk, or NULL.  The job that it returned last may
 * have left the queue meanwhile; others may not.
 */
struct job *
dispatch_walk_next(struct queue_walk *walk)
{
	struct job *job;

	for (;;) {
		if (!walk->more) {
			if (walk->part == WALK_LATE_REST)
				return (NULL);
			walk_late(walk,
			    walk->part == WALK_IN_TIME ? WALK_LATE_BEGUN :
							 WALK_LATE_REST);
			continue;
		}
		job = walk_step(walk);
		if (walk->part == WALK_IN_TIME ||
		    has_begun(job) == (walk->part == WALK_LATE_BEGUN))
			return (job);
	}
}

/*
 * Fills what is wanted of the workers of a pool, for the most urgent of the
 * jobs that wait.  Stops counting where no worker holds more.
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
		want->room = job->steps[job->tasks[k].step].room;
		left_ms = (urgency(d, job) - d->now + URGENCY_BASE_NS) / MS;
		want->urgency_ms =
		    (uint32_t)CLAMP(left_ms, 0, (int64_t)UINT32_MAX);
	}
}
