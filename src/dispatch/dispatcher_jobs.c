/*
 * Callers' jobs, from the request to the answer.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

/*
 * An answer later than this multiple of the target response time is of no use
 * to the caller.
 */
#define USEFUL_GOALS 3
/*
 * At most 1/REMAINDER_DIVISOR of a job's tasks may be left for it to be
 * finished late.  Without a bound, begun jobs would crowd out those that are on
 * time.
 */
#define REMAINDER_DIVISOR 2
/*
 * Run times may exceed the expected ones, and a job ends only with its longest
 * task.  Under overload, least-slack-first starts every job as late as its
 * expected run time allows, so without a margin half of the jobs finish late.
 */
#define WORK_MARGIN_PERCENT 130
#define EVACUATED_CAUSE \
	"every data centre with workers of its pool is evacuated"

void
dispatch_job_free(gpointer data)
{
	struct job *job = data;

	g_bytes_unref(job->spec);
	g_free(job->steps);
	g_free(job->left);
	g_free(job->tasks);
	g_free(job);
}

static void
answer(struct mlk_dispatcher *d, uint64_t request,
    enum mlk_work_outcome outcome, uint32_t retry_after_ms)
{
	struct mlk_dispatch_effect *fx;

	fx = mlk_dispatch_push(d->out, MLK_DISPATCH_FX_ANSWER);
	if (fx == NULL)
		g_error("out of memory");
	fx->u.answer.request = request;
	fx->u.answer.outcome = outcome;
	fx->u.answer.retry_after_ms = retry_after_ms;
}

static void
count_outcome(struct mlk_dispatcher *d, enum mlk_work_outcome outcome)
{
	switch (outcome) {
	case MLK_WORK_COMPLETED:
		d->counters.completed++;
		break;
	case MLK_WORK_FAILED:
		d->counters.failed++;
		break;
	case MLK_WORK_REFUSED:
	case MLK_WORK_INVALID:
		d->counters.refused++;
		break;
	case MLK_WORK_NO_ROUTE:
		d->counters.no_route++;
		break;
	case MLK_WORK_BROKEN:
		d->counters.broken++;
		break;
	case MLK_WORK_LATE:
		d->counters.late++;
		break;
	}
}

/*
 * Removes a task from the agent that it was sent to; the caller sets its next
 * state.
 */
static void
task_unassign(struct mlk_dispatcher *d, struct task *task)
{
	struct agent *a = task->agent;

	(void)g_ptr_array_remove_fast(a->tasks, task);
	task->agent = NULL;
	task->state = TASK_BLOCKED;
	task->job->nsent--;
	d->nsent--;
}

/*
 * Sends one DROP to each agent that holds runs of a job.
 */
static void
drop_runs(struct mlk_dispatcher *d, struct job *job)
{
	struct task *task, *other;
	struct mlk_msg *msg;
	uint32_t i, k;

	for (i = 0; i < job->ntasks; i++) {
		task = &job->tasks[i];
		if (task->state != TASK_SENT)
			continue;
		for (k = 0; k < i; k++) {
			other = &job->tasks[k];
			if (other->state == TASK_SENT &&
			    other->agent == task->agent)
				break;
		}
		if (k < i)
			continue;
		msg = dispatch_send(d, task->agent->link, MLK_MSG_DROP);
		msg->u.drop.sent_at = dispatch_now_ms(d);
		msg->u.drop.job = job->handle;
		task->agent->last_sent = d->now;
	}
}

/*
 * Frees a job.  Its active runs are stopped.
 */
static void
job_remove(struct mlk_dispatcher *d, struct job *job)
{
	struct task *task;
	uint32_t i;

	drop_runs(d, job);
	for (i = 0; i < job->ntasks; i++) {
		task = &job->tasks[i];
		if (task->state == TASK_QUEUED)
			dispatch_dequeue(d, task);
		else if (task->state == TASK_SENT ||
		    task->state == TASK_DETACHED)
			task_unassign(d, task);
		task->state = TASK_DONE;
	}
	for (i = 0; i < job->nrequests; i++)
		(void)g_hash_table_remove(d->by_request, &job->requests[i]);
	(void)g_hash_table_remove(d->by_id, job->id);
	(void)g_hash_table_remove(d->jobs, &job->handle);
}

