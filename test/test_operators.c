/*
 * Operators' requests to a deployment: plans, confirms, the audit trail, the
 * distribution of configuration versions, draining and planned stops.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "operators_bench.h"

#define CALL_TIMEOUT_S 5
#define CONFIRM_TIMEOUT_S 15 /* an entry answers within about 12 s */
#define SHORT_TIMEOUT_S 1 /* below the time-out of an entry for the store */
#define DRAIN_LIMIT_US 2000000 /* target: no new tasks after 2 s */
#define OBSERVE_US 1000000 /* in which no task may start */
#define LOAD_WARM_US 600000
#define STORE_POLL_US 1200000 /* longer than the store poll of an entry */
#define TASK_MS 150
#define LEAVE_TASK_MS 700 /* long enough to run when the agent stops */
#define STOP_TIMEOUT_MS 10000
#define SERVED_AGAIN_US 3000000 /* target for partitions: 3 s */
#define CHANGE_PAUSE_US 50000
#define SAMPLE_PAUSE_US 5000
#define US_PER_MS 1000LL
#define PROCESSES_MAX 32

static void
control_platform(const char *body)
{
	struct mlk_error err;

	assert_int_equal(
	    mlk_deploy_control(ops_deploy, "platform", body, &err), 0);
}

/* Guards against a plan that takes effect, or is in the audit trail, before it
 * is confirmed. */
static void
test_plan_has_no_effect(void **state)
{
	const struct mlk_deploy_process *p;
	struct ops_plan plan;
	uint64_t before = ops_config_version("entry-1");
	uint32_t i;

	(void)state;
	ops_plan(OPS_ALICE, "entry-1", "drain_dc", "dc-1", 0, &plan);
	assert_int_equal(plan.base, before);
	g_usleep(STORE_POLL_US);
	for (i = 0; i < mlk_deploy_count(ops_deploy); i++) {
		p = mlk_deploy_at(ops_deploy, i);
		if (p->role < MLK_DEPLOY_AGENT)
			continue;
		assert_int_equal(ops_config_version(p->name), before);
	}
	assert_int_equal(ops_audit_records("entry-2", plan.digest), 0);
	ops_plan_clear(&plan);
}

/*
 * Guards against a confirmed version that does not reach all processes, and
 * against a repeated confirm that creates another version or audit record, also
 * after later changes and at another entry.
 */
static void
test_confirm_everywhere(void **state)
{
	struct ops_plan first, second;
	uint64_t version;

	(void)state;
	ops_plan(OPS_ALICE, "entry-1", "team_weight", "booking", 200, &first);
	version = ops_confirm_ok("entry-1", &first);
	assert_int_equal(version, first.base + 1);
	ops_wait_version(version, OPS_WAIT_MS);
	assert_int_equal(ops_confirm_ok("entry-1", &first), version);
	ops_plan(OPS_ALICE, "entry-2", "team_weight", "reprint", 300, &second);
	assert_int_equal(ops_confirm_ok("entry-2", &second), version + 1);
	ops_wait_version(version + 1, OPS_WAIT_MS);
	assert_int_equal(ops_confirm_ok("entry-3", &first), version);
	assert_int_equal(ops_confirm_ok("entry-1", &first), version);
	assert_int_equal(ops_audit_records("entry-3", first.digest), 1);
	assert_int_equal(ops_audit_records("entry-3", second.digest), 1);
	ops_plan_clear(&first);
	ops_plan_clear(&second);
}

struct confirmer {
	const char *token;
	const char *entry;
	struct ops_plan plan;
	int status;
	json_t *answer;
};

static gpointer
run_confirmer(gpointer arg)
{
	struct confirmer *r = arg;

	r->status = ops_confirm(
	    r->token, r->entry, &r->plan, CONFIRM_TIMEOUT_S, &r->answer);
	return (NULL);
}

/*
 * Confirms the new plan that came with a 409.
 */
static void
confirm_new_plan(struct confirmer *r)
{
	struct ops_plan again;
	json_t *answer;

	ops_plan_read(json_object_get(r->answer, "plan"), &again);
	assert_int_equal(
	    ops_confirm(r->token, r->entry, &again, CONFIRM_TIMEOUT_S, &answer),
	    200);
	assert_int_equal(ops_version(answer), r->plan.base + 2);
	json_decref(answer);
	ops_plan_clear(&again);
}

/*
 * Two operators confirm plans on the same base version at once.  Guards against
 * both being accepted, against a change that is lost or overwrites the other,
 * and against a 409 without a plan that can be confirmed.
 */
