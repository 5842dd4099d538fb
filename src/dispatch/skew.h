/*
 * Age of messages between two clocks that are not synchronised.  The smallest
 * difference between receipt and sending seen lately stands for a message
 * without delay; what a message is above it, is its age.  So a message that
 * waited in a socket during a pause of the reader counts as old.
 */
#ifndef MLK_DISPATCH_SKEW_H
#define MLK_DISPATCH_SKEW_H

#include <stdbool.h>
#include <stdint.h>

struct mlk_skew {
	int64_t least[2]; /* ms, of the present and the earlier window */
	int64_t window_end; /* ms of the reader's clock */
	bool known;
};

void mlk_skew_reset(struct mlk_skew *skew);
/* Takes note of a message; returns its age in ms, 0 for the first. */
int64_t mlk_skew_age(struct mlk_skew *skew, int64_t now_ms, uint64_t sent_at);

#endif
