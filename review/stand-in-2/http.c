/*
 * A small HTTP/1.1 server and client on one poll loop.
 */
#define _GNU_SOURCE /* accept4 */
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
#include <time.h>
#include <unistd.h>

#include "standin.h"

#define CONNS_MAX 2048
#define LINE_MAX_BYTES 512

enum conn_kind {
	CONN_FREE,
	CONN_LISTENER,
	CONN_SERVER,
	CONN_CALL,
};

struct buffer {
	char *data;
	size_t len, cap;
};

struct conn {
	enum conn_kind kind;
	int fd;
	int owner;
	uint32_t generation;
	bool waiting; /* SERVER: a request has no reply yet */
	bool spared; /* SERVER: its first request is not reset */
	bool silent; /* SERVER: it delivers nothing any more */
	struct buffer in, out;
	/* CALL */
	int64_t until;
	void (*done)(void *arg, const struct answer *answer);
	void *arg;
};

int http_reset_percent[OWNER_WORKER + WORKERS_MAX];
uint32_t http_resets;
static struct conn conns[CONNS_MAX];
static uint32_t last_generation;

int64_t
now_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return ((int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000);
}

static void
append(struct buffer *b, const void *data, size_t len)
{
	if (len == 0)
		return;
	if (b->len + len + 1 > b->cap) {
		b->cap = (b->len + len + 1) * 2;
		b->data = realloc(b->data, b->cap);
		if (b->data == NULL)
			abort();
	}
	memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

static void
consume(struct buffer *b, size_t len)
{
	memmove(b->data, b->data + len, b->len - len);
	b->len -= len;
	b->data[b->len] = '\0';
}

static struct conn *
conn_new(enum conn_kind kind, int fd, int owner)
{
	int i;

	for (i = 0; i < CONNS_MAX; i++) {
		if (conns[i].kind != CONN_FREE)
			continue;
		memset(&conns[i], 0, sizeof(conns[i]));
		conns[i].kind = kind;
		conns[i].fd = fd;
		conns[i].owner = owner;
		conns[i].generation = ++last_generation;
		return (&conns[i]);
	}
	abort();
}

static uint64_t
handle_of(const struct conn *c)
{
	return ((uint64_t)c->generation << 16 | (uint64_t)(c - conns));
}

static struct conn *
conn_get(uint64_t handle)
{
	size_t i = (size_t)(handle & 0xffff);

	if (i >= CONNS_MAX || conns[i].kind == CONN_FREE ||
	    conns[i].generation != (uint32_t)(handle >> 16))
		return (NULL);
	return (&conns[i]);
}

static void
conn_close(struct conn *c)
{
	(void)close(c->fd);
	free(c->in.data);
	free(c->out.data);
	c->kind = CONN_FREE;
}

static void
conn_reset(struct conn *c)
{
	struct linger linger = { 1, 0 };

	(void)setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	conn_close(c);
}

/*
 * Draws whether a connection to an owner is reset.
 */
static bool
unlucky(int owner)
{
	if (http_reset_percent[owner] == 0 ||
	    rand() % 100 >= http_reset_percent[owner])
		return (false);
	http_resets++;
	return (true);
}

static bool
address(const char *text, struct sockaddr_in *out)
{
	char host[ADDR_TEXT];
	char *colon;

	memset(out, 0, sizeof(*out));
	(void)snprintf(host, sizeof(host), "%s", text);
	colon = strrchr(host, ':');
	if (colon == NULL)
		return (false);
	*colon = '\0';
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return (inet_pton(AF_INET, host, &out->sin_addr) == 1);
}

static int
socket_new(void)
{
	int fd, on = 1;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		abort();
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return (fd);
}

bool
http_listen(const char *addr, int owner)
{
	struct sockaddr_in sin;
	int fd;

	if (!address(addr, &sin))
		return (false);
	fd = socket_new();
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, 128) != 0) {
		(void)close(fd);
		return (false);
	}
	(void)conn_new(CONN_LISTENER, fd, owner);
	return (true);
}

