/*
 * Metrics in the Prometheus text exposition format: a HELP and a TYPE line
 * before the samples of each name.
 */
#include <inttypes.h>

#include <monsoonlock/app.h>

static void
metric_head(GString *out, const char *name, const char *help, const char *type)
{
	g_string_append_printf(
	    out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
metric_value(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(out, "%s %" PRIu64 "\n", name, value);
}

void
mlk_metrics_counter(
    GString *out, const char *name, const char *help, uint64_t value)
{
	metric_head(out, name, help, "counter");
	metric_value(out, name, value);
}

void
mlk_metrics_gauge(
    GString *out, const char *name, const char *help, uint64_t value)
{
	metric_head(out, name, help, "gauge");
	metric_value(out, name, value);
}

/*
 * Appends one sample for each message type whose counter is not 0.
 */
static void
metrics_by_type(GString *out, const char *name, const char *help,
    const uint64_t values[MLK_MSG_TYPES])
{
	int type;

	metric_head(out, name, help, "counter");
	for (type = MLK_MSG_HELLO; type < MLK_MSG_TYPES; type++) {
		if (values[type] != 0) {
			g_string_append_printf(out,
			    "%s{type=\"%s\"} %" PRIu64 "\n", name,
			    mlk_msg_name((enum mlk_msg_type)type),
			    values[type]);
		}
	}
}

void
mlk_metrics_entry(GString *out, const struct mlk_entry_counters *counters,
    const struct mlk_entry_gauges *gauges)
{
#define X(field, help)       \
	mlk_metrics_counter( \
	    out, "monsoonlock_entry_" #field "_total", help, counters->field);
	MLK_ENTRY_COUNTERS(X)
#undef X
	metrics_by_type(out, "monsoonlock_entry_msgs_by_type_total",
	    "Messages sent, by type", counters->msgs_sent_by_type);
#define G(field, help)     \
	mlk_metrics_gauge( \
	    out, "monsoonlock_entry_" #field, help, gauges->field);
	G(ready, "1 when the entry accepts work")
	G(partitions_owned, "Partitions owned")
	G(partitions_serving, "Partitions owned, with all agents accounted for")
	G(agents, "Agents linked")
	G(peers, "Peer entries linked")
	G(jobs_running, "Jobs running")
	G(jobs_retained, "Ended jobs retained")
	G(tasks_queued, "Tasks waiting for a slot")
	G(tasks_in_flight, "Tasks sent and not ended")
	G(credits_held, "Slot credits held")
	G(config_version, "Version of the configuration in effect")
	G(ownership_version, "Version of the ownership map")
#undef G
}

void
mlk_metrics_agent(GString *out, const struct mlk_agent_counters *counters,
    const struct mlk_agent_gauges *gauges)
{
#define X(field, help)       \
	mlk_metrics_counter( \
	    out, "monsoonlock_agent_" #field "_total", help, counters->field);
	MLK_AGENT_COUNTERS(X)
#undef X
	metrics_by_type(out, "monsoonlock_agent_msgs_by_type_total",
	    "Messages sent, by type", counters->msgs_sent_by_type);
#define G(field, help)     \
	mlk_metrics_gauge( \
	    out, "monsoonlock_agent_" #field, help, gauges->field);
	G(ready, "1 when registered and linked to an entry")
	G(running, "Tasks running on the endpoint")
	G(credits_lent, "Slots lent to entries")
	G(records, "Task records kept")
	G(entries, "Entries linked")
	G(incarnation, "Incarnation of the agent")
	G(config_version, "Version of the configuration in effect")
#undef G
}

void
mlk_metrics_dispatch(GString *out, const struct mlk_dispatch_counters *counters,
    const struct mlk_dispatch_gauges *gauges)
{
#define X(field, help)                                                    \
	mlk_metrics_counter(out, "monsoonlock_dispatch_" #field "_total", \
	    help, counters->field);
	MLK_DISPATCH_COUNTERS(X)
#undef X
#define G(field, help)     \
	mlk_metrics_gauge( \
	    out, "monsoonlock_dispatch_" #field, help, gauges->field);
	G(ready, "1 when the entry accepts work")
	G(agents, "Agents attached")
	G(agents_ready, "Agents attached whose worker accepts work")
	G(peers, "Peer entries linked")
	G(jobs, "Jobs in progress")
	G(queued, "Tasks waiting for a worker")
	G(in_flight, "Tasks sent to agents and not ended")
	G(routing_version, "Version of the routing table in effect")
	G(capacity_cpu, "CPU capacity of usable workers, thousandths of a core")
	G(free_cpu, "Free part of that capacity, thousandths of a core")
	G(offered_cpu, "Demand at all entries, thousandths of a core")
	G(pools_short, "Pools that are short of capacity")
	G(wait_ms, "Estimated wait of a job that arrives now, in ms")
	G(wait_error_ms, "Mean error of the estimated waits, in ms")
	G(evacuated, "Evacuated data centres")
	G(evacuations_version, "Version of the evacuated data centres in force")
	G(evacuations_unconfirmed,
	    "Agents attached from evacuated data centres that have not "
	    "confirmed")
	G(verdicts, "Verdicts of interference in force")
#undef G
}

/*
 * Appends the head of a gauge whose samples carry a label.
 */
void
mlk_metrics_labelled_head(GString *out, const char *name, const char *help)
{
	metric_head(out, name, help, "gauge");
}

/*
 * Appends one sample of a gauge with a label.
 */
void
mlk_metrics_labelled(GString *out, const char *name, const char *label,
    const char *value, uint64_t number)
{
	g_string_append_printf(
	    out, "%s{%s=\"%s\"} %" PRIu64 "\n", name, label, value, number);
}

void
mlk_metrics_runner(GString *out, const struct mlk_runner_counters *counters,
    const struct mlk_runner_gauges *gauges)
{
#define X(field, help)                                                        \
	mlk_metrics_counter(out, "monsoonlock_runner_" #field "_total", help, \
	    counters->field);
	MLK_RUNNER_COUNTERS(X)
#undef X
#define G(name, value, help) \
	mlk_metrics_gauge(out, "monsoonlock_runner_" name, help, value);
	G("ready", gauges->ready,
	    "1 when the worker is ready and an entry is attached")
	G("entries", gauges->entries, "Entries attached")
	G("running", gauges->running, "Runs that hold resources of the worker")
	G("capacity_cpu", gauges->capacity.cpu,
	    "CPU capacity of the worker, in thousandths of a core")
	G("free_cpu", gauges->free.cpu,
	    "Free CPU capacity of the worker, in thousandths of a core")
	G("capacity_mem_mb", gauges->capacity.mem_mb,
	    "Memory of the worker, in MB")
	G("free_mem_mb", gauges->free.mem_mb,
	    "Free memory of the worker, in MB")
	G("speed", gauges->speed,
	    "Measured speed of the worker, in thousandths; 0: unknown")
	G("fence", gauges->fence, "Fence of the next order to the worker")
	G("evacuated", gauges->evacuated,
	    "1 while the data centre of this agent is evacuated")
	G("evacuations_version", gauges->evacuations_version,
	    "Version of the evacuated data centres in force")
#undef G
}

void
mlk_metrics_links(GString *out, const struct mlk_link_counters *counters)
{
	metrics_by_type(out, "monsoonlock_link_sent_messages_total",
	    "Messages written to links, by type", counters->sent_msgs);
	metrics_by_type(out, "monsoonlock_link_sent_bytes_total",
	    "Bytes written to links, by message type", counters->sent_bytes);
	metrics_by_type(out, "monsoonlock_link_received_messages_total",
	    "Messages read from links, by type", counters->received_msgs);
	metrics_by_type(out, "monsoonlock_link_received_bytes_total",
	    "Bytes read from links, by message type", counters->received_bytes);
}
