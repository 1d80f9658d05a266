/* Contract of model engines, against the stand-in engine. */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "emulator/chain.h"
#include "lib/xalloc.h"
#include "regress/harness.h"

#define PROMPT "write a fitting guide for hose 12"

struct fixture {
	struct harness *h;
	struct proc *engine;
	const char *address;
	const char *control;
};

static int set_up(void **state)
{
	struct fixture *f = xcalloc(1, sizeof(*f));

	f->h = harness_new();
	f->address = harness_address(f->h);
	f->control = harness_address(f->h);
	f->engine = HARNESS_START(f->h, "engine", "engined", "-l", f->address,
				  "-c", f->control, "--token-ms=1", "--slots=2",
				  "--queue-max=1", "--load-lag-ms=0",
				  "--cache-event-lag-ms=0",
				  "--cache-event-loss=0");
	harness_wait_listening(f->h, f->address);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *f = *state;

	harness_free(f->h);
	free(f);
	return 0;
}

/* Starts a stream with a body formatted as by printf(3). */
__attribute__((format(printf, 2, 3))) static struct stream_reader *start_stream(
	struct fixture *f, const char *fmt, ...)
{
	struct httpc_request r = { .method = "POST",
				   .address = f->address,
				   .path = "/v1/streams" };
	struct stream_reader *s;
	char *body = NULL;
	va_list ap;

	va_start(ap, fmt);
	assert_true(vasprintf(&body, fmt, ap) >= 0);
	va_end(ap);
	r.body = body;
	r.body_len = strlen(body);
	s = stream_open(f->h, &r);
	free(body);
	return s;
}

static struct stream_reader *attach(struct fixture *f, const char *path)
{
	const struct httpc_request r = { .method = "GET",
					 .address = f->address,
					 .path = path };

	return stream_open(f->h, &r);
}

/* Appends a stream's tokens to *text and advances *position; fails unless the
 * tokens continue from *position.  Returns whether the stream reported that
 * it is done. */
static bool read_tokens(const struct stream_reader *s, char **text,
			uint64_t *position)
{
	bool done = false;
	size_t i;

	for (i = 0; i < stream_n_events(s); i++) {
		json_t *e = json_loads(stream_event_at(s, i)->data, 0, NULL);
		const char *token = json_string_value(json_object_get(e, "t"));
		char *more;

		assert_non_null(e);
		assert_false(done);
		if (token) {
			assert_int_equal(
				json_integer_value(json_object_get(e, "p")),
				*position);
			more = xasprintf("%s%s", *text ? *text : "", token);
			free(*text);
			*text = more;
			++*position;
		} else if (json_object_get(e, "done")) {
			assert_int_equal(
				json_integer_value(json_object_get(e, "n")),
				*position);
			done = true;
		}
		json_decref(e);
	}
	return done;
}

/* Fails unless the text is the chain for PROMPT with this many tokens. */
static void assert_chain(const char *text, uint64_t tokens)
{
	struct chain c;

	if (!text)
		text = "";
	chain_start(&c, PROMPT, strlen(PROMPT));
	assert_int_equal(chain_check(&c, text, strlen(text)), CHAIN_GOOD);
	assert_int_equal(chain_finish(&c), CHAIN_GOOD);
	assert_int_equal(c.position, tokens);
}

static int64_t load_value(struct fixture *f, const char *name)
{
	json_t *load = harness_get(f->h, f->address, "/v1/load");
	int64_t value = json_integer_value(json_object_get(load, name));

	json_decref(load);
	return value;
}

static void test_generates_a_chain(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *s =
		start_stream(f, "{\"stream\":\"a\",\"prompt\":\"" PROMPT
				"\",\"max_tokens\":50}");
	uint64_t position = 0;
	char *text = NULL;

	stream_wait_end(s);
	assert_int_equal(stream_status(s), 200);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_true(read_tokens(s, &text, &position));
	assert_chain(text, 50);
	assert_int_equal(load_value(f, "decoded"), 50);
	stream_close(s);
	free(text);
}

