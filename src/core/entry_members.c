/*
 * Links, agents and peers of the entry: who is connected, heartbeats, and how
 * the loss of a member is detected.  The states and their transitions are in
 * entry_impl.h (enum agent_state, enum peer_state).
 *
 * Entries connect to the addresses from the settings, from the entry rows and
 * from PEERS.  When two entries connect to each other at the same time, the
 * link that the entry with the lower id opened is kept.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "entry_impl.h"

#define HEARTBEAT_BYTES 60 /* size of a HEARTBEAT on the wire */
/* Half of a daemon's budget for control messages. */
#define HEARTBEAT_BYTES_PER_S 1024
#define HEARTBEAT_MIN_NS (500 * MLK_NSEC_PER_MSEC)
/* The row of a dead peer is removed after this time. */
#define DEAD_ROW_NS (10 * MLK_NSEC_PER_SEC)

struct entry_link *
members_link(struct mlk_entry *e, uint32_t link)
{
	return (g_hash_table_lookup(e->links, GUINT_TO_POINTER(link)));
}

struct agent *
members_agent(struct mlk_entry *e, uint32_t handle)
{
	if (handle >= e->agents->len)
		return (NULL);
	return (g_ptr_array_index(e->agents, handle));
}

/*
 * Returns the agent with that id; creates it when it is not known.
 */
struct agent *
members_agent_get(struct mlk_entry *e, const char *id)
{
	struct agent *a;

	a = g_hash_table_lookup(e->agent_by_id, id);
	if (a != NULL)
		return (a);
	a = g_new0(struct agent, 1);
	(void)g_strlcpy(a->id, id, sizeof(a->id));
	a->handle = e->agents->len;
	a->state = AGENT_ABSENT;
	a->first_task = ENTRY_NO_HANDLE;
	a->down_since = e->now;
	a->known = UINT64_MAX;
	a->sent = g_array_new(FALSE, FALSE, sizeof(struct mlk_claim));
	a->index = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	a->batch = g_array_new(FALSE, FALSE, sizeof(struct mlk_start_task));
	g_ptr_array_add(e->agents, a);
	(void)g_hash_table_insert(e->agent_by_id, a->id, a);
	return (a);
}

static void
agent_free(struct agent *a)
{
	g_array_free(a->sent, TRUE);
	g_array_free(a->index, TRUE);
	g_array_free(a->batch, TRUE);
	g_free(a);
}

struct peer *
members_peer_by_id(struct mlk_entry *e, const char *id)
{
	struct peer *p;
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (strcmp(p->info.id, id) == 0)
			return (p);
	}
	return (NULL);
}

static struct peer *
peer_by_addr(struct mlk_entry *e, const char *addr)
{
	struct peer *p;
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (strcmp(p->addr, addr) == 0)
			return (p);
	}
	return (NULL);
}

static struct peer *
peer_new(struct mlk_entry *e, const char *addr)
{
	struct peer *p;

	p = g_new0(struct peer, 1);
	(void)g_strlcpy(p->addr, addr, sizeof(p->addr));
	p->state = PEER_CONNECTING;
	p->since = e->now;
	g_queue_init(&p->forwards);
	g_ptr_array_add(e->peers, p);
	return (p);
}

/*
 * Creates peers from the addresses in the settings; their ids are not known
 * yet.
 */
void
members_add_configured(
    struct mlk_entry *e, const struct mlk_entry_options *options)
{
	uint32_t i;

	for (i = 0; i < options->npeers; i++) {
		if (strcmp(options->peers[i], options->self.addr) != 0 &&
		    peer_by_addr(e, options->peers[i]) == NULL)
			peer_new(e, options->peers[i])->configured = true;
	}
}

/*
 * Updates the peer that `info` describes, creates it when it is not known, and
 * returns it.  A peer that is known only by its address gets the id.  Returns
 * NULL for this entry itself and when the id is empty.
 */
