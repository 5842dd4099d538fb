/*
 * A dispatcher with fake agents and callers for tests: events go in by short
 * calls, and the effects of the last event are kept for inspection.
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
	struct mlk_resources free;
	uint64_t seen;
	uint32_t running;
};

struct bench_answer {
	uint64_t request;
	enum mlk_work_outcome outcome;
	uint32_t retry_after_ms;
	int64_t at;
};

struct dispatch_bench {
	struct mlk_dispatcher *d;
	int64_t now;
	struct mlk_dispatch_effects fx; /* of the last event */
	struct bench_answer answers[BENCH_ANSWERS_MAX];
	uint32_t nanswers;
	uint32_t last_link;
	uint64_t last_request;
	uint32_t estimate_ms; /* of the jobs that are submitted */
	bool exited;
	uint32_t last_connect; /* that the entry has begun */
	uint64_t entries_told; /* to agents, over all messages */
};

void bench_init(struct dispatch_bench *b);
void bench_free(struct dispatch_bench *b);
void bench_apply(struct dispatch_bench *b, struct mlk_dispatch_event *ev);
/* One tick every 20 ms until `ms` have passed. */
void bench_pass(struct dispatch_bench *b, int64_t ms);

void bench_routes(
    struct dispatch_bench *b, uint64_t version, uint32_t attempts);
void bench_attach(struct dispatch_bench *b, struct bench_agent *a,
    const char *id, const char *dc, uint32_t cpu);
/* Another entry introduces itself. */
void bench_peer(struct dispatch_bench *b, uint32_t number);
void bench_worker(struct dispatch_bench *b, struct bench_agent *a,
    enum mlk_worker_state state);
void bench_link_down(struct dispatch_bench *b, struct bench_agent *a);
/* Returns the request. */
uint64_t bench_submit(struct dispatch_bench *b, const char *id, uint32_t count,
    uint32_t cpu, uint32_t deadline_ms);
void bench_estimate(struct dispatch_bench *b, uint32_t ms);
void bench_offer(struct dispatch_bench *b, struct bench_agent *a,
    uint64_t offer, uint32_t cpu);
void bench_gone(struct dispatch_bench *b, uint64_t request);
/* The i-th message of this type to a in the last effects, or NULL. */
const struct mlk_msg *bench_sent(const struct dispatch_bench *b,
    const struct bench_agent *a, enum mlk_msg_type type, uint32_t i);
uint32_t bench_sent_tasks(
    const struct dispatch_bench *b, const struct bench_agent *a);
void bench_end(struct dispatch_bench *b, struct bench_agent *a, uint64_t job,
    uint32_t index, enum mlk_run_end end);
/* The answer to a request, or NULL. */
const struct bench_answer *bench_answer_to(
    const struct dispatch_bench *b, uint64_t request);

#endif
