/*
 * Discrete-event simulation of the scheduling policy: three schedulers and ten
 * slot tables, a fixed message delay, and arrivals that are generated before
 * the run.  Checks the wait of short tasks, the slowdown of long ones and the
 * number of messages.
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

#include "sched.h"
#include "slots.h"

#define ENTRIES 3
#define AGENTS 10
#define SLOTS 8
#define MESSAGE_DELAY_NS (MLK_NSEC_PER_MSEC / 5)
#define WARMUP_S 5 /* tasks that arrive earlier are not measured */
#define DURATION_S 200 /* of arrivals */
#define SEEDS 3

enum kind { LOOKUP, SHEET, OTHER, KINDS };

static const char *const kind_names[KINDS] = { "lookup", "sheet", "other" };

struct workload {
	const char *name;
	double share[KINDS];
	double low_ms[KINDS];
	double high_ms[KINDS];
	double straggler; /* share of `other` that takes 20 to 40 s */
	double load; /* mean use of all slots, 0 to 1 */
	double peak; /* factor of the rate in the first 4 s of every 20 s */
};

static const struct workload planos = { "planos-mixed", { 0.90, 0.08, 0.02 },
	{ 50, 2000, 200 }, { 200, 5000, 1000 }, 0.02, 0.85, 1 };
static const struct workload crest = { "lindqvist-crest", { 0.94, 0.05, 0.01 },
	{ 50, 2000, 200 }, { 200, 5000, 1000 }, 0, 0.60, 3 };

struct task {
	int64_t arrival;
	int64_t start;
	int64_t end;
	int64_t service; /* ns */
	enum kind kind;
	uint32_t entry;
	uint32_t agent;
	uint32_t slot;
	bool is_long;
};

enum event_type {
	ARRIVE,
	TICK,
	TASK_END,
	START,
	RESULT,
	GRANT,
	NEED,
	RECLAIM,
	RETURN,
	EVENT_TYPES
};

static const char *const event_names[EVENT_TYPES] = { "arrive", "tick", "end",
	"START", "RESULT", "GRANT", "NEED", "RECLAIM", "RETURN" };

struct event {
	int64_t time;
	uint64_t order; /* breaks ties: first pushed, first handled */
	enum event_type type;
	uint32_t entry;
	uint32_t agent;
	uint32_t task;
	struct mlk_demand demand;
	struct mlk_credits credits;
	bool not_started; /* RESULT: no slot was free, NOT_RUN */
};

struct simulation {
	struct mlk_rng rng;
	struct mlk_sched *sched[ENTRIES];
	struct mlk_slots *slots[AGENTS];
	struct task *tasks;
	uint32_t ntasks;
	GSequence *events; /* sorted by time */
	uint64_t order;
	int64_t now;
	uint64_t sent[EVENT_TYPES]; /* messages by type */
	uint32_t not_run; /* STARTs that found no slot */
	uint32_t done;
};

struct results {
	double short_wait_p99_ms;
	double long_slowdown_p99;
	double messages_per_task;
	double credit_messages_per_task; /* all but START and RESULT */
};

static double
uniform(struct mlk_rng *rng)
{
	return ((double)(mlk_rng_next(rng) >> 11) * 0x1p-53);
}

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct event *x = a, *y = b;

	(void)arg;
	if (x->time != y->time)
		return (x->time < y->time ? -1 : 1);
	return (x->order < y->order ? -1 : 1);
}

static void
push(struct simulation *sim, struct event ev)
{
	ev.order = sim->order++;
	(void)g_sequence_insert_sorted(
	    sim->events, g_memdup2(&ev, sizeof(ev)), compare_events, NULL);
}

static struct event
pop(struct simulation *sim)
{
	GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
	struct event ev = *(struct event *)g_sequence_get(first);

	g_sequence_remove(first);
	return (ev);
}

/*
 * Sends a message, which arrives after MESSAGE_DELAY_NS.  `counted` is false
 * for an event that shares the message of an earlier one.
 */
