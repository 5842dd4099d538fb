/*
 * The speed of a worker, measured over its completed runs against the run times
 * that the entries expect at the usual speed.
 */
#ifndef MLK_DISPATCH_SPEED_H
#define MLK_DISPATCH_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/* Speeds are in thousandths of the usual speed. */
#define SPEED_UNIT 1000U

struct speed {
	uint32_t n; /* runs counted, up to the window */
	double log; /* estimate of log2(speed) */
	uint32_t reported; /* 0: too few runs are known */
	uint32_t logged; /* speed of the last log line; 0: none */
};

/*
 * Adds a completed run, with times in ns.  Returns whether the reported speed
 * has moved by more than a fifth since this function last returned true.
 */
bool speed_add(struct speed *speed, int64_t expected, int64_t run);
/* The run time to expect at this speed. */
uint32_t speed_run_ms(const struct speed *speed, uint32_t expected_ms);

#endif
