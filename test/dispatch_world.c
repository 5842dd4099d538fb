#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dispatch_world.h"
#include "fake_worker.h"

#define NS_PER_MS ((int64_t)MLK_NSEC_PER_MSEC)
#define TICK_MS 20
#define ANNOUNCE_MS 1500 /* interval of a worker's announcements */
#define LINK_DELAY_MS 1 /* least latency of a message */
#define CONNECT_TIMEOUT_MS 3000
#define RESEND_MS 1300 /* from a failed attempt to the next */
#define ATTEMPTS_MAX 3 /* an unanswered job is given up after these */
#define TASKS_MAX 12
#define TARGET_MS 60
#define KINDS 3 /* of jobs */
#define STRETCH 1600 /* of a route, thousandths of the run time */
#define ROUTE_DEADLINE_MS 1500 /* of the jobs of routes */
#define ESTIMATE_ERROR 40 /* percent, of their callers' estimates */
#define USEFUL_GOALS 3 /* a later answer is of no use */
/* Enough for three attempts of the longest deadline. */
#define SETTLE_MS 200000
#define SETTLE_STEP_MS 2000
#define DRAIN_MS 300 /* shorter than many tasks */
/* A worker whose notice to leave is not answered ends after this time. */
#define LEAVE_MIN_MS 200
#define LEAVE_MAX_MS 3000
#define LATE_MIN_MS 60 /* delay of a late order */
#define ORDER_DROP_PERCENT 40
#define CONN_REFUSED_PERCENT 40
#define CONN_RESET_PERCENT 80
#define REFUSAL_RETRIES_MAX 4U
#define LATE_MAX_MS 6000

enum event_type {
	EV_TICK_ENTRY,
	EV_TICK_AGENT,
	EV_ANNOUNCE,
	EV_SUBMIT, /* a caller sends a request for its job */
	EV_REQUEST, /* an entry reads the request */
	EV_DEADLINE, /* of an attempt; the caller gives it up */
	EV_LEAVE, /* a caller disconnects before the deadline */
	EV_MSG,
	EV_CONNECT, /* an agent's connection attempt completes or fails */
	EV_CONNECT_PEER, /* the same of an entry, to another entry */
	EV_LINK_DOWN, /* one end of a link learns that the other closed it */
	EV_ORDER, /* an order reaches the worker */
	EV_LIST_DUE, /* a waiting list order is answered */
	EV_ORDER_RESULT, /* the result of an order reaches the agent */
	EV_REPLY, /* an entry's answer reaches the caller */
	EV_CALLER_GONE, /* an entry learns that a caller disconnected */
	EV_FAULT,
	EV_RESTART, /* a process or a worker starts again */
	EV_WORKER_LEAVES, /* a draining worker sends its notice to leave */
	EV_NOTICE, /* the notice reaches the agent */
	EV_WORKER_LEFT, /* a leaving worker ends */
	EV_ARRIVAL, /* a new job */
};

/*
 * One link between an entry and an agent, or between two entries, of which the
 * one that connected takes the place of the agent.  Both ends use the same
 * handle.
 */
struct world_link {
	uint32_t id;
	bool peers; /* between two entries */
	uint32_t entry;
	uint32_t agent; /* index of an entry if `peers` is set */
	uint64_t entry_generation;
	uint64_t agent_generation;
	bool open[2]; /* state at the entry [0] and at the agent [1] */
	int64_t last_arrival[2]; /* at the entry [0], at the agent [1] */
};

struct event {
	int64_t at;
	uint64_t seq;
	enum event_type type;
	uint32_t index; /* of the process or worker */
	uint64_t generation; /* of the process; dropped if it has restarted */
	uint32_t link;
	uint32_t connect;
	bool to_agent;
	uint64_t request; /* CONNECT, FAULT: index of the entry */
	uint32_t job; /* index */
	uint32_t attempt;
	enum mlk_work_outcome outcome;
	uint32_t retry_after_ms;
	struct mlk_msg msg;
	struct mlk_order order;
	uint64_t boot; /* of the worker at the time of the order */
	bool answered; /* the result of the order reaches the agent */
	struct mlk_runner_event result;
	enum world_fault fault; /* RESTART: what to start */
	uint32_t ms; /* duration of the fault */
};

struct world_job {
	char id[MLK_ID_MAX];
	uint32_t count;
	uint32_t kind; /* 1 quick, 2 heavy, 3 light */
	uint32_t cpu; /* of each task, thousandths of a core */
	uint32_t work_ms[TASKS_MAX];
	uint32_t estimate_ms;
	int64_t sent_at; /* time of the first attempt */
	uint32_t deadline_ms;
	uint32_t goal_ms; /* target response time */
	uint32_t attempts;
	uint32_t rejected; /* attempts that were refused */
	uint32_t refusal_retries; /* attempts sent after a refusal */
	bool open; /* an attempt is in flight */
	int64_t attempt_at; /* time of the last attempt */
	uint32_t route; /* 0 without routes */
	uint32_t refusals_early; /* within a quarter of the goal */
	uint32_t untried; /* attempts whose deadline passed before a run */
	bool entry_lost; /* an attempt went to an entry that was down or was
			    killed */
	int64_t completed_at; /* 0: not completed */
	uint32_t entry; /* of that attempt */
	uint64_t request;
	bool started; /* a run of it was started at a worker */
	bool finished; /* the caller has its answer or has given up */
	uint32_t done; /* mask of tasks with a completed run */
};

struct world_entry {
	bool up;
	uint64_t generation; /* changes at each start; also the incarnation */
	struct mlk_dispatcher *d; /* NULL: down */
	int64_t paused_until;
	double clock_rate;
	int64_t clock_offset;
	char addr[MLK_ADDR_MAX];
};

struct world_agent {
	bool up;
	uint64_t generation;
	struct mlk_runner *r; /* NULL: down */
	int64_t paused_until;
	double clock_rate;
	int64_t clock_offset;
	struct fake_worker worker;
	bool refuses_when_down; /* refuses connections while it is down; else
				   orders get no answer */
	uint64_t seen_end; /* number of the last end processed */
	uint64_t announce_seq;
	bool draining; /* the worker is */
	uint64_t notice; /* request of its notice to leave */
	uint32_t down_ms; /* after it has left */
	GArray *waiting_lists; /* struct event; list orders that wait */
	int64_t cold_until;
	int64_t stall_until;
	int64_t slow_until;
	int64_t fails_until;
	int64_t late_until;
	int64_t answers_lost_until;
	int64_t drop_until;
	int64_t refuse_until;
	int64_t reset_until;
	uint32_t refuse_percent; /* share of the connections that are refused */
	uint32_t loss_percent; /* share of the orders that are late or lose
				  their answer */
	int64_t silent_until; /* no order is answered */
};

struct world {
	struct world_options options;
	struct mlk_rng rng;
	int64_t now; /* true time, ms */
	uint64_t seq; /* of the last event scheduled */
	GSequence *events; /* struct event, by time and seq */
	struct world_entry entries[WORLD_ENTRIES_MAX];
	struct world_agent agents[WORLD_AGENTS_MAX];
	GPtrArray *links; /* struct world_link, by id - 1 */
	int64_t cut_until[WORLD_ENTRIES_MAX][WORLD_AGENTS_MAX][2];
	GPtrArray *jobs; /* struct world_job */
	GHashTable *by_request; /* request -> job index + 1 */
	GHashTable *by_id; /* id -> struct wjob */
	uint64_t last_request;
	uint64_t last_generation;
	uint64_t last_boot;
	int64_t leave_until; /* end of CALLERS_LEAVE */
	bool traffic; /* new jobs arrive */
	struct world_stats stats;
	char violation[256];
};

static void run_entry_effects(
    struct world *w, uint32_t i, struct mlk_dispatch_effects *fx);
static void run_agent_effects(
    struct world *w, uint32_t i, struct mlk_runner_effects *fx);

static uint32_t
below(struct world *w, uint32_t bound)
{
	return (mlk_rng_below(&w->rng, bound));
}

/*
 * Records the first violation; later ones are ignored.
 */
static void
violated(struct world *w, const char *what, const struct world_job *job)
{
	if (w->violation[0] != '\0')
		return;
	(void)snprintf(w->violation, sizeof(w->violation),
	    "violated: %s: job %s at %" PRId64 " ms", what,
	    job == NULL ? "-" : job->id, w->now);
}

/* ---- events -------------------------------------------------------------- */

static void
event_free(gpointer data)
{
	struct event *ev = data;

	if (ev->type == EV_MSG)
		mlk_msg_clear(&ev->msg);
	mlk_blob_clear(&ev->order.spec);
	g_free(ev);
}

static gint
by_time(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct event *x = a, *y = b;

	(void)data;
	if (x->at != y->at)
		return (x->at < y->at ? -1 : 1);
	return (x->seq < y->seq ? -1 : 1);
}

/*
 * Schedules an event, at the earliest now.
 */
static struct event *
push(struct world *w, int64_t at, enum event_type type, uint32_t index)
{
	struct event *ev;

	ev = g_new0(struct event, 1);
	ev->at = at < w->now ? w->now : at;
	ev->seq = ++w->seq;
	ev->type = type;
	ev->index = index;
	(void)g_sequence_insert_sorted(w->events, ev, by_time, NULL);
	return (ev);
}

