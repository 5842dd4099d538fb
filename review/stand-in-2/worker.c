/*
 * The workers: they start what they are told to start, hold leases and list
 * what runs and what has ended, as PROTOCOL.md says.  Each start is checked.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define RUNS_MAX 256
#define ENDS_MAX 512
#define HOLDS_MAX 8
#define DELAYED_MAX 128
#define HOLD_MAX_MS 1000
#define PING_MS 1500
#define FIRST_PING_MS 300
#define PING_TIMEOUT_MS 1000
#define CANCEL_MS 3000
#define STOP_MS 50

struct run {
	bool used;
	char name[48];
	struct job *job;
	int index;
	uint32_t run;
	int64_t since;
	int64_t done_at;
	bool cancel_noted;
};

struct end {
	uint64_t n;
	char name[48];
	uint32_t run;
	const char *how;
};

struct hold {
	uint64_t handle; /* 0: free */
	int64_t until;
};

/* An answer to a start that is still on its way. */
struct delayed {
	uint64_t handle; /* 0: free */
	int64_t at;
};

struct state {
	struct run runs[RUNS_MAX];
	struct end ends[ENDS_MAX]; /* not acknowledged, oldest first */
	int nends;
	struct hold holds[HOLDS_MAX];
	struct delayed delayed[DELAYED_MAX];
	uint32_t past[JOBS_MAX][TASKS_MAX]; /* highest run stopped or ended */
};

struct worker workers[WORKERS_MAX];
int nworkers;
uint32_t worker_cpu = 64000;
static struct state *states[WORKERS_MAX];
static int64_t last_born = 1764979200000;

static int64_t
clock_of(const struct worker *w)
{
	return (w->clock_start + (now_ms() - w->started));
}

/*
 * Starts a worker under an id, with a new clock and nothing known of before.
 */
void
worker_start(int i, const char *id)
{
	struct worker *w = &workers[i];
	char addr[ADDR_TEXT], control[ADDR_TEXT];
	int answer_ms = w->answer_ms;

	(void)snprintf(addr, sizeof(addr), "%s", w->addr);
	(void)snprintf(control, sizeof(control), "%s", w->control);
	free(states[i]);
	states[i] = calloc(1, sizeof(*states[i]));
	if (states[i] == NULL)
		abort();
	memset(w, 0, sizeof(*w));
	(void)snprintf(w->addr, sizeof(w->addr), "%s", addr);
	(void)snprintf(w->control, sizeof(w->control), "%s", control);
	(void)snprintf(w->id, sizeof(w->id), "%s", id);
	last_born += 1000;
	w->up = true;
	w->answer_ms = answer_ms;
	w->born = last_born;
	w->started = now_ms();
	w->clock_start = 1000;
	w->ping_at = now_ms() + FIRST_PING_MS;
	if (!http_listen(w->addr, OWNER_WORKER + i))
		abort();
	record("worker %d starts, id %s, born %lld", i, id, (long long)w->born);
}

static void
run_over(int i, struct run *run, const char *how, bool listed)
{
	struct state *s = states[i];
	struct task *task = &run->job->tasks[run->index];
	struct end *end;

	run->used = false;
	task->runs--;
	if (strcmp(how, "done") == 0)
		task->done = true;
	record("worker %d: run %s #%u %s after %lld ms", i, run->name, run->run,
	    how, (long long)(now_ms() - run->since));
	if (!listed)
		return;
	s->past[run->job - jobs][run->index] = run->run;
	if (s->nends == ENDS_MAX)
		abort();
	end = &s->ends[s->nends++];
	end->n = ++workers[i].last_end;
	end->run = run->run;
	end->how = how;
	(void)snprintf(end->name, sizeof(end->name), "%s", run->name);
}

/*
 * Ends a worker: its connections close, and what runs there ends with it.
 */
void
worker_end(int i, const char *why)
{
	int k;

	record("worker %d ends: %s", i, why);
	for (k = 0; k < RUNS_MAX; k++) {
		if (states[i]->runs[k].used)
			run_over(i, &states[i]->runs[k], "gone", false);
	}
	workers[i].up = false;
	http_close_owner(OWNER_WORKER + i);
}

