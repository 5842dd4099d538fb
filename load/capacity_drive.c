/*
 * Sets up the processes of capacity_sim.h, and applies to them what a
 * measurement needs: jobs, existing records, and failures.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/wire.h>

#include "capacity_sim.h"

#define START_WALL 1000000 /* s */
#define SETTLE_MS 6000U /* for registration, links and first takeover */

static void
create_entry(struct cap_sim *s)
{
	struct mlk_entry_options o;
	uint32_t i, p;

	for (i = 0; i < s->nentries; i++) {
		(void)snprintf(s->rows[i].info.id, MLK_NAME_MAX, "e%u", i);
		(void)snprintf(
		    s->rows[i].info.addr, MLK_ADDR_MAX, "127.0.0.1:%u", i);
		(void)snprintf(s->rows[i].info.dc, MLK_NAME_MAX, "dc-%u", i);
		s->rows[i].info.incarnation = i + 1;
		s->rows[i].row_version = i == 0 ? 0 : 1;
	}
	s->ownership.row_version = 1;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		s->claims[p].partition = p;
		s->ownership.part[p].epoch = 1;
		i = p % s->nentries;
		if (i == 0)
			continue;
		(void)snprintf(
		    s->ownership.part[p].owner, MLK_NAME_MAX, "e%u", i);
		s->ownership.part[p].incarnation = s->rows[i].info.incarnation;
	}
	mlk_entry_options_default(&o);
	o.self = s->rows[0].info;
	s->entry = mlk_entry_create(&o);
}

static void
create_agents(struct cap_sim *s)
{
	char addrs[CAP_ENTRIES_MAX][MLK_ADDR_MAX];
	struct mlk_agent_options o;
	uint32_t i;

	for (i = 0; i < s->nentries; i++)
		memcpy(addrs[i], s->rows[i].info.addr, MLK_ADDR_MAX);
	for (i = 0; i < s->nagents; i++) {
		mlk_agent_options_default(&o);
		(void)snprintf(o.id, sizeof(o.id), "worker-%u", i);
		(void)snprintf(
		    o.dc, sizeof(o.dc), "dc-%u", i % CAP_ENTRIES_MAX);
		o.slots = CAP_SLOTS;
		o.nentries = s->nentries;
		o.entries = addrs;
		s->agents[i].agent = mlk_agent_create(&o);
		memcpy(s->agents[i].row.id, o.id, sizeof(o.id));
	}
}

/*
 * Opens a link from a stand-in to the real entry and sends its PEER_HELLO.
 */
static void
connect_peer(struct cap_sim *s, uint32_t entry)
{
	struct mlk_event ev = { .type = MLK_EV_MSG };
	struct mlk_msg msg = { .type = MLK_MSG_PEER_HELLO };

	cap_link_event(s, MLK_EV_LINK_UP, entry, 0);
	msg.u.peer_hello.self = s->rows[entry].info;
	ev.u.msg.link = entry;
	ev.u.msg.msg = &msg;
	cap_entry_event(s, &ev);
}

/*
 * Returns a running set of processes.  The partitions are divided among the
 * entries.
 */
struct cap_sim *
cap_sim_create(uint32_t nagents, uint32_t nentries)
{
	struct cap_sim *s = g_new0(struct cap_sim, 1);
	uint32_t i;

	s->nagents = nagents;
	s->nentries = MAX(nentries, 1U);
	s->now = MLK_NSEC_PER_SEC;
	s->wall = START_WALL;
	s->to_entry = g_array_new(FALSE, TRUE, sizeof(struct cap_packet));
	s->to_agents = g_array_new(FALSE, TRUE, sizeof(struct cap_packet));
	s->finished = g_array_new(FALSE, TRUE, sizeof(struct cap_finished));
	s->agents = g_new0(struct cap_agent, nagents);
	create_entry(s);
	create_agents(s);
	for (i = 1; i < nentries; i++)
		connect_peer(s, i);
	cap_sim_run(s, SETTLE_MS);
	cap_sim_reset_use(s);
	return (s);
}

/*
 * Destroys the processes and fills *use, unless it is NULL.
 */
void
cap_sim_destroy(struct cap_sim *s, struct cap_heap_use *use)
{
	size_t before, between;
	uint32_t i;

	mlk_effects_free(&s->fx);
	for (i = 0; i < s->nagents; i++)
		mlk_effects_free(&s->agents[i].fx);
	before = cap_heap_bytes();
	mlk_entry_destroy(s->entry);
	between = cap_heap_bytes();
	for (i = 0; i < s->nagents; i++)
		mlk_agent_destroy(s->agents[i].agent);
	if (use != NULL) {
		use->entry = (double)before - (double)between;
		use->agent =
		    ((double)between - (double)cap_heap_bytes()) / s->nagents;
	}
	g_array_free(s->to_entry, TRUE);
	g_array_free(s->to_agents, TRUE);
	g_array_free(s->finished, TRUE);
	mlk_config_clear(&s->config);
	g_free(s->agents);
	g_free(s);
}

