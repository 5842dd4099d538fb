/*
 * Passes events and effects between the event loop and the reducer.
 */
#include <monsoonlock/app.h>
#include <monsoonlock/run.h>

static void
run_effect(struct mlk_run *run, struct mlk_effect *fx)
{
	if (fx->type == MLK_FX_EXIT) {
		run->exiting = true;
		mlk_loop_close_listeners(run->loop);
	} else if (!mlk_run_effect(run->loop, run->store, fx)) {
		run->effect(run->arg, fx);
	}
}

/*
 * Sets the times of an event, passes it to the reducer and executes the effects
 * that the reducer returns.
 */
void
mlk_run_apply(struct mlk_run *run, struct mlk_event *ev)
{
	struct mlk_effects fx = { 0 };
	size_t i;

	ev->now = mlk_clock_now(run->clock);
	ev->wall = mlk_clock_wall(run->clock);
	run->apply(run->arg, ev, &fx);
	for (i = 0; i < fx.n; i++)
		run_effect(run, &fx.items[i]);
	mlk_effects_free(&fx);
}

static void
apply_answer(struct mlk_run *run, struct mlk_store_answer *answer)
{
	struct mlk_event ev;

	mlk_store_answer_event(answer, &ev);
	mlk_run_apply(run, &ev);
	mlk_store_answer_clear(answer);
}

/*
 * Passes the reducer an UNAVAILABLE answer for each transaction that could not
 * be started during earlier events.
 */
static void
apply_failed(struct mlk_run *run)
{
	uint32_t n = mlk_store_client_nfailed(run->store);
	struct mlk_store_answer answer;

	while (n-- > 0 && mlk_store_client_take_failed(run->store, &answer))
		apply_answer(run, &answer);
}

/*
 * Handles an event of the loop.  On a tick, first passes the reducer an
 * UNAVAILABLE answer for each transaction that could not be started.  Stops the
 * loop once the reducer has requested to exit and all HTTP responses have been
 * written.
 */
void
mlk_run_handle(struct mlk_run *run, const struct mlk_net_event *nev)
{
	struct mlk_store_answer answer;
	struct mlk_event ev;

	if (nev->type == MLK_NET_RELOAD) {
		mlk_log(MLK_LOG_NOTICE,
		    "SIGHUP ignored: the settings are read at start only");
		return;
	}
	if (nev->type == MLK_NET_TICK)
		apply_failed(run);
	if (mlk_event_from_net(nev, &ev))
		mlk_run_apply(run, &ev);
	else if (nev->type == MLK_NET_HTTP_RESPONSE &&
	    mlk_store_client_response(run->store, nev, &answer))
		apply_answer(run, &answer);
	else
		run->http(run->arg, nev);
	if (run->exiting && mlk_loop_http_pending(run->loop) == 0)
		mlk_loop_stop(run->loop);
}
