/*
 * Tests that the programs are not ended by signals that arrive while they
 * start: SIGHUP and SIGTERM wait for the event loop.  The settings are a FIFO,
 * so that a program stops before it has read them.
 */
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>

#include <monsoonlock/app.h>

extern char **environ;

struct starting {
	char dir[32];
	char path[48]; /* of the settings */
	pid_t pid;
	int settings; /* write end of the FIFO */
};

/*
 * Starts a program and returns once it has opened its settings.
 */
static void
start(struct starting *s, const char *program)
{
	char *argv[] = { (char *)(uintptr_t)program,
		(char *)(uintptr_t) "--config", s->path, NULL };

	(void)snprintf(s->dir, sizeof(s->dir), "/tmp/mlk-signals-XXXXXX");
	assert_non_null(mkdtemp(s->dir));
	(void)snprintf(s->path, sizeof(s->path), "%s/settings", s->dir);
	assert_int_equal(mkfifo(s->path, 0600), 0);
	assert_int_equal(
	    posix_spawn(&s->pid, program, NULL, NULL, argv, environ), 0);
	s->settings = open(s->path, O_WRONLY | O_CLOEXEC);
	assert_true(s->settings >= 0);
}

/*
 * Ends the settings, which are not valid, and returns the wait status of the
 * program.
 */
static int
finish(struct starting *s)
{
	int status = -1;

	(void)close(s->settings);
	assert_int_equal(waitpid(s->pid, &status, 0), s->pid);
	(void)unlink(s->path);
	(void)rmdir(s->dir);
	return (status);
}

static void
check_signal(const char *program, int number)
{
	struct starting s;
	int status;

	start(&s, program);
	assert_int_equal(kill(s.pid, number), 0);
	status = finish(&s);
	if (WIFSIGNALED(status))
		fail_msg(
		    "%s was ended by signal %d", program, WTERMSIG(status));
	assert_true(WIFEXITED(status));
	assert_int_equal(WEXITSTATUS(status), MLK_EXIT_SETTINGS);
}

/*
 * Guards against programs that a change of the settings file ends while they
 * start.
 */
static void
test_reload_while_starting(void **state)
{
	(void)state;
	check_signal(MLK_SITE_ENTRY, SIGHUP);
	check_signal(MLK_SITE_AGENT, SIGHUP);
	check_signal(MLK_ENTRY, SIGHUP);
	check_signal(MLK_AGENT, SIGHUP);
}

/* Guards against a planned stop that counts as a crash, at the same time. */
static void
test_stop_while_starting(void **state)
{
	(void)state;
	check_signal(MLK_SITE_ENTRY, SIGTERM);
	check_signal(MLK_SITE_AGENT, SIGTERM);
	check_signal(MLK_ENTRY, SIGTERM);
	check_signal(MLK_AGENT, SIGTERM);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reload_while_starting),
		cmocka_unit_test(test_stop_while_starting),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