/* ---- clocks, in ns ------------------------------------------------------- */

static int64_t
entry_now(const struct world *w, uint32_t i)
{
	const struct world_entry *e = &w->entries[i];

	return ((int64_t)((double)w->now * e->clock_rate * NS_PER_MS) +
	    e->clock_offset * NS_PER_MS);
}

static int64_t
agent_now(const struct world *w, uint32_t i)
{
	const struct world_agent *a = &w->agents[i];

	return ((int64_t)((double)w->now * a->clock_rate * NS_PER_MS) +
	    a->clock_offset * NS_PER_MS);
}

/* ---- processes ----------------------------------------------------------- */

static void
apply_entry(struct world *w, uint32_t i, struct mlk_dispatch_event *ev)
{
	struct mlk_dispatch_effects fx = { 0 };
	struct mlk_error err = { 0 };

	ev->now = entry_now(w, i);
	if (mlk_dispatcher_apply(w->entries[i].d, ev, &fx, &err) != 0)
		violated(w, "an event was not applied", NULL);
	run_entry_effects(w, i, &fx);
	mlk_dispatch_effects_free(&fx);
}

static void
apply_agent(struct world *w, uint32_t i, struct mlk_runner_event *ev)
{
	struct mlk_runner_effects fx = { 0 };
	struct mlk_error err = { 0 };

	ev->now = agent_now(w, i);
	if (mlk_runner_apply(w->agents[i].r, ev, &fx, &err) != 0)
		violated(w, "an event was not applied", NULL);
	run_agent_effects(w, i, &fx);
	mlk_runner_effects_free(&fx);
}

/*
 * Fills a routing table: one route for all paths, or those of the options.
 */
static void
fill_routes(const struct world *w, struct mlk_routing *routing)
{
	const struct mlk_route base = { .host = "h",
		.prefix = "/",
		.name = "r",
		.pool = "pool-a",
		.timeout_ms = 1500,
		.target_ms = TARGET_MS,
		.attempts = 3,
		.stretch = STRETCH };
	struct mlk_route *r;
	uint32_t i;

	routing->version = 1;
	routing->nroutes = w->options.nroutes == 0 ? 1 : w->options.nroutes;
	if (w->options.interference)
		routing->nroutes = KINDS + 1;
	for (i = 0; i < routing->nroutes; i++) {
		r = &routing->routes[i];
		*r = base;
		if (w->options.interference) {
			(void)snprintf(r->prefix, sizeof(r->prefix),
			    i == 0 ? "/" : "/%u/", i);
			(void)snprintf(r->name, sizeof(r->name), "r%u", i);
			continue;
		}
		if (w->options.nroutes == 0)
			continue;
		(void)snprintf(r->prefix, sizeof(r->prefix), "/%u/", i);
		(void)snprintf(r->name, sizeof(r->name), "route-%u", i);
		r->priority = w->options.routes[i].priority;
	}
}

static void
start_entry(struct world *w, uint32_t i)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_ROUTES };
	struct mlk_route routes[WORLD_ROUTES_MAX];
	struct mlk_routing routing = { .routes = routes };
	char addrs[WORLD_ENTRIES_MAX][MLK_ADDR_MAX];
	struct world_entry *e = &w->entries[i];
	struct mlk_dispatcher_options options;
	uint32_t k;

	mlk_dispatcher_options_default(&options);
	if (w->options.interference)
		options.interference = MLK_INTERFERENCE_AVOID;
	(void)snprintf(options.self.id, sizeof(options.self.id), "entry-%u", i);
	(void)snprintf(options.self.dc, sizeof(options.self.dc), "dc-%u", i);
	(void)snprintf(e->addr, sizeof(e->addr), "10.0.0.%u:7000", i + 1);
	(void)snprintf(
	    options.self.addr, sizeof(options.self.addr), "%s", e->addr);
	options.self.incarnation = ++w->last_generation;
	options.seed = mlk_rng_next(&w->rng);
	options.admission = w->options.admission;
	for (k = 0; k < w->options.entries; k++)
		(void)snprintf(
		    addrs[k], sizeof(addrs[k]), "10.0.0.%u:7000", k + 1);
	options.nentries = w->options.link_entries ? w->options.entries : 0;
	options.entries = addrs;
	e->generation = w->last_generation;
	e->up = true;
	e->paused_until = 0;
	e->d = mlk_dispatcher_create(&options);
	fill_routes(w, &routing);
	ev.u.routes = &routing;
	apply_entry(w, i, &ev);
	push(w, w->now + 1 + below(w, TICK_MS), EV_TICK_ENTRY, i)->generation =
	    e->generation;
}

static void
start_agent(struct world *w, uint32_t i)
{
	char addrs[WORLD_ENTRIES_MAX][MLK_ADDR_MAX];
	struct world_agent *a = &w->agents[i];
	struct mlk_runner_options options;
	uint32_t k;

	mlk_runner_options_default(&options);
	(void)snprintf(options.id, sizeof(options.id), "agent-%u", i);
	(void)snprintf(
	    options.dc, sizeof(options.dc), "dc-%u", i % w->options.entries);
	(void)snprintf(options.pool, sizeof(options.pool), "pool-a");
	options.incarnation = ++w->last_generation;
	for (k = 0; k < w->options.entries; k++)
		(void)snprintf(
		    addrs[k], sizeof(addrs[k]), "10.0.0.%u:7000", k + 1);
	options.nentries = w->options.entries;
	options.entries = addrs;
	options.offer_ahead_ms = w->options.offer_ahead_ms;
	if (w->options.interference)
		options.interference = MLK_INTERFERENCE_AVOID;
	a->generation = w->last_generation;
	a->up = true;
	a->paused_until = 0;
	a->r = mlk_runner_create(&options);
	push(w, w->now + 1 + below(w, TICK_MS), EV_TICK_AGENT, i)->generation =
	    a->generation;
}

/*
 * Starts a worker as a new boot.  Without an id it gets a new one.
 */
static void
start_worker(struct world *w, uint32_t i, const char *id)
{
	struct world_agent *a = &w->agents[i];
	char id_buf[MLK_NAME_MAX];

	w->last_boot += 1 + below(w, 5);
	if (id == NULL) {
		(void)snprintf(id_buf, sizeof(id_buf), "worker-%u-%" PRIu64, i,
		    w->last_boot);
	} else {
		(void)snprintf(id_buf, sizeof(id_buf), "%s", id);
	}
	fake_worker_init(
	    &a->worker, id_buf, w->last_boot, w->options.cpu, w->now);
	a->worker.clock_rate = 0.98 + below(w, 20) / 1000.0;
	a->seen_end = 0;
	a->announce_seq = 0;
	a->draining = false;
	a->notice = 0;
	(void)push(w, w->now + below(w, 200), EV_ANNOUNCE, i);
}

/* ---- links --------------------------------------------------------------- */

static struct world_link *
link_get(struct world *w, uint32_t id)
{
	return (id == 0 || id > w->links->len ?
		NULL :
		g_ptr_array_index(w->links, id - 1));
}

static bool
is_cut(const struct world *w, const struct world_link *l, bool to_agent)
{
	return (
	    !l->peers && w->now < w->cut_until[l->entry][l->agent][to_agent]);
}

/*
 * Returns when a message sent now arrives: in order, and not before a cut ends.
 */
static int64_t
arrival_time(struct world *w, struct world_link *l, bool to_agent)
{
	int64_t at = w->now + LINK_DELAY_MS + below(w, 3);

	if (is_cut(w, l, to_agent))
		at += w->cut_until[l->entry][l->agent][to_agent] - w->now;
	if (at < l->last_arrival[to_agent])
		at = l->last_arrival[to_agent];
	l->last_arrival[to_agent] = at;
	return (at);
}

static void
link_send(struct world *w, uint32_t id, bool to_agent, struct mlk_msg *msg)
{
	struct world_link *l = link_get(w, id);
	struct event *ev;

	if (l == NULL || !l->open[!to_agent]) {
		mlk_msg_clear(msg);
		return;
	}
	ev = push(w, arrival_time(w, l, to_agent), EV_MSG,
	    to_agent ? l->agent : l->entry);
	ev->link = id;
	ev->to_agent = to_agent;
	ev->msg = *msg;
	memset(msg, 0, sizeof(*msg));
}

/*
 * Closes one end of a link.  The other end learns of it after the latency.
 */
static void
link_close(struct world *w, struct world_link *l, bool by_agent)
{
	struct event *ev;

	if (!l->open[by_agent])
		return;
	l->open[by_agent] = false;
	ev = push(w, arrival_time(w, l, !by_agent), EV_LINK_DOWN,
	    by_agent ? l->entry : l->agent);
	ev->link = l->id;
	ev->to_agent = !by_agent;
}

/*
 * Closes the links of a process that was killed.  With `silent`, the other ends
 * are not told, as after a power failure.
 */
