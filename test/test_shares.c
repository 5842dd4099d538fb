/*
 * Tests of the shares of a pool's capacity: properties over random cases, and
 * degenerate input.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <monsoonlock/base.h>

#include "../src/dispatch/shares.h"

#define CASES 20000
#define QUEUES_MAX 12U
#define RELATIVE_ERROR 1e-9
#define FLOOR 0.25 /* as in shares.c: part of the share by weight */
#define USUAL_MARGIN 1.25 /* of shares.c */

/* A random case. */
struct shares_case {
	struct share_queue queues[QUEUES_MAX];
	uint32_t n;
	double capacity;
};

static double
uniform(struct mlk_rng *rng)
{
	return (mlk_rng_below(rng, 1000001) / 1e6);
}

/*
 * Returns a rate of 0, of ordinary size, or so high that its rounding error is
 * above any fixed margin.
 */
static double
random_rate(struct mlk_rng *rng)
{
	switch (mlk_rng_below(rng, 6)) {
	case 0:
		return (0);
	case 1:
		return (uniform(rng) * 1e12);
	case 2:
		return (mlk_rng_below(rng, 8));
	default:
		return (uniform(rng) * 1e6);
	}
}

static void
make_case(struct mlk_rng *rng, struct shares_case *c)
{
	struct share_queue *q;
	double demand = 0;
	uint32_t i;

	memset(c, 0, sizeof(*c));
	c->n = 1 + mlk_rng_below(rng, QUEUES_MAX);
	for (i = 0; i < c->n; i++) {
		q = &c->queues[i];
		q->weight = shares_weight(mlk_rng_below(rng, 9));
		q->demand = random_rate(rng);
		q->usual = mlk_rng_below(rng, 2) == 0 ?
		    q->demand * 2 * uniform(rng) :
		    random_rate(rng);
		demand += q->demand;
	}
	c->capacity = mlk_rng_below(rng, 8) == 0 ? random_rate(rng) :
						   demand * 1.5 * uniform(rng);
}

static double
sum_shares(const struct share_queue *queues, uint32_t n)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < n; i++)
		sum += queues[i].share;
	return (sum);
}

static double
margin(const struct shares_case *c)
{
	double largest = c->capacity;
	uint32_t i;

	for (i = 0; i < c->n; i++)
		largest = fmax(largest, c->queues[i].demand);
	return (fmax(largest, 1) * RELATIVE_ERROR);
}

/*
 * The sum is the capacity or the whole demand, and no queue gets more than it
 * asks for.
 */
static void
check_sum(const struct shares_case *c, uint32_t seed)
{
	double demand = 0, sum = sum_shares(c->queues, c->n), e = margin(c);
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		demand += c->queues[i].demand;
		if (!(c->queues[i].share >= 0) ||
		    c->queues[i].share > c->queues[i].demand + e) {
			fail_msg("case %u: queue %u has %g of %g", seed, i,
			    c->queues[i].share, c->queues[i].demand);
		}
	}
	if (fabs(sum - fmin(demand, c->capacity)) > e * c->n) {
		fail_msg("case %u: %g shared out; demand %g, capacity %g", seed,
		    sum, demand, c->capacity);
	}
}

/*
 * What each queue is to get before the capacity beyond usual demand is shared:
 * its demand up to a multiple of its usual rate or its floor, whichever is
 * higher.
 */
static double
first_claim(const struct shares_case *c, uint32_t i)
{
	double weights = 0, floor;
	uint32_t k;

	for (k = 0; k < c->n; k++)
		weights += c->queues[k].weight;
	floor = c->capacity * c->queues[i].weight / weights * FLOOR;
	return (fmin(c->queues[i].demand,
	    fmax(c->queues[i].usual * USUAL_MARGIN, floor)));
}

/*
 * First claims are met in full, or max-min by weight when they exceed the
 * capacity: a queue that lacks part of its claim has no lower share by weight
 * than any other.  Nobody gets more than its claim while one lacks part of it.
 */
static void
check_claims(const struct shares_case *c, uint32_t seed)
{
	const struct share_queue *q, *other;
	double e = margin(c);
	uint32_t i, k;

	for (i = 0; i < c->n; i++) {
		q = &c->queues[i];
		if (q->share >= first_claim(c, i) - e)
			continue;
		for (k = 0; k < c->n; k++) {
			other = &c->queues[k];
			if (other->share > first_claim(c, k) + e) {
				fail_msg("case %u: queue %u lacks part of its "
					 "claim, %u has more",
				    seed, i, k);
			}
			if (other->share / other->weight >
			    (q->share + e * QUEUES_MAX) / q->weight + e) {
				fail_msg("case %u: queue %u has less by weight "
					 "than %u",
				    seed, i, k);
			}
		}
	}
}

/*
 * The rest is shared max-min by weight: of two queues with more than their
 * claim, one that still lacks some has no less of the rest by weight.
 */
static void
check_rest(const struct shares_case *c, uint32_t seed)
{
	double e = margin(c), mine, theirs;
	const struct share_queue *q;
	uint32_t i, k;

	for (i = 0; i < c->n; i++) {
		q = &c->queues[i];
		mine = q->share - first_claim(c, i);
		if (mine < e || q->share >= q->demand - e)
			continue;
		for (k = 0; k < c->n; k++) {
			theirs = c->queues[k].share - first_claim(c, k);
			if (theirs / c->queues[k].weight >
			    (mine + e * QUEUES_MAX) / q->weight + e * 9) {
				fail_msg("case %u: queue %u has less of the "
					 "rest than %u",
				    seed, i, k);
			}
		}
	}
}

