/*
 * The clock interface on top of clock_gettime(2).
 */
#include <monsoonlock/base.h>

static void
system_monotonic(void *arg, struct timespec *ts)
{
	(void)arg;
	(void)clock_gettime(CLOCK_MONOTONIC, ts);
}

static void
system_realtime(void *arg, struct timespec *ts)
{
	(void)arg;
	(void)clock_gettime(CLOCK_REALTIME, ts);
}

/*
 * Returns the clock of the operating system; it is never freed.
 */
const struct mlk_clock *
mlk_clock_system(void)
{
	static const struct mlk_clock clock = {
		.arg = NULL,
		.monotonic = system_monotonic,
		.realtime = system_realtime,
	};

	return (&clock);
}

static void
boottime_monotonic(void *arg, struct timespec *ts)
{
	(void)arg;
	(void)clock_gettime(CLOCK_BOOTTIME, ts);
}

/*
 * Returns a clock whose monotonic time also advances while the machine is
 * suspended; it is never freed.
 */
const struct mlk_clock *
mlk_clock_suspend_aware(void)
{
	static const struct mlk_clock clock = {
		.arg = NULL,
		.monotonic = boottime_monotonic,
		.realtime = system_realtime,
	};

	return (&clock);
}

/*
 * Returns ts in nanoseconds.
 */
int64_t
mlk_timespec_ns(const struct timespec *ts)
{
	return ((int64_t)ts->tv_sec * MLK_NSEC_PER_SEC + ts->tv_nsec);
}

/*
 * Returns the monotonic time of the clock in nanoseconds.
 */
int64_t
mlk_clock_now(const struct mlk_clock *clock)
{
	struct timespec ts;

	clock->monotonic(clock->arg, &ts);
	return (mlk_timespec_ns(&ts));
}

/*
 * Returns the wall-clock time in seconds.
 */
time_t
mlk_clock_wall(const struct mlk_clock *clock)
{
	struct timespec ts;

	clock->realtime(clock->arg, &ts);
	return (ts.tv_sec);
}
