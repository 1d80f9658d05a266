#ifndef POLICY_PLACEMENT_H
#define POLICY_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLACEMENT_NONE UINT32_MAX

/* An endpoint as this instance sees it.  Loads include the other instances'
 * load there as last reported by them. */
struct placement_candidate {
	uint16_t zone;
	bool usable; /* up, listed, and accepts work from this instance */
	bool limited; /* has named a limit on requests; if it is not usable,
		       * this instance has no permit to send one */
	bool leaving; /* up, but gets no new work */
	uint32_t pause_ms; /* asked for no work for this long; 0: no pause */
	bool avoided; /* this request has failed there */
	bool suspected; /* not reached since endpoints of its zone were lost,
			 * or up again by a probe, but no answer since */
	uint32_t capacity_tokens; /* KV cache; 0: a plain service without one */
	uint32_t used_tokens; /* KV cache of runs and copies */
	uint32_t prefill_tokens; /* of prompts without a first event */
	uint32_t requests;
	uint32_t own_requests; /* this instance's part of requests */
	uint32_t prefills; /* requests without a first event */
	uint32_t slots;
	uint32_t latency_ms; /* usual time of a plain call; 0: unknown */
	uint32_t failing_permille; /* part of recent answers that failed */
	uint64_t affinity; /* rendezvous weight of the prompt here */
	uint64_t software; /* version of its software */
	bool returns; /* if it is not usable: it may be again */
	bool unrecorded; /* its version is not in the store yet */
	bool alone; /* the only one of its version, beside others; set here */
};

struct placement_request {
	uint32_t tokens; /* KV cache at the end of the run; 0: plain */
	uint16_t zone; /* of this instance */
	uint64_t software; /* version that began the stream; 0: any */
	bool resumes; /* its prompt was read before, in an earlier run */
	uint32_t view_age_ms; /* greatest age of the others' plain calls */
};

enum placement_outcome {
	PLACEMENT_OK,
	PLACEMENT_NONE_USABLE, /* no endpoint is up */
	PLACEMENT_ALL_AVOIDED, /* it failed at each that is up */
	PLACEMENT_FULL, /* no endpoint has enough capacity */
	PLACEMENT_PAUSED, /* all that are up asked for a pause */
	PLACEMENT_LIMITED, /* the limits of all that are up are reached */
	PLACEMENT_VERSION_GONE, /* none runs the version, or will again */
};

struct placement_choice {
	enum placement_outcome outcome;
	uint32_t index; /* index of the candidate */
	uint32_t leaving; /* endpoints skipped because they leave */
	uint32_t paused; /* endpoints skipped because they paused */
	uint32_t pause_ms; /* until the first pause is over */
	uint32_t limited; /* endpoints skipped because of their limits */
	uint32_t limited_index; /* index of one of these */
};

struct placement_choice placement_run(const struct placement_request *r,
				      const struct placement_candidate *c,
				      size_t n, uint64_t rnd);
uint32_t placement_kv_copy(const struct placement_request *r,
			   const struct placement_candidate *c, size_t n,
			   uint32_t run_at, uint64_t rnd);
uint32_t placement_decode_phase(const struct placement_request *r,
				const struct placement_candidate *c, size_t n,
				uint32_t run_at, uint64_t rnd);
struct placement_choice placement_plain(const struct placement_request *r,
					const struct placement_candidate *c,
					size_t n, uint64_t rnd);
void placement_mark_alone(struct placement_candidate *c, size_t n);
float placement_decayed(float value, uint64_t age_ms, uint32_t half_ms);
const char *placement_outcome_text(enum placement_outcome outcome);

#endif /* POLICY_PLACEMENT_H */
