/*
 * State of the runner, shared by the runner_*.c files.
 *
 * A run stays in the table from the RUN message until its end is known; its
 * resources are reserved when its start is sent.
 *
 * An entry is identified by its address.  The agent stops its runs when its
 * link ends or when it has been silent for entry_lease_ms (the lease of the
 * entry), and sends the next ATTACH when none of them is left.
 *
 * The lease of the runs (lease_ms) is another one: the worker itself stops its
 * runs when the agent does not renew it in time.
 *
 * Functions named *_due perform the periodic work whose time has come.
 */
#ifndef MLK_DISPATCH_RUNNER_PRIV_H
#define MLK_DISPATCH_RUNNER_PRIV_H

#include <inttypes.h>

#include <glib.h>

#include <monsoonlock/dispatch.h>

#include "effects.h"
#include "corun.h"
#include "evacuations.h"
#include "health.h"
#include "life.h"
#include "skew.h"
#include "speed.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)

#define RUNNER_ENTRIES_MAX 256 /* known entries */
#define RUNNER_RUNS_MAX 8192 /* runs in the table */
/*
 * Timeout of an order; a listing adds its wait_ms.  The local worker takes
 * about 1 ms; an agent with 0.15 of a core may itself be delayed by some tens
 * of ms.
 */
#define ORDER_TIMEOUT_MS 50
/*
 * When a listing has been unanswered for this long, a second one is sent in
 * parallel: if the first was lost, no end would be seen and no resources
 * released until it times out.
 */
#define LIST_HEDGE_NS (30 * MS)
#define LISTS_MAX 2
/*
 * The channel of the listings that confirm a fence.  Its calls are sequential
 * and an unanswered one closes its connection, so a listing on it never follows
 * an order without an answer.
 */
#define CHANNEL_FENCE LISTS_MAX
/*
 * The notice of a worker that it exits is acknowledged when its runs have
 * ended, at the latest after this time: long enough to repeat a lost stop, and
 * well below the second that a worker waits for an answer.
 */
#define LEAVE_ACK_NS (300 * MS)
/* A listing waits this long for an end; bounds the age of progress data. */
#define LIST_WAIT_MS 100
/*
 * Interval between listings while foreign runs (left by an earlier agent) are
 * being stopped, and after a failed listing.
 */
#define LIST_RETRY_NS (20 * MS)
/*
 * Longest interval from an unanswered listing to the next, doubled each time: a
 * worker that resets connections gets no more listings than a silent one, where
 * each waits for its timeout.
 */
#define LIST_RETRY_MAX_NS (ORDER_TIMEOUT_MS * MS)
/*
 * A worker that has not answered for this long is away: it counts as
 * unreachable and is reported as unavailable.
 */
#define AWAY_NS (250 * MS)
#define PROBE_NS (200 * MS) /* between listings to a worker that is away */
#define IDLE_LIST_NS (500 * MS) /* between listings to an idle worker */
#define STOP_RETRY_NS (100 * MS)
/*
 * All runs at a worker share one lease.  It ends at most this long after the
 * earliest of these times: the request to stop a run, and for each entry with
 * runs here, the time when it sent its newest message.  The entry may start the
 * tasks of these runs elsewhere 1,250 ms after that time (its DETACHED_NS), so
 * the runs must have ended by then, even if the worker answers no order.  The
 * remaining 300 ms cover two errors: the age of a message is underestimated by
 * up to 250 ms, and the worker's clock may be slow by 2 %.
 */
#define LEASE_LIMIT_NS (950 * MS)
#define LEASE_MIN_NS (300 * MS) /* no run is started under a shorter lease */
/*
 * Added to a lease to get the time by which it has certainly expired.  By a
 * worker's clock that is slow by 2 %, a lease lasts 1/0.98 or 1.0204 times as
 * long, so 2 % would be too little; 3 is the next whole percentage.  The fixed
 * part allows for the time that a call takes.
 */
