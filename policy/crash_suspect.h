#ifndef POLICY_CRASH_SUSPECT_H
#define POLICY_CRASH_SUSPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parts of a run that are all recorded once the same request crashes a second
 * endpoint. */
#define CRASH_SUSPECT_FEW_PARTS 8

/* Crashes after which a content is refused. */
enum {
	CRASH_SUSPECT_CRASHES = 3, /* if it stands out among the suspects */
	CRASH_SUSPECT_CRASHES_MAX = 5, /* in any case */
};

/* A run that was cut off by a crash of its endpoint.  Times in ms, by the clock
 * of the instance that keeps the record. */
struct run_crash {
	uint32_t id; /* random, from the instance that sent the run */
	uint64_t endpoint; /* hash of its id */
	uint64_t sent_ms;
	uint64_t crashed_ms;
	/* of a run with more than CRASH_SUSPECT_FEW_PARTS suspected parts, its
	 * content; else 0 */
	uint64_t content;
};

/* The evidence against a content or a part.  Times in ms. */
struct crash_suspect_record {
	uint64_t content; /* its hash or a part's; 0: the record is free */
	/* in order of time */
	struct run_crash crashes[CRASH_SUSPECT_CRASHES_MAX];
	uint32_t n_crashes;
	uint32_t concurrent; /* runs cut off elsewhere at the same times */
	/* of a part, the last crashes in the same moment as one that counts */
	struct run_crash uncounted[CRASH_SUSPECT_CRASHES_MAX];
	uint32_t n_uncounted; /* in total */
	uint64_t last_crash_ms; /* when the last one was received */
	bool decided; /* the crashes have been evaluated */
	uint32_t refusals; /* number of refusals so far */
	uint64_t refused_until_ms; /* 0: it is not refused */
	uint64_t expires_ms;
};

/* In order of severity. */
enum crash_suspect_decision {
	CRASH_SUSPECT_RUN,
	CRASH_SUSPECT_ALONE, /* a part: one run at a time */
	CRASH_SUSPECT_TRIAL, /* a part whose refusal expired: one run in all */
	CRASH_SUSPECT_HOLD, /* wait: the crashes are not evaluated yet */
	CRASH_SUSPECT_REFUSE,
};

struct crash_suspect_params {
	uint32_t records_max; /* rounded up to a power of two */
	uint32_t sightings_max; /* parts in one crash; rounded alike */
	uint32_t completed_max; /* recently completed contents; rounded alike */
	/* Crashes of runs sent this soon after a completed one don't count. */
	uint64_t completed_ms;
	uint64_t min_gap_ms; /* between crashes of a popular content */
	uint64_t settle_ms; /* time in which all instances learn of a crash */
	uint64_t suspected_ms; /* lifetime of a record after its last crash */
	uint64_t refused_ms; /* duration of the first refusal */
	uint64_t refused_popular_ms; /* the same, of a popular content */
	uint32_t refused_factor; /* growth of each later refusal */
	uint64_t refused_max_ms;
	/* for parts, in place of completed_ms and refused_ms */
	uint64_t completed_part_ms;
	uint64_t refused_part_ms;
	uint64_t alone_ms; /* a suspected part's runs are alone that long */
};

struct crash_suspects;

extern const struct crash_suspect_params crash_suspect_defaults;

struct crash_suspects *crash_suspect_new(
	const struct crash_suspect_params *params);
void crash_suspect_free(struct crash_suspects *p);
bool crash_suspect_add_crash(struct crash_suspects *p, uint64_t content,
			     const struct run_crash *crash, uint64_t now);
const struct crash_suspect_record *crash_suspect_evaluate(
	struct crash_suspects *p, uint64_t now);
enum crash_suspect_decision crash_suspect_decide(struct crash_suspects *p,
						 uint64_t content,
						 uint64_t now);
bool crash_suspect_run_completed(struct crash_suspects *p, uint64_t content,
				 uint64_t now);
bool crash_suspect_refuse(struct crash_suspects *p, uint64_t content,
			  uint64_t since_ms, uint64_t left_ms, uint64_t now);
const struct crash_suspect_record *crash_suspect_begin_trial(
	struct crash_suspects *p, uint64_t part, uint64_t now);
bool crash_suspect_completed_lately(const struct crash_suspects *p,
				    uint64_t content, uint64_t now);
bool crash_suspect_clear(struct crash_suspects *p, uint64_t content);
uint64_t crash_suspect_refused_ms(struct crash_suspects *p, uint64_t content,
				  uint64_t now);
const struct crash_suspect_record *crash_suspect_find(
	const struct crash_suspects *p, uint64_t content, uint64_t now);
const struct crash_suspect_record *crash_suspect_next_refused(
	const struct crash_suspects *p, uint64_t now, size_t *index);
bool crash_suspect_known(struct crash_suspects *p, uint64_t content,
			 uint64_t now);
uint64_t crash_suspect_forgotten(const struct crash_suspects *p);
uint64_t crash_suspect_weight(uint64_t content, uint64_t instance);

#endif /* POLICY_CRASH_SUSPECT_H */
