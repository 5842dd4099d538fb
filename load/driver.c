/*
 * The open-loop driver: sends each job at its scheduled time, whether or not
 * earlier jobs have been answered, so that a slow service does not reduce the
 * offered load.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "driver.h"

#define TICK_MS 10U /* schedule_wakeup() requests earlier ticks */
#define SAMPLE_NS MLK_NSEC_PER_SEC
/* Time limit for answers after the last arrival. */
#define DRAIN_MAX_NS (180 * MLK_NSEC_PER_SEC)
#define HTTP_BODY_MAX (64U * 1024 * 1024)
#define HTTP_HEADER_TIMEOUT_S 10U
#define HTTP_CONNECTIONS 64U
#define LANE_FIRST 1U /* lane 0: a connection for one call */

static int
compare_actions(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct action *x = a, *y = b;

	(void)unused;
	return ((x->at > y->at) - (x->at < y->at));
}

/*
 * Schedules an action at a time in nanoseconds after the start.
 */
void
driver_schedule(struct driver *d, int64_t at, enum action_type type,
    uint32_t job, uint32_t index)
{
	struct action *a = g_new0(struct action, 1);

	a->at = at;
	a->type = type;
	a->job = job;
	a->index = index;
	(void)g_sequence_insert_sorted(d->actions, a, compare_actions, NULL);
}

/*
 * Cancels a random share of the jobs in flight.
 */
static void
cancel_wave(struct driver *d, double share)
{
	uint32_t bound = (uint32_t)(share * 1000.0);
	uint32_t i;

	for (i = 0; i < d->next_job; i++) {
		if (d->run->records[i].ended == 0 &&
		    mlk_rng_below(&d->rng, 1000) < bound)
			driver_cancel(d, i);
	}
}

/*
 * Applies a fault; with undo set, ends a pause or a control fault.
 */
static int
apply_fault(struct driver *d, const struct mlk_load_fault *f, bool undo,
    struct mlk_error *err)
{
	struct mlk_deploy *deploy = d->run->deploy;

	switch (f->action) {
	case MLK_LOAD_KILL:
		return (mlk_deploy_kill(deploy, f->target, err));
	case MLK_LOAD_STOP:
		return (mlk_deploy_stop(deploy, f->target, err));
	case MLK_LOAD_RESTART:
		return (mlk_deploy_restart(deploy, f->target, err));
	case MLK_LOAD_PAUSE:
		return (undo ? mlk_deploy_resume(deploy, f->target, err) :
			       mlk_deploy_pause(deploy, f->target, err));
	case MLK_LOAD_CONTROL:
		driver_control(d, mlk_deploy_find(deploy, f->target),
		    undo ? f->undo : f->body);
		return (0);
	case MLK_LOAD_CANCEL_WAVE:
		cancel_wave(d, f->share);
		return (0);
	}
	return (MLK_ERR_INVALID);
}

/*
 * Starts a fault and schedules its end when it has a duration, or ends it when
 * undo is set; a kill or stop ends with a restart.  Without a deployment only
 * cancel waves are possible.
 */
static void
run_fault(struct driver *d, uint32_t index, bool undo)
{
	const struct mlk_load_fault *f = &d->run->sc->faults[index];
	bool lasting = f->action == MLK_LOAD_PAUSE ||
	    f->action == MLK_LOAD_CONTROL || f->action == MLK_LOAD_KILL ||
	    f->action == MLK_LOAD_STOP;
	struct mlk_error err;
	int error;

	if (d->run->deploy == NULL && f->action != MLK_LOAD_CANCEL_WAVE)
		return;
	if (undo && (f->action == MLK_LOAD_KILL || f->action == MLK_LOAD_STOP))
		error = mlk_deploy_restart(d->run->deploy, f->target, &err);
	else
		error = apply_fault(d, f, undo, &err);
	if (error != 0)
		(void)fprintf(stderr, "fault %u: %s\n", index, err.msg);
	if (!undo && lasting && f->for_s > 0.0) {
		driver_schedule(d,
		    d->now + (int64_t)(f->for_s * (double)MLK_NSEC_PER_SEC),
		    ACTION_UNDO, 0, index);
	}
}

static void
run_action(struct driver *d, const struct action *a)
{
	struct mlk_load_record *r = &d->run->records[a->job];

	switch (a->type) {
	case ACTION_RETRY:
		if (r->ended == 0)
			driver_submit(d, a->job, a->index);
		break;
	case ACTION_RESUBMIT:
		if (r->ended == 0 && r->id != NULL) {
			r->resubmitted = true;
			driver_submit(d, a->job, 1);
		}
		break;
	case ACTION_CANCEL:
		driver_cancel(d, a->job);
		break;
	case ACTION_FAULT:
		run_fault(d, a->index, false);
		break;
	case ACTION_UNDO:
		run_fault(d, a->index, true);
		break;
	}
}

