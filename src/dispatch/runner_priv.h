/*
 * State of the runner, shared by the runner_*.c files.
 *
 * A run is in one table from the RUN message that asks for it until its end
 * is known; its room is reserved from the moment a start is sent.  An entry is
 * known by its address; its runs are stopped when its link ends or its lease
 * runs out, and the next ATTACH waits until none is left.
 */
#ifndef MLK_DISPATCH_RUNNER_PRIV_H
#define MLK_DISPATCH_RUNNER_PRIV_H

#include <inttypes.h>

#include <glib.h>

#include <monsoonlock/dispatch.h>

#include "effects.h"
#include "health.h"
#include "skew.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)

#define RUNNER_ENTRIES_MAX 256 /* entries known at a time */
#define RUNNER_RUNS_MAX 8192 /* runs in the table */
/*
 * Time in which the worker beside answers an order that does not wait.  It
 * takes about 1 ms; an agent with 0.15 of a core may be some tens of ms late
 * itself.
 */
#define ORDER_TIMEOUT_MS 50
/*
 * A listing that waits so long gets a second one beside it.  Were it lost, no
 * end would be seen and no room freed until it times out.
 */
#define LIST_HEDGE_NS (30 * MS)
#define LISTS_MAX 2
/* From the worker's last word to the end of all that it runs. */
#define LEFT_NS (100 * MS)
#define LIST_WAIT_MS 100 /* bounds the age of what is known of progress */
#define LIST_RETRY_NS (20 * MS) /* between looks at runs that must go */
/* Unanswered for so long, a worker is offered to nobody. */
#define AWAY_NS (250 * MS)
#define PROBE_NS (200 * MS) /* between looks at a worker that is away */
#define IDLE_LIST_NS (500 * MS) /* between looks at an idle worker */
#define STOP_RETRY_NS (100 * MS)
/*
 * All runs at a worker share one lease.  It never goes further than this from
 * the time at which a run was to be stopped, or from the last sign of an entry
 * that has runs here: both must be over when their job may start elsewhere,
 * 1,250 ms after, also when the worker answers no order.  Of that, 250 ms are
 * for the error of ages and 2 % for the worker's clock.
 */
#define LEASE_LIMIT_NS (950 * MS)
#define LEASE_MIN_NS (300 * MS) /* nothing is started under a shorter one */
/* A steady clock of a worker may be slow by 2 %; and a call takes its time. */
#define LEASE_SLACK_PERCENT 3
#define LEASE_SLACK_NS (50 * MS)
#define STALE_RUN_MS 400 /* an older RUN is not started */
#define START_TRIES_MAX 6
#define FENCE_SHIFT 8 /* room between the fences of successive agents */
#define BEAT_BUSY_NS (250 * MS) /* of WORKER, while the entry has runs here */
#define BEAT_IDLE_NS (1000 * MS)
#define LINK_SILENT_NS (3000 * MS) /* then an idle link is closed */
/*
 * After a loss of power everything starts within a second, in any order: an
 * entry that refused is tried again soon, one that stays away more seldom.
 */
#define CONNECT_RETRY_NS (60 * MS)
#define CONNECT_RETRY_MAX_NS (1000 * MS)
/* An entry that was learned and not reached for so long is forgotten. */
#define ENTRY_FORGET_NS (60000 * MS)

enum run_state {
	RUN_STARTING, /* start sent; -> ACTIVE, DOUBT, or ended not run */
	RUN_DOUBT, /* no answer to the start; -> ACTIVE, STARTING, or ended */
	RUN_ACTIVE, /* -> STOPPING, or ended */
	RUN_STOPPING, /* -> ended */
};

struct entry {
	char addr[MLK_ADDR_MAX];
	bool configured; /* from the settings: never forgotten */
	uint32_t connect; /* id of the attempt under way; 0: none */
	uint32_t link; /* 0: none */
	bool attached; /* ATTACH was sent on this link */
	int64_t retry_at;
	int64_t retry_ns;
	int64_t reached_at; /* last link up or down, or when it was learned */
	struct mlk_peer_info info; /* from WELCOME; id empty until then */
	struct mlk_skew skew;
	int64_t heard; /* when what arrived last was sent */
	int64_t sent; /* last message to it */
	uint64_t seen; /* seq of its last RUN */
	uint32_t nruns; /* in the table */
	GArray *ends; /* struct mlk_run_result, to be sent */
	struct mlk_want want;
	int64_t want_at; /* its urgency as a time */
	int64_t want_until; /* it is out of date then */
	bool report; /* a WORKER is due at once */
	struct mlk_worker_load reported;
};

struct run {
	enum run_state state;
	struct entry *entry;
	uint64_t job; /* the entry's handle */
	struct mlk_run_name name;
	struct mlk_room room;
	GBytes *spec;
	uint32_t expected_ms;
	bool movable; /* may be stopped for the worker's sake */
	struct health_run health;
	int64_t deadline; /* no run of the job after it */
	uint64_t order; /* start or stop under way; 0: none */
	uint64_t fence; /* of the last start */
	uint32_t tries; /* starts sent */
	int64_t sent_at; /* of the last start */
	int64_t confirmed_at; /* known to be at work since */
	int64_t stop_at; /* a stop is wanted since */
	int64_t stop_sent_at;
	bool stop_wanted; /* as soon as it is known to be at work */
	enum mlk_run_end stop_end; /* how such an end is reported */
	uint64_t listed; /* the last listing that showed it */
};

/* Room that is kept for an entry until it answers. */
struct offer {
	uint64_t id;
	struct entry *entry;
	struct mlk_room room;
	int64_t until;
};

