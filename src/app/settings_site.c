/*
 * The settings of monsoonlock-site-entry and monsoonlock-site-agent, the
 * programs of the dispatch library.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

/* The struct that the rules of both programs fill. */
struct site_target {
	struct mlk_site_settings site;
	struct addr_list entries;
	struct pair_list pairs;
	uint32_t links_port;
	int log_level;
	int log_format;
	int interference;
	union {
		struct mlk_site_entry_settings entry;
		struct mlk_site_agent_settings agent;
	} u;
};

#define AT(member) offsetof(struct site_target, member)
#define SITE(member) AT(site.member)
#define GRACE_MAX_MS 3600000
#define LEASE_MAX_MS 60000
#define OFFER_AHEAD_MAX_MS 20 /* tasks that arrive early wait no longer */
/* Each pair takes at least two of MLK_VERDICTS_MAX verdicts. */
#define PAIRS_MAX 16

/* In the order of enum mlk_interference_mode. */
static const char *const interference_modes[] = { "off", "observe", "avoid",
	NULL };

#define SITE_RULES                                                             \
	{ "id", RULE_NAME, SITE(id), true, 0, 0, 0, NULL },                    \
	    { "dc", RULE_NAME, SITE(dc), true, 0, 0, 0, NULL },                \
	    { "log.level", RULE_CHOICE, AT(log_level), false, 0, 0,            \
		    MLK_LOG_INFO, settings_levels },                           \
	    { "log.format", RULE_CHOICE, AT(log_format), false, 0, 0, 1,       \
		    settings_formats },                                        \
	    { "log.lines_per_s", RULE_UINT, SITE(log_lines_per_s), false, 1,   \
		    100000, 50, NULL },                                        \
	    { "store.address", RULE_ADDR, SITE(store_address), true, 0, 0, 0,  \
		    NULL },                                                    \
	    { "metrics.listen", RULE_ADDR, SITE(metrics_listen), false, 0, 0,  \
		    0, NULL },                                                 \
	    { "entries", RULE_ADDR_LIST, AT(entries), false, 0, 0, 0, NULL },  \
	    { "links.port", RULE_UINT, AT(links_port), false, 1, UINT16_MAX,   \
		    0, NULL },                                                 \
	    { "timing.grace_s", RULE_S, SITE(grace_ms), false, 100,            \
		    GRACE_MAX_MS, 6000, NULL },                                \
	    { "interference.mode", RULE_CHOICE, AT(interference), false, 0, 0, \
		    MLK_INTERFERENCE_OFF, interference_modes },                \
	    { "timing.lease_ms", RULE_MS, SITE(lease_ms), false, 100,          \
		    LEASE_MAX_MS, 1000, NULL },                                \
	{                                                                      \
		"timing.resend_ms", RULE_MS, SITE(resend_ms), false, 100,      \
		    LEASE_MAX_MS, 1300, NULL                                   \
	}

static const char *const admission_modes[] = { "off", "shares", NULL };

static const struct rule entry_rules[] = {
	SITE_RULES,
	{ "links.listen", RULE_ADDR, AT(u.entry.links_listen), true, 0, 0, 0,
	    NULL },
	{ "links.advertise", RULE_ADDR, AT(u.entry.links_advertise), false, 0,
	    0, 0, NULL },
	{ "callers.listen", RULE_ADDR, AT(u.entry.callers_listen), true, 0, 0,
	    0, NULL },
	{ "callers.max_connections", RULE_UINT, AT(u.entry.max_connections),
	    false, 1, 1000000, 3000, NULL },
	{ "callers.max_jobs", RULE_UINT, AT(u.entry.max_jobs), false, 1,
	    1000000, 20000, NULL },
	{ "interference.pairs", RULE_PAIR_LIST, AT(pairs), false, 0, PAIRS_MAX,
	    0, NULL },
	{ "readiness.listen", RULE_ADDR, AT(u.entry.readiness_listen), true, 0,
	    0, 0, NULL },
	{ "admission.mode", RULE_CHOICE, AT(u.entry.admission), false, 0, 0,
	    MLK_ADMISSION_OFF, admission_modes },
};

