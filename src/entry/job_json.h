/*
 * JSON encoding of jobs and their answers, as specified in docs/API.md.
 */
#ifndef MLK_ENTRY_JOB_JSON_H
#define MLK_ENTRY_JOB_JSON_H

#include <monsoonlock/core.h>

/* The first error in a body; field is a path such as "tasks[3].kind". */
struct mlk_field_error {
	char field[96];
	char message[160];
};

int mlk_job_json_parse(const uint8_t *body, size_t len,
    struct mlk_job_spec *spec, bool *wait, struct mlk_field_error *err);
bool mlk_job_id_valid(const char *id);
char *mlk_job_json_answer(const char *id, const struct mlk_job_answer *answer);

#endif
