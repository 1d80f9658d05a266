/*
 * The software versions of endpoints: what stands for one that is not known, the starts
 * that engines are asked for, and which process of an endpoint the streams there are of.
 */
#include "proxyd/endpoints_table.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "lib/event_log.h"
#include "lib/http1_client.h"
#include "proxyd/exchange.h"
#include "proxyd/limits.h"
#include "proxyd/origins.h"
#include "proxyd/proxyd.h"
#include "proxyd/rediscover.h"

/* Between two questions to an endpoint that may have started again. */
#define CONFIRM_START_MS 1000

/* How long a question to an endpoint with a limit waits for a permit, while
 * streams wait for its answer. */
#define START_PERMIT_MS 300

static uint64_t process_name(const struct endpoint *e, uint64_t start);
static void unlisted_start_stated(struct endpoint *e, uint64_t born_ms);
static void name_streams(struct endpoints *t, struct endpoint *e);
static void other_start_stated(struct endpoint *e, uint64_t born_ms);
static void query_start(struct endpoints *t, struct endpoint *e,
			bool may_reuse);

/* Returns the name that stands for the version of the process at an endpoint with a
 * start, Unix ms, or with a number that no start has: the same at all instances. */
static uint64_t process_name(const struct endpoint *e, uint64_t start)
{
	uint64_t service = XXH3_64bits(e->service, strlen(e->service));

	return XXH3_64bits_withSeed(e->id, strlen(e->id), ~service ^ start);
}

/* Gives the process at an endpoint a name that stands for its version while that is not
 * known.  It is not that of any earlier process there: start is the start of the process,
 * Unix ms, or a number that no start has. */
void endpoint_name_process(struct endpoint *e, uint64_t start)
{
	e->unlisted_software = process_name(e, start);
}

/* Applies the software version in an entry.  An entry that names another
 * version is of a later start; the same one proves nothing if the endpoint may
 * have started again since. */
void endpoint_software_updated(struct endpoint *e,
			       const struct endpoint_entry *n, bool restarted)
{
	uint64_t service = XXH3_64bits(n->service, strlen(n->service));
	uint64_t before = e->software;

	if (!e->unlisted_software)
		endpoint_name_process(e, n->born_ms);
	e->software = n->version ? XXH3_64bits_withSeed(n->version,
							strlen(n->version),
							service)
				 : SOFTWARE_UNKNOWN;
	snprintf(e->version, sizeof(e->version), "%s",
		 n->version ? n->version : "");
	if (restarted || e->software != before) {
		e->software_doubted = false;
		e->start_wanted = false;
		e->proved_ms = 0;
	}
	if (!before && e->software && e->stated_born_ms &&
	    e->stated_born_ms == n->born_ms)
		origins_endpoint_named(e->proxyd->origins, e);
	else if (!before && e->software)
		endpoint_name_process(e, ~n->born_ms);
	if (e->software != before || e->expiry.removed)
		origins_endpoint_listed(e->proxyd->origins, e);
}

/* Returns the version of an endpoint's software; one that stands for this
 * endpoint alone if it is not known for sure. */
uint64_t endpoint_software(const struct endpoint *e)
{
	return e->software && !e->software_doubted ? e->software
						   : e->unlisted_software;
}

/* Returns when the process that is known at an endpoint's address started, by the
 * endpoint's clock, ms: as it stated itself, or as its entry does; 0 if neither
 * is known. */
uint64_t endpoint_known_start(const struct endpoint *e)
{
	return e->stated_born_ms ? e->stated_born_ms : e->born_ms;
}

/* Returns whether an endpoint may continue a stream that a version began. */
bool endpoint_continues(const struct endpoint *e, uint64_t software)
{
	return software == SOFTWARE_UNKNOWN ||
	       software == endpoint_software(e) ||
	       software == e->unlisted_software;
}

/* Notes that an endpoint has stated a start, Unix ms, 0 if none, to a question whose
 * moments are asked. */
void endpoint_note_process(struct endpoints *t, struct handle h,
			   uint64_t born_ms, struct http1_moments asked)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e)
		return;
	process_span_note(&e->process, born_ms, asked.opened, asked.sent);
	exchanges_process_noted(t->proxyd->exchanges, e);
}

/* Handles the start time that an endpoint itself states, Unix ms, 0 if it states
 * none, on a connection that was open at since_ms.  If its entry has the same, it
 * runs the version that is listed; otherwise it has started again since. */
