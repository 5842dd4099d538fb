/*
 * Resource vectors: what a task needs and what a worker has free.
 */
#include <monsoonlock/dispatch.h>

/*
 * Tells whether every component of need is available.
 */
bool
mlk_room_fits(const struct mlk_room *free, const struct mlk_room *need)
{
	return (need->cpu <= free->cpu && need->mem_mb <= free->mem_mb &&
	    need->gpu <= free->gpu);
}

static uint32_t
sat_add(uint32_t a, uint32_t b)
{
	return (a > UINT32_MAX - b ? UINT32_MAX : a + b);
}

/*
 * Adds more to room; each component saturates.
 */
void
mlk_room_add(struct mlk_room *room, const struct mlk_room *more)
{
	room->cpu = sat_add(room->cpu, more->cpu);
	room->mem_mb = sat_add(room->mem_mb, more->mem_mb);
	room->gpu = sat_add(room->gpu, more->gpu);
}

static uint32_t
sat_sub(uint32_t a, uint32_t b)
{
	return (a < b ? 0 : a - b);
}

/*
 * Subtracts less from room; each component stops at 0.
 */
void
mlk_room_take(struct mlk_room *room, const struct mlk_room *less)
{
	room->cpu = sat_sub(room->cpu, less->cpu);
	room->mem_mb = sat_sub(room->mem_mb, less->mem_mb);
	room->gpu = sat_sub(room->gpu, less->gpu);
}

static uint32_t
count(uint32_t free, uint32_t need, uint32_t max)
{
	uint32_t n;

	if (need == 0)
		return (max);
	n = free / need;
	return (n < max ? n : max);
}

/*
 * Returns how many times need fits into free, at most max.
 */
uint32_t
mlk_room_count(
    const struct mlk_room *free, const struct mlk_room *need, uint32_t max)
{
	max = count(free->cpu, need->cpu, max);
	max = count(free->mem_mb, need->mem_mb, max);
	return (count(free->gpu, need->gpu, max));
}
