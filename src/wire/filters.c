/*
 * One XDR filter for each message type, operating on the structs of core.h.
 * A filter both encodes and decodes.  When decoding, each length is checked
 * against its limit and against the remaining bytes before memory is
 * allocated, so that a short record cannot cause a large allocation.  After a
 * failed decode, mlk_msg_clear() frees what was allocated.
 */
#include <string.h>

#include "filters.h"

/* Limits of the arrays for which core.h has none, in elements. */
#define BATCH_MAX 65536U /* tasks in a START, items in a RESULT */
#define HASHES_MAX 4000000U /* nearly fills a record of MLK_RECORD_MAX */
#define INTENTS_MAX 16384U
#define PEERS_MAX 4096U

/* Minimum encoded size of an element of each array, in bytes. */
#define TASK_SPEC_MIN 16U
#define TASK_RESULT_MIN 16U
#define INTENT_MIN 52U
#define START_TASK_MIN 40U
#define RESULT_ITEM_MIN 40U
#define RECORD_ITEM_MIN 20U
#define PEER_MIN 20U
#define EPOCH_MIN 8U
#define HASH_MIN 4U
#define RUN_TASK_MIN 16U
#define RUN_RESULT_MIN 24U
#define ROUTE_MIN 36U
#define POOL_MIN 12U
#define EVACUATION_MIN 12U
#define DEMAND_MIN 20U
#define CORUN_MIN 20U
#define VERDICT_MIN 20U

#define POOLS_MAX 4096U

/*
 * Reads a length without consuming it.  Fails if it is above max, or if the
 * remaining bytes are too few for that many elements of elem_min bytes.
 */
static bool_t
peek_length(XDR *xdrs, u_int max, u_int elem_min, u_int *len)
{
	u_int pos;

	pos = xdr_getpos(xdrs);
	if (!xdr_u_int(xdrs, len))
		return (FALSE);
	if (*len > max || *len > xdrs->x_handy / elem_min)
		return (FALSE);
	return (xdr_setpos(xdrs, pos));
}

/*
 * A string in an array of size bytes, including the terminating NUL.  Fails
 * for a string that does not fit or contains a NUL.
 */
static bool_t
text(XDR *xdrs, char *field, u_int size)
{
	u_int len;

	if (xdrs->x_op == XDR_ENCODE) {
		if (memchr(field, '\0', size) == NULL)
			return (FALSE);
		return (xdr_string(xdrs, &field, size - 1));
	}
	if (!peek_length(xdrs, size - 1, 1, &len))
		return (FALSE);
	if (!xdr_string(xdrs, &field, size - 1))
		return (FALSE);
	return (strlen(field) == len);
}

#define TEXT(xdrs, field) text(xdrs, field, sizeof(field))

static bool_t
blob(XDR *xdrs, struct mlk_blob *b)
{
	u_int len;

	if (xdrs->x_op == XDR_DECODE &&
	    !peek_length(xdrs, MLK_PAYLOAD_MAX, 1, &len))
		return (FALSE);
	return (xdr_bytes(xdrs, (char **)&b->data, &b->len, MLK_PAYLOAD_MAX));
}

/*
 * An array whose elements take size bytes in memory and at least elem_min bytes
 * encoded.  After a failed decode, elements not reached are zeroed.
 */
static bool_t
array(XDR *xdrs, void *items, uint32_t *n, u_int max, u_int elem_min,
    u_int size, xdrproc_t proc)
{
	u_int len;
	bool_t ok;

	if (xdrs->x_op == XDR_DECODE && !peek_length(xdrs, max, elem_min, &len))
		return (FALSE);
	ok = xdr_array(xdrs, (char **)items, n, max, size, proc);
	if (*(char **)items == NULL)
		*n = 0;
	return (ok);
}

#define ARRAY(xdrs, items, n, max, elem_min, proc)                   \
	array(xdrs, &(items), &(n), max, elem_min, sizeof(*(items)), \
	    (xdrproc_t)(proc))

