/*
 * The command line that all programs share.
 */
#include <stdio.h>
#include <string.h>

#include <monsoonlock/app.h>

/*
 * Parses the arguments with GOption.  summary is the description that --help
 * prints.  Positional arguments are errors.
 */
bool
mlk_args_parse(const char *summary, int *argc, char ***argv,
    struct mlk_args *out, int *status)
{
	gboolean check = FALSE, version = FALSE;
	const GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &out->config,
		    "Settings file", "FILE" },
		{ "check-settings", 0, 0, G_OPTION_ARG_NONE, &check,
		    "Check the settings file and exit", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &version,
		    "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context;
	GError *error = NULL;
	gboolean ok;

	memset(out, 0, sizeof(*out));
	context = g_option_context_new(NULL);
	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	out->check_settings = check;
	*status = 0;
	if (ok && version) {
		(void)printf("%s %s\n", g_get_prgname(), MLK_VERSION);
		return (false);
	}
	if (ok && *argc == 1 && out->config != NULL)
		return (true);
	(void)fprintf(stderr, "%s: %s\n", g_get_prgname(),
	    !ok           ? error->message :
		*argc > 1 ? "unexpected argument" :
			    "--config FILE is required");
	g_clear_error(&error);
	*status = MLK_EXIT_SETTINGS;
	return (false);
}

void
mlk_args_clear(struct mlk_args *args)
{
	g_free(args->config);
	memset(args, 0, sizeof(*args));
}
