/*
 * Test bench for the entry reducer, see entry_bench.h.  The table is held in
 * memory.  Each store operation is applied, under the conditions that core.h
 * states for it, and its reply delivered before the next event of the test.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "entry_bench.h"
#include "fake_sched.h"

#define TICK_NS (MLK_TICK_MS * MLK_NSEC_PER_MSEC)

/* Counts a message and copies the fields that tests check. */
static void
capture_send(struct bench *b, uint32_t link, const struct mlk_msg *m)
{
	uint32_t i;

	b->sent[m->type]++;
	b->sent_link[m->type] = link;
	if (m->type == MLK_MSG_START) {
		b->started += m->u.start.n;
		for (i = 0; i < m->u.start.n; i++)
			b->start_epoch = m->u.start.tasks[i].epoch;
	} else if (m->type == MLK_MSG_FORWARD) {
		b->forward_request = m->u.forward.request;
		b->forward_tasks = m->u.forward.spec.ntasks;
		b->forward_open_epoch = m->u.forward.open_epoch;
	} else if (m->type == MLK_MSG_FORWARD_REPLY) {
		b->reply_epoch = m->u.forward_reply.epoch;
		b->reply_open = m->u.forward_reply.open != 0;
		b->reply_code = (int)m->u.forward_reply.code;
	}
}

static void
capture_effect(struct bench *b, const struct mlk_effect *fx)
{
	switch (fx->type) {
	case MLK_FX_SEND:
		capture_send(b, fx->u.send.link, &fx->u.send.msg);
		break;
	case MLK_FX_ANSWER:
		mlk_job_answer_clear(&b->answer);
		assert_int_equal(
		    mlk_job_answer_copy(&b->answer, &fx->u.answer.answer), 0);
		b->answer_pending = fx->u.answer.pending;
		b->answer_request = fx->u.answer.request;
		b->answers++;
		break;
	case MLK_FX_REPLY_ERROR:
		b->error_code = fx->u.error.code;
		b->errors++;
		break;
	case MLK_FX_REPLY_ADMIN:
		b->admin_code = fx->u.admin.reply.code;
		b->admin_version = fx->u.admin.reply.config_version;
		b->admin_replies++;
		break;
	case MLK_FX_REPLY_IDS:
		memcpy(b->ids, fx->u.ids.ids,
		    sizeof(b->ids[0]) * (fx->u.ids.n < 4 ? fx->u.ids.n : 4));
		break;
	case MLK_FX_EXIT:
		b->exited = true;
		break;
	default:
		break;
	}
}

/* ---- the table ------------------------------------------------------- */

static struct mlk_agent_row *
find_agent(struct bench *b, const char *id)
{
	uint32_t i;

	for (i = 0; i < b->table.nagents; i++) {
		if (strcmp(b->agents[i].id, id) == 0)
			return (&b->agents[i]);
	}
	return (NULL);
}

static bool
audit_exists(const struct bench *b, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < b->table.naudits; i++) {
		if (b->audits[i].version == version)
			return (true);
	}
	return (false);
}

/*
 * Applies CLOSE_AGENT: writes the agent's row and the claims.  Returns false
 * on a conflict of row versions.
 */
static bool
apply_close_agent(struct bench *b, const struct mlk_store_op *op)
{
	struct mlk_agent_row *row = find_agent(b, op->agent.id);
	struct mlk_claims_row *c;
	uint32_t i, p;

	if (row == NULL || row->row_version != op->agent.row_version ||
	    op->ownership->row_version != b->table.ownership.row_version)
		return (false);
	for (i = 0; i < op->nclaims; i++) {
		p = op->claims[i].partition;
		if (op->claims[i].row_version != b->claims[p].row_version)
			return (false);
	}
	b->closes++;
	*row = op->agent;
	row->row_version++;
	for (i = 0; i < op->nclaims; i++) {
		c = &b->claims[op->claims[i].partition];
		free(c->claims);
		*c = op->claims[i];
		c->row_version++;
		c->claims = calloc(c->n + 1, sizeof(*c->claims));
		memcpy(
		    c->claims, op->claims[i].claims, c->n * sizeof(*c->claims));
	}
	return (true);
}

