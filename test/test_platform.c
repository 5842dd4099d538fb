/*
 * Tests of the platform library: each operation is encoded as JSON, applied to
 * the table of the stand-in platform, and its answer is decoded.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <monsoonlock/json.h>
#include <monsoonlock/platform.h>

#include "table.h"

static struct table *table;

static int
setup(void **state)
{
	(void)state;
	table = table_create();
	return (0);
}

static int
teardown(void **state)
{
	(void)state;
	table_destroy(table);
	return (0);
}

/*
 * Applies op to the table, fills *view from the answer and returns the status.
 */
static enum mlk_store_status
run(const struct mlk_store_op *op, struct mlk_store_view *view)
{
	enum mlk_store_status status;
	struct mlk_error err;
	json_t *txn, *answer;
	char *body, *text;

	assert_int_equal(mlk_platform_encode(op, &body, &err), 0);
	txn = table_parse(body, strlen(body));
	assert_non_null(txn);
	answer = table_apply(table, txn);
	text = json_dumps(answer, 0);
	assert_int_equal(mlk_platform_decode(op, 200, (const uint8_t *)text,
			     strlen(text), &status, view, &err),
	    0);
	free(text);
	free(body);
	json_decref(answer);
	json_decref(txn);
	return (status);
}

/*
 * As run(), without the view.
 */
static enum mlk_store_status
run_only(const struct mlk_store_op *op)
{
	enum mlk_store_status status;
	struct mlk_store_view view;

	status = run(op, &view);
	mlk_store_view_clear(&view);
	return (status);
}

static void
register_entry(const char *id)
{
	struct mlk_store_op op = { .type = MLK_STORE_REGISTER_ENTRY };

	(void)snprintf(op.entry.info.id, MLK_NAME_MAX, "%s", id);
	(void)snprintf(op.entry.info.addr, MLK_ADDR_MAX, "10.0.0.1:70");
	(void)snprintf(op.entry.info.dc, MLK_NAME_MAX, "north");
	op.entry.info.incarnation = 0xfedcba9876543210ULL;
	assert_int_equal(run_only(&op), MLK_STORE_OK);
}

static struct mlk_store_op
agent_op(uint64_t row_version, uint64_t complete)
{
	struct mlk_store_op op = { .type = MLK_STORE_REGISTER_AGENT };

	(void)snprintf(op.agent.id, MLK_NAME_MAX, "w1");
	(void)snprintf(op.agent.dc, MLK_NAME_MAX, "north");
	op.agent.incarnation = 0x8000000000000001ULL + row_version;
	op.agent.slots = 8;
	op.agent.row_version = row_version;
	op.agent.complete = complete;
	op.has_record = true;
	return (op);
}

/*
 * Guards against an entry that cannot tell rows that do not exist from rows
 * that were not read, and thus never learns that the table is empty.
 */
static void
test_poll_empty_table(void **state)
{
	struct mlk_store_op op = { .type = MLK_STORE_POLL };
	struct mlk_store_view view;

	(void)state;
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_true(view.has_ownership);
	assert_true(view.has_config);
	assert_int_equal(view.ownership.row_version, 0);
	assert_int_equal(view.config.version, 0);
	assert_int_equal(view.nentries, 0);
	mlk_store_view_clear(&view);
}

/*
 * Guards against a field of an entry that is lost in its row, and against the
 * removal of a row that another process has replaced in the meantime.
 */
static void
test_entry_row(void **state)
{
	struct mlk_store_op op = { .type = MLK_STORE_POLL };
	struct mlk_store_view view;

	(void)state;
	register_entry("e1");
	register_entry("e2");
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_int_equal(view.nentries, 2);
	assert_string_equal(view.entries[0].info.id, "e1");
	assert_string_equal(view.entries[0].info.addr, "10.0.0.1:70");
	assert_string_equal(view.entries[0].info.dc, "north");
	assert_true(view.entries[0].info.incarnation == 0xfedcba9876543210ULL);
	assert_int_equal(view.entries[0].row_version, 1);
	mlk_store_view_clear(&view);
	op.type = MLK_STORE_REMOVE_ENTRY;
	(void)snprintf(op.subject, MLK_NAME_MAX, "e1");
	op.entry.row_version = 2;
	assert_int_equal(run_only(&op), MLK_STORE_CONFLICT);
	op.entry.row_version = 1;
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_int_equal(view.nentries, 1);
	mlk_store_view_clear(&view);
	/* The new row must not repeat the version of the deleted one. */
	register_entry("e1");
	assert_int_equal(run_only(&op), MLK_STORE_CONFLICT);
}

/*
 * Guards against a complete mask other than the one that the reducer gave: a
 * record that is complete since a restart does not cover the starts that were
 * lost before it.
 */
