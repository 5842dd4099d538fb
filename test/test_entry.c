/*
 * Tests of the entry reducer, which entry_bench.h feeds with single events.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "entry_bench.h"
#include "fake_sched.h"

#define LEASE_MS 3000U /* default lease of entries and agents */
#define AGENTS 12
#define MANY_AGENTS 40 /* more than get CONFIG in one event */

static struct bench b;

static int
setup(void **state)
{
	(void)state;
	bench_open(&b);
	return (0);
}

static int
teardown(void **state)
{
	(void)state;
	bench_close(&b);
	return (0);
}

/*
 * Guards against a START to an agent that has not answered FENCE: a previous
 * owner could still start tasks on it.
 */
static void
test_fence_before_start(void **state)
{
	(void)state;
	bench_run(&b, 100);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS);
	assert_true(bench_gauges(&b).ready);
	bench_hello(&b, 1, 0, 5);
	bench_grant(&b, 1, 4);
	assert_int_equal(b.sent[MLK_MSG_FENCE], 1);
	bench_submit(&b, 1, "job", "x", 2, 0);
	assert_int_equal(b.started, 0);
	bench_fence_reply(&b, 1, 5, NULL);
	assert_int_equal(b.sent[MLK_MSG_START], 1);
	assert_int_equal(b.started, 2);
	assert_int_equal(b.start_epoch, 1);
	bench_result(&b, 1, "job", 0, MLK_TASK_DONE, false);
	assert_int_equal(b.answers, 0);
	bench_result(&b, 1, "job", 1, MLK_TASK_DONE, false);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_COMPLETE);
	assert_int_equal(b.answer.ntasks, 2);
	assert_string_equal(b.answer.tasks[1].worker, "w0");
}

/*
 * Guards against a second run of a job whose id is submitted again, and
 * against an id that is accepted with a different body.
 */
static void
test_resubmission(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 4, NULL);
	bench_submit(&b, 1, "job", "x", 1, 0);
	bench_submit(&b, 2, "job", "x", 1, 0);
	assert_int_equal(b.started, 1);
	bench_submit(&b, 3, "job", "other", 1, 0);
	assert_int_equal(b.error_code, MLK_ERR_CONFLICT);
	bench_result(&b, 1, "job", 0, MLK_TASK_DONE, false);
	assert_int_equal(b.answers, 2);
	bench_submit(&b, 4, "job", "x", 1, 0);
	assert_int_equal(b.answers, 3);
	assert_int_equal(b.started, 1);
}

/*
 * Guards against a START of a task that a previous owner may have started, or
 * may have reported as not run when it ended the job.  Only the agents'
 * records show which tasks ran.
 */
static void
test_recovery_from_record(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_submit(&b, 1, "job", "x", 2, 0);
	assert_int_equal(b.started, 0);
	bench_connect_agent(&b, 1, 0, 5, 4, "job");
	assert_int_equal(b.sent[MLK_MSG_QUERY], 1);
	assert_int_equal(b.started, 0);
	bench_query_reply(&b, 1, "job", MLK_TASK_RUNNING);
	bench_run(&b, 1200);
	assert_true(b.sent[MLK_MSG_QUERY] >= 2);
	assert_int_equal(b.answers, 0);
	bench_query_reply(&b, 1, "job", MLK_TASK_DONE);
	bench_run(&b, 200);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[0].status, MLK_TASK_DONE);
	assert_int_equal(b.answer.tasks[1].status, MLK_TASK_NOT_RUN);
	assert_int_equal(b.started, 0);
}

/*
 * Guards against a START or a refusal of a job while the record of an agent is
 * missing: that agent may have run the job for a previous owner.
 */
static void
test_unknown_until_agents_accounted(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_agent_row(&b, 1, 6, UINT64_MAX);
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 4, NULL);
	bench_submit(&b, 1, "job", "x", 1, 0);
	bench_run(&b, 2500);
	assert_int_equal(b.answers, 0);
	bench_run(&b, 800);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	assert_int_equal(b.started, 0);
	assert_int_equal(bench_gauges(&b).partitions_serving, 0);
}

/*
 * Guards against a job that waits for a missing agent although this owner
 * issued its id, so that no agent can have run it before.
 */
static void
test_issued_id_starts(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_ISSUE_IDS };

	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_agent_row(&b, 1, 6, UINT64_MAX);
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 4, NULL);
	ev.u.issue.request = 1;
	ev.u.issue.count = 2;
	bench_event(&b, &ev);
	bench_submit(&b, 2, b.ids[1], "x", 1, 0);
	assert_int_equal(b.started, 1);
}

