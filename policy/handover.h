#ifndef POLICY_HANDOVER_H
#define POLICY_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of the place to which a run is to move while the old run is held;
 * times in ms. */
struct handover {
	bool goes_on; /* the old run may speak first, and is read */
	bool relayed; /* the new one is at another instance */
	bool path_lost; /* this instance reaches no endpoint of the service */
	bool cannot_be_asked; /* the new endpoint, for a sign of life */
	uint64_t offered_ms; /* when its connection stood; 0: not yet */
	uint64_t heard_ms; /* when its last bytes came; 0: never */
	uint64_t old_heard_ms; /* the same of the old endpoint */
	bool old_ended; /* that can't go on any more */
};

bool handover_should_ask(const struct handover *h, uint64_t now);
bool handover_can_refuse(const struct handover *h);
bool handover_over(uint64_t can_refuse_ms_ago, bool answered);

#endif /* POLICY_HANDOVER_H */
