/*
 * The other instances: found in the store, heard by datagrams.  A datagram
 * says that its sender lives, where it has work, and which endpoints it has
 * just found dead.
 */
#include "proxyd/peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <xxhash.h>

#include "lib/counters.h"
#include "lib/event_log.h"
#include "lib/settings.h"
#include "lib/xalloc.h"
#include "policy/presence.h"
#include "proto/peer.pb-c.h"
#include "proxyd/endpoints.h"
#include "proxyd/proxyd.h"
#include "proxyd/watch.h"

#define LOADS_MAX 48 /* of one datagram, which fits one packet */
#define TOLD_MAX 8 /* endpoints lost, and found, of one datagram */
#define USES_MAX 8 /* services of one datagram */
#define DATAGRAM_MAX 2048
#define ROWS_MAX 16 /* rows of one datagram */
#define ROWS_BYTES 1300 /* of rows in one datagram, which fits one packet */
#define ROW_BYTES 24 /* of a row beside its key and value, at most */
#define TELL_MS 2000 /* what is told is repeated in datagrams for so long */

/* Losses and new runs are told at once, gathered over this time; new runs only
 * among so few that it costs little. */
#define URGENT_MS 20
#define URGENT_PEERS_MAX 128

struct peer_load {
	uint64_t endpoint; /* hash of its id */
	struct endpoint_load load;
};

/* What an instance says of a service's repeats. */
struct peer_use {
	uint64_t service; /* hash of its name */
	uint32_t requests;
	uint32_t repeats;
};

struct peer {
	TAILQ_ENTRY(peer) link;
	char *name;
	char *callers; /* addresses */
	char *control;
	char *peers;
	char *zone;
	uint32_t capacity; /* share of a core, in thousandths */
	struct sockaddr_in address;
	struct presence presence;
	bool alive; /* as it was last judged, for the log */
	uint64_t born_ms;
	struct peer_load loads[LOADS_MAX];
	size_t n_loads;
	struct peer_use uses[USES_MAX];
	size_t n_uses;
	uint64_t reading_ms; /* when it last said that it reads the store */
};

struct told_endpoint {
	char id[ENDPOINT_ID_SIZE];
	uint64_t at_ms;
};

/* Endpoints that datagrams speak of for a while. */
struct told {
	struct told_endpoint list[TOLD_MAX];
	size_t n;
};

struct peers {
	struct proxyd *proxyd;
	uv_udp_t udp;
	TAILQ_HEAD(peer_list, peer) list;
	size_t n;
	uint64_t told_ms;
	uint64_t urgent_ms; /* a datagram is due then; 0: none */
	struct told lost;
	struct told found;
	struct counter *sent;
	struct counter *heard;
};

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags);
static struct peer *find(const struct peers *t, const char *name);
static void take_pulse(struct peers *t, const PeerPulse *pulse);
static void take_rows(struct peers *t, const PeerRows *rows);
static void take_uses(struct peers *t, struct peer *peer,
		      const PeerPulse *pulse);
static void add_uses(struct peers *t, const struct peer *peer, int sign);
static bool comes_before(const struct peers *t, const struct peer *peer);
static uint32_t own_capacity(const struct peers *t);
static void tell_of(struct peers *t, struct told *told, const char *endpoint);
static void told_expire(struct told *told, uint64_t now);
static size_t gather_found(struct peers *t, PeerFound *found);
static void send_all(struct peers *t, const PeerDatagram *d);
static size_t gather_uses(struct peers *t, PeerUse *uses);
static void take_loads(struct peers *t, struct peer *peer,
		       const PeerPulse *pulse);
static void add_loads(struct peers *t, const struct peer *peer, int sign);
static uint32_t shifted(uint32_t value, uint32_t by, int sign);
static void forget(struct peers *t, struct peer *peer);
static void tell(struct peers *t);
static size_t gather_loads(struct peers *t, PeerLoad *loads);
static void judge(struct peers *t);

static char datagram[DATAGRAM_MAX];

/* Opens the address for datagrams; NULL with a message in err. */
struct peers *peers_new(struct proxyd *p, char *err, size_t err_size)
{
	struct peers *t = xcalloc(1, sizeof(*t));
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	int rc;

