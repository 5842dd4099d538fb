/*
 * Draws the jobs of a run: a Poisson process, whose rate is higher during the
 * crests of the swing, and independent run times.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "arrivals.h"

#define JOBS_MAX 4000000U /* limits memory when a rate is mistyped */
#define MSEC_PER_SEC 1000.0
/* Latest time after the arrival for a resubmission or a cancel. */
#define IMPATIENCE_MAX_MS 400U
#define UNIT_BITS 53 /* of the mantissa of a double */

/*
 * Returns a number in [0, 1).
 */
double
mlk_load_draw_unit(struct mlk_rng *rng)
{
	return (
	    ldexp((double)(mlk_rng_next(rng) >> (64 - UNIT_BITS)), -UNIT_BITS));
}

static uint32_t
draw_range(struct mlk_rng *rng, uint32_t min, uint32_t max)
{
	return (min + mlk_rng_below(rng, max - min + 1));
}

static double
mean_tasks(const struct mlk_load_scenario *sc)
{
	double mean = 0.0;
	uint32_t i;

	if (sc->nsizes == 0)
		return (1.0);
	for (i = 0; i < sc->nsizes; i++)
		mean += sc->sizes[i].share *
		    ((double)sc->sizes[i].min + sc->sizes[i].max) / 2;
	return (mean);
}

/*
 * Returns the mean slot time of one job, in slot-seconds.
 */
double
mlk_load_mean_work(const struct mlk_load_scenario *sc)
{
	const struct mlk_load_kind *k;
	double usual, straggler, mean = 0.0;
	uint32_t i;

	for (i = 0; i < sc->nkinds; i++) {
		k = &sc->kinds[i];
		usual = ((double)k->min_ms + k->max_ms) / 2;
		straggler =
		    ((double)k->straggler_min_ms + k->straggler_max_ms) / 2;
		mean += k->share *
		    (usual + k->straggler_share * (straggler - usual));
	}
	return (mean * mean_tasks(sc) / MSEC_PER_SEC);
}

/*
 * Returns the mean arrival rate in jobs per second.
 */
static double
mean_rate(const struct mlk_load_scenario *sc)
{
	if (sc->rate > 0.0)
		return (sc->rate);
	return (sc->load * sc->workers * sc->slots / mlk_load_mean_work(sc));
}

/*
 * Returns the rate outside the crests, in jobs per second, with which the mean
 * over a period equals the rate or load of the scenario.
 */
double
mlk_load_base_rate(const struct mlk_load_scenario *sc)
{
	const struct mlk_load_swing *s = sc->swing;

	if (s == NULL)
		return (mean_rate(sc));
	return (mean_rate(sc) * s->period_s /
	    (s->period_s - s->crest_s + s->crest_s * s->factor));
}

/*
 * Returns the rate at time t, and in *until the time when it changes, both
 * times in seconds.
 */
static double
rate_at(
    const struct mlk_load_scenario *sc, double base, double t, double *until)
{
	const struct mlk_load_swing *s = sc->swing;
	double start;

	if (s == NULL) {
		*until = HUGE_VAL;
		return (base);
	}
	start = floor(t / s->period_s) * s->period_s;
	*until = start + s->period_s - s->crest_s;
	if (t < *until)
		return (base);
	*until = start + s->period_s;
	return (base * s->factor);
}

/*
 * Returns the time of the next arrival after t, in seconds: the time when the
 * integral of the rate from t on reaches an exponential variate of mean 1.
 */
static double
next_arrival(const struct mlk_load_scenario *sc, double base, double t,
    struct mlk_rng *rng)
{
	double remaining = -log(1.0 - mlk_load_draw_unit(rng));
	double rate, until;

	for (;;) {
		rate = rate_at(sc, base, t, &until);
		if (remaining <= rate * (until - t))
			return (t + remaining / rate);
		remaining -= rate * (until - t);
		t = until;
	}
}

static uint32_t
draw_kind(const struct mlk_load_scenario *sc, struct mlk_rng *rng)
{
	double remaining = mlk_load_draw_unit(rng);
	uint32_t i;

	for (i = 0; i + 1 < sc->nkinds; i++) {
		remaining -= sc->kinds[i].share;
		if (remaining < 0.0)
			break;
	}
	return (i);
}

