/*
 * Soak test of the site programs.  Entries and agents run as processes on
 * loopback addresses.  This process simulates the platform's store, the workers
 * and the callers, and so sees every run, every answer and every order.  Faults
 * are injected from outside the programs: signals, links that are cut, slow,
 * reset or silent, answers that are lost or late, workers that crash, a store
 * that is unavailable.
 *
 * Traffic and faults are drawn from a seed.  The checks:
 *
 *   one run    no task has two runs at a time on workers that are up
 *   room       no worker is told to start more than its capacity
 *   not run    a job that was answered only with 503 has no run, then or later
 *   whole      a job is answered as complete only after all its tasks have run
 *   left       no task of a job runs 1.6 s after its caller has disconnected
 *   version    an entry never goes back to an older routing table
 *   evacuated  no task starts at a worker whose data centre has been evacuated
 *              for 5 s, counted from the last time that the store came back
 *   service    after the last fault all jobs complete again
 *   ended      no program exits unless it was told to
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
#define SOAK_DCS 3U /* data centres; process i is in number i % SOAK_DCS */

enum soak_call {
	SOAK_CALL_JOB, /* number: the number of the job */
	SOAK_CALL_ANNOUNCE,
	SOAK_CALL_LEAVE, /* number: worker and a serial number */
	/* Requests for the route of a version; number: version and entry. */
	SOAK_CALL_VERSION,
	SOAK_CALL_SEEN_VERSION, /* the entry has already served this one */
	SOAK_CALL_OLD_VERSION, /* the entry has already served a later one */
};

/* A /-/hold request that stays open until a run ends or `until` passes. */
struct soak_hold {
	uint64_t request; /* 0: free */
	struct mlk_order order;
	int64_t until; /* ms */
};

struct soak_worker {
	struct fake_worker fake;
	char id[MLK_NAME_MAX];
	uint64_t seq; /* of the last announcement */
	int64_t announce_at; /* ms */
	uint64_t last_seen_end; /* number of the last end that was recorded */
	struct soak_hold holds[SOAK_HOLDS_MAX];
	bool unresponsive; /* ignores orders, sends no announcements */
	uint32_t lost_answer_percent; /* of orders: done, not answered */
	uint32_t late_start_percent; /* of starts: done late, not answered */
	uint32_t over_capacity; /* count of all boots before this one */
	bool draining;
	int64_t leave_at; /* of the notice to leave, ms; 0: not due */
	int64_t end_at; /* of a leaving worker, ms; 0: not due */
	uint64_t leave_call; /* whose answer ends the worker; 0: none */
	char late_id[MLK_NAME_MAX]; /* of a notice that arrives late */
	int64_t late_at; /* ms; 0: none is due */
};

/* A start that is carried out with a delay, unless the worker restarts. */
struct soak_late_start {
	uint32_t worker;
	uint64_t boot;
	int64_t at; /* ms */
	struct mlk_order order;
};

struct soak_job {
	uint64_t number;
	char id[MLK_ID_MAX];
	uint32_t ntasks;
	uint32_t cpu;
	double work_ms;
	uint64_t done_mask; /* bit per task that has run to its end */
	uint32_t started; /* runs that workers have started */
	uint32_t sends; /* submissions, repeated ones included */
	uint32_t refusals; /* answers 503 */
	int64_t send_at; /* next submission, ms; 0: none is due */
	int64_t disconnect_at; /* ms; 0: the caller stays */
	int64_t disconnected_at; /* ms; 0: has not disconnected */
	bool in_flight; /* submitted, not yet answered */
	bool refused; /* every answer was 503 */
	bool completed;
	int64_t created; /* ms */
};

struct soak_row {
	char table[32];
	char key[64];
	char *value; /* base64; NULL: removed */
	uint64_t version;
};

/* A request to the feed of a table that waits for newer rows. */
struct soak_poll {
	uint64_t request;
	char table[32];
	uint64_t after; /* version */
	int64_t until; /* ms */
};

enum soak_store_mode {
	SOAK_STORE_UP,
	SOAK_STORE_DOWN, /* answers 503 */
	SOAK_STORE_SILENT,
	SOAK_STORE_LOSSY, /* commits transactions, answers nothing */
	SOAK_STORE_SLOW, /* delays each read by a random time */
	SOAK_STORE_MODES,
};

/* A delayed answer of the slow store. */
struct soak_answer {
	uint64_t request;
	int64_t at; /* ms */
	json_t *root;
};

struct soak_proc {
	char id[24];
	bool entry;
	uint32_t index;
	pid_t pid; /* 0: not running */
	bool stopped; /* by SIGSTOP */
	bool exit_expected; /* it was told to stop or was killed */
	int64_t start_at; /* ms; 0: not due */
	int64_t started_at; /* ms */
	bool hup_wanted; /* SIGHUP is to be sent once the program blocks it */
	int64_t cont_at; /* SIGCONT, ms; 0: not due */
	int64_t kill_at; /* SIGKILL after SIGTERM, ms; 0: not due */
	uint64_t max_version_seen; /* of routing tables that this boot served */
	uint64_t boot; /* number of starts */
};

enum soak_link_kind {
	SOAK_LINK_CUT, /* a to b */
	SOAK_LINK_CUT_BACK, /* b to a */
	SOAK_LINK_CUT_BOTH, /* both directions */
	SOAK_LINK_ISOLATE, /* between a and all other programs */
	SOAK_LINK_DELAY,
	SOAK_LINK_RESET,
	SOAK_LINK_SILENCE, /* open connections deliver nothing any more */
	SOAK_LINK_KINDS,
};

struct soak_link_fault {
	enum soak_link_kind kind;
	char a[24];
	char b[24];
	uint32_t delay_ms;
	int64_t until; /* ms */
};

