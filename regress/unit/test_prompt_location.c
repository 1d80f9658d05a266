/* Unit tests of policy/prompt_location.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/placement.h"
#include "policy/prompt_location.h"

#define SESSIONS 40 /* streams of the killed instance */
#define ENGINES 20
#define READ_MS 1000 /* time to read a prompt */
#define HASH(i) (0x9e3779b97f4a7c15u * (uint64_t)((i) + 1))

static void records_location(void **state)
{
	struct prompt_location_table t;

	(void)state;
	prompt_location_init(&t, 64);
	assert_int_equal(prompt_location_find(&t, 7, 1000), 0);
	prompt_location_record(&t, 7, 70, 1000);
	assert_int_equal(prompt_location_find(&t, 7, 2000), 70);
	prompt_location_record(&t, 7, 71, 2000); /* read again */
	assert_int_equal(prompt_location_find(&t, 7, 2000), 71);
	assert_int_equal(prompt_location_find(&t, 7, 60000), 0);
	assert_int_equal(prompt_location_find(&t, 0, 2000), 0);
	prompt_location_release(&t);
}

/* A full table replaces the oldest record. */
static void replaces_oldest(void **state)
{
	struct prompt_location_table t;
	uint64_t i;

	(void)state;
	prompt_location_init(&t, 4);
	for (i = 1; i <= 100; i++)
		prompt_location_record(&t, i, i, 1000 + i);
	assert_int_equal(prompt_location_find(&t, 1, 1100), 0);
	for (i = 97; i <= 100; i++)
		assert_int_equal(prompt_location_find(&t, i, 1100), i);
	prompt_location_release(&t);
}

/* Load pattern: an instance is killed with 40 streams, whose callers reach
 * another one at the same moment.  Each stream goes to the endpoint that read
 * its prompt, although that endpoint is reading another prompt and is not the
 * one that the prompt's hash alone would choose. */
static void instance_killed(void **state)
{
	static struct placement_candidate c[ENGINES];
	const struct placement_request r = { .tokens = 6400, .resumes = true };
	struct prompt_location_table t;
	uint64_t now = 5000;
	size_t i;
	size_t k;

	(void)state;
	prompt_location_init(&t, 256);
	for (i = 0; i < SESSIONS; i++)
		prompt_location_record(&t, HASH(i), HASH(1000 + i % ENGINES),
				       now);
	for (i = 0; i < SESSIONS; i++) {
		uint64_t read_at = prompt_location_find(&t, HASH(i), now + 10);
		struct placement_choice choice;

		for (k = 0; k < ENGINES; k++)
			c[k] = (struct placement_candidate){
				.usable = true,
				.capacity_tokens = 55000,
				.prefill_tokens = k == i % ENGINES ? READ_MS * 5
								   : 0,
				.slots = 64,
				.affinity = read_at == HASH(1000 + k)
						    ? UINT64_MAX
						    : HASH(i * ENGINES + k),
			};
		choice = placement_run(&r, c, ENGINES, HASH(i));
		assert_int_equal(choice.outcome, PLACEMENT_OK);
		assert_int_equal(choice.index, i % ENGINES);
	}
	prompt_location_release(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(records_location),
		cmocka_unit_test(replaces_oldest),
		cmocka_unit_test(instance_killed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