void endpoint_stated_start(struct endpoints *t, struct handle h,
			   uint64_t born_ms, uint64_t since_ms)
{
	struct endpoint *e = endpoint_get(t, h);
	bool same;

	if (!e || (!e->software_doubted && !e->start_wanted))
		return;
	if (!e->software) {
		unlisted_start_stated(e, born_ms);
		return;
	}
	same = !born_ms || !e->born_ms || born_ms == e->born_ms;
	if (!same && born_ms != e->stated_born_ms)
		other_start_stated(e, born_ms);
	e->stated_born_ms = born_ms;
	e->start_wanted = false;
	if (same)
		e->proved_ms = since_ms;
	if (same || !e->software_doubted)
		event_log(EVENT_NOTABLE,
			  same ? "endpoint-same-start" : "endpoint-other-start",
			  NULL, "{s:s, s:s, s:I, s:I}", "endpoint", e->id,
			  "software", e->version, "born", (json_int_t)born_ms,
			  "listed_born", (json_int_t)e->born_ms);
	e->software_doubted = !same;
	if (endpoint_versions_mixed(e))
		e->start_asked_ms = 0; /* the next stream has it asked again */
	if (same && born_ms)
		name_streams(t, e);
	else if (same)
		origins_endpoint_named(t->proxyd->origins, e);
	exchanges_start_stated(t->proxyd->exchanges, h, !born_ms);
}

/* Gives the streams that began at an endpoint the listed version, whose start it has
 * stated.  Those that were sent later than that was asked for, as another process may
 * have followed by then, get another name, and the endpoint is asked again. */
static void name_streams(struct endpoints *t, struct endpoint *e)
{
	uint64_t before = e->unlisted_software;

	endpoint_name_process(e, proxyd_random());
	e->start_wanted = true; /* what is set apart is not told to keepers */
	e->start_wanted =
		exchanges_set_later_apart(t->proxyd->exchanges, e, before);
	if (e->start_wanted)
		e->start_asked_ms = 0;
	else /* the name that all instances use */
		e->unlisted_software = before;
	origins_rename(t->proxyd->origins, before, e->software);
}

/* Handles the start of an endpoint that has no entry yet: once it has one with the same
 * start, the streams that began there are of the listed version.  Those that began while
 * the start was not known get its name, by which all instances tell processes apart. */
static void unlisted_start_stated(struct endpoint *e, uint64_t born_ms)
{
	struct proxyd *p = e->proxyd;
	uint64_t before = e->unlisted_software;
	uint64_t known = endpoint_known_start(e);
	bool unknown = !known || before != process_name(e, known);

	if (born_ms)
		endpoint_name_process(e, born_ms);
	if (unknown && e->unlisted_software != before)
		origins_rename(p->origins, before, e->unlisted_software);
	e->stated_born_ms = born_ms;
	e->software_doubted = false;
	e->start_wanted = false;
	e->start_asked_ms = 0; /* the next stream has it asked again */
	exchanges_start_stated(p->exchanges, e->self, !born_ms);
}

/* Handles a start that is not the listed one.  The streams that began while the
 * endpoint was doubted are of that process, unless another one had stated its
 * start meanwhile.  Of an endpoint that was not doubted they may be of the listed
 * one. */
static void other_start_stated(struct endpoint *e, uint64_t born_ms)
{
	uint64_t before = e->unlisted_software;

	endpoint_name_process(e, born_ms);
	if (e->software_doubted &&
	    (!e->stated_born_ms || e->stated_born_ms == e->born_ms))
		origins_rename(e->proxyd->origins, before,
			       e->unlisted_software);
}

/* Handles an endpoint that was asked for its start and stated none.  Unless it
 * was found dead, its entry is taken at its word. */
void endpoint_unstated_start(struct endpoints *t, struct handle h)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e || e->software_doubted || !e->start_wanted)
		return;
	e->start_wanted = false;
	event_log(EVENT_NOTABLE, "endpoint-no-start", NULL, "{s:s, s:s}",
		  "endpoint", e->id, "software", e->version);
	origins_endpoint_named(t->proxyd->origins, e);
	exchanges_start_stated(t->proxyd->exchanges, h, true);
}

/* Has an engine asked for its start, unless a connection has been open since it
 * stated the one that its entry names: with none open, it may have started again
 * with another version.  One without an entry is asked once, and again for streams that
 * go on there. */
void endpoint_want_start(struct endpoints *t, struct endpoint *e)
{
	if (e->software ? !endpoint_start_proved(e) : !endpoint_known_start(e))
		endpoint_want_start_again(t, e);
}

