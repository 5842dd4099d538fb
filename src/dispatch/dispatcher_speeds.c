/*
 * Speeds of workers in placement: the probability that the tasks of a job end
 * within what is left of its goal on a worker.
 *
 * Speeds are taken relative to the mean (of their logarithms) in the pool, as
 * agents measure them against run times that this entry normalises by the same
 * speeds: without a common reference, both could drift together.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"
#include "runtime_dist.h"
#include "speed.h"

#define SPEEDS_INTERVAL_NS (250 * MS) /* between two updates */
/*
 * Ratio of the highest to the lowest speed in a pool, in log2, from which on
 * its speeds are used (1.35) and below which they no longer are (1.2).  The
 * reported speeds of 60 equal workers differ by up to 1.31 while they are
 * learnt and by 1.14 afterwards (simulated).
 */
#define UNEVEN_LOG 0.43
#define EVEN_LOG 0.26
/*
 * Cost of the certainty that the tasks end late, in thousandths of a worker's
 * capacity: more than the difference of an empty and a full worker, less than
 * DEGRADED_COST.  With a cost of 500, jobs in their goal fell from 0.992 to
 * 0.985 in simulated worlds.
 */
#define LATE_COST 1400.0
/* Bound on reported speeds, in log2 either way; agents report at most 2. */
#define LOG_SPEED_MAX 3.0
/* A job suits a worker on which its tasks end in time with this probability. */
#define SUITS_CHANCE 0.5

struct pool_speeds {
	uint32_t n; /* workers with a known speed */
	double sum, min, max; /* of log2(speed) */
	bool uneven;
};

/*
 * Returns log2 of the speed that an agent reports.
 */
static double
log_speed(const struct agent *a)
{
	return (CLAMP(log2((double)a->info.speed / SPEED_UNIT), -LOG_SPEED_MAX,
	    LOG_SPEED_MAX));
}

static bool
speed_known(const struct agent *a)
{
	return (a->link != 0 && a->has_info && a->info.speed != 0);
}

/*
 * Fills d->pool_speeds from the workers whose speed is known.
 */
static void
sum_speeds(struct mlk_dispatcher *d)
{
	struct pool_speeds *pool;
	const struct agent *a;
	GHashTableIter iter;
	gpointer value;
	double speed;
	guint i;

	g_hash_table_iter_init(&iter, d->pool_speeds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool = value;
		pool->n = 0;
		pool->sum = 0;
	}
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (!speed_known(a))
			continue;
		pool = g_hash_table_lookup(d->pool_speeds, a->info.pool);
		if (pool == NULL) {
			pool = g_new0(struct pool_speeds, 1);
			(void)g_hash_table_insert(
			    d->pool_speeds, g_strdup(a->info.pool), pool);
		}
		speed = log_speed(a);
		pool->min = pool->n == 0 ? speed : MIN(pool->min, speed);
		pool->max = pool->n == 0 ? speed : MAX(pool->max, speed);
		pool->sum += speed;
		pool->n++;
	}
}

/*
 * Decides whether the speeds of each pool are used, and forgets pools without
 * workers.
 */
static void
judge_pools(struct mlk_dispatcher *d)
{
	struct pool_speeds *pool;
	GHashTableIter iter;
	gpointer name, value;
	bool uneven;

	g_hash_table_iter_init(&iter, d->pool_speeds);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		pool = value;
		if (pool->n == 0) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		uneven = pool->max - pool->min >=
		    (pool->uneven ? EVEN_LOG : UNEVEN_LOG);
		if (uneven == pool->uneven)
			continue;
		pool->uneven = uneven;
		dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
		    "pool %s: speeds of %u workers from %.0f to %.0f "
		    "thousandths, %s in placement",
		    (const char *)name, pool->n, SPEED_UNIT * exp2(pool->min),
		    SPEED_UNIT * exp2(pool->max),
		    uneven ? "used" : "no longer used");
	}
}

/*
 * Updates the speeds of all agents after a change.
 */
void
dispatch_speeds_due(struct mlk_dispatcher *d)
{
	const struct pool_speeds *pool;
	struct agent *a;
	double mean;
	guint i;

	if (!d->speeds_changed || d->now < d->speeds_at)
		return;
	d->speeds_changed = false;
	d->speeds_at = d->now + SPEEDS_INTERVAL_NS;
	sum_speeds(d);
	judge_pools(d);
	d->uneven = false;
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		pool = g_hash_table_lookup(d->pool_speeds, a->info.pool);
		a->uneven = pool != NULL && pool->uneven;
		a->log_speed = 0;
		if (!a->uneven)
			continue;
		d->uneven = true;
		mean = pool->sum / pool->n;
		a->log_fastest = pool->max - mean;
		if (speed_known(a))
			a->log_speed = log_speed(a) - mean;
	}
}

/*
 * Prepares the decision where to place tasks of a step.  Without enough known
 * runs of the route, speeds are not used.
 */
void
dispatch_fit_begin(struct mlk_dispatcher *d, const struct job *job,
    uint32_t step, struct time_fit *fit)
{
	int64_t left, chain, own;

	fit->dist = NULL;
	if (!d->uneven)
		return;
	fit->dist = g_hash_table_lookup(d->runtimes, job->route);
	if (!runtime_dist_known(fit->dist) ||
	    job->steps[step].estimate_ms == 0) {
		fit->dist = NULL;
		return;
	}
	left = job->arrived + job->goal_ns - d->now;
	if (job->nsteps > 1) {
		own = MAX(dispatch_runtime_ms(d, job, step), 1);
		chain = own + dispatch_runtime_after_ms(d, job, step);
		left = left / chain * own;
	}
	fit->ratio = log2((double)MAX(left, MS) /
	    ((double)job->steps[step].estimate_ms * (double)MS));
}

static double
chance(const struct time_fit *fit, double speed, uint32_t n)
{
	return (runtime_dist_all(
	    runtime_dist_chance(fit->dist, fit->ratio + speed), n));
}

/*
 * Returns the cost of the speed of a worker for n tasks, in thousandths of its
 * capacity; 0 where speeds are not used.
 */
uint32_t
dispatch_fit_cost(const struct time_fit *fit, const struct agent *a, uint32_t n)
{
	if (fit->dist == NULL || !a->uneven)
		return (0);
	return ((uint32_t)(LATE_COST * (1 - chance(fit, a->log_speed, n))));
}

/*
 * Tells whether n tasks suit a worker: they probably end in time there, or on
 * no worker of the pool.
 */
bool
dispatch_fit_suits(
    const struct time_fit *fit, const struct agent *a, uint32_t n)
{
	return (fit->dist == NULL || !a->uneven ||
	    chance(fit, a->log_speed, n) >= SUITS_CHANCE ||
	    chance(fit, a->log_fastest, n) < SUITS_CHANCE);
}

/*
 * Returns log2 of the speed at which a run on the worker of an agent is
 * measured.
 */
double
dispatch_agent_log_speed(const struct agent *a)
{
	return (a->uneven ? a->log_speed : 0);
}
