/*
 * Tests of the calculation "monsoonlock-load ideal".  They guard against a
 * reference that is wrong without an error: jobs that are lost from the counts,
 * cores that are used twice, an order that is not the one named, and a day file
 * that is read as another one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <glib.h>

#include "ideal.h"

#define HEAD                                                                \
	"name: t\nseed: 3\nduration: 10\n"                                  \
	"goal: {base_ms: 50, factor: 2, late_factor: 3, late_worth: 0.2}\n" \
	"kinds:\n  - {name: a, tasks: 1, run_ms: 100, cores: 1}\n"
#define ROUTES "routes:\n  - {name: r, share: 1, mix: [{kind: a, share: 1}]}\n"
#define LOAD "load: 0.5\n"
#define WORKERS "workers:\n  - {count: 1, cores: 1, speed: 1}\n"
#define MS MLK_NSEC_PER_MSEC

static struct mlk_ideal_day *
parse(const char *text)
{
	struct mlk_ideal_day *day;
	struct mlk_error err;

	if (mlk_ideal_day_parse(text, strlen(text), "t", &day, &err) != 0)
		fail_msg("%s", err.msg);
	return (day);
}

static void
check_rejected(const char *text, const char *part)
{
	struct mlk_ideal_day *day;
	struct mlk_error err;

	assert_int_equal(
	    mlk_ideal_day_parse(text, strlen(text), "t", &day, &err),
	    MLK_ERR_SETTINGS);
	assert_null(day);
	if (strstr(err.msg, part) == NULL)
		fail_msg("'%s' does not contain '%s'", err.msg, part);
}

/* Guards against a mistyped file that is calculated as another one, and against
 * an error without the line of its cause. */
static void
test_file_errors(void **state)
{
	(void)state;
	check_rejected("# nothing\n", "line 1: the file is empty");
	check_rejected(HEAD LOAD ROUTES "workers: [", "line 10");
	check_rejected(HEAD LOAD ROUTES, "workers");
	check_rejected(HEAD "load: 0\n" ROUTES WORKERS, "line 7: load: 0");
	check_rejected(HEAD "load: nan\n" ROUTES WORKERS, "line 7: load: nan");
	check_rejected(HEAD LOAD LOAD ROUTES WORKERS, "after line 7");
	check_rejected(HEAD LOAD ROUTES WORKERS "laod: 1\n",
	    "after line 11: Unexpected key: laod");
	check_rejected(HEAD LOAD ROUTES WORKERS "tail: {share: 2, factor: 7}\n",
	    "line 12: tail.share");
	check_rejected(HEAD LOAD ROUTES WORKERS
	    "floods:\n  - {route: r, at: 1, for: 1, load: 1}\n"
	    "  - {route: s, at: 1, for: 1, load: 1}\n",
	    "line 14: floods[1].route: no route is called 's'");
	check_rejected(HEAD LOAD WORKERS
	    "routes:\n  - {name: r, share: 1, mix: [{kind: b, share: 1}]}\n",
	    "line 11: routes[0].mix[0].kind: no kind is called 'b'");
	check_rejected(HEAD LOAD WORKERS
	    "routes:\n  - {name: r, share: 0.5, mix: [{kind: a, share: 1}]}\n",
	    "line 11: routes: shares add up to 0.500");
	check_rejected(HEAD LOAD ROUTES
	    "workers:\n  - {count: 1, cores: 0.5, speed: 1}\n",
	    "line 6: kinds[0].cores: 1 is more than");
}

/* Guards against a load that would take all memory. */
static void
test_too_many_jobs(void **state)
{
	struct mlk_ideal_day *day =
	    parse(HEAD "load: 100\n" ROUTES
		       "workers:\n  - {count: 9000, cores: 9000, speed: 1}\n");
	struct mlk_ideal_jobs *jobs;
	struct mlk_error err;

	(void)state;
	assert_int_equal(
	    mlk_ideal_jobs_create(day, &jobs, &err), MLK_ERR_SETTINGS);
	assert_null(jobs);
	mlk_ideal_day_free(day);
}

/* Guards against arrivals whose work is not the load of the file, with wave,
 * tail and flood: the wave has the mean 1 over a period. */
