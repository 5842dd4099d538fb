/*
 * Which task goes to which worker.  Pure decisions over the queue and over
 * this entry's copy of the workers' loads.
 *
 * A job counts only when its last task is done, and a worker that is sick
 * without being known for it spoils every job that has a task there.  So the
 * tasks of a job go together to one worker that holds them all, where there is
 * one; among those, to the least loaded.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

/* Load of a near worker that a far one must be below to be taken, in 1/1000. */
#define NEAR_BONUS 80
/* As much for each task that does not go along, of those that wait. */
#define SPLIT_COST 300
#define SCALE 1000
/*
 * When no worker is known to have room, a task may wait this long at an agent
 * for the next one that ends; at most one of this entry's at a time does.
 */
#define ROOM_WAIT_MS 60
/* Jobs that find no place before the rest of the queue is left for later. */
#define PLACE_MISSES_MAX 24

static gint
by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct job *x = a, *y = b;

	(void)data;
	if (x->deadline != y->deadline)
		return (x->deadline < y->deadline ? -1 : 1);
	return (x->handle < y->handle ? -1 : x->handle > y->handle);
}

/*
 * A task waits for a place.  Its job is in the queue while one of its tasks
 * does, ordered by the time by which its caller needs the answer.
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
		    g_sequence_insert_sorted(d->queue, job, by_deadline, NULL);
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

static bool
usable(const struct agent *a, const char *pool)
{
	return (a->link != 0 && a->known && a->info.state == MLK_WORKER_READY &&
	    strcmp(a->info.pool, pool) == 0);
}

/*
 * Tells whether some worker of the pool takes work of this entry.
 */
bool
dispatch_pool_ready(const struct mlk_dispatcher *d, const char *pool)
{
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		if (usable(g_ptr_array_index(d->agents, i), pool))
			return (true);
	}
	return (false);
}

static bool
avoided(const struct job *job, const struct agent *a)
{
	uint32_t i;

	for (i = 0; i < job->navoid; i++) {
		if (job->avoid[i] == a)
			return (true);
	}
	return (false);
}

/*
 * Returns the cost of sending fit of n tasks to a worker, in thousandths of
 * its capacity; less is better.
 */
static uint32_t
cost(const struct mlk_dispatcher *d, const struct agent *a,
    const struct mlk_room *free, const struct mlk_room *need, uint32_t fit,
    uint32_t n)
{
	uint64_t used, cap;
	uint32_t c;

	(void)d;
	cap = MAX(a->info.capacity.cpu, 1);
	used = cap - MIN(cap, free->cpu) + (uint64_t)fit * need->cpu;
	c = (uint32_t)(used * SCALE / cap);
	c += SPLIT_COST * (n - fit) / n;
	if (!a->near)
		c += NEAR_BONUS;
	return (c);
}

/*
 * Chooses the worker for n tasks of a job that need the same room.  Returns
 * NULL when none is known to have room for one; *fit is how many it holds.
 */
static struct agent *
choose(struct mlk_dispatcher *d, const struct job *job,
    const struct mlk_room *need, uint32_t n, uint32_t *fit)
{
	struct agent *a, *best = NULL;
	struct mlk_room free;
	uint32_t c, f, best_cost = UINT32_MAX, ties = 0;
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (!usable(a, job->pool) || avoided(job, a))
			continue;
		free = dispatch_agent_free(a);
		f = mlk_room_count(&free, need, n);
		if (f == 0)
			continue;
		c = cost(d, a, &free, need, f, n);
		ties = c < best_cost ? 1 : ties + (c == best_cost);
		if (c > best_cost ||
		    (c == best_cost && mlk_rng_below(&d->rng, ties) != 0))
			continue;
		best = a;
		best_cost = c;
		*fit = f;
	}
	return (best);
}

/*
 * Chooses the worker at which a task waits for room: one where none of this
 * entry's waits, with the fewest tasks waiting, then the most at work, whose
 * next end comes soonest.
 */
static struct agent *
choose_to_wait(struct mlk_dispatcher *d, const struct job *job,
    const struct mlk_room *need)
{
	struct agent *a, *best = NULL;
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (!usable(a, job->pool) || avoided(job, a) ||
		    a->waiting > 0 || !mlk_room_fits(&a->info.capacity, need))
			continue;
		if (best == NULL || a->load.waiting < best->load.waiting ||
		    (a->load.waiting == best->load.waiting &&
			a->load.running > best->load.running))
			best = a;
	}
	return (best);
}

