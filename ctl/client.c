/*
 * Calls of cdmctl to the operators' addresses, one at a time.  A server that
 * can't be reached got nothing, so the next one is tried; an answer that is
 * lost after sending is asked for elsewhere only if the call changes nothing.
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

#define CALL_TIMEOUT_MS 12000 /* a commit may take that long */
#define CONNECT_TIMEOUT_MS 1000

/* One exchange in progress. */
struct exchange {
	bool over;
	enum httpc_outcome outcome;
	struct client_answer *answer;
};

static void call_one(const char *address, const char *method, const char *path,
		     const void *body, size_t len,
		     struct client_answer *answer);
static void on_done(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len);
static void explain_failure(const char *address, enum httpc_outcome outcome,
			    struct client_answer *answer);

/* Calls the first server that can be reached.  The caller releases the
 * answer. */
void client_call(struct client *c, const char *method, const char *path,
		 const void *body, size_t len, struct client_answer *answer)
{
	bool repeatable = !strcmp(method, "GET");
	size_t i;

	for (i = 0; i < c->n_servers; i++) {
		call_one(c->servers[i], method, path, body, len, answer);
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

/* Reads a path of one server. */
void client_get(const char *address, const char *path,
		struct client_answer *answer)
{
	call_one(address, "GET", path, NULL, 0, answer);
}

void client_release(struct client_answer *answer)
{
	json_decref(answer->json);
	answer->json = NULL;
}

/* Returns the word as it goes into a query; the caller frees it. */
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

/* Runs a loop for one exchange. */
static void call_one(const char *address, const char *method, const char *path,
		     const void *body, size_t len, struct client_answer *answer)
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
	while (!x.over)
		uv_run(&loop, UV_RUN_ONCE);
	if (x.outcome != HTTPC_OK)
		explain_failure(address, x.outcome, answer);
	httpc_free(client);
	for (i = 0; i < 10 && uv_loop_close(&loop); i++)
		uv_run(&loop, UV_RUN_NOWAIT);
}

static void on_done(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len)
{
	struct exchange *x = arg;
	const char *error;

	x->over = true;
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

/* Says what came of an exchange without answer. */
static void explain_failure(const char *address, enum httpc_outcome outcome,
			    struct client_answer *answer)
{
	answer->outcome = outcome == HTTPC_CONNECT_FAILED ? CLIENT_UNREACHABLE
							  : CLIENT_LOST;
	snprintf(answer->error, sizeof(answer->error),
		 outcome == HTTPC_CONNECT_FAILED
			 ? "cdmfleetd at %s can't be reached"
			 : "cdmfleetd at %s was asked, but its answer did not "
			   "come",
		 address);
}
