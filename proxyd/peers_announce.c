/*
 * Datagrams that this instance sends to the others.
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

#define ROWS_MAX 48 /* rows per datagram */
#define ROWS_MAX_BYTES 4000 /* of these; compressed, they fit into one packet */
#define ROW_OVERHEAD_BYTES 24 /* at most, per row besides key and value */
#define ANNOUNCE_MS 2000 /* time that pulses repeat an announcement */
#define PROMPT_SENDS 2 /* datagrams may be lost */
#define WRITE_SENDS 2

/* Losses and new runs are announced after PULSE_DELAY_MS, together.  With more
 * than PULSE_PEERS_MAX other instances, only changes of the work are announced,
 * and the ends and prefills of runs after WORK_DELAY_MS. */
#define PULSE_DELAY_MS 20
#define PULSE_PEERS_MAX 128
#define WORK_DELAY_MS 200

static void schedule_work(struct peers *t, uint64_t by_ms);
static void announce_endpoint(struct peers *t, struct announced_endpoints *set,
			      const char *endpoint, uint64_t born_ms);
static void announced_expire(struct announced_endpoints *set, uint64_t now);
static size_t gather_loads(struct peers *t, PeerLoad *loads);
static size_t gather_changed(struct peers *t, PeerLoad *loads);
static void fill_load(PeerLoad *load, struct endpoint *e);
static size_t gather_found(struct peers *t, PeerFound *found);
static size_t gather_prompts(struct peers *t, PeerPrompt *prompts);
static size_t gather_writes(struct peers *t, uint64_t *versions);
static void send_rows(struct peers *t, const PeerRows *rows);
static void send_pulse(struct peers *t, const PeerDatagram *d);
static void send_to_listed(struct peers *t, uint8_t *out, size_t len);
static size_t pack(const PeerDatagram *d, uint8_t *out);
static void send_packed(struct peers *t, const struct sockaddr_in *to,
			uint8_t *out, size_t len);

/* Announces that an endpoint was found dead. */
void peers_announce_lost(struct peers *t, const char *endpoint)
{
	announce_endpoint(t, &t->lost, endpoint, 0);
}

/* Announces an endpoint that was found without an entry in the store. */
void peers_announce_found(struct peers *t, const char *endpoint)
{
	announce_endpoint(t, &t->found, endpoint, 0);
}

/* Announces that an endpoint reported that it is leaving; born_ms is the start
 * time of its process. */
void peers_announce_leaving(struct peers *t, const char *endpoint,
			    uint64_t born_ms)
{
	announce_endpoint(t, &t->leaving, endpoint, born_ms);
}

/* Announces which endpoint has prefilled a prompt. */
void peers_announce_prompt(struct peers *t, uint64_t session, uint64_t endpoint)
{
	t->prompts[t->prompt_next] = (struct announced_prompt){
		.session = session,
		.endpoint = endpoint,
		.sends_left = PROMPT_SENDS,
	};
	t->prompt_next = (t->prompt_next + 1) % PROMPTS_QUEUED;
	if (t->n <= PULSE_PEERS_MAX)
		peers_announce_soon(t);
	else
		schedule_work(t, proxyd_now(t->proxyd) + WORK_DELAY_MS);
}

/* Schedules an announcement that work at an endpoint begins or is done.  With
 * up to PULSE_PEERS_MAX other instances, only its begin is announced early;
 * its end is reported by the next regular pulse. */
void peers_announce_work(struct peers *t, struct endpoint *e, bool begins)
{
	uint64_t now = proxyd_now(t->proxyd);

	if (t->n <= PULSE_PEERS_MAX) {
		if (begins)
			peers_announce_soon(t);
		return;
	}
	e->load_changed = true;
	schedule_work(t, now + (begins ? PULSE_DELAY_MS : WORK_DELAY_MS));
}

/* Schedules the next datagram on changed work for by_ms at the latest. */
static void schedule_work(struct peers *t, uint64_t by_ms)
{
	if (!t->work_due_ms || by_ms < t->work_due_ms)
		t->work_due_ms = by_ms;
}

