/*
 * Reads the day files of the calculation (ideal.h) with a libcyaml schema.
 *
 * libcyaml reports a line only for the errors that it detects.  For the other
 * errors the file is loaded again with a schema that accepts no value for the
 * key, and the line is taken from the error of that.
 */
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <glib.h>

#include "files.h"
#include "ideal.h"

#define FILE_MAX (256U * 1024U) /* bytes; limits memory for a wrong file */
#define NAME_MAX_BYTES 63
#define PATH_MAX_BYTES 128 /* of the path of a key in the document */
#define SHARE_SUM_TOLERANCE 0.001
#define WORKERS_MAX 10000.0 /* machines; the worker table stays below 1 MB */
#define TASKS_MAX 750.0 /* as in the job format */
#define DURATION_MAX_S 3600.0
#define RUN_MAX_MS 3600000.0
#define CORES_MIN 0.001 /* cores are counted in thousandths */
#define CORES_MAX 100000.0
#define SPEED_MIN 0.01
#define SPEED_MAX 100.0
#define FACTOR_MAX 1000.0
#define LOAD_MAX 100.0

#define OPT CYAML_FLAG_OPTIONAL
#define REQ CYAML_FLAG_DEFAULT
#define OPT_PTR (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)
#define REQ_PTR CYAML_FLAG_POINTER

