/*
 * Registration in the table service, and the configuration document.
 *
 * States: DUE -> PENDING (operation in progress) -> DONE.  On CONFLICT, PENDING
 * goes back to DUE, and the row in the view is the base of the next attempt.
 * On UNAVAILABLE it also goes back to DUE; that write may have taken effect, in
 * which case the next one conflicts and the incarnation rises further.
 * REREGISTER leads from DONE to DUE.
 */
#include <string.h>

#include "agent_priv.h"

#define REGISTER_BACKOFF_MIN_MS 50U
#define REGISTER_BACKOFF_MAX_MS 2000U
/* An operation without an answer is repeated after this time, which is above
 * the 2 s time-out of the HTTP call. */
#define REGISTER_TIMEOUT_MS 5000

/*
 * Returns the mask of complete partitions for the new incarnation.  Without an
 * older row nothing was started under this id, and all are complete.  If this
 * process has registered before, the mask of the row stays valid: a clear bit
 * stands for starts of an earlier process, which this record does not cover.
 * Otherwise only partitions that were closed with their claims saved are
 * complete.
 */
static uint64_t
complete_mask(const struct mlk_agent *agent)
{
	if (agent->row.row_version == 0)
		return (UINT64_MAX);
	if (agent->has_record)
		return (agent->row.complete);
	return (agent->row.complete & agent->row.closed);
}

static void
register_send(struct mlk_agent *agent)
{
	struct mlk_agent_row *row;
	struct mlk_store_op *op;

	op = agent_store(agent, MLK_STORE_REGISTER_AGENT);
	if (op == NULL)
		return;
	op->has_record = agent->has_record || agent->row.row_version == 0;
	row = &op->agent;
	row->row_version = agent->row.row_version;
	memcpy(row->id, agent->options.id, sizeof(row->id));
	memcpy(row->dc, agent->options.dc, sizeof(row->dc));
	row->incarnation = agent->row.incarnation + 1;
	row->slots = agent->options.slots;
	row->complete = complete_mask(agent);
	row->record_at = agent->row.record_at;
	agent->register_state = AGENT_REGISTER_PENDING;
	agent->register_at =
	    agent->now + REGISTER_TIMEOUT_MS * MLK_NSEC_PER_MSEC;
}

/*
 * Sends the registration when it is due, or again after a time-out.
 */
void
agent_register_tick(struct mlk_agent *agent)
{
	if (agent->register_state == AGENT_REGISTER_PENDING &&
	    agent->now >= agent->register_at)
		agent->register_state = AGENT_REGISTER_DUE;
	if (agent->register_state == AGENT_REGISTER_DUE &&
	    agent->now >= agent->register_at && !agent->stopping)
		register_send(agent);
}

/*
 * Returns this agent's row in a view, or NULL.
 */
const struct mlk_agent_row *
agent_own_row(const struct mlk_agent *agent, const struct mlk_store_view *view)
{
	uint32_t i;

	for (i = 0; i < view->nagents; i++) {
		if (strcmp(view->agents[i].id, agent->options.id) == 0)
			return (&view->agents[i]);
	}
	return (NULL);
}

/*
 * Applies the parts that every view has: epochs, configuration and entries.
 */
static void
view_apply(struct mlk_agent *agent, const struct mlk_store_view *view)
{
	uint32_t epoch, i;

	for (i = 0; view->has_ownership && i < MLK_PARTITIONS; i++) {
		epoch = view->ownership.part[i].epoch;
		agent->epoch[i] = MAX(agent->epoch[i], epoch);
	}
	if (view->has_config)
		agent_config_apply(agent, &view->config);
	for (i = 0; i < view->nentries; i++)
		agent_addr_add(agent, view->entries[i].info.addr, false);
}

/*
 * Clears the local copy of the row but keeps the incarnation, which must never
 * decrease within a process.
 */
static void
row_clear(struct mlk_agent *agent)
{
	memset(&agent->row, 0, sizeof(agent->row));
	agent->row.incarnation = agent->incarnation;
}

/*
 * Completes a registration that took effect with the requested incarnation.
 */
static void
registered(struct mlk_agent *agent, const struct mlk_store_view *view)
{
	const struct mlk_agent_row *row;

	row = agent_own_row(agent, view);
	agent->incarnation = agent->row.incarnation + 1;
	if (agent->first_incarnation == 0)
		agent->first_incarnation = agent->incarnation;
	if (row != NULL)
		agent->row = *row;
	else
		row_clear(agent);
	if (agent_inherit(agent, view) != 0)
		agent->error = MLK_ERR_NOMEM;
	agent->register_state = AGENT_REGISTER_DONE;
	agent->has_record = true;
	agent->register_backoff_ms = 0;
	agent->counters.registrations++;
	agent_log(agent, MLK_LOG_NOTICE, "registered, incarnation %llu",
	    (unsigned long long)agent->incarnation);
	agent_links_restart(agent);
}

/*
 * Applies the answer to the registration.  Answers to older operations are
 * ignored.
 */
void
agent_store_event(struct mlk_agent *agent, const struct mlk_event *ev)
{
	const struct mlk_store_view *view;
	const struct mlk_agent_row *row;

	if (agent->register_state != AGENT_REGISTER_PENDING ||
	    ev->u.store.id != agent->op_id)
		return;
	view = ev->u.store.view;
	if (view != NULL)
		view_apply(agent, view);
	if (ev->u.store.status == MLK_STORE_OK && view != NULL) {
		registered(agent, view);
		return;
	}
	if (ev->u.store.status == MLK_STORE_CONFLICT && view != NULL) {
		row = agent_own_row(agent, view);
		if (row != NULL)
			agent->row = *row;
		else
			row_clear(agent);
	} else {
		agent_log(agent, MLK_LOG_WARNING,
		    "table service unavailable; registering again");
	}
	agent->register_state = AGENT_REGISTER_DUE;
	agent->register_at = agent_backoff(agent, &agent->register_backoff_ms,
	    REGISTER_BACKOFF_MIN_MS, REGISTER_BACKOFF_MAX_MS);
}

/*
 * Applies REREGISTER if it names the current incarnation.
 */
void
agent_reregister(struct mlk_agent *agent, uint64_t incarnation)
{
	if (incarnation != agent->incarnation ||
	    agent->register_state != AGENT_REGISTER_DONE)
		return;
	agent_log(agent, MLK_LOG_NOTICE,
	    "incarnation %llu was closed; registering again",
	    (unsigned long long)incarnation);
	agent->register_state = AGENT_REGISTER_DUE;
	agent->register_at = agent->now;
	agent_register_tick(agent);
}

/*
 * Replaces the configuration if the new version is higher.  It is not forwarded
 * to entries here: they read it from the table or get it from each other, and
 * an entry that could do neither gets it in reply to a heartbeat with a lower
 * version.
 */
void
agent_config_apply(struct mlk_agent *agent, const struct mlk_config *config)
{
	struct mlk_config copy;

	if (config->version <= agent->config.version)
		return;
	if (mlk_config_copy(&copy, config) != 0) {
		agent->error = MLK_ERR_NOMEM;
		return;
	}
	mlk_config_clear(&agent->config);
	agent->config = copy;
}
