/* Tests how a cdmproxyd process handles datagrams of other instances, which the
 * test simulates. */
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

#include <xxhash.h>

#include "proto/peer.pb-c.h"
#include "regress/platform_standin.h"

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	if (one.proc)
		proc_kill(one.proc);
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Writes the store entry of a simulated instance. */
static void list_instance(const char *name)
{
	standin_put_instance_entry(world, name, harness_address(harness),
				   harness_address(harness),
				   harness_address(harness));
}

/* Sends the load of a simulated instance at an endpoint; 0 tokens: no load. */
static void send_load(const char *name, const char *endpoint, uint32_t tokens)
{
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerPulse pulse = PEER_PULSE__INIT;
	PeerLoad load = PEER_LOAD__INIT;
	PeerLoad *loads[] = { &load };
	struct sockaddr_in sin = { .sin_family = AF_INET };
	uint8_t out[256];
	size_t len;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	load.endpoint = XXH3_64bits(endpoint, strlen(endpoint));
	load.tokens = tokens;
	load.requests = 1;
	pulse.instance = (char *)name;
	pulse.born = 1;
	pulse.version = 2;
	pulse.n_loads = tokens ? 1 : 0;
	pulse.loads = loads;
	d.pulse = &pulse;
	len = peer_datagram__pack(&d, out);
	sin.sin_port = htons((uint16_t)atoi(strchr(one.peers, ':') + 1));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(sendto(fd, out, len, 0, (struct sockaddr *)&sin,
				sizeof(sin)),
			 len);
	close(fd);
	harness_run(harness, 50);
}

/* Waits until the instance's log contains a text. */
static void wait_logged(const char *what)
{
	bool found = false;
	int tries;

	for (tries = 0; !found && tries < HARNESS_WAIT_MS / 20; tries++) {
		char *log = proc_output(one.proc);

		found = strstr(log, what) != NULL;
		free(log);
		harness_run(harness, 20);
	}
	assert_true(found);
}

/* Sends a streaming request and returns the tokens that the instance computed
 * for the endpoint, its own included. */
static long tokens_at_endpoint(void)
{
	static const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", "r-1" },
		{ "token-usage", "100,30" },
		{ "prompt-prefix", "a:100" },
	};
	const struct httpc_request r = {
		.method = "GET",
		.address = one.callers,
		.path = "/write/a",
		.headers = headers,
		.n_headers = sizeof(headers) / sizeof(headers[0]),
	};
	struct answer a;
	const char *at;
	char *log;
	long tokens;

	harness_request(harness, &r, &a);
	assert_int_equal(a.status, 200);
	answer_release(&a);
	harness_run(harness, 300);
	log = proc_output(one.proc);
	at = strstr(log, "\"event\":\"sent\",\"request\":\"r-1\"");
	assert_non_null(at);
	at = strstr(at, "\"tokens_there\":");
	assert_non_null(at);
	tokens = strtol(at + strlen("\"tokens_there\":"), NULL, 10);
	free(log);
	return tokens;
}

/* A load received before its endpoint is known is not counted, and must not be
 * subtracted later from the loads of other instances at the endpoint. */
static void load_at_an_unknown_endpoint(void **state)
{
	struct standin_worker *w;

	(void)state;
	list_instance("two");
	list_instance("three");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	send_load("two", "i-0", 1000);
	w = standin_add_worker(world, "engine", "z1");
	assert_string_equal(w->id, "i-0");
	wait_logged("\"event\":\"endpoint-entry\"");
	send_load("three", "i-0", 5000);
	send_load("two", "i-0", 0);
	assert_int_equal(tokens_at_endpoint(), 5130);
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(load_at_an_unknown_endpoint),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
