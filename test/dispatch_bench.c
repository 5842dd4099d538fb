#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "dispatch_bench.h"

#define TICK_MS 20
#define MEM_MB 131072
#define TASK_MEM_MB 64

static void
init_options(struct mlk_dispatcher_options *options, const char *id)
{
	mlk_dispatcher_options_default(options);
	(void)g_strlcpy(options->self.id, id, sizeof(options->self.id));
	strcpy(options->self.dc, "dc-a");
	strcpy(options->self.addr, "10.0.0.1:7000");
	options->self.incarnation = 1;
	options->seed = 7;
}

static void
init_with(
    struct dispatch_bench *b, const struct mlk_dispatcher_options *options)
{
	memset(b, 0, sizeof(*b));
	b->now = 1000 * BENCH_MS;
	b->estimate_ms = 50;
	b->d = mlk_dispatcher_create(options);
	assert_non_null(b->d);
}

void
bench_init_as(struct dispatch_bench *b, const char *id,
    enum mlk_interference_mode interference, struct mlk_route_pair *pinned)
{
	struct mlk_dispatcher_options options;

	init_options(&options, id);
	options.interference = interference;
	options.npairs = pinned != NULL;
	options.pairs = pinned;
	init_with(b, &options);
}

void
bench_init_admission(
    struct dispatch_bench *b, enum mlk_admission_mode admission)
{
	struct mlk_dispatcher_options options;

	init_options(&options, "entry-1");
	options.admission = admission;
	init_with(b, &options);
}

void
bench_init(struct dispatch_bench *b)
{
	bench_init_as(b, "entry-1", MLK_INTERFERENCE_OFF, NULL);
}

void
bench_free(struct dispatch_bench *b)
{
	mlk_dispatch_effects_free(&b->fx);
	mlk_dispatcher_destroy(b->d);
}

void
bench_apply(struct dispatch_bench *b, struct mlk_dispatch_event *ev)
{
	const struct mlk_dispatch_effect *fx;
	struct bench_answer *answer;
	struct mlk_error err = { 0 };
	size_t i;

	mlk_dispatch_effects_clear(&b->fx);
	ev->now = b->now;
	assert_int_equal(mlk_dispatcher_apply(b->d, ev, &b->fx, &err), 0);
	for (i = 0; i < b->fx.n; i++) {
		fx = &b->fx.items[i];
		if (fx->type == MLK_DISPATCH_FX_EXIT)
			b->exited = true;
		if (fx->type == MLK_DISPATCH_FX_CONNECT)
			b->last_connect = fx->u.connect.connect;
		if (fx->type == MLK_DISPATCH_FX_SEND &&
		    fx->u.send.msg.type == MLK_MSG_PEERS)
			b->peers_sent += fx->u.send.msg.u.peers.n;
		if (fx->type != MLK_DISPATCH_FX_ANSWER)
			continue;
		assert_true(b->nanswers < BENCH_ANSWERS_MAX);
		answer = &b->answers[b->nanswers++];
		answer->request = fx->u.answer.request;
		answer->outcome = fx->u.answer.outcome;
		answer->retry_after_ms = fx->u.answer.retry_after_ms;
		answer->at = b->now;
	}
}

void
bench_advance(struct dispatch_bench *b, int64_t ms)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_TICK };
	int64_t end = b->now + ms * BENCH_MS;

	while (b->now < end && !b->exited) {
		b->now += TICK_MS * BENCH_MS;
		if (b->now > end)
			b->now = end;
		bench_apply(b, &ev);
	}
}

void
bench_set_routes(struct dispatch_bench *b, uint64_t version, uint32_t attempts)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_ROUTES };
	struct mlk_route route = { .timeout_ms = 1500,
		.target_ms = 60,
		.attempts = attempts,
		.stretch = 1600 };
	struct mlk_routing routing = {
		.version = version, .nroutes = 1, .routes = &route
	};

	strcpy(route.host, BENCH_HOST);
	strcpy(route.prefix, BENCH_PREFIX);
	strcpy(route.pool, BENCH_POOL);
	ev.u.routes = &routing;
	bench_apply(b, &ev);
}

void
bench_deliver(struct dispatch_bench *b, uint32_t link, struct mlk_msg *msg)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_MSG };

	ev.u.msg.link = link;
	ev.u.msg.msg = msg;
	bench_apply(b, &ev);
}

static uint64_t
now_ms(const struct dispatch_bench *b)
{
	return ((uint64_t)(b->now / BENCH_MS));
}

void
bench_report_worker(struct dispatch_bench *b, struct bench_agent *a,
    enum mlk_worker_state state)
{
	struct mlk_msg msg = { .type = MLK_MSG_WORKER };

	msg.u.worker.sent_at = now_ms(b);
	msg.u.worker.seen = a->seen;
	msg.u.worker.info.state = state;
	msg.u.worker.info.boot = 1;
	msg.u.worker.info.capacity = a->capacity;
	msg.u.worker.info.speed = a->speed;
	(void)g_strlcpy(
	    msg.u.worker.info.id, a->id, sizeof(msg.u.worker.info.id));
	strcpy(msg.u.worker.info.pool, BENCH_POOL);
	msg.u.worker.load.free = a->free;
	msg.u.worker.load.running = a->running;
	bench_deliver(b, a->link, &msg);
}

