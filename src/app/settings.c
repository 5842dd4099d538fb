/*
 * Settings files: YAML read by libcyaml with a schema that is built from the
 * program's rules.  Every key is optional in the schema and read through a
 * pointer, so that an absent key can be distinguished from a zero; required
 * keys and ranges are checked afterwards.
 *
 * libcyaml reports a line only for the errors that it detects.  For a range
 * error, the file is loaded again with a schema that knows only that key and
 * accepts no value for it, and the line is taken from the error.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cyaml/cyaml.h>

#include "settings.h"

#define TEXT_MAX 4096 /* bytes in one scalar of the file */
#define FILE_MAX (1024 * 1024) /* bytes in a settings file */
#define TOKEN_MIN 8 /* characters; shorter ones can be guessed */
#define TOKEN_MAX 256
#define GROUPS_MAX 16

const char *const settings_levels[] = { "error", "warning", "notice", "info",
	"debug", NULL };
const char *const settings_formats[] = { "text", "json", NULL };
const char *const settings_policies[] = { "credits", "random", "least-loaded",
	NULL };
static const char *const roles[] = { "caller", "operator", NULL };

struct raw_token {
	char *name;
	char *role;
	char *token;
};

/* The values that libcyaml read, one per rule; count is set only for lists. */
struct raw {
	void *value[RULES_MAX];
	uint32_t count[RULES_MAX];
};

/* A schema with the arrays that it refers to. */
struct schema {
	cyaml_schema_field_t top[RULES_MAX + 1];
	cyaml_schema_field_t group[GROUPS_MAX][RULES_MAX + 1];
	char group_name[GROUPS_MAX][MLK_NAME_MAX];
	size_t ngroups;
	cyaml_schema_value_t root;
};

/* The contents of a settings file. */
struct source {
	const char *path;
	gchar *data;
	gsize len;
};

static const cyaml_schema_value_t addr_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 0, TEXT_MAX),
};

static const cyaml_schema_field_t token_fields[] = {
	CYAML_FIELD_STRING_PTR(
	    "name", CYAML_FLAG_POINTER, struct raw_token, name, 0, TEXT_MAX),
	CYAML_FIELD_STRING_PTR(
	    "role", CYAML_FLAG_POINTER, struct raw_token, role, 0, TEXT_MAX),
	CYAML_FIELD_STRING_PTR(
	    "token", CYAML_FLAG_POINTER, struct raw_token, token, 0, TEXT_MAX),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t token_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct raw_token, token_fields),
};

/*
 * libcyaml log function: appends the message to ctx, a GString.
 */
static void
capture_log(cyaml_log_t level, void *ctx, const char *fmt, va_list args)
{
	(void)level;
	g_string_append_vprintf(ctx, fmt, args);
}

static cyaml_config_t
reader_config(GString *log)
{
	return ((cyaml_config_t){
	    .log_fn = capture_log,
	    .log_ctx = log,
	    .mem_fn = cyaml_mem,
	    .log_level = CYAML_LOG_ERROR,
	    .flags = CYAML_CFG_NO_ALIAS,
	});
}

/*
 * Returns the line number in the first backtrace entry, or 0.
 */
static unsigned long
parse_line_number(const char *log)
{
	const char *p;

	p = strstr(log, "(line: ");
	return (p == NULL ? 0 : strtoul(p + strlen("(line: "), NULL, 10));
}

/*
 * Returns the line of a "name" or "group.name" key, or 0 when it is not in the
 * file.  For "name[index]", returns the line of name.
 */
static unsigned long
key_line(const struct source *src, const char *key)
{
	static const cyaml_strval_t none[] = { { "", 0 } };
	cyaml_schema_field_t leaf[2] = { { .key = NULL } };
	cyaml_schema_field_t top[2] = { { .key = NULL } };
	cyaml_schema_value_t root = { .type = CYAML_MAPPING,
		.flags = CYAML_FLAG_POINTER,
		.data_size = sizeof(struct raw),
		.mapping = { .fields = top } };
	cyaml_config_t config;
	gchar **parts;
	GString *log;
	struct raw *raw = NULL;
	unsigned long line;

	parts = g_strsplit_set(key, ".[", 2);
	leaf[0] = (cyaml_schema_field_t){ .key = parts[0],
		.value = { .type = CYAML_ENUM,
		    .flags = CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
		    .data_size = sizeof(int),
		    .enumeration = { .strings = none, .count = 0 } } };
	top[0] = leaf[0];
	if (parts[1] != NULL && strchr(key, '[') == NULL) {
		leaf[0].key = parts[1];
		top[0].value = (cyaml_schema_value_t){ .type = CYAML_MAPPING,
			.flags = CYAML_FLAG_OPTIONAL,
			.data_size = sizeof(struct raw),
			.mapping = { .fields = leaf } };
	}
	log = g_string_new(NULL);
	config = reader_config(log);
	config.flags |= CYAML_CFG_IGNORE_UNKNOWN_KEYS;
	line = 0;
	if (cyaml_load_data((const uint8_t *)src->data, src->len, &config,
		&root, (cyaml_data_t **)&raw, NULL) == CYAML_OK)
		(void)cyaml_free(&config, &root, raw, 0);
	else
		line = parse_line_number(log->str);
	(void)g_string_free(log, TRUE);
	g_strfreev(parts);
	return (line);
}

