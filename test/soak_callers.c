/*
 * The callers of the soak: they submit jobs, send them again after no answer,
 * leave, and check what they are told.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define CALL_TIMEOUT_MS 7000
#define RESEND_MS 1300
#define SENDS_MAX 4U
#define COUNT_MAX 6U
#define LEAVE_PERCENT 4U
/*
 * Jobs longer than it takes to find a silent link and to start elsewhere, so
 * that a run that should have ended is still there then.
 */
#define LONG_PERCENT 3U
#define LONG_MIN_MS 1000U
#define LONG_SPREAD_MS 3000U
#define LOOK_MS 100
#define LOOK_TIMEOUT_MS 1000
#define OLDER_MAX 3U /* versions that an entry is asked for at a time */
#define VERSION_ENTRY 8U /* entries that a number has room for */
#define HEADERS "Content-Type: application/json\r\nX-Deadline-Ms: 6000\r\n"

struct soak_job *
soak_job_by_id(struct soak *s, const char *id)
{
	return (g_hash_table_lookup(s->by_id, id));
}

static void
job_create(struct soak *s)
{
	struct soak_job *job = g_new0(struct soak_job, 1);

	job->number = ++s->last_job;
	(void)snprintf(job->id, sizeof(job->id), "%08x%08x",
	    (unsigned int)soak_below(s, UINT32_MAX), (unsigned int)job->number);
	job->count = 1 + soak_below(s, COUNT_MAX);
	job->cpu = 4000 + soak_below(s, 5000);
	job->work_ms = 20 + soak_below(s, 200);
	if (soak_below(s, 20) == 0)
		job->work_ms *= 5;
	if (!soak_faults_over(s) && soak_below(s, 100) < LONG_PERCENT)
		job->work_ms = LONG_MIN_MS + soak_below(s, LONG_SPREAD_MS);
	job->send_at = s->now;
	job->created = s->now;
	if (soak_below(s, 100) < LEAVE_PERCENT)
		job->leave_at = s->now + 20 + soak_below(s, 400);
	(void)g_hash_table_insert(s->jobs, &job->number, job);
	(void)g_hash_table_insert(s->by_id, job->id, job);
}

static void
job_send(struct soak *s, struct soak_job *job)
{
	char addr[MLK_ADDR_MAX], path[MLK_ID_MAX + 8], body[MLK_ID_MAX + 256];

	job->send_at = 0;
	job->sends++;
	job->waits = true;
	soak_entry_addr(
	    s, soak_below(s, s->options.entries), SOAK_PORT_CALLERS, addr);
	(void)snprintf(path, sizeof(path), "%s%s", SOAK_ROUTE, job->id);
	(void)snprintf(body, sizeof(body),
	    "{\"spec\":\"%s\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
	    "\"cpu\":%u,\"mem_mb\":100,\"estimate_ms\":%u}]}",
	    job->id, job->count, job->cpu, (unsigned int)job->work_ms);
	soak_call(s, SOAK_CALL_JOB, job->number, "POST", addr, path, HEADERS,
	    body, CALL_TIMEOUT_MS);
}

static bool
done_whole(const struct soak_job *job)
{
	return (job->done == (1ULL << job->count) - 1);
}

/*
 * A 503 is the job's end for its caller; where it was every answer, nothing may
 * have run.
 */
static void
on_refused(struct soak *s, struct soak_job *job)
{
	s->refused++;
	job->refusals++;
	if (job->refusals < job->sends)
		return;
	job->refused = true;
	if (job->started > 0)
		soak_violation(s, "not run: %s was started %u times", job->id,
		    job->started);
}

static void
on_answer(struct soak *s, struct soak_job *job, const char *body)
{
	if (strstr(body, "completed") == NULL) {
		s->failed++;
		return;
	}
	s->completed++;
	job->completed = true;
	if (!done_whole(job))
		soak_violation(s, "whole: %s is complete, ran %llx of %u",
		    job->id, (unsigned long long)job->done, job->count);
}

void
soak_job_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	struct soak_job *job;
	char *body;
	int status;

	job = g_hash_table_lookup(s->jobs, &number);
	if (job == NULL || !job->waits)
		return;
	job->waits = false;
	status =
	    nev->u.response.result == MLK_HTTP_OK ? nev->u.response.status : 0;
	if (status == 200) {
		body = g_strndup((const char *)nev->u.response.body,
		    nev->u.response.body_len);
		on_answer(s, job, body);
		g_free(body);
	} else if (status == 503) {
		on_refused(s, job);
	} else if (status == 404) {
		soak_violation(s, "version: no route for %s", job->id);
	} else if (job->sends < SENDS_MAX) {
		job->send_at = s->now + RESEND_MS;
	} else {
		s->unanswered++;
	}
}