static void
run_actions(struct driver *d)
{
	struct action *a, copy;
	GSequenceIter *first;

	for (;;) {
		first = g_sequence_get_begin_iter(d->actions);
		if (g_sequence_iter_is_end(first))
			return;
		a = g_sequence_get(first);
		if (a->at > d->now)
			return;
		copy = *a;
		g_sequence_remove(first);
		run_action(d, &copy);
	}
}

static void
send_due_jobs(struct driver *d)
{
	const struct mlk_load_arrivals *arrivals = d->run->arrivals;
	const struct mlk_load_job *j;
	uint32_t job;

	while (d->next_job < arrivals->n &&
	    arrivals->jobs[d->next_job].at <= d->now) {
		job = d->next_job++;
		j = &arrivals->jobs[job];
		d->open_jobs++;
		if (!d->run->sc->issued_ids ||
		    d->run->mode == MLK_LOAD_TO_ENDPOINTS)
			d->run->records[job].id =
			    g_strdup_printf("%s-%u", d->prefix, job);
		driver_submit(d, job, 0);
		if (d->run->mode == MLK_LOAD_TO_ENDPOINTS)
			continue;
		if (j->resubmit_after > 0)
			driver_schedule(d, j->at + j->resubmit_after,
			    ACTION_RESUBMIT, job, 0);
		if (j->cancel_after > 0)
			driver_schedule(
			    d, j->at + j->cancel_after, ACTION_CANCEL, job, 0);
	}
}

static void
show_progress(const struct driver *d, bool last)
{
	if (!d->run->progress)
		return;
	(void)fprintf(stderr, "\r%-12s %5.0f s  sent %u of %u  open %u   %s",
	    d->run->policy, (double)d->now / (double)MLK_NSEC_PER_SEC,
	    d->next_job, d->run->arrivals->n, d->open_jobs, last ? "\n" : "");
	(void)fflush(stderr);
}

static bool
finished(const struct driver *d)
{
	int64_t drain = d->run->drain_s > 0.0 ?
	    (int64_t)(d->run->drain_s * (double)MLK_NSEC_PER_SEC) :
	    DRAIN_MAX_NS;

	if (d->next_job < d->run->arrivals->n)
		return (false);
	return (d->open_jobs == 0 || d->now > d->last_arrival + drain);
}

static void
tick(struct driver *d)
{
	run_actions(d);
	send_due_jobs(d);
	if (d->run->deploy != NULL &&
	    mlk_deploy_poll(d->run->deploy, &d->failure) != 0) {
		mlk_loop_stop(d->loop);
		return;
	}
	if (d->now >= d->next_sample) {
		d->next_sample += SAMPLE_NS;
		mlk_load_observe_sample(d->observer);
		show_progress(d, false);
	}
	if (finished(d))
		mlk_loop_stop(d->loop);
}

/*
 * Requests a tick for the time when the next job or action is due.
 */
static void
schedule_wakeup(struct driver *d)
{
	const struct mlk_load_arrivals *arrivals = d->run->arrivals;
	const struct action *a;
	GSequenceIter *first;

	if (d->next_job < arrivals->n)
		mlk_loop_wake(
		    d->loop, d->start + arrivals->jobs[d->next_job].at);
	first = g_sequence_get_begin_iter(d->actions);
	if (g_sequence_iter_is_end(first))
		return;
	a = g_sequence_get(first);
	mlk_loop_wake(d->loop, d->start + a->at);
}

static void
handle(void *arg, const struct mlk_net_event *ev)
{
	struct driver *d = arg;

	d->now = mlk_clock_now(mlk_clock_system()) - d->start;
	switch (ev->type) {
	case MLK_NET_TICK:
		tick(d);
		break;
	case MLK_NET_HTTP_RESPONSE:
		driver_response(d, ev);
		break;
	case MLK_NET_STOP:
		d->run->interrupted = true;
		mlk_loop_stop(d->loop);
		break;
	default:
		break;
	}
	schedule_wakeup(d);
}

static void
create_targets(struct driver *d)
{
	uint32_t i;

	d->targets = g_new0(struct target, d->run->ntargets);
	for (i = 0; i < d->run->ntargets; i++) {
		d->targets[i].free_lanes =
		    g_array_new(FALSE, FALSE, sizeof(uint32_t));
		d->targets[i].ids = g_queue_new();
		d->targets[i].waiting = g_queue_new();
	}
}

