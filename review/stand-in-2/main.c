/*
 * Runs one case: standin CASE FOLDER RECORD.  Exits with 1 if a rule was
 * broken, 0 if it held, and 2 if the case could not run.  With TROUBLE=0 in
 * the environment it does the same without the disruption.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

#define READY_WITHIN_MS 15000
#define CUT_MS 5500
/*
 * When TCP repeats a packet for the first time after a cut of CUT_MS that began
 * as it was sent: 0.2 s, doubled five times.
 */
#define REPEATED_MS 6200

static bool ready[ENTRIES_MAX], ready_asked[ENTRIES_MAX];

bool
trouble(void)
{
	const char *text = getenv("TROUBLE");

	return (text == NULL || strcmp(text, "0") != 0);
}

/*
 * Handles a request to the store or to a worker.
 */
void
on_request(const struct request *request)
{
	if (request->owner == OWNER_STORE)
		store_request(request);
	else if (request->owner >= OWNER_WORKER)
		worker_request(request->owner - OWNER_WORKER, request);
}

static void
tick(void)
{
	http_poll(2);
	store_tick();
	workers_tick();
	jobs_tick();
}

void
run_until(int64_t at)
{
	while (now_ms() < at)
		tick();
}

static void
on_ready(void *arg, const struct answer *answer)
{
	bool *asked = arg;

	*asked = false;
	ready[asked - ready_asked] = answer->status == 200;
}

static bool
all_ready(void)
{
	int i;

	for (i = 0; i < nentries; i++) {
		if (!ready[i])
			return (false);
	}
	return (true);
}

/*
 * Waits until the entries say that they are ready, as the platform does.
 */
static void
wait_ready(void)
{
	int64_t until = now_ms() + READY_WITHIN_MS, next = 0;
	int i;

	while (!all_ready() && now_ms() < until) {
		tick();
		if (now_ms() < next)
			continue;
		next = now_ms() + 200;
		for (i = 0; i < nentries; i++) {
			if (ready_asked[i])
				continue;
			ready_asked[i] = true;
			(void)http_call(entry_ready[i], OWNER_CLIENT, "GET",
			    "/-/ready", "", NULL, 1000, on_ready,
			    &ready_asked[i]);
		}
	}
	if (!all_ready()) {
		record("the entries are not ready");
		programs_end();
		exit(2);
	}
	run_until(now_ms() + 2000);
}

/*
 * Starts `n` workers and the programs, and waits until they serve.
 */
static void
world(const char *dir, int n, int timeout_ms)
{
	char id[32];
	int i;

	nworkers = n;
	store_manifest(7, timeout_ms, false);
	programs_start(dir);
	for (i = 0; i < n; i++) {
		(void)snprintf(id, sizeof(id), "i-%d", i);
		worker_start(i, id);
	}
	wait_ready();
}

static struct job *
started_job(int work_ms, int deadline_ms)
{
	struct job *job = job_submit(1, work_ms, 6200, deadline_ms);
	int64_t until = now_ms() + 3000;

	while (job->starts == 0 && now_ms() < until)
		tick();
	if (job->starts == 0) {
		record("the task was not started");
		programs_end();
		exit(2);
	}
	return (job);
}

static void
wait_jobs(int64_t until)
{
	while (!jobs_over() && now_ms() < until)
		tick();
}

static void
left(void *arg, const struct answer *answer)
{
	bool *acked = arg;

	*acked = answer->status >= 200 && answer->status <= 299;
	record("the notice to leave is answered %d", answer->status);
}

static void
left_lost(void *arg, const struct answer *answer)
{
	(void)arg;
	record("the answer %d to the notice to leave is lost", answer->status);
}

/*
 * A worker drains and leaves with a task at work.  The answer to its notice is
 * lost, so it ends some seconds later.
 */
static void
case_leave_unanswered(const char *dir)
{
	bool acked = false;
	struct job *job;
	int i;

	nentries = 2;
	world(dir, 8, 8000);
	job = started_job(4000, 8000);
	i = job->tasks[0].worker;
	run_until(now_ms() + 200);
	worker_drain(i);
	while (!workers[i].drain_acked)
		tick();
	run_until(workers[i].drain_acked_at + 2200);
	if (trouble()) {
		worker_leave(i, left_lost, NULL);
		run_until(now_ms() + 2000);
		worker_end(i, "some seconds after a notice without an answer");
	} else {
		worker_leave(i, left, &acked);
		while (!acked)
			tick();
		worker_end(i, "its notice is acknowledged");
	}
	wait_jobs(now_ms() + 12000);
}

/*
 * Hands in jobs of four tasks of about 0.76 s, twelve a second, until a time.
 */
static void
traffic_until(int64_t at)
{
	int64_t next = now_ms();

	while (now_ms() < at) {
		if (now_ms() >= next) {
			(void)job_submit(4, 700 + rand() % 120, 6200, 1500);
			next += 83;
		}
		tick();
	}
}

/*
 * Worker 0 drains and says that it leaves while it is partitioned from control.
 * It ends without an answer, and starts again under its id.  The partition
 * heals: a new ping passes at once, and the notice with the next repetition of
 * its packet.
 */