/*
 * Answers every request that waits for a job, and frees the job.
 */
static void
job_answer(struct mlk_dispatcher *d, struct job *job,
    enum mlk_work_outcome outcome, uint32_t retry_after_ms)
{
	uint32_t i;

	for (i = 0; i < job->nrequests; i++) {
		count_outcome(d, outcome);
		answer(d, job->requests[i], outcome, retry_after_ms);
	}
	job_remove(d, job);
}

/*
 * Queues the tasks of steps whose preceding steps are all done.
 */
static void
release_steps(struct mlk_dispatcher *d, struct job *job)
{
	uint64_t done = 0;
	uint32_t i;

	for (i = 0; i < job->nsteps; i++) {
		if (job->left[i] == 0)
			done |= 1ULL << i;
	}
	for (i = 0; i < job->ntasks; i++) {
		if (job->tasks[i].state == TASK_BLOCKED &&
		    (job->steps[job->tasks[i].step].after & ~done) == 0)
			dispatch_enqueue(d, &job->tasks[i]);
	}
}

static void
avoid_agent(struct job *job, struct agent *a)
{
	uint32_t i;

	for (i = 0; i < job->navoid; i++) {
		if (job->avoid[i] == a)
			return;
	}
	if (job->navoid < AVOID_MAX)
		job->avoid[job->navoid++] = a;
}

static void
task_done(struct mlk_dispatcher *d, struct task *task, const struct agent *a,
    uint32_t run_ms)
{
	struct job *job = task->job;
	double cpu;

	dispatch_runtime_record(d, job, task->step, a, run_ms);
	if (d->demand != NULL && run_ms > 0) {
		cpu = job->steps[task->step].resources.cpu;
		demand_ran(d->demand, job->route,
		    cpu * dispatch_runtime_ms(d, job, task->step),
		    cpu * run_ms);
	}
	task->state = TASK_DONE;
	job->left[task->step]--;
	job->nleft--;
	if (job->nleft == 0)
		job_answer(d, job, MLK_WORK_COMPLETED, 0);
	else if (job->left[task->step] == 0)
		release_steps(d, job);
}

static void
task_failed(struct mlk_dispatcher *d, struct task *task, struct agent *a)
{
	struct job *job = task->job;

	d->counters.tasks_failed++;
	task->failures++;
	dispatch_log(d, MLK_LOG_INFO, job, a->id,
	    "task %u.%u failed, %u of %u attempts", task->step, task->index,
	    task->failures, job->attempts);
	if (task->failures >= job->attempts) {
		job_answer(d, job, MLK_WORK_FAILED, 0);
		return;
	}
	avoid_agent(job, a);
	dispatch_enqueue(d, task);
}

/*
 * Handles the result of a run, or the report that it was not started: the task
 * is done or is queued again.
 */
void
dispatch_task_ended(struct mlk_dispatcher *d, struct task *task,
    enum mlk_run_end end, uint32_t run_ms)
{
	struct agent *a = task->agent;

	task_unassign(d, task);
	if (end != MLK_RUN_BUSY && end != MLK_RUN_REFUSED)
		task->job->ran = true;
	switch (end) {
	case MLK_RUN_DONE:
		task_done(d, task, a, run_ms);
		return;
	case MLK_RUN_FAILED:
		task_failed(d, task, a);
		return;
	case MLK_RUN_BUSY:
		d->counters.tasks_busy++;
		break;
	case MLK_RUN_REFUSED:
		d->counters.tasks_refused++;
		break;
	case MLK_RUN_LOST:
	case MLK_RUN_STOPPED:
		d->counters.tasks_lost++;
		dispatch_log(d, MLK_LOG_INFO, task->job, a->id,
		    "run of task %u.%u lost", task->step, task->index);
		break;
	case MLK_RUN_STALLED:
		avoid_agent(task->job, a);
		task->moves++;
		d->counters.tasks_moved++;
		break;
	}
	dispatch_enqueue(d, task);
}

