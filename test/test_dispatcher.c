/*
 * Tests of the dispatcher: what a caller is told, and where tasks go.
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

#define CPU 64000

static int
setup(void **state)
{
	struct dispatch_bench *b = calloc(1, sizeof(*b));

	assert_non_null(b);
	bench_init(b);
	bench_routes(b, 1, 2);
	*state = b;
	return (0);
}

static int
teardown(void **state)
{
	bench_free(*state);
	free(*state);
	return (0);
}

static void
expect_answer(
    struct dispatch_bench *b, uint64_t request, enum mlk_work_outcome outcome)
{
	const struct bench_answer *answer = bench_answer_to(b, request);

	assert_non_null(answer);
	assert_int_equal(answer->outcome, outcome);
}

/* Guards against a job that is answered before its last task is done. */
static void
test_complete_when_all_done(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	request = bench_submit(b, "job", 2, 6000, 2000);
	assert_int_equal(bench_sent_tasks(b, &a), 2);
	bench_end(b, &a, 1, 0, MLK_RUN_DONE);
	assert_null(bench_answer_to(b, request));
	bench_end(b, &a, 1, 1, MLK_RUN_DONE);
	expect_answer(b, request, MLK_WORK_COMPLETED);
}

/*
 * Guards against a crash that the first days on the users' platform showed:
 * the failed task was still taken for one at work when its job was given up.
 */
static void
test_failed_job_stops_the_rest(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	request = bench_submit(b, "job", 3, 6000, 2000);
	bench_end(b, &a, 1, 0, MLK_RUN_FAILED);
	assert_null(bench_answer_to(b, request));
	bench_attach(b, &c, "agent-2", "dc-a", CPU);
	assert_int_equal(bench_sent_tasks(b, &c), 1);
	bench_end(b, &c, 1, 0, MLK_RUN_FAILED);
	expect_answer(b, request, MLK_WORK_FAILED);
	assert_non_null(bench_sent(b, &a, MLK_MSG_DROP, 0));
	assert_null(bench_sent(b, &c, MLK_MSG_DROP, 0));
}

/* Guards against a task that starts anew where it has just failed. */
static void
test_failed_task_goes_elsewhere(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 1, 6000, 2000);
	bench_attach(b, &c, "agent-2", "dc-b", CPU);
	bench_end(b, &a, 1, 0, MLK_RUN_FAILED);
	assert_int_equal(bench_sent_tasks(b, &a), 0);
	assert_int_equal(bench_sent_tasks(b, &c), 1);
}

/* Guards against a refusal that is held back, or that is not true. */
static void
test_refused_at_once_without_workers(void **state)
{
	struct dispatch_bench *b = *state;
	uint64_t request;

	bench_pass(b, 4000);
	request = bench_submit(b, "job", 1, 6000, 2000);
	expect_answer(b, request, MLK_WORK_REFUSED);
	assert_int_equal(bench_answer_to(b, request)->retry_after_ms, 1000);
}

/*
 * Guards against callers who are refused in the first moments after a start,
 * although the routing table and the agents are on their way.
 */
static void
test_first_moments_after_a_start(void **state)
{
	struct dispatch_bench fresh, *b = &fresh;
	uint64_t served, left, lost;
	struct bench_agent a;

	(void)state;
	bench_init(b);
	served = bench_submit(b, "served", 1, 6000, 2000);
	left = bench_submit(b, "left", 1, 6000, 2000);
	bench_gone(b, left);
	bench_routes(b, 1, 2);
	assert_null(bench_answer_to(b, served));
	bench_pass(b, 100);
	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
	bench_end(b, &a, 1, 0, MLK_RUN_DONE);
	expect_answer(b, served, MLK_WORK_COMPLETED);
	bench_free(b);

	bench_init(b);
	lost = bench_submit(b, "lost", 1, 6000, 9000);
	bench_pass(b, 2900);
	assert_null(bench_answer_to(b, lost));
	bench_pass(b, 200);
	expect_answer(b, lost, MLK_WORK_REFUSED);
	bench_free(b);
}

