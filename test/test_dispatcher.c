/*
 * Tests of the dispatcher: answers to callers, placement of tasks, and messages
 * to agents.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>
#include <glib.h>

#include "dispatch_bench.h"

#define CPU 64000

static int
setup(void **state)
{
	struct dispatch_bench *b = calloc(1, sizeof(*b));

	assert_non_null(b);
	bench_init(b);
	bench_set_routes(b, 1, 2);
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

/* Guards against a job answered as completed before its last task is done. */
static void
test_complete_when_all_done(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	request = bench_submit(b, "job", 2, 6000, 2000);
	assert_int_equal(bench_sent_tasks(b, &a), 2);
	bench_end_run(b, &a, 1, 0, MLK_RUN_DONE);
	assert_null(bench_answer_to(b, request));
	bench_end_run(b, &a, 1, 1, MLK_RUN_DONE);
	expect_answer(b, request, MLK_WORK_COMPLETED);
}

/*
 * Guards against a crash of the dispatcher when a job fails: the failed task
 * was still counted as in flight when the job was ended.
 */
static void
test_failed_job_stops_the_rest(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	request = bench_submit(b, "job", 3, 6000, 2000);
	bench_end_run(b, &a, 1, 0, MLK_RUN_FAILED);
	assert_null(bench_answer_to(b, request));
	bench_attach(b, &c, "agent-2", "dc-a", CPU);
	assert_int_equal(bench_sent_tasks(b, &c), 1);
	bench_end_run(b, &c, 1, 0, MLK_RUN_FAILED);
	expect_answer(b, request, MLK_WORK_FAILED);
	assert_non_null(bench_sent(b, &a, MLK_MSG_DROP, 0));
	assert_null(bench_sent(b, &c, MLK_MSG_DROP, 0));
}

/* Guards against a retry at the worker where the task has just failed. */
static void
test_failed_task_goes_elsewhere(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 1, 6000, 2000);
	bench_attach(b, &c, "agent-2", "dc-b", CPU);
	bench_end_run(b, &a, 1, 0, MLK_RUN_FAILED);
	assert_int_equal(bench_sent_tasks(b, &a), 0);
	assert_int_equal(bench_sent_tasks(b, &c), 1);
}

/*
 * Guards against a job that is queued instead of refused at once although no
 * worker of its pool is connected.
 */
static void
test_refused_at_once_without_workers(void **state)
{
	struct dispatch_bench *b = *state;
	uint64_t request;

	bench_advance(b, 4000);
	request = bench_submit(b, "job", 1, 6000, 2000);
	expect_answer(b, request, MLK_WORK_REFUSED);
	assert_int_equal(bench_answer_to(b, request)->retry_after_ms, 1000);
}

/*
 * Guards against requests refused just after an entry has started, before it
 * has a routing table and agents.
 */
static void
test_requests_wait_after_start(void **state)
{
	struct dispatch_bench fresh, *b = &fresh;
	uint64_t served, left, lost;
	struct bench_agent a;

	(void)state;
	bench_init(b);
	served = bench_submit(b, "served", 1, 6000, 2000);
	left = bench_submit(b, "left", 1, 6000, 2000);
	bench_caller_gone(b, left);
	bench_set_routes(b, 1, 2);
	assert_null(bench_answer_to(b, served));
	bench_advance(b, 100);
	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
	bench_end_run(b, &a, 1, 0, MLK_RUN_DONE);
	expect_answer(b, served, MLK_WORK_COMPLETED);
	bench_free(b);

	bench_init(b);
	lost = bench_submit(b, "lost", 1, 6000, 9000);
	bench_advance(b, 2900);
	assert_null(bench_answer_to(b, lost));
	bench_advance(b, 200);
	expect_answer(b, lost, MLK_WORK_REFUSED);
	bench_free(b);
}

/*
 * Guards against a refusal, which means not run, for a job that had a task in
 * flight when its deadline passed.
 */