static void
close_process_links(struct world *w, uint32_t index, bool agent, bool silent)
{
	struct world_link *l;
	guint i, end;

	for (i = 0; i < w->links->len; i++) {
		l = g_ptr_array_index(w->links, i);
		for (end = 0; end < 2; end++) {
			/* Only links between entries end at entries twice. */
			if ((end == 1 ? l->agent : l->entry) != index ||
			    (end == 1 && !l->peers) != agent || !l->open[end])
				continue;
			if (silent)
				l->open[end] = false;
			else
				link_close(w, l, end == 1);
		}
	}
}

/*
 * Returns the entry at one end of a link.
 */
static uint32_t
entry_at(const struct world_link *l, bool initiator)
{
	return (initiator ? l->agent : l->entry);
}

/*
 * Adds an open link.
 */
static struct world_link *
link_create(struct world *w, uint32_t entry, uint32_t agent, bool peers)
{
	struct world_link *l;

	l = g_new0(struct world_link, 1);
	g_ptr_array_add(w->links, l);
	l->id = w->links->len;
	l->peers = peers;
	l->entry = entry;
	l->agent = agent;
	l->entry_generation = w->entries[entry].generation;
	l->agent_generation =
	    peers ? w->entries[agent].generation : w->agents[agent].generation;
	l->open[0] = true;
	l->open[1] = true;
	return (l);
}

/*
 * Completes an entry's connection attempt to another entry.
 */
static void
on_connect_peer(struct world *w, const struct event *ev)
{
	struct mlk_dispatch_event up = { .type = MLK_DISPATCH_LINK_UP };
	struct mlk_dispatch_event down = { .type = MLK_DISPATCH_LINK_DOWN };
	const struct world_entry *e = &w->entries[ev->index];
	uint32_t i = (uint32_t)ev->request;
	struct world_link *l;

	if (!e->up || e->generation != ev->generation)
		return;
	if (!w->entries[i].up) {
		down.u.link.connect = ev->connect;
		apply_entry(w, ev->index, &down);
		return;
	}
	l = link_create(w, i, ev->index, true);
	up.u.link.link = l->id;
	apply_entry(w, i, &up);
	up.u.link.connect = ev->connect;
	apply_entry(w, ev->index, &up);
}

/*
 * Completes an agent's connection attempt: a new link, or a failure if the
 * entry is down or cut off.
 */
static void
on_connect(struct world *w, const struct event *ev)
{
	struct mlk_dispatch_event up = { .type = MLK_DISPATCH_LINK_UP };
	struct mlk_runner_event rev = { .type = MLK_RUNNER_LINK_UP };
	struct world_agent *a = &w->agents[ev->index];
	uint32_t i = (uint32_t)ev->request;
	struct world_link *l;

	if (!a->up || a->generation != ev->generation)
		return;
	if (!w->entries[i].up || w->now < w->cut_until[i][ev->index][0] ||
	    w->now < w->cut_until[i][ev->index][1]) {
		rev.type = MLK_RUNNER_LINK_DOWN;
		rev.u.link.connect = ev->connect;
		apply_agent(w, ev->index, &rev);
		return;
	}
	l = link_create(w, i, ev->index, false);
	up.u.link.link = l->id;
	apply_entry(w, i, &up);
	rev.u.link.link = l->id;
	rev.u.link.connect = ev->connect;
	apply_agent(w, ev->index, &rev);
}

static void
on_msg(struct world *w, struct event *ev)
{
	struct mlk_dispatch_event dev = { .type = MLK_DISPATCH_MSG };
	struct mlk_runner_event rev = { .type = MLK_RUNNER_MSG };
	struct world_link *l = link_get(w, ev->link);

	if (!l->open[ev->to_agent])
		return;
	if (ev->to_agent && !l->peers) {
		rev.u.msg.link = l->id;
		rev.u.msg.msg = &ev->msg;
		apply_agent(w, l->agent, &rev);
	} else {
		dev.u.msg.link = l->id;
		dev.u.msg.msg = &ev->msg;
		apply_entry(w, entry_at(l, ev->to_agent), &dev);
	}
}

static void
on_link_down(struct world *w, const struct event *ev)
{
	struct mlk_dispatch_event dev = { .type = MLK_DISPATCH_LINK_DOWN };
	struct mlk_runner_event rev = { .type = MLK_RUNNER_LINK_DOWN };
	struct world_link *l = link_get(w, ev->link);

	if (!l->open[ev->to_agent])
		return;
	l->open[ev->to_agent] = false;
	if (ev->to_agent && !l->peers) {
		rev.u.link.link = l->id;
		apply_agent(w, l->agent, &rev);
	} else {
		dev.u.link.link = l->id;
		apply_entry(w, entry_at(l, ev->to_agent), &dev);
	}
}

/* ---- orders -------------------------------------------------------------- */

static struct world_job *
job_by_id(struct world *w, const char *id)
{
	return (g_hash_table_lookup(w->by_id, id));
}

/*
 * Checks a start that a worker has just carried out.
 */
static void
check_start(struct world *w, uint32_t i, const struct mlk_run_name *name)
{
	struct world_job *job = job_by_id(w, name->id);
	uint32_t k;

	if (job == NULL) {
		violated(w, "start of an unknown job", NULL);
		return;
	}
	for (k = 0; k < w->options.agents; k++) {
		if (k != i && w->agents[k].worker.up &&
		    fake_worker_runs(
			&w->agents[k].worker, name->id, name->index))
			violated(w, "one run", job);
	}
	job->started = true;
	w->stats.runs++;
	if (!job->open && job->attempts > 0 && job->attempts == job->rejected)
		violated(w, "not run", job);
}

static void
set_speed(struct world *w, uint32_t i)
{
	struct world_agent *a = &w->agents[i];

	a->worker.speed =
	    w->options.speeds == NULL ? 1.0 : w->options.speeds[i];
	if (w->now < a->cold_until)
		a->worker.speed /= 3;
	if (w->now < a->slow_until)
		a->worker.speed *= 0.2;
	if (w->now < a->stall_until)
		a->worker.speed = 0.0;
	a->worker.fails = w->now < a->fails_until;
}

/*
 * Advances a worker to the present.  Records the completed runs, and schedules
 * the results of list orders that waited for an end or whose wait is over.
 */
static void
advance_worker(struct world *w, uint32_t i)
{
	struct world_agent *a = &w->agents[i];
	const struct mlk_listed_end *end;
	struct event *waiting;
	struct world_job *job;
	uint32_t k;

	if (!a->worker.up)
		return;
	set_speed(w, i);
	fake_worker_advance(&a->worker, w->now);
	for (k = 0; k < a->worker.nends; k++) {
		end = &a->worker.ends[k];
		if (end->number <= a->seen_end)
			continue;
		a->seen_end = end->number;
		job = job_by_id(w, end->name.id);
		if (end->how == MLK_LISTED_DONE && job != NULL)
			job->done |= 1U << end->name.index;
	}
	if (a->worker.over_capacity > 0)
		violated(w, "room", NULL);
	for (k = a->waiting_lists->len; k > 0; k--) {
		waiting = &g_array_index(a->waiting_lists, struct event, k - 1);
		if (w->now < waiting->at &&
		    !fake_worker_has_ends(&a->worker, waiting->order.ack))
			continue;
		struct event *ev = push(w, w->now, EV_LIST_DUE, i);

		ev->generation = waiting->generation;
		ev->order = waiting->order;
		ev->boot = waiting->boot;
		ev->answered = waiting->answered;
		(void)g_array_remove_index_fast(a->waiting_lists, k - 1);
	}
}

/*
 * Heavy and light tasks slow each other down.
 */
static void
set_kind(struct fake_run *run, uint32_t kind)
{
	run->kind = kind;
	if (kind > 1)
		run->slowed_by = kind == 2 ? 3 : 2;
}

/*
 * Schedules the result of an order.  If it is an answer, `boot` is that of the
 * worker, else 0: an answer is lost if the worker goes down first.
 */
static void
push_order_result(struct world *w, uint32_t i, uint64_t generation, int64_t at,
    uint64_t boot, const struct mlk_runner_event *result)
{
	struct event *ev;

	ev = push(w, at, EV_ORDER_RESULT, i);
	ev->generation = generation;
	ev->boot = boot;
	ev->result = *result;
	/* The lists belong to the worker and change with its next order. */
	ev->result.u.order.running = g_memdup2(result->u.order.running,
	    result->u.order.nrunning * sizeof(*result->u.order.running));
	ev->result.u.order.ended = g_memdup2(result->u.order.ended,
	    result->u.order.nended * sizeof(*result->u.order.ended));
}

/*
 * Logs an order to standard error if MLK_WORLD_LOG is set.
 */
static void
log_order(const struct world *w, const struct event *ev)
{
	static const char *const names[] = { "start", "stop", "list" };

	if (getenv("MLK_WORLD_LOG") != NULL) {
		(void)fprintf(stderr,
		    "%8" PRId64 " worker-%u %s %s.%u run %u fence %" PRIu64
		    " until %" PRId64 " clock %" PRId64 " answered %d\n",
		    w->now, ev->index, names[ev->order.type], ev->order.name.id,
		    ev->order.name.index, ev->order.name.run, ev->order.fence,
		    ev->order.lease_until_ms,
		    fake_worker_clock(&w->agents[ev->index].worker),
		    (int)ev->answered);
	}
}

