/*
 * Appends to the lists of effects; private to the dispatch library.
 */
#ifndef MLK_DISPATCH_EFFECTS_H
#define MLK_DISPATCH_EFFECTS_H

#include <monsoonlock/dispatch.h>

/*
 * Return a zeroed effect, valid until the next push, or NULL when out of
 * memory.
 */
struct mlk_runner_effect *mlk_runner_push(
    struct mlk_runner_effects *fx, enum mlk_runner_effect_type type);
struct mlk_dispatch_effect *mlk_dispatch_push(
    struct mlk_dispatch_effects *fx, enum mlk_dispatch_effect_type type);

#endif
