/*
 * Dispatch of tasks, between the job table and the scheduler: task handles,
 * binding of queued tasks to agents, START, credits and the retry budget.
 *
 * A handle is queued at the scheduler (agent is ENTRY_NO_HANDLE), in the
 * delayed list (waits for retry budget), or in the list of the agent that has
 * the task.  With a list for each agent, the loss of an agent takes time only
 * for its own tasks.  The tasks that are bound to an agent during one event
 * are sent in one START, or in more when it would exceed MLK_JOB_BYTES_MAX.
 */
#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"

/* The retry budget is counted in thousandths of a retry. */
#define RETRY_COST 1000 /* of one retry */
#define RETRY_PER_START 100 /* added per task sent: 10 % retries */
#define RETRY_FLOOR_PER_S (20 * RETRY_COST) /* added even without a START */
#define RETRY_BUDGET_MAX (1000 * RETRY_COST)
#define NEED_MAX 16 /* limit of NEED messages per event */
#define EXPIRED_MAX 256 /* limit of expired tasks per tick */

struct task_slot *
dispatch_slot(struct mlk_entry *e, uint32_t handle)
{
	return (&g_array_index(e->slots, struct task_slot, handle));
}

/*
 * Allocates a handle for a task; it is not queued yet.
 */
uint32_t
dispatch_slot_new(struct mlk_entry *e, struct job *j, uint32_t index)
{
	struct task_slot fresh = { 0 };
	struct task_slot *s;
	uint32_t handle;

	if (e->free_slot == ENTRY_NO_HANDLE) {
		handle = e->slots->len;
		g_array_append_val(e->slots, fresh);
	} else {
		handle = e->free_slot;
		e->free_slot = dispatch_slot(e, handle)->next;
	}
	s = dispatch_slot(e, handle);
	s->job = j;
	s->index = index;
	s->agent = ENTRY_NO_HANDLE;
	s->prev = ENTRY_NO_HANDLE;
	s->next = ENTRY_NO_HANDLE;
	j->tasks[index].handle = handle;
	return (handle);
}

/*
 * Removes a handle from the list of its agent, if it is in one.
 */
static void
slot_detach(struct mlk_entry *e, uint32_t handle)
{
	struct task_slot *s = dispatch_slot(e, handle);

	if (s->agent == ENTRY_NO_HANDLE)
		return;
	if (s->prev == ENTRY_NO_HANDLE)
		members_agent(e, s->agent)->first_task = s->next;
	else
		dispatch_slot(e, s->prev)->next = s->next;
	if (s->next != ENTRY_NO_HANDLE)
		dispatch_slot(e, s->next)->prev = s->prev;
	s->agent = ENTRY_NO_HANDLE;
	e->in_flight--;
}

/*
 * Adds a handle to the list of the agent that has the task.
 */
void
dispatch_slot_attach(struct mlk_entry *e, uint32_t handle, struct agent *a)
{
	struct task_slot *s = dispatch_slot(e, handle);

	s->agent = a->handle;
	s->prev = ENTRY_NO_HANDLE;
	s->next = a->first_task;
	if (a->first_task != ENTRY_NO_HANDLE)
		dispatch_slot(e, a->first_task)->prev = handle;
	a->first_task = handle;
	e->in_flight++;
}

void
dispatch_slot_free(struct mlk_entry *e, uint32_t handle)
{
	struct task_slot *s;

	slot_detach(e, handle);
	s = dispatch_slot(e, handle);
	s->job->tasks[s->index].handle = ENTRY_NO_HANDLE;
	s->job = NULL;
	s->next = e->free_slot;
	e->free_slot = handle;
}

/*
 * Queues a task at the scheduler.  The queue cannot be full for a task of an
 * admitted job; if it is, the task ends as not run, since it has not started.
 */
void
dispatch_enqueue(struct mlk_entry *e, struct job *j, uint32_t index, bool retry)
{
	struct job_task *t = &j->tasks[index];
	struct mlk_sched_task st = {
		.kind = j->spec->tasks[index].kind,
		.team = j->spec->team,
		.deadline = j->deadline,
		.retry = retry,
		.avoid_agent = retry ? t->agent : ENTRY_NO_HANDLE,
	};

	if (t->handle == ENTRY_NO_HANDLE)
		(void)dispatch_slot_new(e, j, index);
	st.task = t->handle;
	t->status = MLK_TASK_QUEUED;
	e->need_check = true;
	if (mlk_sched_enqueue(e->sched, &st, e->now) != 0) {
		dispatch_slot_free(e, t->handle);
		jobs_end_task(e, j, index, MLK_TASK_NOT_RUN, 0, NULL);
	}
}

/*
 * Removes a task from the scheduler, the delayed list or its agent, and frees
 * its handle.  For a task that was sent, status and run_ms go to the
 * scheduler's statistics.
 */
