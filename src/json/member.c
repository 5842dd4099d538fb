/*
 * Type-checked access to single members of a JSON object.  Errors name the
 * member.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <monsoonlock/json.h>

#define MASK_HEX_LEN 16

/*
 * Returns a member, or NULL when it is absent or null.
 */
static const json_t *
member(const json_t *json, const char *name)
{
	const json_t *value;

	value = json_object_get(json, name);
	return (json_is_null(value) ? NULL : value);
}

int
mlk_json_get_text(const json_t *json, const char *name, char *out, size_t size,
    struct mlk_error *err)
{
	const json_t *value;

	value = member(json, name);
	if (value == NULL)
		return (0);
	if (!json_is_string(value) || json_string_length(value) >= size ||
	    strlen(json_string_value(value)) != json_string_length(value)) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "%s: expected a text below %zu bytes", name, size));
	}
	memcpy(out, json_string_value(value), json_string_length(value) + 1);
	return (0);
}

int
mlk_json_get_int(const json_t *json, const char *name, int64_t min, int64_t max,
    int64_t *out, struct mlk_error *err)
{
	const json_t *value;

	value = member(json, name);
	if (value == NULL)
		return (0);
	if (!json_is_integer(value) || json_integer_value(value) < min ||
	    json_integer_value(value) > max) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "%s: expected an integer %" PRId64 "..%" PRId64, name, min,
		    max));
	}
	*out = json_integer_value(value);
	return (0);
}

int
mlk_json_get_bool(
    const json_t *json, const char *name, bool *out, struct mlk_error *err)
{
	const json_t *value;

	value = member(json, name);
	if (value == NULL)
		return (0);
	if (!json_is_boolean(value)) {
		return (mlk_error_set(
		    err, MLK_ERR_INVALID, "%s: expected true or false", name));
	}
	*out = json_is_true(value);
	return (0);
}

int
mlk_json_get_key(const json_t *json, const char *name, struct mlk_key *out,
    struct mlk_error *err)
{
	const json_t *value;

	value = member(json, name);
	if (value == NULL)
		return (0);
	if (!json_is_string(value) ||
	    !mlk_key_parse(json_string_value(value), out)) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "%s: expected %d hexadecimal digits", name,
		    MLK_KEY_HEX_LEN));
	}
	return (0);
}

int
mlk_json_get_mask(
    const json_t *json, const char *name, uint64_t *out, struct mlk_error *err)
{
	const json_t *value;
	const char *text;

	value = member(json, name);
	if (value == NULL)
		return (0);
	text = json_string_value(value);
	if (text == NULL || strlen(text) != MASK_HEX_LEN ||
	    strspn(text, "0123456789abcdef") != MASK_HEX_LEN ||
	    sscanf(text, "%16" SCNx64, out) != 1) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "%s: expected %d hexadecimal digits", name, MASK_HEX_LEN));
	}
	return (0);
}

json_t *
mlk_json_mask(uint64_t mask)
{
	char text[MASK_HEX_LEN + 1];

	(void)snprintf(text, sizeof(text), "%016" PRIx64, mask);
	return (json_string(text));
}

json_t *
mlk_json_key(struct mlk_key key)
{
	char text[MLK_KEY_HEX_LEN + 1];

	mlk_key_format(key, text);
	return (json_string(text));
}
