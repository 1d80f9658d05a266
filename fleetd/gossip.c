/*
 * Membership among the cdmfleetds.  policy/member.c decides the state of each
 * instance; digests carry the updates.  The first update of a digest describes
 * the sender.  A digest of kind PUSH is not part of the probe protocol: with
 * sequence PUSH_REQUEST the receiver replies with its whole table, with
 * PUSH_INFORM it sends no reply.
 */
#include "fleetd/gossip.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleetd/confsync.h"
#include "fleetd/digest.h"
#include "fleetd/endpoints.h"
#include "fleetd/feed.h"
#include "fleetd/listing.h"
#include "fleetd/peers.h"
#include "fleetd/roster.h"
#include "fleetd/suspects.h"
#include "lib/counters.h"
#include "lib/ident.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define PUSH_INFORM 0
#define PUSH_REQUEST 1
#define PUSH_FANOUT 4 /* instances that get an urgent update directly */
#define PUSH_ALL_MAX 16 /* up to this fleet size, all instances get it */
#define SEED_INTERVAL_MS 2000 /* between attempts to reach the peers */
#define SYNC_INTERVAL_MS 30000 /* between table exchanges in a small fleet */
#define SYNC_FLEET_SIZE 32 /* a larger fleet has a longer interval */

struct gossip {
	struct member_table members;
	bool push_due; /* send updates at the next tick */
	uint64_t next_seed_ms;
	uint64_t next_sync_ms;
};

static struct counter members_alive = {
	.name = "cdmfleetd_members_serving",
	.help = "Instances that this one takes for serving.",
	.kind = COUNTER_GAUGE,
};
static struct counter false_suspicions = {
	.name = "cdmfleetd_false_suspicions",
	.help = "Suspicions of this instance that it refuted.",
};
static struct counter pauses = {
	.name = "cdmfleetd_pauses",
	.help = "Times that this process noticed that it had been paused.",
};

static void send_messages(struct fleetd *f, const struct member_msg *out,
			  size_t n);
static void send_message(struct fleetd *f, const struct member_msg *msg);
static void send_table(struct fleetd *f, uint64_t id, const char *address,
		       uint64_t sequence);
static void push_updates(struct fleetd *f);
static bool member_reachable(const struct member *m);
static void push_to_instance(struct fleetd *f, uint64_t id);
static void contact_seeds(struct fleetd *f, uint64_t now);
static void exchange_tables(struct fleetd *f, uint64_t now);
static const struct roster_entry *random_peer(struct fleetd *f);
static bool parse_updates(struct fleetd *f, const Cdm__Digest *m,
			  struct member_update *out);
static bool receive_probe(struct fleetd *f, const Cdm__Digest *m,
			  const struct member_update *updates);
static void receive_push(struct fleetd *f, const Cdm__Digest *m,
			 const struct member_update *updates);
static bool address_to_member(const char *address, const char *zone,
			      struct member_addr *out);
static enum member_state state_from_wire(Cdm__MemberState state);

/* Returns a membership table that holds only this instance. */
struct gossip *gossip_new(struct fleetd *f)
{
	struct gossip *g = xcalloc(1, sizeof(*g));
	struct member_update self = {
		.id = f->self,
		/* higher than that of the instance's previous process */
		.incarnation = (uint64_t)time(NULL),
		.state = MEMBER_ALIVE,
	};

	address_to_member(f->settings->advertise_address, f->settings->zone,
			  &self.addr);
	member_init(&g->members, &self, fleetd_now(f));
	counter_register(&members_alive);
	counter_register(&false_suspicions);
	counter_register(&pauses);
	return g;
}

void gossip_free(struct gossip *g)
{
	free(g);
}

/* Returns the membership table. */
const struct member_table *gossip_members(const struct fleetd *f)
{
	return &f->gossip->members;
}

/* Runs the probes, sends urgent updates, contacts the configured peers while
 * no other instance is known, and exchanges tables when due. */
void gossip_tick(struct fleetd *f, uint64_t now)
{
	struct gossip *g = f->gossip;
	struct member_msg out[MEMBER_OUT_MAX];
	size_t n;

	n = member_tick(&g->members, now, fleetd_random(), out, MEMBER_OUT_MAX);
	send_messages(f, out, n);
	if (g->push_due)
		push_updates(f);
	g->push_due = false;
	contact_seeds(f, now);
	exchange_tables(f, now);
	counter_set(&members_alive, (double)member_count_serving(&g->members));
	counter_set(&false_suspicions, (double)g->members.false_suspicions);
	counter_set(&pauses, (double)g->members.pauses);
}

