#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "corun.h"

/* Time in which the weight of a sample falls to 1/e. */
#define MEMORY_NS ((double)6 * (double)MLK_NSEC_PER_SEC)
/*
 * A deviation from the mean of the kind counts as at most this, in log2: a task
 * that runs seven times as long would outweigh several halved ones.
 */
#define DEVIATION_MAX 1.5
/*
 * Utilisation enters as a line that is steeper above this part of the capacity,
 * since contention for processors begins when most of them are in use.
 */
#define LOAD_KNEE 0.7
#define LOAD_RIDGE 0.25 /* assumes that slopes are mostly below 2 */
/* A run that was stopped earlier says too little about its rate. */
#define PERCENT_MIN 25U
/*
 * Least length of a part of a run.  Listings arrive at each end of a run or
 * after 100 ms.
 */
#define PART_NS (50 * (int64_t)MLK_NSEC_PER_MSEC)
/* A percentage is rounded, so a part of 10 % is off by 14 % (0.2 in log2). */
#define PART_PERCENT 10U
#define PARTS_MAX 8U /* of a run that are compared with each other */
/* Weight of the whole runs of a kind from which their mean is used. */
#define WEIGHT_MIN 2.0
/*
 * Variances of whole runs and of parts, which count like PRIOR_WEIGHT samples.
 * Estimates that are off by 0.4 and tasks seven times as long give 0.2 for
 * whole runs; percentages that are rounded give 0.03 for parts of 10 %.
 */
#define WHOLE_VARIANCE 0.2
#define PART_VARIANCE 0.03
#define PRIOR_WEIGHT 4.0
#define INFORMATION_MIN 0.1 /* of a reported pair */
#define VARIANCE_MAX 64.0 /* log2 squared; deviations are limited */
#define THOUSAND 1000.0

/* Variables of a sample. */
enum {
	CORUN_LOAD = CORUN_KINDS_MAX, /* after those of the kinds */
	CORUN_KNEE, /* utilisation above the knee */
	CORUN_TIME, /* log2(run time / expected run time) */
	CORUN_VARS,
};

struct corun_run {
	uint32_t slot; /* of its kind */
	uint32_t expected_ms;
	uint32_t percent; /* at the start of the present part */
	double weight;
	int64_t began;
	double begin[CORUN_TIME]; /* integrals at that time */
	int64_t since; /* start of the present part */
	double integrals[CORUN_TIME]; /* at that time */
	uint32_t nparts;
	double parts[PARTS_MAX][CORUN_VARS];
};

/* Weighted samples. */
struct samples {
	double weight; /* less one for each mean that they are compared with */
	double mean[CORUN_VARS]; /* whole runs */
	double moment[CORUN_VARS][CORUN_VARS]; /* sums of products of
						  deviations */
};

/* What is known of the runs of one kind. */
struct kind {
	uint32_t kind; /* 0: the slot is free */
	uint32_t count; /* runs at the worker */
	int64_t since; /* when the slot got its kind */
	double one; /* ns with at least one run, since the start */
	double two; /* ns with at least two */
	struct samples whole;
	struct samples parts;
	double effect[CORUN_KINDS_MAX]; /* log2, by verdicts; 0: none */
};

struct corun {
	int64_t at; /* time of the integrals */
	int64_t decayed_at;
	double load; /* utilisation, 0 to 1 */
	double load_sum[2]; /* integrals of `load` and of the part above the
			       knee */
	struct kind kinds[CORUN_KINDS_MAX];
};

struct corun *
corun_create(void)
{
	return (g_new0(struct corun, 1));
}

void
corun_destroy(struct corun *c)
{
	g_free(c);
}

/*
 * Brings the integrals up to `now`.
 */
static void
advance(struct corun *c, int64_t now)
{
	double span = (double)(now - c->at);
	uint32_t i;

	if (c->at == 0 || span <= 0) {
		c->at = MAX(c->at, now);
		return;
	}
	c->at = now;
	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		if (c->kinds[i].count >= 1)
			c->kinds[i].one += span;
		if (c->kinds[i].count >= 2)
			c->kinds[i].two += span;
	}
	c->load_sum[0] += span * c->load;
	c->load_sum[1] += span * MAX(c->load - LOAD_KNEE, 0.0);
}

void
corun_utilisation(struct corun *c, uint32_t thousandths, int64_t now)
{
	advance(c, now);
	c->load = MIN(thousandths / THOUSAND, 1.0);
}

static struct kind *
kind_find(struct corun *c, uint32_t kind)
{
	uint32_t i;

	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		if (c->kinds[i].kind == kind)
			return (&c->kinds[i]);
	}
	return (NULL);
}

