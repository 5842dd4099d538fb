/*
 * The clients: they hand in best-effort jobs of one step, send a job again
 * after no answer, a broken channel, 502 or 504, and cancel.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define RESEND_MS 1300
#define ATTEMPTS_MAX 3
#define CANCEL_TIMEOUT_MS 4000

struct job jobs[JOBS_MAX];
int njobs;

struct job *
job_find(const char *id)
{
	unsigned long i = strtoul(id, NULL, 16);

	if (i >= (unsigned long)njobs || strcmp(jobs[i].id, id) != 0)
		return (NULL);
	return (&jobs[i]);
}

static void
submitted(void *arg, const struct answer *answer)
{
	struct job *job = arg;

	job->call = 0;
	job->status = answer->status;
	record("job %s: answer %d %s after %lld ms", job->id, answer->status,
	    answer->body, (long long)(now_ms() - job->sent_at));
	if (answer->status == 429 || answer->status == 503)
		job->rejected++;
	if ((answer->status == 0 || answer->status == 502 ||
		answer->status == 504) &&
	    job->attempts < ATTEMPTS_MAX)
		job->resend_at = now_ms() + RESEND_MS;
	else
		job->over = true;
}

static void
send_job(struct job *job)
{
	char path[64], headers[64], spec[64], *body;
	json_t *root;

	(void)snprintf(spec, sizeof(spec), "job %s", job->id);
	(void)snprintf(path, sizeof(path), "%s%s", job->prefix, job->id);
	(void)snprintf(headers, sizeof(headers), "X-Deadline-Ms: %d\r\n",
	    job->deadline_ms);
	root = json_pack("{s:s, s:b, s:[{s:i, s:i, s:i, s:i}]}", "spec", spec,
	    "best_effort", 1, "steps", "count", job->ntasks, "cpu",
	    (int)job->cpu, "mem_mb", 64, "estimate_ms", job->work_ms);
	body = json_dumps(root, JSON_COMPACT);
	job->attempts++;
	job->resend_at = 0;
	job->sent_at = now_ms();
	record("job %s%s: handed in at entry %d, attempt %u, %d tasks of %d ms",
	    job->prefix, job->id, job->entry, job->attempts, job->ntasks,
	    job->work_ms);
	job->call = http_call(entry_front[job->entry], OWNER_CLIENT, "POST",
	    path, headers, body, job->deadline_ms, submitted, job);
	free(body);
	json_decref(root);
}

static struct job *
job_new(int ntasks, int work_ms, uint32_t cpu, int deadline_ms)
{
	struct job *job;

	if (njobs == JOBS_MAX || ntasks > TASKS_MAX)
		abort();
	job = &jobs[njobs];
	(void)snprintf(job->id, sizeof(job->id), "%016x", njobs);
	njobs++;
	job->prefix = "/q/";
	job->ntasks = ntasks;
	job->work_ms = work_ms;
	job->cpu = cpu;
	job->deadline_ms = deadline_ms;
	return (job);
}

struct job *
job_submit(int ntasks, int work_ms, uint32_t cpu, int deadline_ms)
{
	struct job *job = job_new(ntasks, work_ms, cpu, deadline_ms);

	send_job(job);
	return (job);
}

/*
 * Hands in a short job at a certain entry and queue.
 */
struct job *
job_submit_at(int entry, const char *prefix)
{
	struct job *job = job_new(1, 50, 6200, 1500);

	job->entry = entry;
	job->prefix = prefix;
	send_job(job);
	return (job);
}

static void
cancelled(void *arg, const struct answer *answer)
{
	struct job *job = arg;

	record("job %s: cancelling is answered %d %s", job->id, answer->status,
	    answer->body);
	if ((answer->status >= 200 && answer->status <= 299) ||
	    answer->status == 410)
		job->cancel_acked_at = now_ms();
}

void
job_cancel(struct job *job)
{
	char path[64];

	(void)snprintf(path, sizeof(path), "%s%s", job->prefix, job->id);
	record("job %s: DELETE", job->id);
	(void)http_call(entry_front[job->entry], OWNER_CLIENT, "DELETE", path,
	    "", NULL, CANCEL_TIMEOUT_MS, cancelled, job);
}

void
jobs_tick(void)
{
	int64_t now = now_ms();
	int i;

	for (i = 0; i < njobs; i++) {
		if (jobs[i].resend_at != 0 && now >= jobs[i].resend_at)
			send_job(&jobs[i]);
	}
}

bool
jobs_over(void)
{
	int i;

	for (i = 0; i < njobs; i++) {
		if (!jobs[i].over)
			return (false);
	}
	return (true);
}
