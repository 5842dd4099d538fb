/*
 * Dispatch library: ephemeral jobs, which are answered when they have ended and
 * are not stored.  It consists of two reducers: the dispatcher of an entry,
 * which places the tasks of its callers' jobs on workers, and the runner of an
 * agent, which is the only sender of orders to its local worker and keeps that
 * worker within its capacity.
 *
 * A task never has two runs at the same time; docs/decisions/platform.md
 * explains how this holds without a store and without synchronised clocks.
 *
 * `now` is in nanoseconds of a clock that keeps counting while the machine is
 * suspended.
 */
#ifndef MONSOONLOCK_DISPATCH_H
#define MONSOONLOCK_DISPATCH_H

#include <monsoonlock/core.h>

/* ---- resource vectors ---------------------------------------------------- */

bool mlk_resources_fit(
    const struct mlk_resources *free, const struct mlk_resources *need);
void mlk_resources_add(
    struct mlk_resources *resources, const struct mlk_resources *more);
/* Subtracts *less from *resources; no component goes below 0. */
void mlk_resources_subtract(
    struct mlk_resources *resources, const struct mlk_resources *less);
/* Returns how many times *need fits into *free, at most `max`. */
uint32_t mlk_resources_count(const struct mlk_resources *free,
    const struct mlk_resources *need, uint32_t max);

/* ---- routing table ----------------------------------------------------- */

/* The route with the longest matching prefix for this host, or NULL. */
const struct mlk_route *mlk_routing_match(
    const struct mlk_routing *routing, const char *host, const char *path);

/* ---- table watch --------------------------------------------------------- */

#define MLK_WATCH_KEY_MAX 201 /* key of a row, including NUL */

/*
 * Follows a table of the store: reads it whole, then asks for the changes since
 * that version, and reads it again when the store no longer has them.  Failed
 * calls are repeated after an increasing delay.
 */
struct mlk_watch {
	bool calling;
	bool following; /* the table was read; only changes since `version` are
			   requested */
	uint64_t version;
	/*
	 * READ of a table with several pages: the last key of the pages read so
	 * far, and the version of the first page.  An empty key: first page.
	 */
	char last_key[MLK_WATCH_KEY_MAX];
	uint64_t first_version;
	int64_t due; /* time of the next call */
	int64_t delay; /* before the next call after a failure */
	uint32_t failures; /* consecutive */
	uint32_t max_wait_ms; /* how long the store may wait for a change */
	bool behind; /* the table was read in pages of several versions, and the
			changes since the first one are still to be read */
	uint32_t wait_ms; /* of the current call */
	uint32_t timeout_ms; /* of the current call, including wait_ms */
	struct mlk_rng rng;
};

enum mlk_watch_call {
	MLK_WATCH_NONE,
	MLK_WATCH_READ, /* the table from `last_key` on */
	MLK_WATCH_FOLLOW, /* the changes since `version` */
};

enum mlk_watch_result {
	MLK_WATCH_ROWS, /* rows as of the given version */
	MLK_WATCH_COMPACTED, /* the store no longer has the changes since
				`version` */
	MLK_WATCH_UNAVAILABLE,
};

void mlk_watch_init(
    struct mlk_watch *watch, uint64_t seed, uint32_t max_wait_ms);
/* Returns the call to make now and marks it as in flight. */
enum mlk_watch_call mlk_watch_due(struct mlk_watch *watch, int64_t now);
void mlk_watch_ended(struct mlk_watch *watch, enum mlk_watch_result result,
    uint64_t version, int64_t now);
/*
 * A READ returned one page of rows as of the given version, and the table goes
 * on after last_key.  Returns MLK_ERR_INVALID, and the read begins again, when
 * last_key is no progress.
 */
int mlk_watch_page(struct mlk_watch *watch, const char *last_key,
    uint64_t version, int64_t now);

/* ---- evacuations in the store ------------------------------------------- */

/*
 * Follows the rows of the store that evacuate data centres.  A read of the
 * whole table begins with begin(); page() follows the rows of each page but the
 * last, and end() those of the last page and of each response with changes.
 */
struct mlk_evacuation_table;

enum mlk_evacuation_rows {
	MLK_EVACUATION_ROWS_SAME, /* no change */
	MLK_EVACUATION_ROWS_CHANGED, /* there is a set with a higher version */
	MLK_EVACUATION_ROWS_INCOMPLETE, /* the rows read are not yet known as
					   of one version */
};

