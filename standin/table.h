/*
 * Table of the platform stand-in: rows in memory, which are read and changed by
 * transactions in the JSON format of POST /v1/txn.
 */
#ifndef STANDIN_TABLE_H
#define STANDIN_TABLE_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

struct table;

struct table *table_create(void);
void table_destroy(struct table *table);

/* Returns a validated transaction, or NULL when body is not a valid one. */
json_t *table_parse(const void *body, size_t len);
size_t table_write_count(const json_t *txn); /* number of writes in it */
/* Executes a validated transaction and returns its answer. */
json_t *table_apply(struct table *table, const json_t *txn);

#endif
