/*
 * The report of one or several runs of a scenario: text, JSON and plots.
 */
#ifndef MLK_LOAD_REPORT_H
#define MLK_LOAD_REPORT_H

#include <stdio.h>

#include "stats.h"

struct mlk_load_report_run {
	const struct mlk_load_run *run;
	const struct mlk_load_stats *stats;
};

/* report.c */
void mlk_load_report_text(FILE *out, const struct mlk_load_report_run *r);
void mlk_load_report_ratios(
    FILE *out, const struct mlk_load_report_run *runs, uint32_t n);
void mlk_load_report_last_line(FILE *out, const char *prefix,
    const struct mlk_load_report_run *runs, uint32_t n);

/* report_json.c */
int mlk_load_report_json(const char *path,
    const struct mlk_load_report_run *runs, uint32_t n, struct mlk_error *err);

/* plot.c */
int mlk_load_report_plots(const char *dir,
    const struct mlk_load_report_run *runs, uint32_t n, struct mlk_error *err);

#endif
