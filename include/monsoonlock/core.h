/*
 * Core library: the reducers of the entry and of the agent, the configuration
 * document, and the types of their events, effects and messages.
 *
 * A reducer takes one event at a time and appends effects to a list; it reads
 * no clock, opens no socket and starts no thread.  `now` in an event is
 * monotonic, in nanoseconds; `wall` is time_t seconds.  Events are borrowed:
 * the reducer copies what it keeps, except where a field is documented as
 * moved.  Effects own their memory until mlk_effects_clear().
 */
#ifndef MONSOONLOCK_CORE_H
#define MONSOONLOCK_CORE_H

#include <monsoonlock/base.h>

#define MLK_NAME_MAX 64 /* process id, team or kind, including NUL */
#define MLK_ID_MAX 128 /* submission id, including NUL */
#define MLK_ADDR_MAX 64 /* "ip:port", including NUL */
#define MLK_TASKS_MAX 750 /* tasks in a job */
#define MLK_PAYLOAD_MAX 65536 /* bytes in a task payload or result */
/*
 * Limit in bytes on all payloads of a job, and also on all its results.  Half
 * of MLK_RECORD_MAX, so that a job fits one message.
 */
#define MLK_JOB_BYTES_MAX (8 * 1024 * 1024)

/* ---- jobs ------------------------------------------------------------ */

enum mlk_outcome {
	MLK_OUTCOME_PENDING = 0,
	MLK_OUTCOME_COMPLETE, /* every task done */
	MLK_OUTCOME_FAILED, /* ended; each task has a definite status */
	MLK_OUTCOME_REFUSED, /* no task of the job ran */
	MLK_OUTCOME_UNKNOWN, /* some tasks may have run */
};

enum mlk_task_status {
	MLK_TASK_QUEUED = 0, /* not sent to any agent */
	MLK_TASK_SENT, /* START sent, no result yet */
	MLK_TASK_RUNNING, /* listed in an agent's record, no result yet */
	MLK_TASK_DONE, /* succeeded, result received */
	MLK_TASK_FAILED, /* ran and failed, or can never run */
	MLK_TASK_NOT_RUN, /* has not started and never will */
	MLK_TASK_UNKNOWN, /* may have run; its agent is lost */
};

struct mlk_task_spec {
	char kind[MLK_NAME_MAX];
	struct mlk_blob payload;
	bool repeatable;
	uint32_t declared_ms; /* expected run time; 0: not declared */
};

struct mlk_job_spec {
	char id[MLK_ID_MAX];
	char team[MLK_NAME_MAX];
	struct mlk_key digest; /* of canonical body; detects id reuse */
	uint32_t deadline_ms; /* from arrival; 0: none */
	uint32_t ntasks;
	struct mlk_task_spec *tasks;
};

struct mlk_task_result {
	enum mlk_task_status status;
	char worker[MLK_NAME_MAX];
	uint32_t run_ms;
	struct mlk_blob payload; /* result, or error text */
};

struct mlk_job_answer {
	struct mlk_key key;
	enum mlk_outcome outcome;
	uint32_t retry_after_ms; /* refused only */
	char reason[128];
	uint32_t ntasks; /* 0 when refused or when nothing is known */
	struct mlk_task_result *tasks;
};

void mlk_job_spec_clear(struct mlk_job_spec *spec);
int mlk_job_spec_copy(struct mlk_job_spec *dst, const struct mlk_job_spec *src);
void mlk_job_answer_clear(struct mlk_job_answer *answer);
int mlk_job_answer_copy(
    struct mlk_job_answer *dst, const struct mlk_job_answer *src);
const char *mlk_outcome_name(enum mlk_outcome outcome);
const char *mlk_task_status_name(enum mlk_task_status status);

/* ---- configuration document ------------------------------------------ */

enum mlk_intent_type {
	MLK_INTENT_TEAM_QUOTA = 0, /* subject team; value permille of slots */
	MLK_INTENT_TEAM_WEIGHT, /* subject team; value weight, 100 default */
	MLK_INTENT_KIND_URGENCY, /* subject kind; 0 background .. 2 urgent */
	MLK_INTENT_DRAIN_WORKER, /* subject worker */
	MLK_INTENT_DRAIN_DC, /* subject data centre */
	MLK_INTENT_AVOID_WORKER, /* subject worker; chosen last */
	MLK_INTENT_PREFER_DC, /* subject team, target data centre */
	MLK_INTENT_LONG_CAP, /* value permille of slots for long work */
};

struct mlk_intent {
	char id[MLK_NAME_MAX];
	enum mlk_intent_type type;
	char subject[MLK_NAME_MAX];
	char target[MLK_NAME_MAX];
	int32_t value;
	char author[MLK_NAME_MAX];
	char reason[128];
	int64_t created; /* time_t */
	int64_t expires; /* time_t; 0: never */
	char displaced[MLK_NAME_MAX]; /* id of the replaced intent */
};

