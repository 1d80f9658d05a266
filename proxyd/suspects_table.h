#ifndef PROXYD_SUSPECTS_TABLE_H
#define PROXYD_SUSPECTS_TABLE_H

/* What is held against contents, from within: for suspects.c and
 * suspects_rows.c. */

#include "lib/counters.h"
#include "proxyd/suspects.h"

#define REFUSAL_ROWS_MAX 64 /* in the store */

/* A row of the store. */
struct refusal_row {
	uint64_t content;
	uint64_t until_ms; /* Unix time */
};

struct suspects {
	struct proxyd *proxyd;
	struct crash_suspects *poison;
	struct refusal_row rows[REFUSAL_ROWS_MAX];
	size_t n_rows;
	uint64_t rows_ms; /* when they were compared last */
	bool busy; /* a row is being written or removed */
	struct counter *suspected;
	struct counter *refused;
	struct counter *cleared;
	struct counter *turned_away;
};

void suspects_compare_rows(struct suspects *t);
void suspects_refused_elsewhere(struct suspects *t, uint64_t content,
				uint64_t since_ms, uint64_t left_ms,
				const char *by);
void suspects_cleared(struct suspects *t, uint64_t content, const char *by);

#endif /* PROXYD_SUSPECTS_TABLE_H */
