/*
 * Moments from which on the users' rules don't bind an instance or a link.
 */
#include "regress/soak/excuses.h"

#include <stdlib.h>

#include "lib/xalloc.h"

/* Notes an excuse. */
void excuses_add(struct excuses *e, size_t of, uint64_t now)
{
	e->list = xreallocarray(e->list, e->n + 1, sizeof(*e->list));
	e->list[e->n++] = (struct excuse){ .of = of, .at_ms = now };
}

/* Tells whether there was an excuse in a span. */
bool excuses_between(const struct excuses *e, size_t of, uint64_t from,
		     uint64_t to)
{
	size_t i;

	for (i = 0; i < e->n; i++)
		if (e->list[i].of == of && e->list[i].at_ms >= from &&
		    e->list[i].at_ms <= to)
			return true;
	return false;
}

/* Frees what was noted. */
void excuses_release(struct excuses *e)
{
	free(e->list);
	*e = (struct excuses){ 0 };
}
