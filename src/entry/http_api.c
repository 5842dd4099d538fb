/*
 * HTTP API for callers.
 *
 * Each request for a job is recorded with the job id that its caller sent.  An
 * answer is sent only if its key is the hash of that id and, when its outcome
 * is complete, it holds as many results as the job has tasks; so a late or
 * misrouted answer cannot reach another caller.  The number of results is not
 * checked for a lookup or a cancellation, whose request does not tell it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "job_json.h"
#include "program.h"

#define JSON_TYPE "application/json"
#define JOBS_PATH "/v1/jobs"
#define IDS_DEFAULT 1U
#define IDS_MAX 1000U
#define MSEC_PER_SEC 1000U

/* A request for a job that waits for the reducer's answer. */
struct request {
	char id[MLK_ID_MAX];
	struct mlk_key key;
	uint32_t ntasks; /* 0: not known (lookup, cancel) */
};

/*
 * Sends JSON text and frees it.  NULL, from a failed encoding, is sent as
 * status 500.
 */
void
http_api_send_json(struct program *p, uint64_t request, int status, char *text)
{
	if (text == NULL) {
		(void)mlk_loop_http_reply(
		    p->run.loop, request, 500, JSON_TYPE, 0, "{}", 2);
		return;
	}
	(void)mlk_loop_http_reply(
	    p->run.loop, request, status, JSON_TYPE, 0, text, strlen(text));
	free(text);
}

/*
 * Sends {"error":{"code","field","message"}}; field may be empty.  Retry-After
 * is retry_after_ms rounded up to seconds; 0: no such header.
 */
void
http_api_send_error(struct program *p, uint64_t request, int status,
    uint32_t retry_after_ms, const char *code, const char *field,
    const char *message)
{
	json_t *root;
	char *text;

	root = json_pack("{s:{s:s,s:s,s:s}}", "error", "code", code, "field",
	    field, "message", message);
	text = root == NULL ? NULL : json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (text == NULL) {
		http_api_send_json(p, request, status, NULL);
		return;
	}
	(void)mlk_loop_http_reply(p->run.loop, request, status, JSON_TYPE,
	    (retry_after_ms + MSEC_PER_SEC - 1) / MSEC_PER_SEC, text,
	    strlen(text));
	free(text);
}

static void
record_request(
    struct program *p, uint64_t handle, const char *id, uint32_t ntasks)
{
	struct request *r = g_new0(struct request, 1);
	uint64_t *key = g_new(uint64_t, 1);

	(void)snprintf(r->id, sizeof(r->id), "%s", id);
	r->key = mlk_key_from_id(id);
	r->ntasks = ntasks;
	*key = handle;
	(void)g_hash_table_insert(p->requests, key, r);
}

static void
submit_job(struct program *p, const struct mlk_http_request *req)
{
	struct mlk_event ev = { .type = MLK_EV_SUBMIT };
	struct mlk_field_error field_error;
	struct mlk_job_spec spec;
	int error;
	bool wait;

	error = mlk_job_json_parse(
	    req->body, req->body_len, &spec, &wait, &field_error);
	if (error != 0) {
		http_api_send_error(p, req->request,
		    error == MLK_ERR_INVALID ? 400 : 503, 0,
		    error == MLK_ERR_INVALID ? "invalid" : "unavailable",
		    field_error.field,
		    error == MLK_ERR_INVALID ? field_error.message :
					       mlk_strerror(error));
		return;
	}
	record_request(p, req->request, spec.id, spec.ntasks);
	ev.u.submit.request = req->request;
	ev.u.submit.wait = wait;
	ev.u.submit.spec = &spec;
	mlk_run_apply(&p->run, &ev);
	mlk_job_spec_clear(&spec);
}

static void
lookup_or_cancel(
    struct program *p, const struct mlk_http_request *req, const char *id)
{
	struct mlk_event ev;

	memset(&ev, 0, sizeof(ev));
	if (!mlk_job_id_valid(id)) {
		http_api_send_error(p, req->request, 400, 0, "invalid", "id",
		    "expected letters, digits and \"._:-\" only");
		return;
	}
	if (strcmp(req->method, "GET") == 0) {
		ev.type = MLK_EV_LOOKUP;
		ev.u.lookup.request = req->request;
		ev.u.lookup.wait = strstr(req->query, "wait=1") != NULL;
		(void)snprintf(
		    ev.u.lookup.id, sizeof(ev.u.lookup.id), "%s", id);
	} else if (strcmp(req->method, "DELETE") == 0) {
		ev.type = MLK_EV_CANCEL;
		ev.u.cancel.request = req->request;
		(void)snprintf(
		    ev.u.cancel.id, sizeof(ev.u.cancel.id), "%s", id);
	} else {
		http_api_send_error(p, req->request, 405, 0,
		    "method_not_allowed", "", "expected GET or DELETE");
		return;
	}
	record_request(p, req->request, id, 0);
	mlk_run_apply(&p->run, &ev);
}

