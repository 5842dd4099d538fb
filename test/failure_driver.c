/*
 * Runs a deployment under load and faults, and asserts what must hold in every
 * failure: no task starts twice, complete answers have all results, and tasks
 * that were reported as not run did not run.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "failure_driver.h"
#include "fetch.h"

#define READY_TIMEOUT_MS 20000U
#define DRAIN_S 25.0 /* for the last answers; above the longest recovery */
#define CALL_TIMEOUT_S 15U
#define CALL_THREADS 96
#define CALL_PAUSE_US 20000 /* between two attempts of a call */
#define PRINTED_JOBS_MAX 8U

int
failure_setup(void **state)
{
	*state = g_new0(struct failure, 1);
	return (0);
}

/*
 * Ends the processes of a test, also after a failed assertion.  Entries and
 * agents are killed: when all entries stop as planned at once, none is left to
 * hand partitions over to, and the stop takes seconds.
 */
int
failure_teardown(void **state)
{
	struct failure *f = *state;
	const struct mlk_deploy_process *p;
	struct mlk_error err;
	uint32_t i;

	for (i = 0; f->deploy != NULL && i < mlk_deploy_count(f->deploy); i++) {
		p = mlk_deploy_at(f->deploy, i);
		if (p->role >= MLK_DEPLOY_AGENT)
			(void)mlk_deploy_kill(f->deploy, p->name, &err);
	}
	mlk_deploy_destroy(f->deploy);
	mlk_load_stats_free(f->stats);
	if (f->arrivals != NULL)
		mlk_load_run_clear(&f->run);
	mlk_load_arrivals_free(f->arrivals);
	mlk_load_scenario_free(f->sc);
	g_free(f);
	return (0);
}

static char *
scenario_text(const struct failure_options *o)
{
	static const char small[] = "  - {share: 1, min: 1, max: 4}\n";
	static const char mixed[] = "  - {share: 0.9, min: 1, max: 6}\n"
				    "  - {share: 0.1, min: 20, max: 50}\n";

	return (g_strdup_printf(
	    "name: failure\nduration: %.1f\nseed: %llu\nentries: %u\n"
	    "workers: %u\nslots: %u\nload: %.2f\nissued_ids: %s\n"
	    "kinds:\n  - {name: lookup, share: 1, min_ms: 50, max_ms: 200}\n"
	    "tasks_per_job:\n%s%s%s",
	    o->duration_s, (unsigned long long)o->seed, FAILURE_ENTRIES,
	    o->workers, FAILURE_SLOTS, o->load,
	    o->issued_ids ? "true" : "false", o->small_jobs ? small : mixed,
	    o->faults == NULL ? "" : "faults:\n",
	    o->faults == NULL ? "" : o->faults));
}

static void
set_targets(struct failure *f)
{
	const struct mlk_deploy_process *p;
	uint32_t i;

	f->run.targets = g_malloc0_n(FAILURE_ENTRIES, sizeof(*f->run.targets));
	for (i = 0; i < mlk_deploy_count(f->deploy); i++) {
		p = mlk_deploy_at(f->deploy, i);
		if (p->role == MLK_DEPLOY_ENTRY)
			(void)g_strlcpy(f->run.targets[f->run.ntargets++],
			    p->http, MLK_ADDR_MAX);
	}
}

/*
 * Starts the deployment and waits until it is ready.  When MLK_KEEP is set in
 * the environment, its logs are kept and their directory is printed.
 */