static void
samples_forget(struct samples *s, uint32_t var)
{
	uint32_t v;

	s->mean[var] = 0;
	for (v = 0; v < CORUN_VARS; v++) {
		s->moment[var][v] = 0;
		s->moment[v][var] = 0;
	}
}

/*
 * Removes what the other kinds know about the kind in a slot.
 */
static void
forget_slot(struct corun *c, uint32_t slot)
{
	uint32_t i;

	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		c->kinds[i].effect[slot] = 0;
		samples_forget(&c->kinds[i].whole, slot);
		samples_forget(&c->kinds[i].parts, slot);
	}
}

/*
 * Returns the slot of a kind.  A new kind takes a free slot, or that of the
 * kind with the least weight of those without runs.  Returns NULL when every
 * kind has runs.
 */
static struct kind *
kind_get(struct corun *c, uint32_t kind, int64_t now)
{
	struct kind *k, *least = NULL;
	uint32_t i;

	k = kind_find(c, kind);
	if (k != NULL)
		return (k);
	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		k = &c->kinds[i];
		if (k->count == 0 &&
		    (least == NULL || k->whole.weight < least->whole.weight))
			least = k;
	}
	if (least == NULL)
		return (NULL);
	forget_slot(c, (uint32_t)(least - c->kinds));
	memset(least, 0, sizeof(*least));
	least->kind = kind;
	least->since = now;
	return (least);
}

/*
 * Copies the integrals of the variables as a run sees them: of its own kind,
 * the time with at least one other run.
 */
static void
read_integrals(
    const struct corun *c, const struct corun_run *run, double out[CORUN_TIME])
{
	uint32_t i;

	for (i = 0; i < CORUN_KINDS_MAX; i++)
		out[i] = i == run->slot ? c->kinds[i].two : c->kinds[i].one;
	out[CORUN_LOAD] = c->load_sum[0];
	out[CORUN_KNEE] = c->load_sum[1];
}

struct corun_run *
corun_begin(struct corun *c, uint32_t kind, uint32_t tasks,
    uint32_t expected_ms, int64_t now)
{
	struct corun_run *run;
	struct kind *k;

	if (kind == 0)
		return (NULL);
	advance(c, now);
	k = kind_get(c, kind, now);
	if (k == NULL)
		return (NULL);
	run = g_new0(struct corun_run, 1);
	run->slot = (uint32_t)(k - c->kinds);
	run->expected_ms = expected_ms;
	run->weight = 1.0 / MAX(tasks, 1);
	run->began = run->since = now;
	k->count++;
	read_integrals(c, run, run->begin);
	memcpy(run->integrals, run->begin, sizeof(run->integrals));
	return (run);
}

/*
 * Fills the variables of a run since `since`, when the integrals were as given;
 * its run time is `ns` for `percent` of the work.
 */
static void
fill_sample(const struct corun *c, const struct corun_run *run, int64_t since,
    const double integrals[CORUN_TIME], double ns, uint32_t percent,
    double sample[CORUN_VARS])
{
	double span = (double)(c->at - since);
	uint32_t i;

	read_integrals(c, run, sample);
	for (i = 0; i < CORUN_TIME; i++)
		sample[i] = (sample[i] - integrals[i]) / span;
	/* A slot that has got another kind since is not observed. */
	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		if (c->kinds[i].since > run->began)
			sample[i] = c->kinds[run->slot].whole.mean[i];
	}
	sample[CORUN_TIME] = log2(ns * 100 /
	    ((double)MAX(run->expected_ms, 1) * (double)MLK_NSEC_PER_MSEC *
		percent));
}

/*
 * Adds a whole run.  Deviations are taken from the mean before and after the
 * sample, which keeps the sums of products exact.
 */
static void
add_whole(struct samples *s, double sample[CORUN_VARS], double weight)
{
	double before[CORUN_VARS], after[CORUN_VARS];
	uint32_t v, u;

	if (s->weight >= WEIGHT_MIN) {
		sample[CORUN_TIME] = CLAMP(sample[CORUN_TIME],
		    s->mean[CORUN_TIME] - DEVIATION_MAX,
		    s->mean[CORUN_TIME] + DEVIATION_MAX);
	}
	s->weight += weight;
	for (v = 0; v < CORUN_VARS; v++) {
		before[v] = sample[v] - s->mean[v];
		s->mean[v] += before[v] * weight / s->weight;
		after[v] = sample[v] - s->mean[v];
	}
	for (v = 0; v < CORUN_VARS; v++) {
		for (u = 0; u < CORUN_VARS; u++)
			s->moment[v][u] += weight * before[v] * after[u];
	}
}

/*
 * Adds the parts of a run as samples, compared with their mean, and forgets
 * them.  Runs of the kind that are at the worker at the same time share what
 * happens to it, so they have the weight of one together.
 */
