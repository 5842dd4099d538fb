/*
 * The configuration, changes, plans, audit records and errors as JSON.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/json.h>

#define INTENTS_MAX 10000 /* limits the memory that a document can allocate */
#define EFFECTS_MAX 10000

/*
 * Returns text as a JSON string.  A text that was truncated to a fixed size may
 * end within a UTF-8 character, which JSON does not allow; that incomplete
 * character is dropped.  Any other invalid UTF-8 gives an empty string: with
 * NULL, json_pack() would fail, and an effect would be missing from its plan.
 */
static json_t *
text_json(const char *text)
{
	json_t *json = NULL;
	size_t len, cut;

	len = strlen(text);
	for (cut = 0; json == NULL && cut < 4 && cut <= len; cut++)
		json = json_stringn(text, len - cut);
	return (json != NULL ? json : json_string(""));
}

json_t *
mlk_json_from_intent(const struct mlk_intent *intent)
{
	return (json_pack("{so so so so si so so sI sI so}", "id",
	    text_json(intent->id), "type",
	    text_json(mlk_intent_type_name(intent->type)), "subject",
	    text_json(intent->subject), "target", text_json(intent->target),
	    "value", (int)intent->value, "author", text_json(intent->author),
	    "reason", text_json(intent->reason), "created",
	    (json_int_t)intent->created, "expires", (json_int_t)intent->expires,
	    "displaced", text_json(intent->displaced)));
}

/*
 * Reads the text members of an intent; all are optional.
 */
static int
intent_read_texts(
    const json_t *json, struct mlk_intent *out, struct mlk_error *err)
{
	const struct {
		const char *name;
		char *to;
		size_t size;
	} texts[] = {
		{ "id", out->id, sizeof(out->id) },
		{ "subject", out->subject, sizeof(out->subject) },
		{ "target", out->target, sizeof(out->target) },
		{ "author", out->author, sizeof(out->author) },
		{ "reason", out->reason, sizeof(out->reason) },
		{ "displaced", out->displaced, sizeof(out->displaced) },
	};
	size_t i;
	int rc;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		rc = mlk_json_get_text(
		    json, texts[i].name, texts[i].to, texts[i].size, err);
		if (rc != 0)
			return (rc);
	}
	return (0);
}

/*
 * Reads an intent.  The type may be absent unless need_type is set; a change
 * that removes an intent has none.
 */
static int
intent_read(const json_t *json, bool need_type, struct mlk_intent *out,
    struct mlk_error *err)
{
	char type[MLK_NAME_MAX] = "";
	int64_t value = 0;
	int rc;

	memset(out, 0, sizeof(*out));
	if (!json_is_object(json)) {
		return (mlk_error_set(
		    err, MLK_ERR_INVALID, "intent: expected an object"));
	}
	rc = intent_read_texts(json, out, err);
	if (rc == 0)
		rc = mlk_json_get_text(json, "type", type, sizeof(type), err);
	if (rc == 0) {
		rc = mlk_json_get_int(
		    json, "value", INT32_MIN, INT32_MAX, &value, err);
	}
	if (rc == 0) {
		rc = mlk_json_get_int(
		    json, "created", 0, INT64_MAX, &out->created, err);
	}
	if (rc == 0) {
		rc = mlk_json_get_int(
		    json, "expires", 0, INT64_MAX, &out->expires, err);
	}
	if (rc != 0)
		return (rc);
	out->value = (int32_t)value;
	if (type[0] == '\0' && !need_type)
		return (0);
	if (!mlk_intent_type_parse(type, &out->type)) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "type: expected the name of an intent type, found "
		    "\"%s\"",
		    type));
	}
	return (0);
}

int
mlk_json_to_intent(
    const json_t *json, struct mlk_intent *out, struct mlk_error *err)
{
	return (intent_read(json, true, out, err));
}

json_t *
mlk_json_from_config(const struct mlk_config *config)
{
	json_t *intents;
	uint32_t i;

	intents = json_array();
	for (i = 0; i < config->nintents; i++) {
		(void)json_array_append_new(
		    intents, mlk_json_from_intent(&config->intents[i]));
	}
	return (json_pack("{sI so so}", "version", (json_int_t)config->version,
	    "digest", mlk_json_key(config->digest), "intents", intents));
}

