/*
 * Tests of the measurement of a worker's speed (src/dispatch/speed.c).
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <monsoonlock/base.h>

#include "../src/dispatch/speed.h"

#define SEEDS 50
#define RUNS 1000
#define EXPECTED_MS 200
#define TAIL_FACTOR 7

/*
 * Adds n runs on a worker of the given speed.  The expected times are off by up
 * to 0.4, in the same way for the four tasks of a job, and three runs in a
 * hundred are in the tail.  Returns how often a change was reported.
 */
static uint32_t
add_runs(struct speed *speed, struct mlk_rng *rng, uint32_t n, double value)
{
	uint32_t i, changes = 0;
	double off = 1, ms;

	for (i = 0; i < n; i++) {
		if (i % 4 == 0)
			off = 0.6 + mlk_rng_below(rng, 801) / 1000.0;
		ms = EXPECTED_MS / value;
		if (mlk_rng_below(rng, 100) < 3)
			ms *= TAIL_FACTOR;
		changes += speed_add(speed,
		    (int64_t)(EXPECTED_MS * off * MLK_NSEC_PER_MSEC),
		    (int64_t)(ms * MLK_NSEC_PER_MSEC));
	}
	return (changes);
}

/*
 * Guards against a speed that is off by a fifth, because of the tail or of
 * wrong estimates, and against one that is not logged or is logged over and
 * over.
 */
static void
test_measured_speed(void **state)
{
	static const double values[] = { 0.6, 0.8, 1.0, 1.25, 1.6 };
	uint64_t seed, reported;
	uint32_t changes;
	struct mlk_rng rng;
	size_t k;

	(void)state;
	for (k = 0; k < sizeof(values) / sizeof(values[0]); k++) {
		for (seed = 1; seed <= SEEDS; seed++) {
			struct speed speed = { 0 };

			mlk_rng_seed(&rng, seed);
			changes = add_runs(&speed, &rng, RUNS, values[k]);
			reported = speed.reported;
			assert_in_range(reported, (uint64_t)(values[k] * 800),
			    (uint64_t)(values[k] * 1200));
			if (values[k] == 0.6 || values[k] == 1.6)
				assert_in_range(changes, 1, 3);
			if (values[k] == 1.0)
				assert_int_equal(changes, 0);
		}
	}
}

/*
 * Guards against a speed from a few runs, which would differ among equal
 * workers, and against one that does not follow a worker that becomes slow.
 */
static void
test_speed_over_time(void **state)
{
	struct speed speed = { 0 };
	struct mlk_rng rng;

	(void)state;
	mlk_rng_seed(&rng, 1);
	(void)add_runs(&speed, &rng, 20, 0.6);
	assert_int_equal(speed.reported, 0);
	assert_int_equal(speed_run_ms(&speed, EXPECTED_MS), EXPECTED_MS);
	(void)add_runs(&speed, &rng, RUNS, 1.2);
	(void)add_runs(&speed, &rng, RUNS, 0.6);
	assert_in_range(speed.reported, 500, 720);
	assert_in_range(speed_run_ms(&speed, 600), 830, 1200);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_measured_speed),
		cmocka_unit_test(test_speed_over_time),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
