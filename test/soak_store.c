/*
 * The simulated store of the platform: rows, transactions and feeds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define OP_TABLE "op"
#define OP_KEY "config"
#define SLOW_MS 1000U /* longest delay of an answer */
#define ROUTING_BURST_GAP_MS 250U /* longest, between two routing tables */
#define EVACUATION_GAP_MS 5000U /* longest, between two changes */

/*
 * Returns a row, which is added when it does not exist yet.
 */
static struct soak_row *
row_get(struct soak *s, const char *table, const char *key)
{
	struct soak_row fresh = { 0 }, *row;
	guint i;

	for (i = 0; i < s->rows->len; i++) {
		row = &g_array_index(s->rows, struct soak_row, i);
		if (strcmp(row->table, table) == 0 &&
		    strcmp(row->key, key) == 0)
			return (row);
	}
	(void)g_strlcpy(fresh.table, table, sizeof(fresh.table));
	(void)g_strlcpy(fresh.key, key, sizeof(fresh.key));
	(void)g_array_append_val(s->rows, fresh);
	return (&g_array_index(s->rows, struct soak_row, s->rows->len - 1));
}

static void
row_put(struct soak *s, const char *table, const char *key, const char *value)
{
	struct soak_row *row = row_get(s, table, key);

	g_free(row->value);
	row->value = g_strdup(value);
	row->version = s->version;
}

/*
 * Publishes a routing table as an operator does.  It has two routes for each
 * entry: one for jobs, and one with the version in its path, from which a probe
 * tells which version is in force.
 */
void
soak_store_routes(struct soak *s, uint64_t version)
{
	json_t *root, *routes = json_array();
	char host[SOAK_HOST_MAX], prefix[32], *text, *value;
	uint32_t i;

	(void)snprintf(
	    prefix, sizeof(prefix), "/v%llu/", (unsigned long long)version);
	for (i = 0; i < s->options.entries; i++) {
		(void)snprintf(host, sizeof(host), "127.0.1.%u", i + 1);
		(void)json_array_append_new(routes,
		    json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:f}", "name",
			"q", "host", host, "path_prefix", SOAK_ROUTE, "service",
			"pool-a", "timeout_ms", 3000, "target_latency_ms", 60,
			"priority", 0, "attempts", 3, "stretch", 1.6));
		(void)json_array_append_new(routes,
		    json_pack("{s:s,s:s,s:s,s:s,s:i}", "name", "v", "host",
			host, "path_prefix", prefix, "service", "pool-a",
			"timeout_ms", 1000));
	}
	root = json_pack("{s:I,s:o,s:[{s:s}],s:{}}", "version",
	    (json_int_t)version, "routes", routes, "services", "name", "pool-a",
	    "limits");
	text = json_dumps(root, JSON_COMPACT);
	value = g_base64_encode((const guchar *)text, strlen(text));
	s->version++;
	s->routing = version;
	(void)g_array_append_val(s->published_versions, version);
	row_put(s, OP_TABLE, OP_KEY, value);
	g_free(value);
	free(text);
	json_decref(root);
}

/*
 * Copies an argument of a query to `out`; "" when it is missing or too long.
 */
static void
query_text(const char *query, const char *name, char *out, size_t size)
{
	char pattern[32];
	const char *at;
	size_t n;

	out[0] = '\0';
	(void)snprintf(pattern, sizeof(pattern), "%s=", name);
	at = strstr(query, pattern);
	if (at == NULL)
		return;
	at += strlen(pattern);
	/* libwebsockets joins the arguments with separators of its own. */
	n = strcspn(at, "&;, ");
	if (n < size) {
		memcpy(out, at, n);
		out[n] = '\0';
	}
}

static uint64_t
query_number(const char *query, const char *name)
{
	char text[32];

	query_text(query, name, text, sizeof(text));
	return (strtoull(text, NULL, 10));
}

/*
 * Returns the rows of a table that are newer than version `after`.  A feed also
 * lists removed rows.
 */
static json_t *
rows_json(struct soak *s, const char *table, uint64_t after, bool feed)
{
	json_t *list = json_array(), *item;
	const struct soak_row *row;
	guint i;

	for (i = 0; i < s->rows->len; i++) {
		row = &g_array_index(s->rows, struct soak_row, i);
		if (strcmp(row->table, table) != 0 || row->version <= after ||
		    row->version == 0 || (row->value == NULL && !feed))
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

/*
 * Answers with rows as of the time of the request, also when the answer is
 * delayed.
 */
static void
reply_rows(struct soak *s, uint64_t request, json_t *list)
{
	struct soak_answer delayed = { .request = request };

	delayed.root = json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "truncated",
	    0, "ver", (json_int_t)s->version, "now_ms", (json_int_t)s->now);
	if (s->store_mode != SOAK_STORE_SLOW) {
		soak_reply(s, request, 200, delayed.root);
		return;
	}
	delayed.at = s->now + soak_random(s, SLOW_MS);
	(void)g_array_append_val(s->answers, delayed);
}

static void
answers_tick(struct soak *s)
{
	struct soak_answer delayed;
	guint i;

	for (i = s->answers->len; i > 0; i--) {
		delayed = g_array_index(s->answers, struct soak_answer, i - 1);
		if (s->now < delayed.at)
			continue;
		(void)g_array_remove_index_fast(s->answers, i - 1);
		soak_reply(s, delayed.request, 200, delayed.root);
	}
}

/*
 * Publishes the next routing table of a burst when it is due.
 */
static void
routing_burst_tick(struct soak *s)
{
	if (s->routing_burst == 0 || s->now < s->next_routing_at)
		return;
	s->routing_burst--;
	s->next_routing_at = s->now + 1 + soak_random(s, ROUTING_BURST_GAP_MS);
	soak_store_routes(s, s->routing + 1 + soak_random(s, 3));
}

/*
 * Returns whether all rows have the versions that a transaction expects; 0 is a
 * row that does not exist.
 */
static bool
expectations_hold(struct soak *s, const json_t *list)
{
	const struct soak_row *row;
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		row = row_get(s,
		    json_string_value(json_object_get(item, "table")),
		    json_string_value(json_object_get(item, "key")));
		if ((json_int_t)(row->value == NULL ? 0 : row->version) !=
		    json_integer_value(json_object_get(item, "ver")))
			return (false);
	}
	return (true);
}