struct soak_options {
	uint64_t seed;
	uint32_t seconds;
	uint32_t entries;
	uint32_t workers;
	uint32_t jobs_per_s;
	bool calm; /* no faults */
	bool evacuate; /* evacuates data centres and cancels that */
	const char *programs; /* directory of the two programs */
	const char *entry; /* replaces the entry program; NULL: does not */
	const char *agent; /* replaces the agent program; NULL: does not */
};

struct soak {
	struct soak_options options;
	const struct mlk_clock *clock;
	struct mlk_loop *loop;
	struct mlk_rng rng;
	uint16_t port; /* first port; see SOAK_PORT_STORE */
	char dir[64]; /* of the settings and logs of the programs */
	int64_t started; /* ms */
	int64_t now; /* ms */
	/* The store. */
	enum soak_store_mode store_mode;
	int64_t store_until; /* end of the mode, ms */
	GArray *rows; /* struct soak_row */
	GArray *polls; /* struct soak_poll */
	GArray *answers; /* struct soak_answer */
	uint32_t routing_burst; /* routing tables left to publish */
	int64_t next_routing_at; /* time of the next one, ms */
	uint64_t version; /* of the last write to the store */
	int64_t store_up_since; /* ms */
	struct mlk_rng evacuation_rng; /* apart, so that a seed has the same
					  faults with evacuations */
	int64_t next_evacuation; /* or the end of one, ms */
	int64_t evacuated_at[SOAK_DCS]; /* ms; 0: not evacuated */
	uint64_t routing; /* version of the routing table in force */
	GArray *published_versions; /* uint64_t, of all routing tables */
	/* Links between the programs, and to the store. */
	struct relay *relay;
	GArray *links; /* struct soak_link_fault */
	/* Workers. */
	struct soak_worker workers[SOAK_WORKERS_MAX];
	GArray *late; /* struct soak_late_start */
	uint64_t last_boot;
	/* Callers. */
	GHashTable *jobs; /* number -> struct soak_job */
	GHashTable *by_id; /* job id -> struct soak_job, not owned */
	uint64_t last_job;
	uint64_t last_call; /* number of the last announcement or probe */
	int64_t next_job; /* ms */
	/* Programs. */
	struct soak_proc procs[SOAK_ENTRIES_MAX + SOAK_WORKERS_MAX];
	uint32_t nprocs;
	int64_t next_fault; /* ms */
	int64_t next_probe; /* of the versions in force, ms */
	/* Results. */
	uint32_t completed, failed, refused, unanswered, disconnected, faults;
	uint32_t completed_after_faults; /* of jobs_after_faults */
	uint32_t jobs_after_faults; /* submitted after the recovery time */
	uint32_t violations;
	uint32_t evacuations;
	int64_t evacuation_ms; /* longest until the last start there */
	bool traffic_over; /* no more jobs, no restarts of programs */
};

/* soak.c */
void soak_violation(struct soak *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Returns a random number below `bound`. */
uint32_t soak_random(struct soak *s, uint32_t bound);
bool soak_faults_over(const struct soak *s);
/* Writes "ip:port" of entry or worker number i. */
void soak_entry_addr(
    const struct soak *s, uint32_t i, uint32_t port, char *out);
void soak_agent_addr(
    const struct soak *s, uint32_t i, uint32_t port, char *out);
/*
 * Writes the address at which an entry listens for links; the relay listens
 * at the one that the entry advertises, soak_entry_addr(SOAK_PORT_LINKS).
 */
void soak_entry_listen_addr(const struct soak *s, uint32_t i, char *out);
void soak_store_addr(const struct soak *s, char *out);
void soak_call(struct soak *s, enum soak_call kind, uint64_t number,
    const char *method, const char *addr, const char *path, const char *headers,
    const char *body, uint32_t timeout_ms);
void soak_reply(struct soak *s, uint64_t request, int status, json_t *root);

/* soak_store.c */
void soak_store_routes(struct soak *s, uint64_t version);
void soak_store_request(struct soak *s, const struct mlk_http_request *req);
void soak_store_tick(struct soak *s);
void soak_evacuations_tick(struct soak *s);
void soak_store_clear(struct soak *s);

/* soak_workers.c */
void soak_worker_start(struct soak *s, uint32_t i, bool same_id);
void soak_worker_leave(struct soak *s, uint32_t i);
void soak_worker_leave_answered(struct soak *s, uint64_t number);
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
void soak_seen_version_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev);
void soak_old_version_answered(
    struct soak *s, uint64_t number, const struct mlk_net_event *nev);

/* soak_links.c */
void soak_links_create(struct soak *s);
void soak_links_destroy(struct soak *s);
void soak_links_open_entry(struct soak *s, const struct soak_proc *p);
const char *soak_links_open_store(struct soak *s, const struct soak_proc *p);
const char *soak_links_open_worker(struct soak *s, const struct soak_proc *p);
void soak_links_inject_fault(struct soak *s);
void soak_links_inject_worker_fault(struct soak *s, uint32_t i);
void soak_links_power_loss(struct soak *s, const char *id);
void soak_links_tick(struct soak *s, bool heal);

/* soak_procs.c */
int soak_procs_create(struct soak *s);
void soak_procs_tick(struct soak *s);
void soak_faults_tick(struct soak *s);
void soak_procs_end(struct soak *s);

/* Ports, relative to struct soak.port. */
#define SOAK_PORT_STORE 0U
#define SOAK_PORT_LINKS 1U
#define SOAK_PORT_CALLERS 2U
#define SOAK_PORT_READY 3U
#define SOAK_PORT_METRICS 4U
#define SOAK_PORT_CONTROL 5U
#define SOAK_PORT_WORKERS 10U /* one per worker from here */

#endif
