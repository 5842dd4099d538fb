/*
 * Tests of the wire library: every message type survives the round trip, and
 * no input, however damaged, is read past its end or accepted by mistake.
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

#define MARK 4U /* bytes of a record mark */
#define ITEMS 3U
#define CORRUPTIONS 4000
#define SEED 20260101U

static struct mlk_rng rng;

static uint64_t
u64(void)
{
	return (mlk_rng_next(&rng));
}

static uint32_t
u32(void)
{
	return ((uint32_t)mlk_rng_next(&rng));
}

static struct mlk_key
key(void)
{
	struct mlk_key k;

	k.lo = u64();
	k.hi = u64();
	return (k);
}

/* Fills a text field; the last one drawn of a size is as long as it may be. */
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
		bytes[i] = (uint8_t)u32();
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
	p->incarnation = u64();
	TEXT(p->addr);
	TEXT(p->dc);
}

static void
fill_demand(struct mlk_demand *d)
{
	d->queued_short = u32();
	d->queued_long = u32();
	d->short_load = u32();
	d->known_slots = u32();
	d->long_cap = u32();
}

static void
fill_credits(struct mlk_credits *c)
{
	c->any = u32();
	c->short_only = u32();
}

static void
fill_start(struct mlk_msg *m)
{
	struct mlk_start_task *t;
	uint32_t i;

	m->u.start.incarnation = u64();
	fill_demand(&m->u.start.demand);
	m->u.start.n = ITEMS;
	m->u.start.tasks = items(sizeof(*t));
	for (i = 0; i < ITEMS; i++) {
		t = &m->u.start.tasks[i];
		t->key = key();
		t->index = i;
		t->epoch = u32();
		t->is_long = i & 1;
		t->timeout_ms = u32();
		TEXT(t->kind);
		fill_blob(&t->payload);
	}
}

static void
fill_result(struct mlk_msg *m)
{
	struct mlk_result_item *r;
	uint32_t i;

	m->u.result.seq = u64();
	fill_credits(&m->u.result.grant);
	m->u.result.n = ITEMS;
	m->u.result.items = items(sizeof(*r));
	for (i = 0; i < ITEMS; i++) {
		r = &m->u.result.items[i];
		r->key = key();
		r->index = MLK_TASKS_MAX - 1 - i;
		r->status = MLK_TASK_DONE + i;
		r->epoch = u32();
		r->retryable = i & 1;
		r->run_ms = u32();
		fill_blob(&r->payload);
	}
}

static void
fill_query_reply(struct mlk_msg *m)
{
	struct mlk_record_item *r;
	uint32_t i;

	m->u.query_reply.key = key();
	m->u.query_reply.incarnation = u64();
	m->u.query_reply.epoch = u32();
	m->u.query_reply.n = ITEMS;
	m->u.query_reply.items = items(sizeof(*r));
	for (i = 0; i < ITEMS; i++) {
		r = &m->u.query_reply.items[i];
		r->index = i;
		r->status = MLK_TASK_RUNNING + i;
		r->run_ms = u32();
		r->has_result = i & 1;
		fill_blob(&r->payload);
	}
}

static void
fill_config(struct mlk_config *c)
{
	struct mlk_intent *in;
	uint32_t i;

	c->version = u64();
	c->digest = key();
	c->nintents = ITEMS;
	c->intents = items(sizeof(*in));
	for (i = 0; i < ITEMS; i++) {
		in = &c->intents[i];
		TEXT(in->id);
		in->type = MLK_INTENT_PREFER_DC + i % 2;
		TEXT(in->subject);
		TEXT(in->target);
		in->value = (int32_t)u32();
		TEXT(in->author);
		TEXT(in->reason);
		in->created = (int64_t)u64();
		in->expires = (int64_t)u64();
		TEXT(in->displaced);
	}
}

