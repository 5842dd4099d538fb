/*
 * Agents and their idle credits.  For each data centre, tier (normal or avoided
 * workers) and credit type there is a list of the agents with idle credits, so
 * that choosing an agent scans data centres and not all agents.  An agent moves
 * to the tail of its list when it is used, which spreads the tasks.  The
 * baseline policies choose from the array of usable agents or from the lists by
 * tasks in flight.
 */
#include <stdlib.h>
#include <string.h>

#include "sched_priv.h"

#define PICK_TRIES 4 /* random draws to find an agent other than `avoid` */

/*
 * Returns the index of a data centre, which is added on first use.
 */
uint32_t
mlk_sched_dc(struct mlk_sched *sched, const char *name)
{
	struct sched_dc *dc;
	uint32_t c, i, t;

	for (i = 0; i < sched->ndcs; i++) {
		if (strcmp(sched->dcs[i].name, name) == 0)
			return (i);
	}
	if (sched->ndcs == SCHED_DCS_MAX)
		return (SCHED_DCS_MAX - 1);
	dc = &sched->dcs[sched->ndcs];
	(void)g_strlcpy(dc->name, name, sizeof(dc->name));
	for (t = 0; t < SCHED_TIERS; t++) {
		for (c = 0; c < SCHED_CREDITS; c++)
			TAILQ_INIT(&dc->credit[t][c]);
	}
	return (sched->ndcs++);
}

void
mlk_sched_agents_init(struct mlk_sched *sched)
{
	uint32_t i;

	sched->agents = g_ptr_array_new();
	sched->usable = g_ptr_array_new();
	TAILQ_INIT(&sched->ejected);
	for (i = 0; i < SCHED_LOAD_LEVELS; i++)
		TAILQ_INIT(&sched->load[i]);
}

void
mlk_sched_agents_free(struct mlk_sched *sched)
{
	guint i;

	for (i = 0; i < sched->agents->len; i++)
		g_free(sched->agents->pdata[i]);
	g_ptr_array_free(sched->agents, TRUE);
	g_ptr_array_free(sched->usable, TRUE);
}

struct sched_agent *
mlk_sched_agent_get(const struct mlk_sched *sched, uint32_t handle)
{
	if (handle >= sched->agents->len)
		return (NULL);
	return (sched->agents->pdata[handle]);
}

/*
 * Returns whether an agent may get work, apart from credits and probation.
 */
bool
mlk_sched_agent_usable(const struct sched_agent *a)
{
	return (
	    a->up && a->enabled && !a->drained && a->health != SCHED_EJECTED);
}

/*
 * Updates the sum of known slots and the array of usable agents.
 */
static void
update_usable(struct mlk_sched *sched, struct sched_agent *a, bool usable)
{
	struct sched_agent *last;

	if (usable == a->in_usable)
		return;
	a->in_usable = usable;
	if (usable) {
		sched->known_slots += a->slots;
		a->usable_index = sched->usable->len;
		g_ptr_array_add(sched->usable, a);
		return;
	}
	sched->known_slots -= a->slots;
	last = sched->usable->pdata[sched->usable->len - 1];
	last->usable_index = a->usable_index;
	(void)g_ptr_array_remove_index_fast(sched->usable, a->usable_index);
}

/*
 * Puts a usable agent on the list for its number of tasks in flight, and takes
 * an unusable one off.
 */
static void
relist_load(struct mlk_sched *sched, struct sched_agent *a, bool usable)
{
	if (a->in_load)
		TAILQ_REMOVE(&sched->load[a->load_level], a, load_link);
	a->in_load = usable;
	if (!usable)
		return;
	a->load_level = MIN(a->in_flight, SCHED_LOAD_LEVELS - 1);
	TAILQ_INSERT_TAIL(&sched->load[a->load_level], a, load_link);
	sched->load_min = MIN(sched->load_min, a->load_level);
}

/*
 * Updates the lists that an agent is on; called after every change of its
 * state.
 */
void
mlk_sched_agent_relist(struct mlk_sched *sched, struct sched_agent *a)
{
	struct sched_dc *dc = &sched->dcs[a->dc];
	bool usable;
	uint32_t c;

	usable = mlk_sched_agent_usable(a);
	update_usable(sched, a, usable);
	if (sched->policy == MLK_POLICY_LEAST_LOADED)
		relist_load(sched, a, usable);
	for (c = 0; c < SCHED_CREDITS; c++) {
		if (a->listed[c]) {
			TAILQ_REMOVE(
			    &dc->credit[a->listed_tier][c], a, link[c]);
			sched->listed[c]--;
		}
	}
	a->listed_tier = a->avoided ? 1 : 0;
	for (c = 0; c < SCHED_CREDITS; c++) {
		a->listed[c] = usable && a->credits[c] > 0 &&
		    mlk_sched_outlier_allowance(a) > 0;
		if (!a->listed[c])
			continue;
		TAILQ_INSERT_TAIL(&dc->credit[a->listed_tier][c], a, link[c]);
		sched->listed[c]++;
	}
}

