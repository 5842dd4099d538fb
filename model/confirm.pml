/*
 * Confirmation of answers that report an id as not run (docs/design.md, section
 * 4), with planned stops of agents.  Property (a) of start.pml, and
 *  (f) when the table or an agent confirms that an id did not run, it has not
 *      started under any epoch.
 * An owner that is cut off from the store is modelled as one that does not read
 * the rows.  A confirmation does not need a FENCE_REPLY first: an agent whose
 * highest epoch is the owner's knows of that owner.
 */
#define CONFIRM
#include "leave.pml"
