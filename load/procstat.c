/*
 * Reads /proc/PID/stat, as described in proc(5).
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "procstat.h"

#define LINE_MAX_LEN 1024

/*
 * Parses the text of /proc/PID/stat.  The command name may contain spaces and
 * parentheses, so fields are counted from the last ')'.  Returns 0 or
 * MLK_ERR_PROTOCOL.
 */
int
mlk_procstat_parse(const char *line, struct mlk_procstat *out)
{
	unsigned long long utime, stime;
	const char *p = strrchr(line, ')');
	long long rss;

	/* After the name: state is field 3, utime 14, stime 15, rss 24. */
	if (p == NULL ||
	    sscanf(p + 1,
		" %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %llu %llu"
		" %*d %*d %*d %*d %*d %*d %*u %*u %lld",
		&utime, &stime, &rss) != 3 ||
	    rss < 0)
		return (MLK_ERR_PROTOCOL);
	out->cpu_s = (double)(utime + stime) / (double)sysconf(_SC_CLK_TCK);
	out->rss_bytes = (uint64_t)rss * (uint64_t)sysconf(_SC_PAGESIZE);
	return (0);
}

/*
 * Reads the CPU time and memory of a process.  Returns 0, MLK_ERR_NOT_FOUND
 * when the process does not exist, or MLK_ERR_PROTOCOL.
 */
int
mlk_procstat_read(pid_t pid, struct mlk_procstat *out)
{
	char path[64], line[LINE_MAX_LEN];
	FILE *f;
	bool ok;

	(void)snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	if (f == NULL)
		return (MLK_ERR_NOT_FOUND);
	ok = fgets(line, sizeof(line), f) != NULL;
	(void)fclose(f);
	if (!ok)
		return (MLK_ERR_NOT_FOUND);
	return (mlk_procstat_parse(line, out));
}
