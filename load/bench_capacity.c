/*
 * monsoonlock-capacity: measures the heap, messages, bytes and CPU time that
 * the real reducers need with different numbers of agents, and fits straight
 * lines to them.  docs/CAPACITY.md is derived from its output.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/platform.h>

#include "capacity_sim.h"

#define NENTRIES 9U
#define IDLE_S 10U
#define TASK_AGENTS 40U
#define TASKS_PER_RUN 100000U
#define TASKS_IN_FLIGHT (TASK_AGENTS * CAP_SLOTS)
#define RECORDS 20000U
#define TAKEOVER_MS 8000U /* simulated time for a takeover */
#define AGENT_LOSS_MS 6000U /* simulated time to close a lost agent */
#define CONFIG_SPREAD_MS 3000U /* simulated time for a configuration */
#define TEAMS 170U
#define WARM_UP_MS 2000U
#define USEC 1e6 /* per second */

/* Numbers of agents. */
static const uint32_t sizes[] = { 10, 40, 120, 900, 1900 };

#define NSIZES (sizeof(sizes) / sizeof(sizes[0]))

/* Sums for a linear least-squares fit. */
struct fit {
	double n;
	double sum_x;
	double sum_y;
	double sum_xx;
	double sum_xy;
};

static void
fit_add(struct fit *f, double x, double y)
{
	f->n += 1;
	f->sum_x += x;
	f->sum_y += y;
	f->sum_xx += x * x;
	f->sum_xy += x * y;
}

static void
fit_print(const struct fit *f, const char *label, const char *unit)
{
	double slope, base;

	slope = (f->n * f->sum_xy - f->sum_x * f->sum_y) /
	    (f->n * f->sum_xx - f->sum_x * f->sum_x);
	base = (f->sum_y - slope * f->sum_x) / f->n;
	(void)printf(
	    "%-34s %12.3f + %10.4f per agent  %s\n", label, base, slope, unit);
}

static void
print_types(const char *label, const struct cap_traffic *t, double divisor)
{
	int type;

	(void)printf("  %s:", label);
	for (type = 0; type < MLK_MSG_TYPES; type++) {
		if (t->msgs_by_type[type] == 0)
			continue;
		(void)printf(" %s %.3f", mlk_msg_name((enum mlk_msg_type)type),
		    (double)t->msgs_by_type[type] / divisor);
	}
	(void)printf("\n");
}

/* ---- idle operation --------------------------------------------------- */

struct idle_fits {
	struct fit entry_heap;
	struct fit entry_cpu;
	struct fit entry_sent;
	struct fit entry_received;
	struct fit agent_cpu;
};

static void
idle_print(uint32_t nagents, const struct cap_sim *s,
    const struct cap_heap_use *heap, struct idle_fits *fits)
{
	const struct cap_role *e = &s->entry_use;
	const struct cap_role *a = &s->agent_use;
	double agent_seconds = (double)IDLE_S * nagents;
	double entry_cpu = (e->core_s + e->wire_s) / IDLE_S * 100;
	double agent_cpu = (a->core_s + a->wire_s) / agent_seconds * 100;

	(void)printf("%6u | %9.0f %8.4f %7.0f %9.0f %7.0f %9.0f | %9.0f %8.4f "
		     "%6.2f %7.0f %6.2f %7.0f | %llu\n",
	    nagents, heap->entry, entry_cpu,
	    (double)e->sent.control_msgs / IDLE_S,
	    (double)e->sent.control_bytes / IDLE_S,
	    (double)e->received.control_msgs / IDLE_S,
	    (double)e->received.control_bytes / IDLE_S, heap->agent, agent_cpu,
	    (double)a->sent.control_msgs / agent_seconds,
	    (double)a->sent.control_bytes / agent_seconds,
	    (double)a->received.control_msgs / agent_seconds,
	    (double)a->received.control_bytes / agent_seconds,
	    (unsigned long long)s->closed_links);
	fit_add(&fits->entry_heap, nagents, heap->entry);
	fit_add(&fits->entry_cpu, nagents, entry_cpu);
	fit_add(
	    &fits->entry_sent, nagents, (double)e->sent.control_bytes / IDLE_S);
	fit_add(&fits->entry_received, nagents,
	    (double)e->received.control_bytes / IDLE_S);
	fit_add(&fits->agent_cpu, nagents, agent_cpu);
}

/*
 * Measures idle operation after a warm-up.
 */
