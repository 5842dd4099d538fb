#include <stdio.h>
#include <string.h>

#include "fake_worker.h"

#define MEM_MB 131072
#define STOP_MS 30 /* time to stop a run; a real worker takes up to 50 ms */
#define ENDS_PER_LIST_MAX 500

void
fake_worker_init(struct fake_worker *w, const char *id, uint64_t boot,
    uint32_t cpu, int64_t now)
{
	memset(w, 0, sizeof(*w));
	(void)snprintf(w->id, sizeof(w->id), "%s", id);
	w->boot = boot;
	w->up = true;
	w->capacity.cpu = cpu;
	w->capacity.mem_mb = MEM_MB;
	w->clock_rate = 1.0;
	w->clock_start = 100000 + (int64_t)(boot % 7) * 1000;
	w->speed = 1.0;
	w->now = now;
}

int64_t
fake_worker_clock(const struct fake_worker *w)
{
	return (w->clock_start + (int64_t)((double)w->now * w->clock_rate));
}

/*
 * Removes a run and appends its end to the list.  If the list is full, its
 * oldest end is dropped.
 */
static void
end_run(struct fake_worker *w, uint32_t i, enum mlk_listed_end_type how)
{
	struct mlk_listed_end *end;

	if (w->nends == FAKE_ENDS_MAX) {
		memmove(&w->ends[0], &w->ends[1],
		    (FAKE_ENDS_MAX - 1) * sizeof(w->ends[0]));
		w->nends--;
	}
	end = &w->ends[w->nends++];
	end->number = ++w->last_end;
	end->name = w->runs[i].name;
	end->how = how;
	w->runs[i] = w->runs[--w->nruns];
}

/*
 * Tells whether a run of the kind that slows a run down is active.
 */
static bool
is_slowed(const struct fake_worker *w, const struct fake_run *run)
{
	uint32_t i;

	for (i = 0; run->slowed_by != 0 && i < w->nruns; i++) {
		if (w->runs[i].kind == run->slowed_by)
			return (true);
	}
	return (false);
}

/*
 * Ends the runs that are complete or stopped, and all runs if the lease has
 * expired.
 */
static void
advance_one_ms(struct fake_worker *w)
{
	struct fake_run *run;
	uint32_t i;

	w->now++;
	for (i = w->nruns; i > 0; i--) {
		run = &w->runs[i - 1];
		run->done_ms += is_slowed(w, run) ? w->speed / 2 : w->speed;
		if (run->stop_at != 0 && w->now >= run->stop_at)
			end_run(w, i - 1, MLK_LISTED_STOPPED);
		else if (run->done_ms >= run->work_ms)
			end_run(w, i - 1,
			    w->fails ? MLK_LISTED_FAILED : MLK_LISTED_DONE);
	}
	for (i = w->nruns; i > 0 && fake_worker_clock(w) >= w->lease_until; i--)
		end_run(w, i - 1, MLK_LISTED_LEASE_EXPIRED);
}

void
fake_worker_advance(struct fake_worker *w, int64_t now)
{
	while (w->now < now)
		advance_one_ms(w);
}

/*
 * Returns the active run with exactly this run number, or NULL.  A run of the
 * same task under another number does not match: the documentation of the
 * worker interface does not say that a worker prevents two runs of one task.
 */
static struct fake_run *
find_run(struct fake_worker *w, const struct mlk_run_name *name)
{
	uint32_t i;

	for (i = 0; i < w->nruns; i++) {
		if (w->runs[i].name.index == name->index &&
		    w->runs[i].name.step == name->step &&
		    w->runs[i].name.run == name->run &&
		    strcmp(w->runs[i].name.id, name->id) == 0)
			return (&w->runs[i]);
	}
	return (NULL);
}

/*
 * Returns the highest run number among the ended runs of a task; 0: none.
 */
static uint32_t
highest_ended(const struct fake_worker *w, const struct mlk_run_name *name)
{
	uint32_t i, highest = 0;

	for (i = 0; i < w->nends; i++) {
		if (w->ends[i].name.index == name->index &&
		    w->ends[i].name.step == name->step &&
		    strcmp(w->ends[i].name.id, name->id) == 0 &&
		    w->ends[i].name.run > highest)
			highest = w->ends[i].name.run;
	}
	return (highest);
}

/*
 * Extends the lease up to FAKE_LEASE_MAX_MS from now; never shortens it.
 */
static void
extend_lease(struct fake_worker *w, int64_t until)
{
	int64_t limit = fake_worker_clock(w) + FAKE_LEASE_MAX_MS;

	if (until > limit)
		until = limit;
	if (until > w->lease_until)
		w->lease_until = until;
}

