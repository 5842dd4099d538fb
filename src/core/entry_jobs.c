/*
 * Jobs of the partitions that this entry owns: task results, the end of a job,
 * its answer, cancellation and retention.  The states of a job and their
 * transitions are in entry_impl.h (enum job_state).
 *
 * While this entry owns the partition, a job of which a task may have started
 * stays known until its retention period is over: with its results, or only by
 * its key (in `evicted`) once it was evicted from a full job table.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"

#define ACK_RESULTS 64 /* results on a link after which an ACK is sent */
#define ACK_DELAY_NS MLK_NSEC_PER_SEC
/* Limit per tick on expired jobs, and separately on expired evicted keys. */
#define EXPIRE_MAX 1000
#define EVICTED_PER_JOB 16 /* keys in `evicted` per job of max_jobs */
#define TABLE_FULL_RETRY_MS 1000
#define RESULTS_TOO_LONG "the results of the job exceed 8388608 bytes"

struct job *
jobs_find(struct mlk_entry *e, struct mlk_key key)
{
	return (g_hash_table_lookup(e->jobs, &key));
}

bool
jobs_evicted(struct mlk_entry *e, struct mlk_key key)
{
	return (g_hash_table_contains(e->evicted, &key));
}

/*
 * Moves a job to the tail of `queue`; with NULL, only removes it from its
 * queue.
 */
void
jobs_queue(struct job *j, GQueue *queue)
{
	if (j->queue != NULL)
		g_queue_unlink(j->queue, &j->node);
	j->queue = queue;
	if (queue != NULL)
		g_queue_push_tail_link(queue, &j->node);
}

/*
 * Frees the parts that are needed only until the job ends.
 */
static void
job_free_work(struct job *j)
{
	if (j->spec != NULL)
		mlk_job_spec_clear(j->spec);
	g_clear_pointer(&j->spec, g_free);
	if (j->queried != NULL)
		(void)g_array_free(j->queried, TRUE);
	j->queried = NULL;
}

void
job_set_reason(struct job *j, const char *reason)
{
	g_free(j->reason);
	j->reason = g_strdup(reason);
}

static void
job_free(struct job *j)
{
	uint32_t i;

	jobs_queue(j, NULL);
	for (i = 0; i < j->ntasks; i++)
		mlk_blob_clear(&j->tasks[i].payload);
	g_free(j->tasks);
	job_free_work(j);
	g_free(j->reason);
	g_free(j);
}

/*
 * Evicts the oldest ended job and keeps only its key.  Returns false when no
 * job has ended or the table of keys is full.
 */
static bool
evict_oldest(struct mlk_entry *e)
{
	struct job *j = g_queue_peek_head(&e->ended);
	struct evicted *f;

	if (j == NULL ||
	    g_hash_table_size(e->evicted) >=
		(uint64_t)e->opt.max_jobs * EVICTED_PER_JOB)
		return (false);
	f = g_new0(struct evicted, 1);
	f->key = j->key;
	f->at = j->ended_at;
	g_queue_push_tail(&e->evicted_order, f);
	(void)g_hash_table_insert(e->evicted, &f->key, f);
	(void)g_hash_table_remove(e->jobs, &j->key);
	job_free(j);
	return (true);
}

/*
 * Creates a job from the body of a request, which is moved into the job; the
 * caller joins the request to it.  The job is held until its partition is
 * accounted for.
 */
