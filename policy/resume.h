#ifndef POLICY_RESUME_H
#define POLICY_RESUME_H

#include <stdbool.h>
#include <stdint.h>

enum resume_health {
	RESUME_HEALTHY,
	RESUME_SUSPECT, /* a hedge may start */
	RESUME_LOST, /* streams move */
};

enum resume_action {
	RESUME_WAIT,
	RESUME_HEDGE, /* start a second attempt, go on hearing the first */
	RESUME_MOVE, /* cancel the attempt, start another */
};

enum resume_outcome {
	RESUME_RELAY,
	RESUME_DROP_STALE, /* of an attempt that lost; cancel it again */
	RESUME_DROP_DUPLICATE, /* position already relayed */
	RESUME_GAP, /* tokens missing: cancel the attempt and move */
};

/* How silence is judged; one profile a service, from the configuration. */
struct resume_profile {
	uint32_t gap_factor; /* suspect after mean + factor * deviation */
	uint32_t tail_permille; /* and after so much of the rarest gaps */
	uint32_t suspect_min_ms;
	uint32_t suspect_max_ms;
	uint32_t lost_after_ms; /* beyond the start of suspicion */
	uint32_t stream_suspect_ms; /* one stream silent, others not */
	uint32_t stream_lost_ms;
	uint32_t first_token_ms; /* beyond the expected time to it */
	bool hedge;
	uint32_t hedge_permille; /* hedged prefill a relayed token */
	uint32_t hedge_burst_tokens;
};

/* Silence of one endpoint, over all of an instance's streams from it. */
struct resume_endpoint {
	float mean_ms; /* of the gap between arrivals */
	float dev_ms; /* mean absolute deviation of it */
	float tail_ms; /* exceeded by about one gap in two thousand */
	uint32_t decoding; /* streams past their first token */
	uint64_t heard_ms;
};

enum { RESUME_NO_ATTEMPT = 0 };

/* Attempts of one generation; attempt numbers start at 1 and only grow. */
struct resume_stream {
	uint32_t attempt; /* heard now; RESUME_NO_ATTEMPT if none */
	uint32_t hedge; /* the other one; RESUME_NO_ATTEMPT if none */
	uint32_t last_attempt; /* highest number given out */
	uint32_t next_pos; /* of the next token to relay */
	uint64_t heard_ms; /* last token, or start of the attempt */
	uint64_t first_by_ms; /* first token of the attempt expected; 0 had */
};

struct resume_verdict {
	enum resume_outcome outcome;
	uint32_t cancel; /* attempt to cancel; RESUME_NO_ATTEMPT if none */
};

/* Tokens that hedges may still prefill, in thousandths. */
struct resume_budget {
	uint64_t credit_milli;
};

extern const struct resume_profile resume_favour_latency;
extern const struct resume_profile resume_favour_work;

void resume_endpoint_init(struct resume_endpoint *ep, uint32_t gap_ms);
void resume_endpoint_decoding(struct resume_endpoint *ep, int change,
			      uint64_t now);
void resume_endpoint_heard(struct resume_endpoint *ep, uint64_t now);
void resume_endpoint_excuse(struct resume_endpoint *ep, uint32_t stall_ms);
uint32_t resume_suspect_ms(const struct resume_endpoint *ep,
			   const struct resume_profile *profile);
enum resume_health resume_endpoint_judge(const struct resume_endpoint *ep,
					 const struct resume_profile *profile,
					 uint64_t now);
bool resume_own_fault(uint32_t suspect, uint32_t active);

void resume_stream_init(struct resume_stream *s);
void resume_stream_excuse(struct resume_stream *s, uint32_t stall_ms);
uint32_t resume_start(struct resume_stream *s, uint64_t now,
		      uint32_t expect_first_ms);
uint32_t resume_start_hedge(struct resume_stream *s);
uint32_t resume_attempt_lost(struct resume_stream *s, uint32_t attempt,
			     uint64_t now);
struct resume_verdict resume_accept(struct resume_stream *s, uint32_t attempt,
				    uint32_t pos, uint64_t now);
enum resume_action resume_judge(const struct resume_stream *s,
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
