/*
 * Messages between instances on the limits of endpoints, and loans of permits
 * to send requests there.  A datagram may be lost, delayed or duplicated.
 */
#include "proxyd/peers_table.h"

#include <math.h>
#include <string.h>

#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/pair_hash.h"
#include "policy/smallest.h"
#include "proxyd/limits.h"
#include "proxyd/proxyd.h"

static uint32_t find_holders(const struct peers *t, uint64_t endpoint,
			     uint32_t holders, struct peer **list);
static size_t find_lenders(struct peers *t, const struct endpoint *e,
			   struct peer **list, size_t most);
static uint64_t denied_until(const struct endpoint_limit *l, uint64_t lender,
			     uint64_t now);
static void fill_limit(PeerLimit *out, const struct endpoint *e, uint64_t now);
static struct endpoint *receive_limit(struct peers *t, const PeerLimit *limit,
				      const char *from);

/* Returns the version of the list of instances: it changes with an instance that
 * is added, removed, silent or alive again. */
uint64_t peers_version(const struct peers *t)
{
	return t->version;
}

/* Ranks this instance among those listed for the limit of an endpoint, and
 * counts which of its holders are alive. */
struct request_limit_instances peers_rank(const struct peers *t,
					  uint64_t endpoint, uint32_t holders)
{
	struct request_limit_instances seen = { .holders = holders };
	uint64_t own = request_limit_weight(
		endpoint, peers_name_hash(t->proxyd->settings.name));
	struct peer **list = xcalloc(t->n + 1, sizeof(*list)); /* NOLINT */
	uint32_t n = find_holders(t, endpoint, holders, list);
	const struct peer *peer;
	uint32_t i;

	TAILQ_FOREACH(peer, &t->list, link)
	seen.rank += request_limit_weight(endpoint, peer->hash) > own;
	for (i = 0; i < n; i++)
		seen.alive += !list[i] || list[i]->alive;
	free(list);
	return seen;
}

/* Sends the limits of endpoints to one instance, or to all if to is NULL. */
void peers_announce_limits(struct peers *t, const struct peer *to,
			   struct endpoint *const *endpoints, size_t n)
{
	PeerLimit limits[LIMITS_PER_DATAGRAM_MAX];
	PeerLimit *list[LIMITS_PER_DATAGRAM_MAX];
	PeerLimits msg = PEER_LIMITS__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;
	size_t i;

	for (i = 0; i < n; i++) {
		fill_limit(&limits[i], endpoints[i], proxyd_now(t->proxyd));
		list[i] = &limits[i];
	}
	msg.instance = peers_name_hash(t->proxyd->settings.name);
	msg.n_limits = n;
	msg.limits = list;
	d.limits = &msg;
	if (to)
		peers_send(t, to, &d);
	else
		peers_send_all(t, &d);
}

/* Applies what another instance knows of limits. */
void peers_receive_limits(struct peers *t, const PeerLimits *msg)
{
	const struct peer *from = peers_find_hash(t, msg->instance);
	size_t i;

	if (!from)
		return;
	for (i = 0; i < msg->n_limits; i++)
		receive_limit(t, msg->limits[i], from->name);
}

/* Asks some of the other holders of an endpoint's limit for permits; returns
 * how many are asked. */
size_t peers_ask_permits(struct peers *t, struct endpoint *e, uint32_t permits)
{
	struct peer *lenders[LIMIT_ASKS_MAX];
	size_t n = find_lenders(t, e, lenders,
				permits < LIMIT_ASKS_MAX ? permits
							 : LIMIT_ASKS_MAX);
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	for (i = 0; i < n; i++) {
		PeerPermitRequest request = PEER_PERMIT_REQUEST__INIT;
		PeerDatagram d = PEER_DATAGRAM__INIT;
		PeerLimit limit;

		fill_limit(&limit, e, now);
		request.instance = peers_name_hash(t->proxyd->settings.name);
		request.born = t->proxyd->start_unix_ms;
		request.limit = &limit;
		request.permits = (uint32_t)((permits + n - 1) / n);
		request.asked_ms = now;
		d.permit_request = &request;
		e->limit->asks[i] = (struct limit_ask){ lenders[i]->hash, now };
		peers_send(t, lenders[i], &d);
	}
	for (; i < LIMIT_ASKS_MAX; i++)
		e->limit->asks[i] = (struct limit_ask){ 0 };
	return n;
}

