/*
 * Recovery of a job whose id may have been started by an earlier owner.
 *
 * A job is held until its partition is accounted for, that is, until this entry
 * knows which ids every agent may have run in it (see entry_accounts.c).  Then
 * the index of hashes and the claims show whether an agent may have the id on
 * record.  If not, the id is new and its job is started.  Otherwise the agents
 * with a matching hash are queried for their record of the id.  An id that is
 * not claimed, and of which no agent has a record after all, is new as well.
 *
 * In a job that is on record, a task takes its status from the record, or is
 * awaited while it runs.  A task that is not on record becomes unknown when a
 * lost agent may have run it.  Otherwise it ends as not run, unless the
 * previous owner gave up the job before its end; only then is it started (see
 * jobs_begin()).
 */
#include <string.h>

#include "entry_impl.h"

static void
send_query(struct mlk_entry *e, struct agent *a, struct mlk_key key)
{
	struct mlk_msg *m;

	if (a->link == NULL)
		return;
	m = entry_send(e, a->link, MLK_MSG_QUERY);
	if (m != NULL)
		m->u.query.key = key;
}

/*
 * Starts a job after all queried agents have replied or were lost.  A job with
 * a claimed id and without any record is answered unknown.
 */
static void
finish_recovery(struct mlk_entry *e, struct job *j)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < j->ntasks; i++)
		any = any || j->tasks[i].status != MLK_TASK_QUEUED;
	if (j->claimed && !any) {
		jobs_unknown(e, j, "an agent that may have run it is lost");
		return;
	}
	jobs_begin(e, j, any);
}

/*
 * Starts or recovers a held job if this entry knows which ids every agent may
 * have run in the partition.  A job whose id this entry issued at the current
 * epoch is started in any case.  An id that was issued at a higher epoch shows
 * that this entry has been replaced, so the table is polled and the job stays
 * held.
 */
void
recover_job(struct mlk_entry *e, struct job *j)
{
	uint32_t p = mlk_key_partition(j->key);
	struct agent *a;
	guint i;

	if (j->state != JOB_HELD)
		return;
	if (forward_is_issued(e, j->spec->id)) {
		jobs_begin(e, j, false);
		return;
	}
	if (forward_issued_later(e, p, j->spec->id)) {
		e->poll_wanted = true;
		return;
	}
	if ((e->accounted & (1ULL << p)) == 0)
		return;
	j->claimed = accounts_claimed(e, j->key);
	accounts_index_lookup(e, j->key, j->queried);
	j->state = JOB_QUERYING;
	jobs_queue(j, &e->recovering);
	for (i = 0; i < j->queried->len; i++) {
		a = members_agent(e, g_array_index(j->queried, uint32_t, i));
		send_query(e, a, j->key);
	}
	if (j->queried->len == 0)
		finish_recovery(e, j);
}

/*
 * Tries again to start or recover the held jobs, after a change of the
 * accounting.
 */
void
recover_held(struct mlk_entry *e)
{
	GList *node, *next;

	for (node = e->held.head; node != NULL; node = next) {
		next = node->next;
		recover_job(e, node->data);
	}
}

/*
 * Applies an agent's record of one task.  A done task whose result the agent
 * no longer has becomes unknown, and so does a task with any status but
 * running, done or failed.
 */
static void
apply_record(struct mlk_entry *e, struct job *j, struct agent *a,
    const struct mlk_record_item *item)
{
	enum mlk_task_status status = item->status;

	if (item->index >= j->ntasks)
		return;
	j->tasks[item->index].in_doubt = false;
	if (status == MLK_TASK_RUNNING) {
		jobs_track(e, j, item->index, a);
		if (j->requery_at == 0)
			j->requery_at = e->now + ENTRY_REQUERY_NS;
		return;
	}
	if (status == MLK_TASK_DONE && !item->has_result)
		status = MLK_TASK_UNKNOWN;
	if (status != MLK_TASK_DONE && status != MLK_TASK_FAILED)
		status = MLK_TASK_UNKNOWN;
	if (j->tasks[item->index].agent == ENTRY_NO_HANDLE)
		j->tasks[item->index].agent = a->handle;
	dispatch_release(e, j, item->index, status, item->run_ms);
	jobs_end_task(e, j, item->index, status, item->run_ms, &item->payload);
}

