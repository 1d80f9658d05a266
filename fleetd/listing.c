/*
 * Reads from the platform which instances and endpoints are leaving: the
 * platform's instance list, which lags behind, and the drain rows that
 * operators' requests write.  The interval grows with the fleet, so that the
 * total rate of reads stays constant; digests carry changes between reads.
 */
#include "fleetd/listing.h"

#include <stdlib.h>
#include <string.h>

#include "fleetd/endpoints.h"
#include "fleetd/gossip.h"
#include "lib/counters.h"
#include "lib/ident.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define LISTING_INTERVAL_MS 2000 /* in a fleet of up to LISTING_FLEET_SIZE */
#define LISTING_FLEET_SIZE 8 /* instances; a larger fleet reads less often */
#define DRAIN_PREFIX "drain/"

/* A set of ids in an unsorted array. */
struct id_set {
	uint64_t *ids;
	size_t n;
};

struct listing {
	uint64_t next_read_ms;
	bool read_pending;
	struct id_set listed; /* endpoints and instances listed as leaving */
	struct id_set drained; /* drained by operators */
};

/* A drain request of an operator in progress. */
struct drain_change {
	struct fleetd *f;
	char *key;
	uint64_t id;
	enum drain_kind kind;
	bool undo;
	void (*on_done)(void *arg, enum drain_result result);
	void *arg;
};

static struct counter list_reads = {
	.name = "cdmfleetd_list_reads",
	.help = "Reads of the platform's instance list.",
};
static struct counter list_failures = {
	.name = "cdmfleetd_list_failures",
	.help = "Reads of the platform's instance list that failed.",
};

static void on_instances(void *arg, enum platform_outcome outcome,
			 const struct platform_instance *list, size_t n);
static void on_drains(void *arg, enum platform_outcome outcome,
		      const struct platform_row *rows, size_t n);
static uint64_t drain_id(enum drain_kind kind, const char *name);
static char *drain_key(enum drain_kind kind, const char *name);
static bool set_contains(const struct id_set *s, uint64_t id);
static void set_add(struct id_set *s, uint64_t id);
static void set_remove(struct id_set *s, uint64_t id);
static void on_drain_row(void *arg, enum platform_outcome outcome,
			 const struct platform_row *row);
static void on_drain_written(void *arg, enum platform_outcome outcome,
			     uint64_t version, const struct platform_row *row);
static void drain_finish(struct drain_change *d, enum drain_result result);

/* Returns a listing whose first read is due immediately. */
struct listing *listing_new(void)
{
	counter_register(&list_reads);
	counter_register(&list_failures);
	return xcalloc(1, sizeof(struct listing));
}

void listing_free(struct listing *l)
{
	free(l->listed.ids);
	free(l->drained.ids);
	free(l);
}

/* Reads the instance list, then the drain rows, when they are due. */
void listing_tick(struct fleetd *f, uint64_t now)
{
	size_t n = member_count_serving(gossip_members(f));
	struct listing *l = f->listing;
	uint64_t period = LISTING_INTERVAL_MS;

	if (l->read_pending || now < l->next_read_ms)
		return;
	if (n > LISTING_FLEET_SIZE)
		period = LISTING_INTERVAL_MS * n / LISTING_FLEET_SIZE;
	l->next_read_ms = now + period * 3 / 4 + fleetd_random() % (period / 2);
	l->read_pending = true;
	counter_add(&list_reads, 1);
	f->platform->ops->instances(f->platform, on_instances, f);
}

/* Makes the next read due at the next tick. */
void listing_read_soon(struct fleetd *f)
{
	f->listing->next_read_ms = 0;
}

/* Applies the last lists read to the endpoints and to this instance.  Also
 * called for a new configuration. */
void listing_apply(struct fleetd *f)
{
	const struct listing *l = f->listing;
	const char *name;
	uint64_t id;
	size_t i;

	for (i = 0; f->config && i < f->config->n_endpoints; i++) {
		name = f->config->endpoints[i].name;
		id = drain_id(DRAIN_OF_ENDPOINT, name);
		endpoints_set_leaving(f, name, set_contains(&l->listed, id),
				      set_contains(&l->drained, id));
	}
	id = drain_id(DRAIN_OF_INSTANCE, f->settings->instance);
	if (set_contains(&l->listed, id))
		fleetd_leave(f, "the platform lists this instance as leaving");
	if (set_contains(&l->drained, id))
		fleetd_leave(f, "an operator drains this instance");
}

