/*
 * Links with entries: connecting, attaching, RUN and DROP messages, the lease
 * of a silent entry, and the messages sent back.
 */
#include <stdlib.h>
#include <string.h>

#include "runner_priv.h"

#define PROBATION_DIVISOR 8 /* 1/8 of the capacity is offered on probation */

void
runner_entry_free(gpointer data)
{
	struct entry *e = data;

	(void)g_array_free(e->ends, TRUE);
	g_free(e);
}

uint64_t
runner_now_ms(const struct mlk_runner *r)
{
	return ((uint64_t)(r->now / MS));
}

/*
 * Counts and logs an address that is not used.  Addresses come from other
 * processes and from the store, where any writer may have left them.
 */
static struct entry *
ignore_address(struct mlk_runner *r, const char *addr, const char *cause)
{
	r->counters.addrs_ignored++;
	if (r->out != NULL)
		runner_log(r, MLK_LOG_WARNING, NULL,
		    "address of an entry ignored: %s: %s", cause, addr);
	return (NULL);
}

/*
 * Frees a place in the full table for a row with the given version: the entry
 * without a link whose newest sign of life is the oldest is forgotten.  Rows of
 * lost entries stay in the store, and would hide the entries that live.
 * Returns whether a place is free.
 */
static bool
forget_oldest(struct mlk_runner *r, uint64_t version)
{
	const struct entry *e, *oldest = NULL;
	guint i, at = 0;

	if (r->entries->len < RUNNER_ENTRIES_MAX)
		return (true);
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->configured || e->link != 0 || e->nruns > 0 ||
		    (oldest != NULL && e->version >= oldest->version))
			continue;
		oldest = e;
		at = i;
	}
	if (oldest == NULL || oldest->version >= version)
		return (false);
	(void)g_ptr_array_remove_index_fast(r->entries, at);
	return (true);
}

/*
 * Adds the address of an entry, from a row with the given version.  Returns the
 * entry, or NULL when the address cannot be used, and when the table is full of
 * entries that are linked or have newer rows.
 */
struct entry *
runner_entry_learn(
    struct mlk_runner *r, const char *addr, bool configured, uint64_t version)
{
	struct entry *e;
	guint i;

	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (strcmp(e->addr, addr) == 0) {
			e->configured = e->configured || configured;
			e->version = MAX(e->version, version);
			return (e);
		}
	}
	if (!mlk_addr_valid(addr))
		return (ignore_address(r, addr, "not ip:port"));
	if (!forget_oldest(r, version))
		return (ignore_address(r, addr, "too many entries"));
	e = g_new0(struct entry, 1);
	(void)g_strlcpy(e->addr, addr, sizeof(e->addr));
	e->configured = configured;
	e->version = version;
	e->retry_ns = CONNECT_RETRY_NS;
	e->reached_at = r->now;
	e->ends = g_array_new(FALSE, FALSE, sizeof(struct mlk_run_result));
	g_ptr_array_add(r->entries, e);
	return (e);
}

/*
 * Handles the report of another process (version 0), or a changed row of the
 * store, that an entry has this address.  An entry without a link is tried at
 * once: it has probably just started.  The interval between attempts may have
 * grown to CONNECT_RETRY_MAX_NS, and an attempt that was sent before its
 * machine was up hangs until it times out.  After a power failure all agents
 * are in this state, while the callers are up and send.
 */
void
runner_entry_reported(struct mlk_runner *r, const char *addr, uint64_t version)
{
	struct entry *e;

	r->newest_row = MAX(r->newest_row, version);
	e = runner_entry_learn(
	    r, addr, false, version != 0 ? version : r->newest_row);
	if (e == NULL || e->link != 0)
		return;
	if (e->connect != 0 && r->now - e->connect_at < CONNECT_HUNG_NS)
		return;
	e->connect = 0;
	e->retry_ns = CONNECT_RETRY_NS;
	e->retry_at = r->now;
}

static struct entry *
entry_of_link(struct mlk_runner *r, uint32_t link)
{
	struct entry *e;
	guint i;

	for (i = 0; link != 0 && i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->link == link)
			return (e);
	}
	return (NULL);
}

/*
 * Appends a message to the effects; the caller fills it before the next one.
 */
struct mlk_msg *
runner_send(struct mlk_runner *r, struct entry *e, enum mlk_msg_type type)
{
	struct mlk_runner_effect *fx;

	fx = mlk_runner_push(r->out, MLK_RUNNER_FX_SEND);
	if (fx == NULL)
		g_error("out of memory");
	fx->u.send.link = e->link;
	fx->u.send.msg.type = type;
	e->last_sent = r->now;
	return (&fx->u.send.msg);
}

