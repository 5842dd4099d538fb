/*
 * Ownership of partitions: polls of the table, takeover, handover, loss of
 * ownership, and the planned stop.
 *
 * A partition is `mine` from the reply to the TAKEOVER that raised its epoch
 * until a view of the table shows another owner or epoch.  A write whose reply
 * was lost changes nothing here: the next poll shows what the row holds.  When
 * that row names this entry with an epoch that it has not taken over, the
 * partition is taken over again.
 */
#include <stdio.h>
#include <string.h>

#include "entry_impl.h"

/* Time that a peer must have been up before it is given partitions. */
#define HANDOVER_UP_NS (2 * MLK_NSEC_PER_SEC)
/* After this time without an owner, any entry may take over a partition. */
#define ORPHAN_NS (2 * MLK_NSEC_PER_SEC)
/* A partition that was lost to another entry is not taken over again for this
 * time, so that two entries do not take it from each other in turn. */
#define RETAKE_NS (10 * MLK_NSEC_PER_SEC)
#define REFRESH_NS MLK_NSEC_PER_SEC /* between refreshes of agent rows */
/* A planned stop waits this long beyond agent_lapse_ms for the row of a lost
 * agent to be closed, despite conflicts; then it hands over regardless. */
#define STOP_SAVE_NS (2 * MLK_NSEC_PER_SEC)
/* A planned stop waits this long for the store; then it goes on without it. */
#define STOP_STORE_NS (5 * MLK_NSEC_PER_SEC)
/* Limit of a planned stop, within the 30 s that platforms usually allow; then
 * the remaining requests are answered with an error. */
#define STOP_LIMIT_NS (25 * MLK_NSEC_PER_SEC)

/*
 * Starts a poll of the table unless one is under way.  It reads the entry
 * rows, on condition that the ownership and configuration rows have the known
 * versions.  When they do not, the poll conflicts and the next one reads all
 * three.
 */
void
ownership_poll(struct mlk_entry *e)
{
	struct mlk_store_op *op;

	if (e->poll_op != 0)
		return;
	op = entry_store(e, MLK_STORE_POLL, &e->poll_op);
	if (op == NULL)
		return;
	op->expect_unchanged = e->store_seen && !e->poll_whole;
	op->known_ownership = e->ownership.row_version;
	op->config_row_version = e->config_row_version;
	e->poll_whole = false;
	e->poll_sent = e->now;
	e->poll_wanted = false;
}

static void
register_entry(struct mlk_entry *e)
{
	struct mlk_store_op *op;

	if (e->register_op != 0 || e->phase != ENTRY_RUNNING)
		return;
	if (e->own_row.row_version != 0 &&
	    e->own_row.info.incarnation == e->opt.self.incarnation)
		return;
	op = entry_store(e, MLK_STORE_REGISTER_ENTRY, &e->register_op);
	if (op == NULL)
		return;
	op->entry.row_version = e->own_row.row_version;
	op->entry.info = e->opt.self;
	memcpy(op->subject, e->opt.self.id, sizeof(op->subject));
}

/*
 * Returns whether the table has a row of this process.
 */
static bool
is_registered(const struct mlk_entry *e)
{
	return (e->own_row.row_version != 0 &&
	    e->own_row.info.incarnation == e->opt.self.incarnation);
}

/* ---- applying rows of the table -------------------------------------- */

/*
 * Gives up ownership of the partitions in the mask, and their jobs.
 */
static void
drop_partitions(struct mlk_entry *e, uint64_t mask)
{
	uint32_t p;

	if (mask == 0)
		return;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if ((mask & (1ULL << p)) != 0)
			e->part[p].mine = false;
	}
	e->owned &= ~mask;
	e->accounted &= ~mask;
	e->accounts_dirty = true;
	accounts_partitions_dropped(e, mask);
	jobs_drop_partitions(e, mask);
}

/*
 * Returns whether the row names this process as the owner.  A process with the
 * same id from before or after a restart is another owner.
 */
static bool
is_owned_by_self(
    const struct mlk_entry *e, const struct mlk_ownership *own, uint32_t p)
{
	return (own->part[p].incarnation == e->opt.self.incarnation &&
	    strcmp(own->part[p].owner, e->opt.self.id) == 0);
}

/*
 * Applies an ownership row: drops the partitions that it no longer assigns to
 * this process.  Rows older than the known one are ignored.
 */
