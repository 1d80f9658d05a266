/*
 * Which gossip items a message of bounded size carries.  Items that were sent
 * least often go first: each item is sent once before any is sent twice,
 * however many there are.  Handles the crash of an engine, when every request
 * that ran on it becomes an item at once and a decision on another instance
 * waits for one of them.
 */
#include "policy/gossip_select.h"

/* An update from another instance has reached all instances; it is not sent
 * again for this time. */
#define KNOWN_MS 2000

/* Offers an item for the message.  It is placed behind the items with as many
 * sends left, and replaces one with fewer if the message is full; an item with
 * none left is not taken. */
void gossip_offer(struct gossip_selection *c, size_t index,
		  unsigned int sends_left)
{
	size_t i;

	if (!sends_left || !c->max)
		return;
	if (c->n == c->max && c->list[c->n - 1].sends_left >= sends_left)
		return;
	if (c->n < c->max)
		c->n++;
	for (i = c->n - 1; i && c->list[i - 1].sends_left < sends_left; i--)
		c->list[i] = c->list[i - 1];
	c->list[i] = (struct gossip_item){
		.index = index,
		.sends_left = sends_left,
	};
}

/* Tells whether something that this instance has just detected is worth
 * sending: not if another instance sent it a moment ago.  Handles the loss of a
 * zone's engines with 300 instances, each of which detects it by itself.
 * received_ms is when it was last received, 0 if never. */
bool gossip_is_new(uint64_t received_ms, uint64_t now)
{
	return !received_ms || now - received_ms >= KNOWN_MS;
}
