/*
 * Plays the jobs of a day on its workers, event by event, in one order and with
 * one placement.  See ideal.h.
 *
 * A task is started only if the job can still be worth something when the task
 * ends, and a waiting job of which that no longer holds for any worker is given
 * up.  In all orders but that of arrival, jobs that can no longer end in goal
 * come last.
 */
#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "ideal.h"

#define CORE_UNITS 1000.0 /* cores are counted in thousandths */
/*
 * Jobs behind the first waiting one that are tried when a worker is free but
 * too slow for those ahead.  Bounds the time of a decision.  On
 * load/scenarios/ideal-uneven.yaml the worth in order of least slack is 0.94
 * with 4, 0.980 with 32 and 0.982 with 256; that of the best order does not
 * change.
 */
#define SKIPPED_MAX 32U
/* Time constant of a route's offered work.  The same as MLK_IDEAL_WINDOW_S, so
 * that a flood is seen within one window. */
#define DEMAND_MEMORY_S 1.0

struct worker {
	uint32_t free; /* cores, in thousandths */
	double cores;
	double speed;
};

/* A running task. */
struct ending {
	int64_t at;
	uint32_t worker;
	uint32_t job;
};

struct progress {
	uint32_t started; /* tasks; they start longest first */
	uint32_t running;
	int64_t end; /* latest end of the tasks started */
	double key; /* position in the queue, smallest first */
	bool given_up;
};

/* The work of one route. */
struct demand {
	double weight;
	double waiting; /* core-seconds of tasks not started */
	double offered; /* core-seconds per second, see DEMAND_MEMORY_S */
	double tag; /* virtual end of the last job that was admitted */
	int64_t at; /* time of the value of offered */
};

struct sim {
	const struct mlk_ideal_day *day;
	const struct mlk_ideal_jobs *jobs;
	struct mlk_ideal_result *result;
	struct worker *workers; /* slowest first */
	uint32_t nworkers;
	struct progress *progress; /* per job */
	GArray *endings; /* heap of struct ending, earliest first */
	GSequence *waiting; /* index + 1 of jobs, by key */
	GSequence *late; /* jobs that will not end in goal, by arrival */
	struct demand *demands; /* per route */
	double vtime; /* virtual time of the weighted shares */
};

/* What a job can still reach. */
enum prospect {
	PROSPECT_GOAL,
	PROSPECT_LATE,
	PROSPECT_NONE,
};

/* ---- results ---------------------------------------------------------- */

enum outcome {
	OUTCOME_ARRIVED,
	OUTCOME_IN_GOAL,
	OUTCOME_LATE,
	OUTCOME_REFUSED,
	OUTCOME_GIVEN_UP,
	OUTCOME_HELD, /* given up before its first task */
};

static void
count(struct mlk_ideal_tally *t, enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_ARRIVED:
		t->jobs++;
		break;
	case OUTCOME_IN_GOAL:
		t->in_goal++;
		break;
	case OUTCOME_LATE:
		t->late++;
		break;
	case OUTCOME_REFUSED:
		t->refused++;
		break;
	case OUTCOME_HELD:
		t->held++;
		t->given_up++;
		break;
	case OUTCOME_GIVEN_UP:
		t->given_up++;
		break;
	}
}

static void
record(struct sim *s, const struct mlk_ideal_job *job, enum outcome outcome)
{
	struct mlk_ideal_result *r = s->result;
	uint32_t rows[2] = { job->route, r->nroutes };
	double second;
	uint32_t i, window;

	if (!job->counted)
		return;
	second = (double)job->at / (double)MLK_NSEC_PER_SEC - s->day->warm_up_s;
	window = (uint32_t)fmax(second / MLK_IDEAL_WINDOW_S, 0.0);
	window = MIN(window, r->nwindows - 1);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		count(&r->totals[rows[i]], outcome);
		count(&r->windows[rows[i] * r->nwindows + window], outcome);
		if (job->in_flood)
			count(&r->floods[rows[i]], outcome);
	}
}

