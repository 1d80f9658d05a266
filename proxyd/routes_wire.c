/*
 * Packed form of the routing configuration, sent between instances.  It takes a
 * tenth of the time and bytes of the operators' form, so that decoding a large
 * one does not delay the streams on a small instance.
 */
#include "proxyd/routes_wire.h"

#include <stdlib.h>
#include <string.h>

#include "lib/deflate.h"
#include "lib/xalloc.h"
#include "proto/routes.pb-c.h"

static void pack_routes(const struct routes *r, RouteTable *t);
static void pack_services(const struct routes *r, RouteTable *t);
static void pack_organisations(const struct routes *r, RouteTable *t);
static void unpack_routes(struct routes *r, const RouteTable *t);
static void unpack_services(struct routes *r, const RouteTable *t);
static void unpack_organisations(struct routes *r, const RouteTable *t);
static void pack_free(RouteTable *t);

/* Packs and compresses a configuration.  NOLINT below: the lists of the
 * messages are lists of pointers, which clang-tidy reports as a mistaken
 * sizeof. */
void routes_pack(const struct routes *r, struct bytes *out)
{
	RouteTable t = ROUTE_TABLE__INIT;
	RoutePacked compressed = ROUTE_PACKED__INIT;
	uint8_t *packed;
	uint8_t *all;
	size_t len;

	t.version = r->version;
	t.keys_needed = r->keys_needed;
	t.header_bytes = r->limits.header_bytes;
	t.body_bytes = r->limits.body_bytes;
	t.header_ms = r->limits.header_ms;
	t.idle_ms = r->limits.idle_ms;
	pack_routes(r, &t);
	pack_services(r, &t);
	pack_organisations(r, &t);
	len = route_table__get_packed_size(&t);
	packed = xcalloc(len, 1);
	route_table__pack(&t, packed);
	compressed.plain_bytes = (uint32_t)len;
	compressed.deflated.data =
		deflate_bytes(packed, len, &compressed.deflated.len);
	len = route_packed__get_packed_size(&compressed);
	all = xcalloc(len, 1);
	route_packed__pack(&compressed, all);
	bytes_add(out, all, len);
	free(all);
	free(compressed.deflated.data);
	free(packed);
	pack_free(&t);
}

/* Unpacks a configuration; returns NULL if the data are malformed. */
struct routes *routes_unpack(const void *data, size_t len)
{
	RoutePacked *c = route_packed__unpack(NULL, len, data);
	char *packed = c ? inflate_bytes(c->deflated.data, c->deflated.len,
					 c->plain_bytes)
			 : NULL;
	RouteTable *t = packed ? route_table__unpack(NULL, c->plain_bytes,
						     (uint8_t *)packed)
			       : NULL;
	struct routes *r = NULL;

	free(packed);
	route_packed__free_unpacked(c, NULL);
	if (!t)
		return NULL;
	r = xcalloc(1, sizeof(*r));
	r->refs = 1;
	r->version = t->version;
	r->keys_needed = t->keys_needed;
	r->limits = (struct http1_limits){
		.header_bytes = t->header_bytes,
		.body_bytes = t->body_bytes,
		.header_ms = t->header_ms,
		.idle_ms = t->idle_ms,
	};
	unpack_routes(r, t);
	unpack_services(r, t);
	unpack_organisations(r, t);
	route_table__free_unpacked(t, NULL);
	return r;
}

/* Fills in the routes; strings stay owned by the configuration. */
static void pack_routes(const struct routes *r, RouteTable *t)
{
	size_t i;
	size_t k;

	t->routes = xcalloc(r->n_routes, sizeof(RouteEntry *)); /* NOLINT */
	t->n_routes = r->n_routes;
	for (i = 0; i < r->n_routes; i++) {
		const struct route *route = &r->routes[i];
		RouteEntry *e = xcalloc(1, sizeof(*e));

		route_entry__init(e);
		e->name = route->name;
		e->host = route->host;
		e->prefix = route->prefix;
		e->kind = route->kind;
		e->resumable = route->resumable;
		e->open = route->open;
		e->timeout_ms = route->timeout_ms;
		e->target_ms = route->target_ms;
		e->gap_ms = route->gap_ms;
		e->attempts_max = route->attempts_max;
		e->priority = route->priority;
		e->n_shares = route->n_shares;
		e->shares = xcalloc(route->n_shares,
				    sizeof(RouteShareEntry *)); /* NOLINT */
		for (k = 0; k < route->n_shares; k++) {
			RouteShareEntry *s = xcalloc(1, sizeof(*s));

			route_share_entry__init(s);
			s->service = route->shares[k].service;
			s->weight = route->shares[k].weight;
			e->shares[k] = s;
		}
		t->routes[i] = e;
	}
}

