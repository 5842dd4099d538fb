/*
 * monsoonlock-claims-bench: measures the time from the arrival of a submission
 * until it may start, for the options of docs/decisions/ownership.md.
 *
 * "claims" is the option that the dispatcher does not use: a row per submission
 * in the table service, with group commit.  This program simulates the entries.
 * Each of them claims all waiting submissions in one transaction as soon as its
 * previous transaction has returned; they may start when it has committed.
 *
 * "chosen" and "issued" send jobs of one empty task to real entries, with an id
 * chosen by the caller or an id from GET /v1/ids, which is requested when the
 * job arrives.  Their time ends when the endpoint starts the task, so it
 * includes the whole path through the dispatcher.
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/net.h>

#include "deploy.h"

#define ENTRIES 3
#define WORKERS 10
#define SLOTS 8
#define LANES 64 /* connections to each entry */
#define DRAIN_NS (3 * MLK_NSEC_PER_SEC) /* after the last arrival */
#define READY_TIMEOUT_MS 20000U
#define CALL_TIMEOUT_MS 5000U
#define TICK_MS 10U
#define SEED 31
#define HTTP_OK 200
#define STORE_RETRY_NS (10 * MLK_NSEC_PER_MSEC)
/* Claims in one transaction; more than the rows that the service writes in 1 s.
 */
#define BATCH_MAX 4096U
/* Pause between runs: the service limits writes per second, and a run must not
 * share a second with the run before it. */
#define WINDOW_US 1000000
#define JSON_HEADER "Content-Type: application/json\r\n"

enum option {
	OPTION_CLAIMS,
	OPTION_CHOSEN,
	OPTION_ISSUED,
};

/* A state of the table service, with the control request that sets it. */
struct store_state {
	const char *name;
	const char *control;
};

static const struct store_state states[] = {
	{ "up", "mode=up" },
	{ "slow", "mode=slow&slow_ms=200" },
	{ "down", "mode=down&refuse=503" },
};

static const uint32_t rates[] = { 50, 200, 400, 1000, 4000 };

struct submission {
	int64_t at; /* arrival, monotonic ns */
	int64_t started; /* monotonic ns; 0: not started */
};

/* A simulated entry of OPTION_CLAIMS. */
struct claimer {
	GQueue waiting; /* submissions by index */
	GArray *batch; /* indexes in the transaction in flight */
	uint32_t limit; /* size of the next batch */
	int64_t retry_at; /* monotonic ns */
};

struct bench {
	/* Options. */
	char *bin_dir;
	int seconds;

	struct mlk_deploy *deploy;
	struct mlk_loop *loop;
	struct mlk_rng rng;
	enum option option;
	uint32_t rate;
	uint32_t run; /* number of the run, part of its ids */
	struct submission *list;
	uint32_t n;
	uint32_t arrived;
	uint32_t answered;
	uint32_t started;
	uint32_t refused; /* transactions not committed */
	uint32_t txns;
	struct claimer claimers[ENTRIES];
	const char *platform;
	const char *entries[ENTRIES];
	int64_t run_start, end;
};

static int64_t
now_ns(void)
{
	return (mlk_clock_now(mlk_clock_system()));
}

/*
 * Sends a call; number is the index of its submission or claimer.
 */
static void
send_call(struct bench *b, uint64_t number, uint32_t lane, const char *method,
    const char *addr, const char *path, const char *body)
{
	struct mlk_http_call c = { 0 };
	struct mlk_error err;

	c.call = number + 1;
	c.lane = lane + 1;
	c.method = method;
	c.addr = addr;
	c.path = path;
	c.headers = JSON_HEADER;
	c.body = body;
	c.body_len = body == NULL ? 0 : strlen(body);
	c.timeout_ms = CALL_TIMEOUT_MS;
	if (mlk_loop_http_call(b->loop, &c, &err) != 0)
		(void)fprintf(
		    stderr, "monsoonlock-claims-bench: %s\n", err.msg);
}

static void
record_start(struct bench *b, uint32_t i, int64_t at)
{
	b->list[i].started = at;
	b->started++;
}

/* ---- claims ------------------------------------------------------------- */

/*
 * Claims the waiting submissions, if the claimer has no transaction in flight.
 */