int
mlk_json_to_config(
    const json_t *json, struct mlk_config *out, struct mlk_error *err)
{
	const json_t *intents, *item;
	int64_t version = 0;
	size_t i;
	int rc;

	memset(out, 0, sizeof(*out));
	intents = json_object_get(json, "intents");
	if (!json_is_array(intents) || json_array_size(intents) > INTENTS_MAX)
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "intents: expected a list of at most %d", INTENTS_MAX));
	rc = mlk_json_get_int(json, "version", 0, INT64_MAX, &version, err);
	if (rc == 0)
		rc = mlk_json_get_key(json, "digest", &out->digest, err);
	if (rc != 0)
		return (rc);
	out->version = (uint64_t)version;
	if (json_array_size(intents) == 0)
		return (0);
	out->intents = calloc(json_array_size(intents), sizeof(*out->intents));
	if (out->intents == NULL)
		return (mlk_error_set(err, MLK_ERR_NOMEM, "out of memory"));
	json_array_foreach(intents, i, item)
	{
		rc = intent_read(item, true, &out->intents[i], err);
		if (rc != 0) {
			mlk_config_clear(out);
			return (rc);
		}
	}
	out->nintents = (uint32_t)json_array_size(intents);
	return (0);
}

/*
 * Returns a change as JSON.  The intent of a removal has only the id and the
 * author: a reader would ignore the other members, and a type would be
 * misleading.
 */
json_t *
mlk_json_from_change(const struct mlk_change *change)
{
	if (change->remove) {
		return (json_pack("{sb s{so so}}", "remove", 1, "intent", "id",
		    text_json(change->intent.id), "author",
		    text_json(change->intent.author)));
	}
	return (json_pack("{sb so}", "remove", (int)change->remove, "intent",
	    mlk_json_from_intent(&change->intent)));
}

/*
 * Returns 0 when every key of the object is in the list.  Without this check, a
 * misspelt key in an operator's change would be ignored silently, and an intent
 * could for example lose its expiry.
 */
static int
check_keys(const json_t *json, const char *const *known, struct mlk_error *err)
{
	const char *const *name;
	const char *key;
	void *it;

	for (it = json_object_iter((json_t *)json); it != NULL;
	     it = json_object_iter_next((json_t *)json, it)) {
		key = json_object_iter_key(it);
		for (name = known; *name != NULL; name++)
			if (strcmp(*name, key) == 0)
				break;
		if (*name == NULL) {
			return (mlk_error_set(err, MLK_ERR_INVALID,
			    "%.64s: not a known field", key));
		}
	}
	return (0);
}

/*
 * Reads a change.  Unknown keys are ignored: in a document that monsoonlock
 * wrote, they come from a later version.
 */
static int
change_read(const json_t *json, struct mlk_change *out, struct mlk_error *err)
{
	int rc;

	memset(out, 0, sizeof(*out));
	if (!json_is_object(json)) {
		return (mlk_error_set(
		    err, MLK_ERR_INVALID, "change: expected an object"));
	}
	rc = mlk_json_get_bool(json, "remove", &out->remove, err);
	if (rc != 0)
		return (rc);
	return (intent_read(
	    json_object_get(json, "intent"), !out->remove, &out->intent, err));
}

int
mlk_json_to_change(
    const json_t *json, struct mlk_change *out, struct mlk_error *err)
{
	static const char *const change_keys[] = { "remove", "intent", NULL };
	static const char *const intent_keys[] = { "id", "type", "subject",
		"target", "value", "author", "reason", "created", "expires",
		"displaced", NULL };
	int rc;

	rc = check_keys(json, change_keys, err);
	if (rc == 0) {
		rc = check_keys(
		    json_object_get(json, "intent"), intent_keys, err);
	}
	return (rc != 0 ? rc : change_read(json, out, err));
}

json_t *
mlk_json_from_plan(const struct mlk_plan *plan)
{
	json_t *effects;
	uint32_t i;

	effects = json_array();
	for (i = 0; i < plan->neffects; i++) {
		(void)json_array_append_new(
		    effects, text_json(plan->effects[i]));
	}
	return (json_pack("{so sI so so}", "digest", mlk_json_key(plan->digest),
	    "base_version", (json_int_t)plan->base_version, "effects", effects,
	    "change", mlk_json_from_change(&plan->change)));
}

