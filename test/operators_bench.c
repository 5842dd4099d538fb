/*
 * Requests of operators and callers to a deployment on loopback, and a
 * background load.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fetch.h"
#include "operators_bench.h"

#define ENTRIES 3
#define WORKERS 4
#define SLOTS 8
#define CALL_TIMEOUT_S 5
#define JOB_TIMEOUT_S 15
#define READY_TIMEOUT_MS 15000
#define POLL_US 5000
#define US_PER_MS 1000
#define LOAD_THREADS 8
#define TASKS_PER_JOB 3

static const struct mlk_deploy_options options = {
	.bin_dir = MLK_BIN_DIR,
	.entries = ENTRIES,
	.workers = WORKERS,
	.slots = SLOTS,
	.dcs = 2,
	.operator_token = OPS_ALICE,
	/* Added to the list of tokens that deploy_settings.c begins. */
	.entry_settings =
	    "  - {name: bob, role: operator, token: \"" OPS_BOB "\"}\n",
};

struct load {
	GThread *threads[LOAD_THREADS];
	uint32_t task_ms;
	gint stop;
	gint jobs;
	gint incomplete;
	GMutex lock;
	char first_incomplete[512];
};

struct mlk_deploy *ops_deploy;
static struct load load;

int
ops_setup(void **state)
{
	struct mlk_error err = { 0 };

	(void)state;
	if (mlk_deploy_create(&options, &ops_deploy, &err) != 0 ||
	    mlk_deploy_start(ops_deploy, &err) != 0 ||
	    mlk_deploy_wait_ready(ops_deploy, READY_TIMEOUT_MS, &err) != 0) {
		(void)fprintf(stderr, "%s\n", err.msg);
		mlk_deploy_destroy(ops_deploy);
		return (-1);
	}
	return (0);
}

int
ops_teardown(void **state)
{
	(void)state;
	mlk_deploy_destroy(ops_deploy);
	return (0);
}

const char *
ops_addr(const char *name)
{
	const struct mlk_deploy_process *p = mlk_deploy_find(ops_deploy, name);

	assert_non_null(p);
	return (p->http);
}

/*
 * Makes a request.  Returns the HTTP status, or 0 when there was no answer
 * within timeout_s.
 */
int
ops_call(const char *token, const char *entry, const char *method,
    const char *path, const char *body, uint32_t timeout_s, json_t **answer)
{
	GString *out = g_string_new(NULL);
	struct mlk_error err;
	int status = 0;

	if (mlk_fetch_as(token, method, ops_addr(entry), path, body, timeout_s,
		&status, out, &err) != 0)
		status = 0;
	if (answer != NULL)
		*answer = status == 0 ? NULL :
					json_loadb(out->str, out->len, 0, NULL);
	(void)g_string_free(out, TRUE);
	return (status);
}

void
ops_plan_read(const json_t *answer, struct ops_plan *out)
{
	const char *digest =
	    json_string_value(json_object_get(answer, "digest"));

	assert_non_null(digest);
	(void)g_strlcpy(out->digest, digest, sizeof(out->digest));
	out->base = (uint64_t)json_integer_value(
	    json_object_get(answer, "base_version"));
	out->change = json_incref(json_object_get(answer, "change"));
}

static void
post_plan(
    const char *token, const char *entry, json_t *body, struct ops_plan *out)
{
	char *text = json_dumps(body, JSON_COMPACT);
	json_t *answer;

	assert_int_equal(ops_call(token, entry, "POST", "/v1/plans", text,
			     CALL_TIMEOUT_S, &answer),
	    200);
	ops_plan_read(answer, out);
	json_decref(answer);
	json_decref(body);
	free(text);
}

void
ops_plan(const char *token, const char *entry, const char *type,
    const char *subject, int value, struct ops_plan *out)
{
	post_plan(token, entry,
	    json_pack("{s{sbs{sssssisssi}}}", "change", "remove", 0, "intent",
		"type", type, "subject", subject, "value", value, "reason",
		"test", "expires", 0),
	    out);
}

void
ops_plan_remove(
    const char *token, const char *entry, const char *id, struct ops_plan *out)
{
	post_plan(token, entry,
	    json_pack(
		"{s{sbs{ss}}}", "change", "remove", 1, "intent", "id", id),
	    out);
}

