/*
 * Load tests of admission control in simulated time: entries with the real
 * dispatcher, agents with the real runner, and queues of callers that together
 * ask for more than the workers can do.  Every scenario is also played without
 * admission control, to show what the checks find then.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "dispatch_world.h"

/* A queue has some 160 heavy jobs in one seed, of which 16 are the largest. */
#define SEEDS 4
#define ENTRIES 6
#define AGENTS 10
#define WORKER_CPU 64000U /* thousandths of a core */
#define TASK_CPU 5600U
#define WORKER_TASKS 11U /* that fit on a worker */
#define WORKER_USABLE (WORKER_TASKS * TASK_CPU)
#define QUEUES 3
/* Times in ms.  Jobs arrive from 3,500 on. */
#define SURGE_AT 15000
#define SURGE_MS 8000
#define END_AT (SURGE_AT + SURGE_MS)
#define WAVE_MS 12000
#define FAULT_AT (SURGE_AT + 2000)
#define FAULT_MS 3000
#define WORKERS_FAULTY 2

/* Bounds, from docs/design/hard-load.md, 4.2 and 4.3. */
#define CALM_IN_GOAL 0.90 /* of the jobs of a queue that did not flood */
#define TOTAL_IN_GOAL 0.75 /* of the work that the workers can do */
#define LARGE_SERVED 0.5 /* the largest jobs, in relation to the others */
#define EARLY_REFUSALS 0.9 /* within a quarter of the goal */
#define LEAST_SERVED 0.1 /* of a queue's jobs at three times the capacity */

enum queue {
	QUICK, /* wide jobs of short tasks */
	LIGHT,
	HEAVY,
};

static const struct world_route queues[QUEUES] = {
	[QUICK] = { .priority = 0, .tasks = 6, .tasks_max = 10, .work_ms = 51 },
	[LIGHT] = { .priority = 1, .tasks = 1, .tasks_max = 3, .work_ms = 170 },
	[HEAVY] = { .priority = 2, .tasks = 3, .tasks_max = 5, .work_ms = 760 },
};

/* Parts of the whole demand, by work. */
static const double parts[QUEUES] = { 0.25, 0.35, 0.40 };

enum fault {
	NO_FAULT,
	ENTRY_DOWN, /* one of six */
	WORKERS_DOWN, /* a fifth of them */
	FAULTS,
};

/* Loads and surges are by queue. */
struct scenario {
	const char *name;
	double load[QUEUES]; /* 1: the queue's part of the capacity */
	double surge[QUEUES]; /* factor from SURGE_AT on; 0: none */
	double wave; /* part of the load that swings */
	uint32_t first_entry; /* traffic of the first entry against that of
				 each other; 0: the same */
	bool flood; /* a queue without a surge is not to pay for one with */
	bool enough; /* there is capacity for all jobs */
};

/*
 * The loads at the surge are 1.25 times the capacity in the floods, and 1.4 and
 * 1.35 at the peak of the step and of the wave.
 */
static const struct scenario scenarios[] = {
	{ .name = "half", .load = { 0.5, 0.5, 0.5 }, .enough = true },
	{ .name = "steady_1.1", .load = { 1.1, 1.1, 1.1 } },
	{ .name = "steady_1.5", .load = { 1.5, 1.5, 1.5 } },
	{ .name = "steady_3", .load = { 3, 3, 3 } },
	{ .name = "step", .load = { 0.7, 0.7, 0.7 }, .surge = { 2, 2, 2 } },
	{ .name = "wave", .load = { 0.9, 0.9, 0.9 }, .wave = 0.5 },
	{ .name = "flood_quick",
	    .load = { 0.75, 0.75, 0.75 },
	    .surge = { 3.67, 0, 0 },
	    .flood = true },
	{ .name = "flood_light",
	    .load = { 0.75, 0.75, 0.75 },
	    .surge = { 0, 2.9, 0 },
	    .flood = true },
	{ .name = "flood_heavy",
	    .load = { 0.75, 0.75, 0.75 },
	    .surge = { 0, 0, 2.67 },
	    .flood = true },
	{ .name = "unequal",
	    .load = { 0.75, 0.75, 0.75 },
	    .surge = { 0, 2.9, 0 },
	    .first_entry = 8,
	    .flood = true },
};

#define SCENARIOS (sizeof(scenarios) / sizeof(scenarios[0]))

/* Each fault, twice for floods, and once without admission control. */
#define VARIANTS (2 * FAULTS + 1)

/* A test. */
struct variant {
	const struct scenario *scenario;
	enum fault fault;
	enum mlk_admission_mode mode;
	bool calm; /* checks only the queues that did not flood */
	char name[48];
};

/* Figures of a scenario, over all seeds. */
struct figures {
	struct world_route_stats queues[QUEUES];
	double capacity; /* work that the workers can do in the time */
	double work; /* offered */
	double work_in_goal;
};

