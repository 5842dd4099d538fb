/*
 * Scheduler of an entry: task classes, queues, admission and credits.  It
 * selects the next task to start and the agent to start it on.  It sends no
 * messages and does not track jobs; tasks and agents are integer handles that
 * the caller assigns.
 */
#ifndef MLK_CORE_SCHED_H
#define MLK_CORE_SCHED_H

#include <monsoonlock/core.h>

struct mlk_sched;

struct mlk_sched_options {
	enum mlk_policy policy;
	uint64_t seed;
	uint32_t max_queued;
	char dc[MLK_NAME_MAX]; /* own data centre */
};

/* A task to queue.  `task` is the caller's handle, below 2^31, and unique among
 * the queued tasks. */
struct mlk_sched_task {
	uint32_t task;
	const char *kind;
	const char *team;
	int64_t deadline; /* monotonic ns; 0: none */
	bool retry; /* queued at the head, also when the queue is full */
	uint32_t avoid_agent; /* do not use this agent; UINT32_MAX: none */
};

struct mlk_binding {
	uint32_t task;
	uint32_t agent;
	bool is_long;
};

struct mlk_sched *mlk_sched_create(const struct mlk_sched_options *options);
void mlk_sched_destroy(struct mlk_sched *sched);
/* Sets the number of live entries, this one included.  Each entry enforces an
 * equal part of the quotas. */
void mlk_sched_set_entries(struct mlk_sched *sched, uint32_t nentries);

/* Applies quotas, weights, urgencies, drains and data centre preferences;
 * `wall` is time_t. */
void mlk_sched_configure(
    struct mlk_sched *sched, const struct mlk_config *config, int64_t wall);

/*
 * Decides whether to admit a job, before any of its tasks is queued.  Returns
 * 0, or MLK_ERR_UNAVAILABLE with *retry_after_ms and reason when the estimated
 * completion is after the deadline, the queue is full, or the team has used up
 * its part of the queue.
 */
int mlk_sched_admit(struct mlk_sched *sched, const struct mlk_job_spec *spec,
    int64_t now, uint32_t *retry_after_ms, char reason[128]);

int mlk_sched_enqueue(
    struct mlk_sched *sched, const struct mlk_sched_task *t, int64_t now);
/* Removes a queued task in constant time.  False when it is not queued. */
bool mlk_sched_remove(struct mlk_sched *sched, uint32_t task);

void mlk_sched_agent_up(struct mlk_sched *sched, uint32_t agent, const char *id,
    const char *dc, uint32_t slots, int64_t now);
void mlk_sched_agent_down(struct mlk_sched *sched, uint32_t agent);
/*
 * Enables or disables an agent.  A disabled agent, which is leaving or has not
 * answered FENCE yet, gets no work.
 */
void mlk_sched_agent_enable(
    struct mlk_sched *sched, uint32_t agent, bool enabled);
/* Adds credits that the agent granted. */
void mlk_sched_credit(
    struct mlk_sched *sched, uint32_t agent, struct mlk_credits credits);
/* Removes up to `want` idle credits of the agent; returns how many. */
struct mlk_credits mlk_sched_reclaim(
    struct mlk_sched *sched, uint32_t agent, struct mlk_credits want);

/* Selects the next task to start; false when there is none.  The task leaves
 * the queue and its credit is consumed. */
bool mlk_sched_next(
    struct mlk_sched *sched, int64_t now, struct mlk_binding *out);
/* Ends a task that mlk_sched_next() bound.  NOT_RUN is not a failure of the
 * agent. */
void mlk_sched_done(struct mlk_sched *sched, uint32_t agent, const char *kind,
    const char *team, bool is_long, enum mlk_task_status status,
    uint32_t run_ms, int64_t now);

/* Fills in the demand to report to an agent. */
void mlk_sched_demand(
    struct mlk_sched *sched, int64_t now, struct mlk_demand *out);
/* Records that a demand was sent to an agent in START or NEED. */
void mlk_sched_demand_sent(struct mlk_sched *sched, uint32_t agent,
    const struct mlk_demand *demand, int64_t now);
/*
 * Stores in `agents` at most `max` agents that are to get NEED now, and returns
 * how many.  Also ends ejections whose back-off is over.  Called on each tick
 * and after an enqueue that found no credit.
 */
size_t mlk_sched_need(
    struct mlk_sched *sched, int64_t now, uint32_t *agents, size_t max);
/* Removes at most `max` queued tasks whose deadline has passed, stores their
 * handles in `tasks` and returns how many. */
size_t mlk_sched_expired(
    struct mlk_sched *sched, int64_t now, uint32_t *tasks, size_t max);

struct mlk_sched_stats {
	uint32_t queued_short;
	uint32_t queued_long;
	uint32_t in_flight;
	uint32_t credits;
	uint32_t ejected;
	uint64_t ejections;
};

void mlk_sched_stats(
    const struct mlk_sched *sched, struct mlk_sched_stats *out);

#endif
