/*
 * Tests of resources that are offered ahead of the expected end of a run, and
 * of tasks that are held until that end.
 */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "fake_worker.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define LINK 5
#define DC "dc-a"
#define CPU 4000 /* capacity of the worker */
#define MEM_MB 64
#define WORK_MS 60
#define AHEAD_MS 8
#define HOLD_MS 20
#define RUNNING_JOB 1
#define OTHER_JOB 2
#define EARLY_JOB 3
#define RESULTS_MAX 16
#define TASKS_MAX 4

struct bench {
	struct mlk_runner *r;
	struct fake_worker worker;
	GArray *pending; /* struct mlk_order; carried out at the next tick */
	uint32_t connect; /* last connection attempt */
	bool attached;
	bool exited;
	uint64_t last_sent_at; /* of the last message to the entry */
	uint64_t offer; /* last one; 0: none */
	uint32_t offers;
	uint32_t starts; /* that the worker accepted */
	struct mlk_run_result results[RESULTS_MAX];
	uint32_t nresults;
	uint64_t seq; /* of the last RUN */
	uint64_t announce_seq;
	uint64_t evacuations;
	int64_t now; /* ms */
	int64_t late_until; /* before this time no order is answered */
	uint32_t task_cpu; /* that each task needs */
};

static void
note_message(struct bench *t, const struct mlk_msg *msg)
{
	uint32_t i;

	switch (msg->type) {
	case MLK_MSG_ATTACH:
		t->attached = true;
		break;
	case MLK_MSG_WORKER:
		t->last_sent_at = msg->u.worker.sent_at;
		break;
	case MLK_MSG_OFFER:
		t->offer = msg->u.offer.offer;
		t->offers++;
		break;
	case MLK_MSG_ENDS:
		t->last_sent_at = msg->u.ends.sent_at;
		for (i = 0; i < msg->u.ends.n; i++) {
			assert_true(t->nresults < RESULTS_MAX);
			t->results[t->nresults++] = msg->u.ends.items[i];
		}
		break;
	default:
		break;
	}
}

static void
apply(struct bench *t, struct mlk_runner_event *ev)
{
	struct mlk_runner_effects fx = { 0 };
	struct mlk_error err = { 0 };
	struct mlk_order order;
	size_t i;

	ev->now = t->now * MS;
	assert_int_equal(mlk_runner_apply(t->r, ev, &fx, &err), 0);
	for (i = 0; i < fx.n; i++) {
		if (fx.items[i].type == MLK_RUNNER_FX_ORDER) {
			order = fx.items[i].u.order;
			memset(&order.spec, 0, sizeof(order.spec));
			(void)g_array_append_val(t->pending, order);
		} else if (fx.items[i].type == MLK_RUNNER_FX_SEND)
			note_message(t, &fx.items[i].u.send.msg);
		else if (fx.items[i].type == MLK_RUNNER_FX_CONNECT)
			t->connect = fx.items[i].u.connect.connect;
		else if (fx.items[i].type == MLK_RUNNER_FX_EXIT)
			t->exited = true;
	}
	mlk_runner_effects_free(&fx);
}

/*
 * Carries out the orders that were sent before this tick.  Before late_until,
 * starts are carried out and not answered, and listings wait.
 */
static void
run_orders(struct bench *t)
{
	struct mlk_resources task = { .cpu = t->task_cpu, .mem_mb = MEM_MB };
	struct mlk_runner_event ev;
	struct mlk_order order;
	guint i, n = t->pending->len;

	for (i = 0; i < n && !t->exited; i++) {
		order = g_array_index(t->pending, struct mlk_order, 0);
		(void)g_array_remove_index(t->pending, 0);
		if (t->now < t->late_until && order.type == MLK_ORDER_LIST) {
			(void)g_array_append_val(t->pending, order);
			continue;
		}
		fake_worker_order(&t->worker, &order, &task, WORK_MS, &ev);
		if (order.type == MLK_ORDER_START)
			t->starts += ev.u.order.result == MLK_ORDER_OK;
		if (t->now >= t->late_until)
			apply(t, &ev);
	}
}

