/*
 * Reassembly of records from a byte stream (RFC 5531 record marking).  A record
 * consists of fragments; each begins with a mark of 4 bytes, which holds the
 * length of the fragment and whether it is the last one.  Received bytes are
 * appended to one buffer.  A record of one fragment is returned in place; the
 * fragments of a longer one are first joined in place.  The buffer grows with
 * the bytes received, never with the length that a mark claims.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/wire.h>

#define MARK_BYTES 4U
#define LAST_FRAGMENT 0x80000000U
#define BUFFER_MIN 4096U /* bytes */
#define BUFFER_KEEP                                              \
	(256U * 1024) /* bytes; larger ones are freed when empty \
		       */
/*
 * Limit for a record in bytes, with the marks of its fragments.  The marks are
 * counted so that empty fragments cannot exhaust memory.
 */
#define RAW_RECORD_MAX (2U * MLK_RECORD_MAX)

struct mlk_reader {
	uint8_t *buf;
	size_t cap;
	/* start, end, scan and record_start are offsets in buf. */
	size_t start; /* first record not yet returned */
	size_t end; /* end of the received bytes */
	size_t scan; /* first mark not yet checked */
	size_t record_start; /* first mark of the record that contains scan */
	size_t payload; /* bytes of that record before scan, without marks */
	size_t ready; /* complete records between start and record_start */
	bool failed; /* the stream is unusable */
};

/*
 * Returns an empty reader, or NULL when out of memory.
 */
struct mlk_reader *
mlk_reader_create(void)
{
	return (calloc(1, sizeof(struct mlk_reader)));
}

void
mlk_reader_destroy(struct mlk_reader *reader)
{
	if (reader == NULL)
		return;
	free(reader->buf);
	free(reader);
}

/*
 * Moves the bytes not yet returned to the start of the buffer.
 */
static void
compact(struct mlk_reader *r)
{
	if (r->start == 0)
		return;
	memmove(r->buf, r->buf + r->start, r->end - r->start);
	r->end -= r->start;
	r->scan -= r->start;
	r->record_start -= r->start;
	r->start = 0;
}

/*
 * Makes room for len more bytes.  Returns 0 or MLK_ERR_NOMEM.
 */
static int
reserve(struct mlk_reader *r, size_t len)
{
	uint8_t *buf;
	size_t cap;

	if (r->cap - r->end >= len)
		return (0);
	compact(r);
	cap = r->cap > BUFFER_MIN ? r->cap : BUFFER_MIN;
	while (cap - r->end < len)
		cap *= 2;
	if (cap == r->cap)
		return (0);
	buf = realloc(r->buf, cap);
	if (buf == NULL)
		return (MLK_ERR_NOMEM);
	r->buf = buf;
	r->cap = cap;
	return (0);
}

static uint32_t
mark_at(const struct mlk_reader *r, size_t pos)
{
	uint32_t mark;

	memcpy(&mark, r->buf + pos, sizeof(mark));
	return (ntohl(mark));
}

/*
 * Checks the marks of newly received bytes and counts the records that became
 * complete.  Returns 0, or MLK_ERR_PROTOCOL when a record is too long.
 */
static int
scan_marks(struct mlk_reader *r)
{
	size_t frag;
	uint32_t mark;

	while (r->end - r->scan >= MARK_BYTES) {
		mark = mark_at(r, r->scan);
		frag = mark & ~LAST_FRAGMENT;
		if (r->payload + frag > MLK_RECORD_MAX ||
		    r->scan - r->record_start > RAW_RECORD_MAX)
			return (MLK_ERR_PROTOCOL);
		if (r->end - r->scan - MARK_BYTES < frag)
			return (0);
		r->scan += MARK_BYTES + frag;
		r->payload += frag;
		if ((mark & LAST_FRAGMENT) != 0) {
			r->record_start = r->scan;
			r->payload = 0;
			r->ready++;
		}
	}
	return (0);
}

/*
 * Appends len bytes of the stream.  Returns 0, MLK_ERR_NOMEM, or
 * MLK_ERR_PROTOCOL when a record is longer than MLK_RECORD_MAX; after an
 * error the stream is unusable and every later call fails.
 */
int
mlk_reader_feed(struct mlk_reader *reader, const uint8_t *data, size_t len,
    struct mlk_error *err)
{
	if (reader->failed)
		return (mlk_error_set(
		    err, MLK_ERR_PROTOCOL, "record stream failed earlier"));
	if (len == 0)
		return (0);
	if (reserve(reader, len) != 0) {
		reader->failed = true;
		return (mlk_error_set(err, MLK_ERR_NOMEM, "out of memory"));
	}
	memcpy(reader->buf + reader->end, data, len);
	reader->end += len;
	if (scan_marks(reader) != 0) {
		reader->failed = true;
		return (mlk_error_set(err, MLK_ERR_PROTOCOL,
		    "record longer than %u bytes", MLK_RECORD_MAX));
	}
	return (0);
}

/*
 * Resets the offsets once all bytes have been returned, and frees a buffer that
 * a large record has grown beyond BUFFER_KEEP.
 */
static void
rewind_empty(struct mlk_reader *r)
{
	if (r->start != r->end)
		return;
	r->start = 0;
	r->end = 0;
	r->scan = 0;
	r->record_start = 0;
	if (r->cap <= BUFFER_KEEP)
		return;
	free(r->buf);
	r->buf = NULL;
	r->cap = 0;
}

/*
 * Returns the next complete record, or false when there is none.  Joins the
 * fragments of the record in the buffer, overwriting the marks between them.
 */
bool
mlk_reader_next(struct mlk_reader *reader, const uint8_t **data, size_t *len)
{
	uint8_t *record;
	uint32_t mark;
	size_t frag;

	if (reader->ready == 0) {
		rewind_empty(reader);
		return (false);
	}
	record = reader->buf + reader->start + MARK_BYTES;
	*data = record;
	*len = 0;
	do {
		mark = mark_at(reader, reader->start);
		frag = mark & ~LAST_FRAGMENT;
		reader->start += MARK_BYTES;
		if (record + *len != reader->buf + reader->start)
			memmove(
			    record + *len, reader->buf + reader->start, frag);
		reader->start += frag;
		*len += frag;
	} while ((mark & LAST_FRAGMENT) == 0);
	reader->ready--;
	return (true);
}
