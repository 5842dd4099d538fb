/*
 * Computes the results of a run from its records and from the start logs of the
 * endpoints.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "stats.h"

#define NSEC_PER_MSEC ((double)MLK_NSEC_PER_MSEC)

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return ((x > y) - (x < y));
}

/*
 * Returns the quantile q by nearest rank: the smallest value v for which at
 * least the share q of all values is not above v.
 */
static double
nearest_rank(const GArray *sorted, double q)
{
	guint i = (guint)ceil(q * sorted->len);

	return (g_array_index(sorted, double, i == 0 ? 0 : i - 1));
}

/*
 * Sorts the values (doubles) and fills *out, with zeros when there are none.
 */
void
mlk_load_quantiles(GArray *values, struct mlk_load_quantiles *out)
{
	memset(out, 0, sizeof(*out));
	if (values->len == 0)
		return;
	g_array_sort(values, compare_doubles);
	out->n = values->len;
	out->p50 = nearest_rank(values, 0.50);
	out->p90 = nearest_rank(values, 0.90);
	out->p99 = nearest_rank(values, 0.99);
	out->max = nearest_rank(values, 1.0);
}

/*
 * Returns whether a job is included in the quantiles.
 */
bool
mlk_load_is_measured(const struct mlk_load_run *run, uint32_t job)
{
	const struct mlk_load_record *r = &run->records[job];

	return (run->arrivals->jobs[job].measured && !r->cancelled &&
	    r->ended != 0 && r->verdict.outcome == MLK_LOAD_COMPLETE);
}

/*
 * Returns the time from the scheduled arrival to the answer, in milliseconds.
 */
static double
response_ms(const struct mlk_load_run *run, uint32_t job)
{
	return (
	    (double)(run->records[job].ended - run->arrivals->jobs[job].at) /
	    NSEC_PER_MSEC);
}

/*
 * Returns the response time minus the run time of the longest task of the job,
 * in milliseconds.
 */
double
mlk_load_wait_ms(const struct mlk_load_run *run, uint32_t job)
{
	return (
	    response_ms(run, job) - (double)run->arrivals->jobs[job].ideal_ms);
}

static bool
in_group(const struct mlk_load_run *run, uint32_t job, uint32_t group)
{
	uint32_t kind = run->arrivals->jobs[job].kind;

	switch (group) {
	case MLK_LOAD_GROUP_ALL:
		return (true);
	case MLK_LOAD_GROUP_SHORT:
		return (!mlk_load_kind_is_long(&run->sc->kinds[kind]));
	case MLK_LOAD_GROUP_LONG:
		return (mlk_load_kind_is_long(&run->sc->kinds[kind]));
	default:
		return (kind == group - MLK_LOAD_GROUP_KIND);
	}
}

static void
fill_group(const struct mlk_load_run *run, uint32_t group,
    struct mlk_load_group_stats *g)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
	double wait, ratio;
	uint32_t i;

	for (i = 0; i < run->arrivals->n; i++) {
		if (run->records[i].sent == 0 || !in_group(run, i, group))
			continue;
		g->jobs++;
		g->tasks += run->arrivals->jobs[i].ntasks;
		g->outcomes[run->records[i].verdict.outcome]++;
		if (!mlk_load_is_measured(run, i))
			continue;
		wait = mlk_load_wait_ms(run, i);
		ratio = response_ms(run, i) /
		    (double)MAX(run->arrivals->jobs[i].ideal_ms, 1U);
		g_array_append_val(waits, wait);
		g_array_append_val(slowdowns, ratio);
	}
	mlk_load_quantiles(waits, &g->wait_ms);
	mlk_load_quantiles(slowdowns, &g->slowdown);
	(void)g_array_free(waits, TRUE);
	(void)g_array_free(slowdowns, TRUE);
}

static void
fill_groups(const struct mlk_load_run *run, struct mlk_load_stats *stats)
{
	static const char *const group_names[] = { "all", "short", "long" };
	struct mlk_load_group_stats *g;
	uint32_t i;

	stats->ngroups = MLK_LOAD_GROUP_KIND + run->sc->nkinds;
	stats->groups = g_new0(struct mlk_load_group_stats, stats->ngroups);
	for (i = 0; i < stats->ngroups; i++) {
		g = &stats->groups[i];
		if (i < MLK_LOAD_GROUP_KIND) {
			g->name = group_names[i];
			g->is_long = i == MLK_LOAD_GROUP_LONG;
		} else {
			g->name = run->sc->kinds[i - MLK_LOAD_GROUP_KIND].name;
			g->is_long = mlk_load_kind_is_long(
			    &run->sc->kinds[i - MLK_LOAD_GROUP_KIND]);
		}
		fill_group(run, i, g);
	}
}