static void
add_parts(struct kind *k, struct corun_run *run)
{
	double weight = 1.0 / MAX(k->count, 1), mean[CORUN_VARS] = { 0 }, d;
	uint32_t i, v, u;

	for (i = 0; i < run->nparts; i++) {
		for (v = 0; v < CORUN_VARS; v++)
			mean[v] += run->parts[i][v] / run->nparts;
	}
	for (i = 0; i < run->nparts; i++) {
		for (v = 0; v < CORUN_VARS; v++)
			run->parts[i][v] -= mean[v];
		d = run->parts[i][CORUN_TIME];
		run->parts[i][CORUN_TIME] =
		    CLAMP(d, -DEVIATION_MAX, DEVIATION_MAX);
		for (v = 0; v < CORUN_VARS; v++) {
			for (u = 0; u < CORUN_VARS; u++)
				k->parts.moment[v][u] += weight *
				    run->parts[i][v] * run->parts[i][u];
		}
	}
	if (run->nparts > 1)
		k->parts.weight += weight * (run->nparts - 1);
	run->nparts = 0;
}

void
corun_progress(struct corun *c, struct corun_run *run, uint32_t percent,
    bool usable, int64_t now)
{
	if (run == NULL || percent < run->percent + PART_PERCENT ||
	    now - run->since < PART_NS)
		return;
	advance(c, now);
	if (usable) {
		fill_sample(c, run, run->since, run->integrals,
		    (double)(now - run->since), percent - run->percent,
		    run->parts[run->nparts++]);
	}
	if (run->nparts == PARTS_MAX)
		add_parts(&c->kinds[run->slot], run);
	run->percent = percent;
	run->since = now;
	read_integrals(c, run, run->integrals);
}

void
corun_end(struct corun *c, struct corun_run *run, int64_t run_ns,
    uint32_t percent, bool usable, int64_t now)
{
	double sample[CORUN_VARS];
	struct kind *k;

	if (run == NULL)
		return;
	k = &c->kinds[run->slot];
	corun_progress(c, run, percent, usable, now);
	advance(c, now);
	add_parts(k, run);
	if (usable && run->expected_ms != 0 && percent >= PERCENT_MIN &&
	    run_ns > 0 && now > run->began) {
		fill_sample(c, run, run->began, run->begin, (double)run_ns,
		    percent, sample);
		add_whole(&k->whole, sample, run->weight);
	}
	k->count--;
	g_free(run);
}

void
corun_set_verdicts(
    struct corun *c, const struct mlk_verdict *verdicts, uint32_t n)
{
	struct kind *k, *other;
	uint32_t i;

	for (i = 0; i < CORUN_KINDS_MAX; i++)
		memset(c->kinds[i].effect, 0, sizeof(c->kinds[i].effect));
	for (i = 0; i < n; i++) {
		if (verdicts[i].kind == 0 || verdicts[i].other == 0)
			continue;
		k = kind_find(c, verdicts[i].kind);
		other = kind_find(c, verdicts[i].other);
		if (k != NULL && other != NULL)
			k->effect[other - c->kinds] =
			    log2(MAX(verdicts[i].slowdown, 1) / THOUSAND);
	}
}

/*
 * Returns the sum of products of a variable with the run time, without the
 * effects of the verdicts on all kinds but `except`.
 */
static double
moment_with_time(const struct kind *k, const struct samples *s, uint32_t var,
    uint32_t except)
{
	double sum = s->moment[var][CORUN_TIME];
	uint32_t i;

	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		if (i != except)
			sum -= k->effect[i] * s->moment[var][i];
	}
	return (sum);
}

/* Normal equations of the two slopes of the run time over the utilisation. */
struct load_sums {
	double uu, uk, kk, ut, kt;
};

static void
add_load_sums(const struct kind *k, const struct samples *s, double variance,
    struct load_sums *sums)
{
	sums->uu += s->moment[CORUN_LOAD][CORUN_LOAD] / variance;
	sums->uk += s->moment[CORUN_LOAD][CORUN_KNEE] / variance;
	sums->kk += s->moment[CORUN_KNEE][CORUN_KNEE] / variance;
	sums->ut +=
	    moment_with_time(k, s, CORUN_LOAD, CORUN_KINDS_MAX) / variance;
	sums->kt +=
	    moment_with_time(k, s, CORUN_KNEE, CORUN_KINDS_MAX) / variance;
}

/*
 * Determines how the run time of all kinds grows with the utilisation: the
 * slope below the knee and what is added above it, by least squares.
 */
