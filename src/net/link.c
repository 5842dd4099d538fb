/*
 * Links: TCP connections that carry messages both ways.  Outgoing records are
 * appended to one buffer, so that all messages of a loop iteration leave in one
 * write.
 */
#include <string.h>

#include "loop.h"

#define QUEUE_MAX (64U * 1024 * 1024) /* bytes; above it the link is closed */
#define QUEUE_KEEP_MAX (256U * 1024) /* a larger buffer is freed when empty */
/*
 * A connect is aborted after this time.  The kernel repeats an unanswered SYN
 * only after 1 s; a peer that starts in the meantime is reached sooner by a new
 * connect.
 */
#define CONNECT_TIMEOUT_US (400 * LWS_US_PER_MS)
#define CLOSE_FLUSH_S 2 /* a closed link may write its queue for this long */

struct mlk_link {
	struct mlk_loop *loop;
	struct lws *wsi;
	uint32_t handle; /* 0 until it is up */
	uint32_t connect; /* 0: accepted */
	char addr[MLK_ADDR_MAX];
	struct mlk_reader *reader;
	GByteArray *queue; /* outgoing records */
	size_t sent; /* bytes of queue already written */
	size_t queue_peak; /* largest length since queue was last empty */
	lws_sorted_usec_list_t connect_timer;
	bool starting; /* inside lws_client_connect_via_info() */
	bool closing; /* closed by this side; no more messages */
	bool dead; /* lost its socket while `starting` */
};

static struct mlk_link *
link_create(struct mlk_loop *loop)
{
	struct mlk_link *link;

	link = g_new0(struct mlk_link, 1);
	link->loop = loop;
	link->reader = mlk_reader_create();
	if (link->reader == NULL)
		g_error("out of memory");
	link->queue = g_byte_array_new();
	return (link);
}

static void
link_free(struct mlk_link *link)
{
	lws_sul_schedule(link->loop->context, 0, &link->connect_timer, NULL,
	    LWS_SET_TIMER_USEC_CANCEL);
	mlk_reader_destroy(link->reader);
	g_byte_array_free(link->queue, TRUE);
	g_free(link);
}

static void
emit_link(struct mlk_link *link, enum mlk_net_event_type type, uint32_t handle)
{
	struct mlk_net_event ev = { .type = type };

	ev.u.link.link = handle;
	ev.u.link.connect = link->connect;
	mlk_net_emit(link->loop, &ev);
}

/*
 * Reports the end of a link or a failed connect, and frees the link.
 */
static void
link_down(struct mlk_link *link)
{
	uint32_t handle = link->handle;

	if (handle != 0)
		mlk_table_remove(&link->loop->links, handle);
	emit_link(link, MLK_NET_LINK_DOWN, handle);
	link_free(link);
}

/*
 * Handles the loss of the socket.  Inside lws_client_connect_via_info() the
 * link is only marked, and start_connect() reports it.
 */
static void
link_lost(struct mlk_link *link)
{
	if (link->wsi != NULL)
		lws_set_opaque_user_data(link->wsi, NULL);
	link->wsi = NULL;
	if (link->starting)
		link->dead = true;
	else
		link_down(link);
}

/*
 * Gives the link its handle and reports it.  Returns -1 when the table is
 * full, which closes the socket.
 */
static int
link_up(struct mlk_link *link)
{
	if (link->handle != 0)
		return (0);
	link->handle = (uint32_t)mlk_table_add(&link->loop->links, link);
	if (link->handle == 0) {
		g_log_structured("monsoonlock", G_LOG_LEVEL_WARNING, "MESSAGE",
		    "the table of links is full");
		return (-1);
	}
	emit_link(link, MLK_NET_LINK_UP, link->handle);
	return (0);
}

/*
 * Decodes one record and passes it to the program.  Returns -1 when it is
 * malformed.
 */
static int
deliver(struct mlk_link *link, const uint8_t *data, size_t len)
{
	struct mlk_loop *loop = link->loop;
	struct mlk_net_event ev = { .type = MLK_NET_MSG };
	struct mlk_error err;
	struct mlk_msg msg;

	if (mlk_wire_decode(data, len, &msg, &err) != 0) {
		g_log_structured("monsoonlock", G_LOG_LEVEL_WARNING, "MESSAGE",
		    "closing a link after a malformed message: %s", err.msg);
		return (-1);
	}
	loop->counters.received_msgs[msg.type]++;
	loop->counters.received_bytes[msg.type] += len;
	ev.u.msg.link = link->handle;
	ev.u.msg.msg = &msg;
	mlk_net_emit(loop, &ev);
	mlk_msg_clear(&msg);
	return (0);
}

