/*
 * GLib structured logging with a custom writer.  Each message is one line, as
 * text or as a JSON object, on stderr or on the descriptor that was passed to
 * mlk_log_output().  Tokens and payloads are never logged; effects have no
 * field for them.
 */
#define G_LOG_USE_STRUCTURED
#define G_LOG_DOMAIN "monsoonlock"

#include <inttypes.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include <monsoonlock/app.h>

#define LOG_TEXT_MAX 512 /* bytes; longer messages are truncated */
#define LOG_FIELDS 5
#define LOG_BURST_S 4 /* burst size, in seconds at the limited rate */

static enum mlk_log_level max_level = MLK_LOG_NOTICE;
static bool log_json;

/* Output descriptor and its token bucket; see mlk_log_output(). */
static struct {
	int fd;
	uint32_t rate; /* lines per second; 0: no limit */
	double allowance; /* lines in the bucket */
	int64_t refilled_us; /* monotonic time of the last refill */
	uint64_t left_out; /* lines dropped since the last one written */
} output = { .fd = STDERR_FILENO };

static const char *
level_name(enum mlk_log_level level)
{
	switch (level) {
	case MLK_LOG_ERROR:
		return ("error");
	case MLK_LOG_WARNING:
		return ("warning");
	case MLK_LOG_NOTICE:
		return ("notice");
	case MLK_LOG_INFO:
		return ("info");
	case MLK_LOG_DEBUG:
		return ("debug");
	}
	return ("error");
}

/*
 * Errors map to G_LOG_LEVEL_CRITICAL, because GLib aborts the process on
 * G_LOG_LEVEL_ERROR.
 */
static GLogLevelFlags
level_to_glib(enum mlk_log_level level)
{
	switch (level) {
	case MLK_LOG_ERROR:
		return (G_LOG_LEVEL_CRITICAL);
	case MLK_LOG_WARNING:
		return (G_LOG_LEVEL_WARNING);
	case MLK_LOG_NOTICE:
		return (G_LOG_LEVEL_MESSAGE);
	case MLK_LOG_INFO:
		return (G_LOG_LEVEL_INFO);
	case MLK_LOG_DEBUG:
		return (G_LOG_LEVEL_DEBUG);
	}
	return (G_LOG_LEVEL_CRITICAL);
}

static enum mlk_log_level
level_from_glib(GLogLevelFlags flags)
{
	if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return (MLK_LOG_ERROR);
	if (flags & G_LOG_LEVEL_WARNING)
		return (MLK_LOG_WARNING);
	if (flags & G_LOG_LEVEL_MESSAGE)
		return (MLK_LOG_NOTICE);
	return (flags & G_LOG_LEVEL_INFO ? MLK_LOG_INFO : MLK_LOG_DEBUG);
}

static void
format_time(int64_t wall_ms, char out[40])
{
	struct tm tm;
	time_t seconds;
	char base[24];

	seconds = (time_t)(wall_ms / 1000);
	(void)gmtime_r(&seconds, &tm);
	(void)strftime(base, sizeof(base), "%Y-%m-%dT%H:%M:%S", &tm);
	(void)snprintf(out, 40, "%s.%03dZ", base, (int)(wall_ms % 1000));
}

/*
 * Appends " name=value" to a text line.
 */
static void
append_text_field(GString *line, const char *name, const char *value)
{
	if (value[0] != '\0')
		g_string_append_printf(line, " %s=%s", name, value);
}

/*
 * Sets a member of a JSON line.  mlk_log_format() has made sure that the
 * message is valid UTF-8; the other values are not checked.
 */
static void
set_json_field(json_t *line, const char *name, const char *value)
{
	if (value[0] != '\0')
		(void)json_object_set_new(
		    line, name, json_stringn_nocheck(value, strlen(value)));
}

