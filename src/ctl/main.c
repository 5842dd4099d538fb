/*
 * monsoonctl: command line for operators.  A plan only shows the effects of a
 * change; the change is made by confirming the plan's digest with the same
 * change.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "ctl.h"

#define CALL_TIMEOUT_MS 10000
/* An entry answers a confirm within 10 s plus one call to the table service. */
#define CONFIRM_TIMEOUT_MS 15000
#define HTTP_UNAVAILABLE 503
#define TOKEN_MAX 256 /* characters, as in the settings of an entry */
#define WATCH_TIMEOUT_MS 60000
#define WATCH_PAUSE_US 1000000 /* after a request without a new version */
#define PATH_MAX_LEN 128

static int
usage(const char *text)
{
	(void)fprintf(stderr, "monsoonctl: %s; see --help\n", text);
	return (CTL_USAGE);
}

/*
 * Prints an answer or an error and returns the exit code.  Takes ownership of
 * answer.
 */
static int
finish_command(const struct ctl *ctl, int status, json_t *answer,
    void (*print)(const struct ctl *ctl, const json_t *answer))
{
	int code = CTL_DONE;

	if (status <= 0) {
		(void)fprintf(stderr, "monsoonctl: %s\n",
		    status == CTL_INTERRUPTED ? "interrupted" :
						"no entry answered");
		code = CTL_UNREACHABLE;
	} else if (status != 200) {
		code = CTL_REFUSED;
	}
	if (status > 0 && ctl->json && answer != NULL) {
		(void)json_dumpf(answer, stdout, JSON_INDENT(2));
		(void)printf("\n");
	} else if (code == CTL_DONE) {
		print(ctl, answer);
	} else if (code == CTL_REFUSED) {
		ctl_print_error(ctl, answer, status);
	}
	json_decref(answer);
	return (code);
}

/*
 * Requests a resource and prints it.  Returns the exit code.
 */
static int
show(const struct ctl *ctl, const char *path,
    void (*print)(const struct ctl *ctl, const json_t *answer))
{
	json_t *answer;
	int status;

	status = ctl_request(ctl, "GET", path, NULL, CALL_TIMEOUT_MS, &answer);
	return (finish_command(ctl, status, answer, print));
}

static void
print_confirmed(const struct ctl *ctl, const json_t *answer)
{
	(void)ctl;
	(void)printf("confirmed as version %lld\n",
	    (long long)json_integer_value(json_object_get(answer, "version")));
}

/*
 * Confirms a plan and returns the exit code.  Takes ownership of change.  If
 * the result is not known or the entry answers 503, prints the command line
 * that repeats the confirm.
 */
static int
confirm(const struct ctl *ctl, const char *digest, int64_t base, json_t *change)
{
	char path[PATH_MAX_LEN];
	struct mlk_key key;
	json_t *body, *answer;
	int code, status;

	if (!mlk_key_parse(digest, &key)) {
		json_decref(change);
		return (usage("DIGEST is 32 hexadecimal digits"));
	}
	body = json_pack(
	    "{sI so}", "base_version", (json_int_t)base, "change", change);
	(void)snprintf(path, sizeof(path), "/v1/plans/%s/confirm", digest);
	status =
	    ctl_request(ctl, "POST", path, body, CONFIRM_TIMEOUT_MS, &answer);
	if (status <= 0)
		(void)fprintf(stderr, "monsoonctl: the result is not known\n");
	code = finish_command(ctl, status, answer, print_confirmed);
	if (!ctl->json && (status <= 0 || status == HTTP_UNAVAILABLE))
		ctl_print_confirm(ctl, "to repeat the confirm:", digest, base,
		    json_object_get(body, "change"));
	json_decref(body);
	return (code);
}

/*
 * Requests a plan and, with --yes, confirms it.  Returns the exit code.  Takes
 * ownership of body.
 */
