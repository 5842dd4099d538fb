/*
 * Private header of the agent program, which connects the event loop (net.h)
 * with the agent's reducer (core.h).
 */
#ifndef MLK_AGENT_PROGRAM_H
#define MLK_AGENT_PROGRAM_H

#include <monsoonlock/app.h>
#include <monsoonlock/core.h>
#include <monsoonlock/net.h>
#include <monsoonlock/run.h>

/* The endpoint call of a slot, at most one at a time. */
struct slot_call {
	int64_t started; /* monotonic ns */
	/* Ended without a response event; not yet reported to the reducer. */
	bool failed;
	enum mlk_task_status end_status; /* with `failed` */
	const char *reason; /* with `failed` */
};

struct program {
	const struct mlk_agent_settings *settings;
	struct mlk_run run;
	struct mlk_agent *agent;
	struct slot_call *calls; /* by slot */
	uint32_t nfailed; /* calls with `failed` set */
};

/* endpoint.c: calls to the endpoint. */
void endpoint_start(struct program *p, const struct mlk_effect *fx);
void endpoint_abort(struct program *p, uint32_t slot);
void endpoint_report_failed(struct program *p);
void endpoint_response(struct program *p, const struct mlk_net_event *nev);

/* http.c: the agent's HTTP server. */
void http_request(struct program *p, const struct mlk_http_request *req);

#endif
