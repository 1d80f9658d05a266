/*
 * The path of this instance to the endpoints of each service: keeps what calls
 * and probes show of it, and asks endpoints while it is in doubt
 * (policy/path.c).
 */
#include "proxyd/endpoints_table.h"

#include <string.h>

#include "lib/event_log.h"
#include "proxyd/exchange.h"
#include "proxyd/limits.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/rediscover.h"

/* Endpoints that are connected to when another one refuses. */
#define ASKED_MAX 2

/* An endpoint that was found dead within this time before its path was lost was
 * so because of that. */
#define DOWN_BEFORE_MS 1000

static void connect_to_another(struct endpoints *t, const struct endpoint *e);
static enum path_refusal judge_refusal(const struct endpoints *t,
				       const struct endpoint *e,
				       const struct path *path);
static void judge_refusals(struct endpoints *t, struct service_state *s);
static void check_path(struct endpoints *t, size_t index, bool other_lost);
static bool takes_work(const struct endpoint *e, uint64_t now);
static void path_changed(struct endpoints *t, struct service_state *s,
			 const struct path_count *c);
static void bring_back(struct endpoints *t, const struct service_state *s);
static void probe(struct endpoints *t, struct service_state *s);

/* Returns whether this instance has no path to the endpoints of a service. */
bool endpoints_path_lost(struct endpoints *t, const char *service)
{
	return endpoints_service(t, service)->path.lost;
}

/* Returns whether the path to the endpoints of a service is lost or may be: one has
 * failed lately, and none has answered a later call. */
bool endpoints_path_doubtful(struct endpoints *t, const char *service)
{
	return path_doubtful(&endpoints_service(t, service)->path,
			     proxyd_now(t->proxyd));
}

/* Returns whether this instance has no path to the endpoints of some service. */
bool endpoints_any_path_lost(const struct endpoints *t)
{
	size_t i;

	for (i = 0; i < t->n_services; i++)
		if (t->services[i].path.lost)
			return true;
	return false;
}

/* Lists the paths of services with an endpoint that has answered, or that are
 * lost; returns their number. */
size_t endpoints_paths(const struct endpoints *t, struct endpoint_path *list,
		       size_t most)
{
	uint64_t now = proxyd_now(t->proxyd);
	size_t n = 0;
	size_t i;

	for (i = 0; i < t->n_services && n < most; i++) {
		const struct service_state *s = &t->services[i];

		if (!s->path.answered_ms && !s->path.lost)
			continue;
		list[n++] = (struct endpoint_path){
			.service = s->hash,
			.lost = s->path.lost,
			.answered_ms_ago = now - s->path.answered_ms,
		};
	}
	return n;
}

/* Handles an answer of an endpoint to a call sent at sent_ms. */
void endpoint_answered(struct endpoints *t, struct handle h, uint64_t sent_ms,
		       bool kept_connection)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e)
		return;
	path_answered(&endpoints_service(t, e->service)->path, &e->path,
		      sent_ms, kept_connection);
	endpoint_heard(t, h);
}

/* Handles bytes of an endpoint. */
void endpoint_heard(struct endpoints *t, struct handle h)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e)
		return;
	e->heard_ms = proxyd_now(t->proxyd);
	path_heard(&endpoints_service(t, e->service)->path, e->heard_ms);
}

/* Handles a connection to an endpoint, begun at begun_ms, that has failed. */
void endpoint_not_connected(struct endpoints *t, struct handle h,
			    uint64_t begun_ms)
{
	struct endpoint *e = endpoint_get(t, h);

	if (e)
		path_not_connected(&endpoints_service(t, e->service)->path,
				   &e->path, begun_ms, proxyd_now(t->proxyd));
}

/* Handles an endpoint that leaves a call without an answer that was sent, or last
 * answered, at sent_ms. */
void endpoint_unanswered(struct endpoints *t, struct handle h, uint64_t sent_ms)
{
	struct endpoint *e = endpoint_get(t, h);

	if (e)
		path_unanswered(&endpoints_service(t, e->service)->path,
				&e->path, sent_ms, proxyd_now(t->proxyd));
}

