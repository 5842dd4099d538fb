/*
 * Accounting: the ids that each registered agent may have run in the partitions
 * that this entry owns.
 *
 * Bit p of an agent's `known` is set when every id that it ran in partition p
 * is known here: from its answer to FENCE (an index of hashes), from the tasks
 * that this entry sent to it, or from the saved claims.  A takeover of p clears
 * the bit.  The loss of the agent does not, since its index and the ids sent to
 * it then become claims.  A partition is accounted for when the bit is set for
 * every agent.
 *
 * The index of a lost agent and a saved record hold only hashes.  Each hash is
 * kept, and saved in a claims row, as a claim with the key { lo = partition,
 * hi = hash << 32 }, which represents every id with that hash.
 */
#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"

#define FILTER_SHIFT 8 /* low hash bits dropped: 2^24 bits, 2 MB */
#define FILTER_WORDS ((1ULL << (32 - FILTER_SHIFT)) / 64)
#define SENT_LOOKBACK 16 /* recent ids compared before one is added */
#define CLOSE_RETRY_NS (200 * MLK_NSEC_PER_MSEC)
#define EXPIRE_NS (10 * MLK_NSEC_PER_SEC) /* between removals of old claims */
#define TRIM_NS (60 * MLK_NSEC_PER_SEC) /* between checks of claims rows */
/* Multiple of agent_lapse_ms, after which an agent that has never connected
 * here counts as lost. */
#define ABSENT_LAPSES 10

static int64_t
retention_ns(const struct mlk_entry *e)
{
	return ((int64_t)e->opt.retention_s * MLK_NSEC_PER_SEC);
}

/* ---- fencing --------------------------------------------------------- */

/*
 * Sends FENCE to the agent for all owned partitions for which it was not sent
 * on this link.
 */
void
accounts_fence(struct mlk_entry *e, struct agent *a)
{
	struct mlk_epoch_item items[MLK_PARTITIONS];
	uint64_t mask = e->owned & ~a->fence_sent;
	struct mlk_msg *m;
	uint32_t n = 0;
	uint32_t p;

	accounts_update_enabled(e, a);
	if (a->link == NULL || mask == 0)
		return;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if ((mask & (1ULL << p)) == 0)
			continue;
		items[n].partition = p;
		items[n].epoch = e->part[p].epoch;
		n++;
	}
	m = entry_send(e, a->link, MLK_MSG_FENCE);
	if (m == NULL)
		return;
	m->u.fence.incarnation = a->incarnation;
	m->u.fence.items = entry_copy(e, items, n * sizeof(*items));
	m->u.fence.n = m->u.fence.items == NULL ? 0 : n;
	a->fence_sent |= mask;
}

/*
 * Returns whether the agent's incarnation was closed, by this entry or in the
 * table, so that it has to register a new one.
 */
bool
accounts_must_reregister(const struct mlk_entry *e, const struct agent *a)
{
	if (a->close_sent)
		return (true);
	return (a->has_row && a->row.incarnation == a->incarnation &&
	    (a->row.closed & e->owned) != 0);
}

/*
 * Returns whether the agent needs a new incarnation, and sends REREGISTER if
 * so.  The current incarnation gets no more work then.
 */
bool
accounts_reregister(struct mlk_entry *e, struct agent *a)
{
	struct mlk_msg *m;

	if (!accounts_must_reregister(e, a))
		return (false);
	m = a->link == NULL ? NULL : entry_send(e, a->link, MLK_MSG_REREGISTER);
	if (m != NULL)
		m->u.reregister.incarnation = a->incarnation;
	return (true);
}

/*
 * Tells the scheduler whether the agent may get work: it may once it has
 * answered FENCE for all owned partitions.
 */
void
accounts_update_enabled(struct mlk_entry *e, struct agent *a)
{
	bool enabled;

	if (a->link == NULL)
		return;
	enabled = !a->leaving && !accounts_must_reregister(e, a) &&
	    (e->owned & ~(a->fenced | a->rejected)) == 0;
	mlk_sched_agent_enable(e->sched, a->handle, enabled);
	e->need_check = true;
}

