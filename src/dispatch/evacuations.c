/*
 * The set of evacuated data centres that a process holds.
 *
 * A set with a higher version replaces one with a lower version.  All sets come
 * from the same rows of the store, so sets of one version are equal, and it
 * does not matter which process they were received from.
 */
#include <stdlib.h>
#include <string.h>

#include "evacuations.h"

void
evacuations_init(struct evacuations *e)
{
	e->version = 0;
	e->items = g_array_new(FALSE, FALSE, sizeof(struct evacuated));
}

void
evacuations_clear(struct evacuations *e)
{
	(void)g_array_free(e->items, TRUE);
	e->items = NULL;
	e->version = 0;
}

/*
 * Returns the entry of a data centre, or NULL when it is not evacuated.
 */
const struct evacuated *
evacuations_find(const struct evacuations *e, const char *dc)
{
	const struct evacuated *item;
	guint i;

	for (i = 0; i < e->items->len; i++) {
		item = &g_array_index(e->items, struct evacuated, i);
		if (strcmp(item->dc, dc) == 0)
			return (item);
	}
	return (NULL);
}

/*
 * Replaces the set when the version of the new one is higher.  A data centre
 * that is in both sets keeps the time since which it has been evacuated.
 */
enum evacuations_result
evacuations_adopt(
    struct evacuations *e, const struct mlk_evacuations *set, int64_t now)
{
	const struct evacuated *before;
	struct evacuated item;
	GArray *items;
	bool changed;
	uint32_t i;

	if (set->version <= e->version)
		return (EVACUATIONS_IGNORED);
	items = g_array_new(FALSE, FALSE, sizeof(struct evacuated));
	changed = set->n != e->items->len;
	for (i = 0; i < set->n; i++) {
		before = evacuations_find(e, set->items[i].dc);
		memset(&item, 0, sizeof(item));
		(void)g_strlcpy(item.dc, set->items[i].dc, sizeof(item.dc));
		item.version = set->items[i].version;
		item.since = before != NULL ? before->since : now;
		if (before == NULL || before->version != item.version)
			changed = true;
		else
			item.confirmed = before->confirmed;
		(void)g_array_append_val(items, item);
	}
	(void)g_array_free(e->items, TRUE);
	e->items = items;
	e->version = set->version;
	return (changed ? EVACUATIONS_CHANGED : EVACUATIONS_SAME);
}

/*
 * Fills a message with the set; mlk_msg_clear() frees the items.
 */
void
evacuations_copy(const struct evacuations *e, struct mlk_evacuations *out)
{
	const struct evacuated *item;
	guint i;

	out->version = e->version;
	out->n = e->items->len;
	out->items = NULL;
	if (out->n == 0)
		return;
	out->items = calloc(out->n, sizeof(*out->items));
	if (out->items == NULL)
		g_error("out of memory");
	for (i = 0; i < e->items->len; i++) {
		item = &g_array_index(e->items, struct evacuated, i);
		(void)g_strlcpy(out->items[i].dc, item->dc, MLK_NAME_MAX);
		out->items[i].version = item->version;
	}
}
