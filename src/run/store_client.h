/*
 * Private: starts transactions, for run_effect.c.
 */
#ifndef MLK_RUN_STORE_CLIENT_H
#define MLK_RUN_STORE_CLIENT_H

#include <monsoonlock/run.h>

/* Starts one transaction.  Takes over the contents of *op and zeroes it. */
void mlk_store_client_send(
    struct mlk_store_client *client, struct mlk_store_op *op);

#endif
