/*
 * Tests of the adapter between the users' protocols and the dispatch library:
 * parsing of well-formed and malformed input, and formatting of output.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../platform/site.h"

#define ID "5c0e7a21d94b36f8"
#define JOB(fields) \
	"{\"spec\":\"text\",\"best_effort\":true,\"steps\":[{" fields "}]}"

static bool
parse_job(struct site_job *job, const char *path, const char *body)
{
	return (site_job_parse(job, path, (const uint8_t *)body, strlen(body)));
}

/*
 * Guards against a job that is scheduled with wrong resources, estimates or
 * dependencies because a field of its steps is parsed wrongly.
 */
static void
test_job(void **state)
{
	struct site_job job;

	(void)state;
	assert_true(parse_job(&job, "/q/" ID,
	    "{\"spec\":\"text\",\"best_effort\":true,\"steps\":["
	    "{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":900},"
	    "{\"count\":2,\"cpu\":2000,\"gpu\":1,\"after\":[0]}]}"));
	assert_string_equal(job.work.id, ID);
	assert_int_equal(job.work.spec_len, 4);
	assert_memory_equal(job.work.spec, "text", 4);
	assert_null(job.work.unsupported);
	assert_int_equal(job.work.nsteps, 2);
	assert_int_equal(job.work.steps[0].count, 4);
	assert_int_equal(job.work.steps[0].resources.cpu, 500);
	assert_int_equal(job.work.steps[0].resources.mem_mb, 256);
	assert_int_equal(job.work.steps[0].estimate_ms, 900);
	assert_int_equal(job.work.steps[1].resources.gpu, 1);
	assert_int_equal(job.work.steps[1].after, 1);
	site_job_clear(&job);
}

/*
 * Guards against a job that is accepted, in full or in part, although its body
 * or the id in its path is malformed, and against a crash of the parser.
 */
static void
test_job_malformed(void **state)
{
	static const char *const bodies[] = { "", "[]", "{", "{\"steps\":[]}",
		"{\"spec\":1,\"steps\":[{\"count\":1}]}", JOB(""),
		JOB("\"count\":0"), JOB("\"count\":-1"),
		JOB("\"count\":1,\"cpu\":-5"), JOB("\"count\":1,\"cpu\":\"x\""),
		JOB("\"count\":100000"), JOB("\"count\":1,\"after\":[0]"),
		JOB("\"count\":1,\"after\":0"), JOB("\"count\":1.5") };
	static const char *const paths[] = { "/q/", "/q/short",
		"/q/5c0e7a21d94b36f80", "/q/zc0e7a21d94b36f8", ID };
	struct site_job job;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		assert_false(parse_job(&job, "/q/" ID, bodies[i]));
		site_job_clear(&job);
	}
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		assert_false(parse_job(&job, paths[i], JOB("\"count\":1")));
		site_job_clear(&job);
	}
}

/*
 * Guards against a job that is accepted although it needs an unsupported
 * feature, and against one that is rejected although such a field has its
 * default value.
 */
static void
test_job_unsupported(void **state)
{
	static const char *const unsupported_jobs[] = {
		"{\"spec\":\"\",\"steps\":[{\"count\":1}]}",
		JOB("\"count\":1,\"gang\":true"),
		JOB("\"count\":1,\"anti_affinity\":1"),
		JOB("\"count\":1,\"constraints\":\"a\""),
		JOB("\"count\":1,\"speculative\":true"),
		JOB("\"count\":1,\"target_ms\":50"),
		"{\"spec\":\"\",\"best_effort\":true,\"long_running\":true,"
		"\"steps\":[{\"count\":1}]}",
		"{\"spec\":\"\",\"best_effort\":true,\"repeat_count\":2,"
		"\"steps\":[{\"count\":1}]}"
	};
	struct site_job job;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(unsupported_jobs); i++) {
		assert_true(parse_job(&job, "/q/" ID, unsupported_jobs[i]));
		assert_non_null(job.work.unsupported);
		site_job_clear(&job);
	}
	assert_true(parse_job(&job, "/q/" ID,
	    JOB("\"count\":1,\"gang\":false,\"affinity\":\"\","
		"\"anti_affinity\":0")));
	assert_null(job.work.unsupported);
	site_job_clear(&job);
}