/*
 * An unsigned number in min..max.  The caller converts enums and flags to and
 * from u_int.
 */
static bool_t
number(XDR *xdrs, u_int *value, u_int min, u_int max)
{
	if (xdrs->x_op == XDR_ENCODE && (*value < min || *value > max))
		return (FALSE);
	if (!xdr_u_int(xdrs, value))
		return (FALSE);
	return (*value >= min && *value <= max);
}

static bool_t
flag(XDR *xdrs, uint8_t *value)
{
	u_int v;

	v = *value != 0;
	if (!number(xdrs, &v, 0, 1))
		return (FALSE);
	*value = (uint8_t)v;
	return (TRUE);
}

static bool_t
status(XDR *xdrs, enum mlk_task_status *value)
{
	u_int v;

	v = (u_int)*value;
	if (!number(xdrs, &v, MLK_TASK_QUEUED, MLK_TASK_UNKNOWN))
		return (FALSE);
	*value = (enum mlk_task_status)v;
	return (TRUE);
}

static bool_t
key(XDR *xdrs, struct mlk_key *k)
{
	return (xdr_uint64_t(xdrs, &k->lo) && xdr_uint64_t(xdrs, &k->hi));
}

static bool_t
demand(XDR *xdrs, struct mlk_demand *d)
{
	return (xdr_u_int(xdrs, &d->queued_short) &&
	    xdr_u_int(xdrs, &d->queued_long) &&
	    xdr_u_int(xdrs, &d->short_load) &&
	    xdr_u_int(xdrs, &d->known_slots) && xdr_u_int(xdrs, &d->long_cap));
}

static bool_t
credits(XDR *xdrs, struct mlk_credits *c)
{
	return (xdr_u_int(xdrs, &c->any) && xdr_u_int(xdrs, &c->short_only));
}

static bool_t
peer(XDR *xdrs, struct mlk_peer_info *p)
{
	return (TEXT(xdrs, p->id) && xdr_uint64_t(xdrs, &p->incarnation) &&
	    TEXT(xdrs, p->addr) && TEXT(xdrs, p->dc));
}

static bool_t
epoch_item(XDR *xdrs, struct mlk_epoch_item *item)
{
	return (number(xdrs, &item->partition, 0, MLK_PARTITIONS - 1) &&
	    xdr_u_int(xdrs, &item->epoch));
}

static bool_t
start_task(XDR *xdrs, struct mlk_start_task *t)
{
	return (key(xdrs, &t->key) &&
	    number(xdrs, &t->index, 0, MLK_TASKS_MAX - 1) &&
	    xdr_u_int(xdrs, &t->epoch) && flag(xdrs, &t->is_long) &&
	    xdr_u_int(xdrs, &t->timeout_ms) && TEXT(xdrs, t->kind) &&
	    blob(xdrs, &t->payload));
}

static bool_t
result_item(XDR *xdrs, struct mlk_result_item *item)
{
	return (key(xdrs, &item->key) &&
	    number(xdrs, &item->index, 0, MLK_TASKS_MAX - 1) &&
	    xdr_u_int(xdrs, &item->epoch) && status(xdrs, &item->status) &&
	    flag(xdrs, &item->retryable) && xdr_u_int(xdrs, &item->run_ms) &&
	    blob(xdrs, &item->payload));
}

static bool_t
record_item(XDR *xdrs, struct mlk_record_item *item)
{
	return (number(xdrs, &item->index, 0, MLK_TASKS_MAX - 1) &&
	    status(xdrs, &item->status) && xdr_u_int(xdrs, &item->run_ms) &&
	    blob(xdrs, &item->payload) && flag(xdrs, &item->has_result));
}

