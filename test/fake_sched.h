/*
 * Variables through which a test controls and observes the fake scheduler.
 */
#ifndef TEST_FAKE_SCHED_H
#define TEST_FAKE_SCHED_H

#include "sched.h"

extern uint32_t fake_sched_entries; /* as last set by the entry */
extern int fake_sched_admit_error; /* of mlk_sched_admit(); 0: admits */

#endif