static void
fill_forward(struct mlk_msg *m)
{
	struct mlk_job_spec *s = &m->u.forward.spec;
	uint32_t i;

	m->u.forward.request = u64();
	m->u.forward.open_epoch = u32();
	m->u.forward.wait = 1;
	m->u.forward.lookup = 1;
	TEXT(s->id);
	TEXT(s->team);
	s->digest = key();
	s->deadline_ms = u32();
	s->ntasks = ITEMS;
	s->tasks = items(sizeof(*s->tasks));
	for (i = 0; i < ITEMS; i++) {
		TEXT(s->tasks[i].kind);
		fill_blob(&s->tasks[i].payload);
		s->tasks[i].repeatable = i & 1;
		s->tasks[i].declared_ms = u32();
	}
}

static void
fill_forward_reply(struct mlk_msg *m)
{
	struct mlk_job_answer *a = &m->u.forward_reply.answer;
	uint32_t i;

	m->u.forward_reply.request = u64();
	m->u.forward_reply.epoch = u32();
	m->u.forward_reply.open = 1;
	m->u.forward_reply.code = MLK_ERR_DENIED;
	a->key = key();
	a->outcome = MLK_OUTCOME_UNKNOWN;
	a->retry_after_ms = u32();
	TEXT(a->reason);
	a->ntasks = ITEMS;
	a->tasks = items(sizeof(*a->tasks));
	for (i = 0; i < ITEMS; i++) {
		a->tasks[i].status = MLK_TASK_FAILED + i;
		TEXT(a->tasks[i].worker);
		a->tasks[i].run_ms = u32();
		fill_blob(&a->tasks[i].payload);
	}
}

static void
fill_fence(struct mlk_msg *m)
{
	uint32_t i;

	m->u.fence.incarnation = u64();
	m->u.fence.n = ITEMS;
	m->u.fence.items = items(sizeof(*m->u.fence.items));
	for (i = 0; i < ITEMS; i++) {
		m->u.fence.items[i].partition = MLK_PARTITIONS - 1 - i;
		m->u.fence.items[i].epoch = u32();
	}
}

static void
fill_fence_reply(struct mlk_msg *m)
{
	uint32_t i;

	m->u.fence_reply.incarnation = u64();
	m->u.fence_reply.rejected = u64();
	m->u.fence_reply.partitions = u64();
	m->u.fence_reply.last = 1;
	m->u.fence_reply.n = ITEMS;
	m->u.fence_reply.hashes = items(sizeof(uint32_t));
	for (i = 0; i < ITEMS; i++)
		m->u.fence_reply.hashes[i] = u32();
}

