/*
 * Calls that run at most once.  Applies the decisions of policy/claim.c, using
 * a row of the platform's table and at most one request to an endpoint.
 */
#include <bsd/stdlib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "entryd/call.h"
#include "entryd/journal.h"
#include "entryd/orgs.h"
#include "lib/xalloc.h"

#define STORE_RETRY_DELAY_MS 250 /* between tries of a store operation */
#define STORE_RETRY_S 2
#define IN_PROGRESS_RETRY_S 1

/* Context of a store operation.  The call is looked up by its handle, since it
 * may have ended in the meantime. */
struct store_request {
	struct entryd *e;
	struct handle call;
};

static void apply_decision(struct call *c, struct claim_decision d);
static void write_row(struct call *c, const struct claim_record *r,
		      uint64_t if_version);
static void delete_row(struct call *c);
static void read_row(struct call *c);
static struct store_request *store_request_new(struct call *c);
static struct call *store_request_finish(struct store_request *p);
static void on_written(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row);
static void on_read(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row);
static void on_read_for_release(void *arg, enum platform_outcome outcome,
				const struct platform_row *row);
static void on_updated(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row);
static void store_event(struct call *c, enum platform_outcome outcome);
static void handle_row(struct call *c, enum claim_event_type type,
		       const struct platform_row *row);
static void refuse(struct call *c, const struct claim_decision *d);
static void replay(struct call *c);
static void store_answer(struct call *c);
static bool is_closing(const struct call *c);
static enum run_state claim_run_state(enum claim_run run);

/* Starts a call by inserting its claim row. */
void call_claim_begin(struct call *c)
{
	const struct claim_event ev = {
		.type = CLAIM_EV_BEGIN,
		.now = entryd_now(c->e),
	};
	char *request_line = xasprintf("%s %s %s", c->method, c->path,
				       c->type ? c->type : "");
	uint64_t seed = XXH3_64bits(request_line, strlen(request_line));
	uint64_t nonce;

	arc4random_buf(&nonce, sizeof(nonce));
	free(request_line);
	claim_init(&c->claim, nonce,
		   XXH3_64bits_withSeed(c->body, c->body_len, seed),
		   c->deadline_ms, c->first_copy);
	c->row_key = xasprintf("claim/%016" PRIx64 "/%s", c->org_id, c->key);
	call_claim_event(c, &ev);
}

/* Passes an event to the claim and applies the decision. */
void call_claim_event(struct call *c, const struct claim_event *ev)
{
	apply_decision(c, claim_step(&c->claim, &claim_defaults, ev));
}

/* Returns whether the call may still be sent, once the connection is
 * established.  Any other decision is deferred until the exchange has ended. */
bool call_claim_may_send(struct call *c)
{
	const struct claim_event ev = {
		.type = CLAIM_EV_CONNECTED,
		.now = entryd_now(c->e),
	};
	struct claim_decision d;

	uv_update_time(c->e->loop);
	d = claim_step(&c->claim, &claim_defaults, &ev);
	if (d.action == CLAIM_ACT_SEND) {
		journal_add(c->e->journal, c->request, "sent");
		return true;
	}
	c->deferred_decision = d;
	c->deferred_until = entryd_now(c->e);
	return false;
}

/* Applies a deferred decision that is due. */
void call_claim_tick(struct call *c, uint64_t now)
{
	struct claim_decision d = c->deferred_decision;

	if (!c->deferred_until || now < c->deferred_until)
		return;
	c->deferred_until = 0;
	apply_decision(c, d);
}

/* The caller disconnected: nothing more is sent to an endpoint, but the claim
 * row is still brought to its final state. */
void call_claim_cancel(struct call *c)
{
	const struct claim_event ev = {
		.type = CLAIM_EV_CANCELLED,
		.now = entryd_now(c->e),
	};

	call_claim_event(c, &ev);
}

/* Applies one decision. */
static void apply_decision(struct call *c, struct claim_decision d)
{
	const struct claim_record new_record = {
		.row = { .nonce = c->claim.nonce,
			 .body_digest = c->claim.body_digest },
	};
	struct claim_event ev = {
		.type = CLAIM_EV_CONNECT_FAILED,
		.now = entryd_now(c->e),
	};

	switch (d.action) {
	case CLAIM_ACT_NONE:
	case CLAIM_ACT_SEND:
		return;
	case CLAIM_ACT_INSERT:
		write_row(c, &new_record, 0);
		return;
	case CLAIM_ACT_READ:
		read_row(c);
		return;
	case CLAIM_ACT_CONNECT:
		if (!call_send(c))
			call_claim_event(c, &ev);
		return;
	case CLAIM_ACT_REPLY_STORE:
		call_reply(c, c->status, c->answer_type, c->answer,
			   c->answer_len);
		call_release_slot(c, true);
		store_answer(c);
		return;
	case CLAIM_ACT_STORE:
		store_answer(c);
		return;
	case CLAIM_ACT_REPLAY:
		replay(c);
		return;
	case CLAIM_ACT_REFUSE:
		refuse(c, &d);
		call_free(c);
		return;
	case CLAIM_ACT_REFUSE_RELEASE:
		refuse(c, &d);
		call_release_slot(c, false);
		delete_row(c);
		return;
	case CLAIM_ACT_RELEASE:
		delete_row(c);
		return;
	case CLAIM_ACT_CLOSE:
		call_free(c);
		return;
	}
}

