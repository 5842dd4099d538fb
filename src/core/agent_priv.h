/*
 * Private state of the agent reducer, shared by its files:
 *   agent.c           options, creation, dispatch of events
 *   agent_register.c  registration in the table service, configuration
 *   agent_links.c     connections to entries, HELLO/WELCOME, heartbeats
 *   agent_results.c   delivery of results, grants
 *   agent_start.c     checks before a start, the queue of the baseline policies
 *   agent_leave.c     planned stop, saving of the record
 *   agent_fence.c     FENCE and QUERY
 */
#ifndef MLK_CORE_AGENT_PRIV_H
#define MLK_CORE_AGENT_PRIV_H

#include <glib.h>

#include <monsoonlock/core.h>

#include "agent_record.h"
#include "slots.h"

#define AGENT_ENTRIES_MAX MLK_SLOTS_ENTRIES_MAX
#define AGENT_NO_ENTRY 0U /* reserved serial: no entry */

enum agent_link_state {
	AGENT_LINK_UNUSED = 0, /* free element of agent->entries */
	AGENT_LINK_IDLE, /* connects at retry_at */
	AGENT_LINK_CONNECTING,
	AGENT_LINK_HELLO, /* HELLO sent, no WELCOME yet */
	AGENT_LINK_LINKED,
	AGENT_LINK_ALIAS, /* another address of an entry that is linked */
};

/* A result sent on a link that the entry has not acknowledged. */
struct agent_sent {
	uint64_t seq;
	uint32_t record; /* handle */
};

/* One known address of an entry, and its link. */
struct agent_entry {
	enum agent_link_state state;
	char addr[MLK_ADDR_MAX];
	bool permanent; /* from the settings; never removed */
	int64_t listed_at; /* last time the table or PEERS listed it */
	uint32_t connect; /* id of the CONNECT effect */
	uint32_t link;
	int64_t retry_at;
	uint32_t backoff_ms;

	char id[MLK_NAME_MAX]; /* from WELCOME */
	uint64_t incarnation;
	uint16_t serial; /* stands for (id, incarnation) in records */
	uint64_t config_version; /* highest version that it is known to have */
	int64_t received_at;
	int64_t sent_at;
	bool has_received; /* a message arrived on this link */
	bool lease_ok; /* the message being applied came within the lease */
	bool lending; /* credits may be granted to it */
	bool leaving; /* it sent LEAVE */

	uint64_t seq; /* of the last result item on this link */
	uint64_t acked_seq;
	GArray *sent; /* struct agent_sent, by seq */
	struct mlk_result_item *items; /* collected during this event */
	uint32_t nitems;
	uint32_t items_cap;
};

enum agent_register_state {
	AGENT_REGISTER_DUE, /* at register_at */
	AGENT_REGISTER_PENDING, /* in progress; times out at register_at */
	AGENT_REGISTER_DONE,
};

enum agent_leave_state {
	AGENT_LEAVE_NONE, /* work has not ended yet; -> DUE */
	AGENT_LEAVE_DUE, /* next attempt at leave_at; -> PENDING */
	AGENT_LEAVE_PENDING, /* in progress; -> DONE, or DUE on failure */
	AGENT_LEAVE_DONE, /* record saved, or another process registered */
};

/* A START that waits for a free slot (baseline policies only). */
struct agent_queued {
	uint32_t link;
	uint64_t incarnation;
	struct mlk_start_task task;
};

struct mlk_agent {
	struct mlk_agent_options options;
	struct mlk_agent_counters counters;
	struct mlk_rng rng;
	struct mlk_effects *out; /* of the event being applied */
	int64_t now;
	int64_t wall; /* time_t */
	int error; /* first failure in the event being applied */

	enum agent_register_state register_state;
	bool has_record; /* registered before; the record has every start since
			    then */
	uint64_t op_id; /* of the last table service operation */
	int64_t register_at;
	uint32_t register_backoff_ms;
	struct mlk_agent_row row; /* as last read or written */
	uint64_t incarnation; /* 0: not registered yet */
	uint64_t first_incarnation; /* of this process */
	int64_t last_event_at; /* to detect a pause of the process */

	struct mlk_config config;
	bool has_config_required; /* set by the first WELCOME */
	uint64_t config_required; /* STARTs are refused until config has this
				     version */

	uint32_t epoch[MLK_PARTITIONS]; /* highest seen */
	uint32_t fence_epoch[MLK_PARTITIONS]; /* of the highest FENCE */
	uint16_t owner[MLK_PARTITIONS]; /* serial of the sender of that FENCE */

