/*
 * splitmix64: gives the same sequence on every machine, so that a run can be
 * repeated from its seed.  Not cryptographically secure.
 */
#include <monsoonlock/base.h>

void
mlk_rng_seed(struct mlk_rng *rng, uint64_t seed)
{
	rng->state = seed;
}

/*
 * Returns the next 64 bits.
 */
uint64_t
mlk_rng_next(struct mlk_rng *rng)
{
	uint64_t z;

	z = (rng->state += 0x9e3779b97f4a7c15ULL);
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return (z ^ (z >> 31));
}

/*
 * Returns a number below bound, which must not be 0.  The bias of the
 * multiplication is below 2^-32.
 */
uint32_t
mlk_rng_below(struct mlk_rng *rng, uint32_t bound)
{
	return ((uint32_t)(((mlk_rng_next(rng) >> 32) * bound) >> 32));
}
