/*
 * The simulated callers of the soak.  They submit jobs, resubmit those that got
 * no answer, disconnect, and check the answers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define CALL_TIMEOUT_MS 7000
#define RESEND_MS 1300
#define SENDS_MAX 4U
#define TASKS_MAX 6U
#define DISCONNECT_PERCENT 4U
/*
 * Some jobs take longer than it takes to detect a silent link and to start the
 * task elsewhere.  A first run that was not stopped then overlaps the second.
 */
#define LONG_PERCENT 3U
#define LONG_MIN_MS 1000U
#define LONG_SPREAD_MS 3000U
#define PROBE_INTERVAL_MS 100
#define PROBE_TIMEOUT_MS 1000
#define OLD_VERSIONS_MAX 3U /* probed at each entry at a time */
#define PROBE_ENTRIES_MAX 8U /* version and entry are coded as one number */
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
	    (unsigned int)soak_random(s, UINT32_MAX),
	    (unsigned int)job->number);
	job->ntasks = 1 + soak_random(s, TASKS_MAX);
	job->cpu = 4000 + soak_random(s, 5000);
	job->work_ms = 20 + soak_random(s, 200);
	if (soak_random(s, 20) == 0)
		job->work_ms *= 5;
	if (!soak_faults_over(s) && soak_random(s, 100) < LONG_PERCENT)
		job->work_ms = LONG_MIN_MS + soak_random(s, LONG_SPREAD_MS);
	job->send_at = s->now;
	job->created = s->now;
	if (soak_random(s, 100) < DISCONNECT_PERCENT)
		job->disconnect_at = s->now + 20 + soak_random(s, 400);
	(void)g_hash_table_insert(s->jobs, &job->number, job);
	(void)g_hash_table_insert(s->by_id, job->id, job);
}

static void
job_send(struct soak *s, struct soak_job *job)
{
	char addr[MLK_ADDR_MAX], path[MLK_ID_MAX + 8], body[MLK_ID_MAX + 256];

	job->send_at = 0;
	job->sends++;
	job->in_flight = true;
	soak_entry_addr(
	    s, soak_random(s, s->options.entries), SOAK_PORT_CALLERS, addr);
	(void)snprintf(path, sizeof(path), "%s%s", SOAK_ROUTE, job->id);
	(void)snprintf(body, sizeof(body),
	    "{\"spec\":\"%s\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
	    "\"cpu\":%u,\"mem_mb\":100,\"estimate_ms\":%u}]}",
	    job->id, job->ntasks, job->cpu, (unsigned int)job->work_ms);
	soak_call(s, SOAK_CALL_JOB, job->number, "POST", addr, path, HEADERS,
	    body, CALL_TIMEOUT_MS);
}

static bool
all_tasks_done(const struct soak_job *job)
{
	return (job->done_mask == (1ULL << job->ntasks) - 1);
}

/*
 * A caller does not resubmit after a 503.  If all answers were 503, no task may
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
	if (!all_tasks_done(job))
		soak_violation(s, "whole: %s is complete, ran %llx of %u",
		    job->id, (unsigned long long)job->done_mask, job->ntasks);
}

void
soak_job_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	struct soak_job *job;
	char *body;
	int status;

	job = g_hash_table_lookup(s->jobs, &number);
	if (job == NULL || !job->in_flight)
		return;
	job->in_flight = false;
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
job_disconnect(struct soak *s, struct soak_job *job)
{
	job->disconnect_at = 0;
	if (!job->in_flight)
		return;
	mlk_loop_http_abort(
	    s->loop, (uint64_t)SOAK_CALL_JOB << 56 | job->number);
	job->in_flight = false;
	job->disconnected_at = s->now;
	s->disconnected++;
}

/*
 * Requests the route that exists only in one version of the routing table from
 * entry i.
 */
