/*
 * Tests of the measurement of interference (src/dispatch/corun.c) and of the
 * verdicts (interference.c) on simulated workers: five kinds of task with
 * different lengths and widths, estimates that are off by 0.4 in either
 * direction, 3 % of the jobs seven times as long, workers at 0.6 to 1.6 of the
 * usual speed.  SEEDS runs are made of each case, since a false verdict is
 * rare.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <monsoonlock/base.h>

#include "../src/dispatch/corun.h"
#include "../src/dispatch/interference.h"

#define MS ((int64_t)MLK_NSEC_PER_MSEC)
#define SEEDS 50
#define KINDS 5U
#define WORKERS 20U
#define SLOTS 8U
#define STEP_MS 5
#define LIST_MS 50
#define SEEN_MS 100 /* between reports of the kinds at a worker */
#define TASKS_MAX 8192
#define JOBS_MAX 4096
#define USUAL_LOAD 0.7
#define GOAL_MS 60.0
#define GOAL_STRETCH 1.6
#define EXPLORE 16

static const struct {
	double ms;
	uint32_t width;
} shapes[KINDS] = { { 51, 8 }, { 760, 4 }, { 170, 2 }, { 320, 3 }, { 120, 1 } };

struct sim_task {
	struct corun_run *run;
	uint32_t job;
	uint32_t kind;
	uint32_t worker;
	double work; /* ms at the usual speed */
	double left;
	int64_t began;
};

struct sim_job {
	bool used;
	uint32_t kind;
	uint32_t queued;
	uint32_t left;
	double work;
	uint32_t expected_ms;
	int64_t arrived;
	int64_t goal;
};

struct sim_worker {
	struct corun *corun;
	double speed;
	uint32_t running[KINDS];
	uint32_t busy;
	uint32_t seen[KINDS]; /* as the entry knows it */
};

struct sim {
	struct mlk_rng rng;
	int64_t now;
	struct interference *in;
	struct sim_worker workers[WORKERS];
	struct sim_task *tasks[TASKS_MAX];
	uint32_t ntasks;
	struct sim_job jobs[JOBS_MAX];
	uint32_t top; /* jobs from this index on have never been used */
	double factor[KINDS][KINDS]; /* of the run time of the first beside
					the second */
	double crowding; /* added to the run time on a full worker */
	double load;
	uint32_t faulty; /* this many workers run at a fifth in turn */
	bool avoid;
	/* results */
	double *slowdowns[KINDS];
	uint32_t nslowdowns[KINDS];
	uint32_t done, in_goal, refused;
	uint32_t wrong; /* verdicts on pairs without interference */
	int64_t made_at[KINDS][KINDS];
	int64_t withdrawn_at[KINDS][KINDS];
};

#define SLOWDOWNS_MAX 200000

static double
uniform(struct sim *s)
{
	return ((double)(mlk_rng_next(&s->rng) >> 11) * 0x1p-53);
}

/*
 * Returns the time between two arrivals, in units of its mean.
 */
static double
gap(struct sim *s)
{
	return (-log(1 - uniform(s)));
}

static struct sim *
sim_create(uint64_t seed, double load)
{
	struct sim *s;
	uint32_t i, j;

	s = g_new0(struct sim, 1);
	mlk_rng_seed(&s->rng, seed);
	s->now = 1000 * MS;
	s->load = load;
	s->in = interference_create();
	for (i = 0; i < WORKERS; i++) {
		s->workers[i].corun = corun_create();
		s->workers[i].speed = 0.6 + uniform(s);
	}
	for (i = 0; i < KINDS; i++) {
		s->slowdowns[i] = g_new(double, SLOWDOWNS_MAX);
		for (j = 0; j < KINDS; j++)
			s->factor[i][j] = 1;
	}
	return (s);
}

/*
 * Lets two kinds, which depend on the seed, slow each other down.
 */
