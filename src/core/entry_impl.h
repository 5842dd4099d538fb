/*
 * State of the entry reducer, shared by the entry_*.c files.
 *
 * A request (from a caller or a forwarding peer) is parked until the owner of
 * its id is known, then either forwarded to that peer or joined to a job of
 * this entry.  A job exists only at the owner of its partition.  A task has a
 * small integer handle while the scheduler or an agent holds it.
 */
#ifndef MLK_CORE_ENTRY_IMPL_H
#define MLK_CORE_ENTRY_IMPL_H

#include <glib.h>

#include <monsoonlock/core.h>

#include "sched.h"

#define ENTRY_NO_HANDLE UINT32_MAX
#define ENTRY_MAX_TRIES 5 /* dispatches of one task; then it is NOT_RUN */
#define ENTRY_ISSUE_MAX 1000 /* ids issued in one request */
#define ENTRY_SERVICE_NS (100 * MLK_NSEC_PER_MSEC) /* period of *_service() */
#define ENTRY_POLL_NS MLK_NSEC_PER_SEC /* between regular table polls */
#define ENTRY_POLL_MIN_NS (50 * MLK_NSEC_PER_MSEC) /* between any two polls */
/* After this time a parked request is routed again. */
#define ENTRY_RETRY_NS (50 * MLK_NSEC_PER_MSEC)
/* Between queries for the recovered tasks of a job that are still running. */
#define ENTRY_REQUERY_NS MLK_NSEC_PER_SEC
#define ENTRY_PEER_BEAT_NS (500 * MLK_NSEC_PER_MSEC) /* heartbeats to peers */
#define ENTRY_CONNECT_NS MLK_NSEC_PER_SEC /* between connects to a peer */

enum entry_phase {
	ENTRY_RUNNING, /* -> LEAVING on MLK_EV_STOP */
	ENTRY_LEAVING, /* hands over its partitions; -> DRAINING */
	ENTRY_DRAINING, /* answers open requests; -> REMOVING after the last */
	ENTRY_REMOVING, /* removes its row from the table; -> STOPPED */
	ENTRY_STOPPED, /* EXIT was emitted */
};

enum link_kind {
	LINK_NEW, /* no HELLO or PEER_HELLO yet */
	LINK_AGENT,
	LINK_PEER,
};

struct entry_link {
	uint32_t link;
	enum link_kind kind;
	bool outgoing;
	struct agent *agent;
	struct peer *peer;
	int64_t last_sent;
	int64_t last_heard;
	uint64_t config_version; /* that the other side has */
	uint64_t ack_seq; /* of the last RESULT, for the next ACK */
	uint32_t ack_pending; /* results since the last ACK */
	int64_t ack_since; /* arrival of the first of these */
};

enum agent_state {
	AGENT_ABSENT, /* row known, never linked here; -> LINKED */
	AGENT_LINKED, /* -> LAPSING when the link closes */
	AGENT_LAPSING, /* -> LINKED again, or LOST after agent_lapse_ms */
	AGENT_LOST, /* tasks unknown, ids kept as claims; -> LINKED on HELLO */
};

struct agent {
	uint32_t handle;
	char id[MLK_NAME_MAX];
	char dc[MLK_NAME_MAX];
	uint32_t slots;
	enum agent_state state;
	uint64_t incarnation; /* of the last HELLO */
	struct entry_link *link;
	int64_t down_since;
	bool leaving;
	bool restarted; /* more than one incarnation was seen */
	bool close_sent; /* CLOSE_AGENT of this incarnation was attempted */
	bool has_row;
	struct mlk_agent_row row;
	uint64_t known; /* partitions in which all ids that it ran are known */
	int64_t row_read_at; /* time of the last read of the row */
	int64_t record_seen; /* record_at of the saved record last read */
	uint64_t record_read; /* partitions for which its hashes became
				 claims */
	uint64_t fence_sent; /* partitions with FENCE sent on this link */
	uint64_t fence_partial; /* answered in part; last reply missing */
	uint64_t fenced; /* answered completely on this link */
	uint64_t rejected; /* answered: the agent saw a higher epoch */
	uint32_t first_task; /* handle; list of its tasks in flight */
	GArray *sent; /* struct mlk_claim: ids sent to it, oldest first */
	GArray *index; /* uint32_t id hashes from FENCE_REPLY, sorted */
	uint64_t index_mask; /* partitions that the index covers */
	uint64_t index_incarnation; /* sender of the last FENCE_REPLY */
	int64_t index_at; /* time of the last FENCE_REPLY */
	GArray *batch; /* struct mlk_start_task of the next START */
	uint32_t batch_bytes; /* of the payloads in it */
};

