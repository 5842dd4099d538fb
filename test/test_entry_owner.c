/*
 * Tests of the ownership and start protocol in the entry reducer
 * (docs/design.md, section 4), which entry_bench.h feeds with single events.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "entry_bench.h"
#include "fake_sched.h"

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
 * Guards against jobs that fail at a planned hand-over.  The previous owner
 * gave the job up unfinished (open), so tasks without a record may be started.
 */
static void
test_open_job_continues(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_peer(&b, 2, "e2");
	bench_connect_agent(&b, 1, 0, 5, 4, "job");
	b.open_epoch = 1;
	bench_forward(&b, 2, "job", 2);
	assert_int_equal(b.started, 0);
	bench_query_reply(&b, 1, "job", MLK_TASK_DONE);
	assert_int_equal(b.started, 1);
	/* Given up unfinished again; FORWARD_REPLY reports it as open. */
	bench_set_owner(&b, "e2");
	bench_run(&b, 1100);
	assert_int_equal(b.reply_code, MLK_ERR_UNAVAILABLE);
	assert_int_equal(b.reply_epoch, 2);
	assert_true(b.reply_open);
}

/*
 * Guards against a START of tasks of a job that was open at an epoch before
 * the previous one: an owner in between may have ended it.
 */
static void
test_open_job_of_older_epoch(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_owner(&b, "e3");
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_peer(&b, 2, "e2");
	bench_connect_agent(&b, 1, 0, 5, 4, "job");
	b.open_epoch = 1;
	bench_forward(&b, 2, "job", 2);
	bench_query_reply(&b, 1, "job", MLK_TASK_RUNNING);
	bench_run(&b, 200);
	assert_int_equal(b.started, 0);
	/* Rebuilt without being open, it is not open for the next owner. */
	bench_set_owner(&b, "e2");
	bench_run(&b, 1100);
	assert_int_equal(b.reply_code, MLK_ERR_UNAVAILABLE);
	assert_false(b.reply_open);
}

/*
 * Guards against a recovered job that is answered as failed although the
 * agents' records list every task and all are done.
 */
static void
test_recovery_of_complete_job(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 4, "job");
	bench_submit(&b, 1, "job", "x", 1, 0);
	bench_query_reply(&b, 1, "job", MLK_TASK_RUNNING);
	bench_result(&b, 1, "job", 0, MLK_TASK_DONE, false);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_COMPLETE);
	assert_int_equal(b.started, 0);
}

/*
 * Guards against the use of a record that another incarnation of the agent
 * sent: it does not show what the queried incarnation ran.
 */
static void
test_record_of_other_incarnation(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 4, "job");
	bench_submit(&b, 1, "job", "x", 1, 0);
	assert_int_equal(b.sent[MLK_MSG_QUERY], 1);
	b.link_incarnation[1] = 6;
	bench_query_reply(&b, 1, "job", MLK_TASK_QUEUED);
	assert_int_equal(b.started, 0);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	/* Nor does it show that a START in doubt was not run. */
	bench_submit(&b, 2, "new", "x", 1, 0);
	assert_int_equal(b.started, 1);
	bench_link_down(&b, 1);
	bench_connect_agent(&b, 2, 0, 5, 2, NULL);
	b.link_incarnation[2] = 6;
	bench_query_reply(&b, 2, "new", MLK_TASK_QUEUED);
	assert_int_equal(b.started, 1);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[0].status, MLK_TASK_UNKNOWN);
}

/* Returns whether the claims row of the partition holds the key. */
static bool
claim_saved(uint32_t partition, struct mlk_key key)
{
	const struct mlk_claims_row *row = &b.claims[partition];
	uint32_t i;

	for (i = 0; i < row->n; i++) {
		if (mlk_key_equal(row->claims[i].key, key))
			return (true);
	}
	return (false);
}

/*
 * Guards against claims that overwrite those in the table, and against saved
 * claims that lack the ids of the agent's index.
 */
