/*
 * Tests of two agents that give orders to one worker, as around a hand-over or
 * after a pause of the first one.  The runners are real; the worker is
 * simulated and carries out orders by its fence.
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
#define TICK_MS 10
#define LINK 5
#define JOB 77
#define WORK_MS 5000
#define TASKS_MAX 8

/* An agent with one entry attached. */
struct agent {
	struct mlk_runner *r;
	uint32_t connect; /* last connection attempt */
	bool attached;
	uint64_t last_sent_at; /* of its last message to the entry */
	uint32_t accepted; /* orders that the worker accepted */
	uint32_t starts; /* of them starts */
	enum mlk_worker_state state; /* last reported */
	uint32_t ends; /* results reported to the entry */
	enum mlk_run_end last_end;
	uint32_t acks; /* answers to the worker */
	uint32_t free_cpu; /* last reported */
	uint32_t offers;
	uint64_t confirmed; /* version of the evacuated data centres */
};

/* An order on its way to the worker. */
struct pending {
	struct agent *agent;
	struct mlk_order order; /* without its spec */
};

struct bench {
	struct fake_worker worker;
	GArray *pending; /* struct pending; carried out at the next tick */
	struct agent a, b;
	uint64_t announce_seq;
	int64_t now; /* ms */
	int64_t run_ended_at; /* at the worker; 0: none has ended */
	uint64_t silent_start; /* last start without an answer; 0: none */
	bool starts_silent; /* starts are carried out and not answered */
	bool crashes_at_start; /* the worker carries out a start, crashes and
				  is back at once under its id */
	bool dark; /* no order arrives */
	bool refuses_connections; /* no order is sent */
	uint32_t task_cpu; /* of the tasks that the entry sends */
};

static void
note_worker(struct bench *t)
{
	if (t->worker.nends > 0 && t->run_ended_at == 0)
		t->run_ended_at = t->now;
}

static void
note_message(struct agent *a, const struct mlk_msg *msg)
{
	switch (msg->type) {
	case MLK_MSG_ATTACH:
		a->attached = true;
		break;
	case MLK_MSG_WORKER:
		a->last_sent_at = msg->u.worker.sent_at;
		a->state = msg->u.worker.info.state;
		a->free_cpu = msg->u.worker.load.free.cpu;
		break;
	case MLK_MSG_OFFER:
		a->offers++;
		break;
	case MLK_MSG_EVACUATIONS:
		a->confirmed = msg->u.evacuations.version;
		break;
	case MLK_MSG_ENDS:
		a->last_sent_at = msg->u.ends.sent_at;
		a->ends += msg->u.ends.n;
		if (msg->u.ends.n > 0)
			a->last_end = msg->u.ends.items[msg->u.ends.n - 1].end;
		break;
	default:
		break;
	}
}

static void
apply(struct bench *t, struct agent *a, struct mlk_runner_event *ev)
{
	struct mlk_runner_effects fx = { 0 };
	struct pending pending = { .agent = a };
	struct mlk_error err = { 0 };
	size_t i;

	ev->now = t->now * MS;
	assert_int_equal(mlk_runner_apply(a->r, ev, &fx, &err), 0);
	for (i = 0; i < fx.n; i++) {
		if (fx.items[i].type == MLK_RUNNER_FX_ORDER) {
			pending.order = fx.items[i].u.order;
			memset(
			    &pending.order.spec, 0, sizeof(pending.order.spec));
			(void)g_array_append_val(t->pending, pending);
		} else if (fx.items[i].type == MLK_RUNNER_FX_SEND)
			note_message(a, &fx.items[i].u.send.msg);
		else if (fx.items[i].type == MLK_RUNNER_FX_ACK)
			a->acks++;
		else if (fx.items[i].type == MLK_RUNNER_FX_CONNECT)
			a->connect = fx.items[i].u.connect.connect;
	}
	mlk_runner_effects_free(&fx);
}

/*
 * The worker crashes and starts again under its id.
 */
