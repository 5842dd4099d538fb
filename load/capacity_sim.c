/*
 * The real reducers under a simulated clock: see capacity_sim.h.
 *
 * A round is one tick of all processes.  CPU time is measured per batch (all
 * ticks, all messages of a round), because one reading costs about as much as
 * one event.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <monsoonlock/platform.h>
#include <monsoonlock/wire.h>

#include "capacity_sim.h"

#define TICK_NS (MLK_TICK_MS * MLK_NSEC_PER_MSEC)
#define RECORD_MARK_BYTES 4U /* record mark before each message */

static uint8_t payload_bytes[CAP_PAYLOAD_BYTES];

/*
 * Returns the CPU seconds of this process.
 */
double
cap_cpu_s(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ((double)ts.tv_sec + (double)ts.tv_nsec / MLK_NSEC_PER_SEC);
}

/*
 * Returns the bytes in use on the heap.
 */
size_t
cap_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (info.uordblks + info.hblkhd);
}

/*
 * Ends the program on an error.
 */
static void
check(int error, const struct mlk_error *err)
{
	if (error == 0)
		return;
	(void)fprintf(stderr, "monsoonlock-capacity: %s\n", err->msg);
	exit(EXIT_FAILURE);
}

/*
 * Returns the encoded size of a message in bytes.
 */
size_t
cap_wire_size(const struct mlk_msg *msg)
{
	struct mlk_blob blob = { 0 };
	struct mlk_error err = { 0 };
	size_t len;

	check(mlk_wire_encode(msg, 1, &blob, &err), &err);
	len = blob.len;
	mlk_blob_clear(&blob);
	return (len);
}

/*
 * Returns whether messages of a type are control traffic: they do not carry
 * tasks, requests or their records.
 */
static bool
is_control(enum mlk_msg_type type)
{
	switch (type) {
	case MLK_MSG_START:
	case MLK_MSG_RESULT:
	case MLK_MSG_FORWARD:
	case MLK_MSG_FORWARD_REPLY:
	case MLK_MSG_QUERY:
	case MLK_MSG_QUERY_REPLY:
		return (false);
	default:
		return (true);
	}
}

static void
count(struct cap_traffic *t, enum mlk_msg_type type, size_t bytes)
{
	t->msgs++;
	t->bytes += bytes;
	t->msgs_by_type[type]++;
	t->bytes_by_type[type] += bytes;
	if (is_control(type)) {
		t->control_msgs++;
		t->control_bytes += bytes;
	}
}

/*
 * Encodes a message, counts it and appends it to an inbox.  With a NULL inbox
 * the message is dropped; a NULL sent does not count it.
 */
static void
send_packet(GArray *inbox, struct cap_traffic *sent, uint32_t agent,
    uint32_t link, const struct mlk_msg *msg)
{
	struct cap_packet packet = { .agent = agent, .link = link };
	struct mlk_error err = { 0 };

	check(mlk_wire_encode(msg, 1, &packet.wire, &err), &err);
	if (sent != NULL)
		count(sent, msg->type, packet.wire.len);
	if (inbox != NULL)
		g_array_append_val(inbox, packet);
	else
		mlk_blob_clear(&packet.wire);
}

/* ---- table service --------------------------------------------------- */

/*
 * Writes the ownership map.  Partitions that the real entry released go to the
 * stand-ins in turn.
 */
static void
write_ownership(struct cap_sim *s, const struct mlk_ownership *own)
{
	uint32_t i, p;

	s->ownership = *own;
	s->ownership.row_version++;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if (own->part[p].owner[0] != '\0' || s->nentries == 1)
			continue;
		s->ownership.part[p].epoch++;
		i = 1 + p % (s->nentries - 1);
		(void)snprintf(
		    s->ownership.part[p].owner, MLK_NAME_MAX, "e%u", i);
		s->ownership.part[p].incarnation = s->rows[i].info.incarnation;
	}
}

/*
 * Writes the row of an agent whose incarnation is closed, and its claims.
 */
static void
write_close(struct cap_sim *s, const struct mlk_store_op *op)
{
	struct mlk_claims_row *row;
	struct mlk_error err = { 0 };
	char *body = NULL;
	uint32_t i;

	check(mlk_platform_encode(op, &body, &err), &err);
	s->close_bytes = MAX(s->close_bytes, strlen(body));
	free(body);
	for (i = 0; i < s->nagents; i++) {
		if (strcmp(s->agents[i].row.id, op->agent.id) != 0)
			continue;
		s->agents[i].row = op->agent;
		s->agents[i].row.row_version++;
	}
	for (i = 0; i < op->nclaims; i++) {
		row = &s->claims[op->claims[i].partition];
		row->row_version = op->claims[i].row_version + 1;
	}
}

