/*
 * Weighted max-min fair shares of a pool's capacity among its queues.
 */
#ifndef MLK_DISPATCH_SHARES_H
#define MLK_DISPATCH_SHARES_H

#include <stdint.h>

/* Rates are work per time, in any common unit. */
struct share_queue {
	double weight; /* above 0 */
	double usual; /* long-term mean of demand */
	double demand; /* present */
	double share; /* result */
	double limit; /* used by shares_compute() only */
};

double shares_weight(uint32_t priority);
void shares_compute(struct share_queue *queues, uint32_t n, double capacity);

#endif