static void
restart_worker(struct bench *t)
{
	char id[MLK_NAME_MAX];

	(void)g_strlcpy(id, t->worker.id, sizeof(id));
	fake_worker_init(&t->worker, id, t->worker.boot + 1000,
	    t->worker.capacity.cpu, t->now);
}

/*
 * Carries out the orders that were sent before this tick.  The result for a
 * paused agent is kept until it resumes.
 */
static void
run_orders(struct bench *t, const struct agent *paused)
{
	struct mlk_resources task = { .cpu = t->task_cpu, .mem_mb = 64 };
	struct mlk_runner_event ev;
	struct pending pending;
	guint i, n = t->pending->len;

	for (i = 0; i < n; i++) {
		pending = g_array_index(t->pending, struct pending, 0);
		(void)g_array_remove_index(t->pending, 0);
		if (pending.agent->r == NULL)
			continue;
		if (pending.agent == paused) {
			(void)g_array_append_val(t->pending, pending);
			continue;
		}
		if (t->dark) {
			ev = (struct mlk_runner_event){ .type =
							    MLK_RUNNER_ORDER };
			ev.u.order.order = pending.order.order;
			ev.u.order.result = t->refuses_connections ?
			    MLK_ORDER_NOT_SENT :
			    MLK_ORDER_NO_ANSWER;
			apply(t, pending.agent, &ev);
			continue;
		}
		fake_worker_order(
		    &t->worker, &pending.order, &task, WORK_MS, &ev);
		if (ev.u.order.result == MLK_ORDER_OK) {
			pending.agent->accepted++;
			pending.agent->starts +=
			    pending.order.type == MLK_ORDER_START;
		}
		note_worker(t);
		if (t->crashes_at_start &&
		    pending.order.type == MLK_ORDER_START) {
			t->silent_start = pending.order.order;
			t->crashes_at_start = false;
			restart_worker(t);
			continue;
		}
		if (t->starts_silent && pending.order.type == MLK_ORDER_START) {
			t->silent_start = pending.order.order;
			continue;
		}
		apply(t, pending.agent, &ev);
	}
}

static void
deliver(struct bench *t, struct agent *a, struct mlk_msg *msg)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_MSG };

	ev.u.msg.link = LINK;
	ev.u.msg.msg = msg;
	apply(t, a, &ev);
}

/*
 * The entry answers the agent's messages, which keeps its lease alive.
 */
static void
ping(struct bench *t, struct agent *a)
{
	struct mlk_msg msg = { .type = MLK_MSG_PING };

	msg.u.ping.sent_at = (uint64_t)t->now;
	msg.u.ping.echo = a->last_sent_at;
	deliver(t, a, &msg);
}

static void
announce(struct bench *t, struct agent *a)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_ANNOUNCED };
	struct mlk_announcement announcement;

	fake_worker_announce(&t->worker, ++t->announce_seq, &announcement);
	ev.u.announced = &announcement;
	apply(t, a, &ev);
}

/*
 * The worker announces to the first agent that it drains.
 */
static void
announce_draining(struct bench *t)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_ANNOUNCED };
	struct mlk_announcement announcement;

	fake_worker_announce(&t->worker, ++t->announce_seq, &announcement);
	announcement.info.state = MLK_WORKER_DRAINING;
	ev.u.announced = &announcement;
	apply(t, &t->a, &ev);
}

/*
 * Advances the time; `paused` handles no event.
 */
static void
advance(struct bench *t, int64_t ms, const struct agent *paused)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_TICK };
	struct agent *agents[] = { &t->a, &t->b };
	int64_t end = t->now + ms;
	size_t i;

	while (t->now < end) {
		t->now += TICK_MS;
		fake_worker_advance(&t->worker, t->now);
		note_worker(t);
		run_orders(t, paused);
		for (i = 0; i < G_N_ELEMENTS(agents); i++) {
			if (agents[i] == paused || agents[i]->r == NULL)
				continue;
			apply(t, agents[i], &ev);
			if (agents[i]->attached && t->now % 100 == 0)
				ping(t, agents[i]);
		}
	}
}

