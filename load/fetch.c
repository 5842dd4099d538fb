/*
 * A blocking HTTP request over GIO.  It does not use an event loop of net.h,
 * because that sets the signal handlers of the process.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gio/gio.h>

#include "fetch.h"

#define READ_CHUNK 16384
#define ANSWER_MAX (16U * 1024 * 1024) /* bytes, far above a metrics page */

/*
 * Returns the length of the whole answer once its headers are received and have
 * a Content-Length, otherwise 0.
 */
static size_t
answer_len(const GString *raw)
{
	static const char name[] = "content-length:";
	const char *end = strstr(raw->str, "\r\n\r\n");
	const char *line;

	if (end == NULL)
		return (0);
	for (line = raw->str; line != NULL && line < end;
	     line = strstr(line, "\r\n")) {
		line += strspn(line, "\r\n");
		if (g_ascii_strncasecmp(line, name, strlen(name)) == 0)
			return ((size_t)(end + strlen("\r\n\r\n") - raw->str) +
			    strtoul(line + strlen(name), NULL, 10));
	}
	return (0);
}

/*
 * Reads until the answer is complete, the peer closes the connection or
 * ANSWER_MAX is reached.
 */
static bool
read_answer(GInputStream *in, GString *raw, GError **gerr)
{
	char chunk[READ_CHUNK];
	size_t want;
	gssize n;

	while (raw->len < ANSWER_MAX) {
		n = g_input_stream_read(in, chunk, sizeof(chunk), NULL, gerr);
		if (n <= 0)
			return (n == 0);
		g_string_append_len(raw, chunk, n);
		want = answer_len(raw);
		if (want > 0 && raw->len >= want)
			return (true);
	}
	return (true);
}

static bool
send_and_receive(const char *request, const char *addr, uint32_t timeout_s,
    GString *raw, GError **gerr)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *conn;
	GIOStream *stream;
	bool ok;

	g_socket_client_set_timeout(client, timeout_s);
	g_socket_client_set_enable_proxy(client, FALSE);
	conn = g_socket_client_connect_to_host(client, addr, 0, NULL, gerr);
	g_object_unref(client);
	if (conn == NULL)
		return (false);
	stream = G_IO_STREAM(conn);
	ok = g_output_stream_write_all(g_io_stream_get_output_stream(stream),
	    request, strlen(request), NULL, NULL, gerr);
	if (ok)
		ok = read_answer(
		    g_io_stream_get_input_stream(stream), raw, gerr);
	(void)g_io_stream_close(stream, NULL, NULL);
	g_object_unref(conn);
	return (ok);
}

static int
split_answer(const GString *raw, int *status, GString *out)
{
	const char *body;

	if (sscanf(raw->str, "HTTP/1.%*d %d", status) != 1)
		return (MLK_ERR_PROTOCOL);
	body = strstr(raw->str, "\r\n\r\n");
	if (body == NULL)
		return (MLK_ERR_PROTOCOL);
	body += strlen("\r\n\r\n");
	if (out != NULL) {
		g_string_truncate(out, 0);
		g_string_append_len(
		    out, body, (gssize)(raw->len - (size_t)(body - raw->str)));
	}
	return (0);
}

int
mlk_fetch(const char *method, const char *addr, const char *path,
    const char *body, uint32_t timeout_s, int *status, GString *out,
    struct mlk_error *err)
{
	return (mlk_fetch_as(
	    NULL, method, addr, path, body, timeout_s, status, out, err));
}

/*
 * Sends one request to addr ("ip:port") and reads the whole answer; body and
 * out may be NULL.  Returns 0 with *status set, MLK_ERR_UNAVAILABLE when the
 * exchange failed or took longer than timeout_s seconds, or MLK_ERR_PROTOCOL.
 */
int
mlk_fetch_as(const char *token, const char *method, const char *addr,
    const char *path, const char *body, uint32_t timeout_s, int *status,
    GString *out, struct mlk_error *err)
{
	GString *raw = g_string_new(NULL);
	GError *gerr = NULL;
	char *request;
	int error;

	request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\n"
				  "Connection: close\r\n%s%s%s"
				  "Content-Length: %zu\r\n\r\n%s",
	    method, path, addr, token == NULL ? "" : "Authorization: Bearer ",
	    token == NULL ? "" : token, token == NULL ? "" : "\r\n",
	    body == NULL ? 0 : strlen(body), body == NULL ? "" : body);
	if (!send_and_receive(request, addr, timeout_s, raw, &gerr)) {
		error = mlk_error_set(err, MLK_ERR_UNAVAILABLE, "%s %s: %s",
		    addr, path, gerr->message);
		g_error_free(gerr);
	} else {
		error = split_answer(raw, status, out);
		if (error != 0)
			(void)mlk_error_set(err, error,
			    "%s %s: malformed HTTP answer", addr, path);
	}
	g_free(request);
	(void)g_string_free(raw, TRUE);
	return (error);
}
