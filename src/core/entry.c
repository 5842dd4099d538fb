/*
 * The entry reducer: creation, dispatch of events, counters and gauges.
 *
 * Each event is handled in one of the entry_*.c files.  Afterwards
 * accounts_update() determines which partitions are accounted for (see
 * entry_accounts.c) and dispatch_run() sends every queued task for which there
 * is a credit.
 */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"

#define DEFAULT_MAX_JOBS 131072
#define DEFAULT_MAX_QUEUED 262144
/* A stopping entry takes new requests for this long, so that the load balancer
 * notices that /readyz returns 503. */
#define STOP_ACCEPT_NS (5 * MLK_NSEC_PER_SEC)
#define STOP_RETRY_MS 1000

/*
 * Sets all options to the defaults of docs/design.md.
 */
void
mlk_entry_options_default(struct mlk_entry_options *options)
{
	memset(options, 0, sizeof(*options));
	options->policy = MLK_POLICY_CREDITS;
	options->seed = 1;
	options->max_jobs = DEFAULT_MAX_JOBS;
	options->max_queued = DEFAULT_MAX_QUEUED;
	options->retention_s = 900;
	options->lease_ms = 3000;
	options->peer_timeout_ms = 1500;
	options->agent_lapse_ms = 3000;
	options->takeover_wait_ms = 3000;
}

