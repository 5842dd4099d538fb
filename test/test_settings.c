/*
 * Tests of the app library: settings files and their errors, tokens, log lines
 * and the text format of metrics.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <monsoonlock/app.h>

#define ENTRY_HEAD "id: e1\ndc: north\nhttp: {listen: '127.0.0.1:80'}\n"
#define ENTRY_TAIL "table: {address: '127.0.0.1:90'}\n"
#define ENTRY_RPC "rpc: {listen: '127.0.0.1:70'}\n"
#define AGENT_HEAD "id: w1\ndc: north\ntable: {address: '127.0.0.1:90'}\n"

static char file[] = "test-settings-XXXXXX";

static void
write_file(const char *text)
{
	FILE *f;

	f = fopen(file, "w");
	assert_non_null(f);
	assert_true(fputs(text, f) >= 0);
	assert_int_equal(fclose(f), 0);
}

static int
create_file(void **state)
{
	int fd;

	(void)state;
	fd = mkstemp(file);
	return (fd < 0 ? -1 : close(fd));
}

static int
remove_file(void **state)
{
	(void)state;
	return (unlink(file));
}

/*
 * Asserts that an entry's settings are rejected with the expected message.
 */
static void
assert_entry_error(const char *text, const char *expected)
{
	struct mlk_entry_settings *s = NULL;
	struct mlk_error err = { 0 };
	char full[MLK_ERROR_MSG_MAX];

	write_file(text);
	assert_int_equal(
	    mlk_entry_settings_load(file, &s, &err), MLK_ERR_SETTINGS);
	assert_null(s);
	(void)snprintf(full, sizeof(full), "settings: %s: %s", file, expected);
	assert_string_equal(err.msg, full);
}

/*
 * As assert_entry_error(), for an agent's settings.
 */
static void
assert_agent_error(const char *text, const char *expected)
{
	struct mlk_agent_settings *s = NULL;
	struct mlk_error err = { 0 };
	char full[MLK_ERROR_MSG_MAX];

	write_file(text);
	assert_int_equal(
	    mlk_agent_settings_load(file, &s, &err), MLK_ERR_SETTINGS);
	assert_null(s);
	(void)snprintf(full, sizeof(full), "settings: %s: %s", file, expected);
	assert_string_equal(err.msg, full);
}

/*
 * Guards against a key that is ignored or stored in the wrong field: each has a
 * value of its own that differs from the default.
 */
static void
test_entry_values(void **state)
{
	struct mlk_entry_settings *s = NULL;
	struct mlk_error err;

	(void)state;
	write_file("id: e1\ndc: north\n"
		   "log: {level: debug, format: json}\n"
		   "http: {listen: '127.0.0.1:80', max_connections: 7,\n"
		   "  body_max_bytes: 2048, tls_cert: c.pem, tls_key: k.pem}\n"
		   "rpc: {listen: '0.0.0.0:70', advertise: '10.0.0.1:70'}\n"
		   "peers: ['10.0.0.2:70', '[::1]:70']\n"
		   "policy: least-loaded\n"
		   "limits: {max_jobs: 11, max_queued_tasks: 12}\n"
		   "timing: {retention_s: 13, lease_ms: 114,\n"
		   "  peer_timeout_ms: 115, agent_lapse_ms: 116,\n"
		   "  takeover_wait_ms: 117}\n" ENTRY_TAIL);
	assert_int_equal(mlk_entry_settings_load(file, &s, &err), 0);
	assert_int_equal(s->common.log_level, MLK_LOG_DEBUG);
	assert_true(s->common.log_json);
	assert_string_equal(s->common.table_address, "127.0.0.1:90");
	assert_int_equal(s->http_max_connections, 7);
	assert_int_equal(s->http_body_max_bytes, 2048);
	assert_string_equal(s->tls_cert, "c.pem");
	assert_string_equal(s->tls_key, "k.pem");
	assert_string_equal(s->options.self.addr, "10.0.0.1:70");
	assert_int_equal(s->options.npeers, 2);
	assert_string_equal(s->options.peers[1], "[::1]:70");
	assert_int_equal(s->options.policy, MLK_POLICY_LEAST_LOADED);
	assert_int_equal(s->options.max_jobs, 11);
	assert_int_equal(s->options.max_queued, 12);
	assert_int_equal(s->options.retention_s, 13);
	assert_int_equal(s->options.lease_ms, 114);
	assert_int_equal(s->options.peer_timeout_ms, 115);
	assert_int_equal(s->options.agent_lapse_ms, 116);
	assert_int_equal(s->options.takeover_wait_ms, 117);
	mlk_entry_settings_free(s);
}

