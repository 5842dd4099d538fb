/*
 * Configuration: propagation of versions, plans, confirms, audit, status.
 *
 * A version is applied only when it is higher than the current one.  A confirm
 * first looks for its digest in the audit trail, then writes on the condition
 * that the configuration has not changed.  If the result of the write is
 * unclear it starts over, so that a write that took effect is found by its
 * digest.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"

/* A confirm that is not decided after this time is answered UNAVAILABLE. */
#define CONFIRM_LIMIT_NS (10 * MLK_NSEC_PER_SEC)
#define CONFIRM_RETRY_NS (200 * MLK_NSEC_PER_MSEC)
#define STATUS_LINES 24
/*
 * At most this many agents get the configuration in one event, which bounds
 * memory: each copy of a document with 170 teams takes 162 KB until it is
 * encoded.
 */
#define PROPAGATE_AGENTS 16

static void
send_config(struct mlk_entry *e, struct entry_link *l)
{
	struct mlk_msg *m;

	m = entry_send(e, l, MLK_MSG_CONFIG);
	if (m == NULL)
		return;
	if (mlk_config_copy(&m->u.config, &e->config) != 0)
		e->nomem = true;
	l->config_version = e->config.version;
}

/*
 * Notes the version that the other side of a link has.  Sends CONFIG if it is
 * lower than the version here, and asks for a poll if it is higher.
 */
void
config_compare(struct mlk_entry *e, struct entry_link *l, uint64_t version)
{
	l->config_version = version;
	if (version < e->config.version)
		send_config(e, l);
	else if (version > e->config.version)
		e->poll_wanted = true;
}

static struct mlk_admin_reply *
admin_reply(struct mlk_entry *e, uint64_t request, enum mlk_admin_type type)
{
	struct mlk_effect *fx;

	fx = mlk_effects_push(e->out, MLK_FX_REPLY_ADMIN);
	if (fx == NULL) {
		e->nomem = true;
		return (NULL);
	}
	fx->u.admin.request = request;
	fx->u.admin.reply.type = type;
	fx->u.admin.reply.config_version = e->config.version;
	return (&fx->u.admin.reply);
}

static void
reply_config(struct mlk_entry *e, uint64_t request, enum mlk_admin_type type)
{
	struct mlk_admin_reply *reply = admin_reply(e, request, type);

	if (reply != NULL && mlk_config_copy(&reply->config, &e->config) != 0)
		reply->code = MLK_ERR_NOMEM;
}

static void
reply_code(struct mlk_entry *e, uint64_t request, enum mlk_admin_type type,
    int code, const char *text)
{
	struct mlk_admin_reply *reply = admin_reply(e, request, type);

	if (reply == NULL)
		return;
	reply->code = code;
	(void)g_strlcpy(reply->message, text, sizeof(reply->message));
}

/*
 * Sends the configuration to all peers with a lower version, and to up to
 * PROPAGATE_AGENTS such agents for which this entry is responsible; the next
 * tick continues.  Other entries send it to an agent only when its heartbeat
 * shows a lower version, so an agent gets it within a heartbeat interval even
 * if the responsible entry fails.
 */
void
config_propagate(struct mlk_entry *e)
{
	struct entry_link *l;
	GHashTableIter iter;
	uint32_t sent = 0;
	gpointer value;

	if (!e->config_propagating)
		return;
	g_hash_table_iter_init(&iter, e->links);
	while (sent < PROPAGATE_AGENTS &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		l = value;
		if (l->kind == LINK_NEW ||
		    l->config_version >= e->config.version)
			continue;
		if (l->kind == LINK_AGENT) {
			if (!members_responsible_for(e, l->agent->id))
				continue;
			sent++;
		}
		send_config(e, l);
	}
	e->config_propagating = sent == PROPAGATE_AGENTS;
}

