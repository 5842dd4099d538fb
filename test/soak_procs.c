/*
 * Starts, stops and restarts the entry and agent processes of the soak, and
 * injects the faults.
 */
#include <sys/types.h>
#include <sys/wait.h>

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

#define GRACE_MS 3000 /* from SIGTERM to SIGKILL; also the setting grace_s */
#define HUP_BLOCKED_MS 10000 /* after its start a program blocks SIGHUP */
#define FAULT_GAP_MIN_MS 60U
#define FAULT_GAP_SPREAD_MS 600U /* random part */
#define RESTART_MIN_MS 200U
#define RESTART_SPREAD_MS 1200U /* random part */

static void
write_entries(struct soak *s, FILE *f)
{
	char addr[MLK_ADDR_MAX];
	uint32_t i;

	/* Together with links.port these are the addresses of the relay. */
	(void)fprintf(f, "entries: [");
	for (i = 0; i < s->options.entries; i++) {
		soak_entry_addr(s, i, SOAK_PORT_CONTROL, addr);
		(void)fprintf(f, "%s\"%s\"", i == 0 ? "" : ", ", addr);
	}
	(void)fprintf(f, "]\n");
}

static void
write_entry(struct soak *s, FILE *f, uint32_t i)
{
	char addr[MLK_ADDR_MAX], listen[MLK_ADDR_MAX];

	soak_entry_listen_addr(s, i, listen);
	soak_entry_addr(s, i, SOAK_PORT_LINKS, addr);
	(void)fprintf(f,
	    "links: {listen: \"%s\", advertise: \"%s\", port: %u}\n", listen,
	    addr, s->port + SOAK_PORT_LINKS);
	soak_entry_addr(s, i, SOAK_PORT_CALLERS, addr);
	(void)fprintf(f, "callers: {listen: \"%s\"}\n", addr);
	soak_entry_addr(s, i, SOAK_PORT_READY, addr);
	(void)fprintf(f, "readiness: {listen: \"%s\"}\n", addr);
	soak_entry_addr(s, i, SOAK_PORT_METRICS, addr);
	(void)fprintf(f, "metrics: {listen: \"%s\"}\n", addr);
	/* Half of the seeds. */
	if (s->options.seed % 2 == 0)
		(void)fprintf(f, "admission: {mode: shares}\n");
}

static void
write_agent(struct soak *s, FILE *f, const struct soak_proc *p)
{
	char addr[MLK_ADDR_MAX];

	(void)fprintf(f, "links: {port: %u}\n", s->port + SOAK_PORT_LINKS);
	(void)fprintf(
	    f, "worker: {address: \"%s\"}\n", soak_links_open_worker(s, p));
	soak_agent_addr(s, p->index, SOAK_PORT_CONTROL, addr);
	(void)fprintf(f, "announcements: {listen: \"%s\"}\n", addr);
	soak_agent_addr(s, p->index, SOAK_PORT_METRICS, addr);
	(void)fprintf(f, "metrics: {listen: \"%s\"}\n", addr);
}

static int
write_settings(struct soak *s, const struct soak_proc *p)
{
	char path[128];
	FILE *f;

	(void)snprintf(path, sizeof(path), "%s/%s.yaml", s->dir, p->id);
	f = fopen(path, "w");
	if (f == NULL)
		return (-1);
	(void)fprintf(
	    f, "id: %s\ndc: dc-%c\n", p->id, (char)('a' + p->index % SOAK_DCS));
	write_entries(s, f);
	if (p->entry)
		write_entry(s, f, p->index);
	else
		write_agent(s, f, p);
	(void)fprintf(f,
	    "store: {address: \"%s\"}\n"
	    "timing: {grace_s: %d, resend_ms: 1300}\n",
	    soak_links_open_store(s, p), GRACE_MS / 1000);
	return (fclose(f));
}

