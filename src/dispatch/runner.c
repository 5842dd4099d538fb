/*
 * The runner of an agent: turns RUN messages of entries into orders to the
 * worker, and listings of the worker into ENDS messages.
 *
 * Every event ends with the same pass: timed work, offers, the next listing,
 * and messages to entries.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

#define DEFAULT_LEASE_MS 1000
#define DEFAULT_ENTRY_LEASE_MS 800
#define DEFAULT_GRACE_MS 5000
/* Part of the grace period that is kept for the last messages. */
#define EXIT_MARGIN_NS (400 * MS)

void
mlk_runner_options_default(struct mlk_runner_options *options)
{
	memset(options, 0, sizeof(*options));
	options->lease_ms = DEFAULT_LEASE_MS;
	options->entry_lease_ms = DEFAULT_ENTRY_LEASE_MS;
	options->grace_ms = DEFAULT_GRACE_MS;
}

static guint
name_hash(gconstpointer key)
{
	const struct mlk_run_name *name = key;

	return (g_str_hash(name->id) ^ (name->step << 16) ^ name->index);
}

/* Run numbers are not compared: a task has one run in the table. */
static gboolean
name_equal(gconstpointer a, gconstpointer b)
{
	const struct mlk_run_name *x = a, *y = b;

	return (x->index == y->index && x->step == y->step &&
	    strcmp(x->id, y->id) == 0);
}

/*
 * Returns a new runner, which keeps a copy of the options.
 */
struct mlk_runner *
mlk_runner_create(const struct mlk_runner_options *options)
{
	struct mlk_runner *r;
	uint32_t i;

	r = g_new0(struct mlk_runner, 1);
	r->options = *options;
	r->options.entries = NULL;
	r->state = MLK_WORKER_UNAVAILABLE;
	r->entries = g_ptr_array_new_with_free_func(runner_entry_free);
	r->runs = g_ptr_array_new();
	r->offers = g_array_new(FALSE, FALSE, sizeof(struct offer));
	r->held = runner_held_create();
	evacuations_init(&r->evacuations);
	r->by_name = g_hash_table_new(name_hash, name_equal);
	r->orders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	if (options->interference != MLK_INTERFERENCE_OFF)
		r->corun = corun_create();
	for (i = 0; i < options->nentries; i++)
		(void)runner_entry_learn(r, options->entries[i], true, 0);
	return (r);
}

void
mlk_runner_destroy(struct mlk_runner *r)
{
	struct run *run;
	guint i;

	if (r == NULL)
		return;
	for (i = 0; i < r->runs->len; i++) {
		run = g_ptr_array_index(r->runs, i);
		g_bytes_unref(run->spec);
		g_free(run->corun);
		g_free(run);
	}
	corun_destroy(r->corun);
	g_hash_table_destroy(r->orders);
	evacuations_clear(&r->evacuations);
	g_hash_table_destroy(r->by_name);
	g_ptr_array_free(r->runs, TRUE);
	(void)g_array_free(r->offers, TRUE);
	g_ptr_array_free(r->held, TRUE);
	g_ptr_array_free(r->entries, TRUE);
	g_free(r);
}

/*
 * Logs a decision; run may be NULL.
 */
void
runner_log(struct mlk_runner *r, enum mlk_log_level level,
    const struct run *run, const char *fmt, ...)
{
	struct mlk_runner_effect *fx;
	va_list ap;

	fx = mlk_runner_push(r->out, MLK_RUNNER_FX_LOG);
	if (fx == NULL)
		return;
	fx->u.log.level = level;
	(void)g_strlcpy(
	    fx->u.log.worker, r->worker.info.id, sizeof(fx->u.log.worker));
	if (run != NULL)
		(void)g_strlcpy(
		    fx->u.log.job, run->name.id, sizeof(fx->u.log.job));
	va_start(ap, fmt);
	(void)vsnprintf(fx->u.log.text, sizeof(fx->u.log.text), fmt, ap);
	va_end(ap);
}

/*
 * Tells whether the worker is limited to one run at a time.
 */
bool
runner_on_probation(const struct mlk_runner *r)
{
	return (r->health.state == HEALTH_PROBATION);
}

/*
 * Returns the capacity of the worker less the resources reserved for runs,
 * offers and held tasks.
 */
struct mlk_resources
runner_free(const struct mlk_runner *r)
{
	struct mlk_resources free = r->worker.info.capacity;

	mlk_resources_subtract(&free, &r->reserved);
	mlk_resources_subtract(&free, &r->offered);
	mlk_resources_subtract(&free, &r->held_resources);
	return (free);
}

/*
 * Returns the state of the worker to report to entries.
 */
enum mlk_worker_state
runner_state(const struct mlk_runner *r)
{
	const struct worker *w = &r->worker;

	if (!w->known || w->left_at != 0 || !r->predecessor_done ||
	    !w->no_foreign_runs || w->boot != w->info.boot || w->not_sent > 0 ||
	    w->other_life || runner_superseded(r) || runner_away(r))
		return (MLK_WORKER_UNAVAILABLE);
	if (r->stopping || w->info.state != MLK_WORKER_READY)
		return (MLK_WORKER_DRAINING);
	if (r->health.state == HEALTH_SICK)
		return (MLK_WORKER_SICK);
	if (r->health.degraded_until != 0 || w->life_missed)
		return (MLK_WORKER_DEGRADED);
	return (r->now < w->cold_until ? MLK_WORKER_COLD : MLK_WORKER_READY);
}