static void
test_race(void **state)
{
	struct confirmer r[2] = {
		{ .token = OPS_ALICE, .entry = "entry-1" },
		{ .token = OPS_BOB, .entry = "entry-2" },
	};
	GThread *threads[2];
	json_t *plan;
	int i, loser;

	(void)state;
	ops_plan(r[0].token, r[0].entry, "team_quota", "red", 500, &r[0].plan);
	ops_plan(r[1].token, r[1].entry, "team_quota", "blue", 400, &r[1].plan);
	assert_int_equal(r[0].plan.base, r[1].plan.base);
	for (i = 0; i < 2; i++)
		threads[i] = g_thread_new("confirmer", run_confirmer, &r[i]);
	for (i = 0; i < 2; i++)
		(void)g_thread_join(threads[i]);
	loser = r[0].status == 200 ? 1 : 0;
	assert_int_equal(r[1 - loser].status, 200);
	assert_int_equal(r[loser].status, 409);
	plan = json_object_get(r[loser].answer, "plan");
	assert_non_null(plan);
	assert_int_equal(
	    json_integer_value(json_object_get(plan, "base_version")),
	    r[loser].plan.base + 1);
	ops_wait_version(r[loser].plan.base + 1, OPS_WAIT_MS);
	assert_int_equal(
	    ops_audit_records("entry-3", r[1 - loser].plan.digest), 1);
	assert_int_equal(ops_audit_records("entry-3", r[loser].plan.digest), 0);
	confirm_new_plan(&r[loser]);
	for (i = 0; i < 2; i++) {
		json_decref(r[i].answer);
		ops_plan_clear(&r[i].plan);
	}
}

/*
 * Guards against a confirm that hangs or fails without a reason while the table
 * service is down, and against a change that is in force without an audit
 * record afterwards, or the reverse.
 */
static void
test_store_down_at_confirm(void **state)
{
	struct ops_plan plan;
	json_t *answer;
	const char *text;
	uint64_t version;
	uint32_t audits;

	(void)state;
	ops_plan(OPS_ALICE, "entry-1", "kind_urgency", "stamp", 2, &plan);
	control_platform("mode=down");
	assert_int_equal(ops_confirm(OPS_ALICE, "entry-1", &plan,
			     CONFIRM_TIMEOUT_S, &answer),
	    503);
	text = json_string_value(
	    json_object_get(json_object_get(answer, "error"), "message"));
	assert_non_null(text);
	assert_non_null(strstr(text, "table service is unavailable"));
	json_decref(answer);
	control_platform("mode=up");
	audits = ops_audit_records("entry-2", plan.digest);
	version = ops_config_version("entry-2");
	assert_int_equal(version, plan.base + audits);
	assert_int_equal(ops_confirm_ok("entry-1", &plan), plan.base + 1);
	assert_int_equal(ops_audit_records("entry-2", plan.digest), 1);
	ops_wait_version(plan.base + 1, OPS_WAIT_MS);
	ops_plan_clear(&plan);
}

/*
 * Guards against a change that is applied twice: the store's answer to the
 * write is lost, and the operator repeats the confirm.
 */
static void
test_lost_answer(void **state)
{
	struct ops_plan plan;

	(void)state;
	ops_plan(OPS_ALICE, "entry-1", "kind_urgency", "sheet", 0, &plan);
	control_platform("mode=lose-writes");
	assert_int_equal(
	    ops_confirm(OPS_ALICE, "entry-1", &plan, SHORT_TIMEOUT_S, NULL), 0);
	assert_int_equal(ops_audit_records("entry-2", plan.digest), 1);
	assert_int_equal(ops_confirm_ok("entry-1", &plan), plan.base + 1);
	control_platform("mode=up");
	assert_int_equal(ops_confirm_ok("entry-2", &plan), plan.base + 1);
	assert_int_equal(ops_audit_records("entry-3", plan.digest), 1);
	ops_wait_version(plan.base + 1, OPS_WAIT_MS);
	ops_plan_clear(&plan);
}

/*
 * Guards against a confirmed version that reaches other processes only through
 * the table service, which is down.
 */
static void
test_store_down_after_confirm(void **state)
{
	struct ops_plan plan;
	uint64_t version;

	(void)state;
	ops_plan(OPS_ALICE, "entry-2", "long_cap", "", 400, &plan);
	version = ops_confirm_ok("entry-2", &plan);
	control_platform("mode=down");
	ops_wait_version(version, OPS_WAIT_MS);
	control_platform("mode=up");
	ops_plan_clear(&plan);
}

/* ---- replaced processes ---------------------------------------------- */

struct config_writer {
	gint stop;
	gint accepted;
	gint refused;
};

