/*
 * Which software version began a stream.  What two versions write does not fit
 * together, so a stream that its caller resumes goes on only at endpoints of
 * the version that began it.  Instances note the version of each stream they
 * begin, and tell it to a few others, its keepers, as an instance may end while
 * it cannot write to the store.  While endpoints of a service run several
 * versions, or did so within the longest life of a stream, the notes are written
 * to the store too, as all instances may end at once.
 */
#include "policy/stream_origin.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define WAYS 8

/* The records of an instance that runs are in the store within the interval
 * between its writes, so that a second reading finds those that the first one
 * came too early for. */
#define READINGS_MAX 2

/* A caller that waits for its records longer is better served by beginning
 * anew. */
#define WAIT_MAX_MS 1000

/* A keeper answers within two ticks of this process and the way there and
 * back. */
#define KEEPERS_WAIT_MS 100

/* Reading a prompt of usual length takes a second; a record that is written
 * within a third of that is in the store before the first event. */
#define WRITE_INTERVAL_MS 300

/* The writes of all instances share one part of the store, which takes 150 a
 * second; half of these are left to others. */
#define INTERVAL_PER_INSTANCE_MS 14

static struct stream_origin *set_of(const struct stream_origin_table *t,
				    uint64_t stream);
static struct stream_origin *slot_for(struct stream_origin_table *t,
				      uint64_t stream);
static size_t find_software(const struct software_history *h,
			    uint64_t software);
static bool is_recent(const struct software_version *v, uint64_t life_ms,
		      uint64_t now);

/* Allocates a table of about max streams. */
void stream_origin_init(struct stream_origin_table *t, uint32_t max)
{
	t->n_sets = 1;
	while (t->n_sets * WAYS < max)
		t->n_sets *= 2;
	t->slot = xcalloc((size_t)t->n_sets * WAYS, sizeof(*t->slot));
}

/* Frees the table. */
void stream_origin_release(struct stream_origin_table *t)
{
	free(t->slot);
}

/* Notes the version of the endpoint to which this instance sends a stream that
 * has not begun.  A later note replaces it. */
void stream_origin_note(struct stream_origin_table *t, uint64_t stream,
			uint64_t software, uint64_t now)
{
	struct stream_origin *slot = slot_for(t, stream);
	bool same = slot->stream == stream && slot->software == software &&
		    slot->own;

	*slot = (struct stream_origin){
		.stream = stream,
		.software = software,
		.noted_ms = now,
		.own = true,
		.stored = same ? slot->stored : STORED_NOT,
	};
}

/* Handles the first event of a stream that this instance has sent: its version
 * is final. */
void stream_origin_begin(struct stream_origin_table *t, uint64_t stream,
			 uint64_t software, uint64_t now)
{
	struct stream_origin *slot;

	stream_origin_note(t, stream, software, now);
	slot = slot_for(t, stream);
	slot->begun = true;
}

/* Marks the note of a stream whose version is not known but will be soon, with the
 * name that stands for it: it is not written to the store under that name, as a
 * second record, of the version, would contradict it. */
void stream_origin_await_name(struct stream_origin_table *t, uint64_t stream)
{
	struct stream_origin *slot = slot_for(t, stream);

	if (slot->stream == stream)
		slot->awaits_name = true;
}

/* Applies the note of another instance on a stream that has begun.  It counts
 * more than one that was made before; two that differ prove nothing. */
void stream_origin_keep(struct stream_origin_table *t, uint64_t stream,
			uint64_t software, uint64_t now)
{
	struct stream_origin *slot = slot_for(t, stream);

	if (slot->stream == stream && slot->begun) {
		if (slot->software != software)
			slot->software = SOFTWARE_UNKNOWN;
		return;
	}
	*slot = (struct stream_origin){
		.stream = stream,
		.software = software,
		.noted_ms = now,
		.begun = true,
		.stored = STORED,
	};
}

/* Applies a record of the store, which may have been made before the stream
 * began.  Own notes and those of begun streams count more, and own ones are not
 * replaced before they are written; two records with different versions, of a
 * stream that was sent to both before it began, prove nothing. */