static void
choose_pair(struct sim *s, uint64_t seed, uint32_t *a, uint32_t *b)
{
	*a = (uint32_t)(seed % KINDS);
	*b = (*a + 1 + (uint32_t)(seed / KINDS) % (KINDS - 1)) % KINDS;
	s->factor[*a][*b] = 2;
	s->factor[*b][*a] = 2;
}

static void
arrive(struct sim *s, uint32_t kind)
{
	double tail = uniform(s) < 0.03 ? 7 : 1, spread;
	struct sim_job *job = NULL;
	uint32_t i;

	for (i = 0; i < JOBS_MAX && job == NULL; i++) {
		if (!s->jobs[i].used)
			job = &s->jobs[i];
	}
	if (job != NULL)
		s->top = MAX(s->top, i);
	else
		return; /* overloaded; the callers are refused */
	spread = exp2(0.6 * (uniform(s) - 0.5));
	job->used = true;
	job->kind = kind;
	job->queued = job->left = shapes[kind].width;
	job->work = shapes[kind].ms * spread * tail;
	job->expected_ms =
	    (uint32_t)(shapes[kind].ms * spread * (0.6 + 0.8 * uniform(s)));
	job->arrived = s->now;
	job->goal = s->now +
	    (int64_t)((GOAL_MS + GOAL_STRETCH * job->work) * (double)MS);
}

static void
arrivals(struct sim *s)
{
	double mean, p;
	uint32_t k;

	for (k = 0; k < KINDS; k++) {
		/*
		 * Each kind brings the same work; 1.1 is the mean speed, 1.18
		 * is for the tails.
		 */
		mean = s->load * SLOTS * WORKERS * 1.1 / KINDS * STEP_MS /
		    (shapes[k].ms * shapes[k].width * 1.18);
		p = gap(s);
		while (p < mean) {
			arrive(s, k);
			p += gap(s);
		}
	}
}

static uint32_t
loss_at(const struct sim *s, const struct sim_worker *w, uint32_t kind)
{
	uint32_t k, loss = 0;

	for (k = 0; k < KINDS; k++) {
		if (w->seen[k] > 0)
			loss += interference_loss(s->in, kind + 1, k + 1);
	}
	return (loss);
}

static struct sim_worker *
choose(struct sim *s, const struct sim_job *job, uint32_t *fit)
{
	uint32_t i, cost, best_cost = UINT32_MAX, ties = 0, f;
	bool explore = interference_scarce(s->in, job->kind + 1) &&
	    mlk_rng_below(&s->rng, EXPLORE) == 0;
	struct sim_worker *w, *best = NULL;

	for (i = 0; i < WORKERS; i++) {
		w = &s->workers[i];
		f = MIN(job->queued, SLOTS - w->busy);
		if (f == 0)
			continue;
		cost = (w->busy + f) * 1000 / SLOTS +
		    300 * (job->queued - f) / job->queued;
		if (s->avoid && !explore)
			cost += interference_cost(loss_at(s, w, job->kind));
		ties = cost < best_cost ? 1 : ties + (cost == best_cost);
		if (cost > best_cost ||
		    (cost == best_cost && mlk_rng_below(&s->rng, ties) != 0))
			continue;
		best = w;
		best_cost = cost;
		*fit = f;
	}
	return (best);
}

static void
start_tasks(struct sim *s, uint32_t at, struct sim_job *job,
    struct sim_worker *w, uint32_t n)
{
	struct sim_task *task;
	uint32_t i;

	for (i = 0; i < n && s->ntasks < TASKS_MAX; i++) {
		task = g_new0(struct sim_task, 1);
		task->job = at;
		task->kind = job->kind;
		task->worker = (uint32_t)(w - s->workers);
		task->work = task->left = job->work;
		task->began = s->now;
		s->tasks[s->ntasks++] = task;
		w->running[job->kind]++;
		w->seen[job->kind]++;
		w->busy++;
		job->queued--;
		corun_utilisation(w->corun, w->busy * 1000 / SLOTS, s->now);
		task->run = corun_begin(
		    w->corun, job->kind + 1, n, job->expected_ms, s->now);
	}
}