static void
send_message(struct simulation *sim, struct event ev, bool counted)
{
	ev.time = sim->now + MESSAGE_DELAY_NS;
	if (counted)
		sim->sent[ev.type]++;
	push(sim, ev);
}

/* Returns the mean run time of a task in ms. */
static double
mean_ms(const struct workload *wl)
{
	double sum = 0;
	uint32_t k;

	for (k = 0; k < KINDS; k++)
		sum += wl->share[k] * (wl->low_ms[k] + wl->high_ms[k]) / 2;
	return (sum + wl->share[OTHER] * wl->straggler * 30000);
}

static void
generate_task(struct simulation *sim, const struct workload *wl, struct task *t)
{
	double ms, u = uniform(&sim->rng);
	enum kind k;

	k = u < wl->share[LOOKUP]                    ? LOOKUP :
	    u < wl->share[LOOKUP] + wl->share[SHEET] ? SHEET :
						       OTHER;
	ms = wl->low_ms[k] +
	    uniform(&sim->rng) * (wl->high_ms[k] - wl->low_ms[k]);
	if (k == OTHER && uniform(&sim->rng) < wl->straggler)
		ms = 20000 + 20000 * uniform(&sim->rng);
	t->kind = k;
	t->service = (int64_t)(ms * MLK_NSEC_PER_MSEC);
	t->entry = mlk_rng_below(&sim->rng, ENTRIES);
}

/* Generates Poisson arrivals whose rate follows the peaks of the workload. */
static void
generate_arrivals(struct simulation *sim, const struct workload *wl)
{
	double base, t = 0;
	GArray *tasks;
	struct task task;

	base = wl->load * AGENTS * SLOTS / (mean_ms(wl) / 1000);
	base /= (4 * wl->peak + 16) / 20;
	tasks = g_array_new(FALSE, TRUE, sizeof(task));
	while (t < DURATION_S) {
		t -= log(1 - uniform(&sim->rng)) / (base * wl->peak);
		if (fmod(t, 20) >= 4 && uniform(&sim->rng) >= 1 / wl->peak)
			continue;
		memset(&task, 0, sizeof(task));
		generate_task(sim, wl, &task);
		task.arrival = (int64_t)(t * MLK_NSEC_PER_SEC);
		g_array_append_val(tasks, task);
	}
	sim->ntasks = tasks->len;
	sim->tasks = (struct task *)(void *)g_array_free(tasks, FALSE);
}

/*
 * Sends START for the tasks that the entry has credits for, then NEED.  STARTs
 * to one agent share a message.
 */
static void
dispatch_tasks(struct simulation *sim, uint32_t e)
{
	struct event ev = { .entry = e };
	struct mlk_binding b;
	uint32_t agents[AGENTS];
	bool sent[AGENTS] = { false };
	size_t i, n;

	while (mlk_sched_next(sim->sched[e], sim->now, &b)) {
		sim->tasks[b.task].is_long = b.is_long;
		ev.type = START;
		ev.agent = b.agent;
		ev.task = b.task;
		mlk_sched_demand(sim->sched[e], sim->now, &ev.demand);
		mlk_sched_demand_sent(
		    sim->sched[e], ev.agent, &ev.demand, sim->now);
		send_message(sim, ev, !sent[b.agent]);
		sent[b.agent] = true;
	}
	n = mlk_sched_need(sim->sched[e], sim->now, agents, AGENTS);
	for (i = 0; i < n; i++) {
		ev.type = NEED;
		ev.agent = agents[i];
		mlk_sched_demand(sim->sched[e], sim->now, &ev.demand);
		mlk_sched_demand_sent(
		    sim->sched[e], ev.agent, &ev.demand, sim->now);
		send_message(sim, ev, true);
	}
}

/*
 * Sends the due grants and reclaims of an agent, and *result unless it is
 * NULL.  A grant to the same entry is sent in the RESULT.
 */