	t->proxyd = p;
	TAILQ_INIT(&t->list);
	uv_udp_init(p->loop, &t->udp);
	t->udp.data = t;
	address_parse(p->settings.peers, host, sizeof(host), &port);
	uv_ip4_addr(host, port, &sin);
	rc = uv_udp_bind(&t->udp, (const struct sockaddr *)&sin, 0);
	if (!rc)
		rc = uv_udp_recv_start(&t->udp, on_alloc, on_datagram);
	if (rc) {
		snprintf(err, err_size, "%s: %s", p->settings.peers,
			 uv_strerror(rc));
		return NULL; /* the process ends */
	}
	t->sent = counter_labelled("cdm_peer_datagrams_total",
				   "Datagrams between instances", COUNTER_TOTAL,
				   "direction", "sent");
	t->heard = counter_labelled("cdm_peer_datagrams_total",
				    "Datagrams between instances",
				    COUNTER_TOTAL, "direction", "heard");
	return t;
}

/* Tells the others at intervals, or at once of a loss; judges who lives. */
void peers_tick(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);

	if ((t->urgent_ms && now >= t->urgent_ms) ||
	    now - t->told_ms >= presence_interval_ms(t->n + 1))
		tell(t);
	judge(t);
}

/* Takes a row of the store. */
void peers_take_row(struct peers *t, const struct store_row *row)
{
	struct peer *peer = find(t, row->key);
	char host[64];
	uint16_t port;

	if (!strcmp(row->key, t->proxyd->settings.name))
		return;
	if (!row->instance ||
	    !address_parse(row->instance->peers, host, sizeof(host), &port)) {
		if (row->problem[0])
			event_log(EVENT_NOTABLE, "entry-unreadable", NULL,
				  "{s:s, s:s}", "instance", row->key, "problem",
				  row->problem);
		if (peer)
			forget(t, peer);
		return;
	}
	if (!peer) {
		peer = xcalloc(1, sizeof(*peer));
		peer->name = xstrdup(row->key);
		TAILQ_INSERT_TAIL(&t->list, peer, link);
		t->n++;
	}
	free(peer->callers);
	free(peer->control);
	free(peer->peers);
	free(peer->zone);
	peer->callers = xstrdup(row->instance->callers);
	peer->control = xstrdup(row->instance->control);
	peer->peers = xstrdup(row->instance->peers);
	peer->zone = xstrdup(row->instance->zone);
	uv_ip4_addr(host, port, &peer->address);
	peer->presence.leaving = false;
	peer->presence.listed_ms = proxyd_now(t->proxyd);
	if (!peer->presence.heard_ms)
		event_log(EVENT_NOTABLE, "instance-listed", NULL, "{s:s, s:s}",
			  "peer", peer->name, "address", peer->callers);
}

/* After a full listing: forgets the instances that are not in it. */
void peers_keep_only(struct peers *t, const struct store_row *rows, size_t n)
{
	struct peer *peer = TAILQ_FIRST(&t->list);
	size_t k;

	while (peer) {
		struct peer *next = TAILQ_NEXT(peer, link);

		for (k = 0; k < n; k++)
			if (!strcmp(rows[k].key, peer->name))
				break;
		if (k == n)
			forget(t, peer);
		peer = next;
	}
}

/* Passes on that an endpoint was found dead. */
void peers_tell_lost(struct peers *t, const char *endpoint)
{
	tell_of(t, &t->lost, endpoint);
}

/* Passes on that an endpoint was found without the store's word. */
void peers_tell_found(struct peers *t, const char *endpoint)
{
	tell_of(t, &t->found, endpoint);
}

/* Adds an endpoint to what the next datagrams say. */
static void tell_of(struct peers *t, struct told *told, const char *endpoint)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct told_endpoint *e;

	if (told->n == TOLD_MAX) {
		memmove(told->list, told->list + 1,
			sizeof(*e) * (TOLD_MAX - 1));
		told->n--;
	}
	e = &told->list[told->n++];
	snprintf(e->id, sizeof(e->id), "%s", endpoint);
	e->at_ms = now;
	if (!t->urgent_ms)
		t->urgent_ms = now + URGENT_MS;
}