/*
 * Stops all runs of an entry.
 */
static void
stop_runs_of(struct mlk_runner *r, struct entry *e)
{
	struct run *run;
	guint i;

	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (run->entry == e)
			runner_run_stop(r, run, MLK_RUN_STOPPED);
	}
}

/*
 * The link with an entry ended: its runs are stopped, and their ends are not
 * reported.
 */
static void
detach(struct mlk_runner *r, struct entry *e)
{
	e->link = 0;
	e->attached = false;
	e->report_now = false;
	(void)g_array_set_size(e->ends, 0);
	e->want.tasks = 0;
	runner_offers_forget(r, e);
	runner_held_drop(r, e, 0);
	e->reached_at = r->now;
	e->version = r->newest_row;
	e->retry_at = r->now + CONNECT_RETRY_NS;
	e->retry_ns = CONNECT_RETRY_NS;
	if (e->nruns > 0) {
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "link with entry %s ended, %u runs are stopped", e->addr,
		    e->nruns);
	}
	stop_runs_of(r, e);
}

/*
 * Appends the effect that closes a link.
 */
static void
push_close(struct mlk_runner *r, uint32_t link)
{
	struct mlk_runner_effect *fx;

	fx = mlk_runner_push(r->out, MLK_RUNNER_FX_CLOSE);
	if (fx != NULL)
		fx->u.close.link = link;
}

static void
close_link(struct mlk_runner *r, struct entry *e)
{
	push_close(r, e->link);
	detach(r, e);
}

void
runner_link_up(struct mlk_runner *r, uint32_t link, uint32_t connect)
{
	struct entry *e;
	guint i;

	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->connect == 0 || e->connect != connect)
			continue;
		e->connect = 0;
		e->link = link;
		e->run_seq = 0;
		e->last_alive = r->now;
		e->retry_ns = CONNECT_RETRY_NS;
		e->reached_at = r->now;
		mlk_skew_reset(&e->skew);
		return;
	}
	/* An attempt that was replaced by a later one. */
	push_close(r, link);
}

void
runner_link_down(struct mlk_runner *r, uint32_t link, uint32_t connect)
{
	struct entry *e;
	guint i;

	e = entry_of_link(r, link);
	if (e != NULL) {
		detach(r, e);
		return;
	}
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (e->connect == 0 || e->connect != connect)
			continue;
		e->connect = 0;
		e->retry_at = r->now + e->retry_ns;
		e->retry_ns = MIN(e->retry_ns * 2, CONNECT_RETRY_MAX_NS);
		return;
	}
}

/*
 * Notes that the entry was alive when it sent a message.  Returns the age of
 * the message in ms, or -1 while that is unknown.
 */
static int64_t
note_sent_at(struct mlk_runner *r, struct entry *e, uint64_t sent_at)
{
	int64_t age, last_alive;

	age = mlk_skew_age(&e->skew, (int64_t)runner_now_ms(r), sent_at);
	if (age < 0)
		return (age);
	last_alive = r->now - age * MS;
	e->last_alive = MAX(e->last_alive, last_alive);
	return (age);
}

static void
on_run(struct mlk_runner *r, struct entry *e, const struct mlk_msg *msg)
{
	struct mlk_run_result result = { 0 };
	GBytes *spec;
	int64_t age;
	uint32_t i;

	age = note_sent_at(r, e, msg->u.run.sent_at);
	e->run_seq = msg->u.run.seq;
	runner_offer_end(r, msg->u.run.offer);
	runner_offer_want(r, e, &msg->u.run.want);
	if (runner_takes_work(r) && age >= 0 && age <= STALE_RUN_MS) {
		spec = g_bytes_new(msg->u.run.spec.data, msg->u.run.spec.len);
		for (i = 0; i < msg->u.run.n; i++)
			runner_run_add(r, e, msg, &msg->u.run.tasks[i], spec);
		g_bytes_unref(spec);
		return;
	}
	runner_log(r, MLK_LOG_INFO, NULL,
	    "job %s: %u tasks refused, state %d%s, message %" PRId64 " ms old",
	    msg->u.run.id, msg->u.run.n, (int)r->state,
	    runner_evacuated(r) ? " evacuated" : "", age);
	for (i = 0; i < msg->u.run.n; i++) {
		result.job = msg->u.run.job;
		result.step = msg->u.run.step;
		result.index = msg->u.run.tasks[i].index;
		result.end = MLK_RUN_REFUSED;
		r->counters.refused++;
		(void)g_array_append_val(e->ends, result);
	}
}