/*
 * Applies a store operation of the entry and passes the answer to it, with the
 * rows that it reads.
 */
static void
answer_entry(struct cap_sim *s, const struct mlk_store_op *op)
{
	struct mlk_event ev = { .type = MLK_EV_STORE };
	struct mlk_store_view view = { 0 };
	struct mlk_error err = { 0 };
	uint32_t i;

	s->store_ops[op->type]++;
	if (op->type == MLK_STORE_TAKEOVER)
		write_ownership(s, op->ownership);
	if (op->type == MLK_STORE_REGISTER_ENTRY)
		s->rows[0].row_version++;
	if (op->type == MLK_STORE_CLOSE_AGENT)
		write_close(s, op);
	view.has_ownership = view.has_config =
	    op->type != MLK_STORE_POLL || !op->expect_unchanged;
	view.ownership = s->ownership;
	view.config = s->config;
	view.config_row_version = s->config.version;
	view.entries = s->rows;
	view.nentries = s->rows[0].row_version == 0 ? 0 : s->nentries;
	if (op->type == MLK_STORE_TAKEOVER || op->type == MLK_STORE_AGENTS) {
		view.agents = g_new(struct mlk_agent_row, s->nagents);
		for (i = 0; i < s->nagents; i++) {
			if (s->agents[i].row.row_version > 0)
				view.agents[view.nagents++] = s->agents[i].row;
		}
		view.claims = s->claims;
		view.nclaims =
		    op->type == MLK_STORE_TAKEOVER ? MLK_PARTITIONS : 0;
	}
	ev.now = s->now;
	ev.wall = s->wall;
	ev.u.store.type = op->type;
	ev.u.store.id = op->id;
	ev.u.store.status = MLK_STORE_OK;
	if (op->type == MLK_STORE_POLL && op->expect_unchanged &&
	    (op->known_ownership != s->ownership.row_version ||
		op->config_row_version != s->config.version))
		ev.u.store.status = MLK_STORE_CONFLICT;
	ev.u.store.view = &view;
	check(mlk_entry_apply(s->entry, &ev, &s->fx, &err), &err);
	g_free(view.agents);
}

/*
 * Registers an agent and passes the answer to it.
 */
static void
answer_agent(
    struct cap_sim *s, struct cap_agent *a, const struct mlk_store_op *op)
{
	struct mlk_event ev = { .type = MLK_EV_STORE };
	struct mlk_store_view view = { 0 };
	struct mlk_error err = { 0 };

	a->row = op->agent;
	a->row.row_version++;
	a->incarnation = a->row.incarnation;
	view.has_ownership = view.has_config = true;
	view.ownership = s->ownership;
	view.config = s->config;
	view.entries = s->rows;
	view.nentries = s->nentries;
	view.agents = &a->row;
	view.nagents = 1;
	ev.now = s->now;
	ev.wall = s->wall;
	ev.u.store.type = op->type;
	ev.u.store.id = op->id;
	ev.u.store.status = MLK_STORE_OK;
	ev.u.store.view = &view;
	check(mlk_agent_apply(a->agent, &ev, &a->fx, &err), &err);
}

/* ---- events ---------------------------------------------------------- */

void
cap_entry_event(struct cap_sim *s, struct mlk_event *ev)
{
	struct mlk_error err = { 0 };

	ev->now = s->now;
	ev->wall = s->wall;
	check(mlk_entry_apply(s->entry, ev, &s->fx, &err), &err);
}

void
cap_agent_event(struct cap_sim *s, struct cap_agent *a, struct mlk_event *ev)
{
	struct mlk_error err = { 0 };

	ev->now = s->now;
	ev->wall = s->wall;
	check(mlk_agent_apply(a->agent, ev, &a->fx, &err), &err);
}

void
cap_link_event(struct cap_sim *s, enum mlk_event_type type, uint32_t link,
    uint32_t connect)
{
	struct mlk_event ev = { .type = type };

	ev.u.link.link = link;
	ev.u.link.connect = connect;
	cap_entry_event(s, &ev);
}

/*
 * Answers a heartbeat of the real entry with one from a stand-in, so that both
 * have the same rate.  It reports no ownership version, so that the real entry
 * does not hand over partitions.
 */
