/*
 * Slots of an agent.  Every slot runs a task, is lent to an entry as a credit,
 * or is idle, usually only until the next call of mlk_slots_changes().  Idle
 * slots are lent to entries that have tasks queued; if there are none, they are
 * spread evenly, so that each entry can start a new task at once.  Long work
 * may use `cap` slots: running long tasks and `any` credits count against it.
 * The cap follows the short load that the entries report: it falls at once when
 * the load rises, and rises slowly when the load falls.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "slots.h"

#define CAP_MIN 0.25 /* least share of slots that long work may use */
#define CAP_MAX 0.85
#define CAP_MARGIN_Z 1.6 /* standard deviations of short load kept free */
#define CAP_DECAY_MS 1000.0 /* time constant of a falling short load */
#define CAP_HYSTERESIS 0.2 /* slots; smaller changes of the cap are ignored */
/* After this time the long tasks of a demand report no longer count, and its
 * short load decays. */
#define DEMAND_TTL_NS (300 * MLK_NSEC_PER_MSEC)
/* After this time the short tasks of a report no longer count: short tasks
 * rarely wait longer, so those in an older report have started. */
#define SHORT_DEMAND_TTL_NS (50 * MLK_NSEC_PER_MSEC)
/* Least time from the RETURN of an entry to the next reclaim from it. */
#define RECLAIM_INTERVAL_NS (20 * MLK_NSEC_PER_MSEC)
/*
 * Time after a grant for queued tasks in which nothing is reclaimed from the
 * entry: it uses such a credit as soon as it arrives, so a RECLAIM right after
 * the GRANT would return nothing.
 */
#define GRANT_SETTLE_NS (15 * MLK_NSEC_PER_MSEC)
/* After this time no RETURN is expected any more, and a RECLAIM may follow. */
#define RECLAIM_TIMEOUT_NS (200 * MLK_NSEC_PER_MSEC)
/* Least time between reclaims because of a lower cap. */
#define CAP_RECLAIM_INTERVAL_NS (200 * MLK_NSEC_PER_MSEC)
#define BALANCE_INTERVAL_NS (500 * MLK_NSEC_PER_MSEC)
#define BALANCE_DIFF 3 /* least difference in idle credits to even out */
#define NO_ENTRY UINT32_MAX

struct entry {
	bool up;
	struct mlk_demand demand; /* queued tasks less grants since then */
	int64_t demand_at; /* time of that report */
	struct mlk_credits lent; /* held by the entry */
	struct mlk_credits grant; /* to be sent */
	struct mlk_credits reclaim; /* to be sent */
	struct mlk_credits reclaim_pending; /* RETURN not received yet */
	int64_t reclaimed_at; /* time of the last reclaim */
	bool granted_since_reclaim;
	int64_t settle_until; /* no reclaim until then: grants are being used */
	int64_t next_reclaim_at; /* no reclaim before this time */
	double rr_weight; /* current weight in the weighted round robin */
};

struct mlk_slots {
	uint32_t nslots;
	uint32_t idle; /* neither running nor lent */
	uint32_t running_long;
	uint32_t running_short;
	struct mlk_credits lent; /* sum over the entries */
	bool closed;
	double rounding; /* added to cap_exact; 0 .. 1, from the seed */
	double short_load; /* share of slots; rises at once, falls slowly */
	int64_t load_at; /* time of the last update of short_load */
	double cap_exact; /* slots, before rounding */
	uint32_t cap; /* slots that long work may use */
	uint32_t last_finished; /* entry of the last task to end, or NO_ENTRY */
	int64_t last_cap_reclaim;
	int64_t balance_at; /* no balancing before this time */
	uint32_t nentries; /* handles below this may be in use */
	struct entry entries[MLK_SLOTS_ENTRIES_MAX];
	struct {
		bool running;
		bool is_long;
		uint32_t entry;
	} * slot;
	uint32_t *free_slots; /* stack of slots without a task, lent ones too */
	uint32_t nfree;
};

