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

/* What instances tell each other of one request. */
struct quarantine_record {
	struct quarantine_digest digest;
	uint64_t deaths[QUARANTINE_DEATHS_MAX]; /* ascending, no repeats */
	uint8_t ndeaths;
	bool convicted;
	uint32_t keep_ms; /* time left until it is forgotten */
};

enum quarantine_verdict {
	QUARANTINE_RUN, /* nothing known against it */
	QUARANTINE_RUN_APART, /* ran on one endpoint that died */
	QUARANTINE_HOLD, /* second death; other instances' records may come */
	QUARANTINE_RUN_ALONE, /* one of several that ran on two */
	QUARANTINE_REFUSE, /* convicted */
};

struct quarantine_params {
	uint32_t records_max; /* rounded up to a power of two */
	uint32_t suspect_keep_ms;
	uint32_t convicted_keep_ms;
	uint32_t settle_ms; /* longest exchange of records */
	uint32_t mass_deaths; /* so many deaths within mass_ms: a wider fault */
	uint32_t mass_ms;
};

struct quarantine_finding {
	enum quarantine_verdict verdict;
	uint32_t deaths;
	uint32_t rank; /* of RUN_ALONE: place among those to run alone */
	uint32_t hold_ms; /* of HOLD: time left */
	uint32_t keep_ms; /* of REFUSE: time left until it may be tried */
};

struct quarantine;

extern const struct quarantine_params quarantine_defaults;

struct quarantine *quarantine_new(const struct quarantine_params *params);
void quarantine_free(struct quarantine *q);
struct quarantine_digest quarantine_digest(const char *org, const void *content,
					   size_t len);
uint64_t quarantine_death_id(const char *endpoint, uint64_t incarnation);
size_t quarantine_death(struct quarantine *q, uint64_t death_id,
			const struct quarantine_digest *running, size_t n,
			uint64_t now);
struct quarantine_finding quarantine_judge(
	struct quarantine *q, const struct quarantine_digest *digest,
	uint64_t now);
bool quarantine_merge(struct quarantine *q,
		      const struct quarantine_record *record, uint64_t now);
size_t quarantine_export(const struct quarantine *q, uint64_t since,
			 uint64_t now, struct quarantine_record *out,
			 size_t max);
size_t quarantine_expire(struct quarantine *q, uint64_t now);
size_t quarantine_count(const struct quarantine *q);
int quarantine_explain(const struct quarantine_finding *finding, char *buf,
		       size_t size);

#endif /* POLICY_QUARANTINE_H */
