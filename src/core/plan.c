/*
 * Plans: the effects of a change to the configuration.  A plan is computed from
 * a base version and one change; its id is a digest of both.  Expired
 * intents are dropped from its result, and an intent of the same type and
 * subject is replaced.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/core.h>

#define PERMILLE 1000
#define WEIGHT_DEFAULT 100
#define WEIGHT_MAX 10000
#define URGENCY_MAX 2
#define LONG_CAP_MIN 250 /* permille; the range of the adaptive cap */
#define LONG_CAP_MAX 850

/* Input of the digest; zeroed first, as its bytes are hashed as they are. */
struct digest_input {
	uint64_t base_version;
	struct mlk_change change;
};

/*
 * Frees a plan and what it owns; NULL is allowed.
 */
void
mlk_plan_destroy(struct mlk_plan *plan)
{
	if (plan == NULL)
		return;
	mlk_config_clear(&plan->result);
	free(plan->effects);
	free(plan);
}

/*
 * Adds a line to the effects.  mlk_plan_create() allocates space for all its
 * own lines and for one more by its caller.
 */
void
mlk_plan_add_line(struct mlk_plan *plan, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(
	    plan->effects[plan->neffects++], sizeof(*plan->effects), fmt, ap);
	va_end(ap);
}

static int
check_value(const struct mlk_intent *intent, int32_t min, int32_t max,
    struct mlk_error *err)
{
	if (intent->value >= min && intent->value <= max)
		return (0);
	return (mlk_error_set(err, MLK_ERR_INVALID,
	    "value: expected %d..%d for %s, found %d", min, max,
	    mlk_intent_type_name(intent->type), intent->value));
}

/*
 * Checks subject, target, value and expiry against the type's rules.
 */
static int
check_intent(
    const struct mlk_intent *intent, int64_t wall, struct mlk_error *err)
{
	if ((intent->subject[0] == '\0') !=
	    (intent->type == MLK_INTENT_LONG_CAP)) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "subject: expected %s for %s",
		    intent->subject[0] == '\0' ? "a name" : "none",
		    mlk_intent_type_name(intent->type)));
	}
	if ((intent->target[0] == '\0') ==
	    (intent->type == MLK_INTENT_PREFER_DC)) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "target: expected %s for %s",
		    intent->target[0] == '\0' ? "a data centre" : "none",
		    mlk_intent_type_name(intent->type)));
	}
	if (intent->expires != 0 && intent->expires <= wall)
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "expires: expected a time after now"));
	switch (intent->type) {
	case MLK_INTENT_TEAM_QUOTA:
		return (check_value(intent, 0, PERMILLE, err));
	case MLK_INTENT_TEAM_WEIGHT:
		return (check_value(intent, 1, WEIGHT_MAX, err));
	case MLK_INTENT_KIND_URGENCY:
		return (check_value(intent, 0, URGENCY_MAX, err));
	case MLK_INTENT_LONG_CAP:
		return (check_value(intent, LONG_CAP_MIN, LONG_CAP_MAX, err));
	case MLK_INTENT_DRAIN_WORKER:
	case MLK_INTENT_DRAIN_DC:
	case MLK_INTENT_AVOID_WORKER:
	case MLK_INTENT_PREFER_DC:
		return (check_value(intent, 0, 0, err));
	}
	return (mlk_error_set(
	    err, MLK_ERR_INVALID, "type: not a known intent type"));
}

static struct mlk_key
plan_digest(uint64_t base_version, const struct mlk_change *change)
{
	struct digest_input in;
	struct mlk_intent *to = &in.change.intent;
	const struct mlk_intent *from = &change->intent;

	/* Bytes after the end of a string, and padding, must not count. */
	memset(&in, 0, sizeof(in));
	in.base_version = base_version;
	in.change.remove = change->remove;
	to->type = change->remove ? MLK_INTENT_TEAM_QUOTA : from->type;
	(void)snprintf(to->id, sizeof(to->id), "%s", from->id);
	(void)snprintf(to->author, sizeof(to->author), "%s", from->author);
	if (!change->remove) {
		(void)snprintf(
		    to->subject, sizeof(to->subject), "%s", from->subject);
		(void)snprintf(
		    to->target, sizeof(to->target), "%s", from->target);
		(void)snprintf(
		    to->reason, sizeof(to->reason), "%s", from->reason);
		to->value = from->value;
		to->expires = from->expires;
	}
	return (mlk_digest(&in, sizeof(in)));
}