static void
apply_ownership_row(struct mlk_entry *e, const struct mlk_ownership *own)
{
	struct partition *part;
	uint64_t lost = 0;
	uint32_t p;

	if (e->has_ownership && own->row_version < e->ownership.row_version)
		return;
	e->has_ownership = true;
	e->ownership = *own;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		part = &e->part[p];
		if (!part->mine ||
		    (own->part[p].epoch == part->epoch &&
			is_owned_by_self(e, own, p)))
			continue;
		if (own->part[p].owner[0] != '\0')
			part->lost_at = e->now;
		lost |= 1ULL << p;
	}
	drop_partitions(e, lost);
	if (lost != 0) {
		entry_log(e, MLK_LOG_NOTICE, "stepped down from %d partitions",
		    __builtin_popcountll(lost));
	}
}

/*
 * Applies the ownership and configuration rows of a view, where it has them.
 */
void
ownership_apply_view(struct mlk_entry *e, const struct mlk_store_view *view)
{
	if (view->has_ownership)
		apply_ownership_row(e, &view->ownership);
	if (view->has_config)
		config_apply_view(e, view);
}

/* ---- takeover -------------------------------------------------------- */

/*
 * Returns whether a peer is considered when partitions are divided: it is
 * live, or it has a row, is not leaving and no connect attempt to it has
 * failed yet.
 */
static bool
is_candidate(const struct peer *p)
{
	return (members_peer_live(p) ||
	    (p->state == PEER_CONNECTING && p->row_version != 0 &&
		!p->leaving));
}

/*
 * Returns the peer that should own the partition by rendezvous hashing, or
 * NULL when this entry should.
 */
static struct peer *
best_owner(struct mlk_entry *e, uint32_t partition)
{
	struct peer *best = NULL;
	struct peer *p;
	uint64_t w, top;
	char text[16];
	guint i;

	(void)snprintf(text, sizeof(text), "%u", partition);
	top = e->phase == ENTRY_RUNNING ? members_weight(e->opt.self.id, text) :
					  0;
	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (!is_candidate(p))
			continue;
		w = members_weight(p->info.id, text);
		if (w > top) {
			top = w;
			best = p;
		}
	}
	return (best);
}

/*
 * Returns whether the partition has no live owner according to the row.  An
 * owner that was restarted since then does not count: it has lost the state of
 * its earlier process and must take over at a new epoch.
 */
static bool
is_orphan(struct mlk_entry *e, uint32_t partition)
{
	const char *owner = e->ownership.part[partition].owner;
	const struct peer *p;

	if (owner[0] == '\0')
		return (true);
	if (strcmp(owner, e->opt.self.id) == 0)
		return (!e->part[partition].mine);
	p = members_peer_by_id(e, owner);
	return (p == NULL || p->state == PEER_DEAD ||
	    p->info.incarnation != e->ownership.part[partition].incarnation);
}

/*
 * Returns whether this entry should take over a partition: it has no live
 * owner, and this entry is the best candidate or nobody took it over for
 * ORPHAN_NS.  A partition that this entry lost to the owner in the row is left
 * alone for RETAKE_NS.  Also maintains the time since which the partition has
 * no live owner.
 */
static bool
should_take_over(struct mlk_entry *e, uint32_t p)
{
	struct partition *part = &e->part[p];

	if (!is_orphan(e, p)) {
		part->orphan_since = 0;
		return (false);
	}
	if (part->orphan_since == 0)
		part->orphan_since = e->now;
	if (e->phase != ENTRY_RUNNING)
		return (false);
	if (part->lost_at != 0 && e->now - part->lost_at < RETAKE_NS &&
	    e->ownership.part[p].owner[0] != '\0')
		return (false);
	return (best_owner(e, p) == NULL ||
	    e->now - part->orphan_since > ORPHAN_NS);
}

/*
 * Returns whether this entry should give up a partition that it owns.  The
 * table must hold what the next owner needs; a planned stop waits for that at
 * most agent_lapse_ms plus STOP_SAVE_NS, in which a lapsing agent has come back
 * or was closed.  The next owner must have been up for HANDOVER_UP_NS and know
 * the current row, so that the partition does not stay without an owner.  In a
 * planned stop it is enough that there is a live peer, or that no job and no
 * request is left.
 */
