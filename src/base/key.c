/*
 * Submission keys: 128-bit XXH3 hashes of submission ids.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include <monsoonlock/base.h>

/*
 * Returns the hash of len bytes.  Also the digest of job bodies and plans.
 */
struct mlk_key
mlk_digest(const void *data, size_t len)
{
	XXH128_hash_t h = XXH3_128bits(data, len);

	return ((struct mlk_key){ .lo = h.low64, .hi = h.high64 });
}

/*
 * Returns the key of a NUL-terminated submission id.
 */
struct mlk_key
mlk_key_from_id(const char *id)
{
	return (mlk_digest(id, strlen(id)));
}

bool
mlk_key_equal(struct mlk_key a, struct mlk_key b)
{
	return (a.lo == b.lo && a.hi == b.hi);
}

/*
 * Returns the partition of a key, below MLK_PARTITIONS.
 */
uint32_t
mlk_key_partition(struct mlk_key key)
{
	return ((uint32_t)(key.lo % MLK_PARTITIONS));
}

/*
 * Returns the short hash that represents an id in FENCE_REPLY, in claims and
 * in saved records.  The low 6 bits are the partition; the others come from
 * key.hi, which does not determine the partition.  Ids of different partitions
 * therefore never collide, and the false-positive rate is no higher than with
 * 32 bits of key.hi.
 */
uint32_t
mlk_key_hash32(struct mlk_key key)
{
	return (((uint32_t)(key.hi >> 32) & ~(MLK_PARTITIONS - 1U)) |
	    mlk_key_partition(key));
}

/*
 * Returns the partition of the ids that have this hash.
 */
uint32_t
mlk_hash32_partition(uint32_t hash)
{
	return (hash % MLK_PARTITIONS);
}

/*
 * Writes the key as 32 hexadecimal digits, high half first, and a NUL.
 */
void
mlk_key_format(struct mlk_key key, char out[MLK_KEY_HEX_LEN + 1])
{
	(void)snprintf(out, MLK_KEY_HEX_LEN + 1, "%016" PRIx64 "%016" PRIx64,
	    key.hi, key.lo);
}

/*
 * Parses the output of mlk_key_format().  Returns false unless text is exactly
 * 32 lower-case hexadecimal digits.
 */
bool
mlk_key_parse(const char *text, struct mlk_key *out)
{
	struct mlk_key key;

	if (strlen(text) != MLK_KEY_HEX_LEN ||
	    strspn(text, "0123456789abcdef") != MLK_KEY_HEX_LEN)
		return (false);
	if (sscanf(text, "%16" SCNx64 "%16" SCNx64, &key.hi, &key.lo) != 2)
		return (false);
	*out = key;
	return (true);
}