/*
 * Sets the error for one key and returns MLK_ERR_SETTINGS.
 */
static int
reject(const struct source *src, const char *key, const char *expected,
    const char *found, struct mlk_error *err)
{
	unsigned long line;

	line = key_line(src, key);
	if (line == 0) {
		return (mlk_error_set(err, MLK_ERR_SETTINGS,
		    "settings: %s: %s: expected %s, found %.64s", src->path,
		    key, expected, found));
	}
	return (mlk_error_set(err, MLK_ERR_SETTINGS,
	    "settings: %s: %s: expected %s, found %.64s (line %lu)", src->path,
	    key, expected, found, line));
}

static int
source_read(const char *path, struct source *src, struct mlk_error *err)
{
	GError *error = NULL;

	src->path = path;
	if (!g_file_get_contents(path, &src->data, &src->len, &error)) {
		(void)mlk_error_set(
		    err, MLK_ERR_SETTINGS, "settings: %s", error->message);
		g_error_free(error);
		return (MLK_ERR_SETTINGS);
	}
	if (src->len > FILE_MAX) {
		(void)mlk_error_set(err, MLK_ERR_SETTINGS,
		    "settings: %s: expected at most %d bytes, found %zu", path,
		    FILE_MAX, (size_t)src->len);
		g_free(src->data);
		return (MLK_ERR_SETTINGS);
	}
	return (0);
}

/*
 * As reject(), for the checks that a program makes after settings_read().
 */
int
settings_reject(const char *path, const char *key, const char *expected,
    const char *found, struct mlk_error *err)
{
	struct source src;

	if (source_read(path, &src, err) != 0)
		return (MLK_ERR_SETTINGS);
	(void)reject(&src, key, expected, found, err);
	g_free(src.data);
	return (MLK_ERR_SETTINGS);
}

bool
settings_is_wildcard(const char *addr)
{
	return (g_str_has_prefix(addr, "0.0.0.0:") ||
	    g_str_has_prefix(addr, "[::]:"));
}

static double
ms_per_unit(const struct rule *rule)
{
	return (rule->kind == RULE_S ? 1000.0 : 1.0);
}

/*
 * Describes the values that a rule accepts.
 */
static void
describe_rule(const struct rule *rule, char *out, size_t size)
{
	gchar *joined;

	switch (rule->kind) {
	case RULE_UINT:
		(void)snprintf(
		    out, size, "%" PRId64 "..%" PRId64, rule->min, rule->max);
		break;
	case RULE_CHOICE:
		joined = g_strjoinv("|", (gchar **)rule->choices);
		(void)g_strlcpy(out, joined, size);
		g_free(joined);
		break;
	case RULE_NAME:
		(void)snprintf(out, size,
		    "1..%d letters, digits, '-', '_' or '.'", MLK_NAME_MAX - 1);
		break;
	case RULE_ADDR:
		(void)snprintf(out, size, "ip:port");
		break;
	case RULE_PATH:
		(void)snprintf(
		    out, size, "a file name below %d bytes", MLK_PATH_MAX);
		break;
	case RULE_ADDR_LIST:
		(void)snprintf(out, size, "a list of ip:port");
		break;
	case RULE_PAIR_LIST:
		(void)snprintf(out, size,
		    "a list of at most %" PRId64 " \"ROUTE ROUTE\"", rule->max);
		break;
	case RULE_TOKENS:
		(void)snprintf(out, size, "a list of {name, role, token}");
		break;
	case RULE_MS:
	case RULE_S:
		(void)snprintf(out, size, "a number from %g to %g",
		    (double)rule->min / ms_per_unit(rule),
		    (double)rule->max / ms_per_unit(rule));
		break;
	}
}

