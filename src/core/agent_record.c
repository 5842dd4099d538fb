/*
 * The agent's record of starts and results.
 *
 * Records are stored in chunks that are allocated as the table fills, so that
 * an idle agent uses little memory.  Each record is linked by handle into a
 * hash table over (key, block of indexes), into the list of its partition and,
 * once ended, into a list in the order in which they ended.  Expiry takes
 * records from the head of that list; result_head is the oldest record in it
 * that may still have its result.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_record.h"

#define RECORD_CHUNK 1024U /* records in one allocation */
/*
 * This many consecutive task indexes of a job share a hash chain: a lookup
 * walks at most one such block of the job, and mlk_records_query() visits
 * MLK_TASKS_MAX / RECORD_INDEX_BLOCK chains, rounded up: 47 for the 750 tasks
 * that a job may have.
 */
#define RECORD_INDEX_BLOCK 16U

struct mlk_records {
	uint32_t max;
	uint32_t max_bytes;
	uint32_t retention_s;
	uint32_t count;
	uint32_t unacked; /* ended, not acknowledged */
	uint32_t used; /* handles below this have been allocated */
	uint32_t free_head; /* list of the handles that were freed */
	uint32_t nbuckets; /* power of two */
	uint32_t *buckets;
	uint32_t part_head[MLK_PARTITIONS];
	uint32_t age_head; /* ended records, oldest end first */
	uint32_t age_tail;
	uint32_t result_head; /* oldest ended record that may have a result */
	uint64_t bytes; /* of all results */
	uint64_t dropped; /* results dropped for space */
	struct mlk_record **chunks;
};

/*
 * Creates an empty table for at most max_records starts and max_result_bytes
 * bytes of results; retention_s is in seconds.  Returns NULL when out of
 * memory.
 */
struct mlk_records *
mlk_records_create(
    uint32_t max_records, uint32_t max_result_bytes, uint32_t retention_s)
{
	struct mlk_records *r;
	uint32_t nchunks;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return (NULL);
	r->max = max_records;
	r->max_bytes = max_result_bytes;
	r->retention_s = retention_s;
	r->free_head = MLK_RECORD_NONE;
	r->age_head = r->age_tail = r->result_head = MLK_RECORD_NONE;
	for (r->nbuckets = 1; r->nbuckets < max_records;)
		r->nbuckets *= 2;
	nchunks = max_records / RECORD_CHUNK + 1;
	r->buckets = malloc(r->nbuckets * sizeof(*r->buckets));
	r->chunks = calloc(nchunks, sizeof(struct mlk_record *));
	if (r->buckets == NULL || r->chunks == NULL) {
		mlk_records_destroy(r);
		return (NULL);
	}
	memset(r->buckets, 0xff, r->nbuckets * sizeof(*r->buckets));
	memset(r->part_head, 0xff, sizeof(r->part_head));
	return (r);
}

void
mlk_records_destroy(struct mlk_records *r)
{
	uint32_t i;

	if (r == NULL)
		return;
	for (i = 0; i < r->used; i++)
		free(mlk_records_get(r, i)->data);
	for (i = 0; r->chunks != NULL && i <= r->max / RECORD_CHUNK; i++)
		free(r->chunks[i]);
	free(r->chunks);
	free(r->buckets);
	free(r);
}

/*
 * Returns the record of a handle; an unused record has status QUEUED.
 */
struct mlk_record *
mlk_records_get(const struct mlk_records *r, uint32_t handle)
{
	return (&r->chunks[handle / RECORD_CHUNK][handle % RECORD_CHUNK]);
}

static uint32_t *
bucket_of(const struct mlk_records *r, struct mlk_key key, uint32_t index)
{
	uint64_t h;

	h = key.hi + (index / RECORD_INDEX_BLOCK) * 0x9e3779b97f4a7c15ULL;
	return (&r->buckets[h & (r->nbuckets - 1)]);
}

/*
 * Returns the handle of the record of a task start, or MLK_RECORD_NONE if there
 * is none.
 */
uint32_t
mlk_records_find(
    const struct mlk_records *r, struct mlk_key key, uint32_t index)
{
	const struct mlk_record *rec;
	uint32_t h;

	for (h = *bucket_of(r, key, index); h != MLK_RECORD_NONE;
	     h = rec->key_next) {
		rec = mlk_records_get(r, h);
		if (rec->index == index && mlk_key_equal(rec->key, key))
			return (h);
	}
	return (MLK_RECORD_NONE);
}

