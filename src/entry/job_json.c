/*
 * Parses the bodies of job submissions and formats answers.
 *
 * The whole body is validated before any task of the job is queued: types,
 * ranges, unknown keys, the number of tasks and the size of each payload.  An
 * error names the field, so that a caller can find it in a job of up to 750
 * tasks.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <xxhash.h>

#include "job_json.h"

#define DEADLINE_MAX_MS (24U * 60 * 60 * 1000)
#define DECLARED_MAX_MS (24U * 60 * 60 * 1000)

/*
 * Sets err; returns MLK_ERR_INVALID.
 */
static int field_error(struct mlk_field_error *err, const char *field,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

static int
field_error(
    struct mlk_field_error *err, const char *field, const char *fmt, ...)
{
	va_list ap;

	(void)snprintf(err->field, sizeof(err->field), "%s", field);
	va_start(ap, fmt);
	(void)vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	return (MLK_ERR_INVALID);
}

static const char *
type_name(const json_t *value)
{
	switch (json_typeof(value)) {
	case JSON_OBJECT:
		return ("an object");
	case JSON_ARRAY:
		return ("an array");
	case JSON_STRING:
		return ("a string");
	case JSON_INTEGER:
		return ("an integer");
	case JSON_REAL:
		return ("a real number");
	case JSON_TRUE:
	case JSON_FALSE:
		return ("a boolean");
	case JSON_NULL:
		return ("null");
	}
	return ("an unknown type");
}

/*
 * Returns whether `id` is a valid job id: 1 to MLK_ID_MAX - 1 letters, digits
 * and "._:-", so that it needs no escaping in a URL path.
 */
bool
mlk_job_id_valid(const char *id)
{
	size_t len = strlen(id);

	return (len > 0 && len < MLK_ID_MAX &&
	    strspn(id,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789._:-") == len);
}

/*
 * Copies a string value to *out.  If the value is absent (NULL), *out stays
 * unchanged, here and in the other parse functions for a single value.
 */
static int
parse_string(const json_t *value, const char *field, char *out, size_t size,
    struct mlk_field_error *err)
{
	size_t len;

	if (value == NULL)
		return (0);
	if (!json_is_string(value))
		return (field_error(err, field, "expected a string, found %s",
		    type_name(value)));
	len = json_string_length(value);
	if (len == 0 || len >= size)
		return (field_error(err, field,
		    "expected 1..%zu bytes, found %zu", size - 1, len));
	if (strlen(json_string_value(value)) != len)
		return (field_error(err, field, "contains a NUL byte"));
	memcpy(out, json_string_value(value), len + 1);
	return (0);
}

static int
parse_number(const json_t *value, const char *field, uint32_t max,
    uint32_t *out, struct mlk_field_error *err)
{
	json_int_t n;

	if (value == NULL)
		return (0);
	if (!json_is_integer(value))
		return (field_error(err, field, "expected an integer, found %s",
		    type_name(value)));
	n = json_integer_value(value);
	if (n < 0 || n > (json_int_t)max)
		return (field_error(err, field,
		    "expected 0..%u, found %" JSON_INTEGER_FORMAT, max, n));
	*out = (uint32_t)n;
	return (0);
}

static int
parse_bool(const json_t *value, const char *field, bool *out,
    struct mlk_field_error *err)
{
	if (value == NULL)
		return (0);
	if (!json_is_boolean(value))
		return (field_error(err, field, "expected a boolean, found %s",
		    type_name(value)));
	*out = json_is_true(value);
	return (0);
}

/*
 * Rejects an object that has a key outside the NULL-terminated list.
 */
static int
check_keys(
    json_t *object, const char *const *known, struct mlk_field_error *err)
{
	char field[96];
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach(object, key, value)
	{
		for (i = 0; known[i] != NULL; i++) {
			if (strcmp(key, known[i]) == 0)
				break;
		}
		if (known[i] == NULL) {
			(void)snprintf(field, sizeof(field), "%.64s", key);
			return (field_error(err, field, "unknown field"));
		}
	}
	return (0);
}

static int
parse_payload(const json_t *value, const char *field, struct mlk_blob *out,
    struct mlk_field_error *err)
{
	size_t len;

	if (value == NULL)
		return (0);
	if (!json_is_string(value))
		return (field_error(err, field, "expected a string, found %s",
		    type_name(value)));
	len = json_string_length(value);
	if (len > MLK_PAYLOAD_MAX) {
		return (field_error(err, field,
		    "expected at most %d bytes, found %zu", MLK_PAYLOAD_MAX,
		    len));
	}
	return (mlk_blob_copy(out, json_string_value(value), len));
}

/*
 * Parses one task.  An error names the field relative to the task; "" is the
 * task itself.
 */
static int
parse_task(
    json_t *object, struct mlk_task_spec *task, struct mlk_field_error *err)
{
	static const char *const known[] = { "kind", "payload", "repeatable",
		"declared_ms", NULL };
	json_t *kind;
	int error;

	if (!json_is_object(object))
		return (field_error(err, "", "expected an object, found %s",
		    type_name(object)));
	if ((error = check_keys(object, known, err)) != 0)
		return (error);
	kind = json_object_get(object, "kind");
	if (kind == NULL)
		return (field_error(err, "kind", "missing"));
	if ((error = parse_string(
		 kind, "kind", task->kind, sizeof(task->kind), err)) != 0)
		return (error);
	if ((error = parse_payload(json_object_get(object, "payload"),
		 "payload", &task->payload, err)) != 0)
		return (error);
	task->repeatable = false;
	if ((error = parse_bool(json_object_get(object, "repeatable"),
		 "repeatable", &task->repeatable, err)) != 0)
		return (error);
	return (parse_number(json_object_get(object, "declared_ms"),
	    "declared_ms", DECLARED_MAX_MS, &task->declared_ms, err));
}

/*
 * Prefixes the field of an error with "tasks[INDEX]".
 */
static void
prefix_task_field(struct mlk_field_error *err, size_t index)
{
	char field[sizeof(err->field)];

	(void)snprintf(field, sizeof(field), "%s", err->field);
	(void)snprintf(err->field, sizeof(err->field), "tasks[%zu]%s%.72s",
	    index, field[0] == '\0' ? "" : ".", field);
}

static int
parse_tasks(
    json_t *tasks, struct mlk_job_spec *spec, struct mlk_field_error *err)
{
	size_t i, n, bytes = 0;
	char field[64];
	int error;

	if (tasks == NULL)
		return (field_error(err, "tasks", "missing"));
	if (!json_is_array(tasks))
		return (field_error(err, "tasks", "expected an array, found %s",
		    type_name(tasks)));
	n = json_array_size(tasks);
	if (n == 0 || n > MLK_TASKS_MAX)
		return (field_error(err, "tasks",
		    "expected 1..%d tasks, found %zu", MLK_TASKS_MAX, n));
	spec->tasks = calloc(n, sizeof(*spec->tasks));
	if (spec->tasks == NULL)
		return (MLK_ERR_NOMEM);
	spec->ntasks = (uint32_t)n;
	for (i = 0; i < n; i++) {
		error =
		    parse_task(json_array_get(tasks, i), &spec->tasks[i], err);
		if (error == MLK_ERR_INVALID)
			prefix_task_field(err, i);
		if (error != 0)
			return (error);
		bytes += spec->tasks[i].payload.len;
		if (bytes <= MLK_JOB_BYTES_MAX)
			continue;
		(void)snprintf(field, sizeof(field), "tasks[%zu].payload", i);
		return (field_error(err, field,
		    "expected at most %d bytes in all payloads of a job",
		    MLK_JOB_BYTES_MAX));
	}
	return (0);
}

/*
 * Returns a hash of all fields of the job except its id.  Names are hashed with
 * their terminating NUL and each payload after its length, so that moving a
 * byte between two fields changes the digest.
 */
static struct mlk_key
spec_digest(const struct mlk_job_spec *spec)
{
	XXH3_state_t *state = XXH3_createState();
	const struct mlk_task_spec *task;
	XXH128_hash_t hash;
	uint32_t i, fixed[3]; /* fixed-size fields of the job or a task */

	(void)XXH3_128bits_reset(state);
	(void)XXH3_128bits_update(state, spec->team, strlen(spec->team) + 1);
	fixed[0] = spec->deadline_ms;
	fixed[1] = spec->ntasks;
	(void)XXH3_128bits_update(state, fixed, 2 * sizeof(fixed[0]));
	for (i = 0; i < spec->ntasks; i++) {
		task = &spec->tasks[i];
		fixed[0] = task->payload.len;
		fixed[1] = task->declared_ms;
		fixed[2] = task->repeatable;
		(void)XXH3_128bits_update(state, fixed, sizeof(fixed));
		(void)XXH3_128bits_update(
		    state, task->kind, strlen(task->kind) + 1);
		(void)XXH3_128bits_update(
		    state, task->payload.data, task->payload.len);
	}
	hash = XXH3_128bits_digest(state);
	(void)XXH3_freeState(state);
	return ((struct mlk_key){ .lo = hash.low64, .hi = hash.high64 });
}

static int
parse_job(json_t *root, struct mlk_job_spec *spec, bool *wait,
    struct mlk_field_error *err)
{
	static const char *const known[] = { "id", "team", "deadline_ms",
		"tasks", "wait", NULL };
	int error;

	if (!json_is_object(root))
		return (field_error(
		    err, "", "expected an object, found %s", type_name(root)));
	if ((error = check_keys(root, known, err)) != 0)
		return (error);
	if (json_object_get(root, "id") == NULL)
		return (field_error(err, "id", "missing"));
	if ((error = parse_string(json_object_get(root, "id"), "id", spec->id,
		 sizeof(spec->id), err)) != 0)
		return (error);
	if (!mlk_job_id_valid(spec->id))
		return (field_error(
		    err, "id", "expected letters, digits and \"._:-\" only"));
	(void)snprintf(spec->team, sizeof(spec->team), "default");
	if ((error = parse_string(json_object_get(root, "team"), "team",
		 spec->team, sizeof(spec->team), err)) != 0)
		return (error);
	if ((error = parse_number(json_object_get(root, "deadline_ms"),
		 "deadline_ms", DEADLINE_MAX_MS, &spec->deadline_ms, err)) != 0)
		return (error);
	*wait = true;
	if ((error = parse_bool(
		 json_object_get(root, "wait"), "wait", wait, err)) != 0)
		return (error);
	return (parse_tasks(json_object_get(root, "tasks"), spec, err));
}

/*
 * Parses a job from the body of POST /v1/jobs.  On success the caller owns spec
 * and clears it with mlk_job_spec_clear().  Returns 0, MLK_ERR_INVALID with err
 * set, or MLK_ERR_NOMEM.
 */
int
mlk_job_json_parse(const uint8_t *body, size_t len, struct mlk_job_spec *spec,
    bool *wait, struct mlk_field_error *err)
{
	json_error_t json_error;
	json_t *root;
	int error;

	memset(spec, 0, sizeof(*spec));
	memset(err, 0, sizeof(*err));
	root = json_loadb((const char *)body, len,
	    JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &json_error);
	if (root == NULL)
		return (field_error(err, "", "not JSON: line %d: %.100s",
		    json_error.line, json_error.text));
	error = parse_job(root, spec, wait, err);
	json_decref(root);
	if (error != 0) {
		mlk_job_spec_clear(spec);
		return (error);
	}
	spec->digest = spec_digest(spec);
	return (0);
}

/*
 * Adds bytes to an object: as a string if they are valid UTF-8, otherwise as
 * base64 under the key "NAME_base64".
 */
static void
set_bytes(json_t *object, const char *name, const struct mlk_blob *blob)
{
	char key[32];
	json_t *text;
	char *encoded;

	text = json_stringn(
	    blob->len == 0 ? "" : (const char *)blob->data, blob->len);
	if (text != NULL) {
		(void)json_object_set_new(object, name, text);
		return;
	}
	(void)snprintf(key, sizeof(key), "%s_base64", name);
	encoded = g_base64_encode(blob->data, blob->len);
	(void)json_object_set_new(object, key, json_string(encoded));
	g_free(encoded);
}

static json_t *
task_json(uint32_t index, const struct mlk_task_result *task)
{
	json_t *object = json_object();

	(void)json_object_set_new(object, "index", json_integer(index));
	(void)json_object_set_new(
	    object, "status", json_string(mlk_task_status_name(task->status)));
	if (task->worker[0] != '\0')
		(void)json_object_set_new(
		    object, "worker", json_string(task->worker));
	if (task->status == MLK_TASK_DONE || task->status == MLK_TASK_FAILED)
		(void)json_object_set_new(
		    object, "run_ms", json_integer(task->run_ms));
	if (task->status == MLK_TASK_DONE)
		set_bytes(object, "result", &task->payload);
	else if (task->payload.len > 0)
		set_bytes(object, "error", &task->payload);
	return (object);
}

/*
 * Returns an answer as JSON text, which the caller frees with free(), or NULL
 * when out of memory.
 */
char *
mlk_job_json_answer(const char *id, const struct mlk_job_answer *answer)
{
	json_t *root = json_object();
	json_t *tasks;
	uint32_t i;
	char *text;

	(void)json_object_set_new(root, "id", json_string(id));
	(void)json_object_set_new(
	    root, "outcome", json_string(mlk_outcome_name(answer->outcome)));
	if (answer->reason[0] != '\0')
		(void)json_object_set_new(
		    root, "reason", json_string(answer->reason));
	if (answer->outcome == MLK_OUTCOME_REFUSED)
		(void)json_object_set_new(root, "retry_after_ms",
		    json_integer(answer->retry_after_ms));
	if (answer->ntasks > 0) {
		tasks = json_array();
		for (i = 0; i < answer->ntasks; i++)
			(void)json_array_append_new(
			    tasks, task_json(i, &answer->tasks[i]));
		(void)json_object_set_new(root, "tasks", tasks);
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return (text);
}
