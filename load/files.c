/*
 * Reading and writing of whole files; see files.h.
 */
#include "files.h"

/*
 * Reads a file.  The caller frees *text with g_free().  Returns 0 or
 * MLK_ERR_IO.
 */
int
mlk_load_file_read(
    const char *path, char **text, gsize *len, struct mlk_error *err)
{
	GError *gerr = NULL;
	int error;

	if (g_file_get_contents(path, text, len, &gerr))
		return (0);
	error = mlk_error_set(err, MLK_ERR_IO, "%s", gerr->message);
	g_error_free(gerr);
	return (error);
}

/*
 * Writes a JSON value to a file and releases it.  Returns 0 or MLK_ERR_IO.
 */
int
mlk_load_json_write(const char *path, json_t *root, struct mlk_error *err)
{
	int rc = json_dump_file(root, path, JSON_INDENT(1));

	json_decref(root);
	if (rc != 0)
		return (
		    mlk_error_set(err, MLK_ERR_IO, "cannot write %s", path));
	return (0);
}