static void test_continues_a_text(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *s =
		start_stream(f, "{\"stream\":\"a\",\"prompt\":\"" PROMPT
				"\",\"max_tokens\":20}");
	uint64_t position = 0;
	char *text = NULL;

	stream_wait_end(s);
	read_tokens(s, &text, &position);
	stream_close(s);
	s = start_stream(f,
			 "{\"stream\":\"b\",\"prompt\":\"" PROMPT
			 "\",\"text\":\"%s\",\"position\":20,"
			 "\"max_tokens\":15}",
			 text);
	stream_wait_end(s);
	assert_true(read_tokens(s, &text, &position));
	assert_chain(text, 35);
	stream_close(s);
	free(text);
}

static void test_attach_replays(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *first =
		start_stream(f, "{\"stream\":\"a\",\"prompt\":\"" PROMPT
				"\",\"max_tokens\":400}");
	struct stream_reader *second;
	struct stream_reader *third;
	uint64_t position = 0;
	char *text = NULL;

	stream_wait_events(first, 10);
	second = attach(f, "/v1/streams/a?from=0");
	stream_wait_end(first);
	assert_int_equal(stream_outcome(first), HTTPC_BROKEN);
	stream_wait_end(second);
	assert_true(read_tokens(second, &text, &position));
	assert_chain(text, 400);
	third = attach(f, "/v1/streams/a?from=397");
	stream_wait_end(third);
	assert_int_equal(stream_n_events(third), 4);
	stream_close(first);
	stream_close(second);
	stream_close(third);
	free(text);
}

static bool is_idle(void *arg)
{
	struct fixture *f = arg;

	return load_value(f, "running") == 0 && load_value(f, "queued") == 0;
}

static void test_unread_stream_lingers_then_ends(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *s;

	harness_control(f->h, f->control, "{\"linger_ms\":200}");
	s = start_stream(f, "{\"stream\":\"a\",\"prompt\":\"x\","
			    "\"max_tokens\":1000000}");
	stream_wait_events(s, 2);
	stream_close(s);
	harness_until(f->h, is_idle, f, "the unread stream ends");
	s = attach(f, "/v1/streams/a?from=0");
	stream_wait_end(s);
	assert_int_equal(stream_status(s), 404);
	stream_close(s);
}

static void test_cancel_frees_the_slot(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *s = start_stream(
		f, "{\"stream\":\"a\",\"prompt\":\"x\",\"max_tokens\":100000}");
	struct answer a;

	stream_wait_events(s, 1);
	harness_call(f->h, "DELETE", f->address, "/v1/streams/a", NULL, &a);
	assert_int_equal(a.status, 200);
	answer_release(&a);
	harness_call(f->h, "DELETE", f->address, "/v1/streams/a", NULL, &a);
	assert_int_equal(a.status, 200);
	answer_release(&a);
	stream_wait_end(s);
	assert_non_null(strstr(stream_body(s), "{\"error\":"));
	assert_true(is_idle(f));
	stream_close(s);
}

static bool one_is_queued(void *arg)
{
	return load_value(arg, "queued") == 1;
}

static bool two_run(void *arg)
{
	return load_value(arg, "running") == 2;
}

static void test_full_queue_refuses(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *s[4];
	json_t *runs;
	size_t i;

	for (i = 0; i < 2; i++)
		s[i] = start_stream(f,
				    "{\"stream\":\"s%zu\",\"prompt\":\"x\","
				    "\"max_tokens\":100000}",
				    i);
	harness_until(f->h, two_run, f, "two streams run");
	s[2] = start_stream(f, "{\"stream\":\"s2\",\"prompt\":\"waits\","
			       "\"max_tokens\":3}");
	harness_until(f->h, one_is_queued, f, "one stream waits");
	s[3] = start_stream(f, "{\"stream\":\"s3\",\"prompt\":\"refused\","
			       "\"max_tokens\":3}");
	stream_wait_end(s[3]);
	assert_int_equal(stream_status(s[3]), 429);
	stream_close(s[0]);
	harness_control(f->h, f->control, "{\"linger_ms\":0}");
	stream_wait_end(s[2]);
	runs = harness_get(f->h, f->address, "/v1/runs");
	assert_null(json_object_get(json_object_get(runs, "runs"), "refused"));
	assert_int_equal(json_integer_value(json_object_get(
				 json_object_get(runs, "runs"), "waits")),
			 1);
	json_decref(runs);
	for (i = 1; i < 4; i++)
		stream_close(s[i]);
}