static json_t *
lists(int i)
{
	struct state *s = states[i];
	json_t *running = json_array(), *ended = json_array();
	int64_t work, done;
	int k;

	for (k = 0; k < RUNS_MAX; k++) {
		const struct run *run = &s->runs[k];

		if (!run->used)
			continue;
		work = run->done_at - run->since;
		done = now_ms() - run->since;
		(void)json_array_append_new(running,
		    json_pack("[s,i,s,i,i]", run->name, (int)run->run, "",
			(int)(done * 100 / (work > 0 ? work : 1)),
			(int)run->job->cpu));
	}
	for (k = 0; k < s->nends; k++) {
		(void)json_array_append_new(ended,
		    json_pack("[I,s,i,s,s]", (json_int_t)s->ends[k].n,
			s->ends[k].name, (int)s->ends[k].run, s->ends[k].how,
			""));
	}
	return (json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
	    (json_int_t)clock_of(&workers[i]), "born",
	    (json_int_t)workers[i].born, "running", running, "ended", ended));
}

static json_t *
clock_json(int i, const char *reason)
{
	json_t *root;

	root =
	    json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(&workers[i]));
	if (reason != NULL)
		(void)json_object_set_new(root, "reason", json_string(reason));
	return (root);
}

static void
take_lease(struct worker *w, int64_t until_ms)
{
	int64_t left = until_ms - clock_of(w);

	if (left > HOLD_MAX_MS)
		left = HOLD_MAX_MS;
	if (left > 0 && now_ms() + left > w->until)
		w->until = now_ms() + left;
}

/*
 * Begins a run and checks the start.
 */
static void
run_begin(int i, struct job *job, int index, uint32_t number, const char *name)
{
	struct state *s = states[i];
	struct task *task = &job->tasks[index];
	uint32_t cpu = job->cpu;
	int k, at = -1;

	for (k = 0; k < RUNS_MAX; k++) {
		if (s->runs[k].used)
			cpu += s->runs[k].job->cpu;
		else if (at < 0)
			at = k;
	}
	if (at < 0)
		abort();
	record("worker %d: run %s #%u starts", i, name, number);
	if (task->runs > 0) {
		broken("TWICE: task %s starts on worker %d while it is at work "
		       "on worker %d",
		    name, i, task->worker);
	}
	if (cpu > worker_cpu)
		broken("LIMIT: worker %d has %u of %u", i, cpu, worker_cpu);
	if (job->cancel_acked_at != 0 &&
	    now_ms() > job->cancel_acked_at + CANCEL_MS) {
		broken("UNASKED: task %s starts %lld ms after its job's "
		       "cancelling was acknowledged",
		    name, (long long)(now_ms() - job->cancel_acked_at));
	}
	memset(&s->runs[at], 0, sizeof(s->runs[at]));
	s->runs[at].used = true;
	s->runs[at].job = job;
	s->runs[at].index = index;
	s->runs[at].run = number;
	s->runs[at].since = now_ms();
	s->runs[at].done_at = now_ms() + job->work_ms;
	(void)snprintf(s->runs[at].name, sizeof(s->runs[at].name), "%s", name);
	task->runs++;
	task->starts++;
	task->worker = i;
	job->starts++;
}

static struct run *
run_find(int i, const char *name)
{
	int k;

	for (k = 0; k < RUNS_MAX; k++) {
		if (states[i]->runs[k].used &&
		    strcmp(states[i]->runs[k].name, name) == 0)
			return (&states[i]->runs[k]);
	}
	return (NULL);
}

static void
reply_started(int i, uint64_t handle)
{
	struct state *s = states[i];
	int k;

	if (workers[i].answer_ms == 0) {
		http_reply(handle, 200, clock_json(i, NULL));
		return;
	}
	for (k = 0; k < DELAYED_MAX && s->delayed[k].handle != 0; k++)
		;
	if (k == DELAYED_MAX)
		abort();
	s->delayed[k].handle = handle;
	s->delayed[k].at = now_ms() + workers[i].answer_ms;
}

