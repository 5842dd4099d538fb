/*
 * The simulated workers of the soak, and the checks of their runs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define ANNOUNCE_MS 300
#define ANNOUNCE_TIMEOUT_MS 1000
#define STOP_AFTER_DISCONNECT_MS 1600 /* until the job's runs have ended */
#define WORKER_CPU 64000 /* thousandths of a core */
/* Users require that nothing starts this long after an evacuation. */
#define EVACUATE_MS 5000
#define TASK_MEM_MB 100
/*
 * Delay until a late start is carried out.  Many are carried out before the
 * lease in their order has expired.
 */
#define LATE_MIN_MS 60U
#define LATE_SPREAD_MS 1500U
#define DRAIN_MIN_MS 100U
#define DRAIN_SPREAD_MS 2000U /* random part */
#define LEAVE_TIMEOUT_MS 1000U
/* A worker whose notice to leave is not answered ends after this time. */
#define END_MIN_MS 200U
#define END_SPREAD_MS 2500U
#define LATE_NOTICE_MS 4000U /* longest delay of a late notice */

/*
 * Restarts a worker, as a crash would, under its old or a new id.
 */
void
soak_worker_start(struct soak *s, uint32_t i, bool same_id)
{
	struct soak_worker *w = &s->workers[i];

	w->over_capacity += w->fake.over_capacity;
	s->last_boot += 1 + soak_random(s, 5);
	if (!same_id)
		(void)snprintf(w->id, sizeof(w->id), "i-%u-%llu", i,
		    (unsigned long long)s->last_boot);
	fake_worker_init(&w->fake, w->id, 1700000000000ULL + s->last_boot,
	    WORKER_CPU, s->now);
	w->fake.clock_start =
	    1000 + (int64_t)soak_random(s, 100000) - (int64_t)s->now;
	w->seq = 0;
	w->last_seen_end = 0;
	w->announce_at = s->now;
	w->draining = false;
	w->leave_at = 0;
	w->end_at = 0;
	w->leave_call = 0;
}

/*
 * The worker drains.  Then it says that it leaves, and ends when that is
 * answered, or some time later if the answer is lost.
 */
void
soak_worker_leave(struct soak *s, uint32_t i)
{
	struct soak_worker *w = &s->workers[i];

	if (w->draining)
		return;
	w->draining = true;
	w->announce_at = s->now;
	w->leave_at = s->now + DRAIN_MIN_MS + soak_random(s, DRAIN_SPREAD_MS);
}

/*
 * Sends a notice that the worker with the given id leaves.
 */
static uint64_t
send_notice(struct soak *s, uint32_t i, const char *id)
{
	uint64_t number = (uint64_t)i << 48 | ++s->last_call;
	char addr[MLK_ADDR_MAX], path[96];

	soak_agent_addr(s, i, SOAK_PORT_CONTROL, addr);
	(void)snprintf(path, sizeof(path), "/-/Instances.Leave/%s", id);
	soak_call(s, SOAK_CALL_LEAVE, number, "POST", addr, path, "", NULL,
	    LEAVE_TIMEOUT_MS);
	return (number);
}

/*
 * A leaving worker ends, and starts again.  Its notice may arrive once more.
 */
static void
end_leaving(struct soak *s, uint32_t i)
{
	struct soak_worker *w = &s->workers[i];

	(void)g_strlcpy(w->late_id, w->id, sizeof(w->late_id));
	w->late_at = s->now + 1 + soak_random(s, LATE_NOTICE_MS);
	soak_worker_start(s, i, soak_random(s, 2) == 0);
}

void
soak_worker_leave_answered(struct soak *s, uint64_t number)
{
	uint32_t i = (uint32_t)(number >> 48);

	if (s->workers[i].leave_call == number)
		end_leaving(s, i);
}

static void
leave_tick(struct soak *s, uint32_t i)
{
	struct soak_worker *w = &s->workers[i];
	uint64_t call;

	if (w->late_at != 0 && s->now >= w->late_at) {
		w->late_at = 0;
		(void)send_notice(s, i, w->late_id);
	}
	if (w->leave_at != 0 && s->now >= w->leave_at) {
		w->leave_at = 0;
		w->end_at = s->now + END_MIN_MS + soak_random(s, END_SPREAD_MS);
		call = send_notice(s, i, w->id);
		if (soak_random(s, 2) == 0)
			w->leave_call = call;
	}
	if (w->end_at != 0 && s->now >= w->end_at)
		end_leaving(s, i);
}