/*
 * Lets the worker carry out an order, and schedules its result if it is to be
 * answered.
 */
static void
carry_out(struct world *w, struct event *ev)
{
	struct world_agent *a = &w->agents[ev->index];
	struct mlk_runner_event result;
	struct world_job *job = NULL;
	struct mlk_resources resources = { .mem_mb = 64 };
	uint32_t work_ms = 0, before, answer_ms = 0;

	if (ev->order.type == MLK_ORDER_START) {
		job = job_by_id(w, ev->order.name.id);
		resources.cpu = job == NULL ? 0 : job->cpu;
		work_ms = job == NULL ? 1 : job->work_ms[ev->order.name.index];
	}
	before = a->worker.nruns;
	log_order(w, ev);
	fake_worker_order(&a->worker, &ev->order, &resources, work_ms, &result);
	if (a->worker.nruns > before && job != NULL && w->options.interference)
		set_kind(&a->worker.runs[before], job->kind);
	if (a->worker.nruns > before)
		check_start(w, ev->index, &ev->order.name);
	if (!ev->answered)
		return;
	if (ev->order.type == MLK_ORDER_START)
		answer_ms = w->options.start_answer_ms;
	push_order_result(w, ev->index, ev->generation,
	    w->now + 1 + below(w, answer_ms + 1), a->worker.boot, &result);
}

/*
 * Handles an order that arrives at the worker's address.  A worker that is down
 * refuses the connection or does not answer; a list order may wait for an end.
 */
static void
on_order(struct world *w, struct event *ev)
{
	struct world_agent *a = &w->agents[ev->index];
	struct mlk_runner_event result = { .type = MLK_RUNNER_ORDER };
	struct event waiting;

	if (!a->worker.up) {
		if (!a->refuses_when_down || !ev->answered)
			return;
		result.u.order.order = ev->order.order;
		result.u.order.result = MLK_ORDER_NOT_SENT;
		push_order_result(
		    w, ev->index, ev->generation, w->now + 1, 0, &result);
		return;
	}
	advance_worker(w, ev->index);
	if (ev->order.type == MLK_ORDER_LIST && ev->order.wait_ms > 0 &&
	    ev->order.fence >= a->worker.fence &&
	    !fake_worker_has_ends(&a->worker, ev->order.ack)) {
		waiting = *ev;
		waiting.at = w->now + ev->order.wait_ms;
		g_array_append_val(a->waiting_lists, waiting);
		return;
	}
	carry_out(w, ev);
}

static void
on_list_due(struct world *w, struct event *ev)
{
	struct world_agent *a = &w->agents[ev->index];

	if (a->worker.up && a->worker.boot == ev->boot)
		carry_out(w, ev);
}

/*
 * Sends an order to a worker, subject to the faults in force.
 */
static void
send_order(struct world *w, uint32_t i, struct mlk_order *order)
{
	struct world_agent *a = &w->agents[i];
	struct mlk_runner_event none = { .type = MLK_RUNNER_ORDER };
	int64_t at = w->now + 1;
	bool answered = true;
	struct event *ev;

	/* A fresh connection serves one order. */
	w->stats.connections += order->fresh;
	w->stats.fresh += order->fresh;
	/* The agent ignores this if the result of the order came before it. */
	none.u.order.order = order->order;
	none.u.order.result = MLK_ORDER_NO_ANSWER;
	push_order_result(
	    w, i, a->generation, w->now + order->timeout_ms, 0, &none);
	if (w->now < a->refuse_until && below(w, 100) < a->refuse_percent) {
		mlk_blob_clear(&order->spec);
		none.u.order.result = MLK_ORDER_NOT_SENT;
		push_order_result(w, i, a->generation, w->now + 1, 0, &none);
		return;
	}
	if (w->now < a->drop_until && below(w, 100) < ORDER_DROP_PERCENT) {
		mlk_blob_clear(&order->spec);
		w->stats.connections += !order->fresh;
		return;
	}
	if (w->now < a->reset_until && below(w, 100) < CONN_RESET_PERCENT) {
		push_order_result(w, i, a->generation, w->now + 1, 0, &none);
		answered = false;
		if (below(w, 2) == 0) {
			mlk_blob_clear(&order->spec);
			w->stats.connections += !order->fresh;
			return;
		}
	} else if (w->now < a->silent_until) {
		answered = false;
		at = below(w, 2) == 0 ? at : a->silent_until;
	} else if (w->now < a->late_until && below(w, 100) < a->loss_percent) {
		at = w->now + LATE_MIN_MS + below(w, LATE_MAX_MS - LATE_MIN_MS);
		answered = false;
	} else if (w->now < a->answers_lost_until &&
	    below(w, 100) < a->loss_percent) {
		answered = false;
	}
	/* An order without an answer ends the connection that it used. */
	w->stats.connections += !answered && !order->fresh;
	ev = push(w, at, EV_ORDER, i);
	ev->generation = a->generation;
	ev->order = *order;
	memset(&order->spec, 0, sizeof(order->spec));
	ev->answered = answered;
	ev->boot = a->worker.boot;
}

/* ---- effects ------------------------------------------------------------- */

static void
log_decision(const struct world *w, const char *who, uint32_t i,
    const struct mlk_decision *log)
{
	if (getenv("MLK_WORLD_LOG") != NULL)
		(void)fprintf(stderr, "%8" PRId64 " %s%u %s %s %s\n", w->now,
		    who, i, log->job, log->worker, log->text);
}

static void
reply(struct world *w, uint32_t i, uint64_t request,
    enum mlk_work_outcome outcome, uint32_t retry_after_ms)
{
	struct event *ev;

	ev = push(w, w->now + 1, EV_REPLY, i);
	ev->request = request;
	ev->outcome = outcome;
	ev->retry_after_ms = retry_after_ms;
}

/*
 * Tells whether entry i is the end of a link that connected to another entry.
 */
static bool
is_initiator(const struct world_link *l, uint32_t i)
{
	return (l != NULL && l->peers && l->agent == i);
}

static void
run_entry_effects(struct world *w, uint32_t i, struct mlk_dispatch_effects *fx)
{
	struct mlk_dispatch_effect *f;
	struct world_link *l;
	struct event *ev;
	size_t k;

	for (k = 0; k < fx->n; k++) {
		f = &fx->items[k];
		switch (f->type) {
		case MLK_DISPATCH_FX_SEND:
			l = link_get(w, f->u.send.link);
			link_send(w, f->u.send.link, !is_initiator(l, i),
			    &f->u.send.msg);
			break;
		case MLK_DISPATCH_FX_CLOSE:
			l = link_get(w, f->u.close.link);
			if (l != NULL)
				link_close(w, l, is_initiator(l, i));
			break;
		case MLK_DISPATCH_FX_ANSWER:
			reply(w, i, f->u.answer.request, f->u.answer.outcome,
			    f->u.answer.retry_after_ms);
			break;
		case MLK_DISPATCH_FX_LOG:
			log_decision(w, "entry-", i, &f->u.log);
			break;
		case MLK_DISPATCH_FX_CONNECT:
			ev = push(w, w->now + 2, EV_CONNECT_PEER, i);
			ev->request = (uint32_t)atoi(f->u.connect.addr + 7) - 1;
			ev->connect = f->u.connect.connect;
			ev->generation = w->entries[i].generation;
			break;
		case MLK_DISPATCH_FX_EXIT:
			break;
		}
	}
}

static void
run_agent_effects(struct world *w, uint32_t i, struct mlk_runner_effects *fx)
{
	struct mlk_runner_effect *f;
	struct event *ev;
	struct world_link *l;
	uint32_t e;
	size_t k;

	for (k = 0; k < fx->n; k++) {
		f = &fx->items[k];
		switch (f->type) {
		case MLK_RUNNER_FX_SEND:
			link_send(w, f->u.send.link, false, &f->u.send.msg);
			break;
		case MLK_RUNNER_FX_CONNECT:
			e = (uint32_t)atoi(f->u.connect.addr + 7) - 1;
			ev = push(w,
			    w->now +
				(w->entries[e].up &&
					    w->now < w->cut_until[e][i][1] ?
					CONNECT_TIMEOUT_MS :
					2),
			    EV_CONNECT, i);
			ev->request = e;
			ev->connect = f->u.connect.connect;
			ev->generation = w->agents[i].generation;
			break;
		case MLK_RUNNER_FX_CLOSE:
			l = link_get(w, f->u.close.link);
			if (l != NULL)
				link_close(w, l, true);
			break;
		case MLK_RUNNER_FX_ORDER:
			send_order(w, i, &f->u.order);
			break;
		case MLK_RUNNER_FX_LOG:
			log_decision(w, "agent-", i, &f->u.log);
			break;
		case MLK_RUNNER_FX_ACK:
			if (f->u.ack.request != 0 &&
			    f->u.ack.request == w->agents[i].notice)
				push(w, w->now + 1, EV_WORKER_LEFT, i)->boot =
				    w->agents[i].worker.boot;
			break;
		case MLK_RUNNER_FX_EXIT:
			break;
		}
	}
}

/* ---- callers ------------------------------------------------------------- */

