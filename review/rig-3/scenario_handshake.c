/*
 * TWICE: an entry is cut off from its clients while they open channels to it.
 * The answer to their opening packets still passes; what they send after it,
 * the requests and at last the ends of the streams, is held up until the cut is
 * over.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define SETTLED_MS 3000 /* after all entries are ready */
#define SEND_MS (SETTLED_MS + 500)
#define CUT_MS 2900
#define HEAL_MS (SEND_MS + CUT_MS)
#define DEADLINE_MS 1500U
#define AGAIN_MS (SEND_MS + (int64_t)DEADLINE_MS + RESEND_MS)
#define END_MS (HEAL_MS + 4000)
#define JOBS 2U
#define TASKS 4U
#define CPU 6200U
#define WORK_MS 760U
/*
 * TCP sends the end of a stream when the request before it is acknowledged: one
 * round trip after the request (client_ms of the site is 1.0 one way, 1.4 ms
 * more between zones).
 */
#define ROUND_TRIP_US 2000U

/*
 * Opens a channel to entry 0 and sends the request of a job.  Returns the
 * socket, or -1.
 */
static int
send_held(struct rig *r, struct job *job)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	char text[1024], *body = client_body(job);
	int fd;

	addr.sin_port = htons(r->front);
	(void)inet_pton(AF_INET, "127.0.0.10", &addr.sin_addr);
	(void)snprintf(text, sizeof(text),
	    "POST %s%s HTTP/1.1\r\nHost: 127.0.0.10\r\n"
	    "Content-Type: application/json\r\nX-Deadline-Ms: %u\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    PREFIX, job->id, DEADLINE_MS, strlen(body), body);
	free(body);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0 ||
	    connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    send(fd, text, strlen(text), MSG_NOSIGNAL) != (ssize_t)strlen(text))
		r->failed = true;
	return (fd);
}

/*
 * The cut is over: what was held up reaches entry 0.
 */
static void
heal(struct rig *r)
{
	int fds[JOBS];
	uint32_t i;

	note(r, "the cut is over: %u requests reach entry 0", JOBS);
	for (i = 0; i < JOBS; i++)
		fds[i] = send_held(r, &r->jobs[i]);
	(void)usleep(ROUND_TRIP_US);
	for (i = 0; i < JOBS; i++)
		(void)close(fds[i]);
	note(r, "the ends of their streams have reached it");
}

static bool
tick(struct rig *r, int64_t at)
{
	struct job *job;
	uint32_t i;

	if (r->step == 0 && at >= SEND_MS) {
		r->step++;
		if (r->trouble != 0)
			note(r, "entry 0 is cut off from its clients");
		for (i = 0; i < JOBS; i++) {
			job = client_job(r, TASKS, CPU, WORK_MS, DEADLINE_MS);
			if (r->trouble == 0)
				client_send(r, job, 0);
			else
				note(r, "client: POST %s to entry 0, held up",
				    job->id);
		}
	}
	if (r->step == 1 && at >= SEND_MS + (int64_t)DEADLINE_MS) {
		r->step++;
		if (r->trouble != 0)
			note(r, "the clients close their channels");
	}
	if (r->step == 2 && at >= AGAIN_MS) {
		r->step++;
		for (i = 0; r->trouble != 0 && i < JOBS; i++)
			client_send(r, &r->jobs[i], 1 + i % (r->nentries - 1));
	}
	if (r->step == 3 && at >= HEAL_MS) {
		r->step++;
		if (r->trouble != 0)
			heal(r);
	}
	return (at < END_MS);
}

static void
started(struct rig *r, struct worker *w, const struct run *run)
{
	uint32_t n = runs_of(r, run->task);

	if (n > 1) {
		breach(r,
		    "TWICE: worker %u begins run %u of task %s, which now has "
		    "%u runs at work",
		    w->index, run->run, run->task, n);
	}
}

const struct scenario scenario_handshake = {
	.name = "handshake",
	.entries = 3,
	.workers = 4,
	.cpu = { 64000, 64000, 64000, 64000 },
	.tick = tick,
	.started = started,
};
