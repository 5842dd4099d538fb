/*
 * Top level of the scheduler of an entry: queues tasks and binds them to
 * agents.  `any` credits go to long tasks first, because agents grant only as
 * many of them as long work may use.  Short tasks use short_only credits, and
 * `any` credits that no queued long task can use.
 */
#include <stdlib.h>
#include <string.h>

#include "sched_priv.h"

#define NEED_INTERVAL_NS (20 * MLK_NSEC_PER_MSEC)
#define NEED_INTERVAL_LONG_MAX_NS (160 * MLK_NSEC_PER_MSEC)
#define NEED_FANOUT 3 /* agents per round of NEED */
#define NEED_SCAN 16 /* agents examined in one call */
/* Another report of long work may be sent after this time, which is below the
 * 300 ms after which an agent discards a report (DEMAND_TTL_NS in slots.c). */
#define LONG_REPORT_TTL_NS (250 * MLK_NSEC_PER_MSEC)
/* Tasks tried per call, as the first ones may avoid the only agent left. */
#define BIND_LOOKAHEAD 4
#define WEIGHT_UNIT 100.0 /* a team_weight intent of 100 is weight 1 */
#define PERMILLE 1000

struct mlk_sched *
mlk_sched_create(const struct mlk_sched_options *options)
{
	struct mlk_sched *sched;

	sched = g_new0(struct mlk_sched, 1);
	sched->policy = options->policy;
	sched->max_queued = options->max_queued;
	sched->nentries = 1;
	mlk_rng_seed(&sched->rng, options->seed);
	sched->kinds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	sched->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	sched->tasks =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	mlk_sched_queue_init(sched);
	mlk_sched_agents_init(sched);
	sched->own_dc = mlk_sched_dc(sched, options->dc);
	sched->need_interval = NEED_INTERVAL_NS;
	return (sched);
}

void
mlk_sched_destroy(struct mlk_sched *sched)
{
	if (sched == NULL)
		return;
	mlk_sched_agents_free(sched);
	mlk_sched_queue_free(sched);
	g_hash_table_destroy(sched->tasks);
	g_hash_table_destroy(sched->teams);
	g_hash_table_destroy(sched->kinds);
	g_free(sched->config.intents);
	g_free(sched);
}

/*
 * Sets the number of entries that share the slots, this one included.
 */
void
mlk_sched_set_entries(struct mlk_sched *sched, uint32_t nentries)
{
	sched->nentries = nentries == 0 ? 1 : nentries;
}

/*
 * Resets the settings of all teams and kinds, and the long cap, to the
 * defaults.
 */
static void
reset_to_defaults(struct mlk_sched *sched)
{
	struct sched_kind *kind;
	struct sched_team *team;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, sched->teams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		team = value;
		team->weight = 1;
		team->quota = SCHED_QUOTA_NONE;
		team->prefer_dc = SCHED_NO_DC;
	}
	g_hash_table_iter_init(&it, sched->kinds);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		kind = value;
		kind->level = SCHED_LEVEL_DEFAULT;
	}
	sched->long_cap = 0;
}

static void
apply_intent(struct mlk_sched *sched, const struct mlk_intent *in)
{
	uint32_t value;

	value = in->value < 0 ? 0 : (uint32_t)in->value;
	switch (in->type) {
	case MLK_INTENT_TEAM_QUOTA:
		mlk_sched_team(sched, in->subject)->quota = value;
		break;
	case MLK_INTENT_TEAM_WEIGHT:
		mlk_sched_team(sched, in->subject)->weight =
		    (value == 0 ? 1 : value) / WEIGHT_UNIT;
		break;
	case MLK_INTENT_PREFER_DC:
		mlk_sched_team(sched, in->subject)->prefer_dc =
		    mlk_sched_dc(sched, in->target);
		break;
	case MLK_INTENT_KIND_URGENCY:
		mlk_sched_kind(sched, in->subject)->level =
		    MIN(value, SCHED_LEVELS - 1);
		break;
	case MLK_INTENT_LONG_CAP:
		sched->long_cap = MIN(value, PERMILLE);
		break;
	case MLK_INTENT_DRAIN_WORKER:
	case MLK_INTENT_DRAIN_DC:
	case MLK_INTENT_AVOID_WORKER:
		break;
	}
}

