/*
 * Slots of an agent: each slot is idle, lent to an entry as a credit, or
 * running a task.  Decides which entry gets an idle slot and how many slots
 * long work may use.  Entries are integer handles below MLK_SLOTS_ENTRIES_MAX.
 */
#ifndef MLK_CORE_SLOTS_H
#define MLK_CORE_SLOTS_H

#include <monsoonlock/core.h>

#define MLK_SLOTS_ENTRIES_MAX 64

struct mlk_slots;

/* Messages to send to one entry. */
struct mlk_slots_change {
	uint32_t entry;
	struct mlk_credits grant; /* to send in GRANT or RESULT */
	struct mlk_credits reclaim; /* to send in RECLAIM */
};

struct mlk_slots *mlk_slots_create(uint32_t nslots, uint64_t seed);
void mlk_slots_destroy(struct mlk_slots *slots);
void mlk_slots_entry_up(struct mlk_slots *slots, uint32_t entry, int64_t now);
/* Revokes the credits of an entry; its running tasks continue. */
void mlk_slots_entry_down(struct mlk_slots *slots, uint32_t entry);
/* Records the demand that an entry reported. */
void mlk_slots_demand(struct mlk_slots *slots, uint32_t entry,
    const struct mlk_demand *demand, int64_t now);
/*
 * Allocates a slot for a START and returns it.  Uses one credit of the entry,
 * of either type; without a credit uses an idle slot.  Returns -1 when there is
 * neither (the START is answered NOT_RUN, retryable).
 */
int mlk_slots_start(
    struct mlk_slots *slots, uint32_t entry, bool is_long, int64_t now);
void mlk_slots_finish(struct mlk_slots *slots, uint32_t slot, int64_t now);
/* Applies RETURN: credits that an entry gave back. */
void mlk_slots_returned(struct mlk_slots *slots, uint32_t entry,
    struct mlk_credits credits, int64_t now);
/* Stops granting credits, without reclaiming any. */
void mlk_slots_close(struct mlk_slots *slots);
/*
 * Decides on grants and reclaims, stores at most `max` changes in `out`, at
 * most one for each entry, and returns their number.  Called after every event.
 */
size_t mlk_slots_changes(struct mlk_slots *slots, int64_t now,
    struct mlk_slots_change *out, size_t max);

struct mlk_slots_stats {
	uint32_t running;
	uint32_t lent;
	uint32_t idle;
	uint32_t long_cap; /* slots that long work may use */
};

void mlk_slots_stats(
    const struct mlk_slots *slots, struct mlk_slots_stats *out);

#endif
