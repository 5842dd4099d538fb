/*
 * Tests of the load tool.  They guard against reports that are wrong without an
 * error: arrivals that differ between policies, quantiles that are off by one
 * rank, and wrong answers that are counted as complete.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <glib.h>

#include <monsoonlock/net.h>

#include "run.h"
#include "stats.h"

#define HEAD                                             \
	"name: t\nduration: 200\nwarm_up: 10\nseed: 5\n" \
	"entries: 2\nworkers: 2\nslots: 4\n"
#define KINDS                                                           \
	"kinds:\n  - {name: a, share: 0.75, min_ms: 50, max_ms: 150}\n" \
	"  - {name: b, share: 0.25, min_ms: 2000, max_ms: 4000}\n"

static int
parse(const char *text, struct mlk_load_scenario **out, struct mlk_error *err)
{
	return (mlk_load_scenario_parse(text, strlen(text), "t", out, err));
}

static void
check_rejected(const char *text, const char *part)
{
	struct mlk_load_scenario *sc;
	struct mlk_error err;

	assert_int_equal(parse(text, &sc, &err), MLK_ERR_SETTINGS);
	assert_null(sc);
	if (strstr(err.msg, part) == NULL)
		fail_msg("'%s' does not name '%s'", err.msg, part);
}

/* Guards against a mistyped scenario that runs as another one instead of being
 * rejected with an error that names the cause. */
static void
test_scenario_errors(void **state)
{
	(void)state;
	check_rejected("# nothing\n", "empty");
	check_rejected(HEAD "load: 0.5\n", "kinds");
	check_rejected(HEAD KINDS "load: 0.5\nspeed: 2\n", "speed");
	check_rejected(HEAD KINDS, "either load or rate");
	check_rejected(HEAD KINDS "load: 0.5\nrate: 3\n", "either");
	check_rejected(HEAD "rate: 1\nkinds:\n  - {name: a, share: 0.5, "
			    "min_ms: 1, max_ms: 2}\n",
	    "add up to 0.500");
	check_rejected(HEAD "rate: 1\nkinds:\n  - {name: a, share: 1, "
			    "min_ms: 3, max_ms: 2}\n",
	    "min is above max");
	check_rejected(HEAD KINDS "rate: 1\nfaults:\n  - {at: 1, action: "
				  "kill, target: entry-3}\n",
	    "entry-3");
	check_rejected(HEAD KINDS "rate: 1\nfaults:\n  - {at: 1, action: "
				  "explode, target: entry-1}\n",
	    "action");
	check_rejected(HEAD KINDS "rate: 1\nfaults:\n  - {at: 1, action: "
				  "pause, target: entry-1}\n",
	    "pause needs");
	check_rejected(HEAD KINDS "rate: 1\nswing: {period: 5, crest: 6, "
				  "factor: 2}\n",
	    "swing");
}

/*
 * Guards against --workers accepting more processes than a machine can run, or
 * so few that the target of a fault does not exist.
 */
static void
test_scenario_workers(void **state)
{
	struct mlk_load_scenario *sc;
	struct mlk_error err;

	(void)state;
	assert_int_equal(parse(HEAD KINDS "rate: 1\nfaults:\n  - {at: 1, "
					  "action: kill, target: agent-2}\n",
			     &sc, &err),
	    0);
	assert_int_equal(mlk_load_scenario_set_workers(sc, 120, &err), 0);
	assert_int_equal(sc->workers, 120);
	assert_int_equal(
	    mlk_load_scenario_set_workers(sc, 100000, &err), MLK_ERR_SETTINGS);
	assert_int_equal(
	    mlk_load_scenario_set_workers(sc, 1, &err), MLK_ERR_SETTINGS);
	mlk_load_scenario_free(sc);
}

static struct mlk_load_arrivals *
create_arrivals(const char *text, struct mlk_load_scenario **sc)
{
	struct mlk_load_arrivals *arrivals;
	struct mlk_error err;

	if (parse(text, sc, &err) != 0)
		fail_msg("%s", err.msg);
	assert_int_equal(mlk_load_arrivals_create(*sc, &arrivals, &err), 0);
	return (arrivals);
}

