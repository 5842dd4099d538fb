/*
 * standin-platform: stand-in for the platform's table service and object store,
 * for tests.  A transaction is executed immediately and answered after the
 * latency of the real service.  POST /control makes the service slow or makes
 * it fail in a way that clients must tolerate.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/net.h>

#include "table.h"

#define WRITE_DELAY_NS (5 * MLK_NSEC_PER_MSEC)
#define READ_DELAY_NS (MLK_NSEC_PER_MSEC / 2)
/* Per second: writing transactions or, with limit=rows, rows written. */
#define WRITE_LIMIT 400
#define READ_LIMIT 2000 /* read-only transactions per second */
#define TICK_MS 1 /* resolution of the delays */
#define BODY_MAX (64 * 1024 * 1024)
#define OBJECTS_PATH "/v1/objects/"
#define SLOW_MAX_MS 60000
#define JSON_TYPE "application/json"

enum mode {
	MODE_UP,
	MODE_DOWN, /* 503, or no answer at all with refuse=hang */
	MODE_SLOW, /* each answer is delayed by slow_ms more */
	MODE_LOSE, /* transactions take effect, answers are withheld */
	MODE_LOSE_WRITES, /* as MODE_LOSE, but read-only ones are answered */
};

struct reply {
	uint64_t request;
	int64_t due; /* monotonic, ns */
	int status;
	char *body; /* freed with free() */
};

struct standin {
	struct mlk_loop *loop;
	struct table *table;
	GHashTable *objects; /* key -> GBytes */
	GQueue replies; /* struct reply */
	enum mode mode;
	bool hang; /* MODE_DOWN: no answer instead of 503 */
	int slow_ms;
	int write_limit;
	int read_limit;
	bool limit_rows; /* write_limit counts rows, not transactions */
	int64_t window_start; /* of the one-second rate limit window, ns */
	int window_writes;
	int window_reads;
	uint64_t writes, reads, refused, lost; /* for /stats */
};

static void
answer(struct standin *s, uint64_t request, int status, const char *text)
{
	(void)mlk_loop_http_reply(
	    s->loop, request, status, JSON_TYPE, 0, text, strlen(text));
}

/*
 * Queues an answer, due after delay ns.  Takes ownership of body.
 */
static void
answer_later(struct standin *s, uint64_t request, char *body, int64_t delay)
{
	struct reply *reply;

	if (s->mode == MODE_SLOW)
		delay += s->slow_ms * MLK_NSEC_PER_MSEC;
	reply = g_new0(struct reply, 1);
	reply->request = request;
	reply->due = mlk_clock_now(mlk_clock_system()) + delay;
	reply->status = 200;
	reply->body = body;
	g_queue_push_tail(&s->replies, reply);
}

static void
reply_free(gpointer data)
{
	struct reply *reply = data;

	free(reply->body);
	g_free(reply);
}

static void
send_due(struct standin *s)
{
	struct reply *reply;
	GList *link, *next;
	int64_t now;

	now = mlk_clock_now(mlk_clock_system());
	for (link = s->replies.head; link != NULL; link = next) {
		next = link->next;
		reply = link->data;
		if (reply->due > now)
			continue;
		answer(s, reply->request, reply->status, reply->body);
		reply_free(reply);
		g_queue_delete_link(&s->replies, link);
	}
}

/*
 * Counts a transaction that writes a number of rows against the rate limit of
 * the current window; returns false when it exceeds the limit.  With limit=rows
 * the rows written are counted, and a refused transaction counts nothing.
 */
static bool
within_limit(struct standin *s, size_t rows)
{
	int64_t now;

	now = mlk_clock_now(mlk_clock_system());
	if (now - s->window_start >= MLK_NSEC_PER_SEC) {
		s->window_start = now;
		s->window_writes = 0;
		s->window_reads = 0;
	}
	if (rows == 0)
		return (++s->window_reads <= s->read_limit);
	if (!s->limit_rows)
		return (++s->window_writes <= s->write_limit);
	if (s->window_writes + (int64_t)rows > s->write_limit)
		return (false);
	s->window_writes += (int)rows;
	return (true);
}

