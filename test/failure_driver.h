/*
 * Common parts of the failure tests: a deployment on loopback, a load with
 * faults, concurrent calls of other callers, and checks of the results against
 * the endpoints' start logs.
 */
#ifndef MLK_TEST_FAILURE_DRIVER_H
#define MLK_TEST_FAILURE_DRIVER_H

#include <glib.h>

#include "deploy.h"
#include "stats.h"

#define FAILURE_ENTRIES 3U
#define FAILURE_SLOTS 8U /* of one worker */

struct failure_options {
	uint32_t workers;
	uint32_t dcs;
	double duration_s;
	double load; /* mean share of all slots in use */
	uint64_t seed;
	bool issued_ids;
	bool small_jobs; /* 1 to 4 tasks instead of up to 50 */
	const char *faults; /* YAML list items of the scenario; NULL: none */
	/* As in struct mlk_deploy_options; NULL: none. */
	const char *(*route)(void *arg, const struct mlk_deploy_process *from,
	    const struct mlk_deploy_process *to);
	void *route_arg;
};

struct failure {
	struct mlk_deploy *deploy;
	struct mlk_load_scenario *sc;
	struct mlk_load_arrivals *arrivals;
	struct mlk_load_run run;
	struct mlk_load_stats *stats;
};

/* One HTTP call of a caller other than the load. */
struct failure_call {
	const char *method;
	char addr[MLK_ADDR_MAX];
	char *path;
	char *body; /* NULL: none */
	bool retry; /* after 503 or no answer, until the timeout */
	int status; /* 0: no answer */
	GString *answer;
	int64_t ended; /* monotonic ns */
};

int failure_setup(void **state);
int failure_teardown(void **state);
void failure_start(struct failure *f, const struct failure_options *options);
void failure_run_load(struct failure *f);
void failure_check_starts(struct failure *f);
void failure_print(const struct failure *f, const char *name);
uint64_t failure_calls_interrupted(const struct failure *f);
uint32_t failure_tasks_started(
    const struct failure *f, const char *id, uint32_t ntasks);
uint32_t failure_not_complete(
    const struct failure *f, double from_s, double to_s, uint32_t *unknown);
uint32_t failure_failed_after(const struct failure *f, double at_s);
uint32_t failure_not_complete_after(const struct failure *f, double at_s);
void failure_unknown_by_partition(const struct failure *f, double at_s);
const char *failure_addr(struct failure *f, const char *name);

char *failure_job_body(const char *id, uint32_t ntasks, const char *payload);
struct failure_call *failure_calls_create(uint32_t n);
void failure_calls_free(struct failure_call *calls, uint32_t n);
void failure_calls(struct failure_call *calls, uint32_t n);
void failure_check_answer(const struct failure_call *call, const char *id,
    uint32_t ntasks, struct mlk_load_verdict *verdict);

#endif
