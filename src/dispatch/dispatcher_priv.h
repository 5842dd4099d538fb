/*
 * State of the dispatcher, shared by the dispatcher_*.c files.
 *
 * A job lives at the entry that its caller reached, from the request to the
 * answer.  Its tasks wait in the queue until a worker has room by this entry's
 * copy of the worker's load, go to that worker's agent in a RUN message, and
 * come back in ENDS; what is not done then waits again.
 */
#ifndef MLK_DISPATCH_DISPATCHER_PRIV_H
#define MLK_DISPATCH_DISPATCHER_PRIV_H

#include <inttypes.h>

#include <glib.h>

#include <monsoonlock/dispatch.h>

#include "effects.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)

#define LINKS_MAX 4096
#define REQUESTS_MAX 4 /* that wait for the same job */
#define AVOID_MAX 4 /* agents at which a job's tasks failed or stood still */
#define AGENT_BEAT_BUSY_NS (250 * MS) /* of PING, while tasks are there */
#define AGENT_BEAT_IDLE_NS (1000 * MS)
#define AGENT_SILENT_BUSY_NS (700 * MS) /* then its link is closed */
#define AGENT_SILENT_IDLE_NS (3000 * MS)
/*
 * From the end of a link until every run that was started over it is over:
 * agents see to it, or the leases that they gave have run out.
 */
#define DETACHED_NS (1250 * MS)
#define PEER_BEAT_NS (500 * MS)
#define PEER_SILENT_NS (2500 * MS)
#define WHOLE_LIST_NS (1000 * MS) /* between two agents that are told all */
#define CONNECT_RETRY_NS (100 * MS)
#define CONNECT_RETRY_MAX_NS (2000 * MS)
#define PEER_FORGET_NS (60000 * MS)
/* An event that comes so long after the one before tells of a pause. */
#define PAUSE_NS (250 * MS)
/*
 * To read what arrived meanwhile; the event loop looks for callers that have
 * left every 100 ms.
 */
#define PAUSE_GRACE_NS (150 * MS)
/* The least, and where nothing tells when a refused caller would be served. */
#define RETRY_AFTER_MS 1000
/*
 * After its start an entry has a routing table within 0.1 s and agents within
 * 1 to 2 s, so that a job does better to wait than to be refused.
 */
#define WARM_UP_NS (3000 * MS)
#define PARKED_MAX 1000U /* requests that wait for the routing table */
/*
 * After a stop began, the balancer's checks, one a second of which two must
 * fail, still send new connections for so long.
 */
#define BALANCER_NS (2500 * MS)

enum link_kind {
	LINK_NEW, /* nothing has arrived yet */
	LINK_AGENT,
	LINK_PEER_IN, /* accepted from a peer */
	LINK_PEER_OUT, /* connected to a peer */
};

struct link {
	uint32_t link;
	enum link_kind kind;
	struct agent *agent;
	struct peer *peer;
};

struct peer {
	char addr[MLK_ADDR_MAX];
	bool configured;
	struct mlk_peer_info info; /* id empty until known */
	bool news; /* the agents have not been told */
	uint32_t connect;
	uint32_t link; /* outgoing; 0: none */
	int64_t retry_at;
	int64_t retry_ns;
	int64_t reached_at;
	int64_t heard;
	int64_t sent;
};

/* A RUN message that the agent's load does not show yet. */
struct unseen {
	uint64_t seq;
	struct mlk_room room; /* of all its tasks */
};

struct agent {
	char id[MLK_NAME_MAX];
	uint64_t incarnation;
	bool near; /* in this entry's data centre */
	uint32_t link; /* 0: none */
	bool known; /* a WORKER has arrived on this link */
	struct mlk_worker_info info;
	struct mlk_worker_load load; /* as of the last message */
	GArray *unseen; /* struct unseen, oldest first */
	uint64_t seq; /* of the last RUN on this link */
	int64_t heard;
	int64_t sent;
	uint64_t echo; /* its clock when it sent what came last */
	GPtrArray *tasks; /* in flight here, or detached */
	int64_t want_at; /* what is wanted was told last */
	uint32_t want_tasks; /* as told */
	int64_t want_start; /* its urgency as a time, as told */
	int64_t detached_until; /* its tasks are over then; 0: attached */
};

enum task_state {
	TASK_BLOCKED, /* steps before its own are not done; or in between */
	TASK_QUEUED,
	TASK_SENT, /* -> QUEUED, DETACHED, or DONE */
	TASK_DETACHED, /* its link is closed; -> QUEUED when it is over */
	TASK_DONE,
};

struct task {
	struct job *job;
	uint32_t step;
	uint32_t index;
	enum task_state state;
	struct agent *agent; /* SENT, DETACHED */
	uint32_t failures;
	uint32_t moves; /* away from sick workers */
	double work; /* expected, while QUEUED */
};

/* What is known of the run times of a route's tasks. */
struct pace {
	uint32_t n; /* runs, up to PACE_RUNS */
	double log_ratio; /* mean of log2(run time / caller's estimate) */
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
	int64_t goal_ns; /* response time that the route aims at */
	int64_t start_by; /* to meet the goal; orders the queue */
	GBytes *spec;
	uint32_t nsteps;
	struct mlk_step *steps;
	uint32_t *left; /* tasks not done, by step */
	uint32_t ntasks;
	struct task *tasks;
	uint32_t nleft; /* tasks not done */
	uint32_t nqueued;
	uint32_t nsent; /* SENT or DETACHED */
	bool ran; /* a run of it has been at work */
	struct agent *avoid[AVOID_MAX];
	uint32_t navoid;
	GSequenceIter *place; /* in the queue; NULL: nothing is queued */
};

