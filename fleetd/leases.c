/*
 * Leases of model services.  Each model service has one lease, a row in the
 * platform's table, and the lease holder sends orders to the service's engines.
 * Only a few candidate instances, chosen by rendezvous hashing, read and renew
 * each row, so that the number of reads doesn't grow with the fleet.
 * policy/lease.c makes the decisions.  Decisions use the current time instead
 * of the loop's cached time, because the process may have been paused since
 * the loop updated it.
 */
#include "fleetd/leases.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleetd/gossip.h"
#include "fleetd/orders.h"
#include "fleetd/roster.h"
#include "lib/counters.h"
#include "lib/ident.h"
#include "lib/log.h"
#include "lib/xalloc.h"
#include "policy/pair_hash.h"

#define LEASE_CANDIDATES 3 /* candidate instances per lease */

/* The lease of one service. */
struct service_lease {
	struct fleetd *f;
	char *service;
	char *key;
	struct lease lease;
	bool candidate; /* this instance may acquire it */
	bool was_held; /* as last logged */
	bool call_pending; /* a call to the platform is in progress */
	bool removed; /* service removed; freed when the call ends */
};

struct leases {
	struct service_lease **all;
	size_t n;
};

static struct counter leases_held = {
	.name = "cdmfleetd_leases_held",
	.help = "Leases that this instance holds.",
	.kind = COUNTER_GAUGE,
};
static struct counter lease_writes = {
	.name = "cdmfleetd_lease_writes",
	.help = "Writes of lease rows.",
};
static struct counter lease_reads = {
	.name = "cdmfleetd_lease_reads",
	.help = "Reads of lease rows.",
};

static uint64_t now_ms(void);
static struct service_lease *lease_add(struct fleetd *f, const char *service);
static void lease_remove(struct leases *l, size_t i);
static void lease_free(struct service_lease *s);
static bool is_candidate(const struct fleetd *f, const char *service);
static void lease_run_step(struct service_lease *s);
static void lease_send_write(struct service_lease *s,
			     const struct lease_write *w);
static void on_read(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row);
static void on_written(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row);
static bool finish_call(struct service_lease *s);
static bool row_parse(const struct platform_row *row, struct lease_row *out);
static void log_change(struct service_lease *s);

/* Returns an empty table of leases. */
struct leases *leases_new(void)
{
	counter_register(&leases_held);
	counter_register(&lease_writes);
	counter_register(&lease_reads);
	return xcalloc(1, sizeof(struct leases));
}

/* Frees the table; calls to the platform must be cancelled before. */
void leases_free(struct leases *l)
{
	while (l->n) {
		lease_free(l->all[l->n - 1]);
		l->n--;
	}
	free(l->all);
	free(l);
}

/* Matches the leases with the model services of the configuration in force. */
void leases_configure(struct fleetd *f)
{
	const struct config_service *service;
	struct leases *l = f->leases;
	size_t i;

	for (i = l->n; i-- > 0;) {
		service = config_service_by_name(f->config, l->all[i]->service);
		if (!service || service->kind != SERVICE_MODEL)
			lease_remove(l, i);
	}
	for (i = 0; i < f->config->n_services; i++) {
		service = &f->config->services[i];
		if (service->kind == SERVICE_MODEL &&
		    !leases_find(f, service->name))
			lease_add(f, service->name);
	}
	leases_members_changed(f);
}

/* Recomputes for which leases this instance is a candidate. */
void leases_members_changed(struct fleetd *f)
{
	struct service_lease *s;
	size_t i;

	for (i = 0; i < f->leases->n; i++) {
		s = f->leases->all[i];
		s->candidate = is_candidate(f, s->service);
	}
}

/* Returns true if this instance holds any lease. */
bool leases_any_held(const struct fleetd *f)
{
	size_t i;

	for (i = 0; i < f->leases->n; i++)
		if (f->leases->all[i]->lease.state == LEASE_HELD)
			return true;
	return false;
}

/* Starts the reads and writes that are due.  A leaving instance releases its
 * leases, so that other instances needn't wait until they expire. */