/*
 * Guards against a setting that is zero instead of its default when its key is
 * absent.
 */
static void
test_defaults(void **state)
{
	struct mlk_entry_settings *e = NULL;
	struct mlk_agent_settings *a = NULL;
	struct mlk_error err;

	(void)state;
	write_file(ENTRY_HEAD ENTRY_RPC ENTRY_TAIL);
	assert_int_equal(mlk_entry_settings_load(file, &e, &err), 0);
	assert_int_equal(e->common.log_level, MLK_LOG_NOTICE);
	assert_string_equal(e->options.self.addr, "127.0.0.1:70");
	assert_int_equal(e->options.retention_s, 900);
	assert_int_equal(e->options.takeover_wait_ms, 3000);
	assert_true(e->options.self.incarnation != 0);
	mlk_entry_settings_free(e);
	write_file(AGENT_HEAD "endpoint: {address: '127.0.0.1:60'}\n"
			      "policy: random\n");
	assert_int_equal(mlk_agent_settings_load(file, &a, &err), 0);
	assert_int_equal(a->options.slots, 8);
	assert_int_equal(a->options.retention_s, 900);
	assert_true(a->options.queue_at_worker);
	assert_string_equal(a->endpoint_address, "127.0.0.1:60");
	mlk_agent_settings_free(a);
}

/*
 * Guards against an invalid value whose error does not let an operator find it:
 * the message has the key, what was expected, what was found and the line.
 */
static void
test_value_errors(void **state)
{
	(void)state;
	assert_agent_error(AGENT_HEAD
	    "endpoint:\n  address: 127.0.0.1:1\n  slots: 0\n",
	    "endpoint.slots: expected 1..1024, found 0 (line 6)");
	assert_agent_error(AGENT_HEAD
	    "endpoint:\n  address: 127.0.0.1:1\n  slots: -3\n",
	    "endpoint.slots: expected 1..1024, found -3 (line 6)");
	assert_agent_error(AGENT_HEAD
	    "endpoint:\n  address: 127.0.0.1:1\n  slots: many\n",
	    "endpoint.slots: expected 1..1024, found many (line 6)");
	assert_agent_error(AGENT_HEAD
	    "endpoint:\n  address: 127.0.0.1:1\n  slots: [1]\n",
	    "endpoint.slots: expected 1..1024, found a list (line 6)");
	assert_agent_error(AGENT_HEAD "endpoint:\n  address: 127.0.0.1:0\n",
	    "endpoint.address: expected ip:port, found 127.0.0.1:0 (line 5)");
	assert_agent_error(AGENT_HEAD "endpoint: 5\n",
	    "endpoint: expected a mapping, found a single value (line 4)");
	assert_agent_error(
	    AGENT_HEAD, "endpoint.address: expected ip:port, found nothing");
	assert_entry_error(ENTRY_HEAD ENTRY_RPC "policy: fastest\n" ENTRY_TAIL,
	    "policy: expected credits|random|least-loaded, found fastest "
	    "(line 5)");
	assert_entry_error(ENTRY_HEAD ENTRY_RPC
	    "peers: ['127.0.0.1:1', host:2]\n" ENTRY_TAIL,
	    "peers[2]: expected ip:port, found host:2 (line 5)");
	assert_entry_error(ENTRY_HEAD ENTRY_RPC "peers: 5\n" ENTRY_TAIL,
	    "peers: expected a list of ip:port, found a single value "
	    "(line 5)");
	assert_entry_error("id: 'e 1'\n",
	    "id: expected 1..63 letters, digits, '-', '_' or '.', "
	    "found e 1 (line 1)");
}

