/*
 * Tests of worker health (src/dispatch/health.c): progress, failures and
 * unanswered starts that must make a worker sick or degraded, and those that
 * are the fault of a job or of the network.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <monsoonlock/base.h>

#include "../src/dispatch/health.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define STEP_MS 50
#define RUNS_MAX 16
#define EXPECTED_MS 1000U

struct bench {
	struct health health;
	struct health_run runs[RUNS_MAX];
	double speed[RUNS_MAX]; /* relative to the expected speed */
	double done[RUNS_MAX]; /* percentage */
	uint32_t n;
	int64_t now;
};

/*
 * Adds runs of one job that progress at the given speed.
 */
static void
add_runs(struct bench *b, uint64_t job, uint32_t count, double speed)
{
	while (count-- > 0) {
		health_run_begin(&b->runs[b->n], job, EXPECTED_MS, b->now);
		b->speed[b->n++] = speed;
	}
}

/*
 * Reports the progress of the runs every STEP_MS for `ms`, or until the worker
 * becomes sick.  Returns the cause.
 */
static enum health_cause
advance(struct bench *b, int64_t ms)
{
	const struct health_run *runs[RUNS_MAX];
	enum health_cause cause = HEALTH_NONE;
	int64_t t;
	uint32_t i;

	for (t = STEP_MS; t <= ms && cause == HEALTH_NONE; t += STEP_MS) {
		for (i = 0; i < b->n; i++) {
			runs[i] = &b->runs[i];
			b->done[i] += STEP_MS * b->speed[i] * 100 / EXPECTED_MS;
			health_run_progress(&b->runs[i],
			    (uint32_t)(b->done[i] + 1e-6), b->now + t * MS);
		}
		cause = health_judge(&b->health, runs, b->n, b->now + t * MS);
	}
	b->now += (t - STEP_MS) * MS;
	return (cause);
}

/*
 * Changes the speed of all runs by a factor.
 */
static void
slow_down(struct bench *b, double factor)
{
	uint32_t i;

	for (i = 0; i < b->n; i++)
		b->speed[i] *= factor;
}

/*
 * Guards against a worker found slow because of one slow job, whose eight tasks
 * outnumber the runs of all other jobs.
 */
static void
test_one_slow_job(void **state)
{
	struct bench b = { .now = MS };

	(void)state;
	add_runs(&b, 1, 8, 0.14);
	add_runs(&b, 2, 1, 1.0);
	add_runs(&b, 3, 2, 0.9);
	assert_int_equal(advance(&b, 800), HEALTH_NONE);
}

/*
 * Guards against a worker found slow because only the stragglers of three jobs
 * are left, whose other tasks were on time.
 */
static void
test_stragglers(void **state)
{
	struct bench b = { .now = MS };
	uint64_t job;
	uint32_t i;

	(void)state;
	for (job = 1; job <= 3; job++) {
		add_runs(&b, job, 1, 0.14);
		add_runs(&b, job, 1, 1.0);
	}
	assert_int_equal(advance(&b, 600), HEALTH_NONE);
	for (i = 0; i < 3; i++) {
		b.runs[i] = b.runs[2 * i];
		b.speed[i] = b.speed[2 * i];
		b.done[i] = b.done[2 * i];
	}
	b.n = 3;
	assert_int_equal(advance(&b, 2000), HEALTH_NONE);
}

/*
 * Guards against the same with tasks that end before their progress is seen: a
 * completed run counts as one on time.
 */
static void
test_stragglers_of_quick_tasks(void **state)
{
	struct bench b = { .now = MS };
	struct health_run quick;

	(void)state;
	add_runs(&b, 1, 1, 0.14);
	add_runs(&b, 2, 1, 0.14);
	add_runs(&b, 3, 1, 0.14);
	health_run_begin(&quick, 4, STEP_MS, b.now);
	health_run_completed(&b.health, &quick, b.now + STEP_MS * MS);
	assert_int_equal(advance(&b, 800), HEALTH_NONE);
}

/*
 * Guards against a worker that becomes slow and is not detected, because its
 * runs were on time before or because it has a straggler.
 */
static void
test_slow_after_on_time(void **state)
{
	struct bench b = { .now = MS };
	uint32_t i;

	(void)state;
	add_runs(&b, 1, 1, 0.14);
	add_runs(&b, 2, 2, 1.0);
	add_runs(&b, 3, 2, 0.9);
	assert_int_equal(advance(&b, 300), HEALTH_NONE);
	slow_down(&b, 0.2);
	assert_int_equal(advance(&b, 300), HEALTH_SLOW);
	for (i = 0; i < b.n; i++)
		assert_true(b.runs[i].percent < 60);
}

/* Guards against a slow worker that is not detected. */
static void
test_slow_worker(void **state)
{
	struct bench b = { .now = MS };

	(void)state;
	add_runs(&b, 1, 4, 0.2);
	add_runs(&b, 2, 2, 0.18);
	add_runs(&b, 3, 1, 0.25);
	assert_int_equal(advance(&b, 400), HEALTH_SLOW);
}

/*
 * Guards against a worker found slow from the runs of a single job, however
 * many they are.
 */