/*
 * Adds hashes to the agent's index and to the filter over all indexes.
 */
static void
index_add(
    struct mlk_entry *e, struct agent *a, const uint32_t *hashes, uint32_t n)
{
	uint32_t i;

	if (n == 0)
		return;
	if (e->index_filter == NULL)
		e->index_filter = g_new0(uint64_t, FILTER_WORDS);
	for (i = 0; i < n; i++)
		e->index_filter[hashes[i] >> (FILTER_SHIFT + 6)] |= 1ULL
		    << ((hashes[i] >> FILTER_SHIFT) & 63);
	g_array_append_vals(a->index, hashes, n);
}

static gint
hash_compare(gconstpointer a, gconstpointer b)
{
	uint32_t ha = *(const uint32_t *)a;
	uint32_t hb = *(const uint32_t *)b;

	return ((ha > hb) - (ha < hb));
}

/*
 * Sorts the agent's index and removes duplicates.
 */
static void
index_sort(struct agent *a)
{
	guint i, n = 0;
	uint32_t *h;

	g_array_sort(a->index, hash_compare);
	h = (uint32_t *)(void *)a->index->data;
	for (i = 0; i < a->index->len; i++) {
		if (n == 0 || h[n - 1] != h[i])
			h[n++] = h[i];
	}
	g_array_set_size(a->index, n);
}

/*
 * Sets the bits of `known` for the partitions in which the agent's record is
 * complete according to its row.  Leaves out partitions for which the agent's
 * saved record is still to be read from the table.
 */
void
accounts_mark_known(struct mlk_entry *e, struct agent *a)
{
	uint64_t whole;

	if (!a->has_row)
		return;
	whole = a->row.complete & ~records_unread(e, a);
	a->known |= a->row.closed & whole;
	if (a->state == AGENT_LINKED && a->row.incarnation == a->incarnation)
		a->known |= a->fenced & whole;
	e->accounts_dirty = true;
}

/*
 * FENCE_REPLY: collects the hashes, which become valid with the last part.  A
 * partition that the agent rejects already has another owner.
 */
void
accounts_fence_reply(
    struct mlk_entry *e, struct agent *a, const struct mlk_msg *msg)
{
	if (msg->u.fence_reply.incarnation != a->incarnation)
		return;
	index_add(e, a, msg->u.fence_reply.hashes, msg->u.fence_reply.n);
	a->fence_partial |= msg->u.fence_reply.partitions;
	a->rejected |= msg->u.fence_reply.rejected;
	if (msg->u.fence_reply.rejected != 0)
		e->poll_wanted = true;
	if (!msg->u.fence_reply.last)
		return;
	index_sort(a);
	a->index_at = e->now;
	a->index_incarnation = a->incarnation;
	e->index_until = e->now + retention_ns(e);
	a->index_mask |= a->fence_partial;
	a->fenced |= a->fence_partial & a->fence_sent & ~a->rejected;
	a->fence_partial = 0;
	accounts_mark_known(e, a);
	accounts_update_enabled(e, a);
}

/* ---- rows of the table ----------------------------------------------- */

/*
 * Applies the agent rows of a view, which must have read all of them.
 */
void
accounts_apply_rows(struct mlk_entry *e, const struct mlk_store_view *view)
{
	struct agent *a;
	uint32_t i;
	guint k;

	for (k = 0; k < e->agents->len; k++) {
		a = g_ptr_array_index(e->agents, k);
		a->has_row = false;
	}
	for (i = 0; i < view->nagents; i++) {
		a = members_agent_get(e, view->agents[i].id);
		a->row = view->agents[i];
		a->has_row = true;
		a->row_read_at = e->now;
		if (a->incarnation == 0) {
			a->incarnation = a->row.incarnation;
			memcpy(a->dc, a->row.dc, sizeof(a->dc));
			a->slots = a->row.slots;
		}
		accounts_mark_known(e, a);
	}
	e->accounts_dirty = true;
}

/*
 * Returns whether the key of a claim represents a hash; see the head of this
 * file.
 */
