/*
 * Tests of the wire library: each type of message is decoded as it was encoded,
 * and no malformed input is read past its end or accepted.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <monsoonlock/wire.h>

#define MARK_BYTES 4U /* bytes of a record mark */
#define ITEMS 3U /* elements of each array */
#define CORRUPTIONS 4000
#define SEED 20260101U

static struct mlk_rng rng;

static uint64_t
rand64(void)
{
	return (mlk_rng_next(&rng));
}

static uint32_t
rand32(void)
{
	return ((uint32_t)mlk_rng_next(&rng));
}

static struct mlk_key
rand_key(void)
{
	struct mlk_key k;

	k.lo = rand64();
	k.hi = rand64();
	return (k);
}

/*
 * Fills a zeroed text field: one time in three to its full length, otherwise
 * with 5 letters.
 */
static void
fill_text(char *field, size_t size)
{
	size_t len, i;

	len = mlk_rng_below(&rng, 3) == 0 ? size - 1 : 5;
	for (i = 0; i < len; i++)
		field[i] = (char)('a' + mlk_rng_below(&rng, 26));
}

#define TEXT(field) fill_text(field, sizeof(field))

static void
fill_blob(struct mlk_blob *b)
{
	uint8_t bytes[64];
	size_t i, len;

	len = mlk_rng_below(&rng, sizeof(bytes));
	for (i = 0; i < len; i++)
		bytes[i] = (uint8_t)rand32();
	assert_int_equal(mlk_blob_copy(b, bytes, len), 0);
}

static void *
items(size_t size)
{
	void *p = calloc(ITEMS, size);

	assert_non_null(p);
	return (p);
}

static void
fill_peer(struct mlk_peer_info *p)
{
	TEXT(p->id);
	p->incarnation = rand64();
	TEXT(p->addr);
	TEXT(p->dc);
}

static void
fill_demand(struct mlk_demand *d)
{
	d->queued_short = rand32();
	d->queued_long = rand32();
	d->short_load = rand32();
	d->known_slots = rand32();
	d->long_cap = rand32();
}

static void
fill_credits(struct mlk_credits *c)
{
	c->any = rand32();
	c->short_only = rand32();
}

static void
fill_start(struct mlk_msg *m)
{
	struct mlk_start_task *t;
	uint32_t i;

	m->u.start.incarnation = rand64();
	fill_demand(&m->u.start.demand);
	m->u.start.n = ITEMS;
	m->u.start.tasks = items(sizeof(*t));
	for (i = 0; i < ITEMS; i++) {
		t = &m->u.start.tasks[i];
		t->key = rand_key();
		t->index = i;
		t->epoch = rand32();
		t->is_long = i & 1;
		t->timeout_ms = rand32();
		TEXT(t->kind);
		fill_blob(&t->payload);
	}
}

static void
fill_result(struct mlk_msg *m)
{
	struct mlk_result_item *r;
	uint32_t i;

	m->u.result.seq = rand64();
	fill_credits(&m->u.result.grant);
	m->u.result.n = ITEMS;
	m->u.result.items = items(sizeof(*r));
	for (i = 0; i < ITEMS; i++) {
		r = &m->u.result.items[i];
		r->key = rand_key();
		r->index = MLK_TASKS_MAX - 1 - i;
		r->status = MLK_TASK_DONE + i;
		r->epoch = rand32();
		r->retryable = i & 1;
		r->run_ms = rand32();
		fill_blob(&r->payload);
	}
}

static void
fill_query_reply(struct mlk_msg *m)
{
	struct mlk_record_item *r;
	uint32_t i;

	m->u.query_reply.key = rand_key();
	m->u.query_reply.incarnation = rand64();
	m->u.query_reply.epoch = rand32();
	m->u.query_reply.n = ITEMS;
	m->u.query_reply.items = items(sizeof(*r));
	for (i = 0; i < ITEMS; i++) {
		r = &m->u.query_reply.items[i];
		r->index = i;
		r->status = MLK_TASK_RUNNING + i;
		r->run_ms = rand32();
		r->has_result = i & 1;
		fill_blob(&r->payload);
	}
}

