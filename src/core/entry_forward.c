/*
 * Routing of requests.  The states of a request are in entry_impl.h (enum
 * request_state).
 *
 * Depending on the ownership row, a request is served here, sent to the owner
 * with FORWARD, or parked until there is an owner.  When the owner is lost, the
 * same body is sent to the next one.  A request that stays parked for longer
 * than takeover_wait_ms is answered unknown, since another owner may have run
 * it.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"

static void
request_queue(struct request *r, GQueue *queue)
{
	if (r->queue != NULL)
		g_queue_unlink(r->queue, &r->node);
	r->queue = queue;
	if (queue != NULL)
		g_queue_push_tail_link(queue, &r->node);
}

static void
request_free(struct mlk_entry *e, struct request *r)
{
	request_queue(r, NULL);
	if (!r->from_peer && r->origin != 0)
		(void)g_hash_table_remove(e->requests_http, &r->origin);
	(void)g_hash_table_remove(e->requests, &r->id);
	mlk_job_spec_clear(&r->spec);
	g_free(r);
}

static struct request *
request_new(
    struct mlk_entry *e, const char *id, enum request_kind kind, bool wait)
{
	struct request *r;

	r = g_new0(struct request, 1);
	r->id = ++e->last_request;
	r->kind = kind;
	r->wait = wait;
	r->key = mlk_key_from_id(id);
	(void)g_strlcpy(r->spec.id, id, sizeof(r->spec.id));
	r->since = e->now;
	r->node.data = r;
	(void)g_hash_table_insert(e->requests, &r->id, r);
	return (r);
}

/* ---- answers --------------------------------------------------------- */

/*
 * Appends a FORWARD_REPLY for a request from a peer.  `open` is set when this
 * entry gave up the job at this epoch before the job's end.  Returns NULL when
 * the link is gone or memory runs out.
 */
static struct mlk_msg *
new_forward_reply(struct mlk_entry *e, const struct request *r)
{
	struct entry_link *l = members_link(e, r->link);
	struct mlk_msg *m;

	m = l == NULL ? NULL : entry_send(e, l, MLK_MSG_FORWARD_REPLY);
	if (m == NULL)
		return (NULL);
	m->u.forward_reply.request = r->origin;
	m->u.forward_reply.epoch = e->part[mlk_key_partition(r->key)].epoch;
	m->u.forward_reply.open =
	    r->open_epoch != 0 && r->open_epoch == m->u.forward_reply.epoch;
	return (m);
}

/*
 * Answers a request and frees it.  Takes over the memory of the answer.
 */
void
forward_answer(struct mlk_entry *e, struct request *r,
    const struct mlk_job_answer *answer, bool pending)
{
	struct mlk_job_answer unsent = *answer;
	struct mlk_effect *fx;
	struct mlk_msg *m;

	if (r->from_peer) {
		m = new_forward_reply(e, r);
		if (m != NULL)
			m->u.forward_reply.answer = *answer;
		else
			mlk_job_answer_clear(&unsent);
	} else if (r->origin != 0) {
		fx = mlk_effects_push(e->out, MLK_FX_ANSWER);
		if (fx != NULL) {
			fx->u.answer.request = r->origin;
			fx->u.answer.pending = pending;
			fx->u.answer.answer = *answer;
		} else {
			e->nomem = true;
			mlk_job_answer_clear(&unsent);
		}
	} else {
		mlk_job_answer_clear(&unsent);
	}
	request_free(e, r);
}

/*
 * Answers a request with an error code and frees it.
 */
void
forward_error(
    struct mlk_entry *e, struct request *r, int code, const char *text)
{
	struct mlk_msg *m;

	if (r->from_peer) {
		m = new_forward_reply(e, r);
		if (m != NULL)
			m->u.forward_reply.code = code;
	} else if (r->origin != 0) {
		entry_reply_error(e, r->origin, code, 0, text);
	}
	request_free(e, r);
}

/*
 * Answers a request with `unknown` and frees it.
 */
static void
answer_unknown(struct mlk_entry *e, struct request *r, const char *reason)
{
	struct mlk_job_answer answer = { 0 };

	answer.key = r->key;
	answer.outcome = MLK_OUTCOME_UNKNOWN;
	(void)g_strlcpy(answer.reason, reason, sizeof(answer.reason));
	e->counters.jobs_unknown++;
	forward_answer(e, r, &answer, false);
}

/* ---- at the owner ---------------------------------------------------- */