/*
 * Guards against claims that are not saved when an agent is lost: a later
 * owner could run the tasks again that the agent had in flight.
 */
static void
test_lost_agent_is_closed(void **state)
{
	uint32_t p = mlk_key_partition(mlk_key_from_id("job"));

	(void)state;
	bench_run(&b, 100);
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_submit(&b, 1, "job", "x", 2, 0);
	assert_int_equal(b.started, 1);
	bench_link_down(&b, 1);
	bench_run(&b, 2800);
	assert_int_equal(b.answers, 0);
	bench_run(&b, 3000);
	assert_int_equal(b.closes, 1);
	assert_true(b.agents[0].closed == UINT64_MAX);
	assert_int_equal(b.claims[p].n, 1);
	assert_true(
	    mlk_key_equal(b.claims[p].claims[0].key, mlk_key_from_id("job")));
	bench_connect_agent(&b, 2, 0, 5, 4, NULL);
	assert_int_equal(b.sent[MLK_MSG_REREGISTER], 1);
	assert_int_equal(b.started, 1);
	bench_set_agent_row(&b, 0, 7, UINT64_MAX);
	bench_connect_agent(&b, 3, 0, 7, 4, NULL);
	assert_int_equal(b.started, 2);
	bench_result(&b, 3, "job", 1, MLK_TASK_DONE, false);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[0].status, MLK_TASK_UNKNOWN);
	assert_int_equal(b.answer.tasks[1].status, MLK_TASK_DONE);
}

/*
 * Guards against a task that waits forever because its START was lost when the
 * link closed.
 */
static void
test_start_lost_with_link(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 2, NULL);
	bench_submit(&b, 1, "job", "x", 2, 0);
	assert_int_equal(b.started, 2);
	bench_link_down(&b, 1);
	bench_run(&b, 100);
	bench_connect_agent(&b, 2, 0, 5, 2, NULL);
	assert_int_equal(b.sent[MLK_MSG_QUERY], 1);
	assert_int_equal(b.started, 2);
	bench_query_reply(&b, 2, "job", MLK_TASK_DONE);
	assert_int_equal(b.started, 3);
	bench_result(&b, 2, "job", 1, MLK_TASK_DONE, false);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_COMPLETE);
}

/*
 * Guards against a restarted agent that blocks partitions: its previous record
 * is lost, so the owner must save what that incarnation ran (docs/design.md,
 * section 4, rule 7).
 */
static void
test_restarted_agent(void **state)
{
	uint32_t p = mlk_key_partition(mlk_key_from_id("job"));

	(void)state;
	bench_run(&b, 100);
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_submit(&b, 1, "job", "x", 1, 0);
	bench_set_agent_row(&b, 0, 6, 0);
	bench_connect_agent(&b, 2, 0, 6, 1, NULL);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[0].status, MLK_TASK_UNKNOWN);
	bench_run(&b, 2000);
	assert_true(b.agents[0].complete == UINT64_MAX);
	assert_int_equal(b.agents[0].closed, 0);
	assert_int_equal(b.claims[p].n, 1);
	assert_int_equal(bench_gauges(&b).partitions_serving, MLK_PARTITIONS);
}

/*
 * Guards against ids that an agent reported in FENCE_REPLY but that are not
 * saved as claims when the agent is lost.  The next owner could run them
 * again.
 */
static void
test_index_of_lost_agent_saved(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 0, "old");
	bench_link_down(&b, 1);
	bench_run(&b, 4000);
	assert_int_equal(b.closes, 1);
	bench_submit(&b, 1, "old", "x", 1, 0);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	/* A new owner knows only the claims in the table. */
	mlk_entry_destroy(b.entry);
	bench_create(&b);
	bench_run(&b, 100);
	bench_connect_agent(&b, 2, 1, 6, 4, NULL);
	bench_submit(&b, 2, "new", "x", 1, 0);
	assert_int_equal(b.started, 1);
	bench_submit(&b, 3, "old", "x", 1, 0);
	assert_int_equal(b.answer_request, 3);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	assert_int_equal(b.started, 1);
}

/*
 * Guards against a takeover that counts as done although the reply to its
 * write was lost.
 */
static void
test_lost_store_answer(void **state)
{
	(void)state;
	b.lose_next_reply = true;
	b.lose_op_type = MLK_STORE_TAKEOVER;
	bench_run(&b, 50);
	assert_int_equal(bench_gauges(&b).partitions_owned, 0);
	assert_int_equal(b.table.ownership.part[0].epoch, 1);
	bench_run(&b, 1500);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS);
	assert_int_equal(b.table.ownership.part[0].epoch, 2);
}

