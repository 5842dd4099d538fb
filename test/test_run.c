/*
 * Tests of the run library: transactions whose call cannot be begun, and the
 * passing of events and effects between the loop and a reducer.
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

static uint32_t net_events; /* what the loop reported */

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
 * Asserts that the one operation sent has ended as UNAVAILABLE, and that its
 * end was reported by no event of the loop.
 */
static void
expect_unavailable(struct mlk_store_client *store, enum mlk_store_op_type type)
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

/* Guards against a reducer that waits for ever for an operation that cannot be
 * encoded: an entry would never send that kind of operation again. */
static void
test_store_not_encoded(void **state)
{
	struct mlk_loop *loop = create_loop();
	struct mlk_store_client *store;

	(void)state;
	store = mlk_store_client_create(loop, "127.0.0.1:1");
	/* A takeover needs the ownership that it replaces. */
	send_op(loop, store, MLK_STORE_TAKEOVER);
	expect_unavailable(store, MLK_STORE_TAKEOVER);
	mlk_loop_destroy(loop);
	mlk_store_client_destroy(store);
}

/* The same for a call that cannot be begun. */
static void
test_store_not_begun(void **state)
{
	struct mlk_loop *loop = create_loop();
	struct mlk_store_client *store;

	(void)state;
	store = mlk_store_client_create(loop, "no address");
	send_op(loop, store, MLK_STORE_REGISTER_AGENT);
	expect_unavailable(store, MLK_STORE_REGISTER_AGENT);
	mlk_loop_destroy(loop);
	mlk_store_client_destroy(store);
}

/* Guards against a second answer to an operation that is under way, and
 * against a leak of one that is still unanswered at the end. */
static void
test_store_begun(void **state)
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

/* A reducer that sends the same takeover, which cannot be encoded, on STOP and
 * after each failure. */
static struct {
	struct mlk_run run;
	uint32_t depth; /* of calls in progress */
	uint32_t applied[MLK_EV_STOP + 1]; /* by type of event */
	uint32_t effects;
	uint32_t requests;
} played;

static void
played_apply(void *arg, const struct mlk_event *ev, struct mlk_effects *out)
{
	struct mlk_effect *fx;

	assert_ptr_equal(arg, &played);
	assert_int_equal(played.depth++, 0);
	played.applied[ev->type]++;
	if (ev->type == MLK_EV_STORE)
		assert_int_equal(ev->u.store.status, MLK_STORE_UNAVAILABLE);
	if (ev->type == MLK_EV_STORE || ev->type == MLK_EV_STOP) {
		fx = mlk_effects_push(out, MLK_FX_STORE);
		assert_non_null(fx);
		fx->u.store.type = MLK_STORE_TAKEOVER;
	}
	if (ev->type == MLK_EV_TICK)
		assert_non_null(mlk_effects_push(out, MLK_FX_ABORT_TASK));
	played.depth--;
}

static void
played_effect(void *arg, struct mlk_effect *fx)
{
	assert_ptr_equal(arg, &played);
	assert_int_equal(fx->type, MLK_FX_ABORT_TASK);
	played.effects++;
}

static void
played_http(void *arg, const struct mlk_net_event *nev)
{
	assert_ptr_equal(arg, &played);
	assert_int_equal(nev->type, MLK_NET_HTTP_REQUEST);
	played.requests++;
}

/* Guards against a reducer that is entered while it runs, against a failed
 * transaction that keeps the loop busy when it is sent again at once, and
 * against an event that goes to the wrong part of the program. */
static void
test_run_handle(void **state)
{
	struct mlk_net_event stop = { .type = MLK_NET_STOP };
	struct mlk_net_event tick = { .type = MLK_NET_TICK };
	struct mlk_net_event request = { .type = MLK_NET_HTTP_REQUEST };
	uint32_t i;

	(void)state;
	memset(&played, 0, sizeof(played));
	played.run = (struct mlk_run){ .arg = &played,
		.apply = played_apply,
		.effect = played_effect,
		.http = played_http,
		.clock = mlk_clock_system(),
		.loop = create_loop() };
	played.run.store =
	    mlk_store_client_create(played.run.loop, "127.0.0.1:1");
	mlk_run_handle(&played.run, &stop);
	mlk_run_handle(&played.run, &request);
	assert_int_equal(played.applied[MLK_EV_STOP], 1);
	assert_int_equal(played.applied[MLK_EV_STORE], 0);
	assert_int_equal(played.requests, 1);
	for (i = 1; i <= 3; i++) {
		mlk_run_handle(&played.run, &tick);
		assert_int_equal(played.applied[MLK_EV_STORE], i);
		assert_int_equal(played.applied[MLK_EV_TICK], i);
		assert_int_equal(played.effects, i);
	}
	mlk_loop_destroy(played.run.loop);
	mlk_store_client_destroy(played.run.store);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_store_not_encoded),
		cmocka_unit_test(test_store_not_begun),
		cmocka_unit_test(test_store_begun),
		cmocka_unit_test(test_run_handle),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
