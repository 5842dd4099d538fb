/*
 * LIMIT: a worker goes down and up by turns and is each time of the other kind.
 */
#include <string.h>

#include "rig.h"

#define SETTLED_MS 2000 /* after all entries are ready */
#define PERIOD_MS 840 /* of the flapping: half down, half up */
#define FLAPS_MS 5400 /* one disruption */
#define CALM_MS 1000 /* between two of them */
#define FIRST_PING_MS 300 /* after the start of a life */
#define END_MS 96000
#define LARGE_CPU 96000U
#define SMALL_CPU 64000U
#define TASKS 14U
#define CPU 6200U
#define WORK_MS 51U
#define DEADLINE_MS 1500U
/* A job comes this long after the last one. */
#define GAP_MIN_MS 470
#define GAP_SPREAD_MS 100U

static int64_t next_job;
static int64_t next_change;

/*
 * Ends the life of the worker, or begins the next one.
 */
static void
flap(struct rig *r, struct worker *w, bool large)
{
	if (w->up) {
		worker_crash(r, w);
		return;
	}
	worker_begin(r, w, (uint64_t)(g_get_real_time() / 1000),
	    large || w->cpu == SMALL_CPU ? LARGE_CPU : SMALL_CPU);
	w->ping_at = r->now + FIRST_PING_MS;
}

static bool
tick(struct rig *r, int64_t at)
{
	struct worker *w = &r->workers[0];
	int64_t phase = (at - SETTLED_MS) % (FLAPS_MS + CALM_MS);

	if (at < SETTLED_MS)
		return (true);
	if (phase >= FLAPS_MS) {
		if (!w->up)
			flap(r, w, true);
	} else if (r->trouble != 0 && at >= next_change) {
		next_change = at + PERIOD_MS / 2;
		flap(r, w, false);
	}
	if (at >= next_job) {
		next_job =
		    at + GAP_MIN_MS + mlk_rng_below(&r->rng, GAP_SPREAD_MS);
		client_send(r, client_job(r, TASKS, CPU, WORK_MS, DEADLINE_MS),
		    r->njobs % r->nentries);
	}
	return (at < END_MS);
}

static void
started(struct rig *r, struct worker *w, const struct run *run)
{
	if (worker_used(w) > w->cpu) {
		breach(r,
		    "LIMIT: the start of %s brings worker %u to %u of its "
		    "capacity of %u",
		    run->task, w->index, worker_used(w), w->cpu);
	}
}

const struct scenario scenario_flap = {
	.name = "flap",
	.entries = 2,
	.workers = 7,
	.cpu = { 96000, 64000, 64000, 64000, 64000, 64000, 64000 },
	.close_channels = true,
	.tick = tick,
	.started = started,
};
