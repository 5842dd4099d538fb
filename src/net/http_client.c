/*
 * HTTP client.  Each lane has a libwebsockets vhost of its own and runs one
 * call at a time, so the only connection that a call can reuse is the idle one
 * of its lane.  libwebsockets closes that connection after some seconds without
 * a call.
 *
 * Calls are never retried here; the program decides that from the result.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop.h"

#define LWS_TIMEOUT_S 86400 /* not reached; struct call has its own timer */
#define RESPONSE_MAX (64U * 1024 * 1024) /* bytes of a response body */

/*
 * A queue of calls that are made one at a time, if possible over one persistent
 * connection; see reuses_connection().
 */
struct lane {
	uint64_t key; /* number << 1 | TLS */
	struct lws_vhost *vhost;
	GQueue waiting; /* struct call, not yet started */
	struct call *current; /* in flight; NULL: none */
	bool ready; /* in ready_lanes */
};

struct call {
	struct mlk_loop *loop;
	uint64_t id;
	struct lane *lane; /* NULL: own connection */
	struct lws *wsi;
	bool tls;
	bool starting; /* inside lws_client_connect_via_info() */
	bool ended; /* finished while `starting`, with `result` */
	bool timed_out;
	bool sent; /* the request header was given to libwebsockets */
	enum mlk_http_result result;
	struct mlk_address address;
	char host[MLK_ADDR_MAX]; /* Host header, with the port */
	char *method;
	char *path;
	char *headers;
	GByteArray *body;
	size_t body_sent;
	int status; /* 0: no response header yet */
	bool server_closes; /* "Connection: close" in the response */
	int64_t content_length; /* of the response; -1: none */
	GByteArray *response;
	lws_sorted_usec_list_t timer;
	lws_sorted_usec_list_t sent_timer;
};

static void
call_free(struct call *call)
{
	lws_sul_schedule(call->loop->context, 0, &call->timer, NULL,
	    LWS_SET_TIMER_USEC_CANCEL);
	lws_sul_schedule(call->loop->context, 0, &call->sent_timer, NULL,
	    LWS_SET_TIMER_USEC_CANCEL);
	g_free(call->method);
	g_free(call->path);
	g_free(call->headers);
	(void)g_byte_array_free(call->body, TRUE);
	(void)g_byte_array_free(call->response, TRUE);
	g_free(call);
}

/*
 * Queues a lane to start its next call, if it is idle and has one.
 */
static void
lane_schedule(struct mlk_loop *loop, struct lane *lane)
{
	if (lane->ready || lane->current != NULL ||
	    g_queue_is_empty(&lane->waiting))
		return;
	lane->ready = true;
	g_queue_push_tail(&loop->ready_lanes, lane);
}

/*
 * Removes a call from all lists and from its connection.
 */
static void
call_detach(struct call *call)
{
	struct mlk_loop *loop = call->loop;

	(void)g_hash_table_remove(loop->calls, &call->id);
	if (call->wsi != NULL)
		lws_set_opaque_user_data(call->wsi, NULL);
	call->wsi = NULL;
	if (call->lane == NULL) {
		(void)g_queue_remove(&loop->ready_calls, call);
		return;
	}
	if (call->lane->current == call)
		call->lane->current = NULL;
	else
		(void)g_queue_remove(&call->lane->waiting, call);
	lane_schedule(loop, call->lane);
}

/*
 * Tells whether a call may reuse the idle connection of its lane and keeps it
 * open afterwards.  libwebsockets finds that connection only when the Host
 * header is the address without the port; an IPv6 address would need brackets
 * in that header.
 */
static bool
reuses_connection(const struct call *call)
{
	return (call->lane != NULL && !call->tls &&
	    strchr(call->address.host, ':') == NULL);
}

/*
 * Ends a call and reports its result.  Inside lws_client_connect_via_info() the
 * result is only recorded, and start_call() reports it.
 */
static void
finish(struct call *call, enum mlk_http_result result)
{
	struct mlk_net_event ev = { .type = MLK_NET_HTTP_RESPONSE };

	if (call->starting) {
		call->ended = true;
		call->result = result;
		return;
	}
	call_detach(call);
	ev.u.response.call = call->id;
	ev.u.response.result = result;
	ev.u.response.timed_out = call->timed_out;
	if (result == MLK_HTTP_OK) {
		ev.u.response.status = call->status;
		ev.u.response.body = call->response->data;
		ev.u.response.body_len = call->response->len;
	}
	mlk_net_emit(call->loop, &ev);
	call_free(call);
}

