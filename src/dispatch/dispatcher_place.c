/*
 * Placement: which task goes to which worker, decided from the queue and this
 * entry's copy of the workers' loads.
 *
 * A job is complete only when its last task is done, and an unhealthy worker
 * that is not yet detected delays every job with a task on it.  The tasks of a
 * job are therefore sent together to one worker that can hold them all, if
 * there is one; among several, to the least loaded.
 *
 * While no worker is known to have enough free resources, the entry tells the
 * agents what it needs (WANT), and they offer released resources to the entry
 * with the most urgent task.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

/* Cost of a worker in another data centre, in thousandths of its capacity. */
#define REMOTE_DC_COST 80
/* Multiplied by the share of the tasks that do not fit on the worker. */
#define SPLIT_COST 300
#define COLD_COST 1500 /* used after every ready worker */
#define DEGRADED_COST 1500 /* likewise */
#define SICK_COST 3000 /* used after every other worker */
#define SICK_PERCENT_MAX 34 /* of the workers may be left out as unhealthy */
#define SCALE 1000
/* A task that was moved this often is not moved again. */
#define MOVES_MAX 3U
/* Jobs without a matching worker after which a pass over the queue ends. */
#define PLACE_MISSES_MAX 24
/* WANT is repeated at this interval; agents drop it after 200 ms. */
#define WANT_REPEAT_NS (60 * MS)
#define WANT_GAP_NS (5 * MS) /* minimum between two WANTs to one agent */
#define WANT_CHANGE_MS 10 /* increase of urgency that is sent at once */
#define WANT_AGENTS_MAX 16U /* that receive a WANT in one pass */

/*
 * Tells whether this entry may place tasks of a pool on an agent's worker.
 */
bool
dispatch_agent_usable(
    const struct mlk_dispatcher *d, const struct agent *a, const char *pool)
{
	return (a->link != 0 && a->has_info && !a->evacuated &&
	    (dispatch_agent_takes_work(a) ||
		(a->info.state == MLK_WORKER_SICK && d->use_sick)) &&
	    strcmp(a->info.pool, pool) == 0);
}

/*
 * Sets use_sick when more than SICK_PERCENT_MAX of the workers are unhealthy.
 * So many are rarely unhealthy independently; usually a change of the load or
 * of the callers' estimates makes all of them look unhealthy.  They are used
 * then.
 */
static void
update_use_sick(struct mlk_dispatcher *d)
{
	uint32_t sick = 0, n = 0;
	const struct agent *a;
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (a->link == 0 || !a->has_info || a->evacuated)
			continue;
		if (a->info.state == MLK_WORKER_SICK)
			sick++;
		if (a->info.state == MLK_WORKER_SICK ||
		    dispatch_agent_takes_work(a))
			n++;
	}
	d->use_sick = sick * 100 > n * SICK_PERCENT_MAX;
}

/*
 * Tells whether any worker of the pool accepts work from this entry.
 */
