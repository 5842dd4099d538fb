/*
 * All orders of a day side by side, as a table and as JSON.
 */
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "files.h"
#include "ideal.h"

/* A window of fewer jobs says little: one job in ten is a worth of 0.1. */
#define WINDOW_JOBS_MIN 10U

static const char *const order_names[MLK_IDEAL_ORDERS] = { "arrival",
	"least-slack", "smallest-work", "weighted-shares" };
static const char *const placement_names[MLK_IDEAL_PLACEMENTS] = { "fastest",
	"slowest-in-goal" };

static double
share(uint32_t part, const struct mlk_ideal_tally *t)
{
	return (t->jobs == 0 ? 0.0 : (double)part / t->jobs);
}

/*
 * Returns what the jobs earned, divided by what they could earn; 0 without
 * jobs.
 */
double
mlk_ideal_worth(
    const struct mlk_ideal_day *day, const struct mlk_ideal_tally *tally)
{
	return (share(tally->in_goal, tally) +
	    day->goal.late_worth * share(tally->late, tally));
}

/*
 * Finds the window of the lowest worth of a row, among those in which at least
 * WINDOW_JOBS_MIN jobs arrived.  Returns whether there is one.
 */
bool
mlk_ideal_worst(const struct mlk_ideal_day *day,
    const struct mlk_ideal_result *result, uint32_t row, uint32_t *window)
{
	const struct mlk_ideal_tally *t =
	    &result->windows[row * result->nwindows];
	bool found = false;
	uint32_t i;

	for (i = 0; i < result->nwindows; i++) {
		if (t[i].jobs < WINDOW_JOBS_MIN ||
		    (found &&
			mlk_ideal_worth(day, &t[i]) >=
			    mlk_ideal_worth(day, &t[*window])))
			continue;
		*window = i;
		found = true;
	}
	return (found);
}

/*
 * Returns whether all workers have the same speed, so that the placements are
 * the same.
 */
static bool
same_speeds(const struct mlk_ideal_day *day)
{
	uint32_t i;

	for (i = 1; i < day->nworkers; i++) {
		if (day->workers[i].speed != day->workers[0].speed)
			return (false);
	}
	return (true);
}

/*
 * Plays all orders and finds the best.
 */
void
mlk_ideal_report_run(struct mlk_ideal_report *report)
{
	int order, placement, placements = MLK_IDEAL_PLACEMENTS;
	const struct mlk_ideal_day *day = report->day;
	struct mlk_ideal_result *r;

	if (same_speeds(day))
		placements = 1;
	for (order = 0; order < MLK_IDEAL_ORDERS; order++) {
		for (placement = 0; placement < placements; placement++) {
			r = mlk_ideal_run(day, report->jobs,
			    (enum mlk_ideal_order)order,
			    (enum mlk_ideal_placement)placement);
			report->results[report->n] = r;
			if (mlk_ideal_worth(day, &r->totals[r->nroutes]) >
			    mlk_ideal_worth(day,
				&report->results[report->best]
				     ->totals[r->nroutes]))
				report->best = report->n;
			report->n++;
		}
	}
}

void
mlk_ideal_report_clear(struct mlk_ideal_report *report)
{
	uint32_t i;

	for (i = 0; i < report->n; i++)
		mlk_ideal_result_free(report->results[i]);
	memset(report, 0, sizeof(*report));
}

/* ---- table ------------------------------------------------------------ */

static void
print_row(FILE *out, const struct mlk_ideal_day *day,
    const struct mlk_ideal_result *r, uint32_t row, const char *name)
{
	const struct mlk_ideal_tally *t = &r->totals[row];
	uint32_t w;

	(void)fprintf(out, "  %-20s %8u  %6.3f %6.3f  %6.3f %6.3f %6.3f", name,
	    t->jobs, share(t->in_goal, t), mlk_ideal_worth(day, t),
	    share(t->late, t), share(t->refused, t), share(t->given_up, t));
	if (r->floods[row].jobs > 0) {
		(void)fprintf(
		    out, "  %6.3f", mlk_ideal_worth(day, &r->floods[row]));
	} else {
		(void)fprintf(out, "  %6s", "-");
	}
	if (mlk_ideal_worst(day, r, row, &w)) {
		(void)fprintf(out, "  %6.3f at %.0f s\n",
		    mlk_ideal_worth(day, &r->windows[row * r->nwindows + w]),
		    w * MLK_IDEAL_WINDOW_S);
	} else {
		(void)fprintf(out, "  %6s\n", "-");
	}
}