#define LEASE_SLACK_PERCENT 3
#define LEASE_SLACK_NS (50 * MS)
#define STALE_RUN_MS 400 /* a RUN message older than this is refused */
#define START_TRIES_MAX 6
#define FENCE_SHIFT 8 /* low bits of a fence, for raises by one agent */
/*
 * An agent whose worker has accepted a higher fence of another agent gives no
 * orders for this long, doubled each time.  The least time is longer than any
 * lease that it has granted.
 */
#define STAND_DOWN_MIN_NS (1500 * MS)
#define STAND_DOWN_MAX_NS (24000 * MS)
#define REPORT_BUSY_NS (250 * MS) /* to an entry that has runs here */
#define REPORT_IDLE_NS (1000 * MS)
#define LINK_TIMEOUT_NS (3000 * MS) /* silence that closes an idle link */
/*
 * After a power failure all processes start within about a second, in any
 * order: an entry that refused a connection is retried soon, and less often
 * while it stays unreachable.
 */
#define CONNECT_RETRY_NS (60 * MS)
#define CONNECT_RETRY_MAX_NS (1000 * MS)
/*
 * An attempt without a result after this time is taken to hang; an answer takes
 * 2 to 7 ms.
 */
#define CONNECT_HUNG_NS (50 * MS)
/* A discovered entry that was not reached for this long is forgotten. */
#define ENTRY_FORGET_NS (60000 * MS)

/* Kinds named in verdicts whose presence is reported, one bit each. */
#define RUNNER_NAMED_MAX 32U

enum run_state {
	RUN_WAITING, /* no start is in flight, see runner_waiting.c; ->
			STARTING, or ended without a run */
	RUN_STARTING, /* start sent; -> ACTIVE, UNCONFIRMED, WAITING, or ended
			 without a run */
	RUN_UNCONFIRMED, /* the start got no answer; -> ACTIVE, STARTING,
			    WAITING, or ended */
	RUN_ACTIVE, /* -> STOPPING, or ended */
	RUN_STOPPING, /* -> ended */
};

struct entry {
	char addr[MLK_ADDR_MAX];
	bool configured; /* from the settings: never forgotten */
	uint64_t version; /* newest row of the store that was known when the
			     entry was last known to live */
	uint32_t connect; /* id of the connection attempt; 0: none */
	int64_t connect_at; /* time of the last attempt */
	uint32_t link; /* 0: none */
	bool attached; /* ATTACH was sent on this link */
	int64_t retry_at;
	int64_t retry_ns;
	int64_t reached_at; /* when its link last came up or ended; before the
			       first link, when its address was learned */
	struct mlk_peer_info info; /* from WELCOME; id empty until then */
	struct mlk_skew skew;
	int64_t last_alive; /* send time of the newest message received */
	int64_t last_sent; /* time of the last message to it */
	uint64_t run_seq; /* seq of its last RUN message */
	uint32_t nruns; /* its runs in the table */
	GArray *ends; /* struct mlk_run_result, to be sent */
	struct mlk_want want;
	int64_t want_at; /* urgency of `want` as a time */
	int64_t want_until; /* `want` is out of date after this time */
	bool report_now; /* send WORKER at once */
	uint64_t evacuations_shown; /* highest version sent on this link */
	struct mlk_worker_load reported_load;
	uint32_t present; /* named kinds last reported to it as present */
	uint32_t present_link; /* on which that was sent */
	uint32_t present_changes; /* named_changes at that time */
	int64_t present_at;
};

struct run {
	enum run_state state;
	struct entry *entry;
	uint64_t job; /* job handle at the entry */
	struct mlk_run_name name;
	struct mlk_resources resources;
	GBytes *spec;
	uint32_t expected_ms;
	uint32_t kind; /* 0: interference is not measured */
	uint32_t batch; /* tasks that came in the same message */
	struct corun_run *corun; /* NULL: not measured */
	bool movable; /* may be moved off an unhealthy worker */
	struct health_run health;
	int64_t deadline; /* the run is stopped at this time */
	uint64_t order; /* START or STOP in flight; 0: none */
	uint64_t fence; /* of the last start */
	uint64_t boot; /* of the worker, at the last start */
	bool may_have_run; /* a start may have been carried out by a boot that
			      has ended: the task is not reported as not run */
	uint32_t tries; /* starts sent so far */
	int64_t sent_at; /* of the last start */
	int64_t confirmed_at; /* first seen active; 0: not yet */
	uint32_t forecast_percent; /* progress that ends_at is computed from */
	int64_t ends_at; /* expected end; 0: unknown */
	bool forecast_missed; /* a held task was returned because the run did
				 not end as expected: none is expected again */
	int64_t stop_at; /* time at which the stop was requested */
	int64_t stop_sent_at;
	bool stop_wanted; /* a stop was requested; it is sent once the run is
			     known to be active */
	enum mlk_run_end stop_end; /* end to report for a stopped run */
	uint64_t listed; /* number of the last listing that showed it */
};

