/*
 * Workers as PROTOCOL.md describes them: they start what they are told to,
 * also beyond their capacity, and keep runs under one lease.
 */
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define LATE_MIN_MS 2000
#define LATE_SPREAD_MS 10000U

static int64_t
worker_clock(const struct rig *r, const struct worker *w)
{
	return (r->now - w->clock_start);
}

uint32_t
worker_used(const struct worker *w)
{
	uint32_t used = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++)
		used += g_array_index(w->runs, struct run, i).cpu;
	return (used);
}

/*
 * Returns how many runs of a task are at work, on all workers that are up.
 */
uint32_t
runs_of(const struct rig *r, const char *task)
{
	const struct worker *w;
	uint32_t i, n = 0;
	guint k;

	for (i = 0; i < r->nworkers; i++) {
		w = &r->workers[i];
		for (k = 0; w->up && k < w->runs->len; k++)
			n += strcmp(g_array_index(w->runs, struct run, k).task,
				 task) == 0;
	}
	return (n);
}

/*
 * Begins a life of the worker; it holds and knows nothing of before.
 */
void
worker_begin(struct rig *r, struct worker *w, uint64_t born, uint32_t cpu)
{
	if (w->runs == NULL) {
		(void)snprintf(w->id, sizeof(w->id), "i-7f3a91c%u", w->index);
		w->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
		w->ends = g_array_new(FALSE, FALSE, sizeof(struct end));
		w->holds = g_array_new(FALSE, FALSE, sizeof(struct hold));
		w->lates = g_array_new(FALSE, FALSE, sizeof(struct late));
		w->highest = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
	}
	w->up = true;
	w->life++;
	w->born = born;
	w->cpu = cpu;
	w->clock_start = r->now - 1000;
	w->seq = 0;
	w->fence = 0;
	w->lease_until = 0;
	w->last_end = 0;
	w->ping_at = r->now;
	note(r, "worker %u: life %llu begins, id %s, born %llu, cpu %u",
	    w->index, (unsigned long long)w->life, w->id,
	    (unsigned long long)born, cpu);
}

/*
 * The worker crashes: all that it runs ends, and it is silent.
 */
void
worker_crash(struct rig *r, struct worker *w)
{
	note(r, "worker %u: crashes with %u runs", w->index, w->runs->len);
	w->up = false;
	(void)g_array_set_size(w->runs, 0);
	(void)g_array_set_size(w->ends, 0);
	(void)g_array_set_size(w->holds, 0);
	g_hash_table_remove_all(w->highest);
}

static void
answer(
    struct rig *r, struct worker *w, uint64_t request, int status, json_t *body)
{
	char *text;

	(void)json_object_set_new(
	    body, "clock_ms", json_integer(worker_clock(r, w)));
	(void)json_object_set_new(
	    body, "born", json_integer((json_int_t)w->born));
	text = json_dumps(body, JSON_COMPACT);
	if (request != 0)
		(void)mlk_loop_http_reply(r->loop, request, status,
		    "application/json", 0, text, strlen(text));
	free(text);
	json_decref(body);
}

static void
refuse(struct rig *r, struct worker *w, uint64_t request, const char *reason)
{
	answer(r, w, request, 409, json_pack("{s:s}", "reason", reason));
}

static uint32_t
highest_run(const struct worker *w, const char *task)
{
	return (GPOINTER_TO_UINT(g_hash_table_lookup(w->highest, task)));
}

static void
note_highest(struct worker *w, const char *task, uint32_t run)
{
	if (run > highest_run(w, task))
		(void)g_hash_table_insert(
		    w->highest, g_strdup(task), GUINT_TO_POINTER(run));
}

static struct run *
find_run(struct worker *w, const char *task, uint32_t number)
{
	struct run *run;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		run = &g_array_index(w->runs, struct run, i);
		if (run->run == number && strcmp(run->task, task) == 0)
			return (run);
	}
	return (NULL);
}

static void
end_run(struct rig *r, struct worker *w, guint i, const char *how)
{
	const struct run *run = &g_array_index(w->runs, struct run, i);
	struct end end = { .number = ++w->last_end, .how = how };

	(void)g_strlcpy(end.task, run->task, sizeof(end.task));
	end.run = run->run;
	note(r, "worker %u: run %u of %s ends %s", w->index, run->run,
	    run->task, how);
	note_highest(w, run->task, run->run);
	(void)g_array_append_val(w->ends, end);
	(void)g_array_remove_index_fast(w->runs, i);
}

/*
 * A lease never shortens, and a longer one than the maximum is shortened to it.
 */
