/*
 * Tests of the load driver against simulated entries in child processes.  They
 * guard against jobs that are lost with a connection, answers with another
 * job's results that are not detected, and counts that do not add up.
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

#include <jansson.h>

#include <monsoonlock/net.h>

#include "fetch.h"
#include "stats.h"

#define REQUESTS_BEFORE_EXIT 20
#define OTHER_JOB_EVERY 10
#define START_TRIES 100
#define START_POLL_US 20000

enum server_mode {
	SERVER_GOOD,
	SERVER_EXITS, /* without answering, after some requests */
	SERVER_OTHER_JOB, /* answers some jobs with results of another */
	SERVER_REFUSES, /* answers 503 to all jobs */
};

struct server {
	struct mlk_loop *loop;
	enum server_mode mode;
	int requests;
};

static void
answer_job(struct server *s, const struct mlk_http_request *req)
{
	json_t *job =
	    json_loadb((const char *)req->body, req->body_len, 0, NULL);
	json_t *tasks = json_array();
	const char *id = json_string_value(json_object_get(job, "id"));
	char hex[MLK_KEY_HEX_LEN + 1], result[64], *text;
	bool other_job =
	    s->mode == SERVER_OTHER_JOB && s->requests % OTHER_JOB_EVERY == 0;
	json_t *answer;
	size_t i;

	mlk_key_format(mlk_key_from_id(other_job ? "other" : id), hex);
	for (i = 0; i < json_array_size(json_object_get(job, "tasks")); i++) {
		(void)snprintf(result, sizeof(result), "%s %zu w", hex, i);
		(void)json_array_append_new(tasks,
		    json_pack("{s:i,s:s,s:s}", "index", (int)i, "status",
			"done", "result", result));
	}
	answer = json_pack(
	    "{s:s,s:s,s:o}", "id", id, "outcome", "complete", "tasks", tasks);
	text = json_dumps(answer, JSON_COMPACT);
	(void)mlk_loop_http_reply(s->loop, req->request, 200,
	    "application/json", 0, text, strlen(text));
	free(text);
	json_decref(answer);
	json_decref(job);
}

static void
serve_request(struct server *s, const struct mlk_http_request *req)
{
	static const char busy[] = "{\"error\":{\"code\":\"unavailable\"}}";

	if (strcmp(req->method, "POST") != 0) {
		(void)mlk_loop_http_reply(
		    s->loop, req->request, 200, "text/plain", 0, "", 0);
		return;
	}
	s->requests++;
	if (s->mode == SERVER_EXITS && s->requests > REQUESTS_BEFORE_EXIT)
		_exit(0);
	if (s->mode == SERVER_REFUSES) {
		(void)mlk_loop_http_reply(s->loop, req->request, 503,
		    "application/json", 1, busy, strlen(busy));
	} else {
		answer_job(s, req);
	}
}

static void
handle(void *arg, const struct mlk_net_event *ev)
{
	struct server *s = arg;

	if (ev->type == MLK_NET_HTTP_REQUEST)
		serve_request(s, &ev->u.http);
	else if (ev->type == MLK_NET_STOP)
		_exit(0);
}

/*
 * Writes a loopback address with a free port.
 */
static void
free_addr(char addr[MLK_ADDR_MAX])
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, len), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	(void)close(fd);
	(void)snprintf(addr, MLK_ADDR_MAX, "127.0.0.1:%d", ntohs(sin.sin_port));
}

/*
 * Starts a server in a child process, writes its address and waits until it
 * answers.  Returns its process id.
 */
static pid_t
start_server(enum server_mode mode, char addr[MLK_ADDR_MAX])
{
	struct server s = { .mode = mode };
	struct mlk_loop_options options = {
		.arg = &s,
		.handle = handle,
		.clock = mlk_clock_system(),
		.tick_ms = 10,
		.http_body_max = 1 << 20,
		.http_header_timeout_s = 10,
		.http_max_connections = 1024,
	};
	struct mlk_error err;
	int status, i;
	pid_t pid;

	free_addr(addr);
	pid = fork();
	assert_true(pid >= 0);
	if (pid == 0) {
		s.loop = mlk_loop_create(&options, &err);
		if (s.loop == NULL ||
		    mlk_loop_listen_http(s.loop, addr, &err) != 0)
			_exit(1);
		_exit(mlk_loop_run(s.loop));
	}
	for (i = 0; i < START_TRIES; i++) {
		if (mlk_fetch("GET", addr, "/", NULL, 1, &status, NULL, &err) ==
		    0)
			return (pid);
		(void)usleep(START_POLL_US);
	}
	fail_msg("%s", err.msg);
	return (pid);
}

