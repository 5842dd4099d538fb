/*
 * A calculation of how many jobs of a day could be served in time, with no
 * faults, no messages and perfect knowledge of free cores and of run times.  It
 * is the reference for the programs' decisions under load: the same arrivals in
 * several orders, placed on workers of different size and speed.
 *
 * A day has one pool.  Entries are not modelled: there is one queue.
 */
#ifndef MLK_LOAD_IDEAL_H
#define MLK_LOAD_IDEAL_H

#include <stdio.h>

#include <monsoonlock/base.h>

#define MLK_IDEAL_WINDOW_S 1.0 /* of arrivals, see mlk_ideal_worst() */
#define MLK_IDEAL_ROUTES_MAX                            \
	64U /* limits the tables of windows to a few MB \
	     */

/* One kind of job: tasks that run at the same time. */
struct mlk_ideal_kind {
	char *name;
	uint32_t tasks;
	double run_ms; /* median at speed 1 */
	double spread; /* standard deviation of the logarithm of the run time */
	double cores; /* of each task */
};

/* A part of a route's jobs. */
struct mlk_ideal_mix {
	char *kind;
	double share; /* 0..1 */
};

struct mlk_ideal_route {
	char *name;
	uint32_t priority; /* weight 1 / (priority + 1) */
	double share; /* of all jobs without floods, 0..1 */
	struct mlk_ideal_mix *mix;
	uint32_t nmix;
};

struct mlk_ideal_workers {
	uint32_t count;
	double cores;
	double speed; /* a task takes run time / speed */
};

/* The rate is multiplied by 1 + swing * sin(2 pi t / period). */
struct mlk_ideal_wave {
	double period_s;
	double swing; /* 0..1 */
};

/* Additional jobs of one route at a constant rate. */
struct mlk_ideal_flood {
	char *route;
	double at_s; /* after the warm-up */
	double for_s;
	double load; /* work offered per time / capacity */
};

/* This share of all tasks runs this many times as long. */
struct mlk_ideal_tail {
	double share;
	double factor;
};

/*
 * A job is in goal if it ends within base_ms + factor * run time of its longest
 * task at speed 1.  Until late_factor times that, it is worth late_worth.
 */
struct mlk_ideal_goal {
	double base_ms;
	double factor;
	double late_factor;
	double late_worth;
};

struct mlk_ideal_day {
	char *name;
	uint64_t seed;
	double warm_up_s; /* its jobs are not counted */
	double duration_s; /* after the warm-up */
	double load; /* mean work offered per time / capacity, no floods */
	uint32_t patience_ms; /* of callers, for the answer; 0: no limit */
	struct mlk_ideal_goal goal;
	struct mlk_ideal_wave *wave; /* NULL: constant rate */
	struct mlk_ideal_tail *tail; /* NULL: none */
	struct mlk_ideal_kind *kinds;
	uint32_t nkinds;
	struct mlk_ideal_route *routes;
	uint32_t nroutes;
	struct mlk_ideal_workers *workers;
	uint32_t nworkers;
	struct mlk_ideal_flood *floods;
	uint32_t nfloods;
};

/* ideal_file.c */
int mlk_ideal_day_read(
    const char *path, struct mlk_ideal_day **out, struct mlk_error *err);
int mlk_ideal_day_parse(const char *text, size_t len, const char *name,
    struct mlk_ideal_day **out, struct mlk_error *err);
void mlk_ideal_day_free(struct mlk_ideal_day *day);

/* Times are ns after the start of the warm-up. */
struct mlk_ideal_job {
	int64_t at;
	int64_t goal; /* latest end in goal */
	int64_t useful; /* latest end that is worth anything */
	const int64_t *run; /* ns at speed 1, of each task, longest first */
	double work; /* core-seconds at speed 1 */
	double speed; /* of the fastest worker that is large enough */
	uint32_t ntasks;
	uint32_t route; /* index into the day's routes */
	uint32_t cores; /* of each task, in thousandths */
	bool counted; /* arrives after the warm-up */
	bool in_flood; /* arrives during any flood, on any route */
};

struct mlk_ideal_jobs {
	struct mlk_ideal_job *jobs;
	uint32_t n;
	int64_t *runs; /* of all tasks */
	double capacity; /* cores * speed of all workers */
	double rate; /* mean jobs per second without floods */
	uint32_t counted; /* jobs after the warm-up */
	uint32_t out_of_reach; /* of these, not in goal on free workers */
};

/* ideal_jobs.c */
double mlk_ideal_job_work(
    const struct mlk_ideal_day *day, const struct mlk_ideal_route *route);
int64_t mlk_ideal_run_on(int64_t run, double speed);
int mlk_ideal_jobs_create(const struct mlk_ideal_day *day,
    struct mlk_ideal_jobs **out, struct mlk_error *err);
void mlk_ideal_jobs_free(struct mlk_ideal_jobs *jobs);

enum mlk_ideal_order {
	MLK_IDEAL_ARRIVAL,
	MLK_IDEAL_LEAST_SLACK,
	MLK_IDEAL_SMALLEST_WORK,
	MLK_IDEAL_SHARES, /* weighted, with refusal at arrival */
	MLK_IDEAL_ORDERS,
};

enum mlk_ideal_placement {
	MLK_IDEAL_FASTEST, /* the fastest worker with free cores */
	MLK_IDEAL_SLOWEST_IN_GOAL, /* keeps fast workers for long tasks */
	MLK_IDEAL_PLACEMENTS,
};

struct mlk_ideal_tally {
	uint32_t jobs;
	uint32_t in_goal;
	uint32_t late;
	uint32_t refused; /* at arrival */
	uint32_t given_up; /* later, as no useful end was possible */
	uint32_t held; /* of given_up: no task was started */
};

/* One order with one placement.  Row nroutes is the sum over all routes. */
struct mlk_ideal_result {
	enum mlk_ideal_order order;
	enum mlk_ideal_placement placement;
	uint32_t nroutes;
	uint32_t nwindows;
	struct mlk_ideal_tally *totals; /* [nroutes + 1] */
	struct mlk_ideal_tally *floods; /* [nroutes + 1], see in_flood */
	struct mlk_ideal_tally *windows; /* [nroutes + 1][nwindows] */
};

/* ideal.c */
struct mlk_ideal_result *mlk_ideal_run(const struct mlk_ideal_day *day,
    const struct mlk_ideal_jobs *jobs, enum mlk_ideal_order order,
    enum mlk_ideal_placement placement);
void mlk_ideal_result_free(struct mlk_ideal_result *result);

/* All orders of a day, with each placement that makes a difference. */
struct mlk_ideal_report {
	const struct mlk_ideal_day *day;
	const struct mlk_ideal_jobs *jobs;
	struct mlk_ideal_result
	    *results[MLK_IDEAL_ORDERS * MLK_IDEAL_PLACEMENTS];
	uint32_t n;
	uint32_t best; /* index of the result of the highest worth */
};

/* ideal_report.c */
double mlk_ideal_worth(
    const struct mlk_ideal_day *day, const struct mlk_ideal_tally *tally);
bool mlk_ideal_worst(const struct mlk_ideal_day *day,
    const struct mlk_ideal_result *result, uint32_t row, uint32_t *window);
void mlk_ideal_report_run(struct mlk_ideal_report *report);
void mlk_ideal_report_clear(struct mlk_ideal_report *report);
void mlk_ideal_report_text(FILE *out, const struct mlk_ideal_report *report);
int mlk_ideal_report_json(const char *path,
    const struct mlk_ideal_report *report, struct mlk_error *err);

#endif
