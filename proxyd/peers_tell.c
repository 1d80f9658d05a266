/*
 * What this instance tells the others, in datagrams.
 */
#include "proxyd/peers_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/deflate.h"
#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/gossip_select.h"
#include "proto/peer.pb-c.h"
#include "proxyd/proxyd.h"
#include "proxyd/watch.h"

#define ROWS_MAX 48 /* rows of one datagram */
#define ROWS_BYTES 4000 /* of these; compressed they fit one packet */
#define ROW_BYTES 24 /* of a row beside its key and value, at most */
#define TELL_MS 2000 /* what is told is repeated in datagrams for so long */
#define PROMPT_SENDS 2 /* a datagram is lost now and then */

/* Losses and new runs are told at once, gathered over this time.  Among more
 * instances than this only what has changed is told of the work, and that runs
 * have ended or read their prompts a little later. */
#define URGENT_MS 20
#define URGENT_PEERS_MAX 128
#define ENDED_MS 200

static void tell_work_by(struct peers *t, uint64_t by_ms);
static void tell_of(struct peers *t, struct told *told, const char *endpoint,
		    uint64_t born_ms);
static void told_expire(struct told *told, uint64_t now);
static size_t gather_loads(struct peers *t, PeerLoad *loads);
static size_t gather_changed(struct peers *t, PeerLoad *loads);
static void fill_load(PeerLoad *load, struct endpoint *e);
static size_t gather_found(struct peers *t, PeerFound *found);
static size_t gather_prompts(struct peers *t, PeerPrompt *prompts);
static void send_rows(struct peers *t, const PeerRows *rows);
static void send_all(struct peers *t, const PeerDatagram *d);
static size_t pack(const PeerDatagram *d, uint8_t *out);
static void send_packed(struct peers *t, const struct peer *to, uint8_t *out,
			size_t len);

/* Passes on that an endpoint was found dead. */
void peers_tell_lost(struct peers *t, const char *endpoint)
{
	tell_of(t, &t->lost, endpoint, 0);
}

/* Passes on that an endpoint was found without the store's word. */
void peers_tell_found(struct peers *t, const char *endpoint)
{
	tell_of(t, &t->found, endpoint, 0);
}

/* Passes on that an endpoint, in a certain start, said that it leaves. */
void peers_tell_leaving(struct peers *t, const char *endpoint, uint64_t born_ms)
{
	tell_of(t, &t->leaving, endpoint, born_ms);
}

/* Passes on which endpoint has read a prompt. */
void peers_tell_prompt(struct peers *t, uint64_t session, uint64_t endpoint)
{
	t->prompts[t->prompt_next] = (struct told_prompt){
		.session = session,
		.endpoint = endpoint,
		.sends_left = PROMPT_SENDS,
	};
	t->prompt_next = (t->prompt_next + 1) % PROMPTS_KEPT;
	if (t->n <= URGENT_PEERS_MAX)
		peers_tell_urgent(t);
	else
		tell_work_by(t, proxyd_now(t->proxyd) + ENDED_MS);
}

/* Tells the others soon that the work at an endpoint has changed: that some begins
 * there, or that some is done. */
void peers_tell_work(struct peers *t, struct endpoint *e, bool begins)
{
	uint64_t now = proxyd_now(t->proxyd);

	if (t->n <= URGENT_PEERS_MAX) {
		if (begins)
			peers_tell_urgent(t);
		return;
	}
	e->load_changed = true;
	tell_work_by(t, now + (begins ? URGENT_MS : ENDED_MS));
}

/* Sets the time by which changed work is told. */
static void tell_work_by(struct peers *t, uint64_t by_ms)
{
	if (!t->work_ms || by_ms < t->work_ms)
		t->work_ms = by_ms;
}

/* Tells the others within a moment: a configuration came into force. */
void peers_tell_urgent(struct peers *t)
{
	if (!t->urgent_ms)
		t->urgent_ms = proxyd_now(t->proxyd) + URGENT_MS;
}

/* Passes changes of a table on, in as many datagrams as they need. */
void peers_tell_rows(struct peers *t, enum store_table table, uint64_t after,
		     uint64_t version, const struct store_row *rows, size_t n)
{
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
		send_rows(t, &change);
		change.after = change.version;
		change.n_rows = 0;
		bytes = 0;
	}
}

/* Sends changes to every other instance, compressed: whole zones of endpoints
 * change at once, and what is sent to hundreds in one moment fills the link. */
