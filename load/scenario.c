/*
 * Reads scenario files with a libcyaml schema and checks what the schema cannot
 * express: that shares add up to 1, that min is not above max, and that the
 * targets of faults exist.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <glib.h>

#include "files.h"
#include "scenario.h"

#define SHARE_SUM_TOLERANCE 0.001
#define WORKERS_MAX 200U /* limits a run to a few hundred processes */
#define ENTRIES_MAX 50U
#define SLOTS_MAX 256U
#define TASKS_MAX 750U
#define DURATION_MAX_S 3600.0
#define DEFAULT_DURATION_S 30.0
#define DEFAULT_SEED 1U

#define OPT CYAML_FLAG_OPTIONAL
#define OPT_PTR (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)

static const cyaml_strval_t action_names[] = {
	{ "kill", MLK_LOAD_KILL },
	{ "stop", MLK_LOAD_STOP },
	{ "restart", MLK_LOAD_RESTART },
	{ "pause", MLK_LOAD_PAUSE },
	{ "control", MLK_LOAD_CONTROL },
	{ "cancel-wave", MLK_LOAD_CANCEL_WAVE },
};

static const cyaml_schema_field_t swing_fields[] = {
	CYAML_FIELD_FLOAT(
	    "period", CYAML_FLAG_DEFAULT, struct mlk_load_swing, period_s),
	CYAML_FIELD_FLOAT(
	    "crest", CYAML_FLAG_DEFAULT, struct mlk_load_swing, crest_s),
	CYAML_FIELD_FLOAT(
	    "factor", CYAML_FLAG_DEFAULT, struct mlk_load_swing, factor),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t kind_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct mlk_load_kind,
	    name, 1, MLK_KIND_NAME_MAX),
	CYAML_FIELD_FLOAT(
	    "share", CYAML_FLAG_DEFAULT, struct mlk_load_kind, share),
	CYAML_FIELD_UINT(
	    "min_ms", CYAML_FLAG_DEFAULT, struct mlk_load_kind, min_ms),
	CYAML_FIELD_UINT(
	    "max_ms", CYAML_FLAG_DEFAULT, struct mlk_load_kind, max_ms),
	CYAML_FIELD_FLOAT(
	    "straggler_share", OPT, struct mlk_load_kind, straggler_share),
	CYAML_FIELD_UINT(
	    "straggler_min_ms", OPT, struct mlk_load_kind, straggler_min_ms),
	CYAML_FIELD_UINT(
	    "straggler_max_ms", OPT, struct mlk_load_kind, straggler_max_ms),
	CYAML_FIELD_FLOAT(
	    "declared_factor", OPT, struct mlk_load_kind, declared_factor),
	CYAML_FIELD_BOOL("repeatable", OPT, struct mlk_load_kind, repeatable),
	CYAML_FIELD_UINT(
	    "result_bytes", OPT, struct mlk_load_kind, result_bytes),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t kind_value = {
	CYAML_VALUE_MAPPING(
	    CYAML_FLAG_DEFAULT, struct mlk_load_kind, kind_fields),
};

static const cyaml_schema_field_t size_fields[] = {
	CYAML_FIELD_FLOAT(
	    "share", CYAML_FLAG_DEFAULT, struct mlk_load_size, share),
	CYAML_FIELD_UINT("min", CYAML_FLAG_DEFAULT, struct mlk_load_size, min),
	CYAML_FIELD_UINT("max", CYAML_FLAG_DEFAULT, struct mlk_load_size, max),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t size_value = {
	CYAML_VALUE_MAPPING(
	    CYAML_FLAG_DEFAULT, struct mlk_load_size, size_fields),
};

static const cyaml_schema_field_t fault_fields[] = {
	CYAML_FIELD_FLOAT(
	    "at", CYAML_FLAG_DEFAULT, struct mlk_load_fault, at_s),
	CYAML_FIELD_ENUM("action", CYAML_FLAG_STRICT, struct mlk_load_fault,
	    action, action_names, CYAML_ARRAY_LEN(action_names)),
	CYAML_FIELD_STRING_PTR("target", OPT_PTR, struct mlk_load_fault, target,
	    0, CYAML_UNLIMITED),
	CYAML_FIELD_FLOAT("for", OPT, struct mlk_load_fault, for_s),
	CYAML_FIELD_STRING_PTR(
	    "body", OPT_PTR, struct mlk_load_fault, body, 0, CYAML_UNLIMITED),
	CYAML_FIELD_STRING_PTR(
	    "undo", OPT_PTR, struct mlk_load_fault, undo, 0, CYAML_UNLIMITED),
	CYAML_FIELD_FLOAT("share", OPT, struct mlk_load_fault, share),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t fault_value = {
	CYAML_VALUE_MAPPING(
	    CYAML_FLAG_DEFAULT, struct mlk_load_fault, fault_fields),
};

static const cyaml_schema_value_t team_value = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, MLK_KIND_NAME_MAX),
};

