/*
 * The settings files of a deployment on loopback.
 */
#include <glib.h>

#include "deploy.h"

/* The callers of a baseline policy under overload would exceed the default of
 * the entries, 4096. */
#define HTTP_MAX_CONNECTIONS 16384U

/*
 * Returns the number of the data centre of a process, from 1.
 */
static uint32_t
dc_number(const struct mlk_deploy_options *options,
    const struct mlk_deploy_process *p)
{
	return (p->index % (options->dcs == 0 ? 1 : options->dcs) + 1);
}

/*
 * Returns the address of the process to in the settings of the process from.
 */
static const char *
route(const struct mlk_deploy_options *options,
    const struct mlk_deploy_process *from, const struct mlk_deploy_process *to)
{
	const char *addr = options->route == NULL ?
	    NULL :
	    options->route(options->route_arg, from, to);

	if (addr != NULL)
		return (addr);
	return (to->role == MLK_DEPLOY_ENTRY ? to->rpc : to->http);
}

/*
 * Appends the RPC addresses of all entries except self, whose settings are
 * written, as a YAML list.
 */
static void
append_entries(GString *out, const char *key,
    const struct mlk_deploy_options *options, struct mlk_deploy *d,
    const struct mlk_deploy_process *self)
{
	const struct mlk_deploy_process *p;
	uint32_t i, n = 0;

	g_string_append_printf(out, "%s: [", key);
	for (i = 0; i < mlk_deploy_count(d); i++) {
		p = mlk_deploy_at(d, i);
		if (p->role != MLK_DEPLOY_ENTRY || p == self)
			continue;
		g_string_append_printf(out, "%s\"%s\"", n++ == 0 ? "" : ", ",
		    route(options, self, p));
	}
	g_string_append(out, "]\n");
}

static void
append_tokens(GString *out, const struct mlk_deploy_options *options)
{
	if (options->caller_token == NULL && options->operator_token == NULL)
		return;
	g_string_append(out, "tokens:\n");
	if (options->caller_token != NULL) {
		g_string_append_printf(out,
		    "  - {name: load, role: caller, token: \"%s\"}\n",
		    options->caller_token);
	}
	if (options->operator_token != NULL) {
		g_string_append_printf(out,
		    "  - {name: operator, role: operator, token: \"%s\"}\n",
		    options->operator_token);
	}
}

/*
 * Returns the settings of an entry, to be freed with g_free().
 */
char *
mlk_deploy_entry_settings(const struct mlk_deploy_options *options,
    struct mlk_deploy *d, const struct mlk_deploy_process *p)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
	    "id: %s\ndc: dc-%u\n"
	    "http:\n  listen: \"%s\"\n  max_connections: %u\n"
	    "rpc:\n  listen: \"%s\"\n  advertise: \"%s\"\n"
	    "table:\n  address: \"%s\"\n",
	    p->name, dc_number(options, p), p->http, HTTP_MAX_CONNECTIONS,
	    p->rpc, route(options, p, p),
	    route(options, p, mlk_deploy_find(d, "platform")));
	append_entries(out, "peers", options, d, p);
	if (options->policy != NULL)
		g_string_append_printf(out, "policy: %s\n", options->policy);
	append_tokens(out, options);
	if (options->entry_settings != NULL)
		g_string_append(out, options->entry_settings);
	return (g_string_free(out, FALSE));
}

/*
 * Returns the settings of an agent, to be freed with g_free().
 */
char *
mlk_deploy_agent_settings(const struct mlk_deploy_options *options,
    struct mlk_deploy *d, const struct mlk_deploy_process *p)
{
	GString *out = g_string_new(NULL);
	char endpoint[MLK_NAME_MAX];

	(void)g_snprintf(
	    endpoint, sizeof(endpoint), "endpoint-%u", p->index + 1);
	g_string_append_printf(out,
	    "id: %s\ndc: dc-%u\n"
	    "endpoint:\n  address: \"%s\"\n  slots: %u\n"
	    "http:\n  listen: \"%s\"\n"
	    "table:\n  address: \"%s\"\n",
	    p->name, dc_number(options, p), mlk_deploy_find(d, endpoint)->http,
	    options->slots, p->http,
	    route(options, p, mlk_deploy_find(d, "platform")));
	append_entries(out, "entries", options, d, p);
	if (options->policy != NULL)
		g_string_append_printf(out, "policy: %s\n", options->policy);
	if (options->agent_settings != NULL)
		g_string_append(out, options->agent_settings);
	return (g_string_free(out, FALSE));
}
