/*
 * Simulated worker for tests.  It carries out start, stop and list orders and
 * stops its runs when their lease expires by its own clock.  It does not
 * enforce its capacity: it carries out starts beyond it and counts them.
 */
#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

#include <monsoonlock/dispatch.h>

#define FAKE_RUNS_MAX 256
#define FAKE_ENDS_MAX 4096
#define FAKE_LEASE_MAX_MS 1000

struct fake_run {
	struct mlk_run_name name;
	struct mlk_resources resources;
	double work_ms; /* run time at speed 1 */
	double done_ms; /* part of work_ms that is done */
	int64_t stop_at; /* ms; 0: no stop requested */
	uint32_t slowed_by; /* kind that halves its speed; 0: none */
	uint32_t kind;
};

struct fake_worker {
	char id[MLK_NAME_MAX];
	uint64_t boot;
	bool up;
	struct mlk_resources capacity;
	double clock_rate; /* relative to true time */
	int64_t clock_start; /* clock at true time 0, ms */
	double speed; /* of its runs; 1: normal, 0: stalled */
	bool fails; /* its runs end as failed */
	uint64_t fence; /* highest seen; orders with a lower one are rejected */
	int64_t lease_until; /* of all runs; worker clock, ms */
	struct fake_run runs[FAKE_RUNS_MAX];
	uint32_t nruns;
	struct mlk_listed_end ends[FAKE_ENDS_MAX];
	uint32_t nends;
	uint64_t last_end; /* number of the last end */
	int64_t now; /* true time, ms */
	uint32_t over_capacity; /* starts beyond the capacity */
	struct mlk_listed_run listed[FAKE_RUNS_MAX]; /* by the last list */
};

void fake_worker_init(struct fake_worker *w, const char *id, uint64_t boot,
    uint32_t cpu, int64_t now);
/* Advances the runs and the clock to `now`, in ms of true time. */
void fake_worker_advance(struct fake_worker *w, int64_t now);
/* The worker's clock in ms. */
int64_t fake_worker_clock(const struct fake_worker *w);
/*
 * Carries out an order and stores its result in ev, whose lists are valid until
 * the next order.  `resources` and `work_ms` are those of a start.
 */
void fake_worker_order(struct fake_worker *w, const struct mlk_order *order,
    const struct mlk_resources *resources, double work_ms,
    struct mlk_runner_event *ev);
void fake_worker_announce(
    const struct fake_worker *w, uint64_t seq, struct mlk_announcement *out);
/* Whether a waiting list order that acknowledged `ack` has ends to report. */
bool fake_worker_has_ends(const struct fake_worker *w, uint64_t ack);
/* Whether any run of a task is active. */
bool fake_worker_runs(
    const struct fake_worker *w, const char *id, uint32_t index);

#endif
