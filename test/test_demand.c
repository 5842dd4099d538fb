/*
 * Tests of the demand by route: rates at this entry, reports to and from peers.
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

#include <monsoonlock/base.h>

#include "../src/dispatch/demand.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define TICK_MS 20
#define START_MS 1000000
#define EXPIRES_MS 1000 /* four intervals of 250 ms */
#define ROUTES_MAX 4096U /* as in demand.c */

struct fixture {
	struct demand *d;
	int64_t now; /* ms */
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	assert_non_null(f);
	f->d = demand_create();
	f->now = START_MS;
	demand_update(f->d, f->now * MS);
	*state = f;
	return (0);
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	demand_destroy(f->d);
	free(f);
	return (0);
}

/*
 * Advances the time with a steady arrival of work: `rate` thousandths of a core
 * on a route, in one job per tick.
 */
static void
advance(struct fixture *f, int64_t ms, const char *route, double rate)
{
	int64_t end = f->now + ms;

	while (f->now < end) {
		f->now += TICK_MS;
		if (rate > 0)
			demand_arrived(f->d, route, rate * TICK_MS, true);
		demand_update(f->d, f->now * MS);
	}
}

static struct demand_total
total(const struct fixture *f, const char *route)
{
	struct demand_total t;

	demand_total(f->d, route, &t);
	return (t);
}

static void
add_item(struct mlk_demand_report *r, const char *route, uint32_t offered,
    uint64_t queued)
{
	struct mlk_route_demand *item;

	r->items = realloc(r->items, (r->n + 1) * sizeof(*r->items));
	assert_non_null(r->items);
	item = &r->items[r->n++];
	memset(item, 0, sizeof(*item));
	(void)snprintf(item->route, sizeof(item->route), "%s", route);
	item->offered = offered;
	item->queued = queued;
}

/*
 * A report of a peer on one route arrives.
 */
static void
report(struct fixture *f, const char *id, uint64_t incarnation,
    uint64_t sent_at, const char *route, uint32_t offered)
{
	struct mlk_demand_report r = { .sent_at = sent_at,
		.incarnation = incarnation };

	(void)snprintf(r.id, sizeof(r.id), "%s", id);
	add_item(&r, route, offered, 7);
	demand_apply(f->d, &r, f->now * MS);
	free(r.items);
}

/* Guards against a rate that does not follow the load in either direction. */
static void
test_rates(void **state)
{
	struct fixture *f = *state;

	advance(f, 3000, "r", 5000);
	assert_float_equal(total(f, "r").offered, 5000, 50);
	assert_int_equal(total(f, "r").entries, 1);
	advance(f, 1500, "r", 15000);
	assert_in_range((uint64_t)total(f, "r").offered, 14500, 15500);
	advance(f, 1500, "r", 0);
	assert_in_range((uint64_t)total(f, "r").offered, 0, 200);
	assert_float_equal(total(f, "unknown").offered, 0, 0);
}

/*
 * Guards against an overload of some seconds that is taken for usual, and a
 * usual rate that starts at 0 and leaves a restarted entry without any.
 */
static void
test_usual(void **state)
{
	struct fixture *f = *state;

	advance(f, 5000, "r", 8000);
	assert_in_range((uint64_t)total(f, "r").usual, 7000, 8000);
	advance(f, 55000, "r", 8000);
	assert_in_range((uint64_t)total(f, "r").usual, 7900, 8000);
	advance(f, 3000, "r", 24000);
	assert_in_range((uint64_t)total(f, "r").usual, 8000, 8000 * 5 / 4);
	advance(f, 120000, "r", 24000);
	assert_in_range((uint64_t)total(f, "r").usual, 23000, 24100);
}

