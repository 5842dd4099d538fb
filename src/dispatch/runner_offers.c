/*
 * Offers of resources to entries: a task is assigned to a worker only when that
 * worker has the resources free.
 *
 * Under an overload all workers are full and each entry has queued tasks.  An
 * entry tells in WANT how urgent its most urgent task is.  When a run ends, its
 * resources are offered to the most urgent entry and stay reserved until it
 * answers.  If tasks were queued at the workers instead, a job of eight tasks
 * would wait until the slowest of eight workers finishes its current run.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

/*
 * An offer that is not answered in this time expires, and its resources are
 * free again.  A round trip takes 2 to 7 ms; an entry with 0.12 cores may be
 * delayed.
 */
#define OFFER_NS (40 * MS)
/* A WANT is ignored after this time; entries repeat it every 60 ms. */
#define WANT_NS (200 * MS)

/*
 * Records the latest WANT of an entry.
 */
void
runner_offer_want(
    struct mlk_runner *r, struct entry *e, const struct mlk_want *want)
{
	e->want = *want;
	e->want_at = r->now + (int64_t)want->urgency_ms * MS;
	e->want_until = r->now + WANT_NS;
}

static void
remove_at(struct mlk_runner *r, guint i)
{
	struct offer *offer = &g_array_index(r->offers, struct offer, i);

	mlk_resources_subtract(&r->offered, &offer->resources);
	(void)g_array_remove_index_fast(r->offers, i);
}

/*
 * Releases an offer that was answered; does nothing if it has expired already.
 */
void
runner_offer_end(struct mlk_runner *r, uint64_t id)
{
	guint i;

	for (i = 0; id != 0 && i < r->offers->len; i++) {
		if (g_array_index(r->offers, struct offer, i).id == id) {
			remove_at(r, i);
			return;
		}
	}
}

/*
 * Releases all offers to an entry whose link ended.
 */
void
runner_offers_forget(struct mlk_runner *r, const struct entry *e)
{
	guint i;

	for (i = r->offers->len; i > 0; i--) {
		if (g_array_index(r->offers, struct offer, i - 1).entry == e)
			remove_at(r, i - 1);
	}
}

static void
expire_offers(struct mlk_runner *r)
{
	struct offer *offer;
	guint i;

	for (i = r->offers->len; i > 0; i--) {
		offer = &g_array_index(r->offers, struct offer, i - 1);
		if (r->now < offer->until)
			continue;
		r->counters.offers_lapsed++;
		offer->entry->want.tasks = 0;
		remove_at(r, i - 1);
	}
}

/*
 * Returns the entry with the most urgent WANT that fits, or NULL.
 */
static struct entry *
choose_entry(struct mlk_runner *r, const struct mlk_resources *free)
{
	struct entry *e, *best = NULL;
	guint i;

	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (!e->attached || e->want.tasks == 0 ||
		    r->now >= e->want_until ||
		    !mlk_resources_fit(free, &e->want.resources))
			continue;
		if (best == NULL || e->want_at < best->want_at)
			best = e;
	}
	return (best);
}

static void
make_offer(
    struct mlk_runner *r, struct entry *e, const struct mlk_resources *free)
{
	struct offer offer = { 0 };
	struct mlk_msg *msg;
	uint32_t i, n;

	n = mlk_resources_count(free, &e->want.resources, e->want.tasks);
	for (i = 0; i < n; i++)
		mlk_resources_add(&offer.resources, &e->want.resources);
	offer.id = ++r->last_offer;
	offer.entry = e;
	offer.until = r->now + OFFER_NS;
	(void)g_array_append_val(r->offers, offer);
	mlk_resources_add(&r->offered, &offer.resources);
	e->want.tasks -= n;
	msg = runner_send(r, e, MLK_MSG_OFFER);
	msg->u.offer.sent_at = runner_now_ms(r);
	msg->u.offer.offer = offer.id;
	msg->u.offer.resources = offer.resources;
	r->counters.offers++;
}

/*
 * Offers free resources to entries that want them.
 */
void
runner_offers_due(struct mlk_runner *r)
{
	struct mlk_resources free;
	struct entry *e;

	expire_offers(r);
	if (r->state == MLK_WORKER_SICK || !runner_takes_work(r) ||
	    runner_on_probation(r))
		return;
	for (;;) {
		free = runner_free_soon(r);
		e = choose_entry(r, &free);
		if (e == NULL)
			return;
		make_offer(r, e, &free);
	}
}