/*
 * Requeues the queued tasks of a kind when its urgency has changed.
 */
static void
move_to_level(struct mlk_sched *sched, struct sched_kind *kind)
{
	const struct sched_node *node;

	node = TAILQ_FIRST(&kind->queued);
	if (node != NULL && node->level != kind->level)
		mlk_sched_queue_reclass(sched, kind);
}

/*
 * Replaces the configuration; `wall` is time_t.  Queued tasks move to the
 * urgency level of their kind, and teams that are below their new quota are
 * served again.
 */
void
mlk_sched_configure(
    struct mlk_sched *sched, const struct mlk_config *config, int64_t wall)
{
	const struct mlk_intent *in;
	GHashTableIter it;
	gpointer value;
	uint32_t i;

	g_free(sched->config.intents);
	sched->config.nintents = config->nintents;
	sched->config.intents = g_memdup2(
	    config->intents, sizeof(*config->intents) * config->nintents);
	sched->config_wall = wall;
	reset_to_defaults(sched);
	for (i = 0; i < config->nintents; i++) {
		in = &config->intents[i];
		if (in->expires == 0 || in->expires > wall)
			apply_intent(sched, in);
	}
	mlk_sched_agents_configure(sched);
	g_hash_table_iter_init(&it, sched->kinds);
	while (g_hash_table_iter_next(&it, NULL, &value))
		move_to_level(sched, value);
	g_hash_table_iter_init(&it, sched->teams);
	while (g_hash_table_iter_next(&it, NULL, &value))
		mlk_sched_team_activate(sched, value);
}

/*
 * Queues a task.  Returns MLK_ERR_CONFLICT when its handle is queued already,
 * or MLK_ERR_NOMEM when the queue is full.  A retry is accepted also when the
 * queue is full, because its job was admitted before.
 */
int
mlk_sched_enqueue(
    struct mlk_sched *sched, const struct mlk_sched_task *t, int64_t now)
{
	struct sched_node *node;
	gpointer key;

	key = GUINT_TO_POINTER(t->task);
	if (g_hash_table_contains(sched->tasks, key))
		return (MLK_ERR_CONFLICT);
	if (!t->retry && g_hash_table_size(sched->tasks) >= sched->max_queued)
		return (MLK_ERR_NOMEM);
	node = g_new0(struct sched_node, 1);
	node->task = t->task;
	node->kind = mlk_sched_kind(sched, t->kind);
	node->team = mlk_sched_team(sched, t->team);
	node->deadline = t->deadline;
	node->avoid_agent = t->avoid_agent;
	g_hash_table_insert(sched->tasks, key, node);
	mlk_sched_queue_insert(sched, node, t->retry);
	if (!t->retry && !node->kind->is_long)
		mlk_sched_rate_add(
		    &sched->short_rate, mlk_sched_kind_cost(node->kind), now);
	return (MLK_OK);
}

/*
 * Removes and frees a task that will not be started.
 */
static void
drop_node(struct mlk_sched *sched, struct sched_node *node)
{
	struct sched_kind *kind = node->kind;
	bool held = node->held;

	mlk_sched_queue_remove(sched, node);
	if (!held) {
		kind->released--;
		mlk_sched_queue_release(sched, kind);
	}
	(void)g_hash_table_remove(sched->tasks, GUINT_TO_POINTER(node->task));
}

bool
mlk_sched_remove(struct mlk_sched *sched, uint32_t task)
{
	struct sched_node *node;

	node = g_hash_table_lookup(sched->tasks, GUINT_TO_POINTER(task));
	if (node == NULL)
		return (false);
	drop_node(sched, node);
	return (true);
}

static struct sched_agent *
choose_agent(struct mlk_sched *sched, const struct sched_node *node)
{
	uint32_t avoid = node->avoid_agent;

	if (sched->policy != MLK_POLICY_CREDITS)
		return (mlk_sched_agent_pick_baseline(sched, avoid));
	if (sched->usable->len == 1)
		avoid = UINT32_MAX; /* there is no other agent */
	return (mlk_sched_agent_pick(sched, node->team, node->class, avoid));
}

/*
 * Binds the next task of a class.  Returns false when no task is queued or no
 * agent can take one of the first BIND_LOOKAHEAD tasks.
 */