/*
 * Guards against a caller that repeats or gives up a job wrongly because the
 * HTTP status or body of its answer does not match the outcome.
 */
static void
test_outcomes(void **state)
{
	(void)state;
	assert_int_equal(site_outcome_status(MLK_WORK_COMPLETED), 200);
	assert_string_equal(
	    site_outcome_body(MLK_WORK_COMPLETED), "{\"state\":\"completed\"}");
	assert_int_equal(site_outcome_status(MLK_WORK_FAILED), 200);
	assert_string_equal(
	    site_outcome_body(MLK_WORK_FAILED), "{\"state\":\"failed\"}");
	assert_int_equal(site_outcome_status(MLK_WORK_REFUSED), 503);
	assert_int_equal(site_outcome_status(MLK_WORK_NO_ROUTE), 404);
	assert_int_equal(site_outcome_status(MLK_WORK_INVALID), 400);
	assert_int_equal(site_outcome_status(MLK_WORK_BROKEN), 502);
	assert_int_equal(site_outcome_status(MLK_WORK_LATE), 504);
}

#define ANNOUNCEMENT                                                        \
	"{\"service\":\"pool\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"slots\":8,\"cold_remaining_ms\":1200,"        \
	"\"state\":\"%s\",\"capacity\":{\"cpu\":64000,\"mem_mb\":1024},"    \
	"\"labels\":[\"a\",\"r1\"],\"clock_ms\":482113,\"seq\":%s,"         \
	"\"born\":%s,\"remaining_ms\":700}"

static bool
parse_announcement(struct mlk_announcement *out, const char *state,
    const char *seq, const char *born)
{
	char *body;
	bool ok;

	body = g_strdup_printf(ANNOUNCEMENT, state, seq, born);
	ok = site_announcement_parse(
	    out, "i-1", (const uint8_t *)body, strlen(body));
	g_free(body);
	return (ok);
}

/*
 * Returns a valid announcement, whose fields a test may change.
 */
static json_t *
announcement_json(void)
{
	char *body;
	json_t *root;

	body = g_strdup_printf(ANNOUNCEMENT, "ready", "4", "1776716362904");
	root = json_loads(body, 0, NULL);
	g_free(body);
	assert_non_null(root);
	return (root);
}

static void
set_field(json_t *root, const char *name, const char *value)
{
	json_t *json = json_loads(value, JSON_DECODE_ANY, NULL);

	assert_non_null(json);
	assert_int_equal(json_object_set_new(root, name, json), 0);
}

static bool
parse_announcement_json(struct mlk_announcement *out, const json_t *root)
{
	char *body = json_dumps(root, JSON_COMPACT);
	bool ok;

	ok = site_announcement_parse(
	    out, "i-1", (const uint8_t *)body, strlen(body));
	free(body);
	return (ok);
}

/*
 * Guards against a worker that is used with a wrong state, boot or capacity,
 * because a field of its announcement is parsed wrongly or a malformed one is
 * accepted.
 */
static void
test_announcement(void **state)
{
	struct mlk_announcement a;

	(void)state;
	assert_true(parse_announcement(&a, "ready", "4", "1776716362904"));
	assert_string_equal(a.info.id, "i-1");
	assert_string_equal(a.info.pool, "pool");
	assert_string_equal(a.info.labels, "a r1");
	assert_int_equal(a.info.state, MLK_WORKER_READY);
	assert_int_equal(a.info.boot, 1776716362904);
	assert_int_equal(a.info.capacity.cpu, 64000);
	assert_int_equal(a.seq, 4);
	assert_int_equal(a.clock_ms, 482113);
	assert_int_equal(a.cold_ms, 1200);
	assert_true(parse_announcement(&a, "draining", "5", "1"));
	assert_int_equal(a.info.state, MLK_WORKER_DRAINING);
	assert_int_equal(a.remaining_ms, 700);
	assert_false(parse_announcement(&a, "resting", "4", "1"));
	assert_false(parse_announcement(&a, "ready", "\"4\"", "1"));
	assert_false(parse_announcement(&a, "ready", "4", "null"));
	assert_false(parse_announcement(&a, "ready", "-4", "1"));
	assert_false(site_announcement_parse(
	    &a, "i-1", (const uint8_t *)"\xff\x00{", 3));
	assert_false(site_announcement_parse(&a, "", (const uint8_t *)"{}", 2));
}

