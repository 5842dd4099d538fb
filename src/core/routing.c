/*
 * Copying and clearing of routing tables.
 */
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/core.h>

/*
 * Frees what a routing table owns and leaves it empty, with version 0.
 */
void
mlk_routing_clear(struct mlk_routing *routing)
{
	free(routing->routes);
	free(routing->pools);
	memset(routing, 0, sizeof(*routing));
}

/*
 * Copies `n` elements into a new array.  `dst` is the address of a pointer,
 * which is set to that array, or to NULL when n is 0.  Returns 0 or
 * MLK_ERR_NOMEM.
 */
static int
copy_array(void *dst, const void *src, uint32_t n, size_t size)
{
	void **out = dst;

	*out = NULL;
	if (n == 0)
		return (0);
	*out = malloc(n * size);
	if (*out == NULL)
		return (MLK_ERR_NOMEM);
	memcpy(*out, src, n * size);
	return (0);
}

/*
 * Copies a routing table into *dst, which is overwritten.  Returns 0, or
 * MLK_ERR_NOMEM with *dst empty.
 */
int
mlk_routing_copy(struct mlk_routing *dst, const struct mlk_routing *src)
{
	*dst = *src;
	dst->pools = NULL;
	if (copy_array(&dst->routes, src->routes, src->nroutes,
		sizeof(*src->routes)) != 0 ||
	    copy_array(&dst->pools, src->pools, src->npools,
		sizeof(*src->pools)) != 0) {
		mlk_routing_clear(dst);
		return (MLK_ERR_NOMEM);
	}
	return (0);
}