/*
 * Guards against "not run" for a job of which a run was under way when its
 * deadline passed.
 */
static void
test_deadline_tells_the_truth(void **state)
{
	struct dispatch_bench *b = *state;
	uint64_t sent, waits;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	sent = bench_submit(b, "sent", 1, CPU, 500);
	a.free.cpu = 0;
	a.seen = 1;
	bench_worker(b, &a, MLK_WORKER_READY);
	waits = bench_submit(b, "waits", 2, CPU, 600);
	assert_int_equal(bench_sent_tasks(b, &a), 0);
	bench_offer(b, &a, 1, CPU);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
	bench_end(b, &a, 2, 0, MLK_RUN_BUSY);
	bench_pass(b, 560);
	expect_answer(b, sent, MLK_WORK_LATE);
	bench_pass(b, 200);
	expect_answer(b, waits, MLK_WORK_REFUSED);
}

/*
 * Guards against two runs of a task at a time: after a link has ended its
 * tasks may still be at work until the agent's and the worker's leases are
 * over.
 */
static void
test_lost_link_waits_for_leases(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 1, 6000, 5000);
	bench_attach(b, &c, "agent-2", "dc-a", CPU);
	bench_link_down(b, &a);
	assert_int_equal(bench_sent_tasks(b, &c), 0);
	for (int i = 0; i < 61; i++) {
		bench_pass(b, 20);
		assert_int_equal(bench_sent_tasks(b, &c), 0);
		if (i % 10 == 0)
			bench_worker(b, &c, MLK_WORKER_READY);
	}
	bench_pass(b, 20);
	bench_pass(b, 20);
	assert_int_equal(bench_sent_tasks(b, &c), 1);
}

/* Guards against a wait when the agent itself says that nothing is left. */
static void
test_attach_ends_the_wait(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 1, 6000, 5000);
	bench_link_down(b, &a);
	bench_pass(b, 100);
	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
}

/* Guards against runs that go on for a caller who has left. */
static void
test_caller_left(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	request = bench_submit(b, "job", 2, 6000, 2000);
	bench_gone(b, request);
	assert_non_null(bench_sent(b, &a, MLK_MSG_DROP, 0));
	bench_end(b, &a, 1, 0, MLK_RUN_STOPPED);
	assert_null(bench_answer_to(b, request));
	assert_int_equal(bench_sent_tasks(b, &a), 0);
}

/* Guards against a second set of runs when a request comes again. */
static void
test_same_id_joins(void **state)
{
	struct dispatch_bench *b = *state;
	uint64_t first, second;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	first = bench_submit(b, "job", 1, 6000, 2000);
	second = bench_submit(b, "job", 1, 6000, 2000);
	assert_int_equal(bench_sent_tasks(b, &a), 0);
	bench_gone(b, first);
	assert_null(bench_sent(b, &a, MLK_MSG_DROP, 0));
	bench_end(b, &a, 1, 0, MLK_RUN_DONE);
	expect_answer(b, second, MLK_WORK_COMPLETED);
	assert_null(bench_answer_to(b, first));
}

/* Guards against a job spread over workers although one holds all of it. */
static void
test_job_goes_together(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	bench_attach(b, &c, "agent-2", "dc-a", CPU);
	a.free.cpu = 20000;
	bench_worker(b, &a, MLK_WORKER_READY);
	(void)bench_submit(b, "job", 8, 6000, 2000);
	assert_int_equal(bench_sent_tasks(b, &a), 0);
	assert_int_equal(bench_sent_tasks(b, &c), 8);
}