/*
 * Guards against an agent that no longer follows its worker: after a boot or a
 * number in the far future, every later announcement of the worker would count
 * as out of date, and a fence that is derived from an absurd clock is rejected.
 */
static void
test_announcement_out_of_range(void **state)
{
	static const char *const borns[] = { "0", "9223372036854775807",
		"253402300800000", "1e30", "99999999999999999999" };
	static const char *const seqs[] = { "9223372036854775807",
		"9007199254740993", "99999999999999999999" };
	static const char *const clocks[] = { "9223372036854775807",
		"9007199254740993" };
	struct mlk_announcement a;
	json_t *root;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(borns); i++)
		assert_false(parse_announcement(&a, "ready", "4", borns[i]));
	for (i = 0; i < G_N_ELEMENTS(seqs); i++)
		assert_false(
		    parse_announcement(&a, "ready", seqs[i], "1776716362904"));
	for (i = 0; i < G_N_ELEMENTS(clocks); i++) {
		root = announcement_json();
		set_field(root, "clock_ms", clocks[i]);
		assert_false(parse_announcement_json(&a, root));
		json_decref(root);
	}
}

/*
 * Guards against an announcement of another writer that is taken for the
 * worker's, although fields are missing or of another type: its sequence number
 * hides the drain of the worker.
 */
static void
test_announcement_odd_fields(void **state)
{
	static const struct {
		const char *field;
		const char *values[4];
	} odd[] = {
		{ "service", { "17", "null", "\"\"" } },
		{ "address", { "17", "null", "\"here\"", "\"10.0.0.1:0\"" } },
		{ "zone", { "null", "4" } },
		{ "version", { "[]", "1" } },
		{ "slots", { "\"eight\"", "-1", "8.5" } },
		{ "cold_remaining_ms", { "\"none\"", "null" } },
		{ "state", { "null", "1" } },
		{ "capacity", { "[]", "{}", "{\"cpu\":\"1\",\"mem_mb\":1}" } },
		{ "seq", { "\"4\"", "4.5" } },
		{ "born", { "\"1\"", "[]" } },
	};
	/* These may be missing. */
	static const struct {
		const char *field;
		const char *value;
	} odd_optional[] = {
		{ "labels", "\"a\"" },
		{ "labels", "[\"a\",1]" },
		{ "clock_ms", "\"1\"" },
		{ "remaining_ms", "[]" },
	};
	struct mlk_announcement a;
	json_t *root;
	size_t i, k;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		root = announcement_json();
		assert_true(parse_announcement_json(&a, root));
		assert_int_equal(json_object_del(root, odd[i].field), 0);
		assert_false(parse_announcement_json(&a, root));
		for (k = 0; k < 4 && odd[i].values[k] != NULL; k++) {
			set_field(root, odd[i].field, odd[i].values[k]);
			assert_false(parse_announcement_json(&a, root));
		}
		json_decref(root);
	}
	for (i = 0; i < G_N_ELEMENTS(odd_optional); i++) {
		root = announcement_json();
		assert_int_equal(
		    json_object_del(root, odd_optional[i].field), 0);
		assert_true(parse_announcement_json(&a, root));
		set_field(root, odd_optional[i].field, odd_optional[i].value);
		assert_false(parse_announcement_json(&a, root));
		json_decref(root);
	}
}

/*
 * Guards against a parser that exhausts the stack on a deeply nested body.
 */
static void
test_deep_nesting(void **state)
{
	enum { DEPTH = 200000 };
	struct mlk_announcement a;
	struct mlk_routing routing;
	struct site_rows rows;
	struct site_job job;
	char why[SITE_WHY_MAX];
	char *body;

	(void)state;
	body = g_strnfill(DEPTH, '[');
	assert_false(
	    site_announcement_parse(&a, "i-1", (const uint8_t *)body, DEPTH));
	assert_false(
	    site_routing_parse(&routing, (const guchar *)body, DEPTH, why));
	assert_false(site_rows_parse(&rows, (const uint8_t *)body, DEPTH));
	site_rows_clear(&rows);
	assert_false(parse_job(&job, "/q/" ID, body));
	site_job_clear(&job);
	g_free(body);
}