static void
test_offered_work(void **state)
{
	struct mlk_ideal_day *day;
	struct mlk_ideal_jobs *jobs;
	struct mlk_error err;
	double work = 0.0, flood = 0.0;
	uint32_t i;

	(void)state;
	day = parse("name: t\nseed: 3\nduration: 130\nload: 0.5\n"
		    "goal: {base_ms: 50, factor: 2, late_factor: 3, "
		    "late_worth: 0.2}\nwave: {period: 13, swing: 0.55}\n"
		    "tail: {share: 0.03, factor: 7}\nkinds:\n"
		    "  - {name: a, tasks: 8, run_ms: 50, spread: 0.2, "
		    "cores: 2}\n" ROUTES
		    "workers:\n  - {count: 20, cores: 10, speed: 0.5}\n"
		    "  - {count: 10, cores: 20, speed: 1.5}\n"
		    "floods:\n  - {route: r, at: 26, for: 13, load: 0.7}\n");
	assert_int_equal(mlk_ideal_jobs_create(day, &jobs, &err), 0);
	assert_float_equal(jobs->capacity, 400.0, 1e-6);
	for (i = 0; i < jobs->n; i++) {
		work += jobs->jobs[i].work;
		if (jobs->jobs[i].in_flood)
			flood += jobs->jobs[i].work;
	}
	/* Four standard deviations of about 26,000 and 6,000 jobs. */
	assert_float_equal(
	    (work - flood) / (400.0 * 117), 0.5, 0.5 * 4 * 0.010);
	assert_float_equal(flood / (400.0 * 13), 1.2, 1.2 * 4 * 0.018);
	mlk_ideal_jobs_free(jobs);
	mlk_ideal_day_free(day);
}

/* A day of two routes, the second of the lower priority. */
static struct mlk_ideal_day *
two_routes(const char *workers)
{
	char text[2048];

	(void)snprintf(text, sizeof(text),
	    HEAD LOAD "routes:\n"
		      "  - {name: r, share: 1, mix: [{kind: a, share: 1}]}\n"
		      "  - {name: s, priority: 1, share: 0, "
		      "mix: [{kind: a, share: 1}]}\n%s",
	    workers);
	return (parse(text));
}

static void
set_job(struct mlk_ideal_job *job, uint32_t route, uint32_t at_ms,
    const int64_t *run, uint32_t ntasks)
{
	uint32_t i;

	memset(job, 0, sizeof(*job));
	job->at = at_ms * MS;
	job->goal = job->at + 50 * MS + 2 * run[0];
	job->useful = job->at + 3 * (50 * MS + 2 * run[0]);
	job->run = run;
	job->ntasks = ntasks;
	job->route = route;
	job->cores = 1000;
	job->speed = 1.0;
	job->counted = true;
	for (i = 0; i < ntasks; i++)
		job->work += (double)run[i] / (double)MLK_NSEC_PER_SEC;
}

static struct mlk_ideal_tally
play(const struct mlk_ideal_day *day, struct mlk_ideal_job *job, uint32_t n,
    enum mlk_ideal_order order, enum mlk_ideal_placement placement)
{
	struct mlk_ideal_jobs jobs = { .jobs = job, .n = n };
	struct mlk_ideal_result *r =
	    mlk_ideal_run(day, &jobs, order, placement);
	struct mlk_ideal_tally all = r->totals[r->nroutes];

	mlk_ideal_result_free(r);
	assert_int_equal(all.jobs, n);
	assert_int_equal(
	    all.in_goal + all.late + all.refused + all.given_up, n);
	return (all);
}

/*
 * Guards against an order that is not the one named.  One core; a task of 300
 * ms is ahead of three of 100 ms (goal 250 ms, useful until 750 ms), which
 * arrive together.  In order of arrival the three end after 400, 500 and 600 ms
 * and are late.  Smallest work first ends them after 100, 200 and 300 ms, two
 * in goal; the long one (goal 650 ms) ends after 500 ms, before the late job.
 */