static void send_rows(struct peers *t, const PeerRows *rows)
{
	PeerPacked packed = PEER_PACKED__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;
	size_t len = peer_rows__get_packed_size(rows);
	uint8_t *plain = xcalloc(len, 1);

	peer_rows__pack(rows, plain);
	packed.len = (uint32_t)len;
	packed.message.data = deflate_bytes(plain, len, &packed.message.len);
	d.rows = &packed;
	send_all(t, &d);
	free(packed.message.data);
	free(plain);
}

/* Adds an endpoint to what the next datagrams say. */
static void tell_of(struct peers *t, struct told *told, const char *endpoint,
		    uint64_t born_ms)
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
	e->born_ms = born_ms;
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

/* Sends a datagram to every other instance now. */
void peers_tell_now(struct peers *t)
{
	struct proxyd *p = t->proxyd;
	PeerPulse pulse = PEER_PULSE__INIT;
	PeerLoad loads[LOADS_MAX];
	PeerLoad *load_list[LOADS_MAX];
	PeerPrompt prompts[PROMPTS_MAX];
	PeerPrompt *prompt_list[PROMPTS_MAX];
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerFound found[TOLD_MAX];
	PeerFound *found_list[TOLD_MAX];
	PeerLeaving leaving[TOLD_MAX];
	PeerLeaving *leaving_list[TOLD_MAX];
	char *lost[TOLD_MAX];
	size_t i;

	t->told_ms = proxyd_now(p);
	t->urgent_ms = 0;
	told_expire(&t->lost, t->told_ms);
	told_expire(&t->found, t->told_ms);
	told_expire(&t->leaving, t->told_ms);
	for (i = 0; i < t->lost.n; i++)
		lost[i] = t->lost.list[i].id;
	pulse.n_found = gather_found(t, found);
	for (i = 0; i < pulse.n_found; i++)
		found_list[i] = &found[i];
	pulse.found = found_list;
	for (i = 0; i < t->leaving.n; i++) {
		peer_leaving__init(&leaving[i]);
		leaving[i].id = t->leaving.list[i].id;
		leaving[i].born = t->leaving.list[i].born_ms;
		leaving_list[i] = &leaving[i];
	}
	pulse.n_leaving_endpoints = t->leaving.n;
	pulse.leaving_endpoints = leaving_list;
	pulse.instance = p->settings.name;
	pulse.born = p->start_unix_ms;
	pulse.leaving = !planned_stop_ready(&p->planned_stop);
	pulse.version = p->routes ? p->routes->version : 0;
	pulse.n_loads = gather_loads(t, loads);
	for (i = 0; i < pulse.n_loads; i++)
		load_list[i] = &loads[i];
	pulse.loads = load_list;
	pulse.n_lost = t->lost.n;
	pulse.lost = lost;
	pulse.n_prompts = gather_prompts(t, prompts);
	for (i = 0; i < pulse.n_prompts; i++)
		prompt_list[i] = &prompts[i];
	pulse.prompts = prompt_list;
	pulse.capacity = peers_own_capacity(t);
	pulse.reading = watches_reading(p->watches);
	pulse.endpoints_version = watches_changed(p->watches, STORE_ENDPOINTS);
	d.pulse = &pulse;
	if (peer_datagram__get_packed_size(&d) > DATAGRAM_MAX)
		pulse.n_loads /= 4;
	send_all(t, &d);
}

/* Tells the others, often, that this instance is to read the store for them; and
 * once that it does so no more. */
void peers_tell_reader(struct peers *t)
{
	struct proxyd *p = t->proxyd;
	uint64_t now = proxyd_now(p);
	bool reads = watches_designated(p->watches) &&
		     planned_stop_ready(&p->planned_stop);
	PeerReader said = PEER_READER__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;

	if (!reads && !t->reader_told_ms)
		return;
	if (reads && now - t->reader_told_ms < store_reader_interval_ms())
		return;
	if (!reads || !t->reader_told_ms)
		event_log(EVENT_NOTABLE, "reads-for-others", NULL, "{s:b}",
			  "reads", reads);
	t->reader_told_ms = reads ? now : 0;
	said.instance = p->settings.name;
	said.born = p->start_unix_ms;
	said.ends = !reads;
	said.answers = watches_reading(p->watches);
	said.endpoints_version = watches_changed(p->watches, STORE_ENDPOINTS);
	said.version = p->routes ? p->routes->version : 0;
	d.reader = &said;
	send_all(t, &d);
}