/* The complete configuration.  Version 0 is empty, before the first confirm. */
struct mlk_config {
	uint64_t version;
	struct mlk_key digest; /* of the plan that made this version */
	uint32_t nintents;
	struct mlk_intent *intents;
};

void mlk_config_clear(struct mlk_config *config);
int mlk_config_copy(struct mlk_config *dst, const struct mlk_config *src);
const struct mlk_intent *mlk_config_find(const struct mlk_config *config,
    enum mlk_intent_type type, const char *subject, int64_t wall);

const char *mlk_intent_type_name(enum mlk_intent_type type);
bool mlk_intent_type_parse(const char *text, enum mlk_intent_type *out);

/* One operator's change: set an intent, or remove one by id. */
struct mlk_change {
	bool remove;
	struct mlk_intent intent; /* remove: only id and author are read */
};

struct mlk_plan {
	struct mlk_key digest; /* over base version and change */
	uint64_t base_version;
	struct mlk_change change;
	struct mlk_config result; /* version base_version + 1 */
	uint32_t neffects; /* one-line descriptions of what changes */
	char (*effects)[192];
};

int mlk_plan_create(const struct mlk_config *base,
    const struct mlk_change *change, int64_t wall, struct mlk_plan **out,
    struct mlk_error *err);
void mlk_plan_destroy(struct mlk_plan *plan);
void mlk_plan_add_line(struct mlk_plan *plan, const char *fmt, ...)
    __attribute__((format(printf, 2, 3))); /* once per plan outside plan.c */

/* ---- runs on workers with resource limits ------------------------------ */

#define MLK_SPEC_MAX 8192 /* bytes of a job's spec text */
#define MLK_STEPS_MAX 64 /* steps in an ephemeral job */
#define MLK_HOST_MAX 256 /* host name or path prefix, including NUL */
#define MLK_LABELS_MAX 128 /* labels of a worker, including NUL */
#define MLK_EVACUATIONS_MAX 256
#define MLK_DEMAND_MAX 32 /* routes in one report */
#define MLK_CORUN_MAX 64 /* pairs in one report */
#define MLK_VERDICTS_MAX 64
#define MLK_ROUTES_MAX 16384 /* routes in a routing table */

/* Resources that a task needs, or that a worker has or has free. */
struct mlk_resources {
	uint32_t cpu; /* thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpu;
};

enum mlk_worker_state {
	MLK_WORKER_READY = 0,
	MLK_WORKER_DRAINING, /* shutting down; starts no new runs */
	MLK_WORKER_SICK, /* responds, but runs stall, progress slowly or fail */
	MLK_WORKER_UNAVAILABLE, /* unknown, unreachable, or may still execute
				   runs of another agent */
	MLK_WORKER_DEGRADED, /* many requests to start a run time out */
	MLK_WORKER_COLD, /* has started recently; its runs may be slow */
};

struct mlk_worker_info {
	char id[MLK_NAME_MAX];
	uint64_t boot; /* worker incarnation, rises at a restart; 0: none */
	char pool[MLK_NAME_MAX];
	char labels[MLK_LABELS_MAX]; /* separated by spaces */
	enum mlk_worker_state state;
	struct mlk_resources capacity;
	uint32_t speed; /* in thousandths of the usual speed; 0: unknown */
};

struct mlk_worker_load {
	struct mlk_resources free; /* excluding offered reservations */
	uint32_t running;
};

/*
 * Backlog of an entry in a pool: queued tasks that it has no free capacity
 * for, and the needs of the most urgent one.
 */
struct mlk_want {
	uint32_t tasks; /* 0: no backlog */
	uint32_t urgency_ms; /* lower is served first */
	struct mlk_resources resources; /* that the most urgent task needs */
};

/* A data centre whose workers get no new work. */
struct mlk_evacuation {
	char dc[MLK_NAME_MAX];
	uint64_t version; /* of the change that began it */
};

/* The set of evacuated data centres as of a version of the store. */
struct mlk_evacuations {
	uint64_t version; /* 0: nothing is known */
	uint32_t n;
	struct mlk_evacuation *items;
};

/* Demand for the workers of a pool by the jobs of one route at one entry. */
struct mlk_route_demand {
	char route[MLK_NAME_MAX];
	uint32_t offered; /* work that arrives, in thousandths of a core */
	uint32_t admitted; /* the admitted part of it */
	uint64_t
	    queued; /* work that waits, in thousandths of a core for 1 ms */
};

struct mlk_demand_report {
	uint64_t sent_at;
	char id[MLK_NAME_MAX]; /* of the entry */
	uint64_t incarnation;
	uint32_t n;
	struct mlk_route_demand *items;
};

/*
 * Progress of the tasks of a kind beside another kind on one worker, relative
 * to that without it.  A row with `other` 0 tells instead whether runs of the
 * kind are at the worker (samples 1) or not (0).
 */
struct mlk_corun {
	uint32_t kind;
	uint32_t other;
	uint32_t samples; /* information about `mean`, thousandths */
	int32_t mean; /* log2(rate beside / rate without), thousandths */
	uint32_t variance; /* of a sample (log2), thousandths */
};

