/*
 * Copying and clearing of the types in core.h, and names of their enum values.
 * A cleared struct is zeroed, so that it can be cleared again or reused.
 */
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/core.h>

/*
 * Frees the tasks of a job.
 */
void
mlk_job_spec_clear(struct mlk_job_spec *spec)
{
	uint32_t i;

	for (i = 0; spec->tasks != NULL && i < spec->ntasks; i++)
		mlk_blob_clear(&spec->tasks[i].payload);
	free(spec->tasks);
	memset(spec, 0, sizeof(*spec));
}

/*
 * Copies a job into *dst, which is overwritten.  Returns 0, or MLK_ERR_NOMEM
 * with *dst zeroed.
 */
int
mlk_job_spec_copy(struct mlk_job_spec *dst, const struct mlk_job_spec *src)
{
	uint32_t i;

	*dst = *src;
	dst->tasks = NULL;
	if (src->ntasks == 0)
		return (0);
	dst->tasks = calloc(src->ntasks, sizeof(*dst->tasks));
	if (dst->tasks == NULL) {
		memset(dst, 0, sizeof(*dst));
		return (MLK_ERR_NOMEM);
	}
	for (i = 0; i < src->ntasks; i++) {
		dst->tasks[i] = src->tasks[i];
		if (mlk_blob_copy(&dst->tasks[i].payload,
			src->tasks[i].payload.data,
			src->tasks[i].payload.len) != 0) {
			dst->ntasks = i;
			mlk_job_spec_clear(dst);
			return (MLK_ERR_NOMEM);
		}
	}
	return (0);
}

/*
 * Frees the task results of an answer.
 */
void
mlk_job_answer_clear(struct mlk_job_answer *answer)
{
	uint32_t i;

	for (i = 0; answer->tasks != NULL && i < answer->ntasks; i++)
		mlk_blob_clear(&answer->tasks[i].payload);
	free(answer->tasks);
	memset(answer, 0, sizeof(*answer));
}

/*
 * Copies an answer into *dst, which is overwritten.  Returns 0, or
 * MLK_ERR_NOMEM with *dst zeroed.
 */
int
mlk_job_answer_copy(
    struct mlk_job_answer *dst, const struct mlk_job_answer *src)
{
	uint32_t i;

	*dst = *src;
	dst->tasks = NULL;
	if (src->ntasks == 0)
		return (0);
	dst->tasks = calloc(src->ntasks, sizeof(*dst->tasks));
	if (dst->tasks == NULL) {
		memset(dst, 0, sizeof(*dst));
		return (MLK_ERR_NOMEM);
	}
	for (i = 0; i < src->ntasks; i++) {
		dst->tasks[i] = src->tasks[i];
		if (mlk_blob_copy(&dst->tasks[i].payload,
			src->tasks[i].payload.data,
			src->tasks[i].payload.len) != 0) {
			dst->ntasks = i;
			mlk_job_answer_clear(dst);
			return (MLK_ERR_NOMEM);
		}
	}
	return (0);
}

/*
 * Returns the name of an outcome in the HTTP API.
 */
const char *
mlk_outcome_name(enum mlk_outcome outcome)
{
	switch (outcome) {
	case MLK_OUTCOME_PENDING:
		return ("pending");
	case MLK_OUTCOME_COMPLETE:
		return ("complete");
	case MLK_OUTCOME_FAILED:
		return ("failed");
	case MLK_OUTCOME_REFUSED:
		return ("refused");
	case MLK_OUTCOME_UNKNOWN:
		return ("unknown");
	}
	return ("invalid");
}

/*
 * Returns the name of a task status in the HTTP API.
 */
const char *
mlk_task_status_name(enum mlk_task_status status)
{
	switch (status) {
	case MLK_TASK_QUEUED:
		return ("queued");
	case MLK_TASK_SENT:
		return ("sent");
	case MLK_TASK_RUNNING:
		return ("running");
	case MLK_TASK_DONE:
		return ("done");
	case MLK_TASK_FAILED:
		return ("failed");
	case MLK_TASK_NOT_RUN:
		return ("not_run");
	case MLK_TASK_UNKNOWN:
		return ("unknown");
	}
	return ("invalid");
}

/*
 * Frees the intents of a configuration.
 */
void
mlk_config_clear(struct mlk_config *config)
{
	free(config->intents);
	memset(config, 0, sizeof(*config));
}

/*
 * Copies a configuration into *dst, which is overwritten.  Returns 0, or
 * MLK_ERR_NOMEM with *dst zeroed.
 */
int
mlk_config_copy(struct mlk_config *dst, const struct mlk_config *src)
{
	*dst = *src;
	dst->intents = NULL;
	if (src->nintents == 0)
		return (0);
	dst->intents = malloc(src->nintents * sizeof(*dst->intents));
	if (dst->intents == NULL) {
		memset(dst, 0, sizeof(*dst));
		return (MLK_ERR_NOMEM);
	}
	memcpy(
	    dst->intents, src->intents, src->nintents * sizeof(*dst->intents));
	return (0);
}

static void
start_tasks_free(struct mlk_start_task *tasks, uint32_t n)
{
	uint32_t i;

	for (i = 0; tasks != NULL && i < n; i++)
		mlk_blob_clear(&tasks[i].payload);
	free(tasks);
}

static void
result_items_free(struct mlk_result_item *items, uint32_t n)
{
	uint32_t i;

	for (i = 0; items != NULL && i < n; i++)
		mlk_blob_clear(&items[i].payload);
	free(items);
}