/* Processes a received digest.  Returns false if it is malformed; one that is
 * addressed to another instance is ignored. */
bool gossip_received(struct fleetd *f, const Cdm__Digest *m)
{
	struct member_update *updates;
	bool ok = true;

	if (!m->n_updates || m->n_updates > MEMBER_MAX ||
	    m->updates[0]->id != m->from || m->from == f->self)
		return false;
	if (m->has_to && m->to != f->self)
		return true;
	updates = xcalloc(m->n_updates, sizeof(*updates));
	if (!parse_updates(f, m, updates)) {
		ok = false;
		goto out;
	}
	if (m->kind == CDM__DIGEST_KIND__DIGEST_PUSH)
		receive_push(f, m, updates);
	else
		ok = receive_probe(f, m, updates);
	confsync_peer_version(f, m->from, m->config_version);
	endpoints_heard(f, m->endpoints, m->n_endpoints);
	suspects_received(f, m->suspicions, m->n_suspicions);
out:
	free(updates);
	return ok;
}

/* Sends a digest that identifies this instance to the other end of c. */
void gossip_send_identity(struct fleetd *f, struct frame_conn *c)
{
	struct digest d;

	digest_init(f, &d, CDM__DIGEST_KIND__DIGEST_PUSH, 0);
	digest_add_gossip(f, &d);
	d.message.sequence = PUSH_INFORM;
	frame_send(c, CDM__FRAME_TYPE__FRAME_DIGEST, &d.message.base);
	digest_release(&d);
}

/* Schedules a push of recent updates to other instances at the next tick. */
void gossip_push_soon(struct fleetd *f)
{
	f->gossip->push_due = true;
}

/* Announces a change of this instance's own record under a new incarnation. */
void gossip_self_changed(struct fleetd *f)
{
	struct member_update u;

	if (!f->gossip)
		return;
	u = member_find(&f->gossip->members, f->self)->u;
	u.incarnation++;
	u.state = MEMBER_ALIVE;
	member_merge(&f->gossip->members, &u, fleetd_now(f));
	gossip_push_soon(f);
}

/* Announces the configuration version in force on this instance and its
 * cdmentryds. */
void gossip_config_changed(struct fleetd *f)
{
	struct gossip *g = f->gossip;
	uint64_t version = feed_config_version(f);

	if (version > member_find(&g->members, f->self)->u.config_version)
		member_set_config(&g->members, version);
	gossip_push_soon(f);
}

/* Asks an instance to check whether it has to leave: an update that marks it as
 * leaving makes it read the platform's lists at its next tick. */
void gossip_request_leave_check(struct fleetd *f, uint64_t id)
{
	const struct roster_entry *to = roster_find(f->roster, id);
	const struct member *m = member_find(&f->gossip->members, id);
	struct member_update u;
	struct digest d;

	if (!to || !m || id == f->self)
		return;
	u = m->u;
	u.state = MEMBER_LEAVING;
	digest_init(f, &d, CDM__DIGEST_KIND__DIGEST_PUSH, 1);
	digest_add_gossip(f, &d);
	digest_add(f, &d, &u);
	d.message.sequence = PUSH_INFORM;
	peers_send(f, id, to->control_address, CDM__FRAME_TYPE__FRAME_DIGEST,
		   &d.message.base);
	digest_release(&d);
}

/* Announces that this instance is leaving or has left. */
void gossip_leave(struct fleetd *f, enum member_state state)
{
	struct member_msg out[MEMBER_OUT_MAX];
	size_t n;

	member_leave(&f->gossip->members, state, fleetd_now(f));
	n = member_announce(&f->gossip->members, fleetd_random(), out,
			    MEMBER_OUT_MAX);
	send_messages(f, out, n);
}

/* Applies the entry instances of the platform's list to the table. */
void gossip_apply_list(struct fleetd *f, const struct platform_instance *list,
		       size_t n)
{
	struct member_listing *listings = xcalloc(n, sizeof(*listings));
	size_t n_listings = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		struct member_listing *l = &listings[n_listings];

		if (strcmp(list[i].kind, "entry") != 0 ||
		    !address_to_member(list[i].address, list[i].zone, &l->addr))
			continue;
		l->id = name_id(list[i].name);
		l->leaving = list[i].leaving;
		roster_add_listed(f, &list[i]);
		n_listings++;
	}
	member_list(&f->gossip->members, listings, n_listings, fleetd_now(f));
	free(listings);
}

/* Sends messages of the membership table. */
static void send_messages(struct fleetd *f, const struct member_msg *out,
			  size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		send_message(f, &out[i]);
}

/* Sends one message of the membership table; drops it if the receiver isn't in
 * the roster. */
