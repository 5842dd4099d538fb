/*
 * The calls of the driver: submissions with a limited number of tries, cancels,
 * requests for ids, and single tasks sent to endpoints without an entry.
 *
 * A submission whose connection is lost is sent again under the same id to
 * another entry, as a caller would do.  Calls reuse connections ("lanes"); a
 * lane carries one call at a time and belongs to one target.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "driver.h"

/* The back-off between the tries adds up to 6.5 s, twice the time of a
 * takeover. */
#define TRIES_MAX 10U
#define BACKOFF_MIN_NS (20 * MLK_NSEC_PER_MSEC)
#define BACKOFF_MAX_NS (2000 * MLK_NSEC_PER_MSEC)
/* A target that lost a call is not selected for this time. */
#define AVOID_NS (1000 * MLK_NSEC_PER_MSEC)
#define ANSWER_TIMEOUT_MS 150000U /* above the longest straggler */
#define SHORT_TIMEOUT_MS 5000U /* cancels, requests for ids, controls */
#define IDS_PER_CALL 200U
#define IDS_LOW 50U /* with fewer ids left, more are requested */
#define WRONG_SHOWN_MAX 400U /* bytes printed of a wrong answer */
#define HTTP_OK 200

/*
 * Returns the target of a try: the target drawn for the job, or the next one
 * for each further try, skipping those that recently lost a call.
 */
static uint32_t
choose_target(const struct driver *d, uint32_t job, uint32_t try)
{
	uint32_t n = d->run->ntargets;
	uint32_t first, i, t;

	first = (uint32_t)((d->run->arrivals->jobs[job].pick + try) % n);
	for (i = 0; i < n; i++) {
		t = (first + i) % n;
		if (d->targets[t].avoid_until <= d->now)
			return (t);
	}
	return (first);
}

/*
 * Returns the endpoint with the fewest tasks in flight; ties are broken
 * starting from a random endpoint.
 */
static uint32_t
choose_endpoint(struct driver *d)
{
	uint32_t n = d->run->ntargets;
	uint32_t best = mlk_rng_below(&d->rng, n);
	uint32_t i, t, first = best;

	for (i = 1; i < n; i++) {
		t = (first + i) % n;
		if (d->targets[t].in_flight < d->targets[best].in_flight)
			best = t;
	}
	return (best);
}

/*
 * Returns a free connection to the target, or the number of a new one; 0 when
 * each call opens its own connection.
 */
static uint32_t
take_lane(struct driver *d, struct target *t)
{
	uint32_t lane;

	if (d->run->own_connections) {
		d->run->connections++;
		return (0);
	}
	if (t->free_lanes->len == 0) {
		d->run->connections++;
		return (d->next_lane++);
	}
	lane = g_array_index(t->free_lanes, uint32_t, t->free_lanes->len - 1);
	(void)g_array_set_size(t->free_lanes, t->free_lanes->len - 1);
	return (lane);
}

static struct call *
new_call(struct driver *d, enum call_type type, uint32_t target, uint32_t job,
    uint32_t index)
{
	struct call *c = g_new0(struct call, 1);

	c->id = d->next_call++;
	c->type = type;
	c->target = target;
	c->job = job;
	c->index = index;
	if (type != CALL_CONTROL) {
		c->lane = take_lane(d, &d->targets[target]);
		d->targets[target].in_flight++;
	}
	(void)g_hash_table_insert(d->calls, &c->id, c);
	return (c);
}

static void
end_call(struct driver *d, struct call *c)
{
	struct target *t = &d->targets[c->target];

	if (c->type != CALL_CONTROL) {
		t->in_flight--;
		if (c->lane != 0)
			g_array_append_val(t->free_lanes, c->lane);
	}
	(void)g_hash_table_remove(d->calls, &c->id);
}

/*
 * Sends a call.  When the loop rejects it, the call ends with
 * MLK_HTTP_NOT_SENT.
 */