struct mlk_slots *
mlk_slots_create(uint32_t nslots, uint64_t seed)
{
	struct mlk_slots *s;
	struct mlk_rng rng;
	uint32_t i;

	s = g_new0(struct mlk_slots, 1);
	s->nslots = nslots;
	s->idle = nslots;
	s->slot = g_malloc0_n(nslots, sizeof(*s->slot));
	s->free_slots = g_new0(uint32_t, nslots);
	for (i = 0; i < nslots; i++)
		s->free_slots[i] = nslots - 1 - i;
	s->nfree = nslots;
	mlk_rng_seed(&rng, seed);
	s->rounding = mlk_rng_below(&rng, 1000) / 1000.0;
	s->cap_exact = CAP_MAX * nslots;
	s->cap = (uint32_t)(s->cap_exact + s->rounding);
	s->last_finished = NO_ENTRY;
	return (s);
}

void
mlk_slots_destroy(struct mlk_slots *s)
{
	if (s == NULL)
		return;
	g_free(s->slot);
	g_free(s->free_slots);
	g_free(s);
}

void
mlk_slots_entry_up(struct mlk_slots *s, uint32_t entry, int64_t now)
{
	if (entry >= MLK_SLOTS_ENTRIES_MAX)
		return;
	mlk_slots_entry_down(s, entry);
	s->entries[entry].up = true;
	s->entries[entry].demand_at = now - DEMAND_TTL_NS;
	if (entry >= s->nentries)
		s->nentries = entry + 1;
	s->balance_at = 0;
}

/*
 * Revokes the credits of an entry and clears its state.  Its running tasks
 * continue.
 */
void
mlk_slots_entry_down(struct mlk_slots *s, uint32_t entry)
{
	struct entry *e;

	if (entry >= MLK_SLOTS_ENTRIES_MAX || !s->entries[entry].up)
		return;
	e = &s->entries[entry];
	s->lent.any -= e->lent.any;
	s->lent.short_only -= e->lent.short_only;
	s->idle += e->lent.any + e->lent.short_only;
	memset(e, 0, sizeof(*e));
}

void
mlk_slots_demand(struct mlk_slots *s, uint32_t entry,
    const struct mlk_demand *demand, int64_t now)
{
	if (entry >= MLK_SLOTS_ENTRIES_MAX || !s->entries[entry].up)
		return;
	s->entries[entry].demand = *demand;
	s->entries[entry].demand_at = now;
}

/*
 * Returns the short load of all entries as a share of the slots.  Reports older
 * than DEMAND_TTL_NS decay, since an entry without work sends none.
 */
static double
reported_load(const struct mlk_slots *s, int64_t now)
{
	const struct entry *e;
	double age, load = 0;
	uint32_t i;

	for (i = 0; i < s->nentries; i++) {
		e = &s->entries[i];
		if (!e->up)
			continue;
		age = (double)(now - e->demand_at - DEMAND_TTL_NS) /
		    MLK_NSEC_PER_MSEC;
		load += e->demand.short_load / 1000.0 *
		    (age <= 0 ? 1 : exp(-age / CAP_DECAY_MS));
	}
	return (load);
}

/*
 * Returns the cap that an intent sets, as a share of the slots, from the latest
 * report; 0 when none is set.
 */
static double
fixed_cap(const struct mlk_slots *s)
{
	uint32_t cap = 0, i;
	int64_t at = INT64_MIN;

	for (i = 0; i < s->nentries; i++) {
		if (!s->entries[i].up || s->entries[i].demand_at < at)
			continue;
		at = s->entries[i].demand_at;
		cap = s->entries[i].demand.long_cap;
	}
	return (cap / 1000.0);
}

/*
 * Derives the cap from the reports.  Each agent rounds with an offset from its
 * seed, so that the caps of many agents add up to the intended share.  Small
 * changes are ignored.
 */
static void
update_cap(struct mlk_slots *s, int64_t now)
{
	double cap, load, margin, slots = 0;
	uint32_t i;

	s->short_load *= exp(
	    -(double)(now - s->load_at) / (CAP_DECAY_MS * MLK_NSEC_PER_MSEC));
	s->load_at = now;
	load = reported_load(s, now);
	if (s->short_load < load)
		s->short_load = load;
	cap = fixed_cap(s);
	if (cap == 0) {
		for (i = 0; i < s->nentries; i++)
			slots = MAX(slots, s->entries[i].demand.known_slots);
		slots = MAX(slots, s->nslots);
		margin = CAP_MARGIN_Z * sqrt(s->short_load * slots) / slots;
		cap = CLAMP(1 - s->short_load - margin, CAP_MIN, CAP_MAX);
	}
	cap *= s->nslots;
	if (fabs(cap - s->cap_exact) < CAP_HYSTERESIS)
		return;
	s->cap_exact = cap;
	s->cap = (uint32_t)(cap + s->rounding);
}

