/*
 * The other instances: found in the store, heard by datagrams.  A datagram
 * says that its sender lives, where it has work, and which endpoints it has
 * just found dead.
 */
#include "proxyd/peers_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "lib/deflate.h"
#include "lib/event_log.h"
#include "lib/settings.h"
#include "lib/xalloc.h"
#include "proto/peer.pb-c.h"
#include "proxyd/proxyd.h"
#include "proxyd/watch.h"

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags);
static void take_pulse(struct peers *t, const PeerPulse *pulse);
static void take_reader(struct peers *t, const PeerReader *said);
static void take_work(struct peers *t, const PeerWork *work);
static void take_prompts(struct peers *t, PeerPrompt **prompts, size_t n);
static struct peer_load load_of(const PeerLoad *l);
static void take_packed_rows(struct peers *t, const PeerPacked *packed);
static void take_rows(struct peers *t, const PeerRows *rows);
static bool comes_before(const struct peers *t, const struct peer *peer);
static void take_loads(struct peers *t, struct peer *peer,
		       const PeerPulse *pulse);
static void add_loads(struct peers *t, struct peer *peer);
static void load_add(struct peers *t, struct peer_load *l);
static void load_take_off(struct peers *t, const struct peer_load *l);
static void remove_loads(struct peers *t, struct peer *peer);
static void forget(struct peers *t, struct peer *peer);
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

	peers_tell_reader(t);
	peers_tell_changed_work(t);
	peers_tell_suspects(t);
	if ((t->urgent_ms && now >= t->urgent_ms) ||
	    now - t->told_ms >= heartbeat_interval_ms(t->n + 1))
		peers_tell_now(t);
	judge(t);
}

/* Takes a row of the store. */
void peers_take_row(struct peers *t, const struct store_row *row)
{
	struct peer *peer = peers_find(t, row->key);
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
		peer->hash = peers_name_hash(row->key);
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
	if (!peer->presence.last_seen_ms)
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

/* Returns how many other instances live. */
size_t peers_alive(const struct peers *t)
{
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	n += peer->alive;
	return n;
}

/* Returns how many other instances are listed, heard or not. */
size_t peers_listed(const struct peers *t)
{
	return t->n;
}

/* Tells whether another instance lives that knows a configuration. */
bool peers_configured(const struct peers *t)
{
	const struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	if (peer->alive && peer->presence.configured)
		return true;
	return false;
}

/* Lists the addresses for callers of the other instances that live, or of all
 * if this instance is cut off from them; returns their number. */
size_t peers_addresses(const struct peers *t, const char **addresses,
		       size_t most)
{
	bool all = heartbeat_isolated(peers_alive(t), t->n);
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	if (n < most && !peer->presence.leaving && (all || peer->alive))
		addresses[n++] = peer->callers;
	return n;
}

/* Lists the addresses for callers of the other instances that are stopping;
 * returns their number. */
size_t peers_addresses_stopping(const struct peers *t, const char **addresses,
				size_t most)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	if (n < most && heartbeat_stopping(&peer->presence, t->n + 1, now))
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
		take_packed_rows(t, d->rows);
	if (d->work)
		take_work(t, d->work);
	if (d->reader)
		take_reader(t, d->reader);
	if (d->suspects)
		peers_take_suspects(t, d->suspects);
	if (d->borrow)
		peers_lend(t, d->borrow);
	if (d->loan)
		peers_take_loan(t, d->loan);
	peer_datagram__free_unpacked(d, NULL);
}

/* Returns an instance by name, or NULL. */
struct peer *peers_find(const struct peers *t, const char *name)
{
	struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	if (!strcmp(peer->name, name))
		return peer;
	return NULL;
}

/* Returns an instance by the hash of its name, or NULL. */
struct peer *peers_find_hash(const struct peers *t, uint64_t hash)
{
	struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	if (peer->hash == hash)
		return peer;
	return NULL;
}