void
dispatch_release(struct mlk_entry *e, struct job *j, uint32_t index,
    enum mlk_task_status status, uint32_t run_ms)
{
	struct job_task *t = &j->tasks[index];
	struct task_slot *s;
	guint i;

	if (t->handle == ENTRY_NO_HANDLE)
		return;
	s = dispatch_slot(e, t->handle);
	if (s->agent != ENTRY_NO_HANDLE) {
		if (t->status == MLK_TASK_SENT) {
			mlk_sched_done(e->sched, s->agent,
			    j->spec->tasks[index].kind, j->spec->team,
			    t->is_long, status, run_ms, e->now);
		}
	} else if (!mlk_sched_remove(e->sched, t->handle)) {
		for (i = 0; i < e->delayed->len; i++) {
			if (g_array_index(e->delayed, uint32_t, i) != t->handle)
				continue;
			g_array_remove_index_fast(e->delayed, i);
			break;
		}
	}
	dispatch_slot_free(e, t->handle);
}

/*
 * Queues again a task that the agent did not start.  Without retry budget, it
 * waits in the delayed list.
 */
void
dispatch_retry(struct mlk_entry *e, struct job *j, uint32_t index)
{
	uint32_t handle;

	e->counters.tasks_retried++;
	if (e->retry_budget >= RETRY_COST) {
		e->retry_budget -= RETRY_COST;
		dispatch_enqueue(e, j, index, true);
		return;
	}
	handle = dispatch_slot_new(e, j, index);
	j->tasks[index].status = MLK_TASK_QUEUED;
	g_array_append_val(e->delayed, handle);
}

/*
 * Queues delayed tasks as far as the retry budget allows.
 */
static void
enqueue_delayed(struct mlk_entry *e)
{
	struct task_slot *s;
	struct job *j;
	uint32_t handle;

	while (e->delayed->len > 0 && e->retry_budget >= RETRY_COST) {
		handle = g_array_index(e->delayed, uint32_t, 0);
		g_array_remove_index(e->delayed, 0);
		e->retry_budget -= RETRY_COST;
		s = dispatch_slot(e, handle);
		j = s->job;
		dispatch_enqueue(e, j, s->index, true);
		jobs_check_end(e, j);
	}
}

/*
 * Ends tasks whose deadline passed in the queue, and with them all queued
 * tasks of their job.  A job of which nothing started is refused as a whole.
 */
static void
expire_tasks(struct mlk_entry *e)
{
	uint32_t tasks[EXPIRED_MAX];
	struct job *j;
	struct task_slot *s;
	size_t i, n;
	uint32_t k;

	n = mlk_sched_expired(e->sched, e->now, tasks, EXPIRED_MAX);
	for (i = 0; i < n; i++) {
		s = dispatch_slot(e, tasks[i]);
		if (s->job == NULL)
			continue;
		j = s->job;
		dispatch_slot_free(e, tasks[i]);
		if (j->state != JOB_RUNNING)
			continue;
		if (job_untouched(j)) {
			jobs_refuse(e, j, 0, "deadline passed in the queue");
			continue;
		}
		job_set_reason(j, "deadline passed in the queue");
		for (k = 0; k < j->ntasks; k++) {
			if (j->tasks[k].status != MLK_TASK_QUEUED)
				continue;
			dispatch_release(e, j, k, MLK_TASK_NOT_RUN, 0);
			jobs_end_task(e, j, k, MLK_TASK_NOT_RUN, 0, NULL);
		}
		jobs_check_end(e, j);
	}
}

/*
 * Sends NEED, with the current demand, to the agents that the scheduler
 * selects.
 */
static void
send_needs(struct mlk_entry *e)
{
	uint32_t agents[NEED_MAX];
	struct mlk_demand demand;
	struct mlk_msg *m;
	struct agent *a;
	size_t i, n;

	n = mlk_sched_need(e->sched, e->now, agents, NEED_MAX);
	if (n == 0)
		return;
	mlk_sched_demand(e->sched, e->now, &demand);
	for (i = 0; i < n; i++) {
		a = members_agent(e, agents[i]);
		if (a == NULL || a->link == NULL)
			continue;
		m = entry_send(e, a->link, MLK_MSG_NEED);
		if (m == NULL)
			continue;
		m->u.need = demand;
		mlk_sched_demand_sent(e->sched, agents[i], &demand, e->now);
	}
}

/*
 * Refills the retry budget, queues delayed tasks and ends expired ones.  NEED
 * messages that are due are sent at the end of the event.
 */
void
dispatch_tick(struct mlk_entry *e)
{
	int64_t elapsed = e->now - e->retry_filled;

	if (e->retry_filled == 0)
		elapsed = MLK_NSEC_PER_SEC;
	if (elapsed > MLK_NSEC_PER_SEC)
		elapsed = MLK_NSEC_PER_SEC;
	e->retry_filled = e->now;
	e->retry_budget += elapsed * RETRY_FLOOR_PER_S / MLK_NSEC_PER_SEC;
	if (e->retry_budget > RETRY_BUDGET_MAX)
		e->retry_budget = RETRY_BUDGET_MAX;
	enqueue_delayed(e);
	expire_tasks(e);
	e->need_check = true;
}