static struct world_job *
job_by_index(struct world *w, uint32_t i)
{
	return (g_ptr_array_index(w->jobs, i));
}

/*
 * Ends an attempt without an answer.  The caller sends its job again after
 * RESEND_MS, unless it has used all attempts.
 */
static void
resend(struct world *w, uint32_t j)
{
	struct world_job *job = job_by_index(w, j);

	job->open = false;
	if (job->finished || job->attempts >= ATTEMPTS_MAX) {
		job->finished = true;
		return;
	}
	push(w, w->now + RESEND_MS, EV_SUBMIT, 0)->job = j;
}

/*
 * Returns the entry that gets the next attempt.
 */
static uint32_t
choose_entry(struct world *w)
{
	uint32_t sum = 0, i, x;

	for (i = 0; i < w->options.entries; i++)
		sum += w->options.entry_weights[i];
	if (sum == 0)
		return (below(w, w->options.entries));
	x = below(w, sum);
	for (i = 0; x >= w->options.entry_weights[i]; i++)
		x -= w->options.entry_weights[i];
	return (i);
}

/*
 * Sends an attempt to a random entry.
 */
static void
on_submit(struct world *w, const struct event *ev)
{
	struct world_job *job = job_by_index(w, ev->job);
	uint32_t e = choose_entry(w);
	struct event *timer, *request;

	if (job->finished)
		return;
	job->attempts++;
	job->attempt_at = w->now;
	job->entry = e;
	job->request = ++w->last_request;
	if (job->sent_at == 0)
		job->sent_at = w->now;
	job->open = true;
	(void)g_hash_table_insert(w->by_request,
	    g_memdup2(&job->request, sizeof(job->request)),
	    GUINT_TO_POINTER(ev->job + 1));
	timer = push(w, w->now + job->deadline_ms, EV_DEADLINE, e);
	timer->job = ev->job;
	timer->attempt = job->attempts;
	if (w->now < w->leave_until && below(w, 3) == 0) {
		timer = push(w, w->now + job->goal_ms / 2, EV_LEAVE, e);
		timer->job = ev->job;
		timer->attempt = job->attempts;
	}
	if (!w->entries[e].up) {
		job->entry_lost = true;
		resend(w, ev->job);
		return;
	}
	request = push(w, w->now, EV_REQUEST, e);
	request->job = ev->job;
	request->request = job->request;
	request->generation = w->entries[e].generation;
}

/*
 * An entry reads a request.  For a paused entry this is deferred until it
 * resumes.
 */
static void
on_request(struct world *w, const struct event *ev)
{
	struct mlk_dispatch_event dev = { .type = MLK_DISPATCH_SUBMIT };
	struct mlk_step step = { 0 };
	struct mlk_work work = { 0 };
	const struct world_job *job = job_by_index(w, ev->job);
	char path[32] = "/";

	if (!w->entries[ev->index].up ||
	    w->entries[ev->index].generation != ev->generation)
		return;
	if (w->options.nroutes > 0)
		(void)snprintf(path, sizeof(path), "/%u/", job->route);
	step.count = job->count;
	step.resources.cpu = job->cpu;
	step.resources.mem_mb = 64;
	step.estimate_ms = job->estimate_ms;
	(void)snprintf(work.id, sizeof(work.id), "%s", job->id);
	work.spec = (const uint8_t *)"spec";
	work.spec_len = 4;
	work.nsteps = 1;
	work.steps = &step;
	dev.u.submit.request = ev->request;
	dev.u.submit.request_id = job->id;
	dev.u.submit.host = "h";
	if (w->options.interference)
		(void)snprintf(path, sizeof(path), "/%u/", job->kind);
	dev.u.submit.path = path;
	dev.u.submit.deadline_ms = job->deadline_ms;
	dev.u.submit.work = &work;
	apply_entry(w, ev->index, &dev);
}

/*
 * Closes the caller's connection.  The entry learns of it 1 ms later.
 */
static void
hang_up(struct world *w, const struct world_job *job)
{
	struct event *ev;

	ev = push(w, w->now + 1, EV_CALLER_GONE, job->entry);
	ev->request = job->request;
	ev->generation = w->entries[job->entry].generation;
}

/*
 * The caller gives up an attempt, at its deadline or early.  Half of those who
 * leave early do not send again.
 */
static void
on_caller_timer(struct world *w, const struct event *ev)
{
	struct world_job *job = job_by_index(w, ev->job);

	if (!job->open || job->attempts != ev->attempt)
		return;
	job->untried += ev->type == EV_DEADLINE && !job->started;
	hang_up(w, job);
	if (ev->type == EV_LEAVE && below(w, 2) == 0) {
		w->stats.gone++;
		job->finished = true;
	}
	resend(w, ev->job);
}

static void
on_reply(struct world *w, const struct event *ev)
{
	struct world_job *job;
	guint j;

	j = GPOINTER_TO_UINT(g_hash_table_lookup(w->by_request, &ev->request));
	if (j == 0)
		return;
	job = job_by_index(w, j - 1);
	if (!job->open || job->request != ev->request)
		return;
	switch (ev->outcome) {
	case MLK_WORK_COMPLETED:
		if (job->done != (1U << job->count) - 1)
			violated(w, "whole", job);
		w->stats.completed++;
		w->stats.retried_completed += job->refusal_retries == 1;
		if (w->now - job->sent_at <= job->goal_ms)
			w->stats.in_goal++;
		job->completed_at = w->now;
		job->finished = true;
		break;
	case MLK_WORK_FAILED:
		w->stats.failed++;
		job->finished = true;
		break;
	case MLK_WORK_REFUSED:
	case MLK_WORK_NO_ROUTE:
	case MLK_WORK_INVALID:
		w->stats.refused++;
		job->rejected++;
		job->refusals_early +=
		    (w->now - job->attempt_at) * 4 <= job->goal_ms;
		job->finished = !w->options.retry_refused ||
		    job->refusal_retries == REFUSAL_RETRIES_MAX;
		if (job->started && job->rejected == job->attempts)
			violated(w, "not run", job);
		if (!job->finished) {
			w->stats.retried += job->refusal_retries++ == 0;
			push(w, w->now + ev->retry_after_ms, EV_SUBMIT, 0)
			    ->job = j - 1;
		}
		break;
	case MLK_WORK_BROKEN:
	case MLK_WORK_LATE:
		resend(w, j - 1);
		return;
	}
	job->open = false;
}

static void
on_caller_gone(struct world *w, const struct event *ev)
{
	struct mlk_dispatch_event dev = { .type = MLK_DISPATCH_CALLER_GONE };

	if (!w->entries[ev->index].up ||
	    w->entries[ev->index].generation != ev->generation)
		return;
	dev.u.gone.request = ev->request;
	apply_entry(w, ev->index, &dev);
}

/*
 * Draws the run time of a job's tasks.
 */
static uint32_t
random_work_ms(struct world *w, uint32_t mean)
{
	uint32_t ms = mean / 2 + below(w, mean);

	if (w->options.stragglers)
		return (ms);
	/* One in 20 takes seven times as long. */
	return (below(w, 20) == 0 ? ms * 7 : ms);
}

static struct world_job *
create_job(struct world *w)
{
	struct world_job *job;

	job = g_new0(struct world_job, 1);
	(void)snprintf(
	    job->id, sizeof(job->id), "%016" PRIx64, mlk_rng_next(&w->rng));
	return (job);
}

/*
 * Registers a new job, which is sent at once.
 */
static void
add_job(struct world *w, struct world_job *job)
{
	g_ptr_array_add(w->jobs, job);
	(void)g_hash_table_insert(w->by_id, job->id, job);
	w->stats.jobs++;
	push(w, w->now, EV_SUBMIT, 0)->job = w->jobs->len - 1;
}

/*
 * Schedules the next possible arrival of a route, at its highest rate.
 */
static void
push_route_arrival(struct world *w, uint32_t i)
{
	const struct world_route *r = &w->options.routes[i];
	double peak, u;

	peak = r->jobs_per_s * (1 + r->wave) * fmax(r->surge_factor, 1);
	u = (1.0 + below(w, 1000000)) / 1000000;
	/* Rounded to ms at random, so that the mean stays. */
	u = -log(u) * 1000 / peak + below(w, 1000) / 1000.0;
	(void)push(w, w->now + (int64_t)u, EV_ARRIVAL, i);
}

/*
 * Returns the rate of a route's jobs at present, in jobs per second.
 */
static double
route_rate(const struct world *w, const struct world_route *r)
{
	double rate = r->jobs_per_s, phase;

	if (r->wave_ms > 0) {
		phase = 2 * G_PI * (double)w->now / (double)r->wave_ms;
		rate *= 1 + r->wave * sin(phase);
	}
	if (w->now >= r->surge_at && w->now < r->surge_at + r->surge_ms)
		rate *= r->surge_factor;
	return (rate);
}

/*
 * A possible arrival of a route's job, which is taken with the probability of
 * the present rate against the highest one.
 */
