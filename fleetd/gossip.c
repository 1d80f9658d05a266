/*
 * Membership among the cdmfleetds, decided by policy/member.c and carried in
 * digests.  The first update of a digest is the sender itself.  A digest of
 * kind PUSH is outside the probes: with sequence PUSH_ASKS it asks for the
 * whole table, with PUSH_TELLS it only tells.
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

#define PUSH_TELLS 0
#define PUSH_ASKS 1
#define URGENT_FANOUT 4 /* instances told at once of a loss or a version */
#define URGENT_ALL 16 /* a fleet up to this size is told as a whole */
#define SEED_MS 2000 /* between attempts to find the fleet while alone */
#define SYNC_MS 30000 /* between exchanges of whole tables, small fleets */
#define SYNC_FLEET 32 /* instances beyond which the exchanges grow rarer */

struct gossip {
	struct member_table members;
	bool urgent;
	uint64_t seed_at; /* ms */
	uint64_t sync_at;
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
static void push_urgent(struct fleetd *f);
static bool member_hears(const struct member *m);
static void push_to(struct fleetd *f, uint64_t id);
static void find_fleet(struct fleetd *f, uint64_t now);
static void exchange_tables(struct fleetd *f, uint64_t now);
static const struct roster_entry *random_peer(struct fleetd *f);
static bool take_updates(struct fleetd *f, const Cdm__Digest *m,
			 struct member_update *out);
static bool take_probe(struct fleetd *f, const Cdm__Digest *m,
		       const struct member_update *updates);
static void take_push(struct fleetd *f, const Cdm__Digest *m,
		      const struct member_update *updates);
static bool address_to_member(const char *address, const char *zone,
			      struct member_addr *out);
static enum member_state state_from_wire(Cdm__MemberState state);

/* Starts membership with this instance alone. */
struct gossip *gossip_new(struct fleetd *f)
{
	struct gossip *g = xcalloc(1, sizeof(*g));
	struct member_update self = {
		.id = f->self,
		/* above that of the process before on this instance */
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

/* Probes, tells what is urgent, and looks for the fleet while alone. */
void gossip_tick(struct fleetd *f, uint64_t now)
{
	struct gossip *g = f->gossip;
	struct member_msg out[MEMBER_OUT_MAX];
	size_t n;

	n = member_tick(&g->members, now, fleetd_random(), out, MEMBER_OUT_MAX);
	send_messages(f, out, n);
	if (g->urgent)
		push_urgent(f);
	g->urgent = false;
	find_fleet(f, now);
	exchange_tables(f, now);
	counter_set(&members_alive, (double)member_count_serving(&g->members));
	counter_set(&false_suspicions, (double)g->members.false_suspicions);
	counter_set(&pauses, (double)g->members.pauses);
}

/* Takes a digest; false if it is malformed. */
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
	if (!take_updates(f, m, updates)) {
		ok = false;
		goto out;
	}
	if (m->kind == CDM__DIGEST_KIND__DIGEST_PUSH)
		take_push(f, m, updates);
	else
		ok = take_probe(f, m, updates);
	confsync_peer_version(f, m->from, m->config_version);
	endpoints_heard(f, m->endpoints, m->n_endpoints);
	suspects_heard(f, m->suspicions, m->n_suspicions);
out:
	free(updates);
	return ok;
}

/* Tells the other side of a connection who this is. */
void gossip_greet(struct fleetd *f, struct frame_conn *c)
{
	struct digest d;

	digest_init(f, &d, CDM__DIGEST_KIND__DIGEST_PUSH, 0);
	digest_add_gossip(f, &d);
	d.message.sequence = PUSH_TELLS;
	frame_send(c, CDM__FRAME_TYPE__FRAME_DIGEST, &d.message.base);
	digest_release(&d);
}

/* Has some instances told at the next tick of what is new here. */
void gossip_urgent(struct fleetd *f)
{
	f->gossip->urgent = true;
}

/* Spreads a change of this instance's own record: the record goes with the
 * next digests under a new incarnation. */
void gossip_self_changed(struct fleetd *f)
{
	struct member_update u;

	if (!f->gossip)
		return;
	u = member_find(&f->gossip->members, f->self)->u;
	u.incarnation++;
	u.state = MEMBER_ALIVE;
	member_merge(&f->gossip->members, &u, fleetd_now(f));
	gossip_urgent(f);
}

/* Spreads the version in force on this instance, its cdmentryds included. */
void gossip_config_changed(struct fleetd *f)
{
	struct gossip *g = f->gossip;
	uint64_t version = feed_config_version(f);

	if (version > member_find(&g->members, f->self)->u.config_version)
		member_set_config(&g->members, version);
	gossip_urgent(f);
}

/* Has an instance look at once whether it is to leave. */
void gossip_hint_leaving(struct fleetd *f, uint64_t id)
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
	d.message.sequence = PUSH_TELLS;
	peers_send(f, id, to->control_address, CDM__FRAME_TYPE__FRAME_DIGEST,
		   &d.message.base);
	digest_release(&d);
}

/* Tells the fleet that this instance is leaving or has left. */
void gossip_leave(struct fleetd *f, enum member_state state)
{
	struct member_msg out[MEMBER_OUT_MAX];
	size_t n;

	member_leave(&f->gossip->members, state, fleetd_now(f));
	n = member_announce(&f->gossip->members, fleetd_random(), out,
			    MEMBER_OUT_MAX);
	send_messages(f, out, n);
}

/* Takes the entry instances of the platform's list. */
void gossip_list(struct fleetd *f, const struct platform_instance *list,
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
		roster_list(f, &list[i]);
		n_listings++;
	}
	member_list(&f->gossip->members, listings, n_listings, fleetd_now(f));
	free(listings);
}

