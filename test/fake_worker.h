/*
 * A worker with a room, for tests: it starts what it is told to start, also
 * beyond its capacity, holds runs under leases of its own clock, and lists what
 * runs and what has ended.  It notes when it was made to break a bound.
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
	double work_ms; /* of a worker of usual speed */
	double done_ms;
	int64_t stop_at; /* ms; 0: not told to stop */
};

struct fake_worker {
	char id[MLK_NAME_MAX];
	uint64_t boot;
	bool up;
	struct mlk_resources capacity;
	double clock_rate; /* against true time */
	int64_t clock_start; /* its clock at true time 0, in ms */
	double speed; /* 0: its runs stand still */
	bool fails; /* what it starts */
	uint64_t fence;
	int64_t lease_until; /* its clock */
	struct fake_run runs[FAKE_RUNS_MAX];
	uint32_t nruns;
	struct mlk_listed_end ends[FAKE_ENDS_MAX];
	uint32_t nends;
	uint64_t last_end;
	int64_t now; /* true time, ms */
	uint32_t over_capacity; /* starts beyond it */
	struct mlk_listed_run listed[FAKE_RUNS_MAX]; /* of the last listing */
};

void fake_worker_init(struct fake_worker *w, const char *id, uint64_t boot,
    uint32_t cpu, int64_t now);
/* Lets time pass up to `now`, in ms. */
void fake_worker_advance(struct fake_worker *w, int64_t now);
int64_t fake_worker_clock(const struct fake_worker *w);
/*
 * Carries out an order; the work of a start is work_ms.  Fills the answer,
 * whose lists stay valid until the next order.
 */
void fake_worker_order(struct fake_worker *w, const struct mlk_order *order,
    const struct mlk_resources *resources, double work_ms,
    struct mlk_runner_event *ev);
void fake_worker_announce(
    const struct fake_worker *w, uint64_t seq, struct mlk_announcement *out);
/* Whether a listing that waits has something to answer. */
bool fake_worker_has_ends(const struct fake_worker *w, uint64_t ack);
bool fake_worker_runs(
    const struct fake_worker *w, const char *id, uint32_t index);

#endif
