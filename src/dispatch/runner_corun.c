/*
 * What the runner does to measure interference: it passes runs and their
 * progress to corun.c, reports the result to one entry, and tells all entries
 * which of the kinds named in verdicts are at the worker.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

#define REPORT_NS (1000 * MS)
/* Reports end this long after the last measured run has begun. */
#define IDLE_NS (10000 * MS)
/*
 * Between two reports of the kinds at the worker to an entry: the shortest
 * tasks last 50 ms, and the entry itself knows what it has sent.
 */
#define PRESENT_NS (100 * MS)
#define VERDICTS_NS (30000 * MS) /* entries repeat them every 5 s */

/*
 * Passes the utilisation of the worker on.
 */
void
runner_corun_load(struct mlk_runner *r)
{
	uint64_t cap = MAX(r->worker.info.capacity.cpu, 1);

	if (r->corun == NULL)
		return;
	corun_utilisation(r->corun,
	    (uint32_t)MIN(r->reserved.cpu * UINT64_C(1000) / cap, 1000),
	    r->now);
}

/*
 * A run has become active.
 */
void
runner_corun_begin(struct mlk_runner *r, struct run *run)
{
	if (r->corun == NULL || run->kind == 0)
		return;
	run->corun = corun_begin(
	    r->corun, run->kind, run->batch, run->expected_ms, r->now);
	r->kind_at = r->now;
}

/*
 * A listing has shown the progress of a run.
 */
void
runner_corun_progress(struct mlk_runner *r, const struct run *run)
{
	if (run->corun != NULL)
		corun_progress(r->corun, run->corun, run->health.percent,
		    r->health.state == HEALTH_OK, r->now);
}

/*
 * A run has ended, and its resources are released.  Stopped runs count by their
 * progress; how much of a failed or lost run was done is not known.
 */
void
runner_corun_end(struct mlk_runner *r, struct run *run, enum mlk_run_end end)
{
	bool usable;

	if (run->corun != NULL) {
		usable = r->health.state == HEALTH_OK &&
		    (end == MLK_RUN_DONE || end == MLK_RUN_STOPPED ||
			end == MLK_RUN_STALLED);
		corun_end(r->corun, run->corun, r->now - run->sent_at,
		    end == MLK_RUN_DONE ? 100 : run->health.percent, usable,
		    r->now);
		run->corun = NULL;
	}
	runner_corun_load(r);
}

static void
name_kind(struct mlk_runner *r, uint32_t kind)
{
	uint32_t i;

	for (i = 0; i < r->nnamed; i++) {
		if (r->named[i] == kind)
			return;
	}
	if (kind != 0 && r->nnamed < RUNNER_NAMED_MAX)
		r->named[r->nnamed++] = kind;
}

/*
 * Handles VERDICTS.
 */
void
runner_corun_verdicts(struct mlk_runner *r, const struct mlk_msg *msg)
{
	uint32_t before[RUNNER_NAMED_MAX], nbefore = r->nnamed, i;

	if (r->corun == NULL)
		return;
	corun_set_verdicts(r->corun, msg->u.verdicts.items, msg->u.verdicts.n);
	memcpy(before, r->named, sizeof(before));
	r->nnamed = 0;
	for (i = 0; i < msg->u.verdicts.n; i++) {
		name_kind(r, msg->u.verdicts.items[i].kind);
		name_kind(r, msg->u.verdicts.items[i].other);
	}
	r->named_until = r->now + VERDICTS_NS;
	if (r->nnamed != nbefore ||
	    memcmp(before, r->named, nbefore * sizeof(before[0])) != 0)
		r->named_changes++;
}

/*
 * Appends a CORUN message, which does not count as a report of the load.
 */
static struct mlk_msg *
send_corun(struct mlk_runner *r, struct entry *e, uint32_t n)
{
	int64_t last_sent = e->last_sent;
	struct mlk_msg *msg;

	msg = runner_send(r, e, MLK_MSG_CORUN);
	e->last_sent = last_sent;
	msg->u.corun.sent_at = runner_now_ms(r);
	msg->u.corun.items = calloc(n, sizeof(*msg->u.corun.items));
	if (msg->u.corun.items == NULL)
		g_error("out of memory");
	return (msg);
}

/*
 * Returns the attached entry with the smallest id, or NULL.
 */
static struct entry *
collector(const struct mlk_runner *r)
{
	struct entry *e, *first = NULL;
	guint i;

	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->attached && e->info.id[0] != '\0' &&
		    (first == NULL || strcmp(e->info.id, first->info.id) < 0))
			first = e;
	}
	return (first);
}

static void
report(struct mlk_runner *r)
{
	struct mlk_msg *msg;
	struct entry *e;

	if (r->kind_at == 0 || r->now - r->kind_at > IDLE_NS ||
	    r->now - r->corun_at < REPORT_NS)
		return;
	e = collector(r);
	if (e == NULL)
		return;
	r->corun_at = r->now;
	msg = send_corun(r, e, MLK_CORUN_MAX);
	msg->u.corun.n =
	    corun_report(r->corun, msg->u.corun.items, MLK_CORUN_MAX, r->now);
}

/*
 * Tells an entry which of the named kinds are at the worker, if that has
 * changed.  `present` has a bit for each of them.
 */
static void
report_present(struct mlk_runner *r, struct entry *e, uint32_t present)
{
	struct mlk_msg *msg;
	uint32_t i;

	if (e->present_link == e->link &&
	    e->present_changes == r->named_changes && e->present == present)
		return;
	if (e->present_link == e->link && r->now - e->present_at < PRESENT_NS)
		return;
	e->present_link = e->link;
	e->present_changes = r->named_changes;
	e->present = present;
	e->present_at = r->now;
	msg = send_corun(r, e, r->nnamed);
	for (i = 0; i < r->nnamed; i++) {
		msg->u.corun.items[i].kind = r->named[i];
		msg->u.corun.items[i].samples = present >> i & 1;
	}
	msg->u.corun.n = r->nnamed;
}

/*
 * Sends what is due to entries.
 */
void
runner_corun_due(struct mlk_runner *r)
{
	uint32_t i, present = 0;
	struct entry *e;

	if (r->corun == NULL)
		return;
	report(r);
	if (r->options.interference != MLK_INTERFERENCE_AVOID ||
	    r->nnamed == 0 || r->now >= r->named_until)
		return;
	for (i = 0; i < r->nnamed; i++)
		present |= (uint32_t)(corun_count(r->corun, r->named[i]) > 0)
		    << i;
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->attached)
			report_present(r, e, present);
	}
}
