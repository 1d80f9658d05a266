/*
 * Which other instance serves a request in place of this one, when this one has
 * no path to the endpoints of its service.  Instances tell each other of their
 * paths in their pulses.
 */
#include "proxyd/peers_table.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/relay_choice.h"
#include "proxyd/proxyd.h"

/* Longer than an instance takes to stop and to start again. */
#define ALONE_MS 15000

/* An instance that sends events is not silent, whatever its datagrams tell. */
#define SILENT_MS 1000

/* One that is not listed any more may be about to end its last requests.  If this
 * instance isn't, as it stops, others of an earlier build send it no datagrams. */
#define UNLISTED_SILENT_MS 5000

static const struct peer_path *find_path(const struct peer *peer,
					 uint64_t service);

/* Fills in this instance's paths; returns their number. */
size_t peers_gather_paths(const struct peers *t, PeerPath *paths)
{
	struct endpoint_path list[PATHS_MAX];
	size_t n = endpoints_paths(t->proxyd->endpoints, list, PATHS_MAX);
	size_t i;

	for (i = 0; i < n; i++) {
		peer_path__init(&paths[i]);
		paths[i].service = list[i].service;
		paths[i].lost = list[i].lost;
		paths[i].answered_ms_ago =
			list[i].answered_ms_ago < UINT32_MAX
				? (uint32_t)list[i].answered_ms_ago
				: UINT32_MAX;
	}
	return n;
}

/* Applies the paths that an instance tells in its pulse. */
void peers_receive_paths(struct peers *t, struct peer *peer,
			 const PeerPulse *pulse)
{
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	peer->n_paths = pulse->n_paths < PATHS_MAX ? pulse->n_paths : PATHS_MAX;
	for (i = 0; i < peer->n_paths; i++) {
		const PeerPath *p = pulse->paths[i];

		peer->paths[i] = (struct peer_path){
			.service = p->service,
			.lost = p->lost,
			.answered_ms = now > p->answered_ms_ago
					       ? now - p->answered_ms_ago
					       : 0,
		};
	}
}

/* Returns what an instance has told of its path to a service, NULL if
 * nothing. */
static const struct peer_path *find_path(const struct peer *peer,
					 uint64_t service)
{
	size_t i;

	for (i = 0; i < peer->n_paths; i++)
		if (peer->paths[i].service == service)
			return &peer->paths[i];
	return NULL;
}

/* Chooses an instance that reaches the endpoints of a service, none of those in
 * avoided.  Returns false if there is none. */
bool peers_choose_relay(const struct peers *t, const char *service,
			const uint64_t *avoided, size_t n_avoided,
			struct peer_relay *relay)
{
	uint64_t hash = endpoints_service_hash(t->proxyd->endpoints, service);
	struct relay_candidate *list = xcalloc(t->n + 1, sizeof(*list));
	const struct routes *routes = t->proxyd->routes;
	uint64_t own_version = routes ? routes->version : 0;
	uint64_t now = proxyd_now(t->proxyd);
	const struct peer *peer;
	size_t chosen;
	size_t n = 0;
	size_t i;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		const struct peer_path *path = find_path(peer, hash);
		struct relay_candidate *c = &list[n++];

		c->own_zone = !strcmp(peer->zone, t->proxyd->settings.zone);
		c->stopping =
			heartbeat_stopping(&peer->heartbeat, t->n + 1, now);
		c->usable = (peer->alive || c->stopping) &&
			    peer->heartbeat.configured;
		for (i = 0; i < n_avoided; i++)
			c->usable = c->usable && avoided[i] != peer->hash;
		c->outdated = peer->configuration < own_version;
		c->lost = path && path->lost;
		c->answered = path != NULL;
		c->answered_ms_ago = path ? now - path->answered_ms : 0;
	}
	chosen = relay_choose(list, n, heartbeat_interval_ms(t->n + 1),
			      proxyd_random());
	n = 0;
	TAILQ_FOREACH(peer, &t->list, link)
	{
		if (n++ != chosen)
			continue;
		*relay = (struct peer_relay){
			.instance = peer->hash,
			.name = peer->name,
			.callers = peer->callers,
			.reached_ms_ago = list[chosen].answered_ms_ago,
		};
		break;
	}
	free(list);
	return chosen != RELAY_NONE;
}

/* Returns whether no other instance has been alive for a while, so that none can
 * stand in or tell of endpoints.  While all others are stopped in turn there may be
 * none for some seconds. */
bool peers_alone(const struct peers *t)
{
	return !t->accompanied_ms ||
	       proxyd_now(t->proxyd) - t->accompanied_ms >= ALONE_MS;
}

/* Returns whether another instance has told that an endpoint of a service answered
 * it after a time of the local clock. */
bool peers_reached_since(const struct peers *t, const char *service,
			 uint64_t since_ms)
{
	uint64_t hash = endpoints_service_hash(t->proxyd->endpoints, service);
	const struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		const struct peer_path *path = find_path(peer, hash);

		if (path && !path->lost && path->answered_ms > since_ms)
			return true;
	}
	return false;
}

/* Returns whether an instance has told that it has no path to the endpoints of
 * some service. */
bool peer_path_lost(const struct peer *peer)
{
	size_t i;

	for (i = 0; i < peer->n_paths; i++)
		if (peer->paths[i].lost)
			return true;
	return false;
}

/* Returns whether callers are sent away from the instances that have lost a path,
 * this one among them, as enough others are left. */
bool peers_omit_cut_off(const struct peers *t)
{
	bool lost = endpoints_any_path_lost(t->proxyd->endpoints);
	const struct peer *peer;
	size_t reaching = !lost;
	size_t all = 1;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		if (!peer->alive)
			continue;
		all++;
		reaching += !peer_path_lost(peer);
	}
	return relay_directory_omits(reaching, all);
}

/* Returns whether an instance that relays requests of this one, and has sent
 * nothing of them for silent_ms, has ended.  One that is stopping completes them; at
 * its end its entry is removed. */
bool peers_relay_silent(const struct peers *t, uint64_t instance,
			uint64_t silent_ms)
{
	const struct peer *peer = peers_find_hash(t, instance);

	if (!peer || !planned_stop_ready(&t->proxyd->planned_stop))
		return silent_ms >= UNLISTED_SILENT_MS;
	return silent_ms >= SILENT_MS && !peer->alive &&
	       !heartbeat_stopping(&peer->heartbeat, t->n + 1,
				   proxyd_now(t->proxyd));
}