static void
measure_idle(void)
{
	struct idle_fits fits = { 0 };
	struct cap_heap_use heap;
	struct cap_sim *s, copy;
	size_t i;

	(void)printf("idle, %u entries, %u s; CPU in %% of a core, control "
		     "messages/s and bytes/s\n"
		     "agents | entry: heap      CPU   msg out     B out  msg in"
		     "      B in | agent: heap CPU    msg out  B out msg in  "
		     "  B in | links closed\n",
	    NENTRIES, IDLE_S);
	for (i = 0; i < NSIZES; i++) {
		s = cap_sim_create(sizes[i], NENTRIES);
		cap_sim_run(s, WARM_UP_MS);
		cap_sim_reset_use(s);
		cap_sim_run(s, IDLE_S * 1000);
		copy = *s;
		cap_sim_destroy(s, &heap);
		idle_print(sizes[i], &copy, &heap, &fits);
		if (i + 1 < NSIZES)
			continue;
		print_types("entry sends/s", &copy.entry_use.sent, IDLE_S);
		print_types("agent sends/s", &copy.agent_use.sent,
		    (double)IDLE_S * sizes[i]);
		(void)printf("  polls/s of an entry: %.2f\n",
		    (double)copy.store_ops[MLK_STORE_POLL] / IDLE_S);
	}
	(void)printf("slopes\n");
	fit_print(&fits.entry_heap, "entry heap", "bytes");
	fit_print(&fits.entry_cpu, "entry idle CPU", "% of a core");
	fit_print(&fits.entry_sent, "entry control sent", "bytes/s");
	fit_print(&fits.entry_received, "entry control received", "bytes/s");
	fit_print(&fits.agent_cpu, "agent idle CPU", "% of a core");
}

/* ---- tasks ------------------------------------------------------------ */

/*
 * Keeps the slots of all agents busy until ntasks tasks have ended.
 */
static void
run_tasks(struct cap_sim *s, uint32_t tasks_per_job, uint32_t ntasks)
{
	uint32_t per_round = TASKS_IN_FLIGHT / tasks_per_job;
	uint64_t njobs = ntasks / tasks_per_job;
	uint64_t sent = 0;
	uint32_t i;

	while (s->answers < njobs) {
		for (i = 0; i < per_round && sent < njobs; i++, sent++)
			cap_sim_submit(s, tasks_per_job);
		cap_sim_run(s, MLK_TICK_MS);
	}
}

static void
print_role(const char *name, const struct cap_role *role)
{
	(void)printf("  %s CPU per task: %.2f us core, %.2f us wire\n", name,
	    role->core_s * USEC / TASKS_PER_RUN,
	    role->wire_s * USEC / TASKS_PER_RUN);
}

static void
measure_tasks(uint32_t tasks_per_job)
{
	struct cap_heap_use idle, used;
	const struct cap_role *e, *a;
	struct cap_sim *s, copy;

	s = cap_sim_create(TASK_AGENTS, 1);
	cap_sim_destroy(s, &idle);
	s = cap_sim_create(TASK_AGENTS, 1);
	run_tasks(s, tasks_per_job, TASKS_PER_RUN);
	copy = *s;
	e = &copy.entry_use;
	a = &copy.agent_use;
	(void)printf("jobs of %u: %u tasks, results of %u bytes\n",
	    tasks_per_job, TASKS_PER_RUN, CAP_PAYLOAD_BYTES);
	print_role("entry", e);
	print_role("agent", a);
	(void)printf("  one entry: %.0f tasks/s of a core (reducer), %.0f with "
		     "encoding\n",
	    TASKS_PER_RUN / e->core_s, TASKS_PER_RUN / (e->core_s + e->wire_s));
	print_types("entry sends per task", &e->sent, TASKS_PER_RUN);
	print_types("agents send per task", &a->sent, TASKS_PER_RUN);
	(void)printf("  messages per task %.3f; bytes per task to agents %.0f, "
		     "from agents %.0f\n",
	    (double)(e->sent.msgs + a->sent.msgs) / TASKS_PER_RUN,
	    (double)e->sent.bytes / TASKS_PER_RUN,
	    (double)a->sent.bytes / TASKS_PER_RUN);
	cap_sim_destroy(s, &used);
	(void)printf("  entry heap per retained job: %.0f bytes\n",
	    (used.entry - idle.entry) * tasks_per_job / TASKS_PER_RUN);
}

