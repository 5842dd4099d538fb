/*
 * Rows of the store that evacuate data centres; see dispatch.h.
 *
 * The rows of a read are collected apart from those in force, so that a read in
 * several pages has no effect before its last page.  Pages of different
 * versions do not show the table as of one version; they have no effect before
 * the changes up to the highest of these versions are known.
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
	bool catching_up; /* its pages are complete, but of several versions */
	uint64_t first; /* version of its first page; 0: none yet */
	uint64_t last; /* highest version of its pages */
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
	t->catching_up = false;
	t->changed = 0;
	t->first = 0;
	t->last = 0;
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
	GHashTable *rows = t->reading != NULL ? t->reading : t->rows;

	if (t->reading == NULL && version <= t->version)
		return;
	if (removed)
		(void)g_hash_table_remove(rows, dc);
	else
		row_set(rows, dc, version);
	t->changed = MAX(t->changed, version);
}

/*
 * The rows of a page as of `version` have been handled, and other pages follow.
 */
void
mlk_evacuation_table_page(struct mlk_evacuation_table *t, uint64_t version)
{
	if (t->first == 0)
		t->first = version;
	t->last = MAX(t->last, version);
}

/*
 * The rows of a response as of `version` have been handled: the last page of a
 * read, or changes.
 */
enum mlk_evacuation_rows
mlk_evacuation_table_end(struct mlk_evacuation_table *t, uint64_t version)
{
	uint64_t changed = t->changed;

	t->changed = 0;
	if (t->reading == NULL) {
		t->version = MAX(t->version, changed);
		return (changed > 0 ? MLK_EVACUATION_ROWS_CHANGED :
				      MLK_EVACUATION_ROWS_SAME);
	}
	if (!t->catching_up) {
		mlk_evacuation_table_page(t, version);
		t->catching_up = t->first != t->last;
		if (t->catching_up)
			return (MLK_EVACUATION_ROWS_INCOMPLETE);
	}
	if (version < t->last)
		return (MLK_EVACUATION_ROWS_INCOMPLETE);
	g_hash_table_destroy(t->rows);
	t->rows = t->reading;
	t->reading = NULL;
	t->version = version;
	return (MLK_EVACUATION_ROWS_CHANGED);
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
