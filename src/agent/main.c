/*
 * monsoonlock-agent: runs beside one endpoint and starts tasks on it.  This
 * file creates the event loop and the reducer and passes events and effects
 * between them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "program.h"

#define HTTP_BODY_MAX 4096
#define HTTP_HEADER_TIMEOUT_S 10
#define HTTP_CONNECTIONS_MAX 16

static void
apply(void *arg, const struct mlk_event *ev, struct mlk_effects *out)
{
	struct program *p = arg;
	struct mlk_error err = { 0 };

	if (mlk_agent_apply(p->agent, ev, out, &err) != 0)
		mlk_log(MLK_LOG_ERROR, "%s", err.msg);
}

static void
run_effect(void *arg, struct mlk_effect *fx)
{
	struct program *p = arg;

	if (fx->type == MLK_FX_START_TASK)
		endpoint_start(p, fx);
	else if (fx->type == MLK_FX_ABORT_TASK)
		endpoint_abort(p, fx->u.abort.slot);
}

static void
http_event(void *arg, const struct mlk_net_event *nev)
{
	struct program *p = arg;

	if (nev->type == MLK_NET_HTTP_REQUEST)
		http_request(p, &nev->u.http);
	else if (nev->type == MLK_NET_HTTP_RESPONSE)
		endpoint_response(p, nev);
}

static void
handle_event(void *arg, const struct mlk_net_event *nev)
{
	struct program *p = arg;

	mlk_run_handle(&p->run, nev);
	endpoint_report_failed(p);
}

static int
open_loop(struct program *p, struct mlk_error *err)
{
	struct mlk_loop_options options = { 0 };
	const char *listen;

	options.arg = p;
	options.handle = handle_event;
	options.clock = p->run.clock;
	options.tick_ms = MLK_TICK_MS;
	options.http_body_max = HTTP_BODY_MAX;
	options.http_header_timeout_s = HTTP_HEADER_TIMEOUT_S;
	options.http_max_connections = HTTP_CONNECTIONS_MAX;
	p->run.loop = mlk_loop_create(&options, err);
	if (p->run.loop == NULL)
		return (err->code);
	listen = p->settings->common.http_listen;
	if (listen[0] == '\0')
		return (0);
	return (mlk_loop_listen_http(p->run.loop, listen, err));
}

static int
run(struct program *p)
{
	const struct mlk_agent_settings *s = p->settings;
	struct mlk_error err = { 0 };

	p->agent = mlk_agent_create(&s->options);
	p->calls = calloc(s->options.slots, sizeof(*p->calls));
	if (p->agent == NULL || p->calls == NULL) {
		mlk_log(MLK_LOG_ERROR, "cannot start: out of memory");
		return (MLK_EXIT_FAILURE);
	}
	if (open_loop(p, &err) != 0) {
		mlk_log(MLK_LOG_ERROR, "cannot start: %s", err.msg);
		return (MLK_EXIT_FAILURE);
	}
	p->run.store =
	    mlk_store_client_create(p->run.loop, s->common.table_address);
	mlk_log(MLK_LOG_NOTICE, "agent %s starts tasks on %s, %u slots",
	    s->options.id, s->endpoint_address, s->options.slots);
	(void)mlk_loop_run(p->run.loop);
	mlk_log(MLK_LOG_NOTICE, "agent %s stopped", s->options.id);
	return (0);
}

static void
close_program(struct program *p)
{
	if (p->run.loop != NULL)
		mlk_loop_destroy(p->run.loop);
	mlk_store_client_destroy(p->run.store);
	mlk_agent_destroy(p->agent);
	free(p->calls);
}

int
main(int argc, char **argv)
{
	struct mlk_agent_settings *settings = NULL;
	struct program program = { 0 };
	struct mlk_args args = { 0 };
	struct mlk_error err = { 0 };
	int status;

	if (mlk_loop_block_signals() != 0)
		return (MLK_EXIT_FAILURE);
	if (!mlk_args_parse("starts tasks on the endpoint beside it", &argc,
		&argv, &args, &status))
		return (status);
	if (mlk_agent_settings_load(args.config, &settings, &err) != 0) {
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
		status = run(&program);
		close_program(&program);
	}
	mlk_agent_settings_free(settings);
	mlk_args_clear(&args);
	return (status);
}
