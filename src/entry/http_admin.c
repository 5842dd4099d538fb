/*
 * HTTP API for operators: intents (operators' settings, such as the quota of a
 * team or the drain of a worker), plans, confirmation, audit and status.
 *
 * The author of a change is always the name that the request's token belongs
 * to, so that an operator cannot plan or confirm under another name.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/json.h>

#include "program.h"

#define PLANS_PATH "/v1/plans"
#define CONFIRM_SUFFIX "/confirm"

static void
apply_admin(
    struct program *p, uint64_t request, const struct mlk_admin_request *admin)
{
	struct mlk_event ev = { .type = MLK_EV_ADMIN };

	ev.u.admin.request = request;
	ev.u.admin.admin = admin;
	mlk_run_apply(&p->run, &ev);
}

static void
bad_request(
    struct program *p, uint64_t request, const char *field, const char *message)
{
	http_api_send_error(p, request, 400, 0, "invalid", field, message);
}

/*
 * Parses {"change","base_version"} into admin; base_version defaults to 0.
 * Returns 0 or an MLK_ERR_ code with err set.
 */
static int
read_body(const struct mlk_http_request *req, struct mlk_admin_request *admin,
    struct mlk_error *err)
{
	const json_t *change;
	json_error_t json_error;
	int64_t base = 0;
	json_t *root;
	int error;

	root = json_loadb((const char *)req->body, req->body_len,
	    JSON_REJECT_DUPLICATES, &json_error);
	if (root == NULL) {
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "not JSON: line %d: %.100s", json_error.line,
		    json_error.text));
	}
	change = json_object_get(root, "change");
	if (change == NULL)
		error = mlk_error_set(err, MLK_ERR_INVALID, "change: missing");
	else
		error = mlk_json_to_change(change, &admin->change, err);
	if (error == 0)
		error = mlk_json_get_int(
		    root, "base_version", 0, INT64_MAX, &base, err);
	admin->base_version = (uint64_t)base;
	json_decref(root);
	return (error);
}

/*
 * Parses the body of a plan or confirm request and passes it to the reducer.
 */
static void
handle_change(struct program *p, const struct mlk_http_request *req,
    struct mlk_admin_request *admin)
{
	struct mlk_error err = { 0 };

	if (read_body(req, admin, &err) != 0) {
		bad_request(p, req->request, "", err.msg);
		return;
	}
	(void)snprintf(admin->change.intent.author,
	    sizeof(admin->change.intent.author), "%s", admin->operator_name);
	apply_admin(p, req->request, admin);
}

/*
 * Parses the digest in /v1/plans/DIGEST/confirm.  Returns false for any other
 * path.
 */
static bool
parse_confirm_path(const char *path, struct mlk_key *digest)
{
	char text[MLK_KEY_HEX_LEN + 1];

	if (!g_str_has_prefix(path, PLANS_PATH "/"))
		return (false);
	path += strlen(PLANS_PATH "/");
	if (strlen(path) != MLK_KEY_HEX_LEN + strlen(CONFIRM_SUFFIX) ||
	    !g_str_has_suffix(path, CONFIRM_SUFFIX))
		return (false);
	memcpy(text, path, MLK_KEY_HEX_LEN);
	text[MLK_KEY_HEX_LEN] = '\0';
	return (mlk_key_parse(text, digest));
}

/*
 * Handles a POST request.  Returns false when the path is unknown.
 */
static bool
route_post(struct program *p, const struct mlk_http_request *req,
    struct mlk_admin_request *admin)
{
	if (strcmp(req->path, PLANS_PATH) == 0)
		admin->type = MLK_ADMIN_PLAN;
	else if (parse_confirm_path(req->path, &admin->digest))
		admin->type = MLK_ADMIN_CONFIRM;
	else
		return (false);
	handle_change(p, req, admin);
	return (true);
}

/*
 * Handles a GET request.  Returns false when the path is unknown.
 */
