#include <math.h>
#include <stddef.h>

#include "runtime_dist.h"

/*
 * A run belongs to the tail if it takes 2^TAIL_LOG = 3.5 times the usual run
 * time or more.  Estimates that are off by 0.4 either way and speeds that are
 * not known yet together reach about three times.
 */
#define TAIL_LOG 1.8
/*
 * Part of the excess of a tail run that counts for the mean of the body, so
 * that the mean follows when all run times of a route rise for good.  Three
 * runs in a hundred shift it by 0.01, or 0.7 % of the run time.
 */
#define TAIL_PULL 0.35
#define TAIL_SD 0.5 /* a tail has too few runs to measure it */
#define TAIL_MEAN_WEIGHT (1.0 / 16) /* of the last tail run */
#define SHARE_WINDOW 1024U /* runs over which the share is measured */
#define SHARE_FIRST 32U /* weight of the first share, 0, in runs */
/* Before the second run: estimates off by 0.4 have a variance of 0.12. */
#define VARIANCE_FIRST 0.12
#define VARIANCE_MIN 0.01

/* Cumulative normal distribution, from 0 to 4 in steps of a quarter. */
#define NORMAL_STEP 0.25
#define NORMAL_LAST 16 /* index */
static const double normal_table[NORMAL_LAST + 1] = { 0.5, 0.5987, 0.6915,
	0.7734, 0.8413, 0.8944, 0.9332, 0.9599, 0.9772, 0.9878, 0.9938, 0.9970,
	0.9987, 0.9994, 0.9998, 0.9999, 1.0 };

/*
 * Returns the probability that a normal variable is at most z standard
 * deviations above its mean.
 */
static double
normal(double z)
{
	double x = fabs(z) / NORMAL_STEP, p;
	size_t i;

	if (x >= NORMAL_LAST)
		return (z < 0 ? 0 : 1);
	i = (size_t)x;
	p = normal_table[i] +
	    (normal_table[i + 1] - normal_table[i]) * (x - (double)i);
	return (z < 0 ? 1 - p : p);
}

static void
add_to_body(struct runtime_dist *dist, double ratio, double excess)
{
	/* The runs so far were of the tail. */
	if (excess <= -TAIL_LOG && dist->n <= RUNTIME_DIST_MIN_RUNS) {
		dist->body_mean = ratio;
		return;
	}
	dist->body_mean += excess / dist->n;
	dist->body_variance +=
	    (excess * excess - dist->body_variance) / dist->n;
	dist->body_variance = fmax(dist->body_variance, VARIANCE_MIN);
	dist->body_sd = sqrt(dist->body_variance);
}

static void
add_to_tail(struct runtime_dist *dist, double ratio)
{
	if (dist->tail_share == 0)
		dist->tail_mean = ratio;
	dist->tail_mean += (ratio - dist->tail_mean) * TAIL_MEAN_WEIGHT;
	dist->body_mean += TAIL_PULL / dist->n;
}

void
runtime_dist_add(struct runtime_dist *dist, double ratio)
{
	double excess;
	bool tail;

	if (dist->n == 0) {
		dist->nshare = SHARE_FIRST;
		dist->body_mean = ratio;
		dist->body_variance = VARIANCE_FIRST;
		dist->body_sd = sqrt(VARIANCE_FIRST);
	}
	if (dist->n < RUNTIME_DIST_WINDOW)
		dist->n++;
	if (dist->nshare < SHARE_WINDOW)
		dist->nshare++;
	dist->log_ratio += (ratio - dist->log_ratio) / dist->n;
	excess = ratio - dist->body_mean;
	tail = excess >= TAIL_LOG;
	if (tail)
		add_to_tail(dist, ratio);
	else if (dist->n > 1)
		add_to_body(dist, ratio, excess);
	dist->tail_share += ((tail ? 1 : 0) - dist->tail_share) / dist->nshare;
}

bool
runtime_dist_known(const struct runtime_dist *dist)
{
	return (dist != NULL && dist->n >= RUNTIME_DIST_MIN_RUNS);
}

double
runtime_dist_chance(const struct runtime_dist *dist, double ratio)
{
	double p;

	p = normal((ratio - dist->body_mean) / dist->body_sd);
	if (dist->tail_share <= 0)
		return (p);
	return (p +
	    (normal((ratio - dist->tail_mean) / TAIL_SD) - p) *
		dist->tail_share);
}

double
runtime_dist_all(double p, uint32_t n)
{
	double all = 1;

	for (; n > 0; n >>= 1, p *= p) {
		if ((n & 1) != 0)
			all *= p;
	}
	return (all);
}