static void send_message(struct fleetd *f, const struct member_msg *msg)
{
	static const Cdm__DigestKind kinds[] = {
		[MEMBER_PING] = CDM__DIGEST_KIND__DIGEST_PING,
		[MEMBER_ACK] = CDM__DIGEST_KIND__DIGEST_ACK,
		[MEMBER_PING_REQ] = CDM__DIGEST_KIND__DIGEST_PING_REQUEST,
	};
	const struct roster_entry *to = roster_find(f->roster, msg->to);
	struct digest d;
	unsigned int i;

	if (!to)
		return;
	digest_init(f, &d, kinds[msg->kind], MEMBER_PIGGYBACK_MAX);
	digest_add_gossip(f, &d);
	d.message.sequence = msg->seq;
	d.message.has_to = 1;
	d.message.to = msg->to;
	d.message.has_target = 1;
	d.message.target = msg->target;
	for (i = 0; i < msg->n_updates; i++)
		digest_add(f, &d, &msg->updates[i]);
	peers_send(f, msg->to, to->control_address,
		   CDM__FRAME_TYPE__FRAME_DIGEST, &d.message.base);
	digest_release(&d);
}

/* Sends the complete state of instances, endpoints and crash records; sequence
 * is PUSH_REQUEST or PUSH_INFORM. */
static void send_table(struct fleetd *f, uint64_t id, const char *address,
		       uint64_t sequence)
{
	struct digest d;

	digest_init(f, &d, CDM__DIGEST_KIND__DIGEST_PUSH, f->gossip->members.n);
	d.message.sequence = sequence;
	digest_add_table(f, &d);
	peers_send(f, id, address, CDM__FRAME_TYPE__FRAME_DIGEST,
		   &d.message.base);
	digest_release(&d);
}

/* Sends recent updates to PUSH_FANOUT instances, or to all of a small fleet.
 * Receivers for which an update is new forward it in the same way. */
static void push_updates(struct fleetd *f)
{
	const struct member_table *t = &f->gossip->members;
	size_t start = fleetd_random() % t->n;
	size_t left = t->n <= PUSH_ALL_MAX ? t->n : PUSH_FANOUT;
	const struct member *m;
	size_t i;

	for (i = 0; i < t->n && left; i++) {
		m = &t->members[(start + i) % t->n];
		if (m->u.id == f->self || !member_reachable(m))
			continue;
		push_to_instance(f, m->u.id);
		left--;
	}
}

/* Returns true if the instance may still process messages. */
static bool member_reachable(const struct member *m)
{
	return m->u.state == MEMBER_ALIVE || m->u.state == MEMBER_LEAVING ||
	       m->u.state == MEMBER_SUSPECT;
}

/* Sends recent updates to one instance. */
static void push_to_instance(struct fleetd *f, uint64_t id)
{
	const struct roster_entry *to = roster_find(f->roster, id);
	struct digest d;

	if (!to)
		return;
	digest_init(f, &d, CDM__DIGEST_KIND__DIGEST_PUSH, 0);
	digest_add_gossip(f, &d);
	d.message.sequence = PUSH_INFORM;
	peers_send(f, to->id, to->control_address,
		   CDM__FRAME_TYPE__FRAME_DIGEST, &d.message.base);
	digest_release(&d);
}

/* Requests the table from the peers of the settings while no other serving
 * instance is known. */
static void contact_seeds(struct fleetd *f, uint64_t now)
{
	struct gossip *g = f->gossip;
	const char *address;
	size_t i;

	if (now < g->next_seed_ms || member_count_serving(&g->members) > 1)
		return;
	g->next_seed_ms = now + SEED_INTERVAL_MS;
	for (i = 0; i < f->settings->peers.n; i++) {
		address = f->settings->peers.items[i];
		if (strcmp(address, f->settings->advertise_address) != 0)
			send_table(f, 0, address, PUSH_REQUEST);
	}
}

/* Exchanges whole tables with one random instance when due, which repairs
 * updates that were lost.  The interval grows with the fleet, so that the total
 * rate of exchanges stays constant in a large fleet. */
static void exchange_tables(struct fleetd *f, uint64_t now)
{
	struct gossip *g = f->gossip;
	const struct roster_entry *to;
	uint64_t period = SYNC_INTERVAL_MS;

	if (now < g->next_sync_ms)
		return;
	if (g->members.n > SYNC_FLEET_SIZE)
		period = SYNC_INTERVAL_MS * g->members.n / SYNC_FLEET_SIZE;
	if (g->next_sync_ms) {
		to = random_peer(f);
		if (to)
			send_table(f, to->id, to->control_address,
				   PUSH_REQUEST);
	}
	g->next_sync_ms = now + period / 2 + fleetd_random() % period;
}

