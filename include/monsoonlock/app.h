/*
 * App library: code that the programs share: settings, command line, logging,
 * tokens and the metrics text.
 */
#ifndef MONSOONLOCK_APP_H
#define MONSOONLOCK_APP_H

#include <glib.h>

#include <monsoonlock/core.h>
#include <monsoonlock/dispatch.h>
#include <monsoonlock/net.h>

/* Exit statuses of the programs. */
#define MLK_EXIT_FAILURE 1
#define MLK_EXIT_SETTINGS 2 /* settings or command line not valid */

#define MLK_PATH_MAX 512 /* file names in settings; with NUL */

/* ---- tokens ----------------------------------------------------------- */

enum mlk_role {
	MLK_ROLE_NONE, /* missing or wrong token */
	MLK_ROLE_CALLER,
	MLK_ROLE_OPERATOR, /* includes the rights of a caller */
};

#define MLK_TOKEN_DIGEST_LEN 32 /* SHA-256 */

/* Only the digest is stored, so that the token cannot be logged. */
struct mlk_token {
	char name[MLK_NAME_MAX];
	enum mlk_role role;
	uint8_t digest[MLK_TOKEN_DIGEST_LEN];
};

struct mlk_tokens {
	uint32_t n;
	struct mlk_token *items;
};

void mlk_token_digest(const char *secret, uint8_t digest[MLK_TOKEN_DIGEST_LEN]);
enum mlk_role mlk_tokens_check(const struct mlk_tokens *tokens,
    const char *authorization, char name[MLK_NAME_MAX]);

/* ---- settings --------------------------------------------------------- */

/* Settings that monsoonlock-entry and monsoonlock-agent have in common. */
struct mlk_common_settings {
	enum mlk_log_level log_level;
	bool log_json;
	char http_listen[MLK_ADDR_MAX]; /* also serves /metrics */
	char table_address[MLK_ADDR_MAX];
};

struct mlk_entry_settings {
	struct mlk_common_settings common;
	char tls_cert[MLK_PATH_MAX]; /* both empty: plain HTTP */
	char tls_key[MLK_PATH_MAX];
	uint32_t http_max_connections;
	uint32_t http_body_max_bytes;
	char rpc_listen[MLK_ADDR_MAX];
	struct mlk_entry_options options;
	struct mlk_tokens tokens;
};

struct mlk_agent_settings {
	struct mlk_common_settings common;
	char endpoint_address[MLK_ADDR_MAX];
	struct mlk_agent_options options;
};

/*
 * Return 0 with *out owned by the caller, or MLK_ERR_SETTINGS with a message
 * that names the file, the key, the expected and the found value, and the line.
 */
int mlk_entry_settings_load(
    const char *path, struct mlk_entry_settings **out, struct mlk_error *err);
void mlk_entry_settings_free(struct mlk_entry_settings *settings);
int mlk_agent_settings_load(
    const char *path, struct mlk_agent_settings **out, struct mlk_error *err);
void mlk_agent_settings_free(struct mlk_agent_settings *settings);

/*
 * Settings that the programs of the dispatch library have in common:
 * monsoonlock-site-entry and monsoonlock-site-agent.
 */
struct mlk_site_settings {
	char id[MLK_NAME_MAX];
	char dc[MLK_NAME_MAX];
	enum mlk_log_level log_level;
	bool log_json;
	uint32_t log_lines_per_s;
	char store_address[MLK_ADDR_MAX];
	char metrics_listen[MLK_ADDR_MAX]; /* empty: not served */
	uint32_t grace_ms; /* from SIGTERM until the process is killed */
	uint32_t lease_ms; /* of runs at a worker */
	uint32_t resend_ms; /* minimum wait before callers resend a job */
	enum mlk_interference_mode interference;
	uint32_t nentries;
	char (*entries)[MLK_ADDR_MAX]; /* link addresses of the entries */
};