static json_t *
order_json(const struct mlk_order *order)
{
	char *body = site_order_body(order);
	json_t *root = json_loads(body, 0, NULL);

	free(body);
	assert_non_null(root);
	return (root);
}

static json_int_t
number(const json_t *root, const char *name)
{
	return (json_integer_value(json_object_get(root, name)));
}

/*
 * Guards against an order that lacks its fence, its lease, the number of its
 * run or the last acknowledged end.  Without them a worker starts stale orders,
 * does not end runs whose lease expired, and keeps reporting the same ends.
 */
static void
test_order_bodies(void **state)
{
	struct mlk_order order = { .type = MLK_ORDER_START,
		.fence = 7,
		.lease_until_ms = 486000,
		.name = { .step = 1, .index = 17, .run = 2 } };
	json_t *root;

	(void)state;
	strcpy(order.name.id, ID);
	order.spec.data = (uint8_t *)"text";
	order.spec.len = 4;
	root = order_json(&order);
	assert_string_equal(
	    json_string_value(json_object_get(root, "task")), ID ".0.1.17");
	assert_string_equal(
	    json_string_value(json_object_get(root, "spec")), "text");
	assert_int_equal(number(root, "run"), 2);
	assert_int_equal(number(root, "until_ms"), 486000);
	assert_int_equal(number(root, "fence"), 7);
	json_decref(root);
	order.type = MLK_ORDER_LIST;
	order.ack = 57;
	order.wait_ms = 100;
	order.lease_until_ms = 0;
	root = order_json(&order);
	assert_int_equal(number(root, "ack_cursor"), 57);
	assert_int_equal(number(root, "wait_ms"), 100);
	assert_null(json_object_get(root, "until_ms"));
	assert_null(json_object_get(root, "task"));
	json_decref(root);
	assert_string_equal(site_order_path(MLK_ORDER_START), "/-/run-start");
	assert_string_equal(site_order_path(MLK_ORDER_STOP), "/-/run-stop");
	assert_string_equal(site_order_path(MLK_ORDER_LIST), "/-/hold");
}

/*
 * Parses a response to an order.  The caller clears *listing.
 */
static void
parse_answer(enum mlk_order_type type, int status, const char *body,
    struct mlk_runner_event *ev, struct site_listing *listing)
{
	struct mlk_net_event nev = { .type = MLK_NET_HTTP_RESPONSE };

	memset(ev, 0, sizeof(*ev));
	nev.u.response.result = MLK_HTTP_OK;
	nev.u.response.status = status;
	nev.u.response.body = (const uint8_t *)body;
	nev.u.response.body_len = strlen(body);
	site_listing_init(listing);
	site_order_answer(type, &nev, ev, listing);
}

static enum mlk_order_result
start_result(int status, const char *body)
{
	struct site_listing listing;
	struct mlk_runner_event ev;

	parse_answer(MLK_ORDER_START, status, body, &ev, &listing);
	site_listing_clear(&listing);
	return (ev.u.order.result);
}

/*
 * Guards against a task that counts as started although the worker rejected the
 * order, and against a rejection with the wrong reason.
 */
static void
test_order_results(void **state)
{
	(void)state;
	assert_int_equal(start_result(200, "{\"clock_ms\":1}"), MLK_ORDER_OK);
	assert_int_equal(
	    start_result(409, "{\"reason\":\"fence\"}"), MLK_ORDER_FENCED);
	assert_int_equal(
	    start_result(409, "{\"reason\":\"old\"}"), MLK_ORDER_STALE_RUN);
	assert_int_equal(start_result(409, "{\"reason\":\"late\"}"),
	    MLK_ORDER_LEASE_EXPIRED);
	assert_int_equal(
	    start_result(409, "{\"reason\":\"room\"}"), MLK_ORDER_NO_ROOM);
	assert_int_equal(start_result(409, "{}"), MLK_ORDER_INVALID);
	assert_int_equal(start_result(400, "{}"), MLK_ORDER_INVALID);
	assert_int_equal(start_result(421, ""), MLK_ORDER_OTHER_WORKER);
	assert_int_equal(start_result(429, ""), MLK_ORDER_UNHEALTHY);
	assert_int_equal(start_result(503, ""), MLK_ORDER_UNHEALTHY);
}