/* Returns whether an instance that was asked may still answer. */
bool peers_permits_pending(const struct endpoint *e)
{
	uint64_t now = proxyd_now(e->proxyd);
	size_t i;

	for (i = 0; i < LIMIT_ASKS_MAX; i++)
		if (e->limit->asks[i].asked_ms &&
		    now - e->limit->asks[i].asked_ms < LIMIT_ASK_MS)
			return true;
	return false;
}

/* Answers a request for permits. */
void peers_lend_permits(struct peers *t, const PeerPermitRequest *request)
{
	struct peer *peer = peers_find_hash(t, request->instance);
	uint64_t now = proxyd_now(t->proxyd);
	PeerPermits answer = PEER_PERMITS__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;
	struct endpoint *e;
	PeerLimit limit;

	if (!peer || !request->limit)
		return;
	e = receive_limit(t, request->limit, peer->name);
	if (!e || !e->limit)
		return;
	answer.permits = request_limit_lend(&e->limit->limit, limits_part(e),
					    request->permits, now);
	answer.wait_ms =
		request_limit_wait_ms(&e->limit->limit, limits_part(e), 0, now);
	limits_lent(e, answer.permits);
	event_log(EVENT_ROUTINE, "permits-lent", NULL,
		  "{s:s, s:s, s:i, s:i, s:I}", "to", peer->name, "endpoint",
		  e->id, "wanted", (int)request->permits, "lent",
		  (int)answer.permits, "wait_ms", (json_int_t)answer.wait_ms);
	fill_limit(&limit, e, now);
	answer.instance = peers_name_hash(t->proxyd->settings.name);
	answer.born = request->born;
	answer.limit = &limit;
	answer.asked_ms = request->asked_ms;
	d.permits = &answer;
	peers_send(t, peer, &d);
}

/* Applies the answer to a request of this process for permits; a duplicate is
 * ignored. */
void peers_receive_permits(struct peers *t, const PeerPermits *answer)
{
	const struct peer *from = peers_find_hash(t, answer->instance);
	uint64_t now = proxyd_now(t->proxyd);
	struct limit_ask *ask = NULL;
	struct endpoint *e;
	size_t i;

	if (!from || !answer->limit || answer->born != t->proxyd->start_unix_ms)
		return;
	e = receive_limit(t, answer->limit, from->name);
	if (!e || !e->limit)
		return;
	for (i = 0; i < LIMIT_ASKS_MAX; i++)
		if (e->limit->asks[i].lender == answer->instance &&
		    e->limit->asks[i].asked_ms == answer->asked_ms)
			ask = &e->limit->asks[i];
	if (!ask || !ask->asked_ms)
		return;
	ask->asked_ms = 0;
	if (answer->permits) {
		bool used = request_limit_add_loan(&e->limit->limit,
						   answer->permits,
						   answer->asked_ms, now);

		event_log(EVENT_ROUTINE, "permits-borrowed", NULL,
			  "{s:s, s:s, s:i, s:I, s:b}", "from", from->name,
			  "endpoint", e->id, "permits", (int)answer->permits,
			  "asked_ms_ago", (json_int_t)(now - answer->asked_ms),
			  "in_time", used);
	} else {
		struct endpoint_limit *l = e->limit;

		l->denials[l->n_denials++ % LIMIT_DENIALS_MAX] =
			(struct limit_denial){
				.lender = answer->instance,
				.until_ms = now + limit_wait_denied_ms(
							  answer->wait_ms),
			};
	}
}

