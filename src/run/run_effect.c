/*
 * Execution of the effects that the entry and the agent have in common.
 */
#include <monsoonlock/app.h>
#include <monsoonlock/run.h>

#include "store_client.h"

bool
mlk_run_effect(struct mlk_loop *loop, struct mlk_store_client *store,
    struct mlk_effect *fx)
{
	switch (fx->type) {
	case MLK_FX_SEND:
		/* If the link has closed, LINK_DOWN reports it. */
		(void)mlk_loop_send(loop, fx->u.send.link, &fx->u.send.msg);
		return (true);
	case MLK_FX_CONNECT:
		mlk_loop_connect(
		    loop, fx->u.connect.connect, fx->u.connect.addr);
		return (true);
	case MLK_FX_CLOSE_LINK:
		mlk_loop_close_link(loop, fx->u.close.link);
		return (true);
	case MLK_FX_STORE:
		mlk_store_client_send(store, &fx->u.store);
		return (true);
	case MLK_FX_LOG:
		mlk_log_effect(fx);
		return (true);
	default:
		return (false);
	}
}
