/*
 * State of the dispatcher, shared by the dispatcher_*.c files.
 *
 * A job is kept by the entry that received it, from the request to the answer.
 * Its tasks wait in the queue until a worker has enough free resources
 * according to this entry's copy of the worker's load.  They are then sent to
 * that worker's agent in a RUN message, and their results return in ENDS; tasks
 * that are not done are queued again.
 *
 * Functions named *_due perform the periodic work whose time has come.
 */
#ifndef MLK_DISPATCH_DISPATCHER_PRIV_H
#define MLK_DISPATCH_DISPATCHER_PRIV_H

#include <inttypes.h>

#include <glib.h>

#include <monsoonlock/dispatch.h>

#include "demand.h"
#include "effects.h"
#include "evacuations.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)

#define LINKS_MAX 4096
#define PEERS_MAX 1024 /* known entries; docs/CAPACITY.md expects 67 to 250 */
#define REQUESTS_MAX 4 /* requests waiting for the same job */
#define AVOID_MAX 4 /* agents where tasks of a job failed or stalled */
#define AGENT_PING_BUSY_NS (250 * MS) /* while tasks are in flight */
#define AGENT_PING_IDLE_NS (1000 * MS)
#define AGENT_TIMEOUT_BUSY_NS (700 * MS) /* silence that closes the link */
#define AGENT_TIMEOUT_IDLE_NS (3000 * MS)
/*
 * Time after the end of a link by which every run that was started over it has
 * ended: the agent stops the runs or, if it is gone, their leases expire.  The
 * tasks are then queued again.
 */
#define DETACHED_NS (1250 * MS)
#define PEER_PING_NS (500 * MS)
#define PEER_TIMEOUT_NS (2500 * MS)
#define FULL_LIST_INTERVAL_NS (1000 * MS) /* between two full peer lists */
#define CONNECT_RETRY_NS (100 * MS)
#define CONNECT_RETRY_MAX_NS (2000 * MS)
#define PEER_FORGET_NS (60000 * MS)
/* A longer gap between two events means that the process was paused. */
#define PAUSE_NS (250 * MS)
/*
 * After a pause, no link is timed out and no task is placed for this long, so
 * that what arrived during the pause is read first.  The event loop checks
 * every 100 ms for callers that have disconnected.
 */
#define PAUSE_GRACE_NS (150 * MS)
/* Minimum Retry-After; also used if there is no backlog or no drain rate. */
#define RETRY_AFTER_MIN_MS 1000
/*
 * After its start an entry has a routing table within 0.1 s and agents within 1
 * to 2 s.  A request that lacks one of them is held during this time and
 * refused if it arrives later.
 */
#define WARM_UP_NS (3000 * MS)
#define PARKED_MAX 1000U /* requests that wait for the routing table */
/*
 * Time after the start of a planned stop (graceful shutdown) during which the
 * load balancer may still send new connections: its health check runs once a
 * second and has to fail twice.
 */
#define BALANCER_DRAIN_NS (2500 * MS)

enum link_kind {
	LINK_NEW, /* no message has arrived yet */
	LINK_AGENT,
	LINK_PEER_IN, /* accepted */
	LINK_PEER_OUT, /* initiated */
};

struct link {
	uint32_t link;
	enum link_kind kind;
	struct agent *agent;
	struct peer *peer;
	char id[MLK_NAME_MAX]; /* of the peer; empty until its PEER_HELLO */
};

struct peer {
	char addr[MLK_ADDR_MAX];
	bool configured;
	struct mlk_peer_info info; /* id empty until its PEER_HELLO arrives */
	bool unannounced; /* not yet announced to the agents */
	uint32_t connect;
	uint32_t link; /* outgoing link; 0: none */
	int64_t retry_at;
	int64_t retry_ns;
	int64_t reached_at; /* time when the last link ended, or when the
			       address was learned */
	int64_t last_recv;
	int64_t last_sent;
};

