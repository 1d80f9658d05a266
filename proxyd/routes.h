#ifndef PROXYD_ROUTES_H
#define PROXYD_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/http1_server.h"

/* Whether a request may be sent to an endpoint again. */
enum request_kind {
	KIND_AT_MOST_ONCE, /* sent to one endpoint, once */
	KIND_IDEMPOTENT,
	KIND_STREAM, /* answered by a stream of events */
};

/* A service and its weight in the requests of a route. */
struct route_share {
	char *service;
	uint32_t weight;
};

struct route {
	char *name;
	char *host; /* lower case */
	char *prefix; /* begins and ends with a slash */
	size_t prefix_len;
	enum request_kind kind;
	bool resumable; /* a stream may continue at another endpoint */
	bool open; /* needs no key */
	uint32_t timeout_ms; /* longest time that a caller waits */
	uint32_t target_ms; /* to the answer, or to a stream's first event */
	uint32_t gap_ms; /* longest gap in a stream that is on time */
	uint32_t attempts_max; /* endpoints that one request may be sent to */
	int priority; /* 0 is served first */
	struct route_share *shares;
	size_t n_shares;
};

struct route_service {
	char *name;
	char *health_path; /* or NULL */
	bool engine; /* a model engine, which has the fields below */
	uint32_t slots;
	uint32_t memory_tokens;
	bool copies; /* engines send KV-cache copies during runs */
	bool moves; /* engines make KV-cache copies on request */
};

#define ORGANISATION_NO_PRIORITY (-1) /* that of the route applies */

struct organisation {
	char *name;
	int priority;
};

struct route_key {
	char *key;
	size_t organisation; /* index */
};

/* One version of the routing configuration; immutable and counted by refs. */
struct routes {
	unsigned refs;
	uint64_t version;
	struct route *routes;
	size_t n_routes;
	struct route_service *services;
	size_t n_services;
	struct organisation *organisations;
	size_t n_organisations;
	struct route_key *keys;
	size_t n_keys;
	bool keys_needed; /* organisations are declared */
	struct http1_limits limits;
};

struct routes *routes_ref(struct routes *r);
void routes_unref(struct routes *r);
const struct route *routes_find(const struct routes *r, const char *host,
				size_t host_len, const char *target,
				size_t target_len);
const struct organisation *routes_organisation(const struct routes *r,
					       const char *key, size_t len);
const struct route_service *routes_service(const struct routes *r,
					   const char *name);
size_t routes_engine_services(const struct routes *r);
bool route_may_run_again(const struct route *route);
const char *route_choose_service(const struct route *route, uint64_t rnd);

#endif /* PROXYD_ROUTES_H */
