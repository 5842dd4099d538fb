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
 * Tells an entry which version this agent holds.
 */
static void
send_version(struct mlk_runner *r, struct entry *e)
{
	struct mlk_msg *msg;

	msg = runner_send(r, e, MLK_MSG_EVACUATIONS);
	msg->u.evacuations.version = r->evacuations.version;
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

	(void)evacuations_adopt(&r->evacuations, set, r->now);
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
	send_version(r, e);
}

/*
 * An entry has shown the version that it holds.  One that holds a higher
 * version gets the one of this agent, and sends the set.
 */
void
runner_evacuations_shown(
    struct mlk_runner *r, struct entry *e, uint64_t version)
{
	if (version > r->evacuations.version)
		send_version(r, e);
}