static int
request_plan(const struct ctl *ctl, json_t *body)
{
	json_t *answer;
	char digest[MLK_KEY_HEX_LEN + 1] = "";
	struct mlk_error err;
	json_t *change;
	int64_t base = -1;
	int code, status;

	status = ctl_request(
	    ctl, "POST", "/v1/plans", body, CALL_TIMEOUT_MS, &answer);
	json_decref(body);
	(void)mlk_json_get_text(answer, "digest", digest, sizeof(digest), &err);
	(void)mlk_json_get_int(
	    answer, "base_version", 0, INT64_MAX, &base, &err);
	change = json_incref(json_object_get(answer, "change"));
	code = finish_command(ctl, status, answer, ctl_print_plan);
	if (code == CTL_DONE && ctl->yes && base >= 0)
		return (confirm(ctl, digest, base, change));
	json_decref(change);
	return (code);
}

/*
 * Copies an argument of the command line; NULL leaves out unchanged.  An
 * argument that does not fit is an error: truncated, it could name something
 * else.
 */
static bool
copy_text(const char *text, const char *what, char *out, size_t size)
{
	if (text == NULL || g_strlcpy(out, text, size) < size)
		return (true);
	(void)fprintf(stderr, "monsoonctl: %s is longer than %zu characters\n",
	    what, size - 1);
	return (false);
}

static bool
has_value(enum mlk_intent_type type)
{
	return (type == MLK_INTENT_TEAM_QUOTA ||
	    type == MLK_INTENT_TEAM_WEIGHT || type == MLK_INTENT_KIND_URGENCY ||
	    type == MLK_INTENT_LONG_CAP);
}

/*
 * Copies the options of an intent into it.  Returns CTL_DONE or CTL_USAGE.
 */
static int
read_intent_options(const struct ctl *ctl, struct mlk_intent *in)
{
	if (!copy_text(
		ctl->target, "--target", in->target, sizeof(in->target)) ||
	    !copy_text(ctl->reason, "--reason", in->reason, sizeof(in->reason)))
		return (CTL_USAGE);
	if (ctl->expires_in < 0)
		return (usage("--expires is a number of seconds from now"));
	if (ctl->expires_in > 0)
		in->expires = (int64_t)time(NULL) + ctl->expires_in;
	return (CTL_DONE);
}

/*
 * Requests a plan that sets the intent "TYPE SUBJECT [VALUE]"; long_cap has no
 * subject: "long_cap VALUE".  The type decides whether VALUE is required: if a
 * missing value were read as 0, it would set a quota of zero.
 */
static int
plan_set(const struct ctl *ctl, int argc, char **argv)
{
	struct mlk_change change = { 0 };
	struct mlk_intent *in = &change.intent;
	gint64 value = 0;
	int next = 1;

	if (argc < 2 || !mlk_intent_type_parse(argv[0], &in->type))
		return (usage("plan needs a known TYPE and a SUBJECT"));
	if (in->type != MLK_INTENT_LONG_CAP &&
	    !copy_text(
		argv[next++], "SUBJECT", in->subject, sizeof(in->subject)))
		return (CTL_USAGE);
	if (argc != next + (has_value(in->type) ? 1 : 0)) {
		return (
		    usage(has_value(in->type) ? "this TYPE needs one VALUE" :
						"this TYPE has no VALUE"));
	}
	if (has_value(in->type) &&
	    !g_ascii_string_to_signed(
		argv[next], 10, INT32_MIN, INT32_MAX, &value, NULL))
		return (usage("VALUE is one integer"));
	in->value = (int32_t)value;
	if (read_intent_options(ctl, in) != CTL_DONE)
		return (CTL_USAGE);
	return (request_plan(
	    ctl, json_pack("{so}", "change", mlk_json_from_change(&change))));
}

/*
 * Handles "plan TYPE SUBJECT [VALUE]" and "plan remove ID".
 */
static int
plan(const struct ctl *ctl, int argc, char **argv)
{
	struct mlk_change change = { .remove = true };

	if (argc < 1 || strcmp(argv[0], "remove") != 0)
		return (plan_set(ctl, argc, argv));
	if (argc != 2)
		return (usage("plan remove needs one ID"));
	if (!copy_text(
		argv[1], "ID", change.intent.id, sizeof(change.intent.id)))
		return (CTL_USAGE);
	return (request_plan(
	    ctl, json_pack("{so}", "change", mlk_json_from_change(&change))));
}