/*
 * Tells whether new tasks are started.  This includes an unhealthy worker: an
 * entry sends tasks to it only when too many workers are unhealthy to leave
 * them out.
 */
bool
runner_takes_work(const struct mlk_runner *r)
{
	return (
	    (r->state == MLK_WORKER_READY || r->state == MLK_WORKER_DEGRADED ||
		r->state == MLK_WORKER_COLD || r->state == MLK_WORKER_SICK) &&
	    !runner_evacuated(r) &&
	    runner_lease_end(r) - r->now >= LEASE_MIN_NS);
}

/*
 * Begins the planned stop: no new runs are started, active ones may finish.
 */
static void
begin_stop(struct mlk_runner *r)
{
	if (r->stopping)
		return;
	r->stopping = true;
	r->stop_at = r->now + (int64_t)r->options.grace_ms * MS;
	runner_log(r, MLK_LOG_NOTICE, NULL, "planned stop: %u runs at work",
	    r->nactive);
}

/*
 * Completes the planned stop when no run is left, or when the grace period is
 * nearly over.
 */
static void
stop_due(struct mlk_runner *r)
{
	struct run *run;
	guint i;

	if (!r->stopping || r->exited)
		return;
	if (r->now >= r->stop_at - EXIT_MARGIN_NS) {
		for (i = r->runs->len; i > 0; i--) {
			run = g_ptr_array_index(r->runs, i - 1);
			runner_run_stop(r, run, MLK_RUN_STOPPED);
		}
	}
	if ((r->runs->len == 0 && r->worker.ack_sent >= r->worker.acked) ||
	    r->now >= r->stop_at) {
		r->exited = true;
		runner_ack_notice(r);
		(void)mlk_runner_push(r->out, MLK_RUNNER_FX_EXIT);
	}
}

static void
handle_event(struct mlk_runner *r, const struct mlk_runner_event *ev)
{
	uint32_t i;

	switch (ev->type) {
	case MLK_RUNNER_LINK_UP:
		runner_link_up(r, ev->u.link.link, ev->u.link.connect);
		break;
	case MLK_RUNNER_LINK_DOWN:
		runner_link_down(r, ev->u.link.link, ev->u.link.connect);
		break;
	case MLK_RUNNER_MSG:
		runner_msg(r, ev->u.msg.link, ev->u.msg.msg);
		break;
	case MLK_RUNNER_ENTRIES:
		for (i = 0; i < ev->u.entries.n; i++)
			runner_entry_reported(
			    r, ev->u.entries.addrs[i], ev->u.entries.version);
		break;
	case MLK_RUNNER_ANNOUNCED:
		runner_announced(r, ev->u.announced);
		break;
	case MLK_RUNNER_LEFT:
		runner_left(r, ev->u.left.worker, ev->u.left.request);
		break;
	case MLK_RUNNER_ORDER:
		runner_order_ended(r, ev);
		break;
	case MLK_RUNNER_STOP:
		begin_stop(r);
		break;
	case MLK_RUNNER_TICK:
		break;
	}
}

/*
 * Applies one event and appends its effects.  Returns 0, or
 * MLK_ERR_INVALID after EXIT.
 */
int
mlk_runner_apply(struct mlk_runner *r, const struct mlk_runner_event *ev,
    struct mlk_runner_effects *out, struct mlk_error *err)
{
	if (r->exited)
		return (mlk_error_set(
		    err, MLK_ERR_INVALID, "the runner has stopped"));
	r->out = out;
	r->now = ev->now;
	if (r->claimed_at == 0)
		r->claimed_at = ev->now;
	handle_event(r, ev);
	runner_take_over_due(r);
	runner_health_due(r);
	runner_worker_due(r);
	runner_leave_due(r);
	runner_links_due(r);
	runner_runs_due(r);
	runner_held_due(r);
	runner_offers_due(r);
	runner_candidate_due(r);
	runner_waiting_due(r);
	runner_list_due(r);
	stop_due(r);
	runner_evacuations_due(r);
	runner_corun_due(r);
	runner_links_flush(r);
	r->out = NULL;
	return (0);
}

const struct mlk_runner_counters *
mlk_runner_counters(const struct mlk_runner *r)
{
	return (&r->counters);
}

void
mlk_runner_gauges(const struct mlk_runner *r, struct mlk_runner_gauges *out)
{
	const struct entry *e;
	guint i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->attached)
			out->entries++;
	}
	out->ready =
	    (r->state == MLK_WORKER_READY || r->state == MLK_WORKER_COLD) &&
	    out->entries > 0;
	out->running = r->nactive;
	out->capacity = r->worker.info.capacity;
	out->free = runner_free(r);
	out->fence = r->worker.fence;
	out->evacuated = runner_evacuated(r);
	out->evacuations_version = r->evacuations.version;
	out->speed = r->speed.reported;
}
