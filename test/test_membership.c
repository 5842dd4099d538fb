/*
 * Membership tests on real processes with faults of the network between them:
 * links that lose one direction, network partitions, flapping links, and
 * addresses that another process has taken over.  All links, and connections to
 * the platform, pass through a relay; callers and endpoints do not.  The
 * results are checked against the start logs of the endpoints.
 */
#include <math.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "failure_driver.h"
#include "fetch.h"
#include "relay.h"

/* Targets of docs/design.md. */
#define SERVED_AGAIN_S 3.0 /* partitions of a lost entry are served again */
#define RECOVERED_S 3.0 /* agent lapse and lease */
#define LEAVING_S 2.0 /* a leaving endpoint gets no more tasks after it */
#define RUN_MAX_S 1.0 /* from arrival to answer without a failure */
#define CUT_AT_S 1.5
#define FETCH_TIMEOUT_S 2
#define WORKERS 4

static struct relay *relay;

static int
setup(void **state)
{
	relay = relay_create();
	return (failure_setup(state));
}

static int
teardown(void **state)
{
	int rc = failure_teardown(state);

	relay_destroy(relay);
	return (rc);
}

static void
sleep_s(double seconds)
{
	g_usleep((gulong)(seconds * G_USEC_PER_SEC));
}

/*
 * Routes the links to each entry through one listener of the relay, and the
 * connections of each entry and agent to the platform through one of their own.
 */
static const char *
route(void *arg, const struct mlk_deploy_process *from,
    const struct mlk_deploy_process *to)
{
	switch (to->role) {
	case MLK_DEPLOY_PLATFORM:
		return (
		    relay_listen(arg, from->name, to->name, NULL, to->http));
	case MLK_DEPLOY_ENTRY:
		return (relay_listen(arg, "", to->name, NULL, to->rpc));
	default:
		return (NULL);
	}
}

static void
start(struct failure *f, struct failure_options *options)
{
	options->workers = WORKERS;
	options->load = 0.4;
	options->route = route;
	options->route_arg = relay;
	failure_start(f, options);
}

/*
 * Runs the load, and script in a thread at the same time, which injects the
 * faults of the network.
 */
static void
run(struct failure *f, struct failure_options *options, GThreadFunc script,
    const char *name, gpointer arg)
{
	GThread *thread;

	start(f, options);
	thread = g_thread_new("script", script, arg);
	failure_run_load(f);
	(void)g_thread_join(thread);
	failure_check_starts(f);
	failure_print(f, name);
}

/*
 * Asserts that all jobs complete that ended before the cut or arrived after the
 * recovery, and that no task failed.
 */
static void
check_served(const struct failure *f, double healed_s)
{
	uint32_t unknown;

	assert_int_equal(
	    failure_not_complete(f, 0, CUT_AT_S - RUN_MAX_S, &unknown), 0);
	assert_int_equal(f->stats->tasks_failed, 0);
	assert_int_equal(
	    failure_not_complete_after(f, healed_s + RECOVERED_S), 0);
}

/*
 * Returns the length of the start log of an endpoint in bytes.
 */
static gsize
start_log_length(const struct failure *f, const char *endpoint)
{
	char *path = g_strdup_printf(
	    "%s/%s.starts.1", mlk_deploy_dir(f->deploy), endpoint);
	gsize len = 0;
	char *text;

	if (g_file_get_contents(path, &text, &len, NULL))
		g_free(text);
	g_free(path);
	return (len);
}

/* ---- one direction ------------------------------------------------------ */

#define ONE_WAY_STOP_S 1.0 /* after the cut */
#define ONE_WAY_S 3.5 /* more than a lease, less than a lease and a lapse */

struct one_way {
	struct failure *f;
	gsize log_len; /* of endpoint-2, 2 s after its agent was stopped */
};

