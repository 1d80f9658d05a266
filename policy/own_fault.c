/*
 * Whose fault silence is.  Endpoints fail by zones, one zone at a time.  When
 * endpoints of several zones fall silent together, it is this instance that is
 * cut off, or its link that is full, and nothing is moved on their account.
 * Answers the load pattern of a large configuration that every instance reads
 * at once over a slow link.
 */
#include "policy/own_fault.h"

/* Silences within this time count as one event. */
#define TOGETHER_MS 500

/* Zones that do not fail together. */
#define ZONES 2

/* An endpoint of a zone gave no answer in time. */
void own_fault_silence(struct own_fault *f, uint16_t zone, uint64_t now)
{
	f->silent_ms[zone % OWN_FAULT_ZONES] = now ? now : 1;
}

/* Tells whether this instance is the one at fault. */
bool own_fault_likely(const struct own_fault *f, uint64_t now)
{
	int zones = 0;
	size_t i;

	for (i = 0; i < OWN_FAULT_ZONES; i++)
		zones += f->silent_ms[i] && now - f->silent_ms[i] < TOGETHER_MS;
	return zones >= ZONES;
}
