/*
 * Private types of the scheduler, shared by its source files:
 *   sched.c          creation, configuration, binding, demand, deadlines
 *   sched_admit.c    admission of jobs
 *   sched_agents.c   agents, their credits and the choice of an agent
 *   sched_class.c    short and long kinds, arrival rate of short work
 *   sched_outlier.c  ejection and probation of agents
 *   sched_queue.c    task queues, weights, quotas
 */
#ifndef MLK_CORE_SCHED_PRIV_H
#define MLK_CORE_SCHED_PRIV_H

#include <sys/queue.h>

#include <glib.h>

#include "sched.h"

#define SCHED_NAMES_MAX 4096 /* kinds or teams; further ones share a record */
#define SCHED_DCS_MAX 32 /* data centres; further ones share the last */
#define SCHED_NO_DC UINT32_MAX
#define SCHED_LEVELS 3 /* urgency: 0 background .. 2 urgent */
#define SCHED_LEVEL_DEFAULT 1
#define SCHED_QUOTA_NONE UINT32_MAX
#define SCHED_WHEEL_SLOTS 1024 /* buckets of the deadline wheel */
#define SCHED_WHEEL_NS (16 * MLK_NSEC_PER_MSEC) /* width of a bucket */

enum sched_class { SCHED_SHORT = 0, SCHED_LONG, SCHED_CLASSES };

/* Types of credit: for short tasks only, or for any task. */
enum sched_credit { SCHED_CREDIT_SHORT = 0, SCHED_CREDIT_ANY, SCHED_CREDITS };

TAILQ_HEAD(sched_nodes, sched_node);
TAILQ_HEAD(sched_agents, sched_agent);

/* Statistics and queued tasks of a task kind. */
struct sched_kind {
	char name[MLK_NAME_MAX];
	uint32_t results; /* tasks that ended DONE */
	double mean_ms; /* decayed mean of run times */
	double long_share; /* decayed share of results with a long run time */
	bool known; /* enough results to trust is_long */
	bool is_long;
	uint32_t level;
	uint32_t released; /* tasks queued or in flight; bounded until known */
	struct sched_nodes queued; /* in team queues */
	struct sched_nodes held; /* waiting for release into team queues */
};

/* Tasks of one team in one class and urgency level. */
struct sched_team_queue {
	struct sched_team *team;
	struct sched_nodes nodes;
	double vtime; /* virtual time: slot time used, ms / weight */
	bool in_heap;
};

struct sched_team {
	char name[MLK_NAME_MAX];
	double weight; /* 1 by default */
	uint32_t quota; /* permille of slots, or SCHED_QUOTA_NONE */
	uint32_t prefer_dc; /* index, or SCHED_NO_DC */
	uint32_t in_flight;
	uint32_t queued; /* including held tasks */
	struct sched_team_queue q[SCHED_CLASSES][SCHED_LEVELS];
};

/* Team queues of one class and level, in a binary heap by virtual time. */
struct sched_class_queue {
	GPtrArray *heap;
	double vtime; /* virtual time of the team queue served last */
};

/* A queued or held task. */
struct sched_node {
	uint32_t task;
	struct sched_kind *kind;
	struct sched_team *team;
	enum sched_class class;
	uint32_t level;
	bool held;
	int64_t deadline;
	uint32_t wheel_slot;
	uint32_t avoid_agent;
	double cost_ms; /* expected run time at the time of queueing */
	TAILQ_ENTRY(sched_node) link; /* team queue, or the held list */
	TAILQ_ENTRY(sched_node) kind_link;
	TAILQ_ENTRY(sched_node) wheel_link;
};

enum sched_health {
	SCHED_HEALTHY = 0,
	SCHED_EJECTED, /* gets no work until the back-off is over */
	SCHED_PROBATION, /* gets at most `limit` tasks at a time */
};

struct sched_agent {
	uint32_t handle;
	char id[MLK_NAME_MAX];
	uint32_t dc;
	uint32_t slots;
	bool up;
	bool enabled;
	bool drained; /* the agent or its data centre */
	bool avoided; /* used last */
	bool in_usable; /* in sched->usable, slots in sched->known_slots */
	uint32_t in_flight;
	uint32_t credits[SCHED_CREDITS];
	bool listed[SCHED_CREDITS]; /* on the list of sched_dc.credit */
	uint32_t listed_tier;
	TAILQ_ENTRY(sched_agent) link[SCHED_CREDITS];
	int64_t long_reported_at; /* last report of queued long work; 0: none */
	uint32_t usable_index; /* in sched->usable */
	bool in_load; /* on a list of sched->load */
	uint32_t load_level;
	TAILQ_ENTRY(sched_agent) load_link;

	enum sched_health health;
	uint32_t samples; /* results since the last change of health */
	double fail_share; /* decayed share of failed results */
	double slowness; /* decayed log2(run time / mean of the kind) */
	uint32_t limit; /* tasks in flight allowed on probation */
	uint32_t passed; /* good results at this limit */
	int64_t backoff; /* ns, doubles with each ejection */
	int64_t eject_until;
	TAILQ_ENTRY(sched_agent) eject_link;
};

#define SCHED_TIERS 2 /* 0: normal workers, 1: avoided workers */

struct sched_dc {
	char name[MLK_NAME_MAX];
	bool drained; /* unused */
	/* Agents with idle credits. */
	struct sched_agents credit[SCHED_TIERS][SCHED_CREDITS];
};