static void
peer_receive(struct cap_sim *s, uint32_t link, const struct mlk_msg *msg)
{
	struct mlk_msg beat = { .type = MLK_MSG_HEARTBEAT };

	if (msg->type != MLK_MSG_HEARTBEAT || (s->peers_down & (1U << link)))
		return;
	beat.u.heartbeat.config_version = s->config.version;
	send_packet(s->to_entry, NULL, 0, link, &beat);
}

/*
 * Copies a heartbeat of the real entry to an agent to the links of all
 * stand-ins.
 */
static void
mirror_heartbeat(struct cap_sim *s, uint32_t agent, const struct mlk_msg *msg)
{
	struct cap_agent *a = &s->agents[agent];
	uint32_t i;

	if (msg->type != MLK_MSG_HEARTBEAT)
		return;
	for (i = 1; i < s->nentries; i++) {
		if ((a->peer_links & (1ULL << i)) != 0)
			send_packet(
			    s->to_agents, NULL, agent, CAP_REAL_LINK + i, msg);
	}
}

/*
 * Distributes a new configuration from the stand-ins: one of them sends it to
 * each agent, like the entry that is responsible for the agent.
 */
void
cap_sim_configure(struct cap_sim *s)
{
	struct mlk_msg msg = { .type = MLK_MSG_CONFIG };
	uint32_t i;

	msg.u.config = s->config;
	for (i = 0; s->nentries > 1 && i < s->nagents; i++)
		send_packet(s->to_agents, NULL, i,
		    CAP_REAL_LINK + 1 + i % (s->nentries - 1), &msg);
}

/*
 * Handles a message from an agent to a stand-in.
 */
static void
standin_receive(
    struct cap_sim *s, uint32_t agent, uint32_t link, const struct mlk_msg *msg)
{
	struct mlk_msg reply = { 0 };

	if (msg->type == MLK_MSG_HELLO) {
		reply.type = MLK_MSG_WELCOME;
		reply.u.welcome.self = s->rows[link - CAP_REAL_LINK].info;
		s->agents[agent].peer_links |= 1ULL << (link - CAP_REAL_LINK);
	} else if (msg->type == MLK_MSG_RECLAIM) {
		reply.type = MLK_MSG_RETURN;
		reply.u.returned = msg->u.reclaim;
	} else {
		return;
	}
	send_packet(s->to_agents, NULL, agent, link, &reply);
}

/*
 * Connects an agent to the entry whose number is the port of the address.
 */
static void
agent_connects(struct cap_sim *s, uint32_t agent, const struct mlk_effect *fx)
{
	struct mlk_event ev = { .type = MLK_EV_LINK_UP };
	struct cap_agent *a = &s->agents[agent];
	uint32_t entry;

	if (a->down)
		return;
	entry =
	    (uint32_t)strtoul(strchr(fx->u.connect.addr, ':') + 1, NULL, 10);
	if (entry == 0)
		cap_link_event(s, MLK_EV_LINK_UP, CAP_AGENT_LINK + agent, 0);
	ev.u.link.connect = fx->u.connect.connect;
	ev.u.link.link = CAP_REAL_LINK + entry;
	cap_agent_event(s, a, &ev);
}

static void
agent_closes(struct cap_sim *s, uint32_t agent, uint32_t link)
{
	s->closed_links++;
	if (link == CAP_REAL_LINK)
		cap_link_event(s, MLK_EV_LINK_DOWN, CAP_AGENT_LINK + agent, 0);
	else
		s->agents[agent].peer_links &=
		    ~(1ULL << (link - CAP_REAL_LINK));
}

/* ---- rounds ----------------------------------------------------------- */

static void
entry_effect(struct cap_sim *s, const struct mlk_effect *fx)
{
	struct mlk_event ev = { .type = MLK_EV_LINK_DOWN };
	uint32_t link;

	switch (fx->type) {
	case MLK_FX_SEND:
		link = fx->u.send.link;
		if (link < CAP_AGENT_LINK)
			peer_receive(s, link, &fx->u.send.msg);
		else
			mirror_heartbeat(
			    s, link - CAP_AGENT_LINK, &fx->u.send.msg);
		break;
	case MLK_FX_STORE:
		answer_entry(s, &fx->u.store);
		break;
	case MLK_FX_CONNECT:
		cap_link_event(s, MLK_EV_LINK_DOWN, 0, fx->u.connect.connect);
		break;
	case MLK_FX_CLOSE_LINK:
		s->closed_links++;
		link = fx->u.close.link;
		if (link < CAP_AGENT_LINK)
			break;
		ev.u.link.link = CAP_REAL_LINK;
		cap_agent_event(s, &s->agents[link - CAP_AGENT_LINK], &ev);
		break;
	case MLK_FX_ANSWER:
		s->answers++;
		break;
	default:
		break;
	}
}