static void
fill_hellos(struct mlk_msg *m)
{
	if (m->type == MLK_MSG_HELLO) {
		TEXT(m->u.hello.id);
		m->u.hello.incarnation = u64();
		m->u.hello.first_incarnation = u64();
		TEXT(m->u.hello.dc);
		m->u.hello.slots = u32();
		m->u.hello.config_version = u64();
	} else if (m->type == MLK_MSG_WELCOME) {
		fill_peer(&m->u.welcome.self);
		m->u.welcome.config_version = u64();
	} else {
		fill_peer(&m->u.peer_hello.self);
		m->u.peer_hello.config_version = u64();
		m->u.peer_hello.ownership_version = u64();
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
fill_room(struct mlk_resources *r)
{
	r->cpu = u32();
	r->mem_mb = u32();
	r->gpu = u32();
}

static void
fill_want(struct mlk_want *w)
{
	w->tasks = u32();
	w->urgency_ms = u32();
	fill_room(&w->resources);
}

static void
fill_worker(struct mlk_msg *m)
{
	m->u.worker.sent_at = u64();
	m->u.worker.seen = u64();
	m->u.worker.routing_version = u64();
	TEXT(m->u.worker.info.id);
	m->u.worker.info.boot = u64();
	TEXT(m->u.worker.info.pool);
	TEXT(m->u.worker.info.labels);
	m->u.worker.info.state = MLK_WORKER_UNAVAILABLE;
	fill_room(&m->u.worker.info.capacity);
	fill_room(&m->u.worker.load.free);
	m->u.worker.load.running = u32();
}

static void
fill_run(struct mlk_msg *m)
{
	uint32_t i;

	m->u.run.sent_at = u64();
	m->u.run.seq = u64();
	m->u.run.job = u64();
	TEXT(m->u.run.id);
	m->u.run.step = MLK_STEPS_MAX - 1;
	m->u.run.deadline_ms = u32();
	m->u.run.offer = u64();
	fill_want(&m->u.run.want);
	m->u.run.expected_ms = u32();
	m->u.run.movable = 1;
	fill_blob(&m->u.run.spec);
	m->u.run.n = ITEMS;
	m->u.run.tasks = items(sizeof(*m->u.run.tasks));
	for (i = 0; i < ITEMS; i++) {
		m->u.run.tasks[i].index = MLK_TASKS_MAX - 1 - i;
		fill_room(&m->u.run.tasks[i].resources);
	}
}

static void
fill_ends(struct mlk_msg *m)
{
	struct mlk_run_result *r;
	uint32_t i;

	m->u.ends.sent_at = u64();
	m->u.ends.seen = u64();
	fill_room(&m->u.ends.load.free);
	m->u.ends.load.running = u32();
	m->u.ends.n = ITEMS;
	m->u.ends.items = items(sizeof(*r));
	for (i = 0; i < ITEMS; i++) {
		r = &m->u.ends.items[i];
		r->job = u64();
		r->step = i;
		r->index = i;
		r->end = MLK_RUN_STALLED - i;
		r->run_ms = u32();
	}
}

static void
fill_routes(struct mlk_routing *r)
{
	uint32_t i;

	r->version = u64();
	r->nroutes = ITEMS;
	r->routes = items(sizeof(*r->routes));
	for (i = 0; i < ITEMS; i++) {
		TEXT(r->routes[i].name);
		TEXT(r->routes[i].host);
		TEXT(r->routes[i].prefix);
		TEXT(r->routes[i].pool);
		r->routes[i].timeout_ms = u32();
		r->routes[i].target_ms = u32();
		r->routes[i].priority = u32();
		r->routes[i].attempts = u32();
		r->routes[i].stretch = u32();
	}
	r->npools = ITEMS;
	r->pools = items(sizeof(*r->pools));
	for (i = 0; i < ITEMS; i++) {
		TEXT(r->pools[i].name);
		TEXT(r->pools[i].health_path);
		r->pools[i].enforces_capacity = i & 1;
	}
	r->max_body_bytes = u32();
	r->header_timeout_ms = u32();
	r->idle_timeout_ms = u32();
}

/* Messages of the dispatch library without an array. */
static void
fill_small(struct mlk_msg *m)
{
	if (m->type == MLK_MSG_ATTACH) {
		TEXT(m->u.attach.id);
		m->u.attach.incarnation = u64();
		TEXT(m->u.attach.dc);
	} else if (m->type == MLK_MSG_WANT) {
		m->u.want.sent_at = u64();
		m->u.want.offer = u64();
		fill_want(&m->u.want.want);
	} else if (m->type == MLK_MSG_OFFER) {
		m->u.offer.sent_at = u64();
		m->u.offer.offer = u64();
		fill_room(&m->u.offer.resources);
	} else if (m->type == MLK_MSG_DROP) {
		m->u.drop.sent_at = u64();
		m->u.drop.job = u64();
	} else {
		m->u.ping.sent_at = u64();
		m->u.ping.echo = u64();
		m->u.ping.routing_version = u64();
	}
}

/* Fills every field of a message of the given type. */
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
		m->u.ack.seq = u64();
		break;
	case MLK_MSG_QUERY:
	case MLK_MSG_CANCEL:
	case MLK_MSG_HEARTBEAT:
		m->u.query.key = key();
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
		fill_small(m);
		break;
	default:
		break;
	}
}

static void
same_blob(struct mlk_blob *a, struct mlk_blob *b)
{
	assert_int_equal(a->len, b->len);
	if (a->len > 0)
		assert_memory_equal(a->data, b->data, a->len);
	mlk_blob_clear(a);
	mlk_blob_clear(b);
}

