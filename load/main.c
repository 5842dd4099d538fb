/*
 * monsoonlock-load: runs a scenario against a deployment that it starts on
 * loopback, against stand-in endpoints without entries, or against entries that
 * already run.  Reports response times, message counts and violated guarantees.
 * The command "ideal" calculates what a day file allows instead (ideal.h).
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <glib.h>

#include "ideal.h"
#include "report.h"

#define EXIT_BROKEN 1 /* guarantee violated, answer missing or error */
#define EXIT_USAGE 2
#define READY_TIMEOUT_MS 20000U
#define POLICIES_MAX 8U

struct options {
	char *policies;
	char *bin_dir;
	double duration_s;
	gint64 seed;
	gint workers;
	char *json;
	char *report;
	char *scenario; /* command "against" only */
	char *token;
	char *prefix;
	gboolean keep;
	gboolean own_connections;
};

/* All runs of one command, which share a scenario and its arrivals. */
struct session {
	struct options opt;
	struct mlk_load_scenario *sc;
	struct mlk_load_arrivals *arrivals;
	uint32_t nruns;
	struct mlk_load_run runs[POLICIES_MAX];
	struct mlk_load_report_run reports[POLICIES_MAX];
};

static volatile sig_atomic_t interrupted;

static void
note_signal(int sig)
{
	(void)sig;
	interrupted = 1;
}

/*
 * Installs the handlers that are in effect before and after the event loop,
 * which sets its own while it runs.
 */
static void
catch_signals(void)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof(sa));
	sa.sa_handler = note_signal;
	(void)sigemptyset(&sa.sa_mask);
	(void)sigaction(SIGINT, &sa, NULL);
	(void)sigaction(SIGTERM, &sa, NULL);
	(void)signal(SIGPIPE, SIG_IGN);
}

/*
 * Raises the limit of open files to its maximum: a baseline policy under
 * overload has thousands of calls in flight.
 */
static void
raise_file_limit(void)
{
	struct rlimit lim;

	if (getrlimit(RLIMIT_NOFILE, &lim) != 0)
		return;
	lim.rlim_cur = lim.rlim_max;
	(void)setrlimit(RLIMIT_NOFILE, &lim);
}

static bool
parse_options(int *argc, char ***argv, struct options *opt)
{
	const GOptionEntry entries[] = {
		{ "policies", 0, 0, G_OPTION_ARG_STRING, &opt->policies,
		    "Policies to run one after another (default credits)",
		    "LIST" },
		{ "bin", 0, 0, G_OPTION_ARG_FILENAME, &opt->bin_dir,
		    "Directory of the programs (default: of this one)", "DIR" },
		{ "duration", 0, 0, G_OPTION_ARG_DOUBLE, &opt->duration_s,
		    "Measured time instead of the scenario's", "S" },
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &opt->seed,
		    "Seed instead of the scenario's", "N" },
		{ "workers", 0, 0, G_OPTION_ARG_INT, &opt->workers,
		    "Number of workers instead of the scenario's", "N" },
		{ "json", 0, 0, G_OPTION_ARG_FILENAME, &opt->json,
		    "Write the report as JSON", "FILE" },
		{ "report", 0, 0, G_OPTION_ARG_FILENAME, &opt->report,
		    "Write plots", "DIR" },
		{ "scenario", 0, 0, G_OPTION_ARG_FILENAME, &opt->scenario,
		    "Scenario to send (against)", "FILE" },
		{ "token", 0, 0, G_OPTION_ARG_STRING, &opt->token,
		    "Caller's token (against)", "TOKEN" },
		{ "prefix", 0, 0, G_OPTION_ARG_STRING, &opt->prefix,
		    "Text in front of the last line", "TEXT" },
		{ "keep", 0, 0, G_OPTION_ARG_NONE, &opt->keep,
		    "Keep logs and settings of the processes", NULL },
		{ "own-connections", 0, 0, G_OPTION_ARG_NONE,
		    &opt->own_connections, "Use a new connection per call",
		    NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context;
	GError *gerr = NULL;
	gboolean ok;

	context = g_option_context_new(
	    "run SCENARIO | direct SCENARIO | against IP:PORT... | ideal DAY");
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &gerr);
	g_option_context_free(context);
	if (!ok) {
		(void)fprintf(stderr, "monsoonlock-load: %s\n", gerr->message);
		g_error_free(gerr);
	}
	return (ok);
}