/*
 * Places queued jobs, the one with the earliest goal first.
 */
static void
place(struct sim *s)
{
	struct sim_worker *w;
	struct sim_job *job;
	uint32_t i, fit = 0;

	for (i = 0; i < s->top; i++) {
		job = &s->jobs[i];
		if (job->used && job->queued == shapes[job->kind].width &&
		    s->now + (int64_t)(job->work * (double)MS) > job->goal) {
			job->used = false; /* refused */
			s->refused++;
		}
	}
	for (;;) {
		job = NULL;
		for (i = 0; i < s->top; i++) {
			if (s->jobs[i].used && s->jobs[i].queued > 0 &&
			    (job == NULL || s->jobs[i].goal < job->goal))
				job = &s->jobs[i];
		}
		if (job == NULL || (w = choose(s, job, &fit)) == NULL)
			return;
		start_tasks(s, (uint32_t)(job - s->jobs), job, w, fit);
	}
}

/*
 * Returns the speed of the tasks of a kind at a worker.
 */
static double
rate_of(const struct sim *s, uint32_t worker, uint32_t kind)
{
	const struct sim_worker *w = &s->workers[worker];
	double rate = w->speed, busy = (double)w->busy / SLOTS;
	uint32_t k;

	for (k = 0; k < KINDS; k++) {
		if (w->running[k] > (k == kind))
			rate /= s->factor[kind][k];
	}
	/* Some other workers are faulty every 4 s. */
	if ((worker + (uint32_t)(s->now / (4000 * MS))) % WORKERS < s->faulty)
		rate /= 5;
	return (rate / (1 + s->crowding * MAX(0, busy - 0.5) * 2));
}

static void
end_task(struct sim *s, uint32_t i)
{
	struct sim_task *task = s->tasks[i];
	struct sim_worker *w = &s->workers[task->worker];
	struct sim_job *job = &s->jobs[task->job];

	corun_end(w->corun, task->run, s->now - task->began, 100, true, s->now);
	w->running[task->kind]--;
	w->busy--;
	corun_utilisation(w->corun, w->busy * 1000 / SLOTS, s->now);
	if (s->nslowdowns[task->kind] < SLOWDOWNS_MAX) {
		s->slowdowns[task->kind][s->nslowdowns[task->kind]++] =
		    (double)(s->now - task->began) / (double)MS * w->speed /
		    task->work;
	}
	if (--job->left == 0) {
		s->done++;
		s->in_goal += s->now <= job->goal;
		job->used = false;
	}
	g_free(task);
	s->tasks[i] = s->tasks[--s->ntasks];
}

static void
sim_destroy(struct sim *s)
{
	uint32_t i;

	for (i = s->ntasks; i > 0; i--)
		end_task(s, i - 1);
	for (i = 0; i < WORKERS; i++)
		corun_destroy(s->workers[i].corun);
	for (i = 0; i < KINDS; i++)
		g_free(s->slowdowns[i]);
	interference_destroy(s->in);
	g_free(s);
}

static void
run_tasks(struct sim *s)
{
	bool list = s->now / MS % LIST_MS == 0;
	struct sim_task *task;
	double rate[WORKERS][KINDS];
	uint32_t i, k;

	for (i = 0; i < WORKERS; i++) {
		for (k = 0; k < KINDS; k++)
			rate[i][k] = rate_of(s, i, k);
	}
	for (i = s->ntasks; i > 0; i--) {
		task = s->tasks[i - 1];
		task->left -= rate[task->worker][task->kind] * STEP_MS;
		if (task->left <= 0) {
			end_task(s, i - 1);
		} else if (list) {
			corun_progress(s->workers[task->worker].corun,
			    task->run,
			    (uint32_t)(100 * (1 - task->left / task->work)),
			    true, s->now);
		}
	}
}

static void
note_changes(
    struct sim *s, const struct interference_change *changes, uint32_t n)
{
	const struct mlk_verdict *v;
	uint32_t i;