struct mlk_evacuation_table *mlk_evacuation_table_create(void);
void mlk_evacuation_table_destroy(struct mlk_evacuation_table *table);
void mlk_evacuation_table_begin(struct mlk_evacuation_table *table);
void mlk_evacuation_table_row(struct mlk_evacuation_table *table,
    const char *dc, uint64_t version, bool removed);
void mlk_evacuation_table_page(
    struct mlk_evacuation_table *table, uint64_t version);
enum mlk_evacuation_rows mlk_evacuation_table_end(
    struct mlk_evacuation_table *table, uint64_t version);
uint32_t mlk_evacuation_table_copy(
    const struct mlk_evacuation_table *table, struct mlk_evacuations *out);

/* ---- interference -------------------------------------------------------- */

/* What is done about kinds of task that slow each other down on a worker. */
enum mlk_interference_mode {
	MLK_INTERFERENCE_OFF, /* nothing is measured */
	MLK_INTERFERENCE_OBSERVE, /* verdicts are made and shown */
	MLK_INTERFERENCE_AVOID, /* placement prefers workers without the other
				   kind */
};

/* Routes whose tasks are known to slow each other down. */
struct mlk_route_pair {
	char a[MLK_NAME_MAX];
	char b[MLK_NAME_MAX];
};

/* ---- runner ------------------------------------------------------------- */

/* Identifies one run at the worker. */
struct mlk_run_name {
	char id[MLK_ID_MAX]; /* of the job */
	uint32_t step;
	uint32_t index;
	uint32_t run; /* number of the start attempt, from 1 */
};

enum mlk_order_type {
	MLK_ORDER_START,
	MLK_ORDER_STOP,
	MLK_ORDER_LIST, /* also renews the lease of all runs */
};

/* One call to the worker.  The worker refuses orders below its fence. */
struct mlk_order {
	uint64_t order; /* returned with the result */
	enum mlk_order_type type;
	char worker[MLK_NAME_MAX]; /* empty: any worker at the address */
	uint64_t fence;
	struct mlk_run_name name; /* START, STOP */
	struct mlk_blob spec; /* START; owned by the effect */
	int64_t lease_until_ms; /* worker's clock; 0: no renewal */
	uint64_t ack; /* LIST: ends up to this number are acknowledged */
	uint32_t wait_ms; /* LIST: the worker answers at the next end or after
			     this time */
	uint32_t timeout_ms;
	uint32_t channel; /* LIST: calls on one channel are sequential */
	bool fresh; /* uses a new connection */
};

enum mlk_order_result {
	MLK_ORDER_OK,
	MLK_ORDER_FENCED, /* the worker has seen a higher fence */
	MLK_ORDER_STALE_RUN, /* the worker already had a run of this task with
			  this number or a higher one */
	MLK_ORDER_LEASE_EXPIRED, /* the lease had expired on arrival */
	MLK_ORDER_NO_ROOM,
	MLK_ORDER_INVALID,
	MLK_ORDER_UNHEALTHY, /* the worker refused it and did not act on it */
	MLK_ORDER_OTHER_WORKER, /* a worker with another id answers there */
	MLK_ORDER_NOT_SENT, /* there was no connection; nothing was sent */
	MLK_ORDER_NO_ANSWER, /* may still be carried out, now or later */
};

struct mlk_listed_run {
	struct mlk_run_name name;
	uint32_t percent; /* completed part of its work */
};

enum mlk_listed_end_type {
	MLK_LISTED_DONE,
	MLK_LISTED_FAILED,
	MLK_LISTED_STOPPED,
	MLK_LISTED_LEASE_EXPIRED,
	MLK_LISTED_OTHER,
};

struct mlk_listed_end {
	uint64_t number; /* increases within a boot */
	struct mlk_run_name name;
	enum mlk_listed_end_type how;
};

/* Status that a worker reports about itself.  Borrowed by the event. */
struct mlk_announcement {
	struct mlk_worker_info info;
	uint64_t seq; /* increases within a boot */
	int64_t clock_ms; /* of the worker; 0: not reported */
	uint32_t remaining_ms; /* while it drains; 0: not reported */
	uint32_t cold_ms; /* time for which its runs may still be slow */
	uint64_t request; /* returned with the ACK effect */
};