/* Guards against policies that are compared on different arrivals: the same
 * scenario must give the same ones. */
static void
test_arrivals_reproducible(void **state)
{
	struct mlk_load_scenario *s1, *s2;
	struct mlk_load_arrivals *a, *b;
	uint32_t i;

	(void)state;
	a = create_arrivals(HEAD KINDS "rate: 50\nresubmit_share: 0.1\n", &s1);
	b = create_arrivals(HEAD KINDS "rate: 50\nresubmit_share: 0.1\n", &s2);
	assert_int_equal(a->n, b->n);
	for (i = 0; i < a->n; i++) {
		assert_true(a->jobs[i].at == b->jobs[i].at);
		assert_int_equal(a->jobs[i].kind, b->jobs[i].kind);
		assert_int_equal(a->jobs[i].ideal_ms, b->jobs[i].ideal_ms);
		assert_true(a->jobs[i].pick == b->jobs[i].pick);
		assert_true(
		    a->jobs[i].resubmit_after == b->jobs[i].resubmit_after);
	}
	mlk_load_arrivals_free(a);
	mlk_load_arrivals_free(b);
	mlk_load_scenario_free(s1);
	mlk_load_scenario_free(s2);
}

/* Guards against a rate or a load that differs from the scenario's by more than
 * 4 sigma. */
static void
test_arrivals_rate(void **state)
{
	struct mlk_load_scenario *sc;
	struct mlk_load_arrivals *a;
	double expected, work = 0.0;
	uint32_t i;

	(void)state;
	a = create_arrivals(HEAD KINDS "load: 0.5\n", &sc);
	assert_true(fabs(mlk_load_mean_work(sc) - 0.825) < 1e-9);
	expected = 0.5 * 8 / 0.825 * 210;
	assert_true(fabs(a->n - expected) < 4 * sqrt(expected));
	for (i = 0; i < a->n; i++)
		work += a->jobs[i].ideal_ms / 1000.0;
	assert_true(fabs(work / 210 / 8 - 0.5) < 0.08);
	mlk_load_arrivals_free(a);
	mlk_load_scenario_free(sc);
}

/* Guards against a periodic swing of the rate that changes its mean, and
 * against crests at which the rate does not rise. */
static void
test_arrivals_swing(void **state)
{
	struct mlk_load_scenario *sc;
	struct mlk_load_arrivals *a;
	uint32_t i, in_crest = 0;
	double expected = 100.0 * 210;

	(void)state;
	a = create_arrivals(HEAD KINDS
	    "rate: 100\n"
	    "swing: {period: 20, crest: 4, factor: 3}\n",
	    &sc);
	assert_true(fabs(mlk_load_base_rate(sc) - 100.0 * 20 / 28) < 1e-9);
	for (i = 0; i < a->n; i++) {
		if (a->jobs[i].at % (20 * MLK_NSEC_PER_SEC) >=
		    16 * MLK_NSEC_PER_SEC)
			in_crest++;
	}
	/* 210 s hold 10 periods and half of an 11th without its crest. */
	expected = 200 * 100.0 + 10 * 100.0 * 20 / 28;
	assert_true(fabs(a->n - expected) < 4 * sqrt(expected));
	expected = 40 * 300.0 * 20 / 28;
	assert_true(fabs(in_crest - expected) < 4 * sqrt(expected));
	mlk_load_arrivals_free(a);
	mlk_load_scenario_free(sc);
}

/* Guards against quantiles that are off by one rank. */
static void
test_quantiles(void **state)
{
	GArray *v = g_array_new(FALSE, FALSE, sizeof(double));
	struct mlk_load_quantiles q;
	double x;
	int i;

	(void)state;
	mlk_load_quantiles(v, &q);
	assert_int_equal(q.n, 0);
	for (i = 200; i >= 1; i--) {
		x = i;
		g_array_append_val(v, x);
	}
	mlk_load_quantiles(v, &q);
	assert_true(q.p50 == 100.0 && q.p90 == 180.0);
	assert_true(q.p99 == 198.0 && q.max == 200.0);
	(void)g_array_free(v, TRUE);
}

