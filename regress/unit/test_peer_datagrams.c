/*
 * Datagrams between instances of two builds: those that the landing before sent, as
 * bytes, and fields that a build doesn't know (docs/decisions/046-recent-views.md).
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "proto/peer.pb-c.h"

/* A pulse and a reader's announcement of e40641e. */
static const uint8_t pulse_before[] = {
	0x0a, 0x45, 0x0a, 0x03, 0x74, 0x77, 0x6f, 0x10, 0xd8, 0x84, 0xe3, 0xdb,
	0xa4, 0x34, 0x20, 0x18, 0x2a, 0x0e, 0x09, 0x11, 0x22, 0x33, 0x44, 0x55,
	0x66, 0x77, 0x88, 0x10, 0xac, 0x02, 0x20, 0x02, 0x32, 0x03, 0x69, 0x2d,
	0x31, 0x40, 0x09, 0x58, 0xfa, 0x01, 0x70, 0x01, 0x82, 0x01, 0x03, 0x07,
	0x09, 0x03, 0x8a, 0x01, 0x01, 0x0b, 0x92, 0x01, 0x0e, 0x09, 0x88, 0x77,
	0x66, 0x55, 0x44, 0x33, 0x22, 0x11, 0x10, 0x01, 0x18, 0xfa, 0x01,
};
static const uint8_t reader_before[] = {
	0x2a, 0x14, 0x0a, 0x03, 0x74, 0x77, 0x6f, 0x10, 0xd8, 0x84, 0xe3,
	0xdb, 0xa4, 0x34, 0x18, 0x01, 0x28, 0x09, 0x30, 0x18, 0x38, 0x01,
};

/* All that the build before says is read, and a field that it lacks says that
 * nothing is known. */
static void datagrams_of_the_build_before(void **state)
{
	PeerDatagram *d =
		peer_datagram__unpack(NULL, sizeof(pulse_before), pulse_before);

	(void)state;
	assert_non_null(d);
	assert_non_null(d->pulse);
	assert_string_equal(d->pulse->instance, "two");
	assert_true(d->pulse->born == 1796562535000);
	assert_int_equal(d->pulse->version, 24);
	assert_int_equal(d->pulse->n_loads, 1);
	assert_int_equal(d->pulse->loads[0]->tokens, 300);
	assert_int_equal(d->pulse->n_lost, 1);
	assert_string_equal(d->pulse->lost[0], "i-1");
	assert_int_equal(d->pulse->capacity, 250);
	assert_int_equal(d->pulse->store_era, 1);
	assert_int_equal(d->pulse->n_newest_rows, 3);
	assert_int_equal(d->pulse->newest_rows[1], 9);
	assert_int_equal(d->pulse->writes[0], 11);
	assert_int_equal(d->pulse->n_paths, 1);
	assert_true(d->pulse->paths[0]->lost);
	assert_int_equal(d->pulse->store_read_ms_ago, 0);
	peer_datagram__free_unpacked(d, NULL);

	d = peer_datagram__unpack(NULL, sizeof(reader_before), reader_before);
	assert_non_null(d);
	assert_non_null(d->reader);
	assert_true(d->reader->answers);
	assert_int_equal(d->reader->version, 24);
	assert_int_equal(d->reader->store_read_ms_ago, 0);
	peer_datagram__free_unpacked(d, NULL);
}

/* A datagram without new information is the one that the build before sends. */
static void same_bytes_without_new_fields(void **state)
{
	PeerDatagram *d =
		peer_datagram__unpack(NULL, sizeof(pulse_before), pulse_before);
	uint8_t out[sizeof(pulse_before)];

	(void)state;
	assert_int_equal(peer_datagram__get_packed_size(d), sizeof(out));
	peer_datagram__pack(d, out);
	assert_memory_equal(out, pulse_before, sizeof(out));
	peer_datagram__free_unpacked(d, NULL);
}

/* A field of a later build is skipped. */
static void unknown_fields_are_skipped(void **state)
{
	static const uint8_t later[] = { 0xf8, 0x3f, 0x05 }; /* field 1023 */
	uint8_t bytes[sizeof(reader_before) + sizeof(later)];
	PeerDatagram *d;

	(void)state;
	memcpy(bytes, reader_before, sizeof(reader_before));
	memcpy(bytes + sizeof(reader_before), later, sizeof(later));
	bytes[1] += sizeof(later); /* within the announcement */
	d = peer_datagram__unpack(NULL, sizeof(bytes), bytes);
	assert_non_null(d);
	assert_string_equal(d->reader->instance, "two");
	peer_datagram__free_unpacked(d, NULL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(datagrams_of_the_build_before),
		cmocka_unit_test(same_bytes_without_new_fields),
		cmocka_unit_test(unknown_fields_are_skipped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
