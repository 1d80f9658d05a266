/*
 * Service-level objectives: good and bad outcomes by minute, burn rates over
 * pairs of a fast and a slow window, and the remaining error budget.  An alert
 * needs both windows: the slow one suppresses short spikes, and the fast one
 * ends the alert soon after the fault.
 */
#include "policy/burn.h"

#include <string.h>

const struct burn_alert_rule burn_page = {
	.name = "page",
	.fast_min = 5,
	.slow_min = 60,
	.threshold = 14.4,
};

const struct burn_alert_rule burn_ticket = {
	.name = "ticket",
	.fast_min = 30,
	.slow_min = 360,
	.threshold = 6,
};

static void advance(struct burn *b, uint64_t minute);
static uint32_t saturating_add(uint32_t a, uint32_t b);
static double compute_burn_rate(uint64_t good, uint64_t bad, double objective);

/*
 * Initialises a table without outcomes.  Tables that are merged must use the
 * same clock.
 */
void burn_init(struct burn *b, uint64_t now)
{
	memset(b, 0, sizeof(*b));
	b->minute = now / BURN_MINUTE_MS;
}

/* Makes minute the newest one and clears the slots of the minutes before it. */
static void advance(struct burn *b, uint64_t minute)
{
	uint64_t m;

	if (minute <= b->minute)
		return;
	if (minute - b->minute >= BURN_MINUTES) {
		memset(b->ring, 0, sizeof(b->ring));
		b->minute = minute;
		return;
	}
	for (m = b->minute + 1; m <= minute; m++)
		memset(&b->ring[m % BURN_MINUTES], 0, sizeof(b->ring[0]));
	b->minute = minute;
}

/* Returns a + b, or UINT32_MAX on overflow. */
static uint32_t saturating_add(uint32_t a, uint32_t b)
{
	return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

/*
 * Counts outcomes at time now.  Outcomes older than the ring count only towards
 * the budget.
 */
void burn_add(struct burn *b, uint64_t now, uint32_t good, uint32_t bad)
{
	uint64_t minute = now / BURN_MINUTE_MS;
	struct burn_minute *slot = &b->ring[minute % BURN_MINUTES];

	advance(b, minute);
	b->good += good;
	b->bad += bad;
	if (b->minute - minute >= BURN_MINUTES)
		return;
	slot->good = saturating_add(slot->good, good);
	slot->bad = saturating_add(slot->bad, bad);
}

/* Adds the outcomes of table from, of another instance, to table into. */
void burn_merge(struct burn *into, const struct burn *from)
{
	uint64_t m;

	advance(into, from->minute);
	into->good += from->good;
	into->bad += from->bad;
	for (m = 0; m < BURN_MINUTES && m <= from->minute; m++) {
		uint64_t minute = from->minute - m;
		struct burn_minute *to = &into->ring[minute % BURN_MINUTES];
		const struct burn_minute *s =
			&from->ring[minute % BURN_MINUTES];

		if (into->minute - minute >= BURN_MINUTES)
			break;
		to->good = saturating_add(to->good, s->good);
		to->bad = saturating_add(to->bad, s->bad);
	}
}

/* Returns the share of bad outcomes relative to the share allowed. */
static double compute_burn_rate(uint64_t good, uint64_t bad, double objective)
{
	double allowed = 1 - objective;

	if (!bad)
		return 0;
	if (allowed < 1e-9)
		allowed = 1e-9;
	return (double)bad / (double)(good + bad) / allowed;
}

/*
 * Returns the burn rate over the last minutes, including the current one.
 * objective is the required share of good outcomes, for example 0.999.
 */
double burn_rate(const struct burn *b, uint64_t now, uint32_t minutes,
		 double objective)
{
	uint64_t newest = now / BURN_MINUTE_MS;
	uint64_t good = 0;
	uint64_t bad = 0;
	uint64_t m;

	if (minutes > BURN_MINUTES)
		minutes = BURN_MINUTES;
	for (m = 0; m < minutes && m <= newest; m++) {
		uint64_t minute = newest - m;
		const struct burn_minute *s = &b->ring[minute % BURN_MINUTES];

		if (minute > b->minute)
			continue;
		if (b->minute - minute >= BURN_MINUTES)
			break;
		good += s->good;
		bad += s->bad;
	}
	return compute_burn_rate(good, bad, objective);
}

/*
 * Evaluates both window pairs, and the budget that remains of the outcomes
 * since burn_init().
 */
struct burn_report burn_evaluate(const struct burn *b, uint64_t now,
				 double objective)
{
	struct burn_report r = {
		.level = BURN_OK,
		.page_fast = burn_rate(b, now, burn_page.fast_min, objective),
		.page_slow = burn_rate(b, now, burn_page.slow_min, objective),
		.ticket_fast =
			burn_rate(b, now, burn_ticket.fast_min, objective),
		.ticket_slow =
			burn_rate(b, now, burn_ticket.slow_min, objective),
		.budget_left =
			1 - compute_burn_rate(b->good, b->bad, objective),
	};

	if (r.ticket_fast >= burn_ticket.threshold &&
	    r.ticket_slow >= burn_ticket.threshold)
		r.level = BURN_TICKET;
	if (r.page_fast >= burn_page.threshold &&
	    r.page_slow >= burn_page.threshold)
		r.level = BURN_PAGE;
	return r;
}