/*
 * Starts an agent that gets the given announcement and a link with the entry.
 */
static void
start_agent_with(struct bench *t, struct agent *a, const char *id,
    const struct mlk_announcement *announcement, const struct agent *paused)
{
	struct mlk_runner_event ev = { .type = MLK_RUNNER_ANNOUNCED };
	struct mlk_runner_event up = { .type = MLK_RUNNER_LINK_UP };
	char entries[1][MLK_ADDR_MAX] = { "10.0.0.1:7000" };
	struct mlk_runner_options options;

	mlk_runner_options_default(&options);
	(void)g_strlcpy(options.id, id, sizeof(options.id));
	(void)g_strlcpy(options.dc, "dc-a", sizeof(options.dc));
	options.incarnation = (uint64_t)t->now;
	options.nentries = 1;
	options.entries = entries;
	a->r = mlk_runner_create(&options);
	ev.u.announced = announcement;
	apply(t, a, &ev);
	advance(t, TICK_MS, paused);
	up.u.link.link = LINK;
	up.u.link.connect = a->connect;
	apply(t, a, &up);
	advance(t, 300, paused);
}

/*
 * Starts an agent, which finds the worker and attaches to the entry.  The other
 * agent handles no event meanwhile if it is paused.
 */
static void
start_agent(struct bench *t, struct agent *a, const char *id,
    const struct agent *paused)
{
	struct mlk_announcement announcement;

	fake_worker_announce(&t->worker, ++t->announce_seq, &announcement);
	start_agent_with(t, a, id, &announcement, paused);
	assert_true(a->attached);
	ping(t, a);
}

/*
 * The entry sends the tasks of a job, which run long.
 */
static void
post_runs(struct bench *t, struct agent *a, uint64_t job, uint32_t n)
{
	struct mlk_run_task tasks[TASKS_MAX] = { 0 };
	struct mlk_msg msg = { .type = MLK_MSG_RUN };
	uint32_t i;

	for (i = 0; i < n; i++) {
		tasks[i].index = i;
		tasks[i].resources.cpu = t->task_cpu;
		tasks[i].resources.mem_mb = 64;
	}

	msg.u.run.sent_at = (uint64_t)t->now;
	msg.u.run.seq = 1;
	msg.u.run.job = job;
	(void)snprintf(msg.u.run.id, sizeof(msg.u.run.id), "%016" PRIx64, job);
	msg.u.run.deadline_ms = 4 * WORK_MS;
	msg.u.run.n = n;
	msg.u.run.tasks = tasks;
	deliver(t, a, &msg);
}

/*
 * The entry sends the tasks of a job, and the time of an order passes.
 */
static void
send_runs(struct bench *t, struct agent *a, uint32_t n)
{
	post_runs(t, a, JOB, n);
	advance(t, 2 * TICK_MS, NULL);
}

/*
 * The entry sends one task of a long run.
 */
static void
send_run(struct bench *t, struct agent *a)
{
	send_runs(t, a, 1);
}

static int
setup(void **state)
{
	struct bench *t = g_new0(struct bench, 1);

	t->now = 10000;
	t->pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
	t->task_cpu = 1000;
	fake_worker_init(&t->worker, "worker-1", 1000, 64000, t->now);
	start_agent(t, &t->a, "agent-1", NULL);
	*state = t;
	return (0);
}

static int
teardown(void **state)
{
	struct bench *t = *state;

	mlk_runner_destroy(t->a.r);
	mlk_runner_destroy(t->b.r);
	(void)g_array_free(t->pending, TRUE);
	g_free(t);
	return (0);
}

/*
 * Guards against a first agent that outbids the fence of its successor and goes
 * on to give orders: the two would stop each other's runs in turn.
 */