/*
 * Closes the connection of a call at once.  It is never called while
 * libwebsockets is servicing this connection, so a synchronous close is safe.
 */
static void
drop_connection(struct call *call)
{
	struct lws *wsi = call->wsi;

	call->wsi = NULL;
	if (wsi == NULL)
		return;
	lws_set_opaque_user_data(wsi, NULL);
	lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

static void
on_timeout(lws_sorted_usec_list_t *sul)
{
	struct call *call;

	call = lws_container_of(sul, struct call, timer);
	call->timed_out = true;
	drop_connection(call);
	finish(call, call->sent ? MLK_HTTP_TIMEOUT : MLK_HTTP_NOT_SENT);
}

/*
 * After a request was sent, libwebsockets waits for the response only for the
 * timeout of its context, 5 s, and ignores the timeout of the vhost.  It sets
 * the 5 s after the callbacks have returned, so a callback cannot extend this
 * timeout; a timer that fires afterwards does.
 */
static void
extend_response_timeout(lws_sorted_usec_list_t *sul)
{
	struct call *call;

	call = lws_container_of(sul, struct call, sent_timer);
	if (call->wsi != NULL)
		lws_set_timeout(call->wsi,
		    PENDING_TIMEOUT_AWAITING_SERVER_RESPONSE, LWS_TIMEOUT_S);
}

/*
 * Adds the headers of the call.  From now on the request counts as sent.
 */
static int
append_headers(struct call *call, unsigned char **p, size_t room)
{
	char line[48];
	size_t len, extra;

	len = 0;
	if (call->body->len > 0 || strcmp(call->method, "POST") == 0)
		len = (size_t)snprintf(line, sizeof(line),
		    "Content-Length: %u\r\n", call->body->len);
	extra = call->headers == NULL ? 0 : strlen(call->headers);
	if (len + extra > room)
		return (-1);
	memcpy(*p, line, len);
	*p += len;
	if (extra > 0)
		memcpy(*p, call->headers, extra);
	*p += extra;
	call->sent = true;
	lws_sul_schedule(call->loop->context, 0, &call->sent_timer,
	    extend_response_timeout, 1);
	if (call->body->len > 0) {
		lws_client_http_body_pending(call->wsi, 1);
		(void)lws_callback_on_writable(call->wsi);
	}
	return (0);
}

static int
write_body(struct call *call)
{
	enum lws_write_protocol protocol;
	size_t left;

	left = call->body->len - call->body_sent;
	if (left == 0)
		return (0);
	protocol = LWS_WRITE_HTTP_FINAL;
	if (left > MLK_NET_WRITE_MAX) {
		left = MLK_NET_WRITE_MAX;
		protocol = LWS_WRITE_HTTP;
	}
	if (lws_write(call->wsi, call->body->data + call->body_sent, left,
		protocol) < (int)left)
		return (-1);
	call->body_sent += left;
	if (call->body_sent < call->body->len) {
		(void)lws_callback_on_writable(call->wsi);
		return (0);
	}
	lws_client_http_body_pending(call->wsi, 0);
	lws_sul_schedule(call->loop->context, 0, &call->sent_timer,
	    extend_response_timeout, 1);
	return (0);
}

static void
read_response_header(struct call *call)
{
	char value[32];

	call->status = (int)lws_http_client_http_response(call->wsi);
	call->content_length = -1;
	if (lws_hdr_copy(call->wsi, value, sizeof(value),
		WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0)
		call->content_length = strtoll(value, NULL, 10);
	call->server_closes = lws_hdr_copy(call->wsi, value, sizeof(value),
				  WSI_TOKEN_CONNECTION) > 0 &&
	    g_ascii_strcasecmp(value, "close") == 0;
}

static int
read_response_body(struct lws *wsi)
{
	char buf[LWS_PRE + 16384];
	char *data = buf + LWS_PRE;
	int len = sizeof(buf) - LWS_PRE;

	return (lws_http_client_read(wsi, &data, &len) < 0 ? -1 : 0);
}

static int
append_response(struct call *call, const void *data, size_t len)
{
	if (call->response->len + len > RESPONSE_MAX)
		return (-1);
	(void)g_byte_array_append(call->response, data, (guint)len);
	return (0);
}

/*
 * Ends a call whose transaction is complete.  A body that does not have the
 * length of its Content-Length counts as a lost response.
 */
static void
on_completed(struct call *call)
{
	bool whole;

	whole = call->status != 0 &&
	    (call->content_length < 0 ||
		call->content_length == call->response->len ||
		strcmp(call->method, "HEAD") == 0);
	finish(call, whole ? MLK_HTTP_OK : MLK_HTTP_LOST);
}

static int
call_event(
    struct call *call, enum lws_callback_reasons reason, void *in, size_t len)
{
	bool keep;

	switch (reason) {
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
		return (append_headers(call, in, len));
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
		return (write_body(call));
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		read_response_header(call);
		return (0);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return (read_response_body(call->wsi));
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		return (append_response(call, in, len));
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		keep = reuses_connection(call) && !call->server_closes;
		on_completed(call);
		return (keep ? 0 : -1); /* -1 ends the connection */
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
	case LWS_CALLBACK_WSI_DESTROY:
		finish(call, call->sent ? MLK_HTTP_LOST : MLK_HTTP_NOT_SENT);
		return (0);
	default:
		return (0);
	}
}

static int
call_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	struct call *call;

	(void)user;
	call = wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);
	if (call == NULL) {
		/* The call was aborted: do not send it or read its response. */
		return (reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
			    reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ?
			-1 :
			0);
	}
	call->wsi = wsi;
	return (call_event(call, reason, in, len));
}

