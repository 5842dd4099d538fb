/*
 * Calls to the endpoint: POST /run, one call per slot at a time.
 *
 * The call id and the lane (call queue) of a slot are both slot + 1 (0 means no
 * lane), so each slot has a keep-alive connection of its own.  Each START_TASK
 * effect is followed by exactly one TASK_DONE event.
 */
#include <stdio.h>
#include <string.h>

#include "program.h"

#define RUN_PATH "/run"
#define RUN_HEADERS_MAX 512
/*
 * Default timeout of an endpoint call, for a task without one of its own.
 * Without it a call that hangs would hold its slot for ever.
 */
#define RUN_TIMEOUT_MS 600000U
#define HTTP_STATUS_OK 200

/*
 * Returns whether a task kind may be sent as a header value.  Only printable
 * ASCII is allowed, so that a caller cannot inject header lines.
 */
static bool
header_value_valid(const char *text)
{
	for (; *text != '\0'; text++) {
		if (*text < ' ' || *text > '~')
			return (false);
	}
	return (true);
}

/*
 * Records the end of a call that gets no response event.  The reducer is not
 * reentrant, so endpoint_report_failed() reports the call once the current
 * effects have been carried out.
 */
static void
record_call_failure(struct program *p, uint32_t slot,
    enum mlk_task_status status, const char *reason)
{
	p->calls[slot].failed = true;
	p->calls[slot].end_status = status;
	p->calls[slot].reason = reason;
	p->nfailed++;
}

/*
 * Carries out a START_TASK effect: starts the endpoint call.
 */
void
endpoint_start(struct program *p, const struct mlk_effect *fx)
{
	struct mlk_http_call call = { 0 };
	char headers[RUN_HEADERS_MAX], key[MLK_KEY_HEX_LEN + 1];
	struct mlk_error err = { 0 };
	uint32_t slot;

	slot = fx->u.start.slot;
	p->calls[slot].started = mlk_clock_now(p->run.clock);
	if (!header_value_valid(fx->u.start.kind)) {
		record_call_failure(p, slot, MLK_TASK_FAILED,
		    "the task's kind is not printable ASCII");
		return;
	}
	mlk_key_format(fx->u.start.key, key);
	(void)snprintf(headers, sizeof(headers),
	    "X-Submission-Id: %s\r\nX-Task-Index: %u\r\nX-Task-Kind: %s\r\n"
	    "Content-Type: application/octet-stream\r\n",
	    key, fx->u.start.index, fx->u.start.kind);
	call.call = slot + 1;
	call.lane = slot + 1;
	call.method = "POST";
	call.addr = p->settings->endpoint_address;
	call.path = RUN_PATH;
	call.headers = headers;
	call.body = fx->u.start.payload.data;
	call.body_len = fx->u.start.payload.len;
	call.timeout_ms = fx->u.start.timeout_ms != 0 ? fx->u.start.timeout_ms :
							RUN_TIMEOUT_MS;
	if (mlk_loop_http_call(p->run.loop, &call, &err) != 0) {
		mlk_log(MLK_LOG_WARNING, "cannot start an endpoint call: %s",
		    err.msg);
		record_call_failure(p, slot, MLK_TASK_NOT_RUN, "");
	}
}

/*
 * Aborts the call of a slot.  Its task ends as UNKNOWN, since the endpoint may
 * have run it.
 */
void
endpoint_abort(struct program *p, uint32_t slot)
{
	mlk_loop_http_abort(p->run.loop, slot + 1);
	record_call_failure(
	    p, slot, MLK_TASK_UNKNOWN, "the endpoint call was aborted");
}

/*
 * Passes the end of a slot's task to the reducer; data is its result or error.
 */
static void
report_task_done(struct program *p, uint32_t slot, enum mlk_task_status status,
    const void *data, size_t len)
{
	struct mlk_event ev = { .type = MLK_EV_TASK_DONE };
	int64_t run_ns;

	run_ns = mlk_clock_now(p->run.clock) - p->calls[slot].started;
	ev.u.task_done.slot = slot;
	ev.u.task_done.status = status;
	ev.u.task_done.run_ms = (uint32_t)(run_ns / MLK_NSEC_PER_MSEC);
	ev.u.task_done.payload.data = (uint8_t *)data;
	ev.u.task_done.payload.len = (uint32_t)len;
	mlk_run_apply(&p->run, &ev);
}

/*
 * Reports the calls that ended without a response event.  Call it outside the
 * reducer.
 */
void
endpoint_report_failed(struct program *p)
{
	struct slot_call *call;
	uint32_t slot;

	for (slot = 0; p->nfailed > 0 && slot < p->settings->options.slots;
	     slot++) {
		call = &p->calls[slot];
		if (!call->failed)
			continue;
		call->failed = false;
		p->nfailed--;
		report_task_done(p, slot, call->end_status, call->reason,
		    strlen(call->reason));
	}
}

/*
 * Handles the response event of an endpoint call: reports the end of its task
 * to the reducer.
 */
void
endpoint_response(struct program *p, const struct mlk_net_event *nev)
{
	static const char lost[] = "connection to the endpoint was lost";
	static const char timeout[] = "the endpoint did not answer in time";
	enum mlk_task_status status;
	uint64_t call;
	uint32_t slot;

	call = nev->u.response.call;
	if (call == 0 || call > p->settings->options.slots)
		return;
	slot = (uint32_t)call - 1;
	switch (nev->u.response.result) {
	case MLK_HTTP_OK:
		status = nev->u.response.status == HTTP_STATUS_OK ?
		    MLK_TASK_DONE :
		    MLK_TASK_FAILED;
		report_task_done(p, slot, status, nev->u.response.body,
		    nev->u.response.body_len);
		break;
	case MLK_HTTP_NOT_SENT:
		report_task_done(p, slot, MLK_TASK_NOT_RUN, NULL, 0);
		break;
	case MLK_HTTP_LOST:
		report_task_done(
		    p, slot, MLK_TASK_UNKNOWN, lost, sizeof(lost) - 1);
		break;
	case MLK_HTTP_TIMEOUT:
		report_task_done(
		    p, slot, MLK_TASK_UNKNOWN, timeout, sizeof(timeout) - 1);
		break;
	}
}
