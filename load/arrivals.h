/*
 * The jobs of a run, drawn in advance from the seed, so that every policy gets
 * the same arrivals and run times.
 */
#ifndef MLK_LOAD_ARRIVALS_H
#define MLK_LOAD_ARRIVALS_H

#include "scenario.h"

struct mlk_load_task {
	uint32_t run_ms;
};

struct mlk_load_job {
	int64_t at; /* ns after the start of the run, warm-up included */
	uint32_t kind; /* index into the scenario's kinds */
	uint32_t team; /* index into the scenario's teams */
	uint32_t ntasks;
	struct mlk_load_task *tasks;
	uint32_t ideal_ms; /* service time: run time of the longest task */
	bool measured; /* arrives after the warm-up */
	int64_t resubmit_after; /* ns after the arrival; 0: never */
	int64_t cancel_after; /* ns after the arrival; 0: never */
	uint64_t pick; /* random bits that select the entry */
};

struct mlk_load_arrivals {
	struct mlk_load_job *jobs;
	uint32_t n;
	uint64_t ntasks;
	double mean_rate; /* target, in jobs per second */
};

double mlk_load_draw_unit(struct mlk_rng *rng);
double mlk_load_mean_work(const struct mlk_load_scenario *sc);
double mlk_load_base_rate(const struct mlk_load_scenario *sc);
int mlk_load_arrivals_create(const struct mlk_load_scenario *sc,
    struct mlk_load_arrivals **out, struct mlk_error *err);
void mlk_load_arrivals_free(struct mlk_load_arrivals *arrivals);

#endif
