/*
 * Decodes answers of the table service into views.  One malformed row makes the
 * whole answer invalid: if an agent row were skipped, an owner could conclude
 * that it knows all ids that agents may have run, without those of the skipped
 * agent.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "rows.h"

#define HTTP_OK 200

static bool
has_prefix(const char *text, const char *prefix)
{
	return (strncmp(text, prefix, strlen(prefix)) == 0);
}

static uint32_t
count_prefix(const json_t *rows, const char *prefix)
{
	const char *key;
	const json_t *row;
	uint32_t n = 0;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		key = json_string_value(json_object_get(row, "key"));
		if (key != NULL && has_prefix(key, prefix))
			n++;
	}
	return (n);
}

/*
 * Allocates the view's lists with room for all rows of the answer.
 */
static int
view_allocate(
    struct mlk_store_view *view, const json_t *rows, struct mlk_error *err)
{
	/* One more than needed, as calloc(0) may return NULL. */
	view->entries = calloc(
	    count_prefix(rows, PREFIX_ENTRY) + 1U, sizeof(*view->entries));
	view->agents = calloc(
	    count_prefix(rows, PREFIX_AGENT) + 1U, sizeof(*view->agents));
	view->claims = calloc(
	    count_prefix(rows, PREFIX_CLAIMS) + 1U, sizeof(*view->claims));
	view->audits = calloc(
	    count_prefix(rows, PREFIX_AUDIT) + 1U, sizeof(*view->audits));
	if (view->entries == NULL || view->agents == NULL ||
	    view->claims == NULL || view->audits == NULL)
		return (mlk_error_set(
		    err, MLK_ERR_NOMEM, "table service: out of memory"));
	return (0);
}

/*
 * Decodes an existing row into the part of the view that its key prefix
 * selects.  Rows with other keys are ignored.
 */
static int
view_list_row(struct mlk_store_view *view, const char *key, uint64_t version,
    const json_t *value, struct mlk_error *err)
{
	if (has_prefix(key, PREFIX_ENTRY)) {
		view->entries[view->nentries].row_version = version;
		return (row_to_entry(
		    value, &view->entries[view->nentries++].info, err));
	}
	if (has_prefix(key, PREFIX_AGENT)) {
		view->agents[view->nagents].row_version = version;
		return (
		    row_to_agent(value, &view->agents[view->nagents++], err));
	}
	if (has_prefix(key, PREFIX_CLAIMS)) {
		view->claims[view->nclaims].row_version = version;
		return (
		    row_to_claims(value, &view->claims[view->nclaims++], err));
	}
	if (has_prefix(key, PREFIX_RECORD)) {
		view->has_record = true;
		return (row_to_record(value, &view->record, err));
	}
	if (has_prefix(key, PREFIX_AUDIT)) {
		return (mlk_json_to_audit(
		    value, &view->audits[view->naudits++], err));
	}
	return (0);
}

/*
 * Decodes one row of the answer.  Version 0 means that the row does not exist.
 */
static int
view_row(struct mlk_store_view *view, const json_t *row, struct mlk_error *err)
{
	const json_t *value;
	const char *key;
	int64_t version = -1;
	int rc;

	key = json_string_value(json_object_get(row, "key"));
	value = json_object_get(row, "value");
	rc = mlk_json_get_int(row, "version", 0, INT64_MAX, &version, err);
	if (rc != 0)
		return (rc);
	if (key == NULL || version < 0)
		return (mlk_error_set(err, MLK_ERR_PROTOCOL,
		    "row: expected a key and a version"));
	if (version == 0)
		return (0);
	if (!json_is_object(value))
		return (mlk_error_set(
		    err, MLK_ERR_PROTOCOL, "%.64s: expected a value", key));
	if (strcmp(key, KEY_OWNERSHIP) == 0) {
		view->ownership.row_version = (uint64_t)version;
		return (row_to_ownership(value, &view->ownership, err));
	}
	if (strcmp(key, KEY_CONFIG) == 0) {
		view->config_row_version = (uint64_t)version;
		return (mlk_json_to_config(value, &view->config, err));
	}
	return (view_list_row(view, key, (uint64_t)version, value, err));
}

static int
audit_compare(const void *a, const void *b)
{
	const struct mlk_audit_record *x = a, *y = b;

	return ((x->version > y->version) - (x->version < y->version));
}

/*
 * Sets has_ownership and has_config when the operation reads these rows, even
 * if they do not exist yet.
 */
static void
view_mark_read(const struct mlk_store_op *op, struct mlk_store_view *view)
{
	switch (op->type) {
	case MLK_STORE_POLL:
		view->has_ownership = view->has_config = !op->expect_unchanged;
		break;
	case MLK_STORE_REGISTER_ENTRY:
	case MLK_STORE_REMOVE_ENTRY:
	case MLK_STORE_REGISTER_AGENT:
	case MLK_STORE_TAKEOVER:
	case MLK_STORE_AGENTS:
		view->has_ownership = true;
		view->has_config = true;
		break;
	case MLK_STORE_CLOSE_AGENT:
		view->has_ownership = true;
		break;
	case MLK_STORE_CONFIRM:
		view->has_config = true;
		break;
	case MLK_STORE_REMOVE_AGENT:
	case MLK_STORE_LEAVE_AGENT:
	case MLK_STORE_READ_RECORD:
	case MLK_STORE_AUDIT:
		break;
	}
}

static int
view_read(const struct mlk_store_op *op, const json_t *rows,
    struct mlk_store_view *view, struct mlk_error *err)
{
	const json_t *row;
	size_t i;
	int rc;

	rc = view_allocate(view, rows, err);
	if (rc != 0)
		return (rc);
	json_array_foreach(rows, i, row)
	{
		rc = view_row(view, row, err);
		if (rc != 0)
			return (rc);
	}
	qsort(
	    view->audits, view->naudits, sizeof(*view->audits), audit_compare);
	view_mark_read(op, view);
	return (0);
}

/*
 * Returns 0 or MLK_ERR_NOMEM.  Every other error gives UNAVAILABLE in *status,
 * with its message in *err.  Audit records are sorted by version.
 */
int
mlk_platform_decode(const struct mlk_store_op *op, int http_status,
    const uint8_t *body, size_t body_len, enum mlk_store_status *status,
    struct mlk_store_view *view, struct mlk_error *err)
{
	const json_t *committed, *rows;
	json_error_t fault;
	json_t *json;
	int rc = 0;

	memset(view, 0, sizeof(*view));
	*status = MLK_STORE_UNAVAILABLE;
	if (http_status != HTTP_OK) {
		(void)mlk_error_set(err, MLK_ERR_UNAVAILABLE,
		    http_status == 0 ? "table service: no answer" :
				       "table service: status %d",
		    http_status);
		return (0);
	}
	json = json_loadb((const char *)body, body_len, 0, &fault);
	committed = json_object_get(json, "committed");
	rows = json_object_get(json, "rows");
	if (!json_is_boolean(committed) || !json_is_array(rows)) {
		(void)mlk_error_set(err, MLK_ERR_PROTOCOL,
		    "table service: answer without committed and rows");
	} else {
		rc = view_read(op, rows, view, err);
		if (rc == 0) {
			*status = json_is_true(committed) ? MLK_STORE_OK :
							    MLK_STORE_CONFLICT;
		} else {
			mlk_store_view_clear(view);
		}
	}
	json_decref(json);
	return (rc == MLK_ERR_NOMEM ? rc : 0);
}
