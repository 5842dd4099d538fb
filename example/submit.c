/*
 * Example of a caller: submits one job of three tasks and prints the answer.
 *
 * usage: submit ADDRESS ID
 *
 * A second run with the same id prints the same answer and starts no task.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/net.h>

#define ANSWER_TIMEOUT_MS 10000

struct submit {
	struct mlk_loop *loop;
	int status;
};

static void
handle_event(void *arg, const struct mlk_net_event *ev)
{
	struct submit *submit = arg;

	if (ev->type == MLK_NET_STOP)
		mlk_loop_stop(submit->loop);
	if (ev->type != MLK_NET_HTTP_RESPONSE)
		return;
	if (ev->u.response.result == MLK_HTTP_OK) {
		(void)printf("%d %.*s\n", ev->u.response.status,
		    (int)ev->u.response.body_len,
		    (const char *)ev->u.response.body);
		submit->status = 0;
	} else {
		(void)fprintf(
		    stderr, "no answer; submit again under the same id\n");
	}
	mlk_loop_stop(submit->loop);
}

static int
send_job(struct submit *submit, const char *addr, const char *id)
{
	struct mlk_http_call call = { 0 };
	struct mlk_error err;
	char body[512];

	(void)snprintf(body, sizeof(body),
	    "{\"id\":\"%.100s\",\"team\":\"counter\",\"deadline_ms\":5000,"
	    "\"tasks\":["
	    "{\"kind\":\"lookup\",\"payload\":\"ms=80\"},"
	    "{\"kind\":\"lookup\",\"payload\":\"ms=120\"},"
	    "{\"kind\":\"label\",\"payload\":\"ms=60\"}]}",
	    id);
	call.method = "POST";
	call.addr = addr;
	call.path = "/v1/jobs";
	call.headers = "Content-Type: application/json\r\n";
	call.body = body;
	call.body_len = strlen(body);
	call.timeout_ms = ANSWER_TIMEOUT_MS;
	if (mlk_loop_http_call(submit->loop, &call, &err) != 0) {
		(void)fprintf(stderr, "%s\n", err.msg);
		return (1);
	}
	(void)mlk_loop_run(submit->loop);
	return (submit->status);
}

int
main(int argc, char **argv)
{
	struct submit submit = { .status = 1 };
	struct mlk_loop_options options = { 0 };
	struct mlk_error err;
	int status;

	if (argc != 3) {
		(void)fprintf(stderr, "usage: %s ADDRESS ID\n", argv[0]);
		return (2);
	}
	options.arg = &submit;
	options.handle = handle_event;
	options.clock = mlk_clock_system();
	options.tick_ms = MLK_TICK_MS;
	submit.loop = mlk_loop_create(&options, &err);
	if (submit.loop == NULL) {
		(void)fprintf(stderr, "%s\n", err.msg);
		return (1);
	}
	status = send_job(&submit, argv[1], argv[2]);
	mlk_loop_destroy(submit.loop);
	return (status);
}
