/*
 * Rows of refusals in the store, which outlive all instances.  One instance
 * writes and removes the row of a content; any other removal clears the
 * refusal.
 */
#include "proxyd/suspects_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/event_log.h"
#include "policy/content.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/watch.h"

/* Interval at which rows are compared with the refusals, so that a refusal that
 * another instance clears at once is not written. */
#define ROWS_SYNC_MS 1000

/* A refusal that expires sooner is not written. */
#define ROW_MIN_MS 20000

#define KEY_SIZE 64

static bool remove_stale_row(struct suspects *t);
static void write_missing_row(struct suspects *t);
static bool row_is_current(struct suspects *t,
			   const struct refusal_entry *entry);
static void on_row_written(void *arg, enum store_outcome outcome);
static struct refusal_row *find_row(struct suspects *t, uint64_t content);
static void row_removed(struct suspects *t, struct refusal_row *row,
			const char *by);
static void row_key(uint64_t content, char key[KEY_SIZE]);

/* Applies a row of the store; false if it is not that of a refusal. */
bool suspects_apply_row(struct suspects *t, const struct store_row *row)
{
	uint64_t now = proxyd_now(t->proxyd);
	uint64_t unix_now = proxyd_unix_ms();
	struct refusal_row *known;
	uint64_t left_ms;
	uint64_t age_ms;

	if (!store_is_refusal(row->key))
		return false;
	if (!row->refusal) {
		known = find_row(
			t, strtoull(row->key + strlen(STORE_REFUSAL_PREFIX),
				    NULL, 16));
		if (known)
			row_removed(t, known, "store");
		else if (row->problem[0])
			event_log(EVENT_NOTABLE, "entry-unreadable", NULL,
				  "{s:s, s:s}", "refusal", row->key, "problem",
				  row->problem);
		return true;
	}
	known = find_row(t, row->refusal->content);
	if (!known && t->n_rows < REFUSAL_ROWS_MAX)
		known = &t->rows[t->n_rows++];
	if (known)
		*known = (struct refusal_row){
			.content = row->refusal->content,
			.until_ms = row->refusal->until_ms,
			.version = row->version,
		};
	left_ms = row->refusal->until_ms > unix_now
			  ? row->refusal->until_ms - unix_now
			  : 0;
	age_ms = unix_now > row->refusal->since_ms
			 ? unix_now - row->refusal->since_ms
			 : 0;
	if (left_ms)
		suspects_apply_refusal(t, row->refusal->content,
				       now > age_ms ? now - age_ms : 0, left_ms,
				       "store");
	return true;
}

/* Handles the rows that are missing from a full listing as removed.  If the
 * store has returned from a copy, their refusals stay, and the rows are written
 * again. */
void suspects_remove_unlisted(struct suspects *t, const struct store_row *rows,
			      size_t n, bool from_copy)
{
	size_t i = t->n_rows;
	size_t k;

	while (i-- > 0) {
		for (k = 0; k < n; k++)
			if (rows[k].refusal &&
			    rows[k].refusal->content == t->rows[i].content)
				break;
		if (k == n && from_copy)
			t->rows[i] = t->rows[--t->n_rows];
		else if (k == n)
			row_removed(t, &t->rows[i], "store");
	}
}

/* Writes or removes one row that differs from the refusals of this instance, if
 * this instance is responsible for it. */
void suspects_sync_rows(struct suspects *t)
{
	uint64_t now = proxyd_now(t->proxyd);

	if (now - t->rows_synced_ms < ROWS_SYNC_MS)
		return;
	t->rows_synced_ms = now;
	if (!t->row_pending && watches_store_reachable(t->proxyd->watches) &&
	    !remove_stale_row(t))
		write_missing_row(t);
}

/* Removes one row whose content is not refused any more; false if there is
 * none.  A removal may be done seconds later, when the content is refused again
 * and its row was written anew, so that it names the version of the row. */
static bool remove_stale_row(struct suspects *t)
{
	struct proxyd *p = t->proxyd;
	char key[KEY_SIZE];
	size_t i;

	for (i = 0; i < t->n_rows; i++) {
		if (crash_suspect_refused_ms(t->records, t->rows[i].content,
					     proxyd_now(p)) ||
		    !peers_is_first_keeper(p->peers, t->rows[i].content))
			continue;
		row_key(t->rows[i].content, key);
		t->row_pending = true;
		p->store->ops->remove_entry(p->store, key, t->rows[i].version,
					    on_row_written, t);
		return true;
	}
	return false;
}

/* Writes the row of one refused content that has none. */
static void write_missing_row(struct suspects *t)
{
	struct proxyd *p = t->proxyd;
	uint64_t now = proxyd_now(p);
	const struct crash_suspect_record *r;
	char key[KEY_SIZE];
	size_t i = 0;

	if (t->n_rows == REFUSAL_ROWS_MAX)
		return;
	while ((r = crash_suspect_next_refused(t->records, now, &i))) {
		const struct refusal_entry entry = {
			.content = r->content,
			.until_ms =
				proxyd_unix_ms() + r->refused_until_ms - now,
			.since_ms = proxyd_unix_ms() -
				    (now - r->crashes[0].sent_ms),
		};

		if (r->refused_until_ms < now + ROW_MIN_MS ||
		    row_is_current(t, &entry) ||
		    !peers_is_first_keeper(p->peers, r->content))
			continue;
		row_key(r->content, key);
		t->row_pending = true;
		p->store->ops->put_refusal(p->store, key, &entry,
					   on_row_written, t);
		return;
	}
}

/* Handles the end of a write or removal.  The table of rows changes only by the
 * updates that the store sends; one that has another version was missed. */
static void on_row_written(void *arg, enum store_outcome outcome)
{
	struct suspects *t = arg;

	t->row_pending = false;
	if (outcome == STORE_CHANGED)
		watches_rows_missed(t->proxyd->watches, STORE_INSTANCES);
	event_log(EVENT_ALWAYS, "refusal-row", NULL, "{s:s}", "outcome",
		  store_outcome_name(outcome));
}

/* Returns whether a refusal has a row; that of a part has to name the end of its
 * latest refusal. */
static bool row_is_current(struct suspects *t,
			   const struct refusal_entry *entry)
{
	const struct refusal_row *row = find_row(t, entry->content);

	return row && (!content_is_part(entry->content) ||
		       row->until_ms + ROW_MIN_MS >= entry->until_ms);
}

/* Returns the row of a content, or NULL. */
static struct refusal_row *find_row(struct suspects *t, uint64_t content)
{
	size_t i;

	for (i = 0; i < t->n_rows; i++)
		if (t->rows[i].content == content)
			return &t->rows[i];
	return NULL;
}

/* Handles the removal of a row; if it had not expired, its refusal is
 * cleared. */
static void row_removed(struct suspects *t, struct refusal_row *row,
			const char *by)
{
	uint64_t content = row->content;
	bool expired = row->until_ms <= proxyd_unix_ms();

	*row = t->rows[--t->n_rows];
	if (!expired && crash_suspect_clear(t->records, content))
		suspects_note_cleared(t, content, by);
}

/* Formats the key of a content's row. */
static void row_key(uint64_t content, char key[KEY_SIZE])
{
	char text[CONTENT_TEXT_SIZE];

	content_text(content, text);
	snprintf(key, KEY_SIZE, STORE_REFUSAL_PREFIX "%s", text);
}
