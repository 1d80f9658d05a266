#ifndef REGRESS_SOAK_FAULT_ENDS_H
#define REGRESS_SOAK_FAULT_ENDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FAULT_ENDS_MAX 64

/* The scheduled end of a fault. */
struct fault_end {
	uint64_t at_ms;
	void (*end)(size_t what); /* NULL: none */
	size_t what; /* argument of end */
};

/* The ends of the faults that go on. */
struct fault_ends {
	struct fault_end list[FAULT_ENDS_MAX];
};

void fault_ends_add(struct fault_ends *ends, uint64_t at_ms,
		    void (*end)(size_t what), size_t what);
void fault_ends_due(struct fault_ends *ends, uint64_t now);

#endif /* REGRESS_SOAK_FAULT_ENDS_H */