/*
 * Guards against a task that is started twice or reported as not run: a status
 * that does not reject the order says nothing of whether it was carried out.
 */
static void
test_order_status_without_meaning(void **state)
{
	(void)state;
	assert_int_equal(start_result(500, "{}"), MLK_ORDER_NO_ANSWER);
	assert_int_equal(start_result(502, ""), MLK_ORDER_NO_ANSWER);
	assert_int_equal(start_result(504, ""), MLK_ORDER_NO_ANSWER);
	assert_int_equal(start_result(302, ""), MLK_ORDER_NO_ANSWER);
	assert_int_equal(start_result(404, ""), MLK_ORDER_INVALID);
}

/*
 * Guards against a task that is started twice: only a refused connection proves
 * that an order was not sent.  After a timeout or a lost connection the worker
 * may have received it.
 */
static void
test_order_unanswered(void **state)
{
	struct mlk_net_event nev = { .type = MLK_NET_HTTP_RESPONSE };
	struct mlk_runner_event ev = { 0 };
	struct site_listing listing;

	(void)state;
	site_listing_init(&listing);
	nev.u.response.result = MLK_HTTP_NOT_SENT;
	site_order_answer(MLK_ORDER_START, &nev, &ev, &listing);
	assert_int_equal(ev.u.order.result, MLK_ORDER_NOT_SENT);
	nev.u.response.timed_out = true;
	site_order_answer(MLK_ORDER_START, &nev, &ev, &listing);
	assert_int_equal(ev.u.order.result, MLK_ORDER_NO_ANSWER);
	nev.u.response.timed_out = false;
	nev.u.response.result = MLK_HTTP_LOST;
	site_order_answer(MLK_ORDER_START, &nev, &ev, &listing);
	assert_int_equal(ev.u.order.result, MLK_ORDER_NO_ANSWER);
	nev.u.response.result = MLK_HTTP_TIMEOUT;
	site_order_answer(MLK_ORDER_START, &nev, &ev, &listing);
	assert_int_equal(ev.u.order.result, MLK_ORDER_NO_ANSWER);
	site_listing_clear(&listing);
}

/*
 * Guards against a run that counts as lost because the worker's listing is
 * parsed wrongly, or because an incomplete listing is accepted.
 */
static void
test_listing(void **state)
{
	struct site_listing listing;
	struct mlk_runner_event ev;

	(void)state;
	parse_answer(MLK_ORDER_LIST, 200,
	    "{\"clock_ms\":9,\"born\":77,\"running\":[[\"" ID
	    ".0.1.17\",2,\"\",41]],\"ended\":[[58,\"" ID
	    ".0.1.9\",1,\"done\",\"\"],[59,\"" ID
	    ".0.0.1\",3,\"lapsed\",\"\"],[60,\"" ID
	    ".0.0.2\",1,\"alone\",\"\"]]}",
	    &ev, &listing);
	assert_int_equal(ev.u.order.result, MLK_ORDER_OK);
	assert_int_equal(ev.u.order.boot, 77);
	assert_int_equal(ev.u.order.nrunning, 1);
	assert_string_equal(ev.u.order.running[0].name.id, ID);
	assert_int_equal(ev.u.order.running[0].name.index, 17);
	assert_int_equal(ev.u.order.running[0].name.run, 2);
	assert_int_equal(ev.u.order.running[0].percent, 41);
	assert_int_equal(ev.u.order.nended, 3);
	assert_int_equal(ev.u.order.ended[0].number, 58);
	assert_int_equal(ev.u.order.ended[0].how, MLK_LISTED_DONE);
	assert_int_equal(ev.u.order.ended[1].how, MLK_LISTED_LEASE_EXPIRED);
	assert_int_equal(ev.u.order.ended[2].how, MLK_LISTED_OTHER);
	site_listing_clear(&listing);
	parse_answer(MLK_ORDER_LIST, 200, "{\"clock_ms\":9,\"running\":[]}",
	    &ev, &listing);
	assert_int_equal(ev.u.order.result, MLK_ORDER_INVALID);
	site_listing_clear(&listing);
}

