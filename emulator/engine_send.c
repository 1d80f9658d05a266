/*
 * Readers of streams: what a stream generates is kept as text, and a reader
 * is a place in that text.  So the same code sends new tokens, replays old
 * ones and catches up after a pause.
 */
#include "emulator/engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define PENDING_MAX_BYTES (256u << 10) /* beyond, a slow reader waits */
#define BATCH_BYTES 16384
#define EVENT_MAX_BYTES 128
#define TOKEN_MAX_BYTES 64 /* of a text that is not from an engine */

static void on_reader_close(void *arg);
static bool place(const struct stream *st, struct reader *r);
static size_t format_events(const struct stream *st, struct reader *r,
			    char *batch);

/* Makes a request the reader of a stream from a position on; the reader that
 * was there before is cut. */
void reader_attach(struct engine *e, struct stream *st, struct httpd_req *req,
		   uint64_t from)
{
	struct reader *r = xcalloc(1, sizeof(*r));
	char salt[17];

	reader_abort(st);
	*r = (struct reader){
		.engine = e, .stream = st->self, .req = req, .next = from
	};
	st->reader = r;
	snprintf(salt, sizeof(salt), "%016llx", (unsigned long long)e->salt);
	httpd_on_close(req, on_reader_close, r);
	httpd_add_header(req, "x-engine-salt", salt);
	httpd_stream_begin(req, 200, "text/event-stream");
	httpd_stream_write(req, ":\n\n", 3);
}

/* Cuts the connection of a stream's reader, if it has one. */
void reader_abort(struct stream *st)
{
	struct reader *r = st->reader;

	if (!r)
		return;
	st->reader = NULL;
	st->unread_ms = standin_now_ms();
	httpd_stream_abort(r->req);
}

/* Ends a reader's answer with an error. */
void reader_fail(struct stream *st, const char *why)
{
	struct reader *r = st->reader;
	char event[256];
	int n;

	if (!r)
		return;
	st->reader = NULL;
	n = snprintf(event, sizeof(event), "data: {\"error\":\"%s\"}\n\n", why);
	httpd_stream_write(r->req, event, (size_t)n);
	httpd_stream_end(r->req);
}

/* Sends a reader the tokens that it lacks, and the end. */
void reader_send(struct stream *st)
{
	struct reader *r = st->reader;
	char batch[BATCH_BYTES];
	size_t n;

	if (!place(st, r))
		return;
	while (r->next < st->chain.position &&
	       httpd_stream_pending(r->req) < PENDING_MAX_BYTES) {
		n = format_events(st, r, batch);
		if (!n)
			break;
		httpd_stream_write(r->req, batch, n);
	}
	if (st->state != STREAM_DONE || r->offset < st->text_len)
		return;
	n = (size_t)snprintf(batch, sizeof(batch),
			     "data: {\"done\":true,\"n\":%llu}\n\n",
			     (unsigned long long)st->chain.position);
	httpd_stream_write(r->req, batch, n);
	st->reader = NULL;
	st->unread_ms = standin_now_ms();
	httpd_stream_end(r->req);
}

/* A reader's request is over. */
static void on_reader_close(void *arg)
{
	struct reader *r = arg;
	struct stream *st = slots_get(&r->engine->streams, r->stream);

	if (st && st->reader == r) {
		st->reader = NULL;
		st->unread_ms = standin_now_ms();
	}
	free(r);
}

/* Finds where a reader's next token begins in the text, counted back from
 * its end; false while the token is not generated yet. */
static bool place(const struct stream *st, struct reader *r)
{
	uint64_t position = st->chain.position;
	size_t at = st->text_len;

	if (r->placed)
		return true;
	if (r->next > position && st->state != STREAM_DONE)
		return false;
	while (position > r->next && at > 0) {
		at--;
		while (at > 0 && st->text[at - 1] != ' ')
			at--;
		position--;
	}
	r->next = position;
	r->offset = at;
	r->placed = true;
	return true;
}

/* Writes as many events as a batch takes; returns its length. */
static size_t format_events(const struct stream *st, struct reader *r,
			    char *batch)
{
	char *p = batch;

	while (r->offset < st->text_len &&
	       (size_t)(batch + BATCH_BYTES - p) >= EVENT_MAX_BYTES) {
		const char *token = st->text + r->offset;
		const char *space =
			memchr(token, ' ', st->text_len - r->offset);
		size_t len = space ? (size_t)(space - token) + 1
				   : st->text_len - r->offset;

		p = stpcpy(p, "data: {\"p\":");
		p += chain_write_number(p, r->next);
		p = stpcpy(p, ",\"t\":\"");
		p = mempcpy(p, token,
			    len < TOKEN_MAX_BYTES ? len : TOKEN_MAX_BYTES);
		p = stpcpy(p, "\"}\n\n");
		r->offset += len;
		r->next++;
	}
	return (size_t)(p - batch);
}
