/*
 * Listening sockets.  They are opened here and given to libwebsockets as plain
 * descriptors: it can close listeners of its own only together with all
 * connections of their vhost, and a planned stop must keep these connections
 * open.
 */
#define _GNU_SOURCE /* accept4 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop.h"

#define BACKLOG 1024
#define ACCEPT_BATCH_MAX 64 /* per callback, so that others get served */

struct listener {
	struct mlk_loop *loop;
	struct lws *wsi;
	int fd;
	uint16_t port;
	bool http;
};

/*
 * Parses "ip:port"; an IPv6 address is in brackets.  Returns 0 or
 * MLK_ERR_INVALID.
 */
int
mlk_net_address_parse(
    const char *text, struct mlk_address *out, struct mlk_error *err)
{
	const char *colon;
	size_t len;
	char *end;
	long port;

	colon = strrchr(text, ':');
	len = colon == NULL ? 0 : (size_t)(colon - text);
	if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	port = colon == NULL ? -1 : strtol(colon + 1, &end, 10);
	if (len == 0 || len >= sizeof(out->host) || colon[1] == '\0' ||
	    *end != '\0' || port < 0 || port > UINT16_MAX)
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "not an address of the form ip:port: %.80s", text));
	memcpy(out->host, text, len);
	out->host[len] = '\0';
	out->port = (int)port;
	return (0);
}

/*
 * Converts an address.  Returns the length of *ss, or 0 when the host is not a
 * numeric IP address.
 */
static socklen_t
sockaddr_fill(const struct mlk_address *a, struct sockaddr_storage *ss)
{
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)ss;
	struct sockaddr_in *in = (struct sockaddr_in *)ss;

	memset(ss, 0, sizeof(*ss));
	if (inet_pton(AF_INET, a->host, &in->sin_addr) == 1) {
		in->sin_family = AF_INET;
		in->sin_port = htons((uint16_t)a->port);
		return (sizeof(*in));
	}
	if (inet_pton(AF_INET6, a->host, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons((uint16_t)a->port);
		return (sizeof(*in6));
	}
	return (0);
}

/*
 * Opens a listening socket and stores its port in *port.  Returns the
 * descriptor, or -1 with errno set.
 */
static int
open_socket(const struct mlk_address *a, uint16_t *port)
{
	struct sockaddr_storage ss;
	socklen_t len;
	int fd, on = 1, saved;

	len = sockaddr_fill(a, &ss);
	if (len == 0) {
		errno = EINVAL;
		return (-1);
	}
	fd =
	    socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (-1);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&ss, len) != 0 ||
	    listen(fd, BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)&ss, &len) != 0) {
		saved = errno;
		(void)close(fd);
		errno = saved;
		return (-1);
	}
	/* The port is at the same offset in both address families. */
	*port = ntohs(((struct sockaddr_in *)&ss)->sin_port);
	return (fd);
}

static void
accept_batch(struct listener *l)
{
	int fd, i;

	for (i = 0; i < ACCEPT_BATCH_MAX; i++) {
		fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		mlk_net_nodelay(fd);
		if (l->http)
			mlk_net_http_accept(l->loop, fd, l->port);
		else
			mlk_net_link_accept(l->loop, fd);
	}
}

int
mlk_net_listen_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len)
{
	struct listener *l;

	(void)user;
	(void)in;
	(void)len;
	l = lws_get_opaque_user_data(wsi);
	if (l == NULL)
		return (0);
	if (reason == LWS_CALLBACK_RAW_RX_FILE) {
		accept_batch(l);
	} else if (reason == LWS_CALLBACK_RAW_CLOSE_FILE) {
		lws_set_opaque_user_data(wsi, NULL);
		(void)g_ptr_array_remove(l->loop->listeners, l);
		g_free(l);
	}
	return (0);
}

static int
add_listener(
    struct mlk_loop *loop, const char *addr, bool http, struct mlk_error *err)
{
	lws_sock_file_fd_type desc;
	struct mlk_address address;
	struct listener *l;
	struct lws *wsi;
	uint16_t port;

	if (mlk_net_address_parse(addr, &address, err) != 0)
		return (MLK_ERR_INVALID);
	desc.filefd = open_socket(&address, &port);
	if (desc.filefd < 0)
		return (mlk_error_set(err, MLK_ERR_IO,
		    "cannot listen on %s: %s", addr, strerror(errno)));
	wsi = lws_adopt_descriptor_vhost(loop->link_vhost,
	    LWS_ADOPT_RAW_FILE_DESC, desc, "mlk-listen", NULL);
	if (wsi == NULL)
		return (mlk_error_set(err, MLK_ERR_IO,
		    "cannot add the listener %s to the event loop", addr));
	l = g_new0(struct listener, 1);
	l->loop = loop;
	l->wsi = wsi;
	l->fd = desc.filefd;
	l->port = port;
	l->http = http;
	lws_set_opaque_user_data(wsi, l);
	g_ptr_array_add(loop->listeners, l);
	return (0);
}

/*
 * Accepts links on "ip:port"; port 0 selects a free port.
 */
int
mlk_loop_listen_rpc(
    struct mlk_loop *loop, const char *addr, struct mlk_error *err)
{
	return (add_listener(loop, addr, false, err));
}

/*
 * Accepts HTTP on "ip:port", or HTTPS when the options name a certificate.
 */
int
mlk_loop_listen_http(
    struct mlk_loop *loop, const char *addr, struct mlk_error *err)
{
	int code;

	code = mlk_net_http_vhost(loop, err);
	if (code != 0)
		return (code);
	return (add_listener(loop, addr, true, err));
}

/*
 * Returns the port of the last listener of a kind, or 0 when there is none.
 */
static uint16_t
bound_port(const struct mlk_loop *loop, bool http)
{
	const struct listener *l;
	guint i;

	for (i = loop->listeners->len; i > 0; i--) {
		l = g_ptr_array_index(loop->listeners, i - 1);
		if (l->http == http)
			return (l->port);
	}
	return (0);
}

uint16_t
mlk_loop_rpc_port(const struct mlk_loop *loop)
{
	return (bound_port(loop, false));
}

uint16_t
mlk_loop_http_port(const struct mlk_loop *loop)
{
	return (bound_port(loop, true));
}

void
mlk_loop_close_listeners(struct mlk_loop *loop)
{
	struct listener *l;
	guint i;

	for (i = loop->listeners->len; i > 0; i--) {
		l = g_ptr_array_index(loop->listeners, i - 1);
		if (!l->http)
			continue;
		/*
		 * The socket stops listening at once.  The wsi may be in
		 * service now and is closed later.
		 */
		(void)shutdown(l->fd, SHUT_RDWR);
		lws_set_timeout(
		    l->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	}
}
