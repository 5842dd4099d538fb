/*
 * What the runner does about an unhealthy worker: it stops the movable runs.
 * The worker confirms each stop, after which the task can start elsewhere.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

/*
 * A run on a slow worker is moved when its remaining time there exceeds this
 * percentage of a whole run elsewhere.
 */
#define MOVE_PERCENT 120

static const char *
cause_name(enum health_cause cause)
{
	switch (cause) {
	case HEALTH_NONE:
		break;
	case HEALTH_STALLED:
		return ("its runs stand still");
	case HEALTH_SLOW:
		return ("its runs are slow");
	case HEALTH_FAILING:
		return ("it fails what it starts");
	}
	return ("none");
}

static bool
worth_moving(const struct run *run, enum health_cause cause)
{
	if (!run->movable || run->state != RUN_ACTIVE)
		return (false);
	return (cause != HEALTH_SLOW ||
	    (uint64_t)health_run_left_ms(&run->health) * 100 >
		(uint64_t)run->expected_ms * MOVE_PERCENT);
}

static void
on_sick(struct mlk_runner *r, enum health_cause cause)
{
	struct run *run;
	uint32_t n = 0;
	guint i;

	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (!worth_moving(run, cause))
			continue;
		runner_run_stop(r, run, MLK_RUN_STALLED);
		n++;
	}
	r->counters.sick++;
	runner_log(r, MLK_LOG_NOTICE, NULL,
	    "the worker is sick: %s; %u of %u runs are moved, no work for "
	    "%" PRId64 " ms",
	    cause_name(cause), n, r->nactive, (r->health.until - r->now) / MS);
}

/*
 * Evaluates the worker after a listing, and stops single stalled runs.
 */
void
runner_health_judge(struct mlk_runner *r)
{
	const struct health_run **runs;
	enum health_state before = r->health.state;
	enum health_cause cause;
	struct run *run;
	uint32_t n = 0;
	guint i;

	if (r->nactive == 0)
		return;
	runs = g_new(const struct health_run *, r->runs->len);
	for (i = 0; i < r->runs->len; i++) {
		run = g_ptr_array_index(r->runs, i);
		if (run->state == RUN_ACTIVE)
			runs[n++] = &run->health;
	}
	cause = health_judge(&r->health, runs, n, r->now);
	g_free(runs);
	if (cause != HEALTH_NONE) {
		on_sick(r, cause);
		return;
	}
	if (before == HEALTH_PROBATION && r->health.state == HEALTH_OK)
		runner_log(
		    r, MLK_LOG_NOTICE, NULL, "the worker is healthy again");
	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (run->state == RUN_ACTIVE && run->movable &&
		    health_run_stalled(&run->health, r->now))
			runner_run_stop(r, run, MLK_RUN_STALLED);
	}
}

/*
 * Measures the speed of the worker over a completed run.  Runs on a worker that
 * is sick or cold do not show it.
 */
static void
measure_speed(struct mlk_runner *r, const struct run *run)
{
	uint32_t before = r->speed.logged != 0 ? r->speed.logged : SPEED_UNIT;

	if (r->health.state != HEALTH_OK || r->now < r->worker.cold_until ||
	    run->confirmed_at == 0 ||
	    !speed_add(&r->speed, (int64_t)run->expected_ms * MS,
		r->now - run->sent_at))
		return;
	r->counters.speed_changes++;
	runner_log(r, MLK_LOG_NOTICE, NULL,
	    "measured speed of the worker %u thousandths of the usual one, "
	    "%u before, over %u runs",
	    r->speed.reported, before, r->speed.n);
}

/*
 * Records whether a run completed or failed.
 */
void
runner_health_ended(
    struct mlk_runner *r, const struct run *run, enum mlk_run_end end)
{
	enum health_cause cause;

	if (end != MLK_RUN_DONE && end != MLK_RUN_FAILED)
		return;
	if (end == MLK_RUN_DONE) {
		measure_speed(r, run);
		health_run_completed(&r->health, &run->health, r->now);
	}
	cause = health_ended(
	    &r->health, runner_job_key(run), end == MLK_RUN_FAILED, r->now);
	if (cause != HEALTH_NONE)
		on_sick(r, cause);
}

/*
 * Records whether a start was answered.
 */
void
runner_health_started(struct mlk_runner *r, bool answered)
{
	if (!health_started(&r->health, answered, r->now))
		return;
	r->counters.degraded++;
	runner_log(r, MLK_LOG_NOTICE, NULL,
	    "the worker is degraded: it leaves starts unanswered; work goes "
	    "elsewhere first for %" PRId64 " ms",
	    (r->health.degraded_until - r->now) / MS);
}

void
runner_health_due(struct mlk_runner *r)
{
	if (health_due(&r->health, r->now))
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "the worker is tried again with one run at a time");
}
