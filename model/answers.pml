/*
 * Answers to a job of two tasks, over two epochs.  Properties (a) to (d) of
 * start.pml.
 */
#define ANSWERS
#ifndef TASKS
#define TASKS	2
#endif
#ifndef EPOCHS
#define EPOCHS	2
#endif
#include "start.pml"