/* Resources reserved for an entry until it answers the offer. */
struct offer {
	uint64_t id;
	struct entry *entry;
	struct mlk_resources resources;
	int64_t until;
};

/* An order to the worker that has no answer yet. */
struct order {
	uint64_t id;
	enum mlk_order_type type;
	struct run *run; /* NULL for LIST, for an ended run and for a run not in
			    the table */
	uint64_t fence;
	uint64_t ack; /* LIST */
	int64_t sent_at;
	int64_t leases_expired_at; /* by then the lease that it grants has
				      expired; 0: it grants none */
};

/*
 * An announced identity of the worker (id and boot) that differs from the one
 * in use.  It is used once the worker at the address has confirmed it.
 */
struct candidate {
	bool pending;
	struct mlk_announcement announced;
	uint64_t list; /* order id of the listing that asks for it; 0: none */
	bool replaced; /* since that listing was sent */
	int64_t list_after; /* earliest time of that listing */
};

struct worker {
	bool known; /* an announcement was received */
	int64_t known_at; /* time of the first announcement */
	bool confirmed; /* the worker has answered a listing under its id */
	struct candidate candidate;
	struct mlk_worker_info info; /* as last announced */
	uint64_t seq;
	int64_t cold_until; /* its runs may be slow before this time */
	int64_t left_at; /* time of its notice that it exits; 0: none */
	uint64_t notice; /* request of that notice, if unacknowledged */
	bool notice_pending;
	int64_t clock_ms; /* worker's clock at the local time clock_at; 0:
			     unknown */
	int64_t clock_at;
	uint64_t boot; /* of the newest listing or announcement */
	struct life life; /* that this boot number names */
	bool life_missed; /* the listing for waiting starts got no answer, and
			     none has named the life since */
	bool other_life; /* a listing has named an earlier one since it was
			    last named */
	uint64_t fence; /* used for the next order */
	uint32_t fence_rejections; /* consecutive orders rejected with the
				      current fence */
	bool fence_held; /* this boot has answered a listing under a fence of
			    this agent */
	int64_t superseded_until; /* no orders before this time: another agent
				     gives them; 0: this agent does */
	int64_t stand_down; /* length of the last such time */
	bool no_foreign_runs; /* a listing of this boot showed no foreign run */
	int64_t list_clock_ms; /* worker's clock in the last listing applied */
	int64_t leases_expired_at; /* by then all leases have expired that were
				      granted by orders no longer in flight */
	int64_t answered_at;
	int64_t unanswered_since; /* first unanswered order; 0: none */
	uint32_t not_sent; /* consecutive orders without a connection */
	int64_t list_retry; /* interval from the last unanswered listing to the
			       next; 0: the last one was answered */
	uint64_t acked; /* last end number processed */
	uint64_t ack_sent; /* last end number whose acknowledgement the worker
			      has received */
	bool fence_unconfirmed; /* no listing under the current fence was
				   answered yet */
	uint64_t lists[LISTS_MAX]; /* order ids, in flight; 0: none */
	int64_t list_sent_at; /* of the last listing */
	uint64_t fence_list; /* order id of the listing that confirms the fence;
				0: none */
	int64_t list_after; /* earliest time of the next listing */
};

