/*
 * Interference between kinds of task at an entry: reports of agents, verdicts
 * made here or by the entry that decides, and what placement prefers because of
 * them.  docs/design/interference.md tells which messages pass.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"
#include "interference.h"

#define JUDGE_NS (1000 * MS)
#define RENEW_NS (5000 * MS) /* between VERDICTS to one agent */
/*
 * Agents report every 100 ms which kinds run there; until then, a kind counts
 * as present where this entry has sent it.
 */
#define SENT_NS (200 * MS)
/* The sender whose verdicts are used repeats them every second. */
#define SENDER_NS (5000 * MS)
#define CONFLICTS_MAX 16U /* other kinds that placement considers */
#define EXPLORE 16U /* one placement in so many ignores a scarce verdict */
#define NAMES_MAX 4096U
#define NAME_LEN (MLK_NAME_MAX + 8) /* route/step, including NUL */
/* Steps of the routes whose kinds are looked up without having been sent. */
#define LOOKUP_STEPS 4U

struct conflict {
	uint32_t kind;
	uint32_t loss; /* interference_loss() */
};

/* A kind that is or may be at an agent's worker. */
struct seen {
	uint32_t kind;
	bool reported;
	int64_t sent_at; /* 0: this entry has not sent it */
};

struct dispatch_interference {
	struct interference *verdicts;
	enum mlk_interference_mode mode;
	uint32_t npairs; /* pinned */
	struct mlk_route_pair *pairs;
	GHashTable *names; /* kind -> route/step */
	int64_t judge_at;
	char sender[MLK_NAME_MAX]; /* entry whose verdicts are used */
	int64_t sender_at;
	bool announced; /* peers hold verdicts of this entry */
	struct conflict conflicts[CONFLICTS_MAX]; /* of the kind to be placed */
	uint32_t nconflicts;
};

/*
 * Returns NULL when interference is not measured.
 */
struct dispatch_interference *
dispatch_interference_create(const struct mlk_dispatcher_options *options)
{
	struct dispatch_interference *x;

	if (options->interference == MLK_INTERFERENCE_OFF)
		return (NULL);
	x = g_new0(struct dispatch_interference, 1);
	x->verdicts = interference_create();
	x->mode = options->interference;
	x->npairs = options->npairs;
	if (options->npairs > 0)
		x->pairs = g_memdup2(
		    options->pairs, options->npairs * sizeof(*options->pairs));
	x->names =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return (x);
}

void
dispatch_interference_destroy(struct dispatch_interference *x)
{
	if (x == NULL)
		return;
	interference_destroy(x->verdicts);
	g_hash_table_destroy(x->names);
	g_free(x->pairs);
	g_free(x);
}

/*
 * Returns the number that all entries use for a route and a step, and its name.
 */
static uint32_t
kind_of(const char *route, uint32_t step, char name[NAME_LEN])
{
	uint32_t kind;

	(void)snprintf(name, NAME_LEN, "%s/%u", route, step);
	kind = (uint32_t)mlk_digest(name, strlen(name)).lo;
	return (kind == 0 ? 1 : kind);
}

static bool
is_of_route(const char *name, const char *route)
{
	size_t len = strlen(route);

	return (strncmp(name, route, len) == 0 && name[len] == '/' &&
	    strchr(name + len + 1, '/') == NULL);
}

/*
 * Pins a kind that this entry sends for the first time together with the known
 * kinds of the routes that it is pinned with.
 */
static void
pin_kind(struct dispatch_interference *x, const char *route, uint32_t kind)
{
	const char *with;
	gpointer key, name;
	GHashTableIter iter;
	uint32_t i;

	for (i = 0; i < x->npairs; i++) {
		if (strcmp(x->pairs[i].a, route) == 0)
			with = x->pairs[i].b;
		else if (strcmp(x->pairs[i].b, route) == 0)
			with = x->pairs[i].a;
		else
			continue;
		g_hash_table_iter_init(&iter, x->names);
		while (g_hash_table_iter_next(&iter, &key, &name)) {
			if (!is_of_route(name, with))
				continue;
			interference_pin(
			    x->verdicts, kind, GPOINTER_TO_UINT(key));
			interference_pin(
			    x->verdicts, GPOINTER_TO_UINT(key), kind);
		}
	}
}

/*
 * Returns the kind of the tasks of a step; 0: interference is not measured.
 */
