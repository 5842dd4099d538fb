/*
 * Message counters from the /metrics pages of entries and agents.
 */
#ifndef MLK_LOAD_SCRAPE_H
#define MLK_LOAD_SCRAPE_H

#include <monsoonlock/core.h>

struct mlk_scrape {
	bool ok; /* the page was read */
	uint64_t sent_msgs[MLK_MSG_TYPES];
	uint64_t sent_bytes[MLK_MSG_TYPES];
};

void mlk_scrape_parse(const char *page, struct mlk_scrape *out);
int mlk_scrape_read(
    const char *addr, struct mlk_scrape *out, struct mlk_error *err);
void mlk_scrape_add_difference(struct mlk_scrape *sum,
    const struct mlk_scrape *before, const struct mlk_scrape *after);
bool mlk_scrape_is_control(enum mlk_msg_type type);

#endif
