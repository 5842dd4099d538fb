/*
 * Failure tests on real processes: entries and agents are killed or paused
 * under load.  The results are checked against the start logs of the endpoints.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

#include "failure_driver.h"

#define PARTITIONS ((uint32_t)MLK_PARTITIONS)
#define SERVED_AGAIN_MS 3000.0 /* target of docs/design.md, 1.7 */
/* Recovery must be over after the agent lapse and the wait of a takeover. */
#define RECOVERED_S 6.0
#define KILL_AT_S 3.0
#define ENTRY_KILL_AT_S 9.0 /* of the entry that detected an agent's loss */
#define IDS 100U
#define PAUSE_S 6.0
#define RUN_MAX_S 1.0 /* from arrival to answer without a failure */
#define LEASE_S 3.0 /* default of the settings */
/* Shortly before the pause ends, when all earlier starts are in the log. */
#define LOG_READ_AT_S (KILL_AT_S + PAUSE_S - 0.3)

/* A second caller, which probes all partitions after a kill. */
struct prober {
	struct failure *f;
	struct failure_call *calls;
	char ids[PARTITIONS][32];
	int64_t killed; /* monotonic ns */
};

/*
 * Fills ids with one job id for each partition.
 */
static void
choose_ids(char ids[PARTITIONS][32])
{
	uint32_t n = 0, found = 0, p;
	char id[32];

	memset(ids, 0, PARTITIONS * sizeof(ids[0]));
	while (found < PARTITIONS) {
		(void)snprintf(id, sizeof(id), "probe-%u", n++);
		p = mlk_key_partition(mlk_key_from_id(id));
		if (ids[p][0] != '\0')
			continue;
		(void)g_strlcpy(ids[p], id, sizeof(ids[p]));
		found++;
	}
}

/*
 * Kills entry-1 and submits one job per partition to the other entries.
 */
static gpointer
kill_and_probe(gpointer data)
{
	struct prober *p = data;
	struct mlk_error err;
	uint32_t i;

	(void)g_usleep((gulong)(KILL_AT_S * G_USEC_PER_SEC));
	p->killed = mlk_clock_now(mlk_clock_system());
	(void)mlk_deploy_kill(p->f->deploy, "entry-1", &err);
	for (i = 0; i < PARTITIONS; i++) {
		p->calls[i].method = "POST";
		p->calls[i].path = g_strdup("/v1/jobs");
		p->calls[i].body = failure_job_body(p->ids[i], 1, "ms=1");
		p->calls[i].retry = true;
		(void)g_strlcpy(p->calls[i].addr,
		    failure_addr(p->f, i % 2 == 0 ? "entry-2" : "entry-3"),
		    MLK_ADDR_MAX);
	}
	failure_calls(p->calls, PARTITIONS);
	return (NULL);
}

/*
 * Asserts that all probes completed.  Returns the time from the kill to the
 * last answer in ms.
 */
static double
check_probes(const struct prober *p)
{
	struct mlk_load_verdict v;
	int64_t last = p->killed;
	uint32_t i;

	for (i = 0; i < PARTITIONS; i++) {
		failure_check_answer(&p->calls[i], p->ids[i], 1, &v);
		if (v.outcome != MLK_LOAD_COMPLETE)
			fail_msg("partition %u: status %d, %s", i,
			    p->calls[i].status, p->calls[i].answer->str);
		last = MAX(last, p->calls[i].ended);
	}
	return ((double)(last - p->killed) / MLK_NSEC_PER_MSEC);
}

/*
 * Asserts that the loss of an entry at at_s seconds affects only the jobs that
 * its partitions had running: these may fail with tasks that were not started
 * (docs/design.md, section 4, rule 5).
 */