/* A call to the worker that has not been answered. */
struct order {
	uint64_t id;
	enum mlk_order_type type;
	struct run *run; /* NULL: LIST, the run has ended, or a foreign one */
	uint64_t fence;
	uint64_t ack; /* LIST */
	int64_t sent_at;
};

struct worker {
	bool known; /* was announced */
	struct mlk_worker_info info; /* as announced */
	uint64_t seq;
	int64_t left_at; /* it said that it ends; 0: it has not */
	int64_t clock_ms; /* the worker's clock at clock_at; 0: unknown */
	int64_t clock_at;
	uint64_t boot; /* of the last listing or announcement */
	uint64_t fence; /* of the next order */
	uint32_t fenced; /* orders refused in a row under the present fence */
	bool cleared; /* a listing of this boot showed no foreign runs */
	int64_t listed_ms; /* the worker's clock at the last listing used */
	int64_t lapse_at; /* every run without a renewal is over then */
	int64_t answered_at;
	int64_t unanswered_since; /* 0: no order is */
	uint32_t refused; /* connections refused in a row */
	int64_t refused_since; /* the first of those orders was sent */
	uint64_t acked; /* ends up to this are done with */
	uint64_t ack_sent; /* and the worker knows */
	bool settle; /* a listing under the present fence is needed */
	uint64_t lists[LISTS_MAX]; /* order ids of those under way; 0: none */
	int64_t list_sent_at; /* of the last one */
	uint64_t settle_list; /* order id of the settling one */
	int64_t list_after; /* not before */
};

struct mlk_runner {
	struct mlk_runner_options options;
	struct mlk_runner_counters counters;
	struct worker worker;
	int64_t created; /* time of the first event */
	int64_t now;
	bool clean; /* no run of an earlier agent is left */
	bool stopping;
	int64_t stop_at; /* EXIT at the latest */
	bool exited;
	GPtrArray *entries; /* struct entry */
	GPtrArray *runs; /* struct run, in no order */
	GHashTable *by_name; /* struct mlk_run_name * -> struct run */
	GHashTable *orders; /* id -> struct order */
	uint64_t last_order;
	uint32_t last_connect;
	struct mlk_room reserved;
	uint32_t nactive; /* runs, each of which holds room */
	GArray *offers; /* struct offer */
	uint64_t last_offer;
	struct mlk_room offered;
	struct health health;
	enum mlk_worker_state state; /* as the entries know it */
	bool takes_work; /* as they know it */
	uint64_t list_number;
	struct mlk_runner_effects *out; /* of the event in hand */
};

/* runner.c */
void runner_log(struct mlk_runner *r, enum mlk_log_level level,
    const struct run *run, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
struct mlk_room runner_free(const struct mlk_runner *r);
enum mlk_worker_state runner_state(const struct mlk_runner *r);
bool runner_takes_work(const struct mlk_runner *r);
bool runner_on_trial(const struct mlk_runner *r);

/* runner_runs.c */
uint64_t runner_job_key(const struct run *run);
struct run *runner_run_find(
    struct mlk_runner *r, const struct mlk_run_name *name);
void runner_run_add(struct mlk_runner *r, struct entry *e,
    const struct mlk_msg *msg, const struct mlk_run_task *task, GBytes *spec);
void runner_run_ended(
    struct mlk_runner *r, struct run *run, enum mlk_run_end end);
void runner_run_confirmed(struct mlk_runner *r, struct run *run);
void runner_run_stop(
    struct mlk_runner *r, struct run *run, enum mlk_run_end end);
/* INT64_MAX: also those whose start has not been answered. */
void runner_runs_lost(
    struct mlk_runner *r, int64_t confirmed_before, const char *cause);
void runner_runs_due(struct mlk_runner *r);

/* runner_offers.c */
void runner_offer_want(
    struct mlk_runner *r, struct entry *e, const struct mlk_want *want);
void runner_offer_end(struct mlk_runner *r, uint64_t id);
void runner_offers_forget(struct mlk_runner *r, const struct entry *e);
void runner_offers_due(struct mlk_runner *r);

/* runner_orders.c */
void runner_order_start(struct mlk_runner *r, struct run *run);
bool runner_may_start_again(const struct mlk_runner *r, const struct run *run);
void runner_order_stop(struct mlk_runner *r, struct run *run);
void runner_order_stop_foreign(
    struct mlk_runner *r, const struct mlk_run_name *name);
void runner_order_settle(struct mlk_runner *r);
void runner_order_list(struct mlk_runner *r, uint32_t slot, uint32_t wait_ms);
void runner_order_ended(
    struct mlk_runner *r, const struct mlk_runner_event *ev);
void runner_orders_forget(struct mlk_runner *r, const struct run *run);
void runner_fence_raise(struct mlk_runner *r, const char *cause);

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

/* runner_worker.c */
void runner_clock(struct mlk_runner *r, int64_t clock_ms);
int64_t runner_lease_end(const struct mlk_runner *r);
int64_t runner_lease_until(struct mlk_runner *r);
void runner_boot(struct mlk_runner *r, uint64_t boot);
bool runner_away(const struct mlk_runner *r);
void runner_announced(
    struct mlk_runner *r, const struct mlk_announcement *announced);
void runner_left(struct mlk_runner *r, const char *worker);
void runner_answered(struct mlk_runner *r);
void runner_unanswered(
    struct mlk_runner *r, const struct order *order, bool refused);
void runner_worker_due(struct mlk_runner *r);

/* runner_links.c */
struct entry *runner_entry_learn(
    struct mlk_runner *r, const char *addr, bool configured);
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