static void
issue_ids(struct program *p, const struct mlk_http_request *req)
{
	struct mlk_event ev = { .type = MLK_EV_ISSUE_IDS };
	unsigned long count = IDS_DEFAULT;
	char *end;

	if (g_str_has_prefix(req->query, "count=")) {
		count = strtoul(req->query + strlen("count="), &end, 10);
		if (*end != '\0')
			count = 0;
	}
	if (count == 0 || count > IDS_MAX) {
		http_api_send_error(p, req->request, 400, 0, "invalid", "count",
		    "expected 1..1000");
		return;
	}
	ev.u.issue.request = req->request;
	ev.u.issue.count = (uint32_t)count;
	mlk_run_apply(&p->run, &ev);
}

static void
send_metrics(struct program *p, uint64_t request)
{
	struct mlk_entry_gauges gauges;
	GString *text = g_string_new(NULL);

	mlk_entry_gauges(p->entry, &gauges);
	mlk_metrics_entry(text, mlk_entry_counters(p->entry), &gauges);
	mlk_metrics_links(text, mlk_loop_counters(p->run.loop));
	(void)mlk_loop_http_reply(p->run.loop, request, 200,
	    MLK_METRICS_CONTENT_TYPE, 0, text->str, text->len);
	(void)g_string_free(text, TRUE);
}

static void
send_ready(struct program *p, uint64_t request)
{
	struct mlk_entry_gauges gauges;
	const char *text;

	mlk_entry_gauges(p->entry, &gauges);
	text = gauges.ready ? "ready\n" : "not ready\n";
	(void)mlk_loop_http_reply(p->run.loop, request,
	    gauges.ready ? 200 : 503, "text/plain", 0, text, strlen(text));
}

/*
 * Answers a health, readiness or metrics request.  Returns false when the
 * request is none of these.
 */
static bool
answer_probe(struct program *p, const struct mlk_http_request *req)
{
	if (strcmp(req->method, "GET") != 0)
		return (false);
	if (strcmp(req->path, "/healthz") == 0) {
		(void)mlk_loop_http_reply(
		    p->run.loop, req->request, 200, "text/plain", 0, "ok\n", 3);
	} else if (strcmp(req->path, "/readyz") == 0) {
		send_ready(p, req->request);
	} else if (strcmp(req->path, "/metrics") == 0) {
		send_metrics(p, req->request);
	} else {
		return (false);
	}
	return (true);
}

static bool
is_job_path(const char *path)
{
	return (strcmp(path, JOBS_PATH) == 0 ||
	    g_str_has_prefix(path, JOBS_PATH "/") ||
	    strcmp(path, "/v1/ids") == 0);
}

static void
caller_request(struct program *p, const struct mlk_http_request *req)
{
	if (p->run.exiting) {
		http_api_send_error(p, req->request, 503, MSEC_PER_SEC,
		    "unavailable", "",
		    "this entry is stopping and did not take the request");
		return;
	}
	if (strcmp(req->path, "/v1/ids") == 0)
		issue_ids(p, req);
	else if (strcmp(req->path, JOBS_PATH) != 0)
		lookup_or_cancel(p, req, req->path + strlen(JOBS_PATH "/"));
	else if (strcmp(req->method, "POST") == 0)
		submit_job(p, req);
	else
		http_api_send_error(p, req->request, 405, 0,
		    "method_not_allowed", "", "expected POST");
}

/*
 * Routes one HTTP request.  Probes need no token.  Paths of jobs need a
 * caller's or an operator's token if caller tokens are configured.  All other
 * paths need an operator's token.
 */
void
http_api_request(struct program *p, const struct mlk_http_request *req)
{
	char name[MLK_NAME_MAX];
	enum mlk_role role;

	if (answer_probe(p, req))
		return;
	role = mlk_tokens_check(&p->settings->tokens, req->authorization, name);
	if (is_job_path(req->path)) {
		if (role == MLK_ROLE_NONE) {
			http_api_send_error(p, req->request, 401, 0, "denied",
			    "", "a caller's token is needed");
		} else {
			caller_request(p, req);
		}
		return;
	}
	if (role != MLK_ROLE_OPERATOR) {
		http_api_send_error(p, req->request, 403, 0, "denied", "",
		    "an operator's token is needed");
		return;
	}
	http_admin_request(p, req, name);
}

