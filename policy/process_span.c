/*
 * Which process a request was sent to.  A process that states its start shows that it
 * held the connection of its answer from the opening of that until it was asked.  What
 * is read later shows no more: a partition may have held it back, and a connection
 * that is open here may have lost its process.  The process of a request that was
 * answered held its connection in the same way.  An address has one process at a time,
 * so that both are one if these times meet.
 */
#include "policy/process_span.h"

/* Notes a start, in ms, that was stated on a connection opened at one moment to a
 * question sent at a later one.  Answers may be read out of order: one that was asked
 * before another process was known to run is of no account. */
void process_span_note(struct process_span *p, uint64_t start_ms,
		       uint64_t opened, uint64_t asked)
{
	if (!start_ms || !opened)
		return;
	if (p->start_ms == start_ms) {
		if (opened < p->since)
			p->since = opened;
		if (asked > p->until)
			p->until = asked;
	} else if (asked > p->until) {
		*p = (struct process_span){
			.start_ms = start_ms,
			.since = opened,
			.until = asked,
		};
	}
}

/* Tells whether a request that was answered had been sent to the process: on a
 * connection that was opened by one moment, and at a later one. */
bool process_span_covers(const struct process_span *p, uint64_t opened,
			 uint64_t sent)
{
	return p->start_ms && opened && p->since < sent && opened < p->until;
}
