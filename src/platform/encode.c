/*
 * Encodes table operations as the body of POST /v1/txn: conditions on row
 * versions, writes, and reads, which see the state after the transaction.
 *
 * An operation also reads the rows that it writes, by key or by prefix: when it
 * is sent again after its answer was lost, they show whether it took effect.
 * Record rows are the exception; they change only together with an agent row.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rows.h"

struct txn {
	json_t *conditions;
	json_t *writes;
	json_t *reads;
	bool failed; /* an item could not be created, e.g. invalid UTF-8 */
};

/*
 * Appends an item and takes ownership of the reference.  A transaction that
 * lacks one of its items must not be sent: it could mark partitions as closed
 * in the row of a lost agent without writing the claims, which are the ids that
 * the agent may have run.
 */
static void
txn_append(struct txn *txn, json_t *list, json_t *item)
{
	if (json_array_append_new(list, item) != 0)
		txn->failed = true;
}

static void
txn_read(struct txn *txn, const char *key)
{
	txn_append(txn, txn->reads, json_string(key));
}

static void
txn_condition(struct txn *txn, const char *key, uint64_t version)
{
	txn_append(txn, txn->conditions,
	    json_pack("{ss sI}", "key", key, "version", (json_int_t)version));
}

/*
 * Writes a row on condition that it has the given version, 0 meaning that it
 * does not exist.  Takes ownership of the reference to `value`.
 */
static void
txn_write(struct txn *txn, const char *key, uint64_t version, json_t *value)
{
	txn_condition(txn, key, version);
	txn_append(
	    txn, txn->writes, json_pack("{ss so}", "key", key, "value", value));
}

static void
txn_delete(struct txn *txn, const char *key, uint64_t version)
{
	txn_condition(txn, key, version);
	txn_append(
	    txn, txn->writes, json_pack("{ss sb}", "key", key, "delete", 1));
}

static void
row_key(char out[ROW_KEY_MAX], const char *prefix, const char *name)
{
	(void)snprintf(out, ROW_KEY_MAX, "%s%s", prefix, name);
}

static void
row_key_number(char out[ROW_KEY_MAX], const char *prefix, uint64_t number)
{
	(void)snprintf(out, ROW_KEY_MAX, "%s%" PRIu64, prefix, number);
}

/*
 * Reads ownership, config and all entry rows.
 */
static void
read_poll(struct txn *txn)
{
	txn_read(txn, KEY_OWNERSHIP);
	txn_read(txn, KEY_CONFIG);
	txn_read(txn, PREFIX_ENTRY "*");
}

/*
 * Reads only the entry rows, on condition that ownership and config still have
 * the known versions.  These two rows seldom change.  With 170 quotas, they
 * make up most of the 58 KB that every entry would otherwise read each second.
 */
static void
read_entries_if_unchanged(struct txn *txn, const struct mlk_store_op *op)
{
	txn_condition(txn, KEY_OWNERSHIP, op->known_ownership);
	txn_condition(txn, KEY_CONFIG, op->config_row_version);
	txn_read(txn, PREFIX_ENTRY "*");
}

/*
 * Writes the `complete` mask of the row as the reducer set it.  The mask cannot
 * be derived from has_record here: a record that holds every start since a
 * restart says nothing about the starts that were lost before that restart.
 */
static void
encode_register_agent(struct txn *txn, const struct mlk_store_op *op)
{
	char key[ROW_KEY_MAX];

	row_key(key, PREFIX_AGENT, op->agent.id);
	txn_write(txn, key, op->agent.row_version, row_from_agent(&op->agent));
	read_poll(txn);
	txn_read(txn, PREFIX_AGENT "*");
	row_key(key, PREFIX_RECORD, op->agent.id);
	txn_read(txn, key);
}

/*
 * The condition on the agent's row also protects the record, which is written
 * only by the process that is registered under this id.
 */
static void
encode_leave_agent(struct txn *txn, const struct mlk_store_op *op)
{
	char key[ROW_KEY_MAX];

	row_key(key, PREFIX_AGENT, op->agent.id);
	txn_write(txn, key, op->agent.row_version, row_from_agent(&op->agent));
	txn_read(txn, key);
	row_key(key, PREFIX_RECORD, op->agent.id);
	txn_append(txn, txn->writes,
	    json_pack(
		"{ss so}", "key", key, "value", row_from_record(&op->record)));
}

static void
encode_remove_agent(struct txn *txn, const struct mlk_store_op *op)
{
	char key[ROW_KEY_MAX];

	row_key(key, PREFIX_AGENT, op->subject);
	txn_delete(txn, key, op->agent.row_version);
	txn_read(txn, key);
	row_key(key, PREFIX_RECORD, op->subject);
	txn_append(
	    txn, txn->writes, json_pack("{ss sb}", "key", key, "delete", 1));
}

