/*
 * The agent's record of starts and results.
 *
 * A record is RUNNING from the start of its task on.  When the task ends the
 * record gets the result, which is dropped early when the results exceed their
 * size limit.  The record is removed when the retention period has passed since
 * the end.  Records are referred to by integer handles.
 */
#ifndef MLK_CORE_AGENT_RECORD_H
#define MLK_CORE_AGENT_RECORD_H

#include <monsoonlock/core.h>

#define MLK_RECORD_NONE UINT32_MAX
#define MLK_RECORD_UNSENT UINT8_MAX /* sent_to: not sent on any open link */

/* Record of one task start.  72 bytes; the result is a separate allocation. */
struct mlk_record {
	struct mlk_key key;
	uint8_t *data; /* the result, or NULL */
	uint32_t len; /* of data */
	uint32_t epoch; /* of the START */
	uint32_t run_ms;
	uint32_t ended_s; /* monotonic seconds */
	uint32_t sent_seq; /* of the last RESULT, low 32 bits */
	uint32_t key_next; /* hash chain; free list when unused */
	uint32_t part_prev; /* list of the partition */
	uint32_t part_next;
	uint32_t age_next; /* list of ended records, oldest end first */
	uint16_t index;
	uint16_t origin; /* serial of the entry that sent the START */
	uint8_t status; /* enum mlk_task_status; QUEUED: record is unused */
	uint8_t sent_to; /* index of the entry, or MLK_RECORD_UNSENT */
	bool acked;
	bool dropped; /* ended, but the result is not available */
};

struct mlk_records;

struct mlk_records *mlk_records_create(
    uint32_t max_records, uint32_t max_result_bytes, uint32_t retention_s);
void mlk_records_destroy(struct mlk_records *records);
struct mlk_record *mlk_records_get(
    const struct mlk_records *records, uint32_t handle);
uint32_t mlk_records_find(
    const struct mlk_records *records, struct mlk_key key, uint32_t index);
uint32_t mlk_records_query(const struct mlk_records *records,
    struct mlk_key key, uint32_t out[MLK_TASKS_MAX]);
uint32_t mlk_records_add(
    struct mlk_records *records, struct mlk_key key, uint32_t index);
void mlk_records_remove(struct mlk_records *records, uint32_t handle);
int mlk_records_finish(struct mlk_records *records, uint32_t handle,
    enum mlk_task_status status, uint32_t run_ms, const struct mlk_blob *result,
    int64_t now);
void mlk_records_ack(struct mlk_records *records, uint32_t handle);
void mlk_records_expire(struct mlk_records *records, int64_t now);
uint32_t mlk_records_first(
    const struct mlk_records *records, uint32_t partition);
int mlk_records_hashes(const struct mlk_records *records, uint64_t partitions,
    uint32_t **out, size_t *n);
uint32_t mlk_records_count(const struct mlk_records *records);
uint32_t mlk_records_unacked(const struct mlk_records *records);
uint64_t mlk_records_dropped(const struct mlk_records *records);

#endif