/*
 * Guards against shares that leave capacity unused, exceed the demand, or
 * favour a queue beyond its weight, and against a computation that does not end
 * for high rates.
 */
static void
test_random_cases(void **state)
{
	struct shares_case c;
	struct mlk_rng rng;
	uint32_t i;

	(void)state;
	for (i = 1; i <= CASES; i++) {
		mlk_rng_seed(&rng, i);
		make_case(&rng, &c);
		shares_compute(c.queues, c.n, c.capacity);
		check_sum(&c, i);
		check_claims(&c, i);
		check_rest(&c, i);
	}
}

/*
 * Guards against an overload that other queues pay for: whatever one queue asks
 * for above its usual rate, the others keep their share as long as all usual
 * rates fit.  Left out are cases in which the flooding queue has a floor above
 * its usual rate.
 */
static void
test_excess_of_one(void **state)
{
	double usual, claims;
	struct shares_case c;
	struct mlk_rng rng;
	uint32_t i, k, flood, checked = 0;

	(void)state;
	for (i = 1; i <= CASES; i++) {
		mlk_rng_seed(&rng, i);
		make_case(&rng, &c);
		usual = 0;
		for (k = 0; k < c.n; k++) {
			c.queues[k].usual = c.queues[k].demand;
			usual += c.queues[k].demand;
		}
		c.capacity = usual * (1 + uniform(&rng));
		flood = mlk_rng_below(&rng, c.n);
		c.queues[flood].demand =
		    c.queues[flood].demand * 20 + c.capacity;
		claims = 0;
		for (k = 0; k < c.n; k++)
			claims += first_claim(&c, k);
		if (claims > c.capacity)
			continue;
		checked++;
		shares_compute(c.queues, c.n, c.capacity);
		for (k = 0; k < c.n; k++) {
			if (c.queues[k].share <
			    c.queues[k].usual - margin(&c)) {
				fail_msg("case %u: queue %u has %g of %g", i, k,
				    c.queues[k].share, c.queues[k].usual);
			}
		}
	}
	assert_true(checked > CASES / 2);
}

/* Guards against a priority that has no effect, or a weight of 0. */
static void
test_weights(void **state)
{
	struct share_queue queues[] = {
		{ .weight = shares_weight(0), .demand = 1000 },
		{ .weight = shares_weight(1), .demand = 1000 },
		{ .weight = shares_weight(3), .demand = 1000 },
	};

	(void)state;
	assert_true(shares_weight(UINT32_MAX) > 0);
	shares_compute(queues, 3, 700);
	assert_float_equal(queues[0].share, 400, 1e-6);
	assert_float_equal(queues[1].share, 200, 1e-6);
	assert_float_equal(queues[2].share, 100, 1e-6);
}

/*
 * Guards against a new queue without a usual rate that starves among queues
 * that use the whole capacity.
 */
static void
test_floor(void **state)
{
	struct share_queue queues[] = {
		{ .weight = 1, .usual = 900, .demand = 1000 },
		{ .weight = 1, .usual = 900, .demand = 1000 },
		{ .weight = 1, .usual = 0, .demand = 500 },
	};

	(void)state;
	shares_compute(queues, 3, 900);
	assert_float_equal(queues[2].share, 900 / 3.0 * FLOOR, 1e-6);
	assert_float_equal(queues[0].share, queues[1].share, 1e-6);
}

/* Guards against a share that is not a number or not 0 without capacity. */
static void
test_degenerate(void **state)
{
	struct share_queue one = { .weight = 1, .usual = 5, .demand = 10 };
	struct share_queue none[] = { { .weight = 1 }, { .weight = 0.5 } };

	(void)state;
	shares_compute(&one, 0, 100);
	shares_compute(&one, 1, 0);
	assert_true(one.share == 0);
	shares_compute(&one, 1, -50);
	assert_true(one.share == 0);
	shares_compute(&one, 1, 7);
	assert_float_equal(one.share, 7, 1e-9);
	shares_compute(&one, 1, 100);
	assert_float_equal(one.share, 10, 1e-9);
	shares_compute(none, 2, 100);
	assert_true(none[0].share == 0 && none[1].share == 0);
	shares_compute(none, 2, 0);
	assert_true(none[0].share == 0 && none[1].share == 0);
}

/*
 * Guards against a computation that does not end: 9 million thousandths of a
 * core, as three times the load of an installation of 3,000 cores, have a
 * rounding error above 1e-9.
 */
static void
test_high_rates(void **state)
{
	struct share_queue queues[] = {
		{ .weight = shares_weight(2), .usual = 9.1e6, .demand = 9.1e6 },
		{ .weight = shares_weight(4), .usual = 9.7e9, .demand = 9.7e9 },
		{ .weight = shares_weight(6), .usual = 4e12, .demand = 4e12 },
		{ .weight = 1, .demand = 1e13 },
	};
	uint32_t i;

	(void)state;
	for (i = 0; i < 1000; i++) {
		queues[0].demand = queues[0].usual + i * 0.37;
		queues[1].demand = queues[1].usual + i * 0.37;
		queues[2].demand = queues[2].usual + i * 0.37;
		shares_compute(queues, 4, 5e12);
		assert_true(queues[0].share >= 9.1e6);
		assert_true(queues[3].share > 0);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_cases),
		cmocka_unit_test(test_excess_of_one),
		cmocka_unit_test(test_weights),
		cmocka_unit_test(test_floor),
		cmocka_unit_test(test_degenerate),
		cmocka_unit_test(test_high_rates),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