/* Handles a connection begun at begun_ms that an endpoint has accepted: it shows
 * that refusals before it are the word of their endpoints. */
void endpoint_connected(struct endpoints *t, struct handle h, uint64_t begun_ms)
{
	struct endpoint *e = endpoint_get(t, h);
	struct service_state *s;

	if (!e)
		return;
	s = endpoints_service(t, e->service);
	path_connected(&s->path, begun_ms);
	if (s->path.refused_ms)
		judge_refusals(t, s);
}

/* Handles a refused connection; returns whether the endpoint has ended.  If that
 * is not known yet, it is judged later. */
bool endpoint_refused(struct endpoints *t, struct endpoint *e)
{
	struct path *path = &endpoints_service(t, e->service)->path;
	uint64_t now = proxyd_now(t->proxyd);

	if (e->ended)
		return true;
	if (!e->refused_ms)
		e->refused_ms = now;
	if (judge_refusal(t, e, path) == PATH_REFUSAL_ENDED)
		return true;
	path->refused_ms = now;
	connect_to_another(t, e);
	return false;
}

/* Opens connections to some other endpoints of the service that have not failed: if
 * they are refused too, this instance may have no path. */
static void connect_to_another(struct endpoints *t, const struct endpoint *e)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct endpoint *other;
	uint32_t asked = 0;
	uint32_t i = 0;

	while (asked < ASKED_MAX && (other = endpoint_next(t, &i))) {
		if (other == e || other->state != ENDPOINT_UP ||
		    !takes_work(other, now) ||
		    strcmp(other->service, e->service) != 0 ||
		    path_endpoint_failed(&other->path, now))
			continue;
		endpoint_probe(t, other->self, NULL, 0);
		asked++;
	}
}

/* Judges what a refused connection shows of an endpoint. */
static enum path_refusal judge_refusal(const struct endpoints *t,
				       const struct endpoint *e,
				       const struct path *path)
{
	const struct peers *peers = t->proxyd->peers;
	const struct path_refusal_signs signs = {
		.alone = peers_alone(peers),
		.path_lost = path->lost,
		.connected_since = path->connected_ms >= e->refused_ms,
		.others_reached_since =
			path->lost &&
			peers_reached_since(peers, e->service, e->refused_ms),
		.waited_ms = proxyd_now(t->proxyd) - e->refused_ms,
	};

	return path_judge_refusal(&signs);
}

/* Judges the refused connections of a service that are not decided yet. */
static void judge_refusals(struct endpoints *t, struct service_state *s)
{
	struct endpoint *e;
	uint32_t i = 0;

	s->path.refused_ms = 0;
	while ((e = endpoint_next(t, &i))) {
		enum path_refusal judged;

		if (!e->refused_ms || strcmp(e->service, s->service) != 0)
			continue;
		judged = judge_refusal(t, e, &s->path);
		if (judged == PATH_REFUSAL_UNDECIDED) {
			if (e->refused_ms > s->path.refused_ms)
				s->path.refused_ms = e->refused_ms;
			continue;
		}
		event_log(EVENT_NOTABLE, "endpoint-refusal", NULL,
			  "{s:s, s:b, s:I}", "endpoint", e->id, "ended",
			  judged == PATH_REFUSAL_ENDED, "refused_ms_ago",
			  (json_int_t)(proxyd_now(t->proxyd) - e->refused_ms));
		e->refused_ms = 0;
		if (judged == PATH_REFUSAL_ENDED && e->state != ENDPOINT_UP)
			endpoint_ended(t, e);
	}
}

/* Judges the paths that are in doubt, and asks endpoints. */
void endpoints_check_paths(struct endpoints *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	bool lost = endpoints_any_path_lost(t);
	size_t i;

	for (i = 0; i < t->n_services; i++)
		if (lost || path_needs_count(&t->services[i].path, now))
			check_path(t, i, lost);
}

