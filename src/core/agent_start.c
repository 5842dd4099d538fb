/*
 * Starts of tasks: the checks immediately before a start (docs/design.md,
 * section 4, rule 3), the end of a task, and the queue of STARTs that only the
 * baseline policies use.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_priv.h"

/*
 * Frees the slot behind the credit that the entry spent on a refused START, so
 * that it can be granted again.  Under the baseline policies there are no
 * credits.
 */
static void
credit_release(
    struct mlk_agent *agent, const struct agent_entry *entry, bool is_long)
{
	int slot;

	if (agent->options.queue_at_worker)
		return;
	slot = mlk_slots_start(
	    agent->slots, agent_entry_index(agent, entry), is_long, agent->now);
	if (slot >= 0)
		mlk_slots_finish(agent->slots, (uint32_t)slot, agent->now);
}

/*
 * Handles a START of a task that is on record: resends the result of an ended
 * task; the result of a running task is sent when it ends.  Returns false when
 * the task is not on record.  Must precede the other checks, since NOT_RUN
 * would be wrong for a task that has started, whatever else is wrong with the
 * START.
 */
static bool
answer_from_record(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_start_task *task)
{
	uint32_t handle;

	handle = mlk_records_find(agent->records, task->key, task->index);
	if (handle == MLK_RECORD_NONE)
		return (false);
	agent->counters.starts_duplicate++;
	agent_result_resend(agent, entry, handle);
	return (true);
}

/*
 * Returns the reason to refuse a START, or NULL.  All reasons are temporary or
 * local to this agent, so the entry may send the task to another one.
 */
static const char *
start_refusal(struct mlk_agent *agent, const struct agent_entry *entry,
    const struct mlk_start_task *task)
{
	if (agent->stopping)
		return ("agent is stopping");
	if (agent->config.version < agent->config_required)
		return ("configuration not known yet");
	if (task->epoch < agent->epoch[mlk_key_partition(task->key)]) {
		agent->counters.starts_fenced++;
		return ("epoch is fenced");
	}
	if (!entry->lease_ok ||
	    agent->now - entry->received_at >
		(int64_t)agent->options.lease_ms * MLK_NSEC_PER_MSEC)
		return ("lease has expired");
	return (NULL);
}

/*
 * Fills in the record of a start and appends the effect that calls the
 * endpoint.  Returns false without any effect when out of memory; the caller
 * then removes the record, since nothing has run.
 */
static bool
start_on_slot(struct mlk_agent *agent, const struct agent_entry *entry,
    const struct mlk_start_task *task, uint32_t slot, uint32_t handle)
{
	struct mlk_record *rec;
	struct mlk_effect *fx;

	fx = mlk_effects_push(agent->out, MLK_FX_START_TASK);
	if (fx == NULL)
		return (false);
	if (mlk_blob_copy(&fx->u.start.payload, task->payload.data,
		task->payload.len) != 0) {
		agent->out->n--;
		return (false);
	}
	fx->u.start.slot = slot;
	fx->u.start.timeout_ms = task->timeout_ms;
	fx->u.start.key = task->key;
	fx->u.start.index = task->index;
	memcpy(fx->u.start.kind, task->kind, sizeof(fx->u.start.kind));
	rec = mlk_records_get(agent->records, handle);
	rec->epoch = task->epoch;
	rec->origin = entry->serial;
	agent->running[slot] = handle;
	agent->nrunning++;
	agent->counters.tasks_started++;
	return (true);
}

/*
 * Checks one START, then starts the task or answers NOT_RUN.  A START for an
 * incarnation of another process is answered UNKNOWN, because this process does
 * not know what that one has started.  Earlier incarnations of this process
 * share its record, so NOT_RUN is correct for them.
 */