static void
on_route_arrival(struct world *w, uint32_t i)
{
	const struct world_route *r = &w->options.routes[i];
	struct world_job *job;
	double peak, mean;
	uint32_t k;

	peak = r->jobs_per_s * (1 + r->wave) * fmax(r->surge_factor, 1);
	push_route_arrival(w, i);
	if (below(w, 1000000) >= route_rate(w, r) / peak * 1000000)
		return;
	job = create_job(w);
	job->route = i;
	job->count = r->tasks + below(w, r->tasks_max - r->tasks + 1);
	job->cpu = r->cpu;
	mean = r->work_ms * (0.7 + below(w, 601) / 1000.0);
	for (k = 0; k < job->count; k++) {
		job->work_ms[k] =
		    1 + (uint32_t)(mean * (0.875 + below(w, 251) / 1000.0));
		if (job->goal_ms < job->work_ms[k])
			job->goal_ms = job->work_ms[k];
	}
	job->estimate_ms = 1 +
	    (uint32_t)(mean *
		(100 - ESTIMATE_ERROR + below(w, 2 * ESTIMATE_ERROR + 1)) /
		100);
	job->goal_ms = job->goal_ms * STRETCH / 1000 + TARGET_MS;
	job->deadline_ms = ROUTE_DEADLINE_MS;
	add_job(w, job);
}

static void
on_arrival(struct world *w, const struct event *ev)
{
	static const struct {
		uint32_t weight;
		uint32_t count;
		uint32_t work_ms;
	} kinds[KINDS] = { { 25, 8, 50 }, { 15, 4, 760 }, { 60, 2, 170 } };
	uint32_t i, k, x = below(w, 100), mean, per_s = w->options.jobs_per_s;
	struct world_job *job;

	if (!w->traffic)
		return;
	if (w->options.nroutes > 0) {
		on_route_arrival(w, ev->index);
		return;
	}
	if (w->now >= w->options.burst_at &&
	    w->now < w->options.burst_at + w->options.burst_ms)
		per_s *= w->options.burst_factor;
	(void)push(w, w->now + 1 + below(w, 2 * 1000 / per_s), EV_ARRIVAL, 0);
	for (k = 0; x >= kinds[k].weight; k++)
		x -= kinds[k].weight;
	job = create_job(w);
	job->kind = k + 1;
	job->count = 1 + below(w, kinds[k].count + kinds[k].count / 2);
	if (job->count > TASKS_MAX)
		job->count = TASKS_MAX;
	job->cpu = 4500 + below(w, 3500);
	mean = random_work_ms(w, kinds[k].work_ms);
	for (i = 0; i < job->count; i++) {
		job->work_ms[i] = mean - mean / 8 + below(w, 1 + mean / 4);
		if (w->options.stragglers && below(w, 100) < 3)
			job->work_ms[i] *= 7;
		if (job->goal_ms < job->work_ms[i])
			job->goal_ms = job->work_ms[i];
	}
	job->estimate_ms = 1 + mean / 2 + below(w, mean + 1);
	job->goal_ms = job->goal_ms * STRETCH / 1000 + TARGET_MS;
	job->deadline_ms = 1500 + 3 * job->goal_ms;
	add_job(w, job);
}

/* ---- faults -------------------------------------------------------------- */

static void
stop_entry(struct world *w, uint32_t i, bool silent, uint32_t ms)
{
	struct world_entry *e = &w->entries[i];
	struct world_job *job;
	guint j;

	if (!e->up)
		return;
	close_process_links(w, i, false, silent);
	e->up = false;
	mlk_dispatcher_destroy(e->d);
	e->d = NULL;
	for (j = 0; j < w->jobs->len; j++) {
		job = job_by_index(w, j);
		if (!job->open || job->entry != i)
			continue;
		job->entry_lost = true;
		if (!silent)
			resend(w, j);
	}
	push(w, w->now + ms, EV_RESTART, i)->fault = WORLD_ENTRY_KILL;
}

static void
stop_agent(struct world *w, uint32_t i, bool silent, uint32_t ms)
{
	struct world_agent *a = &w->agents[i];

	if (!a->up)
		return;
	close_process_links(w, i, true, silent);
	a->up = false;
	mlk_runner_destroy(a->r);
	a->r = NULL;
	push(w, w->now + ms, EV_RESTART, i)->fault = WORLD_AGENT_KILL;
}

static void
stop_worker(struct world *w, uint32_t i, bool restart, uint32_t ms)
{
	struct world_agent *a = &w->agents[i];
	struct event *ev;

	if (!a->worker.up)
		return;
	advance_worker(w, i);
	a->worker.up = false;
	a->refuses_when_down = below(w, 2) == 0;
	(void)g_array_set_size(a->waiting_lists, 0);
	ev = push(w, w->now + ms, EV_RESTART, i);
	ev->fault = restart ? WORLD_WORKER_RESTART : WORLD_WORKER_CRASH;
}

static void
reset_link(struct world *w, uint32_t entry, uint32_t agent)
{
	struct world_link *l;
	guint i;

	for (i = 0; i < w->links->len; i++) {
		l = g_ptr_array_index(w->links, i);
		if (l->peers || l->entry != entry || l->agent != agent)
			continue;
		link_close(w, l, false);
		link_close(w, l, true);
	}
}

/*
 * Schedules the arrival of a worker's notice to leave at its agent.
 */
static void
push_notice(struct world *w, uint32_t i, int64_t at)
{
	struct event *ev;

	ev = push(w, at, EV_NOTICE, i);
	(void)g_strlcpy(
	    ev->order.worker, w->agents[i].worker.id, sizeof(ev->order.worker));
	ev->generation = w->agents[i].generation;
	ev->request = ++w->last_request;
}

/*
 * A draining worker sends its notice to leave.  If the answer is lost or comes
 * too late, it ends some time later.
 */
static void
on_worker_leaves(struct world *w, const struct event *ev)
{
	struct world_agent *a = &w->agents[ev->index];

	if (!a->worker.up || a->worker.boot != ev->boot)
		return;
	push(w, w->now + LEAVE_MIN_MS + below(w, LEAVE_MAX_MS - LEAVE_MIN_MS),
	    EV_WORKER_LEFT, ev->index)
	    ->boot = ev->boot;
	push_notice(w, ev->index, w->now + 1);
	if (below(w, 2) == 0)
		a->notice = w->last_request;
}

static void
on_notice(struct world *w, const struct event *ev)
{
	struct mlk_runner_event rev = { .type = MLK_RUNNER_LEFT };

	if (!w->agents[ev->index].up ||
	    w->agents[ev->index].generation != ev->generation)
		return;
	(void)g_strlcpy(
	    rev.u.left.worker, ev->order.worker, sizeof(rev.u.left.worker));
	rev.u.left.request = ev->request;
	apply_agent(w, ev->index, &rev);
}

static void
on_worker_left(struct world *w, const struct event *ev)
{
	struct world_agent *a = &w->agents[ev->index];

	if (!a->worker.up || a->worker.boot != ev->boot)
		return;
	stop_worker(w, ev->index, below(w, 2) == 0, a->down_ms);
	push_notice(w, ev->index, w->now + below(w, 2 * LEAVE_MAX_MS));
}

/*
 * Extends a fault to `ms` from now; never shortens it.
 */
static void
extend(int64_t *until, int64_t now, uint32_t ms)
{
	if (*until < now + ms)
		*until = now + ms;
}

/*
 * Worker i announces itself to its agent.
 */
static void
announce(struct world *w, uint32_t i)
{
	struct mlk_runner_event rev = { .type = MLK_RUNNER_ANNOUNCED };
	struct world_agent *a = &w->agents[i];
	struct mlk_announcement announcement;

	if (!a->worker.up || !a->up)
		return;
	fake_worker_announce(&a->worker, ++a->announce_seq, &announcement);
	if (a->draining)
		announcement.info.state = MLK_WORKER_DRAINING;
	if (w->now < a->cold_until)
		announcement.cold_ms = (uint32_t)(a->cold_until - w->now);
	rev.u.announced = &announcement;
	apply_agent(w, i, &rev);
}

/*
 * Another writer sends an agent announcements of later boots: for another pool,
 * under another id, and under the id of the worker.
 */
static void
announce_foreign(struct world *w, uint32_t b)
{
	struct mlk_runner_event rev = { .type = MLK_RUNNER_ANNOUNCED };
	struct world_agent *a = &w->agents[b];
	struct mlk_announcement announcement;
	uint32_t i;

	for (i = 0; i < 3 && a->up; i++) {
		fake_worker_announce(&a->worker, 1, &announcement);
		announcement.info.boot = w->last_boot + 100 + i;
		announcement.clock_ms = 1000;
		if (i == 0)
			(void)snprintf(announcement.info.pool,
			    sizeof(announcement.info.pool), "other-pool");
		if (i != 2)
			(void)snprintf(announcement.info.id,
			    sizeof(announcement.info.id), "other-writer");
		rev.u.announced = &announcement;
		apply_agent(w, b, &rev);
	}
}

