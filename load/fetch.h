/*
 * A blocking HTTP request, for probes and control requests outside the event
 * loop.
 */
#ifndef MLK_LOAD_FETCH_H
#define MLK_LOAD_FETCH_H

#include <glib.h>

#include <monsoonlock/base.h>

int mlk_fetch(const char *method, const char *addr, const char *path,
    const char *body, uint32_t timeout_s, int *status, GString *out,
    struct mlk_error *err);

/* Like mlk_fetch(), with a bearer token; NULL: none. */
int mlk_fetch_as(const char *token, const char *method, const char *addr,
    const char *path, const char *body, uint32_t timeout_s, int *status,
    GString *out, struct mlk_error *err);

#endif
