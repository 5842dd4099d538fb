/*
 * Queues of tasks.  Each class and urgency level has one queue per team; the
 * team that has used the least slot time for its weight goes first (start-time
 * fair queueing).  Tasks are in linked lists, so that removal takes constant
 * time; an empty team queue leaves the heap when it reaches the root.  The
 * queues of a team at its quota leave the heap until one of its tasks ends.  Of
 * a kind whose class is not known yet, at most KIND_UNKNOWN_MAX tasks are
 * queued or in flight, and the others are held.
 */
#include <stdlib.h>
#include <string.h>

#include "sched_priv.h"

#define KIND_UNKNOWN_MAX 8 /* tasks of an unknown kind queued or in flight */

/*
 * Returns the record of a team, which is created on first use.  Beyond
 * SCHED_NAMES_MAX all new names share one record.
 */
struct sched_team *
mlk_sched_team(struct mlk_sched *sched, const char *name)
{
	struct sched_team_queue *tq;
	struct sched_team *team;
	uint32_t c, l;

	team = g_hash_table_lookup(sched->teams, name);
	if (team != NULL)
		return (team);
	if (g_hash_table_size(sched->teams) >= SCHED_NAMES_MAX) {
		name = "";
		team = g_hash_table_lookup(sched->teams, name);
		if (team != NULL)
			return (team);
	}
	team = g_new0(struct sched_team, 1);
	(void)g_strlcpy(team->name, name, sizeof(team->name));
	team->weight = 1;
	team->quota = SCHED_QUOTA_NONE;
	team->prefer_dc = SCHED_NO_DC;
	for (c = 0; c < SCHED_CLASSES; c++) {
		for (l = 0; l < SCHED_LEVELS; l++) {
			tq = &team->q[c][l];
			tq->team = team;
			TAILQ_INIT(&tq->nodes);
		}
	}
	g_hash_table_insert(sched->teams, team->name, team);
	return (team);
}

/*
 * Returns how many tasks a team may have in flight at this entry.  The quota is
 * for all entries together; each enforces an equal part, rounded up.
 */
uint32_t
mlk_sched_team_limit(
    const struct mlk_sched *sched, const struct sched_team *team)
{
	uint64_t limit;

	if (team->quota == SCHED_QUOTA_NONE)
		return (UINT32_MAX);
	if (team->quota == 0)
		return (0);
	limit = (uint64_t)team->quota * sched->known_slots / 1000;
	limit = (limit + sched->nentries - 1) / sched->nentries;
	return (limit == 0 ? 1 : (uint32_t)limit);
}

void
mlk_sched_queue_init(struct mlk_sched *sched)
{
	uint32_t c, i, l;

	for (c = 0; c < SCHED_CLASSES; c++) {
		for (l = 0; l < SCHED_LEVELS; l++)
			sched->queue[c][l].heap = g_ptr_array_new();
	}
	for (i = 0; i < SCHED_WHEEL_SLOTS; i++)
		TAILQ_INIT(&sched->wheel[i]);
}

void
mlk_sched_queue_free(struct mlk_sched *sched)
{
	uint32_t c, l;

	for (c = 0; c < SCHED_CLASSES; c++) {
		for (l = 0; l < SCHED_LEVELS; l++)
			g_ptr_array_free(sched->queue[c][l].heap, TRUE);
	}
}

static struct sched_team_queue *
heap_at(const struct sched_class_queue *cq, guint i)
{
	return (g_ptr_array_index(cq->heap, i));
}

static void
heap_swap(struct sched_class_queue *cq, guint i, guint j)
{
	gpointer tmp;

	tmp = cq->heap->pdata[i];
	cq->heap->pdata[i] = cq->heap->pdata[j];
	cq->heap->pdata[j] = tmp;
}

/*
 * Restores the heap order after the virtual time of the root grew.
 */