static int
reject_rule(const struct source *src, const struct rule *rule,
    const char *found, struct mlk_error *err)
{
	char expected[128];

	describe_rule(rule, expected, sizeof(expected));
	return (reject(src, rule->key, expected, found, err));
}

static cyaml_schema_value_t
value_schema(enum rule_kind kind)
{
	cyaml_schema_value_t value = { .type = CYAML_STRING,
		.flags = CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
		.data_size = sizeof(char) };

	switch (kind) {
	case RULE_UINT:
		/* Signed, so that errors show negative numbers correctly. */
		value.type = CYAML_INT;
		value.data_size = sizeof(int64_t);
		break;
	case RULE_ADDR_LIST:
	case RULE_PAIR_LIST:
		value.type = CYAML_SEQUENCE;
		value.data_size = sizeof(char *);
		value.sequence.entry = &addr_schema;
		value.sequence.max = CYAML_UNLIMITED;
		break;
	case RULE_TOKENS:
		value.type = CYAML_SEQUENCE;
		value.data_size = sizeof(struct raw_token);
		value.sequence.entry = &token_schema;
		value.sequence.max = CYAML_UNLIMITED;
		break;
	case RULE_CHOICE:
	case RULE_NAME:
	case RULE_ADDR:
	case RULE_PATH:
	case RULE_MS:
	case RULE_S:
		value.string.max = TEXT_MAX;
		break;
	}
	return (value);
}

/*
 * Returns the field array of the group in key, adding the group to the top
 * level when it is new.  Returns NULL for a key without a group.  A group has
 * no struct of its own, so the offsets of its fields are relative to struct
 * raw.
 */
static cyaml_schema_field_t *
schema_group(struct schema *schema, const char *key, size_t *ntop)
{
	const char *dot;
	size_t i, len;

	dot = strchr(key, '.');
	if (dot == NULL)
		return (NULL);
	len = (size_t)(dot - key);
	for (i = 0; i < schema->ngroups; i++) {
		if (strlen(schema->group_name[i]) == len &&
		    strncmp(schema->group_name[i], key, len) == 0)
			return (schema->group[i]);
	}
	i = schema->ngroups++;
	g_assert(i < GROUPS_MAX && len < MLK_NAME_MAX);
	memcpy(schema->group_name[i], key, len);
	schema->top[(*ntop)++] = (cyaml_schema_field_t){
		.key = schema->group_name[i],
		.value = { .type = CYAML_MAPPING,
		    .flags = CYAML_FLAG_OPTIONAL,
		    .data_size = sizeof(struct raw),
		    .mapping = { .fields = schema->group[i] } },
	};
	return (schema->group[i]);
}

static void
schema_build(struct schema *schema, const struct rule *rules, size_t nrules)
{
	cyaml_schema_field_t *fields, field;
	size_t i, n, ntop = 0;

	memset(schema, 0, sizeof(*schema));
	for (i = 0; i < nrules; i++) {
		field = (cyaml_schema_field_t){
			.key = rules[i].key,
			.data_offset =
			    (uint32_t)offsetof(struct raw, value[0]) +
			    (uint32_t)(i * sizeof(void *)),
			.count_offset =
			    (uint32_t)offsetof(struct raw, count[0]) +
			    (uint32_t)(i * sizeof(uint32_t)),
			.count_size = sizeof(uint32_t),
			.value = value_schema(rules[i].kind),
		};
		fields = schema_group(schema, rules[i].key, &ntop);
		if (fields == NULL) {
			schema->top[ntop++] = field;
			continue;
		}
		field.key = strchr(rules[i].key, '.') + 1;
		for (n = 0; fields[n].key != NULL; n++)
			;
		fields[n] = field;
	}
	schema->root = (cyaml_schema_value_t){ .type = CYAML_MAPPING,
		.flags = CYAML_FLAG_POINTER,
		.data_size = sizeof(struct raw),
		.mapping = { .fields = schema->top } };
}

/*
 * Builds a path such as "tokens[2].role" from libcyaml's backtrace, which lists
 * the innermost position first.
 */
