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
	assert_int_equal(pass(&b, 800), HEALTH_STILL);
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
	assert_int_equal(health_ended(&health, 3, true, MS), HEALTH_FAILS);
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
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