/* Compares two arrays of zero-padded elements; payloads are compared apart. */
#define SAME_ITEMS(a, b, items, n)                                         \
	do {                                                               \
		assert_int_equal((a)->n, (b)->n);                          \
		assert_memory_equal(                                       \
		    (a)->items, (b)->items, (a)->n * sizeof(*(a)->items)); \
		free((a)->items);                                          \
		free((b)->items);                                          \
		(a)->items = NULL;                                         \
		(b)->items = NULL;                                         \
	} while (0)

#define SAME_PAYLOADS(a, b, items, n)                                          \
	do {                                                                   \
		uint32_t i_;                                                   \
		assert_int_equal((a)->n, (b)->n);                              \
		for (i_ = 0; i_ < (a)->n; i_++)                                \
			same_blob(                                             \
			    &(a)->items[i_].payload, &(b)->items[i_].payload); \
		SAME_ITEMS(a, b, items, n);                                    \
	} while (0)

/*
 * Compares all fields.  Both messages were zeroed before they were filled, so
 * that padding is equal; arrays are compared and freed first.
 */
static void
same(struct mlk_msg *a, struct mlk_msg *b)
{
	assert_int_equal(a->type, b->type);
	switch (a->type) {
	case MLK_MSG_FENCE:
		SAME_ITEMS(&a->u.fence, &b->u.fence, items, n);
		break;
	case MLK_MSG_FENCE_REPLY:
		SAME_ITEMS(&a->u.fence_reply, &b->u.fence_reply, hashes, n);
		break;
	case MLK_MSG_START:
		SAME_PAYLOADS(&a->u.start, &b->u.start, tasks, n);
		break;
	case MLK_MSG_RESULT:
		SAME_PAYLOADS(&a->u.result, &b->u.result, items, n);
		break;
	case MLK_MSG_QUERY_REPLY:
		SAME_PAYLOADS(&a->u.query_reply, &b->u.query_reply, items, n);
		break;
	case MLK_MSG_CONFIG:
		SAME_ITEMS(&a->u.config, &b->u.config, intents, nintents);
		break;
	case MLK_MSG_FORWARD:
		SAME_PAYLOADS(
		    &a->u.forward.spec, &b->u.forward.spec, tasks, ntasks);
		break;
	case MLK_MSG_FORWARD_REPLY:
		SAME_PAYLOADS(&a->u.forward_reply.answer,
		    &b->u.forward_reply.answer, tasks, ntasks);
		break;
	case MLK_MSG_PEERS:
		SAME_ITEMS(&a->u.peers, &b->u.peers, peers, n);
		break;
	case MLK_MSG_RUN:
		same_blob(&a->u.run.spec, &b->u.run.spec);
		SAME_ITEMS(&a->u.run, &b->u.run, tasks, n);
		break;
	case MLK_MSG_ENDS:
		SAME_ITEMS(&a->u.ends, &b->u.ends, items, n);
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
	default:
		break;
	}
	assert_memory_equal(&a->u, &b->u, sizeof(a->u));
}

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

/* Guards against a field that is lost, swapped or cut on the wire. */
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
			assert_int_equal(mlk_wire_decode(b.data + MARK,
					     b.len - MARK, &out, &err),
			    0);
			same(&in, &out);
			mlk_blob_clear(&b);
		}
	}
}

/* Guards against reading past the end of a short record. */
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
		for (len = 0; len < b.len - MARK; len++) {
			copy = malloc(len + 1); /* exact size for ASan */
			assert_non_null(copy);
			memcpy(copy, b.data + MARK, len);
			assert_int_equal(mlk_wire_decode(copy, len, &msg, &err),
			    MLK_ERR_PROTOCOL);
			free(copy);
		}
		mlk_blob_clear(&b);
	}
}

/* Guards against a crash, leak or endless loop on damaged records. */
static void
test_corruption(void **state)
{
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
		pos = MARK + mlk_rng_below(&rng, (b.len - MARK) / 4) * 4;
		word = htonl(words[mlk_rng_below(&rng, 7)]);
		if (n % 2 == 0)
			memcpy(b.data + pos, &word, sizeof(word));
		else
			b.data[pos + n % 4] ^= (uint8_t)(1 + u32() % 255);
		if (mlk_wire_decode(b.data + MARK, b.len - MARK, &msg, &err) ==
		    0)
			mlk_msg_clear(&msg);
		mlk_blob_clear(&b);
	}
}

