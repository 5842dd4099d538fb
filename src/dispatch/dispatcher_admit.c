/*
 * Admission control: which jobs an entry accepts while a pool is short of
 * capacity.
 *
 * Without it, an overload of one queue makes every queue late: jobs wait until
 * their slack has ended and are then refused, or are started too late to be of
 * use.  Each queue therefore has a share of the pool (shares.c), computed from
 * the demand at all entries (demand.c), and each entry admits the same fraction
 * of the jobs that arrive for a queue.  The fractions of all entries add up to
 * the share without any exchange per job.  Work that waits reduces the capacity
 * that is shared out, so that errors of the estimates do not add up.
 *
 * A job for which resources are free is always admitted.
 */
#include <math.h>
#include <string.h>

#include "dispatcher_priv.h"
#include "shares.h"

/*
 * Part of the capacity that can be used.  Tasks do not fill a worker to its
 * last core: 11 tasks of 5.6 cores on a worker of 64 leave 4 %, smaller ones
 * less.
 */
#define USABLE_SHARE 0.97
/*
 * Part of the slack of a queue's jobs for which its work may wait.  Some
 * waiting work keeps the workers busy; the rest of the slack is for run times
 * and arrivals that vary.
 */
#define BACKLOG_SLACK 0.3
/* Work that waits beyond that is to be done within this time. */
#define BACKLOG_DRAIN_NS (300 * MS)
#define SLACK_WEIGHT 0.05 /* of one job in the mean slack of its queue */
/* Offered part of the usable capacity from which a pool counts as short. */
#define SHORT_LOAD 0.9
#define SHORT_LOG_NS (1000 * MS) /* between two log lines on one pool */
#define ERROR_WEIGHT 0.05 /* of one job in the mean error of the estimate */
/*
 * After a power failure agents attach to an entry within 1 to 2 s, each at most
 * some 100 ms after another.
 */
#define ATTACHING_NS (300 * MS)
#define ROUTES_MAX 256U /* that compete for one pool */

/* A queue as admission sees it. */
struct admission_route {
	char name[MLK_NAME_MAX];
	char pool[MLK_NAME_MAX]; /* empty: not in the routing table */
	uint64_t routing_version; /* of the table that `pool` is from */
	double weight;
	double fraction; /* of the arriving jobs that is admitted */
	double offered; /* by all entries, thousandths of a core */
	double queued; /* work that waits at all entries */
	double share;
	double slack; /* mean of the jobs on arrival, ns */
	int64_t next_retry_at; /* of the next refused caller */
};

struct admission_pool {
	char name[MLK_NAME_MAX];
	double capacity; /* thousandths of a core */
	double free;
	double offered;
	double queued; /* work at all entries */
	double excess; /* part of it that waits longer than wanted */
	int64_t age; /* of the oldest peer report in it */
	uint32_t entries; /* that it is made from */
	bool is_short;
	bool logged_short; /* as the last log line says */
	int64_t logged_at;
};

struct admission {
	GHashTable *routes; /* name -> struct admission_route */
	GHashTable *pools; /* name -> struct admission_pool */
	uint32_t nshort; /* pools that are short of capacity */
	uint32_t nagents; /* usable */
	int64_t grown_at; /* when their number last rose */
	double error_ms; /* mean of |estimated - actual wait| */
};

struct admission *
dispatch_admission_create(void)
{
	struct admission *adm;

	adm = g_new0(struct admission, 1);
	adm->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	adm->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return (adm);
}

void
dispatch_admission_destroy(struct admission *adm)
{
	if (adm == NULL)
		return;
	g_hash_table_destroy(adm->routes);
	g_hash_table_destroy(adm->pools);
	g_free(adm);
}

static const struct mlk_route *
find_route(const struct mlk_dispatcher *d, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->routing.nroutes; i++) {
		if (strcmp(d->routing.routes[i].name, name) == 0)
			return (&d->routing.routes[i]);
	}
	return (NULL);
}

/*
 * Returns the record of a route, as of the routing table in force.
 */
