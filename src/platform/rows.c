/*
 * Rows of the table service as JSON documents:
 *
 * ownership         {"part":[{"epoch","owner","incarnation"}]}, one item for
 *                   each partition
 * entry/ID          the fields of struct mlk_peer_info
 * agent/ID          the fields of struct mlk_agent_row
 * claims/PARTITION  {"partition","claims":[{"key","saved_at"}]}
 * record/ID         {"id","saved":[{"saved_at","hashes"}]}; hashes is a string
 *                   with 8 digits for each hash
 * config            see json.h
 * audit/VERSION     see json.h
 *
 * Masks, incarnations, hashes and keys are hexadecimal strings, since not every
 * JSON implementation keeps 64-bit numbers exact.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rows.h"

#define HASH_HEX_LEN 8

/*
 * Appends an item to *list and takes ownership of the reference.  When `item`
 * is NULL or cannot be appended, *list becomes NULL, so that no row with a
 * missing item is written.
 */
static void
list_append(json_t **list, json_t *item)
{
	if (*list == NULL) {
		json_decref(item);
		return;
	}
	if (json_array_append_new(*list, item) == 0)
		return;
	json_decref(*list);
	*list = NULL;
}

json_t *
row_from_ownership(const struct mlk_ownership *ownership)
{
	json_t *part;
	int i;

	part = json_array();
	for (i = 0; i < MLK_PARTITIONS; i++) {
		list_append(&part,
		    json_pack("{sI ss so}", "epoch",
			(json_int_t)ownership->part[i].epoch, "owner",
			ownership->part[i].owner, "incarnation",
			mlk_json_mask(ownership->part[i].incarnation)));
	}
	return (json_pack("{so}", "part", part));
}

int
row_to_ownership(
    const json_t *json, struct mlk_ownership *out, struct mlk_error *err)
{
	const json_t *part, *item;
	int64_t epoch;
	size_t i;
	int rc;

	part = json_object_get(json, "part");
	if (json_array_size(part) != MLK_PARTITIONS)
		return (mlk_error_set(err, MLK_ERR_PROTOCOL,
		    "ownership: expected %d partitions", MLK_PARTITIONS));
	json_array_foreach(part, i, item)
	{
		epoch = 0;
		rc =
		    mlk_json_get_int(item, "epoch", 0, UINT32_MAX, &epoch, err);
		if (rc == 0) {
			rc =
			    mlk_json_get_text(item, "owner", out->part[i].owner,
				sizeof(out->part[i].owner), err);
		}
		if (rc == 0) {
			rc = mlk_json_get_mask(item, "incarnation",
			    &out->part[i].incarnation, err);
		}
		if (rc != 0)
			return (rc);
		out->part[i].epoch = (uint32_t)epoch;
	}
	return (0);
}

json_t *
row_from_entry(const struct mlk_peer_info *info)
{
	return (json_pack("{ss so ss ss}", "id", info->id, "incarnation",
	    mlk_json_mask(info->incarnation), "addr", info->addr, "dc",
	    info->dc));
}

int
row_to_entry(
    const json_t *json, struct mlk_peer_info *out, struct mlk_error *err)
{
	int rc;

	rc = mlk_json_get_text(json, "id", out->id, sizeof(out->id), err);
	if (rc == 0) {
		rc = mlk_json_get_mask(
		    json, "incarnation", &out->incarnation, err);
	}
	if (rc == 0) {
		rc = mlk_json_get_text(
		    json, "addr", out->addr, sizeof(out->addr), err);
	}
	if (rc == 0) {
		rc = mlk_json_get_text(
		    json, "dc", out->dc, sizeof(out->dc), err);
	}
	return (rc);
}

json_t *
row_from_agent(const struct mlk_agent_row *agent)
{
	return (json_pack("{ss so ss sI so so sI sI}", "id", agent->id,
	    "incarnation", mlk_json_mask(agent->incarnation), "dc", agent->dc,
	    "slots", (json_int_t)agent->slots, "complete",
	    mlk_json_mask(agent->complete), "closed",
	    mlk_json_mask(agent->closed), "closed_at",
	    (json_int_t)agent->closed_at, "record_at",
	    (json_int_t)agent->record_at));
}

int
row_to_agent(
    const json_t *json, struct mlk_agent_row *out, struct mlk_error *err)
{
	int64_t slots = 0;
	int rc;

	rc = mlk_json_get_text(json, "id", out->id, sizeof(out->id), err);
	if (rc == 0) {
		rc = mlk_json_get_mask(
		    json, "incarnation", &out->incarnation, err);
	}
	if (rc == 0) {
		rc = mlk_json_get_text(
		    json, "dc", out->dc, sizeof(out->dc), err);
	}
	if (rc == 0) {
		rc =
		    mlk_json_get_int(json, "slots", 0, UINT32_MAX, &slots, err);
	}
	if (rc == 0)
		rc = mlk_json_get_mask(json, "complete", &out->complete, err);
	if (rc == 0)
		rc = mlk_json_get_mask(json, "closed", &out->closed, err);
	if (rc == 0) {
		rc = mlk_json_get_int(
		    json, "closed_at", 0, INT64_MAX, &out->closed_at, err);
	}
	if (rc == 0) {
		rc = mlk_json_get_int(
		    json, "record_at", 0, INT64_MAX, &out->record_at, err);
	}
	out->slots = (uint32_t)slots;
	return (rc);
}

