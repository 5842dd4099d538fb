/*
 * Test bench for the dispatcher, with simulated agents, peers and callers. Each
 * function applies one or several events; the effects of the last event are
 * kept for inspection.
 */
#ifndef DISPATCH_BENCH_H
#define DISPATCH_BENCH_H

#include <monsoonlock/dispatch.h>

#define BENCH_MS ((int64_t)MLK_NSEC_PER_MSEC)
#define BENCH_HOST "jobs.example"
#define BENCH_PREFIX "/q/"
#define BENCH_POOL "pool-a"
#define BENCH_ANSWERS_MAX 4096

struct bench_agent {
	uint32_t link;
	char id[MLK_NAME_MAX];
	struct mlk_resources capacity;
	struct mlk_resources free; /* reported by the next message */
	uint64_t seen; /* likewise: seq of the last RUN included in `free` */
	uint32_t running; /* likewise */
	uint32_t speed; /* likewise, thousandths */
};

struct bench_answer {
	uint64_t request;
	enum mlk_work_outcome outcome;
	uint32_t retry_after_ms;
	int64_t at; /* ns */
};

struct dispatch_bench {
	struct mlk_dispatcher *d;
	int64_t now; /* ns */
	struct mlk_dispatch_effects fx; /* of the last event */
	struct bench_answer answers[BENCH_ANSWERS_MAX];
	uint32_t nanswers;
	uint32_t last_link;
	uint64_t last_request;
	uint32_t estimate_ms; /* run time given with the submitted jobs */
	uint32_t run_ms; /* run time reported with the ends of runs */
	int64_t held; /* of submitted jobs: ns since their requests arrived */
	bool exited;
	uint32_t last_connect; /* last outgoing connection of the entry */
	uint64_t peers_sent; /* items of all PEERS messages sent */
};

void bench_init(struct dispatch_bench *b);
void bench_init_admission(
    struct dispatch_bench *b, enum mlk_admission_mode admission);
/* The same, for an entry with this id; `pinned` may be NULL. */
void bench_init_as(struct dispatch_bench *b, const char *id,
    enum mlk_interference_mode interference, struct mlk_route_pair *pinned);
void bench_free(struct dispatch_bench *b);
void bench_apply(struct dispatch_bench *b, struct mlk_dispatch_event *ev);
/* Advances the time by `ms`, with a tick every 20 ms; ends early on EXIT. */
void bench_advance(struct dispatch_bench *b, int64_t ms);

/* Applies a routing table with one route. */
void bench_set_routes(
    struct dispatch_bench *b, uint64_t version, uint32_t attempts);
/* Delivers a message on a link. */
void bench_deliver(
    struct dispatch_bench *b, uint32_t link, struct mlk_msg *msg);
/* Connects a new agent, which attaches and reports a ready, idle worker. */
void bench_attach(struct dispatch_bench *b, struct bench_agent *a,
    const char *id, const char *dc, uint32_t cpu);
/* Connects another entry, in both directions. */
void bench_add_peer(struct dispatch_bench *b, uint32_t number);
/* Sends the agent's WORKER message with its current load. */
void bench_report_worker(struct dispatch_bench *b, struct bench_agent *a,
    enum mlk_worker_state state);
void bench_link_down(struct dispatch_bench *b, struct bench_agent *a);
/* Submits a job of `count` tasks with `cpu` each.  Returns the request. */
uint64_t bench_submit(struct dispatch_bench *b, const char *id, uint32_t count,
    uint32_t cpu, uint32_t deadline_ms);
void bench_set_estimate(struct dispatch_bench *b, uint32_t ms);
void bench_offer(struct dispatch_bench *b, struct bench_agent *a,
    uint64_t offer, uint32_t cpu);
/* Closes the connection of a request. */
void bench_caller_gone(struct dispatch_bench *b, uint64_t request);
/* The i-th message of this type to the agent in the last effects, or NULL. */
const struct mlk_msg *bench_sent(const struct dispatch_bench *b,
    const struct bench_agent *a, enum mlk_msg_type type, uint32_t i);
/* The number of tasks sent to the agent in the last effects. */
uint32_t bench_sent_tasks(
    const struct dispatch_bench *b, const struct bench_agent *a);
/* The agent reports the end of a task's run; `job` is the handle from RUN. */
void bench_end_run(struct dispatch_bench *b, struct bench_agent *a,
    uint64_t job, uint32_t index, enum mlk_run_end end);
/* The answer to a request, or NULL. */
const struct bench_answer *bench_answer_to(
    const struct dispatch_bench *b, uint64_t request);

#endif