void
ops_plan_clear(struct ops_plan *plan)
{
	json_decref(plan->change);
	plan->change = NULL;
}

/*
 * Confirms a plan.  Returns the HTTP status, or 0 when there was no answer
 * within timeout_s.
 */
int
ops_confirm(const char *token, const char *entry, const struct ops_plan *plan,
    uint32_t timeout_s, json_t **answer)
{
	char path[128], *text;
	json_t *body;
	int status;

	body = json_pack("{sIsO}", "base_version", (json_int_t)plan->base,
	    "change", plan->change);
	text = json_dumps(body, JSON_COMPACT);
	(void)snprintf(
	    path, sizeof(path), "/v1/plans/%s/confirm", plan->digest);
	status = ops_call(token, entry, "POST", path, text, timeout_s, answer);
	json_decref(body);
	free(text);
	return (status);
}

uint64_t
ops_version(const json_t *answer)
{
	return (
	    (uint64_t)json_integer_value(json_object_get(answer, "version")));
}

/*
 * Confirms a plan as alice, asserts that this succeeds, and returns the
 * version.
 */
uint64_t
ops_confirm_ok(const char *entry, const struct ops_plan *plan)
{
	json_t *answer;
	uint64_t version;

	assert_int_equal(
	    ops_confirm(OPS_ALICE, entry, plan, CALL_TIMEOUT_S, &answer), 200);
	version = ops_version(answer);
	json_decref(answer);
	return (version);
}

uint32_t
ops_audit_records(const char *entry, const char *digest)
{
	const json_t *records, *record;
	json_t *answer;
	uint32_t n = 0;
	size_t i;

	assert_int_equal(ops_call(OPS_ALICE, entry, "GET", "/v1/audit", NULL,
			     CALL_TIMEOUT_S, &answer),
	    200);
	records = json_object_get(answer, "records");
	json_array_foreach(records, i, record)
	{
		assert_int_equal(ops_version(record), i + 1);
		n += strcmp(digest,
			 json_string_value(
			     json_object_get(record, "digest"))) == 0;
	}
	json_decref(answer);
	return (n);
}

uint64_t
ops_audit_count(const char *entry)
{
	json_t *answer;
	uint64_t version;

	assert_int_equal(ops_call(OPS_ALICE, entry, "GET", "/v1/audit", NULL,
			     CALL_TIMEOUT_S, &answer),
	    200);
	version = json_array_size(json_object_get(answer, "records"));
	json_decref(answer);
	return (version);
}

/*
 * Reads a gauge of an entry or an agent.  Returns 0, or -1 when the process
 * does not answer or has no such gauge.
 */
int
ops_metric(const char *process, const char *gauge, uint64_t *out)
{
	const struct mlk_deploy_process *p =
	    mlk_deploy_find(ops_deploy, process);
	GString *page = g_string_new(NULL);
	struct mlk_error err;
	const char *found;
	int rc, status = 0;
	char *line;

	rc =
	    mlk_fetch("GET", p->http, "/metrics", NULL, 1, &status, page, &err);
	line = g_strdup_printf("\nmonsoonlock_%s_%s ",
	    p->role == MLK_DEPLOY_ENTRY ? "entry" : "agent", gauge);
	found = rc == 0 ? strstr(page->str, line) : NULL;
	if (found != NULL)
		*out = strtoull(found + strlen(line), NULL, 10);
	g_free(line);
	(void)g_string_free(page, TRUE);
	return (found == NULL ? -1 : 0);
}

uint64_t
ops_config_version(const char *process)
{
	uint64_t version = 0;

	assert_int_equal(ops_metric(process, "config_version", &version), 0);
	return (version);
}

/*
 * Waits until all running entries and agents have this configuration version or
 * a later one; fails the test after timeout_ms.
 */
void
ops_wait_version(uint64_t version, uint32_t timeout_ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)timeout_ms * US_PER_MS;
	const struct mlk_deploy_process *p;
	uint32_t i = 0;

	while (i < mlk_deploy_count(ops_deploy)) {
		p = mlk_deploy_at(ops_deploy, i);
		if (p->role < MLK_DEPLOY_AGENT || p->pid == 0 ||
		    ops_config_version(p->name) >= version) {
			i++;
			continue;
		}
		if (g_get_monotonic_time() > end)
			fail_msg("%s is below version %u", p->name,
			    (unsigned int)version);
		g_usleep(POLL_US);
	}
}

