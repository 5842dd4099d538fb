/*
 * Ejection of outliers.  An agent whose recent tasks fail far more often than
 * those of all agents, or run several times longer than other tasks of the same
 * kind, is ejected: it gets no work for a back-off that doubles each time.  It
 * returns on probation with one task at a time, and this limit doubles with
 * each round of good results.  The share of agents that are ejected or on
 * probation is bounded, so that a fault common to all agents does not stop the
 * service.
 */
#include <math.h>

#include "sched_priv.h"

#define OUTLIER_DECAY 0.2 /* weight of a result in the agent's average */
#define OUTLIER_ALL_DECAY (1.0 / 256) /* and in that of all agents */
#define OUTLIER_SAMPLES 5 /* results before an agent may be ejected */
#define OUTLIER_FAIL_MARGIN 0.5 /* failure share above that of all agents */
#define OUTLIER_SLOW_LOG2 2.0 /* four times the mean run time of the kind */
#define OUTLIER_SLOW_CLAMP 4.0 /* bounds the weight of one straggler */
#define OUTLIER_SHARE_MAX 30 /* percent of agents ejected or on probation */
#define OUTLIER_BACKOFF_NS (1 * MLK_NSEC_PER_SEC)
#define OUTLIER_BACKOFF_MAX_NS (64 * MLK_NSEC_PER_SEC)

/*
 * Ejects an agent until its back-off is over.
 */
static void
eject(struct mlk_sched *sched, struct sched_agent *a, int64_t now)
{
	if (a->health == SCHED_HEALTHY)
		sched->nunhealthy++;
	a->health = SCHED_EJECTED;
	sched->nejected++;
	sched->ejections++;
	a->backoff = a->backoff == 0 ? OUTLIER_BACKOFF_NS : 2 * a->backoff;
	if (a->backoff > OUTLIER_BACKOFF_MAX_NS)
		a->backoff = OUTLIER_BACKOFF_MAX_NS;
	a->eject_until = now + a->backoff;
	a->samples = 0;
	a->fail_share = 0;
	a->slowness = 0;
	TAILQ_INSERT_TAIL(&sched->ejected, a, eject_link);
	mlk_sched_agent_relist(sched, a);
}

/*
 * Applies a result of an agent on probation.  A bad result ejects the agent
 * again; `limit` good results double the limit.  Probation ends when the limit
 * exceeds the agent's slots.
 */
static void
probation_result(
    struct mlk_sched *sched, struct sched_agent *a, bool good, int64_t now)
{
	if (!good) {
		eject(sched, a, now);
		return;
	}
	a->passed++;
	if (a->passed < a->limit)
		return;
	a->passed = 0;
	a->limit *= 2;
	if (a->limit > a->slots) {
		a->health = SCHED_HEALTHY;
		a->samples = 0;
		a->backoff = 0;
		sched->nunhealthy--;
	}
	mlk_sched_agent_relist(sched, a);
}

/*
 * Returns whether one more agent may be ejected.
 */
static bool
may_eject(const struct mlk_sched *sched)
{
	return ((sched->nunhealthy + 1) * 100 <=
	    sched->nagents * OUTLIER_SHARE_MAX);
}

/*
 * Updates the health of an agent with a result.  Run times count only for
 * successful tasks of a kind that is known.
 */
void
mlk_sched_outlier_result(struct mlk_sched *sched, struct sched_agent *a,
    const struct sched_kind *kind, enum mlk_task_status status, uint32_t run_ms,
    int64_t now)
{
	double failed, slow = 0;

	if (status != MLK_TASK_DONE && status != MLK_TASK_FAILED)
		return;
	failed = status == MLK_TASK_FAILED ? 1.0 : 0.0;
	if (failed == 0 && kind->known) {
		slow = log2((run_ms + 1.0) / (mlk_sched_kind_cost(kind) + 1));
		slow = CLAMP(slow, -OUTLIER_SLOW_CLAMP, OUTLIER_SLOW_CLAMP);
	}
	sched->fail_share += OUTLIER_ALL_DECAY * (failed - sched->fail_share);
	if (a->health == SCHED_EJECTED)
		return;
	if (a->health == SCHED_PROBATION) {
		probation_result(
		    sched, a, failed == 0 && slow < OUTLIER_SLOW_LOG2, now);
		return;
	}
	a->samples++;
	a->fail_share += OUTLIER_DECAY * (failed - a->fail_share);
	if (failed == 0)
		a->slowness += OUTLIER_DECAY * (slow - a->slowness);
	if (a->samples < OUTLIER_SAMPLES || !may_eject(sched))
		return;
	if (a->fail_share > sched->fail_share + OUTLIER_FAIL_MARGIN ||
	    a->slowness > OUTLIER_SLOW_LOG2)
		eject(sched, a, now);
}

/*
 * Moves agents whose back-off is over to probation.  Called on each tick; the
 * list is short because OUTLIER_SHARE_MAX bounds it.
 */
void
mlk_sched_outlier_tick(struct mlk_sched *sched, int64_t now)
{
	struct sched_agent *a, *next;

	for (a = TAILQ_FIRST(&sched->ejected); a != NULL; a = next) {
		next = TAILQ_NEXT(a, eject_link);
		if (a->eject_until > now)
			continue;
		TAILQ_REMOVE(&sched->ejected, a, eject_link);
		sched->nejected--;
		a->health = SCHED_PROBATION;
		a->limit = 1;
		a->passed = 0;
		mlk_sched_agent_relist(sched, a);
	}
}

/*
 * Resets the health of an agent that is being removed.
 */
void
mlk_sched_outlier_clear(struct mlk_sched *sched, struct sched_agent *a)
{
	if (a->health == SCHED_EJECTED) {
		TAILQ_REMOVE(&sched->ejected, a, eject_link);
		sched->nejected--;
	}
	if (a->health != SCHED_HEALTHY)
		sched->nunhealthy--;
	a->health = SCHED_HEALTHY;
	a->samples = 0;
	a->fail_share = 0;
	a->slowness = 0;
}

/*
 * Returns how many more tasks the health of an agent allows it now.
 */
uint32_t
mlk_sched_outlier_allowance(const struct sched_agent *a)
{
	switch (a->health) {
	case SCHED_HEALTHY:
		return (UINT32_MAX);
	case SCHED_EJECTED:
		return (0);
	case SCHED_PROBATION:
		return (a->in_flight < a->limit ? a->limit - a->in_flight : 0);
	}
	return (0);
}
