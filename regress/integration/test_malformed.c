/* Malformed input of every kind: clear errors, and nothing crashes. */
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
#define DEEP 100000
#define RANDOM_FRAMES 400
#define FRAME_HEAD 5
#define TYPES 24 /* more than there are */

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

/* Nothing has crashed, and requests are served. */
static void expect_alive(const char *after)
{
	struct fleet_instance *in = &fleet->instances[0];

	if (!proc_running(in->entryd) || !proc_running(in->fleetd))
		fail_msg("a process ended after: %s", after);
	fleet_wait_serving(fleet, 0);
}

/* Connects by a socket that blocks. */
static int dial(const char *address)
{
	const char *colon = strchr(address, ':');
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

/* Writes what the peer takes. */
static void put(int fd, const void *data, size_t len)
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

/* Reads an answer's first bytes; returns their number, 0 if the connection
 * was closed or nothing came. */
static size_t get(int fd, char *buf, size_t size)
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
		int fd = dial(fleet->instances[0].entry);

		put(fd, cases[i].text, strlen(cases[i].text));
		shutdown(fd, SHUT_WR);
		get(fd, buf, sizeof(buf));
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
	const char *header; /* one more */
	const char *value;
	int status;
};

#define KEY "Bearer key-org-1"
#define GOOD "\"model\":\"" FLEET_MODEL "\",\"prompt\":\"p\""

static const struct body_case body_cases[] = {
	{ "empty", "", KEY, NULL, NULL, 400 },
	{ "not JSON", "{\"model\":", KEY, NULL, NULL, 400 },
	{ "an array", "[1,2]", KEY, NULL, NULL, 400 },
	{ "not UTF-8", "{\"model\":\"\xff\xfe\"}", KEY, NULL, NULL, 400 },
	{ "no model", "{\"prompt\":\"p\"}", KEY, NULL, NULL, 400 },
	{ "model of another type", "{\"model\":7,\"prompt\":\"p\"}", KEY, NULL,
	  NULL, 400 },
	{ "unknown model", "{\"model\":\"none\",\"prompt\":\"p\"}", KEY, NULL,
	  NULL, 404 },
	{ "no prompt", "{\"model\":\"" FLEET_MODEL "\"}", KEY, NULL, NULL,
	  400 },
	{ "empty prompt", "{\"model\":\"" FLEET_MODEL "\",\"prompt\":\"\"}",
	  KEY, NULL, NULL, 400 },
	{ "prompt of another type",
	  "{\"model\":\"" FLEET_MODEL "\",\"prompt\":[1]}", KEY, NULL, NULL,
	  400 },
	{ "no tokens", "{" GOOD ",\"max_tokens\":0}", KEY, NULL, NULL, 400 },
	{ "fewer than none", "{" GOOD ",\"max_tokens\":-3}", KEY, NULL, NULL,
	  400 },
	{ "too many", "{" GOOD ",\"max_tokens\":9000000000000}", KEY, NULL,
	  NULL, 400 },
	{ "tokens by name", "{" GOOD ",\"max_tokens\":\"ten\"}", KEY, NULL,
	  NULL, 400 },
	{ "deadline by name", "{" GOOD "}", KEY, "x-deadline-ms", "soon", 400 },
	{ "cursor without stream", "{" GOOD "}", KEY, "last-event-id", "x",
	  400 },
	{ "not a cursor", "{" GOOD ",\"stream\":true}", KEY, "last-event-id",
	  "%n%n%s.....", 400 },
	{ "no organisation", "{" GOOD "}", NULL, NULL, NULL, 401 },
	{ "unknown organisation", "{" GOOD "}", "Bearer nobody", NULL, NULL,
	  401 },
	{ "another scheme", "{" GOOD "}", "Basic a2V5", NULL, NULL, 401 },
};

