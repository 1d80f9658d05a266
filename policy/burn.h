#ifndef POLICY_BURN_H
#define POLICY_BURN_H

#include <stdbool.h>
#include <stdint.h>

enum {
	BURN_MINUTE_MS = 60000,
	BURN_MINUTES = 360,
};

struct burn_minute {
	uint32_t good;
	uint32_t bad;
};

/* Outcomes of one objective by minute, over the last six hours. */
struct burn {
	uint64_t minute; /* newest in the ring, counted from time 0 */
	uint64_t good; /* since burn_init(), for the error budget */
	uint64_t bad;
	struct burn_minute ring[BURN_MINUTES];
};

/* Alert if the burn rates of both windows reach the threshold. */
struct burn_alert_rule {
	const char *name;
	uint32_t fast_min;
	uint32_t slow_min;
	double threshold;
};

enum burn_level {
	BURN_OK,
	BURN_TICKET, /* 30 minutes and 6 hours */
	BURN_PAGE, /* 5 minutes and 1 hour */
};

struct burn_report {
	enum burn_level level;
	double page_fast; /* burn rates; 1 uses the budget exactly */
	double page_slow;
	double ticket_fast;
	double ticket_slow;
	double budget_left; /* 1 unused, 0 used up, negative if exceeded */
};

extern const struct burn_alert_rule burn_page;
extern const struct burn_alert_rule burn_ticket;

void burn_init(struct burn *b, uint64_t now);
void burn_add(struct burn *b, uint64_t now, uint32_t good, uint32_t bad);
void burn_merge(struct burn *into, const struct burn *from);
double burn_rate(const struct burn *b, uint64_t now, uint32_t minutes,
		 double objective);
struct burn_report burn_evaluate(const struct burn *b, uint64_t now,
				 double objective);

#endif /* POLICY_BURN_H */