/* Writes the row; on_written() or on_updated() receives the outcome. */
static void write_row(struct call *c, const struct claim_record *r,
		      uint64_t if_version)
{
	char *text = claim_record_text(r, c->e->settings->instance);
	const struct platform_write write = {
		.key = c->row_key,
		.value = text,
		.if_version = if_version,
	};
	char nonce[PLATFORM_NONCE_SIZE];
	struct platform *p = c->e->platform;

	platform_nonce(nonce);
	p->ops->write(p, nonce, &write, 1, if_version ? on_updated : on_written,
		      store_request_new(c));
	free(text);
}

/* Deletes this call's row.  If its version is unknown, the row is read first,
 * so that the row of another copy of the call is never deleted. */
static void delete_row(struct call *c)
{
	const struct platform_write write = {
		.key = c->row_key,
		.value = NULL,
		.if_version = c->row_version,
	};
	char nonce[PLATFORM_NONCE_SIZE];
	struct platform *p = c->e->platform;

	if (!c->row_version) {
		p->ops->read(p, c->row_key, on_read_for_release,
			     store_request_new(c));
		return;
	}
	platform_nonce(nonce);
	p->ops->write(p, nonce, &write, 1, on_updated, store_request_new(c));
}

/* Reads the row back. */
static void read_row(struct call *c)
{
	struct platform *p = c->e->platform;

	p->ops->read(p, c->row_key, on_read, store_request_new(c));
}

/* Allocates the context of a store operation. */
static struct store_request *store_request_new(struct call *c)
{
	struct store_request *p = xcalloc(1, sizeof(*p));

	p->e = c->e;
	p->call = c->self;
	return p;
}

/* Frees the context and returns the call, or NULL if it has ended. */
static struct call *store_request_finish(struct store_request *p)
{
	struct call *c = call_get(p->e, p->call);

	free(p);
	return c;
}

/* Handles the outcome of the insert. */
static void on_written(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row)
{
	struct call *c = store_request_finish(arg);
	struct claim_event ev = { .type = CLAIM_EV_INSERTED };

	if (!c)
		return;
	ev.now = entryd_now(c->e);
	if (outcome == PLATFORM_OK) {
		c->row_version = version;
		call_claim_event(c, &ev);
	} else if (outcome == PLATFORM_CONFLICT) {
		handle_row(c, CLAIM_EV_CONFLICT, row);
	} else {
		store_event(c, outcome);
	}
}

/* Handles the outcome of reading the row. */
static void on_read(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row)
{
	struct call *c = store_request_finish(arg);
	struct claim_event ev = { .type = CLAIM_EV_NO_ROW };

	if (!c)
		return;
	ev.now = entryd_now(c->e);
	if (outcome == PLATFORM_OK)
		handle_row(c, CLAIM_EV_ROW, row);
	else if (outcome == PLATFORM_NOT_FOUND)
		call_claim_event(c, &ev);
	else
		store_event(c, outcome);
}

/* Handles the read before a deletion; deletes the row if it is this call's. */
static void on_read_for_release(void *arg, enum platform_outcome outcome,
				const struct platform_row *row)
{
	struct call *c = store_request_finish(arg);
	struct claim_event ev = { .type = CLAIM_EV_STORED };
	struct claim_record r;
	bool ours;

	if (!c)
		return;
	ev.now = entryd_now(c->e);
	if (outcome == PLATFORM_OK) {
		ours = claim_record_parse(row->value, row->value_len, &r) &&
		       r.row.nonce == c->claim.nonce;
		claim_record_release(&r);
		if (ours) {
			c->row_version = row->version;
			delete_row(c);
			return;
		}
	} else if (outcome != PLATFORM_NOT_FOUND) {
		store_event(c, outcome);
		return;
	}
	call_claim_event(c, &ev);
}

/* The answer was stored or the row deleted.  A conflict means that an earlier
 * try of this call took effect, since no other process changes the row. */
static void on_updated(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row)
{
	struct call *c = store_request_finish(arg);
	struct claim_event ev = { .type = CLAIM_EV_STORED };

	(void)version;
	(void)row;
	if (!c)
		return;
	ev.now = entryd_now(c->e);
	if (outcome == PLATFORM_OK || outcome == PLATFORM_CONFLICT)
		call_claim_event(c, &ev);
	else
		store_event(c, outcome);
}