/*
 * Guards against claims that are written twice, or not at all, when the reply
 * to CLOSE_AGENT is lost.
 */
static void
test_lost_close_answer(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	b.lose_next_reply = true;
	b.lose_op_type = MLK_STORE_CLOSE_AGENT;
	bench_link_down(&b, 1);
	bench_run(&b, 8000);
	assert_false(b.lose_next_reply);
	assert_int_equal(b.closes, 1);
	assert_true(b.agents[0].closed == UINT64_MAX);
	assert_int_equal(bench_gauges(&b).partitions_serving, MLK_PARTITIONS);
}

/*
 * Guards against a new entry that gets no partitions, and against partitions
 * that stay without an owner after an entry has died.
 */
static void
test_rebalance_and_takeover(void **state)
{
	uint32_t owned;

	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	bench_run(&b, 1500);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS);
	bench_run(&b, 1000);
	owned = bench_gauges(&b).partitions_owned;
	assert_in_range(owned, 16, 48);
	bench_set_owner(&b, "e2");
	bench_run(&b, 1100);
	assert_int_equal(bench_gauges(&b).partitions_owned, 0);
	bench_link_down(&b, 1);
	bench_run(&b, 3000);
	assert_int_equal(
	    bench_gauges(&b).partitions_owned, MLK_PARTITIONS - owned);
	bench_run(&b, 10000);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS);
}

/*
 * Guards against a cancelled task that is started, and against a job that is
 * answered as refused although one of its tasks ran.
 */
static void
test_cancel(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_submit(&b, 1, "none", "x", 2, 0);
	bench_cancel(&b, 2, "none");
	assert_int_equal(b.answer_request, 2);
	assert_true(b.answer_pending);
	bench_run(&b, 200);
	assert_int_equal(b.answer_request, 1);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_REFUSED);
	assert_string_equal(b.answer.reason, "cancelled");
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	assert_int_equal(b.started, 0);
	bench_submit(&b, 3, "some", "x", 2, 0);
	assert_int_equal(b.started, 1);
	bench_cancel(&b, 4, "some");
	bench_result(&b, 1, "some", 0, MLK_TASK_DONE, false);
	bench_run(&b, 200);
	assert_int_equal(b.answer_request, 3);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[1].status, MLK_TASK_NOT_RUN);
	assert_int_equal(b.started, 1);
}

/*
 * Guards against a job that is answered as refused at its deadline although
 * one of its tasks ran.
 */
static void
test_deadline(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_submit(&b, 1, "late", "x", 2, 300);
	bench_run(&b, 600);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_REFUSED);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_submit(&b, 2, "part", "x", 2, 300);
	assert_int_equal(b.started, 1);
	bench_run(&b, 600);
	assert_int_equal(b.answers, 1);
	bench_result(&b, 1, "part", 0, MLK_TASK_DONE, false);
	bench_run(&b, 200);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[1].status, MLK_TASK_NOT_RUN);
}

/*
 * Guards against the answer "not run" from an entry that cannot confirm that
 * it still owns the partition, as another owner may have run the job.
 */
static void
test_refusal_is_confirmed(void **state)
{
	(void)state;
	bench_run(&b, 100);
	fake_sched_admit_error = MLK_ERR_UNAVAILABLE;
	bench_submit(&b, 1, "a", "x", 1, 0);
	assert_int_equal(b.answers, 0);
	bench_run(&b, 200);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_REFUSED);
	assert_int_equal(b.answer.retry_after_ms, 700);
	b.store_down = true;
	bench_submit(&b, 2, "b", "x", 1, 0);
	bench_run(&b, 200);
	assert_int_equal(b.answer_request, 2);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	fake_sched_admit_error = 0;
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_submit(&b, 3, "c", "x", 1, 0);
	assert_int_equal(b.started, 1);
}

/*
 * Guards against an agent that waits for a RETURN that is never sent, as when
 * the entry has no credits left to give back.
 */
static void
test_reclaim_always_answered(void **state)
{
	struct mlk_msg m = { .type = MLK_MSG_RECLAIM };

	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	m.u.reclaim.any = 1;
	bench_msg(&b, 1, &m);
	assert_int_equal(b.sent[MLK_MSG_RETURN], 1);
	bench_msg(&b, 1, &m);
	assert_int_equal(b.sent[MLK_MSG_RETURN], 2);
}

/*
 * Guards against grants and forwarded requests to a leaving entry: links that
 * open during its planned stop must get LEAVE too.
 */
