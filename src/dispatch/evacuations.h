/*
 * The set of evacuated data centres that a process holds; private to the
 * dispatch library.
 */
#ifndef MLK_DISPATCH_EVACUATIONS_H
#define MLK_DISPATCH_EVACUATIONS_H

#include <glib.h>

#include <monsoonlock/dispatch.h>

struct evacuated {
	char dc[MLK_NAME_MAX];
	uint64_t version; /* of the change that began it */
	int64_t since; /* time at which it took effect here, ns */
	bool confirmed; /* the dispatcher has logged that all agents there have
			   confirmed it */
};

struct evacuations {
	uint64_t version; /* never decreases; 0: nothing is known */
	GArray *items; /* struct evacuated */
};

enum evacuations_result {
	EVACUATIONS_IGNORED, /* the version is not higher */
	EVACUATIONS_SAME, /* a higher version of the same set */
	EVACUATIONS_CHANGED,
};

void evacuations_init(struct evacuations *e);
void evacuations_clear(struct evacuations *e);
enum evacuations_result evacuations_adopt(
    struct evacuations *e, const struct mlk_evacuations *set, int64_t now);
const struct evacuated *evacuations_find(
    const struct evacuations *e, const char *dc);
void evacuations_copy(const struct evacuations *e, struct mlk_evacuations *out);

#endif