static void
on_fault(struct world *w, const struct event *ev)
{
	uint32_t a = (uint32_t)ev->request % w->options.entries;
	uint32_t b = ev->index % w->options.agents;
	int64_t *cuts = w->cut_until[a][b];

	switch (ev->fault) {
	case WORLD_CUT:
		extend(&cuts[0], w->now, ev->ms);
		extend(&cuts[1], w->now, ev->ms);
		break;
	case WORLD_CUT_TO_AGENT:
		extend(&cuts[1], w->now, ev->ms);
		break;
	case WORLD_CUT_TO_ENTRY:
		extend(&cuts[0], w->now, ev->ms);
		break;
	case WORLD_RESET:
		reset_link(w, a, b);
		break;
	case WORLD_ENTRY_KILL:
	case WORLD_ENTRY_KILL_SILENT:
		stop_entry(w, a, ev->fault == WORLD_ENTRY_KILL_SILENT, ev->ms);
		break;
	case WORLD_ENTRY_PAUSE:
		extend(&w->entries[a].paused_until, w->now, ev->ms);
		break;
	case WORLD_AGENT_KILL:
	case WORLD_AGENT_KILL_SILENT:
		stop_agent(w, b, ev->fault == WORLD_AGENT_KILL_SILENT, ev->ms);
		break;
	case WORLD_AGENT_PAUSE:
		extend(&w->agents[b].paused_until, w->now, ev->ms);
		break;
	case WORLD_WORKER_CRASH:
	case WORLD_WORKER_RESTART:
		stop_worker(w, b, ev->fault == WORLD_WORKER_RESTART, ev->ms);
		break;
	case WORLD_WORKER_LEAVES:
		w->agents[b].down_ms = ev->ms;
		w->agents[b].draining = true;
		announce(w, b);
		push(w, w->now + DRAIN_MS, EV_WORKER_LEAVES, b)->boot =
		    w->agents[b].worker.boot;
		break;
	case WORLD_WORKER_STALL:
		extend(&w->agents[b].stall_until, w->now, ev->ms);
		break;
	case WORLD_WORKER_SLOW:
		extend(&w->agents[b].slow_until, w->now, ev->ms);
		break;
	case WORLD_WORKER_FAILS:
		extend(&w->agents[b].fails_until, w->now, ev->ms);
		break;
	case WORLD_WORKER_SILENT:
		extend(&w->agents[b].silent_until, w->now, ev->ms);
		break;
	case WORLD_ORDERS_LATE:
		w->agents[b].loss_percent = below(w, 2) == 0 ? 20 : 80;
		extend(&w->agents[b].late_until, w->now, ev->ms);
		break;
	case WORLD_ANSWERS_LOST:
		w->agents[b].loss_percent = below(w, 2) == 0 ? 20 : 80;
		extend(&w->agents[b].answers_lost_until, w->now, ev->ms);
		break;
	case WORLD_ORDERS_DROPPED:
		extend(&w->agents[b].drop_until, w->now, ev->ms);
		break;
	case WORLD_CONNS_REFUSED:
		w->agents[b].refuse_percent =
		    below(w, 2) == 0 ? CONN_REFUSED_PERCENT : 100;
		extend(&w->agents[b].refuse_until, w->now, ev->ms);
		break;
	case WORLD_CONNS_RESET:
		extend(&w->agents[b].reset_until, w->now, ev->ms);
		break;
	case WORLD_CALLERS_LEAVE:
		extend(&w->leave_until, w->now, ev->ms);
		break;
	case WORLD_FOREIGN_ANNOUNCEMENTS:
		announce_foreign(w, b);
		break;
	case WORLD_FAULTS:
		break;
	}
}

static void
on_restart(struct world *w, const struct event *ev)
{
	char id[MLK_NAME_MAX];

	switch (ev->fault) {
	case WORLD_ENTRY_KILL:
		start_entry(w, ev->index);
		break;
	case WORLD_AGENT_KILL:
		start_agent(w, ev->index);
		break;
	case WORLD_WORKER_RESTART:
		(void)snprintf(
		    id, sizeof(id), "%s", w->agents[ev->index].worker.id);
		start_worker(w, ev->index, id);
		break;
	default:
		start_worker(w, ev->index, NULL);
		break;
	}
	if (ev->fault == WORLD_WORKER_RESTART ||
	    ev->fault == WORLD_WORKER_CRASH)
		w->agents[ev->index].cold_until = w->now + w->options.cold_ms;
}

/* ---- the loop ------------------------------------------------------------ */

static void
on_tick_entry(struct world *w, const struct event *ev)
{
	struct mlk_dispatch_event dev = { .type = MLK_DISPATCH_TICK };

	if (!w->entries[ev->index].up ||
	    w->entries[ev->index].generation != ev->generation)
		return;
	apply_entry(w, ev->index, &dev);
	push(w, w->now + TICK_MS, EV_TICK_ENTRY, ev->index)->generation =
	    ev->generation;
}

static void
on_tick_agent(struct world *w, const struct event *ev)
{
	struct mlk_runner_event rev = { .type = MLK_RUNNER_TICK };

	if (!w->agents[ev->index].up ||
	    w->agents[ev->index].generation != ev->generation)
		return;
	apply_agent(w, ev->index, &rev);
	push(w, w->now + TICK_MS, EV_TICK_AGENT, ev->index)->generation =
	    ev->generation;
}

static void
on_announce(struct world *w, const struct event *ev)
{
	if (!w->agents[ev->index].worker.up)
		return;
	(void)push(w, w->now + ANNOUNCE_MS, EV_ANNOUNCE, ev->index);
	announce(w, ev->index);
}

static void
on_order_result(struct world *w, struct event *ev)
{
	const struct world_agent *a = &w->agents[ev->index];
	bool lost;

	lost = ev->boot != 0 && (!a->worker.up || a->worker.boot != ev->boot);
	if (a->up && a->generation == ev->generation && !lost)
		apply_agent(w, ev->index, &ev->result);
	g_free((gpointer)ev->result.u.order.running);
	g_free((gpointer)ev->result.u.order.ended);
}

/*
 * Returns until when the process that handles an event is paused; 0: not
 * paused.
 */
static int64_t
paused_until(struct world *w, const struct event *ev)
{
	switch (ev->type) {
	case EV_TICK_ENTRY:
	case EV_REQUEST:
	case EV_CALLER_GONE:
	case EV_CONNECT_PEER:
		return (w->entries[ev->index].paused_until);
	case EV_TICK_AGENT:
	case EV_ORDER_RESULT:
	case EV_ANNOUNCE:
	case EV_NOTICE:
		return (w->agents[ev->index].paused_until);
	case EV_MSG:
	case EV_LINK_DOWN:
		return (ev->to_agent && !link_get(w, ev->link)->peers ?
			w->agents[ev->index].paused_until :
			w->entries[ev->index].paused_until);
	case EV_SUBMIT:
	default:
		return (0);
	}
}

static void
handle(struct world *w, struct event *ev)
{
	switch (ev->type) {
	case EV_TICK_ENTRY:
		on_tick_entry(w, ev);
		break;
	case EV_TICK_AGENT:
		on_tick_agent(w, ev);
		break;
	case EV_ANNOUNCE:
		on_announce(w, ev);
		break;
	case EV_SUBMIT:
		on_submit(w, ev);
		break;
	case EV_DEADLINE:
	case EV_LEAVE:
		on_caller_timer(w, ev);
		break;
	case EV_MSG:
		on_msg(w, ev);
		break;
	case EV_CONNECT:
		on_connect(w, ev);
		break;
	case EV_CONNECT_PEER:
		on_connect_peer(w, ev);
		break;
	case EV_LINK_DOWN:
		on_link_down(w, ev);
		break;
	case EV_ORDER:
		on_order(w, ev);
		break;
	case EV_LIST_DUE:
		on_list_due(w, ev);
		break;
	case EV_ORDER_RESULT:
		on_order_result(w, ev);
		break;
	case EV_REPLY:
		on_reply(w, ev);
		break;
	case EV_REQUEST:
		on_request(w, ev);
		break;
	case EV_CALLER_GONE:
		on_caller_gone(w, ev);
		break;
	case EV_FAULT:
		on_fault(w, ev);
		break;
	case EV_RESTART:
		on_restart(w, ev);
		break;
	case EV_ARRIVAL:
		on_arrival(w, ev);
		break;
	case EV_WORKER_LEAVES:
		on_worker_leaves(w, ev);
		break;
	case EV_NOTICE:
		on_notice(w, ev);
		break;
	case EV_WORKER_LEFT:
		on_worker_left(w, ev);
		break;
	}
}

/*
 * Removes the next event from the queue, which hands it to keep_removed().  An
 * event for a paused process is deferred until it resumes instead.  Returns
 * false if there is no event up to `until`.
 */
static bool
step(struct world *w, int64_t until)
{
	GSequenceIter *first;
	struct event *ev;
	int64_t resume;
	uint32_t i;

	first = g_sequence_get_begin_iter(w->events);
	if (g_sequence_iter_is_end(first))
		return (false);
	ev = g_sequence_get(first);
	if (ev->at > until)
		return (false);
	if (ev->at > w->now) {
		w->now = ev->at;
		for (i = 0; i < w->options.agents; i++)
			advance_worker(w, i);
	}
	/* Advancing the workers may have scheduled events. */
	first = g_sequence_get_begin_iter(w->events);
	ev = g_sequence_get(first);
	resume = paused_until(w, ev);
	if (resume > w->now) {
		/* A delayed tick may come before or after the other events. */
		ev->at = resume;
		if (ev->type == EV_TICK_ENTRY || ev->type == EV_TICK_AGENT)
			ev->at += below(w, 3);
		g_sequence_sort_changed(first, by_time, NULL);
		return (true);
	}
	g_sequence_remove(first);
	return (true);
}