/* Sends one body and expects a refusal that says why, and that nothing ran.
 */
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
							 KEY } };
	struct httpc_request r = {
		.method = "POST",
		.address = fleet->instances[0].entry,
		.path = "/v1/completions",
		.headers = headers,
		.n_headers = 1,
	};
	struct answer a;
	char *body = fill('[', DEEP);

	(void)state;
	r.body = body;
	r.body_len = DEEP;
	expect_refused("deep nesting", &r, 400);
	free(body);
	body = fill('x', BIG_BYTES);
	r.body = body;
	r.body_len = BIG_BYTES;
	harness_request(fleet->harness, &r, &a);
	/* refused while it is sent: the answer or the cut may come first */
	assert_true(a.status == 413 || a.status == 0);
	answer_release(&a);
	free(body);
	expect_alive("a body that is too large");
}

/* Makes a frame with a length of its own choosing; returns its size. */
static size_t make_frame(uint8_t *out, uint32_t length, uint8_t type,
			 const void *payload, size_t len)
{
	uint32_t be = htonl(length);

	memcpy(out, &be, sizeof(be));
	out[4] = type;
	memcpy(out + FRAME_HEAD, payload, len);
	return FRAME_HEAD + len;
}

/* Fills a frame of any type, some with a wrong length. */
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
		int fd = dial(fleet->instances[0].control);
		size_t len = random_frame(&rnd, frame);

		put(fd, frame, len);
		len = random_frame(&rnd, frame);
		put(fd, frame, len / 2);
		close(fd);
	}
	expect_alive("frames to the control address");
}

/* A cdmfleetd that is none. */
struct impostor {
	int listener;
	const char *address;
	struct proc *entryd;
	const char *operator_address;
};

static void impostor_start(struct impostor *im)
{
	struct harness *h = fleet->harness;
	struct sockaddr_in sin = { .sin_family = AF_INET };
	const char *file;
	int on = 1;

	im->address = harness_address(h);
	im->operator_address = harness_address(h);
	im->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(im->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sin.sin_port = htons(
		(uint16_t)strtoul(strchr(im->address, ':') + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		bind(im->listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(im->listener, 8), 0);
	file = harness_file(h, "misled.toml",
			    "instance = \"misled\"\nzone = \"zone-1\"\n"
			    "fleet_address = \"%s\"\n"
			    "listen_address = \"%s\"\n"
			    "operator_address = \"%s\"\n"
			    "platform_address = \"%s\"\n",
			    im->address, harness_address(h),
			    im->operator_address, fleet->platform);
	im->entryd = HARNESS_START(h, "misled", "cdmentryd", "-f", file);
}

/* Takes the next connection of the cdmentryd and sends it some bytes. */
static void impostor_send(struct impostor *im, const void *data, size_t len)
{
	struct pollfd pfd = { .fd = im->listener, .events = POLLIN };
	char hello[512];
	int fd;

	if (poll(&pfd, 1, HARNESS_WAIT_MS) != 1)
		fail_msg("the cdmentryd does not connect again");
	fd = accept(im->listener, NULL, NULL);
	get(fd, hello, sizeof(hello));
	put(fd, data, len);
	shutdown(fd, SHUT_WR);
	get(fd, hello, sizeof(hello)); /* it closes too */
	close(fd);
}

/* Sends a snapshot with this for a configuration. */
static void impostor_config(struct impostor *im, const char *config)
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
	impostor_send(im, frame,
		      make_frame(frame, (uint32_t)len,
				 CDM__FRAME_TYPE__FRAME_SNAPSHOT, payload,
				 len));
	free(payload);
	free(frame);
}

static void malformed_frames_to_entryd(void **state)
{
	struct random_source rnd = { .seed = 12 };
	struct impostor im;
	uint8_t frame[512];
	struct answer a;
	int i;

	(void)state;
	impostor_start(&im);
	impostor_config(&im, "this is = = not TOML");
	impostor_config(&im, "[[endpoint]]\nname = \"no service\"\n");
	for (i = 0; i < 12; i++)
		impostor_send(&im, frame, random_frame(&rnd, frame));
	assert_true(proc_running(im.entryd));
	harness_run(fleet->harness, 1); /* its clock stood still */
	harness_call(fleet->harness, "GET", im.operator_address, "/health",
		     NULL, &a);
	assert_int_equal(a.status, 503); /* it has no configuration */
	answer_release(&a);
	assert_int_equal(proc_stop(im.entryd), 0);
	close(im.listener);
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
