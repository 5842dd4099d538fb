/*
 * HTTP/1.1 server.  A request is passed to the program when its body is
 * complete, with a handle of its own.  A reply is sent only while that handle
 * is valid, so that a late reply cannot answer another request.
 *
 * HTTP tells neither when a request was sent nor whether its client still waits
 * for it.  What is known is that it was sent after the previous reply on its
 * connection.  Nothing bounds the age of the first request: a partition that
 * delays it may have delayed the end of the handshake too, and an established
 * connection may have waited to be accepted.  A request that may be old is held
 * for CONFIRM_MS and passed on if the client is still connected then.
 */
#define _GNU_SOURCE /* POLLRDHUP */
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "loop.h"

/* Idle connections are closed after this time; clients close them earlier. */
#define KEEPALIVE_S 60
/*
 * A body of up to this many times http_body_max is read and discarded before
 * its 413 reply; to a larger one the reply is sent at once.
 */
#define DISCARD_FACTOR 8U
#define HEADER_VALUE_MAX 4096
/*
 * The end of a stream that a partition has held up arrives up to one round trip
 * after the request before it, since TCP sends it when that is acknowledged.
 * Callers are up to 4 ms away; the rest allows for proxies between them.
 */
#define CONFIRM_MS 20

struct http_conn {
	struct mlk_loop *loop;
	struct lws *wsi;
	uint64_t request; /* handle of the unanswered request; 0: none */
	bool busy; /* from the header to the end of the reply */
	bool head; /* HEAD: reply without body */
	bool close_after;
	bool confirming; /* its request is held, see CONFIRM_MS */
	int64_t received; /* its request was complete; loop clock, ns */
	int64_t replied_at; /* last reply was written; loop clock, ns; 0: none
			       was */
	int reject_status; /* error status to send after the body; 0: none */
	const char *method;
	char *path;
	char *query;
	char *authorization;
	char *host;
	uint16_t port; /* of its listener */
	GByteArray *body;
	GByteArray *reply; /* header and body; NULL: none */
	size_t sent; /* bytes of reply already written */
};

static const char *
method_name(int method)
{
	switch (method) {
	case LWSHUMETH_GET:
		return ("GET");
	case LWSHUMETH_POST:
		return ("POST");
	case LWSHUMETH_PUT:
		return ("PUT");
	case LWSHUMETH_DELETE:
		return ("DELETE");
	case LWSHUMETH_HEAD:
		return ("HEAD");
	default:
		return ("OTHER");
	}
}

/*
 * Tells whether a request has no side effects (RFC 9110, safe methods).
 */
static bool
is_safe(const struct http_conn *c)
{
	return (
	    strcmp(c->method, "GET") == 0 || strcmp(c->method, "HEAD") == 0);
}

static const char *
status_text(int status)
{
	static const struct {
		int status;
		const char *text;
	} texts[] = {
		{ 200, "OK" },
		{ 202, "Accepted" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 403, "Forbidden" },
		{ 404, "Not Found" },
		{ 405, "Method Not Allowed" },
		{ 409, "Conflict" },
		{ 411, "Length Required" },
		{ 413, "Payload Too Large" },
		{ 500, "Internal Server Error" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" },
	};
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		if (texts[i].status == status)
			return (texts[i].text);
	}
	return ("Status");
}

/*
 * Returns a copy of a header, or "" when it is absent or too long.
 */
static char *
header_copy(struct lws *wsi, enum lws_token_indexes token)
{
	char value[HEADER_VALUE_MAX];

	if (lws_hdr_copy(wsi, value, sizeof(value), token) <= 0)
		value[0] = '\0';
	return (g_strdup(value));
}

static uint64_t
header_number(struct lws *wsi, enum lws_token_indexes token)
{
	char value[32];

	if (lws_hdr_copy(wsi, value, sizeof(value), token) <= 0)
		return (0);
	return (strtoull(value, NULL, 10));
}

static void
request_reset(struct http_conn *c)
{
	g_clear_pointer(&c->path, g_free);
	g_clear_pointer(&c->query, g_free);
	g_clear_pointer(&c->authorization, g_free);
	g_clear_pointer(&c->host, g_free);
	g_clear_pointer(&c->body, g_byte_array_unref);
	g_clear_pointer(&c->reply, g_byte_array_unref);
	c->sent = 0;
	c->reject_status = 0;
	c->busy = false;
	c->close_after = false;
	c->confirming = false;
}