static void
test_claims_are_merged(void **state)
{
	struct mlk_key job = mlk_key_from_id("job");
	struct mlk_key old = mlk_key_from_id("old");
	struct mlk_key prior = { .lo = job.lo, .hi = 1 };
	struct mlk_claim claim = { .key = prior, .saved_at = 1000000 };
	uint32_t p = mlk_key_partition(job);
	struct mlk_key hash = { .lo = mlk_key_partition(old) };

	(void)state;
	hash.hi = (uint64_t)mlk_key_hash32(old) << 32;
	b.claims[p].row_version = 1;
	b.claims[p].n = 1;
	b.claims[p].claims = calloc(1, sizeof(claim));
	b.claims[p].claims[0] = claim;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, "old");
	bench_submit(&b, 1, "job", "x", 1, 0);
	assert_int_equal(b.started, 1);
	bench_link_down(&b, 1);
	bench_run(&b, 4000);
	assert_int_equal(b.closes, 1);
	assert_true(claim_saved(p, prior));
	assert_true(claim_saved(p, job));
	assert_true(claim_saved(mlk_key_partition(old), hash));
	/* Claims are saved at a restart of the agent, too. */
	bench_set_agent_row(&b, 0, 6, 0);
	bench_connect_agent(&b, 2, 0, 6, 1, NULL);
	bench_submit(&b, 2, "new", "x", 1, 0);
	assert_int_equal(b.started, 2);
	bench_set_agent_row(&b, 0, 7, 0);
	bench_connect_agent(&b, 3, 0, 7, 1, NULL);
	bench_run(&b, 2000);
	assert_true(claim_saved(p, prior));
	assert_true(claim_saved(p, job));
	assert_true(claim_saved(mlk_key_partition(old), hash));
	job = mlk_key_from_id("new");
	assert_true(claim_saved(mlk_key_partition(job), job));
}

/*
 * Guards against polls that read every row each second, and against a change
 * of ownership that a conditional poll does not notice.
 */
static void
test_conditional_polls(void **state)
{
	(void)state;
	bench_run(&b, 3000);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS);
	b.unconditional_polls = 0;
	bench_run(&b, 5000);
	assert_int_equal(b.unconditional_polls, 0);
	bench_set_owner(&b, "e2");
	bench_run(&b, 1100);
	assert_int_equal(b.unconditional_polls, 1);
	assert_int_equal(bench_gauges(&b).partitions_owned, 0);
}

/*
 * Guards against an agent that made a planned stop between two owners and then
 * blocks the partitions until the retention period ends, and against a second
 * START of an id in its saved record.
 */
static void
test_saved_record(void **state)
{
	struct mlk_saved_hash hash = { .saved_at = 1000000 };

	(void)state;
	hash.hash = mlk_key_hash32(mlk_key_from_id("old"));
	b.record.n = 1;
	b.record.hashes = &hash;
	bench_set_agent_row(&b, 0, 6, UINT64_MAX);
	b.agents[0].record_at = 1000000;
	bench_set_owner(&b, "gone");
	b.store_down = true;
	bench_run(&b, 100);
	b.store_down = false;
	bench_run(&b, 2000);
	bench_connect_agent(&b, 1, 0, 6, 4, NULL);
	assert_int_equal(b.record_reads, 1);
	bench_submit(&b, 1, "old", "x", 1, 0);
	assert_int_equal(b.started, 0);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	bench_submit(&b, 2, "new", "x", 1, 0);
	assert_int_equal(b.started, 1);
	b.record.n = 0;
}

/*
 * Guards against a START before the agent's saved record was read: the record
 * may list the id.
 */
static void
test_saved_record_unread(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 6, UINT64_MAX);
	b.agents[0].record_at = 1000000;
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 6, 4, NULL);
	assert_true(b.record_reads > 0);
	bench_submit(&b, 1, "new", "x", 1, 0);
	assert_int_equal(b.started, 0);
	bench_run(&b, 4000);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
}