/* ---- running tasks ---------------------------------------------------- */

static struct ending *
ending_at(struct sim *s, uint32_t i)
{
	return (&g_array_index(s->endings, struct ending, i));
}

static void
swap_endings(struct sim *s, uint32_t a, uint32_t b)
{
	struct ending tmp = *ending_at(s, a);

	*ending_at(s, a) = *ending_at(s, b);
	*ending_at(s, b) = tmp;
}

static void
push_ending(struct sim *s, struct ending e)
{
	uint32_t i = s->endings->len, parent;

	g_array_append_val(s->endings, e);
	for (; i > 0; i = parent) {
		parent = (i - 1) / 2;
		if (ending_at(s, parent)->at <= ending_at(s, i)->at)
			break;
		swap_endings(s, parent, i);
	}
}

static struct ending
pop_ending(struct sim *s)
{
	struct ending first = *ending_at(s, 0);
	uint32_t i = 0, child, n = s->endings->len - 1;

	swap_endings(s, 0, n);
	g_array_set_size(s->endings, n);
	for (;;) {
		child = 2 * i + 1;
		if (child >= n)
			break;
		if (child + 1 < n &&
		    ending_at(s, child + 1)->at < ending_at(s, child)->at)
			child++;
		if (ending_at(s, i)->at <= ending_at(s, child)->at)
			break;
		swap_endings(s, i, child);
		i = child;
	}
	return (first);
}

static void
start_task(struct sim *s, int64_t now, uint32_t index, uint32_t worker)
{
	const struct mlk_ideal_job *job = &s->jobs->jobs[index];
	struct progress *p = &s->progress[index];
	struct worker *w = &s->workers[worker];
	int64_t run = job->run[p->started];
	struct ending e = { now + mlk_ideal_run_on(run, w->speed), worker,
		index };

	w->free -= job->cores;
	p->started++;
	p->running++;
	p->end = MAX(p->end, e.at);
	s->demands[job->route].waiting -=
	    (double)run / (double)MLK_NSEC_PER_SEC * job->cores / CORE_UNITS;
	push_ending(s, e);
}

static void
end_task(struct sim *s)
{
	struct ending e = pop_ending(s);
	const struct mlk_ideal_job *job = &s->jobs->jobs[e.job];
	struct progress *p = &s->progress[e.job];

	s->workers[e.worker].free += job->cores;
	p->running--;
	if (p->given_up || p->running > 0 || p->started < job->ntasks)
		return;
	record(s, job, p->end <= job->goal ? OUTCOME_IN_GOAL : OUTCOME_LATE);
}

/* ---- decisions -------------------------------------------------------- */

static enum prospect
prospect(const struct sim *s, int64_t now, uint32_t index)
{
	const struct mlk_ideal_job *job = &s->jobs->jobs[index];
	const struct progress *p = &s->progress[index];
	int64_t end = MAX(
	    p->end, now + mlk_ideal_run_on(job->run[p->started], job->speed));

	if (end <= job->goal)
		return (PROSPECT_GOAL);
	return (end <= job->useful ? PROSPECT_LATE : PROSPECT_NONE);
}

/*
 * Returns the worker for the next task of a job, or nworkers if there is none.
 * *full is then whether no worker has the cores, instead of none being fast
 * enough.
 */
static uint32_t
choose_worker(const struct sim *s, int64_t now, uint32_t index,
    enum prospect target, bool *full)
{
	const struct mlk_ideal_job *job = &s->jobs->jobs[index];
	int64_t run = job->run[s->progress[index].started];
	int64_t limit = job->useful;
	const struct worker *w;
	uint32_t i, n = s->nworkers;
	bool slowest = s->result->placement == MLK_IDEAL_SLOWEST_IN_GOAL;