enum mlk_runner_event_type {
	MLK_RUNNER_LINK_UP,
	MLK_RUNNER_LINK_DOWN,
	MLK_RUNNER_MSG,
	MLK_RUNNER_ENTRIES, /* discovered addresses of entries */
	MLK_RUNNER_ANNOUNCED,
	MLK_RUNNER_LEFT, /* the worker reported that it is exiting, as it may
			    once this is acknowledged */
	MLK_RUNNER_ORDER, /* result of an order */
	MLK_RUNNER_TICK,
	MLK_RUNNER_STOP, /* planned stop (graceful shutdown) */
};

struct mlk_runner_event {
	enum mlk_runner_event_type type;
	int64_t now;
	union {
		struct {
			uint32_t link;
			uint32_t connect;
		} link;
		struct {
			uint32_t link;
			const struct mlk_msg *msg;
		} msg;
		struct {
			uint32_t n;
			const char (*addrs)[MLK_ADDR_MAX];
			uint64_t version; /* of the row that holds them; 0: they
					     are in no row */
		} entries;
		const struct mlk_announcement *announced;
		struct {
			uint64_t request; /* returned with ACK */
			char worker[MLK_NAME_MAX];
		} left;
		struct {
			uint64_t order;
			enum mlk_order_result result;
			int64_t clock_ms; /* 0: not reported */
			uint64_t boot; /* LIST; 0: not reported */
			uint32_t nrunning;
			const struct mlk_listed_run *running;
			uint32_t nended;
			const struct mlk_listed_end *ended;
		} order;
	} u;
};

enum mlk_runner_effect_type {
	MLK_RUNNER_FX_SEND,
	MLK_RUNNER_FX_CONNECT,
	MLK_RUNNER_FX_CLOSE,
	MLK_RUNNER_FX_ORDER,
	MLK_RUNNER_FX_ACK, /* one for each ANNOUNCED, at once, and LEFT */
	MLK_RUNNER_FX_LOG,
	MLK_RUNNER_FX_EXIT,
};

struct mlk_runner_effect {
	enum mlk_runner_effect_type type;
	union {
		struct {
			uint32_t link;
			struct mlk_msg msg;
		} send;
		struct {
			uint32_t connect;
			char addr[MLK_ADDR_MAX];
		} connect;
		struct {
			uint32_t link;
		} close;
		struct mlk_order order;
		struct {
			uint64_t request;
			bool accepted; /* false: an announcement is ignored */
		} ack;
		struct mlk_decision log;
	} u;
};

struct mlk_runner_effects {
	struct mlk_runner_effect *items;
	size_t n;
	size_t cap;
};

void mlk_runner_effects_clear(struct mlk_runner_effects *fx);
void mlk_runner_effects_free(struct mlk_runner_effects *fx);

struct mlk_runner_options {
	char id[MLK_NAME_MAX];
	char dc[MLK_NAME_MAX];
	char pool[MLK_NAME_MAX]; /* of the worker; empty: any */
	uint64_t incarnation;
	uint32_t lease_ms; /* of runs at the worker */
	uint32_t entry_lease_ms; /* the runs of an entry that is silent for this
				    long are stopped */
	uint32_t grace_ms; /* from the stop event to EXIT */
	uint32_t offer_ahead_ms; /* resources are offered this long before the
				    expected end of the run that holds them; 0:
				    when it has ended */
	enum mlk_interference_mode interference;
	uint32_t nentries; /* addresses from the settings */
	char (*entries)[MLK_ADDR_MAX];
};

void mlk_runner_options_default(struct mlk_runner_options *options);

