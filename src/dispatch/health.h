/*
 * Worker health, determined from the progress and the results of its runs.  The
 * caller acts on the verdict.
 *
 * This detects workers that pass their health check but stall, run several
 * times slower than the others, or fail what they start.  Their runs would be
 * late or lost for as long as that lasts, and an idle worker attracts work, so
 * an unhealthy one (HEALTH_SICK) would get more than its share.
 *
 * A worker that leaves many starts unanswered is degraded, not unhealthy: what
 * it starts does run.  It gets only the work that does not fit elsewhere.
 *
 * A run that is slow while others on the worker are on time is a long one (a
 * straggler) and says nothing about the worker.
 *
 * Progress is compared with the run time that the entries expect.  They learn
 * it from all workers, so a caller's wrong estimate makes no worker look
 * unhealthy.
 */
#ifndef MLK_DISPATCH_HEALTH_H
#define MLK_DISPATCH_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Rates are in thousandths of the expected rate. */
#define HEALTH_RATE_UNIT 1000U

enum health_state {
	HEALTH_OK, /* -> SICK */
	HEALTH_SICK, /* gets no work; -> PROBATION after a doubling back-off */
	HEALTH_PROBATION, /* gets one run at a time; -> OK, SICK */
};

enum health_cause {
	HEALTH_NONE,
	HEALTH_STALLED, /* its runs make no progress */
	HEALTH_SLOW, /* its runs are several times slower than expected */
	HEALTH_FAILING, /* its runs fail */
};

struct health {
	enum health_state state;
	enum health_cause cause; /* of the last change to SICK */
	int64_t until; /* end of the SICK state */
	int64_t backoff; /* duration of the next SICK state; 0: the shortest */
	int64_t on_time_from; /* start of the last period in which some run was
				 on time */
	int64_t slow_since; /* time since which rates have been low; 0: they are
			       not */
	uint64_t failed_jobs[3]; /* distinct jobs that failed since the last
				    success */
	uint32_t nfailed;
	uint32_t starts; /* the last starts, newest in bit 0; a set bit is an
			    unanswered start */
	int64_t degraded_until; /* 0: not degraded */
	int64_t degraded_backoff; /* duration of the last degraded period */
	int64_t degraded_ended;
};

/* Progress of one run, stored with the run. */
struct health_run {
	uint64_t job; /* key that distinguishes jobs */
	uint32_t expected_ms; /* 0: unknown; the run is not evaluated */
	uint32_t percent;
	int64_t progress_at; /* last increase of percent, or start of the run */
	uint32_t sampled_percent;
	int64_t sampled_at; /* 0: not sampled */
	uint32_t rate;
	int64_t rated_at; /* 0: no rate yet */
	int64_t rated_from; /* start of the period of `rate` */
	int64_t slow_from; /* time since which it has been slow; 0: it is not */
};

void health_run_begin(
    struct health_run *run, uint64_t job, uint32_t expected_ms, int64_t now);
/* Records the percentage that a listing shows. */
void health_run_progress(struct health_run *run, uint32_t percent, int64_t now);
bool health_run_stalled(const struct health_run *run, int64_t now);
/* Remaining run time at the current rate, in ms; UINT32_MAX if unknown. */
uint32_t health_run_left_ms(const struct health_run *run);

/*
 * Evaluates the active runs after a listing.  Returns the cause when the worker
 * has just become HEALTH_SICK, else HEALTH_NONE.
 */
enum health_cause health_judge(struct health *health,
    const struct health_run *const *runs, uint32_t n, int64_t now);
/* Records that a run was completed; its last progress shows the worker's. */
void health_run_completed(
    struct health *health, const struct health_run *run, int64_t now);
/* Records the end of a run; returns the same as health_judge(). */
enum health_cause health_ended(
    struct health *health, uint64_t job, bool failed, int64_t now);
/*
 * Records whether a start was answered.  Returns whether the worker has just
 * become degraded.
 */
bool health_started(struct health *health, bool answered, int64_t now);
/* Ends the states whose time is over.  Returns whether `state` has changed. */
bool health_due(struct health *health, int64_t now);

#endif