/* Forgets what has been said for long enough. */
static void told_expire(struct told *told, uint64_t now)
{
	while (told->n && now - told->list[0].at_ms > TELL_MS)
		memmove(told->list, told->list + 1,
			sizeof(told->list[0]) * --told->n);
}

/* Tells the others soon of a load that was just added. */
void peers_tell_soon(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);

	if (!t->urgent_ms && t->n <= URGENT_PEERS_MAX)
		t->urgent_ms = now + URGENT_MS;
}

/* Tells the others within a moment: a request was sent once more after a loss,
 * and all draw on one budget; or a configuration came into force. */
void peers_tell_urgent(struct peers *t)
{
	if (!t->urgent_ms)
		t->urgent_ms = proxyd_now(t->proxyd) + URGENT_MS;
}

/* Tells the others without waiting, as when this instance leaves. */
void peers_tell_now(struct peers *t)
{
	tell(t);
}

/* Returns how many other instances live. */
size_t peers_alive(const struct peers *t)
{
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	n += peer->alive;
	return n;
}

/* Lists the addresses for callers of the other instances that live, or of all
 * if this instance is cut off from them; returns their number. */
size_t peers_addresses(const struct peers *t, const char **addresses,
		       size_t most)
{
	bool all = presence_cut_off(peers_alive(t), t->n);
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	if (n < most && !peer->presence.leaving && (all || peer->alive))
		addresses[n++] = peer->callers;
	return n;
}

/* Lends the buffer of datagrams. */
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	(void)h;
	(void)suggested;
	*buf = uv_buf_init(datagram, sizeof(datagram));
}

/* Takes a datagram. */
static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct peers *t = udp->data;
	PeerDatagram *d;

	if (n <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	counter_add(t->heard, 1);
	d = peer_datagram__unpack(NULL, (size_t)n, (const uint8_t *)buf->base);
	if (!d) {
		event_log(EVENT_NOTABLE, "datagram-unreadable", NULL, "{s:I}",
			  "bytes", (json_int_t)n);
		return;
	}
	if (d->pulse)
		take_pulse(t, d->pulse);
	if (d->rows)
		take_rows(t, d->rows);
	peer_datagram__free_unpacked(d, NULL);
}

/* Returns an instance by name, or NULL. */
static struct peer *find(const struct peers *t, const char *name)
{
	struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	if (!strcmp(peer->name, name))
		return peer;
	return NULL;
}

/* Takes what an instance says. */
static void take_pulse(struct peers *t, const PeerPulse *pulse)
{
	struct peer *peer = find(t, pulse->instance);
	size_t i;

	if (!peer || pulse->born < peer->born_ms)
		return;
	if (pulse->leaving != peer->presence.leaving)
		event_log(EVENT_NOTABLE,
			  pulse->leaving ? "instance-leaving"
					 : "instance-staying",
			  NULL, "{s:s}", "peer", peer->name);
	peer->born_ms = pulse->born;
	peer->presence.heard_ms = proxyd_now(t->proxyd);
	peer->presence.leaving = pulse->leaving;
	peer->capacity = pulse->capacity;
	peer->presence.configured = pulse->version != 0;
	take_loads(t, peer, pulse);
	take_uses(t, peer, pulse);
	for (i = 0; i < pulse->n_lost; i++)
		endpoint_rumoured(t->proxyd->endpoints, pulse->lost[i]);
	for (i = 0; i < pulse->n_found; i++)
		endpoints_adopt(t->proxyd->endpoints, pulse->found[i]->id,
				pulse->found[i]->address,
				pulse->found[i]->service,
				pulse->found[i]->zone);
	if (pulse->reading) {
		peer->reading_ms = peer->presence.heard_ms;
		watches_hear(t->proxyd->watches, STORE_ENDPOINTS,
			     pulse->endpoints_version);
	}
	watches_hear_configuration(t->proxyd->watches, pulse->version,
				   peer->control);
}

