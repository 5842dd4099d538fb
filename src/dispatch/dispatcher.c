/*
 * The dispatcher of an entry: accepts callers' jobs, places their tasks on
 * workers and answers.  Every event ends with the same pass: timed work on a
 * tick, then placement of queued tasks.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

#define DEFAULT_MAX_JOBS 20000
#define DEFAULT_GRACE_MS 5000
/* Part of the grace period that is kept for the last answers. */
#define EXIT_MARGIN_NS (500 * MS)

void
mlk_dispatcher_options_default(struct mlk_dispatcher_options *options)
{
	memset(options, 0, sizeof(*options));
	options->max_jobs = DEFAULT_MAX_JOBS;
	options->grace_ms = DEFAULT_GRACE_MS;
}

/*
 * Returns a new dispatcher, which keeps a copy of the options.
 */
struct mlk_dispatcher *
mlk_dispatcher_create(const struct mlk_dispatcher_options *options)
{
	struct mlk_dispatcher *d;
	uint32_t i;

	d = g_new0(struct mlk_dispatcher, 1);
	d->options = *options;
	d->options.entries = NULL;
	d->options.pairs = NULL;
	mlk_rng_seed(&d->rng, options->seed);
	d->links =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	d->peers = g_ptr_array_new_with_free_func(g_free);
	d->agents = g_ptr_array_new_with_free_func(dispatch_agent_free_record);
	d->jobs = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, dispatch_job_free);
	d->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	d->by_request =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	d->runtimes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->interference = dispatch_interference_create(options);
	d->queue = g_sequence_new(NULL);
	if (options->admission == MLK_ADMISSION_SHARES) {
		d->demand = demand_create();
		d->admission = dispatch_admission_create();
	}
	evacuations_init(&d->evacuations);
	d->pool_speeds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->updated_agents = g_ptr_array_new();
	d->new_jobs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_queue_init(&d->parked);
	for (i = 0; i < options->nentries; i++)
		(void)dispatch_peer_learn(d, options->entries[i], true);
	return (d);
}

void
mlk_dispatcher_destroy(struct mlk_dispatcher *d)
{
	if (d == NULL)
		return;
	dispatch_interference_destroy(d->interference);
	g_sequence_free(d->queue);
	evacuations_clear(&d->evacuations);
	(void)g_ptr_array_free(d->updated_agents, TRUE);
	(void)g_array_free(d->new_jobs, TRUE);
	g_queue_clear_full(&d->parked, dispatch_parked_free);
	g_hash_table_destroy(d->runtimes);
	g_hash_table_destroy(d->pool_speeds);
	g_hash_table_destroy(d->by_request);
	g_hash_table_destroy(d->by_id);
	g_hash_table_destroy(d->jobs);
	g_ptr_array_free(d->agents, TRUE);
	g_ptr_array_free(d->peers, TRUE);
	g_hash_table_destroy(d->links);
	mlk_routing_clear(&d->routing);
	dispatch_admission_destroy(d->admission);
	demand_destroy(d->demand);
	g_free(d);
}

/*
 * Logs a decision; job and worker may be NULL.
 */
void
dispatch_log(struct mlk_dispatcher *d, enum mlk_log_level level,
    const struct job *job, const char *worker, const char *fmt, ...)
{
	struct mlk_dispatch_effect *fx;
	va_list ap;

	fx = mlk_dispatch_push(d->out, MLK_DISPATCH_FX_LOG);
	if (fx == NULL)
		return;
	fx->u.log.level = level;
	if (worker != NULL)
		(void)g_strlcpy(
		    fx->u.log.worker, worker, sizeof(fx->u.log.worker));
	if (job != NULL) {
		(void)g_strlcpy(fx->u.log.job, job->id, sizeof(fx->u.log.job));
		(void)g_strlcpy(fx->u.log.request, job->request_id,
		    sizeof(fx->u.log.request));
	}
	va_start(ap, fmt);
	(void)vsnprintf(fx->u.log.text, sizeof(fx->u.log.text), fmt, ap);
	va_end(ap);
}

/*
 * Detects a pause of this process by the time since the last event.  What
 * arrived during the pause has to be read before any peer is timed out.
 */
static void
detect_pause(struct mlk_dispatcher *d, int64_t now)
{
	int64_t gap;

	if (d->created == 0)
		d->created = now;
	gap = d->now == 0 ? 0 : now - d->now;
	d->now = now;
	if (gap >= PAUSE_NS) {
		d->pause = gap;
		d->paused_until = now + PAUSE_GRACE_NS;
		dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
		    "this process was paused for %" PRId64 " ms", gap / MS);
	} else if (now >= d->paused_until) {
		d->pause = 0;
	}
}

static void
begin_stop(struct mlk_dispatcher *d)
{
	if (d->stopping)
		return;
	d->stopping = true;
	d->stop_since = d->now;
	dispatch_log(d, MLK_LOG_NOTICE, NULL, NULL,
	    "planned stop: %u jobs at work", g_hash_table_size(d->jobs));
}

