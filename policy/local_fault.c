/*
 * Decides whether unanswered connections are the fault of this instance.
 * Endpoints fail by zones, one zone at a time.  When endpoints of several zones
 * stop answering together, this instance is cut off or its link is full, and no
 * run is moved because of them.  Handles a large configuration that all
 * instances read at once over a slow link.
 */
#include "policy/local_fault.h"

/* Timeouts within this time count as one event. */
#define TOGETHER_MS 500

/* So many zones do not fail together. */
#define ZONES 2

/* Records that an endpoint of a zone did not answer in time. */
void local_fault_record_timeout(struct local_fault *f, uint16_t zone,
				uint64_t now)
{
	f->last_timeout_ms[zone % LOCAL_FAULT_ZONES] = now ? now : 1;
}

/* Tells whether this instance or its link is likely at fault. */
bool local_fault_likely(const struct local_fault *f, uint64_t now)
{
	int zones = 0;
	size_t i;

	for (i = 0; i < LOCAL_FAULT_ZONES; i++)
		zones += f->last_timeout_ms[i] &&
			 now - f->last_timeout_ms[i] < TOGETHER_MS;
	return zones >= ZONES;
}