static const struct rule agent_rules[] = {
	SITE_RULES,
	{ "worker.address", RULE_ADDR, AT(u.agent.worker_address), true, 0, 0,
	    0, NULL },
	{ "worker.pool", RULE_NAME, AT(u.agent.pool), false, 0, 0, 0, NULL },
	{ "offers.ahead_ms", RULE_MS, AT(u.agent.offer_ahead_ms), false, 0,
	    OFFER_AHEAD_MAX_MS, 0, NULL },
	{ "announcements.listen", RULE_ADDR, AT(u.agent.announcements_listen),
	    true, 0, 0, 0, NULL },
};

/*
 * Reads a file.  If links.port is set, it replaces the port of each address
 * under `entries`, which may be that of another listener of the entry.
 */
static int
load(const char *path, const struct rule *rules, size_t nrules,
    struct site_target *target, struct mlk_error *err)
{
	char *colon;
	uint32_t i;
	int rc;

	memset(target, 0, sizeof(*target));
	rc = settings_read(path, rules, nrules, target, err);
	if (rc != 0) {
		g_free(target->pairs.items);
		g_free(target->entries.items);
		return (rc);
	}
	target->site.log_level = (enum mlk_log_level)target->log_level;
	target->site.log_json = target->log_format == 1;
	target->site.interference =
	    (enum mlk_interference_mode)target->interference;
	for (i = 0; target->links_port != 0 && i < target->entries.n; i++) {
		colon = strrchr(target->entries.items[i], ':');
		(void)snprintf(colon,
		    MLK_ADDR_MAX - (size_t)(colon - target->entries.items[i]),
		    ":%u", target->links_port);
	}
	target->site.nentries = target->entries.n;
	target->site.entries = target->entries.items;
	return (0);
}

/*
 * If links.advertise is not set, sets it to the value of links.listen.  In that
 * case links.listen must not be a wildcard address, since others cannot connect
 * to one.
 */
static int
default_advertise(
    const char *path, struct mlk_site_entry_settings *s, struct mlk_error *err)
{
	if (s->links_advertise[0] != '\0')
		return (0);
	if (settings_is_wildcard(s->links_listen))
		return (settings_reject(path, "links.advertise",
		    "ip:port, as links.listen is a wildcard", "nothing", err));
	(void)g_strlcpy(
	    s->links_advertise, s->links_listen, sizeof(s->links_advertise));
	return (0);
}

int
mlk_site_entry_settings_load(const char *path,
    struct mlk_site_entry_settings **out, struct mlk_error *err)
{
	struct site_target target;
	int rc;

	rc = load(path, entry_rules,
	    sizeof(entry_rules) / sizeof(entry_rules[0]), &target, err);
	if (rc != 0)
		return (rc);
	rc = default_advertise(path, &target.u.entry, err);
	if (rc != 0) {
		g_free(target.pairs.items);
		g_free(target.entries.items);
		return (rc);
	}
	target.u.entry.site = target.site;
	target.u.entry.npairs = target.pairs.n;
	target.u.entry.pairs = target.pairs.items;
	*out = g_memdup2(&target.u.entry, sizeof(target.u.entry));
	return (0);
}

/*
 * Frees settings from mlk_site_entry_settings_load(); NULL is allowed.
 */
void
mlk_site_entry_settings_free(struct mlk_site_entry_settings *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->pairs);
	g_free(settings->site.entries);
	g_free(settings);
}

int
mlk_site_agent_settings_load(const char *path,
    struct mlk_site_agent_settings **out, struct mlk_error *err)
{
	struct site_target target;
	int rc;

	rc = load(path, agent_rules,
	    sizeof(agent_rules) / sizeof(agent_rules[0]), &target, err);
	if (rc != 0)
		return (rc);
	target.u.agent.site = target.site;
	*out = g_memdup2(&target.u.agent, sizeof(target.u.agent));
	return (0);
}

/*
 * Frees settings from mlk_site_agent_settings_load(); NULL is allowed.
 */
void
mlk_site_agent_settings_free(struct mlk_site_agent_settings *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->site.entries);
	g_free(settings);
}
