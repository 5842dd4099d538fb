/*
 * UNASKED: jobs are cancelled while they run.
 */
#include <string.h>

#include "rig.h"

#define SETTLED_MS 3000 /* after all entries are ready */
#define CANCEL_AT_MS (SETTLED_MS + 500)
#define END_MS (SETTLED_MS + 12000)
#define CANCEL_MS 3000 /* cancel_ms of the pages */
#define JOBS 8U
#define CANCELED 3U /* 37.5 % */
#define DEADLINE_MS 20000U

static void
check_running(struct rig *r)
{
	const struct run *run;
	const struct worker *w;
	const struct job *job;
	static GHashTable *seen;
	uint32_t i;
	guint k;

	if (seen == NULL)
		seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < r->nworkers; i++) {
		w = &r->workers[i];
		for (k = 0; k < w->runs->len; k++) {
			run = &g_array_index(w->runs, struct run, k);
			job = job_of(r, run->task);
			if (job->canceled_at == 0 ||
			    r->now - job->canceled_at <= CANCEL_MS + STOP_MS ||
			    g_hash_table_contains(seen, run->task))
				continue;
			(void)g_hash_table_add(seen, g_strdup(run->task));
			breach(r,
			    "UNASKED: %s runs on %lld ms after the cancelling "
			    "of its job was acknowledged",
			    run->task, (long long)(r->now - job->canceled_at));
		}
	}
}

static bool
tick(struct rig *r, int64_t at)
{
	struct job *job;
	uint32_t i;

	if (r->step == 0 && at >= SETTLED_MS) {
		r->step++;
		for (i = 0; i < JOBS; i++) {
			job = client_job(r, 4, 1000, 4000, DEADLINE_MS);
			job->steps = 2;
			job->work_ms[1] = 1000;
			client_send(r, job, i % r->nentries);
		}
	}
	if (r->step == 1 && at >= CANCEL_AT_MS) {
		r->step++;
		/* To the entry that has the job, and to the other one. */
		for (i = 0; r->trouble != 0 && i < CANCELED; i++)
			client_cancel(r, &r->jobs[i],
			    (i + (i == 2 ? 1 : 0)) % r->nentries);
	}
	check_running(r);
	return (at < END_MS);
}

static void
started(struct rig *r, struct worker *w, const struct run *run)
{
	const struct job *job = job_of(r, run->task);

	if (job->canceled_at != 0 && r->now - job->canceled_at > CANCEL_MS) {
		breach(r,
		    "UNASKED: worker %u is told to start %s %lld ms after the "
		    "cancelling of its job was acknowledged",
		    w->index, run->task,
		    (long long)(r->now - job->canceled_at));
	}
}

const struct scenario scenario_cancel = {
	.name = "cancel",
	.entries = 2,
	.workers = 2,
	.cpu = { 64000, 64000 },
	.tick = tick,
	.started = started,
};