/*
 * Joins a request to a job.  The request is answered at once if the job has
 * ended, or as pending if the request does not wait for the end; otherwise it
 * is answered at the job's end.  When an ended job has to be confirmed again,
 * the request always waits, and keeps its body, since the job does not hold one
 * any more.
 */
static void
join_job(struct mlk_entry *e, struct request *r, struct job *j)
{
	struct mlk_job_answer answer;

	if (j->state == JOB_ENDED && !jobs_confirm_again(e, j)) {
		job_answer(e, j, &answer);
		forward_answer(e, r, &answer, false);
		return;
	}
	if (!r->wait && j->ended_at == 0) {
		job_answer(e, j, &answer);
		forward_answer(e, r, &answer, true);
		return;
	}
	if (j->ended_at == 0)
		mlk_job_spec_clear(&r->spec);
	r->state = REQ_JOINED;
	r->job = j;
	request_queue(r, &j->waiters);
}

/*
 * Answers a lookup or a cancel of an id that has no job here: not found, when
 * the partition is accounted for and no agent can have the id on record.
 * Otherwise the answer is unknown, since without the body the job cannot be
 * rebuilt from agents' records.
 */
static void
answer_without_job(struct mlk_entry *e, struct request *r)
{
	uint32_t p = mlk_key_partition(r->key);
	GArray *hits;
	bool known;

	hits = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	accounts_index_lookup(e, r->key, hits);
	known = hits->len > 0 || accounts_claimed(e, r->key);
	g_array_free(hits, TRUE);
	if (!known && (e->accounted & (1ULL << p)) != 0)
		forward_error(e, r, MLK_ERR_NOT_FOUND, "no such submission");
	else
		answer_unknown(
		    e, r, "owner changed; submit the job again to learn more");
}

/*
 * Serves a request here.  If the owner at the epoch directly before this one
 * gave up the job before its end, the job continues with all its tasks.  At an
 * earlier epoch this is not enough, since an owner in between may have reported
 * the job's end.
 */
static void
serve(struct mlk_entry *e, struct request *r)
{
	uint32_t epoch = e->part[mlk_key_partition(r->key)].epoch;
	bool was_open = r->open_epoch != 0 && r->open_epoch + 1 == epoch;
	struct job *j;

	if (jobs_evicted(e, r->key)) {
		answer_unknown(e, r, "its results are no longer held");
		return;
	}
	j = jobs_find(e, r->key);
	if (j == NULL && r->kind != REQ_SUBMIT) {
		answer_without_job(e, r);
		return;
	}
	if (j != NULL) {
		if (r->kind == REQ_SUBMIT &&
		    !mlk_key_equal(j->digest, r->spec.digest)) {
			forward_error(e, r, MLK_ERR_CONFLICT,
			    "the id was used with another body");
			return;
		}
		if (r->kind == REQ_SUBMIT)
			e->counters.jobs_joined++;
		if (r->kind == REQ_CANCEL)
			jobs_cancel(e, j);
		j->was_open = j->was_open || was_open;
		join_job(e, r, j);
		return;
	}
	j = jobs_create(e, r);
	j->was_open = was_open;
	join_job(e, r, j);
	recover_job(e, j);
}

/* ---- routing --------------------------------------------------------- */

/*
 * Forwards a request to the owner.  A cancel is sent as CANCEL and a lookup.
 */
static void
send_forward(struct mlk_entry *e, struct request *r, struct peer *p)
{
	struct mlk_msg *m;

	if (r->kind == REQ_CANCEL) {
		m = entry_send(e, p->link, MLK_MSG_CANCEL);
		if (m == NULL)
			return;
		m->u.cancel.key = r->key;
	}
	m = entry_send(e, p->link, MLK_MSG_FORWARD);
	if (m == NULL)
		return;
	m->u.forward.request = r->id;
	m->u.forward.wait = r->wait;
	m->u.forward.lookup = r->kind != REQ_SUBMIT;
	m->u.forward.open_epoch = r->open_epoch;
	if (mlk_job_spec_copy(&m->u.forward.spec, &r->spec) != 0) {
		/* The owner must not get an empty body; send a lookup. */
		e->nomem = true;
		m->u.forward.lookup = 1;
		memcpy(m->u.forward.spec.id, r->spec.id,
		    sizeof(m->u.forward.spec.id));
	}
	r->state = REQ_FORWARDED;
	r->peer = p;
	r->link = p->link->link;
	request_queue(r, &p->forwards);
	e->counters.forwards_sent++;
}

/*
 * Serves, forwards or parks a request.  A request from a peer is never
 * forwarded again: the peer gets an error and routes it anew.
 */