static void
start(int i, const struct request *request, const json_t *root)
{
	const char *name = json_string_value(json_object_get(root, "task"));
	const char *spec = json_string_value(json_object_get(root, "spec"));
	uint32_t number =
	    (uint32_t)json_integer_value(json_object_get(root, "run"));
	int64_t until = json_integer_value(json_object_get(root, "until_ms"));
	char id[20] = "", expected[64];
	unsigned int index = 0;
	struct run *present;
	struct job *job;

	if (name == NULL || spec == NULL || number == 0 ||
	    sscanf(name, "%16[0-9a-f].0.0.%u", id, &index) != 2) {
		http_reply(request->handle, 400, NULL);
		return;
	}
	job = job_find(id);
	(void)snprintf(expected, sizeof(expected), "job %s", id);
	if (job == NULL || (int)index >= job->ntasks ||
	    strcmp(spec, expected) != 0) {
		broken("UNASKED: start of %s with spec %s", name, spec);
		http_reply(request->handle, 400, NULL);
		return;
	}
	if (until <= clock_of(&workers[i])) {
		http_reply(request->handle, 409, clock_json(i, "late"));
		return;
	}
	take_lease(&workers[i], until);
	present = run_find(i, name);
	if (present != NULL && present->run == number) {
		reply_started(i, request->handle);
		return;
	}
	if ((present != NULL && present->run > number) ||
	    states[i]->past[job - jobs][index] >= number) {
		http_reply(request->handle, 409, clock_json(i, "old"));
		return;
	}
	run_begin(i, job, (int)index, number, name);
	reply_started(i, request->handle);
}

static void
stop(int i, const struct request *request, const json_t *root)
{
	const char *name = json_string_value(json_object_get(root, "task"));
	uint32_t number =
	    (uint32_t)json_integer_value(json_object_get(root, "run"));
	unsigned int index = 0;
	struct run *run;
	struct job *job;
	char id[20] = "";

	if (name == NULL ||
	    sscanf(name, "%16[0-9a-f].0.0.%u", id, &index) != 2) {
		http_reply(request->handle, 400, NULL);
		return;
	}
	run = run_find(i, name);
	job = job_find(id);
	if (run != NULL && run->run == number)
		run_over(i, run, "stopped", true);
	else if (job != NULL && index < TASKS_MAX &&
	    states[i]->past[job - jobs][index] < number)
		states[i]->past[job - jobs][index] = number;
	http_reply(request->handle, 200, clock_json(i, NULL));
}

static void
hold(int i, const struct request *request, const json_t *root)
{
	struct state *s = states[i];
	uint64_t ack =
	    (uint64_t)json_integer_value(json_object_get(root, "ack_cursor"));
	int64_t wait = json_integer_value(json_object_get(root, "wait_ms"));
	int k, n = 0;

	take_lease(
	    &workers[i], json_integer_value(json_object_get(root, "until_ms")));
	for (k = 0; k < s->nends; k++) {
		if (s->ends[k].n > ack)
			s->ends[n++] = s->ends[k];
	}
	s->nends = n;
	for (k = 0; k < HOLDS_MAX && s->holds[k].handle != 0; k++)
		;
	if (s->nends > 0 || wait == 0 || k == HOLDS_MAX) {
		http_reply(request->handle, 200, lists(i));
		return;
	}
	s->holds[k].handle = request->handle;
	s->holds[k].until = now_ms() + wait;
}

/*
 * Handles an order to worker i.
 */
void
worker_request(int i, const struct request *request)
{
	struct worker *w = &workers[i];
	uint64_t fence;
	json_t *root;

	if (request->expect[0] != '\0' && strcmp(request->expect, w->id) != 0) {
		http_reply(request->handle, 421, clock_json(i, NULL));
		return;
	}
	root = json_loadb(request->body, request->len, 0, NULL);
	fence = (uint64_t)json_integer_value(json_object_get(root, "fence"));
	if (root == NULL) {
		http_reply(request->handle, 400, NULL);
	} else if (fence < w->fence) {
		http_reply(request->handle, 409, clock_json(i, "fence"));
	} else {
		w->fence = fence;
		if (strcmp(request->path, "/-/run-start") == 0)
			start(i, request, root);
		else if (strcmp(request->path, "/-/run-stop") == 0)
			stop(i, request, root);
		else if (strcmp(request->path, "/-/hold") == 0)
			hold(i, request, root);
		else
			http_reply(request->handle, 404, NULL);
	}
	json_decref(root);
}

