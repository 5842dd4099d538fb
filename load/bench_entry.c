/*
 * monsoonlock-bench: throughput and memory of one monsoonlock-entry.
 *
 * The entry and the stand-in platform are real processes.  This program
 * simulates the agents over their links, which answer each START at once, and
 * the callers, which send one job after the other without a pause.  With
 * --agents 0 one real agent and its stand-in endpoint replace them.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <monsoonlock/run.h>

#include "deploy.h"
#include "procstat.h"

#define AGENT_SLOTS 64U
#define TICK_MS 10U
#define READY_TIMEOUT_MS 20000U
#define ANSWER_TIMEOUT_MS 10000U
#define HTTP_BODY_MAX 4096U
#define SETTLE_NS (500 * MLK_NSEC_PER_MSEC) /* after the last FENCE */
#define WARM_UP_NS (1000 * MLK_NSEC_PER_MSEC)
#define SETUP_MAX_NS (20 * MLK_NSEC_PER_SEC)
#define HTTP_OK 200
#define SIM_INCARNATION 1U /* first incarnation of a new agent */

struct sim_agent {
	char id[MLK_NAME_MAX];
	uint32_t link;
	uint64_t seq; /* of the last result */
	bool fenced; /* has answered its first FENCE */
};

/* Counters at one time. */
struct sample {
	int64_t at; /* monotonic ns; 0: not taken */
	uint64_t tasks;
	uint64_t jobs;
	uint64_t msgs; /* of the simulated agents, sent and received */
	uint64_t bytes; /* of these messages */
	struct mlk_procstat entry;
	struct mlk_procstat agent;
};

struct bench {
	/* Options. */
	char *bin_dir;
	int nagents;
	int ncallers;
	int ntasks;
	int duration_s;
	int njobs; /* end after this many; 0: after duration_s */
	int sample_jobs; /* jobs between two prints of memory; 0: none */

	struct mlk_deploy *deploy;
	struct mlk_loop *loop;
	struct mlk_store_client *store;
	struct sim_agent *agents;
	const char *entry_http;
	const char *entry_rpc;
	GString *job_tail; /* body of a job after its id */
	char *prefix; /* of the job ids */
	int registered;
	int64_t phase_start; /* of the set-up, then of the load */
	int64_t settled_at; /* earliest start of load; 0: no FENCE yet */
	bool load_started;
	uint64_t sent; /* jobs */
	uint64_t answered;
	struct sample first, last;
	struct mlk_error err;
};

static int64_t
now_ns(void)
{
	return (mlk_clock_now(mlk_clock_system()));
}

/*
 * Ends the run with an error.
 */
static void
fail(struct bench *b, const char *what)
{
	if (b->err.code == 0)
		(void)mlk_error_set(&b->err, MLK_ERR_PROTOCOL, "%s", what);
	mlk_loop_stop(b->loop);
}

static void
read_process(struct bench *b, const char *name, struct mlk_procstat *out)
{
	const struct mlk_deploy_process *p = mlk_deploy_find(b->deploy, name);

	memset(out, 0, sizeof(*out));
	if (p != NULL && p->pid != 0)
		(void)mlk_procstat_read(p->pid, out);
}

static void
take_sample(struct bench *b, struct sample *s)
{
	const struct mlk_link_counters *c = mlk_loop_counters(b->loop);
	int i;

	memset(s, 0, sizeof(*s));
	s->at = now_ns();
	s->jobs = b->answered;
	s->tasks = b->answered * (uint64_t)b->ntasks;
	for (i = 0; i < MLK_MSG_TYPES; i++) {
		s->msgs += c->sent_msgs[i] + c->received_msgs[i];
		s->bytes += c->sent_bytes[i] + c->received_bytes[i];
	}
	read_process(b, "entry-1", &s->entry);
	read_process(b, "agent-1", &s->agent);
}

/* ---- simulated agents --------------------------------------------------- */