static void
test_outcome_after_deadline(void **state)
{
	struct dispatch_bench *b = *state;
	uint64_t sent, waits;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	sent = bench_submit(b, "sent", 1, CPU, 500);
	a.free.cpu = 0;
	a.seen = 1;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	waits = bench_submit(b, "waits", 2, CPU, 600);
	assert_int_equal(bench_sent_tasks(b, &a), 0);
	bench_offer(b, &a, 1, CPU);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
	bench_end_run(b, &a, 2, 0, MLK_RUN_BUSY);
	bench_advance(b, 560);
	expect_answer(b, sent, MLK_WORK_LATE);
	bench_advance(b, 200);
	expect_answer(b, waits, MLK_WORK_REFUSED);
}

/*
 * Advances the time until the runs on a lost link have certainly ended.  The
 * one task must be sent to the agent then, and not before.
 */
static void
expect_sent_after_leases(struct dispatch_bench *b, struct bench_agent *a)
{
	int i;

	for (i = 0; i < 61; i++) {
		bench_advance(b, 20);
		assert_int_equal(bench_sent_tasks(b, a), 0);
		if (i % 10 == 0)
			bench_report_worker(b, a, MLK_WORKER_READY);
	}
	bench_advance(b, 20);
	bench_advance(b, 20);
	assert_int_equal(bench_sent_tasks(b, a), 1);
}

/*
 * Guards against two runs of a task at the same time: after a link is closed
 * its runs may still be active until the leases of the agent and the worker
 * have expired.
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
	expect_sent_after_leases(b, &c);
}

/*
 * Guards against a needless wait for leases when the agent attaches again,
 * which means that it has no runs of this entry.
 */
static void
test_attach_ends_lease_wait(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 1, 6000, 5000);
	bench_link_down(b, &a);
	bench_advance(b, 100);
	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
}

/*
 * Guards against a second run while another agent under the same id still has
 * the first one: its link is up, so it may be alive.
 */
static void
test_duplicate_agent_id(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 1, 6000, 5000);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
	bench_attach(b, &c, "agent-1", "dc-a", CPU);
	assert_int_equal(bench_sent_tasks(b, &c), 0);
	expect_sent_after_leases(b, &c);
}

#define SHORT_SILENCE_MS 650 /* runs are given up after 700 ms */

/*
 * Guards against work that is started elsewhere, or given up, because its agent
 * is slow to report for a moment.
 */
static void
test_short_silence_moves_nothing(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;
	uint64_t request;
	int i;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	request = bench_submit(b, "job", 1, 6000, 5000);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
	bench_attach(b, &c, "agent-2", "dc-a", CPU);
	for (i = 0; i < SHORT_SILENCE_MS / 10; i++) {
		bench_advance(b, 10);
		assert_int_equal(bench_sent_tasks(b, &c), 0);
		assert_null(bench_sent(b, &a, MLK_MSG_DROP, 0));
	}
	bench_end_run(b, &a, 1, 0, MLK_RUN_DONE);
	expect_answer(b, request, MLK_WORK_COMPLETED);
	assert_int_equal(mlk_dispatch_counters(b->d)->links_silent, 0);
	assert_int_equal(mlk_dispatch_counters(b->d)->tasks_sent, 1);
}

/*
 * Guards against a link that is closed, and its runs started elsewhere, as soon
 * as work is sent to an idle agent: an idle agent reports once a second, which
 * is longer than the silence allowed while it has work.
 */
static void
test_idle_silence_is_not_counted(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;
	int i;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	bench_advance(b, 950);
	(void)bench_submit(b, "job", 1, 6000, 5000);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
	bench_attach(b, &c, "agent-2", "dc-a", CPU);
	for (i = 0; i < SHORT_SILENCE_MS / 10; i++) {
		bench_advance(b, 10);
		assert_int_equal(bench_sent_tasks(b, &c), 0);
	}
	assert_int_equal(mlk_dispatch_counters(b->d)->links_silent, 0);
	bench_advance(b, 100);
	assert_int_equal(mlk_dispatch_counters(b->d)->links_silent, 1);
}