/* Applies a store operation to the table.  Returns false on a conflict. */
static bool
apply_store_op(struct bench *b, const struct mlk_store_op *op)
{
	struct mlk_store_view *t = &b->table;

	switch (op->type) {
	case MLK_STORE_POLL:
		b->unconditional_polls += !op->expect_unchanged;
		return (!op->expect_unchanged ||
		    (op->known_ownership == t->ownership.row_version &&
			op->config_row_version == t->config_row_version));
	case MLK_STORE_TAKEOVER:
		if (op->ownership->row_version != t->ownership.row_version)
			return (false);
		b->takeovers++;
		t->ownership = *op->ownership;
		t->ownership.row_version++;
		return (true);
	case MLK_STORE_REGISTER_ENTRY:
		b->entries[0] = op->entry;
		b->entries[0].row_version++;
		return (true);
	case MLK_STORE_REMOVE_ENTRY:
		b->removed_entries++;
		return (true);
	case MLK_STORE_REMOVE_AGENT:
		b->removed_agents++;
		return (true);
	case MLK_STORE_CLOSE_AGENT:
		return (apply_close_agent(b, op));
	case MLK_STORE_CONFIRM:
		if (op->config_row_version != t->config_row_version ||
		    audit_exists(b, op->audit.version))
			return (false);
		mlk_config_clear(&t->config);
		assert_int_equal(mlk_config_copy(&t->config, &op->config), 0);
		t->config_row_version++;
		b->audits[t->naudits++] = op->audit;
		return (true);
	default:
		return (true);
	}
}

/*
 * Applies a store operation, unless the store is down, and delivers its reply
 * to the entry.
 */
static void
run_store_op(struct bench *b, const struct mlk_store_op *op)
{
	struct mlk_event ev = { .type = MLK_EV_STORE };
	struct mlk_store_view view;
	bool lost = b->store_down;

	ev.u.store.type = op->type;
	ev.u.store.id = op->id;
	ev.u.store.status = MLK_STORE_UNAVAILABLE;
	if (!b->store_down)
		ev.u.store.status =
		    apply_store_op(b, op) ? MLK_STORE_OK : MLK_STORE_CONFLICT;
	if (b->lose_next_reply && op->type == b->lose_op_type) {
		b->lose_next_reply = false;
		lost = true;
	}
	if (lost) {
		ev.u.store.status = MLK_STORE_UNAVAILABLE;
	} else {
		view = b->table;
		view.has_ownership = view.has_config = true;
		view.entries = b->entries;
		view.agents = b->agents;
		view.claims = b->claims;
		view.nclaims = MLK_PARTITIONS;
		view.audits = b->audits;
		if (op->type == MLK_STORE_POLL)
			view.nagents = view.nclaims = view.naudits = 0;
		if (op->type == MLK_STORE_POLL && op->expect_unchanged)
			view.has_ownership = view.has_config = false;
		if (op->type == MLK_STORE_READ_RECORD) {
			b->record_reads++;
			view.nagents = 1;
			view.has_record = b->record.n > 0;
			view.record = b->record;
		}
		ev.u.store.view = &view;
	}
	bench_event(b, &ev);
}

/* ---- events ---------------------------------------------------------- */

/*
 * Applies one event, captures its effects, then runs the store operations
 * among them.
 */
void
bench_event(struct bench *b, struct mlk_event *ev)
{
	struct mlk_effects fx = { 0 };
	struct mlk_error err = { 0 };
	size_t i;

	ev->now = b->now;
	ev->wall = b->wall;
	assert_int_equal(mlk_entry_apply(b->entry, ev, &fx, &err), 0);
	for (i = 0; i < fx.n; i++)
		capture_effect(b, &fx.items[i]);
	for (i = 0; i < fx.n; i++) {
		if (fx.items[i].type == MLK_FX_STORE)
			run_store_op(b, &fx.items[i].u.store);
	}
	mlk_effects_free(&fx);
}

/*
 * Advances the clock by ms in ticks.  Every 500 ms, the links 1 to 9 each
 * deliver a HEARTBEAT, which keeps their peers alive.
 */
void
bench_run(struct bench *b, uint32_t ms)
{
	struct mlk_event ev = { .type = MLK_EV_TICK };
	struct mlk_msg heartbeat_msg;
	uint32_t i, link;

	for (i = 0; i < ms; i += MLK_TICK_MS) {
		b->now += TICK_NS;
		if (b->now % MLK_NSEC_PER_SEC == 0)
			b->wall++;
		for (link = 1; i % 500 == 0 && link < 10; link++) {
			memset(&heartbeat_msg, 0, sizeof(heartbeat_msg));
			heartbeat_msg.type = MLK_MSG_HEARTBEAT;
			heartbeat_msg.u.heartbeat.config_version =
			    b->table.config.version;
			heartbeat_msg.u.heartbeat.ownership_version =
			    b->table.ownership.row_version;
			bench_msg(b, link, &heartbeat_msg);
		}
		bench_event(b, &ev);
	}
}

void
bench_msg(struct bench *b, uint32_t link, struct mlk_msg *msg)
{
	struct mlk_event ev = { .type = MLK_EV_MSG };

	ev.u.msg.link = link;
	ev.u.msg.msg = msg;
	bench_event(b, &ev);
}