static void
answer_watchers(struct mlk_entry *e)
{
	struct watcher *w;
	guint i = 0;

	while (i < e->watchers->len) {
		w = &g_array_index(e->watchers, struct watcher, i);
		if (w->base_version >= e->config.version) {
			i++;
			continue;
		}
		reply_config(e, w->request, MLK_ADMIN_WATCH);
		g_array_remove_index_fast(e->watchers, i);
	}
}

/*
 * Applies a configuration if its version is higher than the current one, and
 * propagates it.
 */
void
config_apply(struct mlk_entry *e, const struct mlk_config *config)
{
	struct mlk_config copy;

	if (config->version <= e->config.version)
		return;
	if (mlk_config_copy(&copy, config) != 0) {
		e->nomem = true;
		return;
	}
	mlk_config_clear(&e->config);
	e->config = copy;
	mlk_sched_configure(e->sched, &e->config, e->wall);
	entry_log(e, MLK_LOG_NOTICE, "configuration %" PRIu64 " applied",
	    e->config.version);
	e->config_propagating = true;
	config_propagate(e);
	answer_watchers(e);
}

/*
 * Applies the configuration row of a view.
 */
void
config_apply_view(struct mlk_entry *e, const struct mlk_store_view *view)
{
	if (view->config.version < e->config.version)
		return;
	e->config_row_version = view->config_row_version;
	e->has_config_row = true;
	config_apply(e, &view->config);
}

/* ---- confirm --------------------------------------------------------- */

static void
confirm_end(struct mlk_entry *e, struct confirm *c)
{
	(void)g_ptr_array_remove(e->confirms, c);
	g_free(c);
}

static void
confirm_check(struct mlk_entry *e, struct confirm *c)
{
	c->state = CONFIRM_CHECKING;
	if (entry_store(e, MLK_STORE_AUDIT, &c->op) == NULL) {
		c->state = CONFIRM_WAITING;
		c->retry_at = e->now + CONFIRM_RETRY_NS;
	}
}

static void
confirm_wait(struct mlk_entry *e, struct confirm *c)
{
	c->op = 0;
	c->state = CONFIRM_WAITING;
	c->retry_at = e->now + CONFIRM_RETRY_NS;
}

/*
 * Clears an intent's id if a plan generated it from the base version, so that
 * the next plan generates a new one.  Otherwise it could equal the id of the
 * change that was confirmed first.
 */
static void
clear_derived_id(struct mlk_intent *in, uint64_t base_version)
{
	char derived[MLK_NAME_MAX];

	(void)snprintf(derived, sizeof(derived), "v%" PRIu64 "-%s",
	    base_version + 1, mlk_intent_type_name(in->type));
	if (strcmp(in->id, derived) == 0)
		in->id[0] = '\0';
}

/*
 * Answers CONFLICT with a new plan that is based on the current version.
 */
static void
confirm_conflict(struct mlk_entry *e, struct confirm *c, const char *text)
{
	struct mlk_admin_reply *reply;
	struct mlk_error err = { 0 };

	reply = admin_reply(e, c->request, MLK_ADMIN_CONFIRM);
	if (reply != NULL) {
		reply->code = MLK_ERR_CONFLICT;
		(void)g_strlcpy(reply->message, text, sizeof(reply->message));
		if (!c->admin.change.remove)
			clear_derived_id(
			    &c->admin.change.intent, c->admin.base_version);
		if (mlk_plan_create(&e->config, &c->admin.change, e->wall,
			&reply->plan, &err) != 0)
			(void)g_strlcpy(
			    reply->message, err.msg, sizeof(reply->message));
	}
	confirm_end(e, c);
}

/*
 * Answers with the version that the plan created.  It is lower than the current
 * one if an older confirm is repeated.
 */
static void
confirm_success(struct mlk_entry *e, struct confirm *c, uint64_t version)
{
	struct mlk_admin_reply *reply;

	reply = admin_reply(e, c->request, MLK_ADMIN_CONFIRM);
	if (reply != NULL)
		reply->config_version = version;
	confirm_end(e, c);
}