/* Guards against a sender that puts on the wire what a receiver refuses. */
static void
test_bounds_on_encode(void **state)
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

/* Guards against headers of other programs and against trailing bytes. */
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
		b.data[MARK + offsets[i] + 3] ^= 0x40;
		assert_int_equal(
		    mlk_wire_decode(b.data + MARK, b.len - MARK, &msg, &err),
		    MLK_ERR_PROTOCOL);
		mlk_blob_clear(&b);
	}
	b = encode(MLK_MSG_LEAVE);
	memcpy(longer, b.data + MARK, b.len - MARK);
	assert_int_equal(
	    mlk_wire_decode(longer, b.len, &msg, &err), MLK_ERR_PROTOCOL);
	mlk_blob_clear(&b);
}

static void
expect_record(struct mlk_reader *r, const struct mlk_blob *b)
{
	const uint8_t *data;
	size_t len;

	assert_true(mlk_reader_next(r, &data, &len));
	assert_int_equal(len, b->len - MARK);
	assert_memory_equal(data, b->data + MARK, len);
}

static void
put_mark(uint8_t *at, uint32_t mark)
{
	mark = htonl(mark);
	memcpy(at, &mark, sizeof(mark));
}

/* Guards against records that depend on how TCP cuts the stream. */
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
		expect_record(r, &b);
		expect_record(r, &b);
		assert_false(mlk_reader_next(r, &data, &len));
	}
	mlk_reader_destroy(r);
	mlk_blob_clear(&b);
}

/* Guards against a record of several fragments that is joined wrongly. */
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
	body = b.len - MARK;
	wire = malloc(b.len + MARK);
	assert_non_null(wire);
	r = mlk_reader_create();
	for (cut = 0; cut <= body; cut++) {
		put_mark(wire, cut);
		memcpy(wire + MARK, b.data + MARK, cut);
		put_mark(wire + MARK + cut, 0x80000000U | (body - cut));
		memcpy(
		    wire + MARK + cut + MARK, b.data + MARK + cut, body - cut);
		for (i = 0; i < b.len + MARK; i++)
			assert_int_equal(
			    mlk_reader_feed(r, wire + i, 1, &err), 0);
		assert_int_equal(mlk_reader_feed(r, b.data, b.len, &err), 0);
		expect_record(r, &b);
		expect_record(r, &b);
	}
	mlk_reader_destroy(r);
	free(wire);
	mlk_blob_clear(&b);
}

/* Guards against a peer that makes the reader hold more than its bound. */
static void
test_reader_over_long(void **state)
{
	static const uint8_t empty[4096];
	struct mlk_reader *r;
	struct mlk_error err;
	uint8_t mark[MARK];
	size_t fed;
	int code;

	(void)state;
	r = mlk_reader_create();
	put_mark(mark, 0x80000000U | (MLK_RECORD_MAX + 1));
	assert_int_equal(
	    mlk_reader_feed(r, mark, MARK, &err), MLK_ERR_PROTOCOL);
	put_mark(mark, 0x80000000U);
	assert_int_equal(
	    mlk_reader_feed(r, mark, MARK, &err), MLK_ERR_PROTOCOL);
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
 * Writes one message of each type to DIR, as the corpus of the fuzz harness:
 * test_wire --corpus DIR.
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
		cmocka_unit_test(test_bounds_on_encode),
		cmocka_unit_test(test_header_checked),
		cmocka_unit_test(test_reader_split_feed),
		cmocka_unit_test(test_reader_fragments),
		cmocka_unit_test(test_reader_over_long),
	};

	mlk_rng_seed(&rng, SEED);
	if (argc == 3 && strcmp(argv[1], "--corpus") == 0)
		return (write_corpus(argv[2]));
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