/*
 * Returns how many more slots may be lent as `any` credits.
 */
static uint32_t
long_headroom(const struct mlk_slots *s)
{
	uint32_t used = s->running_long + s->lent.any;

	return (s->cap > used ? s->cap - used : 0);
}

/*
 * Consumes one credit of an entry; false when it has none.  The entry has spent
 * one credit for every START.  If a grant and a START have crossed, the types
 * counted here can differ from those at the entry, so a credit of the other
 * type is consumed when there is none of the expected type.
 */
static bool
consume_credit(struct mlk_slots *s, struct entry *e, bool is_long)
{
	bool any;

	if (e->lent.any + e->lent.short_only == 0)
		return (false);
	any = is_long ? e->lent.any > 0 : e->lent.short_only == 0;
	if (any) {
		e->lent.any--;
		s->lent.any--;
	} else {
		e->lent.short_only--;
		s->lent.short_only--;
	}
	return (true);
}

/*
 * Allocates a slot for a START, from a credit of the entry or an idle slot.
 * Returns the slot, or -1 when there is neither.
 */
int
mlk_slots_start(struct mlk_slots *s, uint32_t entry, bool is_long, int64_t now)
{
	uint32_t slot;

	(void)now;
	if (entry >= MLK_SLOTS_ENTRIES_MAX ||
	    !consume_credit(s, &s->entries[entry], is_long)) {
		if (s->idle == 0)
			return (-1);
		s->idle--;
	}
	slot = s->free_slots[--s->nfree];
	s->slot[slot].running = true;
	s->slot[slot].is_long = is_long;
	s->slot[slot].entry = entry;
	if (is_long)
		s->running_long++;
	else
		s->running_short++;
	return ((int)slot);
}

void
mlk_slots_finish(struct mlk_slots *s, uint32_t slot, int64_t now)
{
	(void)now;
	if (slot >= s->nslots || !s->slot[slot].running)
		return;
	s->slot[slot].running = false;
	if (s->slot[slot].is_long)
		s->running_long--;
	else
		s->running_short--;
	s->last_finished = s->slot[slot].entry;
	s->free_slots[s->nfree++] = slot;
	s->idle++;
}

/*
 * Corrects the types of the lent credits when an entry returned fewer of a type
 * than were reclaimed.  A short START that crosses a grant consumes a
 * short_only credit here although the entry used an `any` credit.  Messages of
 * a link are in order, so the entry holds no more credits of this type unless
 * there was a grant after the reclaim.
 */
static void
correct_credit_types(
    struct mlk_slots *s, struct entry *e, struct mlk_credits given)
{
	uint32_t n;

	if (e->granted_since_reclaim)
		return;
	if (given.any < e->reclaim_pending.any) {
		n = e->lent.any;
		e->lent.any = 0;
		s->lent.any -= n;
		e->lent.short_only += n;
		s->lent.short_only += n;
	} else if (given.short_only < e->reclaim_pending.short_only) {
		n = MIN(e->lent.short_only, long_headroom(s));
		e->lent.short_only -= n;
		s->lent.short_only -= n;
		e->lent.any += n;
		s->lent.any += n;
	}
}

/*
 * Applies RETURN.  Credits beyond the number counted here for one type are
 * taken from the other type.
 */
void
mlk_slots_returned(struct mlk_slots *s, uint32_t entry,
    struct mlk_credits credits, int64_t now)
{
	uint32_t any, short_only, total;
	struct entry *e;