static void
test_superseded_agent_gives_no_orders(void **state)
{
	struct bench *t = *state;
	uint32_t accepted;
	uint64_t fence;

	send_run(t, &t->a);
	assert_int_equal(t->a.starts, 1);
	start_agent(t, &t->b, "agent-2", NULL);
	assert_int_equal(t->b.state, MLK_WORKER_READY);
	accepted = t->a.accepted;
	fence = t->worker.fence;
	advance(t, 1000, NULL);
	assert_int_equal(t->a.accepted, accepted);
	assert_int_equal(t->worker.fence, fence);
	assert_int_equal(mlk_runner_counters(t->a.r)->superseded, 1);
	assert_int_equal(mlk_runner_counters(t->b.r)->superseded, 0);
	assert_int_equal(t->a.state, MLK_WORKER_UNAVAILABLE);
	assert_int_equal(t->b.state, MLK_WORKER_READY);
}

/*
 * Guards against an agent that was paused while its successor took over, and
 * acts on its old permission when it resumes.  Its run must have ended at the
 * worker before it is removed from the agent's table.
 */
static void
test_resumed_agent_stands_down(void **state)
{
	struct bench *t = *state;
	struct mlk_runner_gauges gauges;
	uint32_t accepted, starts;

	send_run(t, &t->a);
	accepted = t->a.accepted;
	start_agent(t, &t->b, "agent-2", &t->a);
	advance(t, 3000, &t->a);
	starts = t->a.starts;
	announce(t, &t->a);
	send_run(t, &t->a);
	advance(t, 1000, NULL);
	assert_int_equal(t->a.accepted, accepted);
	assert_int_equal(t->a.starts, starts);
	assert_true(t->run_ended_at != 0);
	advance(t, 400, NULL);
	mlk_runner_gauges(t->a.r, &gauges);
	assert_int_equal(gauges.running, 0);
}

/*
 * Guards against a worker that is lost for good when the agent with the higher
 * fence has died.
 */
static void
test_takes_over_from_a_dead_agent(void **state)
{
	struct bench *t = *state;
	struct mlk_runner *r;

	start_agent(t, &t->b, "agent-2", NULL);
	advance(t, 500, NULL);
	assert_int_equal(t->a.state, MLK_WORKER_UNAVAILABLE);
	r = t->b.r;
	t->b.r = NULL;
	mlk_runner_destroy(r);
	advance(t, 3000, NULL);
	assert_int_equal(t->a.state, MLK_WORKER_READY);
	send_run(t, &t->a);
	assert_int_equal(t->a.starts, 1);
}

/*
 * Guards against a worker that has left and is in use again after a restart of
 * its agent: a delayed announcement of it arrives before that of the worker
 * which has its address now.
 */
static void
test_departed_worker_is_not_used(void **state)
{
	struct bench *t = *state;
	struct mlk_runner_event ev = { .type = MLK_RUNNER_ANNOUNCED };
	struct mlk_announcement old;

	fake_worker_announce(&t->worker, 100, &old);
	mlk_runner_destroy(t->a.r);
	t->a.r = NULL;
	fake_worker_init(&t->worker, "worker-2", 2000, 64000, t->now);
	start_agent_with(t, &t->b, "agent-1", &old, NULL);
	advance(t, 2000, NULL);
	ping(t, &t->b);
	send_run(t, &t->b);
	assert_int_equal(t->b.accepted, 0);
	assert_int_equal(t->b.state, MLK_WORKER_UNAVAILABLE);
	t->announce_seq = 0;
	announce(t, &t->b);
	advance(t, 500, NULL);
	assert_int_equal(t->b.state, MLK_WORKER_READY);
	ev.u.announced = &old;
	apply(t, &t->b, &ev);
	advance(t, 500, NULL);
	assert_int_equal(t->b.state, MLK_WORKER_READY);
	send_run(t, &t->b);
	assert_int_equal(t->b.starts, 1);
}

/*
 * Advances the time until the worker has just answered a listing of the first
 * agent.
 */
static void
until_listed(struct bench *t)
{
	uint32_t accepted = t->a.accepted;
	int64_t from = t->now;

	while (t->a.accepted == accepted) {
		assert_true(t->now - from < 1000);
		advance(t, TICK_MS, NULL);
	}
}

/*
 * The worker is back under its id, with half of the capacity for TASKS_MAX
 * tasks.
 */