#define MLK_RUNNER_COUNTERS(X)                                       \
	X(starts, "Starts sent to the worker")                       \
	X(starts_again, "Starts repeated under a later number")      \
	X(starts_unanswered, "Starts that got no answer")            \
	X(starts_waited, "Starts that waited for a worker's answer") \
	X(starts_void, "Unanswered starts that never took effect")   \
	X(stops, "Stops sent to the worker")                         \
	X(lists, "Listing orders sent to the worker")                \
	X(lists_fresh, "Of them on a connection of their own")       \
	X(fences, "Times that the fence was raised")                 \
	X(done, "Runs that ended done")                              \
	X(failed, "Runs that ended failed")                          \
	X(stopped, "Runs that were stopped")                         \
	X(lost, "Runs that ended with their lease or worker")        \
	X(stalled, "Runs moved away from a sick worker")             \
	X(sick, "Times that the worker was found sick")              \
	X(degraded, "Times that it was found degraded")              \
	X(speed_changes, "Changes of its speed by over a fifth")     \
	X(busy, "Tasks answered not run for lack of room")           \
	X(offers, "Offers of room sent to entries")                  \
	X(offers_lapsed, "Offers that were not answered")            \
	X(held, "Tasks held until resources offered ahead are free") \
	X(refused, "Tasks answered not run for another cause")       \
	X(entry_leases, "Times that an entry's lease ran out")       \
	X(addrs_ignored, "Addresses of entries that are not used")   \
	X(superseded, "Times that another agent took the worker")    \
	X(boots, "Lives of the worker seen")                         \
	X(lives_doubted, "Answers that may be of another life")      \
	X(disowned, "Identities that the worker did not confirm")    \
	X(foreign, "Announcements of another pool")                  \
	X(evacuated, "Times that the data centre was evacuated")

struct mlk_runner_counters {
#define X(field, help) uint64_t field;
	MLK_RUNNER_COUNTERS(X)
#undef X
};

struct mlk_runner_gauges {
	bool ready; /* worker ready and an entry attached */
	uint32_t entries;
	uint32_t running;
	struct mlk_resources capacity;
	struct mlk_resources free;
	uint64_t fence;
	bool evacuated; /* the data centre of this agent */
	uint64_t evacuations_version;
	uint32_t speed; /* of the worker, in thousandths; 0: unknown */
};

struct mlk_runner;

struct mlk_runner *mlk_runner_create(const struct mlk_runner_options *options);
void mlk_runner_destroy(struct mlk_runner *runner);
int mlk_runner_apply(struct mlk_runner *runner,
    const struct mlk_runner_event *ev, struct mlk_runner_effects *out,
    struct mlk_error *err);
const struct mlk_runner_counters *mlk_runner_counters(
    const struct mlk_runner *runner);
void mlk_runner_gauges(
    const struct mlk_runner *runner, struct mlk_runner_gauges *out);

/* ---- dispatcher ---------------------------------------------------------- */

/* One step of a job: identical tasks. */
struct mlk_step {
	uint32_t count;
	struct mlk_resources resources; /* of each task */
	uint32_t estimate_ms; /* of a task's run time; approximate */
	uint64_t after; /* mask of earlier steps that must be done first */
};

/* A caller's ephemeral job.  Borrowed by the event. */
struct mlk_work {
	char id[MLK_ID_MAX];
	const uint8_t *spec;
	uint32_t spec_len;
	uint32_t nsteps;
	const struct mlk_step *steps;
	const char *unsupported; /* why it is not supported, or NULL */
};

enum mlk_work_outcome {
	MLK_WORK_COMPLETED,
	MLK_WORK_FAILED, /* a task failed as often as its route allows */
	MLK_WORK_REFUSED, /* nothing of it has run or will run */
	MLK_WORK_NO_ROUTE, /* not run: no route matches */
	MLK_WORK_INVALID, /* not run: the request is malformed */
	MLK_WORK_BROKEN, /* aborted; may be sent again */
	MLK_WORK_LATE, /* its deadline has passed; may be sent again */
};

enum mlk_dispatch_event_type {
	MLK_DISPATCH_SUBMIT,
	MLK_DISPATCH_CALLER_GONE, /* the caller's connection closed */
	MLK_DISPATCH_LINK_UP,
	MLK_DISPATCH_LINK_DOWN,
	MLK_DISPATCH_MSG,
	MLK_DISPATCH_ENTRIES, /* discovered addresses of entries */
	MLK_DISPATCH_ROUTES, /* a routing table from the store */
	MLK_DISPATCH_EVACUATIONS, /* evacuated data centres from the store */
	MLK_DISPATCH_TICK,
	MLK_DISPATCH_STOP, /* planned stop */
};

