/* Unit tests of lib/frame.c against a plain socket, which can send malformed
 * and split frames. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <uv.h>
#include <cmocka.h>

#include "lib/frame.h"
#include "lib/xalloc.h"
#include "proto/control.pb-c.h"

#define HELLO CDM__FRAME_TYPE__FRAME_HELLO
#define BIG_BYTES (1u << 20)
#define SENDS_MAX 64

/* A frame connection to a plain socket. */
struct link {
	uv_loop_t loop;
	int listener;
	char address[32];
	struct frame_conn *conn; /* NULL once closed */
	int peer; /* the other end */
	unsigned n_opened;
	unsigned n_closed;
	char why[128];
	unsigned n_messages;
	uint8_t types[8];
	size_t lens[8];
	char instance[32]; /* of the last Hello */
	unsigned refuse_at; /* number of the message to reject as malformed */
	unsigned close_at; /* number of the message to close upon */
};

static void on_open(struct frame_conn *c, void *arg)
{
	struct link *l = arg;

	(void)c;
	l->n_opened++;
}

static bool on_message(struct frame_conn *c, void *arg, uint8_t type,
		       const uint8_t *data, size_t len)
{
	struct link *l = arg;
	Cdm__Hello *hello;

	if (l->n_messages < sizeof(l->types)) {
		l->types[l->n_messages] = type;
		l->lens[l->n_messages] = len;
	}
	l->n_messages++;
	hello = type == HELLO ? cdm__hello__unpack(NULL, len, data) : NULL;
	if (hello) {
		snprintf(l->instance, sizeof(l->instance), "%s",
			 hello->instance);
		cdm__hello__free_unpacked(hello, NULL);
	}
	if (l->n_messages == l->close_at)
		frame_close(c);
	return l->n_messages != l->refuse_at;
}

static void on_close(struct frame_conn *c, void *arg, const char *why)
{
	struct link *l = arg;

	assert_ptr_equal(c, l->conn);
	l->conn = NULL;
	l->n_closed++;
	snprintf(l->why, sizeof(l->why), "%s", why);
}

static const struct frame_ops ops = {
	.on_open = on_open,
	.on_message = on_message,
	.on_close = on_close,
};

/* Binds a socket to a free port and listens on it if listening is set. */
static void bind_listener(struct link *l, bool listening)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(sin);

	l->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_true(l->listener >= 0);
	assert_int_equal(bind(l->listener, (struct sockaddr *)&sin, len), 0);
	if (listening)
		assert_int_equal(listen(l->listener, 1), 0);
	assert_int_equal(
		getsockname(l->listener, (struct sockaddr *)&sin, &len), 0);
	snprintf(l->address, sizeof(l->address), "127.0.0.1:%u",
		 ntohs(sin.sin_port));
}

/* Establishes a link's connection. */
static void link_up(struct link *l)
{
	memset(l, 0, sizeof(*l));
	assert_int_equal(uv_loop_init(&l->loop), 0);
	bind_listener(l, true);
	l->conn = frame_connect(&l->loop, l->address, &ops, l);
	while (!l->n_opened)
		uv_run(&l->loop, UV_RUN_ONCE);
	l->peer = accept4(l->listener, NULL, NULL, SOCK_CLOEXEC);
	assert_true(l->peer >= 0);
}

/* Closes the link and checks that on_close was called exactly once. */
static void link_down(struct link *l)
{
	if (l->conn)
		frame_close(l->conn);
	uv_run(&l->loop, UV_RUN_DEFAULT);
	assert_int_equal(l->n_closed, 1);
	assert_int_equal(uv_loop_close(&l->loop), 0);
	close(l->listener);
	if (l->peer >= 0)
		close(l->peer);
}

/* Writes bytes from the peer's end. */
static void peer_write(struct link *l, const void *data, size_t len)
{
	assert_int_equal(write(l->peer, data, len), len);
}

/* Runs the loop until n messages have arrived. */
static void wait_messages(struct link *l, unsigned n)
{
	while (l->n_messages < n)
		uv_run(&l->loop, UV_RUN_ONCE);
}

