/*
 * A deployment on loopback for load runs, failure tests and the demo: a
 * stand-in platform, stand-in endpoints, agents and entries, each a child
 * process.
 *
 * Processes are named "platform", "endpoint-N", "agent-N" and "entry-N", N
 * from 1.  Functions that stop or start a process do not block unless noted;
 * mlk_deploy_poll() reaps the processes that have ended.
 */
#ifndef MLK_LOAD_DEPLOY_H
#define MLK_LOAD_DEPLOY_H

#include <signal.h>
#include <sys/types.h>

#include <monsoonlock/core.h>

enum mlk_deploy_role {
	MLK_DEPLOY_PLATFORM,
	MLK_DEPLOY_ENDPOINT,
	MLK_DEPLOY_AGENT,
	MLK_DEPLOY_ENTRY,
};

struct mlk_deploy_process;

struct mlk_deploy_options {
	const char *bin_dir;
	uint32_t entries;
	uint32_t workers;
	uint32_t slots; /* per worker */
	uint32_t dcs; /* data centres dc-1.., assigned in turn; 0: 1 */
	const char *policy; /* NULL: credits */
	const char *caller_token; /* NULL: callers need no token */
	const char *operator_token; /* NULL: no operator */
	const char *entry_settings; /* extra YAML lines; NULL: none */
	const char *agent_settings; /* extra YAML lines; NULL: none */
	bool endpoints_only; /* no platform, entries or agents */
	bool keep; /* keep the directory of logs and settings */
	const volatile sig_atomic_t
	    *cancel; /* non-zero: stop waiting; or NULL */
	/* Returns the address of the process `to`, an entry or the platform,
	 * for the settings of the process `from`; if both are the same entry,
	 * the address that it advertises.  When route is NULL or returns NULL,
	 * the listening address of `to` is used. */
	const char *(*route)(void *arg, const struct mlk_deploy_process *from,
	    const struct mlk_deploy_process *to);
	void *route_arg;
};

struct mlk_deploy_process {
	char name[MLK_NAME_MAX];
	enum mlk_deploy_role role;
	uint32_t index; /* from 0 within the role */
	char http[MLK_ADDR_MAX];
	char rpc[MLK_ADDR_MAX]; /* entries only */
	pid_t pid; /* 0: not running */
	bool stopping; /* killed or asked to stop */
	bool restart_pending; /* start again after its end */
	uint32_t starts;
	int exit_status; /* wait status of its last run, see wait4(2) */
	double cpu_ended_s; /* CPU time of its earlier runs */
};

struct mlk_deploy;

int mlk_deploy_create(const struct mlk_deploy_options *options,
    struct mlk_deploy **out, struct mlk_error *err);
void mlk_deploy_destroy(struct mlk_deploy *d); /* blocks */
int mlk_deploy_start(struct mlk_deploy *d, struct mlk_error *err);
int mlk_deploy_wait_ready(
    struct mlk_deploy *d, uint32_t timeout_ms, struct mlk_error *err);
const char *mlk_deploy_dir(const struct mlk_deploy *d);

uint32_t mlk_deploy_count(const struct mlk_deploy *d);
struct mlk_deploy_process *mlk_deploy_at(struct mlk_deploy *d, uint32_t i);
struct mlk_deploy_process *mlk_deploy_find(
    struct mlk_deploy *d, const char *name);

int mlk_deploy_kill(
    struct mlk_deploy *d, const char *name, struct mlk_error *err);
int mlk_deploy_stop(
    struct mlk_deploy *d, const char *name, struct mlk_error *err);
int mlk_deploy_pause(
    struct mlk_deploy *d, const char *name, struct mlk_error *err);
int mlk_deploy_resume(
    struct mlk_deploy *d, const char *name, struct mlk_error *err);
int mlk_deploy_restart(
    struct mlk_deploy *d, const char *name, struct mlk_error *err);
int mlk_deploy_poll(struct mlk_deploy *d, struct mlk_error *err);
int mlk_deploy_wait_ended(struct mlk_deploy *d, const char *name,
    uint32_t timeout_ms, struct mlk_error *err); /* blocks */
int mlk_deploy_control(struct mlk_deploy *d, const char *name, const char *body,
    struct mlk_error *err); /* blocks */

/* deploy_settings.c: settings files of the processes. */
char *mlk_deploy_entry_settings(const struct mlk_deploy_options *options,
    struct mlk_deploy *d, const struct mlk_deploy_process *p);
char *mlk_deploy_agent_settings(const struct mlk_deploy_options *options,
    struct mlk_deploy *d, const struct mlk_deploy_process *p);

#endif
