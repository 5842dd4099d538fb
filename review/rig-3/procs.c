/*
 * The project's programs, as processes with the commands of the deploy file
 * and settings as its templates give them.
 */
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define GRACE_S 6
#define PORT_MIN 12000U
#define PORTS 18000U

/*
 * Returns a port that is free on all loopback addresses, below those that the
 * kernel gives to outgoing channels; 0 when none is found.
 */
uint16_t
free_port(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	static uint16_t last;
	bool ok = false;
	uint32_t i;
	int fd;

	if (last == 0)
		last = (uint16_t)(PORT_MIN + (uint32_t)getpid() * 37 % PORTS);
	addr.sin_addr.s_addr = htonl(INADDR_ANY);
	for (i = 0; !ok && i < PORTS; i++) {
		last = (uint16_t)(PORT_MIN + (last + 1U - PORT_MIN) % PORTS);
		addr.sin_port = htons(last);
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		ok = fd >= 0 &&
		    bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;
		if (fd >= 0)
			(void)close(fd);
	}
	return (ok ? last : 0);
}

static void
write_common(struct rig *r, FILE *f, const char *id, uint32_t zone)
{
	uint32_t i;

	(void)fprintf(
	    f, "id: %s\ndc: zone-%c\nentries: [", id, (char)('a' + zone % 3));
	for (i = 0; i < r->nentries; i++)
		(void)fprintf(f, "%s\"127.0.0.%u:%u\"", i == 0 ? "" : ",",
		    10 + i, r->control);
	(void)fprintf(
	    f, "]\nstore:\n  address: \"127.0.0.1:%u\"\n", r->store_port);
	(void)fprintf(f,
	    "timing:\n  grace_s: %d\n  lease_ms: %d\n  resend_ms: %d\n",
	    GRACE_S, LEASE_MAX_MS, RESEND_MS);
}

static int
write_entry(struct rig *r, struct proc *p, uint32_t i)
{
	FILE *f = fopen(p->settings, "w");

	if (f == NULL)
		return (-1);
	write_common(r, f, p->name, i);
	(void)fprintf(f,
	    "links:\n  listen: \"127.0.0.%u:%u\"\n  port: %u\n"
	    "callers:\n  listen: \"127.0.0.%u:%u\"\n"
	    "admission:\n  mode: shares\n"
	    "readiness:\n  listen: \"127.0.0.%u:%u\"\n"
	    "metrics:\n  listen: \"127.0.0.%u:%u\"\n",
	    10 + i, r->links, r->links, 10 + i, r->front, 10 + i, r->ready,
	    10 + i, r->control);
	return (fclose(f));
}

static int
write_agent(struct rig *r, struct proc *p, uint32_t i)
{
	struct worker *w = &r->workers[i];
	FILE *f = fopen(p->settings, "w");

	if (f == NULL)
		return (-1);
	(void)snprintf(
	    w->control, sizeof(w->control), "127.0.0.1:%u", free_port());
	write_common(r, f, p->name, i);
	(void)fprintf(f,
	    "links:\n  port: %u\n"
	    "worker:\n  address: \"127.0.0.1:%u\"\n  pool: %s\n"
	    "offers:\n  ahead_ms: 8\n"
	    "announcements:\n  listen: \"%s\"\n"
	    "metrics:\n  listen: \"127.0.0.1:%u\"\n",
	    r->links, w->port, SERVICE, w->control, free_port());
	return (fclose(f));
}

static void
exec_program(const struct rig *r, const struct proc *p)
{
	char out[300];
	sigset_t none;
	int fd;

	/* The programs end with the rig, however it ends. */
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	(void)sigemptyset(&none);
	(void)sigprocmask(SIG_SETMASK, &none, NULL);
	(void)snprintf(out, sizeof(out), "%s/%s.log", r->dir, p->name);
	fd = open(out, O_WRONLY | O_CREAT | O_TRUNC, 0644);
	if (fd >= 0) {
		(void)dup2(fd, STDOUT_FILENO);
		(void)dup2(fd, STDERR_FILENO);
	}
	for (fd = 3; fd < 256; fd++)
		(void)close(fd);
	(void)execl(
	    p->program, p->program, "--config", p->settings, (char *)NULL);
	_exit(127);
}

static int
proc_start(struct rig *r, struct proc *p)
{
	p->pid = fork();
	if (p->pid == 0)
		exec_program(r, p);
	return (p->pid > 0 ? 0 : -1);
}

int
procs_start(struct rig *r)
{
	struct proc *p;
	uint32_t i;
	bool entry;

	r->front = free_port();
	r->ready = free_port();
	r->links = free_port();
	r->control = free_port();
	for (i = 0; i < r->nentries + r->nworkers; i++) {
		entry = i < r->nentries;
		p = &r->procs[r->nprocs++];
		(void)snprintf(p->name, sizeof(p->name), "%s-%u",
		    entry ? "front" : "side", entry ? i : i - r->nentries);
		(void)snprintf(p->program, sizeof(p->program),
		    "%s/monsoonlock-site-%s", r->programs,
		    entry ? "entry" : "agent");
		(void)g_strlcpy(p->settings, r->dir, sizeof(p->settings));
		(void)g_strlcat(p->settings, "/", sizeof(p->settings));
		(void)g_strlcat(p->settings, p->name, sizeof(p->settings));
		(void)g_strlcat(p->settings, ".yaml", sizeof(p->settings));
		if ((entry ? write_entry(r, p, i) :
			     write_agent(r, p, i - r->nentries)) != 0 ||
		    proc_start(r, p) != 0)
			return (-1);
	}
	return (0);
}

void
procs_signal(struct rig *r, uint32_t index, int signal)
{
	note(r, "signal %d to %s", signal, r->procs[index].name);
	(void)kill(r->procs[index].pid, signal);
}

/*
 * A program that ends by itself makes the case void.
 */
void
procs_check(struct rig *r)
{
	uint32_t i;

	for (i = 0; i < r->nprocs; i++) {
		if (r->procs[i].pid <= 0 ||
		    waitpid(r->procs[i].pid, NULL, WNOHANG) != r->procs[i].pid)
			continue;
		note(r, "%s has ended by itself", r->procs[i].name);
		r->procs[i].pid = 0;
		r->failed = true;
	}
}

void
procs_end(struct rig *r)
{
	uint32_t i;

	for (i = 0; i < r->nprocs; i++) {
		if (r->procs[i].pid <= 0)
			continue;
		(void)kill(r->procs[i].pid, SIGKILL);
		(void)waitpid(r->procs[i].pid, NULL, 0);
		r->procs[i].pid = 0;
	}
}