static void
probe_version(struct soak *s, uint32_t i, uint64_t version, enum soak_call kind)
{
	char addr[MLK_ADDR_MAX], path[32];

	soak_entry_addr(s, i, SOAK_PORT_CALLERS, addr);
	(void)snprintf(
	    path, sizeof(path), "/v%llu/", (unsigned long long)version);
	soak_call(s, kind,
	    (++s->last_call & 0xff) << 48 | (s->procs[i].boot & 0xffff) << 32 |
		version * PROBE_ENTRIES_MAX | i,
	    "GET", addr, path, "", NULL, PROBE_TIMEOUT_MS);
}

/*
 * Requests the routes of the newest version, and of some versions older than
 * the highest that the entry has served, from all entries.
 */
static void
probe_versions(struct soak *s)
{
	uint32_t i, older;
	uint64_t version;
	guint k;

	for (i = 0; i < s->options.entries; i++) {
		probe_version(s, i, s->routing,
		    s->procs[i].max_version_seen == s->routing ?
			SOAK_CALL_SEEN_VERSION :
			SOAK_CALL_VERSION);
		older = 0;
		for (k = s->published_versions->len;
		     k > 0 && older < OLD_VERSIONS_MAX; k--) {
			version = g_array_index(
			    s->published_versions, uint64_t, k - 1);
			if (version >= s->procs[i].max_version_seen)
				continue;
			probe_version(s, i, version, SOAK_CALL_OLD_VERSION);
			older++;
		}
	}
}

/*
 * Returns the entry that answered a probe, or NULL when it did not answer or
 * has restarted since.
 */
static struct soak_proc *
probed_entry(struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	struct soak_proc *proc = &s->procs[number % PROBE_ENTRIES_MAX];

	if (nev->u.response.result != MLK_HTTP_OK ||
	    (proc->boot & 0xffff) != (number >> 32 & 0xffff))
		return (NULL);
	return (proc);
}

/*
 * The route of a version is served exactly while that version is in force.
 */
void
soak_version_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	uint64_t version = (number & 0xffffffff) / PROBE_ENTRIES_MAX;
	struct soak_proc *proc = probed_entry(s, number, nev);

	if (proc != NULL && nev->u.response.status == 200)
		proc->max_version_seen = MAX(proc->max_version_seen, version);
}

/*
 * This boot of the entry had served this version before the probe was sent.
 * Probes that were sent earlier prove nothing, since answers may overtake each
 * other.
 */
void
soak_seen_version_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	uint64_t version = (number & 0xffffffff) / PROBE_ENTRIES_MAX;
	const struct soak_proc *proc = probed_entry(s, number, nev);

	if (proc != NULL && nev->u.response.status == 404 &&
	    version == s->routing)
		soak_violation(s, "version: %s no longer serves %llu", proc->id,
		    (unsigned long long)version);
}

/*
 * This boot of the entry had served a higher version before the probe was sent.
 */
void
soak_old_version_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev)
{
	uint64_t version = (number & 0xffffffff) / PROBE_ENTRIES_MAX;
	const struct soak_proc *proc = probed_entry(s, number, nev);

	if (proc != NULL && nev->u.response.status == 200)
		soak_violation(s, "version: %s went back to %llu", proc->id,
		    (unsigned long long)version);
}

void
soak_callers_tick(struct soak *s)
{
	struct soak_job *job;
	GHashTableIter iter;
	gpointer value;

	while (!s->traffic_over && s->now >= s->next_job) {
		s->next_job += 1 + soak_random(s, 2000 / s->options.jobs_per_s);
		job_create(s);
	}
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job = value;
		if (job->send_at != 0 && s->now >= job->send_at)
			job_send(s, job);
		if (job->disconnect_at != 0 && s->now >= job->disconnect_at)
			job_disconnect(s, job);
	}
	if (s->now >= s->next_probe) {
		s->next_probe = s->now + PROBE_INTERVAL_MS;
		probe_versions(s);
	}
}
