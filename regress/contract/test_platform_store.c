/* Tests the client of the platform's store against a server with scripted
 * answers: outcomes, paging, rows that cannot be decoded, and the requests
 * sent. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/http1_server.h"
#include "lib/xalloc.h"
#include "platform/platform.h"
#include "regress/harness.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))

/* {"backend":"s","address":"1.2.3.4:5","zone":"z","state":"ready"} */
#define GOOD                                                               \
	"eyJiYWNrZW5kIjoicyIsImFkZHJlc3MiOiIxLjIuMy40OjUiLCJ6b25lIjoieiIs" \
	"InN0YXRlIjoicmVhZHkifQ=="

/* An answer, as the body of another one. */
#define WHOLE                                           \
	"HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\n" \
	"{\"rows\":[],\"ver\":5}"

/* Reaction of the server to a call. */
enum server_reply {
	REPLY_SENT,
	REPLY_ABORTED,
	REPLY_NONE,
};

struct script {
	enum server_reply reply;
	int status;
	const char *body;
};

struct result {
	bool finished;
	enum store_outcome outcome;
	size_t n;
	uint64_t version;
	char keys[8][16];
	bool removed[8];
	bool endpoint[8];
	bool problem[8];
};

static struct harness *harness;
static struct http1_server *server;
static struct http1_client *client;
static struct store *store;
static struct script script[4];
static const char *headers[4]; /* lines added to the answers, or NULL */
static char targets[4][128];
static char last_body[512];
static size_t n_calls;

static void on_request(struct http1_conn *c, struct http1_request *r, void *arg)
{
	const struct script *s = &script[n_calls];

	(void)arg;
	assert_true(n_calls < N(script));
	snprintf(targets[n_calls++], sizeof(targets[0]), "%.*s",
		 (int)r->head.target_len, r->head.target);
	snprintf(last_body, sizeof(last_body), "%.*s", (int)r->body_len,
		 r->body_len ? r->body : "");
	if (s->reply == REPLY_SENT)
		http1_reply(c, s->status, headers[n_calls - 1], s->body,
			    strlen(s->body));
	else if (s->reply == REPLY_ABORTED)
		http1_abort(c);
}

static void on_gone(void *owner)
{
	(void)owner;
}

static int set_up(void **state)
{
	static const struct http1_server_ops ops = {
		.on_request = on_request,
		.on_gone = on_gone,
	};
	const char *address;
	char err[128];

	(void)state;
	harness = harness_new();
	address = harness_address(harness);
	server = http1_server_new(harness_loop(harness), &ops, NULL);
	assert_int_equal(http1_server_listen(server, address, err, sizeof(err)),
			 0);
	client = http1_client_new(harness_loop(harness));
	store = platform_store_new(client, harness_loop(harness), address);
	return 0;
}

static int reset(void **state)
{
	(void)state;
	n_calls = 0;
	memset(script, 0, sizeof(script));
	memset(headers, 0, sizeof(headers));
	store->era = 0;
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	http1_client_free(client);
	http1_server_free(server);
	harness_run(harness, 20);
	harness_free(harness);
	return 0;
}

static void record_rows(void *arg, enum store_outcome outcome,
			const struct store_row *rows, size_t n,
			uint64_t version)
{
	struct result *r = arg;
	size_t i;

	r->finished = true;
	r->outcome = outcome;
	r->n = n;
	r->version = version;
	for (i = 0; i < n && i < N(r->keys); i++) {
		snprintf(r->keys[i], sizeof(r->keys[i]), "%s", rows[i].key);
		r->removed[i] = rows[i].removed;
		r->endpoint[i] = rows[i].endpoint != NULL;
		r->problem[i] = rows[i].problem[0] != '\0';
	}
}

static void record_outcome(void *arg, enum store_outcome outcome)
{
	struct result *r = arg;

	r->finished = true;
	r->outcome = outcome;
}

static bool is_finished(void *arg)
{
	http1_client_tick(client);
	store->ops->tick(store);
	return ((struct result *)arg)->finished;
}

static void wait_for(struct result *r)
{
	harness_until(harness, is_finished, r, "the call ends");
}

static void outcomes(void **state)
{
	static const struct {
		struct script script;
		enum store_outcome outcome;
	} cases[] = {
		{ { REPLY_SENT, 200, "{\"rows\":[],\"ver\":5}" }, STORE_OK },
		{ { REPLY_SENT, 410, "{}" }, STORE_HISTORY_LOST },
		{ { REPLY_SENT, 429, "" }, STORE_REFUSED },
		{ { REPLY_SENT, 503, "" }, STORE_REFUSED },
		{ { REPLY_SENT, 200, "" }, STORE_MALFORMED },
		{ { REPLY_SENT, 200, "{\"rows\":7}" }, STORE_MALFORMED },
		{ { REPLY_SENT, 200, "<html>" }, STORE_MALFORMED },
		{ { REPLY_SENT, 600, "" }, STORE_UNREACHABLE },
		{ { REPLY_SENT, 999, "" }, STORE_UNREACHABLE },
		{ { REPLY_SENT, 101, WHOLE }, STORE_UNREACHABLE },
		{ { REPLY_ABORTED, 0, NULL }, STORE_UNREACHABLE },
		{ { REPLY_NONE, 0, NULL }, STORE_UNREACHABLE },
	};
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++) {
		struct result r = { .finished = false };

		n_calls = 0;
		script[0] = cases[i].script;
		store->ops->follow(store, STORE_ENDPOINTS, 4, 10, record_rows,
				   &r);
		wait_for(&r);
		if (r.outcome != cases[i].outcome)
			fail_msg("case %zu: %s", i,
				 store_outcome_name(r.outcome));
		assert_string_equal(
			targets[0],
			"/rows-feed?table=servers&after=4&waitMs=10");
	}
}

