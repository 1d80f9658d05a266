/*
 * Events after which the users' rules do not apply to an instance or a link.
 */
#include "regress/soak/exemptions.h"

#include <stdlib.h>

#include "lib/xalloc.h"

/* Adds an exemption of a subject that starts now. */
void exemption_list_add(struct exemption_list *e, size_t subject, uint64_t now)
{
	e->entries = xreallocarray(e->entries, e->n + 1, sizeof(*e->entries));
	e->entries[e->n++] =
		(struct exemption){ .subject = subject, .at_ms = now };
}

/* Returns whether an exemption of a subject started between two times, both
 * included. */
bool exemption_list_any_between(const struct exemption_list *e, size_t subject,
				uint64_t from, uint64_t to)
{
	size_t i;

	for (i = 0; i < e->n; i++)
		if (e->entries[i].subject == subject &&
		    e->entries[i].at_ms >= from && e->entries[i].at_ms <= to)
			return true;
	return false;
}

/* Frees the exemptions. */
void exemption_list_release(struct exemption_list *e)
{
	free(e->entries);
	*e = (struct exemption_list){ 0 };
}
