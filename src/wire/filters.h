/*
 * Private: the XDR filter of message bodies.
 */
#ifndef MLK_WIRE_FILTERS_H
#define MLK_WIRE_FILTERS_H

#include <rpc/rpc.h>

#include <monsoonlock/core.h>

bool_t mlk_xdr_body(XDR *xdrs, struct mlk_msg *msg);

#endif
