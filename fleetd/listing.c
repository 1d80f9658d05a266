/*
 * Reads what the platform keeps about leaving: its lagging list of instances
 * and endpoints, and the rows that operators leave by draining.  Larger fleets
 * read more rarely, so that the whole fleet's reads stay the same; news
 * spreads with the digests.
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

#define LISTING_MS 2000 /* between reads in a fleet of LISTING_FLEET */
#define LISTING_FLEET 8 /* instances */
#define DRAIN_PREFIX "drain/"

/* A growing set of ids. */
struct id_set {
	uint64_t *ids;
	size_t n;
};

struct listing {
	uint64_t next_at; /* ms */
	bool busy;
	struct id_set listed; /* endpoints and instances listed as leaving */
	struct id_set drained; /* by operators */
};

/* One operator's request. */
struct drain_change {
	struct fleetd *f;
	char *key;
	uint64_t id;
	enum drain_kind kind;
	bool undo;
	void (*done)(void *arg, enum drain_result result);
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
static bool set_has(const struct id_set *s, uint64_t id);
static void set_add(struct id_set *s, uint64_t id);
static void set_remove(struct id_set *s, uint64_t id);
static void on_drain_row(void *arg, enum platform_outcome outcome,
			 const struct platform_row *row);
static void on_drain_written(void *arg, enum platform_outcome outcome,
			     uint64_t version, const struct platform_row *row);
static void drain_finish(struct drain_change *d, enum drain_result result);

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

/* Starts the reads when they are due. */
void listing_tick(struct fleetd *f, uint64_t now)
{
	size_t n = member_count_serving(gossip_members(f));
	struct listing *l = f->listing;
	uint64_t period = LISTING_MS;

	if (l->busy || now < l->next_at)
		return;
	if (n > LISTING_FLEET)
		period = LISTING_MS * n / LISTING_FLEET;
	l->next_at = now + period * 3 / 4 + fleetd_random() % (period / 2);
	l->busy = true;
	counter_add(&list_reads, 1);
	f->platform->ops->instances(f->platform, on_instances, f);
}

/* Has the reads start at the next tick. */
void listing_hurry(struct fleetd *f)
{
	f->listing->next_at = 0;
}

/* Tells the endpoints what was read last; also for a new configuration. */
void listing_apply(struct fleetd *f)
{
	const struct listing *l = f->listing;
	const char *name;
	uint64_t id;
	size_t i;

	for (i = 0; f->config && i < f->config->n_endpoints; i++) {
		name = f->config->endpoints[i].name;
		id = drain_id(DRAIN_OF_ENDPOINT, name);
		endpoints_set_leaving(f, name, set_has(&l->listed, id),
				      set_has(&l->drained, id));
	}
	id = drain_id(DRAIN_OF_INSTANCE, f->settings->instance);
	if (set_has(&l->listed, id))
		fleetd_leave(f, "the platform lists this instance as leaving");
	if (set_has(&l->drained, id))
		fleetd_leave(f, "an operator drains this instance");
}

static void on_instances(void *arg, enum platform_outcome outcome,
			 const struct platform_instance *list, size_t n)
{
	struct fleetd *f = arg;
	struct listing *l = f->listing;
	enum drain_kind kind;
	size_t i;

	if (outcome != PLATFORM_OK) {
		counter_add(&list_failures, 1);
		l->busy = false;
		return;
	}
	gossip_list(f, list, n);
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

static void on_drains(void *arg, enum platform_outcome outcome,
		      const struct platform_row *rows, size_t n)
{
	struct fleetd *f = arg;
	struct listing *l = f->listing;
	size_t i;

	l->busy = false;
	if (outcome == PLATFORM_OK) {
		l->drained.n = 0;
		for (i = 0; i < n; i++)
			set_add(&l->drained, name_id(rows[i].key));
	}
	listing_apply(f);
}

/* Writes or deletes the row that drains an endpoint or instance; done is
 * called once from the loop. */
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
	d->done = done;
	d->arg = arg;
	f->platform->ops->read(f->platform, d->key, on_drain_row, d);
}

static void on_drain_row(void *arg, enum platform_outcome outcome,
			 const struct platform_row *row)
{
	struct drain_change *d = arg;
	struct platform *p = d->f->platform;
	struct platform_write write = { .key = d->key };
	char nonce[PLATFORM_NONCE_SIZE];

	if (outcome != PLATFORM_OK && outcome != PLATFORM_NOT_FOUND) {
		drain_finish(d, DRAIN_NOT_DONE);
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

static void on_drain_written(void *arg, enum platform_outcome outcome,
			     uint64_t version, const struct platform_row *row)
{
	(void)version;
	(void)row;
	if (outcome == PLATFORM_OK)
		drain_finish(arg, DRAIN_DONE);
	else if (outcome == PLATFORM_UNKNOWN || outcome == PLATFORM_CONFLICT)
		drain_finish(arg, DRAIN_MAYBE);
	else
		drain_finish(arg, DRAIN_NOT_DONE);
}

/* Puts a change that is done in effect here at once. */
static void drain_finish(struct drain_change *d, enum drain_result result)
{
	if (result == DRAIN_DONE) {
		if (d->undo)
			set_remove(&d->f->listing->drained, d->id);
		else
			set_add(&d->f->listing->drained, d->id);
		listing_apply(d->f);
	}
	d->done(d->arg, result);
	free(d->key);
	free(d);
}

/* Returns a row's key, which the caller frees. */
static char *drain_key(enum drain_kind kind, const char *name)
{
	return xasprintf(DRAIN_PREFIX "%s/%s",
			 kind == DRAIN_OF_ENDPOINT ? "endpoint" : "instance",
			 name);
}

/* Returns the id under which the sets hold a name. */
static uint64_t drain_id(enum drain_kind kind, const char *name)
{
	char *key = drain_key(kind, name);
	uint64_t id = name_id(key);

	free(key);
	return id;
}

static bool set_has(const struct id_set *s, uint64_t id)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->ids[i] == id)
			return true;
	return false;
}

static void set_add(struct id_set *s, uint64_t id)
{
	if (set_has(s, id))
		return;
	s->ids = xreallocarray(s->ids, s->n + 1, sizeof(*s->ids));
	s->ids[s->n++] = id;
}

static void set_remove(struct id_set *s, uint64_t id)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->ids[i] == id)
			s->ids[i--] = s->ids[--s->n];
}