/*
 * Stores the handles of all records of a key in `out` and returns how many.
 */
uint32_t
mlk_records_query(const struct mlk_records *r, struct mlk_key key,
    uint32_t out[MLK_TASKS_MAX])
{
	const struct mlk_record *rec;
	uint32_t block, h, n;

	n = 0;
	for (block = 0; block < MLK_TASKS_MAX; block += RECORD_INDEX_BLOCK) {
		for (h = *bucket_of(r, key, block); h != MLK_RECORD_NONE;
		     h = rec->key_next) {
			rec = mlk_records_get(r, h);
			if (!mlk_key_equal(rec->key, key) ||
			    rec->index / RECORD_INDEX_BLOCK !=
				block / RECORD_INDEX_BLOCK)
				continue;
			out[n++] = h;
		}
	}
	return (n);
}

/*
 * Allocates a handle.  Returns MLK_RECORD_NONE when the table is full or memory
 * runs out.
 */
static uint32_t
handle_alloc(struct mlk_records *r)
{
	struct mlk_record **chunk;
	uint32_t h;

	if (r->count >= r->max)
		return (MLK_RECORD_NONE);
	if (r->free_head != MLK_RECORD_NONE) {
		h = r->free_head;
		r->free_head = mlk_records_get(r, h)->key_next;
		return (h);
	}
	chunk = &r->chunks[r->used / RECORD_CHUNK];
	if (*chunk == NULL)
		*chunk = calloc(RECORD_CHUNK, sizeof(**chunk));
	if (*chunk == NULL)
		return (MLK_RECORD_NONE);
	return (r->used++);
}

/*
 * Adds the record of a task start, with status RUNNING, and returns its handle,
 * or MLK_RECORD_NONE when the table is full or memory runs out.  The index must
 * be below MLK_TASKS_MAX, and the start must not have a record yet.
 */
uint32_t
mlk_records_add(struct mlk_records *r, struct mlk_key key, uint32_t index)
{
	struct mlk_record *rec;
	uint32_t *bucket, *head;
	uint32_t h;

	h = handle_alloc(r);
	if (h == MLK_RECORD_NONE)
		return (h);
	rec = mlk_records_get(r, h);
	memset(rec, 0, sizeof(*rec));
	rec->key = key;
	rec->index = (uint16_t)index;
	rec->status = MLK_TASK_RUNNING;
	rec->sent_to = MLK_RECORD_UNSENT;
	rec->age_next = MLK_RECORD_NONE;
	bucket = bucket_of(r, key, index);
	rec->key_next = *bucket;
	*bucket = h;
	head = &r->part_head[mlk_key_partition(key)];
	rec->part_prev = MLK_RECORD_NONE;
	rec->part_next = *head;
	if (*head != MLK_RECORD_NONE)
		mlk_records_get(r, *head)->part_prev = h;
	*head = h;
	r->count++;
	return (h);
}

static void
result_free(struct mlk_records *r, struct mlk_record *rec)
{
	r->bytes -= rec->len;
	free(rec->data);
	rec->data = NULL;
	rec->len = 0;
}

/*
 * Removes a record that is not in the list of ended records: a RUNNING one, or
 * one that expiry has just taken off the list.
 */
void
mlk_records_remove(struct mlk_records *r, uint32_t h)
{
	struct mlk_record *rec;
	uint32_t *link;

	rec = mlk_records_get(r, h);
	link = bucket_of(r, rec->key, rec->index);
	while (*link != h)
		link = &mlk_records_get(r, *link)->key_next;
	*link = rec->key_next;
	if (rec->part_prev != MLK_RECORD_NONE)
		mlk_records_get(r, rec->part_prev)->part_next = rec->part_next;
	else
		r->part_head[mlk_key_partition(rec->key)] = rec->part_next;
	if (rec->part_next != MLK_RECORD_NONE)
		mlk_records_get(r, rec->part_next)->part_prev = rec->part_prev;
	result_free(r, rec);
	rec->status = MLK_TASK_QUEUED;
	rec->key_next = r->free_head;
	r->free_head = h;
	r->count--;
}

/*
 * Drops results, oldest first, until they fit into max_bytes.  Their records
 * stay.
 */
static void
results_evict(struct mlk_records *r)
{
	struct mlk_record *rec;

	while (r->bytes > r->max_bytes && r->result_head != MLK_RECORD_NONE) {
		rec = mlk_records_get(r, r->result_head);
		r->result_head = rec->age_next;
		if (rec->data == NULL)
			continue;
		result_free(r, rec);
		rec->dropped = true;
		r->dropped++;
	}
}

