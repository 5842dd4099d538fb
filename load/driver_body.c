/*
 * The bodies of calls: jobs as JSON, and task payloads that tell a stand-in
 * endpoint how long to run.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "driver.h"

/*
 * Returns the payload of a task, to be freed with g_free().
 */
char *
driver_task_payload(
    const struct mlk_load_run *run, uint32_t job, uint32_t index)
{
	const struct mlk_load_job *j = &run->arrivals->jobs[job];

	return (g_strdup_printf("ms=%u fail=0 hang=0 size=%u",
	    j->tasks[index].run_ms, run->sc->kinds[j->kind].result_bytes));
}

static json_t *
task_json(const struct mlk_load_run *run, uint32_t job, uint32_t index)
{
	const struct mlk_load_job *j = &run->arrivals->jobs[job];
	const struct mlk_load_kind *k = &run->sc->kinds[j->kind];
	char *payload = driver_task_payload(run, job, index);
	json_t *task;

	task = json_pack("{s:s,s:s,s:b}", "kind", k->name, "payload", payload,
	    "repeatable", (int)k->repeatable);
	if (k->declared_factor > 0.0) {
		(void)json_object_set_new(task, "declared_ms",
		    json_integer((json_int_t)(k->declared_factor *
			j->tasks[index].run_ms)));
	}
	g_free(payload);
	return (task);
}

/*
 * Returns the body of POST /v1/jobs for a job, to be freed with free(), or
 * NULL when out of memory.  It is the same for every try of the job.
 */
char *
driver_job_body(const struct mlk_load_run *run, uint32_t job, size_t *len)
{
	const struct mlk_load_job *j = &run->arrivals->jobs[job];
	json_t *root, *tasks = json_array();
	const char *team = "load";
	uint32_t i;
	char *text;

	if (run->sc->nteams > 0)
		team = run->sc->teams[j->team];
	for (i = 0; i < j->ntasks; i++)
		(void)json_array_append_new(tasks, task_json(run, job, i));
	root = json_pack("{s:s,s:s,s:o}", "id", run->records[job].id, "team",
	    team, "tasks", tasks);
	if (run->sc->deadline_ms > 0)
		(void)json_object_set_new(
		    root, "deadline_ms", json_integer(run->sc->deadline_ms));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	*len = text == NULL ? 0 : strlen(text);
	return (text);
}
