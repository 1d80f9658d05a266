/* Fuzzes the parser of requests in the completion format.  The functions of the
 * HTTP server that completion.c calls are replaced by stubs. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/completion.h"
#include "entryd/entryd.h"
#include "entryd/orgs.h"
#include "regress/fuzz/fuzz.h"

/* A request; the bytes before the first NUL are the deadline header. */
struct httpd_req {
	const char *deadline; /* or NULL */
	const char *body;
	size_t len;
};

const char *httpd_header(struct httpd_req *req, const char *name)
{
	return strcmp(name, "x-deadline-ms") == 0 ? req->deadline : NULL;
}

const char *httpd_body(const struct httpd_req *req, size_t *len)
{
	*len = req->len;
	return req->body;
}

uint64_t entryd_now(const struct entryd *e)
{
	(void)e;
	return 1000;
}

/* Needed by completion_limit() only, which is not called here. */
struct org *org_at(const struct entryd *e, uint32_t index)
{
	(void)e;
	(void)index;
	abort();
}

void generation_params_release(struct generation_params *ask)
{
	free(ask->prompt);
	free(ask->last_event_id);
	free(ask->received);
	memset(ask, 0, sizeof(*ask));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct httpd_req req = { .body = (const char *)data, .len = size };
	const uint8_t *nul = size ? memchr(data, 0, size) : NULL;
	struct generation_params ask;
	char model[128];
	char why[256];
	int chat;

	if (nul) {
		req.deadline = (const char *)data;
		req.body = (const char *)nul + 1;
		req.len = size - (size_t)(nul + 1 - data);
	}
	for (chat = 0; chat < 2; chat++) {
		why[0] = '\0';
		if (!completion_parse(NULL, &req, chat, &ask, model,
				      sizeof(model), why, sizeof(why))) {
			if (!why[0] || ask.prompt)
				abort();
			continue;
		}
		if (!ask.prompt || !*ask.prompt || !ask.max_tokens ||
		    ask.deadline_ms <= 1000)
			abort();
		generation_params_release(&ask);
	}
	return 0;
}
