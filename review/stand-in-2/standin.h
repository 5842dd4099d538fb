/*
 * Stand-in for the users' platform: its store, its workers and its clients, for
 * the cases of the second review.  One process with one poll loop; it starts
 * the entry and agent programs and records what it sends, answers and runs.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#define WORKERS_MAX 8
#define ENTRIES_MAX 4
#define JOBS_MAX 32768
#define TASKS_MAX 8
#define ADDR_TEXT 32

/* Owners of connections; worker i owns OWNER_WORKER + i. */
enum owner {
	OWNER_STORE,
	OWNER_CLIENT,
	OWNER_WORKER,
};

struct request {
	uint64_t handle;
	int owner;
	char method[8];
	char path[512];
	char expect[64]; /* X-Expect-Instance */
	const char *body;
	size_t len;
};

/* status 0: no answer.  `body` is valid until the return. */
struct answer {
	int status;
	const char *body;
	size_t len;
};

/* http.c */
int64_t now_ms(void);
bool http_listen(const char *addr, int owner);
void http_close_owner(int owner);
void http_reply(uint64_t handle, int status, json_t *body);
uint64_t http_call(const char *addr, int owner, const char *method,
    const char *path, const char *headers, const char *body, int timeout_ms,
    void (*done)(void *arg, const struct answer *answer), void *arg);
void http_abandon(uint64_t handle);
void http_poll(int timeout_ms);
void http_silence(int owner);
void on_request(const struct request *request); /* in main.c */
/*
 * Share of the requests to an owner that are reset, in percent: the first one
 * of a connection as soon as the connection is accepted, a later one when it
 * has arrived.
 */
extern int http_reset_percent[OWNER_WORKER + WORKERS_MAX];
extern uint32_t http_resets;

/* record.c */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void record_open(const char *path);
void broken(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
extern uint32_t nbroken;

/* store.c */
void store_manifest(int version, int timeout_ms, bool second_route);
void store_request(const struct request *request);
void store_tick(void);

/* worker.c */
struct worker {
	bool up;
	char addr[ADDR_TEXT];
	char control[ADDR_TEXT]; /* where its agent takes pings */
	char id[32];
	int64_t born;
	int64_t started; /* now_ms() at its start */
	int64_t clock_start; /* its clock at that time */
	bool draining;
	bool drain_acked;
	int64_t drain_acked_at;
	int64_t ping_at;
	uint64_t seq;
	uint64_t fence; /* highest seen */
	int64_t until; /* end of the lease, as now_ms() */
	uint64_t last_end;
	uint64_t ack;
	int answer_ms; /* time that it takes to answer a start */
};
extern struct worker workers[WORKERS_MAX];
extern int nworkers;
extern uint32_t worker_cpu; /* capacity of each */
void worker_start(int i, const char *id);
void worker_end(int i, const char *why);
void worker_drain(int i);
void worker_leave(
    int i, void (*done)(void *arg, const struct answer *answer), void *arg);
void worker_request(int i, const struct request *request);
void workers_tick(void);

/* jobs.c */
struct task {
	int worker; /* of its present run; -1: none */
	int runs; /* at work now */
	uint32_t starts;
	bool done;
};

struct job {
	char id[20];
	int ntasks;
	int work_ms;
	uint32_t cpu;
	int deadline_ms;
	int64_t sent_at; /* of the last attempt */
	int64_t resend_at; /* 0: none is due */
	const char *prefix; /* of its queue */
	int entry; /* where its last attempt went */
	uint64_t call;
	uint32_t attempts;
	uint32_t rejected; /* answers 429 or 503 */
	int status; /* of the last answer */
	bool over;
	uint32_t starts;
	int64_t cancel_acked_at; /* 0: not cancelled */
	struct task tasks[TASKS_MAX];
};
extern struct job jobs[JOBS_MAX];
extern int njobs;
struct job *job_find(const char *id);
struct job *job_submit(int ntasks, int work_ms, uint32_t cpu, int deadline_ms);
struct job *job_submit_at(int entry, const char *prefix);
void job_cancel(struct job *job);
void jobs_tick(void);
bool jobs_over(void);

/* programs.c */
extern int nentries;
extern char entry_front[ENTRIES_MAX][ADDR_TEXT];
extern char entry_ready[ENTRIES_MAX][ADDR_TEXT];
extern char store_addr[ADDR_TEXT];
void programs_start(const char *dir);
void programs_end(void);
int programs_ended(void);

/* main.c */
void run_until(int64_t at);
bool trouble(void);

#endif