static int
receive(struct mlk_link *link, const uint8_t *data, size_t len)
{
	struct mlk_error err;
	const uint8_t *record;
	size_t record_len;

	if (link->closing)
		return (0);
	if (mlk_reader_feed(link->reader, data, len, &err) != 0) {
		g_log_structured("monsoonlock", G_LOG_LEVEL_WARNING, "MESSAGE",
		    "closing a link: %s", err.msg);
		return (-1);
	}
	while (!link->closing &&
	    mlk_reader_next(link->reader, &record, &record_len)) {
		if (deliver(link, record, record_len) != 0)
			return (-1);
	}
	return (0);
}

static void
queue_reset(struct mlk_link *link)
{
	link->sent = 0;
	if (link->queue_peak > QUEUE_KEEP_MAX) {
		g_byte_array_free(link->queue, TRUE);
		link->queue = g_byte_array_new();
	} else {
		(void)g_byte_array_set_size(link->queue, 0);
	}
	link->queue_peak = 0;
}

/*
 * Writes as much of the queue as the socket takes.  Returns -1 when the link
 * is to be closed.
 */
static int
write_queue(struct mlk_link *link)
{
	size_t left;

	while (link->sent < link->queue->len) {
		if (lws_send_pipe_choked(link->wsi)) {
			(void)lws_callback_on_writable(link->wsi);
			return (0);
		}
		left = link->queue->len - link->sent;
		if (left > MLK_NET_WRITE_MAX)
			left = MLK_NET_WRITE_MAX;
		if (lws_write(link->wsi, link->queue->data + link->sent, left,
			LWS_WRITE_RAW) < (int)left)
			return (-1);
		link->sent += left;
	}
	queue_reset(link);
	if (!link->closing)
		return (0);
	if (!lws_partial_buffered(link->wsi))
		return (-1);
	(void)lws_callback_on_writable(link->wsi);
	return (0);
}

/*
 * Callback of the protocol "mlk-link".  RAW_ADOPT is ignored, since it arrives
 * before an accepted link has its user data.
 */
int
mlk_net_link_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len)
{
	struct mlk_link *link;

	(void)user;
	link = wsi == NULL ? NULL : lws_get_opaque_user_data(wsi);
	if (link == NULL)
		return (0);
	switch (reason) {
	case LWS_CALLBACK_RAW_CONNECTED:
		link->wsi = wsi;
		mlk_net_nodelay(lws_get_socket_fd(wsi));
		return (link_up(link));
	case LWS_CALLBACK_RAW_RX:
		return (receive(link, in, len));
	case LWS_CALLBACK_RAW_WRITEABLE:
		return (link->wsi == NULL ? 0 : write_queue(link));
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_RAW_CLOSE:
	case LWS_CALLBACK_WSI_DESTROY:
		link->wsi = wsi;
		link_lost(link);
		return (0);
	default:
		return (0);
	}
}

/*
 * Creates a link for an accepted socket and takes ownership of the socket.
 */