static void
add_stats(struct world_route_stats *sum, const struct world_route_stats *s)
{
	sum->jobs += s->jobs;
	sum->completed += s->completed;
	sum->useful += s->useful;
	sum->in_goal += s->in_goal;
	sum->refusals += s->refusals;
	sum->refusals_early += s->refusals_early;
	sum->untried += s->untried;
	sum->work += s->work;
	sum->work_in_goal += s->work_in_goal;
	sum->large += s->large;
	sum->large_useful += s->large_useful;
}

static void
fill_queues(const struct scenario *s, struct world_route *routes)
{
	double tasks, job_work;
	struct world_route *r;
	uint32_t i;

	for (i = 0; i < QUEUES; i++) {
		r = &routes[i];
		*r = queues[i];
		r->cpu = TASK_CPU;
		tasks = (r->tasks + r->tasks_max) / 2.0;
		job_work = tasks * TASK_CPU * r->work_ms;
		r->jobs_per_s = s->load[i] * parts[i] * 1000 * AGENTS *
		    WORKER_USABLE / job_work;
		if (s->wave > 0) {
			r->wave = s->wave;
			r->wave_ms = WAVE_MS;
		}
		if (s->surge[i] > 0) {
			r->surge_at = SURGE_AT;
			r->surge_ms = SURGE_MS;
			r->surge_factor = s->surge[i];
		}
	}
}

static void
add_fault(struct world *w, enum fault fault)
{
	uint32_t i;

	if (fault == ENTRY_DOWN)
		world_fault(w, FAULT_AT, WORLD_ENTRY_KILL, 0, 0, FAULT_MS);
	for (i = 0; fault == WORKERS_DOWN && i < WORKERS_FAULTY; i++)
		world_fault(w, FAULT_AT, WORLD_WORKER_CRASH, 0, i, FAULT_MS);
}

/*
 * Returns the work that the workers cannot do for lack of jobs while the first
 * entry is down, whose callers wait.
 */
static double
idle_work(const struct scenario *s)
{
	double load = 0, traffic;
	uint32_t i;

	for (i = 0; i < QUEUES; i++)
		load +=
		    parts[i] * s->load[i] * (s->surge[i] > 0 ? s->surge[i] : 1);
	traffic = s->first_entry > 0 ? s->first_entry : 1;
	load *= (ENTRIES - 1) / (ENTRIES - 1 + traffic);
	return (load < 1 ?
		(1 - load) * AGENTS * WORKER_USABLE * (double)FAULT_MS :
		0);
}

static void
play_seed(const struct variant *v, uint64_t seed, struct figures *f)
{
	const struct scenario *s = v->scenario;
	struct world_route routes[QUEUES];
	struct world_options options = { .seed = seed,
		.entries = ENTRIES,
		.agents = AGENTS,
		.cpu = WORKER_CPU,
		.nroutes = QUEUES,
		.routes = routes,
		.count_from = s->wave > 0 ? END_AT - WAVE_MS : SURGE_AT,
		.count_until = END_AT,
		.link_entries = true,
		.admission = v->mode };
	struct world_route_stats stats;
	double worker_ms;
	struct world *w;
	uint32_t i;

	fill_queues(s, routes);
	for (i = 0; s->first_entry > 0 && i < ENTRIES; i++)
		options.entry_weights[i] = i == 0 ? s->first_entry : 1;
	w = world_create(&options);
	add_fault(w, v->fault);
	world_run(w, END_AT);
	world_settle(w);
	if (world_violation(w) != NULL)
		fail_msg("seed %u: %s", (unsigned int)seed, world_violation(w));
	for (i = 0; i < QUEUES; i++) {
		world_read_route(w, i, &stats);
		add_stats(&f->queues[i], &stats);
		f->work += stats.work;
		f->work_in_goal += stats.work_in_goal;
	}
	worker_ms = AGENTS * (double)(END_AT - options.count_from);
	if (v->fault == WORKERS_DOWN)
		worker_ms -= WORKERS_FAULTY * FAULT_MS;
	f->capacity += WORKER_USABLE * worker_ms;
	if (v->fault == ENTRY_DOWN)
		f->capacity -= idle_work(s);
	world_destroy(w);
}

static double
part(double a, double b)
{
	return (b > 0 ? a / b : 1);
}

static const char *const queue_names[] = { "quick", "light", "heavy" };

static void
print_figures(const struct figures *f)
{
	const struct world_route_stats *q;
	uint32_t i;

	for (i = 0; i < QUEUES; i++) {
		q = &f->queues[i];
		print_message("  %s: %u jobs, in goal %.3f, useful %.3f, large "
			      "%.3f, %u refusals, early %.3f, %u untried\n",
		    queue_names[i], q->jobs, part(q->in_goal, q->jobs),
		    part(q->useful, q->jobs), part(q->large_useful, q->large),
		    q->refusals, part(q->refusals_early, q->refusals),
		    q->untried);
	}
	print_message("  offered %.2f of the capacity, in goal %.3f\n",
	    f->work / f->capacity, f->work_in_goal / f->capacity);
}

