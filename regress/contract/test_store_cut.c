/* Answers of the platform's store that are cut, at each byte of their heads and
 * bodies: the client reports no rows, and no write as done. */
#include <netinet/in.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "platform/platform.h"
#include "regress/harness.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define WAYS 4 /* closed in order or reset; a listing or a write */
#define CLOSE_MS 20 /* for handles to be closed */

struct conn {
	uv_tcp_t tcp;
	char input[4096];
};

/* What a call reported. */
struct result {
	bool finished;
	enum store_outcome outcome;
	size_t n_rows;
};

static struct harness *harness;
static uv_tcp_t listener;
static struct http1_client *client;
static struct store *store;
static const char *answer;
static size_t answer_len; /* bytes of it that are sent */
static bool resets;

static void on_closed(uv_handle_t *h)
{
	free(h->data);
}

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct conn *c = h->data;

	(void)suggested;
	*buf = uv_buf_init(c->input, sizeof(c->input));
}

/* Answers a request, which arrives in one piece, and ends the connection. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	uv_buf_t out = uv_buf_init((char *)answer, (unsigned int)answer_len);

	(void)buf;
	if (!n)
		return;
	if (n > 0 && answer_len)
		assert_int_equal(uv_try_write(stream, &out, 1), answer_len);
	if (n > 0 && resets)
		uv_tcp_close_reset((uv_tcp_t *)stream, on_closed);
	else
		uv_close((uv_handle_t *)stream, on_closed);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct conn *c = xcalloc(1, sizeof(*c));

	assert_int_equal(status, 0);
	uv_tcp_init(stream->loop, &c->tcp);
	c->tcp.data = c;
	assert_int_equal(uv_accept(stream, (uv_stream_t *)&c->tcp), 0);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static int set_up(void **state)
{
	const char *address;

	(void)state;
	harness = harness_new();
	address = harness_address(harness);
	harness_listen(harness, &listener, address, on_connection, NULL);
	client = http1_client_new(harness_loop(harness));
	store = platform_store_new(client, harness_loop(harness), address);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	http1_client_free(client);
	uv_close((uv_handle_t *)&listener, NULL);
	harness_run(harness, CLOSE_MS);
	harness_free(harness);
	return 0;
}

static void on_rows(void *arg, enum store_outcome outcome,
		    const struct store_row *rows, size_t n, uint64_t version)
{
	(void)rows;
	(void)version;
	*(struct result *)arg = (struct result){
		.finished = true,
		.outcome = outcome,
		.n_rows = n,
	};
}

static void on_written(void *arg, enum store_outcome outcome)
{
	on_rows(arg, outcome, NULL, 0, 0);
}

static bool is_finished(void *arg)
{
	return ((struct result *)arg)->finished;
}

/* Lists a table or removes a row; the answer is cut after len bytes. */
static struct result call(const char *whole, size_t len, int way)
{
	struct result r = { .finished = false };

	answer = whole;
	answer_len = len;
	resets = way % 2;
	if (way < 2)
		store->ops->list(store, STORE_ENDPOINTS, on_rows, &r);
	else
		store->ops->remove_entry(store, "k", 0, on_written, &r);
	harness_until(harness, is_finished, &r, "the call ends");
	return r;
}

static void cut_answers_of_the_store(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nstore-era: 3\r\ncontent-length: 49\r\n\r\n"
		"{\"ver\":7,\"rows\":[{\"key\":\"a\",\"value\":\"\",\"ver\":7}]}",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
		"13\r\n{\"ver\":7,\"rows\":[]}\r\n1\r\n \r\n0\r\n\r\n",
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n"
		"content-length: 19\r\n\r\n{\"ver\":7,\"rows\":[]}",
	};
	struct result r;
	size_t i;
	size_t n;

	(void)state;
	for (i = 0; i < N(answers); i++) {
		size_t len = strlen(answers[i]);

		r = call(answers[i], len, 0);
		assert_int_equal(r.outcome, STORE_OK);
		for (n = 0; n < WAYS * len; n++) {
			r = call(answers[i], n / WAYS, (int)(n % WAYS));
			if (r.outcome != STORE_UNREACHABLE || r.n_rows)
				fail_msg("answer %zu, %zu bytes, way %zu: %s, "
					 "%zu rows",
					 i, n / WAYS, n % WAYS,
					 store_outcome_name(r.outcome),
					 r.n_rows);
		}
	}
}

/* Without a length, a part of the rows is none. */
static void cut_rows_without_a_length(void **state)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
	static const char whole[] =
		"HTTP/1.1 200 OK\r\n\r\n"
		"{\"ver\":7,\"rows\":[{\"key\":\"a\",\"value\":\"\"}]}";
	size_t n;

	(void)state;
	assert_int_equal(call(whole, strlen(whole), 0).outcome, STORE_OK);
	for (n = 0; n < strlen(whole); n++) {
		struct result r = call(whole, n, 0);

		assert_int_equal(r.outcome, n < strlen(head) ? STORE_UNREACHABLE
							     : STORE_MALFORMED);
		assert_int_equal(r.n_rows, 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cut_answers_of_the_store),
		cmocka_unit_test(cut_rows_without_a_length),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
