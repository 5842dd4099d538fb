/*
 * State shared by the files of the net library.
 *
 * The handler is called only from the loop, never from inside a function that
 * the program calls.  Outgoing connections and HTTP calls are therefore queued,
 * and started as soon as the current lws_service() returns.
 */
#ifndef MLK_NET_LOOP_H
#define MLK_NET_LOOP_H

#include <glib.h>
#include <libwebsockets.h>

#include <monsoonlock/net.h>
#include <monsoonlock/wire.h>

#include "table.h"

#define MLK_NET_WRITE_MAX 65536U /* bytes per read or write */

struct mlk_loop {
	struct mlk_loop_options options;
	struct lws_context *context;
	struct lws_vhost *link_vhost; /* links, listeners, timer, signals */
	struct lws_vhost *http_vhost; /* created by the first listener */
	struct lws_vhost *call_vhost; /* calls of lane 0 without TLS */
	struct lws_vhost *call_tls_vhost;
	int timer_fd;
	int64_t tick_at; /* monotonic, ns */
	int64_t wake_at; /* monotonic, ns; 0: none requested */
	int signal_fd;
	sigset_t old_mask;
	bool stopping;
	bool destroying; /* no more events are reported */

	struct mlk_table links;
	GQueue connects; /* struct mlk_link; connects not yet started */
	uint32_t xid;
	struct mlk_link_counters counters;

	GPtrArray *listeners;
	struct mlk_table requests;
	GPtrArray *unanswered; /* struct http_conn that await a reply */
	int64_t reaped_at; /* monotonic, ns; of the last mlk_net_http_reap() */
	uint32_t http_connections;
	bool http_close_after;
	size_t http_pending;
	uint64_t http_held; /* requests held so far, see CONFIRM_MS */

	GHashTable *calls; /* by id */
	GHashTable *lanes; /* by number and TLS */
	GQueue ready_lanes; /* lanes with a call to start */
	GQueue ready_calls; /* calls of lane 0, not yet started */
};

struct mlk_address {
	char host[MLK_ADDR_MAX];
	int port;
};

int mlk_net_address_parse(
    const char *text, struct mlk_address *out, struct mlk_error *err);
void mlk_net_emit(struct mlk_loop *loop, const struct mlk_net_event *ev);
struct mlk_loop *mlk_net_loop_of(struct lws *wsi);
void mlk_net_nodelay(int fd);

/* link.c */
int mlk_net_link_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);
void mlk_net_link_accept(struct mlk_loop *loop, int fd);
bool mlk_net_links_start(struct mlk_loop *loop);
void mlk_net_links_free(struct mlk_loop *loop);

/* listen.c */
int mlk_net_listen_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);

/* http_server.c */
int mlk_net_http_vhost(struct mlk_loop *loop, struct mlk_error *err);
void mlk_net_http_accept(struct mlk_loop *loop, int fd, uint16_t port);
void mlk_net_http_reap(struct mlk_loop *loop);

/* http_client.c */
int mlk_net_calls_init(struct mlk_loop *loop, struct mlk_error *err);
bool mlk_net_calls_start(struct mlk_loop *loop);
void mlk_net_calls_free(struct mlk_loop *loop);

#endif