static bool
bind_class(
    struct mlk_sched *sched, enum sched_class class, struct mlk_binding *out)
{
	struct sched_team_queue *tq;
	struct sched_agent *a = NULL;
	struct sched_node *node;
	uint32_t tries = 0;

	if (sched->policy == MLK_POLICY_CREDITS &&
	    !mlk_sched_has_credit(sched, class))
		return (false);
	tq = mlk_sched_queue_first(sched, class);
	if (tq == NULL)
		return (false);
	TAILQ_FOREACH(node, &tq->nodes, link)
	{
		a = choose_agent(sched, node);
		if (a != NULL || ++tries == BIND_LOOKAHEAD)
			break;
	}
	if (a == NULL)
		return (false);
	out->task = node->task;
	out->agent = a->handle;
	out->is_long = class == SCHED_LONG;
	mlk_sched_queue_charge(sched, node);
	mlk_sched_queue_remove(sched, node);
	mlk_sched_agent_started(sched, a, class);
	node->team->in_flight++;
	sched->in_flight[class]++;
	(void)g_hash_table_remove(sched->tasks, GUINT_TO_POINTER(node->task));
	return (true);
}

bool
mlk_sched_next(struct mlk_sched *sched, int64_t now, struct mlk_binding *out)
{
	(void)now;
	if (bind_class(sched, SCHED_LONG, out))
		return (true);
	return (bind_class(sched, SCHED_SHORT, out));
}

void
mlk_sched_done(struct mlk_sched *sched, uint32_t agent, const char *kind,
    const char *team, bool is_long, enum mlk_task_status status,
    uint32_t run_ms, int64_t now)
{
	enum sched_class class = is_long ? SCHED_LONG : SCHED_SHORT;
	struct sched_agent *a;
	struct sched_kind *k;
	struct sched_team *t;

	k = mlk_sched_kind(sched, kind);
	t = mlk_sched_team(sched, team);
	a = mlk_sched_agent_get(sched, agent);
	if (sched->in_flight[class] > 0)
		sched->in_flight[class]--;
	if (t->in_flight > 0)
		t->in_flight--;
	if (k->released > 0)
		k->released--;
	if (a != NULL && a->in_flight > 0) {
		a->in_flight--;
		if (sched->policy == MLK_POLICY_CREDITS)
			mlk_sched_outlier_result(
			    sched, a, k, status, run_ms, now);
		mlk_sched_agent_relist(sched, a);
	}
	if (status == MLK_TASK_DONE && sched->policy == MLK_POLICY_CREDITS &&
	    mlk_sched_kind_learn(k, run_ms))
		mlk_sched_queue_reclass(sched, k);
	mlk_sched_queue_release(sched, k);
	mlk_sched_team_activate(sched, t);
}

/*
 * Returns whether the next task of a class cannot start with the credits held.
 * Credits of the agent that this task avoids do not count.
 */
static bool
needs_credit(struct mlk_sched *sched, enum sched_class class)
{
	const struct sched_team_queue *tq;

	tq = mlk_sched_queue_first(sched, class);
	return (
	    tq != NULL && choose_agent(sched, TAILQ_FIRST(&tq->nodes)) == NULL);
}

/*
 * Returns the number of tasks of a class that further credits would start.
 * Held tasks, a class whose teams are all at their quota, and as many tasks as
 * there are idle credits are left out: reporting demand that cannot use a
 * credit would take slots from other entries.
 */
static uint32_t
unmet_demand(struct mlk_sched *sched, enum sched_class class)
{
	if (mlk_sched_queue_first(sched, class) == NULL)
		return (0);
	if (needs_credit(sched, class))
		return (sched->queued[class]);
	if (sched->queued[class] <= sched->idle_credits)
		return (0);
	return (sched->queued[class] - sched->idle_credits);
}

/*
 * Fills in the demand that START and NEED carry; all but known_slots is 0 under
 * a baseline policy.
 */
void
mlk_sched_demand(struct mlk_sched *sched, int64_t now, struct mlk_demand *out)
{
	double load;

	memset(out, 0, sizeof(*out));
	out->known_slots = sched->known_slots;
	if (sched->policy != MLK_POLICY_CREDITS)
		return;
	out->queued_short = unmet_demand(sched, SCHED_SHORT);
	out->queued_long = unmet_demand(sched, SCHED_LONG);
	out->long_cap = sched->long_cap;
	if (sched->known_slots == 0)
		return;
	load = mlk_sched_rate_get(&sched->short_rate, now) /
	    sched->known_slots * PERMILLE;
	out->short_load = (uint32_t)(load + 0.5);
}