static void
start_one(struct mlk_agent *agent, struct agent_entry *entry,
    uint64_t incarnation, const struct mlk_start_task *task)
{
	const char *reason;
	uint32_t handle;
	bool is_long;
	int slot;

	if (answer_from_record(agent, entry, task)) {
		credit_release(agent, entry, task->is_long != 0);
		return;
	}
	if (incarnation < agent->first_incarnation ||
	    incarnation > agent->incarnation) {
		credit_release(agent, entry, task->is_long != 0);
		agent_result_unknown(agent, entry, task);
		return;
	}
	reason = incarnation != agent->incarnation ?
	    "incarnation is closed" :
	    start_refusal(agent, entry, task);
	if (reason == NULL && task->index >= MLK_TASKS_MAX)
		reason = "task index out of range";
	if (reason != NULL) {
		credit_release(agent, entry, task->is_long != 0);
		agent_result_not_run(agent, entry, task, true, reason);
		return;
	}
	handle = mlk_records_add(agent->records, task->key, task->index);
	if (handle == MLK_RECORD_NONE) {
		credit_release(agent, entry, task->is_long != 0);
		agent_result_not_run(
		    agent, entry, task, true, "record table is full");
		return;
	}
	is_long = task->is_long != 0 && !agent->options.queue_at_worker;
	slot = mlk_slots_start(
	    agent->slots, agent_entry_index(agent, entry), is_long, agent->now);
	if (slot < 0) {
		mlk_records_remove(agent->records, handle);
		agent_result_not_run(agent, entry, task, true, "no slot");
		return;
	}
	if (!start_on_slot(agent, entry, task, (uint32_t)slot, handle)) {
		mlk_slots_finish(agent->slots, (uint32_t)slot, agent->now);
		mlk_records_remove(agent->records, handle);
		agent_result_not_run(agent, entry, task, true, "out of memory");
	}
}

static void
queued_free(struct agent_queued *queued)
{
	mlk_blob_clear(&queued->task.payload);
	free(queued);
}

/*
 * Queues a START until a slot is free, unless its task is on record.
 */
static void
queue_push(struct mlk_agent *agent, struct agent_entry *entry,
    uint64_t incarnation, const struct mlk_start_task *task)
{
	struct agent_queued *queued;

	if (answer_from_record(agent, entry, task))
		return;
	queued = malloc(sizeof(*queued));
	if (queued == NULL) {
		agent_result_not_run(agent, entry, task, true, "out of memory");
		return;
	}
	queued->link = entry->link;
	queued->incarnation = incarnation;
	queued->task = *task;
	if (mlk_blob_copy(&queued->task.payload, task->payload.data,
		task->payload.len) != 0) {
		free(queued);
		agent_result_not_run(agent, entry, task, true, "out of memory");
		return;
	}
	g_queue_push_tail(&agent->queue, queued);
}

/*
 * Applies START: records the demand of the entry, then starts the tasks in
 * order.  With queue_at_worker the tasks go through the queue.
 */
void
agent_start(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_msg *msg)
{
	const struct mlk_start_task *task;
	uint64_t incarnation;
	uint32_t i;

	incarnation = msg->u.start.incarnation;
	if (!agent->options.queue_at_worker)
		mlk_slots_demand(agent->slots, agent_entry_index(agent, entry),
		    &msg->u.start.demand, agent->now);
	for (i = 0; i < msg->u.start.n; i++) {
		task = &msg->u.start.tasks[i];
		if (agent->options.queue_at_worker && entry->lease_ok &&
		    !agent->stopping)
			queue_push(agent, entry, incarnation, task);
		else
			start_one(agent, entry, incarnation, task);
	}
}

/*
 * Starts queued tasks while slots are free.  agent_queue_drop() has removed the
 * STARTs of closed links, so the sender of the others is linked.
 */
void
agent_queue_run(struct mlk_agent *agent)
{
	struct agent_entry *entry;
	struct agent_queued *queued;

	while (agent->nrunning < agent->options.slots) {
		queued = g_queue_pop_head(&agent->queue);
		if (queued == NULL)
			return;
		entry = agent_entry_by_link(agent, queued->link);
		if (entry != NULL)
			start_one(
			    agent, entry, queued->incarnation, &queued->task);
		queued_free(queued);
	}
}

