/*
 * Requests that crash endpoints: records of deaths go to the quarantine's
 * table, and from there to the other instances through cdmfleetd.
 */
#include "entryd/suspects.h"

#include <stdlib.h>
#include <string.h>

#include "entryd/fleet.h"
#include "entryd/generation.h"
#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define RUNNING_MAX 4096 /* requests on one endpoint that died */
#define EXPORT_MAX 256 /* records of one message */
#define EXPIRE_MS 1000

static struct counter deaths = {
	.name = "cdmentryd_endpoint_deaths",
	.help = "Deaths of engines seen with requests of this process.",
};

static void tell(struct entryd *e, uint64_t since);

/* Makes the counter known, once. */
void suspects_init(void)
{
	counter_register(&deaths);
}

/*
 * A request's stream broke at an endpoint.  It stays on the list until a probe
 * tells whether the endpoint died: a dying process may take a connection in
 * its last moment and so answer the first probe with a break too, while the
 * request has long moved on.
 */
void suspects_run_broke(struct endpoint *ep,
			const struct quarantine_digest *digest)
{
	size_t i;

	for (i = 0; i < ep->n_broken_runs; i++)
		if (ep->broken_runs[i].lo == digest->lo)
			return;
	if (ep->n_broken_runs == RUNNING_MAX)
		return;
	if (!ep->n_broken_runs)
		ep->broken_salt = ep->salt;
	ep->broken_runs = xreallocarray(ep->broken_runs, ep->n_broken_runs + 1,
					sizeof(*ep->broken_runs));
	ep->broken_runs[ep->n_broken_runs++] = *digest;
}

/* The endpoint did not die of what broke there. */
void suspects_clear(struct endpoint *ep)
{
	ep->n_broken_runs = 0;
}

/* An engine, in the start named by salt, has died with requests of ours:
 * those that broke there, and those whose break is not heard yet. */
void suspects_death(struct entryd *e, struct endpoint *ep, uint64_t salt)
{
	static struct quarantine_digest running[RUNNING_MAX];
	uint64_t now = entryd_now(e);
	size_t n = generations_on(e, ep, running, RUNNING_MAX);
	size_t i;

	counter_add(&deaths, 1);
	for (i = 0; i < n; i++)
		suspects_run_broke(ep, &running[i]);
	log_msg(LOG_WARNING, "endpoint-death", NULL,
		"engine %s died while %zu requests ran there", ep->name,
		ep->n_broken_runs);
	quarantine_add_death(e->quarantine, quarantine_death_id(ep->name, salt),
			     ep->broken_runs, ep->n_broken_runs, now);
	suspects_clear(ep);
	tell(e, now);
}

/* Takes records of other instances. */
void suspects_heard(struct entryd *e, Cdm__Suspicion **list, size_t n)
{
	uint64_t now = entryd_now(e);
	struct quarantine_record record;
	size_t i;
	size_t k;

	for (i = 0; i < n; i++) {
		memset(&record, 0, sizeof(record));
		record.digest.lo = list[i]->digest;
		for (k = 0; k < list[i]->n_deaths && k < QUARANTINE_DEATHS_MAX;
		     k++)
			record.deaths[record.ndeaths++] = list[i]->deaths[k];
		record.blocked = list[i]->has_convicted && list[i]->convicted;
		record.keep_ms = list[i]->has_expires_in_ms
					 ? (uint32_t)list[i]->expires_in_ms
					 : quarantine_defaults.suspect_keep_ms;
		if (quarantine_merge(e->quarantine, &record, now))
			generations_reevaluate(e, &record.digest);
	}
}

/* Forgets what has lapsed. */
void suspects_tick(struct entryd *e, uint64_t now)
{
	if (now / EXPIRE_MS != (now - ENTRYD_TICK_MS) / EXPIRE_MS)
		quarantine_expire(e->quarantine, now);
}

/* Returns the digest of a request.  Messages carry 64 bits of it, so the rest
 * is left out here too. */
struct quarantine_digest suspects_digest(const char *org, const char *content,
					 size_t len)
{
	struct quarantine_digest d = quarantine_digest(org, content, len);

	d.hi = 0;
	return d;
}

/* Sends the records changed since a time. */
static void tell(struct entryd *e, uint64_t since)
{
	static struct quarantine_record records[EXPORT_MAX];
	static Cdm__Suspicion messages[EXPORT_MAX];
	Cdm__Suspicion *list[EXPORT_MAX];
	Cdm__Observation m = CDM__OBSERVATION__INIT;
	size_t n = quarantine_export(e->quarantine, since, entryd_now(e),
				     records, EXPORT_MAX);
	size_t i;

	for (i = 0; i < n; i++) {
		cdm__suspicion__init(&messages[i]);
		messages[i].digest = records[i].digest.lo;
		messages[i].deaths = records[i].deaths;
		messages[i].n_deaths = records[i].ndeaths;
		messages[i].has_convicted = 1;
		messages[i].convicted = records[i].blocked;
		messages[i].has_expires_in_ms = 1;
		messages[i].expires_in_ms = records[i].keep_ms;
		list[i] = &messages[i];
	}
	m.suspicions = list;
	m.n_suspicions = n;
	if (n)
		fleet_observe(e, &m);
}