/*
 * Guards against odd rows in a worker's listing.  An end with a negative or
 * absurd number would make the agent ignore every later end; a percentage above
 * 100 or a run number that does not fit would be read as another value.
 */
static void
test_listing_odd_rows(void **state)
{
	static const char *const ends[] = { "[-1,\"" ID ".0.0.1\",1,\"done\"]",
		"[0,\"" ID ".0.0.1\",1,\"done\"]",
		"[9223372036854775807,\"" ID ".0.0.1\",1,\"done\"]",
		"[\"7\",\"" ID ".0.0.1\",1,\"done\"]",
		"[7,\"" ID ".0.0.1\",-1,\"done\"]",
		"[7,\"" ID ".0.0.1\",4294967297,\"done\"]",
		"[7,\"" ID ".0.0.99999999999\",1,\"done\"]",
		"[7,\"" ID ".0.0.-1\",1,\"done\"]",
		"[7,\"" ID ".0.0.1x\",1,\"done\"]",
		"[7,\"" ID ".1.0.1\",1,\"done\"]", "[7]", "{}", "[[[[]]]]",
		"null" };
	struct site_listing listing;
	struct mlk_runner_event ev;
	char *body;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		body = g_strdup_printf(
		    "{\"clock_ms\":9,\"born\":77,\"running\":[],\"ended\":[%s,"
		    "[8,\"" ID ".0.0.2\",1,\"done\",\"\"]]}",
		    ends[i]);
		parse_answer(MLK_ORDER_LIST, 200, body, &ev, &listing);
		assert_int_equal(ev.u.order.result, MLK_ORDER_OK);
		if (ev.u.order.nended != 1)
			fail_msg("%s was accepted", ends[i]);
		assert_int_equal(ev.u.order.ended[0].number, 8);
		assert_int_equal(listing.skipped, 1);
		site_listing_clear(&listing);
		g_free(body);
	}
	parse_answer(MLK_ORDER_LIST, 200,
	    "{\"clock_ms\":9,\"born\":77,\"ended\":[],\"running\":["
	    "[\"" ID ".0.0.1\",1,\"\",1e30],[\"" ID ".0.0.2\",1,\"\",-5],"
	    "[\"" ID ".0.0.3\",1,\"\",50]]}",
	    &ev, &listing);
	assert_int_equal(ev.u.order.nrunning, 3);
	assert_int_equal(ev.u.order.running[0].percent, 100);
	assert_int_equal(ev.u.order.running[1].percent, 0);
	assert_int_equal(ev.u.order.running[2].percent, 50);
	site_listing_clear(&listing);
}

static bool
parse_rows(struct site_rows *rows, const char *body)
{
	return (site_rows_parse(rows, (const uint8_t *)body, strlen(body)));
}

/*
 * Guards against a removed row of the store that still counts as present, and
 * against a malformed response that is accepted.
 */
static void
test_rows(void **state)
{
	const struct site_row *row;
	struct site_rows rows;

	(void)state;
	assert_true(parse_rows(&rows,
	    "{\"ver\":12,\"truncated\":false,\"rows\":["
	    "{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"ver\":11,"
	    "\"value\":\"aGk=\"},{\"key\":\"gone\",\"ver\":12,"
	    "\"removed\":true},{\"ver\":1}]}"));
	assert_int_equal(rows.version, 12);
	assert_int_equal(rows.rows->len, 2);
	row = &g_array_index(rows.rows, struct site_row, 0);
	assert_string_equal(row->key, "k");
	assert_int_equal(row->len, 2);
	assert_memory_equal(row->value, "hi", 2);
	row = &g_array_index(rows.rows, struct site_row, 1);
	assert_null(row->value);
	site_rows_clear(&rows);
	assert_false(parse_rows(&rows, "{\"rows\":[]}"));
	site_rows_clear(&rows);
	assert_false(parse_rows(&rows, "nothing"));
	site_rows_clear(&rows);
}

