/*
 * Encoding and decoding of messages as ONC RPC calls without a reply.  A
 * message is one record of one fragment: a call header (RFC 5531; no
 * authentication, the message type as procedure number) and the XDR body.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/wire.h>

#include "filters.h"

#define RECORD_MARK_BYTES 4U
#define LAST_FRAGMENT 0x80000000U

/* A call header and the message that follows it. */
struct call {
	struct rpc_msg header;
	struct mlk_msg *msg;
};

static bool_t
xdr_call(XDR *xdrs, struct call *call)
{
	return (
	    xdr_callmsg(xdrs, &call->header) && mlk_xdr_body(xdrs, call->msg));
}

static void
call_init(struct call *call, struct mlk_msg *msg, uint32_t xid)
{
	memset(call, 0, sizeof(*call));
	call->header.rm_xid = xid;
	call->header.rm_direction = CALL;
	call->header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call->header.rm_call.cb_prog = MLK_RPC_PROGRAM;
	call->header.rm_call.cb_vers = MLK_RPC_VERSION;
	call->header.rm_call.cb_proc = (rpcproc_t)msg->type;
	call->msg = msg;
}

int
mlk_wire_encode(const struct mlk_msg *msg, uint32_t xid, struct mlk_blob *out,
    struct mlk_error *err)
{
	struct call call;
	uint32_t mark;
	u_long size;
	bool_t ok;
	XDR xdrs;

	out->data = NULL;
	out->len = 0;
	/* Filters do not modify the message when encoding. */
	call_init(&call, (struct mlk_msg *)(uintptr_t)msg, xid);
	size = xdr_sizeof((xdrproc_t)xdr_call, &call);
	if (size == 0 || size > MLK_RECORD_MAX)
		return (mlk_error_set(err, MLK_ERR_PROTOCOL,
		    "%s: field exceeds its limit", mlk_msg_name(msg->type)));
	out->data = malloc(RECORD_MARK_BYTES + size);
	if (out->data == NULL)
		return (mlk_error_set(err, MLK_ERR_NOMEM, "out of memory"));
	mark = htonl(LAST_FRAGMENT | (uint32_t)size);
	memcpy(out->data, &mark, sizeof(mark));
	xdrmem_create(&xdrs, (char *)out->data + RECORD_MARK_BYTES, (u_int)size,
	    XDR_ENCODE);
	ok = xdr_call(&xdrs, &call);
	out->len = RECORD_MARK_BYTES + (uint32_t)size;
	if (ok)
		return (0);
	mlk_blob_clear(out);
	return (mlk_error_set(err, MLK_ERR_PROTOCOL, "cannot encode %s",
	    mlk_msg_name(msg->type)));
}

/*
 * Checks a decoded call header.  Returns NULL, or a description of the error.
 */
static const char *
header_fault(const struct rpc_msg *header)
{
	const struct call_body *body = &header->rm_call;

	if (body->cb_prog != MLK_RPC_PROGRAM)
		return ("wrong RPC program");
	if (body->cb_vers != MLK_RPC_VERSION)
		return ("wrong RPC program version");
	if (body->cb_cred.oa_flavor != AUTH_NONE ||
	    body->cb_cred.oa_length != 0 ||
	    body->cb_verf.oa_flavor != AUTH_NONE ||
	    body->cb_verf.oa_length != 0)
		return ("RPC authentication is not supported");
	if (body->cb_proc == 0 || body->cb_proc >= MLK_MSG_TYPES)
		return ("unknown RPC procedure");
	return (NULL);
}

/*
 * Decodes header and body.  Returns NULL, or a description of the error.
 */
static const char *
decode_call(XDR *xdrs, struct mlk_msg *msg)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg header;
	const char *fault;

	memset(&header, 0, sizeof(header));
	/* With these buffers, xdr_callmsg() allocates no memory. */
	header.rm_call.cb_cred.oa_base = cred;
	header.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdrs, &header))
		return ("not an RPC call");
	fault = header_fault(&header);
	if (fault != NULL)
		return (fault);
	msg->type = (enum mlk_msg_type)header.rm_call.cb_proc;
	if (!mlk_xdr_body(xdrs, msg))
		return ("malformed body");
	if (xdrs->x_handy != 0)
		return ("bytes after the body");
	return (NULL);
}

int
mlk_wire_decode(
    const uint8_t *data, size_t len, struct mlk_msg *msg, struct mlk_error *err)
{
	const char *fault;
	int code;
	XDR xdrs;

	memset(msg, 0, sizeof(*msg));
	if (len > MLK_RECORD_MAX)
		return (mlk_error_set(err, MLK_ERR_PROTOCOL,
		    "record of %zu bytes is too long", len));
	/* XDR_DECODE does not modify the buffer. */
	xdrmem_create(&xdrs, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
	fault = decode_call(&xdrs, msg);
	if (fault == NULL)
		return (0);
	code = mlk_error_set(
	    err, MLK_ERR_PROTOCOL, "%s: %s", mlk_msg_name(msg->type), fault);
	mlk_msg_clear(msg);
	return (code);
}
