/*
 * Main program of the soak: event loop, options and result.  The checks are
 * listed in soak.h.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "soak.h"

#define TICK_MS 5
#define WARM_UP_MS 2000 /* to the first job and the first fault */
/*
 * The end of the traffic is free of faults.  Users require full service within
 * RECOVERY_MS of the last fault; a worker that was ejected as sick gets no work
 * for up to 8 s of that.
 */
#define FAULT_FREE_MS 16000
#define RECOVERY_MS 12000
#define SETTLE_MS 3000 /* from the last job to the end of the soak */
#define BODY_MAX 65536
#define NS_PER_MS ((int64_t)MLK_NSEC_PER_MSEC)

/*
 * Reports a failed check.  Only the first ten are printed.
 */
void
soak_violation(struct soak *s, const char *fmt, ...)
{
	va_list ap;

	s->violations++;
	if (s->violations > 10)
		return;
	(void)printf("violated after %" PRId64 " ms: ", s->now - s->started);
	va_start(ap, fmt);
	(void)vprintf(fmt, ap);
	va_end(ap);
	(void)printf("\n");
}

uint32_t
soak_random(struct soak *s, uint32_t bound)
{
	return (mlk_rng_below(&s->rng, bound));
}

static int64_t
end_of_traffic(const struct soak *s)
{
	return (s->started + (int64_t)s->options.seconds * 1000);
}

/*
 * Returns whether the last part of the traffic, which has no faults, has begun.
 */
bool
soak_faults_over(const struct soak *s)
{
	return (s->now >= end_of_traffic(s) - FAULT_FREE_MS);
}

void
soak_entry_addr(const struct soak *s, uint32_t i, uint32_t port, char *out)
{
	(void)snprintf(
	    out, MLK_ADDR_MAX, "127.0.1.%u:%u", i + 1, s->port + port);
}

void
soak_agent_addr(const struct soak *s, uint32_t i, uint32_t port, char *out)
{
	(void)snprintf(
	    out, MLK_ADDR_MAX, "127.0.2.%u:%u", i + 1, s->port + port);
}

void
soak_entry_listen_addr(const struct soak *s, uint32_t i, char *out)
{
	(void)snprintf(out, MLK_ADDR_MAX, "127.0.4.%u:%u", i + 1,
	    s->port + SOAK_PORT_LINKS);
}

void
soak_store_addr(const struct soak *s, char *out)
{
	(void)snprintf(
	    out, MLK_ADDR_MAX, "127.0.3.1:%u", s->port + SOAK_PORT_STORE);
}

/*
 * Makes an HTTP call; its answer comes as an event with the kind and number of
 * the call.
 */
void
soak_call(struct soak *s, enum soak_call kind, uint64_t number,
    const char *method, const char *addr, const char *path, const char *headers,
    const char *body, uint32_t timeout_ms)
{
	struct mlk_http_call call = { 0 };
	struct mlk_error err = { 0 };

	call.call = (uint64_t)kind << 56 | number;
	call.method = method;
	call.addr = addr;
	call.path = path;
	call.headers = headers[0] == '\0' ? NULL : headers;
	call.body = body;
	call.body_len = body == NULL ? 0 : strlen(body);
	call.timeout_ms = timeout_ms;
	if (mlk_loop_http_call(s->loop, &call, &err) != 0)
		soak_violation(s, "call %s: %s", path, err.msg);
}

/*
 * Answers a request with JSON; takes over the reference to `root`.
 */
void
soak_reply(struct soak *s, uint64_t request, int status, json_t *root)
{
	char *body = json_dumps(root, JSON_COMPACT);

	(void)mlk_loop_http_reply(s->loop, request, status, "application/json",
	    0, body, strlen(body));
	free(body);
	json_decref(root);
}

static void
request(struct soak *s, const struct mlk_http_request *req)
{
	uint32_t port = req->port - s->port;

	if (port == SOAK_PORT_STORE)
		soak_store_request(s, req);
	else
		soak_worker_request(s, port - SOAK_PORT_WORKERS, req);
}

static void
response(struct soak *s, const struct mlk_net_event *nev)
{
	uint64_t number = nev->u.response.call & ((1ULL << 56) - 1);

	switch ((enum soak_call)(nev->u.response.call >> 56)) {
	case SOAK_CALL_JOB:
		soak_job_answered(s, number, nev);
		break;
	case SOAK_CALL_VERSION:
		soak_version_answered(s, number, nev);
		break;
	case SOAK_CALL_SEEN_VERSION:
		soak_seen_version_answered(s, number, nev);
		break;
	case SOAK_CALL_OLD_VERSION:
		soak_old_version_answered(s, number, nev);
		break;
	case SOAK_CALL_LEAVE:
		if (nev->u.response.result == MLK_HTTP_OK)
			soak_worker_leave_answered(s, number);
		break;
	case SOAK_CALL_ANNOUNCE:
		break;
	}
}