static void
check_entry_lost(const struct failure *f, double at_s)
{
	uint32_t unknown;

	assert_int_equal(
	    failure_not_complete(f, 0, at_s - RUN_MAX_S, &unknown), 0);
	(void)failure_not_complete(f, 0, at_s, &unknown);
	assert_int_equal(unknown, 0);
	assert_int_equal(f->stats->tasks_failed, 0);
	assert_int_equal(failure_not_complete_after(f, at_s), 0);
}

/* Guards against partitions without an owner, and jobs that are lost or run
 * again, after their entry was killed. */
static void
test_entry_killed(void **state)
{
	const struct failure_options options = {
		.workers = 4, .duration_s = 10, .load = 0.5, .seed = 101
	};
	struct prober p = { .f = *state };
	GThread *thread;
	double ms;

	failure_start(p.f, &options);
	choose_ids(p.ids);
	p.calls = failure_calls_create(PARTITIONS);
	thread = g_thread_new("prober", kill_and_probe, &p);
	failure_run_load(p.f);
	(void)g_thread_join(thread);
	failure_check_starts(p.f);
	failure_print(p.f, "entry killed");
	ms = check_probes(&p);
	print_message("all partitions served again after %.0f ms\n", ms);
	failure_calls_free(p.calls, PARTITIONS);
	check_entry_lost(p.f, KILL_AT_S);
	assert_true(ms <= SERVED_AGAIN_MS);
}

/* Guards against tasks that start again after their agent was killed, and
 * against ids that are not served because the agent's record is lost.  The
 * entry that detected the loss is killed later. */
static void
test_agent_killed(void **state)
{
	const struct failure_options options = { .workers = 4,
		.duration_s = 16,
		.load = 0.45,
		.seed = 102,
		.faults = "  - {at: 3, action: kill, target: agent-1}\n"
			  "  - {at: 9, action: kill, target: entry-1}\n" };
	struct failure *f = *state;
	uint32_t unknown;

	failure_start(f, &options);
	failure_run_load(f);
	failure_print(f, "agent killed, then entry");
	assert_true(f->stats->tasks_unknown > 0);
	assert_true(f->stats->tasks_unknown <= FAILURE_SLOTS);
	assert_int_equal(f->stats->tasks_failed, 0);
	assert_int_equal(
	    f->stats->groups[MLK_LOAD_GROUP_ALL].outcomes[MLK_LOAD_UNKNOWN], 0);
	/* Only jobs at the agent, and later those of the entry, may fail. */
	assert_int_equal(failure_not_complete(f, KILL_AT_S,
			     ENTRY_KILL_AT_S - RUN_MAX_S, &unknown),
	    0);
	(void)failure_not_complete(
	    f, ENTRY_KILL_AT_S - RUN_MAX_S, HUGE_VAL, &unknown);
	assert_int_equal(unknown, 0);
	assert_int_equal(failure_not_complete_after(f, ENTRY_KILL_AT_S), 0);
}

/*
 * Requests ids from an entry, submits a job under each of them and asserts that
 * all complete.
 */
static void
check_issued_ids(struct failure *f, const char *entry)
{
	struct failure_call *ask = failure_calls_create(1);
	struct failure_call *calls = failure_calls_create(IDS);
	struct mlk_load_verdict v;
	json_t *root, *ids;
	uint32_t i, complete = 0;

	ask->method = "GET";
	ask->path = g_strdup_printf("/v1/ids?count=%u", IDS);
	(void)g_strlcpy(ask->addr, failure_addr(f, entry), MLK_ADDR_MAX);
	failure_calls(ask, 1);
	root = json_loads(ask->answer->str, 0, NULL);
	ids = json_object_get(root, "ids");
	assert_int_equal(json_array_size(ids), IDS);
	for (i = 0; i < IDS; i++) {
		calls[i].method = "POST";
		calls[i].path = g_strdup("/v1/jobs");
		calls[i].body = failure_job_body(
		    json_string_value(json_array_get(ids, i)), 2, "ms=20");
		(void)g_strlcpy(calls[i].addr, ask->addr, MLK_ADDR_MAX);
	}
	failure_calls(calls, IDS);
	for (i = 0; i < IDS; i++) {
		failure_check_answer(&calls[i],
		    json_string_value(json_array_get(ids, i)), 2, &v);
		complete += v.outcome == MLK_LOAD_COMPLETE;
	}
	print_message(
	    "issued by %s: %u of %u complete\n", entry, complete, IDS);
	json_decref(root);
	failure_calls_free(calls, IDS);
	failure_calls_free(ask, 1);
	assert_int_equal(complete, IDS);
}

