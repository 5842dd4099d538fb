/*
 * Starts, stops and controls the processes of a deployment on loopback.
 *
 * Children are signalled by their process id.  Where setpriv(1) is installed,
 * they also get a parent-death signal, so that none is left when this process
 * is killed.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "deploy.h"
#include "fetch.h"

/*
 * Listening ports are below the kernel's ephemeral range (32768 and above by
 * default); otherwise an outgoing connection could take the port of a process
 * that is being restarted.
 */
#define PORT_MIN 12000
#define PORT_MAX 32000
#define PORT_TRIES 1000
#define POLL_US 20000 /* between two checks of a process */
#define PROBE_TIMEOUT_S 2
#define CONTROL_TIMEOUT_S 5
#define STOP_TIMEOUT_MS 5000U /* SIGTERM to SIGKILL */
#define US_PER_MS 1000
#define USEC_PER_SEC 1e6

extern char **environ;

struct mlk_deploy {
	struct mlk_deploy_options options;
	char *dir;
	char *setpriv; /* path; NULL when it is not installed */
	GPtrArray *processes; /* struct mlk_deploy_process */
};

static int
bind_port(int fd, int port)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	return (bind(fd, (const struct sockaddr *)&addr, sizeof(addr)));
}

/*
 * Writes a free loopback address to out.  A bound socket, which is appended to
 * sockets, reserves the port until it is closed.  Returns 0 or MLK_ERR_IO.
 */
static int
choose_port(GArray *sockets, char out[MLK_ADDR_MAX])
{
	int fd, port, i;

	for (i = 0; i < PORT_TRIES; i++) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (fd < 0)
			return (MLK_ERR_IO);
		port = g_random_int_range(PORT_MIN, PORT_MAX);
		if (bind_port(fd, port) == 0) {
			g_array_append_val(sockets, fd);
			(void)snprintf(out, MLK_ADDR_MAX, "127.0.0.1:%d", port);
			return (0);
		}
		(void)close(fd);
	}
	return (MLK_ERR_IO);
}

static int
add_process(struct mlk_deploy *d, enum mlk_deploy_role role, uint32_t index,
    GArray *sockets)
{
	static const char *const names[] = { "platform", "endpoint", "agent",
		"entry" };
	struct mlk_deploy_process *p = g_new0(struct mlk_deploy_process, 1);

	g_ptr_array_add(d->processes, p);
	p->role = role;
	p->index = index;
	if (role == MLK_DEPLOY_PLATFORM)
		(void)snprintf(p->name, sizeof(p->name), "platform");
	else
		(void)snprintf(
		    p->name, sizeof(p->name), "%s-%u", names[role], index + 1);
	if (role == MLK_DEPLOY_ENTRY && choose_port(sockets, p->rpc) != 0)
		return (MLK_ERR_IO);
	return (choose_port(sockets, p->http));
}

/*
 * Adds the processes with their addresses.  All ports stay reserved until the
 * last one is chosen, so that they differ.
 */
static int
add_processes(struct mlk_deploy *d)
{
	GArray *sockets = g_array_new(FALSE, FALSE, sizeof(int));
	bool all = !d->options.endpoints_only;
	int error = 0;
	uint32_t i;

	if (all)
		error = add_process(d, MLK_DEPLOY_PLATFORM, 0, sockets);
	for (i = 0; i < d->options.workers && error == 0; i++)
		error = add_process(d, MLK_DEPLOY_ENDPOINT, i, sockets);
	for (i = 0; all && i < d->options.entries && error == 0; i++)
		error = add_process(d, MLK_DEPLOY_ENTRY, i, sockets);
	for (i = 0; all && i < d->options.workers && error == 0; i++)
		error = add_process(d, MLK_DEPLOY_AGENT, i, sockets);
	for (i = 0; i < sockets->len; i++)
		(void)close(g_array_index(sockets, int, i));
	(void)g_array_free(sockets, TRUE);
	return (error);
}

/*
 * Prepares a deployment: chooses addresses and creates a temporary directory,
 * but starts no process.  options.bin_dir and the other strings must outlive
 * *out.  Returns 0 or MLK_ERR_IO.
 */
int
mlk_deploy_create(const struct mlk_deploy_options *options,
    struct mlk_deploy **out, struct mlk_error *err)
{
	struct mlk_deploy *d = g_new0(struct mlk_deploy, 1);
	GError *gerr = NULL;

