/*
 * Tests of how a worker is judged: patterns of progress that must make it sick,
 * and those that belong to its jobs.
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
	double speed[RUNS_MAX]; /* against the expected one */
	uint32_t n;
	int64_t now;
};

static void
add(struct bench *b, uint64_t job, uint32_t count, double speed)
{
	while (count-- > 0) {
		health_run_begin(&b->runs[b->n], job, EXPECTED_MS, b->now);
		b->speed[b->n++] = speed;
	}
}

/*
 * Lists the runs until `ms` have passed.  Returns the first cause.
 */
static enum health_cause
pass(struct bench *b, int64_t ms)
{
	const struct health_run *runs[RUNS_MAX];
	enum health_cause cause = HEALTH_NONE;
	int64_t t;
	uint32_t i;

	for (t = STEP_MS; t <= ms && cause == HEALTH_NONE; t += STEP_MS) {
		for (i = 0; i < b->n; i++) {
			runs[i] = &b->runs[i];
			health_run_progress(&b->runs[i],
			    (uint32_t)((double)t * b->speed[i] * 100 /
				EXPECTED_MS),
			    b->now + t * MS);
		}
		cause = health_judge(&b->health, runs, b->n, b->now + t * MS);
	}
	b->now += t * MS;
	return (cause);
}

/*
 * Guards against a worker that gets no work for the sake of one long job: its
 * eight tasks outnumber all others.
 */
static void
test_tail_of_one_job(void **state)
{
	struct bench b = { .now = MS };

	(void)state;
	add(&b, 1, 8, 0.14);
	add(&b, 2, 1, 1.0);
	add(&b, 3, 2, 0.9);
	assert_int_equal(pass(&b, 800), HEALTH_NONE);
}

/* Guards against a slow worker that is not found. */
static void
test_slow_worker(void **state)
{
	struct bench b = { .now = MS };

	(void)state;
	add(&b, 1, 4, 0.2);
	add(&b, 2, 2, 0.18);
	add(&b, 3, 1, 0.25);
	assert_int_equal(pass(&b, 400), HEALTH_SLOW);
}

/* Guards against a verdict from a single job, of whatever size. */
static void
test_one_job_is_no_witness(void **state)
{
	struct bench b = { .now = MS };

	(void)state;
	add(&b, 1, 8, 0.2);
	assert_int_equal(pass(&b, 800), HEALTH_NONE);
}

/* Guards against a worker that stands still and is not found. */
static void
test_still_worker(void **state)
{
	struct bench b = { .now = MS };

	(void)state;
	add(&b, 1, 4, 0.0);
	assert_int_equal(pass(&b, 800), HEALTH_STALLED);
}

/* Guards against one job's own fault that is laid on the worker. */
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
 * Starts that are lost with some probability.  Returns how many there were
 * until the worker was found degraded, STARTS when it was not.
 */
static int
starts_until_degraded(struct health *health, uint64_t seed, uint32_t lost)
{
	struct mlk_rng rng;
	int i;

	memset(health, 0, sizeof(*health));
	mlk_rng_seed(&rng, seed);
	for (i = 0; i < STARTS; i++) {
		if (health_started(health, mlk_rng_below(&rng, 100) >= lost,
			i * START_MS * MS))
			break;
	}
	return (i);
}

/* Guards against a worker that goes on getting work first while it leaves 38 %
 * of its orders unanswered: at 40 starts a second it is to be found within 1 s
 * in 95 of 100 cases, and in all of them within 3 s. */
static void
test_mute_worker(void **state)
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

/* Guards against healthy workers that are left out where one order in twenty
 * is lost on the way to all of them: of 100 no more than ten in 50 s. */
static void
test_lossy_orders(void **state)
{
	struct health health;
	uint64_t seed;
	int degraded = 0;

	(void)state;
	for (seed = 1; seed <= 100; seed++)
		degraded += starts_until_degraded(&health, seed, 5) < STARTS;
	assert_true(degraded <= 10);
}

/* Guards against a worker that stays degraded though it answers again, and
 * against one that is as good as new each second while it does not. */
static void
test_degraded_ends(void **state)
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
	/* It has been well for long: the next time counts as the first. */
	now = health.degraded_until;
	(void)health_due(&health, now);
	now += 60000 * MS;
	for (i = 0; i < 10 && health.degraded_until == 0; i++)
		(void)health_started(&health, false, now);
	assert_int_equal(health.degraded_until - now, first);
}

/* Guards against a trial that ends by good progress, where the worker was sick
 * for what it did with starts or ends. */
static void
test_trial_by_its_cause(void **state)
{
	struct bench b = { .now = MS };
	uint64_t job;

	(void)state;
	for (job = 1; job <= 3; job++)
		(void)health_ended(&b.health, job, true, b.now);
	b.now = b.health.until;
	assert_true(health_due(&b.health, b.now));
	add(&b, 4, 1, 1.0);
	assert_int_equal(pass(&b, 500), HEALTH_NONE);
	assert_int_equal(b.health.state, HEALTH_PROBATION);
	assert_int_equal(
	    health_ended(&b.health, 4, true, b.now), HEALTH_FAILING);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_tail_of_one_job),
		cmocka_unit_test(test_slow_worker),
		cmocka_unit_test(test_one_job_is_no_witness),
		cmocka_unit_test(test_still_worker),
		cmocka_unit_test(test_failing_job),
		cmocka_unit_test(test_mute_worker),
		cmocka_unit_test(test_lossy_orders),
		cmocka_unit_test(test_trial_by_its_cause),
		cmocka_unit_test(test_degraded_ends),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