/*
 * Adds the line that describes an intent that takes effect or ends.
 */
static void
describe(struct mlk_plan *plan, const struct mlk_intent *in, bool ends)
{
	const char *verb = ends ? "no longer " : "";

	switch (in->type) {
	case MLK_INTENT_TEAM_QUOTA:
		mlk_plan_add_line(plan,
		    "team %s is %sheld to %d permille of all slots",
		    in->subject, verb, in->value);
		break;
	case MLK_INTENT_TEAM_WEIGHT:
		mlk_plan_add_line(plan, "team %s %shas weight %d (default %d)",
		    in->subject, verb, in->value, WEIGHT_DEFAULT);
		break;
	case MLK_INTENT_KIND_URGENCY:
		mlk_plan_add_line(plan,
		    "tasks of kind %s %shave urgency %d of %d", in->subject,
		    verb, in->value, URGENCY_MAX);
		break;
	case MLK_INTENT_DRAIN_WORKER:
		mlk_plan_add_line(plan, "worker %s is %skept free of new work",
		    in->subject, verb);
		break;
	case MLK_INTENT_DRAIN_DC:
		mlk_plan_add_line(plan,
		    "data centre %s is %skept free of new work", in->subject,
		    verb);
		break;
	case MLK_INTENT_AVOID_WORKER:
		mlk_plan_add_line(
		    plan, "worker %s is %sused last", in->subject, verb);
		break;
	case MLK_INTENT_PREFER_DC:
		mlk_plan_add_line(plan,
		    "work of team %s %sprefers data centre %s", in->subject,
		    verb, in->target);
		break;
	case MLK_INTENT_LONG_CAP:
		mlk_plan_add_line(plan,
		    "long work is %slimited to %d permille of all slots", verb,
		    in->value);
		break;
	}
}

/*
 * Adds a line on an existing intent that the change affects, with its author
 * and reason.
 */
static void
describe_touched(
    struct mlk_plan *plan, const char *what, const struct mlk_intent *old)
{
	mlk_plan_add_line(plan, "%s %s of %s (%s %s, value %d), reason: %.40s",
	    what, old->id, old->author[0] != '\0' ? old->author : "nobody",
	    mlk_intent_type_name(old->type),
	    old->subject[0] != '\0' ? old->subject : "for all", old->value,
	    old->reason[0] != '\0' ? old->reason : "none given");
}

static int64_t
weight_of(const struct mlk_config *config, const char *team, int64_t wall)
{
	const struct mlk_intent *in;

	in = mlk_config_find(config, MLK_INTENT_TEAM_WEIGHT, team, wall);
	return (in == NULL ? WEIGHT_DEFAULT : in->value);
}

/*
 * Returns the sum of the weights in `config` of the teams that have a weight in
 * `teams`, and of the team `changed`.
 */
static int64_t
weight_sum(const struct mlk_config *config, const struct mlk_config *teams,
    const char *changed, int64_t wall)
{
	const struct mlk_intent *in;
	bool seen = false;
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < teams->nintents; i++) {
		in = &teams->intents[i];
		if (in->type != MLK_INTENT_TEAM_WEIGHT ||
		    (in->expires != 0 && in->expires <= wall))
			continue;
		sum += weight_of(config, in->subject, wall);
		seen = seen || strcmp(in->subject, changed) == 0;
	}
	return (seen ? sum : sum + weight_of(config, changed, wall));
}

