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
	if (job->place == NULL)
		job->place =
		    g_sequence_insert_sorted(d->queue, job, by_start, NULL);
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

static void
append_late(GPtrArray *order, const GPtrArray *late, bool begun)
{
	struct job *job;
	guint i;

	for (i = late->len; i > 0; i--) {
		job = g_ptr_array_index(late, i - 1);
		if (has_begun(job) == begun)
			g_ptr_array_add(order, job);
	}
}

/*
 * Returns the jobs with queued tasks, the most urgent first; the caller frees
 * the array.  The queue is sorted by start_by, so that the jobs that have
 * missed their goal stand at its front.
 */
GPtrArray *
dispatch_queue_order(const struct mlk_dispatcher *d)
{
	GPtrArray *order, *late;
	GSequenceIter *iter;
	struct job *job;

	order = g_ptr_array_new();
	late = g_ptr_array_new();
	for (iter = g_sequence_get_begin_iter(d->queue);
	     !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
		job = g_sequence_get(iter);
		g_ptr_array_add(job->start_by >= d->now ? order : late, job);
	}
	append_late(order, late, true);
	append_late(order, late, false);
	(void)g_ptr_array_free(late, TRUE);
	return (order);
}

/*
 * Fills what is wanted of the workers of a pool, for the most urgent of the
 * jobs in order.
 */
void
dispatch_queue_want(const struct mlk_dispatcher *d, const GPtrArray *order,
    const char *pool, struct mlk_want *want)
{
	const struct job *job;
	int64_t left_ms;
	uint32_t k;
	guint i;

	memset(want, 0, sizeof(*want));
	for (i = 0; i < order->len; i++) {
		job = g_ptr_array_index(order, i);
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
