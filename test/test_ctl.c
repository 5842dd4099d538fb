/*
 * Tests of monsoonctl against a small deployment: the command lines of
 * docs/OPERATORS.md, their exit codes and output, and HTTPS.
 *
 * Command lines run in sh(1), as operators type them.  $E1 and $E2 are the
 * addresses of the entries, $MLT is the operator's token.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
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

#include "deploy.h"

#define READY_TIMEOUT_MS 15000
#define POLL_US 50000
#define TEXT_MAX 256
#define ANSWER_MAX 1024
#define BACKLOG 4

/* Exit codes of docs/OPERATORS.md. */
#define DONE 0
#define REFUSED 1
#define USAGE 2
#define UNREACHABLE 3

#define OPERATOR_TOKEN "operator-token-of-test-ctl"
#define CALLER_TOKEN "caller-token-of-test-ctl"

static const struct mlk_deploy_options options = {
	.bin_dir = MLK_BIN_DIR,
	.entries = 2,
	.workers = 1,
	.slots = 2,
	.caller_token = CALLER_TOKEN,
	.operator_token = OPERATOR_TOKEN,
};

struct run {
	int code;
	char *out;
	char *err;
};

static struct mlk_deploy *deploy;

/* ---- running command lines ------------------------------------------- */

/*
 * Runs a command line, waits for its end and fills *r, to be freed with
 * run_clear().
 */
static void
run_line(struct run *r, const char *line)
{
	char *argv[] = { "/bin/sh", "-c", (char *)line, NULL };
	GError *error = NULL;
	int status = 0;

	if (!g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
		&r->out, &r->err, &status, &error))
		fail_msg("%s", error->message);
	if (!WIFEXITED(status))
		fail_msg("wait status 0x%x of: %s", (unsigned int)status, line);
	r->code = WEXITSTATUS(status);
}

static void
run_clear(struct run *r)
{
	g_free(r->out);
	g_free(r->err);
}

static void
expect_text(const char *line, const char *found, const char *wanted)
{
	if (wanted != NULL && strstr(found, wanted) == NULL)
		fail_msg("%s\nwanted: %s\nfound: %s", line, wanted, found);
}

/*
 * Runs a command line and checks its exit code, and that out is part of its
 * standard output and err of its standard error; NULL is not checked.
 */
static void
expect_line(const char *line, int code, const char *out, const char *err)
{
	struct run r;

	run_line(&r, line);
	if (r.code != code)
		fail_msg("%s\nexit code %d, expected %d\nout: %s\nerr: %s",
		    line, r.code, code, r.out, r.err);
	expect_text(line, r.out, out);
	expect_text(line, r.err, err);
	run_clear(&r);
}

/*
 * The same for a command of monsoonctl to the first entry, as the operator.
 */
static void
expect_ctl(const char *command, int code, const char *out, const char *err)
{
	char *line = g_strdup_printf(
	    "monsoonctl --entry $E1 --token-env MLT %s", command);

	expect_line(line, code, out, err);
	g_free(line);
}

/*
 * Returns the last line of a text that begins with "monsoonctl ", to be freed
 * with g_free(), or NULL when there is none.
 */
static char *
printed_command(const char *out)
{
	const char *at = g_strrstr(out, "\nmonsoonctl ");

	if (at == NULL)
		return (NULL);
	at++;
	return (g_strndup(at, strcspn(at, "\n")));
}

/* ---- deployment ------------------------------------------------------- */

static int
setup(void **state)
{
	char *path = g_strdup_printf("%s:%s", MLK_CTL_DIR, g_getenv("PATH"));
	struct mlk_error err = { 0 };

	(void)state;
	(void)g_setenv("PATH", path, TRUE);
	(void)g_setenv("MLT", OPERATOR_TOKEN, TRUE);
	(void)g_setenv("CALLER", CALLER_TOKEN, TRUE);
	(void)g_setenv("WRONG", "not-a-known-token", TRUE);
	(void)g_unsetenv("UNSET");
	g_free(path);
	if (mlk_deploy_create(&options, &deploy, &err) != 0 ||
	    mlk_deploy_start(deploy, &err) != 0 ||
	    mlk_deploy_wait_ready(deploy, READY_TIMEOUT_MS, &err) != 0) {
		(void)fprintf(stderr, "%s\n", err.msg);
		mlk_deploy_destroy(deploy);
		return (-1);
	}
	(void)g_setenv("E1", mlk_deploy_find(deploy, "entry-1")->http, TRUE);
	(void)g_setenv("E2", mlk_deploy_find(deploy, "entry-2")->http, TRUE);
	(void)g_setenv("DIR", mlk_deploy_dir(deploy), TRUE);
	return (0);
}

