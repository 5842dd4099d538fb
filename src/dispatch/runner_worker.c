/*
 * State of the worker: its announcements, boots and clock, and whether it
 * answers.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

/*
 * Records the worker's clock.  The first reading initialises the fence: fences
 * are derived from the clock, so that a later agent starts above an earlier
 * one.
 */
void
runner_note_clock(struct mlk_runner *r, int64_t clock_ms)
{
	struct worker *w = &r->worker;

	if (clock_ms <= 0)
		return;
	w->clock_ms = clock_ms;
	w->clock_at = r->now;
	if (w->fence == 0) {
		w->fence = (uint64_t)clock_ms << FENCE_SHIFT;
		w->fence_unconfirmed = true;
	}
}

/*
 * Returns the local time at which a lease renewed now expires.
 */
int64_t
runner_lease_end(const struct mlk_runner *r)
{
	int64_t end = r->now + (int64_t)r->options.lease_ms * MS;
	const struct entry *e;
	const struct run *run;
	guint i;

	for (i = 0; i < r->runs->len; i++) {
		run = g_ptr_array_index(r->runs, i);
		if (run->stop_wanted)
			end = MIN(end, run->stop_at + LEASE_LIMIT_NS);
	}
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->nruns > 0 && e->attached)
			end = MIN(end, e->last_alive + LEASE_LIMIT_NS);
	}
	return (end);
}

/*
 * Returns the time at which a lease renewed now expires, in ms of the worker's
 * clock, or 0 when it has passed or the clock is unknown.  Sets *expired_at to
 * the local time by which this lease has certainly expired, or to 0.
 */
int64_t
runner_lease_until(struct mlk_runner *r, int64_t *expired_at)
{
	struct worker *w = &r->worker;
	int64_t elapsed_ms, lease_ns;

	lease_ns = runner_lease_end(r) - r->now;
	*expired_at = 0;
	if (w->clock_ms == 0 || lease_ns <= 0)
		return (0);
	*expired_at = r->now + lease_ns + lease_ns * LEASE_SLACK_PERCENT / 100 +
	    LEASE_SLACK_NS;
	elapsed_ms = (r->now - w->clock_at) / MS;
	return (
	    w->clock_ms + elapsed_ms * LIFE_CLOCK_RATE / 1000 + lease_ns / MS);
}

/*
 * Handles the boot number of a listing or an announcement.  A new boot has seen
 * no fence and numbers its ends from the start.  Under the same id it may have
 * runs that were started since it came up; runs that it does not list are lost.
 */
void
runner_note_boot(struct mlk_runner *r, uint64_t boot)
{
	struct worker *w = &r->worker;

	if (boot <= w->boot)
		return;
	if (w->boot != 0)
		runner_fence_raise(r, "the worker has restarted");
	w->boot = boot;
	life_begin(&w->life);
	w->fence_held = false;
	memset(&r->health, 0, sizeof(r->health));
	w->acked = 0;
	w->ack_sent = 0;
	w->list_clock_ms = 0;
	w->no_foreign_runs = false;
	w->fence_unconfirmed = true;
	r->counters.boots++;
	runner_log(
	    r, MLK_LOG_NOTICE, NULL, "boot %" PRIu64 " of the worker", boot);
}

/*
 * Uses the identity and the state of an announcement.
 */
static void
announcement_use(struct mlk_runner *r, const struct mlk_announcement *a)
{
	struct worker *w = &r->worker;
	bool draining;

	draining = a->info.state == MLK_WORKER_DRAINING &&
	    (!w->known || w->info.state != MLK_WORKER_DRAINING);
	if (!w->known || w->info.boot != a->info.boot ||
	    a->info.state != MLK_WORKER_DRAINING)
		w->left_at = 0;
	if (w->boot < a->info.boot)
		runner_note_boot(r, a->info.boot);
	/* Another worker; one that restarts under its id keeps its speed. */
	if (strcmp(w->info.id, a->info.id) != 0)
		memset(&r->speed, 0, sizeof(r->speed));
	if (!w->known)
		w->known_at = r->now;
	w->known = true;
	w->info = a->info;
	w->seq = a->seq;
	w->cold_until = r->now + (int64_t)a->cold_ms * MS;
	runner_note_clock(r, a->clock_ms);
	if (draining) {
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "the worker is draining, %u runs active, %u ms remain",
		    r->nactive, a->remaining_ms);
	}
}

static bool
is_same_life(const struct mlk_worker_info *a, const struct mlk_worker_info *b)
{
	return (a->boot == b->boot && strcmp(a->id, b->id) == 0);
}

/*
 * Tells whether an announcement is out of date.  A delayed one may come from an
 * earlier boot, or from another worker that had this address before.
 */
