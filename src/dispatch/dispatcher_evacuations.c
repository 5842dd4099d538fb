/*
 * Evacuated data centres at an entry: the set in force, its distribution to
 * agents and peers, and the confirmations of agents.
 *
 * Agents and peers get a set when it changes, when they connect, and when they
 * show a lower version.  A higher version of the same set is taken over but
 * sent only to agents that hold a version between the two: on an installation
 * without evacuations, every start of an entry brings one.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

/*
 * Sends the set on a link, unless nothing is known.
 */
static void
send_set(struct mlk_dispatcher *d, uint32_t link)
{
	struct mlk_msg *msg;

	if (d->evacuations.version == 0)
		return;
	msg = dispatch_send(d, link, MLK_MSG_EVACUATIONS);
	evacuations_copy(&d->evacuations, &msg->u.evacuations);
}

/*
 * Sends the set to an agent that has not been sent this version.
 */
static void
send_to_agent(struct mlk_dispatcher *d, struct agent *a)
{
	if (a->evacuations_sent >= d->evacuations.version)
		return;
	send_set(d, a->link);
	a->evacuations_sent = d->evacuations.version;
	a->last_sent = d->now;
}

/*
 * An agent has attached: it gets the set before it can get a RUN.
 */
void
dispatch_evacuations_attached(struct mlk_dispatcher *d, struct agent *a)
{
	a->evacuations_sent = 0;
	a->evacuations_confirmed = 0;
	a->evacuated = evacuations_find(&d->evacuations, a->dc) != NULL;
	send_to_agent(d, a);
}

/*
 * Sends the set to a peer that has shown a lower version; 0 for a peer that has
 * just connected.
 */
void
dispatch_evacuations_newer(
    struct mlk_dispatcher *d, uint32_t link, uint64_t version)
{
	if (version < d->evacuations.version)
		send_set(d, link);
}

static void
log_changes(struct mlk_dispatcher *d, const struct evacuations *before)
{
	struct mlk_evacuation_status status;
	const struct evacuated *item, *other;
	guint i;

	for (i = 0; i < d->evacuations.items->len; i++) {
		item =
		    &g_array_index(d->evacuations.items, struct evacuated, i);
		other = evacuations_find(before, item->dc);
		if (other != NULL && other->version == item->version)
			continue;
		dispatch_evacuation_status(d, item, &status);
		dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
		    "data centre %s evacuated, version %" PRIu64
		    ": %u agents attached, %u tasks running there",
		    item->dc, d->evacuations.version, status.agents,
		    status.running);
		free(status.unconfirmed);
	}
	for (i = 0; i < before->items->len; i++) {
		item = &g_array_index(before->items, struct evacuated, i);
		if (evacuations_find(&d->evacuations, item->dc) != NULL)
			continue;
		dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
		    "evacuation of data centre %s cancelled after %" PRId64
		    " ms, version %" PRIu64,
		    item->dc, (d->now - item->since) / MS,
		    d->evacuations.version);
	}
}

/*
 * Sends a set that has changed.  Agents that may get work again are looked at
 * in the next pass over the queue.
 */
static void
distribute(struct mlk_dispatcher *d)
{
	const struct peer *p;
	struct agent *a;
	bool before;
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		before = a->evacuated;
		a->evacuated = evacuations_find(&d->evacuations, a->dc) != NULL;
		if (a->link == 0)
			continue;
		send_to_agent(d, a);
		if (before && !a->evacuated)
			g_ptr_array_add(d->updated_agents, a);
	}
	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (p->link != 0)
			send_set(d, p->link);
	}
}

/*
 * Sends the set to the agents that have shown a version above `version`, which
 * this entry held: theirs may be another set.
 */
static void
send_to_agents_ahead(struct mlk_dispatcher *d, uint64_t version)
{
	struct agent *a;
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (a->link != 0 && a->evacuations_confirmed > version)
			send_to_agent(d, a);
	}
}

/*
 * Puts a set from the store or from a peer in force if its version is higher,
 * and sends it to all agents and peers if it differs.
 */
void
dispatch_evacuations(
    struct mlk_dispatcher *d, const struct mlk_evacuations *set)
{
	struct evacuations before = d->evacuations;

	before.items = g_array_copy(d->evacuations.items);
	switch (evacuations_adopt(&d->evacuations, set, d->now)) {
	case EVACUATIONS_IGNORED:
		break;
	case EVACUATIONS_SAME:
		send_to_agents_ahead(d, before.version);
		break;
	case EVACUATIONS_CHANGED:
		d->counters.evacuations++;
		distribute(d);
		log_changes(d, &before);
		d->place_due = true;
		break;
	}
	(void)g_array_free(before.items, TRUE);
}

