/*
 * Checks answers against their requests, and counts the task starts in the logs
 * of the endpoints.
 */
#ifndef MLK_LOAD_CHECK_H
#define MLK_LOAD_CHECK_H

#include <glib.h>

#include <monsoonlock/base.h>

enum mlk_load_outcome {
	MLK_LOAD_NONE, /* no final answer */
	MLK_LOAD_COMPLETE,
	MLK_LOAD_FAILED,
	MLK_LOAD_REFUSED,
	MLK_LOAD_UNKNOWN,
	MLK_LOAD_OUTCOMES,
};

/* Result of the check of one answer. */
struct mlk_load_verdict {
	enum mlk_load_outcome outcome;
	bool retry; /* status 503 or 504: another entry may accept the job */
	bool partial; /* no valid result for each task */
	bool crossed; /* id of another job, or result of another task */
	bool discarded; /* cancelled: results may be empty */
	uint32_t done;
	uint32_t failed;
	uint32_t not_run;
	uint32_t unknown;
	char reason[128]; /* first error or reason in the answer */
};

const char *mlk_load_outcome_name(enum mlk_load_outcome outcome);
void mlk_load_check(const char *id, uint32_t ntasks, int status,
    const uint8_t *body, size_t len, struct mlk_load_verdict *out);
bool mlk_load_result_matches(
    struct mlk_key key, uint32_t index, const char *text, size_t len);

/* Task starts in the logs of all endpoints of a deployment. */
struct mlk_load_start_log {
	GHashTable *starts; /* "key index" -> count */
	uint64_t total; /* starts */
	uint64_t twice; /* tasks that started more than once */
	uint64_t bad_lines; /* lines that could not be parsed */
};

struct mlk_load_start_log *mlk_load_start_log_create(void);
void mlk_load_start_log_free(struct mlk_load_start_log *start_log);
void mlk_load_start_log_add_line(
    struct mlk_load_start_log *start_log, const char *line);
int mlk_load_start_log_read_dir(struct mlk_load_start_log *start_log,
    const char *dir, struct mlk_error *err);
uint32_t mlk_load_start_log_count(const struct mlk_load_start_log *start_log,
    struct mlk_key key, uint32_t index);

#endif