static bool
should_hand_over(struct mlk_entry *e, uint32_t p)
{
	const struct peer *best;

	if (!e->part[p].mine)
		return (false);
	if (!accounts_saved(e, p) &&
	    (e->phase != ENTRY_LEAVING ||
		e->now - e->phase_since <
		    entry_ms_to_ns(e->opt.agent_lapse_ms) + STOP_SAVE_NS))
		return (false);
	if (e->phase == ENTRY_LEAVING) {
		return (members_live_peers(e) > 0 ||
		    (e->jobs_running == 0 &&
			g_hash_table_size(e->requests) == 0));
	}
	best = best_owner(e, p);
	return (best != NULL && best->state == PEER_UP &&
	    e->now - best->since > HANDOVER_UP_NS &&
	    best->ownership_version >= e->ownership.row_version);
}

/*
 * Reads the agent rows again when they are marked stale.
 */
static void
refresh_agents(struct mlk_entry *e)
{
	if (!e->agents_stale || e->now < e->refresh_at || e->refresh_op != 0 ||
	    e->close_op != 0)
		return;
	if (entry_store(e, MLK_STORE_AGENTS, &e->refresh_op) == NULL)
		return;
	e->agents_stale = false;
	e->refresh_at = e->now + REFRESH_NS;
}

/*
 * Decides which partitions to take over and to hand over, and writes that in
 * one conditional transaction, which also reads the agent rows.  When nothing
 * changes, the agent rows may be read on their own; the ownership row is not
 * written then, since each new version of it makes the transactions of all
 * other entries conflict.
 */
void
ownership_plan(struct mlk_entry *e)
{
	struct mlk_ownership *next = &e->planned;
	uint64_t take = 0;
	uint64_t give = 0;
	struct mlk_store_op *op;
	uint32_t p;

	if (e->ownership_op != 0 || !e->store_up ||
	    (e->phase == ENTRY_RUNNING && !is_registered(e)) ||
	    e->phase > ENTRY_LEAVING)
		return;
	*next = e->ownership;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if (should_take_over(e, p)) {
			take |= 1ULL << p;
			next->part[p].epoch++;
			memcpy(next->part[p].owner, e->opt.self.id,
			    sizeof(next->part[p].owner));
			next->part[p].incarnation = e->opt.self.incarnation;
		} else if (should_hand_over(e, p)) {
			give |= 1ULL << p;
			memset(next->part[p].owner, 0,
			    sizeof(next->part[p].owner));
			next->part[p].incarnation = 0;
		}
	}
	if (take == 0 && give == 0) {
		refresh_agents(e);
		return;
	}
	op = entry_store(e, MLK_STORE_TAKEOVER, &e->ownership_op);
	if (op == NULL)
		return;
	op->ownership = entry_copy(e, next, sizeof(*next));
	e->planned_take = take;
	e->planned_give = give;
	e->refresh_op = 0; /* its reply would show older rows */
	e->agents_stale = false;
	e->refresh_at = e->now + REFRESH_NS;
}

static bool
same_assignment(const struct mlk_ownership *a, const struct mlk_ownership *b)
{
	uint32_t p;

	for (p = 0; p < MLK_PARTITIONS; p++) {
		if (a->part[p].epoch != b->part[p].epoch ||
		    a->part[p].incarnation != b->part[p].incarnation ||
		    strcmp(a->part[p].owner, b->part[p].owner) != 0)
			return (false);
	}
	return (true);
}

/*
 * Applies the planned ownership after the conditional write succeeded.  From
 * here on this entry owns the partitions in `planned_take`.
 */
static void
apply_planned_ownership(struct mlk_entry *e, const struct mlk_store_view *view)
{
	uint64_t take = e->planned_take;
	struct mlk_ownership latest;
	uint32_t p;

	e->planned.row_version++;
	if (view->has_ownership &&
	    same_assignment(&view->ownership, &e->planned))
		e->planned.row_version = view->ownership.row_version;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if ((take & (1ULL << p)) == 0)
			continue;
		e->part[p].mine = true;
		e->part[p].epoch = e->planned.part[p].epoch;
		e->part[p].since = e->now;
		e->part[p].orphan_since = 0;
		e->owned |= 1ULL << p;
		e->counters.takeovers++;
	}
	drop_partitions(e, e->planned_give & e->owned);
	apply_ownership_row(e, &e->planned);
	/* A poll may have read a later row before this reply came. */
	latest = e->ownership;
	apply_ownership_row(e, &latest);
	accounts_partitions_taken(e, view, take & e->owned);
	if (take != 0)
		entry_log(e, MLK_LOG_NOTICE, "took over %d partitions",
		    __builtin_popcountll(take));
	if (e->planned_give != 0)
		entry_log(e, MLK_LOG_NOTICE, "handed over %d partitions",
		    __builtin_popcountll(e->planned_give));
	if (take != 0 || e->planned_give != 0)
		members_announce_ownership(e);
	forward_route_parked(e);
}