/* Takes changes of a table that another instance has read. */
static void take_rows(struct peers *t, const PeerRows *rows)
{
	struct store_change change = {
		.after = rows->after,
		.version = rows->version,
		.back_ms = rows->back_ms,
		.n = rows->n_rows,
	};
	size_t i;

	if (!find(t, rows->instance) || rows->table >= STORE_TABLES)
		return;
	change.rows = xcalloc(rows->n_rows, sizeof(*change.rows));
	for (i = 0; i < rows->n_rows; i++) {
		change.rows[i].key = rows->rows[i]->key;
		change.rows[i].removed = rows->rows[i]->removed;
		change.rows[i].raw = (const char *)rows->rows[i]->value.data;
		change.rows[i].raw_len = rows->rows[i]->value.len;
	}
	watches_take_change(t->proxyd->watches, (enum store_table)rows->table,
			    &change);
	free(change.rows);
}

/* Replaces what an instance says of the repeats. */
static void take_uses(struct peers *t, struct peer *peer,
		      const PeerPulse *pulse)
{
	size_t i;

	add_uses(t, peer, -1);
	peer->n_uses = pulse->n_uses < USES_MAX ? pulse->n_uses : USES_MAX;
	for (i = 0; i < peer->n_uses; i++)
		peer->uses[i] = (struct peer_use){
			.service = pulse->uses[i]->service,
			.requests = pulse->uses[i]->requests,
			.repeats = pulse->uses[i]->repeats,
		};
	add_uses(t, peer, 1);
}

/* Adds an instance's uses to the sums by service, or takes them off. */
static void add_uses(struct peers *t, const struct peer *peer, int sign)
{
	size_t i;

	for (i = 0; i < peer->n_uses; i++) {
		const struct peer_use *u = &peer->uses[i];
		struct repeat_others *o = endpoints_others_by_hash(
			t->proxyd->endpoints, u->service);

		if (!o)
			continue;
		o->requests = shifted(o->requests, u->requests, sign);
		o->repeats = shifted(o->repeats, u->repeats, sign);
		o->instances = shifted(o->instances, 1, sign);
	}
}

/* Replaces what an instance has at the endpoints. */
static void take_loads(struct peers *t, struct peer *peer,
		       const PeerPulse *pulse)
{
	size_t i;

	add_loads(t, peer, -1);
	peer->n_loads = pulse->n_loads < LOADS_MAX ? pulse->n_loads : LOADS_MAX;
	for (i = 0; i < peer->n_loads; i++) {
		const PeerLoad *l = pulse->loads[i];

		peer->loads[i] = (struct peer_load){
			.endpoint = l->endpoint,
			.load = { .tokens = l->tokens,
				  .prefill = l->prefill,
				  .requests = l->requests,
				  .prefills = l->prefills },
		};
	}
	add_loads(t, peer, 1);
}

/* Adds an instance's loads to those of the endpoints, or takes them off. */
static void add_loads(struct peers *t, const struct peer *peer, int sign)
{
	size_t i;

	for (i = 0; i < peer->n_loads; i++) {
		const struct endpoint_load *l = &peer->loads[i].load;
		struct endpoint *e = endpoint_by_hash(t->proxyd->endpoints,
						      peer->loads[i].endpoint);

		if (!e)
			continue;
		e->others.tokens = shifted(e->others.tokens, l->tokens, sign);
		e->others.prefill =
			shifted(e->others.prefill, l->prefill, sign);
		e->others.requests =
			shifted(e->others.requests, l->requests, sign);
		e->others.prefills =
			shifted(e->others.prefills, l->prefills, sign);
	}
}

/* Adds or takes off; an endpoint that was forgotten in between has lost what
 * was added to it, so that the result stops at 0. */
static uint32_t shifted(uint32_t value, uint32_t by, int sign)
{
	if (sign > 0)
		return value + by;
	return value > by ? value - by : 0;
}

/* Forgets an instance. */
static void forget(struct peers *t, struct peer *peer)
{
	add_loads(t, peer, -1);
	add_uses(t, peer, -1);
	TAILQ_REMOVE(&t->list, peer, link);
	t->n--;
	free(peer->name);
	free(peer->callers);
	free(peer->control);
	free(peer->peers);
	free(peer->zone);
	free(peer);
}

