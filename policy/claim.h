#ifndef POLICY_CLAIM_H
#define POLICY_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

enum claim_state {
	CLAIM_START,
	CLAIM_WRITING, /* insert-if-absent sent */
	CLAIM_READING, /* answer lost; reading the row back */
	CLAIM_CONNECTING, /* the claim is ours; nothing sent yet */
	CLAIM_SENT, /* bytes of the call may have reached an endpoint */
	CLAIM_STORING, /* answer given to the caller, being stored */
	CLAIM_RELEASING, /* refused as not run, row being deleted */
	CLAIM_DONE,
};

enum claim_event_type {
	CLAIM_EV_BEGIN,
	CLAIM_EV_INSERTED, /* our insert took effect */
	CLAIM_EV_CONFLICT, /* a row was there; see row */
	CLAIM_EV_ROW, /* answer to a read; see row */
	CLAIM_EV_NO_ROW, /* answer to a read: there is none */
	CLAIM_EV_STORE_LOST, /* no answer; the write may have taken effect */
	CLAIM_EV_STORE_REFUSED, /* the store answered that it did nothing */
	CLAIM_EV_CONNECTED, /* fresh connection up, nothing sent on it */
	CLAIM_EV_CONNECT_FAILED, /* no connection came up */
	CLAIM_EV_ANSWER, /* whole answer received */
	CLAIM_EV_ANSWER_LOST, /* connection failed after sending began */
	CLAIM_EV_STORED, /* answer stored, or row deleted */
	CLAIM_EV_CANCELLED, /* the caller went away */
};

enum claim_action {
	CLAIM_ACT_NONE,
	CLAIM_ACT_INSERT, /* insert the row if absent, with our nonce */
	CLAIM_ACT_READ, /* read the row back */
	CLAIM_ACT_CONNECT, /* connect afresh to an endpoint not yet tried */
	CLAIM_ACT_SEND, /* send the call on the connection, once */
	CLAIM_ACT_REPLY_STORE, /* answer the caller; store the answer */
	CLAIM_ACT_STORE, /* store the answer (again) */
	CLAIM_ACT_REPLAY, /* answer the caller with the stored answer */
	CLAIM_ACT_REFUSE, /* see run and reason */
	CLAIM_ACT_REFUSE_RELEASE, /* refuse; delete the row if our nonce */
	CLAIM_ACT_RELEASE, /* delete the row (again) if our nonce */
	CLAIM_ACT_CLOSE, /* nobody listens any more; forget it */
};

enum claim_run {
	CLAIM_NOT_RUN,
	CLAIM_MAY_HAVE_RUN,
	CLAIM_RAN,
};

enum claim_reason {
	CLAIM_REASON_NONE,
	CLAIM_REASON_STORE_DOWN,
	CLAIM_REASON_KEY_REUSED, /* same key, another body: 422 */
	CLAIM_REASON_IN_PROGRESS, /* another copy holds the claim */
	CLAIM_REASON_NO_ENDPOINT, /* no connection to any endpoint */
	CLAIM_REASON_DEADLINE, /* passed before the call was sent */
	CLAIM_REASON_ANSWER_LOST,
	CLAIM_REASON_ANSWER_NOT_KEPT, /* it ran; its answer is not stored */
};

/* The row of a claim, as the store holds it. */
struct claim_row {
	uint64_t nonce; /* of the copy that wrote it */
	uint64_t body_digest;
	bool answered; /* it ran, and its answer was received */
	bool answer_kept; /* the answer is stored in the row */
};

struct claim_event {
	enum claim_event_type type;
	struct claim_row row; /* of CONFLICT and ROW */
	uint64_t now; /* the holder's own monotonic clock, ms */
};

struct claim_params {
	uint32_t store_tries; /* of one store operation */
	uint32_t connect_tries; /* endpoints tried */
};

/* One copy of one call, at the instance that serves it. */
struct claim {
	enum claim_state state;
	uint64_t nonce; /* new for every copy, never used again */
	uint64_t body_digest;
	uint64_t deadline_ms;
	bool first_copy; /* the caller says it never sent this key before */
	bool gone; /* the caller went away */
	uint8_t store_tries;
	uint8_t connect_tries;
};

struct claim_decision {
	enum claim_action action;
	enum claim_run run; /* of a refusal */
	enum claim_reason reason; /* of a refusal */
};

extern const struct claim_params claim_defaults;

void claim_init(struct claim *c, uint64_t nonce, uint64_t body_digest,
		uint64_t deadline_ms, bool first_copy);
struct claim_decision claim_step(struct claim *c,
				 const struct claim_params *params,
				 const struct claim_event *ev);
const char *claim_run_text(enum claim_run run);
const char *claim_reason_text(enum claim_reason reason);

#endif /* POLICY_CLAIM_H */