static void
record_items_free(struct mlk_record_item *items, uint32_t n)
{
	uint32_t i;

	for (i = 0; items != NULL && i < n; i++)
		mlk_blob_clear(&items[i].payload);
	free(items);
}

/*
 * Frees what a message owns.
 */
void
mlk_msg_clear(struct mlk_msg *msg)
{
	switch (msg->type) {
	case MLK_MSG_FENCE:
		free(msg->u.fence.items);
		break;
	case MLK_MSG_FENCE_REPLY:
		free(msg->u.fence_reply.hashes);
		break;
	case MLK_MSG_START:
		start_tasks_free(msg->u.start.tasks, msg->u.start.n);
		break;
	case MLK_MSG_RESULT:
		result_items_free(msg->u.result.items, msg->u.result.n);
		break;
	case MLK_MSG_QUERY_REPLY:
		record_items_free(
		    msg->u.query_reply.items, msg->u.query_reply.n);
		break;
	case MLK_MSG_CONFIG:
		mlk_config_clear(&msg->u.config);
		break;
	case MLK_MSG_FORWARD:
		mlk_job_spec_clear(&msg->u.forward.spec);
		break;
	case MLK_MSG_FORWARD_REPLY:
		mlk_job_answer_clear(&msg->u.forward_reply.answer);
		break;
	case MLK_MSG_PEERS:
		free(msg->u.peers.peers);
		break;
	case MLK_MSG_RUN:
		mlk_blob_clear(&msg->u.run.spec);
		free(msg->u.run.tasks);
		break;
	case MLK_MSG_ENDS:
		free(msg->u.ends.items);
		break;
	case MLK_MSG_ROUTES:
		mlk_routing_clear(&msg->u.routes);
		break;
	case MLK_MSG_EVACUATIONS:
		free(msg->u.evacuations.items);
		break;
	case MLK_MSG_DEMAND:
		free(msg->u.demand.items);
		break;
	case MLK_MSG_CORUN:
		free(msg->u.corun.items);
		break;
	case MLK_MSG_VERDICTS:
		free(msg->u.verdicts.items);
		break;
	default:
		break;
	}
	memset(msg, 0, sizeof(*msg));
}

/*
 * Returns the name of a message type as in docs/design.md.
 */
const char *
mlk_msg_name(enum mlk_msg_type type)
{
	static const char *const names[MLK_MSG_TYPES] = {
		[MLK_MSG_HELLO] = "HELLO",
		[MLK_MSG_WELCOME] = "WELCOME",
		[MLK_MSG_FENCE] = "FENCE",
		[MLK_MSG_FENCE_REPLY] = "FENCE_REPLY",
		[MLK_MSG_START] = "START",
		[MLK_MSG_RESULT] = "RESULT",
		[MLK_MSG_ACK] = "ACK",
		[MLK_MSG_GRANT] = "GRANT",
		[MLK_MSG_NEED] = "NEED",
		[MLK_MSG_RECLAIM] = "RECLAIM",
		[MLK_MSG_RETURN] = "RETURN",
		[MLK_MSG_QUERY] = "QUERY",
		[MLK_MSG_QUERY_REPLY] = "QUERY_REPLY",
		[MLK_MSG_CANCEL] = "CANCEL",
		[MLK_MSG_REREGISTER] = "REREGISTER",
		[MLK_MSG_CONFIG] = "CONFIG",
		[MLK_MSG_HEARTBEAT] = "HEARTBEAT",
		[MLK_MSG_PEER_HELLO] = "PEER_HELLO",
		[MLK_MSG_FORWARD] = "FORWARD",
		[MLK_MSG_FORWARD_REPLY] = "FORWARD_REPLY",
		[MLK_MSG_PEERS] = "PEERS",
		[MLK_MSG_LEAVE] = "LEAVE",
		[MLK_MSG_ATTACH] = "ATTACH",
		[MLK_MSG_WORKER] = "WORKER",
		[MLK_MSG_RUN] = "RUN",
		[MLK_MSG_ENDS] = "ENDS",
		[MLK_MSG_DROP] = "DROP",
		[MLK_MSG_PING] = "PING",
		[MLK_MSG_ROUTES] = "ROUTES",
		[MLK_MSG_WANT] = "WANT",
		[MLK_MSG_OFFER] = "OFFER",
		[MLK_MSG_EVACUATIONS] = "EVACUATIONS",
		[MLK_MSG_DEMAND] = "DEMAND",
		[MLK_MSG_CORUN] = "CORUN",
		[MLK_MSG_VERDICTS] = "VERDICTS",
	};

	if ((unsigned int)type >= MLK_MSG_TYPES || names[type] == NULL)
		return ("UNKNOWN");
	return (names[type]);
}

static void
claims_rows_free(struct mlk_claims_row *rows, uint32_t n)
{
	uint32_t i;

	for (i = 0; rows != NULL && i < n; i++)
		free(rows[i].claims);
	free(rows);
}

/*
 * Frees what a store operation owns.
 */
void
mlk_store_op_clear(struct mlk_store_op *op)
{
	free(op->ownership);
	claims_rows_free(op->claims, op->nclaims);
	free(op->record.hashes);
	mlk_config_clear(&op->config);
	memset(op, 0, sizeof(*op));
}

/*
 * Frees what a store view owns.
 */
void
mlk_store_view_clear(struct mlk_store_view *view)
{
	mlk_config_clear(&view->config);
	free(view->entries);
	free(view->agents);
	claims_rows_free(view->claims, view->nclaims);
	free(view->record.hashes);
	free(view->audits);
	memset(view, 0, sizeof(*view));
}