/* Sends a datagram to every other instance. */
static void tell(struct peers *t)
{
	struct proxyd *p = t->proxyd;
	PeerPulse pulse = PEER_PULSE__INIT;
	PeerLoad loads[LOADS_MAX];
	PeerLoad *load_list[LOADS_MAX];
	PeerUse uses[USES_MAX];
	PeerUse *use_list[USES_MAX];
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerFound found[TOLD_MAX];
	PeerFound *found_list[TOLD_MAX];
	char *lost[TOLD_MAX];
	size_t i;

	t->told_ms = proxyd_now(p);
	t->urgent_ms = 0;
	told_expire(&t->lost, t->told_ms);
	told_expire(&t->found, t->told_ms);
	for (i = 0; i < t->lost.n; i++)
		lost[i] = t->lost.list[i].id;
	pulse.n_found = gather_found(t, found);
	for (i = 0; i < pulse.n_found; i++)
		found_list[i] = &found[i];
	pulse.found = found_list;
	pulse.instance = p->settings.name;
	pulse.born = p->born_ms;
	pulse.leaving = !stop_ready(&p->stop);
	pulse.version = p->routes ? p->routes->version : 0;
	pulse.n_loads = gather_loads(t, loads);
	for (i = 0; i < pulse.n_loads; i++)
		load_list[i] = &loads[i];
	pulse.loads = load_list;
	pulse.n_lost = t->lost.n;
	pulse.lost = lost;
	pulse.n_uses = gather_uses(t, uses);
	for (i = 0; i < pulse.n_uses; i++)
		use_list[i] = &uses[i];
	pulse.uses = use_list;
	pulse.capacity = own_capacity(t);
	pulse.reading = watches_reading(p->watches);
	pulse.endpoints_version = watches_version(p->watches, STORE_ENDPOINTS);
	d.pulse = &pulse;
	if (peer_datagram__get_packed_size(&d) > DATAGRAM_MAX)
		pulse.n_loads /= 4;
	send_all(t, &d);
}

/* Passes changes of a table on, in as many datagrams as they need. */
void peers_tell_rows(struct peers *t, enum store_table table, uint64_t after,
		     uint64_t version, const struct store_row *rows, size_t n)
{
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerRows change = PEER_ROWS__INIT;
	PeerRow row[ROWS_MAX];
	PeerRow *list[ROWS_MAX];
	size_t bytes = 0;
	size_t i;

	change.instance = t->proxyd->settings.name;
	change.table = table;
	change.after = after;
	change.rows = list;
	change.back_ms = watches_back_ms(t->proxyd->watches, table);
	d.rows = &change;
	for (i = 0; i < n; i++) {
		PeerRow *r = &row[change.n_rows];

		peer_row__init(r);
		r->key = (char *)rows[i].key;
		r->removed = rows[i].removed;
		r->value.data = (uint8_t *)rows[i].raw;
		r->value.len = rows[i].raw_len;
		list[change.n_rows++] = r;
		bytes += rows[i].raw_len + strlen(rows[i].key) + ROW_BYTES;
		if (i + 1 < n && change.n_rows < ROWS_MAX &&
		    bytes + rows[i + 1].raw_len + ROW_BYTES < ROWS_BYTES)
			continue;
		change.version = i + 1 < n ? rows[i].version : version;
		send_all(t, &d);
		change.after = change.version;
		change.n_rows = 0;
		bytes = 0;
	}
}

/* Returns when another instance last said that it reads the store, 0 if none
 * did. */
uint64_t peers_reading_ms(const struct peers *t)
{
	const struct peer *peer;
	uint64_t last = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	if (peer->reading_ms > last)
		last = peer->reading_ms;
	return last;
}

/* Returns how many of the instances that live come before this one in the
 * order in which they read the store. */
size_t peers_before(const struct peers *t)
{
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	n += peer->alive && comes_before(t, peer);
	return n;
}

/* Fills in all instances that are known, this one too, for one that starts;
 * the strings are lent.  Returns the number. */
size_t peers_list(const struct peers *t, struct peer_info *list, size_t most)
{
	const struct proxyd_settings *s = &t->proxyd->settings;
	const struct peer *peer;
	size_t n = 0;

	if (most)
		list[n++] = (struct peer_info){
			.name = s->name,
			.entry = { .callers = s->callers,
				   .peers = s->peers,
				   .control = s->control,
				   .zone = s->zone },
		};
	TAILQ_FOREACH(peer, &t->list, link)
	if (n < most && peer->alive)
		list[n++] = (struct peer_info){
			.name = peer->name,
			.entry = { .callers = peer->callers,
				   .peers = peer->peers,
				   .control = peer->control,
				   .zone = peer->zone },
		};
	return n;
}

