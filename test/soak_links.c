/*
 * The network of the soak.  All links to entries and all connections to the
 * store and to workers pass through a relay, which cuts or delays them for a
 * random time, resets them, or silences them: a silenced connection stays open
 * but delivers nothing any more.
 */
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define STORE "store"
#define STORE_PERCENT 25U /* of faults, at least, are on links to the store */
#define FAULT_MIN_MS 50U
#define FAULT_SPREAD_MS 3000U
#define RESET_MS 20U /* duration of a reset; new connections are reset too */
#define DELAY_MAX_MS 300U
#define WORKER_FAULT_MIN_MS 5U
#define WORKER_FAULT_SPREAD_MS 2000U

void
soak_links_create(struct soak *s)
{
	s->relay = relay_create();
	s->links = g_array_new(FALSE, FALSE, sizeof(struct soak_link_fault));
}

void
soak_links_destroy(struct soak *s)
{
	relay_destroy(s->relay);
	(void)g_array_free(s->links, TRUE);
}

/*
 * Starts the relay for links to an entry, at the address that it advertises.
 */
void
soak_links_open_entry(struct soak *s, const struct soak_proc *p)
{
	char addr[MLK_ADDR_MAX], target[MLK_ADDR_MAX];

	soak_entry_addr(s, p->index, SOAK_PORT_LINKS, addr);
	soak_entry_listen_addr(s, p->index, target);
	(void)relay_listen(s->relay, "", p->id, addr, target);
}

/*
 * Starts the relay from a program to the store, and returns its address.
 */
const char *
soak_links_open_store(struct soak *s, const struct soak_proc *p)
{
	char target[MLK_ADDR_MAX];

	soak_store_addr(s, target);
	return (relay_listen(s->relay, p->id, STORE, NULL, target));
}

static void
worker_name(uint32_t i, char out[24])
{
	(void)snprintf(out, 24, "worker-%u", i);
}

/*
 * Starts the relay from an agent to its worker, and returns its address.
 */
const char *
soak_links_open_worker(struct soak *s, const struct soak_proc *p)
{
	char name[24], target[MLK_ADDR_MAX];

	worker_name(p->index, name);
	soak_agent_addr(s, p->index, SOAK_PORT_WORKERS + p->index, target);
	return (relay_listen(s->relay, p->id, name, NULL, target));
}

/*
 * Cuts an entry or an agent off from all other programs, or ends that.
 */
static void
isolate(struct soak *s, const char *id, bool on)
{
	uint32_t i;

	for (i = 0; i < s->nprocs; i++) {
		if (strcmp(s->procs[i].id, id) != 0)
			relay_cut_both(s->relay, id, s->procs[i].id, on);
	}
}

static void
fault_set(struct soak *s, const struct soak_link_fault *f, bool on)
{
	switch (f->kind) {
	case SOAK_LINK_CUT:
		relay_cut(s->relay, f->a, f->b, on);
		break;
	case SOAK_LINK_CUT_BACK:
		relay_cut(s->relay, f->b, f->a, on);
		break;
	case SOAK_LINK_CUT_BOTH:
		relay_cut_both(s->relay, f->a, f->b, on);
		break;
	case SOAK_LINK_ISOLATE:
		isolate(s, f->a, on);
		break;
	case SOAK_LINK_DELAY:
		relay_delay(s->relay, f->a, f->b, on ? f->delay_ms : 0);
		relay_delay(s->relay, f->b, f->a, on ? f->delay_ms : 0);
		break;
	case SOAK_LINK_RESET:
		relay_break(s->relay, f->a, f->b, on);
		break;
	case SOAK_LINK_SILENCE:
		if (on)
			relay_silence(s->relay, f->a, f->b);
		break;
	case SOAK_LINK_KINDS:
		break;
	}
}

/*
 * Injects a random fault between a program and an entry, or the store.
 */
void
soak_links_inject_fault(struct soak *s)
{
	/* Half of the draws of p are among entries, which come first. */
	const struct soak_proc *p = &s->procs[soak_random(
	    s, soak_random(s, 2) == 0 ? s->options.entries : s->nprocs)];
	const struct soak_proc *q =
	    &s->procs[soak_random(s, s->options.entries)];
	struct soak_link_fault f = { 0 };

	f.kind = (enum soak_link_kind)soak_random(s, SOAK_LINK_KINDS);
	f.until = s->now + FAULT_MIN_MS + soak_random(s, FAULT_SPREAD_MS);
	if (f.kind == SOAK_LINK_RESET)
		f.until = s->now + RESET_MS;
	f.delay_ms = 1 + soak_random(s, DELAY_MAX_MS);
	(void)g_strlcpy(f.a, p->id, sizeof(f.a));
	(void)g_strlcpy(f.b, q->id, sizeof(f.b));
	if (p == q || soak_random(s, 100) < STORE_PERCENT)
		(void)g_strlcpy(f.b, STORE, sizeof(f.b));
	fault_set(s, &f, true);
	(void)g_array_append_val(s->links, f);
}

/*
 * Injects a random fault between worker i, which works on, and its agent: among
 * others, its connections are reset for a while, and new ones closed at once.
 */
void
soak_links_inject_worker_fault(struct soak *s, uint32_t i)
{
	static const enum soak_link_kind kinds[] = { SOAK_LINK_CUT,
		SOAK_LINK_CUT_BACK, SOAK_LINK_CUT_BOTH, SOAK_LINK_RESET,
		SOAK_LINK_RESET, SOAK_LINK_SILENCE };
	struct soak_link_fault f = { 0 };

	f.kind = kinds[soak_random(s, G_N_ELEMENTS(kinds))];
	f.until = s->now + WORKER_FAULT_MIN_MS +
	    soak_random(s, WORKER_FAULT_SPREAD_MS);
	(void)g_strlcpy(f.a, s->procs[s->options.entries + i].id, sizeof(f.a));
	worker_name(i, f.b);
	fault_set(s, &f, true);
	(void)g_array_append_val(s->links, f);
}

/*
 * Simulates a power loss: the connections of a program deliver nothing more,
 * and its peers see no end of them.
 */
void
soak_links_power_loss(struct soak *s, const char *id)
{
	relay_silence(s->relay, id, "");
}

/*
 * Ends the faults whose time is over, or all faults if `heal` is set.
 */
void
soak_links_tick(struct soak *s, bool heal)
{
	struct soak_link_fault f;
	guint i;

	for (i = s->links->len; i > 0; i--) {
		f = g_array_index(s->links, struct soak_link_fault, i - 1);
		if (!heal && s->now < f.until)
			continue;
		(void)g_array_remove_index_fast(s->links, i - 1);
		fault_set(s, &f, false);
	}
}