static void
test_leave_sent_to_new_links(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_STOP };

	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_submit(&b, 1, "job", "x", 1, 0);
	bench_event(&b, &ev);
	assert_int_equal(b.sent[MLK_MSG_LEAVE], 1);
	bench_hello(&b, 2, 1, 5);
	assert_int_equal(b.sent[MLK_MSG_LEAVE], 2);
	assert_int_equal(b.sent_link[MLK_MSG_LEAVE], 2);
	bench_connect_peer(&b, 3, "e2");
	assert_int_equal(b.sent[MLK_MSG_LEAVE], 3);
	assert_int_equal(b.sent_link[MLK_MSG_LEAVE], 3);
	assert_int_equal(b.sent[MLK_MSG_PEER_HELLO], 1);
}

/*
 * Guards against leases that expire at the agents when the entry has many
 * links, and against heartbeats more often than every two thirds of the lease.
 */
static void
test_heartbeats_with_many_links(void **state)
{
	uint32_t before, i;

	(void)state;
	bench_run(&b, 100);
	for (i = 0; i < 60; i++)
		bench_connect_agent(&b, 20 + i, i, 5, 0, NULL);
	before = b.sent[MLK_MSG_HEARTBEAT];
	bench_run(&b, LEASE_MS - 700);
	assert_in_range(b.sent[MLK_MSG_HEARTBEAT] - before, 60, 120);
}

/*
 * Guards against quotas that are divided by an outdated number of entries
 * after peers have joined, left or died.
 */
static void
test_live_entries(void **state)
{
	struct mlk_msg m = { .type = MLK_MSG_LEAVE };

	(void)state;
	fake_sched_entries = 0;
	bench_run(&b, 200);
	assert_int_equal(fake_sched_entries, 1);
	bench_connect_peer(&b, 1, "e2");
	bench_connect_peer(&b, 2, "e3");
	bench_run(&b, 200);
	assert_int_equal(fake_sched_entries, 3);
	bench_msg(&b, 1, &m);
	bench_run(&b, 200);
	assert_int_equal(fake_sched_entries, 2);
	bench_link_down(&b, 2);
	bench_run(&b, 2000);
	assert_int_equal(fake_sched_entries, 1);
}

/* Guards against a job or an answer that is too large for one message. */
static void
test_job_size_limit(void **state)
{
	uint32_t n = MLK_JOB_BYTES_MAX / MLK_PAYLOAD_MAX;
	uint32_t i;

	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 2 * n, NULL);
	b.payload_bytes = MLK_PAYLOAD_MAX;
	bench_submit(&b, 1, "long", "x", n + 1, 0);
	assert_int_equal(b.error_code, MLK_ERR_INVALID);
	assert_int_equal(b.started, 0);
	b.payload_bytes = 0;
	bench_submit(&b, 2, "job", "x", n + 2, 0);
	assert_int_equal(b.started, n + 2);
	b.result_bytes = MLK_PAYLOAD_MAX;
	for (i = 0; i < n + 1; i++)
		bench_result(&b, 1, "job", i, MLK_TASK_DONE, false);
	b.result_bytes = 0;
	bench_result(&b, 1, "job", i, MLK_TASK_DONE, false);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[n - 1].status, MLK_TASK_DONE);
	assert_int_equal(b.answer.tasks[n].status, MLK_TASK_FAILED);
	assert_int_equal(b.answer.tasks[n + 1].status, MLK_TASK_DONE);
	assert_memory_equal(b.answer.tasks[n].payload.data,
	    "the results of the job", strlen("the results of the job"));
}

/*
 * Guards against a START that is too large for one message when several large
 * tasks go to one agent.
 */
static void
test_start_size_limit(void **state)
{
	uint32_t n = MLK_JOB_BYTES_MAX / MLK_PAYLOAD_MAX;

	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 0, NULL);
	b.payload_bytes = MLK_PAYLOAD_MAX;
	bench_submit(&b, 1, "a", "x", n, 0);
	bench_submit(&b, 2, "b", "x", n, 0);
	bench_grant(&b, 1, 2 * n);
	assert_int_equal(b.started, 2 * n);
	assert_int_equal(b.sent[MLK_MSG_START], 2);
}

/*
 * Guards against a task that is retried without limit, and against retries of
 * a task that can never run.
 */
static void
test_retry_limit(void **state)
{
	int i;

	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_submit(&b, 1, "job", "x", 1, 0);
	for (i = 0; i < 8; i++) {
		bench_result(&b, 1, "job", 0, MLK_TASK_NOT_RUN, true);
		bench_run(&b, 100);
	}
	assert_int_equal(b.started, 5);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[0].status, MLK_TASK_NOT_RUN);
	bench_submit(&b, 2, "never", "x", 1, 0);
	bench_result(&b, 1, "never", 0, MLK_TASK_NOT_RUN, false);
	assert_int_equal(b.answer_request, 2);
	assert_int_equal(b.answer.tasks[0].status, MLK_TASK_FAILED);
}

