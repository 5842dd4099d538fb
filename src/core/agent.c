/*
 * The agent reducer: takes one event, changes the state and appends effects.
 *
 * An agent registers in the table service, connects to the entries, grants them
 * credits for its slots and starts the tasks that they send.  On a planned stop
 * it refuses new starts, waits until running tasks have ended and their results
 * are delivered, saves its record in the table service, and exits.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent_priv.h"

#define SLOTS_DEFAULT 8U
#define SLOTS_MAX 4096U
/* 900 s of retention at 36 starts/s, the peak rate of one of 900 workers. */
#define RECORDS_DEFAULT 32768U
#define RESULT_BYTES_DEFAULT (8U * 1024 * 1024)
/* All results of one key must fit in one QUERY_REPLY. */
#define RESULT_BYTES_MAX (12U * 1024 * 1024)
#define RETENTION_DEFAULT_S 900U
#define LEASE_DEFAULT_MS 3000U

/*
 * Fills the options with defaults; the id and the entries are left empty.
 */
void
mlk_agent_options_default(struct mlk_agent_options *options)
{
	memset(options, 0, sizeof(*options));
	options->slots = SLOTS_DEFAULT;
	options->max_records = RECORDS_DEFAULT;
	options->max_result_bytes = RESULT_BYTES_DEFAULT;
	options->retention_s = RETENTION_DEFAULT_S;
	options->lease_ms = LEASE_DEFAULT_MS;
}

/*
 * Creates an agent; the options are copied.  With `queue_at_worker` no credits
 * are granted.  Returns NULL when the options are invalid or memory runs out.
 * The first TICK starts the registration.
 */
struct mlk_agent *
mlk_agent_create(const struct mlk_agent_options *options)
{
	struct mlk_agent *agent;
	uint32_t bytes, i;
	uint64_t seed;

	if (options->id[0] == '\0' || options->slots == 0 ||
	    options->slots > SLOTS_MAX || options->max_records == 0)
		return (NULL);
	agent = calloc(1, sizeof(*agent));
	if (agent == NULL)
		return (NULL);
	agent->options = *options;
	agent->options.nentries = 0;
	agent->options.entries = NULL;
	seed = mlk_key_from_id(options->id).lo;
	mlk_rng_seed(&agent->rng, seed);
	g_queue_init(&agent->queue);
	bytes = MIN(options->max_result_bytes, RESULT_BYTES_MAX);
	agent->records = mlk_records_create(
	    options->max_records, bytes, options->retention_s);
	agent->slots = mlk_slots_create(options->slots, seed);
	agent->running = malloc(options->slots * sizeof(*agent->running));
	if (agent->records == NULL || agent->slots == NULL ||
	    agent->running == NULL) {
		mlk_agent_destroy(agent);
		return (NULL);
	}
	if (options->queue_at_worker)
		mlk_slots_close(agent->slots);
	for (i = 0; i < options->slots; i++)
		agent->running[i] = MLK_RECORD_NONE;
	for (i = 0; i < options->nentries; i++)
		agent_addr_add(agent, options->entries[i], true);
	return (agent);
}

void
mlk_agent_destroy(struct mlk_agent *agent)
{
	struct agent_entry *entry;
	uint32_t i;

	if (agent == NULL)
		return;
	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		if (entry->state == AGENT_LINK_UNUSED)
			continue;
		agent_queue_drop(agent, entry->link);
		free(entry->items);
		g_array_free(entry->sent, TRUE);
	}
	free(agent->inherited);
	mlk_config_clear(&agent->config);
	mlk_records_destroy(agent->records);
	mlk_slots_destroy(agent->slots);
	free(agent->running);
	free(agent);
}

/*
 * Appends a table service operation on this agent's row and returns it for the
 * caller to fill in, or NULL when out of memory.  It is valid until the next
 * effect is appended.  Answers to older operations are ignored from now on.
 */
struct mlk_store_op *
agent_store(struct mlk_agent *agent, enum mlk_store_op_type type)
{
	struct mlk_effect *fx = mlk_effects_push(agent->out, MLK_FX_STORE);

	if (fx == NULL) {
		agent->error = MLK_ERR_NOMEM;
		return (NULL);
	}
	fx->u.store.type = type;
	fx->u.store.id = ++agent->op_id;
	memcpy(fx->u.store.subject, agent->options.id, MLK_NAME_MAX);
	return (&fx->u.store);
}