/*
 * Handles the reply to a write of the ownership row.  When the result of the
 * write is not known, nothing is assumed: the next poll shows the row.
 */
static void
ownership_done(struct mlk_entry *e, const struct mlk_event *ev)
{
	const struct mlk_store_view *view = ev->u.store.view;

	e->ownership_op = 0;
	switch (ev->u.store.status) {
	case MLK_STORE_OK:
		if (view == NULL) {
			e->poll_wanted = true;
			break;
		}
		if (view->has_config)
			config_apply_view(e, view);
		apply_planned_ownership(e, view);
		break;
	case MLK_STORE_CONFLICT:
		if (view != NULL) {
			ownership_apply_view(e, view);
			members_apply_rows(e, view);
		}
		/* FALLTHROUGH */
	case MLK_STORE_UNAVAILABLE:
		e->agents_stale = true;
		e->poll_wanted = true;
		break;
	}
}

/*
 * Handles the reply to AGENTS.
 */
static void
refresh_done(struct mlk_entry *e, const struct mlk_event *ev)
{
	const struct mlk_store_view *view = ev->u.store.view;

	e->refresh_op = 0;
	if (ev->u.store.status != MLK_STORE_OK || view == NULL) {
		e->agents_stale = true;
		return;
	}
	ownership_apply_view(e, view);
	accounts_apply_rows(e, view);
	members_apply_rows(e, view);
}

/* ---- polls and the entry row ----------------------------------------- */

static void
poll_done(struct mlk_entry *e, const struct mlk_event *ev)
{
	uint64_t id = ev->u.store.id;
	bool ok = ev->u.store.status == MLK_STORE_OK;

	e->poll_op = 0;
	if (ev->u.store.status == MLK_STORE_CONFLICT) {
		/* A row has changed; this reply does not confirm any job. */
		e->poll_whole = true;
		ownership_poll(e);
		return;
	}
	if (e->store_up && !ok)
		entry_log(e, MLK_LOG_WARNING, "table service unavailable");
	e->store_up = ok;
	if (ok && ev->u.store.view != NULL) {
		e->store_seen = true;
		ownership_apply_view(e, ev->u.store.view);
		members_apply_rows(e, ev->u.store.view);
		register_entry(e);
		ownership_plan(e);
	}
	if (e->ownership_unverified && id > e->unverified_after_op)
		e->ownership_unverified = false;
	jobs_confirm_poll_done(e, id, ev->u.store.status);
	forward_route_parked(e);
}

static void
register_done(struct mlk_entry *e, const struct mlk_event *ev)
{
	const struct mlk_store_view *view = ev->u.store.view;

	e->register_op = 0;
	if (view == NULL) {
		e->poll_wanted = true;
		return;
	}
	ownership_apply_view(e, view);
	members_apply_rows(e, view);
	if (ev->u.store.status == MLK_STORE_OK && !is_registered(e)) {
		e->own_row.row_version++;
		e->own_row.info = e->opt.self;
	}
	if (is_registered(e))
		ownership_plan(e);
	else
		e->poll_wanted = true;
}

static bool
is_idle(const struct mlk_entry *e)
{
	return (g_hash_table_size(e->requests) == 0 && !config_busy(e));
}

/*
 * Exits once idle: requests that came in while the own row was being removed
 * are answered first.
 */
static void
stop_exit(struct mlk_entry *e)
{
	if (!is_idle(e))
		return;
	e->phase = ENTRY_STOPPED;
	(void)mlk_effects_push(e->out, MLK_FX_EXIT);
}

static void
remove_done(struct mlk_entry *e, const struct mlk_event *ev)
{
	bool own = e->removing_own;

	e->remove_op = 0;
	e->removing_own = false;
	if (!own)
		return;
	if (ev->u.store.status == MLK_STORE_UNAVAILABLE) {
		e->exit_retry_at = e->now + MLK_NSEC_PER_SEC;
		return;
	}
	e->own_removed = true;
	stop_exit(e);
}

