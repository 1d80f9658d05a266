/*
 * How old an instance's view of the store is: the time by which all changes that
 * the store had acknowledged are known here.  It is renewed by answers of the
 * store to own calls, and by other instances whose changes are all known here.
 * The first instance asks the store often; if that does not renew the view of
 * another one in time, for whatever reason, that one reads the tables itself, and
 * tells the others.  They do so in their order, so that in most cases one does.
 * Handles a store that never answers the calls which wait for changes, while the
 * first instances are cut off, stand still or end.
 */
#include "policy/store_view.h"

/* The age at which the first instance renews its view, and how much later the
 * last one does: a change that was made just before takes effect within 2 s also
 * if all others fail. */
#define RENEW_MS 1100
#define SPREAD_MS 600

/* A renewal without an answer is made again after this time, which doubles, as
 * the store may be slow. */
#define PATIENCE_MIN_MS 400
#define PATIENCE_MAX_MS 3200

/* Records that the store has shown all its changes up to a time.  Returns whether
 * that ends a renewal, so that others may be waiting for it. */
bool store_view_read(struct store_view *v, uint64_t ms)
{
	bool renewed = v->asked_ms && ms >= v->asked_ms;

	if (ms > v->read_ms)
		v->read_ms = ms;
	if (renewed)
		v->asked_ms = 0;
	return renewed;
}

/* Tells whether a view is so old that an instance may have to renew it; ends a
 * renewal that others have made needless. */
bool store_view_aged(struct store_view *v, uint64_t now)
{
	if (store_view_age_ms(v, now) > RENEW_MS)
		return true;
	v->asked_ms = 0;
	return false;
}

/* Decides whether an instance reads the tables now to renew its view; it then
 * counts as begun.  preceding are the live instances before it in the order,
 * of all instances, itself included. */
bool store_view_renewal_due(struct store_view *v, size_t preceding,
			    size_t instances, uint64_t now)
{
	uint64_t limit_ms = RENEW_MS + SPREAD_MS * preceding / instances;

	if (store_view_age_ms(v, now) <= limit_ms) {
		v->asked_ms = 0;
		return false;
	}
	if (!v->asked_ms)
		v->patience_ms = PATIENCE_MIN_MS;
	else if (now - v->asked_ms < v->patience_ms)
		return false;
	else if (v->patience_ms < PATIENCE_MAX_MS)
		v->patience_ms *= 2;
	v->asked_ms = now;
	return true;
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
