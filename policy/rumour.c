/*
 * Which news a message of bounded size carries.  News that was told least often
 * goes first: each item then leaves once before any leaves twice, however many
 * there are.  Answers the pattern of an engine's death, when every request that
 * ran there becomes news at once and a judgement elsewhere waits for one of
 * them.
 */
#include "policy/rumour.h"

/* Who hears something is told of it together with all others. */
#define KNOWN_MS 2000

/* Offers an item for the message.  It takes its place behind those with as
 * many sends left, and one with fewer gives way where there is no room; an item
 * with none left is not taken. */
void rumour_offer(struct rumour_choice *c, size_t index,
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
	c->list[i] = (struct rumour){
		.index = index,
		.sends_left = sends_left,
	};
}

/* Tells whether what this instance has just found out is worth telling: not if
 * another one said it a moment ago.  Answers the pattern of a zone's engines
 * lost before 300 instances, each of which finds out for itself.  heard_ms is
 * when it was said last, 0 if it never was. */
bool rumour_is_news(uint64_t heard_ms, uint64_t now)
{
	return !heard_ms || now - heard_ms >= KNOWN_MS;
}
