/*
 * monsoonlock-entry: serves the HTTP API for callers and operators and
 * dispatches tasks to agents.  This file creates the event loop and the reducer
 * (a state machine that does no I/O) and passes events and effects between
 * them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "program.h"

#define HEADER_TIMEOUT_S 10

static void
apply(void *arg, const struct mlk_event *ev, struct mlk_effects *out)
{
	struct program *p = arg;
	struct mlk_error err = { 0 };

	if (mlk_entry_apply(p->entry, ev, out, &err) != 0)
		mlk_log(MLK_LOG_ERROR, "event %d was not applied: %s",
		    (int)ev->type, err.msg);
}

static void
run_effect(void *arg, struct mlk_effect *fx)
{
	struct program *p = arg;

	switch (fx->type) {
	case MLK_FX_ANSWER:
		http_api_reply_job(p, fx);
		break;
	case MLK_FX_REPLY_IDS:
		http_api_reply_ids(p, fx);
		break;
	case MLK_FX_REPLY_ERROR:
		http_api_reply_error(p, fx);
		break;
	case MLK_FX_REPLY_ADMIN:
		http_admin_reply(p, fx);
		break;
	default:
		break;
	}
}

static void
http_event(void *arg, const struct mlk_net_event *nev)
{
	struct program *p = arg;

	if (nev->type == MLK_NET_HTTP_REQUEST)
		http_api_request(p, &nev->u.http);
	else if (nev->type == MLK_NET_HTTP_GONE)
		http_api_request_closed(p, nev->u.gone.request);
}

static void
handle_event(void *arg, const struct mlk_net_event *nev)
{
	struct program *p = arg;

	mlk_run_handle(&p->run, nev);
}

static int
open_loop(struct program *p, struct mlk_error *err)
{
	const struct mlk_entry_settings *s = p->settings;
	struct mlk_loop_options options = { 0 };

	options.arg = p;
	options.handle = handle_event;
	options.clock = p->run.clock;
	options.tick_ms = MLK_TICK_MS;
	options.http_body_max = s->http_body_max_bytes;
	options.http_header_timeout_s = HEADER_TIMEOUT_S;
	options.http_max_connections = s->http_max_connections;
	options.tls_cert = s->tls_cert[0] != '\0' ? s->tls_cert : NULL;
	options.tls_key = s->tls_key[0] != '\0' ? s->tls_key : NULL;
	p->run.loop = mlk_loop_create(&options, err);
	if (p->run.loop == NULL)
		return (err->code);
	if (mlk_loop_listen_rpc(p->run.loop, s->rpc_listen, err) != 0)
		return (err->code);
	return (mlk_loop_listen_http(p->run.loop, s->common.http_listen, err));
}

static int
run(struct program *p)
{
	struct mlk_error err = { 0 };

	if (open_loop(p, &err) != 0) {
		mlk_log(MLK_LOG_ERROR, "cannot start: %s", err.msg);
		return (MLK_EXIT_FAILURE);
	}
	p->run.store = mlk_store_client_create(
	    p->run.loop, p->settings->common.table_address);
	p->entry = mlk_entry_create(&p->settings->options);
	if (p->entry == NULL) {
		mlk_log(MLK_LOG_ERROR, "cannot start: out of memory");
		return (MLK_EXIT_FAILURE);
	}
	mlk_log(MLK_LOG_NOTICE, "entry %s serves HTTP on %s",
	    p->settings->options.self.id, p->settings->common.http_listen);
	(void)mlk_loop_run(p->run.loop);
	mlk_log(
	    MLK_LOG_NOTICE, "entry %s stopped", p->settings->options.self.id);
	return (0);
}

static void
close_program(struct program *p)
{
	mlk_loop_destroy(p->run.loop);
	mlk_store_client_destroy(p->run.store);
	mlk_entry_destroy(p->entry);
	g_hash_table_destroy(p->requests);
}

/*
 * Returns an incarnation number that no earlier process with this entry id has
 * used: the wall clock in ns.
 */
static uint64_t
new_incarnation(const struct mlk_clock *clock)
{
	struct timespec ts;

	clock->realtime(clock->arg, &ts);
	return ((uint64_t)mlk_timespec_ns(&ts));
}

int
main(int argc, char **argv)
{
	struct mlk_entry_settings *settings = NULL;
	struct program program = { 0 };
	struct mlk_args args = { 0 };
	struct mlk_error err = { 0 };
	int status;

	if (mlk_loop_block_signals() != 0)
		return (MLK_EXIT_FAILURE);
	if (!mlk_args_parse("serves callers and operators, dispatches tasks",
		&argc, &argv, &args, &status))
		return (status);
	if (mlk_entry_settings_load(args.config, &settings, &err) != 0) {
		(void)fprintf(stderr, "%s\n", err.msg);
		mlk_args_clear(&args);
		return (MLK_EXIT_SETTINGS);
	}
	if (args.check_settings) {
		(void)printf("%s: settings are valid\n", args.config);
		status = 0;
	} else {
		mlk_log_init(
		    settings->common.log_level, settings->common.log_json);
		program.settings = settings;
		program.run = (struct mlk_run){ .arg = &program,
			.apply = apply,
			.effect = run_effect,
			.http = http_event,
			.clock = mlk_clock_system() };
		settings->options.self.incarnation =
		    new_incarnation(program.run.clock);
		program.requests = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, g_free);
		status = run(&program);
		close_program(&program);
	}
	mlk_entry_settings_free(settings);
	mlk_args_clear(&args);
	return (status);
}
