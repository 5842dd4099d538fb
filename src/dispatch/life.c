#include <string.h>

#include "life.h"

#define CLOCK_ERROR (1000 - LIFE_CLOCK_RATE) /* thousandths */
/* Both readings are whole milliseconds, and both clocks are read late. */
#define CLOCK_SLACK_MS 5

void
life_begin(struct life *life)
{
	memset(life, 0, sizeof(*life));
}

/*
 * Tells whether a reading of the worker's clock can follow the last one of this
 * life.  Each was taken between the sending of an order and its answer.
 */
static bool
clock_continues(
    const struct life *life, int64_t clock_ms, int64_t sent_at, int64_t now)
{
	int64_t least, most, advance = clock_ms - life->clock_ms;

	if (life->clock_ms == 0)
		return (false);
	least = (sent_at - life->answered_at) / (int64_t)MLK_NSEC_PER_MSEC;
	most = (now - life->asked_at) / (int64_t)MLK_NSEC_PER_MSEC;
	if (least > 0)
		least -= least * CLOCK_ERROR / 1000;
	most += most * CLOCK_ERROR / 1000;
	return (advance >= least - CLOCK_SLACK_MS &&
	    advance <= most + CLOCK_SLACK_MS);
}

static bool
is_doubted(const struct life *life)
{
	return (
	    life->confirmed_at == 0 || life->confirmed_at < life->doubted_at);
}

void
life_confirm(struct life *life, int64_t clock_ms, int64_t sent_at, int64_t now)
{
	if (sent_at > life->confirmed_at)
		life->confirmed_at = sent_at;
	life->clock_ms = clock_ms;
	life->asked_at = sent_at;
	life->answered_at = now;
}

bool
life_answered(struct life *life, int64_t clock_ms, int64_t sent_at, int64_t now)
{
	bool doubted;

	if (clock_continues(life, clock_ms, sent_at, now)) {
		life_confirm(life, clock_ms, sent_at, now);
		return (false);
	}
	doubted = is_doubted(life);
	life_doubt(life, now);
	return (!doubted);
}

void
life_unanswered(struct life *life, int64_t sent_at, int64_t now)
{
	if (life->confirmed_at < sent_at)
		life_doubt(life, now);
}

void
life_doubt(struct life *life, int64_t now)
{
	life->doubted_at = now;
}

bool
life_is_confirmed(const struct life *life, int64_t now)
{
	return (
	    !is_doubted(life) && now - life->confirmed_at < LIFE_CONFIRMED_NS);
}
