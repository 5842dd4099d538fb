/*
 * How fast work drains, and when a refused caller is told to return.
 *
 * The load that it answers: a crest of seconds beyond what the workers carry.
 * Callers that are all told the same time return into the same crest, and
 * together.  So each is told the time at which what waits now has drained and
 * those that were refused before have had their turn, in the order of their
 * refusals and no faster than a share of what drains.
 */
#include "dispatcher_priv.h"

#define WINDOW_NS (200 * MS) /* of the rate */
#define RATE_WEIGHT 0.5 /* of the last window */
/* Of what drains; the rest is for callers that come for the first time. */
#define RETURN_SHARE (1.0 / 3)
#define RETURN_MAX_NS (10000 * MS)

/*
 * Returns the expected work of one task of a step, in thousandths of a core
 * times ms.
 */
double
dispatch_task_work(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	return ((double)job->steps[step].room.cpu *
	    MAX(dispatch_pace_ms(d, job, step), 1));
}

/*
 * Work has been sent to an agent.
 */
void
dispatch_drain_sent(struct mlk_dispatcher *d, double work)
{
	d->drain.sent += work;
}

/*
 * Measures what drains, once a window.  Without a backlog that is what came,
 * which only shows that the workers carry as much.
 */
void
dispatch_drain_due(struct mlk_dispatcher *d)
{
	struct drain *drain = &d->drain;
	int64_t span = d->now - drain->since;
	double rate;

	if (span < WINDOW_NS)
		return;
	rate = drain->sent / (double)span;
	if (d->backlog || rate > drain->rate)
		drain->rate += (rate - drain->rate) * RATE_WEIGHT;
	drain->sent = 0;
	drain->since = d->now;
}

/*
 * Returns the time in which so much work drains at a rate above 0, bounded.
 */
static int64_t
drain_ns(double work, double rate)
{
	return ((int64_t)MIN(work / rate, (double)RETURN_MAX_NS));
}

/*
 * Returns the time after which a caller whose job is refused does well to
 * return, in ms.
 */
uint32_t
dispatch_return_ms(struct mlk_dispatcher *d, const struct job *job)
{
	struct drain *drain = &d->drain;
	double work = 0;
	uint32_t i;
	int64_t at;

	if (!d->backlog || drain->rate <= 0)
		return (RETRY_AFTER_MS);
	for (i = 0; i < job->nsteps; i++)
		work += job->steps[i].count * dispatch_task_work(d, job, i);
	at = d->now +
	    MAX(RETRY_AFTER_MS * MS, drain_ns(d->queued_work, drain->rate));
	at = MAX(at, drain->next_return);
	at = MIN(at, d->now + RETURN_MAX_NS);
	drain->next_return = at + drain_ns(work, drain->rate * RETURN_SHARE);
	return ((uint32_t)((at - d->now) / MS));
}
