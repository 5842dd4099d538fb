/*
 * Tests of placement on workers of different speeds, and on cold ones.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "dispatch_bench.h"

#define CPU 8000
#define TASK_CPU 2000
#define LEARN_RUNS 40
#define LEARN_MS 100
#define HEAVY_MS 1000
#define QUICK_MS 50
#define DEADLINE_MS 5000
/* Speeds in thousandths; their mean is 1,000, as of logarithms. */
#define SLOW 500
#define FAST 2000

struct uneven {
	struct dispatch_bench b;
	struct bench_agent slow, fast;
	uint64_t jobs; /* handle of the last job */
};

static int
setup(void **state)
{
	struct uneven *u = calloc(1, sizeof(*u));

	assert_non_null(u);
	bench_init(&u->b);
	bench_set_routes(&u->b, 1, 2);
	bench_attach(&u->b, &u->slow, "agent-1", "dc-a", CPU);
	bench_attach(&u->b, &u->fast, "agent-2", "dc-a", CPU);
	*state = u;
	return (0);
}

static int
teardown(void **state)
{
	struct uneven *u = *state;

	bench_free(&u->b);
	free(u);
	return (0);
}

/*
 * Submits a job of one task, and returns the agent that it is sent to, or NULL.
 */
static struct bench_agent *
submit(struct uneven *u, uint32_t estimate_ms)
{
	char id[MLK_ID_MAX];

	snprintf(id, sizeof(id), "job-%u", (unsigned)++u->jobs);
	bench_set_estimate(&u->b, estimate_ms);
	(void)bench_submit(&u->b, id, 1, TASK_CPU, DEADLINE_MS);
	return (bench_sent_tasks(&u->b, &u->slow) > 0 ? &u->slow :
		bench_sent_tasks(&u->b, &u->fast) > 0 ? &u->fast :
							NULL);
}

/*
 * Reports the free part of the capacity of a ready worker.
 */
static void
report_one(struct uneven *u, struct bench_agent *a, uint32_t cpu)
{
	a->free.cpu = cpu;
	a->seen = u->jobs;
	bench_report_worker(&u->b, a, MLK_WORKER_READY);
}

/*
 * Reports the speeds of the workers, and the free part of their capacity.
 */
static void
report(struct uneven *u, uint32_t slow, uint32_t slow_cpu, uint32_t fast,
    uint32_t fast_cpu)
{
	u->slow.speed = slow;
	u->slow.free.cpu = slow_cpu;
	u->slow.seen = u->jobs;
	u->fast.speed = fast;
	u->fast.free.cpu = fast_cpu;
	u->fast.seen = u->jobs;
	bench_report_worker(&u->b, &u->slow, MLK_WORKER_READY);
	bench_report_worker(&u->b, &u->fast, MLK_WORKER_READY);
	bench_advance(&u->b, 300);
}

/*
 * Lets runs end whose time is LEARN_MS divided by the speed of their worker, in
 * thousandths.
 */
static void
learn(struct uneven *u, uint32_t slow, uint32_t fast)
{
	struct bench_agent *a;
	int i;

	for (i = 0; i < LEARN_RUNS; i++) {
		a = submit(u, LEARN_MS);
		assert_non_null(a);
		u->b.run_ms = LEARN_MS * 1000 / (a == &u->slow ? slow : fast);
		a->seen = u->jobs;
		bench_end_run(&u->b, a, u->jobs, 0, MLK_RUN_DONE);
	}
}

/*
 * Guards against a task that is sent to the slow worker, on which it cannot end
 * in time, because that one is less loaded; and against a slow worker that gets
 * nothing.
 */
static void
test_worker_on_which_it_fits(void **state)
{
	struct uneven *u = *state;

	report(u, SLOW, CPU, FAST, CPU);
	learn(u, SLOW, FAST);
	report(u, SLOW, CPU, FAST, CPU / 2);
	assert_ptr_equal(submit(u, HEAVY_MS), &u->fast);
	report(u, SLOW, CPU, FAST, CPU / 2);
	assert_ptr_equal(submit(u, QUICK_MS), &u->slow);
}

