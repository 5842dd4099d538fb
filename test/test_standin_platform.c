/*
 * Tests of standin-platform as a process.  Tests of its clients rely on the
 * faults that it injects on request, so each must happen as requested.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>

#include <cmocka.h>

#include <monsoonlock/base.h>

#define ANSWER_MAX 4096
#define WRITE_LIMIT 10 /* transactions/s, or rows/s with limit=rows */
#define XSTR(n) STR(n)
#define STR(n) #n
#define RECEIVE_TIMEOUT_MS 500 /* above the 200 ms of the slow mode */
#define START_TRIES 100
#define START_PAUSE_US 50000
#define WRITE_A                                                         \
	"{\"conditions\":[],\"writes\":[{\"key\":\"a\",\"value\":{}}]," \
	"\"reads\":[\"a\"]}"
#define READ_A "{\"conditions\":[],\"writes\":[],\"reads\":[\"a\"]}"

static pid_t child;
static struct sockaddr_in address;

/*
 * Returns a socket connected to the process, or -1.
 */
static int
dial(void)
{
	const struct timeval limit = { .tv_usec = RECEIVE_TIMEOUT_MS * 1000 };
	int fd;

	fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_true(fd >= 0);
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return (fd);
	(void)close(fd);
	return (-1);
}

/*
 * Sends one request and returns the status, or 0 when no answer came in time.
 * Stores the answer, including its header, in out, which has ANSWER_MAX bytes.
 */
static int
request(const char *method, const char *path, const char *body, char *out)
{
	char head[512];
	size_t len = 0;
	ssize_t n;
	int fd, status = 0;

	fd = dial();
	assert_true(fd >= 0);
	(void)snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: t\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    method, path, strlen(body), body);
	assert_int_equal(send(fd, head, strlen(head), 0), strlen(head));
	while ((n = recv(fd, out + len, ANSWER_MAX - 1 - len, 0)) > 0)
		len += (size_t)n;
	(void)close(fd);
	out[len] = '\0';
	(void)sscanf(out, "HTTP/1.%*c %d", &status);
	return (status);
}

/*
 * Starts the process on a free port and waits until it accepts connections.
 */
static int
start(void **state)
{
	socklen_t len = sizeof(address);
	char listen[32];
	int fd, i;

	(void)state;
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = 0;
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		return (-1);
	(void)close(fd);
	(void)snprintf(listen, sizeof(listen), "127.0.0.1:%d",
	    (int)ntohs(address.sin_port));
	child = fork();
	if (child == 0) {
		(void)execl(STANDIN_PLATFORM, STANDIN_PLATFORM, "--listen",
		    listen, "--write-limit", XSTR(WRITE_LIMIT), (char *)NULL);
		_exit(127);
	}
	for (i = 0; i < START_TRIES; i++) {
		fd = dial();
		if (fd >= 0)
			return (close(fd));
		(void)usleep(START_PAUSE_US);
	}
	return (-1);
}

static int
stop(void **state)
{
	int status;

	(void)state;
	(void)kill(child, SIGTERM);
	if (waitpid(child, &status, 0) != child)
		return (-1);
	return (WIFEXITED(status) ? WEXITSTATUS(status) : -1);
}

/*
 * Guards against an outage that cannot be started or ended: clients would be
 * tested without one, or every later step of a test would fail.
 */
static void
test_down_and_up(void **state)
{
	char out[ANSWER_MAX];

	(void)state;
	assert_int_equal(request("POST", "/v1/txn", READ_A, out), 200);
	assert_non_null(strstr(out, "\"version\":0"));
	assert_int_equal(request("POST", "/control", "mode=down", out), 200);
	assert_int_equal(request("POST", "/v1/txn", READ_A, out), 503);
	assert_int_equal(request("POST", "/control", "refuse=hang", out), 200);
	assert_int_equal(request("POST", "/v1/txn", READ_A, out), 0);
	assert_int_equal(request("POST", "/control", "mode=up", out), 200);
	assert_int_equal(request("POST", "/v1/txn", READ_A, out), 200);
	assert_int_equal(request("POST", "/control", "mode=odd", out), 400);
}

/*
 * Guards against a transaction that is not applied when its answer is lost:
 * clients are tested against lost answers to transactions that took effect.
 * With lose-writes, reads are still answered.
 */
