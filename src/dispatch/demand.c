/*
 * Demand by route; see demand.h.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/base.h>

#include "demand.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)

#define WINDOW_NS (100 * MS) /* between two updates of the rates */
/*
 * Time constant of the present rate.  An entry may get 20 jobs/s of a route;
 * a shorter time gives rates that vary by half without a change of the load.
 */
#define RATE_NS (300 * MS)
/*
 * Time constant of the usual rate: several periods of the load's variation,
 * which are 11 to 13 s, and long against an overload of some seconds.
 */
#define USUAL_NS (30000 * MS)
#define KNOWN_NS (5000 * MS) /* of demand, until its usual rates are used */
/*
 * Interval of the reports to peers: an entry sends 40 a second or fewer,
 * whatever the number of peers; early ones come on top.
 */
#define REPORT_NS (250 * MS)
#define REPORT_PER_PEER_NS (25 * MS)
/* A rate that has changed by this part is reported early. */
#define REPORT_CHANGE 0.3
#define REPORT_EARLY_NS (100 * MS)
#define REPORT_EXPIRES 4 /* intervals */
/*
 * Names of routes come from peers too.  At this number the idle ones are
 * removed, at most once a window; further routes are not counted.
 */
#define ROUTES_MAX 4096U
#define PEERS_MAX 1024U
#define BIAS_RUNS 256U /* runs after which older ones decay exponentially */
#define BIAS_MIN_RUNS 8U
#define BIAS_MAX 4.0 /* a higher factor is taken for a fault of workers */
#define BIAS_MIN 0.25
#define IDLE_RATE 1.0 /* thousandths of a core; below it a route is idle */
#define QUEUED_MAX 1e18 /* in a report; fits an integer of 64 bits */

struct route {
	char name[MLK_NAME_MAX];
	double window_offered; /* work that arrived in the current window */
	double window_admitted;
	double offered; /* rate */
	double admitted;
	double reported; /* `offered` in the last report */
	double queued; /* work */
	uint32_t nqueued; /* tasks in `queued` */
	double usual; /* of the total of all entries */
	uint32_t nruns; /* in the means below */
	double ran; /* mean work of a run */
	double expected; /* mean expected work of a run */
};

struct peer_report {
	char id[MLK_NAME_MAX];
	uint64_t incarnation;
	uint64_t sent_at;
	int64_t received_at;
	uint32_t n;
	struct mlk_route_demand items[MLK_DEMAND_MAX];
};

struct demand {
	GHashTable *routes; /* name -> struct route */
	GPtrArray *peers; /* struct peer_report */
	int64_t now; /* of the last update */
	int64_t first_at; /* of the first job that arrived here; 0: none yet */
	int64_t started_at; /* of the first update; 0: none yet */
	int64_t window_start;
	int64_t interval; /* of the reports */
	int64_t reported_at;
	int64_t
	    evicted_at; /* window_start when idle routes were last removed */
	bool changed; /* a rate has changed so much that it is reported early */
	bool active; /* a route has demand, or had at the last report */
};

static int64_t
report_interval(uint32_t peers)
{
	return (MAX(REPORT_NS, REPORT_PER_PEER_NS * (int64_t)peers));
}

struct demand *
demand_create(void)
{
	struct demand *d;

	d = g_new0(struct demand, 1);
	d->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	d->peers = g_ptr_array_new_with_free_func(g_free);
	d->interval = REPORT_NS;
	return (d);
}

void
demand_destroy(struct demand *d)
{
	if (d == NULL)
		return;
	g_ptr_array_free(d->peers, TRUE);
	g_hash_table_destroy(d->routes);
	g_free(d);
}

static gboolean
is_idle(gpointer key, gpointer value, gpointer data)
{
	const struct route *r = value;

	(void)key;
	(void)data;
	return (r->offered < IDLE_RATE && r->window_offered <= 0 &&
	    r->nqueued == 0);
}

/*
 * Returns the record of a route, or NULL when there are too many.
 */
static struct route *
route_get(struct demand *d, const char *name)
{
	struct route *r;

	r = g_hash_table_lookup(d->routes, name);
	if (r != NULL)
		return (r);
	if (g_hash_table_size(d->routes) >= ROUTES_MAX &&
	    d->evicted_at != d->window_start) {
		(void)g_hash_table_foreach_remove(d->routes, is_idle, NULL);
		d->evicted_at = d->window_start;
	}
	if (g_hash_table_size(d->routes) >= ROUTES_MAX)
		return (NULL);
	r = g_new0(struct route, 1);
	(void)g_strlcpy(r->name, name, sizeof(r->name));
	(void)g_hash_table_insert(d->routes, r->name, r);
	return (r);
}