/* Guards against a bias from few runs, and one without bounds. */
static void
test_bias(void **state)
{
	struct fixture *f = *state;
	uint32_t i;

	assert_float_equal(demand_bias(f->d, "r"), 1, 0);
	for (i = 0; i < 7; i++)
		demand_ran(f->d, "r", 100, 300);
	assert_float_equal(demand_bias(f->d, "r"), 1, 0);
	demand_ran(f->d, "r", 100, 300);
	assert_float_equal(demand_bias(f->d, "r"), 3, 1e-9);
	/* It follows a change: 256 runs weigh as much as all before them. */
	for (i = 0; i < 3000; i++)
		demand_ran(f->d, "r", 100, 150);
	assert_float_equal(demand_bias(f->d, "r"), 1.5, 0.01);
	for (i = 0; i < 3000; i++)
		demand_ran(f->d, "r", 1, 1000);
	assert_true(demand_bias(f->d, "r") <= 4);
	for (i = 0; i < 3000; i++)
		demand_ran(f->d, "r", 1000, 1);
	assert_true(demand_bias(f->d, "r") >= 0.25);
	for (i = 0; i < 8; i++)
		demand_ran(f->d, "zero", 0, 1000);
	assert_float_equal(demand_bias(f->d, "zero"), 1, 0);
}

/* Guards against a rounding error that stays in an empty queue. */
static void
test_queued(void **state)
{
	struct fixture *f = *state;
	uint32_t i;

	for (i = 0; i < 1000; i++)
		demand_queued(f->d, "r", 0.1 + i * 1e9);
	assert_true(total(f, "r").queued > 4.9e14);
	for (i = 0; i < 1000; i++)
		demand_dequeued(f->d, "r", 0.1 + i * 1e9);
	assert_true(total(f, "r").queued == 0);
	demand_dequeued(f->d, "r", 5);
	assert_true(total(f, "r").queued == 0);
	/* Tasks without a need for processor time count as tasks. */
	demand_queued(f->d, "r", 0);
	demand_queued(f->d, "r", 3);
	demand_dequeued(f->d, "r", 0);
	assert_float_equal(total(f, "r").queued, 3, 0);
}

/*
 * Guards against reports that leave out the busiest routes or a route of which
 * only waiting work is left, and against numbers that the message cannot hold.
 */
static void
test_report_contents(void **state)
{
	struct mlk_demand_report r = { 0 };
	struct fixture *f = *state;
	char name[16];
	uint32_t i;

	demand_report(f->d, f->now * MS, &r);
	assert_int_equal(r.n, 0);
	free(r.items);
	for (i = 0; i < 40; i++) {
		(void)snprintf(name, sizeof(name), "r%u", i);
		demand_arrived(f->d, name, 1000.0 * (i + 1), i % 2 == 0);
	}
	f->now += 100;
	demand_update(f->d, f->now * MS);
	demand_report(f->d, f->now * MS, &r);
	assert_int_equal(r.n, MLK_DEMAND_MAX);
	assert_string_equal(r.items[0].route, "r39");
	assert_string_equal(r.items[31].route, "r8");
	assert_int_equal(r.items[0].admitted, 0);
	assert_int_equal(r.items[1].admitted, r.items[1].offered);
	for (i = 1; i < r.n; i++)
		assert_true(r.items[i].offered <= r.items[i - 1].offered);
	free(r.items);

	advance(f, 20000, "r", 0);
	demand_queued(f->d, "waits", 1e30);
	demand_arrived(f->d, "huge", 1e30, true);
	f->now += 100;
	demand_update(f->d, f->now * MS);
	demand_report(f->d, f->now * MS, &r);
	assert_int_equal(r.n, 2);
	assert_string_equal(r.items[0].route, "huge");
	assert_int_equal(r.items[0].offered, UINT32_MAX);
	assert_string_equal(r.items[1].route, "waits");
	assert_true(r.items[1].queued >= 1000000000000000000ULL);
	free(r.items);
}

