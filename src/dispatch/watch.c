/*
 * Table watch; see dispatch.h.
 */
#include <string.h>

#include <monsoonlock/dispatch.h>

#define FIRST_DELAY_NS (100 * (int64_t)MLK_NSEC_PER_MSEC)
/*
 * Longest delay after a failure.  The end of an outage is not signalled, and a
 * routing table change made right after it has to take effect within 2 s.  A
 * shorter delay costs more calls.
 */
#define MAX_DELAY_NS (800 * (int64_t)MLK_NSEC_PER_MSEC)
/* Prevents a busy loop when calls return at once. */
#define MIN_GAP_NS (5 * (int64_t)MLK_NSEC_PER_MSEC)

/*
 * The store answers within 10 ms, and within 300 ms when it is slow.  A call
 * that is lost in an outage must not delay the detection of the end of the
 * outage.  When reads of the whole table fail, every second attempt has the
 * longer timeout, in case the store is slower than that.
 */
#define TIMEOUT_MS 1100U
#define LONG_TIMEOUT_MS 4000U

void
mlk_watch_init(struct mlk_watch *watch, uint64_t seed, uint32_t max_wait_ms)
{
	memset(watch, 0, sizeof(*watch));
	mlk_rng_seed(&watch->rng, seed);
	watch->max_wait_ms = max_wait_ms;
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
			watch->timeout_ms = LONG_TIMEOUT_MS;
		return (MLK_WATCH_READ);
	}
	/*
	 * While a call waits for a change, the store is as silent as in an
	 * outage.  After a failure the call therefore does not wait, so that
	 * the store's recovery is noticed.
	 */
	watch->wait_ms =
	    watch->failures > 0 || watch->behind ? 0 : watch->max_wait_ms;
	watch->timeout_ms += watch->wait_ms;
	return (MLK_WATCH_FOLLOW);
}

/*
 * Delays the next call by a random time between half and all of the current
 * delay, so that processes that failed together do not retry together.
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
 * Handles the result of the call that mlk_watch_due() returned.  `version` is
 * used for ROWS only.
 */
void
mlk_watch_ended(struct mlk_watch *watch, enum mlk_watch_result result,
    uint64_t version, int64_t now)
{
	watch->calling = false;
	switch (result) {
	case MLK_WATCH_ROWS:
		/*
		 * The pages of a table may differ in their versions.  What has
		 * changed since the first one is read again as a change.
		 */
		watch->behind = watch->last_key[0] != '\0' &&
		    version != watch->first_version;
		if (watch->last_key[0] != '\0')
			version = watch->first_version;
		watch->last_key[0] = '\0';
		watch->following = true;
		watch->version = version;
		watch->delay = 0;
		watch->failures = 0;
		watch->due = now + MIN_GAP_NS;
		return;
	case MLK_WATCH_COMPACTED:
		watch->following = false;
		watch->due = now + MIN_GAP_NS;
		return;
	case MLK_WATCH_UNAVAILABLE:
		watch->failures++;
		back_off(watch, now);
		return;
	}
}

/*
 * Continues a read with the page after last_key.  The keys of a table rise from
 * page to page; one that does not would make the read endless.
 */
int
mlk_watch_page(struct mlk_watch *watch, const char *last_key, uint64_t version,
    int64_t now)
{
	if (strcmp(last_key, watch->last_key) <= 0 ||
	    strlen(last_key) >= sizeof(watch->last_key)) {
		watch->last_key[0] = '\0';
		mlk_watch_ended(watch, MLK_WATCH_UNAVAILABLE, 0, now);
		return (MLK_ERR_INVALID);
	}
	if (watch->last_key[0] == '\0')
		watch->first_version = version;
	memcpy(watch->last_key, last_key, strlen(last_key) + 1);
	watch->calling = false;
	watch->failures = 0;
	watch->delay = 0;
	watch->due = now;
	return (0);
}