void
mlk_net_link_accept(struct mlk_loop *loop, int fd)
{
	lws_sock_file_fd_type desc;
	struct mlk_link *link;
	struct lws *wsi;

	desc.sockfd = fd;
	wsi = lws_adopt_descriptor_vhost(
	    loop->link_vhost, LWS_ADOPT_SOCKET, desc, "mlk-link", NULL);
	if (wsi == NULL)
		return;
	link = link_create(loop);
	link->wsi = wsi;
	lws_set_opaque_user_data(wsi, link);
	if (link_up(link) != 0)
		lws_set_timeout(
		    wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

/*
 * Queues a connect to "ip:port", which starts after the current iteration of
 * the loop.  `connect` is an id chosen by the caller, not 0.
 */
void
mlk_loop_connect(struct mlk_loop *loop, uint32_t connect, const char *addr)
{
	struct mlk_link *link;

	link = link_create(loop);
	link->connect = connect;
	(void)g_strlcpy(link->addr, addr, sizeof(link->addr));
	g_queue_push_tail(&loop->connects, link);
}

/*
 * Aborts a connect that was not established in time.
 */
static void
on_connect_timeout(lws_sorted_usec_list_t *sul)
{
	struct mlk_link *link;

	link = lws_container_of(sul, struct mlk_link, connect_timer);
	if (link->handle == 0 && link->wsi != NULL)
		lws_set_timeout(
		    link->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static void
start_connect(struct mlk_link *link)
{
	struct lws_client_connect_info info;
	struct mlk_address address;
	struct mlk_error err;
	struct lws *wsi;

	if (mlk_net_address_parse(link->addr, &address, &err) != 0) {
		link_down(link);
		return;
	}
	memset(&info, 0, sizeof(info));
	info.context = link->loop->context;
	info.vhost = link->loop->link_vhost;
	info.address = address.host;
	info.port = address.port;
	info.host = address.host;
	info.path = "/";
	info.method = "RAW";
	info.protocol = "mlk-link";
	info.local_protocol_name = "mlk-link";
	info.opaque_user_data = link;
	link->starting = true;
	wsi = lws_client_connect_via_info(&info);
	link->starting = false;
	if (!link->dead && link->wsi == NULL)
		link->wsi = wsi;
	if (wsi == NULL || link->dead)
		link_down(link);
	else if (link->handle == 0)
		lws_sul_schedule(link->loop->context, 0, &link->connect_timer,
		    on_connect_timeout, CONNECT_TIMEOUT_US);
}

/*
 * Starts the queued connects.  Returns whether there were any.
 */
bool
mlk_net_links_start(struct mlk_loop *loop)
{
	struct mlk_link *link;
	bool any = false;

	while ((link = g_queue_pop_head(&loop->connects)) != NULL) {
		start_connect(link);
		any = true;
	}
	return (any);
}

/*
 * Frees the connects that were never started.
 */
void
mlk_net_links_free(struct mlk_loop *loop)
{
	struct mlk_link *link;

	while ((link = g_queue_pop_head(&loop->connects)) != NULL)
		link_free(link);
}

/*
 * Appends an encoded record to the send queue.  Returns MLK_ERR_UNAVAILABLE and
 * closes the link when the queue is full.
 */
static int
enqueue(struct mlk_link *link, const struct mlk_blob *record)
{
	size_t waiting = link->queue->len - link->sent;

	if (waiting + record->len > QUEUE_MAX) {
		g_log_structured("monsoonlock", G_LOG_LEVEL_WARNING, "MESSAGE",
		    "closing a link whose send queue is full");
		link->closing = true;
		lws_set_timeout(
		    link->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
		return (MLK_ERR_UNAVAILABLE);
	}
	if (link->sent > waiting) {
		(void)g_byte_array_remove_range(
		    link->queue, 0, (guint)link->sent);
		link->sent = 0;
	}
	(void)g_byte_array_append(link->queue, record->data, record->len);
	if (link->queue->len > link->queue_peak)
		link->queue_peak = link->queue->len;
	return (0);
}

/*
 * Queues a message; it is written in the next iteration of the loop.  Returns
 * 0, MLK_ERR_NOT_FOUND when the link is gone, MLK_ERR_UNAVAILABLE when its
 * queue is full, or the error of mlk_wire_encode().
 */
int
mlk_loop_send(struct mlk_loop *loop, uint32_t handle, const struct mlk_msg *msg)
{
	struct mlk_blob record;
	struct mlk_error err;
	struct mlk_link *link;
	int code;

	link = mlk_table_get(&loop->links, handle);
	if (link == NULL || link->closing)
		return (MLK_ERR_NOT_FOUND);
	code = mlk_wire_encode(msg, ++loop->xid, &record, &err);
	if (code != 0) {
		g_log_structured("monsoonlock", G_LOG_LEVEL_WARNING, "MESSAGE",
		    "cannot send a message: %s", err.msg);
		return (code);
	}
	code = enqueue(link, &record);
	if (code == 0) {
		loop->counters.sent_msgs[msg->type]++;
		loop->counters.sent_bytes[msg->type] += record.len;
		(void)lws_callback_on_writable(link->wsi);
	}
	mlk_blob_clear(&record);
	return (code);
}

/*
 * Closes a link after its queued messages are written.  Messages can no longer
 * be sent on it; LINK_DOWN follows.
 */
void
mlk_loop_close_link(struct mlk_loop *loop, uint32_t handle)
{
	struct mlk_link *link;

	link = mlk_table_get(&loop->links, handle);
	if (link == NULL || link->closing)
		return;
	link->closing = true;
	lws_set_timeout(link->wsi, PENDING_TIMEOUT_USER_OK, CLOSE_FLUSH_S);
	(void)lws_callback_on_writable(link->wsi);
}