/*
 * Guards against a forwarded request that is lost when the link to its owner
 * closes and another entry takes over.
 */
static void
test_forward_retry(void **state)
{
	struct mlk_msg m = { .type = MLK_MSG_FORWARD_REPLY };

	(void)state;
	bench_set_owner(&b, "e2");
	bench_connect_peer(&b, 1, "e2");
	bench_connect_peer(&b, 2, "e3");
	bench_run(&b, 100);
	bench_submit(&b, 1, "job", "x", 3, 0);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 1);
	assert_int_equal(b.sent_link[MLK_MSG_FORWARD], 1);
	assert_int_equal(b.forward_tasks, 3);
	bench_set_owner(&b, "e3");
	bench_link_down(&b, 1);
	bench_run(&b, 200);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 2);
	assert_int_equal(b.sent_link[MLK_MSG_FORWARD], 2);
	assert_int_equal(b.forward_tasks, 3);
	m.u.forward_reply.request = b.forward_request;
	m.u.forward_reply.answer.outcome = MLK_OUTCOME_COMPLETE;
	bench_msg(&b, 2, &m);
	assert_int_equal(b.answer_request, 1);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_COMPLETE);
	assert_int_equal(b.started, 0);
}

/*
 * Guards against an owner that keeps its partitions after another entry has
 * taken them over.
 */
static void
test_step_down(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	bench_submit(&b, 1, "job", "x", 3, 0);
	bench_set_owner(&b, "e2");
	bench_run(&b, 1100);
	assert_int_equal(bench_gauges(&b).partitions_owned, 0);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 1);
	assert_int_equal(b.forward_tasks, 3);
	assert_int_equal(b.forward_open_epoch, 1);
	assert_int_equal(b.answers, 0);
}

/*
 * Guards against answers that are based on the ownership from before a pause
 * of the process, during which another entry may have taken over.
 */
static void
test_requests_after_pause(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_LOOKUP };

	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	fake_sched_admit_error = MLK_ERR_UNAVAILABLE;
	bench_set_owner(&b, "e2");
	b.now += 10 * MLK_NSEC_PER_SEC;
	bench_submit(&b, 1, "job", "x", 3, 0);
	ev.u.lookup.request = 2;
	(void)snprintf(ev.u.lookup.id, sizeof(ev.u.lookup.id), "elsewhere");
	bench_event(&b, &ev);
	assert_int_equal(b.error_code, 0);
	assert_int_equal(b.answers, 0);
	bench_run(&b, 200);
	assert_int_equal(b.answers, 0);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 2);
}

/*
 * Guards against a configuration that is replaced by an older version from an
 * agent that is behind.
 */
static void
test_config_version_never_decreases(void **state)
{
	struct mlk_msg m = { .type = MLK_MSG_CONFIG };

	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_connect_agent(&b, 2, 1, 5, 1, NULL);
	m.u.config.version = 7;
	bench_msg(&b, 1, &m);
	assert_int_equal(bench_gauges(&b).config_version, 7);
	assert_int_equal(b.sent[MLK_MSG_CONFIG], 1);
	assert_int_equal(b.sent_link[MLK_MSG_CONFIG], 2);
	m.u.config.version = 6;
	bench_msg(&b, 1, &m);
	assert_int_equal(bench_gauges(&b).config_version, 7);
	memset(&m, 0, sizeof(m));
	m.type = MLK_MSG_HEARTBEAT;
	m.u.heartbeat.config_version = 6;
	bench_msg(&b, 1, &m);
	assert_int_equal(b.sent_link[MLK_MSG_CONFIG], 1);
}

/*
 * Fills in the confirmation of a plan that drains a worker, made on the given
 * base version.
 */
static void
make_drain_confirm(
    struct mlk_admin_request *admin, uint64_t version, const char *worker)
{
	struct mlk_config base = { .version = version };
	struct mlk_intent *intent = &admin->change.intent;
	struct mlk_plan *plan;
	struct mlk_error err;

	memset(admin, 0, sizeof(*admin));
	admin->type = MLK_ADMIN_CONFIRM;
	admin->base_version = version;
	intent->type = MLK_INTENT_DRAIN_WORKER;
	(void)snprintf(intent->subject, sizeof(intent->subject), "%s", worker);
	(void)snprintf(intent->author, sizeof(intent->author), "alice");
	assert_int_equal(
	    mlk_plan_create(&base, &admin->change, 0, &plan, &err), 0);
	admin->digest = plan->digest;
	mlk_plan_destroy(plan);
}

