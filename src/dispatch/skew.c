#include <string.h>

#include "skew.h"

/*
 * Clocks whose rates differ by 1 in 1,000 shift the difference by 10 ms per
 * window, which is small compared with every lease.
 */
#define WINDOW_MS 10000
/* An age is underestimated by at most this; leases allow for it. */
#define ROUND_TRIP_MAX_MS 250

void
mlk_skew_reset(struct mlk_skew *skew)
{
	memset(skew, 0, sizeof(*skew));
}

void
mlk_skew_answer(
    struct mlk_skew *skew, int64_t now_ms, uint64_t sent_at, uint64_t echo)
{
	if (skew->known || echo == 0 ||
	    now_ms - (int64_t)echo > ROUND_TRIP_MAX_MS)
		return;
	skew->known = true;
	skew->min_diff[0] = now_ms - (int64_t)sent_at;
	skew->min_diff[1] = skew->min_diff[0];
	skew->window_end = now_ms + WINDOW_MS;
}

static int64_t
min_diff_of(const struct mlk_skew *skew)
{
	return (skew->min_diff[0] < skew->min_diff[1] ? skew->min_diff[0] :
							skew->min_diff[1]);
}

int64_t
mlk_skew_age(struct mlk_skew *skew, int64_t now_ms, uint64_t sent_at)
{
	int64_t difference;

	if (!skew->known)
		return (-1);
	difference = now_ms - (int64_t)sent_at;
	if (now_ms >= skew->window_end) {
		skew->min_diff[1] = skew->min_diff[0];
		skew->min_diff[0] = difference;
		skew->window_end = now_ms + WINDOW_MS;
	}
	if (difference < skew->min_diff[0])
		skew->min_diff[0] = difference;
	return (difference - min_diff_of(skew));
}