/*
 * Sets whether an agent is drained or avoided, from the intents that have not
 * expired and name its worker or its data centre.
 */
static void
configure_agent(struct mlk_sched *sched, struct sched_agent *a)
{
	const char *dc = sched->dcs[a->dc].name;
	const struct mlk_intent *in;
	uint32_t i;

	a->drained = false;
	a->avoided = false;
	for (i = 0; i < sched->config.nintents; i++) {
		in = &sched->config.intents[i];
		if (in->expires != 0 && in->expires <= sched->config_wall)
			continue;
		if (in->type == MLK_INTENT_DRAIN_WORKER)
			a->drained |= strcmp(in->subject, a->id) == 0;
		if (in->type == MLK_INTENT_AVOID_WORKER)
			a->avoided |= strcmp(in->subject, a->id) == 0;
		if (in->type == MLK_INTENT_DRAIN_DC)
			a->drained |= strcmp(in->subject, dc) == 0;
	}
	mlk_sched_agent_relist(sched, a);
}

void
mlk_sched_agents_configure(struct mlk_sched *sched)
{
	guint i;

	for (i = 0; i < sched->agents->len; i++) {
		if (sched->agents->pdata[i] != NULL)
			configure_agent(sched, sched->agents->pdata[i]);
	}
}

/*
 * Adds an agent.  If the handle is up already, its state and credits are reset.
 */
void
mlk_sched_agent_up(struct mlk_sched *sched, uint32_t agent, const char *id,
    const char *dc, uint32_t slots, int64_t now)
{
	struct sched_agent *a;

	(void)now;
	mlk_sched_agent_down(sched, agent);
	if (agent >= sched->agents->len)
		g_ptr_array_set_size(sched->agents, (gint)agent + 1);
	a = g_new0(struct sched_agent, 1);
	a->handle = agent;
	(void)g_strlcpy(a->id, id, sizeof(a->id));
	a->dc = mlk_sched_dc(sched, dc);
	a->slots = slots;
	a->up = true;
	a->enabled = true;
	sched->agents->pdata[agent] = a;
	sched->nagents++;
	configure_agent(sched, a);
}

/*
 * Removes an agent and its credits.  The caller must still call
 * mlk_sched_done() for each task bound to it before it reuses the handle.
 */
void
mlk_sched_agent_down(struct mlk_sched *sched, uint32_t agent)
{
	struct sched_agent *a;

	a = mlk_sched_agent_get(sched, agent);
	if (a == NULL)
		return;
	a->up = false;
	mlk_sched_outlier_clear(sched, a);
	mlk_sched_agent_relist(sched, a);
	sched->idle_credits -=
	    a->credits[SCHED_CREDIT_ANY] + a->credits[SCHED_CREDIT_SHORT];
	sched->nagents--;
	sched->agents->pdata[agent] = NULL;
	g_free(a);
}

void
mlk_sched_agent_enable(struct mlk_sched *sched, uint32_t agent, bool enabled)
{
	struct sched_agent *a;

	a = mlk_sched_agent_get(sched, agent);
	if (a == NULL)
		return;
	a->enabled = enabled;
	mlk_sched_agent_relist(sched, a);
}

/*
 * Adds credits that an agent granted.
 */
void
mlk_sched_credit(
    struct mlk_sched *sched, uint32_t agent, struct mlk_credits credits)
{
	struct sched_agent *a;

	a = mlk_sched_agent_get(sched, agent);
	if (a == NULL)
		return;
	a->credits[SCHED_CREDIT_ANY] += credits.any;
	a->credits[SCHED_CREDIT_SHORT] += credits.short_only;
	sched->idle_credits += credits.any + credits.short_only;
	mlk_sched_agent_relist(sched, a);
}

/*
 * Removes up to `want` idle credits of an agent and returns how many.
 */
struct mlk_credits
mlk_sched_reclaim(
    struct mlk_sched *sched, uint32_t agent, struct mlk_credits want)
{
	struct mlk_credits given = { 0, 0 };
	struct sched_agent *a;

	a = mlk_sched_agent_get(sched, agent);
	if (a == NULL)
		return (given);
	given.any = MIN(want.any, a->credits[SCHED_CREDIT_ANY]);
	given.short_only = MIN(want.short_only, a->credits[SCHED_CREDIT_SHORT]);
	a->credits[SCHED_CREDIT_ANY] -= given.any;
	a->credits[SCHED_CREDIT_SHORT] -= given.short_only;
	sched->idle_credits -= given.any + given.short_only;
	mlk_sched_agent_relist(sched, a);
	return (given);
}

