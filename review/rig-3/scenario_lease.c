/*
 * TWICE: an entry stands still, clients of it leave and send again, and workers
 * leave starts and stops unanswered and carry them out late.
 */
#include <signal.h>
#include <string.h>

#include "rig.h"

#define JOBS 12U
#define LEAVERS 4U /* a third; their jobs are large */
#define TASKS 30U
#define CPU 1500U
#define SMALL_TASKS 2U
#define WORK_MS 4000U
#define DEADLINE_MS 6000U
#define SETTLED_MS 4000 /* after all entries are ready */
#define FREEZE_MS (SETTLED_MS + 400)
#define LEAVE_MS (FREEZE_MS + 30)
#define AGAIN_MS (LEAVE_MS + RESEND_MS)
#define THAW_MS (FREEZE_MS + 4000)
#define LATE_END_MS (FREEZE_MS + 5500)
#define END_MS (FREEZE_MS + 12000)

static void
set_late(struct rig *r, uint32_t percent)
{
	uint32_t i;

	note(r, "workers leave %u %% of the starts and stops unanswered",
	    percent);
	for (i = 0; i < r->nworkers; i++)
		r->workers[i].late_percent = percent;
}

static bool
tick(struct rig *r, int64_t at)
{
	uint32_t i;

	if (r->step == 0 && at >= SETTLED_MS) {
		r->step++;
		for (i = 0; i < JOBS; i++) {
			client_send(r,
			    client_job(r, i < LEAVERS ? TASKS : SMALL_TASKS,
				CPU, WORK_MS, DEADLINE_MS),
			    i < LEAVERS ? 0 : 1 + i % (r->nentries - 1));
		}
	}
	if (r->step == 1 && at >= FREEZE_MS) {
		r->step++;
		if (r->trouble != 0) {
			set_late(
			    r, r->trouble == 1 ? 50 : (uint32_t)r->trouble);
			procs_signal(r, 0, SIGSTOP);
		}
	}
	if (r->step == 2 && at >= LEAVE_MS) {
		r->step++;
		for (i = 0; r->trouble != 0 && i < LEAVERS; i++)
			client_leave(r, &r->jobs[i]);
	}
	if (r->step == 3 && at >= AGAIN_MS) {
		r->step++;
		for (i = 0; r->trouble != 0 && i < LEAVERS; i++)
			client_send(r, &r->jobs[i], 1 + i % (r->nentries - 1));
	}
	if (r->step == 4 && at >= THAW_MS) {
		r->step++;
		if (r->trouble != 0)
			procs_signal(r, 0, SIGCONT);
	}
	if (r->step == 5 && at >= LATE_END_MS) {
		r->step++;
		if (r->trouble != 0)
			set_late(r, 0);
	}
	return (at < END_MS);
}

static void
started(struct rig *r, struct worker *w, const struct run *run)
{
	uint32_t n = runs_of(r, run->task);

	if (n > 1) {
		breach(r,
		    "TWICE: worker %u begins run %u of task %s, which now has "
		    "%u runs at work",
		    w->index, run->run, run->task, n);
	}
}

const struct scenario scenario_lease = {
	.name = "lease",
	.entries = 3,
	.workers = 8,
	.cpu = { 64000, 64000, 64000, 64000, 64000, 64000, 64000, 64000 },
	.tick = tick,
	.started = started,
};