/*
 * Measures the heap of one record with its result.  The table of an agent has
 * room for more records than are added.
 */
static void
measure_records(void)
{
	struct cap_sim *s = cap_sim_create(1, 2);
	size_t before = cap_heap_bytes();

	cap_sim_add_records(s, 0, RECORDS);
	(void)printf("agent record with a result of %u bytes: %.1f bytes\n",
	    CAP_PAYLOAD_BYTES, (double)(cap_heap_bytes() - before) / RECORDS);
	cap_sim_destroy(s, NULL);
}

/* ---- takeover --------------------------------------------------------- */

static void
print_takeover(const struct cap_sim *s, uint32_t nrecords, double heap)
{
	struct mlk_entry_gauges gauges;
	const struct cap_role *e = &s->entry_use;
	const struct cap_role *a = &s->agent_use;

	mlk_entry_gauges(s->entry, &gauges);
	(void)printf("%6u %6u | %8llu %8llu %12llu %14.0f %9.1f %9.1f %11.2f | "
		     "%u of %u serving",
	    s->nagents, nrecords,
	    (unsigned long long)e->sent.msgs_by_type[MLK_MSG_FENCE],
	    (unsigned long long)e->received.msgs_by_type[MLK_MSG_FENCE_REPLY],
	    (unsigned long long)e->received.bytes_by_type[MLK_MSG_FENCE_REPLY],
	    heap, e->core_s * 1e3, e->wire_s * 1e3,
	    (a->core_s + a->wire_s) * 1e3 / s->nagents,
	    gauges.partitions_serving, gauges.partitions_owned);
}

/*
 * Measures a takeover, where the last entry fails and the real entry takes over
 * all its partitions, and then the loss of an agent.
 */
static void
measure_takeover(uint32_t nagents, uint32_t nrecords)
{
	struct cap_sim *s = cap_sim_create(nagents, NENTRIES);
	size_t before;
	uint32_t i;

	for (i = 0; i < nagents; i++)
		cap_sim_add_records(s, i, nrecords);
	cap_sim_run(s, WARM_UP_MS);
	cap_sim_reset_use(s);
	before = cap_heap_bytes();
	cap_sim_peer_down(s, NENTRIES - 1);
	cap_sim_run(s, TAKEOVER_MS);
	print_takeover(s, nrecords, (double)cap_heap_bytes() - (double)before);
	cap_sim_reset_use(s);
	cap_sim_agent_down(s, 0);
	cap_sim_run(s, AGENT_LOSS_MS);
	(void)printf("; claims of a lost agent %llu bytes, %llu writes\n",
	    (unsigned long long)s->close_bytes,
	    (unsigned long long)s->store_ops[MLK_STORE_CLOSE_AGENT]);
	cap_sim_destroy(s, NULL);
}

static void
measure_takeovers(void)
{
	(void)printf("takeover of 1/%u of the partitions, %u s with ticks\n"
		     "agents records | FENCE    replies  reply bytes  "
		     "heap of index  core ms   wire ms  ms an agent |\n",
	    NENTRIES, TAKEOVER_MS / 1000);
	measure_takeover(120, 0);
	measure_takeover(120, 1000);
	measure_takeover(120, 3500);
	measure_takeover(900, 0);
	measure_takeover(900, 1000);
	measure_takeover(900, 3500);
	measure_takeover(1900, 1000);
}

/* ---- configuration ---------------------------------------------------- */

/*
 * Fills a configuration with a quota and a weight for each team.
 */
static void
fill_config(struct mlk_config *config)
{
	struct mlk_intent *in;
	uint32_t i;

	config->version++;
	config->nintents = 2 * TEAMS;
	config->intents = calloc(config->nintents, sizeof(*config->intents));
	for (i = 0; config->intents != NULL && i < config->nintents; i++) {
		in = &config->intents[i];
		(void)snprintf(in->id, sizeof(in->id), "intent-%u", i);
		in->type =
		    i % 2 == 0 ? MLK_INTENT_TEAM_QUOTA : MLK_INTENT_TEAM_WEIGHT;
		(void)snprintf(in->subject, MLK_NAME_MAX, "team-%u", i / 2);
		in->value = 100;
		(void)snprintf(in->author, MLK_NAME_MAX, "operator");
		(void)snprintf(in->reason, sizeof(in->reason), "share of year");
		in->created = 1;
	}
}

/*
 * Prints the sizes of the JSON bodies that the table service gets for a
 * configuration and for the ownership map.
 */