void stream_origin_read(struct stream_origin_table *t, uint64_t stream,
			uint64_t software, uint64_t now)
{
	struct stream_origin *slot = slot_for(t, stream);

	if (slot->stream != stream && slot->stream && slot->own &&
	    slot->stored != STORED)
		return;
	if (slot->stream == stream) {
		if (!slot->own && !slot->begun && slot->software != software)
			slot->software = SOFTWARE_UNKNOWN;
		return;
	}
	*slot = (struct stream_origin){
		.stream = stream,
		.software = software,
		.noted_ms = now,
		.stored = STORED,
	};
}

/* Returns the note of a stream, or NULL. */
const struct stream_origin *stream_origin_find(
	const struct stream_origin_table *t, uint64_t stream)
{
	const struct stream_origin *set = set_of(t, stream);
	int i;

	for (i = 0; i < WAYS; i++)
		if (stream && set[i].stream == stream)
			return &set[i];
	return NULL;
}

/* Returns the next note from a position that the store does not have and that
 * was made at since or later; NULL at the end.  *position starts at 0. */
struct stream_origin *stream_origin_next_unstored(struct stream_origin_table *t,
						  uint64_t since,
						  size_t *position)
{
	while (*position < (size_t)t->n_sets * WAYS) {
		struct stream_origin *slot = &t->slot[(*position)++];

		if (slot->stream && slot->own && !slot->awaits_name &&
		    slot->stored == STORED_NOT && slot->noted_ms >= since)
			return slot;
	}
	return NULL;
}

/* Handles a version that was not known and is now: notes of streams that began at
 * what stood for it name the version from now on. */
void stream_origin_rename(struct stream_origin_table *t, uint64_t from,
			  uint64_t to)
{
	size_t i;

	for (i = 0; i < (size_t)t->n_sets * WAYS; i++) {
		struct stream_origin *slot = &t->slot[i];

		if (!slot->stream || slot->software != from)
			continue;
		slot->software = to;
		slot->awaits_name = false;
		slot->stored = STORED_NOT;
	}
}

/* Handles the end of the call that wrote notes. */
void stream_origin_written(struct stream_origin_table *t, bool success)
{
	size_t i;

	for (i = 0; i < (size_t)t->n_sets * WAYS; i++)
		if (t->slot[i].stored == STORED_IN_CALL)
			t->slot[i].stored = success ? STORED : STORED_NOT;
}

/* Handles the loss of what was written to the store: the own notes are to be
 * written again. */
void stream_origin_lost(struct stream_origin_table *t)
{
	size_t i;

	for (i = 0; i < (size_t)t->n_sets * WAYS; i++)
		t->slot[i].stored = STORED_NOT;
}

/* Returns the slots that may hold a stream. */
static struct stream_origin *set_of(const struct stream_origin_table *t,
				    uint64_t stream)
{
	return &t->slot[(stream & (t->n_sets - 1)) * WAYS];
}

/* Returns the slot of a stream, or the oldest slot of its set. */
static struct stream_origin *slot_for(struct stream_origin_table *t,
				      uint64_t stream)
{
	struct stream_origin *set = set_of(t, stream);
	struct stream_origin *slot = set;
	int i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].stream == stream)
			return &set[i];
		if (set[i].noted_ms < slot->noted_ms)
			slot = &set[i];
	}
	return slot;
}

/* Notes that an endpoint with a version is, or was, listed at a time.  If there are too many
 * versions, the one that was listed longest ago is forgotten. */
void software_note(struct software_history *h, uint64_t service,
		   uint64_t software, uint64_t now)
{
	struct software_version *v = h->version;
	size_t i;

	for (i = 0; i < h->n; i++) {
		if (h->version[i].software == software) {
			if (now <= h->version[i].listed_ms)
				return;
			h->version[i].listed_ms = now;
			h->version[i].end_reading = 0;
			return;
		}
		if (h->version[i].listed_ms < v->listed_ms)
			v = &h->version[i];
	}
	if (h->n < SOFTWARE_VERSIONS_MAX)
		v = &h->version[h->n++];
	else
		h->overflow_ms = now;
	*v = (struct software_version){
		.service = service,
		.software = software,
		.listed_ms = now,
	};
}

/* Applies a row of the store that names a version; it is to be written again
 * unless it is of the current era.  row_version is that of the row. */