void leases_tick(struct fleetd *f)
{
	struct service_lease *s;
	size_t held = 0;
	size_t i;

	for (i = 0; i < f->leases->n; i++) {
		s = f->leases->all[i];
		s->lease.wanted = !f->leaving && s->candidate;
		/* the next holder doesn't wait, so no order may be in flight */
		if (f->leaving && s->lease.state == LEASE_HELD &&
		    !orders_outstanding(f))
			lease_release(&s->lease);
		if (!s->call_pending &&
		    (s->lease.wanted || s->lease.state == LEASE_HELD ||
		     s->lease.pending))
			lease_run_step(s);
		held += s->lease.state == LEASE_HELD;
	}
	counter_set(&leases_held, (double)held);
}

/* Returns the lease of a service, or NULL. */
const struct lease *leases_find(const struct fleetd *f, const char *service)
{
	size_t i;

	for (i = 0; i < f->leases->n; i++)
		if (!strcmp(f->leases->all[i]->service, service))
			return &f->leases->all[i]->lease;
	return NULL;
}

/* Decides whether an order that takes up to order_ms milliseconds may be sent
 * now; endpoint_checks says that the engine checks fencing numbers. */
enum lease_decision leases_check(const struct fleetd *f, const char *service,
				 bool endpoint_checks, uint32_t order_ms)
{
	const struct lease *l = leases_find(f, service);

	if (!l)
		return LEASE_REFUSE;
	return lease_check(l, now_ms(), endpoint_checks, order_ms);
}

/* Returns all leases as JSON, from the rows that this instance has read. */
json_t *leases_status(const struct fleetd *f)
{
	const struct service_lease *s;
	const struct roster_entry *e;
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < f->leases->n; i++) {
		s = f->leases->all[i];
		e = roster_find(f->roster, s->lease.row.holder);
		json_array_append_new(
			list,
			json_pack("{s:s, s:s?, s:I, s:b}", "service",
				  s->service, "holder", e ? e->name : NULL,
				  "fencing", (json_int_t)s->lease.row.fencing,
				  "held_here", s->lease.state == LEASE_HELD));
	}
	return list;
}

/* Returns the monotonic time in ms, not the loop's cached time. */
static uint64_t now_ms(void)
{
	return uv_hrtime() / 1000000;
}

/* Adds the lease of a service. */
static struct service_lease *lease_add(struct fleetd *f, const char *service)
{
	struct leases *l = f->leases;
	struct service_lease *s = xcalloc(1, sizeof(*s));

	s->f = f;
	s->service = xstrdup(service);
	s->key = xasprintf("lease/%s", service);
	lease_init(&s->lease, f->self);
	l->all =
		xreallocarray(l->all, l->n + 1, sizeof(struct service_lease *));
	l->all[l->n++] = s;
	return s;
}

/* Removes a lease.  If a call is pending, finish_call() frees the lease. */
static void lease_remove(struct leases *l, size_t i)
{
	struct service_lease *s = l->all[i];

	l->all[i] = l->all[--l->n];
	if (s->call_pending)
		s->removed = true;
	else
		lease_free(s);
}

static void lease_free(struct service_lease *s)
{
	free(s->service);
	free(s->key);
	free(s);
}

/* Returns true if fewer than LEASE_CANDIDATES serving instances have a higher
 * rendezvous hash for the service than this one. */
static bool is_candidate(const struct fleetd *f, const char *service)
{
	const struct member_table *t = gossip_members(f);
	uint64_t id = name_id(service);
	uint64_t own = pair_hash(id, f->self);
	unsigned int before = 0;
	size_t i;

	for (i = 0; i < t->n; i++)
		if (member_serves(&t->members[i]) &&
		    pair_hash(id, t->members[i].u.id) > own)
			before++;
	return before < LEASE_CANDIDATES;
}

