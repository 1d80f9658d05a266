/*
 * The routing configuration: selects the service for a request and the rules
 * that apply to it.
 */
#include "proxyd/routes.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

static size_t host_length(const char *host, size_t len);
static void route_release(struct route *route);

/* Takes a reference. */
struct routes *routes_ref(struct routes *r)
{
	if (r)
		r->refs++;
	return r;
}

/* Releases a reference; the last one frees the configuration. */
void routes_unref(struct routes *r)
{
	size_t i;

	if (!r || --r->refs)
		return;
	for (i = 0; i < r->n_routes; i++)
		route_release(&r->routes[i]);
	for (i = 0; i < r->n_services; i++) {
		free(r->services[i].name);
		free(r->services[i].health_path);
	}
	for (i = 0; i < r->n_organisations; i++)
		free(r->organisations[i].name);
	for (i = 0; i < r->n_keys; i++)
		free(r->keys[i].key);
	free(r->routes);
	free(r->services);
	free(r->organisations);
	free(r->keys);
	free(r);
}

/* Returns the route of the host with the longest prefix that matches the
 * target, or NULL. */
const struct route *routes_find(const struct routes *r, const char *host,
				size_t host_len, const char *target,
				size_t target_len)
{
	const struct route *best = NULL;
	size_t i;

	host_len = host_length(host, host_len);
	for (i = 0; i < r->n_routes; i++) {
		const struct route *route = &r->routes[i];

		if (best && route->prefix_len <= best->prefix_len)
			continue;
		if (route->prefix_len > target_len ||
		    memcmp(route->prefix, target, route->prefix_len) != 0)
			continue;
		if (strlen(route->host) == host_len &&
		    !strncasecmp(route->host, host, host_len))
			best = route;
	}
	return best;
}

/* Returns the organisation that holds a key, or NULL. */
const struct organisation *routes_organisation(const struct routes *r,
					       const char *key, size_t len)
{
	size_t i;

	for (i = 0; i < r->n_keys; i++)
		if (strlen(r->keys[i].key) == len &&
		    !memcmp(r->keys[i].key, key, len))
			return &r->organisations[r->keys[i].organisation];
	return NULL;
}

/* Returns a service by its name, or NULL. */
const struct route_service *routes_service(const struct routes *r,
					   const char *name)
{
	size_t i;

	for (i = 0; i < r->n_services; i++)
		if (!strcmp(r->services[i].name, name))
			return &r->services[i];
	return NULL;
}

/* Returns the number of services that are model engines. */
size_t routes_engine_services(const struct routes *r)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < r->n_services; i++)
		n += r->services[i].engine;
	return n;
}

/* Returns whether a request that may have run may be sent again: it is
 * idempotent, or a stream that resumes. */
bool route_may_run_again(const struct route *route)
{
	return route->kind == KIND_IDEMPOTENT ||
	       (route->kind == KIND_STREAM && route->resumable);
}

/* Chooses the service of a request at random by the route's weights; rnd is a
 * random number.  If all weights are 0, it is the first service.  Returns NULL
 * if the route has no services. */
const char *route_choose_service(const struct route *route, uint64_t rnd)
{
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < route->n_shares; i++)
		total += route->shares[i].weight;
	if (!total)
		return route->n_shares ? route->shares[0].service : NULL;
	rnd %= total;
	for (i = 0; rnd >= route->shares[i].weight; i++)
		rnd -= route->shares[i].weight;
	return route->shares[i].service;
}

/* Returns the length of a host without its port. */
static size_t host_length(const char *host, size_t len)
{
	const char *colon = len ? memchr(host, ':', len) : NULL;

	return colon ? (size_t)(colon - host) : len;
}

/* Frees the members of a route. */
static void route_release(struct route *route)
{
	size_t i;

	for (i = 0; i < route->n_shares; i++)
		free(route->shares[i].service);
	free(route->shares);
	free(route->name);
	free(route->host);
	free(route->prefix);
}