static void
heap_sift_down(struct sched_class_queue *cq)
{
	guint child, i = 0;

	for (;;) {
		child = 2 * i + 1;
		if (child >= cq->heap->len)
			return;
		if (child + 1 < cq->heap->len &&
		    heap_at(cq, child + 1)->vtime < heap_at(cq, child)->vtime)
			child++;
		if (heap_at(cq, i)->vtime <= heap_at(cq, child)->vtime)
			return;
		heap_swap(cq, i, child);
		i = child;
	}
}

static void
heap_push(struct sched_class_queue *cq, struct sched_team_queue *tq)
{
	guint i, parent;

	tq->in_heap = true;
	g_ptr_array_add(cq->heap, tq);
	for (i = cq->heap->len - 1; i > 0; i = parent) {
		parent = (i - 1) / 2;
		if (heap_at(cq, parent)->vtime <= heap_at(cq, i)->vtime)
			return;
		heap_swap(cq, i, parent);
	}
}

static void
heap_pop(struct sched_class_queue *cq)
{
	heap_at(cq, 0)->in_heap = false;
	heap_swap(cq, 0, cq->heap->len - 1);
	(void)g_ptr_array_remove_index(cq->heap, cq->heap->len - 1);
	heap_sift_down(cq);
}

/*
 * Puts a non-empty team queue on its heap.  A team that was idle starts at the
 * current virtual time, so that it does not accumulate unused share.
 */
static void
activate(struct sched_class_queue *cq, struct sched_team_queue *tq)
{
	if (tq->in_heap || TAILQ_EMPTY(&tq->nodes))
		return;
	if (tq->vtime < cq->vtime)
		tq->vtime = cq->vtime;
	heap_push(cq, tq);
}

/*
 * Links a released node into the queue of its team.
 */
static void
link_node(struct mlk_sched *sched, struct sched_node *node, bool head)
{
	struct sched_kind *kind = node->kind;
	struct sched_team_queue *tq;

	node->held = false;
	node->class = kind->is_long ? SCHED_LONG : SCHED_SHORT;
	node->level = kind->level;
	node->cost_ms = mlk_sched_kind_cost(kind);
	tq = &node->team->q[node->class][node->level];
	if (head)
		TAILQ_INSERT_HEAD(&tq->nodes, node, link);
	else
		TAILQ_INSERT_TAIL(&tq->nodes, node, link);
	TAILQ_INSERT_TAIL(&kind->queued, node, kind_link);
	sched->queued[node->class]++;
	sched->backlog_ms[node->class] += node->cost_ms;
	activate(&sched->queue[node->class][node->level], tq);
}

static void
unlink_node(struct mlk_sched *sched, struct sched_node *node)
{
	struct sched_team_queue *tq;

	tq = &node->team->q[node->class][node->level];
	TAILQ_REMOVE(&tq->nodes, node, link);
	TAILQ_REMOVE(&node->kind->queued, node, kind_link);
	sched->queued[node->class]--;
	sched->backlog_ms[node->class] -= node->cost_ms;
	if (sched->queued[node->class] == 0)
		sched->backlog_ms[node->class] = 0;
}

/*
 * Puts a node in the bucket of its deadline, or, if the deadline has passed
 * already, in the next bucket to be examined.
 */
static void
link_deadline(struct mlk_sched *sched, struct sched_node *node)
{
	int64_t tick;

	tick = MAX(node->deadline / SCHED_WHEEL_NS, sched->wheel_tick);
	node->wheel_slot = (uint32_t)(tick % SCHED_WHEEL_SLOTS);
	TAILQ_INSERT_TAIL(&sched->wheel[node->wheel_slot], node, wheel_link);
	sched->with_deadline++;
}

/*
 * Queues a node in the queue of its team, or holds it while KIND_UNKNOWN_MAX
 * tasks of its unknown kind are queued or in flight.
 */
void
mlk_sched_queue_insert(
    struct mlk_sched *sched, struct sched_node *node, bool head)
{
	struct sched_kind *kind = node->kind;