static uint32_t
draw_ntasks(const struct mlk_load_scenario *sc, struct mlk_rng *rng)
{
	double remaining = mlk_load_draw_unit(rng);
	uint32_t i;

	if (sc->nsizes == 0)
		return (1);
	for (i = 0; i + 1 < sc->nsizes; i++) {
		remaining -= sc->sizes[i].share;
		if (remaining < 0.0)
			break;
	}
	return (draw_range(rng, sc->sizes[i].min, sc->sizes[i].max));
}

static uint32_t
draw_run_ms(const struct mlk_load_kind *k, struct mlk_rng *rng)
{
	if (mlk_load_draw_unit(rng) < k->straggler_share)
		return (
		    draw_range(rng, k->straggler_min_ms, k->straggler_max_ms));
	return (draw_range(rng, k->min_ms, k->max_ms));
}

/*
 * Returns a delay in nanoseconds for the given share of jobs, otherwise 0.
 * Draws two numbers in both cases, so that a change of the share does not
 * change the other draws.
 */
static int64_t
draw_delay(struct mlk_rng *rng, double share)
{
	bool selected = mlk_load_draw_unit(rng) < share;
	uint32_t ms = draw_range(rng, 1, IMPATIENCE_MAX_MS);

	return (selected ? ms * MLK_NSEC_PER_MSEC : 0);
}

static void
draw_job(const struct mlk_load_scenario *sc, double t, struct mlk_rng *rng,
    struct mlk_load_job *job)
{
	uint32_t i;

	memset(job, 0, sizeof(*job));
	job->at = (int64_t)(t * (double)MLK_NSEC_PER_SEC);
	job->measured = t >= sc->warm_up_s;
	job->kind = draw_kind(sc, rng);
	job->ntasks = draw_ntasks(sc, rng);
	job->pick = mlk_rng_next(rng);
	if (sc->nteams > 0)
		job->team = mlk_rng_below(rng, sc->nteams);
	job->resubmit_after = draw_delay(rng, sc->resubmit_share);
	job->cancel_after = draw_delay(rng, sc->cancel_share);
	job->tasks = g_new0(struct mlk_load_task, job->ntasks);
	for (i = 0; i < job->ntasks; i++) {
		job->tasks[i].run_ms = draw_run_ms(&sc->kinds[job->kind], rng);
		job->ideal_ms = MAX(job->ideal_ms, job->tasks[i].run_ms);
	}
}

/*
 * Draws all jobs of the warm-up and of the measured duration.  The caller owns
 * *out.  Returns 0, or MLK_ERR_SETTINGS when the rate is not positive or gives
 * more than JOBS_MAX jobs.
 */
int
mlk_load_arrivals_create(const struct mlk_load_scenario *sc,
    struct mlk_load_arrivals **out, struct mlk_error *err)
{
	double end = sc->warm_up_s + sc->duration_s;
	double base = mlk_load_base_rate(sc);
	struct mlk_load_arrivals *arrivals;
	struct mlk_load_job job;
	struct mlk_rng rng;
	GArray *jobs;
	double t = 0.0;

	if (!isfinite(base) || base <= 0.0 || base * end > JOBS_MAX) {
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "%s: %.1f jobs/s for %.0f s is out of bounds", sc->name,
		    base, end));
	}
	mlk_rng_seed(&rng, sc->seed);
	arrivals = g_new0(struct mlk_load_arrivals, 1);
	jobs = g_array_new(FALSE, FALSE, sizeof(struct mlk_load_job));
	while ((t = next_arrival(sc, base, t, &rng)) < end) {
		draw_job(sc, t, &rng, &job);
		arrivals->ntasks += job.ntasks;
		g_array_append_val(jobs, job);
	}
	arrivals->mean_rate = mean_rate(sc);
	arrivals->n = jobs->len;
	arrivals->jobs = (struct mlk_load_job *)g_array_free(jobs, FALSE);
	*out = arrivals;
	return (0);
}

void
mlk_load_arrivals_free(struct mlk_load_arrivals *arrivals)
{
	uint32_t i;

	if (arrivals == NULL)
		return;
	for (i = 0; i < arrivals->n; i++)
		g_free(arrivals->jobs[i].tasks);
	g_free(arrivals->jobs);
	g_free(arrivals);
}