static void
extend_lease(struct rig *r, struct worker *w, int64_t until)
{
	int64_t most = worker_clock(r, w) + LEASE_MAX_MS;

	w->lease_until = MAX(w->lease_until, MIN(until, most));
}

static void
do_start(struct rig *r, struct worker *w, uint64_t request, const json_t *root)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	uint32_t number =
	    (uint32_t)json_integer_value(json_object_get(root, "run"));
	int64_t until = json_integer_value(json_object_get(root, "until_ms"));
	struct run run = { 0 };
	struct job *job;

	job = task == NULL ? NULL : job_of(r, task);
	if (job == NULL) {
		answer(r, w, request, 400, json_object());
		return;
	}
	if (find_run(w, task, number) != NULL) {
		extend_lease(r, w, until);
		answer(r, w, request, 200, json_object());
		return;
	}
	if (until <= worker_clock(r, w)) {
		refuse(r, w, request, "late");
		return;
	}
	extend_lease(r, w, until);
	if (number <= highest_run(w, task)) {
		refuse(r, w, request, "old");
		return;
	}
	(void)g_strlcpy(run.task, task, sizeof(run.task));
	run.run = number;
	run.cpu = job->cpu;
	run.begun_at = r->now;
	/* The step is the third part of the name ID.K.STEP.INDEX. */
	run.ends_at =
	    r->now + job->work_ms[strncmp(task + 16, ".0.0.", 5) == 0 ? 0 : 1];
	(void)g_array_append_val(w->runs, run);
	job->started++;
	note(r, "worker %u: run %u of %s starts, %u of cpu in use of %u",
	    w->index, number, task, worker_used(w), w->cpu);
	if (worker_used(w) > w->cpu)
		w->over++;
	answer(r, w, request, 200, json_object());
	r->scenario->started(r, w, &run);
}

static void
do_stop(struct rig *r, struct worker *w, uint64_t request, const json_t *root)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	uint32_t number =
	    (uint32_t)json_integer_value(json_object_get(root, "run"));
	struct run *run;

	if (task == NULL) {
		answer(r, w, request, 400, json_object());
		return;
	}
	run = find_run(w, task, number);
	if (run == NULL)
		note_highest(w, task, number);
	else if (run->stop_at == 0)
		run->stop_at = r->now + STOP_MS;
	note(r, "worker %u: stop of run %u of %s%s", w->index, number, task,
	    run == NULL ? ", not there" : "");
	answer(r, w, request, 200, json_object());
}

static json_t *
lists(const struct rig *r, const struct worker *w)
{
	json_t *running = json_array(), *ended = json_array();
	const struct run *run;
	const struct end *end;
	int64_t percent;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		run = &g_array_index(w->runs, struct run, i);
		percent = (r->now - run->begun_at) * 100 /
		    (run->ends_at - run->begun_at);
		(void)json_array_append_new(running,
		    json_pack("[s,i,s,i,i]", run->task, (int)run->run, "",
			(int)MIN(percent, 99), (int)run->cpu));
	}
	for (i = 0; i < w->ends->len && i < 500; i++) {
		end = &g_array_index(w->ends, struct end, i);
		(void)json_array_append_new(ended,
		    json_pack("[I,s,i,s,s]", (json_int_t)end->number, end->task,
			(int)end->run, end->how, ""));
	}
	return (json_pack("{s:o,s:o}", "running", running, "ended", ended));
}

static bool
has_ends(const struct worker *w, uint64_t ack)
{
	return (w->ends->len > 0 &&
	    g_array_index(w->ends, struct end, w->ends->len - 1).number > ack);
}

static void
do_hold(struct rig *r, struct worker *w, uint64_t request, const json_t *root)
{
	json_t *until = json_object_get(root, "until_ms");
	struct hold hold = { .request = request };

	hold.ack =
	    (uint64_t)json_integer_value(json_object_get(root, "ack_cursor"));
	hold.until =
	    r->now + json_integer_value(json_object_get(root, "wait_ms"));
	if (until != NULL)
		extend_lease(r, w, json_integer_value(until));
	while (w->ends->len > 0 &&
	    g_array_index(w->ends, struct end, 0).number <= hold.ack)
		(void)g_array_remove_index(w->ends, 0);
	if (has_ends(w, hold.ack) || r->now >= hold.until)
		answer(r, w, request, 200, lists(r, w));
	else
		(void)g_array_append_val(w->holds, hold);
}

static void
carry_out(struct rig *r, struct worker *w, const char *path, uint64_t request,
    const char *body, size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);
	uint64_t fence =
	    (uint64_t)json_integer_value(json_object_get(root, "fence"));

	if (fence < w->fence) {
		refuse(r, w, request, "fence");
	} else {
		w->fence = fence;
		if (strcmp(path, "/-/run-start") == 0)
			do_start(r, w, request, root);
		else if (strcmp(path, "/-/run-stop") == 0)
			do_stop(r, w, request, root);
		else
			do_hold(r, w, request, root);
	}
	json_decref(root);
}