/*
 * Guards against a START to an agent incarnation that may be closed in the
 * table, because the reply to CLOSE_AGENT was lost.
 */
static void
test_no_work_while_closing(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_link_down(&b, 1);
	b.lose_next_reply = true;
	b.lose_op_type = MLK_STORE_CLOSE_AGENT;
	while (b.lose_next_reply)
		bench_run(&b, MLK_TICK_MS);
	assert_true(b.agents[0].closed == UINT64_MAX);
	b.store_down = true;
	bench_connect_agent(&b, 2, 0, 5, 4, NULL);
	bench_submit(&b, 1, "job", "x", 1, 0);
	assert_int_equal(b.sent[MLK_MSG_REREGISTER], 1);
	bench_run(&b, 2000);
	b.store_down = false;
	bench_run(&b, 2000);
	assert_int_equal(b.started, 0);
}

/*
 * Guards against a linked agent that another owner has closed and that is
 * never told to register again.
 */
static void
test_takeover_with_closed_agent(void **state)
{
	(void)state;
	bench_set_owner(&b, "e2");
	bench_connect_peer(&b, 2, "e2");
	bench_run(&b, 100);
	bench_hello(&b, 1, 0, 5);
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	b.agents[0].closed = UINT64_MAX;
	bench_link_down(&b, 2);
	bench_run(&b, 3000);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS);
	assert_int_equal(b.sent[MLK_MSG_REREGISTER], 1);
	bench_fence_reply(&b, 1, 5, NULL);
	bench_grant(&b, 1, 4);
	bench_submit(&b, 1, "job", "x", 1, 0);
	assert_int_equal(b.started, 0);
}

/*
 * Guards against refusals that become "unknown" while the store is down,
 * although an agent can confirm them, and against a refusal when the agent has
 * seen a higher epoch.
 */
static void
test_refusal_without_store(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	b.store_down = true;
	bench_run(&b, 1200);
	fake_sched_admit_error = MLK_ERR_UNAVAILABLE;
	bench_submit(&b, 1, "a", "x", 1, 0);
	bench_run(&b, 100);
	assert_int_equal(b.answers, 0);
	assert_int_equal(b.sent[MLK_MSG_QUERY], 1);
	b.agent_epoch = 1;
	bench_query_reply(&b, 1, "a", MLK_TASK_QUEUED);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_REFUSED);
	assert_int_equal(b.answer.retry_after_ms, 700);
	bench_submit(&b, 2, "b", "x", 1, 0);
	b.agent_epoch = 2;
	bench_query_reply(&b, 1, "b", MLK_TASK_QUEUED);
	assert_int_equal(b.answer_request, 2);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	/* The wait for an agent that does not answer is limited. */
	bench_submit(&b, 3, "c", "x", 1, 0);
	bench_run(&b, 1500);
	assert_int_equal(b.answer_request, 3);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	fake_sched_admit_error = 0;
	bench_submit(&b, 4, "d", "x", 1, 0);
	assert_int_equal(b.started, 1);
}

/*
 * Guards against a refusal that a leaving agent confirms: its saved record
 * lets another owner start the id without asking the agent.
 */
static void
test_no_refusal_by_leaving_agent(void **state)
{
	struct mlk_msg leave = { .type = MLK_MSG_LEAVE };

	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	b.store_down = true;
	bench_run(&b, 1200);
	fake_sched_admit_error = MLK_ERR_UNAVAILABLE;
	bench_submit(&b, 1, "a", "x", 1, 0);
	bench_run(&b, 100);
	assert_int_equal(b.sent[MLK_MSG_QUERY], 1);
	bench_msg(&b, 1, &leave);
	b.agent_epoch = 1;
	bench_query_reply(&b, 1, "a", MLK_TASK_QUEUED);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	bench_submit(&b, 2, "b", "x", 1, 0);
	bench_run(&b, 1500);
	assert_int_equal(b.sent[MLK_MSG_QUERY], 1);
	assert_int_equal(b.answer_request, 2);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
	fake_sched_admit_error = 0;
}

