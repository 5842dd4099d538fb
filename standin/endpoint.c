/*
 * standin-endpoint: stand-in for a task endpoint, for tests and trials.
 *
 * POST /run starts a task.  The payload "ms=120 fail=0 hang=0 size=20" sets its
 * run time, whether it fails, whether it never answers, and the size of its
 * result in bytes.  With "clock=1" the result contains "clock=N", the start
 * time in ns of the monotonic clock.  The result begins with the submission key
 * and the task index, so that tests detect an answer to the wrong caller.  With
 * --start-log each start is appended to a file as "key index kind".
 *
 * Running tasks are kept in a list.  The tick at a task's due time answers it.
 * A hanging task holds its slot until its client disconnects.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/net.h>

#define ENDPOINT_TICK_MS 10 /* mlk_loop_wake() adds a tick at each due time */
#define BODY_MAX (128U * 1024)
#define HEADER_TIMEOUT_S 10
#define RESULT_MAX 65536U
#define RESULT_DEFAULT 20U
#define KIND_MAX 128
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_FAILED 500
#define HTTP_BUSY 503

enum mode {
	MODE_NORMAL,
	MODE_FAIL_ALL,
	MODE_SLOW, /* run times are multiplied by `factor` */
};

static const char *const mode_names[] = { "normal", "fail-all", "slow" };

/* A parsed payload. */
struct work {
	uint32_t ms;
	uint32_t size; /* bytes in the result */
	bool fail;
	bool hang;
	int64_t clock; /* for the result, monotonic ns; 0: not requested */
};

struct task {
	uint64_t request;
	int64_t due; /* monotonic ns; INT64_MAX: hangs */
	struct work work;
	char key[MLK_KEY_HEX_LEN + 1];
	uint32_t index;
};

struct endpoint {
	char *listen;
	char *name;
	int slots;
	int connections;
	gboolean start_log;
	char *log_path;

	struct mlk_loop *loop;
	FILE *log;
	enum mode mode;
	uint32_t factor;
	GArray *running; /* struct task */
	GHashTable *seen; /* 64-bit digests of "key index" of all starts */
	uint64_t started;
	uint64_t duplicates;
	uint64_t rejected;
	uint32_t max_running;
	bool stopping;
};

static void
reply(struct endpoint *e, uint64_t request, int status, const char *text)
{
	(void)mlk_loop_http_reply(
	    e->loop, request, status, "text/plain", 0, text, strlen(text));
}

/*
 * Returns the number after "name=" in a text of words separated by spaces, or
 * fallback when the name is absent.
 */
static uint32_t
word_number(const char *text, const char *name, uint32_t fallback)
{
	const char *at;
	size_t len;

	len = strlen(name);
	for (at = text; at != NULL; at = strchr(at, ' ')) {
		at += strspn(at, " ");
		if (strncmp(at, name, len) == 0 && at[len] == '=')
			return ((uint32_t)strtoul(at + len + 1, NULL, 10));
	}
	return (fallback);
}

/*
 * Parses a payload; absent words have default values.
 */
static struct work
work_parse(const char *text)
{
	struct work work;

	work.ms = word_number(text, "ms", 0);
	work.size = MIN(word_number(text, "size", RESULT_DEFAULT), RESULT_MAX);
	work.fail = word_number(text, "fail", 0) != 0;
	work.hang = word_number(text, "hang", 0) != 0;
	work.clock = word_number(text, "clock", 0) == 0 ?
	    0 :
	    mlk_clock_now(mlk_clock_system());
	return (work);
}

/*
 * Answers a task with "key index name", padded to the requested size.  A
 * smaller size does not truncate it.
 */
static void
task_answer(struct endpoint *e, const struct task *task)
{
	GString *text;
	bool failed;

	failed = task->work.fail || e->mode == MODE_FAIL_ALL;
	text = g_string_new(NULL);
	g_string_printf(text, "%s %" PRIu32 " %s", task->key, task->index,
	    failed ? "failed" : e->name);
	if (task->work.clock != 0)
		g_string_append_printf(
		    text, " clock=%" PRId64, task->work.clock);
	while (text->len < task->work.size)
		(void)g_string_append_c(text, '.');
	reply(e, task->request, failed ? HTTP_FAILED : HTTP_OK, text->str);
	(void)g_string_free(text, TRUE);
}

/*
 * Counts a start and appends it to the log.  The log is flushed each time, so
 * that it is complete if this process is killed.
 */
static void
record_start(struct endpoint *e, const struct task *task, const char *kind)
{
	char start[MLK_KEY_HEX_LEN + 16];
	struct mlk_key digest;
	int len;

	e->started++;
	len = snprintf(
	    start, sizeof(start), "%s %" PRIu32, task->key, task->index);
	if (e->log != NULL) {
		(void)fprintf(e->log, "%s %s\n", start, kind);
		(void)fflush(e->log);
	}
	digest = mlk_digest(start, (size_t)len);
	if (!g_hash_table_add(e->seen, (gpointer)(uintptr_t)digest.lo))
		e->duplicates++;
}