struct job *
jobs_create(struct mlk_entry *e, struct request *r)
{
	struct job *j;
	uint32_t i;

	j = g_new0(struct job, 1);
	j->key = r->key;
	j->spec = g_memdup2(&r->spec, sizeof(r->spec));
	memset(&r->spec, 0, sizeof(r->spec));
	j->digest = j->spec->digest;
	j->ntasks = j->spec->ntasks;
	j->open = j->ntasks;
	j->tasks = g_new0(struct job_task, j->ntasks);
	for (i = 0; i < j->ntasks; i++) {
		j->tasks[i].handle = ENTRY_NO_HANDLE;
		j->tasks[i].agent = ENTRY_NO_HANDLE;
	}
	j->queried = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_queue_init(&j->waiters);
	j->node.data = j;
	j->held_since = r->since;
	if (j->spec->deadline_ms != 0)
		j->deadline = r->since + entry_ms_to_ns(j->spec->deadline_ms);
	j->state = JOB_HELD;
	jobs_queue(j, &e->held);
	(void)g_hash_table_insert(e->jobs, &j->key, j);
	e->jobs_running++;
	e->counters.jobs_submitted++;
	return (j);
}

/* ---- answers --------------------------------------------------------- */

/*
 * Fills in the answer for the current state of the job; the outcome is pending
 * until the job has ended.  When there is no memory for the results, the
 * outcome is unknown: a partial answer is never given.
 */
void
job_answer(struct mlk_entry *e, const struct job *j, struct mlk_job_answer *out)
{
	const struct agent *a;
	struct mlk_task_result *r;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->key = j->key;
	if (j->state != JOB_ENDED)
		return;
	out->outcome = j->outcome;
	out->retry_after_ms = j->retry_after_ms;
	if (j->reason != NULL)
		(void)g_strlcpy(out->reason, j->reason, sizeof(out->reason));
	if (j->outcome != MLK_OUTCOME_COMPLETE &&
	    j->outcome != MLK_OUTCOME_FAILED)
		return;
	out->tasks = calloc(j->ntasks, sizeof(*out->tasks));
	for (i = 0; out->tasks != NULL && i < j->ntasks; i++) {
		r = &out->tasks[i];
		r->status = j->tasks[i].status;
		r->run_ms = j->tasks[i].run_ms;
		a = members_agent(e, j->tasks[i].agent);
		if (a != NULL)
			memcpy(r->worker, a->id, sizeof(r->worker));
		out->ntasks++;
		if (mlk_blob_copy(&r->payload, j->tasks[i].payload.data,
			j->tasks[i].payload.len) != 0)
			break;
	}
	if (out->ntasks == j->ntasks && (out->tasks != NULL || i == 0))
		return;
	mlk_job_answer_clear(out);
	out->key = j->key;
	out->outcome = MLK_OUTCOME_UNKNOWN;
	(void)g_strlcpy(out->reason, "out of memory", sizeof(out->reason));
}

void
jobs_answer_waiters(struct mlk_entry *e, struct job *j)
{
	struct mlk_job_answer answer;
	struct request *r;

	while ((r = g_queue_peek_head(&j->waiters)) != NULL) {
		job_answer(e, j, &answer);
		forward_answer(e, r, &answer, false);
	}
}

void
jobs_count_outcome(struct mlk_entry *e, enum mlk_outcome outcome)
{
	switch (outcome) {
	case MLK_OUTCOME_PENDING:
		break;
	case MLK_OUTCOME_COMPLETE:
		e->counters.jobs_complete++;
		break;
	case MLK_OUTCOME_FAILED:
		e->counters.jobs_failed++;
		break;
	case MLK_OUTCOME_REFUSED:
		e->counters.jobs_refused++;
		break;
	case MLK_OUTCOME_UNKNOWN:
		e->counters.jobs_unknown++;
		break;
	}
}

/*
 * Ends a job whose outcome is set: answers all waiting requests and retains
 * the job.  A job that ended before and was confirmed again is counted once.
 */
void
jobs_finish(struct mlk_entry *e, struct job *j)
{
	if (j->ended_at == 0)
		jobs_count_outcome(e, j->outcome);
	j->state = JOB_ENDED;
	j->ended_at = e->now;
	j->requery_at = 0;
	jobs_queue(j, &e->ended);
	job_free_work(j);
	e->jobs_running--;
	jobs_answer_waiters(e, j);
}

/*
 * Answers all waiting requests with `unknown`; the job itself stays.
 */
