/*
 * monsoonlock-config-bench: measures how long confirmed configurations take to
 * reach all processes.  Confirms one change after the other under a light load,
 * and polls the metrics pages of all entries and agents until they report the
 * version.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "deploy.h"
#include "fetch.h"

#define CHANGES 100
#define ENTRIES 3
#define WORKERS 10
#define SLOTS 8
#define OPERATOR_TOKEN "operator-token-bench"
#define POLL_US 5000 /* interval between two reads of a metrics page */
#define READY_TIMEOUT_MS 20000
#define CHANGE_TIMEOUT_US 10000000 /* a change that takes longer has failed */
#define PAUSE_US 50000 /* between two changes */
#define CALL_TIMEOUT_S 10
#define LOAD_THREADS 4
#define TASK_MS 50
#define JOB_PAUSE_US 20000 /* of a load thread, between two jobs */
#define TARGET_P99_MS 1000.0
#define TARGET_WORST_MS 4000.0
#define US_PER_MS 1000.0
#define LONG_CAP_MIN 300 /* permille; value of the first long_cap intent */

/* Polls the metrics page of one process. */
struct poller {
	GThread *thread;
	char addr[MLK_ADDR_MAX];
	char gauge[64]; /* newline, metric name and space */
	uint64_t version; /* to wait for */
	int64_t reported_at; /* monotonic us; 0: not reported */
};

struct bench {
	struct mlk_deploy *deploy;
	struct poller pollers[ENTRIES + WORKERS];
	char entries[ENTRIES][MLK_ADDR_MAX];
	int npollers;
	gint stop;
	gint jobs;
	gint jobs_bad; /* not complete */
	double ms[CHANGES]; /* time to reach all processes */
};

/*
 * Sends jobs one after the other until the bench ends.
 */
static gpointer
run_load(gpointer arg)
{
	struct bench *b = arg;
	GString *out = g_string_new(NULL);
	struct mlk_error err;
	char body[160];
	int n, status;

	while (g_atomic_int_get(&b->stop) == 0) {
		n = g_atomic_int_add(&b->jobs, 1);
		(void)snprintf(body, sizeof(body),
		    "{\"id\":\"bench-%d\",\"tasks\":[{\"kind\":\"a\","
		    "\"payload\":\"ms=%d\"}]}",
		    n, TASK_MS);
		status = 0;
		if (mlk_fetch("POST", b->entries[n % ENTRIES], "/v1/jobs", body,
			CALL_TIMEOUT_S, &status, out, &err) != 0 ||
		    status != 200 || strstr(out->str, "\"complete\"") == NULL)
			(void)g_atomic_int_add(&b->jobs_bad, 1);
		g_usleep(JOB_PAUSE_US);
	}
	(void)g_string_free(out, TRUE);
	return (NULL);
}

/*
 * Polls one process until it reports the version or the time-out expires.
 */
static gpointer
run_poller(gpointer arg)
{
	struct poller *p = arg;
	int64_t end = g_get_monotonic_time() + CHANGE_TIMEOUT_US;
	GString *page = g_string_new(NULL);
	struct mlk_error err;
	const char *at;
	int status;

	while (p->reported_at == 0 && g_get_monotonic_time() < end) {
		at = NULL;
		if (mlk_fetch("GET", p->addr, "/metrics", NULL, CALL_TIMEOUT_S,
			&status, page, &err) == 0)
			at = strstr(page->str, p->gauge);
		if (at != NULL &&
		    strtoull(at + strlen(p->gauge), NULL, 10) >= p->version)
			p->reported_at = g_get_monotonic_time();
		else
			g_usleep(POLL_US);
	}
	(void)g_string_free(page, TRUE);
	return (NULL);
}

/*
 * Sends a POST request as operator.  Returns the JSON of an answer with status
 * 200, or NULL.
 */
static json_t *
post(const char *addr, const char *path, const char *body)
{
	GString *out = g_string_new(NULL);
	json_t *answer = NULL;
	struct mlk_error err;
	int status = 0;

	if (mlk_fetch_as(OPERATOR_TOKEN, "POST", addr, path, body,
		CALL_TIMEOUT_S, &status, out, &err) == 0 &&
	    status == 200)
		answer = json_loadb(out->str, out->len, 0, NULL);
	else
		(void)fprintf(stderr, "%s: status %d %s\n", path, status,
		    status == 0 ? err.msg : out->str);
	(void)g_string_free(out, TRUE);
	return (answer);
}

/*
 * Plans and confirms one change.  Returns the new version, or 0 on failure.
 */
static uint64_t
change(const char *addr, int value)
{
	json_t *plan, *answer = NULL;
	uint64_t version;
	char *body, *path;

	body = g_strdup_printf("{\"change\":{\"remove\":false,\"intent\":"
			       "{\"type\":\"long_cap\",\"value\":%d}}}",
	    value);
	plan = post(addr, "/v1/plans", body);
	g_free(body);
	if (plan == NULL)
		return (0);
	path = g_strdup_printf("/v1/plans/%s/confirm",
	    json_string_value(json_object_get(plan, "digest")));
	(void)json_object_del(plan, "effects");
	(void)json_object_del(plan, "digest");
	body = json_dumps(plan, JSON_COMPACT);
	answer = post(addr, path, body);
	version =
	    (uint64_t)json_integer_value(json_object_get(answer, "version"));
	free(body);
	g_free(path);
	json_decref(answer);
	json_decref(plan);
	return (version);
}