	struct agent_entry entries[AGENT_ENTRIES_MAX];
	uint32_t next_connect;
	uint16_t next_serial;

	struct mlk_records *records;
	struct mlk_slots *slots;
	uint32_t *running; /* record handle by slot, or MLK_RECORD_NONE */
	uint32_t nrunning;
	GQueue queue; /* struct agent_queued *, FIFO */

	bool stopping;
	bool exited; /* the EXIT effect was issued */
	int64_t stop_at;
	enum agent_leave_state leave;
	int64_t leave_at; /* next attempt */
	int64_t leave_started_at; /* first attempt */
	int64_t leave_record_at; /* record_at of the last attempt */
	struct mlk_saved_hash *inherited; /* saved by earlier processes */
	uint32_t ninherited;
};

/* agent.c */
struct mlk_msg *agent_send(
    struct mlk_agent *agent, struct agent_entry *entry, enum mlk_msg_type type);
struct mlk_store_op *agent_store(
    struct mlk_agent *agent, enum mlk_store_op_type type);
void agent_log(struct mlk_agent *agent, enum mlk_log_level level,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));
int64_t agent_backoff(struct mlk_agent *agent, uint32_t *backoff_ms,
    uint32_t first_ms, uint32_t max_ms);

/* agent_register.c */
void agent_register_tick(struct mlk_agent *agent);
const struct mlk_agent_row *agent_own_row(
    const struct mlk_agent *agent, const struct mlk_store_view *view);
void agent_store_event(struct mlk_agent *agent, const struct mlk_event *ev);
void agent_reregister(struct mlk_agent *agent, uint64_t incarnation);
void agent_config_apply(
    struct mlk_agent *agent, const struct mlk_config *config);

/* agent_links.c */
void agent_addr_add(struct mlk_agent *agent, const char *addr, bool permanent);
void agent_links_tick(struct mlk_agent *agent);
void agent_links_restart(struct mlk_agent *agent);
void agent_link_up(struct mlk_agent *agent, uint32_t connect, uint32_t link);
void agent_link_down(struct mlk_agent *agent, uint32_t connect, uint32_t link);
void agent_lease_renew(struct mlk_agent *agent, struct agent_entry *entry);
void agent_welcome(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_msg *msg);
void agent_peers(struct mlk_agent *agent, const struct mlk_msg *msg);
void agent_entry_leave(struct mlk_agent *agent, struct agent_entry *entry);
void agent_config_sync(
    struct mlk_agent *agent, struct agent_entry *entry, uint64_t version);
struct agent_entry *agent_entry_by_link(struct mlk_agent *agent, uint32_t link);
struct agent_entry *agent_entry_by_serial(
    struct mlk_agent *agent, uint16_t serial);
uint32_t agent_entry_index(
    const struct mlk_agent *agent, const struct agent_entry *entry);

/* agent_results.c */
void agent_result_not_run(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_start_task *task, bool retryable, const char *reason);
void agent_result_unknown(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_start_task *task);
void agent_result_route(struct mlk_agent *agent, uint32_t handle);
void agent_result_resend(
    struct mlk_agent *agent, struct agent_entry *entry, uint32_t handle);
void agent_results_route_all(struct mlk_agent *agent);
void agent_results_ack(
    struct mlk_agent *agent, struct agent_entry *entry, uint64_t seq);
void agent_results_reset(struct mlk_agent *agent, struct agent_entry *entry);
bool agent_results_all_acked(const struct mlk_agent *agent);
void agent_results_flush(struct mlk_agent *agent);

/* agent_start.c */
void agent_start(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_msg *msg);
void agent_task_done(struct mlk_agent *agent, const struct mlk_event *ev);
void agent_cancel(struct mlk_agent *agent, struct mlk_key key);
void agent_queue_run(struct mlk_agent *agent);
void agent_queue_drop(struct mlk_agent *agent, uint32_t link);
void agent_queue_refuse(struct mlk_agent *agent);

/* agent_leave.c */
void agent_stop(struct mlk_agent *agent);
void agent_stop_check(struct mlk_agent *agent);
int agent_inherit(struct mlk_agent *agent, const struct mlk_store_view *view);
void agent_leave_event(struct mlk_agent *agent, const struct mlk_event *ev);

/* agent_fence.c */
void agent_fence(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_msg *msg);
void agent_query(
    struct mlk_agent *agent, struct agent_entry *entry, struct mlk_key key);

#endif
