/*
 * At-most-once state machine of one copy of a non-idempotent call.
 *
 * The copy writes a claim (insert if absent, with a nonce of its own) before
 * it sends anything, and sends only if that row is its own.  Claims are never
 * taken over, so at most one copy of a key sends, however long its holder is
 * paused.  The call goes out once, on a fresh connection; only a connection
 * that never came up lets another endpoint be tried.  Store answers that are
 * lost are settled by reading the row back and comparing the nonce; every
 * store operation may be repeated without harm.
 *
 * A refusal says "not-run" only of what is known of the key: a copy that never
 * saw the row cannot know whether an earlier copy ran, unless the caller says
 * that it is the first.
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
static struct claim_decision give_up_unseen(struct claim *c);
static struct claim_decision foreign_row(struct claim *c,
					 const struct claim_row *row);
static struct claim_decision own_row(struct claim *c,
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
 * Starts a copy.  nonce must never have been used before; deadline_ms is on
 * the holder's monotonic clock, 0 for none.
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

/* A decision without a refusal. */
static struct claim_decision act(enum claim_action action)
{
	return (struct claim_decision){ .action = action };
}

/* Ends the copy with a refusal. */
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

/* Refuses as not run and frees the key, after which nothing may be sent. */
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
 * Refuses a copy that never learnt what the store holds for its key.  Its own
 * insert may have taken effect, so the row is deleted if it is there.
 */
static struct claim_decision give_up_unseen(struct claim *c)
{
	struct claim_decision d = refuse_release(c, CLAIM_REASON_STORE_DOWN);

	if (!c->first_copy)
		d.run = CLAIM_MAY_HAVE_RUN;
	return d;
}

/* Answers from the row of another copy. */
static struct claim_decision foreign_row(struct claim *c,
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

/* Goes on with a claim that is known to be ours. */
static struct claim_decision own_row(struct claim *c,
				     const struct claim_event *ev)
{
	if (c->gone || (c->deadline_ms && ev->now >= c->deadline_ms))
		return refuse_release(c, CLAIM_REASON_DEADLINE);
	c->state = CLAIM_CONNECTING;
	c->connect_tries = 1;
	return act(CLAIM_ACT_CONNECT);
}

/* Repeats a store operation, or gives up if its tries are used up. */
static struct claim_decision retry_store(struct claim *c,
					 const struct claim_params *params,
					 enum claim_state state,
					 enum claim_action action)
{
	if (c->store_tries >= params->store_tries)
		return give_up_unseen(c);
	c->store_tries++;
	c->state = state;
	return act(action);
}

/* Insert sent. */
static struct claim_decision on_writing(struct claim *c,
					const struct claim_params *params,
					const struct claim_event *ev)
{
	switch (ev->type) {
	case CLAIM_EV_INSERTED:
		return own_row(c, ev);
	case CLAIM_EV_CONFLICT:
		if (ev->row.nonce == c->nonce)
			return own_row(c, ev);
		return foreign_row(c, &ev->row);
	case CLAIM_EV_STORE_LOST:
		return retry_store(c, params, CLAIM_READING, CLAIM_ACT_READ);
	case CLAIM_EV_STORE_REFUSED:
		return give_up_unseen(c);
	default:
		return act(CLAIM_ACT_NONE);
	}
}

/*
 * Reading back after a lost answer.  If there is no row, the insert may still
 * be on its way; the same insert is sent again, which is harmless.
 */
static struct claim_decision on_reading(struct claim *c,
					const struct claim_params *params,
					const struct claim_event *ev)
{
	switch (ev->type) {
	case CLAIM_EV_ROW:
		if (ev->row.nonce == c->nonce)
			return own_row(c, ev);
		return foreign_row(c, &ev->row);
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
 * The claim is ours and nothing was sent.  The holder may have been paused, so
 * its clock is looked at once more before the call goes out.
 */
static struct claim_decision on_connecting(struct claim *c,
					   const struct claim_params *params,
					   const struct claim_event *ev)
{
	bool late = c->deadline_ms && ev->now >= c->deadline_ms;

	if (ev->type != CLAIM_EV_CONNECTED &&
	    ev->type != CLAIM_EV_CONNECT_FAILED)
		return act(CLAIM_ACT_NONE);
	if (late || c->gone)
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

/* The call may have reached an endpoint: it is not sent a second time. */
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

/* The caller has its answer or refusal; the row is being brought up to date. */
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
 * Takes one event and returns what to do.  An event that has no place in the
 * state, such as a late answer, does nothing.  A caller that goes away stops
 * the copy before it sends, never after.
 */
struct claim_decision claim_step(struct claim *c,
				 const struct claim_params *params,
				 const struct claim_event *ev)
{
	if (ev->type == CLAIM_EV_CANCELLED) {
		c->gone = true;
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

/* The value of the refusal's run member. */
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

/* The reason of a refusal as a sentence for a person. */
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