uint32_t
dispatch_kind(struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	struct dispatch_interference *x = d->interference;
	char name[NAME_LEN];
	uint32_t kind;

	if (x == NULL)
		return (0);
	kind = kind_of(job->route, step, name);
	if (g_hash_table_lookup(x->names, GUINT_TO_POINTER(kind)) == NULL) {
		if (g_hash_table_size(x->names) >= NAMES_MAX)
			g_hash_table_remove_all(x->names);
		(void)g_hash_table_insert(
		    x->names, GUINT_TO_POINTER(kind), g_strdup(name));
		pin_kind(x, job->route, kind);
	}
	return (kind);
}

/*
 * Finds the name of a kind: one that this entry has sent, or one of the first
 * steps of a route.
 */
static void
kind_name(const struct mlk_dispatcher *d, uint32_t kind, char name[NAME_LEN])
{
	const char *known;
	uint32_t i, step;

	known =
	    g_hash_table_lookup(d->interference->names, GUINT_TO_POINTER(kind));
	if (known != NULL) {
		(void)g_strlcpy(name, known, NAME_LEN);
		return;
	}
	for (i = 0; i < d->routing.nroutes; i++) {
		for (step = 0; step < LOOKUP_STEPS; step++) {
			if (kind_of(d->routing.routes[i].name, step, name) ==
			    kind)
				return;
		}
	}
	(void)snprintf(name, NAME_LEN, "%08" PRIx32, kind);
}

static void
log_change(struct mlk_dispatcher *d, const struct interference_change *change)
{
	const struct mlk_verdict *v = &change->verdict;
	char kind[NAME_LEN], other[NAME_LEN], source[48] = "another entry";

	kind_name(d, v->kind, kind);
	kind_name(d, v->other, other);
	if (change->agents > 0)
		(void)snprintf(
		    source, sizeof(source), "%u agents", change->agents);
	switch (change->type) {
	case INTERFERENCE_MADE:
		d->counters.verdicts_made++;
		dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
		    "interference: %s takes %u.%03u times as long beside %s, "
		    "at least %u.%03u (%u samples, %s)",
		    kind, v->slowdown / 1000, v->slowdown % 1000, other,
		    v->bound / 1000, v->bound % 1000, v->samples, source);
		return;
	case INTERFERENCE_WITHDRAWN:
		d->counters.verdicts_withdrawn++;
		dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
		    "interference: %s beside %s withdrawn: %u.%03u times as "
		    "long (%u samples, %s)",
		    kind, other, v->slowdown / 1000, v->slowdown % 1000,
		    v->samples, source);
		return;
	case INTERFERENCE_EXPIRED:
		d->counters.verdicts_withdrawn++;
		dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
		    "interference: %s beside %s withdrawn: not measured any "
		    "more, last %u.%03u times as long",
		    kind, other, v->slowdown / 1000, v->slowdown % 1000);
		return;
	}
}

static void
log_changes(struct mlk_dispatcher *d, const struct interference_change *changes,
    uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		log_change(d, &changes[i]);
}

/*
 * Tells whether this entry makes the verdicts: it has the smallest id of all
 * linked entries.
 */
static bool
decides(const struct mlk_dispatcher *d)
{
	const struct peer *p;
	guint i;

	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (p->link != 0 && p->info.id[0] != '\0' &&
		    strcmp(p->info.id, d->options.self.id) < 0)
			return (false);
	}
	return (true);
}

static uint32_t
send_verdicts(struct mlk_dispatcher *d, uint32_t link)
{
	struct mlk_msg *msg;

	msg = dispatch_send(d, link, MLK_MSG_VERDICTS);
	msg->u.verdicts.sent_at = dispatch_now_ms(d);
	msg->u.verdicts.items =
	    calloc(MLK_VERDICTS_MAX, sizeof(*msg->u.verdicts.items));
	if (msg->u.verdicts.items == NULL)
		g_error("out of memory");
	msg->u.verdicts.n = interference_verdicts(
	    d->interference->verdicts, msg->u.verdicts.items);
	return (msg->u.verdicts.n);
}

/*
 * Sends the verdicts to an agent that has reported, if it does not hold them or
 * they are to be renewed.
 */