/* Returns the hash by which short datagrams name an instance. */
uint64_t peers_name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* Takes what an instance says. */
static void take_pulse(struct peers *t, const PeerPulse *pulse)
{
	struct peer *peer = peers_find(t, pulse->instance);
	size_t i;

	if (!peer || pulse->born < peer->born_ms)
		return;
	if (pulse->leaving != peer->presence.leaving)
		event_log(EVENT_NOTABLE,
			  pulse->leaving ? "instance-leaving"
					 : "instance-staying",
			  NULL, "{s:s}", "peer", peer->name);
	if (pulse->born != peer->born_ms)
		suspects_send_refusals(t->proxyd->suspects, peer);
	peer->born_ms = pulse->born;
	peer->presence.last_seen_ms = proxyd_now(t->proxyd);
	peer->presence.leaving = pulse->leaving;
	peer->capacity = pulse->capacity;
	peer->presence.configured = pulse->version != 0;
	take_loads(t, peer, pulse);
	for (i = 0; i < pulse->n_lost; i++)
		endpoint_reported_lost(t->proxyd->endpoints, pulse->lost[i]);
	for (i = 0; i < pulse->n_leaving_endpoints; i++)
		endpoint_reported_leaving(t->proxyd->endpoints,
					  pulse->leaving_endpoints[i]->id,
					  pulse->leaving_endpoints[i]->born);
	for (i = 0; i < pulse->n_found; i++)
		endpoints_adopt(t->proxyd->endpoints, pulse->found[i]->id,
				pulse->found[i]->address,
				pulse->found[i]->service,
				pulse->found[i]->zone);
	take_prompts(t, pulse->prompts, pulse->n_prompts);
	if (pulse->reading) {
		store_reader_announced(&peer->reader, true,
				       peer->presence.last_seen_ms);
		watches_hear(t->proxyd->watches, STORE_ENDPOINTS,
			     pulse->endpoints_version);
	} else {
		store_reader_seen(&peer->reader, peer->presence.last_seen_ms);
	}
	watches_hear_configuration(t->proxyd->watches, pulse->version,
				   peer->control);
}

/* Takes what an instance says of reading the store for others. */
static void take_reader(struct peers *t, const PeerReader *said)
{
	struct peer *peer = peers_find(t, said->instance);
	uint64_t now = proxyd_now(t->proxyd);
	bool could;

	if (!peer || said->born < peer->born_ms)
		return;
	could = peer->reader.announced_ms && !peer->reader.unable;
	peer->presence.last_seen_ms = now;
	if (said->ends)
		store_reader_stopped(&peer->reader);
	else
		store_reader_announced(&peer->reader, said->answers, now);
	if (could != (peer->reader.announced_ms && !peer->reader.unable))
		event_log(EVENT_NOTABLE, "reader", NULL, "{s:s, s:b, s:b}",
			  "peer", peer->name, "answers", said->answers, "ends",
			  said->ends);
	if (said->answers && !said->ends)
		watches_hear(t->proxyd->watches, STORE_ENDPOINTS,
			     said->endpoints_version);
	watches_hear_configuration(t->proxyd->watches, said->version,
				   peer->control);
}

/* Takes changes of a table as they were sent. */
static void take_packed_rows(struct peers *t, const PeerPacked *packed)
{
	char *plain = inflate_bytes(packed->message.data, packed->message.len,
				    packed->len);
	PeerRows *rows =
		plain ? peer_rows__unpack(NULL, packed->len, (uint8_t *)plain)
		      : NULL;

	if (rows)
		take_rows(t, rows);
	else
		event_log(EVENT_NOTABLE, "datagram-unreadable", NULL, "{s:I}",
			  "bytes", (json_int_t)packed->message.len);
	if (rows)
		peer_rows__free_unpacked(rows, NULL);
	free(plain);
}

