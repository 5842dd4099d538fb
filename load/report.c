/*
 * The text report.
 */
#include <inttypes.h>
#include <string.h>

#include "report.h"

#define KB 1024.0
#define MB (1024.0 * 1024.0)

static void
print_groups(FILE *out, const struct mlk_load_stats *stats)
{
	const struct mlk_load_group_stats *g;
	uint32_t i;

	(void)fprintf(out,
	    "%-16s %7s %7s %6s %6s %6s %5s | %-33s | %s\n"
	    "%-16s %7s %7s %6s %6s %6s %5s | %8s %8s %7s %7s"
	    " | %6s %6s %6s %7s\n",
	    "", "", "", "", "", "", "", "wait ms", "slowdown", "kind", "jobs",
	    "compl", "failed", "refus", "unkn", "none", "p50", "p90", "p99",
	    "max", "p50", "p90", "p99", "max");
	for (i = 0; i < stats->ngroups; i++) {
		g = &stats->groups[i];
		(void)fprintf(out,
		    "%-16s %7" PRIu64 " %7" PRIu64 " %6" PRIu64 " %6" PRIu64
		    " %6" PRIu64 " %5" PRIu64
		    " | %8.1f %8.1f %7.0f %7.0f | %6.2f %6.2f %6.2f %7.2f\n",
		    g->name, g->jobs, g->outcomes[MLK_LOAD_COMPLETE],
		    g->outcomes[MLK_LOAD_FAILED], g->outcomes[MLK_LOAD_REFUSED],
		    g->outcomes[MLK_LOAD_UNKNOWN], g->outcomes[MLK_LOAD_NONE],
		    g->wait_ms.p50, g->wait_ms.p90, g->wait_ms.p99,
		    g->wait_ms.max, g->slowdown.p50, g->slowdown.p90,
		    g->slowdown.p99, g->slowdown.max);
	}
}

static void
print_tasks(FILE *out, const struct mlk_load_run *run,
    const struct mlk_load_stats *stats)
{
	(void)fprintf(out,
	    "tasks: done %" PRIu64 ", failed %" PRIu64 ", not run %" PRIu64
	    ", unknown %" PRIu64 "; goodput %.1f tasks/s over %.1f s\n",
	    stats->tasks_done, stats->tasks_failed, stats->tasks_not_run,
	    stats->tasks_unknown, stats->goodput, run->elapsed_s);
	(void)fprintf(out,
	    "calls: %" PRIu64 " connections, %" PRIu64 " calls lost (%" PRIu64
	    " not sent, %" PRIu64 " timed out), %" PRIu64
	    " tries repeated, %" PRIu64 " jobs resubmitted, %" PRIu64
	    " cancelled; sent late by p50 %.2f p99 %.2f max %.1f ms\n",
	    run->connections, run->calls_lost, run->calls_not_sent,
	    run->calls_timed_out, stats->retries, stats->resubmitted,
	    stats->cancelled, stats->send_lag_ms.p50, stats->send_lag_ms.p99,
	    stats->send_lag_ms.max);
	(void)fprintf(out,
	    "checks: crossed %" PRIu64 ", disagreeing answers %" PRIu64,
	    stats->crossed, stats->disagree);
	if (run->start_log == NULL)
		(void)fprintf(out, "; starts were not judged (no logs)\n");
	else {
		(void)fprintf(out,
		    "; %" PRIu64 " starts on the endpoints' logs, refused "
		    "jobs that ran %" PRIu64
		    ", complete tasks without a start %" PRIu64 "\n",
		    stats->started, stats->refused_ran, stats->complete_unseen);
	}
}

/*
 * Prints the messages sent per task by type.
 */
static void
print_messages(FILE *out, const struct mlk_load_run *run,
    const struct mlk_load_stats *stats)
{
	double tasks = (double)MAX(stats->groups[0].tasks, 1U);
	uint64_t n, total = 0;
	int type;

	if (!run->messages.ok)
		return;
	(void)fprintf(out, "messages per task:");
	for (type = 0; type < MLK_MSG_TYPES; type++) {
		n = run->messages.sent_msgs[type];
		total += n;
		if (n > 0) {
			(void)fprintf(out, " %s %.3f",
			    mlk_msg_name((enum mlk_msg_type)type),
			    (double)n / tasks);
		}
	}
	(void)fprintf(out, "; in all %.3f\n", (double)total / tasks);
}

/*
 * Prints the mean and the maximum resource use of the processes of one role.
 */