static const cyaml_schema_field_t scenario_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER,
	    struct mlk_load_scenario, name, 1, CYAML_UNLIMITED),
	CYAML_FIELD_FLOAT(
	    "duration", OPT, struct mlk_load_scenario, duration_s),
	CYAML_FIELD_FLOAT("warm_up", OPT, struct mlk_load_scenario, warm_up_s),
	CYAML_FIELD_UINT("seed", OPT, struct mlk_load_scenario, seed),
	CYAML_FIELD_UINT(
	    "entries", CYAML_FLAG_DEFAULT, struct mlk_load_scenario, entries),
	CYAML_FIELD_UINT(
	    "workers", CYAML_FLAG_DEFAULT, struct mlk_load_scenario, workers),
	CYAML_FIELD_UINT(
	    "slots", CYAML_FLAG_DEFAULT, struct mlk_load_scenario, slots),
	CYAML_FIELD_FLOAT("load", OPT, struct mlk_load_scenario, load),
	CYAML_FIELD_FLOAT("rate", OPT, struct mlk_load_scenario, rate),
	CYAML_FIELD_MAPPING_PTR(
	    "swing", OPT_PTR, struct mlk_load_scenario, swing, swing_fields),
	CYAML_FIELD_SEQUENCE_COUNT("kinds", CYAML_FLAG_POINTER,
	    struct mlk_load_scenario, kinds, nkinds, &kind_value, 1,
	    CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE_COUNT("tasks_per_job", OPT_PTR,
	    struct mlk_load_scenario, sizes, nsizes, &size_value, 0,
	    CYAML_UNLIMITED),
	CYAML_FIELD_UINT(
	    "deadline_ms", OPT, struct mlk_load_scenario, deadline_ms),
	CYAML_FIELD_SEQUENCE_COUNT("teams", OPT_PTR, struct mlk_load_scenario,
	    teams, nteams, &team_value, 0, CYAML_UNLIMITED),
	CYAML_FIELD_BOOL(
	    "issued_ids", OPT, struct mlk_load_scenario, issued_ids),
	CYAML_FIELD_FLOAT(
	    "resubmit_share", OPT, struct mlk_load_scenario, resubmit_share),
	CYAML_FIELD_FLOAT(
	    "cancel_share", OPT, struct mlk_load_scenario, cancel_share),
	CYAML_FIELD_SEQUENCE_COUNT("faults", OPT_PTR, struct mlk_load_scenario,
	    faults, nfaults, &fault_value, 0, CYAML_UNLIMITED),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t scenario_schema = {
	CYAML_VALUE_MAPPING(
	    CYAML_FLAG_POINTER, struct mlk_load_scenario, scenario_fields),
};

/*
 * Collects the log lines of libcyaml: they name the key and the line of an
 * error.
 */
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
	};

	return (config);
}

static bool
is_fraction(double share)
{
	return (share >= 0.0 && share <= 1.0);
}

static int
check_kinds(const struct mlk_load_scenario *sc, struct mlk_error *err)
{
	const struct mlk_load_kind *k;
	double sum = 0.0;
	uint32_t i;

	for (i = 0; i < sc->nkinds; i++) {
		k = &sc->kinds[i];
		sum += k->share;
		if (!is_fraction(k->share) || !is_fraction(k->straggler_share))
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "kind %s: shares must be within 0..1", k->name));
		if (k->min_ms > k->max_ms ||
		    k->straggler_min_ms > k->straggler_max_ms)
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "kind %s: min is above max", k->name));
		if (k->straggler_share > 0.0 && k->straggler_max_ms == 0) {
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "kind %s: straggler_share needs straggler_max_ms",
			    k->name));
		}
	}
	if (sum < 1.0 - SHARE_SUM_TOLERANCE || sum > 1.0 + SHARE_SUM_TOLERANCE)
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "kinds: shares add up to %.3f, expected 1", sum));
	return (0);
}