static void
send_call(struct driver *d, const struct call *c, struct mlk_http_call *http)
{
	struct mlk_net_event ev = { .type = MLK_NET_HTTP_RESPONSE };
	struct mlk_error err;

	http->call = c->id;
	http->lane = c->lane;
	if (http->addr == NULL)
		http->addr = d->run->targets[c->target];
	if (http->headers == NULL)
		http->headers = d->headers;
	if (mlk_loop_http_call(d->loop, http, &err) == 0)
		return;
	ev.u.response.call = c->id;
	ev.u.response.result = MLK_HTTP_NOT_SENT;
	driver_response(d, &ev);
}

/*
 * Ends a job with its first answer.  A later answer with a different outcome is
 * recorded as a disagreement.
 */
void
driver_close_job(
    struct driver *d, uint32_t job, const struct mlk_load_verdict *verdict)
{
	struct mlk_load_record *r = &d->run->records[job];

	if (r->ended == 0) {
		r->ended = d->now;
		r->verdict = *verdict;
		d->open_jobs--;
		return;
	}
	r->verdict.partial |= verdict->partial;
	r->verdict.crossed |= verdict->crossed;
	if (verdict->outcome != r->verdict.outcome &&
	    verdict->outcome != MLK_LOAD_NONE)
		r->disagrees = true;
}

/*
 * Schedules the next try of a submission.  After TRIES_MAX tries it ends the
 * job, once no other submission of the job is in flight.
 */
static void
retry_later(struct driver *d, uint32_t job, uint32_t try,
    const struct mlk_load_verdict *verdict)
{
	struct mlk_load_record *r = &d->run->records[job];
	int64_t wait = BACKOFF_MIN_NS << MIN(try, 10U);

	if (r->ended != 0)
		return;
	if (try + 1 < TRIES_MAX) {
		driver_schedule(d, d->now + MIN(wait, BACKOFF_MAX_NS),
		    ACTION_RETRY, job, try + 1);
	} else if (r->submissions_open == 0) {
		driver_close_job(d, job, verdict);
	}
}

static void
send_job(struct driver *d, uint32_t job, uint32_t try, uint32_t target)
{
	struct mlk_load_record *r = &d->run->records[job];
	struct mlk_http_call http = {
		.method = "POST",
		.path = "/v1/jobs",
		.timeout_ms = ANSWER_TIMEOUT_MS,
	};
	char *body = driver_job_body(d->run, job, &http.body_len);

	r->tries++;
	r->submissions_open++;
	http.body = body;
	send_call(d, new_call(d, CALL_SUBMIT, target, job, try), &http);
	free(body);
}

static void
request_ids(struct driver *d, uint32_t target)
{
	struct mlk_http_call http = {
		.method = "GET",
		.timeout_ms = SHORT_TIMEOUT_MS,
	};
	char path[64];

	if (d->targets[target].ids_requested)
		return;
	d->targets[target].ids_requested = true;
	(void)snprintf(path, sizeof(path), "/v1/ids?count=%u", IDS_PER_CALL);
	http.path = path;
	send_call(d, new_call(d, CALL_IDS, target, 0, 0), &http);
}

/*
 * Sends a job under an id that the target issued; when none is left, the job
 * waits for the next batch.  Later tries keep the id of the first.
 */
static void
send_with_issued_id(
    struct driver *d, uint32_t job, uint32_t try, uint32_t target)
{
	struct mlk_load_record *r = &d->run->records[job];
	struct target *t = &d->targets[target];
	struct id_waiter *w;

	if (r->id == NULL)
		r->id = g_queue_pop_head(t->ids);
	if (r->id != NULL) {
		send_job(d, job, try, target);
	} else {
		w = g_new0(struct id_waiter, 1);
		w->job = job;
		w->try = try;
		g_queue_push_tail(t->waiting, w);
	}
	if (g_queue_get_length(t->ids) < IDS_LOW)
		request_ids(d, target);
}