void
failure_start(struct failure *f, const struct failure_options *o)
{
	struct mlk_deploy_options options = {
		.bin_dir = MLK_BIN_DIR,
		.entries = FAILURE_ENTRIES,
		.workers = o->workers,
		.slots = FAILURE_SLOTS,
		.dcs = o->dcs,
		.keep = g_getenv("MLK_KEEP") != NULL,
		.route = o->route,
		.route_arg = o->route_arg,
	};
	char *text = scenario_text(o);
	struct mlk_error err;
	int error;

	error = mlk_load_scenario_parse(
	    text, strlen(text), "failure", &f->sc, &err);
	g_free(text);
	if (error == 0)
		error = mlk_load_arrivals_create(f->sc, &f->arrivals, &err);
	if (error == 0)
		error = mlk_deploy_create(&options, &f->deploy, &err);
	if (error == 0)
		error = mlk_deploy_start(f->deploy, &err);
	if (error == 0)
		error =
		    mlk_deploy_wait_ready(f->deploy, READY_TIMEOUT_MS, &err);
	if (error != 0)
		fail_msg("%s", err.msg);
	if (options.keep)
		print_message("logs: %s\n", mlk_deploy_dir(f->deploy));
	f->run.sc = f->sc;
	f->run.arrivals = f->arrivals;
	f->run.policy = "credits";
	f->run.deploy = f->deploy;
	f->run.drain_s = DRAIN_S;
	set_targets(f);
}

/*
 * Returns the number of distinct tasks of a job that the endpoints started.
 */
uint32_t
failure_tasks_started(const struct failure *f, const char *id, uint32_t ntasks)
{
	uint32_t i, n = 0;

	for (i = 0; i < ntasks; i++) {
		if (mlk_load_start_log_count(
			f->run.start_log, mlk_key_from_id(id), i) > 0)
			n++;
	}
	return (n);
}

/*
 * Reads the endpoints' start logs again and asserts that no task started twice.
 */
void
failure_check_starts(struct failure *f)
{
	struct mlk_error err;

	mlk_load_start_log_free(f->run.start_log);
	f->run.start_log = mlk_load_start_log_create();
	if (mlk_load_start_log_read_dir(
		f->run.start_log, mlk_deploy_dir(f->deploy), &err) != 0)
		fail_msg("%s", err.msg);
	assert_int_equal(f->run.start_log->bad_lines, 0);
	assert_int_equal(f->run.start_log->twice, 0);
}

/*
 * Asserts for each job that tasks that were reported as not run are in no start
 * log, however often the job was submitted.
 */
static void
check_not_run(const struct failure *f)
{
	const struct mlk_load_verdict *v;
	uint32_t i, ntasks, seen, bound;

	for (i = 0; i < f->arrivals->n; i++) {
		v = &f->run.records[i].verdict;
		ntasks = f->arrivals->jobs[i].ntasks;
		if (f->run.records[i].id == NULL)
			continue;
		bound =
		    v->outcome == MLK_LOAD_REFUSED ? 0 : ntasks - v->not_run;
		seen = failure_tasks_started(f, f->run.records[i].id, ntasks);
		if (seen > bound)
			fail_msg("%s: %u tasks ran, at most %u may have",
			    f->run.records[i].id, seen, bound);
	}
}

/*
 * Runs the load with its faults.  Asserts that no task started twice and that
 * all jobs are in the statistics; failure_print() checks their answers.
 */
void
failure_run_load(struct failure *f)
{
	struct mlk_error err;

	if (mlk_load_drive(&f->run, &err) != 0)
		fail_msg("%s", err.msg);
	failure_check_starts(f);
	f->stats = mlk_load_stats_create(&f->run);
	assert_int_equal(
	    f->stats->groups[MLK_LOAD_GROUP_ALL].jobs, f->arrivals->n);
}

/*
 * Returns the number of submissions whose connection was lost after at least
 * one byte was sent.
 */
uint64_t
failure_calls_interrupted(const struct failure *f)
{
	return (f->run.calls_lost - f->run.calls_not_sent);
}

static void
print_job(const struct failure *f, uint32_t job)
{
	const struct mlk_load_record *r = &f->run.records[job];
	uint32_t ntasks = f->arrivals->jobs[job].ntasks;

	print_message("  job at %.2f s ended %.2f s: %s: %s; %u of %u tasks "
		      "started\n",
	    (double)f->arrivals->jobs[job].at / (double)MLK_NSEC_PER_SEC,
	    (double)r->ended / (double)MLK_NSEC_PER_SEC,
	    mlk_load_outcome_name(r->verdict.outcome), r->verdict.reason,
	    r->id == NULL ? 0 : failure_tasks_started(f, r->id, ntasks),
	    ntasks);
}