/* Runs the loop until the connection is closed. */
static void wait_closed(struct link *l)
{
	while (!l->n_closed)
		uv_run(&l->loop, UV_RUN_ONCE);
}

/* Writes the frame of a Hello to out; returns its length. */
static size_t hello_frame(uint8_t *out, char *instance)
{
	Cdm__Hello hello = CDM__HELLO__INIT;
	uint32_t be;
	size_t len;

	hello.instance = instance;
	len = cdm__hello__pack(&hello, out + 5);
	be = htonl((uint32_t)len);
	memcpy(out, &be, sizeof(be));
	out[4] = HELLO;
	return len + 5;
}

static void test_parse_finds_whole_frames(void **state)
{
	static const struct {
		const char *bytes;
		size_t len;
		long expected;
	} cases[] = {
		{ "", 0, 0 },
		{ "\0\0\0\0", 4, 0 },
		{ "\0\0\0\0\1", 5, 5 },
		{ "\0\0\0\2\1a", 6, 0 },
		{ "\0\0\0\2\1ab", 7, 7 },
		{ "\0\0\0\2\1abc", 8, 7 },
		{ "\0\200\0\0\1", 5, 0 }, /* FRAME_MAX_BYTES */
		{ "\0\200\0\1\1", 5, -1 },
		{ "\377\377\377\377\1", 5, -1 },
	};
	const uint8_t *payload;
	size_t payload_len;
	uint8_t type;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(frame_parse((const uint8_t *)cases[i].bytes,
					     cases[i].len, &type, &payload,
					     &payload_len),
				 cases[i].expected);
}

static void test_split_frames_are_reassembled(void **state)
{
	uint8_t bytes[64];
	struct link l;
	size_t n;
	size_t i;

	(void)state;
	link_up(&l);
	n = hello_frame(bytes, "ikeja-1");
	for (i = 0; i < n; i++) {
		peer_write(&l, bytes + i, 1);
		assert_int_equal(l.n_messages, 0);
		uv_run(&l.loop, UV_RUN_NOWAIT);
	}
	wait_messages(&l, 1);
	assert_int_equal(l.types[0], HELLO);
	assert_string_equal(l.instance, "ikeja-1");
	link_down(&l);
}

static void test_frames_of_one_read_are_separated(void **state)
{
	static const uint8_t empty[] = { 0, 0, 0, 0, 7 }; /* another type */
	uint8_t bytes[128];
	struct link l;
	size_t n;

	(void)state;
	link_up(&l);
	n = hello_frame(bytes, "a");
	memcpy(bytes + n, empty, sizeof(empty));
	n += sizeof(empty);
	n += hello_frame(bytes + n, "b");
	peer_write(&l, bytes, n);
	wait_messages(&l, 3);
	assert_int_equal(l.types[0], HELLO);
	assert_int_equal(l.types[1], 7);
	assert_int_equal(l.lens[1], 0);
	assert_string_equal(l.instance, "b");
	link_down(&l);
}

static void test_malformed_frames_close(void **state)
{
	uint8_t bytes[128];
	struct link l;
	size_t n;

	(void)state;
	link_up(&l);
	peer_write(&l, "\0\200\0\1\1", 5);
	wait_closed(&l);
	assert_string_equal(l.why, "malformed frame");
	assert_int_equal(l.n_messages, 0);
	link_down(&l);

	link_up(&l);
	l.refuse_at = 2;
	n = hello_frame(bytes, "a");
	n += hello_frame(bytes + n, "b");
	n += hello_frame(bytes + n, "c");
	peer_write(&l, bytes, n);
	wait_closed(&l);
	assert_string_equal(l.why, "malformed frame");
	assert_int_equal(l.n_messages, 2);
	link_down(&l);
}

static void test_nothing_comes_after_closing(void **state)
{
	Cdm__Hello hello = CDM__HELLO__INIT;
	uint8_t bytes[64];
	struct link l;
	size_t n;

	(void)state;
	link_up(&l);
	l.close_at = 1;
	n = hello_frame(bytes, "a");
	n += hello_frame(bytes + n, "b");
	peer_write(&l, bytes, n);
	wait_closed(&l);
	assert_int_equal(l.n_messages, 1);
	assert_string_equal(l.why, "closed on this side");
	link_down(&l);

	link_up(&l);
	hello.instance = "a";
	frame_close(l.conn);
	assert_false(frame_send(l.conn, HELLO, &hello.base));
	link_down(&l);
}

