/*
 * At-most-once state machine for one copy of a non-idempotent call.
 *
 * Before it sends the call, a copy inserts a claim row for the call's key if
 * none exists, with a unique nonce, and sends only if the row has its nonce.
 * Claims are never taken over, so at most one copy of a key sends, however
 * long the instance that holds the claim is paused.  The call is sent once, on
 * a new connection; another endpoint is tried only if the connection was never
 * established.  If the store's answer is lost, the copy reads the row back and
 * compares the nonce.  All store operations are idempotent.
 *
 * A refusal says "not-run" only if neither this copy nor an earlier copy of the
 * call can have run.  A copy that never read the row cannot rule out an earlier
 * one, unless the caller declares this copy to be the first.
 */
#include "policy/claim.h"

#include <assert.h>

const struct claim_params claim_defaults = {
	.store_tries = 4,
	.connect_tries = 3,
};

static struct claim_decision act(enum claim_action action);
static struct claim_decision refuse(struct claim *c, enum claim_run run,
				    enum claim_reason reason);
static struct claim_decision refuse_release(struct claim *c,
					    enum claim_reason reason);
static struct claim_decision refuse_store_down(struct claim *c);
static struct claim_decision on_foreign_row(struct claim *c,
					    const struct claim_row *row);
static struct claim_decision on_own_row(struct claim *c,
					const struct claim_event *ev);
static struct claim_decision retry_store(struct claim *c,
					 const struct claim_params *params,
					 enum claim_state state,
					 enum claim_action action);
static struct claim_decision on_writing(struct claim *c,
					const struct claim_params *params,
					const struct claim_event *ev);
static struct claim_decision on_reading(struct claim *c,
					const struct claim_params *params,
					const struct claim_event *ev);
static struct claim_decision on_connecting(struct claim *c,
					   const struct claim_params *params,
					   const struct claim_event *ev);
static struct claim_decision on_sent(struct claim *c,
				     const struct claim_event *ev);
static struct claim_decision on_closing(struct claim *c,
					const struct claim_params *params,
					const struct claim_event *ev,
					enum claim_action again);

/*
 * Initializes a copy.  nonce must be unique; deadline_ms is on this instance's
 * monotonic clock, 0 for none.
 */
void claim_init(struct claim *c, uint64_t nonce, uint64_t body_digest,
		uint64_t deadline_ms, bool first_copy)
{
	*c = (struct claim){
		.state = CLAIM_START,
		.nonce = nonce,
		.body_digest = body_digest,
		.deadline_ms = deadline_ms,
		.first_copy = first_copy,
	};
}

/* Returns a decision other than a refusal. */
static struct claim_decision act(enum claim_action action)
{
	return (struct claim_decision){ .action = action };
}

/* Ends the copy and refuses the call. */
static struct claim_decision refuse(struct claim *c, enum claim_run run,
				    enum claim_reason reason)
{
	c->state = CLAIM_DONE;
	return (struct claim_decision){
		.action = CLAIM_ACT_REFUSE,
		.run = run,
		.reason = reason,
	};
}

/*
 * Refuses the call as not run and deletes the claim.  Nothing may be sent
 * afterwards, since the key is free.
 */
static struct claim_decision refuse_release(struct claim *c,
					    enum claim_reason reason)
{
	c->state = CLAIM_RELEASING;
	c->store_tries = 1;
	return (struct claim_decision){
		.action = CLAIM_ACT_REFUSE_RELEASE,
		.run = CLAIM_NOT_RUN,
		.reason = reason,
	};
}

/*
 * Refuses a copy that could not find out whether its key has a row.  Its own
 * insert may have taken effect, so the row is deleted if it has this copy's
 * nonce.
 */
static struct claim_decision refuse_store_down(struct claim *c)
{
	struct claim_decision d = refuse_release(c, CLAIM_REASON_STORE_DOWN);

	if (!c->first_copy)
		d.run = CLAIM_MAY_HAVE_RUN;
	return d;
}

