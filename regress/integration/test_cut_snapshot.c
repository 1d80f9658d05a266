/*
 * An instance that starts without the store asks another one for its snapshot.
 * A snapshot that is cut, in its head or its body, is not adopted: the instance
 * asks again until it gets a whole one.
 */
#include <netinet/in.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/xalloc.h"
#include "proto/peer.pb-c.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define CLOSE_MS 50 /* for handles to be closed */
#define CONNS_MAX 64

/* Where the answer ends: bytes before (-) or after its body's beginning. */
struct cut {
	bool unframed; /* the head states no length */
	bool routes; /* after the configuration, before the endpoints */
	int at;
	bool reset;
};

static const struct cut cuts[] = {
	{ .at = -40 }, /* inside the status line */
	{ .at = -5 }, /* inside the digits of the length */
	{ .at = -2 }, /* before the empty line */
	{ .at = -1 },
	{ .at = -1, .reset = true },
	{ .at = 0 },
	{ .at = 20 },
	{ .at = 20, .reset = true },
	{ .routes = true },
	{ .routes = true, .reset = true },
	{ .routes = true, .unframed = true },
};

/* The instance that is asked. */
struct peer {
	uv_tcp_t listener;
	const char *address;
	uv_tcp_t conns[CONNS_MAX];
	size_t n_conns;
	char *body;
	size_t len;
	size_t routes_len; /* of the configuration at its beginning */
	size_t n_answers;
	char input[8192];
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct standin_instance two;
static struct peer peer;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	memset(&peer, 0, sizeof(peer));
	peer.address = harness_address(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_init_instance(world, &two, "two", peer.address);
	return 0;
}

static int tear_down(void **state)
{
	size_t i;

	(void)state;
	proc_kill(two.proc);
	uv_close((uv_handle_t *)&peer.listener, NULL);
	for (i = 0; i < peer.n_conns; i++)
		if (!uv_is_closing((uv_handle_t *)&peer.conns[i]))
			uv_close((uv_handle_t *)&peer.conns[i], NULL);
	harness_run(harness, CLOSE_MS);
	free(peer.body);
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Sends the next answer: each cut once, then whole ones. */
static void send_answer(uv_tcp_t *tcp)
{
	static const struct cut none = { .at = 0 };
	bool whole = peer.n_answers >= N(cuts);
	const struct cut *cut = whole ? &none : &cuts[peer.n_answers];
	struct bytes out = { 0 };
	uv_buf_t buf;
	size_t head;

	peer.n_answers++;
	bytes_addf(&out, "HTTP/1.1 200 OK\r\n");
	if (!cut->unframed)
		bytes_addf(&out, "content-length: %zu\r\n", peer.len);
	bytes_addf(&out, "\r\n");
	head = out.len;
	bytes_add(&out, peer.body, peer.len);
	if (!whole)
		out.len = head + (cut->routes ? peer.routes_len : 0) +
			  (size_t)(ssize_t)cut->at;
	buf = uv_buf_init(out.data, (unsigned int)out.len);
	assert_int_equal(uv_try_write((uv_stream_t *)tcp, &buf, 1), out.len);
	if (cut->reset)
		uv_tcp_close_reset(tcp, NULL);
	else
		uv_close((uv_handle_t *)tcp, NULL);
	bytes_release(&out);
}

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	(void)h;
	(void)suggested;
	*buf = uv_buf_init(peer.input, sizeof(peer.input));
}

/* Answers a request, which arrives in one piece. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	if (n < 0)
		uv_close((uv_handle_t *)stream, NULL);
	else if (n && memmem(buf->base, (size_t)n, " /snapshot ", 11))
		send_answer((uv_tcp_t *)stream);
}

static void on_connection(uv_stream_t *listener, int status)
{
	uv_tcp_t *tcp = &peer.conns[peer.n_conns++];

	assert_int_equal(status, 0);
	assert_true(peer.n_conns < CONNS_MAX);
	uv_tcp_init(listener->loop, tcp);
	uv_accept(listener, (uv_stream_t *)tcp);
	uv_read_start((uv_stream_t *)tcp, on_alloc, on_read);
}

static void listen_as_peer(void)
{
	harness_listen(harness, &peer.listener, peer.address, on_connection,
		       NULL);
}

/* Takes the snapshot of the first instance, which knows an endpoint. */
static void take_snapshot(void)
{
	PeerSnapshot routes = PEER_SNAPSHOT__INIT;
	PeerSnapshot *all;
	struct answer a;

	standin_wait_status(world, one.callers, "/look/open/a", 200);
	harness_call(harness, "GET", one.control, "/snapshot", NULL, &a);
	assert_int_equal(a.status, 200);
	peer.len = a.len;
	peer.body = xmemdup(a.body, a.len);
	answer_release(&a);
	all = peer_snapshot__unpack(NULL, peer.len, (uint8_t *)peer.body);
	assert_non_null(all);
	assert_true(all->n_endpoints > 0);
	routes.routes = all->routes;
	peer.routes_len = peer_snapshot__get_packed_size(&routes);
	peer_snapshot__free_unpacked(all, NULL);
}

static bool whole_was_sent(void *arg)
{
	(void)arg;
	return peer.n_answers > N(cuts);
}

static void cut_snapshots_are_not_adopted(void **state)
{
	(void)state;
	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	take_snapshot();
	proc_kill(one.proc);
	world->store_refuses = true;
	listen_as_peer();
	standin_start_instance(world, &two);
	harness_until(harness, whole_was_sent, NULL,
		      "the instance asks again after each cut");
	standin_wait_status(world, two.callers, "/look/open/a", 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(cut_snapshots_are_not_adopted,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