/* A request that came before the routing table. */
struct parked {
	uint64_t request;
	char request_id[MLK_NAME_MAX];
	char host[MLK_HOST_MAX];
	char path[MLK_HOST_MAX];
	uint32_t deadline_ms;
	int64_t arrived;
	struct mlk_work work; /* owns its spec and steps */
	bool valid; /* it has work */
};

/* How fast work drains, in thousandths of a core times ms per ns. */
struct drain {
	int64_t since; /* start of the window */
	double sent; /* in it */
	double rate;
	int64_t next_return; /* of a caller that is refused */
};

struct mlk_dispatcher {
	struct mlk_dispatcher_options options;
	struct mlk_dispatch_counters counters;
	struct mlk_rng rng;
	int64_t created; /* time of the first event */
	int64_t now;
	int64_t paused_until; /* silence is not judged before */
	int64_t pause; /* length of the last pause; 0 once it is past */
	struct mlk_routing routing;
	GHashTable *links; /* link -> struct link */
	GPtrArray *peers; /* struct peer */
	bool peer_news; /* of one of them */
	int64_t whole_list_at; /* the next agent is told all of them */
	guint whole_list_turn; /* the last that was */
	GPtrArray *agents; /* struct agent */
	uint32_t last_connect;
	GHashTable *jobs; /* handle -> struct job */
	GHashTable *by_id; /* id -> struct job */
	GHashTable *by_request; /* request -> struct job */
	uint64_t last_job;
	GQueue parked; /* struct parked */
	GHashTable *paces; /* route name -> struct pace */
	GSequence *queue; /* struct job with queued tasks, most urgent first */
	uint32_t nqueued; /* tasks */
	double queued_work; /* of them */
	struct drain drain;
	uint32_t nsent;
	bool place; /* room or queue has changed */
	bool backlog; /* the last look at all of the queue left some of it, and
			 it is not empty */
	GPtrArray *roomier; /* agents whose load was told since */
	GArray *fresh; /* handles of jobs that were queued since */
	uint32_t want_turn; /* first agent to be told what is wanted */
	bool use_sick; /* too many workers are sick to leave them out */
	bool stopping;
	int64_t stop_since;
	bool exited;
	struct mlk_dispatch_effects *out;
};

enum walk_part {
	WALK_IN_TIME,
	WALK_LATE_BEGUN,
	WALK_LATE_REST,
};

/* A look at the jobs that wait, in the order in which they get room. */
struct queue_walk {
	struct mlk_dispatcher *d;
	enum walk_part part;
	GSequenceIter *next; /* valid while there are more in this part */
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
void dispatch_gone(struct mlk_dispatcher *d, uint64_t request);
bool dispatch_warming_up(const struct mlk_dispatcher *d);

/* dispatcher_parked.c */
bool dispatch_park(
    struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev);
void dispatch_unpark(struct mlk_dispatcher *d);
bool dispatch_parked_gone(struct mlk_dispatcher *d, uint64_t request);
void dispatch_parked_due(struct mlk_dispatcher *d);
void dispatch_parked_free(gpointer data);
void dispatch_task_ended(struct mlk_dispatcher *d, struct task *task,
    enum mlk_run_end end, uint32_t run_ms);
void dispatch_task_detach(struct task *task);
void dispatch_jobs_due(struct mlk_dispatcher *d);
void dispatch_jobs_end(struct mlk_dispatcher *d);
void dispatch_job_free(gpointer data);

/* dispatcher_queue.c */
void dispatch_enqueue(struct mlk_dispatcher *d, struct task *task);
void dispatch_dequeue(struct mlk_dispatcher *d, struct task *task);
void dispatch_walk_begin(struct mlk_dispatcher *d, struct queue_walk *walk);
struct job *dispatch_walk_next(struct queue_walk *walk);
void dispatch_queue_want(
    struct mlk_dispatcher *d, const char *pool, struct mlk_want *want);

/* dispatcher_drain.c */
double dispatch_task_work(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);
void dispatch_drain_sent(struct mlk_dispatcher *d, double work);
void dispatch_drain_due(struct mlk_dispatcher *d);
uint32_t dispatch_return_ms(struct mlk_dispatcher *d, const struct job *job);

/* dispatcher_place.c */
void dispatch_place(struct mlk_dispatcher *d, bool tick);
void dispatch_offer(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg);
bool dispatch_pool_ready(const struct mlk_dispatcher *d, const char *pool);

/* dispatcher_pace.c */
int64_t dispatch_goal_ns(struct mlk_dispatcher *d, const struct job *job,
    uint32_t target_ms, uint32_t stretch, int64_t *work_ns);
void dispatch_pace_note(struct mlk_dispatcher *d, const struct job *job,
    uint32_t step, uint32_t run_ms);
uint32_t dispatch_pace_expected(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);
uint32_t dispatch_pace_ms(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step);

/* dispatcher_agents.c */
void dispatch_attach(
    struct mlk_dispatcher *d, struct link *link, const struct mlk_msg *msg);
void dispatch_worker(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg);
void dispatch_ends(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg);
void dispatch_agent_down(struct mlk_dispatcher *d, struct agent *a);
void dispatch_agents_due(struct mlk_dispatcher *d);
bool dispatch_agent_fit(const struct agent *a);
struct mlk_room dispatch_agent_free(const struct agent *a);
void dispatch_agent_free_record(gpointer data);

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
