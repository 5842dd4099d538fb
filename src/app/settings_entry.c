/*
 * The settings of monsoonlock-entry.
 */
#include <stdlib.h>
#include <string.h>

#include "settings.h"

/* The struct that the rules of an entry fill. */
struct entry_target {
	struct mlk_entry_settings s;
	struct addr_list peers;
	int log_level;
	int log_format;
	int policy;
};

#define AT(member) offsetof(struct entry_target, member)
#define OPT(member) offsetof(struct entry_target, s.options.member)
#define SECONDS_PER_DAY 86400

static const struct rule entry_rules[] = {
	{ "id", RULE_NAME, OPT(self.id), true, 0, 0, 0, NULL },
	{ "dc", RULE_NAME, OPT(self.dc), true, 0, 0, 0, NULL },
	{ "log.level", RULE_CHOICE, AT(log_level), false, 0, 0, MLK_LOG_NOTICE,
	    settings_levels },
	{ "log.format", RULE_CHOICE, AT(log_format), false, 0, 0, 0,
	    settings_formats },
	{ "http.listen", RULE_ADDR, AT(s.common.http_listen), true, 0, 0, 0,
	    NULL },
	{ "http.tls_cert", RULE_PATH, AT(s.tls_cert), false, 0, 0, 0, NULL },
	{ "http.tls_key", RULE_PATH, AT(s.tls_key), false, 0, 0, 0, NULL },
	{ "http.max_connections", RULE_UINT, AT(s.http_max_connections), false,
	    1, 65536, 4096, NULL },
	{ "http.body_max_bytes", RULE_UINT, AT(s.http_body_max_bytes), false,
	    1024, 134217728, 67108864, NULL },
	{ "rpc.listen", RULE_ADDR, AT(s.rpc_listen), true, 0, 0, 0, NULL },
	{ "rpc.advertise", RULE_ADDR, OPT(self.addr), false, 0, 0, 0, NULL },
	{ "table.address", RULE_ADDR, AT(s.common.table_address), true, 0, 0, 0,
	    NULL },
	{ "peers", RULE_ADDR_LIST, AT(peers), false, 0, 0, 0, NULL },
	{ "policy", RULE_CHOICE, AT(policy), false, 0, 0, MLK_POLICY_CREDITS,
	    settings_policies },
	{ "limits.max_jobs", RULE_UINT, OPT(max_jobs), false, 1, 10000000,
	    100000, NULL },
	{ "limits.max_queued_tasks", RULE_UINT, OPT(max_queued), false, 1,
	    10000000, 200000, NULL },
	{ "timing.retention_s", RULE_UINT, OPT(retention_s), false, 1,
	    SECONDS_PER_DAY, 900, NULL },
	{ "timing.lease_ms", RULE_UINT, OPT(lease_ms), false, 100, 60000, 3000,
	    NULL },
	{ "timing.peer_timeout_ms", RULE_UINT, OPT(peer_timeout_ms), false, 100,
	    60000, 1500, NULL },
	{ "timing.agent_lapse_ms", RULE_UINT, OPT(agent_lapse_ms), false, 100,
	    60000, 3000, NULL },
	{ "timing.takeover_wait_ms", RULE_UINT, OPT(takeover_wait_ms), false, 0,
	    60000, 3000, NULL },
	{ "tokens", RULE_TOKENS, AT(s.tokens), false, 0, 0, 0, NULL },
};

#define ENTRY_NRULES (sizeof(entry_rules) / sizeof(entry_rules[0]))

/*
 * Checks rules across keys, and sets rpc.advertise to its default.
 */
static int
entry_check(
    const char *path, struct mlk_entry_settings *s, struct mlk_error *err)
{
	if ((s->tls_cert[0] == '\0') != (s->tls_key[0] == '\0')) {
		return (settings_reject(path,
		    s->tls_cert[0] == '\0' ? "http.tls_key" : "http.tls_cert",
		    "http.tls_cert and http.tls_key together", "one of them",
		    err));
	}
	if (s->options.self.addr[0] != '\0')
		return (0);
	if (settings_is_wildcard(s->rpc_listen))
		return (settings_reject(path, "rpc.advertise",
		    "ip:port, as rpc.listen is a wildcard", "nothing", err));
	(void)g_strlcpy(
	    s->options.self.addr, s->rpc_listen, sizeof(s->options.self.addr));
	return (0);
}

/*
 * Sets the values that are new at each start.  The incarnation is the start
 * time in microseconds, which no earlier start on the same machine had.
 */
static void
set_incarnation_and_seed(struct mlk_entry_options *options)
{
	options->self.incarnation = (uint64_t)g_get_real_time();
	options->seed = ((uint64_t)g_random_int() << 32) | g_random_int();
}

int
mlk_entry_settings_load(
    const char *path, struct mlk_entry_settings **out, struct mlk_error *err)
{
	struct entry_target target;
	int rc;

	memset(&target, 0, sizeof(target));
	rc = settings_read(path, entry_rules, ENTRY_NRULES, &target, err);
	if (rc == 0)
		rc = entry_check(path, &target.s, err);
	if (rc != 0) {
		g_free(target.peers.items);
		g_free(target.s.tokens.items);
		return (rc);
	}
	target.s.common.log_level = (enum mlk_log_level)target.log_level;
	target.s.common.log_json = target.log_format == 1;
	target.s.options.policy = (enum mlk_policy)target.policy;
	target.s.options.npeers = target.peers.n;
	target.s.options.peers = target.peers.items;
	set_incarnation_and_seed(&target.s.options);
	*out = g_memdup2(&target.s, sizeof(target.s));
	return (0);
}

/*
 * Frees settings from mlk_entry_settings_load(); NULL is allowed.
 */
void
mlk_entry_settings_free(struct mlk_entry_settings *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->options.peers);
	g_free(settings->tokens.items);
	g_free(settings);
}