static void
route(struct mlk_entry *e, struct request *r)
{
	uint32_t p = mlk_key_partition(r->key);
	const char *owner = e->ownership.part[p].owner;
	struct peer *peer;

	if (e->part[p].mine && !e->ownership_unverified) {
		serve(e, r);
		return;
	}
	if (r->from_peer && !e->part[p].mine) {
		forward_error(
		    e, r, MLK_ERR_UNAVAILABLE, "not the owner of the id");
		return;
	}
	peer = e->part[p].mine || owner[0] == '\0' ?
	    NULL :
	    members_peer_by_id(e, owner);
	if (peer != NULL && peer->state == PEER_UP && peer->link != NULL &&
	    peer->info.incarnation == e->ownership.part[p].incarnation &&
	    e->now >= r->retry_at) {
		send_forward(e, r, peer);
		return;
	}
	r->state = REQ_PARKED;
	request_queue(r, &e->parked);
}

/*
 * Parks a request whose owner changes; its wait of takeover_wait_ms starts
 * again.  A request from a peer gets an error instead, and the peer routes it
 * anew.
 */
void
forward_park(struct mlk_entry *e, struct request *r)
{
	if (r->from_peer) {
		forward_error(
		    e, r, MLK_ERR_UNAVAILABLE, "not the owner of the id");
		return;
	}
	r->state = REQ_PARKED;
	r->job = NULL;
	r->peer = NULL;
	r->since = e->now;
	request_queue(r, &e->parked);
	e->parked_at = 0;
	e->poll_wanted = true;
}

/*
 * Routes the parked requests again, after a change of the ownership row or of
 * a link.
 */
void
forward_route_parked(struct mlk_entry *e)
{
	GList *node, *next;
	guint n = g_queue_get_length(&e->parked);

	for (node = e->parked.head; node != NULL && n > 0; node = next, n--) {
		next = node->next;
		route(e, node->data);
	}
}

/*
 * Answers requests that were parked for takeover_wait_ms, and routes the others
 * again.
 */
void
forward_tick(struct mlk_entry *e)
{
	int64_t wait = entry_ms_to_ns(e->opt.takeover_wait_ms);
	GList *node, *next;
	struct request *r;

	if (g_queue_is_empty(&e->parked) || e->now < e->parked_at)
		return;
	e->parked_at = e->now + ENTRY_RETRY_NS;
	for (node = e->parked.head; node != NULL; node = next) {
		next = node->next;
		r = node->data;
		if (e->now - r->since >= wait)
			answer_unknown(e, r, "the owner of the id is unknown");
	}
	forward_route_parked(e);
}

/* ---- callers --------------------------------------------------------- */

static void
accept_from_caller(struct mlk_entry *e, struct request *r, uint64_t http)
{
	r->origin = http;
	(void)g_hash_table_insert(e->requests_http, &r->origin, r);
	route(e, r);
}

/*
 * Returns why a body is not a valid job, or NULL when it is.
 */
static const char *
body_error(const struct mlk_job_spec *spec)
{
	uint64_t bytes = 0;
	uint32_t i;

	if (spec->ntasks == 0 || spec->ntasks > MLK_TASKS_MAX ||
	    spec->id[0] == '\0')
		return ("a job has an id and 1 to 750 tasks");
	for (i = 0; i < spec->ntasks; i++)
		bytes += spec->tasks[i].payload.len;
	if (bytes > MLK_JOB_BYTES_MAX)
		return ("the payloads of a job have at most 8388608 bytes");
	return (NULL);
}

/*
 * POST /v1/jobs.
 */
void
forward_submit(struct mlk_entry *e, uint64_t http, bool wait,
    const struct mlk_job_spec *spec)
{
	const char *error = body_error(spec);
	struct request *r;

	if (error != NULL) {
		entry_reply_error(e, http, MLK_ERR_INVALID, 0, error);
		return;
	}
	r = request_new(e, spec->id, REQ_SUBMIT, wait);
	if (mlk_job_spec_copy(&r->spec, spec) != 0) {
		request_free(e, r);
		entry_reply_error(e, http, MLK_ERR_NOMEM, 0, "out of memory");
		return;
	}
	accept_from_caller(e, r, http);
}

/*
 * GET and DELETE /v1/jobs/ID.
 */
void
forward_lookup(struct mlk_entry *e, uint64_t http, bool wait, const char *id,
    enum request_kind kind)
{
	accept_from_caller(e, request_new(e, id, kind, wait), http);
}