/*
 * Logs when the last agent of an evacuated data centre has confirmed.
 */
static void
note_confirmed(struct mlk_dispatcher *d, const char *dc)
{
	struct mlk_evacuation_status status;
	struct evacuated *item;
	guint i;

	for (i = 0; i < d->evacuations.items->len; i++) {
		item =
		    &g_array_index(d->evacuations.items, struct evacuated, i);
		if (item->confirmed || strcmp(item->dc, dc) != 0)
			continue;
		dispatch_evacuation_status(d, item, &status);
		if (status.nunconfirmed == 0) {
			item->confirmed = true;
			dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
			    "evacuation of data centre %s confirmed by all %u "
			    "agents after %" PRId64 " ms",
			    dc, status.agents, (d->now - item->since) / MS);
		}
		free(status.unconfirmed);
	}
}

/*
 * An agent tells which version it holds, and gets the set if it holds a lower
 * one than this entry.
 */
void
dispatch_evacuations_confirmed(
    struct mlk_dispatcher *d, struct agent *a, uint64_t version)
{
	a->evacuations_confirmed = MAX(a->evacuations_confirmed, version);
	a->last_recv = d->now;
	if (version < d->evacuations.version)
		send_to_agent(d, a);
	if (a->evacuated)
		note_confirmed(d, a->dc);
}

/*
 * Tells whether the pool has workers that accept work, but only in evacuated
 * data centres.
 */
bool
dispatch_pool_evacuated(const struct mlk_dispatcher *d, const char *pool)
{
	const struct agent *a;
	guint i;

	if (d->evacuations.items->len == 0 || dispatch_pool_ready(d, pool))
		return (false);
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (a->link != 0 && a->has_info && a->evacuated &&
		    dispatch_agent_takes_work(a) &&
		    strcmp(a->info.pool, pool) == 0)
			return (true);
	}
	return (false);
}

/*
 * Fills the status of an evacuated data centre.  The caller frees
 * status->unconfirmed.
 */
void
dispatch_evacuation_status(const struct mlk_dispatcher *d,
    const struct evacuated *item, struct mlk_evacuation_status *status)
{
	const struct agent *a;
	guint i;

	memset(status, 0, sizeof(*status));
	(void)g_strlcpy(status->dc, item->dc, sizeof(status->dc));
	status->version = item->version;
	status->since_ms = (uint64_t)((d->now - item->since) / MS);
	status->unconfirmed =
	    calloc(d->agents->len + 1, sizeof(*status->unconfirmed));
	if (status->unconfirmed == NULL)
		g_error("out of memory");
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (strcmp(a->dc, item->dc) != 0)
			continue;
		status->running += a->tasks->len;
		if (a->link == 0)
			continue;
		status->agents++;
		if (a->evacuations_confirmed >= item->version)
			continue;
		(void)g_strlcpy(status->unconfirmed[status->nunconfirmed++],
		    a->id, MLK_NAME_MAX);
	}
}

/*
 * Fills the gauges on evacuations.
 */
void
dispatch_evacuations_gauges(
    const struct mlk_dispatcher *d, struct mlk_dispatch_gauges *out)
{
	const struct evacuated *item;
	const struct agent *a;
	guint i;

	out->evacuated = d->evacuations.items->len;
	out->evacuations_version = d->evacuations.version;
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		item = evacuations_find(&d->evacuations, a->dc);
		if (item != NULL && a->link != 0 &&
		    a->evacuations_confirmed < item->version)
			out->evacuations_unconfirmed++;
	}
}

void
mlk_dispatcher_evacuations(
    const struct mlk_dispatcher *d, struct mlk_evacuation_report *out)
{
	const struct evacuated *item;
	guint i;

	memset(out, 0, sizeof(*out));
	out->version = d->evacuations.version;
	out->items = calloc(d->evacuations.items->len + 1, sizeof(*out->items));
	if (out->items == NULL)
		g_error("out of memory");
	for (i = 0; i < d->evacuations.items->len; i++) {
		item =
		    &g_array_index(d->evacuations.items, struct evacuated, i);
		dispatch_evacuation_status(d, item, &out->items[out->n++]);
	}
}

void
mlk_evacuation_report_clear(struct mlk_evacuation_report *report)
{
	uint32_t i;

	for (i = 0; i < report->n; i++)
		free(report->items[i].unconfirmed);
	free(report->items);
	memset(report, 0, sizeof(*report));
}
