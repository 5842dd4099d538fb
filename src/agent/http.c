/*
 * The agent's HTTP server: metrics, health, readiness, and POST /leave, with
 * which an endpoint that is shutting down requests a planned stop (graceful
 * shutdown) of its agent.
 */
#include <string.h>

#include "program.h"

#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_NOT_FOUND 404
#define HTTP_METHOD_NOT_ALLOWED 405
#define HTTP_UNAVAILABLE 503

static void
reply(struct program *p, uint64_t request, int status, const char *type,
    const char *text)
{
	(void)mlk_loop_http_reply(
	    p->run.loop, request, status, type, 0, text, strlen(text));
}

static void
reply_metrics(struct program *p, uint64_t request)
{
	struct mlk_agent_gauges gauges;
	GString *text;

	mlk_agent_gauges(p->agent, &gauges);
	text = g_string_new(NULL);
	mlk_metrics_agent(text, mlk_agent_counters(p->agent), &gauges);
	mlk_metrics_links(text, mlk_loop_counters(p->run.loop));
	reply(p, request, HTTP_OK, MLK_METRICS_CONTENT_TYPE, text->str);
	(void)g_string_free(text, TRUE);
}

static void
reply_ready(struct program *p, uint64_t request)
{
	struct mlk_agent_gauges gauges;

	mlk_agent_gauges(p->agent, &gauges);
	if (gauges.ready)
		reply(p, request, HTTP_OK, "text/plain", "ready\n");
	else
		reply(
		    p, request, HTTP_UNAVAILABLE, "text/plain", "not ready\n");
}

/*
 * Routes and answers one HTTP request.
 */
void
http_request(struct program *p, const struct mlk_http_request *req)
{
	struct mlk_event stop = { .type = MLK_EV_STOP };
	bool leave;

	leave = strcmp(req->path, "/leave") == 0;
	if (strcmp(req->method, leave ? "POST" : "GET") != 0) {
		reply(p, req->request, HTTP_METHOD_NOT_ALLOWED, "text/plain",
		    "method not allowed\n");
	} else if (leave) {
		reply(
		    p, req->request, HTTP_ACCEPTED, "text/plain", "leaving\n");
		mlk_run_apply(&p->run, &stop);
	} else if (strcmp(req->path, "/metrics") == 0) {
		reply_metrics(p, req->request);
	} else if (strcmp(req->path, "/healthz") == 0) {
		reply(p, req->request, HTTP_OK, "text/plain", "ok\n");
	} else if (strcmp(req->path, "/readyz") == 0) {
		reply_ready(p, req->request);
	} else {
		reply(p, req->request, HTTP_NOT_FOUND, "text/plain",
		    "not found\n");
	}
}