static void
deliver(struct bench *t, struct mlk_msg *msg)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_MSG };

	ev.u.msg.link = LINK;
	ev.u.msg.msg = msg;
	apply(t, &ev);
}

/*
 * The entry answers the agent's messages, which keeps its lease alive.
 */
static void
ping(struct bench *t)
{
	struct mlk_msg msg = { .type = MLK_MSG_PING };

	msg.u.ping.sent_at = (uint64_t)t->now;
	msg.u.ping.echo = t->last_sent_at;
	deliver(t, &msg);
}

static void
tick(struct bench *t)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_TICK };

	t->now++;
	fake_worker_advance(&t->worker, t->now);
	run_orders(t);
	if (t->exited)
		return;
	apply(t, &ev);
	if (t->attached && !t->exited && t->now % 100 == 0)
		ping(t);
}

static void
advance(struct bench *t, int64_t ms)
{
	int64_t end = t->now + ms;

	while (t->now < end && !t->exited)
		tick(t);
}

static void
announce(struct bench *t)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_ANNOUNCED };
	struct mlk_announcement announcement;

	fake_worker_announce(&t->worker, ++t->announce_seq, &announcement);
	ev.u.announced = &announcement;
	apply(t, &ev);
}

/*
 * The entry sends tasks of a job; `offer` is 0 when they answer no offer.
 */
static void
send_runs(struct bench *t, uint64_t job, uint64_t offer, uint32_t n)
{
	struct mlk_run_task tasks[TASKS_MAX] = { 0 };
	struct mlk_msg msg = { .type = MLK_MSG_RUN };
	uint32_t i;

	for (i = 0; i < n; i++) {
		tasks[i].index = i;
		tasks[i].resources.cpu = t->task_cpu;
		tasks[i].resources.mem_mb = MEM_MB;
	}
	msg.u.run.sent_at = (uint64_t)t->now;
	msg.u.run.seq = ++t->seq;
	msg.u.run.job = job;
	(void)snprintf(msg.u.run.id, sizeof(msg.u.run.id), "%016" PRIx64, job);
	msg.u.run.deadline_ms = 4 * WORK_MS;
	msg.u.run.expected_ms = WORK_MS;
	msg.u.run.offer = offer;
	msg.u.run.n = n;
	msg.u.run.tasks = tasks;
	deliver(t, &msg);
}

static void
send_run(struct bench *t, uint64_t job, uint64_t offer)
{
	send_runs(t, job, offer, 1);
}

static void
send_want(struct bench *t)
{
	struct mlk_msg msg = { .type = MLK_MSG_WANT };

	msg.u.want.sent_at = (uint64_t)t->now;
	msg.u.want.want.tasks = 1;
	msg.u.want.want.resources.cpu = t->task_cpu;
	msg.u.want.want.resources.mem_mb = MEM_MB;
	deliver(t, &msg);
}

/*
 * Runs a task until it has this much of its run time left.
 */
static void
run_until_left(struct bench *t, int64_t left_ms)
{
	const struct fake_run *run = &t->worker.runs[0];

	send_run(t, RUNNING_JOB, 0);
	while (t->worker.nruns == 0)
		tick(t);
	while (run->work_ms - run->done_ms > (double)left_ms)
		tick(t);
}

/*
 * Takes the offer that is made ahead of the end of the run, and sends a task.
 */
static void
send_early(struct bench *t)
{
	while (t->offer == 0) {
		assert_int_equal(t->worker.nruns, 1);
		send_want(t);
		tick(t);
	}
	send_run(t, EARLY_JOB, t->offer);
	assert_int_equal(mlk_runner_counters(t->r)->held, 1);
	assert_int_equal(t->worker.nruns, 1);
	assert_int_equal(t->starts, 1);
}

/*
 * The number of results of a job, and the last one.
 */
