/*
 * Tests of the configuration document and of plans.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <monsoonlock/core.h>

#define NOW 1000 /* time_t */

static struct mlk_intent intents[] = {
	{ .id = "i1",
	    .type = MLK_INTENT_TEAM_WEIGHT,
	    .subject = "maps",
	    .value = 100,
	    .author = "ann",
	    .reason = "normal" },
	{ .id = "i2",
	    .type = MLK_INTENT_AVOID_WORKER,
	    .subject = "w1",
	    .author = "bob",
	    .reason = "slow disk" },
	{ .id = "i3",
	    .type = MLK_INTENT_DRAIN_DC,
	    .subject = "north",
	    .expires = NOW - 1 },
};
static const struct mlk_config base_config = { .version = 7,
	.nintents = 3,
	.intents = intents };

/* Plans a change on base_config; fails the test on an error. */
static struct mlk_plan *
make_plan(const struct mlk_change *change)
{
	struct mlk_plan *out;
	struct mlk_error err;

	assert_int_equal(
	    mlk_plan_create(&base_config, change, NOW, &out, &err), 0);
	return (out);
}

/* Fails the test unless the plan has that line among its effects. */
static void
assert_effect(const struct mlk_plan *p, const char *line)
{
	uint32_t i;

	for (i = 0; i < p->neffects; i++) {
		if (strcmp(p->effects[i], line) == 0)
			return;
	}
	fail_msg("no effect \"%s\"", line);
}

/* Guards against an intent that stays in force after its expiry. */
static void
test_expired_intents(void **state)
{
	(void)state;
	assert_ptr_equal(
	    mlk_config_find(&base_config, MLK_INTENT_AVOID_WORKER, "w1", NOW),
	    &intents[1]);
	assert_null(
	    mlk_config_find(&base_config, MLK_INTENT_DRAIN_DC, "north", NOW));
	assert_non_null(mlk_config_find(
	    &base_config, MLK_INTENT_DRAIN_DC, "north", NOW - 2));
}

/*
 * Guards against an intent that stays in the result although a new one
 * replaces it, and against a plan that does not show the replacement.
 */
static void
test_replaced_intent(void **state)
{
	struct mlk_change change = { .intent = { .type = MLK_INTENT_TEAM_WEIGHT,
					 .subject = "maps",
					 .value = 50,
					 .author = "cy" } };
	struct mlk_plan *p;

	(void)state;
	p = make_plan(&change);
	assert_int_equal(p->base_version, 7);
	assert_int_equal(p->result.version, 8);
	assert_true(mlk_key_equal(p->result.digest, p->digest));
	assert_int_equal(p->result.nintents, 2);
	assert_string_equal(p->result.intents[1].displaced, "i1");
	assert_effect(p, "team maps has weight 50 (default 100)");
	assert_effect(p,
	    "replaces i1 of ann (team_weight maps, value 100), "
	    "reason: normal");
	assert_effect(p,
	    "drops the expired i3 of nobody (drain_dc north, "
	    "value 0), reason: none given");
	mlk_plan_destroy(p);
}

/* Guards against a plan that does not show that the share of a team falls. */
static void
test_share_effects(void **state)
{
	struct mlk_change change = { .intent = { .type = MLK_INTENT_TEAM_WEIGHT,
					 .subject = "labels",
					 .value = 300 } };
	struct mlk_plan *p;

	(void)state;
	p = make_plan(&change);
	assert_effect(p, "share of team maps falls by 250 permille");
	mlk_plan_destroy(p);
	change.intent.type = MLK_INTENT_TEAM_QUOTA;
	p = make_plan(&change);
	assert_effect(p, "share of team labels falls by 700 permille");
	mlk_plan_destroy(p);
}

/*
 * Guards against a plan that does not show that it overrides another
 * operator's intent, and against the wrong effects when an intent is removed.
 */
