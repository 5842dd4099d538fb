/*
 * Tests of the distribution of run times (src/dispatch/runtime_dist.c).
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <monsoonlock/base.h>

#include "../src/dispatch/runtime_dist.h"

#define RUNS 4000
#define TAIL_FACTOR 7

/*
 * Draws the ratio of a run time to an estimate that is off by up to 0.4; three
 * runs in a hundred are in the tail.
 */
static double
draw(struct mlk_rng *rng)
{
	double off = 0.6 + mlk_rng_below(rng, 801) / 1000.0;

	return (log2((mlk_rng_below(rng, 100) < 3 ? TAIL_FACTOR : 1) / off));
}

/*
 * Adds runs whose times are `factor` times the usual ones.
 */
static void
add_runs(struct runtime_dist *dist, struct mlk_rng *rng, double factor)
{
	int i;

	for (i = 0; i < RUNS; i++)
		runtime_dist_add(dist, draw(rng) + log2(factor));
}

/*
 * Guards against a chance that is far from the share of runs that do end in
 * time, in the body and between body and tail.  Estimates are not log-normal,
 * and a mean over 64 runs is off by 0.03, which together makes up to 0.13.
 */
static void
test_chance_is_the_share_in_time(void **state)
{
	static const double times[] = { 0.8, 1.0, 1.3, 1.7, 2.5, 4.0 };
	struct runtime_dist dist = { 0 };
	struct mlk_rng rng;
	size_t k;
	int i, in_time;

	(void)state;
	mlk_rng_seed(&rng, 1);
	add_runs(&dist, &rng, 1);
	assert_true(runtime_dist_known(&dist));
	assert_in_range((uint32_t)(dist.tail_share * 1000), 20, 40);
	for (k = 0; k < sizeof(times) / sizeof(times[0]); k++) {
		for (i = 0, in_time = 0; i < RUNS; i++)
			in_time += draw(&rng) <= log2(times[k]);
		assert_true(
		    fabs((double)in_time / RUNS -
			runtime_dist_chance(&dist, log2(times[k]))) < 0.15);
	}
}

/*
 * Guards against a first run in the tail, and against run times that rise for
 * good: both must not leave all later runs outside of the body.
 */
static void
test_body_follows(void **state)
{
	struct runtime_dist dist = { 0 };
	struct mlk_rng rng;
	double usual;

	(void)state;
	mlk_rng_seed(&rng, 2);
	runtime_dist_add(&dist, log2(TAIL_FACTOR));
	add_runs(&dist, &rng, 1);
	usual = dist.body_mean;
	assert_true(fabs(usual) < 0.25);
	add_runs(&dist, &rng, 5);
	assert_true(fabs(dist.body_mean - usual - log2(5)) < 0.25);
	assert_true(dist.tail_share < 0.1);
}

/* Guards against a wrong product for the tasks of a wide job. */
static void
test_all(void **state)
{
	(void)state;
	assert_true(fabs(runtime_dist_all(0.9, 7) - pow(0.9, 7)) < 1e-9);
	assert_true(runtime_dist_all(0.5, 0) == 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_chance_is_the_share_in_time),
		cmocka_unit_test(test_body_follows),
		cmocka_unit_test(test_all),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
