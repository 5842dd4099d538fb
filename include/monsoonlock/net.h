/*
 * Net library: an event loop on libwebsockets.  It reports activity of sockets,
 * timers and signals as events to one handler, and sends the messages, replies
 * and HTTP calls of the program.
 *
 * Not thread-safe: call every function from the handler or before
 * mlk_loop_run().  A handle repeats only after at least 2^20 - 1 further uses
 * of its slot.
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
	MLK_NET_HTTP_REQUEST, /* complete request; valid until return */
	/*
	 * A request that is not passed on, because its client disconnected
	 * first; see http_confirm_after_ms.  It cannot be answered.
	 */
	MLK_NET_HTTP_DROPPED,
	MLK_NET_HTTP_GONE, /* the client disconnected before the reply */
	MLK_NET_HTTP_RESPONSE, /* result of mlk_loop_http_call() */
	MLK_NET_TICK,
	MLK_NET_STOP, /* SIGTERM or SIGINT */
	MLK_NET_RELOAD, /* SIGHUP */
};

enum mlk_http_result {
	MLK_HTTP_OK, /* a complete response with a status */
	MLK_HTTP_NOT_SENT, /* no byte of the request left this process */
	MLK_HTTP_LOST, /* sent, perhaps in part; no complete response */
	MLK_HTTP_TIMEOUT, /* sent; no complete response in time */
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
	int64_t held; /* ns that it was held; see http_confirm_after_ms */
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
			/*
			 * With NOT_SENT: whether the timeout passed before
			 * there was a connection; otherwise it failed, for
			 * example because it was refused.
			 */
			bool timed_out;
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
	uint32_t http_header_timeout_s; /* limit for a whole header,
					   then for each part of a body */
	uint32_t http_max_connections;
	/*
	 * A network partition can delay a request until long after its client
	 * has given up.  A request with side effects (not GET or HEAD) that may
	 * be this old is passed on only if the client is still connected 20 ms
	 * later; the first request on a connection may be of any age.  0: all
	 * requests are passed on at once.
	 */
	uint32_t http_confirm_after_ms;
	const char *tls_cert; /* PEM paths; both NULL: plain HTTP */
	const char *tls_key;
	const char *tls_ca; /* for outgoing HTTPS; NULL: the system's CAs */
};

/* Bytes and messages of links by message type, for the metrics. */
struct mlk_link_counters {
	uint64_t sent_msgs[MLK_MSG_TYPES];
	uint64_t sent_bytes[MLK_MSG_TYPES];
	uint64_t received_msgs[MLK_MSG_TYPES];
	uint64_t received_bytes[MLK_MSG_TYPES];
};

/*
 * Blocks SIGTERM, SIGINT and SIGHUP, which the loop handles, so that one that
 * arrives earlier waits for it.  A program calls this first, with one thread.
 * Returns 0 or MLK_ERR_IO.
 */
int mlk_loop_block_signals(void);
struct mlk_loop *mlk_loop_create(
    const struct mlk_loop_options *options, struct mlk_error *err);
void mlk_loop_destroy(struct mlk_loop *loop);
int mlk_loop_run(struct mlk_loop *loop); /* until mlk_loop_stop() */
void mlk_loop_stop(struct mlk_loop *loop);
/* Requests an extra MLK_NET_TICK at a time of the monotonic clock, in ns. */
void mlk_loop_wake(struct mlk_loop *loop, int64_t at);
const struct mlk_link_counters *mlk_loop_counters(const struct mlk_loop *loop);

int mlk_loop_listen_rpc(struct mlk_loop *loop, const char *addr,
    struct mlk_error *err); /* "ip:port" */
int mlk_loop_listen_http(
    struct mlk_loop *loop, const char *addr, struct mlk_error *err);
/* Port of the last listener of each kind, for addresses with port 0. */
uint16_t mlk_loop_rpc_port(const struct mlk_loop *loop);
uint16_t mlk_loop_http_port(const struct mlk_loop *loop);
/* Closes the HTTP listeners; open connections are kept. */
void mlk_loop_close_listeners(struct mlk_loop *loop);

/* The result is a LINK_UP or LINK_DOWN event with the same connect id. */
void mlk_loop_connect(
    struct mlk_loop *loop, uint32_t connect, const char *addr);
int mlk_loop_send(struct mlk_loop *loop, uint32_t link,
    const struct mlk_msg *msg); /* NOT_FOUND when the link is gone */
void mlk_loop_close_link(struct mlk_loop *loop, uint32_t link);

/* retry_after_s: value of Retry-After; 0: no such header.  Copies the body. */
int mlk_loop_http_reply(struct mlk_loop *loop, uint64_t request, int status,
    const char *content_type, uint32_t retry_after_s, const void *body,
    size_t body_len);
/*
 * Copies a header of a request, for names that libwebsockets has no token for.
 * Call it only from the handler of the request.  Returns false when the header
 * is absent or does not fit.
 */
bool mlk_loop_http_header(struct mlk_loop *loop, uint64_t request,
    const char *name, char *value, size_t size);
/*
 * While set, each reply has "Connection: close", and its connection is closed
 * after it.
 */
void mlk_loop_http_close_after(struct mlk_loop *loop, bool close_after);
/*
 * Replies not yet written out, and requests that are held; a planned stop
 * (graceful shutdown) waits until there are none.
 */
size_t mlk_loop_http_pending(const struct mlk_loop *loop);
/* Requests held so far; see http_confirm_after_ms. */
uint64_t mlk_loop_http_held(const struct mlk_loop *loop);

struct mlk_http_call {
	uint64_t call; /* id chosen by the program; echoed in the response */
	/*
	 * A lane is a queue of calls: those with the same `lane` and `tls` run
	 * one at a time, in order.  Over plain HTTP and IPv4 they share a
	 * keep-alive connection, and their Host header has no port.  0: no
	 * lane; the call waits for no other call and has a connection of its
	 * own.
	 */
	uint32_t lane;
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
