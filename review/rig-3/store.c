/*
 * The platform's store: rows, transactions with conditions, and feeds.
 */
#include <stdlib.h>
#include <string.h>

#include "rig.h"

struct row {
	char table[64];
	char key[128];
	char *value; /* base64; NULL: removed */
	uint64_t version;
};

/* A call of a feed that waits for a change. */
struct feed {
	uint64_t request;
	char table[64];
	uint64_t after;
	int64_t until;
};

void
store_init(struct rig *r)
{
	r->rows = g_ptr_array_new();
	r->feeds = g_array_new(FALSE, FALSE, sizeof(struct feed));
	r->version = 100;
}

static struct row *
row_get(struct rig *r, const char *table, const char *key)
{
	struct row *row;
	guint i;

	for (i = 0; i < r->rows->len; i++) {
		row = g_ptr_array_index(r->rows, i);
		if (strcmp(row->table, table) == 0 &&
		    strcmp(row->key, key) == 0)
			return (row);
	}
	row = g_new0(struct row, 1);
	(void)g_strlcpy(row->table, table, sizeof(row->table));
	(void)g_strlcpy(row->key, key, sizeof(row->key));
	g_ptr_array_add(r->rows, row);
	return (row);
}

/*
 * Writes a manifest as the operator does: a route for each entry, since
 * clients name the address of the entry as the host.
 */
void
store_manifest(struct rig *r, uint64_t version)
{
	json_t *root, *routes = json_array();
	struct row *row;
	char host[32], *text;
	uint32_t i;

	for (i = 0; i < r->nentries; i++) {
		(void)snprintf(host, sizeof(host), "127.0.0.%u", 10 + i);
		(void)json_array_append_new(routes,
		    json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:f}", "name",
			"sheets", "host", host, "path_prefix", PREFIX,
			"service", SERVICE, "timeout_ms", 30000,
			"target_latency_ms", 60, "priority", 0, "attempts", 4,
			"stretch", 1.6));
	}
	root = json_pack("{s:I,s:o,s:[{s:s,s:b}],s:{}}", "version",
	    (json_int_t)version, "routes", routes, "services", "name", SERVICE,
	    "enforces_capacity", 0, "limits");
	text = json_dumps(root, JSON_COMPACT);
	row = row_get(r, "op", "config");
	g_free(row->value);
	row->value = g_base64_encode((const guchar *)text, strlen(text));
	row->version = ++r->version;
	free(text);
	json_decref(root);
}

static json_t *
rows_json(struct rig *r, const char *table, uint64_t after, bool feed)
{
	json_t *list = json_array(), *item;
	const struct row *row;
	guint i;

	for (i = 0; i < r->rows->len; i++) {
		row = g_ptr_array_index(r->rows, i);
		if (strcmp(row->table, table) != 0 || row->version <= after ||
		    (row->value == NULL && !feed))
			continue;
		item = json_pack("{s:s,s:s,s:s,s:I}", "table", table, "part",
		    "", "key", row->key, "ver", (json_int_t)row->version);
		if (row->value != NULL) {
			(void)json_object_set_new(
			    item, "value", json_string(row->value));
		} else {
			(void)json_object_set_new(item, "removed", json_true());
		}
		(void)json_array_append_new(list, item);
	}
	return (list);
}

static void
answer(struct rig *r, uint64_t request, int status, json_t *body)
{
	char *text;

	(void)json_object_set_new(
	    body, "ver", json_integer((json_int_t)r->version));
	(void)json_object_set_new(body, "now_ms", json_integer(r->now));
	text = json_dumps(body, JSON_COMPACT);
	(void)mlk_loop_http_reply(r->loop, request, status, "application/json",
	    0, text, strlen(text));
	free(text);
	json_decref(body);
}

