/*
 * Entries, agents, workers and callers in one process and one simulated time,
 * around the real reducers, with faults between them.  The world checks, at
 * every step, what must hold whatever happens:
 *
 *   one run      no task has two runs at a time on workers that are up
 *   room         no worker is told to start more than its capacity
 *   not run      a job that was refused every time has had no run
 *   whole        a job is answered complete only when each task has run to its
 *                end for it
 *   own answer   no request is answered twice
 */
#ifndef DISPATCH_WORLD_H
#define DISPATCH_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#define WORLD_ENTRIES_MAX 4
#define WORLD_AGENTS_MAX 6

enum world_fault {
	WORLD_CUT, /* links between entry a and agent b pass nothing for ms */
	WORLD_CUT_TO_AGENT, /* only towards the agent */
	WORLD_CUT_TO_ENTRY,
	WORLD_RESET, /* the link between a and b is reset */
	WORLD_ENTRY_KILL, /* entry a is gone for ms */
	WORLD_ENTRY_DARK, /* the same, without a sign on its connections */
	WORLD_ENTRY_PAUSE, /* entry a stands still for ms */
	WORLD_AGENT_KILL, /* agent b is gone for ms, its worker runs on */
	WORLD_AGENT_DARK,
	WORLD_AGENT_PAUSE,
	WORLD_WORKER_CRASH, /* worker b is gone for ms, back as another */
	WORLD_WORKER_REBORN, /* the same, back under its id */
	WORLD_WORKER_STILL, /* its runs stand still for ms */
	WORLD_WORKER_SLOW,
	WORLD_WORKER_FAILS,
	WORLD_WORKER_SILENT, /* no order is answered, half reach it */
	WORLD_ORDERS_LATE, /* some orders to b get no answer, done later */
	WORLD_ANSWERS_LOST, /* some orders to b are done without an answer */
	WORLD_WORKER_MUTE, /* 40 % of the orders to b come to nothing */
	WORLD_CALLERS_LEAVE, /* a part of the callers leaves soon, for ms */
	WORLD_FAULTS,
};

struct world_options {
	uint64_t seed;
	uint32_t entries;
	uint32_t agents;
	uint32_t jobs_per_s;
	uint32_t cpu; /* of each worker, thousandths of a core */
	/* Arrivals at so many times the rate, for crest_ms; 0: no crest. */
	int64_t crest_at;
	uint32_t crest_ms;
	uint32_t crest_times;
	bool returns; /* refused callers come back when they are told to */
};

struct world;

struct world *world_create(const struct world_options *options);
void world_destroy(struct world *w);
/* A fault at a time in ms, on entry a and agent b. */
void world_fault(struct world *w, int64_t at, enum world_fault fault,
    uint32_t a, uint32_t b, uint32_t ms);
/* Traffic until the given time, in ms. */
void world_run(struct world *w, int64_t until);
/* No new jobs; goes on until every caller has an answer, for 200 s at most. */
void world_settle(struct world *w);

/* The first thing that did not hold, or NULL. */
const char *world_violation(const struct world *w);

struct world_stats {
	uint32_t jobs;
	uint32_t completed;
	uint32_t in_goal; /* of them, by the callers' clocks */
	uint32_t failed;
	uint32_t refused; /* at the last try, or each time if they return */
	uint32_t returned; /* came back once after a refusal */
	uint32_t returned_served; /* of them, at the first return */
	uint32_t gone; /* callers that left early */
	uint32_t unanswered; /* at the end */
	uint32_t runs;
	uint32_t tasks_refused; /* by agents that still live */
};

void world_read_stats(const struct world *w, struct world_stats *out);

#endif
