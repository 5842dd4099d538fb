/*
 * Tests of the check of a configuration and of the comparison of two.  They
 * guard against findings that are missing, at the wrong place, or about a
 * configuration that entries use as it is.
 */
#include <malloc.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "site_config.h"

#define ROUTE(more)                                               \
	"{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/p/\"," \
	"\"service\":\"s\",\"timeout_ms\":1500,"                  \
	"\"target_latency_ms\":60" more "}"
#define SERVICES "],\n\"services\":[{\"name\":\"s\"}"
#define DOCUMENT(routes) "{\"version\":3,\n\"routes\":[" routes SERVICES "]}"

static struct site_findings *
check(const char *text, struct mlk_routing *routing)
{
	return (site_config_check(routing, (const guchar *)text, strlen(text)));
}

/*
 * Checks that the first finding of a document is the given one, written as
 * "LINE PATH" with part of its text.
 */
static void
expect_finding(const char *text, enum site_severity severity, const char *where,
    const char *part)
{
	static const struct site_finding none = { .path = "", .text = "" };
	const struct site_finding *f;
	struct site_findings *findings;
	struct mlk_routing routing;
	char *found;

	findings = check(text, &routing);
	f = site_findings_at(findings, 0);
	if (f == NULL)
		f = &none;
	found = g_strdup_printf("%u %s", f->line, f->path);
	if (strcmp(found, where) != 0 || strstr(f->text, part) == NULL ||
	    f->severity != severity)
		fail_msg("found %d %s: %s; expected %s: %s", (int)f->severity,
		    found, f->text, where, part);
	g_free(found);
	mlk_routing_clear(&routing);
	site_findings_destroy(findings);
}

/* Guards against a finding about a configuration without a fault. */
static void
test_clean(void **state)
{
	struct site_findings *findings;
	struct mlk_routing routing;

	(void)state;
	findings = check(DOCUMENT(ROUTE("")), &routing);
	assert_null(site_findings_at(findings, 0));
	assert_int_equal(routing.nroutes, 1);
	mlk_routing_clear(&routing);
	site_findings_destroy(findings);
}

/* Guards against values that entries reject or replace without a word. */
static void
test_errors(void **state)
{
	(void)state;
	expect_finding("{\n\"version\":1,\n", SITE_ERROR, "3 ", "expected");
	expect_finding("{\"version\":1,\n\"routes\":[\"\xff\"]}", SITE_ERROR,
	    "2 ", "decode");
	expect_finding("{\"version\":\n1e400}", SITE_ERROR, "2 ", "overflow");
	expect_finding("{\"version\":1}", SITE_ERROR, "1 routes", "a list");
	expect_finding("{\"routes\":[],\n\"version\":\"3\"}", SITE_ERROR,
	    "2 version", "an integer above 0");
	expect_finding("{\"version\":1,\"routes\":[],\n\"version\":2}",
	    SITE_ERROR, "2 version", "twice");
	expect_finding("{\"version\":1,\"routes\":[],\n\"v\\u0065rsion\":2}",
	    SITE_ERROR, "2 ", "duplicate");
	expect_finding(DOCUMENT(ROUTE(",\n\"stretch\":-2")), SITE_ERROR,
	    "3 routes[0].stretch", "entries use 1");
	expect_finding(DOCUMENT(ROUTE("") ",\n{\"host\":\"h\",\"service\":"
					  "\"s\"}"),
	    SITE_ERROR, "3 routes[1].path_prefix", "expected a text");
	expect_finding(DOCUMENT("\n7"), SITE_ERROR, "3 routes[0]", "an object");
	expect_finding(DOCUMENT(ROUTE(",\n\"priority\":\"1\"")), SITE_ERROR,
	    "3 routes[0].priority", "entries use 0");
	expect_finding(DOCUMENT(ROUTE(",\n\"route_type\":1")), SITE_ERROR,
	    "3 routes[0].route_type", "a text");
	expect_finding(DOCUMENT(ROUTE("")) "x", SITE_ERROR, "3 ", "end of");
	expect_finding("{\"version\":3,\"routes\":[\n" ROUTE("") "]}",
	    SITE_ERROR, "2 routes[0].service", "no service is called 's'");
}

