/*
 * State of the fake of slots.h: what the agent passed to it, and what the next
 * mlk_slots_changes() returns.
 */
#ifndef TEST_FAKE_SLOTS_H
#define TEST_FAKE_SLOTS_H

#include "slots.h"

struct fake_slots_state {
	int grant; /* entry that gets one `any` credit, or -1 */
	int reclaim; /* entry that one is reclaimed from, or -1 */
	uint64_t up; /* mask of the entries that are up */
	struct mlk_demand demand; /* of the last report */
	struct mlk_credits returned; /* of the last RETURN */
	uint32_t taken; /* calls of mlk_slots_start() that gave a slot */
	uint32_t finished; /* calls of mlk_slots_finish() */
	bool closed;
};

extern struct fake_slots_state fake_slots;

#endif