/*
 * Handles the end of a connection whose request has not been answered.
 */
void
http_api_request_closed(struct program *p, uint64_t request)
{
	struct mlk_event ev = { .type = MLK_EV_REQUEST_GONE };

	(void)g_hash_table_remove(p->requests, &request);
	ev.u.gone.request = request;
	mlk_run_apply(&p->run, &ev);
}

static int
outcome_status(const struct mlk_effect *fx)
{
	if (fx->u.answer.pending)
		return (202);
	switch (fx->u.answer.answer.outcome) {
	case MLK_OUTCOME_PENDING:
		return (202);
	case MLK_OUTCOME_COMPLETE:
	case MLK_OUTCOME_FAILED:
		return (200);
	case MLK_OUTCOME_REFUSED:
		return (503);
	case MLK_OUTCOME_UNKNOWN:
		return (502);
	}
	return (500);
}

/*
 * Returns whether an answer belongs to the request; see the head of this file.
 */
static bool
answer_matches(const struct request *r, const struct mlk_job_answer *answer)
{
	if (!mlk_key_equal(r->key, answer->key))
		return (false);
	return (answer->outcome != MLK_OUTCOME_COMPLETE || r->ntasks == 0 ||
	    answer->ntasks == r->ntasks);
}

/*
 * Sends a job's answer to the request that is waiting for it.
 */
void
http_api_reply_job(struct program *p, const struct mlk_effect *fx)
{
	const struct mlk_job_answer *answer = &fx->u.answer.answer;
	uint64_t handle = fx->u.answer.request;
	struct request *r;
	uint32_t retry_s;
	char *text;

	r = g_hash_table_lookup(p->requests, &handle);
	if (r == NULL)
		return;
	if (!answer_matches(r, answer)) {
		mlk_log(MLK_LOG_ERROR,
		    "answer does not match its request; "
		    "replying unknown");
		http_api_send_error(p, handle, 502, 0, "unknown", "",
		    "the answer did not fit the request");
		(void)g_hash_table_remove(p->requests, &handle);
		return;
	}
	text = mlk_job_json_answer(r->id, answer);
	retry_s = answer->outcome == MLK_OUTCOME_REFUSED ?
	    (answer->retry_after_ms + MSEC_PER_SEC - 1) / MSEC_PER_SEC :
	    0;
	if (text == NULL)
		http_api_send_json(p, handle, 500, NULL);
	else
		(void)mlk_loop_http_reply(p->run.loop, handle,
		    outcome_status(fx), JSON_TYPE, retry_s, text, strlen(text));
	free(text);
	(void)g_hash_table_remove(p->requests, &handle);
}

/*
 * Sends the job ids issued for GET /v1/ids, as {"ids":[...]}.
 */
void
http_api_reply_ids(struct program *p, const struct mlk_effect *fx)
{
	json_t *root, *ids = json_array();
	uint32_t i;

	for (i = 0; i < fx->u.ids.n; i++)
		(void)json_array_append_new(ids, json_string(fx->u.ids.ids[i]));
	root = json_pack("{s:o}", "ids", ids);
	http_api_send_json(
	    p, fx->u.ids.request, 200, json_dumps(root, JSON_COMPACT));
	json_decref(root);
}

static int
error_status(int code)
{
	switch ((enum mlk_err_code)code) {
	case MLK_ERR_INVALID:
		return (400);
	case MLK_ERR_DENIED:
		return (403);
	case MLK_ERR_NOT_FOUND:
		return (404);
	case MLK_ERR_CONFLICT:
		return (409);
	case MLK_ERR_TIMEOUT:
		return (504);
	case MLK_ERR_NOMEM:
	case MLK_ERR_UNAVAILABLE:
		return (503);
	default:
		return (500);
	}
}

static const char *
error_code_name(int status)
{
	switch (status) {
	case 400:
		return ("invalid");
	case 403:
		return ("denied");
	case 404:
		return ("not_found");
	case 409:
		return ("conflict");
	case 503:
		return ("unavailable");
	case 504:
		return ("timeout");
	default:
		return ("internal");
	}
}

/*
 * Sends an error from the reducer.
 */
void
http_api_reply_error(struct program *p, const struct mlk_effect *fx)
{
	uint64_t handle = fx->u.error.request;
	int status = error_status(fx->u.error.code);

	http_api_send_error(p, handle, status, fx->u.error.retry_after_ms,
	    error_code_name(status), "", fx->u.error.message);
	(void)g_hash_table_remove(p->requests, &handle);
}
