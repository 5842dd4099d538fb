/*
 * Age of messages between two processes whose clocks are not synchronised.  The
 * smallest recent difference between receive and send time is taken as that of
 * a message without delay; the excess over it is the age of a message.  A
 * message that waited in a socket while the reader was paused therefore counts
 * as old.
 *
 * The first difference is taken from a reply to a message of this process,
 * whose age is bounded by the round trip.  Otherwise the first message on a
 * link that had just been interrupted would count as undelayed.
 */
#ifndef MLK_DISPATCH_SKEW_H
#define MLK_DISPATCH_SKEW_H

#include <stdbool.h>
#include <stdint.h>

struct mlk_skew {
	int64_t min_diff[2]; /* ms, of the current and the previous window */
	int64_t window_end; /* ms of the local clock */
	bool known;
};

void mlk_skew_reset(struct mlk_skew *skew);
/*
 * Records a reply to a message that this process sent at `echo`.  From then on
 * ages are known, unless the round trip took too long.
 */
void mlk_skew_answer(
    struct mlk_skew *skew, int64_t now_ms, uint64_t sent_at, uint64_t echo);
/* Records a message; returns its age in ms, or -1 while that is unknown. */
int64_t mlk_skew_age(struct mlk_skew *skew, int64_t now_ms, uint64_t sent_at);

#endif
