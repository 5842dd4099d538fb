#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/base.h>

#include "health.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)

/* Shorter intervals are below the resolution of a percentage. */
#define SAMPLE_NS (40 * MS)
#define RATE_FRESH_NS (250 * MS) /* older rates are ignored */
/*
 * A run is stalled when its percentage has not risen for STALL_NS plus a fifth
 * of its expected time.  For comparison, a run of 7 times the expected length
 * on a worker at 0.8 of the usual speed takes 0.09 of the expected time for one
 * percent.
 */
#define STALL_NS (150 * MS)
#define STALL_PART 5
/*
 * Healthy workers run at 0.8 to 1.25 of the usual speed, and expected times are
 * off by 0.4.  If the median job over at least three runs is below 0.4 of the
 * expected rate, the worker is slow by more than a factor of two.
 */
#define SLOW_RATE 400U
#define SLOW_NS (50 * MS) /* minimum duration of a low median */
#define SLOW_RUNS 3U
#define SLOW_JOBS 2U
#define ON_TIME_RATE 600U /* of a run on a healthy worker; ends probation */
/*
 * At most this many slow runs at once are taken for stragglers.  If three runs
 * in a hundred are seven times as long, 18 % of those at work are stragglers:
 * of ten, more than four in one of 50 cases.
 */
#define STRAGGLERS_MAX 4U
#define FAILED_JOBS 3U /* in a row; one job may fail by its own fault */
/* Duration of the SICK and of the degraded state, doubled each time. */
#define BACKOFF_MIN_NS (1000 * MS)
#define BACKOFF_MAX_NS (8000 * MS)
/*
 * A worker becomes degraded when five of its last ten starts got no answer.  If
 * one order in twenty is lost on the way to every worker, this happens once in
 * 15,000 starts.  If a worker leaves two starts in five unanswered, it mostly
 * happens within twelve starts.
 */
#define STARTS_WINDOW 10U
#define STARTS_UNANSWERED 5
#define RUNS_MAX 64U /* runs evaluated; a worker has tens of runs at most */

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

/*
 * Returns the rate of a run whose percentage has risen in `span` ns.
 */
static uint32_t
rate_of(const struct health_run *run, uint32_t risen, int64_t span)
{
	return ((uint32_t)((uint64_t)risen * run->expected_ms *
	    (HEALTH_RATE_UNIT / 100) / (uint64_t)(span / MS)));
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
	run->rate = rate_of(run, risen, span);
	run->rated_at = now;
	run->rated_from = run->sampled_at;
	if (run->rate >= SLOW_RATE)
		run->slow_from = 0;
	else if (run->slow_from == 0)
		run->slow_from = run->sampled_at;
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

/*
 * Notes that a run was on time since `from`.
 */
static void
note_on_time(struct health *health, int64_t from)
{
	if (from > health->on_time_from)
		health->on_time_from = from;
}

void
health_run_completed(
    struct health *health, const struct health_run *run, int64_t now)
{
	int64_t span = now - run->sampled_at;

	if (run->sampled_at != 0 && run->expected_ms != 0 &&
	    span >= SAMPLE_NS &&
	    rate_of(run, 100 - run->sampled_percent, span) >= ON_TIME_RATE)
		note_on_time(health, run->sampled_at);
}

static enum health_cause
mark_sick(struct health *health, enum health_cause cause, int64_t now)
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
	health->state = HEALTH_OK;
	health->backoff = 0;
	health->slow_since = 0;
	health->nfailed = 0;
}

static int
cmp_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x < y ? -1 : x > y);
}

/* Progress of the runs of one job at this worker. */
struct job_sample {
	uint64_t job;
	uint64_t rates; /* sum */
	uint32_t n;
};