/*
 * Appends a message to an entry and returns it for the caller to fill in, or
 * NULL when out of memory.  It is valid until the next effect is appended.
 */
struct mlk_msg *
agent_send(
    struct mlk_agent *agent, struct agent_entry *entry, enum mlk_msg_type type)
{
	struct mlk_effect *fx;

	fx = mlk_effects_push(agent->out, MLK_FX_SEND);
	if (fx == NULL) {
		agent->error = MLK_ERR_NOMEM;
		return (NULL);
	}
	fx->u.send.link = entry->link;
	fx->u.send.msg.type = type;
	entry->sent_at = agent->now;
	agent->counters.msgs_sent++;
	agent->counters.msgs_sent_by_type[type]++;
	return (&fx->u.send.msg);
}

void
agent_log(
    struct mlk_agent *agent, enum mlk_log_level level, const char *fmt, ...)
{
	struct mlk_effect *fx;
	va_list ap;

	if (agent->out == NULL)
		return;
	fx = mlk_effects_push(agent->out, MLK_FX_LOG);
	if (fx == NULL)
		return;
	fx->u.log.level = level;
	memcpy(fx->u.log.worker, agent->options.id, MLK_NAME_MAX);
	va_start(ap, fmt);
	(void)vsnprintf(fx->u.log.text, sizeof(fx->u.log.text), fmt, ap);
	va_end(ap);
}

/*
 * Doubles *backoff_ms within its bounds and returns the monotonic time of the
 * next attempt: after half of *backoff_ms plus a random part of the other half.
 */
int64_t
agent_backoff(struct mlk_agent *agent, uint32_t *backoff_ms, uint32_t first_ms,
    uint32_t max_ms)
{
	uint32_t half;

	*backoff_ms =
	    *backoff_ms == 0 ? first_ms : MIN(*backoff_ms * 2, max_ms);
	half = *backoff_ms / 2;
	return (agent->now +
	    (int64_t)(half + mlk_rng_below(&agent->rng, half + 1)) *
		MLK_NSEC_PER_MSEC);
}

/*
 * Applies a message from a linked entry.
 */
static void
linked_msg(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_msg *msg)
{
	switch (msg->type) {
	case MLK_MSG_START:
		agent_start(agent, entry, msg);
		break;
	case MLK_MSG_FENCE:
		agent_fence(agent, entry, msg);
		break;
	case MLK_MSG_ACK:
		agent_results_ack(agent, entry, msg->u.ack.seq);
		break;
	case MLK_MSG_NEED:
		if (!agent->options.queue_at_worker) {
			mlk_slots_demand(agent->slots,
			    agent_entry_index(agent, entry), &msg->u.need,
			    agent->now);
		}
		break;
	case MLK_MSG_RETURN:
		mlk_slots_returned(agent->slots,
		    agent_entry_index(agent, entry), msg->u.returned,
		    agent->now);
		break;
	case MLK_MSG_QUERY:
		agent_query(agent, entry, msg->u.query.key);
		break;
	case MLK_MSG_CANCEL:
		agent_cancel(agent, msg->u.cancel.key);
		break;
	case MLK_MSG_HEARTBEAT:
		agent_config_sync(
		    agent, entry, msg->u.heartbeat.config_version);
		break;
	case MLK_MSG_LEAVE:
		agent_entry_leave(agent, entry);
		break;
	default:
		agent_log(agent, MLK_LOG_WARNING, "unexpected %s from %s",
		    mlk_msg_name(msg->type), entry->id);
		break;
	}
}

/*
 * Applies a message.  Before WELCOME only WELCOME, PEERS, CONFIG and REREGISTER
 * are accepted.
 */
static void
msg_apply(struct mlk_agent *agent, uint32_t link, const struct mlk_msg *msg)
{
	struct agent_entry *entry;

	entry = agent_entry_by_link(agent, link);
	if (entry == NULL)
		return;
	agent->counters.msgs_received++;
	agent_lease_renew(agent, entry);
	switch (msg->type) {
	case MLK_MSG_WELCOME:
		agent_welcome(agent, entry, msg);
		break;
	case MLK_MSG_PEERS:
		agent_peers(agent, msg);
		break;
	case MLK_MSG_CONFIG:
		entry->config_version =
		    MAX(entry->config_version, msg->u.config.version);
		agent_config_apply(agent, &msg->u.config);
		break;
	case MLK_MSG_REREGISTER:
		agent_reregister(agent, msg->u.reregister.incarnation);
		break;
	default:
		if (entry->state == AGENT_LINK_LINKED) {
			linked_msg(agent, entry, msg);
			break;
		}
		agent_log(agent, MLK_LOG_WARNING, "%s before WELCOME from %s",
		    mlk_msg_name(msg->type), entry->addr);
		break;
	}
}