static void
clear_options(struct options *opt)
{
	g_free(opt->policies);
	g_free(opt->bin_dir);
	g_free(opt->json);
	g_free(opt->report);
	g_free(opt->scenario);
	g_free(opt->token);
	g_free(opt->prefix);
}

static int
load_scenario(struct session *s, const char *path, struct mlk_error *err)
{
	int error;

	error = mlk_load_scenario_read(path, &s->sc, err);
	if (error != 0)
		return (error);
	if (s->opt.duration_s > 0.0)
		s->sc->duration_s = s->opt.duration_s;
	if (s->opt.seed > 0)
		s->sc->seed = (uint64_t)s->opt.seed;
	if (s->opt.workers > 0)
		error = mlk_load_scenario_set_workers(
		    s->sc, (uint32_t)s->opt.workers, err);
	if (error != 0)
		return (error);
	return (mlk_load_arrivals_create(s->sc, &s->arrivals, err));
}

/*
 * Lists the HTTP addresses of the processes of one role as targets.
 */
static void
set_targets(struct mlk_load_run *run, enum mlk_deploy_role role)
{
	const struct mlk_deploy_process *p;
	uint32_t i, n = 0;

	run->targets =
	    g_malloc0_n(mlk_deploy_count(run->deploy), sizeof(*run->targets));
	for (i = 0; i < mlk_deploy_count(run->deploy); i++) {
		p = mlk_deploy_at(run->deploy, i);
		if (p->role == role)
			(void)g_strlcpy(
			    run->targets[n++], p->http, MLK_ADDR_MAX);
	}
	run->ntargets = n;
}

static struct mlk_load_run *
new_run(struct session *s, const char *policy, enum mlk_load_mode mode)
{
	struct mlk_load_run *run = &s->runs[s->nruns];

	run->sc = s->sc;
	run->arrivals = s->arrivals;
	run->policy = policy;
	run->mode = mode;
	run->own_connections = s->opt.own_connections;
	run->progress = isatty(STDERR_FILENO) != 0;
	return (run);
}

/*
 * Computes and prints the report of the run that has ended.
 */
static void
finish_run(struct session *s, struct mlk_load_run *run)
{
	struct mlk_load_report_run *r = &s->reports[s->nruns++];

	r->run = run;
	r->stats = mlk_load_stats_create(run);
	mlk_load_report_text(stdout, r);
	(void)fflush(stdout);
}

/*
 * Counts the task starts in the logs of the endpoints.  Returns 0 or
 * MLK_ERR_IO.
 */
static int
count_starts(struct mlk_load_run *run, struct mlk_error *err)
{
	run->start_log = mlk_load_start_log_create();
	return (mlk_load_start_log_read_dir(
	    run->start_log, mlk_deploy_dir(run->deploy), err));
}

/*
 * Starts a deployment, runs the scenario on it and stops it.
 */
static int
run_on_deployment(struct session *s, const char *policy,
    enum mlk_load_mode mode, struct mlk_error *err)
{
	struct mlk_deploy_options options = {
		.bin_dir = s->opt.bin_dir,
		.entries = s->sc->entries,
		.workers = s->sc->workers,
		.slots = s->sc->slots,
		.policy = mode == MLK_LOAD_TO_ENTRIES ? policy : NULL,
		.endpoints_only = mode == MLK_LOAD_TO_ENDPOINTS,
		.keep = s->opt.keep,
		.cancel = &interrupted,
	};
	struct mlk_load_run *run = new_run(s, policy, mode);
	struct mlk_error inner;
	int error;