struct sample {
	uint32_t rates[RUNS_MAX]; /* mean of each job, sorted */
	uint32_t n; /* number of runs */
	uint32_t njobs;
	uint32_t stalled;
	uint32_t moving; /* runs with a current rate above 0 */
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

static bool
has_rate(const struct health_run *run, int64_t now)
{
	return (run->rated_at != 0 && now - run->rated_at <= RATE_FRESH_NS);
}

/*
 * Tells whether a run is a straggler: another run was on time since it has been
 * slow.
 */
static bool
is_straggler(const struct health *health, const struct health_run *run)
{
	return (run->slow_from != 0 && health->on_time_from >= run->slow_from);
}

/*
 * Notes which runs are on time, and returns whether slow ones may be taken for
 * stragglers.
 */
static bool
few_stragglers(struct health *health, const struct health_run *const *runs,
    uint32_t n, int64_t now)
{
	uint32_t i, stragglers = 0;

	for (i = 0; i < n; i++) {
		if (has_rate(runs[i], now) && runs[i]->rate >= ON_TIME_RATE)
			note_on_time(health, runs[i]->rated_from);
	}
	for (i = 0; i < n; i++) {
		if (has_rate(runs[i], now))
			stragglers += is_straggler(health, runs[i]);
	}
	return (stragglers <= STRAGGLERS_MAX);
}

/*
 * Each job counts once, whatever its number of tasks: all tasks of a job that
 * is longer than expected look slow, and most runs here may belong to one job.
 * Stragglers do not count.
 */
static void
take_sample(struct health *health, struct sample *s,
    const struct health_run *const *runs, uint32_t n, int64_t now)
{
	struct job_sample jobs[RUNS_MAX] = { 0 }, *job;
	bool excuse = few_stragglers(health, runs, n, now);
	uint32_t i;

	memset(s, 0, sizeof(*s));
	for (i = 0; i < n && s->n < RUNS_MAX; i++) {
		if (health_run_stalled(runs[i], now))
			s->stalled++;
		if (!has_rate(runs[i], now))
			continue;
		if (runs[i]->rate > 0)
			s->moving++;
		if (excuse && is_straggler(health, runs[i]))
			continue;
		s->n++;
		job = job_sample_get(jobs, &s->njobs, runs[i]->job);
		job->rates += runs[i]->rate;
		job->n++;
	}
	for (i = 0; i < s->njobs; i++)
		s->rates[i] = (uint32_t)(jobs[i].rates / jobs[i].n);
	qsort(s->rates, s->njobs, sizeof(s->rates[0]), cmp_u32);
}

/*
 * Tells whether the median rate has been low for SLOW_NS.
 */
static bool
is_slow(struct health *health, const struct sample *s, int64_t now)
{
	uint32_t runs, jobs;

	/* During probation there is only one run, which decides. */
	runs = health->state == HEALTH_PROBATION ? 1 : SLOW_RUNS;
	jobs = health->state == HEALTH_PROBATION ? 1 : SLOW_JOBS;
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
	take_sample(health, &s, runs, n, now);
	if (s.stalled > 0 && s.moving * 2 <= s.stalled)
		return (mark_sick(health, HEALTH_STALLED, now));
	if (is_slow(health, &s, now))
		return (mark_sick(health, HEALTH_SLOW, now));
	/* Progress does not show whether the runs succeed. */
	if (health->state == HEALTH_PROBATION &&
	    health->cause != HEALTH_FAILING && s.n > 0 &&
	    s.rates[s.njobs / 2] >= ON_TIME_RATE)
		recover(health);
	return (HEALTH_NONE);
}

static bool
has_failed(const struct health *health, uint64_t job)
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
		if (health->state == HEALTH_PROBATION &&
		    health->cause == HEALTH_FAILING)
			recover(health);
		return (HEALTH_NONE);
	}
	if (has_failed(health, job))
		return (HEALTH_NONE);
	if (health->state == HEALTH_PROBATION &&
	    health->cause == HEALTH_FAILING)
		return (mark_sick(health, HEALTH_FAILING, now));
	if (health->nfailed < FAILED_JOBS)
		health->failed_jobs[health->nfailed++] = job;
	if (health->nfailed < FAILED_JOBS)
		return (HEALTH_NONE);
	return (mark_sick(health, HEALTH_FAILING, now));
}

bool
health_started(struct health *health, bool answered, int64_t now)
{
	health->starts =
	    (health->starts << 1 | !answered) & ((1U << STARTS_WINDOW) - 1);
	if (health->degraded_until != 0 ||
	    __builtin_popcount(health->starts) < STARTS_UNANSWERED)
		return (false);
	if (now - health->degraded_ended > BACKOFF_MAX_NS)
		health->degraded_backoff = 0;
	health->degraded_backoff =
	    CLAMP(health->degraded_backoff * 2, BACKOFF_MIN_NS, BACKOFF_MAX_NS);
	health->degraded_until = now + health->degraded_backoff;
	return (true);
}

/*
 * Ends the degraded state.  The worker gets work as the others do until new
 * starts stay unanswered.
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
	health->state = HEALTH_PROBATION;
	return (true);
}