/* A RUN message that the agent's reported load does not include yet. */
struct unacked {
	uint64_t seq;
	struct mlk_resources resources; /* total of its tasks */
};

struct agent {
	char id[MLK_NAME_MAX];
	uint64_t incarnation;
	char dc[MLK_NAME_MAX];
	bool same_dc; /* in the data centre of this entry */
	bool evacuated; /* its data centre is; it gets no tasks */
	uint64_t evacuations_sent; /* highest version sent on this link */
	uint64_t evacuations_confirmed; /* highest confirmed on it */
	uint32_t link; /* 0: none */
	bool has_info; /* a WORKER message has arrived on this link */
	struct mlk_worker_info info;
	struct mlk_worker_load load; /* as last reported */
	GArray *unacked; /* struct unacked, oldest first */
	uint64_t seq; /* of the last RUN sent on this link */
	int64_t last_recv;
	int64_t busy_since; /* when the first of its present tasks was sent */
	int64_t last_sent;
	uint64_t echo; /* sent_at of its last message, for the next PING */
	GPtrArray *tasks; /* in flight at this agent, or detached */
	int64_t want_at; /* time of the last WANT sent */
	uint32_t want_tasks; /* tasks in the last WANT */
	int64_t want_start; /* urgency in the last WANT, as a time */
	/*
	 * Speeds in log2, relative to the mean of the pool; 0 unless its speeds
	 * are `uneven`.
	 */
	bool uneven;
	double log_speed; /* of its worker */
	double log_fastest; /* of the fastest worker in the pool */
	GArray *seen; /* kinds that interfere, at its worker; NULL: none */
	uint32_t verdicts_link; /* on which it got the verdicts */
	uint32_t nverdicts; /* that it got last */
	uint64_t verdicts_generation;
	int64_t verdicts_at;
	int64_t detached_until; /* time at which its detached tasks count as
				   lost; 0: none */
};

enum task_state {
	TASK_BLOCKED, /* waits for earlier steps; also used between two other
			 states */
	TASK_QUEUED,
	TASK_SENT, /* -> QUEUED, DETACHED, or DONE */
	TASK_DETACHED, /* its link is closed; -> QUEUED when the run has
			  certainly ended */
	TASK_DONE,
};

struct task {
	struct job *job;
	uint32_t step;
	uint32_t index;
	enum task_state state;
	struct agent *agent; /* SENT, DETACHED */
	uint32_t failures;
	uint32_t moves; /* times it was moved off an unhealthy worker */
	double work; /* expected work, while QUEUED or SENT */
};

/* What is needed to compare workers by speed for the tasks of a step. */
struct time_fit {
	const struct runtime_dist *dist; /* of the route; NULL: speeds are not
					    used */
	double ratio; /* log2(time left / caller's estimate) */
};

struct job {
	uint64_t handle;
	char id[MLK_ID_MAX];
	char request_id[MLK_NAME_MAX];
	uint64_t requests[REQUESTS_MAX];
	uint32_t nrequests;
	char pool[MLK_NAME_MAX];
	char route[MLK_NAME_MAX];
	uint32_t priority;
	uint32_t attempts;
	int64_t arrived;
	int64_t deadline;
	int64_t goal_ns; /* target response time */
	int64_t work_ns; /* expected run time of its longest chain of steps */
	int64_t start_by; /* latest start that meets goal_ns; sort key of the
			     queue */
	int64_t wait_expected; /* estimate at its arrival */
	bool within_share; /* its queue was within its share at that time */
	GBytes *spec;
	uint32_t nsteps;
	struct mlk_step *steps;
	uint32_t *left; /* tasks not done, per step */
	uint32_t ntasks;
	struct task *tasks;
	uint32_t nleft; /* tasks not done */
	uint32_t nqueued;
	uint32_t nsent; /* SENT or DETACHED */
	bool ran; /* a run of it has started */
	bool extended; /* start_by refers to a late but useful result */
	struct agent *avoid[AVOID_MAX];
	uint32_t navoid;
	GSequenceIter *queue_iter; /* NULL: no task is queued */
};

