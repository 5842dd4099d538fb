/*
 * An id issued by the owner at epoch ISSUED (docs/design.md, section 4, rule
 * 10): that owner may start it before all agents are accounted for, but an
 * owner at a lower epoch, which does not know yet that it was replaced, may not.
 * Properties as in start.pml.
 */
#ifndef ISSUED
#define ISSUED	1
#endif
#include "start.pml"