	if (slowest && target == PROSPECT_GOAL)
		limit = job->goal;
	*full = true;
	for (i = 0; i < n; i++) {
		w = &s->workers[slowest ? i : n - 1 - i];
		if (w->free < job->cores)
			continue;
		*full = false;
		if (now + mlk_ideal_run_on(run, w->speed) <= limit)
			return ((uint32_t)(w - s->workers));
		if (!slowest)
			break; /* the others are not faster */
	}
	return (n);
}

/*
 * Returns the position of a job in the queue; its meaning depends on the order.
 * The key of weighted shares is the virtual start, set on admission.
 */
static double
queue_key(const struct sim *s, uint32_t index)
{
	const struct mlk_ideal_job *job = &s->jobs->jobs[index];
	const struct progress *p = &s->progress[index];
	double work = 0.0;
	uint32_t i;

	switch (s->result->order) {
	case MLK_IDEAL_LEAST_SLACK:
		return ((double)(job->goal -
		    mlk_ideal_run_on(job->run[p->started], job->speed)));
	case MLK_IDEAL_SMALLEST_WORK:
		for (i = p->started; i < job->ntasks; i++)
			work += (double)job->run[i] * job->cores;
		return (work);
	case MLK_IDEAL_SHARES:
		return (p->key);
	case MLK_IDEAL_ARRIVAL:
	case MLK_IDEAL_ORDERS:
		break;
	}
	return (index);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct sim *s = data;
	uint32_t x = GPOINTER_TO_UINT(a) - 1, y = GPOINTER_TO_UINT(b) - 1;
	double kx = s->progress[x].key, ky = s->progress[y].key;

	if (kx != ky)
		return (kx < ky ? -1 : 1);
	return ((x > y) - (x < y));
}

static gint
compare_arrivals(gconstpointer a, gconstpointer b, gpointer data)
{
	uint32_t x = GPOINTER_TO_UINT(a), y = GPOINTER_TO_UINT(b);

	(void)data;
	return ((x > y) - (x < y));
}

static void
give_up(struct sim *s, uint32_t index)
{
	const struct mlk_ideal_job *job = &s->jobs->jobs[index];
	struct progress *p = &s->progress[index];
	uint32_t i;

	p->given_up = true;
	for (i = p->started; i < job->ntasks; i++)
		s->demands[job->route].waiting -= (double)job->run[i] /
		    (double)MLK_NSEC_PER_SEC * job->cores / CORE_UNITS;
	record(s, job, p->started == 0 ? OUTCOME_HELD : OUTCOME_GIVEN_UP);
}

/*
 * Starts tasks of one waiting job as far as workers allow, and removes the job
 * from the queue when it is complete, given up or moved to the late ones.
 * Returns whether the job stays; *full is then set as by choose_worker().
 */
static bool
serve(struct sim *s, int64_t now, GSequenceIter *iter, bool *full)
{
	uint32_t index = GPOINTER_TO_UINT(g_sequence_get(iter)) - 1;
	const struct mlk_ideal_job *job = &s->jobs->jobs[index];
	struct progress *p = &s->progress[index];
	bool in_late = g_sequence_iter_get_sequence(iter) == s->late;
	uint32_t before = p->started, worker;
	enum prospect target;

	*full = false;
	for (;;) {
		target = prospect(s, now, index);
		if (target == PROSPECT_NONE) {
			give_up(s, index);
			g_sequence_remove(iter);
			return (false);
		}
		if (target == PROSPECT_LATE && !in_late &&
		    s->result->order != MLK_IDEAL_ARRIVAL) {
			g_sequence_remove(iter);
			(void)g_sequence_insert_sorted(s->late,
			    GUINT_TO_POINTER(index + 1), compare_arrivals, s);
			return (false);
		}
		worker = choose_worker(s, now, index, target, full);
		if (worker == s->nworkers)
			break;
		if (p->started == 0)
			s->vtime = MAX(s->vtime, p->key);
		start_task(s, now, index, worker);
		if (p->started == job->ntasks) {
			g_sequence_remove(iter);
			return (false);
		}
	}
	if (p->started > before && !in_late) {
		p->key = queue_key(s, index);
		g_sequence_sort_changed(iter, compare_keys, s);
	}
	return (true);
}