/* All pages are requested.  The key that ends one page and begins the next is
 * delivered once, and the version is that of the first page. */
static void pages(void **state)
{
	struct result r = { .finished = false };

	(void)state;
	script[0] = (struct script){
		REPLY_SENT, 200,
		"{\"rows\":[{\"key\":\"a\",\"value\":\"" GOOD "\",\"ver\":1},"
		"{\"key\":\"b\",\"value\":\"" GOOD "\",\"ver\":2}],"
		"\"hasMore\":true,\"ver\":7}"
	};
	script[1] = (struct script){
		REPLY_SENT, 200,
		"{\"rows\":[{\"key\":\"b\",\"value\":\"" GOOD "\",\"ver\":2},"
		"{\"key\":\"c\",\"value\":\"" GOOD "\",\"ver\":9}],"
		"\"hasMore\":false,\"ver\":9}"
	};
	store->ops->list(store, STORE_ENDPOINTS, record_rows, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, STORE_OK);
	assert_int_equal(r.n, 3);
	assert_int_equal(r.version, 7);
	assert_string_equal(r.keys[0], "a");
	assert_string_equal(r.keys[1], "b");
	assert_string_equal(r.keys[2], "c");
	assert_non_null(strstr(targets[1], "&from=b"));
}

/* A page ends with a key of another writer that has characters with a meaning
 * in a request: the next page is requested with the key escaped. */
static void page_that_ends_with_an_odd_key(void **state)
{
	struct result r = { .finished = false };

	(void)state;
	script[0] = (struct script){
		REPLY_SENT, 200,
		"{\"rows\":[{\"key\":\"a &b=%\\r\\n\xc3\xa9\",\"value\":\"" GOOD
		"\",\"ver\":1}],\"hasMore\":true,\"ver\":7}"
	};
	script[1] = (struct script){
		REPLY_SENT, 200,
		"{\"rows\":[{\"key\":\"i-1\",\"value\":\"" GOOD
		"\",\"ver\":2}],\"hasMore\":false,\"ver\":7}"
	};
	store->ops->list(store, STORE_ENDPOINTS, record_rows, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, STORE_OK);
	assert_int_equal(r.n, 2);
	assert_string_equal(r.keys[1], "i-1");
	assert_non_null(strstr(targets[1], "&from=a%20%26b%3D%25%0D%0A%C3%A9"));
}

/* Rows that cannot be decoded have a problem text; the others are delivered. */
static void unreadable_rows(void **state)
{
	struct result r = { .finished = false };

	(void)state;
	script[0] = (struct script){
		REPLY_SENT, 200,
		"{\"rows\":[{\"key\":\"gone\",\"deleted\":true,\"ver\":3},"
		"{\"key\":\"base64\",\"value\":\"!\",\"ver\":4},"
		"{\"key\":\"json\",\"value\":\"AAAA\",\"ver\":5},"
		"{\"key\":\"none\",\"ver\":6},"
		"{\"key\":\"good\",\"value\":\"" GOOD "\",\"ver\":7}],"
		"\"ver\":8}"
	};
	store->ops->follow(store, STORE_ENDPOINTS, 2, 10, record_rows, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, STORE_OK);
	assert_int_equal(r.n, 5);
	assert_true(r.removed[0]);
	assert_false(r.problem[0]);
	assert_true(r.problem[1] && r.problem[2] && r.problem[3]);
	assert_false(r.endpoint[1] || r.endpoint[2] || r.endpoint[3]);
	assert_true(r.endpoint[4]);
	assert_int_equal(r.version, 8);
}

/* An instance's own entry is written and removed unconditionally: it has one
 * writer, which writes again if an answer is lost. */
