/*
 * Rows with versions.  Each write or delete increments the row's version.  A
 * deleted row remains as a tombstone with its version, so that no version is
 * used again for other content.  Deleted and unknown rows are reported at
 * version 0.
 */
#include <string.h>

#include <glib.h>

#include "table.h"

#define KEY_MAX 256 /* bytes of a row key */

struct row {
	json_int_t version; /* of the last write or delete */
	json_t *value; /* NULL: deleted */
};

struct table {
	GTree *rows; /* key -> struct row, in the order of keys */
};

static gint
key_compare(gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return (strcmp(a, b));
}

static void
row_free(gpointer data)
{
	struct row *row = data;

	json_decref(row->value);
	g_free(row);
}

struct table *
table_create(void)
{
	struct table *table;

	table = g_new0(struct table, 1);
	table->rows = g_tree_new_full(key_compare, NULL, g_free, row_free);
	return (table);
}

void
table_destroy(struct table *table)
{
	g_tree_destroy(table->rows);
	g_free(table);
}

static bool
key_valid(const json_t *key)
{
	return (json_is_string(key) && json_string_length(key) > 0 &&
	    json_string_length(key) < KEY_MAX);
}

/*
 * A write has a key and either an object as its value or "delete": true.
 */
static bool
write_valid(const json_t *write)
{
	const json_t *value;

	value = json_object_get(write, "value");
	if (!key_valid(json_object_get(write, "key")))
		return (false);
	if (json_is_true(json_object_get(write, "delete")))
		return (value == NULL);
	return (json_is_object(value));
}

static bool
txn_valid(const json_t *txn)
{
	const json_t *list, *item;
	size_t i;

	list = json_object_get(txn, "conditions");
	if (!json_is_array(list))
		return (false);
	json_array_foreach(list, i, item)
	{
		if (!key_valid(json_object_get(item, "key")) ||
		    !json_is_integer(json_object_get(item, "version")))
			return (false);
	}
	list = json_object_get(txn, "writes");
	if (!json_is_array(list))
		return (false);
	json_array_foreach(list, i, item)
	{
		if (!write_valid(item))
			return (false);
	}
	list = json_object_get(txn, "reads");
	if (!json_is_array(list))
		return (false);
	json_array_foreach(list, i, item)
	{
		if (!key_valid(item))
			return (false);
	}
	return (true);
}

json_t *
table_parse(const void *body, size_t len)
{
	json_t *txn;

	txn = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
	if (txn_valid(txn))
		return (txn);
	json_decref(txn);
	return (NULL);
}

size_t
table_write_count(const json_t *txn)
{
	return (json_array_size(json_object_get(txn, "writes")));
}

static bool
conditions_hold(const struct table *table, const json_t *conditions)
{
	const struct row *row;
	const json_t *item;
	json_int_t version;
	size_t i;

	json_array_foreach(conditions, i, item)
	{
		row = g_tree_lookup(table->rows,
		    json_string_value(json_object_get(item, "key")));
		version = row == NULL || row->value == NULL ? 0 : row->version;
		if (version !=
		    json_integer_value(json_object_get(item, "version")))
			return (false);
	}
	return (true);
}

static void
write_row(struct table *table, const json_t *write)
{
	const char *key;
	struct row *row;

	key = json_string_value(json_object_get(write, "key"));
	row = g_tree_lookup(table->rows, key);
	if (row == NULL) {
		row = g_new0(struct row, 1);
		g_tree_insert(table->rows, g_strdup(key), row);
	}
	row->version++;
	json_decref(row->value);
	row->value = json_incref(json_object_get(write, "value"));
}

static void
append_row(json_t *rows, const char *key, const struct row *row)
{
	if (row == NULL || row->value == NULL) {
		(void)json_array_append_new(rows,
		    json_pack("{ss si sn}", "key", key, "version", 0, "value"));
	} else {
		(void)json_array_append_new(rows,
		    json_pack("{ss sI sO}", "key", key, "version", row->version,
			"value", row->value));
	}
}

/*
 * Appends the rows of one read: the row of a key, even if it does not exist, or
 * for "PREFIX*" all existing rows whose keys have the prefix.
 */
static void
read_rows(const struct table *table, const char *read, json_t *rows)
{
	const struct row *row;
	GTreeNode *node;
	gchar *prefix;

	if (!g_str_has_suffix(read, "*")) {
		append_row(rows, read, g_tree_lookup(table->rows, read));
		return;
	}
	prefix = g_strndup(read, strlen(read) - 1);
	for (node = g_tree_lower_bound(table->rows, prefix);
	     node != NULL && g_str_has_prefix(g_tree_node_key(node), prefix);
	     node = g_tree_node_next(node)) {
		row = g_tree_node_value(node);
		if (row->value != NULL)
			append_row(rows, g_tree_node_key(node), row);
	}
	g_free(prefix);
}

json_t *
table_apply(struct table *table, const json_t *txn)
{
	const json_t *item, *list;
	json_t *rows;
	bool committed;
	size_t i;

	committed = conditions_hold(table, json_object_get(txn, "conditions"));
	list = json_object_get(txn, "writes");
	json_array_foreach(list, i, item)
	{
		if (committed)
			write_row(table, item);
	}
	rows = json_array();
	list = json_object_get(txn, "reads");
	json_array_foreach(list, i, item)
	    read_rows(table, json_string_value(item), rows);
	return (
	    json_pack("{sb so}", "committed", (int)committed, "rows", rows));
}