bool
dispatch_pool_ready(const struct mlk_dispatcher *d, const char *pool)
{
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		if (dispatch_agent_usable(
			d, g_ptr_array_index(d->agents, i), pool))
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
 * Returns the cost of sending `fit` of n tasks to a worker, in thousandths of
 * its capacity.  The lowest cost is preferred.
 */
static uint32_t
cost(const struct agent *a, const struct mlk_resources *free,
    const struct mlk_resources *need, uint32_t fit, uint32_t n)
{
	uint64_t used, cap;
	uint32_t c;

	cap = MAX(a->info.capacity.cpu, 1);
	used = cap - MIN(cap, free->cpu) + (uint64_t)fit * need->cpu;
	c = (uint32_t)(used * SCALE / cap);
	c += SPLIT_COST * (n - fit) / n;
	if (!a->same_dc)
		c += REMOTE_DC_COST;
	if (a->info.state == MLK_WORKER_COLD)
		c += COLD_COST;
	if (a->info.state == MLK_WORKER_DEGRADED)
		c += DEGRADED_COST;
	if (a->info.state == MLK_WORKER_SICK)
		c += SICK_COST;
	return (c);
}

/*
 * Chooses the worker for n tasks of a step.  Returns NULL when no worker is
 * known to have enough free for one task; *fit is the number of tasks that it
 * can hold.
 */
static struct agent *
choose_worker(struct mlk_dispatcher *d, const struct job *job, uint32_t step,
    uint32_t n, uint32_t *fit)
{
	const struct mlk_resources *need = &job->steps[step].resources;
	struct agent *a, *best = NULL;
	struct mlk_resources free;
	struct time_fit time;
	uint32_t c, f, best_cost = UINT32_MAX, ties = 0;
	guint i;

	dispatch_fit_begin(d, job, step, &time);
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (!dispatch_agent_usable(d, a, job->pool) || avoided(job, a))
			continue;
		d->counters.looks++;
		free = dispatch_agent_available(a);
		f = mlk_resources_count(&free, need, n);
		if (f == 0)
			continue;
		c = cost(a, &free, need, f, n) +
		    dispatch_fit_cost(&time, a, f) + dispatch_apart_cost(d, a);
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
 * Tells whether a job of the pool is in the queue of this entry.
 */
static bool
is_pool_queued(const struct mlk_dispatcher *d, const char *pool)
{
	const struct job *job;
	GSequenceIter *iter;

	iter = g_sequence_get_begin_iter(d->queue);
	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		job = g_sequence_get(iter);
		if (strcmp(job->pool, pool) == 0)
			return (true);
	}
	return (false);
}

/*
 * Takes the tasks that fit on a worker with *free off the numbers of tasks by
 * step.  Returns how many there are.
 */
static uint32_t
fit_tasks(struct mlk_resources free, const struct job *job, uint32_t *left)
{
	uint32_t step, n, i, taken = 0;

	for (step = 0; step < job->nsteps; step++) {
		n = mlk_resources_count(
		    &free, &job->steps[step].resources, left[step]);
		for (i = 0; i < n; i++)
			mlk_resources_subtract(
			    &free, &job->steps[step].resources);
		left[step] -= n;
		taken += n;
	}
	return (taken);
}

/*
 * Tells whether resources for all tasks of a job are free at once and no
 * earlier job of its pool waits for them here.
 */
bool
dispatch_fits_now(const struct mlk_dispatcher *d, const struct job *job)
{
	uint32_t left[MLK_STEPS_MAX], n = job->ntasks, i;
	const struct agent *a;

	for (i = 0; i < job->nsteps; i++)
		left[i] = job->steps[i].count;
	for (i = 0; i < d->agents->len && n > 0; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (dispatch_agent_usable(d, a, job->pool))
			n -= fit_tasks(dispatch_agent_available(a), job, left);
	}
	return (n == 0 && !is_pool_queued(d, job->pool));
}

static uint32_t
left_ms(const struct mlk_dispatcher *d, int64_t at)
{
	int64_t left = (at - d->now) / MS;

	return (left <= 0 ? 0 : (uint32_t)MIN(left, (int64_t)UINT32_MAX));
}

/*
 * Moves n queued tasks of a step into a RUN message.
 */
static void
assign_tasks(struct mlk_dispatcher *d, struct job *job, uint32_t step,
    uint32_t n, struct agent *a, struct mlk_msg *msg)
{
	struct unacked unacked = { 0 };
	struct task *task;
	uint32_t i;

	msg->u.run.tasks = calloc(n, sizeof(*msg->u.run.tasks));
	if (msg->u.run.tasks == NULL)
		g_error("out of memory");
	for (i = 0; i < job->ntasks && msg->u.run.n < n; i++) {
		task = &job->tasks[i];
		if (task->step != step || task->state != TASK_QUEUED)
			continue;
		msg->u.run.tasks[msg->u.run.n].index = task->index;
		msg->u.run.tasks[msg->u.run.n++].resources =
		    job->steps[step].resources;
		if (task->moves >= MOVES_MAX)
			msg->u.run.movable = 0;
		mlk_resources_add(
		    &unacked.resources, &job->steps[step].resources);
		dispatch_drain_add(d, task->work);
		dispatch_dequeue(d, task);
		task->state = TASK_SENT;
		task->agent = a;
		job->nsent++;
		d->nsent++;
		g_ptr_array_add(a->tasks, task);
	}
	if (job->nqueued == 0 && !job->ran)
		dispatch_admission_started(d, job);
	d->counters.tasks_sent += n;
	/* The resources of an offer are not part of the reported free ones. */
	if (msg->u.run.offer != 0)
		return;
	unacked.seq = a->seq;
	(void)g_array_append_val(a->unacked, unacked);
}

/*
 * Sends n queued tasks of one step of a job to an agent.  `offer` is the id of
 * the offer that this answers, or 0.
 */
static struct mlk_msg *
send_run(struct mlk_dispatcher *d, struct job *job, uint32_t step, uint32_t n,
    struct agent *a, uint64_t offer)
{
	struct mlk_msg *msg;
	gconstpointer data;
	gsize len;

	if (a->tasks->len == 0)
		a->busy_since = d->now;
	msg = dispatch_send(d, a->link, MLK_MSG_RUN);
	data = g_bytes_get_data(job->spec, &len);
	if (mlk_blob_copy(&msg->u.run.spec, data, len) != 0)
		g_error("out of memory");
	msg->u.run.sent_at = dispatch_now_ms(d);
	msg->u.run.seq = ++a->seq;
	msg->u.run.job = job->handle;
	(void)g_strlcpy(msg->u.run.id, job->id, sizeof(msg->u.run.id));
	msg->u.run.step = step;
	msg->u.run.deadline_ms = left_ms(d, job->deadline);
	msg->u.run.offer = offer;
	msg->u.run.movable = !d->use_sick;
	msg->u.run.expected_ms = dispatch_runtime_expected_ms(d, job, step);
	msg->u.run.kind = dispatch_kind(d, job, step);
	assign_tasks(d, job, step, n, a, msg);
	dispatch_apart_sent(d, a, msg->u.run.kind, n);
	a->last_sent = d->now;
	return (msg);
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
 * Places as many tasks of a job as possible.  Returns false when a task found
 * no worker.
 */
static bool
place_job(struct mlk_dispatcher *d, struct job *job)
{
	struct agent *a;
	uint32_t step, n, fit = 0;

	for (step = 0; step < job->nsteps; step++) {
		while ((n = queued_in_step(job, step)) > 0) {
			dispatch_apart_begin(d, job, step);
			a = choose_worker(d, job, step, n, &fit);
			if (a == NULL)
				return (false);
			(void)send_run(d, job, step, fit, a, 0);
		}
	}
	return (true);
}

static void
record_want(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_want *want)
{
	a->want_at = d->now;
	a->want_tasks = want->tasks;
	a->want_start = d->now + want->urgency_ms * MS;
}

/*
 * Tells whether to send a WANT to an agent.
 */
static bool
want_due(const struct mlk_dispatcher *d, const struct agent *a,
    const struct mlk_want *want)
{
	int64_t since = d->now - a->want_at;

	if (since < WANT_GAP_NS)
		return (false);
	return (since >= WANT_REPEAT_NS || a->want_tasks == 0 ||
	    d->now + want->urgency_ms * MS <
		a->want_start - WANT_CHANGE_MS * MS);
}

/*
 * Sends WANT for the tasks that found no worker.  In a large pool only some
 * agents receive it in one pass, in rotation: they are enough to get the needed
 * resources, and the number of messages does not grow with that of the workers.
 */
static void
send_wants(struct mlk_dispatcher *d)
{
	const char *pool = NULL; /* pool that `want` describes */
	struct mlk_want want = { 0 };
	struct mlk_msg *msg;
	struct agent *a;
	uint32_t sent = 0;
	guint i;

	for (i = 0; i < d->agents->len && sent < WANT_AGENTS_MAX; i++) {
		a = g_ptr_array_index(
		    d->agents, (d->want_next + i) % d->agents->len);
		if (a->link == 0 || !dispatch_agent_usable(d, a, a->info.pool))
			continue;
		if (pool == NULL || strcmp(pool, a->info.pool) != 0)
			dispatch_queue_want(d, a->info.pool, &want);
		pool = a->info.pool;
		if (want.tasks == 0 || !want_due(d, a, &want))
			continue;
		msg = dispatch_send(d, a->link, MLK_MSG_WANT);
		msg->u.want.sent_at = dispatch_now_ms(d);
		msg->u.want.want = want;
		record_want(d, a, &want);
		a->last_sent = d->now;
		d->counters.wants++;
		sent++;
	}
	if (sent == WANT_AGENTS_MAX)
		d->want_next += i;
}

/*
 * Returns the first step of a job with a queued task that fits, or nsteps when
 * there is none; *n is the number of its tasks that fit.
 */
static uint32_t
step_that_fits(
    const struct job *job, const struct mlk_resources *resources, uint32_t *n)
{
	uint32_t step;

	for (step = 0; step < job->nsteps; step++) {
		*n = mlk_resources_count(resources, &job->steps[step].resources,
		    queued_in_step(job, step));
		if (*n > 0)
			break;
	}
	return (step);
}

/*
 * Tells whether to give a worker n tasks of a step, or to leave its resources
 * to a later job that suits its speed.  `any` gives it any task.
 */
static bool
suits(struct mlk_dispatcher *d, const struct agent *a, const struct job *job,
    uint32_t step, uint32_t n, bool any)
{
	struct time_fit time;

	if (any || !a->uneven)
		return (true);
	dispatch_fit_begin(d, job, step, &time);
	if (dispatch_fit_suits(&time, a, n))
		return (true);
	d->counters.unsuited++;
	return (false);
}

/*
 * Places the first jobs in the queue that fit on one worker and, unless `any`
 * is set, suit its speed.
 */
static void
place_on_agent(struct mlk_dispatcher *d, struct agent *a, bool any)
{
	struct queue_walk walk;
	uint32_t misses = 0, step, n = 0;
	struct mlk_resources free;
	struct job *job;

	dispatch_walk_begin(d, &walk);
	while (misses < PLACE_MISSES_MAX &&
	    (job = dispatch_walk_next(&walk)) != NULL) {
		step = job->nsteps;
		free = dispatch_agent_available(a);
		if (dispatch_agent_usable(d, a, job->pool) && !avoided(job, a))
			step = step_that_fits(job, &free, &n);
		if (step < job->nsteps && suits(d, a, job, step, n, any))
			(void)send_run(d, job, step, n, a, 0);
		else
			misses++;
	}
}

/*
 * Places the whole queue.  Returns whether a job found no worker.
 */
static bool
place_all(struct mlk_dispatcher *d)
{
	struct queue_walk walk;
	uint32_t misses = 0;
	struct job *job;

	update_use_sick(d);
	dispatch_walk_begin(d, &walk);
	while (misses < PLACE_MISSES_MAX &&
	    (job = dispatch_walk_next(&walk)) != NULL) {
		if (!place_job(d, job))
			misses++;
	}
	d->backlog = misses > 0;
	return (d->backlog);
}

/*
 * Places queued jobs on the agents that reported a new load, and places the
 * jobs queued since the last pass on any agent.  The earlier jobs did not fit
 * on the other workers, whose load is unchanged.  Returns whether a new job
 * found no worker.
 */
static bool
place_changes(struct mlk_dispatcher *d)
{
	bool missed = false;
	struct agent *a;
	struct job *job;
	guint i;

	for (i = 0; i < d->updated_agents->len; i++) {
		a = g_ptr_array_index(d->updated_agents, i);
		place_on_agent(d, a, false);
		if (a->uneven)
			place_on_agent(d, a, true);
	}
	for (i = 0; i < d->new_jobs->len; i++) {
		job = g_hash_table_lookup(
		    d->jobs, &g_array_index(d->new_jobs, uint64_t, i));
		if (job != NULL && job->nqueued > 0 && !place_job(d, job))
			missed = true;
	}
	return (missed);
}

/*
 * Places queued tasks, the most urgent first, and sends WANT for the rest.
 * While there is a backlog, the whole queue is scanned only on ticks.
 */
void
dispatch_place(struct mlk_dispatcher *d, bool tick)
{
	bool missed;

	/* After a pause, first read which callers have disconnected. */
	if (d->now < d->paused_until)
		return;
	dispatch_speeds_due(d);
	if (d->place_due && d->nqueued > 0) {
		missed = d->backlog && !tick ? place_changes(d) : place_all(d);
		if (missed)
			send_wants(d);
	}
	if (d->nqueued == 0)
		d->backlog = false;
	d->place_due = false;
	(void)g_ptr_array_set_size(d->updated_agents, 0);
	(void)g_array_set_size(d->new_jobs, 0);
}

/*
 * Answers an offer with the first job in the queue that fits and, unless `any`
 * is set, suits the speed of the worker.  Returns NULL when there is none.
 */
static struct mlk_msg *
take_offer(struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg,
    bool any)
{
	struct queue_walk walk;
	uint32_t step, n = 0;
	struct job *job;

	dispatch_walk_begin(d, &walk);
	while ((job = dispatch_walk_next(&walk)) != NULL) {
		if (!dispatch_agent_usable(d, a, job->pool) || avoided(job, a))
			continue;
		step = step_that_fits(job, &msg->u.offer.resources, &n);
		if (step < job->nsteps && suits(d, a, job, step, n, any))
			return (
			    send_run(d, job, step, n, a, msg->u.offer.offer));
	}
	return (NULL);
}

/*
 * Handles OFFER: the most urgent queued tasks that fit are sent.
 */
void
dispatch_offer(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg)
{
	struct mlk_msg *reply = NULL;
	struct mlk_want want;

	a->last_recv = d->now;
	a->echo = msg->u.offer.sent_at;
	if (d->now >= d->paused_until) {
		reply = take_offer(d, a, msg, false);
		if (reply == NULL && a->uneven)
			reply = take_offer(d, a, msg, true);
	}
	dispatch_queue_want(d, a->info.pool, &want);
	if (d->now < d->paused_until || a->evacuated)
		want.tasks = 0;
	if (reply != NULL) {
		d->counters.offers_taken++;
		reply->u.run.want = want;
	} else {
		d->counters.offers_passed++;
		reply = dispatch_send(d, a->link, MLK_MSG_WANT);
		reply->u.want.sent_at = dispatch_now_ms(d);
		reply->u.want.offer = msg->u.offer.offer;
		reply->u.want.want = want;
		a->last_sent = d->now;
	}
	record_want(d, a, &want);
}