/* Guards against tasks that start again, and issued ids that wait for ever,
 * when the record of an agent is lost together with an entry. */
static void
test_agent_and_entry_killed(void **state)
{
	const struct failure_options options = { .workers = 4,
		.duration_s = 10,
		.load = 0.45,
		.seed = 103,
		.faults = "  - {at: 3, action: kill, target: agent-1}\n"
			  "  - {at: 3, action: kill, target: entry-1}\n" };
	struct failure *f = *state;

	failure_start(f, &options);
	failure_run_load(f);
	failure_print(f, "agent and entry killed");
	assert_int_equal(f->stats->tasks_failed, 0);
	assert_true(f->stats->tasks_unknown <= FAILURE_SLOTS);
	assert_int_equal(failure_failed_after(f, KILL_AT_S), 0);
	failure_unknown_by_partition(f, KILL_AT_S + RECOVERED_S - LEASE_S);
	check_issued_ids(f, "entry-2");
	check_issued_ids(f, "entry-3");
	failure_check_starts(f);
}

/* Guards against an entry that goes on dispatching after a pause in which its
 * partitions were taken over. */
static void
test_entry_paused(void **state)
{
	const struct failure_options options = { .workers = 4,
		.duration_s = 14,
		.load = 0.5,
		.seed = 104,
		.faults =
		    "  - {at: 3, action: pause, target: entry-1, for: 6}\n" };
	struct failure *f = *state;

	failure_start(f, &options);
	failure_run_load(f);
	failure_print(f, "entry paused");
	check_entry_lost(f, KILL_AT_S);
}

/*
 * Returns the length of the start log of endpoint-1 in bytes, shortly before
 * the pause ends.
 */
static gpointer
read_log_length(gpointer data)
{
	const struct failure *f = data;
	char *path = g_strdup_printf(
	    "%s/endpoint-1.starts.1", mlk_deploy_dir(f->deploy));
	gsize len = 0;
	char *text;

	(void)g_usleep((gulong)(LOG_READ_AT_S * G_USEC_PER_SEC));
	if (g_file_get_contents(path, &text, &len, NULL))
		g_free(text);
	g_free(path);
	return (GSIZE_TO_POINTER(len));
}

/*
 * Asserts that the start log of endpoint-1 from log_len on has no task of a job
 * whose lease expired during the pause: those that arrived more than a lease
 * before its end.
 */
static void
check_leases(const struct failure *f, gsize log_len)
{
	char *path = g_strdup_printf(
	    "%s/endpoint-1.starts.1", mlk_deploy_dir(f->deploy));
	double until = (KILL_AT_S + PAUSE_S - LEASE_S) * MLK_NSEC_PER_SEC;
	char hex[MLK_KEY_HEX_LEN + 1], *text;
	uint32_t i;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	for (i = 0; i < f->arrivals->n; i++) {
		if ((double)f->arrivals->jobs[i].at > until)
			continue;
		mlk_key_format(mlk_key_from_id(f->run.records[i].id), hex);
		if (strstr(text + log_len, hex) != NULL)
			fail_msg("%s started by an expired lease",
			    f->run.records[i].id);
	}
	assert_true(strlen(text) > log_len);
	g_free(text);
	g_free(path);
}

/*
 * Pauses agent-1 under load.  Returns the length of the start log of endpoint-1
 * in bytes, shortly before the agent is resumed.
 */