static void
describe_share(
    struct mlk_plan *plan, const char *team, int64_t before, int64_t after)
{
	if (after < before) {
		mlk_plan_add_line(plan,
		    "share of team %s falls by %" PRId64 " permille", team,
		    before - after);
	}
}

/*
 * Adds lines on the shares by weight that fall, among the teams that have a
 * weight in `base` and the team `changed`; other teams are not known here.
 */
static void
describe_weights(struct mlk_plan *plan, const struct mlk_config *base,
    const char *changed, int64_t wall)
{
	const struct mlk_intent *in;
	int64_t sum_before, sum_after;
	uint32_t i;

	sum_before = weight_sum(base, base, changed, wall);
	sum_after = weight_sum(&plan->result, base, changed, wall);
	for (i = 0; i < base->nintents; i++) {
		in = &base->intents[i];
		if (in->type != MLK_INTENT_TEAM_WEIGHT ||
		    strcmp(in->subject, changed) == 0 ||
		    (in->expires != 0 && in->expires <= wall))
			continue;
		describe_share(plan, in->subject,
		    PERMILLE * weight_of(base, in->subject, wall) / sum_before,
		    PERMILLE * weight_of(&plan->result, in->subject, wall) /
			sum_after);
	}
	describe_share(plan, changed,
	    PERMILLE * weight_of(base, changed, wall) / sum_before,
	    PERMILLE * weight_of(&plan->result, changed, wall) / sum_after);
}

static int64_t
quota_of(const struct mlk_config *config, const char *team, int64_t wall)
{
	const struct mlk_intent *in;

	in = mlk_config_find(config, MLK_INTENT_TEAM_QUOTA, team, wall);
	return (in == NULL ? PERMILLE : in->value);
}

/*
 * Adds lines on the intents in force that the new one overrides or is
 * overridden by.
 */
static void
describe_overrides(struct mlk_plan *plan, const struct mlk_config *base,
    const struct mlk_intent *in, int64_t wall)
{
	const struct mlk_intent *old = NULL;

	if (in->type == MLK_INTENT_DRAIN_WORKER)
		old = mlk_config_find(
		    base, MLK_INTENT_AVOID_WORKER, in->subject, wall);
	if (old != NULL)
		describe_touched(plan, "overrides", old);
	old = NULL;
	if (in->type == MLK_INTENT_AVOID_WORKER)
		old = mlk_config_find(
		    base, MLK_INTENT_DRAIN_WORKER, in->subject, wall);
	if (in->type == MLK_INTENT_PREFER_DC)
		old = mlk_config_find(
		    base, MLK_INTENT_DRAIN_DC, in->target, wall);
	if (old != NULL)
		describe_touched(plan, "is overridden by", old);
}

/*
 * Copies the intents that stay in force to the result.  Sets *touched to the
 * one that is removed or replaced, which points into `base`; it is left
 * unchanged when there is none.
 */
static void
keep_intents(struct mlk_plan *plan, const struct mlk_config *base, int64_t wall,
    const struct mlk_intent **touched)
{
	const struct mlk_change *change = &plan->change;
	const struct mlk_intent *old;
	uint32_t i;
	bool same;

	for (i = 0; i < base->nintents; i++) {
		old = &base->intents[i];
		if (old->expires != 0 && old->expires <= wall) {
			describe_touched(plan, "drops the expired", old);
			continue;
		}
		same = change->remove ?
		    strcmp(old->id, change->intent.id) == 0 :
		    old->type == change->intent.type &&
			strcmp(old->subject, change->intent.subject) == 0;
		if (same)
			*touched = old;
		else
			plan->result.intents[plan->result.nintents++] = *old;
	}
}

/*
 * Returns whether an intent that stays in force has the id of the new one.
 */
static bool
id_taken(const struct mlk_plan *plan)
{
	uint32_t i;

	for (i = 0; i < plan->result.nintents; i++) {
		if (strcmp(plan->result.intents[i].id,
			plan->change.intent.id) == 0)
			return (true);
	}
	return (false);
}

