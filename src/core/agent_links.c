/*
 * Links to entries.
 *
 * There is one struct agent_entry per known address.  Its states are IDLE ->
 * CONNECTING -> HELLO -> LINKED, and back to IDLE with a jittered back-off when
 * the link closes or times out.  If two addresses lead to the same entry, the
 * newer link is kept, since the older may be half open; the other address is an
 * ALIAS until that link closes.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_priv.h"

#define CONNECT_BACKOFF_MIN_MS 100U
/*
 * Well below agent_lapse_ms (3 s), after which an entry declares the agent
 * lost: a brief network outage must not lead to a new incarnation.
 */
#define CONNECT_BACKOFF_MAX_MS 1000U
/* A third of the lease, so that a lease outlasts two late heartbeats. */
#define HEARTBEAT_MS 1000
/* A link is closed after this many lease periods without a message. */
#define SILENCE_LEASES 3
/* An address is removed when it has not been listed for this long. */
#define ADDRESS_EXPIRY_MS 60000

/*
 * Returns the time since `at` in ms.
 */
static int64_t
since_ms(const struct mlk_agent *agent, int64_t at)
{
	return ((agent->now - at) / MLK_NSEC_PER_MSEC);
}

/*
 * Returns the index of an entry, which is also its handle in mlk_slots.
 */
uint32_t
agent_entry_index(
    const struct mlk_agent *agent, const struct agent_entry *entry)
{
	return ((uint32_t)(entry - agent->entries));
}

/*
 * Returns the entry of a link in state HELLO or LINKED, or NULL.
 */
struct agent_entry *
agent_entry_by_link(struct mlk_agent *agent, uint32_t link)
{
	struct agent_entry *entry;
	uint32_t i;

	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		if ((entry->state == AGENT_LINK_HELLO ||
			entry->state == AGENT_LINK_LINKED) &&
		    entry->link == link)
			return (entry);
	}
	return (NULL);
}

/*
 * Returns the linked entry that has a serial, or NULL.
 */
struct agent_entry *
agent_entry_by_serial(struct mlk_agent *agent, uint16_t serial)
{
	struct agent_entry *entry;
	uint32_t i;

	for (i = 0; serial != AGENT_NO_ENTRY && i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		if (entry->state == AGENT_LINK_LINKED &&
		    entry->serial == serial)
			return (entry);
	}
	return (NULL);
}

/*
 * Adds the address of an entry, or records that a known one is still listed.
 */
void
agent_addr_add(struct mlk_agent *agent, const char *addr, bool permanent)
{
	struct agent_entry *entry, *unused;
	uint32_t i;

	if (addr[0] == '\0')
		return;
	unused = NULL;
	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		if (entry->state == AGENT_LINK_UNUSED) {
			if (unused == NULL)
				unused = entry;
		} else if (strcmp(entry->addr, addr) == 0) {
			entry->listed_at = agent->now;
			return;
		}
	}
	if (unused == NULL) {
		agent_log(agent, MLK_LOG_WARNING,
		    "too many entries; %s is not used", addr);
		return;
	}
	memset(unused, 0, sizeof(*unused));
	(void)g_strlcpy(unused->addr, addr, sizeof(unused->addr));
	unused->state = AGENT_LINK_IDLE;
	unused->permanent = permanent;
	unused->listed_at = agent->now;
	unused->retry_at = agent->now;
	unused->sent = g_array_new(FALSE, FALSE, sizeof(struct agent_sent));
}

static void
entry_remove(struct agent_entry *entry)
{
	free(entry->items);
	g_array_free(entry->sent, TRUE);
	memset(entry, 0, sizeof(*entry));
}

/*
 * Starts or stops granting credits to an entry; stopping also revokes the
 * credits that the entry holds.  With `queue_at_worker` no credits are granted:
 * every slot must be available to the START at the head of the queue, whichever
 * entry sent it.
 */
