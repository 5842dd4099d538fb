/*
 * Measures the messages, CPU time and memory of the processes during a run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "run.h"

/* State of a process at the start of the run. */
struct process_baseline {
	uint32_t starts;
	double cpu_s;
	struct mlk_scrape metrics;
};

struct mlk_load_observer {
	struct mlk_load_run *run;
	uint32_t n; /* processes; without a deployment: targets */
	struct process_baseline *before;
};

/*
 * Returns the CPU time of all runs of a process.
 */
static double
cpu_seconds(const struct mlk_deploy_process *p)
{
	struct mlk_procstat st;

	if (p->pid == 0 || mlk_procstat_read(p->pid, &st) != 0)
		return (p->cpu_ended_s);
	return (p->cpu_ended_s + st.cpu_s);
}

/*
 * Returns the address of the metrics page of a process, or NULL when it does
 * not run or has no such page.
 */
static const char *
metrics_addr(struct mlk_load_run *run, uint32_t i)
{
	const struct mlk_deploy_process *p;

	if (run->deploy == NULL)
		return (run->targets[i]);
	p = mlk_deploy_at(run->deploy, i);
	return (p->pid != 0 && p->role >= MLK_DEPLOY_AGENT ? p->http : NULL);
}

static void
read_metrics(struct mlk_load_run *run, uint32_t i, struct mlk_scrape *out)
{
	const char *addr = metrics_addr(run, i);
	struct mlk_error err;

	memset(out, 0, sizeof(*out));
	if (addr != NULL && run->mode == MLK_LOAD_TO_ENTRIES)
		(void)mlk_scrape_read(addr, out, &err);
}

/*
 * Reads the state before a run.  Blocks while it reads the metrics pages.
 */
struct mlk_load_observer *
mlk_load_observe_begin(struct mlk_load_run *run)
{
	struct mlk_load_observer *obs = g_new0(struct mlk_load_observer, 1);
	const struct mlk_deploy_process *p;
	uint32_t i;

	obs->run = run;
	obs->n =
	    run->deploy == NULL ? run->ntargets : mlk_deploy_count(run->deploy);
	obs->before = g_new0(struct process_baseline, obs->n);
	run->nusage = obs->n;
	run->usage = g_new0(struct mlk_load_usage, obs->n);
	for (i = 0; i < obs->n; i++) {
		read_metrics(run, i, &obs->before[i].metrics);
		if (run->deploy == NULL) {
			(void)g_strlcpy(run->usage[i].name, run->targets[i],
			    sizeof(run->usage[i].name));
			run->usage[i].role = MLK_DEPLOY_ENTRY;
			continue;
		}
		p = mlk_deploy_at(run->deploy, i);
		(void)g_strlcpy(
		    run->usage[i].name, p->name, sizeof(run->usage[i].name));
		run->usage[i].role = p->role;
		obs->before[i].starts = p->starts;
		obs->before[i].cpu_s = cpu_seconds(p);
	}
	return (obs);
}

/*
 * Samples the resident memory of each process.
 */
void
mlk_load_observe_sample(struct mlk_load_observer *obs)
{
	const struct mlk_deploy_process *p;
	struct mlk_procstat st;
	uint32_t i;

	if (obs->run->deploy == NULL)
		return;
	for (i = 0; i < obs->n; i++) {
		p = mlk_deploy_at(obs->run->deploy, i);
		if (p->pid == 0 || mlk_procstat_read(p->pid, &st) != 0)
			continue;
		obs->run->usage[i].rss_max =
		    MAX(obs->run->usage[i].rss_max, st.rss_bytes);
	}
}

/*
 * Records what a process used during the run.  The counters of a process that
 * was restarted began at 0.
 */
static void
record_usage(struct mlk_load_observer *obs, uint32_t i)
{
	struct mlk_load_usage *usage = &obs->run->usage[i];
	struct process_baseline *before = &obs->before[i];
	struct mlk_deploy_process *p = NULL;
	struct mlk_scrape after, sent;
	int type;

	memset(&sent, 0, sizeof(sent));
	if (obs->run->deploy != NULL) {
		p = mlk_deploy_at(obs->run->deploy, i);
		usage->cpu_s = cpu_seconds(p) - before->cpu_s;
		if (p->starts != before->starts)
			memset(&before->metrics, 0, sizeof(before->metrics));
	}
	read_metrics(obs->run, i, &after);
	if (!after.ok)
		return;
	mlk_scrape_add_difference(&sent, &before->metrics, &after);
	for (type = 0; type < MLK_MSG_TYPES; type++) {
		obs->run->messages.sent_msgs[type] += sent.sent_msgs[type];
		obs->run->messages.sent_bytes[type] += sent.sent_bytes[type];
		if (mlk_scrape_is_control((enum mlk_msg_type)type))
			usage->control_bytes += sent.sent_bytes[type];
	}
	obs->run->messages.ok = true;
}

/*
 * Reads the state after a run, fills run->usage and run->messages, and frees
 * the observer.  Messages that a process sent before a kill or restart are not
 * included.
 */
void
mlk_load_observe_end(struct mlk_load_observer *obs)
{
	uint32_t i;

	mlk_load_observe_sample(obs);
	for (i = 0; i < obs->n; i++)
		record_usage(obs, i);
	g_free(obs->before);
	g_free(obs);
}
