#ifndef POLICY_RESUME_H
#define POLICY_RESUME_H

#include <stdbool.h>
#include <stdint.h>

enum resume_health {
	RESUME_HEALTHY,
	RESUME_SUSPECT, /* a hedge may start */
	RESUME_LOST, /* streams move to other endpoints */
};

enum resume_action {
	RESUME_WAIT,
	RESUME_HEDGE, /* start a second attempt, keep the first */
	RESUME_MOVE, /* cancel the attempt and start another */
};

enum resume_outcome {
	RESUME_RELAY,
	RESUME_DROP_STALE, /* of a fenced-off attempt; cancel it again */
	RESUME_DROP_DUPLICATE, /* position already relayed */
	RESUME_GAP, /* tokens missing: cancel the attempt and move */
};

/* Thresholds for silence and limits of hedges; one profile per service. */
struct resume_profile {
	/*
	 * An endpoint is suspected after the greater of mean + gap_factor *
	 * deviation and tail_permille of the tail, within the two bounds.
	 */
	uint32_t gap_factor;
	uint32_t tail_permille;
	uint32_t suspect_min_ms;
	uint32_t suspect_max_ms;
	uint32_t lost_after_ms; /* from suspicion to loss */
	uint32_t stream_suspect_ms; /* if only this stream is silent */
	uint32_t stream_lost_ms;
	uint32_t first_token_ms; /* allowed beyond the expected time */
	bool hedge; /* whether hedges are allowed */
	uint32_t hedge_permille; /* hedged prefill per relayed token */
	uint32_t hedge_burst_tokens;
};

/* Arrivals from one endpoint, over all of this instance's streams from it. */
struct resume_endpoint {
	float mean_ms; /* mean gap between arrivals */
	float dev_ms; /* mean absolute deviation of the gap */
	float tail_ms; /* exceeded by about one gap in 2000 */
	uint32_t decoding; /* streams past their first token */
	uint64_t last_seen_ms; /* last arrival */
};

enum { RESUME_NO_ATTEMPT = 0 };

/* Attempts of one generation, numbered from 1 in ascending order. */
struct resume_stream {
	uint32_t attempt; /* current attempt; RESUME_NO_ATTEMPT if none */
	uint32_t hedge; /* concurrent one; RESUME_NO_ATTEMPT if none */
	uint32_t last_attempt; /* highest number assigned */
	uint32_t next_pos; /* position of the next token to relay */
	uint64_t last_seen_ms; /* last token, or start of the attempt */
	uint64_t first_token_due_ms; /* 0 after the first token */
};

struct resume_decision {
	enum resume_outcome outcome;
	uint32_t cancel; /* attempt to cancel; RESUME_NO_ATTEMPT if none */
};

/* Prefill that hedges may still use, in thousandths of a token. */
struct resume_budget {
	uint64_t credit_milli;
};

extern const struct resume_profile resume_favour_latency;
extern const struct resume_profile resume_favour_work;

void resume_endpoint_init(struct resume_endpoint *ep, uint32_t gap_ms);
void resume_endpoint_decoding(struct resume_endpoint *ep, int change,
			      uint64_t now);
void resume_endpoint_received(struct resume_endpoint *ep, uint64_t now);
void resume_endpoint_discount(struct resume_endpoint *ep, uint32_t stall_ms);
uint32_t resume_suspect_ms(const struct resume_endpoint *ep,
			   const struct resume_profile *profile);
enum resume_health resume_endpoint_evaluate(
	const struct resume_endpoint *ep, const struct resume_profile *profile,
	uint64_t now);
bool resume_local_fault(uint32_t suspect, uint32_t active);

void resume_stream_init(struct resume_stream *s);
void resume_stream_discount(struct resume_stream *s, uint32_t stall_ms);
uint32_t resume_start(struct resume_stream *s, uint64_t now,
		      uint32_t expect_first_ms);
uint32_t resume_start_hedge(struct resume_stream *s);
uint32_t resume_attempt_lost(struct resume_stream *s, uint32_t attempt,
			     uint64_t now);
struct resume_decision resume_accept(struct resume_stream *s, uint32_t attempt,
				     uint32_t pos, uint64_t now);
enum resume_action resume_decide(const struct resume_stream *s,
				 enum resume_health endpoint,
				 const struct resume_profile *profile,
				 uint64_t now);

bool resume_hedge_lost(enum resume_health endpoint, uint64_t started_ms,
		       uint32_t expect_first_ms,
		       const struct resume_profile *profile, uint64_t now);

void resume_budget_init(struct resume_budget *b,
			const struct resume_profile *profile);
void resume_budget_relayed(struct resume_budget *b,
			   const struct resume_profile *profile,
			   uint32_t tokens);
bool resume_budget_take(struct resume_budget *b, uint32_t prefill_tokens);
void resume_budget_refund(struct resume_budget *b,
			  const struct resume_profile *profile,
			  uint32_t tokens);

#endif /* POLICY_RESUME_H */
