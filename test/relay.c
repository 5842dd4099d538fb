/*
 * TCP relay with fault injection: one thread that polls all sockets.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include <monsoonlock/wire.h>

#include "relay.h"

#define POLL_MS 5 /* longest time until a changed rule takes effect */
#define CHUNK 65536 /* bytes */
#define BACKLOG 64

enum side {
	CLIENT,
	SERVER,
	SIDES,
};

/* One direction of a connection. */
struct flow {
	uint8_t data[CHUNK];
	size_t len;
	size_t sent;
	bool eof; /* the sender has closed its side */
	bool eof_forwarded; /* the receiver's side was shut down */
	bool write_failed; /* the receiver is gone; data is dropped */
	gint64 due; /* earliest write of the data, monotonic us */
};

struct listener {
	int fd;
	char from[MLK_NAME_MAX]; /* "": taken from the first message */
	char to[MLK_NAME_MAX];
	char addr[MLK_ADDR_MAX];
	char target[MLK_ADDR_MAX];
};

struct conn {
	struct listener *listener;
	int fd[SIDES]; /* SERVER is -1 until the client is identified */
	char from[MLK_NAME_MAX];
	bool silent; /* delivers nothing any more */
	struct flow flow[SIDES]; /* by the sending side */
};

/* What is done with connections and data from one process to another. */
struct rule {
	char from[MLK_NAME_MAX];
	char to[MLK_NAME_MAX];
	bool cut;
	bool broken;
	uint32_t delay_ms;
	uint32_t opened; /* connections so far */
};

struct relay {
	GMutex lock; /* guards all fields below */
	GThread *thread;
	bool stop;
	GPtrArray *listeners; /* struct listener */
	GPtrArray *conns; /* struct conn */
	GArray *rules; /* struct rule */
	GArray *polls; /* struct pollfd, used by the thread only */
};

static struct rule *
find_rule(struct relay *r, const char *from, const char *to)
{
	struct rule *rule;
	guint i;

	for (i = 0; i < r->rules->len; i++) {
		rule = &g_array_index(r->rules, struct rule, i);
		if (strcmp(rule->from, from) == 0 && strcmp(rule->to, to) == 0)
			return (rule);
	}
	return (NULL);
}

static struct rule *
get_rule(struct relay *r, const char *from, const char *to)
{
	struct rule rule = { 0 };

	if (find_rule(r, from, to) == NULL) {
		(void)g_strlcpy(rule.from, from, sizeof(rule.from));
		(void)g_strlcpy(rule.to, to, sizeof(rule.to));
		g_array_append_val(r->rules, rule);
	}
	return (find_rule(r, from, to));
}

static struct sockaddr_in
parse_addr(const char *addr)
{
	const char *colon = strchr(addr, ':');
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char *ip = g_strndup(addr, (gsize)(colon - addr));

	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		g_error("relay: invalid address %s", addr);
	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	g_free(ip);
	return (sin);
}

static void
set_options(int fd)
{
	int one = 1;

	(void)fcntl(fd, F_SETFD, FD_CLOEXEC);
	(void)fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/* ---- connections -------------------------------------------------------- */

static void
conn_free(gpointer data)
{
	struct conn *c = data;
	int i;

	for (i = 0; i < SIDES; i++) {
		if (c->fd[i] >= 0)
			(void)close(c->fd[i]);
	}
	g_free(c);
}

/*
 * Connects to the target.  Returns false when the connection fails.
 */
static bool
conn_open(struct conn *c)
{
	struct sockaddr_in sin = parse_addr(c->listener->target);

	c->fd[SERVER] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(
		c->fd[SERVER], (const struct sockaddr *)&sin, sizeof(sin)) != 0)
		return (false);
	set_options(c->fd[SERVER]);
	return (true);
}

static void
accept_conn(struct relay *r, struct listener *l)
{
	int fd = accept(l->fd, NULL, NULL);
	struct conn *c;

	if (fd < 0)
		return;
	set_options(fd);
	c = g_new0(struct conn, 1);
	c->listener = l;
	c->fd[CLIENT] = fd;
	c->fd[SERVER] = -1;
	(void)g_strlcpy(c->from, l->from, sizeof(c->from));
	if (c->from[0] != '\0' && !conn_open(c))
		conn_free(c);
	else
		g_ptr_array_add(r->conns, c);
}