static struct admission_route *
route_get(struct mlk_dispatcher *d, const char *name)
{
	struct admission *adm = d->admission;
	const struct mlk_route *route;
	struct admission_route *r;

	r = g_hash_table_lookup(adm->routes, name);
	if (r == NULL) {
		r = g_new0(struct admission_route, 1);
		(void)g_strlcpy(r->name, name, sizeof(r->name));
		r->fraction = 1;
		(void)g_hash_table_insert(adm->routes, r->name, r);
	}
	if (r->routing_version == d->routing.version)
		return (r);
	r->routing_version = d->routing.version;
	route = find_route(d, name);
	(void)g_strlcpy(
	    r->pool, route != NULL ? route->pool : "", sizeof(r->pool));
	r->weight = shares_weight(route != NULL ? route->priority : 0);
	return (r);
}

static struct admission_pool *
pool_get(struct admission *adm, const char *name)
{
	struct admission_pool *p;

	p = g_hash_table_lookup(adm->pools, name);
	if (p != NULL)
		return (p);
	p = g_new0(struct admission_pool, 1);
	(void)g_strlcpy(p->name, name, sizeof(p->name));
	p->entries = 1;
	(void)g_hash_table_insert(adm->pools, p->name, p);
	return (p);
}

/*
 * Sums up the capacity of the workers that this entry may use.
 */
static void
measure_capacity(struct mlk_dispatcher *d)
{
	struct mlk_resources free;
	struct admission_pool *p;
	const struct agent *a;
	GHashTableIter iter;
	uint32_t nagents = 0;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, d->admission->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		p = value;
		p->capacity = 0;
		p->free = 0;
		p->offered = 0;
		p->queued = 0;
		p->excess = 0;
		p->age = 0;
		p->entries = 1;
	}
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (!dispatch_agent_usable(d, a, a->info.pool))
			continue;
		p = pool_get(d->admission, a->info.pool);
		free = dispatch_agent_available(a);
		p->capacity += a->info.capacity.cpu;
		p->free += free.cpu;
		nagents++;
	}
	if (nagents > d->admission->nagents)
		d->admission->grown_at = d->now;
	d->admission->nagents = nagents;
}

/* The routes that compete for one pool. */
struct competing {
	struct mlk_dispatcher *d;
	struct admission_pool *pool;
	struct admission_route *routes[ROUTES_MAX];
	struct share_queue queues[ROUTES_MAX];
	uint32_t n;
};

static void
add_route(const char *name, void *data)
{
	struct competing *c = data;
	struct demand_total total;
	struct admission_route *r;
	struct share_queue *q;

	r = route_get(c->d, name);
	if (strcmp(r->pool, c->pool->name) != 0 || c->n >= ROUTES_MAX)
		return;
	demand_total(c->d->demand, name, &total);
	q = &c->queues[c->n];
	q->weight = r->weight;
	q->usual = total.usual;
	q->demand = total.offered;
	c->routes[c->n++] = r;
	r->offered = total.offered;
	r->queued = total.queued;
	c->pool->excess += MAX(
	    total.queued - total.offered * r->slack / MS * BACKLOG_SLACK, 0);
	c->pool->offered += total.offered;
	c->pool->queued += total.queued;
	c->pool->entries = MAX(c->pool->entries, total.entries);
	c->pool->age = MAX(c->pool->age, total.age);
}

/*
 * Returns the capacity that arriving jobs may use: what work that waits too
 * long leaves.
 */
static double
open_capacity(const struct admission_pool *p)
{
	return (MAX(
	    p->capacity * USABLE_SHARE - p->excess * MS / BACKLOG_DRAIN_NS, 0));
}

static void
log_short(struct mlk_dispatcher *d, struct admission_pool *p, bool is_short)
{
	p->is_short = is_short;
	if (p->logged_short == is_short ||
	    (d->now - p->logged_at < SHORT_LOG_NS && p->logged_at != 0))
		return;
	p->logged_short = is_short;
	p->logged_at = d->now;
	dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
	    "pool %s %s: %.1f of %.1f cores offered, %.1f free, %.0f ms of "
	    "work waits, %u entries, reports %" PRId64 " ms old",
	    p->name,
	    is_short ? "is short of capacity" : "has enough capacity again",
	    p->offered / 1000, p->capacity / 1000, p->free / 1000,
	    p->capacity > 0 ? p->queued / p->capacity : 0, p->entries,
	    p->age / MS);
}