/* Takes changes of a table that another instance has read. */
static void take_rows(struct peers *t, const PeerRows *rows)
{
	struct store_change change = {
		.after = rows->after,
		.version = rows->version,
		.since_recovery_ms = rows->back_ms,
		.n = rows->n_rows,
	};
	size_t i;

	if (!peers_find(t, rows->instance) || rows->table >= STORE_TABLES)
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

/* Replaces what an instance has at the endpoints. */
static void take_loads(struct peers *t, struct peer *peer,
		       const PeerPulse *pulse)
{
	size_t i;

	remove_loads(t, peer);
	peer->n_loads = pulse->n_loads < LOADS_MAX ? pulse->n_loads : LOADS_MAX;
	for (i = 0; i < peer->n_loads; i++) {
		const PeerLoad *l = pulse->loads[i];

		peer->loads[i] = load_of(l);
	}
	add_loads(t, peer);
}

/* Takes what has changed of an instance's work: an endpoint's load takes the
 * place of the one that was told before. */
static void take_work(struct peers *t, const PeerWork *work)
{
	struct peer *peer;
	size_t i;
	size_t k;

	peer = peers_find_hash(t, work->instance);
	if (!peer)
		return;
	peer->presence.last_seen_ms = proxyd_now(t->proxyd);
	for (i = 0; i < work->n_loads; i++) {
		const PeerLoad *l = work->loads[i];

		for (k = 0; k < peer->n_loads; k++)
			if (peer->loads[k].endpoint == l->endpoint)
				break;
		if (k < peer->n_loads)
			load_take_off(t, &peer->loads[k]);
		else if (k < LOADS_MAX)
			peer->n_loads++;
		else
			continue;
		peer->loads[k] = load_of(l);
		load_add(t, &peer->loads[k]);
		if (!l->requests && !l->tokens)
			peer->loads[k] = peer->loads[--peer->n_loads];
	}
	take_prompts(t, work->prompts, work->n_prompts);
}

/* Takes where prompts were read. */
static void take_prompts(struct peers *t, PeerPrompt **prompts, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		endpoints_record_prompt(t->proxyd->endpoints,
					prompts[i]->session,
					prompts[i]->endpoint);
}

/* Returns a load as another instance tells of it. */
static struct peer_load load_of(const PeerLoad *l)
{
	return (struct peer_load){
		.endpoint = l->endpoint,
		.load = { .tokens = l->tokens,
			  .prefill_tokens = l->prefill,
			  .requests = l->requests,
			  .prefills = l->prefills },
	};
}

/* Adds an instance's loads to those of the endpoints that are known. */
static void add_loads(struct peers *t, struct peer *peer)
{
	size_t i;

	for (i = 0; i < peer->n_loads; i++)
		load_add(t, &peer->loads[i]);
}

/* Adds a load to that of its endpoint, if that is known. */
static void load_add(struct peers *t, struct peer_load *l)
{
	struct endpoint *e =
		endpoint_by_hash(t->proxyd->endpoints, l->endpoint);

	if (!e)
		return;
	l->at = e->self;
	e->others_load.tokens += l->load.tokens;
	e->others_load.prefill_tokens += l->load.prefill_tokens;
	e->others_load.requests += l->load.requests;
	e->others_load.prefills += l->load.prefills;
}

/* Takes an instance's loads off. */
static void remove_loads(struct peers *t, struct peer *peer)
{
	size_t i;

	for (i = 0; i < peer->n_loads; i++)
		load_take_off(t, &peer->loads[i]);
	peer->n_loads = 0;
}

/* Takes a load off where it was added, unless the endpoint was forgotten
 * since. */
static void load_take_off(struct peers *t, const struct peer_load *l)
{
	struct endpoint *e = endpoint_get(t->proxyd->endpoints, l->at);

	if (!e)
		return;
	e->others_load.tokens -= l->load.tokens;
	e->others_load.prefill_tokens -= l->load.prefill_tokens;
	e->others_load.requests -= l->load.requests;
	e->others_load.prefills -= l->load.prefills;
}

/* Forgets an instance. */
static void forget(struct peers *t, struct peer *peer)
{
	remove_loads(t, peer);
	TAILQ_REMOVE(&t->list, peer, link);
	t->n--;
	free(peer->name);
	free(peer->callers);
	free(peer->control);
	free(peer->peers);
	free(peer->zone);
	free(peer);
}

/* Returns what is known of the instances that read the store for others, and of
 * those that would before this one does; behind_ms is left to the caller. */
struct store_poll_others peers_readers(const struct peers *t)
{
	struct store_poll_others o = { .instances = 1 };
	uint64_t now = proxyd_now(t->proxyd);
	const struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		const struct reader *r = &peer->reader;

		if (r->announced_ms > o.announced_ms)
			o.announced_ms = r->announced_ms;
		if (r->answered_ms > o.answered_ms)
			o.answered_ms = r->answered_ms;
		if (!peer->alive)
			continue;
		o.instances++;
		if (store_reader_silent(r, now))
			continue;
		if (r->unable)
			o.unable++;
		else
			o.preceding += comes_before(t, peer);
	}
	return o;
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
	if (peer->capacity != peers_own_capacity(t))
		return peer->capacity > peers_own_capacity(t);
	return strcmp(peer->name, t->proxyd->settings.name) < 0;
}

/* Notes which instances live now; a dead one has no work anywhere. */
static void judge(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		bool alive = heartbeat_alive(&peer->presence, t->n + 1, now);

		if (alive == peer->alive)
			continue;
		peer->alive = alive;
		if (!alive) {
			remove_loads(t, peer);
		}
		event_log(
			EVENT_NOTABLE,
			alive ? "instance-alive" : "instance-silent", NULL,
			"{s:s, s:I}", "peer", peer->name, "heard_ms_ago",
			(json_int_t)(peer->presence.last_seen_ms
					     ? now - peer->presence.last_seen_ms
					     : 0));
	}
}
