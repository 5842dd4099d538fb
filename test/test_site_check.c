/*
 * Tests "monsoonctl check" on the example, and with --against on an entry that
 * has read its configuration from a store: a stand-in in this process that has
 * one row.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>

#define READY_TIMEOUT_US (20 * G_USEC_PER_SEC)
#define POLL_US 50000
#define FEED_PAUSE_US 200000 /* before an answer without changes */
#define REQUEST_MAX 4096
#define ADDR_SIZE 32

extern char **environ;

struct store {
	int listener;
	char *row; /* answer to a read of table op */
};

static char *dir;
static char metrics[ADDR_SIZE]; /* of the entry */

/*
 * Binds a socket to a free port of loopback and writes its address.
 */
static int
bind_free(char addr[ADDR_SIZE])
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&sa, &len), 0);
	(void)snprintf(
	    addr, ADDR_SIZE, "127.0.0.1:%u", (unsigned)ntohs(sa.sin_port));
	return (fd);
}

static void
free_address(char addr[ADDR_SIZE])
{
	(void)close(bind_free(addr));
}

/* ---- the store -------------------------------------------------------- */

struct connection {
	const struct store *store;
	int fd;
};

/*
 * Answers one request: the row for a read of table op, no rows otherwise.
 */
static void *
serve_connection(void *arg)
{
	struct connection *c = arg;
	char request[REQUEST_MAX] = "", *answer;
	const char *body = "{\"rows\":[],\"truncated\":false,\"ver\":1}";

	if (read(c->fd, request, sizeof(request) - 1) > 0) {
		if (strstr(request, "rows-get?table=op") != NULL)
			body = c->store->row;
		if (strstr(request, "rows-feed") != NULL)
			g_usleep(FEED_PAUSE_US);
		answer = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		    strlen(body), body);
		if (write(c->fd, answer, strlen(answer)) < 0)
			(void)fprintf(stderr, "the entry closed a call\n");
		g_free(answer);
	}
	(void)close(c->fd);
	g_free(c);
	return (NULL);
}