static void
test_agent_registration(void **state)
{
	struct mlk_store_op op = agent_op(0, UINT64_MAX);
	struct mlk_store_view view;

	(void)state;
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_int_equal(view.nagents, 1);
	assert_true(view.agents[0].complete == UINT64_MAX);
	assert_int_equal(view.agents[0].slots, 8);
	assert_true(view.agents[0].incarnation == op.agent.incarnation);
	assert_true(view.has_ownership && view.has_config);
	mlk_store_view_clear(&view);
	assert_int_equal(run(&op, &view), MLK_STORE_CONFLICT);
	assert_int_equal(view.agents[0].row_version, 1);
	mlk_store_view_clear(&view);
	op = agent_op(1, 0);
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_true(view.agents[0].complete == 0);
	mlk_store_view_clear(&view);
	op = agent_op(2, 6);
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_true(view.agents[0].complete == 6);
	mlk_store_view_clear(&view);
	op.type = MLK_STORE_REMOVE_AGENT;
	(void)snprintf(op.subject, MLK_NAME_MAX, "w1");
	assert_int_equal(run_only(&op), MLK_STORE_CONFLICT);
	op.agent.row_version = 3;
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_int_equal(view.nagents, 0);
	mlk_store_view_clear(&view);
}

/*
 * Guards against two owners of a partition in the same epoch, when two entries
 * take it over at once, and against a new owner that misses rows.
 */
static void
test_takeover(void **state)
{
	struct mlk_store_op op = { .type = MLK_STORE_TAKEOVER };
	struct mlk_store_op agent = agent_op(0, UINT64_MAX);
	struct mlk_ownership map = { 0 };
	struct mlk_store_view view;

	(void)state;
	register_entry("e1");
	assert_int_equal(run_only(&agent), MLK_STORE_OK);
	map.part[63].epoch = UINT32_MAX;
	(void)snprintf(map.part[63].owner, MLK_NAME_MAX, "e1");
	map.part[63].incarnation = UINT64_MAX - 1;
	op.ownership = &map;
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_int_equal(view.ownership.row_version, 1);
	assert_true(view.ownership.part[63].epoch == UINT32_MAX);
	assert_string_equal(view.ownership.part[63].owner, "e1");
	assert_true(view.ownership.part[63].incarnation == UINT64_MAX - 1);
	assert_string_equal(view.ownership.part[0].owner, "");
	assert_int_equal(view.nentries, 1);
	assert_int_equal(view.nagents, 1);
	assert_true(view.has_config);
	mlk_store_view_clear(&view);
	(void)snprintf(map.part[63].owner, MLK_NAME_MAX, "e2");
	assert_int_equal(run(&op, &view), MLK_STORE_CONFLICT);
	assert_string_equal(view.ownership.part[63].owner, "e1");
	mlk_store_view_clear(&view);
}

/*
 * Guards against a change that an entry never sees, because its poll leaves out
 * the ownership and configuration rows while they have the known versions.
 */
static void
test_poll_unchanged(void **state)
{
	struct mlk_store_op op = { .type = MLK_STORE_POLL,
		.expect_unchanged = true };
	struct mlk_store_op takeover = { .type = MLK_STORE_TAKEOVER };
	struct mlk_ownership map = { 0 };
	struct mlk_store_view view;

	(void)state;
	register_entry("e1");
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_false(view.has_ownership);
	assert_false(view.has_config);
	assert_int_equal(view.nentries, 1);
	mlk_store_view_clear(&view);
	takeover.ownership = &map;
	assert_int_equal(run_only(&takeover), MLK_STORE_OK);
	assert_int_equal(run_only(&op), MLK_STORE_CONFLICT);
	op.known_ownership = 1;
	assert_int_equal(run_only(&op), MLK_STORE_OK);
	op.config_row_version = 1;
	assert_int_equal(run_only(&op), MLK_STORE_CONFLICT);
}

/*
 * Guards against a saved record that is not read back as it was written, that
 * overwrites the one of another process with the same id, or that remains when
 * its agent is removed.
 */