/*
 * Frees a connection that was closed.  Drops an unsent reply and reports an
 * unanswered request.
 */
static void
conn_closed(struct http_conn *c)
{
	struct mlk_net_event ev = { .type = MLK_NET_HTTP_GONE };
	struct mlk_loop *loop = c->loop;

	lws_set_opaque_user_data(c->wsi, NULL);
	ev.u.gone.request = c->confirming ? 0 : c->request;
	if (c->reply != NULL || c->confirming)
		loop->http_pending--;
	if (c->request != 0)
		mlk_table_remove(&loop->requests, c->request);
	(void)g_ptr_array_remove_fast(loop->unanswered, c);
	request_reset(c);
	g_free(c);
	loop->http_connections--;
	if (ev.u.gone.request != 0)
		mlk_net_emit(loop, &ev);
}

/*
 * Queues a reply to be written in the next iteration of the loop.
 */
static void
reply_queue(struct http_conn *c, int status, const char *content_type,
    uint32_t retry_after_s, const void *body, size_t body_len)
{
	char head[512], retry[48] = "";
	int len;

	if (c->loop->http_close_after)
		c->close_after = true;
	if (retry_after_s != 0)
		(void)snprintf(
		    retry, sizeof(retry), "Retry-After: %u\r\n", retry_after_s);
	len = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d %s\r\nContent-Type: %.128s\r\n"
	    "Content-Length: %zu\r\n%s%s\r\n",
	    status, status_text(status), content_type, body_len, retry,
	    c->close_after ? "Connection: close\r\n" :
			     "Connection: keep-alive\r\n");
	c->reply = g_byte_array_sized_new((guint)((size_t)len + body_len));
	(void)g_byte_array_append(c->reply, (const guint8 *)head, (guint)len);
	if (body_len > 0 && !c->head)
		(void)g_byte_array_append(c->reply, body, (guint)body_len);
	c->sent = 0;
	c->loop->http_pending++;
	/* While reading is off, libwebsockets does not write either. */
	(void)lws_rx_flow_control(c->wsi, 1);
	(void)lws_callback_on_writable(c->wsi);
}

/*
 * Answers a request that is not passed to the application, with an error body
 * as in docs/API.md.  The connection is closed, since unread bytes of the
 * request may follow on it.
 */
static void
reply_rejected(struct http_conn *c, int status)
{
	static const char too_large[] =
	    "{\"error\":{\"code\":\"too_large\",\"field\":\"\","
	    "\"message\":\"the body is larger than the server takes\"}}";
	static const char no_length[] =
	    "{\"error\":{\"code\":\"invalid\",\"field\":\"\","
	    "\"message\":\"a Content-Length is needed\"}}";
	static const char no_room[] =
	    "{\"error\":{\"code\":\"unavailable\",\"field\":\"\","
	    "\"message\":\"too many requests are open\"}}";
	const char *body = no_room;

	if (status == HTTP_STATUS_REQ_ENTITY_TOO_LARGE)
		body = too_large;
	else if (status == HTTP_STATUS_LENGTH_REQUIRED)
		body = no_length;
	c->close_after = true;
	reply_queue(c, status, "application/json", 0, body, strlen(body));
}

/*
 * Reports a complete request in an event of the given type.
 */
static void
emit_request(struct http_conn *c, enum mlk_net_event_type type)
{
	struct mlk_net_event ev = { .type = type };

	ev.u.http.request = c->request;
	ev.u.http.method = c->method;
	ev.u.http.path = c->path;
	ev.u.http.query = c->query;
	ev.u.http.authorization = c->authorization;
	ev.u.http.host = c->host;
	ev.u.http.port = c->port;
	ev.u.http.body = c->body->data;
	ev.u.http.body_len = c->body->len;
	ev.u.http.held = mlk_clock_now(c->loop->options.clock) - c->received;
	mlk_net_emit(c->loop, &ev);
}

/*
 * Passes a request to the application.
 */
static int
pass_on(struct http_conn *c)
{
	g_ptr_array_add(c->loop->unanswered, c);
	emit_request(c, MLK_NET_HTTP_REQUEST);
	return (0);
}

/*
 * Tells whether the client has disconnected or shut down its sending side.
 */