static void test_higher_priority_runs_first(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *low;
	struct stream_reader *high;
	struct stream_reader *busy;

	harness_control(f->h, f->control, "{\"slots\":1,\"queue_max\":8}");
	busy = start_stream(f, "{\"stream\":\"busy\",\"prompt\":\"x\","
			       "\"max_tokens\":100000}");
	stream_wait_events(busy, 1);
	low = start_stream(f, "{\"stream\":\"low\",\"prompt\":\"x\","
			      "\"max_tokens\":100000,\"priority\":1}");
	harness_until(f->h, one_is_queued, f, "the low one waits");
	high = start_stream(f, "{\"stream\":\"high\",\"prompt\":\"x\","
			       "\"max_tokens\":5,\"priority\":8}");
	while (load_value(f, "queued") < 2)
		harness_run(f->h, 1);
	stream_close(busy);
	harness_control(f->h, f->control, "{\"linger_ms\":0}");
	stream_wait_end(high);
	assert_non_null(strstr(stream_body(high), "\"done\":true"));
	stream_wait_events(low, 1);
	assert_true(stream_event_at(low, 0)->at_ms >=
		    stream_event_at(high, 0)->at_ms);
	stream_close(low);
	stream_close(high);
}

static void test_prefix_cache_saves_prefill(void **state)
{
	struct fixture *f = *state;
	char prompt[1025];
	struct stream_reader *s;
	int64_t first;
	json_t *events;

	memset(prompt, 'p', 1024);
	prompt[1024] = '\0';
	s = start_stream(f,
			 "{\"stream\":\"a\",\"prompt\":\"%s\","
			 "\"max_tokens\":1}",
			 prompt);
	stream_wait_end(s);
	stream_close(s);
	first = load_value(f, "prefilled");
	assert_int_equal(first, 256);
	s = start_stream(f,
			 "{\"stream\":\"b\",\"prompt\":\"%s%s\","
			 "\"max_tokens\":1}",
			 prompt, "and a new end..");
	stream_wait_end(s);
	stream_close(s);
	assert_int_equal(load_value(f, "prefilled") - first, 4);
	events = harness_get(f->h, f->address, "/v1/cache-events?since=0");
	assert_true(json_integer_value(json_object_get(events, "next")) >= 16);
	json_decref(events);
	harness_control(f->h, f->control, "{\"cache_tokens\":0}");
	s = start_stream(f,
			 "{\"stream\":\"c\",\"prompt\":\"%s\","
			 "\"max_tokens\":1}",
			 "short");
	stream_wait_end(s);
	stream_close(s);
	s = start_stream(f,
			 "{\"stream\":\"d\",\"prompt\":\"%s\","
			 "\"max_tokens\":1}",
			 prompt);
	stream_wait_end(s);
	stream_close(s);
	assert_true(load_value(f, "prefilled") >= 2 * first);
}

static size_t n_reported_events(struct fixture *f)
{
	json_t *answer =
		harness_get(f->h, f->address, "/v1/cache-events?since=0");
	size_t n = json_array_size(json_object_get(answer, "events"));

	json_decref(answer);
	return n;
}