/* Fills in where this instance has work; returns the number. */
static size_t gather_loads(struct peers *t, PeerLoad *loads)
{
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	while (n < LOADS_MAX && (e = endpoint_next(t->proxyd->endpoints, &i))) {
		if (!e->own_load.tokens && !e->own_load.requests)
			continue;
		fill_load(&loads[n++], e);
	}
	return n;
}

/* Fills in the loads that have changed since they were told; returns the
 * number. */
static size_t gather_changed(struct peers *t, PeerLoad *loads)
{
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	while (n < LOADS_MAX && (e = endpoint_next(t->proxyd->endpoints, &i)))
		if (e->load_changed)
			fill_load(&loads[n++], e);
	return n;
}

/* Fills in this instance's load of an endpoint, which is told with it. */
static void fill_load(PeerLoad *load, struct endpoint *e)
{
	peer_load__init(load);
	load->endpoint = e->hash;
	load->tokens = e->own_load.tokens;
	load->prefill = e->own_load.prefill_tokens;
	load->prefills = e->own_load.prefills;
	load->requests = e->own_load.requests;
	e->load_changed = false;
}

/* Tells the others of work that has changed, if that is due. */
void peers_tell_changed_work(struct peers *t)
{
	PeerWork work = PEER_WORK__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerLoad loads[LOADS_MAX];
	PeerLoad *load_list[LOADS_MAX];
	PeerPrompt prompts[PROMPTS_MAX];
	PeerPrompt *prompt_list[PROMPTS_MAX];
	size_t i;

	if (!t->work_ms || proxyd_now(t->proxyd) < t->work_ms)
		return;
	t->work_ms = 0;
	work.instance = peers_name_hash(t->proxyd->settings.name);
	work.n_loads = gather_changed(t, loads);
	for (i = 0; i < work.n_loads; i++)
		load_list[i] = &loads[i];
	work.loads = load_list;
	work.n_prompts = gather_prompts(t, prompts);
	for (i = 0; i < work.n_prompts; i++)
		prompt_list[i] = &prompts[i];
	work.prompts = prompt_list;
	if (!work.n_loads && !work.n_prompts)
		return;
	d.work = &work;
	send_all(t, &d);
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

/* Fills in prompts that were read, those told least often first; returns the
 * number. */
static size_t gather_prompts(struct peers *t, PeerPrompt *prompts)
{
	struct gossip_item list[PROMPTS_MAX];
	struct gossip_selection choice = { .list = list, .max = PROMPTS_MAX };
	size_t i;

	for (i = 0; i < PROMPTS_KEPT; i++)
		gossip_offer(&choice, i, t->prompts[i].sends_left);
	for (i = 0; i < choice.n; i++) {
		struct told_prompt *p = &t->prompts[list[i].index];

		p->sends_left--;
		peer_prompt__init(&prompts[i]);
		prompts[i].session = p->session;
		prompts[i].endpoint = p->endpoint;
	}
	return choice.n;
}

/* Sends a datagram to every other instance.  One may be lost: what it says
 * comes again, or is missed by its version. */
static void send_all(struct peers *t, const PeerDatagram *d)
{
	uint8_t out[DATAGRAM_MAX];
	size_t len = pack(d, out);
	const struct peer *peer;

	if (!len)
		return;
	TAILQ_FOREACH(peer, &t->list, link)
	send_packed(t, peer, out, len);
}

/* Sends a datagram to one instance. */
void peers_send(struct peers *t, const struct peer *to, const PeerDatagram *d)
{
	uint8_t out[DATAGRAM_MAX];
	size_t len = pack(d, out);

	if (len)
		send_packed(t, to, out, len);
}

/* Packs a datagram into DATAGRAM_MAX bytes; returns its length, 0 if it is too
 * large. */
static size_t pack(const PeerDatagram *d, uint8_t *out)
{
	if (peer_datagram__get_packed_size(d) <= DATAGRAM_MAX)
		return peer_datagram__pack(d, out);
	event_log(EVENT_NOTABLE, "datagram-too-large", NULL, "{}");
	return 0;
}

/* Sends what was packed to an instance. */
static void send_packed(struct peers *t, const struct peer *to, uint8_t *out,
			size_t len)
{
	const uv_buf_t buf = uv_buf_init((char *)out, (unsigned int)len);

	if (uv_udp_try_send(&t->udp, &buf, 1,
			    (const struct sockaddr *)&to->address) > 0)
		counter_add(t->sent, 1);
}

/* Returns this instance's share of a core, in thousandths. */
uint32_t peers_own_capacity(const struct peers *t)
{
	return (uint32_t)(t->proxyd->settings.capacity * 1000);
}