/*
 * Confirms one change after another, at entries that may be restarting.
 */
static gpointer
run_config_writer(gpointer arg)
{
	struct config_writer *c = arg;
	struct ops_plan plan;
	json_t *answer;
	char path[64], entry[16], *text;
	uint32_t n = 0;
	int status;

	while (g_atomic_int_get(&c->stop) == 0) {
		(void)snprintf(entry, sizeof(entry), "entry-%u", n % 3 + 1);
		text = g_strdup_printf(
		    "{\"change\":{\"remove\":false,\"intent\":{\"type\":"
		    "\"long_cap\",\"value\":%u}}}",
		    300 + n++ % 500);
		(void)snprintf(path, sizeof(path), "/v1/plans");
		status = ops_call(OPS_ALICE, entry, "POST", path, text,
		    CALL_TIMEOUT_S, &answer);
		g_free(text);
		if (status == 200) {
			ops_plan_read(answer, &plan);
			status = ops_confirm(
			    OPS_ALICE, entry, &plan, CALL_TIMEOUT_S, NULL);
			ops_plan_clear(&plan);
		}
		json_decref(answer);
		(void)g_atomic_int_add(
		    status == 200 ? &c->accepted : &c->refused, 1);
		g_usleep(CHANGE_PAUSE_US);
	}
	return (NULL);
}

/*
 * Reads the version that each ready process serves, and asserts that it is not
 * lower than before, also after a restart.
 */
static void
sample_versions(uint64_t served[PROCESSES_MAX])
{
	const struct mlk_deploy_process *p;
	uint64_t version;
	uint32_t i;

	for (i = 0; i < mlk_deploy_count(ops_deploy); i++) {
		p = mlk_deploy_at(ops_deploy, i);
		if (p->role < MLK_DEPLOY_AGENT || p->pid == 0 ||
		    ops_call(NULL, p->name, "GET", "/readyz", NULL, 1, NULL) !=
			200 ||
		    ops_metric(p->name, "config_version", &version) != 0)
			continue;
		if (version < served[i])
			fail_msg("%s serves version %u after %u", p->name,
			    (unsigned int)version, (unsigned int)served[i]);
		served[i] = version;
	}
}

/*
 * Restarts a process as planned, and samples versions until it is ready again.
 */
static void
restart_sampled(const char *name, uint64_t served[PROCESSES_MAX])
{
	struct mlk_deploy_process *p = mlk_deploy_find(ops_deploy, name);
	gint64 end = g_get_monotonic_time() + STOP_TIMEOUT_MS * US_PER_MS;
	uint32_t starts = p->starts;
	struct mlk_error err;

	assert_int_equal(mlk_deploy_restart(ops_deploy, name, &err), 0);
	while (p->starts == starts || p->pid == 0 ||
	    ops_call(NULL, name, "GET", "/readyz", NULL, 1, NULL) != 200) {
		assert_int_equal(mlk_deploy_poll(ops_deploy, &err), 0);
		sample_versions(served);
		if (g_get_monotonic_time() > end)
			fail_msg("%s is not back", name);
		g_usleep(SAMPLE_PAUSE_US);
	}
	sample_versions(served);
}

/*
 * Restarts all processes while the configuration changes.  Guards against a
 * process that serves a lower version than before its restart, and against
 * versions that do not reach it.
 */
static void
test_replaced_while_spreading(void **state)
{
	static const char *const names[] = { "entry-1", "agent-1", "entry-2",
		"agent-2", "entry-3", "agent-3", "agent-4" };
	uint64_t served[PROCESSES_MAX] = { 0 };
	struct config_writer c = { 0 };
	GThread *thread;
	size_t i;

	(void)state;
	thread = g_thread_new("config writer", run_config_writer, &c);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		restart_sampled(names[i], served);
	g_atomic_int_set(&c.stop, 1);
	(void)g_thread_join(thread);
	print_message("%d changes accepted, %d not\n", c.accepted, c.refused);
	assert_true(c.accepted > (int)G_N_ELEMENTS(names));
	ops_wait_version(ops_audit_count("entry-1"), OPS_WAIT_MS);
}

/* ---- draining and leaving -------------------------------------------- */

/*
 * Guards against tasks that start at a drained worker later than 2 s after the
 * confirm, and against jobs that the drain aborts.
 */
