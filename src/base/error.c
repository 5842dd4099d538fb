/*
 * Error codes, and the error struct that callers pass to functions that fail.
 */
#include <stdarg.h>
#include <stdio.h>

#include <monsoonlock/base.h>

/*
 * Returns a constant text for an error code.
 */
const char *
mlk_strerror(int code)
{
	switch ((enum mlk_err_code)code) {
	case MLK_OK:
		return ("no error");
	case MLK_ERR_NOMEM:
		return ("out of memory or table space");
	case MLK_ERR_INVALID:
		return ("invalid input");
	case MLK_ERR_NOT_FOUND:
		return ("not found");
	case MLK_ERR_CONFLICT:
		return ("conflict");
	case MLK_ERR_UNAVAILABLE:
		return ("unavailable");
	case MLK_ERR_TIMEOUT:
		return ("timed out");
	case MLK_ERR_PROTOCOL:
		return ("protocol error");
	case MLK_ERR_IO:
		return ("input/output error");
	case MLK_ERR_SETTINGS:
		return ("invalid settings");
	case MLK_ERR_DENIED:
		return ("permission denied");
	}
	return ("unknown error");
}

/*
 * Fills *err, which may be NULL, and returns code so that a caller can
 * return it in the same statement.  A longer message is truncated.
 */
int
mlk_error_set(struct mlk_error *err, int code, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL)
		return (code);
	err->code = code;
	va_start(ap, fmt);
	(void)vsnprintf(err->msg, sizeof(err->msg), fmt, ap);
	va_end(ap);
	return (code);
}