static bool
is_out_of_date(const struct worker *w, const struct mlk_announcement *a)
{
	const struct candidate *c = &w->candidate;

	if (!w->known)
		return (false);
	if (is_same_life(&a->info, &w->info))
		return (a->seq <= w->seq);
	if (c->pending && is_same_life(&a->info, &c->announced.info))
		return (a->seq <= c->announced.seq);
	return (a->info.boot <= w->info.boot);
}

/*
 * Tells whether the identity of an announcement needs no confirmation: it is in
 * use, it is the first one, or a listing of this id has shown the boot.
 */
static bool
is_identity_known(const struct worker *w, const struct mlk_announcement *a)
{
	return (!w->known || is_same_life(&a->info, &w->info) ||
	    (a->info.boot == w->boot && strcmp(a->info.id, w->info.id) == 0));
}

/*
 * Handles an announcement.  Returns false when it is ignored.
 *
 * Other writers may send announcements too.  One under another id or boot is
 * therefore not used before the worker at the address confirms it; otherwise a
 * single one would hide the worker, whose own announcements have an earlier
 * boot.
 */
static bool
announcement_apply(struct mlk_runner *r, const struct mlk_announcement *a)
{
	struct worker *w = &r->worker;

	if (r->options.pool[0] != '\0' &&
	    strcmp(r->options.pool, a->info.pool) != 0) {
		r->counters.foreign++;
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "announcement %" PRIu64 " of %s ignored: pool %s, but the "
		    "settings name %s",
		    a->seq, a->info.id, a->info.pool, r->options.pool);
		return (false);
	}
	if (is_out_of_date(w, a)) {
		runner_log(r, MLK_LOG_INFO, NULL,
		    "announcement %" PRIu64 " of %s ignored: out of date",
		    a->seq, a->info.id);
		return (false);
	}
	if (is_identity_known(w, a)) {
		announcement_use(r, a);
		return (true);
	}
	w->candidate.pending = true;
	w->candidate.announced = *a;
	w->candidate.replaced = w->candidate.list != 0;
	w->candidate.list_after = r->now;
	return (true);
}

static void
push_ack(struct mlk_runner *r, uint64_t request, bool accepted)
{
	struct mlk_runner_effect *fx;

	fx = mlk_runner_push(r->out, MLK_RUNNER_FX_ACK);
	if (fx == NULL)
		g_error("out of memory");
	fx->u.ack.request = request;
	fx->u.ack.accepted = accepted;
}

void
runner_announced(struct mlk_runner *r, const struct mlk_announcement *a)
{
	push_ack(r, a->request, announcement_apply(r, a));
}

/*
 * Asks the worker for the announced identity that waits for confirmation.
 */
void
runner_candidate_due(struct mlk_runner *r)
{
	const struct candidate *c = &r->worker.candidate;

	if (c->pending && c->list == 0 && r->now >= c->list_after &&
	    !runner_superseded(r))
		runner_order_list_candidate(r);
}

/*
 * The worker has answered the listing for the candidate.  Its identity is
 * confirmed unless the worker has another id or boot.
 */
void
runner_candidate_listed(struct mlk_runner *r, const struct mlk_runner_event *ev)
{
	struct candidate *c = &r->worker.candidate;

	if (!c->pending)
		return;
	c->pending = false;
	if (ev->u.order.result == MLK_ORDER_OTHER_WORKER ||
	    (ev->u.order.boot != 0 &&
		ev->u.order.boot != c->announced.info.boot)) {
		r->counters.disowned++;
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "announcement %" PRIu64 " of %s ignored: the worker has "
		    "another id or boot",
		    c->announced.seq, c->announced.info.id);
		return;
	}
	announcement_use(r, &c->announced);
	r->worker.confirmed = true;
}

/*
 * The answer to an order shows another id or boot than the one in use.  If that
 * is the first one and has never been confirmed, it is dropped, and the next
 * announcement is used.
 */
void
runner_disowned(struct mlk_runner *r, const struct order *order)
{
	struct worker *w = &r->worker;

	if (!w->known || w->confirmed || order->sent_at < w->known_at)
		return;
	r->counters.disowned++;
	runner_log(r, MLK_LOG_NOTICE, NULL,
	    "the worker has another id or boot than %s; waiting for its "
	    "announcement",
	    w->info.id);
	w->known = false;
	w->boot = 0;
	life_begin(&w->life);
	memset(&w->info, 0, sizeof(w->info));
}

/*
 * Acknowledges the worker's notice that it exits, if that is still to be done.
 */
void
runner_ack_notice(struct mlk_runner *r)
{
	struct worker *w = &r->worker;

	if (!w->notice_pending)
		return;
	w->notice_pending = false;
	push_ack(r, w->notice, true);
}

/*
 * Tells whether a notice to exit under an id may be of this life of the worker,
 * which it doesn't say.  A worker drains before it exits, so a notice of one
 * that doesn't is a delayed one of an earlier life.
 */
static bool
may_exit(const struct mlk_worker_info *info, const char *id)
{
	return (
	    info->state == MLK_WORKER_DRAINING && strcmp(info->id, id) == 0);
}