/* Fills in the services; strings stay owned by the configuration. */
static void pack_services(const struct routes *r, RouteTable *t)
{
	size_t i;

	t->services = xcalloc(r->n_services,
			      sizeof(RouteServiceEntry *)); /* NOLINT */
	t->n_services = r->n_services;
	for (i = 0; i < r->n_services; i++) {
		const struct route_service *s = &r->services[i];
		RouteServiceEntry *e = xcalloc(1, sizeof(*e));

		route_service_entry__init(e);
		e->name = s->name;
		if (s->health_path)
			e->health_path = s->health_path;
		e->engine = s->engine;
		e->slots = s->slots;
		e->memory_tokens = s->memory_tokens;
		e->copies = s->copies;
		e->moves = s->moves;
		t->services[i] = e;
	}
}

/* Fills in the organisations with their keys; strings stay owned by the
 * configuration. */
static void pack_organisations(const struct routes *r, RouteTable *t)
{
	size_t i;
	size_t k;

	t->organisations = xcalloc(r->n_organisations,
				   sizeof(OrganisationEntry *)); /* NOLINT */
	t->n_organisations = r->n_organisations;
	for (i = 0; i < r->n_organisations; i++) {
		OrganisationEntry *e = xcalloc(1, sizeof(*e));

		organisation_entry__init(e);
		e->name = r->organisations[i].name;
		e->priority = r->organisations[i].priority;
		e->keys = xcalloc(r->n_keys, sizeof(*e->keys));
		for (k = 0; k < r->n_keys; k++)
			if (r->keys[k].organisation == i)
				e->keys[e->n_keys++] = r->keys[k].key;
		t->organisations[i] = e;
	}
}

/* Copies the routes from the message. */
static void unpack_routes(struct routes *r, const RouteTable *t)
{
	size_t i;
	size_t k;

	r->routes = xcalloc(t->n_routes, sizeof(*r->routes));
	r->n_routes = t->n_routes;
	for (i = 0; i < t->n_routes; i++) {
		const RouteEntry *e = t->routes[i];
		struct route *route = &r->routes[i];

		*route = (struct route){
			.name = xstrdup(e->name),
			.host = xstrdup(e->host),
			.prefix = xstrdup(e->prefix),
			.prefix_len = strlen(e->prefix),
			.kind = e->kind <= KIND_STREAM
					? (enum request_kind)e->kind
					: KIND_AT_MOST_ONCE,
			.resumable = e->resumable,
			.open = e->open,
			.timeout_ms = e->timeout_ms,
			.target_ms = e->target_ms,
			.gap_ms = e->gap_ms,
			.attempts_max = e->attempts_max,
			.priority = e->priority,
			.shares = xcalloc(e->n_shares, sizeof(*route->shares)),
			.n_shares = e->n_shares,
		};
		for (k = 0; k < e->n_shares; k++) {
			route->shares[k].service =
				xstrdup(e->shares[k]->service);
			route->shares[k].weight = e->shares[k]->weight;
		}
	}
}

/* Copies the services from the message. */
static void unpack_services(struct routes *r, const RouteTable *t)
{
	size_t i;

	r->services = xcalloc(t->n_services, sizeof(*r->services));
	r->n_services = t->n_services;
	for (i = 0; i < t->n_services; i++) {
		const RouteServiceEntry *e = t->services[i];

		r->services[i] = (struct route_service){
			.name = xstrdup(e->name),
			.health_path = e->health_path[0]
					       ? xstrdup(e->health_path)
					       : NULL,
			.engine = e->engine,
			.slots = e->slots,
			.memory_tokens = e->memory_tokens,
			.copies = e->copies,
			.moves = e->moves,
		};
	}
}

/* Copies the organisations and their keys from the message. */
static void unpack_organisations(struct routes *r, const RouteTable *t)
{
	size_t i;
	size_t k;

	r->organisations =
		xcalloc(t->n_organisations, sizeof(*r->organisations));
	r->n_organisations = t->n_organisations;
	for (i = 0; i < t->n_organisations; i++) {
		const OrganisationEntry *e = t->organisations[i];

		r->organisations[i].name = xstrdup(e->name);
		r->organisations[i].priority = e->priority;
		r->keys = xreallocarray(r->keys, r->n_keys + e->n_keys,
					sizeof(*r->keys));
		for (k = 0; k < e->n_keys; k++) {
			r->keys[r->n_keys].key = xstrdup(e->keys[k]);
			r->keys[r->n_keys++].organisation = i;
		}
	}
}

/* Frees the message; its strings belong to the configuration. */
static void pack_free(RouteTable *t)
{
	size_t i;
	size_t k;

	for (i = 0; i < t->n_routes; i++) {
		for (k = 0; k < t->routes[i]->n_shares; k++)
			free(t->routes[i]->shares[k]);
		free(t->routes[i]->shares);
		free(t->routes[i]);
	}
	for (i = 0; i < t->n_services; i++)
		free(t->services[i]);
	for (i = 0; i < t->n_organisations; i++) {
		free(t->organisations[i]->keys);
		free(t->organisations[i]);
	}
	free(t->routes);
	free(t->services);
	free(t->organisations);
}
