/*
 * Progress of the tasks of one kind beside those of other kinds on one worker,
 * measured by the agent.  docs/design/interference.md describes the statistics.
 *
 * A kind is a number other than 0 that all entries derive in the same way from
 * a route and a step (dispatch_kind()).  Each sample has the run time relative
 * to the expected one (log2), the parts of the time during which a run of each
 * other kind was at the worker, and the utilisation of the worker:
 *
 * - whole runs, compared with the mean of the kind at this worker.  The tasks
 *   that one RUN message brings have the weight of one sample together, since
 *   they belong to one job and share its estimate.
 * - parts of a run, compared with the mean of the run.  The length of the task,
 *   the estimate and the speed of the worker are the same in all parts.
 */
#ifndef MLK_DISPATCH_CORUN_H
#define MLK_DISPATCH_CORUN_H

#include <monsoonlock/core.h>

/* Kinds measured at a time; rarer ones are not measured. */
#define CORUN_KINDS_MAX 16U

struct corun;
struct corun_run; /* what is kept of a run until it ends */

struct corun *corun_create(void);
void corun_destroy(struct corun *c);
/* Sets the utilisation of the worker, in thousandths of its capacity. */
void corun_utilisation(struct corun *c, uint32_t thousandths, int64_t now);
/*
 * A run of a kind has begun; `tasks` came with it in one RUN message.
 * expected_ms 0: unknown.  Returns what the following calls need, or NULL when
 * the run is not measured.
 */
struct corun_run *corun_begin(struct corun *c, uint32_t kind, uint32_t tasks,
    uint32_t expected_ms, int64_t now);
/* A listing has shown the percentage; `usable`: the worker is healthy. */
void corun_progress(struct corun *c, struct corun_run *run, uint32_t percent,
    bool usable, int64_t now);
/*
 * A run has ended after run_ns, with `percent` of its work done.  Frees `run`,
 * which may be NULL.
 */
void corun_end(struct corun *c, struct corun_run *run, int64_t run_ns,
    uint32_t percent, bool usable, int64_t now);
/* Replaces the verdicts, whose effects are removed from other pairs. */
void corun_set_verdicts(
    struct corun *c, const struct mlk_verdict *verdicts, uint32_t n);
/*
 * Writes the pairs with the most information, at most `max`, and lets old
 * samples decay.  To be called about once a second.  Returns their number.
 */
uint32_t corun_report(
    struct corun *c, struct mlk_corun *rows, uint32_t max, int64_t now);
/* The number of measured runs of a kind at the worker. */
uint32_t corun_count(const struct corun *c, uint32_t kind);

#endif