static void
fill_audit(struct mlk_entry *e, const struct confirm *c,
    const struct mlk_plan *plan, struct mlk_audit_record *audit)
{
	audit->version = plan->result.version;
	audit->digest = plan->digest;
	audit->at = e->wall;
	memcpy(audit->author, c->admin.operator_name, sizeof(audit->author));
	audit->change = plan->change;
	if (plan->neffects > 0)
		memcpy(
		    audit->summary, plan->effects[0], sizeof(audit->summary));
}

/*
 * Writes the planned configuration and its audit record in one transaction, or
 * answers with an error if the plan does not match the current version.
 */
static void
confirm_write(struct mlk_entry *e, struct confirm *c)
{
	struct mlk_plan *plan = NULL;
	struct mlk_error err = { 0 };
	struct mlk_store_op *op;
	int code;

	if (c->admin.base_version != e->config.version) {
		confirm_conflict(e, c, "the base version is not current");
		return;
	}
	code =
	    mlk_plan_create(&e->config, &c->admin.change, e->wall, &plan, &err);
	if (code != 0) {
		reply_code(e, c->request, MLK_ADMIN_CONFIRM, code, err.msg);
		confirm_end(e, c);
		return;
	}
	if (!mlk_key_equal(plan->digest, c->admin.digest)) {
		mlk_plan_destroy(plan);
		confirm_conflict(e, c, "the digest is not of this change");
		return;
	}
	op = entry_store(e, MLK_STORE_CONFIRM, &c->op);
	if (op == NULL) {
		confirm_wait(e, c);
	} else {
		c->state = CONFIRM_WRITING;
		fill_audit(e, c, plan, &op->audit);
		op->config = plan->result;
		memset(&plan->result, 0, sizeof(plan->result));
		op->config.digest = plan->digest;
		op->config_row_version = e->config_row_version;
	}
	mlk_plan_destroy(plan);
}

static bool
has_audit(const struct mlk_store_view *view, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < view->naudits; i++) {
		if (view->audits[i].version == version)
			return (true);
	}
	return (false);
}

/*
 * Decides on a plan that is not in the audit trail.  A plan can only create the
 * version after its base, so it can no longer succeed if the trail has another
 * record for that version, or none for its base.  That this entry has another
 * version proves nothing: the entry may be behind, or a delayed write of this
 * plan may have taken effect after the read.
 */
static void
confirm_decide(
    struct mlk_entry *e, struct confirm *c, const struct mlk_store_view *view)
{
	uint64_t base = c->admin.base_version;
	bool made = base == 0 || has_audit(view, base);
	bool taken = has_audit(view, base + 1);

	if (taken ? e->config.version > base :
		    !made || e->config.version == base) {
		confirm_write(e, c);
		return;
	}
	e->poll_wanted = true;
	confirm_wait(e, c);
}

/*
 * The answer to AUDIT: the confirm has succeeded if the trail has its digest.
 */
static void
confirm_checked(
    struct mlk_entry *e, struct confirm *c, const struct mlk_event *ev)
{
	const struct mlk_store_view *view = ev->u.store.view;
	uint32_t i;

	if (ev->u.store.status != MLK_STORE_OK || view == NULL) {
		confirm_wait(e, c);
		return;
	}
	for (i = 0; i < view->naudits; i++) {
		if (!mlk_key_equal(view->audits[i].digest, c->admin.digest))
			continue;
		/* The version that it created is applied before the answer. */
		if (view->audits[i].version > e->config.version) {
			e->poll_wanted = true;
			confirm_wait(e, c);
		} else {
			confirm_success(e, c, view->audits[i].version);
		}
		return;
	}
	confirm_decide(e, c, view);
}

/*
 * The answer to CONFIRM.  If the write did not succeed, the audit trail is
 * checked again.
 */