/* A request that arrived before the routing table. */
struct parked {
	uint64_t request;
	char request_id[MLK_NAME_MAX];
	char host[MLK_HOST_MAX];
	char path[MLK_HOST_MAX];
	uint32_t deadline_ms;
	int64_t arrived;
	struct mlk_work work; /* owns its spec and steps */
	bool valid; /* false: the request was malformed */
};

/*
 * Rate at which queued work is sent to workers, in units of work per ns; a unit
 * of work is a thousandth of a core for 1 ms.
 */
struct drain_rate {
	int64_t window_start; /* of the current window */
	double work_sent; /* work sent in the window */
	double rate;
	int64_t next_retry_at; /* earliest return of the next refused caller */
};

struct mlk_dispatcher {
	struct mlk_dispatcher_options options;
	struct mlk_dispatch_counters counters;
	struct mlk_rng rng;
	int64_t created; /* time of the first event */
	int64_t now;
	int64_t paused_until; /* no time-outs and no placement before this */
	int64_t pause; /* length of the last pause; 0 from paused_until on */
	struct mlk_routing routing;
	struct evacuations evacuations;
	GHashTable *links; /* link -> struct link */
	GPtrArray *peers; /* struct peer */
	bool peers_changed; /* some peer has `unannounced` set */
	int64_t full_list_at; /* time of the next full peer list */
	guint full_list_last; /* index of the agent that got the last one */
	GPtrArray *agents; /* struct agent */
	uint32_t last_connect;
	GHashTable *jobs; /* handle -> struct job */
	GHashTable *by_id; /* id -> struct job */
	GHashTable *by_request; /* request -> struct job */
	uint64_t last_job;
	GQueue parked; /* struct parked */
	GHashTable *runtimes; /* route name -> struct runtime_dist */
	GHashTable *pool_speeds; /* pool -> struct pool_speeds */
	bool uneven; /* some pool uses the speeds of its workers */
	bool speeds_changed;
	int64_t speeds_at; /* earliest time of the next update */
	GSequence *queue; /* struct job with queued tasks, by start_by */
	uint32_t nqueued; /* queued tasks */
	double queued_work; /* expected work of the queued tasks */
	struct drain_rate drain;
	struct demand *demand;
	struct admission *admission; /* NULL: every job is admitted */
	uint32_t nsent;
	bool place_due; /* free resources or the queue have changed */
	bool backlog; /* the last pass over the whole queue left tasks in it,
			 and it has not become empty since */
	GPtrArray *updated_agents; /* agents that reported a load since the last
				      pass */
	GArray *new_jobs; /* handles of jobs queued since the last pass */
	uint32_t want_next; /* index of the first agent for the next WANT */
	bool use_sick; /* unhealthy workers get tasks too, because too many are
			  unhealthy to leave them out */
	struct dispatch_interference *interference; /* NULL: mode off */
	bool stopping;
	int64_t stop_since;
	bool exited;
	struct mlk_dispatch_effects *out;
};

/*
 * While a pool is short, jobs of queues within their share come first when they
 * have less slack than this: about that of the jobs with the least.  With all
 * of them first, jobs with little slack would wait behind those with much.
 */
#define PREFERRED_SLACK_NS (100 * MS)

enum walk_part {
	WALK_WITHIN_SHARE, /* on time with little slack, and their queue is
			      within its share */
	WALK_ON_TIME, /* the others */
	WALK_LATE_STARTED,
	WALK_LATE_UNSTARTED,
};

/* An iteration over the queued jobs, the most urgent first. */
struct queue_walk {
	struct mlk_dispatcher *d;
	enum walk_part part;
	bool split; /* jobs of queues within their share come first */
	GSequenceIter *next; /* valid while `more` is set */
	bool more;
};