/*
 * Takes the client's name from its first message, when that is complete, and
 * connects to the target.  Returns false when the connection is to be closed.
 */
static bool
identify(struct conn *c)
{
	const struct flow *f = &c->flow[CLIENT];
	struct mlk_reader *reader = mlk_reader_create();
	struct mlk_msg msg = { 0 };
	const uint8_t *record;
	struct mlk_error err;
	size_t len;
	bool ok = true;

	if (mlk_reader_feed(reader, f->data, f->len, &err) == 0 &&
	    mlk_reader_next(reader, &record, &len)) {
		ok = mlk_wire_decode(record, len, &msg, &err) == 0;
		if (ok && msg.type == MLK_MSG_HELLO) {
			(void)g_strlcpy(
			    c->from, msg.u.hello.id, sizeof(c->from));
		} else if (ok && msg.type == MLK_MSG_PEER_HELLO) {
			(void)g_strlcpy(
			    c->from, msg.u.peer_hello.self.id, sizeof(c->from));
		} else if (ok && msg.type == MLK_MSG_ATTACH) {
			(void)g_strlcpy(
			    c->from, msg.u.attach.id, sizeof(c->from));
		}
		if (ok)
			mlk_msg_clear(&msg);
		ok = ok && c->from[0] != '\0' && conn_open(c);
	}
	mlk_reader_destroy(reader);
	return (ok);
}

/*
 * Returns the rule for the data that a side sends, or NULL.
 */
static const struct rule *
rule_for_side(struct relay *r, const struct conn *c, int side)
{
	const char *to = c->listener->to;

	if (c->from[0] == '\0')
		return (NULL);
	return (side == CLIENT ? find_rule(r, c->from, to) :
				 find_rule(r, to, c->from));
}

static bool
is_cut(struct relay *r, const struct conn *c, int side)
{
	const struct rule *rule = rule_for_side(r, c, side);

	return (c->silent || (rule != NULL && rule->cut));
}

static bool
is_broken(struct relay *r, const struct conn *c)
{
	const struct rule *rule;

	rule =
	    c->from[0] == '\0' ? NULL : find_rule(r, c->from, c->listener->to);
	return (rule != NULL && rule->broken);
}

/*
 * Writes the data that was read from a side to the other side, and forwards the
 * end of the stream.
 */
static void
flow_write(struct conn *c, int side)
{
	struct flow *f = &c->flow[side];
	int fd = c->fd[1 - side];
	ssize_t n;

	if (g_get_monotonic_time() < f->due)
		return;
	while (f->sent < f->len && !f->write_failed) {
		n = send(fd, f->data + f->sent, f->len - f->sent, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n < 0)
			f->write_failed = true;
		else
			f->sent += (size_t)n;
	}
	f->len = 0;
	f->sent = 0;
	if (f->eof && !f->eof_forwarded) {
		f->eof_forwarded = true;
		(void)shutdown(fd, SHUT_WR);
	}
}

static void
flow_read(struct relay *r, struct conn *c, int side)
{
	const struct rule *rule = rule_for_side(r, c, side);
	struct flow *f = &c->flow[side];
	ssize_t n;

	f->due = 0;
	if (rule != NULL && rule->delay_ms > 0)
		f->due = g_get_monotonic_time() +
		    rule->delay_ms * G_TIME_SPAN_MILLISECOND;
	n = recv(c->fd[side], f->data + f->len, sizeof(f->data) - f->len, 0);
	if (n > 0)
		f->len += (size_t)n;
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		f->eof = true;
}

/*
 * Relays the data of both directions, unless they are cut.  Returns false when
 * the connection is to be closed.
 */
static bool
conn_service(struct relay *r, struct conn *c, const short revents[SIDES])
{
	int side;

	if (is_broken(r, c))
		return (false);
	if (c->fd[SERVER] < 0) {
		if (revents[CLIENT] != 0)
			flow_read(r, c, CLIENT);
		if (c->flow[CLIENT].eof || !identify(c))
			return (false);
		if (c->fd[SERVER] >= 0)
			get_rule(r, c->from, c->listener->to)->opened++;
		return (!is_broken(r, c));
	}
	for (side = 0; side < SIDES; side++) {
		if (is_cut(r, c, side))
			continue;
		if (revents[side] != 0 && !c->flow[side].eof &&
		    c->flow[side].len == 0)
			flow_read(r, c, side);
		flow_write(c, side);
	}
	return (
	    !c->flow[CLIENT].eof_forwarded || !c->flow[SERVER].eof_forwarded);
}