enum peer_state {
	PEER_CONNECTING, /* row or address known; -> UP, DEAD */
	PEER_UP, /* -> CONNECTING when its link closes */
	PEER_DEAD, /* -> UP on PEER_HELLO */
};

struct peer {
	char addr[MLK_ADDR_MAX];
	struct mlk_peer_info info; /* id empty until known */
	uint64_t row_version; /* 0: no row */
	enum peer_state state;
	struct entry_link *link;
	bool leaving;
	bool was_up;
	bool configured; /* address from the settings */
	uint32_t connect; /* id of the CONNECT in progress; 0: none */
	int64_t connect_at; /* time of the last CONNECT */
	int64_t since; /* start of the state */
	uint64_t ownership_version;
	GQueue forwards; /* struct request: waiting for its reply */
};

struct partition {
	bool mine; /* owned by this process */
	uint32_t epoch; /* at which this process owns it */
	int64_t since; /* time of the takeover */
	int64_t lost_at; /* when another entry took it over; 0: never */
	int64_t orphan_since; /* start of the time without a live owner; 0: has
				 one */
	uint64_t claims_version; /* row version of claims/<p> */
	uint32_t claims_saved; /* claims in that row */
	GHashTable *claims; /* struct mlk_key -> saved_at (time_t) */
};

enum request_state {
	REQ_PARKED, /* -> FORWARDED, JOINED, or answered unknown */
	REQ_FORWARDED, /* -> answered, or PARKED when the owner is lost */
	REQ_JOINED, /* -> answered, or PARKED when the owner changes */
};

enum request_kind { REQ_SUBMIT, REQ_LOOKUP, REQ_CANCEL };

struct request {
	uint64_t id;
	enum request_state state;
	enum request_kind kind;
	bool wait;
	bool from_peer;
	uint64_t origin; /* HTTP request, or request id of the peer */
	uint32_t link; /* on which a peer sent it, or it was forwarded */
	struct mlk_key key;
	struct mlk_job_spec spec; /* body, or only the id; empty when joined */
	int64_t since; /* start of the wait for an owner */
	int64_t retry_at; /* earliest next FORWARD */
	uint32_t open_epoch; /* its owner gave up the job before the end; 0:
				none */
	struct job *job;
	struct peer *peer;
	GQueue *queue; /* that holds `node`, or NULL */
	GList node;
};

/*
 * In JOB_CONFIRMING, an answer that reports work as not run is held back until
 * a read of the table, or an agent, shows that no other owner can have run it.
 */
enum job_state {
	JOB_HELD, /* until the ids that agents ran in its partition are known;
		     -> QUERYING, RUNNING, CONFIRMING, or dropped as unknown */
	JOB_QUERYING, /* waits for agents' records of it; -> RUNNING,
			 CONFIRMING, or dropped as unknown */
	JOB_RUNNING, /* -> ENDED, CONFIRMING */
	JOB_CONFIRMING, /* -> ENDED, or dropped when refused or unknown */
	JOB_ENDED, /* kept for the retention period; -> CONFIRMING */
};

/* Small, since it exists for each task of a retained job. */
struct job_task {
	enum mlk_task_status status : 8;
	uint8_t tries; /* dispatches so far */
	bool is_long;
	bool in_doubt; /* START may be lost; the agent's record decides */
	uint32_t handle; /* ENTRY_NO_HANDLE: neither queued nor in flight */
	uint32_t agent; /* handle of the last agent that it was sent to */
	uint32_t run_ms;
	struct mlk_blob payload;
};

struct job {
	struct mlk_key key;
	enum job_state state;
	struct mlk_job_spec *spec; /* NULL once the job has ended */
	struct mlk_key digest; /* of the body */
	uint32_t ntasks;
	struct job_task *tasks;
	uint32_t open; /* tasks without a final status */
	uint32_t result_bytes; /* in the payloads of tasks */
	bool cancelled;
	bool claimed; /* a lost agent may have run some of it */
	bool was_open; /* the previous owner gave it up before its end */
	bool startable; /* tasks that no agent has on record may be started */
	uint64_t confirm_after; /* CONFIRMING: a poll with a higher op id
				   confirms it */
	uint32_t confirm_agent; /* CONFIRMING: agent that was queried, or
				   ENTRY_NO_HANDLE */
	int64_t asked_at; /* time of that query */
	int64_t held_since; /* start of the wait for recovery */
	int64_t deadline; /* monotonic ns; 0: none */
	int64_t requery_at; /* next query; 0: no recovered task is running */
	int64_t ended_at; /* 0: has not ended; stays set in a new
			     confirmation */
	uint32_t retry_after_ms;
	enum mlk_outcome outcome;
	char *reason; /* NULL: none */
	GArray *queried; /* uint32_t handles of agents whose reply is missing;
			    NULL once the job has ended */
	GQueue waiters; /* struct request */
	GQueue *queue; /* that holds `node`, or NULL */
	GList node;
};