static void
test_orders(void **state)
{
	static const int64_t longer[] = { 300 * MS }, shorter[] = { 100 * MS };
	/* Holds the core for 1 ms, so that all others wait together. */
	static const int64_t first[] = { MS };
	struct mlk_ideal_day *day = two_routes(WORKERS);
	struct mlk_ideal_job jobs[5];
	struct mlk_ideal_tally t;
	uint32_t i;

	(void)state;
	set_job(&jobs[0], 0, 0, first, 1);
	set_job(&jobs[1], 0, 0, longer, 1);
	for (i = 2; i < 5; i++)
		set_job(&jobs[i], 0, 0, shorter, 1);
	t = play(day, jobs, 5, MLK_IDEAL_ARRIVAL, MLK_IDEAL_FASTEST);
	assert_true(t.in_goal == 2 && t.late == 3);
	t = play(day, jobs, 5, MLK_IDEAL_LEAST_SLACK, MLK_IDEAL_FASTEST);
	assert_true(t.in_goal == 4 && t.late == 1);
	t = play(day, jobs, 5, MLK_IDEAL_SMALLEST_WORK, MLK_IDEAL_FASTEST);
	assert_true(t.in_goal == 4 && t.late == 1);
	/* Longer than its caller waits: given up without a start. */
	jobs[1].useful = jobs[1].goal = 200 * MS;
	t = play(day, jobs, 5, MLK_IDEAL_ARRIVAL, MLK_IDEAL_FASTEST);
	assert_true(t.given_up == 1 && t.held == 1 && t.in_goal == 3);
	mlk_ideal_day_free(day);
}

/*
 * Guards against cores that are counted twice, and against a job that counts as
 * ended before its longest task: a task of 300 ms beside one of 100 ms is late
 * for a goal of 200 ms.
 */
static void
test_cores(void **state)
{
	static const int64_t run[] = { 100 * MS },
			     two[] = { 300 * MS, 100 * MS };
	struct mlk_ideal_day *day = two_routes(WORKERS);
	struct mlk_ideal_job jobs[3];
	struct mlk_ideal_tally t;
	uint32_t i;

	(void)state;
	/* A worker of one thousandth of a core, which ends one task first. */
	day->workers[0].cores = 0.001;
	for (i = 0; i < 3; i++) {
		set_job(&jobs[i], 0, i == 0 ? 0 : 100, run, 1);
		jobs[i].cores = 1;
		jobs[i].goal = jobs[i].at + 150 * MS;
	}
	t = play(day, jobs, 3, MLK_IDEAL_ARRIVAL, MLK_IDEAL_FASTEST);
	assert_true(t.in_goal == 2 && t.late == 1);
	day->workers[0].cores = 2;
	set_job(&jobs[0], 0, 0, two, 2);
	jobs[0].goal = 200 * MS;
	t = play(day, jobs, 1, MLK_IDEAL_ARRIVAL, MLK_IDEAL_FASTEST);
	assert_true(t.in_goal == 0 && t.late == 1);
	mlk_ideal_day_free(day);
}

/*
 * Guards against a placement that takes the fast worker for any task.  The
 * first task takes 240 ms on the slow worker and is in goal there; the second
 * needs the fast one from 1 ms on.
 */
static void
test_placement(void **state)
{
	static const int64_t shorter[] = { 60 * MS }, longer[] = { 100 * MS };
	struct mlk_ideal_day *day =
	    two_routes("workers:\n  - {count: 1, cores: 1, speed: 1}\n"
		       "  - {count: 1, cores: 1, speed: 0.25}\n");
	struct mlk_ideal_job jobs[2];
	struct mlk_ideal_tally t;

	(void)state;
	set_job(&jobs[0], 0, 0, shorter, 1);
	set_job(&jobs[1], 0, 1, longer, 1);
	jobs[0].goal = 240 * MS;
	jobs[1].goal = 110 * MS;
	t = play(day, jobs, 2, MLK_IDEAL_ARRIVAL, MLK_IDEAL_FASTEST);
	assert_true(t.in_goal == 1 && t.late == 1);
	t = play(day, jobs, 2, MLK_IDEAL_ARRIVAL, MLK_IDEAL_SLOWEST_IN_GOAL);
	assert_int_equal(t.in_goal, 2);
	mlk_ideal_day_free(day);
}

/*
 * Guards against weighted shares that let a flood of one route delay another,
 * or that refuse while cores are free.  Route s sends 100 tasks of 100 ms at
 * once to one core; route r one at 5 ms.  Of s one starts and two are admitted,
 * as the estimate takes the cores to be freed evenly; these end after that of
 * r.
 */