static void
fill_config(struct mlk_config *c)
{
	struct mlk_intent *in;
	uint32_t i;

	c->version = rand64();
	c->digest = rand_key();
	c->nintents = ITEMS;
	c->intents = items(sizeof(*in));
	for (i = 0; i < ITEMS; i++) {
		in = &c->intents[i];
		TEXT(in->id);
		in->type = MLK_INTENT_PREFER_DC + i % 2;
		TEXT(in->subject);
		TEXT(in->target);
		in->value = (int32_t)rand32();
		TEXT(in->author);
		TEXT(in->reason);
		in->created = (int64_t)rand64();
		in->expires = (int64_t)rand64();
		TEXT(in->displaced);
	}
}

static void
fill_forward(struct mlk_msg *m)
{
	struct mlk_job_spec *s = &m->u.forward.spec;
	uint32_t i;

	m->u.forward.request = rand64();
	m->u.forward.open_epoch = rand32();
	m->u.forward.wait = 1;
	m->u.forward.lookup = 1;
	TEXT(s->id);
	TEXT(s->team);
	s->digest = rand_key();
	s->deadline_ms = rand32();
	s->ntasks = ITEMS;
	s->tasks = items(sizeof(*s->tasks));
	for (i = 0; i < ITEMS; i++) {
		TEXT(s->tasks[i].kind);
		fill_blob(&s->tasks[i].payload);
		s->tasks[i].repeatable = i & 1;
		s->tasks[i].declared_ms = rand32();
	}
}

static void
fill_forward_reply(struct mlk_msg *m)
{
	struct mlk_job_answer *a = &m->u.forward_reply.answer;
	uint32_t i;

	m->u.forward_reply.request = rand64();
	m->u.forward_reply.epoch = rand32();
	m->u.forward_reply.open = 1;
	m->u.forward_reply.code = MLK_ERR_DENIED;
	a->key = rand_key();
	a->outcome = MLK_OUTCOME_UNKNOWN;
	a->retry_after_ms = rand32();
	TEXT(a->reason);
	a->ntasks = ITEMS;
	a->tasks = items(sizeof(*a->tasks));
	for (i = 0; i < ITEMS; i++) {
		a->tasks[i].status = MLK_TASK_FAILED + i;
		TEXT(a->tasks[i].worker);
		a->tasks[i].run_ms = rand32();
		fill_blob(&a->tasks[i].payload);
	}
}

static void
fill_fence(struct mlk_msg *m)
{
	uint32_t i;

	m->u.fence.incarnation = rand64();
	m->u.fence.n = ITEMS;
	m->u.fence.items = items(sizeof(*m->u.fence.items));
	for (i = 0; i < ITEMS; i++) {
		m->u.fence.items[i].partition = MLK_PARTITIONS - 1 - i;
		m->u.fence.items[i].epoch = rand32();
	}
}

static void
fill_fence_reply(struct mlk_msg *m)
{
	uint32_t i;

	m->u.fence_reply.incarnation = rand64();
	m->u.fence_reply.rejected = rand64();
	m->u.fence_reply.partitions = rand64();
	m->u.fence_reply.last = 1;
	m->u.fence_reply.n = ITEMS;
	m->u.fence_reply.hashes = items(sizeof(uint32_t));
	for (i = 0; i < ITEMS; i++)
		m->u.fence_reply.hashes[i] = rand32();
}

static void
fill_hellos(struct mlk_msg *m)
{
	if (m->type == MLK_MSG_HELLO) {
		TEXT(m->u.hello.id);
		m->u.hello.incarnation = rand64();
		m->u.hello.first_incarnation = rand64();
		TEXT(m->u.hello.dc);
		m->u.hello.slots = rand32();
		m->u.hello.config_version = rand64();
	} else if (m->type == MLK_MSG_WELCOME) {
		fill_peer(&m->u.welcome.self);
		m->u.welcome.config_version = rand64();
	} else {
		fill_peer(&m->u.peer_hello.self);
		m->u.peer_hello.config_version = rand64();
		m->u.peer_hello.ownership_version = rand64();
	}
}

static void
fill_peers(struct mlk_msg *m)
{
	uint32_t i;

	m->u.peers.n = ITEMS;
	m->u.peers.peers = items(sizeof(*m->u.peers.peers));
	for (i = 0; i < ITEMS; i++)
		fill_peer(&m->u.peers.peers[i]);
}