/*
 * Completes the planned stop when the load balancer has stopped sending
 * connections and every job is answered, or when the grace period is nearly
 * over.
 */
static void
stop_due(struct mlk_dispatcher *d)
{
	int64_t since;

	if (!d->stopping || d->exited)
		return;
	since = d->now - d->stop_since;
	if (since >= (int64_t)d->options.grace_ms * MS - EXIT_MARGIN_NS)
		dispatch_jobs_end(d);
	else if (since < BALANCER_DRAIN_NS || g_hash_table_size(d->jobs) > 0)
		return;
	d->exited = true;
	(void)mlk_dispatch_push(d->out, MLK_DISPATCH_FX_EXIT);
}

static void
handle_event(struct mlk_dispatcher *d, const struct mlk_dispatch_event *ev)
{
	uint32_t i;

	switch (ev->type) {
	case MLK_DISPATCH_SUBMIT:
		dispatch_submit(d, ev);
		break;
	case MLK_DISPATCH_CALLER_GONE:
		dispatch_caller_gone(d, ev->u.gone.request);
		break;
	case MLK_DISPATCH_LINK_UP:
		dispatch_link_up(d, ev->u.link.link, ev->u.link.connect);
		break;
	case MLK_DISPATCH_LINK_DOWN:
		dispatch_link_down(d, ev->u.link.link, ev->u.link.connect);
		break;
	case MLK_DISPATCH_MSG:
		dispatch_msg(d, ev->u.msg.link, ev->u.msg.msg);
		break;
	case MLK_DISPATCH_ENTRIES:
		for (i = 0; i < ev->u.entries.n; i++)
			(void)dispatch_peer_learn(
			    d, ev->u.entries.addrs[i], false);
		break;
	case MLK_DISPATCH_ROUTES:
		dispatch_routes(d, ev->u.routes);
		break;
	case MLK_DISPATCH_EVACUATIONS:
		dispatch_evacuations(d, ev->u.evacuations);
		break;
	case MLK_DISPATCH_STOP:
		begin_stop(d);
		break;
	case MLK_DISPATCH_TICK:
		break;
	}
}

/*
 * Applies one event and appends its effects.  Returns 0, or
 * MLK_ERR_INVALID after EXIT.
 */
int
mlk_dispatcher_apply(struct mlk_dispatcher *d,
    const struct mlk_dispatch_event *ev, struct mlk_dispatch_effects *out,
    struct mlk_error *err)
{
	if (d->exited)
		return (mlk_error_set(
		    err, MLK_ERR_INVALID, "the dispatcher has stopped"));
	d->out = out;
	detect_pause(d, ev->now);
	handle_event(d, ev);
	if (ev->type == MLK_DISPATCH_TICK) {
		dispatch_peers_due(d);
		dispatch_agents_due(d);
		dispatch_admission_due(d);
		dispatch_jobs_due(d);
		dispatch_parked_due(d);
		dispatch_interference_due(d);
		d->place_due = true;
	}
	dispatch_place(d, ev->type == MLK_DISPATCH_TICK);
	stop_due(d);
	d->out = NULL;
	return (0);
}

bool
mlk_dispatcher_routes(
    const struct mlk_dispatcher *d, const char *host, const char *path)
{
	return (mlk_routing_match(&d->routing, host, path) != NULL);
}

const struct mlk_routing *
mlk_dispatcher_routing(const struct mlk_dispatcher *d)
{
	return (&d->routing);
}

const struct mlk_dispatch_counters *
mlk_dispatch_counters(const struct mlk_dispatcher *d)
{
	return (&d->counters);
}

void
mlk_dispatch_gauges(
    const struct mlk_dispatcher *d, struct mlk_dispatch_gauges *out)
{
	const struct agent *a;
	const struct peer *p;
	uint32_t usable = 0;
	guint i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (a->link != 0)
			out->agents++;
		if (a->link == 0 || !a->has_info ||
		    !dispatch_agent_takes_work(a))
			continue;
		usable++;
		if (!a->evacuated)
			out->agents_ready++;
	}
	for (i = 0; i < d->peers->len; i++) {
		p = g_ptr_array_index(d->peers, i);
		if (p->link != 0)
			out->peers++;
	}
	/*
	 * With every data centre evacuated, the entry still has to answer its
	 * callers, which a load balancer would otherwise cut off.
	 */
	out->ready = !d->stopping && d->routing.version > 0 && usable > 0;
	out->jobs = g_hash_table_size(d->jobs);
	out->queued = d->nqueued;
	out->in_flight = d->nsent;
	out->routing_version = d->routing.version;
	dispatch_admission_gauges(d, out);
	dispatch_evacuations_gauges(d, out);
	out->verdicts = dispatch_interference_count(d);
}