static void
send_credits(struct simulation *sim, uint32_t a, struct event *result)
{
	struct mlk_slots_change changes[ENTRIES];
	struct mlk_slots_stats st;
	struct event ev;
	size_t i, n;

	n = mlk_slots_changes(sim->slots[a], sim->now, changes, ENTRIES);
	for (i = 0; i < n; i++) {
		memset(&ev, 0, sizeof(ev));
		ev.entry = changes[i].entry;
		ev.agent = a;
		if (result != NULL && result->entry == changes[i].entry) {
			result->credits = changes[i].grant;
		} else if (changes[i].grant.any + changes[i].grant.short_only >
		    0) {
			ev.type = GRANT;
			ev.credits = changes[i].grant;
			send_message(sim, ev, true);
		}
		if (changes[i].reclaim.any + changes[i].reclaim.short_only >
		    0) {
			ev.type = RECLAIM;
			ev.credits = changes[i].reclaim;
			send_message(sim, ev, true);
		}
	}
	if (result != NULL)
		send_message(sim, *result, true);
	mlk_slots_stats(sim->slots[a], &st);
	assert_int_equal(st.running + st.lent + st.idle, SLOTS);
}

static void
queue_task(struct simulation *sim, uint32_t i, bool retry)
{
	struct mlk_sched_task t = { .task = i,
		.team = "team",
		.retry = retry,
		.avoid_agent = UINT32_MAX };

	t.kind = kind_names[sim->tasks[i].kind];
	assert_int_equal(
	    mlk_sched_enqueue(sim->sched[sim->tasks[i].entry], &t, sim->now),
	    0);
}

/* Handles START at the agent.  Without a free slot it is answered NOT_RUN. */
static void
start_task(struct simulation *sim, const struct event *ev)
{
	struct task *t = &sim->tasks[ev->task];
	struct event next = *ev;
	int slot;

	mlk_slots_demand(
	    sim->slots[ev->agent], ev->entry, &ev->demand, sim->now);
	slot = mlk_slots_start(
	    sim->slots[ev->agent], ev->entry, t->is_long, sim->now);
	if (slot < 0) {
		next.type = RESULT;
		next.not_started = true;
		memset(&next.credits, 0, sizeof(next.credits));
		send_credits(sim, ev->agent, &next);
		return;
	}
	t->start = sim->now;
	t->slot = (uint32_t)slot;
	next.type = TASK_END;
	next.time = sim->now + t->service;
	push(sim, next);
	send_credits(sim, ev->agent, NULL);
}

static void
end_task(struct simulation *sim, struct event ev)
{
	struct task *t = &sim->tasks[ev.task];

	t->end = sim->now;
	mlk_slots_finish(sim->slots[ev.agent], t->slot, sim->now);
	ev.type = RESULT;
	memset(&ev.credits, 0, sizeof(ev.credits));
	send_credits(sim, ev.agent, &ev);
}

static void
handle_result(struct simulation *sim, const struct event *ev)
{
	struct task *t = &sim->tasks[ev->task];

	mlk_sched_done(sim->sched[ev->entry], ev->agent, kind_names[t->kind],
	    "team", t->is_long,
	    ev->not_started ? MLK_TASK_NOT_RUN : MLK_TASK_DONE,
	    (uint32_t)(t->service / MLK_NSEC_PER_MSEC), sim->now);
	mlk_sched_credit(sim->sched[ev->entry], ev->agent, ev->credits);
	if (ev->not_started) {
		sim->not_run++;
		queue_task(sim, ev->task, true);
	} else {
		sim->done++;
	}
	dispatch_tasks(sim, ev->entry);
}

static void
handle_tick(struct simulation *sim)
{
	struct event ev = { .type = TICK,
		.time = sim->now + 10 * MLK_NSEC_PER_MSEC };
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		dispatch_tasks(sim, i);
	for (i = 0; i < AGENTS; i++)
		send_credits(sim, i, NULL);
	if (sim->done < sim->ntasks)
		push(sim, ev);
}

