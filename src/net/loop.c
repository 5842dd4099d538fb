/*
 * The event loop: libwebsockets' own poll loop, one timer descriptor and one
 * signal descriptor.  Everything runs on the thread of mlk_loop_run().
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "loop.h"

#define LINK_INDEX_BITS 12U /* 4,096 links; 32-bit handles */
#define LINK_GENERATION_BITS 20U
#define REQUEST_INDEX_BITS 20U
#define REQUEST_GENERATION_BITS 40U
/*
 * Limit in libwebsockets; link.c aborts a connect earlier.  It equals the
 * default of agent_lapse_ms, after which an agent without a link counts as
 * lost.
 */
#define LINK_CONNECT_TIMEOUT_S 3
#define DEFAULT_TICK_MS 10U
/* Interval of the check for clients that have disconnected. */
#define REAP_INTERVAL_NS (100 * MLK_NSEC_PER_MSEC)
#define NSEC_PER_USEC 1000

/*
 * Logs a line of libwebsockets, which ends in a newline.
 */
static void
emit_log(int level, const char *line)
{
	GLogLevelFlags glevel;
	size_t len;

	glevel = level == LLL_ERR ? G_LOG_LEVEL_CRITICAL : G_LOG_LEVEL_WARNING;
	len = strcspn(line, "\n");
	g_log_structured("monsoonlock", glevel, "MLK_SOURCE", "libwebsockets",
	    "MESSAGE", "%.*s", (int)len, line);
}

/*
 * Passes an event to the program's handler, unless the loop is being destroyed.
 */
void
mlk_net_emit(struct mlk_loop *loop, const struct mlk_net_event *ev)
{
	if (!loop->destroying)
		loop->options.handle(loop->options.arg, ev);
}

struct mlk_loop *
mlk_net_loop_of(struct lws *wsi)
{
	return (lws_context_user(lws_get_context(wsi)));
}

/*
 * Disables Nagle's algorithm, so that small messages are sent at once.
 */