static void
confirm_written(
    struct mlk_entry *e, struct confirm *c, const struct mlk_event *ev)
{
	const struct mlk_store_view *view = ev->u.store.view;

	if (view != NULL && view->has_config)
		config_apply_view(e, view);
	if (mlk_key_equal(e->config.digest, c->admin.digest) &&
	    e->config.version > c->admin.base_version) {
		confirm_success(e, c, e->config.version);
		return;
	}
	e->poll_wanted = true;
	confirm_wait(e, c);
}

static void
confirm_start(struct mlk_entry *e, uint64_t request,
    const struct mlk_admin_request *admin)
{
	struct confirm *c;

	c = g_new0(struct confirm, 1);
	c->request = request;
	c->admin = *admin;
	c->since = e->now;
	g_ptr_array_add(e->confirms, c);
	if (e->config.version > 0 &&
	    mlk_key_equal(e->config.digest, admin->digest)) {
		confirm_success(e, c, e->config.version);
		return;
	}
	confirm_check(e, c);
}

/* ---- other operator requests ----------------------------------------- */

static bool
has_dc(const struct mlk_entry *e, const char *dc)
{
	const struct agent *a;
	guint i;

	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		if (a != NULL && strcmp(a->dc, dc) == 0)
			return (true);
	}
	return (false);
}

/*
 * Adds a warning to a plan that names a worker or a data centre unknown to this
 * entry, since the name is probably misspelt.
 */
static void
warn_unknown_name(const struct mlk_entry *e, struct mlk_plan *plan)
{
	const struct mlk_intent *in = &plan->change.intent;
	const char *what = NULL, *name = in->subject;

	if (plan->change.remove)
		return;
	if (in->type == MLK_INTENT_DRAIN_WORKER ||
	    in->type == MLK_INTENT_AVOID_WORKER) {
		if (!g_hash_table_contains(e->agent_by_id, name))
			what = "worker";
	} else if (in->type == MLK_INTENT_DRAIN_DC ||
	    in->type == MLK_INTENT_PREFER_DC) {
		if (in->type == MLK_INTENT_PREFER_DC)
			name = in->target;
		if (!has_dc(e, name))
			what = "data centre with workers";
	}
	if (what != NULL)
		mlk_plan_add_line(plan,
		    "warning: no %s of the name %s is known here", what, name);
}

static void
plan_reply(struct mlk_entry *e, uint64_t request,
    const struct mlk_admin_request *admin)
{
	struct mlk_admin_reply *reply;
	struct mlk_error err = { 0 };

	reply = admin_reply(e, request, MLK_ADMIN_PLAN);
	if (reply == NULL)
		return;
	reply->code = mlk_plan_create(
	    &e->config, &admin->change, e->wall, &reply->plan, &err);
	if (reply->code == 0) {
		warn_unknown_name(e, reply->plan);
		return;
	}
	(void)g_strlcpy(reply->message, err.msg, sizeof(reply->message));
}

static void __attribute__((format(printf, 3, 4)))
add_line(struct mlk_admin_reply *reply, const char *name, const char *fmt, ...)
{
	char value[96];
	va_list ap;

	if (reply->nlines == STATUS_LINES)
		return;
	va_start(ap, fmt);
	(void)vsnprintf(value, sizeof(value), fmt, ap);
	va_end(ap);
	(void)snprintf(reply->lines[reply->nlines++], sizeof(reply->lines[0]),
	    "%s\t%s", name, value);
}

/*
 * Adds the numbers of agents by state, as this entry sees them.  An ejected
 * agent is linked, and therefore also counted as live.
 */
