/*
 * The configuration document: names of intent types, and the lookup of the
 * intent that is in force.
 */
#include <string.h>

#include <monsoonlock/core.h>

/* As in docs/design.md section 7; indexed by enum mlk_intent_type. */
static const char *const type_names[] = {
	[MLK_INTENT_TEAM_QUOTA] = "team_quota",
	[MLK_INTENT_TEAM_WEIGHT] = "team_weight",
	[MLK_INTENT_KIND_URGENCY] = "kind_urgency",
	[MLK_INTENT_DRAIN_WORKER] = "drain_worker",
	[MLK_INTENT_DRAIN_DC] = "drain_dc",
	[MLK_INTENT_AVOID_WORKER] = "avoid_worker",
	[MLK_INTENT_PREFER_DC] = "prefer_dc",
	[MLK_INTENT_LONG_CAP] = "long_cap",
};

#define NTYPES (sizeof(type_names) / sizeof(type_names[0]))

/*
 * Returns the name of an intent type in JSON and on the command line.
 */
const char *
mlk_intent_type_name(enum mlk_intent_type type)
{
	return ((size_t)type < NTYPES ? type_names[type] : "invalid");
}

/*
 * Parses the name of an intent type.  Returns false for an unknown name, with
 * *out unchanged.
 */
bool
mlk_intent_type_parse(const char *text, enum mlk_intent_type *out)
{
	size_t i;

	for (i = 0; i < NTYPES; i++) {
		if (strcmp(type_names[i], text) == 0) {
			*out = (enum mlk_intent_type)i;
			return (true);
		}
	}
	return (false);
}

/*
 * Returns the intent of this type and subject that is in force at the time
 * `wall` (time_t), or NULL.  The pointer is valid as long as the configuration.
 */
const struct mlk_intent *
mlk_config_find(const struct mlk_config *config, enum mlk_intent_type type,
    const char *subject, int64_t wall)
{
	const struct mlk_intent *intent;
	uint32_t i;

	for (i = 0; i < config->nintents; i++) {
		intent = &config->intents[i];
		if (intent->type != type ||
		    strcmp(intent->subject, subject) != 0)
			continue;
		if (intent->expires == 0 || intent->expires > wall)
			return (intent);
	}
	return (NULL);
}