static void
send_tasks(struct driver *d, uint32_t job)
{
	const struct mlk_load_job *j = &d->run->arrivals->jobs[job];
	struct mlk_load_record *r = &d->run->records[job];
	struct mlk_http_call http;
	char headers[256], *payload;
	char hex[MLK_KEY_HEX_LEN + 1];
	uint32_t i;

	mlk_key_format(mlk_key_from_id(r->id), hex);
	r->tasks_open = j->ntasks;
	r->tries = 1;
	r->verdict.outcome = MLK_LOAD_COMPLETE;
	for (i = 0; i < j->ntasks; i++) {
		memset(&http, 0, sizeof(http));
		payload = driver_task_payload(d->run, job, i);
		(void)snprintf(headers, sizeof(headers),
		    "X-Submission-Id: %s\r\nX-Task-Index: %u\r\n"
		    "X-Task-Kind: %s\r\n",
		    hex, i, d->run->sc->kinds[j->kind].name);
		http.method = "POST";
		http.path = "/run";
		http.headers = headers;
		http.body = payload;
		http.body_len = strlen(payload);
		http.timeout_ms = ANSWER_TIMEOUT_MS;
		send_call(d, new_call(d, CALL_TASK, choose_endpoint(d), job, i),
		    &http);
		g_free(payload);
	}
}

/*
 * Sends a job; try is the number of the try, from 0.
 */
void
driver_submit(struct driver *d, uint32_t job, uint32_t try)
{
	struct mlk_load_record *r = &d->run->records[job];
	uint32_t target;

	if (r->sent == 0)
		r->sent = d->now;
	if (d->run->mode == MLK_LOAD_TO_ENDPOINTS) {
		send_tasks(d, job);
		return;
	}
	target = choose_target(d, job, try);
	if (d->run->sc->issued_ids)
		send_with_issued_id(d, job, try, target);
	else
		send_job(d, job, try, target);
}

/*
 * Sends a cancel to an entry; the job ends with the answer to its submission.
 */
void
driver_cancel(struct driver *d, uint32_t job)
{
	struct mlk_load_record *r = &d->run->records[job];
	struct mlk_http_call http = {
		.method = "DELETE",
		.timeout_ms = SHORT_TIMEOUT_MS,
	};
	char *path;

	if (r->ended != 0 || r->id == NULL)
		return;
	r->cancelled = true;
	path = g_strdup_printf("/v1/jobs/%s", r->id);
	http.path = path;
	send_call(d,
	    new_call(d, CALL_CANCEL, choose_target(d, job, r->tries), job, 0),
	    &http);
	g_free(path);
}

/*
 * Sends POST /control to a stand-in without blocking the load.
 */
void
driver_control(
    struct driver *d, const struct mlk_deploy_process *p, const char *body)
{
	struct mlk_http_call http = {
		.method = "POST",
		.path = "/control",
		.headers = "Content-Type: text/plain\r\n",
		.body = body,
		.body_len = strlen(body),
		.addr = p->http,
		.timeout_ms = SHORT_TIMEOUT_MS,
	};

	send_call(d, new_call(d, CALL_CONTROL, 0, 0, 0), &http);
}

static void
count_lost(struct mlk_load_run *run, enum mlk_http_result result)
{
	run->calls_lost++;
	if (result == MLK_HTTP_NOT_SENT)
		run->calls_not_sent++;
	else if (result == MLK_HTTP_TIMEOUT)
		run->calls_timed_out++;
}

/*
 * Prints the beginning of an answer that is partial or belongs to another job
 * or task.
 */
static void
print_wrong_answer(const char *id, const struct mlk_net_event *ev,
    const struct mlk_load_verdict *verdict)
{
	if (!verdict->partial && !verdict->crossed)
		return;
	(void)fprintf(stderr, "wrong answer to %s, status %d: %.*s\n", id,
	    ev->u.response.status,
	    (int)MIN(ev->u.response.body_len, WRONG_SHOWN_MAX),
	    (const char *)ev->u.response.body);
}

/*
 * Discards the issued ids of a target that lost a call: they are valid only
 * while the entry that issued them owns their partition.
 */
static void
drop_ids(struct target *t)
{
	char *id;

	while ((id = g_queue_pop_head(t->ids)) != NULL)
		g_free(id);
}

static void
on_submit_answer(
    struct driver *d, const struct call *c, const struct mlk_net_event *ev)
{
	struct mlk_load_record *r = &d->run->records[c->job];
	struct mlk_load_verdict verdict;

