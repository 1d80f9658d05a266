#ifndef POLICY_RUMOUR_H
#define POLICY_RUMOUR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* News that may go into a message: its place in the caller's table, and how
 * many messages are still to carry it. */
struct rumour {
	size_t index;
	unsigned int sends_left;
};

/* The news chosen for one message, most urgent first. */
struct rumour_choice {
	struct rumour *list;
	size_t max; /* that the message has room for */
	size_t n;
};

void rumour_offer(struct rumour_choice *c, size_t index,
		  unsigned int sends_left);
bool rumour_is_news(uint64_t heard_ms, uint64_t now);

#endif /* POLICY_RUMOUR_H */