	*out = NULL;
	d->options = *options;
	d->processes = g_ptr_array_new_with_free_func(g_free);
	d->setpriv = g_find_program_in_path("setpriv");
	d->dir = g_dir_make_tmp("monsoonlock-load-XXXXXX", &gerr);
	if (d->dir == NULL) {
		(void)mlk_error_set(err, MLK_ERR_IO, "%s", gerr->message);
		g_error_free(gerr);
		mlk_deploy_destroy(d);
		return (MLK_ERR_IO);
	}
	if (add_processes(d) != 0) {
		mlk_deploy_destroy(d);
		return (
		    mlk_error_set(err, MLK_ERR_IO, "no free loopback port"));
	}
	*out = d;
	return (0);
}

const char *
mlk_deploy_dir(const struct mlk_deploy *d)
{
	return (d->dir);
}

uint32_t
mlk_deploy_count(const struct mlk_deploy *d)
{
	return (d->processes->len);
}

struct mlk_deploy_process *
mlk_deploy_at(struct mlk_deploy *d, uint32_t i)
{
	return (g_ptr_array_index(d->processes, i));
}

/*
 * Returns the process of that name, or NULL.
 */
struct mlk_deploy_process *
mlk_deploy_find(struct mlk_deploy *d, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->processes->len; i++)
		if (strcmp(mlk_deploy_at(d, i)->name, name) == 0)
			return (mlk_deploy_at(d, i));
	return (NULL);
}

static int
find_process(struct mlk_deploy *d, const char *name,
    struct mlk_deploy_process **out, struct mlk_error *err)
{
	*out = mlk_deploy_find(d, name);
	if (*out != NULL)
		return (0);
	return (mlk_error_set(
	    err, MLK_ERR_NOT_FOUND, "no process is called '%s'", name));
}

/*
 * Writes the settings of an entry or an agent and returns the path of the file.
 */
static char *
write_settings(struct mlk_deploy *d, const struct mlk_deploy_process *p)
{
	char *text, *path;

	path = g_strdup_printf("%s/%s.yaml", d->dir, p->name);
	text = p->role == MLK_DEPLOY_ENTRY ?
	    mlk_deploy_entry_settings(&d->options, d, p) :
	    mlk_deploy_agent_settings(&d->options, d, p);
	(void)g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	return (path);
}

/*
 * Returns the path of a program in bin_dir, which is a directory of binaries or
 * a build directory of CMake, or NULL.
 */
static char *
find_program(const struct mlk_deploy *d, enum mlk_deploy_role role)
{
	static const char *const programs[] = { "standin-platform",
		"standin-endpoint", "monsoonlock-agent", "monsoonlock-entry" };
	static const char *const subdirs[] = { ".", "bin", "standin",
		"src/agent", "src/entry" };
	char *path;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(subdirs); i++) {
		path = g_build_filename(
		    d->options.bin_dir, subdirs[i], programs[role], NULL);
		if (g_file_test(path, G_FILE_TEST_IS_REGULAR) &&
		    g_file_test(path, G_FILE_TEST_IS_EXECUTABLE))
			return (path);
		g_free(path);
	}
	return (NULL);
}

static void
add_arg(GPtrArray *argv, const char *arg)
{
	g_ptr_array_add(argv, g_strdup(arg));
}

/*
 * Returns the NULL-terminated argument vector of a process.  Each run of an
 * endpoint has its own start log, because a restart might truncate the file.
 */
static GPtrArray *
build_argv(struct mlk_deploy *d, const struct mlk_deploy_process *p)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);

	if (d->setpriv != NULL) {
		add_arg(argv, d->setpriv);
		add_arg(argv, "--pdeathsig");
		add_arg(argv, "KILL");
	}
	g_ptr_array_add(argv, find_program(d, p->role));
	if (p->role == MLK_DEPLOY_AGENT || p->role == MLK_DEPLOY_ENTRY) {
		add_arg(argv, "--config");
		g_ptr_array_add(argv, write_settings(d, p));
	} else {
		add_arg(argv, "--listen");
		add_arg(argv, p->http);
	}
	if (p->role == MLK_DEPLOY_ENDPOINT) {
		add_arg(argv, "--name");
		add_arg(argv, p->name);
		add_arg(argv, "--slots");
		g_ptr_array_add(argv, g_strdup_printf("%u", d->options.slots));
		add_arg(argv, "--start-log");
		add_arg(argv, "--log");
		g_ptr_array_add(argv,
		    g_strdup_printf(
			"%s/%s.starts.%u", d->dir, p->name, p->starts + 1));
	}
	g_ptr_array_add(argv, NULL);
	return (argv);
}