static void
transaction(struct soak *s, const struct mlk_http_request *req)
{
	const json_t *item;
	json_t *root;
	size_t i;

	root = json_loadb((const char *)req->body, req->body_len, 0, NULL);
	if (!expectations_hold(s, json_object_get(root, "expect"))) {
		soak_reply(s, req->request, 412, json_pack("{s:[]}", "rows"));
		json_decref(root);
		return;
	}
	s->version++;
	json_array_foreach(json_object_get(root, "writes"), i, item)
	{
		row_put(s, json_string_value(json_object_get(item, "table")),
		    json_string_value(json_object_get(item, "key")),
		    json_string_value(json_object_get(item, "value")));
	}
	json_array_foreach(json_object_get(root, "remove"), i, item)
	{
		row_put(s, json_string_value(json_object_get(item, "table")),
		    json_string_value(json_object_get(item, "key")), NULL);
	}
	json_decref(root);
	if (s->store_mode != SOAK_STORE_LOSSY)
		soak_reply(s, req->request, 200,
		    json_pack("{s:I}", "ver", (json_int_t)s->version));
}

void
soak_store_request(struct soak *s, const struct mlk_http_request *req)
{
	struct soak_poll poll = { .request = req->request };

	if (s->store_mode == SOAK_STORE_SILENT)
		return;
	if (s->store_mode == SOAK_STORE_DOWN) {
		soak_reply(s, req->request, 503, json_object());
		return;
	}
	if (strcmp(req->path, "/-/rows-tx") == 0) {
		transaction(s, req);
		return;
	}
	if (s->store_mode == SOAK_STORE_LOSSY)
		return;
	query_text(req->query, "table", poll.table, sizeof(poll.table));
	if (strcmp(req->path, "/-/rows-get") == 0) {
		reply_rows(s, req->request, rows_json(s, poll.table, 0, false));
		return;
	}
	poll.after = query_number(req->query, "after");
	poll.until = s->now + (int64_t)query_number(req->query, "wait_ms");
	(void)g_array_append_val(s->polls, poll);
}

/*
 * Evacuates a data centre, or cancels its evacuation.
 */
static void
toggle_evacuation(struct soak *s, uint32_t dc)
{
	char key[32];

	(void)snprintf(key, sizeof(key), "evacuate/dc-%c", (char)('a' + dc));
	s->version++;
	if (s->evacuated_at[dc] != 0) {
		s->evacuated_at[dc] = 0;
		row_put(s, OP_TABLE, key, NULL);
		return;
	}
	s->evacuations++;
	s->evacuated_at[dc] = s->now;
	row_put(s, OP_TABLE, key, "e30=");
}

/*
 * Changes the evacuated data centres at random times, and cancels all
 * evacuations when the faults are over.
 */
void
soak_evacuations_tick(struct soak *s)
{
	uint32_t i;

	if (!s->options.evacuate)
		return;
	if (soak_faults_over(s)) {
		for (i = 0; i < SOAK_DCS; i++) {
			if (s->evacuated_at[i] != 0)
				toggle_evacuation(s, i);
		}
		return;
	}
	if (s->now < s->next_evacuation)
		return;
	s->next_evacuation =
	    s->now + 1 + mlk_rng_below(&s->evacuation_rng, EVACUATION_GAP_MS);
	toggle_evacuation(s, mlk_rng_below(&s->evacuation_rng, SOAK_DCS));
}

/*
 * Sends delayed answers, publishes routing tables, and answers feed requests
 * that have new rows or have timed out.
 */
void
soak_store_tick(struct soak *s)
{
	struct soak_poll poll;
	json_t *list;
	guint i;

	answers_tick(s);
	routing_burst_tick(s);
	if (s->now >= s->store_until && s->store_mode != SOAK_STORE_UP) {
		s->store_mode = SOAK_STORE_UP;
		s->store_up_since = s->now;
	}
	if (s->store_mode != SOAK_STORE_UP &&
	    s->store_mode != SOAK_STORE_SLOW) {
		(void)g_array_set_size(s->polls, 0);
		return;
	}
	for (i = s->polls->len; i > 0; i--) {
		poll = g_array_index(s->polls, struct soak_poll, i - 1);
		list = rows_json(s, poll.table, poll.after, true);
		if (json_array_size(list) == 0 && s->now < poll.until) {
			json_decref(list);
			continue;
		}
		reply_rows(s, poll.request, list);
		(void)g_array_remove_index_fast(s->polls, i - 1);
	}
}

void
soak_store_clear(struct soak *s)
{
	guint i;

	for (i = 0; i < s->rows->len; i++)
		g_free(g_array_index(s->rows, struct soak_row, i).value);
	for (i = 0; i < s->answers->len; i++)
		json_decref(
		    g_array_index(s->answers, struct soak_answer, i).root);
	(void)g_array_free(s->rows, TRUE);
	(void)g_array_free(s->published_versions, TRUE);
	(void)g_array_free(s->polls, TRUE);
	(void)g_array_free(s->answers, TRUE);
}
