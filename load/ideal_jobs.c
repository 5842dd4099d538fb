/*
 * Draws the jobs of a day (ideal.h) from its seed: a Poisson process whose rate
 * follows the wave, with the floods on top, and log-normal run times.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "arrivals.h"
#include "ideal.h"

#define JOBS_MAX 4000000.0 /* limits memory when a rate is mistyped */
#define TASKS_MAX 20000000U /* 160 MB of run times */
#define MSEC_PER_SEC 1000.0
#define CORE_UNITS 1000.0 /* cores are counted in thousandths */

/* The rates of a day, in jobs per second. */
struct rates {
	const struct mlk_ideal_day *day;
	double base[MLK_IDEAL_ROUTES_MAX]; /* per route, without floods */
	double *flood; /* per flood, while it lasts */
	double max; /* never exceeded by the sum of all routes */
};

static const struct mlk_ideal_kind *
find_kind(const struct mlk_ideal_day *day, const char *name)
{
	const struct mlk_ideal_kind *k = day->kinds;

	while (strcmp(k->name, name) != 0)
		k++;
	return (k);
}

static uint32_t
find_route(const struct mlk_ideal_day *day, const char *name)
{
	uint32_t i = 0;

	while (strcmp(day->routes[i].name, name) != 0)
		i++;
	return (i);
}

/*
 * Returns the mean work of a job of a route, in core-seconds at speed 1.
 */
double
mlk_ideal_job_work(
    const struct mlk_ideal_day *day, const struct mlk_ideal_route *route)
{
	const struct mlk_ideal_kind *k;
	double tail = 1.0, work = 0.0;
	uint32_t i;

	if (day->tail != NULL)
		tail += day->tail->share * (day->tail->factor - 1.0);
	for (i = 0; i < route->nmix; i++) {
		k = find_kind(day, route->mix[i].kind);
		work += route->mix[i].share * k->tasks * k->cores * k->run_ms /
		    MSEC_PER_SEC * exp(k->spread * k->spread / 2);
	}
	return (work * tail);
}

/*
 * Returns the speed of the fastest worker that has that many cores.
 */
static double
fastest_with(const struct mlk_ideal_day *day, double cores)
{
	double speed = 0.0;
	uint32_t i;

	for (i = 0; i < day->nworkers; i++) {
		if (day->workers[i].cores >= cores)
			speed = fmax(speed, day->workers[i].speed);
	}
	return (speed);
}

/*
 * Returns how long a task of that run time takes on a worker of a speed.
 */
int64_t
mlk_ideal_run_on(int64_t run, double speed)
{
	return ((int64_t)((double)run / speed));
}

/*
 * Returns whether a flood lasts at time t, in seconds after the start of the
 * warm-up.
 */
static bool
flood_lasts(
    const struct mlk_ideal_day *day, const struct mlk_ideal_flood *f, double t)
{
	double start = day->warm_up_s + f->at_s;

	return (t >= start && t < start + f->for_s);
}

static double
wave_at(const struct mlk_ideal_day *day, double t)
{
	if (day->wave == NULL)
		return (1.0);
	return (
	    1.0 + day->wave->swing * sin(2 * G_PI * t / day->wave->period_s));
}

/*
 * Returns the rate of one route at time t.
 */
static double
rate_at(const struct rates *r, uint32_t route, double t)
{
	const struct mlk_ideal_flood *f;
	double rate = r->base[route] * wave_at(r->day, t);
	uint32_t i;

	for (i = 0; i < r->day->nfloods; i++) {
		f = &r->day->floods[i];
		if (find_route(r->day, f->route) == route &&
		    flood_lasts(r->day, f, t))
			rate += r->flood[i];
	}
	return (rate);
}