/* Has an engine asked for its start though a connection has been open since it stated
 * that: the connection may have gone silent. */
void endpoint_want_start_again(struct endpoints *t, struct endpoint *e)
{
	if (e->software_doubted)
		return;
	if (!e->start_wanted)
		e->start_wanted_ms = proxyd_now(t->proxyd);
	e->start_wanted = true;
	endpoint_ask_start(t, e);
}

/* Returns whether the entries of an endpoint's service name more than one version of
 * its software. */
bool endpoint_versions_mixed(const struct endpoint *e)
{
	return endpoints_service(e->proxyd->endpoints, e->service)->mixed;
}

/* Notes whether the entries of a service name more than one version. */
void endpoints_note_versions(struct endpoints *t, const char *service)
{
	uint64_t first = SOFTWARE_UNKNOWN;
	const struct endpoint *e;
	bool mixed = false;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i))) {
		if (!e->software || e->expiry.removed ||
		    strcmp(e->service, service) != 0)
			continue;
		mixed = mixed || (first && e->software != first);
		first = e->software;
	}
	endpoints_service(t, service)->mixed = mixed;
}

/* Returns whether the process that last stated its start at an endpoint's address has
 * the one that the entry names, and so the listed version. */
bool endpoint_listed_start_known(const struct endpoint *e)
{
	return e->process.start_ms &&
	       (!e->born_ms || e->process.start_ms == e->born_ms);
}

/* Returns whether an endpoint is known to run since the start that its entry
 * names, and so the listed version. */
bool endpoint_start_proved(const struct endpoint *e)
{
	return !e->software_doubted && e->proved_ms &&
	       http1_client_spans(e->proxyd->client, e->address, e->proved_ms);
}

/* Asks an endpoint for its start, if that is wanted and it may be asked now.  One
 * with a limit that leaves no permit for the question is taken at the word of its
 * entry. */
void endpoint_ask_start(struct endpoints *t, struct endpoint *e)
{
	uint64_t now = proxyd_now(t->proxyd);

	if ((!e->software_doubted && !e->start_wanted) ||
	    e->state != ENDPOINT_UP || e->rediscovering ||
	    !endpoint_accepts_work(e, now) ||
	    now - e->start_asked_ms < CONFIRM_START_MS)
		return;
	if (!limits_take_for_check(e)) {
		if (now - e->start_wanted_ms >= START_PERMIT_MS)
			endpoint_unstated_start(t, e->self);
		return;
	}
	query_start(t, e, endpoint_versions_mixed(e));
}

/* Sends an endpoint the question for its start, on a connection that is idle if one
 * may be used. */
static void query_start(struct endpoints *t, struct endpoint *e, bool may_reuse)
{
	e->start_asked_ms = proxyd_now(t->proxyd);
	counter_add(t->probes, 1);
	rediscover_start(t->proxyd, e->self, may_reuse);
}

/* Asks an engine for a sign of life, unless it is being asked something.  Returns
 * false if it can't be asked, for want of a permit. */
bool endpoint_want_sign(struct endpoints *t, struct handle h)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e)
		return false;
	if (e->rediscovering)
		return true;
	if (!limits_take_for_check(e))
		return false;
	query_start(t, e, false);
	return true;
}

/* Returns whether an endpoint of a service runs a version. */
bool endpoints_software_in_service(const struct endpoints *t, uint64_t software,
				   const char *service)
{
	const struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i)))
		if (!strcmp(e->service, service) &&
		    endpoint_continues(e, software))
			return true;
	return false;
}

/* Returns the text of a version if an endpoint with it is known, else "". */
const char *endpoints_software_text(const struct endpoints *t,
				    uint64_t software)
{
	const struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i)))
		if (e->software == software)
			return e->version;
	return "";
}

/* Takes an endpoint that is found dead at the word of its entry if its limit left
 * no permit to ask it for its start: the streams that began there have the listed
 * version.  They could go on nowhere if they kept the name that stands for that
 * endpoint alone. */
void endpoint_name_unasked_start(const struct endpoint *e)
{
	if (!e->start_wanted || e->software_doubted || !limits_check_wanted(e))
		return;
	event_log(EVENT_NOTABLE, "endpoint-no-start", NULL, "{s:s, s:s}",
		  "endpoint", e->id, "software", e->version);
	origins_endpoint_named(e->proxyd->origins, e);
}