/* Guards against runs that continue after their caller has disconnected. */
static void
test_caller_left(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	request = bench_submit(b, "job", 2, 6000, 2000);
	bench_caller_gone(b, request);
	assert_non_null(bench_sent(b, &a, MLK_MSG_DROP, 0));
	bench_end_run(b, &a, 1, 0, MLK_RUN_STOPPED);
	assert_null(bench_answer_to(b, request));
	assert_int_equal(bench_sent_tasks(b, &a), 0);
}

/* Guards against a second set of runs when a caller repeats its request. */
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
	bench_caller_gone(b, first);
	assert_null(bench_sent(b, &a, MLK_MSG_DROP, 0));
	bench_end_run(b, &a, 1, 0, MLK_RUN_DONE);
	expect_answer(b, second, MLK_WORK_COMPLETED);
	assert_null(bench_answer_to(b, first));
}

/* Guards against a job spread over workers although it fits on one. */
static void
test_job_placed_on_one_worker(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a, c;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	bench_attach(b, &c, "agent-2", "dc-a", CPU);
	a.free.cpu = 20000;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	(void)bench_submit(b, "job", 8, 6000, 2000);
	assert_int_equal(bench_sent_tasks(b, &a), 0);
	assert_int_equal(bench_sent_tasks(b, &c), 8);
}

/*
 * Guards against resources used twice: tasks sent since the last load report
 * must be subtracted from it.
 */
static void
test_free_resources_used_once(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "one", 8, 7000, 2000);
	assert_int_equal(bench_sent_tasks(b, &a), 8);
	(void)bench_submit(b, "two", 8, 7000, 2000);
	/* One more task fits beside the eight. */
	assert_int_equal(bench_sent_tasks(b, &a), 1);
}

/*
 * Guards against tasks that stay queued when workers become free: the agents
 * are told what is queued, and resources they offer go to the most urgent job
 * that fits.
 */
static void
test_offer_goes_to_most_urgent(void **state)
{
	struct dispatch_bench *b = *state;
	const struct mlk_msg *msg;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	bench_set_estimate(b, 500);
	(void)bench_submit(b, "long", 1, 6000, 5000);
	msg = bench_sent(b, &a, MLK_MSG_WANT, 0);
	assert_non_null(msg);
	assert_int_equal(msg->u.want.want.tasks, 1);
	assert_int_equal(msg->u.want.want.resources.cpu, 6000);
	b->now += 10 * BENCH_MS;
	bench_set_estimate(b, 50);
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
	/* Too small for the urgent job, but not for the other. */
	bench_offer(b, &a, 6, 6500);
	msg = bench_sent(b, &a, MLK_MSG_RUN, 0);
	assert_non_null(msg);
	assert_string_equal(msg->u.run.id, "long");
}

/* Guards against offers that stay reserved for an entry with nothing queued. */
static void
test_unneeded_offer_is_declined(void **state)
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
 * Guards against links closed for silence under load: an agent that answers
 * WANT with OFFER messages sends no WORKER messages meanwhile.
 */
static void
test_offers_keep_link_alive(void **state)
{
	struct dispatch_bench *b = *state;
	struct mlk_dispatch_gauges gauges;
	struct bench_agent a;
	uint32_t i;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 1, 6000, 30000);
	for (i = 1; i <= 20; i++) {
		bench_advance(b, 100);
		bench_offer(b, &a, i, 6000);
	}
	mlk_dispatch_gauges(b->d, &gauges);
	assert_int_equal(gauges.agents, 1);
	bench_advance(b, 800);
	mlk_dispatch_gauges(b->d, &gauges);
	assert_int_equal(gauges.agents, 0);
}

/*
 * Guards against an entry that walks the whole queue for each load report,
 * falls behind its messages, and closes the links of its agents for silence.
 * This came up after a power failure: hundreds of jobs queued, every worker
 * full, and many load reports.
 */