static struct peer *
peer_update(struct mlk_entry *e, const struct mlk_peer_info *info)
{
	struct peer *p;

	if (info->id[0] == '\0' || strcmp(info->id, e->opt.self.id) == 0)
		return (NULL);
	p = members_peer_by_id(e, info->id);
	if (p == NULL) {
		p = peer_by_addr(e, info->addr);
		if (p != NULL && p->info.id[0] != '\0')
			p = NULL;
	}
	if (p == NULL)
		p = peer_new(e, info->addr);
	if (p->state == PEER_DEAD && p->info.incarnation != info->incarnation) {
		p->state = PEER_CONNECTING;
		p->since = e->now;
	}
	p->info = *info;
	memcpy(p->addr, info->addr, sizeof(p->addr));
	return (p);
}

/*
 * Returns whether the peer can own partitions.
 */
bool
members_peer_live(const struct peer *p)
{
	return (p->state == PEER_UP && !p->leaving);
}

uint32_t
members_live_peers(const struct mlk_entry *e)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < e->peers->len; i++)
		n += members_peer_live(g_ptr_array_index(e->peers, i));
	return (n);
}

uint32_t
members_linked_peers(const struct mlk_entry *e)
{
	const struct peer *p;
	uint32_t n = 0;
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		n += p->state == PEER_UP;
	}
	return (n);
}

/*
 * Rendezvous hashing: the member with the highest weight for a subject is
 * responsible for it.
 */
uint64_t
members_weight(const char *member, const char *subject)
{
	char text[2 * MLK_NAME_MAX + 2];

	(void)g_strlcpy(text, member, sizeof(text));
	(void)g_strlcat(text, "/", sizeof(text));
	(void)g_strlcat(text, subject, sizeof(text));
	return (XXH3_64bits(text, strlen(text)));
}

/*
 * Returns whether this entry, of all live ones, is responsible for a member:
 * for removing its row and for sending it the configuration.
 */
bool
members_responsible_for(struct mlk_entry *e, const char *id)
{
	uint64_t own = members_weight(e->opt.self.id, id);
	const struct peer *p;
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (members_peer_live(p) &&
		    members_weight(p->info.id, id) > own)
			return (false);
	}
	return (true);
}

/* ---- links ---------------------------------------------------------- */

static void
send_peer_hello(struct mlk_entry *e, struct entry_link *l)
{
	struct mlk_msg *m;

	m = entry_send(e, l, MLK_MSG_PEER_HELLO);
	if (m == NULL)
		return;
	m->u.peer_hello.self = e->opt.self;
	m->u.peer_hello.config_version = e->config.version;
	m->u.peer_hello.ownership_version = e->ownership.row_version;
}

static void
send_peers(struct mlk_entry *e, struct entry_link *l)
{
	struct mlk_peer_info *list;
	struct mlk_msg *m;
	const struct peer *p;
	uint32_t n = 0;
	guint i;

	list = malloc((e->peers->len + 1) * sizeof(*list));
	if (list == NULL)
		return;
	list[n++] = e->opt.self;
	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (members_peer_live(p))
			list[n++] = p->info;
	}
	m = entry_send(e, l, MLK_MSG_PEERS);
	if (m == NULL) {
		free(list);
		return;
	}
	m->u.peers.n = n;
	m->u.peers.peers = list;
}

/*
 * Sends the list of entries to all agents and peers after an entry was added,
 * so that agents connect to it.
 */
static void
announce_peers(struct mlk_entry *e)
{
	struct entry_link *l;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		l = value;
		if (l->kind != LINK_NEW)
			send_peers(e, l);
	}
}

/*
 * Handles a new connection.  On an outgoing one, this entry sends the first
 * message.
 */
void
members_link_up(struct mlk_entry *e, uint32_t link, uint32_t connect)
{
	struct entry_link *l;
	struct peer *p;
	guint i;

	l = g_new0(struct entry_link, 1);
	l->link = link;
	l->outgoing = connect != 0;
	l->last_sent = e->now;
	l->last_heard = e->now;
	(void)g_hash_table_insert(e->links, GUINT_TO_POINTER(link), l);
	if (connect == 0)
		return;
	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (p->connect == connect)
			p->connect = 0;
	}
	send_peer_hello(e, l);
}