/* Guards against more tasks sent than the known room holds. */
static void
test_room_is_not_sent_twice(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "one", 8, 7000, 2000);
	assert_int_equal(bench_sent_tasks(b, &a), 8);
	(void)bench_submit(b, "two", 8, 7000, 2000);
	/* One fits beside the eight. */
	assert_int_equal(bench_sent_tasks(b, &a), 1);
}

/*
 * Guards against work that waits at full workers: what finds no room is told to
 * the agents, and what they offer goes to the most urgent job.
 */
static void
test_offer_goes_to_most_urgent(void **state)
{
	struct dispatch_bench *b = *state;
	const struct mlk_msg *msg;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_worker(b, &a, MLK_WORKER_READY);
	bench_estimate(b, 500);
	(void)bench_submit(b, "long", 1, 6000, 5000);
	msg = bench_sent(b, &a, MLK_MSG_WANT, 0);
	assert_non_null(msg);
	assert_int_equal(msg->u.want.want.tasks, 1);
	assert_int_equal(msg->u.want.want.resources.cpu, 6000);
	b->now += 10 * BENCH_MS;
	bench_estimate(b, 50);
	(void)bench_submit(b, "short", 2, 7000, 2000);
	msg = bench_sent(b, &a, MLK_MSG_WANT, 0);
	assert_non_null(msg);
	assert_int_equal(msg->u.want.want.resources.cpu, 7000);
	bench_offer(b, &a, 5, 7000);
	msg = bench_sent(b, &a, MLK_MSG_RUN, 0);
	assert_non_null(msg);
	assert_string_equal(msg->u.run.id, "short");
	assert_int_equal(msg->u.run.n, 1);
	assert_int_equal(msg->u.run.offer, 5);
	assert_int_equal(msg->u.run.want.tasks, 2);
	/* Too small for the urgent one, but not for the other. */
	bench_offer(b, &a, 6, 6500);
	msg = bench_sent(b, &a, MLK_MSG_RUN, 0);
	assert_non_null(msg);
	assert_string_equal(msg->u.run.id, "long");
}

/* Guards against room that stays kept for an entry that needs none. */
static void
test_offer_without_need_is_passed(void **state)
{
	struct dispatch_bench *b = *state;
	const struct mlk_msg *msg;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	bench_offer(b, &a, 5, 7000);
	msg = bench_sent(b, &a, MLK_MSG_WANT, 0);
	assert_non_null(msg);
	assert_int_equal(msg->u.want.offer, 5);
	assert_int_equal(msg->u.want.want.tasks, 0);
}

/*
 * Guards against a crest that cuts the links: an agent that answers wants with
 * offers has no cause to report its worker too, and is not silent.
 */
static void
test_offers_are_heard(void **state)
{
	struct dispatch_bench *b = *state;
	struct mlk_dispatch_gauges gauges;
	struct bench_agent a;
	uint32_t i;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 1, 6000, 30000);
	for (i = 1; i <= 20; i++) {
		bench_pass(b, 100);
		bench_offer(b, &a, i, 6000);
	}
	mlk_dispatch_gauges(b->d, &gauges);
	assert_int_equal(gauges.agents, 1);
	bench_pass(b, 800);
	mlk_dispatch_gauges(b->d, &gauges);
	assert_int_equal(gauges.agents, 0);
}

/*
 * Replays what follows a loss of power: hundreds of jobs wait, every worker is
 * full, and each of many messages tells of a worker's load.  Guards against an
 * entry that puts the whole queue in order for each of them, falls behind its
 * messages, and takes its agents for silent.
 */