static uint32_t
left_ms(const struct mlk_dispatcher *d, int64_t at)
{
	int64_t left = (at - d->now) / MS;

	return (left <= 0 ? 0 : (uint32_t)MIN(left, (int64_t)UINT32_MAX));
}

/*
 * Sends n queued tasks of one step of a job to an agent.
 */
static void
send_run(struct mlk_dispatcher *d, struct job *job, uint32_t step, uint32_t n,
    struct agent *a, uint32_t wait_ms)
{
	struct unseen unseen = { 0 };
	struct mlk_msg *msg;
	struct task *task;
	gconstpointer data;
	uint32_t i;
	gsize len;

	msg = dispatch_send(d, a->link, MLK_MSG_RUN);
	msg->u.run.tasks = calloc(n, sizeof(*msg->u.run.tasks));
	data = g_bytes_get_data(job->spec, &len);
	if (msg->u.run.tasks == NULL ||
	    mlk_blob_copy(&msg->u.run.spec, data, len) != 0)
		g_error("out of memory");
	msg->u.run.sent_at = dispatch_now_ms(d);
	msg->u.run.seq = ++a->seq;
	msg->u.run.job = job->handle;
	(void)g_strlcpy(msg->u.run.id, job->id, sizeof(msg->u.run.id));
	msg->u.run.step = step;
	msg->u.run.deadline_ms = left_ms(d, job->deadline);
	msg->u.run.urgency_ms = msg->u.run.deadline_ms;
	msg->u.run.wait_ms = wait_ms;
	msg->u.run.estimate_ms = job->steps[step].estimate_ms;
	for (i = 0; i < job->ntasks && msg->u.run.n < n; i++) {
		task = &job->tasks[i];
		if (task->step != step || task->state != TASK_QUEUED)
			continue;
		msg->u.run.tasks[msg->u.run.n].index = task->index;
		msg->u.run.tasks[msg->u.run.n++].room = job->steps[step].room;
		mlk_room_add(&unseen.room, &job->steps[step].room);
		dispatch_dequeue(d, task);
		task->state = TASK_SENT;
		task->agent = a;
		task->waits = wait_ms > 0;
		task->sends++;
		job->nsent++;
		d->nsent++;
		g_ptr_array_add(a->tasks, task);
	}
	if (wait_ms > 0)
		a->waiting += n;
	unseen.seq = a->seq;
	(void)g_array_append_val(a->unseen, unseen);
	a->sent = d->now;
	d->counters.tasks_sent += n;
}

static uint32_t
queued_in_step(const struct job *job, uint32_t step)
{
	uint32_t i, n = 0;

	for (i = 0; i < job->ntasks; i++) {
		if (job->tasks[i].step == step &&
		    job->tasks[i].state == TASK_QUEUED)
			n++;
	}
	return (n);
}

/*
 * Places what it can of a job.  Returns false when a task found no place.
 */
static bool
place_job(struct mlk_dispatcher *d, struct job *job, bool may_wait)
{
	struct agent *a;
	uint32_t step, n, fit = 0;

	for (step = 0; step < job->nsteps; step++) {
		while ((n = queued_in_step(job, step)) > 0) {
			a = choose(d, job, &job->steps[step].room, n, &fit);
			if (a != NULL) {
				send_run(d, job, step, fit, a, 0);
				continue;
			}
			if (!may_wait)
				return (false);
			a = choose_to_wait(d, job, &job->steps[step].room);
			if (a == NULL)
				return (false);
			send_run(d, job, step, 1, a, ROOM_WAIT_MS);
		}
	}
	return (true);
}

/*
 * Places what waits, the most urgent job first.
 */
void
dispatch_place(struct mlk_dispatcher *d)
{
	GSequenceIter *iter, *next;
	uint32_t misses = 0;

	if (!d->place)
		return;
	d->place = false;
	iter = g_sequence_get_begin_iter(d->queue);
	while (!g_sequence_iter_is_end(iter) && misses < PLACE_MISSES_MAX) {
		next = g_sequence_iter_next(iter);
		if (!place_job(d, g_sequence_get(iter), misses == 0))
			misses++;
		iter = next;
	}
}
