#ifndef POLICY_PLACEMENT_H
#define POLICY_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLACEMENT_NONE UINT32_MAX

/* An endpoint as this instance sees it; loads include what other instances
 * last said that they have there. */
struct placement_candidate {
	uint16_t zone;
	bool usable; /* up, listed, and takes work */
	bool leaving; /* up, but gets no new work any more */
	uint32_t pause_ms; /* up, but wants nothing for so long; 0: no */
	bool avoided; /* this request has failed there */
	bool suspected; /* not heard since others beside it were lost, or back
			* from the dead without an answer yet */
	uint32_t capacity_tokens; /* 0: a plain service without such memory */
	uint32_t used_tokens; /* of runs and of copies */
	uint32_t prefill_tokens; /* prompts that have no first event yet */
	uint32_t requests;
	uint32_t own_requests; /* of these, this instance's */
	uint32_t prefills; /* requests among these that have no event yet */
	uint32_t slots;
	uint32_t latency_ms; /* usual time of a plain answer; 0: not known */
	uint32_t failing_permille; /* recent answers that were failures */
	uint64_t affinity; /* of the request's prompt to this endpoint */
};

struct placement_request {
	uint32_t tokens; /* memory at the end of the run; 0: plain */
	uint16_t zone; /* of this instance */
	bool resumes; /* its prompt was read before, where it ran */
	uint32_t view_age_ms; /* of the others' plain calls, at most */
};

enum placement_outcome {
	PLACEMENT_OK,
	PLACEMENT_NONE_USABLE, /* no endpoint is up */
	PLACEMENT_ALL_AVOIDED, /* the request has failed at each that is up */
	PLACEMENT_FULL, /* no endpoint has room */
	PLACEMENT_PAUSED, /* all that are up want nothing for a while */
};

struct placement_choice {
	enum placement_outcome outcome;
	uint32_t index; /* of the candidate */
	uint32_t leaving; /* endpoints left out as they leave */
	uint32_t paused; /* and as they asked for a pause */
	uint32_t pause_ms; /* until the first of these is over */
};

struct placement_choice placement_run(const struct placement_request *r,
			      const struct placement_candidate *c, size_t n,
			      uint64_t rnd);
uint32_t placement_kv_copy(const struct placement_request *r,
		    const struct placement_candidate *c, size_t n, uint32_t run_at,
		    uint64_t rnd);
uint32_t placement_decode(const struct placement_request *r,
		      const struct placement_candidate *c, size_t n,
		      uint32_t run_at, uint64_t rnd);
struct placement_choice placement_plain(const struct placement_request *r,
				const struct placement_candidate *c, size_t n,
				uint64_t rnd);
float placement_decayed(float value, uint64_t age_ms, uint32_t half_ms);
const char *placement_outcome_text(enum placement_outcome outcome);

#endif /* POLICY_PLACEMENT_H */
