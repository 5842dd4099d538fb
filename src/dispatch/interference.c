#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "interference.h"

#define SEC ((int64_t)MLK_NSEC_PER_SEC)

/* Reports are sent every second; one that is older does not count. */
#define REPORT_FRESH_NS (5 * SEC)
#define REPORTERS_MAX 4096U
/*
 * Probability of a false verdict among all pairs in an hour.  The verdicts are
 * examined all the time; about LOOKS_PER_HOUR of the examinations are
 * independent, since samples count for 6 s.
 */
#define ERROR_PER_HOUR 0.01
#define LOOKS_PER_HOUR 600.0
/* A slowdown below a tenth is not worth any loss of placement. */
#define SLOWDOWN_MIN 0.1375 /* log2(1.1) */
#define MAKE_LOOKS 2U /* consecutive, that must agree */
#define WITHDRAW_LOOKS 2U
#define WITHDRAW_Z 1.645 /* one-sided bound of 5 % */
/*
 * A worker that is slow or faulty in a new way may look like interference.  So
 * no verdict depends on one worker: the bound must also hold without the agent
 * that contributes most, and two must remain for the spread between agents.
 */
#define AGENTS_MIN 3U
/*
 * After a verdict the agents remove its effect from the other pairs of the
 * kind.  Until their next reports have arrived, no other is made for the kind.
 */
#define SETTLE_NS (3 * SEC)
/* A standard error above this says nothing about a slowdown by half. */
#define ERROR_MAX 0.5
/* A verdict on which nothing is measured for this long is given up. */
#define UNMEASURED_NS (60 * SEC)
/* The deciding entry repeats its verdicts every 5 s. */
#define ADOPTED_NS (30 * SEC)
/*
 * Fewer samples of a verdict than this do not show within 30 s that the
 * slowdown has ended.
 */
#define SCARCE_SAMPLES 30U
/*
 * Without new samples the number falls to 0.85 in a second.  Below this ratio
 * less than half of what decays is replaced.
 */
#define FALLING_RATIO 0.92
/*
 * A task that takes twice as long costs as much as a worker that is 40 %
 * fuller. The highest cost is below that of a degraded worker.
 */
#define LOSS_COST 400U
#define LOSS_COST_MAX 800U
/* Of verdicts of other entries; keeps sums of them within their type. */
#define ADOPTED_MAX 256000U
#define PINNED_SLOWDOWN 2000U /* least one of a pinned pair */
#define THOUSAND 1000.0

struct reporter {
	int64_t at;
	uint32_t n;
	struct mlk_corun rows[MLK_CORUN_MAX];
};

struct verdict {
	struct mlk_verdict v;
	double made; /* log2 of the slowdown when it was made */
	int64_t measured_at;
	uint32_t gone; /* consecutive looks that speak against it */
	bool pinned; /* set by an operator */
	bool falling; /* too few new samples since the last look */
};

/* A pair whose bound is high enough, and in how many consecutive looks. */
struct candidate {
	uint32_t kind;
	uint32_t other;
	uint32_t looks;
	uint64_t look; /* number of the last one */
};

/* One agent's measurement of a pair. */
struct part {
	uint32_t kind;
	uint32_t other;
	double information;
	double effect; /* log2 of the slowdown */
	double variance; /* of a sample */
};

/* What all agents together say about a pair. */
struct estimate {
	uint32_t kind;
	uint32_t other;
	uint32_t agents;
	double information;
	double effect;
	double error; /* standard error of `effect` */
	double bound; /* lower bound of `effect` */
	double level; /* mean by information alone, and its standard error */
	double level_error;
};

struct interference {
	GHashTable *reporters; /* agent -> struct reporter */
	GArray *estimates; /* struct estimate, of the last look */
	GArray *candidates; /* struct candidate */
	struct verdict verdicts[MLK_VERDICTS_MAX];
	uint32_t nverdicts;
	int64_t adopted_at; /* 0: this entry decides */
	uint64_t generation;
	uint64_t look;
	GHashTable *settle; /* kind -> time until which it settles */
};

struct interference *
interference_create(void)
{
	struct interference *in;

	in = g_new0(struct interference, 1);
	in->reporters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	in->estimates = g_array_new(FALSE, FALSE, sizeof(struct estimate));
	in->candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	in->settle =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return (in);
}

