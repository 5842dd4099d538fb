/*
 * Records that agents saved in the table service at a planned stop
 * (docs/design.md, section 4, rule 12).
 *
 * An owner that takes over a partition reads the saved records that are within
 * the retention period.  It reads one at a time, since the record of a busy
 * agent has up to 32,768 hashes.  The hashes become claims; until they have,
 * the agent is not accounted for in the partition.
 */
#include <string.h>

#include "entry_impl.h"

#define RECORD_RETRY_NS (200 * MLK_NSEC_PER_MSEC)

/*
 * Returns the partitions for which the agent's saved record must still be read.
 * Returns 0 if there is none, or if it is older than the retention period,
 * since it then names no id that can be submitted again.
 */
uint64_t
records_unread(const struct mlk_entry *e, const struct agent *a)
{
	if (!a->has_row || a->row.record_at == 0 ||
	    !entry_retained(e, a->row.record_at))
		return (0);
	return (
	    a->record_seen == a->row.record_at ? ~a->record_read : UINT64_MAX);
}

/*
 * Starts the next read of a saved record if one is due and none is in progress.
 */
void
records_service(struct mlk_entry *e)
{
	struct mlk_store_op *op;
	struct agent *a;
	uint64_t wanted;
	guint i;

	if (e->record_op != 0 || !e->store_up || e->now < e->record_retry_at)
		return;
	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		wanted = e->owned & ~a->known & records_unread(e, a);
		if (wanted == 0)
			continue;
		op = entry_store(e, MLK_STORE_READ_RECORD, &e->record_op);
		if (op == NULL)
			return;
		memcpy(op->subject, a->id, sizeof(op->subject));
		e->record_agent = a->handle;
		e->record_mask = wanted;
		return;
	}
}

/*
 * Adds claims for the retained hashes in the partitions of the mask.
 */
static void
claim_hashes(
    struct mlk_entry *e, uint64_t mask, const struct mlk_record_row *record)
{
	const struct mlk_saved_hash *h;
	uint32_t i, p;

	for (i = 0; i < record->n; i++) {
		h = &record->hashes[i];
		p = mlk_hash32_partition(h->hash);
		if ((mask >> p & 1) != 0 && entry_retained(e, h->saved_at))
			accounts_claim_hash(e, h->hash, h->saved_at);
	}
}

/*
 * Applies a saved record that was read together with its agent's row.
 */
static void
apply_saved_record(
    struct mlk_entry *e, struct agent *a, const struct mlk_store_view *view)
{
	const struct mlk_agent_row *row = &view->agents[0];

	if (a->has_row && row->row_version < a->row.row_version)
		return;
	if (a->record_seen != row->record_at)
		a->record_read = 0;
	a->row = *row;
	a->has_row = true;
	a->row_read_at = e->now;
	a->record_seen = row->record_at;
	claim_hashes(e, e->record_mask & e->owned, &view->record);
	a->record_read |= e->record_mask & e->owned;
	accounts_mark_known(e, a);
}

/*
 * Handles the reply to READ_RECORD and starts the next read.  Returns false
 * for other operations.  When the row names a record that is missing, the
 * agent stays unaccounted for.  When the row is gone, the next read of all
 * agent rows shows that.
 */
bool
records_store_reply(struct mlk_entry *e, const struct mlk_event *ev)
{
	const struct mlk_store_view *view = ev->u.store.view;
	struct agent *a;

	if (ev->u.store.id == 0 || ev->u.store.id != e->record_op)
		return (false);
	e->record_op = 0;
	a = members_agent(e, e->record_agent);
	if (ev->u.store.status == MLK_STORE_OK && view != NULL &&
	    view->nagents == 1 && view->has_record) {
		apply_saved_record(e, a, view);
	} else {
		e->record_retry_at = e->now + RECORD_RETRY_NS;
		e->agents_stale = true;
	}
	records_service(e);
	return (true);
}