static void
set_rates(struct rates *r, double capacity)
{
	const struct mlk_ideal_day *day = r->day;
	const struct mlk_ideal_route *route;
	double work = 0.0, total;
	uint32_t i;

	for (i = 0; i < day->nroutes; i++)
		work += day->routes[i].share *
		    mlk_ideal_job_work(day, &day->routes[i]);
	total = day->load * capacity / work;
	for (i = 0; i < day->nroutes; i++)
		r->base[i] = day->routes[i].share * total;
	r->max = total * (day->wave == NULL ? 1.0 : 1.0 + day->wave->swing);
	r->flood = g_new0(double, day->nfloods + 1);
	for (i = 0; i < day->nfloods; i++) {
		route = &day->routes[find_route(day, day->floods[i].route)];
		r->flood[i] = day->floods[i].load * capacity /
		    mlk_ideal_job_work(day, route);
		r->max += r->flood[i];
	}
}

/*
 * Chooses the route of an arrival at time t, given a number in [0, 1) of
 * r->max.  Returns nroutes when the sum of all rates is below that number: no
 * job arrives then.
 */
static uint32_t
choose_route(const struct rates *r, double t, double unit)
{
	double remaining = unit * r->max;
	uint32_t i;

	for (i = 0; i < r->day->nroutes; i++) {
		remaining -= rate_at(r, i, t);
		if (remaining < 0.0)
			break;
	}
	return (i);
}

static const struct mlk_ideal_kind *
draw_kind(const struct mlk_ideal_day *day, const struct mlk_ideal_route *route,
    struct mlk_rng *rng)
{
	double remaining = mlk_load_draw_unit(rng);
	uint32_t i;

	for (i = 0; i + 1 < route->nmix; i++) {
		remaining -= route->mix[i].share;
		if (remaining < 0.0)
			break;
	}
	return (find_kind(day, route->mix[i].kind));
}

/*
 * Returns a log-normal run time in ns, lengthened for a task of the tail.
 * Draws three numbers in any case, so that a change of the tail does not change
 * the other draws.
 */
static int64_t
draw_run(const struct mlk_ideal_day *day, const struct mlk_ideal_kind *k,
    struct mlk_rng *rng)
{
	double radius = sqrt(-2.0 * log(1.0 - mlk_load_draw_unit(rng)));
	double normal = radius * cos(2 * G_PI * mlk_load_draw_unit(rng));
	double tail = mlk_load_draw_unit(rng);
	double ms = k->run_ms * exp(k->spread * normal);

	if (day->tail != NULL && tail < day->tail->share)
		ms *= day->tail->factor;
	return ((int64_t)(ms * (double)MLK_NSEC_PER_MSEC) + 1);
}

static int
longer_first(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return ((x < y) - (x > y));
}

/*
 * Draws a job that arrives at time t and appends the run times of its tasks to
 * runs.  job->run is set when all jobs are drawn, as runs may move.
 */
static void
draw_job(const struct mlk_ideal_day *day, uint32_t route, double t,
    struct mlk_rng *rng, GArray *runs, struct mlk_ideal_job *job)
{
	const struct mlk_ideal_kind *k =
	    draw_kind(day, &day->routes[route], rng);
	const struct mlk_ideal_goal *g = &day->goal;
	double sum = 0.0, goal_ms;
	int64_t *first;
	uint32_t i;

	memset(job, 0, sizeof(*job));
	job->at = (int64_t)(t * (double)MLK_NSEC_PER_SEC);
	job->route = route;
	job->ntasks = k->tasks;
	job->speed = fastest_with(day, k->cores);
	job->cores = (uint32_t)lround(k->cores * CORE_UNITS);
	job->counted = t >= day->warm_up_s;
	for (i = 0; i < day->nfloods; i++)
		job->in_flood =
		    job->in_flood || flood_lasts(day, &day->floods[i], t);
	g_array_set_size(runs, runs->len + k->tasks);
	first = &g_array_index(runs, int64_t, runs->len - k->tasks);
	for (i = 0; i < k->tasks; i++) {
		first[i] = draw_run(day, k, rng);
		sum += (double)first[i];
	}
	qsort(first, k->tasks, sizeof(*first), longer_first);
	job->work = sum / (double)MLK_NSEC_PER_SEC * k->cores;
	goal_ms = g->base_ms +
	    g->factor * (double)first[0] / (double)MLK_NSEC_PER_MSEC;
	job->goal = job->at + (int64_t)(goal_ms * (double)MLK_NSEC_PER_MSEC);
	job->useful = job->at +
	    (int64_t)(goal_ms * g->late_factor * (double)MLK_NSEC_PER_MSEC);
	if (day->patience_ms > 0)
		job->useful = MIN(job->useful,
		    job->at + day->patience_ms * MLK_NSEC_PER_MSEC);
	job->goal = MIN(job->goal, job->useful);
}