/*
 * Ends a RUNNING record with its result, which is copied; `now` is monotonic
 * nanoseconds.  Returns 0, or MLK_ERR_NOMEM after ending it with the result
 * marked as dropped.
 */
int
mlk_records_finish(struct mlk_records *r, uint32_t h,
    enum mlk_task_status status, uint32_t run_ms, const struct mlk_blob *result,
    int64_t now)
{
	struct mlk_record *rec;
	struct mlk_blob copy;
	int error;

	rec = mlk_records_get(r, h);
	error = mlk_blob_copy(&copy, result->data, result->len);
	rec->dropped = error != 0;
	rec->data = copy.data;
	rec->len = copy.len;
	rec->status = (uint8_t)status;
	rec->run_ms = run_ms;
	rec->ended_s = (uint32_t)(now / MLK_NSEC_PER_SEC);
	r->bytes += rec->len;
	r->unacked++;
	if (r->age_tail != MLK_RECORD_NONE)
		mlk_records_get(r, r->age_tail)->age_next = h;
	else
		r->age_head = h;
	r->age_tail = h;
	if (r->result_head == MLK_RECORD_NONE)
		r->result_head = h;
	results_evict(r);
	return (error);
}

/*
 * Marks an ended record's result as received by an entry.
 */
void
mlk_records_ack(struct mlk_records *r, uint32_t h)
{
	struct mlk_record *rec;

	rec = mlk_records_get(r, h);
	if (rec->acked)
		return;
	rec->acked = true;
	r->unacked--;
}

/*
 * Removes the records that ended a retention period or longer before `now`
 * (monotonic nanoseconds).
 */
void
mlk_records_expire(struct mlk_records *r, int64_t now)
{
	struct mlk_record *rec;
	uint32_t h, now_s;

	now_s = (uint32_t)(now / MLK_NSEC_PER_SEC);
	while ((h = r->age_head) != MLK_RECORD_NONE) {
		rec = mlk_records_get(r, h);
		if (now_s - rec->ended_s < r->retention_s)
			break;
		r->age_head = rec->age_next;
		if (r->age_head == MLK_RECORD_NONE)
			r->age_tail = MLK_RECORD_NONE;
		if (r->result_head == h)
			r->result_head = rec->age_next;
		if (!rec->acked)
			r->unacked--;
		mlk_records_remove(r, h);
	}
}

/*
 * Returns the first record of a partition; part_next leads to the others.
 */
uint32_t
mlk_records_first(const struct mlk_records *r, uint32_t partition)
{
	return (r->part_head[partition]);
}

static int
hash_compare(const void *a, const void *b)
{
	uint32_t x, y;

	x = *(const uint32_t *)a;
	y = *(const uint32_t *)b;
	return ((x > y) - (x < y));
}

/*
 * Allocates the sorted list, without duplicates, of the hashes of the ids that
 * are on record in the partitions of the bit mask; the caller frees it.
 * Returns 0, or MLK_ERR_NOMEM.
 */
int
mlk_records_hashes(
    const struct mlk_records *r, uint64_t partitions, uint32_t **out, size_t *n)
{
	const struct mlk_record *rec;
	uint32_t *hashes;
	uint32_t h, p;
	size_t i, len;

	*out = NULL;
	*n = 0;
	hashes = malloc((r->count + 1) * sizeof(*hashes));
	if (hashes == NULL)
		return (MLK_ERR_NOMEM);
	len = 0;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		if ((partitions >> p & 1) == 0)
			continue;
		for (h = r->part_head[p]; h != MLK_RECORD_NONE;
		     h = rec->part_next) {
			rec = mlk_records_get(r, h);
			hashes[len++] = mlk_key_hash32(rec->key);
		}
	}
	qsort(hashes, len, sizeof(*hashes), hash_compare);
	for (i = 0; i < len; i++) {
		if (i == 0 || hashes[i] != hashes[i - 1])
			hashes[(*n)++] = hashes[i];
	}
	*out = hashes;
	return (0);
}

uint32_t
mlk_records_count(const struct mlk_records *r)
{
	return (r->count);
}

/*
 * Returns the number of ended records that no entry has acknowledged.
 */
uint32_t
mlk_records_unacked(const struct mlk_records *r)
{
	return (r->unacked);
}

/*
 * Returns how many results were dropped for space since creation.
 */
uint64_t
mlk_records_dropped(const struct mlk_records *r)
{
	return (r->dropped);
}
