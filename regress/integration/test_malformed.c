/* Malformed HTTP, bodies and frames are refused with clear errors and crash no
 * process. */
#include <arpa/inet.h>
#include <poll.h>
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

#include "lib/xalloc.h"
#include "proto/control.pb-c.h"
#include "regress/harness_fleet.h"
#include "regress/random.h"

#define READ_MS 2000
#define BIG_BYTES (5u << 20)
#define NESTING_DEPTH 100000
#define RANDOM_FRAMES 400
#define FRAME_HEAD 5
#define TYPES 24 /* more than the protocol defines */

static struct fleet *fleet;

static int set_up_all(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 1,
		.n_zones = 1,
		.n_engines = 1,
		.n_services = 1,
		.n_organisations = 1,
	};

	(void)state;
	fleet = harness_fleet(harness_new(), &options);
	return 0;
}

static int tear_down_all(void **state)
{
	struct harness *h = fleet->harness;

	(void)state;
	fleet_free(fleet);
	harness_free(h);
	return 0;
}

/* Checks that no process has exited and requests are served. */
static void expect_alive(const char *after)
{
	struct fleet_instance *in = &fleet->instances[0];

	if (!proc_running(in->entryd) || !proc_running(in->fleetd))
		fail_msg("a process exited after: %s", after);
	fleet_wait_serving(fleet, 0);
}

/* Connects with a blocking socket. */
static int connect_blocking(const char *address)
{
	const char *colon = strchr(address, ':');
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

/* Writes data until the peer closes the connection. */
static void send_bytes(int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		p += n;
		len -= (size_t)n;
	}
}

/* Reads the first bytes of a response; returns their number, 0 if the
 * connection was closed or nothing was received in READ_MS. */
static size_t receive_bytes(int fd, char *buf, size_t size)
{
	struct pollfd pfd = { .fd = fd, .events = POLLIN };
	ssize_t n = 0;

	if (poll(&pfd, 1, READ_MS) == 1)
		n = recv(fd, buf, size - 1, 0);
	buf[n > 0 ? n : 0] = '\0';
	return n > 0 ? (size_t)n : 0;
}

static void malformed_http(void **state)
{
	static const struct {
		const char *name;
		const char *text;
		int status; /* 0: the connection is closed */
	} cases[] = {
		{ "no request", "\r\n\r\n\r\n", 0 },
		{ "garbage", "\x16\x03\x01\x02garbage\r\n\r\n", 0 },
		{ "no version", "GET /v1/entries\r\n\r\n", 0 },
		{ "negative length",
		  "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
		  "Content-Length: -5\r\n\r\n",
		  400 },
		{ "length of letters",
		  "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
		  "Content-Length: many\r\n\r\n",
		  400 },
		{ "length beyond all",
		  "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
		  "Content-Length: 99999999999\r\n\r\n",
		  413 },
		{ "chunks of letters",
		  "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
		  "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n",
		  0 },
		{ "unfinished frames of HTTP/2",
		  "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x01\x02\x03", 0 },
	};
	char buf[4096];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int fd = connect_blocking(fleet->instances[0].entry);

		send_bytes(fd, cases[i].text, strlen(cases[i].text));
		shutdown(fd, SHUT_WR);
		receive_bytes(fd, buf, sizeof(buf));
		if (cases[i].status && strncmp(buf, "HTTP/1.1 ", 9) == 0 &&
		    atoi(buf + 9) != cases[i].status)
			fail_msg("%s: %s", cases[i].name, buf);
		close(fd);
		expect_alive(cases[i].name);
	}
}

struct body_case {
	const char *name;
	const char *body;
	const char *authorization;
	const char *header; /* an additional header, or NULL */
	const char *value;
	int status;
};

#define AUTHORIZATION "Bearer key-org-1"
#define VALID_FIELDS "\"model\":\"" FLEET_MODEL "\",\"prompt\":\"p\""