/*
 * Sends a message of the entry.  Messages to stand-ins and lost agents are
 * counted and dropped.
 */
static void
entry_sends(struct cap_sim *s, uint32_t link, const struct mlk_msg *msg)
{
	bool lost =
	    link < CAP_AGENT_LINK || s->agents[link - CAP_AGENT_LINK].down;

	send_packet(lost ? NULL : s->to_agents, &s->entry_use.sent,
	    link - CAP_AGENT_LINK, CAP_REAL_LINK, msg);
}

/*
 * Executes the effects of the entry: first all messages, then the others.
 * Returns whether there were any.
 */
static bool
entry_effects(struct cap_sim *s)
{
	struct mlk_effects fx = s->fx;
	double before = cap_cpu_s();
	const struct mlk_effect *f;
	size_t heap, i;

	memset(&s->fx, 0, sizeof(s->fx));
	for (i = 0; i < fx.n; i++) {
		f = &fx.items[i];
		if (f->type == MLK_FX_SEND)
			entry_sends(s, f->u.send.link, &f->u.send.msg);
	}
	s->entry_use.wire_s += cap_cpu_s() - before;
	for (i = 0; i < fx.n; i++)
		entry_effect(s, &fx.items[i]);
	i = fx.n;
	heap = cap_heap_bytes();
	mlk_effects_free(&fx);
	s->effects_max = MAX(s->effects_max, heap - cap_heap_bytes());
	return (i > 0);
}

static void
agent_effect(struct cap_sim *s, uint32_t agent, const struct mlk_effect *fx)
{
	struct cap_finished done = { .agent = agent };

	switch (fx->type) {
	case MLK_FX_STORE:
		answer_agent(s, &s->agents[agent], &fx->u.store);
		break;
	case MLK_FX_CONNECT:
		agent_connects(s, agent, fx);
		break;
	case MLK_FX_CLOSE_LINK:
		agent_closes(s, agent, fx->u.close.link);
		break;
	case MLK_FX_START_TASK:
		done.slot = fx->u.start.slot;
		g_array_append_val(s->finished, done);
		break;
	default:
		break;
	}
}

static void
agent_sends(struct cap_sim *s, uint32_t agent, const struct mlk_effects *fx)
{
	const struct mlk_effect *f;
	bool to_real;
	size_t i;

	for (i = 0; i < fx->n; i++) {
		f = &fx->items[i];
		if (f->type != MLK_FX_SEND)
			continue;
		to_real = f->u.send.link == CAP_REAL_LINK;
		send_packet(
		    to_real && !s->agents[agent].down ? s->to_entry : NULL,
		    &s->agent_use.sent, 0, CAP_AGENT_LINK + agent,
		    &f->u.send.msg);
		if (!to_real)
			standin_receive(
			    s, agent, f->u.send.link, &f->u.send.msg);
	}
}

/*
 * Executes the effects of all agents.  Returns whether there were any.
 */
static bool
agent_effects(struct cap_sim *s)
{
	struct mlk_effects fx;
	double before = cap_cpu_s();
	bool any = false;
	uint32_t i;
	size_t k;

	for (i = 0; i < s->nagents; i++)
		agent_sends(s, i, &s->agents[i].fx);
	s->agent_use.wire_s += cap_cpu_s() - before;
	for (i = 0; i < s->nagents; i++) {
		fx = s->agents[i].fx;
		if (fx.n == 0)
			continue;
		any = true;
		memset(&s->agents[i].fx, 0, sizeof(fx));
		for (k = 0; k < fx.n; k++)
			agent_effect(s, i, &fx.items[k]);
		mlk_effects_free(&fx);
	}
	return (any);
}

/*
 * Decodes and counts all messages of an inbox.
 */