static const cyaml_schema_field_t kind_fields[] = {
	CYAML_FIELD_STRING_PTR(
	    "name", REQ_PTR, struct mlk_ideal_kind, name, 1, NAME_MAX_BYTES),
	CYAML_FIELD_UINT("tasks", REQ, struct mlk_ideal_kind, tasks),
	CYAML_FIELD_FLOAT("run_ms", REQ, struct mlk_ideal_kind, run_ms),
	CYAML_FIELD_FLOAT("spread", OPT, struct mlk_ideal_kind, spread),
	CYAML_FIELD_FLOAT("cores", REQ, struct mlk_ideal_kind, cores),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t kind_value = {
	CYAML_VALUE_MAPPING(REQ, struct mlk_ideal_kind, kind_fields),
};

static const cyaml_schema_field_t mix_fields[] = {
	CYAML_FIELD_STRING_PTR(
	    "kind", REQ_PTR, struct mlk_ideal_mix, kind, 1, NAME_MAX_BYTES),
	CYAML_FIELD_FLOAT("share", REQ, struct mlk_ideal_mix, share),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t mix_value = {
	CYAML_VALUE_MAPPING(REQ, struct mlk_ideal_mix, mix_fields),
};

static const cyaml_schema_field_t route_fields[] = {
	CYAML_FIELD_STRING_PTR(
	    "name", REQ_PTR, struct mlk_ideal_route, name, 1, NAME_MAX_BYTES),
	CYAML_FIELD_UINT("priority", OPT, struct mlk_ideal_route, priority),
	CYAML_FIELD_FLOAT("share", REQ, struct mlk_ideal_route, share),
	CYAML_FIELD_SEQUENCE_COUNT("mix", REQ_PTR, struct mlk_ideal_route, mix,
	    nmix, &mix_value, 1, CYAML_UNLIMITED),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t route_value = {
	CYAML_VALUE_MAPPING(REQ, struct mlk_ideal_route, route_fields),
};

static const cyaml_schema_field_t workers_fields[] = {
	CYAML_FIELD_UINT("count", REQ, struct mlk_ideal_workers, count),
	CYAML_FIELD_FLOAT("cores", REQ, struct mlk_ideal_workers, cores),
	CYAML_FIELD_FLOAT("speed", REQ, struct mlk_ideal_workers, speed),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t workers_value = {
	CYAML_VALUE_MAPPING(REQ, struct mlk_ideal_workers, workers_fields),
};

static const cyaml_schema_field_t flood_fields[] = {
	CYAML_FIELD_STRING_PTR(
	    "route", REQ_PTR, struct mlk_ideal_flood, route, 1, NAME_MAX_BYTES),
	CYAML_FIELD_FLOAT("at", REQ, struct mlk_ideal_flood, at_s),
	CYAML_FIELD_FLOAT("for", REQ, struct mlk_ideal_flood, for_s),
	CYAML_FIELD_FLOAT("load", REQ, struct mlk_ideal_flood, load),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t flood_value = {
	CYAML_VALUE_MAPPING(REQ, struct mlk_ideal_flood, flood_fields),
};

static const cyaml_schema_field_t wave_fields[] = {
	CYAML_FIELD_FLOAT("period", REQ, struct mlk_ideal_wave, period_s),
	CYAML_FIELD_FLOAT("swing", REQ, struct mlk_ideal_wave, swing),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t tail_fields[] = {
	CYAML_FIELD_FLOAT("share", REQ, struct mlk_ideal_tail, share),
	CYAML_FIELD_FLOAT("factor", REQ, struct mlk_ideal_tail, factor),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t goal_fields[] = {
	CYAML_FIELD_FLOAT("base_ms", REQ, struct mlk_ideal_goal, base_ms),
	CYAML_FIELD_FLOAT("factor", REQ, struct mlk_ideal_goal, factor),
	CYAML_FIELD_FLOAT(
	    "late_factor", REQ, struct mlk_ideal_goal, late_factor),
	CYAML_FIELD_FLOAT("late_worth", REQ, struct mlk_ideal_goal, late_worth),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t day_fields[] = {
	CYAML_FIELD_STRING_PTR(
	    "name", REQ_PTR, struct mlk_ideal_day, name, 1, NAME_MAX_BYTES),
	CYAML_FIELD_UINT("seed", REQ, struct mlk_ideal_day, seed),
	CYAML_FIELD_FLOAT("warm_up", OPT, struct mlk_ideal_day, warm_up_s),
	CYAML_FIELD_FLOAT("duration", REQ, struct mlk_ideal_day, duration_s),
	CYAML_FIELD_FLOAT("load", REQ, struct mlk_ideal_day, load),
	CYAML_FIELD_UINT("patience_ms", OPT, struct mlk_ideal_day, patience_ms),
	CYAML_FIELD_MAPPING(
	    "goal", REQ, struct mlk_ideal_day, goal, goal_fields),
	CYAML_FIELD_MAPPING_PTR(
	    "wave", OPT_PTR, struct mlk_ideal_day, wave, wave_fields),
	CYAML_FIELD_MAPPING_PTR(
	    "tail", OPT_PTR, struct mlk_ideal_day, tail, tail_fields),
	CYAML_FIELD_SEQUENCE_COUNT("kinds", REQ_PTR, struct mlk_ideal_day,
	    kinds, nkinds, &kind_value, 1, CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE_COUNT("routes", REQ_PTR, struct mlk_ideal_day,
	    routes, nroutes, &route_value, 1, MLK_IDEAL_ROUTES_MAX),
	CYAML_FIELD_SEQUENCE_COUNT("workers", REQ_PTR, struct mlk_ideal_day,
	    workers, nworkers, &workers_value, 1, CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE_COUNT("floods", OPT_PTR, struct mlk_ideal_day,
	    floods, nfloods, &flood_value, 0, CYAML_UNLIMITED),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t day_schema = {
	CYAML_VALUE_MAPPING(REQ_PTR, struct mlk_ideal_day, day_fields),
};

/* A day file that is being read. */
struct source {
	const char *name; /* of the file, for messages */
	const char *text;
	size_t len;
	struct mlk_error *err;
};

/* ---- lines of keys ---------------------------------------------------- */

static void
collect_log(cyaml_log_t level, void *ctx, const char *fmt, va_list args)
{
	GString *text = ctx;

	(void)level;
	g_string_append_vprintf(text, fmt, args);
}

static cyaml_config_t
cyaml_config(GString *log)
{
	cyaml_config_t config = {
		.log_fn = log == NULL ? NULL : collect_log,
		.log_ctx = log,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
		.flags = CYAML_CFG_NO_ALIAS,
	};

	return (config);
}

/*
 * Returns the line number in the first entry of a backtrace, or 1.
 */
static unsigned long
logged_line(const char *log)
{
	const char *p = strstr(log, "(line: ");

	return (p == NULL ? 1 : strtoul(p + strlen("(line: "), NULL, 10));
}

/* What line_of() loads: nothing but the items before the wanted one. */
struct located {
	void **items;
	uint32_t nitems;
};

/*
 * Returns the line, counted from 1, of the value of "key" or "group.key" (of a
 * list its first item), or the line where the item of "list[2].key" begins.
 */
static unsigned long
line_of(const struct source *src, const char *path)
{
	static const cyaml_strval_t none[] = { { "", 0 } };
	static const cyaml_schema_field_t any[] = { CYAML_FIELD_END };
	static const cyaml_schema_value_t item = {
		CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, void *, any),
	};
	cyaml_schema_field_t leaf[2] = { { .key = NULL } };
	cyaml_schema_field_t top[2] = { { .key = NULL } };
	const cyaml_schema_value_t root = {
		CYAML_VALUE_MAPPING(REQ_PTR, struct located, top),
	};
	char **parts = g_strsplit_set(path, ".[", 2);
	GString *log = g_string_new(NULL);
	cyaml_config_t config = cyaml_config(log);
	struct located *located = NULL;
	unsigned long line = 1;

	config.flags |= CYAML_CFG_IGNORE_UNKNOWN_KEYS;
	leaf[0] = (cyaml_schema_field_t)CYAML_FIELD_ENUM(parts[0],
	    CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, struct located, nitems,
	    none, 0);
	top[0] = leaf[0];
	if (strchr(path, '[') != NULL) {
		top[0] = (cyaml_schema_field_t)CYAML_FIELD_SEQUENCE_COUNT(
		    parts[0], OPT_PTR, struct located, items, nitems, &item, 0,
		    (uint32_t)strtoul(parts[1], NULL, 10));
	} else if (parts[1] != NULL) {
		leaf[0].key = parts[1];
		top[0] = (cyaml_schema_field_t)CYAML_FIELD_MAPPING(
		    parts[0], CYAML_FLAG_OPTIONAL, struct located, items, leaf);
	}
	if (cyaml_load_data((const uint8_t *)src->text, src->len, &config,
		&root, (cyaml_data_t **)&located, NULL) == CYAML_OK)
		(void)cyaml_free(&config, &root, located, 0);
	else
		line = logged_line(log->str);
	(void)g_string_free(log, TRUE);
	g_strfreev(parts);
	return (line);
}

/*
 * Sets the error of a path and returns MLK_ERR_SETTINGS.
 */
static int __attribute__((format(printf, 3, 4)))
reject(const struct source *src, const char *path, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	(void)mlk_error_set(src->err, MLK_ERR_SETTINGS, "%s: line %lu: %s: %s",
	    src->name, line_of(src, path), path, text);
	g_free(text);
	return (MLK_ERR_SETTINGS);
}

/* ---- checks ----------------------------------------------------------- */

/*
 * Checks that a number is finite and within min..max.
 */
static int
check_range(const struct source *src, const char *path, double value,
    double min, double max)
{
	if (isfinite(value) && value >= min && value <= max)
		return (0);
	return (reject(src, path, "%g is not within %g..%g", value, min, max));
}

/*
 * Checks a member of an item of a list, such as "kinds[2].cores".
 */
static int
check_item(const struct source *src, const char *list, uint32_t i,
    const char *key, double value, double min, double max)
{
	char path[PATH_MAX_BYTES];

	(void)g_snprintf(path, sizeof(path), "%s[%u].%s", list, i, key);
	return (check_range(src, path, value, min, max));
}

static int
check_sum(const struct source *src, const char *path, double sum)
{
	if (fabs(sum - 1.0) <= SHARE_SUM_TOLERANCE)
		return (0);
	return (reject(src, path, "shares add up to %.3f, expected 1", sum));
}

static const struct mlk_ideal_kind *
find_kind(const struct mlk_ideal_day *day, const char *name)
{
	uint32_t i;

	for (i = 0; i < day->nkinds; i++) {
		if (strcmp(day->kinds[i].name, name) == 0)
			return (&day->kinds[i]);
	}
	return (NULL);
}

static const struct mlk_ideal_route *
find_route(const struct mlk_ideal_day *day, const char *name)
{
	uint32_t i;

	for (i = 0; i < day->nroutes; i++) {
		if (strcmp(day->routes[i].name, name) == 0)
			return (&day->routes[i]);
	}
	return (NULL);
}

static int
check_kind(
    const struct source *src, const struct mlk_ideal_day *day, uint32_t i)
{
	const struct mlk_ideal_kind *k = &day->kinds[i];
	char path[PATH_MAX_BYTES];
	double largest = 0.0;
	uint32_t w;
	int error;

	for (w = 0; w < day->nworkers; w++)
		largest = fmax(largest, day->workers[w].cores);
	error = check_item(src, "kinds", i, "tasks", k->tasks, 1, TASKS_MAX);
	if (error == 0)
		error = check_item(
		    src, "kinds", i, "run_ms", k->run_ms, 1, RUN_MAX_MS);
	if (error == 0)
		error = check_item(src, "kinds", i, "spread", k->spread, 0, 2);
	if (error == 0)
		error = check_item(
		    src, "kinds", i, "cores", k->cores, CORES_MIN, CORES_MAX);
	(void)g_snprintf(path, sizeof(path), "kinds[%u].cores", i);
	if (error == 0 && k->cores > largest) {
		error = reject(src, path,
		    "%g is more than the largest worker has (%g)", k->cores,
		    largest);
	}
	(void)g_snprintf(path, sizeof(path), "kinds[%u].name", i);
	if (error == 0 && find_kind(day, k->name) != k)
		error = reject(src, path, "'%s' exists already", k->name);
	return (error);
}

static int
check_route(
    const struct source *src, const struct mlk_ideal_day *day, uint32_t i)
{
	const struct mlk_ideal_route *r = &day->routes[i];
	char path[PATH_MAX_BYTES];
	double sum = 0.0;
	uint32_t m;
	int error;

	error = check_item(src, "routes", i, "share", r->share, 0, 1);
	(void)g_snprintf(path, sizeof(path), "routes[%u].name", i);
	if (error == 0 && find_route(day, r->name) != r)
		error = reject(src, path, "'%s' exists already", r->name);
	for (m = 0; m < r->nmix && error == 0; m++) {
		(void)g_snprintf(
		    path, sizeof(path), "routes[%u].mix[%u].share", i, m);
		error = check_range(src, path, r->mix[m].share, 0, 1);
		sum += r->mix[m].share;
		(void)g_snprintf(
		    path, sizeof(path), "routes[%u].mix[%u].kind", i, m);
		if (error == 0 && find_kind(day, r->mix[m].kind) == NULL)
			error = reject(src, path, "no kind is called '%s'",
			    r->mix[m].kind);
	}
	(void)g_snprintf(path, sizeof(path), "routes[%u].mix", i);
	return (error != 0 ? error : check_sum(src, path, sum));
}

static int
check_workers(const struct source *src, const struct mlk_ideal_day *day)
{
	const struct mlk_ideal_workers *w;
	double count = 0.0;
	int error = 0;
	uint32_t i;

	for (i = 0; i < day->nworkers && error == 0; i++) {
		w = &day->workers[i];
		count += w->count;
		error = check_item(
		    src, "workers", i, "count", w->count, 1, WORKERS_MAX);
		if (error == 0)
			error = check_item(src, "workers", i, "cores", w->cores,
			    CORES_MIN, CORES_MAX);
		if (error == 0)
			error = check_item(src, "workers", i, "speed", w->speed,
			    SPEED_MIN, SPEED_MAX);
	}
	if (error == 0 && count > WORKERS_MAX)
		error = reject(src, "workers", "%.0f workers, at most %.0f",
		    count, WORKERS_MAX);
	return (error);
}

static int
check_flood(
    const struct source *src, const struct mlk_ideal_day *day, uint32_t i)
{
	const struct mlk_ideal_flood *f = &day->floods[i];
	char path[PATH_MAX_BYTES];
	int error;

	error = check_item(
	    src, "floods", i, "at", f->at_s, -day->warm_up_s, day->duration_s);
	if (error == 0)
		error = check_item(
		    src, "floods", i, "for", f->for_s, 0, DURATION_MAX_S);
	if (error == 0)
		error =
		    check_item(src, "floods", i, "load", f->load, 0, LOAD_MAX);
	(void)g_snprintf(path, sizeof(path), "floods[%u].route", i);
	if (error == 0 && find_route(day, f->route) == NULL)
		error = reject(src, path, "no route is called '%s'", f->route);
	return (error);
}

static int
check_scalars(const struct source *src, const struct mlk_ideal_day *day)
{
	const struct {
		const char *path;
		double value, min, max;
	} ranges[] = {
		{ "warm_up", day->warm_up_s, 0, DURATION_MAX_S },
		{ "duration", day->duration_s, MLK_IDEAL_WINDOW_S,
		    DURATION_MAX_S },
		{ "load", day->load, SHARE_SUM_TOLERANCE, LOAD_MAX },
		{ "goal.base_ms", day->goal.base_ms, 0, RUN_MAX_MS },
		{ "goal.factor", day->goal.factor, 0, FACTOR_MAX },
		{ "goal.late_factor", day->goal.late_factor, 1, FACTOR_MAX },
		{ "goal.late_worth", day->goal.late_worth, 0, 1 },
		{ "wave.period", day->wave == NULL ? 1 : day->wave->period_s,
		    SHARE_SUM_TOLERANCE, DURATION_MAX_S },
		{ "wave.swing", day->wave == NULL ? 0 : day->wave->swing, 0,
		    1 },
		{ "tail.share", day->tail == NULL ? 0 : day->tail->share, 0,
		    1 },
		{ "tail.factor", day->tail == NULL ? 1 : day->tail->factor, 1,
		    FACTOR_MAX },
	};
	int error = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ranges) && error == 0; i++)
		error = check_range(src, ranges[i].path, ranges[i].value,
		    ranges[i].min, ranges[i].max);
	return (error);
}

static int
check_day(const struct source *src, const struct mlk_ideal_day *day)
{
	double sum = 0.0;
	int error;
	uint32_t i;

	error = check_scalars(src, day);
	if (error == 0)
		error = check_workers(src, day);
	for (i = 0; i < day->nkinds && error == 0; i++)
		error = check_kind(src, day, i);
	for (i = 0; i < day->nroutes && error == 0; i++) {
		error = check_route(src, day, i);
		sum += day->routes[i].share;
	}
	if (error == 0)
		error = check_sum(src, "routes", sum);
	for (i = 0; i < day->nfloods && error == 0; i++)
		error = check_flood(src, day, i);
	return (error);
}

/* ---- reading ---------------------------------------------------------- */

/*
 * Sets the error of a document that does not follow the schema, from the log of
 * libcyaml: its first line is the cause, and the first line of its backtrace
 * gives the place.  Of a key that is unknown or repeated, that is the end of
 * the value before it.
 */
static int
reject_schema(const struct source *src, cyaml_err_t cerr, char *log)
{
	unsigned long n = logged_line(log);
	const char *cause = log, *where = "";

	log[strcspn(log, "\n")] = '\0';
	if (g_str_has_prefix(cause, "Load: "))
		cause += strlen("Load: ");
	if (strcmp(cause, "Backtrace:") == 0)
		return (mlk_error_set(src->err, MLK_ERR_SETTINGS,
		    "%s: line %lu: %s", src->name, n, cyaml_strerror(cerr)));
	if (cerr == CYAML_ERR_INVALID_KEY || cerr == CYAML_ERR_UNEXPECTED_EVENT)
		where = "after ";
	return (
	    mlk_error_set(src->err, MLK_ERR_SETTINGS, "%s: %sline %lu: %s (%s)",
		src->name, where, n, cause, cyaml_strerror(cerr)));
}

/*
 * Parses the text of a day file; messages begin with name and the line.  The
 * caller owns *out.  Returns 0 or MLK_ERR_SETTINGS.
 */
int
mlk_ideal_day_parse(const char *text, size_t len, const char *name,
    struct mlk_ideal_day **out, struct mlk_error *err)
{
	struct source src = {
		.name = name, .text = text, .len = len, .err = err
	};
	GString *log = g_string_new(NULL);
	cyaml_config_t config = cyaml_config(log);
	cyaml_err_t cerr;
	int error;

	*out = NULL;
	cerr = cyaml_load_data((const uint8_t *)text, len, &config, &day_schema,
	    (cyaml_data_t **)out, NULL);
	if (cerr != CYAML_OK) {
		error = reject_schema(&src, cerr, log->str);
	} else if (*out == NULL) {
		error = mlk_error_set(err, MLK_ERR_SETTINGS,
		    "%s: line 1: the file is empty", name);
	} else {
		error = check_day(&src, *out);
	}
	if (error != 0) {
		mlk_ideal_day_free(*out);
		*out = NULL;
	}
	(void)g_string_free(log, TRUE);
	return (error);
}

/*
 * Reads a day file.  The caller owns *out.  Returns 0, MLK_ERR_IO or
 * MLK_ERR_SETTINGS.
 */
int
mlk_ideal_day_read(
    const char *path, struct mlk_ideal_day **out, struct mlk_error *err)
{
	char *text;
	gsize len;
	int error;

	*out = NULL;
	error = mlk_load_file_read(path, &text, &len, err);
	if (error != 0)
		return (error);
	if (len > FILE_MAX) {
		error = mlk_error_set(err, MLK_ERR_SETTINGS,
		    "%s: %zu bytes, at most %u", path, len, FILE_MAX);
	} else {
		error = mlk_ideal_day_parse(text, len, path, out, err);
	}
	g_free(text);
	return (error);
}

void
mlk_ideal_day_free(struct mlk_ideal_day *day)
{
	cyaml_config_t config = cyaml_config(NULL);

	if (day != NULL)
		(void)cyaml_free(&config, &day_schema, day, 0);
}