static bool_t
task_spec(XDR *xdrs, struct mlk_task_spec *t)
{
	uint8_t repeatable;

	repeatable = t->repeatable;
	if (!TEXT(xdrs, t->kind) || !blob(xdrs, &t->payload) ||
	    !flag(xdrs, &repeatable))
		return (FALSE);
	t->repeatable = repeatable != 0;
	return (xdr_u_int(xdrs, &t->declared_ms));
}

static bool_t
job_spec(XDR *xdrs, struct mlk_job_spec *s)
{
	return (TEXT(xdrs, s->id) && TEXT(xdrs, s->team) &&
	    key(xdrs, &s->digest) && xdr_u_int(xdrs, &s->deadline_ms) &&
	    ARRAY(xdrs, s->tasks, s->ntasks, MLK_TASKS_MAX, TASK_SPEC_MIN,
		task_spec));
}

static bool_t
task_result(XDR *xdrs, struct mlk_task_result *r)
{
	return (status(xdrs, &r->status) && TEXT(xdrs, r->worker) &&
	    xdr_u_int(xdrs, &r->run_ms) && blob(xdrs, &r->payload));
}

static bool_t
job_answer(XDR *xdrs, struct mlk_job_answer *a)
{
	u_int outcome;

	outcome = (u_int)a->outcome;
	if (!key(xdrs, &a->key) ||
	    !number(xdrs, &outcome, MLK_OUTCOME_PENDING, MLK_OUTCOME_UNKNOWN))
		return (FALSE);
	a->outcome = (enum mlk_outcome)outcome;
	return (xdr_u_int(xdrs, &a->retry_after_ms) && TEXT(xdrs, a->reason) &&
	    ARRAY(xdrs, a->tasks, a->ntasks, MLK_TASKS_MAX, TASK_RESULT_MIN,
		task_result));
}

static bool_t
intent(XDR *xdrs, struct mlk_intent *i)
{
	u_int type;

	type = (u_int)i->type;
	if (!TEXT(xdrs, i->id) ||
	    !number(xdrs, &type, MLK_INTENT_TEAM_QUOTA, MLK_INTENT_LONG_CAP))
		return (FALSE);
	i->type = (enum mlk_intent_type)type;
	return (TEXT(xdrs, i->subject) && TEXT(xdrs, i->target) &&
	    xdr_int(xdrs, &i->value) && TEXT(xdrs, i->author) &&
	    TEXT(xdrs, i->reason) && xdr_int64_t(xdrs, &i->created) &&
	    xdr_int64_t(xdrs, &i->expires) && TEXT(xdrs, i->displaced));
}

static bool_t
config_body(XDR *xdrs, struct mlk_config *c)
{
	return (xdr_uint64_t(xdrs, &c->version) && key(xdrs, &c->digest) &&
	    ARRAY(xdrs, c->intents, c->nintents, INTENTS_MAX, INTENT_MIN,
		intent));
}

static bool_t
hello_body(XDR *xdrs, struct mlk_msg *m)
{
	return (TEXT(xdrs, m->u.hello.id) &&
	    xdr_uint64_t(xdrs, &m->u.hello.incarnation) &&
	    xdr_uint64_t(xdrs, &m->u.hello.first_incarnation) &&
	    TEXT(xdrs, m->u.hello.dc) && xdr_u_int(xdrs, &m->u.hello.slots) &&
	    xdr_uint64_t(xdrs, &m->u.hello.config_version));
}

static bool_t
welcome_body(XDR *xdrs, struct mlk_msg *m)
{
	return (peer(xdrs, &m->u.welcome.self) &&
	    xdr_uint64_t(xdrs, &m->u.welcome.config_version));
}

static bool_t
fence_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.fence.incarnation) &&
	    ARRAY(xdrs, m->u.fence.items, m->u.fence.n, MLK_PARTITIONS,
		EPOCH_MIN, epoch_item));
}