static void
entry_set_lending(struct mlk_agent *agent, struct agent_entry *entry, bool lend)
{
	uint32_t index;

	if (entry->lending == lend || agent->options.queue_at_worker)
		return;
	index = agent_entry_index(agent, entry);
	entry->lending = lend;
	if (lend)
		mlk_slots_entry_up(agent->slots, index, agent->now);
	else
		mlk_slots_entry_down(agent->slots, index);
}

/*
 * Resets the entry after its link has closed.  Its id, incarnation and serial
 * stay, so that a reconnect to the same process keeps the serial.
 */
static void
entry_down(struct mlk_agent *agent, struct agent_entry *entry)
{
	struct agent_entry *other;
	enum agent_link_state was;
	uint32_t i;

	was = entry->state;
	entry_set_lending(agent, entry, false);
	if (was == AGENT_LINK_HELLO || was == AGENT_LINK_LINKED)
		agent_queue_drop(agent, entry->link);
	agent_results_reset(agent, entry);
	entry->state = AGENT_LINK_IDLE;
	entry->link = MLK_LINK_NONE;
	entry->connect = 0;
	entry->retry_at = agent_backoff(agent, &entry->backoff_ms,
	    CONNECT_BACKOFF_MIN_MS, CONNECT_BACKOFF_MAX_MS);
	if (was != AGENT_LINK_LINKED)
		return;
	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		other = &agent->entries[i];
		if (other->state == AGENT_LINK_ALIAS &&
		    strcmp(other->id, entry->id) == 0) {
			other->state = AGENT_LINK_IDLE;
			other->retry_at = entry->retry_at;
		}
	}
	agent_results_route_all(agent);
}

static void
entry_close(struct mlk_agent *agent, struct agent_entry *entry)
{
	struct mlk_effect *fx;

	fx = mlk_effects_push(agent->out, MLK_FX_CLOSE_LINK);
	if (fx == NULL)
		agent->error = MLK_ERR_NOMEM;
	else
		fx->u.close.link = entry->link;
	entry_down(agent, entry);
}

static void
entry_connect(struct mlk_agent *agent, struct agent_entry *entry)
{
	struct mlk_effect *fx;

	fx = mlk_effects_push(agent->out, MLK_FX_CONNECT);
	if (fx == NULL) {
		agent->error = MLK_ERR_NOMEM;
		return;
	}
	if (++agent->next_connect == 0)
		agent->next_connect = 1;
	entry->connect = agent->next_connect;
	entry->state = AGENT_LINK_CONNECTING;
	fx->u.connect.connect = entry->connect;
	memcpy(fx->u.connect.addr, entry->addr, sizeof(fx->u.connect.addr));
}

/*
 * Checks an established link: closes it after SILENCE_LEASES lease periods
 * without a message, stops granting credits after one, and sends a heartbeat
 * when one is due.
 */
static void
link_check(struct mlk_agent *agent, struct agent_entry *entry)
{
	struct mlk_msg *msg;
	int64_t silent_ms;

	silent_ms = since_ms(agent, entry->received_at);
	if (silent_ms > SILENCE_LEASES * (int64_t)agent->options.lease_ms) {
		agent_log(agent, MLK_LOG_WARNING,
		    "entry at %s is silent; closing the link", entry->addr);
		entry_close(agent, entry);
		return;
	}
	if (silent_ms > agent->options.lease_ms)
		entry_set_lending(agent, entry, false);
	if (entry->state != AGENT_LINK_LINKED ||
	    since_ms(agent, entry->sent_at) < HEARTBEAT_MS)
		return;
	msg = agent_send(agent, entry, MLK_MSG_HEARTBEAT);
	if (msg != NULL)
		msg->u.heartbeat.config_version = agent->config.version;
}

/*
 * Removes addresses that are no longer listed, connects to the entries whose
 * retry time has come, and checks the established links.
 */
