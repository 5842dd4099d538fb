/*
 * A soak of the site programs: entries and agents as processes on loopback
 * addresses, around them the platform's store, the workers and the callers,
 * played by this one process, which therefore sees every run, every answer and
 * every order.  Faults come from outside the programs: signals, links that are
 * cut, slow, reset or silent, answers that are lost or late, workers that
 * crash, a store that is away.
 *
 * What it checks, from a seed that draws traffic and faults:
 *
 *   one run    no task has two runs at a time on workers that are up
 *   room       no worker is told to start more than its capacity
 *   not run    a job whose every answer was 503 has had no run, nor gets one
 *   whole      a job is answered complete only after each task has run
 *   left       nothing of a job runs 1.6 s after its caller has left
 *   version    an entry that has shown a routing table shows no older one
 *   service    when all faults are over, all jobs are completed again
 *   ended      no program ends by itself
 */
#ifndef SOAK_H
#define SOAK_H

#include <glib.h>
#include <jansson.h>

#include <monsoonlock/net.h>

#include "fake_worker.h"
#include "relay.h"

#define SOAK_ENTRIES_MAX 4U
#define SOAK_WORKERS_MAX 12U
#define SOAK_HOST_MAX 32
#define SOAK_HOLDS_MAX 8U
#define SOAK_ROUTE "/q/"

enum soak_call {
	SOAK_CALL_JOB, /* number: the job's */
	SOAK_CALL_ANNOUNCE,
	SOAK_CALL_VERSION, /* number: version and entry */
	SOAK_CALL_SHOWN, /* the same; the entry has shown it before */
	SOAK_CALL_OLDER, /* the same; the entry has shown a higher one */
};

/* A listing that waits for an end. */
struct soak_hold {
	uint64_t request; /* 0: free */
	struct mlk_order order;
	int64_t until;
};

struct soak_worker {
	struct fake_worker fake;
	char id[MLK_NAME_MAX];
	uint64_t seq;
	int64_t announce_at;
	uint64_t seen_end; /* last end that was taken note of */
	struct soak_hold holds[SOAK_HOLDS_MAX];
	bool mute; /* answers and does nothing */
	uint32_t lost_percent; /* of the orders: done without an answer */
	uint32_t late_percent; /* of the starts: done later, no answer */
	uint32_t over_capacity; /* as noted before the last crash */
};

struct soak_late {
	uint32_t worker;
	uint64_t boot;
	int64_t at;
	struct mlk_order order;
};

struct soak_job {
	uint64_t number;
	char id[MLK_ID_MAX];
	uint32_t count;
	uint32_t cpu;
	double work_ms;
	uint64_t done; /* mask of tasks that have run to their end */
	uint32_t started;
	uint32_t sends;
	uint32_t refusals;
	int64_t send_at; /* next one; 0: none is due */
	int64_t leave_at; /* its caller leaves then; 0: stays */
	int64_t left_at;
	bool waits; /* for an answer */
	bool refused; /* every answer was 503 */
	bool completed;
	int64_t created;
};

struct soak_row {
	char table[32];
	char key[64];
	char *value; /* base64; NULL: removed */
	uint64_t version;
};

struct soak_poll {
	uint64_t request;
	char table[32];
	uint64_t after;
	int64_t until;
};

enum soak_store_mode {
	SOAK_STORE_UP,
	SOAK_STORE_DOWN, /* 503 */
	SOAK_STORE_SILENT,
	SOAK_STORE_LOSSY, /* does what is asked, answers nothing */
	SOAK_STORE_SLOW, /* answers late, each by a time of its own */
	SOAK_STORE_MODES,
};

/* An answer of the slow store. */
struct soak_answer {
	uint64_t request;
	int64_t at;
	json_t *root;
};

struct soak_proc {
	char id[24];
	bool entry;
	uint32_t index;
	pid_t pid; /* 0: not running */
	bool stopped; /* by SIGSTOP */
	bool expected; /* its end is */
	int64_t start_at; /* 0: not due */
	int64_t cont_at;
	int64_t kill_at; /* after SIGTERM */
	uint64_t shown; /* highest version that this boot has shown */
	uint64_t boot; /* counts starts */
};

enum soak_link_kind {
	SOAK_LINK_CUT, /* a to b */
	SOAK_LINK_CUT_BACK, /* b to a */
	SOAK_LINK_PART, /* both ways */
	SOAK_LINK_ISOLATE, /* a and all other programs */
	SOAK_LINK_DELAY,
	SOAK_LINK_RESET,
	SOAK_LINK_SILENCE, /* of what is open now, for good */
	SOAK_LINK_KINDS,
};

struct soak_link_fault {
	enum soak_link_kind kind;
	char a[24];
	char b[24];
	uint32_t delay_ms;
	int64_t until;
};