void
interference_destroy(struct interference *in)
{
	if (in == NULL)
		return;
	g_hash_table_destroy(in->settle);
	(void)g_array_free(in->candidates, TRUE);
	(void)g_array_free(in->estimates, TRUE);
	g_hash_table_destroy(in->reporters);
	g_free(in);
}

/*
 * Tells whether a row can be used.  Rows come from other processes.
 */
static bool
row_valid(const struct mlk_corun *row)
{
	return (row->kind != 0 && row->other != 0 && row->samples > 0 &&
	    row->variance > 0 && row->mean >= -8000 && row->mean <= 8000);
}

void
interference_report(struct interference *in, const char *agent,
    const struct mlk_corun *rows, uint32_t n, int64_t now)
{
	struct reporter *r;
	uint32_t i;

	r = g_hash_table_lookup(in->reporters, agent);
	if (r == NULL) {
		if (g_hash_table_size(in->reporters) >= REPORTERS_MAX)
			return;
		r = g_new0(struct reporter, 1);
		(void)g_hash_table_insert(in->reporters, g_strdup(agent), r);
	}
	r->at = now;
	r->n = 0;
	for (i = 0; i < n && r->n < MLK_CORUN_MAX; i++) {
		if (row_valid(&rows[i]))
			r->rows[r->n++] = rows[i];
	}
}

/*
 * Returns the deviation, in standard errors, that a normal variable exceeds
 * with probability p.
 */
static double
normal_bound(double p)
{
	double low = 0, high = 10, z;
	int i;

	for (i = 0; i < 40; i++) {
		z = (low + high) / 2;
		if (erfc(z / G_SQRT2) / 2 > p)
			low = z;
		else
			high = z;
	}
	return (high);
}

static int
cmp_parts(const void *a, const void *b)
{
	const struct part *x = a, *y = b;

	if (x->kind != y->kind)
		return (x->kind < y->kind ? -1 : 1);
	return (x->other < y->other ? -1 : x->other > y->other);
}

/*
 * Collects the current rows of all agents, sorted by pair.  Forgets agents that
 * have stopped reporting.
 */
static GArray *
collect(struct interference *in, int64_t now)
{
	struct part part = { 0 };
	struct reporter *r;
	GHashTableIter iter;
	GArray *parts;
	gpointer value;
	uint32_t i;

	parts = g_array_new(FALSE, FALSE, sizeof(struct part));
	g_hash_table_iter_init(&iter, in->reporters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		r = value;
		if (now - r->at > REPORT_FRESH_NS) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		for (i = 0; i < r->n; i++) {
			part.kind = r->rows[i].kind;
			part.other = r->rows[i].other;
			part.information = r->rows[i].samples / THOUSAND;
			part.effect = -r->rows[i].mean / THOUSAND;
			part.variance = r->rows[i].variance / THOUSAND;
			(void)g_array_append_val(parts, part);
		}
	}
	g_array_sort(parts, cmp_parts);
	return (parts);
}

/*
 * Returns the variance of a sample of a kind, as the mean over the agents by
 * information: a single agent has too few samples to know it.
 */
static double
pooled_variance(const struct part *parts, uint32_t n)
{
	double sum = 0, weight = 0;
	uint32_t i;

	for (i = 0; i < n; i++) {
		sum += parts[i].information * parts[i].variance;
		weight += parts[i].information;
	}
	return (sum / weight);
}

/*
 * Combines the measurements of a pair, without that at index `except`, by a
 * random-effects mean (DerSimonian and Laird): when the agents differ by more
 * than their samples explain, the difference counts in the standard error.
 */
static void
combine(const struct part *parts, uint32_t n, uint32_t except, double variance,
    double *effect, double *error)
{
	double w, sum = 0, squares = 0, mean = 0, q = 0, between;
	uint32_t i, agents = 0;

	for (i = 0; i < n; i++) {
		if (i == except)
			continue;
		w = parts[i].information / variance;
		sum += w;
		squares += w * w;
		mean += w * parts[i].effect;
		agents++;
	}
	mean /= sum;
	for (i = 0; i < n; i++) {
		if (i != except)
			q += parts[i].information / variance *
			    (parts[i].effect - mean) * (parts[i].effect - mean);
	}
	between = 0;
	if (agents > 1)
		between = MAX(0.0, (q - (agents - 1)) / (sum - squares / sum));
	sum = 0;
	mean = 0;
	for (i = 0; i < n; i++) {
		if (i == except)
			continue;
		w = 1 / (variance / parts[i].information + between);
		sum += w;
		mean += w * parts[i].effect;
	}
	*effect = mean / sum;
	*error = 1 / sqrt(sum);
}

