/*
 * The platform's store: rows, transactions and feeds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define ROWS_MAX 64
#define POLLS_MAX 64

struct row {
	char table[32];
	char key[64];
	char *value; /* base64; NULL: removed */
	uint64_t ver;
};

struct poll_call {
	uint64_t handle; /* 0: free */
	char table[32];
	uint64_t after;
	int64_t until;
};

static struct row rows[ROWS_MAX];
static int nrows;
static uint64_t version = 100;
static struct poll_call polls[POLLS_MAX];

static char *
base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text), i, n = 0;
	uint32_t v;
	char *out;

	out = malloc(len * 2 + 8);
	if (out == NULL)
		abort();
	for (i = 0; i < len; i += 3) {
		v = (uint32_t)(unsigned char)text[i] << 16;
		v |=
		    i + 1 < len ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
		v |= i + 2 < len ? (uint32_t)(unsigned char)text[i + 2] : 0;
		out[n++] = digits[v >> 18 & 63];
		out[n++] = digits[v >> 12 & 63];
		out[n++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
		out[n++] = i + 2 < len ? digits[v & 63] : '=';
	}
	out[n] = '\0';
	return (out);
}

static void
row_put(const char *table, const char *key, const char *value)
{
	int i;

	for (i = 0; i < nrows; i++) {
		if (strcmp(rows[i].table, table) == 0 &&
		    strcmp(rows[i].key, key) == 0)
			break;
	}
	if (i == ROWS_MAX)
		abort();
	if (i == nrows) {
		nrows++;
		(void)snprintf(
		    rows[i].table, sizeof(rows[i].table), "%s", table);
		(void)snprintf(rows[i].key, sizeof(rows[i].key), "%s", key);
	}
	free(rows[i].value);
	rows[i].value = value == NULL ? NULL : strdup(value);
	rows[i].ver = version;
}

static json_t *
route_json(const char *name, const char *prefix, int timeout_ms)
{
	return (json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:f}",
	    "name", name, "host", "queue.example", "path_prefix", prefix,
	    "route_type", "unsafe", "timeout_ms", timeout_ms,
	    "target_latency_ms", 60, "priority", 0, "service", "svc-a",
	    "attempts", 3, "stretch", 1.6));
}

/*
 * Writes the operator's manifest: the queue /q/, and /n/ if it has a second
 * route, both served by one service.
 */
void
store_manifest(int number, int timeout_ms, bool second_route)
{
	json_t *root, *routes = json_array();
	char *encoded, *text;

	(void)json_array_append_new(
	    routes, route_json("r-1", "/q/", timeout_ms));
	if (second_route)
		(void)json_array_append_new(
		    routes, route_json("r-2", "/n/", timeout_ms));
	root = json_pack("{s:i, s:o, s:[{s:s, s:s, s:i, s:s, s:b, s:b, s:b}], "
			 "s:{s:i, s:i, s:i, s:i}}",
	    "version", number, "routes", routes, "services", "name", "svc-a",
	    "health_path", "/health", "max_conns", 64, "protocol", "h1", "tls",
	    0, "enforces_capacity", 0, "spare", 0, "limits", "max_header_bytes",
	    16384, "max_body_bytes", 262144, "header_timeout_ms", 3000,
	    "idle_timeout_ms", 15000);
	text = json_dumps(root, JSON_COMPACT);
	if (text == NULL)
		abort();
	encoded = base64(text);
	version++;
	row_put("op", "config", encoded);
	record("manifest %d is written%s", number,
	    second_route ? ", with the queue /n/" : "");
	free(encoded);
	free(text);
	json_decref(root);
}

/*
 * Copies a parameter of the query of a path; "" when it is missing.
 */