/*
 * Guards against a misspelt or repeated key that is silently ignored, so that
 * another value is in force than the operator wrote.
 */
static void
test_key_errors(void **state)
{
	(void)state;
	assert_entry_error(ENTRY_HEAD ENTRY_RPC "colour: red\n" ENTRY_TAIL,
	    "colour: expected a known key, found colour (line 5)");
	assert_entry_error(ENTRY_HEAD ENTRY_RPC
	    "timing:\n  lease_s: 3\n" ENTRY_TAIL,
	    "timing.lease_s: expected a known key, found lease_s (line 6)");
	assert_entry_error(ENTRY_HEAD ENTRY_RPC "id: e2\n" ENTRY_TAIL,
	    "id: expected one value, found two (line 1)");
}

/*
 * Guards against a combination of settings that cannot work although each is
 * valid by itself.
 */
static void
test_combination_errors(void **state)
{
	(void)state;
	assert_entry_error("id: e1\ndc: n\nhttp: {listen: '127.0.0.1:1', "
			   "tls_cert: c.pem}\n" ENTRY_RPC ENTRY_TAIL,
	    "http.tls_cert: expected http.tls_cert and http.tls_key together, "
	    "found one of them (line 3)");
	assert_entry_error(ENTRY_HEAD
	    "rpc: {listen: '0.0.0.0:70'}\n" ENTRY_TAIL,
	    "rpc.advertise: expected ip:port, as rpc.listen is a wildcard, "
	    "found nothing");
}

/*
 * Guards against a file that is missing, empty, malformed or not a mapping and
 * is accepted, or rejected without naming the file or the cause.
 */
static void
test_file_errors(void **state)
{
	struct mlk_entry_settings *s = NULL;
	struct mlk_error err;

	(void)state;
	assert_int_equal(mlk_entry_settings_load("no-such-file.yaml", &s, &err),
	    MLK_ERR_SETTINGS);
	assert_non_null(strstr(err.msg, "no-such-file.yaml"));
	write_file("id: [e1\ndc: }\n");
	assert_int_equal(
	    mlk_entry_settings_load(file, &s, &err), MLK_ERR_SETTINGS);
	assert_non_null(strstr(err.msg, file));
	write_file("");
	assert_int_equal(
	    mlk_entry_settings_load(file, &s, &err), MLK_ERR_SETTINGS);
	assert_non_null(strstr(err.msg, "id: expected"));
	write_file("- a\n- b\n");
	assert_int_equal(
	    mlk_entry_settings_load(file, &s, &err), MLK_ERR_SETTINGS);
	assert_non_null(strstr(err.msg, "expected a YAML mapping"));
}

/*
 * Guards against a token that appears in an error message, and from there in
 * logs, because the list item that contains it is invalid.
 */
static void
test_token_errors(void **state)
{
	(void)state;
	assert_entry_error(ENTRY_HEAD ENTRY_RPC
	    "tokens:\n- {name: a, role: caller, token: short}\n" ENTRY_TAIL,
	    "tokens[1]: expected a token of 8..256 characters, "
	    "found 5 characters (line 6)");
	assert_entry_error(ENTRY_HEAD ENTRY_RPC
	    "tokens:\n- {name: a, role: root, token: long-enough}\n" ENTRY_TAIL,
	    "tokens[1]: expected role caller|operator, found root (line 6)");
	assert_entry_error(ENTRY_HEAD ENTRY_RPC
	    "tokens:\n- {name: a, role: caller}\n" ENTRY_TAIL,
	    "tokens[1].token: expected a value, found nothing (line 6)");
	assert_entry_error(ENTRY_HEAD ENTRY_RPC
	    "tokens:\n- {name: a, role: caller, token: [secret]}\n" ENTRY_TAIL,
	    "tokens: expected a list of {name, role, token}, found a list "
	    "(line 6)");
}