/* Stores the instance list and starts the read of the drain rows. */
static void on_instances(void *arg, enum platform_outcome outcome,
			 const struct platform_instance *list, size_t n)
{
	struct fleetd *f = arg;
	struct listing *l = f->listing;
	enum drain_kind kind;
	size_t i;

	if (outcome != PLATFORM_OK) {
		counter_add(&list_failures, 1);
		l->read_pending = false;
		return;
	}
	gossip_apply_list(f, list, n);
	l->listed.n = 0;
	for (i = 0; i < n; i++) {
		if (!list[i].leaving)
			continue;
		kind = strcmp(list[i].kind, "endpoint") ? DRAIN_OF_INSTANCE
							: DRAIN_OF_ENDPOINT;
		set_add(&l->listed, drain_id(kind, list[i].name));
	}
	f->platform->ops->scan(f->platform, DRAIN_PREFIX, on_drains, f);
}

/* Stores the drain rows; the previous ones stay in use if the scan failed. */
static void on_drains(void *arg, enum platform_outcome outcome,
		      const struct platform_row *rows, size_t n)
{
	struct fleetd *f = arg;
	struct listing *l = f->listing;
	size_t i;

	l->read_pending = false;
	if (outcome == PLATFORM_OK) {
		l->drained.n = 0;
		for (i = 0; i < n; i++)
			set_add(&l->drained, name_id(rows[i].key));
	}
	listing_apply(f);
}

/* Writes the row that drains an endpoint or instance, or deletes it if undo is
 * set.  done is called once from the loop. */
void drain_request(struct fleetd *f, enum drain_kind kind, const char *name,
		   bool undo, void (*done)(void *arg, enum drain_result result),
		   void *arg)
{
	struct drain_change *d = xcalloc(1, sizeof(*d));

	d->f = f;
	d->key = drain_key(kind, name);
	d->id = drain_id(kind, name);
	d->kind = kind;
	d->undo = undo;
	d->on_done = done;
	d->arg = arg;
	f->platform->ops->read(f->platform, d->key, on_drain_row, d);
}

/* Writes or deletes the row unless it is already as requested. */
static void on_drain_row(void *arg, enum platform_outcome outcome,
			 const struct platform_row *row)
{
	struct drain_change *d = arg;
	struct platform *p = d->f->platform;
	struct platform_write write = { .key = d->key };
	char nonce[PLATFORM_NONCE_SIZE];

	if (outcome != PLATFORM_OK && outcome != PLATFORM_NOT_FOUND) {
		drain_finish(d, DRAIN_FAILED);
		return;
	}
	if ((outcome == PLATFORM_OK) != d->undo) {
		drain_finish(d, DRAIN_DONE);
		return;
	}
	write.value = d->undo ? NULL : "{}";
	write.if_version = row ? row->version : 0;
	platform_nonce(nonce);
	p->ops->write(p, nonce, &write, 1, on_drain_written, d);
}

/* Reports the outcome of the write.  After a conflict the row may already be as
 * requested, so the result is unknown. */
static void on_drain_written(void *arg, enum platform_outcome outcome,
			     uint64_t version, const struct platform_row *row)
{
	(void)version;
	(void)row;
	if (outcome == PLATFORM_OK)
		drain_finish(arg, DRAIN_DONE);
	else if (outcome == PLATFORM_UNKNOWN || outcome == PLATFORM_CONFLICT)
		drain_finish(arg, DRAIN_UNKNOWN);
	else
		drain_finish(arg, DRAIN_FAILED);
}

/* Applies a completed change on this instance without waiting for the next
 * read, reports the result and frees the request. */
static void drain_finish(struct drain_change *d, enum drain_result result)
{
	if (result == DRAIN_DONE) {
		if (d->undo)
			set_remove(&d->f->listing->drained, d->id);
		else
			set_add(&d->f->listing->drained, d->id);
		listing_apply(d->f);
	}
	d->on_done(d->arg, result);
	free(d->key);
	free(d);
}

/* Returns the key of a drain row, which the caller frees. */
static char *drain_key(enum drain_kind kind, const char *name)
{
	return xasprintf(DRAIN_PREFIX "%s/%s",
			 kind == DRAIN_OF_ENDPOINT ? "endpoint" : "instance",
			 name);
}

/* Returns the id of a name in the sets: the hash of its drain row's key. */
static uint64_t drain_id(enum drain_kind kind, const char *name)
{
	char *key = drain_key(kind, name);
	uint64_t id = name_id(key);

	free(key);
	return id;
}

/* Returns true if the set contains the id. */
static bool set_contains(const struct id_set *s, uint64_t id)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->ids[i] == id)
			return true;
	return false;
}

/* Adds an id unless the set already contains it. */
static void set_add(struct id_set *s, uint64_t id)
{
	if (set_contains(s, id))
		return;
	s->ids = xreallocarray(s->ids, s->n + 1, sizeof(*s->ids));
	s->ids[s->n++] = id;
}

/* Removes an id if the set contains it. */
static void set_remove(struct id_set *s, uint64_t id)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->ids[i] == id)
			s->ids[i--] = s->ids[--s->n];
}