static void test_a_cut_frame_is_dropped(void **state)
{
	uint8_t bytes[64];
	struct link l;
	size_t n;

	(void)state;
	link_up(&l);
	n = hello_frame(bytes, "a");
	peer_write(&l, bytes, n - 1);
	close(l.peer);
	l.peer = -1;
	wait_closed(&l);
	assert_string_equal(l.why, "closed by the peer");
	assert_int_equal(l.n_messages, 0);
	link_down(&l);
}

static void test_what_is_sent_is_a_frame(void **state)
{
	Cdm__Hello hello = CDM__HELLO__INIT;
	const uint8_t *payload;
	uint8_t bytes[64];
	size_t payload_len;
	struct link l;
	size_t len = 0;
	uint8_t type;
	long n;

	(void)state;
	link_up(&l);
	hello.instance = "ikeja-1";
	assert_true(frame_send(l.conn, HELLO, &hello.base));
	while ((n = frame_parse(bytes, len, &type, &payload, &payload_len)) ==
	       0) {
		ssize_t got;

		uv_run(&l.loop, UV_RUN_NOWAIT);
		got = read(l.peer, bytes + len, sizeof(bytes) - len);
		assert_true(got > 0);
		len += (size_t)got;
	}
	assert_int_equal(n, len);
	assert_int_equal(type, HELLO);
	assert_int_equal(payload_len, cdm__hello__get_packed_size(&hello));
	link_down(&l);
}

/* A failed connect calls on_close once, and the connection accepts no
 * message. */
static void test_failed_connections(void **state)
{
	Cdm__Hello hello = CDM__HELLO__INIT;
	struct link l = { .peer = -1 };
	struct link m = { .peer = -1 };

	(void)state;
	hello.instance = "a";
	assert_int_equal(uv_loop_init(&l.loop), 0);
	bind_listener(&l, false);
	l.conn = frame_connect(&l.loop, l.address, &ops, &l);
	assert_false(frame_send(l.conn, HELLO, &hello.base));
	wait_closed(&l);
	link_down(&l);
	assert_string_equal(l.why, "connection refused");
	assert_int_equal(l.n_opened, 0);

	assert_int_equal(uv_loop_init(&m.loop), 0);
	bind_listener(&m, false);
	m.conn = frame_connect(&m.loop, "localhost:1", &ops, &m);
	wait_closed(&m);
	link_down(&m);
	assert_string_equal(m.why, "not a numeric address");
}

/* The bytes queued for a peer that does not read are bounded. */
static void test_a_peer_that_does_not_read_is_cut_off(void **state)
{
	Cdm__ConfigBody body = CDM__CONFIG_BODY__INIT;
	struct link l;
	unsigned n = 0;

	(void)state;
	link_up(&l);
	body.has_config = 1;
	body.config.len = BIG_BYTES;
	body.config.data = xcalloc(BIG_BYTES, 1);
	while (n < SENDS_MAX &&
	       frame_send(l.conn, CDM__FRAME_TYPE__FRAME_CONFIG, &body.base))
		n++;
	assert_true(n < SENDS_MAX);
	assert_true(frame_pending(l.conn) <= 3 * FRAME_MAX_BYTES);
	free(body.config.data);
	wait_closed(&l);
	assert_string_equal(l.why, "the peer does not read");
	link_down(&l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parse_finds_whole_frames),
		cmocka_unit_test(test_split_frames_are_reassembled),
		cmocka_unit_test(test_frames_of_one_read_are_separated),
		cmocka_unit_test(test_malformed_frames_close),
		cmocka_unit_test(test_nothing_comes_after_closing),
		cmocka_unit_test(test_a_cut_frame_is_dropped),
		cmocka_unit_test(test_what_is_sent_is_a_frame),
		cmocka_unit_test(test_failed_connections),
		cmocka_unit_test(test_a_peer_that_does_not_read_is_cut_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