static const struct lws_protocols call_protocols[] = {
	{ .name = "mlk-call",
	    .callback = call_callback,
	    .tx_packet_size = MLK_NET_WRITE_MAX },
	{ .name = NULL },
};

/*
 * Creates a vhost for client connections.  Returns NULL when it cannot, for
 * example when the file of trusted certificates cannot be read.
 */
static struct lws_vhost *
vhost_create(struct mlk_loop *loop, const char *name, bool tls)
{
	struct lws_context_creation_info info;
	struct lws_vhost *vhost;

	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.protocols = call_protocols;
	info.vhost_name = name;
	info.timeout_secs = LWS_TIMEOUT_S;
	info.connect_timeout_secs = LWS_TIMEOUT_S;
	if (tls) {
		info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
		info.client_ssl_ca_filepath = loop->options.tls_ca;
	}
	vhost = lws_create_vhost(loop->context, &info);
	if (vhost == NULL || !tls)
		return (vhost);
	return (lws_init_vhost_client_ssl(&info, vhost) != 0 ? NULL : vhost);
}

/*
 * Returns a lane, created on first use, or NULL when it cannot be created.
 */
static struct lane *
lane_get(struct mlk_loop *loop, uint32_t number, bool tls)
{
	struct lane *lane;
	char name[32];
	uint64_t key;

	key = (uint64_t)number << 1 | (tls ? 1 : 0);
	lane = g_hash_table_lookup(loop->lanes, &key);
	if (lane != NULL)
		return (lane);
	lane = g_new0(struct lane, 1);
	lane->key = key;
	g_queue_init(&lane->waiting);
	(void)snprintf(
	    name, sizeof(name), "mlk-lane-%u%s", number, tls ? "-tls" : "");
	lane->vhost = vhost_create(loop, name, tls);
	if (lane->vhost == NULL) {
		g_free(lane);
		return (NULL);
	}
	(void)g_hash_table_insert(loop->lanes, &lane->key, lane);
	return (lane);
}

/*
 * Returns the vhost of calls without a lane, or NULL when it cannot be created.
 */
static struct lws_vhost *
default_vhost(struct mlk_loop *loop, bool tls)
{
	struct lws_vhost **slot;

	slot = tls ? &loop->call_tls_vhost : &loop->call_vhost;
	if (*slot == NULL)
		*slot = vhost_create(loop, tls ? "mlk-tls" : "mlk-call", tls);
	return (*slot);
}

int
mlk_net_calls_init(struct mlk_loop *loop, struct mlk_error *err)
{
	(void)err;
	loop->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	loop->lanes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&loop->ready_lanes);
	g_queue_init(&loop->ready_calls);
	return (0);
}

/*
 * Frees all calls; no events are reported.
 */
void
mlk_net_calls_free(struct mlk_loop *loop)
{
	GHashTableIter iter;
	gpointer call;

	if (loop->calls == NULL)
		return;
	for (;;) {
		g_hash_table_iter_init(&iter, loop->calls);
		if (!g_hash_table_iter_next(&iter, NULL, &call))
			break;
		call_detach(call);
		call_free(call);
	}
	g_queue_clear(&loop->ready_lanes);
	g_hash_table_destroy(loop->calls);
	g_hash_table_destroy(loop->lanes);
}

