/*
 * Names of the store's tables and outcomes, for logs and metrics.
 */
#include "proxyd/store.h"

/* Returns the name of an outcome. */
const char *store_outcome_name(enum store_outcome outcome)
{
	static const char *const names[] = {
		[STORE_OK] = "ok",
		[STORE_HISTORY_LOST] = "history lost",
		[STORE_REFUSED] = "refused",
		[STORE_UNREACHABLE] = "unreachable",
		[STORE_MALFORMED] = "malformed answer",
		[STORE_OLD_ERA] = "answer of an older era",
		[STORE_CHANGED] = "changed meanwhile",
		[STORE_ENDED] = "ended",
	};

	return names[outcome];
}

/* Returns the name of a table. */
const char *store_table_name(enum store_table table)
{
	static const char *const names[] = {
		[STORE_CONFIGURATION] = "configuration",
		[STORE_ENDPOINTS] = "endpoints",
		[STORE_INSTANCES] = "instances",
	};

	return names[table];
}