/* Creates the entry e1. */
void
bench_create(struct bench *b)
{
	struct mlk_entry_options o;

	mlk_entry_options_default(&o);
	(void)snprintf(o.self.id, sizeof(o.self.id), "e1");
	(void)snprintf(o.self.addr, sizeof(o.self.addr), "127.0.0.1:1");
	o.self.incarnation = b->incarnation;
	b->entry = mlk_entry_create(&o);
	assert_non_null(b->entry);
}

/* Initializes the bench with an empty table, and creates the entry. */
void
bench_open(struct bench *b)
{
	uint32_t p;

	memset(b, 0, sizeof(*b));
	fake_sched_admit_error = 0;
	b->incarnation = 11;
	b->peer_incarnation = 1;
	bench_create(b);
	b->now = MLK_NSEC_PER_SEC;
	b->wall = 1000000;
	b->table.nentries = 1;
	for (p = 0; p < MLK_PARTITIONS; p++)
		b->claims[p].partition = p;
}

void
bench_close(struct bench *b)
{
	uint32_t p;

	mlk_entry_destroy(b->entry);
	mlk_job_answer_clear(&b->answer);
	mlk_config_clear(&b->table.config);
	for (p = 0; p < MLK_PARTITIONS; p++)
		free(b->claims[p].claims);
}

/* Writes the row of agent i ("w<i>"); `complete` is a mask of partitions. */
void
bench_set_agent_row(
    struct bench *b, uint32_t i, uint64_t incarnation, uint64_t complete)
{
	struct mlk_agent_row *row = &b->agents[i];
	uint64_t version = row->row_version;

	memset(row, 0, sizeof(*row));
	(void)snprintf(row->id, sizeof(row->id), "w%u", i);
	row->row_version = version + 1;
	row->incarnation = incarnation;
	row->complete = complete;
	row->slots = 8;
	if (b->table.nagents <= i)
		b->table.nagents = i + 1;
}

static void
send_link_up(struct bench *b, uint32_t link)
{
	struct mlk_event ev = { .type = MLK_EV_LINK_UP };

	ev.u.link.link = link;
	bench_event(b, &ev);
}

/*
 * Answers FENCE for all partitions.  The index holds the hash of id, or
 * nothing when id is NULL.
 */
void
bench_fence_reply(
    struct bench *b, uint32_t link, uint64_t incarnation, const char *id)
{
	struct mlk_msg m = { .type = MLK_MSG_FENCE_REPLY };
	uint32_t hash = 0;

	m.u.fence_reply.incarnation = incarnation;
	m.u.fence_reply.partitions = UINT64_MAX;
	m.u.fence_reply.last = 1;
	if (id != NULL) {
		hash = mlk_key_hash32(mlk_key_from_id(id));
		m.u.fence_reply.n = 1;
		m.u.fence_reply.hashes = &hash;
	}
	bench_msg(b, link, &m);
}

/* Opens a link and sends HELLO of agent i ("w<i>"). */
void
bench_hello(struct bench *b, uint32_t link, uint32_t i, uint64_t incarnation)
{
	struct mlk_msg m = { .type = MLK_MSG_HELLO };

	send_link_up(b, link);
	(void)snprintf(m.u.hello.id, sizeof(m.u.hello.id), "w%u", i);
	m.u.hello.incarnation = incarnation;
	m.u.hello.first_incarnation = b->hello_first_incarnation != 0 ?
	    b->hello_first_incarnation :
	    incarnation;
	b->link_incarnation[link] = incarnation;
	m.u.hello.slots = 8;
	bench_msg(b, link, &m);
}

void
bench_grant(struct bench *b, uint32_t link, uint32_t credits)
{
	struct mlk_msg m = { .type = MLK_MSG_GRANT };

	m.u.grant.any = credits;
	bench_msg(b, link, &m);
}

/*
 * Connects agent i: sends HELLO, a FENCE_REPLY that lists recorded_id, or no
 * id when it is NULL, and a GRANT.
 */
void
bench_connect_agent(struct bench *b, uint32_t link, uint32_t i,
    uint64_t incarnation, uint32_t credits, const char *recorded_id)
{
	bench_hello(b, link, i, incarnation);
	bench_fence_reply(b, link, incarnation, recorded_id);
	bench_grant(b, link, credits);
}

/* Opens a link and sends PEER_HELLO of the entry with that id. */
void
bench_connect_peer(struct bench *b, uint32_t link, const char *id)
{
	struct mlk_msg m = { .type = MLK_MSG_PEER_HELLO };

	send_link_up(b, link);
	(void)snprintf(
	    m.u.peer_hello.self.id, sizeof(m.u.peer_hello.self.id), "%s", id);
	(void)snprintf(m.u.peer_hello.self.addr,
	    sizeof(m.u.peer_hello.self.addr), "127.0.0.1:%u", 100 + link);
	m.u.peer_hello.self.incarnation = b->peer_incarnation;
	bench_msg(b, link, &m);
}

