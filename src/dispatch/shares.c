/*
 * Shares of a pool's capacity.  Guards against an overload by one queue that
 * the callers of the other queues pay for.
 *
 * Weights alone would not do: a queue with a high weight, or one that usually
 * needs little, could double its demand at the expense of a queue that needs
 * more than its weight gives it, although that one's callers changed nothing.
 * The usual demand of every queue is therefore served first, and only the rest
 * of the capacity is shared by weight.
 */
#include <math.h>
#include <stdbool.h>

#include "shares.h"

/*
 * Part of its share by weight that a queue gets also if its usual demand is
 * lower, so that a new queue does not starve among others that use everything.
 */
#define FLOOR_SHARE 0.25
/*
 * Demand up to this multiple of the usual one counts as usual: arrivals vary,
 * and the load of a day swings by half.
 */
#define USUAL_MARGIN 1.25

/*
 * Returns the weight of a queue by its priority, of which 0 is the highest.
 */
double
shares_weight(uint32_t priority)
{
	return (1.0 / ((double)priority + 1.0));
}

/*
 * Returns the level at which the capacity is used up when each queue gets
 * weight * level, at most its limit.  INFINITY: the capacity covers all limits.
 *
 * Each round compares the same quotients that the next level is taken from, so
 * that it ends whatever the rounding: a margin of error instead would be too
 * small for some demand, as that of thousands of cores.
 */
static double
fill_level(const struct share_queue *queues, uint32_t n, double capacity)
{
	double level = 0, next, weights, wanted;
	uint32_t i;

	for (;;) {
		weights = 0;
		wanted = 0;
		next = INFINITY;
		for (i = 0; i < n; i++) {
			if (queues[i].limit / queues[i].weight <= level) {
				wanted += queues[i].limit;
				continue;
			}
			weights += queues[i].weight;
			next = fmin(next, queues[i].limit / queues[i].weight);
		}
		if (weights <= 0)
			return (INFINITY);
		if (wanted + weights * next >= capacity)
			return (fmax(0, (capacity - wanted) / weights));
		level = next;
	}
}

/*
 * Adds to each share its weighted max-min part of the capacity, at most
 * its limit.  Returns the capacity that is left.
 */
static double
fill(struct share_queue *queues, uint32_t n, double capacity)
{
	double level, part;
	uint32_t i;

	level = fill_level(queues, n, capacity);
	for (i = 0; i < n; i++) {
		part = isinf(level) ?
		    queues[i].limit :
		    fmin(queues[i].limit, queues[i].weight * level);
		queues[i].share += part;
		capacity -= part;
	}
	return (fmax(capacity, 0));
}

/*
 * Sets the share of each queue, at most its demand.  No capacity is left over
 * while a queue lacks any.
 */
void
shares_compute(struct share_queue *queues, uint32_t n, double capacity)
{
	double weights = 0, floor;
	uint32_t i;

	capacity = fmax(capacity, 0);
	for (i = 0; i < n; i++)
		weights += queues[i].weight;
	for (i = 0; i < n; i++) {
		floor = capacity * queues[i].weight / weights * FLOOR_SHARE;
		queues[i].share = 0;
		queues[i].limit = fmin(queues[i].demand,
		    fmax(queues[i].usual * USUAL_MARGIN, floor));
	}
	capacity = fill(queues, n, capacity);
	for (i = 0; i < n; i++)
		queues[i].limit = queues[i].demand - queues[i].share;
	(void)fill(queues, n, capacity);
}