/* Announces a change of the store that this instance made in a table that is not
 * followed, 0 if its version is unknown, so that the others don't search for its
 * rows.  Only instances that poll each for itself do that. */
void peers_announce_write(struct peers *t, uint64_t version)
{
	if (!version || !store_poll_all_read(t->n + 1))
		return;
	t->writes[t->write_next] = (struct announced_write){
		.version = version,
		.era = watches_era(t->proxyd->watches),
		.sends_left = WRITE_SENDS,
	};
	t->write_next = (t->write_next + 1) % WRITES_QUEUED;
	peers_announce_soon(t);
}

/* Schedules a pulse within PULSE_DELAY_MS, e.g. for a new configuration. */
void peers_announce_soon(struct peers *t)
{
	if (!t->pulse_due_ms)
		t->pulse_due_ms = proxyd_now(t->proxyd) + PULSE_DELAY_MS;
}

/* Sends changes of a table to all others, in as many datagrams as needed. */
void peers_announce_rows(struct peers *t, enum store_table table,
			 uint64_t after, uint64_t version,
			 const struct store_row *rows, size_t n)
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
	change.store_era = watches_era(t->proxyd->watches);
	change.back_ms = watches_since_recovery_ms(t->proxyd->watches, table);
	for (i = 0; i < n; i++) {
		PeerRow *r = &row[change.n_rows];

		peer_row__init(r);
		r->key = (char *)rows[i].key;
		r->removed = rows[i].removed;
		r->version = rows[i].version;
		r->value.data = (uint8_t *)rows[i].raw;
		r->value.len = rows[i].raw_len;
		list[change.n_rows++] = r;
		bytes += rows[i].raw_len + strlen(rows[i].key) +
			 ROW_OVERHEAD_BYTES;
		if (i + 1 < n && change.n_rows < ROWS_MAX &&
		    bytes + rows[i + 1].raw_len + ROW_OVERHEAD_BYTES <
			    ROWS_MAX_BYTES)
			continue;
		change.version = i + 1 < n ? rows[i].version : version;
		send_rows(t, &change);
		change.after = change.version;
		change.n_rows = 0;
		bytes = 0;
	}
}

/* Sends changes to every other instance, compressed: whole zones of endpoints
 * may change at once, and sending that to hundreds of instances uncompressed
 * would saturate the link. */
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
	peers_send_all(t, &d);
	free(packed.message.data);
	free(plain);
}

/* Adds an endpoint to a set, dropping the oldest if it is full, and schedules a
 * pulse. */
static void announce_endpoint(struct peers *t, struct announced_endpoints *set,
			      const char *endpoint, uint64_t born_ms)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct announced_endpoint *e;

	if (set->n == ANNOUNCED_MAX) {
		memmove(set->list, set->list + 1,
			sizeof(*e) * (ANNOUNCED_MAX - 1));
		set->n--;
	}
	e = &set->list[set->n++];
	snprintf(e->id, sizeof(e->id), "%s", endpoint);
	e->born_ms = born_ms;
	e->added_ms = now;
	if (!t->pulse_due_ms)
		t->pulse_due_ms = now + PULSE_DELAY_MS;
}

/* Removes the endpoints that were announced for ANNOUNCE_MS. */
static void announced_expire(struct announced_endpoints *set, uint64_t now)
{
	while (set->n && now - set->list[0].added_ms > ANNOUNCE_MS)
		memmove(set->list, set->list + 1,
			sizeof(set->list[0]) * --set->n);
}