static void
send_msg(struct bench *b, uint32_t link, const struct mlk_msg *msg)
{
	if (mlk_loop_send(b->loop, link, msg) != 0)
		fail(b, "cannot send a message to the entry");
}

/*
 * Registers a simulated agent in the table, as rule 6 of the start protocol
 * requires.
 */
static void
register_agent(struct bench *b, int index)
{
	struct mlk_effect fx = { .type = MLK_FX_STORE };
	struct mlk_store_op *op = &fx.u.store;

	op->type = MLK_STORE_REGISTER_AGENT;
	op->id = (uint64_t)index + 1;
	op->has_record = true;
	(void)snprintf(
	    op->subject, sizeof(op->subject), "%s", b->agents[index].id);
	(void)snprintf(
	    op->agent.id, sizeof(op->agent.id), "%s", b->agents[index].id);
	(void)snprintf(op->agent.dc, sizeof(op->agent.dc), "dc-1");
	op->agent.incarnation = SIM_INCARNATION;
	op->agent.slots = AGENT_SLOTS;
	op->agent.complete = UINT64_MAX;
	(void)mlk_run_effect(b->loop, b->store, &fx);
}

static void
send_hello(struct bench *b, struct sim_agent *a)
{
	struct mlk_msg msg = { .type = MLK_MSG_HELLO };

	(void)snprintf(msg.u.hello.id, sizeof(msg.u.hello.id), "%s", a->id);
	(void)snprintf(msg.u.hello.dc, sizeof(msg.u.hello.dc), "dc-1");
	msg.u.hello.incarnation = SIM_INCARNATION;
	msg.u.hello.first_incarnation = SIM_INCARNATION;
	msg.u.hello.slots = AGENT_SLOTS;
	send_msg(b, a->link, &msg);
}

/*
 * Answers FENCE with an empty record.  After the first one it grants all slots.
 */
static void
answer_fence(struct bench *b, struct sim_agent *a, const struct mlk_msg *fence)
{
	struct mlk_msg msg = { .type = MLK_MSG_FENCE_REPLY };
	uint32_t i;

	msg.u.fence_reply.incarnation = SIM_INCARNATION;
	msg.u.fence_reply.last = 1;
	for (i = 0; i < fence->u.fence.n; i++)
		msg.u.fence_reply.partitions |= 1ULL
		    << fence->u.fence.items[i].partition;
	send_msg(b, a->link, &msg);
	if (a->fenced)
		return;
	a->fenced = true;
	memset(&msg, 0, sizeof(msg));
	msg.type = MLK_MSG_GRANT;
	msg.u.grant.any = AGENT_SLOTS;
	send_msg(b, a->link, &msg);
	b->settled_at = now_ns() + SETTLE_NS;
}

/*
 * Ends all tasks of a START at once and grants their slots again.
 */
static void
answer_start(struct bench *b, struct sim_agent *a, const struct mlk_msg *start)
{
	struct mlk_result_item items[AGENT_SLOTS] = { 0 };
	struct mlk_msg msg = { .type = MLK_MSG_RESULT };
	uint32_t i, n = start->u.start.n;

	if (n > AGENT_SLOTS) {
		fail(b, "START has more tasks than the agent has slots");
		return;
	}
	for (i = 0; i < n; i++) {
		items[i].key = start->u.start.tasks[i].key;
		items[i].index = start->u.start.tasks[i].index;
		items[i].status = MLK_TASK_DONE;
	}
	a->seq += n;
	msg.u.result.seq = a->seq;
	msg.u.result.grant.any = n;
	msg.u.result.n = n;
	msg.u.result.items = items;
	send_msg(b, a->link, &msg);
}

static struct sim_agent *
find_agent(struct bench *b, uint32_t link)
{
	int i;

	for (i = 0; i < b->nagents; i++) {
		if (b->agents[i].link == link)
			return (&b->agents[i]);
	}
	return (NULL);
}

