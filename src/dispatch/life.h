/*
 * Evidence that a worker is still in the life (incarnation, boot) in use.
 *
 * A worker that was idle may have restarted unnoticed, perhaps with another
 * capacity.  Only an answer tells, and what it tells is as old as the order
 * that it answers: the worker may have exited right after it.  A life is
 * therefore confirmed as of the time when the order was sent, and only for
 * LIFE_CONFIRMED_NS from then.
 *
 * A listing names the life.  Other answers show only the worker's clock, which
 * starts anew with each life: one that has gone on as it should confirms the
 * life, any other leaves it in doubt until the next listing.
 *
 * Times are of the local monotonic clock, in ns; clock_ms is that of the
 * worker.
 */
#ifndef MLK_DISPATCH_LIFE_H
#define MLK_DISPATCH_LIFE_H

#include <stdbool.h>
#include <stdint.h>

#include <monsoonlock/base.h>

/*
 * A start may wait 50 ms more for its connection.  Together that is less than a
 * worker takes to exit and to be back: the fastest known are down for 420 ms.
 */
#define LIFE_CONFIRMED_NS (200 * (int64_t)MLK_NSEC_PER_MSEC)

/* Lowest rate of a worker's clock, in thousandths of the local clock's rate */
#define LIFE_CLOCK_RATE 980

struct life {
	int64_t confirmed_at; /* when the newest order was sent whose answer
				 came from this life; 0: none */
	int64_t doubted_at; /* an earlier confirmation does not count */
	int64_t clock_ms; /* in an answer of this life; 0: none */
	int64_t asked_at; /* the order with that answer was sent */
	int64_t answered_at; /* that answer was handled */
};

/* Another life is in use, of which no order was answered yet. */
void life_begin(struct life *life);
/*
 * The answer to an order that was sent at sent_at is of this life, as a listing
 * says that names it.
 */
void life_confirm(
    struct life *life, int64_t clock_ms, int64_t sent_at, int64_t now);
/*
 * Any other order was answered.  Returns true when the worker's clock puts the
 * life in doubt, which was not in doubt before.
 */
bool life_answered(
    struct life *life, int64_t clock_ms, int64_t sent_at, int64_t now);
/* An order got no answer; the life is in doubt unless a later one did. */
void life_unanswered(struct life *life, int64_t sent_at, int64_t now);
void life_doubt(struct life *life, int64_t now);
bool life_is_confirmed(const struct life *life, int64_t now);

#endif