/* A task that is queued, in flight, or waits for retry budget. */
struct task_slot {
	struct job *job; /* NULL: free */
	uint32_t index;
	uint32_t agent; /* ENTRY_NO_HANDLE: not at an agent */
	uint32_t prev; /* in the agent's list */
	uint32_t next; /* in the agent's list, or the free list */
};

enum confirm_state {
	CONFIRM_CHECKING, /* reads the audit trail; -> WRITING, WAITING or
			     answered */
	CONFIRM_WRITING, /* -> answered, or WAITING if the result is unclear */
	CONFIRM_WAITING, /* for a retry; -> CHECKING, or answered */
};

/* A configuration change that an operator confirmed. */
struct confirm {
	uint64_t request;
	uint64_t op; /* AUDIT or CONFIRM in progress; 0: none */
	enum confirm_state state;
	int64_t since;
	int64_t retry_at;
	struct mlk_admin_request admin;
};

/* A request that is answered once the version is above base_version. */
struct watcher {
	uint64_t request;
	uint64_t base_version;
};

struct mlk_entry {
	struct mlk_entry_options opt;
	struct mlk_sched *sched;
	struct mlk_entry_counters counters;
	enum entry_phase phase;
	int64_t phase_since;
	int64_t stop_since; /* start of the planned stop */

	/* Set for the event that is being applied. */
	int64_t now;
	int64_t wall;
	struct mlk_effects *out; /* NULL between events */
	bool nomem; /* an effect was lost for lack of memory */

	/* Links, agents and peers. */
	GHashTable *links; /* link -> struct entry_link */
	GPtrArray *agents; /* by handle */
	GHashTable *agent_by_id;
	uint32_t agents_linked;
	uint32_t live_entries; /* last reported to the scheduler; 0: never */
	GPtrArray *peers;
	uint32_t last_connect; /* id of the last CONNECT */
	int64_t service_at; /* next run of the *_service() functions */

	/* Store.  Ids of operations in progress are 0 when there is none. */
	uint64_t last_op; /* id of the last operation */
	uint64_t poll_op;
	int64_t poll_sent;
	bool poll_wanted; /* poll before the next regular poll is due */
	bool poll_whole; /* the next poll is unconditional */
	bool store_up; /* the last poll succeeded */
	bool store_seen; /* a poll has succeeded */
	bool peer_seen; /* a peer has sent PEER_HELLO */
	uint64_t register_op;
	uint64_t remove_op;
	bool removing_own; /* remove_op removes this entry's own row */
	bool own_removed; /* own row removed; exits after the last request */
	struct mlk_entry_row own_row; /* row_version 0: not registered */
	uint64_t ownership_op;
	struct mlk_ownership planned; /* what ownership_op writes */
	uint64_t planned_take; /* mask: partitions that it takes over */
	uint64_t planned_give; /* mask: partitions that it hands over */
	bool agents_stale; /* the agent rows must be read again */
	int64_t refresh_at; /* earliest next read of the agent rows */
	uint64_t refresh_op; /* AGENTS */
	uint64_t record_op; /* READ_RECORD */
	uint32_t record_agent; /* handle */
	uint64_t record_mask; /* partitions that the record is read for */
	int64_t record_retry_at;
	uint64_t close_op; /* CLOSE_AGENT or REMOVE_AGENT */
	bool close_removes; /* close_op is REMOVE_AGENT */
	uint32_t close_agent; /* handle */
	uint64_t close_version; /* row_version of the agent before the write */
	uint64_t close_claims; /* partitions whose claims it writes */
	uint64_t close_complete; /* bits that it sets in `complete` */
	uint64_t close_closed; /* bits that it sets in `closed` */
	int64_t close_retry_at;
	int64_t exit_retry_at; /* next attempt to remove the own row */

