/* Changes of the store that one instance reads and forwards to others by
 * datagrams: one that misses such a datagram learns of the change all the same.
 * The other instances are simulated. */
#include <arpa/inet.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/deflate.h"
#include "lib/xalloc.h"
#include "proto/peer.pb-c.h"
#include "proxyd/store.h"
#include "regress/platform_standin.h"

#define SIMULATED 16 /* with these, not all instances read the store */
#define READERS 2
#define ROUND_MS 200 /* half the interval of a reader's announcements */
#define ROUNDS (HARNESS_WAIT_MS / ROUND_MS)
#define IDLE_ROUNDS 6 /* longer than the pause between two calls */
#define DATAGRAM_MAX_BYTES 65536

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static int fd; /* the socket of all simulated instances */
static char names[SIMULATED][32];

static int set_up(void **state)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	const char *address;
	size_t i;

	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	address = harness_address(harness);
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	sin.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	standin_init_instance(world, &one, "one", NULL);
	standin_put_configuration(world, 2, NULL);
	standin_add_worker(world, "plain", "z1");
	for (i = 0; i < SIMULATED; i++) {
		snprintf(names[i], sizeof(names[i]), "other-%02zu", i);
		standin_put_instance_entry(world, names[i],
					   harness_address(harness),
					   harness_address(harness), address);
	}
	standin_start_instance(world, &one);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	proc_kill(one.proc);
	standin_free(world);
	harness_free(harness);
	close(fd);
	return 0;
}

/* Sends a datagram to the instance. */
static void send_datagram(const PeerDatagram *d)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	uint8_t out[4096];
	size_t len = peer_datagram__get_packed_size(d);

	assert_in_range(len, 1, sizeof(out));
	peer_datagram__pack(d, out);
	sin.sin_port = htons((uint16_t)atoi(strchr(one.peers, ':') + 1));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(sendto(fd, out, len, 0, (struct sockaddr *)&sin,
				sizeof(sin)),
			 len);
}

/* Sends a sign of life of each simulated instance.  The first READERS precede
 * the instance as readers if they read. */
static void send_pulses(bool read)
{
	size_t i;

	for (i = 0; i < SIMULATED; i++) {
		PeerPulse pulse = PEER_PULSE__INIT;
		PeerDatagram d = PEER_DATAGRAM__INIT;

		pulse.instance = names[i];
		pulse.born = 1;
		pulse.version = 2;
		pulse.capacity = read && i < READERS ? 2000 : 1;
		pulse.store_era = (uint64_t)world->era;
		d.pulse = &pulse;
		send_datagram(&d);
	}
}

/* Sends the announcement of a simulated reader, or that it ends. */
static void send_reader(size_t i, json_int_t version, bool ends)
{
	PeerReader msg = PEER_READER__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;

	msg.instance = names[i];
	msg.born = 1;
	msg.answers = !ends;
	msg.ends = ends;
	msg.endpoints_version = (uint64_t)version;
	msg.version = 2;
	msg.store_era = (uint64_t)world->era;
	d.reader = &msg;
	send_datagram(&d);
}

/* Forwards the removal of an endpoint. */
static void forward_removal(const char *endpoint, json_int_t after)
{
	PeerRows rows = PEER_ROWS__INIT;
	PeerRow row = PEER_ROW__INIT;
	PeerRow *list[] = { &row };
	PeerPacked packed = PEER_PACKED__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;
	uint8_t plain[1024];

	row.key = (char *)endpoint;
	row.removed = true;
	rows.instance = names[0];
	rows.table = STORE_ENDPOINTS;
	rows.after = (uint64_t)after;
	rows.version = (uint64_t)world->version;
	rows.n_rows = 1;
	rows.rows = list;
	rows.store_era = (uint64_t)world->era;
	packed.len = (uint32_t)peer_rows__pack(&rows, plain);
	packed.message.data =
		deflate_bytes(plain, packed.len, &packed.message.len);
	d.rows = &packed;
	send_datagram(&d);
	free(packed.message.data);
}

static bool has_logged(const char *text)
{
	return proc_output_count(one.proc, text) > 0;
}