	for (i = 0; i < n; i++) {
		v = &changes[i].verdict;
		if (changes[i].type != INTERFERENCE_MADE)
			s->withdrawn_at[v->kind - 1][v->other - 1] = s->now;
		else if (s->factor[v->kind - 1][v->other - 1] == 1)
			s->wrong++;
		else if (s->made_at[v->kind - 1][v->other - 1] == 0)
			s->made_at[v->kind - 1][v->other - 1] = s->now;
	}
}

/*
 * What agents and the deciding entry do once a second.
 */
static void
report(struct sim *s)
{
	struct interference_change changes[MLK_VERDICTS_MAX];
	struct mlk_verdict verdicts[MLK_VERDICTS_MAX];
	struct mlk_corun rows[MLK_CORUN_MAX];
	char name[16];
	uint32_t i, n;

	n = interference_verdicts(s->in, verdicts);
	for (i = 0; i < WORKERS; i++) {
		corun_set_verdicts(s->workers[i].corun, verdicts, n);
		(void)snprintf(name, sizeof(name), "agent-%u", i);
		interference_report(s->in, name, rows,
		    corun_report(
			s->workers[i].corun, rows, MLK_CORUN_MAX, s->now),
		    s->now);
	}
	n = interference_judge(s->in, changes, s->now);
	note_changes(s, changes, n);
}

static void
sim_run(struct sim *s, uint32_t seconds)
{
	int64_t end = s->now + seconds * 1000 * MS;
	uint32_t i;

	while (s->now < end) {
		s->now += STEP_MS * MS;
		run_tasks(s);
		arrivals(s);
		place(s);
		for (i = 0; s->now / MS % SEEN_MS == 0 && i < WORKERS; i++)
			memcpy(s->workers[i].seen, s->workers[i].running,
			    sizeof(s->workers[i].seen));
		if (s->now / MS % 1000 == 0)
			report(s);
	}
}

static int
cmp_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x < y ? -1 : x > y);
}

static double
quantile(double *values, uint32_t n, double q)
{
	qsort(values, n, sizeof(*values), cmp_double);
	return (values[(uint32_t)((n - 1) * q)]);
}

/*
 * Two kinds halve each other's speed: both verdicts within 10 s, no other.
 */
static void
test_pair_is_found(void **state)
{
	uint32_t seed, a, b, late = 0, wrong = 0;
	int64_t worst = 0, at;
	struct sim *s;

	(void)state;
	for (seed = 0; seed < SEEDS; seed++) {
		s = sim_create(seed, USUAL_LOAD);
		choose_pair(s, seed, &a, &b);
		sim_run(s, 30);
		at = MAX(s->made_at[a][b], s->made_at[b][a]) - 1000 * MS;
		if (s->made_at[a][b] == 0 || s->made_at[b][a] == 0 ||
		    at > 10000 * MS) {
			late++;
			print_message("seed %u kinds %u %u at %d and %d ms\n",
			    seed, a, b, (int)(s->made_at[a][b] / MS),
			    (int)(s->made_at[b][a] / MS));
		}
		worst = MAX(worst, at);
		wrong += s->wrong;
		sim_destroy(s);
	}
	print_message("late %u, wrong %u, the last after %d ms\n", late, wrong,
	    (int)(worst / MS));
	assert_int_equal(late, 0);
	assert_int_equal(wrong, 0);
}

static void
expect_none(double load, double crowding, uint32_t faulty, uint32_t seconds)
{
	uint32_t seed, wrong = 0;
	struct sim *s;

	for (seed = 0; seed < SEEDS; seed++) {
		s = sim_create(seed + 1000, load);
		s->crowding = crowding;
		s->faulty = faulty;
		sim_run(s, seconds);
		wrong += s->wrong;
		sim_destroy(s);
	}
	assert_int_equal(wrong, 0);
}

static void
test_none(void **state)
{
	(void)state;
	expect_none(USUAL_LOAD, 0, 0, 30);
}

/*
 * Every task takes twice as long on a full worker: not interference.
 */