/*
 * Closes a link and removes it.  A LINK_DOWN event for it that comes later is
 * ignored.
 */
static void
drop_link(struct mlk_entry *e, struct entry_link *l)
{
	uint32_t link = l->link;

	entry_close_link(e, link);
	members_link_down(e, link, 0);
}

static void
peer_dead(struct mlk_entry *e, struct peer *p)
{
	if (p->state == PEER_DEAD)
		return;
	p->state = PEER_DEAD;
	p->since = e->now;
	if (p->info.id[0] == '\0')
		return;
	entry_log(e, MLK_LOG_NOTICE, "peer %s lost", p->info.id);
	ownership_plan(e);
}

static void
connect_peer(struct mlk_entry *e, struct peer *p)
{
	struct mlk_effect *fx;

	if (p->link != NULL || p->connect != 0 || p->addr[0] == '\0')
		return;
	if (p->connect_at != 0 && e->now - p->connect_at < ENTRY_CONNECT_NS)
		return;
	if (p->state == PEER_DEAD && p->row_version == 0 && !p->configured)
		return;
	if (strcmp(p->addr, e->opt.self.addr) == 0)
		return;
	fx = mlk_effects_push(e->out, MLK_FX_CONNECT);
	if (fx == NULL)
		return;
	if (++e->last_connect == 0)
		e->last_connect = 1;
	p->connect = e->last_connect;
	p->connect_at = e->now;
	fx->u.connect.connect = p->connect;
	memcpy(fx->u.connect.addr, p->addr, sizeof(fx->u.connect.addr));
}

/*
 * Handles the close of a peer's link.  A connect attempt shows whether only
 * the link or the whole process is gone: a process that died refuses the
 * connection at once.
 */
static void
peer_link_lost(struct mlk_entry *e, struct peer *p)
{
	struct entry_link *l;
	GHashTableIter iter;
	gpointer value;

	p->link = NULL;
	g_hash_table_iter_init(&iter, e->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		l = value;
		if (l->kind == LINK_PEER && l->peer == p)
			p->link = l;
	}
	forward_peer_lost(e, p);
	if (p->link != NULL)
		return;
	p->state = PEER_CONNECTING;
	p->since = e->now;
	p->connect_at = 0;
	if (p->leaving)
		peer_dead(e, p);
	else
		connect_peer(e, p);
}

static void
agent_link_lost(struct mlk_entry *e, struct agent *a)
{
	a->link = NULL;
	a->state = AGENT_LAPSING;
	a->down_since = e->now;
	a->fence_sent = 0;
	a->fence_partial = 0;
	a->fenced = 0;
	a->rejected = 0;
	e->agents_linked--;
	mlk_sched_agent_down(e->sched, a->handle);
}

/*
 * Handles a closed link, or a failed connect attempt (link is 0 then).
 */
void
members_link_down(struct mlk_entry *e, uint32_t link, uint32_t connect)
{
	struct entry_link *l;
	struct peer *p;
	guint i;

	for (i = 0; connect != 0 && i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (p->connect != connect)
			continue;
		p->connect = 0;
		if (p->state == PEER_CONNECTING && p->was_up)
			peer_dead(e, p);
	}
	l = members_link(e, link);
	if (l == NULL)
		return;
	(void)g_hash_table_steal(e->links, GUINT_TO_POINTER(link));
	if (l->kind == LINK_AGENT && l->agent->link == l)
		agent_link_lost(e, l->agent);
	if (l->kind == LINK_PEER) {
		forward_link_lost(e, link);
		if (l->peer->link == l)
			peer_link_lost(e, l->peer);
	}
	g_free(l);
}

/*
 * Sends LEAVE to an agent or peer that connected after the planned stop began.
 */
static void
send_leave_if_stopping(struct mlk_entry *e, struct entry_link *l)
{
	if (e->phase != ENTRY_RUNNING)
		(void)entry_send(e, l, MLK_MSG_LEAVE);
}