static void own_entry(void **state)
{
	const struct instance_entry entry = {
		.callers = "1.2.3.4:5",
		.peers = "1.2.3.4:6",
		.control = "1.2.3.4:7",
		.zone = "z",
	};
	struct result r = { .finished = false };
	const json_t *expected;
	json_t *root;

	(void)state;
	script[0] = script[1] =
		(struct script){ REPLY_SENT, 200, "{\"ver\":1,\"nowMs\":2}" };
	store->ops->put_instance(store, "me", &entry, record_outcome, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, STORE_OK);
	assert_int_equal(store->written, 1);
	assert_string_equal(targets[0], "/rows-tx");
	root = json_loads(last_body, 0, NULL);
	assert_int_equal(json_array_size(json_object_get(root, "puts")), 1);
	assert_int_equal(json_array_size(json_object_get(root, "expectedRev")),
			 0);
	json_decref(root);
	r.finished = false;
	store->ops->remove_entry(store, "me", 0, record_outcome, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, STORE_OK);
	root = json_loads(last_body, 0, NULL);
	assert_int_equal(json_array_size(json_object_get(root, "remove")), 1);
	assert_int_equal(json_array_size(json_object_get(root, "expectedRev")),
			 0);
	json_decref(root);
	script[2] = (struct script){ REPLY_SENT, 412, "{\"rows\":[]}" };
	r.finished = false;
	store->ops->remove_entry(store, "me", 7, record_outcome, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, STORE_CHANGED);
	root = json_loads(last_body, 0, NULL);
	assert_int_equal(json_array_size(json_object_get(root, "remove")), 1);
	expected = json_array_get(json_object_get(root, "expectedRev"), 0);
	assert_string_equal(json_string_value(json_object_get(expected, "key")),
			    "me");
	assert_int_equal(json_integer_value(json_object_get(expected, "ver")),
			 7);
	json_decref(root);
}

/* The condition of a transaction names the rows that have to have a version. */
static void conditional_removals(void **state)
{
	const struct stream_row rows[] = {
		{ .key = "a", .version = 5 },
		{ .key = "b" },
	};
	struct result r = { .finished = false };
	const json_t *expected;
	json_t *root;

	(void)state;
	script[0] = (struct script){ REPLY_SENT, 412, "{\"rows\":[]}" };
	store->ops->put_streams(store, rows, N(rows), record_outcome, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, STORE_CHANGED);
	root = json_loads(last_body, 0, NULL);
	assert_int_equal(json_array_size(json_object_get(root, "remove")), 2);
	expected = json_object_get(root, "expectedRev");
	assert_int_equal(json_array_size(expected), 1);
	expected = json_array_get(expected, 0);
	assert_string_equal(json_string_value(json_object_get(expected, "key")),
			    "a");
	assert_string_equal(
		json_string_value(json_object_get(expected, "part")),
		"streams");
	assert_int_equal(json_integer_value(json_object_get(expected, "ver")),
			 5);
	json_decref(root);
}

/* The newest era of any answer is kept, whatever its status.  An answer of an
 * older one fails the call, and so do pages of two eras. */
static void eras(void **state)
{
	static const struct {
		const char *header;
		int status;
		enum store_outcome outcome;
		uint64_t era; /* known after the answer */
	} cases[] = {
		{ NULL, 200, STORE_OK, 0 },
		{ "store-era: 4\r\n", 200, STORE_OK, 4 },
		{ "Store-Era: 6\r\n", 503, STORE_REFUSED, 6 },
		{ "store-era: 5\r\n", 200, STORE_OLD_ERA, 6 },
		{ "store-era: 5\r\n", 410, STORE_OLD_ERA, 6 },
		{ "store-era: x\r\n", 200, STORE_OK, 6 },
		{ "store-era: -1\r\n", 200, STORE_OK, 6 },
		{ NULL, 200, STORE_OK, 6 },
		{ "store-era: 7\r\n", 410, STORE_HISTORY_LOST, 7 },
	};
	struct result r;
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++) {
		r.finished = false;
		n_calls = 0;
		script[0] = (struct script){ REPLY_SENT, cases[i].status,
					     "{\"rows\":[],\"ver\":5}" };
		headers[0] = cases[i].header;
		store->ops->follow(store, STORE_ENDPOINTS, 4, 10, record_rows,
				   &r);
		wait_for(&r);
		if (r.outcome != cases[i].outcome || store->era != cases[i].era)
			fail_msg("case %zu: %s, era %llu", i,
				 store_outcome_name(r.outcome),
				 (unsigned long long)store->era);
	}
}

static void pages_of_two_eras(void **state)
{
	struct result r = { .finished = false };

	(void)state;
	script[0] = (struct script){ REPLY_SENT, 200,
				     "{\"rows\":[{\"key\":\"a\",\"ver\":1}],"
				     "\"hasMore\":true,\"ver\":7}" };
	script[1] = (struct script){ REPLY_SENT, 200,
				     "{\"rows\":[{\"key\":\"b\",\"ver\":2}],"
				     "\"hasMore\":false,\"ver\":3}" };
	headers[0] = "store-era: 1\r\n";
	headers[1] = "store-era: 2\r\n";
	store->ops->list(store, STORE_ENDPOINTS, record_rows, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, STORE_OLD_ERA);
	assert_int_equal(r.n, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(outcomes, reset),
		cmocka_unit_test_setup(pages, reset),
		cmocka_unit_test_setup(page_that_ends_with_an_odd_key, reset),
		cmocka_unit_test_setup(unreadable_rows, reset),
		cmocka_unit_test_setup(own_entry, reset),
		cmocka_unit_test_setup(conditional_removals, reset),
		cmocka_unit_test_setup(eras, reset),
		cmocka_unit_test_setup(pages_of_two_eras, reset),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
