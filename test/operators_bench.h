/*
 * A deployment on loopback for the tests of operators' requests: plans,
 * confirms, the audit trail, configuration versions of the processes, and a
 * background load.
 */
#ifndef TEST_OPERATORS_BENCH_H
#define TEST_OPERATORS_BENCH_H

#include <glib.h>
#include <jansson.h>

#include "deploy.h"

#define OPS_ALICE "operator-token-alice"
#define OPS_BOB "operator-token-bob-1"
#define OPS_WAIT_MS 4000 /* worst case of docs/design.md 1.7 */

struct ops_plan {
	char digest[MLK_KEY_HEX_LEN + 1];
	uint64_t base;
	json_t *change;
};

extern struct mlk_deploy *ops_deploy;

int ops_setup(void **state);
int ops_teardown(void **state);
const char *ops_addr(const char *name);

/* Requests.  answer may be NULL; *answer is NULL when the status is 0. */
int ops_call(const char *token, const char *entry, const char *method,
    const char *path, const char *body, uint32_t timeout_s, json_t **answer);
void ops_plan(const char *token, const char *entry, const char *type,
    const char *subject, int value, struct ops_plan *out);
void ops_plan_remove(
    const char *token, const char *entry, const char *id, struct ops_plan *out);
void ops_plan_read(const json_t *answer, struct ops_plan *out);
void ops_plan_clear(struct ops_plan *plan);
int ops_confirm(const char *token, const char *entry,
    const struct ops_plan *plan, uint32_t timeout_s, json_t **answer);
uint64_t ops_confirm_ok(const char *entry, const struct ops_plan *plan);
uint64_t ops_version(const json_t *answer);

/*
 * Returns how many audit records name the plan; asserts that each version has
 * one record.
 */
uint32_t ops_audit_records(const char *entry, const char *digest);

/* Returns the number of audit records, which is the newest version. */
uint64_t ops_audit_count(const char *entry);

int ops_metric(const char *process, const char *gauge, uint64_t *out);
uint64_t ops_config_version(const char *process);
void ops_wait_version(uint64_t version, uint32_t timeout_ms);
void ops_wait_ready(void);

/* Returns how many tasks an endpoint has started, over all its runs. */
uint32_t ops_starts(const char *endpoint);

/* A background load of jobs; ops_load_end() asserts that all completed. */
void ops_load_begin(uint32_t task_ms);
void ops_load_end(void);

#endif