void
jobs_answer_unknown(struct mlk_entry *e, struct job *j, const char *reason)
{
	struct mlk_job_answer answer;
	struct request *r;

	while ((r = g_queue_peek_head(&j->waiters)) != NULL) {
		memset(&answer, 0, sizeof(answer));
		answer.key = j->key;
		answer.outcome = MLK_OUTCOME_UNKNOWN;
		(void)g_strlcpy(answer.reason, reason, sizeof(answer.reason));
		forward_answer(e, r, &answer, false);
	}
}

/*
 * Releases the tasks of a job and frees it.  Used for jobs whose retention
 * period is over, whose partition has moved, or of which this entry started no
 * task.  The waiting requests must have been answered, or queued again until
 * their partition has an owner (forward_park()).
 */
void
jobs_drop(struct mlk_entry *e, struct job *j)
{
	uint32_t i;

	for (i = 0; i < j->ntasks; i++)
		dispatch_release(e, j, i, MLK_TASK_NOT_RUN, 0);
	if (j->state != JOB_ENDED)
		e->jobs_running--;
	(void)g_hash_table_remove(e->jobs, &j->key);
	job_free(j);
}

/*
 * Answers all waiting requests with `unknown` and drops the job; only for jobs
 * of which this entry started no task.
 */
void
jobs_unknown(struct mlk_entry *e, struct job *j, const char *reason)
{
	e->counters.jobs_unknown++;
	jobs_answer_unknown(e, j, reason);
	jobs_drop(e, j);
}

/* ---- tasks ----------------------------------------------------------- */

static bool
is_open(enum mlk_task_status status)
{
	return (status == MLK_TASK_QUEUED || status == MLK_TASK_SENT ||
	    status == MLK_TASK_RUNNING);
}

/*
 * Stores the payload of an ended task: its result, or the text of its failure.
 * All payloads of a job must fit into one FORWARD_REPLY.  One that does not fit
 * is replaced by RESULTS_TOO_LONG, and a task that succeeded is then reported
 * as failed.
 */
static void
store_result(struct mlk_entry *e, struct job *j, struct job_task *t,
    const struct mlk_blob *payload)
{
	static const struct mlk_blob too_long = {
		.data = (uint8_t *)RESULTS_TOO_LONG,
		.len = sizeof(RESULTS_TOO_LONG) - 1,
	};

	if (payload->len > MLK_JOB_BYTES_MAX - j->result_bytes) {
		if (t->status == MLK_TASK_DONE)
			t->status = MLK_TASK_FAILED;
		payload = &too_long;
	} else {
		j->result_bytes += payload->len;
	}
	if (mlk_blob_copy(&t->payload, payload->data, payload->len) != 0) {
		e->nomem = true;
		t->status = MLK_TASK_UNKNOWN;
	}
}

/*
 * Sets the final status of an open task; payload may be NULL.  The caller has
 * released the task before, and calls jobs_check_end() afterwards.
 */
void
jobs_end_task(struct mlk_entry *e, struct job *j, uint32_t index,
    enum mlk_task_status status, uint32_t run_ms,
    const struct mlk_blob *payload)
{
	struct job_task *t = &j->tasks[index];

	if (!is_open(t->status))
		return;
	t->status = status;
	t->run_ms = run_ms;
	j->open--;
	if (payload != NULL && !j->cancelled)
		store_result(e, j, t, payload);
	if (t->status == MLK_TASK_DONE)
		e->counters.tasks_done++;
	else if (t->status == MLK_TASK_FAILED)
		e->counters.tasks_failed++;
	else if (t->status == MLK_TASK_UNKNOWN)
		e->counters.tasks_unknown++;
}

/*
 * Sets the counts of tasks by status as the reason, unless one is set already.
 */
static void
set_failure_summary(struct job *j, const uint32_t *count)
{
	if (j->reason != NULL)
		return;
	j->reason =
	    g_strdup_printf("%u failed, %u not run, %u unknown of %u tasks",
		count[MLK_TASK_FAILED], count[MLK_TASK_NOT_RUN],
		count[MLK_TASK_UNKNOWN], j->ntasks);
}

