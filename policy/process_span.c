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
	if (start_ms == p->listed_ms && p->listed < opened)
		opened = p->listed;
	if (p->start_ms == start_ms) {
		if (opened < p->since)
			p->since = opened;
		if (asked > p->until)
			p->until = asked;
	} else if (asked > p->until) {
		p->start_ms = start_ms;
		p->since = opened;
		p->until = asked;
	}
}

/* Notes a start, in ms, that an entry named which was read at a moment.  The process
 * had written its entry by then, so that it runs from there to its own word. */
void process_span_note_entry(struct process_span *p, uint64_t start_ms,
			     uint64_t read)
{
	if (!start_ms || start_ms == p->listed_ms)
		return;
	p->listed_ms = start_ms;
	p->listed = read;
	if (p->start_ms == start_ms && read < p->since)
		p->since = read;
}

/* Tells whether a request that was answered had been sent to the process: on a
 * connection that was opened by one moment, and at a later one. */
bool process_span_covers(const struct process_span *p, uint64_t opened,
			 uint64_t sent)
{
	return p->start_ms && opened && p->since < sent && opened < p->until;
}

/* Tells whether a request was sent before the process is known to have run: an earlier
 * one may have received it, and no later word of the process shows otherwise. */
bool process_span_begins_after(const struct process_span *p, uint64_t sent)
{
	return p->start_ms && sent <= p->since;
}
