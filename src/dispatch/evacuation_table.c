/*
 * Rows of the store that evacuate data centres; see dispatch.h.
 *
 * The rows of a read are collected apart from those in force, so that a read in
 * several pages has no effect before its last page.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/dispatch.h>

struct mlk_evacuation_table {
	uint64_t version; /* of the rows; 0: the table was not read yet */
	uint64_t changed; /* highest version of a change since; 0: none */
	GHashTable *rows; /* data centre -> uint64_t version of its row */
	GHashTable *reading; /* rows of the read in progress, or NULL */
};

static GHashTable *
rows_new(void)
{
	return (g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free));
}

struct mlk_evacuation_table *
mlk_evacuation_table_create(void)
{
	struct mlk_evacuation_table *t;

	t = g_new0(struct mlk_evacuation_table, 1);
	t->rows = rows_new();
	return (t);
}

static void
end_read(struct mlk_evacuation_table *t)
{
	if (t->reading != NULL)
		g_hash_table_destroy(t->reading);
	t->reading = NULL;
}

void
mlk_evacuation_table_destroy(struct mlk_evacuation_table *t)
{
	if (t == NULL)
		return;
	end_read(t);
	g_hash_table_destroy(t->rows);
	g_free(t);
}

/*
 * A read of the whole table begins; rows of an unfinished one are dropped.
 */
void
mlk_evacuation_table_begin(struct mlk_evacuation_table *t)
{
	end_read(t);
	t->reading = rows_new();
}

static void
row_set(GHashTable *rows, const char *dc, uint64_t version)
{
	(void)g_hash_table_insert(
	    rows, g_strdup(dc), g_memdup2(&version, sizeof(version)));
}

/*
 * Handles a row of a read, or a change.  A change that is included in the rows
 * already is ignored.
 */
void
mlk_evacuation_table_row(struct mlk_evacuation_table *t, const char *dc,
    uint64_t version, bool removed)
{
	if (t->reading != NULL) {
		if (!removed)
			row_set(t->reading, dc, version);
		return;
	}
	if (version <= t->version)
		return;
	if (removed)
		(void)g_hash_table_remove(t->rows, dc);
	else
		row_set(t->rows, dc, version);
	t->changed = MAX(t->changed, version);
}

/*
 * The last row of a response has been handled: the last page of a read as of
 * `version`, or changes.  Returns whether there is a new set.
 */
bool
mlk_evacuation_table_end(struct mlk_evacuation_table *t, uint64_t version)
{
	bool changed;

	if (t->reading != NULL) {
		g_hash_table_destroy(t->rows);
		t->rows = t->reading;
		t->reading = NULL;
		t->version = version;
		t->changed = 0;
		return (true);
	}
	changed = t->changed > t->version;
	t->version = MAX(t->version, t->changed);
	t->changed = 0;
	return (changed);
}

static int
compare_dc(const void *a, const void *b)
{
	const struct mlk_evacuation *x = a, *y = b;

	return (strcmp(x->dc, y->dc));
}

/*
 * Copies the rows, sorted, to *out; the caller frees the items.  Returns the
 * number of data centres beyond MLK_EVACUATIONS_MAX, which are left out.
 */
uint32_t
mlk_evacuation_table_copy(
    const struct mlk_evacuation_table *t, struct mlk_evacuations *out)
{
	GHashTableIter iter;
	gpointer dc, version;
	uint32_t n = 0;

	memset(out, 0, sizeof(*out));
	out->version = t->version;
	out->items =
	    calloc(g_hash_table_size(t->rows) + 1, sizeof(*out->items));
	if (out->items == NULL)
		g_error("out of memory");
	g_hash_table_iter_init(&iter, t->rows);
	while (g_hash_table_iter_next(&iter, &dc, &version)) {
		(void)g_strlcpy(out->items[n].dc, dc, MLK_NAME_MAX);
		out->items[n++].version = *(const uint64_t *)version;
	}
	/* All processes must leave out the same ones. */
	qsort(out->items, n, sizeof(*out->items), compare_dc);
	out->n = MIN(n, MLK_EVACUATIONS_MAX);
	return (n - out->n);
}