/*
 * Guards against a role that is granted for a wrong, truncated or missing token
 * or without the Bearer scheme.
 */
static void
test_token_roles(void **state)
{
	struct mlk_entry_settings *s = NULL;
	struct mlk_tokens none = { 0 };
	char name[MLK_NAME_MAX];
	struct mlk_error err;

	(void)state;
	write_file(ENTRY_HEAD ENTRY_RPC ENTRY_TAIL
	    "tokens:\n"
	    "- {name: maps, role: caller, token: caller-token}\n"
	    "- {name: ann, role: operator, token: operator-token}\n");
	assert_int_equal(mlk_entry_settings_load(file, &s, &err), 0);
	assert_int_equal(
	    mlk_tokens_check(&s->tokens, "Bearer caller-token", name),
	    MLK_ROLE_CALLER);
	assert_string_equal(name, "maps");
	assert_int_equal(
	    mlk_tokens_check(&s->tokens, "Bearer operator-token", name),
	    MLK_ROLE_OPERATOR);
	assert_string_equal(name, "ann");
	assert_int_equal(
	    mlk_tokens_check(&s->tokens, "Bearer operator-toke", name),
	    MLK_ROLE_NONE);
	assert_int_equal(mlk_tokens_check(&s->tokens, "operator-token", name),
	    MLK_ROLE_NONE);
	assert_int_equal(mlk_tokens_check(&s->tokens, "", name), MLK_ROLE_NONE);
	assert_int_equal(mlk_tokens_check(&none, "", name), MLK_ROLE_CALLER);
	assert_int_equal(
	    mlk_tokens_check(&none, "Bearer x", name), MLK_ROLE_NONE);
	mlk_entry_settings_free(s);
}

/*
 * Guards against a message that breaks its log line or forges another one,
 * because it contains quotes or a newline.
 */
static void
test_log_lines(void **state)
{
	char *line;

	(void)state;
	line = mlk_log_format(true,
	    &(struct mlk_log_line){ .wall_ms = 1500,
		.level = MLK_LOG_WARNING,
		.message = "a \"b\"\nc",
		.submission = "k1",
		.worker = "",
		.epoch = "7" });
	assert_string_equal(line,
	    "{\"time\":\"1970-01-01T00:00:01.500Z\",\"level\":\"warning\","
	    "\"message\":\"a \\\"b\\\"\\nc\",\"submission\":\"k1\","
	    "\"epoch\":\"7\"}");
	free(line);
	line = mlk_log_format(false,
	    &(struct mlk_log_line){ .wall_ms = 1500,
		.level = MLK_LOG_NOTICE,
		.message = "a\nb",
		.worker = "w1" });
	assert_string_equal(
	    line, "1970-01-01T00:00:01.500Z notice: a b worker=w1");
	free(line);
}

/*
 * Guards against metrics that a scraper rejects because their HELP or TYPE line
 * is missing.
 */
static void
test_metrics_text(void **state)
{
	struct mlk_link_counters links = { 0 };
	GString *out;

	(void)state;
	out = g_string_new(NULL);
	links.sent_msgs[MLK_MSG_START] = 3;
	mlk_metrics_counter(out, "a_total", "Things", 2);
	mlk_metrics_links(out, &links);
	assert_true(g_str_has_prefix(out->str,
	    "# HELP a_total Things\n# TYPE a_total counter\na_total 2\n"));
	assert_non_null(strstr(out->str,
	    "# TYPE monsoonlock_link_sent_messages_total counter\n"
	    "monsoonlock_link_sent_messages_total{type=\""));
	assert_non_null(strstr(out->str, "\"} 3\n"));
	(void)g_string_free(out, TRUE);
}