	memset(&verdict, 0, sizeof(verdict));
	r->submissions_open--;
	if (ev->u.response.result != MLK_HTTP_OK) {
		count_lost(d->run, ev->u.response.result);
		d->targets[c->target].avoid_until = d->now + AVOID_NS;
		drop_ids(&d->targets[c->target]);
		(void)snprintf(verdict.reason, sizeof(verdict.reason),
		    "connection lost, result %d", ev->u.response.result);
		retry_later(d, c->job, c->index, &verdict);
		return;
	}
	mlk_load_check(r->id, d->run->arrivals->jobs[c->job].ntasks,
	    ev->u.response.status, ev->u.response.body, ev->u.response.body_len,
	    &verdict);
	print_wrong_answer(r->id, ev, &verdict);
	if (verdict.retry) {
		/* As a load balancer treats an instance that is not ready. */
		d->targets[c->target].avoid_until = d->now + AVOID_NS;
		retry_later(d, c->job, c->index, &verdict);
	} else
		driver_close_job(d, c->job, &verdict);
}

static void
on_task_answer(
    struct driver *d, const struct call *c, const struct mlk_net_event *ev)
{
	struct mlk_load_record *r = &d->run->records[c->job];
	struct mlk_load_verdict verdict = r->verdict;

	if (ev->u.response.result != MLK_HTTP_OK) {
		count_lost(d->run, ev->u.response.result);
		verdict.unknown++;
	} else if (ev->u.response.status != HTTP_OK) {
		verdict.failed++;
	} else {
		verdict.done++;
		if (!mlk_load_result_matches(mlk_key_from_id(r->id), c->index,
			(const char *)ev->u.response.body,
			ev->u.response.body_len))
			verdict.crossed = true;
	}
	if (verdict.failed + verdict.unknown > 0)
		verdict.outcome = MLK_LOAD_FAILED;
	r->verdict = verdict;
	if (--r->tasks_open == 0)
		driver_close_job(d, c->job, &verdict);
}

/*
 * Sends the submissions that are waiting for an id.  When no id was received,
 * they are retried at another entry.
 */
static void
on_ids_answer(
    struct driver *d, const struct call *c, const struct mlk_net_event *ev)
{
	struct target *t = &d->targets[c->target];
	GQueue waiting = *t->waiting;
	struct mlk_load_verdict none;
	struct id_waiter *w;
	json_t *root = NULL, *ids;
	size_t i;

	t->ids_requested = false;
	g_queue_init(t->waiting);
	if (ev->u.response.result == MLK_HTTP_OK)
		root = json_loadb((const char *)ev->u.response.body,
		    ev->u.response.body_len, 0, NULL);
	ids = json_object_get(root, "ids");
	for (i = 0; i < json_array_size(ids); i++)
		g_queue_push_tail(t->ids,
		    g_strdup(json_string_value(json_array_get(ids, i))));
	if (json_array_size(ids) == 0)
		t->avoid_until = d->now + AVOID_NS;
	json_decref(root);
	memset(&none, 0, sizeof(none));
	(void)snprintf(none.reason, sizeof(none.reason), "no id was issued");
	while ((w = g_queue_pop_head(&waiting)) != NULL) {
		if (g_queue_is_empty(t->ids))
			retry_later(d, w->job, w->try, &none);
		else
			send_with_issued_id(d, w->job, w->try, c->target);
		g_free(w);
	}
}

/*
 * Handles the answer to any call.
 */
void
driver_response(struct driver *d, const struct mlk_net_event *ev)
{
	struct call *found, c;

	found = g_hash_table_lookup(d->calls, &ev->u.response.call);
	if (found == NULL)
		return;
	c = *found;
	end_call(d, found);
	switch (c.type) {
	case CALL_SUBMIT:
		on_submit_answer(d, &c, ev);
		break;
	case CALL_TASK:
		on_task_answer(d, &c, ev);
		break;
	case CALL_IDS:
		on_ids_answer(d, &c, ev);
		break;
	case CALL_CONTROL:
		if (ev->u.response.result != MLK_HTTP_OK ||
		    ev->u.response.status != HTTP_OK)
			(void)fprintf(
			    stderr, "control request to a stand-in failed\n");
		break;
	case CALL_CANCEL:
		break;
	}
}