static void send_messages(struct fleetd *f, const struct member_msg *out,
			  size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		send_message(f, &out[i]);
}

/* Sends one message of the membership table. */
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

/* Sends all that is known of instances, endpoints and requests; sequence is
 * PUSH_ASKS or PUSH_TELLS. */
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

/* Tells a few instances at once, or all of a small fleet; those for whom it
 * is new do the same. */
static void push_urgent(struct fleetd *f)
{
	const struct member_table *t = &f->gossip->members;
	size_t start = fleetd_random() % t->n;
	size_t left = t->n <= URGENT_ALL ? t->n : URGENT_FANOUT;
	const struct member *m;
	size_t i;

	for (i = 0; i < t->n && left; i++) {
		m = &t->members[(start + i) % t->n];
		if (m->u.id == f->self || !member_hears(m))
			continue;
		push_to(f, m->u.id);
		left--;
	}
}

/* True if the instance is worth telling. */
static bool member_hears(const struct member *m)
{
	return m->u.state == MEMBER_ALIVE || m->u.state == MEMBER_LEAVING ||
	       m->u.state == MEMBER_SUSPECT;
}

/* Tells one instance. */
static void push_to(struct fleetd *f, uint64_t id)
{
	const struct roster_entry *to = roster_find(f->roster, id);
	struct digest d;

	if (!to)
		return;
	digest_init(f, &d, CDM__DIGEST_KIND__DIGEST_PUSH, 0);
	digest_add_gossip(f, &d);
	d.message.sequence = PUSH_TELLS;
	peers_send(f, to->id, to->control_address,
		   CDM__FRAME_TYPE__FRAME_DIGEST, &d.message.base);
	digest_release(&d);
}

/* While no other instance is known to serve, asks those of the settings. */
static void find_fleet(struct fleetd *f, uint64_t now)
{
	struct gossip *g = f->gossip;
	const char *address;
	size_t i;

	if (now < g->seed_at || member_count_serving(&g->members) > 1)
		return;
	g->seed_at = now + SEED_MS;
	for (i = 0; i < f->settings->peers.n; i++) {
		address = f->settings->peers.items[i];
		if (strcmp(address, f->settings->advertise_address) != 0)
			send_table(f, 0, address, PUSH_ASKS);
	}
}

/* Now and then compares whole tables with one instance, which mends what the
 * updates missed.  In a large fleet each instance does so more rarely. */
static void exchange_tables(struct fleetd *f, uint64_t now)
{
	struct gossip *g = f->gossip;
	const struct roster_entry *to;
	uint64_t period = SYNC_MS;

	if (now < g->sync_at)
		return;
	if (g->members.n > SYNC_FLEET)
		period = SYNC_MS * g->members.n / SYNC_FLEET;
	if (g->sync_at) {
		to = random_peer(f);
		if (to)
			send_table(f, to->id, to->control_address, PUSH_ASKS);
	}
	g->sync_at = now + period / 2 + fleetd_random() % period;
}

/* Returns a serving instance other than this one at random, or NULL. */
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

/* Reads all updates into out and the roster; false if one is malformed. */
static bool take_updates(struct fleetd *f, const Cdm__Digest *m,
			 struct member_update *out)
{
	const Cdm__Member *u;
	size_t i;

	for (i = 0; i < m->n_updates; i++) {
		u = m->updates[i];
		if (!roster_put(f, u) ||
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

/* Hands a probe to the membership table and sends its answers. */
static bool take_probe(struct fleetd *f, const Cdm__Digest *m,
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

/* Merges a table and answers with ours if asked. */
static void take_push(struct fleetd *f, const Cdm__Digest *m,
		      const struct member_update *updates)
{
	const struct roster_entry *from;
	size_t i;

	for (i = 0; i < m->n_updates; i++) {
		if (updates[i].id == f->self && !f->leaving &&
		    updates[i].state == MEMBER_LEAVING)
			listing_hurry(f);
		member_merge(&f->gossip->members, &updates[i], fleetd_now(f));
	}
	from = roster_find(f->roster, m->from);
	if (m->sequence == PUSH_ASKS && from)
		send_table(f, from->id, from->control_address, PUSH_TELLS);
}

/* Converts "a.b.c.d:port"; false if it isn't one. */
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