	/* Ownership. */
	bool has_ownership;
	struct mlk_ownership ownership;
	struct partition part[MLK_PARTITIONS];
	uint64_t owned; /* mask */
	uint64_t accounted; /* mask: owned, and set in `known` of every agent */
	bool ownership_unverified; /* after a pause of the process, until the
				      ownership row is read again */
	uint64_t
	    unverified_after_op; /* cleared by a poll with a higher op id */
	uint64_t issued; /* last number used for an id */
	uint32_t issue_partition; /* partition of the last issued id */
	bool accounts_dirty; /* `accounted` must be computed again */
	uint64_t *index_filter; /* bitmap over the id hashes of all agents */
	int64_t index_until; /* expiry of index_filter */
	GHashTable *lost_hashes; /* claimed hash -> saved_at (time_t) */
	int64_t expire_at; /* next removal of expired claims */
	int64_t trim_at; /* next check for claims rows that can be emptied */

	/* Jobs and requests. */
	GHashTable *requests; /* id -> struct request */
	GHashTable *requests_http; /* HTTP request -> struct request */
	uint64_t last_request; /* id of the last request */
	GQueue parked; /* struct request */
	int64_t parked_at; /* next check of the parked requests */
	GHashTable *jobs; /* struct mlk_key -> struct job */
	GQueue held; /* jobs in JOB_HELD */
	GQueue recovering; /* QUERYING, or RUNNING with recovered tasks */
	GQueue confirming; /* jobs in JOB_CONFIRMING */
	GQueue ended; /* jobs in JOB_ENDED, oldest first */
	uint32_t jobs_running;
	GHashTable *evicted; /* keys of jobs that were evicted */
	GQueue evicted_order; /* struct evicted, oldest first */
	GArray *slots; /* struct task_slot, by task handle */
	uint32_t free_slot; /* head of the free list */
	uint32_t in_flight; /* tasks at agents */
	GArray *delayed; /* task handles waiting for retry budget */
	int64_t retry_budget; /* thousandths of a retry */
	int64_t retry_filled; /* time of the last refill */
	GArray *batched; /* uint32_t handles of agents with a batch */
	bool need_check; /* NEED may have to be sent after this event */

	/* Configuration. */
	struct mlk_config config;
	bool config_propagating; /* some links may not have this version yet */
	uint64_t config_row_version;
	bool has_config_row;
	int64_t configured_wall; /* last check for expired intents */
	GPtrArray *confirms;
	GArray *watchers;
	GHashTable *audits; /* op id -> HTTP request */
};

/* A job that was evicted: only its key is kept. */
struct evicted {
	struct mlk_key key;
	int64_t at; /* end of the job */
};

/* entry_send.c: effects. */
void entry_log(struct mlk_entry *e, enum mlk_log_level level, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));
void entry_log_agent(struct mlk_entry *e, enum mlk_log_level level,
    const struct agent *a, const char *text);
struct mlk_msg *entry_send(
    struct mlk_entry *e, struct entry_link *l, enum mlk_msg_type type);
struct mlk_store_op *entry_store(
    struct mlk_entry *e, enum mlk_store_op_type type, uint64_t *id);
void entry_close_link(struct mlk_entry *e, uint32_t link);
void entry_reply_error(struct mlk_entry *e, uint64_t request, int code,
    uint32_t retry_after_ms, const char *text);
void *entry_copy(struct mlk_entry *e, const void *src, size_t size);
guint entry_key_hash(gconstpointer p);
gboolean entry_key_equal(gconstpointer a, gconstpointer b);
int64_t entry_ms_to_ns(uint32_t ms);
bool entry_retained(const struct mlk_entry *e, int64_t at);

/* entry_members.c: links, agents, peers. */
void members_add_configured(
    struct mlk_entry *e, const struct mlk_entry_options *options);
void members_link_up(struct mlk_entry *e, uint32_t link, uint32_t connect);
void members_link_down(struct mlk_entry *e, uint32_t link, uint32_t connect);
void members_hello(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg);
void members_peer_hello(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg);
void members_peers(struct mlk_entry *e, const struct mlk_msg *msg);
void members_leave(struct mlk_entry *e, struct entry_link *l);
void members_apply_rows(struct mlk_entry *e, const struct mlk_store_view *view);
void members_tick(struct mlk_entry *e);
void members_service(struct mlk_entry *e);
void members_announce_leave(struct mlk_entry *e);
void members_announce_ownership(struct mlk_entry *e);
struct agent *members_agent(struct mlk_entry *e, uint32_t handle);
struct agent *members_agent_get(struct mlk_entry *e, const char *id);
struct peer *members_peer_by_id(struct mlk_entry *e, const char *id);
bool members_peer_live(const struct peer *p);
uint32_t members_live_peers(const struct mlk_entry *e);
uint32_t members_linked_peers(const struct mlk_entry *e);
struct entry_link *members_link(struct mlk_entry *e, uint32_t link);
bool members_responsible_for(struct mlk_entry *e, const char *id);
uint64_t members_weight(const char *member, const char *subject);
void members_free(struct mlk_entry *e);