/*
 * Marks a task whose link was closed.
 */
void
dispatch_task_detach(struct task *task)
{
	if (task->state == TASK_SENT)
		task->state = TASK_DETACHED;
}

static struct job *
job_create(struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev,
    const struct mlk_route *route)
{
	const struct mlk_work *work = ev->u.submit.work;
	uint32_t i, k, n = 0;
	int64_t deadline_ms, work_ns;
	struct job *job;

	job = g_new0(struct job, 1);
	job->handle = ++d->last_job;
	(void)g_strlcpy(job->id, work->id, sizeof(job->id));
	(void)g_strlcpy(
	    job->request_id, ev->u.submit.request_id, sizeof(job->request_id));
	(void)g_strlcpy(job->pool, route->pool, sizeof(job->pool));
	(void)g_strlcpy(job->route, route->name, sizeof(job->route));
	job->priority = route->priority;
	job->attempts = MAX(route->attempts, 1);
	job->arrived = d->now - ev->u.submit.held;
	deadline_ms = ev->u.submit.deadline_ms != 0 ? ev->u.submit.deadline_ms :
						      route->timeout_ms;
	/* The request may have waited unread for the whole pause. */
	job->deadline = job->arrived + deadline_ms * MS - d->pause;
	job->spec = g_bytes_new(work->spec, work->spec_len);
	job->nsteps = work->nsteps;
	job->steps =
	    g_memdup2(work->steps, work->nsteps * sizeof(*work->steps));
	job->left = g_new0(uint32_t, work->nsteps);
	for (i = 0; i < work->nsteps; i++)
		n += work->steps[i].count;
	job->tasks = g_new0(struct task, n);
	job->ntasks = n;
	job->nleft = n;
	for (i = 0, n = 0; i < work->nsteps; i++) {
		job->left[i] = work->steps[i].count;
		for (k = 0; k < work->steps[i].count; k++, n++) {
			job->tasks[n].job = job;
			job->tasks[n].step = i;
			job->tasks[n].index = k;
		}
	}
	job->goal_ns = dispatch_goal_ns(
	    d, job, route->target_ms, route->stretch, &work_ns);
	job->work_ns = work_ns;
	job->start_by =
	    job->arrived + job->goal_ns - work_ns * WORK_MARGIN_PERCENT / 100;
	(void)g_hash_table_insert(d->jobs, &job->handle, job);
	(void)g_hash_table_insert(d->by_id, job->id, job);
	return (job);
}

static void
add_request(struct mlk_dispatcher *d, struct job *job, uint64_t request)
{
	job->requests[job->nrequests++] = request;
	(void)g_hash_table_insert(
	    d->by_request, g_memdup2(&request, sizeof(request)), job);
}

/*
 * Refuses a request of which nothing was started.
 */
void
dispatch_refuse(struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev,
    enum mlk_work_outcome outcome, const char *cause)
{
	struct mlk_dispatch_effect *fx;

	count_outcome(d, outcome);
	answer(d, ev->u.submit.request, outcome,
	    outcome == MLK_WORK_REFUSED ? RETRY_AFTER_MIN_MS : 0);
	fx = mlk_dispatch_push(d->out, MLK_DISPATCH_FX_LOG);
	if (fx == NULL)
		return;
	fx->u.log.level = MLK_LOG_INFO;
	(void)g_strlcpy(fx->u.log.request, ev->u.submit.request_id,
	    sizeof(fx->u.log.request));
	if (ev->u.submit.work != NULL)
		(void)g_strlcpy(fx->u.log.job, ev->u.submit.work->id,
		    sizeof(fx->u.log.job));
	(void)g_snprintf(
	    fx->u.log.text, sizeof(fx->u.log.text), "refused: %s", cause);
}