/*
 * Sets the agent's incarnation from HELLO.  If the known incarnation is of the
 * same process, its record is intact and its tasks go on.  Otherwise that
 * incarnation is lost, even if its link still seemed to be open.
 */
static void
update_incarnation(
    struct mlk_entry *e, struct agent *a, const struct mlk_msg *msg)
{
	uint64_t before = a->incarnation;
	bool changed = before != 0 && before != msg->u.hello.incarnation;

	if (changed && before < msg->u.hello.first_incarnation &&
	    a->state != AGENT_LOST)
		accounts_agent_lost(e, a);
	if (changed) {
		a->restarted = true;
		a->close_sent = false;
	}
	a->incarnation = msg->u.hello.incarnation;
}

/*
 * Handles HELLO, with which an agent introduces itself.
 */
void
members_hello(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	struct agent *a = members_agent_get(e, msg->u.hello.id);
	struct mlk_msg *m;

	if (l->kind == LINK_AGENT) {
		/* An agent that registers again opens a new link. */
		drop_link(e, l);
		return;
	}
	if (a->link != NULL)
		drop_link(e, a->link);
	update_incarnation(e, a, msg);
	l->kind = LINK_AGENT;
	l->agent = a;
	l->config_version = msg->u.hello.config_version;
	memcpy(a->dc, msg->u.hello.dc, sizeof(a->dc));
	a->slots = msg->u.hello.slots;
	a->leaving = false;
	m = entry_send(e, l, MLK_MSG_WELCOME);
	if (m != NULL) {
		m->u.welcome.self = e->opt.self;
		m->u.welcome.config_version = e->config.version;
	}
	send_leave_if_stopping(e, l);
	send_peers(e, l);
	config_compare(e, l, l->config_version);
	a->link = l;
	a->state = AGENT_LINKED;
	e->agents_linked++;
	mlk_sched_agent_up(e->sched, a->handle, a->id, a->dc, a->slots, e->now);
	mlk_sched_agent_enable(e->sched, a->handle, false);
	if (accounts_reregister(e, a))
		return;
	accounts_fence(e, a);
	recover_agent_up(e, a);
	jobs_query_in_doubt(e, a);
}

/*
 * Closes one of two links to the same peer.  Only the entry with the lower id
 * decides, so that both entries keep the same link.
 */
static void
resolve_duplicate_link(
    struct mlk_entry *e, struct peer *p, struct entry_link *l)
{
	struct entry_link *old = p->link;
	struct entry_link *drop;

	p->link = l;
	if (old == NULL || old == l)
		return;
	if (strcmp(e->opt.self.id, p->info.id) > 0)
		return;
	drop = l->outgoing ? old : l;
	p->link = l->outgoing ? l : old;
	drop_link(e, drop);
}

/*
 * Handles PEER_HELLO; it is answered on a link that the peer opened.
 */
void
members_peer_hello(
    struct mlk_entry *e, struct entry_link *l, const struct mlk_msg *msg)
{
	struct peer *p;
	bool first;

	p = peer_update(e, &msg->u.peer_hello.self);
	if (p == NULL) {
		entry_close_link(e, l->link);
		return;
	}
	if (l->kind == LINK_NEW && !l->outgoing)
		send_peer_hello(e, l);
	if (l->kind == LINK_NEW)
		send_leave_if_stopping(e, l);
	l->kind = LINK_PEER;
	l->peer = p;
	l->config_version = msg->u.peer_hello.config_version;
	first = p->state != PEER_UP;
	if (first) {
		p->state = PEER_UP;
		p->since = e->now;
		p->leaving = false;
	}
	p->was_up = true;
	p->ownership_version = msg->u.peer_hello.ownership_version;
	e->peer_seen = true;
	config_compare(e, l, l->config_version);
	resolve_duplicate_link(e, p, l);
	if (p->ownership_version > e->ownership.row_version)
		e->poll_wanted = true;
	if (first) {
		announce_peers(e);
		ownership_plan(e);
		forward_route_parked(e);
	}
}