static bool
is_disconnected(const struct http_conn *c)
{
	struct pollfd fd = { .events = POLLRDHUP };

	fd.fd = lws_get_socket_fd(c->wsi);
	return (poll(&fd, 1, 0) > 0);
}

/*
 * Passes a request to the application if the client is still connected.
 * Returns -1 to close the connection if it is not.
 */
static int
pass_on_connected(struct http_conn *c)
{
	if (!is_disconnected(c))
		return (pass_on(c));
	emit_request(c, MLK_NET_HTTP_DROPPED);
	mlk_table_remove(&c->loop->requests, c->request);
	c->request = 0;
	return (-1);
}

/*
 * Holds a request until it is known whether its client is still connected.  An
 * immediate acknowledgement lets the client's TCP send the end of its stream.
 */
static int
confirm_client(struct http_conn *c)
{
	int on = 1;

	(void)setsockopt(lws_get_socket_fd(c->wsi), IPPROTO_TCP, TCP_QUICKACK,
	    &on, sizeof(on));
	c->confirming = true;
	c->loop->http_pending++;
	c->loop->http_held++;
	lws_set_timer_usecs(c->wsi, (lws_usec_t)CONFIRM_MS * LWS_US_PER_MS);
	return (0);
}

/*
 * Tells whether a complete request may have been sent http_confirm_after_ms
 * ago.
 */
static bool
may_be_old(const struct http_conn *c)
{
	int64_t after_ms = c->loop->options.http_confirm_after_ms;

	return (c->replied_at == 0 ||
	    c->received - c->replied_at >= after_ms * MLK_NSEC_PER_MSEC);
}

/*
 * Handles a complete request: rejects it, passes it to the application or holds
 * it until the client is confirmed.
 */
static int
deliver(struct http_conn *c)
{
	const struct mlk_loop_options *options = &c->loop->options;

	lws_set_timeout(c->wsi, NO_PENDING_TIMEOUT, 0);
	lws_set_timer_usecs(c->wsi, LWS_SET_TIMER_USEC_CANCEL);
	if (c->reject_status != 0) {
		reply_rejected(c, c->reject_status);
		return (0);
	}
	c->request = mlk_table_add(&c->loop->requests, c);
	if (c->request == 0) {
		reply_rejected(c, HTTP_STATUS_SERVICE_UNAVAILABLE);
		return (0);
	}
	/*
	 * libwebsockets does not read while a reply is pending, and would poll
	 * in a busy loop after the client has closed.  Reading is therefore
	 * turned off, and mlk_net_http_reap() finds closed clients.
	 */
	(void)lws_rx_flow_control(c->wsi, 0);
	c->received = mlk_clock_now(options->clock);
	if (options->http_confirm_after_ms == 0 || is_safe(c))
		return (pass_on(c));
	if (may_be_old(c))
		return (confirm_client(c));
	return (pass_on_connected(c));
}

/*
 * Copies the parts of the header that are passed to the application in the
 * request event.
 */
static void
request_headers(struct http_conn *c, const char *path)
{
	char *uri;
	int len, method;

	method = lws_http_get_uri_and_method(c->wsi, &uri, &len);
	c->method = method_name(method);
	c->head = method == LWSHUMETH_HEAD;
	c->path = g_strdup(path);
	c->query = header_copy(c->wsi, WSI_TOKEN_HTTP_URI_ARGS);
	c->authorization = header_copy(c->wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
	c->host = header_copy(c->wsi, WSI_TOKEN_HOST);
	c->body = g_byte_array_new();
}

/*
 * Sends the interim response that a client with "Expect: 100-continue" waits
 * for.
 */
static int
send_continue(struct http_conn *c)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";
	unsigned char buf[LWS_PRE + sizeof(line)];

	memcpy(buf + LWS_PRE, line, sizeof(line) - 1);
	return (lws_write(c->wsi, buf + LWS_PRE, sizeof(line) - 1,
		    LWS_WRITE_HTTP_HEADERS) < 0 ?
		-1 :
		0);
}

/*
 * Restarts the time limit for the next part of a request.  The connection is
 * closed when the limit passes.
 */
static void
start_timer(struct http_conn *c)
{
	lws_set_timer_usecs(c->wsi,
	    (lws_usec_t)c->loop->options.http_header_timeout_s *
		LWS_USEC_PER_SEC);
}