static void
parameter(const char *path, const char *name, char *out, size_t size)
{
	const char *at = strchr(path, '?');
	size_t n = strlen(name), i;

	out[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, n) == 0 && at[n] == '=') {
			at += n + 1;
			for (i = 0;
			     i + 1 < size && at[i] != '&' && at[i] != '\0'; i++)
				out[i] = at[i];
			out[i] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static json_t *
rows_json(const char *table, uint64_t after, bool removed)
{
	json_t *list = json_array(), *row;
	int i;

	for (i = 0; i < nrows; i++) {
		if (strcmp(rows[i].table, table) != 0 || rows[i].ver <= after ||
		    (rows[i].value == NULL && !removed))
			continue;
		row = json_pack("{s:s, s:s, s:s, s:I}", "table", table, "part",
		    "", "key", rows[i].key, "ver", (json_int_t)rows[i].ver);
		if (rows[i].value != NULL) {
			(void)json_object_set_new(
			    row, "value", json_string(rows[i].value));
		} else {
			(void)json_object_set_new(row, "removed", json_true());
		}
		(void)json_array_append_new(list, row);
	}
	return (json_pack("{s:o, s:b, s:I, s:I}", "rows", list, "truncated", 0,
	    "ver", (json_int_t)version, "now_ms", (json_int_t)now_ms()));
}

static bool
has_changes(const char *table, uint64_t after)
{
	int i;

	for (i = 0; i < nrows; i++) {
		if (strcmp(rows[i].table, table) == 0 && rows[i].ver > after)
			return (true);
	}
	return (false);
}

static void
feed(const struct request *request)
{
	char table[32], text[32];
	uint64_t after;
	int i;

	parameter(request->path, "table", table, sizeof(table));
	parameter(request->path, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	parameter(request->path, "wait_ms", text, sizeof(text));
	if (has_changes(table, after) || strtol(text, NULL, 10) == 0) {
		http_reply(request->handle, 200, rows_json(table, after, true));
		return;
	}
	for (i = 0; i < POLLS_MAX && polls[i].handle != 0; i++)
		;
	if (i == POLLS_MAX) {
		http_reply(request->handle, 503, NULL);
		return;
	}
	polls[i].handle = request->handle;
	polls[i].after = after;
	polls[i].until = now_ms() + strtol(text, NULL, 10);
	(void)snprintf(polls[i].table, sizeof(polls[i].table), "%s", table);
}

static const char *
text_of(const json_t *entry, const char *name)
{
	const char *text = json_string_value(json_object_get(entry, name));

	return (text == NULL ? "" : text);
}

static void
transaction(const struct request *request)
{
	json_t *root, *entry;
	size_t i;

	root = json_loadb(request->body, request->len, 0, NULL);
	version++;
	json_array_foreach(json_object_get(root, "writes"), i, entry)
	    row_put(text_of(entry, "table"), text_of(entry, "key"),
		text_of(entry, "value"));
	json_array_foreach(json_object_get(root, "remove"), i, entry)
	    row_put(text_of(entry, "table"), text_of(entry, "key"), NULL);
	json_decref(root);
	http_reply(request->handle, 200,
	    json_pack("{s:I, s:I}", "ver", (json_int_t)version, "now_ms",
		(json_int_t)now_ms()));
}

void
store_request(const struct request *request)
{
	char table[32];

	if (strncmp(request->path, "/-/rows-tx", 10) == 0) {
		transaction(request);
	} else if (strncmp(request->path, "/-/rows-feed", 12) == 0) {
		feed(request);
	} else if (strncmp(request->path, "/-/rows-get", 11) == 0) {
		parameter(request->path, "table", table, sizeof(table));
		http_reply(request->handle, 200, rows_json(table, 0, false));
	} else {
		http_reply(request->handle, 404, NULL);
	}
}

/*
 * Answers the feeds whose table has changed or whose wait is over.
 */
void
store_tick(void)
{
	int64_t now = now_ms();
	int i;

	for (i = 0; i < POLLS_MAX; i++) {
		if (polls[i].handle == 0 ||
		    (now < polls[i].until &&
			!has_changes(polls[i].table, polls[i].after)))
			continue;
		http_reply(polls[i].handle, 200,
		    rows_json(polls[i].table, polls[i].after, true));
		polls[i].handle = 0;
	}
}