static void
test_saved_record(void **state)
{
	struct mlk_store_op op = { .type = MLK_STORE_LEAVE_AGENT };
	struct mlk_store_op agent = agent_op(0, UINT64_MAX);
	struct mlk_saved_hash hashes[3] = { { 0xfedcba98, 100 }, { 5, 100 },
		{ 6, 200 } };
	struct mlk_store_view view;
	int i;

	(void)state;
	assert_int_equal(run_only(&agent), MLK_STORE_OK);
	op.agent = agent.agent;
	op.agent.record_at = 200;
	(void)snprintf(op.record.id, MLK_NAME_MAX, "w1");
	op.record.n = 3;
	op.record.hashes = hashes;
	assert_int_equal(run_only(&op), MLK_STORE_CONFLICT);
	op.agent.row_version = 1;
	assert_int_equal(run_only(&op), MLK_STORE_OK);
	op.type = MLK_STORE_READ_RECORD;
	(void)snprintf(op.subject, MLK_NAME_MAX, "w1");
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_int_equal(view.nagents, 1);
	assert_int_equal(view.agents[0].record_at, 200);
	assert_true(view.has_record);
	assert_int_equal(view.record.n, 3);
	for (i = 0; i < 3; i++) {
		assert_int_equal(view.record.hashes[i].hash, hashes[i].hash);
		assert_int_equal(
		    view.record.hashes[i].saved_at, hashes[i].saved_at);
	}
	mlk_store_view_clear(&view);
	op.type = MLK_STORE_REMOVE_AGENT;
	op.agent.row_version = 2;
	assert_int_equal(run_only(&op), MLK_STORE_OK);
	op.type = MLK_STORE_READ_RECORD;
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_int_equal(view.nagents, 0);
	assert_false(view.has_record);
	mlk_store_view_clear(&view);
}

/*
 * Guards against an agent that is closed without saving the claims on its jobs,
 * or by an entry that no longer owns the partition.
 */
static void
test_close_agent(void **state)
{
	struct mlk_store_op op = { .type = MLK_STORE_CLOSE_AGENT };
	struct mlk_store_op agent = agent_op(0, UINT64_MAX);
	struct mlk_claim claim = { .key = mlk_key_from_id("job-1"),
		.saved_at = 1234 };
	struct mlk_claims_row row = {
		.partition = 5, .n = 1, .claims = &claim
	};
	struct mlk_ownership map = { .row_version = 7 };
	struct mlk_store_view view;

	(void)state;
	assert_int_equal(run_only(&agent), MLK_STORE_OK);
	op.agent = agent.agent;
	op.agent.row_version = 1;
	op.agent.complete = 1ULL << 63;
	op.agent.closed = 1ULL << 5;
	op.agent.closed_at = 1234;
	op.ownership = &map;
	op.nclaims = 1;
	op.claims = &row;
	assert_int_equal(run(&op, &view), MLK_STORE_CONFLICT);
	assert_int_equal(view.nclaims, 0);
	assert_true(view.agents[0].closed == 0);
	mlk_store_view_clear(&view);
	map.row_version = 0;
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_true(view.has_ownership);
	assert_true(view.agents[0].complete == 1ULL << 63);
	assert_true(view.agents[0].closed == 1ULL << 5);
	assert_int_equal(view.agents[0].closed_at, 1234);
	assert_int_equal(view.nclaims, 1);
	assert_int_equal(view.claims[0].partition, 5);
	assert_int_equal(view.claims[0].row_version, 1);
	assert_int_equal(view.claims[0].n, 1);
	assert_true(mlk_key_equal(view.claims[0].claims[0].key, claim.key));
	assert_int_equal(view.claims[0].claims[0].saved_at, 1234);
	mlk_store_view_clear(&view);
	/* Repeated after a lost answer: the rows show that it took effect. */
	assert_int_equal(run(&op, &view), MLK_STORE_CONFLICT);
	assert_true(view.agents[0].closed == 1ULL << 5);
	assert_int_equal(view.nclaims, 1);
	mlk_store_view_clear(&view);
}

static void
fill_confirm(struct mlk_store_op *op, struct mlk_intent *intent,
    uint64_t version, uint64_t row_version)
{
	memset(op, 0, sizeof(*op));
	op->type = MLK_STORE_CONFIRM;
	op->config_row_version = row_version;
	op->config.version = version;
	op->config.digest = mlk_key_from_id("plan");
	op->config.nintents = 1;
	op->config.intents = intent;
	op->audit.version = version;
	op->audit.digest = op->config.digest;
	op->audit.at = 99;
	op->audit.change.intent = *intent;
	(void)snprintf(op->audit.author, MLK_NAME_MAX, "ann");
	(void)snprintf(op->audit.summary, sizeof(op->audit.summary), "sum");
}

/*
 * Guards against a configuration that is written without its audit record or
 * over a newer one, and against a field that is lost in the rows.
 */