static void
test_report_cost_with_backlog(void **state)
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
		bench_report_worker(b, &agents[i], MLK_WORKER_READY);
	}
	bench_set_estimate(b, 170);
	for (i = 0; i < 400; i++) {
		(void)snprintf(name, sizeof(name), "job-%u", i);
		(void)bench_submit(b, name, 2, 6000, 60000);
	}
	bench_advance(b, 20);
	counters = mlk_dispatch_counters(b->d);
	before = counters->looks;
	for (i = 0; i < 1000; i++)
		bench_report_worker(b, &agents[i % 50], MLK_WORKER_READY);
	assert_true(counters->looks - before <= 1000 * 50);
	/* Resources freed at one worker still go to the most urgent job at
	 * once. */
	agents[7].free.cpu = 12000;
	bench_report_worker(b, &agents[7], MLK_WORKER_READY);
	assert_int_equal(bench_sent_tasks(b, &agents[7]), 2);
	assert_string_equal(
	    bench_sent(b, &agents[7], MLK_MSG_RUN, 0)->u.run.id, "job-0");
}

/* Sanitizers slow code down by up to ten times. */
#ifdef __SANITIZE_ADDRESS__
#define DECISION_MAX_US 500
#else
#define DECISION_MAX_US 50 /* docs/design/hard-load.md, section 3 */
#endif

static double
cpu_us(void)
{
	struct timespec ts;

	assert_int_equal(clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts), 0);
	return ((double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3);
}

/*
 * Returns the processor time of a decision with a backlog of 1,000 jobs: an
 * arriving job or a worker's report, and a tick for every 20 of them.
 */
static double
decision_us(enum mlk_admission_mode mode)
{
	struct dispatch_bench *b = calloc(1, sizeof(*b));
	struct mlk_dispatch_gauges gauges;
	struct bench_agent agents[50];
	char name[16];
	double start;
	uint32_t i;

	assert_non_null(b);
	bench_init_admission(b, mode);
	bench_set_routes(b, 1, 2);
	for (i = 0; i < 50; i++) {
		(void)snprintf(name, sizeof(name), "agent-%u", i);
		bench_attach(b, &agents[i], name, "dc-a", CPU);
		agents[i].free.cpu = 4000;
		bench_report_worker(b, &agents[i], MLK_WORKER_READY);
	}
	/* Long tasks have a late goal, so that the jobs stay in the queue. */
	bench_set_estimate(b, 10000);
	for (i = 0; i < 1000; i++) {
		(void)snprintf(name, sizeof(name), "job-%u", i);
		(void)bench_submit(b, name, 2, 6000, 60000);
	}
	bench_advance(b, 20);
	start = cpu_us();
	for (i = 0; i < 500; i++) {
		(void)snprintf(name, sizeof(name), "new-%u", i);
		(void)bench_submit(b, name, 2, 6000, 60000);
		bench_report_worker(b, &agents[i % 50], MLK_WORKER_READY);
		if (i % 10 == 9)
			bench_advance(b, 20);
	}
	start = cpu_us() - start;
	mlk_dispatch_gauges(b->d, &gauges);
	assert_in_range(gauges.queued, 2000, 3000);
	bench_free(b);
	free(b);
	return (start / 1000);
}

/*
 * Guards against a decision whose cost grows with the backlog: the smallest
 * entry has a tenth of a core.
 */
static void
test_decision_time_with_backlog(void **state)
{
	double off, shares;

	(void)state;
	off = decision_us(MLK_ADMISSION_OFF);
	shares = decision_us(MLK_ADMISSION_SHARES);
	print_message(
	    "a decision takes %.1f us, with shares %.1f us\n", off, shares);
	assert_true(off <= DECISION_MAX_US);
	assert_true(shares <= DECISION_MAX_US);
}