static void
status_agents(
    const struct mlk_entry *e, struct mlk_admin_reply *reply, uint32_t ejected)
{
	uint32_t live = 0, leaving = 0, lapsing = 0, lost = 0;
	const struct agent *a;
	guint i;

	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		if (a == NULL)
			continue;
		switch (a->state) {
		case AGENT_ABSENT:
			lost++;
			break;
		case AGENT_LINKED:
			leaving += a->leaving;
			live += !a->leaving;
			break;
		case AGENT_LAPSING:
			lapsing++;
			break;
		case AGENT_LOST:
			lost++;
			break;
		}
	}
	add_line(reply, "agents_live", "%u", live);
	add_line(reply, "agents_leaving", "%u", leaving);
	add_line(reply, "agents_ejected", "%u", ejected);
	add_line(reply, "agents_lapsing", "%u", lapsing);
	add_line(reply, "agents_not_linked", "%u", lost);
}

/*
 * Answers STATUS with lines of name and value.
 */
static void
status_reply(struct mlk_entry *e, uint64_t request)
{
	struct mlk_admin_reply *reply;
	struct mlk_sched_stats stats;
	struct mlk_entry_gauges g;

	reply = admin_reply(e, request, MLK_ADMIN_STATUS);
	if (reply == NULL)
		return;
	reply->lines = calloc(STATUS_LINES, sizeof(*reply->lines));
	if (reply->lines == NULL) {
		reply->code = MLK_ERR_NOMEM;
		return;
	}
	mlk_entry_gauges(e, &g);
	mlk_sched_stats(e->sched, &stats);
	add_line(reply, "entry", "%s", e->opt.self.id);
	add_line(reply, "dc", "%s", e->opt.self.dc);
	add_line(reply, "ready", "%s", g.ready ? "yes" : "no");
	add_line(reply, "store", "%s", e->store_up ? "up" : "down");
	add_line(reply, "config_version", "%" PRIu64, g.config_version);
	add_line(reply, "ownership_version", "%" PRIu64, g.ownership_version);
	add_line(reply, "partitions_owned", "%u", g.partitions_owned);
	add_line(reply, "partitions_serving", "%u", g.partitions_serving);
	status_agents(e, reply, stats.ejected);
	add_line(reply, "peers", "%u", g.peers);
	add_line(reply, "jobs_running", "%u", g.jobs_running);
	add_line(reply, "jobs_retained", "%u", g.jobs_retained);
	add_line(reply, "tasks_queued_short", "%u", stats.queued_short);
	add_line(reply, "tasks_queued_long", "%u", stats.queued_long);
	add_line(reply, "tasks_in_flight", "%u", g.tasks_in_flight);
}

static void
audit_start(struct mlk_entry *e, uint64_t request)
{
	uint64_t op;

	if (entry_store(e, MLK_STORE_AUDIT, &op) == NULL) {
		reply_code(e, request, MLK_ADMIN_AUDIT, MLK_ERR_NOMEM,
		    "out of memory");
	} else {
		(void)g_hash_table_insert(e->audits, g_memdup2(&op, sizeof(op)),
		    g_memdup2(&request, sizeof(request)));
	}
}

static void
audit_done(struct mlk_entry *e, const struct mlk_event *ev, uint64_t request)
{
	const struct mlk_store_view *view = ev->u.store.view;
	struct mlk_admin_reply *reply;

	if (ev->u.store.status != MLK_STORE_OK || view == NULL) {
		reply_code(e, request, MLK_ADMIN_AUDIT, MLK_ERR_UNAVAILABLE,
		    "the table service is unavailable");
		return;
	}
	reply = admin_reply(e, request, MLK_ADMIN_AUDIT);
	if (reply == NULL)
		return;
	reply->audits =
	    entry_copy(e, view->audits, view->naudits * sizeof(*view->audits));
	reply->naudits = reply->audits == NULL ? 0 : view->naudits;
}

/*
 * Handles an operator's request, or a watch on the configuration.
 */