/*
 * Guards against a confirm that is applied twice after a lost reply of the
 * store, and against one whose base version is no longer current.
 */
static void
test_confirm(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_ADMIN };
	struct mlk_admin_request admin;

	(void)state;
	bench_run(&b, 100);
	make_drain_confirm(&admin, 0, "w1");
	ev.u.admin.request = 1;
	ev.u.admin.admin = &admin;
	b.lose_next_reply = true;
	b.lose_op_type = MLK_STORE_CONFIRM;
	bench_event(&b, &ev);
	assert_int_equal(b.admin_replies, 0);
	bench_run(&b, 500);
	assert_int_equal(b.admin_replies, 1);
	assert_int_equal(b.admin_code, MLK_OK);
	assert_int_equal(bench_gauges(&b).config_version, 1);
	bench_event(&b, &ev);
	assert_int_equal(b.admin_replies, 2);
	assert_int_equal(b.admin_code, MLK_OK);
	assert_int_equal(bench_gauges(&b).config_version, 1);
	make_drain_confirm(&admin, 0, "w2");
	bench_event(&b, &ev);
	assert_int_equal(b.admin_code, MLK_ERR_CONFLICT);
	assert_int_equal(bench_gauges(&b).config_version, 1);
}

/*
 * Guards against an audit record under a version other than its plan's, which
 * collides with the record of the next change, and against a repeated confirm
 * that is answered with the version of a later change.
 */
static void
test_consecutive_confirms(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_ADMIN };
	struct mlk_admin_request first, second;

	(void)state;
	bench_run(&b, 100);
	make_drain_confirm(&first, 0, "w1");
	ev.u.admin.request = 1;
	ev.u.admin.admin = &first;
	bench_event(&b, &ev);
	assert_int_equal(b.admin_version, 1);
	make_drain_confirm(&second, 1, "w2");
	ev.u.admin.admin = &second;
	bench_event(&b, &ev);
	assert_int_equal(b.admin_replies, 2);
	assert_int_equal(b.admin_code, MLK_OK);
	assert_int_equal(b.admin_version, 2);
	ev.u.admin.admin = &first;
	bench_event(&b, &ev);
	assert_int_equal(b.admin_code, MLK_OK);
	assert_int_equal(b.admin_version, 1);
	assert_int_equal(b.table.naudits, 2);
	assert_int_equal(b.audits[0].version, 1);
	assert_int_equal(b.audits[1].version, 2);
}

/*
 * Guards against a confirm that is refused as stale when the entry has not
 * read the newer version yet on which the plan was made.
 */
static void
test_confirm_at_outdated_entry(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_ADMIN };
	struct mlk_admin_request admin;

	(void)state;
	bench_run(&b, 100);
	b.table.config.version = 1;
	b.table.config_row_version++;
	b.audits[b.table.naudits++].version = 1;
	make_drain_confirm(&admin, 1, "w1");
	ev.u.admin.request = 1;
	ev.u.admin.admin = &admin;
	bench_event(&b, &ev);
	bench_run(&b, 2000);
	assert_int_equal(b.admin_replies, 1);
	assert_int_equal(b.admin_code, MLK_OK);
	assert_int_equal(b.admin_version, 2);
}

/* Sends a HEARTBEAT with the configuration version that the agent has. */
static void
send_config_version(uint32_t link, uint64_t config_version)
{
	struct mlk_msg m = { .type = MLK_MSG_HEARTBEAT };

	m.u.heartbeat.config_version = config_version;
	bench_msg(&b, link, &m);
}

/*
 * Guards against every entry sending a new configuration to every agent, and
 * against an agent that never gets it because the entry responsible for it
 * failed.
 */
static void
test_config_to_agents(void **state)
{
	struct mlk_msg m = { .type = MLK_MSG_CONFIG };
	uint32_t i, own_agents;

	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	for (i = 0; i < AGENTS; i++) {
		bench_hello(&b, 2 + i, i, 5);
	}
	m.u.config.version = 4;
	bench_msg(&b, 1, &m);
	own_agents = b.sent[MLK_MSG_CONFIG];
	assert_in_range(own_agents, 1, AGENTS - 1);
	for (i = 0; i < AGENTS; i++)
		send_config_version(2 + i, 4);
	assert_int_equal(b.sent[MLK_MSG_CONFIG], own_agents);
	for (i = 0; i < AGENTS; i++)
		send_config_version(2 + i, 3);
	assert_int_equal(b.sent[MLK_MSG_CONFIG], own_agents + AGENTS);
}

