/*
 * Tests of following a table of the store through its outages.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <monsoonlock/dispatch.h>

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define WAIT_MS 3000
/* From an outage's end until a change made then has to be in force. */
#define IN_FORCE_MS 2000

static void
read_table(struct mlk_watch *w, uint64_t version)
{
	mlk_watch_init(w, 1, WAIT_MS);
	assert_int_equal(mlk_watch_due(w, 0), MLK_WATCH_READ);
	mlk_watch_ended(w, MLK_WATCH_ROWS, version, 0);
}

/* Guards against changes that are missed, and against calls without a wait. */
static void
test_follows_from_the_version_read(void **state)
{
	struct mlk_watch w;

	(void)state;
	read_table(&w, 5);
	assert_int_equal(mlk_watch_due(&w, 10 * MS), MLK_WATCH_FOLLOW);
	assert_int_equal(w.version, 5);
	assert_int_equal(w.wait_ms, WAIT_MS);
	assert_int_equal(mlk_watch_due(&w, 20 * MS), MLK_WATCH_NONE);
	mlk_watch_ended(&w, MLK_WATCH_ROWS, 7, 30 * MS);
	assert_int_equal(mlk_watch_due(&w, 40 * MS), MLK_WATCH_FOLLOW);
	assert_int_equal(w.version, 7);
}

/* Guards against following a history that the store has dropped. */
static void
test_reads_again_after_forgotten_history(void **state)
{
	struct mlk_watch w;

	(void)state;
	read_table(&w, 5);
	assert_int_equal(mlk_watch_due(&w, 10 * MS), MLK_WATCH_FOLLOW);
	mlk_watch_ended(&w, MLK_WATCH_COMPACTED, 0, 20 * MS);
	assert_int_equal(mlk_watch_due(&w, 30 * MS), MLK_WATCH_READ);
}

/*
 * Guards against a call that waits while the store is silent: it hid the
 * store's return for 9 s, and a change made then came into force too late
 * (a hunted day on planos-central).  A call that a silent store has swallowed
 * runs into its timeout, also when the store has returned meanwhile.
 */
static void
test_return_of_a_silent_store_is_seen(void **state)
{
	struct mlk_watch w;
	int64_t now, back;

	(void)state;
	for (back = 6000 * MS; back < 30000 * MS; back += 37 * MS) {
		read_table(&w, 5);
		now = 10 * MS;
		for (;;) {
			while (mlk_watch_due(&w, now) == MLK_WATCH_NONE)
				now += MS;
			if (now >= back)
				break;
			now += (int64_t)w.timeout_ms * MS;
			mlk_watch_ended(&w, MLK_WATCH_UNAVAILABLE, 0, now);
		}
		assert_int_equal(w.wait_ms, 0);
		assert_true(now - back <= IN_FORCE_MS * MS);
	}
}

/* Guards against a store that is pressed while it is down. */
static void
test_backs_off(void **state)
{
	struct mlk_watch w;
	uint32_t calls = 0;
	int64_t now;

	(void)state;
	read_table(&w, 5);
	for (now = 10 * MS; now < 10000 * MS; now += MS) {
		if (mlk_watch_due(&w, now) == MLK_WATCH_NONE)
			continue;
		calls++;
		mlk_watch_ended(&w, MLK_WATCH_UNAVAILABLE, 0, now);
	}
	assert_in_range(calls, 10, 30);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_follows_from_the_version_read),
		cmocka_unit_test(test_reads_again_after_forgotten_history),
		cmocka_unit_test(test_return_of_a_silent_store_is_seen),
		cmocka_unit_test(test_backs_off),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