/*
 * Tells whether this process started so recently that its routing table and
 * agents may still be missing.
 */
bool
dispatch_warming_up(const struct mlk_dispatcher *d)
{
	return (d->now - d->created < WARM_UP_NS);
}

/*
 * Returns why a request is refused, or NULL.
 */
static const char *
refusal(struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev,
    const struct mlk_route *route)
{
	if (ev->u.submit.work->unsupported != NULL)
		return (ev->u.submit.work->unsupported);
	if (g_hash_table_size(d->jobs) >= d->options.max_jobs)
		return ("too many jobs at work");
	if (d->pause > 0 && d->pause >= (int64_t)ev->u.submit.deadline_ms * MS)
		return ("its deadline may have passed during a pause");
	if (!dispatch_warming_up(d) && dispatch_pool_evacuated(d, route->pool))
		return (EVACUATED_CAUSE);
	if (!dispatch_pool_ready(d, route->pool) && !dispatch_warming_up(d))
		return ("no worker of its pool can be reached");
	return (NULL);
}

/*
 * Accepts a caller's request.  If a job with the same id is in progress, the
 * request waits for that job.
 */
void
dispatch_submit(struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev)
{
	const struct mlk_route *route;
	const char *cause;
	struct job *job;

	if (d->routing.version == 0) {
		if (!dispatch_warming_up(d) || !dispatch_park(d, ev))
			dispatch_refuse(
			    d, ev, MLK_WORK_REFUSED, "no routing table yet");
		return;
	}
	route = mlk_routing_match(
	    &d->routing, ev->u.submit.host, ev->u.submit.path);
	if (route == NULL) {
		dispatch_refuse(d, ev, MLK_WORK_NO_ROUTE, "no route");
		return;
	}
	if (ev->u.submit.work == NULL) {
		dispatch_refuse(d, ev, MLK_WORK_INVALID, "malformed");
		return;
	}
	job = g_hash_table_lookup(d->by_id, ev->u.submit.work->id);
	if (job != NULL && job->nrequests < REQUESTS_MAX) {
		d->counters.jobs_joined++;
		add_request(d, job, ev->u.submit.request);
		return;
	}
	cause = job != NULL ? "too many requests for one job" :
			      refusal(d, ev, route);
	if (cause != NULL) {
		dispatch_refuse(d, ev, MLK_WORK_REFUSED, cause);
		return;
	}
	d->counters.jobs++;
	job = job_create(d, ev, route);
	add_request(d, job, ev->u.submit.request);
	if (dispatch_admit(d, job))
		release_steps(d, job);
}

/*
 * The caller has disconnected.  A disconnected caller does not ask for the
 * result later, so the job's runs are stopped unless another request waits for
 * it.
 */
void
dispatch_caller_gone(struct mlk_dispatcher *d, uint64_t request)
{
	struct job *job;
	uint32_t i;

	if (dispatch_parked_gone(d, request))
		return;
	job = g_hash_table_lookup(d->by_request, &request);
	if (job == NULL)
		return;
	(void)g_hash_table_remove(d->by_request, &request);
	for (i = 0; i < job->nrequests; i++) {
		if (job->requests[i] == request)
			job->requests[i] = job->requests[--job->nrequests];
	}
	if (job->nrequests > 0)
		return;
	d->counters.abandoned++;
	dispatch_log(d, MLK_LOG_INFO, job, NULL,
	    "caller left after %" PRId64 " ms, %u tasks at work",
	    (d->now - job->arrived) / MS, job->nsent);
	job_remove(d, job);
}

/*
 * Ends a job without a result.  It may be answered as refused only if none of
 * its tasks has started or can still start.
 */
