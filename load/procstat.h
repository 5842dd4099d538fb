/*
 * CPU time and resident memory of child processes, from /proc/PID/stat.
 */
#ifndef MLK_LOAD_PROCSTAT_H
#define MLK_LOAD_PROCSTAT_H

#include <sys/types.h>

#include <monsoonlock/base.h>

struct mlk_procstat {
	double cpu_s; /* user and system */
	uint64_t rss_bytes;
};

int mlk_procstat_read(pid_t pid, struct mlk_procstat *out);
int mlk_procstat_parse(const char *line, struct mlk_procstat *out);

#endif