/* Judges the path to the endpoints of a service, by its index, and asks one of them
 * if that is due.  Without another instance nothing is to be gained by it.  The
 * table of services may grow when the path is lost. */
static void check_path(struct endpoints *t, size_t index, bool other_lost)
{
	uint64_t now = proxyd_now(t->proxyd);
	bool alone = peers_alone(t->proxyd->peers);
	struct service_state *s = &t->services[index];
	struct path_count count = { 0 };
	struct endpoint *e;
	uint32_t i = 0;

	while (!alone && (e = endpoint_next(t, &i)))
		if (takes_work(e, now) && !strcmp(e->service, s->service))
			path_count_add(&count, &s->path, &e->path, now);
	if (path_decide(&s->path, &count, now)) {
		path_changed(t, s, &count);
		s = &t->services[index];
	}
	if (s->path.refused_ms)
		judge_refusals(t, s);
	if (count.usable && path_probe_due(&s->path, other_lost, now))
		probe(t, s);
}

/* Returns whether an endpoint counts for the path to its service: it is listed,
 * and would get work if it were up. */
static bool takes_work(const struct endpoint *e, uint64_t now)
{
	return e->service && e->state != ENDPOINT_REPLACED &&
	       endpoint_accepts_work(e, now);
}

/* Handles a path that was lost, or is back. */
static void path_changed(struct endpoints *t, struct service_state *s,
			 const struct path_count *c)
{
	uint64_t now = proxyd_now(t->proxyd);

	event_log(EVENT_NOTABLE, s->path.lost ? "path-lost" : "path-back", NULL,
		  "{s:s, s:i, s:i, s:i, s:I, s:I}", "service", s->service,
		  "endpoints", (int)c->usable, "failed", (int)c->failed,
		  "answered", (int)c->back, "last_answer_ms_ago",
		  (json_int_t)(s->path.answered_ms ? now - s->path.answered_ms
						   : 0),
		  "since_ms", (json_int_t)(now - s->path.since_ms));
	counter_add(t->paths_lost, s->path.lost ? 1 : -1);
	peers_announce_soon(t->proxyd->peers);
	if (!s->path.lost)
		bring_back(t, s);
	else /* may change the table of services */
		exchanges_path_lost(t->proxyd->exchanges, s->service);
}

/* Uses the endpoints of a service again that were found dead as the path to them
 * was lost.  One that has ended meanwhile is found so at the first attempt. */
static void bring_back(struct endpoints *t, const struct service_state *s)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i))) {
		if (e->state != ENDPOINT_DOWN || e->ended ||
		    strcmp(e->service, s->service) != 0 ||
		    e->down_ms + DOWN_BEFORE_MS < s->path.since_ms)
			continue;
		e->state = ENDPOINT_UP;
		e->unconfirmed = true;
		e->refused_ms = 0;
		event_log(EVENT_NOTABLE, "endpoint-back", NULL, "{s:s, s:I}",
			  "endpoint", e->id, "down_ms",
			  (json_int_t)(now - e->down_ms));
	}
}

/* Asks an endpoint of a service whether it answers on a new connection; those that
 * have not failed come first while the path is only suspected. */
static void probe(struct endpoints *t, struct service_state *s)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct path_probe choice = { 0 };
	struct endpoint *chosen = NULL;
	struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i))) {
		if (!takes_work(e, now) || e->rediscovering ||
		    strcmp(e->service, s->service) != 0 ||
		    (!s->path.lost && path_endpoint_refuses(&e->path, now)))
			continue;
		if (path_probe_prefers(&choice, &s->path, &e->path,
				       e->probed_ms, proxyd_random(), now))
			chosen = e;
	}
	if (!chosen || !limits_take_for_check(chosen))
		return;
	s->path.probed_ms = now;
	counter_add(t->path_probes, 1);
	if (!rediscover_path(t->proxyd, chosen->self))
		endpoint_probe_path(t, chosen);
	chosen->probed_ms = now;
}
