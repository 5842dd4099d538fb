/*
 * The rate at which the queue drains, and the Retry-After of refused callers.
 *
 * If all refused callers got the same Retry-After, they would return together
 * and, in an overload of some seconds, while it still lasts.  Each refused
 * caller therefore gets the time at which the present queue will have drained
 * and the callers refused before it have returned.  The returns are spaced so
 * that their work uses no more than a share of the drain rate.
 */
#include "dispatcher_priv.h"

#define WINDOW_NS (200 * MS) /* for measuring the rate */
#define RATE_WEIGHT 0.5 /* of the last window in the average */
/* Share of the drain rate; the rest is left for new callers. */
#define RETRY_SHARE (1.0 / 3)
#define RETRY_AFTER_MAX_NS (10000 * MS)

/*
 * Returns the expected work of one task of a step, in millicore-milliseconds.
 * No run lasts longer than its job's deadline: a single estimate of hours would
 * else count as work ahead that makes every other job be refused.
 */
double
dispatch_task_work(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	double run_ms = MAX(dispatch_runtime_ms(d, job, step), 1);

	if (d->demand != NULL)
		run_ms *= demand_bias(d->demand, job->route);
	run_ms =
	    MIN(run_ms, MAX(job->deadline - job->arrived, MS) / (double)MS);
	return (run_ms * job->steps[step].resources.cpu);
}

/*
 * Adds work that was sent to an agent.
 */
void
dispatch_drain_add(struct mlk_dispatcher *d, double work)
{
	d->drain.work_sent += work;
}

/*
 * Updates the drain rate once per window.  Without a backlog, the work sent
 * only equals the work that arrived, which is a lower bound of what the workers
 * can do.
 */
void
dispatch_drain_update(struct mlk_dispatcher *d)
{
	struct drain_rate *drain = &d->drain;
	int64_t span = d->now - drain->window_start;
	double rate;

	if (span < WINDOW_NS)
		return;
	rate = drain->work_sent / (double)span;
	if (d->backlog || rate > drain->rate)
		drain->rate += (rate - drain->rate) * RATE_WEIGHT;
	drain->work_sent = 0;
	drain->window_start = d->now;
}

/*
 * Returns the time in which `work` drains at a rate above 0, at most
 * RETRY_AFTER_MAX_NS.
 */
static int64_t
drain_ns(double work, double rate)
{
	return ((int64_t)MIN(work / rate, (double)RETRY_AFTER_MAX_NS));
}

/*
 * Returns the Retry-After in ms for a caller whose job is refused.
 */
uint32_t
dispatch_retry_after_ms(struct mlk_dispatcher *d, const struct job *job)
{
	struct drain_rate *drain = &d->drain;
	double work = 0;
	uint32_t i;
	int64_t at;

	if (!d->backlog || drain->rate <= 0)
		return (RETRY_AFTER_MIN_MS);
	for (i = 0; i < job->nsteps; i++)
		work += job->steps[i].count * dispatch_task_work(d, job, i);
	at = d->now +
	    MAX(RETRY_AFTER_MIN_MS * MS, drain_ns(d->queued_work, drain->rate));
	at = MAX(at, drain->next_retry_at);
	at = MIN(at, d->now + RETRY_AFTER_MAX_NS);
	drain->next_retry_at = at + drain_ns(work, drain->rate * RETRY_SHARE);
	return ((uint32_t)((at - d->now) / MS));
}

/*
 * Returns the Retry-After in ms for a caller whose queue is over its share:
 * callers return one after the other, so that their work takes a part of
 * `rate`.  *next_retry_at is the time of the next return.
 */
uint32_t
dispatch_retry_after_share_ms(
    struct mlk_dispatcher *d, double work, double rate, int64_t *next_retry_at)
{
	int64_t at;

	at = MAX(d->now + RETRY_AFTER_MIN_MS * MS, *next_retry_at);
	at = MIN(at, d->now + RETRY_AFTER_MAX_NS);
	*next_retry_at = at + drain_ns(work * MS, rate * RETRY_SHARE);
	return ((uint32_t)((at - d->now) / MS));
}