/*
 * Entries and agents are killed: when all entries stop as planned at once, none
 * is left to hand partitions over to, and the stop takes seconds.
 */
static int
teardown(void **state)
{
	const struct mlk_deploy_process *p;
	struct mlk_error err;
	uint32_t i;

	(void)state;
	for (i = 0; i < mlk_deploy_count(deploy); i++) {
		p = mlk_deploy_at(deploy, i);
		if (p->role >= MLK_DEPLOY_AGENT)
			(void)mlk_deploy_kill(deploy, p->name, &err);
	}
	mlk_deploy_destroy(deploy);
	return (0);
}

/* ---- plans and confirms ----------------------------------------------- */

/* Guards against a plan that takes effect without a confirm, and against a
 * printed confirm command that does not work when it is pasted into a shell. */
static void
test_plan_and_confirm(void **state)
{
	struct run plan;
	char *command;

	(void)state;
	expect_ctl("intents", DONE, "version 0\nID ", NULL);
	run_line(&plan,
	    "monsoonctl --entry $E1 --entry $E2 --token-env MLT "
	    "drain worker agent-1 --reason \"Ann's \\$HOME swap\" "
	    "--expires 3600");
	assert_int_equal(plan.code, DONE);
	expect_text("plan", plan.out, "on version 0\n  worker agent-1 is kept");
	assert_string_equal(plan.err, "");
	expect_ctl("intents", DONE, "version 0\n", NULL);
	command = printed_command(plan.out);
	assert_non_null(command);
	expect_line(command, DONE, "confirmed as version 1\n", NULL);
	expect_line(command, DONE, "confirmed as version 1\n", NULL);
	expect_ctl("intents", DONE, "version 1\n", NULL);
	expect_ctl("intents", DONE, "Ann's $HOME swap\n", NULL);
	expect_ctl("plan remove v1-drain_worker --yes", DONE,
	    "confirmed as version 2\n", NULL);
	g_free(command);
	run_clear(&plan);
}

/* Guards against --yes that does not confirm, against arguments that do not
 * reach the entry, and against warnings and errors of the entry that are not
 * shown. */
static void
test_plan_types(void **state)
{
	(void)state;
	expect_ctl("plan team_weight booking 200 --reason 'evening peak' --yes",
	    DONE,
	    "  team booking has weight 200 (default 100)\n"
	    "confirmed as version 3\n",
	    NULL);
	expect_ctl("plan kind_urgency stamp 0", DONE, "urgency 0 of 2", NULL);
	expect_ctl("plan long_cap 500", DONE, "limited to 500 permille", NULL);
	expect_ctl("plan team_quota booking 0", DONE, "to confirm:\n", NULL);
	expect_ctl("plan prefer_dc booking --target dc-1", DONE, "dc-1", NULL);
	expect_ctl("drain dc dc-1", DONE, "dc-1", NULL);
	expect_ctl("drain worker agnet-1", DONE,
	    "warning: no worker of the name agnet-1 is known here", NULL);
	expect_ctl("plan team_weight booking 20000", REFUSED, NULL,
	    "value: expected 1..10000 for team_weight, found 20000 "
	    "(status 400, invalid)");
	expect_ctl("plan prefer_dc booking", REFUSED, NULL,
	    "target: expected a data centre");
	expect_ctl(
	    "plan remove v9-none", REFUSED, NULL, "(status 404, not_found)");
}

/* Guards against a plan on an old version that takes effect, and against a
 * conflict that is reported without a new plan to confirm. */
static void
test_conflict(void **state)
{
	struct run plan, confirm;
	char *command;

	(void)state;
	run_line(&plan,
	    "monsoonctl --entry $E1 --token-env MLT plan team_weight red 150");
	command = printed_command(plan.out);
	assert_non_null(command);
	expect_ctl("plan team_weight blue 150 --yes", DONE,
	    "confirmed as version 4\n", NULL);
	run_line(&confirm, command);
	assert_int_equal(confirm.code, REFUSED);
	expect_text(command, confirm.err, "(status 409, conflict)");
	expect_text(
	    command, confirm.out, "nothing was changed; the plan now:\nplan ");
	g_free(command);
	command = printed_command(confirm.out);
	assert_non_null(command);
	expect_line(command, DONE, "confirmed as version 5\n", NULL);
	g_free(command);
	run_clear(&confirm);
	run_clear(&plan);
}