static void
tick(struct soak *s)
{
	s->traffic_over = s->now >= end_of_traffic(s);
	soak_store_tick(s);
	soak_evacuations_tick(s);
	soak_workers_tick(s);
	soak_procs_tick(s);
	soak_faults_tick(s);
	if (s->now >= s->started + WARM_UP_MS)
		soak_callers_tick(s);
	if (s->now >= end_of_traffic(s) + SETTLE_MS)
		mlk_loop_stop(s->loop);
}

static void
handle(void *arg, const struct mlk_net_event *nev)
{
	struct soak *s = arg;

	s->now = mlk_clock_now(s->clock) / NS_PER_MS;
	switch (nev->type) {
	case MLK_NET_HTTP_REQUEST:
		request(s, &nev->u.http);
		break;
	case MLK_NET_HTTP_RESPONSE:
		response(s, nev);
		break;
	case MLK_NET_TICK:
		tick(s);
		break;
	case MLK_NET_STOP:
		soak_violation(s, "interrupted");
		mlk_loop_stop(s->loop);
		break;
	default:
		break;
	}
}

static bool
listen_all(struct soak *s, struct mlk_error *err)
{
	char addr[MLK_ADDR_MAX];
	uint32_t i;

	soak_store_addr(s, addr);
	if (mlk_loop_listen_http(s->loop, addr, err) != 0)
		return (false);
	for (i = 0; i < s->options.workers; i++) {
		soak_agent_addr(s, i, SOAK_PORT_WORKERS + i, addr);
		if (mlk_loop_listen_http(s->loop, addr, err) != 0)
			return (false);
	}
	return (true);
}

static bool
open_soak(struct soak *s, struct mlk_error *err)
{
	struct mlk_loop_options options = { 0 };
	uint32_t i;

	s->clock = mlk_clock_system();
	mlk_rng_seed(&s->rng, s->options.seed);
	mlk_rng_seed(&s->evacuation_rng, s->options.seed);
	s->port = (uint16_t)(20000 + (uint32_t)getpid() % 400 * 30);
	s->started = mlk_clock_now(s->clock) / NS_PER_MS;
	s->now = s->started;
	s->next_job = s->started + WARM_UP_MS;
	s->next_fault = s->started + WARM_UP_MS;
	s->next_evacuation = s->started + WARM_UP_MS;
	s->rows = g_array_new(FALSE, FALSE, sizeof(struct soak_row));
	s->published_versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	s->polls = g_array_new(FALSE, FALSE, sizeof(struct soak_poll));
	s->answers = g_array_new(FALSE, FALSE, sizeof(struct soak_answer));
	s->late = g_array_new(FALSE, FALSE, sizeof(struct soak_late_start));
	s->jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	options.arg = s;
	options.handle = handle;
	options.clock = s->clock;
	options.tick_ms = TICK_MS;
	options.http_body_max = BODY_MAX;
	options.http_header_timeout_s = 60;
	options.http_max_connections = 4000;
	soak_links_create(s);
	s->loop = mlk_loop_create(&options, err);
	if (s->loop == NULL || !listen_all(s, err))
		return (false);
	soak_store_routes(s, 1);
	for (i = 0; i < s->options.workers; i++)
		soak_worker_start(s, i, false);
	return (true);
}

/*
 * Checks that all jobs complete that were submitted after the recovery time.
 * Jobs whose caller disconnected are not counted, refused jobs are.
 */
static void
check_service(struct soak *s)
{
	GHashTableIter iter;
	struct soak_job *job;
	uint32_t submitted = 0, served = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job = value;
		if (job->created <
			end_of_traffic(s) - FAULT_FREE_MS + RECOVERY_MS ||
		    job->disconnected_at != 0)
			continue;
		submitted++;
		served += job->completed;
	}
	if (submitted == 0 || served < submitted)
		soak_violation(s, "service: %u of %u jobs after the faults",
		    served, submitted);
	s->jobs_after_faults = submitted;
	s->completed_after_faults = served;
}