static void
print_result(FILE *out, const struct mlk_ideal_report *report, uint32_t index)
{
	const struct mlk_ideal_result *r = report->results[index];
	uint32_t i;

	(void)fprintf(out, "\n%s, %s worker%s\n", order_names[r->order],
	    placement_names[r->placement],
	    index == report->best ? " (best)" : "");
	(void)fprintf(out, "  %-20s %8s  %6s %6s  %6s %6s %6s  %6s  %s\n",
	    "route", "jobs", "goal", "worth", "late", "refus.", "given",
	    "floods", "worst second");
	for (i = 0; i < r->nroutes; i++)
		print_row(out, report->day, r, i, report->day->routes[i].name);
	print_row(out, report->day, r, r->nroutes, "all");
}

/*
 * Prints a table for each order: shares of all jobs of a route, the worth of
 * the jobs that arrived during floods, and the second of arrivals with the
 * lowest worth.
 */
void
mlk_ideal_report_text(FILE *out, const struct mlk_ideal_report *report)
{
	const struct mlk_ideal_day *day = report->day;
	const struct mlk_ideal_result *best = report->results[report->best];
	uint32_t i;

	(void)fprintf(out,
	    "%s: seed %llu, %.0f s after %.0f s of warm-up, capacity %.1f "
	    "cores at speed 1, %.1f jobs/s at load %.2f, %u jobs\n"
	    "%.4f of the jobs could not end in goal on free workers\n",
	    day->name, (unsigned long long)day->seed, day->duration_s,
	    day->warm_up_s, report->jobs->capacity, report->jobs->rate,
	    day->load, report->jobs->counted,
	    report->jobs->counted == 0 ?
		0.0 :
		(double)report->jobs->out_of_reach / report->jobs->counted);
	for (i = 0; i < report->n; i++)
		print_result(out, report, i);
	(void)fprintf(out, "\nbest: %s, %s worker, worth %.3f\n",
	    order_names[best->order], placement_names[best->placement],
	    mlk_ideal_worth(day, &best->totals[best->nroutes]));
}

/* ---- JSON ------------------------------------------------------------- */

static json_t *
tally_json(const struct mlk_ideal_day *day, const struct mlk_ideal_tally *t)
{
	return (json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:f}", "jobs",
	    (json_int_t)t->jobs, "in_goal", (json_int_t)t->in_goal, "late",
	    (json_int_t)t->late, "refused", (json_int_t)t->refused, "given_up",
	    (json_int_t)t->given_up, "held", (json_int_t)t->held, "worth",
	    mlk_ideal_worth(day, t)));
}

static json_t *
row_json(const struct mlk_ideal_day *day, const struct mlk_ideal_result *r,
    uint32_t row, const char *name)
{
	json_t *o = tally_json(day, &r->totals[row]);
	json_t *worst = json_null();
	uint32_t w;

	if (mlk_ideal_worst(day, r, row, &w)) {
		worst = tally_json(day, &r->windows[row * r->nwindows + w]);
		(void)json_object_set_new(
		    worst, "at_s", json_real(w * MLK_IDEAL_WINDOW_S));
	}
	(void)json_object_set_new(o, "route", json_string(name));
	(void)json_object_set_new(
	    o, "floods", tally_json(day, &r->floods[row]));
	(void)json_object_set_new(o, "worst_window", worst);
	return (o);
}

static json_t *
result_json(const struct mlk_ideal_report *report, uint32_t index)
{
	const struct mlk_ideal_result *r = report->results[index];
	json_t *routes = json_array();
	uint32_t i;

	for (i = 0; i < r->nroutes; i++)
		(void)json_array_append_new(routes,
		    row_json(report->day, r, i, report->day->routes[i].name));
	return (json_pack("{s:s,s:s,s:b,s:o,s:o}", "order",
	    order_names[r->order], "placement", placement_names[r->placement],
	    "best", (int)(index == report->best), "all",
	    row_json(report->day, r, r->nroutes, "all"), "routes", routes));
}

/*
 * Writes the report to a file.  Returns 0 or MLK_ERR_IO.
 */
int
mlk_ideal_report_json(const char *path, const struct mlk_ideal_report *report,
    struct mlk_error *err)
{
	json_t *results = json_array(), *root;
	uint32_t i;

	for (i = 0; i < report->n; i++)
		(void)json_array_append_new(results, result_json(report, i));
	root = json_pack("{s:s,s:I,s:f,s:f,s:f,s:I,s:I,s:o}", "day",
	    report->day->name, "seed", (json_int_t)report->day->seed,
	    "duration_s", report->day->duration_s, "capacity_cores",
	    report->jobs->capacity, "jobs_per_s", report->jobs->rate, "jobs",
	    (json_int_t)report->jobs->counted, "out_of_reach",
	    (json_int_t)report->jobs->out_of_reach, "results", results);
	return (mlk_load_json_write(path, root, err));
}