/*
 * Estimates the effect of a pair.  The bound is the lower one of those with all
 * agents and without the agent that contributes most.
 */
static void
estimate_pair(const struct part *parts, uint32_t n, double variance, double z,
    struct estimate *e)
{
	double effect, error, most = 0;
	uint32_t i, except = n;

	memset(e, 0, sizeof(*e));
	e->kind = parts[0].kind;
	e->other = parts[0].other;
	e->agents = n;
	for (i = 0; i < n; i++) {
		e->information += parts[i].information;
		e->level += parts[i].information * parts[i].effect;
		if (parts[i].information * parts[i].effect > most) {
			most = parts[i].information * parts[i].effect;
			except = i;
		}
	}
	e->level /= e->information;
	e->level_error = sqrt(variance / e->information);
	combine(parts, n, n, variance, &e->effect, &e->error);
	e->bound = e->effect - z * e->error;
	if (n < AGENTS_MIN) {
		e->bound = MIN(e->bound, 0);
	} else if (except < n) {
		combine(parts, n, except, variance, &effect, &error);
		e->bound = MIN(e->bound, effect - z * error);
	}
}

static uint32_t
count_pairs(const struct part *parts, uint32_t n)
{
	uint32_t i, pairs = 0;

	for (i = 0; i < n; i++)
		pairs += i == 0 || cmp_parts(&parts[i - 1], &parts[i]) != 0;
	return (pairs);
}

/*
 * Estimates all pairs from the present reports.
 */
static void
estimate_all(struct interference *in, int64_t now)
{
	uint32_t first, end, kind_end = 0;
	double variance = 0, z;
	struct estimate e;
	struct part *p;
	GArray *parts;

	parts = collect(in, now);
	p = (struct part *)(void *)parts->data;
	(void)g_array_set_size(in->estimates, 0);
	z = normal_bound(ERROR_PER_HOUR /
	    (LOOKS_PER_HOUR * MAX(count_pairs(p, parts->len), 1)));
	for (first = 0; first < parts->len; first = end) {
		if (first >= kind_end) {
			while (kind_end < parts->len &&
			    p[kind_end].kind == p[first].kind)
				kind_end++;
			variance = pooled_variance(&p[first], kind_end - first);
		}
		end = first;
		while (end < parts->len && cmp_parts(&p[first], &p[end]) == 0)
			end++;
		estimate_pair(&p[first], end - first, variance, z, &e);
		(void)g_array_append_val(in->estimates, e);
	}
	(void)g_array_free(parts, TRUE);
}

static struct verdict *
verdict_find(struct interference *in, uint32_t kind, uint32_t other)
{
	uint32_t i;

	for (i = 0; i < in->nverdicts; i++) {
		if (in->verdicts[i].v.kind == kind &&
		    in->verdicts[i].v.other == other)
			return (&in->verdicts[i]);
	}
	return (NULL);
}

static uint32_t
thousandths(double log2_value)
{
	return ((uint32_t)lround(exp2(CLAMP(log2_value, -8, 8)) * THOUSAND));
}

static bool
is_falling(const struct verdict *verdict, double samples)
{
	return (samples < verdict->v.samples * FALLING_RATIO);
}

static void
verdict_fill(struct verdict *verdict, const struct estimate *e)
{
	verdict->falling = is_falling(verdict, e->information);
	verdict->v.kind = e->kind;
	verdict->v.other = e->other;
	verdict->v.slowdown = thousandths(e->effect);
	verdict->v.bound = thousandths(e->bound);
	verdict->v.samples = (uint32_t)MIN(e->information, 1e9);
}