static void
test_single_job_is_no_evidence(void **state)
{
	struct bench b = { .now = MS };

	(void)state;
	add_runs(&b, 1, 8, 0.2);
	assert_int_equal(advance(&b, 800), HEALTH_NONE);
}

/* Guards against a stalled worker that is not detected. */
static void
test_stalled_worker(void **state)
{
	struct bench b = { .now = MS };

	(void)state;
	add_runs(&b, 1, 4, 0.0);
	assert_int_equal(advance(&b, 800), HEALTH_STALLED);
}

/* Guards against a worker found sick because of a single job that fails. */
static void
test_failing_job(void **state)
{
	struct health health = { 0 };
	int i;

	(void)state;
	for (i = 0; i < 10; i++)
		assert_int_equal(
		    health_ended(&health, 1, true, MS), HEALTH_NONE);
	assert_int_equal(health_ended(&health, 2, true, MS), HEALTH_NONE);
	assert_int_equal(health_ended(&health, 3, true, MS), HEALTH_FAILING);
}

#define STARTS 2000
#define START_MS 25

/*
 * Records starts of which lost_percent get no answer.  Returns the number of
 * starts before the one that made the worker degraded, or STARTS if none did.
 */
static int
starts_until_degraded(
    struct health *health, uint64_t seed, uint32_t lost_percent)
{
	struct mlk_rng rng;
	int i;

	memset(health, 0, sizeof(*health));
	mlk_rng_seed(&rng, seed);
	for (i = 0; i < STARTS; i++) {
		if (health_started(health,
			mlk_rng_below(&rng, 100) >= lost_percent,
			i * START_MS * MS))
			break;
	}
	return (i);
}

/*
 * Guards against a worker that leaves 38 % of its starts unanswered and still
 * gets work like the others.  At 40 starts a second it must be found degraded
 * within 1 s in 95 of 100 cases, and within 3 s in all.
 */
static void
test_unanswered_starts(void **state)
{
	struct health health;
	uint64_t seed;
	int n, late = 0;

	(void)state;
	for (seed = 1; seed <= 100; seed++) {
		n = starts_until_degraded(&health, seed, 38);
		assert_true(n < 3000 / START_MS);
		late += n >= 1000 / START_MS;
	}
	assert_true(late <= 5);
}

/*
 * Guards against healthy workers found degraded because the network loses one
 * order in twenty on the way to every worker: at most ten of 100 in 50 s.
 */
static void
test_few_unanswered_starts(void **state)
{
	struct health health;
	uint64_t seed;
	int degraded = 0;

	(void)state;
	for (seed = 1; seed <= 100; seed++)
		degraded += starts_until_degraded(&health, seed, 5) < STARTS;
	assert_true(degraded <= 10);
}

/*
 * Guards against a worker that stays degraded although it answers again, and
 * against a back-off that does not grow while it still does not answer.
 */
static void
test_degraded_backoff(void **state)
{
	struct health health;
	int64_t first, now;
	int i;

	(void)state;
	(void)starts_until_degraded(&health, 1, 100);
	now = health.degraded_until;
	first = health.degraded_backoff;
	(void)health_due(&health, now);
	assert_int_equal(health.degraded_until, 0);
	for (i = 0; i < 20; i++)
		assert_false(health_started(&health, true, now));
	for (i = 0; i < 10 && health.degraded_until == 0; i++)
		(void)health_started(&health, false, now);
	assert_true(health.degraded_until - now > first);
	/* After a long healthy period the back-off starts from the shortest. */
	now = health.degraded_until;
	(void)health_due(&health, now);
	now += 60000 * MS;
	for (i = 0; i < 10 && health.degraded_until == 0; i++)
		(void)health_started(&health, false, now);
	assert_int_equal(health.degraded_until - now, first);
}

/*
 * Guards against a probation that ends on good progress although the worker was
 * sick because its runs failed.
 */
static void
test_probation_checks_cause(void **state)
{
	struct bench b = { .now = MS };
	uint64_t job;

	(void)state;
	for (job = 1; job <= 3; job++)
		(void)health_ended(&b.health, job, true, b.now);
	b.now = b.health.until;
	assert_true(health_due(&b.health, b.now));
	add_runs(&b, 4, 1, 1.0);
	assert_int_equal(advance(&b, 500), HEALTH_NONE);
	assert_int_equal(b.health.state, HEALTH_PROBATION);
	assert_int_equal(
	    health_ended(&b.health, 4, true, b.now), HEALTH_FAILING);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_slow_job),
		cmocka_unit_test(test_stragglers),
		cmocka_unit_test(test_stragglers_of_quick_tasks),
		cmocka_unit_test(test_slow_after_on_time),
		cmocka_unit_test(test_slow_worker),
		cmocka_unit_test(test_single_job_is_no_evidence),
		cmocka_unit_test(test_stalled_worker),
		cmocka_unit_test(test_failing_job),
		cmocka_unit_test(test_unanswered_starts),
		cmocka_unit_test(test_few_unanswered_starts),
		cmocka_unit_test(test_probation_checks_cause),
		cmocka_unit_test(test_degraded_backoff),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