static void
case_leave_late(const char *dir)
{
	int64_t cut_at, healed_at;
	bool acked = false;
	char id[32];

	world(dir, 5, 1500);
	(void)snprintf(id, sizeof(id), "%s", workers[0].id);
	worker_drain(0);
	while (!workers[0].drain_acked)
		tick();
	traffic_until(workers[0].drain_acked_at + 2200);
	cut_at = now_ms();
	healed_at = cut_at + CUT_MS;
	if (trouble()) {
		record("worker 0 is partitioned from control, and says that it "
		       "leaves");
		workers[0].ping_at = healed_at;
		traffic_until(cut_at + 2000);
	} else {
		worker_leave(0, left, &acked);
		while (!acked)
			tick();
	}
	worker_end(0, "it leaves");
	traffic_until(cut_at + 3000);
	worker_start(0, id);
	if (trouble())
		workers[0].ping_at = healed_at;
	traffic_until(healed_at);
	record("the partition has healed");
	traffic_until(cut_at + REPEATED_MS);
	if (trouble())
		worker_leave(0, left, &acked);
	traffic_until(cut_at + REPEATED_MS + 3000);
	wait_jobs(now_ms() + 6000);
}

/*
 * A client cancels a job whose task is at work.
 */
static void
case_cancel(const char *dir)
{
	struct job *job;

	world(dir, 1, 30000);
	job = started_job(8000, 20000);
	run_until(now_ms() + 500);
	if (trouble())
		job_cancel(job);
	wait_jobs(now_ms() + 15000);
}

/*
 * Constant traffic near the capacity of the workers, one of which crashes now
 * and then and starts again under its id.
 */
static void
case_crash(const char *dir)
{
	int64_t end, next, crash, up = 0;
	char id[32];
	int i, victim = 0;

	worker_cpu = 16000;
	for (i = 0; i < 7; i++)
		workers[i].answer_ms = 10;
	world(dir, 7, 1500);
	end = now_ms() + 70000;
	next = now_ms();
	crash = now_ms() + 3000;
	while (now_ms() < end) {
		while (now_ms() >= next) {
			(void)job_submit(1, 40 + rand() % 23, 6200, 1500);
			next += 4;
		}
		if (trouble() && up == 0 && now_ms() >= crash) {
			(void)snprintf(
			    id, sizeof(id), "%s", workers[victim].id);
			worker_end(victim, "it crashes");
			up = now_ms() + 600;
		} else if (up != 0 && now_ms() >= up) {
			worker_start(victim, id);
			up = 0;
			victim = (victim + 1) % 7;
			crash = now_ms() + 2500 + rand() % 300;
		}
		tick();
	}
	wait_jobs(now_ms() + 6000);
	for (i = 0; i < njobs; i++) {
		if (jobs[i].starts > 0 && jobs[i].over &&
		    jobs[i].rejected == jobs[i].attempts) {
			broken("REFUSED: job %s has %u starts, and all %u "
			       "attempts were answered 503",
			    jobs[i].id, jobs[i].starts, jobs[i].attempts);
		}
	}
}

/*
 * One of seven workers resets a share of its new connections.
 */
static void
case_reset(const char *dir)
{
	int64_t end, next;

	world(dir, 7, 4000);
	if (trouble())
		http_reset_percent[OWNER_WORKER] = 40;
	end = now_ms() + 60000;
	next = now_ms();
	while (now_ms() < end) {
		while (now_ms() >= next) {
			(void)job_submit(4, 200 + rand() % 600, 6200, 4000);
			next += 60;
		}
		tick();
	}
	wait_jobs(now_ms() + 6000);
	record("%u connections were reset", http_resets);
}

/*
 * The open channels to the store go silent for good.  A manifest with a new
 * queue follows one second later.
 */
static void
case_silent_store(const char *dir)
{
	int64_t silent_at, acked_at, at;
	struct job *job;
	int i, first;

	nentries = 3;
	world(dir, 2, 1500);
	store_manifest(8, 1500, false);
	run_until(now_ms() + 300);
	silent_at = now_ms();
	if (trouble()) {
		http_silence(OWNER_STORE);
		record("the open channels to the store go silent");
	}
	run_until(silent_at + 1000);
	store_manifest(9, 1500, true);
	acked_at = now_ms();
	for (at = silent_at + 3200; at < silent_at + 6000; at += 200) {
		run_until(at);
		first = njobs;
		for (i = 0; i < nentries; i++)
			(void)job_submit_at(i, "/n/");
		run_until(at + 100);
		for (i = first; i < njobs; i++) {
			job = &jobs[i];
			if (job->status == 404) {
				broken("CONFIG: entry %d answers 404 for a "
				       "queue whose manifest was acknowledged "
				       "%lld ms before the request",
				    job->entry,
				    (long long)(job->sent_at - acked_at));
			}
		}
	}
	wait_jobs(now_ms() + 5000);
}

static const struct {
	const char *name;
	void (*run)(const char *dir);
} cases[] = {
	{ "leave-unanswered", case_leave_unanswered },
	{ "leave-late", case_leave_late },
	{ "cancel", case_cancel },
	{ "crash", case_crash },
	{ "reset", case_reset },
	{ "silent-store", case_silent_store },
};

int
main(int argc, char **argv)
{
	size_t i;

	if (argc != 4)
		return (2);
	(void)signal(SIGPIPE, SIG_IGN);
	srand((unsigned int)getpid());
	record_open(argv[3]);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (strcmp(cases[i].name, argv[1]) != 0)
			continue;
		cases[i].run(argv[2]);
		if (programs_ended() > 0)
			record("a program has ended by itself");
		programs_end();
		record("%s",
		    nbroken > 0 ? "the rule was broken" : "the rule held");
		return (nbroken > 0 ? 1 : 0);
	}
	return (2);
}
