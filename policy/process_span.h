#ifndef POLICY_PROCESS_SPAN_H
#define POLICY_PROCESS_SPAN_H

#include <stdbool.h>
#include <stdint.h>

/* The process that last stated its start at an address, and moments between which it
 * is known to have run: numbers that order what was done here. */
struct process_span {
	uint64_t start_ms; /* by the endpoint's clock; 0: none is known */
	uint64_t since;
	uint64_t until;
	/* the start that the endpoint's entry names, 0 if none, and the moment by
	 * which that was first read */
	uint64_t listed_ms;
	uint64_t listed;
};

void process_span_note(struct process_span *p, uint64_t start_ms,
		       uint64_t opened, uint64_t asked);
void process_span_note_entry(struct process_span *p, uint64_t start_ms,
			     uint64_t read);
bool process_span_covers(const struct process_span *p, uint64_t opened,
			 uint64_t sent);
bool process_span_begins_after(const struct process_span *p, uint64_t sent);

#endif /* POLICY_PROCESS_SPAN_H */