static const struct body_case body_cases[] = {
	{ "empty", "", AUTHORIZATION, NULL, NULL, 400 },
	{ "not JSON", "{\"model\":", AUTHORIZATION, NULL, NULL, 400 },
	{ "an array", "[1,2]", AUTHORIZATION, NULL, NULL, 400 },
	{ "not UTF-8", "{\"model\":\"\xff\xfe\"}", AUTHORIZATION, NULL, NULL,
	  400 },
	{ "no model", "{\"prompt\":\"p\"}", AUTHORIZATION, NULL, NULL, 400 },
	{ "model of another type", "{\"model\":7,\"prompt\":\"p\"}",
	  AUTHORIZATION, NULL, NULL, 400 },
	{ "unknown model", "{\"model\":\"none\",\"prompt\":\"p\"}",
	  AUTHORIZATION, NULL, NULL, 404 },
	{ "no prompt", "{\"model\":\"" FLEET_MODEL "\"}", AUTHORIZATION, NULL,
	  NULL, 400 },
	{ "empty prompt", "{\"model\":\"" FLEET_MODEL "\",\"prompt\":\"\"}",
	  AUTHORIZATION, NULL, NULL, 400 },
	{ "prompt of another type",
	  "{\"model\":\"" FLEET_MODEL "\",\"prompt\":[1]}", AUTHORIZATION, NULL,
	  NULL, 400 },
	{ "no tokens", "{" VALID_FIELDS ",\"max_tokens\":0}", AUTHORIZATION,
	  NULL, NULL, 400 },
	{ "fewer than none", "{" VALID_FIELDS ",\"max_tokens\":-3}",
	  AUTHORIZATION, NULL, NULL, 400 },
	{ "too many", "{" VALID_FIELDS ",\"max_tokens\":9000000000000}",
	  AUTHORIZATION, NULL, NULL, 400 },
	{ "tokens by name", "{" VALID_FIELDS ",\"max_tokens\":\"ten\"}",
	  AUTHORIZATION, NULL, NULL, 400 },
	{ "deadline by name", "{" VALID_FIELDS "}", AUTHORIZATION,
	  "x-deadline-ms", "soon", 400 },
	{ "cursor without stream", "{" VALID_FIELDS "}", AUTHORIZATION,
	  "last-event-id", "x", 400 },
	{ "not a cursor", "{" VALID_FIELDS ",\"stream\":true}", AUTHORIZATION,
	  "last-event-id", "%n%n%s.....", 400 },
	{ "no organisation", "{" VALID_FIELDS "}", NULL, NULL, NULL, 401 },
	{ "unknown organisation", "{" VALID_FIELDS "}", "Bearer nobody", NULL,
	  NULL, 401 },
	{ "another scheme", "{" VALID_FIELDS "}", "Basic a2V5", NULL, NULL,
	  401 },
};

/* Sends one body; expects a refusal with a reason and that no run started. */
static void expect_refused(const char *name, const struct httpc_request *r,
			   int status)
{
	const char *run;
	struct answer a;

	harness_request(fleet->harness, r, &a);
	if (a.status != status)
		fail_msg("%s: status %d: %s", name, a.status,
			 a.body ? a.body : "");
	run = json_string_value(json_object_get(a.json, "run"));
	if (!run || strcmp(run, "ran") == 0 ||
	    !json_string_length(json_object_get(a.json, "detail")))
		fail_msg("%s: %s", name, a.body ? a.body : "");
	answer_release(&a);
	expect_alive(name);
}

static void malformed_bodies(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(body_cases) / sizeof(body_cases[0]); i++) {
		const struct body_case *bc = &body_cases[i];
		struct httpc_header headers[2];
		struct httpc_request r = {
			.method = "POST",
			.address = fleet->instances[0].entry,
			.path = "/v1/completions",
			.headers = headers,
			.body = bc->body,
			.body_len = strlen(bc->body),
		};

		if (bc->authorization)
			headers[r.n_headers++] =
				(struct httpc_header){ "authorization",
						       bc->authorization };
		if (bc->header)
			headers[r.n_headers++] =
				(struct httpc_header){ bc->header, bc->value };
		expect_refused(bc->name, &r, bc->status);
	}
	assert_int_equal(fleet_prompt_runs(fleet, "p"), 0);
}

/* Returns a body of len bytes of one character. */
static char *fill(char c, size_t len)
{
	char *text = xcalloc(len + 1, 1);

	memset(text, c, len);
	return text;
}

static void oversized_bodies(void **state)
{
	static const struct httpc_header headers[] = { { "authorization",
							 AUTHORIZATION } };
	struct httpc_request r = {
		.method = "POST",
		.address = fleet->instances[0].entry,
		.path = "/v1/completions",
		.headers = headers,
		.n_headers = 1,
	};
	struct answer a;
	char *body = fill('[', NESTING_DEPTH);

	(void)state;
	r.body = body;
	r.body_len = NESTING_DEPTH;
	expect_refused("deep nesting", &r, 400);
	free(body);
	body = fill('x', BIG_BYTES);
	r.body = body;
	r.body_len = BIG_BYTES;
	harness_request(fleet->harness, &r, &a);
	/* refused during the upload: response and close come in any order */
	assert_true(a.status == 413 || a.status == 0);
	answer_release(&a);
	free(body);
	expect_alive("a body that is too large");
}

/* Builds a frame with the given, possibly wrong, length; returns its size. */
static size_t make_frame(uint8_t *out, uint32_t length, uint8_t type,
			 const void *payload, size_t len)
{
	uint32_t be = htonl(length);

	memcpy(out, &be, sizeof(be));
	out[4] = type;
	memcpy(out + FRAME_HEAD, payload, len);
	return FRAME_HEAD + len;
}

/* Builds a random frame of any type, some with a wrong length; returns its
 * size. */
