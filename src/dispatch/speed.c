#include <math.h>
#include <stdlib.h>

#include "speed.h"

/*
 * Estimates that are off by 0.4 either way spread single runs by 0.35 (log2),
 * and the tasks of a job share the error of their estimate.  With jobs of four
 * tasks, the error of a mean over 256 runs is 2.2 % (standard deviation,
 * simulated).
 */
#define WINDOW 256U
#define RUNS_MIN 24U /* before a speed is reported */
/*
 * Weight in runs of the assumption that a worker has the usual speed, so that
 * the first reports of equal workers differ little.
 */
#define PRIOR_RUNS 16.0
/*
 * Bound on the deviation of one run from the estimate, in log2.  The tail of
 * the run times, three runs in a hundred that take seven times as long, lowers
 * the estimate by 5 % (simulated), and that of all workers equally.
 */
#define DEVIATION_MAX 1.0
/*
 * The reported speed changes when the estimate differs by 2^0.15 or 11 %, and
 * by three times its error over the runs counted, 0.7 for a single job.
 */
#define REPORT_STEP 0.15
#define REPORT_STEP_ONE 2.1 /* divided by the root of the number of runs */
#define SPEED_MIN 250.0
#define SPEED_MAX 4000.0

static uint32_t
estimate(const struct speed *speed)
{
	double s;

	s = SPEED_UNIT * exp2(speed->log * speed->n / (speed->n + PRIOR_RUNS));
	return ((uint32_t)lround(fmin(fmax(s, SPEED_MIN), SPEED_MAX)));
}

bool
speed_add(struct speed *speed, int64_t expected, int64_t run)
{
	double deviation;
	uint32_t now, before;

	if (expected <= 0 || run <= 0)
		return (false);
	if (speed->n < WINDOW)
		speed->n++;
	deviation = log2((double)expected / (double)run) - speed->log;
	deviation = fmin(fmax(deviation, -DEVIATION_MAX), DEVIATION_MAX);
	speed->log += deviation / speed->n;
	if (speed->n < RUNS_MIN)
		return (false);
	if (speed->reported == 0)
		speed->reported = SPEED_UNIT;
	now = estimate(speed);
	if (fabs(log2((double)now / speed->reported)) <
	    fmax(REPORT_STEP, REPORT_STEP_ONE / sqrt(speed->n)))
		return (false);
	speed->reported = now;
	before = speed->logged != 0 ? speed->logged : SPEED_UNIT;
	if (llabs((int64_t)now - before) * 5 <= before)
		return (false);
	speed->logged = now;
	return (true);
}

uint32_t
speed_run_ms(const struct speed *speed, uint32_t expected_ms)
{
	uint64_t ms;

	if (speed->reported == 0)
		return (expected_ms);
	ms = (uint64_t)expected_ms * SPEED_UNIT / speed->reported;
	return (ms > UINT32_MAX ? UINT32_MAX : (uint32_t)ms);
}
