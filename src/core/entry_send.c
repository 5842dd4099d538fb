/*
 * Effects of the entry: messages, store operations, log lines and errors.
 * When memory runs out, `nomem` is set and the event returns MLK_ERR_NOMEM;
 * what was not sent is repeated by the retries of the protocol.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"

/*
 * Converts milliseconds to nanoseconds.
 */
int64_t
entry_ms_to_ns(uint32_t ms)
{
	return ((int64_t)ms * MLK_NSEC_PER_MSEC);
}

guint
entry_key_hash(gconstpointer p)
{
	const struct mlk_key *key = p;

	return ((guint)(key->hi ^ (key->lo >> 7)));
}

gboolean
entry_key_equal(gconstpointer a, gconstpointer b)
{
	const struct mlk_key *ka = a;
	const struct mlk_key *kb = b;

	return (mlk_key_equal(*ka, *kb));
}

/*
 * Appends an effect.  Returns NULL and sets `nomem` when out of memory.
 */
static struct mlk_effect *
push_effect(struct mlk_entry *e, enum mlk_effect_type type)
{
	struct mlk_effect *fx;

	fx = mlk_effects_push(e->out, type);
	if (fx == NULL)
		e->nomem = true;
	return (fx);
}

/*
 * Emits a log line.
 */
void
entry_log(struct mlk_entry *e, enum mlk_log_level level, const char *fmt, ...)
{
	struct mlk_effect *fx;
	va_list ap;

	fx = push_effect(e, MLK_FX_LOG);
	if (fx == NULL)
		return;
	fx->u.log.level = level;
	va_start(ap, fmt);
	(void)vsnprintf(fx->u.log.text, sizeof(fx->u.log.text), fmt, ap);
	va_end(ap);
}

/*
 * Emits a log line about an agent.
 */
void
entry_log_agent(struct mlk_entry *e, enum mlk_log_level level,
    const struct agent *a, const char *text)
{
	struct mlk_effect *fx;

	fx = push_effect(e, MLK_FX_LOG);
	if (fx == NULL)
		return;
	fx->u.log.level = level;
	(void)snprintf(fx->u.log.text, sizeof(fx->u.log.text), "%s", text);
	memcpy(fx->u.log.worker, a->id, sizeof(fx->u.log.worker));
}

/*
 * Appends a message to a link for the caller to fill.  Returns NULL when out
 * of memory; the message is then not sent.
 */
struct mlk_msg *
entry_send(struct mlk_entry *e, struct entry_link *l, enum mlk_msg_type type)
{
	struct mlk_effect *fx;

	fx = push_effect(e, MLK_FX_SEND);
	if (fx == NULL)
		return (NULL);
	fx->u.send.link = l->link;
	fx->u.send.msg.type = type;
	l->last_sent = e->now;
	e->counters.msgs_sent++;
	e->counters.msgs_sent_by_type[type]++;
	return (&fx->u.send.msg);
}

/*
 * Appends a store operation with a new id, which is also written to *id.
 * Returns NULL and leaves *id as it was when out of memory.
 */
struct mlk_store_op *
entry_store(struct mlk_entry *e, enum mlk_store_op_type type, uint64_t *id)
{
	struct mlk_effect *fx;

	fx = push_effect(e, MLK_FX_STORE);
	if (fx == NULL)
		return (NULL);
	fx->u.store.type = type;
	fx->u.store.id = ++e->last_op;
	*id = e->last_op;
	e->counters.store_ops++;
	return (&fx->u.store);
}

void
entry_close_link(struct mlk_entry *e, uint32_t link)
{
	struct mlk_effect *fx;

	fx = push_effect(e, MLK_FX_CLOSE_LINK);
	if (fx != NULL)
		fx->u.close.link = link;
}

/*
 * Answers an HTTP request with an error code.
 */
void
entry_reply_error(struct mlk_entry *e, uint64_t request, int code,
    uint32_t retry_after_ms, const char *text)
{
	struct mlk_effect *fx;

	fx = push_effect(e, MLK_FX_REPLY_ERROR);
	if (fx == NULL)
		return;
	fx->u.error.request = request;
	fx->u.error.code = code;
	fx->u.error.retry_after_ms = retry_after_ms;
	(void)snprintf(
	    fx->u.error.message, sizeof(fx->u.error.message), "%s", text);
}

/*
 * Returns a copy in memory from malloc(), which an effect may own, or NULL
 * when size is 0 or memory runs out.
 */
void *
entry_copy(struct mlk_entry *e, const void *src, size_t size)
{
	void *copy;

	if (size == 0)
		return (NULL);
	copy = malloc(size);
	if (copy == NULL) {
		e->nomem = true;
		return (NULL);
	}
	memcpy(copy, src, size);
	return (copy);
}

/*
 * Returns whether a wall time in seconds is within the retention period.
 */
bool
entry_retained(const struct mlk_entry *e, int64_t at)
{
	return (at + e->opt.retention_s >= e->wall);
}
