/*
 * Private header of monsoonctl: options, requests and output.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <monsoonlock/json.h>
#include <monsoonlock/net.h>

/* Exit codes. */
#define CTL_DONE 0
#define CTL_REFUSED 1 /* any HTTP status but 200, such as 409 */
#define CTL_USAGE 2
#define CTL_UNREACHABLE 3

/* Results of ctl_request() in place of an HTTP status. */
#define CTL_NO_ANSWER 0
#define CTL_INTERRUPTED (-1)

struct ctl {
	char **entries; /* "ip:port", tried in order; NULL-terminated */
	char *token_env;
	char *target;
	char *reason;
	int64_t expires_in; /* seconds; 0: never */
	int64_t base; /* confirm: base version */
	char *change; /* confirm: JSON from the plan's output */
	char *against; /* check: entry to compare with, or NULL */
	int json;
	int tls;
	char *tls_ca; /* PEM file of trusted certificates, or NULL */
	int yes;
	int watching; /* a timeout of a request is no error */
};

/*
 * Sends a request to each entry in turn until one answers.  Returns the HTTP
 * status with *answer owned by the caller (NULL when it is not JSON),
 * CTL_NO_ANSWER, or CTL_INTERRUPTED after SIGINT or SIGTERM.
 */
int ctl_request(const struct ctl *ctl, const char *method, const char *path,
    const json_t *body, uint32_t timeout_ms, json_t **answer);

/*
 * Checks a configuration file of the users' platform.  Returns the exit code: 0
 * nothing found, 1 warnings, 2 errors, 3 the entry to compare with did not
 * answer.
 */
int ctl_check(const struct ctl *ctl, const char *file);

void ctl_print_intents(const struct ctl *ctl, const json_t *answer);
void ctl_print_plan(const struct ctl *ctl, const json_t *plan);
void ctl_print_confirm(const struct ctl *ctl, const char *title,
    const char *digest, long long base, const json_t *change);
void ctl_print_audit(const struct ctl *ctl, const json_t *answer);
void ctl_print_status(const struct ctl *ctl, const json_t *answer);
void ctl_print_evacuations(const struct ctl *ctl, const json_t *answer);
void ctl_print_error(const struct ctl *ctl, const json_t *answer, int status);

#endif