/*
 * Drops the queued STARTs of a closed link.  The entry considers them lost:
 * after a reconnect it may send the tasks elsewhere, and starting them here
 * later would start them twice.
 */
void
agent_queue_drop(struct mlk_agent *agent, uint32_t link)
{
	struct agent_queued *queued;
	GList *node, *next;

	for (node = agent->queue.head; node != NULL; node = next) {
		next = node->next;
		queued = node->data;
		if (queued->link != link)
			continue;
		queued_free(queued);
		g_queue_delete_link(&agent->queue, node);
	}
}

/*
 * Answers every queued START with NOT_RUN, for a planned stop.
 */
void
agent_queue_refuse(struct mlk_agent *agent)
{
	struct agent_entry *entry;
	struct agent_queued *queued;

	while ((queued = g_queue_pop_head(&agent->queue)) != NULL) {
		entry = agent_entry_by_link(agent, queued->link);
		if (entry != NULL &&
		    !answer_from_record(agent, entry, &queued->task))
			agent_result_not_run(agent, entry, &queued->task, true,
			    "agent is stopping");
		queued_free(queued);
	}
}

/*
 * Applies CANCEL.  Running tasks of the key continue and stay on record; queued
 * STARTs of the key are answered NOT_RUN, not retryable.
 */
void
agent_cancel(struct mlk_agent *agent, struct mlk_key key)
{
	struct agent_entry *entry;
	struct agent_queued *queued;
	GList *node, *next;

	for (node = agent->queue.head; node != NULL; node = next) {
		next = node->next;
		queued = node->data;
		if (!mlk_key_equal(queued->task.key, key))
			continue;
		entry = agent_entry_by_link(agent, queued->link);
		if (entry != NULL &&
		    !answer_from_record(agent, entry, &queued->task))
			agent_result_not_run(
			    agent, entry, &queued->task, false, "cancelled");
		queued_free(queued);
		g_queue_delete_link(&agent->queue, node);
	}
}

/*
 * Applies the end of the endpoint call on a slot.  NOT_RUN means that the
 * request never reached the endpoint: the record of the start is removed, so
 * that the task may start here or elsewhere.
 */
void
agent_task_done(struct mlk_agent *agent, const struct mlk_event *ev)
{
	static const struct mlk_blob too_long = {
		.data = (uint8_t *)"result is too long",
		.len = sizeof("result is too long") - 1,
	};
	enum mlk_task_status status;
	struct agent_entry *entry;
	const struct mlk_blob *payload;
	struct mlk_start_task task = { 0 };
	const struct mlk_record *rec;
	uint32_t handle, slot;

	slot = ev->u.task_done.slot;
	if (slot >= agent->options.slots ||
	    agent->running[slot] == MLK_RECORD_NONE)
		return;
	handle = agent->running[slot];
	agent->running[slot] = MLK_RECORD_NONE;
	agent->nrunning--;
	mlk_slots_finish(agent->slots, slot, agent->now);
	status = ev->u.task_done.status;
	if (status == MLK_TASK_NOT_RUN) {
		rec = mlk_records_get(agent->records, handle);
		task.key = rec->key;
		task.index = rec->index;
		task.epoch = rec->epoch;
		entry = agent_entry_by_serial(agent, rec->origin);
		mlk_records_remove(agent->records, handle);
		if (entry != NULL)
			agent_result_not_run(
			    agent, entry, &task, true, "endpoint not reached");
		return;
	}
	payload = &ev->u.task_done.payload;
	if (payload->len > MLK_PAYLOAD_MAX) {
		status = MLK_TASK_FAILED;
		payload = &too_long;
	}
	if (status == MLK_TASK_DONE)
		agent->counters.tasks_done++;
	else
		agent->counters.tasks_failed++;
	(void)mlk_records_finish(agent->records, handle, status,
	    ev->u.task_done.run_ms, payload, agent->now);
	agent_result_route(agent, handle);
}
