/*
 * LIMIT: a worker goes down and up by turns while the time of day of its
 * machine is ahead and then jumps back.  --trouble 2 leaves out the jumps.
 */
#include <string.h>

#include "rig.h"

#define SETTLED_MS 3000 /* after all entries are ready */
#define STEP_MS 2000 /* the time of day is ahead by this much */
#define PERIOD_MS 930 /* of the flapping: half down, half up */
#define DOWN1_MS (SETTLED_MS + 100)
#define UP1_MS (DOWN1_MS + PERIOD_MS / 2)
#define DOWN2_MS (DOWN1_MS + PERIOD_MS)
#define UP2_MS (DOWN2_MS + PERIOD_MS / 2)
#define LOAD_MS (UP2_MS + 4000)
#define END_MS (LOAD_MS + 8000)
#define JOBS 38U
#define TASKS 4U
#define CPU 1000U
#define WORK_MS 1200U
#define DEADLINE_MS 5000U

static uint64_t
time_of_day(void)
{
	return ((uint64_t)(g_get_real_time() / 1000));
}

static bool
tick(struct rig *r, int64_t at)
{
	struct worker *w = &r->workers[0];
	uint32_t i;

	if (r->step == 0 && at >= DOWN1_MS) {
		r->step++;
		if (r->trouble != 0)
			worker_crash(r, w);
	}
	if (r->step == 1 && at >= UP1_MS) {
		r->step++;
		if (r->trouble != 0) {
			worker_begin(r, w,
			    time_of_day() + (r->trouble == 1 ? STEP_MS : 0),
			    96000);
		}
	}
	if (r->step == 2 && at >= DOWN2_MS) {
		r->step++;
		if (r->trouble != 0)
			worker_crash(r, w);
	}
	if (r->step == 3 && at >= UP2_MS) {
		r->step++;
		if (r->trouble != 0)
			worker_begin(r, w, time_of_day(), 64000);
	}
	if (r->step == 4 && at >= LOAD_MS) {
		r->step++;
		for (i = 0; i < JOBS; i++) {
			client_send(r,
			    client_job(r, TASKS, CPU, WORK_MS, DEADLINE_MS),
			    i % r->nentries);
		}
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

const struct scenario scenario_clock = {
	.name = "clock",
	.entries = 2,
	.workers = 2,
	.cpu = { 96000, 64000 },
	.close_channels = true,
	.tick = tick,
	.started = started,
};
