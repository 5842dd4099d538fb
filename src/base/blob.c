/*
 * Heap-allocated byte strings.
 */
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/base.h>

/*
 * Copies len bytes into *dst, which is overwritten and not freed.  Returns 0,
 * or MLK_ERR_NOMEM with *dst empty.
 */
int
mlk_blob_copy(struct mlk_blob *dst, const void *data, size_t len)
{
	dst->data = NULL;
	dst->len = 0;
	if (len == 0)
		return (0);
	if (len > UINT32_MAX)
		return (MLK_ERR_NOMEM);
	dst->data = malloc(len);
	if (dst->data == NULL)
		return (MLK_ERR_NOMEM);
	memcpy(dst->data, data, len);
	dst->len = (uint32_t)len;
	return (0);
}

/*
 * Frees the bytes and leaves an empty blob.
 */
void
mlk_blob_clear(struct mlk_blob *blob)
{
	free(blob->data);
	blob->data = NULL;
	blob->len = 0;
}