static void
add_intent(struct mlk_plan *plan, const struct mlk_config *base, int64_t wall,
    const struct mlk_intent *replaced)
{
	struct mlk_intent *in = &plan->change.intent;

	if (in->created == 0)
		in->created = wall;
	memset(in->displaced, 0, sizeof(in->displaced));
	if (replaced != NULL)
		memcpy(in->displaced, replaced->id, sizeof(in->displaced));
	plan->result.intents[plan->result.nintents++] = *in;
	describe(plan, in, false);
	if (replaced != NULL)
		describe_touched(plan, "replaces", replaced);
	describe_overrides(plan, base, in, wall);
}

static int
plan_allocate(const struct mlk_config *base, const struct mlk_change *change,
    struct mlk_plan **out)
{
	struct mlk_plan *plan;
	size_t lines;

	/* Two lines per intent, on its expiry and share; 8 on the change. */
	lines = 2 * (size_t)base->nintents + 8;
	plan = calloc(1, sizeof(*plan));
	if (plan == NULL)
		return (MLK_ERR_NOMEM);
	plan->effects = calloc(lines, sizeof(*plan->effects));
	plan->result.intents =
	    calloc((size_t)base->nintents + 1, sizeof(*plan->result.intents));
	if (plan->effects == NULL || plan->result.intents == NULL) {
		mlk_plan_destroy(plan);
		return (MLK_ERR_NOMEM);
	}
	plan->base_version = base->version;
	plan->change = *change;
	if (!change->remove && change->intent.id[0] == '\0') {
		(void)snprintf(plan->change.intent.id,
		    sizeof(plan->change.intent.id), "v%" PRIu64 "-%s",
		    base->version + 1,
		    mlk_intent_type_name(change->intent.type));
	}
	plan->digest = plan_digest(base->version, &plan->change);
	plan->result.version = base->version + 1;
	plan->result.digest = plan->digest;
	*out = plan;
	return (0);
}

/*
 * Computes the plan of a change to the configuration `base` at the time `wall`
 * (time_t).  Returns 0 with *out owned by the caller, MLK_ERR_INVALID when the
 * change is invalid, MLK_ERR_NOT_FOUND when the intent to remove is not in
 * force, or MLK_ERR_NOMEM.  A missing id is derived from the base version, and
 * the digest does not cover the creation time, so the same change confirms the
 * plan with or without them.
 */
int
mlk_plan_create(const struct mlk_config *base, const struct mlk_change *change,
    int64_t wall, struct mlk_plan **out, struct mlk_error *err)
{
	const struct mlk_intent *touched = NULL, *subject;
	struct mlk_plan *plan;
	int rc;

	*out = NULL;
	rc = change->remove ? 0 : check_intent(&change->intent, wall, err);
	if (rc != 0)
		return (rc);
	if (plan_allocate(base, change, &plan) != 0)
		return (mlk_error_set(err, MLK_ERR_NOMEM, "out of memory"));
	keep_intents(plan, base, wall, &touched);
	if (!change->remove && id_taken(plan)) {
		mlk_plan_destroy(plan);
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "id: %s names another intent", change->intent.id));
	}
	if (change->remove && touched == NULL) {
		mlk_plan_destroy(plan);
		return (mlk_error_set(err, MLK_ERR_NOT_FOUND,
		    "id: no intent %s in force", change->intent.id));
	}
	if (change->remove) {
		describe(plan, touched, true);
		describe_touched(plan, "removes", touched);
	} else {
		add_intent(plan, base, wall, touched);
	}
	subject = change->remove ? touched : &plan->change.intent;
	if (subject->type == MLK_INTENT_TEAM_WEIGHT)
		describe_weights(plan, base, subject->subject, wall);
	if (subject->type == MLK_INTENT_TEAM_QUOTA) {
		describe_share(plan, subject->subject,
		    quota_of(base, subject->subject, wall),
		    quota_of(&plan->result, subject->subject, wall));
	}
	*out = plan;
	return (0);
}