static void
on_drop(struct mlk_runner *r, struct entry *e, const struct mlk_msg *msg)
{
	struct run *run;
	guint i;

	(void)note_sent_at(r, e, msg->u.drop.sent_at);
	runner_held_drop(r, e, msg->u.drop.job);
	for (i = r->runs->len; i > 0; i--) {
		run = g_ptr_array_index(r->runs, i - 1);
		if (run->entry == e && run->job == msg->u.drop.job)
			runner_run_stop(r, run, MLK_RUN_STOPPED);
	}
}

static void
on_peers(struct mlk_runner *r, const struct mlk_msg *msg)
{
	uint32_t i;

	for (i = 0; i < msg->u.peers.n; i++)
		runner_entry_reported(r, msg->u.peers.peers[i].addr, 0);
}

void
runner_msg(struct mlk_runner *r, uint32_t link, const struct mlk_msg *msg)
{
	struct entry *e;

	e = entry_of_link(r, link);
	if (e == NULL || !e->attached)
		return;
	switch (msg->type) {
	case MLK_MSG_WELCOME:
		e->info = msg->u.welcome.self;
		break;
	case MLK_MSG_RUN:
		on_run(r, e, msg);
		break;
	case MLK_MSG_WANT:
		(void)note_sent_at(r, e, msg->u.want.sent_at);
		runner_offer_end(r, msg->u.want.offer);
		runner_offer_want(r, e, &msg->u.want.want);
		break;
	case MLK_MSG_DROP:
		on_drop(r, e, msg);
		break;
	case MLK_MSG_PING:
		mlk_skew_answer(&e->skew, (int64_t)runner_now_ms(r),
		    msg->u.ping.sent_at, msg->u.ping.echo);
		(void)note_sent_at(r, e, msg->u.ping.sent_at);
		break;
	case MLK_MSG_EVACUATIONS:
		runner_evacuations(r, e, &msg->u.evacuations);
		break;
	case MLK_MSG_PEERS:
		on_peers(r, msg);
		break;
	case MLK_MSG_VERDICTS:
		(void)note_sent_at(r, e, msg->u.verdicts.sent_at);
		runner_corun_verdicts(r, msg);
		break;
	default:
		runner_log(r, MLK_LOG_WARNING, NULL,
		    "unexpected %s from entry %s", mlk_msg_name(msg->type),
		    e->addr);
		break;
	}
}

/*
 * Attaches to an entry.  ATTACH asserts that no run from an earlier link with
 * it is left.
 */
static void
attach(struct mlk_runner *r, struct entry *e)
{
	struct mlk_msg *msg;

	msg = runner_send(r, e, MLK_MSG_ATTACH);
	(void)g_strlcpy(
	    msg->u.attach.id, r->options.id, sizeof(msg->u.attach.id));
	(void)g_strlcpy(
	    msg->u.attach.dc, r->options.dc, sizeof(msg->u.attach.dc));
	msg->u.attach.incarnation = r->options.incarnation;
	e->attached = true;
	e->report_now = true;
	e->evacuations_shown = 0;
	e->last_alive = r->now;
}

static void
try_connect(struct mlk_runner *r, struct entry *e)
{
	struct mlk_runner_effect *fx;

	fx = mlk_runner_push(r->out, MLK_RUNNER_FX_CONNECT);
	if (fx == NULL)
		return;
	e->connect = ++r->last_connect;
	e->connect_at = r->now;
	fx->u.connect.connect = e->connect;
	(void)g_strlcpy(
	    fx->u.connect.addr, e->addr, sizeof(fx->u.connect.addr));
}

/*
 * Returns true when the entry is to be removed.
 */
static bool
entry_due(struct mlk_runner *r, struct entry *e)
{
	int64_t lease = (int64_t)r->options.entry_lease_ms * MS;

	if (e->link == 0) {
		if (e->connect == 0 && r->now >= e->retry_at && !r->stopping)
			try_connect(r, e);
		return (!e->configured && e->nruns == 0 && e->connect == 0 &&
		    r->now - e->reached_at >= ENTRY_FORGET_NS);
	}
	if (!e->attached) {
		if (e->nruns == 0 && r->predecessor_done)
			attach(r, e);
		return (false);
	}
	if (e->nruns > 0 && r->now - e->last_alive >= lease) {
		r->counters.entry_leases++;
		runner_log(r, MLK_LOG_NOTICE, NULL,
		    "entry %s silent for %" PRId64 " ms", e->addr,
		    (r->now - e->last_alive) / MS);
		close_link(r, e);
	} else if (r->now - e->last_alive >= LINK_TIMEOUT_NS) {
		close_link(r, e);
	}
	return (false);
}