static struct call *
call_create(struct mlk_loop *loop, const struct mlk_http_call *from)
{
	struct call *call;

	call = g_new0(struct call, 1);
	call->loop = loop;
	call->id = from->call;
	call->tls = from->tls;
	call->method = g_strdup(from->method);
	call->path = g_strdup(from->path);
	call->headers = g_strdup(from->headers);
	(void)g_strlcpy(call->host, from->addr, sizeof(call->host));
	call->body = g_byte_array_new();
	if (from->body_len > 0)
		(void)g_byte_array_append(
		    call->body, from->body, (guint)from->body_len);
	call->response = g_byte_array_new();
	return (call);
}

/*
 * Queues a call; it starts after the current iteration of the loop, or when its
 * lane is free.  Exactly one MLK_NET_HTTP_RESPONSE follows unless the call is
 * aborted.  The timeout includes the wait for the lane.  Returns 0,
 * MLK_ERR_INVALID for a malformed address or an id in use, or MLK_ERR_IO when
 * no vhost can be created.
 */
int
mlk_loop_http_call(struct mlk_loop *loop, const struct mlk_http_call *from,
    struct mlk_error *err)
{
	struct mlk_address address;
	struct lane *lane = NULL;
	struct call *call;

	if (mlk_net_address_parse(from->addr, &address, err) != 0)
		return (MLK_ERR_INVALID);
	if (g_hash_table_contains(loop->calls, &from->call))
		return (mlk_error_set(
		    err, MLK_ERR_INVALID, "the id of the HTTP call is in use"));
	if (from->lane != 0)
		lane = lane_get(loop, from->lane, from->tls);
	if (from->lane != 0 ? lane == NULL :
			      default_vhost(loop, from->tls) == NULL)
		return (mlk_error_set(
		    err, MLK_ERR_IO, "cannot set up the HTTP client"));
	call = call_create(loop, from);
	call->address = address;
	call->lane = lane;
	(void)g_hash_table_insert(loop->calls, &call->id, call);
	lws_sul_schedule(loop->context, 0, &call->timer, on_timeout,
	    (lws_usec_t)from->timeout_ms * LWS_US_PER_MS);
	if (lane == NULL) {
		g_queue_push_tail(&loop->ready_calls, call);
		return (0);
	}
	g_queue_push_tail(&lane->waiting, call);
	lane_schedule(loop, lane);
	return (0);
}

/*
 * Cancels a call; no event follows.  An unknown or finished call is ignored.
 */
void
mlk_loop_http_abort(struct mlk_loop *loop, uint64_t id)
{
	struct call *call;

	call = g_hash_table_lookup(loop->calls, &id);
	if (call == NULL)
		return;
	drop_connection(call);
	call_detach(call);
	call_free(call);
}

static void
start_call(struct call *call)
{
	struct lws_client_connect_info info;
	struct mlk_loop *loop = call->loop;
	struct lws *wsi;

	memset(&info, 0, sizeof(info));
	info.context = loop->context;
	info.vhost = call->lane != NULL ? call->lane->vhost :
					  default_vhost(loop, call->tls);
	info.address = call->address.host;
	info.port = call->address.port;
	info.host = call->host;
	info.path = call->path;
	info.method = call->method;
	info.protocol = "mlk-call";
	info.local_protocol_name = "mlk-call";
	info.alpn = "http/1.1";
	info.opaque_user_data = call;
	info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
	if (reuses_connection(call)) {
		info.host = call->address.host;
		info.ssl_connection |= LCCSCF_PIPELINE;
	}
	if (call->tls)
		info.ssl_connection |= LCCSCF_USE_SSL;
	call->starting = true;
	wsi = lws_client_connect_via_info(&info);
	call->starting = false;
	if (call->ended)
		finish(call, call->result);
	else if (wsi == NULL)
		finish(call, call->sent ? MLK_HTTP_LOST : MLK_HTTP_NOT_SENT);
	else
		call->wsi = wsi;
}

/*
 * Starts the calls that have no lane, and the next call of each ready lane.
 * Returns whether there were any.
 */
bool
mlk_net_calls_start(struct mlk_loop *loop)
{
	struct call *call;
	struct lane *lane;
	bool any = false;

	while ((call = g_queue_pop_head(&loop->ready_calls)) != NULL) {
		start_call(call);
		any = true;
	}
	while ((lane = g_queue_pop_head(&loop->ready_lanes)) != NULL) {
		lane->ready = false;
		call = g_queue_pop_head(&lane->waiting);
		if (call == NULL)
			continue;
		lane->current = call;
		start_call(call);
		any = true;
	}
	return (any);
}
