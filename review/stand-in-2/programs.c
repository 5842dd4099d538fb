/*
 * Starts and ends the project's programs: the entries, and an agent beside each
 * worker.  Each machine has a loopback address of its own.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "standin.h"

#define ENTRY "target/platform/monsoonlock-site-entry"
#define AGENT "target/platform/monsoonlock-site-agent"

int nentries = 1;
char entry_front[ENTRIES_MAX][ADDR_TEXT];
char entry_ready[ENTRIES_MAX][ADDR_TEXT];
char store_addr[ADDR_TEXT];
static char entry_links[ENTRIES_MAX][ADDR_TEXT];
static pid_t pids[ENTRIES_MAX + WORKERS_MAX];
static int npids;

/*
 * Finds a free port of a loopback address.
 */
static void
free_addr(const char *host, char out[ADDR_TEXT])
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	int fd;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0 || inet_pton(AF_INET, host, &sin.sin_addr) != 1 ||
	    bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		exit(2);
	(void)close(fd);
	(void)snprintf(out, ADDR_TEXT, "%s:%u", host, ntohs(sin.sin_port));
}

static void
program_start(const char *program, const char *dir, const char *name)
{
	char path[300], log[300];
	pid_t pid;
	int fd;

	(void)snprintf(path, sizeof(path), "%s/%s.yaml", dir, name);
	(void)snprintf(log, sizeof(log), "%s/%s.log", dir, name);
	pid = fork();
	if (pid < 0)
		exit(2);
	if (pid > 0) {
		pids[npids++] = pid;
		record("started %s, pid %d", name, (int)pid);
		return;
	}
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	(void)setenv("MONSOONLOCK_CONFIG", path, 1);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (fd >= 0) {
		(void)dup2(fd, STDOUT_FILENO);
		(void)dup2(fd, STDERR_FILENO);
	}
	(void)execl(program, program, "--config", path, (char *)NULL);
	_exit(127);
}

static FILE *
settings(const char *dir, const char *name, const char *zone)
{
	char path[300];
	FILE *f;
	int i;

	(void)snprintf(path, sizeof(path), "%s/%s.yaml", dir, name);
	f = fopen(path, "w");
	if (f == NULL)
		exit(2);
	(void)fprintf(f, "id: %s\ndc: %s\nentries: [", name, zone);
	for (i = 0; i < nentries; i++)
		(void)fprintf(
		    f, "%s\"%s\"", i == 0 ? "" : ", ", entry_links[i]);
	(void)fprintf(f,
	    "]\nstore: {address: \"%s\"}\n"
	    "timing: {grace_s: 6, lease_ms: 1000, resend_ms: 1300}\n",
	    store_addr);
	return (f);
}

static void
entry_start(const char *dir, int i)
{
	char addr[ADDR_TEXT], host[ADDR_TEXT], name[32];
	FILE *f;

	(void)snprintf(host, sizeof(host), "127.0.1.%d", i + 1);
	(void)snprintf(name, sizeof(name), "front-%d", i + 1);
	free_addr(host, entry_front[i]);
	free_addr(host, entry_ready[i]);
	free_addr(host, addr);
	f = settings(dir, name, "zone-a");
	(void)fprintf(f,
	    "links: {listen: \"%s\"}\ncallers: {listen: \"%s\"}\n"
	    "readiness: {listen: \"%s\"}\nmetrics: {listen: \"%s\"}\n",
	    entry_links[i], entry_front[i], entry_ready[i], addr);
	(void)fclose(f);
	program_start(ENTRY, dir, name);
}

void
programs_start(const char *dir)
{
	char addr[ADDR_TEXT], host[ADDR_TEXT], name[32];
	FILE *f;
	int i;

	free_addr("127.0.0.1", store_addr);
	if (!http_listen(store_addr, OWNER_STORE))
		exit(2);
	for (i = 0; i < nentries; i++) {
		(void)snprintf(host, sizeof(host), "127.0.1.%d", i + 1);
		free_addr(host, entry_links[i]);
	}
	for (i = 0; i < nentries; i++)
		entry_start(dir, i);
	for (i = 0; i < nworkers; i++) {
		(void)snprintf(host, sizeof(host), "127.0.2.%d", i + 1);
		(void)snprintf(name, sizeof(name), "side-%d", i + 1);
		free_addr(host, workers[i].addr);
		free_addr(host, workers[i].control);
		free_addr(host, addr);
		f = settings(dir, name, "zone-a");
		(void)fprintf(f,
		    "worker: {address: \"%s\", pool: svc-a}\n"
		    "announcements: {listen: \"%s\"}\n"
		    "metrics: {listen: \"%s\"}\n",
		    workers[i].addr, workers[i].control, addr);
		(void)fclose(f);
		program_start(AGENT, dir, name);
	}
}

/*
 * Returns how many programs have ended by themselves.
 */
int
programs_ended(void)
{
	int i, n = 0;

	for (i = 0; i < npids; i++) {
		if (waitpid(pids[i], NULL, WNOHANG) != 0)
			n++;
	}
	return (n);
}

void
programs_end(void)
{
	int i;

	for (i = 0; i < npids; i++)
		(void)kill(pids[i], SIGKILL);
	for (i = 0; i < npids; i++)
		(void)waitpid(pids[i], NULL, 0);
}