static void
test_drain_under_load(void **state)
{
	struct ops_plan plan;
	uint64_t version;
	uint32_t before, at_limit;
	char id[MLK_NAME_MAX];

	(void)state;
	ops_load_begin(TASK_MS);
	g_usleep(LOAD_WARM_US);
	before = ops_starts("endpoint-1");
	ops_plan(OPS_ALICE, "entry-1", "drain_worker", "agent-1", 0, &plan);
	version = ops_confirm_ok("entry-1", &plan);
	assert_true(before > 0);
	g_usleep(DRAIN_LIMIT_US);
	at_limit = ops_starts("endpoint-1");
	g_usleep(OBSERVE_US);
	assert_int_equal(ops_starts("endpoint-1"), at_limit);
	ops_plan_clear(&plan);
	(void)snprintf(
	    id, sizeof(id), "v%u-drain_worker", (unsigned int)version);
	ops_plan_remove(OPS_ALICE, "entry-2", id, &plan);
	(void)ops_confirm_ok("entry-2", &plan);
	g_usleep(LOAD_WARM_US);
	ops_load_end();
	assert_true(ops_starts("endpoint-1") > at_limit);
	ops_plan_clear(&plan);
}

/*
 * Guards against tasks that start at an endpoint whose agent is stopping, and
 * against running tasks that are lost with the agent.
 */
static void
test_leaving_agent(void **state)
{
	struct mlk_error err;
	uint32_t at_limit;

	(void)state;
	ops_load_begin(LEAVE_TASK_MS);
	g_usleep(LOAD_WARM_US);
	assert_true(ops_starts("endpoint-2") > 0);
	assert_int_equal(mlk_deploy_stop(ops_deploy, "agent-2", &err), 0);
	g_usleep(DRAIN_LIMIT_US);
	at_limit = ops_starts("endpoint-2");
	g_usleep(OBSERVE_US);
	assert_int_equal(ops_starts("endpoint-2"), at_limit);
	assert_int_equal(
	    mlk_deploy_wait_ended(ops_deploy, "agent-2", STOP_TIMEOUT_MS, &err),
	    0);
	ops_load_end();
}

static void
wait_restarted(const char *name, uint32_t starts)
{
	struct mlk_deploy_process *p = mlk_deploy_find(ops_deploy, name);
	gint64 end = g_get_monotonic_time() + STOP_TIMEOUT_MS * US_PER_MS;
	struct mlk_error err;

	while (p->starts == starts || p->pid == 0) {
		assert_int_equal(mlk_deploy_poll(ops_deploy, &err), 0);
		if (g_get_monotonic_time() > end)
			fail_msg("%s is not back", name);
		g_usleep(SAMPLE_PAUSE_US);
	}
}

/*
 * An agent stops as planned while the owner of partitions is killed.  No
 * process is left then that could account for the agent in these partitions.
 * Guards against new jobs there being unknown until the retention period ends.
 */
static void
test_agent_replaced_as_entry_dies(void **state)
{
	struct mlk_deploy_process *agent =
	    mlk_deploy_find(ops_deploy, "agent-3");
	uint32_t starts = agent->starts;
	struct mlk_error err;

	(void)state;
	ops_load_begin(TASK_MS);
	g_usleep(LOAD_WARM_US);
	ops_load_end();
	assert_int_equal(mlk_deploy_stop(ops_deploy, "agent-3", &err), 0);
	assert_int_equal(
	    mlk_deploy_wait_ended(ops_deploy, "agent-3", STOP_TIMEOUT_MS, &err),
	    0);
	assert_int_equal(mlk_deploy_kill(ops_deploy, "entry-1", &err), 0);
	assert_int_equal(
	    mlk_deploy_wait_ended(ops_deploy, "entry-1", STOP_TIMEOUT_MS, &err),
	    0);
	assert_int_equal(mlk_deploy_restart(ops_deploy, "agent-3", &err), 0);
	assert_int_equal(mlk_deploy_restart(ops_deploy, "entry-1", &err), 0);
	wait_restarted("agent-3", starts);
	ops_wait_ready();
	g_usleep(SERVED_AGAIN_US);
	ops_load_begin(TASK_MS);
	g_usleep(LOAD_WARM_US);
	ops_load_end();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_plan_has_no_effect),
		cmocka_unit_test(test_confirm_everywhere),
		cmocka_unit_test(test_race),
		cmocka_unit_test(test_store_down_at_confirm),
		cmocka_unit_test(test_lost_answer),
		cmocka_unit_test(test_store_down_after_confirm),
		cmocka_unit_test(test_replaced_while_spreading),
		cmocka_unit_test(test_agent_replaced_as_entry_dies),
		cmocka_unit_test(test_drain_under_load),
		cmocka_unit_test(test_leaving_agent),
	};

	return (cmocka_run_group_tests(tests, ops_setup, ops_teardown));
}