static bool
claim_is_hash(struct mlk_key key)
{
	return (key.lo < MLK_PARTITIONS && (key.hi & UINT32_MAX) == 0);
}

/*
 * Claims a hash: a lost agent may have run an id with this hash.  `saved_at` is
 * time_t.
 */
void
accounts_claim_hash(struct mlk_entry *e, uint32_t hash, int64_t saved_at)
{
	(void)g_hash_table_insert(e->lost_hashes, GUINT_TO_POINTER(hash),
	    GSIZE_TO_POINTER((gsize)saved_at));
}

static void
claim_add(struct mlk_entry *e, struct mlk_key key, int64_t saved_at)
{
	GHashTable *claims = e->part[mlk_key_partition(key)].claims;

	if (claim_is_hash(key)) {
		accounts_claim_hash(e, mlk_key_hash32(key), saved_at);
	} else {
		(void)g_hash_table_insert(claims, g_memdup2(&key, sizeof(key)),
		    GSIZE_TO_POINTER((gsize)saved_at));
	}
}

/*
 * Notes the version of a claims row.  Its claims are added if the partition was
 * just taken over.
 */
static void
load_claims(struct mlk_entry *e, const struct mlk_claims_row *row, bool taken)
{
	struct partition *part;
	uint32_t i;

	if (row->partition >= MLK_PARTITIONS)
		return;
	part = &e->part[row->partition];
	part->claims_version = row->row_version;
	part->claims_saved = row->n;
	if (!taken)
		return;
	for (i = 0; i < row->n; i++) {
		if (entry_retained(e, row->claims[i].saved_at))
			claim_add(
			    e, row->claims[i].key, row->claims[i].saved_at);
	}
}

/*
 * Starts the accounting of partitions that were just taken over, with the rows
 * that the same transaction read.  An agent without a row has run nothing in
 * these partitions: it registers later, and sees the new epochs then.
 */
void
accounts_partitions_taken(
    struct mlk_entry *e, const struct mlk_store_view *view, uint64_t taken)
{
	struct agent *a;
	uint32_t i;
	guint k;

	for (i = 0; i < MLK_PARTITIONS; i++) {
		if ((taken & (1ULL << i)) == 0)
			continue;
		g_hash_table_remove_all(e->part[i].claims);
		e->part[i].claims_version = 0;
		e->part[i].claims_saved = 0;
	}
	for (i = 0; i < view->nclaims; i++) {
		load_claims(e, &view->claims[i],
		    view->claims[i].partition < MLK_PARTITIONS &&
			(taken & (1ULL << view->claims[i].partition)) != 0);
	}
	for (k = 0; k < e->agents->len; k++) {
		a = g_ptr_array_index(e->agents, k);
		a->known &= ~taken;
		a->record_read &= ~taken;
		a->fence_sent &= ~taken;
		a->fenced &= ~taken;
		a->rejected &= ~taken;
	}
	accounts_apply_rows(e, view);
	for (i = 0; i < view->nagents; i++) {
		a = members_agent_get(e, view->agents[i].id);
		a->known &= ~taken;
		accounts_mark_known(e, a);
	}
	for (k = 0; k < e->agents->len; k++) {
		a = g_ptr_array_index(e->agents, k);
		if (!a->has_row)
			a->known |= taken;
		accounts_update_enabled(e, a);
		if (taken == 0 || !accounts_reregister(e, a))
			accounts_fence(e, a);
	}
	e->accounts_dirty = true;
	records_service(e);
}

static gboolean
hash_in_partitions(gpointer key, gpointer value, gpointer mask)
{
	uint32_t p = mlk_hash32_partition(GPOINTER_TO_UINT(key));

	(void)value;
	return ((*(const uint64_t *)mask >> p & 1) != 0);
}

/*
 * Discards the accounting of partitions that this entry no longer owns.
 */