/*
 * Gives the child default signal handlers and an empty signal mask, in place of
 * those that the event loop of this process has set.
 */
static void
init_attributes(posix_spawnattr_t *attr)
{
	sigset_t none, all;

	(void)sigemptyset(&none);
	(void)sigfillset(&all);
	(void)sigdelset(&all, SIGKILL);
	(void)sigdelset(&all, SIGSTOP);
	(void)posix_spawnattr_init(attr);
	(void)posix_spawnattr_setsigmask(attr, &none);
	(void)posix_spawnattr_setsigdefault(attr, &all);
	/* In its own process group it gets no SIGINT from the terminal. */
	(void)posix_spawnattr_setpgroup(attr, 0);
	(void)posix_spawnattr_setflags(attr,
	    POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF |
		POSIX_SPAWN_SETPGROUP);
}

static int
spawn(struct mlk_deploy *d, struct mlk_deploy_process *p, struct mlk_error *err)
{
	GPtrArray *argv = build_argv(d, p);
	char *log = g_strdup_printf("%s/%s.log", d->dir, p->name);
	posix_spawn_file_actions_t actions;
	posix_spawnattr_t attr;
	int rc;

	(void)posix_spawn_file_actions_init(&actions);
	(void)posix_spawn_file_actions_addopen(
	    &actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
	(void)posix_spawn_file_actions_addopen(
	    &actions, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	(void)posix_spawn_file_actions_adddup2(
	    &actions, STDOUT_FILENO, STDERR_FILENO);
	init_attributes(&attr);
	rc = posix_spawn(&p->pid, argv->pdata[0], &actions, &attr,
	    (char **)argv->pdata, environ);
	(void)posix_spawnattr_destroy(&attr);
	(void)posix_spawn_file_actions_destroy(&actions);
	if (rc != 0) {
		p->pid = 0;
		rc = mlk_error_set(err, MLK_ERR_IO, "cannot start %s: %s",
		    p->name, strerror(rc));
	} else {
		p->starts++;
		p->stopping = false;
		p->restart_pending = false;
	}
	g_free(log);
	g_ptr_array_unref(argv);
	return (rc);
}

static int
check_programs(const struct mlk_deploy *d, struct mlk_error *err)
{
	static const char *const names[] = { "platform stand-in",
		"endpoint stand-in", "agent", "entry" };
	char *path;
	int role;

	for (role = MLK_DEPLOY_PLATFORM; role <= MLK_DEPLOY_ENTRY; role++) {
		if (d->options.endpoints_only && role != MLK_DEPLOY_ENDPOINT)
			continue;
		path = find_program(d, (enum mlk_deploy_role)role);
		if (path == NULL) {
			return (mlk_error_set(err, MLK_ERR_NOT_FOUND,
			    "program of the %s not found in %s", names[role],
			    d->options.bin_dir));
		}
		g_free(path);
	}
	return (0);
}

/*
 * Starts the platform, the endpoints, the entries and the agents, in this
 * order. Returns 0, MLK_ERR_NOT_FOUND or MLK_ERR_IO.
 */
int
mlk_deploy_start(struct mlk_deploy *d, struct mlk_error *err)
{
	uint32_t i;
	int error;

	error = check_programs(d, err);
	for (i = 0; i < d->processes->len && error == 0; i++)
		error = spawn(d, mlk_deploy_at(d, i), err);
	return (error);
}

/*
 * Reaps a process if it has ended.  Returns whether it was reaped.
 */
static bool
reap(struct mlk_deploy_process *p)
{
	struct rusage usage;

	if (p->pid == 0 ||
	    wait4(p->pid, &p->exit_status, WNOHANG, &usage) != p->pid)
		return (false);
	p->pid = 0;
	p->cpu_ended_s += (double)usage.ru_utime.tv_sec +
	    (double)usage.ru_stime.tv_sec +
	    ((double)usage.ru_utime.tv_usec + (double)usage.ru_stime.tv_usec) /
		USEC_PER_SEC;
	return (true);
}

/*
 * Reaps ended processes and starts those that are to be restarted.  Returns 0,
 * MLK_ERR_IO when a start failed, or MLK_ERR_UNAVAILABLE when a process ended
 * that was neither killed nor asked to stop.
 */
int
mlk_deploy_poll(struct mlk_deploy *d, struct mlk_error *err)
{
	struct mlk_deploy_process *p;
	uint32_t i;

	for (i = 0; i < d->processes->len; i++) {
		p = mlk_deploy_at(d, i);
		if (reap(p) && !p->stopping) {
			return (mlk_error_set(err, MLK_ERR_UNAVAILABLE,
			    "%s exited unexpectedly (wait status 0x%x)",
			    p->name, (unsigned int)p->exit_status));
		}
		if (p->pid == 0 && p->restart_pending && spawn(d, p, err) != 0)
			return (MLK_ERR_IO);
	}
	return (0);
}

static bool
cancelled(const struct mlk_deploy *d)
{
	return (d->options.cancel != NULL && *d->options.cancel != 0);
}

/*
 * Returns whether a process is ready.  A stand-in has no /readyz; it is ready
 * when it answers with any status.
 */
static bool
probe_ready(const struct mlk_deploy_process *p)
{
	bool daemon = p->role >= MLK_DEPLOY_AGENT;
	const char *path = daemon ? "/readyz" : "/stats";
	struct mlk_error err;
	int status = 0;

	return (mlk_fetch("GET", p->http, path, NULL, PROBE_TIMEOUT_S, &status,
		    NULL, &err) == 0 &&
	    (status == 200 || !daemon));
}

/*
 * Waits until every running process is ready.  Returns 0, MLK_ERR_TIMEOUT with
 * the name of the process that is not ready, or MLK_ERR_UNAVAILABLE when a
 * process ended or the wait was cancelled.
 */
int
mlk_deploy_wait_ready(
    struct mlk_deploy *d, uint32_t timeout_ms, struct mlk_error *err)
{
	int64_t deadline =
	    g_get_monotonic_time() + (int64_t)timeout_ms * US_PER_MS;
	struct mlk_deploy_process *p;
	uint32_t i = 0;

	while (i < d->processes->len) {
		p = mlk_deploy_at(d, i);
		if (mlk_deploy_poll(d, err) != 0)
			return (MLK_ERR_UNAVAILABLE);
		if (p->pid == 0 || probe_ready(p)) {
			i++;
			continue;
		}
		if (cancelled(d))
			return (mlk_error_set(
			    err, MLK_ERR_UNAVAILABLE, "interrupted"));
		if (g_get_monotonic_time() > deadline) {
			return (mlk_error_set(err, MLK_ERR_TIMEOUT,
			    "%s is not ready after %u ms", p->name,
			    timeout_ms));
		}
		(void)g_usleep(POLL_US);
	}
	return (0);
}

/*
 * Sends a signal to a process, if it runs; ends tells that the process is
 * expected to exit.
 */
static int
send_signal(struct mlk_deploy *d, const char *name, int sig, bool ends,
    struct mlk_error *err)
{
	struct mlk_deploy_process *p;

	if (find_process(d, name, &p, err) != 0)
		return (MLK_ERR_NOT_FOUND);
	if (p->pid == 0)
		return (0);
	if (ends)
		p->stopping = true;
	if (kill(p->pid, sig) != 0 && errno != ESRCH)
		return (mlk_error_set(err, MLK_ERR_IO, "cannot signal %s: %s",
		    name, strerror(errno)));
	return (0);
}

/*
 * Kills a process (SIGKILL).
 */
int
mlk_deploy_kill(struct mlk_deploy *d, const char *name, struct mlk_error *err)
{
	return (send_signal(d, name, SIGKILL, true, err));
}

/*
 * Asks a process for a planned stop (SIGTERM) without waiting for its end.
 */
int
mlk_deploy_stop(struct mlk_deploy *d, const char *name, struct mlk_error *err)
{
	return (send_signal(d, name, SIGTERM, true, err));
}

int
mlk_deploy_pause(struct mlk_deploy *d, const char *name, struct mlk_error *err)
{
	return (send_signal(d, name, SIGSTOP, false, err));
}

int
mlk_deploy_resume(struct mlk_deploy *d, const char *name, struct mlk_error *err)
{
	return (send_signal(d, name, SIGCONT, false, err));
}

/*
 * Restarts a process, with a planned stop if it runs.  mlk_deploy_poll() starts
 * it when it has ended.
 */
int
mlk_deploy_restart(
    struct mlk_deploy *d, const char *name, struct mlk_error *err)
{
	struct mlk_deploy_process *p;

	if (find_process(d, name, &p, err) != 0)
		return (MLK_ERR_NOT_FOUND);
	p->restart_pending = true;
	return (mlk_deploy_stop(d, name, err));
}

/*
 * Waits for the end of a process that was killed or asked to stop.  Returns 0,
 * MLK_ERR_NOT_FOUND, or MLK_ERR_TIMEOUT when the process still runs.
 */
int
mlk_deploy_wait_ended(struct mlk_deploy *d, const char *name,
    uint32_t timeout_ms, struct mlk_error *err)
{
	int64_t deadline =
	    g_get_monotonic_time() + (int64_t)timeout_ms * US_PER_MS;
	struct mlk_deploy_process *p;

	if (find_process(d, name, &p, err) != 0)
		return (MLK_ERR_NOT_FOUND);
	while (p->pid != 0 && !reap(p)) {
		if (g_get_monotonic_time() > deadline)
			return (mlk_error_set(err, MLK_ERR_TIMEOUT,
			    "%s still runs after %u ms", name, timeout_ms));
		(void)g_usleep(POLL_US);
	}
	return (0);
}

/*
 * Sends POST /control to a stand-in, with a body such as "mode=down".
 */
int
mlk_deploy_control(struct mlk_deploy *d, const char *name, const char *body,
    struct mlk_error *err)
{
	struct mlk_deploy_process *p;
	int status = 0;

	if (find_process(d, name, &p, err) != 0)
		return (MLK_ERR_NOT_FOUND);
	if (mlk_fetch("POST", p->http, "/control", body, CONTROL_TIMEOUT_S,
		&status, NULL, err) != 0)
		return (MLK_ERR_UNAVAILABLE);
	if (status < 200 || status > 299)
		return (mlk_error_set(err, MLK_ERR_INVALID,
		    "%s answered %d to control '%s'", name, status, body));
	return (0);
}

/*
 * Removes a directory of plain files.  All names are read first, because
 * readdir(3) may skip files when others are removed in between.
 */
static void
remove_dir(const char *path)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;
	guint i;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL)
		g_ptr_array_add(files, g_build_filename(path, name, NULL));
	if (dir != NULL)
		g_dir_close(dir);
	for (i = 0; i < files->len; i++)
		(void)g_unlink(files->pdata[i]);
	g_ptr_array_unref(files);
	(void)g_rmdir(path);
}