static void
restart_smaller(struct bench *t)
{
	t->worker.capacity.cpu = TASKS_MAX * 8000 / 2;
	restart_worker(t);
	t->dark = false;
}

/*
 * The idle worker is down for a time that its agent does not notice and is back
 * as a smaller one.
 */
static void
restart_smaller_unnoticed(struct bench *t)
{
	t->task_cpu = 8000;
	until_listed(t);
	t->dark = true;
	advance(t, 420, NULL);
	restart_smaller(t);
}

/*
 * Guards against starts that exceed the capacity of an idle worker that has
 * restarted unnoticed under its id as a smaller one.
 */
static void
test_smaller_after_unnoticed_restart(void **state)
{
	struct bench *t = *state;

	restart_smaller_unnoticed(t);
	send_runs(t, &t->a, TASKS_MAX);
	advance(t, 100, NULL);
	assert_int_equal(t->worker.over_capacity, 0);
	assert_int_equal(t->worker.nruns, 0);
	/* Nothing was started, so the tasks may start elsewhere at once. */
	assert_int_equal(t->a.ends, TASKS_MAX);
	assert_int_equal(t->a.last_end, MLK_RUN_REFUSED);
	assert_int_equal(t->a.state, MLK_WORKER_UNAVAILABLE);
	announce(t, &t->a);
	advance(t, 200, NULL);
	assert_int_equal(t->a.state, MLK_WORKER_READY);
	send_runs(t, &t->a, TASKS_MAX);
	advance(t, 100, NULL);
	assert_int_equal(t->worker.nruns, TASKS_MAX / 2);
	assert_int_equal(t->worker.over_capacity, 0);
}

/*
 * Guards against one task that is too large for the next life of the worker.
 */
static void
test_single_task_after_unnoticed_restart(void **state)
{
	struct bench *t = *state;

	restart_smaller_unnoticed(t);
	t->task_cpu = t->worker.capacity.cpu + 1000;
	send_run(t, &t->a);
	advance(t, 100, NULL);
	assert_int_equal(t->worker.over_capacity, 0);
	assert_int_equal(t->worker.nruns, 0);
	assert_int_equal(t->a.ends, 1);
}

/*
 * Guards against a start that is repeated at a worker which has restarted as a
 * smaller one meanwhile: its connections were refused in between.
 */
static void
test_refused_start_after_restart(void **state)
{
	struct bench *t = *state;

	t->task_cpu = 8000;
	until_listed(t);
	t->dark = true;
	t->refuses_connections = true;
	send_runs(t, &t->a, TASKS_MAX);
	restart_smaller(t);
	advance(t, 200, NULL);
	assert_int_equal(t->worker.over_capacity, 0);
	assert_int_equal(t->worker.nruns, 0);
	assert_int_equal(t->a.ends, TASKS_MAX);
	assert_int_equal(t->a.last_end, MLK_RUN_REFUSED);
}

/*
 * Guards against tasks that are kept at an idle worker which does not answer,
 * and against an agent that goes on to attract work for it.
 */
static void
test_silent_idle_worker_returns_tasks(void **state)
{
	struct bench *t = *state;

	until_listed(t);
	advance(t, 300, NULL);
	t->dark = true;
	send_runs(t, &t->a, 3);
	advance(t, TICK_MS, NULL);
	assert_int_equal(t->a.ends, 3);
	assert_int_equal(t->a.last_end, MLK_RUN_REFUSED);
	assert_int_equal(t->a.state, MLK_WORKER_DEGRADED);
	advance(t, 250, NULL);
	assert_int_equal(t->a.state, MLK_WORKER_UNAVAILABLE);
	t->dark = false;
	advance(t, 300, NULL);
	assert_int_equal(t->a.state, MLK_WORKER_READY);
	assert_int_equal(t->a.starts, 0);
	send_runs(t, &t->a, 3);
	assert_int_equal(t->worker.nruns, 3);
}

/*
 * Guards against starts that wait although the worker has just answered.
 */
