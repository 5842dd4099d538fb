/*
 * Tests of the base library: keys, errors, and the random generator.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <monsoonlock/base.h>

/*
 * Guards against a key that its text form does not identify, and against
 * malformed text that is parsed as a key.
 */
static void
test_key_text_round_trip(void **state)
{
	char text[MLK_KEY_HEX_LEN + 1];
	struct mlk_key key, back;

	(void)state;
	key = mlk_key_from_id("order-17");
	mlk_key_format(key, text);
	assert_int_equal(strlen(text), MLK_KEY_HEX_LEN);
	assert_true(mlk_key_parse(text, &back));
	assert_true(mlk_key_equal(key, back));
	assert_false(mlk_key_parse("xyz", &back));
	text[3] = 'G';
	assert_false(mlk_key_parse(text, &back));
}

/*
 * Guards against a hash of submission ids that puts most jobs into a few
 * partitions, and so on a few entries.
 */
static void
test_partitions_are_even(void **state)
{
	uint32_t count[MLK_PARTITIONS] = { 0 };
	char id[MLK_KEY_HEX_LEN];
	uint32_t i;

	(void)state;
	for (i = 0; i < 6400; i++) {
		(void)snprintf(id, sizeof(id), "job-%u", i);
		count[mlk_key_partition(mlk_key_from_id(id))]++;
	}
	for (i = 0; i < MLK_PARTITIONS; i++)
		assert_in_range(count[i], 50, 160);
}

/*
 * Guards against a buffer overflow by an error message that is longer than
 * MLK_ERROR_MSG_MAX.
 */
static void
test_error_text_truncated(void **state)
{
	char text[2 * MLK_ERROR_MSG_MAX];
	struct mlk_error err;

	(void)state;
	memset(text, 'a', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	assert_int_equal(
	    mlk_error_set(&err, MLK_ERR_IO, "%s", text), MLK_ERR_IO);
	assert_int_equal(strlen(err.msg), MLK_ERROR_MSG_MAX - 1);
}

/*
 * Guards against a failure of a test or model that cannot be reproduced,
 * because the generator does not repeat its numbers for the same seed.
 */
static void
test_rng_is_repeatable(void **state)
{
	struct mlk_rng a, b;
	int i;

	(void)state;
	mlk_rng_seed(&a, 7);
	mlk_rng_seed(&b, 7);
	for (i = 0; i < 100; i++) {
		assert_true(mlk_rng_below(&a, 10) < 10);
		(void)mlk_rng_next(&b);
	}
	assert_int_equal(mlk_rng_next(&a), mlk_rng_next(&b));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_key_text_round_trip),
		cmocka_unit_test(test_partitions_are_even),
		cmocka_unit_test(test_error_text_truncated),
		cmocka_unit_test(test_rng_is_repeatable),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