/*
 * Guards against a second START of an id that was issued at a later epoch than
 * that of this owner.
 */
static void
test_id_issued_by_later_owner(void **state)
{
	char id[MLK_ID_MAX];
	uint32_t n = 0;

	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	do {
		(void)snprintf(id, sizeof(id), "i-3-9-e2-%u", ++n);
	} while (mlk_key_partition(mlk_key_from_id(id)) != 3);
	bench_submit(&b, 1, id, "x", 1, 0);
	bench_run(&b, 4000);
	assert_int_equal(b.started, 0);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_UNKNOWN);
}

/*
 * Guards against a repeated answer "not run" for a job that a new owner may
 * have started in the meantime.
 */
static void
test_ended_job_confirmed_again(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	bench_submit(&b, 1, "job", "x", 2, 0);
	bench_cancel(&b, 2, "job");
	bench_run(&b, 200);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_REFUSED);
	assert_int_equal(b.answers, 2);
	bench_submit(&b, 3, "job", "x", 2, 0);
	assert_int_equal(b.answers, 2);
	bench_run(&b, 200);
	assert_int_equal(b.answers, 3);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_REFUSED);
	bench_run(&b, 400);
	bench_set_owner(&b, "e2");
	bench_submit(&b, 4, "job", "x", 2, 0);
	bench_run(&b, 200);
	assert_int_equal(b.answers, 3);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 1);
}

/*
 * Guards against a recovered task that is waited for without limit after it
 * has disappeared from the agent's record.
 */
static void
test_missing_record(void **state)
{
	(void)state;
	bench_set_agent_row(&b, 0, 5, UINT64_MAX);
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 4, "job");
	bench_submit(&b, 1, "job", "x", 1, 0);
	bench_query_reply(&b, 1, "job", MLK_TASK_RUNNING);
	bench_run(&b, 1200);
	assert_int_equal(b.sent[MLK_MSG_QUERY], 2);
	bench_query_reply(&b, 1, "job", MLK_TASK_QUEUED);
	assert_int_equal(b.answers, 1);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_FAILED);
	assert_int_equal(b.answer.tasks[0].status, MLK_TASK_UNKNOWN);
	assert_int_equal(b.started, 0);
}

/*
 * Guards against the removal of the row of an agent that another owner has not
 * closed: the next owner would count the agent as accounted for.
 */
static void
test_row_of_agent_in_use_kept(void **state)
{
	uint32_t i;

	(void)state;
	for (i = 0; i < 4; i++) {
		bench_set_agent_row(&b, i, 5, UINT64_MAX);
		b.agents[i].closed = 1;
		b.agents[i].closed_at = b.wall - 2000;
	}
	bench_run(&b, 5000);
	assert_int_equal(b.removed_agents, 0);
	for (i = 0; i < 4; i++)
		b.agents[i].closed = UINT64_MAX;
	bench_set_owner(&b, "gone");
	bench_run(&b, 12000);
	assert_true(b.removed_agents > 0);
}

/*
 * Guards against a NOT_RUN that answers the START of an earlier epoch and is
 * taken for the answer to the current one.
 */
static void
test_not_run_of_earlier_epoch(void **state)
{
	(void)state;
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_submit(&b, 1, "job", "x", 1, 0);
	assert_int_equal(b.started, 1);
	assert_int_equal(b.start_epoch, 2);
	b.result_epoch = 1;
	bench_result(&b, 1, "job", 0, MLK_TASK_NOT_RUN, true);
	assert_int_equal(b.started, 1);
	b.result_epoch = 2;
	bench_result(&b, 1, "job", 0, MLK_TASK_NOT_RUN, true);
	assert_int_equal(b.started, 2);
}