/* Guards against a peer's demand that is missed, or counted after its death. */
static void
test_peers_expire(void **state)
{
	struct fixture *f = *state;
	struct demand_total t;

	advance(f, 3000, "r", 5000);
	report(f, "b", 1, 10, "r", 1000);
	report(f, "c", 1, 10, "r", 2000);
	report(f, "d", 1, 10, "other", 4000);
	t = total(f, "r");
	assert_float_equal(t.offered, 8000, 50);
	assert_float_equal(t.queued, 14, 0);
	assert_int_equal(t.entries, 4);
	advance(f, 500, "r", 5000);
	assert_int_equal(total(f, "r").age, 500 * MS);
	report(f, "c", 1, 11, "r", 3000);
	advance(f, EXPIRES_MS - 500, "r", 5000);
	t = total(f, "r");
	assert_float_equal(t.offered, 8000, 50);
	assert_int_equal(t.entries, 2);
	advance(f, 500, "r", 5000);
	t = total(f, "r");
	assert_float_equal(t.offered, 5000, 50);
	assert_int_equal(t.entries, 1);
	assert_int_equal(t.age, 0);
	assert_float_equal(total(f, "other").offered, 0, 0);
}

/*
 * Guards against the demand of two lives of one peer being added up, against a
 * report of its earlier life that comes late, and against a peer that is never
 * heard again because its machine's clock was set back.
 */
static void
test_incarnations(void **state)
{
	struct fixture *f = *state;

	report(f, "b", 5, 900, "r", 1000);
	report(f, "b", 6, 3, "r", 2000);
	assert_float_equal(total(f, "r").offered, 2000, 0);
	report(f, "b", 5, 901, "r", 1000);
	assert_float_equal(total(f, "r").offered, 2000, 0);
	assert_int_equal(total(f, "r").entries, 2);
	advance(f, EXPIRES_MS, "r", 0);
	report(f, "b", 4, 1, "r", 3000);
	assert_float_equal(total(f, "r").offered, 3000, 0);
	assert_int_equal(total(f, "r").entries, 2);
}

/* Guards against an older report that replaces a newer one. */
static void
test_out_of_order(void **state)
{
	struct fixture *f = *state;

	report(f, "b", 1, 20, "r", 2000);
	advance(f, 100, "r", 0);
	report(f, "b", 1, 19, "r", 1000);
	assert_float_equal(total(f, "r").offered, 2000, 0);
	assert_int_equal(total(f, "r").age, 100 * MS);
	report(f, "b", 1, 21, "other", 500);
	assert_float_equal(total(f, "r").offered, 0, 0);
	assert_float_equal(total(f, "other").offered, 500, 0);
}

/*
 * Guards against an expiry that stays long because of peers that are gone: it
 * follows the number of peers that are heard.
 */
static void
test_gone_peers_do_not_count(void **state)
{
	struct fixture *f = *state;
	char id[16];
	uint32_t i;

	for (i = 0; i < 40; i++) {
		(void)snprintf(id, sizeof(id), "old-%u", i);
		report(f, id, 1, 1, "r", 100);
	}
	report(f, "b", 1, 1, "r", 1000);
	/* 41 peers: reports every 1,025 ms, which count for 4,100 ms. */
	advance(f, 3900, "r", 0);
	assert_float_equal(total(f, "r").offered, 5000, 0);
	advance(f, 300, "r", 0);
	assert_float_equal(total(f, "r").offered, 0, 0);
	report(f, "b", 1, 2, "r", 1000);
	advance(f, EXPIRES_MS - 100, "r", 0);
	assert_float_equal(total(f, "r").offered, 1000, 0);
	advance(f, 200, "r", 0);
	assert_float_equal(total(f, "r").offered, 0, 0);
}

/*
 * Returns how many reports are sent in ms of a load that is played by `job`.
 */
