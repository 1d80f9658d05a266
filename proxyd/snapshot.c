/*
 * Transfer of state between instances by HTTP: the configuration, and a
 * snapshot of everything known for an instance that starts while the store is
 * unreachable.
 */
#include "proxyd/snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "lib/bytes.h"
#include "lib/event_log.h"
#include "lib/http1_client.h"
#include "lib/http1_server.h"
#include "lib/xalloc.h"
#include "proto/peer.pb-c.h"
#include "proxyd/endpoints.h"
#include "proxyd/origins.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/routes_wire.h"
#include "proxyd/watch.h"

#define CONNECT_TIMEOUT_MS 300
#define FETCH_TIMEOUT_MS 10000 /* allows some MB over a slow link */
#define RESPONSE_MAX_BYTES (16u << 20)
#define ENDPOINTS_MAX 8192
#define INSTANCES_MAX 1024

struct fetch {
	struct snapshots *snapshots;
	struct http1_call *call; /* NULL: none in progress */
	int status;
	bool unframed; /* the response ends with its connection */
	struct bytes body;
	bool all; /* a snapshot, not only the configuration */
};

struct snapshots {
	struct proxyd *proxyd;
	struct bytes packed; /* configuration in force, once requested */
	struct fetch fetch;
	size_t next_seed;
};

static void pack_configuration(struct snapshots *s);
static void fetch_start(struct snapshots *s, const char *address,
			const char *path, bool all);
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);
static bool adopt_configuration(struct snapshots *s, const void *data,
				size_t len);
static bool adopt_snapshot(struct snapshots *s, const void *data, size_t len);
static size_t fill_endpoints(struct proxyd *p, PeerFound *list);
static size_t fill_instances(struct proxyd *p, PeerInstance *list);
static size_t fill_software(struct proxyd *p, PeerSoftware *list);

static const struct http1_call_ops ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

struct snapshots *snapshots_new(struct proxyd *p)
{
	struct snapshots *s = xcalloc(1, sizeof(*s));

	s->proxyd = p;
	s->fetch.snapshots = s;
	return s;
}

/* Discards the packed configuration, as another one is in force. */
void snapshots_invalidate(struct snapshots *s)
{
	s->packed.len = 0;
}

/* Replies with the configuration in force, or status 503 if there is none. */
void snapshot_serve_configuration(struct snapshots *s, struct http1_conn *c)
{
	pack_configuration(s);
	http1_reply(c, s->packed.len ? 200 : 503, NULL, s->packed.data,
		    s->packed.len);
}

/* Replies with a snapshot for an instance that starts, with status 503 if
 * there is no configuration.  NOLINT: the lists of the messages are lists of
 * pointers, which clang-tidy reports as a mistaken sizeof. */
void snapshot_serve_all(struct snapshots *s, struct http1_conn *c)
{
	PeerSnapshot all = PEER_SNAPSHOT__INIT;
	PeerFound *endpoints = xcalloc(ENDPOINTS_MAX, sizeof(*endpoints));
	PeerInstance *instances = xcalloc(INSTANCES_MAX, sizeof(*instances));
	PeerFound **endpoint_list =
		xcalloc(ENDPOINTS_MAX, sizeof(PeerFound *)); /* NOLINT */
	PeerInstance **instance_list =
		xcalloc(INSTANCES_MAX, sizeof(PeerInstance *)); /* NOLINT */
	uint8_t *out;
	PeerSoftware software[SOFTWARE_VERSIONS_MAX];
	PeerSoftware *software_list[SOFTWARE_VERSIONS_MAX];
	size_t len;
	size_t i;

	pack_configuration(s);
	all.routes.data = (uint8_t *)s->packed.data;
	all.routes.len = s->packed.len;
	all.n_endpoints = fill_endpoints(s->proxyd, endpoints);
	for (i = 0; i < all.n_endpoints; i++)
		endpoint_list[i] = &endpoints[i];
	all.endpoints = endpoint_list;
	all.n_instances = fill_instances(s->proxyd, instances);
	for (i = 0; i < all.n_instances; i++)
		instance_list[i] = &instances[i];
	all.instances = instance_list;
	all.store_era = watches_era(s->proxyd->watches);
	all.n_software = fill_software(s->proxyd, software);
	for (i = 0; i < all.n_software; i++)
		software_list[i] = &software[i];
	all.software = software_list;
	all.software_complete = origins_complete(s->proxyd->origins);
	len = peer_snapshot__get_packed_size(&all);
	out = xcalloc(len, 1);
	peer_snapshot__pack(&all, out);
	http1_reply(c, s->packed.len ? 200 : 503, NULL, out, len);
	free(out);
	free(instance_list);
	free(endpoint_list);
	free(instances);
	free(endpoints);
}