void
agent_links_tick(struct mlk_agent *agent)
{
	struct agent_entry *entry;
	uint32_t i;

	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		switch (entry->state) {
		case AGENT_LINK_IDLE:
			if (!entry->permanent &&
			    since_ms(agent, entry->listed_at) >
				ADDRESS_EXPIRY_MS)
				entry_remove(entry);
			else if (agent->incarnation != 0 &&
			    agent->now >= entry->retry_at)
				entry_connect(agent, entry);
			break;
		case AGENT_LINK_HELLO:
		case AGENT_LINK_LINKED:
			link_check(agent, entry);
			break;
		case AGENT_LINK_UNUSED:
		case AGENT_LINK_CONNECTING:
		case AGENT_LINK_ALIAS:
			break;
		}
	}
}

/*
 * Closes every link and reconnects without back-off.  Used after a pause, and
 * after a change of the incarnation, which is announced in HELLO, the first
 * message of a link.
 */
void
agent_links_restart(struct mlk_agent *agent)
{
	struct agent_entry *entry;
	uint32_t i;

	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		if (entry->state == AGENT_LINK_HELLO ||
		    entry->state == AGENT_LINK_LINKED)
			entry_close(agent, entry);
		if (entry->state == AGENT_LINK_IDLE ||
		    entry->state == AGENT_LINK_ALIAS) {
			entry->state = AGENT_LINK_IDLE;
			entry->retry_at = agent->now;
			entry->backoff_ms = 0;
		}
	}
	agent_links_tick(agent);
}

/*
 * Applies the establishment of an outgoing connection: sends HELLO.
 */
void
agent_link_up(struct mlk_agent *agent, uint32_t connect, uint32_t link)
{
	struct agent_entry *entry;
	struct mlk_effect *fx;
	struct mlk_msg *msg;
	uint32_t i;

	entry = NULL;
	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		if (agent->entries[i].state == AGENT_LINK_CONNECTING &&
		    agent->entries[i].connect == connect)
			entry = &agent->entries[i];
	}
	if (entry == NULL) {
		fx = mlk_effects_push(agent->out, MLK_FX_CLOSE_LINK);
		if (fx != NULL)
			fx->u.close.link = link;
		return;
	}
	entry->state = AGENT_LINK_HELLO;
	entry->link = link;
	entry->has_received = false;
	entry->received_at = agent->now;
	entry->leaving = false;
	entry->config_version = 0;
	msg = agent_send(agent, entry, MLK_MSG_HELLO);
	if (msg == NULL)
		return;
	memcpy(msg->u.hello.id, agent->options.id, MLK_NAME_MAX);
	memcpy(msg->u.hello.dc, agent->options.dc, MLK_NAME_MAX);
	msg->u.hello.incarnation = agent->incarnation;
	msg->u.hello.first_incarnation = agent->first_incarnation;
	msg->u.hello.slots = agent->options.slots;
	msg->u.hello.config_version = agent->config.version;
}

/*
 * Applies the end of a link, or a failed connect (link is MLK_LINK_NONE).
 */
void
agent_link_down(struct mlk_agent *agent, uint32_t connect, uint32_t link)
{
	struct agent_entry *entry;
	uint32_t i;

	if (link != MLK_LINK_NONE) {
		entry = agent_entry_by_link(agent, link);
		if (entry != NULL)
			entry_down(agent, entry);
		return;
	}
	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		if (entry->state == AGENT_LINK_CONNECTING &&
		    entry->connect == connect)
			entry_down(agent, entry);
	}
}

/*
 * Renews the lease of an entry when a message arrives.  lease_ok tells whether
 * the lease was still valid before this message: a START that arrives after a
 * longer gap may come from an entry that has been replaced meanwhile.  The
 * first message of a link counts as in time.
 */