static void
test_confirmed_worker_starts_at_once(void **state)
{
	struct bench *t = *state;
	const struct mlk_runner_counters *counters;

	counters = mlk_runner_counters(t->a.r);
	until_listed(t);
	send_runs(t, &t->a, 2);
	assert_int_equal(t->worker.nruns, 2);
	advance(t, 1000, NULL);
	post_runs(t, &t->a, JOB + 1, 1);
	advance(t, 2 * TICK_MS, NULL);
	assert_int_equal(t->worker.nruns, 3);
	assert_int_equal(counters->starts_waited, 0);
}

/*
 * Guards against a task that is started although its job was dropped while its
 * start waited.
 */
static void
test_drop_while_start_waits(void **state)
{
	struct bench *t = *state;
	struct mlk_msg msg = { .type = MLK_MSG_DROP };

	until_listed(t);
	advance(t, 300, NULL);
	post_runs(t, &t->a, JOB, 2);
	assert_int_equal(mlk_runner_counters(t->a.r)->starts_waited, 2);
	msg.u.drop.sent_at = (uint64_t)t->now;
	msg.u.drop.job = JOB;
	deliver(t, &t->a, &msg);
	advance(t, 1100, NULL); /* until an idle worker is reported */
	assert_int_equal(t->a.starts, 0);
	assert_int_equal(t->a.free_cpu, t->worker.capacity.cpu);
}

/*
 * Guards against repeated starts that exceed the capacity of a worker: it has
 * restarted under its id as a smaller one, while starts had no answer.
 */
static void
test_restart_with_less_capacity(void **state)
{
	struct bench *t = *state;

	t->task_cpu = 8000;
	until_listed(t);
	t->dark = true;
	send_runs(t, &t->a, TASKS_MAX);
	advance(t, 100, NULL);
	assert_int_equal(t->a.starts, 0);
	restart_smaller(t);
	announce(t, &t->a);
	advance(t, 500, NULL);
	assert_int_equal(t->worker.over_capacity, 0);
	assert_int_equal(t->worker.nruns, TASKS_MAX / 2);
}

/*
 * Guards against a started task that is reported as not run, so that its job is
 * answered as refused: the worker carries out the start and crashes before it
 * answers, and its next boot does not list the run.
 */
static void
test_start_before_a_crash_is_lost(void **state)
{
	struct bench *t = *state;
	struct mlk_runner_event late = { .type = MLK_RUNNER_ORDER };

	t->crashes_at_start = true;
	send_run(t, &t->a);
	assert_int_equal(t->a.starts, 1);
	late.u.order.order = t->silent_start;
	late.u.order.result = MLK_ORDER_NO_ANSWER;
	apply(t, &t->a, &late);
	advance(t, 500, NULL);
	assert_int_equal(t->a.ends, 1);
	assert_int_equal(t->a.last_end, MLK_RUN_LOST);
	assert_int_equal(t->worker.nruns, 0);
}

/*
 * Guards against unanswered starts that are repeated on a worker that has begun
 * to drain meanwhile.
 */
static void
test_no_repeated_start_while_draining(void **state)
{
	struct bench *t = *state;

	t->dark = true;
	send_run(t, &t->a);
	advance(t, 100, NULL);
	announce_draining(t);
	t->dark = false;
	advance(t, 500, NULL);
	assert_int_equal(t->a.starts, 0);
	assert_int_equal(t->worker.nruns, 0);
	assert_int_equal(t->a.ends, 1);
	assert_int_equal(t->a.last_end, MLK_RUN_REFUSED);
}

static void
drain(struct bench *t)
{
	announce_draining(t);
	advance(t, 2000, NULL);
}

/*
 * The notice of the worker that it leaves arrives.
 */
static void
notify_leave(struct bench *t)
{
	struct mlk_runner_event left = { .type = MLK_RUNNER_LEFT };

	t->a.acks = 0;
	(void)g_strlcpy(
	    left.u.left.worker, t->worker.id, sizeof(left.u.left.worker));
	left.u.left.request = 1;
	apply(t, &t->a, &left);
}

/*
 * The worker drains, and then says that it leaves.
 */