static void
close_soak(struct soak *s)
{
	char path[128];
	guint i;

	mlk_loop_destroy(s->loop);
	soak_procs_end(s);
	soak_links_destroy(s);
	soak_store_clear(s);
	(void)g_array_free(s->late, TRUE);
	g_hash_table_destroy(s->by_id);
	g_hash_table_destroy(s->jobs);
	for (i = 0; s->violations == 0 && i < s->nprocs; i++) {
		(void)snprintf(
		    path, sizeof(path), "%s/%s.yaml", s->dir, s->procs[i].id);
		(void)g_unlink(path);
		(void)snprintf(
		    path, sizeof(path), "%s/%s.log", s->dir, s->procs[i].id);
		(void)g_unlink(path);
	}
	if (s->violations == 0)
		(void)g_rmdir(s->dir);
	else
		(void)printf("logs are kept in %s\n", s->dir);
}

static bool
options_parse(int *argc, char ***argv, struct soak_options *o)
{
	gint seed = 1, seconds = 40, entries = 3, workers = 4, jobs = 40;
	gboolean calm = FALSE, evacuate = FALSE;
	gchar *programs = NULL, *entry = NULL, *agent = NULL;
	GOptionEntry entries_of[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		    "duration; the last 16 s are without faults", "N" },
		{ "entries", 0, 0, G_OPTION_ARG_INT, &entries,
		    "number of entries, 1 to 4", "N" },
		{ "workers", 0, 0, G_OPTION_ARG_INT, &workers,
		    "number of workers, 1 to 12", "N" },
		{ "jobs", 0, 0, G_OPTION_ARG_INT, &jobs, "jobs per second",
		    "N" },
		{ "calm", 0, 0, G_OPTION_ARG_NONE, &calm, "no faults", NULL },
		{ "evacuate", 0, 0, G_OPTION_ARG_NONE, &evacuate,
		    "evacuate data centres", NULL },
		{ "programs", 0, 0, G_OPTION_ARG_STRING, &programs,
		    "directory of the programs", "DIR" },
		{ "entry", 0, 0, G_OPTION_ARG_STRING, &entry,
		    "entry program to use instead", "PATH" },
		{ "agent", 0, 0, G_OPTION_ARG_STRING, &agent,
		    "agent program to use instead", "PATH" },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context;
	GError *error = NULL;
	bool ok;

	context = g_option_context_new("- soak test with fault injection");
	g_option_context_add_main_entries(context, entries_of, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!ok) {
		(void)fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	if (ok &&
	    (programs == NULL || seconds < 20 || entries < 1 ||
		entries > (gint)SOAK_ENTRIES_MAX || workers < 1 ||
		workers > (gint)SOAK_WORKERS_MAX || jobs < 1 || jobs > 1000)) {
		(void)fprintf(stderr,
		    "expected --programs DIR, --seconds 20 and up, --entries "
		    "1..4, --workers 1..12, --jobs 1..1000\n");
		ok = false;
	}
	o->seed = (uint64_t)seed;
	o->seconds = (uint32_t)seconds;
	o->entries = (uint32_t)entries;
	o->workers = (uint32_t)workers;
	o->jobs_per_s = (uint32_t)jobs;
	o->calm = calm;
	o->evacuate = evacuate;
	o->programs = programs;
	o->entry = entry;
	o->agent = agent;
	return (ok);
}

int
main(int argc, char **argv)
{
	static struct soak s;
	struct mlk_error err = { 0 };
	int status = 2;

	(void)setvbuf(stdout, NULL, _IOLBF, 0);
	if (!options_parse(&argc, &argv, &s.options))
		return (status);
	if (!open_soak(&s, &err) || soak_procs_create(&s) != 0) {
		(void)fprintf(stderr, "cannot start: %s\n", err.msg);
	} else {
		(void)mlk_loop_run(s.loop);
		check_service(&s);
		status = s.violations > 0;
	}
	(void)printf(
	    "seed %" PRIu64 ": %" PRIu64 " jobs, %u completed, "
	    "%u failed, %u refused, %u unanswered, %u left; %u faults; "
	    "%u of %u after them; %u violations\n",
	    s.options.seed, s.last_job, s.completed, s.failed, s.refused,
	    s.unanswered, s.disconnected, s.faults, s.completed_after_faults,
	    s.jobs_after_faults, s.violations);
	if (s.options.evacuate) {
		(void)printf("%u evacuations, last start %" PRId64
			     " ms after one\n",
		    s.evacuations, s.evacuation_ms);
	}
	close_soak(&s);
	return (status);
}