/*
 * Ends a running job that has no open task.  An answer that reports a task as
 * not run is confirmed first.
 */
void
jobs_check_end(struct mlk_entry *e, struct job *j)
{
	uint32_t count[MLK_TASK_UNKNOWN + 1] = { 0 };
	uint32_t i;

	if (j->state != JOB_RUNNING || j->open > 0)
		return;
	for (i = 0; i < j->ntasks; i++)
		count[j->tasks[i].status]++;
	if (count[MLK_TASK_DONE] == j->ntasks && !j->cancelled) {
		j->outcome = MLK_OUTCOME_COMPLETE;
		jobs_finish(e, j);
		return;
	}
	if (j->cancelled && job_untouched(j)) {
		jobs_refuse(e, j, 0, "cancelled");
		return;
	}
	j->outcome = MLK_OUTCOME_FAILED;
	if (j->cancelled)
		job_set_reason(j, "cancelled");
	set_failure_summary(j, count);
	if (count[MLK_TASK_NOT_RUN] > 0)
		jobs_confirm_start(e, j);
	else
		jobs_finish(e, j);
}

/*
 * Starts a job.  A new job is admitted by the scheduler and its tasks are
 * queued.  In a job that was rebuilt from agents' records, a task without a
 * record is started only when the previous owner gave up the job before its
 * end; otherwise an earlier owner may have reported the task as not run.
 */
void
jobs_begin(struct mlk_entry *e, struct job *j, bool rebuilt)
{
	char reason[128] = "";
	uint32_t retry_after = 0;
	uint32_t i;

	j->state = JOB_RUNNING;
	j->startable = !rebuilt || j->was_open;
	jobs_queue(j, j->requery_at != 0 ? &e->recovering : NULL);
	if (!rebuilt && !j->cancelled) {
		if (g_hash_table_size(e->jobs) > e->opt.max_jobs &&
		    !evict_oldest(e)) {
			jobs_refuse(
			    e, j, TABLE_FULL_RETRY_MS, "the job table is full");
			return;
		}
		if (mlk_sched_admit(
			e->sched, j->spec, e->now, &retry_after, reason) != 0) {
			jobs_refuse(e, j, retry_after, reason);
			return;
		}
	}
	for (i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].status != MLK_TASK_QUEUED)
			continue;
		if (j->claimed)
			jobs_end_task(e, j, i, MLK_TASK_UNKNOWN, 0, NULL);
		else if (j->cancelled || !j->startable)
			jobs_end_task(e, j, i, MLK_TASK_NOT_RUN, 0, NULL);
		else
			dispatch_enqueue(e, j, i, false);
	}
	jobs_check_end(e, j);
}

/*
 * Marks a task as running at an agent, as the agent's record says.
 */
void
jobs_track(struct mlk_entry *e, struct job *j, uint32_t index, struct agent *a)
{
	struct job_task *t = &j->tasks[index];

	if (t->status != MLK_TASK_QUEUED)
		return;
	dispatch_release(e, j, index, MLK_TASK_NOT_RUN, 0);
	(void)dispatch_slot_new(e, j, index);
	dispatch_slot_attach(e, t->handle, a);
	t->status = MLK_TASK_RUNNING;
	t->agent = a->handle;
}

/*
 * Cancels a job: queued tasks are not run; the others finish and their results
 * are discarded.  The answer is given when the last task has ended.
 */
