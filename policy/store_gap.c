/*
 * Finds transactions of the store of which an instance has read no row.  The
 * store numbers the transactions on all its tables together; a row has the number
 * of the one that changed it last, and each answer names the newest number.  A
 * number that no known row has belongs to a change that a dead call did not
 * return, to a table that is not followed, or to a row that has been changed
 * again since.  Which of these holds is found by reading the followed tables.
 * Handles a configuration that is written while all calls for it are dead, on a
 * day on which entries of endpoints change several times a second.
 */
#include "policy/store_gap.h"

/* Time in which a row arrives whose number another call's answer has named. */
#define ANSWER_MS 200

static bool is_later(const struct store_gap *g, uint64_t version);
static void absorb_later(struct store_gap *g);
static void advance(struct store_gap *g, uint64_t version, uint64_t now);

/* Records that a row with this version was read. */
void store_gap_row(struct store_gap *g, uint64_t version, uint64_t now)
{
	if (version == g->accounted + 1)
		advance(g, version, now);
	else if (version > g->accounted && !is_later(g, version) &&
		 g->n_later < STORE_GAP_LATER_MAX)
		g->later[g->n_later++] = version;
}

/* Records that all followed tables have been read up to a version. */
void store_gap_tables_read(struct store_gap *g, uint64_t version, uint64_t now)
{
	if (version > g->accounted)
		advance(g, version, now);
}

/* Records the newest version that an answer of the store has named. */
void store_gap_newest(struct store_gap *g, uint64_t version, uint64_t now)
{
	if (version > g->newest)
		g->newest = version;
	if (g->newest > g->accounted && !g->since_ms)
		g->since_ms = now;
}

/* Tells whether a transaction is missing that the calls in progress should have
 * returned by now, if it changed a table that they follow. */
bool store_gap_open(const struct store_gap *g, uint64_t now)
{
	return g->since_ms && now - g->since_ms > ANSWER_MS;
}

/* Accounts for all transactions up to a version; the next one that is missing, if
 * any, is missing since now. */
static void advance(struct store_gap *g, uint64_t version, uint64_t now)
{
	g->accounted = version;
	absorb_later(g);
	g->since_ms = g->newest > g->accounted ? now : 0;
}

/* Accounts for the later transactions that follow without a gap, and drops those
 * that are accounted for. */
static void absorb_later(struct store_gap *g)
{
	size_t kept = 0;
	size_t i;

	while (is_later(g, g->accounted + 1))
		g->accounted++;
	for (i = 0; i < g->n_later; i++)
		if (g->later[i] > g->accounted)
			g->later[kept++] = g->later[i];
	g->n_later = kept;
}

/* Tells whether a version is among the later ones. */
static bool is_later(const struct store_gap *g, uint64_t version)
{
	size_t i;

	for (i = 0; i < g->n_later; i++)
		if (g->later[i] == version)
			return true;
	return false;
}
