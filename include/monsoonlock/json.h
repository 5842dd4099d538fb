/*
 * JSON library: the JSON form of the configuration document and of plans,
 * shared by the table service client, the entry's HTTP API and monsoonctl.
 *
 * Functions that write JSON return a new reference, or NULL when out of memory.
 * Functions that read it return 0, MLK_ERR_NOMEM, or MLK_ERR_INVALID with a
 * message that starts with the name of the field; they copy the values. Digests
 * are 32 hexadecimal digits, times are time_t seconds.
 */
#ifndef MONSOONLOCK_JSON_H
#define MONSOONLOCK_JSON_H

#include <jansson.h>

#include <monsoonlock/core.h>

/* {"id","type","subject","target","value","author","reason","created",
 * "expires","displaced"}; all but type are optional when read. */
json_t *mlk_json_from_intent(const struct mlk_intent *intent);
int mlk_json_to_intent(
    const json_t *json, struct mlk_intent *out, struct mlk_error *err);

/* {"version","digest","intents"}; cleared by mlk_config_clear(). */
json_t *mlk_json_from_config(const struct mlk_config *config);
int mlk_json_to_config(
    const json_t *json, struct mlk_config *out, struct mlk_error *err);

/* {"remove","intent"}; mlk_json_to_change() rejects unknown keys. */
json_t *mlk_json_from_change(const struct mlk_change *change);
int mlk_json_to_change(
    const json_t *json, struct mlk_change *out, struct mlk_error *err);

/* {"digest","base_version","effects","change"}; the resulting configuration
 * is not included and is empty in a plan that was read. */
json_t *mlk_json_from_plan(const struct mlk_plan *plan);
int mlk_json_to_plan(
    const json_t *json, struct mlk_plan **out, struct mlk_error *err);

/* {"version","digest","at","author","summary","change"} */
json_t *mlk_json_from_audit(const struct mlk_audit_record *audit);
int mlk_json_to_audit(
    const json_t *json, struct mlk_audit_record *out, struct mlk_error *err);

/* {"error":{"code","field","message"}}; field may be NULL. */
json_t *mlk_json_from_error(int code, const char *field, const char *message);
const char *mlk_json_error_name(int code); /* "conflict", "denied", ... */

/*
 * Access to single members, for other documents.  A member that is absent or
 * null leaves *out unchanged.  mlk_json_get_text() does not truncate: a text of
 * size bytes or more is an error.
 */
int mlk_json_get_text(const json_t *json, const char *name, char *out,
    size_t size, struct mlk_error *err);
int mlk_json_get_int(const json_t *json, const char *name, int64_t min,
    int64_t max, int64_t *out, struct mlk_error *err);
int mlk_json_get_bool(
    const json_t *json, const char *name, bool *out, struct mlk_error *err);
int mlk_json_get_key(const json_t *json, const char *name, struct mlk_key *out,
    struct mlk_error *err);
int mlk_json_get_mask(const json_t *json, const char *name, uint64_t *out,
    struct mlk_error *err); /* 16 hexadecimal digits */
json_t *mlk_json_mask(uint64_t mask);
json_t *mlk_json_key(struct mlk_key key);

#endif