/* Returns the time until which an instance is not asked; 0 if it may be. */
static uint64_t denied_until(const struct endpoint_limit *l, uint64_t lender,
			     uint64_t now)
{
	uint64_t until = 0;
	size_t i;

	for (i = 0; i < LIMIT_DENIALS_MAX; i++)
		if (l->denials[i].lender == lender &&
		    l->denials[i].until_ms > now &&
		    l->denials[i].until_ms > until)
			until = l->denials[i].until_ms;
	return until;
}

/* Lists the holders of the limit of an endpoint, NULL for this instance; returns
 * their number.  The list has room for all instances. */
static uint32_t find_holders(const struct peers *t, uint64_t endpoint,
			     uint32_t holders, struct peer **list)
{
	struct ranked *ranked = xcalloc(t->n + 1, sizeof(*ranked));
	struct peer **peers = xcalloc(t->n + 1, sizeof(*peers)); /* NOLINT */
	uint64_t weight = request_limit_weight(
		endpoint, peers_name_hash(t->proxyd->settings.name));
	struct peer *peer = NULL;
	uint32_t n = 0;
	uint32_t i;

	ranked[n] = (struct ranked){ -pair_hash_unit(weight), n };
	peers[n++] = NULL;
	TAILQ_FOREACH(peer, &t->list, link)
	{
		weight = request_limit_weight(endpoint, peer->hash);
		ranked[n] = (struct ranked){ -pair_hash_unit(weight), n };
		peers[n++] = peer;
	}
	if (holders > n)
		holders = n;
	select_smallest(ranked, n, holders);
	for (i = 0; i < holders; i++)
		list[i] = peers[ranked[i].index];
	free(peers);
	free(ranked);
	return holders;
}

/* Chooses live holders of the limit of an endpoint at random, other than this
 * instance and those that had no permit a moment ago; returns their number.  If
 * there is none, records until when that is so. */
static size_t find_lenders(struct peers *t, const struct endpoint *e,
			   struct peer **list, size_t most)
{
	struct endpoint_limit *l = e->limit;
	struct peer **holders =
		xcalloc(t->n + 1, sizeof(*holders)); /* NOLINT */
	uint32_t n = find_holders(t, e->hash, l->part.holders, holders);
	uint64_t now = proxyd_now(t->proxyd);
	uint64_t first_ms = 0;
	uint32_t seen = 0;
	size_t found = 0;
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint64_t until;
		uint64_t at;

		if (!holders[i] || !holders[i]->alive)
			continue;
		until = denied_until(l, holders[i]->hash, now);
		if (until && (!first_ms || until < first_ms))
			first_ms = until;
		if (until)
			continue;
		seen++;
		if (found < most) {
			list[found++] = holders[i];
			continue;
		}
		at = proxyd_random() % seen;
		if (at < most)
			list[at] = holders[i];
	}
	if (!found)
		l->denied_until_ms = first_ms;
	free(holders);
	return found;
}

/* Fills in what this instance knows of the limit of an endpoint. */
static void fill_limit(PeerLimit *out, const struct endpoint *e, uint64_t now)
{
	const struct request_limit *l = &e->limit->limit;

	peer_limit__init(out);
	out->endpoint = e->hash;
	out->born = e->born_ms;
	out->per_s = l->per_s;
	out->ended = !l->in_force || l->ended_ms;
	out->ms_ago =
		(uint32_t)(now - (out->ended ? l->ended_sent_ms : l->named_ms));
}

/* Applies what another instance knows of a limit, unless it is about another
 * start of the endpoint.  Returns the endpoint, or NULL if it is not known
 * here. */
static struct endpoint *receive_limit(struct peers *t, const PeerLimit *limit,
				      const char *from)
{
	struct endpoint *e =
		endpoint_by_hash(t->proxyd->endpoints, limit->endpoint);
	uint64_t now = proxyd_now(t->proxyd);

	if (!e || limit->ms_ago > now ||
	    (limit->born && e->born_ms && limit->born != e->born_ms) ||
	    !isfinite(limit->per_s) || limit->per_s < 0)
		return NULL;
	if (limit->ended)
		limits_reported_ended(e, now - limit->ms_ago, from);
	else
		limits_reported_named(e, limit->per_s, now - limit->ms_ago,
				      from);
	return e;
}
