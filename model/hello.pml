/*
 * HELLO with the first incarnation of the process (docs/design.md, section 4,
 * rule 3): it tells an agent that registers again, and keeps its record and its
 * tasks, from one that has restarted.  Property (a) of start.pml.
 */
#define HELLO
#include "start.pml"