/*
 * Handles the close of a caller's connection.  The job goes on; a submission
 * that has not been joined to its job yet is kept until it has.
 */
void
forward_request_closed(struct mlk_entry *e, uint64_t http)
{
	struct request *r;

	r = g_hash_table_lookup(e->requests_http, &http);
	if (r == NULL)
		return;
	(void)g_hash_table_remove(e->requests_http, &r->origin);
	r->origin = 0;
	if (r->kind != REQ_SUBMIT || r->state == REQ_JOINED)
		request_free(e, r);
}

/* ---- peers ----------------------------------------------------------- */

/*
 * Handles FORWARD: a request of a peer's caller for an id that this entry
 * should own.
 */
void
forward_from_peer(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	const struct mlk_job_spec *spec = &msg->u.forward.spec;
	struct request *r;

	r = request_new(e, spec->id,
	    msg->u.forward.lookup ? REQ_LOOKUP : REQ_SUBMIT,
	    msg->u.forward.wait);
	r->from_peer = true;
	r->origin = msg->u.forward.request;
	r->link = l->link;
	r->open_epoch = msg->u.forward.open_epoch;
	if (r->kind == REQ_SUBMIT && body_error(spec) != NULL) {
		forward_error(e, r, MLK_ERR_INVALID, body_error(spec));
		return;
	}
	if (r->kind == REQ_SUBMIT && mlk_job_spec_copy(&r->spec, spec) != 0) {
		forward_error(e, r, MLK_ERR_UNAVAILABLE, "out of memory");
		return;
	}
	route(e, r);
}

/*
 * Handles CANCEL from a peer, which sends a lookup for the answer right after
 * it.
 */
void
forward_cancel_from_peer(struct mlk_entry *e, struct mlk_key key)
{
	struct job *j = jobs_find(e, key);

	if (j != NULL)
		jobs_cancel(e, j);
}

/*
 * Returns whether the reply comes from an owner that was replaced according to
 * the ownership row.  Work that it reports as not run may have been run by the
 * next owner.  A report that every task is done stays true.
 */
static bool
is_superseded(const struct mlk_entry *e, const struct request *r,
    const struct mlk_msg *msg)
{
	uint32_t p = mlk_key_partition(r->key);

	if (msg->u.forward_reply.code == MLK_OK &&
	    msg->u.forward_reply.answer.outcome == MLK_OUTCOME_COMPLETE)
		return (false);
	return (msg->u.forward_reply.epoch < e->ownership.part[p].epoch);
}

/*
 * Handles FORWARD_REPLY, the owner's answer.  UNAVAILABLE means that the peer
 * does not own the id any more or could not take the request, which is then
 * parked and routed again.  Other errors go to the caller.
 */
void
forward_reply(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	uint64_t id = msg->u.forward_reply.request;
	int code = (int)msg->u.forward_reply.code;
	struct mlk_job_answer answer;
	struct request *r;

	r = g_hash_table_lookup(e->requests, &id);
	if (r == NULL || r->state != REQ_FORWARDED || r->peer != l->peer)
		return;
	if (code == MLK_ERR_UNAVAILABLE || is_superseded(e, r, msg)) {
		r->retry_at = e->now + ENTRY_RETRY_NS;
		if (msg->u.forward_reply.open)
			r->open_epoch = msg->u.forward_reply.epoch;
		forward_park(e, r);
		return;
	}
	if (code != MLK_OK) {
		forward_error(e, r, code, mlk_strerror(code));
		return;
	}
	if (mlk_job_answer_copy(&answer, &msg->u.forward_reply.answer) != 0) {
		answer_unknown(e, r, "out of memory");
		return;
	}
	forward_answer(e, r, &answer, answer.outcome == MLK_OUTCOME_PENDING);
}

/*
 * Parks the requests that were forwarded to a lost peer; they wait for the
 * next owner.
 */
void
forward_peer_lost(struct mlk_entry *e, struct peer *p)
{
	struct request *r;

	while ((r = g_queue_peek_head(&p->forwards)) != NULL)
		forward_park(e, r);
}

/*
 * Handles the close of a link to a peer.  Requests that came over it cannot be
 * answered and are dropped; the peer sends them again.  Requests that were
 * forwarded over it are parked, even if the peer has a newer link by now,
 * since no reply to them will come on that link.
 */