static void
backtrace_path(const char *log, GString *path)
{
	gchar **lines, *name;
	size_t i;

	lines = g_strsplit(log, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		name = strstr(lines[i], "in ");
		if (name == NULL || strstr(lines[i], "(line: ") == NULL)
			continue;
		name = strchr(lines[i], '\'');
		if (name == NULL)
			continue;
		name++;
		name[strcspn(name, "'")] = '\0';
		if (path->len > 0 && path->str[0] != '[')
			(void)g_string_prepend_c(path, '.');
		if (strstr(lines[i], "sequence entry") != NULL) {
			(void)g_string_prepend_c(path, ']');
			(void)g_string_prepend(path, name);
			(void)g_string_prepend_c(path, '[');
		} else {
			(void)g_string_prepend(path, name);
		}
	}
	g_strfreev(lines);
}

/*
 * Appends a name to a path, or with replace, first removes the last name of the
 * path.
 */
static void
path_set_last(GString *path, const char *name, bool replace)
{
	const char *dot;

	if (replace) {
		dot = strrchr(path->str, '.');
		(void)g_string_truncate(
		    path, dot == NULL ? 0 : (gsize)(dot - path->str));
	}
	if (path->len > 0)
		(void)g_string_append_c(path, '.');
	(void)g_string_append(path, name);
}

static const struct rule *
find_rule(const struct rule *rules, size_t nrules, const char *path)
{
	size_t i, len;

	len = strcspn(path, "[");
	for (i = 0; i < nrules; i++) {
		if (strlen(rules[i].key) == len &&
		    strncmp(rules[i].key, path, len) == 0)
			return (&rules[i]);
	}
	return (NULL);
}

/*
 * Extracts the rejected value from a libcyaml message.  Values under `tokens`
 * are not shown, since they may be secrets.
 */
static const char *
rejected_value(char *message, const struct rule *rule)
{
	char *p;

	p = strstr(message, "got event: ");
	if (p != NULL) {
		p += strlen("got event: ");
		p[strcspn(p, "\n")] = '\0';
		if (strcmp(p, "MAPPING_START") == 0)
			return ("a mapping");
		if (strcmp(p, "SEQUENCE_START") == 0)
			return ("a list");
		return (strcmp(p, "SCALAR") == 0 ? "a single value" : p);
	}
	if (rule != NULL && rule->kind == RULE_TOKENS)
		return ("another value");
	p = strchr(message, '\'');
	if (p == NULL)
		return ("a text that is too long");
	p++;
	p[strcspn(p, "'\n")] = '\0';
	return (p);
}

/*
 * Converts a libcyaml error to a settings error.  log has the libcyaml message
 * on its first line, followed by the backtrace.
 */
static int
reject_yaml(const struct source *src, const struct rule *rules, size_t nrules,
    GString *log, cyaml_err_t code, struct mlk_error *err)
{
	const struct rule *rule;
	GString *path;
	char *name;
	int rc;

	path = g_string_new(NULL);
	backtrace_path(log->str, path);
	rule = find_rule(rules, nrules, path->str);
	name = strstr(log->str, ": ");
	name = name == NULL ? NULL : strstr(name + 2, ": ");
	if (name != NULL)
		name = g_strndup(name + 2, strcspn(name + 2, "\n"));
	if (code == CYAML_ERR_INVALID_KEY && name != NULL) {
		path_set_last(path, name, false);
		rc = reject(src, path->str, "a known key", name, err);
	} else if (code == CYAML_ERR_MAPPING_FIELD_MISSING && name != NULL) {
		path_set_last(path, name, true);
		rc = reject(src, path->str, "a value", "nothing", err);
	} else if (code == CYAML_ERR_UNEXPECTED_EVENT && path->len > 0 &&
	    strstr(log->str, "already seen") != NULL) {
		rc = reject(src, path->str, "one value", "two", err);
	} else if (rule != NULL) {
		rc =
		    reject_rule(src, rule, rejected_value(log->str, rule), err);
	} else if (path->len > 0) {
		rc = reject(src, path->str, "a mapping",
		    rejected_value(log->str, NULL), err);
	} else {
		rc = mlk_error_set(err, MLK_ERR_SETTINGS,
		    "settings: %s: expected a YAML mapping, found: %.120s",
		    src->path, log->len > 0 ? log->str : cyaml_strerror(code));
	}
	g_free(name);
	(void)g_string_free(path, TRUE);
	return (rc);
}

/*
 * Returns whether text is an address that fits in MLK_ADDR_MAX.
 */
static bool
addr_valid(const char *text)
{
	return (strlen(text) < MLK_ADDR_MAX && mlk_addr_valid(text));
}