struct soak_options {
	uint64_t seed;
	uint32_t seconds;
	uint32_t entries;
	uint32_t workers;
	uint32_t jobs_per_s;
	bool calm; /* no faults */
	const char *programs; /* directory of the two programs */
	const char *entry; /* another entry program; NULL: none */
	const char *agent; /* another agent program; NULL: none */
};

struct soak {
	struct soak_options options;
	const struct mlk_clock *clock;
	struct mlk_loop *loop;
	struct mlk_rng rng;
	uint16_t port; /* first of the ports in use */
	char dir[64]; /* settings and logs of the programs */
	int64_t started; /* ms */
	int64_t now; /* ms */
	/* The store. */
	enum soak_store_mode store_mode;
	int64_t store_until; /* then it is up again */
	GArray *rows; /* struct soak_row */
	GArray *polls; /* struct soak_poll */
	GArray *answers; /* struct soak_answer */
	uint32_t storm; /* routing tables that are still to come */
	int64_t next_routing; /* the next one of them */
	uint64_t version; /* of rows */
	uint64_t routing; /* version of the routing table */
	GArray *versions; /* uint64_t, of all routing tables */
	/* Links between the programs, and to the store. */
	struct relay *relay;
	GArray *links; /* struct soak_link_fault */
	/* Workers. */
	struct soak_worker workers[SOAK_WORKERS_MAX];
	GArray *late; /* struct soak_late */
	uint64_t last_boot;
	/* Callers. */
	GHashTable *jobs; /* number -> struct soak_job */
	GHashTable *by_id;
	uint64_t last_job;
	uint64_t last_call; /* announcements and looks */
	int64_t next_job; /* ms */
	/* Programs. */
	struct soak_proc procs[SOAK_ENTRIES_MAX + SOAK_WORKERS_MAX];
	uint32_t nprocs;
	int64_t next_fault;
	int64_t next_look; /* at the versions in force */
	/* Results. */
	uint32_t completed, failed, refused, unanswered, left, faults;
	uint32_t late_completed; /* after the last fault */
	uint32_t late_jobs;
	uint32_t violations;
	bool over;
};

/* soak.c */
void soak_violation(struct soak *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
uint32_t soak_below(struct soak *s, uint32_t bound);
bool soak_faults_over(const struct soak *s);
/* Writes "ip:port" of entry or worker number i. */
void soak_entry_addr(
    const struct soak *s, uint32_t i, uint32_t port, char *out);
void soak_agent_addr(
    const struct soak *s, uint32_t i, uint32_t port, char *out);
/* Where an entry listens; the relay stands at the address of its links. */
void soak_entry_links(const struct soak *s, uint32_t i, char *out);
void soak_store_addr(const struct soak *s, char *out);
void soak_call(struct soak *s, enum soak_call kind, uint64_t number,
    const char *method, const char *addr, const char *path, const char *headers,
    const char *body, uint32_t timeout_ms);
void soak_reply(struct soak *s, uint64_t request, int status, json_t *root);

/* soak_store.c */
void soak_store_routes(struct soak *s, uint64_t version);
void soak_store_request(struct soak *s, const struct mlk_http_request *req);
void soak_store_tick(struct soak *s);
void soak_store_clear(struct soak *s);

/* soak_workers.c */
void soak_worker_start(struct soak *s, uint32_t i, bool same_id);
void soak_worker_request(
    struct soak *s, uint32_t i, const struct mlk_http_request *req);
void soak_workers_tick(struct soak *s);
struct soak_job *soak_job_by_id(struct soak *s, const char *id);

/* soak_callers.c */
void soak_callers_tick(struct soak *s);
void soak_job_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev);
void soak_version_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev);
void soak_shown_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev);
void soak_older_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev);

/* soak_links.c */
void soak_links_create(struct soak *s);
void soak_links_destroy(struct soak *s);
void soak_links_open_entry(struct soak *s, const struct soak_proc *p);
const char *soak_links_open_store(struct soak *s, const struct soak_proc *p);
void soak_links_fault(struct soak *s);
void soak_links_dark(struct soak *s, const char *id);
void soak_links_tick(struct soak *s, bool heal);

/* soak_procs.c */
int soak_procs_create(struct soak *s);
void soak_procs_tick(struct soak *s);
void soak_faults_tick(struct soak *s);
void soak_procs_end(struct soak *s);

/* Ports, counted from the first one. */
#define SOAK_PORT_STORE 0U
#define SOAK_PORT_LINKS 1U
#define SOAK_PORT_CALLERS 2U
#define SOAK_PORT_READY 3U
#define SOAK_PORT_METRICS 4U
#define SOAK_PORT_CONTROL 5U
#define SOAK_PORT_WORKERS 10U /* and the following ones */

#endif