/* Submits a job that the peer e2 on link 1 owns; e3 is connected on link 2. */
static void
forward_job(void)
{
	bench_set_owner(&b, "e2");
	bench_connect_peer(&b, 1, "e2");
	bench_connect_peer(&b, 2, "e3");
	bench_run(&b, 100);
	bench_submit(&b, 1, "job", "x", 1, 0);
}

/*
 * Guards against an open job that the next owner does not continue, because
 * the request is forwarded without the epoch at which the job was given up.
 */
static void
test_open_epoch_is_forwarded(void **state)
{
	struct mlk_msg m = { .type = MLK_MSG_FORWARD_REPLY };

	(void)state;
	forward_job();
	bench_set_owner(&b, "e3");
	m.u.forward_reply.request = b.forward_request;
	m.u.forward_reply.epoch = 1;
	m.u.forward_reply.open = 1;
	m.u.forward_reply.code = MLK_ERR_UNAVAILABLE;
	bench_msg(&b, 1, &m);
	bench_run(&b, 200);
	assert_int_equal(b.sent_link[MLK_MSG_FORWARD], 2);
	assert_int_equal(b.forward_open_epoch, 1);
}

/*
 * Guards against the answer "not run" from an owner that another entry has
 * replaced.
 */
static void
test_reply_of_superseded_owner(void **state)
{
	struct mlk_msg m = { .type = MLK_MSG_FORWARD_REPLY };

	(void)state;
	forward_job();
	assert_int_equal(b.sent_link[MLK_MSG_FORWARD], 1);
	bench_set_owner(&b, "e3");
	bench_run(&b, 1100);
	m.u.forward_reply.request = b.forward_request;
	m.u.forward_reply.epoch = 1;
	m.u.forward_reply.answer.outcome = MLK_OUTCOME_REFUSED;
	bench_msg(&b, 1, &m);
	assert_int_equal(b.answers, 0);
	bench_run(&b, 200);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 2);
	assert_int_equal(b.sent_link[MLK_MSG_FORWARD], 2);
	assert_int_equal(b.forward_open_epoch, 0);
	m.u.forward_reply.epoch = 2;
	bench_msg(&b, 2, &m);
	assert_int_equal(b.answers, 1);
}

/*
 * Guards against a FORWARD_REPLY without the epoch at which the answer holds.
 */
static void
test_reply_contains_epoch(void **state)
{
	(void)state;
	bench_set_owner(&b, "gone");
	bench_run(&b, 100);
	bench_connect_peer(&b, 2, "e2");
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_forward(&b, 2, "job", 1);
	assert_int_equal(b.started, 1);
	bench_result(&b, 1, "job", 0, MLK_TASK_DONE, false);
	assert_int_equal(b.sent[MLK_MSG_FORWARD_REPLY], 1);
	assert_int_equal(b.reply_epoch, 2);
}

/*
 * Guards against a restarted entry that keeps the epoch of its previous
 * incarnation instead of taking over at a higher one.
 */
static void
test_restarted_entry(void **state)
{
	(void)state;
	bench_run(&b, 100);
	assert_int_equal(b.table.ownership.part[0].epoch, 1);
	assert_int_equal(b.table.ownership.part[0].incarnation, 11);
	mlk_entry_destroy(b.entry);
	b.incarnation = 12;
	bench_create(&b);
	bench_run(&b, 100);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS);
	assert_int_equal(b.table.ownership.part[0].epoch, 2);
	assert_int_equal(b.table.ownership.part[0].incarnation, 12);
	/* Another process with the same id owns the partition at that epoch. */
	b.table.ownership.part[0].incarnation = 13;
	b.table.ownership.row_version++;
	bench_run(&b, 1100);
	assert_int_equal(bench_gauges(&b).partitions_owned, MLK_PARTITIONS - 1);
}

/*
 * Guards against partitions that stay with a previous incarnation of a peer,
 * which no longer runs.
 */