static void
update_pool(struct mlk_dispatcher *d, struct admission_pool *p)
{
	struct competing c = { .d = d, .pool = p };
	struct admission_route *r;
	uint32_t i;

	demand_each_route(d->demand, add_route, &c);
	shares_compute(c.queues, c.n, open_capacity(p));
	for (i = 0; i < c.n; i++) {
		r = c.routes[i];
		r->share = c.queues[i].share;
		r->fraction = r->offered > 0 ? r->share / r->offered : 1;
	}
	log_short(d, p,
	    p->offered > p->capacity * USABLE_SHARE * SHORT_LOAD ||
		p->excess > 0);
}

/*
 * Updates the shares, and reports this entry's demand to its peers.
 */
void
dispatch_admission_due(struct mlk_dispatcher *d)
{
	GHashTableIter iter;
	struct mlk_msg *msg;
	uint32_t peers = 0;
	struct peer *p;
	gpointer value;
	guint i;

	if (d->admission == NULL)
		return;
	demand_update(d->demand, d->now);
	measure_capacity(d);
	d->admission->nshort = 0;
	g_hash_table_iter_init(&iter, d->admission->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		update_pool(d, value);
		d->admission->nshort +=
		    ((struct admission_pool *)value)->is_short;
	}
	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		peers += p->link != 0;
	}
	if (!demand_report_due(d->demand, peers, d->now))
		return;
	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (p->link == 0)
			continue;
		msg = dispatch_send(d, p->link, MLK_MSG_DEMAND);
		msg->u.demand.sent_at = dispatch_now_ms(d);
		msg->u.demand.incarnation = d->options.self.incarnation;
		(void)g_strlcpy(msg->u.demand.id, d->options.self.id,
		    sizeof(msg->u.demand.id));
		demand_report(d->demand, d->now, &msg->u.demand);
	}
	d->counters.demand_reports++;
}

/*
 * Returns the expected work of a whole job.
 */
static double
job_work(struct mlk_dispatcher *d, const struct job *job)
{
	double work = 0;
	uint32_t i;

	for (i = 0; i < job->nsteps; i++)
		work += job->steps[i].count * dispatch_task_work(d, job, i);
	return (work);
}

/*
 * Returns the expected time until work with this slack that arrives now is
 * started, in ns.  Work is done in order of its slack, but that of queues
 * within their share first when it has little slack.
 */
static int64_t
expected_wait(const struct mlk_dispatcher *d, const struct admission_pool *p,
    bool within_share, double slack)
{
	const struct admission_route *r;
	GHashTableIter iter;
	bool preferred;
	double ahead = 0;
	gpointer value;

	preferred = within_share && slack <= (double)PREFERRED_SLACK_NS;
	if (p->capacity <= 0)
		return (0);
	g_hash_table_iter_init(&iter, d->admission->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		r = value;
		if (strcmp(r->pool, p->name) != 0)
			continue;
		if (r->slack <= slack && (!preferred || r->fraction >= 1))
			ahead += r->queued;
	}
	return ((int64_t)(ahead / (p->capacity * USABLE_SHARE) * MS));
}

/*
 * Refuses a job: logs what the decision was made from and answers.
 */
static void
refuse(struct mlk_dispatcher *d, struct job *job, struct admission_route *r,
    const struct admission_pool *p, const char *cause, double work)
{
	uint32_t retry_ms;
	double rate;

	/* Every entry spreads the callers that it refuses. */
	rate = MAX(r->share, p->capacity / 100) / p->entries;
	retry_ms =
	    dispatch_retry_after_share_ms(d, work, rate, &r->next_retry_at);
	dispatch_log(d, MLK_LOG_INFO, job, NULL,
	    "refused: %s; queue %.1f cores offered, share %.1f; pool %.1f of "
	    "%.1f free, %" PRId64 " ms of work ahead, %u entries, reports "
	    "%" PRId64 " ms old; slack %" PRId64 " ms, back in %u ms",
	    cause, r->offered / 1000, r->share / 1000, p->free / 1000,
	    p->capacity / 1000, job->wait_expected / MS, p->entries,
	    p->age / MS, (job->start_by - d->now) / MS, retry_ms);
	dispatch_job_refuse(d, job, retry_ms);
}

/*
 * Tells whether agents are still attaching to an entry that has just started,
 * so that the capacity is not known yet.
 */
