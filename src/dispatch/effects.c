/*
 * Growable lists of the effects of both reducers.
 */
#include <stdlib.h>
#include <string.h>

#include "effects.h"

#define FIRST_CAP 16

/*
 * Returns `items` with capacity for one more, or NULL when out of memory, in
 * which case the list is unchanged.
 */
static void *
grow(void *items, size_t n, size_t *cap, size_t size)
{
	size_t grown;
	void *p;

	if (n < *cap)
		return (items);
	grown = *cap == 0 ? FIRST_CAP : *cap * 2;
	p = realloc(items, grown * size);
	if (p != NULL)
		*cap = grown;
	return (p);
}

struct mlk_runner_effect *
mlk_runner_push(struct mlk_runner_effects *fx, enum mlk_runner_effect_type type)
{
	struct mlk_runner_effect *item;

	item = grow(fx->items, fx->n, &fx->cap, sizeof(*item));
	if (item == NULL)
		return (NULL);
	fx->items = item;
	item += fx->n++;
	memset(item, 0, sizeof(*item));
	item->type = type;
	return (item);
}

struct mlk_dispatch_effect *
mlk_dispatch_push(
    struct mlk_dispatch_effects *fx, enum mlk_dispatch_effect_type type)
{
	struct mlk_dispatch_effect *item;

	item = grow(fx->items, fx->n, &fx->cap, sizeof(*item));
	if (item == NULL)
		return (NULL);
	fx->items = item;
	item += fx->n++;
	memset(item, 0, sizeof(*item));
	item->type = type;
	return (item);
}

/*
 * Frees what the effects own and empties the list; its capacity is kept.
 */
void
mlk_runner_effects_clear(struct mlk_runner_effects *fx)
{
	size_t i;

	for (i = 0; i < fx->n; i++) {
		if (fx->items[i].type == MLK_RUNNER_FX_SEND)
			mlk_msg_clear(&fx->items[i].u.send.msg);
		else if (fx->items[i].type == MLK_RUNNER_FX_ORDER)
			mlk_blob_clear(&fx->items[i].u.order.spec);
	}
	fx->n = 0;
}

/*
 * Also frees the list itself.
 */
void
mlk_runner_effects_free(struct mlk_runner_effects *fx)
{
	mlk_runner_effects_clear(fx);
	free(fx->items);
	memset(fx, 0, sizeof(*fx));
}

void
mlk_dispatch_effects_clear(struct mlk_dispatch_effects *fx)
{
	size_t i;

	for (i = 0; i < fx->n; i++) {
		if (fx->items[i].type == MLK_DISPATCH_FX_SEND)
			mlk_msg_clear(&fx->items[i].u.send.msg);
	}
	fx->n = 0;
}

void
mlk_dispatch_effects_free(struct mlk_dispatch_effects *fx)
{
	mlk_dispatch_effects_clear(fx);
	free(fx->items);
	memset(fx, 0, sizeof(*fx));
}