static void
claim(struct bench *b, uint32_t k)
{
	struct claimer *c = &b->claimers[k];
	GString *conditions, *writes;
	char *body;
	uint32_t i;

	if (c->batch->len > 0 || g_queue_is_empty(&c->waiting) ||
	    now_ns() < c->retry_at)
		return;
	conditions = g_string_new(NULL);
	writes = g_string_new(NULL);
	while (c->batch->len < c->limit && !g_queue_is_empty(&c->waiting)) {
		i = GPOINTER_TO_UINT(g_queue_pop_head(&c->waiting));
		g_string_append_printf(conditions,
		    "%s{\"key\":\"claim/%u-%u\",\"version\":0}",
		    c->batch->len == 0 ? "" : ",", b->run, i);
		g_string_append_printf(writes,
		    "%s{\"key\":\"claim/%u-%u\",\"value\":"
		    "{\"owner\":\"entry-%u\"}}",
		    c->batch->len == 0 ? "" : ",", b->run, i, k + 1);
		g_array_append_val(c->batch, i);
	}
	body = g_strdup_printf("{\"conditions\":[%s],\"writes\":[%s],"
			       "\"reads\":[]}",
	    conditions->str, writes->str);
	b->txns++;
	send_call(b, k, k, "POST", b->platform, "/v1/txn", body);
	g_free(body);
	(void)g_string_free(conditions, TRUE);
	(void)g_string_free(writes, TRUE);
}

/*
 * Puts the claims of a refused transaction back at the front of the queue, in
 * their order.  The next batch is half as long, so that it may stay within the
 * write limit of the service.
 */
static void
requeue_claims(struct bench *b, struct claimer *c)
{
	guint i;

	b->refused++;
	c->limit = MAX(c->batch->len / 2, 1);
	c->retry_at = now_ns() + STORE_RETRY_NS;
	mlk_loop_wake(b->loop, c->retry_at);
	for (i = c->batch->len; i > 0; i--)
		g_queue_push_head(&c->waiting,
		    GUINT_TO_POINTER(g_array_index(c->batch, uint32_t, i - 1)));
}

static void
on_claim_answer(struct bench *b, uint32_t k, bool ok)
{
	struct claimer *c = &b->claimers[k];
	int64_t now = now_ns();
	guint i;

	if (ok) {
		for (i = 0; i < c->batch->len; i++)
			record_start(
			    b, g_array_index(c->batch, uint32_t, i), now);
		b->answered += c->batch->len;
		c->limit = MIN(c->limit * 2, BATCH_MAX);
	} else {
		requeue_claims(b, c);
	}
	g_array_set_size(c->batch, 0);
	claim(b, k);
}

/* ---- jobs --------------------------------------------------------------- */

static uint32_t
lane_number(uint32_t i)
{
	return (i % (ENTRIES * LANES));
}

static void
submit(struct bench *b, uint32_t i, const char *id)
{
	char *body;

	body = g_strdup_printf("{\"id\":\"%s\",\"tasks\":[{\"kind\":\"a\","
			       "\"payload\":\"ms=0 clock=1\"}]}",
	    id);
	send_call(b, i, lane_number(i), "POST", b->entries[i % ENTRIES],
	    "/v1/jobs", body);
	g_free(body);
}

static void
submit_or_claim(struct bench *b, uint32_t i)
{
	char id[64];

	if (b->option == OPTION_CLAIMS) {
		g_queue_push_tail(
		    &b->claimers[i % ENTRIES].waiting, GUINT_TO_POINTER(i));
		claim(b, i % ENTRIES);
	} else if (b->option == OPTION_ISSUED) {
		send_call(b, i, lane_number(i), "GET", b->entries[i % ENTRIES],
		    "/v1/ids?count=1", NULL);
	} else {
		(void)snprintf(id, sizeof(id), "claims-%u-%u", b->run, i);
		submit(b, i, id);
	}
}

/*
 * Handles an answer to GET /v1/ids, {"ids":["i-..."]}, or to a job, whose
 * result has the start time of the task as "clock=N".
 */
static void
on_job_answer(struct bench *b, uint32_t i, const char *text)
{
	const char *at;
	char *id;

	at = strstr(text, "\"i-");
	if (at != NULL && strncmp(text, "{\"ids\"", strlen("{\"ids\"")) == 0) {
		id = g_strndup(at + 1, strcspn(at + 1, "\""));
		submit(b, i, id);
		g_free(id);
		return;
	}
	b->answered++;
	at = strstr(text, "clock=");
	if (at != NULL)
		record_start(b, i, strtoll(at + strlen("clock="), NULL, 10));
}

/* ---- one run ------------------------------------------------------------ */