/*
 * Prints the statistics of a load, so that a failed test shows them, and then
 * asserts that all jobs were answered in full, no two answers to a job differ,
 * and all tasks that are done are in a start log.
 */
void
failure_print(const struct failure *f, const char *name)
{
	const struct mlk_load_stats *s = f->stats;
	const struct mlk_load_group_stats *all = &s->groups[MLK_LOAD_GROUP_ALL];
	uint32_t i, printed = 0;

	print_message("%s: jobs %llu complete %llu failed %llu refused %llu "
		      "unknown %llu none %llu; tasks unknown %llu failed %llu "
		      "not_run %llu; starts %llu twice %llu; retries %llu cut "
		      "%llu; wait p99 %.1f ms max %.1f ms\n",
	    name, (unsigned long long)all->jobs,
	    (unsigned long long)all->outcomes[MLK_LOAD_COMPLETE],
	    (unsigned long long)all->outcomes[MLK_LOAD_FAILED],
	    (unsigned long long)all->outcomes[MLK_LOAD_REFUSED],
	    (unsigned long long)all->outcomes[MLK_LOAD_UNKNOWN],
	    (unsigned long long)all->outcomes[MLK_LOAD_NONE],
	    (unsigned long long)s->tasks_unknown,
	    (unsigned long long)s->tasks_failed,
	    (unsigned long long)s->tasks_not_run,
	    (unsigned long long)s->started,
	    (unsigned long long)s->started_twice,
	    (unsigned long long)s->retries,
	    (unsigned long long)failure_calls_interrupted(f), all->wait_ms.p99,
	    all->wait_ms.max);
	for (i = 0; i < f->arrivals->n && printed < PRINTED_JOBS_MAX; i++) {
		if (f->run.records[i].verdict.outcome == MLK_LOAD_COMPLETE)
			continue;
		printed++;
		print_job(f, i);
	}
	check_not_run(f);
	assert_int_equal(s->partial, 0);
	assert_int_equal(s->disagree, 0);
	assert_int_equal(s->complete_unseen, 0);
	assert_int_equal(all->outcomes[MLK_LOAD_NONE], 0);
}

/*
 * Returns how many jobs that arrived from from_s to to_s seconds did not
 * complete, and in *unknown the number of their unknown tasks.
 */
uint32_t
failure_not_complete(
    const struct failure *f, double from_s, double to_s, uint32_t *unknown)
{
	const struct mlk_load_verdict *v;
	uint32_t i, n = 0;
	double at_s;

	*unknown = 0;
	for (i = 0; i < f->arrivals->n; i++) {
		at_s =
		    (double)f->arrivals->jobs[i].at / (double)MLK_NSEC_PER_SEC;
		v = &f->run.records[i].verdict;
		if (at_s < from_s || at_s >= to_s ||
		    v->outcome == MLK_LOAD_COMPLETE)
			continue;
		n++;
		*unknown += v->unknown;
	}
	return (n);
}

/*
 * Returns how many jobs that arrived after at_s seconds did not complete.
 */
uint32_t
failure_not_complete_after(const struct failure *f, double at_s)
{
	uint32_t unknown;

	return (failure_not_complete(f, at_s, HUGE_VAL, &unknown));
}

/*
 * Returns how many jobs that arrived after at_s seconds ended as failed.
 */
uint32_t
failure_failed_after(const struct failure *f, double at_s)
{
	uint32_t i, n = 0;

	for (i = 0; i < f->arrivals->n; i++) {
		if ((double)f->arrivals->jobs[i].at >
			at_s * (double)MLK_NSEC_PER_SEC &&
		    f->run.records[i].verdict.outcome == MLK_LOAD_FAILED)
			n++;
	}
	return (n);
}

/*
 * Asserts that whether an id is unknown depends on its partition alone: among
 * the jobs that arrived after at_s seconds, no partition has both unknown and
 * complete ones.
 */