static void
test_restarted_peer_is_not_owner(void **state)
{
	uint32_t p;

	(void)state;
	bench_set_owner(&b, "e2");
	b.peer_incarnation = 2;
	bench_connect_peer(&b, 1, "e2");
	bench_run(&b, 1000);
	assert_in_range(bench_gauges(&b).partitions_owned, 16, 48);
	bench_submit(&b, 1, "job", "x", 1, 0);
	bench_submit(&b, 2, "job2", "x", 1, 0);
	bench_submit(&b, 3, "job3", "x", 1, 0);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 0);
	bench_run(&b, 3000);
	for (p = 0; p < MLK_PARTITIONS; p++)
		assert_string_not_equal(b.table.ownership.part[p].owner, "e2");
}

/*
 * Guards against answers that are based on outdated ownership after a pause
 * shorter than the lease but long enough for the peers to take over.
 */
static void
test_request_after_short_pause(void **state)
{
	struct mlk_event ev = { .type = MLK_EV_LOOKUP };

	(void)state;
	bench_run(&b, 100);
	bench_connect_peer(&b, 1, "e2");
	bench_set_owner(&b, "e2");
	b.now += 2 * MLK_NSEC_PER_SEC;
	ev.u.lookup.request = 1;
	(void)snprintf(ev.u.lookup.id, sizeof(ev.u.lookup.id), "elsewhere");
	bench_event(&b, &ev);
	assert_int_equal(b.error_code, 0);
	bench_run(&b, 200);
	assert_int_equal(b.sent[MLK_MSG_FORWARD], 1);
}

#define ENTRY_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

/*
 * Guards against running tasks that are reported as unknown when their agent
 * has registered again for another entry: the process and its record are still
 * the same.
 */
static void
test_agent_reregisters(void **state)
{
	(void)state;
	bench_run(&b, 100);
	bench_connect_agent(&b, 1, 0, 5, 1, NULL);
	bench_submit(&b, 1, "job", "x", 1, 0);
	assert_int_equal(b.started, 1);
	bench_link_down(&b, 1);
	b.hello_first_incarnation = 5;
	bench_connect_agent(&b, 2, 0, 6, 0, NULL);
	bench_run(&b, 100);
	assert_int_equal(b.answers, 0);
	assert_int_equal(mlk_entry_counters(b.entry)->tasks_unknown, 0);
	bench_result(&b, 2, "job", 0, MLK_TASK_DONE, false);
	assert_int_equal(b.answers, 1);
	assert_int_equal(b.answer.outcome, MLK_OUTCOME_COMPLETE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		ENTRY_TEST(test_open_job_continues),
		ENTRY_TEST(test_open_job_of_older_epoch),
		ENTRY_TEST(test_recovery_of_complete_job),
		ENTRY_TEST(test_record_of_other_incarnation),
		ENTRY_TEST(test_claims_are_merged),
		ENTRY_TEST(test_conditional_polls),
		ENTRY_TEST(test_saved_record),
		ENTRY_TEST(test_saved_record_unread),
		ENTRY_TEST(test_no_work_while_closing),
		ENTRY_TEST(test_takeover_with_closed_agent),
		ENTRY_TEST(test_refusal_without_store),
		ENTRY_TEST(test_no_refusal_by_leaving_agent),
		ENTRY_TEST(test_id_issued_by_later_owner),
		ENTRY_TEST(test_ended_job_confirmed_again),
		ENTRY_TEST(test_missing_record),
		ENTRY_TEST(test_row_of_agent_in_use_kept),
		ENTRY_TEST(test_not_run_of_earlier_epoch),
		ENTRY_TEST(test_open_epoch_is_forwarded),
		ENTRY_TEST(test_reply_of_superseded_owner),
		ENTRY_TEST(test_reply_contains_epoch),
		ENTRY_TEST(test_restarted_entry),
		ENTRY_TEST(test_restarted_peer_is_not_owner),
		ENTRY_TEST(test_request_after_short_pause),
		ENTRY_TEST(test_agent_reregisters),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