void
mlk_sched_demand_sent(struct mlk_sched *sched, uint32_t agent,
    const struct mlk_demand *demand, int64_t now)
{
	struct sched_agent *a;

	a = mlk_sched_agent_get(sched, agent);
	if (a != NULL)
		a->long_reported_at = demand->queued_long > 0 ? now : 0;
}

/*
 * Returns whether an agent still holds a report of queued long work.  The agent
 * grants credits for that work as far as its cap allows, so another report
 * would change nothing.
 */
static bool
has_long_report(const struct sched_agent *a, int64_t now)
{
	return (a->long_reported_at != 0 &&
	    now - a->long_reported_at < LONG_REPORT_TTL_NS);
}

/*
 * Selects the agents that get NEED, round robin over the usable ones.  While
 * only long tasks lack credits, agents that hold a report of them are skipped
 * and the interval doubles up to NEED_INTERVAL_LONG_MAX_NS.
 */
size_t
mlk_sched_need(
    struct mlk_sched *sched, int64_t now, uint32_t *agents, size_t max)
{
	bool want_long, want_short;
	struct sched_agent *a;
	uint32_t i, scan;
	size_t n;

	mlk_sched_outlier_tick(sched, now);
	if (sched->policy != MLK_POLICY_CREDITS)
		return (0);
	want_short = needs_credit(sched, SCHED_SHORT);
	want_long = needs_credit(sched, SCHED_LONG);
	if (!want_short && !want_long) {
		sched->need_interval = NEED_INTERVAL_NS;
		return (0);
	}
	if (want_short)
		sched->need_interval = NEED_INTERVAL_NS;
	if (sched->last_need != 0 &&
	    now - sched->last_need < sched->need_interval)
		return (0);
	n = 0;
	max = MIN(max, (size_t)NEED_FANOUT);
	scan = MIN(NEED_SCAN, sched->usable->len);
	for (i = 0; i < scan && n < max; i++) {
		sched->need_cursor =
		    (sched->need_cursor + 1) % sched->usable->len;
		a = sched->usable->pdata[sched->need_cursor];
		if (want_short || !has_long_report(a, now))
			agents[n++] = a->handle;
	}
	if (n == 0)
		return (0);
	sched->last_need = now;
	if (!want_short)
		sched->need_interval =
		    MIN(2 * sched->need_interval, NEED_INTERVAL_LONG_MAX_NS);
	return (n);
}

/*
 * Removes expired tasks from the deadline buckets between the last call and
 * now.  A bucket also holds tasks of later rotations of the wheel, which stay.
 */
size_t
mlk_sched_expired(
    struct mlk_sched *sched, int64_t now, uint32_t *tasks, size_t max)
{
	struct sched_node *next, *node;
	struct sched_nodes *bucket;
	int64_t tick;
	size_t n = 0;

	tick = now / SCHED_WHEEL_NS;
	if (sched->with_deadline == 0) {
		sched->wheel_tick = tick;
		return (0);
	}
	sched->wheel_tick =
	    MAX(sched->wheel_tick, tick - SCHED_WHEEL_SLOTS + 1);
	for (;;) {
		bucket = &sched->wheel[sched->wheel_tick % SCHED_WHEEL_SLOTS];
		for (node = TAILQ_FIRST(bucket); node != NULL; node = next) {
			next = TAILQ_NEXT(node, wheel_link);
			if (node->deadline > now)
				continue;
			if (n == max)
				return (n);
			tasks[n++] = node->task;
			drop_node(sched, node);
		}
		if (sched->wheel_tick >= tick)
			return (n);
		sched->wheel_tick++;
	}
}

void
mlk_sched_stats(const struct mlk_sched *sched, struct mlk_sched_stats *out)
{
	out->queued_short = sched->queued[SCHED_SHORT];
	out->queued_long = sched->queued[SCHED_LONG] + sched->held;
	out->in_flight =
	    sched->in_flight[SCHED_SHORT] + sched->in_flight[SCHED_LONG];
	out->credits = sched->idle_credits;
	out->ejected = sched->nejected;
	out->ejections = sched->ejections;
}
