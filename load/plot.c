/*
 * Writes data files and a gnuplot script, and runs gnuplot if it is installed.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "report.h"

#define DIR_MODE 0755
#define NSEC_PER_S ((double)MLK_NSEC_PER_SEC)
/* Shorter waits are plotted as this value, because the axis is logarithmic. */
#define WAIT_FLOOR_MS 0.1

static FILE *
create_file(const char *dir, const char *name, struct mlk_error *err)
{
	char *path = g_build_filename(dir, name, NULL);
	FILE *f = fopen(path, "w");

	if (f == NULL)
		(void)mlk_error_set(err, MLK_ERR_IO, "cannot write %s: %s",
		    path, strerror(errno));
	g_free(path);
	return (f);
}

/*
 * Writes a line for each policy and kind: p50, p90, p99 and max of the wait.
 */
static int
write_quantiles(const char *dir, const struct mlk_load_report_run *runs,
    uint32_t n, struct mlk_error *err)
{
	FILE *f = create_file(dir, "wait-quantiles.dat", err);
	const struct mlk_load_group_stats *g;
	uint32_t i, j;

	if (f == NULL)
		return (MLK_ERR_IO);
	(void)fprintf(f, "label p50 p90 p99 max\n");
	for (i = 0; i < n; i++) {
		for (j = MLK_LOAD_GROUP_KIND; j < runs[i].stats->ngroups; j++) {
			g = &runs[i].stats->groups[j];
			(void)fprintf(f, "\"%s %s\" %g %g %g %g\n",
			    runs[i].run->policy, g->name,
			    MAX(g->wait_ms.p50, WAIT_FLOOR_MS),
			    MAX(g->wait_ms.p90, WAIT_FLOOR_MS),
			    MAX(g->wait_ms.p99, WAIT_FLOOR_MS),
			    MAX(g->wait_ms.max, WAIT_FLOOR_MS));
		}
	}
	(void)fclose(f);
	return (0);
}

/*
 * Writes a line for each measured job: its arrival in seconds and its wait in
 * milliseconds; first a block of short jobs, then one of long jobs.
 */
static int
write_waits(
    const char *dir, const struct mlk_load_report_run *r, struct mlk_error *err)
{
	const struct mlk_load_run *run = r->run;
	char *name = g_strdup_printf("wait-%s.dat", run->policy);
	FILE *f = create_file(dir, name, err);
	uint32_t i;
	int is_long;

	g_free(name);
	if (f == NULL)
		return (MLK_ERR_IO);
	for (is_long = 0; is_long < 2; is_long++) {
		(void)fprintf(f, "0 nan\n");
		for (i = 0; i < run->arrivals->n; i++) {
			if (mlk_load_is_measured(run, i) &&
			    mlk_load_kind_is_long(
				&run->sc->kinds[run->arrivals->jobs[i].kind]) ==
				is_long) {
				(void)fprintf(f, "%.3f %.3f\n",
				    (double)run->arrivals->jobs[i].at /
					NSEC_PER_S,
				    MAX(mlk_load_wait_ms(run, i),
					WAIT_FLOOR_MS));
			}
		}
		(void)fprintf(f, "\n\n");
	}
	(void)fclose(f);
	return (0);
}

static int
write_script(const char *dir, const struct mlk_load_report_run *runs,
    uint32_t n, struct mlk_error *err)
{
	FILE *f = create_file(dir, "plot.gp", err);
	const struct mlk_load_group_stats *g;
	uint32_t i;

	if (f == NULL)
		return (MLK_ERR_IO);
	(void)fprintf(f,
	    "set terminal svg size 1000,600\n"
	    "set output 'wait-quantiles.svg'\n"
	    "set title '%s: wait by policy and kind' noenhanced\n"
	    "set style data histogram\nset style fill solid 0.6\n"
	    "set logscale y\nset ylabel 'wait, ms'\n"
	    "set xtics rotate by -30 noenhanced\nset key left top\n"
	    "plot for [c=2:5] 'wait-quantiles.dat' using c:xtic(1) "
	    "title columnheader(c)\n",
	    runs[0].run->sc->name);
	for (i = 0; i < n; i++) {
		g = runs[i].stats->groups;
		(void)fprintf(f,
		    "set output 'wait-%s.svg'\n"
		    "set title '%s, policy %s: wait over time' noenhanced\n"
		    "set xtics norotate\nset xlabel 'arrival, s'\n"
		    "plot ",
		    runs[i].run->policy, runs[i].run->sc->name,
		    runs[i].run->policy);
		if (g[MLK_LOAD_GROUP_SHORT].wait_ms.n > 0) {
			(void)fprintf(f,
			    "'wait-%s.dat' index 0 using 1:2 with dots lw 3 "
			    "title 'short', ",
			    runs[i].run->policy);
		}
		if (g[MLK_LOAD_GROUP_LONG].wait_ms.n > 0) {
			(void)fprintf(f,
			    "'wait-%s.dat' index 1 using 1:2 with points "
			    "pt 7 ps 0.3 title 'long', ",
			    runs[i].run->policy);
		}
		/* gnuplot needs one plot even when nothing was measured. */
		(void)fprintf(f, "%g notitle lc 'white'\n", WAIT_FLOOR_MS);
	}
	(void)fclose(f);
	return (0);
}

static int
run_gnuplot(const char *dir, struct mlk_error *err)
{
	char *program = g_find_program_in_path("gnuplot");
	char *argv[] = { program, "plot.gp", NULL };
	GError *gerr = NULL;
	gboolean ok;
	int status = 0;

	if (program == NULL) {
		(void)fprintf(stderr,
		    "gnuplot is not installed; the data and plot.gp are in "
		    "%s\n",
		    dir);
		return (0);
	}
	ok = g_spawn_sync(dir, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL,
		 NULL, &status, &gerr) &&
	    g_spawn_check_wait_status(status, &gerr);
	g_free(program);
	if (ok)
		return (0);
	(void)mlk_error_set(err, MLK_ERR_IO, "gnuplot: %s", gerr->message);
	g_error_free(gerr);
	return (MLK_ERR_IO);
}

/*
 * Writes the data files, the script and the plots to dir, which is created if
 * needed.  Returns 0 or MLK_ERR_IO.
 */
int
mlk_load_report_plots(const char *dir, const struct mlk_load_report_run *runs,
    uint32_t n, struct mlk_error *err)
{
	uint32_t i;
	int error;

	if (g_mkdir_with_parents(dir, DIR_MODE) != 0)
		return (mlk_error_set(err, MLK_ERR_IO,
		    "cannot create directory %s: %s", dir, strerror(errno)));
	error = write_quantiles(dir, runs, n, err);
	for (i = 0; i < n && error == 0; i++)
		error = write_waits(dir, &runs[i], err);
	if (error == 0)
		error = write_script(dir, runs, n, err);
	if (error == 0)
		error = run_gnuplot(dir, err);
	return (error);
}