static size_t random_frame(struct random_source *rnd, uint8_t *out)
{
	uint8_t payload[256];
	size_t len = random_below(rnd, sizeof(payload));
	uint32_t length = (uint32_t)len;
	size_t i;

	for (i = 0; i < len; i++)
		payload[i] = (uint8_t)(random_below(rnd, 4)
					       ? random_below(rnd, 32)
					       : random_below(rnd, 256));
	if (random_below(rnd, 8) == 0)
		length = random_below(rnd, UINT32_MAX);
	return make_frame(out, length, (uint8_t)random_below(rnd, TYPES),
			  payload, len);
}

static void malformed_frames_to_fleetd(void **state)
{
	struct random_source rnd = { .seed = 11 };
	uint8_t frame[512];
	int i;

	(void)state;
	for (i = 0; i < RANDOM_FRAMES; i++) {
		int fd = connect_blocking(fleet->instances[0].control);
		size_t len = random_frame(&rnd, frame);

		send_bytes(fd, frame, len);
		len = random_frame(&rnd, frame);
		send_bytes(fd, frame, len / 2);
		close(fd);
	}
	expect_alive("frames to the control address");
}

/* A fake cdmfleetd that sends malformed frames to a cdmentryd. */
struct fake_fleetd {
	int listener;
	const char *address;
	struct proc *entryd;
	const char *operator_address;
};

static void fake_fleetd_start(struct fake_fleetd *fake)
{
	struct harness *h = fleet->harness;
	struct sockaddr_in sin = { .sin_family = AF_INET };
	const char *file;
	int on = 1;

	fake->address = harness_address(h);
	fake->operator_address = harness_address(h);
	fake->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fake->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sin.sin_port = htons(
		(uint16_t)strtoul(strchr(fake->address, ':') + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		bind(fake->listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(fake->listener, 8), 0);
	file = harness_file(h, "misled.toml",
			    "instance = \"misled\"\nzone = \"zone-1\"\n"
			    "fleet_address = \"%s\"\n"
			    "listen_address = \"%s\"\n"
			    "operator_address = \"%s\"\n"
			    "platform_address = \"%s\"\n",
			    fake->address, harness_address(h),
			    fake->operator_address, fleet->platform);
	fake->entryd = HARNESS_START(h, "misled", "cdmentryd", "-f", file);
}

/* Accepts the next connection of cdmentryd and sends it the given bytes. */
static void fake_fleetd_send(struct fake_fleetd *fake, const void *data,
			     size_t len)
{
	struct pollfd pfd = { .fd = fake->listener, .events = POLLIN };
	char hello[512];
	int fd;

	if (poll(&pfd, 1, HARNESS_WAIT_MS) != 1)
		fail_msg("cdmentryd does not reconnect");
	fd = accept(fake->listener, NULL, NULL);
	receive_bytes(fd, hello, sizeof(hello));
	send_bytes(fd, data, len);
	shutdown(fd, SHUT_WR);
	/* wait until the peer closes */
	receive_bytes(fd, hello, sizeof(hello));
	close(fd);
}

/* Sends a snapshot that contains the given configuration. */
static void fake_fleetd_send_config(struct fake_fleetd *fake,
				    const char *config)
{
	Cdm__Snapshot m = CDM__SNAPSHOT__INIT;
	uint8_t *payload;
	uint8_t *frame;
	size_t len;

	m.sequence = 1;
	m.config_version = 7;
	m.has_config = 1;
	m.config.data = (uint8_t *)(uintptr_t)config;
	m.config.len = strlen(config);
	len = cdm__snapshot__get_packed_size(&m);
	payload = xcalloc(len + 1, 1);
	frame = xcalloc(len + FRAME_HEAD, 1);
	cdm__snapshot__pack(&m, payload);
	fake_fleetd_send(fake, frame,
			 make_frame(frame, (uint32_t)len,
				    CDM__FRAME_TYPE__FRAME_SNAPSHOT, payload,
				    len));
	free(payload);
	free(frame);
}

static void malformed_frames_to_entryd(void **state)
{
	struct random_source rnd = { .seed = 12 };
	struct fake_fleetd fake;
	uint8_t frame[512];
	struct answer a;
	int i;

	(void)state;
	fake_fleetd_start(&fake);
	fake_fleetd_send_config(&fake, "this is = = not TOML");
	fake_fleetd_send_config(&fake, "[[endpoint]]\nname = \"no service\"\n");
	for (i = 0; i < 12; i++)
		fake_fleetd_send(&fake, frame, random_frame(&rnd, frame));
	assert_true(proc_running(fake.entryd));
	harness_run(fleet->harness, 1); /* updates the loop's clock */
	harness_call(fleet->harness, "GET", fake.operator_address, "/health",
		     NULL, &a);
	assert_int_equal(a.status, 503); /* it has no configuration */
	answer_release(&a);
	assert_int_equal(proc_stop(fake.entryd), 0);
	close(fake.listener);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(malformed_http),
		cmocka_unit_test(malformed_bodies),
		cmocka_unit_test(oversized_bodies),
		cmocka_unit_test(malformed_frames_to_fleetd),
		cmocka_unit_test(malformed_frames_to_entryd),
	};

	return cmocka_run_group_tests(tests, set_up_all, tear_down_all);
}
