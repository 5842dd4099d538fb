/*
 * Tests of the evidence that a worker is still in the life in use
 * (src/dispatch/life.c).
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <monsoonlock/base.h>

#include "../src/dispatch/life.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define START (5000 * MS)
#define CLOCK 400000
#define LONG_WAIT (100 * MS) /* of a listing that waits for an end */

static void
begin_listed(struct life *life)
{
	life_begin(life);
	life_confirm(life, CLOCK, START, START + MS);
	assert_true(life_is_confirmed(life, START + MS));
}

/*
 * Guards against an answer that counts from when it is handled: the worker may
 * have exited right after the order was sent.
 */
static void
test_counts_from_sending(void **state)
{
	struct life life;

	(void)state;
	life_begin(&life);
	assert_false(life_is_confirmed(&life, START));
	life_confirm(&life, CLOCK, START, START + LONG_WAIT);
	assert_true(life_is_confirmed(&life, START + LIFE_CONFIRMED_NS - 1));
	assert_false(life_is_confirmed(&life, START + LIFE_CONFIRMED_NS));
}

/*
 * Guards against starts that wait although answers keep confirming the life,
 * also with a slow clock and with answers that overtake each other.
 */
static void
test_clock_that_goes_on(void **state)
{
	struct life life;
	int64_t t, sent;

	(void)state;
	begin_listed(&life);
	for (t = 50; t <= 20000; t += 50) {
		sent = START + t * MS;
		assert_false(life_answered(
		    &life, CLOCK + t * 98 / 100, sent, sent + MS));
		assert_true(life_is_confirmed(&life, sent + MS));
	}
	begin_listed(&life);
	sent = START + 90 * MS;
	assert_false(life_answered(&life, CLOCK + 90, sent, sent + MS));
	/* Sent and answered by the worker before the one above. */
	assert_false(
	    life_answered(&life, CLOCK + 20, START + 10 * MS, sent + 2 * MS));
	assert_true(life_is_confirmed(&life, sent + 2 * MS));
}

/*
 * Guards against an answer of the next life that confirms the life before it;
 * its clock has started anew.
 */
static void
test_clock_that_starts_anew(void **state)
{
	static const int64_t clocks[] = { 1, 1000, CLOCK, CLOCK + 100,
		CLOCK + 1000 };
	struct life life;
	int64_t sent;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(clocks) / sizeof(clocks[0]); i++) {
		begin_listed(&life);
		sent = START + 480 * MS;
		assert_true(life_answered(&life, clocks[i], sent, sent + MS));
		assert_false(life_is_confirmed(&life, sent + MS));
		/* Reported once. */
		assert_false(life_answered(&life, clocks[i], sent, sent + MS));
		life_confirm(&life, clocks[i], sent + MS, sent + 2 * MS);
		assert_true(life_is_confirmed(&life, sent + 2 * MS));
	}
}

/*
 * Guards against an order without an answer that leaves no doubt, and against
 * doubt although a later order was answered.
 */
static void
test_no_answer(void **state)
{
	struct life life;

	(void)state;
	begin_listed(&life);
	life_unanswered(&life, START - 20 * MS, START + 30 * MS);
	assert_true(life_is_confirmed(&life, START + 30 * MS));
	life_unanswered(&life, START + 10 * MS, START + 60 * MS);
	assert_false(life_is_confirmed(&life, START + 60 * MS));
	/* Sent before the doubt: the worker may have answered and exited. */
	life_confirm(&life, CLOCK + 40, START + 40 * MS, START + 61 * MS);
	assert_false(life_is_confirmed(&life, START + 61 * MS));
	life_confirm(&life, CLOCK + 61, START + 61 * MS, START + 62 * MS);
	assert_true(life_is_confirmed(&life, START + 62 * MS));
	life_doubt(&life, START + 63 * MS);
	assert_false(life_is_confirmed(&life, START + 63 * MS));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_counts_from_sending),
		cmocka_unit_test(test_clock_that_goes_on),
		cmocka_unit_test(test_clock_that_starts_anew),
		cmocka_unit_test(test_no_answer),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