static void
test_backlog_costs_little(void **state)
{
	struct dispatch_bench *b = *state;
	const struct mlk_dispatch_counters *counters;
	struct bench_agent agents[50];
	uint64_t before;
	char name[16];
	uint32_t i;

	for (i = 0; i < 50; i++) {
		(void)snprintf(name, sizeof(name), "agent-%u", i);
		bench_attach(b, &agents[i], name, "dc-a", CPU);
		agents[i].free.cpu = 4000;
		bench_worker(b, &agents[i], MLK_WORKER_READY);
	}
	bench_estimate(b, 170);
	for (i = 0; i < 400; i++) {
		(void)snprintf(name, sizeof(name), "job-%u", i);
		(void)bench_submit(b, name, 2, 6000, 60000);
	}
	bench_pass(b, 20);
	counters = mlk_dispatch_counters(b->d);
	before = counters->looks;
	for (i = 0; i < 1000; i++)
		bench_worker(b, &agents[i % 50], MLK_WORKER_READY);
	assert_true(counters->looks - before <= 1000 * 50);
	/* The room of one worker still goes to the most urgent job at once. */
	agents[7].free.cpu = 12000;
	bench_worker(b, &agents[7], MLK_WORKER_READY);
	assert_int_equal(bench_sent_tasks(b, &agents[7]), 2);
	assert_string_equal(
	    bench_sent(b, &agents[7], MLK_MSG_RUN, 0)->u.run.id, "job-0");
}

/*
 * Guards against a backlog that makes every job late: at a crest, a job that
 * has missed its goal gives way to one that can still meet its own.
 */
static void
test_missed_jobs_give_way(void **state)
{
	struct dispatch_bench *b = *state;
	const struct mlk_msg *msg;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_worker(b, &a, MLK_WORKER_READY);
	(void)bench_submit(b, "missed", 1, 6000, 2000);
	bench_pass(b, 200);
	(void)bench_submit(b, "timely", 1, 6000, 2000);
	bench_offer(b, &a, 5, 6000);
	msg = bench_sent(b, &a, MLK_MSG_RUN, 0);
	assert_non_null(msg);
	assert_string_equal(msg->u.run.id, "timely");
	bench_offer(b, &a, 6, 6000);
	msg = bench_sent(b, &a, MLK_MSG_RUN, 0);
	assert_non_null(msg);
	assert_string_equal(msg->u.run.id, "missed");
}

/*
 * Guards against a refusal that is held back: a job that has waited for three
 * times its goal is of no use to its caller any more.
 */
static void
test_useless_jobs_are_refused(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_worker(b, &a, MLK_WORKER_READY);
	/*
	 * The goal is 60 ms and 1.6 times the estimate of 50 ms; the run itself
	 * takes 65 ms, with the margin.
	 */
	request = bench_submit(b, "job", 1, 6000, 5000);
	bench_pass(b, 340);
	assert_null(bench_answer_to(b, request));
	bench_pass(b, 40);
	expect_answer(b, request, MLK_WORK_REFUSED);
	/* Or half of the time that its caller has. */
	request = bench_submit(b, "hurry", 1, 6000, 300);
	bench_pass(b, 140);
	assert_null(bench_answer_to(b, request));
	bench_pass(b, 40);
	expect_answer(b, request, MLK_WORK_REFUSED);
}

/*
 * Guards against a drain that is measured while nothing waits: after 3 s
 * without callers it would be next to none, and a caller who is refused then
 * told to stay away for 10 s.
 */
static void
test_idle_is_no_drain(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;
	int i;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_worker(b, &a, MLK_WORKER_READY);
	(void)bench_submit(b, "waits", 2, 6000, 5000);
	bench_pass(b, 40);
	a.free = a.capacity;
	bench_worker(b, &a, MLK_WORKER_READY);
	assert_int_equal(bench_sent_tasks(b, &a), 2);
	bench_end(b, &a, 1, 0, MLK_RUN_DONE);
	bench_end(b, &a, 1, 1, MLK_RUN_DONE);
	for (i = 0; i < 6; i++) {
		bench_pass(b, 500);
		bench_worker(b, &a, MLK_WORKER_READY);
	}
	a.free.cpu = 0;
	bench_worker(b, &a, MLK_WORKER_READY);
	request = bench_submit(b, "refused", 1, 6000, 5000);
	bench_pass(b, 400);
	expect_answer(b, request, MLK_WORK_REFUSED);
	assert_int_equal(bench_answer_to(b, request)->retry_after_ms, 1000);
}