/* Handles a store operation that failed or has an unknown outcome.  While the
 * claim is being stored or released, the next try is deferred by
 * STORE_RETRY_DELAY_MS; a response to the caller is not. */
static void store_event(struct call *c, enum platform_outcome outcome)
{
	const struct claim_event ev = {
		.type = outcome == PLATFORM_UNKNOWN ? CLAIM_EV_STORE_LOST
						    : CLAIM_EV_STORE_REFUSED,
		.now = entryd_now(c->e),
	};
	struct claim_decision d = claim_step(&c->claim, &claim_defaults, &ev);

	if (!is_closing(c)) {
		apply_decision(c, d);
		return;
	}
	if (d.action == CLAIM_ACT_REFUSE_RELEASE) {
		refuse(c, &d);
		call_release_slot(c, false);
		d.action = CLAIM_ACT_RELEASE;
	}
	c->deferred_decision = d;
	c->deferred_until = entryd_now(c->e) + STORE_RETRY_DELAY_MS;
}

/* Passes a row to the claim.  A row that cannot be parsed counts as the claim
 * of another call. */
static void handle_row(struct call *c, enum claim_event_type type,
		       const struct platform_row *row)
{
	struct claim_event ev = { .type = type, .now = entryd_now(c->e) };
	struct claim_record r;

	if (!row || !claim_record_parse(row->value, row->value_len, &r)) {
		ev.row.body_digest = c->claim.body_digest;
		call_claim_event(c, &ev);
		return;
	}
	ev.row = r.row;
	if (r.row.nonce == c->claim.nonce)
		c->row_version = row->version;
	free(c->answer_type);
	free(c->answer);
	c->status = r.status;
	c->answer_type = r.type;
	c->answer = r.answer;
	c->answer_len = r.answer_len;
	c->answer_size = r.answer_len;
	call_claim_event(c, &ev);
}

/* Sends a refusal to the caller.  The claim row may still need an update. */
static void refuse(struct call *c, const struct claim_decision *d)
{
	struct problem problem = {
		.status = 503,
		.run = claim_run_state(d->run),
		.title = "not-sent",
		.detail = claim_reason_text(d->reason),
		.retry_after_s = STORE_RETRY_S,
		.request = c->request,
	};

	if (d->reason == CLAIM_REASON_KEY_REUSED) {
		problem.status = 422;
		problem.title = "key-reused";
		problem.retry_after_s = 0;
	} else if (d->reason == CLAIM_REASON_IN_PROGRESS) {
		problem.status = 409;
		problem.title = "in-progress";
		problem.retry_after_s = IN_PROGRESS_RETRY_S;
	} else if (d->reason == CLAIM_REASON_ANSWER_LOST) {
		problem.status = 502;
		problem.title = "answer-lost";
	} else if (d->reason == CLAIM_REASON_ANSWER_NOT_KEPT) {
		problem.status = 410;
		problem.title = "answer-not-kept";
		problem.retry_after_s = 0;
	}
	journal_add(c->e->journal, c->request, "refused: %s (%s)",
		    problem.detail, run_state_name(problem.run));
	if (!c->req)
		return;
	httpd_on_close(c->req, NULL, NULL);
	problem_reply(c->req, &problem);
	c->req = NULL;
}

/* Replies with the answer that an earlier copy of the call received. */
static void replay(struct call *c)
{
	if (c->req)
		httpd_add_header(c->req, "x-replayed", "true");
	call_reply(c, c->status, c->answer_type, c->answer, c->answer_len);
	call_free(c);
}

/* Stores the answer in the row. */
static void store_answer(struct call *c)
{
	struct claim_record r = {
		.row = { .nonce = c->claim.nonce,
			 .body_digest = c->claim.body_digest,
			 .answered = true,
			 .answer_kept = c->answer_len <= CLAIM_ANSWER_MAX },
		.status = c->status,
		.type = c->answer_type ? c->answer_type : "text/plain",
		.answer = c->answer ? c->answer : "",
		.answer_len = c->answer_len,
	};

	write_row(c, &r, c->row_version);
}

/* Returns whether the caller has its answer and only the row is being
 * updated. */
static bool is_closing(const struct call *c)
{
	return c->claim.state == CLAIM_STORING ||
	       c->claim.state == CLAIM_RELEASING;
}

/* Maps the claim's run state to that of a refusal. */
static enum run_state claim_run_state(enum claim_run run)
{
	switch (run) {
	case CLAIM_NOT_RUN:
		return RUN_NOT_RUN;
	case CLAIM_RAN:
		return RUN_RAN;
	case CLAIM_MAY_HAVE_RUN:
		break;
	}
	return RUN_MAY_HAVE_RUN;
}