/* Guards against an audit trail or a status that is not shown in full, and
 * against JSON output that lacks the fields that programs read. */
static void
test_show(void **state)
{
	(void)state;
	expect_ctl("audit", DONE, " VERSION AT ", NULL);
	expect_ctl("audit", DONE,
	    "operator     team booking has weight 200 (default 100)\n", NULL);
	expect_ctl("audit --json", DONE, "\"digest\":", NULL);
	expect_ctl("status", DONE, "entry                    entry-1\n", NULL);
	expect_ctl("status", DONE, "agents_live              1\n", NULL);
	expect_ctl("status", DONE, "config_version           5\n", NULL);
	expect_ctl("status --json", DONE, "\"lines\": [", NULL);
	expect_ctl("intents --json", DONE, "\"version\": 5", NULL);
	expect_line("monsoonctl --help", DONE, "Exit codes:", NULL);
}

/* Guards against a watch that misses or repeats a version, or does not end when
 * it is interrupted. */
static void
test_watch(void **state)
{
	(void)state;
	expect_line("timeout -k 1 20 monsoonctl --entry $E1 --token-env MLT "
		    "watch >$DIR/watch.out & w=$!\n"
		    "i=0; until grep -q '^version 5$' $DIR/watch.out || "
		    "test $i = 100; do sleep 0.05; i=$((i + 1)); done\n"
		    "monsoonctl --entry $E2 --token-env MLT "
		    "plan long_cap 600 --yes\n"
		    "i=0; until grep -q '^version 6$' $DIR/watch.out || "
		    "test $i = 100; do sleep 0.05; i=$((i + 1)); done\n"
		    "kill $w; wait $w; echo ended $?\n"
		    "grep '^version' $DIR/watch.out",
	    DONE, "confirmed as version 6\nended 0\nversion 5\nversion 6\n",
	    NULL);
}

/* ---- errors ------------------------------------------------------------ */

/* Guards against access without an operator's token, and against an error that
 * does not name the token as the cause. */
static void
test_tokens(void **state)
{
	static const char denied[] =
	    "an operator's token is needed (status 403, "
	    "denied)";

	(void)state;
	expect_line("monsoonctl --entry $E1 --token-env WRONG status", REFUSED,
	    NULL, denied);
	expect_line("monsoonctl --entry $E1 --token-env CALLER status", REFUSED,
	    NULL, denied);
	expect_line("monsoonctl --entry $E1 status", REFUSED, NULL, denied);
	expect_line("monsoonctl --entry $E1 --token-env WRONG "
		    "plan long_cap 700 --yes",
	    REFUSED, NULL, denied);
	expect_line("monsoonctl --entry $E1 --token-env UNSET status", USAGE,
	    NULL, "the variable that --token-env names is not set");
	/* If the token were truncated, it would be reported as a wrong one. */
	expect_line("L=$(printf '%0600d' 1) monsoonctl --entry $E1 "
		    "--token-env L status",
	    USAGE, NULL, "the token");
	expect_line("L=\"$MLT\n\" monsoonctl --entry $E1 --token-env L status",
	    USAGE, NULL, "the token");
	expect_ctl("intents", DONE, "version 6\n", NULL);
}

/* Guards against an invalid command line that runs as a different one: a
 * missing value that is taken as 0, a name that is truncated, an option that is
 * ignored. */