/*
 * Makes another entry the owner of all partitions in the table, at the next
 * epoch.
 */
void
bench_set_owner(struct bench *b, const char *owner)
{
	uint32_t p;

	for (p = 0; p < MLK_PARTITIONS; p++) {
		b->table.ownership.part[p].epoch++;
		(void)snprintf(b->table.ownership.part[p].owner, MLK_NAME_MAX,
		    "%s", owner);
		b->table.ownership.part[p].incarnation = 1;
	}
	b->table.ownership.row_version++;
}

/*
 * Submits a job whose digest is derived from body; the caller waits for its
 * end.
 */
void
bench_submit(struct bench *b, uint64_t request, const char *id,
    const char *body, uint32_t ntasks, uint32_t deadline_ms)
{
	struct mlk_event ev = { .type = MLK_EV_SUBMIT };
	struct mlk_job_spec spec = { 0 };
	uint32_t i;

	(void)snprintf(spec.id, sizeof(spec.id), "%s", id);
	spec.digest = mlk_key_from_id(body);
	spec.deadline_ms = deadline_ms;
	spec.ntasks = ntasks;
	spec.tasks = calloc(ntasks, sizeof(*spec.tasks));
	for (i = 0; i < ntasks; i++) {
		spec.tasks[i].payload.len = b->payload_bytes;
		spec.tasks[i].payload.data = calloc(1, b->payload_bytes + 1);
	}
	ev.u.submit.request = request;
	ev.u.submit.wait = true;
	ev.u.submit.spec = &spec;
	bench_event(b, &ev);
	mlk_job_spec_clear(&spec);
}

/* Sends FORWARD of a job with that id from a peer. */
void
bench_forward(struct bench *b, uint32_t link, const char *id, uint32_t ntasks)
{
	struct mlk_msg m = { .type = MLK_MSG_FORWARD };
	struct mlk_job_spec *spec = &m.u.forward.spec;

	m.u.forward.request = 1;
	m.u.forward.wait = 1;
	m.u.forward.open_epoch = b->open_epoch;
	(void)snprintf(spec->id, sizeof(spec->id), "%s", id);
	spec->digest = mlk_key_from_id("x");
	spec->ntasks = ntasks;
	spec->tasks = calloc(ntasks, sizeof(*spec->tasks));
	bench_msg(b, link, &m);
	mlk_job_spec_clear(spec);
}

/* Sends RESULT of one task with a GRANT of one credit. */
void
bench_result(struct bench *b, uint32_t link, const char *id, uint32_t index,
    enum mlk_task_status status, bool retryable)
{
	struct mlk_msg m = { .type = MLK_MSG_RESULT };
	struct mlk_result_item item = { 0 };

	item.key = mlk_key_from_id(id);
	item.index = index;
	item.epoch = b->result_epoch != 0 ? b->result_epoch : b->start_epoch;
	item.status = status;
	item.retryable = retryable;
	item.payload.len = b->result_bytes;
	item.payload.data = calloc(1, b->result_bytes + 1);
	m.u.result.seq = 1;
	m.u.result.grant.any = 1;
	m.u.result.n = 1;
	m.u.result.items = &item;
	bench_msg(b, link, &m);
	free(item.payload.data);
}

/*
 * Sends QUERY_REPLY of an agent for the id.  Its record lists task 0 with that
 * status, or nothing when the status is MLK_TASK_QUEUED.
 */
void
bench_query_reply(
    struct bench *b, uint32_t link, const char *id, enum mlk_task_status status)
{
	struct mlk_msg m = { .type = MLK_MSG_QUERY_REPLY };
	struct mlk_record_item item = { 0 };

	item.status = status;
	item.has_result = status != MLK_TASK_RUNNING;
	m.u.query_reply.key = mlk_key_from_id(id);
	m.u.query_reply.incarnation = b->link_incarnation[link];
	m.u.query_reply.epoch = b->agent_epoch;
	m.u.query_reply.n = status != MLK_TASK_QUEUED;
	m.u.query_reply.items = &item;
	bench_msg(b, link, &m);
}

struct mlk_entry_gauges
bench_gauges(const struct bench *b)
{
	struct mlk_entry_gauges g;

	mlk_entry_gauges(b->entry, &g);
	return (g);
}

void
bench_link_down(struct bench *b, uint32_t link)
{
	struct mlk_event ev = { .type = MLK_EV_LINK_DOWN };

	ev.u.link.link = link;
	bench_event(b, &ev);
}

void
bench_cancel(struct bench *b, uint64_t request, const char *id)
{
	struct mlk_event ev = { .type = MLK_EV_CANCEL };

	ev.u.cancel.request = request;
	(void)snprintf(ev.u.cancel.id, sizeof(ev.u.cancel.id), "%s", id);
	bench_event(b, &ev);
}
