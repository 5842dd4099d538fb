/*
 * Evacuated data centres at an agent.  In an evacuated data centre the agent
 * starts nothing, offers nothing and reports no free resources; runs that the
 * worker already has continue.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

/*
 * Tells whether the data centre of this agent is evacuated.
 */
bool
runner_evacuated(const struct mlk_runner *r)
{
	return (evacuations_find(&r->evacuations, r->options.dc) != NULL);
}

/*
 * Tells an entry which version this agent holds, unless it knows.
 */
static void
show_version(struct mlk_runner *r, struct entry *e)
{
	struct mlk_msg *msg;

	if (e->evacuations_shown >= r->evacuations.version)
		return;
	msg = runner_send(r, e, MLK_MSG_EVACUATIONS);
	msg->u.evacuations.version = r->evacuations.version;
	e->evacuations_shown = r->evacuations.version;
}

/*
 * Handles a set of evacuated data centres: uses it if its version is higher,
 * and confirms the version in force.
 */
void
runner_evacuations(
    struct mlk_runner *r, struct entry *e, const struct mlk_evacuations *set)
{
	bool before = runner_evacuated(r), now;

	if (evacuations_adopt(&r->evacuations, set, r->now) ==
	    EVACUATIONS_CHANGED)
		r->evacuations_changed = r->evacuations.version;
	now = runner_evacuated(r);
	if (now != before) {
		if (now)
			r->counters.evacuated++;
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    now ? "data centre %s is evacuated, version %" PRIu64
			  ": nothing is started, %u runs continue" :
			  "data centre %s is no longer evacuated, version "
			  "%" PRIu64 ", %u runs at work",
		    r->options.dc, r->evacuations.version, r->nactive);
	}
	show_version(r, e);
}

/*
 * Tells every entry the version of a changed set.  Otherwise an entry that has
 * not held this set would not send the next one, if that equals its own.
 */
void
runner_evacuations_due(struct mlk_runner *r)
{
	struct entry *e;
	guint i;

	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->attached &&
		    e->evacuations_shown < r->evacuations_changed)
			show_version(r, e);
	}
}
