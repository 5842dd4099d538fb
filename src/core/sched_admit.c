/*
 * Admission of jobs.  The time to completion is estimated as the expected work
 * in a class divided by the slots that this entry can use for the class now.  A
 * job that is not expected to end before its deadline is refused before any of
 * its tasks is queued.
 */
#include <stdio.h>

#include "sched_priv.h"

#define ADMIT_RETRY_MIN_MS 100
#define ADMIT_RETRY_MAX_MS 60000

/*
 * Estimates the slots that this entry can use for a class: those in use plus
 * its idle credits, but at least its equal share of a tenth of all slots, and
 * at least 1.
 */
static double
class_slots(const struct mlk_sched *sched, enum sched_class class)
{
	double floor_slots, slots;

	slots = sched->in_flight[class] + sched->idle_credits;
	floor_slots = (double)sched->known_slots / sched->nentries / 10;
	if (slots < floor_slots)
		slots = floor_slots;
	return (slots < 1 ? 1 : slots);
}

/*
 * Estimates the time in ms until a job queued now has ended: the backlog plus
 * the job's own work, divided by the slots, but at least its longest task.
 */
static double
job_time_ms(struct mlk_sched *sched, const struct mlk_job_spec *spec)
{
	double work[SCHED_CLASSES] = { 0, 0 };
	double cost, longest = 0, ms, total = 0;
	const struct sched_kind *kind;
	uint32_t c, i;

	for (i = 0; i < spec->ntasks; i++) {
		kind = mlk_sched_kind(sched, spec->tasks[i].kind);
		cost = mlk_sched_kind_cost(kind);
		if (kind->results == 0 && spec->tasks[i].declared_ms != 0)
			cost = spec->tasks[i].declared_ms;
		work[kind->is_long ? SCHED_LONG : SCHED_SHORT] += cost;
		longest = MAX(longest, cost);
	}
	for (c = 0; c < SCHED_CLASSES; c++) {
		if (work[c] == 0)
			continue;
		ms = (sched->backlog_ms[c] + work[c]) / class_slots(sched, c);
		total = MAX(total, ms);
	}
	return (MAX(total, longest));
}

/*
 * Fills in a refusal and returns its error code.  `retry_ms` is limited to
 * ADMIT_RETRY_MIN_MS .. ADMIT_RETRY_MAX_MS.
 */
static int
refuse(char reason[128], const char *text, double retry_ms,
    uint32_t *retry_after_ms)
{
	retry_ms = CLAMP(retry_ms, ADMIT_RETRY_MIN_MS, ADMIT_RETRY_MAX_MS);
	*retry_after_ms = (uint32_t)retry_ms;
	(void)snprintf(reason, 128, "%s", text);
	return (MLK_ERR_UNAVAILABLE);
}

/*
 * Decides whether to admit a job.  retry_after_ms is the estimated time until
 * the excess backlog has drained.
 */
int
mlk_sched_admit(struct mlk_sched *sched, const struct mlk_job_spec *spec,
    int64_t now, uint32_t *retry_after_ms, char reason[128])
{
	double drain_ms, job_ms;
	struct sched_team *team;
	uint64_t bound, total;

	(void)now;
	team = mlk_sched_team(sched, spec->team);
	total = g_hash_table_size(sched->tasks);
	drain_ms =
	    (sched->backlog_ms[SCHED_SHORT] + sched->backlog_ms[SCHED_LONG]) /
	    class_slots(sched, SCHED_SHORT);
	if (total + spec->ntasks > sched->max_queued)
		return (refuse(
		    reason, "the queue is full", drain_ms, retry_after_ms));
	if (team->quota == 0)
		return (refuse(reason, "the team has a quota of 0",
		    ADMIT_RETRY_MAX_MS, retry_after_ms));
	if (team->quota != SCHED_QUOTA_NONE) {
		bound = (uint64_t)sched->max_queued * team->quota / 1000;
		if (team->queued > 0 && team->queued + spec->ntasks > bound) {
			return (refuse(reason,
			    "the team's part of the queue is full", drain_ms,
			    retry_after_ms));
		}
	}
	if (spec->deadline_ms == 0)
		return (MLK_OK);
	job_ms = job_time_ms(sched, spec);
	if (job_ms <= spec->deadline_ms)
		return (MLK_OK);
	return (refuse(reason, "the estimated wait passes the deadline",
	    job_ms - spec->deadline_ms, retry_after_ms));
}