/*
 * Handles PEERS, which gives the addresses of other entries.  What it says of
 * an entry that is linked here is ignored, since it may be older than that
 * entry's own PEER_HELLO.
 */
void
members_peers(struct mlk_entry *e, const struct mlk_msg *msg)
{
	const struct mlk_peer_info *info;
	const struct peer *p;
	uint32_t i;

	for (i = 0; i < msg->u.peers.n; i++) {
		info = &msg->u.peers.peers[i];
		p = members_peer_by_id(e, info->id);
		if (p == NULL || p->state != PEER_UP)
			(void)peer_update(e, info);
	}
}

/*
 * Handles LEAVE: an agent gets no new work, and a peer no more partitions.
 */
void
members_leave(struct mlk_entry *e, struct entry_link *l)
{
	if (l->kind == LINK_AGENT) {
		l->agent->leaving = true;
		accounts_update_enabled(e, l->agent);
		entry_log_agent(
		    e, MLK_LOG_INFO, l->agent, "agent leaves, no new work");
	} else if (l->kind == LINK_PEER) {
		l->peer->leaving = true;
		ownership_plan(e);
	}
}

/*
 * Applies the entry rows of a view: updates the peers, and finds the own row.
 */
void
members_apply_rows(struct mlk_entry *e, const struct mlk_store_view *view)
{
	const struct mlk_entry_row *row;
	struct peer *p;
	uint32_t i;
	guint k;

	e->own_row.row_version = 0;
	for (k = 0; k < e->peers->len; k++) {
		p = g_ptr_array_index(e->peers, k);
		p->row_version = 0;
	}
	for (i = 0; i < view->nentries; i++) {
		row = &view->entries[i];
		if (strcmp(row->info.id, e->opt.self.id) == 0) {
			e->own_row = *row;
			continue;
		}
		p = peer_update(e, &row->info);
		if (p != NULL)
			p->row_version = row->row_version;
	}
}

/* ---- periodic work --------------------------------------------------- */

/*
 * Declares a peer dead that is up but has been silent for peer_timeout_ms, or
 * that could not be reached for this time.
 */
static void
check_peer(struct mlk_entry *e, struct peer *p)
{
	int64_t timeout = entry_ms_to_ns(e->opt.peer_timeout_ms);

	if (p->state == PEER_UP && e->now - p->link->last_heard > timeout) {
		drop_link(e, p->link);
		peer_dead(e, p);
	} else if (p->state == PEER_CONNECTING && e->now - p->since > timeout) {
		peer_dead(e, p);
	}
}

static void
send_heartbeat(struct mlk_entry *e, struct entry_link *l)
{
	struct mlk_msg *m;

	m = entry_send(e, l, MLK_MSG_HEARTBEAT);
	if (m == NULL)
		return;
	m->u.heartbeat.config_version = e->config.version;
	m->u.heartbeat.ownership_version = e->ownership.row_version;
}

/*
 * Returns the interval of heartbeats to agents in ns.  It grows with the number
 * of links, to keep their traffic near HEARTBEAT_BYTES_PER_S, but stays below
 * the lease: when an entry is silent for longer than the lease, an agent
 * revokes its idle credits and refuses its next START; after three leases the
 * agent closes the link.
 */
static int64_t
heartbeat_interval(const struct mlk_entry *e)
{
	int64_t interval, longest;

	interval = (int64_t)g_hash_table_size(e->links) * HEARTBEAT_BYTES *
	    MLK_NSEC_PER_SEC / HEARTBEAT_BYTES_PER_S;
	longest = entry_ms_to_ns(e->opt.lease_ms) * 2 / 3;
	return (
	    CLAMP(interval, HEARTBEAT_MIN_NS, MAX(longest, HEARTBEAT_MIN_NS)));
}

/*
 * Announces a change of ownership to the peers at once, so that they poll the
 * table.
 */