static void
query_text(const char *query, const char *name, char *out, size_t size)
{
	const char *at = query;
	size_t n, len = strlen(name);

	out[0] = '\0';
	while ((at = strstr(at, name)) != NULL) {
		if (at[len] == '=' && (at == query || !g_ascii_isalnum(at[-1])))
			break;
		at += len;
	}
	if (at == NULL)
		return;
	at += len + 1;
	n = strcspn(at, "&;, ");
	if (n < size) {
		memcpy(out, at, n);
		out[n] = '\0';
	}
}

static void
transaction(struct rig *r, const struct mlk_http_request *req)
{
	json_t *root, *item;
	struct row *row;
	size_t i;
	bool ok = true;

	root = json_loadb((const char *)req->body, req->body_len, 0, NULL);
	json_array_foreach(json_object_get(root, "expect"), i, item)
	{
		row = row_get(r,
		    json_string_value(json_object_get(item, "table")),
		    json_string_value(json_object_get(item, "key")));
		ok = ok &&
		    (row->value == NULL ? 0 : row->version) ==
			(uint64_t)json_integer_value(
			    json_object_get(item, "ver"));
	}
	if (!ok) {
		json_decref(root);
		answer(r, req->request, 412, json_pack("{s:[]}", "rows"));
		return;
	}
	r->version++;
	json_array_foreach(json_object_get(root, "writes"), i, item)
	{
		row = row_get(r,
		    json_string_value(json_object_get(item, "table")),
		    json_string_value(json_object_get(item, "key")));
		g_free(row->value);
		row->value =
		    g_strdup(json_string_value(json_object_get(item, "value")));
		row->version = r->version;
	}
	json_array_foreach(json_object_get(root, "remove"), i, item)
	{
		row = row_get(r,
		    json_string_value(json_object_get(item, "table")),
		    json_string_value(json_object_get(item, "key")));
		g_clear_pointer(&row->value, g_free);
		row->version = r->version;
	}
	json_decref(root);
	answer(r, req->request, 200, json_object());
}

void
store_request(struct rig *r, const struct mlk_http_request *req)
{
	struct feed feed = { 0 };
	char number[32];

	if (strcmp(req->path, "/-/rows-tx") == 0) {
		transaction(r, req);
		return;
	}
	query_text(req->query, "table", feed.table, sizeof(feed.table));
	if (strcmp(req->path, "/-/rows-get") == 0) {
		answer(r, req->request, 200,
		    json_pack("{s:o,s:b}", "rows",
			rows_json(r, feed.table, 0, false), "truncated", 0));
		return;
	}
	if (strcmp(req->path, "/-/rows-feed") != 0) {
		answer(r, req->request, 404, json_object());
		return;
	}
	query_text(req->query, "after", number, sizeof(number));
	feed.after = strtoull(number, NULL, 10);
	query_text(req->query, "wait_ms", number, sizeof(number));
	feed.until = r->now + (int64_t)strtoull(number, NULL, 10);
	feed.request = req->request;
	(void)g_array_append_val(r->feeds, feed);
}

void
store_gone(struct rig *r, uint64_t request)
{
	guint i;

	for (i = r->feeds->len; i > 0; i--) {
		if (g_array_index(r->feeds, struct feed, i - 1).request ==
		    request)
			(void)g_array_remove_index_fast(r->feeds, i - 1);
	}
}

/*
 * Answers the feeds that have a change or have waited long enough.
 */
void
store_tick(struct rig *r)
{
	struct feed feed;
	json_t *rows;
	guint i;

	for (i = r->feeds->len; i > 0; i--) {
		feed = g_array_index(r->feeds, struct feed, i - 1);
		rows = rows_json(r, feed.table, feed.after, true);
		if (json_array_size(rows) == 0 && r->now < feed.until) {
			json_decref(rows);
			continue;
		}
		(void)g_array_remove_index_fast(r->feeds, i - 1);
		answer(r, feed.request, 200, json_pack("{s:o}", "rows", rows));
	}
}