static void
end_server(pid_t pid)
{
	(void)kill(pid, SIGKILL);
	(void)waitpid(pid, NULL, 0);
}

/*
 * Sends about 200 jobs of 1 to 3 tasks to two servers.  Returns the statistics,
 * to be freed with mlk_load_stats_free().
 */
static struct mlk_load_stats *
drive(enum server_mode first, enum server_mode second)
{
	static const char text[] =
	    "name: t\nduration: 2\nseed: 3\nentries: 2\nworkers: 1\n"
	    "slots: 8\nrate: 100\nresubmit_share: 0.1\nkinds:\n"
	    "  - {name: a, share: 1, min_ms: 1, max_ms: 2}\n"
	    "tasks_per_job:\n  - {share: 1, min: 1, max: 3}\n";
	struct mlk_load_arrivals *arrivals;
	struct mlk_load_run run = { .policy = "test" };
	struct mlk_load_scenario *sc;
	struct mlk_load_stats *stats;
	struct mlk_error err = { 0 };
	pid_t a, b;
	int rc;

	assert_int_equal(
	    mlk_load_scenario_parse(text, strlen(text), "t", &sc, &err), 0);
	assert_int_equal(mlk_load_arrivals_create(sc, &arrivals, &err), 0);
	run.sc = sc;
	run.arrivals = arrivals;
	run.ntargets = 2;
	run.targets = g_malloc0_n(2, sizeof(*run.targets));
	a = start_server(first, run.targets[0]);
	b = start_server(second, run.targets[1]);
	rc = mlk_load_drive(&run, &err);
	end_server(a);
	end_server(b);
	if (rc != 0)
		fail_msg("%s", err.msg);
	stats = mlk_load_stats_create(&run);
	assert_int_equal(stats->groups[0].jobs, arrivals->n);
	mlk_load_run_clear(&run);
	mlk_load_arrivals_free(arrivals);
	mlk_load_scenario_free(sc);
	return (stats);
}

/* Guards against jobs or tasks that are answered and not counted. */
static void
test_all_complete(void **state)
{
	struct mlk_load_stats *s = drive(SERVER_GOOD, SERVER_GOOD);

	(void)state;
	assert_int_equal(
	    s->groups[0].outcomes[MLK_LOAD_COMPLETE], s->groups[0].jobs);
	assert_int_equal(s->tasks_done, s->groups[0].tasks);
	assert_true(mlk_load_stats_ok(s));
	mlk_load_stats_free(s);
}

/* A server exits with jobs in flight.  Guards against jobs that are lost with
 * their connection instead of being sent to the other server. */
static void
test_lost_connection_is_sent_elsewhere(void **state)
{
	struct mlk_load_stats *s = drive(SERVER_EXITS, SERVER_GOOD);

	(void)state;
	assert_int_equal(
	    s->groups[0].outcomes[MLK_LOAD_COMPLETE], s->groups[0].jobs);
	assert_true(s->retries > 0);
	assert_true(mlk_load_stats_ok(s));
	mlk_load_stats_free(s);
}

/* Guards against results of another job that pass as complete. */
static void
test_crossed_answers_are_found(void **state)
{
	struct mlk_load_stats *s = drive(SERVER_OTHER_JOB, SERVER_GOOD);

	(void)state;
	assert_true(s->crossed > 0);
	assert_int_equal(s->partial, s->crossed);
	assert_false(mlk_load_stats_ok(s));
	mlk_load_stats_free(s);
}

/* Guards against a job without a final answer that is counted as answered. */
static void
test_no_answer_is_counted(void **state)
{
	struct mlk_load_stats *s = drive(SERVER_REFUSES, SERVER_REFUSES);

	(void)state;
	assert_int_equal(
	    s->groups[0].outcomes[MLK_LOAD_NONE], s->groups[0].jobs);
	assert_false(mlk_load_stats_ok(s));
	mlk_load_stats_free(s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_complete),
		cmocka_unit_test(test_lost_connection_is_sent_elsewhere),
		cmocka_unit_test(test_crossed_answers_are_found),
		cmocka_unit_test(test_no_answer_is_counted),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