static void
test_overridden_and_removed_intents(void **state)
{
	struct mlk_change change = {
		.intent = { .type = MLK_INTENT_DRAIN_WORKER, .subject = "w1" }
	};
	struct mlk_plan *p;
	struct mlk_error err;

	(void)state;
	p = make_plan(&change);
	assert_effect(p,
	    "overrides i2 of bob (avoid_worker w1, value 0), "
	    "reason: slow disk");
	mlk_plan_destroy(p);
	memset(&change, 0, sizeof(change));
	change.remove = true;
	(void)snprintf(change.intent.id, MLK_NAME_MAX, "i2");
	p = make_plan(&change);
	assert_int_equal(p->result.nintents, 1);
	assert_effect(p, "worker w1 is no longer used last");
	mlk_plan_destroy(p);
	(void)snprintf(change.intent.id, MLK_NAME_MAX, "i3");
	assert_int_equal(mlk_plan_create(&base_config, &change, NOW, &p, &err),
	    MLK_ERR_NOT_FOUND);
}

/*
 * Guards against a digest that omits a part of the change or the base version,
 * and against one that depends on bytes after the end of a string.
 */
static void
test_digest(void **state)
{
	struct mlk_change change = {
		.intent = { .type = MLK_INTENT_DRAIN_WORKER, .subject = "w1" }
	};
	struct mlk_config other = base_config;
	struct mlk_plan *p, *q;
	struct mlk_error err;

	(void)state;
	p = make_plan(&change);
	q = make_plan(&p->change);
	assert_string_equal(p->change.intent.id, "v8-drain_worker");
	assert_true(mlk_key_equal(q->digest, p->digest));
	mlk_plan_destroy(q);
	other.version = 8;
	assert_int_equal(mlk_plan_create(&other, &change, NOW, &q, &err), 0);
	assert_false(mlk_key_equal(p->digest, q->digest));
	mlk_plan_destroy(q);
	change.intent.subject[2] = 'x'; /* makes the subject "w1x" */
	change.intent.subject[3] = '\0';
	q = make_plan(&change);
	assert_false(mlk_key_equal(p->digest, q->digest));
	mlk_plan_destroy(q);
	change.intent.subject[2] = '\0';
	change.intent.subject[3] = 'y'; /* after the end of "w1": not covered */
	q = make_plan(&change);
	assert_true(mlk_key_equal(p->digest, q->digest));
	mlk_plan_destroy(q);
	mlk_plan_destroy(p);
}

/* Guards against a change whose type, value, subject or expiry is invalid. */
static void
test_invalid_changes(void **state)
{
	const struct mlk_intent bad[] = {
		{ .type = MLK_INTENT_TEAM_QUOTA,
		    .subject = "a",
		    .value = 1001 },
		{ .type = MLK_INTENT_TEAM_WEIGHT, .subject = "a" },
		{ .type = MLK_INTENT_KIND_URGENCY, .subject = "a", .value = 3 },
		{ .type = MLK_INTENT_LONG_CAP, .value = 900 },
		{ .type = MLK_INTENT_LONG_CAP, .subject = "a", .value = 500 },
		{ .type = MLK_INTENT_DRAIN_WORKER },
		{ .type = MLK_INTENT_PREFER_DC, .subject = "a" },
		{ .type = MLK_INTENT_DRAIN_DC, .subject = "a", .expires = NOW },
		{ .id = "i2", .type = MLK_INTENT_DRAIN_DC, .subject = "a" },
		{ .type = (enum mlk_intent_type)99, .subject = "a" },
	};
	struct mlk_change change = { 0 };
	struct mlk_error err;
	struct mlk_plan *p;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		change.intent = bad[i];
		assert_int_equal(
		    mlk_plan_create(&base_config, &change, NOW, &p, &err),
		    MLK_ERR_INVALID);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_expired_intents),
		cmocka_unit_test(test_replaced_intent),
		cmocka_unit_test(test_share_effects),
		cmocka_unit_test(test_overridden_and_removed_intents),
		cmocka_unit_test(test_digest),
		cmocka_unit_test(test_invalid_changes),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
