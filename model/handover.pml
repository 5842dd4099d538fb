/*
 * A job of two tasks that an owner gives up unfinished at one epoch and the
 * owner of the next epoch continues (docs/design.md, section 4, rule 5).
 * Properties (a) to (d) of start.pml.  The message that the job was given up
 * stays in the network, so it may reach any later owner.
 */
#define HANDOVER
#define ANSWERS
#define TASKS	2
#define CRASHES	0
#define NOT_RUNS	0
#include "start.pml"