static uint32_t
results_of(const struct bench *t, uint64_t job, enum mlk_run_end *last)
{
	uint32_t i, n = 0;

	for (i = 0; i < t->nresults; i++) {
		if (t->results[i].job != job)
			continue;
		*last = t->results[i].end;
		n++;
	}
	return (n);
}

static void
assert_one_result(
    const struct bench *t, uint64_t job, enum mlk_run_end expected)
{
	enum mlk_run_end end = MLK_RUN_DONE;

	assert_int_equal(results_of(t, job, &end), 1);
	assert_int_equal(end, expected);
}

static void
assert_no_result(const struct bench *t, uint64_t job)
{
	enum mlk_run_end end;

	assert_int_equal(results_of(t, job, &end), 0);
}

static void
create(struct bench *t, uint32_t ahead_ms)
{
	struct mlk_runner_event up = { .type = MLK_RUNNER_LINK_UP };
	char entries[1][MLK_ADDR_MAX] = { "10.0.0.1:7000" };
	struct mlk_runner_options options;

	mlk_runner_options_default(&options);
	(void)g_strlcpy(options.id, "agent-1", sizeof(options.id));
	(void)g_strlcpy(options.dc, DC, sizeof(options.dc));
	options.incarnation = 1;
	options.nentries = 1;
	options.entries = entries;
	options.offer_ahead_ms = ahead_ms;
	t->r = mlk_runner_create(&options);
	announce(t);
	advance(t, 20);
	up.u.link.link = LINK;
	up.u.link.connect = t->connect;
	apply(t, &up);
	advance(t, 300);
	assert_true(t->attached);
	ping(t);
}

static int
setup_with(void **state, uint32_t ahead_ms)
{
	struct bench *t = g_new0(struct bench, 1);

	t->now = 10000;
	t->task_cpu = CPU;
	t->pending = g_array_new(FALSE, FALSE, sizeof(struct mlk_order));
	fake_worker_init(&t->worker, "worker-1", 1000, CPU, t->now);
	create(t, ahead_ms);
	*state = t;
	return (0);
}

static int
setup(void **state)
{
	return (setup_with(state, AHEAD_MS));
}

static int
setup_off(void **state)
{
	return (setup_with(state, 0));
}

static int
teardown(void **state)
{
	struct bench *t = *state;

	assert_int_equal(t->worker.over_capacity, 0);
	mlk_runner_destroy(t->r);
	(void)g_array_free(t->pending, TRUE);
	g_free(t);
	return (0);
}

/*
 * Guards against offers ahead of the end, and against tasks that are held,
 * while the option is not set.
 */
static void
test_nothing_ahead_without_option(void **state)
{
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	while (t->worker.nruns > 0) {
		assert_int_equal(t->offers, 0);
		send_want(t);
		tick(t);
	}
	send_want(t);
	advance(t, 2);
	assert_int_equal(t->offers, 1);
	send_run(t, EARLY_JOB, t->offer);
	advance(t, 2);
	send_run(t, OTHER_JOB, t->offer);
	assert_one_result(t, OTHER_JOB, MLK_RUN_BUSY);
	assert_int_equal(mlk_runner_counters(t->r)->held, 0);
}

/*
 * Guards against an offer that is made too early, not ahead of the end, or
 * repeated while the first one is unanswered.
 */
static void
test_offer_ahead_of_the_end(void **state)
{
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS + 2);
	send_want(t);
	assert_int_equal(t->offers, 0);
	while (t->worker.nruns > 0) {
		send_want(t);
		tick(t);
	}
	assert_int_equal(t->offers, 1);
}

/*
 * Guards against a held task that is started before the end of the run whose
 * resources it takes is listed, not at that time, or twice.
 */
static void
test_held_until_the_end_is_listed(void **state)
{
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	send_early(t);
	while (t->nresults == 0) {
		assert_int_equal(t->starts, 1);
		tick(t);
	}
	assert_one_result(t, RUNNING_JOB, MLK_RUN_DONE);
	advance(t, 2);
	assert_int_equal(t->starts, 2);
	advance(t, 2 * WORK_MS);
	assert_one_result(t, EARLY_JOB, MLK_RUN_DONE);
	assert_int_equal(t->starts, 2);
}