static bool_t
fence_reply_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.fence_reply.incarnation) &&
	    xdr_uint64_t(xdrs, &m->u.fence_reply.rejected) &&
	    xdr_uint64_t(xdrs, &m->u.fence_reply.partitions) &&
	    flag(xdrs, &m->u.fence_reply.last) &&
	    ARRAY(xdrs, m->u.fence_reply.hashes, m->u.fence_reply.n, HASHES_MAX,
		HASH_MIN, xdr_u_int));
}

static bool_t
start_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.start.incarnation) &&
	    demand(xdrs, &m->u.start.demand) &&
	    ARRAY(xdrs, m->u.start.tasks, m->u.start.n, BATCH_MAX,
		START_TASK_MIN, start_task));
}

static bool_t
result_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.result.seq) &&
	    credits(xdrs, &m->u.result.grant) &&
	    ARRAY(xdrs, m->u.result.items, m->u.result.n, BATCH_MAX,
		RESULT_ITEM_MIN, result_item));
}

static bool_t
query_reply_body(XDR *xdrs, struct mlk_msg *m)
{
	return (key(xdrs, &m->u.query_reply.key) &&
	    xdr_uint64_t(xdrs, &m->u.query_reply.incarnation) &&
	    xdr_u_int(xdrs, &m->u.query_reply.epoch) &&
	    ARRAY(xdrs, m->u.query_reply.items, m->u.query_reply.n,
		MLK_TASKS_MAX, RECORD_ITEM_MIN, record_item));
}

static bool_t
heartbeat_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.heartbeat.config_version) &&
	    xdr_uint64_t(xdrs, &m->u.heartbeat.ownership_version));
}

static bool_t
peer_hello_body(XDR *xdrs, struct mlk_msg *m)
{
	return (peer(xdrs, &m->u.peer_hello.self) &&
	    xdr_uint64_t(xdrs, &m->u.peer_hello.config_version) &&
	    xdr_uint64_t(xdrs, &m->u.peer_hello.ownership_version));
}

static bool_t
forward_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.forward.request) &&
	    flag(xdrs, &m->u.forward.wait) &&
	    flag(xdrs, &m->u.forward.lookup) &&
	    xdr_u_int(xdrs, &m->u.forward.open_epoch) &&
	    job_spec(xdrs, &m->u.forward.spec));
}

static bool_t
forward_reply_body(XDR *xdrs, struct mlk_msg *m)
{
	u_int code;

	code = (u_int)m->u.forward_reply.code;
	if (!xdr_uint64_t(xdrs, &m->u.forward_reply.request) ||
	    !xdr_u_int(xdrs, &m->u.forward_reply.epoch) ||
	    !flag(xdrs, &m->u.forward_reply.open) ||
	    !number(xdrs, &code, MLK_OK, MLK_ERR_DENIED))
		return (FALSE);
	m->u.forward_reply.code = (enum mlk_err_code)code;
	return (job_answer(xdrs, &m->u.forward_reply.answer));
}

static bool_t
peers_body(XDR *xdrs, struct mlk_msg *m)
{
	return (ARRAY(
	    xdrs, m->u.peers.peers, m->u.peers.n, PEERS_MAX, PEER_MIN, peer));
}

static bool_t
resources(XDR *xdrs, struct mlk_resources *r)
{
	return (xdr_u_int(xdrs, &r->cpu) && xdr_u_int(xdrs, &r->mem_mb) &&
	    xdr_u_int(xdrs, &r->gpu));
}

static bool_t
worker_info(XDR *xdrs, struct mlk_worker_info *w)
{
	u_int state;

	state = (u_int)w->state;
	if (!TEXT(xdrs, w->id) || !xdr_uint64_t(xdrs, &w->boot) ||
	    !TEXT(xdrs, w->pool) || !TEXT(xdrs, w->labels) ||
	    !number(xdrs, &state, MLK_WORKER_READY, MLK_WORKER_COLD))
		return (FALSE);
	w->state = (enum mlk_worker_state)state;
	return (resources(xdrs, &w->capacity) && xdr_u_int(xdrs, &w->speed));
}