/*
 * Counts the work of a job that arrived.
 */
void
demand_arrived(struct demand *d, const char *route, double work, bool admitted)
{
	struct route *r = route_get(d, route);

	if (d->first_at == 0)
		d->first_at = d->now;
	if (r == NULL)
		return;
	r->window_offered += work;
	if (admitted)
		r->window_admitted += work;
}

/*
 * Adds the work of a task that waits.
 */
void
demand_queued(struct demand *d, const char *route, double work)
{
	struct route *r = route_get(d, route);

	if (r == NULL)
		return;
	r->nqueued++;
	r->queued += work;
}

/*
 * Removes the work of a task that was queued.
 */
void
demand_dequeued(struct demand *d, const char *route, double work)
{
	struct route *r = g_hash_table_lookup(d->routes, route);

	if (r == NULL || r->nqueued == 0)
		return;
	r->nqueued--;
	/* An empty queue must not keep a rounding error. */
	r->queued = r->nqueued == 0 ? 0 : MAX(r->queued - work, 0);
}

/*
 * Records the actual and the expected work of a completed run.  Expected run
 * times come from geometric means and from estimates of the callers, which vary
 * too, so that their sum is not that of the work.
 */
void
demand_ran(
    struct demand *d, const char *route, double expected_work, double work)
{
	struct route *r;

	r = route_get(d, route);
	if (r == NULL)
		return;
	if (r->nruns < BIAS_RUNS)
		r->nruns++;
	r->ran += (work - r->ran) / r->nruns;
	r->expected += (expected_work - r->expected) / r->nruns;
}

/*
 * Returns the work of the runs of a route in relation to their expected work.
 */
double
demand_bias(const struct demand *d, const char *route)
{
	const struct route *r = g_hash_table_lookup(d->routes, route);

	if (r == NULL || r->nruns < BIAS_MIN_RUNS || r->expected <= 0)
		return (1.0);
	return (CLAMP(r->ran / r->expected, BIAS_MIN, BIAS_MAX));
}

static bool
is_current(const struct demand *d, const struct peer_report *p)
{
	return (d->now - p->received_at < d->interval * REPORT_EXPIRES);
}

/*
 * Adds the recent reports of the peers on a route.
 */
static void
add_peers(const struct demand *d, const char *name, struct demand_total *out)
{
	const struct peer_report *p;
	uint32_t i;
	guint k;

	for (k = 0; k < d->peers->len; k++) {
		p = g_ptr_array_index(d->peers, k);
		if (!is_current(d, p))
			continue;
		out->entries++;
		out->age = MAX(out->age, d->now - p->received_at);
		for (i = 0; i < p->n; i++) {
			if (strcmp(p->items[i].route, name) != 0)
				continue;
			out->offered += p->items[i].offered;
			out->queued += (double)p->items[i].queued;
			break;
		}
	}
}

/*
 * Returns the demand for a route at all entries that are known.
 */
void
demand_total(
    const struct demand *d, const char *route, struct demand_total *out)
{
	const struct route *r = g_hash_table_lookup(d->routes, route);

	memset(out, 0, sizeof(*out));
	out->entries = 1;
	if (r != NULL) {
		out->offered = r->offered;
		out->queued = r->queued;
		out->usual = r->usual;
	}
	add_peers(d, route, out);
}

/*
 * Updates the usual rate.  Until the first time constant has passed it is the
 * mean since the start.
 */
static void
update_usual(const struct demand *d, struct route *r, int64_t span)
{
	struct demand_total total;
	double age;

	demand_total(d, r->name, &total);
	age = (double)MIN(d->now - d->started_at, USUAL_NS);
	r->usual +=
	    (total.offered - r->usual) * MIN(1.0, (double)span / MAX(age, 1));
}

/*
 * Tells whether the usual rates are known: for the first seconds of demand they
 * are as wrong as the present ones, since run times are not measured yet.
 */
bool
demand_is_known(const struct demand *d)
{
	return (d->first_at != 0 && d->now - d->first_at >= KNOWN_NS);
}

/*
 * Closes the window of the rates when it has passed.
 */
void
demand_update(struct demand *d, int64_t now)
{
	int64_t span = now - d->window_start;
	GHashTableIter iter;
	struct route *r;
	gpointer value;
	double keep;

	d->now = now;
	if (d->started_at == 0) {
		d->started_at = now;
		d->window_start = now;
		return;
	}
	if (span < WINDOW_NS)
		return;
	keep = exp(-(double)span / (double)RATE_NS);
	d->active = false;
	g_hash_table_iter_init(&iter, d->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		r = value;
		r->offered = r->offered * keep +
		    r->window_offered * MS / (double)span * (1 - keep);
		r->admitted = r->admitted * keep +
		    r->window_admitted * MS / (double)span * (1 - keep);
		r->window_offered = 0;
		r->window_admitted = 0;
		update_usual(d, r, span);
		d->active |=
		    r->nqueued > 0 || MAX(r->offered, r->reported) >= IDLE_RATE;
		if (fabs(r->offered - r->reported) >
		    REPORT_CHANGE * MAX(r->reported, IDLE_RATE))
			d->changed = true;
	}
	d->window_start = now;
}

