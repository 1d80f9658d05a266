/*
 * Blocking HTTP calls of cdmctl to the operators' addresses.  If the connection
 * to a server fails, nothing was sent and the next server is tried.  If the
 * answer is lost after sending, only a GET is sent to the next server, since
 * the first one may have executed the request.
 */
#include "ctl/client.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uv.h>

#include "lib/httpc.h"
#include "lib/xalloc.h"

#define CALL_TIMEOUT_MS 12000 /* a commit can take this long */
#define CONNECT_TIMEOUT_MS 1000

/* One request in progress. */
struct exchange {
	bool done;
	enum httpc_outcome outcome;
	struct client_answer *answer;
};

static void call_server(const char *address, const char *method,
			const char *path, const void *body, size_t len,
			struct client_answer *answer);
static void on_done(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len);
static void set_failure(const char *address, enum httpc_outcome outcome,
			struct client_answer *answer);

/* Sends a request to the first reachable server.  The answer of the last server
 * tried is returned; the caller releases it. */
void client_call(struct client *c, const char *method, const char *path,
		 const void *body, size_t len, struct client_answer *answer)
{
	bool repeatable = !strcmp(method, "GET");
	size_t i;

	for (i = 0; i < c->n_servers; i++) {
		call_server(c->servers[i], method, path, body, len, answer);
		if (answer->outcome == CLIENT_OK) {
			c->last_server = c->servers[i];
			return;
		}
		if (answer->outcome == CLIENT_LOST && !repeatable)
			return;
		if (i + 1 < c->n_servers)
			client_release(answer);
	}
}

/* Sends a GET to one server; the caller releases the answer. */
void client_get(const char *address, const char *path,
		struct client_answer *answer)
{
	call_server(address, "GET", path, NULL, 0, answer);
}

/* Frees what an answer holds. */
void client_release(struct client_answer *answer)
{
	json_decref(answer->json);
	answer->json = NULL;
}

/* Returns the text percent-encoded for a query; the caller frees it. */
char *client_url_encode(const char *word)
{
	char *out = xcalloc(strlen(word) * 3 + 1, 1);
	char *p = out;

	for (; *word; word++) {
		if (isalnum((unsigned char)*word) || strchr("-._~", *word))
			*p++ = *word;
		else
			p += sprintf(p, "%%%02X", (unsigned char)*word);
	}
	return out;
}

/* Blocks for the given time. */
void client_sleep(uint64_t ms)
{
	struct timespec ts = {
		.tv_sec = (time_t)(ms / 1000),
		.tv_nsec = (long)(ms % 1000) * 1000000,
	};

	nanosleep(&ts, NULL);
}

/* Returns the monotonic clock in milliseconds. */
uint64_t client_now_ms(void)
{
	return uv_hrtime() / 1000000;
}

/* Sends a request to one server, and runs an event loop until it completes. */
static void call_server(const char *address, const char *method,
			const char *path, const void *body, size_t len,
			struct client_answer *answer)
{
	struct httpc_request request = {
		.method = method,
		.address = address,
		.path = path,
		.body = body,
		.body_len = len,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	struct exchange x = { .answer = answer };
	struct httpc *client;
	uv_loop_t loop;
	int i;

	memset(answer, 0, sizeof(*answer));
	uv_loop_init(&loop);
	client = httpc_new(&loop);
	httpc_fetch(client, &request, on_done, &x);
	while (!x.done)
		uv_run(&loop, UV_RUN_ONCE);
	if (x.outcome != HTTPC_OK)
		set_failure(address, x.outcome, answer);
	httpc_free(client);
	for (i = 0; i < 10 && uv_loop_close(&loop); i++)
		uv_run(&loop, UV_RUN_NOWAIT);
}

/* Stores the answer; unless the status is 200, also its field "error". */
static void on_done(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len)
{
	struct exchange *x = arg;
	const char *error;

	x->done = true;
	x->outcome = outcome;
	x->answer->status = status;
	if (outcome != HTTPC_OK)
		return;
	x->answer->json = json_loadb(body, len, 0, NULL);
	error = json_string_value(json_object_get(x->answer->json, "error"));
	if (status != 200)
		snprintf(x->answer->error, sizeof(x->answer->error), "%s",
			 error ? error : "the server gave no reason");
}

/* Sets the outcome and the error message of a request without an answer. */
static void set_failure(const char *address, enum httpc_outcome outcome,
			struct client_answer *answer)
{
	answer->outcome = outcome == HTTPC_CONNECT_FAILED ? CLIENT_UNREACHABLE
							  : CLIENT_LOST;
	snprintf(answer->error, sizeof(answer->error),
		 outcome == HTTPC_CONNECT_FAILED
			 ? "cdmfleetd at %s can't be reached"
			 : "no answer from cdmfleetd at %s after the "
			   "request was sent",
		 address);
}
