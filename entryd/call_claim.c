/*
 * Calls that run at most once: carries out what policy/claim.c decides, by the
 * platform's table and one sending to an endpoint.
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

#define STORE_AGAIN_MS 250 /* between tries of one store operation */
#define STORE_RETRY_S 2
#define IN_PROGRESS_RETRY_S 1

/* What an answer of the store is for; the call is looked up by its handle. */
struct pending {
	struct entryd *e;
	struct handle call;
};

static void carry_out(struct call *c, struct claim_decision d);
static void write_row(struct call *c, const struct claim_record *r,
		      uint64_t if_version);
static void delete_row(struct call *c);
static void read_row(struct call *c);
static struct pending *pending_new(struct call *c);
static struct call *pending_take(struct pending *p);
static void on_written(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row);
static void on_read(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row);
static void on_read_for_release(void *arg, enum platform_outcome outcome,
				const struct platform_row *row);
static void on_updated(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row);
static void store_event(struct call *c, enum platform_outcome outcome);
static void take_row(struct call *c, enum claim_event_type type,
		     const struct platform_row *row);
static void refuse(struct call *c, const struct claim_decision *d);
static void replay(struct call *c);
static void store_answer(struct call *c);
static bool is_closing(const struct call *c);
static enum run_state run_of(enum claim_run run);

/* Starts with writing the claim. */
void call_claim_begin(struct call *c)
{
	const struct claim_event ev = {
		.type = CLAIM_EV_BEGIN,
		.now = entryd_now(c->e),
	};
	char *digested = xasprintf("%s %s %s", c->method, c->path,
				   c->type ? c->type : "");
	uint64_t seed = XXH3_64bits(digested, strlen(digested));
	uint64_t nonce;

	arc4random_buf(&nonce, sizeof(nonce));
	free(digested);
	claim_init(&c->claim, nonce,
		   XXH3_64bits_withSeed(c->body, c->body_len, seed),
		   c->deadline_ms, c->first_copy);
	c->row_key = xasprintf("claim/%016" PRIx64 "/%s", c->org_id, c->key);
	call_claim_event(c, &ev);
}

/* Takes an event and carries the decision out. */
void call_claim_event(struct call *c, const struct claim_event *ev)
{
	carry_out(c, claim_step(&c->claim, &claim_defaults, ev));
}

/* Asks, with the connection standing, whether the call may still be sent.
 * What is decided otherwise is carried out when the exchange has ended. */
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
	c->claim_again = d;
	c->claim_again_at = entryd_now(c->e);
	return false;
}

/* Carries out what was put off. */
void call_claim_tick(struct call *c, uint64_t now)
{
	struct claim_decision d = c->claim_again;

	if (!c->claim_again_at || now < c->claim_again_at)
		return;
	c->claim_again_at = 0;
	carry_out(c, d);
}

/* The caller has left: nothing new is sent, but the claim is seen through. */
void call_claim_cancel(struct call *c)
{
	const struct claim_event ev = {
		.type = CLAIM_EV_CANCELLED,
		.now = entryd_now(c->e),
	};

	call_claim_event(c, &ev);
}

/* Carries one decision out. */
static void carry_out(struct call *c, struct claim_decision d)
{
	const struct claim_record fresh = {
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
		write_row(c, &fresh, 0);
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

/* Writes the row; the outcome comes to on_written() or on_updated(). */
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
		      pending_new(c));
	free(text);
}

/* Deletes our row.  Where its version is not known it is read first, so that
 * no other copy's row is ever deleted. */
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
			     pending_new(c));
		return;
	}
	platform_nonce(nonce);
	p->ops->write(p, nonce, &write, 1, on_updated, pending_new(c));
}

/* Reads the row back. */
static void read_row(struct call *c)
{
	struct platform *p = c->e->platform;

	p->ops->read(p, c->row_key, on_read, pending_new(c));
}

/* Remembers which call an answer of the store is for. */
static struct pending *pending_new(struct call *c)
{
	struct pending *p = xcalloc(1, sizeof(*p));

	p->e = c->e;
	p->call = c->self;
	return p;
}

/* Returns the call, or NULL if it is over. */
static struct call *pending_take(struct pending *p)
{
	struct call *c = call_get(p->e, p->call);

	free(p);
	return c;
}

/* The insert has an outcome. */
static void on_written(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row)
{
	struct call *c = pending_take(arg);
	struct claim_event ev = { .type = CLAIM_EV_INSERTED };

	if (!c)
		return;
	ev.now = entryd_now(c->e);
	if (outcome == PLATFORM_OK) {
		c->row_version = version;
		call_claim_event(c, &ev);
	} else if (outcome == PLATFORM_CONFLICT) {
		take_row(c, CLAIM_EV_CONFLICT, row);
	} else {
		store_event(c, outcome);
	}
}

/* The row was read back. */
static void on_read(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row)
{
	struct call *c = pending_take(arg);
	struct claim_event ev = { .type = CLAIM_EV_NO_ROW };

	if (!c)
		return;
	ev.now = entryd_now(c->e);
	if (outcome == PLATFORM_OK)
		take_row(c, CLAIM_EV_ROW, row);
	else if (outcome == PLATFORM_NOT_FOUND)
		call_claim_event(c, &ev);
	else
		store_event(c, outcome);
}

/* The row was read to be deleted, if it is ours. */
static void on_read_for_release(void *arg, enum platform_outcome outcome,
				const struct platform_row *row)
{
	struct call *c = pending_take(arg);
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
 * try of ours took effect, since nobody else changes the row. */
static void on_updated(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row)
{
	struct call *c = pending_take(arg);
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

/* The store gave no answer, or refused.  What is decided about the next try
 * is put off a little, unless it is the caller's answer. */
static void store_event(struct call *c, enum platform_outcome outcome)
{
	const struct claim_event ev = {
		.type = outcome == PLATFORM_UNKNOWN ? CLAIM_EV_STORE_LOST
						    : CLAIM_EV_STORE_REFUSED,
		.now = entryd_now(c->e),
	};
	struct claim_decision d = claim_step(&c->claim, &claim_defaults, &ev);

	if (!is_closing(c)) {
		carry_out(c, d);
		return;
	}
	if (d.action == CLAIM_ACT_REFUSE_RELEASE) {
		refuse(c, &d);
		call_release_slot(c, false);
		d.action = CLAIM_ACT_RELEASE;
	}
	c->claim_again = d;
	c->claim_again_at = entryd_now(c->e) + STORE_AGAIN_MS;
}

/* Gives a row to the claim; one that cannot be read is somebody's claim. */
static void take_row(struct call *c, enum claim_event_type type,
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

/* Tells the caller of a refusal; the claim may still be seen through. */
static void refuse(struct call *c, const struct claim_decision *d)
{
	struct problem problem = {
		.status = 503,
		.run = run_of(d->run),
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

/* Answers with the answer that an earlier copy received. */
static void replay(struct call *c)
{
	if (c->req)
		httpd_add_header(c->req, "x-replayed", "true");
	call_reply(c, c->status, c->answer_type, c->answer, c->answer_len);
	call_free(c);
}

/* Writes the answer into the row. */
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

/* Tells whether the caller has its answer and the row is brought up to date. */
static bool is_closing(const struct call *c)
{
	return c->claim.state == CLAIM_STORING ||
	       c->claim.state == CLAIM_RELEASING;
}

/* Returns the refusal's word for the policy's. */
static enum run_state run_of(enum claim_run run)
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