/* Guards against items that can never match and limits that contradict each
 * other. */
static void
test_warnings(void **state)
{
	(void)state;
	expect_finding(DOCUMENT(ROUTE(",\n\"atempts\":2")), SITE_WARNING,
	    "3 routes[0].atempts", "unknown key");
	expect_finding(DOCUMENT(ROUTE("") ",\n{\"host\":\"H\",\"path_prefix\":"
					  "\"/p/\",\"service\":\"s\","
					  "\"timeout_ms\":1}"),
	    SITE_WARNING, "3 routes[1]", "routes[0] has the same host");
	expect_finding(DOCUMENT("{\"host\":\"h\",\"path_prefix\":\"\","
				"\"service\":\"s\",\"timeout_ms\":1},\n"
				"{\"host\":\"h\",\"path_prefix\":\"/\","
				"\"service\":\"s\",\"timeout_ms\":1}"),
	    SITE_WARNING, "2 routes[0]", "routes[1] is longer");
	expect_finding(DOCUMENT("{\"host\":\"h:80\",\"path_prefix\":\"/\","
				"\"service\":\"s\",\"timeout_ms\":1}"),
	    SITE_WARNING, "2 routes[0].host", "without a port");
	expect_finding(DOCUMENT("{\"host\":\"h\",\"path_prefix\":\"p\","
				"\"service\":\"s\",\"timeout_ms\":1}"),
	    SITE_WARNING, "2 routes[0].path_prefix", "begin with");
	expect_finding(DOCUMENT(ROUTE(",\n\"attempts\":0")), SITE_WARNING,
	    "3 routes[0].attempts", "one attempt");
	expect_finding(DOCUMENT("{\"host\":\"h\",\"path_prefix\":\"/\","
				"\"service\":\"s\",\n\"timeout_ms\":9,"
				"\"target_latency_ms\":10}"),
	    SITE_WARNING, "3 routes[0].timeout_ms", "below target_latency_ms");
	expect_finding("{\"version\":3,\"routes\":[],\"services\":[\n"
		       "{\"name\":\"s\",\"cold_per_s\":0.2,"
		       "\"cold_start_s\":4}]}",
	    SITE_WARNING, "2 services[0].cold_per_s", "allows no request");
	expect_finding("{\"version\":3,\"routes\":[],\"services\":[\n"
		       "{\"name\":\"s\",\"cold_per_s\":0.5,\"max_conns\":8,"
		       "\"cold_start_s\":4}]}",
	    SITE_WARNING, "2 services[0].cold_per_s", "bursts of 8");
	expect_finding("{\"version\":3,\"routes\":[],\"services\":[\n"
		       "{\"name\":\"s\",\"cold_per_s\":5}]}",
	    SITE_WARNING, "2 services[0].cold_per_s", "without a cold_start_s");
	expect_finding("{\"version\":3,\"routes\":[],\"limits\":{\n"
		       "\"max_header_bytes\":9,\n\"max_body_bytes\":8}}",
	    SITE_WARNING, "3 limits.max_body_bytes", "below max_header_bytes");
}

/* Guards against a check that exhausts memory or the stack. */
static void
test_nesting(void **state)
{
	enum { DEPTH = 2000, COPIES = 60, HEAP_MAX = 64 * 1024 * 1024 };
	GString *text = g_string_new("{\"version\":1,\"routes\":[],\"x\":[1");
	struct site_findings *findings;
	struct mlk_routing routing;
	struct mallinfo2 heap;
	int i, k;

	(void)state;
	for (i = 0; i < COPIES; i++) {
		g_string_append_c(text, ',');
		for (k = 0; k < DEPTH; k++)
			g_string_append(text, "{\"a\":");
		g_string_append_c(text, '1');
		for (k = 0; k < DEPTH; k++)
			g_string_append_c(text, '}');
	}
	g_string_append(text, "]}");
	findings = check(text->str, &routing);
	heap = mallinfo2();
	assert_true(heap.uordblks + heap.hblkhd < HEAP_MAX);
	assert_int_equal(site_findings_count(findings, SITE_ERROR), 0);
	assert_int_equal(site_findings_count(findings, SITE_WARNING), 1);
	mlk_routing_clear(&routing);
	site_findings_destroy(findings);
	(void)g_string_free(text, TRUE);
}