/* Fetches the configuration from another instance, unless a fetch is in
 * progress. */
void snapshot_fetch_configuration(struct snapshots *s, const char *control)
{
	if (!s->fetch.call)
		fetch_start(s, control, SNAPSHOT_CONFIGURATION_PATH, false);
}

/* Fetches a snapshot from another instance, for a start while the store does
 * not answer.  Each call asks the next of the seeds. */
void snapshot_fetch_all(struct snapshots *s)
{
	const struct string_list *seeds = &s->proxyd->settings.seeds;
	const char *seed;

	if (s->fetch.call || !seeds->n)
		return;
	seed = seeds->items[s->next_seed++ % seeds->n];
	if (strcmp(seed, s->proxyd->settings.control) != 0)
		fetch_start(s, seed, SNAPSHOT_ALL_PATH, true);
}

/* Packs the configuration in force, unless it is packed already. */
static void pack_configuration(struct snapshots *s)
{
	if (!s->packed.len && s->proxyd->routes)
		routes_pack(s->proxyd->routes, &s->packed);
}

/* Starts a GET request to another instance. */
static void fetch_start(struct snapshots *s, const char *address,
			const char *path, bool all)
{
	const struct http1_call_options options = {
		.address = address,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.keepalive_s = 1,
		.timeout_ms = FETCH_TIMEOUT_MS,
	};
	struct bytes out = { 0 };

	bytes_addf(&out,
		   "GET %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n\r\n",
		   path, address);
	s->fetch.status = 0;
	s->fetch.unframed = false;
	s->fetch.all = all;
	s->fetch.body.len = 0;
	s->fetch.call = http1_call_start(s->proxyd->client, &options, out.data,
					 out.len, &ops, &s->fetch);
}

/* Stores the status of a response and how it ends. */
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct fetch *f = arg;

	f->status = head->status;
	f->unframed = http1_call_unframed(f->call);
	return HTTP1_ACCEPT;
}

/* Collects the body of a response, without the parts that would exceed
 * RESPONSE_MAX_BYTES. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct fetch *f = arg;

	if (f->body.len + len <= RESPONSE_MAX_BYTES)
		bytes_add(&f->body, data, len);
}

/* Applies a complete response; logs a failed fetch.  One that ends with its
 * connection may have been cut between two entries, so it is not applied. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct fetch *f = arg;
	struct snapshots *s = f->snapshots;
	bool taken = false;

	f->call = NULL;
	if (outcome == HTTP1_COMPLETE && f->status == 200 && !f->unframed)
		taken = f->all ? adopt_snapshot(s, f->body.data, f->body.len)
			       : adopt_configuration(s, f->body.data,
						     f->body.len);
	if (!taken)
		event_log(EVENT_NOTABLE, "fetch-failed", NULL,
			  "{s:s, s:i, s:b, s:b}", "outcome",
			  http1_outcome_name(outcome), "status", f->status,
			  "unframed", f->unframed, "all", f->all);
	if (!taken && !f->all)
		watches_rows_missed(s->proxyd->watches, STORE_CONFIGURATION);
	bytes_release(&f->body);
}

/* Adopts a packed configuration; returns false if it is malformed. */
static bool adopt_configuration(struct snapshots *s, const void *data,
				size_t len)
{
	struct routes *routes = routes_unpack(data, len);

	if (routes)
		proxyd_apply_routes(s->proxyd, routes);
	return routes != NULL;
}