static void
on_message(struct bench *b, uint32_t link, const struct mlk_msg *msg)
{
	struct sim_agent *a = find_agent(b, link);

	if (a == NULL)
		return;
	switch (msg->type) {
	case MLK_MSG_FENCE:
		answer_fence(b, a, msg);
		break;
	case MLK_MSG_START:
		answer_start(b, a, msg);
		break;
	case MLK_MSG_REREGISTER:
	case MLK_MSG_QUERY:
		fail(b, "unexpected REREGISTER or QUERY from the entry");
		break;
	default:
		break;
	}
}

static void
link_up(struct bench *b, uint32_t connect, uint32_t link)
{
	struct sim_agent *a = &b->agents[connect - 1];

	a->link = link;
	send_hello(b, a);
}

/* ---- callers ------------------------------------------------------------ */

/*
 * Builds the part of a job's body after its id; it is the same for all jobs.
 */
static void
make_job_tail(struct bench *b)
{
	int i;

	b->job_tail = g_string_new("\",\"team\":\"bench\",\"tasks\":[");
	for (i = 0; i < b->ntasks; i++) {
		g_string_append(b->job_tail,
		    i == 0 ? "{\"kind\":\"empty\",\"payload\":\"\"}" :
			     ",{\"kind\":\"empty\",\"payload\":\"\"}");
	}
	g_string_append(b->job_tail, "]}");
}

static void
send_job(struct bench *b, uint64_t caller)
{
	struct mlk_http_call call = { 0 };
	struct mlk_error err;
	GString *body;

	if (b->njobs > 0 && b->sent == (uint64_t)b->njobs)
		return;
	body = g_string_sized_new(b->job_tail->len + MLK_ID_MAX);
	g_string_printf(body, "{\"id\":\"%s-%" PRIu64 "", b->prefix, b->sent++);
	g_string_append_len(body, b->job_tail->str, (gssize)b->job_tail->len);
	call.call = caller;
	call.lane = (uint32_t)caller;
	call.method = "POST";
	call.addr = b->entry_http;
	call.path = "/v1/jobs";
	call.headers = "Content-Type: application/json\r\n";
	call.body = body->str;
	call.body_len = body->len;
	call.timeout_ms = ANSWER_TIMEOUT_MS;
	if (mlk_loop_http_call(b->loop, &call, &err) != 0)
		fail(b, err.msg);
	(void)g_string_free(body, TRUE);
}

static void
print_memory(const struct bench *b)
{
	struct sample s;

	take_sample((struct bench *)b, &s);
	(void)printf("jobs=%" PRIu64 " tasks=%" PRIu64 " entry_rss_kb=%" PRIu64
		     " agent_rss_kb=%" PRIu64 "\n",
	    s.jobs, s.tasks, s.entry.rss_bytes / 1024,
	    s.agent.rss_bytes / 1024);
}

/*
 * Checks that a job is complete and sends the next job of the same caller.
 */
static void
on_job_answer(struct bench *b, const struct mlk_net_event *ev)
{
	if (ev->u.response.result != MLK_HTTP_OK ||
	    ev->u.response.status != HTTP_OK ||
	    g_strstr_len((const char *)ev->u.response.body,
		(gssize)ev->u.response.body_len,
		"\"outcome\":\"complete\"") == NULL) {
		(void)fprintf(stderr, "answer: result %d status %d: %.*s\n",
		    ev->u.response.result, ev->u.response.status,
		    (int)MIN(ev->u.response.body_len, 200U),
		    (const char *)ev->u.response.body);
		fail(b, "a job did not end complete");
		return;
	}
	b->answered++;
	if (b->sample_jobs > 0 && b->answered % (uint64_t)b->sample_jobs == 0)
		print_memory(b);
	if (b->njobs > 0 && b->answered == (uint64_t)b->njobs)
		mlk_loop_stop(b->loop);
	else
		send_job(b, ev->u.response.call);
}

/* ---- the run ------------------------------------------------------------ */