/*
 * Guards against a slow worker whose free resources are used by the first job
 * in the queue, which cannot end in time there, while the next one can; and
 * against resources that nobody uses when there is no such job.
 */
static void
test_offer_goes_to_what_fits(void **state)
{
	struct uneven *u = *state;
	const struct mlk_msg *msg;

	report(u, SLOW, CPU, FAST, CPU);
	learn(u, SLOW, FAST);
	report(u, SLOW, 0, FAST, 0);
	assert_null(submit(u, HEAVY_MS));
	bench_advance(&u->b, 330);
	assert_null(submit(u, QUICK_MS));
	bench_offer(&u->b, &u->slow, 5, TASK_CPU);
	msg = bench_sent(&u->b, &u->slow, MLK_MSG_RUN, 0);
	assert_non_null(msg);
	assert_int_equal(msg->u.run.job, u->jobs);
	assert_true(mlk_dispatch_counters(u->b.d)->unsuited > 0);
	bench_offer(&u->b, &u->slow, 6, TASK_CPU);
	msg = bench_sent(&u->b, &u->slow, MLK_MSG_RUN, 0);
	assert_non_null(msg);
	assert_int_equal(msg->u.run.job, u->jobs - 1);
}

/*
 * Guards against expected run times that depend on the workers that were used:
 * runs of 2 * LEARN_MS at half of the speed are runs of LEARN_MS.
 */
static void
test_run_times_at_speed_1(void **state)
{
	struct uneven *u = *state;
	const struct mlk_msg *msg;

	report(u, SLOW, CPU, FAST, 0);
	learn(u, SLOW, FAST);
	report(u, SLOW, CPU, FAST, 0);
	assert_ptr_equal(submit(u, LEARN_MS), &u->slow);
	msg = bench_sent(&u->b, &u->slow, MLK_MSG_RUN, 0);
	assert_in_range(
	    msg->u.run.expected_ms, LEARN_MS * 95 / 100, LEARN_MS * 105 / 100);
}

/*
 * Guards against a changed order of workers where all have the same speed, but
 * for the errors of their measurement.
 */
static void
test_equal_speeds_change_nothing(void **state)
{
	struct uneven *u = *state, *other;
	struct bench_agent *a, *c;
	void *second;
	int i;

	(void)setup(&second);
	other = second;
	report(u, 940, CPU, 1060, CPU);
	report(other, 0, CPU, 0, CPU);
	for (i = 0; i < LEARN_RUNS; i++) {
		a = submit(u, i % 2 == 0 ? QUICK_MS : HEAVY_MS);
		c = submit(other, i % 2 == 0 ? QUICK_MS : HEAVY_MS);
		assert_non_null(a);
		assert_true((a == &u->slow) == (c == &other->slow));
		a->seen = c->seen = u->jobs;
		u->b.run_ms = other->b.run_ms = QUICK_MS;
		bench_end_run(&u->b, a, u->jobs, 0, MLK_RUN_DONE);
		bench_end_run(&other->b, c, other->jobs, 0, MLK_RUN_DONE);
	}
	(void)teardown(&second);
}

/*
 * Guards against a task for a cold worker while a warm one has resources free,
 * and against one that waits while only the cold worker has.
 */
static void
test_cold_worker_is_last(void **state)
{
	struct uneven *u = *state;

	bench_report_worker(&u->b, &u->slow, MLK_WORKER_COLD);
	report_one(u, &u->fast, TASK_CPU);
	assert_ptr_equal(submit(u, QUICK_MS), &u->fast);
	report_one(u, &u->fast, 0);
	assert_ptr_equal(submit(u, QUICK_MS), &u->slow);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_worker_on_which_it_fits),
		TEST(test_offer_goes_to_what_fits),
		TEST(test_run_times_at_speed_1),
		TEST(test_equal_speeds_change_nothing),
		TEST(test_cold_worker_is_last),
	};
#undef TEST

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
