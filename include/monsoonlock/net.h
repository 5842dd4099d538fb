/*
 * Net library: the libwebsockets event loop.  It turns sockets, timers and
 * signals into events for one handler, and carries out what the program asks.
 *
 * One thread; every function is called from the handler or before
 * mlk_loop_run().  Handles are never reused within 2^20 generations.
 */
#ifndef MONSOONLOCK_NET_H
#define MONSOONLOCK_NET_H

#include <monsoonlock/base.h>
#include <monsoonlock/core.h>

struct mlk_loop;

enum mlk_net_event_type {
	MLK_NET_LINK_UP, /* connect != 0: outgoing; 0: accepted */
	MLK_NET_LINK_DOWN, /* also a failed connect, then link is 0 */
	MLK_NET_MSG, /* decoded; cleared by the loop after return */
	MLK_NET_HTTP_REQUEST, /* whole request; valid until return */
	MLK_NET_HTTP_GONE, /* the client of an unanswered request left */
	MLK_NET_HTTP_RESPONSE, /* to mlk_loop_http_call() */
	MLK_NET_TICK,
	MLK_NET_STOP, /* SIGTERM or SIGINT */
	MLK_NET_RELOAD, /* SIGHUP */
};

enum mlk_http_result {
	MLK_HTTP_OK, /* a whole response with a status */
	MLK_HTTP_NOT_SENT, /* no byte of the request left this process */
	MLK_HTTP_LOST, /* sent, perhaps in part; no whole response */
	MLK_HTTP_TIMEOUT, /* sent; no whole response in time */
};

struct mlk_http_request {
	uint64_t request; /* handle for mlk_loop_http_reply() */
	const char *method;
	const char *path;
	const char *query; /* "" when absent */
	const char *authorization; /* "" when absent */
	const char *host; /* "" when absent */
	uint16_t port; /* of the listener that accepted the connection */
	const uint8_t *body;
	size_t body_len;
};

struct mlk_net_event {
	enum mlk_net_event_type type;
	union {
		struct {
			uint32_t link;
			uint32_t connect;
		} link;
		struct {
			uint32_t link;
			struct mlk_msg *msg;
		} msg;
		struct mlk_http_request http;
		struct {
			uint64_t request;
		} gone;
		struct {
			uint64_t call;
			enum mlk_http_result result;
			bool timed_out; /* with NOT_SENT: no connection in
					   time; else it was refused */
			int status;
			const uint8_t *body;
			size_t body_len;
		} response;
	} u;
};

struct mlk_loop_options {
	void *arg;
	void (*handle)(void *arg, const struct mlk_net_event *ev);
	const struct mlk_clock *clock;
	uint32_t tick_ms;
	size_t http_body_max; /* larger requests get 413 */
	uint32_t http_header_timeout_s; /* slow clients are closed after it */
	uint32_t http_max_connections;
	const char *tls_cert; /* PEM paths; both NULL: plain HTTP */
	const char *tls_key;
	const char *tls_ca; /* for outgoing https calls; NULL: system's */
};

/* Bytes and messages by message type, for the metrics page. */
struct mlk_link_counters {
	uint64_t sent_msgs[MLK_MSG_TYPES];
	uint64_t sent_bytes[MLK_MSG_TYPES];
	uint64_t received_msgs[MLK_MSG_TYPES];
	uint64_t received_bytes[MLK_MSG_TYPES];
};

struct mlk_loop *mlk_loop_create(
    const struct mlk_loop_options *options, struct mlk_error *err);
void mlk_loop_destroy(struct mlk_loop *loop);
int mlk_loop_run(struct mlk_loop *loop); /* until mlk_loop_stop() */
void mlk_loop_stop(struct mlk_loop *loop);
/* One more MLK_NET_TICK at a time of the monotonic clock, in ns. */
void mlk_loop_wake(struct mlk_loop *loop, int64_t at);
const struct mlk_link_counters *mlk_loop_counters(const struct mlk_loop *loop);

int mlk_loop_listen_rpc(struct mlk_loop *loop, const char *addr,
    struct mlk_error *err); /* "ip:port" */
int mlk_loop_listen_http(
    struct mlk_loop *loop, const char *addr, struct mlk_error *err);
/* Port of the last listener of each kind, for addresses with port 0. */
uint16_t mlk_loop_rpc_port(const struct mlk_loop *loop);
uint16_t mlk_loop_http_port(const struct mlk_loop *loop);
/* Ends accepting on the HTTP listeners; open connections go on. */
void mlk_loop_close_listeners(struct mlk_loop *loop);

/* Result arrives as LINK_UP or LINK_DOWN with the same connect id. */
void mlk_loop_connect(
    struct mlk_loop *loop, uint32_t connect, const char *addr);
int mlk_loop_send(struct mlk_loop *loop, uint32_t link,
    const struct mlk_msg *msg); /* NOT_FOUND when the link is gone */
void mlk_loop_close_link(struct mlk_loop *loop, uint32_t link);

/* retry_after_s 0: no such header.  Copies the body. */
int mlk_loop_http_reply(struct mlk_loop *loop, uint64_t request, int status,
    const char *content_type, uint32_t retry_after_s, const void *body,
    size_t body_len);
/*
 * Copies a header of a request, for names that libwebsockets has no token
 * for; only while the request is being handled.  False when it is absent or
 * does not fit.
 */
bool mlk_loop_http_header(struct mlk_loop *loop, uint64_t request,
    const char *name, char *value, size_t size);
/* Closes each connection after its next reply, which says so. */
void mlk_loop_http_close_after(struct mlk_loop *loop, bool close_after);
/* Replies not yet written out; a planned stop waits for 0. */
size_t mlk_loop_http_pending(const struct mlk_loop *loop);

struct mlk_http_call {
	uint64_t call; /* echoed; chosen by the caller */
	uint32_t lane; /* calls in one lane never overlap, and share a
			  kept-alive connection when it is plain and over IPv4;
			  their Host header has no port.  0: own connection */
	bool tls;
	const char *method;
	const char *addr; /* "ip:port" */
	const char *path;
	const char *headers; /* "Name: value\r\n"..., or NULL */
	const void *body;
	size_t body_len;
	uint32_t timeout_ms;
};

int mlk_loop_http_call(struct mlk_loop *loop, const struct mlk_http_call *call,
    struct mlk_error *err);
void mlk_loop_http_abort(struct mlk_loop *loop, uint64_t call);

#endif