/* Handles a row that another copy wrote: replays its answer or refuses. */
static struct claim_decision on_foreign_row(struct claim *c,
					    const struct claim_row *row)
{
	if (row->body_digest != c->body_digest)
		return refuse(c, CLAIM_NOT_RUN, CLAIM_REASON_KEY_REUSED);
	if (!row->answered)
		return refuse(c, CLAIM_MAY_HAVE_RUN, CLAIM_REASON_IN_PROGRESS);
	if (!row->answer_kept)
		return refuse(c, CLAIM_RAN, CLAIM_REASON_ANSWER_NOT_KEPT);
	c->state = CLAIM_DONE;
	return act(CLAIM_ACT_REPLAY);
}

/* Starts connecting once this copy is known to own the claim. */
static struct claim_decision on_own_row(struct claim *c,
					const struct claim_event *ev)
{
	if (c->cancelled || (c->deadline_ms && ev->now >= c->deadline_ms))
		return refuse_release(c, CLAIM_REASON_DEADLINE);
	c->state = CLAIM_CONNECTING;
	c->connect_tries = 1;
	return act(CLAIM_ACT_CONNECT);
}

/* Retries a store operation, or refuses the call after store_tries. */
static struct claim_decision retry_store(struct claim *c,
					 const struct claim_params *params,
					 enum claim_state state,
					 enum claim_action action)
{
	if (c->store_tries >= params->store_tries)
		return refuse_store_down(c);
	c->store_tries++;
	c->state = state;
	return act(action);
}

/* Handles the outcome of the insert. */
static struct claim_decision on_writing(struct claim *c,
					const struct claim_params *params,
					const struct claim_event *ev)
{
	switch (ev->type) {
	case CLAIM_EV_INSERTED:
		return on_own_row(c, ev);
	case CLAIM_EV_CONFLICT:
		if (ev->row.nonce == c->nonce)
			return on_own_row(c, ev);
		return on_foreign_row(c, &ev->row);
	case CLAIM_EV_STORE_LOST:
		return retry_store(c, params, CLAIM_READING, CLAIM_ACT_READ);
	case CLAIM_EV_STORE_REFUSED:
		return refuse_store_down(c);
	default:
		return act(CLAIM_ACT_NONE);
	}
}

/*
 * Handles the read that follows a lost answer.  If there is no row, the insert
 * may still take effect later; sending the same insert again is idempotent.
 */
static struct claim_decision on_reading(struct claim *c,
					const struct claim_params *params,
					const struct claim_event *ev)
{
	switch (ev->type) {
	case CLAIM_EV_ROW:
		if (ev->row.nonce == c->nonce)
			return on_own_row(c, ev);
		return on_foreign_row(c, &ev->row);
	case CLAIM_EV_NO_ROW:
		return retry_store(c, params, CLAIM_WRITING, CLAIM_ACT_INSERT);
	case CLAIM_EV_STORE_LOST:
	case CLAIM_EV_STORE_REFUSED:
		return retry_store(c, params, CLAIM_READING, CLAIM_ACT_READ);
	default:
		return act(CLAIM_ACT_NONE);
	}
}

/*
 * Handles the outcome of connecting; nothing was sent yet.  The process may
 * have been paused, so the deadline is checked again before the call is sent.
 */
static struct claim_decision on_connecting(struct claim *c,
					   const struct claim_params *params,
					   const struct claim_event *ev)
{
	bool late = c->deadline_ms && ev->now >= c->deadline_ms;

	if (ev->type != CLAIM_EV_CONNECTED &&
	    ev->type != CLAIM_EV_CONNECT_FAILED)
		return act(CLAIM_ACT_NONE);
	if (late || c->cancelled)
		return refuse_release(c, CLAIM_REASON_DEADLINE);
	if (ev->type == CLAIM_EV_CONNECTED) {
		c->state = CLAIM_SENT;
		return act(CLAIM_ACT_SEND);
	}
	if (c->connect_tries >= params->connect_tries)
		return refuse_release(c, CLAIM_REASON_NO_ENDPOINT);
	c->connect_tries++;
	return act(CLAIM_ACT_CONNECT);
}