/* The fields of a line in the order in which they are written. */
static const struct {
	const char *name;
	size_t offset;
} line_fields[] = {
	{ "request", offsetof(struct mlk_log_line, request) },
	{ "job", offsetof(struct mlk_log_line, job) },
	{ "submission", offsetof(struct mlk_log_line, submission) },
	{ "worker", offsetof(struct mlk_log_line, worker) },
	{ "epoch", offsetof(struct mlk_log_line, epoch) },
	{ "left_out", offsetof(struct mlk_log_line, left_out) },
};

#define LINE_FIELDS (sizeof(line_fields) / sizeof(line_fields[0]))

static const char *
line_field(const struct mlk_log_line *line, size_t i)
{
	const char *value;

	memcpy(
	    &value, (const char *)line + line_fields[i].offset, sizeof(value));
	return (value == NULL ? "" : value);
}

static char *
format_json(const struct mlk_log_line *line, const char *when, const char *text)
{
	json_t *object;
	char *out;
	size_t i;

	object = json_object();
	set_json_field(object, "time", when);
	set_json_field(object, "level", level_name(line->level));
	set_json_field(object, "message", text);
	for (i = 0; i < LINE_FIELDS; i++)
		set_json_field(
		    object, line_fields[i].name, line_field(line, i));
	out = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return (out);
}

static char *
format_text(const struct mlk_log_line *line, const char *when, gchar *text)
{
	GString *string;
	char *out;
	gchar *p;
	size_t i;

	for (p = text; *p != '\0'; p++)
		if (g_ascii_iscntrl(*p))
			*p = ' ';
	string = g_string_new(NULL);
	g_string_printf(
	    string, "%s %s: %s", when, level_name(line->level), text);
	for (i = 0; i < LINE_FIELDS; i++)
		append_text_field(
		    string, line_fields[i].name, line_field(line, i));
	out = strdup(string->str);
	(void)g_string_free(string, TRUE);
	return (out);
}

/*
 * Invalid UTF-8 in the message is replaced, since JSON requires UTF-8.  In text
 * form, control characters of the message become spaces, so that it cannot
 * forge a second line.  Returns a line to pass to free(), or NULL.
 */
char *
mlk_log_format(bool json, const struct mlk_log_line *line)
{
	char when[40], *out;
	gchar *text;

	format_time(line->wall_ms, when);
	text = g_utf8_make_valid(line->message, -1);
	out = json ? format_json(line, when, text) :
		     format_text(line, when, text);
	g_free(text);
	return (out);
}

/*
 * Returns the text of a field of a GLib message, or "" when it is absent.
 */
static const char *
glib_field_value(const GLogField *fields, gsize n, const char *key)
{
	gsize i;

	for (i = 0; i < n; i++)
		if (strcmp(fields[i].key, key) == 0 && fields[i].length == -1)
			return (fields[i].value);
	return ("");
}

void
mlk_log_output(int fd, uint32_t lines_per_s)
{
	output.fd = fd;
	output.rate = lines_per_s;
	output.allowance = (double)lines_per_s * LOG_BURST_S;
	output.refilled_us = g_get_monotonic_time();
}

/*
 * Refills the token bucket and takes one line from it.  Returns false when the
 * rate limit is exceeded.
 */
static bool
take_allowance(void)
{
	int64_t now_us;

	if (output.rate == 0)
		return (true);
	now_us = g_get_monotonic_time();
	output.allowance += (double)(now_us - output.refilled_us) /
	    G_USEC_PER_SEC * output.rate;
	output.allowance =
	    MIN(output.allowance, (double)output.rate * LOG_BURST_S);
	output.refilled_us = now_us;
	if (output.allowance < 1.0)
		return (false);
	output.allowance -= 1.0;
	return (true);
}

/*
 * Writes a line of at most PIPE_BUF bytes and truncates a longer one.  With a
 * rate limit, returns false instead of blocking: a pipe that poll(2) reports as
 * writable accepts PIPE_BUF bytes at once.
 */
static bool
write_whole(const char *text)
{
	struct pollfd pfd = { .fd = output.fd, .events = POLLOUT };
	char buf[PIPE_BUF];
	size_t len;

	len = strlen(text);
	if (len >= sizeof(buf))
		len = sizeof(buf) - 1;
	memcpy(buf, text, len);
	buf[len++] = '\n';
	if (output.rate != 0 &&
	    (poll(&pfd, 1, 0) <= 0 || (pfd.revents & POLLOUT) == 0))
		return (false);
	return (write(output.fd, buf, len) == (ssize_t)len);
}