static const struct estimate *
estimate_find(const struct interference *in, uint32_t kind, uint32_t other)
{
	const struct estimate *e;
	guint i;

	for (i = 0; i < in->estimates->len; i++) {
		e = &g_array_index(in->estimates, struct estimate, i);
		if (e->kind == kind && e->other == other)
			return (e);
	}
	return (NULL);
}

static void
verdict_remove(struct interference *in, uint32_t i,
    enum interference_change_type type, struct interference_change *change)
{
	change->type = type;
	change->verdict = in->verdicts[i].v;
	change->agents = 0;
	in->verdicts[i] = in->verdicts[--in->nverdicts];
	in->generation++;
}

/*
 * Renews the figures of the verdicts in force, and withdraws those that the
 * measurements do not support any more: the slowdown is below the least one of
 * a verdict, and clearly below the one when it was made.  The mean by
 * information alone is used, as it follows new samples sooner: agents that have
 * had none since the slowdown ended differ from the others.
 */
static uint32_t
review(
    struct interference *in, struct interference_change *changes, int64_t now)
{
	const struct estimate *e;
	struct verdict *verdict;
	uint32_t i, n = 0;

	for (i = in->nverdicts; i > 0; i--) {
		verdict = &in->verdicts[i - 1];
		e = estimate_find(in, verdict->v.kind, verdict->v.other);
		if (e == NULL || e->agents < 2 || e->level_error > ERROR_MAX) {
			if (!verdict->pinned &&
			    now - verdict->measured_at >= UNMEASURED_NS)
				verdict_remove(in, i - 1, INTERFERENCE_EXPIRED,
				    &changes[n++]);
			continue;
		}
		verdict->measured_at = now;
		if (e->level < SLOWDOWN_MIN &&
		    e->level + WITHDRAW_Z * e->level_error < verdict->made)
			verdict->gone++;
		else
			verdict->gone = 0;
		verdict_fill(verdict, e);
		if (verdict->pinned || verdict->gone < WITHDRAW_LOOKS)
			continue;
		verdict_remove(in, i - 1, INTERFERENCE_WITHDRAWN, &changes[n]);
		changes[n++].agents = e->agents;
	}
	return (n);
}

/*
 * Counts a look at which the bound of a pair was high enough.  Returns the
 * number of consecutive ones.
 */
static uint32_t
candidate_seen(struct interference *in, const struct estimate *e)
{
	struct candidate fresh = { e->kind, e->other, 1, in->look }, *c;
	guint i;

	for (i = 0; i < in->candidates->len; i++) {
		c = &g_array_index(in->candidates, struct candidate, i);
		if (c->kind != e->kind || c->other != e->other)
			continue;
		c->looks = c->look + 1 == in->look ? c->looks + 1 : 1;
		c->look = in->look;
		return (c->looks);
	}
	(void)g_array_append_val(in->candidates, fresh);
	return (1);
}

static void
candidates_clean(struct interference *in)
{
	guint i;

	for (i = in->candidates->len; i > 0; i--) {
		if (g_array_index(in->candidates, struct candidate, i - 1)
			.look != in->look)
			(void)g_array_remove_index_fast(in->candidates, i - 1);
	}
}

static bool
settling(const struct interference *in, uint32_t kind, int64_t now)
{
	const int64_t *until;

	until = g_hash_table_lookup(in->settle, GUINT_TO_POINTER(kind));
	return (until != NULL && now < *until);
}

/*
 * Finds the pair of a kind with the highest bound, among those without verdict
 * that were high enough in enough looks.
 */
static const struct estimate *
strongest(struct interference *in, guint first, guint end)
{
	const struct estimate *e, *best = NULL;
	guint i;

	for (i = first; i < end; i++) {
		e = &g_array_index(in->estimates, struct estimate, i);
		if (e->bound < SLOWDOWN_MIN ||
		    verdict_find(in, e->kind, e->other) != NULL)
			continue;
		if (candidate_seen(in, e) >= MAKE_LOOKS &&
		    (best == NULL || e->bound > best->bound))
			best = e;
	}
	return (best);
}

/*
 * Makes at most one verdict for each kind that is slowed down.
 */