void software_read(struct software_history *h, uint64_t service,
		   uint64_t software, bool current, uint64_t row_version,
		   uint64_t now)
{
	size_t i = find_software(h, software);

	if (i == h->n)
		software_note(h, service, software, now);
	if (i == h->n)
		return;
	h->version[i].stored = current ? STORED : STORED_NOT;
	h->version[i].row_version = row_version;
}

/* Returns the index of a version, h->n if it is not known. */
static size_t find_software(const struct software_history *h, uint64_t software)
{
	size_t i;

	for (i = 0; i < h->n; i++)
		if (h->version[i].software == software)
			break;
	return i;
}

/* Tells whether a version that the store has began no stream which lasts life_ms
 * at most and is not over. */
bool software_over(const struct software_version *v, uint64_t life_ms,
		   uint64_t now)
{
	return v->stored == STORED && now - v->listed_ms > life_ms;
}

/* Forgets a version that no endpoint runs or ran. */
void software_forget(struct software_history *h, uint64_t software)
{
	size_t i;

	for (i = 0; i < h->n; i++)
		if (h->version[i].software == software)
			h->version[i--] = h->version[--h->n];
}

/* Returns the versions of a service that may have begun a stream which lasts
 * life_ms at most. */
struct software_recent software_recent(const struct software_history *h,
				       uint64_t service, uint64_t life_ms,
				       uint64_t now)
{
	struct software_recent r = { .only = SOFTWARE_UNKNOWN };
	size_t i;

	for (i = 0; i < h->n; i++) {
		if (h->version[i].service != service ||
		    !is_recent(&h->version[i], life_ms, now))
			continue;
		r.n++;
		r.only = h->version[i].software;
	}
	if (h->overflow_ms && now - h->overflow_ms <= life_ms)
		r.n += SOFTWARE_VERSIONS_MAX;
	if (r.n != 1)
		r.only = SOFTWARE_UNKNOWN;
	return r;
}

/* Tells whether some service has or lately had several versions, so that notes
 * are written to the store. */
bool software_mixed(const struct software_history *h, uint64_t life_ms,
		    uint64_t now)
{
	size_t i;

	for (i = 0; i < h->n; i++)
		if (software_recent(h, h->version[i].service, life_ms, now).n >
		    1)
			return true;
	return false;
}

/* Tells whether the store knows that a version serves. */
bool software_stored(const struct software_history *h, uint64_t software)
{
	size_t i = find_software(h, software);

	return i < h->n && h->version[i].stored == STORED;
}

/* Returns whether a version may have begun a stream that is not over. */
static bool is_recent(const struct software_version *v, uint64_t life_ms,
		      uint64_t now)
{
	return now - v->listed_ms <= life_ms;
}

/* Decides where a stream goes on that its caller resumes.  One whose version
 * can't be found is refused: joined with another version it would be wrong
 * without a sign.  That only one version has served is proof only if it was
 * read after the stream arrived: an instance that is cut off, or was stopped,
 * does not know what it has missed.  A record made before the first event may
 * be of an attempt that brought none, so that the keepers are asked first. */
struct take_up_decision stream_take_up_decide(const struct stream_take_up *t)
{
	struct take_up_decision d = { .action = TAKE_UP_REFUSE };

	if (!(t->recorded != SOFTWARE_UNKNOWN && t->begun) && t->keepers &&
	    t->asked_ms_ago < KEEPERS_WAIT_MS) {
		d.action = TAKE_UP_ASK;
	} else if (t->recorded != SOFTWARE_UNKNOWN) {
		d.action = TAKE_UP_BOUND;
		d.software = t->recorded;
	} else if (t->history_complete && t->recent.n == 1) {
		d.action = TAKE_UP_BOUND;
		d.software = t->recent.only;
	} else if (t->store_answers && t->readings < READINGS_MAX &&
		   t->waited_ms < WAIT_MAX_MS) {
		d.action = TAKE_UP_WAIT;
	}
	return d;
}

/* Returns the time between two writes of notes of one instance, ms.  Handles
 * hundreds of instances that all write while versions are mixed. */
uint32_t stream_origin_interval_ms(size_t instances)
{
	size_t ms = instances * INTERVAL_PER_INSTANCE_MS;

	return ms > WRITE_INTERVAL_MS ? (uint32_t)ms : WRITE_INTERVAL_MS;
}
