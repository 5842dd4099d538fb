/*
 * Tests of how an agent finds entries that start or return.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <monsoonlock/dispatch.h>

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define TICK_MS 20
#define ADDR "10.0.0.1:7000"

struct bench {
	struct mlk_runner *r;
	int64_t now; /* ms */
	char addr[MLK_ADDR_MAX]; /* of the last attempt */
	uint32_t connect; /* attempt in flight; 0: none */
	uint32_t connects;
	uint32_t closed; /* link closed last */
};

static void
apply(struct bench *t, struct mlk_runner_event *ev)
{
	struct mlk_runner_effects fx = { 0 };
	struct mlk_error err = { 0 };
	size_t i;

	ev->now = t->now * MS;
	assert_int_equal(mlk_runner_apply(t->r, ev, &fx, &err), 0);
	for (i = 0; i < fx.n; i++) {
		if (fx.items[i].type == MLK_RUNNER_FX_CLOSE)
			t->closed = fx.items[i].u.close.link;
		if (fx.items[i].type != MLK_RUNNER_FX_CONNECT)
			continue;
		t->connect = fx.items[i].u.connect.connect;
		(void)snprintf(
		    t->addr, sizeof(t->addr), "%s", fx.items[i].u.connect.addr);
		t->connects++;
	}
	mlk_runner_effects_free(&fx);
}

static void
refuse_connect(struct bench *t)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_LINK_DOWN };

	if (t->connect == 0)
		return;
	ev.u.link.connect = t->connect;
	t->connect = 0;
	apply(t, &ev);
}

static void
advance(struct bench *t, int64_t ms, bool refuse)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_TICK };
	int64_t end = t->now + ms;

	while (t->now < end) {
		t->now += TICK_MS;
		apply(t, &ev);
		if (refuse)
			refuse_connect(t);
	}
}

/*
 * Reports an address from a row with the given version.
 */
static void
report_row(struct bench *t, const char *addr, uint64_t version)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_ENTRIES };
	char addrs[1][MLK_ADDR_MAX];

	(void)snprintf(addrs[0], sizeof(addrs[0]), "%s", addr);
	ev.u.entries.version = version;
	ev.u.entries.n = 1;
	ev.u.entries.addrs = (const char(*)[MLK_ADDR_MAX])addrs;
	apply(t, &ev);
}

static void
report(struct bench *t, const char *addr)
{
	report_row(t, addr, 0);
}

static int
setup(void **state)
{
	static char entries[1][MLK_ADDR_MAX] = { ADDR };
	static struct bench t;
	struct mlk_runner_options options;

	memset(&t, 0, sizeof(t));
	t.now = 1000;
	mlk_runner_options_default(&options);
	(void)strcpy(options.id, "agent-1");
	options.nentries = 1;
	options.entries = entries;
	t.r = mlk_runner_create(&options);
	*state = &t;
	return (0);
}

static int
teardown(void **state)
{
	mlk_runner_destroy(((struct bench *)*state)->r);
	return (0);
}

/*
 * Guards against an entry that is reached only up to a second after its start:
 * all agents have tried it in vain for some seconds, as after a power failure,
 * when its row in the store changes.
 */
static void
test_started_entry_is_tried_at_once(void **state)
{
	struct bench *t = *state;
	uint32_t before;

	advance(t, 5000, true);
	before = t->connects;
	report(t, ADDR);
	assert_int_equal(t->connects, before + 1);
}

/*
 * The same while an attempt from before the start hangs: it must not be waited
 * for, and its link is closed if it is established after all.
 */
static void
test_hung_attempt_is_replaced(void **state)
{
	struct bench *t = *state;
	struct mlk_runner_event up = { .type = MLK_RUNNER_LINK_UP };
	uint32_t before, hung;

	advance(t, 5000, true);
	while (t->connect == 0)
		advance(t, TICK_MS, false);
	advance(t, 200, false);
	before = t->connects;
	hung = t->connect;
	report(t, ADDR);
	assert_int_equal(t->connects, before + 1);
	assert_int_not_equal(t->connect, hung);
	up.u.link.link = 9;
	up.u.link.connect = hung;
	apply(t, &up);
	assert_int_equal(t->closed, 9);
}

/*
 * Guards against an attempt that is replaced by each of several reports before
 * its answer can have arrived.
 */