static int
check_sizes(const struct mlk_load_scenario *sc, struct mlk_error *err)
{
	double sum = 0.0;
	uint32_t i;

	for (i = 0; i < sc->nsizes; i++) {
		sum += sc->sizes[i].share;
		if (sc->sizes[i].min == 0 ||
		    sc->sizes[i].min > sc->sizes[i].max ||
		    sc->sizes[i].max > TASKS_MAX) {
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "tasks_per_job: expected 1 <= min <= max <= %u",
			    TASKS_MAX));
		}
	}
	if (sc->nsizes > 0 &&
	    (sum < 1.0 - SHARE_SUM_TOLERANCE ||
		sum > 1.0 + SHARE_SUM_TOLERANCE))
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "tasks_per_job: shares add up to %.3f, expected 1", sum));
	return (0);
}

/*
 * Returns whether target names a process of the scenario: "platform", or one
 * of "entry-N", "agent-N" and "endpoint-N" counted from 1.
 */
static bool
target_exists(const struct mlk_load_scenario *sc, const char *target)
{
	unsigned int n;
	int end = 0;

	if (target == NULL)
		return (false);
	if (strcmp(target, "platform") == 0)
		return (true);
	if (sscanf(target, "entry-%u%n", &n, &end) == 1)
		return (target[end] == '\0' && n >= 1 && n <= sc->entries);
	if (sscanf(target, "agent-%u%n", &n, &end) == 1 ||
	    sscanf(target, "endpoint-%u%n", &n, &end) == 1)
		return (target[end] == '\0' && n >= 1 && n <= sc->workers);
	return (false);
}

static int
check_faults(const struct mlk_load_scenario *sc, struct mlk_error *err)
{
	const struct mlk_load_fault *f;
	uint32_t i;

	for (i = 0; i < sc->nfaults; i++) {
		f = &sc->faults[i];
		if (f->at_s < 0.0 || f->for_s < 0.0)
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "faults[%u]: times must not be negative", i));
		if (f->action == MLK_LOAD_CANCEL_WAVE) {
			if (f->share <= 0.0 || f->share > 1.0)
				return (mlk_error_set(err, MLK_ERR_SETTINGS,
				    "faults[%u]: share must be in (0, 1]", i));
			continue;
		}
		if (!target_exists(sc, f->target)) {
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "faults[%u]: no process is called '%s'", i,
			    f->target == NULL ? "" : f->target));
		}
		if (f->action == MLK_LOAD_CONTROL && f->body == NULL)
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "faults[%u]: control needs a body", i));
		if (f->action == MLK_LOAD_CONTROL && f->for_s > 0.0 &&
		    f->undo == NULL)
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "faults[%u]: 'for' needs 'undo'", i));
		if (f->action == MLK_LOAD_PAUSE && f->for_s <= 0.0)
			return (mlk_error_set(err, MLK_ERR_SETTINGS,
			    "faults[%u]: pause needs 'for'", i));
	}
	return (0);
}

static int
check_scale(const struct mlk_load_scenario *sc, struct mlk_error *err)
{
	const struct mlk_load_swing *s = sc->swing;

	if (sc->entries == 0 || sc->entries > ENTRIES_MAX || sc->workers == 0 ||
	    sc->workers > WORKERS_MAX || sc->slots == 0 ||
	    sc->slots > SLOTS_MAX) {
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "expected 1..%u entries, 1..%u workers, 1..%u slots",
		    ENTRIES_MAX, WORKERS_MAX, SLOTS_MAX));
	}
	if ((sc->load > 0.0) == (sc->rate > 0.0))
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "expected either load or rate, above 0"));
	if (sc->duration_s <= 0.0 || sc->duration_s > DURATION_MAX_S ||
	    sc->warm_up_s < 0.0 || sc->warm_up_s > DURATION_MAX_S) {
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "duration and warm_up must be within 0..%.0f s",
		    DURATION_MAX_S));
	}
	if (!is_fraction(sc->resubmit_share) || !is_fraction(sc->cancel_share))
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "resubmit_share and cancel_share must be within 0..1"));
	if (s != NULL &&
	    (s->period_s <= 0.0 || s->crest_s <= 0.0 ||
		s->crest_s >= s->period_s || s->factor <= 0.0))
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "swing: expected 0 < crest < period and factor above 0"));
	return (0);
}