/*
 * Guards against a task that is held longer than allowed for a run that does
 * not end, that is started after it was returned, or returned twice.
 */
static void
test_held_too_long(void **state)
{
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	send_early(t);
	t->worker.speed = 0;
	advance(t, HOLD_MS - 1);
	assert_no_result(t, EARLY_JOB);
	advance(t, 1);
	assert_one_result(t, EARLY_JOB, MLK_RUN_BUSY);
	t->worker.speed = 1;
	advance(t, 2 * WORK_MS);
	assert_one_result(t, RUNNING_JOB, MLK_RUN_DONE);
	assert_one_result(t, EARLY_JOB, MLK_RUN_BUSY);
	assert_int_equal(t->starts, 1);
}

/*
 * Guards against tasks that are sent again and again for the same run, each to
 * be returned, while a slow worker moves its expected end.
 */
static void
test_missed_end_is_not_expected_again(void **state)
{
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	send_early(t);
	t->worker.speed = 0.1;
	advance(t, HOLD_MS);
	assert_one_result(t, EARLY_JOB, MLK_RUN_BUSY);
	while (t->worker.nruns > 0) {
		assert_int_equal(t->offers, 1);
		send_want(t);
		tick(t);
	}
	t->worker.speed = 1;
	send_want(t);
	advance(t, 2);
	assert_int_equal(t->offers, 2);
}

/*
 * Guards against tasks that are started beyond the capacity when a message has
 * more of them than were offered, and against one that is not started because
 * the other is waiting.
 */
static void
test_more_tasks_than_offered(void **state)
{
	struct bench *t = *state;

	t->task_cpu = CPU / 2;
	send_run(t, RUNNING_JOB, 0);
	advance(t, WORK_MS / 2);
	send_run(t, OTHER_JOB, 0);
	advance(t, 2);
	while (t->offer == 0) {
		assert_int_equal(t->worker.nruns, 2);
		send_want(t);
		tick(t);
	}
	send_runs(t, EARLY_JOB, t->offer, 2);
	advance(t, HOLD_MS);
	assert_one_result(t, RUNNING_JOB, MLK_RUN_DONE);
	assert_one_result(t, EARLY_JOB, MLK_RUN_BUSY);
	assert_int_equal(t->starts, 3);
	assert_int_equal(t->worker.nruns, 2);
}

/*
 * Guards against a held task that is started after its job was dropped, and
 * against a DROP that takes the tasks of other jobs.
 */
static void
test_dropped_with_its_job(void **state)
{
	struct bench *t = *state;
	struct mlk_msg msg = { .type = MLK_MSG_DROP };

	run_until_left(t, AHEAD_MS);
	send_early(t);
	msg.u.drop.sent_at = (uint64_t)t->now;
	msg.u.drop.job = EARLY_JOB;
	deliver(t, &msg);
	advance(t, 2 * WORK_MS);
	assert_one_result(t, RUNNING_JOB, MLK_RUN_DONE);
	assert_no_result(t, EARLY_JOB);
	assert_int_equal(t->starts, 1);
}

static void
test_kept_when_other_job_is_dropped(void **state)
{
	struct bench *t = *state;
	struct mlk_msg msg = { .type = MLK_MSG_DROP };

	run_until_left(t, AHEAD_MS);
	send_early(t);
	msg.u.drop.sent_at = (uint64_t)t->now;
	msg.u.drop.job = OTHER_JOB;
	deliver(t, &msg);
	advance(t, 2 * WORK_MS);
	assert_one_result(t, EARLY_JOB, MLK_RUN_DONE);
	assert_int_equal(t->starts, 2);
}

/*
 * Guards against a held task that is started after the link with its entry
 * ended: the entry may have it started elsewhere.  The run ends by itself
 * before its stop takes effect.
 */