/* ---- the thread --------------------------------------------------------- */

static void
add_poll(struct relay *r, int fd, short events)
{
	struct pollfd p = { .fd = events == 0 ? -1 : fd, .events = events };

	g_array_append_val(r->polls, p);
}

/*
 * Fills r->polls: the listeners, then both sides of each connection.  A side
 * that is not to be read has no descriptor there, since poll(2) would report
 * its end at once each time.
 */
static void
list_polls(struct relay *r)
{
	const struct listener *l;
	struct conn *c;
	short events;
	guint i;
	int side;

	g_array_set_size(r->polls, 0);
	for (i = 0; i < r->listeners->len; i++) {
		l = g_ptr_array_index(r->listeners, i);
		add_poll(r, l->fd, POLLIN);
	}
	for (i = 0; i < r->conns->len; i++) {
		c = g_ptr_array_index(r->conns, i);
		for (side = 0; side < SIDES; side++) {
			events = 0;
			if (c->fd[side] >= 0 && !c->flow[side].eof &&
			    !is_cut(r, c, side) &&
			    (c->flow[side].len == 0 || c->fd[SERVER] < 0))
				events = POLLIN;
			add_poll(r, c->fd[side], events);
		}
	}
}

/*
 * Handles the results of poll(2).  Listeners and connections that were added
 * meanwhile are at the ends of their lists and have no result yet.
 */
static void
serve_polls(struct relay *r, guint nlisteners, guint nconns)
{
	const struct pollfd *p = &g_array_index(r->polls, struct pollfd, 0);
	short revents[SIDES];
	struct conn *c;
	guint i;

	for (i = nconns; i > 0; i--) {
		c = g_ptr_array_index(r->conns, i - 1);
		revents[CLIENT] = p[nlisteners + 2 * (i - 1)].revents;
		revents[SERVER] = p[nlisteners + 2 * (i - 1) + 1].revents;
		if (!conn_service(r, c, revents))
			(void)g_ptr_array_remove_index(r->conns, i - 1);
	}
	for (i = 0; i < nlisteners; i++) {
		if (p[i].revents != 0)
			accept_conn(r, g_ptr_array_index(r->listeners, i));
	}
}

static gpointer
run_relay(gpointer data)
{
	struct relay *r = data;
	guint nlisteners, nconns;

	g_mutex_lock(&r->lock);
	while (!r->stop) {
		list_polls(r);
		nlisteners = r->listeners->len;
		nconns = r->conns->len;
		g_mutex_unlock(&r->lock);
		(void)poll((struct pollfd *)(void *)r->polls->data,
		    r->polls->len, POLL_MS);
		g_mutex_lock(&r->lock);
		serve_polls(r, nlisteners, nconns);
	}
	g_mutex_unlock(&r->lock);
	return (NULL);
}

static void
listener_free(gpointer data)
{
	struct listener *l = data;

	(void)close(l->fd);
	g_free(l);
}

struct relay *
relay_create(void)
{
	struct relay *r = g_new0(struct relay, 1);

	g_mutex_init(&r->lock);
	r->listeners = g_ptr_array_new_with_free_func(listener_free);
	r->conns = g_ptr_array_new_with_free_func(conn_free);
	r->rules = g_array_new(FALSE, FALSE, sizeof(struct rule));
	r->polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	r->thread = g_thread_new("relay", run_relay, r);
	return (r);
}

void
relay_destroy(struct relay *r)
{
	if (r == NULL)
		return;
	g_mutex_lock(&r->lock);
	r->stop = true;
	g_mutex_unlock(&r->lock);
	(void)g_thread_join(r->thread);
	g_ptr_array_unref(r->conns);
	g_ptr_array_unref(r->listeners);
	(void)g_array_free(r->rules, TRUE);
	(void)g_array_free(r->polls, TRUE);
	g_mutex_clear(&r->lock);
	g_free(r);
}

