/*
 * The settings of monsoonlock-agent.
 */
#include <stdlib.h>
#include <string.h>

#include "settings.h"

/* The struct that the rules of an agent fill. */
struct agent_target {
	struct mlk_agent_settings s;
	struct addr_list entries;
	int log_level;
	int log_format;
	int policy;
};

#define AT(member) offsetof(struct agent_target, member)
#define OPT(member) offsetof(struct agent_target, s.options.member)
#define SECONDS_PER_DAY 86400

static const struct rule agent_rules[] = {
	{ "id", RULE_NAME, OPT(id), true, 0, 0, 0, NULL },
	{ "dc", RULE_NAME, OPT(dc), true, 0, 0, 0, NULL },
	{ "log.level", RULE_CHOICE, AT(log_level), false, 0, 0, MLK_LOG_NOTICE,
	    settings_levels },
	{ "log.format", RULE_CHOICE, AT(log_format), false, 0, 0, 0,
	    settings_formats },
	{ "endpoint.address", RULE_ADDR, AT(s.endpoint_address), true, 0, 0, 0,
	    NULL },
	{ "endpoint.slots", RULE_UINT, OPT(slots), false, 1, 1024, 8, NULL },
	{ "table.address", RULE_ADDR, AT(s.common.table_address), true, 0, 0, 0,
	    NULL },
	{ "entries", RULE_ADDR_LIST, AT(entries), false, 0, 0, 0, NULL },
	{ "http.listen", RULE_ADDR, AT(s.common.http_listen), false, 0, 0, 0,
	    NULL },
	{ "limits.max_records", RULE_UINT, OPT(max_records), false, 1, 10000000,
	    100000, NULL },
	{ "limits.max_result_bytes", RULE_UINT, OPT(max_result_bytes), false,
	    MLK_PAYLOAD_MAX, 1073741824, 16777216, NULL },
	{ "timing.retention_s", RULE_UINT, OPT(retention_s), false, 1,
	    SECONDS_PER_DAY, 900, NULL },
	{ "timing.lease_ms", RULE_UINT, OPT(lease_ms), false, 100, 60000, 3000,
	    NULL },
	{ "policy", RULE_CHOICE, AT(policy), false, 0, 0, MLK_POLICY_CREDITS,
	    settings_policies },
};

#define AGENT_NRULES (sizeof(agent_rules) / sizeof(agent_rules[0]))

int
mlk_agent_settings_load(
    const char *path, struct mlk_agent_settings **out, struct mlk_error *err)
{
	struct agent_target target;
	int rc;

	memset(&target, 0, sizeof(target));
	rc = settings_read(path, agent_rules, AGENT_NRULES, &target, err);
	if (rc != 0) {
		g_free(target.entries.items);
		return (rc);
	}
	target.s.common.log_level = (enum mlk_log_level)target.log_level;
	target.s.common.log_json = target.log_format == 1;
	target.s.options.queue_at_worker = target.policy != MLK_POLICY_CREDITS;
	target.s.options.nentries = target.entries.n;
	target.s.options.entries = target.entries.items;
	*out = g_memdup2(&target.s, sizeof(target.s));
	return (0);
}

/*
 * Frees settings from mlk_agent_settings_load(); NULL is allowed.
 */
void
mlk_agent_settings_free(struct mlk_agent_settings *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->options.entries);
	g_free(settings);
}