static void
fill_resources(struct mlk_resources *r)
{
	r->cpu = rand32();
	r->mem_mb = rand32();
	r->gpu = rand32();
}

static void
fill_want(struct mlk_want *w)
{
	w->tasks = rand32();
	w->urgency_ms = rand32();
	fill_resources(&w->resources);
}

static void
fill_worker(struct mlk_msg *m)
{
	m->u.worker.sent_at = rand64();
	m->u.worker.seen = rand64();
	m->u.worker.routing_version = rand64();
	TEXT(m->u.worker.info.id);
	m->u.worker.info.boot = rand64();
	TEXT(m->u.worker.info.pool);
	TEXT(m->u.worker.info.labels);
	m->u.worker.info.state = MLK_WORKER_UNAVAILABLE;
	fill_resources(&m->u.worker.info.capacity);
	m->u.worker.info.speed = rand32();
	fill_resources(&m->u.worker.load.free);
	m->u.worker.load.running = rand32();
}

static void
fill_run(struct mlk_msg *m)
{
	uint32_t i;

	m->u.run.sent_at = rand64();
	m->u.run.seq = rand64();
	m->u.run.job = rand64();
	TEXT(m->u.run.id);
	m->u.run.step = MLK_STEPS_MAX - 1;
	m->u.run.deadline_ms = rand32();
	m->u.run.offer = rand64();
	fill_want(&m->u.run.want);
	m->u.run.expected_ms = rand32();
	m->u.run.kind = rand32();
	m->u.run.movable = 1;
	fill_blob(&m->u.run.spec);
	m->u.run.n = ITEMS;
	m->u.run.tasks = items(sizeof(*m->u.run.tasks));
	for (i = 0; i < ITEMS; i++) {
		m->u.run.tasks[i].index = MLK_TASKS_MAX - 1 - i;
		fill_resources(&m->u.run.tasks[i].resources);
	}
}

static void
fill_ends(struct mlk_msg *m)
{
	struct mlk_run_result *r;
	uint32_t i;

	m->u.ends.sent_at = rand64();
	m->u.ends.seen = rand64();
	fill_resources(&m->u.ends.load.free);
	m->u.ends.load.running = rand32();
	m->u.ends.n = ITEMS;
	m->u.ends.items = items(sizeof(*r));
	for (i = 0; i < ITEMS; i++) {
		r = &m->u.ends.items[i];
		r->job = rand64();
		r->step = i;
		r->index = i;
		r->end = MLK_RUN_STALLED - i;
		r->run_ms = rand32();
	}
}

static void
fill_routes(struct mlk_routing *r)
{
	uint32_t i;

	r->version = rand64();
	r->nroutes = ITEMS;
	r->routes = items(sizeof(*r->routes));
	for (i = 0; i < ITEMS; i++) {
		TEXT(r->routes[i].name);
		TEXT(r->routes[i].host);
		TEXT(r->routes[i].prefix);
		TEXT(r->routes[i].pool);
		r->routes[i].timeout_ms = rand32();
		r->routes[i].target_ms = rand32();
		r->routes[i].priority = rand32();
		r->routes[i].attempts = rand32();
		r->routes[i].stretch = rand32();
	}
	r->npools = ITEMS;
	r->pools = items(sizeof(*r->pools));
	for (i = 0; i < ITEMS; i++) {
		TEXT(r->pools[i].name);
		TEXT(r->pools[i].health_path);
		r->pools[i].enforces_capacity = i & 1;
	}
	r->max_body_bytes = rand32();
	r->header_timeout_ms = rand32();
	r->idle_timeout_ms = rand32();
}

/*
 * Fills a message of the dispatch library that has no array.
 */
static void
fill_dispatch_scalars(struct mlk_msg *m)
{
	if (m->type == MLK_MSG_ATTACH) {
		TEXT(m->u.attach.id);
		m->u.attach.incarnation = rand64();
		TEXT(m->u.attach.dc);
	} else if (m->type == MLK_MSG_WANT) {
		m->u.want.sent_at = rand64();
		m->u.want.offer = rand64();
		fill_want(&m->u.want.want);
	} else if (m->type == MLK_MSG_OFFER) {
		m->u.offer.sent_at = rand64();
		m->u.offer.offer = rand64();
		fill_resources(&m->u.offer.resources);
	} else if (m->type == MLK_MSG_DROP) {
		m->u.drop.sent_at = rand64();
		m->u.drop.job = rand64();
	} else {
		m->u.ping.sent_at = rand64();
		m->u.ping.echo = rand64();
		m->u.ping.routing_version = rand64();
		m->u.ping.evacuations = rand64();
	}
}