static void
draw_jobs(const struct rates *r, GArray *jobs, GArray *runs)
{
	const struct mlk_ideal_day *day = r->day;
	double end = day->warm_up_s + day->duration_s;
	struct mlk_ideal_job job;
	struct mlk_rng rng;
	uint32_t route;
	double t = 0.0;

	mlk_rng_seed(&rng, day->seed);
	for (;;) {
		t -= log(1.0 - mlk_load_draw_unit(&rng)) / r->max;
		if (t >= end || runs->len > TASKS_MAX)
			return;
		route = choose_route(r, t, mlk_load_draw_unit(&rng));
		if (route == day->nroutes)
			continue;
		draw_job(day, route, t, &rng, runs, &job);
		g_array_append_val(jobs, job);
	}
}

/*
 * Draws all jobs of a day.  The caller owns *out.  Returns 0, or
 * MLK_ERR_SETTINGS when the load gives too many jobs or tasks.
 */
int
mlk_ideal_jobs_create(const struct mlk_ideal_day *day,
    struct mlk_ideal_jobs **out, struct mlk_error *err)
{
	double end = day->warm_up_s + day->duration_s;
	struct rates r = { .day = day };
	struct mlk_ideal_jobs *j;
	struct mlk_ideal_job *job;
	GArray *jobs, *runs;
	int64_t *run;
	uint32_t i;

	*out = NULL;
	j = g_new0(struct mlk_ideal_jobs, 1);
	for (i = 0; i < day->nworkers; i++)
		j->capacity += day->workers[i].count * day->workers[i].cores *
		    day->workers[i].speed;
	set_rates(&r, j->capacity);
	for (i = 0; i < day->nroutes; i++)
		j->rate += r.base[i];
	jobs = g_array_new(FALSE, FALSE, sizeof(struct mlk_ideal_job));
	runs = g_array_new(FALSE, FALSE, sizeof(int64_t));
	if (r.max * end <= JOBS_MAX)
		draw_jobs(&r, jobs, runs);
	g_free(r.flood);
	j->n = jobs->len;
	j->jobs = (struct mlk_ideal_job *)g_array_free(jobs, FALSE);
	if (r.max * end > JOBS_MAX || runs->len > TASKS_MAX) {
		(void)g_array_free(runs, TRUE);
		mlk_ideal_jobs_free(j);
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "%s: up to %.0f jobs/s for %.0f s is out of bounds "
		    "(%.0f jobs, %u tasks)",
		    day->name, r.max, end, JOBS_MAX, TASKS_MAX));
	}
	j->runs = run = (int64_t *)g_array_free(runs, FALSE);
	for (i = 0; i < j->n; i++) {
		job = &j->jobs[i];
		job->run = run;
		run += job->ntasks;
		if (!job->counted)
			continue;
		j->counted++;
		if (job->at + mlk_ideal_run_on(job->run[0], job->speed) >
		    job->goal)
			j->out_of_reach++;
	}
	*out = j;
	return (0);
}

void
mlk_ideal_jobs_free(struct mlk_ideal_jobs *jobs)
{
	if (jobs == NULL)
		return;
	g_free(jobs->jobs);
	g_free(jobs->runs);
	g_free(jobs);
}