static gpointer
cut_one_way(gpointer data)
{
	struct one_way *o = data;
	struct mlk_error err;

	sleep_s(CUT_AT_S);
	relay_cut(relay, "agent-1", "entry-1", true);
	relay_cut(relay, "entry-2", "agent-2", true);
	relay_cut(relay, "entry-3", "entry-1", true);
	sleep_s(ONE_WAY_STOP_S);
	(void)mlk_deploy_stop(o->f->deploy, "agent-2", &err);
	sleep_s(LEAVING_S);
	o->log_len = start_log_length(o->f, "endpoint-2");
	sleep_s(ONE_WAY_S - ONE_WAY_STOP_S - LEAVING_S);
	relay_cut(relay, "agent-1", "entry-1", false);
	relay_cut(relay, "entry-2", "agent-2", false);
	relay_cut(relay, "entry-3", "entry-1", false);
	return (NULL);
}

/* Three links lose one direction.  Guards against lost results and repeated
 * tasks when an entry receives nothing from a live agent, against tasks that a
 * stopping agent receives late when its link recovers, and against two entries
 * that take partitions over from each other without end when only one takes the
 * other for dead. */
static void
test_one_way_cut(void **state)
{
	struct failure_options options = { .duration_s = 8.7, .seed = 121 };
	struct one_way o = { .f = *state };

	run(o.f, &options, cut_one_way, "one-way cut", &o);
	check_served(o.f, CUT_AT_S + ONE_WAY_S);
	/* Tasks that entry-2 sent to agent-2, which stopped before. */
	assert_true(o.f->stats->tasks_unknown <= FAILURE_SLOTS);
	assert_true(o.log_len > 0);
	assert_int_equal(start_log_length(o.f, "endpoint-2"), o.log_len);
}

/* ---- two regions -------------------------------------------------------- */

#define REGIONS_S 6.2 /* more than a lease and a lapse together */

#define SHARED_IDS MLK_PARTITIONS /* ids that are submitted to both sides */
#define SHARED_ID_TASKS 2

struct regions {
	struct failure *f;
	void (*set_isolated)(bool cut);
	double for_s; /* duration of the network partition */
	uint32_t complete; /* shared ids, at the side with the table service */
	struct failure_call *calls; /* two for each id */
	char ids[SHARED_IDS][MLK_NAME_MAX];
	uint64_t owned; /* partitions of that side, after SERVED_AGAIN_S */
};

static uint64_t
read_owned(struct failure *f, const char *entry)
{
	static const char name[] = "\nmonsoonlock_entry_partitions_owned ";
	GString *page = g_string_new(NULL);
	struct mlk_error err;
	const char *at = NULL;
	uint64_t owned = 0;
	int status = 0;

	if (mlk_fetch("GET", failure_addr(f, entry), "/metrics", NULL,
		FETCH_TIMEOUT_S, &status, page, &err) == 0)
		at = strstr(page->str, name);
	if (at != NULL)
		owned = strtoull(at + strlen(name), NULL, 10);
	(void)g_string_free(page, TRUE);
	return (owned);
}

/*
 * Cuts entry-1 and agent-1 off from all other processes and the table service,
 * or ends that.
 */
static void
isolate_region(bool cut)
{
	static const char *const agents[] = { "agent-2", "agent-3", "agent-4" };
	static const char *const entries[] = { "entry-2", "entry-3" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(agents); i++)
		relay_cut_both(relay, "entry-1", agents[i], cut);
	for (i = 0; i < G_N_ELEMENTS(entries); i++) {
		relay_cut_both(relay, "entry-1", entries[i], cut);
		relay_cut_both(relay, "agent-1", entries[i], cut);
	}
	relay_cut_both(relay, "entry-1", "platform", cut);
	relay_cut_both(relay, "agent-1", "platform", cut);
}

/*
 * Submits one job per partition with the same id to both sides at once.
 */