#define SITE_ENTRY                                              \
	"id: e1\ndc: north\ncallers: {listen: '10.0.0.1:80'}\n" \
	"readiness: {listen: '10.0.0.1:81'}\nstore: {address: " \
	"'10.0.0.9:90'}\n"

/*
 * Guards against an entry that others cannot connect to, because it advertises
 * a wildcard address or another one than its settings name.
 */
static void
test_advertised_links(void **state)
{
	struct mlk_site_entry_settings *s = NULL;
	struct mlk_error err = { 0 };

	(void)state;
	write_file(SITE_ENTRY "links: {listen: '10.0.0.1:70'}\n");
	assert_int_equal(mlk_site_entry_settings_load(file, &s, &err), 0);
	assert_string_equal(s->links_advertise, "10.0.0.1:70");
	mlk_site_entry_settings_free(s);
	write_file(SITE_ENTRY
	    "links: {listen: '0.0.0.0:70', advertise: '10.0.0.2:71'}\n");
	assert_int_equal(mlk_site_entry_settings_load(file, &s, &err), 0);
	assert_string_equal(s->links_advertise, "10.0.0.2:71");
	mlk_site_entry_settings_free(s);
	write_file(SITE_ENTRY "links: {listen: '0.0.0.0:70'}\n");
	assert_int_equal(
	    mlk_site_entry_settings_load(file, &s, &err), MLK_ERR_SETTINGS);
	assert_non_null(strstr(err.msg, "links.advertise: expected ip:port"));
}

/* Guards against a mode that is not read, or a misspelt one that is ignored. */
static void
test_interference_mode(void **state)
{
	struct mlk_site_entry_settings *s = NULL;
	struct mlk_error err = { 0 };

	(void)state;
	write_file(SITE_ENTRY "links: {listen: '10.0.0.1:70'}\n");
	assert_int_equal(mlk_site_entry_settings_load(file, &s, &err), 0);
	assert_int_equal(s->site.interference, MLK_INTERFERENCE_OFF);
	mlk_site_entry_settings_free(s);
	write_file(SITE_ENTRY
	    "links: {listen: '10.0.0.1:70'}\ninterference: {mode: avoid, "
	    "pairs: [left right]}\n");
	assert_int_equal(mlk_site_entry_settings_load(file, &s, &err), 0);
	assert_int_equal(s->site.interference, MLK_INTERFERENCE_AVOID);
	assert_int_equal(s->npairs, 1);
	assert_string_equal(s->pairs[0].a, "left");
	assert_string_equal(s->pairs[0].b, "right");
	mlk_site_entry_settings_free(s);
	write_file(SITE_ENTRY
	    "links: {listen: '10.0.0.1:70'}\ninterference: {mode: evade}\n");
	assert_int_equal(
	    mlk_site_entry_settings_load(file, &s, &err), MLK_ERR_SETTINGS);
	write_file(SITE_ENTRY "links: {listen: '10.0.0.1:70'}\n"
			      "interference: {pairs: [left]}\n");
	assert_int_equal(
	    mlk_site_entry_settings_load(file, &s, &err), MLK_ERR_SETTINGS);
	assert_non_null(strstr(err.msg, "interference.pairs[1]"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_entry_values),
		cmocka_unit_test(test_defaults),
		cmocka_unit_test(test_value_errors),
		cmocka_unit_test(test_key_errors),
		cmocka_unit_test(test_combination_errors),
		cmocka_unit_test(test_file_errors),
		cmocka_unit_test(test_token_errors),
		cmocka_unit_test(test_token_roles),
		cmocka_unit_test(test_log_lines),
		cmocka_unit_test(test_metrics_text),
		cmocka_unit_test(test_advertised_links),
		cmocka_unit_test(test_interference_mode),
	};

	return (cmocka_run_group_tests(tests, create_file, remove_file));
}