static bool
route_get(struct program *p, const struct mlk_http_request *req,
    struct mlk_admin_request *admin)
{
	if (strcmp(req->path, "/v1/intents") == 0) {
		admin->type = MLK_ADMIN_INTENTS;
	} else if (strcmp(req->path, "/v1/audit") == 0) {
		admin->type = MLK_ADMIN_AUDIT;
	} else if (strcmp(req->path, "/v1/status") == 0) {
		admin->type = MLK_ADMIN_STATUS;
	} else if (strcmp(req->path, "/v1/config") == 0) {
		admin->type = MLK_ADMIN_WATCH;
		if (g_str_has_prefix(req->query, "after="))
			admin->base_version =
			    strtoull(req->query + strlen("after="), NULL, 10);
	} else {
		return (false);
	}
	apply_admin(p, req->request, admin);
	return (true);
}

/*
 * Handles a request of an operator whose token has been checked.
 */
void
http_admin_request(struct program *p, const struct mlk_http_request *req,
    const char *operator_name)
{
	struct mlk_admin_request admin = { 0 };
	bool routed = false;

	(void)snprintf(admin.operator_name, sizeof(admin.operator_name), "%s",
	    operator_name);
	if (strcmp(req->method, "POST") == 0)
		routed = route_post(p, req, &admin);
	else if (strcmp(req->method, "GET") == 0)
		routed = route_get(p, req, &admin);
	if (!routed)
		http_api_send_error(p, req->request, 404, 0, "not_found", "",
		    "no such resource");
}

static json_t *
audits_json(const struct mlk_admin_reply *reply)
{
	json_t *records = json_array();
	uint32_t i;

	for (i = 0; i < reply->naudits; i++)
		(void)json_array_append_new(
		    records, mlk_json_from_audit(&reply->audits[i]));
	return (json_pack("{s:o}", "records", records));
}

/*
 * Returns a status reply as JSON.  The reducer writes each status line as
 * "name\tvalue".
 */
static json_t *
status_json(const struct mlk_admin_reply *reply)
{
	json_t *lines = json_array();
	const char *tab;
	uint32_t i;

	for (i = 0; i < reply->nlines; i++) {
		tab = strchr(reply->lines[i], '\t');
		if (tab == NULL)
			continue;
		(void)json_array_append_new(lines,
		    json_pack("{s:s%,s:s}", "name", reply->lines[i],
			(size_t)(tab - reply->lines[i]), "value", tab + 1));
	}
	return (json_pack("{s:I,s:o}", "config_version",
	    (json_int_t)reply->config_version, "lines", lines));
}

static json_t *
success_json(const struct mlk_admin_reply *reply)
{
	switch (reply->type) {
	case MLK_ADMIN_INTENTS:
	case MLK_ADMIN_WATCH:
		return (mlk_json_from_config(&reply->config));
	case MLK_ADMIN_PLAN:
		return (mlk_json_from_plan(reply->plan));
	case MLK_ADMIN_CONFIRM:
		return (json_pack(
		    "{s:I}", "version", (json_int_t)reply->config_version));
	case MLK_ADMIN_AUDIT:
		return (audits_json(reply));
	case MLK_ADMIN_STATUS:
		return (status_json(reply));
	}
	return (NULL);
}

static int
failure_status(int code)
{
	switch ((enum mlk_err_code)code) {
	case MLK_ERR_INVALID:
		return (400);
	case MLK_ERR_NOT_FOUND:
		return (404);
	case MLK_ERR_CONFLICT:
		return (409);
	default:
		return (503);
	}
}

/*
 * Sends the reducer's reply to an operator's request.
 */
void
http_admin_reply(struct program *p, const struct mlk_effect *fx)
{
	const struct mlk_admin_reply *reply = &fx->u.admin.reply;
	int status = 200;
	json_t *root;

	if (reply->code == 0) {
		root = success_json(reply);
	} else {
		status = failure_status(reply->code);
		root = mlk_json_from_error(reply->code, NULL, reply->message);
		if (root != NULL && reply->plan != NULL)
			(void)json_object_set_new(
			    root, "plan", mlk_json_from_plan(reply->plan));
	}
	http_api_send_json(p, fx->u.admin.request, status,
	    root == NULL ? NULL : json_dumps(root, JSON_COMPACT));
	json_decref(root);
}
