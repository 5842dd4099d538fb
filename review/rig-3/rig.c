/*
 * The event loop of the rig, and its main().
 *
 *   rig --scenario NAME --trouble N --programs DIR --dir DIR --record FILE
 *       [--seed N]
 *
 * Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
 * run.
 */
#include <getopt.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define TICK_MS 5
#define READY_LIMIT_MS 12000
#define CALL_READY_BASE 1000 /* call ids of the readiness checks */

static void
write_line(struct rig *r, const char *kind, const char *fmt, va_list ap)
{
	(void)fprintf(r->record, "%8.3f %s", (double)r->now / 1000.0, kind);
	(void)vfprintf(r->record, fmt, ap);
	(void)fputc('\n', r->record);
	(void)fflush(r->record);
}

void
note(struct rig *r, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(r, "", fmt, ap);
	va_end(ap);
}

/*
 * Records that the rule was broken.
 */
void
breach(struct rig *r, const char *fmt, ...)
{
	va_list ap;

	r->broken++;
	va_start(ap, fmt);
	write_line(r, "BROKEN ", fmt, ap);
	va_end(ap);
}

static int64_t
clock_ms(void)
{
	return (g_get_monotonic_time() / 1000);
}

static void
handle_request(struct rig *r, const struct mlk_http_request *req)
{
	uint32_t i;

	if (req->port == r->store_port) {
		store_request(r, req);
		return;
	}
	for (i = 0; i < r->nworkers; i++) {
		if (r->workers[i].port == req->port)
			worker_request(r, &r->workers[i], req);
	}
}

static void
check_ready(struct rig *r)
{
	struct mlk_http_call call = { 0 };
	char addr[MLK_ADDR_MAX];
	struct mlk_error err;
	uint32_t i;

	for (i = 0; i < r->nentries; i++) {
		if (r->entry_ready[i])
			continue;
		(void)snprintf(
		    addr, sizeof(addr), "127.0.0.%u:%u", 10 + i, r->ready);
		call.call = CALL_READY_BASE + i;
		call.method = "GET";
		call.addr = addr;
		call.path = "/-/ready";
		call.timeout_ms = 200;
		(void)mlk_loop_http_call(r->loop, &call, &err);
	}
}

static void
handle_response(struct rig *r, const struct mlk_net_event *ev)
{
	uint64_t call = ev->u.response.call;
	uint32_t i;

	if (call < CALL_READY_BASE + ENTRIES_MAX) {
		if (ev->u.response.result == MLK_HTTP_OK &&
		    ev->u.response.status == 200)
			r->entry_ready[call - CALL_READY_BASE] = true;
		for (i = 0; i < r->nentries && r->entry_ready[i]; i++)
			;
		if (i == r->nentries && r->ready_at == 0) {
			r->ready_at = r->now;
			note(r, "all entries are ready");
		}
		return;
	}
	client_response(r, ev);
}

static void
tick(struct rig *r)
{
	store_tick(r);
	workers_tick(r);
	procs_check(r);
	if (r->ready_at == 0) {
		if (r->now > READY_LIMIT_MS) {
			note(r, "the entries are not ready");
			r->failed = true;
		}
		check_ready(r);
	} else if (!r->scenario->tick(r, r->now - r->ready_at)) {
		mlk_loop_stop(r->loop);
	}
	if (r->failed)
		mlk_loop_stop(r->loop);
}

static void
handle_event(void *arg, const struct mlk_net_event *ev)
{
	struct rig *r = arg;
	uint32_t i;

	r->now = clock_ms() - r->start;
	switch (ev->type) {
	case MLK_NET_HTTP_REQUEST:
		handle_request(r, &ev->u.http);
		break;
	case MLK_NET_HTTP_GONE:
		store_gone(r, ev->u.gone.request);
		for (i = 0; i < r->nworkers; i++)
			worker_gone(&r->workers[i], ev->u.gone.request);
		break;
	case MLK_NET_HTTP_RESPONSE:
		handle_response(r, ev);
		break;
	case MLK_NET_TICK:
		tick(r);
		break;
	case MLK_NET_STOP:
		r->failed = true;
		mlk_loop_stop(r->loop);
		break;
	default:
		break;
	}
}

