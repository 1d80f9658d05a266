#ifndef POLICY_POISON_H
#define POLICY_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	POISON_STRIKES = 3, /* a content that stands out is refused */
	POISON_STRIKES_MAX = 5, /* any is */
};

/* A run that the end of its endpoint cut off.  Times in ms, by the clock of the
 * instance that holds it. */
struct poison_strike {
	uint32_t id; /* drawn by the instance that had sent the run */
	uint64_t endpoint; /* hash of its id */
	uint64_t sent_ms;
	uint64_t ended_ms;
};

/* What is held against a content. */
struct poison_record {
	uint64_t content; /* its hash; 0: the record is free */
	struct poison_strike strikes[POISON_STRIKES_MAX]; /* in order of time */
	uint32_t n;
	uint32_t beside; /* runs that ended elsewhere in the same moments */
	uint64_t struck_ms; /* when the last of them was told */
	bool decided; /* on what is known since then */
	uint32_t refusals; /* how often it was refused for a while */
	uint64_t refused_until_ms; /* 0: it is not */
	uint64_t expires_ms;
};

enum poison_verdict {
	POISON_RUN,
	POISON_HOLD, /* ends are being told that it is to be compared by */
	POISON_REFUSE,
};

struct poison_params {
	uint32_t records_max; /* rounded up to a power of two */
	uint32_t ran_max; /* the same; contents that ran to their end lately */
	uint64_t
		ran_ms; /* a run that ended well speaks for later ones so long */
	uint64_t apart_ms; /* ends of what many ask for, that count */
	uint64_t settle_ms; /* within this all are told of an end */
	uint64_t suspected_ms; /* a record without a further strike is kept */
	uint64_t refused_ms; /* the first refusal */
	uint64_t refused_many_ms; /* the same of what many ask for */
	uint32_t refused_factor; /* each later one is so many times longer */
	uint64_t refused_max_ms;
};

struct poison;

extern const struct poison_params poison_defaults;

struct poison *poison_new(const struct poison_params *params);
void poison_free(struct poison *p);
bool poison_strike(struct poison *p, uint64_t content,
		   const struct poison_strike *strike, uint64_t now);
const struct poison_record *poison_decide(struct poison *p, uint64_t now);
enum poison_verdict poison_judge(struct poison *p, uint64_t content,
				 uint64_t now);
bool poison_ran(struct poison *p, uint64_t content, uint64_t now);
bool poison_refuse(struct poison *p, uint64_t content, uint64_t since_ms,
		   uint64_t left_ms, uint64_t now);
bool poison_clear(struct poison *p, uint64_t content);
uint64_t poison_refused_ms(struct poison *p, uint64_t content, uint64_t now);
const struct poison_record *poison_find(const struct poison *p,
					uint64_t content, uint64_t now);
const struct poison_record *poison_next_refused(const struct poison *p,
						uint64_t now, size_t *index);
uint64_t poison_weight(uint64_t content, uint64_t instance);

#endif /* POLICY_POISON_H */