static void *
serve_store(void *arg)
{
	struct store *s = arg;
	struct connection *c;
	int fd;

	while ((fd = accept4(s->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		c = g_new0(struct connection, 1);
		c->store = s;
		c->fd = fd;
		g_thread_unref(g_thread_new("call", serve_connection, c));
	}
	return (NULL);
}

static char *
row_of(const char *path)
{
	gchar *text = NULL, *value, *row;
	gsize len;

	assert_true(g_file_get_contents(path, &text, &len, NULL));
	value = g_base64_encode((const guchar *)text, len);
	row = g_strdup_printf("{\"rows\":[{\"table\":\"op\",\"part\":\"\","
			      "\"key\":\"config\",\"ver\":1,\"value\":\"%s\"}],"
			      "\"truncated\":false,\"ver\":1}",
	    value);
	g_free(text);
	g_free(value);
	return (row);
}

/* ---- the entry -------------------------------------------------------- */

static pid_t
start_entry(const char *store)
{
	char links[ADDR_SIZE], callers[ADDR_SIZE], ready[ADDR_SIZE];
	char *path = g_build_filename(dir, "entry.yaml", NULL), *text;
	char *argv[] = { (char *)(uintptr_t)MLK_SITE_ENTRY,
		(char *)(uintptr_t) "--config", path, NULL };
	pid_t pid;

	free_address(links);
	free_address(callers);
	free_address(ready);
	free_address(metrics);
	text = g_strdup_printf("id: e1\ndc: a\nentries: []\n"
			       "links: {listen: \"%s\"}\n"
			       "callers: {listen: \"%s\"}\n"
			       "readiness: {listen: \"%s\"}\n"
			       "metrics: {listen: \"%s\"}\n"
			       "store: {address: \"%s\"}\n",
	    links, callers, ready, metrics, store);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	assert_int_equal(
	    posix_spawn(&pid, MLK_SITE_ENTRY, NULL, NULL, argv, environ), 0);
	g_free(text);
	g_free(path);
	return (pid);
}

/* ---- the command ------------------------------------------------------ */

/*
 * Runs "monsoonctl check" and returns the exit code.  The caller frees *out.
 */
static int
run_check(const char *file, const char *against, bool json, char **out)
{
	const char *argv[] = { MLK_CTL, "check", file, NULL, NULL, NULL, NULL };
	int n = 3, status = 0;

	if (json)
		argv[n++] = "--json";
	if (against != NULL) {
		argv[n++] = "--against";
		argv[n++] = against;
	}
	assert_true(g_spawn_sync(NULL, (char **)argv, NULL,
	    G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, out, NULL, &status, NULL));
	assert_true(WIFEXITED(status));
	return (WEXITSTATUS(status));
}

static void
expect_run(const char *file, const char *against, int code, const char *part)
{
	char *out;
	int found = run_check(file, against, false, &out);

	if (found != code || strstr(out, part) == NULL)
		fail_msg("exit code %d, expected %d with '%s' in\n%s", found,
		    code, part, out);
	g_free(out);
}

/*
 * Writes a copy of the example in which each of `changes`, pairs of texts that
 * end with NULL, is replaced.  The caller frees the path.
 */
static char *
changed_example(const char *name, const char *const *changes)
{
	char *path = g_build_filename(dir, name, NULL), *text = NULL;
	char **parts;

	assert_true(g_file_get_contents(MLK_EXAMPLE, &text, NULL, NULL));
	for (; changes[0] != NULL; changes += 2) {
		parts = g_strsplit(text, changes[0], 2);
		assert_non_null(parts[1]);
		g_free(text);
		text = g_strjoinv(changes[1], parts);
		g_strfreev(parts);
	}
	assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	return (path);
}

/* Guards against exit codes other than those that scripts rely on. */
static void
test_exit_codes(void **state)
{
	static const char *const clean[] = { "\"timeout_ms\": 300",
		"\"timeout_ms\": 3000", NULL };
	static const char *const broken[] = { "\"prints\", \"timeout_ms\"",
		"\"print\", \"timeout_ms\"", NULL };
	char *path, addr[ADDR_SIZE];

	(void)state;
	expect_run(MLK_EXAMPLE, NULL, 1,
	    "configuration.json:11: warning: routes[2].timeout_ms: 300 is "
	    "below");
	path = changed_example("clean.json", clean);
	expect_run(path, NULL, 0, "0 errors, 0 warnings, 3 routes");
	free_address(addr);
	expect_run(path, addr, 3, "0 errors, 0 warnings");
	g_free(path);
	path = changed_example("broken.json", broken);
	expect_run(path, NULL, 2,
	    "broken.json:11: error: routes[2].service: no service is called "
	    "'print'");
	g_free(path);
	expect_run("/nonexistent", NULL, 2, "");
}

/* Guards against fields of --json that change, on which scripts rely. */
static void
test_json(void **state)
{
	const char *severity, *path, *text;
	int version, routes, errors, warnings, line, unreachable;
	json_t *root, *in_force, *differences;
	json_error_t jerr;
	char *out;

	(void)state;
	assert_int_equal(run_check(MLK_EXAMPLE, NULL, true, &out), 1);
	root = json_loads(out, 0, &jerr);
	if (json_unpack_ex(root, &jerr, 0,
		"{s:i, s:i, s:i, s:i, s:[{s:s, s:i, s:s, s:s}], s:o, s:o, s:b}",
		"version", &version, "routes", &routes, "errors", &errors,
		"warnings", &warnings, "findings", "severity", &severity,
		"line", &line, "path", &path, "text", &text, "in_force",
		&in_force, "differences", &differences, "unreachable",
		&unreachable) != 0)
		fail_msg("%s in %s", jerr.text, out);
	assert_true(version == 12 && routes == 3 && errors == 0 &&
	    warnings == 1 && line == 11 && unreachable == 0);
	assert_true(json_is_null(in_force) && json_is_null(differences));
	assert_string_equal(path, "routes[2].timeout_ms");
	json_decref(root);
	g_free(out);
}

/* Guards against differences that are missing or wrong, and against an older
 * version that the entry would ignore. */
static void
test_against(void **state)
{
	static const char *const later[] = { "\"version\": 12",
		"\"version\": 13", "\"timeout_ms\": 1500",
		"\"timeout_ms\": 1200", "\"name\": \"sheets\"",
		"\"name\": \"maps\"", "\"timeout_ms\": 300",
		"\"timeout_ms\": 3000", NULL };
	static const char *const older[] = { "\"timeout_ms\": 300",
		"\"timeout_ms\": 3000", NULL };
	int64_t end = g_get_monotonic_time() + READY_TIMEOUT_US;
	char *path, *out = NULL;

	(void)state;
	while (run_check(MLK_EXAMPLE, metrics, false, &out) == 3 ||
	    strstr(out, "against version 12") == NULL) {
		if (g_get_monotonic_time() > end)
			fail_msg("the entry has no configuration: %s", out);
		g_free(out);
		g_usleep(POLL_US);
	}
	if (strstr(out, "0 differences") == NULL)
		fail_msg("%s", out);
	g_free(out);
	path = changed_example("later.json", later);
	expect_run(
	    path, metrics, 0, "version 13 against version 12 in force at ");
	expect_run(path, metrics, 0,
	    "  changed route lookups, timeout_ms: 1500 -> 1200\n");
	expect_run(path, metrics, 0, "  added   route maps: host ");
	expect_run(path, metrics, 0, "  removed route sheets: host ");
	g_free(path);
	path = changed_example("older.json", older);
	expect_run(path, metrics, 1,
	    "older.json:1: warning: version: not above the version in force");
	g_free(path);
}

static void
remove_files(void)
{
	GDir *list = g_dir_open(dir, 0, NULL);
	const char *name;
	char *path;

	while (list != NULL && (name = g_dir_read_name(list)) != NULL) {
		path = g_build_filename(dir, name, NULL);
		(void)g_unlink(path);
		g_free(path);
	}
	if (list != NULL)
		g_dir_close(list);
	(void)g_rmdir(dir);
	g_free(dir);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_exit_codes),
		cmocka_unit_test(test_json),
		cmocka_unit_test(test_against),
	};
	struct store store = { .row = row_of(MLK_EXAMPLE) };
	char addr[ADDR_SIZE];
	GThread *thread;
	int failed, status;
	pid_t entry;

	(void)signal(SIGPIPE, SIG_IGN);
	dir = g_dir_make_tmp("mlk-check-XXXXXX", NULL);
	store.listener = bind_free(addr);
	if (dir == NULL || listen(store.listener, 16) != 0)
		return (EXIT_FAILURE);
	thread = g_thread_new("store", serve_store, &store);
	entry = start_entry(addr);
	failed = cmocka_run_group_tests(tests, NULL, NULL);
	(void)kill(entry, SIGKILL);
	(void)waitpid(entry, &status, 0);
	(void)shutdown(store.listener, SHUT_RDWR);
	(void)g_thread_join(thread);
	(void)close(store.listener);
	remove_files();
	/* Calls that have not ended use the row until the process exits. */
	return (failed);
}