	if (entry >= MLK_SLOTS_ENTRIES_MAX || !s->entries[entry].up)
		return;
	e = &s->entries[entry];
	total =
	    MIN(credits.any, s->nslots) + MIN(credits.short_only, s->nslots);
	total = MIN(total, e->lent.any + e->lent.short_only);
	any = MIN(MIN(credits.any, e->lent.any), total);
	short_only = MIN(total - any, e->lent.short_only);
	any = total - short_only;
	e->lent.any -= any;
	e->lent.short_only -= short_only;
	s->lent.any -= any;
	s->lent.short_only -= short_only;
	s->idle += total;
	correct_credit_types(s, e, credits);
	memset(&e->reclaim_pending, 0, sizeof(e->reclaim_pending));
	e->next_reclaim_at = now + RECLAIM_INTERVAL_NS;
}

void
mlk_slots_close(struct mlk_slots *s)
{
	s->closed = true;
}

/*
 * Returns the queued tasks of a class according to the entry's last report,
 * less grants since then; 0 when the report is too old.
 */
static uint32_t
queued(const struct entry *e, bool is_long, int64_t now)
{
	if (!e->up ||
	    now - e->demand_at >
		(is_long ? DEMAND_TTL_NS : SHORT_DEMAND_TTL_NS))
		return (0);
	return (is_long ? e->demand.queued_long : e->demand.queued_short);
}

static uint32_t
idle_credits(const struct entry *e)
{
	return (e->lent.any + e->lent.short_only);
}

/*
 * Lends one idle slot to an entry, as an `any` or a short_only credit.
 */
static void
lend(struct mlk_slots *s, struct entry *e, bool any)
{
	s->idle--;
	if (any) {
		e->lent.any++;
		s->lent.any++;
		e->grant.any++;
	} else {
		e->lent.short_only++;
		s->lent.short_only++;
		e->grant.short_only++;
	}
	e->granted_since_reclaim = true;
}

/*
 * Chooses the entry that gets a slot for a class: the one whose task ended
 * last, unless another has more than twice as many tasks queued; otherwise by
 * weighted round robin.  Returns NULL when no entry has tasks queued.
 */
static struct entry *
choose_by_demand(struct mlk_slots *s, bool is_long, int64_t now)
{
	struct entry *best = NULL, *e;
	uint32_t i, n, most = 0;
	double total = 0;

	for (i = 0; i < s->nentries; i++) {
		n = queued(&s->entries[i], is_long, now);
		most = MAX(most, n);
		total += n;
	}
	if (most == 0)
		return (NULL);
	if (s->last_finished != NO_ENTRY) {
		e = &s->entries[s->last_finished];
		n = queued(e, is_long, now);
		if (n > 0 && 2 * n >= most)
			return (e);
	}
	for (i = 0; i < s->nentries; i++) {
		e = &s->entries[i];
		n = queued(e, is_long, now);
		if (n == 0)
			continue;
		e->rr_weight += n;
		if (best == NULL || e->rr_weight > best->rr_weight)
			best = e;
	}
	best->rr_weight -= total;
	return (best);
}

/*
 * Chooses the entry that gets a slot when none has tasks queued: the one with
 * the fewest idle credits, or the one whose task ended last if it has at most
 * one more, because its grant is sent with the result.  Returns NULL when no
 * entry is up.
 */
static struct entry *
choose_fewest_credits(struct mlk_slots *s)
{
	struct entry *best = NULL, *e;
	uint32_t i;

	for (i = 0; i < s->nentries; i++) {
		e = &s->entries[i];
		if (!e->up)
			continue;
		if (best == NULL || idle_credits(e) < idle_credits(best))
			best = e;
	}
	if (best == NULL || s->last_finished == NO_ENTRY)
		return (best);
	e = &s->entries[s->last_finished];
	if (e->up && idle_credits(e) <= idle_credits(best) + 1)
		return (e);
	return (best);
}

/*
 * Lends one idle slot.  When tasks of both classes are queued, long work goes
 * first until it has its minimum share CAP_MIN, then short work, which ends
 * soon.  Beyond that share only the cap limits long work.  Returns false if no
 * entry is up.
 */