/*
 * Handles the worker's notice that it exits.  It may go on for seconds, as the
 * acknowledgement may be lost, so the notice alone ends no run.
 */
void
runner_left(struct mlk_runner *r, const char *worker, uint64_t request)
{
	struct worker *w = &r->worker;

	if (may_exit(&w->candidate.announced.info, worker))
		w->candidate.pending = false;
	if (!w->known || !may_exit(&w->info, worker)) {
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "notice of %s that it leaves ignored: no such worker is "
		    "draining",
		    worker);
		push_ack(r, request, true);
		return;
	}
	runner_ack_notice(r);
	if (w->left_at == 0)
		w->left_at = r->now;
	w->notice = request;
	w->notice_pending = true;
	runner_log(r, MLK_LOG_NOTICE, NULL,
	    "the worker says that it leaves, %u runs active", r->nactive);
}

/*
 * Stops the runs of a worker that leaves, so that their tasks can be started
 * elsewhere as soon as their ends are listed, and then acknowledges its notice.
 */
void
runner_leave_due(struct mlk_runner *r)
{
	struct worker *w = &r->worker;
	guint i;

	if (w->left_at != 0) {
		for (i = r->runs->len; i > 0; i--)
			runner_run_stop(r, g_ptr_array_index(r->runs, i - 1),
			    MLK_RUN_STOPPED);
	}
	if (w->left_at == 0 || r->nactive == 0 ||
	    r->now - w->left_at >= LEAVE_ACK_NS)
		runner_ack_notice(r);
}

/*
 * Tells whether the worker has been unresponsive for so long that it must not
 * be offered to entries.
 */
bool
runner_away(const struct mlk_runner *r)
{
	const struct worker *w = &r->worker;

	return (w->unanswered_since != 0 &&
	    r->now - w->unanswered_since >= AWAY_NS);
}

/*
 * Handles an answer of the worker to any order.
 */
void
runner_answered(struct mlk_runner *r)
{
	struct worker *w = &r->worker;

	if (runner_away(r)) {
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "the worker answers again after %" PRId64 " ms",
		    (r->now - w->unanswered_since) / MS);
	}
	w->answered_at = r->now;
	w->unanswered_since = 0;
	w->not_sent = 0;
}

/*
 * An order got no answer; `sent` tells whether any of it may have arrived.
 *
 * That the worker accepts no connection does not prove that it has exited: it
 * may be overloaded, or a firewall may reject connections.  Its runs are kept
 * until a listing shows their ends or their leases have expired.
 */
void
runner_unanswered(struct mlk_runner *r, bool sent)
{
	struct worker *w = &r->worker;

	if (w->unanswered_since == 0)
		w->unanswered_since = r->now;
	if (sent) {
		w->not_sent = 0;
		return;
	}
	w->fence_unconfirmed = true;
	if (++w->not_sent == 1 && r->nactive > 0) {
		runner_log(r, MLK_LOG_INFO, NULL,
		    "no connection to the worker; %u runs wait for a listing "
		    "or the end of their leases",
		    r->nactive);
	}
}

/*
 * Tells whether every lease that the worker may have been granted has expired.
 */
static bool
leases_expired(const struct mlk_runner *r)
{
	const struct worker *w = &r->worker;
	const struct order *order;
	GHashTableIter iter;
	gpointer value;

	if (r->now < w->leases_expired_at)
		return (false);
	g_hash_table_iter_init(&iter, r->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		order = value;
		if (r->now < order->leases_expired_at)
			return (false);
	}
	return (true);
}

/*
 * Ends runs whose leases have certainly expired, and updates the state reported
 * to entries.
 */
void
runner_worker_due(struct mlk_runner *r)
{
	struct worker *w = &r->worker;
	enum mlk_worker_state state;
	struct entry *e;
	guint i;

	if (r->nactive > 0 && w->unanswered_since != 0 && leases_expired(r))
		runner_runs_lost(r,
		    "the worker does not answer, and every lease has run out");
	if (r->nactive > 0 && runner_superseded(r) && leases_expired(r)) {
		runner_runs_lost(r,
		    "another agent has the worker, and every lease has run "
		    "out");
	}
	/*
	 * No earlier agent has renewed a lease since this one started, so after
	 * the time of a lease none of its runs is left.
	 */
	if (!r->predecessor_done &&
	    r->now - r->claimed_at >= (int64_t)r->options.lease_ms * MS +
		    (int64_t)r->options.lease_ms * MS * LEASE_SLACK_PERCENT /
			100 +
		    LEASE_SLACK_NS)
		r->predecessor_done = true;
	state = runner_state(r);
	if (state == r->state)
		return;
	runner_log(r, MLK_LOG_INFO, NULL, "worker state %d -> %d",
	    (int)r->state, (int)state);
	r->state = state;
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		e->report_now = true;
	}
}
