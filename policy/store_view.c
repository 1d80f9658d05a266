/*
 * How old an instance's view of the store is: the time by which all changes that
 * the store had acknowledged are known here.  It is renewed by answers of the
 * store to own calls, and by other instances whose changes are all known here.
 */
#include "policy/store_view.h"

/* Records that the store has shown all its changes up to a time. */
void store_view_read(struct store_view *v, uint64_t ms)
{
	if (ms > v->read_ms)
		v->read_ms = ms;
}

/* Records that another instance knew all changes up to a time, and that they are
 * known here too. */
void store_view_told(struct store_view *v, uint64_t ms)
{
	if (ms > v->told_ms)
		v->told_ms = ms;
}

/* Forgets the view: the tables are read anew. */
void store_view_reset(struct store_view *v)
{
	*v = (struct store_view){ .old = v->old };
}

/* Returns the age of the view, ms; UINT64_MAX if there is none. */
uint64_t store_view_age_ms(const struct store_view *v, uint64_t now)
{
	uint64_t ms = v->read_ms > v->told_ms ? v->read_ms : v->told_ms;

	if (!ms)
		return UINT64_MAX;
	return now > ms ? now - ms : 0;
}

/* Tells whether the view has become old, or has been renewed, since the last
 * call. */
bool store_view_old_changes(struct store_view *v, uint64_t now)
{
	bool old = store_view_age_ms(v, now) > STORE_VIEW_OLD_MS;
	bool changes = old != v->old;

	v->old = old;
	return changes;
}
