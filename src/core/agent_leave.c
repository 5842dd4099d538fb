/*
 * The planned stop, a graceful shutdown (docs/design.md, section 4, rule 12):
 * the agent waits until running tasks have ended, saves its record in the table
 * service and exits.
 *
 * States of the write: NONE -> DUE -> PENDING (operation in progress) -> DONE,
 * or back to DUE after CONFLICT and UNAVAILABLE until LEAVE_MAX_MS have passed.
 * No task starts after the stop has begun, so the saved record is complete
 * whenever the write takes effect.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_priv.h"

/*
 * A planned stop waits this long for running tasks and acknowledgements; then
 * it continues without them.
 */
#define STOP_MAX_MS 30000
/*
 * A stopping agent stays up at least this long, so that STARTs that were sent
 * before its LEAVE arrived are still answered.
 */
#define STOP_LINGER_MS 1000
/* An agent that cannot save its record exits after this time. */
#define LEAVE_MAX_MS 5000
#define LEAVE_RETRY_MS 200

/*
 * Begins the planned stop.  A second request changes nothing.
 */
void
agent_stop(struct mlk_agent *agent)
{
	uint32_t i;

	if (agent->stopping)
		return;
	agent->stopping = true;
	agent->stop_at = agent->now;
	mlk_slots_close(agent->slots);
	agent_queue_refuse(agent);
	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		if (agent->entries[i].state == AGENT_LINK_LINKED)
			(void)agent_send(
			    agent, &agent->entries[i], MLK_MSG_LEAVE);
	}
	agent_log(agent, MLK_LOG_NOTICE, "stopping, %u tasks running",
	    agent->nrunning);
}

/*
 * Copies from the view the hashes that earlier processes with this id saved.
 * Returns 0, or MLK_ERR_NOMEM.
 */
int
agent_inherit(struct mlk_agent *agent, const struct mlk_store_view *view)
{
	const struct mlk_record_row *record = &view->record;
	struct mlk_saved_hash *copy;

	if (!view->has_record)
		return (0);
	copy = calloc(record->n + 1U, sizeof(*copy));
	if (copy == NULL)
		return (MLK_ERR_NOMEM);
	memcpy(copy, record->hashes, record->n * sizeof(*copy));
	free(agent->inherited);
	agent->inherited = copy;
	agent->ninherited = record->n;
	return (0);
}

/*
 * Fills in the row with the inherited hashes that are within the retention
 * period, and with the hashes of this process.  Returns 0, or MLK_ERR_NOMEM.
 */
static int
fill_record(const struct mlk_agent *agent, struct mlk_record_row *row)
{
	const struct mlk_saved_hash *old;
	uint32_t *hashes;
	uint32_t i;
	size_t n;

	if (mlk_records_hashes(agent->records, UINT64_MAX, &hashes, &n) != 0)
		return (MLK_ERR_NOMEM);
	row->hashes = calloc(agent->ninherited + n + 1, sizeof(*row->hashes));
	if (row->hashes == NULL) {
		free(hashes);
		return (MLK_ERR_NOMEM);
	}
	memcpy(row->id, agent->options.id, sizeof(row->id));
	for (i = 0; i < agent->ninherited; i++) {
		old = &agent->inherited[i];
		if (old->saved_at + agent->options.retention_s >= agent->wall)
			row->hashes[row->n++] = *old;
	}
	for (i = 0; i < n; i++) {
		row->hashes[row->n].hash = hashes[i];
		row->hashes[row->n++].saved_at = agent->wall;
	}
	free(hashes);
	return (0);
}

static void
leave_send(struct mlk_agent *agent)
{
	struct mlk_record_row record = { 0 };
	struct mlk_store_op *op;

	if (fill_record(agent, &record) != 0) {
		agent->error = MLK_ERR_NOMEM;
		return;
	}
	op = agent_store(agent, MLK_STORE_LEAVE_AGENT);
	if (op == NULL) {
		free(record.hashes);
		return;
	}
	op->record = record;
	op->agent = agent->row;
	op->agent.closed = UINT64_MAX;
	if (agent->row.closed_at == 0)
		op->agent.closed_at = agent->wall;
	op->agent.record_at = agent->wall;
	agent->leave = AGENT_LEAVE_PENDING;
	agent->leave_record_at = agent->wall;
}