void
jobs_cancel(struct mlk_entry *e, struct job *j)
{
	struct mlk_msg *m;
	struct agent *a, *last = NULL;
	struct job_task *t;
	uint32_t i;

	if (j->state == JOB_ENDED || j->state == JOB_CONFIRMING || j->cancelled)
		return;
	j->cancelled = true;
	if (j->state != JOB_RUNNING)
		return;
	for (i = 0; i < j->ntasks; i++) {
		t = &j->tasks[i];
		mlk_blob_clear(&t->payload);
		if (t->status == MLK_TASK_QUEUED) {
			dispatch_release(e, j, i, MLK_TASK_NOT_RUN, 0);
			jobs_end_task(e, j, i, MLK_TASK_NOT_RUN, 0, NULL);
			continue;
		}
		a = is_open(t->status) ? members_agent(e, t->agent) : NULL;
		if (a == NULL || a == last || a->link == NULL)
			continue;
		last = a;
		m = entry_send(e, a->link, MLK_MSG_CANCEL);
		if (m != NULL)
			m->u.cancel.key = j->key;
	}
	jobs_check_end(e, j);
}

/* ---- results --------------------------------------------------------- */

/*
 * Handles the reply that a task was not started: retries the task, or ends
 * it.  A reply with another epoch is ignored: it belongs to a START from an
 * earlier ownership of the partition and was sent again after a reconnect.
 */
static void
handle_not_run(struct mlk_entry *e, struct job *j,
    const struct mlk_result_item *item, const struct agent *a)
{
	struct job_task *t = &j->tasks[item->index];

	if (t->status != MLK_TASK_SENT || t->agent != a->handle ||
	    item->epoch != e->part[mlk_key_partition(j->key)].epoch)
		return;
	dispatch_release(e, j, item->index, MLK_TASK_NOT_RUN, 0);
	e->poll_wanted = true;
	if (!item->retryable) {
		jobs_end_task(
		    e, j, item->index, MLK_TASK_FAILED, 0, &item->payload);
	} else if (j->cancelled || t->tries >= ENTRY_MAX_TRIES) {
		jobs_end_task(
		    e, j, item->index, MLK_TASK_NOT_RUN, 0, &item->payload);
	} else {
		dispatch_retry(e, j, item->index);
	}
}

/*
 * Logs why a task became unknown although its agent is not lost.
 */
static void
log_unknown(struct mlk_entry *e, const struct agent *a, const struct job *j,
    uint32_t index, const char *why)
{
	entry_log(e, MLK_LOG_NOTICE, "%s: task %u of %s is unknown: %s", a->id,
	    index, j->spec->id, why);
}

/*
 * Handles one item of a RESULT.  Items for unknown jobs, and for tasks that
 * have a final status already, are ignored.
 */
static void
handle_result(struct mlk_entry *e, const struct mlk_result_item *item,
    const struct agent *a)
{
	struct job *j = jobs_find(e, item->key);

	if (j == NULL || item->index >= j->ntasks ||
	    (j->state != JOB_RUNNING && j->state != JOB_QUERYING) ||
	    !is_open(j->tasks[item->index].status))
		return;
	switch (item->status) {
	case MLK_TASK_NOT_RUN:
		handle_not_run(e, j, item, a);
		break;
	case MLK_TASK_UNKNOWN:
		log_unknown(e, a, j, item->index, "reported by the agent");
		/* FALLTHROUGH */
	case MLK_TASK_DONE:
	case MLK_TASK_FAILED:
		dispatch_release(e, j, item->index, item->status, item->run_ms);
		jobs_end_task(e, j, item->index, item->status, item->run_ms,
		    &item->payload);
		break;
	case MLK_TASK_QUEUED:
	case MLK_TASK_SENT:
	case MLK_TASK_RUNNING:
		return;
	}
	jobs_check_end(e, j);
}

static void
send_ack(struct mlk_entry *e, struct entry_link *l)
{
	struct mlk_msg *m;

	m = entry_send(e, l, MLK_MSG_ACK);
	if (m == NULL)
		return;
	m->u.ack.seq = l->ack_seq;
	l->ack_pending = 0;
}

/*
 * Handles RESULT: ends tasks and adds the granted credits.  An ACK is sent
 * after ACK_RESULTS results or ACK_DELAY_NS.
 */
