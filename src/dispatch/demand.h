/*
 * Demand of each route: work that arrives, is admitted and waits, at this entry
 * and at its peers.
 *
 * Work is in thousandths of a core for 1 ms; a rate of work is in thousandths
 * of a core.  Times are in ns.
 */
#ifndef MLK_DISPATCH_DEMAND_H
#define MLK_DISPATCH_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include <monsoonlock/core.h>

struct demand;

/* Sum over this entry and the peers whose report is recent. */
struct demand_total {
	double offered; /* rate */
	double usual; /* long-term mean of `offered` */
	double queued; /* work */
	uint32_t entries; /* in the sum, including this one */
	int64_t age; /* of the oldest report in the sum */
};

struct demand *demand_create(void);
void demand_destroy(struct demand *demand);
void demand_arrived(
    struct demand *demand, const char *route, double work, bool admitted);
void demand_queued(struct demand *demand, const char *route, double work);
void demand_dequeued(struct demand *demand, const char *route, double work);
void demand_ran(struct demand *demand, const char *route, double expected_work,
    double work);
double demand_bias(const struct demand *demand, const char *route);
bool demand_is_known(const struct demand *demand);
void demand_update(struct demand *demand, int64_t now);
bool demand_report_due(
    const struct demand *demand, uint32_t peers, int64_t now);
void demand_report(
    struct demand *demand, int64_t now, struct mlk_demand_report *out);
void demand_apply(
    struct demand *demand, const struct mlk_demand_report *report, int64_t now);
void demand_total(
    const struct demand *demand, const char *route, struct demand_total *out);
void demand_each_route(const struct demand *demand,
    void (*fn)(const char *route, void *arg), void *arg);

#endif