/*
 * Applies the answer to LEAVE_AGENT.  After a conflict, the row shows which
 * case applies: an earlier attempt took effect; an owner has changed the row in
 * the meantime, and the write is repeated; or another process has registered
 * under the id, and the write is abandoned.
 */
void
agent_leave_event(struct mlk_agent *agent, const struct mlk_event *ev)
{
	const struct mlk_store_view *view = ev->u.store.view;
	const struct mlk_agent_row *row = NULL;

	if (agent->leave != AGENT_LEAVE_PENDING ||
	    ev->u.store.id != agent->op_id)
		return;
	agent->leave = AGENT_LEAVE_DUE;
	agent->leave_at = agent->now + LEAVE_RETRY_MS * MLK_NSEC_PER_MSEC;
	if (ev->u.store.status == MLK_STORE_OK) {
		agent->leave = AGENT_LEAVE_DONE;
		return;
	}
	if (ev->u.store.status == MLK_STORE_UNAVAILABLE)
		return;
	if (view != NULL)
		row = agent_own_row(agent, view);
	if (row == NULL || row->incarnation != agent->row.incarnation) {
		agent_log(agent, MLK_LOG_WARNING,
		    "record not saved: another process is registered");
		agent->leave = AGENT_LEAVE_DONE;
	} else if (row->closed == UINT64_MAX &&
	    row->record_at == agent->leave_record_at) {
		agent->leave = AGENT_LEAVE_DONE;
	} else {
		agent->row = *row;
		agent->leave_at = agent->now;
	}
}

/*
 * Starts and repeats the attempts to save the record.  Returns whether they
 * have ended.
 */
static bool
leave_finished(struct mlk_agent *agent)
{
	int64_t waited_ms;

	if (agent->leave == AGENT_LEAVE_NONE) {
		agent->leave = AGENT_LEAVE_DUE;
		agent->leave_at = agent->now;
		agent->leave_started_at = agent->now;
	}
	waited_ms = (agent->now - agent->leave_started_at) / MLK_NSEC_PER_MSEC;
	if (agent->leave != AGENT_LEAVE_DONE && waited_ms >= LEAVE_MAX_MS) {
		agent_log(agent, MLK_LOG_WARNING,
		    "record not saved: table service unavailable");
		return (true);
	}
	if (agent->leave == AGENT_LEAVE_DUE && agent->now >= agent->leave_at)
		leave_send(agent);
	return (agent->leave == AGENT_LEAVE_DONE);
}

/*
 * Advances a planned stop: waits until all tasks have ended and all results are
 * acknowledged, at most STOP_MAX_MS, then until the record is saved.  An agent
 * that never registered exits at once.
 */
void
agent_stop_check(struct mlk_agent *agent)
{
	int64_t waited_ms;
	bool done;

	if (!agent->stopping || agent->exited)
		return;
	waited_ms = (agent->now - agent->stop_at) / MLK_NSEC_PER_MSEC;
	done = agent->nrunning == 0 &&
	    mlk_records_unacked(agent->records) == 0 &&
	    agent_results_all_acked(agent) && waited_ms >= STOP_LINGER_MS;
	if (agent->incarnation != 0) {
		if (!done && waited_ms < STOP_MAX_MS &&
		    agent->leave == AGENT_LEAVE_NONE)
			return;
		if (!done && agent->leave == AGENT_LEAVE_NONE) {
			agent_log(agent, MLK_LOG_WARNING,
			    "stop timed out: %u tasks running, %u results "
			    "unacknowledged",
			    agent->nrunning,
			    mlk_records_unacked(agent->records));
		}
		if (!leave_finished(agent))
			return;
	}
	agent->exited = mlk_effects_push(agent->out, MLK_FX_EXIT) != NULL;
}