static void
exec_program(const struct soak *s, const struct soak_proc *p)
{
	const char *other = p->entry ? s->options.entry : s->options.agent;
	char program[256], settings[128], out[128];
	sigset_t none;
	int fd;

	(void)snprintf(program, sizeof(program), "%s/monsoonlock-site-%s",
	    s->options.programs, p->entry ? "entry" : "agent");
	if (other != NULL)
		(void)g_strlcpy(program, other, sizeof(program));
	(void)snprintf(settings, sizeof(settings), "%s/%s.yaml", s->dir, p->id);
	(void)snprintf(out, sizeof(out), "%s/%s.log", s->dir, p->id);
	(void)sigemptyset(&none);
	(void)sigprocmask(SIG_SETMASK, &none, NULL);
	fd = open(out, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (fd >= 0) {
		(void)dup2(fd, STDOUT_FILENO);
		(void)dup2(fd, STDERR_FILENO);
	}
	(void)close_range(3, ~0U, 0);
	(void)execl(program, program, "--config", settings, (char *)NULL);
	_exit(127);
}

static void
proc_start(struct soak *s, struct soak_proc *p)
{
	pid_t pid;

	p->start_at = 0;
	pid = fork();
	if (pid < 0) {
		soak_violation(s, "fork: %s", strerror(errno));
		return;
	}
	if (pid == 0)
		exec_program(s, p);
	p->pid = pid;
	p->boot++;
	p->started_at = s->now;
	p->hup_wanted = false;
	p->max_version_seen = 0;
	p->stopped = false;
	p->exit_expected = false;
	p->cont_at = 0;
	p->kill_at = 0;
}

/*
 * Writes the settings of all programs and starts them.  Returns 0 or -1.
 */
int
soak_procs_create(struct soak *s)
{
	struct soak_proc *p;
	uint32_t i;

	(void)snprintf(s->dir, sizeof(s->dir), "soak-%llu-XXXXXX",
	    (unsigned long long)s->options.seed);
	if (mkdtemp(s->dir) == NULL)
		return (-1);
	for (i = 0; i < s->options.entries + s->options.workers; i++) {
		p = &s->procs[s->nprocs++];
		p->entry = i < s->options.entries;
		p->index = p->entry ? i : i - s->options.entries;
		(void)snprintf(p->id, sizeof(p->id), "%s-%u",
		    p->entry ? "entry" : "agent", p->index);
		if (p->entry)
			soak_links_open_entry(s, p);
		if (write_settings(s, p) != 0)
			return (-1);
		proc_start(s, p);
	}
	return (0);
}

static void
reap(struct soak *s, struct soak_proc *p)
{
	int status;

	if (p->pid == 0 || waitpid(p->pid, &status, WNOHANG) != p->pid)
		return;
	if (!p->exit_expected)
		soak_violation(s, "ended: %s by itself, status %x", p->id,
		    (unsigned int)status);
	p->pid = 0;
	p->start_at =
	    s->now + RESTART_MIN_MS + soak_random(s, RESTART_SPREAD_MS);
}

/*
 * Tells whether a process blocks SIGHUP.  Until main() begins it cannot, so the
 * signal would end it.
 */
static bool
blocks_hup(pid_t pid)
{
	unsigned long long mask = 0;
	char path[48], line[128];
	FILE *f;

	(void)snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	if (f == NULL)
		return (false);
	while (fgets(line, sizeof(line), f) != NULL) {
		if (sscanf(line, "SigBlk: %llx", &mask) == 1)
			break;
	}
	(void)fclose(f);
	return ((mask >> (SIGHUP - 1) & 1) != 0);
}

/*
 * Sends a SIGHUP that is due as soon as the program can handle it.
 */
static void
send_hup(struct soak *s, struct soak_proc *p)
{
	if (!p->hup_wanted || p->pid == 0)
		return;
	if (blocks_hup(p->pid)) {
		p->hup_wanted = false;
		(void)kill(p->pid, SIGHUP);
	} else if (!p->stopped && !p->exit_expected &&
	    s->now - p->started_at >= HUP_BLOCKED_MS) {
		soak_violation(s, "signals: %s does not block SIGHUP", p->id);
	}
}

void
soak_procs_tick(struct soak *s)
{
	struct soak_proc *p;
	uint32_t i;

	for (i = 0; i < s->nprocs; i++) {
		p = &s->procs[i];
		reap(s, p);
		if (p->start_at != 0 && s->now >= p->start_at &&
		    !s->traffic_over)
			proc_start(s, p);
		send_hup(s, p);
		if (p->cont_at != 0 && s->now >= p->cont_at) {
			p->cont_at = 0;
			p->stopped = false;
			if (p->pid != 0)
				(void)kill(p->pid, SIGCONT);
		}
		if (p->kill_at != 0 && s->now >= p->kill_at) {
			p->kill_at = 0;
			if (p->pid != 0)
				(void)kill(p->pid, SIGKILL);
		}
	}
}

static void
proc_kill(struct soak_proc *p)
{
	if (p->pid == 0)
		return;
	p->exit_expected = true;
	(void)kill(p->pid, SIGKILL);
}

/*
 * Simulates a power loss of the machine: the peers get no FIN or RST of its
 * connections.
 */
static void
proc_power_loss(struct soak *s, struct soak_proc *p)
{
	soak_links_power_loss(s, p->id);
	proc_kill(p);
}

static void
proc_pause(struct soak *s, struct soak_proc *p)
{
	if (p->pid == 0 || p->stopped)
		return;
	p->stopped = true;
	p->cont_at = s->now + 50 + soak_random(s, 3000);
	(void)kill(p->pid, SIGSTOP);
}

static void
proc_stop(struct soak *s, struct soak_proc *p)
{
	if (p->pid == 0 || p->kill_at != 0)
		return;
	p->exit_expected = true;
	p->kill_at = s->now + GRACE_MS;
	(void)kill(p->pid, SIGTERM);
}

/*
 * Injects a fault into a worker.  It lasts until a later fault reverts it or
 * heal_workers() ends all.
 */
static void
inject_worker_fault(struct soak *s, struct soak_worker *w, uint32_t i)
{
	switch (soak_random(s, 13)) {
	case 0:
	case 1:
		soak_worker_start(s, i, soak_random(s, 2) == 0);
		break;
	case 2:
		w->unresponsive = !w->unresponsive;
		break;
	case 3:
		w->lost_answer_percent = soak_random(s, 30);
		break;
	case 4:
	case 5:
	case 6:
		w->late_start_percent = soak_random(s, 60);
		break;
	case 7:
		w->fake.speed = soak_random(s, 3) * 0.5;
		break;
	case 8:
		w->fake.fails = !w->fake.fails;
		break;
	case 9:
		soak_worker_leave(s, i);
		break;
	case 10:
	case 11:
	case 12:
		soak_links_inject_worker_fault(s, i);
		break;
	}
}

static void
inject_fault(struct soak *s)
{
	struct soak_proc *p = &s->procs[soak_random(s, s->nprocs)];
	uint32_t i = soak_random(s, s->options.workers);

	s->faults++;
	switch (soak_random(s, 18)) {
	case 0:
		proc_kill(p);
		break;
	case 1:
		proc_power_loss(s, p);
		break;
	case 2:
	case 3:
		proc_pause(s, p);
		break;
	case 4:
		proc_stop(s, p);
		break;
	case 5:
		p->hup_wanted = p->pid != 0;
		break;
	case 6:
		s->store_mode = (enum soak_store_mode)(
		    1 + soak_random(s, SOAK_STORE_MODES - 1));
		s->store_until = s->now + 200 + soak_random(s, 4000);
		break;
	case 7:
	case 8:
		s->routing_burst = 1 + soak_random(s, 8);
		s->next_routing_at = s->now;
		break;
	case 9:
	case 10:
	case 11:
	case 12:
		soak_links_inject_fault(s);
		break;
	default:
		inject_worker_fault(s, &s->workers[i], i);
		break;
	}
}

/*
 * Ends all faults of workers.
 */
static void
heal_workers(struct soak *s)
{
	struct soak_worker *w;
	uint32_t i;

	for (i = 0; i < s->options.workers; i++) {
		w = &s->workers[i];
		w->unresponsive = false;
		w->lost_answer_percent = 0;
		w->late_start_percent = 0;
		w->fake.speed = 1.0;
		w->fake.fails = false;
		if (w->draining)
			soak_worker_start(s, i, true);
	}
}

void
soak_faults_tick(struct soak *s)
{
	if (s->options.calm || soak_faults_over(s)) {
		heal_workers(s);
		soak_links_tick(s, true);
		return;
	}
	soak_links_tick(s, false);
	if (s->now < s->next_fault)
		return;
	inject_fault(s);
	s->next_fault =
	    s->now + FAULT_GAP_MIN_MS + soak_random(s, FAULT_GAP_SPREAD_MS);
}

/*
 * Kills the programs that are still running.
 */
void
soak_procs_end(struct soak *s)
{
	uint32_t i;

	for (i = 0; i < s->nprocs; i++) {
		if (s->procs[i].pid == 0)
			continue;
		(void)kill(s->procs[i].pid, SIGKILL);
		(void)waitpid(s->procs[i].pid, NULL, 0);
	}
}
