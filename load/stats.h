/*
 * The results of a run: quantiles and counts of all jobs, of short and long
 * jobs, and of each kind.
 */
#ifndef MLK_LOAD_STATS_H
#define MLK_LOAD_STATS_H

#include <glib.h>

#include "run.h"

struct mlk_load_quantiles {
	uint32_t n; /* number of values */
	double p50;
	double p90;
	double p99;
	double max;
};

enum mlk_load_group {
	MLK_LOAD_GROUP_ALL,
	MLK_LOAD_GROUP_SHORT,
	MLK_LOAD_GROUP_LONG,
	MLK_LOAD_GROUP_KIND, /* first of the groups by kind */
};

/*
 * The counts include all jobs that were sent; the quantiles only the jobs that
 * arrived after the warm-up, were not cancelled and ended complete.
 */
struct mlk_load_group_stats {
	const char *name;
	bool is_long;
	uint64_t jobs;
	uint64_t tasks;
	uint64_t outcomes[MLK_LOAD_OUTCOMES];
	struct mlk_load_quantiles wait_ms; /* response time - service time */
	struct mlk_load_quantiles slowdown; /* response time / service time */
};

struct mlk_load_stats {
	uint32_t ngroups;
	struct mlk_load_group_stats *groups;
	struct mlk_load_quantiles send_lag_ms; /* time sent - time scheduled */
	double goodput; /* tasks done per second */
	uint64_t tasks_done;
	uint64_t tasks_failed;
	uint64_t tasks_not_run;
	uint64_t tasks_unknown;
	uint64_t partial; /* jobs with a partial or crossed answer */
	uint64_t crossed; /* jobs with the answer of another job or task */
	uint64_t disagree; /* jobs with answers of different outcomes */
	uint64_t started; /* task starts in the logs of the endpoints */
	uint64_t started_twice; /* tasks that started more than once */
	uint64_t refused_ran; /* jobs refused of which a task started */
	uint64_t complete_unseen; /* tasks of complete jobs without a start */
	uint64_t resubmitted; /* jobs */
	uint64_t cancelled; /* jobs */
	uint64_t retries; /* submissions after a lost call or a 503 or 504 */
};

void mlk_load_quantiles(GArray *values, struct mlk_load_quantiles *out);
struct mlk_load_stats *mlk_load_stats_create(const struct mlk_load_run *run);
void mlk_load_stats_free(struct mlk_load_stats *stats);
bool mlk_load_stats_ok(const struct mlk_load_stats *stats);
double mlk_load_wait_ms(const struct mlk_load_run *run, uint32_t job);
bool mlk_load_is_measured(const struct mlk_load_run *run, uint32_t job);

#endif