static uint32_t
reports_sent(struct fixture *f, int64_t ms, uint32_t peers, double rate)
{
	struct mlk_demand_report r = { 0 };
	int64_t end = f->now + ms;
	uint32_t n = 0;

	while (f->now < end) {
		advance(f, TICK_MS, "r", rate);
		if (!demand_report_due(f->d, peers, f->now * MS))
			continue;
		demand_report(f->d, f->now * MS, &r);
		free(r.items);
		r.items = NULL;
		n++;
	}
	return (n);
}

/*
 * Guards against reports that stop under load, that go on when no jobs arrive,
 * and that grow in number with that of the peers.
 */
static void
test_report_interval(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(reports_sent(f, 5000, 3, 0), 0);
	(void)reports_sent(f, 5000, 3, 5000);
	assert_in_range(reports_sent(f, 10000, 3, 5000), 36, 40);
	assert_in_range(reports_sent(f, 10000, 40, 5000), 9, 10);
	assert_int_equal(reports_sent(f, 10000, 0, 5000), 0);
	/* The last reports tell the peers that no work arrives. */
	(void)reports_sent(f, 10000, 3, 0);
	assert_int_equal(reports_sent(f, 10000, 3, 0), 0);
}

/* Guards against a step of the load that peers learn of only an interval late.
 */
static void
test_early_report(void **state)
{
	struct mlk_demand_report r = { 0 };
	struct fixture *f = *state;
	int64_t at;

	advance(f, 3000, "r", 5000);
	assert_true(demand_report_due(f->d, 30, f->now * MS));
	demand_report(f->d, f->now * MS, &r);
	free(r.items);
	at = f->now;
	/* 30 peers: 750 ms, early 250 ms. */
	while (!demand_report_due(f->d, 30, f->now * MS))
		advance(f, TICK_MS, "r", 20000);
	assert_in_range(f->now - at, 250, 300);
	demand_report(f->d, f->now * MS, &r);
	assert_true(r.items[0].offered > 6500);
	free(r.items);
	/* Peers are few: at most every 100 ms. */
	assert_in_range(reports_sent(f, 400, 3, 100000), 3, 4);
}

/* A count of demand_each_route(). */
static void
count_route(const char *route, void *arg)
{
	(void)route;
	(*(uint32_t *)arg)++;
}

/*
 * Guards against memory that grows with the names that peers report or callers
 * use, and against the loss of what still waits.
 */
static void
test_routes_are_bounded(void **state)
{
	struct fixture *f = *state;
	uint32_t i, n = 0;
	char name[24];

	demand_queued(f->d, "waits", 500);
	for (i = 0; i < 3 * ROUTES_MAX; i++) {
		(void)snprintf(name, sizeof(name), "peer-%u", i);
		report(f, "b", 1, i, name, 10);
	}
	demand_each_route(f->d, count_route, &n);
	assert_in_range(n, 1, ROUTES_MAX);
	for (i = 0; i < 3 * ROUTES_MAX; i++) {
		(void)snprintf(name, sizeof(name), "busy-%u", i);
		demand_arrived(f->d, name, 1e6, true);
		demand_queued(f->d, name, 1e6);
		demand_ran(f->d, name, 1, 1);
	}
	n = 0;
	demand_each_route(f->d, count_route, &n);
	assert_in_range(n, 1, ROUTES_MAX);
	assert_float_equal(total(f, "waits").queued, 500, 0);
	for (i = 0; i < 3 * ROUTES_MAX; i++) {
		(void)snprintf(name, sizeof(name), "busy-%u", i);
		demand_dequeued(f->d, name, 1e6);
		assert_true(total(f, name).queued == 0);
	}
	assert_float_equal(total(f, "waits").queued, 500, 0);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_rates),
		TEST(test_usual),
		TEST(test_bias),
		TEST(test_queued),
		TEST(test_report_contents),
		TEST(test_peers_expire),
		TEST(test_incarnations),
		TEST(test_out_of_order),
		TEST(test_gone_peers_do_not_count),
		TEST(test_report_interval),
		TEST(test_early_report),
		TEST(test_routes_are_bounded),
	};
#undef TEST

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
