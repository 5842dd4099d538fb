/*
 * The record of a case: what was sent, answered and run.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin.h"

uint32_t nbroken;
static FILE *out;
static int64_t opened;

void
record_open(const char *path)
{
	out = fopen(path, "w");
	if (out == NULL)
		abort();
	opened = now_ms();
}

static void
line(const char *prefix, const char *fmt, va_list ap)
{
	if (out == NULL)
		return;
	(void)fprintf(
	    out, "%8.3f %s", (double)(now_ms() - opened) / 1000.0, prefix);
	(void)vfprintf(out, fmt, ap);
	(void)fputc('\n', out);
	(void)fflush(out);
}

void
record(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	line("", fmt, ap);
	va_end(ap);
}

/*
 * Records that a rule was broken.
 */
void
broken(const char *fmt, ...)
{
	va_list ap;

	nbroken++;
	va_start(ap, fmt);
	line("BROKEN: ", fmt, ap);
	va_end(ap);
}