static gsize
pause_agent(struct failure *f)
{
	const struct failure_options options = { .workers = 4,
		.duration_s = 14,
		.load = 0.45,
		.seed = 105,
		.faults =
		    "  - {at: 3, action: pause, target: agent-1, for: 6}\n" };
	GThread *thread;

	failure_start(f, &options);
	thread = g_thread_new("log length", read_log_length, f);
	failure_run_load(f);
	return (GPOINTER_TO_SIZE(g_thread_join(thread)));
}

/* Guards against an agent that starts tasks under leases that expired while it
 * was paused, and against tasks that two agents run for this reason. */
static void
test_agent_paused(void **state)
{
	struct failure *f = *state;
	uint32_t unknown;
	gsize log_len;

	log_len = pause_agent(f);
	failure_print(f, "agent paused");
	check_leases(f, log_len);
	assert_int_equal(f->stats->tasks_failed, 0);
	assert_int_equal(f->stats->tasks_not_run, 0);
	assert_int_equal(
	    f->stats->groups[MLK_LOAD_GROUP_ALL].outcomes[MLK_LOAD_UNKNOWN], 0);
	/* Entries send work to a silent agent until its lease expires. */
	(void)failure_not_complete(f, 0, KILL_AT_S + LEASE_S, &unknown);
	assert_true(unknown <= FAILURE_SLOTS);
	assert_int_equal(failure_not_complete(f, KILL_AT_S + LEASE_S,
			     KILL_AT_S + PAUSE_S - RUN_MAX_S, &unknown),
	    0);
}

/* Guards against tasks that stay unknown after their agent was resumed with its
 * record intact. */
static void
test_agent_resumed(void **state)
{
	struct failure *f = *state;

	(void)pause_agent(f);
	failure_print(f, "agent resumed");
	assert_int_equal(failure_not_complete_after(f, KILL_AT_S + LEASE_S), 0);
}

/* Guards against the loss of a data centre failing more than the tasks that ran
 * there, or leaving issued ids unserved after the recovery. */
static void
test_data_centre_lost(void **state)
{
	const struct failure_options options = { .workers = 6,
		.dcs = 3,
		.duration_s = 13,
		.load = 0.45,
		.seed = 111,
		.issued_ids = true,
		.faults = "  - {at: 3, action: kill, target: entry-1}\n"
			  "  - {at: 3, action: kill, target: agent-1}\n"
			  "  - {at: 3, action: kill, target: agent-4}\n" };
	struct failure *f = *state;

	failure_start(f, &options);
	failure_run_load(f);
	failure_print(f, "data centre lost");
	assert_int_equal(f->stats->tasks_failed, 0);
	assert_int_equal(failure_failed_after(f, KILL_AT_S), 0);
	assert_true(f->stats->tasks_unknown <= 2 * FAILURE_SLOTS);
	assert_int_equal(
	    failure_not_complete_after(f, KILL_AT_S + RECOVERED_S), 0);
	check_issued_ids(f, "entry-2");
	failure_check_starts(f);
}

#define FAILURE_TEST(fn) \
	cmocka_unit_test_setup_teardown(fn, failure_setup, failure_teardown)

int
main(int argc, char **argv)
{
	const struct CMUnitTest resumed[] = {
		FAILURE_TEST(test_agent_resumed),
	};
	const struct CMUnitTest tests[] = {
		FAILURE_TEST(test_entry_killed),
		FAILURE_TEST(test_agent_killed),
		FAILURE_TEST(test_agent_and_entry_killed),
		FAILURE_TEST(test_entry_paused),
		FAILURE_TEST(test_agent_paused),
		FAILURE_TEST(test_data_centre_lost),
	};

	if (argc == 2 && strcmp(argv[1], "agent_resumed") == 0)
		return (cmocka_run_group_tests(resumed, NULL, NULL));
	if (argc == 2)
		cmocka_set_test_filter(argv[1]);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