static void
answer_report(struct mlk_dispatcher *d, struct agent *a)
{
	struct interference *in = d->interference->verdicts;
	struct mlk_verdict verdicts[MLK_VERDICTS_MAX];
	uint32_t n = interference_verdicts(in, verdicts);

	if (a->verdicts_link != a->link) {
		a->verdicts_link = a->link;
		a->nverdicts = 0;
		a->verdicts_at = 0;
	}
	if (n == 0 && a->nverdicts == 0)
		return;
	if (a->verdicts_at != 0 && d->now - a->verdicts_at < RENEW_NS &&
	    a->verdicts_generation == interference_generation(in))
		return;
	a->verdicts_at = d->now;
	a->verdicts_generation = interference_generation(in);
	a->nverdicts = send_verdicts(d, a->link);
}

static struct seen *
seen_get(struct agent *a, uint32_t kind, bool add)
{
	struct seen fresh = { .kind = kind }, *s;
	guint i;

	for (i = 0; a->seen != NULL && i < a->seen->len; i++) {
		s = &g_array_index(a->seen, struct seen, i);
		if (s->kind == kind)
			return (s);
	}
	if (!add)
		return (NULL);
	if (a->seen == NULL)
		a->seen = g_array_new(FALSE, FALSE, sizeof(struct seen));
	if (a->seen->len >= MLK_CORUN_MAX)
		(void)g_array_set_size(a->seen, 0);
	(void)g_array_append_val(a->seen, fresh);
	return (&g_array_index(a->seen, struct seen, a->seen->len - 1));
}

/*
 * Handles CORUN: a report of pairs, or of the kinds that are at the worker.
 */
void
dispatch_corun(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg)
{
	const struct mlk_corun *rows = msg->u.corun.items;
	uint32_t i, n = msg->u.corun.n;

	a->last_recv = d->now;
	if (d->interference == NULL)
		return;
	if (n == 0 || rows[0].other != 0) {
		interference_report(
		    d->interference->verdicts, a->id, rows, n, d->now);
		answer_report(d, a);
		return;
	}
	for (i = 0; i < n; i++)
		seen_get(a, rows[i].kind, true)->reported = rows[i].samples > 0;
}

/*
 * Handles VERDICTS of a peer.  When two entries decide because the link between
 * them is down, those of the one with the smaller id are used.
 */
void
dispatch_verdicts(
    struct mlk_dispatcher *d, const struct link *l, const struct mlk_msg *msg)
{
	struct interference_change changes[2 * MLK_VERDICTS_MAX];
	struct dispatch_interference *x = d->interference;

	if (x == NULL || l->id[0] == '\0' || decides(d))
		return;
	if (x->sender[0] != '\0' && d->now - x->sender_at < SENDER_NS &&
	    strcmp(l->id, x->sender) > 0)
		return;
	(void)g_strlcpy(x->sender, l->id, sizeof(x->sender));
	x->sender_at = d->now;
	log_changes(d, changes,
	    interference_adopt(x->verdicts, msg->u.verdicts.items,
		msg->u.verdicts.n, changes, d->now));
}

/*
 * Sends the verdicts to all peers while there are any, and once when there are
 * none any more.
 */
static void
announce(struct mlk_dispatcher *d)
{
	struct mlk_verdict verdicts[MLK_VERDICTS_MAX];
	struct dispatch_interference *x = d->interference;
	const struct peer *p;
	uint32_t n;
	guint i;

	n = interference_verdicts(x->verdicts, verdicts);
	if (n == 0 && !x->announced)
		return;
	x->announced = n > 0;
	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (p->link != 0)
			(void)send_verdicts(d, p->link);
	}
}

/*
 * Makes and withdraws verdicts once a second, and shares them.
 */
void
dispatch_interference_due(struct mlk_dispatcher *d)
{
	struct interference_change changes[MLK_VERDICTS_MAX];
	struct dispatch_interference *x = d->interference;

	if (x == NULL || d->now < x->judge_at)
		return;
	x->judge_at = d->now + JUDGE_NS;
	if (!decides(d)) {
		x->announced = false;
		log_changes(d, changes,
		    interference_expire(x->verdicts, changes, d->now));
		return;
	}
	log_changes(
	    d, changes, interference_judge(x->verdicts, changes, d->now));
	announce(d);
}

/*
 * Collects the kinds that a kind is not to be placed beside.
 */