static void
on_response(struct bench *b, const struct mlk_net_event *ev)
{
	bool ok = ev->u.response.result == MLK_HTTP_OK &&
	    ev->u.response.status == HTTP_OK;
	uint32_t number = (uint32_t)ev->u.response.call - 1;
	bool committed;
	char *text;

	text = ok ? g_strndup((const char *)ev->u.response.body,
			ev->u.response.body_len) :
		    g_strdup("");
	committed = strstr(text, "\"committed\":true") != NULL;
	if (b->option == OPTION_CLAIMS)
		on_claim_answer(b, number, committed);
	else
		on_job_answer(b, number, text);
	g_free(text);
}

static void
tick(struct bench *b)
{
	int64_t now = now_ns();
	uint32_t k;

	while (b->arrived < b->n && b->list[b->arrived].at <= now)
		submit_or_claim(b, b->arrived++);
	if (b->arrived < b->n)
		mlk_loop_wake(b->loop, b->list[b->arrived].at);
	for (k = 0; k < ENTRIES && b->option == OPTION_CLAIMS; k++)
		claim(b, k);
	if (b->answered == b->n || now >= b->end + DRAIN_NS)
		mlk_loop_stop(b->loop);
}

static void
handle(void *arg, const struct mlk_net_event *ev)
{
	struct bench *b = arg;

	if (ev->type == MLK_NET_HTTP_RESPONSE)
		on_response(b, ev);
	else if (ev->type == MLK_NET_TICK)
		tick(b);
	else if (ev->type == MLK_NET_STOP)
		mlk_loop_stop(b->loop);
}

/*
 * Draws the arrivals of a Poisson process.
 */
static void
draw_arrivals(struct bench *b)
{
	int64_t at = b->run_start;
	double u;
	uint32_t i;

	b->n = b->rate * (uint32_t)b->seconds;
	b->list = g_new0(struct submission, b->n);
	for (i = 0; i < b->n; i++) {
		u = ((double)(mlk_rng_next(&b->rng) >> 11) + 1.0) /
		    ((double)(1ULL << 53) + 1.0);
		at += (int64_t)(-log(u) / b->rate * (double)MLK_NSEC_PER_SEC);
		b->list[i].at = at;
	}
	b->end = at;
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return ((x > y) - (x < y));
}

static void
print_quantile(const double *sorted, uint32_t n, double q)
{
	uint32_t rank = (uint32_t)ceil(q * n);
	double ms = sorted[rank == 0 ? 0 : rank - 1];

	if (isinf(ms))
		(void)printf(" | never");
	else
		(void)printf(" | %.1f", ms);
}

/*
 * Prints a row of the table.  Submissions that have not started count as
 * infinitely late.  The rate of starts includes the submissions that started by
 * the time of the last arrival.
 */
static void
print_run(const struct bench *b, const char *option, const char *state)
{
	double *ms = g_new0(double, b->n);
	uint32_t i, in_time = 0;

	for (i = 0; i < b->n; i++) {
		ms[i] = b->list[i].started == 0 ?
		    INFINITY :
		    (double)(b->list[i].started - b->list[i].at) /
			(double)MLK_NSEC_PER_MSEC;
		in_time +=
		    b->list[i].started != 0 && b->list[i].started <= b->end;
	}
	qsort(ms, b->n, sizeof(*ms), compare_doubles);
	(void)printf("| %s | %s | %u", option, state, b->rate);
	print_quantile(ms, b->n, 0.5);
	print_quantile(ms, b->n, 0.99);
	(void)printf(" | %.0f | %u of %u | %u, %u |\n",
	    in_time /
		((double)(b->end - b->run_start) / (double)MLK_NSEC_PER_SEC),
	    b->started, b->n, b->txns, b->refused);
	(void)fflush(stdout);
	g_free(ms);
}

static int
run_once(
    struct bench *b, const char *name, const char *state, struct mlk_error *err)
{
	struct mlk_loop_options options = { .arg = b,
		.handle = handle,
		.clock = mlk_clock_system(),
		.tick_ms = TICK_MS };
	uint32_t k;

	b->loop = mlk_loop_create(&options, err);
	if (b->loop == NULL)
		return (err->code);
	for (k = 0; k < ENTRIES; k++) {
		g_queue_init(&b->claimers[k].waiting);
		b->claimers[k].batch =
		    g_array_new(FALSE, FALSE, sizeof(uint32_t));
		b->claimers[k].limit = BATCH_MAX;
		b->claimers[k].retry_at = 0;
	}
	b->run++;
	b->arrived = b->answered = b->started = b->refused = b->txns = 0;
	b->run_start = now_ns();
	draw_arrivals(b);
	if (mlk_loop_run(b->loop) != 0)
		(void)mlk_error_set(err, MLK_ERR_IO, "the event loop failed");
	else
		print_run(b, name, state);
	mlk_loop_destroy(b->loop);
	for (k = 0; k < ENTRIES; k++) {
		g_queue_clear(&b->claimers[k].waiting);
		(void)g_array_free(b->claimers[k].batch, TRUE);
	}
	g_free(b->list);
	return (err->code);
}

