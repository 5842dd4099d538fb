/*
 * Checks that an answer has the id of its job and one element for each task, in
 * order, and that each result begins with the hexadecimal key and the index of
 * its task, which the stand-in endpoint writes into it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "check.h"

#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504
#define STARTS_LINE_MAX 512 /* bytes; a key, an index and a kind */

const char *
mlk_load_outcome_name(enum mlk_load_outcome outcome)
{
	static const char *const names[] = { "none", "complete", "failed",
		"refused", "unknown" };

	return (outcome < MLK_LOAD_OUTCOMES ? names[outcome] : "invalid");
}

/*
 * Returns whether a result begins with "KEY INDEX", followed by a space, a
 * newline or the end.
 */
bool
mlk_load_result_matches(
    struct mlk_key key, uint32_t index, const char *text, size_t len)
{
	char hex[MLK_KEY_HEX_LEN + 1], expected[MLK_KEY_HEX_LEN + 16];
	size_t n;

	mlk_key_format(key, hex);
	n = (size_t)snprintf(expected, sizeof(expected), "%s %u", hex, index);
	if (len < n || memcmp(text, expected, n) != 0)
		return (false);
	return (len == n || text[n] == ' ' || text[n] == '\n');
}

/*
 * Sets the reason, unless it is set already or text is NULL.
 */
static void
set_reason(struct mlk_load_verdict *out, const char *text)
{
	if (out->reason[0] == '\0' && text != NULL)
		(void)snprintf(out->reason, sizeof(out->reason), "%s", text);
}

/*
 * Checks one task of an answer.  Returns false when the answer is partial.
 */
static bool
check_task(struct mlk_key key, uint32_t index, const json_t *task,
    struct mlk_load_verdict *out)
{
	const json_t *result = json_object_get(task, "result");
	const char *status = json_string_value(json_object_get(task, "status"));

	if (status == NULL ||
	    json_integer_value(json_object_get(task, "index")) != index)
		return (false);
	if (strcmp(status, "done") == 0) {
		out->done++;
		if (!json_is_string(result))
			return (false);
		if (json_string_length(result) == 0 && out->discarded)
			return (true);
		if (!mlk_load_result_matches(key, index,
			json_string_value(result), json_string_length(result)))
			out->crossed = true;
		return (true);
	}
	if (strcmp(status, "failed") == 0)
		out->failed++;
	else if (strcmp(status, "not_run") == 0)
		out->not_run++;
	else if (strcmp(status, "unknown") == 0)
		out->unknown++;
	else
		return (false);
	set_reason(out, json_string_value(json_object_get(task, "error")));
	return (true);
}

static void
check_tasks(struct mlk_key key, uint32_t ntasks, const json_t *tasks,
    struct mlk_load_verdict *out)
{
	uint32_t i;

	if (json_array_size(tasks) != ntasks) {
		out->partial = true;
		return;
	}
	for (i = 0; i < ntasks; i++)
		if (!check_task(key, i, json_array_get(tasks, i), out))
			out->partial = true;
	if (out->outcome == MLK_LOAD_COMPLETE && out->done != ntasks)
		out->partial = true;
}

/*
 * Checks an answer that has an outcome.
 */
static void
check_outcome(const char *id, uint32_t ntasks, const json_t *root,
    struct mlk_load_verdict *out)
{
	const char *id_answered =
	    json_string_value(json_object_get(root, "id"));

	set_reason(out, json_string_value(json_object_get(root, "reason")));
	if (id_answered == NULL || strcmp(id_answered, id) != 0) {
		out->crossed = true;
		return;
	}
	/* Running tasks of a cancelled job end as done without a result. */
	out->discarded = out->outcome == MLK_LOAD_FAILED &&
	    strcmp(out->reason, "cancelled") == 0;
	if (out->outcome == MLK_LOAD_COMPLETE ||
	    out->outcome == MLK_LOAD_FAILED)
		check_tasks(mlk_key_from_id(id), ntasks,
		    json_object_get(root, "tasks"), out);
}

/*
 * Returns the outcome of that name, or MLK_LOAD_NONE.
 */
static enum mlk_load_outcome
find_outcome(const char *name)
{
	int i;

	for (i = MLK_LOAD_COMPLETE; name != NULL && i < MLK_LOAD_OUTCOMES;
	     i++) {
		if (strcmp(name,
			mlk_load_outcome_name((enum mlk_load_outcome)i)) == 0)
			return ((enum mlk_load_outcome)i);
	}
	return (MLK_LOAD_NONE);
}

/*
 * Reads an error object.  The statuses 503 and 504 do not tell whether the job
 * ran, so the caller may send it again; the error code "unknown" ends the job
 * as unknown.
 */
