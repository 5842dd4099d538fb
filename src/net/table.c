/*
 * Handle table; see table.h.  Free slots are reused in the order in which they
 * were freed.
 */
#include <stdlib.h>
#include <string.h>

#include "table.h"

#define NO_SLOT UINT32_MAX
#define SLOTS_MIN 64U

/*
 * Initialises a table of at most 2^index_bits objects.  The handles of a slot
 * repeat after 2^generation_bits - 1 uses.
 */
void
mlk_table_init(
    struct mlk_table *t, uint32_t index_bits, uint32_t generation_bits)
{
	memset(t, 0, sizeof(*t));
	t->first_free = NO_SLOT;
	t->last_free = NO_SLOT;
	t->index_bits = index_bits;
	t->generation_mask = (UINT64_C(1) << generation_bits) - 1;
}

void
mlk_table_free(struct mlk_table *t)
{
	free(t->slots);
	t->slots = NULL;
	t->n = 0;
	t->cap = 0;
}

static bool
grow(struct mlk_table *t)
{
	struct mlk_table_slot *slots;
	uint32_t cap;

	if (t->n < t->cap)
		return (true);
	cap = t->cap == 0 ? SLOTS_MIN : t->cap * 2;
	if (cap > UINT32_C(1) << t->index_bits)
		return (false);
	slots = realloc(t->slots, cap * sizeof(*slots));
	if (slots == NULL)
		return (false);
	t->slots = slots;
	t->cap = cap;
	return (true);
}

/*
 * Returns the index of a free slot, or NO_SLOT when the table is full.
 */
static uint32_t
take_slot(struct mlk_table *t)
{
	uint32_t i;

	i = t->first_free;
	if (i != NO_SLOT) {
		t->first_free = t->slots[i].next_free;
		if (t->first_free == NO_SLOT)
			t->last_free = NO_SLOT;
		return (i);
	}
	if (!grow(t))
		return (NO_SLOT);
	i = t->n++;
	t->slots[i].generation = 0;
	return (i);
}

/*
 * Adds an object.  Returns its handle, or 0 when the table is full.
 */
uint64_t
mlk_table_add(struct mlk_table *t, void *object)
{
	struct mlk_table_slot *slot;
	uint32_t i;

	i = take_slot(t);
	if (i == NO_SLOT)
		return (0);
	slot = &t->slots[i];
	slot->object = object;
	slot->generation = (slot->generation + 1) & t->generation_mask;
	if (slot->generation == 0)
		slot->generation = 1; /* a handle is never 0 */
	return (slot->generation << t->index_bits | i);
}

static struct mlk_table_slot *
find(const struct mlk_table *t, uint64_t handle)
{
	uint64_t i;

	i = handle & ((UINT64_C(1) << t->index_bits) - 1);
	if (i >= t->n || t->slots[i].object == NULL ||
	    t->slots[i].generation != handle >> t->index_bits)
		return (NULL);
	return (&t->slots[i]);
}

/*
 * Returns the object, or NULL when the handle is stale.
 */
void *
mlk_table_get(const struct mlk_table *t, uint64_t handle)
{
	const struct mlk_table_slot *slot = find(t, handle);

	return (slot == NULL ? NULL : slot->object);
}

void
mlk_table_remove(struct mlk_table *t, uint64_t handle)
{
	struct mlk_table_slot *slot = find(t, handle);
	uint32_t i;

	if (slot == NULL)
		return;
	i = (uint32_t)(slot - t->slots);
	slot->object = NULL;
	slot->next_free = NO_SLOT;
	if (t->last_free == NO_SLOT)
		t->first_free = i;
	else
		t->slots[t->last_free].next_free = i;
	t->last_free = i;
}