static uint32_t
make(struct interference *in, struct interference_change *changes, uint32_t max,
    int64_t now)
{
	const struct estimate *e;
	struct verdict *verdict;
	int64_t until = now + SETTLE_NS;
	guint first, end;
	uint32_t n = 0;

	for (first = 0; first < in->estimates->len; first = end) {
		e = &g_array_index(in->estimates, struct estimate, first);
		for (end = first; end < in->estimates->len &&
		     g_array_index(in->estimates, struct estimate, end).kind ==
			 e->kind;
		     end++)
			continue;
		e = strongest(in, first, end);
		if (e == NULL || settling(in, e->kind, now) || n >= max ||
		    in->nverdicts >= MLK_VERDICTS_MAX)
			continue;
		verdict = &in->verdicts[in->nverdicts++];
		memset(verdict, 0, sizeof(*verdict));
		verdict_fill(verdict, e);
		verdict->made = e->effect;
		verdict->measured_at = now;
		(void)g_hash_table_insert(in->settle, GUINT_TO_POINTER(e->kind),
		    g_memdup2(&until, sizeof(until)));
		in->generation++;
		changes[n].type = INTERFERENCE_MADE;
		changes[n].verdict = verdict->v;
		changes[n++].agents = e->agents;
	}
	return (n);
}

static gboolean
settled(gpointer kind, gpointer until, gpointer now)
{
	(void)kind;
	return (*(int64_t *)until <= *(int64_t *)now);
}

uint32_t
interference_judge(struct interference *in,
    struct interference_change changes[MLK_VERDICTS_MAX], int64_t now)
{
	uint32_t i, n;

	/* Verdicts of the entry that decided before count as measured now. */
	for (i = 0; in->adopted_at != 0 && i < in->nverdicts; i++)
		in->verdicts[i].measured_at = now;
	in->adopted_at = 0;
	in->look++;
	estimate_all(in, now);
	(void)g_hash_table_foreach_remove(in->settle, settled, &now);
	n = review(in, changes, now);
	n += make(in, &changes[n], MLK_VERDICTS_MAX - n, now);
	candidates_clean(in);
	return (n);
}

static bool
listed(const struct mlk_verdict *verdicts, uint32_t n, uint32_t kind,
    uint32_t other)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (verdicts[i].kind == kind && verdicts[i].other == other)
			return (true);
	}
	return (false);
}

uint32_t
interference_adopt(struct interference *in, const struct mlk_verdict *verdicts,
    uint32_t n, struct interference_change changes[2 * MLK_VERDICTS_MAX],
    int64_t now)
{
	const struct mlk_verdict *v;
	struct verdict *verdict;
	uint32_t i, changed = 0;

	in->adopted_at = now;
	for (i = in->nverdicts; i > 0; i--) {
		v = &in->verdicts[i - 1].v;
		if (!in->verdicts[i - 1].pinned &&
		    !listed(verdicts, n, v->kind, v->other))
			verdict_remove(in, i - 1, INTERFERENCE_WITHDRAWN,
			    &changes[changed++]);
	}
	for (i = 0; i < n; i++) {
		v = &verdicts[i];
		if (v->kind == 0 || v->other == 0)
			continue;
		verdict = verdict_find(in, v->kind, v->other);
		if (verdict == NULL) {
			if (in->nverdicts >= MLK_VERDICTS_MAX)
				continue;
			verdict = &in->verdicts[in->nverdicts++];
			memset(verdict, 0, sizeof(*verdict));
			verdict->made = log2(MAX(v->slowdown, 1) / THOUSAND);
			in->generation++;
			changes[changed].type = INTERFERENCE_MADE;
			changes[changed].verdict = *v;
			changes[changed++].agents = 0;
		}
		verdict->falling = is_falling(verdict, v->samples);
		verdict->v = *v;
		verdict->v.slowdown = MIN(v->slowdown, ADOPTED_MAX);
		verdict->measured_at = now;
	}
	return (changed);
}

uint32_t
interference_expire(struct interference *in,
    struct interference_change changes[MLK_VERDICTS_MAX], int64_t now)
{
	uint32_t i, n = 0;

	if (in->adopted_at == 0 || now - in->adopted_at < ADOPTED_NS)
		return (0);
	for (i = in->nverdicts; i > 0; i--) {
		if (!in->verdicts[i - 1].pinned)
			verdict_remove(
			    in, i - 1, INTERFERENCE_EXPIRED, &changes[n++]);
	}
	return (n);
}