/* Sends a pulse to every other instance now. */
void peers_announce_now(struct peers *t)
{
	struct proxyd *p = t->proxyd;
	PeerPulse pulse = PEER_PULSE__INIT;
	PeerLoad loads[LOADS_MAX];
	PeerLoad *load_list[LOADS_MAX];
	PeerPrompt prompts[PROMPTS_MAX];
	PeerPrompt *prompt_list[PROMPTS_MAX];
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerFound found[ANNOUNCED_MAX];
	PeerFound *found_list[ANNOUNCED_MAX];
	PeerLeaving leaving[ANNOUNCED_MAX];
	PeerLeaving *leaving_list[ANNOUNCED_MAX];
	char *lost[ANNOUNCED_MAX];
	uint64_t newest[STORE_TABLES];
	uint64_t writes[WRITES_MAX];
	PeerPath paths[PATHS_MAX];
	PeerPath *path_list[PATHS_MAX];
	size_t i;

	t->last_pulse_ms = proxyd_now(p);
	t->pulse_due_ms = 0;
	announced_expire(&t->lost, t->last_pulse_ms);
	announced_expire(&t->found, t->last_pulse_ms);
	announced_expire(&t->leaving, t->last_pulse_ms);
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
	pulse.store_era = watches_era(p->watches);
	pulse.endpoints_version =
		watches_row_version(p->watches, STORE_ENDPOINTS);
	for (i = 0; i < STORE_TABLES; i++)
		newest[i] = watches_newest_row(p->watches, (enum store_table)i);
	pulse.n_newest_rows = STORE_TABLES;
	pulse.newest_rows = newest;
	pulse.store_read_ms_ago = watches_read_ms_ago(p->watches);
	pulse.n_writes = gather_writes(t, writes);
	pulse.writes = writes;
	pulse.n_paths = peers_gather_paths(t, paths);
	for (i = 0; i < pulse.n_paths; i++)
		path_list[i] = &paths[i];
	pulse.paths = path_list;
	d.pulse = &pulse;
	if (peer_datagram__get_packed_size(&d) > DATAGRAM_MAX_BYTES)
		pulse.n_loads /= 4;
	if (peer_datagram__get_packed_size(&d) > DATAGRAM_MAX_BYTES)
		pulse.n_prompts = 0;
	send_pulse(t, &d);
}

/* Announces, at short intervals, that this instance is designated to read the
 * store for the others; and once, when it no longer is. */
void peers_announce_reader(struct peers *t)
{
	struct proxyd *p = t->proxyd;
	uint64_t now = proxyd_now(p);
	bool designated = watches_designated(p->watches) &&
			  planned_stop_ready(&p->planned_stop);
	PeerReader msg = PEER_READER__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;

	if (!designated && !t->reader_sent_ms)
		return;
	if (designated && now - t->reader_sent_ms < store_reader_interval_ms())
		return;
	if (!designated || !t->reader_sent_ms)
		event_log(EVENT_NOTABLE, "reads-for-others", NULL, "{s:b}",
			  "reads", designated);
	t->reader_sent_ms = designated ? now : 0;
	msg.instance = p->settings.name;
	msg.born = p->start_unix_ms;
	msg.ends = !designated;
	msg.answers = watches_reading(p->watches);
	msg.store_era = watches_era(p->watches);
	msg.endpoints_version =
		watches_row_version(p->watches, STORE_ENDPOINTS);
	msg.version = p->routes ? p->routes->version : 0;
	msg.store_read_ms_ago = watches_read_ms_ago(p->watches);
	d.reader = &msg;
	peers_send_all(t, &d);
}

/* Fills in this instance's loads at the endpoints; returns the number. */
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

/* Fills in the loads that have changed since they were last sent; returns the
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

/* Fills in this instance's load at an endpoint and marks it as sent. */
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

/* Sends the changes of this instance's work, if they are due. */
void peers_send_changed_work(struct peers *t)
{
	PeerWork work = PEER_WORK__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerLoad loads[LOADS_MAX];
	PeerLoad *load_list[LOADS_MAX];
	PeerPrompt prompts[PROMPTS_MAX];
	PeerPrompt *prompt_list[PROMPTS_MAX];
	size_t i;

	if (!t->work_due_ms || proxyd_now(t->proxyd) < t->work_due_ms)
		return;
	t->work_due_ms = 0;
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
	peers_send_all(t, &d);
}

/* Fills in the found endpoints that are still known and that no other one has
 * replaced since; returns the number. */
