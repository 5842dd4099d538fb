/*
 * Private header: rows of the table service as JSON documents.
 */
#ifndef PLATFORM_ROWS_H
#define PLATFORM_ROWS_H

#include <monsoonlock/json.h>
#include <monsoonlock/platform.h>

#define KEY_OWNERSHIP "ownership"
#define KEY_CONFIG "config"
#define PREFIX_ENTRY "entry/"
#define PREFIX_AGENT "agent/"
#define PREFIX_CLAIMS "claims/"
#define PREFIX_RECORD "record/"
#define PREFIX_AUDIT "audit/"
#define ROW_KEY_MAX (MLK_NAME_MAX + 16)

json_t *row_from_ownership(const struct mlk_ownership *ownership);
int row_to_ownership(
    const json_t *json, struct mlk_ownership *out, struct mlk_error *err);
json_t *row_from_entry(const struct mlk_peer_info *info);
int row_to_entry(
    const json_t *json, struct mlk_peer_info *out, struct mlk_error *err);
json_t *row_from_agent(const struct mlk_agent_row *agent);
int row_to_agent(
    const json_t *json, struct mlk_agent_row *out, struct mlk_error *err);
json_t *row_from_claims(const struct mlk_claims_row *claims);
int row_to_claims(
    const json_t *json, struct mlk_claims_row *out, struct mlk_error *err);
json_t *row_from_record(const struct mlk_record_row *record);
int row_to_record(
    const json_t *json, struct mlk_record_row *out, struct mlk_error *err);

#endif