/*
 * Copies the headers that identify the task.  Returns false when one is
 * missing.
 */
static bool
task_headers(struct endpoint *e, const struct mlk_http_request *req,
    struct task *task, char kind[KIND_MAX])
{
	char index[16];

	if (!mlk_loop_http_header(e->loop, req->request, "X-Submission-Id",
		task->key, sizeof(task->key)) ||
	    !mlk_loop_http_header(
		e->loop, req->request, "X-Task-Index", index, sizeof(index)) ||
	    !mlk_loop_http_header(
		e->loop, req->request, "X-Task-Kind", kind, KIND_MAX))
		return (false);
	task->index = (uint32_t)strtoul(index, NULL, 10);
	return (true);
}

static void
run_request(struct endpoint *e, const struct mlk_http_request *req)
{
	struct task task = { .request = req->request };
	char kind[KIND_MAX];
	int64_t ms;
	char *text;

	if (e->running->len >= (guint)e->slots) {
		e->rejected++;
		reply(e, req->request, HTTP_BUSY, "no free slot\n");
		return;
	}
	if (!task_headers(e, req, &task, kind)) {
		reply(e, req->request, HTTP_BAD_REQUEST, "missing header\n");
		return;
	}
	text = g_strndup((const char *)req->body, req->body_len);
	task.work = work_parse(text);
	g_free(text);
	record_start(e, &task, kind);
	if (task.work.ms == 0 && !task.work.hang) {
		task_answer(e, &task);
		return;
	}
	ms = (int64_t)task.work.ms * (e->mode == MODE_SLOW ? e->factor : 1);
	task.due = task.work.hang ?
	    INT64_MAX :
	    mlk_clock_now(mlk_clock_system()) + ms * MLK_NSEC_PER_MSEC;
	if (task.due != INT64_MAX)
		mlk_loop_wake(e->loop, task.due);
	g_array_append_val(e->running, task);
	e->max_running = MAX(e->max_running, e->running->len);
}

/*
 * Handles POST /control: "mode=slow factor=10" in the body or the query.
 */
static void
control_request(struct endpoint *e, const struct mlk_http_request *req)
{
	char *text, *word;
	size_t i;

	text = req->body_len > 0 ?
	    g_strndup((const char *)req->body, req->body_len) :
	    g_strdup(req->query);
	(void)g_strdelimit(text, "&\r\n", ' ');
	e->factor = word_number(text, "factor", e->factor);
	word = strstr(text, "mode=");
	for (i = 0; word != NULL && i < G_N_ELEMENTS(mode_names); i++) {
		if (g_str_has_prefix(word + strlen("mode="), mode_names[i])) {
			e->mode = (enum mode)i;
			reply(e, req->request, HTTP_OK, "ok\n");
			g_free(text);
			return;
		}
	}
	g_free(text);
	reply(e, req->request, HTTP_BAD_REQUEST, "unknown mode\n");
}

static void
stats_request(struct endpoint *e, const struct mlk_http_request *req)
{
	char text[256];

	(void)snprintf(text, sizeof(text),
	    "name=%s mode=%s started=%" PRIu64 " doubled=%" PRIu64
	    " rejected=%" PRIu64 " running=%u max_running=%" PRIu32 "\n",
	    e->name, mode_names[e->mode], e->started, e->duplicates,
	    e->rejected, e->running->len, e->max_running);
	reply(e, req->request, HTTP_OK, text);
}

static void
http_request(struct endpoint *e, const struct mlk_http_request *req)
{
	bool post;

	post = strcmp(req->method, "POST") == 0;
	if (post && strcmp(req->path, "/run") == 0)
		run_request(e, req);
	else if (post && strcmp(req->path, "/control") == 0)
		control_request(e, req);
	else if (!post && strcmp(req->path, "/stats") == 0)
		stats_request(e, req);
	else
		reply(e, req->request, HTTP_NOT_FOUND, "not found\n");
}

/*
 * Frees the slot of a running task whose client has disconnected.
 */
static void
request_closed(struct endpoint *e, uint64_t request)
{
	guint i;

	for (i = 0; i < e->running->len; i++) {
		if (g_array_index(e->running, struct task, i).request ==
		    request) {
			g_array_remove_index_fast(e->running, i);
			return;
		}
	}
}

/*
 * Answers the tasks that are due.  A stop waits until no task is running and
 * all replies have been sent.
 */