void
mlk_net_nodelay(int fd)
{
	int on = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static int64_t
monotonic_ns(void)
{
	return (g_get_monotonic_time() * NSEC_PER_USEC);
}

/*
 * Arms the timer for the next tick or for an earlier wake-up.
 *
 * A timer descriptor is used because libwebsockets rounds the timeout of its
 * poll down to whole milliseconds: before each of its own timers it would poll
 * in a busy loop for the remaining fraction of a millisecond.
 */
static void
timer_arm(struct mlk_loop *loop)
{
	struct itimerspec spec;
	int64_t at = loop->tick_at;

	if (loop->wake_at != 0 && loop->wake_at < at)
		at = loop->wake_at;
	memset(&spec, 0, sizeof(spec));
	spec.it_value.tv_sec = (time_t)(at / MLK_NSEC_PER_SEC);
	spec.it_value.tv_nsec = (long)(at % MLK_NSEC_PER_SEC);
	(void)timerfd_settime(loop->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
on_timer(struct mlk_loop *loop)
{
	struct mlk_net_event ev = { .type = MLK_NET_TICK };
	uint64_t expirations;
	int64_t now;

	if (read(loop->timer_fd, &expirations, sizeof(expirations)) !=
	    (ssize_t)sizeof(expirations))
		return;
	now = monotonic_ns();
	loop->wake_at = 0;
	if (now >= loop->tick_at)
		loop->tick_at =
		    now + (int64_t)loop->options.tick_ms * MLK_NSEC_PER_MSEC;
	timer_arm(loop);
	if (now - loop->reaped_at >= REAP_INTERVAL_NS) {
		loop->reaped_at = now;
		mlk_net_http_reap(loop);
	}
	mlk_net_emit(loop, &ev);
}

/*
 * Requests an extra MLK_NET_TICK at a time of the monotonic clock, in ns.  Only
 * the earliest requested time is kept, and any tick clears it.
 */
void
mlk_loop_wake(struct mlk_loop *loop, int64_t at)
{
	if (at <= 0 || (loop->wake_at != 0 && loop->wake_at <= at))
		return;
	loop->wake_at = at;
	if (at < loop->tick_at)
		timer_arm(loop);
}

static void
on_signal(struct mlk_loop *loop)
{
	struct mlk_net_event ev = { 0 };
	struct signalfd_siginfo info;

	while (read(loop->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		ev.type =
		    info.ssi_signo == SIGHUP ? MLK_NET_RELOAD : MLK_NET_STOP;
		mlk_net_emit(loop, &ev);
	}
}

static int
signal_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	(void)user;
	(void)in;
	(void)len;
	if (reason == LWS_CALLBACK_RAW_RX_FILE)
		on_signal(mlk_net_loop_of(wsi));
	return (0);
}

static int
timer_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	(void)user;
	(void)in;
	(void)len;
	if (reason == LWS_CALLBACK_RAW_RX_FILE)
		on_timer(mlk_net_loop_of(wsi));
	return (0);
}

static const struct lws_protocols link_protocols[] = {
	{ .name = "mlk-link",
	    .callback = mlk_net_link_callback,
	    .tx_packet_size = MLK_NET_WRITE_MAX },
	{ .name = "mlk-listen", .callback = mlk_net_listen_callback },
	{ .name = "mlk-signal", .callback = signal_callback },
	{ .name = "mlk-timer", .callback = timer_callback },
	{ .name = NULL },
};

static void
handled_signals(sigset_t *set)
{
	(void)sigemptyset(set);
	(void)sigaddset(set, SIGTERM);
	(void)sigaddset(set, SIGINT);
	(void)sigaddset(set, SIGHUP);
}

/*
 * Blocks the signals that the loop handles, for a program that has yet to
 * create its loop.  Returns 0 or MLK_ERR_IO.
 */
int
mlk_loop_block_signals(void)
{
	sigset_t mask;

	handled_signals(&mask);
	return (sigprocmask(SIG_BLOCK, &mask, NULL) != 0 ? MLK_ERR_IO : 0);
}

/*
 * Routes SIGTERM, SIGINT and SIGHUP to a signal descriptor, and ignores
 * SIGPIPE, which a write to a closed connection would raise.
 */
static int
signals_init(struct mlk_loop *loop)
{
	lws_sock_file_fd_type fd;
	sigset_t mask;

	(void)signal(SIGPIPE, SIG_IGN);
	handled_signals(&mask);
	if (sigprocmask(SIG_BLOCK, &mask, &loop->old_mask) != 0)
		return (MLK_ERR_IO);
	loop->signal_fd = signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC);
	if (loop->signal_fd < 0)
		return (MLK_ERR_IO);
	fd.filefd = loop->signal_fd;
	if (lws_adopt_descriptor_vhost(loop->link_vhost,
		LWS_ADOPT_RAW_FILE_DESC, fd, "mlk-signal", NULL) == NULL)
		return (MLK_ERR_IO);
	return (0);
}

/*
 * Creates the timer and schedules the first tick.
 */
static int
timer_init(struct mlk_loop *loop)
{
	lws_sock_file_fd_type fd;

	loop->timer_fd =
	    timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (loop->timer_fd < 0)
		return (MLK_ERR_IO);
	fd.filefd = loop->timer_fd;
	if (lws_adopt_descriptor_vhost(loop->link_vhost,
		LWS_ADOPT_RAW_FILE_DESC, fd, "mlk-timer", NULL) == NULL)
		return (MLK_ERR_IO);
	loop->tick_at =
	    monotonic_ns() + (int64_t)loop->options.tick_ms * MLK_NSEC_PER_MSEC;
	timer_arm(loop);
	return (0);
}

static int
context_init(struct mlk_loop *loop)
{
	struct lws_context_creation_info info;

	lws_set_log_level(LLL_ERR | LLL_WARN, emit_log);
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.user = loop;
	info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
	    LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
	info.pt_serv_buf_size = MLK_NET_WRITE_MAX;
	info.gid = (gid_t)-1;
	info.uid = (uid_t)-1;
	loop->context = lws_create_context(&info);
	if (loop->context == NULL)
		return (MLK_ERR_IO);
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.protocols = link_protocols;
	info.vhost_name = "mlk-links";
	info.connect_timeout_secs = LINK_CONNECT_TIMEOUT_S;
	loop->link_vhost = lws_create_vhost(loop->context, &info);
	return (loop->link_vhost == NULL ? MLK_ERR_IO : 0);
}

static void
loop_init(struct mlk_loop *loop, const struct mlk_loop_options *options)
{
	loop->options = *options;
	if (loop->options.tick_ms == 0)
		loop->options.tick_ms = DEFAULT_TICK_MS;
	loop->signal_fd = -1;
	loop->timer_fd = -1;
	mlk_table_init(&loop->links, LINK_INDEX_BITS, LINK_GENERATION_BITS);
	mlk_table_init(
	    &loop->requests, REQUEST_INDEX_BITS, REQUEST_GENERATION_BITS);
	g_queue_init(&loop->connects);
	loop->listeners = g_ptr_array_new();
	loop->unanswered = g_ptr_array_new();
}

/*
 * Returns a loop, or NULL with *err set.  The strings in options must live as
 * long as the loop.  SIGTERM, SIGINT and SIGHUP are blocked until the loop is
 * destroyed.
 */
struct mlk_loop *
mlk_loop_create(const struct mlk_loop_options *options, struct mlk_error *err)
{
	struct mlk_loop *loop;

	loop = g_new0(struct mlk_loop, 1);
	loop_init(loop, options);
	if (context_init(loop) != 0 || signals_init(loop) != 0 ||
	    timer_init(loop) != 0) {
		(void)mlk_error_set(
		    err, MLK_ERR_IO, "cannot create the event loop");
		mlk_loop_destroy(loop);
		return (NULL);
	}
	if (mlk_net_calls_init(loop, err) != 0) {
		mlk_loop_destroy(loop);
		return (NULL);
	}
	return (loop);
}

/*
 * Closes every connection and frees the loop; no events are reported.
 */
void
mlk_loop_destroy(struct mlk_loop *loop)
{
	if (loop == NULL)
		return;
	loop->destroying = true;
	if (loop->context != NULL) {
		mlk_net_calls_free(loop);
		lws_context_destroy(loop->context);
		(void)sigprocmask(SIG_SETMASK, &loop->old_mask, NULL);
	}
	mlk_net_links_free(loop);
	mlk_table_free(&loop->links);
	mlk_table_free(&loop->requests);
	g_ptr_array_free(loop->listeners, TRUE);
	g_ptr_array_free(loop->unanswered, TRUE);
	g_free(loop);
}

/*
 * Starts queued connects and calls until none is left: one that fails at once
 * emits an event, and the handler may queue more in response.
 */
static void
start_queued(struct mlk_loop *loop)
{
	bool again;

	do {
		again = mlk_net_links_start(loop);
		again = mlk_net_calls_start(loop) || again;
	} while (again && !loop->stopping);
}

/*
 * Runs until mlk_loop_stop().  Returns 0, or MLK_ERR_IO when the poll loop
 * fails.
 */
int
mlk_loop_run(struct mlk_loop *loop)
{
	loop->stopping = false;
	start_queued(loop);
	while (!loop->stopping) {
		if (lws_service(loop->context, 0) < 0)
			return (MLK_ERR_IO);
		start_queued(loop);
	}
	return (0);
}

void
mlk_loop_stop(struct mlk_loop *loop)
{
	loop->stopping = true;
	lws_cancel_service(loop->context);
}

const struct mlk_link_counters *
mlk_loop_counters(const struct mlk_loop *loop)
{
	return (&loop->counters);
}
