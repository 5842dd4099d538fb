/*
 * Verdicts on which kinds of task slow each other down, decided by one entry
 * from the reports of the agents.  docs/design/interference.md describes the
 * statistics and the error bound.
 */
#ifndef MLK_DISPATCH_INTERFERENCE_H
#define MLK_DISPATCH_INTERFERENCE_H

#include <monsoonlock/core.h>

struct interference;

enum interference_change_type {
	INTERFERENCE_MADE,
	INTERFERENCE_WITHDRAWN, /* the tasks do not slow each other any more */
	INTERFERENCE_EXPIRED, /* nothing was measured for too long */
};

struct interference_change {
	enum interference_change_type type;
	struct mlk_verdict verdict;
	uint32_t agents; /* that measured the pair; 0: another entry did */
};

/* What is known of a pair of kinds. */
struct interference_pair {
	uint32_t kind;
	uint32_t other;
	uint32_t agents;
	uint32_t samples;
	uint32_t slowdown; /* of the run time, in thousandths */
	uint32_t bound; /* lower confidence bound of it */
	bool verdict;
	bool pinned;
};

struct interference *interference_create(void);
void interference_destroy(struct interference *in);
/* Replaces what an agent has reported. */
void interference_report(struct interference *in, const char *agent,
    const struct mlk_corun *rows, uint32_t n, int64_t now);
/*
 * Decides from the reports.  To be called once a second.  Returns the number of
 * changes, at most MLK_VERDICTS_MAX, which are written to `changes`.
 */
uint32_t interference_judge(struct interference *in,
    struct interference_change changes[MLK_VERDICTS_MAX], int64_t now);
/*
 * Replaces the verdicts by those of the entry that decides.  Returns the number
 * of changes, at most twice MLK_VERDICTS_MAX.
 */
uint32_t interference_adopt(struct interference *in,
    const struct mlk_verdict *verdicts, uint32_t n,
    struct interference_change changes[2 * MLK_VERDICTS_MAX], int64_t now);
/* Drops adopted verdicts that were not renewed.  Returns as interference_judge.
 */
uint32_t interference_expire(struct interference *in,
    struct interference_change changes[MLK_VERDICTS_MAX], int64_t now);
/*
 * Sets a verdict that an operator knows: it is never withdrawn, and counts as a
 * doubled run time until more is measured.
 */
void interference_pin(struct interference *in, uint32_t kind, uint32_t other);
/* Copies the verdicts, and returns their number. */
uint32_t interference_verdicts(const struct interference *in,
    struct mlk_verdict verdicts[MLK_VERDICTS_MAX]);
/* Changes with every change of the set of verdicts. */
uint64_t interference_generation(const struct interference *in);
/*
 * Returns what a kind loses beside another one and makes it lose: the sum of
 * both slowdowns above 1, in thousandths.  0: no verdict.
 */
uint32_t interference_loss(
    const struct interference *in, uint32_t kind, uint32_t other);
/*
 * Tells whether a verdict on the kind has so few samples that some placements
 * should ignore it, to learn whether it still holds.
 */
bool interference_scarce(const struct interference *in, uint32_t kind);
/*
 * Returns the cost of a placement that loses so much (interference_loss()), in
 * thousandths of a worker's capacity.
 */
uint32_t interference_cost(uint32_t loss);
/* Copies the pairs with the highest bounds, and returns their number. */
uint32_t interference_pairs(const struct interference *in,
    struct interference_pair *pairs, uint32_t max);

#endif