/*
 * Fills a message with an array that entries and agents exchange about the
 * load.
 */
static void
fill_load_reports(struct mlk_msg *m)
{
	uint32_t i;

	if (m->type == MLK_MSG_EVACUATIONS) {
		m->u.evacuations.version = rand64();
		m->u.evacuations.n = ITEMS;
		m->u.evacuations.items = items(sizeof(*m->u.evacuations.items));
		for (i = 0; i < ITEMS; i++) {
			TEXT(m->u.evacuations.items[i].dc);
			m->u.evacuations.items[i].version = rand64();
		}
	} else if (m->type == MLK_MSG_DEMAND) {
		m->u.demand.sent_at = rand64();
		TEXT(m->u.demand.id);
		m->u.demand.incarnation = rand64();
		m->u.demand.n = ITEMS;
		m->u.demand.items = items(sizeof(*m->u.demand.items));
		for (i = 0; i < ITEMS; i++) {
			TEXT(m->u.demand.items[i].route);
			m->u.demand.items[i].offered = rand32();
			m->u.demand.items[i].admitted = rand32();
			m->u.demand.items[i].queued = rand64();
		}
	} else if (m->type == MLK_MSG_CORUN) {
		m->u.corun.sent_at = rand64();
		m->u.corun.n = ITEMS;
		m->u.corun.items = items(sizeof(*m->u.corun.items));
		for (i = 0; i < ITEMS; i++) {
			m->u.corun.items[i].kind = rand32();
			m->u.corun.items[i].other = rand32();
			m->u.corun.items[i].samples = rand32();
			m->u.corun.items[i].mean = (int32_t)rand32();
			m->u.corun.items[i].variance = rand32();
		}
	} else {
		m->u.verdicts.sent_at = rand64();
		m->u.verdicts.n = ITEMS;
		m->u.verdicts.items = items(sizeof(*m->u.verdicts.items));
		for (i = 0; i < ITEMS; i++) {
			m->u.verdicts.items[i].kind = rand32();
			m->u.verdicts.items[i].other = rand32();
			m->u.verdicts.items[i].slowdown = rand32();
			m->u.verdicts.items[i].bound = rand32();
			m->u.verdicts.items[i].samples = rand32();
		}
	}
}

/*
 * Fills every field of a message of the given type with random values.
 */
static void
fill(struct mlk_msg *m, enum mlk_msg_type type)
{
	memset(m, 0, sizeof(*m));
	m->type = type;
	switch (type) {
	case MLK_MSG_HELLO:
	case MLK_MSG_WELCOME:
	case MLK_MSG_PEER_HELLO:
		fill_hellos(m);
		break;
	case MLK_MSG_FENCE:
		fill_fence(m);
		break;
	case MLK_MSG_FENCE_REPLY:
		fill_fence_reply(m);
		break;
	case MLK_MSG_START:
		fill_start(m);
		break;
	case MLK_MSG_RESULT:
		fill_result(m);
		break;
	case MLK_MSG_GRANT:
	case MLK_MSG_RECLAIM:
	case MLK_MSG_RETURN:
		fill_credits(&m->u.grant);
		break;
	case MLK_MSG_NEED:
		fill_demand(&m->u.need);
		break;
	case MLK_MSG_ACK:
	case MLK_MSG_REREGISTER:
		m->u.ack.seq = rand64();
		break;
	case MLK_MSG_QUERY:
	case MLK_MSG_CANCEL:
	case MLK_MSG_HEARTBEAT:
		m->u.query.key = rand_key();
		break;
	case MLK_MSG_QUERY_REPLY:
		fill_query_reply(m);
		break;
	case MLK_MSG_CONFIG:
		fill_config(&m->u.config);
		break;
	case MLK_MSG_FORWARD:
		fill_forward(m);
		break;
	case MLK_MSG_FORWARD_REPLY:
		fill_forward_reply(m);
		break;
	case MLK_MSG_PEERS:
		fill_peers(m);
		break;
	case MLK_MSG_WORKER:
		fill_worker(m);
		break;
	case MLK_MSG_RUN:
		fill_run(m);
		break;
	case MLK_MSG_ENDS:
		fill_ends(m);
		break;
	case MLK_MSG_ROUTES:
		fill_routes(&m->u.routes);
		break;
	case MLK_MSG_ATTACH:
	case MLK_MSG_WANT:
	case MLK_MSG_OFFER:
	case MLK_MSG_DROP:
	case MLK_MSG_PING:
		fill_dispatch_scalars(m);
		break;
	case MLK_MSG_EVACUATIONS:
	case MLK_MSG_DEMAND:
	case MLK_MSG_CORUN:
	case MLK_MSG_VERDICTS:
		fill_load_reports(m);
		break;
	default:
		break;
	}
}

