/* A chunked answer whose connection ends between two chunks is incomplete: the
 * client must report it as broken. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/harness.h"

#define START "{\"stream\":\"s\",\"prompt\":\"x\",\"max_tokens\":100000}"

/* The emulated engine resets the connection or dies during the answer. */
static void test_cut_answers_are_broken(void **state)
{
	static const char *const cuts[] = {
		"{\"reset\":true}",
		"{\"die\":true}",
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cuts) / sizeof(cuts[0]); i++) {
		struct harness *h = harness_new();
		struct httpc_request r = { .method = "POST",
					   .address = harness_address(h),
					   .path = "/v1/streams",
					   .body = START,
					   .body_len = sizeof(START) - 1 };
		struct stream_reader *s;

		HARNESS_START(h, "engine", "engined", "-l", r.address,
			      "--token-ms=5");
		harness_wait_listening(h, r.address);
		s = stream_open(h, &r);
		stream_wait_events(s, 3);
		harness_control(h, r.address, "%s", cuts[i]);
		stream_wait_end(s);
		assert_int_equal(stream_outcome(s), HTTPC_BROKEN);
		stream_close(s);
		harness_free(h);
	}
}

/* The fault proxy resets the connection during the answer. */
static void test_reset_answers_are_broken(void **state)
{
	struct harness *h = harness_new();
	const char *engine = harness_address(h);
	const char *control = harness_address(h);
	struct httpc_request r = { .method = "POST",
				   .address = harness_address(h),
				   .path = "/v1/streams",
				   .body = START,
				   .body_len = sizeof(START) - 1 };
	char *map = xasprintf("%s=%s", r.address, engine);
	struct stream_reader *s;

	(void)state;
	HARNESS_START(h, "engine", "engined", "-l", engine, "--token-ms=5");
	HARNESS_START(h, "faultd", "faultd", "-c", control, "-m", map);
	harness_wait_listening(h, engine);
	harness_wait_listening(h, r.address);
	harness_wait_listening(h, control);
	s = stream_open(h, &r);
	stream_wait_events(s, 3);
	harness_control(h, control, "{\"*\":{\"reset\":true}}");
	stream_wait_end(s);
	assert_int_equal(stream_outcome(s), HTTPC_BROKEN);
	stream_close(s);
	harness_free(h);
	free(map);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut_answers_are_broken),
		cmocka_unit_test(test_reset_answers_are_broken),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
