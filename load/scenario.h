/*
 * Scenario files of monsoonlock-load: the size of the deployment, the arrivals
 * of jobs and the faults with their times.
 */
#ifndef MLK_LOAD_SCENARIO_H
#define MLK_LOAD_SCENARIO_H

#include <monsoonlock/base.h>

/* Kinds with a longer mean run time are long. */
#define MLK_LOAD_LONG_MS 1000U
#define MLK_KIND_NAME_MAX 63 /* bytes, as in the job format */

/* The arrival rate is multiplied by factor for the last crest_s seconds of each
 * period_s. */
struct mlk_load_swing {
	double period_s;
	double crest_s;
	double factor;
};

/* One kind of task; times in milliseconds, shares 0..1. */
struct mlk_load_kind {
	char *name;
	double share; /* of all jobs */
	uint32_t min_ms;
	uint32_t max_ms;
	double straggler_share; /* of this kind's tasks */
	uint32_t straggler_min_ms;
	uint32_t straggler_max_ms;
	double declared_factor; /* declared / actual run time; 0: undeclared */
	bool repeatable;
	uint32_t result_bytes;
};

/* Jobs of min..max tasks make up this share of all jobs. */
struct mlk_load_size {
	double share;
	uint32_t min;
	uint32_t max;
};

enum mlk_load_action {
	MLK_LOAD_KILL,
	MLK_LOAD_STOP,
	MLK_LOAD_RESTART, /* stop if running, then start */
	MLK_LOAD_PAUSE, /* for for_s seconds */
	MLK_LOAD_CONTROL, /* POST /control with body, undone after for_s */
	MLK_LOAD_CANCEL_WAVE, /* cancel this share of the jobs in flight */
};

struct mlk_load_fault {
	double at_s; /* after the end of the warm-up */
	enum mlk_load_action action;
	char *target; /* process name, such as entry-1 or endpoint-2 */
	double for_s; /* 0: until the end of the run */
	char *body; /* control only */
	char *undo; /* control only: body sent after for_s */
	double share; /* cancel-wave only */
};

struct mlk_load_scenario {
	char *name;
	double duration_s; /* of the arrivals after the warm-up */
	double warm_up_s; /* its jobs are excluded from the quantiles */
	uint64_t seed;
	uint32_t entries;
	uint32_t workers;
	uint32_t slots; /* per worker */
	double load; /* mean share of all slots in use; 0: see rate */
	double rate; /* jobs per second, mean over a period; 0: see load */
	struct mlk_load_swing *swing; /* NULL: none */
	struct mlk_load_kind *kinds;
	uint32_t nkinds;
	struct mlk_load_size *sizes; /* empty: one task per job */
	uint32_t nsizes;
	uint32_t deadline_ms; /* 0: none */
	char **teams; /* empty: one team, "load" */
	uint32_t nteams;
	bool issued_ids; /* use ids from GET /v1/ids */
	double resubmit_share; /* of all jobs */
	double cancel_share; /* of all jobs */
	struct mlk_load_fault *faults;
	uint32_t nfaults;
};

int mlk_load_scenario_read(
    const char *path, struct mlk_load_scenario **out, struct mlk_error *err);
int mlk_load_scenario_parse(const char *text, size_t len, const char *name,
    struct mlk_load_scenario **out, struct mlk_error *err);
int mlk_load_scenario_set_workers(
    struct mlk_load_scenario *sc, uint32_t workers, struct mlk_error *err);
void mlk_load_scenario_free(struct mlk_load_scenario *sc);
bool mlk_load_kind_is_long(const struct mlk_load_kind *kind);

#endif