static bool
name_valid(const char *text)
{
	size_t len;

	len = strlen(text);
	return (len > 0 && len < MLK_NAME_MAX &&
	    strspn(text,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-_.") == len);
}

/*
 * Returns the index of text in a NULL-terminated list, or -1.
 */
static int
choice_index(const char *const *choices, const char *text)
{
	int i;

	for (i = 0; choices[i] != NULL; i++)
		if (strcmp(choices[i], text) == 0)
			return (i);
	return (-1);
}

static int
apply_addr_list(const struct source *src, const struct rule *rule,
    char **values, uint32_t n, struct addr_list *out, struct mlk_error *err)
{
	char key[MLK_NAME_MAX];
	uint32_t i;

	out->items = g_malloc0_n(n, sizeof(*out->items));
	for (i = 0; i < n; i++) {
		if (!addr_valid(values[i])) {
			(void)snprintf(
			    key, sizeof(key), "%s[%u]", rule->key, i + 1);
			return (reject(src, key, "ip:port", values[i], err));
		}
		(void)g_strlcpy(out->items[i], values[i], MLK_ADDR_MAX);
	}
	out->n = n;
	return (0);
}

static bool
parse_pair(const char *text, struct mlk_route_pair *out)
{
	gchar **names;
	bool valid;

	names = g_strsplit(text, " ", 3);
	valid = g_strv_length(names) == 2 && name_valid(names[0]) &&
	    name_valid(names[1]);
	if (valid) {
		(void)g_strlcpy(out->a, names[0], sizeof(out->a));
		(void)g_strlcpy(out->b, names[1], sizeof(out->b));
	}
	g_strfreev(names);
	return (valid);
}

static int
apply_pair_list(const struct source *src, const struct rule *rule,
    char **values, uint32_t n, struct pair_list *out, struct mlk_error *err)
{
	char key[MLK_NAME_MAX];
	uint32_t i;

	if (n > rule->max)
		return (reject_rule(src, rule, "more", err));
	out->items = g_malloc0_n(n, sizeof(*out->items));
	for (i = 0; i < n; i++) {
		if (parse_pair(values[i], &out->items[i]))
			continue;
		(void)snprintf(key, sizeof(key), "%s[%u]", rule->key, i + 1);
		return (reject(src, key, "two names separated by a space",
		    values[i], err));
	}
	out->n = n;
	return (0);
}

static int
apply_token(const struct source *src, const char *key,
    const struct raw_token *raw, struct mlk_token *out, struct mlk_error *err)
{
	char expected[64], found[64];
	size_t len;
	int role;

	if (!name_valid(raw->name))
		return (reject(src, key, "a valid name", raw->name, err));
	role = choice_index(roles, raw->role);
	if (role < 0)
		return (
		    reject(src, key, "role caller|operator", raw->role, err));
	len = strlen(raw->token);
	if (len < TOKEN_MIN || len > TOKEN_MAX) {
		(void)snprintf(expected, sizeof(expected),
		    "a token of %d..%d characters", TOKEN_MIN, TOKEN_MAX);
		(void)snprintf(found, sizeof(found), "%zu characters", len);
		return (reject(src, key, expected, found, err));
	}
	(void)g_strlcpy(out->name, raw->name, sizeof(out->name));
	out->role = role == 0 ? MLK_ROLE_CALLER : MLK_ROLE_OPERATOR;
	mlk_token_digest(raw->token, out->digest);
	return (0);
}

static int
apply_tokens(const struct source *src, const struct rule *rule,
    const struct raw_token *values, uint32_t n, struct mlk_tokens *out,
    struct mlk_error *err)
{
	char key[MLK_NAME_MAX];
	uint32_t i;
	int rc;

	out->items = g_malloc0_n(n, sizeof(*out->items));
	for (i = 0; i < n; i++) {
		(void)snprintf(key, sizeof(key), "%s[%u]", rule->key, i + 1);
		rc = apply_token(src, key, &values[i], &out->items[i], err);
		if (rc != 0)
			return (rc);
	}
	out->n = n;
	return (0);
}

static int
apply_uint(const struct source *src, const struct rule *rule,
    const int64_t *value, void *target, struct mlk_error *err)
{
	char found[32];

	if (*value < rule->min || *value > rule->max) {
		(void)snprintf(found, sizeof(found), "%" PRId64, *value);
		return (reject_rule(src, rule, found, err));
	}
	*(uint32_t *)target = (uint32_t)*value;
	return (0);
}

/*
 * Stores a decimal number of milliseconds or seconds, rounded to milliseconds.
 */
static int
apply_decimal(const struct source *src, const struct rule *rule,
    const char *text, void *target, struct mlk_error *err)
{
	double value;
	char *end;

	value = g_ascii_strtod(text, &end) * ms_per_unit(rule);
	if (end == text || *end != '\0' || !(value >= (double)rule->min) ||
	    !(value <= (double)rule->max))
		return (reject_rule(src, rule, text, err));
	*(uint32_t *)target = (uint32_t)(value + 0.5);
	return (0);
}

/*
 * Checks the value that was read for a rule and stores it at target.
 */
static int
apply_value(const struct source *src, const struct rule *rule,
    const struct raw *raw, size_t rule_index, void *target,
    struct mlk_error *err)
{
	const char *text = raw->value[rule_index];

	switch (rule->kind) {
	case RULE_UINT:
		return (
		    apply_uint(src, rule, raw->value[rule_index], target, err));
	case RULE_CHOICE:
		if (choice_index(rule->choices, text) < 0)
			return (reject_rule(src, rule, text, err));
		*(int *)target = choice_index(rule->choices, text);
		return (0);
	case RULE_NAME:
		if (!name_valid(text))
			return (reject_rule(src, rule, text, err));
		(void)g_strlcpy(target, text, MLK_NAME_MAX);
		return (0);
	case RULE_ADDR:
		if (!addr_valid(text))
			return (reject_rule(src, rule, text, err));
		(void)g_strlcpy(target, text, MLK_ADDR_MAX);
		return (0);
	case RULE_PATH:
		if (text[0] == '\0' || strlen(text) >= MLK_PATH_MAX)
			return (reject_rule(src, rule, text, err));
		(void)g_strlcpy(target, text, MLK_PATH_MAX);
		return (0);
	case RULE_ADDR_LIST:
		return (apply_addr_list(src, rule, raw->value[rule_index],
		    raw->count[rule_index], target, err));
	case RULE_PAIR_LIST:
		return (apply_pair_list(src, rule, raw->value[rule_index],
		    raw->count[rule_index], target, err));
	case RULE_MS:
	case RULE_S:
		return (apply_decimal(src, rule, text, target, err));
	case RULE_TOKENS:
		return (apply_tokens(src, rule, raw->value[rule_index],
		    raw->count[rule_index], target, err));
	}
	return (MLK_ERR_SETTINGS);
}

/*
 * Checks and stores the values of all rules, or their defaults.  raw may be
 * NULL.
 */
static int
apply_rules(const struct source *src, const struct rule *rules, size_t nrules,
    const struct raw *raw, void *result, struct mlk_error *err)
{
	const struct rule *rule;
	uint8_t *target;
	size_t i;
	int rc;

	for (i = 0; i < nrules; i++) {
		rule = &rules[i];
		target = (uint8_t *)result + rule->offset;
		if (raw != NULL && raw->value[i] != NULL) {
			rc = apply_value(src, rule, raw, i, target, err);
			if (rc != 0)
				return (rc);
		} else if (rule->required) {
			return (reject_rule(src, rule, "nothing", err));
		} else if (rule->kind == RULE_UINT || rule->kind == RULE_MS ||
		    rule->kind == RULE_S) {
			*(uint32_t *)(void *)target = rule->default_value;
		} else if (rule->kind == RULE_CHOICE) {
			*(int *)(void *)target = (int)rule->default_value;
		}
	}
	return (0);
}

/*
 * Reads and checks a file and stores its values in result.  On failure, result
 * may contain allocated lists, which the caller frees.
 */
int
settings_read(const char *path, const struct rule *rules, size_t nrules,
    void *result, struct mlk_error *err)
{
	struct schema schema;
	struct source src;
	struct raw *raw = NULL;
	cyaml_config_t config;
	cyaml_err_t code;
	GString *log;
	int rc;

	g_assert(nrules <= RULES_MAX);
	if (source_read(path, &src, err) != 0)
		return (MLK_ERR_SETTINGS);
	schema_build(&schema, rules, nrules);
	log = g_string_new(NULL);
	config = reader_config(log);
	code = cyaml_load_data((const uint8_t *)src.data, src.len, &config,
	    &schema.root, (cyaml_data_t **)&raw, NULL);
	if (code != CYAML_OK) {
		rc = reject_yaml(&src, rules, nrules, log, code, err);
	} else {
		rc = apply_rules(&src, rules, nrules, raw, result, err);
		(void)cyaml_free(&config, &schema.root, raw, 0);
	}
	(void)g_string_free(log, TRUE);
	g_free(src.data);
	return (rc);
}
