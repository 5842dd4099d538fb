/*
 * Agents, and the load of their workers as this entry knows it.
 */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_priv.h"

void
dispatch_agent_free_record(gpointer data)
{
	struct agent *a = data;

	if (a->seen != NULL)
		(void)g_array_free(a->seen, TRUE);
	(void)g_array_free(a->unacked, TRUE);
	(void)g_ptr_array_free(a->tasks, TRUE);
	g_free(a);
}

static struct agent *
agent_get(struct mlk_dispatcher *d, const char *id)
{
	struct agent *a;
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (strcmp(a->id, id) == 0)
			return (a);
	}
	a = g_new0(struct agent, 1);
	(void)g_strlcpy(a->id, id, sizeof(a->id));
	a->unacked = g_array_new(FALSE, FALSE, sizeof(struct unacked));
	a->tasks = g_ptr_array_new();
	g_ptr_array_add(d->agents, a);
	return (a);
}

/*
 * Tells whether the worker is ready, cold or degraded; cold and degraded ones
 * get only what does not fit elsewhere.
 */
bool
dispatch_agent_takes_work(const struct agent *a)
{
	return (a->info.state == MLK_WORKER_READY ||
	    a->info.state == MLK_WORKER_COLD ||
	    a->info.state == MLK_WORKER_DEGRADED);
}

/*
 * Returns the reported free resources of the worker minus what has been sent to
 * it since.
 */
struct mlk_resources
dispatch_agent_available(const struct agent *a)
{
	struct mlk_resources free = a->load.free;
	guint i;

	for (i = 0; i < a->unacked->len; i++)
		mlk_resources_subtract(&free,
		    &g_array_index(a->unacked, struct unacked, i).resources);
	return (free);
}

/*
 * Ends the tasks of earlier links with an agent as lost; they are queued again.
 */
static void
lose_detached(struct mlk_dispatcher *d, struct agent *a)
{
	struct task *task;
	guint i;

	a->detached_until = 0;
	for (i = a->tasks->len; i > 0; i--) {
		task = g_ptr_array_index(a->tasks, i - 1);
		if (task->state == TASK_DETACHED)
			dispatch_task_ended(d, task, MLK_RUN_LOST, 0);
	}
}

/*
 * Handles ATTACH.  An agent attaches only when none of this entry's runs is
 * left at its worker, so the tasks of its earlier link are lost.  That does not
 * hold for the tasks of another agent under the same id, which is still linked.
 */
void
dispatch_attach(
    struct mlk_dispatcher *d, struct link *link, const struct mlk_msg *msg)
{
	struct mlk_msg *welcome;
	bool replaces = false;
	struct agent *a;

	a = agent_get(d, msg->u.attach.id);
	if (a->link != 0) {
		replaces = a->incarnation != msg->u.attach.incarnation;
		dispatch_close(d, a->link);
		dispatch_agent_down(d, a);
	}
	if (replaces) {
		dispatch_log(d, MLK_LOG_WARNING, NULL, a->id,
		    "another agent attaches under the same id, %u tasks are "
		    "waited for",
		    a->tasks->len);
	} else {
		lose_detached(d, a);
	}
	link->kind = LINK_AGENT;
	link->agent = a;
	a->link = link->link;
	a->incarnation = msg->u.attach.incarnation;
	(void)g_strlcpy(a->dc, msg->u.attach.dc, sizeof(a->dc));
	a->same_dc = strcmp(msg->u.attach.dc, d->options.self.dc) == 0;
	a->has_info = false;
	a->seq = 0;
	(void)g_array_set_size(a->unacked, 0);
	a->last_recv = d->now;
	a->echo = 0;
	welcome = dispatch_send(d, a->link, MLK_MSG_WELCOME);
	welcome->u.welcome.self = d->options.self;
	welcome->u.welcome.config_version = d->routing.version;
	a->last_sent = d->now;
	dispatch_evacuations_attached(d, a);
	dispatch_send_peers(d, a->link);
	dispatch_log(d, MLK_LOG_NOTICE, NULL, a->id, "agent attached");
}

static void
apply_load(struct mlk_dispatcher *d, struct agent *a, uint64_t seen,
    const struct mlk_worker_load *load)
{
	guint n = 0;

	a->load = *load;
	g_ptr_array_add(d->updated_agents, a);
	d->place_due = true;
	while (n < a->unacked->len &&
	    g_array_index(a->unacked, struct unacked, n).seq <= seen)
		n++;
	if (n > 0)
		(void)g_array_remove_range(a->unacked, 0, n);
}