void
forward_link_lost(struct mlk_entry *e, uint32_t link)
{
	GPtrArray *dropped = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	struct request *r;
	guint i;

	g_hash_table_iter_init(&iter, e->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		r = value;
		if (r->link != link)
			continue;
		if (r->from_peer)
			g_ptr_array_add(dropped, r);
		else if (r->state == REQ_FORWARDED)
			forward_park(e, r);
	}
	for (i = 0; i < dropped->len; i++)
		request_free(e, g_ptr_array_index(dropped, i));
	g_ptr_array_free(dropped, TRUE);
}

/* ---- issued ids ------------------------------------------------------ */

/*
 * Generates the next id that hashes into partition p; takes about 64 attempts.
 */
static void
issue_id(struct mlk_entry *e, uint32_t p, char out[MLK_ID_MAX])
{
	do {
		e->issued++;
		(void)snprintf(out, MLK_ID_MAX, "i-%u-%u-%s-%" PRIu64, p,
		    e->part[p].epoch, e->opt.self.id, e->issued);
	} while (mlk_key_partition(mlk_key_from_id(out)) != p);
}

/*
 * GET /v1/ids: issues ids in turn from the partitions that this entry owns.
 */
void
forward_issue(struct mlk_entry *e, uint64_t http, uint32_t count)
{
	struct mlk_effect *fx;
	char(*ids)[MLK_ID_MAX];
	uint32_t n;

	if (count == 0 || count > ENTRY_ISSUE_MAX) {
		entry_reply_error(
		    e, http, MLK_ERR_INVALID, 0, "count is 1 to 1000");
		return;
	}
	if (e->owned == 0 || e->ownership_unverified) {
		entry_reply_error(e, http, MLK_ERR_UNAVAILABLE, 1000,
		    "this entry owns no partition now");
		return;
	}
	ids = calloc(count, sizeof(*ids));
	fx = ids == NULL ? NULL : mlk_effects_push(e->out, MLK_FX_REPLY_IDS);
	if (fx == NULL) {
		free(ids);
		entry_reply_error(e, http, MLK_ERR_NOMEM, 0, "out of memory");
		return;
	}
	for (n = 0; n < count; n++) {
		do {
			e->issue_partition =
			    (e->issue_partition + 1) % MLK_PARTITIONS;
		} while (!e->part[e->issue_partition].mine);
		issue_id(e, e->issue_partition, ids[n]);
	}
	fx->u.ids.request = http;
	fx->u.ids.n = count;
	fx->u.ids.ids = ids;
}

/*
 * Returns whether this process issued the id at the epoch at which it still
 * owns the id's partition.
 */
bool
forward_is_issued(const struct mlk_entry *e, const char *id)
{
	char text[MLK_ID_MAX];
	const char *number;
	uint64_t n;
	uint32_t p = mlk_key_partition(mlk_key_from_id(id));

	if (id[0] != 'i' || id[1] != '-' || !e->part[p].mine)
		return (false);
	number = strrchr(id, '-') + 1;
	n = strtoull(number, NULL, 10);
	if (n == 0 || n > e->issued)
		return (false);
	(void)snprintf(text, sizeof(text), "i-%u-%u-%s-%" PRIu64, p,
	    e->part[p].epoch, e->opt.self.id, n);
	return (strcmp(text, id) == 0);
}

/*
 * Returns whether the id was issued in this partition at a higher epoch than
 * this entry's.  The owner at that epoch may have started tasks of the id
 * without waiting until all agents are accounted for.
 */
bool
forward_issued_later(
    const struct mlk_entry *e, uint32_t partition, const char *id)
{
	uint32_t epoch, named;

	if (sscanf(id, "i-%" SCNu32 "-%" SCNu32 "-", &named, &epoch) != 2)
		return (false);
	return (named == partition && epoch > e->part[partition].epoch);
}

/*
 * Answers every waiting request when a planned stop has reached its time
 * limit.  The jobs may go on at their agents, so the answer says nothing about
 * their outcome.
 */
void
forward_stop_timeout(struct mlk_entry *e)
{
	GList *requests = g_hash_table_get_values(e->requests);
	GList *node;

	for (node = requests; node != NULL; node = node->next) {
		forward_error(e, node->data, MLK_ERR_UNAVAILABLE,
		    "this entry stops before the job has ended; "
		    "submit it again under the same id");
	}
	g_list_free(requests);
}

void
forward_free(struct mlk_entry *e)
{
	GHashTableIter iter;
	gpointer value;
	struct request *r;

	g_hash_table_iter_init(&iter, e->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		r = value;
		mlk_job_spec_clear(&r->spec);
		g_free(r);
	}
	g_hash_table_destroy(e->requests);
	g_hash_table_destroy(e->requests_http);
}
