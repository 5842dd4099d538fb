/*
 * Clients: they submit best-effort jobs, leave, send again and cancel.
 */
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define CALL_JOB_BASE 2000000
#define CALL_CANCEL_BASE 3000000

/*
 * Returns a new job of one step; the caller may add a second one.
 */
struct job *
client_job(struct rig *r, uint32_t count, uint32_t cpu, uint32_t work_ms,
    uint32_t deadline_ms)
{
	struct job *job;

	if (r->njobs == JOBS_MAX)
		abort();
	job = &r->jobs[r->njobs++];
	(void)snprintf(job->id, sizeof(job->id), "%016llx",
	    (unsigned long long)mlk_rng_next(&r->rng));
	job->count = count;
	job->cpu = cpu;
	job->steps = 1;
	job->work_ms[0] = work_ms;
	job->work_ms[1] = work_ms;
	job->deadline_ms = deadline_ms;
	return (job);
}

struct job *
job_of(struct rig *r, const char *task)
{
	uint32_t i;

	for (i = 0; i < r->njobs; i++) {
		if (strncmp(r->jobs[i].id, task, 16) == 0)
			return (&r->jobs[i]);
	}
	return (NULL);
}

/*
 * Returns the body of a job's POST; the caller frees it.
 */
char *
client_body(const struct job *job)
{
	json_t *root, *steps = json_array(), *step;
	uint32_t i;
	char *text;

	for (i = 0; i < job->steps; i++) {
		step = json_pack("{s:i,s:i,s:i,s:i}", "count", (int)job->count,
		    "cpu", (int)job->cpu, "mem_mb", 64, "estimate_ms",
		    (int)job->work_ms[i]);
		if (i > 0)
			(void)json_object_set_new(
			    step, "after", json_pack("[i]", (int)i - 1));
		(void)json_array_append_new(steps, step);
	}
	root = json_pack(
	    "{s:s,s:b,s:o}", "spec", job->id, "best_effort", 1, "steps", steps);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return (text);
}

/*
 * Sends a job to an entry, or sends it again.
 */
void
client_send(struct rig *r, struct job *job, uint32_t entry)
{
	char addr[MLK_ADDR_MAX], path[64], headers[96];
	struct mlk_http_call call = { 0 };
	struct mlk_error err;
	char *body = client_body(job);

	(void)snprintf(
	    addr, sizeof(addr), "127.0.0.%u:%u", 10 + entry, r->front);
	(void)snprintf(path, sizeof(path), "%s%s", PREFIX, job->id);
	(void)snprintf(headers, sizeof(headers),
	    "Content-Type: application/json\r\nX-Deadline-Ms: %u\r\n",
	    job->deadline_ms);
	job->call = CALL_JOB_BASE + ++r->last_call;
	job->attempts++;
	job->entry = entry;
	job->sent_at = r->now;
	job->status = 0;
	call.call = job->call;
	call.method = "POST";
	call.addr = addr;
	call.path = path;
	call.headers = headers;
	call.body = body;
	call.body_len = strlen(body);
	call.timeout_ms = job->deadline_ms;
	note(r, "client: POST %s to entry %u, attempt %u", job->id, entry,
	    job->attempts);
	if (mlk_loop_http_call(r->loop, &call, &err) != 0)
		r->failed = true;
	free(body);
}

/*
 * The client of a job leaves: it closes its channel.
 */
void
client_leave(struct rig *r, struct job *job)
{
	note(r, "client: of %s leaves", job->id);
	mlk_loop_http_abort(r->loop, job->call);
	job->call = 0;
}

/*
 * Sends a DELETE of a job on a channel of its own.
 */
void
client_cancel(struct rig *r, struct job *job, uint32_t entry)
{
	char addr[MLK_ADDR_MAX], path[64];
	struct mlk_http_call call = { 0 };
	struct mlk_error err;

	(void)snprintf(
	    addr, sizeof(addr), "127.0.0.%u:%u", 10 + entry, r->front);
	(void)snprintf(path, sizeof(path), "%s%s", PREFIX, job->id);
	job->cancel_call = CALL_CANCEL_BASE + ++r->last_call;
	call.call = job->cancel_call;
	call.method = "DELETE";
	call.addr = addr;
	call.path = path;
	call.timeout_ms = 4000;
	note(r, "client: DELETE %s to entry %u", job->id, entry);
	if (mlk_loop_http_call(r->loop, &call, &err) != 0)
		r->failed = true;
}

static void
cancel_response(struct rig *r, struct job *job, const struct mlk_net_event *ev)
{
	int status =
	    ev->u.response.result == MLK_HTTP_OK ? ev->u.response.status : 0;

	job->cancel_call = 0;
	note(r, "client: DELETE of %s answered %d", job->id, status);
	if (status == 410 || (status >= 200 && status <= 299))
		job->canceled_at = r->now;
}

void
client_response(struct rig *r, const struct mlk_net_event *ev)
{
	uint64_t call = ev->u.response.call;
	struct job *job;
	uint32_t i;

	for (i = 0; i < r->njobs; i++) {
		job = &r->jobs[i];
		if (job->cancel_call == call && call != 0)
			cancel_response(r, job, ev);
		if (job->call != call || call == 0)
			continue;
		job->call = 0;
		job->status = ev->u.response.result == MLK_HTTP_OK ?
		    ev->u.response.status :
		    0;
		job->answered_at = r->now;
		note(r, "client: %s answered %d %.*s", job->id, job->status,
		    (int)MIN(ev->u.response.body_len, 60),
		    ev->u.response.body_len == 0 ?
			"" :
			(const char *)ev->u.response.body);
	}
}
