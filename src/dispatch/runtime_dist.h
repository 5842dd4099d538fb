/*
 * Distribution of the run times of a route's tasks, relative to the callers'
 * estimates and normalised to speed 1.  A run belongs to the body or to the
 * tail, and each of them is taken as log-normal.  All logarithms are to base 2.
 */
#ifndef MLK_DISPATCH_RUNTIME_DIST_H
#define MLK_DISPATCH_RUNTIME_DIST_H

#include <stdbool.h>
#include <stdint.h>

struct runtime_dist {
	uint32_t n; /* runs counted, up to RUNTIME_DIST_WINDOW */
	uint32_t nshare; /* likewise, for tail_share */
	double log_ratio; /* mean of log2(run time / estimate) over all runs */
	double body_mean; /* the same over the body */
	double body_variance;
	double body_sd;
	double tail_mean; /* over the tail; valid if tail_share is above 0 */
	double tail_share; /* of all runs */
};

/* Runs after which old ones decay exponentially. */
#define RUNTIME_DIST_WINDOW 64U
/* Runs from which on the distribution is used. */
#define RUNTIME_DIST_MIN_RUNS 8U

/* Adds a run; `ratio` is log2(run time at speed 1 / estimate). */
void runtime_dist_add(struct runtime_dist *dist, double ratio);
/* Whether enough runs are known. */
bool runtime_dist_known(const struct runtime_dist *dist);
/*
 * The probability that a run ends within a time; `ratio` is log2(time * speed /
 * estimate).
 */
double runtime_dist_chance(const struct runtime_dist *dist, double ratio);
/* The probability that n independent runs all do, each with probability p. */
double runtime_dist_all(double p, uint32_t n);

#endif