/* Handles the answer.  The call may have run, so it is never sent again. */
static struct claim_decision on_sent(struct claim *c,
				     const struct claim_event *ev)
{
	switch (ev->type) {
	case CLAIM_EV_ANSWER:
		c->state = CLAIM_STORING;
		c->store_tries = 1;
		return act(CLAIM_ACT_REPLY_STORE);
	case CLAIM_EV_ANSWER_LOST:
	case CLAIM_EV_CONNECT_FAILED:
		return refuse(c, CLAIM_MAY_HAVE_RUN, CLAIM_REASON_ANSWER_LOST);
	default:
		return act(CLAIM_ACT_NONE);
	}
}

/*
 * Handles the update of the row after the caller got its answer or refusal;
 * retries with action `again`.
 */
static struct claim_decision on_closing(struct claim *c,
					const struct claim_params *params,
					const struct claim_event *ev,
					enum claim_action again)
{
	bool failed = ev->type == CLAIM_EV_STORE_LOST ||
		      ev->type == CLAIM_EV_STORE_REFUSED;

	if (!failed && ev->type != CLAIM_EV_STORED)
		return act(CLAIM_ACT_NONE);
	if (failed && c->store_tries < params->store_tries) {
		c->store_tries++;
		return act(again);
	}
	c->state = CLAIM_DONE;
	return act(CLAIM_ACT_CLOSE);
}

/*
 * Processes one event and returns the action to take.  Events that the state
 * does not expect, such as a late answer, are ignored.  If the caller
 * disconnects before the call is sent, the call is not sent; afterwards the
 * copy runs to its end.
 */
struct claim_decision claim_step(struct claim *c,
				 const struct claim_params *params,
				 const struct claim_event *ev)
{
	if (ev->type == CLAIM_EV_CANCELLED) {
		c->cancelled = true;
		return act(CLAIM_ACT_NONE);
	}
	switch (c->state) {
	case CLAIM_START:
		if (ev->type != CLAIM_EV_BEGIN)
			return act(CLAIM_ACT_NONE);
		c->state = CLAIM_WRITING;
		c->store_tries = 1;
		return act(CLAIM_ACT_INSERT);
	case CLAIM_WRITING:
		return on_writing(c, params, ev);
	case CLAIM_READING:
		return on_reading(c, params, ev);
	case CLAIM_CONNECTING:
		return on_connecting(c, params, ev);
	case CLAIM_SENT:
		return on_sent(c, ev);
	case CLAIM_STORING:
		return on_closing(c, params, ev, CLAIM_ACT_STORE);
	case CLAIM_RELEASING:
		return on_closing(c, params, ev, CLAIM_ACT_RELEASE);
	case CLAIM_DONE:
		return act(CLAIM_ACT_NONE);
	}
	assert(0);
	return act(CLAIM_ACT_NONE);
}

/* Returns the value of the "run" member of a refusal. */
const char *claim_run_text(enum claim_run run)
{
	switch (run) {
	case CLAIM_NOT_RUN:
		return "not-run";
	case CLAIM_MAY_HAVE_RUN:
		return "may-have-run";
	case CLAIM_RAN:
		return "ran";
	}
	return "may-have-run";
}

/* Returns the reason for a refusal as a sentence for the caller. */
const char *claim_reason_text(enum claim_reason reason)
{
	switch (reason) {
	case CLAIM_REASON_NONE:
		return "The call was not refused.";
	case CLAIM_REASON_STORE_DOWN:
		return "The platform's store did not answer, so the call was "
		       "not sent.";
	case CLAIM_REASON_KEY_REUSED:
		return "This idempotency key was used for a different call.";
	case CLAIM_REASON_IN_PROGRESS:
		return "Another copy of this call was sent, and its answer is "
		       "not known yet.";
	case CLAIM_REASON_NO_ENDPOINT:
		return "No endpoint of the service accepted a connection.";
	case CLAIM_REASON_DEADLINE:
		return "The deadline passed before the call was sent.";
	case CLAIM_REASON_ANSWER_LOST:
		return "The connection failed after the call was sent.";
	case CLAIM_REASON_ANSWER_NOT_KEPT:
		return "The call ran; its answer was not kept.";
	}
	return "Unknown reason.";
}