/*
 * Compares two blobs and clears them, so that assert_same_msg() can compare the
 * struct that holds them as bytes.
 */
static void
assert_same_blob(struct mlk_blob *a, struct mlk_blob *b)
{
	assert_int_equal(a->len, b->len);
	if (a->len > 0)
		assert_memory_equal(a->data, b->data, a->len);
	mlk_blob_clear(a);
	mlk_blob_clear(b);
}

/*
 * Compares two arrays as bytes, and frees them.  Payloads in the elements are
 * compared and cleared before, by ASSERT_SAME_PAYLOADS().
 */
#define ASSERT_SAME_ITEMS(a, b, items, n)                                  \
	do {                                                               \
		assert_int_equal((a)->n, (b)->n);                          \
		assert_memory_equal(                                       \
		    (a)->items, (b)->items, (a)->n * sizeof(*(a)->items)); \
		free((a)->items);                                          \
		free((b)->items);                                          \
		(a)->items = NULL;                                         \
		(b)->items = NULL;                                         \
	} while (0)

#define ASSERT_SAME_PAYLOADS(a, b, items, n)                                   \
	do {                                                                   \
		uint32_t i_;                                                   \
		assert_int_equal((a)->n, (b)->n);                              \
		for (i_ = 0; i_ < (a)->n; i_++)                                \
			assert_same_blob(                                      \
			    &(a)->items[i_].payload, &(b)->items[i_].payload); \
		ASSERT_SAME_ITEMS(a, b, items, n);                             \
	} while (0)

/*
 * Compares all fields of two messages.  Both were zeroed before they were
 * filled, so that the structs can be compared as bytes, padding included;
 * arrays are compared and freed first.
 */
static void
assert_same_msg(struct mlk_msg *a, struct mlk_msg *b)
{
	assert_int_equal(a->type, b->type);
	switch (a->type) {
	case MLK_MSG_FENCE:
		ASSERT_SAME_ITEMS(&a->u.fence, &b->u.fence, items, n);
		break;
	case MLK_MSG_FENCE_REPLY:
		ASSERT_SAME_ITEMS(
		    &a->u.fence_reply, &b->u.fence_reply, hashes, n);
		break;
	case MLK_MSG_START:
		ASSERT_SAME_PAYLOADS(&a->u.start, &b->u.start, tasks, n);
		break;
	case MLK_MSG_RESULT:
		ASSERT_SAME_PAYLOADS(&a->u.result, &b->u.result, items, n);
		break;
	case MLK_MSG_QUERY_REPLY:
		ASSERT_SAME_PAYLOADS(
		    &a->u.query_reply, &b->u.query_reply, items, n);
		break;
	case MLK_MSG_CONFIG:
		ASSERT_SAME_ITEMS(
		    &a->u.config, &b->u.config, intents, nintents);
		break;
	case MLK_MSG_FORWARD:
		ASSERT_SAME_PAYLOADS(
		    &a->u.forward.spec, &b->u.forward.spec, tasks, ntasks);
		break;
	case MLK_MSG_FORWARD_REPLY:
		ASSERT_SAME_PAYLOADS(&a->u.forward_reply.answer,
		    &b->u.forward_reply.answer, tasks, ntasks);
		break;
	case MLK_MSG_PEERS:
		ASSERT_SAME_ITEMS(&a->u.peers, &b->u.peers, peers, n);
		break;
	case MLK_MSG_RUN:
		assert_same_blob(&a->u.run.spec, &b->u.run.spec);
		ASSERT_SAME_ITEMS(&a->u.run, &b->u.run, tasks, n);
		break;
	case MLK_MSG_ENDS:
		ASSERT_SAME_ITEMS(&a->u.ends, &b->u.ends, items, n);
		break;
	case MLK_MSG_ROUTES:
		assert_int_equal(a->u.routes.nroutes, b->u.routes.nroutes);
		assert_int_equal(a->u.routes.npools, b->u.routes.npools);
		assert_memory_equal(a->u.routes.routes, b->u.routes.routes,
		    ITEMS * sizeof(*a->u.routes.routes));
		assert_memory_equal(a->u.routes.pools, b->u.routes.pools,
		    ITEMS * sizeof(*a->u.routes.pools));
		mlk_routing_clear(&a->u.routes);
		mlk_routing_clear(&b->u.routes);
		break;
	case MLK_MSG_EVACUATIONS:
		ASSERT_SAME_ITEMS(
		    &a->u.evacuations, &b->u.evacuations, items, n);
		break;
	case MLK_MSG_DEMAND:
		ASSERT_SAME_ITEMS(&a->u.demand, &b->u.demand, items, n);
		break;
	case MLK_MSG_CORUN:
		ASSERT_SAME_ITEMS(&a->u.corun, &b->u.corun, items, n);
		break;
	case MLK_MSG_VERDICTS:
		ASSERT_SAME_ITEMS(&a->u.verdicts, &b->u.verdicts, items, n);
		break;
	default:
		break;
	}
	assert_memory_equal(&a->u, &b->u, sizeof(a->u));
}