/*
 * Handles a complete header.  Returns -1 to close the connection, also when a
 * client sends a request before the reply to its previous one.
 */
static int
on_header(struct http_conn *c, const char *path)
{
	uint64_t length;

	if (c->busy)
		return (-1);
	c->busy = true;
	request_headers(c, path);
	length = header_number(c->wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
	if (lws_hdr_total_length(c->wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) >
	    0) {
		c->reject_status = HTTP_STATUS_LENGTH_REQUIRED;
		return (deliver(c));
	}
	if (length == 0)
		return (deliver(c));
	if (length > c->loop->options.http_body_max)
		c->reject_status = HTTP_STATUS_REQ_ENTITY_TOO_LARGE;
	if (length / DISCARD_FACTOR > c->loop->options.http_body_max)
		return (deliver(c));
	start_timer(c);
	if (lws_hdr_total_length(c->wsi, WSI_TOKEN_HTTP_EXPECT) > 0)
		return (send_continue(c));
	return (0);
}

static int
on_body(struct http_conn *c, const void *data, size_t len)
{
	if (c->busy && c->request == 0 && c->reply == NULL)
		start_timer(c);
	if (!c->busy || c->reject_status != 0 || c->reply != NULL)
		return (0);
	if (c->body->len + len > c->loop->options.http_body_max)
		return (-1);
	(void)g_byte_array_append(c->body, data, (guint)len);
	return (0);
}

static int
reply_done(struct http_conn *c)
{
	bool close_after = c->close_after;

	c->replied_at = mlk_clock_now(c->loop->options.clock);
	c->loop->http_pending--;
	request_reset(c);
	if (close_after || lws_http_transaction_completed(c->wsi) != 0)
		return (-1);
	return (0);
}

static int
write_reply(struct http_conn *c)
{
	size_t left;

	if (c->reply == NULL)
		return (0);
	while (c->sent < c->reply->len) {
		if (lws_send_pipe_choked(c->wsi)) {
			(void)lws_callback_on_writable(c->wsi);
			return (0);
		}
		left = c->reply->len - c->sent;
		if (left > MLK_NET_WRITE_MAX)
			left = MLK_NET_WRITE_MAX;
		if (lws_write(c->wsi, c->reply->data + c->sent, left,
			LWS_WRITE_HTTP) < (int)left)
			return (-1);
		c->sent += left;
	}
	if (lws_partial_buffered(c->wsi)) {
		(void)lws_callback_on_writable(c->wsi);
		return (0);
	}
	return (reply_done(c));
}

/*
 * Closes the connections with an unanswered request whose client has
 * disconnected or shut down its sending side.  One poll(2) checks all of them.
 */
void
mlk_net_http_reap(struct mlk_loop *loop)
{
	struct pollfd *fds;
	struct http_conn *c;
	guint i, n;

	n = loop->unanswered->len;
	if (n == 0)
		return;
	fds = g_new0(struct pollfd, n);
	for (i = 0; i < n; i++) {
		c = g_ptr_array_index(loop->unanswered, i);
		fds[i].fd = lws_get_socket_fd(c->wsi);
		fds[i].events = POLLRDHUP;
	}
	if (poll(fds, n, 0) <= 0)
		n = 0;
	for (i = 0; i < n; i++) {
		c = g_ptr_array_index(loop->unanswered, i);
		if (fds[i].revents != 0)
			lws_set_timeout(
			    c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	}
	g_free(fds);
}

/*
 * Handles the timer of a connection: a held request is to be passed on, or a
 * header or body was not received in time.
 */
static int
on_timer(struct http_conn *c)
{
	if (c->confirming) {
		c->confirming = false;
		c->loop->http_pending--;
		return (pass_on_connected(c));
	}
	return (c->request != 0 || c->reply != NULL ? 0 : -1);
}

static int
http_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	struct http_conn *c;

	(void)user;
	c = wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);
	if (c == NULL)
		return (0);
	switch (reason) {
	case LWS_CALLBACK_HTTP:
		return (on_header(c, in));
	case LWS_CALLBACK_HTTP_BODY:
		return (on_body(c, in, len));
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		if (c->busy && c->request == 0 && c->reply == NULL)
			return (deliver(c));
		return (0);
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return (write_reply(c));
	case LWS_CALLBACK_TIMER:
		return (on_timer(c));
	case LWS_CALLBACK_CLOSED_HTTP:
	case LWS_CALLBACK_WSI_DESTROY:
		conn_closed(c);
		return (0);
	default:
		return (0);
	}
}