/* Each case runs a prompt of eight blocks that isn't in the cache. */
static void test_cache_events_come_late_and_with_gaps(void **state)
{
	static const struct {
		const char *control;
		size_t reported; /* events in total afterwards */
	} cases[] = {
		{ "{\"cache_event_loss\":0}", 8 },
		{ "{\"cache_event_loss\":1}", 8 },
		{ "{\"cache_event_loss\":0}", 16 },
		{ "{\"cache_event_lag_ms\":100000}", 0 },
		{ "{\"cache_event_lag_ms\":0}", 32 },
	};
	struct fixture *f = *state;
	struct stream_reader *s;
	char prompt[513];
	size_t i;

	memset(prompt, 'p', 512);
	prompt[512] = '\0';
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		harness_control(f->h, f->control, "%s", cases[i].control);
		prompt[0] = (char)('a' + i);
		s = start_stream(f,
				 "{\"stream\":\"s%zu\",\"prompt\":\"%s\","
				 "\"max_tokens\":1}",
				 i, prompt);
		stream_wait_end(s);
		stream_close(s);
		assert_int_equal(n_reported_events(f), cases[i].reported);
	}
}

/* A sequence of orders to an engine with and without checks of fencing
 * numbers. */
static void test_orders(void **state)
{
	static const struct {
		const char *order;
		int checked; /* status with checks */
		int unchecked; /* status without */
	} cases[] = {
		{ "{\"fence\":5,\"order\":\"load-model\",\"model\":\"m\"}", 200,
		  200 },
		{ "{\"fence\":5,\"order\":\"set-role\",\"role\":\"decode\"}",
		  200, 200 },
		{ "{\"fence\":4,\"order\":\"unload-model\",\"model\":\"m\"}",
		  409, 200 },
		{ "{\"fence\":6,\"order\":\"dance\"}", 400, 400 },
		{ "{\"order\":\"load-model\",\"model\":\"m\"}", 400, 400 },
		{ "[]", 400, 400 },
		{ "{", 400, 400 },
	};
	struct fixture *f = *state;
	struct answer a;
	json_t *orders;
	size_t i;
	int checks;

	for (checks = 1; checks >= 0; checks--) {
		harness_control(f->h, f->control, "{\"check_fencing\":%s}",
				checks ? "true" : "false");
		for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
			harness_call(f->h, "POST", f->address, "/v1/orders",
				     cases[i].order, &a);
			assert_int_equal(a.status, checks ? cases[i].checked
							  : cases[i].unchecked);
			answer_release(&a);
		}
	}
	orders = harness_get(f->h, f->address, "/v1/orders");
	assert_int_equal(json_integer_value(json_object_get(orders, "fence")),
			 5);
	assert_int_equal(
		json_integer_value(json_object_get(orders, "executed_stale")),
		1);
	assert_int_equal(json_integer_value(json_object_get(orders, "refused")),
			 1);
	json_decref(orders);
}

static void test_refuses_malformed_starts(void **state)
{
	static const struct {
		const char *body;
		int status;
	} cases[] = {
		{ "", 400 },
		{ "{}", 400 },
		{ "{\"stream\":\"\",\"prompt\":\"x\",\"max_tokens\":1}", 400 },
		{ "{\"stream\":\"a\",\"prompt\":1,\"max_tokens\":1}", 400 },
		{ "{\"stream\":\"a\",\"prompt\":\"x\"}", 400 },
		{ "{\"stream\":\"a\",\"prompt\":\"x\",\"max_tokens\":-1}",
		  400 },
		{ "{\"stream\":\"a\",\"prompt\":\"x\",\"max_tokens\":1,"
		  "\"priority\":10}",
		  400 },
		{ "{\"stream\":\"a\",\"prompt\":\"x\",\"max_tokens\":1,"
		  "\"position\":3}",
		  400 },
	};
	struct fixture *f = *state;
	struct answer a;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		harness_call(f->h, "POST", f->address, "/v1/streams",
			     cases[i].body, &a);
		assert_int_equal(a.status, cases[i].status);
		assert_non_null(json_object_get(a.json, "error"));
		answer_release(&a);
	}
	assert_int_equal(load_value(f, "prefilled"), 0);
}

