/*
 * Table of the other instances.  They are listed in the store and send each
 * other datagrams.  A datagram shows that its sender is alive, and reports the
 * load it has at the endpoints and the endpoints it has just found dead.
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
#include "policy/store_era.h"
#include "proto/peer.pb-c.h"
#include "proxyd/limits.h"
#include "proxyd/origins.h"
#include "proxyd/proxyd.h"
#include "proxyd/watch.h"

/* Pulses that are missing in a row of an instance whose process has ended. */
#define SILENT_PULSES 4

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags);
static bool is_of_earlier_process(const struct peers *t, struct peer *peer,
				  uint64_t born_ms);
static void receive_pulse(struct peers *t, const PeerPulse *pulse);
static void receive_reader(struct peers *t, const PeerReader *msg);
static void receive_work(struct peers *t, const PeerWork *work);
static void record_prompts(struct peers *t, PeerPrompt **prompts, size_t n);
static struct peer_load load_from_message(const PeerLoad *l);
static void receive_packed_rows(struct peers *t, const PeerPacked *packed);
static void receive_rows(struct peers *t, const PeerRows *rows);
static bool reads_before_this(const struct peers *t, const struct peer *peer);
static void replace_loads(struct peers *t, struct peer *peer,
			  const PeerPulse *pulse);
static void add_loads(struct peers *t, struct peer *peer);
static void load_add(struct peers *t, struct peer_load *l);
static void load_subtract(struct peers *t, const struct peer_load *l);
static void remove_loads(struct peers *t, struct peer *peer);
static void peer_missing(struct peers *t, struct peer *peer);
static void remove_missing(struct peers *t);
static void peer_remove(struct peers *t, struct peer *peer);
static void note_parting(struct peers *t, const struct peer *peer);
static void forget_parting(struct peers *t, const struct sockaddr_in *address);
static void update_liveness(struct peers *t);

static char datagram[DATAGRAM_MAX_BYTES];

/* Binds the UDP socket for datagrams.  Returns NULL with a message in err on
 * failure. */
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
		return NULL; /* not freed: the process exits */
	}
	t->sent = counter_labelled("cdm_peer_datagrams_total",
				   "Datagrams between instances", COUNTER_TOTAL,
				   "direction", "sent");
	t->received = counter_labelled("cdm_peer_datagrams_total",
				       "Datagrams between instances",
				       COUNTER_TOTAL, "direction", "heard");
	return t;
}

/* Sends the datagrams that are due and updates which instances are alive. */
void peers_tick(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);

	peers_announce_reader(t);
	peers_send_changed_work(t);
	peers_send_suspects(t);
	peers_send_origins(t);
	peers_send_due_parts(t);
	if ((t->pulse_due_ms && now >= t->pulse_due_ms) ||
	    now - t->last_pulse_ms >= heartbeat_interval_ms(t->n + 1))
		peers_announce_now(t);
	update_liveness(t);
	remove_missing(t);
}

/* Adds, updates or removes an instance by its row in the store. */
void peers_apply_row(struct peers *t, const struct store_row *row)
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
			peer_remove(t, peer);
		return;
	}
	if (!peer) {
		peer = xcalloc(1, sizeof(*peer));
		peer->name = xstrdup(row->key);
		peer->hash = peers_name_hash(row->key);
		TAILQ_INSERT_TAIL(&t->list, peer, link);
		t->n++;
		t->version++;
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
	forget_parting(t, &peer->address);
	peer->heartbeat.leaving = false;
	peer->heartbeat.listed_ms = proxyd_now(t->proxyd);
	peer->missing_ms = 0;
	if (!peer->heartbeat.last_seen_ms)
		event_log(EVENT_NOTABLE, "instance-listed", NULL, "{s:s, s:s}",
			  "peer", peer->name, "address", peer->callers);
}

/* Removes the instances that are not in a full listing of the store.  If the
 * store has returned from a copy, they are kept as long as they may write their
 * entries again. */
void peers_remove_unlisted(struct peers *t, const struct store_row *rows,
			   size_t n, bool from_copy)
{
	struct peer *peer = TAILQ_FIRST(&t->list);
	size_t k;

	while (peer) {
		struct peer *next = TAILQ_NEXT(peer, link);

		for (k = 0; k < n; k++)
			if (!strcmp(rows[k].key, peer->name))
				break;
		if (k == n && from_copy)
			peer_missing(t, peer);
		if (k == n && !peer->missing_ms)
			peer_remove(t, peer);
		peer = next;
	}
}