void
interference_pin(struct interference *in, uint32_t kind, uint32_t other)
{
	struct verdict *verdict;

	verdict = verdict_find(in, kind, other);
	if (verdict == NULL) {
		if (in->nverdicts >= MLK_VERDICTS_MAX)
			return;
		verdict = &in->verdicts[in->nverdicts++];
		memset(verdict, 0, sizeof(*verdict));
		verdict->v.kind = kind;
		verdict->v.other = other;
		/* Not measured, so agents take nothing off other pairs. */
		verdict->v.slowdown = 1000;
		verdict->v.bound = 1000;
		in->generation++;
	}
	verdict->pinned = true;
}

uint32_t
interference_verdicts(const struct interference *in,
    struct mlk_verdict verdicts[MLK_VERDICTS_MAX])
{
	uint32_t i;

	for (i = 0; i < in->nverdicts; i++)
		verdicts[i] = in->verdicts[i].v;
	return (in->nverdicts);
}

uint64_t
interference_generation(const struct interference *in)
{
	return (in->generation);
}

uint32_t
interference_loss(const struct interference *in, uint32_t kind, uint32_t other)
{
	const struct mlk_verdict *v;
	uint32_t i, slowdown, loss = 0;

	for (i = 0; i < in->nverdicts; i++) {
		v = &in->verdicts[i].v;
		if ((v->kind != kind || v->other != other) &&
		    (v->kind != other || v->other != kind))
			continue;
		slowdown = v->slowdown;
		if (in->verdicts[i].pinned)
			slowdown = MAX(slowdown, PINNED_SLOWDOWN);
		if (slowdown > 1000)
			loss += slowdown - 1000;
	}
	return (loss);
}

bool
interference_scarce(const struct interference *in, uint32_t kind)
{
	const struct verdict *verdict;
	uint32_t i;

	for (i = 0; i < in->nverdicts; i++) {
		verdict = &in->verdicts[i];
		if (!verdict->pinned &&
		    (verdict->v.kind == kind || verdict->v.other == kind) &&
		    (verdict->falling || verdict->v.samples < SCARCE_SAMPLES))
			return (true);
	}
	return (false);
}

uint32_t
interference_cost(uint32_t loss)
{
	uint64_t cost = (uint64_t)loss * LOSS_COST / 1000;

	return ((uint32_t)MIN(cost, LOSS_COST_MAX));
}

static int
cmp_bound(gconstpointer a, gconstpointer b)
{
	const struct interference_pair *x = a, *y = b;

	if (x->verdict != y->verdict)
		return (x->verdict ? -1 : 1);
	return (x->bound > y->bound ? -1 : x->bound < y->bound);
}

uint32_t
interference_pairs(const struct interference *in,
    struct interference_pair *pairs, uint32_t max)
{
	struct interference_pair pair;
	const struct mlk_verdict *v;
	const struct estimate *e;
	GArray *all;
	guint i;

	all = g_array_new(FALSE, FALSE, sizeof(pair));
	for (i = 0; i < in->nverdicts; i++) {
		v = &in->verdicts[i].v;
		e = in->adopted_at == 0 ? estimate_find(in, v->kind, v->other) :
					  NULL;
		pair = (struct interference_pair){ v->kind, v->other,
			e != NULL ? e->agents : 0, v->samples, v->slowdown,
			v->bound, true, in->verdicts[i].pinned };
		(void)g_array_append_val(all, pair);
	}
	for (i = 0; in->adopted_at == 0 && i < in->estimates->len; i++) {
		e = &g_array_index(in->estimates, struct estimate, i);
		if (verdict_find(
			(struct interference *)in, e->kind, e->other) != NULL)
			continue;
		pair = (struct interference_pair){ e->kind, e->other, e->agents,
			(uint32_t)MIN(e->information, 1e9),
			thousandths(e->effect), thousandths(e->bound), false,
			false };
		(void)g_array_append_val(all, pair);
	}
	g_array_sort(all, cmp_bound);
	max = MIN(max, all->len);
	for (i = 0; i < max; i++)
		pairs[i] = g_array_index(all, struct interference_pair, i);
	(void)g_array_free(all, TRUE);
	return (max);
}
