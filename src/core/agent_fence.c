/*
 * FENCE and QUERY, which tell a new owner which tasks this agent has started.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_priv.h"

#define FENCE_CHUNK 4096U /* hashes in one FENCE_REPLY */

/*
 * Sends the hashes in chunks, in at least one message; `last` is set in the
 * final one.
 */
static void
fence_reply(struct mlk_agent *agent, struct agent_entry *entry,
    uint64_t partitions, uint64_t rejected, const uint32_t *hashes, size_t n)
{
	struct mlk_msg *msg;
	size_t chunk, first;

	first = 0;
	do {
		chunk = MIN(n - first, FENCE_CHUNK);
		msg = agent_send(agent, entry, MLK_MSG_FENCE_REPLY);
		if (msg == NULL)
			return;
		msg->u.fence_reply.incarnation = agent->incarnation;
		msg->u.fence_reply.partitions = partitions;
		msg->u.fence_reply.rejected = rejected;
		msg->u.fence_reply.last = first + chunk == n;
		if (chunk > 0) {
			msg->u.fence_reply.hashes =
			    malloc(chunk * sizeof(*hashes));
			if (msg->u.fence_reply.hashes == NULL) {
				agent->error = MLK_ERR_NOMEM;
				agent->out->n--;
				return;
			}
			memcpy(msg->u.fence_reply.hashes, hashes + first,
			    chunk * sizeof(*hashes));
		}
		msg->u.fence_reply.n = (uint32_t)chunk;
		first += chunk;
	} while (first < n);
}

/*
 * Applies FENCE: raises the epochs, answers with the hashes of the ids that are
 * on record in the accepted partitions, and sends the new owner the results
 * that no entry has acknowledged.  The epochs are raised even if the FENCE
 * names another incarnation; the reply names the current one.
 */
void
agent_fence(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_msg *msg)
{
	const struct mlk_epoch_item *item;
	uint64_t accepted, rejected;
	uint32_t *hashes;
	uint32_t i;
	size_t n;

	accepted = rejected = 0;
	for (i = 0; i < msg->u.fence.n; i++) {
		item = &msg->u.fence.items[i];
		if (item->partition >= MLK_PARTITIONS)
			continue;
		if (item->epoch < agent->epoch[item->partition]) {
			rejected |= 1ULL << item->partition;
			continue;
		}
		accepted |= 1ULL << item->partition;
		agent->epoch[item->partition] = item->epoch;
		agent->fence_epoch[item->partition] = item->epoch;
		agent->owner[item->partition] = entry->serial;
	}
	if (mlk_records_hashes(agent->records, accepted, &hashes, &n) != 0) {
		agent->error = MLK_ERR_NOMEM;
		return;
	}
	fence_reply(agent, entry, accepted, rejected, hashes, n);
	free(hashes);
	agent_results_route_all(agent);
}

static void
record_item_fill(struct mlk_record_item *item, const struct mlk_record *rec)
{
	item->index = rec->index;
	item->status = (enum mlk_task_status)rec->status;
	item->run_ms = rec->run_ms;
	item->has_result = rec->status != MLK_TASK_RUNNING && !rec->dropped;
	if (mlk_blob_copy(&item->payload, rec->data, rec->len) != 0)
		item->has_result = 0;
}

/*
 * Applies QUERY: answers with all records of the key.
 */
void
agent_query(
    struct mlk_agent *agent, struct agent_entry *entry, struct mlk_key key)
{
	uint32_t handles[MLK_TASKS_MAX];
	struct mlk_record_item *items;
	struct mlk_msg *msg;
	uint32_t i, n;

	n = mlk_records_query(agent->records, key, handles);
	items = calloc(n + 1, sizeof(*items));
	if (items == NULL) {
		agent->error = MLK_ERR_NOMEM;
		return;
	}
	for (i = 0; i < n; i++)
		record_item_fill(
		    &items[i], mlk_records_get(agent->records, handles[i]));
	msg = agent_send(agent, entry, MLK_MSG_QUERY_REPLY);
	if (msg == NULL) {
		for (i = 0; i < n; i++)
			mlk_blob_clear(&items[i].payload);
		free(items);
		return;
	}
	msg->u.query_reply.key = key;
	msg->u.query_reply.incarnation = agent->incarnation;
	msg->u.query_reply.epoch = agent->epoch[mlk_key_partition(key)];
	msg->u.query_reply.n = n;
	msg->u.query_reply.items = items;
}