/*
 * Tells whether to report to the peers now.  Without any demand, the last
 * report says so and no other follows.
 */
bool
demand_report_due(const struct demand *d, uint32_t peers, int64_t now)
{
	int64_t since = now - d->reported_at, interval;

	if (peers == 0 || !d->active)
		return (false);
	interval = report_interval(peers);
	if (d->changed && since >= MAX(REPORT_EARLY_NS, interval / 3))
		return (true);
	return (since >= interval);
}

static gint
by_offered(gconstpointer a, gconstpointer b)
{
	const struct route *x = *(struct route *const *)a;
	const struct route *y = *(struct route *const *)b;

	return (x->offered > y->offered ? -1 : x->offered < y->offered);
}

/*
 * Fills the report on the busiest routes.  The caller sets the sender's id and
 * clears the message.
 */
void
demand_report(struct demand *d, int64_t now, struct mlk_demand_report *out)
{
	struct mlk_route_demand *item;
	GHashTableIter iter;
	GPtrArray *busy;
	struct route *r;
	gpointer value;
	guint i;

	busy = g_ptr_array_new();
	g_hash_table_iter_init(&iter, d->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		r = value;
		r->reported = r->offered;
		if (r->offered >= IDLE_RATE || r->nqueued > 0)
			g_ptr_array_add(busy, r);
	}
	g_ptr_array_sort(busy, by_offered);
	out->n = MIN(busy->len, MLK_DEMAND_MAX);
	out->items = calloc(out->n + 1, sizeof(*out->items));
	if (out->items == NULL)
		g_error("out of memory");
	for (i = 0; i < out->n; i++) {
		r = g_ptr_array_index(busy, i);
		item = &out->items[i];
		(void)g_strlcpy(item->route, r->name, sizeof(item->route));
		item->offered = (uint32_t)MIN(r->offered, (double)UINT32_MAX);
		item->admitted = (uint32_t)MIN(r->admitted, (double)UINT32_MAX);
		item->queued = (uint64_t)MIN(r->queued, QUEUED_MAX);
	}
	(void)g_ptr_array_free(busy, TRUE);
	d->reported_at = now;
	d->changed = false;
}

/*
 * Returns the record of a peer, or NULL when there are too many.  Records that
 * no longer count are removed, that of this peer too: a machine whose clock
 * was set back starts its entry with a lower incarnation.
 */
static struct peer_report *
peer_get(struct demand *d, const char *id)
{
	struct peer_report *p, *found = NULL;
	guint i;

	for (i = d->peers->len; i > 0; i--) {
		p = g_ptr_array_index(d->peers, i - 1);
		if (!is_current(d, p))
			(void)g_ptr_array_remove_index_fast(d->peers, i - 1);
		else if (strcmp(p->id, id) == 0)
			found = p;
	}
	if (found != NULL)
		return (found);
	if (d->peers->len >= PEERS_MAX)
		return (NULL);
	p = g_new0(struct peer_report, 1);
	(void)g_strlcpy(p->id, id, sizeof(p->id));
	g_ptr_array_add(d->peers, p);
	return (p);
}

/*
 * Handles the report of a peer.  One that was sent before the last one applied
 * is ignored while that one counts.
 */
void
demand_apply(
    struct demand *d, const struct mlk_demand_report *report, int64_t now)
{
	struct peer_report *p;
	uint32_t i;

	p = peer_get(d, report->id);
	if (p == NULL || report->incarnation < p->incarnation ||
	    (report->incarnation == p->incarnation &&
		report->sent_at < p->sent_at))
		return;
	p->incarnation = report->incarnation;
	p->sent_at = report->sent_at;
	p->received_at = now;
	p->n = MIN(report->n, MLK_DEMAND_MAX);
	memcpy(p->items, report->items, p->n * sizeof(p->items[0]));
	/* The interval of all entries follows from their number. */
	d->interval = report_interval(d->peers->len);
	for (i = 0; i < p->n; i++)
		(void)route_get(d, p->items[i].route);
}

/*
 * Calls fn with the name of each route that has demand at any entry.
 */
void
demand_each_route(
    const struct demand *d, void (*fn)(const char *route, void *arg), void *arg)
{
	const struct route *r;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		r = value;
		fn(r->name, arg);
	}
}