void
members_announce_ownership(struct mlk_entry *e)
{
	struct peer *p;
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		if (p->link != NULL)
			send_heartbeat(e, p->link);
	}
}

void
members_announce_leave(struct mlk_entry *e)
{
	struct entry_link *l;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		l = value;
		if (l->kind != LINK_NEW)
			(void)entry_send(e, l, MLK_MSG_LEAVE);
	}
}

/*
 * Sends the heartbeats that are due, and drops links that were silent for
 * longer than the lease.  Silent links to peers are dropped by check_peer().
 */
static void
check_links(struct mlk_entry *e)
{
	int64_t interval = heartbeat_interval(e);
	GSList *silent = NULL;
	struct entry_link *l;
	GHashTableIter iter;
	gpointer value;
	GSList *node;

	g_hash_table_iter_init(&iter, e->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		l = value;
		if (l->kind == LINK_PEER) {
			if (e->now - l->last_sent >= ENTRY_PEER_BEAT_NS)
				send_heartbeat(e, l);
			continue;
		}
		if (l->kind == LINK_AGENT && e->now - l->last_sent >= interval)
			send_heartbeat(e, l);
		if (e->now - l->last_heard > entry_ms_to_ns(e->opt.lease_ms))
			silent = g_slist_prepend(silent, l);
	}
	for (node = silent; node != NULL; node = node->next)
		drop_link(e, node->data);
	g_slist_free(silent);
}

/*
 * Removes the row of a peer that has been dead for DEAD_ROW_NS and owns no
 * partition.
 */
static void
remove_dead_row(struct mlk_entry *e, struct peer *p)
{
	struct mlk_store_op *op;
	uint32_t i;

	if (p->state != PEER_DEAD || p->row_version == 0 || !e->store_up ||
	    e->now - p->since < DEAD_ROW_NS || e->remove_op != 0 ||
	    !members_responsible_for(e, p->info.id))
		return;
	for (i = 0; i < MLK_PARTITIONS; i++) {
		if (strcmp(e->ownership.part[i].owner, p->info.id) == 0)
			return;
	}
	op = entry_store(e, MLK_STORE_REMOVE_ENTRY, &e->remove_op);
	if (op == NULL)
		return;
	memcpy(op->subject, p->info.id, sizeof(op->subject));
	op->entry.row_version = p->row_version;
	op->entry.info = p->info;
	p->row_version = 0;
}

/*
 * Reports the number of live entries to the scheduler, which divides quotas by
 * it.
 */
static void
update_live_entries(struct mlk_entry *e)
{
	uint32_t n = members_live_peers(e) + 1;

	if (n == e->live_entries)
		return;
	e->live_entries = n;
	mlk_sched_set_entries(e->sched, n);
}

/*
 * Work that is done every ENTRY_SERVICE_NS: connect attempts, heartbeats and
 * the detection of lost members.
 */
void
members_service(struct mlk_entry *e)
{
	struct agent *a;
	struct peer *p;
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		check_peer(e, p);
		connect_peer(e, p);
		remove_dead_row(e, p);
	}
	check_links(e);
	update_live_entries(e);
	for (i = 0; i < e->agents->len; i++) {
		a = g_ptr_array_index(e->agents, i);
		if (a->state == AGENT_LAPSING &&
		    e->now - a->down_since >=
			entry_ms_to_ns(e->opt.agent_lapse_ms))
			accounts_agent_lost(e, a);
	}
}

/*
 * Frees all members; links first, since they point to the others.
 */
void
members_free(struct mlk_entry *e)
{
	struct peer *p;
	guint i;

	g_hash_table_destroy(e->links);
	for (i = 0; i < e->agents->len; i++)
		agent_free(g_ptr_array_index(e->agents, i));
	g_hash_table_destroy(e->agent_by_id);
	g_ptr_array_free(e->agents, TRUE);
	for (i = 0; i < e->peers->len; i++) {
		p = g_ptr_array_index(e->peers, i);
		g_free(p);
	}
	g_ptr_array_free(e->peers, TRUE);
}
