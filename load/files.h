/*
 * Reading and writing of whole files, with errors as struct mlk_error.
 */
#ifndef MLK_LOAD_FILES_H
#define MLK_LOAD_FILES_H

#include <glib.h>
#include <jansson.h>

#include <monsoonlock/base.h>

int mlk_load_file_read(
    const char *path, char **text, gsize *len, struct mlk_error *err);
int mlk_load_json_write(const char *path, json_t *root, struct mlk_error *err);

#endif