/*
 * Guards against a large configuration that is copied for all agents in one
 * event, which takes too much memory.
 */
static void
test_config_sent_in_batches(void **state)
{
	struct mlk_event tick = { .type = MLK_EV_TICK };
	struct mlk_msg m = { .type = MLK_MSG_CONFIG };
	uint32_t i;

	(void)state;
	bench_run(&b, 100);
	for (i = 0; i < MANY_AGENTS; i++)
		bench_hello(&b, 2 + i, i, 5);
	m.u.config.version = 4;
	bench_msg(&b, 2, &m);
	assert_int_equal(b.sent[MLK_MSG_CONFIG], 16);
	bench_event(&b, &tick);
	assert_int_equal(b.sent[MLK_MSG_CONFIG], 32);
	bench_event(&b, &tick);
	assert_int_equal(b.sent[MLK_MSG_CONFIG], MANY_AGENTS - 1);
}

/*
 * Guards against a stopping owner that hands over its partitions before the
 * table holds what only it knows about a restarted agent.  The next owner then
 * answered "not every agent is accounted for" until the retention period
 * ended.
 */
static void
test_stop_after_agent_restart(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_STOP };

	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	bench_connect_agent(&b, 2, 0, 5, 1, NULL);
	bench_run(&b, 1100);
	assert_int_equal(bench_gauges(&b).partitions_serving, MLK_PARTITIONS);
	bench_link_down(&b, 2);
	bench_set_agent_row(&b, 0, 6, 0);
	bench_event(&b, &ev);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS);
	bench_connect_agent(&b, 3, 0, 6, 1, NULL);
	bench_run(&b, 4000);
	assert_int_equal(b.agents[0].complete, UINT64_MAX);
	assert_int_equal(bench_gauges(&b).partitions_owned, 0);
}

/*
 * Guards against a planned stop that exits before a forwarded request is
 * answered.
 */
static void
test_planned_stop(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_STOP };
	struct mlk_msg m = { .type = MLK_MSG_FORWARD_REPLY };

	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	bench_connect_agent(&b, 2, 0, 5, 1, NULL);
	bench_submit(&b, 1, "job", "x", 2, 0);
	assert_int_equal(b.started, 1);
	bench_event(&b, &ev);
	assert_int_equal(b.sent[MLK_MSG_LEAVE], 2);
	assert_false(bench_gauges(&b).ready);
	assert_int_equal(bench_gauges(&b).partitions_owned, 0);
	assert_int_equal(b.table.ownership.part[0].owner[0], '\0');
	bench_set_owner(&b, "e2");
	bench_run(&b, 1100);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 1);
	assert_false(b.exited);
	m.u.forward_reply.request = b.forward_request;
	m.u.forward_reply.answer.outcome = MLK_OUTCOME_COMPLETE;
	bench_msg(&b, 1, &m);
	assert_int_equal(b.answers, 1);
	bench_run(&b, 200);
	assert_true(b.exited);
	assert_int_equal(b.removed_entries, 1);
}

/*
 * Guards against heartbeats at intervals longer than the lease when the entry
 * has many links.  The agents would take back their credits and close the
 * links.
 */
static void
test_heartbeats_within_lease(void **state)
{
	const uint32_t links = 1000;
	uint32_t i, before;

	(void)state;
	bench_run(&b, 100);
	for (i = 0; i < links; i++)
		bench_hello(&b, 100 + i, i, 5);
	bench_run(&b, 100);
	before = b.sent[MLK_MSG_HEARTBEAT];
	bench_run(&b, LEASE_MS - 300);
	assert_true(b.sent[MLK_MSG_HEARTBEAT] - before >= links);
}

#define ENTRY_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

/*
 * Guards against a forwarded request that is never answered: the peer has
 * already opened a newer link when the link that carried the request closes.
 */
static void
test_forward_link_replaced(void **state)
{
	(void)state;
	bench_set_owner(&b, "e0");
	bench_connect_peer(&b, 1, "e0");
	bench_run(&b, 100);
	bench_submit(&b, 1, "job", "x", 3, 0);
	assert_int_equal(b.sent_link[MLK_MSG_FORWARD], 1);
	bench_connect_peer(&b, 2, "e0");
	bench_link_down(&b, 1);
	bench_run(&b, 200);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 2);
	assert_int_equal(b.sent_link[MLK_MSG_FORWARD], 2);
	assert_int_equal(b.forward_tasks, 3);
}