struct mlk_runner {
	struct mlk_runner_options options;
	struct mlk_runner_counters counters;
	struct worker worker;
	int64_t claimed_at; /* time of the first event, or of the last take-over
			       from another agent */
	int64_t now;
	bool predecessor_done; /* no run of an earlier agent is left */
	bool stopping;
	int64_t stop_at; /* latest time of EXIT */
	bool exited;
	GPtrArray *entries; /* struct entry */
	uint64_t newest_row; /* highest version of a row with an address */
	GPtrArray *runs; /* struct run, unordered */
	GHashTable *by_name; /* struct mlk_run_name * -> struct run */
	GHashTable *orders; /* id -> struct order */
	uint64_t last_order;
	uint32_t last_connect;
	struct mlk_resources reserved;
	uint32_t nactive; /* runs that hold resources */
	GArray *offers; /* struct offer */
	uint64_t last_offer;
	struct mlk_resources offered;
	GPtrArray *held; /* struct held_task, oldest first */
	struct mlk_resources held_resources;
	struct health health;
	struct evacuations evacuations;
	struct speed speed; /* of the worker */
	uint64_t evacuations_changed; /* version of the last set that differed
					 from the one before */
	enum mlk_worker_state state; /* as last reported to entries */
	bool takes_work; /* as last reported to entries */
	uint64_t list_number;
	struct corun *corun; /* NULL: mode off */
	int64_t corun_at; /* of the last report */
	int64_t kind_at; /* a measured run began last; 0: none has */
	uint32_t named[RUNNER_NAMED_MAX]; /* kinds named in verdicts */
	uint32_t nnamed;
	uint32_t named_changes;
	int64_t named_until; /* when they expire */
	struct mlk_runner_effects *out; /* of the current event */
};