/*
 * Returns an encoded message with random fields; the caller clears it.
 */
static struct mlk_blob
encode(enum mlk_msg_type type)
{
	struct mlk_error err;
	struct mlk_blob out;
	struct mlk_msg msg;

	fill(&msg, type);
	assert_int_equal(mlk_wire_encode(&msg, 7, &out, &err), 0);
	mlk_msg_clear(&msg);
	return (out);
}

/*
 * Guards against a field that is lost, exchanged with another or truncated,
 * because its filter does not treat it the same way in both directions.
 */
static void
test_round_trip(void **state)
{
	struct mlk_msg in, out;
	struct mlk_error err;
	struct mlk_blob b;
	int type, round;

	(void)state;
	for (type = MLK_MSG_HELLO; type < MLK_MSG_TYPES; type++) {
		for (round = 0; round < 20; round++) {
			fill(&in, (enum mlk_msg_type)type);
			assert_int_equal(mlk_wire_encode(&in, 1, &b, &err), 0);
			assert_int_equal(mlk_wire_decode(b.data + MARK_BYTES,
					     b.len - MARK_BYTES, &out, &err),
			    0);
			assert_same_msg(&in, &out);
			mlk_blob_clear(&b);
		}
	}
}

/*
 * Guards against a decoder that reads past the end of a record that was cut off
 * at any byte, or accepts it.
 */
static void
test_truncation(void **state)
{
	struct mlk_error err;
	struct mlk_blob b;
	struct mlk_msg msg;
	uint8_t *copy;
	uint32_t len;
	int type;

	(void)state;
	for (type = MLK_MSG_HELLO; type < MLK_MSG_TYPES; type++) {
		b = encode((enum mlk_msg_type)type);
		for (len = 0; len < b.len - MARK_BYTES; len++) {
			copy = malloc(len + 1); /* exact size for ASan */
			assert_non_null(copy);
			memcpy(copy, b.data + MARK_BYTES, len);
			assert_int_equal(mlk_wire_decode(copy, len, &msg, &err),
			    MLK_ERR_PROTOCOL);
			free(copy);
		}
		mlk_blob_clear(&b);
	}
}

/*
 * Guards against a crash, leak or endless loop when a record has a corrupted
 * byte, or a word that is replaced by an extreme length.
 */