/*
 * Guards against one odd row of another writer that hides all other rows of its
 * table.
 */
static void
test_rows_odd(void **state)
{
	static const char *const odd[] = {
		"{\"key\":\"a\\u0000b\",\"ver\":3,\"value\":\"aGk=\"}",
		"{\"key\":\"config\\u0000\",\"ver\":3,\"value\":\"aGk=\"}",
		"{\"key\":7,\"ver\":3}", "{\"key\":\"\",\"ver\":3}",
		"{\"key\":\"k\",\"ver\":\"3\",\"value\":\"aGk=\"}",
		"{\"key\":\"k\",\"ver\":-3,\"value\":\"aGk=\"}",
		"{\"key\":\"k\",\"ver\":3,\"value\":[[[[]]]]}", "[]", "null"
	};
	const struct site_row *row;
	struct site_rows rows;
	char *body;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		body = g_strdup_printf(
		    "{\"ver\":12,\"rows\":[%s,"
		    "{\"key\":\"good\",\"ver\":4,\"value\":\"aGk=\"}]}",
		    odd[i]);
		if (!parse_rows(&rows, body))
			fail_msg("the list with %s was rejected", odd[i]);
		assert_int_equal(rows.rows->len, 1);
		assert_int_equal(rows.skipped, 1);
		row = &g_array_index(rows.rows, struct site_row, 0);
		assert_string_equal(row->key, "good");
		site_rows_clear(&rows);
		g_free(body);
	}
}

/*
 * Guards against an address of an entry that the process cannot use: one with a
 * host name would block the event loop during the name lookup.
 */
static void
test_entry_address(void **state)
{
	static const char *const odd[] = { "{\"address\":\"10.0.0.1:70000\"}",
		"{\"address\":\"10.0.0.1:0\"}", "{\"address\":\"10.0.0.1:-1\"}",
		"{\"address\":\"10.0.0.1\"}", "{\"address\":\"\"}",
		"{\"address\":\"example.net:80\"}", "{\"address\":17}",
		"{\"address\":\"10.0.0.1:7000\\u0000x\"}", "[]", "17", "",
		"{\"address\":\"10.0.0.1:7000\",\"incarnation\":1e400}" };
	char addr[MLK_ADDR_MAX], *huge;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		if (site_entry_address_parse(
			addr, (const guchar *)odd[i], strlen(odd[i])))
			fail_msg("%s was accepted", odd[i]);
	}
	huge = g_strdup_printf("{\"address\":\"%*s:1\"}", 60000, "1.2.3.4");
	assert_false(
	    site_entry_address_parse(addr, (const guchar *)huge, strlen(huge)));
	g_free(huge);
	assert_true(site_entry_address_parse(
	    addr, (const guchar *)"{\"address\":\"10.0.0.1:7000\"}", 27));
	assert_string_equal(addr, "10.0.0.1:7000");
}

static bool
parse_routing(struct mlk_routing *out, const char *text)
{
	char why[SITE_WHY_MAX];

	return (
	    site_routing_parse(out, (const guchar *)text, strlen(text), why));
}

/*
 * Guards against a routing table that is applied in part because one of its
 * routes is malformed.
 */
static void
test_routing(void **state)
{
	struct mlk_routing routing;

	(void)state;
	assert_true(parse_routing(&routing,
	    "{\"version\":9,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	    "\"path_prefix\":\"/p/\",\"service\":\"s\",\"timeout_ms\":1500,"
	    "\"target_latency_ms\":60,\"priority\":2,\"attempts\":4,"
	    "\"stretch\":1.6}],\"services\":[{\"name\":\"s\","
	    "\"enforces_capacity\":true}],\"limits\":{}}"));
	assert_int_equal(routing.version, 9);
	assert_int_equal(routing.nroutes, 1);
	assert_string_equal(routing.routes[0].pool, "s");
	assert_int_equal(routing.routes[0].stretch, 1600);
	assert_int_equal(routing.routes[0].attempts, 4);
	assert_int_equal(routing.npools, 1);
	assert_true(routing.pools[0].enforces_capacity);
	mlk_routing_clear(&routing);
	assert_false(parse_routing(&routing, "{\"version\":0,\"routes\":[]}"));
	assert_false(parse_routing(&routing, "{\"version\":3}"));
	assert_false(parse_routing(
	    &routing, "{\"version\":3,\"routes\":[{\"host\":\"h\"}]}"));
	assert_false(parse_routing(&routing, "\xfe"));
	assert_true(parse_routing(&routing,
	    "{\"version\":3,\"routes\":["
	    "{\"host\":\"h\",\"path_prefix\":\"/p/\",\"service\":\"s\","
	    "\"stretch\":1e300},"
	    "{\"host\":\"h\",\"path_prefix\":\"/q/\",\"service\":\"s\","
	    "\"stretch\":-2}]}"));
	assert_int_equal(routing.routes[0].stretch, 1000);
	assert_int_equal(routing.routes[1].stretch, 1000);
	mlk_routing_clear(&routing);
	assert_int_equal(routing.version, 0);
}