static void
check_error(int status, const json_t *error, struct mlk_load_verdict *out)
{
	const char *code = json_string_value(json_object_get(error, "code"));

	set_reason(out, json_string_value(json_object_get(error, "message")));
	set_reason(out, code);
	out->retry =
	    status == HTTP_UNAVAILABLE || status == HTTP_GATEWAY_TIMEOUT;
	if (code != NULL && strcmp(code, "unknown") == 0)
		out->outcome = MLK_LOAD_UNKNOWN;
}

/*
 * Checks an HTTP answer to the job id with ntasks tasks and fills *out.
 */
void
mlk_load_check(const char *id, uint32_t ntasks, int status, const uint8_t *body,
    size_t len, struct mlk_load_verdict *out)
{
	const json_t *error;
	json_t *root;

	memset(out, 0, sizeof(*out));
	root = json_loadb((const char *)body, len, JSON_ALLOW_NUL, NULL);
	if (root == NULL) {
		out->retry = status == HTTP_UNAVAILABLE ||
		    status == HTTP_GATEWAY_TIMEOUT;
		out->partial = status == HTTP_OK;
		(void)snprintf(out->reason, sizeof(out->reason),
		    "status %d without JSON", status);
		return;
	}
	error = json_object_get(root, "error");
	out->outcome =
	    find_outcome(json_string_value(json_object_get(root, "outcome")));
	if (out->outcome != MLK_LOAD_NONE)
		check_outcome(id, ntasks, root, out);
	else if (json_is_object(error))
		check_error(status, error, out);
	else
		(void)snprintf(out->reason, sizeof(out->reason),
		    "status %d without an outcome", status);
	json_decref(root);
}

struct mlk_load_start_log *
mlk_load_start_log_create(void)
{
	struct mlk_load_start_log *start_log =
	    g_new0(struct mlk_load_start_log, 1);

	start_log->starts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return (start_log);
}

void
mlk_load_start_log_free(struct mlk_load_start_log *start_log)
{
	if (start_log == NULL)
		return;
	g_hash_table_destroy(start_log->starts);
	g_free(start_log);
}

/*
 * Counts one line "KEY INDEX KIND" of a start log.
 */
void
mlk_load_start_log_add_line(
    struct mlk_load_start_log *start_log, const char *line)
{
	char hex[MLK_KEY_HEX_LEN + 1], *name;
	struct mlk_key key;
	unsigned int index;
	guint n;

	if (sscanf(line, "%32s %u", hex, &index) != 2 ||
	    !mlk_key_parse(hex, &key)) {
		start_log->bad_lines++;
		return;
	}
	name = g_strdup_printf("%s %u", hex, index);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(start_log->starts, name)) + 1;
	start_log->total++;
	if (n == 2)
		start_log->twice++;
	(void)g_hash_table_insert(start_log->starts, name, GUINT_TO_POINTER(n));
}

static int
read_file(struct mlk_load_start_log *start_log, const char *path,
    struct mlk_error *err)
{
	char line[STARTS_LINE_MAX];
	FILE *f = fopen(path, "r");

	if (f == NULL)
		return (mlk_error_set(err, MLK_ERR_IO, "cannot read %s", path));
	while (fgets(line, sizeof(line), f) != NULL)
		mlk_load_start_log_add_line(start_log, line);
	(void)fclose(f);
	return (0);
}

/*
 * Counts the starts in all start logs ("endpoint-N.starts.M") of a directory.
 * Returns 0 or MLK_ERR_IO.
 */
int
mlk_load_start_log_read_dir(struct mlk_load_start_log *start_log,
    const char *dir, struct mlk_error *err)
{
	GDir *d = g_dir_open(dir, 0, NULL);
	const char *name;
	int error = 0;
	char *path;

	if (d == NULL)
		return (mlk_error_set(err, MLK_ERR_IO, "cannot read %s", dir));
	while (error == 0 && (name = g_dir_read_name(d)) != NULL) {
		if (!g_str_has_prefix(name, "endpoint-") ||
		    strstr(name, ".starts.") == NULL)
			continue;
		path = g_build_filename(dir, name, NULL);
		error = read_file(start_log, path, err);
		g_free(path);
	}
	g_dir_close(d);
	return (error);
}

/*
 * Returns how many times a task started.
 */
uint32_t
mlk_load_start_log_count(const struct mlk_load_start_log *start_log,
    struct mlk_key key, uint32_t index)
{
	char hex[MLK_KEY_HEX_LEN + 1], name[MLK_KEY_HEX_LEN + 16];

	mlk_key_format(key, hex);
	(void)snprintf(name, sizeof(name), "%s %u", hex, index);
	return (GPOINTER_TO_UINT(g_hash_table_lookup(start_log->starts, name)));
}