static void
test_utilisation_alone(void **state)
{
	(void)state;
	expect_none(USUAL_LOAD, 1, 0, 30);
}

/*
 * Two workers in turn run at a fifth of their speed: not interference.
 */
static void
test_faulty_workers(void **state)
{
	(void)state;
	expect_none(0.5, 0, 2, 30);
}

/*
 * The interference stops: the verdicts are withdrawn within 30 s, also when
 * placement keeps the kinds apart.
 */
static void
test_withdrawn(void **state)
{
	uint32_t seed, a, b, n = 0, kept = 0;
	int64_t stopped, worst = 0;
	struct sim *s;

	(void)state;
	for (seed = 0; seed < SEEDS; seed++) {
		s = sim_create(seed + 2000, USUAL_LOAD);
		s->avoid = true;
		choose_pair(s, seed, &a, &b);
		sim_run(s, 20);
		stopped = s->now;
		s->factor[a][b] = s->factor[b][a] = 1;
		s->wrong = 0;
		sim_run(s, 30);
		n = interference_loss(s->in, a + 1, b + 1);
		if (n != 0) {
			kept++;
			print_message(
			    "seed %u kinds %u %u: %u left\n", seed, a, b, n);
		}
		worst = MAX(worst,
		    MAX(s->withdrawn_at[a][b], s->withdrawn_at[b][a]) -
			stopped);
		sim_destroy(s);
	}
	print_message(
	    "kept %u, the last after %d ms\n", kept, (int)(worst / MS));
	assert_int_equal(kept, 0);
}

struct gain {
	double p99; /* slowdown of the two kinds */
	double in_goal;
	uint32_t done;
};

static struct gain
measure(uint64_t seed, double load, bool avoid)
{
	struct gain gain = { 0 };
	uint32_t a, b;
	struct sim *s;

	s = sim_create(seed + 3000, load);
	choose_pair(s, seed, &a, &b);
	s->avoid = avoid;
	sim_run(s, 15);
	memset(s->nslowdowns, 0, sizeof(s->nslowdowns));
	s->done = s->in_goal = s->refused = 0;
	sim_run(s, 20);
	gain.p99 = (quantile(s->slowdowns[a], s->nslowdowns[a], 0.99) +
		       quantile(s->slowdowns[b], s->nslowdowns[b], 0.99)) /
	    2;
	gain.in_goal = (double)s->in_goal / (s->done + s->refused);
	gain.done = s->done;
	sim_destroy(s);
	return (gain);
}

static void
compare(double load, struct gain *off, struct gain *on)
{
	struct gain g;
	uint32_t seed;

	memset(off, 0, sizeof(*off));
	memset(on, 0, sizeof(*on));
	for (seed = 0; seed < SEEDS; seed++) {
		g = measure(seed, load, false);
		off->p99 += g.p99 / SEEDS;
		off->in_goal += g.in_goal / SEEDS;
		off->done += g.done;
		g = measure(seed, load, true);
		on->p99 += g.p99 / SEEDS;
		on->in_goal += g.in_goal / SEEDS;
		on->done += g.done;
	}
	print_message("load %.2f: p99 slowdown %.3f -> %.3f, in goal %.4f -> "
		      "%.4f, done %u -> %u\n",
	    load, off->p99, on->p99, off->in_goal, on->in_goal, off->done,
	    on->done);
}

static void
test_gain(void **state)
{
	struct gain off, on;

	(void)state;
	compare(USUAL_LOAD, &off, &on);
	assert_true(on.p99 < off.p99 * 0.97);
	assert_true(on.in_goal >= off.in_goal + 0.05);
	compare(1.0, &off, &on);
	assert_true(on.in_goal >= off.in_goal);
	assert_true(on.done >= off.done);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pair_is_found),
		cmocka_unit_test(test_none),
		cmocka_unit_test(test_utilisation_alone),
		cmocka_unit_test(test_faulty_workers),
		cmocka_unit_test(test_withdrawn),
		cmocka_unit_test(test_gain),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