static void
print_documents(const struct mlk_config *config)
{
	struct mlk_store_op op = { .type = MLK_STORE_CONFIRM };
	struct mlk_ownership own = { 0 };
	struct mlk_error err = { 0 };
	char *body = NULL;
	uint32_t p;

	op.config = *config;
	if (mlk_platform_encode(&op, &body, &err) == 0) {
		(void)printf("row of the configuration with its audit record: "
			     "%zu bytes of JSON\n",
		    strlen(body));
	}
	free(body);
	memset(&op, 0, sizeof(op));
	op.type = MLK_STORE_TAKEOVER;
	op.ownership = &own;
	for (p = 0; p < MLK_PARTITIONS; p++) {
		own.part[p].epoch = 1;
		(void)snprintf(own.part[p].owner, MLK_NAME_MAX, "e%u", p % 9);
	}
	if (mlk_platform_encode(&op, &body, &err) == 0) {
		(void)printf("write of the ownership map: %zu bytes of JSON\n",
		    strlen(body));
	}
	free(body);
}

/*
 * Measures the distribution of a new configuration.
 */
static void
measure_config(uint32_t nagents)
{
	struct cap_sim *s = cap_sim_create(nagents, NENTRIES);
	struct mlk_msg msg = { .type = MLK_MSG_CONFIG };
	const struct cap_role *e = &s->entry_use;
	const struct cap_role *a = &s->agent_use;

	cap_sim_reset_use(s);
	fill_config(&s->config);
	msg.u.config = s->config;
	cap_sim_configure(s);
	cap_sim_run(s, CONFIG_SPREAD_MS);
	(void)printf("configuration, %u agents: document %zu bytes; an entry "
		     "sends %llu (%llu bytes, core %.1f ms, wire %.1f ms, "
		     "messages of one event %zu bytes of heap); an agent "
		     "receives %.2f, sends %.2f\n",
	    nagents, cap_wire_size(&msg),
	    (unsigned long long)e->sent.msgs_by_type[MLK_MSG_CONFIG],
	    (unsigned long long)e->sent.bytes_by_type[MLK_MSG_CONFIG],
	    e->core_s * 1e3, e->wire_s * 1e3, s->effects_max,
	    (double)a->received.msgs_by_type[MLK_MSG_CONFIG] / nagents,
	    (double)a->sent.msgs_by_type[MLK_MSG_CONFIG] / nagents);
	if (nagents == sizes[0])
		print_documents(&s->config);
	cap_sim_destroy(s, NULL);
}

/*
 * Prints the sizes of messages from which the cost of a directory of starts is
 * calculated: telling all entries of every start, instead of the ownership map
 * that they read once a second.
 */
static void
measure_directory(void)
{
	struct mlk_msg msg = { .type = MLK_MSG_FENCE_REPLY };
	struct mlk_msg result = { .type = MLK_MSG_RESULT };
	struct mlk_result_item items[100];
	uint32_t hashes[1000] = { 0 };

	memset(items, 0, sizeof(items));
	msg.u.fence_reply.n = sizeof(hashes) / sizeof(hashes[0]);
	msg.u.fence_reply.hashes = hashes;
	result.u.result.n = sizeof(items) / sizeof(items[0]);
	result.u.result.items = items;
	(void)printf("1000 ids as 32-bit hashes %zu bytes; 100 records without "
		     "payload %zu bytes\n",
	    cap_wire_size(&msg), cap_wire_size(&result));
}

static void
measure_all_tasks(void)
{
	measure_tasks(1);
	measure_tasks(100);
	measure_records();
}

static void
measure_configs(void)
{
	size_t i;

	for (i = 0; i < NSIZES; i++)
		measure_config(sizes[i]);
	measure_directory();
}

/*
 * Runs the parts that are named in the arguments, or all without arguments.
 */
int
main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} parts[] = {
		{ "idle", measure_idle },
		{ "tasks", measure_all_tasks },
		{ "takeover", measure_takeovers },
		{ "config", measure_configs },
	};
	double start = cap_cpu_s();
	size_t i;
	int k;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		for (k = 1; k < argc; k++) {
			if (strcmp(argv[k], parts[i].name) == 0)
				break;
		}
		if (argc == 1 || k < argc)
			parts[i].run();
	}
	(void)printf("CPU of this program: %.1f s\n", cap_cpu_s() - start);
	return (EXIT_SUCCESS);
}