static void
schedule_faults(struct driver *d)
{
	const struct mlk_load_scenario *sc = d->run->sc;
	uint32_t i;

	if (d->run->mode == MLK_LOAD_TO_ENDPOINTS)
		return;
	for (i = 0; i < sc->nfaults; i++) {
		driver_schedule(d,
		    (int64_t)((sc->warm_up_s + sc->faults[i].at_s) *
			(double)MLK_NSEC_PER_SEC),
		    ACTION_FAULT, 0, i);
	}
}

/*
 * Returns the prefix of the job ids.  In a deployment of its own the ids depend
 * only on the seed.  Entries that already run may still hold the jobs of an
 * earlier run, so the prefix then includes the time.
 */
static char *
id_prefix(const struct mlk_load_run *run)
{
	if (run->deploy != NULL)
		return (g_strdup_printf(
		    "load-%llu", (unsigned long long)run->sc->seed));
	return (
	    g_strdup_printf("load-%llu-%llx", (unsigned long long)run->sc->seed,
		(unsigned long long)g_get_real_time()));
}

static int
driver_create(struct driver *d, struct mlk_load_run *run, struct mlk_error *err)
{
	struct mlk_loop_options options = {
		.arg = d,
		.handle = handle,
		.clock = mlk_clock_system(),
		.tick_ms = TICK_MS,
		.http_body_max = HTTP_BODY_MAX,
		.http_header_timeout_s = HTTP_HEADER_TIMEOUT_S,
		.http_max_connections = HTTP_CONNECTIONS,
	};

	memset(d, 0, sizeof(*d));
	d->run = run;
	d->next_lane = LANE_FIRST;
	d->next_call = 1;
	d->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	d->actions = g_sequence_new(g_free);
	d->prefix = id_prefix(run);
	if (run->token != NULL) {
		d->headers =
		    g_strdup_printf("Content-Type: application/json\r\n"
				    "Authorization: Bearer %s\r\n",
			run->token);
	} else {
		d->headers = g_strdup("Content-Type: application/json\r\n");
	}
	mlk_rng_seed(&d->rng, run->sc->seed);
	create_targets(d);
	d->loop = mlk_loop_create(&options, err);
	return (d->loop == NULL ? err->code : 0);
}

static void
driver_clear(struct driver *d)
{
	uint32_t i;

	if (d->loop != NULL)
		mlk_loop_destroy(d->loop);
	for (i = 0; i < d->run->ntargets; i++) {
		(void)g_array_free(d->targets[i].free_lanes, TRUE);
		g_queue_free_full(d->targets[i].ids, g_free);
		g_queue_free_full(d->targets[i].waiting, g_free);
	}
	g_free(d->targets);
	g_hash_table_destroy(d->calls);
	g_sequence_free(d->actions);
	g_free(d->prefix);
	g_free(d->headers);
}

/*
 * Sends all jobs of the run and waits for their answers.  Fills the records
 * and counters of run.  Returns 0, or an error of the event loop or of a
 * process that exited unexpectedly; the records up to then are valid.
 */
int
mlk_load_drive(struct mlk_load_run *run, struct mlk_error *err)
{
	struct driver d;
	int error;

	run->records = g_new0(struct mlk_load_record, run->arrivals->n + 1);
	error = driver_create(&d, run, err);
	if (error != 0) {
		driver_clear(&d);
		return (error);
	}
	schedule_faults(&d);
	if (run->arrivals->n > 0)
		d.last_arrival = run->arrivals->jobs[run->arrivals->n - 1].at;
	d.observer = mlk_load_observe_begin(run);
	d.start = mlk_clock_now(mlk_clock_system());
	error = mlk_loop_run(d.loop);
	if (error != 0)
		(void)mlk_error_set(
		    err, error, "event loop: %s", mlk_strerror(error));
	show_progress(&d, true);
	run->elapsed_s = (double)d.now / (double)MLK_NSEC_PER_SEC;
	mlk_load_observe_end(d.observer);
	if (d.failure.code != 0) {
		*err = d.failure;
		error = err->code;
	}
	driver_clear(&d);
	return (error);
}

/*
 * Frees the records and other results of a run; the scenario, the arrivals and
 * the deployment belong to the caller.
 */
void
mlk_load_run_clear(struct mlk_load_run *run)
{
	uint32_t i;

	for (i = 0; run->records != NULL && i < run->arrivals->n; i++)
		g_free(run->records[i].id);
	g_free(run->records);
	g_free(run->usage);
	g_free(run->targets);
	mlk_load_start_log_free(run->start_log);
	run->records = NULL;
	run->usage = NULL;
	run->targets = NULL;
	run->start_log = NULL;
}