/*
 * Guards against an exit without an answer to a request that arrives while the
 * entry removes its row.  The reply to the first removal is lost, so that the
 * removal is repeated.
 */
static void
test_stop_with_late_request(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_STOP };
	struct mlk_msg m = { .type = MLK_MSG_FORWARD_REPLY };

	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	b.lose_next_reply = true;
	b.lose_op_type = MLK_STORE_REMOVE_ENTRY;
	bench_event(&b, &ev);
	bench_set_owner(&b, "e2");
	while (b.removed_entries == 0)
		bench_run(&b, MLK_TICK_MS);
	bench_submit(&b, 1, "job", "x", 2, 0);
	while (b.removed_entries == 1)
		bench_run(&b, MLK_TICK_MS);
	bench_run(&b, 100);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 1);
	assert_false(b.exited);
	m.u.forward_reply.request = b.forward_request;
	m.u.forward_reply.epoch = b.table.ownership.part[0].epoch;
	m.u.forward_reply.answer.outcome = MLK_OUTCOME_COMPLETE;
	bench_msg(&b, 1, &m);
	assert_int_equal(b.answers, 1);
	bench_run(&b, 100);
	assert_true(b.exited);
}

/*
 * Guards against a planned stop that never ends while callers keep submitting.
 */
static void
test_stop_under_traffic(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_STOP };
	int i, errors;

	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	bench_event(&b, &ev);
	bench_set_owner(&b, "e2");
	for (i = 0; i < 60; i++) {
		bench_submit(&b, (uint64_t)i + 1, "job", "x", 1, 0);
		bench_run(&b, 100);
	}
	assert_true(b.sent[MLK_MSG_FORWARD] > 0);
	errors = b.errors;
	assert_true(errors > 0);
	bench_submit(&b, 100, "late", "x", 1, 0);
	assert_int_equal(b.errors, errors + 1);
	assert_int_equal(b.error_code, MLK_ERR_UNAVAILABLE);
}

/*
 * Guards against a planned stop that never ends because no peer takes over the
 * partitions.
 */
static void
test_stop_without_peers(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_STOP };

	(void)state;
	bench_run(&b, 100);
	bench_submit(&b, 1, "job", "x", 1, 0);
	bench_event(&b, &ev);
	bench_run(&b, 20000);
	assert_false(b.exited);
	bench_run(&b, 11000);
	assert_int_equal(b.answers + b.errors, 1);
	assert_true(b.exited);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		ENTRY_TEST(test_config_to_agents),
		ENTRY_TEST(test_config_sent_in_batches),
		ENTRY_TEST(test_fence_before_start),
		ENTRY_TEST(test_resubmission),
		ENTRY_TEST(test_recovery_from_record),
		ENTRY_TEST(test_unknown_until_agents_accounted),
		ENTRY_TEST(test_issued_id_starts),
		ENTRY_TEST(test_lost_agent_is_closed),
		ENTRY_TEST(test_start_lost_with_link),
		ENTRY_TEST(test_restarted_agent),
		ENTRY_TEST(test_index_of_lost_agent_saved),
		ENTRY_TEST(test_lost_store_answer),
		ENTRY_TEST(test_lost_close_answer),
		ENTRY_TEST(test_rebalance_and_takeover),
		ENTRY_TEST(test_cancel),
		ENTRY_TEST(test_deadline),
		ENTRY_TEST(test_refusal_is_confirmed),
		ENTRY_TEST(test_reclaim_always_answered),
		ENTRY_TEST(test_leave_sent_to_new_links),
		ENTRY_TEST(test_heartbeats_with_many_links),
		ENTRY_TEST(test_live_entries),
		ENTRY_TEST(test_job_size_limit),
		ENTRY_TEST(test_start_size_limit),
		ENTRY_TEST(test_retry_limit),
		ENTRY_TEST(test_forward_retry),
		ENTRY_TEST(test_step_down),
		ENTRY_TEST(test_requests_after_pause),
		ENTRY_TEST(test_config_version_never_decreases),
		ENTRY_TEST(test_confirm),
		ENTRY_TEST(test_consecutive_confirms),
		ENTRY_TEST(test_confirm_at_outdated_entry),
		ENTRY_TEST(test_planned_stop),
		ENTRY_TEST(test_stop_with_late_request),
		ENTRY_TEST(test_forward_link_replaced),
		ENTRY_TEST(test_stop_under_traffic),
		ENTRY_TEST(test_stop_after_agent_restart),
		ENTRY_TEST(test_heartbeats_within_lease),
		ENTRY_TEST(test_stop_without_peers),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