/*
 * Guards against a backlog that makes every job late: under overload, a job
 * that can no longer meet its target response time yields to one that still
 * can.
 */
static void
test_late_job_yields(void **state)
{
	struct dispatch_bench *b = *state;
	const struct mlk_msg *msg;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	(void)bench_submit(b, "missed", 1, 6000, 2000);
	bench_advance(b, 200);
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
 * Guards against a late job that waits for its last task until its deadline,
 * with its other tasks done: in an overload there is always a job that is still
 * on time.  Here twice as much work arrives as fits, and the last task must be
 * sent before the result is of no use.
 */
static void
test_nearly_done_job_is_finished(void **state)
{
	enum { USEFUL_MS = 3 * 140, STEP_MS = 20 };
	struct dispatch_bench *b = *state;
	const struct mlk_msg *msg;
	struct bench_agent a;
	bool sent = false;
	char id[16];
	int i;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "begun", 4, 6000, 5000);
	a.free.cpu = 0;
	a.seen = 1;
	for (i = 0; i < 3; i++)
		bench_end_run(b, &a, 1, (uint32_t)i, MLK_RUN_DONE);
	bench_end_run(b, &a, 1, 3, MLK_RUN_BUSY);
	for (i = 0; i < USEFUL_MS / STEP_MS && !sent; i++) {
		bench_advance(b, STEP_MS);
		(void)snprintf(id, sizeof(id), "new-%d", 2 * i);
		(void)bench_submit(b, id, 1, 6000, 2000);
		(void)snprintf(id, sizeof(id), "new-%d", 2 * i + 1);
		(void)bench_submit(b, id, 1, 6000, 2000);
		/* Until its goal has passed it is the most urgent job. */
		if (i * STEP_MS < 140)
			continue;
		bench_offer(b, &a, (uint64_t)i + 1, 6000);
		msg = bench_sent(b, &a, MLK_MSG_RUN, 0);
		sent = msg != NULL && strcmp(msg->u.run.id, "begun") == 0;
	}
	assert_true(sent);
}

/*
 * Guards against a late refusal: the result of a job that would take more than
 * three times its target response time is of no use to its caller.
 */
static void
test_long_waiting_job_is_refused(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	/*
	 * The target response time is 60 ms plus 1.6 times the estimate of
	 * 50 ms.  The run takes 65 ms, including the margin.
	 */
	request = bench_submit(b, "job", 1, 6000, 5000);
	bench_advance(b, 340);
	assert_null(bench_answer_to(b, request));
	bench_advance(b, 40);
	expect_answer(b, request, MLK_WORK_REFUSED);
	/* Also refused when half of its deadline has passed. */
	request = bench_submit(b, "hurry", 1, 6000, 300);
	bench_advance(b, 140);
	assert_null(bench_answer_to(b, request));
	bench_advance(b, 40);
	expect_answer(b, request, MLK_WORK_REFUSED);
}

/*
 * Guards against a deadline that is counted from the submission of a request
 * that the server has held, and not from its arrival.
 */
static void
test_held_time_counts(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	b->held = 80 * BENCH_MS;
	/* Refused when half of its deadline has passed. */
	request = bench_submit(b, "job", 1, 6000, 300);
	bench_advance(b, 60);
	assert_null(bench_answer_to(b, request));
	bench_advance(b, 40);
	expect_answer(b, request, MLK_WORK_REFUSED);
}

/*
 * Guards against a drain rate that is measured while nothing is queued: after
 * 3 s without callers it would be close to 0, and the next refused caller would
 * get a Retry-After of 10 s.
 */
