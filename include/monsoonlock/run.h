/*
 * Run library: the code that connects a reducer to the event loop, shared by
 * the entry and the agent: transactions of the table service, the effects that
 * both reducers use, and the conversion of loop events to reducer events.
 */
#ifndef MONSOONLOCK_RUN_H
#define MONSOONLOCK_RUN_H

#include <monsoonlock/core.h>
#include <monsoonlock/net.h>

/* The store client uses HTTP call ids from this one on. */
#define MLK_STORE_CALL_BASE (1ULL << 32)

struct mlk_store_client;

/* addr is the table service's "ip:port"; it is copied. */
struct mlk_store_client *mlk_store_client_create(
    struct mlk_loop *loop, const char *addr);
void mlk_store_client_destroy(struct mlk_store_client *client);

/* The result of a transaction.  Cleared with mlk_store_answer_clear(). */
struct mlk_store_answer {
	struct mlk_store_op op;
	enum mlk_store_status status;
	struct mlk_store_view view;
};

/* Returns false when the response is not to a call of this client. */
bool mlk_store_client_response(struct mlk_store_client *client,
    const struct mlk_net_event *ev, struct mlk_store_answer *answer);
/*
 * A transaction that could not be encoded, or whose HTTP call could not be
 * started, is answered with UNAVAILABLE.  mlk_store_client_take_failed() takes
 * one such answer and returns true, or returns false when there is none.  Call
 * it outside the reducer, and for each event only as often as
 * mlk_store_client_nfailed() returned beforehand: if the reducer retries an
 * transaction that fails again, its answer is left to a later event.
 */
uint32_t mlk_store_client_nfailed(const struct mlk_store_client *client);
bool mlk_store_client_take_failed(
    struct mlk_store_client *client, struct mlk_store_answer *answer);
void mlk_store_answer_clear(struct mlk_store_answer *answer);
/* Fills an MLK_EV_STORE event that refers to *answer. */
void mlk_store_answer_event(
    const struct mlk_store_answer *answer, struct mlk_event *ev);

/*
 * Converts a link, message, tick or stop event of the loop to an event of the
 * reducer.  Returns false for HTTP and reload events, which are handled
 * elsewhere.  ev refers to the message in nev.
 */
bool mlk_event_from_net(const struct mlk_net_event *nev, struct mlk_event *ev);

/*
 * Executes a SEND, CONNECT, CLOSE_LINK, STORE or LOG effect; returns false for
 * any other effect.  The transaction of a STORE is moved out of the effect.
 */
bool mlk_run_effect(struct mlk_loop *loop, struct mlk_store_client *store,
    struct mlk_effect *fx);

/* Connects a program's reducer to its event loop.  Callbacks receive arg. */
struct mlk_run {
	void *arg;
	/* Calls the reducer and logs its error. */
	void (*apply)(
	    void *arg, const struct mlk_event *ev, struct mlk_effects *out);
	/* Executes effects other than EXIT and those of mlk_run_effect(). */
	void (*effect)(void *arg, struct mlk_effect *fx);
	/* Handles an HTTP event other than a response to the store client. */
	void (*http)(void *arg, const struct mlk_net_event *nev);
	const struct mlk_clock *clock;
	struct mlk_loop *loop;
	struct mlk_store_client *store;
	bool exiting; /* set by an EXIT effect, at the end of a planned stop */
};

/* Sets the times of an event, applies it and executes its effects. */
void mlk_run_apply(struct mlk_run *run, struct mlk_event *ev);
/* Handles an event of the loop. */
void mlk_run_handle(struct mlk_run *run, const struct mlk_net_event *nev);

#endif