/*
 * Handles the replies to polls, to reads of agent rows, and to writes of
 * ownership and entry rows.  Returns false for other operations.
 */
bool
ownership_store_reply(struct mlk_entry *e, const struct mlk_event *ev)
{
	uint64_t id = ev->u.store.id;

	if (id == 0)
		return (true);
	if (id == e->poll_op)
		poll_done(e, ev);
	else if (id == e->ownership_op)
		ownership_done(e, ev);
	else if (id == e->refresh_op)
		refresh_done(e, ev);
	else if (id == e->register_op)
		register_done(e, ev);
	else if (id == e->remove_op)
		remove_done(e, ev);
	else
		return (false);
	return (true);
}

/*
 * Handles a pause of the process that was longer than the peer timeout or a
 * lease: peers may have taken over its partitions.  Requests wait until the
 * table has been read again, and the timers of links and connecting peers
 * restart.
 */
void
ownership_after_pause(struct mlk_entry *e)
{
	struct peer *p;
	struct entry_link *l;
	GHashTableIter iter;
	gpointer value;
	guint i;

	e->ownership_unverified = e->owned != 0;
	e->unverified_after_op = e->last_op;
	e->poll_wanted = true;
	g_hash_table_iter_init(&iter, e->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		l = value;
		l->last_heard = e->now;
	}
	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (p->state == PEER_CONNECTING)
			p->since = e->now;
	}
}

/* ---- planned stop ---------------------------------------------------- */

/*
 * Removes the own row, or exits when that is done or takes longer than
 * STOP_STORE_NS.
 */
static void
stop_remove(struct mlk_entry *e)
{
	struct mlk_store_op *op;

	if (e->own_removed || e->now - e->phase_since > STOP_STORE_NS) {
		stop_exit(e);
		return;
	}
	if (e->remove_op != 0 || e->now < e->exit_retry_at)
		return;
	op = entry_store(e, MLK_STORE_REMOVE_ENTRY, &e->remove_op);
	if (op == NULL)
		return;
	memcpy(op->subject, e->opt.self.id, sizeof(op->subject));
	op->entry = e->own_row;
	e->removing_own = true;
}

/*
 * Limits a planned stop to STOP_LIMIT_NS.  Its requests may never be answered
 * otherwise, for example when all entries stop at once and the agents take no
 * more work.
 */
static void
stop_limit(struct mlk_entry *e)
{
	if (e->phase != ENTRY_LEAVING && e->phase != ENTRY_DRAINING)
		return;
	if (e->now - e->stop_since < STOP_LIMIT_NS)
		return;
	forward_stop_timeout(e);
	e->phase = ENTRY_REMOVING;
	e->phase_since = e->now;
}

/*
 * Advances the planned stop.  Without the store, ownership cannot be given up;
 * the entry then keeps serving and leaves once it is idle.
 */
static void
stop_tick(struct mlk_entry *e)
{
	bool idle = is_idle(e);
	bool late = e->now - e->phase_since > STOP_STORE_NS;

	stop_limit(e);
	switch (e->phase) {
	case ENTRY_RUNNING:
	case ENTRY_STOPPED:
		break;
	case ENTRY_LEAVING:
		if ((e->owned == 0 && e->ownership_op == 0) ||
		    (idle && e->jobs_running == 0 && late)) {
			e->phase = ENTRY_DRAINING;
			e->phase_since = e->now;
		}
		break;
	case ENTRY_DRAINING:
		if (idle) {
			e->phase = ENTRY_REMOVING;
			e->phase_since = e->now;
		}
		break;
	case ENTRY_REMOVING:
		stop_remove(e);
		break;
	}
}

/*
 * Polls the table when due, and advances a planned stop.
 */
void
ownership_tick(struct mlk_entry *e)
{
	int64_t age = e->now - e->poll_sent;

	if (e->phase == ENTRY_STOPPED)
		return;
	if (e->poll_sent == 0 || age >= ENTRY_POLL_NS ||
	    (e->poll_wanted && age >= ENTRY_POLL_MIN_NS))
		ownership_poll(e);
	stop_tick(e);
}

/*
 * Returns whether the entry is ready: it has received the configuration, from
 * the store or a peer, and it is not leaving.
 */
bool
ownership_ready(const struct mlk_entry *e)
{
	return (e->phase == ENTRY_RUNNING && (e->store_seen || e->peer_seen));
}