static void
on_response(struct bench *b, const struct mlk_net_event *ev)
{
	struct mlk_store_answer answer;
	int i;

	if (!mlk_store_client_response(b->store, ev, &answer)) {
		on_job_answer(b, ev);
		return;
	}
	if (answer.status != MLK_STORE_OK)
		fail(b, "cannot register a simulated agent");
	mlk_store_answer_clear(&answer);
	if (++b->registered < b->nagents)
		return;
	for (i = 0; i < b->nagents; i++)
		mlk_loop_connect(b->loop, (uint32_t)i + 1, b->entry_rpc);
}

static bool
all_fenced(const struct bench *b)
{
	int i;

	for (i = 0; i < b->nagents; i++) {
		if (!b->agents[i].fenced)
			return (false);
	}
	return (true);
}

static void
tick(struct bench *b)
{
	int64_t now = now_ns();
	int i;

	if (!b->load_started) {
		if (now > b->phase_start + SETUP_MAX_NS) {
			fail(b,
			    "the entry did not fence all simulated agents in "
			    "time");
			return;
		}
		if (!all_fenced(b) || now < b->settled_at)
			return;
		b->load_started = true;
		b->phase_start = now;
		for (i = 0; i < b->ncallers; i++)
			send_job(b, (uint64_t)i + 1);
		return;
	}
	if (b->first.at == 0 && now >= b->phase_start + WARM_UP_NS)
		take_sample(b, &b->first);
	if (now >= b->phase_start + WARM_UP_NS +
		(int64_t)b->duration_s * MLK_NSEC_PER_SEC)
		mlk_loop_stop(b->loop);
}

static void
handle(void *arg, const struct mlk_net_event *ev)
{
	struct bench *b = arg;

	switch (ev->type) {
	case MLK_NET_LINK_UP:
		link_up(b, ev->u.link.connect, ev->u.link.link);
		break;
	case MLK_NET_LINK_DOWN:
		fail(b, "the entry closed a link");
		break;
	case MLK_NET_MSG:
		on_message(b, ev->u.msg.link, ev->u.msg.msg);
		break;
	case MLK_NET_HTTP_RESPONSE:
		on_response(b, ev);
		break;
	case MLK_NET_TICK:
		tick(b);
		break;
	case MLK_NET_STOP:
		fail(b, "interrupted");
		break;
	default:
		break;
	}
}

static int
open_loop(struct bench *b)
{
	struct mlk_loop_options options = { 0 };
	int i;

	options.arg = b;
	options.handle = handle;
	options.clock = mlk_clock_system();
	options.tick_ms = TICK_MS;
	options.http_body_max = HTTP_BODY_MAX;
	b->loop = mlk_loop_create(&options, &b->err);
	if (b->loop == NULL)
		return (b->err.code);
	b->store = mlk_store_client_create(
	    b->loop, mlk_deploy_find(b->deploy, "platform")->http);
	b->agents = g_new0(struct sim_agent, b->nagents + 1);
	for (i = 0; i < b->nagents; i++) {
		(void)snprintf(b->agents[i].id, sizeof(b->agents[i].id),
		    "played-%d", i + 1);
		register_agent(b, i);
	}
	return (0);
}

static int
deploy(struct bench *b)
{
	struct mlk_deploy_options options = {
		.bin_dir = b->bin_dir,
		.entries = 1,
		.workers = b->nagents == 0 ? 1 : 0,
		.slots = AGENT_SLOTS,
	};

	if (mlk_deploy_create(&options, &b->deploy, &b->err) != 0 ||
	    mlk_deploy_start(b->deploy, &b->err) != 0 ||
	    mlk_deploy_wait_ready(b->deploy, READY_TIMEOUT_MS, &b->err) != 0)
		return (b->err.code);
	b->entry_http = mlk_deploy_find(b->deploy, "entry-1")->http;
	b->entry_rpc = mlk_deploy_find(b->deploy, "entry-1")->rpc;
	return (0);
}

