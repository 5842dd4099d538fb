/*
 * Test bench for the entry reducer, used by test_entry.c and
 * test_entry_owner.c: feeds events to one entry under a simulated clock,
 * answers its store operations from a table in memory, and captures the effects
 * that the tests check.
 */
#ifndef TEST_ENTRY_BENCH_H
#define TEST_ENTRY_BENCH_H

#include <monsoonlock/core.h>

struct bench {
	struct mlk_entry *entry;
	int64_t now; /* monotonic, ns */
	int64_t wall; /* time_t */
	/* Set by a test before the calls that use them. */
	uint64_t incarnation; /* of the entry that bench_create() makes */
	uint64_t hello_first_incarnation; /* in HELLO; 0: the agent's current
					     incarnation */
	uint64_t link_incarnation[2048]; /* of the agent on each link */
	uint32_t open_epoch; /* sent by bench_forward() */
	uint32_t agent_epoch; /* sent by bench_query_reply() */
	uint64_t peer_incarnation; /* sent by bench_connect_peer() */
	bool store_down; /* store operations fail without an effect */
	bool lose_next_reply; /* the next operation of lose_op_type takes
				 effect, but its reply is lost */
	enum mlk_store_op_type lose_op_type;
	/* The table. */
	struct mlk_store_view table;
	struct mlk_entry_row entries[4];
	struct mlk_agent_row agents[4];
	struct mlk_claims_row claims[MLK_PARTITIONS];
	struct mlk_record_row record; /* saved by agent 0; n is 0: no row */
	uint32_t record_reads;
	uint32_t unconditional_polls; /* POLL without expect_unchanged */
	struct mlk_audit_record audits[4];
	/* Counters of store operations, since bench_open(). */
	uint32_t closes;
	uint32_t takeovers;
	uint32_t removed_entries;
	uint32_t removed_agents;
	bool exited;
	/* Fields of the last effect of each type, and counters of effects. */
	uint32_t answers;
	struct mlk_job_answer answer;
	bool answer_pending;
	uint64_t answer_request;
	int error_code;
	int errors;
	int admin_code;
	uint64_t admin_version;
	uint32_t admin_replies;
	uint32_t sent[MLK_MSG_TYPES];
	uint32_t sent_link[MLK_MSG_TYPES]; /* of the last message */
	uint32_t started; /* tasks in START messages */
	uint32_t start_epoch; /* of the last task in START */
	uint32_t result_bytes; /* of the payload sent by bench_result() */
	uint32_t payload_bytes; /* of each task in bench_submit() */
	uint32_t result_epoch; /* sent by bench_result(); 0: start_epoch */
	uint64_t forward_request; /* fields of the last FORWARD */
	uint32_t forward_tasks;
	uint32_t forward_open_epoch;
	bool reply_open; /* fields of the last FORWARD_REPLY */
	uint32_t reply_epoch;
	int reply_code;
	char ids[4][MLK_ID_MAX]; /* the first 4 of the last REPLY_IDS */
};

void bench_create(struct bench *b);
void bench_open(struct bench *b);
void bench_close(struct bench *b);
void bench_event(struct bench *b, struct mlk_event *ev);
void bench_run(struct bench *b, uint32_t ms);
void bench_msg(struct bench *b, uint32_t link, struct mlk_msg *msg);
void bench_set_agent_row(
    struct bench *b, uint32_t i, uint64_t incarnation, uint64_t complete);
void bench_hello(
    struct bench *b, uint32_t link, uint32_t i, uint64_t incarnation);
void bench_grant(struct bench *b, uint32_t link, uint32_t credits);
void bench_connect_agent(struct bench *b, uint32_t link, uint32_t i,
    uint64_t incarnation, uint32_t credits, const char *recorded_id);
void bench_fence_reply(
    struct bench *b, uint32_t link, uint64_t incarnation, const char *id);
void bench_connect_peer(struct bench *b, uint32_t link, const char *id);
void bench_set_owner(struct bench *b, const char *owner);
void bench_submit(struct bench *b, uint64_t request, const char *id,
    const char *body, uint32_t ntasks, uint32_t deadline_ms);
void bench_forward(
    struct bench *b, uint32_t link, const char *id, uint32_t ntasks);
void bench_result(struct bench *b, uint32_t link, const char *id,
    uint32_t index, enum mlk_task_status status, bool retryable);
void bench_query_reply(struct bench *b, uint32_t link, const char *id,
    enum mlk_task_status status);

struct mlk_entry_gauges bench_gauges(const struct bench *b);
void bench_link_down(struct bench *b, uint32_t link);
void bench_cancel(struct bench *b, uint64_t request, const char *id);

#endif
