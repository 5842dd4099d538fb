/*
 * Fault: a client sends a POST on its channel before the answer to its GET has
 * arrived (HTTP/1.1 pipelining).  With --trouble 0 it waits for the answer.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define SETTLED_MS 3000 /* after all entries are ready */
#define SEND_MS (SETTLED_MS + 1000)
#define CHECK_MS (SEND_MS + 2000) /* the entry has to answer again */
#define END_MS (CHECK_MS + 8000)
#define EVERY_MS 250 /* between the jobs of other clients */
#define WORK_MS 100U
#define DEADLINE_MS 1500U
#define CORE_SHARE 0.8

struct channel {
	int fd;
	char text[2][1024]; /* the requests */
	uint32_t sent; /* requests */
	uint32_t answers;
	char got[4096];
	size_t len;
};

static struct channel channel = { .fd = -1 };
static int64_t next_job;
static double cpu_before;

/*
 * Returns the processor time of a process in s.
 */
static double
cpu_of(pid_t pid)
{
	unsigned long user = 0, kernel = 0;
	char path[64];
	FILE *f;

	(void)snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	if (f == NULL)
		return (0);
	if (fscanf(f,
		"%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		&user, &kernel) != 2)
		user = kernel = 0;
	(void)fclose(f);
	return ((double)(user + kernel) / (double)sysconf(_SC_CLK_TCK));
}

static void
channel_open(struct rig *r)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct job *job = client_job(r, 2, 500, WORK_MS, DEADLINE_MS);
	char *body = client_body(job);

	addr.sin_port = htons(r->front);
	(void)inet_pton(AF_INET, "127.0.0.10", &addr.sin_addr);
	channel.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (channel.fd < 0 ||
	    connect(channel.fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		r->failed = true;
	(void)fcntl(channel.fd, F_SETFL, O_NONBLOCK);
	(void)snprintf(channel.text[0], sizeof(channel.text[0]),
	    "GET %s%s HTTP/1.1\r\nHost: 127.0.0.10\r\n\r\n", PREFIX, job->id);
	(void)snprintf(channel.text[1], sizeof(channel.text[1]),
	    "POST %s%s HTTP/1.1\r\nHost: 127.0.0.10\r\n"
	    "Content-Type: application/json\r\nX-Deadline-Ms: %u\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    PREFIX, job->id, DEADLINE_MS, strlen(body), body);
	free(body);
}

/*
 * Sends the next n requests in one piece.
 */
static void
channel_send(struct rig *r, uint32_t n)
{
	char text[2 * sizeof(channel.text[0])] = "";

	while (n-- > 0) {
		note(r, "channel: sends %.40s", channel.text[channel.sent]);
		(void)g_strlcat(
		    text, channel.text[channel.sent++], sizeof(text));
	}
	if (send(channel.fd, text, strlen(text), MSG_NOSIGNAL) !=
	    (ssize_t)strlen(text))
		r->failed = true;
}

static void
channel_read(struct rig *r)
{
	const char *at;
	ssize_t n;

	n = recv(channel.fd, channel.got + channel.len,
	    sizeof(channel.got) - 1 - channel.len, 0);
	if (n <= 0)
		return;
	channel.len += (size_t)n;
	channel.got[channel.len] = '\0';
	channel.answers = 0;
	for (at = channel.got; (at = strstr(at, "HTTP/1.1 ")) != NULL; at += 9)
		channel.answers++;
	note(r, "channel: %u answers so far", channel.answers);
}

/*
 * Returns how many jobs sent to entry 0 since a time were answered.
 */
static void
count(const struct rig *r, uint32_t *asked, uint32_t *answered)
{
	uint32_t i;

	*asked = *answered = 0;
	for (i = 0; i < r->njobs; i++) {
		if (r->jobs[i].entry != 0 || r->jobs[i].attempts == 0 ||
		    r->jobs[i].sent_at < r->ready_at + CHECK_MS)
			continue;
		(*asked)++;
		*answered += r->jobs[i].status != 0;
	}
}

static void
judge(struct rig *r)
{
	double used = cpu_of(r->procs[0].pid) - cpu_before;
	uint32_t asked, answered;

	count(r, &asked, &answered);
	note(r, "entry 0 answered %u of %u jobs, and used %.2f s of processor",
	    answered, asked, used);
	if (answered == 0 && asked > 0 &&
	    used > CORE_SHARE * (END_MS - CHECK_MS) / 1000) {
		breach(r,
		    "Fault: entry 0 doesn't hand back the processor, and "
		    "answers no client");
	}
}

static bool
tick(struct rig *r, int64_t at)
{
	if (at >= SETTLED_MS && at >= next_job &&
	    at < END_MS - (int64_t)DEADLINE_MS) {
		next_job = at + EVERY_MS;
		client_send(r, client_job(r, 2, 500, WORK_MS, DEADLINE_MS),
		    r->njobs % 2);
	}
	if (r->step == 0 && at >= SEND_MS) {
		r->step++;
		channel_open(r);
		channel_send(r, r->trouble != 0 ? 2 : 1);
	}
	if (channel.fd >= 0)
		channel_read(r);
	if (r->step == 1 && channel.sent == 1 && channel.answers == 1)
		channel_send(r, 1);
	if (r->step == 1 && at >= CHECK_MS) {
		r->step++;
		cpu_before = cpu_of(r->procs[0].pid);
	}
	if (at < END_MS)
		return (true);
	judge(r);
	return (false);
}

static void
started(struct rig *r, struct worker *w, const struct run *run)
{
	(void)r;
	(void)w;
	(void)run;
}

const struct scenario scenario_channel = {
	.name = "channel",
	.entries = 2,
	.workers = 2,
	.cpu = { 64000, 64000 },
	.tick = tick,
	.started = started,
};