static void
test_drain_rate_ignores_idle_time(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint64_t request;
	int i;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	a.free.cpu = 0;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	(void)bench_submit(b, "waits", 2, 6000, 5000);
	bench_advance(b, 40);
	a.free = a.capacity;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	assert_int_equal(bench_sent_tasks(b, &a), 2);
	bench_end_run(b, &a, 1, 0, MLK_RUN_DONE);
	bench_end_run(b, &a, 1, 1, MLK_RUN_DONE);
	for (i = 0; i < 6; i++) {
		bench_advance(b, 500);
		bench_report_worker(b, &a, MLK_WORKER_READY);
	}
	a.free.cpu = 0;
	bench_report_worker(b, &a, MLK_WORKER_READY);
	request = bench_submit(b, "refused", 1, 6000, 5000);
	bench_advance(b, 400);
	expect_answer(b, request, MLK_WORK_REFUSED);
	assert_int_equal(bench_answer_to(b, request)->retry_after_ms, 1000);
}

#define PEERS 60
#define AGENTS 20
#define FULL_LISTS 10 /* one per second while the peers connect */

/*
 * Guards against an entry that sends the full peer list to every agent for each
 * new peer.  When hundreds of machines start at once, that is some 30 times the
 * data needed.
 */
static void
test_new_peers_are_sent_once(void **state)
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
		bench_add_peer(b, i);
	bench_advance(b, 40);
	assert_true(b->peers_sent >= (uint64_t)AGENTS * (PEERS + 1));
	/* Also the entry itself at first, and some full lists. */
	assert_true(b->peers_sent <= (uint64_t)AGENTS * (PEERS + 1) +
		(uint64_t)FULL_LISTS * (PEERS + 1));
}

/*
 * Guards against an agent that never learns again of an entry it has forgotten:
 * the full peer list is sent to each agent in turn.
 */
static void
test_full_peer_list_is_repeated(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent agents[2];
	uint64_t sent_before;

	bench_attach(b, &agents[0], "agent-0", "dc-a", CPU);
	bench_attach(b, &agents[1], "agent-1", "dc-a", CPU);
	bench_add_peer(b, 1);
	bench_advance(b, 40);
	sent_before = b->peers_sent;
	bench_advance(b, 2100);
	assert_true(b->peers_sent >= sent_before + 2 * 2);
}

static uint32_t
connects(const struct dispatch_bench *b)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < b->fx.n; i++)
		n += b->fx.items[i].type == MLK_DISPATCH_FX_CONNECT;
	return (n);
}

/*
 * Guards against odd addresses among those of the entries: a host name, whose
 * lookup would block the process, a port out of range, and more addresses than
 * there can be entries.
 */
static void
test_odd_entry_addresses(void **state)
{
	static const char odd[][MLK_ADDR_MAX] = { "", "10.0.1.1", "10.0.1.1:0",
		"10.0.1.1:65536", "10.0.1.1:99999999999999999999",
		"10.0.1.1:-1", "10.0.1.1:80x", "example.net:7000", "[::1:7000",
		"10.0.1.1.1:7000", ":7000", "\xff\xfe:1" };
	struct dispatch_bench *b = *state;
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_ENTRIES };
	char(*many)[MLK_ADDR_MAX];
	uint32_t i, n = 3000;

	ev.u.entries.n = G_N_ELEMENTS(odd);
	ev.u.entries.addrs = odd;
	bench_apply(b, &ev);
	bench_advance(b, 20);
	assert_int_equal(connects(b), 0);
	assert_int_equal(
	    mlk_dispatch_counters(b->d)->addrs_ignored, G_N_ELEMENTS(odd));
	many = g_malloc0_n(n, sizeof(*many));
	for (i = 0; i < n; i++)
		(void)snprintf(many[i], sizeof(many[i]), "10.1.%u.%u:7000",
		    i / 250, i % 250 + 1);
	ev.u.entries.n = n;
	ev.u.entries.addrs = (const char(*)[MLK_ADDR_MAX])many;
	bench_apply(b, &ev);
	g_free(many);
	bench_advance(b, 20);
	assert_int_equal(connects(b), 1024);
	assert_int_equal(mlk_dispatch_counters(b->d)->addrs_ignored,
	    G_N_ELEMENTS(odd) + n - 1024);
}