static void
handle_txn(struct standin *s, const struct mlk_http_request *req)
{
	json_t *txn, *result;
	size_t rows;
	bool writes;

	txn = table_parse(req->body, req->body_len);
	if (txn == NULL) {
		answer(s, req->request, 400, "{\"error\":\"bad transaction\"}");
		return;
	}
	rows = table_write_count(txn);
	writes = rows > 0;
	if (!within_limit(s, rows)) {
		s->refused++;
		json_decref(txn);
		answer(s, req->request, 503, "{\"error\":\"over the limit\"}");
		return;
	}
	s->writes += writes;
	s->reads += !writes;
	result = table_apply(s->table, txn);
	json_decref(txn);
	if (s->mode == MODE_LOSE || (s->mode == MODE_LOSE_WRITES && writes))
		s->lost++;
	else
		answer_later(s, req->request, json_dumps(result, JSON_COMPACT),
		    writes ? WRITE_DELAY_NS : READ_DELAY_NS);
	json_decref(result);
}

static void
handle_object(struct standin *s, const struct mlk_http_request *req)
{
	const char *key;
	GBytes *bytes;
	gsize len;
	const void *data;

	key = req->path + strlen(OBJECTS_PATH);
	if (strcmp(req->method, "PUT") == 0) {
		(void)g_hash_table_replace(s->objects, g_strdup(key),
		    g_bytes_new(req->body, req->body_len));
		answer(s, req->request, 200, "{}");
		return;
	}
	bytes = g_hash_table_lookup(s->objects, key);
	if (bytes == NULL) {
		answer(s, req->request, 404, "{\"error\":\"no such object\"}");
	} else if (strcmp(req->method, "DELETE") == 0) {
		(void)g_hash_table_remove(s->objects, key);
		answer(s, req->request, 200, "{}");
	} else if (strcmp(req->method, "GET") == 0) {
		data = g_bytes_get_data(bytes, &len);
		(void)mlk_loop_http_reply(s->loop, req->request, 200,
		    "application/octet-stream", 0, data, len);
	} else {
		answer(s, req->request, 405, "{\"error\":\"bad method\"}");
	}
}

/*
 * Applies one name=value of a control request.  Returns false when it is not
 * valid.
 */
static bool
control_set(struct standin *s, const char *name, const char *value)
{
	static const char *const modes[] = { "up", "down", "slow",
		"lose-answers", "lose-writes", NULL };
	guint64 ms;
	int i;

	if (strcmp(name, "mode") == 0) {
		for (i = 0; modes[i] != NULL; i++) {
			if (strcmp(modes[i], value) == 0) {
				s->mode = (enum mode)i;
				return (true);
			}
		}
		return (false);
	}
	if (strcmp(name, "refuse") == 0) {
		s->hang = strcmp(value, "hang") == 0;
		return (s->hang || strcmp(value, "503") == 0);
	}
	if (strcmp(name, "limit") == 0) {
		s->limit_rows = strcmp(value, "rows") == 0;
		return (s->limit_rows || strcmp(value, "transactions") == 0);
	}
	if (strcmp(name, "slow_ms") != 0 ||
	    !g_ascii_string_to_unsigned(value, 10, 0, SLOW_MAX_MS, &ms, NULL))
		return (false);
	s->slow_ms = (int)ms;
	return (true);
}

static void
handle_control(struct standin *s, const struct mlk_http_request *req)
{
	gchar *body, **pairs, *value;
	bool ok = true;
	int i;

	body = g_strndup((const char *)req->body, req->body_len);
	pairs = g_strsplit_set(body, "&\n", -1);
	for (i = 0; pairs[i] != NULL && ok; i++) {
		value = strchr(pairs[i], '=');
		if (value == NULL) {
			ok = pairs[i][0] == '\0';
			continue;
		}
		*value = '\0';
		ok = control_set(s, pairs[i], value + 1);
	}
	g_strfreev(pairs);
	g_free(body);
	if (ok)
		answer(s, req->request, 200, "{}");
	else
		answer(s, req->request, 400, "{\"error\":\"bad control\"}");
}

