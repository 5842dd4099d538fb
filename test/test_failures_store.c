/*
 * Failure tests on real processes: the table service is down or its answers are
 * lost, and entries and agents are killed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "failure_driver.h"

#define DOWN_AT_S 2.0
#define DOWN_S 20.0
#define DOWN_LONG_S 60.0 /* with MLK_LONG=1; target of docs/design.md 1.7 */
/* Entries poll the service every second, so they reach it again before that. */
#define KILL_AFTER_S 3.0
#define LOAD_AFTER_S 8.0
#define RUN_MAX_S 1.0 /* from arrival to answer without a failure */
#define AGENT_KILL_AT_S 3.0
#define ANSWERS_BACK_S 6.0
#define TAKEOVER_S 4.0 /* peer timeout, takeover and its wait time */

/* Guards against dispatching that depends on the table service, and against
 * partitions that cannot be taken over after an outage of it. */
static void
test_service_down(void **state)
{
	struct failure_options options = {
		.workers = 4, .load = 0.5, .seed = 106
	};
	const char *longer = g_getenv("MLK_LONG");
	double down =
	    longer != NULL && strcmp(longer, "1") == 0 ? DOWN_LONG_S : DOWN_S;
	char *faults = g_strdup_printf(
	    "  - {at: %.0f, action: control, target: platform, "
	    "body: \"mode=down\", for: %.0f, undo: \"mode=up\"}\n"
	    "  - {at: %.0f, action: kill, target: entry-1}\n",
	    DOWN_AT_S, down, DOWN_AT_S + down + KILL_AFTER_S);
	struct failure *f = *state;
	uint32_t unknown;
	double killed;
	char name[64];

	options.duration_s = DOWN_AT_S + down + LOAD_AFTER_S;
	options.faults = faults;
	failure_start(f, &options);
	g_free(faults);
	failure_run_load(f);
	(void)snprintf(
	    name, sizeof(name), "table service down for %.0f s", down);
	failure_print(f, name);
	killed = DOWN_AT_S + down + KILL_AFTER_S;
	assert_int_equal(
	    failure_not_complete(f, 0, killed - RUN_MAX_S, &unknown), 0);
	(void)failure_not_complete(f, killed - RUN_MAX_S, killed, &unknown);
	assert_int_equal(unknown, 0);
	assert_int_equal(failure_not_complete_after(f, killed), 0);
}

/* Guards against an owner that takes a write for failed because its answer was
 * lost, and against an agent that starts tasks before its registration is
 * confirmed as written. */
static void
test_answers_lost(void **state)
{
	const struct failure_options options = { .workers = 4,
		.duration_s = 16,
		.load = 0.45,
		.seed = 107,
		.faults = "  - {at: 2, action: control, target: platform, "
			  "body: \"mode=lose-answers\", for: 4, "
			  "undo: \"mode=up\"}\n"
			  "  - {at: 2.5, action: kill, target: entry-1}\n"
			  "  - {at: 3, action: kill, target: agent-1, "
			  "for: 0.5}\n" };
	struct failure *f = *state;

	failure_start(f, &options);
	failure_run_load(f);
	failure_print(f, "answers lost");
	assert_int_equal(f->stats->tasks_failed, 0);
	assert_int_equal(failure_failed_after(f, AGENT_KILL_AT_S), 0);
	assert_true(f->stats->tasks_unknown <= FAILURE_SLOTS);
	failure_unknown_by_partition(f, ANSWERS_BACK_S + TAKEOVER_S);
}

#define FAILURE_TEST(fn) \
	cmocka_unit_test_setup_teardown(fn, failure_setup, failure_teardown)

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		FAILURE_TEST(test_service_down),
		FAILURE_TEST(test_answers_lost),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
