/*
 * The saved record of an agent that stops as planned (docs/design.md, section
 * 4, rule 12).  Property (a) of start.pml, and
 *  (e) as long as every process ended with a saved record or a closed row, no
 *      owner finds an agent whose record is lost.
 * With ANSWERS and HANDOVER also (b) to (d), see handover.pml.
 */
#define LEAVE
#define EPOCHS	2
#ifndef CRASHES
#define CRASHES	0
#endif
#ifndef NOT_RUNS
#define NOT_RUNS	0
#endif
#include "start.pml"