static void
leave(struct bench *t)
{
	drain(t);
	notify_leave(t);
}

/*
 * Guards against a run that is reported as lost while it is at work: its worker
 * has said that it leaves, and answers nothing any more, but goes on.
 */
static void
test_leaving_worker_keeps_its_lease(void **state)
{
	struct bench *t = *state;

	send_run(t, &t->a);
	leave(t);
	t->dark = true;
	while (t->worker.nruns > 0) {
		assert_int_equal(t->a.ends, 0);
		advance(t, TICK_MS, NULL);
	}
	advance(t, 400, NULL);
	assert_int_equal(t->a.ends, 1);
}

/*
 * Guards against tasks that wait for the leases of a worker which has left: its
 * notice is answered only when its runs have been stopped and listed.
 */
static void
test_leaving_worker_hands_over(void **state)
{
	struct bench *t = *state;

	send_run(t, &t->a);
	leave(t);
	assert_int_equal(t->a.acks, 0);
	advance(t, 200, NULL);
	assert_int_equal(t->worker.nruns, 0);
	assert_int_equal(t->a.ends, 1);
	assert_int_equal(t->a.last_end, MLK_RUN_STOPPED);
	assert_int_equal(t->a.acks, 1);
	assert_int_equal(t->a.state, MLK_WORKER_UNAVAILABLE);
}

/*
 * Guards against a notice to leave without an answer: the worker leaves with
 * nothing at work.
 */
static void
test_notice_to_leave_is_answered(void **state)
{
	struct bench *t = *state;

	leave(t);
	assert_int_equal(t->a.acks, 1);
}

/* The same, with a run that cannot be stopped. */
static void
test_notice_with_a_run_is_answered(void **state)
{
	struct bench *t = *state;

	send_run(t, &t->a);
	leave(t);
	t->dark = true;
	advance(t, 500, NULL);
	assert_int_equal(t->a.ends, 0);
	assert_int_equal(t->a.acks, 1);
}

/*
 * Guards against a delayed notice to leave that ends the runs of a later life
 * of the worker, under the same id, and takes that one out of use.
 */
static void
test_notice_of_an_earlier_life(void **state)
{
	struct bench *t = *state;

	drain(t);
	restart_worker(t);
	t->announce_seq = 0;
	announce(t, &t->a);
	advance(t, 200, NULL);
	assert_int_equal(t->a.state, MLK_WORKER_READY);
	send_run(t, &t->a);
	notify_leave(t);
	assert_int_equal(t->a.acks, 1);
	advance(t, 1000, NULL);
	assert_int_equal(t->a.ends, 0);
	assert_int_equal(t->worker.nruns, 1);
	assert_int_equal(t->a.state, MLK_WORKER_READY);
}

/*
 * The same, before the worker has confirmed its announced boot: the notice must
 * not make the agent forget the announcement.
 */
static void
test_notice_beside_a_new_boot(void **state)
{
	struct bench *t = *state;

	drain(t);
	restart_worker(t);
	t->announce_seq = 0;
	announce(t, &t->a);
	notify_leave(t);
	advance(t, 200, NULL);
	assert_int_equal(t->a.acks, 1);
	assert_int_equal(t->a.state, MLK_WORKER_READY);
}

/*
 * Guards against the use of a run that is freed: its start has no answer, a
 * listing shows it active, it is stopped and ends, and then the start times
 * out.
 */
static void
test_start_times_out_after_the_end(void **state)
{
	struct bench *t = *state;
	struct mlk_msg drop = { .type = MLK_MSG_DROP };
	struct mlk_runner_event late = { .type = MLK_RUNNER_ORDER };
	struct mlk_runner_gauges gauges;

	t->starts_silent = true;
	send_run(t, &t->a);
	assert_int_not_equal(t->silent_start, 0);
	advance(t, 10 * TICK_MS, NULL);
	drop.u.drop.sent_at = (uint64_t)t->now;
	drop.u.drop.job = JOB;
	deliver(t, &t->a, &drop);
	advance(t, 30 * TICK_MS, NULL);
	mlk_runner_gauges(t->a.r, &gauges);
	assert_int_equal(gauges.running, 0);
	late.u.order.order = t->silent_start;
	late.u.order.result = MLK_ORDER_NO_ANSWER;
	apply(t, &t->a, &late);
	t->starts_silent = false;
	advance(t, 30 * TICK_MS, NULL);
	send_run(t, &t->a);
	advance(t, 10 * TICK_MS, NULL);
	mlk_runner_gauges(t->a.r, &gauges);
	assert_int_equal(gauges.running, 1);
}