static void
pinged(void *arg, const struct answer *answer)
{
	struct worker *w = arg;

	if (answer->status < 200 || answer->status > 299 || !w->up) {
		record("worker %d: ping answered %d", (int)(w - workers),
		    answer->status);
		if (w->draining)
			w->ping_at = now_ms() + 100;
		return;
	}
	if (w->draining && !w->drain_acked) {
		w->drain_acked = true;
		w->drain_acked_at = now_ms();
		record(
		    "worker %d: draining is acknowledged", (int)(w - workers));
	}
}

static void
ping(int i)
{
	struct worker *w = &workers[i];
	char path[96], *body;
	json_t *root;

	root = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, "
			 "s:i}, s:[s,s], s:I, s:I, s:I}",
	    "service", "svc-a", "address", w->addr, "zone", "zone-a", "version",
	    "v1", "slots", 8, "state", w->draining ? "draining" : "ready",
	    "cold_remaining_ms", 0, "capacity", "cpu", (int)worker_cpu,
	    "mem_mb", 262144, "gpu", 0, "labels", "a", "r1-1", "clock_ms",
	    (json_int_t)clock_of(w), "seq", (json_int_t)++w->seq, "born",
	    (json_int_t)w->born);
	if (w->draining)
		(void)json_object_set_new(
		    root, "remaining_ms", json_integer(2000));
	body = json_dumps(root, JSON_COMPACT);
	(void)snprintf(path, sizeof(path), "/-/Instances.Heartbeat/%s", w->id);
	(void)http_call(w->control, OWNER_WORKER + i, "POST", path, "", body,
	    PING_TIMEOUT_MS, pinged, w);
	w->ping_at = now_ms() + PING_MS;
	free(body);
	json_decref(root);
}

/*
 * Begins a planned end: the worker says at once that it is draining.
 */
void
worker_drain(int i)
{
	record("worker %d: drains", i);
	workers[i].draining = true;
	workers[i].ping_at = now_ms();
}

/*
 * Sends the notice that the worker leaves.  The call belongs to the client's
 * owner, so that it outlives the worker if it is on its way for long.
 */
void
worker_leave(
    int i, void (*done)(void *arg, const struct answer *answer), void *arg)
{
	char path[96];

	(void)snprintf(
	    path, sizeof(path), "/-/Instances.Leave/%s", workers[i].id);
	record("worker %d: sends %s", i, path);
	(void)http_call(workers[i].control, OWNER_CLIENT, "POST", path, "",
	    NULL, 5000, done, arg);
}

static void
check_cancelled(int i, struct run *run)
{
	int64_t late;

	if (run->job->cancel_acked_at == 0 || run->cancel_noted)
		return;
	late = now_ms() - run->job->cancel_acked_at;
	if (late <= CANCEL_MS + STOP_MS + 20)
		return;
	run->cancel_noted = true;
	broken("UNASKED: run %s #%u on worker %d is at work %lld ms after its "
	       "job's cancelling was acknowledged",
	    run->name, run->run, i, (long long)late);
}

static void
worker_tick(int i)
{
	struct worker *w = &workers[i];
	struct state *s = states[i];
	int64_t now = now_ms();
	int k;

	for (k = 0; k < RUNS_MAX; k++) {
		if (!s->runs[k].used)
			continue;
		check_cancelled(i, &s->runs[k]);
		if (now >= s->runs[k].done_at)
			run_over(i, &s->runs[k], "done", true);
		else if (now >= w->until)
			run_over(i, &s->runs[k], "lapsed", true);
	}
	for (k = 0; k < DELAYED_MAX; k++) {
		if (s->delayed[k].handle != 0 && now >= s->delayed[k].at) {
			http_reply(
			    s->delayed[k].handle, 200, clock_json(i, NULL));
			s->delayed[k].handle = 0;
		}
	}
	for (k = 0; k < HOLDS_MAX; k++) {
		if (s->holds[k].handle != 0 &&
		    (s->nends > 0 || now >= s->holds[k].until)) {
			http_reply(s->holds[k].handle, 200, lists(i));
			s->holds[k].handle = 0;
		}
	}
	if (now >= w->ping_at)
		ping(i);
}

void
workers_tick(void)
{
	int i;

	for (i = 0; i < nworkers; i++) {
		if (workers[i].up)
			worker_tick(i);
	}
}