/* Guards against a routing table replaced by an older version. */
static void
test_older_routing_is_ignored(void **state)
{
	struct dispatch_bench *b = *state;
	struct mlk_dispatch_gauges gauges;

	bench_set_routes(b, 9, 2);
	bench_set_routes(b, 5, 2);
	mlk_dispatch_gauges(b->d, &gauges);
	assert_int_equal(gauges.routing_version, 9);
}

/* Guards against a planned stop that aborts jobs in progress or never ends. */
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
	bench_advance(b, 600);
	bench_end_run(b, &a, 1, 0, MLK_RUN_DONE);
	expect_answer(b, request, MLK_WORK_COMPLETED);
	assert_false(b->exited);
	bench_advance(b, 2600);
	assert_true(b->exited);
}

static void
send_verdict(struct dispatch_bench *b, uint32_t link, uint32_t kind)
{
	struct mlk_verdict verdict = { kind, kind, 2000, 1500, 100 };
	struct mlk_msg msg = { .type = MLK_MSG_VERDICTS };

	msg.u.verdicts.n = 1;
	msg.u.verdicts.items = &verdict;
	bench_deliver(b, link, &msg);
}

static void
send_present(struct dispatch_bench *b, struct bench_agent *a, uint32_t kind)
{
	struct mlk_corun row = { .kind = kind, .samples = 1 };
	struct mlk_msg msg = { .type = MLK_MSG_CORUN };

	msg.u.corun.n = 1;
	msg.u.corun.items = &row;
	bench_deliver(b, a->link, &msg);
}

/*
 * Submits a job of one task, ends it, and returns its kind and its agent.
 */
static uint32_t
run_one(struct dispatch_bench *b, struct bench_agent *agents, uint32_t *at)
{
	const struct mlk_msg *msg = NULL;
	uint64_t handle;
	uint32_t kind;

	(void)bench_submit(b, "job", 1, 6000, 2000);
	for (*at = 0; *at < 2 && msg == NULL; (*at)++)
		msg = bench_sent(b, &agents[*at], MLK_MSG_RUN, 0);
	assert_non_null(msg);
	(*at)--;
	handle = msg->u.run.job;
	kind = msg->u.run.kind;
	agents[*at].seen = msg->u.run.seq;
	bench_end_run(b, &agents[*at], handle, 0, MLK_RUN_DONE);
	return (kind);
}

/*
 * Guards against a verdict that placement does not follow, and against a task
 * that waits, or a job that is refused, because of one.
 */
static void
test_interfering_kinds_are_kept_apart(void **state)
{
	struct mlk_msg report = { .type = MLK_MSG_CORUN };
	const struct mlk_dispatch_counters *counters;
	struct dispatch_bench bench, *b = &bench;
	struct bench_agent a[2];
	uint32_t kind, at, link;

	(void)state;
	bench_init_as(b, "zone", MLK_INTERFERENCE_AVOID, NULL);
	bench_set_routes(b, 1, 2);
	bench_add_peer(b, 1);
	link = b->last_link - 1; /* the one that the peer has opened */
	bench_attach(b, &a[0], "agent-1", "dc-a", CPU);
	bench_attach(b, &a[1], "agent-2", "dc-a", CPU);
	a[1].free.cpu = CPU * 3 / 4;
	bench_report_worker(b, &a[1], MLK_WORKER_READY);
	kind = run_one(b, a, &at);
	assert_int_equal(at, 0);
	assert_int_not_equal(kind, 0);
	bench_deliver(b, a[0].link, &report);
	assert_null(bench_sent(b, &a[0], MLK_MSG_VERDICTS, 0));

	send_verdict(b, link, kind);
	send_present(b, &a[0], kind);
	(void)run_one(b, a, &at);
	assert_int_equal(at, 1);
	counters = mlk_dispatch_counters(b->d);
	assert_int_equal(counters->verdicts_made, 1);
	assert_int_equal(counters->kept_apart, 1);
	bench_deliver(b, a[0].link, &report);
	assert_non_null(bench_sent(b, &a[0], MLK_MSG_VERDICTS, 0));

	a[1].free.cpu = 0;
	bench_report_worker(b, &a[1], MLK_WORKER_READY);
	(void)run_one(b, a, &at);
	assert_int_equal(at, 0);
	assert_int_equal(counters->not_apart, 1);

	/* The peer is gone, so this entry decides, and measures nothing. */
	bench_advance(b, 58000);
	assert_int_equal(counters->verdicts_withdrawn, 0);
	bench_advance(b, 10000);
	assert_int_equal(counters->verdicts_withdrawn, 1);
	bench_free(b);
}

