/*
 * Discrete-event simulation of entries, agents, workers and callers with fault
 * injection.  Entries and agents are the real reducers (dispatcher and runner);
 * the network, the workers and the callers are simulated.  Every step is
 * checked for these properties:
 *
 *   one run      no task has two runs at the same time on workers that are up
 *   room         no worker is started beyond its capacity
 *   not run      a job whose attempts were all refused was never started
 *   whole        a job is answered as completed only after a run of each of its
 *                tasks was completed
 *
 * An answer to a request that was answered before, or that its caller has given
 * up, is ignored.  Times are in ms of true time unless stated otherwise.
 */
#ifndef DISPATCH_WORLD_H
#define DISPATCH_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <monsoonlock/dispatch.h>

#define WORLD_ENTRIES_MAX 10
#define WORLD_AGENTS_MAX 10
#define WORLD_ROUTES_MAX 8

/* `a` is the index of the entry, `b` that of the agent and its worker. */
enum world_fault {
	WORLD_CUT, /* links between a and b deliver nothing for ms */
	WORLD_CUT_TO_AGENT, /* only from the entry to the agent */
	WORLD_CUT_TO_ENTRY, /* only from the agent to the entry */
	WORLD_RESET, /* the links between a and b are closed */
	WORLD_ENTRY_KILL, /* entry a is down for ms */
	WORLD_ENTRY_KILL_SILENT, /* the same, but its links are not closed */
	WORLD_ENTRY_PAUSE, /* entry a is paused for ms */
	WORLD_AGENT_KILL, /* agent b is down for ms; its worker stays up */
	WORLD_AGENT_KILL_SILENT, /* the same, but its links are not closed */
	WORLD_AGENT_PAUSE,
	WORLD_WORKER_CRASH, /* worker b is down for ms, then has a new id */
	WORLD_WORKER_RESTART, /* the same, but it keeps its id */
	WORLD_WORKER_STALL, /* runs at b make no progress for ms */
	WORLD_WORKER_SLOW, /* runs at b have a fifth of their speed */
	WORLD_WORKER_FAILS, /* runs at b that end in this time fail */
	WORLD_WORKER_SILENT, /* no order to b is answered; about half of them
				arrive only when the fault is over */
	WORLD_WORKER_LEAVES, /* b drains, sends its notice to leave, ends once
				that is answered or some time later, and is
				down for ms; the notice arrives once more, at
				times when b is up again */
	WORLD_ORDERS_LATE, /* some orders to b get no answer and arrive late */
	WORLD_ANSWERS_LOST, /* some orders to b are carried out, but get no
				answer */
	WORLD_ORDERS_DROPPED, /* 40 % of the orders to b are lost */
	WORLD_CONNS_REFUSED, /* b works on, but refuses 40 % or all of the
				connections of its agent */
	WORLD_CONNS_RESET, /* 80 % of the orders to b end at once with a reset
			      of their connection; half of these are carried
			      out */
	WORLD_CALLERS_LEAVE, /* some callers who send in this time disconnect
				 early */
	WORLD_FOREIGN_ANNOUNCEMENTS, /* agent b gets announcements that its
					worker has not sent */
	WORLD_FAULTS, /* number of faults; as a fault: none */
};

/* A queue of callers with jobs of one kind. */
struct world_route {
	uint32_t priority;
	uint32_t tasks; /* of the narrowest jobs; at most 12 */
	uint32_t tasks_max; /* of the widest */
	uint32_t cpu; /* of each task, thousandths of a core */
	uint32_t work_ms; /* mean run time of a task */
	double jobs_per_s; /* mean; arrivals are a Poisson process */
	/* From surge_at on, the rate is multiplied by surge_factor for
	 * surge_ms; 0 ms: no surge. */
	int64_t surge_at;
	uint32_t surge_ms;
	double surge_factor;
	/* The rate swings by this part of it in a sine of wave_ms. */
	double wave;
	uint32_t wave_ms;
};