struct mlk_site_entry_settings {
	struct mlk_site_settings site;
	char callers_listen[MLK_ADDR_MAX];
	char readiness_listen[MLK_ADDR_MAX];
	char links_listen[MLK_ADDR_MAX];
	char links_advertise[MLK_ADDR_MAX]; /* address that others connect to */
	uint32_t max_connections;
	uint32_t max_jobs;
	int admission; /* enum mlk_admission_mode */
	uint32_t npairs; /* of routes, pinned as interfering */
	struct mlk_route_pair *pairs;
};

struct mlk_site_agent_settings {
	struct mlk_site_settings site;
	char worker_address[MLK_ADDR_MAX];
	char announcements_listen[MLK_ADDR_MAX];
	char pool[MLK_NAME_MAX]; /* of the worker; empty: any */
	uint32_t offer_ahead_ms;
};

int mlk_site_entry_settings_load(const char *path,
    struct mlk_site_entry_settings **out, struct mlk_error *err);
void mlk_site_entry_settings_free(struct mlk_site_entry_settings *settings);
int mlk_site_agent_settings_load(const char *path,
    struct mlk_site_agent_settings **out, struct mlk_error *err);
void mlk_site_agent_settings_free(struct mlk_site_agent_settings *settings);

/* ---- command line ----------------------------------------------------- */

struct mlk_args {
	char *config; /* owned; freed by mlk_args_clear() */
	bool check_settings;
};

/*
 * Parses --config, --check-settings, --version and --help.  Returns false
 * when the program must exit with *status.
 */
bool mlk_args_parse(const char *summary, int *argc, char ***argv,
    struct mlk_args *out, int *status);
void mlk_args_clear(struct mlk_args *args);

/* ---- logging ---------------------------------------------------------- */

/* Call at start.  Until then, notices and above go to stderr as text. */
void mlk_log_init(enum mlk_log_level level, bool json);
void mlk_log(enum mlk_log_level level, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void mlk_log_effect(const struct mlk_effect *fx); /* an MLK_FX_LOG */
void mlk_log_decision(const struct mlk_decision *decision);

/*
 * Writes log lines to fd instead of stderr, at most lines_per_s with bursts of
 * LOG_BURST_S seconds' worth.  Lines above this rate, and lines that fd cannot
 * accept without blocking, are dropped; the next line written has their number
 * in left_out.  lines_per_s 0: no limit, and a write may block.
 */
void mlk_log_output(int fd, uint32_t lines_per_s);

/* The fields of a line; empty ones are omitted. */
struct mlk_log_line {
	int64_t wall_ms; /* since 1970 */
	enum mlk_log_level level;
	const char *message;
	const char *request;
	const char *job;
	const char *submission;
	const char *worker;
	const char *epoch;
	const char *left_out; /* lines dropped just before this one */
};

/* Formats one line, without a newline.  The caller calls free() on it. */
char *mlk_log_format(bool json, const struct mlk_log_line *line);

/* ---- metrics text ----------------------------------------------------- */

#define MLK_METRICS_CONTENT_TYPE "text/plain; version=0.0.4"

void mlk_metrics_counter(
    GString *out, const char *name, const char *help, uint64_t value);
void mlk_metrics_gauge(
    GString *out, const char *name, const char *help, uint64_t value);
void mlk_metrics_entry(GString *out, const struct mlk_entry_counters *counters,
    const struct mlk_entry_gauges *gauges);
void mlk_metrics_agent(GString *out, const struct mlk_agent_counters *counters,
    const struct mlk_agent_gauges *gauges);
void mlk_metrics_dispatch(GString *out,
    const struct mlk_dispatch_counters *counters,
    const struct mlk_dispatch_gauges *gauges);
void mlk_metrics_labelled_head(
    GString *out, const char *name, const char *help);
void mlk_metrics_labelled(GString *out, const char *name, const char *label,
    const char *value, uint64_t number);
void mlk_metrics_runner(GString *out,
    const struct mlk_runner_counters *counters,
    const struct mlk_runner_gauges *gauges);
void mlk_metrics_links(GString *out, const struct mlk_link_counters *counters);

#endif