void
ops_wait_ready(void)
{
	struct mlk_error err;

	if (mlk_deploy_wait_ready(ops_deploy, READY_TIMEOUT_MS, &err) != 0)
		fail_msg("%s", err.msg);
}

uint32_t
ops_starts(const char *endpoint)
{
	const struct mlk_deploy_process *p =
	    mlk_deploy_find(ops_deploy, endpoint);
	char *path, *text;
	const char *at;
	uint32_t run, n = 0;

	for (run = 1; run <= p->starts; run++) {
		path = g_strdup_printf("%s/%s.starts.%u",
		    mlk_deploy_dir(ops_deploy), endpoint, run);
		assert_true(g_file_get_contents(path, &text, NULL, NULL));
		for (at = strchr(text, '\n'); at != NULL;
		     at = strchr(at + 1, '\n'))
			n++;
		g_free(text);
		g_free(path);
	}
	return (n);
}

/* ---- load ------------------------------------------------------------ */

static void
submit_job(uint32_t thread, uint32_t n)
{
	GString *body = g_string_new(NULL);
	json_t *answer;
	char entry[MLK_NAME_MAX], *text;
	const char *outcome;
	int status, i;

	g_string_printf(body, "{\"id\":\"load-%lld-%u-%u\",\"tasks\":[",
	    (long long)g_get_monotonic_time(), thread, n);
	for (i = 0; i < TASKS_PER_JOB; i++) {
		g_string_append_printf(body,
		    "%s{\"kind\":\"a\",\"payload\":\"ms=%u\"}",
		    i == 0 ? "" : ",", load.task_ms);
	}
	g_string_append(body, "]}");
	(void)snprintf(
	    entry, sizeof(entry), "entry-%u", (thread + n) % ENTRIES + 1);
	status = ops_call(
	    NULL, entry, "POST", "/v1/jobs", body->str, JOB_TIMEOUT_S, &answer);
	outcome = json_string_value(json_object_get(answer, "outcome"));
	(void)g_atomic_int_add(&load.jobs, 1);
	if (status != 200 || outcome == NULL ||
	    strcmp(outcome, "complete") != 0) {
		text = json_dumps(answer, JSON_COMPACT);
		g_mutex_lock(&load.lock);
		if (g_atomic_int_add(&load.incomplete, 1) == 0) {
			(void)snprintf(load.first_incomplete,
			    sizeof(load.first_incomplete), "status %d: %.400s",
			    status, text == NULL ? "" : text);
		}
		g_mutex_unlock(&load.lock);
		free(text);
	}
	json_decref(answer);
	(void)g_string_free(body, TRUE);
}

static gpointer
run_load(gpointer arg)
{
	uint32_t n = 0;

	while (g_atomic_int_get(&load.stop) == 0)
		submit_job(GPOINTER_TO_UINT(arg), n++);
	return (NULL);
}

void
ops_load_begin(uint32_t task_ms)
{
	uint32_t i;

	load.task_ms = task_ms;
	g_atomic_int_set(&load.stop, 0);
	g_atomic_int_set(&load.jobs, 0);
	g_atomic_int_set(&load.incomplete, 0);
	for (i = 0; i < LOAD_THREADS; i++)
		load.threads[i] =
		    g_thread_new("load", run_load, GUINT_TO_POINTER(i));
}

void
ops_load_end(void)
{
	uint32_t i;

	g_atomic_int_set(&load.stop, 1);
	for (i = 0; i < LOAD_THREADS; i++)
		(void)g_thread_join(load.threads[i]);
	print_message("load: %d jobs\n", g_atomic_int_get(&load.jobs));
	assert_true(g_atomic_int_get(&load.jobs) > LOAD_THREADS);
	if (g_atomic_int_get(&load.incomplete) != 0)
		fail_msg("%d jobs are not complete; the first: %s",
		    g_atomic_int_get(&load.incomplete), load.first_incomplete);
}