/* Records that the entry of an instance is missing from the copy that the store
 * returned from. */
static void peer_missing(struct peers *t, struct peer *peer)
{
	peer->missing_ms = proxyd_now(t->proxyd);
	event_log(EVENT_NOTABLE, "instance-kept", NULL, "{s:s, s:b}", "peer",
		  peer->name, "alive", peer->alive);
}

/* Removes the instances that have not written their missing entries again. */
static void remove_missing(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct peer *peer = TAILQ_FIRST(&t->list);

	while (peer) {
		struct peer *next = TAILQ_NEXT(peer, link);

		if (peer->missing_ms &&
		    !store_era_keeps_instance(peer->missing_ms, peer->alive,
					      now)) {
			event_log(EVENT_NOTABLE, "instance-not-kept", NULL,
				  "{s:s, s:I}", "peer", peer->name,
				  "missing_ms",
				  (json_int_t)(now - peer->missing_ms));
			peer_remove(t, peer);
		}
		peer = next;
	}
}

/* Records whether a full listing, made before this process has written its
 * entry, has one of an earlier process of this instance. */
void peers_note_own_row(struct peers *t, const struct store_row *rows, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(rows[i].key, t->proxyd->settings.name))
			t->listed_before = true;
}

/* Returns whether an earlier process of this instance is still listed, so that
 * the others count it already. */
bool peers_listed_before(const struct peers *t)
{
	return t->listed_before;
}

/* Returns the number of other instances that are alive. */
size_t peers_alive(const struct peers *t)
{
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	n += peer->alive;
	return n;
}

/* Returns the number of other instances that are listed, alive or not. */
size_t peers_listed(const struct peers *t)
{
	return t->n;
}

/* Returns whether another live instance has a configuration. */
bool peers_configured(const struct peers *t)
{
	const struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	if (peer->alive && peer->heartbeat.configured)
		return true;
	return false;
}

/* Lists the addresses for callers of the other live instances, or of all others
 * if this instance is isolated from them; returns their number.  Those that have
 * lost a path to endpoints are left out if omit_cut_off is set. */
size_t peers_addresses(const struct peers *t, bool omit_cut_off,
		       const char **addresses, size_t most)
{
	bool all = heartbeat_isolated(peers_alive(t), t->n);
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	if (n < most && !peer->heartbeat.leaving && (all || peer->alive) &&
	    (!omit_cut_off || !peer_path_lost(peer)))
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
	if (n < most && heartbeat_stopping(&peer->heartbeat, t->n + 1, now))
		addresses[n++] = peer->callers;
	return n;
}

/* Provides the receive buffer; libuv callback. */
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	(void)h;
	(void)suggested;
	*buf = uv_buf_init(datagram, sizeof(datagram));
}

