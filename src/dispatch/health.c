#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/base.h>

#include "health.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)

/* Shorter spans are below the resolution of a percentage. */
#define SAMPLE_NS (40 * MS)
#define RATE_FRESH_NS (250 * MS)
/*
 * A run stands still when its percentage has not risen for STALL_NS and a
 * fifth of its expected time: a run of 7 times the expected length on a worker
 * of 0.8 of the usual speed takes 0.09 of that time for one percent.
 */
#define STALL_NS (150 * MS)
#define STALL_PART 5
/*
 * Healthy workers run at 0.8 to 1.25 of the usual speed, and expected times
 * are off by 0.4; three runs of which the median job is below 0.4 of the
 * expected rate are those of a worker that is slow by more than a factor of
 * two.
 */
#define SLOW_RATE 400U
#define SLOW_NS (50 * MS) /* and stays so */
#define SLOW_RUNS 3U
#define SLOW_JOBS 2U
#define FIT_RATE 600U /* in a trial */
#define FAILS 3U /* jobs in a row; one job may fail by its own fault */
/* For which a worker is sick, or degraded; doubled each time. */
#define BACKOFF_MIN_NS (1000 * MS)
#define BACKOFF_MAX_NS (8000 * MS)
/*
 * Starts without an answer among the last ten.  Where one order in twenty is
 * lost on the way to every worker, five of ten are met once in 15,000 starts;
 * where a worker leaves two in five unanswered, within twelve starts mostly.
 */
#define STARTS_SEEN 10U
#define STARTS_UNANSWERED 5
#define RUNS_MAX 64U /* that are judged; a worker has tens at most */

void
health_run_begin(
    struct health_run *run, uint64_t job, uint32_t expected_ms, int64_t now)
{
	memset(run, 0, sizeof(*run));
	run->job = job;
	run->expected_ms = expected_ms;
	run->progress_at = now;
	run->sampled_at = now;
}

void
health_run_progress(struct health_run *run, uint32_t percent, int64_t now)
{
	int64_t span = now - run->sampled_at;
	uint32_t risen;

	if (percent > run->percent) {
		run->percent = percent;
		run->progress_at = now;
	}
	if (span < SAMPLE_NS || run->expected_ms == 0)
		return;
	risen = run->percent - run->sampled_percent;
	run->rate = (uint32_t)((uint64_t)risen * run->expected_ms *
	    (HEALTH_RATE_UNIT / 100) / (uint64_t)(span / MS));
	run->rated_at = now;
	run->sampled_percent = run->percent;
	run->sampled_at = now;
}

bool
health_run_stalled(const struct health_run *run, int64_t now)
{
	return (run->expected_ms != 0 &&
	    now - run->progress_at >=
		STALL_NS + (int64_t)run->expected_ms * MS / STALL_PART);
}

uint32_t
health_run_left_ms(const struct health_run *run)
{
	uint64_t left;

	if (run->rated_at == 0 || run->rate == 0)
		return (UINT32_MAX);
	left = (uint64_t)(100 - run->percent) * run->expected_ms *
	    HEALTH_RATE_UNIT / 100 / run->rate;
	return (left > UINT32_MAX ? UINT32_MAX : (uint32_t)left);
}

static enum health_cause
fall_sick(struct health *health, enum health_cause cause, int64_t now)
{
	if (health->state == HEALTH_SICK)
		return (HEALTH_NONE);
	if (health->backoff == 0)
		health->backoff = BACKOFF_MIN_NS;
	health->state = HEALTH_SICK;
	health->cause = cause;
	health->until = now + health->backoff;
	health->backoff *= 2;
	if (health->backoff > BACKOFF_MAX_NS)
		health->backoff = BACKOFF_MAX_NS;
	health->slow_since = 0;
	health->nfailed = 0;
	return (cause);
}

static void
recover(struct health *health)
{
	health->state = HEALTH_FIT;
	health->backoff = 0;
	health->slow_since = 0;
	health->nfailed = 0;
}

static int
by_value(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x < y ? -1 : x > y);
}

/* The progress of one job's runs here. */
struct job_sample {
	uint64_t job;
	uint64_t rates; /* sum */
	uint32_t n;
};

struct sample {
	uint32_t rates[RUNS_MAX]; /* the mean of each job, sorted */
	uint32_t n; /* runs */
	uint32_t njobs;
	uint32_t stalled;
	uint32_t moving; /* rated and above 0 */
};

static struct job_sample *
job_sample_get(struct job_sample *jobs, uint32_t *n, uint64_t job)
{
	uint32_t i;

	for (i = 0; i < *n; i++) {
		if (jobs[i].job == job)
			return (&jobs[i]);
	}
	jobs[*n].job = job;
	return (&jobs[(*n)++]);
}