static struct listener *
find_listener(struct relay *r, const char *from, const char *to)
{
	struct listener *l;
	guint i;

	for (i = 0; i < r->listeners->len; i++) {
		l = g_ptr_array_index(r->listeners, i);
		if (strcmp(l->from, from) == 0 && strcmp(l->to, to) == 0)
			return (l);
	}
	return (NULL);
}

static struct listener *
listener_create(
    const char *from, const char *to, const char *addr, const char *target)
{
	struct listener *l = g_new0(struct listener, 1);
	struct sockaddr_in sin = parse_addr(addr);
	socklen_t len = sizeof(sin);
	char ip[INET_ADDRSTRLEN];
	int one = 1;

	(void)g_strlcpy(l->from, from, sizeof(l->from));
	(void)g_strlcpy(l->to, to, sizeof(l->to));
	(void)g_strlcpy(l->target, target, sizeof(l->target));
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	(void)setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(l->fd, (const struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(l->fd, BACKLOG) != 0 ||
	    getsockname(l->fd, (struct sockaddr *)&sin, &len) != 0)
		g_error("relay: %s", g_strerror(errno));
	set_options(l->fd);
	(void)inet_ntop(AF_INET, &sin.sin_addr, ip, sizeof(ip));
	(void)snprintf(l->addr, sizeof(l->addr), "%s:%u", ip,
	    (unsigned int)ntohs(sin.sin_port));
	return (l);
}

const char *
relay_listen(struct relay *r, const char *from, const char *to,
    const char *addr, const char *target)
{
	struct listener *l;

	g_mutex_lock(&r->lock);
	l = find_listener(r, from, to);
	if (l == NULL) {
		l = listener_create(
		    from, to, addr == NULL ? "127.0.0.1:0" : addr, target);
		g_ptr_array_add(r->listeners, l);
	}
	g_mutex_unlock(&r->lock);
	return (l->addr);
}

/* ---- rules -------------------------------------------------------------- */

void
relay_cut(struct relay *r, const char *from, const char *to, bool cut)
{
	g_mutex_lock(&r->lock);
	get_rule(r, from, to)->cut = cut;
	g_mutex_unlock(&r->lock);
}

void
relay_cut_both(struct relay *r, const char *a, const char *b, bool cut)
{
	relay_cut(r, a, b, cut);
	relay_cut(r, b, a, cut);
}

void
relay_break(struct relay *r, const char *a, const char *b, bool broken)
{
	g_mutex_lock(&r->lock);
	get_rule(r, a, b)->broken = broken;
	get_rule(r, b, a)->broken = broken;
	g_mutex_unlock(&r->lock);
}

void
relay_delay(struct relay *r, const char *from, const char *to, uint32_t ms)
{
	g_mutex_lock(&r->lock);
	get_rule(r, from, to)->delay_ms = ms;
	g_mutex_unlock(&r->lock);
}

static bool
name_matches(const char *pattern, const char *name)
{
	return (pattern[0] == '\0' || strcmp(pattern, name) == 0);
}

void
relay_silence(struct relay *r, const char *a, const char *b)
{
	const char *to;
	struct conn *c;
	guint i;

	g_mutex_lock(&r->lock);
	for (i = 0; i < r->conns->len; i++) {
		c = g_ptr_array_index(r->conns, i);
		to = c->listener->to;
		if ((name_matches(a, c->from) && name_matches(b, to)) ||
		    (name_matches(b, c->from) && name_matches(a, to)))
			c->silent = true;
	}
	g_mutex_unlock(&r->lock);
}

void
relay_retarget(struct relay *r, const char *to, const char *addr)
{
	struct listener *l;

	g_mutex_lock(&r->lock);
	l = find_listener(r, "", to);
	if (l != NULL)
		(void)g_strlcpy(l->target, addr, sizeof(l->target));
	g_mutex_unlock(&r->lock);
}

uint32_t
relay_opened(struct relay *r, const char *from, const char *to)
{
	uint32_t opened;

	g_mutex_lock(&r->lock);
	opened = get_rule(r, from, to)->opened;
	g_mutex_unlock(&r->lock);
	return (opened);
}