static int
plan_read_effects(
    const json_t *effects, struct mlk_plan *plan, struct mlk_error *err)
{
	const json_t *line;
	size_t i;

	if (!json_is_array(effects) || json_array_size(effects) > EFFECTS_MAX)
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "effects: expected a list of at most %d", EFFECTS_MAX));
	if (json_array_size(effects) == 0)
		return (0);
	plan->effects =
	    calloc(json_array_size(effects), sizeof(*plan->effects));
	if (plan->effects == NULL)
		return (mlk_error_set(err, MLK_ERR_NOMEM, "out of memory"));
	json_array_foreach(effects, i, line)
	{
		if (!json_is_string(line) ||
		    json_string_length(line) >= sizeof(*plan->effects)) {
			return (mlk_error_set(err, MLK_ERR_INVALID,
			    "effects: expected texts below %zu bytes",
			    sizeof(*plan->effects)));
		}
		memcpy(plan->effects[i], json_string_value(line),
		    json_string_length(line) + 1);
	}
	plan->neffects = (uint32_t)json_array_size(effects);
	return (0);
}

int
mlk_json_to_plan(
    const json_t *json, struct mlk_plan **out, struct mlk_error *err)
{
	struct mlk_plan *plan;
	int64_t base = 0;
	int rc;

	*out = NULL;
	plan = calloc(1, sizeof(*plan));
	if (plan == NULL)
		return (mlk_error_set(err, MLK_ERR_NOMEM, "out of memory"));
	rc = mlk_json_get_key(json, "digest", &plan->digest, err);
	if (rc == 0) {
		rc = mlk_json_get_int(
		    json, "base_version", 0, INT64_MAX, &base, err);
	}
	if (rc == 0) {
		rc = plan_read_effects(
		    json_object_get(json, "effects"), plan, err);
	}
	if (rc == 0) {
		rc = change_read(
		    json_object_get(json, "change"), &plan->change, err);
	}
	if (rc != 0) {
		mlk_plan_destroy(plan);
		return (rc);
	}
	plan->base_version = (uint64_t)base;
	*out = plan;
	return (0);
}

json_t *
mlk_json_from_audit(const struct mlk_audit_record *audit)
{
	return (json_pack("{sI so sI so so so}", "version",
	    (json_int_t)audit->version, "digest", mlk_json_key(audit->digest),
	    "at", (json_int_t)audit->at, "author", text_json(audit->author),
	    "summary", text_json(audit->summary), "change",
	    mlk_json_from_change(&audit->change)));
}

int
mlk_json_to_audit(
    const json_t *json, struct mlk_audit_record *out, struct mlk_error *err)
{
	int64_t version = 0;
	int rc;

	memset(out, 0, sizeof(*out));
	rc = mlk_json_get_int(json, "version", 0, INT64_MAX, &version, err);
	if (rc == 0)
		rc = mlk_json_get_key(json, "digest", &out->digest, err);
	if (rc == 0)
		rc = mlk_json_get_int(json, "at", 0, INT64_MAX, &out->at, err);
	if (rc == 0) {
		rc = mlk_json_get_text(
		    json, "author", out->author, sizeof(out->author), err);
	}
	if (rc == 0) {
		rc = mlk_json_get_text(
		    json, "summary", out->summary, sizeof(out->summary), err);
	}
	if (rc == 0) {
		rc = change_read(
		    json_object_get(json, "change"), &out->change, err);
	}
	out->version = (uint64_t)version;
	return (rc);
}

/*
 * Returns the name of an error code in the HTTP API.
 */
const char *
mlk_json_error_name(int code)
{
	switch ((enum mlk_err_code)code) {
	case MLK_OK:
		return ("ok");
	case MLK_ERR_NOMEM:
		return ("no_space");
	case MLK_ERR_INVALID:
		return ("invalid");
	case MLK_ERR_NOT_FOUND:
		return ("not_found");
	case MLK_ERR_CONFLICT:
		return ("conflict");
	case MLK_ERR_UNAVAILABLE:
		return ("unavailable");
	case MLK_ERR_TIMEOUT:
		return ("timeout");
	case MLK_ERR_PROTOCOL:
		return ("protocol");
	case MLK_ERR_IO:
		return ("io");
	case MLK_ERR_SETTINGS:
		return ("settings");
	case MLK_ERR_DENIED:
		return ("denied");
	}
	return ("unknown");
}

json_t *
mlk_json_from_error(int code, const char *field, const char *message)
{
	return (json_pack("{s{ss ss* so}}", "error", "code",
	    mlk_json_error_name(code), "field", field, "message",
	    text_json(message)));
}
