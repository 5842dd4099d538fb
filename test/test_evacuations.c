/*
 * Tests of evacuated data centres: the rows of the store, the set that a
 * process holds, and the dispatcher of an entry.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

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

/*
 * Returns the version of the row of a data centre in the table, or 0.
 */
static uint64_t
row_version(const struct mlk_evacuation_table *t, const char *dc, uint64_t *of)
{
	struct mlk_evacuations set;
	uint64_t version = 0;
	uint32_t i;

	assert_int_equal(mlk_evacuation_table_copy(t, &set), 0);
	*of = set.version;
	for (i = 0; i < set.n; i++) {
		if (strcmp(set.items[i].dc, dc) == 0)
			version = set.items[i].version;
	}
	free(set.items);
	return (version);
}

/*
 * Guards against an evacuation that is cancelled by the first page of a read
 * that does not show it yet, and by a read that is given up.
 */
static void
test_pages_count_when_complete(void **state)
{
	struct mlk_evacuation_table *t = mlk_evacuation_table_create();
	uint64_t of;

	(void)state;
	mlk_evacuation_table_begin(t);
	mlk_evacuation_table_row(t, "dc-a", 3, false);
	assert_int_equal(row_version(t, "dc-a", &of), 0);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 9), MLK_EVACUATION_ROWS_CHANGED);
	assert_int_equal(row_version(t, "dc-a", &of), 3);
	assert_int_equal(of, 9);
	mlk_evacuation_table_begin(t);
	mlk_evacuation_table_row(t, "dc-b", 12, false);
	assert_int_equal(row_version(t, "dc-a", &of), 3);
	mlk_evacuation_table_begin(t);
	mlk_evacuation_table_row(t, "dc-a", 3, false);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 14), MLK_EVACUATION_ROWS_CHANGED);
	assert_int_equal(row_version(t, "dc-a", &of), 3);
	assert_int_equal(row_version(t, "dc-b", &of), 0);
	mlk_evacuation_table_destroy(t);
}

/*
 * Guards against two different sets with one version: the pages of a read show
 * the table as of different versions.
 */
static void
test_pages_of_several_versions(void **state)
{
	struct mlk_evacuation_table *t = mlk_evacuation_table_create();
	uint64_t of;

	(void)state;
	mlk_evacuation_table_begin(t);
	mlk_evacuation_table_row(t, "dc-a", 3, false);
	mlk_evacuation_table_page(t, 9);
	mlk_evacuation_table_row(t, "dc-b", 11, false);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 12), MLK_EVACUATION_ROWS_INCOMPLETE);
	mlk_evacuation_table_row(t, "dc-a", 10, true);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 10), MLK_EVACUATION_ROWS_INCOMPLETE);
	assert_int_equal(row_version(t, "dc-b", &of), 0);
	mlk_evacuation_table_row(t, "dc-b", 11, false);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 13), MLK_EVACUATION_ROWS_CHANGED);
	assert_int_equal(row_version(t, "dc-a", &of), 0);
	assert_int_equal(row_version(t, "dc-b", &of), 11);
	assert_int_equal(of, 13);
	mlk_evacuation_table_destroy(t);
}

/*
 * Guards against a set whose version does not rise with a removal, and against
 * one that changes without a higher version.
 */
static void
test_changes_raise_the_version(void **state)
{
	struct mlk_evacuation_table *t = mlk_evacuation_table_create();
	struct mlk_evacuations set;
	char dc[16];
	uint64_t of;
	uint32_t i;

	(void)state;
	mlk_evacuation_table_begin(t);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 5), MLK_EVACUATION_ROWS_CHANGED);
	mlk_evacuation_table_row(t, "dc-a", 5, false);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 8), MLK_EVACUATION_ROWS_SAME);
	mlk_evacuation_table_row(t, "dc-a", 7, false);
	mlk_evacuation_table_row(t, "dc-b", 8, false);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 20), MLK_EVACUATION_ROWS_CHANGED);
	assert_int_equal(row_version(t, "dc-a", &of), 7);
	assert_int_equal(of, 8);
	mlk_evacuation_table_row(t, "dc-a", 11, true);
	assert_int_equal(
	    mlk_evacuation_table_end(t, 20), MLK_EVACUATION_ROWS_CHANGED);
	assert_int_equal(row_version(t, "dc-a", &of), 0);
	assert_int_equal(of, 11);
	for (i = 0; i < MLK_EVACUATIONS_MAX; i++) {
		(void)g_snprintf(dc, sizeof(dc), "x%u", i);
		mlk_evacuation_table_row(t, dc, 12 + i, false);
	}
	assert_int_equal(
	    mlk_evacuation_table_end(t, 0), MLK_EVACUATION_ROWS_CHANGED);
	assert_int_equal(mlk_evacuation_table_copy(t, &set), 1);
	assert_int_equal(set.n, MLK_EVACUATIONS_MAX);
	assert_string_equal(set.items[0].dc, "dc-b");
	free(set.items);
	mlk_evacuation_table_destroy(t);
}