/*
 * Stops all processes of one role at the same time and kills those that do not
 * end in time.  Paused processes are resumed, because they would not handle
 * SIGTERM.
 */
static void
stop_role(struct mlk_deploy *d, enum mlk_deploy_role role)
{
	struct mlk_deploy_process *p;
	struct mlk_error err;
	uint32_t i;

	for (i = 0; i < d->processes->len; i++) {
		p = mlk_deploy_at(d, i);
		p->restart_pending = false;
		if (p->role != role)
			continue;
		(void)mlk_deploy_resume(d, p->name, &err);
		(void)mlk_deploy_stop(d, p->name, &err);
	}
	for (i = 0; i < d->processes->len; i++) {
		p = mlk_deploy_at(d, i);
		if (p->role != role ||
		    mlk_deploy_wait_ended(d, p->name, STOP_TIMEOUT_MS, &err) ==
			0)
			continue;
		(void)mlk_deploy_kill(d, p->name, &err);
		(void)mlk_deploy_wait_ended(d, p->name, STOP_TIMEOUT_MS, &err);
	}
}

/*
 * Stops all processes and removes the directory, unless options.keep is set.
 * NULL is allowed.
 */
void
mlk_deploy_destroy(struct mlk_deploy *d)
{
	if (d == NULL)
		return;
	stop_role(d, MLK_DEPLOY_ENTRY);
	stop_role(d, MLK_DEPLOY_AGENT);
	stop_role(d, MLK_DEPLOY_ENDPOINT);
	stop_role(d, MLK_DEPLOY_PLATFORM);
	if (d->dir != NULL && !d->options.keep)
		remove_dir(d->dir);
	g_ptr_array_unref(d->processes);
	g_free(d->dir);
	g_free(d->setpriv);
	g_free(d);
}
