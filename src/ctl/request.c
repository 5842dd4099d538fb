/*
 * Sends one HTTP request at a time, each on an event loop of its own.  A
 * request without an answer is sent to the next entry.  This is safe even if
 * the first entry has carried it out: a plan changes nothing, and a confirm is
 * idempotent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define TICK_MS 100
#define MS_PER_S 1000
#define CALL_ID 1
#define HTTP_OK 200
#define HEADERS_MAX 512

/* One request to one entry. */
struct exchange {
	struct mlk_loop *loop;
	enum mlk_http_result result;
	int status;
	json_t *answer;
};

static void
handle_event(void *arg, const struct mlk_net_event *ev)
{
	struct exchange *x = arg;

	if (ev->type == MLK_NET_HTTP_RESPONSE) {
		x->result = ev->u.response.result;
		if (ev->u.response.result == MLK_HTTP_OK) {
			x->status = ev->u.response.status;
			x->answer =
			    json_loadb((const char *)ev->u.response.body,
				ev->u.response.body_len, 0, NULL);
		}
		mlk_loop_stop(x->loop);
	} else if (ev->type == MLK_NET_STOP) {
		x->status = CTL_INTERRUPTED;
		mlk_loop_stop(x->loop);
	}
}

/*
 * Prints why an entry gave no answer.  The timeout of a watch is not printed:
 * it is usual as long as the configuration does not change.
 */
static void
print_call_error(const struct ctl *ctl, const struct mlk_http_call *call,
    enum mlk_http_result result)
{
	switch (result) {
	case MLK_HTTP_OK:
		break;
	case MLK_HTTP_NOT_SENT:
		(void)fprintf(stderr, "monsoonctl: %s: cannot connect%s\n",
		    call->addr,
		    call->tls ? ", or its certificate is not trusted" : "");
		break;
	case MLK_HTTP_LOST:
		(void)fprintf(stderr, "monsoonctl: %s: the connection closed\n",
		    call->addr);
		break;
	case MLK_HTTP_TIMEOUT:
		if (ctl->watching)
			break;
		(void)fprintf(stderr, "monsoonctl: %s: no answer within %u s\n",
		    call->addr, call->timeout_ms / MS_PER_S);
		break;
	}
}

/*
 * Returns the status, or CTL_NO_ANSWER for status 200 without a JSON object:
 * such an answer does not come from an entry, and would be printed as an empty
 * configuration.
 */
static int
check_answer(const struct mlk_http_call *call, const struct exchange *x)
{
	if (x->status != HTTP_OK || json_is_object(x->answer))
		return (x->status);
	(void)fprintf(
	    stderr, "monsoonctl: %s: not the answer of an entry\n", call->addr);
	return (CTL_NO_ANSWER);
}

/*
 * Sends a request to one entry.  Same return value as ctl_request().
 */
static int
exchange(
    const struct ctl *ctl, const struct mlk_http_call *call, json_t **answer)
{
	struct exchange x = { .result = MLK_HTTP_OK };
	const struct mlk_loop_options options = { .arg = &x,
		.handle = handle_event,
		.clock = mlk_clock_system(),
		.tick_ms = TICK_MS,
		.http_body_max = 1024,
		.http_header_timeout_s = 10,
		.http_max_connections = 16,
		.tls_ca = ctl->tls_ca };
	struct mlk_error err = { 0 };

	x.loop = mlk_loop_create(&options, &err);
	if (x.loop == NULL || mlk_loop_http_call(x.loop, call, &err) != 0)
		(void)fprintf(stderr, "monsoonctl: %s\n", err.msg);
	else
		(void)mlk_loop_run(x.loop);
	if (x.loop != NULL)
		mlk_loop_destroy(x.loop);
	print_call_error(ctl, call, x.result);
	*answer = x.answer;
	return (check_answer(call, &x));
}

int
ctl_request(const struct ctl *ctl, const char *method, const char *path,
    const json_t *body, uint32_t timeout_ms, json_t **answer)
{
	char headers[HEADERS_MAX] = "";
	struct mlk_http_call call = { .call = CALL_ID,
		.tls = ctl->tls != 0,
		.method = method,
		.path = path,
		.timeout_ms = timeout_ms };
	const char *token;
	char *text = NULL;
	int i, status = CTL_NO_ANSWER;

	*answer = NULL;
	token = ctl->token_env == NULL ? NULL : getenv(ctl->token_env);
	if (token != NULL) {
		(void)snprintf(headers, sizeof(headers),
		    "Authorization: Bearer %s\r\n", token);
		call.headers = headers;
	}
	if (body != NULL) {
		text = json_dumps(body, JSON_COMPACT);
		call.body = text;
		call.body_len = text == NULL ? 0 : strlen(text);
	}
	for (i = 0; ctl->entries[i] != NULL && status == CTL_NO_ANSWER; i++) {
		json_decref(*answer);
		call.addr = ctl->entries[i];
		status = exchange(ctl, &call, answer);
	}
	free(text);
	return (status);
}