/*
 * Applies a set with at most two data centres, from the store (link 0) or as a
 * message.
 */
static void
evacuate(struct dispatch_bench *b, uint32_t link, uint64_t version,
    const char *dc, const char *other)
{
	struct mlk_evacuation items[2] = { 0 };
	struct mlk_evacuations set = { .version = version, .items = items };
	struct mlk_msg msg = { .type = MLK_MSG_EVACUATIONS };
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_EVACUATIONS };

	if (dc != NULL) {
		items[0].version = version;
		(void)g_strlcpy(items[set.n++].dc, dc, MLK_NAME_MAX);
	}
	if (other != NULL) {
		items[1].version = version;
		(void)g_strlcpy(items[set.n++].dc, other, MLK_NAME_MAX);
	}
	ev.u.evacuations = &set;
	if (link != 0) {
		msg.u.evacuations = set;
		ev.type = MLK_DISPATCH_MSG;
		ev.u.msg.link = link;
		ev.u.msg.msg = &msg;
	}
	bench_apply(b, &ev);
}

static const struct mlk_evacuations *
set_sent(const struct dispatch_bench *b, uint32_t link)
{
	struct bench_agent a = { .link = link };
	const struct mlk_msg *msg = bench_sent(b, &a, MLK_MSG_EVACUATIONS, 0);

	return (msg == NULL ? NULL : &msg->u.evacuations);
}

static uint32_t
unconfirmed(const struct dispatch_bench *b)
{
	struct mlk_dispatch_gauges gauges;

	mlk_dispatch_gauges(b->d, &gauges);
	return (gauges.evacuations_unconfirmed);
}

/*
 * Guards against tasks that are placed in an evacuated data centre, by a new
 * job, a report of the load or an offer, and against a data centre that gets no
 * work after the end of its evacuation.
 */
static void
test_no_placement(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent near, far;
	const struct mlk_msg *want;

	bench_attach(b, &near, "agent-1", "dc-a", CPU);
	bench_attach(b, &far, "agent-2", "dc-b", CPU);
	evacuate(b, 0, 10, "dc-a", NULL);
	(void)bench_submit(b, "job-1", 8, 8000, 2000);
	assert_int_equal(bench_sent_tasks(b, &near), 0);
	assert_int_equal(bench_sent_tasks(b, &far), 8);
	(void)bench_submit(b, "job-2", 1, 8000, 2000);
	bench_report_worker(b, &near, MLK_WORKER_READY);
	assert_int_equal(bench_sent_tasks(b, &near), 0);
	bench_offer(b, &near, 3, CPU);
	assert_int_equal(bench_sent_tasks(b, &near), 0);
	want = bench_sent(b, &near, MLK_MSG_WANT, 0);
	assert_non_null(want);
	assert_int_equal(want->u.want.offer, 3);
	assert_int_equal(want->u.want.want.tasks, 0);
	evacuate(b, 0, 11, NULL, NULL);
	assert_int_equal(bench_sent_tasks(b, &near), 1);
}

/*
 * Guards against a set that is replaced by an older one, by one of the same
 * version, or by a message from a peer that is behind.
 */
static void
test_versions_never_decrease(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;
	uint32_t peer;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	bench_add_peer(b, 1);
	peer = b->last_link;
	evacuate(b, peer, 10, "dc-a", NULL);
	evacuate(b, peer, 10, NULL, NULL);
	evacuate(b, 0, 9, NULL, NULL);
	(void)bench_submit(b, "job", 1, 8000, 2000);
	assert_int_equal(bench_sent_tasks(b, &a), 0);
	evacuate(b, peer, 12, NULL, NULL);
	assert_int_equal(bench_sent_tasks(b, &a), 1);
}

/*
 * Guards against agents and peers that do not get a set: when it changes, when
 * they connect, and when they show a lower version.
 */
static void
test_set_is_sent(void **state)
{
	struct dispatch_bench *b = *state;
	struct mlk_msg ping = { .type = MLK_MSG_PING };
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_MSG };
	struct bench_agent a, late;
	uint32_t peer;

	bench_attach(b, &a, "agent-1", "dc-a", CPU);
	assert_null(set_sent(b, a.link));
	bench_add_peer(b, 1);
	peer = b->last_link;
	evacuate(b, 0, 10, "dc-a", "dc-c");
	assert_non_null(set_sent(b, a.link));
	assert_int_equal(set_sent(b, a.link)->n, 2);
	assert_int_equal(set_sent(b, peer)->version, 10);
	assert_int_equal(unconfirmed(b), 1);
	evacuate(b, a.link, 9, NULL, NULL);
	assert_null(set_sent(b, a.link));
	assert_int_equal(unconfirmed(b), 1);
	evacuate(b, a.link, 10, NULL, NULL);
	assert_int_equal(unconfirmed(b), 0);

	ev.u.msg.link = peer;
	ev.u.msg.msg = &ping;
	ping.u.ping.evacuations = 10;
	bench_apply(b, &ev);
	assert_null(set_sent(b, peer));
	ping.u.ping.evacuations = 9;
	bench_apply(b, &ev);
	assert_int_equal(set_sent(b, peer)->n, 2);
	bench_add_peer(b, 2);
	assert_null(set_sent(b, peer));

	ev.type = MLK_DISPATCH_LINK_UP;
	ev.u.link.link = late.link = ++b->last_link;
	ev.u.link.connect = 0;
	bench_apply(b, &ev);
	ping.type = MLK_MSG_ATTACH;
	memset(&ping.u, 0, sizeof(ping.u));
	(void)strcpy(ping.u.attach.id, "agent-2");
	(void)strcpy(ping.u.attach.dc, "dc-a");
	ev.type = MLK_DISPATCH_MSG;
	ev.u.msg.link = late.link;
	ev.u.msg.msg = &ping;
	bench_apply(b, &ev);
	assert_non_null(bench_sent(b, &late, MLK_MSG_WELCOME, 0));
	assert_int_equal(set_sent(b, late.link)->version, 10);
}

