/*
 * Handle table: maps integer handles to pointers.  A handle consists of a slot
 * index and the generation of the slot, which changes with each use, so that
 * the handle of a removed object is stale and does not refer to the slot's next
 * object.
 */
#ifndef MLK_NET_TABLE_H
#define MLK_NET_TABLE_H

#include <stdbool.h>
#include <stdint.h>

struct mlk_table_slot {
	void *object; /* NULL: free */
	uint64_t generation;
	uint32_t next_free;
};

struct mlk_table {
	struct mlk_table_slot *slots;
	uint32_t n;
	uint32_t cap;
	uint32_t first_free; /* oldest free slot */
	uint32_t last_free;
	uint32_t index_bits;
	uint64_t generation_mask;
};

void mlk_table_init(
    struct mlk_table *t, uint32_t index_bits, uint32_t generation_bits);
void mlk_table_free(struct mlk_table *t);
uint64_t mlk_table_add(struct mlk_table *t, void *object);
void *mlk_table_get(const struct mlk_table *t, uint64_t handle);
void mlk_table_remove(struct mlk_table *t, uint64_t handle);

#endif