static gpointer
submit_shared_ids(gpointer data)
{
	struct regions *r = data;
	struct failure_call *c;
	uint32_t i, n = 0, p;
	char id[MLK_NAME_MAX];

	memset(r->ids, 0, sizeof(r->ids));
	for (i = 0; n < SHARED_IDS; i++) {
		(void)snprintf(id, sizeof(id), "both-%u", i);
		p = mlk_key_partition(mlk_key_from_id(id));
		if (r->ids[p][0] != '\0')
			continue;
		(void)g_strlcpy(r->ids[p], id, sizeof(r->ids[p]));
		n++;
	}
	r->calls = failure_calls_create(2 * SHARED_IDS);
	for (i = 0; i < 2 * SHARED_IDS; i++) {
		c = &r->calls[i];
		c->method = "POST";
		c->path = g_strdup("/v1/jobs");
		c->body =
		    failure_job_body(r->ids[i / 2], SHARED_ID_TASKS, "ms=20");
		(void)g_strlcpy(c->addr,
		    failure_addr(r->f, i % 2 == 0 ? "entry-1" : "entry-2"),
		    MLK_ADDR_MAX);
	}
	failure_calls(r->calls, 2 * SHARED_IDS);
	return (NULL);
}

/*
 * Asserts that tasks that either side reported as not run did not run at the
 * other side either.
 */
static void
check_shared_ids(struct regions *r)
{
	uint32_t i, ran, outcomes[MLK_LOAD_OUTCOMES] = { 0 };
	struct mlk_load_verdict v;

	for (i = 0; i < 2 * SHARED_IDS; i++) {
		failure_check_answer(
		    &r->calls[i], r->ids[i / 2], SHARED_ID_TASKS, &v);
		outcomes[v.outcome]++;
		r->complete += i % 2 == 1 && v.outcome == MLK_LOAD_COMPLETE;
		assert_false(v.partial);
		assert_false(v.crossed);
		ran =
		    failure_tasks_started(r->f, r->ids[i / 2], SHARED_ID_TASKS);
		if (ran > SHARED_ID_TASKS - v.not_run ||
		    (v.outcome == MLK_LOAD_COMPLETE &&
			ran != SHARED_ID_TASKS)) {
			fail_msg("%s: %u tasks ran; status %d, %s",
			    r->ids[i / 2], ran, r->calls[i].status,
			    r->calls[i].answer->str);
		}
	}
	print_message("sent to both sides: complete %u failed %u refused %u "
		      "unknown %u none %u\n",
	    outcomes[MLK_LOAD_COMPLETE], outcomes[MLK_LOAD_FAILED],
	    outcomes[MLK_LOAD_REFUSED], outcomes[MLK_LOAD_UNKNOWN],
	    outcomes[MLK_LOAD_NONE]);
	assert_int_equal(outcomes[MLK_LOAD_NONE], 0);
	failure_calls_free(r->calls, 2 * SHARED_IDS);
}

static gpointer
cut_regions(gpointer data)
{
	struct regions *r = data;
	GThread *both;

	sleep_s(CUT_AT_S);
	r->set_isolated(true);
	sleep_s(SERVED_AGAIN_S);
	r->owned = read_owned(r->f, "entry-2") + read_owned(r->f, "entry-3");
	both = g_thread_new("both", submit_shared_ids, r);
	sleep_s(r->for_s - SERVED_AGAIN_S);
	r->set_isolated(false);
	(void)g_thread_join(both);
	return (NULL);
}

/*
 * Runs a load with a network partition and asserts what holds in both tests.
 */
static void
run_isolated(
    struct regions *r, struct failure_options *options, const char *name)
{
	run(r->f, options, cut_regions, name, r);
	print_message("owned by the side with the table after %.0f s: %u\n",
	    SERVED_AGAIN_S, (unsigned int)r->owned);
	check_shared_ids(r);
	assert_int_equal(r->owned, MLK_PARTITIONS);
	check_served(r->f, CUT_AT_S + r->for_s);
}

/* An entry and an agent are cut off from the others.  Guards against both sides
 * starting the tasks of an id, against a side without the table service that
 * reports tasks as not run which the other side starts, and against a region
 * that is not used again after the partition. */
static void
test_regions_part(void **state)
{
	struct failure_options options = {
		.duration_s = 11, .seed = 122, .dcs = 2
	};
	struct regions r = {
		.f = *state, .set_isolated = isolate_region, .for_s = REGIONS_S
	};

	run_isolated(&r, &options, "regions parted");
}

#define ISOLATED_S 4.0 /* longer than a takeover by the others */

