/*
 * Wire library: messages between monsoonlock's processes, sent as one-way ONC
 * RPC calls with XDR bodies and record marking (RFC 5531).
 */
#ifndef MONSOONLOCK_WIRE_H
#define MONSOONLOCK_WIRE_H

#include <monsoonlock/core.h>

#define MLK_RPC_PROGRAM 0x20004d4cU
#define MLK_RPC_VERSION 1U
#define MLK_RECORD_MAX (16U * 1024 * 1024) /* bytes in one record */

/*
 * Encodes msg with its record mark.  The blob is owned by the caller.
 * Returns 0, MLK_ERR_NOMEM, or MLK_ERR_PROTOCOL when a field exceeds its
 * limit.
 */
int mlk_wire_encode(const struct mlk_msg *msg, uint32_t xid,
    struct mlk_blob *out, struct mlk_error *err);

/*
 * Decodes one record without its mark.  On success the caller owns msg and
 * clears it with mlk_msg_clear().  Every length is checked before memory is
 * allocated for it.
 */
int mlk_wire_decode(const uint8_t *data, size_t len, struct mlk_msg *msg,
    struct mlk_error *err);

/* Reassembles records from a byte stream. */
struct mlk_reader;

struct mlk_reader *mlk_reader_create(void);
void mlk_reader_destroy(struct mlk_reader *reader);
int mlk_reader_feed(struct mlk_reader *reader, const uint8_t *data, size_t len,
    struct mlk_error *err);
/*
 * Returns false when no record is complete.  The record stays valid until the
 * next call.
 */
bool mlk_reader_next(
    struct mlk_reader *reader, const uint8_t **data, size_t *len);

#endif