static void
encode_read_record(struct txn *txn, const struct mlk_store_op *op)
{
	char key[ROW_KEY_MAX];

	row_key(key, PREFIX_AGENT, op->subject);
	txn_read(txn, key);
	row_key(key, PREFIX_RECORD, op->subject);
	txn_read(txn, key);
}

static void
encode_takeover(struct txn *txn, const struct mlk_store_op *op)
{
	txn_write(txn, KEY_OWNERSHIP, op->ownership->row_version,
	    row_from_ownership(op->ownership));
	read_poll(txn);
	txn_read(txn, PREFIX_AGENT "*");
	txn_read(txn, PREFIX_CLAIMS "*");
}

static void
encode_close_agent(struct txn *txn, const struct mlk_store_op *op)
{
	const struct mlk_claims_row *claims;
	char key[ROW_KEY_MAX];
	uint32_t i;

	txn_condition(txn, KEY_OWNERSHIP, op->ownership->row_version);
	txn_read(txn, KEY_OWNERSHIP);
	row_key(key, PREFIX_AGENT, op->agent.id);
	txn_write(txn, key, op->agent.row_version, row_from_agent(&op->agent));
	txn_read(txn, key);
	for (i = 0; i < op->nclaims; i++) {
		claims = &op->claims[i];
		row_key_number(key, PREFIX_CLAIMS, claims->partition);
		txn_write(
		    txn, key, claims->row_version, row_from_claims(claims));
		txn_read(txn, key);
	}
}

static void
encode_confirm(struct txn *txn, const struct mlk_store_op *op)
{
	char key[ROW_KEY_MAX];

	txn_write(txn, KEY_CONFIG, op->config_row_version,
	    mlk_json_from_config(&op->config));
	txn_read(txn, KEY_CONFIG);
	row_key_number(key, PREFIX_AUDIT, op->audit.version);
	txn_write(txn, key, 0, mlk_json_from_audit(&op->audit));
	txn_read(txn, key);
}

static void
encode_op(struct txn *txn, const struct mlk_store_op *op)
{
	char key[ROW_KEY_MAX];

	switch (op->type) {
	case MLK_STORE_POLL:
		if (op->expect_unchanged)
			read_entries_if_unchanged(txn, op);
		else
			read_poll(txn);
		break;
	case MLK_STORE_REGISTER_ENTRY:
		row_key(key, PREFIX_ENTRY, op->entry.info.id);
		txn_write(txn, key, op->entry.row_version,
		    row_from_entry(&op->entry.info));
		read_poll(txn);
		break;
	case MLK_STORE_REMOVE_ENTRY:
		row_key(key, PREFIX_ENTRY, op->subject);
		txn_delete(txn, key, op->entry.row_version);
		read_poll(txn);
		break;
	case MLK_STORE_REGISTER_AGENT:
		encode_register_agent(txn, op);
		break;
	case MLK_STORE_TAKEOVER:
		encode_takeover(txn, op);
		break;
	case MLK_STORE_CLOSE_AGENT:
		encode_close_agent(txn, op);
		break;
	case MLK_STORE_REMOVE_AGENT:
		encode_remove_agent(txn, op);
		break;
	case MLK_STORE_LEAVE_AGENT:
		encode_leave_agent(txn, op);
		break;
	case MLK_STORE_READ_RECORD:
		encode_read_record(txn, op);
		break;
	case MLK_STORE_AGENTS:
		read_poll(txn);
		txn_read(txn, PREFIX_AGENT "*");
		break;
	case MLK_STORE_CONFIRM:
		encode_confirm(txn, op);
		break;
	case MLK_STORE_AUDIT:
		txn_read(txn, PREFIX_AUDIT "*");
		break;
	}
}

/*
 * Returns 0 with *body owned by the caller, MLK_ERR_INVALID when the
 * operation lacks the ownership map that it needs, or MLK_ERR_NOMEM when out of
 * memory or when a string is not valid UTF-8.
 */
int
mlk_platform_encode(
    const struct mlk_store_op *op, char **body, struct mlk_error *err)
{
	struct txn txn = { 0 };
	json_t *json;

	*body = NULL;
	if (op->ownership == NULL &&
	    (op->type == MLK_STORE_TAKEOVER ||
		op->type == MLK_STORE_CLOSE_AGENT)) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "table service: operation %d without ownership",
		    (int)op->type));
	}
	txn.conditions = json_array();
	txn.writes = json_array();
	txn.reads = json_array();
	encode_op(&txn, op);
	json = json_pack("{so so so}", "conditions", txn.conditions, "writes",
	    txn.writes, "reads", txn.reads);
	if (json != NULL && !txn.failed)
		*body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (*body == NULL) {
		return (mlk_error_set(err, MLK_ERR_NOMEM,
		    "table service: cannot encode operation %d",
		    (int)op->type));
	}
	return (0);
}