	error = mlk_deploy_create(&options, &run->deploy, err);
	if (error != 0)
		return (error);
	if (s->opt.keep)
		(void)fprintf(stderr, "logs of %s: %s\n", policy,
		    mlk_deploy_dir(run->deploy));
	set_targets(run,
	    mode == MLK_LOAD_TO_ENTRIES ? MLK_DEPLOY_ENTRY :
					  MLK_DEPLOY_ENDPOINT);
	error = mlk_deploy_start(run->deploy, err);
	if (error == 0)
		error =
		    mlk_deploy_wait_ready(run->deploy, READY_TIMEOUT_MS, err);
	if (error == 0) {
		error = mlk_load_drive(run, err);
		if (count_starts(run, &inner) != 0 && error == 0) {
			*err = inner;
			error = inner.code;
		}
		finish_run(s, run);
	}
	mlk_deploy_destroy(run->deploy);
	run->deploy = NULL;
	return (error);
}

static int
command_run(struct session *s, const char *path, struct mlk_error *err)
{
	char **policies;
	int error;
	uint32_t i;

	error = load_scenario(s, path, err);
	if (error != 0)
		return (error);
	policies =
	    g_strsplit(s->opt.policies == NULL ? "credits" : s->opt.policies,
		",", POLICIES_MAX);
	for (i = 0; policies[i] != NULL && error == 0 && !interrupted; i++) {
		error = run_on_deployment(
		    s, g_intern_string(policies[i]), MLK_LOAD_TO_ENTRIES, err);
		if (s->nruns > 0 && s->runs[s->nruns - 1].interrupted)
			break;
	}
	g_strfreev(policies);
	return (error);
}

static int
command_direct(struct session *s, const char *path, struct mlk_error *err)
{
	int error = load_scenario(s, path, err);

	if (error != 0)
		return (error);
	return (run_on_deployment(s, "direct", MLK_LOAD_TO_ENDPOINTS, err));
}

static int
command_against(
    struct session *s, int naddrs, char **addrs, struct mlk_error *err)
{
	struct mlk_load_run *run;
	int error, i;

	if (s->opt.scenario == NULL)
		return (mlk_error_set(
		    err, MLK_ERR_INVALID, "against requires --scenario FILE"));
	error = load_scenario(s, s->opt.scenario, err);
	if (error != 0)
		return (error);
	run = new_run(s, "against", MLK_LOAD_TO_ENTRIES);
	run->token = s->opt.token;
	run->ntargets = (uint32_t)naddrs;
	run->targets = g_malloc0_n((gsize)naddrs, sizeof(*run->targets));
	for (i = 0; i < naddrs; i++)
		(void)g_strlcpy(run->targets[i], addrs[i], MLK_ADDR_MAX);
	error = mlk_load_drive(run, err);
	finish_run(s, run);
	return (error);
}

/*
 * Calculates and prints the results of a day file.  Starts no process.
 */
static int
command_ideal(
    const struct options *opt, const char *path, struct mlk_error *err)
{
	struct mlk_ideal_report report = { .n = 0 };
	struct mlk_ideal_day *day;
	struct mlk_ideal_jobs *jobs = NULL;
	int error;

	if (opt->duration_s != 0.0 || opt->workers != 0)
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "ideal takes the duration and the workers from the file"));
	error = mlk_ideal_day_read(path, &day, err);
	if (error != 0)
		return (error);
	if (opt->seed > 0)
		day->seed = (uint64_t)opt->seed;
	error = mlk_ideal_jobs_create(day, &jobs, err);
	if (error == 0) {
		report.day = day;
		report.jobs = jobs;
		mlk_ideal_report_run(&report);
		mlk_ideal_report_text(stdout, &report);
		if (opt->json != NULL)
			error = mlk_ideal_report_json(opt->json, &report, err);
		mlk_ideal_report_clear(&report);
	}
	mlk_ideal_jobs_free(jobs);
	mlk_ideal_day_free(day);
	return (error);
}

