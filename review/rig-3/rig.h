/*
 * Stand-ins of the third review: the platform's store, workers and clients in
 * one process, which also starts the project's programs as processes of their
 * own.  Each scenario is a table of steps in time; see scenario_*.c.
 *
 * Times are in ms of the monotonic clock since the start of the rig.
 */
#ifndef RIG_H
#define RIG_H

#include <sys/types.h>

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

#include <monsoonlock/net.h>

#define ENTRIES_MAX 4
#define WORKERS_MAX 8
#define JOBS_MAX 400
#define STOP_MS 50 /* stop_ms of the pages */
#define LEASE_MAX_MS 1000 /* hold_max_ms */
#define HEARTBEAT_MS 1500 /* heartbeat_ms */
#define RESEND_MS 1300 /* resend_ms */
#define PREFIX "/sheet/"
#define SERVICE "huvo11a"

struct run {
	char task[64];
	uint32_t run;
	int64_t begun_at;
	int64_t ends_at;
	int64_t stop_at; /* 0: not being stopped */
	uint32_t cpu;
};

struct end {
	uint64_t number;
	char task[64];
	uint32_t run;
	const char *how;
};

/* A hold that waits for an end. */
struct hold {
	uint64_t request;
	uint64_t ack;
	int64_t until;
};

/* An order without an answer that is carried out later. */
struct late {
	int64_t at;
	uint64_t life;
	char path[32];
	char *body;
};

struct worker {
	uint32_t index;
	char id[32];
	bool up;
	uint64_t life; /* counts the starts of this worker */
	uint64_t born;
	int64_t clock_start; /* rig time at which its clock was 0 */
	uint64_t seq;
	uint32_t cpu; /* capacity */
	uint64_t fence;
	int64_t lease_until; /* by its clock */
	GArray *runs; /* struct run */
	GArray *ends; /* struct end, not acknowledged */
	GHashTable *highest; /* task -> highest run stopped or ended here */
	uint64_t last_end;
	GArray *holds; /* struct hold */
	GArray *lates; /* struct late */
	uint16_t port;
	char control[MLK_ADDR_MAX]; /* where its agent takes pings */
	int64_t ping_at;
	uint32_t late_percent; /* of the starts and stops */
	uint32_t over; /* starts beyond its capacity */
};

/* One job of a client. */
struct job {
	char id[17];
	uint32_t cpu; /* of each task */
	uint32_t count; /* of each step */
	uint32_t steps; /* in a chain */
	uint32_t work_ms[2];
	uint32_t deadline_ms;
	uint64_t call; /* of the open attempt; 0: none */
	uint32_t attempts;
	int status; /* of the last answer; 0: none */
	int64_t answered_at;
	uint64_t cancel_call;
	int64_t canceled_at; /* DELETE answered with 2xx or 410; 0: not */
	uint32_t started; /* runs */
	uint32_t entry; /* that it was sent to last */
	int64_t sent_at;
};

struct proc {
	pid_t pid;
	char name[32];
	char program[256];
	char settings[256];
};

struct rig {
	struct mlk_loop *loop;
	int64_t start;
	int64_t now;
	const char *dir; /* temporary */
	const char *programs;
	FILE *record;
	int trouble;
	struct mlk_rng rng;
	uint32_t nentries;
	uint32_t nworkers;
	struct worker workers[WORKERS_MAX];
	struct proc procs[ENTRIES_MAX + WORKERS_MAX];
	uint32_t nprocs;
	uint16_t front, ready, links, control;
	uint16_t store_port;
	GPtrArray *rows; /* struct row */
	uint64_t version; /* of the store */
	GArray *feeds; /* struct feed */
	struct job jobs[JOBS_MAX];
	uint32_t njobs;
	uint64_t last_call;
	bool entry_ready[ENTRIES_MAX];
	int64_t ready_at; /* all entries are ready; 0: not yet */
	uint32_t broken; /* breaches of the rule */
	bool failed; /* the case could not run */
	const struct scenario *scenario;
	uint32_t step;
};

struct scenario {
	const char *name;
	uint32_t entries;
	uint32_t workers;
	uint32_t cpu[WORKERS_MAX];
	/*
	 * Each answer ends its channel, so that none outlives the life of its
	 * worker.
	 */
	bool close_channels;
	/*
	 * Called every few ms with the time since all entries were ready;
	 * returns false at the end.
	 */
	bool (*tick)(struct rig *r, int64_t at);
	/* A worker has begun a run; other runs of the task are counted. */
	void (*started)(struct rig *r, struct worker *w, const struct run *run);
};

extern const struct scenario scenario_lease;
extern const struct scenario scenario_clock;
extern const struct scenario scenario_cancel;
extern const struct scenario scenario_flap;
extern const struct scenario scenario_handshake;

/* rig.c */
void note(struct rig *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void breach(struct rig *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* store.c */
void store_init(struct rig *r);
void store_manifest(struct rig *r, uint64_t version);
void store_request(struct rig *r, const struct mlk_http_request *req);
void store_tick(struct rig *r);
void store_gone(struct rig *r, uint64_t request);

/* workers.c */
void worker_begin(struct rig *r, struct worker *w, uint64_t born, uint32_t cpu);
void worker_crash(struct rig *r, struct worker *w);
void worker_request(
    struct rig *r, struct worker *w, const struct mlk_http_request *req);
void worker_gone(struct worker *w, uint64_t request);
void workers_tick(struct rig *r);
uint32_t worker_used(const struct worker *w);
uint32_t runs_of(const struct rig *r, const char *task);

/* clients.c */
struct job *client_job(struct rig *r, uint32_t count, uint32_t cpu,
    uint32_t work_ms, uint32_t deadline_ms);
char *client_body(const struct job *job);
void client_send(struct rig *r, struct job *job, uint32_t entry);
void client_leave(struct rig *r, struct job *job);
void client_cancel(struct rig *r, struct job *job, uint32_t entry);
struct job *job_of(struct rig *r, const char *task);
void client_response(struct rig *r, const struct mlk_net_event *ev);

/* procs.c */
int procs_start(struct rig *r);
void procs_signal(struct rig *r, uint32_t index, int signal);
void procs_check(struct rig *r);
void procs_end(struct rig *r);
uint16_t free_port(void);

#endif