static void
test_lose_answers(void **state)
{
	char out[ANSWER_MAX];

	(void)state;
	assert_int_equal(
	    request("POST", "/control", "mode=lose-answers", out), 200);
	assert_int_equal(request("POST", "/v1/txn", WRITE_A, out), 0);
	assert_int_equal(request("POST", "/control", "mode=up", out), 200);
	assert_int_equal(request("POST", "/v1/txn", READ_A, out), 200);
	assert_non_null(strstr(out, "\"version\":1"));
	assert_int_equal(request("GET", "/stats", "", out), 200);
	assert_non_null(strstr(out, "\"lost\":1"));
	assert_int_equal(
	    request("POST", "/control", "mode=lose-writes", out), 200);
	assert_int_equal(request("POST", "/v1/txn", READ_A, out), 200);
	assert_int_equal(request("POST", "/control", "mode=up", out), 200);
}

/*
 * Guards against slow mode answering without the delay, so that the timeouts
 * of clients would not be tested.
 */
static void
test_slow(void **state)
{
	char out[ANSWER_MAX];
	int64_t before;

	(void)state;
	assert_int_equal(
	    request("POST", "/control", "mode=slow&slow_ms=200", out), 200);
	before = mlk_clock_now(mlk_clock_system());
	assert_int_equal(request("POST", "/v1/txn", READ_A, out), 200);
	assert_true(mlk_clock_now(mlk_clock_system()) - before >=
	    200 * MLK_NSEC_PER_MSEC);
}

/*
 * Guards against a write limit that is not enforced, or that also rejects
 * reads: clients would be tested without the platform's limit.
 */
static void
test_write_limit(void **state)
{
	char out[ANSWER_MAX];
	int i, refused = 0;

	(void)state;
	for (i = 0; i < 40; i++)
		refused +=
		    request("POST", "/v1/txn", WRITE_A, out) == 503 ? 1 : 0;
	assert_true(refused > 0);
	assert_int_equal(request("POST", "/v1/txn", READ_A, out), 200);
}

/*
 * Guards against a write limit that counts transactions although limit=rows is
 * set: one transaction with more rows than the limit would be accepted.
 */
static void
test_row_limit(void **state)
{
	char body[1024] = "{\"conditions\":[],\"reads\":[],\"writes\":[";
	char out[ANSWER_MAX];
	size_t len = strlen(body);
	int i;

	(void)state;
	for (i = 0; i < WRITE_LIMIT + 1; i++)
		len += (size_t)snprintf(body + len, sizeof(body) - len,
		    "%s{\"key\":\"r%d\",\"value\":{}}", i == 0 ? "" : ",", i);
	(void)snprintf(body + len, sizeof(body) - len, "]}");
	assert_int_equal(request("POST", "/v1/txn", body, out), 200);
	assert_int_equal(request("POST", "/control", "limit=rows", out), 200);
	assert_int_equal(request("POST", "/v1/txn", body, out), 503);
	assert_int_equal(request("POST", "/v1/txn", WRITE_A, out), 200);
	assert_int_equal(request("POST", "/control", "limit=odd", out), 400);
	assert_int_equal(
	    request("POST", "/control", "limit=transactions", out), 200);
	assert_int_equal(request("POST", "/v1/txn", body, out), 200);
}

/*
 * Guards against an object that is lost after a PUT or remains after a DELETE.
 */
static void
test_objects(void **state)
{
	char out[ANSWER_MAX];

	(void)state;
	assert_int_equal(request("GET", "/v1/objects/k", "", out), 404);
	assert_int_equal(request("PUT", "/v1/objects/k", "map", out), 200);
	assert_int_equal(request("GET", "/v1/objects/k", "", out), 200);
	assert_non_null(strstr(out, "\r\n\r\nmap"));
	assert_int_equal(request("DELETE", "/v1/objects/k", "", out), 200);
	assert_int_equal(request("GET", "/v1/objects/k", "", out), 404);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_down_and_up, start, stop),
		cmocka_unit_test_setup_teardown(test_lose_answers, start, stop),
		cmocka_unit_test_setup_teardown(test_slow, start, stop),
		cmocka_unit_test_setup_teardown(test_write_limit, start, stop),
		cmocka_unit_test_setup_teardown(test_row_limit, start, stop),
		cmocka_unit_test_setup_teardown(test_objects, start, stop),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