static void
test_usage(void **state)
{
	static const char name[] =
	    "a123456789b123456789c123456789d123456789e123456789f123456789g123";
	char *line;

	(void)state;
	expect_line("monsoonctl", USAGE, NULL, "see --help");
	expect_line("monsoonctl status", USAGE, NULL, "--entry");
	expect_ctl("", USAGE, NULL, "a command");
	expect_ctl("stauts", USAGE, NULL, "unknown command");
	expect_ctl("status now", USAGE, NULL, "too many arguments");
	expect_ctl("--no-such-option status", USAGE, NULL, "no-such-option");
	expect_ctl("plan", USAGE, NULL, "TYPE");
	expect_ctl("plan no_type x 1", USAGE, NULL, "known TYPE");
	expect_ctl("plan remove", USAGE, NULL, "plan remove needs one ID");
	expect_ctl("plan team_weight booking x", USAGE, NULL, "one integer");
	expect_ctl("plan team_weight booking 1 2", USAGE, NULL, "VALUE");
	expect_ctl("plan long_cap booking 500", USAGE, NULL, "VALUE");
	/* 0 is a valid value here; a missing one must not be read as 0. */
	expect_ctl("plan team_quota booking --yes", USAGE, NULL, "VALUE");
	expect_ctl("plan kind_urgency stamp --yes", USAGE, NULL, "VALUE");
	expect_ctl("plan drain_worker agent-1 3", USAGE, NULL, "VALUE");
	expect_ctl("drain rack 7", USAGE, NULL, "drain needs worker|dc");
	expect_ctl("drain worker", USAGE, NULL, "drain needs worker|dc");
	expect_ctl("confirm 00", USAGE, NULL, "confirm needs DIGEST");
	expect_ctl("confirm 00 --base 1 --change '{}'", USAGE, NULL,
	    "DIGEST is 32 hexadecimal digits");
	expect_ctl("confirm 0123456789abcdef0123456789abcdef --base 1 "
		   "--change '{'",
	    USAGE, NULL, "--change");
	expect_ctl("drain worker agent-1 --expires -60 --yes", USAGE, NULL,
	    "--expires");
	expect_ctl("drain worker agent-1 --expires 1h", USAGE, NULL, "expires");
	line = g_strdup_printf("drain worker %s", name);
	expect_ctl(line, USAGE, NULL, "longer than");
	g_free(line);
	line = g_strdup_printf("plan remove %s", name);
	expect_ctl(line, USAGE, NULL, "longer than");
	g_free(line);
	line = g_strdup_printf("plan prefer_dc booking --target %s", name);
	expect_ctl(line, USAGE, NULL, "longer than");
	g_free(line);
	line = g_strdup_printf(
	    "drain worker agent-1 --reason '%s %s'", name, name);
	expect_ctl(line, USAGE, NULL, "longer than");
	g_free(line);
	expect_ctl("intents", DONE, "version 6\n", NULL);
}

/*
 * Returns a socket that listens on a free port of 127.0.0.1; writes its
 * address.
 */
