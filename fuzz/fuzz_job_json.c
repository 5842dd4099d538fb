/*
 * Fuzz target for the job parser.  The input is the body of POST /v1/jobs.  An
 * accepted job must keep the documented limits and have the same digest when it
 * is parsed again; a rejected one must leave no tasks allocated and an error
 * message.
 */
#include <stdlib.h>
#include <string.h>

#include "../src/entry/job_json.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check(bool holds)
{
	if (!holds)
		abort();
}

static void
check_spec(const struct mlk_job_spec *spec)
{
	uint32_t i;

	check(mlk_job_id_valid(spec->id));
	check(spec->team[0] != '\0' && strlen(spec->team) < sizeof(spec->team));
	check(spec->ntasks >= 1 && spec->ntasks <= MLK_TASKS_MAX);
	for (i = 0; i < spec->ntasks; i++) {
		check(spec->tasks[i].kind[0] != '\0');
		check(spec->tasks[i].payload.len <= MLK_PAYLOAD_MAX);
	}
}

/*
 * Formats an answer with the job's payloads as results, which may be arbitrary
 * bytes.
 */
static void
write_answer(const struct mlk_job_spec *spec)
{
	struct mlk_job_answer answer;
	uint32_t i;
	char *text;

	memset(&answer, 0, sizeof(answer));
	answer.key = mlk_key_from_id(spec->id);
	answer.outcome = MLK_OUTCOME_COMPLETE;
	answer.ntasks = spec->ntasks;
	answer.tasks = calloc(spec->ntasks, sizeof(*answer.tasks));
	if (answer.tasks == NULL)
		return;
	for (i = 0; i < spec->ntasks; i++) {
		answer.tasks[i].status = MLK_TASK_DONE;
		answer.tasks[i].payload = spec->tasks[i].payload;
	}
	text = mlk_job_json_answer(spec->id, &answer);
	check(text != NULL);
	free(text);
	free(answer.tasks);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct mlk_field_error err;
	struct mlk_job_spec spec, reparsed;
	bool wait;
	int error;

	error = mlk_job_json_parse(data, size, &spec, &wait, &err);
	if (error != 0) {
		check(error != MLK_ERR_INVALID || err.message[0] != '\0');
		check(spec.tasks == NULL);
		return (0);
	}
	check_spec(&spec);
	check(mlk_job_json_parse(data, size, &reparsed, &wait, &err) == 0);
	check(mlk_key_equal(spec.digest, reparsed.digest));
	write_answer(&spec);
	mlk_job_spec_clear(&reparsed);
	mlk_job_spec_clear(&spec);
	return (0);
}