static void
test_fresh_attempt_is_kept(void **state)
{
	struct bench *t = *state;
	uint32_t before;

	advance(t, TICK_MS, false);
	before = t->connects;
	report(t, ADDR);
	report(t, ADDR);
	assert_int_equal(t->connects, before);
}

/*
 * Guards against a flood of attempts at an entry that is down: without news of
 * it the interval grows to a second.
 */
static void
test_dead_entry_is_tried_rarely(void **state)
{
	struct bench *t = *state;
	uint32_t before;

	advance(t, 5000, true);
	before = t->connects;
	advance(t, 10000, true);
	assert_in_range(t->connects - before, 8, 12);
}

/*
 * Guards against addresses that cannot be connected to, and against a table
 * that grows without bound.
 */
static void
test_odd_addresses(void **state)
{
	static const char *const odd[] = { "", "10.0.1.1", "10.0.1.1:0",
		"10.0.1.1:65536", "example.net:7000", "10.0.1.1:80x" };
	struct bench *t = *state;
	char addr[MLK_ADDR_MAX];
	size_t i;

	advance(t, TICK_MS, false);
	assert_int_equal(t->connects, 1);
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		report(t, odd[i]);
	advance(t, TICK_MS, false);
	assert_int_equal(t->connects, 1);
	assert_int_equal(mlk_runner_counters(t->r)->addrs_ignored,
	    sizeof(odd) / sizeof(odd[0]));
	for (i = 0; i < 300; i++) {
		(void)snprintf(addr, sizeof(addr), "10.1.%u.%u:7000",
		    (unsigned int)i / 250, (unsigned int)i % 250 + 1);
		report(t, addr);
	}
	advance(t, TICK_MS, false);
	assert_int_equal(t->connects, 256);
}

#define LOST_ENTRIES 300 /* more than an agent knows at a time */

static void
report_lost_entries(struct bench *t, uint64_t first_version)
{
	char addr[MLK_ADDR_MAX];
	uint32_t i;

	for (i = 0; i < LOST_ENTRIES; i++) {
		(void)snprintf(addr, sizeof(addr), "10.1.%u.%u:7000", i / 200,
		    1 + i % 200);
		report_row(t, addr, first_version + i);
		refuse_connect(t);
	}
}

/*
 * Guards against a live entry that no agent connects to, since the rows of lost
 * ones fill its table: none is served after a loss of power.
 */
static void
test_live_entry_behind_lost_ones(void **state)
{
	struct bench *t = *state;

	report_lost_entries(t, 1);
	report_row(t, "10.2.0.1:7000", LOST_ENTRIES + 1);
	assert_string_equal(t->addr, "10.2.0.1:7000");
}

/* The same, when its row is read before theirs. */
static void
test_live_entry_before_lost_ones(void **state)
{
	struct bench *t = *state;
	uint32_t before;

	report_row(t, "10.2.0.1:7000", LOST_ENTRIES + 1);
	refuse_connect(t);
	report_lost_entries(t, 1);
	advance(t, 2000, true);
	before = t->connects;
	report_row(t, "10.2.0.1:7000", LOST_ENTRIES + 2);
	assert_int_equal(t->connects, before + 1);
	assert_string_equal(t->addr, "10.2.0.1:7000");
}

/*
 * Guards against a linked entry that is forgotten because of rows that are
 * newer than its own.
 */
static void
test_linked_entry_is_kept(void **state)
{
	struct bench *t = *state;
	struct mlk_runner_event up = { .type = MLK_RUNNER_LINK_UP };

	report_row(t, "10.2.0.1:7000", 1);
	up.u.link.link = 7;
	up.u.link.connect = t->connect;
	t->connect = 0;
	apply(t, &up);
	report_lost_entries(t, 2);
	assert_int_not_equal(t->closed, 7);
	assert_int_equal(mlk_runner_counters(t->r)->addrs_ignored, 0);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_started_entry_is_tried_at_once),
		TEST(test_hung_attempt_is_replaced),
		TEST(test_fresh_attempt_is_kept),
		TEST(test_dead_entry_is_tried_rarely),
		TEST(test_live_entry_behind_lost_ones),
		TEST(test_live_entry_before_lost_ones),
		TEST(test_linked_entry_is_kept),
		TEST(test_odd_addresses),
	};
#undef TEST

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