static void
parse(struct mlk_routing *out, const char *text)
{
	char why[SITE_WHY_MAX];

	if (!site_routing_parse(out, (const guchar *)text, strlen(text), why))
		fail_msg("%s", why);
}

#define ROUTE_OF(name, prefix, priority)                                  \
	"{\"name\":\"" name "\",\"host\":\"h\",\"path_prefix\":\"" prefix \
	"\",\"service\":\"s\",\"priority\":" priority "}"

/* Guards against a changed order that is reported as a change, and against
 * changes that are not reported. */
static void
test_diff(void **state)
{
	struct mlk_routing a, b;
	GArray *diff;
	const struct site_difference *d;

	(void)state;
	parse(&a,
	    "{\"version\":1,\"routes\":[" ROUTE_OF("x", "/x/",
		"1") "," ROUTE_OF("y", "/y/", "2") "," ROUTE_OF("", "/z/",
		"3") "],\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}]}");
	parse(&b,
	    "{\"version\":2,\"services\":[{\"name\":\"t\"},{\"name\":\"s\"}],"
	    "\"routes\":[" ROUTE_OF("", "/z/", "3") "," ROUTE_OF(
		"y", "/y/", "2") "," ROUTE_OF("x", "/x/", "1") "]}");
	diff = site_config_diff(&a, &b);
	assert_int_equal(diff->len, 0);
	(void)g_array_free(diff, TRUE);
	mlk_routing_clear(&b);
	parse(&b,
	    "{\"version\":2,\"services\":[{\"name\":\"t\"},{\"name\":\"s\"}],"
	    "\"routes\":[" ROUTE_OF("", "/w/", "3") "," ROUTE_OF(
		"x", "/x/", "5") "," ROUTE_OF("y", "/y/",
		"2") "],\"limits\":{\"max_body_bytes\":7}}");
	diff = site_config_diff(&a, &b);
	assert_int_equal(diff->len, 4);
	d = &g_array_index(diff, struct site_difference, 0);
	assert_true(d->change == SITE_ADDED);
	assert_string_equal(d->item, "route h/w/");
	d++;
	assert_true(d->change == SITE_CHANGED);
	assert_string_equal(d->item, "route x");
	assert_string_equal(d->field, "priority");
	assert_string_equal(d->before, "1");
	assert_string_equal(d->after, "5");
	d++;
	assert_string_equal(d->item, "limits");
	assert_string_equal(d->field, "max_body_bytes");
	d++;
	assert_true(d->change == SITE_REMOVED);
	assert_string_equal(d->item, "route h/z/");
	(void)g_array_free(diff, TRUE);
	mlk_routing_clear(&a);
	mlk_routing_clear(&b);
}

/*
 * Guards against a configuration in force that an entry serves with other
 * values than it uses: what it serves must parse to the same table.
 */
static void
test_round_trip(void **state)
{
	struct mlk_routing a, b;
	char *text;
	json_t *json;
	GArray *diff;

	(void)state;
	parse(&a,
	    DOCUMENT(ROUTE(",\"stretch\":1.601,\"attempts\":4,"
			   "\"priority\":2") SERVICES
		",{\"name\":\"u\",\"health_path\":\"/h\","
		"\"enforces_capacity\":true}],\n\"limits\":"
		"{\"max_body_bytes\":4294967295},\"x\":["));
	json = site_routing_json(&a);
	text = json_dumps(json, JSON_COMPACT);
	parse(&b, text);
	assert_int_equal(b.version, 3);
	assert_int_equal(b.routes[0].stretch, 1601);
	diff = site_config_diff(&a, &b);
	assert_int_equal(diff->len, 0);
	(void)g_array_free(diff, TRUE);
	json_decref(json);
	free(text);
	mlk_routing_clear(&a);
	mlk_routing_clear(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_clean),
		cmocka_unit_test(test_errors),
		cmocka_unit_test(test_warnings),
		cmocka_unit_test(test_nesting),
		cmocka_unit_test(test_diff),
		cmocka_unit_test(test_round_trip),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