static void
tick(struct endpoint *e)
{
	const struct task *task;
	int64_t now;
	guint i;

	now = mlk_clock_now(mlk_clock_system());
	for (i = e->running->len; i > 0; i--) {
		task = &g_array_index(e->running, struct task, i - 1);
		if (task->due > now) {
			if (task->due != INT64_MAX)
				mlk_loop_wake(e->loop, task->due);
			continue;
		}
		task_answer(e, task);
		g_array_remove_index_fast(e->running, i - 1);
	}
	if (e->stopping && e->running->len == 0 &&
	    mlk_loop_http_pending(e->loop) == 0)
		mlk_loop_stop(e->loop);
}

static void
handle_event(void *arg, const struct mlk_net_event *ev)
{
	struct endpoint *e = arg;

	switch (ev->type) {
	case MLK_NET_HTTP_REQUEST:
		http_request(e, &ev->u.http);
		break;
	case MLK_NET_HTTP_DROPPED:
		break;
	case MLK_NET_HTTP_GONE:
		request_closed(e, ev->u.gone.request);
		break;
	case MLK_NET_TICK:
		tick(e);
		break;
	case MLK_NET_STOP:
		e->stopping = true;
		mlk_loop_close_listeners(e->loop);
		break;
	case MLK_NET_RELOAD:
	case MLK_NET_LINK_UP:
	case MLK_NET_LINK_DOWN:
	case MLK_NET_MSG:
	case MLK_NET_HTTP_RESPONSE:
		break;
	}
}

/*
 * Parses the command line.  On an error, prints it and returns false.
 */
static bool
options_parse(struct endpoint *e, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &e->listen,
		    "Address of the HTTP server", "IP:PORT" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &e->name,
		    "Name in results and statistics", "NAME" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &e->slots,
		    "Tasks that may run at once", "N" },
		{ "connections", 0, 0, G_OPTION_ARG_INT, &e->connections,
		    "Bound on open connections", "N" },
		{ "start-log", 0, 0, G_OPTION_ARG_NONE, &e->start_log,
		    "Write a line per start to the file of --log", NULL },
		{ "log", 0, 0, G_OPTION_ARG_FILENAME, &e->log_path,
		    "File for --start-log; lines are appended", "FILE" },
		{ 0 },
	};
	GOptionContext *context;
	GError *error;
	bool ok;

	error = NULL;
	context = g_option_context_new("- stand-in for a task endpoint");
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	if (!ok) {
		(void)fprintf(stderr, "standin-endpoint: %s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	if (e->name == NULL)
		e->name = g_strdup("endpoint");
	if (ok &&
	    (e->listen == NULL || e->slots < 1 || e->connections < 1 ||
		(e->start_log && e->log_path == NULL))) {
		(void)fprintf(stderr,
		    "standin-endpoint: --listen is needed, --slots and "
		    "--connections are above 0, --start-log needs --log\n");
		ok = false;
	}
	return (ok);
}

static bool
endpoint_open(struct endpoint *e, struct mlk_error *err)
{
	struct mlk_loop_options options = { 0 };

	if (e->start_log) {
		e->log = fopen(e->log_path, "a");
		if (e->log == NULL) {
			(void)mlk_error_set(
			    err, MLK_ERR_IO, "cannot open %s", e->log_path);
			return (false);
		}
	}
	options.arg = e;
	options.handle = handle_event;
	options.clock = mlk_clock_system();
	options.tick_ms = ENDPOINT_TICK_MS;
	options.http_body_max = BODY_MAX;
	options.http_header_timeout_s = HEADER_TIMEOUT_S;
	options.http_max_connections = (uint32_t)e->connections;
	e->loop = mlk_loop_create(&options, err);
	return (e->loop != NULL &&
	    mlk_loop_listen_http(e->loop, e->listen, err) == 0);
}

static void
endpoint_close(struct endpoint *e)
{
	if (e->loop != NULL)
		mlk_loop_destroy(e->loop);
	if (e->log != NULL)
		(void)fclose(e->log);
	g_array_free(e->running, TRUE);
	g_hash_table_destroy(e->seen);
	g_free(e->listen);
	g_free(e->name);
	g_free(e->log_path);
}

int
main(int argc, char **argv)
{
	struct endpoint e = { .slots = 8, .connections = 60, .factor = 10 };
	struct mlk_error err = { 0 };
	int status;

	status = 1;
	e.running = g_array_new(FALSE, FALSE, sizeof(struct task));
	e.seen = g_hash_table_new(NULL, NULL);
	if (options_parse(&e, argc, argv)) {
		if (endpoint_open(&e, &err))
			status = mlk_loop_run(e.loop) == 0 ? 0 : 1;
		else
			(void)fprintf(
			    stderr, "standin-endpoint: %s\n", err.msg);
	}
	endpoint_close(&e);
	return (status);
}