void
failure_unknown_by_partition(const struct failure *f, double at_s)
{
	uint32_t unknown[MLK_PARTITIONS] = { 0 },
		 complete[MLK_PARTITIONS] = { 0 };
	const struct mlk_load_record *r;
	uint32_t i, p, n = 0;

	for (i = 0; i < f->arrivals->n; i++) {
		r = &f->run.records[i];
		if ((double)f->arrivals->jobs[i].at <
		    at_s * (double)MLK_NSEC_PER_SEC)
			continue;
		p = mlk_key_partition(mlk_key_from_id(r->id));
		unknown[p] += r->verdict.outcome == MLK_LOAD_UNKNOWN;
		complete[p] += r->verdict.outcome == MLK_LOAD_COMPLETE;
	}
	for (p = 0; p < MLK_PARTITIONS; p++) {
		n += unknown[p] > 0;
		if (unknown[p] > 0 && complete[p] > 0)
			fail_msg("partition %u: %u jobs unknown, %u complete",
			    p, unknown[p], complete[p]);
	}
	print_message("partitions with unknown ids: %u of %u\n", n,
	    (uint32_t)MLK_PARTITIONS);
	assert_true(n < MLK_PARTITIONS);
}

const char *
failure_addr(struct failure *f, const char *name)
{
	return (mlk_deploy_find(f->deploy, name)->http);
}

/*
 * Returns the body of a submission with identical tasks, to be freed with
 * g_free().
 */
char *
failure_job_body(const char *id, uint32_t ntasks, const char *payload)
{
	GString *out = g_string_new(NULL);
	uint32_t i;

	g_string_printf(out, "{\"id\":\"%s\",\"tasks\":[", id);
	for (i = 0; i < ntasks; i++) {
		g_string_append_printf(out,
		    "%s{\"kind\":\"lookup\",\"payload\":\"%s\"}",
		    i == 0 ? "" : ",", payload);
	}
	g_string_append(out, "]}");
	return (g_string_free(out, FALSE));
}

struct failure_call *
failure_calls_create(uint32_t n)
{
	struct failure_call *calls = g_new0(struct failure_call, n);
	uint32_t i;

	for (i = 0; i < n; i++)
		calls[i].answer = g_string_new(NULL);
	return (calls);
}

void
failure_calls_free(struct failure_call *calls, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		(void)g_string_free(calls[i].answer, TRUE);
		g_free(calls[i].path);
		g_free(calls[i].body);
	}
	g_free(calls);
}

static void
run_call(gpointer data, gpointer unused)
{
	struct failure_call *c = data;
	int64_t deadline = mlk_clock_now(mlk_clock_system()) +
	    CALL_TIMEOUT_S * MLK_NSEC_PER_SEC;
	struct mlk_error err;

	(void)unused;
	do {
		if (mlk_fetch(c->method, c->addr, c->path, c->body,
			CALL_TIMEOUT_S, &c->status, c->answer, &err) != 0)
			c->status = 0;
		c->ended = mlk_clock_now(mlk_clock_system());
		if (!c->retry || (c->status != 0 && c->status != 503))
			return;
		(void)g_usleep(CALL_PAUSE_US);
	} while (c->ended < deadline);
}

/*
 * Makes calls concurrently and waits for all answers.
 */
void
failure_calls(struct failure_call *calls, uint32_t n)
{
	GThreadPool *pool =
	    g_thread_pool_new(run_call, NULL, CALL_THREADS, FALSE, NULL);
	uint32_t i;

	for (i = 0; i < n; i++)
		(void)g_thread_pool_push(pool, &calls[i], NULL);
	g_thread_pool_free(pool, FALSE, TRUE);
}

/*
 * Checks the answer to a submission and fills *verdict; without an answer all
 * its fields are 0.
 */
void
failure_check_answer(const struct failure_call *call, const char *id,
    uint32_t ntasks, struct mlk_load_verdict *verdict)
{
	memset(verdict, 0, sizeof(*verdict));
	if (call->status == 0)
		return;
	mlk_load_check(id, ntasks, call->status,
	    (const uint8_t *)call->answer->str, call->answer->len, verdict);
}