static void
load_slopes(const struct corun *c, double slopes[2])
{
	struct load_sums s = { .uu = LOAD_RIDGE, .kk = LOAD_RIDGE };
	const struct kind *k;
	double det;
	uint32_t i;

	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		k = &c->kinds[i];
		add_load_sums(k, &k->whole, WHOLE_VARIANCE, &s);
		add_load_sums(k, &k->parts, PART_VARIANCE, &s);
	}
	det = s.uu * s.kk - s.uk * s.uk;
	slopes[0] = (s.ut * s.kk - s.kt * s.uk) / det;
	slopes[1] = (s.kt * s.uu - s.ut * s.uk) / det;
}

static void
samples_decay(struct samples *s, double left)
{
	uint32_t v, u;

	s->weight *= left;
	for (v = 0; v < CORUN_VARS; v++) {
		for (u = 0; u < CORUN_VARS; u++)
			s->moment[v][u] *= left;
	}
}

static void
decay(struct corun *c, int64_t now)
{
	double left = 1.0;
	uint32_t i;

	if (c->decayed_at != 0)
		left = exp(-(double)(now - c->decayed_at) / MEMORY_NS);
	c->decayed_at = now;
	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		samples_decay(&c->kinds[i].whole, left);
		samples_decay(&c->kinds[i].parts, left);
	}
}

/* What samples say about a pair. */
struct slope {
	double information;
	double time; /* sum of products with the run time */
	double variance; /* of a sample */
};

/*
 * Determines by how much the run time grows with the presence of the kind in a
 * slot.  `prior` is the variance of a sample where there are few, `lost` the
 * degrees of freedom that the means take.
 */
static struct slope
slope_of(const struct kind *k, const struct samples *s, uint32_t slot,
    const double slopes[2], double prior, double lost)
{
	struct slope p = { 0, 0, prior };
	double residual;

	if (s->weight < WEIGHT_MIN || s->moment[slot][slot] <= 0)
		return (p);
	p.information = s->moment[slot][slot];
	p.time = moment_with_time(k, s, slot, slot) -
	    slopes[0] * s->moment[slot][CORUN_LOAD] -
	    slopes[1] * s->moment[slot][CORUN_KNEE];
	residual =
	    s->moment[CORUN_TIME][CORUN_TIME] - p.time * p.time / p.information;
	p.variance = (MAX(residual, 0) + PRIOR_WEIGHT * prior) /
	    (MAX(s->weight - lost, 0) + PRIOR_WEIGHT);
	return (p);
}

/*
 * Fills the row of a pair from whole runs and parts, by their precision.  The
 * information is that of as many whole runs.  Returns false when too little is
 * known.
 */
static bool
fill_row(const struct kind *k, const struct kind *other, uint32_t slot,
    const double slopes[2], struct mlk_corun *row)
{
	struct slope whole, parts;
	double precision, effect;

	if (other->kind == 0)
		return (false);
	whole = slope_of(k, &k->whole, slot, slopes, WHOLE_VARIANCE, 2);
	parts = slope_of(k, &k->parts, slot, slopes, PART_VARIANCE, 1);
	precision = whole.information / whole.variance +
	    parts.information / parts.variance;
	if (precision * whole.variance < INFORMATION_MIN)
		return (false);
	effect = (whole.time / whole.variance + parts.time / parts.variance) /
	    precision;
	row->kind = k->kind;
	row->other = other->kind;
	row->samples = (uint32_t)MIN(
	    precision * whole.variance * THOUSAND, (double)UINT32_MAX / 2);
	row->mean = (int32_t)CLAMP(-effect * THOUSAND, -8000.0, 8000.0);
	row->variance =
	    (uint32_t)(MIN(whole.variance, VARIANCE_MAX) * THOUSAND);
	return (true);
}

static int
cmp_samples(const void *a, const void *b)
{
	const struct mlk_corun *x = a, *y = b;

	return (x->samples > y->samples ? -1 : x->samples < y->samples);
}

uint32_t
corun_report(struct corun *c, struct mlk_corun *rows, uint32_t max, int64_t now)
{
	struct mlk_corun all[CORUN_KINDS_MAX * CORUN_KINDS_MAX];
	const struct kind *k;
	double slopes[2];
	uint32_t i, j, n = 0;

	advance(c, now);
	decay(c, now);
	load_slopes(c, slopes);
	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		k = &c->kinds[i];
		if (k->kind == 0)
			continue;
		for (j = 0; j < CORUN_KINDS_MAX; j++) {
			if (fill_row(k, &c->kinds[j], j, slopes, &all[n]))
				n++;
		}
	}
	qsort(all, n, sizeof(all[0]), cmp_samples);
	n = MIN(n, max);
	if (n > 0)
		memcpy(rows, all, n * sizeof(rows[0]));
	return (n);
}

uint32_t
corun_count(const struct corun *c, uint32_t kind)
{
	uint32_t i;

	for (i = 0; i < CORUN_KINDS_MAX; i++) {
		if (c->kinds[i].kind == kind)
			return (c->kinds[i].count);
	}
	return (0);
}