/* Tasks of `kind` are slowed down by tasks of `other` on the same worker. */
struct mlk_verdict {
	uint32_t kind;
	uint32_t other;
	uint32_t slowdown; /* of the run time, in thousandths */
	uint32_t bound; /* lower confidence bound of slowdown, thousandths */
	uint32_t samples;
};

/* How a run ended.  With any of these, the run is no longer executing. */
enum mlk_run_end {
	MLK_RUN_DONE = 0,
	MLK_RUN_FAILED, /* through its own or the worker's fault */
	MLK_RUN_BUSY, /* not run: resources not free */
	MLK_RUN_REFUSED, /* not run: no work accepted, too late, or duplicate */
	MLK_RUN_LOST, /* ended by lease expiry or loss of the worker */
	MLK_RUN_STOPPED, /* stopped on request */
	MLK_RUN_STALLED, /* stopped because its worker is unhealthy */
};

struct mlk_run_task {
	uint32_t index;
	struct mlk_resources resources;
};

struct mlk_run_result {
	uint64_t job; /* the entry's handle, from RUN */
	uint32_t step;
	uint32_t index;
	enum mlk_run_end end;
	uint32_t run_ms;
};

/* Maps callers' requests by host and path to a pool of workers. */
struct mlk_route {
	char name[MLK_NAME_MAX];
	char host[MLK_HOST_MAX];
	char prefix[MLK_HOST_MAX]; /* of the path */
	char pool[MLK_NAME_MAX];
	uint32_t timeout_ms;
	uint32_t target_ms; /* response-time target; `stretch` adds to it */
	uint32_t priority; /* 0 is the highest */
	uint32_t attempts; /* failures of a task after which its job fails */
	/*
	 * Added to target_ms, in thousandths of the run time of the longest
	 * chain of steps.
	 */
	uint32_t stretch;
};

struct mlk_pool {
	char name[MLK_NAME_MAX];
	char health_path[MLK_NAME_MAX];
	uint8_t
	    enforces_capacity; /* its workers refuse tasks that do not fit */
};

