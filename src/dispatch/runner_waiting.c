/*
 * Runs whose start waits until the worker is known to be in the life that
 * announced its capacity (life.h).
 *
 * A start that reaches another life of the worker may exceed that one's
 * capacity, and a worker that does not enforce its capacity starts it all the
 * same.  So while the life is not confirmed, starts wait for a listing, which
 * costs a round trip.  If it gets no answer or shows another life, the tasks
 * are returned as not run: their entries place them on other workers.
 */
#include "runner_priv.h"

/*
 * Sends the start of a run whose resources are reserved, or lets it wait.
 */
void
runner_run_begin(struct mlk_runner *r, struct run *run)
{
	if (life_is_confirmed(&r->worker.life, r->now)) {
		runner_order_start(r, run);
		return;
	}
	run->state = RUN_WAITING;
	r->counters.starts_waited++;
}

bool
runner_has_waiting(const struct mlk_runner *r)
{
	const struct run *run;
	guint i;

	for (i = 0; i < r->runs->len; i++) {
		run = g_ptr_array_index(r->runs, i);
		if (run->state == RUN_WAITING)
			return (true);
	}
	return (false);
}

/*
 * Returns the tasks that wait as not run.
 */
static void
return_waiting(struct mlk_runner *r, const char *cause)
{
	struct run *run;
	uint32_t n = 0;
	guint i;

	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (run->state != RUN_WAITING)
			continue;
		runner_run_ended(r, run, MLK_RUN_REFUSED);
		n++;
	}
	if (n > 0)
		runner_log(r, MLK_LOG_INFO, NULL,
		    "%u tasks returned before their start: %s", n, cause);
}

/*
 * A listing got no answer while starts wait for one.  The worker is reported
 * as degraded until one does: it has few runs and would attract more.  A pool
 * of which all workers answer late for a moment still takes work.
 */
void
runner_waiting_unanswered(struct mlk_runner *r)
{
	if (!runner_has_waiting(r))
		return;
	r->worker.life_missed = true;
	return_waiting(r, "the worker does not answer");
}

/*
 * Sends the starts that wait once the life of the worker is confirmed, and
 * returns those that it may not get.
 */
void
runner_waiting_due(struct mlk_runner *r)
{
	struct run *run;
	guint i;

	if (!runner_has_waiting(r))
		return;
	if (!runner_takes_work(r)) {
		return_waiting(r, "the worker takes no work");
		return;
	}
	if (!life_is_confirmed(&r->worker.life, r->now))
		return;
	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (run->state != RUN_WAITING)
			continue;
		if (runner_takes_reserved(r))
			runner_order_start(r, run);
		else
			runner_run_ended(r, run, MLK_RUN_REFUSED);
	}
}