static struct event *removed;

/*
 * Destroy function of the event queue: keeps the event that is removed, for the
 * caller of g_sequence_remove().
 */
static void
keep_removed(gpointer data)
{
	removed = data;
}

/*
 * Handles events until the given time or the first violation.
 */
static void
run_until(struct world *w, int64_t until)
{
	struct event *ev;

	for (;;) {
		removed = NULL;
		if (w->violation[0] != '\0' || !step(w, until))
			break;
		ev = removed;
		if (ev == NULL)
			continue;
		handle(w, ev);
		event_free(ev);
	}
	w->now = until > w->now ? until : w->now;
}

struct world *
world_create(const struct world_options *options)
{
	struct world *w;
	uint32_t i;

	w = g_new0(struct world, 1);
	w->options = *options;
	mlk_rng_seed(&w->rng, options->seed);
	w->now = 1000;
	w->events = g_sequence_new(keep_removed);
	w->links = g_ptr_array_new_with_free_func(g_free);
	w->jobs = g_ptr_array_new_with_free_func(g_free);
	w->by_request =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	w->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	w->last_boot = 1000;
	w->traffic = true;
	for (i = 0; i < options->entries; i++) {
		w->entries[i].clock_rate = 1.0 + below(w, 100) / 1e6;
		w->entries[i].clock_offset = below(w, 100000);
		start_entry(w, i);
	}
	for (i = 0; i < options->agents; i++) {
		w->agents[i].clock_rate = 1.0 + below(w, 100) / 1e6;
		w->agents[i].clock_offset = below(w, 100000);
		w->agents[i].waiting_lists =
		    g_array_new(FALSE, FALSE, sizeof(struct event));
		start_worker(w, i, NULL);
		start_agent(w, i);
	}
	for (i = 0; i == 0 || i < options->nroutes; i++)
		(void)push(w, w->now + 2500, EV_ARRIVAL, i);
	return (w);
}

void
world_destroy(struct world *w)
{
	GSequenceIter *iter;
	uint32_t i;

	while (!g_sequence_is_empty(w->events)) {
		iter = g_sequence_get_begin_iter(w->events);
		g_sequence_remove(iter);
		if (removed->type == EV_ORDER_RESULT) {
			g_free((gpointer)removed->result.u.order.running);
			g_free((gpointer)removed->result.u.order.ended);
		}
		event_free(removed);
	}
	g_sequence_free(w->events);
	for (i = 0; i < w->options.entries; i++)
		mlk_dispatcher_destroy(w->entries[i].d);
	for (i = 0; i < w->options.agents; i++) {
		mlk_runner_destroy(w->agents[i].r);
		(void)g_array_free(w->agents[i].waiting_lists, TRUE);
	}
	g_hash_table_destroy(w->by_request);
	g_hash_table_destroy(w->by_id);
	g_ptr_array_free(w->jobs, TRUE);
	g_ptr_array_free(w->links, TRUE);
	g_free(w);
}

void
world_fault(struct world *w, int64_t at, enum world_fault fault, uint32_t a,
    uint32_t b, uint32_t ms)
{
	struct event *ev;

	ev = push(w, at, EV_FAULT, b);
	ev->request = a;
	ev->fault = fault;
	ev->ms = ms;
}

void
world_run(struct world *w, int64_t until)
{
	run_until(w, until);
}

/*
 * Returns how many jobs still wait for an answer or another attempt.
 */
static uint32_t
unanswered(struct world *w)
{
	const struct world_job *job;
	uint32_t n = 0;
	guint j;

	for (j = 0; j < w->jobs->len; j++) {
		job = job_by_index(w, j);
		if (job->open ||
		    (!job->finished && job->attempts < ATTEMPTS_MAX))
			n++;
	}
	return (n);
}

void
world_settle(struct world *w)
{
	int64_t end = w->now + SETTLE_MS;
	const struct world_job *job;
	guint j;

	w->traffic = false;
	w->leave_until = 0;
	do {
		run_until(w, w->now + SETTLE_STEP_MS);
	} while (unanswered(w) > 0 && w->now < end && w->violation[0] == '\0');
	w->stats.unanswered = unanswered(w);
	for (j = 0; j < w->jobs->len; j++) {
		job = job_by_index(w, j);
		if (job->started && job->attempts > 0 && !job->open &&
		    job->rejected == job->attempts)
			violated(w, "not run", job);
	}
}

const char *
world_violation(const struct world *w)
{
	return (w->violation[0] == '\0' ? NULL : w->violation);
}

/*
 * Returns the largest relative error of the measured speeds, in thousandths.
 * Only ratios of speeds are defined, so both are related to their means.
 */
static uint32_t
speed_error(const struct world *w)
{
	double measured[WORLD_AGENTS_MAX], actual, mean = 0, worst = 0;
	struct mlk_runner_gauges gauges = { 0 };
	uint32_t i;

	for (i = 0; i < w->options.agents; i++) {
		if (w->agents[i].r != NULL)
			mlk_runner_gauges(w->agents[i].r, &gauges);
		actual = w->options.speeds == NULL ? 1 : w->options.speeds[i];
		/* An unknown speed counts as the usual one. */
		measured[i] =
		    log2((gauges.speed != 0 ? gauges.speed : 1000) / actual);
		mean += measured[i] / w->options.agents;
	}
	for (i = 0; i < w->options.agents; i++)
		worst = MAX(worst, fabs(exp2(measured[i] - mean) - 1));
	return ((uint32_t)(worst * 1000));
}

static void
read_verdicts(const struct mlk_dispatcher *d, struct world_stats *out)
{
	struct mlk_interference_pair pairs[MLK_VERDICTS_MAX];
	bool decides;
	uint32_t i, n;

	n = mlk_dispatcher_interference(d, pairs, MLK_VERDICTS_MAX, &decides);
	for (i = 0; i < n; i++) {
		if (!pairs[i].verdict)
			continue;
		out->verdicts++;
		if (strcmp(pairs[i].kind, "r1/0") == 0 ||
		    strcmp(pairs[i].other, "r1/0") == 0 ||
		    strcmp(pairs[i].kind, pairs[i].other) == 0)
			out->wrong_verdicts++;
	}
	out->kept_apart = (uint32_t)mlk_dispatch_counters(d)->kept_apart;
}

void
world_read_stats(const struct world *w, struct world_stats *out)
{
	uint32_t i;

	*out = w->stats;
	out->speed_error = speed_error(w);
	if (w->entries[0].d != NULL)
		read_verdicts(w->entries[0].d, out);
	for (i = 0; i < w->options.agents; i++) {
		if (w->agents[i].r == NULL)
			continue;
		out->sick +=
		    (uint32_t)mlk_runner_counters(w->agents[i].r)->sick;
		out->tasks_refused +=
		    (uint32_t)mlk_runner_counters(w->agents[i].r)->refused;
		out->tasks_held +=
		    (uint32_t)mlk_runner_counters(w->agents[i].r)->held;
	}
}

static double
job_work(const struct world_job *job)
{
	double work = 0;
	uint32_t k;

	for (k = 0; k < job->count; k++)
		work += (double)job->work_ms[k] * job->cpu;
	return (work);
}

static gint
by_work(gconstpointer a, gconstpointer b)
{
	double x = job_work(*(struct world_job *const *)a);
	double y = job_work(*(struct world_job *const *)b);

	return (x > y ? -1 : x < y);
}

static bool
is_within(const struct world_job *job, uint32_t goals)
{
	return (job->completed_at != 0 &&
	    job->completed_at - job->sent_at <= (int64_t)job->goal_ms * goals);
}

void
world_read_route(
    const struct world *w, uint32_t route, struct world_route_stats *out)
{
	const struct world_job *job;
	GPtrArray *jobs;
	guint j;

	memset(out, 0, sizeof(*out));
	jobs = g_ptr_array_new();
	for (j = 0; j < w->jobs->len; j++) {
		job = g_ptr_array_index(w->jobs, j);
		if (job->route != route || job->entry_lost ||
		    job->sent_at < w->options.count_from ||
		    job->sent_at >= w->options.count_until)
			continue;
		g_ptr_array_add(jobs, (gpointer)job);
		out->jobs++;
		out->completed += job->completed_at != 0;
		out->useful += is_within(job, USEFUL_GOALS);
		out->in_goal += is_within(job, 1);
		out->refusals += job->rejected;
		out->refusals_early += job->refusals_early;
		out->untried += job->untried;
		out->work += job_work(job);
		out->work_in_goal += is_within(job, 1) ? job_work(job) : 0;
	}
	g_ptr_array_sort(jobs, by_work);
	out->large = jobs->len / 10;
	for (j = 0; j < out->large; j++)
		out->large_useful +=
		    is_within(g_ptr_array_index(jobs, j), USEFUL_GOALS);
	(void)g_ptr_array_free(jobs, TRUE);
}
