/*
 * Prints answers of an entry as tables.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "ctl.h"

#define MS_PER_S 1000.0

/*
 * Returns a string member, or "-" when it is absent or empty.
 */
static const char *
text_of(const json_t *json, const char *name)
{
	const char *text;

	text = json_string_value(json_object_get(json, name));
	return (text == NULL || text[0] == '\0' ? "-" : text);
}

static long long
int_of(const json_t *json, const char *name)
{
	return (json_integer_value(json_object_get(json, name)));
}

/*
 * Formats a Unix time in UTC; 0 is "never".
 */
static void
format_time(long long seconds, char out[24])
{
	struct tm tm;
	time_t when = (time_t)seconds;

	if (seconds == 0 || gmtime_r(&when, &tm) == NULL)
		(void)g_strlcpy(out, "never", 24);
	else
		(void)strftime(out, 24, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

void
ctl_print_intents(const struct ctl *ctl, const json_t *answer)
{
	const json_t *list, *intent;
	char expires[24];
	size_t i;

	(void)ctl;
	list = json_object_get(answer, "intents");
	(void)printf("version %lld\n", int_of(answer, "version"));
	(void)printf("%-20s %-13s %-16s %-10s %6s %-12s %-21s %s\n", "ID",
	    "TYPE", "SUBJECT", "TARGET", "VALUE", "AUTHOR", "EXPIRES",
	    "REASON");
	json_array_foreach(list, i, intent)
	{
		format_time(int_of(intent, "expires"), expires);
		(void)printf("%-20s %-13s %-16s %-10s %6lld %-12s %-21s %s\n",
		    text_of(intent, "id"), text_of(intent, "type"),
		    text_of(intent, "subject"), text_of(intent, "target"),
		    int_of(intent, "value"), text_of(intent, "author"), expires,
		    text_of(intent, "reason"));
	}
}

static void
print_option(const char *option, const char *value)
{
	gchar *quoted;

	quoted = g_shell_quote(value);
	(void)printf(" %s %s", option, quoted);
	g_free(quoted);
}

/*
 * Prints the connection options of this invocation, so that the printed command
 * reaches the same entries.
 */
static void
print_connection(const struct ctl *ctl)
{
	int i;

	for (i = 0; ctl->entries[i] != NULL; i++)
		print_option("--entry", ctl->entries[i]);
	if (ctl->token_env != NULL)
		print_option("--token-env", ctl->token_env);
	if (ctl->tls)
		(void)printf(" --tls");
	if (ctl->tls_ca != NULL)
		print_option("--tls-ca", ctl->tls_ca);
}

/*
 * Prints the command line that confirms a plan.  It contains the whole change,
 * because the entries store nothing between plan and confirm.
 */
void
ctl_print_confirm(const struct ctl *ctl, const char *title, const char *digest,
    long long base, const json_t *change)
{
	gchar *quoted;
	char *text;

	text = json_dumps(change, JSON_COMPACT);
	if (text == NULL)
		return;
	quoted = g_shell_quote(text);
	(void)printf("%s\nmonsoonctl", title);
	print_connection(ctl);
	(void)printf(
	    " confirm %s --base %lld --change %s\n", digest, base, quoted);
	g_free(quoted);
	free(text);
}

static void
print_effects(const json_t *plan)
{
	const json_t *effects, *line;
	size_t i;

	effects = json_object_get(plan, "effects");
	(void)printf("plan %s on version %lld\n", text_of(plan, "digest"),
	    int_of(plan, "base_version"));
	json_array_foreach(effects, i, line)(void)
	    printf("  %s\n", json_string_value(line));
}

/*
 * Prints the effects and, unless the plan is confirmed at once, the command
 * line that confirms it.
 */
void
ctl_print_plan(const struct ctl *ctl, const json_t *plan)
{
	print_effects(plan);
	if (!ctl->yes) {
		ctl_print_confirm(ctl, "to confirm:", text_of(plan, "digest"),
		    int_of(plan, "base_version"),
		    json_object_get(plan, "change"));
	}
}

void
ctl_print_audit(const struct ctl *ctl, const json_t *answer)
{
	const json_t *list, *record;
	char at[24];
	size_t i;

	(void)ctl;
	list = json_object_get(answer, "records");
	(void)printf(
	    "%8s %-21s %-12s %s\n", "VERSION", "AT", "AUTHOR", "SUMMARY");
	json_array_foreach(list, i, record)
	{
		format_time(int_of(record, "at"), at);
		(void)printf("%8lld %-21s %-12s %s\n",
		    int_of(record, "version"), at, text_of(record, "author"),
		    text_of(record, "summary"));
	}
}

void
ctl_print_status(const struct ctl *ctl, const json_t *answer)
{
	const json_t *list, *line;
	size_t i;

	(void)ctl;
	list = json_object_get(answer, "lines");
	json_array_foreach(list, i, line)
	{
		(void)printf("%-24s %s\n", text_of(line, "name"),
		    text_of(line, "value"));
	}
}

/*
 * Prints the ids of the agents that have not confirmed an evacuation.
 */
static void
print_unconfirmed(const json_t *list)
{
	const json_t *id;
	size_t i;

	if (json_array_size(list) == 0)
		(void)printf("-");
	json_array_foreach(list, i, id)
	{
		(void)printf("%s%s", i == 0 ? "" : " ",
		    json_is_string(id) ? json_string_value(id) : "?");
	}
	(void)printf("\n");
}

void
ctl_print_evacuations(const struct ctl *ctl, const json_t *answer)
{
	const json_t *list, *item;
	size_t i;

	(void)ctl;
	list = json_object_get(answer, "evacuations");
	(void)printf("version %lld\n", int_of(answer, "version"));
	if (json_array_size(list) == 0) {
		(void)printf("no data centre is evacuated\n");
		return;
	}
	(void)printf("%-16s %8s %10s %7s %8s %s\n", "DC", "VERSION",
	    "SINCE (s)", "AGENTS", "RUNNING", "NOT CONFIRMED BY");
	json_array_foreach(list, i, item)
	{
		(void)printf("%-16s %8lld %10.1f %7lld %8lld ",
		    text_of(item, "dc"), int_of(item, "version"),
		    (double)int_of(item, "since_ms") / MS_PER_S,
		    int_of(item, "agents"), int_of(item, "running"));
		print_unconfirmed(json_object_get(item, "unconfirmed"));
	}
}

void
ctl_print_error(const struct ctl *ctl, const json_t *answer, int status)
{
	const json_t *error, *plan;

	error = json_object_get(answer, "error");
	(void)fprintf(stderr, "monsoonctl: %s (status %d, %s)\n",
	    text_of(error, "message"), status, text_of(error, "code"));
	if (json_object_get(answer, "plan") != NULL) {
		(void)printf("nothing was changed; the plan now:\n");
		plan = json_object_get(answer, "plan");
		print_effects(plan);
		ctl_print_confirm(ctl, "to confirm:", text_of(plan, "digest"),
		    int_of(plan, "base_version"),
		    json_object_get(plan, "change"));
	}
}
