/*
 * Resource vectors: what a task needs and what a worker has free.
 */
#include <monsoonlock/dispatch.h>

/*
 * Tells whether *free has at least as much of every component as *need.
 */
bool
mlk_resources_fit(
    const struct mlk_resources *free, const struct mlk_resources *need)
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
 * Adds *more to *resources; each component saturates.
 */
void
mlk_resources_add(
    struct mlk_resources *resources, const struct mlk_resources *more)
{
	resources->cpu = sat_add(resources->cpu, more->cpu);
	resources->mem_mb = sat_add(resources->mem_mb, more->mem_mb);
	resources->gpu = sat_add(resources->gpu, more->gpu);
}

static uint32_t
sat_sub(uint32_t a, uint32_t b)
{
	return (a < b ? 0 : a - b);
}

/*
 * Subtracts *less from *resources; no component goes below 0.
 */
void
mlk_resources_subtract(
    struct mlk_resources *resources, const struct mlk_resources *less)
{
	resources->cpu = sat_sub(resources->cpu, less->cpu);
	resources->mem_mb = sat_sub(resources->mem_mb, less->mem_mb);
	resources->gpu = sat_sub(resources->gpu, less->gpu);
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
 * Returns how many times *need fits into *free, at most `max`.
 */
uint32_t
mlk_resources_count(const struct mlk_resources *free,
    const struct mlk_resources *need, uint32_t max)
{
	max = count(free->cpu, need->cpu, max);
	max = count(free->mem_mb, need->mem_mb, max);
	return (count(free->gpu, need->gpu, max));
}