/* Tells whether another instance is to read the store rather than this one:
 * those with the largest share of a core come first. */
static bool comes_before(const struct peers *t, const struct peer *peer)
{
	if (peer->capacity != own_capacity(t))
		return peer->capacity > own_capacity(t);
	return strcmp(peer->name, t->proxyd->settings.name) < 0;
}

/* Returns this instance's share of a core, in thousandths. */
static uint32_t own_capacity(const struct peers *t)
{
	return (uint32_t)(t->proxyd->settings.capacity * 1000);
}

/* Sends a datagram to every other instance.  One may be lost: what it says
 * comes again, or is missed by its version. */
static void send_all(struct peers *t, const PeerDatagram *d)
{
	uint8_t out[DATAGRAM_MAX];
	struct peer *peer;
	uv_buf_t buf;

	if (peer_datagram__get_packed_size(d) > sizeof(out)) {
		event_log(EVENT_NOTABLE, "datagram-too-large", NULL, "{}");
		return;
	}
	buf = uv_buf_init((char *)out,
			  (unsigned int)peer_datagram__pack(d, out));
	TAILQ_FOREACH(peer, &t->list, link)
	if (uv_udp_try_send(&t->udp, &buf, 1,
			    (const struct sockaddr *)&peer->address) > 0)
		counter_add(t->sent, 1);
}

/* Fills in the endpoints that were found; returns the number. */
static size_t gather_found(struct peers *t, PeerFound *found)
{
	struct endpoints *endpoints = t->proxyd->endpoints;
	size_t n = 0;
	size_t i;

	for (i = 0; i < t->found.n; i++) {
		struct endpoint *e =
			endpoint_by_id(endpoints, t->found.list[i].id);

		if (!e)
			continue;
		peer_found__init(&found[n]);
		found[n].id = e->id;
		found[n].address = e->address;
		found[n].service = e->service;
		found[n++].zone =
			(char *)endpoints_zone_name(endpoints, e->zone);
	}
	return n;
}

/* Fills in this instance's own requests and repeats; returns the number. */
static size_t gather_uses(struct peers *t, PeerUse *uses)
{
	struct proxyd *p = t->proxyd;
	struct repeat_budget *budget;
	uint64_t hash;
	size_t i = 0;
	size_t n = 0;

	while (n < USES_MAX &&
	       endpoints_next_budget(p->endpoints, &i, &hash, &budget)) {
		peer_use__init(&uses[n]);
		uses[n].service = hash;
		repeat_counts(budget, &p->repeat, proxyd_now(p),
			      &uses[n].requests, &uses[n].repeats);
		n += uses[n].requests || uses[n].repeats;
	}
	return n;
}

/* Fills in where this instance has work; returns the number. */
static size_t gather_loads(struct peers *t, PeerLoad *loads)
{
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	while (n < LOADS_MAX && (e = endpoint_next(t->proxyd->endpoints, &i))) {
		if (!e->own.tokens && !e->own.requests)
			continue;
		peer_load__init(&loads[n]);
		loads[n].endpoint = e->hash;
		loads[n].tokens = e->own.tokens;
		loads[n].prefill = e->own.prefill;
		loads[n].prefills = e->own.prefills;
		loads[n++].requests = e->own.requests;
	}
	return n;
}

/* Notes which instances live now; a dead one has no work anywhere. */
static void judge(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		bool alive = presence_alive(&peer->presence, t->n + 1, now);

		if (alive == peer->alive)
			continue;
		peer->alive = alive;
		if (!alive) {
			add_loads(t, peer, -1);
			peer->n_loads = 0;
			add_uses(t, peer, -1);
			peer->n_uses = 0;
		}
		event_log(EVENT_NOTABLE,
			  alive ? "instance-alive" : "instance-silent", NULL,
			  "{s:s, s:I}", "peer", peer->name, "heard_ms_ago",
			  (json_int_t)(peer->presence.heard_ms
					       ? now - peer->presence.heard_ms
					       : 0));
	}
}