static bool_t
worker_load(XDR *xdrs, struct mlk_worker_load *l)
{
	return (resources(xdrs, &l->free) && xdr_u_int(xdrs, &l->running));
}

static bool_t
want(XDR *xdrs, struct mlk_want *w)
{
	return (xdr_u_int(xdrs, &w->tasks) && xdr_u_int(xdrs, &w->urgency_ms) &&
	    resources(xdrs, &w->resources));
}

static bool_t
run_task(XDR *xdrs, struct mlk_run_task *t)
{
	return (number(xdrs, &t->index, 0, MLK_TASKS_MAX - 1) &&
	    resources(xdrs, &t->resources));
}

static bool_t
run_result(XDR *xdrs, struct mlk_run_result *r)
{
	u_int end;

	end = (u_int)r->end;
	if (!xdr_uint64_t(xdrs, &r->job) ||
	    !number(xdrs, &r->step, 0, MLK_STEPS_MAX - 1) ||
	    !number(xdrs, &r->index, 0, MLK_TASKS_MAX - 1) ||
	    !number(xdrs, &end, MLK_RUN_DONE, MLK_RUN_STALLED))
		return (FALSE);
	r->end = (enum mlk_run_end)end;
	return (xdr_u_int(xdrs, &r->run_ms));
}

static bool_t
route(XDR *xdrs, struct mlk_route *r)
{
	return (TEXT(xdrs, r->name) && TEXT(xdrs, r->host) &&
	    TEXT(xdrs, r->prefix) && TEXT(xdrs, r->pool) &&
	    xdr_u_int(xdrs, &r->timeout_ms) && xdr_u_int(xdrs, &r->target_ms) &&
	    xdr_u_int(xdrs, &r->priority) && xdr_u_int(xdrs, &r->attempts) &&
	    xdr_u_int(xdrs, &r->stretch));
}

static bool_t
pool(XDR *xdrs, struct mlk_pool *p)
{
	return (TEXT(xdrs, p->name) && TEXT(xdrs, p->health_path) &&
	    flag(xdrs, &p->enforces_capacity));
}

static bool_t
routes_body(XDR *xdrs, struct mlk_routing *r)
{
	return (xdr_uint64_t(xdrs, &r->version) &&
	    ARRAY(xdrs, r->routes, r->nroutes, MLK_ROUTES_MAX, ROUTE_MIN,
		route) &&
	    ARRAY(xdrs, r->pools, r->npools, POOLS_MAX, POOL_MIN, pool) &&
	    xdr_u_int(xdrs, &r->max_body_bytes) &&
	    xdr_u_int(xdrs, &r->header_timeout_ms) &&
	    xdr_u_int(xdrs, &r->idle_timeout_ms));
}

static bool_t
attach_body(XDR *xdrs, struct mlk_msg *m)
{
	return (TEXT(xdrs, m->u.attach.id) &&
	    xdr_uint64_t(xdrs, &m->u.attach.incarnation) &&
	    TEXT(xdrs, m->u.attach.dc));
}

static bool_t
worker_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.worker.sent_at) &&
	    xdr_uint64_t(xdrs, &m->u.worker.seen) &&
	    xdr_uint64_t(xdrs, &m->u.worker.routing_version) &&
	    worker_info(xdrs, &m->u.worker.info) &&
	    worker_load(xdrs, &m->u.worker.load));
}