/*
 * Sends the START of one agent.  When memory runs out, the tasks stay marked
 * as sent: they end as unknown when the agent is lost, and never run twice.
 */
static void
flush_batch(
    struct mlk_entry *e, struct agent *a, const struct mlk_demand *demand)
{
	struct mlk_msg *m;
	guint i;

	a->batch_bytes = 0;
	m = a->link == NULL ? NULL : entry_send(e, a->link, MLK_MSG_START);
	if (m == NULL) {
		for (i = 0; i < a->batch->len; i++) {
			mlk_blob_clear(
			    &g_array_index(a->batch, struct mlk_start_task, i)
				 .payload);
		}
		g_array_set_size(a->batch, 0);
		return;
	}
	m->u.start.incarnation = a->incarnation;
	m->u.start.demand = *demand;
	mlk_sched_demand_sent(e->sched, a->handle, demand, e->now);
	m->u.start.tasks = entry_copy(
	    e, a->batch->data, a->batch->len * sizeof(struct mlk_start_task));
	m->u.start.n = m->u.start.tasks == NULL ? 0 : a->batch->len;
	g_array_set_size(a->batch, 0);
}

/*
 * Adds a bound task to its agent's START of this event.  When its payload
 * would make that START exceed MLK_JOB_BYTES_MAX, the START is sent first and
 * a new one begins.
 */
static void
batch_task(struct mlk_entry *e, const struct mlk_binding *b)
{
	struct task_slot *s = dispatch_slot(e, b->task);
	struct agent *a = members_agent(e, b->agent);
	struct job *j = s->job;
	struct job_task *t = &j->tasks[s->index];
	const struct mlk_task_spec *ts = &j->spec->tasks[s->index];
	struct mlk_start_task st = { 0 };
	struct mlk_demand demand;

	st.key = j->key;
	st.index = s->index;
	st.epoch = e->part[mlk_key_partition(j->key)].epoch;
	st.is_long = b->is_long;
	memcpy(st.kind, ts->kind, sizeof(st.kind));
	if (mlk_blob_copy(&st.payload, ts->payload.data, ts->payload.len) !=
	    0) {
		e->nomem = true;
		mlk_sched_done(e->sched, b->agent, ts->kind, j->spec->team,
		    b->is_long, MLK_TASK_NOT_RUN, 0, e->now);
		(void)g_array_append_val(e->delayed, b->task);
		return;
	}
	if (a->batch->len > 0 &&
	    a->batch_bytes + ts->payload.len > MLK_JOB_BYTES_MAX) {
		mlk_sched_demand(e->sched, e->now, &demand);
		flush_batch(e, a, &demand);
	} else if (a->batch->len == 0) {
		g_array_append_val(e->batched, b->agent);
	}
	a->batch_bytes += ts->payload.len;
	g_array_append_val(a->batch, st);
	t->status = MLK_TASK_SENT;
	t->agent = b->agent;
	t->is_long = b->is_long;
	t->tries++;
	t->in_doubt = false;
	dispatch_slot_attach(e, b->task, a);
	accounts_record_sent(e, a, j->key);
	e->counters.tasks_sent++;
	if (e->retry_budget < RETRY_BUDGET_MAX)
		e->retry_budget += RETRY_PER_START;
}

/*
 * Binds queued tasks while there are credits, and sends a START to each agent
 * that got work.  Runs at the end of every event.
 */
void
dispatch_run(struct mlk_entry *e)
{
	struct mlk_binding b;
	struct mlk_demand demand;
	guint i;

	while (mlk_sched_next(e->sched, e->now, &b))
		batch_task(e, &b);
	if (e->batched->len > 0) {
		mlk_sched_demand(e->sched, e->now, &demand);
		for (i = 0; i < e->batched->len; i++) {
			flush_batch(e,
			    members_agent(
				e, g_array_index(e->batched, uint32_t, i)),
			    &demand);
		}
		g_array_set_size(e->batched, 0);
	}
	if (e->need_check)
		send_needs(e);
	e->need_check = false;
}

/*
 * Answers RECLAIM with the idle credits that are given back.  A RETURN is sent
 * even when there are none: until it arrives, the agent expects the credits
 * that it asked for.
 */
void
dispatch_reclaim(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	struct mlk_credits credits;
	struct mlk_msg *m;

	credits = mlk_sched_reclaim(e->sched, l->agent->handle, msg->u.reclaim);
	m = entry_send(e, l, MLK_MSG_RETURN);
	if (m != NULL)
		m->u.returned = credits;
}