/*
 * Cuts entry-1 off from its peers and the table service, not from the agents.
 */
static void
isolate_entry(bool cut)
{
	relay_cut_both(relay, "entry-1", "entry-2", cut);
	relay_cut_both(relay, "entry-1", "entry-3", cut);
	relay_cut_both(relay, "entry-1", "platform", cut);
}

/* An entry is cut off from its peers but not from the agents.  Guards against
 * agents that start tasks from it after its partitions were taken over, and
 * against tasks that it reports as not run and its successor starts. */
static void
test_entry_alone(void **state)
{
	struct failure_options options = { .duration_s = 9, .seed = 125 };
	struct regions r = {
		.f = *state, .set_isolated = isolate_entry, .for_s = ISOLATED_S
	};

	run_isolated(&r, &options, "entry alone");
	/* All agents have links to the new owners. */
	assert_int_equal(r.complete, SHARED_IDS);
}

/* ---- flapping ----------------------------------------------------------- */

#define FLAPS 4
#define FLAP_S 0.3

static void
break_links(bool broken)
{
	relay_break(relay, "agent-1", "entry-1", broken);
	relay_break(relay, "agent-1", "entry-2", broken);
	relay_break(relay, "agent-1", "entry-3", broken);
	relay_break(relay, "entry-1", "entry-2", broken);
}

static gpointer
flap(gpointer unused)
{
	int i;

	(void)unused;
	sleep_s(CUT_AT_S);
	for (i = 0; i < FLAPS; i++) {
		break_links(true);
		sleep_s(FLAP_S);
		break_links(false);
		sleep_s(FLAP_S);
	}
	return (NULL);
}

/* Links are reset and opened again several times.  Guards against tasks that
 * start again after a reconnect, against credits and results that are lost with
 * each closed link, and against partitions that change owner back and forth. */
static void
test_flapping_links(void **state)
{
	struct failure_options options = { .duration_s = 7.6, .seed = 123 };
	struct failure *f = *state;

	run(f, &options, flap, "flapping links", NULL);
	check_served(f, CUT_AT_S + FLAPS * 2 * FLAP_S);
}

/* ---- addresses ---------------------------------------------------------- */

#define ENTRY_REUSED_S CUT_AT_S
#define AGENT_REUSED_S 4.5 /* when the loss of the entry is recovered from */

struct reuse {
	struct failure *f;
	GThread *parent_thread; /* of agent-new; NULL: not started */
	gint stop; /* tells parent_thread to end */
	GPid pid; /* of agent-new */
	gsize start_log_len; /* of endpoint-1, after agent-1 was killed */
};

/*
 * Starts agent-new with the settings of agent-1 but for the id.
 */
static void
start_agent_new(struct reuse *u)
{
	const char *dir = mlk_deploy_dir(u->f->deploy);
	char *old = g_strdup_printf("%s/agent-1.yaml", dir);
	char *path = g_strdup_printf("%s/agent-new.yaml", dir);
	char *argv[] = { "setpriv", "--pdeathsig", "KILL", MLK_AGENT_PROGRAM,
		"--config", path, NULL };
	char *text = NULL, *changed;

	(void)g_file_get_contents(old, &text, NULL, NULL);
	changed = g_strdup_printf("id: agent-new\n%s", strchr(text, '\n') + 1);
	(void)g_file_set_contents(path, changed, -1, NULL);
	(void)g_spawn_async(NULL, argv, NULL,
	    G_SPAWN_SEARCH_PATH | G_SPAWN_DO_NOT_REAP_CHILD |
		G_SPAWN_STDERR_TO_DEV_NULL,
	    NULL, NULL, &u->pid, NULL);
	g_free(changed);
	g_free(text);
	g_free(path);
	g_free(old);
}

/*
 * Starts agent-new and waits for u->stop.  The kernel sends a process its
 * parent-death signal when the thread that started it ends, not the process.
 */
static gpointer
run_agent_new(gpointer data)
{
	struct reuse *u = data;

	start_agent_new(u);
	while (!g_atomic_int_get(&u->stop))
		sleep_s(0.01);
	return (NULL);
}