static bool
lend_one(struct mlk_slots *s, int64_t now)
{
	struct entry *for_long = NULL, *for_short;
	bool long_first;
	struct entry *e;

	for_short = choose_by_demand(s, false, now);
	if (long_headroom(s) > 0)
		for_long = choose_by_demand(s, true, now);
	long_first = for_long != NULL &&
	    s->running_long + s->lent.any < CAP_MIN * s->nslots;
	if (for_short != NULL && !long_first) {
		for_short->demand.queued_short--;
		for_short->settle_until = now + GRANT_SETTLE_NS;
		lend(s, for_short, false);
		return (true);
	}
	if (for_long != NULL) {
		for_long->demand.queued_long--;
		for_long->settle_until = now + GRANT_SETTLE_NS;
		lend(s, for_long, true);
		return (true);
	}
	e = choose_fewest_credits(s);
	if (e == NULL)
		return (false);
	lend(s, e, long_headroom(s) > 0);
	return (true);
}

/*
 * Returns whether credits may be reclaimed from an entry now.
 */
static bool
may_reclaim(struct entry *e, int64_t now)
{
	if (!e->up || now < e->next_reclaim_at || now < e->settle_until)
		return (false);
	if (e->reclaim_pending.any + e->reclaim_pending.short_only > 0) {
		if (now - e->reclaimed_at < RECLAIM_TIMEOUT_NS)
			return (false);
		memset(&e->reclaim_pending, 0, sizeof(e->reclaim_pending));
	}
	return (true);
}

/*
 * Schedules a reclaim from an entry.
 */
static void
reclaim_from(struct entry *e, uint32_t any, uint32_t short_only, int64_t now)
{
	if (any + short_only == 0)
		return;
	e->reclaim_pending.any += any;
	e->reclaim_pending.short_only += short_only;
	e->reclaim.any += any;
	e->reclaim.short_only += short_only;
	e->reclaimed_at = now;
	e->granted_since_reclaim = false;
}

/*
 * Returns the number of reclaimed credits whose RETURN is still expected.
 */
static uint32_t
pending_reclaims(const struct mlk_slots *s, int64_t now)
{
	uint32_t i, n = 0;

	for (i = 0; i < s->nentries; i++) {
		if (now - s->entries[i].reclaimed_at < RECLAIM_TIMEOUT_NS)
			n += s->entries[i].reclaim_pending.any +
			    s->entries[i].reclaim_pending.short_only;
	}
	return (n);
}

/*
 * Chooses the entry other than `exclude` to reclaim credits from: of those with
 * idle credits, or with idle `any` credits if only_any is set, the one with the
 * least demand, then with the most credits.  Returns NULL when there is none.
 */
static struct entry *
choose_reclaim_source(struct mlk_slots *s, const struct entry *exclude,
    bool only_any, int64_t now)
{
	uint32_t demand, have, i, least = 0, most = 0;
	struct entry *best = NULL, *e;

	for (i = 0; i < s->nentries; i++) {
		e = &s->entries[i];
		have = only_any ? e->lent.any : idle_credits(e);
		if (e == exclude || have == 0 || !may_reclaim(e, now))
			continue;
		demand = queued(e, false, now) + queued(e, true, now);
		if (best == NULL || demand < least ||
		    (demand == least && have > most)) {
			best = e;
			least = demand;
			most = have;
		}
	}
	return (best);
}

/*
 * Reclaims credits for an entry with long tasks queued.  When the cap is
 * reached, only `any` credits of other entries can be used.  Below the cap
 * every idle credit can, also a short_only credit of the entry itself.
 */
static void
reclaim_for_long(struct mlk_slots *s, struct entry *e, int64_t now)
{
	struct entry *src;
	uint32_t n;

	if (queued(e, true, now) == 0 || pending_reclaims(s, now) > 0)
		return;
	if (long_headroom(s) == 0) {
		src = choose_reclaim_source(s, e, true, now);
		if (src != NULL)
			reclaim_from(src,
			    MIN(src->lent.any, queued(e, true, now)), 0, now);
		return;
	}
	src = e->lent.short_only > 0 && queued(e, false, now) == 0 ?
	    e :
	    choose_reclaim_source(s, e, false, now);
	if (src == NULL || !may_reclaim(src, now))
		return;
	n = MIN(long_headroom(s), queued(e, true, now));
	reclaim_from(src, 0, MIN(n, src->lent.short_only), now);
	if (src != e && src->lent.short_only == 0)
		reclaim_from(src, MIN(n, src->lent.any), 0, now);
}

/*
 * Reclaims credits for an entry with short tasks queued.
 */