/*
 * Submits a job with a new id to the real entry.
 */
void
cap_sim_submit(struct cap_sim *s, uint32_t ntasks)
{
	struct mlk_event ev = { .type = MLK_EV_SUBMIT };
	uint8_t payload[CAP_PAYLOAD_BYTES] = { 0 };
	struct mlk_job_spec spec = { 0 };
	double before;
	uint32_t i;

	(void)snprintf(spec.id, sizeof(spec.id), "job-%llu",
	    (unsigned long long)++s->next_job);
	(void)snprintf(spec.team, sizeof(spec.team), "team");
	spec.digest = mlk_key_from_id(spec.id);
	spec.ntasks = ntasks;
	spec.tasks = calloc(ntasks, sizeof(*spec.tasks));
	for (i = 0; spec.tasks != NULL && i < ntasks; i++) {
		(void)snprintf(spec.tasks[i].kind, MLK_NAME_MAX, "kind");
		(void)mlk_blob_copy(
		    &spec.tasks[i].payload, payload, sizeof(payload));
	}
	ev.u.submit.request = s->next_job;
	ev.u.submit.wait = true;
	ev.u.submit.spec = &spec;
	before = cap_cpu_s();
	cap_entry_event(s, &ev);
	s->entry_use.core_s += cap_cpu_s() - before;
	mlk_job_spec_clear(&spec);
}

/*
 * Ends the task that was started by the effects of an agent, and acknowledges
 * its result on the link of the START.
 */
static void
finish_added_task(
    struct cap_sim *s, struct cap_agent *a, uint32_t link, uint64_t seq)
{
	static uint8_t result[CAP_PAYLOAD_BYTES];
	struct mlk_event done = { .type = MLK_EV_TASK_DONE };
	struct mlk_event ack = { .type = MLK_EV_MSG };
	struct mlk_msg msg = { .type = MLK_MSG_ACK };
	size_t i;

	for (i = 0; i < a->fx.n; i++) {
		if (a->fx.items[i].type == MLK_FX_START_TASK)
			done.u.task_done.slot = a->fx.items[i].u.start.slot;
	}
	mlk_effects_clear(&a->fx);
	done.u.task_done.status = MLK_TASK_DONE;
	done.u.task_done.payload.data = result;
	done.u.task_done.payload.len = CAP_PAYLOAD_BYTES;
	cap_agent_event(s, a, &done);
	msg.u.ack.seq = seq;
	ack.u.msg.link = link;
	ack.u.msg.msg = &msg;
	cap_agent_event(s, a, &ack);
	mlk_effects_clear(&a->fx);
}

/*
 * Adds records of jobs of one task to an agent, with ids in the partitions of
 * the last entry.  The first stand-in starts the tasks, because it has a credit
 * even with more entries than slots.  Ends the program when a start was
 * refused.
 */
void
cap_sim_add_records(struct cap_sim *s, uint32_t agent, uint32_t nrecords)
{
	struct cap_agent *a = &s->agents[agent];
	struct mlk_event ev = { .type = MLK_EV_MSG };
	struct mlk_msg msg = { .type = MLK_MSG_START };
	struct mlk_agent_gauges gauges;
	struct mlk_start_task task;
	struct mlk_rng rng;
	uint32_t i, low;

	mlk_rng_seed(&rng, agent + 1);
	memset(&task, 0, sizeof(task));
	task.epoch = 1;
	ev.u.msg.link = CAP_REAL_LINK + 1;
	ev.u.msg.msg = &msg;
	msg.u.start.incarnation = a->incarnation;
	msg.u.start.tasks = &task;
	msg.u.start.n = 1;
	for (i = 0; i < nrecords; i++) {
		low = s->nentries - 1 +
		    s->nentries *
			mlk_rng_below(&rng, MLK_PARTITIONS / s->nentries);
		task.key.hi = mlk_rng_next(&rng);
		task.key.lo =
		    (mlk_rng_next(&rng) & ~(uint64_t)(MLK_PARTITIONS - 1)) |
		    low;
		cap_agent_event(s, a, &ev);
		finish_added_task(s, a, ev.u.msg.link, i + 1);
	}
	mlk_agent_gauges(a->agent, &gauges);
	if (gauges.records == nrecords)
		return;
	(void)fprintf(stderr,
	    "monsoonlock-capacity: agent has %u of %u records, a START "
	    "was refused\n",
	    gauges.records, nrecords);
	exit(EXIT_FAILURE);
}

/*
 * Makes a stand-in fail: its link closes and is not opened again.
 */
void
cap_sim_peer_down(struct cap_sim *s, uint32_t entry)
{
	s->peers_down |= 1U << entry;
	cap_link_event(s, MLK_EV_LINK_DOWN, entry, 0);
}

/*
 * Makes an agent fail: its link closes, and its messages are dropped.
 */
void
cap_sim_agent_down(struct cap_sim *s, uint32_t agent)
{
	s->agents[agent].down = true;
	cap_link_event(s, MLK_EV_LINK_DOWN, CAP_AGENT_LINK + agent, 0);
}