/*
 * The entry sends a set of evacuated data centres; dc may be NULL.
 */
static void
send_evacuations(struct bench *t, uint64_t version, const char *dc)
{
	struct mlk_evacuation item = { .version = version };
	struct mlk_msg msg = { .type = MLK_MSG_EVACUATIONS };

	if (dc != NULL)
		(void)g_strlcpy(item.dc, dc, sizeof(item.dc));
	msg.u.evacuations.version = version;
	msg.u.evacuations.n = dc != NULL;
	msg.u.evacuations.items = &item;
	deliver(t, &t->a, &msg);
}

/*
 * Guards against an agent in an evacuated data centre that starts a task,
 * reports free resources, makes an offer, stops its runs, or takes an older set
 * for a newer one; and against one that stays evacuated.
 */
static void
test_evacuated_agent_starts_nothing(void **state)
{
	struct bench *t = *state;
	struct mlk_msg want = { .type = MLK_MSG_WANT };

	send_run(t, &t->a);
	send_evacuations(t, 5, "dc-a");
	assert_int_equal(t->a.confirmed, 5);
	assert_int_equal(t->a.free_cpu, 0);
	send_evacuations(t, 4, NULL);
	assert_int_equal(t->a.confirmed, 5);
	want.u.want.sent_at = (uint64_t)t->now;
	want.u.want.want.tasks = 4;
	want.u.want.want.resources.cpu = 1000;
	deliver(t, &t->a, &want);
	advance(t, 40, NULL);
	assert_int_equal(t->a.offers, 0);
	send_run(t, &t->a);
	assert_int_equal(t->a.starts, 1);
	assert_int_equal(t->a.last_end, MLK_RUN_REFUSED);
	advance(t, 1000, NULL);
	assert_int_equal(t->worker.nruns, 1);
	send_evacuations(t, 6, "dc-b");
	assert_true(t->a.free_cpu > 0);
	advance(t, 5000, NULL);
	send_run(t, &t->a);
	assert_int_equal(t->a.starts, 2);
}

/*
 * Guards against a start without an answer that is repeated after the data
 * centre has been evacuated.
 */
static void
test_no_repeated_start_while_evacuated(void **state)
{
	struct bench *t = *state;

	t->dark = true;
	send_run(t, &t->a);
	send_evacuations(t, 5, "dc-a");
	t->dark = false;
	advance(t, 500, NULL);
	assert_int_equal(t->a.starts, 0);
	assert_int_equal(t->worker.nruns, 0);
	assert_int_equal(t->a.ends, 1);
	assert_int_equal(t->a.last_end, MLK_RUN_REFUSED);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_smaller_after_unnoticed_restart, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_single_task_after_unnoticed_restart, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_refused_start_after_restart, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_silent_idle_worker_returns_tasks, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_confirmed_worker_starts_at_once, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_drop_while_start_waits, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_restart_with_less_capacity, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_start_before_a_crash_is_lost, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_no_repeated_start_while_draining, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_leaving_worker_keeps_its_lease, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_leaving_worker_hands_over, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_notice_to_leave_is_answered, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_notice_of_an_earlier_life, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_notice_beside_a_new_boot, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_notice_with_a_run_is_answered, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_superseded_agent_gives_no_orders, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_resumed_agent_stands_down, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_takes_over_from_a_dead_agent, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_departed_worker_is_not_used, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_start_times_out_after_the_end, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_evacuated_agent_starts_nothing, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_no_repeated_start_while_evacuated, setup, teardown),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
