/*
 * Delivery of results.
 *
 * A result is unsent, then sent on one link, then acknowledged.  It goes to
 * the entry that sent the START; if a FENCE with a higher epoch of its
 * partition has arrived since, or that entry is not linked, it goes to the
 * sender of the highest FENCE.  Without a linked receiver it stays unsent until
 * an entry is linked or fences the partition.  The items of one event are
 * collected per entry and sent in one RESULT together with the grant for that
 * entry.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_priv.h"

/* Limits the size of one RESULT to far below MLK_RECORD_MAX. */
#define RESULT_ITEMS_MAX 16384U

/*
 * Appends a zeroed item to the entry's RESULT of this event and returns it, or
 * NULL when out of memory.
 */
static struct mlk_result_item *
item_push(struct mlk_agent *agent, struct agent_entry *entry)
{
	struct mlk_result_item *items;
	uint32_t cap;

	if (entry->nitems == entry->items_cap) {
		cap = entry->items_cap == 0 ? 8 : entry->items_cap * 2;
		items = realloc(entry->items, cap * sizeof(*items));
		if (items == NULL) {
			agent->error = MLK_ERR_NOMEM;
			return (NULL);
		}
		entry->items = items;
		entry->items_cap = cap;
	}
	items = &entry->items[entry->nitems++];
	memset(items, 0, sizeof(*items));
	entry->seq++;
	return (items);
}

/*
 * Answers a START that did not run.  The reason becomes the item's payload.
 */
void
agent_result_not_run(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_start_task *task, bool retryable, const char *reason)
{
	struct mlk_result_item *item;

	agent->counters.starts_rejected++;
	item = item_push(agent, entry);
	if (item == NULL)
		return;
	item->key = task->key;
	item->index = task->index;
	item->epoch = task->epoch;
	item->status = MLK_TASK_NOT_RUN;
	item->retryable = retryable;
	(void)mlk_blob_copy(&item->payload, reason, strlen(reason));
}

/*
 * Answers a START that names another incarnation, which may have run it.
 */
void
agent_result_unknown(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_start_task *task)
{
	static const char reason[] = "meant for another incarnation";
	struct mlk_result_item *item;

	agent->counters.starts_rejected++;
	item = item_push(agent, entry);
	if (item == NULL)
		return;
	item->key = task->key;
	item->index = task->index;
	item->epoch = task->epoch;
	item->status = MLK_TASK_UNKNOWN;
	(void)mlk_blob_copy(&item->payload, reason, sizeof(reason) - 1);
}

/*
 * Returns the linked entry that is to receive a record's result, or NULL.
 */
static struct agent_entry *
receiver_of(struct mlk_agent *agent, const struct mlk_record *rec)
{
	struct agent_entry *entry;
	uint32_t p;

	p = mlk_key_partition(rec->key);
	if (agent->fence_epoch[p] <= rec->epoch) {
		entry = agent_entry_by_serial(agent, rec->origin);
		if (entry != NULL)
			return (entry);
	}
	return (agent_entry_by_serial(agent, agent->owner[p]));
}

/*
 * Appends an ended record's result to the entry's RESULT of this event.  A
 * dropped result is reported as UNKNOWN: the task has run, and an empty payload
 * would be taken for its result.
 */
static void
result_push(struct mlk_agent *agent, struct agent_entry *entry, uint32_t handle)
{
	struct mlk_result_item *item;
	struct agent_sent sent;
	struct mlk_record *rec;

	rec = mlk_records_get(agent->records, handle);
	item = item_push(agent, entry);
	if (item == NULL)
		return;
	item->key = rec->key;
	item->index = rec->index;
	item->epoch = rec->epoch;
	item->status =
	    rec->dropped ? MLK_TASK_UNKNOWN : (enum mlk_task_status)rec->status;
	item->run_ms = rec->run_ms;
	if (mlk_blob_copy(&item->payload, rec->data, rec->len) != 0)
		item->status = MLK_TASK_UNKNOWN;
	if (rec->sent_seq != 0)
		agent->counters.results_resent++;
	rec->sent_to = (uint8_t)agent_entry_index(agent, entry);
	rec->sent_seq = (uint32_t)entry->seq;
	sent.seq = entry->seq;
	sent.record = handle;
	g_array_append_val(entry->sent, sent);
}

/*
 * Collects the result of an ended, unacknowledged record for its receiver,
 * unless it was sent there already.
 */
void
agent_result_route(struct mlk_agent *agent, uint32_t handle)
{
	struct agent_entry *entry;
	struct mlk_record *rec;

	rec = mlk_records_get(agent->records, handle);
	if (rec->status == MLK_TASK_QUEUED || rec->status == MLK_TASK_RUNNING ||
	    rec->acked)
		return;
	entry = receiver_of(agent, rec);
	if (entry == NULL || rec->sent_to == agent_entry_index(agent, entry))
		return;
	result_push(agent, entry, handle);
}

/*
 * Answers a START of a task on record: if it has ended, sends its result to
 * that entry, even if the result was sent and acknowledged before.
 */
void
agent_result_resend(
    struct mlk_agent *agent, struct agent_entry *entry, uint32_t handle)
{
	if (mlk_records_get(agent->records, handle)->status != MLK_TASK_RUNNING)
		result_push(agent, entry, handle);
}

/*
 * Routes every unacknowledged result; called when an entry was linked, was lost
 * or has sent FENCE.  Scans all records, as these events are rare.
 */
void
agent_results_route_all(struct mlk_agent *agent)
{
	const struct mlk_record *rec;
	uint32_t h, p;

	if (mlk_records_unacked(agent->records) == 0)
		return;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		for (h = mlk_records_first(agent->records, p);
		     h != MLK_RECORD_NONE; h = rec->part_next) {
			rec = mlk_records_get(agent->records, h);
			agent_result_route(agent, h);
		}
	}
}