struct mlk_dispatch_event {
	enum mlk_dispatch_event_type type;
	int64_t now;
	union {
		struct {
			uint64_t request;
			const char *request_id; /* the caller's, for the log */
			const char *host;
			const char *path;
			uint32_t deadline_ms; /* 0: timeout of the route */
			int64_t held; /* ns since the request arrived */
			const struct mlk_work *work;
		} submit;
		struct {
			uint64_t request;
		} gone;
		struct {
			uint32_t link;
			uint32_t connect;
		} link;
		struct {
			uint32_t link;
			const struct mlk_msg *msg;
		} msg;
		struct {
			uint32_t n;
			const char (*addrs)[MLK_ADDR_MAX];
		} entries;
		const struct mlk_routing *routes;
		const struct mlk_evacuations *evacuations;
	} u;
};

enum mlk_dispatch_effect_type {
	MLK_DISPATCH_FX_SEND,
	MLK_DISPATCH_FX_CONNECT,
	MLK_DISPATCH_FX_CLOSE,
	MLK_DISPATCH_FX_ANSWER,
	MLK_DISPATCH_FX_LOG,
	MLK_DISPATCH_FX_EXIT,
};

struct mlk_dispatch_effect {
	enum mlk_dispatch_effect_type type;
	union {
		struct {
			uint32_t link;
			struct mlk_msg msg;
		} send;
		struct {
			uint32_t connect;
			char addr[MLK_ADDR_MAX];
		} connect;
		struct {
			uint32_t link;
		} close;
		struct {
			uint64_t request;
			enum mlk_work_outcome outcome;
			uint32_t retry_after_ms; /* REFUSED */
		} answer;
		struct mlk_decision log;
	} u;
};

struct mlk_dispatch_effects {
	struct mlk_dispatch_effect *items;
	size_t n;
	size_t cap;
};

void mlk_dispatch_effects_clear(struct mlk_dispatch_effects *fx);
void mlk_dispatch_effects_free(struct mlk_dispatch_effects *fx);

enum mlk_admission_mode {
	MLK_ADMISSION_OFF, /* every job is admitted */
	MLK_ADMISSION_SHARES, /* queues share a pool that is short of capacity
				 by weight */
};

struct mlk_dispatcher_options {
	struct mlk_peer_info self; /* addr: where this entry accepts links */
	uint64_t seed;
	uint32_t max_jobs;
	uint32_t grace_ms; /* from the stop event to EXIT */
	enum mlk_admission_mode admission;
	enum mlk_interference_mode interference;
	uint32_t npairs; /* pinned pairs of routes */
	struct mlk_route_pair *pairs;
	uint32_t nentries; /* addresses from the settings */
	char (*entries)[MLK_ADDR_MAX];
};

void mlk_dispatcher_options_default(struct mlk_dispatcher_options *options);

#define MLK_DISPATCH_COUNTERS(X)                                              \
	X(jobs, "Jobs taken")                                                 \
	X(jobs_joined, "Requests that joined a job at work")                  \
	X(completed, "Jobs answered complete")                                \
	X(failed, "Jobs answered failed")                                     \
	X(refused, "Jobs refused, nothing ran")                               \
	X(refused_share, "Jobs refused: their queue is over its share")       \
	X(refused_time, "Jobs refused: they would start too late")            \
	X(demand_reports, "Reports of demand sent to the peers")              \
	X(no_route, "Requests without a route")                               \
	X(broken, "Jobs given up, to be sent again")                          \
	X(late, "Jobs whose deadline passed")                                 \
	X(abandoned, "Jobs whose caller left")                                \
	X(tasks_sent, "Tasks sent to agents")                                 \
	X(tasks_busy, "Tasks that came back for lack of room")                \
	X(looks, "Jobs and workers looked at for a place")                    \
	X(wants, "Messages that asked for room")                              \
	X(unsuited, "Times that a job was not given to a slow worker")        \
	X(offers_taken, "Offers of room that were used")                      \
	X(offers_passed, "Offers of room that were not")                      \
	X(tasks_refused, "Tasks that came back not run for another cause")    \
	X(tasks_lost, "Runs lost with a lease, worker, agent or link")        \
	X(tasks_failed, "Runs that failed")                                   \
	X(tasks_moved, "Runs moved away from sick workers")                   \
	X(links_silent, "Links closed after silence")                         \
	X(addrs_ignored, "Addresses of entries that cannot be used")          \
	X(routings, "Routing tables put in force")                            \
	X(evacuations, "Changes of the evacuated data centres in force")      \
	X(verdicts_made, "Verdicts of interference made")                     \
	X(verdicts_withdrawn, "Verdicts of interference withdrawn")           \
	X(kept_apart, "Tasks sent away from a kind that they interfere with") \
	X(not_apart, "Tasks sent to a kind that they interfere with")