static void
test_corruption(void **state)
{
	/* Lengths at the limits of integers, and just above those of fields. */
	static const uint32_t words[] = { 0, 1, 0x7fffffff, 0x80000000,
		0xffffffff, 751, 65537 };
	uint32_t n, pos, word;
	struct mlk_error err;
	struct mlk_blob b;
	struct mlk_msg msg;
	int type;

	(void)state;
	for (n = 0; n < CORRUPTIONS; n++) {
		type = 1 + (int)mlk_rng_below(&rng, MLK_MSG_TYPES - 1);
		b = encode((enum mlk_msg_type)type);
		pos = MARK_BYTES +
		    mlk_rng_below(&rng, (b.len - MARK_BYTES) / 4) * 4;
		word = htonl(words[mlk_rng_below(&rng, 7)]);
		if (n % 2 == 0)
			memcpy(b.data + pos, &word, sizeof(word));
		else
			b.data[pos + n % 4] ^= (uint8_t)(1 + rand32() % 255);
		if (mlk_wire_decode(b.data + MARK_BYTES, b.len - MARK_BYTES,
			&msg, &err) == 0)
			mlk_msg_clear(&msg);
		mlk_blob_clear(&b);
	}
}

/*
 * Guards against a message that its receiver rejects, because a text has no
 * terminator or a partition or type is out of range.  The encoder rejects it.
 */
static void
test_encode_limits(void **state)
{
	struct mlk_error err;
	struct mlk_blob b;
	struct mlk_msg msg;

	(void)state;
	fill(&msg, MLK_MSG_HELLO);
	memset(msg.u.hello.dc, 'x', sizeof(msg.u.hello.dc));
	assert_int_equal(mlk_wire_encode(&msg, 1, &b, &err), MLK_ERR_PROTOCOL);
	fill(&msg, MLK_MSG_FENCE);
	msg.u.fence.items[0].partition = MLK_PARTITIONS;
	assert_int_equal(mlk_wire_encode(&msg, 1, &b, &err), MLK_ERR_PROTOCOL);
	mlk_msg_clear(&msg);
	msg.type = MLK_MSG_TYPES;
	assert_int_equal(mlk_wire_encode(&msg, 1, &b, &err), MLK_ERR_PROTOCOL);
}

/*
 * Guards against a record that is accepted although its RPC header belongs to
 * another program or version, or bytes follow its body.
 */
static void
test_header_checked(void **state)
{
	static const uint32_t offsets[] = { 4, 8, 12, 16, 20, 24, 28, 32, 36 };
	uint8_t longer[64] = { 0 };
	struct mlk_error err;
	struct mlk_blob b;
	struct mlk_msg msg;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(offsets) / sizeof(offsets[0]); i++) {
		b = encode(MLK_MSG_LEAVE);
		b.data[MARK_BYTES + offsets[i] + 3] ^= 0x40;
		assert_int_equal(mlk_wire_decode(b.data + MARK_BYTES,
				     b.len - MARK_BYTES, &msg, &err),
		    MLK_ERR_PROTOCOL);
		mlk_blob_clear(&b);
	}
	b = encode(MLK_MSG_LEAVE);
	memcpy(longer, b.data + MARK_BYTES, b.len - MARK_BYTES);
	assert_int_equal(
	    mlk_wire_decode(longer, b.len, &msg, &err), MLK_ERR_PROTOCOL);
	mlk_blob_clear(&b);
}

/*
 * Asserts that the next record of the reader is *b without its mark.
 */
static void
assert_next_record(struct mlk_reader *r, const struct mlk_blob *b)
{
	const uint8_t *data;
	size_t len;

	assert_true(mlk_reader_next(r, &data, &len));
	assert_int_equal(len, b->len - MARK_BYTES);
	assert_memory_equal(data, b->data + MARK_BYTES, len);
}

static void
put_mark(uint8_t *at, uint32_t mark)
{
	mark = htonl(mark);
	memcpy(at, &mark, sizeof(mark));
}

/*
 * Guards against records that are lost or changed depending on where TCP splits
 * the stream.
 */
static void
test_reader_split_feed(void **state)
{
	const uint8_t *data;
	struct mlk_reader *r;
	struct mlk_error err;
	struct mlk_blob b;
	uint32_t cut;
	size_t len;

	(void)state;
	b = encode(MLK_MSG_START);
	r = mlk_reader_create();
	for (cut = 0; cut <= b.len; cut++) {
		assert_int_equal(mlk_reader_feed(r, b.data, cut, &err), 0);
		if (cut < b.len)
			assert_false(mlk_reader_next(r, &data, &len));
		assert_int_equal(
		    mlk_reader_feed(r, b.data + cut, b.len - cut, &err), 0);
		assert_int_equal(mlk_reader_feed(r, b.data, b.len, &err), 0);
		assert_next_record(r, &b);
		assert_next_record(r, &b);
		assert_false(mlk_reader_next(r, &data, &len));
	}
	mlk_reader_destroy(r);
	mlk_blob_clear(&b);
}