/*
 * Returns the record of a sent item, or NULL if the result has been sent
 * elsewhere since or the handle was reused.  In both cases the receiver or the
 * sequence number differs.
 */
static struct mlk_record *
sent_record(const struct mlk_agent *agent, const struct agent_entry *entry,
    const struct agent_sent *sent)
{
	struct mlk_record *rec;

	rec = mlk_records_get(agent->records, sent->record);
	if (rec->status == MLK_TASK_QUEUED || rec->status == MLK_TASK_RUNNING ||
	    rec->sent_to != agent_entry_index(agent, entry) ||
	    rec->sent_seq != (uint32_t)sent->seq)
		return (NULL);
	return (rec);
}

/*
 * Applies ACK: the entry has received every result up to `seq` on this link.
 */
void
agent_results_ack(
    struct mlk_agent *agent, struct agent_entry *entry, uint64_t seq)
{
	const struct agent_sent *sent;
	guint i;

	entry->acked_seq = MAX(entry->acked_seq, MIN(seq, entry->seq));
	for (i = 0; i < entry->sent->len; i++) {
		sent = &g_array_index(entry->sent, struct agent_sent, i);
		if (sent->seq > seq)
			break;
		if (sent_record(agent, entry, sent) != NULL)
			mlk_records_ack(agent->records, sent->record);
	}
	if (i > 0)
		g_array_remove_range(entry->sent, 0, i);
}

/*
 * Clears the delivery state of a link that has closed, and the items collected
 * for it in this event; its unacknowledged results become unsent again.
 */
void
agent_results_reset(struct mlk_agent *agent, struct agent_entry *entry)
{
	struct mlk_record *rec;
	uint32_t i;

	for (i = 0; i < entry->sent->len; i++) {
		rec = sent_record(agent, entry,
		    &g_array_index(entry->sent, struct agent_sent, i));
		if (rec != NULL)
			rec->sent_to = MLK_RECORD_UNSENT;
	}
	for (i = 0; i < entry->nitems; i++)
		mlk_blob_clear(&entry->items[i].payload);
	free(entry->items);
	entry->items = NULL;
	entry->nitems = entry->items_cap = 0;
	entry->seq = 0;
	entry->acked_seq = 0;
	g_array_set_size(entry->sent, 0);
}

/*
 * Returns whether every linked entry has acknowledged all items sent to it.
 */
bool
agent_results_all_acked(const struct mlk_agent *agent)
{
	const struct agent_entry *entry;
	uint32_t i;

	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		if (entry->state == AGENT_LINK_LINKED &&
		    entry->acked_seq < entry->seq)
			return (false);
	}
	return (true);
}

/*
 * Sends `n` of the items collected for the entry, beginning with item `first`,
 * with a grant.  The message takes over their payloads.
 */
static void
result_send(struct mlk_agent *agent, struct agent_entry *entry, uint32_t first,
    uint32_t n, const struct mlk_credits *grant)
{
	struct mlk_result_item *items;
	struct mlk_msg *msg;

	msg = agent_send(agent, entry, MLK_MSG_RESULT);
	items = malloc(n * sizeof(*items));
	if (msg == NULL || items == NULL) {
		free(items);
		agent->error = MLK_ERR_NOMEM;
		return;
	}
	memcpy(items, &entry->items[first], n * sizeof(*items));
	memset(&entry->items[first], 0, n * sizeof(*items));
	msg->u.result.items = items;
	msg->u.result.n = n;
	msg->u.result.seq = entry->seq - (entry->nitems - first - n);
	msg->u.result.grant = *grant;
}

/*
 * Sends the entry's collected items; the first message carries the grant.
 */
static void
entry_flush(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_credits *grant)
{
	static const struct mlk_credits none;
	uint32_t first, i, n;

	for (first = 0; first < entry->nitems; first += n) {
		n = MIN(entry->nitems - first, RESULT_ITEMS_MAX);
		result_send(agent, entry, first, n, first == 0 ? grant : &none);
	}
	for (i = 0; i < entry->nitems; i++)
		mlk_blob_clear(&entry->items[i].payload);
	entry->nitems = 0;
	if (entry->items_cap > RESULT_ITEMS_MAX / 64) {
		free(entry->items);
		entry->items = NULL;
		entry->items_cap = 0;
	}
}

/*
 * Called at the end of each event: sends the collected results, and the grants
 * and reclaims that are due.
 */
void
agent_results_flush(struct mlk_agent *agent)
{
	struct mlk_slots_change changes[MLK_SLOTS_ENTRIES_MAX];
	struct agent_entry *entry;
	struct mlk_slots_change *change;
	struct mlk_msg *msg;
	size_t i, n;

	n = mlk_slots_changes(
	    agent->slots, agent->now, changes, G_N_ELEMENTS(changes));
	for (i = 0; i < n; i++) {
		change = &changes[i];
		entry = &agent->entries[change->entry];
		if (change->reclaim.any + change->reclaim.short_only > 0) {
			msg = agent_send(agent, entry, MLK_MSG_RECLAIM);
			if (msg != NULL)
				msg->u.reclaim = change->reclaim;
		}
		if (change->grant.any + change->grant.short_only == 0)
			continue;
		if (entry->nitems > 0) {
			entry_flush(agent, entry, &change->grant);
			continue;
		}
		msg = agent_send(agent, entry, MLK_MSG_GRANT);
		if (msg != NULL)
			msg->u.grant = change->grant;
	}
	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		static const struct mlk_credits none;

		if (agent->entries[i].nitems > 0)
			entry_flush(agent, &agent->entries[i], &none);
	}
}