/* entry_ownership.c: partition map, polls, takeover. */
bool ownership_store_reply(struct mlk_entry *e, const struct mlk_event *ev);
void ownership_apply_view(
    struct mlk_entry *e, const struct mlk_store_view *view);
void ownership_poll(struct mlk_entry *e);
void ownership_plan(struct mlk_entry *e);
void ownership_tick(struct mlk_entry *e);
void ownership_after_pause(struct mlk_entry *e);
bool ownership_ready(const struct mlk_entry *e);

/*
 * entry_accounts.c: fencing, ids that each agent ran, claims, closing of
 * incarnations.
 */
void accounts_fence(struct mlk_entry *e, struct agent *a);
void accounts_fence_reply(
    struct mlk_entry *e, struct agent *a, const struct mlk_msg *msg);
void accounts_partitions_taken(
    struct mlk_entry *e, const struct mlk_store_view *view, uint64_t taken);
void accounts_apply_rows(
    struct mlk_entry *e, const struct mlk_store_view *view);
void accounts_partitions_dropped(struct mlk_entry *e, uint64_t partitions);
void accounts_agent_lost(struct mlk_entry *e, struct agent *a);
void accounts_update(struct mlk_entry *e);
void accounts_update_enabled(struct mlk_entry *e, struct agent *a);
void accounts_record_sent(
    struct mlk_entry *e, struct agent *a, struct mlk_key key);
void accounts_claim_hash(struct mlk_entry *e, uint32_t hash, int64_t saved_at);
void accounts_mark_known(struct mlk_entry *e, struct agent *a);
bool accounts_claimed(const struct mlk_entry *e, struct mlk_key key);
void accounts_index_lookup(
    struct mlk_entry *e, struct mlk_key key, GArray *agents);
void accounts_service(struct mlk_entry *e);
void accounts_close_reply(struct mlk_entry *e, const struct mlk_event *ev);
bool accounts_saved(const struct mlk_entry *e, uint32_t p);
bool accounts_must_reregister(const struct mlk_entry *e, const struct agent *a);
bool accounts_reregister(struct mlk_entry *e, struct agent *a);

/* entry_jobs.c: job table, tasks, results. */
struct job *jobs_find(struct mlk_entry *e, struct mlk_key key);
bool jobs_evicted(struct mlk_entry *e, struct mlk_key key);
struct job *jobs_create(struct mlk_entry *e, struct request *r);
void jobs_queue(struct job *j, GQueue *queue);
void jobs_begin(struct mlk_entry *e, struct job *j, bool rebuilt);
void jobs_cancel(struct mlk_entry *e, struct job *j);
void jobs_unknown(struct mlk_entry *e, struct job *j, const char *reason);
void jobs_drop(struct mlk_entry *e, struct job *j);
void jobs_drop_partitions(struct mlk_entry *e, uint64_t partitions);
void jobs_end_task(struct mlk_entry *e, struct job *j, uint32_t index,
    enum mlk_task_status status, uint32_t run_ms,
    const struct mlk_blob *payload);
void jobs_check_end(struct mlk_entry *e, struct job *j);
void job_set_reason(struct job *j, const char *reason);
void jobs_track(
    struct mlk_entry *e, struct job *j, uint32_t index, struct agent *a);
void jobs_results(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg);
void jobs_query_in_doubt(struct mlk_entry *e, struct agent *a);
void jobs_resolve_in_doubt(
    struct mlk_entry *e, struct job *j, struct agent *a, bool same_incarnation);
void jobs_agent_lost(struct mlk_entry *e, struct agent *a);
void jobs_tick(struct mlk_entry *e);
void jobs_free(struct mlk_entry *e);
void job_answer(
    struct mlk_entry *e, const struct job *j, struct mlk_job_answer *out);

void jobs_finish(struct mlk_entry *e, struct job *j);
void jobs_count_outcome(struct mlk_entry *e, enum mlk_outcome outcome);
void jobs_answer_waiters(struct mlk_entry *e, struct job *j);
void jobs_answer_unknown(
    struct mlk_entry *e, struct job *j, const char *reason);