static int
write_reports(const struct session *s, struct mlk_error *err)
{
	int error = 0;

	if (s->nruns > 1)
		mlk_load_report_ratios(stdout, s->reports, s->nruns);
	if (s->opt.json != NULL)
		error = mlk_load_report_json(
		    s->opt.json, s->reports, s->nruns, err);
	if (error == 0 && s->opt.report != NULL)
		error = mlk_load_report_plots(
		    s->opt.report, s->reports, s->nruns, err);
	return (error);
}

static int
session_end(struct session *s, int error, const struct mlk_error *err)
{
	struct mlk_error report_err;
	bool ok = error == 0 && s->nruns > 0;
	uint32_t i;

	if (error != 0)
		(void)fprintf(stderr, "monsoonlock-load: %s\n", err->msg);
	if (s->nruns > 0 && write_reports(s, &report_err) != 0) {
		(void)fprintf(stderr, "monsoonlock-load: %s\n", report_err.msg);
		ok = false;
	}
	for (i = 0; i < s->nruns; i++)
		ok = ok && !s->runs[i].interrupted &&
		    mlk_load_stats_ok(s->reports[i].stats);
	if (s->nruns > 0) {
		mlk_load_report_last_line(stdout,
		    s->opt.prefix == NULL ? "" : s->opt.prefix, s->reports,
		    s->nruns);
	}
	for (i = 0; i < s->nruns; i++)
		mlk_load_stats_free(
		    (struct mlk_load_stats *)s->reports[i].stats);
	for (i = 0; i < POLICIES_MAX; i++)
		mlk_load_run_clear(&s->runs[i]);
	mlk_load_arrivals_free(s->arrivals);
	mlk_load_scenario_free(s->sc);
	return (ok ? EXIT_SUCCESS : EXIT_BROKEN);
}

/*
 * Returns the directory of this program, or its parent when the program is in
 * the subdirectory load of a build directory.  The caller frees the string.
 */
static char *
default_bin_dir(const char *argv0)
{
	char *path = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(path == NULL ? argv0 : path);
	char *parent;

	g_free(path);
	if (!g_str_has_suffix(dir, "/load"))
		return (dir);
	parent = g_path_get_dirname(dir);
	g_free(dir);
	return (parent);
}

static int
usage(void)
{
	(void)fprintf(stderr,
	    "usage: monsoonlock-load run SCENARIO [OPTION...]\n"
	    "       monsoonlock-load direct SCENARIO [OPTION...]\n"
	    "       monsoonlock-load against IP:PORT... --scenario FILE\n"
	    "       monsoonlock-load ideal DAY [--seed N] [--json FILE]\n"
	    "monsoonlock-load --help lists the options\n");
	return (EXIT_USAGE);
}

int
main(int argc, char **argv)
{
	struct session s;
	struct mlk_error err = { 0 };
	int error, status;

	memset(&s, 0, sizeof(s));
	if (!parse_options(&argc, &argv, &s.opt))
		return (EXIT_USAGE);
	if (argc < 3 || (argc > 3 && strcmp(argv[1], "against") != 0)) {
		clear_options(&s.opt);
		return (usage());
	}
	if (strcmp(argv[1], "ideal") == 0) {
		error = command_ideal(&s.opt, argv[2], &err);
		if (error != 0)
			(void)fprintf(
			    stderr, "monsoonlock-load: %s\n", err.msg);
		clear_options(&s.opt);
		return (error == 0 ? EXIT_SUCCESS : EXIT_BROKEN);
	}
	if (s.opt.bin_dir == NULL)
		s.opt.bin_dir = default_bin_dir(argv[0]);
	catch_signals();
	raise_file_limit();
	if (strcmp(argv[1], "run") == 0)
		error = command_run(&s, argv[2], &err);
	else if (strcmp(argv[1], "direct") == 0)
		error = command_direct(&s, argv[2], &err);
	else if (strcmp(argv[1], "against") == 0)
		error = command_against(&s, argc - 2, argv + 2, &err);
	else
		error = mlk_error_set(
		    &err, MLK_ERR_INVALID, "unknown command '%s'", argv[1]);
	status = session_end(&s, error, &err);
	clear_options(&s.opt);
	return (status);
}