/* Guards against a change of the fields that operators' tools read. */
static void
test_evacuations_body(void **state)
{
	char unconfirmed[1][MLK_NAME_MAX] = { "agent-1" };
	struct mlk_evacuation_status item = { .dc = "dc-a",
		.version = 7,
		.since_ms = 1500,
		.agents = 2,
		.running = 3,
		.nunconfirmed = 1,
		.unconfirmed = unconfirmed };
	const struct mlk_evacuation_report report = {
		.version = 9, .n = 1, .items = &item
	};
	char *body = site_evacuations_body(&report);

	(void)state;
	assert_string_equal(body,
	    "{\"version\":9,\"evacuations\":[{\"dc\":\"dc-a\","
	    "\"version\":7,\"since_ms\":1500,\"agents\":2,"
	    "\"unconfirmed\":[\"agent-1\"],\"running\":3}]}");
	free(body);
}

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define TICK_MS 20 /* of the programs */
/* From a stall on, until a process is in touch with the store again. */
#define CONTACT_MS 3000
#define STORE_ANSWER_MS 100 /* for a new connection and an answer */

/*
 * Guards against routing changes that take effect too late after the open
 * connections to the store have gone silent, just when a call was sent.
 */
static void
test_stalled_store_is_noticed(void **state)
{
	struct mlk_watch w;
	int64_t now, stalled_at;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 100; seed++) {
		mlk_watch_init(&w, seed, SITE_ROUTES_POLL_WAIT_MS);
		assert_int_equal(mlk_watch_due(&w, 0), MLK_WATCH_READ);
		mlk_watch_ended(&w, MLK_WATCH_ROWS, 5, 0);
		stalled_at = TICK_MS * MS;
		assert_int_equal(
		    mlk_watch_due(&w, stalled_at), MLK_WATCH_FOLLOW);
		now = stalled_at + (int64_t)w.timeout_ms * MS;
		mlk_watch_ended(&w, MLK_WATCH_UNAVAILABLE, 0, now);
		while (mlk_watch_due(&w, now) == MLK_WATCH_NONE)
			now += TICK_MS * MS;
		assert_int_equal(w.wait_ms, 0);
		assert_true(
		    now - stalled_at <= (CONTACT_MS - STORE_ANSWER_MS) * MS);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job),
		cmocka_unit_test(test_job_malformed),
		cmocka_unit_test(test_job_unsupported),
		cmocka_unit_test(test_outcomes),
		cmocka_unit_test(test_announcement),
		cmocka_unit_test(test_announcement_out_of_range),
		cmocka_unit_test(test_announcement_odd_fields),
		cmocka_unit_test(test_deep_nesting),
		cmocka_unit_test(test_order_bodies),
		cmocka_unit_test(test_order_results),
		cmocka_unit_test(test_order_status_without_meaning),
		cmocka_unit_test(test_order_unanswered),
		cmocka_unit_test(test_listing),
		cmocka_unit_test(test_listing_odd_rows),
		cmocka_unit_test(test_rows),
		cmocka_unit_test(test_rows_odd),
		cmocka_unit_test(test_entry_address),
		cmocka_unit_test(test_routing),
		cmocka_unit_test(test_evacuations_body),
		cmocka_unit_test(test_stalled_store_is_noticed),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