/*
 * Guards against a message to every agent at every start of an entry, which
 * brings a higher version of the same set; and against an agent that keeps the
 * set of another entry because this one has not held it.
 */
static void
test_same_set_is_not_sent(void **state)
{
	struct dispatch_bench *b = *state;
	struct bench_agent a;

	bench_attach(b, &a, "agent-1", "dc-b", CPU);
	evacuate(b, 0, 10, NULL, NULL);
	assert_null(set_sent(b, a.link));
	evacuate(b, a.link, 12, NULL, NULL);
	assert_null(set_sent(b, a.link));
	evacuate(b, 0, 13, NULL, NULL);
	assert_int_equal(set_sent(b, a.link)->version, 13);
	evacuate(b, a.link, 12, NULL, NULL);
	assert_null(set_sent(b, a.link));
	evacuate(b, 0, 14, NULL, NULL);
	assert_null(set_sent(b, a.link));
	evacuate(b, a.link, 13, NULL, NULL);
	assert_int_equal(set_sent(b, a.link)->version, 14);
}

/*
 * Guards against jobs that are held or sent although every data centre is
 * evacuated, and against an entry that leaves the load balancer then.
 */
static void
test_all_evacuated(void **state)
{
	struct dispatch_bench *b = *state;
	struct mlk_dispatch_gauges gauges;
	struct bench_agent near, far;
	uint64_t waiting, request;
	const struct bench_answer *answer;

	bench_attach(b, &near, "agent-1", "dc-a", CPU);
	bench_attach(b, &far, "agent-2", "dc-b", 4000);
	while (b->now < 5000 * BENCH_MS) {
		bench_report_worker(b, &near, MLK_WORKER_READY);
		bench_report_worker(b, &far, MLK_WORKER_READY);
		bench_advance(b, 500);
	}
	waiting = bench_submit(b, "waiting", 1, 2 * CPU, 2000);
	evacuate(b, 0, 10, "dc-a", "dc-b");
	bench_advance(b, 20);
	answer = bench_answer_to(b, waiting);
	assert_non_null(answer);
	assert_int_equal(answer->outcome, MLK_WORK_REFUSED);
	request = bench_submit(b, "job", 1, 2000, 2000);
	assert_int_equal(
	    bench_answer_to(b, request)->outcome, MLK_WORK_REFUSED);
	mlk_dispatch_gauges(b->d, &gauges);
	assert_int_equal(gauges.agents_ready, 0);
	assert_int_equal(gauges.evacuated, 2);
	assert_true(gauges.ready);
}

/*
 * Guards against a report that hides agents that have not confirmed, or tasks
 * that still run in an evacuated data centre.
 */
static void
test_report(void **state)
{
	struct dispatch_bench *b = *state;
	struct mlk_evacuation_report report;
	struct bench_agent one, two;

	bench_attach(b, &one, "agent-1", "dc-a", CPU);
	(void)bench_submit(b, "job", 3, 8000, 9000);
	bench_attach(b, &two, "agent-2", "dc-a", CPU);
	evacuate(b, 0, 10, "dc-a", NULL);
	evacuate(b, two.link, 10, NULL, NULL);
	bench_advance(b, 40);
	mlk_dispatcher_evacuations(b->d, &report);
	assert_int_equal(report.version, 10);
	assert_int_equal(report.n, 1);
	assert_string_equal(report.items[0].dc, "dc-a");
	assert_int_equal(report.items[0].since_ms, 40);
	assert_int_equal(report.items[0].agents, 2);
	assert_int_equal(report.items[0].running, 3);
	assert_int_equal(report.items[0].nunconfirmed, 1);
	assert_string_equal(report.items[0].unconfirmed[0], "agent-1");
	mlk_evacuation_report_clear(&report);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pages_count_when_complete),
		cmocka_unit_test(test_pages_of_several_versions),
		cmocka_unit_test(test_changes_raise_the_version),
		TEST(test_no_placement),
		TEST(test_versions_never_decrease),
		TEST(test_set_is_sent),
		TEST(test_same_set_is_not_sent),
		TEST(test_all_evacuated),
		TEST(test_report),
	};
#undef TEST

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