static bool_t
run_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.run.sent_at) &&
	    xdr_uint64_t(xdrs, &m->u.run.seq) &&
	    xdr_uint64_t(xdrs, &m->u.run.job) && TEXT(xdrs, m->u.run.id) &&
	    number(xdrs, &m->u.run.step, 0, MLK_STEPS_MAX - 1) &&
	    xdr_u_int(xdrs, &m->u.run.deadline_ms) &&
	    xdr_uint64_t(xdrs, &m->u.run.offer) && want(xdrs, &m->u.run.want) &&
	    xdr_u_int(xdrs, &m->u.run.expected_ms) &&
	    xdr_u_int(xdrs, &m->u.run.kind) && flag(xdrs, &m->u.run.movable) &&
	    blob(xdrs, &m->u.run.spec) &&
	    ARRAY(xdrs, m->u.run.tasks, m->u.run.n, MLK_TASKS_MAX, RUN_TASK_MIN,
		run_task));
}

static bool_t
ends_body(XDR *xdrs, struct mlk_msg *m)
{
	return (xdr_uint64_t(xdrs, &m->u.ends.sent_at) &&
	    xdr_uint64_t(xdrs, &m->u.ends.seen) &&
	    worker_load(xdrs, &m->u.ends.load) &&
	    ARRAY(xdrs, m->u.ends.items, m->u.ends.n, BATCH_MAX, RUN_RESULT_MIN,
		run_result));
}

static bool_t
evacuation(XDR *xdrs, struct mlk_evacuation *e)
{
	return (TEXT(xdrs, e->dc) && xdr_uint64_t(xdrs, &e->version));
}

static bool_t
evacuations_body(XDR *xdrs, struct mlk_evacuations *e)
{
	return (xdr_uint64_t(xdrs, &e->version) &&
	    ARRAY(xdrs, e->items, e->n, MLK_EVACUATIONS_MAX, EVACUATION_MIN,
		evacuation));
}

static bool_t
route_demand(XDR *xdrs, struct mlk_route_demand *i)
{
	return (TEXT(xdrs, i->route) && xdr_u_int(xdrs, &i->offered) &&
	    xdr_u_int(xdrs, &i->admitted) && xdr_uint64_t(xdrs, &i->queued));
}

static bool_t
demand_body(XDR *xdrs, struct mlk_demand_report *m)
{
	return (xdr_uint64_t(xdrs, &m->sent_at) && TEXT(xdrs, m->id) &&
	    xdr_uint64_t(xdrs, &m->incarnation) &&
	    ARRAY(xdrs, m->items, m->n, MLK_DEMAND_MAX, DEMAND_MIN,
		route_demand));
}

static bool_t
corun(XDR *xdrs, struct mlk_corun *c)
{
	return (xdr_u_int(xdrs, &c->kind) && xdr_u_int(xdrs, &c->other) &&
	    xdr_u_int(xdrs, &c->samples) && xdr_int(xdrs, &c->mean) &&
	    xdr_u_int(xdrs, &c->variance));
}

static bool_t
verdict(XDR *xdrs, struct mlk_verdict *v)
{
	return (xdr_u_int(xdrs, &v->kind) && xdr_u_int(xdrs, &v->other) &&
	    xdr_u_int(xdrs, &v->slowdown) && xdr_u_int(xdrs, &v->bound) &&
	    xdr_u_int(xdrs, &v->samples));
}

/*
 * Encodes or decodes the body of msg->type.  Returns FALSE when a field exceeds
 * its limit, when the data is malformed, or when the type is unknown.
 */