/* Performs the read or write that policy/lease.c decides on. */
static void lease_run_step(struct service_lease *s)
{
	struct platform *p = s->f->platform;
	struct lease_write w;

	switch (lease_step(&s->lease, now_ms(), fleetd_random(), &w)) {
	case LEASE_READ:
		s->call_pending = true;
		counter_add(&lease_reads, 1);
		p->ops->read(p, s->key, on_read, s);
		break;
	case LEASE_WRITE:
		s->call_pending = true;
		counter_add(&lease_writes, 1);
		lease_send_write(s, &w);
		break;
	case LEASE_NOTHING:
		break;
	}
	log_change(s);
}

/* Writes the row.  The first half of the write's nonce is the lease's nonce,
 * which row_parse() reads back. */
static void lease_send_write(struct service_lease *s,
			     const struct lease_write *w)
{
	struct platform *p = s->f->platform;
	char nonce[PLATFORM_NONCE_SIZE];
	struct platform_write write = {
		.key = s->key,
		.if_version = w->if_version,
	};
	char *value;

	snprintf(nonce, sizeof(nonce), "%016" PRIx64 "%016" PRIx64,
		 w->row.nonce, s->f->self);
	value = xasprintf("{\"holder\":\"%016" PRIx64 "\",\"fencing\":%" PRIu64
			  ",\"duration_ms\":%" PRIu32 "}",
			  w->row.holder, w->row.fencing, w->row.duration_ms);
	write.value = value;
	p->ops->write(p, nonce, &write, 1, on_written, s);
	free(value);
}

/* Applies the row that was read; a missing row is an empty one. */
static void on_read(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row)
{
	struct service_lease *s = arg;
	struct lease_row parsed = { 0 };

	if (finish_call(s))
		return;
	if (outcome == PLATFORM_NOT_FOUND ||
	    (outcome == PLATFORM_OK && row_parse(row, &parsed)))
		lease_read(&s->lease, &parsed, now_ms());
	else
		lease_read_failed(&s->lease, now_ms());
	log_change(s);
}

/* Applies the outcome of a write. */
static void on_written(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row)
{
	struct service_lease *s = arg;
	enum lease_result result = LEASE_FAILED;

	(void)row;
	if (finish_call(s))
		return;
	if (outcome == PLATFORM_OK)
		result = LEASE_WRITTEN;
	else if (outcome == PLATFORM_CONFLICT)
		result = LEASE_CONFLICT;
	else if (outcome == PLATFORM_UNKNOWN)
		result = LEASE_NO_ANSWER;
	lease_written(&s->lease, result, version, now_ms());
	log_change(s);
}

/* Marks a call as ended.  Returns true if the lease was removed in the
 * meantime; the lease is then freed. */
static bool finish_call(struct service_lease *s)
{
	s->call_pending = false;
	if (!s->removed)
		return false;
	lease_free(s);
	return true;
}

/* Parses a row; returns false if it is malformed. */
static bool row_parse(const struct platform_row *row, struct lease_row *out)
{
	json_t *root = json_loadb(row->value, row->value_len, 0, NULL);
	json_int_t fencing, duration_ms;
	const char *holder;
	char nonce[17];
	bool ok;

	ok = root &&
	     !json_unpack(root, "{s:s, s:I, s:I}", "holder", &holder, "fencing",
			  &fencing, "duration_ms", &duration_ms);
	if (ok) {
		out->version = row->version;
		out->holder = strtoull(holder, NULL, 16);
		out->fencing = (uint64_t)fencing;
		out->duration_ms = (uint32_t)duration_ms;
		snprintf(nonce, sizeof(nonce), "%s", row->nonce);
		out->nonce = strtoull(nonce, NULL, 16);
	}
	json_decref(root);
	return ok;
}

/* Logs when this instance acquires or loses the lease. */
static void log_change(struct service_lease *s)
{
	bool held = s->lease.state == LEASE_HELD;

	if (held == s->was_held)
		return;
	s->was_held = held;
	log_msg(LOG_NOTICE, held ? "lease-held" : "lease-lost", NULL,
		"the lease of service %s is %s, fencing number %" PRIu64,
		s->service,
		held ? "held by this instance"
		     : "no longer held by this instance",
		s->lease.row.fencing);
}
