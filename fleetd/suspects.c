/*
 * Crash records of requests, merged from all instances and sent to all.  A
 * record lists the endpoint starts that crashed while the request ran there,
 * and says whether the request is blocked.  The cdmentryds decide on that.
 */
#include "fleetd/suspects.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleetd/gossip.h"
#include "lib/counters.h"
#include "lib/xalloc.h"
#include "policy/gossip_select.h"

#define SUSPECTS_MAX 4096 /* further requests get no record until some expire */
#define SUSPECT_DEFAULT_TTL_MS 600000 /* for records without an expiry time */
#define SUSPECT_SENDS 8 /* digests in which a change is sent */

/* The crash record of a request, identified by a digest of its organisation and
 * content. */
struct suspect {
	uint64_t digest;
	uint64_t deaths[SUSPECT_DEATHS_MAX]; /* endpoint starts that crashed */
	size_t n_deaths;
	bool blocked;
	uint64_t expires_ms;
	unsigned int sends_left;
	uint64_t changed_seq; /* sequence of the last change */
};

struct suspects {
	struct suspect *all;
	size_t n;
};

static struct counter suspect_count = {
	.name = "cdmfleetd_suspects",
	.help = "Requests that were running where an endpoint died.",
	.kind = COUNTER_GAUGE,
};

static struct suspect *suspect_get(struct suspects *s, uint64_t digest);
static bool suspect_merge(struct suspect *s, const Cdm__Suspicion *m,
			  uint64_t now);
static void suspect_fill(struct suspect *s, uint64_t now, Cdm__Suspicion *out);

/* Returns an empty table. */
struct suspects *suspects_new(void)
{
	counter_register(&suspect_count);
	return xcalloc(1, sizeof(struct suspects));
}

void suspects_free(struct suspects *s)
{
	free(s->all);
	free(s);
}

/* Removes expired records. */
void suspects_tick(struct fleetd *f, uint64_t now)
{
	struct suspects *s = f->suspects;
	size_t i = 0;

	while (i < s->n) {
		if (now >= s->all[i].expires_ms)
			s->all[i] = s->all[--s->n];
		else
			i++;
	}
	counter_set(&suspect_count, (double)s->n);
}

/* Merges records from a cdmentryd or another instance; changes are sent to the
 * other instances and the cdmentryds. */
void suspects_received(struct fleetd *f, Cdm__Suspicion **list, size_t n)
{
	struct suspect *s;
	size_t i;

	for (i = 0; i < n; i++) {
		s = suspect_get(f->suspects, list[i]->digest);
		if (!s || !suspect_merge(s, list[i], fleetd_now(f)))
			continue;
		s->changed_seq = fleetd_next_sequence(f);
		s->sends_left = SUSPECT_SENDS;
		gossip_push_soon(f);
	}
}

/* Selects up to max records to send with a digest and returns their number.
 * They point into the table and are valid until its next change. */
size_t suspects_select(struct fleetd *f, Cdm__Suspicion *out, size_t max)
{
	struct gossip_item list[SUSPECT_UPDATES_MAX];
	struct gossip_selection choice = {
		.list = list,
		.max = max < SUSPECT_UPDATES_MAX ? max : SUSPECT_UPDATES_MAX,
	};
	size_t i;

	for (i = 0; i < f->suspects->n; i++)
		gossip_offer(&choice, i, f->suspects->all[i].sends_left);
	for (i = 0; i < choice.n; i++) {
		struct suspect *s = &f->suspects->all[list[i].index];

		s->sends_left--;
		suspect_fill(s, fleetd_now(f), &out[i]);
	}
	return choice.n;
}

/* Returns the records changed after sequence number since.  They point into the
 * table; the caller frees the array. */
Cdm__Suspicion *suspects_changes(struct fleetd *f, uint64_t since, size_t *n)
{
	struct suspects *s = f->suspects;
	Cdm__Suspicion *out = xcalloc(s->n, sizeof(*out));
	size_t i;

	*n = 0;
	for (i = 0; i < s->n; i++)
		if (s->all[i].changed_seq > since)
			suspect_fill(&s->all[i], fleetd_now(f), &out[(*n)++]);
	return out;
}

/* Returns all records as JSON. */
json_t *suspects_status(const struct fleetd *f)
{
	json_t *list = json_array();
	const struct suspect *s;
	char digest[17];
	size_t i;

	for (i = 0; i < f->suspects->n; i++) {
		s = &f->suspects->all[i];
		snprintf(digest, sizeof(digest), "%016" PRIx64, s->digest);
		json_array_append_new(
			list,
			json_pack("{s:s, s:i, s:b, s:I}", "request", digest,
				  "deaths", (int)s->n_deaths, "convicted",
				  s->blocked, "expires_in_ms",
				  (json_int_t)(s->expires_ms - fleetd_now(f))));
	}
	return list;
}

/* Returns the record of a request and creates it if necessary.  Returns NULL if
 * the table is full. */
static struct suspect *suspect_get(struct suspects *s, uint64_t digest)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->all[i].digest == digest)
			return &s->all[i];
	if (s->n == SUSPECTS_MAX)
		return NULL;
	s->all = xreallocarray(s->all, s->n + 1, sizeof(*s->all));
	memset(&s->all[s->n], 0, sizeof(*s->all));
	s->all[s->n].digest = digest;
	return &s->all[s->n++];
}

/* Merges a received record; returns true if it changed anything.  Only a change
 * extends the expiry time. */
static bool suspect_merge(struct suspect *s, const Cdm__Suspicion *m,
			  uint64_t now)
{
	uint64_t ttl = m->has_expires_in_ms ? m->expires_in_ms
					    : SUSPECT_DEFAULT_TTL_MS;
	bool changed = s->expires_ms == 0;
	size_t i, j;

	for (i = 0; i < m->n_deaths && s->n_deaths < SUSPECT_DEATHS_MAX; i++) {
		for (j = 0; j < s->n_deaths; j++)
			if (s->deaths[j] == m->deaths[i])
				break;
		if (j < s->n_deaths)
			continue;
		s->deaths[s->n_deaths++] = m->deaths[i];
		changed = true;
	}
	if (m->has_convicted && m->convicted && !s->blocked) {
		s->blocked = true;
		changed = true;
	}
	if (changed && now + ttl > s->expires_ms)
		s->expires_ms = now + ttl;
	return changed;
}

/* Fills a message, which points to the record's list of deaths. */
static void suspect_fill(struct suspect *s, uint64_t now, Cdm__Suspicion *out)
{
	cdm__suspicion__init(out);
	out->digest = s->digest;
	out->deaths = s->deaths;
	out->n_deaths = s->n_deaths;
	out->has_convicted = 1;
	out->convicted = s->blocked;
	out->has_expires_in_ms = 1;
	out->expires_in_ms = s->expires_ms > now ? s->expires_ms - now : 0;
}