/* entry_confirm.c: confirmation of answers that report work as not run. */
bool job_untouched(const struct job *j);
void jobs_refuse(struct mlk_entry *e, struct job *j, uint32_t retry_after_ms,
    const char *reason);
void jobs_confirm_poll_done(
    struct mlk_entry *e, uint64_t poll, enum mlk_store_status status);
void jobs_confirm_start(struct mlk_entry *e, struct job *j);
bool jobs_confirm_again(struct mlk_entry *e, struct job *j);
void jobs_confirm_reply(struct mlk_entry *e, struct job *j,
    const struct agent *a, const struct mlk_msg *msg);

/* entry_dispatch.c: scheduler, START, retry budget, credits. */
uint32_t dispatch_slot_new(struct mlk_entry *e, struct job *j, uint32_t index);
void dispatch_slot_free(struct mlk_entry *e, uint32_t handle);
void dispatch_slot_attach(
    struct mlk_entry *e, uint32_t handle, struct agent *a);
struct task_slot *dispatch_slot(struct mlk_entry *e, uint32_t handle);
void dispatch_enqueue(
    struct mlk_entry *e, struct job *j, uint32_t index, bool retry);
void dispatch_release(struct mlk_entry *e, struct job *j, uint32_t index,
    enum mlk_task_status status, uint32_t run_ms);
void dispatch_retry(struct mlk_entry *e, struct job *j, uint32_t index);
void dispatch_tick(struct mlk_entry *e);
void dispatch_run(struct mlk_entry *e);
void dispatch_reclaim(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg);

/* entry_records.c: records that agents saved at a planned stop. */
uint64_t records_unread(const struct mlk_entry *e, const struct agent *a);
void records_service(struct mlk_entry *e);
bool records_store_reply(struct mlk_entry *e, const struct mlk_event *ev);

/* entry_recover.c: rebuilding jobs from agents' records. */
void recover_job(struct mlk_entry *e, struct job *j);
void recover_held(struct mlk_entry *e);
void recover_reply(
    struct mlk_entry *e, struct agent *a, const struct mlk_msg *msg);
void recover_agent_lost(struct mlk_entry *e, struct agent *a);
void recover_agent_up(struct mlk_entry *e, struct agent *a);
void recover_service(struct mlk_entry *e);

/* entry_forward.c: routing of requests to the owner of their id. */
void forward_submit(struct mlk_entry *e, uint64_t http, bool wait,
    const struct mlk_job_spec *spec);
void forward_lookup(struct mlk_entry *e, uint64_t http, bool wait,
    const char *id, enum request_kind kind);
void forward_request_closed(struct mlk_entry *e, uint64_t http);
void forward_from_peer(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg);
void forward_reply(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg);
void forward_cancel_from_peer(struct mlk_entry *e, struct mlk_key key);
void forward_peer_lost(struct mlk_entry *e, struct peer *p);
void forward_link_lost(struct mlk_entry *e, uint32_t link);
void forward_park(struct mlk_entry *e, struct request *r);
void forward_answer(struct mlk_entry *e, struct request *r,
    const struct mlk_job_answer *answer, bool pending);
void forward_error(
    struct mlk_entry *e, struct request *r, int code, const char *text);
void forward_route_parked(struct mlk_entry *e);
void forward_tick(struct mlk_entry *e);
void forward_stop_timeout(struct mlk_entry *e);
void forward_issue(struct mlk_entry *e, uint64_t http, uint32_t count);
bool forward_is_issued(const struct mlk_entry *e, const char *id);
bool forward_issued_later(
    const struct mlk_entry *e, uint32_t partition, const char *id);
void forward_free(struct mlk_entry *e);

/* entry_config.c: configuration, plans, requests of operators. */
void config_apply(struct mlk_entry *e, const struct mlk_config *config);
void config_apply_view(struct mlk_entry *e, const struct mlk_store_view *view);
void config_propagate(struct mlk_entry *e);
void config_compare(
    struct mlk_entry *e, struct entry_link *l, uint64_t version);
void config_admin(struct mlk_entry *e, uint64_t request,
    const struct mlk_admin_request *admin);
void config_request_closed(struct mlk_entry *e, uint64_t request);
bool config_store_reply(struct mlk_entry *e, const struct mlk_event *ev);
void config_service(struct mlk_entry *e);
bool config_busy(const struct mlk_entry *e);
void config_free(struct mlk_entry *e);

#endif