/*
 * Starts what can be started from one queue.  Returns whether cores are left.
 */
static bool
serve_queue(struct sim *s, int64_t now, GSequence *queue)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue), *next;
	uint32_t skipped = 0;
	bool full;

	while (!g_sequence_iter_is_end(iter) && skipped <= SKIPPED_MAX) {
		next = g_sequence_iter_next(iter);
		if (serve(s, now, iter, &full)) {
			if (full)
				return (false);
			skipped++;
		}
		iter = next;
	}
	return (true);
}

static void
dispatch(struct sim *s, int64_t now)
{
	if (serve_queue(s, now, s->waiting))
		(void)serve_queue(s, now, s->late);
}

/* ---- weighted shares -------------------------------------------------- */

static void
add_offered(struct demand *d, int64_t now, double work)
{
	double age = (double)(now - d->at) / (double)MLK_NSEC_PER_SEC;

	d->offered *= exp(-age / DEMAND_MEMORY_S);
	d->offered += work / DEMAND_MEMORY_S;
	d->at = now;
}

static double
offered_at(const struct demand *d, int64_t now)
{
	double age = (double)(now - d->at) / (double)MLK_NSEC_PER_SEC;

	return (d->offered * exp(-age / DEMAND_MEMORY_S));
}

/*
 * Returns the max-min share of a route in capacity, in core-seconds per second,
 * if the route asks for any amount and the others for what they offer.
 */
static double
share_of(const struct sim *s, int64_t now, uint32_t route, double capacity)
{
	bool served[MLK_IDEAL_ROUTES_MAX] = { false };
	double weights = 0.0, level = 0.0, offered;
	uint32_t i, n = s->day->nroutes;
	bool changed = true;

	for (i = 0; i < n; i++)
		weights += s->demands[i].weight;
	while (changed) {
		changed = false;
		level = capacity / weights;
		for (i = 0; i < n; i++) {
			offered = offered_at(&s->demands[i], now);
			if (i == route || served[i] ||
			    offered > level * s->demands[i].weight)
				continue;
			served[i] = true;
			changed = true;
			capacity -= offered;
			weights -= s->demands[i].weight;
		}
	}
	return (level * s->demands[route].weight);
}

/*
 * Returns whether there are free cores for all tasks of a job at once.
 */
static bool
fits_now(const struct sim *s, const struct mlk_ideal_job *job)
{
	uint32_t i, tasks = 0;

	for (i = 0; i < s->nworkers && tasks < job->ntasks; i++)
		tasks += s->workers[i].free / job->cores;
	return (tasks >= job->ntasks);
}

/*
 * Returns whether a job that arrives now is expected to end in goal, when its
 * route starts work at its share of the cores, and the job is behind the
 * route's waiting work.  A job that fits into free cores always is.
 */
static bool
admit(const struct sim *s, int64_t now, const struct mlk_ideal_job *job)
{
	const struct demand *d = &s->demands[job->route];
	double capacity = 0.0, cores = job->cores / CORE_UNITS, share;
	double first, last, end, fast = job->speed * (double)MLK_NSEC_PER_SEC;
	double shortest = (double)job->run[job->ntasks - 1];
	uint32_t i;

	if (fits_now(s, job))
		return (true);
	for (i = 0; i < s->nworkers; i++)
		capacity += floor(s->workers[i].cores / cores) * cores *
		    s->workers[i].speed;
	share = share_of(s, now, job->route, capacity);
	first = d->waiting / share;
	last = first +
	    (job->work - shortest / (double)MLK_NSEC_PER_SEC * cores) / share;
	end = fmax(first + (double)job->run[0] / fast, last + shortest / fast);
	return (end <= (double)(job->goal - now) / (double)MLK_NSEC_PER_SEC);
}

/* ---- events ----------------------------------------------------------- */

