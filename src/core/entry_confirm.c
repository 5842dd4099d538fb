/*
 * Confirmation of answers that report a job or a task as not run.  Such an
 * answer is held back until it is shown that no other owner can have run the
 * work: by a read of the table that began after the decision, or, while the
 * store is down, by one agent that has not seen a higher epoch of the
 * partition.
 */
#include <string.h>

#include "entry_impl.h"

/* A confirmation fails if the queried agent has not replied in this time. */
#define AGENT_WAIT_NS MLK_NSEC_PER_SEC

/*
 * Returns whether, as far as this entry knows, no task of the job was started
 * anywhere.
 */
bool
job_untouched(const struct job *j)
{
	uint32_t i;

	if (j->claimed)
		return (false);
	for (i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].status != MLK_TASK_QUEUED &&
		    j->tasks[i].status != MLK_TASK_NOT_RUN)
			return (false);
	}
	return (true);
}

/*
 * Queries one agent for its record of the id.  Another owner starts tasks of
 * the id only when every agent is accounted for.  The agent that is queried is
 * linked, has answered FENCE here and is not closed, so another owner needs a
 * FENCE_REPLY from it, after which the agent has seen that owner's epoch.
 * Agents that are leaving are not queried: a saved record replaces their
 * FENCE_REPLY.  Returns false when there is no suitable agent.
 */
static bool
ask_agent(struct mlk_entry *e, struct job *j)
{
	uint64_t bit = 1ULL << mlk_key_partition(j->key);
	struct agent *a;
	struct mlk_msg *m;
	guint i, first;

	first = e->agents->len == 0 ? 0 : (guint)(j->key.hi % e->agents->len);
	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, (first + i) % e->agents->len);
		if (a->link == NULL || (a->fenced & bit) == 0 || a->leaving ||
		    accounts_must_reregister(e, a))
			continue;
		m = entry_send(e, a->link, MLK_MSG_QUERY);
		if (m == NULL)
			return (false);
		m->u.query.key = j->key;
		j->confirm_agent = a->handle;
		j->asked_at = e->now;
		return (true);
	}
	return (false);
}

/*
 * Holds the answer back until a poll that begins after this call has completed.
 */
static void
hold_answer(struct mlk_entry *e, struct job *j)
{
	j->state = JOB_CONFIRMING;
	j->confirm_after = e->last_op;
	j->confirm_agent = ENTRY_NO_HANDLE;
	j->requery_at = 0;
	jobs_queue(j, &e->confirming);
	e->poll_wanted = true;
}

/*
 * Holds the answer of a job back until the next poll of the table confirms it
 * or, while the store is down, an agent does.
 */
void
jobs_confirm_start(struct mlk_entry *e, struct job *j)
{
	hold_answer(e, j);
	if (!e->store_up)
		(void)ask_agent(e, j);
}

static bool
has_not_run_task(const struct job *j)
{
	uint32_t i;

	for (i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].status == MLK_TASK_NOT_RUN)
			return (true);
	}
	return (false);
}

/*
 * Called when an ended job is requested again.  Starts another confirmation and
 * returns true if the answer reports a task as not run: a new owner may have
 * started that task since.
 */
bool
jobs_confirm_again(struct mlk_entry *e, struct job *j)
{
	if (j->state != JOB_ENDED || !has_not_run_task(j))
		return (false);
	e->jobs_running++;
	jobs_confirm_start(e, j);
	return (true);
}

/*
 * Refuses a job of which no task ran.  The answer is sent once it is confirmed
 * that this entry still owns the partition.
 */
void
jobs_refuse(struct mlk_entry *e, struct job *j, uint32_t retry_after_ms,
    const char *reason)
{
	uint32_t i;

	for (i = 0; i < j->ntasks; i++) {
		dispatch_release(e, j, i, MLK_TASK_NOT_RUN, 0);
		j->tasks[i].status = MLK_TASK_NOT_RUN;
	}
	j->open = 0;
	j->outcome = MLK_OUTCOME_REFUSED;
	j->retry_after_ms = retry_after_ms;
	job_set_reason(j, reason);
	jobs_confirm_start(e, j);
}

/*
 * Ends the confirmation of a job.  If it succeeded (`ok`), the answer is sent;
 * a job that was refused, except by a cancel, is then removed so that the
 * caller may submit it again.  Otherwise the requests are answered with
 * unknown, and a job that is to be retained waits for the next confirmation.
 */
static void
settle_confirmation(struct mlk_entry *e, struct job *j, bool ok)
{
	bool keep = j->cancelled || j->outcome != MLK_OUTCOME_REFUSED;

	if (ok && keep) {
		jobs_finish(e, j);
		return;
	}
	if (ok) {
		jobs_count_outcome(e, j->outcome);
		j->state = JOB_ENDED;
		e->jobs_running--;
		jobs_answer_waiters(e, j);
		jobs_drop(e, j);
		return;
	}
	if (!keep) {
		jobs_unknown(e, j, "ownership could not be confirmed");
		return;
	}
	jobs_answer_unknown(e, j, "ownership could not be confirmed");
	hold_answer(e, j);
}

/*
 * Called when the table could not be read.  Returns whether the job waits for
 * the reply of an agent instead, for at most AGENT_WAIT_NS.
 */
static bool
await_agent(struct mlk_entry *e, struct job *j)
{
	if (j->confirm_agent == ENTRY_NO_HANDLE && !ask_agent(e, j))
		return (false);
	if (e->now - j->asked_at >= AGENT_WAIT_NS)
		return (false);
	j->confirm_after = e->last_op;
	jobs_queue(j, &e->confirming);
	return (true);
}

/*
 * Called with the operation id and status of a completed poll; settles the jobs
 * whose confirmation began before that poll.  The poll's view was applied
 * first, so jobs of lost partitions are no longer in the queue.
 */
void
jobs_confirm_poll_done(
    struct mlk_entry *e, uint64_t poll, enum mlk_store_status status)
{
	struct job *j;

	while ((j = g_queue_peek_head(&e->confirming)) != NULL &&
	    j->confirm_after < poll) {
		if (status == MLK_STORE_OK || !await_agent(e, j))
			settle_confirmation(e, j, status == MLK_STORE_OK);
	}
}

/*
 * QUERY_REPLY of the agent that was asked.  A higher epoch, or a record of a
 * job that is about to be refused, shows that there is another owner.  An agent
 * sends LEAVE before it saves its record, so a reply that arrives before LEAVE
 * was sent before the record was saved.
 */
void
jobs_confirm_reply(struct mlk_entry *e, struct job *j, const struct agent *a,
    const struct mlk_msg *msg)
{
	uint32_t p = mlk_key_partition(j->key);

	if (j->confirm_agent != a->handle)
		return;
	settle_confirmation(e, j,
	    !a->leaving && msg->u.query_reply.incarnation == a->incarnation &&
		msg->u.query_reply.epoch == e->part[p].epoch &&
		(msg->u.query_reply.n == 0 ||
		    j->outcome != MLK_OUTCOME_REFUSED));
}