/* The routing table.  Versions increase; version 0 is empty. */
struct mlk_routing {
	uint64_t version;
	uint32_t nroutes;
	struct mlk_route *routes;
	uint32_t npools;
	struct mlk_pool *pools;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

void mlk_routing_clear(struct mlk_routing *routing);
int mlk_routing_copy(struct mlk_routing *dst, const struct mlk_routing *src);

/* ---- messages between processes --------------------------------------- */

struct mlk_demand {
	uint32_t queued_short;
	uint32_t queued_long;
	uint32_t short_load; /* permille of known_slots used by short work */
	uint32_t known_slots; /* of all usable agents */
	uint32_t long_cap; /* permille set by an intent; 0: adaptive */
};

struct mlk_credits {
	uint32_t any; /* may hold long or short work */
	uint32_t short_only;
};

struct mlk_start_task {
	struct mlk_key key;
	uint32_t index;
	uint32_t epoch; /* of the key's partition */
	uint8_t is_long; /* consumes an `any` credit */
	uint32_t timeout_ms; /* of the endpoint call; 0: none */
	char kind[MLK_NAME_MAX];
	struct mlk_blob payload;
};

struct mlk_result_item {
	struct mlk_key key;
	uint32_t index;
	uint32_t epoch; /* of the START that this answers */
	enum mlk_task_status status; /* DONE, FAILED, NOT_RUN, UNKNOWN */
	uint8_t retryable; /* NOT_RUN: may be sent to another agent */
	uint32_t run_ms;
	struct mlk_blob payload;
};

struct mlk_record_item {
	uint32_t index;
	enum mlk_task_status status; /* RUNNING, DONE, FAILED or UNKNOWN */
	uint32_t run_ms;
	struct mlk_blob payload; /* empty when has_result is 0 */
	uint8_t has_result; /* 0: ended, result no longer held */
};

struct mlk_peer_info {
	char id[MLK_NAME_MAX];
	uint64_t incarnation;
	char addr[MLK_ADDR_MAX]; /* RPC address */
	char dc[MLK_NAME_MAX];
};

struct mlk_epoch_item {
	uint32_t partition;
	uint32_t epoch;
};

enum mlk_msg_type {
	MLK_MSG_HELLO = 1,
	MLK_MSG_WELCOME,
	MLK_MSG_FENCE,
	MLK_MSG_FENCE_REPLY,
	MLK_MSG_START,
	MLK_MSG_RESULT,
	MLK_MSG_ACK,
	MLK_MSG_GRANT,
	MLK_MSG_NEED,
	MLK_MSG_RECLAIM,
	MLK_MSG_RETURN,
	MLK_MSG_QUERY,
	MLK_MSG_QUERY_REPLY,
	MLK_MSG_CANCEL,
	MLK_MSG_REREGISTER,
	MLK_MSG_CONFIG,
	MLK_MSG_HEARTBEAT,
	MLK_MSG_PEER_HELLO,
	MLK_MSG_FORWARD,
	MLK_MSG_FORWARD_REPLY,
	MLK_MSG_PEERS,
	MLK_MSG_LEAVE,
	MLK_MSG_ATTACH,
	MLK_MSG_WORKER,
	MLK_MSG_RUN,
	MLK_MSG_ENDS,
	MLK_MSG_DROP,
	MLK_MSG_PING,
	MLK_MSG_ROUTES,
	MLK_MSG_WANT,
	MLK_MSG_OFFER,
	MLK_MSG_EVACUATIONS,
	MLK_MSG_DEMAND,
	MLK_MSG_CORUN,
	MLK_MSG_VERDICTS,
	MLK_MSG_TYPES,
};

struct mlk_msg {
	enum mlk_msg_type type;
	union {
		struct { /* agent -> entry; first message of a link */
			char id[MLK_NAME_MAX];
			uint64_t incarnation;
			uint64_t first_incarnation; /* of the agent's process */
			char dc[MLK_NAME_MAX];
			uint32_t slots;
			uint64_t config_version;
		} hello;
		struct { /* entry -> agent; answers HELLO */
			struct mlk_peer_info self;
			uint64_t config_version;
		} welcome;
		struct { /* entry -> agent */
			uint64_t incarnation; /* the agent's */
			uint32_t n;
			struct mlk_epoch_item *items;
		} fence;
		struct { /* agent -> entry; sent in parts, of which the
			    final one has `last` set */
			uint64_t incarnation;
			uint64_t rejected; /* mask: higher epoch seen */
			uint64_t partitions; /* mask: covered by this reply */
			uint8_t last;
			uint32_t n;
			uint32_t *hashes; /* mlk_key_hash32 of each id */
		} fence_reply;
		struct { /* entry -> agent */
			uint64_t incarnation; /* the agent's */
			struct mlk_demand demand;
			uint32_t n;
			struct mlk_start_task *tasks;
		} start;
		struct { /* agent -> entry */
			uint64_t seq; /* of the last item; counted per link */
			struct mlk_credits grant;
			uint32_t n;
			struct mlk_result_item *items;
		} result;
		struct { /* entry -> agent */
			uint64_t seq;
		} ack;
		struct mlk_credits grant; /* agent -> entry */
		struct mlk_demand need; /* entry -> agent */
		struct mlk_credits reclaim; /* agent -> entry */
		struct mlk_credits returned; /* entry -> agent: RETURN */
		struct { /* entry -> agent */
			struct mlk_key key;
		} query;
		struct { /* agent -> entry */
			struct mlk_key key;
			uint64_t incarnation; /* the agent's */
			uint32_t epoch; /* highest seen in its partition */
			uint32_t n;
			struct mlk_record_item *items;
		} query_reply;
		struct { /* entry -> agent, entry -> entry */
			struct mlk_key key;
		} cancel;
		struct { /* entry -> agent */
			uint64_t incarnation; /* that was closed */
		} reregister;
		struct mlk_config config;
		struct {
			uint64_t config_version;
			uint64_t ownership_version;
		} heartbeat;
		struct { /* entry -> entry; first message, both ways */
			struct mlk_peer_info self;
			uint64_t config_version;
			uint64_t ownership_version;
		} peer_hello;
		struct { /* entry -> entry */
			uint64_t request; /* sender's id, echoed in reply */
			uint8_t wait; /* 0: answer with the current state */
			uint8_t lookup; /* no body: do not create a job */
			/*
			 * Epoch of an owner that gave up the job before its end
			 * and will never report that end; 0: none.
			 */
			uint32_t open_epoch;
			struct mlk_job_spec spec;
		} forward;
		struct {
			uint64_t request;
			uint32_t epoch; /* of the sender as owner; 0: none */
			uint8_t open; /* sender gave up the job before its
					 end */
			enum mlk_err_code code; /* CONFLICT, NOT_FOUND ... */
			struct mlk_job_answer answer;
		} forward_reply;
		struct { /* entry -> agent, entry -> entry */
			uint32_t n;
			struct mlk_peer_info *peers;
		} peers;
		/*
		 * In the messages below, sent_at is the sender's clock in
		 * ms, which includes the time that the host is suspended.
		 */
		struct { /* agent -> entry; first message of a link; when
			    it is sent, the worker executes no run for this
			    entry */
			char id[MLK_NAME_MAX];
			uint64_t incarnation;
			char dc[MLK_NAME_MAX];
		} attach;
		struct { /* agent -> entry; at least once per
			    heartbeat interval */
			uint64_t sent_at;
			uint64_t seen; /* seq of the last RUN that is
					  included in load */
			uint64_t routing_version;
			struct mlk_worker_info info;
			struct mlk_worker_load load;
		} worker;
		struct { /* entry -> agent: tasks of one step of a job */
			uint64_t sent_at;
			uint64_t seq; /* rises by 1 per RUN on a link */
			uint64_t job; /* echoed in ENDS */
			char id[MLK_ID_MAX]; /* of the job */
			uint32_t step;
			uint32_t deadline_ms; /* runs are stopped this long
						 after receipt */
			uint64_t offer; /* id of the OFFER that this uses; 0:
					   none */
			struct mlk_want want; /* backlog that remains after this
						 message */
			uint32_t expected_ms; /* run time; 0: unknown */
			uint32_t kind; /* of the tasks; 0: interference is not
					  measured */
			uint8_t movable; /* may be ended as STALLED */
			struct mlk_blob spec;
			uint32_t n;
			struct mlk_run_task *tasks;
		} run;
		struct { /* agent -> entry */
			uint64_t sent_at;
			uint64_t seen;
			struct mlk_worker_load load;
			uint32_t n;
			struct mlk_run_result *items;
		} ends;
		struct { /* entry -> agent */
			uint64_t sent_at;
			uint64_t offer; /* id of the OFFER that is declined; 0:
					   none */
			struct mlk_want want;
		} want;
		struct { /* agent -> entry: short-term reservation */
			uint64_t sent_at;
			uint64_t offer;
			struct mlk_resources resources;
		} offer;
		struct { /* entry -> agent: stop every run of the job */
			uint64_t sent_at;
			uint64_t job;
		} drop;
		struct { /* entry -> agent, entry -> entry */
			uint64_t sent_at;
			uint64_t echo; /* last sent_at received; 0: none */
			uint64_t routing_version;
			uint64_t evacuations; /* version that the sender
						 holds */
		} ping;
		struct mlk_routing routes; /* any -> any: ROUTES */
		struct mlk_evacuations evacuations; /* any -> any; an agent
						       confirms a version
						       with an empty list */
		struct mlk_demand_report demand; /* entry -> entry */
		struct { /* agent -> entry */
			uint64_t sent_at;
			uint32_t n;
			struct mlk_corun *items;
		} corun;
		struct { /* entry -> agent, entry */
			uint64_t sent_at;
			uint32_t n;
			struct mlk_verdict *items;
		} verdicts;
	} u;
};

void mlk_msg_clear(struct mlk_msg *msg);
const char *mlk_msg_name(enum mlk_msg_type type);

/* ---- table service ---------------------------------------------------- */

struct mlk_ownership {
	uint64_t row_version; /* 0: no row yet */
	struct {
		uint32_t epoch;
		char owner[MLK_NAME_MAX]; /* entry id; empty: none */
		uint64_t incarnation; /* of the owner's process */
	} part[MLK_PARTITIONS];
};

struct mlk_agent_row {
	uint64_t row_version;
	char id[MLK_NAME_MAX];
	uint64_t incarnation;
	char dc[MLK_NAME_MAX];
	uint32_t slots;
	uint64_t complete; /* partition mask: every start under this id is in
			      its record, the saved record or the claims */
	uint64_t closed; /* partition mask: the incarnation gets no more tasks
			    there */
	int64_t closed_at; /* time_t of the first closed bit; 0: none */
	int64_t record_at; /* time_t of the newest saved record; 0: none */
};

struct mlk_entry_row {
	uint64_t row_version;
	struct mlk_peer_info info;
};

/*
 * An id with tasks that were sent to a lost agent incarnation.  Whether these
 * tasks ran is unknown.
 */
struct mlk_claim {
	struct mlk_key key;
	int64_t saved_at; /* time_t; expires retention_s later */
};

struct mlk_claims_row {
	uint64_t row_version;
	uint32_t partition;
	uint32_t n;
	struct mlk_claim *claims;
};

/*
 * Hash of an id in the record that an agent saved at its planned stop (graceful
 * shutdown).
 */
struct mlk_saved_hash {
	uint32_t hash; /* mlk_key_hash32 of the id */
	int64_t saved_at; /* time_t; expires retention_s later */
};

struct mlk_record_row {
	char id[MLK_NAME_MAX]; /* of the agent */
	uint32_t n;
	struct mlk_saved_hash *hashes;
};

struct mlk_audit_record {
	uint64_t version; /* of the configuration that it made */
	struct mlk_key digest; /* of the confirmed plan */
	int64_t at; /* time_t */
	char author[MLK_NAME_MAX];
	struct mlk_change change;
	char summary[192];
};

enum mlk_store_op_type {
	MLK_STORE_POLL, /* reads ownership, config, entries; with
			   `expect_unchanged` only the entries */
	MLK_STORE_REGISTER_ENTRY, /* writes entry row; reads the same as POLL */
	MLK_STORE_REMOVE_ENTRY, /* deletes entry/<subject> */
	MLK_STORE_REGISTER_AGENT, /* writes agent row (docs/design.md, section
				     4, rules 6 and 7); reads everything but
				     claims and other agents' records */
	MLK_STORE_TAKEOVER, /* writes ownership; reads everything */
	MLK_STORE_CLOSE_AGENT, /* writes agent row and claims rows */
	MLK_STORE_REMOVE_AGENT, /* deletes agent/<subject> if unchanged, and
				   record/<subject> */
	MLK_STORE_LEAVE_AGENT, /* writes agent row and record/<subject> */
	MLK_STORE_READ_RECORD, /* reads agent/<subject>, record/<subject> */
	MLK_STORE_AGENTS, /* reads the same as POLL, and the agent rows */
	MLK_STORE_CONFIRM, /* writes config and audit/<version> */
	MLK_STORE_AUDIT, /* reads the audit rows */
};

/*
 * One transaction.  Its conditions are the row_version of each row that it
 * writes, and for CLOSE_AGENT also that of the ownership row.
 */
struct mlk_store_op {
	enum mlk_store_op_type type;
	uint64_t id; /* echoed in the reply */
	char subject[MLK_NAME_MAX];
	struct mlk_ownership *ownership; /* TAKEOVER, CLOSE_AGENT */
	struct mlk_entry_row entry;
	struct mlk_agent_row agent;
	bool has_record; /* REGISTER_AGENT: the record is complete */
	bool expect_unchanged; /* POLL: require known_ownership and
			   config_row_version; CONFLICT otherwise */
	uint64_t known_ownership;
	uint32_t nclaims;
	struct mlk_claims_row *claims;
	struct mlk_record_row record; /* LEAVE_AGENT */
	struct mlk_config config; /* CONFIRM */
	uint64_t config_row_version; /* CONFIRM, POLL */
	struct mlk_audit_record audit;
};

enum mlk_store_status {
	MLK_STORE_OK,
	MLK_STORE_CONFLICT, /* a condition failed; nothing was written */
	MLK_STORE_UNAVAILABLE, /* may have been written or not */
};

/* What a transaction read.  Parts that it did not read are empty. */
struct mlk_store_view {
	bool has_ownership;
	struct mlk_ownership ownership;
	bool has_config;
	uint64_t config_row_version;
	struct mlk_config config;
	uint32_t nentries;
	struct mlk_entry_row *entries;
	uint32_t nagents;
	struct mlk_agent_row *agents;
	uint32_t nclaims;
	struct mlk_claims_row *claims;
	bool has_record; /* that of the operation's subject */
	struct mlk_record_row record;
	uint32_t naudits;
	struct mlk_audit_record *audits;
};

void mlk_store_op_clear(struct mlk_store_op *op);
void mlk_store_view_clear(struct mlk_store_view *view);

/* ---- events ----------------------------------------------------------- */

#define MLK_LINK_NONE 0U

enum mlk_admin_type {
	MLK_ADMIN_INTENTS,
	MLK_ADMIN_PLAN,
	MLK_ADMIN_CONFIRM,
	MLK_ADMIN_AUDIT,
	MLK_ADMIN_STATUS,
	MLK_ADMIN_WATCH, /* answers once the version is above base_version */
};

struct mlk_admin_request {
	enum mlk_admin_type type;
	char operator_name[MLK_NAME_MAX];
	struct mlk_change change; /* PLAN, CONFIRM */
	uint64_t base_version; /* CONFIRM, WATCH */
	struct mlk_key digest; /* CONFIRM */
};

enum mlk_event_type {
	MLK_EV_SUBMIT, /* entry */
	MLK_EV_LOOKUP, /* entry */
	MLK_EV_CANCEL, /* entry */
	MLK_EV_ISSUE_IDS, /* entry */
	MLK_EV_REQUEST_GONE, /* entry: the caller's connection closed */
	MLK_EV_ADMIN, /* entry */
	MLK_EV_LINK_UP, /* both: an outgoing connection is established */
	MLK_EV_LINK_DOWN, /* both; also after a failed CONNECT */
	MLK_EV_MSG, /* both */
	MLK_EV_STORE, /* both: a store operation ended */
	MLK_EV_TASK_DONE, /* agent: the endpoint answered */
	MLK_EV_TICK, /* both: every MLK_TICK_MS */
	MLK_EV_STOP, /* both: planned stop requested */
};

#define MLK_TICK_MS 10

struct mlk_event {
	enum mlk_event_type type;
	int64_t now; /* monotonic, ns */
	int64_t wall; /* time_t seconds */
	union {
		struct {
			uint64_t request;
			bool wait;
			const struct mlk_job_spec *spec;
		} submit;
		struct {
			uint64_t request;
			bool wait;
			char id[MLK_ID_MAX];
		} lookup;
		struct {
			uint64_t request;
			char id[MLK_ID_MAX];
		} cancel;
		struct {
			uint64_t request;
			uint32_t count;
		} issue;
		struct {
			uint64_t request;
		} gone;
		struct {
			uint64_t request;
			const struct mlk_admin_request *admin;
		} admin;
		struct {
			uint32_t link;
			uint32_t connect; /* CONNECT effect's id; 0: incoming */
		} link;
		struct {
			uint32_t link;
			const struct mlk_msg *msg;
		} msg;
		struct {
			enum mlk_store_op_type type;
			uint64_t id;
			enum mlk_store_status status;
			const struct mlk_store_view *view; /* NULL unless OK or
							      CONFLICT */
		} store;
		struct {
			uint32_t slot;
			enum mlk_task_status status; /* DONE, FAILED, UNKNOWN,
							NOT_RUN */
			uint32_t run_ms;
			struct mlk_blob payload;
		} task_done;
	} u;
};

/* ---- effects ---------------------------------------------------------- */

enum mlk_effect_type {
	MLK_FX_SEND, /* msg on link */
	MLK_FX_CONNECT, /* open a link to addr */
	MLK_FX_CLOSE_LINK,
	MLK_FX_STORE,
	MLK_FX_ANSWER, /* entry: a job's answer to an HTTP request */
	MLK_FX_REPLY_IDS, /* entry */
	MLK_FX_REPLY_ERROR, /* entry: an error code for an HTTP request */
	MLK_FX_REPLY_ADMIN, /* entry */
	MLK_FX_START_TASK, /* agent: call the endpoint on a slot */
	MLK_FX_ABORT_TASK, /* agent: abort the endpoint call */
	MLK_FX_LOG,
	MLK_FX_EXIT, /* both: the planned stop is finished */
};

enum mlk_log_level {
	MLK_LOG_ERROR,
	MLK_LOG_WARNING,
	MLK_LOG_NOTICE,
	MLK_LOG_INFO,
	MLK_LOG_DEBUG,
};

/* A log line on a decision; an effect of the dispatch library's reducers. */
struct mlk_decision {
	enum mlk_log_level level;
	char request[MLK_NAME_MAX]; /* the caller's request id, or empty */
	char job[MLK_NAME_MAX]; /* or empty */
	char worker[MLK_NAME_MAX]; /* or empty */
	char text[256];
};

struct mlk_admin_reply {
	enum mlk_admin_type type;
	int code; /* mlk_err_code; with CONFLICT, plan is set */
	char message[192];
	uint64_t config_version; /* CONFIRM: that the plan created */
	struct mlk_config config; /* INTENTS, WATCH */
	struct mlk_plan *plan; /* PLAN, CONFIRM with CONFLICT; owned */
	uint32_t naudits;
	struct mlk_audit_record *audits;
	uint32_t nlines; /* STATUS: "name\tvalue" */
	char (*lines)[192];
};

struct mlk_effect {
	enum mlk_effect_type type;
	union {
		struct {
			uint32_t link;
			struct mlk_msg msg;
		} send;
		struct {
			uint32_t connect; /* non-zero, echoed in LINK_UP/DOWN */
			char addr[MLK_ADDR_MAX];
		} connect;
		struct {
			uint32_t link;
		} close;
		struct mlk_store_op store;
		struct {
			uint64_t request;
			bool pending; /* 202: still running */
			struct mlk_job_answer answer;
		} answer;
		struct {
			uint64_t request;
			uint32_t n;
			char (*ids)[MLK_ID_MAX];
		} ids;
		struct {
			uint64_t request;
			int code; /* mlk_err_code */
			uint32_t retry_after_ms;
			char message[128];
		} error;
		struct {
			uint64_t request;
			struct mlk_admin_reply reply;
		} admin;
		struct {
			uint32_t slot;
			uint32_t timeout_ms;
			struct mlk_key key;
			uint32_t index;
			char kind[MLK_NAME_MAX];
			struct mlk_blob payload;
		} start;
		struct {
			uint32_t slot;
		} abort;
		struct {
			enum mlk_log_level level;
			char text[192];
			char submission[MLK_KEY_HEX_LEN + 1]; /* or empty */
			char worker[MLK_NAME_MAX]; /* or empty */
			uint32_t epoch; /* or 0 */
		} log;
	} u;
};

/* List of effects that grows as needed.  Zero-initialise before first use. */
struct mlk_effects {
	struct mlk_effect *items;
	size_t n;
	size_t cap;
};

struct mlk_effect *mlk_effects_push(struct mlk_effects *fx,
    enum mlk_effect_type type); /* zeroed; NULL when out of memory */
void mlk_effects_clear(struct mlk_effects *fx);
void mlk_effects_free(struct mlk_effects *fx);

/* ---- entry reducer ---------------------------------------------------- */

enum mlk_policy {
	MLK_POLICY_CREDITS = 0,
	MLK_POLICY_RANDOM, /* baseline: random agent, queue at the worker */
	MLK_POLICY_LEAST_LOADED, /* baseline: fewest in flight, queue there */
};

struct mlk_entry_options {
	struct mlk_peer_info self; /* incarnation: unique per process start */
	enum mlk_policy policy;
	uint64_t seed;
	uint32_t max_jobs; /* running and retained */
	uint32_t max_queued; /* queued tasks */
	uint32_t retention_s;
	uint32_t lease_ms;
	uint32_t peer_timeout_ms;
	uint32_t agent_lapse_ms;
	uint32_t takeover_wait_ms;
	uint32_t npeers; /* addresses from the settings */
	char (*peers)[MLK_ADDR_MAX];
};

void mlk_entry_options_default(struct mlk_entry_options *options);

/* Counters of an entry; X(field, help). */
#define MLK_ENTRY_COUNTERS(X)                                       \
	X(jobs_submitted, "Jobs accepted from callers or peers")    \
	X(jobs_joined, "Resubmissions joined to a known job")       \
	X(jobs_complete, "Jobs that ended complete")                \
	X(jobs_failed, "Jobs that ended failed")                    \
	X(jobs_refused, "Jobs refused, nothing ran")                \
	X(jobs_unknown, "Jobs answered unknown")                    \
	X(tasks_sent, "Tasks sent to agents")                       \
	X(tasks_retried, "Tasks sent again after NOT_RUN")          \
	X(tasks_done, "Tasks that succeeded")                       \
	X(tasks_failed, "Tasks that failed")                        \
	X(tasks_unknown, "Tasks lost with their agent")             \
	X(forwards_sent, "Requests forwarded to the owner entry")   \
	X(takeovers, "Partitions taken over")                       \
	X(agents_ejected, "Agents ejected as outliers")             \
	X(msgs_sent, "Messages sent to agents and peers")           \
	X(msgs_received, "Messages received from agents and peers") \
	X(store_ops, "Transactions sent to the table service")      \
	X(store_errors, "Transactions without an answer")

struct mlk_entry_counters {
#define X(field, help) uint64_t field;
	MLK_ENTRY_COUNTERS(X)
#undef X
	uint64_t msgs_sent_by_type[MLK_MSG_TYPES];
};

/* Current values, for the metrics and the readiness check. */
struct mlk_entry_gauges {
	bool ready;
	uint32_t partitions_owned;
	uint32_t partitions_serving; /* owned, with all agents accounted for */
	uint32_t agents;
	uint32_t peers;
	uint32_t jobs_running;
	uint32_t jobs_retained;
	uint32_t tasks_queued;
	uint32_t tasks_in_flight;
	uint32_t credits_held;
	uint64_t config_version;
	uint64_t ownership_version;
};

struct mlk_entry;

struct mlk_entry *mlk_entry_create(const struct mlk_entry_options *options);
void mlk_entry_destroy(struct mlk_entry *entry);
int mlk_entry_apply(struct mlk_entry *entry, const struct mlk_event *ev,
    struct mlk_effects *out, struct mlk_error *err);
const struct mlk_entry_counters *mlk_entry_counters(
    const struct mlk_entry *entry);
void mlk_entry_gauges(
    const struct mlk_entry *entry, struct mlk_entry_gauges *out);

/* ---- agent reducer ---------------------------------------------------- */

struct mlk_agent_options {
	char id[MLK_NAME_MAX];
	char dc[MLK_NAME_MAX];
	uint32_t slots;
	uint32_t max_records; /* (submission, task) pairs retained */
	uint32_t max_result_bytes; /* of retained results */
	uint32_t retention_s;
	uint32_t lease_ms;
	uint32_t nentries; /* addresses from the settings */
	char (*entries)[MLK_ADDR_MAX];
	bool queue_at_worker; /* accept START without credit (baselines) */
};

void mlk_agent_options_default(struct mlk_agent_options *options);

#define MLK_AGENT_COUNTERS(X)                                     \
	X(tasks_started, "Tasks started on the endpoint")         \
	X(tasks_done, "Tasks that succeeded")                     \
	X(tasks_failed, "Tasks that failed")                      \
	X(starts_rejected, "STARTs refused, nothing started")     \
	X(starts_fenced, "STARTs below the seen epoch")           \
	X(starts_duplicate, "STARTs of a task already on record") \
	X(results_resent, "Results sent again after a reconnect") \
	X(results_dropped, "Retained results dropped for space")  \
	X(registrations, "Registrations in the table service")    \
	X(msgs_sent, "Messages sent to entries")                  \
	X(msgs_received, "Messages received from entries")

struct mlk_agent_counters {
#define X(field, help) uint64_t field;
	MLK_AGENT_COUNTERS(X)
#undef X
	uint64_t msgs_sent_by_type[MLK_MSG_TYPES];
};

struct mlk_agent_gauges {
	bool ready; /* registered and linked to an entry */
	uint32_t running;
	uint32_t credits_lent;
	uint32_t records;
	uint32_t entries;
	uint64_t incarnation;
	uint64_t config_version;
};

struct mlk_agent;

struct mlk_agent *mlk_agent_create(const struct mlk_agent_options *options);
void mlk_agent_destroy(struct mlk_agent *agent);
int mlk_agent_apply(struct mlk_agent *agent, const struct mlk_event *ev,
    struct mlk_effects *out, struct mlk_error *err);
const struct mlk_agent_counters *mlk_agent_counters(
    const struct mlk_agent *agent);
void mlk_agent_gauges(
    const struct mlk_agent *agent, struct mlk_agent_gauges *out);

#endif