/*
 * GLogWriterFunc: applies the level and the rate limit, and writes the line.
 */
static GLogWriterOutput
write_line(
    GLogLevelFlags flags, const GLogField *fields, gsize n, gpointer user)
{
	struct mlk_log_line line = { 0 };
	char left_out[24] = "";
	bool written;
	char *text;

	(void)user;
	line.level = level_from_glib(flags);
	if (line.level > max_level)
		return (G_LOG_WRITER_HANDLED);
	if (!take_allowance()) {
		output.left_out++;
		return (G_LOG_WRITER_HANDLED);
	}
	if (output.left_out > 0)
		(void)snprintf(
		    left_out, sizeof(left_out), "%" PRIu64, output.left_out);
	line.wall_ms = g_get_real_time() / 1000;
	line.message = glib_field_value(fields, n, "MESSAGE");
	line.request = glib_field_value(fields, n, "REQUEST");
	line.job = glib_field_value(fields, n, "JOB");
	line.submission = glib_field_value(fields, n, "SUBMISSION");
	line.worker = glib_field_value(fields, n, "WORKER");
	line.epoch = glib_field_value(fields, n, "EPOCH");
	line.left_out = left_out;
	text = mlk_log_format(log_json, &line);
	if (text == NULL)
		return (G_LOG_WRITER_UNHANDLED);
	written = write_whole(text);
	output.left_out = written ? 0 : output.left_out + 1;
	free(text);
	return (G_LOG_WRITER_HANDLED);
}

/*
 * Sets the level and the format; may be called again.  GLib accepts a writer
 * function only once per process.
 */
void
mlk_log_init(enum mlk_log_level level, bool json)
{
	static bool installed;

	max_level = level;
	log_json = json;
	if (installed)
		return;
	installed = true;
	g_log_set_writer_func(write_line, NULL, NULL);
}

static void
log_fields(enum mlk_log_level level, const char *message,
    const char *submission, const char *worker, const char *epoch)
{
	const GLogField fields[LOG_FIELDS] = {
		{ "MESSAGE", message, -1 },
		{ "GLIB_DOMAIN", G_LOG_DOMAIN, -1 },
		{ "SUBMISSION", submission, -1 },
		{ "WORKER", worker, -1 },
		{ "EPOCH", epoch, -1 },
	};

	if (level <= max_level)
		g_log_structured_array(
		    level_to_glib(level), fields, LOG_FIELDS);
}

void
mlk_log(enum mlk_log_level level, const char *fmt, ...)
{
	char text[LOG_TEXT_MAX];
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	log_fields(level, text, "", "", "");
}

/*
 * Logs an MLK_FX_LOG effect; other effects are ignored.
 */
void
mlk_log_effect(const struct mlk_effect *fx)
{
	char epoch[16] = "";

	if (fx->type != MLK_FX_LOG)
		return;
	if (fx->u.log.epoch != 0)
		(void)snprintf(
		    epoch, sizeof(epoch), "%" PRIu32, fx->u.log.epoch);
	log_fields(fx->u.log.level, fx->u.log.text, fx->u.log.submission,
	    fx->u.log.worker, epoch);
}

/*
 * Logs a decision of a reducer.
 */
void
mlk_log_decision(const struct mlk_decision *decision)
{
	const GLogField fields[LOG_FIELDS] = {
		{ "MESSAGE", decision->text, -1 },
		{ "GLIB_DOMAIN", G_LOG_DOMAIN, -1 },
		{ "REQUEST", decision->request, -1 },
		{ "JOB", decision->job, -1 },
		{ "WORKER", decision->worker, -1 },
	};

	if (decision->level <= max_level)
		g_log_structured_array(
		    level_to_glib(decision->level), fields, LOG_FIELDS);
}