static void
test_confirm_and_audit(void **state)
{
	struct mlk_intent intent = { .id = "i1",
		.type = MLK_INTENT_PREFER_DC,
		.subject = "maps",
		.target = "south",
		.value = -7,
		.author = "ann",
		.reason = "rack \"3\" is hot",
		.created = 10,
		.expires = 20,
		.displaced = "i0" };
	struct mlk_store_view view;
	struct mlk_store_op op;
	uint64_t version;

	(void)state;
	for (version = 1; version <= 11; version++) {
		fill_confirm(&op, &intent, version, version - 1);
		assert_int_equal(run(&op, &view), MLK_STORE_OK);
		assert_int_equal(view.config_row_version, version);
		assert_memory_equal(
		    view.config.intents, &intent, sizeof(intent));
		assert_int_equal(view.naudits, 1);
		mlk_store_view_clear(&view);
	}
	assert_int_equal(run(&op, &view), MLK_STORE_CONFLICT);
	assert_int_equal(view.config.version, 11);
	assert_true(mlk_key_equal(view.config.digest, op.config.digest));
	mlk_store_view_clear(&view);
	op.type = MLK_STORE_AUDIT;
	assert_int_equal(run(&op, &view), MLK_STORE_OK);
	assert_int_equal(view.naudits, 11);
	assert_int_equal(view.audits[1].version, 2);
	assert_int_equal(view.audits[10].version, 11);
	assert_memory_equal(&view.audits[10], &op.audit, sizeof(op.audit));
	mlk_store_view_clear(&view);
}

/*
 * Guards against an answer that is malformed, missing or an error and counts as
 * definite: the transaction may have taken effect.
 */
static void
test_unreadable_answers(void **state)
{
	static const char *const bodies[] = { "", "{", "[]",
		"{\"committed\":true}", "{\"committed\":1,\"rows\":[]}",
		"{\"committed\":true,\"rows\":[{\"key\":\"config\"}]}",
		"{\"committed\":true,\"rows\":[{\"key\":\"ownership\","
		"\"version\":1,\"value\":{\"part\":[]}}]}",
		"{\"committed\":true,\"rows\":[{\"key\":\"agent/a\","
		"\"version\":1,\"value\":{\"complete\":5}}]}",
		"{\"committed\":true,\"rows\":[{\"key\":\"claims/1\","
		"\"version\":1,\"value\":{\"partition\":1,"
		"\"claims\":[{\"saved_at\":1}]}}]}" };
	struct mlk_store_op op = { .type = MLK_STORE_POLL };
	enum mlk_store_status status;
	struct mlk_store_view view;
	struct mlk_error err;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		assert_int_equal(
		    mlk_platform_decode(&op, 200, (const uint8_t *)bodies[i],
			strlen(bodies[i]), &status, &view, &err),
		    0);
		assert_int_equal(status, MLK_STORE_UNAVAILABLE);
		mlk_store_view_clear(&view);
	}
	assert_int_equal(
	    mlk_platform_decode(&op, 0, NULL, 0, &status, &view, &err), 0);
	assert_int_equal(status, MLK_STORE_UNAVAILABLE);
	assert_int_equal(
	    mlk_platform_decode(&op, 503, NULL, 0, &status, &view, &err), 0);
	assert_int_equal(status, MLK_STORE_UNAVAILABLE);
}

/*
 * Guards against a misspelt field of a change, such as its expiry, that is
 * ignored, and against a stored row that cannot be read because a later version
 * of the program added a field.
 */
static void
test_unknown_fields(void **state)
{
	static const char text[] =
	    "{\"version\":3,\"change\":{\"intent\":{\"type\":\"drain_dc\","
	    "\"subject\":\"a\",\"expire\":9}}}";
	struct mlk_audit_record audit;
	struct mlk_change change;
	struct mlk_error err;
	json_t *json;

	(void)state;
	json = json_loads(text, 0, NULL);
	assert_int_equal(
	    mlk_json_to_change(json_object_get(json, "change"), &change, &err),
	    MLK_ERR_INVALID);
	assert_non_null(strstr(err.msg, "expire"));
	assert_int_equal(mlk_json_to_audit(json, &audit, &err), 0);
	assert_int_equal(audit.version, 3);
	assert_string_equal(audit.change.intent.subject, "a");
	json_decref(json);
}

/*
 * Guards against a transaction that is sent without one of its rows, because
 * the row is missing or its text is not valid UTF-8.
 */
static void
test_unencodable_text(void **state)
{
	struct mlk_store_op op = { .type = MLK_STORE_TAKEOVER };
	struct mlk_ownership map = { 0 };
	struct mlk_error err;
	char *body;

	(void)state;
	assert_int_not_equal(mlk_platform_encode(&op, &body, &err), 0);
	(void)snprintf(map.part[9].owner, MLK_NAME_MAX, "\xff");
	op.ownership = &map;
	assert_int_not_equal(mlk_platform_encode(&op, &body, &err), 0);
	assert_null(body);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_poll_empty_table, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_entry_row, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_agent_registration, setup, teardown),
		cmocka_unit_test_setup_teardown(test_takeover, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_poll_unchanged, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_saved_record, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_close_agent, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_confirm_and_audit, setup, teardown),
		cmocka_unit_test(test_unreadable_answers),
		cmocka_unit_test(test_unencodable_text),
		cmocka_unit_test(test_unknown_fields),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