/* The checks that failed, as text. */
struct findings {
	char text[1024];
	uint32_t n;
};

static void
check(struct findings *found, bool ok, const char *what, const char *queue,
    double value, double bound)
{
	size_t len = strlen(found->text);

	if (ok)
		return;
	found->n++;
	(void)snprintf(found->text + len, sizeof(found->text) - len,
	    "%s%s %s %.3f, bound %.3f", len > 0 ? "; " : "", queue, what, value,
	    bound);
}

static void
check_queue(const struct scenario *s, const struct figures *f, uint32_t i,
    struct findings *found)
{
	const struct world_route_stats *q = &f->queues[i];
	const char *name = queue_names[i];
	double others, value;

	value = part(q->useful, q->jobs);
	check(
	    found, value >= LEAST_SERVED, "served", name, value, LEAST_SERVED);
	others = part(q->useful - q->large_useful, q->jobs - q->large);
	value = part(q->large_useful, q->large);
	check(found, value >= LARGE_SERVED * others, "largest jobs served",
	    name, value, LARGE_SERVED * others);
	if (s->enough)
		check(found, q->refusals == 0, "refused with capacity free",
		    name, q->refusals, 0);
	check(found, q->untried == 0, "held to the deadline untried", name,
	    q->untried, 0);
}

static void
check_calm(
    const struct scenario *s, const struct figures *f, struct findings *found)
{
	double value;
	uint32_t i;

	for (i = 0; i < QUEUES; i++) {
		if (!s->flood || s->surge[i] > 0)
			continue;
		value = part(f->queues[i].in_goal, f->queues[i].jobs);
		check(found, value >= CALM_IN_GOAL, "did not flood, in goal",
		    queue_names[i], value, CALM_IN_GOAL);
	}
}

static void
check_figures(
    const struct scenario *s, const struct figures *f, struct findings *found)
{
	uint32_t refusals = 0, early = 0, i;
	double value, able;

	for (i = 0; i < QUEUES; i++) {
		check_queue(s, f, i, found);
		refusals += f->queues[i].refusals;
		early += f->queues[i].refusals_early;
	}
	able = f->work < f->capacity ? f->work : f->capacity;
	value = f->work_in_goal / able;
	check(found, value >= TOTAL_IN_GOAL, "in goal", "total", value,
	    TOTAL_IN_GOAL);
	value = part(early, refusals);
	check(found, value >= EARLY_REFUSALS, "refused early", "total", value,
	    EARLY_REFUSALS);
}

/*
 * Guards against an overload that makes jobs late or is paid for by queues that
 * did not cause it.  Without admission control at least one check fails.
 */
static void
test_variant(void **state)
{
	const struct variant *v = *state;
	struct findings found = { 0 };
	struct figures f = { 0 };
	uint32_t seed, seeds;

	seeds = v->mode == MLK_ADMISSION_OFF ? 1 : SEEDS;
	for (seed = 1; seed <= seeds; seed++)
		play_seed(v, seed, &f);
	print_figures(&f);
	if (v->calm || v->mode == MLK_ADMISSION_OFF)
		check_calm(v->scenario, &f, &found);
	if (!v->calm)
		check_figures(v->scenario, &f, &found);
	if (v->mode == MLK_ADMISSION_OFF)
		assert_true(found.n > 0);
	else if (found.n > 0)
		fail_msg("seeds 1 to %u: %s", seeds, found.text);
}

static void
add_test(struct variant *variants, struct CMUnitTest *tests, uint32_t n,
    const struct variant *v)
{
	static const char *const faults[] = { "", ".entry", ".workers" };

	variants[n] = *v;
	(void)snprintf(variants[n].name, sizeof(variants[n].name), "%s%s%s%s",
	    v->calm ? "calm." : "", v->scenario->name, faults[v->fault],
	    v->mode == MLK_ADMISSION_OFF ? ".off" : "");
	tests[n].name = variants[n].name;
	tests[n].test_func = test_variant;
	tests[n].initial_state = &variants[n];
}

/*
 * Runs all scenarios, or those whose name matches the pattern in argv[1].
 */
int
main(int argc, char **argv)
{
	static struct variant variants[SCENARIOS * VARIANTS];
	/* cmocka takes its number from the type; unused ones are empty. */
	struct CMUnitTest tests[SCENARIOS * VARIANTS] = { 0 };
	struct variant v = { 0 };
	uint32_t i, k, n = 0;

	for (i = 0; i < SCENARIOS; i++) {
		v.scenario = &scenarios[i];
		v.mode = MLK_ADMISSION_SHARES;
		for (k = 0; k < (v.scenario->enough ? 1 : FAULTS); k++) {
			v.fault = k;
			add_test(variants, tests, n++, &v);
			v.calm = v.scenario->flood;
			if (v.calm)
				add_test(variants, tests, n++, &v);
			v.calm = false;
		}
		v.fault = NO_FAULT;
		v.mode = MLK_ADMISSION_OFF;
		if (!v.scenario->enough)
			add_test(variants, tests, n++, &v);
	}
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
