/*
 * One run of a scenario: its targets, the result of each job and the resource
 * use of the processes.
 */
#ifndef MLK_LOAD_RUN_H
#define MLK_LOAD_RUN_H

#include "arrivals.h"
#include "check.h"
#include "deploy.h"
#include "procstat.h"
#include "scrape.h"

enum mlk_load_mode {
	MLK_LOAD_TO_ENTRIES,
	MLK_LOAD_TO_ENDPOINTS, /* tasks go to endpoints, without an entry */
};

/* What was sent and received for one job. */
struct mlk_load_record {
	char *id; /* NULL: not issued yet */
	int64_t sent; /* ns after the start of the run; 0: not sent */
	int64_t ended; /* ns after the start of the run; 0: no answer */
	struct mlk_load_verdict verdict;
	uint32_t tries; /* submissions, including those that failed to send */
	uint32_t submissions_open; /* submissions in flight */
	uint32_t tasks_open; /* MLK_LOAD_TO_ENDPOINTS: tasks in flight */
	bool resubmitted;
	bool cancelled;
	bool disagrees; /* received two answers with different outcomes */
};

/* Resource use of one process over a run. */
struct mlk_load_usage {
	char name[MLK_NAME_MAX];
	enum mlk_deploy_role role;
	double cpu_s;
	uint64_t rss_max; /* bytes */
	uint64_t control_bytes; /* sent, see mlk_scrape_is_control() */
};

struct mlk_load_run {
	const struct mlk_load_scenario *sc;
	const struct mlk_load_arrivals *arrivals;
	const char *policy; /* or the command: "direct", "against" */
	enum mlk_load_mode mode;
	struct mlk_deploy *deploy; /* NULL: the entries already run */
	const char *token; /* caller token; NULL: none */
	bool own_connections; /* each call opens a connection */
	bool progress; /* print progress to stderr */
	double drain_s; /* time limit after the last arrival; 0: default */
	uint32_t ntargets;
	char (*targets)[MLK_ADDR_MAX];

	struct mlk_load_record *records;
	bool interrupted;
	double elapsed_s; /* from the start of the run to its end */
	uint64_t calls_lost; /* without an answer, for any reason */
	uint64_t calls_not_sent; /* part of calls_lost: no byte was sent */
	uint64_t calls_timed_out; /* part of calls_lost */
	uint64_t connections; /* connections opened */
	struct mlk_scrape messages; /* sent by all processes in the run */
	struct mlk_load_usage *usage;
	uint32_t nusage;
	struct mlk_load_start_log
	    *start_log; /* task starts; NULL: no start logs */
};

/* driver.c */
int mlk_load_drive(struct mlk_load_run *run, struct mlk_error *err);
void mlk_load_run_clear(struct mlk_load_run *run);

/* observe.c: message counters, CPU time and memory of the processes */
struct mlk_load_observer;
struct mlk_load_observer *mlk_load_observe_begin(struct mlk_load_run *run);
void mlk_load_observe_sample(struct mlk_load_observer *obs);
void mlk_load_observe_end(struct mlk_load_observer *obs);

#endif