/*
 * Returns an answer for id with n tasks, whose results are those of job
 * result_id from task first_index on.
 */
static char *
answer_text(
    const char *id, const char *result_id, uint32_t n, uint32_t first_index)
{
	GString *s = g_string_new(NULL);
	char hex[MLK_KEY_HEX_LEN + 1];
	uint32_t i;

	mlk_key_format(mlk_key_from_id(result_id), hex);
	g_string_append_printf(
	    s, "{\"id\":\"%s\",\"outcome\":\"complete\",\"tasks\":[", id);
	for (i = 0; i < n; i++) {
		g_string_append_printf(s,
		    "%s{\"index\":%u,\"status\":\"done\",\"result\":"
		    "\"%s %u xx\"}",
		    i == 0 ? "" : ",", i, hex, i + first_index);
	}
	g_string_append(s, "]}");
	return (g_string_free(s, FALSE));
}

/*
 * Checks an answer to job j-1 and frees body.
 */
static struct mlk_load_verdict
check_answer(char *body, uint32_t ntasks, int status)
{
	struct mlk_load_verdict v;

	mlk_load_check(
	    "j-1", ntasks, status, (const uint8_t *)body, strlen(body), &v);
	g_free(body);
	return (v);
}

/* Guards against answers with another job's results, or with too few or too
 * many, that pass as complete. */
static void
test_check_answers(void **state)
{
	struct mlk_load_verdict v;

	(void)state;
	v = check_answer(answer_text("j-1", "j-1", 3, 0), 3, 200);
	assert_int_equal(v.outcome, MLK_LOAD_COMPLETE);
	assert_false(v.partial || v.crossed || v.retry);
	assert_int_equal(v.done, 3);
	assert_true(
	    check_answer(answer_text("j-1", "j-1", 2, 0), 3, 200).partial);
	assert_true(
	    check_answer(answer_text("j-1", "j-1", 4, 0), 3, 200).partial);
	assert_true(
	    check_answer(answer_text("j-2", "j-2", 3, 0), 3, 200).crossed);
	assert_true(
	    check_answer(answer_text("j-1", "j-2", 3, 0), 3, 200).crossed);
	assert_true(
	    check_answer(answer_text("j-1", "j-1", 3, 1), 3, 200).crossed);
	v = check_answer(
	    g_strdup("{\"id\":\"j-1\",\"outcome\":\"complete\",\"tasks\""
		     ":[{\"index\":0,\"status\":\"failed\"}]}"),
	    1, 200);
	assert_true(v.partial);
	v = check_answer(
	    g_strdup("{\"error\":{\"code\":\"unavailable\"}}"), 1, 503);
	assert_true(v.retry);
	v = check_answer(
	    g_strdup("{\"id\":\"j-1\",\"outcome\":\"refused\"}"), 1, 503);
	assert_int_equal(v.outcome, MLK_LOAD_REFUSED);
	assert_false(v.retry);
	assert_true(check_answer(g_strdup("{\"id\":"), 1, 200).partial);
}

static struct mlk_load_verdict
check_empty_result(const char *outcome, const char *reason)
{
	return (
	    check_answer(g_strdup_printf("{\"id\":\"j-1\",\"outcome\":\"%s\","
					 "\"reason\":\"%s\",\"tasks\":[{"
					 "\"index\":0,\"status\":\"done\","
					 "\"result\":\"\"}]}",
			     outcome, reason),
		1, 200));
}

/* Guards against an empty result being accepted in a job that was not
 * cancelled. */
static void
test_check_empty_result(void **state)
{
	(void)state;
	assert_false(check_empty_result("failed", "cancelled").crossed);
	assert_true(check_empty_result("complete", "cancelled").crossed);
	assert_true(check_empty_result("failed", "agent lost").crossed);
}