static void
report(const struct bench *b)
{
	const struct sample *x = &b->first, *y = &b->last;
	double s = (double)(y->at - x->at) / (double)MLK_NSEC_PER_SEC;
	double tasks = (double)(y->tasks - x->tasks);
	double cpu = y->entry.cpu_s - x->entry.cpu_s;

	if (x->at == 0 || tasks <= 0.0 || s <= 0.0)
		return;
	(void)printf("agents=%d callers=%d tasks_per_job=%d seconds=%.2f "
		     "tasks_per_s=%.0f jobs_per_s=%.0f "
		     "entry_cpu_s_per_s=%.3f tasks_per_cpu_s=%.0f "
		     "messages_per_task=%.3f bytes_per_task=%.1f "
		     "entry_rss_kb=%" PRIu64 "\n",
	    b->nagents, b->ncallers, b->ntasks, s, tasks / s,
	    tasks / s / b->ntasks, cpu / s, cpu > 0.0 ? tasks / cpu : 0.0,
	    (double)(y->msgs - x->msgs) / tasks,
	    (double)(y->bytes - x->bytes) / tasks, y->entry.rss_bytes / 1024);
}

static bool
parse_options(struct bench *b, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
		{ "bin", 0, 0, G_OPTION_ARG_FILENAME, &b->bin_dir,
		    "Directory of the programs", "DIR" },
		{ "agents", 0, 0, G_OPTION_ARG_INT, &b->nagents,
		    "Simulated agents of 64 slots; 0: one real agent", "N" },
		{ "callers", 0, 0, G_OPTION_ARG_INT, &b->ncallers,
		    "Callers, one job at a time each", "N" },
		{ "tasks", 0, 0, G_OPTION_ARG_INT, &b->ntasks, "Tasks per job",
		    "N" },
		{ "duration", 0, 0, G_OPTION_ARG_INT, &b->duration_s,
		    "Measured seconds, after 1 s of warm-up", "S" },
		{ "jobs", 0, 0, G_OPTION_ARG_INT, &b->njobs,
		    "End after this many jobs", "N" },
		{ "sample", 0, 0, G_OPTION_ARG_INT, &b->sample_jobs,
		    "Print the memory in use every N jobs", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context;
	GError *error = NULL;
	bool ok;

	context = g_option_context_new("- measures one entry");
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!ok) {
		(void)fprintf(
		    stderr, "monsoonlock-bench: %s\n", error->message);
		g_error_free(error);
		return (false);
	}
	if (b->bin_dir == NULL || b->nagents < 0 || b->ncallers < 1 ||
	    b->ntasks < 1 || b->duration_s < 1 || b->njobs < 0 ||
	    b->sample_jobs < 0) {
		(void)fprintf(stderr,
		    "monsoonlock-bench: --bin is required; --callers, --tasks "
		    "and --duration must be above 0, other numbers not "
		    "negative\n");
		return (false);
	}
	return (true);
}

static void
clear(struct bench *b)
{
	if (b->loop != NULL)
		mlk_loop_destroy(b->loop);
	mlk_store_client_destroy(b->store);
	if (b->deploy != NULL)
		mlk_deploy_destroy(b->deploy);
	if (b->job_tail != NULL)
		(void)g_string_free(b->job_tail, TRUE);
	g_free(b->agents);
	g_free(b->prefix);
	g_free(b->bin_dir);
}

int
main(int argc, char **argv)
{
	struct bench b = {
		.nagents = 10,
		.ncallers = 16,
		.ntasks = 100,
		.duration_s = 5,
	};

	if (!parse_options(&b, &argc, &argv))
		return (2);
	b.prefix = g_strdup("bench");
	make_job_tail(&b);
	b.phase_start = now_ns();
	if (deploy(&b) == 0 && open_loop(&b) == 0) {
		if (mlk_loop_run(b.loop) != 0)
			fail(&b, "the event loop failed");
		take_sample(&b, &b.last);
		if (b.err.code == 0)
			report(&b);
	}
	if (b.err.code != 0)
		(void)fprintf(stderr, "monsoonlock-bench: %s\n", b.err.msg);
	clear(&b);
	return (b.err.code == 0 ? 0 : 1);
}