static const struct lws_protocols http_protocols[] = {
	{ .name = "mlk-http",
	    .callback = http_callback,
	    .tx_packet_size = MLK_NET_WRITE_MAX },
	{ .name = NULL },
};

/*
 * Creates the vhost of the HTTP server if there is none.  It has no listener
 * of its own; see listen.c.
 */
int
mlk_net_http_vhost(struct mlk_loop *loop, struct mlk_error *err)
{
	struct lws_context_creation_info info;

	if (loop->http_vhost != NULL)
		return (0);
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
	info.protocols = http_protocols;
	info.vhost_name = "mlk-http";
	info.alpn = "http/1.1";
	info.keepalive_timeout = KEEPALIVE_S;
	info.timeout_secs = loop->options.http_header_timeout_s;
	info.timeout_secs_ah_idle = loop->options.http_header_timeout_s;
	if (loop->options.tls_cert != NULL) {
		info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
		info.ssl_cert_filepath = loop->options.tls_cert;
		info.ssl_private_key_filepath = loop->options.tls_key;
	}
	loop->http_vhost = lws_create_vhost(loop->context, &info);
	if (loop->http_vhost == NULL)
		return (mlk_error_set(
		    err, MLK_ERR_IO, "cannot set up the HTTP server"));
	return (0);
}

/*
 * Serves an accepted socket and takes ownership of it.  Above
 * http_max_connections the socket is closed.
 */
void
mlk_net_http_accept(struct mlk_loop *loop, int fd, uint16_t port)
{
	lws_sock_file_fd_type desc;
	struct http_conn *c;
	struct lws *wsi;

	if (loop->http_connections >= loop->options.http_max_connections) {
		(void)close(fd);
		return;
	}
	desc.sockfd = fd;
	wsi = lws_adopt_descriptor_vhost(loop->http_vhost,
	    LWS_ADOPT_SOCKET | LWS_ADOPT_HTTP | LWS_ADOPT_ALLOW_SSL, desc, NULL,
	    NULL);
	if (wsi == NULL)
		return;
	c = g_new0(struct http_conn, 1);
	c->loop = loop;
	c->wsi = wsi;
	c->port = port;
	loop->http_connections++;
	lws_set_opaque_user_data(wsi, c);
	start_timer(c);
}

/*
 * Answers a request.  Returns 0, or MLK_ERR_NOT_FOUND when the client has
 * disconnected or the request was answered before; the reply is then dropped.
 */
int
mlk_loop_http_reply(struct mlk_loop *loop, uint64_t request, int status,
    const char *content_type, uint32_t retry_after_s, const void *body,
    size_t body_len)
{
	struct http_conn *c;

	c = mlk_table_get(&loop->requests, request);
	if (c == NULL)
		return (MLK_ERR_NOT_FOUND);
	mlk_table_remove(&loop->requests, request);
	c->request = 0;
	(void)g_ptr_array_remove_fast(loop->unanswered, c);
	reply_queue(c, status, content_type, retry_after_s, body, body_len);
	return (0);
}

/*
 * Copies the value of a header.  libwebsockets stores the names of headers that
 * it has no token for in lower case, with the colon.
 */
bool
mlk_loop_http_header(struct mlk_loop *loop, uint64_t request, const char *name,
    char *value, size_t size)
{
	struct http_conn *c;
	char *key;
	int len;

	c = mlk_table_get(&loop->requests, request);
	if (c == NULL)
		return (false);
	key = g_strdup_printf("%s:", name);
	for (len = 0; key[len] != '\0'; len++)
		key[len] = g_ascii_tolower(key[len]);
	len = lws_hdr_custom_copy(c->wsi, value, (int)size, key, len);
	g_free(key);
	return (len >= 0);
}

void
mlk_loop_http_close_after(struct mlk_loop *loop, bool close_after)
{
	loop->http_close_after = close_after;
}

size_t
mlk_loop_http_pending(const struct mlk_loop *loop)
{
	return (loop->http_pending);
}

uint64_t
mlk_loop_http_held(const struct mlk_loop *loop)
{
	return (loop->http_held);
}
