/*
 * Tests of the HTTP API's JSON: parsing of jobs and formatting of answers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

#include "../src/entry/job_json.h"

static int
parse(const char *body, struct mlk_job_spec *spec, struct mlk_field_error *err)
{
	bool wait;

	return (mlk_job_json_parse(
	    (const uint8_t *)body, strlen(body), spec, &wait, err));
}

/*
 * Asserts that the body is rejected with an error that names the field.
 */
static void
assert_field_error(const char *body, const char *field)
{
	struct mlk_field_error err;
	struct mlk_job_spec spec;

	assert_int_equal(parse(body, &spec, &err), MLK_ERR_INVALID);
	assert_string_equal(err.field, field);
	assert_true(err.message[0] != '\0');
	assert_null(spec.tasks);
}

/*
 * Guards against an invalid body that is accepted, and against an error that
 * does not name the field in which a caller made the mistake.
 */
static void
test_errors_name_the_field(void **state)
{
	(void)state;
	assert_field_error("", "");
	assert_field_error("[1]", "");
	assert_field_error("{\"id\":\"a\"}", "tasks");
	assert_field_error("{\"tasks\":[{\"kind\":\"k\"}]}", "id");
	assert_field_error("{\"id\":7,\"tasks\":[{\"kind\":\"k\"}]}", "id");
	assert_field_error(
	    "{\"id\":\"a b\",\"tasks\":[{\"kind\":\"k\"}]}", "id");
	assert_field_error("{\"id\":\"a\",\"tasks\":[]}", "tasks");
	assert_field_error("{\"id\":\"a\",\"tasks\":[{}]}", "tasks[0].kind");
	assert_field_error(
	    "{\"id\":\"a\",\"tasks\":[{\"kind\":\"k\"},{\"kind\":3}]}",
	    "tasks[1].kind");
	assert_field_error(
	    "{\"id\":\"a\",\"tasks\":[{\"kind\":\"k\",\"colour\":1}]}",
	    "tasks[0].colour");
	assert_field_error(
	    "{\"id\":\"a\",\"speed\":1,\"tasks\":[{\"kind\":\"k\"}]}", "speed");
	assert_field_error(
	    "{\"id\":\"a\",\"deadline_ms\":-1,\"tasks\":[{\"kind\":\"k\"}]}",
	    "deadline_ms");
	assert_field_error(
	    "{\"id\":\"a\",\"tasks\":[{\"kind\":\"k\",\"repeatable\":1}]}",
	    "tasks[0].repeatable");
	assert_field_error(
	    "{\"id\":\"a\",\"id\":\"b\",\"tasks\":[{\"kind\":\"k\"}]}", "");
}

/*
 * Guards against a job with more tasks than MLK_TASKS_MAX that is accepted, and
 * against one with exactly as many that is rejected.
 */
static void
test_task_limit(void **state)
{
	struct mlk_field_error err;
	struct mlk_job_spec spec;
	json_t *root, *tasks = json_array();
	char *text;
	int i;

	(void)state;
	for (i = 0; i < MLK_TASKS_MAX; i++)
		json_array_append_new(tasks, json_pack("{s:s}", "kind", "k"));
	root = json_pack("{s:s,s:O}", "id", "a", "tasks", tasks);
	text = json_dumps(root, 0);
	assert_int_equal(parse(text, &spec, &err), 0);
	assert_int_equal(spec.ntasks, MLK_TASKS_MAX);
	mlk_job_spec_clear(&spec);
	free(text);
	json_array_append_new(tasks, json_pack("{s:s}", "kind", "k"));
	text = json_dumps(root, 0);
	assert_field_error(text, "tasks");
	free(text);
	json_decref(tasks);
	json_decref(root);
}

/*
 * Guards against a job that cannot be forwarded, because the sum of its
 * payloads does not fit into one message.
 */