static void
reclaim_for_short(struct mlk_slots *s, struct entry *e, int64_t now)
{
	uint32_t any, need, short_only;
	struct entry *src;

	need = queued(e, false, now);
	if (need == 0 || pending_reclaims(s, now) > 0)
		return;
	src = choose_reclaim_source(s, e, false, now);
	if (src == NULL)
		return;
	short_only = MIN(need, src->lent.short_only);
	any = MIN(need - short_only, src->lent.any);
	reclaim_from(src, any, short_only, now);
}

/*
 * Reclaims `any` credits that exceed the cap after it has fallen.
 */
static void
reclaim_over_cap(struct mlk_slots *s, int64_t now)
{
	uint32_t excess, used;
	struct entry *src;

	used = s->running_long + s->lent.any;
	if (used <= s->cap || s->lent.any == 0 ||
	    now - s->last_cap_reclaim < CAP_RECLAIM_INTERVAL_NS ||
	    pending_reclaims(s, now) > 0)
		return;
	excess = MIN(used - s->cap, s->lent.any);
	src = choose_reclaim_source(s, NULL, true, now);
	if (src == NULL)
		return;
	reclaim_from(src, MIN(excess, src->lent.any), 0, now);
	s->last_cap_reclaim = now;
}

/*
 * Evens out the idle credits of the entries while none has tasks queued.
 */
static void
balance(struct mlk_slots *s, int64_t now)
{
	struct entry *e, *least = NULL, *most = NULL;
	uint32_t any, i, n;

	if (now < s->balance_at || pending_reclaims(s, now) > 0)
		return;
	for (i = 0; i < s->nentries; i++) {
		e = &s->entries[i];
		if (!e->up)
			continue;
		if (queued(e, false, now) + queued(e, true, now) > 0)
			return;
		if (least == NULL || idle_credits(e) < idle_credits(least))
			least = e;
		if (most == NULL || idle_credits(e) > idle_credits(most))
			most = e;
	}
	if (least == NULL ||
	    idle_credits(most) - idle_credits(least) < BALANCE_DIFF)
		return;
	if (!may_reclaim(most, now))
		return;
	n = (idle_credits(most) - idle_credits(least)) / 2;
	any = MIN(n * most->lent.any / idle_credits(most), most->lent.any);
	reclaim_from(most, any, MIN(n - any, most->lent.short_only), now);
	s->balance_at = now + BALANCE_INTERVAL_NS;
	s->last_finished = NO_ENTRY;
}

/*
 * Moves the pending grants and reclaims of at most `max` entries to `out` and
 * returns the number of entries.
 */
static size_t
collect_changes(struct mlk_slots *s, struct mlk_slots_change *out, size_t max)
{
	struct entry *e;
	uint32_t i;
	size_t n = 0;

	for (i = 0; i < s->nentries && n < max; i++) {
		e = &s->entries[i];
		if (e->grant.any + e->grant.short_only + e->reclaim.any +
			e->reclaim.short_only ==
		    0)
			continue;
		out[n].entry = i;
		out[n].grant = e->grant;
		out[n].reclaim = e->reclaim;
		n++;
		memset(&e->grant, 0, sizeof(e->grant));
		memset(&e->reclaim, 0, sizeof(e->reclaim));
	}
	return (n);
}

size_t
mlk_slots_changes(
    struct mlk_slots *s, int64_t now, struct mlk_slots_change *out, size_t max)
{
	struct entry *e;
	uint32_t i;

	update_cap(s, now);
	if (s->closed)
		return (collect_changes(s, out, max));
	while (s->idle > 0) {
		if (!lend_one(s, now))
			break;
	}
	s->last_finished = NO_ENTRY;
	for (i = 0; i < s->nentries; i++) {
		e = &s->entries[i];
		reclaim_for_short(s, e, now);
		reclaim_for_long(s, e, now);
	}
	reclaim_over_cap(s, now);
	balance(s, now);
	return (collect_changes(s, out, max));
}

void
mlk_slots_stats(const struct mlk_slots *s, struct mlk_slots_stats *out)
{
	out->running = s->running_long + s->running_short;
	out->lent = s->lent.any + s->lent.short_only;
	out->idle = s->idle;
	out->long_cap = s->cap;
}
