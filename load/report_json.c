/*
 * The report as JSON, for scripts and for comparisons between versions.
 */
#include <string.h>

#include <jansson.h>

#include "files.h"
#include "report.h"

static json_t *
quantiles_json(const struct mlk_load_quantiles *q)
{
	return (json_pack("{s:i,s:f,s:f,s:f,s:f}", "n", (int)q->n, "p50",
	    q->p50, "p90", q->p90, "p99", q->p99, "max", q->max));
}

static json_t *
group_json(const struct mlk_load_group_stats *g)
{
	json_t *outcomes = json_object();
	int i;

	for (i = 0; i < MLK_LOAD_OUTCOMES; i++) {
		(void)json_object_set_new(outcomes,
		    mlk_load_outcome_name((enum mlk_load_outcome)i),
		    json_integer((json_int_t)g->outcomes[i]));
	}
	return (json_pack("{s:s,s:b,s:I,s:I,s:o,s:o,s:o}", "name", g->name,
	    "long", (int)g->is_long, "jobs", (json_int_t)g->jobs, "tasks",
	    (json_int_t)g->tasks, "outcomes", outcomes, "wait_ms",
	    quantiles_json(&g->wait_ms), "slowdown",
	    quantiles_json(&g->slowdown)));
}

static json_t *
messages_json(const struct mlk_load_run *run)
{
	json_t *msgs = json_object();
	int i;

	for (i = 0; i < MLK_MSG_TYPES; i++) {
		if (run->messages.sent_msgs[i] > 0) {
			(void)json_object_set_new(msgs,
			    mlk_msg_name((enum mlk_msg_type)i),
			    json_pack("{s:I,s:I}", "sent",
				(json_int_t)run->messages.sent_msgs[i], "bytes",
				(json_int_t)run->messages.sent_bytes[i]));
		}
	}
	return (msgs);
}

static json_t *
usage_json(const struct mlk_load_run *run)
{
	json_t *list = json_array();
	const struct mlk_load_usage *u;
	uint32_t i;

	for (i = 0; i < run->nusage; i++) {
		u = &run->usage[i];
		(void)json_array_append_new(list,
		    json_pack("{s:s,s:f,s:I,s:I}", "name", u->name, "cpu_s",
			u->cpu_s, "rss_max_bytes", (json_int_t)u->rss_max,
			"control_bytes", (json_int_t)u->control_bytes));
	}
	return (list);
}

static void
set_count(json_t *object, const char *name, uint64_t value)
{
	(void)json_object_set_new(
	    object, name, json_integer((json_int_t)value));
}

static json_t *
counts_json(const struct mlk_load_run *run, const struct mlk_load_stats *s)
{
	json_t *o = json_object();

	set_count(o, "tasks_done", s->tasks_done);
	set_count(o, "tasks_failed", s->tasks_failed);
	set_count(o, "tasks_not_run", s->tasks_not_run);
	set_count(o, "tasks_unknown", s->tasks_unknown);
	set_count(o, "partial", s->partial);
	set_count(o, "crossed", s->crossed);
	set_count(o, "disagree", s->disagree);
	set_count(o, "resubmitted", s->resubmitted);
	set_count(o, "cancelled", s->cancelled);
	set_count(o, "retries", s->retries);
	set_count(o, "calls_lost", run->calls_lost);
	set_count(o, "calls_not_sent", run->calls_not_sent);
	set_count(o, "calls_timed_out", run->calls_timed_out);
	set_count(o, "connections", run->connections);
	if (run->start_log == NULL)
		return (o);
	set_count(o, "started", s->started);
	set_count(o, "started_twice", s->started_twice);
	set_count(o, "refused_ran", s->refused_ran);
	set_count(o, "complete_unseen", s->complete_unseen);
	return (o);
}

static json_t *
run_json(const struct mlk_load_report_run *r)
{
	json_t *groups = json_array();
	uint32_t i;

	for (i = 0; i < r->stats->ngroups; i++)
		(void)json_array_append_new(
		    groups, group_json(&r->stats->groups[i]));
	return (json_pack("{s:s,s:s,s:I,s:f,s:f,s:f,s:b,s:o,s:o,s:o,s:o,s:o}",
	    "scenario", r->run->sc->name, "policy", r->run->policy, "seed",
	    (json_int_t)r->run->sc->seed, "elapsed_s", r->run->elapsed_s,
	    "jobs_per_s", r->run->arrivals->mean_rate, "goodput_tasks_per_s",
	    r->stats->goodput, "interrupted", (int)r->run->interrupted,
	    "groups", groups, "counts", counts_json(r->run, r->stats),
	    "send_lag_ms", quantiles_json(&r->stats->send_lag_ms), "messages",
	    messages_json(r->run), "processes", usage_json(r->run)));
}

/*
 * Writes the reports of all runs to a file.  Returns 0 or MLK_ERR_IO.
 */
int
mlk_load_report_json(const char *path, const struct mlk_load_report_run *runs,
    uint32_t n, struct mlk_error *err)
{
	json_t *root = json_array();
	uint32_t i;

	for (i = 0; i < n; i++)
		(void)json_array_append_new(root, run_json(&runs[i]));
	return (mlk_load_json_write(path, root, err));
}