/*
 * Guards against a pinned pair that placement does not follow, or that ends
 * when nothing is measured.  The route of the bench has an empty name.
 */
static void
test_pinned_routes_are_kept_apart(void **state)
{
	struct dispatch_bench bench, *b = &bench;
	struct mlk_route_pair pair = { "", "" };
	struct bench_agent a[2];
	uint32_t at;

	(void)state;
	bench_init_as(b, "entry-1", MLK_INTERFERENCE_AVOID, &pair);
	bench_set_routes(b, 1, 2);
	bench_attach(b, &a[0], "agent-1", "dc-a", CPU);
	bench_attach(b, &a[1], "agent-2", "dc-a", CPU);
	a[1].free.cpu = CPU * 3 / 4;
	bench_report_worker(b, &a[1], MLK_WORKER_READY);
	(void)run_one(b, a, &at);
	assert_int_equal(at, 0);
	(void)run_one(b, a, &at);
	assert_int_equal(at, 1);
	bench_advance(b, 70000);
	assert_int_equal(mlk_dispatch_counters(b->d)->verdicts_withdrawn, 0);
	bench_free(b);
}

/* Guards against kinds, and answers to reports, while the mode is off. */
static void
test_interference_off(void **state)
{
	struct mlk_msg report = { .type = MLK_MSG_CORUN };
	struct dispatch_bench *b = *state;
	struct bench_agent a[2];
	uint32_t at;

	bench_add_peer(b, 1);
	bench_attach(b, &a[0], "agent-1", "dc-a", CPU);
	bench_attach(b, &a[1], "agent-2", "dc-a", CPU);
	assert_int_equal(run_one(b, a, &at), 0);
	bench_deliver(b, a[0].link, &report);
	assert_int_equal(b->fx.n, 0);
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
		TEST(test_requests_wait_after_start),
		TEST(test_outcome_after_deadline),
		TEST(test_lost_link_waits_for_leases),
		TEST(test_attach_ends_lease_wait),
		TEST(test_duplicate_agent_id),
		TEST(test_short_silence_moves_nothing),
		TEST(test_idle_silence_is_not_counted),
		TEST(test_caller_left),
		TEST(test_same_id_joins),
		TEST(test_job_placed_on_one_worker),
		TEST(test_free_resources_used_once),
		TEST(test_offer_goes_to_most_urgent),
		TEST(test_unneeded_offer_is_declined),
		TEST(test_offers_keep_link_alive),
		TEST(test_report_cost_with_backlog),
		cmocka_unit_test(test_decision_time_with_backlog),
		TEST(test_late_job_yields),
		TEST(test_nearly_done_job_is_finished),
		TEST(test_long_waiting_job_is_refused),
		TEST(test_held_time_counts),
		TEST(test_drain_rate_ignores_idle_time),
		TEST(test_new_peers_are_sent_once),
		TEST(test_full_peer_list_is_repeated),
		TEST(test_odd_entry_addresses),
		TEST(test_older_routing_is_ignored),
		TEST(test_planned_stop),
		cmocka_unit_test(test_interfering_kinds_are_kept_apart),
		cmocka_unit_test(test_pinned_routes_are_kept_apart),
		TEST(test_interference_off),
	};
#undef TEST

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