void
config_admin(struct mlk_entry *e, uint64_t request,
    const struct mlk_admin_request *admin)
{
	struct watcher w = { request, admin->base_version };

	switch (admin->type) {
	case MLK_ADMIN_INTENTS:
		reply_config(e, request, MLK_ADMIN_INTENTS);
		break;
	case MLK_ADMIN_PLAN:
		plan_reply(e, request, admin);
		break;
	case MLK_ADMIN_CONFIRM:
		confirm_start(e, request, admin);
		break;
	case MLK_ADMIN_AUDIT:
		audit_start(e, request);
		break;
	case MLK_ADMIN_STATUS:
		status_reply(e, request);
		break;
	case MLK_ADMIN_WATCH:
		g_array_append_val(e->watchers, w);
		answer_watchers(e);
		break;
	}
}

/*
 * Removes the watch of a request whose connection has closed.  Confirms go on;
 * the program discards their answer.
 */
void
config_request_closed(struct mlk_entry *e, uint64_t request)
{
	guint i;

	for (i = 0; i < e->watchers->len; i++) {
		if (g_array_index(e->watchers, struct watcher, i).request !=
		    request)
			continue;
		g_array_remove_index_fast(e->watchers, i);
		return;
	}
}

/*
 * Handles the answers to AUDIT and CONFIRM.  Returns false for other
 * operations.
 */
bool
config_store_reply(struct mlk_entry *e, const struct mlk_event *ev)
{
	uint64_t id = ev->u.store.id;
	struct confirm *c;
	uint64_t *request;
	uint64_t number;
	guint i;

	request = g_hash_table_lookup(e->audits, &id);
	if (request != NULL) {
		number = *request;
		(void)g_hash_table_remove(e->audits, &id);
		audit_done(e, ev, number);
		return (true);
	}
	for (i = 0; i < e->confirms->len; i++) {
		c = g_ptr_array_index(e->confirms, i);
		if (c->op != id)
			continue;
		if (c->state == CONFIRM_WRITING)
			confirm_written(e, c, ev);
		else
			confirm_checked(e, c, ev);
		return (true);
	}
	return (false);
}

/*
 * Reconfigures the scheduler after the expiry of an intent, which does not
 * create a new version.
 */
static void
expire_intents(struct mlk_entry *e)
{
	const struct mlk_intent *intent;
	bool expired = false;
	uint32_t i;

	for (i = 0; i < e->config.nintents; i++) {
		intent = &e->config.intents[i];
		expired = expired ||
		    (intent->expires > e->configured_wall &&
			intent->expires <= e->wall);
	}
	e->configured_wall = e->wall;
	if (expired)
		mlk_sched_configure(e->sched, &e->config, e->wall);
}

/*
 * Periodic work: expires intents and retries waiting confirms.  A confirm that
 * has waited for CONFIRM_LIMIT_NS is answered with UNAVAILABLE: its result is
 * unknown, and the operator may repeat it.
 */
void
config_service(struct mlk_entry *e)
{
	struct confirm *c;
	guint i = e->confirms->len;

	expire_intents(e);
	while (i-- > 0) {
		c = g_ptr_array_index(e->confirms, i);
		if (c->state != CONFIRM_WAITING || e->now < c->retry_at)
			continue;
		if (e->now - c->since < CONFIRM_LIMIT_NS) {
			confirm_check(e, c);
			continue;
		}
		reply_code(e, c->request, MLK_ADMIN_CONFIRM,
		    MLK_ERR_UNAVAILABLE,
		    "the table service is unavailable; repeat the confirm");
		confirm_end(e, c);
	}
}

/*
 * Returns whether an operator's request is not yet answered.  Watches do not
 * count, since their clients turn to another entry.
 */
bool
config_busy(const struct mlk_entry *e)
{
	return (e->confirms->len > 0 || g_hash_table_size(e->audits) > 0);
}

void
config_free(struct mlk_entry *e)
{
	guint i;

	for (i = 0; i < e->confirms->len; i++)
		g_free(g_ptr_array_index(e->confirms, i));
	g_ptr_array_free(e->confirms, TRUE);
	g_array_free(e->watchers, TRUE);
	g_hash_table_destroy(e->audits);
	mlk_config_clear(&e->config);
}
