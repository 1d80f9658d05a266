/*
 * Requests suspected of crashing endpoints.  Deaths of endpoints are recorded
 * in the quarantine table, and changed records are sent to the other instances
 * through cdmfleetd.
 */
#include "entryd/suspects.h"

#include <stdlib.h>
#include <string.h>

#include "entryd/fleet.h"
#include "entryd/generation.h"
#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define BROKEN_RUNS_MAX 4096 /* recorded per endpoint */
#define RECORDS_MAX 256 /* in one message */
#define EXPIRE_INTERVAL_MS 1000

static struct counter deaths = {
	.name = "cdmentryd_endpoint_deaths",
	.help = "Deaths of engines seen with requests of this process.",
};

static void send_records(struct entryd *e, uint64_t since);

/* Registers the counter; called once. */
void suspects_init(void)
{
	counter_register(&deaths);
}

/*
 * Records that a request's stream broke at an endpoint.  The request stays on
 * the list until a probe shows whether the endpoint died.  A dying process may
 * still accept the first probe's connection and break it too, when the request
 * has already moved to another endpoint.
 */
void suspects_run_broke(struct endpoint *ep,
			const struct quarantine_digest *digest)
{
	size_t i;

	for (i = 0; i < ep->n_broken_runs; i++)
		if (ep->broken_runs[i].lo == digest->lo)
			return;
	if (ep->n_broken_runs == BROKEN_RUNS_MAX)
		return;
	if (!ep->n_broken_runs)
		ep->broken_salt = ep->salt;
	ep->broken_runs = xreallocarray(ep->broken_runs, ep->n_broken_runs + 1,
					sizeof(*ep->broken_runs));
	ep->broken_runs[ep->n_broken_runs++] = *digest;
}

/* Drops the broken requests of an endpoint, once a probe has shown that it did
 * not die, or after its death is recorded. */
void suspects_clear(struct endpoint *ep)
{
	ep->n_broken_runs = 0;
}

/* Records the death of an engine, in the start identified by salt, with the
 * requests of this process at it: those whose streams broke, and those whose
 * break has not been noticed yet. */
void suspects_record_death(struct entryd *e, struct endpoint *ep, uint64_t salt)
{
	static struct quarantine_digest running[BROKEN_RUNS_MAX];
	uint64_t now = entryd_now(e);
	size_t n = generations_on(e, ep, running, BROKEN_RUNS_MAX);
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
	send_records(e, now);
}

/* Merges records received from other instances. */
void suspects_receive(struct entryd *e, Cdm__Suspicion **list, size_t n)
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

/* Removes expired records, once per EXPIRE_INTERVAL_MS. */
void suspects_tick(struct entryd *e, uint64_t now)
{
	if (now / EXPIRE_INTERVAL_MS !=
	    (now - ENTRYD_TICK_MS) / EXPIRE_INTERVAL_MS)
		quarantine_expire(e->quarantine, now);
}

/* Returns the digest of a request.  Messages carry only 64 bits of it, so the
 * other bits are cleared here too. */
struct quarantine_digest suspects_digest(const char *org, const char *content,
					 size_t len)
{
	struct quarantine_digest d = quarantine_digest(org, content, len);

	d.hi = 0;
	return d;
}

/* Sends the records changed since a time. */
static void send_records(struct entryd *e, uint64_t since)
{
	static struct quarantine_record records[RECORDS_MAX];
	static Cdm__Suspicion messages[RECORDS_MAX];
	Cdm__Suspicion *list[RECORDS_MAX];
	Cdm__Observation m = CDM__OBSERVATION__INIT;
	size_t n = quarantine_export(e->quarantine, since, entryd_now(e),
				     records, RECORDS_MAX);
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