static void
job_leave(struct soak *s, struct soak_job *job)
{
	job->leave_at = 0;
	if (!job->waits)
		return;
	mlk_loop_http_abort(
	    s->loop, (uint64_t)SOAK_CALL_JOB << 56 | job->number);
	job->waits = false;
	job->left_at = s->now;
	s->left++;
}

/*
 * Asks entry i for the route that came with a version.
 */
static void
look_at(struct soak *s, uint32_t i, uint64_t version, enum soak_call kind)
{
	char addr[MLK_ADDR_MAX], path[32];

	soak_entry_addr(s, i, SOAK_PORT_CALLERS, addr);
	(void)snprintf(
	    path, sizeof(path), "/v%llu/", (unsigned long long)version);
	soak_call(s, kind,
	    (++s->last_call & 0xff) << 48 | (s->procs[i].boot & 0xffff) << 32 |
		version * VERSION_ENTRY | i,
	    "GET", addr, path, "", NULL, LOOK_TIMEOUT_MS);
}

/*
 * Asks the entries for the newest version, and for some that are older than
 * what they have shown.
 */
static void
look_at_versions(struct soak *s)
{
	uint32_t i, older;
	uint64_t version;
	guint k;

	for (i = 0; i < s->options.entries; i++) {
		look_at(s, i, s->routing,
		    s->procs[i].shown == s->routing ? SOAK_CALL_SHOWN :
						      SOAK_CALL_VERSION);
		older = 0;
		for (k = s->versions->len; k > 0 && older < OLDER_MAX; k--) {
			version = g_array_index(s->versions, uint64_t, k - 1);
			if (version >= s->procs[i].shown)
				continue;
			look_at(s, i, version, SOAK_CALL_OLDER);
			older++;
		}
	}
}

/*
 * Returns the program that a look went to, NULL when another boot of it has
 * answered, or nothing has.
 */
static struct soak_proc *
looked_at(struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	struct soak_proc *proc = &s->procs[number % VERSION_ENTRY];

	if (nev->u.response.result != MLK_HTTP_OK ||
	    (proc->boot & 0xffff) != (number >> 32 & 0xffff))
		return (NULL);
	return (proc);
}

/*
 * The route of a version is there exactly while that version is in force.
 */
void
soak_version_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	uint64_t version = (number & 0xffffffff) / VERSION_ENTRY;
	struct soak_proc *proc = looked_at(s, number, nev);

	if (proc != NULL && nev->u.response.status == 200)
		proc->shown = MAX(proc->shown, version);
}

/*
 * The entry had shown this version in this boot when it was asked; answers may
 * overtake each other, so that those of earlier questions say nothing.
 */
void
soak_shown_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	uint64_t version = (number & 0xffffffff) / VERSION_ENTRY;
	const struct soak_proc *proc = looked_at(s, number, nev);

	if (proc != NULL && nev->u.response.status == 404 &&
	    version == s->routing)
		soak_violation(s, "version: %s fell from %llu", proc->id,
		    (unsigned long long)version);
}

/*
 * The entry had shown a higher version in this boot when it was asked.
 */
void
soak_older_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	uint64_t version = (number & 0xffffffff) / VERSION_ENTRY;
	const struct soak_proc *proc = looked_at(s, number, nev);

	if (proc != NULL && nev->u.response.status == 200)
		soak_violation(s, "version: %s fell back to %llu", proc->id,
		    (unsigned long long)version);
}

void
soak_callers_tick(struct soak *s)
{
	struct soak_job *job;
	GHashTableIter iter;
	gpointer value;

	while (!s->over && s->now >= s->next_job) {
		s->next_job += 1 + soak_below(s, 2000 / s->options.jobs_per_s);
		job_create(s);
	}
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job = value;
		if (job->send_at != 0 && s->now >= job->send_at)
			job_send(s, job);
		if (job->leave_at != 0 && s->now >= job->leave_at)
			job_leave(s, job);
	}
	if (s->now >= s->next_look) {
		s->next_look = s->now + LOOK_MS;
		look_at_versions(s);
	}
}
