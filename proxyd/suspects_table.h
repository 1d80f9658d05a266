#ifndef PROXYD_SUSPECTS_TABLE_H
#define PROXYD_SUSPECTS_TABLE_H

/* Private layout of the crash suspects, shared by suspects.c and
 * suspects_rows.c. */

#include "lib/counters.h"
#include "proxyd/suspects.h"

#define REFUSAL_ROWS_MAX 64 /* in the store */

/* A refusal's row in the store. */
struct refusal_row {
	uint64_t content;
	uint64_t until_ms; /* Unix time */
	uint64_t version; /* of the row; 0: unknown */
};

struct suspects {
	struct proxyd *proxyd;
	struct crash_suspects *records;
	struct refusal_row rows[REFUSAL_ROWS_MAX];
	size_t n_rows;
	uint64_t rows_synced_ms; /* last comparison with the records */
	bool row_pending; /* a row is being written or removed */
	uint64_t stop_runs_ms; /* of parts refused lately; 0: none */
	struct counter *suspected;
	struct counter *refused;
	struct counter *cleared;
	struct counter *rejected;
	struct counter *forgotten;
	uint64_t n_forgotten; /* parts, when last looked at */
};

void suspects_sync_rows(struct suspects *t);
void suspects_apply_refusal(struct suspects *t, uint64_t content,
			    uint64_t since_ms, uint64_t left_ms,
			    const char *by);
void suspects_note_cleared(struct suspects *t, uint64_t content,
			   const char *by);

#endif /* PROXYD_SUSPECTS_TABLE_H */