/* Decayed rate of arriving work. */
struct sched_rate {
	double level; /* ms of work per ms */
	int64_t at; /* time of the last update */
};

#define SCHED_LOAD_LEVELS 256 /* tasks in flight; more share the last level */

struct mlk_sched {
	enum mlk_policy policy;
	struct mlk_rng rng;
	uint32_t max_queued;
	uint32_t nentries;
	uint32_t own_dc;

	GHashTable *kinds;
	GHashTable *teams;
	GHashTable *tasks; /* handle -> struct sched_node */
	struct sched_class_queue queue[SCHED_CLASSES][SCHED_LEVELS];
	uint32_t queued[SCHED_CLASSES]; /* without held tasks */
	uint32_t held;
	double backlog_ms[SCHED_CLASSES]; /* expected run time queued */
	struct sched_nodes wheel[SCHED_WHEEL_SLOTS];
	uint32_t with_deadline; /* tasks in the wheel */
	int64_t wheel_tick; /* of the next bucket to examine */

	GPtrArray *agents; /* by handle; NULL where unknown */
	GPtrArray *usable; /* up, enabled, not drained, not ejected */
	uint32_t nagents; /* agents that are up */
	uint32_t known_slots; /* of usable agents */
	struct sched_dc dcs[SCHED_DCS_MAX];
	uint32_t ndcs;
	uint32_t listed[SCHED_CREDITS]; /* agents on credit lists */
	uint32_t idle_credits;
	struct sched_agents load[SCHED_LOAD_LEVELS]; /* by tasks in flight */
	uint32_t load_min; /* all lists below this one are empty */

	struct sched_agents ejected;
	uint32_t nunhealthy; /* ejected or on probation */
	uint32_t nejected;
	uint64_t ejections;
	double fail_share; /* of all agents, decayed */

	struct sched_rate short_rate;
	uint32_t in_flight[SCHED_CLASSES];
	uint32_t long_cap; /* permille; 0: adaptive */
	int64_t last_need; /* time of the last NEED; 0: none */
	int64_t need_interval; /* ns until the next NEED */
	uint32_t need_cursor; /* index in usable of the last agent examined */
	bool need_pending; /* unused */
	struct mlk_config config;
	int64_t config_wall; /* time_t at which config was applied */
};

/* sched_class.c */
struct sched_kind *mlk_sched_kind(struct mlk_sched *sched, const char *name);
double mlk_sched_kind_cost(const struct sched_kind *kind);
bool mlk_sched_kind_learn(struct sched_kind *kind, uint32_t run_ms);
void mlk_sched_rate_add(struct sched_rate *rate, double work_ms, int64_t now);
double mlk_sched_rate_get(const struct sched_rate *rate, int64_t now);

/* sched_queue.c */
struct sched_team *mlk_sched_team(struct mlk_sched *sched, const char *name);
void mlk_sched_queue_init(struct mlk_sched *sched);
void mlk_sched_queue_free(struct mlk_sched *sched);
void mlk_sched_queue_insert(
    struct mlk_sched *sched, struct sched_node *node, bool head);
void mlk_sched_queue_remove(struct mlk_sched *sched, struct sched_node *node);
void mlk_sched_queue_release(struct mlk_sched *sched, struct sched_kind *kind);
void mlk_sched_queue_reclass(struct mlk_sched *sched, struct sched_kind *kind);
void mlk_sched_team_activate(struct mlk_sched *sched, struct sched_team *team);
struct sched_team_queue *mlk_sched_queue_first(
    struct mlk_sched *sched, enum sched_class class);
void mlk_sched_queue_charge(
    struct mlk_sched *sched, const struct sched_node *node);
uint32_t mlk_sched_team_limit(
    const struct mlk_sched *sched, const struct sched_team *team);

/* sched_agents.c */
void mlk_sched_agents_init(struct mlk_sched *sched);
void mlk_sched_agents_free(struct mlk_sched *sched);
uint32_t mlk_sched_dc(struct mlk_sched *sched, const char *name);
struct sched_agent *mlk_sched_agent_get(
    const struct mlk_sched *sched, uint32_t handle);
void mlk_sched_agent_relist(struct mlk_sched *sched, struct sched_agent *a);
bool mlk_sched_agent_usable(const struct sched_agent *a);
struct sched_agent *mlk_sched_agent_pick(struct mlk_sched *sched,
    const struct sched_team *team, enum sched_class class, uint32_t avoid);
struct sched_agent *mlk_sched_agent_pick_baseline(
    struct mlk_sched *sched, uint32_t avoid);
bool mlk_sched_has_credit(
    const struct mlk_sched *sched, enum sched_class class);
void mlk_sched_agent_started(
    struct mlk_sched *sched, struct sched_agent *a, enum sched_class class);
void mlk_sched_agents_configure(struct mlk_sched *sched);

/* sched_outlier.c */
void mlk_sched_outlier_result(struct mlk_sched *sched, struct sched_agent *a,
    const struct sched_kind *kind, enum mlk_task_status status, uint32_t run_ms,
    int64_t now);
void mlk_sched_outlier_tick(struct mlk_sched *sched, int64_t now);
void mlk_sched_outlier_clear(struct mlk_sched *sched, struct sched_agent *a);
uint32_t mlk_sched_outlier_allowance(const struct sched_agent *a);

#endif