/*
 * Connects and attaches to entries, and expires the leases of silent ones.
 */
void
runner_links_due(struct mlk_runner *r)
{
	struct entry *e;
	guint i;

	for (i = r->entries->len; i > 0; i--) {
		e = g_ptr_array_index(r->entries, i - 1);
		if (entry_due(r, e))
			(void)g_ptr_array_remove_index_fast(r->entries, i - 1);
	}
}

/*
 * During probation, limits the free resources to what one task may need.
 */
static void
limit_to_probation(const struct mlk_runner *r, struct mlk_resources *free)
{
	uint32_t part = r->worker.info.capacity.cpu / PROBATION_DIVISOR;

	if (r->nactive > 0)
		part = 0;
	free->cpu = MIN(free->cpu, part);
}

/*
 * Fills the load to report.  Resources that cannot be used are not reported as
 * free: while an entry with runs here is silent, the lease that all runs share
 * is too short to start others.
 */
static void
fill_load(const struct mlk_runner *r, struct mlk_worker_load *load)
{
	load->running = r->nactive;
	if (!runner_takes_work(r))
		return;
	load->free = runner_free(r);
	if (runner_on_probation(r))
		limit_to_probation(r, &load->free);
}

/*
 * Schedules a report to all entries when the worker starts or stops accepting
 * work.
 */
static void
report_work_taken(struct mlk_runner *r)
{
	bool takes = runner_takes_work(r);
	struct entry *e;
	guint i;

	if (takes == r->takes_work)
		return;
	r->takes_work = takes;
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		e->report_now = e->attached;
	}
}

static void
send_ends(
    struct mlk_runner *r, struct entry *e, const struct mlk_worker_load *load)
{
	struct mlk_msg *msg;
	size_t size;

	msg = runner_send(r, e, MLK_MSG_ENDS);
	msg->u.ends.sent_at = runner_now_ms(r);
	msg->u.ends.seen = e->run_seq;
	msg->u.ends.load = *load;
	size = e->ends->len * sizeof(struct mlk_run_result);
	msg->u.ends.items = malloc(size);
	if (msg->u.ends.items == NULL)
		g_error("out of memory");
	memcpy(msg->u.ends.items, e->ends->data, size);
	msg->u.ends.n = e->ends->len;
	(void)g_array_set_size(e->ends, 0);
	e->reported_load = *load;
}

static void
send_worker(
    struct mlk_runner *r, struct entry *e, const struct mlk_worker_load *load)
{
	struct mlk_msg *msg;

	msg = runner_send(r, e, MLK_MSG_WORKER);
	msg->u.worker.sent_at = runner_now_ms(r);
	msg->u.worker.seen = e->run_seq;
	msg->u.worker.info = r->worker.info;
	msg->u.worker.info.state = r->state;
	msg->u.worker.info.speed = r->speed.reported;
	msg->u.worker.load = *load;
	e->report_now = false;
	e->reported_load = *load;
}

/*
 * Tells whether a WORKER message is due: at once after a change of state, and
 * more often while the entry has runs here or the load differs from the one
 * that it was sent last.
 */
static bool
report_due(const struct mlk_runner *r, const struct entry *e,
    const struct mlk_worker_load *load)
{
	bool busy;

	busy =
	    e->nruns > 0 || memcmp(load, &e->reported_load, sizeof(*load)) != 0;
	return (e->report_now ||
	    r->now - e->last_sent >= (busy ? REPORT_BUSY_NS : REPORT_IDLE_NS));
}

/*
 * Sends the messages that the event has caused: to each entry at most one ENDS
 * and one WORKER.
 */
void
runner_links_flush(struct mlk_runner *r)
{
	struct mlk_worker_load load = { 0 };
	bool filled = false;
	struct entry *e;
	guint i;

	report_work_taken(r);
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		if (!e->attached)
			continue;
		if (!filled)
			fill_load(r, &load);
		filled = true;
		if (e->ends->len > 0)
			send_ends(r, e, &load);
		if (report_due(r, e, &load))
			send_worker(r, e, &load);
	}
}