json_t *
row_from_claims(const struct mlk_claims_row *claims)
{
	json_t *items;
	uint32_t i;

	items = json_array();
	for (i = 0; i < claims->n; i++) {
		list_append(&items,
		    json_pack("{so sI}", "key",
			mlk_json_key(claims->claims[i].key), "saved_at",
			(json_int_t)claims->claims[i].saved_at));
	}
	return (json_pack("{sI so}", "partition", (json_int_t)claims->partition,
	    "claims", items));
}

int
row_to_claims(
    const json_t *json, struct mlk_claims_row *out, struct mlk_error *err)
{
	const json_t *items, *item;
	int64_t partition = -1;
	size_t i;
	int rc;

	items = json_object_get(json, "claims");
	rc = mlk_json_get_int(
	    json, "partition", 0, MLK_PARTITIONS - 1, &partition, err);
	if (rc != 0)
		return (rc);
	if (partition < 0 || !json_is_array(items))
		return (mlk_error_set(err, MLK_ERR_PROTOCOL,
		    "claims: expected a partition and a list"));
	out->partition = (uint32_t)partition;
	if (json_array_size(items) == 0)
		return (0);
	out->claims = calloc(json_array_size(items), sizeof(*out->claims));
	if (out->claims == NULL)
		return (mlk_error_set(err, MLK_ERR_NOMEM, "out of memory"));
	out->n = (uint32_t)json_array_size(items);
	json_array_foreach(items, i, item)
	{
		if (json_object_get(item, "key") == NULL)
			return (mlk_error_set(
			    err, MLK_ERR_PROTOCOL, "claims: expected a key"));
		rc = mlk_json_get_key(item, "key", &out->claims[i].key, err);
		if (rc == 0) {
			rc = mlk_json_get_int(item, "saved_at", 0, INT64_MAX,
			    &out->claims[i].saved_at, err);
		}
		if (rc != 0)
			return (rc);
	}
	return (0);
}

/*
 * Returns one string with the hash at index `first` and those that directly
 * follow it with the same saved_at, and stores their number in *n.  Returns
 * NULL when out of memory.
 */
static char *
hashes_text(const struct mlk_record_row *record, uint32_t first, uint32_t *n)
{
	int64_t at = record->hashes[first].saved_at;
	uint32_t i = first;
	char *text;

	while (i < record->n && record->hashes[i].saved_at == at)
		i++;
	*n = i - first;
	text = malloc((size_t)*n * HASH_HEX_LEN + 1);
	for (i = 0; text != NULL && i < *n; i++) {
		(void)snprintf(text + (size_t)i * HASH_HEX_LEN,
		    HASH_HEX_LEN + 1, "%08" PRIx32,
		    record->hashes[first + i].hash);
	}
	return (text);
}

json_t *
row_from_record(const struct mlk_record_row *record)
{
	json_t *saved;
	uint32_t first, n;
	char *text;

	saved = json_array();
	for (first = 0; first < record->n; first += n) {
		text = hashes_text(record, first, &n);
		list_append(&saved,
		    json_pack("{sI ss}", "saved_at",
			(json_int_t)record->hashes[first].saved_at, "hashes",
			text));
		free(text);
	}
	return (json_pack("{ss so}", "id", record->id, "saved", saved));
}

/*
 * Returns the number of hashes in an item, or -1 when its string is missing or
 * malformed.
 */
static int64_t
hashes_count(const json_t *item)
{
	const char *text = json_string_value(json_object_get(item, "hashes"));
	size_t len;

	if (text == NULL)
		return (-1);
	len = strlen(text);
	if (len % HASH_HEX_LEN != 0 || strspn(text, "0123456789abcdef") != len)
		return (-1);
	return ((int64_t)(len / HASH_HEX_LEN));
}

/*
 * Appends the hashes of an item, which hashes_count() has checked, to *out. The
 * list in *out has room for them.
 */
static int
read_hashes(
    const json_t *item, struct mlk_record_row *out, struct mlk_error *err)
{
	const char *text = json_string_value(json_object_get(item, "hashes"));
	int64_t saved_at = 0;
	int64_t i, n = hashes_count(item);
	int rc;

	rc = mlk_json_get_int(item, "saved_at", 0, INT64_MAX, &saved_at, err);
	if (rc != 0)
		return (rc);
	for (i = 0; i < n; i++) {
		out->hashes[out->n].saved_at = saved_at;
		(void)sscanf(text + i * HASH_HEX_LEN, "%8" SCNx32,
		    &out->hashes[out->n++].hash);
	}
	return (0);
}

int
row_to_record(
    const json_t *json, struct mlk_record_row *out, struct mlk_error *err)
{
	const json_t *saved, *item;
	size_t i, total = 0;
	int64_t n;
	int rc;

	rc = mlk_json_get_text(json, "id", out->id, sizeof(out->id), err);
	if (rc != 0)
		return (rc);
	saved = json_object_get(json, "saved");
	if (!json_is_array(saved))
		return (mlk_error_set(
		    err, MLK_ERR_PROTOCOL, "record: expected a list"));
	json_array_foreach(saved, i, item)
	{
		n = hashes_count(item);
		if (n < 0)
			return (mlk_error_set(
			    err, MLK_ERR_PROTOCOL, "record: expected hashes"));
		total += (size_t)n;
	}
	out->hashes = calloc(total + 1, sizeof(*out->hashes));
	if (out->hashes == NULL)
		return (mlk_error_set(err, MLK_ERR_NOMEM, "out of memory"));
	json_array_foreach(saved, i, item)
	{
		rc = read_hashes(item, out, err);
		if (rc != 0)
			return (rc);
	}
	return (0);
}