static uint32_t
uint_member(const json_t *root, const char *name)
{
	return ((uint32_t)json_integer_value(json_object_get(root, name)));
}

/*
 * Parses an order.  Returns false when it is malformed.
 */
static bool
order_parse(struct soak *s, const struct mlk_http_request *req,
    const json_t *root, struct mlk_order *order)
{
	const char *task;

	memset(order, 0, sizeof(*order));
	order->fence =
	    (uint64_t)json_integer_value(json_object_get(root, "fence"));
	order->lease_until_ms =
	    json_integer_value(json_object_get(root, "until_ms"));
	order->ack =
	    (uint64_t)json_integer_value(json_object_get(root, "ack_cursor"));
	order->wait_ms = uint_member(root, "wait_ms");
	order->name.run = uint_member(root, "run");
	(void)mlk_loop_http_header(s->loop, req->request, "X-Expect-Instance",
	    order->worker, sizeof(order->worker));
	if (strcmp(req->path, "/-/hold") == 0) {
		order->type = MLK_ORDER_LIST;
		return (true);
	}
	order->type = strcmp(req->path, "/-/run-start") == 0 ? MLK_ORDER_START :
							       MLK_ORDER_STOP;
	task = json_string_value(json_object_get(root, "task"));
	return (task != NULL && order->name.run > 0 &&
	    sscanf(task, "%16[0-9a-f].0.%u.%u", order->name.id,
		&order->name.step, &order->name.index) == 3);
}

static const char *
reason_of(enum mlk_order_result result)
{
	switch (result) {
	case MLK_ORDER_FENCED:
		return ("fence");
	case MLK_ORDER_STALE_RUN:
		return ("old");
	case MLK_ORDER_LEASE_EXPIRED:
		return ("late");
	default:
		return (NULL);
	}
}

static json_t *
task_json(const struct mlk_run_name *name)
{
	return (json_sprintf("%s.0.%u.%u", name->id, name->step, name->index));
}

static const char *
end_type_text(enum mlk_listed_end_type how)
{
	static const char *const text[] = { "done", "failed", "stopped",
		"lapsed", "broken" };

	return (text[how]);
}

static json_t *
listing_json(const struct soak_worker *w, const struct mlk_runner_event *ev)
{
	json_t *running = json_array(), *ended = json_array();
	uint32_t i;

	for (i = 0; i < ev->u.order.nrunning; i++) {
		(void)json_array_append_new(running,
		    json_pack("[o,i,s,i]",
			task_json(&ev->u.order.running[i].name),
			(int)ev->u.order.running[i].name.run, "",
			(int)ev->u.order.running[i].percent));
	}
	for (i = 0; i < ev->u.order.nended; i++) {
		(void)json_array_append_new(ended,
		    json_pack("[I,o,i,s,s]",
			(json_int_t)ev->u.order.ended[i].number,
			task_json(&ev->u.order.ended[i].name),
			(int)ev->u.order.ended[i].name.run,
			end_type_text(ev->u.order.ended[i].how), ""));
	}
	return (json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
	    (json_int_t)ev->u.order.clock_ms, "born", (json_int_t)w->fake.boot,
	    "running", running, "ended", ended));
}

/*
 * Records the tasks that have run to their end, before an acknowledgement makes
 * the worker drop them.
 */
static void
record_ends(struct soak *s, struct soak_worker *w)
{
	const struct mlk_listed_end *end;
	struct soak_job *job;
	uint32_t i;

	for (i = 0; i < w->fake.nends; i++) {
		end = &w->fake.ends[i];
		if (end->number <= w->last_seen_end)
			continue;
		w->last_seen_end = end->number;
		job = soak_job_by_id(s, end->name.id);
		if (job != NULL && end->how == MLK_LISTED_DONE)
			job->done_mask |= 1ULL << end->name.index;
	}
}

/*
 * Checks that a run may start at a worker whose data centre may be evacuated.
 */
static void
check_evacuated(
    struct soak *s, const struct soak_worker *w, const struct mlk_order *order)
{
	uint32_t dc = (uint32_t)(w - s->workers) % SOAK_DCS;
	int64_t since;

	if (s->evacuated_at[dc] == 0)
		return;
	since = s->now - MAX(s->evacuated_at[dc], s->store_up_since);
	s->evacuation_ms = MAX(s->evacuation_ms, s->now - s->evacuated_at[dc]);
	if (s->store_mode != SOAK_STORE_UP || since <= EVACUATE_MS)
		return;
	soak_violation(s,
	    "evacuated: %s starts at %s %lld ms after the evacuation",
	    order->name.id, w->id, (long long)(s->now - s->evacuated_at[dc]));
}