/* ---- all runs ----------------------------------------------------------- */

static int
run_states(struct bench *b, enum option option, const char *name,
    struct mlk_error *err)
{
	size_t s, r, n;

	b->option = option;
	for (s = 0; s < G_N_ELEMENTS(states); s++) {
		if (mlk_deploy_control(
			b->deploy, "platform", states[s].control, err) != 0)
			return (err->code);
		n = G_N_ELEMENTS(rates);
		/* No claim is written at any rate, so one rate is enough. */
		if (option == OPTION_CLAIMS &&
		    strcmp(states[s].name, "down") == 0)
			n = 1;
		for (r = 0; r < n; r++) {
			g_usleep(WINDOW_US);
			b->rate = rates[r];
			if (run_once(b, name, states[s].name, err) != 0)
				return (err->code);
		}
	}
	return (mlk_deploy_control(b->deploy, "platform", "mode=up", err));
}

static int
deploy(
    struct bench *b, uint32_t entries, uint32_t workers, struct mlk_error *err)
{
	struct mlk_deploy_options options = { .bin_dir = b->bin_dir,
		.entries = entries,
		.workers = workers,
		.slots = SLOTS };
	const struct mlk_deploy_process *p;
	uint32_t i;

	if (mlk_deploy_create(&options, &b->deploy, err) != 0 ||
	    mlk_deploy_start(b->deploy, err) != 0 ||
	    mlk_deploy_wait_ready(b->deploy, READY_TIMEOUT_MS, err) != 0)
		return (err->code);
	b->platform = mlk_deploy_find(b->deploy, "platform")->http;
	for (i = 0; i < mlk_deploy_count(b->deploy); i++) {
		p = mlk_deploy_at(b->deploy, i);
		if (p->role == MLK_DEPLOY_ENTRY)
			b->entries[p->index] = p->http;
	}
	return (0);
}

static void
undeploy(struct bench *b)
{
	if (b->deploy != NULL)
		mlk_deploy_destroy(b->deploy);
	b->deploy = NULL;
}

static int
run_claims(struct bench *b, struct mlk_error *err)
{
	int error;

	error = deploy(b, 0, 0, err);
	if (error == 0)
		error = run_states(
		    b, OPTION_CLAIMS, "claims, limit on transactions", err);
	if (error == 0)
		error = mlk_deploy_control(
		    b->deploy, "platform", "limit=rows", err);
	if (error == 0)
		error =
		    run_states(b, OPTION_CLAIMS, "claims, limit on rows", err);
	undeploy(b);
	return (error);
}

static int
run_jobs(struct bench *b, struct mlk_error *err)
{
	int error;

	error = deploy(b, ENTRIES, WORKERS, err);
	if (error == 0)
		error = run_states(b, OPTION_CHOSEN, "chosen id", err);
	if (error == 0)
		error = run_states(b, OPTION_ISSUED, "issued id", err);
	undeploy(b);
	return (error);
}

static bool
parse_options(struct bench *b, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
		{ "bin", 0, 0, G_OPTION_ARG_FILENAME, &b->bin_dir,
		    "Directory of the programs", "DIR" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &b->seconds,
		    "Length of the arrivals of a run", "S" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context;
	bool ok;

	context =
	    g_option_context_new("- measures when a submission may start");
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, NULL) &&
	    b->bin_dir != NULL && b->seconds > 0 && b->seconds <= 600;
	g_option_context_free(context);
	if (!ok) {
		(void)fprintf(stderr,
		    "monsoonlock-claims-bench: --bin is required, and "
		    "--seconds must be from 1 to 600\n");
	}
	return (ok);
}

int
main(int argc, char **argv)
{
	struct bench b = { .seconds = 4 };
	struct mlk_error err = { 0 };

	if (!parse_options(&b, &argc, &argv))
		return (2);
	mlk_rng_seed(&b.rng, SEED);
	(void)printf("| option | store | arrivals/s | p50 ms | p99 ms | "
		     "started/s | started | transactions, refused |\n"
		     "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
	if (run_claims(&b, &err) != 0 || run_jobs(&b, &err) != 0)
		(void)fprintf(
		    stderr, "monsoonlock-claims-bench: %s\n", err.msg);
	undeploy(&b);
	g_free(b.bin_dir);
	return (err.code == 0 ? 0 : 1);
}
