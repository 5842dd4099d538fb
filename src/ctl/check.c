/*
 * "check FILE [--against ENTRY]": checks a configuration of the users' platform
 * before it is sent, and compares it with the one in force at an entry.
 */
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "site_config.h"

#define CONFIGURATION_PATH "/configuration"
#define TIMEOUT_MS 10000
#define HTTP_OK 200
#define FILE_MAX (16U * 1024 * 1024) /* limits memory for a wrong file */

/* Exit codes of this command. */
#define CHECK_CLEAN 0
#define CHECK_WARNINGS 1
#define CHECK_ERRORS 2
#define CHECK_UNREACHABLE 3

struct check {
	const struct ctl *ctl;
	const char *file;
	struct site_findings *findings;
	struct mlk_routing routing; /* of the file; empty if rejected */
	struct mlk_routing in_force; /* at the entry */
	GArray *differences; /* NULL: not compared */
	bool unreachable;
};

static const char *
severity_name(enum site_severity severity)
{
	return (severity == SITE_ERROR ? "error" : "warning");
}

static const char *
change_name(enum site_change change)
{
	switch (change) {
	case SITE_ADDED:
		return ("added");
	case SITE_REMOVED:
		return ("removed");
	case SITE_CHANGED:
		break;
	}
	return ("changed");
}

/*
 * Prints a text of the file or the entry.  Control characters, which a terminal
 * could interpret, are printed as '?'.
 */
static void
print_text(const char *text)
{
	for (; *text != '\0'; text++)
		(void)putchar(iscntrl((unsigned char)*text) ? '?' : *text);
}

/* ---- the entry -------------------------------------------------------- */

/*
 * Reads the configuration in force at an entry; version 0 is empty.  Returns
 * false after a message if there is no answer or it cannot be read.
 */
static bool
read_in_force(struct check *c)
{
	char *entries[] = { c->ctl->against, NULL };
	struct ctl ctl = *c->ctl;
	char why[SITE_WHY_MAX] = "";
	char *text = NULL;
	json_t *answer;
	bool ok;
	int status;

	ctl.entries = entries;
	status = ctl_request(
	    &ctl, "GET", CONFIGURATION_PATH, NULL, TIMEOUT_MS, &answer);
	ok = status == HTTP_OK;
	if (ok && json_integer_value(json_object_get(answer, "version")) != 0) {
		text = json_dumps(answer, JSON_COMPACT);
		ok = text != NULL &&
		    site_routing_parse(
			&c->in_force, (const guchar *)text, strlen(text), why);
	}
	if (status > 0 && !ok) {
		(void)fprintf(stderr,
		    "monsoonctl: %s: not the configuration of an entry "
		    "(status %d) %s\n",
		    c->ctl->against, status, why);
	}
	free(text);
	json_decref(answer);
	return (ok);
}

static void
compare(struct check *c)
{
	c->unreachable = !read_in_force(c);
	if (!c->unreachable && c->routing.version > 0)
		c->differences = site_config_diff(&c->in_force, &c->routing);
}

/*
 * Returns whether the entry would ignore the file, because its version is not
 * above the one in force, although it differs.
 */
static bool
outdated(const struct check *c)
{
	return (c->differences != NULL && c->differences->len > 0 &&
	    c->routing.version <= c->in_force.version);
}

static uint32_t
warnings(const struct check *c)
{
	return (site_findings_count(c->findings, SITE_WARNING) + outdated(c));
}

/* ---- output ----------------------------------------------------------- */

static void
print_finding(const struct check *c, uint32_t line, enum site_severity severity,
    const char *path, const char *text)
{
	(void)printf("%s:%u: %s: ", c->file, line, severity_name(severity));
	if (path[0] != '\0') {
		print_text(path);
		(void)printf(": ");
	}
	print_text(text);
	(void)printf("\n");
}

static void
print_difference(const struct site_difference *d)
{
	(void)printf("  %-8s", change_name(d->change));
	print_text(d->item);
	(void)printf("%s", d->change == SITE_CHANGED ? ", " : ": ");
	if (d->change == SITE_CHANGED) {
		print_text(d->field);
		(void)printf(": ");
	}
	if (d->before != NULL)
		print_text(d->before);
	if (d->change == SITE_CHANGED)
		(void)printf(" -> ");
	if (d->after != NULL)
		print_text(d->after);
	(void)printf("\n");
}