static void
find_conflicts(struct dispatch_interference *x, uint32_t kind)
{
	struct mlk_verdict verdicts[MLK_VERDICTS_MAX];
	uint32_t i, k, n, other;

	x->nconflicts = 0;
	n = interference_verdicts(x->verdicts, verdicts);
	for (i = 0; i < n && x->nconflicts < CONFLICTS_MAX; i++) {
		if (verdicts[i].kind != kind && verdicts[i].other != kind)
			continue;
		other = verdicts[i].kind == kind ? verdicts[i].other :
						   verdicts[i].kind;
		for (k = 0; k < x->nconflicts; k++) {
			if (x->conflicts[k].kind == other)
				break;
		}
		if (k < x->nconflicts)
			continue;
		x->conflicts[k].kind = other;
		x->conflicts[k].loss =
		    interference_loss(x->verdicts, kind, other);
		x->nconflicts++;
	}
}

/*
 * Prepares dispatch_apart_cost() for tasks of a step.  Interference is left out
 * when resources are short, and when the job has no slack left.
 */
void
dispatch_apart_begin(
    struct mlk_dispatcher *d, const struct job *job, uint32_t step)
{
	struct dispatch_interference *x = d->interference;
	char name[NAME_LEN];
	uint32_t kind;

	if (x == NULL || x->mode != MLK_INTERFERENCE_AVOID)
		return;
	kind = kind_of(job->route, step, name);
	find_conflicts(x, kind);
	if (x->nconflicts > 0 &&
	    (d->backlog || job->start_by <= d->now ||
		(interference_scarce(x->verdicts, kind) &&
		    mlk_rng_below(&d->rng, EXPLORE) == 0)))
		x->nconflicts = 0;
}

static uint32_t
loss_at(const struct mlk_dispatcher *d, struct agent *a)
{
	const struct dispatch_interference *x = d->interference;
	const struct seen *s;
	uint32_t i, loss = 0;

	for (i = 0; i < x->nconflicts; i++) {
		s = seen_get(a, x->conflicts[i].kind, false);
		if (s != NULL &&
		    (s->reported ||
			(s->sent_at != 0 && d->now - s->sent_at < SENT_NS)))
			loss += x->conflicts[i].loss;
	}
	return (loss);
}

/*
 * Returns what interference adds to the cost of a worker, in thousandths of its
 * capacity.
 */
uint32_t
dispatch_apart_cost(const struct mlk_dispatcher *d, struct agent *a)
{
	if (d->interference == NULL || d->interference->nconflicts == 0)
		return (0);
	return (interference_cost(loss_at(d, a)));
}

/*
 * Notes that n tasks of a kind are sent to an agent.
 */
void
dispatch_apart_sent(
    struct mlk_dispatcher *d, struct agent *a, uint32_t kind, uint32_t n)
{
	struct dispatch_interference *x = d->interference;

	if (x == NULL || x->mode != MLK_INTERFERENCE_AVOID)
		return;
	find_conflicts(x, kind);
	if (x->nconflicts == 0)
		return;
	if (loss_at(d, a) > 0)
		d->counters.not_apart += n;
	else
		d->counters.kept_apart += n;
	seen_get(a, kind, true)->sent_at = d->now;
}

uint32_t
dispatch_interference_count(const struct mlk_dispatcher *d)
{
	struct mlk_verdict verdicts[MLK_VERDICTS_MAX];

	if (d->interference == NULL)
		return (0);
	return (interference_verdicts(d->interference->verdicts, verdicts));
}

uint32_t
mlk_dispatcher_interference(const struct mlk_dispatcher *d,
    struct mlk_interference_pair *pairs, uint32_t max, bool *is_deciding)
{
	struct interference_pair *known;
	uint32_t i, n;

	*is_deciding = d->interference != NULL && decides(d);
	if (d->interference == NULL)
		return (0);
	known = g_new0(struct interference_pair, max);
	n = interference_pairs(d->interference->verdicts, known, max);
	for (i = 0; i < n; i++) {
		kind_name(d, known[i].kind, pairs[i].kind);
		kind_name(d, known[i].other, pairs[i].other);
		pairs[i].verdict = known[i].verdict;
		pairs[i].pinned = known[i].pinned;
		pairs[i].slowdown = known[i].slowdown;
		pairs[i].bound = known[i].bound;
		pairs[i].samples = known[i].samples;
		pairs[i].agents = known[i].agents;
	}
	g_free(known);
	return (n);
}