#define PEERS 60
#define AGENTS 20
#define WHOLE_LISTS 10 /* one a second while the peers appear */

/*
 * The load: a deployment of hundreds of machines that starts at once.  Guards
 * against entries that send the whole list of them to every agent for each
 * that appears, some 30 times of what there is to tell.
 */
static void
test_entries_are_told_once(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent agents[AGENTS];
	uint32_t i;
	char id[16];

	for (i = 0; i < AGENTS; i++) {
		(void)snprintf(id, sizeof(id), "agent-%u", i);
		bench_attach(b, &agents[i], id, "dc-a", CPU);
	}
	for (i = 1; i <= PEERS; i++)
		bench_peer(b, i);
	bench_pass(b, 40);
	assert_true(b->entries_told >= (uint64_t)AGENTS * (PEERS + 1));
	/* Beside the news: the entry itself at first, and some whole lists. */
	assert_true(b->entries_told <= (uint64_t)AGENTS * (PEERS + 1) +
		(uint64_t)WHOLE_LISTS * (PEERS + 1));
}

/* Guards against an agent that never learns again of an entry that it has
 * forgotten: the whole list comes round. */
static void
test_entries_are_told_again(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent agents[2];
	uint64_t told;

	bench_attach(b, &agents[0], "agent-0", "dc-a", CPU);
	bench_attach(b, &agents[1], "agent-1", "dc-a", CPU);
	bench_peer(b, 1);
	bench_pass(b, 40);
	told = b->entries_told;
	bench_pass(b, 2100);
	assert_true(b->entries_told >= told + 2 * 2);
}

/* Guards against a version that falls. */
static void
test_routing_never_falls(void **state)
{
	struct dispatch_bench *b = *state;
	struct mlk_dispatch_gauges gauges;

	bench_routes(b, 9, 2);
	bench_routes(b, 5, 2);
	mlk_dispatch_gauges(b->d, &gauges);
	assert_int_equal(gauges.routing_version, 9);
}

/* Guards against a planned stop that cuts jobs off or never ends. */
static void
test_planned_stop(void **state)
{
	struct dispatch_bench *b = *state;
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_STOP };
	struct mlk_dispatch_gauges gauges;
	struct bench_agent a;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	request = bench_submit(b, "job", 1, 6000, 5000);
	bench_apply(b, &ev);
	mlk_dispatch_gauges(b->d, &gauges);
	assert_false(gauges.ready);
	bench_pass(b, 600);
	bench_end(b, &a, 1, 0, MLK_RUN_DONE);
	expect_answer(b, request, MLK_WORK_COMPLETED);
	assert_false(b->exited);
	bench_pass(b, 2600);
	assert_true(b->exited);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_complete_when_all_done),
		TEST(test_failed_job_stops_the_rest),
		TEST(test_failed_task_goes_elsewhere),
		TEST(test_refused_at_once_without_workers),
		TEST(test_first_moments_after_a_start),
		TEST(test_deadline_tells_the_truth),
		TEST(test_lost_link_waits_for_leases),
		TEST(test_attach_ends_the_wait),
		TEST(test_caller_left),
		TEST(test_same_id_joins),
		TEST(test_job_goes_together),
		TEST(test_room_is_not_sent_twice),
		TEST(test_offer_goes_to_most_urgent),
		TEST(test_offer_without_need_is_passed),
		TEST(test_offers_are_heard),
		TEST(test_backlog_costs_little),
		TEST(test_missed_jobs_give_way),
		TEST(test_useless_jobs_are_refused),
		TEST(test_idle_is_no_drain),
		TEST(test_entries_are_told_once),
		TEST(test_entries_are_told_again),
		TEST(test_routing_never_falls),
		TEST(test_planned_stop),
	};
#undef TEST

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