/*
 * Handles "drain worker|dc NAME", short for "plan drain_worker|drain_dc NAME".
 */
static int
drain(const struct ctl *ctl, int argc, char **argv)
{
	char type[MLK_NAME_MAX];
	char *args[2];

	if (argc != 2 ||
	    (strcmp(argv[0], "worker") != 0 && strcmp(argv[0], "dc") != 0))
		return (usage("drain needs worker|dc and a NAME"));
	(void)snprintf(type, sizeof(type), "drain_%s", argv[0]);
	args[0] = type;
	args[1] = argv[1];
	return (plan_set(ctl, 2, args));
}

/*
 * Prints each new version of the configuration until a signal or an error
 * status.  An entry may also answer with an unchanged version; it is not
 * printed.  SIGINT and SIGTERM stay blocked between two requests, so that the
 * event loop of the next request receives them.
 */
static int
watch(struct ctl *ctl)
{
	char path[PATH_MAX_LEN];
	int64_t version = 0, new_version;
	struct mlk_error err;
	json_t *answer;
	sigset_t mask;
	int code, status;

	(void)sigemptyset(&mask);
	(void)sigaddset(&mask, SIGINT);
	(void)sigaddset(&mask, SIGTERM);
	(void)sigprocmask(SIG_BLOCK, &mask, NULL);
	ctl->watching = 1;
	for (;;) {
		(void)snprintf(
		    path, sizeof(path), "/v1/config?after=%" PRId64, version);
		status = ctl_request(
		    ctl, "GET", path, NULL, WATCH_TIMEOUT_MS, &answer);
		if (status == CTL_INTERRUPTED) {
			json_decref(answer);
			return (CTL_DONE);
		}
		new_version = version;
		(void)mlk_json_get_int(
		    answer, "version", 0, INT64_MAX, &new_version, &err);
		if (status == 0 || (status == 200 && new_version <= version)) {
			json_decref(answer);
			g_usleep(WATCH_PAUSE_US);
			continue;
		}
		code = finish_command(ctl, status, answer, ctl_print_intents);
		if (code != CTL_DONE)
			return (code);
		(void)fflush(stdout);
		version = new_version;
	}
}

static int
run_command(struct ctl *ctl, int argc, char **argv)
{
	const char *command = argv[0];
	json_t *change;

	if (strcmp(command, "plan") == 0)
		return (plan(ctl, argc - 1, argv + 1));
	if (strcmp(command, "drain") == 0)
		return (drain(ctl, argc - 1, argv + 1));
	if (strcmp(command, "confirm") == 0) {
		change = ctl->change == NULL ?
		    NULL :
		    json_loads(ctl->change, JSON_REJECT_DUPLICATES, NULL);
		if (argc != 2 || change == NULL || ctl->base < 0) {
			json_decref(change);
			return (usage("confirm needs DIGEST, --base and "
				      "--change, as the plan printed them"));
		}
		return (confirm(ctl, argv[1], ctl->base, change));
	}
	if (strcmp(command, "check") == 0) {
		if (argc != 2)
			return (usage("check needs one FILE"));
		return (ctl_check(ctl, argv[1]));
	}
	if (argc != 1)
		return (usage("too many arguments"));
	if (strcmp(command, "intents") == 0)
		return (show(ctl, "/v1/intents", ctl_print_intents));
	if (strcmp(command, "audit") == 0)
		return (show(ctl, "/v1/audit", ctl_print_audit));
	if (strcmp(command, "status") == 0)
		return (show(ctl, "/v1/status", ctl_print_status));
	if (strcmp(command, "evacuations") == 0)
		return (show(ctl, "/evacuations", ctl_print_evacuations));
	if (strcmp(command, "watch") == 0)
		return (watch(ctl));
	return (usage("unknown command"));
}

