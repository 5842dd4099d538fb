/*
 * Following a table of the store; see dispatch.h.
 */
#include <string.h>

#include <monsoonlock/dispatch.h>

#define FIRST_DELAY_NS (100 * (int64_t)MLK_NSEC_PER_MSEC)
/*
 * An outage ends without a sign, and a change of the routing table made just
 * then has to be in force within 2 s; each attempt costs a call.
 */
#define MAX_DELAY_NS (800 * (int64_t)MLK_NSEC_PER_MSEC)
/* Calls that end at once must not become a busy loop. */
#define MIN_GAP_NS (5 * (int64_t)MLK_NSEC_PER_MSEC)

/*
 * The store answers within 10 ms, and within 300 ms when it is slow.  A call
 * that an outage has swallowed must not hide its end for long; the first read
 * may, every other time, in case the store is slower than that.
 */
#define TIMEOUT_MS 1100U
#define PATIENT_TIMEOUT_MS 4000U

void
mlk_watch_init(struct mlk_watch *watch, uint64_t seed, uint32_t longest_wait_ms)
{
	memset(watch, 0, sizeof(*watch));
	mlk_rng_seed(&watch->rng, seed);
	watch->longest_wait_ms = longest_wait_ms;
}

enum mlk_watch_call
mlk_watch_due(struct mlk_watch *watch, int64_t now)
{
	if (watch->calling || now < watch->due)
		return (MLK_WATCH_NONE);
	watch->calling = true;
	watch->timeout_ms = TIMEOUT_MS;
	if (!watch->following) {
		if (watch->failures % 2 == 1)
			watch->timeout_ms = PATIENT_TIMEOUT_MS;
		return (MLK_WATCH_READ);
	}
	/*
	 * A store that is silent does not tell a wait from an outage: after a
	 * failure a call that waits would hide the store's return.
	 */
	watch->wait_ms = watch->failures > 0 ? 0 : watch->longest_wait_ms;
	watch->timeout_ms += watch->wait_ms;
	return (MLK_WATCH_FOLLOW);
}

/*
 * Puts the next call off: for at least half of the present delay, so that
 * processes that failed together do not call together.
 */
static void
back_off(struct mlk_watch *watch, int64_t now)
{
	uint32_t half_ms;

	if (watch->delay == 0)
		watch->delay = FIRST_DELAY_NS;
	half_ms = (uint32_t)(watch->delay / 2 / MLK_NSEC_PER_MSEC);
	watch->due = now + watch->delay / 2 +
	    mlk_rng_below(&watch->rng, half_ms + 1) * MLK_NSEC_PER_MSEC;
	watch->delay *= 2;
	if (watch->delay > MAX_DELAY_NS)
		watch->delay = MAX_DELAY_NS;
}

/*
 * The call of mlk_watch_due() has ended; version counts for ROWS only.
 */
void
mlk_watch_ended(struct mlk_watch *watch, enum mlk_watch_result result,
    uint64_t version, int64_t now)
{
	watch->calling = false;
	switch (result) {
	case MLK_WATCH_ROWS:
		watch->following = true;
		watch->version = version;
		watch->delay = 0;
		watch->failures = 0;
		watch->due = now + MIN_GAP_NS;
		return;
	case MLK_WATCH_FORGOTTEN:
		watch->following = false;
		watch->due = now + MIN_GAP_NS;
		return;
	case MLK_WATCH_UNAVAILABLE:
		watch->failures++;
		back_off(watch, now);
		return;
	}
}