void
jobs_results(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	uint32_t i;

	for (i = 0; i < msg->u.result.n; i++)
		handle_result(e, &msg->u.result.items[i], l->agent);
	if (msg->u.result.grant.any != 0 || msg->u.result.grant.short_only != 0)
		mlk_sched_credit(
		    e->sched, l->agent->handle, msg->u.result.grant);
	if (l->ack_pending == 0)
		l->ack_since = e->now;
	l->ack_seq = msg->u.result.seq;
	l->ack_pending += msg->u.result.n;
	if (l->ack_pending >= ACK_RESULTS)
		send_ack(e, l);
}

/*
 * The agent has reconnected, and a START may have been lost with the old
 * link.  Queries the agent's record of every job that has a sent task there.
 * Tasks of one job are mostly adjacent in the list, so few jobs are queried
 * more than once.
 */
void
jobs_query_in_doubt(struct mlk_entry *e, struct agent *a)
{
	const struct task_slot *s;
	struct job *last = NULL;
	struct mlk_msg *m;
	uint32_t h;

	for (h = a->first_task; h != ENTRY_NO_HANDLE; h = s->next) {
		s = dispatch_slot(e, h);
		if (s->job->tasks[s->index].status != MLK_TASK_SENT)
			continue;
		s->job->tasks[s->index].in_doubt = true;
		if (s->job == last)
			continue;
		last = s->job;
		m = entry_send(e, a->link, MLK_MSG_QUERY);
		if (m != NULL)
			m->u.query.key = s->job->key;
	}
}

/*
 * Resolves the in-doubt tasks of a job after the agent's record of it was
 * read.  A sent task that is not in the record was not started, and cannot
 * start any more since its link is closed: it is handled as not run.
 *
 * The task becomes unknown when another incarnation answered, since its record
 * does not cover the task.  It also becomes unknown when it was in the record
 * before, since it may have run: the record was dropped after the retention
 * period, or the endpoint was not reached and the agent reported that to an
 * earlier owner.
 */
void
jobs_resolve_in_doubt(
    struct mlk_entry *e, struct job *j, struct agent *a, bool same_incarnation)
{
	struct mlk_result_item item = { .status = MLK_TASK_NOT_RUN,
		.epoch = e->part[mlk_key_partition(j->key)].epoch,
		.retryable = 1 };
	uint32_t i;

	for (i = 0; i < j->ntasks; i++) {
		if (!j->tasks[i].in_doubt || j->tasks[i].agent != a->handle)
			continue;
		j->tasks[i].in_doubt = false;
		item.index = i;
		if (same_incarnation && j->tasks[i].status == MLK_TASK_SENT) {
			handle_not_run(e, j, &item, a);
			continue;
		}
		log_unknown(e, a, j, i,
		    same_incarnation ?
			"no longer in the agent's record" :
			"another incarnation of the agent answered");
		dispatch_release(e, j, i, MLK_TASK_UNKNOWN, 0);
		jobs_end_task(e, j, i, MLK_TASK_UNKNOWN, 0, NULL);
	}
}

/*
 * Ends all tasks of a lost agent as unknown, since it may have started them.
 */
void
jobs_agent_lost(struct mlk_entry *e, struct agent *a)
{
	struct task_slot *s;
	struct job *j;
	uint32_t index, n = 0;

	while (a->first_task != ENTRY_NO_HANDLE) {
		s = dispatch_slot(e, a->first_task);
		j = s->job;
		index = s->index;
		dispatch_release(e, j, index, MLK_TASK_UNKNOWN, 0);
		jobs_end_task(e, j, index, MLK_TASK_UNKNOWN, 0, NULL);
		jobs_check_end(e, j);
		n++;
	}
	if (n > 0) {
		entry_log(e, MLK_LOG_NOTICE,
		    "%s: %u tasks of the lost incarnation %" PRIu64
		    " are unknown",
		    a->id, n, a->incarnation);
	}
}

/* ---- moving partitions and retention --------------------------------- */