static enum mlk_order_result
start_run(struct fake_worker *w, const struct mlk_order *order,
    const struct mlk_resources *resources, double work_ms)
{
	struct mlk_resources used = *resources;
	struct fake_run *run;
	uint32_t i;

	if (find_run(w, &order->name) != NULL)
		return (MLK_ORDER_OK);
	if (order->lease_until_ms <= fake_worker_clock(w))
		return (MLK_ORDER_LEASE_EXPIRED);
	if (highest_ended(w, &order->name) >= order->name.run) {
		extend_lease(w, order->lease_until_ms);
		return (MLK_ORDER_STALE_RUN);
	}
	for (i = 0; i < w->nruns; i++)
		mlk_resources_add(&used, &w->runs[i].resources);
	if (!mlk_resources_fit(&w->capacity, &used))
		w->over_capacity++;
	extend_lease(w, order->lease_until_ms);
	run = &w->runs[w->nruns++];
	memset(run, 0, sizeof(*run));
	run->name = order->name;
	run->resources = *resources;
	run->work_ms = work_ms;
	return (MLK_ORDER_OK);
}

/*
 * Renews the lease, drops the acknowledged ends, and reports the active runs
 * and the ends that are left.
 */
static void
list_runs(struct fake_worker *w, const struct mlk_order *order,
    struct mlk_runner_event *ev)
{
	uint32_t i, n = 0;

	if (order->lease_until_ms > 0)
		extend_lease(w, order->lease_until_ms);
	while (n < w->nends && w->ends[n].number <= order->ack)
		n++;
	memmove(w->ends, &w->ends[n], (w->nends - n) * sizeof(w->ends[0]));
	w->nends -= n;
	for (i = 0; i < w->nruns; i++) {
		w->listed[i].name = w->runs[i].name;
		w->listed[i].percent =
		    (uint32_t)(w->runs[i].done_ms * 100 / w->runs[i].work_ms);
	}
	ev->u.order.boot = w->boot;
	ev->u.order.nrunning = w->nruns;
	ev->u.order.running = w->listed;
	ev->u.order.nended =
	    w->nends > ENDS_PER_LIST_MAX ? ENDS_PER_LIST_MAX : w->nends;
	ev->u.order.ended = w->ends;
}

void
fake_worker_order(struct fake_worker *w, const struct mlk_order *order,
    const struct mlk_resources *resources, double work_ms,
    struct mlk_runner_event *ev)
{
	struct fake_run *run;

	memset(ev, 0, sizeof(*ev));
	ev->type = MLK_RUNNER_ORDER;
	ev->u.order.order = order->order;
	ev->u.order.clock_ms = fake_worker_clock(w);
	if (order->worker[0] != '\0' && strcmp(order->worker, w->id) != 0) {
		ev->u.order.result = MLK_ORDER_OTHER_WORKER;
		return;
	}
	if (order->fence < w->fence) {
		ev->u.order.result = MLK_ORDER_FENCED;
		return;
	}
	w->fence = order->fence;
	ev->u.order.result = MLK_ORDER_OK;
	switch (order->type) {
	case MLK_ORDER_START:
		ev->u.order.result = start_run(w, order, resources, work_ms);
		break;
	case MLK_ORDER_STOP:
		run = find_run(w, &order->name);
		if (run != NULL && run->stop_at == 0)
			run->stop_at = w->now + STOP_MS;
		break;
	case MLK_ORDER_LIST:
		list_runs(w, order, ev);
		break;
	}
}

void
fake_worker_announce(
    const struct fake_worker *w, uint64_t seq, struct mlk_announcement *out)
{
	memset(out, 0, sizeof(*out));
	(void)snprintf(out->info.id, sizeof(out->info.id), "%s", w->id);
	(void)snprintf(out->info.pool, sizeof(out->info.pool), "pool-a");
	out->info.boot = w->boot;
	out->info.capacity = w->capacity;
	out->seq = seq;
	out->clock_ms = fake_worker_clock(w);
}

bool
fake_worker_has_ends(const struct fake_worker *w, uint64_t ack)
{
	return (w->nends > 0 && w->ends[w->nends - 1].number > ack);
}

bool
fake_worker_runs(const struct fake_worker *w, const char *id, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < w->nruns; i++) {
		if (w->runs[i].name.index == index &&
		    strcmp(w->runs[i].name.id, id) == 0)
			return (true);
	}
	return (false);
}
