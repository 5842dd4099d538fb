/*
 * Tests of the table watch (mlk_watch), in particular while the store is down.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <monsoonlock/dispatch.h>

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define WAIT_MS 3000
/* A change made when an outage ends must be applied within this time. */
#define APPLY_MS_MAX 2000

static void
read_table(struct mlk_watch *w, uint64_t version)
{
	mlk_watch_init(w, 1, WAIT_MS);
	assert_int_equal(mlk_watch_due(w, 0), MLK_WATCH_READ);
	mlk_watch_ended(w, MLK_WATCH_ROWS, version, 0);
}

/*
 * Guards against changes that are missed between two calls, and against polling
 * without a wait at the store.
 */
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

/*
 * Guards against rows of a large table that are never read: the store returns a
 * limited number at a time.  Changes made between two pages must not be missed
 * either.
 */
static void
test_reads_all_pages(void **state)
{
	struct mlk_watch w;

	(void)state;
	mlk_watch_init(&w, 1, WAIT_MS);
	assert_int_equal(mlk_watch_due(&w, 0), MLK_WATCH_READ);
	assert_string_equal(w.last_key, "");
	assert_int_equal(mlk_watch_page(&w, "entry-500", 7, 0), 0);
	assert_int_equal(mlk_watch_due(&w, 0), MLK_WATCH_READ);
	assert_string_equal(w.last_key, "entry-500");
	assert_int_equal(mlk_watch_page(&w, "entry-999", 9, 0), 0);
	assert_int_equal(mlk_watch_due(&w, 0), MLK_WATCH_READ);
	mlk_watch_ended(&w, MLK_WATCH_ROWS, 12, 0);
	assert_int_equal(mlk_watch_due(&w, 10 * MS), MLK_WATCH_FOLLOW);
	assert_int_equal(w.version, 7);
	assert_int_equal(w.wait_ms, 0);
	mlk_watch_ended(&w, MLK_WATCH_ROWS, 12, 20 * MS);
	assert_int_equal(mlk_watch_due(&w, 30 * MS), MLK_WATCH_FOLLOW);
	assert_int_equal(w.wait_ms, WAIT_MS);
}

/*
 * Guards against a read without end when a page repeats keys, and against one
 * that continues in the middle after a failure of that kind.
 */
static void
test_page_without_progress(void **state)
{
	struct mlk_watch w;

	(void)state;
	mlk_watch_init(&w, 1, WAIT_MS);
	assert_int_equal(mlk_watch_due(&w, 0), MLK_WATCH_READ);
	assert_int_equal(mlk_watch_page(&w, "b", 7, 0), 0);
	assert_int_equal(mlk_watch_due(&w, 0), MLK_WATCH_READ);
	assert_int_equal(mlk_watch_page(&w, "b", 7, 0), MLK_ERR_INVALID);
	assert_int_equal(mlk_watch_due(&w, 0), MLK_WATCH_NONE);
	assert_int_equal(mlk_watch_due(&w, 1000 * MS), MLK_WATCH_READ);
	assert_string_equal(w.last_key, "");
}

/*
 * Guards against asking forever for changes that the store has compacted: the
 * whole table must be read again.
 */
static void
test_reads_again_after_compaction(void **state)
{
	struct mlk_watch w;

	(void)state;
	read_table(&w, 5);
	assert_int_equal(mlk_watch_due(&w, 10 * MS), MLK_WATCH_FOLLOW);
	mlk_watch_ended(&w, MLK_WATCH_COMPACTED, 0, 20 * MS);
	assert_int_equal(mlk_watch_due(&w, 30 * MS), MLK_WATCH_READ);
}

/*
 * Guards against calls with a wait while the store does not answer.  A call
 * that is lost runs into its timeout, even if the store returns in the
 * meantime.  With a wait this delayed the next call by 9 s, and a change made
 * when the store returned was applied too late.
 */
static void
test_store_return_is_noticed(void **state)
{
	struct mlk_watch w;
	int64_t now, returned_at;

	(void)state;
	for (returned_at = 6000 * MS; returned_at < 30000 * MS;
	     returned_at += 37 * MS) {
		read_table(&w, 5);
		now = 10 * MS;
		for (;;) {
			while (mlk_watch_due(&w, now) == MLK_WATCH_NONE)
				now += MS;
			if (now >= returned_at)
				break;
			now += (int64_t)w.timeout_ms * MS;
			mlk_watch_ended(&w, MLK_WATCH_UNAVAILABLE, 0, now);
		}
		assert_int_equal(w.wait_ms, 0);
		assert_true(now - returned_at <= APPLY_MS_MAX * MS);
	}
}

/* Guards against a flood of calls while the store is down. */
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
		cmocka_unit_test(test_reads_all_pages),
		cmocka_unit_test(test_page_without_progress),
		cmocka_unit_test(test_reads_again_after_compaction),
		cmocka_unit_test(test_store_return_is_noticed),
		cmocka_unit_test(test_backs_off),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