/*
 * Notes in a request, for the next owner, the epoch at which this owner gave up
 * the job before its end.  This owner will not report that end.
 */
static void
note_open_epoch(
    const struct mlk_entry *e, const struct job *j, struct request *r)
{
	if (j->startable)
		r->open_epoch = e->part[mlk_key_partition(j->key)].epoch;
}

/*
 * Gives up a job whose partition has moved.  Waiting requests are parked with
 * the body and go to the new owner.  A job without a waiting request gets one
 * that has no caller, so that its queued tasks are not lost.
 *
 * A cancelled job is answered `unknown`.  A job that has ended is dropped, and
 * requests that wait for it to be confirmed again are parked.
 */
static void
move_job(struct mlk_entry *e, struct job *j)
{
	struct request *r;

	while (j->ended_at != 0 && (r = g_queue_peek_head(&j->waiters)) != NULL)
		forward_park(e, r);
	if (j->ended_at != 0) {
		jobs_drop(e, j);
		return;
	}
	if (j->cancelled) {
		jobs_answer_unknown(e, j, "cancelled while its owner changed");
		jobs_drop(e, j);
		return;
	}
	if (g_queue_is_empty(&j->waiters)) {
		r = g_new0(struct request, 1);
		r->id = ++e->last_request;
		r->key = j->key;
		r->node.data = r;
		r->job = j;
		r->queue = &j->waiters;
		(void)g_hash_table_insert(e->requests, &r->id, r);
		g_queue_push_tail_link(&j->waiters, &r->node);
	}
	while ((r = g_queue_peek_head(&j->waiters)) != NULL) {
		if (!r->from_peer && mlk_job_spec_copy(&r->spec, j->spec) != 0)
			e->nomem = true;
		note_open_epoch(e, j, r);
		forward_park(e, r);
	}
	jobs_drop(e, j);
}

/*
 * Gives up the jobs of the partitions in the mask, in one pass over all jobs.
 */
void
jobs_drop_partitions(struct mlk_entry *e, uint64_t partitions)
{
	GPtrArray *moving = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	struct job *j;
	guint i;

	g_hash_table_iter_init(&iter, e->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		j = value;
		if ((partitions & (1ULL << mlk_key_partition(j->key))) != 0)
			g_ptr_array_add(moving, j);
	}
	for (i = 0; i < moving->len; i++)
		move_job(e, g_ptr_array_index(moving, i));
	g_ptr_array_free(moving, TRUE);
}

/*
 * Drops jobs and evicted keys whose retention period is over.
 */
static void
expire_jobs(struct mlk_entry *e)
{
	int64_t oldest =
	    e->now - (int64_t)e->opt.retention_s * MLK_NSEC_PER_SEC;
	struct evicted *f;
	struct job *j;
	int n;

	for (n = 0; n < EXPIRE_MAX; n++) {
		j = g_queue_peek_head(&e->ended);
		if (j == NULL || j->ended_at > oldest)
			break;
		jobs_drop(e, j);
	}
	for (n = 0; n < EXPIRE_MAX; n++) {
		f = g_queue_peek_head(&e->evicted_order);
		if (f == NULL || f->at > oldest)
			break;
		(void)g_queue_pop_head(&e->evicted_order);
		(void)g_hash_table_remove(e->evicted, &f->key);
		g_free(f);
	}
}

/*
 * Sends the ACKs that are due and drops jobs whose retention period is over.
 */
void
jobs_tick(struct mlk_entry *e)
{
	const struct agent *a;
	guint i;

	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		if (a->link != NULL && a->link->ack_pending > 0 &&
		    e->now - a->link->ack_since >= ACK_DELAY_NS)
			send_ack(e, a->link);
	}
	expire_jobs(e);
}

void
jobs_free(struct mlk_entry *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		job_free(value);
	g_hash_table_destroy(e->jobs);
	g_hash_table_destroy(e->evicted);
	g_queue_clear_full(&e->evicted_order, g_free);
}
