/*
 * Reads the monsoonlock_link_sent_* counters in the Prometheus text format.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fetch.h"
#include "scrape.h"

#define MSGS_METRIC "monsoonlock_link_sent_messages_total"
#define BYTES_METRIC "monsoonlock_link_sent_bytes_total"
#define PAGE_TIMEOUT_S 3

/*
 * Stores the value of a line `METRIC{type="TYPE"} VALUE` in values[TYPE].
 */
static void
parse_line(const char *line, const char *metric, uint64_t *values)
{
	char type[MLK_NAME_MAX];
	unsigned long long value;
	int i;

	if (!g_str_has_prefix(line, metric) ||
	    sscanf(line + strlen(metric), "{type=\"%63[^\"]\"} %llu", type,
		&value) != 2)
		return;
	for (i = MLK_MSG_HELLO; i < MLK_MSG_TYPES; i++) {
		if (g_ascii_strcasecmp(
			type, mlk_msg_name((enum mlk_msg_type)i)) == 0)
			values[i] = value;
	}
}

/*
 * Fills *out from the text of a metrics page.
 */
void
mlk_scrape_parse(const char *page, struct mlk_scrape *out)
{
	char **lines = g_strsplit(page, "\n", -1);
	char **line;

	memset(out, 0, sizeof(*out));
	out->ok = true;
	for (line = lines; *line != NULL; line++) {
		parse_line(*line, MSGS_METRIC, out->sent_msgs);
		parse_line(*line, BYTES_METRIC, out->sent_bytes);
	}
	g_strfreev(lines);
}

/*
 * Reads the metrics page at addr.  On failure returns an error code with
 * out->ok false.
 */
int
mlk_scrape_read(const char *addr, struct mlk_scrape *out, struct mlk_error *err)
{
	GString *page = g_string_new(NULL);
	int status = 0;
	int error;

	memset(out, 0, sizeof(*out));
	error = mlk_fetch(
	    "GET", addr, "/metrics", NULL, PAGE_TIMEOUT_S, &status, page, err);
	if (error == 0 && status != 200)
		error = mlk_error_set(err, MLK_ERR_UNAVAILABLE,
		    "%s answered %d for /metrics", addr, status);
	if (error == 0)
		mlk_scrape_parse(page->str, out);
	(void)g_string_free(page, TRUE);
	return (error);
}

/*
 * Adds what was sent between two readings.  A counter that went down belongs to
 * a process that has restarted; its counters began at 0.
 */
void
mlk_scrape_add_difference(struct mlk_scrape *sum,
    const struct mlk_scrape *before, const struct mlk_scrape *after)
{
	uint64_t a, b;
	int i;

	for (i = 0; i < MLK_MSG_TYPES; i++) {
		b = before->sent_msgs[i];
		a = after->sent_msgs[i];
		sum->sent_msgs[i] += a >= b ? a - b : a;
		b = before->sent_bytes[i];
		a = after->sent_bytes[i];
		sum->sent_bytes[i] += a >= b ? a - b : a;
	}
}

/*
 * Returns whether a type is control traffic, which is sent even without tasks:
 * membership, ownership, configuration and heartbeats.
 */
bool
mlk_scrape_is_control(enum mlk_msg_type type)
{
	switch (type) {
	case MLK_MSG_HELLO:
	case MLK_MSG_WELCOME:
	case MLK_MSG_FENCE:
	case MLK_MSG_FENCE_REPLY:
	case MLK_MSG_REREGISTER:
	case MLK_MSG_CONFIG:
	case MLK_MSG_HEARTBEAT:
	case MLK_MSG_PEER_HELLO:
	case MLK_MSG_PEERS:
	case MLK_MSG_LEAVE:
		return (true);
	default:
		return (false);
	}
}