static void
test_shares(void **state)
{
	static const int64_t run[] = { 100 * MS };
	static const int64_t wide[] = { 100 * MS, 100 * MS, 100 * MS,
		100 * MS };
	struct mlk_ideal_day *day = two_routes(WORKERS);
	struct mlk_ideal_job jobs[101];
	struct mlk_ideal_jobs all = { .jobs = jobs, .n = 101 };
	struct mlk_ideal_result *r;
	uint32_t i;

	(void)state;
	for (i = 0; i < 100; i++)
		set_job(&jobs[i], 1, 0, run, 1);
	set_job(&jobs[100], 0, 5, run, 1);
	r = mlk_ideal_run(day, &all, MLK_IDEAL_SHARES, MLK_IDEAL_FASTEST);
	assert_int_equal(r->totals[0].in_goal, 1);
	assert_int_equal(r->totals[1].in_goal, 1);
	assert_int_equal(r->totals[1].refused, 97);
	mlk_ideal_result_free(r);
	/* Four tasks fit at once, but not one after the other at their rate. */
	day->workers[0].cores = 4;
	for (i = 0; i < 101; i++) {
		set_job(&jobs[i], 1, 101 * i, wide, 4);
		jobs[i].goal = jobs[i].at + 110 * MS;
	}
	r = mlk_ideal_run(day, &all, MLK_IDEAL_SHARES, MLK_IDEAL_FASTEST);
	assert_int_equal(r->totals[1].in_goal, 101);
	mlk_ideal_result_free(r);
	mlk_ideal_day_free(day);
}

/*
 * Guards against counts that lose jobs, against more work than the workers can
 * do, and against results that differ from run to run, on both files of the
 * repository: windows and routes add up to the totals.
 */
static void
check_file(const char *name)
{
	char *path = g_build_filename(MLK_SCENARIO_DIR, name, NULL);
	struct mlk_ideal_report report = { .n = 0 };
	struct mlk_ideal_day *day;
	struct mlk_ideal_jobs *jobs;
	struct mlk_error err;
	const struct mlk_ideal_result *r;
	const struct mlk_ideal_tally *t;
	uint32_t i, row, w, sum, routes;

	if (mlk_ideal_day_read(path, &day, &err) != 0)
		fail_msg("%s", err.msg);
	day->duration_s = 39;
	day->floods[0].at_s = 13;
	assert_int_equal(mlk_ideal_jobs_create(day, &jobs, &err), 0);
	report.day = day;
	report.jobs = jobs;
	mlk_ideal_report_run(&report);
	for (i = 0; i < report.n; i++) {
		r = report.results[i];
		for (row = 0, routes = 0; row <= r->nroutes; row++) {
			t = &r->totals[row];
			assert_int_equal(t->jobs,
			    t->in_goal + t->late + t->refused + t->given_up);
			for (w = 0, sum = 0; w < r->nwindows; w++)
				sum += r->windows[row * r->nwindows + w].jobs;
			assert_int_equal(sum, t->jobs);
			routes += row < r->nroutes ? t->jobs : 0;
		}
		assert_int_equal(routes, jobs->counted);
		assert_int_equal(r->totals[r->nroutes].jobs, jobs->counted);
		assert_true(r->totals[r->nroutes].in_goal <=
		    jobs->counted - jobs->out_of_reach);
		assert_true(mlk_ideal_worth(day, &r->totals[r->nroutes]) <=
		    mlk_ideal_worth(
			day, &report.results[report.best]->totals[r->nroutes]));
	}
	mlk_ideal_report_clear(&report);
	mlk_ideal_jobs_free(jobs);
	mlk_ideal_day_free(day);
	g_free(path);
}

static void
test_files(void **state)
{
	(void)state;
	check_file("ideal-competing.yaml");
	check_file("ideal-uneven.yaml");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_file_errors),
		cmocka_unit_test(test_too_many_jobs),
		cmocka_unit_test(test_offered_work),
		cmocka_unit_test(test_orders),
		cmocka_unit_test(test_cores),
		cmocka_unit_test(test_placement),
		cmocka_unit_test(test_shares),
		cmocka_unit_test(test_files),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