static bool
remove_queried(struct job *j, const struct agent *a)
{
	guint i;

	for (i = 0; i < j->queried->len; i++) {
		if (g_array_index(j->queried, uint32_t, i) != a->handle)
			continue;
		g_array_remove_index_fast(j->queried, i);
		return (true);
	}
	return (false);
}

/*
 * Handles QUERY_REPLY, the record of an id at one agent.  Tasks in it have the
 * status that it gives.  A task that is not in it becomes unknown if the reply
 * is not from the incarnation that sent the FENCE_REPLY, or not from the one
 * that the START in doubt was sent to.  A recovered task that was running and
 * is no longer in the record is in doubt, as after the loss of a START.
 */
void
recover_reply(struct mlk_entry *e, struct agent *a, const struct mlk_msg *msg)
{
	struct job *j = jobs_find(e, msg->u.query_reply.key);
	uint64_t incarnation = msg->u.query_reply.incarnation;
	uint32_t i;

	if (j != NULL && j->state == JOB_CONFIRMING) {
		jobs_confirm_reply(e, j, a, msg);
		return;
	}
	if (j == NULL || (j->state != JOB_QUERYING && j->state != JOB_RUNNING))
		return;
	for (i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].status == MLK_TASK_RUNNING &&
		    j->tasks[i].agent == a->handle)
			j->tasks[i].in_doubt = true;
	}
	for (i = 0; i < msg->u.query_reply.n; i++)
		apply_record(e, j, a, &msg->u.query_reply.items[i]);
	if (j->state == JOB_RUNNING) {
		jobs_resolve_in_doubt(e, j, a, incarnation == a->incarnation);
		jobs_check_end(e, j);
		return;
	}
	if (!remove_queried(j, a))
		return;
	j->claimed = j->claimed || incarnation != a->index_incarnation;
	if (j->queried->len == 0)
		finish_recovery(e, j);
}

/*
 * Ends the queries to a lost agent, which will not reply.  Whatever its record
 * held counts as claimed.
 */
void
recover_agent_lost(struct mlk_entry *e, struct agent *a)
{
	GList *node, *next;
	struct job *j;

	for (node = e->recovering.head; node != NULL; node = next) {
		next = node->next;
		j = node->data;
		if (j->state != JOB_QUERYING || !remove_queried(j, a))
			continue;
		j->claimed = true;
		if (j->queried->len == 0)
			finish_recovery(e, j);
	}
}

/*
 * Sends the open queries again to an agent that has reconnected.
 */
void
recover_agent_up(struct mlk_entry *e, struct agent *a)
{
	GList *node;
	struct job *j;
	guint i;

	for (node = e->recovering.head; node != NULL; node = node->next) {
		j = node->data;
		for (i = 0; i < j->queried->len; i++) {
			if (g_array_index(j->queried, uint32_t, i) == a->handle)
				send_query(e, a, j->key);
		}
	}
}

/*
 * Queries recovered tasks that are still running again, in case their RESULT
 * went to the earlier owner.
 */
static void
requery(struct mlk_entry *e, struct job *j)
{
	struct agent *last = NULL;
	struct agent *a;
	bool running = false;
	uint32_t i;

	for (i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].status != MLK_TASK_RUNNING)
			continue;
		running = true;
		a = members_agent(e, j->tasks[i].agent);
		if (a == NULL || a == last)
			continue;
		last = a;
		send_query(e, a, j->key);
	}
	j->requery_at = running ? e->now + ENTRY_REQUERY_NS : 0;
	if (!running)
		jobs_queue(j, NULL);
}

/*
 * Answers `unknown` for a job if, within takeover_wait_ms, its partition was
 * not accounted for or a queried agent did not reply.  Queries running tasks
 * again when due.
 */
void
recover_service(struct mlk_entry *e)
{
	int64_t wait = entry_ms_to_ns(e->opt.takeover_wait_ms);
	GList *node, *next;
	struct job *j;

	for (node = e->held.head; node != NULL; node = next) {
		next = node->next;
		j = node->data;
		if (e->now - j->held_since >= wait)
			jobs_unknown(e, j, "not every agent is accounted for");
	}
	for (node = e->recovering.head; node != NULL; node = next) {
		next = node->next;
		j = node->data;
		if (j->state == JOB_QUERYING && e->now - j->held_since >= wait)
			jobs_unknown(e, j, "an agent did not give its record");
		else if (j->state == JOB_RUNNING && e->now >= j->requery_at)
			requery(e, j);
	}
}