	node->team->queued++;
	if (node->deadline != 0)
		link_deadline(sched, node);
	if (!kind->known && kind->released >= KIND_UNKNOWN_MAX) {
		node->held = true;
		node->class = SCHED_LONG;
		if (head)
			TAILQ_INSERT_HEAD(&kind->held, node, link);
		else
			TAILQ_INSERT_TAIL(&kind->held, node, link);
		sched->held++;
		return;
	}
	kind->released++;
	link_node(sched, node, head);
}

/*
 * Removes a node from every list, in constant time.
 */
void
mlk_sched_queue_remove(struct mlk_sched *sched, struct sched_node *node)
{
	node->team->queued--;
	if (node->deadline != 0) {
		TAILQ_REMOVE(&sched->wheel[node->wheel_slot], node, wheel_link);
		sched->with_deadline--;
	}
	if (node->held) {
		TAILQ_REMOVE(&node->kind->held, node, link);
		sched->held--;
		return;
	}
	unlink_node(sched, node);
}

/*
 * Moves held tasks of a kind into the team queues: up to KIND_UNKNOWN_MAX in
 * all while the kind is unknown, every one once it is known.
 */
void
mlk_sched_queue_release(struct mlk_sched *sched, struct sched_kind *kind)
{
	struct sched_node *node;

	while (kind->known || kind->released < KIND_UNKNOWN_MAX) {
		node = TAILQ_FIRST(&kind->held);
		if (node == NULL)
			return;
		TAILQ_REMOVE(&kind->held, node, link);
		sched->held--;
		kind->released++;
		link_node(sched, node, false);
	}
}

/*
 * Requeues the queued tasks of a kind after its class or urgency changed.  They
 * keep their order and go to the tail of their new queues.
 */
void
mlk_sched_queue_reclass(struct mlk_sched *sched, struct sched_kind *kind)
{
	struct sched_node *node;
	struct sched_nodes moved;

	TAILQ_INIT(&moved);
	while ((node = TAILQ_FIRST(&kind->queued)) != NULL) {
		unlink_node(sched, node);
		TAILQ_INSERT_TAIL(&moved, node, link);
	}
	while ((node = TAILQ_FIRST(&moved)) != NULL) {
		TAILQ_REMOVE(&moved, node, link);
		link_node(sched, node, false);
	}
}

/*
 * Puts the queues of a team back on the heaps if it is below its quota.
 */
void
mlk_sched_team_activate(struct mlk_sched *sched, struct sched_team *team)
{
	uint32_t c, l;

	if (team->queued == 0 ||
	    team->in_flight >= mlk_sched_team_limit(sched, team))
		return;
	for (c = 0; c < SCHED_CLASSES; c++) {
		for (l = 0; l < SCHED_LEVELS; l++)
			activate(&sched->queue[c][l], &team->q[c][l]);
	}
}

/*
 * Returns the team queue to serve next in a class, or NULL.  Queues that are
 * empty or whose team is at its quota are removed from the heap.
 */
struct sched_team_queue *
mlk_sched_queue_first(struct mlk_sched *sched, enum sched_class class)
{
	struct sched_class_queue *cq;
	struct sched_team_queue *tq;
	int level;

	if (sched->queued[class] == 0)
		return (NULL);
	for (level = SCHED_LEVELS - 1; level >= 0; level--) {
		cq = &sched->queue[class][level];
		while (cq->heap->len > 0) {
			tq = heap_at(cq, 0);
			if (!TAILQ_EMPTY(&tq->nodes) &&
			    tq->team->in_flight <
				mlk_sched_team_limit(sched, tq->team))
				return (tq);
			heap_pop(cq);
		}
	}
	return (NULL);
}

/*
 * Charges the expected slot time of a node to its team, whose queue must be at
 * the root of its heap.
 */
void
mlk_sched_queue_charge(struct mlk_sched *sched, const struct sched_node *node)
{
	struct sched_class_queue *cq;
	struct sched_team_queue *tq;

	cq = &sched->queue[node->class][node->level];
	tq = &node->team->q[node->class][node->level];
	cq->vtime = tq->vtime;
	tq->vtime += node->cost_ms / node->team->weight;
	heap_sift_down(cq);
}
