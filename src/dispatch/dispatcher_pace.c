/*
 * How long tasks of a route take, against what their callers estimate.  The
 * estimates are rough, and wrong in the same way for all jobs of a route: the
 * mean ratio, of logarithms since tails are long, corrects them.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

#define PACE_RUNS 64U /* weight of the past in the mean */
#define PACE_KNOWN 8U /* runs after which the mean is used */
#define STRETCH_UNIT 1000
#define PACES_MAX 4096U /* routes that came and went */

static struct pace *
pace_get(struct mlk_dispatcher *d, const char *route)
{
	struct pace *pace;

	pace = g_hash_table_lookup(d->paces, route);
	if (pace != NULL)
		return (pace);
	if (g_hash_table_size(d->paces) >= PACES_MAX)
		g_hash_table_remove_all(d->paces);
	pace = g_new0(struct pace, 1);
	(void)g_hash_table_insert(d->paces, g_strdup(route), pace);
	return (pace);
}

/*
 * Takes note of a run that was done.
 */
void
dispatch_pace_note(struct mlk_dispatcher *d, const struct job *job,
    uint32_t step, uint32_t run_ms)
{
	uint32_t estimate_ms = job->steps[step].estimate_ms;
	struct pace *pace;
	double ratio;

	if (estimate_ms == 0)
		return;
	pace = pace_get(d, job->route);
	ratio = log2((double)MAX(run_ms, 1) / estimate_ms);
	if (pace->n < PACE_RUNS)
		pace->n++;
	pace->log_ratio += (ratio - pace->log_ratio) / pace->n;
}

/*
 * Returns the time that a task is expected to run, in ms; 0 when too little is
 * known.
 */
uint32_t
dispatch_pace_expected(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	const struct pace *pace;
	double ms;

	pace = g_hash_table_lookup(d->paces, job->route);
	if (pace == NULL || pace->n < PACE_KNOWN ||
	    job->steps[step].estimate_ms == 0)
		return (0);
	ms = job->steps[step].estimate_ms * exp2(pace->log_ratio);
	return ((uint32_t)CLAMP(ms, 1.0, (double)UINT32_MAX / 2));
}

/*
 * Returns that time, or the caller's estimate while too little is known.
 */
uint32_t
dispatch_pace_ms(struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	uint32_t ms = dispatch_pace_expected(d, job, step);

	return (ms != 0 ? ms : job->steps[step].estimate_ms);
}

/*
 * Returns the response time that a job aims at: the target of its route, and
 * the stretch (in thousandths) over its longest chain of work; *work_ns is that
 * chain.
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
		chain[i] += dispatch_pace_ms(d, job, i) * MS;
		longest = MAX(longest, chain[i]);
	}
	*work_ns = longest;
	return (target_ms * MS + longest * stretch / STRETCH_UNIT);
}
