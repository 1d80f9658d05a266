/*
 * Crash records of requests, merged from all instances and spread to all: the
 * endpoint starts that ended while the request ran there, and whether it has
 * been convicted.  The decision is the cdmentryds'.
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

#define SUSPECTS_MAX 4096 /* the rest are refused until some lapse */
#define SUSPECT_TTL_MS 600000 /* where the record names no time */
#define SUSPECT_SENDS 8 /* digests that carry a change */

/* What is known of one request, named by a digest of its organisation and
 * content. */
struct suspect {
	uint64_t digest;
	uint64_t deaths[SUSPECT_DEATHS_MAX];
	size_t n_deaths;
	bool convicted;
	uint64_t expires_at; /* ms */
	unsigned int sends_left;
	uint64_t changed; /* sequence */
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

/* Drops the records whose time is over. */
void suspects_tick(struct fleetd *f, uint64_t now)
{
	struct suspects *s = f->suspects;
	size_t i = 0;

	while (i < s->n) {
		if (now >= s->all[i].expires_at)
			s->all[i] = s->all[--s->n];
		else
			i++;
	}
	counter_set(&suspect_count, (double)s->n);
}

/* Merges records from a cdmentryd or another instance; news is spread. */
void suspects_heard(struct fleetd *f, Cdm__Suspicion **list, size_t n)
{
	struct suspect *s;
	size_t i;

	for (i = 0; i < n; i++) {
		s = suspect_get(f->suspects, list[i]->digest);
		if (!s || !suspect_merge(s, list[i], fleetd_now(f)))
			continue;
		s->changed = fleetd_next_sequence(f);
		s->sends_left = SUSPECT_SENDS;
		gossip_urgent(f);
	}
}

/* Gathers records to tell with a digest; they borrow ours until the next
 * merge. */
size_t suspects_rumours(struct fleetd *f, Cdm__Suspicion *out, size_t max)
{
	struct gossip_item list[SUSPECT_RUMOURS_MAX];
	struct gossip_selection choice = {
		.list = list,
		.max = max < SUSPECT_RUMOURS_MAX ? max : SUSPECT_RUMOURS_MAX,
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

/* Returns the records changed after since; the caller frees the array. */
Cdm__Suspicion *suspects_changes(struct fleetd *f, uint64_t since, size_t *n)
{
	struct suspects *s = f->suspects;
	Cdm__Suspicion *out = xcalloc(s->n, sizeof(*out));
	size_t i;

	*n = 0;
	for (i = 0; i < s->n; i++)
		if (s->all[i].changed > since)
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
				  s->convicted, "expires_in_ms",
				  (json_int_t)(s->expires_at - fleetd_now(f))));
	}
	return list;
}

/* Returns the record of a request, made on first use, or NULL if there are
 * too many. */
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

/* Adds what is new; true if anything was. */
static bool suspect_merge(struct suspect *s, const Cdm__Suspicion *m,
			  uint64_t now)
{
	uint64_t ttl = m->has_expires_in_ms ? m->expires_in_ms : SUSPECT_TTL_MS;
	bool news = s->expires_at == 0;
	size_t i, j;

	for (i = 0; i < m->n_deaths && s->n_deaths < SUSPECT_DEATHS_MAX; i++) {
		for (j = 0; j < s->n_deaths; j++)
			if (s->deaths[j] == m->deaths[i])
				break;
		if (j < s->n_deaths)
			continue;
		s->deaths[s->n_deaths++] = m->deaths[i];
		news = true;
	}
	if (m->has_convicted && m->convicted && !s->convicted) {
		s->convicted = true;
		news = true;
	}
	if (news && now + ttl > s->expires_at)
		s->expires_at = now + ttl;
	return news;
}

/* Fills a message, which borrows the list of deaths. */
static void suspect_fill(struct suspect *s, uint64_t now, Cdm__Suspicion *out)
{
	cdm__suspicion__init(out);
	out->digest = s->digest;
	out->deaths = s->deaths;
	out->n_deaths = s->n_deaths;
	out->has_convicted = 1;
	out->convicted = s->convicted;
	out->has_expires_in_ms = 1;
	out->expires_in_ms = s->expires_at > now ? s->expires_at - now : 0;
}