/*
 * Guards against a record that is reassembled wrongly from two fragments, or
 * that changes the record after it.
 */
static void
test_reader_fragments(void **state)
{
	struct mlk_reader *r;
	struct mlk_error err;
	struct mlk_blob b;
	uint32_t cut, body, i;
	uint8_t *wire;

	(void)state;
	b = encode(MLK_MSG_RESULT);
	body = b.len - MARK_BYTES;
	wire = malloc(b.len + MARK_BYTES);
	assert_non_null(wire);
	r = mlk_reader_create();
	for (cut = 0; cut <= body; cut++) {
		put_mark(wire, cut);
		memcpy(wire + MARK_BYTES, b.data + MARK_BYTES, cut);
		put_mark(wire + MARK_BYTES + cut, 0x80000000U | (body - cut));
		memcpy(wire + MARK_BYTES + cut + MARK_BYTES,
		    b.data + MARK_BYTES + cut, body - cut);
		for (i = 0; i < b.len + MARK_BYTES; i++)
			assert_int_equal(
			    mlk_reader_feed(r, wire + i, 1, &err), 0);
		assert_int_equal(mlk_reader_feed(r, b.data, b.len, &err), 0);
		assert_next_record(r, &b);
		assert_next_record(r, &b);
	}
	mlk_reader_destroy(r);
	free(wire);
	mlk_blob_clear(&b);
}

/*
 * Guards against a peer that fills the memory of the reader with a record above
 * the limit, announced in one mark or made up of endless empty fragments.
 */
static void
test_reader_record_limit(void **state)
{
	static const uint8_t empty[4096];
	struct mlk_reader *r;
	struct mlk_error err;
	uint8_t mark[MARK_BYTES];
	size_t fed;
	int code;

	(void)state;
	r = mlk_reader_create();
	put_mark(mark, 0x80000000U | (MLK_RECORD_MAX + 1));
	assert_int_equal(
	    mlk_reader_feed(r, mark, MARK_BYTES, &err), MLK_ERR_PROTOCOL);
	put_mark(mark, 0x80000000U);
	assert_int_equal(
	    mlk_reader_feed(r, mark, MARK_BYTES, &err), MLK_ERR_PROTOCOL);
	mlk_reader_destroy(r);

	r = mlk_reader_create();
	code = 0;
	for (fed = 0; code == 0 && fed <= 4 * (size_t)MLK_RECORD_MAX;
	     fed += sizeof(empty))
		code = mlk_reader_feed(r, empty, sizeof(empty), &err);
	assert_int_equal(code, MLK_ERR_PROTOCOL);
	mlk_reader_destroy(r);
}

/*
 * Writes one message of each type to a directory, as the seed corpus of the
 * fuzz target.  Usage: test_wire --corpus DIR.
 */
static int
write_corpus(const char *dir)
{
	char path[512];
	struct mlk_blob b;
	FILE *f;
	int type;

	for (type = MLK_MSG_HELLO; type < MLK_MSG_TYPES; type++) {
		b = encode((enum mlk_msg_type)type);
		(void)snprintf(path, sizeof(path), "%s/%s", dir,
		    mlk_msg_name((enum mlk_msg_type)type));
		f = fopen(path, "wb");
		if (f == NULL)
			return (1);
		(void)fwrite(b.data, 1, b.len, f);
		(void)fclose(f);
		mlk_blob_clear(&b);
	}
	return (0);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_truncation),
		cmocka_unit_test(test_corruption),
		cmocka_unit_test(test_encode_limits),
		cmocka_unit_test(test_header_checked),
		cmocka_unit_test(test_reader_split_feed),
		cmocka_unit_test(test_reader_fragments),
		cmocka_unit_test(test_reader_record_limit),
	};

	mlk_rng_seed(&rng, SEED);
	if (argc == 3 && strcmp(argv[1], "--corpus") == 0)
		return (write_corpus(argv[2]));
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
