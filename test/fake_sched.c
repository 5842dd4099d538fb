/*
 * Fake scheduler: one FIFO queue and credits per agent, without task classes or
 * ejection.  While fake_sched_admit_error is not 0, mlk_sched_admit() refuses
 * every job with that error.
 */
#include <stdlib.h>
#include <string.h>

#include "fake_sched.h"

#define MAX_AGENTS 1024
#define MAX_QUEUED 4096

struct mlk_sched {
	uint32_t queue[MAX_QUEUED];
	int64_t deadline[MAX_QUEUED];
	uint32_t n;
	uint32_t credit[MAX_AGENTS];
	bool up[MAX_AGENTS];
	bool enabled[MAX_AGENTS];
	uint32_t in_flight;
};

int fake_sched_admit_error;
uint32_t fake_sched_entries;

struct mlk_sched *
mlk_sched_create(const struct mlk_sched_options *options)
{
	(void)options;
	return (calloc(1, sizeof(struct mlk_sched)));
}

void
mlk_sched_destroy(struct mlk_sched *s)
{
	free(s);
}

void
mlk_sched_set_entries(struct mlk_sched *s, uint32_t nentries)
{
	(void)s;
	fake_sched_entries = nentries;
}

void
mlk_sched_configure(
    struct mlk_sched *s, const struct mlk_config *config, int64_t wall)
{
	(void)s;
	(void)config;
	(void)wall;
}

int
mlk_sched_admit(struct mlk_sched *s, const struct mlk_job_spec *spec,
    int64_t now, uint32_t *retry_after_ms, char reason[128])
{
	(void)s;
	(void)spec;
	(void)now;
	if (fake_sched_admit_error == 0)
		return (0);
	*retry_after_ms = 700;
	memcpy(reason, "busy", sizeof("busy"));
	return (fake_sched_admit_error);
}

int
mlk_sched_enqueue(
    struct mlk_sched *s, const struct mlk_sched_task *t, int64_t now)
{
	(void)now;
	if (s->n == MAX_QUEUED)
		return (MLK_ERR_UNAVAILABLE);
	s->queue[s->n] = t->task;
	s->deadline[s->n++] = t->deadline;
	return (0);
}

/* Removes the task at position i of the queue. */
static void
remove_at(struct mlk_sched *s, uint32_t i)
{
	s->n--;
	memmove(
	    &s->queue[i], &s->queue[i + 1], (s->n - i) * sizeof(s->queue[0]));
	memmove(&s->deadline[i], &s->deadline[i + 1],
	    (s->n - i) * sizeof(s->deadline[0]));
}

bool
mlk_sched_remove(struct mlk_sched *s, uint32_t task)
{
	uint32_t i;

	for (i = 0; i < s->n; i++) {
		if (s->queue[i] != task)
			continue;
		remove_at(s, i);
		return (true);
	}
	return (false);
}

void
mlk_sched_agent_up(struct mlk_sched *s, uint32_t agent, const char *id,
    const char *dc, uint32_t slots, int64_t now)
{
	(void)id;
	(void)dc;
	(void)slots;
	(void)now;
	s->up[agent] = true;
	s->credit[agent] = 0;
}

void
mlk_sched_agent_down(struct mlk_sched *s, uint32_t agent)
{
	s->up[agent] = false;
	s->credit[agent] = 0;
}

void
mlk_sched_agent_enable(struct mlk_sched *s, uint32_t agent, bool enabled)
{
	s->enabled[agent] = enabled;
}

void
mlk_sched_credit(
    struct mlk_sched *s, uint32_t agent, struct mlk_credits credits)
{
	s->credit[agent] += credits.any + credits.short_only;
}

struct mlk_credits
mlk_sched_reclaim(struct mlk_sched *s, uint32_t agent, struct mlk_credits want)
{
	struct mlk_credits returned = { 0 };

	returned.any =
	    want.any < s->credit[agent] ? want.any : s->credit[agent];
	s->credit[agent] -= returned.any;
	return (returned);
}

bool
mlk_sched_next(struct mlk_sched *s, int64_t now, struct mlk_binding *out)
{
	uint32_t a;

	(void)now;
	if (s->n == 0)
		return (false);
	for (a = 0; a < MAX_AGENTS; a++) {
		if (!s->up[a] || !s->enabled[a] || s->credit[a] == 0)
			continue;
		s->credit[a]--;
		out->agent = a;
		out->task = s->queue[0];
		out->is_long = false;
		remove_at(s, 0);
		s->in_flight++;
		return (true);
	}
	return (false);
}

void
mlk_sched_done(struct mlk_sched *s, uint32_t agent, const char *kind,
    const char *team, bool is_long, enum mlk_task_status status,
    uint32_t run_ms, int64_t now)
{
	(void)agent;
	(void)kind;
	(void)team;
	(void)is_long;
	(void)status;
	(void)run_ms;
	(void)now;
	s->in_flight--;
}

void
mlk_sched_demand(struct mlk_sched *s, int64_t now, struct mlk_demand *out)
{
	(void)now;
	memset(out, 0, sizeof(*out));
	out->queued_short = s->n;
}

void
mlk_sched_demand_sent(struct mlk_sched *s, uint32_t agent,
    const struct mlk_demand *demand, int64_t now)
{
	(void)s;
	(void)agent;
	(void)demand;
	(void)now;
}

size_t
mlk_sched_need(struct mlk_sched *s, int64_t now, uint32_t *agents, size_t max)
{
	(void)s;
	(void)now;
	(void)agents;
	(void)max;
	return (0);
}

size_t
mlk_sched_expired(struct mlk_sched *s, int64_t now, uint32_t *tasks, size_t max)
{
	size_t n = 0;
	uint32_t i = 0;

	while (i < s->n && n < max) {
		if (s->deadline[i] == 0 || s->deadline[i] > now) {
			i++;
			continue;
		}
		tasks[n++] = s->queue[i];
		remove_at(s, i);
	}
	return (n);
}

void
mlk_sched_stats(const struct mlk_sched *s, struct mlk_sched_stats *out)
{
	memset(out, 0, sizeof(*out));
	out->queued_short = s->n;
	out->in_flight = s->in_flight;
}