void
worker_request(
    struct rig *r, struct worker *w, const struct mlk_http_request *req)
{
	char expected[64];
	struct late late = { 0 };

	if (!w->up)
		return; /* silent; the caller's time-out ends the call */
	if (mlk_loop_http_header(r->loop, req->request, "X-Expect-Instance",
		expected, sizeof(expected)) &&
	    strcmp(expected, w->id) != 0) {
		answer(r, w, req->request, 421, json_object());
		return;
	}
	if (strcmp(req->path, "/-/hold") != 0 && w->late_percent > 0 &&
	    mlk_rng_below(&r->rng, 100) < w->late_percent) {
		late.at = r->now + LATE_MIN_MS +
		    mlk_rng_below(&r->rng, LATE_SPREAD_MS);
		late.life = w->life;
		(void)g_strlcpy(late.path, req->path, sizeof(late.path));
		late.body = g_strndup((const char *)req->body, req->body_len);
		(void)g_array_append_val(w->lates, late);
		note(r, "worker %u: no answer, carried out at %.3f: %s %s",
		    w->index, (double)late.at / 1000.0, req->path, late.body);
		return;
	}
	carry_out(r, w, req->path, req->request, (const char *)req->body,
	    req->body_len);
}

void
worker_gone(struct worker *w, uint64_t request)
{
	guint i;

	for (i = w->holds->len; i > 0; i--) {
		if (g_array_index(w->holds, struct hold, i - 1).request ==
		    request)
			(void)g_array_remove_index_fast(w->holds, i - 1);
	}
}

static void
ping(struct rig *r, struct worker *w)
{
	struct mlk_http_call call = { 0 };
	struct mlk_error err;
	char path[96], *text;
	json_t *root;

	w->ping_at = r->now + HEARTBEAT_MS;
	root = json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
	    "service", SERVICE, "address", "127.0.0.1:1", "zone", "zone-a",
	    "version", "v1", "slots", 8, "state", "ready", "cold_remaining_ms",
	    0, "capacity", "cpu", (int)w->cpu, "mem_mb", 262144, "gpu", 0,
	    "labels", "a", "r1-3", "clock_ms", (json_int_t)worker_clock(r, w),
	    "seq", (json_int_t)++w->seq, "born", (json_int_t)w->born);
	text = json_dumps(root, JSON_COMPACT);
	(void)snprintf(path, sizeof(path), "/-/Instances.Heartbeat/%s", w->id);
	call.call = 1000000 + ++r->last_call;
	call.method = "POST";
	call.addr = w->control;
	call.path = path;
	call.headers = "Content-Type: application/json\r\n";
	call.body = text;
	call.body_len = strlen(text);
	call.timeout_ms = 1000;
	(void)mlk_loop_http_call(r->loop, &call, &err);
	free(text);
	json_decref(root);
}

static void
advance(struct rig *r, struct worker *w)
{
	const struct run *run;
	struct hold hold;
	struct late late;
	guint i;

	for (i = w->runs->len; i > 0; i--) {
		run = &g_array_index(w->runs, struct run, i - 1);
		if (worker_clock(r, w) >= w->lease_until)
			end_run(r, w, i - 1, "lapsed");
		else if (run->stop_at != 0 && r->now >= run->stop_at)
			end_run(r, w, i - 1, "stopped");
		else if (r->now >= run->ends_at)
			end_run(r, w, i - 1, "done");
	}
	for (i = w->holds->len; i > 0; i--) {
		hold = g_array_index(w->holds, struct hold, i - 1);
		if (r->now < hold.until && !has_ends(w, hold.ack))
			continue;
		(void)g_array_remove_index_fast(w->holds, i - 1);
		answer(r, w, hold.request, 200, lists(r, w));
	}
	for (i = w->lates->len; i > 0; i--) {
		late = g_array_index(w->lates, struct late, i - 1);
		if (r->now < late.at)
			continue;
		(void)g_array_remove_index_fast(w->lates, i - 1);
		if (late.life == w->life)
			carry_out(
			    r, w, late.path, 0, late.body, strlen(late.body));
		g_free(late.body);
	}
	if (r->now >= w->ping_at)
		ping(r, w);
}

void
workers_tick(struct rig *r)
{
	uint32_t i;

	for (i = 0; i < r->nworkers; i++) {
		if (r->workers[i].up)
			advance(r, &r->workers[i]);
	}
}