bool_t
mlk_xdr_body(XDR *xdrs, struct mlk_msg *msg)
{
	switch (msg->type) {
	case MLK_MSG_HELLO:
		return (hello_body(xdrs, msg));
	case MLK_MSG_WELCOME:
		return (welcome_body(xdrs, msg));
	case MLK_MSG_FENCE:
		return (fence_body(xdrs, msg));
	case MLK_MSG_FENCE_REPLY:
		return (fence_reply_body(xdrs, msg));
	case MLK_MSG_START:
		return (start_body(xdrs, msg));
	case MLK_MSG_RESULT:
		return (result_body(xdrs, msg));
	case MLK_MSG_ACK:
		return (xdr_uint64_t(xdrs, &msg->u.ack.seq));
	case MLK_MSG_GRANT:
		return (credits(xdrs, &msg->u.grant));
	case MLK_MSG_NEED:
		return (demand(xdrs, &msg->u.need));
	case MLK_MSG_RECLAIM:
		return (credits(xdrs, &msg->u.reclaim));
	case MLK_MSG_RETURN:
		return (credits(xdrs, &msg->u.returned));
	case MLK_MSG_QUERY:
		return (key(xdrs, &msg->u.query.key));
	case MLK_MSG_QUERY_REPLY:
		return (query_reply_body(xdrs, msg));
	case MLK_MSG_CANCEL:
		return (key(xdrs, &msg->u.cancel.key));
	case MLK_MSG_REREGISTER:
		return (xdr_uint64_t(xdrs, &msg->u.reregister.incarnation));
	case MLK_MSG_CONFIG:
		return (config_body(xdrs, &msg->u.config));
	case MLK_MSG_HEARTBEAT:
		return (heartbeat_body(xdrs, msg));
	case MLK_MSG_PEER_HELLO:
		return (peer_hello_body(xdrs, msg));
	case MLK_MSG_FORWARD:
		return (forward_body(xdrs, msg));
	case MLK_MSG_FORWARD_REPLY:
		return (forward_reply_body(xdrs, msg));
	case MLK_MSG_PEERS:
		return (peers_body(xdrs, msg));
	case MLK_MSG_LEAVE:
		return (TRUE);
	case MLK_MSG_ATTACH:
		return (attach_body(xdrs, msg));
	case MLK_MSG_WORKER:
		return (worker_body(xdrs, msg));
	case MLK_MSG_RUN:
		return (run_body(xdrs, msg));
	case MLK_MSG_ENDS:
		return (ends_body(xdrs, msg));
	case MLK_MSG_DROP:
		return (xdr_uint64_t(xdrs, &msg->u.drop.sent_at) &&
		    xdr_uint64_t(xdrs, &msg->u.drop.job));
	case MLK_MSG_PING:
		return (xdr_uint64_t(xdrs, &msg->u.ping.sent_at) &&
		    xdr_uint64_t(xdrs, &msg->u.ping.echo) &&
		    xdr_uint64_t(xdrs, &msg->u.ping.routing_version) &&
		    xdr_uint64_t(xdrs, &msg->u.ping.evacuations));
	case MLK_MSG_ROUTES:
		return (routes_body(xdrs, &msg->u.routes));
	case MLK_MSG_WANT:
		return (xdr_uint64_t(xdrs, &msg->u.want.sent_at) &&
		    xdr_uint64_t(xdrs, &msg->u.want.offer) &&
		    want(xdrs, &msg->u.want.want));
	case MLK_MSG_OFFER:
		return (xdr_uint64_t(xdrs, &msg->u.offer.sent_at) &&
		    xdr_uint64_t(xdrs, &msg->u.offer.offer) &&
		    resources(xdrs, &msg->u.offer.resources));
	case MLK_MSG_EVACUATIONS:
		return (evacuations_body(xdrs, &msg->u.evacuations));
	case MLK_MSG_DEMAND:
		return (demand_body(xdrs, &msg->u.demand));
	case MLK_MSG_CORUN:
		return (xdr_uint64_t(xdrs, &msg->u.corun.sent_at) &&
		    ARRAY(xdrs, msg->u.corun.items, msg->u.corun.n,
			MLK_CORUN_MAX, CORUN_MIN, corun));
	case MLK_MSG_VERDICTS:
		return (xdr_uint64_t(xdrs, &msg->u.verdicts.sent_at) &&
		    ARRAY(xdrs, msg->u.verdicts.items, msg->u.verdicts.n,
			MLK_VERDICTS_MAX, VERDICT_MIN, verdict));
	default:
		return (FALSE);
	}
}