static void
print_usage(FILE *out, const struct mlk_load_run *run,
    enum mlk_deploy_role role, const char *name)
{
	double cpu = 0.0, cpu_max = 0.0, bytes = 0.0, bytes_max = 0.0;
	double s = MAX(run->elapsed_s, 0.001);
	uint64_t rss_max = 0;
	uint32_t i, n = 0;

	for (i = 0; i < run->nusage; i++) {
		if (run->usage[i].role != role)
			continue;
		n++;
		cpu += run->usage[i].cpu_s;
		cpu_max = MAX(cpu_max, run->usage[i].cpu_s);
		bytes += (double)run->usage[i].control_bytes;
		bytes_max = MAX(bytes_max, (double)run->usage[i].control_bytes);
		rss_max = MAX(rss_max, run->usage[i].rss_max);
	}
	if (n == 0)
		return;
	(void)fprintf(out,
	    "%-9s %2u: CPU %.2f s mean, %.2f s max (%.2f %% of a core); "
	    "RSS max %.1f MB; control %.2f KB/s mean, %.2f max\n",
	    name, n, cpu / n, cpu_max, 100.0 * cpu_max / s,
	    (double)rss_max / MB, bytes / n / s / KB, bytes_max / s / KB);
}

/*
 * Prints the report of one run.
 */
void
mlk_load_report_text(FILE *out, const struct mlk_load_report_run *r)
{
	const struct mlk_load_run *run = r->run;

	(void)fprintf(out,
	    "\n== %s, policy %s, seed %" PRIu64
	    ": %.1f jobs/s, mean work %.3f s, %u x %u slots\n",
	    run->sc->name, run->policy, run->sc->seed, run->arrivals->mean_rate,
	    mlk_load_mean_work(run->sc), run->sc->workers, run->sc->slots);
	print_groups(out, r->stats);
	print_tasks(out, run, r->stats);
	print_messages(out, run, r->stats);
	if (run->deploy != NULL) {
		print_usage(out, run, MLK_DEPLOY_ENTRY, "entries");
		print_usage(out, run, MLK_DEPLOY_AGENT, "agents");
		print_usage(out, run, MLK_DEPLOY_ENDPOINT, "endpoints");
	}
	if (run->interrupted)
		(void)fprintf(out, "interrupted: the run is not whole\n");
}

/*
 * Compares the p99 wait of short jobs of each later run with the first run.
 */
void
mlk_load_report_ratios(
    FILE *out, const struct mlk_load_report_run *runs, uint32_t n)
{
	const struct mlk_load_group_stats *a, *b;
	uint32_t i;

	a = &runs[0].stats->groups[MLK_LOAD_GROUP_SHORT];
	for (i = 1; i < n; i++) {
		b = &runs[i].stats->groups[MLK_LOAD_GROUP_SHORT];
		(void)fprintf(out,
		    "p99 wait of short jobs: %s %.1f ms, %s %.1f ms, ",
		    runs[0].run->policy, a->wait_ms.p99, runs[i].run->policy,
		    b->wait_ms.p99);
		if (a->wait_ms.p99 > 0.0) {
			(void)fprintf(out, "ratio %.1f\n",
			    b->wait_ms.p99 / a->wait_ms.p99);
		} else {
			(void)fprintf(out, "no ratio\n");
		}
	}
}

/*
 * Prints the line that scripts read, with the sums over all runs.  The jobs
 * without an answer are `jobs` minus the four outcomes.
 */
void
mlk_load_report_last_line(FILE *out, const char *prefix,
    const struct mlk_load_report_run *runs, uint32_t n)
{
	uint64_t jobs = 0, twice = 0, partial = 0;
	uint64_t sum[MLK_LOAD_OUTCOMES] = { 0 };
	const struct mlk_load_group_stats *all;
	uint32_t i, o;

	for (i = 0; i < n; i++) {
		all = &runs[i].stats->groups[MLK_LOAD_GROUP_ALL];
		jobs += all->jobs;
		twice += runs[i].stats->started_twice;
		partial += runs[i].stats->partial;
		for (o = 0; o < MLK_LOAD_OUTCOMES; o++)
			sum[o] += all->outcomes[o];
	}
	(void)fprintf(out,
	    "%sjobs=%" PRIu64 " complete=%" PRIu64 " failed=%" PRIu64
	    " refused=%" PRIu64 " unknown=%" PRIu64 " started_twice=%" PRIu64
	    " partial=%" PRIu64 "\n",
	    prefix, jobs, sum[MLK_LOAD_COMPLETE], sum[MLK_LOAD_FAILED],
	    sum[MLK_LOAD_REFUSED], sum[MLK_LOAD_UNKNOWN], twice, partial);
}
