/*
 * One real entry and many real agents in one process, with a simulated clock,
 * for monsoonlock-capacity.  The table service is in memory.  The other entries
 * are stand-ins: they answer HELLO, PEER_HELLO, heartbeats and RECLAIM, and
 * send an agent the same HEARTBEAT and CONFIG as the real entry.  Every message
 * is encoded and decoded, so that bytes are counted as on the wire.
 */
#ifndef MLK_LOAD_CAPACITY_SIM_H
#define MLK_LOAD_CAPACITY_SIM_H

#include <glib.h>

#include <monsoonlock/core.h>

#define CAP_ENTRIES_MAX 9U /* including the real entry, number 0 */
#define CAP_SLOTS 8U
#define CAP_REAL_LINK 1U /* of an agent to the real entry */
#define CAP_AGENT_LINK 100U /* of the entry to agent 0 */
#define CAP_PAYLOAD_BYTES 100U /* of a task, and of a result */

struct cap_traffic {
	uint64_t msgs;
	uint64_t bytes;
	uint64_t control_msgs;
	uint64_t control_bytes;
	uint64_t msgs_by_type[MLK_MSG_TYPES];
	uint64_t bytes_by_type[MLK_MSG_TYPES];
};

/* A message in flight. */
struct cap_packet {
	uint32_t agent;
	uint32_t link;
	struct mlk_blob wire; /* the encoded message */
	struct mlk_msg msg;
};

/* A running task; it ends in the next round. */
struct cap_finished {
	uint32_t agent;
	uint32_t slot;
};

/* Traffic and CPU time of the entry, or of all agents together. */
struct cap_role {
	struct cap_traffic sent;
	struct cap_traffic received;
	double core_s; /* CPU time in the reducer */
	double wire_s; /* CPU time for encoding and decoding */
};

struct cap_agent {
	struct mlk_agent *agent;
	struct mlk_effects fx;
	struct mlk_agent_row row;
	uint64_t peer_links; /* mask of the links to stand-ins that are up */
	uint64_t incarnation;
	bool down; /* lost: messages to and from the entry are dropped */
};

struct cap_sim {
	uint32_t nagents;
	uint32_t nentries;
	struct mlk_entry *entry;
	struct cap_agent *agents;
	struct mlk_effects fx; /* of the entry */
	int64_t now; /* simulated monotonic ns */
	int64_t wall; /* simulated time of day, s */
	uint32_t peers_down; /* mask of the stand-ins that have failed */
	GArray *to_entry; /* struct cap_packet */
	GArray *to_agents; /* struct cap_packet */
	GArray *finished; /* struct cap_finished */

	struct mlk_ownership ownership;
	struct mlk_config config;
	struct mlk_entry_row rows[CAP_ENTRIES_MAX];
	struct mlk_claims_row claims[MLK_PARTITIONS];

	struct cap_role entry_use;
	struct cap_role agent_use;
	uint64_t next_job;
	uint64_t answers;
	uint64_t closed_links; /* by the entry or by an agent */
	uint64_t store_ops[MLK_STORE_AUDIT + 1];
	size_t effects_max; /* bytes of the entry's largest effect list */
	uint64_t close_bytes; /* size of the largest CLOSE_AGENT body */
};

/* Heap that was freed with the entry and the agents, in bytes. */
struct cap_heap_use {
	double entry;
	double agent; /* mean per agent */
};

struct cap_sim *cap_sim_create(uint32_t nagents, uint32_t nentries);
void cap_sim_destroy(struct cap_sim *s, struct cap_heap_use *use);
double cap_cpu_s(void);
size_t cap_heap_bytes(void);
void cap_sim_configure(struct cap_sim *s);
void cap_sim_run(struct cap_sim *s, uint32_t ms);
void cap_sim_reset_use(struct cap_sim *s);
void cap_sim_submit(struct cap_sim *s, uint32_t ntasks);
void cap_sim_add_records(struct cap_sim *s, uint32_t agent, uint32_t nrecords);
void cap_sim_peer_down(struct cap_sim *s, uint32_t entry);
void cap_sim_agent_down(struct cap_sim *s, uint32_t agent);
void cap_entry_event(struct cap_sim *s, struct mlk_event *ev);
void cap_agent_event(
    struct cap_sim *s, struct cap_agent *a, struct mlk_event *ev);
void cap_link_event(struct cap_sim *s, enum mlk_event_type type, uint32_t link,
    uint32_t connect);
size_t cap_wire_size(const struct mlk_msg *msg);

#endif