static void
job_give_up(struct mlk_dispatcher *d, struct job *job,
    enum mlk_work_outcome outcome, const char *cause)
{
	if (!job->ran && job->nsent == 0)
		outcome = MLK_WORK_REFUSED;
	dispatch_log(d, MLK_LOG_INFO, job, NULL,
	    "given up after %" PRId64 " ms: %s, %u of %u tasks left, %u sent",
	    (d->now - job->arrived) / MS, cause, job->nleft, job->ntasks,
	    job->nsent);
	job_answer(d, job, outcome,
	    outcome == MLK_WORK_REFUSED ? dispatch_retry_after_ms(d, job) : 0);
}

/*
 * Refuses a job of which nothing has started.
 */
void
dispatch_job_refuse(
    struct mlk_dispatcher *d, struct job *job, uint32_t retry_after_ms)
{
	job_answer(d, job, MLK_WORK_REFUSED, retry_after_ms);
}

/*
 * Returns the latest start that gives a late but useful result, for a job whose
 * start_by refers to its goal.
 */
static int64_t
last_useful_start(const struct job *job)
{
	return (job->start_by + job->goal_ns * (USEFUL_GOALS - 1));
}

/*
 * Tells whether a job of which nothing has started should be refused: its
 * result would come too late to be useful, or it has used half of its deadline.
 * The other half is left for a retry at another entry.
 */
static bool
waited_too_long(struct mlk_dispatcher *d, const struct job *job)
{
	int64_t useful, half;

	if (job->ran || job->nsent > 0)
		return (false);
	if (dispatch_admission_hopeless(d, job))
		return (true);
	useful = last_useful_start(job);
	half = job->arrived + (job->deadline - job->arrived) / 2;
	return (d->now >= MIN(useful, half));
}

/*
 * Tells whether a job of which nothing has started waits for workers that are
 * all in evacuated data centres.
 */
static bool
is_evacuated(const struct mlk_dispatcher *d, const struct job *job)
{
	return (!job->ran && job->nsent == 0 && !dispatch_warming_up(d) &&
	    dispatch_pool_evacuated(d, job->pool));
}

/*
 * Extends the latest start of a late job of which little is left, to that of a
 * result that is late but useful.
 *
 * In an overload, late jobs come after all jobs that are on time, and a job
 * that waits for its last tasks would never end: its runs would have been for
 * nothing, and its caller waits until the deadline.  The remainder costs less
 * than a job that has yet to start.
 */
static void
extend_begun(const struct mlk_dispatcher *d, struct job *job)
{
	if (job->extended || !job->ran || job->nqueued == 0 ||
	    job->start_by >= d->now ||
	    job->nleft * REMAINDER_DIVISOR > job->ntasks)
		return;
	job->extended = true;
	dispatch_requeue(job, last_useful_start(job));
}

/*
 * Ends jobs whose deadline has passed or that have waited too long.
 */
void
dispatch_jobs_due(struct mlk_dispatcher *d)
{
	GHashTableIter iter;
	GPtrArray *over;
	gpointer job;
	guint i;

	dispatch_drain_update(d);
	over = g_ptr_array_new();
	g_hash_table_iter_init(&iter, d->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &job)) {
		if (d->now >= ((struct job *)job)->deadline ||
		    waited_too_long(d, job) || is_evacuated(d, job))
			g_ptr_array_add(over, job);
		else
			extend_begun(d, job);
	}
	for (i = 0; i < over->len; i++) {
		job = g_ptr_array_index(over, i);
		job_give_up(d, job, MLK_WORK_LATE,
		    is_evacuated(d, job) ? EVACUATED_CAUSE : "no time left");
	}
	(void)g_ptr_array_free(over, TRUE);
}

/*
 * Answers all remaining jobs because the process is about to exit.
 */
void
dispatch_jobs_end(struct mlk_dispatcher *d)
{
	GHashTableIter iter;
	gpointer job;

	for (;;) {
		g_hash_table_iter_init(&iter, d->jobs);
		if (!g_hash_table_iter_next(&iter, NULL, &job))
			return;
		job_give_up(d, job, MLK_WORK_BROKEN, "planned stop");
	}
}
