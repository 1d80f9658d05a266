/*
 * When an instance writes its entry in the store again.  What an earlier process
 * of the instance wrote or removed may be done after the present one has written
 * its entry, and then replaces or removes that.  The others count the instance
 * no more, though it works; it notices by the versions of what it reads.
 */
#include "policy/own_entry.h"

#include "policy/store_era.h"

/* Wait before the second write of a row of them; it doubles with each further
 * one.  Two live processes that bear one name write by turns, without end. */
#define REWRITE_WAIT_MIN_MS 250
#define REWRITE_WAIT_MAX_MS 32000

/* An entry that stayed for so long ends a row of writes. */
#define REWRITE_CALM_MS 60000

/* Records the own entry as it was at a version. */
void own_entry_read(struct own_entry *e, enum own_entry_state state,
		    uint64_t version)
{
	e->read = state;
	e->read_version = version;
}

/* Records that the store has acknowledged the entry; version is its own one
 * after that, 0 if it did not say. */
void own_entry_written(struct own_entry *e, uint64_t version)
{
	e->written = true;
	e->written_version = version;
}

/* Forgets what the store has: it has returned from a copy, and gives out its
 * versions again. */
void own_entry_era_began(struct own_entry *e)
{
	e->written = false;
	e->written_version = 0;
	e->read_version = 0;
}

/* Tells whether the store had the entry and has it no more.  What was read at an
 * older version than that of the write does not show that. */
bool own_entry_is_lost(const struct own_entry *e)
{
	return e->written && e->read_version && e->read != OWN_ENTRY_PRESENT &&
	       e->read_version >= e->written_version;
}

/* Handles the loss of the entry.  Returns how long to wait before it is written
 * again, ms: nearly nothing at first, but instances that lose their entries in
 * one moment spread their writes, as the store bounds those of all together.
 * instances are the live ones; rnd is a random number. */
uint32_t own_entry_rewrite(struct own_entry *e, size_t instances, uint64_t now,
			   uint64_t rnd)
{
	uint32_t wait = store_era_delay_ms(instances, false, rnd);
	uint32_t again = REWRITE_WAIT_MIN_MS;
	uint32_t i;

	if (now > e->rewritten_ms + REWRITE_CALM_MS)
		e->rewrites = 0;
	for (i = 1; i < e->rewrites && again < REWRITE_WAIT_MAX_MS; i++)
		again *= 2;
	if (e->rewrites)
		wait += again;
	e->written = false;
	e->rewrites++;
	e->rewritten_ms = now + wait;
	return wait;
}

/* Returns a phrase for what was read, for logs. */
const char *own_entry_state_text(enum own_entry_state state)
{
	static const char *const texts[] = {
		[OWN_ENTRY_PRESENT] = "present",
		[OWN_ENTRY_MISSING] = "missing",
		[OWN_ENTRY_OTHER] = "of another process",
	};

	return texts[state];
}