static int
open_loop(struct rig *r)
{
	struct mlk_loop_options options = { 0 };
	struct mlk_error err = { 0 };
	uint32_t i;

	options.arg = r;
	options.handle = handle_event;
	options.clock = mlk_clock_system();
	options.tick_ms = TICK_MS;
	options.http_body_max = 1024 * 1024;
	options.http_header_timeout_s = 60;
	options.http_max_connections = 4000;
	r->loop = mlk_loop_create(&options, &err);
	if (r->loop == NULL ||
	    mlk_loop_listen_http(r->loop, "127.0.0.1:0", &err) != 0)
		return (-1);
	mlk_loop_http_close_after(r->loop, r->scenario->close_channels);
	r->store_port = mlk_loop_http_port(r->loop);
	for (i = 0; i < r->nworkers; i++) {
		if (mlk_loop_listen_http(r->loop, "127.0.0.1:0", &err) != 0)
			return (-1);
		r->workers[i].port = mlk_loop_http_port(r->loop);
	}
	return (0);
}

static const struct scenario *
find_scenario(const char *name)
{
	static const struct scenario *const all[] = { &scenario_lease,
		&scenario_clock, &scenario_cancel, &scenario_flap,
		&scenario_handshake };
	size_t i;

	for (i = 0; name != NULL && i < G_N_ELEMENTS(all); i++) {
		if (strcmp(all[i]->name, name) == 0)
			return (all[i]);
	}
	return (NULL);
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "scenario", required_argument, NULL, 's' },
		{ "trouble", required_argument, NULL, 't' },
		{ "programs", required_argument, NULL, 'p' },
		{ "dir", required_argument, NULL, 'd' },
		{ "record", required_argument, NULL, 'r' },
		{ "seed", required_argument, NULL, 'n' },
		{ NULL, 0, NULL, 0 },
	};
	static struct rig rig;
	struct rig *r = &rig;
	const char *record = "record.txt";
	uint64_t seed = (uint64_t)getpid();
	uint32_t i;
	int c;

	r->trouble = 1;
	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c == 's')
			r->scenario = find_scenario(optarg);
		else if (c == 't')
			r->trouble = atoi(optarg);
		else if (c == 'p')
			r->programs = optarg;
		else if (c == 'd')
			r->dir = optarg;
		else if (c == 'r')
			record = optarg;
		else if (c == 'n')
			seed = strtoull(optarg, NULL, 10);
		else
			return (2);
	}
	if (r->scenario == NULL || r->programs == NULL || r->dir == NULL)
		return (2);
	r->record = fopen(record, "w");
	if (r->record == NULL)
		return (2);
	mlk_rng_seed(&r->rng, seed);
	r->start = clock_ms();
	r->nentries = r->scenario->entries;
	r->nworkers = r->scenario->workers;
	if (open_loop(r) != 0)
		return (2);
	note(r, "scenario %s, trouble %d, seed %llu", r->scenario->name,
	    r->trouble, (unsigned long long)seed);
	store_init(r);
	store_manifest(r, 7);
	if (procs_start(r) != 0) {
		procs_end(r);
		return (2);
	}
	for (i = 0; i < r->nworkers; i++) {
		r->workers[i].index = i;
		worker_begin(r, &r->workers[i],
		    (uint64_t)(g_get_real_time() / 1000), r->scenario->cpu[i]);
	}
	(void)mlk_loop_run(r->loop);
	r->now = clock_ms() - r->start;
	procs_end(r);
	note(r, "%s, %u breaches",
	    r->failed         ? "could not run" :
		r->broken > 0 ? "the rule was broken" :
				"the rule held",
	    r->broken);
	return (r->broken > 0 ? 1 : r->failed ? 2 : 0);
}
