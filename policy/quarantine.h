#ifndef POLICY_QUARANTINE_H
#define POLICY_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { QUARANTINE_DEATHS_MAX = 4 };

/* Hash of organisation and content, by quarantine_digest(). */
struct quarantine_digest {
	uint64_t hi;
	uint64_t lo;
};

/* What instances exchange about one request. */
struct quarantine_record {
	struct quarantine_digest digest;
	uint64_t deaths[QUARANTINE_DEATHS_MAX]; /* ids, ascending, distinct */
	uint8_t ndeaths;
	bool blocked;
	uint32_t keep_ms; /* time until the record expires */
};

enum quarantine_action {
	QUARANTINE_RUN, /* no deaths count against it */
	QUARANTINE_RUN_APART, /* one death: run apart from suspects */
	QUARANTINE_HOLD, /* second death: wait for other instances' records */
	QUARANTINE_RUN_ALONE, /* one of several with two deaths: run alone */
	QUARANTINE_REFUSE, /* blocked */
};

struct quarantine_params {
	uint32_t records_max; /* rounded up to a power of two */
	uint32_t suspect_keep_ms;
	uint32_t blocked_keep_ms;
	uint32_t settle_ms; /* max. time to exchange records */
	/* This many deaths within mass_ms have a common cause. */
	uint32_t mass_deaths;
	uint32_t mass_ms;
};

struct quarantine_decision {
	enum quarantine_action action;
	uint32_t deaths;
	uint32_t rank; /* RUN_ALONE: rank among the requests to run alone */
	uint32_t hold_ms; /* HOLD: remaining time */
	uint32_t keep_ms; /* REFUSE: time until the block expires */
};

struct quarantine;

extern const struct quarantine_params quarantine_defaults;

struct quarantine *quarantine_new(const struct quarantine_params *params);
void quarantine_free(struct quarantine *q);
struct quarantine_digest quarantine_digest(const char *org, const void *content,
					   size_t len);
uint64_t quarantine_death_id(const char *endpoint, uint64_t incarnation);
size_t quarantine_add_death(struct quarantine *q, uint64_t death_id,
			    const struct quarantine_digest *running, size_t n,
			    uint64_t now);
struct quarantine_decision quarantine_decide(
	struct quarantine *q, const struct quarantine_digest *digest,
	uint64_t now);
bool quarantine_merge(struct quarantine *q,
		      const struct quarantine_record *record, uint64_t now);
size_t quarantine_export(const struct quarantine *q, uint64_t since,
			 uint64_t now, struct quarantine_record *out,
			 size_t max);
size_t quarantine_expire(struct quarantine *q, uint64_t now);
size_t quarantine_count(const struct quarantine *q);
int quarantine_explain(const struct quarantine_decision *decision, char *buf,
		       size_t size);

#endif /* POLICY_QUARANTINE_H */