static void
create_tables(struct mlk_entry *e)
{
	uint32_t p;

	e->links = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	e->agents = g_ptr_array_new();
	e->agent_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	e->peers = g_ptr_array_new();
	for (p = 0; p < MLK_PARTITIONS; p++)
		e->part[p].claims = g_hash_table_new_full(
		    entry_key_hash, entry_key_equal, g_free, NULL);
	e->lost_hashes = g_hash_table_new(NULL, NULL);
	e->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	e->requests_http = g_hash_table_new(g_int64_hash, g_int64_equal);
	e->jobs = g_hash_table_new(entry_key_hash, entry_key_equal);
	e->evicted = g_hash_table_new(entry_key_hash, entry_key_equal);
	g_queue_init(&e->parked);
	g_queue_init(&e->held);
	g_queue_init(&e->recovering);
	g_queue_init(&e->confirming);
	g_queue_init(&e->ended);
	g_queue_init(&e->evicted_order);
	e->slots = g_array_new(FALSE, FALSE, sizeof(struct task_slot));
	e->free_slot = ENTRY_NO_HANDLE;
	e->delayed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	e->batched = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	e->confirms = g_ptr_array_new();
	e->watchers = g_array_new(FALSE, FALSE, sizeof(struct watcher));
	e->audits =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

/*
 * Creates an entry; options are copied.  Returns NULL when out of memory.
 * GLib's containers abort the process when they cannot grow.
 */
struct mlk_entry *
mlk_entry_create(const struct mlk_entry_options *options)
{
	struct mlk_sched_options so = { 0 };
	struct mlk_entry *e;

	e = calloc(1, sizeof(*e));
	if (e == NULL)
		return (NULL);
	e->opt = *options;
	e->opt.peers = NULL;
	so.policy = options->policy;
	so.seed = options->seed;
	so.max_queued = options->max_queued;
	memcpy(so.dc, options->self.dc, sizeof(so.dc));
	e->sched = mlk_sched_create(&so);
	if (e->sched == NULL) {
		free(e);
		return (NULL);
	}
	create_tables(e);
	members_add_configured(e, options);
	return (e);
}

void
mlk_entry_destroy(struct mlk_entry *e)
{
	uint32_t p;

	if (e == NULL)
		return;
	jobs_free(e);
	forward_free(e);
	config_free(e);
	members_free(e);
	for (p = 0; p < MLK_PARTITIONS; p++)
		g_hash_table_destroy(e->part[p].claims);
	g_hash_table_destroy(e->lost_hashes);
	g_free(e->index_filter);
	g_array_free(e->slots, TRUE);
	g_array_free(e->delayed, TRUE);
	g_array_free(e->batched, TRUE);
	mlk_sched_destroy(e->sched);
	free(e);
}

/*
 * HEARTBEAT: compares the versions of the other side with those known here,
 * and asks for a poll if the ownership row is newer.
 */
static void
handle_heartbeat(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	config_compare(e, l, msg->u.heartbeat.config_version);
	if (l->kind == LINK_PEER)
		l->peer->ownership_version = msg->u.heartbeat.ownership_version;
	if (msg->u.heartbeat.ownership_version > e->ownership.row_version)
		e->poll_wanted = true;
}

static void
handle_agent_msg(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	switch (msg->type) {
	case MLK_MSG_HELLO:
		members_hello(e, l, msg);
		break;
	case MLK_MSG_FENCE_REPLY:
		accounts_fence_reply(e, l->agent, msg);
		break;
	case MLK_MSG_RESULT:
		jobs_results(e, l, msg);
		break;
	case MLK_MSG_GRANT:
		mlk_sched_credit(e->sched, l->agent->handle, msg->u.grant);
		break;
	case MLK_MSG_RECLAIM:
		dispatch_reclaim(e, l, msg);
		break;
	case MLK_MSG_QUERY_REPLY:
		recover_reply(e, l->agent, msg);
		break;
	case MLK_MSG_LEAVE:
		members_leave(e, l);
		break;
	default:
		break;
	}
}

static void
handle_peer_msg(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	switch (msg->type) {
	case MLK_MSG_PEER_HELLO:
		members_peer_hello(e, l, msg);
		break;
	case MLK_MSG_FORWARD:
		forward_from_peer(e, l, msg);
		break;
	case MLK_MSG_FORWARD_REPLY:
		forward_reply(e, l, msg);
		break;
	case MLK_MSG_CANCEL:
		forward_cancel_from_peer(e, msg->u.cancel.key);
		break;
	case MLK_MSG_PEERS:
		members_peers(e, msg);
		break;
	case MLK_MSG_LEAVE:
		members_leave(e, l);
		break;
	default:
		break;
	}
}

/*
 * Handles a message.  The first message on a link has to be HELLO or
 * PEER_HELLO; any other message on a new link is ignored.
 */
static void
handle_msg(struct mlk_entry *e, uint32_t link, const struct mlk_msg *msg)
{
	struct entry_link *l = members_link(e, link);

	if (l == NULL)
		return;
	e->counters.msgs_received++;
	l->last_heard = e->now;
	if (msg->type == MLK_MSG_CONFIG && l->kind != LINK_NEW) {
		if (msg->u.config.version > l->config_version)
			l->config_version = msg->u.config.version;
		config_apply(e, &msg->u.config);
	} else if (msg->type == MLK_MSG_HEARTBEAT && l->kind != LINK_NEW) {
		handle_heartbeat(e, l, msg);
	} else if (l->kind == LINK_AGENT ||
	    (l->kind == LINK_NEW && msg->type == MLK_MSG_HELLO)) {
		handle_agent_msg(e, l, msg);
	} else if (l->kind == LINK_PEER || msg->type == MLK_MSG_PEER_HELLO) {
		handle_peer_msg(e, l, msg);
	}
}

/*
 * Passes the result of a store operation to the file that started it.
 */
static void
handle_store_reply(struct mlk_entry *e, const struct mlk_event *ev)
{
	if (ev->u.store.status == MLK_STORE_UNAVAILABLE)
		e->counters.store_errors++;
	if (ownership_store_reply(e, ev) || config_store_reply(e, ev) ||
	    records_store_reply(e, ev))
		return;
	if (ev->u.store.id != 0 && ev->u.store.id == e->close_op)
		accounts_close_reply(e, ev);
}

static void
handle_tick(struct mlk_entry *e)
{
	struct mlk_sched_stats stats;

	ownership_tick(e);
	dispatch_tick(e);
	jobs_tick(e);
	forward_tick(e);
	config_propagate(e);
	if (e->now < e->service_at)
		return;
	e->service_at = e->now + ENTRY_SERVICE_NS;
	mlk_sched_stats(e->sched, &stats);
	e->counters.agents_ejected = stats.ejections;
	members_service(e);
	accounts_service(e);
	recover_service(e);
	config_service(e);
	ownership_plan(e);
}

/*
 * Begins a planned stop: the entry takes over no more partitions, and sends
 * LEAVE to its peers and agents at once.
 */
static void
begin_stop(struct mlk_entry *e)
{
	if (e->phase != ENTRY_RUNNING)
		return;
	e->phase = ENTRY_LEAVING;
	e->phase_since = e->now;
	e->stop_since = e->now;
	entry_log(e, MLK_LOG_NOTICE, "planned stop");
	members_announce_leave(e);
	ownership_plan(e);
}

/*
 * Answers a caller's new request with UNAVAILABLE and returns true once a
 * planned stop has lasted for STOP_ACCEPT_NS.  Under steady traffic the entry
 * would otherwise always have waiting requests and never exit.  The error does
 * not tell whether the job is known; the caller asks another entry.
 */
static bool
decline_if_stopping(struct mlk_entry *e, uint64_t http)
{
	if (e->phase == ENTRY_RUNNING ||
	    e->now - e->stop_since < STOP_ACCEPT_NS)
		return (false);
	entry_reply_error(e, http, MLK_ERR_UNAVAILABLE, STOP_RETRY_MS,
	    "this entry is stopping and did not take the request");
	return (true);
}

static void
apply_event(struct mlk_entry *e, const struct mlk_event *ev)
{
	switch (ev->type) {
	case MLK_EV_SUBMIT:
		if (decline_if_stopping(e, ev->u.submit.request))
			break;
		forward_submit(e, ev->u.submit.request, ev->u.submit.wait,
		    ev->u.submit.spec);
		break;
	case MLK_EV_LOOKUP:
		if (decline_if_stopping(e, ev->u.lookup.request))
			break;
		forward_lookup(e, ev->u.lookup.request, ev->u.lookup.wait,
		    ev->u.lookup.id, REQ_LOOKUP);
		break;
	case MLK_EV_CANCEL:
		if (decline_if_stopping(e, ev->u.cancel.request))
			break;
		forward_lookup(e, ev->u.cancel.request, false, ev->u.cancel.id,
		    REQ_CANCEL);
		break;
	case MLK_EV_ISSUE_IDS:
		if (decline_if_stopping(e, ev->u.issue.request))
			break;
		forward_issue(e, ev->u.issue.request, ev->u.issue.count);
		break;
	case MLK_EV_REQUEST_GONE:
		forward_request_closed(e, ev->u.gone.request);
		config_request_closed(e, ev->u.gone.request);
		break;
	case MLK_EV_ADMIN:
		config_admin(e, ev->u.admin.request, ev->u.admin.admin);
		break;
	case MLK_EV_LINK_UP:
		members_link_up(e, ev->u.link.link, ev->u.link.connect);
		break;
	case MLK_EV_LINK_DOWN:
		members_link_down(e, ev->u.link.link, ev->u.link.connect);
		break;
	case MLK_EV_MSG:
		handle_msg(e, ev->u.msg.link, ev->u.msg.msg);
		break;
	case MLK_EV_STORE:
		handle_store_reply(e, ev);
		break;
	case MLK_EV_TICK:
		handle_tick(e);
		break;
	case MLK_EV_STOP:
		begin_stop(e);
		break;
	case MLK_EV_TASK_DONE:
		break;
	}
}

/*
 * Applies one event and appends its effects to *out.  Returns 0, or
 * MLK_ERR_NOMEM when an effect could not be appended.  The state is then still
 * consistent: what was not sent is sent again later, and tasks of a lost START
 * end as unknown when their agent is lost.
 */
int
mlk_entry_apply(struct mlk_entry *e, const struct mlk_event *ev,
    struct mlk_effects *out, struct mlk_error *err)
{
	uint32_t limit = MIN(e->opt.lease_ms, e->opt.peer_timeout_ms);
	bool paused = e->now != 0 && ev->now - e->now > entry_ms_to_ns(limit);

	e->now = ev->now;
	e->wall = ev->wall;
	e->out = out;
	e->nomem = false;
	if (paused)
		ownership_after_pause(e);
	apply_event(e, ev);
	accounts_update(e);
	dispatch_run(e);
	e->out = NULL;
	if (e->nomem)
		return (
		    mlk_error_set(err, MLK_ERR_NOMEM, "entry: out of memory"));
	return (0);
}

const struct mlk_entry_counters *
mlk_entry_counters(const struct mlk_entry *e)
{
	return (&e->counters);
}

/*
 * Stores the current gauges in *out.
 */
void
mlk_entry_gauges(const struct mlk_entry *e, struct mlk_entry_gauges *out)
{
	struct mlk_sched_stats stats;

	mlk_sched_stats(e->sched, &stats);
	memset(out, 0, sizeof(*out));
	out->ready = ownership_ready(e);
	out->partitions_owned = (uint32_t)__builtin_popcountll(e->owned);
	out->partitions_serving = (uint32_t)__builtin_popcountll(e->accounted);
	out->agents = e->agents_linked;
	out->peers = members_linked_peers(e);
	out->jobs_running = e->jobs_running;
	out->jobs_retained = g_queue_get_length((GQueue *)&e->ended);
	out->tasks_queued = stats.queued_short + stats.queued_long;
	out->tasks_in_flight = e->in_flight;
	out->credits_held = stats.credits;
	out->config_version = e->config.version;
	out->ownership_version = e->ownership.row_version;
}
