/*
 * Classes of task kinds, learned from run times.  A kind is long when about a
 * tenth of its recent run times are above one second, that is, when their 90 %
 * quantile is; older run times count less.  One threshold above and one below a
 * tenth add hysteresis.  Also measures the rate of arriving short work, as the
 * expected run time of the tasks that arrive within a decaying window.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sched_priv.h"

#define KIND_RESULTS_KNOWN 5 /* results until the class is trusted */
#define KIND_LONG_MS 1000 /* a task with a longer run time is long */
#define KIND_DECAY (1.0 / 32) /* weight of one result */
#define KIND_TO_LONG 0.12 /* a short kind becomes long above this share */
#define KIND_TO_SHORT 0.06 /* a long kind becomes short at this share */
#define KIND_COST_UNKNOWN_MS 500.0 /* expected run time without results */
#define RATE_WINDOW_MS 200.0 /* time constant of the arrival rate */

/*
 * Returns the record of a kind, which is created on first use.  Beyond
 * SCHED_NAMES_MAX all new names share one record, so that callers cannot make
 * the table grow without bound.
 */
struct sched_kind *
mlk_sched_kind(struct mlk_sched *sched, const char *name)
{
	struct sched_kind *kind;

	kind = g_hash_table_lookup(sched->kinds, name);
	if (kind != NULL)
		return (kind);
	if (g_hash_table_size(sched->kinds) >= SCHED_NAMES_MAX) {
		name = "";
		kind = g_hash_table_lookup(sched->kinds, name);
		if (kind != NULL)
			return (kind);
	}
	kind = g_new0(struct sched_kind, 1);
	(void)g_strlcpy(kind->name, name, sizeof(kind->name));
	kind->is_long = true;
	kind->level = SCHED_LEVEL_DEFAULT;
	TAILQ_INIT(&kind->queued);
	TAILQ_INIT(&kind->held);
	if (sched->policy != MLK_POLICY_CREDITS) {
		kind->known = true;
		kind->is_long = false;
	}
	g_hash_table_insert(sched->kinds, kind->name, kind);
	return (kind);
}

/*
 * Returns the expected run time of one task of the kind, in ms, at least 1.
 */
double
mlk_sched_kind_cost(const struct sched_kind *kind)
{
	if (kind->results == 0)
		return (KIND_COST_UNKNOWN_MS);
	return (kind->mean_ms < 1 ? 1 : kind->mean_ms);
}

/*
 * Adds the run time of a task that succeeded.  Returns true when the kind
 * became known or its class changed.  The first results have equal weights,
 * later ones the fixed weight KIND_DECAY.
 */
bool
mlk_sched_kind_learn(struct sched_kind *kind, uint32_t run_ms)
{
	bool was_known, was_long;
	double limit, weight;

	was_known = kind->known;
	was_long = kind->is_long;
	kind->results++;
	weight = 1.0 / kind->results;
	if (weight < KIND_DECAY)
		weight = KIND_DECAY;
	kind->mean_ms += weight * (run_ms - kind->mean_ms);
	kind->long_share +=
	    weight * ((run_ms > KIND_LONG_MS ? 1.0 : 0.0) - kind->long_share);
	if (kind->results < KIND_RESULTS_KNOWN)
		return (false);
	limit = was_known && was_long ? KIND_TO_SHORT : KIND_TO_LONG;
	kind->is_long = kind->long_share > limit;
	kind->known = true;
	return (!was_known || was_long != kind->is_long);
}

/*
 * Adds arriving work, in ms, to a rate.
 */
void
mlk_sched_rate_add(struct sched_rate *rate, double work_ms, int64_t now)
{
	rate->level = mlk_sched_rate_get(rate, now) + work_ms / RATE_WINDOW_MS;
	rate->at = now;
}

/*
 * Returns a rate in ms of work per ms, which is the number of slots that it
 * keeps busy.
 */
double
mlk_sched_rate_get(const struct sched_rate *rate, int64_t now)
{
	double ms;

	ms = (double)(now - rate->at) / MLK_NSEC_PER_MSEC;
	if (ms <= 0)
		return (rate->level);
	return (rate->level * exp(-ms / RATE_WINDOW_MS));
}
