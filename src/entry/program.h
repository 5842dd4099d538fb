/*
 * Private header of the entry program, which connects the event loop (net.h)
 * with the entry's reducer (core.h).
 */
#ifndef MLK_ENTRY_PROGRAM_H
#define MLK_ENTRY_PROGRAM_H

#include <glib.h>

#include <monsoonlock/app.h>
#include <monsoonlock/core.h>
#include <monsoonlock/net.h>
#include <monsoonlock/run.h>

struct program {
	const struct mlk_entry_settings *settings;
	struct mlk_run run;
	struct mlk_entry *entry;
	GHashTable *requests; /* HTTP handle -> struct request */
};

/* http_api.c: routing of all requests, and the API for callers. */
void http_api_request(struct program *p, const struct mlk_http_request *req);
void http_api_request_closed(struct program *p, uint64_t request);
void http_api_reply_job(struct program *p, const struct mlk_effect *fx);
void http_api_reply_ids(struct program *p, const struct mlk_effect *fx);
void http_api_reply_error(struct program *p, const struct mlk_effect *fx);
void http_api_send_error(struct program *p, uint64_t request, int status,
    uint32_t retry_after_ms, const char *code, const char *field,
    const char *message);
/* Takes ownership of text, which may be NULL. */
void http_api_send_json(
    struct program *p, uint64_t request, int status, char *text);

/* http_admin.c: the API for operators. */
void http_admin_request(struct program *p, const struct mlk_http_request *req,
    const char *operator_name);
void http_admin_reply(struct program *p, const struct mlk_effect *fx);

#endif