static void
test_dropped_with_its_link(void **state)
{
	struct mlk_runner_event down = { .type = MLK_RUNNER_LINK_DOWN };
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	send_early(t);
	down.u.link.link = LINK;
	apply(t, &down);
	advance(t, 2 * WORK_MS);
	assert_int_equal(t->worker.nruns, 0);
	assert_int_equal(t->starts, 1);
	assert_int_equal(t->nresults, 0);
}

/*
 * Guards against a held task that is started in a data centre that was
 * evacuated meanwhile.
 */
static void
test_refused_when_evacuated(void **state)
{
	struct mlk_evacuation item = { .version = 5, .dc = DC };
	struct mlk_msg msg = { .type = MLK_MSG_EVACUATIONS };
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	send_early(t);
	msg.u.evacuations.version = 5;
	msg.u.evacuations.n = 1;
	msg.u.evacuations.items = &item;
	deliver(t, &msg);
	assert_one_result(t, EARLY_JOB, MLK_RUN_REFUSED);
	advance(t, 2 * WORK_MS);
	assert_one_result(t, RUNNING_JOB, MLK_RUN_DONE);
	assert_one_result(t, EARLY_JOB, MLK_RUN_REFUSED);
	assert_int_equal(t->starts, 1);
}

/*
 * Guards against a held task that is started or lost by a planned stop.
 */
static void
test_refused_by_planned_stop(void **state)
{
	struct mlk_runner_event stop = { .type = MLK_RUNNER_STOP };
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	send_early(t);
	apply(t, &stop);
	assert_one_result(t, EARLY_JOB, MLK_RUN_REFUSED);
	assert_false(t->exited);
	advance(t, 2 * WORK_MS);
	assert_true(t->exited);
	assert_one_result(t, RUNNING_JOB, MLK_RUN_DONE);
	assert_int_equal(t->starts, 1);
}

/*
 * Guards against a held task that is started at the next boot of the worker,
 * which is smaller than the task.
 */
static void
test_refused_by_smaller_boot(void **state)
{
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	send_early(t);
	fake_worker_init(&t->worker, "worker-1", 2000, CPU / 2, t->now);
	announce(t);
	advance(t, 2 * WORK_MS);
	assert_one_result(t, EARLY_JOB, MLK_RUN_REFUSED);
	assert_int_equal(t->starts, 1);
}

/*
 * Guards against a held task that is started after a pause of the agent, when
 * the first event shows the end of the run.
 */
static void
test_returned_after_pause(void **state)
{
	struct bench *t = *state;

	run_until_left(t, AHEAD_MS);
	send_early(t);
	t->now += HOLD_MS;
	advance(t, 2 * WORK_MS);
	assert_one_result(t, RUNNING_JOB, MLK_RUN_DONE);
	assert_one_result(t, EARLY_JOB, MLK_RUN_BUSY);
	assert_int_equal(t->starts, 1);
}

/*
 * Guards against an end that is expected at once for a run whose start is
 * answered late: it is confirmed only when half of it is done.
 */
static void
test_late_answer_is_not_an_early_end(void **state)
{
	struct bench *t = *state;

	t->late_until = t->now + WORK_MS / 2;
	run_until_left(t, AHEAD_MS + 2);
	assert_true(t->now > t->late_until);
	assert_int_equal(t->offers, 0);
	send_want(t);
	assert_int_equal(t->offers, 0);
}

#define HELD_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_nothing_ahead_without_option, setup_off, teardown),
		HELD_TEST(test_offer_ahead_of_the_end),
		HELD_TEST(test_held_until_the_end_is_listed),
		HELD_TEST(test_held_too_long),
		HELD_TEST(test_missed_end_is_not_expected_again),
		HELD_TEST(test_more_tasks_than_offered),
		HELD_TEST(test_dropped_with_its_job),
		HELD_TEST(test_kept_when_other_job_is_dropped),
		HELD_TEST(test_dropped_with_its_link),
		HELD_TEST(test_refused_when_evacuated),
		HELD_TEST(test_refused_by_planned_stop),
		HELD_TEST(test_refused_by_smaller_boot),
		HELD_TEST(test_returned_after_pause),
		HELD_TEST(test_late_answer_is_not_an_early_end),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