/*
 * Executes an order, and fills *ev with its answer.
 */
static void
execute_order(struct soak *s, struct soak_worker *w,
    const struct mlk_order *order, struct mlk_runner_event *ev)
{
	struct mlk_resources resources = { .mem_mb = TASK_MEM_MB };
	struct soak_job *job = NULL;
	double work_ms = 1;

	memset(ev, 0, sizeof(*ev));
	fake_worker_advance(&w->fake, s->now);
	record_ends(s, w);
	if (order->type == MLK_ORDER_START) {
		job = soak_job_by_id(s, order->name.id);
		if (job == NULL || order->name.index >= job->ntasks) {
			soak_violation(s, "unasked: start of %s.%u",
			    order->name.id, order->name.index);
			ev->u.order.result = MLK_ORDER_INVALID;
			return;
		}
		resources.cpu = job->cpu;
		work_ms = job->work_ms;
	}
	fake_worker_order(&w->fake, order, &resources, work_ms, ev);
	if (job == NULL || ev->u.order.result != MLK_ORDER_OK)
		return;
	job->started++;
	check_evacuated(s, w, order);
	if (job->refused)
		soak_violation(
		    s, "not run: %s starts after its refusal", order->name.id);
}

static void
answer(struct soak *s, const struct soak_worker *w, uint64_t request,
    const struct mlk_order *order, const struct mlk_runner_event *ev)
{
	const char *reason = reason_of(ev->u.order.result);
	json_int_t clock_ms = (json_int_t)ev->u.order.clock_ms;

	if (ev->u.order.result == MLK_ORDER_OTHER_WORKER) {
		soak_reply(s, request, 421, json_object());
	} else if (reason != NULL) {
		soak_reply(s, request, 409,
		    json_pack(
			"{s:I,s:s}", "clock_ms", clock_ms, "reason", reason));
	} else if (order->type == MLK_ORDER_LIST) {
		soak_reply(s, request, 200, listing_json(w, ev));
	} else {
		soak_reply(
		    s, request, 200, json_pack("{s:I}", "clock_ms", clock_ms));
	}
}

/*
 * Keeps a listing open while it has no end to report.  Returns false when it is
 * to be answered at once, also when too many are open.
 */
static bool
hold_open(struct soak *s, struct soak_worker *w, uint64_t request,
    const struct mlk_order *order)
{
	uint32_t i;

	if (order->type != MLK_ORDER_LIST || order->wait_ms == 0 ||
	    fake_worker_has_ends(&w->fake, order->ack))
		return (false);
	for (i = 0; i < SOAK_HOLDS_MAX; i++) {
		if (w->holds[i].request != 0)
			continue;
		w->holds[i].request = request;
		w->holds[i].order = *order;
		w->holds[i].until = s->now + order->wait_ms;
		return (true);
	}
	return (false);
}

void
soak_worker_request(
    struct soak *s, uint32_t i, const struct mlk_http_request *req)
{
	struct soak_worker *w = &s->workers[i];
	struct mlk_runner_event ev;
	struct soak_late_start late;
	struct mlk_order order;
	json_t *root;
	bool ok;

	root = json_loadb((const char *)req->body, req->body_len, 0, NULL);
	ok = order_parse(s, req, root, &order);
	json_decref(root);
	if (!ok) {
		soak_violation(s, "malformed order %s", req->path);
		return;
	}
	if (!w->fake.up || w->unresponsive)
		return;
	if (order.type == MLK_ORDER_START &&
	    soak_random(s, 100) < w->late_start_percent) {
		late.worker = i;
		late.boot = w->fake.boot;
		late.at = s->now + LATE_MIN_MS + soak_random(s, LATE_SPREAD_MS);
		late.order = order;
		(void)g_array_append_val(s->late, late);
		return;
	}
	execute_order(s, w, &order, &ev);
	if (soak_random(s, 100) < w->lost_answer_percent)
		return;
	if (ev.u.order.result == MLK_ORDER_OK &&
	    hold_open(s, w, req->request, &order))
		return;
	answer(s, w, req->request, &order, &ev);
}

/*
 * Answers open listings that have an end to report or have timed out.  An
 * unresponsive worker drops them.
 */
