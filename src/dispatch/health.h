/*
 * Whether a worker is fit to be given work, judged from the progress and the
 * ends of its runs; pure decisions.
 *
 * The load that it answers: workers whose status check is good and that stand
 * still, run several times slower than the rest, or fail what they start.
 * Their runs would be late or lost for as long as the trouble lasts, and an
 * idle worker attracts work, so that the sick one gets more than its share.
 *
 * A worker that leaves many starts unanswered is degraded and not sick: what
 * it starts, it runs.  It gets what finds no room elsewhere.
 *
 * Progress is compared with the time that the entries expect, which they learn
 * from all workers: a wrong estimate of the caller's makes no worker sick.
 */
#ifndef MLK_DISPATCH_HEALTH_H
#define MLK_DISPATCH_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Rates are in thousandths of the expected one. */
#define HEALTH_RATE_UNIT 1000U

enum health_state {
	HEALTH_FIT, /* -> SICK */
	HEALTH_SICK, /* gets no work; -> TRIAL after a time that doubles */
	HEALTH_TRIAL, /* gets one run at a time; -> FIT, SICK */
};

enum health_cause {
	HEALTH_NONE,
	HEALTH_STILL, /* its runs stand still */
	HEALTH_SLOW, /* its runs are slow by a multiple */
	HEALTH_FAILS, /* it fails what it starts */
};

struct health {
	enum health_state state;
	enum health_cause cause; /* of the last time that it was sick */
	int64_t until; /* SICK */
	int64_t backoff; /* of the next time */
	int64_t slow_since; /* the rates have been low; 0: they are not */
	uint64_t failed_jobs[3]; /* distinct, since the last success */
	uint32_t nfailed;
	uint32_t starts; /* the last ones, newest first; a bit is set where
			    there was no answer */
	int64_t degraded_until; /* 0: it is not */
	int64_t degraded_for; /* the last time */
	int64_t degraded_ended;
};

/* The progress of one run, kept with the run. */
struct health_run {
	uint64_t job; /* tells jobs apart */
	uint32_t expected_ms; /* 0: unknown; the run is not judged */
	uint32_t percent;
	int64_t progress_at; /* percent last rose, or the run began */
	uint32_t sampled_percent;
	int64_t sampled_at; /* 0: not yet */
	uint32_t rate;
	int64_t rated_at; /* 0: no rate yet */
};

void health_run_begin(
    struct health_run *run, uint64_t job, uint32_t expected_ms, int64_t now);
/* Takes note of the percentage that a listing shows. */
void health_run_progress(struct health_run *run, uint32_t percent, int64_t now);
bool health_run_stalled(const struct health_run *run, int64_t now);
/* The time that the rest of the run takes at its present rate, in ms. */
uint32_t health_run_left_ms(const struct health_run *run);

/*
 * Judges the runs at work after a listing.  Returns the cause when the worker
 * has just been found sick, else HEALTH_NONE.
 */
enum health_cause health_judge(struct health *health,
    const struct health_run *const *runs, uint32_t n, int64_t now);
/* The end of a run; the same result as health_judge(). */
enum health_cause health_ended(
    struct health *health, uint64_t job, bool failed, int64_t now);
/*
 * The answer to a start, or that there was none.  Returns whether the worker
 * has just been found degraded.
 */
bool health_started(struct health *health, bool answered, int64_t now);
/* Lets time pass; returns whether the state has changed. */
bool health_due(struct health *health, int64_t now);

#endif