/*
 * Ends a call without telling its owner.
 */
void
http_abandon(uint64_t handle)
{
	struct conn *c = conn_get(handle);

	if (c != NULL && c->kind == CONN_CALL)
		conn_close(c);
}

/*
 * Closes all connections of an owner, as the end of its process does.
 */
void
http_close_owner(int owner)
{
	int i;

	for (i = 0; i < CONNS_MAX; i++) {
		if (conns[i].kind != CONN_FREE && conns[i].owner == owner)
			conn_close(&conns[i]);
	}
}

/*
 * Lets the open connections of an owner go silent for good, without a reset.
 * New ones work.
 */
void
http_silence(int owner)
{
	int i;

	for (i = 0; i < CONNS_MAX; i++) {
		if (conns[i].kind == CONN_SERVER && conns[i].owner == owner)
			conns[i].silent = true;
	}
}

static void
write_out(struct conn *c)
{
	ssize_t n;

	if (c->silent)
		return;
	while (c->out.len > 0) {
		n = send(c->fd, c->out.data, c->out.len, MSG_NOSIGNAL);
		if (n <= 0)
			return;
		consume(&c->out, (size_t)n);
	}
}

/*
 * Answers a request and releases the body; does nothing if the connection is
 * gone.
 */
void
http_reply(uint64_t handle, int status, json_t *body)
{
	struct conn *c = conn_get(handle);
	char head[LINE_MAX_BYTES];
	char *text;

	text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (c != NULL && c->waiting) {
		(void)snprintf(head, sizeof(head),
		    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    status, text == NULL ? 0 : strlen(text));
		c->waiting = false;
		append(&c->out, head, strlen(head));
		if (text != NULL)
			append(&c->out, text, strlen(text));
		write_out(c);
	}
	free(text);
}

/*
 * Makes a call on a connection of its own.
 */
uint64_t
http_call(const char *addr, int owner, const char *method, const char *path,
    const char *headers, const char *body, int timeout_ms,
    void (*done)(void *arg, const struct answer *answer), void *arg)
{
	struct sockaddr_in sin;
	char head[LINE_MAX_BYTES * 2];
	struct conn *c;
	int fd;

	fd = socket_new();
	if (!address(addr, &sin))
		abort();
	(void)connect(fd, (struct sockaddr *)&sin, sizeof(sin));
	c = conn_new(CONN_CALL, fd, owner);
	c->until = now_ms() + timeout_ms;
	c->done = done;
	c->arg = arg;
	(void)snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: queue.example\r\n%s"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    method, path, headers, body == NULL ? 0 : strlen(body));
	append(&c->out, head, strlen(head));
	if (body != NULL)
		append(&c->out, body, strlen(body));
	return (handle_of(c));
}

static void
call_done(struct conn *c, int status, const char *body, size_t len)
{
	struct answer answer = { status, body, len };
	void (*done)(void *, const struct answer *) = c->done;
	void *arg = c->arg;
	char *copy;

	copy = calloc(1, len + 1);
	if (copy == NULL)
		abort();
	if (len > 0)
		memcpy(copy, body, len);
	answer.body = copy;
	conn_close(c);
	if (done != NULL)
		done(arg, &answer);
	free(copy);
}

/*
 * Copies the value of a header.  Returns false when it is missing.
 */
static bool
header(const char *head, size_t len, const char *name, char *out, size_t size)
{
	const char *line = head, *end = head + len;
	size_t n = strlen(name), i;

	while (line != NULL && line < end) {
		if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
			line += n + 1;
			while (*line == ' ')
				line++;
			for (i = 0;
			     i + 1 < size && line[i] != '\r' && line[i] != '\0';
			     i++)
				out[i] = line[i];
			out[i] = '\0';
			return (true);
		}
		line = strstr(line, "\r\n");
		if (line != NULL)
			line += 2;
	}
	return (false);
}

/*
 * Returns the length of a complete message at the start of the buffer, or 0;
 * *head is that of its header.
 */