/* Decodes a datagram and applies its parts; libuv callback. */
static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct peers *t = udp->data;
	PeerDatagram *d;

	if (n <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	counter_add(t->received, 1);
	d = peer_datagram__unpack(NULL, (size_t)n, (const uint8_t *)buf->base);
	if (!d) {
		event_log(EVENT_NOTABLE, "datagram-unreadable", NULL, "{s:I}",
			  "bytes", (json_int_t)n);
		return;
	}
	if (d->pulse)
		receive_pulse(t, d->pulse);
	if (d->rows)
		receive_packed_rows(t, d->rows);
	if (d->work)
		receive_work(t, d->work);
	if (d->reader)
		receive_reader(t, d->reader);
	if (d->suspects)
		peers_receive_suspects(t, d->suspects);
	if (d->parts)
		peers_receive_parts(t, d->parts);
	if (d->origins)
		peers_receive_origins(t, d->origins);
	if (d->borrow)
		peers_lend(t, d->borrow);
	if (d->loan)
		peers_receive_loan(t, d->loan);
	if (d->limits)
		peers_receive_limits(t, d->limits);
	if (d->permit_request)
		peers_lend_permits(t, d->permit_request);
	if (d->permits)
		peers_receive_permits(t, d->permits);
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

/* Returns whether a datagram, which names the start of its process, is of an
 * earlier process of an instance and late.  If none of a later one has come for
 * SILENT_PULSES, it is of a still later one, whose clock was set back. */
static bool is_of_earlier_process(const struct peers *t, struct peer *peer,
				  uint64_t born_ms)
{
	uint64_t now = proxyd_now(t->proxyd);

	if (born_ms < peer->start_unix_ms &&
	    now - peer->named_ms <
		    SILENT_PULSES * heartbeat_interval_ms(t->n + 1))
		return true;
	peer->named_ms = now;
	return false;
}

/* Applies a pulse.  Those that arrive late are ignored: of an earlier process of
 * the instance, or from before it began to stop, which it does not take back. */
static void receive_pulse(struct peers *t, const PeerPulse *pulse)
{
	struct peer *peer = peers_find(t, pulse->instance);
	size_t i;

	if (!peer || is_of_earlier_process(t, peer, pulse->born) ||
	    (pulse->born == peer->start_unix_ms && peer->heartbeat.leaving &&
	     !pulse->leaving))
		return;
	if (pulse->leaving != peer->heartbeat.leaving)
		event_log(EVENT_NOTABLE,
			  pulse->leaving ? "instance-leaving"
					 : "instance-staying",
			  NULL, "{s:s}", "peer", peer->name);
	if (pulse->born != peer->start_unix_ms) {
		suspects_send_refusals(t->proxyd->suspects, peer);
		limits_tell(t->proxyd->limits, peer);
		origins_tell(t->proxyd->origins, peer);
	}
	peer->start_unix_ms = pulse->born;
	peer->heartbeat.last_seen_ms = proxyd_now(t->proxyd);
	peer->heartbeat.leaving = pulse->leaving;
	peer->capacity = pulse->capacity;
	peer->heartbeat.configured = pulse->version != 0;
	peer->configuration = pulse->version;
	replace_loads(t, peer, pulse);
	peers_receive_paths(t, peer, pulse);
	for (i = 0; i < pulse->n_lost; i++)
		endpoint_reported_lost(t->proxyd->endpoints, pulse->lost[i]);
	for (i = 0; i < pulse->n_leaving_endpoints; i++)
		endpoint_reported_leaving(t->proxyd->endpoints,
					  pulse->leaving_endpoints[i]->id,
					  pulse->leaving_endpoints[i]->born);
	for (i = 0; i < pulse->n_found; i++) {
		const struct endpoint_entry found = {
			.service = pulse->found[i]->service,
			.address = pulse->found[i]->address,
			.zone = pulse->found[i]->zone,
		};

		endpoints_adopt(t->proxyd->endpoints, pulse->found[i]->id,
				&found, true);
	}
	record_prompts(t, pulse->prompts, pulse->n_prompts);
	if (pulse->reading)
		store_reader_announced(&peer->reader, true,
				       peer->heartbeat.last_seen_ms);
	else
		store_reader_seen(&peer->reader, peer->heartbeat.last_seen_ms);
	if (watches_era_seen(t->proxyd->watches, pulse->store_era,
			     peer->name)) {
		for (i = 0; i < pulse->n_newest_rows && i < STORE_TABLES; i++)
			watches_row_seen(t->proxyd->watches,
					 (enum store_table)i,
					 pulse->newest_rows[i], peer->name);
		for (i = 0; i < pulse->n_writes; i++)
			watches_change_known(t->proxyd->watches,
					     pulse->writes[i]);
		if (pulse->reading)
			watches_version_seen(t->proxyd->watches,
					     STORE_ENDPOINTS,
					     pulse->endpoints_version);
		watches_view_told(t->proxyd->watches, pulse->store_read_ms_ago,
				  pulse->version);
	}
	watches_configuration_seen(t->proxyd->watches, pulse->version,
				   peer->control);
}

/* Applies whether an instance reads the store for others. */
static void receive_reader(struct peers *t, const PeerReader *msg)
{
	struct peer *peer = peers_find(t, msg->instance);
	uint64_t now = proxyd_now(t->proxyd);
	bool was_able;

	if (!peer || is_of_earlier_process(t, peer, msg->born))
		return;
	was_able = peer->reader.announced_ms && !peer->reader.unable;
	peer->heartbeat.last_seen_ms = now;
	if (msg->ends)
		store_reader_stopped(&peer->reader);
	else
		store_reader_announced(&peer->reader, msg->answers, now);
	if (was_able != (peer->reader.announced_ms && !peer->reader.unable))
		event_log(EVENT_NOTABLE, "reader", NULL, "{s:s, s:b, s:b}",
			  "peer", peer->name, "answers", msg->answers, "ends",
			  msg->ends);
	if (msg->answers && !msg->ends &&
	    watches_era_seen(t->proxyd->watches, msg->store_era, peer->name)) {
		watches_version_seen(t->proxyd->watches, STORE_ENDPOINTS,
				     msg->endpoints_version);
		watches_view_told(t->proxyd->watches, msg->store_read_ms_ago,
				  msg->version);
	}
	watches_configuration_seen(t->proxyd->watches, msg->version,
				   peer->control);
}

/* Decompresses changes of a table and applies them. */
static void receive_packed_rows(struct peers *t, const PeerPacked *packed)
{
	char *plain = inflate_bytes(packed->message.data, packed->message.len,
				    packed->len);
	PeerRows *rows =
		plain ? peer_rows__unpack(NULL, packed->len, (uint8_t *)plain)
		      : NULL;

	if (rows)
		receive_rows(t, rows);
	else
		event_log(EVENT_NOTABLE, "datagram-unreadable", NULL, "{s:I}",
			  "bytes", (json_int_t)packed->message.len);
	if (rows)
		peer_rows__free_unpacked(rows, NULL);
	free(plain);
}

/* Applies changes of a table that another instance has read from the store. */
static void receive_rows(struct peers *t, const PeerRows *rows)
{
	struct store_change change = {
		.after = rows->after,
		.version = rows->version,
		.since_recovery_ms = rows->back_ms,
		.n = rows->n_rows,
	};
	size_t i;

	if (!peers_find(t, rows->instance) || rows->table >= STORE_TABLES ||
	    !watches_era_seen(t->proxyd->watches, rows->store_era,
			      rows->instance))
		return;
	change.rows = xcalloc(rows->n_rows, sizeof(*change.rows));
	for (i = 0; i < rows->n_rows; i++) {
		change.rows[i].key = rows->rows[i]->key;
		change.rows[i].removed = rows->rows[i]->removed;
		change.rows[i].version = rows->rows[i]->version;
		change.rows[i].raw = (const char *)rows->rows[i]->value.data;
		change.rows[i].raw_len = rows->rows[i]->value.len;
	}
	watches_apply_change(t->proxyd->watches, (enum store_table)rows->table,
			     &change);
	free(change.rows);
}

/* Replaces the loads of an instance at the endpoints. */
static void replace_loads(struct peers *t, struct peer *peer,
			  const PeerPulse *pulse)
{
	size_t i;

	remove_loads(t, peer);
	peer->n_loads = pulse->n_loads < LOADS_MAX ? pulse->n_loads : LOADS_MAX;
	for (i = 0; i < peer->n_loads; i++) {
		const PeerLoad *l = pulse->loads[i];

		peer->loads[i] = load_from_message(l);
	}
	add_loads(t, peer);
}

/* Applies changes of an instance's work: the load at an endpoint replaces the
 * one received before. */
static void receive_work(struct peers *t, const PeerWork *work)
{
	struct peer *peer;
	size_t i;
	size_t k;

	peer = peers_find_hash(t, work->instance);
	if (!peer)
		return;
	peer->heartbeat.last_seen_ms = proxyd_now(t->proxyd);
	for (i = 0; i < work->n_loads; i++) {
		const PeerLoad *l = work->loads[i];

		for (k = 0; k < peer->n_loads; k++)
			if (peer->loads[k].endpoint == l->endpoint)
				break;
		if (k < peer->n_loads)
			load_subtract(t, &peer->loads[k]);
		else if (k < LOADS_MAX)
			peer->n_loads++;
		else
			continue;
		peer->loads[k] = load_from_message(l);
		load_add(t, &peer->loads[k]);
		if (!l->requests && !l->tokens)
			peer->loads[k] = peer->loads[--peer->n_loads];
	}
	record_prompts(t, work->prompts, work->n_prompts);
}

/* Records which endpoints have prefilled prompts. */
static void record_prompts(struct peers *t, PeerPrompt **prompts, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		endpoints_record_prompt(t->proxyd->endpoints,
					prompts[i]->session,
					prompts[i]->endpoint);
}

/* Converts a load from its message. */
static struct peer_load load_from_message(const PeerLoad *l)
{
	return (struct peer_load){
		.endpoint = l->endpoint,
		.load = { .tokens = l->tokens,
			  .prefill_tokens = l->prefill,
			  .requests = l->requests,
			  .prefills = l->prefills },
	};
}

/* Adds an instance's loads to those of the known endpoints. */
static void add_loads(struct peers *t, struct peer *peer)
{
	size_t i;

	for (i = 0; i < peer->n_loads; i++)
		load_add(t, &peer->loads[i]);
}

/* Adds a load to its endpoint's, if the endpoint is known. */
static void load_add(struct peers *t, struct peer_load *l)
{
	struct endpoint *e =
		endpoint_by_hash(t->proxyd->endpoints, l->endpoint);

	if (!e)
		return;
	l->added_to = e->self;
	e->others_load.tokens += l->load.tokens;
	e->others_load.prefill_tokens += l->load.prefill_tokens;
	e->others_load.requests += l->load.requests;
	e->others_load.prefills += l->load.prefills;
}

/* Subtracts and removes all loads of an instance. */
static void remove_loads(struct peers *t, struct peer *peer)
{
	size_t i;

	for (i = 0; i < peer->n_loads; i++)
		load_subtract(t, &peer->loads[i]);
	peer->n_loads = 0;
}

/* Subtracts a load from the endpoint that it was added to, unless the endpoint
 * was removed since. */
static void load_subtract(struct peers *t, const struct peer_load *l)
{
	struct endpoint *e = endpoint_get(t->proxyd->endpoints, l->added_to);

	if (!e)
		return;
	e->others_load.tokens -= l->load.tokens;
	e->others_load.prefill_tokens -= l->load.prefill_tokens;
	e->others_load.requests -= l->load.requests;
	e->others_load.prefills -= l->load.prefills;
}

/* Removes an instance with its loads and frees it. */
static void peer_remove(struct peers *t, struct peer *peer)
{
	peers_send_origins(t); /* none in the queue names it any more */
	note_parting(t, peer);
	remove_loads(t, peer);
	TAILQ_REMOVE(&t->list, peer, link);
	t->n--;
	t->version++;
	free(peer->name);
	free(peer->callers);
	free(peer->control);
	free(peer->peers);
	free(peer->zone);
	free(peer);
}

/* Notes that an instance which is heard of is not listed any more: it may be
 * stopping, and is told for its grace time which others live. */
static void note_parting(struct peers *t, const struct peer *peer)
{
	uint64_t now = proxyd_now(t->proxyd);

	if (!peer->alive &&
	    !heartbeat_stopping(&peer->heartbeat, t->n + 1, now))
		return;
	t->parting[t->parting_next] = (struct parting_peer){
		.address = peer->address,
		.until_ms = now + t->proxyd->planned_stop.grace_ms,
	};
	t->parting_next = (t->parting_next + 1) % PARTING_MAX;
}

/* Forgets that an instance was stopping, as it is listed again. */
static void forget_parting(struct peers *t, const struct sockaddr_in *address)
{
	size_t i;

	for (i = 0; i < PARTING_MAX; i++)
		if (t->parting[i].address.sin_port == address->sin_port &&
		    t->parting[i].address.sin_addr.s_addr ==
			    address->sin_addr.s_addr)
			t->parting[i].until_ms = 0;
}

/* Summarizes the instances that read the store for others, and those that take
 * precedence over this one as readers.  The caller sets behind_ms. */
struct store_poll_others peers_store_readers(const struct peers *t)
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
			o.preceding += reads_before_this(t, peer);
	}
	return o;
}

/* Lists this instance and the other live ones, for an instance that starts.
 * The strings stay owned by the table.  Returns the number. */
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

/* Returns whether another instance precedes this one as reader of the store:
 * larger shares of a core come first, then names in order. */
static bool reads_before_this(const struct peers *t, const struct peer *peer)
{
	if (peer->capacity != peers_own_capacity(t))
		return peer->capacity > peers_own_capacity(t);
	return strcmp(peer->name, t->proxyd->settings.name) < 0;
}

/* Updates and logs which instances are alive; drops the loads of dead ones. */
static void update_liveness(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		bool alive = heartbeat_alive(&peer->heartbeat, t->n + 1, now);

		if (alive)
			t->accompanied_ms = now;
		if (alive == peer->alive)
			continue;
		peer->alive = alive;
		t->version++;
		if (alive)
			origins_tell(t->proxyd->origins, peer);
		else
			remove_loads(t, peer);
		event_log(EVENT_NOTABLE,
			  alive ? "instance-alive" : "instance-silent", NULL,
			  "{s:s, s:I}", "peer", peer->name, "heard_ms_ago",
			  (json_int_t)(peer->heartbeat.last_seen_ms
					       ? now - peer->heartbeat
								 .last_seen_ms
					       : 0));
	}
}