struct world_options {
	uint64_t seed;
	uint32_t entries;
	uint32_t agents;
	uint32_t jobs_per_s;
	uint32_t cpu; /* capacity of each worker, thousandths of a core */
	const double *speeds; /* of the workers; NULL: all 1 */
	uint32_t start_answer_ms; /* longest time until a start is answered */
	uint32_t offer_ahead_ms; /* of the agents; 0: no offers ahead */
	/*
	 * From burst_at on, jobs_per_s is multiplied by burst_factor for
	 * burst_ms; 0 ms: no burst.
	 */
	int64_t burst_at;
	uint32_t burst_ms;
	uint32_t burst_factor;
	uint32_t cold_ms; /* for which a worker that has restarted is cold: it
			     has a third of its speed */
	bool stragglers; /* three tasks in a hundred, not all tasks of a job in
			    twenty, take seven times as long */
	/*
	 * Entries and agents avoid interference; light and heavy tasks halve
	 * each other's speed, and each kind of task has its own route.
	 */
	bool interference;
	bool retry_refused; /* refused callers send again after Retry-After */
	/*
	 * Queues of the jobs, in place of the mixture with jobs_per_s; 0: none.
	 * Their callers wait for 1,500 ms, and their estimates of run times
	 * are off by up to 0.4 in either direction.
	 */
	uint32_t nroutes;
	const struct world_route *routes;
	/* Jobs of routes that are first sent in this time are counted by
	 * world_read_route(). */
	int64_t count_from;
	int64_t count_until;
	uint32_t entry_weights[WORLD_ENTRIES_MAX]; /* parts of the traffic; all
						      0: equal parts */
	bool link_entries; /* entries connect to each other */
	enum mlk_admission_mode admission;
};

struct world;

struct world *world_create(const struct world_options *options);
void world_destroy(struct world *w);
/*
 * Schedules a fault of entry a and agent b at the time `at`, for `ms` ms.
 * Indices are taken modulo the number of entries and agents.
 */
void world_fault(struct world *w, int64_t at, enum world_fault fault,
    uint32_t a, uint32_t b, uint32_t ms);
/* Runs with new jobs until the given time. */
void world_run(struct world *w, int64_t until);
/* Runs without new jobs until every caller has an answer, at most for 200 s. */
void world_settle(struct world *w);

/* The first property violation, as text, or NULL. */
const char *world_violation(const struct world *w);

struct world_stats {
	uint32_t jobs;
	uint32_t completed;
	uint32_t in_goal; /* completed within the target response time, as
			     measured by the caller */
	uint32_t failed;
	uint32_t refused; /* refusals; without retry_refused one per job */
	uint32_t retried; /* jobs sent again after a refusal */
	uint32_t retried_completed; /* of them, completed at the first retry */
	uint32_t gone; /* callers that disconnected early for good */
	uint32_t unanswered; /* jobs without an answer at the end */
	uint32_t runs; /* started at the workers */
	uint32_t connections; /* that agents had to open for orders */
	uint32_t fresh; /* of these for one order each */
	uint32_t sick; /* times that workers were found sick */
	uint32_t speed_error; /* largest deviation of a measured speed, relative
				 to the mean of all, in thousandths */
	uint32_t verdicts; /* of interference, in force at entry 0 */
	uint32_t wrong_verdicts; /* of them, on other pairs */
	uint32_t kept_apart; /* tasks, by entry 0 */
	uint32_t tasks_refused; /* by the agents that are up at the end */
	uint32_t tasks_held; /* likewise */
};

void world_read_stats(const struct world *w, struct world_stats *out);

/*
 * Jobs of a route; work is in thousandths of a core for 1 ms.  Left out are
 * jobs with an attempt at an entry that was down or was killed: their callers
 * wait for another one, whatever that decides.
 */
struct world_route_stats {
	uint32_t jobs;
	uint32_t completed;
	uint32_t useful; /* completed within three times the target response
			    time, as measured by the caller */
	uint32_t in_goal;
	uint32_t refusals;
	uint32_t refusals_early; /* within a quarter of the target response
				    time of the attempt */
	uint32_t untried; /* attempts whose deadline passed before a run */
	double work;
	double work_in_goal;
	uint32_t large; /* the tenth of the jobs with the most work */
	uint32_t large_useful;
};

void world_read_route(
    const struct world *w, uint32_t route, struct world_route_stats *out);

#endif