/*
 * Sets the defaults and checks the scenario.  Returns 0 or MLK_ERR_SETTINGS.
 */
static int
check_scenario(struct mlk_load_scenario *sc, struct mlk_error *err)
{
	int error;

	if (sc->duration_s == 0.0)
		sc->duration_s = DEFAULT_DURATION_S;
	if (sc->seed == 0)
		sc->seed = DEFAULT_SEED;
	error = check_scale(sc, err);
	if (error == 0)
		error = check_kinds(sc, err);
	if (error == 0)
		error = check_sizes(sc, err);
	if (error == 0)
		error = check_faults(sc, err);
	return (error);
}

/*
 * Parses the text of a scenario; error messages begin with name.  The caller
 * owns *out.  Returns 0, or MLK_ERR_SETTINGS with a message that gives the
 * reason and, for an error of the schema, the key and the line.
 */
int
mlk_load_scenario_parse(const char *text, size_t len, const char *name,
    struct mlk_load_scenario **out, struct mlk_error *err)
{
	GString *log = g_string_new(NULL);
	cyaml_config_t config = cyaml_config(log);
	struct mlk_error inner;
	cyaml_err_t cerr;
	int error = 0;

	*out = NULL;
	cerr = cyaml_load_data((const uint8_t *)text, len, &config,
	    &scenario_schema, (cyaml_data_t **)out, NULL);
	if (cerr != CYAML_OK) {
		g_strdelimit(g_strchomp(log->str), "\n", ';');
		error = mlk_error_set(err, MLK_ERR_SETTINGS, "%s: %s: %s", name,
		    cyaml_strerror(cerr), log->str);
	} else if (*out == NULL) {
		error = mlk_error_set(
		    err, MLK_ERR_SETTINGS, "%s: the file is empty", name);
	} else if (check_scenario(*out, &inner) != 0) {
		error = mlk_error_set(
		    err, MLK_ERR_SETTINGS, "%s: %s", name, inner.msg);
		mlk_load_scenario_free(*out);
		*out = NULL;
	}
	(void)g_string_free(log, TRUE);
	return (error);
}

/*
 * Reads a scenario file.  The caller owns *out.  Returns 0, MLK_ERR_IO or
 * MLK_ERR_SETTINGS.
 */
int
mlk_load_scenario_read(
    const char *path, struct mlk_load_scenario **out, struct mlk_error *err)
{
	char *text;
	gsize len;
	int error;

	*out = NULL;
	error = mlk_load_file_read(path, &text, &len, err);
	if (error != 0)
		return (error);
	error = mlk_load_scenario_parse(text, len, path, out, err);
	g_free(text);
	return (error);
}

/*
 * Replaces the number of workers.  Returns 0, or MLK_ERR_SETTINGS when it is
 * out of range or a fault names a worker that no longer exists.
 */
int
mlk_load_scenario_set_workers(
    struct mlk_load_scenario *sc, uint32_t workers, struct mlk_error *err)
{
	sc->workers = workers;
	return (check_scenario(sc, err));
}

void
mlk_load_scenario_free(struct mlk_load_scenario *sc)
{
	cyaml_config_t config = cyaml_config(NULL);

	if (sc != NULL)
		(void)cyaml_free(&config, &scenario_schema, sc, 0);
}

/*
 * Returns whether the mean run time of a kind, without its stragglers, is above
 * MLK_LOAD_LONG_MS.
 */
bool
mlk_load_kind_is_long(const struct mlk_load_kind *kind)
{
	return (kind->min_ms / 2 + kind->max_ms / 2 > MLK_LOAD_LONG_MS);
}