static void
handle_event(struct simulation *sim, struct event *ev)
{
	switch (ev->type) {
	case ARRIVE:
		queue_task(sim, ev->task, false);
		dispatch_tasks(sim, ev->entry);
		break;
	case TICK:
		handle_tick(sim);
		break;
	case TASK_END:
		end_task(sim, *ev);
		break;
	case START:
		start_task(sim, ev);
		break;
	case RESULT:
		handle_result(sim, ev);
		break;
	case GRANT:
		mlk_sched_credit(sim->sched[ev->entry], ev->agent, ev->credits);
		dispatch_tasks(sim, ev->entry);
		break;
	case NEED:
		mlk_slots_demand(
		    sim->slots[ev->agent], ev->entry, &ev->demand, sim->now);
		send_credits(sim, ev->agent, NULL);
		break;
	case RECLAIM:
		ev->credits = mlk_sched_reclaim(
		    sim->sched[ev->entry], ev->agent, ev->credits);
		ev->type = RETURN;
		send_message(sim, *ev, true);
		break;
	case RETURN:
		mlk_slots_returned(
		    sim->slots[ev->agent], ev->entry, ev->credits, sim->now);
		send_credits(sim, ev->agent, NULL);
		break;
	case EVENT_TYPES:
		break;
	}
}

static void
setup_simulation(
    struct simulation *sim, const struct workload *wl, uint64_t seed)
{
	struct mlk_sched_options opt = { .max_queued = 100000, .dc = "dc1" };
	struct event ev = { .type = ARRIVE };
	char id[MLK_NAME_MAX];
	uint32_t a, e;

	memset(sim, 0, sizeof(*sim));
	mlk_rng_seed(&sim->rng, seed);
	sim->events = g_sequence_new(g_free);
	generate_arrivals(sim, wl);
	for (e = 0; e < ENTRIES; e++) {
		opt.seed = seed + e;
		sim->sched[e] = mlk_sched_create(&opt);
	}
	for (a = 0; a < AGENTS; a++) {
		sim->slots[a] = mlk_slots_create(SLOTS, seed * 100 + a);
		(void)snprintf(id, sizeof(id), "w%u", a);
		for (e = 0; e < ENTRIES; e++) {
			mlk_slots_entry_up(sim->slots[a], e, 0);
			mlk_sched_agent_up(
			    sim->sched[e], a, id, "dc1", SLOTS, 0);
		}
	}
	for (ev.task = 0; ev.task < sim->ntasks; ev.task++) {
		ev.time = sim->tasks[ev.task].arrival;
		ev.entry = sim->tasks[ev.task].entry;
		push(sim, ev);
	}
	push(sim, (struct event){ .type = TICK });
}

static void
free_simulation(struct simulation *sim)
{
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		mlk_sched_destroy(sim->sched[i]);
	for (i = 0; i < AGENTS; i++)
		mlk_slots_destroy(sim->slots[i]);
	g_sequence_free(sim->events);
	g_free(sim->tasks);
}

static int
compare_doubles(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return ((*x > *y) - (*x < *y));
}

static double
quantile(GArray *values, double q)
{
	qsort(values->data, values->len, sizeof(double), compare_doubles);
	return (g_array_index(values, double, (guint)(q * (values->len - 1))));
}

/* Adds the waits (ms) of short tasks and the slowdowns of long ones. */
static void
collect_samples(const struct simulation *sim, GArray *waits, GArray *slowdowns)
{
	const struct task *t;
	double v;

	for (t = sim->tasks; t < sim->tasks + sim->ntasks; t++) {
		if (t->arrival < WARMUP_S * MLK_NSEC_PER_SEC)
			continue;
		if (t->service < MLK_NSEC_PER_SEC) {
			v = (double)(t->start - t->arrival) / MLK_NSEC_PER_MSEC;
			g_array_append_val(waits, v);
		} else {
			v = (double)(t->end - t->arrival) / t->service;
			g_array_append_val(slowdowns, v);
		}
	}
}