void
bench_attach(struct dispatch_bench *b, struct bench_agent *a, const char *id,
    const char *dc, uint32_t cpu)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_LINK_UP };
	struct mlk_msg msg = { .type = MLK_MSG_ATTACH };

	memset(a, 0, sizeof(*a));
	a->link = ++b->last_link;
	snprintf(a->id, sizeof(a->id), "%s", id);
	a->capacity.cpu = cpu;
	a->capacity.mem_mb = MEM_MB;
	a->free = a->capacity;
	ev.u.link.link = a->link;
	bench_apply(b, &ev);
	(void)g_strlcpy(msg.u.attach.id, a->id, sizeof(msg.u.attach.id));
	snprintf(msg.u.attach.dc, sizeof(msg.u.attach.dc), "%s", dc);
	msg.u.attach.incarnation = a->link;
	bench_deliver(b, a->link, &msg);
	bench_report_worker(b, a, MLK_WORKER_READY);
}

void
bench_add_peer(struct dispatch_bench *b, uint32_t number)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_LINK_UP };
	struct mlk_msg msg = { .type = MLK_MSG_PEER_HELLO };
	struct mlk_peer_info *self = &msg.u.peer_hello.self;

	ev.u.link.link = ++b->last_link;
	bench_apply(b, &ev);
	snprintf(self->id, sizeof(self->id), "peer-%u", number);
	snprintf(self->addr, sizeof(self->addr), "10.0.1.%u:7000", number);
	self->incarnation = b->last_link;
	bench_deliver(b, b->last_link, &msg);
	/* The entry connects to the peer as well. */
	bench_advance(b, 2 * TICK_MS);
	ev.u.link.link = ++b->last_link;
	ev.u.link.connect = b->last_connect;
	bench_apply(b, &ev);
	bench_deliver(b, b->last_link, &msg);
}

void
bench_link_down(struct dispatch_bench *b, struct bench_agent *a)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_LINK_DOWN };

	ev.u.link.link = a->link;
	bench_apply(b, &ev);
}

uint64_t
bench_submit(struct dispatch_bench *b, const char *id, uint32_t count,
    uint32_t cpu, uint32_t deadline_ms)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_SUBMIT };
	struct mlk_step step = { .count = count,
		.resources = { .cpu = cpu, .mem_mb = TASK_MEM_MB },
		.estimate_ms = b->estimate_ms };
	struct mlk_work work = { .spec = (const uint8_t *)"spec",
		.spec_len = 4,
		.nsteps = 1,
		.steps = &step };

	snprintf(work.id, sizeof(work.id), "%s", id);
	ev.u.submit.request = ++b->last_request;
	ev.u.submit.request_id = id;
	ev.u.submit.host = BENCH_HOST;
	ev.u.submit.path = BENCH_PREFIX "0123456789abcdef";
	ev.u.submit.deadline_ms = deadline_ms;
	ev.u.submit.held = b->held;
	ev.u.submit.work = &work;
	bench_apply(b, &ev);
	return (b->last_request);
}

void
bench_set_estimate(struct dispatch_bench *b, uint32_t ms)
{
	b->estimate_ms = ms;
}

void
bench_offer(struct dispatch_bench *b, struct bench_agent *a, uint64_t offer,
    uint32_t cpu)
{
	struct mlk_msg msg = { .type = MLK_MSG_OFFER };

	msg.u.offer.sent_at = now_ms(b);
	msg.u.offer.offer = offer;
	msg.u.offer.resources.cpu = cpu;
	msg.u.offer.resources.mem_mb = TASK_MEM_MB * 8;
	bench_deliver(b, a->link, &msg);
}

void
bench_caller_gone(struct dispatch_bench *b, uint64_t request)
{
	struct mlk_dispatch_event ev = { .type = MLK_DISPATCH_CALLER_GONE };

	ev.u.gone.request = request;
	bench_apply(b, &ev);
}

const struct mlk_msg *
bench_sent(const struct dispatch_bench *b, const struct bench_agent *a,
    enum mlk_msg_type type, uint32_t i)
{
	const struct mlk_dispatch_effect *fx;
	size_t k;

	for (k = 0; k < b->fx.n; k++) {
		fx = &b->fx.items[k];
		if (fx->type == MLK_DISPATCH_FX_SEND &&
		    fx->u.send.link == a->link && fx->u.send.msg.type == type &&
		    i-- == 0)
			return (&fx->u.send.msg);
	}
	return (NULL);
}

uint32_t
bench_sent_tasks(const struct dispatch_bench *b, const struct bench_agent *a)
{
	const struct mlk_msg *msg;
	uint32_t i, n = 0;

	for (i = 0; (msg = bench_sent(b, a, MLK_MSG_RUN, i)) != NULL; i++)
		n += msg->u.run.n;
	return (n);
}

/*
 * Sends an ENDS message for one run, with the agent's current load.
 */
void
bench_end_run(struct dispatch_bench *b, struct bench_agent *a, uint64_t job,
    uint32_t index, enum mlk_run_end end)
{
	struct mlk_msg msg = { .type = MLK_MSG_ENDS };
	struct mlk_run_result result = {
		.job = job, .index = index, .end = end, .run_ms = b->run_ms
	};

	msg.u.ends.sent_at = now_ms(b);
	msg.u.ends.seen = a->seen;
	msg.u.ends.load.free = a->free;
	msg.u.ends.load.running = a->running;
	msg.u.ends.n = 1;
	msg.u.ends.items = &result;
	bench_deliver(b, a->link, &msg);
}

const struct bench_answer *
bench_answer_to(const struct dispatch_bench *b, uint64_t request)
{
	uint32_t i;

	for (i = 0; i < b->nanswers; i++) {
		if (b->answers[i].request == request)
			return (&b->answers[i]);
	}
	return (NULL);
}