/*
 * Compares the outcome of a job with the starts in the logs of the endpoints.
 * Jobs that were sent more than once are excluded from refused_ran, because a
 * later submission may run after an earlier one was refused.
 */
static void
check_starts(
    const struct mlk_load_run *run, uint32_t job, struct mlk_load_stats *stats)
{
	const struct mlk_load_record *r = &run->records[job];
	struct mlk_key key;
	uint32_t i, seen = 0;

	if (run->start_log == NULL || r->id == NULL)
		return;
	key = mlk_key_from_id(r->id);
	for (i = 0; i < run->arrivals->jobs[job].ntasks; i++)
		if (mlk_load_start_log_count(run->start_log, key, i) > 0)
			seen++;
	if (r->verdict.outcome == MLK_LOAD_REFUSED && r->tries == 1 && seen > 0)
		stats->refused_ran++;
	if (r->verdict.outcome == MLK_LOAD_COMPLETE)
		stats->complete_unseen +=
		    run->arrivals->jobs[job].ntasks - seen;
}

static void
add_record(
    const struct mlk_load_run *run, uint32_t job, struct mlk_load_stats *stats)
{
	const struct mlk_load_record *r = &run->records[job];

	stats->tasks_done += r->verdict.done;
	stats->tasks_failed += r->verdict.failed;
	stats->tasks_not_run += r->verdict.not_run;
	stats->tasks_unknown += r->verdict.unknown;
	stats->crossed += r->verdict.crossed;
	stats->partial += r->verdict.partial || r->verdict.crossed;
	stats->disagree += r->disagrees;
	stats->resubmitted += r->resubmitted;
	stats->cancelled += r->cancelled;
	if (run->mode == MLK_LOAD_TO_ENTRIES && r->tries > 1U + r->resubmitted)
		stats->retries += r->tries - 1U - r->resubmitted;
	check_starts(run, job, stats);
}

static void
fill_send_lag(const struct mlk_load_run *run, struct mlk_load_stats *stats)
{
	GArray *lags = g_array_new(FALSE, FALSE, sizeof(double));
	double lag;
	uint32_t i;

	for (i = 0; i < run->arrivals->n; i++) {
		if (run->records[i].sent == 0)
			continue;
		lag =
		    (double)(run->records[i].sent - run->arrivals->jobs[i].at) /
		    NSEC_PER_MSEC;
		g_array_append_val(lags, lag);
	}
	mlk_load_quantiles(lags, &stats->send_lag_ms);
	(void)g_array_free(lags, TRUE);
}

/*
 * Computes the results of a run.  The caller frees them with
 * mlk_load_stats_free().
 */
struct mlk_load_stats *
mlk_load_stats_create(const struct mlk_load_run *run)
{
	struct mlk_load_stats *stats = g_new0(struct mlk_load_stats, 1);
	uint32_t i;

	fill_groups(run, stats);
	fill_send_lag(run, stats);
	for (i = 0; i < run->arrivals->n; i++)
		add_record(run, i, stats);
	if (run->start_log != NULL) {
		stats->started = run->start_log->total;
		stats->started_twice = run->start_log->twice;
	}
	if (run->elapsed_s > 0.0)
		stats->goodput = (double)stats->tasks_done / run->elapsed_s;
	return (stats);
}

void
mlk_load_stats_free(struct mlk_load_stats *stats)
{
	if (stats == NULL)
		return;
	g_free(stats->groups);
	g_free(stats);
}

/*
 * Returns whether all guarantees held: no task started twice, no answer was
 * partial or crossed, no refused job ran, each task of a complete job has a
 * start in a log, and each job got an answer.
 */
bool
mlk_load_stats_ok(const struct mlk_load_stats *stats)
{
	const struct mlk_load_group_stats *all =
	    &stats->groups[MLK_LOAD_GROUP_ALL];

	return (stats->started_twice == 0 && stats->partial == 0 &&
	    stats->refused_ran == 0 && stats->complete_unseen == 0 &&
	    all->outcomes[MLK_LOAD_NONE] == 0);
}