void
accounts_partitions_dropped(struct mlk_entry *e, uint64_t partitions)
{
	struct agent *a;
	uint32_t p;
	guint i;

	for (p = 0; p < MLK_PARTITIONS; p++) {
		if ((partitions & (1ULL << p)) != 0)
			g_hash_table_remove_all(e->part[p].claims);
	}
	(void)g_hash_table_foreach_remove(
	    e->lost_hashes, hash_in_partitions, &partitions);
	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		a->fence_sent &= ~partitions;
		a->fenced &= ~partitions;
		a->rejected &= ~partitions;
		accounts_update_enabled(e, a);
	}
}

/*
 * Computes which owned partitions are accounted for, and resumes the jobs that
 * were held until one of them is.  Takes one pass over the agents, at most once
 * per event and only after a change.
 */
void
accounts_update(struct mlk_entry *e)
{
	uint64_t missing = 0;
	uint64_t before = e->accounted;
	const struct agent *a;
	guint i;

	if (!e->accounts_dirty)
		return;
	e->accounts_dirty = false;
	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		missing |= ~a->known;
	}
	e->accounted = e->owned & ~missing;
	if ((e->accounted & ~before) != 0)
		recover_held(e);
}

/* ---- ids that agents may have run ------------------------------------ */

/*
 * Records that a task of the id was sent to the agent.  Only the last
 * SENT_LOOKBACK ids are checked for duplicates, so an id may be listed more
 * than once when the tasks of many jobs alternate on one agent.
 */
void
accounts_record_sent(struct mlk_entry *e, struct agent *a, struct mlk_key key)
{
	struct mlk_claim claim = { .key = key, .saved_at = e->wall };
	guint i, n;

	n = MIN(a->sent->len, SENT_LOOKBACK);
	for (i = 1; i <= n; i++) {
		if (mlk_key_equal(g_array_index(a->sent, struct mlk_claim,
				      a->sent->len - i)
				      .key,
			key))
			return;
	}
	g_array_append_val(a->sent, claim);
}

/*
 * Returns whether a lost agent may have run tasks of the id.
 */
bool
accounts_claimed(const struct mlk_entry *e, struct mlk_key key)
{
	const struct partition *part = &e->part[mlk_key_partition(key)];

	return (g_hash_table_contains(part->claims, &key) ||
	    g_hash_table_contains(
		e->lost_hashes, GUINT_TO_POINTER(mlk_key_hash32(key))));
}

/*
 * Appends the handles of the agents whose index has the id's hash.  For most
 * ids, the filter shows that there are none without a search of the indexes.
 */
void
accounts_index_lookup(struct mlk_entry *e, struct mlk_key key, GArray *agents)
{
	uint32_t h = mlk_key_hash32(key);
	uint64_t bit = 1ULL << mlk_key_partition(key);
	const struct agent *a;
	guint i;

	if (e->index_filter == NULL ||
	    (e->index_filter[h >> (FILTER_SHIFT + 6)] &
		(1ULL << ((h >> FILTER_SHIFT) & 63))) == 0)
		return;
	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		if ((a->index_mask & bit) == 0 || a->index->len == 0)
			continue;
		if (g_array_binary_search(a->index, &h, hash_compare, NULL))
			g_array_append_val(agents, a->handle);
	}
}

/*
 * Handles the loss of an agent's incarnation: its tasks end as unknown, and the
 * ids that it may have run become claims.
 */
void
accounts_agent_lost(struct mlk_entry *e, struct agent *a)
{
	const struct mlk_claim *c;
	uint32_t hash, p;
	guint i;

	a->state = AGENT_LOST;
	entry_log_agent(e, MLK_LOG_NOTICE, a, "agent lost");
	for (i = 0; i < a->sent->len; i++) {
		c = &g_array_index(a->sent, struct mlk_claim, i);
		p = mlk_key_partition(c->key);
		if (e->part[p].mine)
			claim_add(e, c->key, e->wall);
	}
	for (i = 0; i < a->index->len; i++) {
		hash = g_array_index(a->index, uint32_t, i);
		if (e->part[mlk_hash32_partition(hash)].mine)
			accounts_claim_hash(e, hash, e->wall);
	}
	g_array_set_size(a->sent, 0);
	g_array_set_size(a->index, 0);
	a->index_mask = 0;
	jobs_agent_lost(e, a);
	recover_agent_lost(e, a);
	e->accounts_dirty = true;
}