static bool
is_capacity_unknown(const struct mlk_dispatcher *d)
{
	return (dispatch_warming_up(d) &&
	    d->now - d->admission->grown_at < ATTACHING_NS);
}

/*
 * Decides on a job that has just arrived.  Returns false when it was refused
 * and is gone.
 */
bool
dispatch_admit(struct mlk_dispatcher *d, struct job *job)
{
	struct admission_route *r;
	struct admission_pool *p;
	const char *cause = NULL;
	double work, slack;

	if (d->admission == NULL)
		return (true);
	work = job_work(d, job);
	r = route_get(d, job->route);
	job->within_share = r->fraction >= 1;
	p = pool_get(d->admission, job->pool);
	slack = (double)(job->start_by - job->arrived);
	r->slack += (slack - r->slack) * (r->slack == 0 ? 1 : SLACK_WEIGHT);
	job->wait_expected = expected_wait(d, p, job->within_share, slack);
	if (p->capacity > 0 && !is_capacity_unknown(d) &&
	    !dispatch_fits_now(d, job)) {
		if (r->fraction < 1 && demand_is_known(d->demand) &&
		    mlk_rng_below(&d->rng, 1U << 16) >=
			r->fraction * (1U << 16)) {
			cause = "its queue is over its share";
			d->counters.refused_share++;
		} else if (p->is_short &&
		    d->now + job->wait_expected > job->start_by) {
			cause = "it would start too late";
			d->counters.refused_time++;
		}
	}
	demand_arrived(d->demand, job->route, work, cause == NULL);
	if (cause == NULL)
		return (true);
	refuse(d, job, r, p, cause, work);
	return (false);
}

/*
 * Tells whether a pool is short of capacity, so that the order of the queue
 * goes by shares.
 */
bool
dispatch_any_pool_short(const struct mlk_dispatcher *d)
{
	return (d->admission != NULL && d->admission->nshort > 0);
}

/*
 * Tells whether a job of which nothing has started is to be refused because its
 * goal can no longer be met and the pool is short of capacity: whatever it
 * would use makes another job late.
 */
bool
dispatch_admission_hopeless(struct mlk_dispatcher *d, const struct job *job)
{
	const struct admission_pool *p;

	if (d->admission == NULL ||
	    d->now < job->arrived + job->goal_ns - job->work_ns)
		return (false);
	p = g_hash_table_lookup(d->admission->pools, job->pool);
	return (p != NULL && p->is_short && !is_capacity_unknown(d));
}

/*
 * The last task of a job was sent: compares the wait with the estimate.
 */
void
dispatch_admission_started(struct mlk_dispatcher *d, const struct job *job)
{
	double error;

	if (d->admission == NULL)
		return;
	error = (double)(job->wait_expected - (d->now - job->arrived)) / MS;
	d->admission->error_ms +=
	    (fabs(error) - d->admission->error_ms) * ERROR_WEIGHT;
}

void
dispatch_admission_gauges(
    const struct mlk_dispatcher *d, struct mlk_dispatch_gauges *out)
{
	const struct admission_pool *p;
	GHashTableIter iter;
	gpointer value;

	if (d->admission == NULL)
		return;
	g_hash_table_iter_init(&iter, d->admission->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		p = value;
		out->capacity_cpu += (uint64_t)p->capacity;
		out->free_cpu += (uint64_t)p->free;
		out->offered_cpu += (uint64_t)p->offered;
		out->pools_short += p->is_short;
		out->wait_ms = MAX(out->wait_ms,
		    (uint64_t)(expected_wait(d, p, false, INFINITY) / MS));
	}
	out->wait_error_ms = (uint64_t)d->admission->error_ms;
}

/*
 * Calls fn for each queue with demand, for the metrics page.
 */
void
mlk_dispatcher_each_share(const struct mlk_dispatcher *d,
    void (*fn)(const struct mlk_queue_share *share, void *arg), void *arg)
{
	const struct admission_route *r;
	struct mlk_queue_share share;
	GHashTableIter iter;
	gpointer value;

	if (d->admission == NULL)
		return;
	g_hash_table_iter_init(&iter, d->admission->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		r = value;
		if (r->pool[0] == '\0')
			continue;
		share.route = r->name;
		share.offered = (uint64_t)r->offered;
		share.share = (uint64_t)r->share;
		fn(&share, arg);
	}
}
