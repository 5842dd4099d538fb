/*
 * A minimal fake of slots.h: any entry may use any idle slot.  A test sets
 * fake_slots.grant to the entry that gets one `any` credit at the next
 * mlk_slots_changes(), and fake_slots.reclaim to the one that it is reclaimed
 * from.
 */
#include <stdlib.h>

#include "fake_slots.h"

#define FAKE_SLOTS_MAX 64

struct mlk_slots {
	uint32_t nslots;
	bool busy[FAKE_SLOTS_MAX];
	bool closed;
};

struct fake_slots_state fake_slots;

struct mlk_slots *
mlk_slots_create(uint32_t nslots, uint64_t seed)
{
	struct mlk_slots *slots;

	(void)seed;
	fake_slots = (struct fake_slots_state){ .grant = -1, .reclaim = -1 };
	slots = calloc(1, sizeof(*slots));
	if (slots != NULL)
		slots->nslots = nslots;
	return (slots);
}

void
mlk_slots_destroy(struct mlk_slots *slots)
{
	free(slots);
}

void
mlk_slots_entry_up(struct mlk_slots *slots, uint32_t entry, int64_t now)
{
	(void)slots;
	(void)now;
	fake_slots.up |= 1ULL << entry;
}

void
mlk_slots_entry_down(struct mlk_slots *slots, uint32_t entry)
{
	(void)slots;
	fake_slots.up &= ~(1ULL << entry);
}

void
mlk_slots_demand(struct mlk_slots *slots, uint32_t entry,
    const struct mlk_demand *demand, int64_t now)
{
	(void)slots;
	(void)entry;
	(void)now;
	fake_slots.demand = *demand;
}

int
mlk_slots_start(
    struct mlk_slots *slots, uint32_t entry, bool is_long, int64_t now)
{
	uint32_t i;

	(void)entry;
	(void)is_long;
	(void)now;
	for (i = 0; i < slots->nslots; i++) {
		if (!slots->busy[i]) {
			slots->busy[i] = true;
			fake_slots.taken++;
			return ((int)i);
		}
	}
	return (-1);
}

void
mlk_slots_finish(struct mlk_slots *slots, uint32_t slot, int64_t now)
{
	(void)now;
	slots->busy[slot] = false;
	fake_slots.finished++;
}

void
mlk_slots_returned(struct mlk_slots *slots, uint32_t entry,
    struct mlk_credits credits, int64_t now)
{
	(void)slots;
	(void)entry;
	(void)now;
	fake_slots.returned = credits;
}

void
mlk_slots_close(struct mlk_slots *slots)
{
	slots->closed = true;
	fake_slots.closed = true;
}

size_t
mlk_slots_changes(struct mlk_slots *slots, int64_t now,
    struct mlk_slots_change *out, size_t max)
{
	size_t n;

	(void)slots;
	(void)now;
	n = 0;
	if (fake_slots.grant >= 0 && n < max) {
		out[n] = (struct mlk_slots_change){
			.entry = (uint32_t)fake_slots.grant,
			.grant = { .any = 1 },
		};
		n++;
	}
	if (fake_slots.reclaim >= 0 && n < max) {
		out[n] = (struct mlk_slots_change){
			.entry = (uint32_t)fake_slots.reclaim,
			.reclaim = { .any = 1 },
		};
		n++;
	}
	fake_slots.grant = fake_slots.reclaim = -1;
	return (n);
}

void
mlk_slots_stats(const struct mlk_slots *slots, struct mlk_slots_stats *out)
{
	uint32_t i;

	*out = (struct mlk_slots_stats){ 0 };
	for (i = 0; i < slots->nslots; i++)
		out->running += slots->busy[i];
	out->idle = slots->nslots - out->running;
}