/* Adopts a snapshot; returns false if it is malformed. */
static bool adopt_snapshot(struct snapshots *s, const void *data, size_t len)
{
	struct proxyd *p = s->proxyd;
	PeerSnapshot *all = peer_snapshot__unpack(NULL, len, data);
	bool taken = all &&
		     adopt_configuration(s, all->routes.data, all->routes.len);
	size_t i;

	if (!taken) {
		if (all)
			peer_snapshot__free_unpacked(all, NULL);
		return false;
	}
	watches_era_seen(p->watches, all->store_era, "snapshot");
	for (i = 0; i < all->n_endpoints; i++) {
		const PeerFound *f = all->endpoints[i];
		const struct endpoint_entry found = {
			.service = f->service,
			.address = f->address,
			.zone = f->zone,
			.born_ms = f->born,
			.version = f->version[0] ? f->version : NULL,
		};

		endpoints_adopt(p->endpoints, f->id, &found, true);
	}
	for (i = 0; i < all->n_software; i++)
		origins_adopt_version(p->origins, all->software[i]->service,
				      all->software[i]->software,
				      all->software[i]->listed_ms_ago);
	if (all->software_complete)
		origins_adopt_complete(p->origins);
	for (i = 0; i < all->n_instances; i++) {
		const struct instance_entry entry = {
			.callers = all->instances[i]->callers,
			.peers = all->instances[i]->peers,
			.control = all->instances[i]->control,
			.zone = all->instances[i]->zone,
		};
		const struct store_row row = {
			.key = all->instances[i]->name,
			.instance = &entry,
		};

		peers_apply_row(p->peers, &row);
	}
	event_log(EVENT_ALWAYS, "started-from-peer", NULL, "{s:I, s:I}",
		  "endpoints", (json_int_t)all->n_endpoints, "instances",
		  (json_int_t)all->n_instances);
	peer_snapshot__free_unpacked(all, NULL);
	return true;
}

/* Fills in the endpoints that accept work; returns the number. */
static size_t fill_endpoints(struct proxyd *p, PeerFound *list)
{
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	while (n < ENDPOINTS_MAX && (e = endpoint_next(p->endpoints, &i))) {
		if (e->state == ENDPOINT_REPLACED || endpoint_is_leaving(e) ||
		    !entry_expiry_accepts_work(&e->expiry, proxyd_now(p)))
			continue;
		peer_found__init(&list[n]);
		list[n].id = e->id;
		list[n].address = e->address;
		list[n].service = e->service;
		if (!e->software_doubted)
			list[n].version = e->version;
		list[n].born = e->born_ms;
		list[n++].zone =
			(char *)endpoints_zone_name(p->endpoints, e->zone);
	}
	return n;
}

/* Fills in this instance and the other live ones; returns the number. */
static size_t fill_instances(struct proxyd *p, PeerInstance *list)
{
	static struct peer_info known[INSTANCES_MAX];
	size_t n = peers_list(p->peers, known, INSTANCES_MAX);
	size_t i;

	for (i = 0; i < n; i++) {
		peer_instance__init(&list[i]);
		list[i].name = (char *)known[i].name;
		list[i].callers = (char *)known[i].entry.callers;
		list[i].peers = (char *)known[i].entry.peers;
		list[i].control = (char *)known[i].entry.control;
		list[i].zone = (char *)known[i].entry.zone;
	}
	return n;
}

/* Fills in the software versions that serve or served; returns the number. */
static size_t fill_software(struct proxyd *p, PeerSoftware *list)
{
	const struct software_history *h = origins_history(p->origins);
	uint64_t now = proxyd_now(p);
	size_t i;

	for (i = 0; i < h->n; i++) {
		peer_software__init(&list[i]);
		list[i].service = h->version[i].service;
		list[i].software = h->version[i].software;
		list[i].listed_ms_ago =
			(uint32_t)(now - h->version[i].listed_ms);
	}
	return h->n;
}
