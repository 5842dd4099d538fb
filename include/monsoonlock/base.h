/*
 * Base library: errors, the clock interface, submission keys, addresses and
 * byte blobs.
 *
 * Nothing here blocks, and nothing is shared between threads: every program
 * of monsoonlock runs one event loop on one thread.
 */
#ifndef MONSOONLOCK_BASE_H
#define MONSOONLOCK_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define MLK_NSEC_PER_SEC 1000000000LL
#define MLK_NSEC_PER_MSEC 1000000LL

/* Error codes of all libraries; functions return 0 or one of these. */
enum mlk_err_code {
	MLK_OK = 0,
	MLK_ERR_NOMEM, /* a bounded table or the heap is full */
	MLK_ERR_INVALID, /* input violates a documented rule */
	MLK_ERR_NOT_FOUND, /* the named record does not exist */
	MLK_ERR_CONFLICT, /* a version precondition does not hold */
	MLK_ERR_UNAVAILABLE, /* the peer cannot be reached */
	MLK_ERR_TIMEOUT,
	MLK_ERR_PROTOCOL, /* a message could not be decoded */
	MLK_ERR_IO,
	MLK_ERR_SETTINGS, /* the settings file is not valid */
	MLK_ERR_DENIED, /* missing or wrong token */
};

#define MLK_ERROR_MSG_MAX 256

/*
 * Filled by the function that fails.  Each layer sets its own code and message,
 * and may include the message of the layer below.
 */
struct mlk_error {
	int code;
	char msg[MLK_ERROR_MSG_MAX];
};

const char *mlk_strerror(int code);
int mlk_error_set(struct mlk_error *err, int code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/*
 * Source of time.  monotonic() and realtime() fill *ts as clock_gettime(2)
 * does.  Tests pass a clock that they advance explicitly.
 */
struct mlk_clock {
	void *arg;
	void (*monotonic)(void *arg, struct timespec *ts);
	void (*realtime)(void *arg, struct timespec *ts);
};

const struct mlk_clock *mlk_clock_system(void);
/* As mlk_clock_system(), but monotonic() also advances during suspend. */
const struct mlk_clock *mlk_clock_suspend_aware(void);
int64_t mlk_clock_now(const struct mlk_clock *clock); /* monotonic, ns */
time_t mlk_clock_wall(const struct mlk_clock *clock); /* seconds */
int64_t mlk_timespec_ns(const struct timespec *ts);

/* 128-bit hash of a submission id.  Ids are compared only by their keys. */
struct mlk_key {
	uint64_t lo;
	uint64_t hi;
};

#define MLK_PARTITIONS 64
#define MLK_KEY_HEX_LEN 32

struct mlk_key mlk_key_from_id(const char *id);
bool mlk_key_equal(struct mlk_key a, struct mlk_key b);
uint32_t mlk_key_partition(struct mlk_key key);
uint32_t mlk_key_hash32(struct mlk_key key);
uint32_t mlk_hash32_partition(uint32_t hash);
void mlk_key_format(struct mlk_key key, char out[MLK_KEY_HEX_LEN + 1]);
bool mlk_key_parse(const char *text, struct mlk_key *out);
struct mlk_key mlk_digest(const void *data, size_t len);

/* Whether text is "ip:port": a numeric IP address and a port above 0. */
bool mlk_addr_valid(const char *text);

/* Heap-allocated bytes with one owner; data is NULL when len is 0. */
struct mlk_blob {
	uint8_t *data;
	uint32_t len;
};

int mlk_blob_copy(struct mlk_blob *dst, const void *data, size_t len);
void mlk_blob_clear(struct mlk_blob *blob);

/* Deterministic pseudo-random generator (splitmix64), seeded by the caller. */
struct mlk_rng {
	uint64_t state;
};

void mlk_rng_seed(struct mlk_rng *rng, uint64_t seed);
uint64_t mlk_rng_next(struct mlk_rng *rng);
uint32_t mlk_rng_below(struct mlk_rng *rng, uint32_t bound);

#endif