static void test_duplicate_name_is_refused(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *a = start_stream(
		f, "{\"stream\":\"a\",\"prompt\":\"x\",\"max_tokens\":100000}");
	struct stream_reader *b;

	stream_wait_events(a, 1);
	b = start_stream(f, "{\"stream\":\"a\",\"prompt\":\"x\","
			    "\"max_tokens\":1}");
	stream_wait_end(b);
	assert_int_equal(stream_status(b), 409);
	stream_close(a);
	stream_close(b);
}

/* Faults in the middle of a stream. */
static void test_faults(void **state)
{
	static const struct {
		const char *control;
		const char *undo; /* NULL: the stream breaks */
		bool exits; /* the process */
	} cases[] = {
		{ "{\"pause_ms\":100}", "{}", false },
		{ "{\"mute\":true}", "{\"mute\":false}", false },
		{ "{\"hang\":true}", "{\"hang\":false}", false },
		{ "{\"reset\":true}", NULL, false },
		{ "{\"die\":true}", NULL, true },
	};
	struct fixture *f = *state;
	struct stream_reader *s;
	uint64_t position;
	char *text;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		s = start_stream(f,
				 "{\"stream\":\"s%zu\",\"prompt\":\"" PROMPT
				 "\",\"max_tokens\":300}",
				 i);
		stream_wait_events(s, 5);
		harness_control(f->h, f->control, "%s", cases[i].control);
		harness_run(f->h, 20);
		if (cases[i].undo)
			harness_control(f->h, f->control, "%s", cases[i].undo);
		stream_wait_end(s);
		text = NULL;
		position = 0;
		assert_int_equal(read_tokens(s, &text, &position),
				 cases[i].undo != NULL);
		assert_chain(text, position);
		free(text);
		stream_close(s);
		if (cases[i].exits)
			assert_int_equal(proc_wait(f->engine), 3);
	}
}

static void test_refused_connections(void **state)
{
	struct fixture *f = *state;
	struct answer a;

	harness_control(f->h, f->control, "{\"fail_connect\":true}");
	harness_call(f->h, "GET", f->address, "/v1/load", NULL, &a);
	assert_int_equal(a.outcome, HTTPC_CONNECT_FAILED);
	answer_release(&a);
	harness_control(f->h, f->control, "{\"fail_connect\":false}");
	json_decref(harness_get(f->h, f->address, "/v1/load"));
}

static void test_crashing_prompt(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *s;

	harness_control(f->h, f->control,
			"{\"crash_on\":\"poison\",\"crash_after_tokens\":3}");
	s = start_stream(f, "{\"stream\":\"a\",\"prompt\":\"some poison\","
			    "\"max_tokens\":10}");
	stream_wait_end(s);
	assert_null(strstr(stream_body(s), "\"done\""));
	assert_int_equal(proc_wait(f->engine), 3);
	stream_close(s);
}

static void test_stops_gracefully(void **state)
{
	struct fixture *f = *state;
	struct stream_reader *s = start_stream(
		f, "{\"stream\":\"a\",\"prompt\":\"x\",\"max_tokens\":200}");

	stream_wait_events(s, 2);
	proc_signal(f->engine, SIGTERM);
	stream_wait_end(s);
	assert_non_null(strstr(stream_body(s), "\"done\":true,\"n\":200"));
	assert_int_equal(proc_wait(f->engine), 0);
	stream_close(s);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_generates_a_chain),
		TEST(test_continues_a_text),
		TEST(test_attach_replays),
		TEST(test_unread_stream_lingers_then_ends),
		TEST(test_cancel_frees_the_slot),
		TEST(test_full_queue_refuses),
		TEST(test_higher_priority_runs_first),
		TEST(test_prefix_cache_saves_prefill),
		TEST(test_cache_events_come_late_and_with_gaps),
		TEST(test_orders),
		TEST(test_refuses_malformed_starts),
		TEST(test_duplicate_name_is_refused),
		TEST(test_faults),
		TEST(test_refused_connections),
		TEST(test_crashing_prompt),
		TEST(test_stops_gracefully),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
