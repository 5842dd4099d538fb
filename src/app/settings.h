/*
 * Private: the table-driven reader of settings files.  A program lists its
 * keys as rules, which define the libcyaml schema, the checks, the defaults and
 * the error messages.
 */
#ifndef APP_SETTINGS_H
#define APP_SETTINGS_H

#include <monsoonlock/app.h>

enum rule_kind {
	RULE_UINT, /* uint32_t, min..max */
	RULE_CHOICE, /* int or int-sized enum; index of the text in choices */
	RULE_NAME, /* char[MLK_NAME_MAX], letters, digits and -_. */
	RULE_ADDR, /* char[MLK_ADDR_MAX], ip:port */
	RULE_PATH, /* char[MLK_PATH_MAX] */
	RULE_ADDR_LIST, /* struct addr_list */
	RULE_PAIR_LIST, /* struct pair_list; "ROUTE ROUTE", at most max */
	RULE_TOKENS, /* struct mlk_tokens */
	RULE_MS, /* uint32_t in ms; a decimal number, rounded */
	RULE_S, /* as RULE_MS, but the file has seconds; min and max are ms */
};

struct addr_list {
	uint32_t n;
	char (*items)[MLK_ADDR_MAX];
};

struct pair_list {
	uint32_t n;
	struct mlk_route_pair *items;
};

struct rule {
	const char *key; /* "name" or "group.name" */
	enum rule_kind kind;
	size_t offset; /* of the value in the result */
	bool required;
	int64_t min;
	int64_t max;
	uint32_t default_value; /* used when the key is absent */
	const char *const *choices; /* NULL-terminated */
};

#define RULES_MAX 40

/* Reads the file into result; bytes that no rule covers are unchanged. */
int settings_read(const char *path, const struct rule *rules, size_t nrules,
    void *result, struct mlk_error *err);
/* Sets the error of a check across several keys, with the line of key. */
int settings_reject(const char *path, const char *key, const char *expected,
    const char *found, struct mlk_error *err);

/* Returns whether addr, an "ip:port", is that of all interfaces. */
bool settings_is_wildcard(const char *addr);

extern const char *const settings_levels[];
extern const char *const settings_formats[];
extern const char *const settings_policies[];

#endif