static gpointer
reuse_addresses(gpointer data)
{
	struct reuse *u = data;
	struct mlk_error err;

	sleep_s(ENTRY_REUSED_S);
	(void)mlk_deploy_kill(u->f->deploy, "entry-3", &err);
	relay_retarget(
	    relay, "entry-3", mlk_deploy_find(u->f->deploy, "entry-2")->rpc);
	sleep_s(AGENT_REUSED_S - ENTRY_REUSED_S);
	(void)mlk_deploy_kill(u->f->deploy, "agent-1", &err);
	(void)mlk_deploy_wait_ended(u->f->deploy, "agent-1", 1000, &err);
	u->start_log_len = start_log_length(u->f, "endpoint-1");
	u->parent_thread = g_thread_new("agent-new", run_agent_new, u);
	return (NULL);
}

static void
end_agent_new(struct reuse *u)
{
	if (u->parent_thread == NULL)
		return;
	g_atomic_int_set(&u->stop, 1);
	(void)g_thread_join(u->parent_thread);
	(void)kill(u->pid, SIGKILL);
	(void)waitpid(u->pid, NULL, 0);
	g_spawn_close_pid(u->pid);
}

/* The address of a killed entry leads to another entry, and a new agent uses
 * the addresses of a killed one.  Guards against taking an entry for the one
 * that had its address before, and against giving a new agent the record of its
 * predecessor. */
static void
test_addresses_reused(void **state)
{
	struct failure_options options = { .duration_s = 8, .seed = 124 };
	struct reuse u = { .f = *state };
	uint32_t unknown;

	run(u.f, &options, reuse_addresses, "addresses reused", &u);
	end_agent_new(&u);
	check_served(u.f, AGENT_REUSED_S);
	assert_int_equal(
	    failure_not_complete(u.f, ENTRY_REUSED_S + SERVED_AGAIN_S,
		AGENT_REUSED_S - RUN_MAX_S, &unknown),
	    0);
	assert_true(u.f->stats->tasks_unknown <= FAILURE_SLOTS);
	assert_true(start_log_length(u.f, "endpoint-1") > u.start_log_len);
}

#define SETTLE_S 1.5
/* Two links at the start and one to the reused address, doubled to allow for
 * races.  While an entry is linked at one of its addresses, the other address
 * stays unused (src/core/agent_links.c). */
#define OPENED_MAX 6U

/* Guards against an agent that keeps opening and closing links when two
 * addresses lead to the same entry. */
static void
test_reused_address_settles(void **state)
{
	struct failure_options options = { .duration_s = 1, .seed = 126 };
	struct failure *f = *state;
	uint32_t i, opened, most = 0;
	struct mlk_error err;
	char agent[MLK_NAME_MAX];

	start(f, &options);
	(void)mlk_deploy_kill(f->deploy, "entry-3", &err);
	relay_retarget(
	    relay, "entry-3", mlk_deploy_find(f->deploy, "entry-2")->rpc);
	sleep_s(SETTLE_S);
	for (i = 1; i <= WORKERS; i++) {
		(void)snprintf(agent, sizeof(agent), "agent-%u", i);
		opened = relay_opened(relay, agent, "entry-2") +
		    relay_opened(relay, agent, "entry-3");
		print_message("%s opened %u links\n", agent, opened);
		most = MAX(most, opened);
	}
	assert_true(most <= OPENED_MAX);
}

#define MEMBERSHIP_TEST(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int
main(int argc, char **argv)
{
	const struct CMUnitTest settles[] = {
		MEMBERSHIP_TEST(test_reused_address_settles),
	};
	const struct CMUnitTest tests[] = {
		MEMBERSHIP_TEST(test_one_way_cut),
		MEMBERSHIP_TEST(test_regions_part),
		MEMBERSHIP_TEST(test_entry_alone),
		MEMBERSHIP_TEST(test_flapping_links),
		MEMBERSHIP_TEST(test_addresses_reused),
	};

	if (argc > 1 && strcmp(argv[1], "reused_settles") == 0)
		return (cmocka_run_group_tests(settles, NULL, NULL));
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