/* ---- closing incarnations in the table ------------------------------- */

/*
 * Fills the claims row of a partition with all claims in it.
 */
static void
fill_claims(struct mlk_entry *e, uint32_t p, struct mlk_claims_row *row)
{
	GHashTableIter iter;
	gpointer key, value;
	struct mlk_claim *c;

	row->partition = p;
	row->row_version = e->part[p].claims_version;
	row->claims = calloc(g_hash_table_size(e->part[p].claims) +
		g_hash_table_size(e->lost_hashes) + 1,
	    sizeof(*row->claims));
	if (row->claims == NULL) {
		e->nomem = true;
		return;
	}
	g_hash_table_iter_init(&iter, e->part[p].claims);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		c = &row->claims[row->n++];
		c->key = *(const struct mlk_key *)key;
		c->saved_at = (int64_t)GPOINTER_TO_SIZE(value);
	}
	g_hash_table_iter_init(&iter, e->lost_hashes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (mlk_hash32_partition(GPOINTER_TO_UINT(key)) != p)
			continue;
		c = &row->claims[row->n++];
		c->key.lo = p;
		c->key.hi = (uint64_t)GPOINTER_TO_UINT(key) << 32;
		c->saved_at = (int64_t)GPOINTER_TO_SIZE(value);
	}
}

/*
 * Sets bits in the `complete` and `closed` masks of an agent's row and writes
 * the claims of the partitions in `claims`, all in one transaction.  Writes
 * nothing when out of memory.
 */
static void
send_close(struct mlk_entry *e, struct agent *a, uint64_t complete,
    uint64_t closed, uint64_t claims)
{
	struct mlk_claims_row *rows;
	struct mlk_store_op *op;
	uint32_t n = 0;
	uint32_t p;

	rows = calloc(MLK_PARTITIONS, sizeof(*rows));
	if (rows == NULL)
		return;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if ((claims & (1ULL << p)) != 0)
			fill_claims(e, p, &rows[n++]);
	}
	op = e->nomem ? NULL :
			entry_store(e, MLK_STORE_CLOSE_AGENT, &e->close_op);
	if (op == NULL) {
		for (p = 0; p < n; p++)
			free(rows[p].claims);
		free(rows);
		return;
	}
	op->claims = rows;
	op->nclaims = n;
	op->ownership = entry_copy(e, &e->ownership, sizeof(e->ownership));
	op->agent = a->row;
	op->agent.complete |= complete;
	op->agent.closed |= closed;
	if (closed != 0 && op->agent.closed_at == 0)
		op->agent.closed_at = e->wall;
	memcpy(op->subject, a->id, sizeof(op->subject));
	e->close_removes = false;
	e->close_agent = a->handle;
	e->close_version = a->row.row_version;
	e->close_complete = complete;
	e->close_closed = closed;
	e->close_claims = claims;
	a->close_sent = a->close_sent ||
	    (closed != 0 && a->row.incarnation == a->incarnation);
}

static void
send_remove(struct mlk_entry *e, struct agent *a)
{
	struct mlk_store_op *op;

	op = entry_store(e, MLK_STORE_REMOVE_AGENT, &e->close_op);
	if (op == NULL)
		return;
	op->agent = a->row;
	memcpy(op->subject, a->id, sizeof(op->subject));
	e->close_removes = true;
	e->close_agent = a->handle;
}

/*
 * Returns whether the table holds what this entry knows about the partition, so
 * that the next owner can account for every agent.  A lapsing agent may come
 * back as a new incarnation, for which only this owner can set the `complete`
 * bit.
 */
bool
accounts_saved(const struct mlk_entry *e, uint32_t p)
{
	const struct agent *a;
	uint64_t bit = 1ULL << p;
	guint i;

	if ((e->accounted & bit) == 0)
		return (true);
	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		if (a->state == AGENT_LAPSING)
			return (false);
		if (a->state == AGENT_LINKED &&
		    (a->has_row ? a->row.incarnation != a->incarnation :
				  a->restarted))
			return (false);
		if (a->has_row && (a->row.complete & bit) == 0)
			return (false);
	}
	return (true);
}

