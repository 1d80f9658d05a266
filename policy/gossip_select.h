#ifndef POLICY_GOSSIP_SELECT_H
#define POLICY_GOSSIP_SELECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A candidate for a message: its index in the caller's table, and how many
 * messages are still to carry it. */
struct gossip_item {
	size_t index;
	unsigned int sends_left;
};

/* The items selected for one message, most urgent first. */
struct gossip_selection {
	struct gossip_item *list;
	size_t max; /* items that fit into the message */
	size_t n;
};

void gossip_offer(struct gossip_selection *c, size_t index,
		  unsigned int sends_left);
bool gossip_is_new(uint64_t received_ms, uint64_t now);

#endif /* POLICY_GOSSIP_SELECT_H */