static void
handle_stats(struct standin *s, uint64_t request)
{
	char text[160];

	(void)snprintf(text, sizeof(text),
	    "{\"reads\":%" PRIu64 ",\"writes\":%" PRIu64 ",\"refused\":%" PRIu64
	    ",\"lost\":%" PRIu64 "}",
	    s->reads, s->writes, s->refused, s->lost);
	answer(s, request, 200, text);
}

static void
handle_request(struct standin *s, const struct mlk_http_request *req)
{
	bool post = strcmp(req->method, "POST") == 0;

	if (post && strcmp(req->path, "/control") == 0) {
		handle_control(s, req);
	} else if (strcmp(req->path, "/stats") == 0) {
		handle_stats(s, req->request);
	} else if (s->mode == MODE_DOWN) {
		s->refused++;
		if (!s->hang)
			answer(s, req->request, 503, "{\"error\":\"down\"}");
	} else if (post && strcmp(req->path, "/v1/txn") == 0) {
		handle_txn(s, req);
	} else if (g_str_has_prefix(req->path, OBJECTS_PATH)) {
		handle_object(s, req);
	} else {
		answer(s, req->request, 404, "{\"error\":\"no such path\"}");
	}
}

static void
handle_event(void *arg, const struct mlk_net_event *ev)
{
	struct standin *s = arg;

	switch (ev->type) {
	case MLK_NET_HTTP_REQUEST:
		handle_request(s, &ev->u.http);
		break;
	case MLK_NET_TICK:
		send_due(s);
		break;
	case MLK_NET_STOP:
		mlk_loop_stop(s->loop);
		break;
	default:
		break;
	}
}

static int
serve(struct standin *s, const char *listen)
{
	const struct mlk_loop_options options = { .arg = s,
		.handle = handle_event,
		.clock = mlk_clock_system(),
		.tick_ms = TICK_MS,
		.http_body_max = BODY_MAX,
		.http_header_timeout_s = 60,
		.http_max_connections = 4096 };
	struct mlk_error err;
	int rc;

	s->loop = mlk_loop_create(&options, &err);
	if (s->loop == NULL ||
	    mlk_loop_listen_http(s->loop, listen, &err) != 0) {
		(void)fprintf(stderr, "standin-platform: %s\n", err.msg);
		mlk_loop_destroy(s->loop);
		return (1);
	}
	rc = mlk_loop_run(s->loop);
	mlk_loop_destroy(s->loop);
	return (rc == 0 ? 0 : 1);
}

int
main(int argc, char **argv)
{
	struct standin s = { .write_limit = WRITE_LIMIT,
		.read_limit = READ_LIMIT };
	gchar *listen = NULL;
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen,
		    "Address to serve", "IP:PORT" },
		{ "write-limit", 0, 0, G_OPTION_ARG_INT, &s.write_limit,
		    "Writing transactions a second", "N" },
		{ "read-limit", 0, 0, G_OPTION_ARG_INT, &s.read_limit,
		    "Reading transactions a second", "N" },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context;
	GError *error = NULL;
	int rc;

	context = g_option_context_new(NULL);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    argc > 1 || listen == NULL) {
		(void)fprintf(stderr, "standin-platform: %s\n",
		    error != NULL ? error->message : "--listen is required");
		return (2);
	}
	g_option_context_free(context);
	s.table = table_create();
	s.objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	g_queue_init(&s.replies);
	rc = serve(&s, listen);
	g_queue_clear_full(&s.replies, reply_free);
	g_hash_table_destroy(s.objects);
	table_destroy(s.table);
	g_free(listen);
	return (rc);
}
