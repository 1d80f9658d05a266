#ifndef REGRESS_SOAK_EXCUSES_H
#define REGRESS_SOAK_EXCUSES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A moment from which on an instance, or a link, is not held to a rule. */
struct excuse {
	size_t of;
	uint64_t at_ms;
};

struct excuses {
	struct excuse *list;
	size_t n;
};

void excuses_add(struct excuses *e, size_t of, uint64_t now);
bool excuses_between(const struct excuses *e, size_t of, uint64_t from,
		     uint64_t to);
void excuses_release(struct excuses *e);

#endif /* REGRESS_SOAK_EXCUSES_H */