static void
arrive(struct sim *s, uint32_t index)
{
	const struct mlk_ideal_job *job = &s->jobs->jobs[index];
	struct progress *p = &s->progress[index];
	struct demand *d = &s->demands[job->route];

	record(s, job, OUTCOME_ARRIVED);
	add_offered(d, job->at, job->work);
	if (s->result->order == MLK_IDEAL_SHARES) {
		if (!admit(s, job->at, job)) {
			record(s, job, OUTCOME_REFUSED);
			return;
		}
		p->key = MAX(s->vtime, d->tag);
		d->tag = p->key + job->work / d->weight;
	}
	p->key = queue_key(s, index);
	d->waiting += job->work;
	(void)g_sequence_insert_sorted(
	    s->waiting, GUINT_TO_POINTER(index + 1), compare_keys, s);
}

static int
slower_first(const void *a, const void *b)
{
	const struct worker *x = a, *y = b;

	return ((x->speed > y->speed) - (x->speed < y->speed));
}

static void
set_workers(struct sim *s)
{
	const struct mlk_ideal_workers *group;
	uint32_t i, k, n = 0;

	for (i = 0; i < s->day->nworkers; i++)
		s->nworkers += s->day->workers[i].count;
	s->workers = g_new0(struct worker, s->nworkers);
	for (i = 0; i < s->day->nworkers; i++) {
		group = &s->day->workers[i];
		for (k = 0; k < group->count; k++, n++) {
			s->workers[n].cores = group->cores;
			s->workers[n].speed = group->speed;
			s->workers[n].free =
			    (uint32_t)lround(group->cores * CORE_UNITS);
		}
	}
	qsort(s->workers, n, sizeof(*s->workers), slower_first);
}

/*
 * Plays all jobs.  The caller frees the result with mlk_ideal_result_free().
 */
struct mlk_ideal_result *
mlk_ideal_run(const struct mlk_ideal_day *day,
    const struct mlk_ideal_jobs *jobs, enum mlk_ideal_order order,
    enum mlk_ideal_placement placement)
{
	struct sim s = { .day = day, .jobs = jobs };
	struct mlk_ideal_result *r;
	uint32_t i, next = 0;
	int64_t now;

	r = g_new0(struct mlk_ideal_result, 1);
	r->order = order;
	r->placement = placement;
	r->nroutes = day->nroutes;
	r->nwindows = (uint32_t)ceil(day->duration_s / MLK_IDEAL_WINDOW_S);
	r->totals = g_new0(struct mlk_ideal_tally, r->nroutes + 1);
	r->floods = g_new0(struct mlk_ideal_tally, r->nroutes + 1);
	r->windows = g_new0(
	    struct mlk_ideal_tally, (gsize)(r->nroutes + 1) * r->nwindows);
	s.result = r;
	set_workers(&s);
	s.progress = g_new0(struct progress, jobs->n + 1);
	s.endings = g_array_new(FALSE, FALSE, sizeof(struct ending));
	s.waiting = g_sequence_new(NULL);
	s.late = g_sequence_new(NULL);
	s.demands = g_new0(struct demand, day->nroutes);
	for (i = 0; i < day->nroutes; i++)
		s.demands[i].weight = 1.0 / (day->routes[i].priority + 1.0);
	while (next < jobs->n || s.endings->len > 0) {
		if (s.endings->len > 0 &&
		    (next == jobs->n ||
			ending_at(&s, 0)->at <= jobs->jobs[next].at)) {
			now = ending_at(&s, 0)->at;
			end_task(&s);
		} else {
			now = jobs->jobs[next].at;
			arrive(&s, next++);
		}
		dispatch(&s, now);
	}
	g_free(s.workers);
	g_free(s.progress);
	g_free(s.demands);
	(void)g_array_free(s.endings, TRUE);
	g_sequence_free(s.waiting);
	g_sequence_free(s.late);
	return (r);
}

void
mlk_ideal_result_free(struct mlk_ideal_result *result)
{
	if (result == NULL)
		return;
	g_free(result->totals);
	g_free(result->floods);
	g_free(result->windows);
	g_free(result);
}