/* Guards against repeated starts in the start logs that are not counted, and
 * against a result of task 10 that is accepted for task 1. */
static void
test_judge(void **state)
{
	struct mlk_load_start_log *start_log = mlk_load_start_log_create();
	struct mlk_key key = mlk_key_from_id("j-1");
	char hex[MLK_KEY_HEX_LEN + 1], line[128];
	int i;

	(void)state;
	mlk_key_format(key, hex);
	for (i = 0; i < 12; i++) {
		(void)g_snprintf(line, sizeof(line), "%s %d a\n", hex, i);
		mlk_load_start_log_add_line(start_log, line);
	}
	assert_true(start_log->twice == 0 && start_log->total == 12);
	mlk_load_start_log_add_line(start_log, line);
	mlk_load_start_log_add_line(start_log, line);
	mlk_load_start_log_add_line(start_log, "torn li");
	assert_true(start_log->twice == 1 && start_log->bad_lines == 1);
	assert_int_equal(mlk_load_start_log_count(start_log, key, 11), 3);
	assert_int_equal(mlk_load_start_log_count(start_log, key, 12), 0);
	mlk_load_start_log_free(start_log);
	(void)g_snprintf(line, sizeof(line), "%s 10 x", hex);
	assert_false(mlk_load_result_matches(key, 1, line, strlen(line)));
	assert_true(mlk_load_result_matches(key, 10, line, strlen(line)));
}

/* Guards against a negative difference that wraps around when the counters of a
 * process restart from 0. */
static void
test_scrape(void **state)
{
	struct mlk_scrape before, after, sum;
	char *page;

	(void)state;
	page = g_strdup_printf(
	    "monsoonlock_link_sent_messages_total{type=\"%s\"} 7\n"
	    "monsoonlock_link_sent_bytes_total{type=\"%s\"} 90\n"
	    "monsoonlock_link_received_bytes_total{type=\"%s\"} 5\n",
	    mlk_msg_name(MLK_MSG_START), mlk_msg_name(MLK_MSG_START),
	    mlk_msg_name(MLK_MSG_START));
	mlk_scrape_parse(page, &after);
	g_free(page);
	assert_int_equal(after.sent_msgs[MLK_MSG_START], 7);
	assert_int_equal(after.sent_bytes[MLK_MSG_START], 90);
	before = after;
	before.sent_msgs[MLK_MSG_START] = 9;
	before.sent_bytes[MLK_MSG_START] = 40;
	memset(&sum, 0, sizeof(sum));
	mlk_scrape_add_difference(&sum, &before, &after);
	assert_int_equal(sum.sent_msgs[MLK_MSG_START], 7);
	assert_int_equal(sum.sent_bytes[MLK_MSG_START], 50);
}

/* Guards against a process name with spaces or a parenthesis that shifts the
 * fields of /proc/PID/stat. */
static void
test_procstat(void **state)
{
	struct mlk_procstat st;

	(void)state;
	assert_int_equal(mlk_procstat_parse("7 (a b) c) S 1 1 1 0 -1 4 5 0 0 0 "
					    "150 50 0 0 20 0 1 0 99 4096 12 1",
			     &st),
	    0);
	assert_true(st.cpu_s > 0.0);
	assert_true(st.rss_bytes >= 12 * 1024);
	assert_int_not_equal(mlk_procstat_parse("7 (a", &st), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scenario_errors),
		cmocka_unit_test(test_scenario_workers),
		cmocka_unit_test(test_arrivals_reproducible),
		cmocka_unit_test(test_arrivals_rate),
		cmocka_unit_test(test_arrivals_swing),
		cmocka_unit_test(test_quantiles),
		cmocka_unit_test(test_check_answers),
		cmocka_unit_test(test_check_empty_result),
		cmocka_unit_test(test_judge),
		cmocka_unit_test(test_scrape),
		cmocka_unit_test(test_procstat),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