/* Has the simulated readers read the store, until the instance has ended its
 * calls and makes none. */
static void let_others_read(void)
{
	size_t rounds_idle = 0;
	size_t round;

	for (round = 0; round < ROUNDS && rounds_idle < IDLE_ROUNDS; round++) {
		send_pulses(true);
		send_reader(0, world->version, false);
		send_reader(1, world->version, false);
		harness_run(harness, ROUND_MS);
		rounds_idle++;
		if (!standin_waiting_feeds(world, "servers", 0))
			continue;
		/* A call that waits since the start ends with a change. */
		standin_put_worker_entry(&world->workers[0], "ready");
		rounds_idle = 0;
	}
	assert_int_equal(rounds_idle, IDLE_ROUNDS);
	assert_true(has_logged(
		"\"event\":\"endpoint-entry\",\"endpoint\":\"i-0\""));
}

/* Receives the datagrams that the instance sent.  Returns whether changes of
 * endpoints were among them, and the version that they follow. */
static bool received_rows(uint64_t *after)
{
	static uint8_t in[DATAGRAM_MAX_BYTES];
	bool found = false;
	ssize_t n;

	while ((n = recv(fd, in, sizeof(in), 0)) > 0) {
		PeerDatagram *d = peer_datagram__unpack(NULL, (size_t)n, in);
		char *plain;
		PeerRows *rows;

		assert_non_null(d);
		if (d->rows && !found) {
			plain = inflate_bytes(d->rows->message.data,
					      d->rows->message.len,
					      d->rows->len);
			rows = peer_rows__unpack(NULL, d->rows->len,
						 (uint8_t *)plain);
			found = rows->table == STORE_ENDPOINTS;
			*after = rows->after;
			peer_rows__free_unpacked(rows, NULL);
			free(plain);
		}
		peer_datagram__free_unpacked(d, NULL);
	}
	return found;
}

/* An instance that becomes a reader forwards the next change as following those
 * that it was sent before.  If it named an older version, an instance that
 * missed these would not notice. */
static void new_reader_names_what_it_was_sent(void **state)
{
	json_int_t before;
	json_int_t forwarded;
	uint64_t after = 0;
	size_t round;

	(void)state;
	standin_add_worker(world, "plain", "z1");
	let_others_read();
	before = world->version;
	standin_remove(world, "servers", "i-0");
	forwarded = world->version;
	forward_removal("i-0", before);
	for (round = 0; round < ROUNDS; round++) {
		send_pulses(false);
		send_reader(0, forwarded, true);
		send_reader(1, forwarded, true);
		harness_run(harness, ROUND_MS);
		if (standin_waiting_feeds(world, "servers", 0) &&
		    has_logged("\"event\":\"endpoint-entry-removed\","
			       "\"endpoint\":\"i-0\"") &&
		    has_logged("\"event\":\"reads-for-others\",\"reads\":true"))
			break;
	}
	assert_int_not_equal(round, ROUNDS);
	received_rows(&after); /* changes during the start */
	standin_remove(world, "servers", "i-1");
	for (round = 0; round < ROUNDS && !received_rows(&after); round++) {
		send_pulses(false);
		harness_run(harness, ROUND_MS);
	}
	assert_int_not_equal(round, ROUNDS);
	assert_int_equal(after, forwarded);
}

/* A change that one reader knows and another one does not, because it was sent
 * it by the first, is read from the store if its datagram is lost. */
static void readers_know_different_versions(void **state)
{
	json_int_t before;
	size_t round;

	(void)state;
	let_others_read();
	before = world->version;
	standin_remove(world, "servers", "i-0");
	for (round = 0; round < ROUNDS; round++) {
		send_pulses(true);
		send_reader(round % READERS,
			    round % READERS ? before : world->version, false);
		harness_run(harness, ROUND_MS);
		if (has_logged("\"event\":\"endpoint-entry-removed\","
			       "\"endpoint\":\"i-0\""))
			return;
	}
	fail_msg("the removal stays unknown");
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(new_reader_names_what_it_was_sent),
		CASE(readers_know_different_versions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