/* Returns a random serving instance other than this one, or NULL. */
static const struct roster_entry *random_peer(struct fleetd *f)
{
	const struct member_table *t = &f->gossip->members;
	size_t start = fleetd_random() % t->n;
	const struct member *m;
	size_t i;

	for (i = 0; i < t->n; i++) {
		m = &t->members[(start + i) % t->n];
		if (m->u.id != f->self && member_serves(m))
			return roster_find(f->roster, m->u.id);
	}
	return NULL;
}

/* Converts the updates of a digest to out and stores their records in the
 * roster.  Returns false if one is malformed. */
static bool parse_updates(struct fleetd *f, const Cdm__Digest *m,
			  struct member_update *out)
{
	const Cdm__Member *u;
	size_t i;

	for (i = 0; i < m->n_updates; i++) {
		u = m->updates[i];
		if (!roster_update(f, u) ||
		    !address_to_member(u->control_address, u->zone,
				       &out[i].addr))
			return false;
		out[i].id = u->id;
		out[i].incarnation = u->incarnation;
		out[i].config_version = u->config_version;
		out[i].state = state_from_wire(u->state);
	}
	return true;
}

/* Passes a probe message to the membership table and sends the replies.
 * Returns false if it is malformed. */
static bool receive_probe(struct fleetd *f, const Cdm__Digest *m,
			  const struct member_update *updates)
{
	struct member_msg out[MEMBER_OUT_MAX];
	struct member_msg msg = {
		.seq = m->sequence,
		.to = f->self,
		.target = m->target,
		.from = updates[0],
		.n_updates = (unsigned int)m->n_updates - 1,
	};
	enum member_outcome outcome;
	size_t n = 0;

	if (m->n_updates > MEMBER_PIGGYBACK_MAX + 1)
		return false;
	if (m->kind == CDM__DIGEST_KIND__DIGEST_PING)
		msg.kind = MEMBER_PING;
	else if (m->kind == CDM__DIGEST_KIND__DIGEST_ACK)
		msg.kind = MEMBER_ACK;
	else
		msg.kind = MEMBER_PING_REQ;
	memcpy(msg.updates, updates + 1, msg.n_updates * sizeof(*updates));
	outcome = member_receive(&f->gossip->members, &msg, fleetd_now(f), out,
				 MEMBER_OUT_MAX, &n);
	send_messages(f, out, n);
	return outcome != MEMBER_MALFORMED;
}

/* Merges the updates of a push and replies with the whole table if requested.
 * An update that marks this instance as leaving triggers a read of the
 * platform's lists. */
static void receive_push(struct fleetd *f, const Cdm__Digest *m,
			 const struct member_update *updates)
{
	const struct roster_entry *from;
	size_t i;

	for (i = 0; i < m->n_updates; i++) {
		if (updates[i].id == f->self && !f->leaving &&
		    updates[i].state == MEMBER_LEAVING)
			listing_read_soon(f);
		member_merge(&f->gossip->members, &updates[i], fleetd_now(f));
	}
	from = roster_find(f->roster, m->from);
	if (m->sequence == PUSH_REQUEST && from)
		send_table(f, from->id, from->control_address, PUSH_INFORM);
}

/* Converts "a.b.c.d:port" and a zone's name to a member's address.  Returns
 * false if the address is malformed. */
static bool address_to_member(const char *address, const char *zone,
			      struct member_addr *out)
{
	struct in_addr in;
	char host[64];

	memset(out, 0, sizeof(*out));
	if (!address_parse(address, host, sizeof(host), &out->port) ||
	    inet_pton(AF_INET, host, &in) != 1)
		return false;
	out->ip[10] = 0xff;
	out->ip[11] = 0xff;
	memcpy(out->ip + 12, &in, sizeof(in));
	out->zone = zone_id(zone);
	return true;
}

/* Converts a state from the wire; an unknown value becomes MEMBER_DEAD. */
static enum member_state state_from_wire(Cdm__MemberState state)
{
	switch (state) {
	case CDM__MEMBER_STATE__MEMBER_ALIVE:
		return MEMBER_ALIVE;
	case CDM__MEMBER_STATE__MEMBER_LEAVING:
		return MEMBER_LEAVING;
	case CDM__MEMBER_STATE__MEMBER_SUSPECT:
		return MEMBER_SUSPECT;
	case CDM__MEMBER_STATE__MEMBER_LEFT:
		return MEMBER_LEFT;
	default:
		return MEMBER_DEAD;
	}
}