static size_t gather_found(struct peers *t, PeerFound *found)
{
	struct endpoints *endpoints = t->proxyd->endpoints;
	size_t n = 0;
	size_t i;

	for (i = 0; i < t->found.n; i++) {
		struct endpoint *e =
			endpoint_by_id(endpoints, t->found.list[i].id);

		if (!e || e->state == ENDPOINT_REPLACED)
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

/* Fills in prompt locations, those sent least often first; returns the
 * number. */
static size_t gather_prompts(struct peers *t, PeerPrompt *prompts)
{
	struct gossip_item list[PROMPTS_MAX];
	struct gossip_selection choice = { .list = list, .max = PROMPTS_MAX };
	size_t i;

	for (i = 0; i < PROMPTS_QUEUED; i++)
		gossip_offer(&choice, i, t->prompts[i].sends_left);
	for (i = 0; i < choice.n; i++) {
		struct announced_prompt *p = &t->prompts[list[i].index];

		p->sends_left--;
		peer_prompt__init(&prompts[i]);
		prompts[i].session = p->session;
		prompts[i].endpoint = p->endpoint;
	}
	return choice.n;
}

/* Fills in the versions of own writes that are still to be sent, of this era of
 * the store; returns the number. */
static size_t gather_writes(struct peers *t, uint64_t *versions)
{
	uint64_t era = watches_era(t->proxyd->watches);
	size_t n = 0;
	size_t i;

	for (i = 0; i < WRITES_QUEUED && n < WRITES_MAX; i++) {
		struct announced_write *w = &t->writes[i];

		if (!w->sends_left || w->era != era)
			continue;
		w->sends_left--;
		versions[n++] = w->version;
	}
	return n;
}

/* Sends a datagram to every other instance.  It may be lost: its content is
 * repeated later, or the gap is detected by a version number. */
void peers_send_all(struct peers *t, const PeerDatagram *d)
{
	uint8_t out[DATAGRAM_MAX_BYTES];
	size_t len = pack(d, out);

	if (len)
		send_to_listed(t, out, len);
}

/* Sends a pulse to every other instance, and to those that stop and are not listed
 * any more. */
static void send_pulse(struct peers *t, const PeerDatagram *d)
{
	uint64_t now = proxyd_now(t->proxyd);
	uint8_t out[DATAGRAM_MAX_BYTES];
	size_t len = pack(d, out);
	size_t i;

	if (!len)
		return;
	send_to_listed(t, out, len);
	for (i = 0; i < PARTING_MAX; i++)
		if (now < t->parting[i].until_ms)
			send_packed(t, &t->parting[i].address, out, len);
}

/* Sends a packed datagram to every other instance. */
static void send_to_listed(struct peers *t, uint8_t *out, size_t len)
{
	const struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	send_packed(t, &peer->address, out, len);
}

/* Sends a datagram to one instance. */
void peers_send(struct peers *t, const struct peer *to, const PeerDatagram *d)
{
	uint8_t out[DATAGRAM_MAX_BYTES];
	size_t len = pack(d, out);

	if (len)
		send_packed(t, &to->address, out, len);
}

/* Packs a datagram into DATAGRAM_MAX_BYTES bytes; returns its length, 0 if it
 * is too large. */
static size_t pack(const PeerDatagram *d, uint8_t *out)
{
	if (peer_datagram__get_packed_size(d) <= DATAGRAM_MAX_BYTES)
		return peer_datagram__pack(d, out);
	event_log(EVENT_NOTABLE, "datagram-too-large", NULL, "{}");
	return 0;
}

/* Sends a packed datagram to an address. */
static void send_packed(struct peers *t, const struct sockaddr_in *to,
			uint8_t *out, size_t len)
{
	const uv_buf_t buf = uv_buf_init((char *)out, (unsigned int)len);

	if (uv_udp_try_send(&t->udp, &buf, 1, (const struct sockaddr *)to) > 0)
		counter_add(t->sent, 1);
}

/* Returns this instance's share of a core, in thousandths. */
uint32_t peers_own_capacity(const struct peers *t)
{
	return (uint32_t)(t->proxyd->settings.capacity * 1000);
}
