#ifndef POLICY_ROUTE_H
#define POLICY_ROUTE_H

#include <stddef.h>
#include <stdint.h>

enum route_flag {
	ROUTE_UP = 1 << 0,
	ROUTE_LEAVING = 1 << 1,
	ROUTE_SILENT = 1 << 2, /* suspected, since its streams are silent */
	ROUTE_AVOID = 1 << 3, /* this request already failed there */
	ROUTE_RUNS_SUSPECT = 1 << 4, /* runs a crash suspect */
	ROUTE_RESERVED = 1 << 5, /* reserved for one isolated request */
};

/* How far a request is kept apart from others (policy/quarantine.h). */
enum route_isolation {
	ROUTE_ISOLATE_NONE, /* ordinary request */
	ROUTE_ISOLATE_SUSPECT, /* not with another suspect, if possible */
	ROUTE_ISOLATE_FULL, /* with no other request, if possible */
};

enum route_outcome {
	ROUTE_OK,
	ROUTE_NONE_UP, /* no endpoint is up and staying */
	ROUTE_ALL_AVOIDED, /* the request failed on all that are up */
	ROUTE_ALL_BUSY, /* every permitted endpoint is full */
	ROUTE_ALL_RESERVED, /* all are reserved for isolated requests */
};

enum route_method {
	ROUTE_SCAN, /* the cheapest of all candidates */
	ROUTE_TWO_CHOICES, /* the cheaper of two drawn at random */
};

struct route_candidate {
	uint32_t endpoint; /* index in the endpoint table */
	uint16_t flags; /* enum route_flag */
	uint16_t slots;
	uint16_t running; /* all instances' requests, last report */
	uint16_t queued; /* last report */
	uint16_t own_requests; /* this instance's requests there now */
	uint16_t own_requests_reported; /* the same at the time of the report */
	uint32_t report_age_ms;
	uint32_t cached_tokens; /* longest prefix known to be cached */
	uint32_t cache_age_ms; /* age of the cache event */
	uint32_t zone_us; /* one-way latency to its zone */
};

struct route_request {
	uint32_t prompt_tokens;
	uint32_t service_ms; /* expected time in a slot */
	enum route_isolation isolation;
	uint32_t rank; /* for ROUTE_ISOLATE_FULL, from the quarantine */
};

struct route_params {
	enum route_method method;
	uint32_t prefill_us_per_token;
	uint32_t cache_half_life_ms; /* age at which a cache event counts
				      * half */
	uint32_t report_half_life_ms; /* age at which a load report counts
				       * half */
	uint32_t slowdown_permille; /* of a full endpoint against an idle one */
	uint32_t queue_per_slot_permille; /* full when queued beyond this */
	uint32_t zone_crossings; /* one-way latencies that a request takes */
};

struct route_choice {
	enum route_outcome outcome;
	uint32_t index; /* in the candidates, if ROUTE_OK */
	uint32_t endpoint;
	uint32_t wait_ms; /* expected wait for a slot there */
};

extern const struct route_params route_defaults;

struct route_choice route_choose(const struct route_params *params,
				 const struct route_request *req,
				 const struct route_candidate *cand, size_t n,
				 uint64_t rnd);
const char *route_outcome_text(enum route_outcome outcome);

#endif /* POLICY_ROUTE_H */