/* dispatcher.c */
void dispatch_log(struct mlk_dispatcher *d, enum mlk_log_level level,
    const struct job *job, const char *worker, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* dispatcher_jobs.c */
void dispatch_submit(
    struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev);
void dispatch_refuse(struct mlk_dispatcher *d,
    const struct mlk_dispatch_event *ev, enum mlk_work_outcome outcome,
    const char *cause);
void dispatch_caller_gone(struct mlk_dispatcher *d, uint64_t request);
bool dispatch_warming_up(const struct mlk_dispatcher *d);

/* dispatcher_parked.c */
bool dispatch_park(
    struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev);
void dispatch_unpark(struct mlk_dispatcher *d);
bool dispatch_parked_gone(struct mlk_dispatcher *d, uint64_t request);
void dispatch_parked_due(struct mlk_dispatcher *d);
void dispatch_parked_free(gpointer data);

/* dispatcher_jobs.c */
void dispatch_task_ended(struct mlk_dispatcher *d, struct task *task,
    enum mlk_run_end end, uint32_t run_ms);
void dispatch_task_detach(struct task *task);
void dispatch_job_refuse(
    struct mlk_dispatcher *d, struct job *job, uint32_t retry_after_ms);
void dispatch_jobs_due(struct mlk_dispatcher *d);
void dispatch_jobs_end(struct mlk_dispatcher *d);
void dispatch_job_free(gpointer data);

/* dispatcher_queue.c */
void dispatch_enqueue(struct mlk_dispatcher *d, struct task *task);
void dispatch_requeue(struct job *job, int64_t start_by);
void dispatch_dequeue(struct mlk_dispatcher *d, struct task *task);
void dispatch_walk_begin(struct mlk_dispatcher *d, struct queue_walk *walk);
struct job *dispatch_walk_next(struct queue_walk *walk);
void dispatch_queue_want(
    struct mlk_dispatcher *d, const char *pool, struct mlk_want *want);

/* dispatcher_drain.c */
double dispatch_task_work(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);
void dispatch_drain_add(struct mlk_dispatcher *d, double work);
void dispatch_drain_update(struct mlk_dispatcher *d);
uint32_t dispatch_retry_after_ms(
    struct mlk_dispatcher *d, const struct job *job);

uint32_t dispatch_retry_after_share_ms(
    struct mlk_dispatcher *d, double work, double rate, int64_t *next_retry_at);

/* dispatcher_admit.c */
struct admission *dispatch_admission_create(void);
void dispatch_admission_destroy(struct admission *admission);
void dispatch_admission_due(struct mlk_dispatcher *d);
bool dispatch_admit(struct mlk_dispatcher *d, struct job *job);
bool dispatch_any_pool_short(const struct mlk_dispatcher *d);
bool dispatch_admission_hopeless(
    struct mlk_dispatcher *d, const struct job *job);
void dispatch_admission_started(
    struct mlk_dispatcher *d, const struct job *job);
void dispatch_admission_gauges(
    const struct mlk_dispatcher *d, struct mlk_dispatch_gauges *out);

/* dispatcher_place.c */
bool dispatch_agent_usable(
    const struct mlk_dispatcher *d, const struct agent *a, const char *pool);
bool dispatch_fits_now(const struct mlk_dispatcher *d, const struct job *job);
void dispatch_place(struct mlk_dispatcher *d, bool tick);
void dispatch_offer(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg);
bool dispatch_pool_ready(const struct mlk_dispatcher *d, const char *pool);

/* dispatcher_interference.c */
struct dispatch_interference *dispatch_interference_create(
    const struct mlk_dispatcher_options *options);
void dispatch_interference_destroy(struct dispatch_interference *x);
uint32_t dispatch_kind(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);
void dispatch_corun(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg);
void dispatch_verdicts(
    struct mlk_dispatcher *d, const struct link *l, const struct mlk_msg *msg);
void dispatch_interference_due(struct mlk_dispatcher *d);
void dispatch_apart_begin(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);
uint32_t dispatch_apart_cost(const struct mlk_dispatcher *d, struct agent *a);
void dispatch_apart_sent(
    struct mlk_dispatcher *d, struct agent *a, uint32_t kind, uint32_t n);
uint32_t dispatch_interference_count(const struct mlk_dispatcher *d);

/* dispatcher_pace.c */
int64_t dispatch_goal_ns(struct mlk_dispatcher *d, const struct job *job,
    uint32_t target_ms, uint32_t stretch, int64_t *work_ns);
void dispatch_runtime_record(struct mlk_dispatcher *d, const struct job *job,
    uint32_t step, const struct agent *a, uint32_t run_ms);
uint32_t dispatch_runtime_expected_ms(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);
uint32_t dispatch_runtime_ms(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);

uint32_t dispatch_runtime_after_ms(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);

/* dispatcher_speeds.c */
void dispatch_speeds_due(struct mlk_dispatcher *d);
void dispatch_fit_begin(struct mlk_dispatcher *d, const struct job *job,
    uint32_t step, struct time_fit *fit);
uint32_t dispatch_fit_cost(
    const struct time_fit *fit, const struct agent *a, uint32_t n);
bool dispatch_fit_suits(
    const struct time_fit *fit, const struct agent *a, uint32_t n);
double dispatch_agent_log_speed(const struct agent *a);

/* dispatcher_agents.c */
void dispatch_attach(
    struct mlk_dispatcher *d, struct link *link, const struct mlk_msg *msg);
void dispatch_worker(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg);
void dispatch_ends(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg);
void dispatch_agent_down(struct mlk_dispatcher *d, struct agent *a);
void dispatch_agents_due(struct mlk_dispatcher *d);
bool dispatch_agent_takes_work(const struct agent *a);
struct mlk_resources dispatch_agent_available(const struct agent *a);
void dispatch_agent_free_record(gpointer data);

/* dispatcher_evacuations.c */
void dispatch_evacuations(
    struct mlk_dispatcher *d, const struct mlk_evacuations *set);
void dispatch_evacuations_attached(struct mlk_dispatcher *d, struct agent *a);
void dispatch_evacuations_newer(
    struct mlk_dispatcher *d, uint32_t link, uint64_t version);
void dispatch_evacuations_confirmed(
    struct mlk_dispatcher *d, struct agent *a, uint64_t version);
bool dispatch_pool_evacuated(const struct mlk_dispatcher *d, const char *pool);
void dispatch_evacuation_status(const struct mlk_dispatcher *d,
    const struct evacuated *item, struct mlk_evacuation_status *status);
void dispatch_evacuations_gauges(
    const struct mlk_dispatcher *d, struct mlk_dispatch_gauges *out);

/* dispatcher_links.c */
struct mlk_msg *dispatch_send(
    struct mlk_dispatcher *d, uint32_t link, enum mlk_msg_type type);
uint64_t dispatch_now_ms(const struct mlk_dispatcher *d);
void dispatch_close(struct mlk_dispatcher *d, uint32_t link);
struct peer *dispatch_peer_learn(
    struct mlk_dispatcher *d, const char *addr, bool configured);
void dispatch_link_up(
    struct mlk_dispatcher *d, uint32_t link, uint32_t connect);
void dispatch_link_down(
    struct mlk_dispatcher *d, uint32_t link, uint32_t connect);
void dispatch_msg(
    struct mlk_dispatcher *d, uint32_t link, const struct mlk_msg *msg);
void dispatch_send_peers(struct mlk_dispatcher *d, uint32_t link);
void dispatch_routes(
    struct mlk_dispatcher *d, const struct mlk_routing *routing);
void dispatch_peers_due(struct mlk_dispatcher *d);

#endif