static bool
parse_options(struct ctl *ctl, int *argc, char ***argv)
{
	const GOptionEntry options[] = {
		{ "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &ctl->entries,
		    "Entry to ask; may be repeated", "IP:PORT" },
		{ "token-env", 0, 0, G_OPTION_ARG_STRING, &ctl->token_env,
		    "Environment variable that holds the token", "NAME" },
		{ "target", 0, 0, G_OPTION_ARG_STRING, &ctl->target,
		    "Data centre, for prefer_dc", "DC" },
		{ "reason", 0, 0, G_OPTION_ARG_STRING, &ctl->reason,
		    "Reason, shown to colleagues", "TEXT" },
		{ "expires", 0, 0, G_OPTION_ARG_INT64, &ctl->expires_in,
		    "Seconds until the intent ends", "SECONDS" },
		{ "base", 0, 0, G_OPTION_ARG_INT64, &ctl->base,
		    "Base version of the plan to confirm", "VERSION" },
		{ "change", 0, 0, G_OPTION_ARG_STRING, &ctl->change,
		    "Change of the plan to confirm", "JSON" },
		{ "against", 0, 0, G_OPTION_ARG_STRING, &ctl->against,
		    "Entry's metrics address, for check", "IP:PORT" },
		{ "yes", 0, 0, G_OPTION_ARG_NONE, &ctl->yes,
		    "Confirm the plan at once", NULL },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &ctl->json,
		    "Print answers as JSON", NULL },
		{ "tls", 0, 0, G_OPTION_ARG_NONE, &ctl->tls, "Use HTTPS",
		    NULL },
		{ "tls-ca", 0, 0, G_OPTION_ARG_FILENAME, &ctl->tls_ca,
		    "Trusted certificates besides the system's", "PEM-FILE" },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context;
	GError *error = NULL;
	bool ok;

	context = g_option_context_new("COMMAND [ARGUMENTS]");
	g_option_context_set_summary(context,
	    "Commands: intents, plan TYPE SUBJECT [VALUE], plan remove ID, "
	    "confirm DIGEST,\naudit, status, drain worker|dc NAME, watch.\n"
	    "On the users' platform: check FILE, evacuations (--entry is the "
	    "metrics address of an entry).\n"
	    "Exit codes: 0 done, 1 refused or conflict, 2 usage, "
	    "3 unreachable;\nof check: 0 nothing found, 1 warnings, "
	    "2 errors, 3 unreachable.");
	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!ok)
		(void)usage(error->message);
	g_clear_error(&error);
	return (ok);
}

/*
 * Checks the options that all commands share.  Returns CTL_DONE or CTL_USAGE.
 */
static int
check_options(const struct ctl *ctl, int argc, char **argv)
{
	bool check = argc >= 2 && strcmp(argv[1], "check") == 0;
	const char *token;

	if (argc < 2 || (ctl->entries == NULL && !check))
		return (usage("a command and --entry are needed"));
	if (ctl->against != NULL && !check)
		return (usage("--against is an option of check"));
	if (ctl->tls_ca != NULL && ctl->tls == 0)
		return (usage("--tls-ca needs --tls"));
	if (ctl->tls_ca != NULL && access(ctl->tls_ca, R_OK) != 0)
		return (usage("the file that --tls-ca names cannot be read"));
	if (ctl->token_env == NULL)
		return (CTL_DONE);
	token = getenv(ctl->token_env);
	if (token == NULL)
		return (
		    usage("the variable that --token-env names is not set"));
	/* A line break would end the request's Authorization header. */
	if (strlen(token) > TOKEN_MAX || strpbrk(token, "\r\n") != NULL)
		return (usage("the token is not one line of at most 256 "
			      "characters"));
	return (CTL_DONE);
}

int
main(int argc, char **argv)
{
	struct ctl ctl = { .base = -1 };
	int code;

	/* Keeps answers and errors in order when both go to the same file. */
	(void)setvbuf(stdout, NULL, _IOLBF, 0);
	if (!parse_options(&ctl, &argc, &argv))
		return (CTL_USAGE);
	code = check_options(&ctl, argc, argv);
	if (code == CTL_DONE)
		code = run_command(&ctl, argc - 1, argv + 1);
	g_strfreev(ctl.entries);
	g_free(ctl.token_env);
	g_free(ctl.target);
	g_free(ctl.reason);
	g_free(ctl.change);
	g_free(ctl.against);
	g_free(ctl.tls_ca);
	return (code);
}