static int
listen_loopback(char addr[MLK_ADDR_MAX])
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(
	    bind(fd, (const struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(fd, BACKLOG), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	(void)snprintf(addr, MLK_ADDR_MAX, "127.0.0.1:%u", ntohs(sin.sin_port));
	return (fd);
}

/* Guards against monsoonctl hanging at an entry that is down or does not
 * answer, or not trying the next one. */
static void
test_no_answer(void **state)
{
	char addr[MLK_ADDR_MAX];
	int fd = listen_loopback(addr);

	(void)state;
	(void)g_setenv("SILENT", addr, TRUE);
	expect_line("monsoonctl --entry $SILENT --entry $E1 --token-env MLT "
		    "intents",
	    DONE, "version 6\n", "no answer within 10 s");
	(void)close(fd);
	expect_line("monsoonctl --entry $SILENT --token-env MLT status",
	    UNREACHABLE, NULL, "cannot connect\nmonsoonctl: no entry answered");
	expect_line("monsoonctl --entry $SILENT --entry $E2 --token-env MLT "
		    "intents",
	    DONE, "version 6\n", "cannot connect");
	expect_line("monsoonctl --entry $SILENT --token-env MLT confirm "
		    "0123456789abcdef0123456789abcdef --base 6 --change '{}'",
	    UNREACHABLE, "to repeat the confirm:\nmonsoonctl ",
	    "the result is not known");
	expect_line("monsoonctl --entry nowhere --token-env MLT status",
	    UNREACHABLE, NULL, "no entry answered");
}

struct page {
	int fd; /* of the listener */
	const char *text; /* HTTP response */
};

/*
 * Answers one request with a response that no entry would send.
 */
static gpointer
serve_page(gpointer data)
{
	const struct page *page = data;
	char request[ANSWER_MAX];
	int fd = accept(page->fd, NULL, NULL);

	(void)recv(fd, request, sizeof(request), 0);
	(void)send(fd, page->text, strlen(page->text), MSG_NOSIGNAL);
	(void)shutdown(fd, SHUT_WR);
	(void)recv(fd, request, sizeof(request), 0);
	(void)close(fd);
	return (NULL);
}

/*
 * Checks the result of a command line when the server at $PAGE answers with
 * text.
 */
static void
expect_served(const char *text, const char *line, int code, const char *out,
    const char *err)
{
	struct page page = { .text = text };
	char addr[MLK_ADDR_MAX];
	GThread *thread;

	page.fd = listen_loopback(addr);
	(void)g_setenv("PAGE", addr, TRUE);
	thread = g_thread_new("page", serve_page, &page);
	expect_line(line, code, out, err);
	(void)g_thread_join(thread);
	(void)close(page.fd);
}

/*
 * Checks the result of `monsoonctl intents` when a server answers with text.
 */
static void
expect_page(const char *text, int code, const char *out, const char *err)
{
	expect_served(text, "monsoonctl --entry $PAGE --token-env MLT intents",
	    code, out, err);
}

/* Guards against an evacuation, or an agent that has not confirmed it, that is
 * not shown. */
static void
test_evacuations(void **state)
{
	static const char line[] = "monsoonctl --entry $PAGE evacuations";

	(void)state;
	expect_served("HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n"
		      "{\"version\":41,\"evacuations\":[]}",
	    line, DONE, "version 41\nno data centre is evacuated\n", NULL);
	expect_served("HTTP/1.1 200 OK\r\nContent-Length: 134\r\n\r\n"
		      "{\"version\":42,\"evacuations\":[{\"dc\":\"dc-b\","
		      "\"version\":40,\"since_ms\":12345,\"agents\":3,"
		      "\"unconfirmed\":[\"agent-4\",\"agent-7\"],"
		      "\"running\":12}]}",
	    line, DONE,
	    "dc-b                   40       12.3       3       12 "
	    "agent-4 agent-7\n",
	    NULL);
	expect_ctl("evacuations", REFUSED, NULL, "(status 404");
}

/* Guards against the answer of a server that is not an entry being shown as an
 * empty configuration. */
static void
test_other_server(void **state)
{
	(void)state;
	expect_page("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n",
	    UNREACHABLE, NULL, "not the answer of an entry");
	expect_page("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"ver",
	    UNREACHABLE, NULL, "the connection closed");
	expect_page("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	    REFUSED, NULL, "(status 404");
}

/* ---- HTTPS -------------------------------------------------------------- */

struct tls_entry {
	GPid pid;
	char dir[TEXT_MAX];
};

/*
 * Writes the settings of an additional entry that serves HTTPS.  Returns their
 * path, to be freed with g_free().
 */
static char *
tls_settings(const char *dir)
{
	char http[MLK_ADDR_MAX], rpc[MLK_ADDR_MAX];
	int fds[2];
	char *path = g_strdup_printf("%s/tls.yaml", dir), *text;

	fds[0] = listen_loopback(http);
	fds[1] = listen_loopback(rpc);
	(void)close(fds[0]);
	(void)close(fds[1]);
	text = g_strdup_printf(
	    "id: entry-tls\ndc: dc-1\n"
	    "http:\n  listen: \"0.0.0.0:%s\"\n"
	    "  tls_cert: \"%s/cert.pem\"\n  tls_key: \"%s/key.pem\"\n"
	    "rpc:\n  listen: \"%s\"\n  advertise: \"%s\"\n"
	    "table:\n  address: \"%s\"\npeers: [\"%s\"]\n"
	    "tokens:\n  - {name: operator, role: operator, token: \"%s\"}\n",
	    strchr(http, ':') + 1, dir, dir, rpc, rpc,
	    mlk_deploy_find(deploy, "platform")->http,
	    mlk_deploy_find(deploy, "entry-1")->rpc, OPERATOR_TOKEN);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	(void)g_setenv("TLS", http, TRUE);
	(void)g_setenv("OTHER_IP", "127.0.0.2", TRUE);
	(void)g_setenv("TLS_PORT", strchr(http, ':') + 1, TRUE);
	g_free(text);
	return (path);
}

/*
 * Starts the entry.  A parent-death signal ends it when this program ends.
 */
static void
start_tls_entry(struct tls_entry *t)
{
	char *settings = tls_settings(t->dir);
	char *argv[] = { "setpriv", "--pdeathsig", "KILL", MLK_ENTRY_PROGRAM,
		"--config", settings, NULL };
	GError *error = NULL;

	if (!g_spawn_async(NULL, argv, NULL,
		G_SPAWN_SEARCH_PATH | G_SPAWN_DO_NOT_REAP_CHILD |
		    G_SPAWN_STDERR_TO_DEV_NULL,
		NULL, NULL, &t->pid, &error))
		fail_msg("%s", error->message);
	g_free(settings);
}

static int
setup_tls(void **state)
{
	struct tls_entry *t = g_new0(struct tls_entry, 1);

	*state = t;
	(void)snprintf(t->dir, sizeof(t->dir), "%s", mlk_deploy_dir(deploy));
	return (0);
}

static int
teardown_tls(void **state)
{
	struct tls_entry *t = *state;

	if (t->pid != 0) {
		(void)kill(t->pid, SIGKILL);
		(void)waitpid(t->pid, NULL, 0);
		g_spawn_close_pid(t->pid);
	}
	g_free(t);
	return (0);
}

/*
 * Creates the self-signed certificate of the entry, and one that does not
 * verify it.
 */
static void
make_certificates(void)
{
	expect_line(
	    "for n in '' other-; do openssl req -x509 -newkey ec "
	    "-pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2 "
	    "-subj /CN=${n}test -addext subjectAltName=IP:127.0.0.1 "
	    "-keyout $DIR/${n}key.pem -out $DIR/${n}cert.pem || exit 1; done",
	    DONE, NULL, NULL);
}

/* Guards against HTTPS that does not work, and against a token that is sent to
 * a server whose certificate is not trusted or names another address. */
static void
test_tls(void **state)
{
	static const char refused[] = "cannot connect";
	struct tls_entry *t = *state;

	make_certificates();
	start_tls_entry(t);
	expect_line("i=0; until monsoonctl --tls --tls-ca $DIR/cert.pem "
		    "--entry $TLS --token-env MLT status >$DIR/tls.out "
		    "2>&1 && grep -q '^ready *yes' $DIR/tls.out; do "
		    "test $i = 100 && cat $DIR/tls.out && exit 9; "
		    "sleep 0.1; i=$((i + 1)); done; cat $DIR/tls.out",
	    DONE, "entry                    entry-tls\n", NULL);
	expect_line("monsoonctl --tls --tls-ca $DIR/cert.pem --entry $TLS "
		    "--token-env MLT plan long_cap 550 --yes",
	    DONE, "confirmed as version 7\n", NULL);
	expect_line("c=$(monsoonctl --tls --tls-ca $DIR/cert.pem --entry $TLS "
		    "--token-env MLT plan long_cap 560 | tail -n 1); "
		    "eval \"$c\"",
	    DONE, "confirmed as version 8\n", NULL);
	expect_line("SSL_CERT_FILE=$DIR/cert.pem monsoonctl --tls --entry $TLS "
		    "--token-env MLT intents",
	    DONE, "version 8\n", NULL);
	expect_line("monsoonctl --tls --entry $TLS --token-env MLT intents",
	    UNREACHABLE, NULL, refused);
	expect_line("monsoonctl --tls --tls-ca $DIR/other-cert.pem "
		    "--entry $TLS --token-env MLT intents",
	    UNREACHABLE, NULL, refused);
	expect_line("monsoonctl --tls --tls-ca $DIR/cert.pem "
		    "--entry $OTHER_IP:$TLS_PORT --token-env MLT intents",
	    UNREACHABLE, NULL, refused);
	expect_line("monsoonctl --tls --tls-ca $DIR/none.pem --entry $TLS "
		    "--token-env MLT intents",
	    USAGE, NULL, "--tls-ca");
	expect_line("monsoonctl --tls-ca $DIR/cert.pem --entry $TLS "
		    "--token-env MLT intents",
	    USAGE, NULL, "--tls");
	expect_line("monsoonctl --entry $TLS --token-env MLT intents",
	    UNREACHABLE, NULL, "the connection closed");
	expect_line("monsoonctl --tls --entry $E1 --token-env MLT intents",
	    UNREACHABLE, NULL, refused);
}

int
main(int argc, char **argv)
{
	/* The order matters: the tests expect increasing versions. */
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_plan_and_confirm),
		cmocka_unit_test(test_plan_types),
		cmocka_unit_test(test_conflict),
		cmocka_unit_test(test_show),
		cmocka_unit_test(test_watch),
		cmocka_unit_test(test_tokens),
		cmocka_unit_test(test_usage),
		cmocka_unit_test(test_no_answer),
		cmocka_unit_test(test_other_server),
		cmocka_unit_test(test_evacuations),
		cmocka_unit_test_setup_teardown(
		    test_tls, setup_tls, teardown_tls),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return (cmocka_run_group_tests(tests, setup, teardown));
}
