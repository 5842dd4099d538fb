/*
 * Run time of the tasks of a route at speed 1, relative to the callers'
 * estimates.  The estimates are rough and biased in the same way for all jobs
 * of a route.  The mean ratio corrects them; it is a mean of logarithms because
 * run times are long-tailed.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"
#include "runtime_dist.h"

#define STRETCH_UNIT 1000
/*
 * The table also keeps routes that were removed; it is cleared when it has this
 * many.
 */
#define RUNTIME_ROUTES_MAX 4096U

static struct runtime_dist *
runtime_dist_get(struct mlk_dispatcher *d, const char *route)
{
	struct runtime_dist *dist;

	dist = g_hash_table_lookup(d->runtimes, route);
	if (dist != NULL)
		return (dist);
	if (g_hash_table_size(d->runtimes) >= RUNTIME_ROUTES_MAX)
		g_hash_table_remove_all(d->runtimes);
	dist = g_new0(struct runtime_dist, 1);
	(void)g_hash_table_insert(d->runtimes, g_strdup(route), dist);
	return (dist);
}

/*
 * Adds the run time of a run that was completed on the worker of an agent to
 * the distribution of its route.
 */
void
dispatch_runtime_record(struct mlk_dispatcher *d, const struct job *job,
    uint32_t step, const struct agent *a, uint32_t run_ms)
{
	uint32_t estimate_ms = job->steps[step].estimate_ms;

	if (estimate_ms == 0)
		return;
	runtime_dist_add(runtime_dist_get(d, job->route),
	    log2((double)MAX(run_ms, 1) / estimate_ms) +
		dispatch_agent_log_speed(a));
}

/*
 * Returns the expected run time of a task in ms, or 0 when too few runs are
 * known.
 */
uint32_t
dispatch_runtime_expected_ms(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	const struct runtime_dist *dist;
	double ms;

	dist = g_hash_table_lookup(d->runtimes, job->route);
	if (!runtime_dist_known(dist) || job->steps[step].estimate_ms == 0)
		return (0);
	ms = job->steps[step].estimate_ms * exp2(dist->log_ratio);
	return ((uint32_t)CLAMP(ms, 1.0, (double)UINT32_MAX / 2));
}

/*
 * Returns the expected run time in ms, or the caller's estimate when too few
 * runs are known.
 */
uint32_t
dispatch_runtime_ms(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	uint32_t ms = dispatch_runtime_expected_ms(d, job, step);

	return (ms != 0 ? ms : job->steps[step].estimate_ms);
}

/*
 * Returns the expected run time in ms of the longest chain of steps that come
 * after a step.
 */
uint32_t
dispatch_runtime_after_ms(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	uint64_t chain[MLK_STEPS_MAX] = { 0 }, longest = 0;
	uint32_t i, k;

	for (i = step + 1; i < job->nsteps; i++) {
		for (k = step; k < i; k++) {
			if ((job->steps[i].after >> k & 1) == 0 ||
			    (k != step && chain[k] == 0))
				continue;
			chain[i] = MAX(chain[i],
			    chain[k] + dispatch_runtime_ms(d, job, i));
		}
		longest = MAX(longest, chain[i]);
	}
	return ((uint32_t)MIN(longest, (uint64_t)UINT32_MAX));
}

/*
 * Returns the target response time of a job: the target of its route plus
 * `stretch` thousandths of the run time of its longest chain of steps.
 * *work_ns is that run time.
 */
int64_t
dispatch_goal_ns(struct mlk_dispatcher *d, const struct job *job,
    uint32_t target_ms, uint32_t stretch, int64_t *work_ns)
{
	int64_t chain[MLK_STEPS_MAX], longest = 0;
	uint32_t i, k;

	for (i = 0; i < job->nsteps; i++) {
		chain[i] = 0;
		for (k = 0; k < i; k++) {
			if (job->steps[i].after >> k & 1)
				chain[i] = MAX(chain[i], chain[k]);
		}
		chain[i] += dispatch_runtime_ms(d, job, i) * MS;
		longest = MAX(longest, chain[i]);
	}
	*work_ns = longest;
	return (target_ms * MS + longest * stretch / STRETCH_UNIT);
}