/*
 * Returns whether a listed agent has a credit for a task of the class.
 */
bool
mlk_sched_has_credit(const struct mlk_sched *sched, enum sched_class class)
{
	if (sched->listed[SCHED_CREDIT_ANY] > 0)
		return (true);
	return (class == SCHED_SHORT && sched->listed[SCHED_CREDIT_SHORT] > 0);
}

/*
 * Returns the first agent of a data centre and tier with a credit for the
 * class, or NULL.  Short tasks use short_only credits first and leave `any`
 * credits to long tasks.
 */
static struct sched_agent *
pick_in_dc(
    struct sched_dc *dc, uint32_t tier, enum sched_class class, uint32_t avoid)
{
	struct sched_agent *a;

	if (class == SCHED_SHORT) {
		a = TAILQ_FIRST(&dc->credit[tier][SCHED_CREDIT_SHORT]);
		if (a != NULL && a->handle == avoid)
			a = TAILQ_NEXT(a, link[SCHED_CREDIT_SHORT]);
		if (a != NULL)
			return (a);
	}
	a = TAILQ_FIRST(&dc->credit[tier][SCHED_CREDIT_ANY]);
	if (a != NULL && a->handle == avoid)
		a = TAILQ_NEXT(a, link[SCHED_CREDIT_ANY]);
	return (a);
}

/*
 * Chooses an agent for a task of a team: in the data centre that the team
 * prefers, then in the entry's own, then in any other; avoided workers last.
 * Returns NULL when no credit for the class is left.
 */
struct sched_agent *
mlk_sched_agent_pick(struct mlk_sched *sched, const struct sched_team *team,
    enum sched_class class, uint32_t avoid)
{
	uint32_t dc, i, start, tier;
	struct sched_agent *a;

	if (!mlk_sched_has_credit(sched, class))
		return (NULL);
	start = mlk_rng_below(&sched->rng, sched->ndcs);
	for (tier = 0; tier < SCHED_TIERS; tier++) {
		a = NULL;
		if (team->prefer_dc != SCHED_NO_DC)
			a = pick_in_dc(
			    &sched->dcs[team->prefer_dc], tier, class, avoid);
		if (a == NULL)
			a = pick_in_dc(
			    &sched->dcs[sched->own_dc], tier, class, avoid);
		for (i = 0; a == NULL && i < sched->ndcs; i++) {
			dc = (start + i) % sched->ndcs;
			a = pick_in_dc(&sched->dcs[dc], tier, class, avoid);
		}
		if (a != NULL)
			return (a);
	}
	return (NULL);
}

/*
 * Chooses a random usable agent other than `avoid`; `avoid` itself when it is
 * the only one.  Returns NULL when every draw gave `avoid`.
 */
static struct sched_agent *
pick_random(struct mlk_sched *sched, uint32_t avoid)
{
	struct sched_agent *a = NULL;
	uint32_t i;

	for (i = 0; i < PICK_TRIES; i++) {
		a = sched->usable
			->pdata[mlk_rng_below(&sched->rng, sched->usable->len)];
		if (a->handle != avoid)
			return (a);
	}
	return (sched->usable->len > 1 ? NULL : a);
}

/*
 * Chooses an agent under a baseline policy, which needs no credit: at random,
 * or the one with the fewest tasks in flight.  Returns NULL when none is
 * usable.
 */
struct sched_agent *
mlk_sched_agent_pick_baseline(struct mlk_sched *sched, uint32_t avoid)
{
	struct sched_agent *a;

	if (sched->usable->len == 0)
		return (NULL);
	if (sched->policy == MLK_POLICY_RANDOM)
		return (pick_random(sched, avoid));
	while (TAILQ_EMPTY(&sched->load[sched->load_min]))
		sched->load_min++;
	a = TAILQ_FIRST(&sched->load[sched->load_min]);
	if (a->handle == avoid && TAILQ_NEXT(a, load_link) != NULL)
		a = TAILQ_NEXT(a, load_link);
	return (a);
}

/*
 * Counts a task as in flight on an agent and consumes a credit for it.
 */
void
mlk_sched_agent_started(
    struct mlk_sched *sched, struct sched_agent *a, enum sched_class class)
{
	enum sched_credit c = SCHED_CREDIT_ANY;

	a->in_flight++;
	if (sched->policy == MLK_POLICY_CREDITS) {
		if (class == SCHED_SHORT && a->credits[SCHED_CREDIT_SHORT] > 0)
			c = SCHED_CREDIT_SHORT;
		a->credits[c]--;
		sched->idle_credits--;
	}
	mlk_sched_agent_relist(sched, a);
}