/*
 * Makes one change.  Returns the time in ms from the answer to its confirm
 * until the last process reports it; negative when not all reported it in time.
 */
static double
measure(struct bench *b, int n)
{
	uint64_t version;
	int64_t start, last = 0;
	int i;

	version = change(b->entries[n % ENTRIES], LONG_CAP_MIN + n);
	start = g_get_monotonic_time();
	if (version == 0)
		return (-1);
	for (i = 0; i < b->npollers; i++) {
		b->pollers[i].version = version;
		b->pollers[i].reported_at = 0;
		b->pollers[i].thread =
		    g_thread_new("poller", run_poller, &b->pollers[i]);
	}
	for (i = 0; i < b->npollers; i++)
		(void)g_thread_join(b->pollers[i].thread);
	for (i = 0; i < b->npollers; i++) {
		if (b->pollers[i].reported_at == 0)
			return (-1);
		last = MAX(last, b->pollers[i].reported_at);
	}
	return ((double)(last - start) / US_PER_MS);
}

/*
 * Sets up a poller for each entry and agent.
 */
static void
find_processes(struct bench *b)
{
	const struct mlk_deploy_process *p;
	uint32_t i;

	for (i = 0; i < mlk_deploy_count(b->deploy); i++) {
		p = mlk_deploy_at(b->deploy, i);
		if (p->role < MLK_DEPLOY_AGENT)
			continue;
		if (p->role == MLK_DEPLOY_ENTRY)
			memcpy(b->entries[p->index], p->http, sizeof(p->http));
		memcpy(b->pollers[b->npollers].addr, p->http, sizeof(p->http));
		(void)snprintf(b->pollers[b->npollers].gauge,
		    sizeof(b->pollers[b->npollers].gauge),
		    "\nmonsoonlock_%s_config_version ",
		    p->role == MLK_DEPLOY_ENTRY ? "entry" : "agent");
		b->npollers++;
	}
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return ((x > y) - (x < y));
}

static double
quantile(const double *sorted, double q)
{
	int at = (int)ceil(q * CHANGES) - 1;

	return (sorted[at < 0 ? 0 : at]);
}

/*
 * Prints the result.  Returns whether the targets of docs/design.md section 1.7
 * are met.
 */
static bool
print_result(struct bench *b, int failed)
{
	double p99;

	qsort(b->ms, CHANGES, sizeof(b->ms[0]), compare_doubles);
	p99 = quantile(b->ms, 0.99);
	(void)printf("%d changes, %d entries, %d agents, %d jobs (%d not "
		     "complete)\n",
	    CHANGES, ENTRIES, WORKERS, g_atomic_int_get(&b->jobs),
	    g_atomic_int_get(&b->jobs_bad));
	(void)printf("in effect everywhere: p50 %.1f ms, p99 %.1f ms, worst "
		     "%.1f ms, not within %d s: %d\n",
	    quantile(b->ms, 0.5), p99, b->ms[CHANGES - 1],
	    CHANGE_TIMEOUT_US / 1000000, failed);
	return (failed == 0 && p99 <= TARGET_P99_MS &&
	    b->ms[CHANGES - 1] <= TARGET_WORST_MS && b->jobs_bad == 0);
}

static bool
run(struct bench *b)
{
	GThread *threads[LOAD_THREADS];
	int i, failed = 0;

	find_processes(b);
	for (i = 0; i < LOAD_THREADS; i++)
		threads[i] = g_thread_new("load", run_load, b);
	for (i = 0; i < CHANGES; i++) {
		b->ms[i] = measure(b, i);
		failed += b->ms[i] < 0;
		g_usleep(PAUSE_US);
	}
	g_atomic_int_set(&b->stop, 1);
	for (i = 0; i < LOAD_THREADS; i++)
		(void)g_thread_join(threads[i]);
	return (print_result(b, failed));
}

int
main(int argc, char **argv)
{
	struct mlk_deploy_options options = { .entries = ENTRIES,
		.workers = WORKERS,
		.slots = SLOTS,
		.dcs = 3,
		.operator_token = OPERATOR_TOKEN };
	static struct bench b;
	struct mlk_error err = { 0 };
	bool ok = false;

	if (argc != 2) {
		(void)fprintf(
		    stderr, "usage: monsoonlock-config-bench BUILD_DIR\n");
		return (2);
	}
	options.bin_dir = argv[1];
	if (mlk_deploy_create(&options, &b.deploy, &err) == 0 &&
	    mlk_deploy_start(b.deploy, &err) == 0 &&
	    mlk_deploy_wait_ready(b.deploy, READY_TIMEOUT_MS, &err) == 0)
		ok = run(&b);
	else
		(void)fprintf(
		    stderr, "monsoonlock-config-bench: %s\n", err.msg);
	mlk_deploy_destroy(b.deploy);
	return (ok ? 0 : 1);
}