void
agent_lease_renew(struct mlk_agent *agent, struct agent_entry *entry)
{
	entry->lease_ok = !entry->has_received ||
	    since_ms(agent, entry->received_at) <=
		(int64_t)agent->options.lease_ms;
	entry->has_received = true;
	entry->received_at = agent->now;
	if (entry->state != AGENT_LINK_LINKED || entry->leaving)
		return;
	if (!entry->lease_ok)
		entry_set_lending(agent, entry, false);
	entry_set_lending(agent, entry, true);
}

/*
 * Returns the serial of an entry process, or a new one if none is known.
 */
static uint16_t
serial_of(struct mlk_agent *agent, const struct mlk_peer_info *info)
{
	const struct agent_entry *entry;
	uint32_t i;

	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		entry = &agent->entries[i];
		if (entry->serial != AGENT_NO_ENTRY &&
		    entry->incarnation == info->incarnation &&
		    strcmp(entry->id, info->id) == 0)
			return (entry->serial);
	}
	if (++agent->next_serial == AGENT_NO_ENTRY)
		agent->next_serial++;
	return (agent->next_serial);
}

/*
 * Applies WELCOME: the link is in use from now on.  Other addresses of the same
 * entry process are not connected until this link closes.  The link of such an
 * address may be closed already, because the entry closes it when HELLO arrives
 * on this one.
 */
void
agent_welcome(struct mlk_agent *agent, struct agent_entry *entry,
    const struct mlk_msg *msg)
{
	const struct mlk_peer_info *info;
	struct agent_entry *other;
	uint32_t i;

	if (entry->state != AGENT_LINK_HELLO)
		return;
	info = &msg->u.welcome.self;
	for (i = 0; i < AGENT_ENTRIES_MAX; i++) {
		other = &agent->entries[i];
		if (strcmp(other->id, info->id) != 0)
			continue;
		if (other->state == AGENT_LINK_LINKED)
			entry_close(agent, other);
		else if (other->state != AGENT_LINK_IDLE ||
		    other->incarnation != info->incarnation)
			continue;
		other->state = AGENT_LINK_ALIAS;
	}
	entry->serial = serial_of(agent, info);
	memcpy(entry->id, info->id, sizeof(entry->id));
	entry->incarnation = info->incarnation;
	entry->state = AGENT_LINK_LINKED;
	entry->backoff_ms = 0;
	entry_set_lending(agent, entry, true);
	if (!agent->has_config_required) {
		agent->has_config_required = true;
		agent->config_required = msg->u.welcome.config_version;
	}
	agent_config_sync(agent, entry, msg->u.welcome.config_version);
	if (agent->stopping)
		(void)agent_send(agent, entry, MLK_MSG_LEAVE);
	agent_results_route_all(agent);
}

/*
 * Applies PEERS: adds the addresses of further entries.
 */
void
agent_peers(struct mlk_agent *agent, const struct mlk_msg *msg)
{
	uint32_t i;

	for (i = 0; i < msg->u.peers.n; i++)
		agent_addr_add(agent, msg->u.peers.peers[i].addr, false);
}

/*
 * Applies LEAVE: the entry sends no more tasks and needs no credits.
 */
void
agent_entry_leave(struct mlk_agent *agent, struct agent_entry *entry)
{
	entry->leaving = true;
	entry_set_lending(agent, entry, false);
}

/*
 * Records the configuration version of an entry, and sends the entry this
 * agent's configuration if it is newer and the entry is linked.
 */
void
agent_config_sync(
    struct mlk_agent *agent, struct agent_entry *entry, uint64_t version)
{
	struct mlk_msg *msg;

	entry->config_version = MAX(entry->config_version, version);
	if (entry->state != AGENT_LINK_LINKED ||
	    entry->config_version >= agent->config.version)
		return;
	msg = agent_send(agent, entry, MLK_MSG_CONFIG);
	if (msg == NULL)
		return;
	if (mlk_config_copy(&msg->u.config, &agent->config) != 0)
		agent->error = MLK_ERR_NOMEM;
	entry->config_version = agent->config.version;
}
