/*
 * Tests of the run library: transactions whose HTTP call cannot be started, and
 * the passing of events and effects between the loop and a reducer.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <monsoonlock/run.h>

#define OP_ID 77

static uint32_t net_events; /* reported by the loop */

static void
count_event(void *arg, const struct mlk_net_event *nev)
{
	(void)arg;
	(void)nev;
	net_events++;
}

static struct mlk_loop *
create_loop(void)
{
	struct mlk_loop_options options = {
		.handle = count_event,
		.clock = mlk_clock_system(),
		.tick_ms = 10,
		.http_body_max = 1000,
		.http_header_timeout_s = 1,
		.http_max_connections = 4,
	};
	struct mlk_error err;
	struct mlk_loop *loop;

	net_events = 0;
	loop = mlk_loop_create(&options, &err);
	assert_non_null(loop);
	return (loop);
}

static void
send_op(struct mlk_loop *loop, struct mlk_store_client *store,
    enum mlk_store_op_type type)
{
	struct mlk_effect fx = { .type = MLK_FX_STORE };

	fx.u.store.type = type;
	fx.u.store.id = OP_ID;
	assert_true(mlk_run_effect(loop, store, &fx));
}

/*
 * Asserts that the only operation sent has ended as UNAVAILABLE without an
 * event of the loop.
 */
static void
assert_unavailable(struct mlk_store_client *store, enum mlk_store_op_type type)
{
	struct mlk_store_answer answer;
	struct mlk_event ev;

	assert_int_equal(net_events, 0);
	assert_int_equal(mlk_store_client_nfailed(store), 1);
	assert_true(mlk_store_client_take_failed(store, &answer));
	mlk_store_answer_event(&answer, &ev);
	assert_int_equal(ev.type, MLK_EV_STORE);
	assert_int_equal(ev.u.store.type, type);
	assert_int_equal(ev.u.store.id, OP_ID);
	assert_int_equal(ev.u.store.status, MLK_STORE_UNAVAILABLE);
	assert_null(ev.u.store.view);
	mlk_store_answer_clear(&answer);
	assert_int_equal(mlk_store_client_nfailed(store), 0);
	assert_false(mlk_store_client_take_failed(store, &answer));
}

/*
 * Guards against a reducer that waits for ever for an operation that cannot be
 * encoded: an entry would never send an operation of that type again.
 */
static void
test_store_not_encoded(void **state)
{
	struct mlk_loop *loop = create_loop();
	struct mlk_store_client *store;

	(void)state;
	store = mlk_store_client_create(loop, "127.0.0.1:1");
	/* A takeover needs the ownership that it replaces. */
	send_op(loop, store, MLK_STORE_TAKEOVER);
	assert_unavailable(store, MLK_STORE_TAKEOVER);
	mlk_loop_destroy(loop);
	mlk_store_client_destroy(store);
}

/*
 * As test_store_not_encoded(), for an HTTP call that cannot be started because
 * the address is malformed.
 */
static void
test_store_call_not_started(void **state)
{
	struct mlk_loop *loop = create_loop();
	struct mlk_store_client *store;

	(void)state;
	store = mlk_store_client_create(loop, "no address");
	send_op(loop, store, MLK_STORE_REGISTER_AGENT);
	assert_unavailable(store, MLK_STORE_REGISTER_AGENT);
	mlk_loop_destroy(loop);
	mlk_store_client_destroy(store);
}

/*
 * Guards against a failure that is reported for an operation in flight, and
 * against a leak of operations that are unanswered when the client is
 * destroyed.
 */
static void
test_store_call_in_flight(void **state)
{
	struct mlk_loop *loop = create_loop();
	struct mlk_store_answer answer;
	struct mlk_store_client *store;

	(void)state;
	store = mlk_store_client_create(loop, "127.0.0.1:1");
	send_op(loop, store, MLK_STORE_REGISTER_AGENT);
	assert_int_equal(mlk_store_client_nfailed(store), 0);
	assert_false(mlk_store_client_take_failed(store, &answer));
	send_op(loop, store, MLK_STORE_TAKEOVER);
	mlk_loop_destroy(loop);
	mlk_store_client_destroy(store);
}

/*
 * A program whose reducer sends a takeover that cannot be encoded, on STOP and
 * again after each failure.
 */
static struct {
	struct mlk_run run;
	uint32_t depth; /* nesting of fake_apply() */
	uint32_t applied[MLK_EV_STOP + 1]; /* by type of event */
	uint32_t effects;
	uint32_t requests;
} fake;

static void
fake_apply(void *arg, const struct mlk_event *ev, struct mlk_effects *out)
{
	struct mlk_effect *fx;

	assert_ptr_equal(arg, &fake);
	assert_int_equal(fake.depth++, 0);
	fake.applied[ev->type]++;
	if (ev->type == MLK_EV_STORE)
		assert_int_equal(ev->u.store.status, MLK_STORE_UNAVAILABLE);
	if (ev->type == MLK_EV_STORE || ev->type == MLK_EV_STOP) {
		fx = mlk_effects_push(out, MLK_FX_STORE);
		assert_non_null(fx);
		fx->u.store.type = MLK_STORE_TAKEOVER;
	}
	if (ev->type == MLK_EV_TICK)
		assert_non_null(mlk_effects_push(out, MLK_FX_ABORT_TASK));
	fake.depth--;
}

static void
fake_effect(void *arg, struct mlk_effect *fx)
{
	assert_ptr_equal(arg, &fake);
	assert_int_equal(fx->type, MLK_FX_ABORT_TASK);
	fake.effects++;
}

static void
fake_http(void *arg, const struct mlk_net_event *nev)
{
	assert_ptr_equal(arg, &fake);
	assert_int_equal(nev->type, MLK_NET_HTTP_REQUEST);
	fake.requests++;
}

/*
 * Guards against a reducer that is called recursively, against a busy loop when
 * the reducer repeats a failed transaction at once, and against an event that
 * is passed to the wrong callback.
 */
static void
test_run_handle(void **state)
{
	struct mlk_net_event stop = { .type = MLK_NET_STOP };
	struct mlk_net_event tick = { .type = MLK_NET_TICK };
	struct mlk_net_event request = { .type = MLK_NET_HTTP_REQUEST };
	uint32_t i;

	(void)state;
	memset(&fake, 0, sizeof(fake));
	fake.run = (struct mlk_run){ .arg = &fake,
		.apply = fake_apply,
		.effect = fake_effect,
		.http = fake_http,
		.clock = mlk_clock_system(),
		.loop = create_loop() };
	fake.run.store = mlk_store_client_create(fake.run.loop, "127.0.0.1:1");
	mlk_run_handle(&fake.run, &stop);
	mlk_run_handle(&fake.run, &request);
	assert_int_equal(fake.applied[MLK_EV_STOP], 1);
	assert_int_equal(fake.applied[MLK_EV_STORE], 0);
	assert_int_equal(fake.requests, 1);
	for (i = 1; i <= 3; i++) {
		mlk_run_handle(&fake.run, &tick);
		assert_int_equal(fake.applied[MLK_EV_STORE], i);
		assert_int_equal(fake.applied[MLK_EV_TICK], i);
		assert_int_equal(fake.effects, i);
	}
	mlk_loop_destroy(fake.run.loop);
	mlk_store_client_destroy(fake.run.store);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_store_not_encoded),
		cmocka_unit_test(test_store_call_not_started),
		cmocka_unit_test(test_store_call_in_flight),
		cmocka_unit_test(test_run_handle),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
