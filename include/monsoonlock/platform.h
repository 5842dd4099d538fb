/*
 * Platform library: encodes core's table operations as transactions of the
 * platform's table service (POST /v1/txn with JSON) and decodes the answers
 * into views.
 *
 * The library does no I/O; the program sends each operation as one POST through
 * net.h.
 */
#ifndef MONSOONLOCK_PLATFORM_H
#define MONSOONLOCK_PLATFORM_H

#include <monsoonlock/core.h>

#define MLK_PLATFORM_TXN_PATH "/v1/txn"

/* Sets *body to the body of the POST; the caller frees it with free(). */
int mlk_platform_encode(
    const struct mlk_store_op *op, char **body, struct mlk_error *err);

/*
 * Decodes the answer to op.  http_status 0 means that no complete answer
 * arrived.  Returns 0 with *status and, for OK and CONFLICT, *view filled
 * (cleared by mlk_store_view_clear()).  An answer that cannot be decoded gives
 * UNAVAILABLE, since the write may have taken effect.
 */
int mlk_platform_decode(const struct mlk_store_op *op, int http_status,
    const uint8_t *body, size_t body_len, enum mlk_store_status *status,
    struct mlk_store_view *view, struct mlk_error *err);

#endif