static size_t
message_len(const struct buffer *b, size_t *head)
{
	char value[32];
	const char *end;
	size_t body = 0;

	end = b->len == 0 ? NULL : strstr(b->data, "\r\n\r\n");
	if (end == NULL)
		return (0);
	*head = (size_t)(end - b->data) + 4;
	if (header(b->data, *head, "Content-Length", value, sizeof(value)))
		body = strtoul(value, NULL, 10);
	return (b->len < *head + body ? 0 : *head + body);
}

static void
serve(struct conn *c)
{
	struct request request = { 0 };
	size_t head, len;
	char *copy;

	if (c->waiting || c->silent)
		return;
	len = message_len(&c->in, &head);
	if (len == 0)
		return;
	if (!c->spared && unlucky(c->owner)) {
		conn_reset(c);
		return;
	}
	c->spared = false;
	copy = malloc(len + 1);
	if (copy == NULL)
		abort();
	memcpy(copy, c->in.data, len);
	copy[len] = '\0';
	consume(&c->in, len);
	if (sscanf(copy, "%7s %511s", request.method, request.path) == 2) {
		(void)header(copy, head, "X-Expect-Instance", request.expect,
		    sizeof(request.expect));
		request.handle = handle_of(c);
		request.owner = c->owner;
		request.body = copy + head;
		request.len = len - head;
		c->waiting = true;
		on_request(&request);
	}
	free(copy);
}

static void
answered(struct conn *c)
{
	size_t head, len;
	int status = 0;

	len = message_len(&c->in, &head);
	if (len == 0)
		return;
	(void)sscanf(c->in.data, "HTTP/1.%*c %d", &status);
	call_done(c, status, c->in.data + head, len - head);
}

static void
accept_all(struct conn *listener)
{
	int fd, on = 1, owner = listener->owner;
	struct conn *c;

	for (;;) {
		fd = accept4(
		    listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = conn_new(CONN_SERVER, fd, owner);
		c->spared = true;
		if (unlucky(owner))
			conn_reset(c);
	}
}

/*
 * Reads what has arrived.  Returns false when the peer has closed.
 */
static bool
read_in(struct conn *c)
{
	char data[16384];
	ssize_t n;

	for (;;) {
		n = recv(c->fd, data, sizeof(data), 0);
		if (n > 0)
			append(&c->in, data, (size_t)n);
		else
			return (
			    n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
	}
}

static void
service(struct conn *c)
{
	uint32_t generation = c->generation;
	bool open;

	if (c->kind == CONN_LISTENER) {
		accept_all(c);
		return;
	}
	write_out(c);
	open = read_in(c);
	if (c->kind == CONN_SERVER)
		serve(c);
	else if (c->kind == CONN_CALL)
		answered(c);
	if (open || c->kind == CONN_FREE || c->generation != generation)
		return;
	if (c->kind == CONN_CALL)
		call_done(c, 0, "", 0);
	else
		conn_close(c);
}

void
http_poll(int timeout_ms)
{
	static struct pollfd fds[CONNS_MAX];
	static uint32_t generations[CONNS_MAX];
	static int index[CONNS_MAX];
	int i, n = 0;

	for (i = 0; i < CONNS_MAX; i++) {
		if (conns[i].kind == CONN_FREE)
			continue;
		fds[n].fd = conns[i].fd;
		fds[n].events = POLLIN;
		if (conns[i].out.len > 0)
			fds[n].events |= POLLOUT;
		fds[n].revents = 0;
		generations[n] = conns[i].generation;
		index[n++] = i;
	}
	(void)poll(fds, (nfds_t)n, timeout_ms);
	for (i = 0; i < n; i++) {
		struct conn *c = &conns[index[i]];

		if (c->kind == CONN_FREE || c->generation != generations[i])
			continue;
		if (fds[i].revents != 0)
			service(c);
		else if (c->kind == CONN_CALL && now_ms() >= c->until)
			call_done(c, 0, "", 0);
	}
}
