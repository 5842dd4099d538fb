/*
 * Bearer tokens.  Only SHA-256 digests are stored.  A check compares the whole
 * digest with that of every token, so that its timing reveals nothing.
 */
#include <string.h>

#include <monsoonlock/app.h>

void
mlk_token_digest(const char *secret, uint8_t digest[MLK_TOKEN_DIGEST_LEN])
{
	GChecksum *sum;
	gsize len = MLK_TOKEN_DIGEST_LEN;

	sum = g_checksum_new(G_CHECKSUM_SHA256);
	g_checksum_update(sum, (const guchar *)secret, -1);
	g_checksum_get_digest(sum, digest, &len);
	g_checksum_free(sum);
}

/*
 * Compares two digests in constant time.
 */
static bool
digest_equal(const uint8_t *a, const uint8_t *b)
{
	volatile uint8_t diff = 0;
	size_t i;

	for (i = 0; i < MLK_TOKEN_DIGEST_LEN; i++)
		diff |= (uint8_t)(a[i] ^ b[i]);
	return (diff == 0);
}

static bool
has_caller_token(const struct mlk_tokens *tokens)
{
	uint32_t i;

	for (i = 0; i < tokens->n; i++)
		if (tokens->items[i].role == MLK_ROLE_CALLER)
			return (true);
	return (false);
}

/*
 * Returns the role that an Authorization header grants, and fills name with the
 * name of its token.  Without a header (NULL or ""), the role is CALLER with an
 * empty name if no caller token is configured, else NONE.
 */
enum mlk_role
mlk_tokens_check(const struct mlk_tokens *tokens, const char *authorization,
    char name[MLK_NAME_MAX])
{
	static const char scheme[] = "Bearer ";
	uint8_t digest[MLK_TOKEN_DIGEST_LEN];
	enum mlk_role role = MLK_ROLE_NONE;
	uint32_t i;

	name[0] = '\0';
	if (authorization == NULL || authorization[0] == '\0')
		return (
		    has_caller_token(tokens) ? MLK_ROLE_NONE : MLK_ROLE_CALLER);
	if (g_ascii_strncasecmp(authorization, scheme, strlen(scheme)) != 0)
		return (MLK_ROLE_NONE);
	mlk_token_digest(authorization + strlen(scheme), digest);
	for (i = 0; i < tokens->n; i++) {
		if (!digest_equal(digest, tokens->items[i].digest))
			continue;
		role = tokens->items[i].role;
		(void)g_strlcpy(name, tokens->items[i].name, MLK_NAME_MAX);
	}
	return (role);
}