/*
 * A job counts once, whatever the number of its tasks: those of a long one are
 * all slow, and most runs here may be of one job.
 */
static void
take_sample(struct sample *s, const struct health_run *const *runs, uint32_t n,
    int64_t now)
{
	struct job_sample jobs[RUNS_MAX] = { 0 }, *job;
	uint32_t i;

	memset(s, 0, sizeof(*s));
	for (i = 0; i < n && s->n < RUNS_MAX; i++) {
		if (health_run_stalled(runs[i], now))
			s->stalled++;
		if (runs[i]->rated_at == 0 ||
		    now - runs[i]->rated_at > RATE_FRESH_NS)
			continue;
		if (runs[i]->rate > 0)
			s->moving++;
		s->n++;
		job = job_sample_get(jobs, &s->njobs, runs[i]->job);
		job->rates += runs[i]->rate;
		job->n++;
	}
	for (i = 0; i < s->njobs; i++)
		s->rates[i] = (uint32_t)(jobs[i].rates / jobs[i].n);
	qsort(s->rates, s->njobs, sizeof(s->rates[0]), by_value);
}

/*
 * Tells whether the median has been low for SLOW_NS.
 */
static bool
stays_slow(struct health *health, const struct sample *s, int64_t now)
{
	uint32_t runs, jobs;

	/* In a trial there is one run, and it decides. */
	runs = health->state == HEALTH_TRIAL ? 1 : SLOW_RUNS;
	jobs = health->state == HEALTH_TRIAL ? 1 : SLOW_JOBS;
	if (s->n < runs || s->njobs < jobs)
		return (false);
	if (s->rates[s->njobs / 2] >= SLOW_RATE) {
		health->slow_since = 0;
		return (false);
	}
	if (health->slow_since == 0)
		health->slow_since = now;
	return (now - health->slow_since >= SLOW_NS);
}

enum health_cause
health_judge(struct health *health, const struct health_run *const *runs,
    uint32_t n, int64_t now)
{
	struct sample s;

	if (health->state == HEALTH_SICK)
		return (HEALTH_NONE);
	take_sample(&s, runs, n, now);
	if (s.stalled > 0 && s.moving * 2 <= s.stalled)
		return (fall_sick(health, HEALTH_STILL, now));
	if (stays_slow(health, &s, now))
		return (fall_sick(health, HEALTH_SLOW, now));
	/* Progress says nothing about how runs end. */
	if (health->state == HEALTH_TRIAL && health->cause != HEALTH_FAILS &&
	    s.n > 0 && s.rates[s.njobs / 2] >= FIT_RATE)
		recover(health);
	return (HEALTH_NONE);
}

static bool
known_failed(const struct health *health, uint64_t job)
{
	uint32_t i;

	for (i = 0; i < health->nfailed; i++) {
		if (health->failed_jobs[i] == job)
			return (true);
	}
	return (false);
}

enum health_cause
health_ended(struct health *health, uint64_t job, bool failed, int64_t now)
{
	if (!failed) {
		health->nfailed = 0;
		if (health->state == HEALTH_TRIAL &&
		    health->cause == HEALTH_FAILS)
			recover(health);
		return (HEALTH_NONE);
	}
	if (known_failed(health, job))
		return (HEALTH_NONE);
	if (health->state == HEALTH_TRIAL && health->cause == HEALTH_FAILS)
		return (fall_sick(health, HEALTH_FAILS, now));
	if (health->nfailed < FAILS)
		health->failed_jobs[health->nfailed++] = job;
	if (health->nfailed < FAILS)
		return (HEALTH_NONE);
	return (fall_sick(health, HEALTH_FAILS, now));
}

bool
health_started(struct health *health, bool answered, int64_t now)
{
	health->starts =
	    (health->starts << 1 | !answered) & ((1U << STARTS_SEEN) - 1);
	if (health->degraded_until != 0 ||
	    __builtin_popcount(health->starts) < STARTS_UNANSWERED)
		return (false);
	if (now - health->degraded_ended > BACKOFF_MAX_NS)
		health->degraded_for = 0;
	health->degraded_for =
	    CLAMP(health->degraded_for * 2, BACKOFF_MIN_NS, BACKOFF_MAX_NS);
	health->degraded_until = now + health->degraded_for;
	return (true);
}

/*
 * It gets work again as others do, until its starts tell otherwise.
 */
static void
degraded_due(struct health *health, int64_t now)
{
	if (health->degraded_until != 0 && now >= health->degraded_until) {
		health->degraded_until = 0;
		health->degraded_ended = now;
		health->starts = 0;
	}
}

bool
health_due(struct health *health, int64_t now)
{
	degraded_due(health, now);
	if (health->state != HEALTH_SICK || now < health->until)
		return (false);
	health->state = HEALTH_TRIAL;
	return (true);
}