static void
test_payload_limit(void **state)
{
	uint32_t n = MLK_JOB_BYTES_MAX / MLK_PAYLOAD_MAX;
	struct mlk_field_error err;
	struct mlk_job_spec spec;
	json_t *root, *tasks = json_array();
	char *payload, *text;
	uint32_t i;

	(void)state;
	payload = malloc(MLK_PAYLOAD_MAX + 1);
	assert_non_null(payload);
	memset(payload, 'x', MLK_PAYLOAD_MAX);
	payload[MLK_PAYLOAD_MAX] = '\0';
	for (i = 0; i < n; i++)
		json_array_append_new(tasks,
		    json_pack("{s:s,s:s}", "kind", "k", "payload", payload));
	root = json_pack("{s:s,s:O}", "id", "a", "tasks", tasks);
	text = json_dumps(root, 0);
	assert_int_equal(parse(text, &spec, &err), 0);
	mlk_job_spec_clear(&spec);
	free(text);
	json_array_append_new(
	    tasks, json_pack("{s:s,s:s}", "kind", "k", "payload", "x"));
	text = json_dumps(root, 0);
	assert_field_error(text, "tasks[128].payload");
	free(text);
	free(payload);
	json_decref(tasks);
	json_decref(root);
}

/*
 * Guards against a different body that is answered as a repeated submission of
 * the same id, and against a repeated one that is rejected only because its
 * keys are in another order.
 */
static void
test_digest_distinguishes_bodies(void **state)
{
	static const char *const bodies[] = {
		"{\"id\":\"a\",\"tasks\":[{\"kind\":\"k\",\"payload\":\"x\"}]}",
		"{\"id\":\"a\",\"tasks\":[{\"kind\":\"k\",\"payload\":\"y\"}]}",
		"{\"id\":\"a\",\"tasks\":[{\"kind\":\"kx\"}]}",
		"{\"id\":\"a\",\"tasks\":[{\"kind\":\"k\",\"payload\":\"x\","
		"\"repeatable\":true}]}",
		"{\"id\":\"a\",\"team\":\"t\",\"tasks\":[{\"kind\":\"k\","
		"\"payload\":\"x\"}]}",
	};
	struct mlk_job_spec specs[5], again;
	struct mlk_field_error err;
	int i, j;

	(void)state;
	for (i = 0; i < 5; i++)
		assert_int_equal(parse(bodies[i], &specs[i], &err), 0);
	for (i = 0; i < 5; i++) {
		for (j = 0; j < i; j++)
			assert_false(
			    mlk_key_equal(specs[i].digest, specs[j].digest));
	}
	assert_int_equal(parse("{\"tasks\":[{\"payload\":\"x\",\"kind\":\"k\"}]"
			       ",\"wait\":false,\"id\":\"a\"}",
			     &again, &err),
	    0);
	assert_true(mlk_key_equal(again.digest, specs[0].digest));
	mlk_job_spec_clear(&again);
	for (i = 0; i < 5; i++)
		mlk_job_spec_clear(&specs[i]);
}

/*
 * Guards against a result that is missing from the answer because it is not
 * valid UTF-8.
 */
static void
test_answer_with_binary_result(void **state)
{
	struct mlk_task_result tasks[2] = { 0 };
	struct mlk_job_answer answer = { 0 };
	json_t *root, *items;
	char *text;

	(void)state;
	answer.outcome = MLK_OUTCOME_COMPLETE;
	answer.ntasks = 2;
	answer.tasks = tasks;
	tasks[0].status = tasks[1].status = MLK_TASK_DONE;
	mlk_blob_copy(&tasks[0].payload, "map", 3);
	mlk_blob_copy(&tasks[1].payload, "\xff\x00", 2);
	text = mlk_job_json_answer("a", &answer);
	root = json_loads(text, 0, NULL);
	items = json_object_get(root, "tasks");
	assert_int_equal(json_array_size(items), 2);
	assert_string_equal(json_string_value(json_object_get(
				json_array_get(items, 0), "result")),
	    "map");
	assert_string_equal(json_string_value(json_object_get(
				json_array_get(items, 1), "result_base64")),
	    "/wA=");
	json_decref(root);
	free(text);
	mlk_blob_clear(&tasks[0].payload);
	mlk_blob_clear(&tasks[1].payload);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_errors_name_the_field),
		cmocka_unit_test(test_task_limit),
		cmocka_unit_test(test_payload_limit),
		cmocka_unit_test(test_digest_distinguishes_bodies),
		cmocka_unit_test(test_answer_with_binary_result),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
