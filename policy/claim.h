#ifndef POLICY_CLAIM_H
#define POLICY_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

enum claim_state {
	CLAIM_START,
	CLAIM_WRITING, /* insert-if-absent sent */
	CLAIM_READING, /* store answer lost; reading the row back */
	CLAIM_CONNECTING, /* this copy owns the claim; call not sent yet */
	CLAIM_SENT, /* bytes of the call may have reached an endpoint */
	CLAIM_STORING, /* answer sent to the caller; being stored */
	CLAIM_RELEASING, /* refused as not run; row being deleted */
	CLAIM_DONE,
};

enum claim_event_type {
	CLAIM_EV_BEGIN,
	CLAIM_EV_INSERTED, /* this copy's insert took effect */
	CLAIM_EV_CONFLICT, /* the row already exists; see row */
	CLAIM_EV_ROW, /* answer to a read: the row; see row */
	CLAIM_EV_NO_ROW, /* answer to a read: no such row */
	CLAIM_EV_STORE_LOST, /* no answer; the write may have taken effect */
	CLAIM_EV_STORE_REFUSED, /* error from the store; nothing written */
	CLAIM_EV_CONNECTED, /* new connection established, unused */
	CLAIM_EV_CONNECT_FAILED, /* no connection established */
	CLAIM_EV_ANSWER, /* complete answer received */
	CLAIM_EV_ANSWER_LOST, /* connection failed after sending began */
	CLAIM_EV_STORED, /* answer stored, or row deleted */
	CLAIM_EV_CANCELLED, /* the caller disconnected */
};

enum claim_action {
	CLAIM_ACT_NONE,
	CLAIM_ACT_INSERT, /* insert the row, with this nonce, if absent */
	CLAIM_ACT_READ, /* read the row back */
	CLAIM_ACT_CONNECT, /* open a connection to an untried endpoint */
	CLAIM_ACT_SEND, /* send the call on the connection, once */
	CLAIM_ACT_REPLY_STORE, /* answer the caller and store the answer */
	CLAIM_ACT_STORE, /* retry storing the answer */
	CLAIM_ACT_REPLAY, /* answer the caller with the stored answer */
	CLAIM_ACT_REFUSE, /* refuse with run and reason */
	/* Refuse, and delete the row if it has this copy's nonce. */
	CLAIM_ACT_REFUSE_RELEASE,
	CLAIM_ACT_RELEASE, /* retry that deletion */
	CLAIM_ACT_CLOSE, /* finished; free the copy */
};

/* Whether the call ran, as far as a refusal can tell. */
enum claim_run {
	CLAIM_NOT_RUN,
	CLAIM_MAY_HAVE_RUN,
	CLAIM_RAN,
};

enum claim_reason {
	CLAIM_REASON_NONE,
	CLAIM_REASON_STORE_DOWN,
	CLAIM_REASON_KEY_REUSED, /* same key, different body: status 422 */
	CLAIM_REASON_IN_PROGRESS, /* another copy holds the claim */
	CLAIM_REASON_NO_ENDPOINT, /* no connection to any endpoint */
	CLAIM_REASON_DEADLINE, /* passed before the call was sent */
	CLAIM_REASON_ANSWER_LOST,
	CLAIM_REASON_ANSWER_NOT_KEPT, /* the call ran; answer not stored */
};

/* A claim's row in the store. */
struct claim_row {
	uint64_t nonce; /* of the copy that wrote the row */
	uint64_t body_digest;
	bool answered; /* the call ran and its answer was received */
	bool answer_kept; /* the answer is stored in the row */
};

struct claim_event {
	enum claim_event_type type;
	struct claim_row row; /* set for CONFLICT and ROW */
	uint64_t now; /* the instance's monotonic clock, ms */
};

struct claim_params {
	uint32_t store_tries; /* max. attempts of one store operation */
	uint32_t connect_tries; /* max. endpoints to connect to */
};

/* One copy of a call (a request with an idempotency key) on its instance. */
struct claim {
	enum claim_state state;
	uint64_t nonce; /* unique to this copy */
	uint64_t body_digest;
	uint64_t deadline_ms;
	bool first_copy; /* the caller says the key was never sent before */
	bool cancelled; /* the caller disconnected */
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
