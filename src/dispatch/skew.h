/*
 * Age of messages between two clocks that are not synchronised.  The smallest
 * difference between receipt and sending seen lately stands for a message
 * without delay; what a message is above it, is its age.  So a message that
 * waited in a socket during a pause of the reader counts as old.
 *
 * The first difference comes from an answer to an own message, whose age is
 * bounded by the round trip.  Without it the first message on a link that was
 * cut just then would pass for one without delay.
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
/*
 * Takes note of the answer to a message of this process that was sent at
 * `echo`.  Ages are known from here on, unless the round trip took too long.
 */
void mlk_skew_answer(
    struct mlk_skew *skew, int64_t now_ms, uint64_t sent_at, uint64_t echo);
/* Takes note of a message; returns its age in ms, -1 while that is unknown. */
int64_t mlk_skew_age(struct mlk_skew *skew, int64_t now_ms, uint64_t sent_at);

#endif
