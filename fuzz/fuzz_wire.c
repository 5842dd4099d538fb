/*
 * Fuzz target for the wire library.  The input is a byte stream as received
 * from a peer; each message that can be decoded must encode without an error.
 */
#include <stdlib.h>

#include <monsoonlock/wire.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
decode_record(const uint8_t *record, size_t len)
{
	struct mlk_error err;
	struct mlk_blob out;
	struct mlk_msg msg;

	if (mlk_wire_decode(record, len, &msg, &err) != 0)
		return;
	if (mlk_wire_encode(&msg, 1, &out, &err) != 0)
		abort();
	mlk_blob_clear(&out);
	mlk_msg_clear(&msg);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *record;
	struct mlk_reader *r;
	struct mlk_error err;
	size_t len;

	r = mlk_reader_create();
	if (r == NULL)
		return (0);
	(void)mlk_reader_feed(r, data, size, &err);
	while (mlk_reader_next(r, &record, &len))
		decode_record(record, len);
	mlk_reader_destroy(r);
	return (0);
}