struct mlk_dispatch_counters {
#define X(field, help) uint64_t field;
	MLK_DISPATCH_COUNTERS(X)
#undef X
};

struct mlk_dispatch_gauges {
	bool ready;
	uint32_t agents;
	uint32_t agents_ready; /* outside evacuated data centres */
	uint32_t peers;
	uint32_t jobs;
	uint32_t queued; /* tasks waiting for a worker */
	uint32_t in_flight; /* tasks sent to agents */
	uint64_t routing_version;
	/* Admission control; 0 when it is off.  Of all pools. */
	uint64_t capacity_cpu; /* thousandths of a core */
	uint64_t free_cpu;
	uint64_t offered_cpu; /* at all entries */
	uint32_t pools_short; /* pools that are short of capacity */
	uint64_t wait_ms; /* longest estimated wait of a new job */
	uint64_t wait_error_ms; /* mean error of these estimates */
	uint32_t evacuated; /* data centres */
	uint64_t evacuations_version;
	uint32_t evacuations_unconfirmed; /* agents attached from there that
					     have not confirmed */
	uint32_t verdicts; /* of interference, in force */
};

/* Share of a queue in its pool, in thousandths of a core. */
struct mlk_queue_share {
	const char *route;
	uint64_t offered; /* at all entries */
	uint64_t share;
};

/* An evacuated data centre as an entry sees it. */
struct mlk_evacuation_status {
	char dc[MLK_NAME_MAX];
	uint64_t version; /* of the change that began it */
	uint64_t since_ms; /* since it took effect at this entry */
	uint32_t agents; /* attached from there */
	uint32_t running; /* tasks of this entry there */
	uint32_t nunconfirmed;
	char (*unconfirmed)[MLK_NAME_MAX]; /* ids of agents */
};

struct mlk_evacuation_report {
	uint64_t version; /* in force */
	uint32_t n;
	struct mlk_evacuation_status *items;
};

/* What is known of the interference between two kinds of task. */
struct mlk_interference_pair {
	char kind[MLK_NAME_MAX + 8]; /* route/step, or a number if unknown */
	char other[MLK_NAME_MAX + 8];
	bool verdict; /* `kind` is slowed down beside `other` */
	bool pinned; /* by the settings of this entry */
	uint32_t slowdown; /* of the run time, in thousandths */
	uint32_t bound; /* lower confidence bound of it */
	uint32_t samples;
	uint32_t agents; /* that measured it; 0: another entry knows */
};

struct mlk_dispatcher;

struct mlk_dispatcher *mlk_dispatcher_create(
    const struct mlk_dispatcher_options *options);
void mlk_dispatcher_destroy(struct mlk_dispatcher *dispatcher);
int mlk_dispatcher_apply(struct mlk_dispatcher *dispatcher,
    const struct mlk_dispatch_event *ev, struct mlk_dispatch_effects *out,
    struct mlk_error *err);
/* Whether a route in the current routing table matches this request. */
bool mlk_dispatcher_routes(const struct mlk_dispatcher *dispatcher,
    const char *host, const char *path);
/* The routing table in force; valid until the next event is applied. */
const struct mlk_routing *mlk_dispatcher_routing(
    const struct mlk_dispatcher *dispatcher);
const struct mlk_dispatch_counters *mlk_dispatch_counters(
    const struct mlk_dispatcher *dispatcher);
void mlk_dispatcher_each_share(const struct mlk_dispatcher *dispatcher,
    void (*fn)(const struct mlk_queue_share *share, void *arg), void *arg);
void mlk_dispatch_gauges(
    const struct mlk_dispatcher *dispatcher, struct mlk_dispatch_gauges *out);
void mlk_dispatcher_evacuations(
    const struct mlk_dispatcher *dispatcher, struct mlk_evacuation_report *out);
void mlk_evacuation_report_clear(struct mlk_evacuation_report *report);

/*
 * Copies the pairs, verdicts first, and returns their number.  *decides tells
 * whether this entry makes the verdicts.
 */
uint32_t mlk_dispatcher_interference(const struct mlk_dispatcher *dispatcher,
    struct mlk_interference_pair *pairs, uint32_t max, bool *decides);

#endif