static void
holds_tick(struct soak *s, struct soak_worker *w)
{
	struct mlk_runner_event ev;
	struct soak_hold *hold;
	uint32_t i;

	for (i = 0; i < SOAK_HOLDS_MAX; i++) {
		hold = &w->holds[i];
		if (hold->request == 0)
			continue;
		if (!w->fake.up || w->unresponsive) {
			hold->request = 0;
			continue;
		}
		if (s->now < hold->until &&
		    !fake_worker_has_ends(&w->fake, hold->order.ack))
			continue;
		/* The lease was renewed when the request arrived. */
		hold->order.lease_until_ms = 0;
		hold->order.fence = w->fake.fence;
		execute_order(s, w, &hold->order, &ev);
		answer(s, w, hold->request, &hold->order, &ev);
		hold->request = 0;
	}
}

static void
announce(struct soak *s, uint32_t i)
{
	struct soak_worker *w = &s->workers[i];
	char addr[MLK_ADDR_MAX], path[96], *body;
	json_t *root;

	w->announce_at = s->now + ANNOUNCE_MS;
	root = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},"
			 "s:[s,s],s:I,s:I,s:I}",
	    "service", "pool-a", "address", "127.0.0.1:1", "zone", "dc-a",
	    "version", "v1", "slots", 8, "state",
	    w->draining ? "draining" : "ready", "cold_remaining_ms", 0,
	    "capacity", "cpu", WORKER_CPU, "mem_mb", 131072, "gpu", 0, "labels",
	    "a", "r1", "clock_ms", (json_int_t)fake_worker_clock(&w->fake),
	    "seq", (json_int_t)++w->seq, "born", (json_int_t)w->fake.boot);
	body = json_dumps(root, JSON_COMPACT);
	soak_agent_addr(s, i, SOAK_PORT_CONTROL, addr);
	(void)snprintf(path, sizeof(path), "/-/Instances.Heartbeat/%s", w->id);
	soak_call(s, SOAK_CALL_ANNOUNCE, ++s->last_call, "POST", addr, path, "",
	    body, ANNOUNCE_TIMEOUT_MS);
	free(body);
	json_decref(root);
}

/*
 * Executes the late starts that are due; their answers are dropped.
 */
static void
late_tick(struct soak *s)
{
	struct mlk_runner_event ev;
	struct soak_late_start late;
	guint i;

	for (i = s->late->len; i > 0; i--) {
		late = g_array_index(s->late, struct soak_late_start, i - 1);
		if (s->now < late.at)
			continue;
		(void)g_array_remove_index_fast(s->late, i - 1);
		if (s->workers[late.worker].fake.up &&
		    s->workers[late.worker].fake.boot == late.boot)
			execute_order(
			    s, &s->workers[late.worker], &late.order, &ev);
	}
}

/*
 * Checks that no task has two runs at a time, and that no task runs for a
 * caller that has disconnected.
 */
static void
check_runs(struct soak *s)
{
	const struct mlk_run_name *name;
	const struct soak_job *job;
	GHashTable *seen;
	uint32_t i, k;
	char *key;

	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < s->options.workers; i++) {
		if (!s->workers[i].fake.up)
			continue;
		for (k = 0; k < s->workers[i].fake.nruns; k++) {
			name = &s->workers[i].fake.runs[k].name;
			key = g_strdup_printf("%s.%u", name->id, name->index);
			job = soak_job_by_id(s, name->id);
			if (g_hash_table_contains(seen, key))
				soak_violation(
				    s, "one run: %s has two runs", key);
			if (job != NULL && job->disconnected_at != 0 &&
			    s->now >
				job->disconnected_at + STOP_AFTER_DISCONNECT_MS)
				soak_violation(s, "left: %s still runs", key);
			(void)g_hash_table_add(seen, key);
		}
	}
	g_hash_table_destroy(seen);
}

void
soak_workers_tick(struct soak *s)
{
	struct soak_worker *w;
	uint32_t i;

	for (i = 0; i < s->options.workers; i++) {
		w = &s->workers[i];
		if (!w->fake.up)
			continue;
		leave_tick(s, i);
		fake_worker_advance(&w->fake, s->now);
		record_ends(s, w);
		if (w->over_capacity + w->fake.over_capacity > 0)
			soak_violation(
			    s, "room: worker %u exceeds its capacity", i);
		if (s->now >= w->announce_at && !w->unresponsive)
			announce(s, i);
		holds_tick(s, w);
	}
	late_tick(s);
	check_runs(s);
}
