/*
 * Transactions of the table service over the event loop.
 *
 * Each transaction is one POST.  It is kept until the response arrives, so that
 * every transaction gets exactly one answer.  A lost connection or a timeout
 * gives UNAVAILABLE (outcome unknown), since the write may have taken effect.
 * A transaction whose POST cannot be started gives UNAVAILABLE too; it is
 * queued in `failed`, since the reducer that requested it is still running and
 * is not reentrant.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/app.h>
#include <monsoonlock/platform.h>

#include "store_client.h"

#define STORE_TIMEOUT_MS 2000

struct mlk_store_client {
	struct mlk_loop *loop;
	char addr[MLK_ADDR_MAX];
	GHashTable *calls; /* call id -> struct mlk_store_op */
	GQueue failed; /* struct mlk_store_op */
	uint64_t next_call;
};

static void
op_free(gpointer data)
{
	mlk_store_op_clear(data);
	g_free(data);
}

struct mlk_store_client *
mlk_store_client_create(struct mlk_loop *loop, const char *addr)
{
	struct mlk_store_client *client;

	client = g_new0(struct mlk_store_client, 1);
	client->loop = loop;
	(void)snprintf(client->addr, sizeof(client->addr), "%s", addr);
	client->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, op_free);
	g_queue_init(&client->failed);
	client->next_call = MLK_STORE_CALL_BASE;
	return (client);
}

void
mlk_store_client_destroy(struct mlk_store_client *client)
{
	if (client == NULL)
		return;
	g_hash_table_destroy(client->calls);
	g_queue_clear_full(&client->failed, op_free);
	g_free(client);
}

/*
 * Starts a transaction.  Takes over the contents of *op and zeroes it.
 */
void
mlk_store_client_send(struct mlk_store_client *client, struct mlk_store_op *op)
{
	struct mlk_store_op *pending = g_new(struct mlk_store_op, 1);
	struct mlk_http_call call = { 0 };
	struct mlk_error err;
	char *body = NULL;
	int error;

	*pending = *op;
	memset(op, 0, sizeof(*op));
	error = mlk_platform_encode(pending, &body, &err);
	if (error == 0) {
		call.call = client->next_call++;
		call.method = "POST";
		call.addr = client->addr;
		call.path = MLK_PLATFORM_TXN_PATH;
		call.headers = "Content-Type: application/json\r\n";
		call.body = body;
		call.body_len = strlen(body);
		call.timeout_ms = STORE_TIMEOUT_MS;
		error = mlk_loop_http_call(client->loop, &call, &err);
	}
	free(body);
	if (error != 0) {
		mlk_log(MLK_LOG_ERROR, "%s", err.msg);
		g_queue_push_tail(&client->failed, pending);
		return;
	}
	(void)g_hash_table_insert(
	    client->calls, g_memdup2(&call.call, sizeof(call.call)), pending);
}

/*
 * Returns the number of answers that mlk_store_client_take_failed() can take.
 */
uint32_t
mlk_store_client_nfailed(const struct mlk_store_client *client)
{
	return (client->failed.length);
}

/*
 * Takes the answer to one transaction that could not be started.
 */
bool
mlk_store_client_take_failed(
    struct mlk_store_client *client, struct mlk_store_answer *answer)
{
	struct mlk_store_op *op = g_queue_pop_head(&client->failed);

	memset(answer, 0, sizeof(*answer));
	if (op == NULL)
		return (false);
	answer->op = *op;
	answer->status = MLK_STORE_UNAVAILABLE;
	g_free(op);
	return (true);
}

/*
 * Converts an HTTP response to the answer to its transaction.
 */
bool
mlk_store_client_response(struct mlk_store_client *client,
    const struct mlk_net_event *ev, struct mlk_store_answer *answer)
{
	uint64_t call = ev->u.response.call;
	struct mlk_store_op *op;
	struct mlk_error err;
	int status;

	memset(answer, 0, sizeof(*answer));
	op = g_hash_table_lookup(client->calls, &call);
	if (op == NULL)
		return (false);
	answer->op = *op;
	memset(op, 0, sizeof(*op));
	(void)g_hash_table_remove(client->calls, &call);
	status =
	    ev->u.response.result == MLK_HTTP_OK ? ev->u.response.status : 0;
	if (mlk_platform_decode(&answer->op, status, ev->u.response.body,
		ev->u.response.body_len, &answer->status, &answer->view,
		&err) != 0) {
		mlk_log(MLK_LOG_WARNING, "%s", err.msg);
		answer->status = MLK_STORE_UNAVAILABLE;
	}
	return (true);
}

void
mlk_store_answer_clear(struct mlk_store_answer *answer)
{
	mlk_store_op_clear(&answer->op);
	mlk_store_view_clear(&answer->view);
}

void
mlk_store_answer_event(
    const struct mlk_store_answer *answer, struct mlk_event *ev)
{
	memset(ev, 0, sizeof(*ev));
	ev->type = MLK_EV_STORE;
	ev->u.store.type = answer->op.type;
	ev->u.store.id = answer->op.id;
	ev->u.store.status = answer->status;
	if (answer->status != MLK_STORE_UNAVAILABLE)
		ev->u.store.view = &answer->view;
}