/* Simulates a workload with each seed, prints the results and returns them. */
static struct results
run_workload(const struct workload *wl)
{
	uint64_t sent[EVENT_TYPES] = { 0 }, sum = 0, tasks = 0, seed;
	GArray *slowdowns, *waits;
	struct results res;
	struct event ev;
	struct simulation sim;
	uint32_t i, lost = 0;

	waits = g_array_new(FALSE, FALSE, sizeof(double));
	slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
	for (seed = 1; seed <= SEEDS; seed++) {
		setup_simulation(&sim, wl, seed);
		while (!g_sequence_is_empty(sim.events)) {
			ev = pop(&sim);
			sim.now = ev.time;
			handle_event(&sim, &ev);
		}
		assert_int_equal(sim.done, sim.ntasks);
		collect_samples(&sim, waits, slowdowns);
		for (i = START; i < EVENT_TYPES; i++)
			sent[i] += sim.sent[i];
		tasks += sim.ntasks;
		lost += sim.not_run;
		free_simulation(&sim);
	}
	res.short_wait_p99_ms = quantile(waits, 0.99);
	res.long_slowdown_p99 = quantile(slowdowns, 0.99);
	printf("%s: short wait p50 %.2f p99 %.1f p99.9 %.1f ms; long slowdown "
	       "p50 %.3f p99 %.2f; not started %u\n messages per task:",
	    wl->name, quantile(waits, 0.5), res.short_wait_p99_ms,
	    quantile(waits, 0.999), quantile(slowdowns, 0.5),
	    res.long_slowdown_p99, lost);
	for (i = START; i < EVENT_TYPES; i++) {
		sum += sent[i];
		printf(" %s %.2f", event_names[i], (double)sent[i] / tasks);
	}
	res.messages_per_task = (double)sum / tasks;
	res.credit_messages_per_task =
	    (double)(sum - sent[START] - sent[RESULT]) / tasks;
	printf(" sum %.2f\n", res.messages_per_task);
	g_array_free(waits, TRUE);
	g_array_free(slowdowns, TRUE);
	return (res);
}

/* Guards against short tasks that wait behind long ones at a steady load. */
static void
test_planos_mixed(void **state)
{
	struct results res = run_workload(&planos);

	(void)state;
	assert_true(res.short_wait_p99_ms <= 50);
	assert_true(res.long_slowdown_p99 <= 1.5);
	assert_true(res.messages_per_task <= 5);
}

/*
 * Guards against a limit of long work that adapts too late to a threefold
 * peak.
 */
static void
test_lindqvist_crest(void **state)
{
	struct results res = run_workload(&crest);

	(void)state;
	assert_true(res.short_wait_p99_ms <= 300);
	assert_true(res.long_slowdown_p99 <= 3.5);
	assert_true(res.messages_per_task <= 5);
}

/*
 * Guards against credits that move more often than they are used, NEED that
 * tells an agent nothing new, and RECLAIM of credits in use.  In runs with
 * separate processes, START, RESULT, ACK, HEARTBEAT and forwarding take 3.9 of
 * the 5 messages allowed per task at 100 % load, which leaves 1.1 for credits.
 */
static void
test_messages(void **state)
{
	struct workload wl = planos;
	struct results res;

	(void)state;
	wl.name = "planos-mixed at 50 %";
	wl.load = 0.5;
	res = run_workload(&wl);
	assert_true(res.messages_per_task <= 4);
	assert_true(res.credit_messages_per_task <= 0.25);
	wl.name = "planos-mixed at 100 %";
	wl.load = 1;
	res = run_workload(&wl);
	assert_true(res.messages_per_task <= 5);
	assert_true(res.credit_messages_per_task <= 1.1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_planos_mixed),
		cmocka_unit_test(test_lindqvist_crest),
		cmocka_unit_test(test_messages),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
