/*
 * A cdmfleetd that receives a malformed or out-of-order message at its control
 * address closes the connection and keeps serving.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <cmocka.h>

#include "lib/ident.h"
#include "lib/settings.h"
#include "lib/xalloc.h"
#include "proto/control.pb-c.h"
#include "regress/control_fleet.h"

#define FRAME_HEADER 5 /* bytes: length and type */
#define READ_TIMEOUT_S 20

/* A send buffer. */
struct bytes {
	uint8_t data[65536];
	size_t len;
};

/* Appends a frame with a payload that may be malformed. */
static void add_raw(struct bytes *b, uint8_t type, const void *payload,
		    size_t len)
{
	uint32_t be = htonl((uint32_t)len);

	memcpy(b->data + b->len, &be, sizeof(be));
	b->data[b->len + sizeof(be)] = type;
	if (len)
		memcpy(b->data + b->len + FRAME_HEADER, payload, len);
	b->len += FRAME_HEADER + len;
}

static void add_frame(struct bytes *b, uint8_t type, const ProtobufCMessage *m)
{
	size_t len = protobuf_c_message_get_packed_size(m);
	uint8_t *packed = xcalloc(len, 1);

	protobuf_c_message_pack(m, packed);
	add_raw(b, type, packed, len);
	free(packed);
}

static void add_hello(struct bytes *b)
{
	Cdm__Hello m = CDM__HELLO__INIT;

	m.instance = "instance-1";
	add_frame(b, CDM__FRAME_TYPE__FRAME_HELLO, &m.base);
}

/* Appends a digest from a sender, with one member of the given values. */
static void add_digest(struct bytes *b, uint64_t from, uint64_t id,
		       const char *name, const char *address)
{
	Cdm__Digest m = CDM__DIGEST__INIT;
	Cdm__Member member = CDM__MEMBER__INIT;
	Cdm__Member *list = &member;

	member.id = id;
	member.name = (char *)name;
	member.zone = "z";
	member.control_address = (char *)address;
	member.state = CDM__MEMBER_STATE__MEMBER_ALIVE;
	member.incarnation = 1;
	m.kind = CDM__DIGEST_KIND__DIGEST_PUSH;
	m.from = from;
	m.updates = &list;
	m.n_updates = 1;
	add_frame(b, CDM__FRAME_TYPE__FRAME_DIGEST, &m.base);
}

static void too_long(struct bytes *b)
{
	memset(b->data, 0xff, FRAME_HEADER);
	b->len = FRAME_HEADER;
}

static void unknown_type(struct bytes *b)
{
	add_raw(b, 99, NULL, 0);
}

static void garbage_digest(struct bytes *b)
{
	add_raw(b, CDM__FRAME_TYPE__FRAME_DIGEST, "\xff\xff\xff\xff", 4);
}

static void garbage_hello(struct bytes *b)
{
	add_raw(b, CDM__FRAME_TYPE__FRAME_HELLO, "\x0a\x7f", 2);
}

static void empty_hello(struct bytes *b)
{
	add_raw(b, CDM__FRAME_TYPE__FRAME_HELLO, NULL, 0);
}

static void observation_first(struct bytes *b)
{
	add_raw(b, CDM__FRAME_TYPE__FRAME_OBSERVATION, NULL, 0);
}

static void config_first(struct bytes *b)
{
	Cdm__ConfigBody m = CDM__CONFIG_BODY__INIT;

	m.version = 1;
	add_frame(b, CDM__FRAME_TYPE__FRAME_CONFIG, &m.base);
}

static void digest_without_sender(struct bytes *b)
{
	Cdm__Digest m = CDM__DIGEST__INIT;

	m.from = 5;
	add_frame(b, CDM__FRAME_TYPE__FRAME_DIGEST, &m.base);
}

static void digest_of_another(struct bytes *b)
{
	add_digest(b, 5, name_id("stranger"), "stranger", "127.0.0.1:1");
}

static void digest_with_wrong_id(struct bytes *b)
{
	add_digest(b, 5, 5, "stranger", "127.0.0.1:1");
}

static void digest_with_bad_address(struct bytes *b)
{
	uint64_t id = name_id("stranger");

	add_digest(b, id, id, "stranger", "localhost:1");
}

static void digest_of_itself(struct bytes *b)
{
	uint64_t id = name_id("instance-1");

	add_digest(b, id, id, "instance-1", "127.0.0.1:1");
}

static void hello_twice(struct bytes *b)
{
	add_hello(b);
	add_hello(b);
}

static void digest_after_hello(struct bytes *b)
{
	uint64_t id = name_id("stranger");

	add_hello(b);
	add_digest(b, id, id, "stranger", "127.0.0.1:1");
}

static void (*const cases[])(struct bytes *b) = {
	too_long,
	unknown_type,
	garbage_digest,
	garbage_hello,
	empty_hello,
	observation_first,
	config_first,
	digest_without_sender,
	digest_of_another,
	digest_with_wrong_id,
	digest_with_bad_address,
	digest_of_itself,
	hello_twice,
	digest_after_hello,
};

static int connect_to(const char *address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct timeval limit = { .tv_sec = READ_TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char host[64];
	uint16_t port;

	assert_true(address_parse(address, host, sizeof(host), &port));
	assert_int_equal(inet_pton(AF_INET, host, &sin.sin_addr), 1);
	sin.sin_port = htons(port);
	assert_int_equal(
		connect(fd, (const struct sockaddr *)&sin, sizeof(sin)), 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	return fd;
}

/* Reads until the peer closes; fails if it doesn't in READ_TIMEOUT_S. */
static void expect_close(int fd)
{
	char buf[4096];
	ssize_t n;

	do
		n = read(fd, buf, sizeof(buf));
	while (n > 0);
	assert_true(n == 0 || errno == ECONNRESET);
	close(fd);
}

static void test_malformed_frames_close_connection(void **state)
{
	struct control_fleet *f = control_fleet_new(1, 1);
	struct bytes *b = xcalloc(1, sizeof(*b));
	size_t n = sizeof(cases) / sizeof(cases[0]);
	json_t *health;
	size_t i;
	int fd;

	(void)state;
	for (i = 0; i < n; i++) {
		b->len = 0;
		cases[i](b);
		fd = connect_to(f->instances[0].control);
		assert_int_equal(write(fd, b->data, b->len), b->len);
		expect_close(fd);
	}
	health = harness_get(f->h, f->instances[0].operator_address, "/health");
	json_decref(health);
	assert_true(control_counter(f, 0, "cdmfleetd_members_serving") == 1);
	free(b);
	control_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_malformed_frames_close_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
