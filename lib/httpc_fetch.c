/*
 * Collects the parts of an answer from httpc and delivers it as a whole.
 */
#include "lib/httpc.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define FETCH_MAX_BYTES (16u << 20)

struct fetch {
	void (*done)(void *arg, enum httpc_outcome outcome, int status,
		     const char *body, size_t len);
	void *arg;
	int status;
	char *body;
	size_t len;
	size_t size;
};

static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum httpc_outcome outcome);
static void on_dropped(void *arg);

static const struct httpc_ops fetch_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
	.on_dropped = on_dropped,
};

/* Starts an exchange and calls done exactly once with the whole answer.  An
 * answer of more than FETCH_MAX_BYTES ends as HTTPC_BROKEN. */
void httpc_fetch(struct httpc *c, const struct httpc_request *r,
		 void (*done)(void *arg, enum httpc_outcome outcome, int status,
			      const char *body, size_t len),
		 void *arg)
{
	struct fetch *f = xcalloc(1, sizeof(*f));

	f->done = done;
	f->arg = arg;
	httpc_start(c, r, &fetch_ops, f);
}

/* Stores the status. */
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct fetch *f = arg;

	(void)headers;
	(void)n;
	f->status = status;
}

/* Appends a part of the body; on_end() reports an answer that is too long. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct fetch *f = arg;

	if (f->len > FETCH_MAX_BYTES - len) {
		f->len = FETCH_MAX_BYTES + 1;
		return;
	}
	if (f->size - f->len < len + 1) {
		f->size = (f->len + len + 1) * 2;
		f->body = xreallocarray(f->body, f->size, 1);
	}
	memcpy(f->body + f->len, data, len);
	f->len += len;
	f->body[f->len] = '\0';
}

/* Passes the answer to done and frees the fetch. */
static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct fetch *f = arg;

	if (f->len > FETCH_MAX_BYTES)
		outcome = HTTPC_BROKEN;
	if (outcome == HTTPC_OK)
		f->done(f->arg, outcome, f->status, f->body ? f->body : "",
			f->len);
	else
		f->done(f->arg, outcome, 0, "", 0);
	free(f->body);
	free(f);
}

/* Calls done with HTTPC_DROPPED, so that the caller releases its argument. */
static void on_dropped(void *arg)
{
	on_end(arg, HTTPC_DROPPED);
}