static void
event_apply(struct mlk_agent *agent, const struct mlk_event *ev)
{
	switch (ev->type) {
	case MLK_EV_LINK_UP:
		agent_link_up(agent, ev->u.link.connect, ev->u.link.link);
		break;
	case MLK_EV_LINK_DOWN:
		agent_link_down(agent, ev->u.link.connect, ev->u.link.link);
		break;
	case MLK_EV_MSG:
		msg_apply(agent, ev->u.msg.link, ev->u.msg.msg);
		break;
	case MLK_EV_STORE:
		if (ev->u.store.type == MLK_STORE_LEAVE_AGENT)
			agent_leave_event(agent, ev);
		else
			agent_store_event(agent, ev);
		break;
	case MLK_EV_TASK_DONE:
		agent_task_done(agent, ev);
		break;
	case MLK_EV_TICK:
		mlk_records_expire(agent->records, agent->now);
		agent_register_tick(agent);
		agent_links_tick(agent);
		break;
	case MLK_EV_STOP:
		agent_stop(agent);
		break;
	case MLK_EV_SUBMIT:
	case MLK_EV_LOOKUP:
	case MLK_EV_CANCEL:
	case MLK_EV_ISSUE_IDS:
	case MLK_EV_REQUEST_GONE:
	case MLK_EV_ADMIN:
		break;
	}
}

/*
 * Closes and reopens all links after the process was paused for longer than the
 * lease.  Messages sent before or during the pause may still be buffered on
 * them, and a stale heartbeat there would renew the lease for a stale START.
 */
static void
pause_check(struct mlk_agent *agent)
{
	int64_t gap = agent->now - agent->last_event_at;
	bool paused = agent->last_event_at != 0 &&
	    gap > (int64_t)agent->options.lease_ms * MLK_NSEC_PER_MSEC;

	agent->last_event_at = agent->now;
	if (!paused || agent->incarnation == 0)
		return;
	agent_log(agent, MLK_LOG_NOTICE, "paused for %lld ms; reconnecting",
	    (long long)(gap / MLK_NSEC_PER_MSEC));
	agent_links_restart(agent);
}

/*
 * Applies one event and appends its effects to out.  Returns 0, or
 * MLK_ERR_NOMEM when an effect could not be built; the state stays consistent,
 * and no task that did not start is reported as started.
 */
int
mlk_agent_apply(struct mlk_agent *agent, const struct mlk_event *ev,
    struct mlk_effects *out, struct mlk_error *err)
{
	agent->out = out;
	agent->now = ev->now;
	agent->wall = ev->wall;
	agent->error = 0;
	pause_check(agent);
	event_apply(agent, ev);
	agent_queue_run(agent);
	agent_results_flush(agent);
	agent_stop_check(agent);
	agent->counters.results_dropped = mlk_records_dropped(agent->records);
	agent->out = NULL;
	if (agent->error == 0)
		return (0);
	return (mlk_error_set(err, agent->error,
	    "agent: %s while applying event %d", mlk_strerror(agent->error),
	    (int)ev->type));
}

const struct mlk_agent_counters *
mlk_agent_counters(const struct mlk_agent *agent)
{
	return (&agent->counters);
}

/*
 * Fills in *out with the current values.  A stopping agent is not ready.
 */
void
mlk_agent_gauges(const struct mlk_agent *agent, struct mlk_agent_gauges *out)
{
	struct mlk_slots_stats stats;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	mlk_slots_stats(agent->slots, &stats);
	for (i = 0; i < AGENT_ENTRIES_MAX; i++)
		out->entries += agent->entries[i].state == AGENT_LINK_LINKED;
	out->ready =
	    agent->incarnation != 0 && out->entries > 0 && !agent->stopping;
	out->running = agent->nrunning;
	out->credits_lent = stats.lent;
	out->records = mlk_records_count(agent->records);
	out->incarnation = agent->incarnation;
	out->config_version = agent->config.version;
}