/*
 * Starts a write of the agent's row if one is due, and returns whether it did.
 * Bits are set only for partitions that are accounted for (docs/design.md,
 * section 4, rules 7 and 8).  The row is removed only when every owner has
 * closed it, since the next owner of a partition counts an agent without a row
 * as accounted for.
 */
static bool
write_row_if_due(struct mlk_entry *e, struct agent *a)
{
	bool linked = a->state == AGENT_LINKED;
	bool gone = a->state == AGENT_LOST;
	uint64_t bits, closed = 0;
	bool same;

	if (!a->has_row) {
		if (a->state == AGENT_LOST || (linked && a->restarted))
			e->agents_stale = true;
		return (false);
	}
	same = a->row.incarnation == a->incarnation;
	/*
	 * The known row is too old to decide on.  An agent that stopped as
	 * planned may have written what is needed itself.
	 */
	if ((linked && !same) ||
	    (gone && a->leaving && a->row_read_at <= a->down_since)) {
		e->agents_stale = true;
		return (false);
	}
	if (a->state == AGENT_ABSENT)
		gone = e->now - a->down_since >
		    ABSENT_LAPSES * entry_ms_to_ns(e->opt.agent_lapse_ms);
	bits = e->accounted & ~a->row.complete;
	if (gone && same)
		closed = e->accounted & ~(a->row.closed & a->row.complete);
	if ((bits | closed) != 0) {
		send_close(e, a, bits | closed, closed, bits | closed);
		return (e->close_op != 0);
	}
	if (!linked && (a->row.closed & a->row.complete) == UINT64_MAX &&
	    e->wall - a->row.closed_at > e->opt.retention_s &&
	    members_responsible_for(e, a->id)) {
		send_remove(e, a);
		return (e->close_op != 0);
	}
	return (false);
}

/*
 * Empties claims rows whose claims have all expired.  Uses CLOSE_AGENT with the
 * unchanged row of any agent.
 */
static void
trim_claims_rows(struct mlk_entry *e)
{
	uint64_t mask = 0;
	struct agent *a;
	uint32_t p;
	guint i;

	if (e->now < e->trim_at)
		return;
	e->trim_at = e->now + TRIM_NS;
	if (g_hash_table_size(e->lost_hashes) > 0)
		return;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if (e->part[p].mine && e->part[p].claims_saved > 0 &&
		    g_hash_table_size(e->part[p].claims) == 0)
			mask |= 1ULL << p;
	}
	for (i = 0; mask != 0 && i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		if (!a->has_row)
			continue;
		send_close(e, a, 0, 0, mask);
		return;
	}
}

static gboolean
claim_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct mlk_entry *e = arg;

	(void)key;
	return (!entry_retained(e, (int64_t)GPOINTER_TO_SIZE(value)));
}

/*
 * Removes expired ids sent to the agent, and its index once that has expired.
 */
static void
trim_agent(struct mlk_entry *e, struct agent *a)
{
	int64_t oldest = e->wall - e->opt.retention_s;
	guint n = 0;

	while (n < a->sent->len &&
	    g_array_index(a->sent, struct mlk_claim, n).saved_at < oldest)
		n++;
	if (n > 0 && n >= a->sent->len / 4)
		g_array_remove_range(a->sent, 0, n);
	if (a->index->len > 0 && e->now - a->index_at > retention_ns(e)) {
		g_array_set_size(a->index, 0);
		a->index_mask = 0;
	}
}

/*
 * Sets `known` for partitions that were taken over longer ago than the
 * retention period.  No agent holds a record from before the takeover any more,
 * whether or not it has answered FENCE.
 */