static void
ping(struct mlk_dispatcher *d, struct agent *a)
{
	struct mlk_msg *msg;

	msg = dispatch_send(d, a->link, MLK_MSG_PING);
	msg->u.ping.sent_at = dispatch_now_ms(d);
	msg->u.ping.echo = a->echo;
	msg->u.ping.routing_version = d->routing.version;
	msg->u.ping.evacuations = d->evacuations.version;
	a->last_sent = d->now;
}

void
dispatch_worker(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg)
{
	const struct mlk_worker_info *info = &msg->u.worker.info;

	a->last_recv = d->now;
	a->echo = msg->u.worker.sent_at;
	if (!a->has_info || info->state != a->info.state ||
	    info->boot != a->info.boot) {
		dispatch_log(d, MLK_LOG_INFO, NULL, a->id,
		    "worker %s boot %" PRIu64 " state %d, cpu %u of %u free",
		    info->id, info->boot, (int)info->state,
		    msg->u.worker.load.free.cpu, info->capacity.cpu);
	}
	/*
	 * The agent accepts no work until an echoed PING lets it compute the
	 * age of messages.
	 */
	if (!a->has_info)
		ping(d, a);
	if (info->speed != a->info.speed || (!a->has_info && info->speed != 0))
		d->speeds_changed = true;
	a->has_info = true;
	a->info = *info;
	apply_load(d, a, msg->u.worker.seen, &msg->u.worker.load);
}

static struct task *
task_find(struct mlk_dispatcher *d, const struct mlk_run_result *result)
{
	struct task *task;
	struct job *job;
	uint32_t i;

	job = g_hash_table_lookup(d->jobs, &result->job);
	for (i = 0; job != NULL && i < job->ntasks; i++) {
		task = &job->tasks[i];
		if (task->step == result->step && task->index == result->index)
			return (task);
	}
	return (NULL);
}

void
dispatch_ends(
    struct mlk_dispatcher *d, struct agent *a, const struct mlk_msg *msg)
{
	const struct mlk_run_result *result;
	struct task *task;
	uint32_t i;

	a->last_recv = d->now;
	a->echo = msg->u.ends.sent_at;
	apply_load(d, a, msg->u.ends.seen, &msg->u.ends.load);
	for (i = 0; i < msg->u.ends.n; i++) {
		result = &msg->u.ends.items[i];
		task = task_find(d, result);
		if (task != NULL && task->state == TASK_SENT &&
		    task->agent == a)
			dispatch_task_ended(
			    d, task, result->end, result->run_ms);
	}
}

/*
 * The link with an agent ended.  The agent stops the runs of this entry, or is
 * down and their leases expire.  The tasks are lost after DETACHED_NS, or when
 * the agent attaches again.
 */
void
dispatch_agent_down(struct mlk_dispatcher *d, struct agent *a)
{
	guint i;

	a->link = 0;
	a->has_info = false;
	d->speeds_changed = d->speeds_changed || a->info.speed != 0;
	a->want_tasks = 0;
	if (a->seen != NULL)
		(void)g_array_set_size(a->seen, 0);
	a->detached_until = d->now + DETACHED_NS;
	(void)g_array_set_size(a->unacked, 0);
	for (i = 0; i < a->tasks->len; i++)
		dispatch_task_detach(g_ptr_array_index(a->tasks, i));
	dispatch_log(d, MLK_LOG_NOTICE, NULL, a->id,
	    "link with the agent ended, %u tasks there", a->tasks->len);
}

/*
 * Sends PING, times out silent agents, and counts detached tasks as lost when
 * their runs have certainly ended.
 */
void
dispatch_agents_due(struct mlk_dispatcher *d)
{
	struct agent *a;
	int64_t silence;
	bool busy;
	guint i;

	for (i = 0; i < d->agents->len; i++) {
		a = g_ptr_array_index(d->agents, i);
		if (a->detached_until != 0 && d->now >= a->detached_until)
			lose_detached(d, a);
		if (a->link == 0)
			continue;
		busy = a->tasks->len > 0;
		/* Idle agents report too rarely for the shorter limit. */
		silence = d->now -
		    (busy ? MAX(a->last_recv, a->busy_since) : a->last_recv);
		if (d->now >= d->paused_until &&
		    silence >= (busy ? AGENT_TIMEOUT_BUSY_NS :
				       AGENT_TIMEOUT_IDLE_NS)) {
			d->counters.links_silent++;
			dispatch_log(d, MLK_LOG_NOTICE, NULL, a->id,
			    "agent silent for %" PRId64 " ms", silence / MS);
			dispatch_close(d, a->link);
			dispatch_agent_down(d, a);
		} else if (d->now - a->last_sent >=
		    (busy ? AGENT_PING_BUSY_NS : AGENT_PING_IDLE_NS)) {
			ping(d, a);
		}
	}
}