static void
print_report(const struct check *c)
{
	const struct site_finding *f;
	uint32_t i;

	for (i = 0; (f = site_findings_at(c->findings, i)) != NULL; i++)
		print_finding(c, f->line, f->severity, f->path, f->text);
	if (outdated(c))
		print_finding(c, 1, SITE_WARNING, "version",
		    "not above the version in force; entries ignore the file");
	if (c->differences != NULL) {
		(void)printf("version %llu against version %llu in force at "
			     "%s, %u differences\n",
		    (unsigned long long)c->routing.version,
		    (unsigned long long)c->in_force.version, c->ctl->against,
		    c->differences->len);
		for (i = 0; i < c->differences->len; i++)
			print_difference(&g_array_index(
			    c->differences, struct site_difference, i));
	}
	(void)printf("%s: %u errors, %u warnings, %u routes\n", c->file,
	    site_findings_count(c->findings, SITE_ERROR), warnings(c),
	    c->routing.nroutes);
}

static json_t *
differences_json(const struct check *c)
{
	const struct site_difference *d;
	json_t *list = json_array();
	guint i;

	for (i = 0; i < c->differences->len; i++) {
		d = &g_array_index(c->differences, struct site_difference, i);
		(void)json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s?, s:s?, s:s?}", "change",
			change_name(d->change), "item", d->item, "field",
			d->field, "before", d->before, "after", d->after));
	}
	return (list);
}

/*
 * Prints the report as JSON.  "differences" and "in_force" are null if there is
 * nothing to compare.
 */
static void
print_json(const struct check *c)
{
	char *file = g_utf8_make_valid(c->file, -1);
	json_t *list = json_array(), *root;
	const struct site_finding *f;
	uint32_t i;

	for (i = 0; (f = site_findings_at(c->findings, i)) != NULL; i++) {
		(void)json_array_append_new(list,
		    json_pack("{s:s, s:I, s:s, s:s}", "severity",
			severity_name(f->severity), "line", (json_int_t)f->line,
			"path", f->path, "text", f->text));
	}
	if (outdated(c)) {
		(void)json_array_append_new(list,
		    json_pack("{s:s, s:i, s:s, s:s}", "severity", "warning",
			"line", 1, "path", "version", "text",
			"not above the version in force; entries ignore the "
			"file"));
	}
	root = json_pack("{s:s, s:I, s:I, s:I, s:I, s:o, s:o, s:o, s:b}",
	    "file", file, "version", (json_int_t)c->routing.version, "routes",
	    (json_int_t)c->routing.nroutes, "errors",
	    (json_int_t)site_findings_count(c->findings, SITE_ERROR),
	    "warnings", (json_int_t)warnings(c), "findings", list, "in_force",
	    c->differences == NULL ?
		json_null() :
		json_integer((json_int_t)c->in_force.version),
	    "differences",
	    c->differences == NULL ? json_null() : differences_json(c),
	    "unreachable", (int)c->unreachable);
	(void)json_dumpf(root, stdout, JSON_INDENT(2));
	(void)printf("\n");
	json_decref(root);
	g_free(file);
}

static int
exit_code(const struct check *c)
{
	if (c->unreachable)
		return (CHECK_UNREACHABLE);
	if (site_findings_count(c->findings, SITE_ERROR) > 0)
		return (CHECK_ERRORS);
	return (warnings(c) > 0 ? CHECK_WARNINGS : CHECK_CLEAN);
}

int
ctl_check(const struct ctl *ctl, const char *file)
{
	struct check c = { .ctl = ctl, .file = file };
	GError *gerr = NULL;
	gchar *text;
	gsize len;
	int code;

	if (!g_file_get_contents(file, &text, &len, &gerr)) {
		(void)fprintf(stderr, "monsoonctl: %s\n", gerr->message);
		g_error_free(gerr);
		return (CHECK_ERRORS);
	}
	if (len > FILE_MAX) {
		(void)fprintf(stderr, "monsoonctl: %s: %zu bytes, at most %u\n",
		    file, len, FILE_MAX);
		g_free(text);
		return (CHECK_ERRORS);
	}
	c.findings = site_config_check(&c.routing, (const guchar *)text, len);
	if (ctl->against != NULL)
		compare(&c);
	if (ctl->json)
		print_json(&c);
	else
		print_report(&c);
	code = exit_code(&c);
	if (c.differences != NULL)
		(void)g_array_free(c.differences, TRUE);
	site_findings_destroy(c.findings);
	mlk_routing_clear(&c.routing);
	mlk_routing_clear(&c.in_force);
	g_free(text);
	return (code);
}