static void
mark_known_after_retention(struct mlk_entry *e)
{
	uint64_t old = 0;
	struct agent *a;
	uint32_t p;
	guint i;

	for (p = 0; p < MLK_PARTITIONS; p++) {
		if (e->part[p].mine &&
		    e->now - e->part[p].since > retention_ns(e))
			old |= 1ULL << p;
	}
	for (i = 0; (old & ~e->accounted) != 0 && i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		a->known |= old;
		e->accounts_dirty = true;
	}
}

/*
 * Removes claims, sent ids and indexes that are older than the retention
 * period.
 */
static void
expire_claims(struct mlk_entry *e)
{
	uint32_t p;
	guint i;

	for (p = 0; p < MLK_PARTITIONS; p++)
		(void)g_hash_table_foreach_remove(
		    e->part[p].claims, claim_expired, e);
	(void)g_hash_table_foreach_remove(e->lost_hashes, claim_expired, e);
	for (i = 0; i < e->agents->len; i++)
		trim_agent(e, g_ptr_array_index(e->agents, i));
	if (e->index_filter != NULL && e->now > e->index_until) {
		g_free(e->index_filter);
		e->index_filter = NULL;
	}
	mark_known_after_retention(e);
}

/*
 * Periodic work: expires claims and indexes, and starts the next write of a row
 * when none is in progress.
 */
void
accounts_service(struct mlk_entry *e)
{
	guint i;

	if (e->now >= e->expire_at) {
		e->expire_at = e->now + EXPIRE_NS;
		expire_claims(e);
	}
	records_service(e);
	if (e->close_op != 0 || !e->store_up || e->now < e->close_retry_at ||
	    e->owned == 0 || e->ownership_op != 0 || e->refresh_op != 0)
		return;
	for (i = 0; i < e->agents->len; i++) {
		if (write_row_if_due(e, g_ptr_array_index(e->agents, i)))
			return;
	}
	trim_claims_rows(e);
}

/*
 * Applies a successful CLOSE_AGENT to the known row.  A row of another version
 * that was read in the meantime is newer than the write, and is left as it is.
 */
static void
apply_written_bits(struct mlk_entry *e, struct agent *a)
{
	if (a->row.row_version != e->close_version) {
		e->agents_stale = true;
		return;
	}
	a->row.row_version++;
	a->row.complete |= e->close_complete;
	a->row.closed |= e->close_closed;
	if (e->close_closed == 0)
		return;
	if (a->row.closed_at == 0)
		a->row.closed_at = e->wall;
	entry_log_agent(e, MLK_LOG_NOTICE, a, "lost incarnation closed");
}

static void
close_succeeded(struct mlk_entry *e, struct agent *a)
{
	uint32_t p;

	if (e->close_removes) {
		a->has_row = false;
		a->known = UINT64_MAX;
		e->accounts_dirty = true;
		return;
	}
	apply_written_bits(e, a);
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if ((e->close_claims & (1ULL << p)) == 0)
			continue;
		e->part[p].claims_version++;
		e->part[p].claims_saved = g_hash_table_size(e->part[p].claims) +
		    g_hash_table_size(e->lost_hashes);
	}
}

/*
 * The answer to CLOSE_AGENT or REMOVE_AGENT.  After a conflict or a lost answer
 * the rows are read again before the next write is decided on.
 */
void
accounts_close_reply(struct mlk_entry *e, const struct mlk_event *ev)
{
	const struct mlk_store_view *view = ev->u.store.view;
	struct agent *a = members_agent(e, e->close_agent);
	uint32_t i;

	e->close_op = 0;
	if (ev->u.store.status == MLK_STORE_OK) {
		close_succeeded(e, a);
	} else {
		e->agents_stale = true;
		e->close_retry_at = e->now + CLOSE_RETRY_NS;
	}
	if (view == NULL)
		return;
	if (view->has_ownership)
		ownership_apply_view(e, view);
	for (i = 0; i < view->nagents; i++) {
		if (strcmp(view->agents[i].id, a->id) == 0 &&
		    view->agents[i].row_version >= a->row.row_version)
			a->row = view->agents[i];
	}
	for (i = 0; i < view->nclaims; i++)
		load_claims(e, &view->claims[i], false);
}