static void
decode(GArray *inbox, struct cap_role *role)
{
	double before = cap_cpu_s();
	struct mlk_error err = { 0 };
	struct cap_packet *packet;
	guint i;

	for (i = 0; i < inbox->len; i++) {
		packet = &g_array_index(inbox, struct cap_packet, i);
		check(mlk_wire_decode(packet->wire.data + RECORD_MARK_BYTES,
			  packet->wire.len - RECORD_MARK_BYTES, &packet->msg,
			  &err),
		    &err);
		count(&role->received, packet->msg.type, packet->wire.len);
	}
	role->wire_s += cap_cpu_s() - before;
}

static void
clear_inbox(GArray *inbox)
{
	struct cap_packet *packet;
	guint i;

	for (i = 0; i < inbox->len; i++) {
		packet = &g_array_index(inbox, struct cap_packet, i);
		mlk_blob_clear(&packet->wire);
		mlk_msg_clear(&packet->msg);
	}
	g_array_set_size(inbox, 0);
}

static void
apply_to_entry(struct cap_sim *s)
{
	struct mlk_event ev = { .type = MLK_EV_MSG };
	struct cap_packet *packet;
	double before;
	guint i;

	decode(s->to_entry, &s->entry_use);
	before = cap_cpu_s();
	for (i = 0; i < s->to_entry->len; i++) {
		packet = &g_array_index(s->to_entry, struct cap_packet, i);
		ev.u.msg.link = packet->link;
		ev.u.msg.msg = &packet->msg;
		cap_entry_event(s, &ev);
	}
	s->entry_use.core_s += cap_cpu_s() - before;
	clear_inbox(s->to_entry);
}

static void
apply_to_agents(struct cap_sim *s)
{
	struct mlk_event ev = { .type = MLK_EV_MSG };
	struct cap_packet *packet;
	double before;
	guint i;

	decode(s->to_agents, &s->agent_use);
	before = cap_cpu_s();
	for (i = 0; i < s->to_agents->len; i++) {
		packet = &g_array_index(s->to_agents, struct cap_packet, i);
		ev.u.msg.link = packet->link;
		ev.u.msg.msg = &packet->msg;
		cap_agent_event(s, &s->agents[packet->agent], &ev);
	}
	s->agent_use.core_s += cap_cpu_s() - before;
	clear_inbox(s->to_agents);
}

/*
 * Ends the tasks that were running at the start of the round.
 */
static void
finish_tasks(struct cap_sim *s)
{
	struct mlk_event ev = { .type = MLK_EV_TASK_DONE };
	double before = cap_cpu_s();
	struct cap_finished *done;
	guint i;

	ev.u.task_done.status = MLK_TASK_DONE;
	ev.u.task_done.run_ms = MLK_TICK_MS;
	ev.u.task_done.payload.data = payload_bytes;
	ev.u.task_done.payload.len = CAP_PAYLOAD_BYTES;
	for (i = 0; i < s->finished->len; i++) {
		done = &g_array_index(s->finished, struct cap_finished, i);
		ev.u.task_done.slot = done->slot;
		cap_agent_event(s, &s->agents[done->agent], &ev);
	}
	s->agent_use.core_s += cap_cpu_s() - before;
	g_array_set_size(s->finished, 0);
}

static void
tick_all(struct cap_sim *s)
{
	struct mlk_event ev = { .type = MLK_EV_TICK };
	double before = cap_cpu_s();
	double between;
	uint32_t i;

	cap_entry_event(s, &ev);
	between = cap_cpu_s();
	s->entry_use.core_s += between - before;
	for (i = 0; i < s->nagents; i++)
		cap_agent_event(s, &s->agents[i], &ev);
	s->agent_use.core_s += cap_cpu_s() - between;
}

/*
 * Advances the simulated clock by ms milliseconds and runs all processes.
 */
void
cap_sim_run(struct cap_sim *s, uint32_t ms)
{
	uint32_t t;
	bool any;

	for (t = 0; t < ms; t += MLK_TICK_MS) {
		s->now += TICK_NS;
		if (s->now % MLK_NSEC_PER_SEC == 0)
			s->wall++;
		finish_tasks(s);
		tick_all(s);
		do {
			any = entry_effects(s);
			any = agent_effects(s) || any;
			apply_to_agents(s);
			apply_to_entry(s);
		} while (any);
	}
}

void
cap_sim_reset_use(struct cap_sim *s)
{
	memset(&s->entry_use, 0, sizeof(s->entry_use));
	memset(&s->agent_use, 0, sizeof(s->agent_use));
	s->answers = 0;
	s->closed_links = 0;
	s->close_bytes = 0;
	s->effects_max = 0;
	memset(s->store_ops, 0, sizeof(s->store_ops));
}
