/*
 * The ends of the faults of a soak, at the times that were drawn with the faults.
 */
#include "regress/soak/fault_ends.h"

/* Schedules the end of a fault; ends it at once if there are too many. */
void fault_ends_add(struct fault_ends *ends, uint64_t at_ms,
		    void (*end)(size_t what), size_t what)
{
	size_t i;

	for (i = 0; i < FAULT_ENDS_MAX; i++) {
		if (ends->list[i].end)
			continue;
		ends->list[i] = (struct fault_end){ at_ms, end, what };
		return;
	}
	end(what);
}

/* Ends the faults that are due; all of them at UINT64_MAX.  An end may schedule
 * another one. */
void fault_ends_due(struct fault_ends *ends, uint64_t now)
{
	size_t i;

	for (i = 0; i < FAULT_ENDS_MAX; i++) {
		struct fault_end e = ends->list[i];

		if (!e.end || now < e.at_ms)
			continue;
		ends->list[i].end = NULL;
		e.end(e.what);
	}
}