/* runner.c */
void runner_log(struct mlk_runner *r, enum mlk_log_level level,
    const struct run *run, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
struct mlk_resources runner_free(const struct mlk_runner *r);
enum mlk_worker_state runner_state(const struct mlk_runner *r);
bool runner_takes_work(const struct mlk_runner *r);
bool runner_on_probation(const struct mlk_runner *r);
bool runner_superseded(const struct mlk_runner *r);

/* runner_runs.c */
uint64_t runner_job_key(const struct run *run);
struct run *runner_run_find(
    struct mlk_runner *r, const struct mlk_run_name *name);
void runner_run_add(struct mlk_runner *r, struct entry *e,
    const struct mlk_msg *msg, const struct mlk_run_task *task, GBytes *spec);
void runner_run_start(struct mlk_runner *r, struct entry *e,
    const struct mlk_msg *msg, const struct mlk_run_task *task, GBytes *spec,
    const struct mlk_resources *free);
void runner_run_reject(struct mlk_runner *r, struct entry *e,
    const struct mlk_msg *msg, const struct mlk_run_task *task,
    enum mlk_run_end end);
void runner_run_ended(
    struct mlk_runner *r, struct run *run, enum mlk_run_end end);
void runner_run_confirmed(struct mlk_runner *r, struct run *run);
void runner_run_stop(
    struct mlk_runner *r, struct run *run, enum mlk_run_end end);
void runner_runs_lost(struct mlk_runner *r, const char *cause);
void runner_runs_due(struct mlk_runner *r);

/* runner_waiting.c */
void runner_run_begin(struct mlk_runner *r, struct run *run);
bool runner_has_waiting(const struct mlk_runner *r);
void runner_waiting_unanswered(struct mlk_runner *r);
void runner_waiting_due(struct mlk_runner *r);

/* runner_held.c */
GPtrArray *runner_held_create(void);
void runner_forecast_end(
    const struct mlk_runner *r, struct run *run, uint32_t percent);
struct mlk_resources runner_free_soon(const struct mlk_runner *r);
bool runner_hold(struct mlk_runner *r, struct entry *e,
    const struct mlk_msg *msg, const struct mlk_run_task *task, GBytes *spec);
void runner_held_due(struct mlk_runner *r);
void runner_held_drop(
    struct mlk_runner *r, const struct entry *e, uint64_t job);

/* runner_offers.c */
void runner_offer_want(
    struct mlk_runner *r, struct entry *e, const struct mlk_want *want);
void runner_offer_end(struct mlk_runner *r, uint64_t id);
void runner_offers_forget(struct mlk_runner *r, const struct entry *e);
void runner_offers_due(struct mlk_runner *r);

/* runner_evacuations.c */
bool runner_evacuated(const struct mlk_runner *r);
void runner_evacuations(
    struct mlk_runner *r, struct entry *e, const struct mlk_evacuations *set);
void runner_evacuations_due(struct mlk_runner *r);

/* runner_orders.c */
void runner_order_start(struct mlk_runner *r, struct run *run);
bool runner_takes_reserved(const struct mlk_runner *r);
bool runner_may_start_again(const struct mlk_runner *r, const struct run *run);
void runner_order_stop(struct mlk_runner *r, struct run *run);
void runner_order_stop_foreign(
    struct mlk_runner *r, const struct mlk_run_name *name);
void runner_order_list_fence(struct mlk_runner *r, bool fresh);
void runner_order_list(struct mlk_runner *r, uint32_t slot, uint32_t wait_ms);
void runner_order_list_candidate(struct mlk_runner *r);
void runner_order_ended(
    struct mlk_runner *r, const struct mlk_runner_event *ev);
void runner_orders_forget(struct mlk_runner *r, const struct run *run);
void runner_fence_raise(struct mlk_runner *r, const char *cause);
void runner_take_over_due(struct mlk_runner *r);

/* runner_listing.c */
void runner_listed(struct mlk_runner *r, const struct mlk_runner_event *ev,
    const struct order *order);
void runner_list_due(struct mlk_runner *r);

/* runner_health.c */
void runner_health_judge(struct mlk_runner *r);
void runner_health_ended(
    struct mlk_runner *r, const struct run *run, enum mlk_run_end end);
void runner_health_started(struct mlk_runner *r, bool answered);
void runner_health_due(struct mlk_runner *r);

/* runner_corun.c */
void runner_corun_load(struct mlk_runner *r);
void runner_corun_begin(struct mlk_runner *r, struct run *run);
void runner_corun_progress(struct mlk_runner *r, const struct run *run);
void runner_corun_end(
    struct mlk_runner *r, struct run *run, enum mlk_run_end end);
void runner_corun_verdicts(struct mlk_runner *r, const struct mlk_msg *msg);
void runner_corun_due(struct mlk_runner *r);

/* runner_worker.c */
void runner_note_clock(struct mlk_runner *r, int64_t clock_ms);
int64_t runner_lease_end(const struct mlk_runner *r);
int64_t runner_lease_until(struct mlk_runner *r, int64_t *expired_at);
void runner_note_boot(struct mlk_runner *r, uint64_t boot);
bool runner_away(const struct mlk_runner *r);
void runner_announced(
    struct mlk_runner *r, const struct mlk_announcement *announced);
void runner_candidate_due(struct mlk_runner *r);
void runner_candidate_listed(
    struct mlk_runner *r, const struct mlk_runner_event *ev);
void runner_disowned(struct mlk_runner *r, const struct order *order);
void runner_left(struct mlk_runner *r, const char *worker, uint64_t request);
void runner_leave_due(struct mlk_runner *r);
void runner_ack_notice(struct mlk_runner *r);
void runner_answered(struct mlk_runner *r);
void runner_unanswered(struct mlk_runner *r, bool sent);
void runner_worker_due(struct mlk_runner *r);

/* runner_links.c */
void runner_entry_reported(
    struct mlk_runner *r, const char *addr, uint64_t version);
struct entry *runner_entry_learn(
    struct mlk_runner *r, const char *addr, bool configured, uint64_t version);
void runner_link_up(struct mlk_runner *r, uint32_t link, uint32_t connect);
void runner_link_down(struct mlk_runner *r, uint32_t link, uint32_t connect);
void runner_msg(struct mlk_runner *r, uint32_t link, const struct mlk_msg *msg);
struct mlk_msg *runner_send(
    struct mlk_runner *r, struct entry *e, enum mlk_msg_type type);
uint64_t runner_now_ms(const struct mlk_runner *r);
void runner_links_due(struct mlk_runner *r);
void runner_links_flush(struct mlk_runner *r);
void runner_entry_free(gpointer data);

#endif
