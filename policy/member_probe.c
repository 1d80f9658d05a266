/*
 * Failure detection between instances, by the SWIM protocol.  Each period an
 * instance probes a random member, directly and then through a few relays.  A
 * member that doesn't answer becomes suspect and, unless it refutes that in
 * time, is declared dead.  Updates are piggybacked on these messages, so that
 * the cost per instance doesn't depend on the size of the fleet.
 *
 * An instance whose probes fail repeatedly, or that was itself paused, raises
 * its health score, which multiplies its timeouts; after a pause it also drops
 * the current probe.  Dead members are probed at intervals of
 * MEMBER_RECONNECT_MS, which reconnects the two sides of a healed partition.
 */
#include <assert.h>
#include <string.h>

#include "policy/member_internal.h"
#include "policy/pair_hash.h"

#define RANDOM_PICKS_MAX 16 /* random picks before a linear scan */

struct outbox {
	struct member_msg *msgs;
	size_t n;
	size_t max;
};

/* The members that a random pick may return. */
enum candidates {
	PROBE_CANDIDATES, /* any that may be alive, including MEMBER_UNKNOWN */
	LIVE_PEERS, /* known to be alive */
	DEAD_MEMBERS, /* probed to reconnect after a partition */
};

static void announce(struct member_table *t, uint64_t rnd, struct outbox *out);
static void ping_random(struct member_table *t, enum candidates candidates,
			uint64_t rnd, struct outbox *out);
static void detect_pause(struct member_table *t, uint64_t now);
static void advance_probe(struct member_table *t, uint64_t now, uint64_t rnd,
			  struct outbox *out);
static void fail_probe(struct member_table *t, uint64_t now);
static void send_indirect_probes(struct member_table *t, uint64_t rnd,
				 struct outbox *out);
static void start_probe(struct member_table *t, uint64_t now, uint64_t rnd,
			struct outbox *out);
static void declare_dead(struct member_table *t, uint64_t now);
static bool is_candidate(const struct member_table *t, const struct member *m,
			 enum candidates candidates);
static struct member *pick_member(struct member_table *t,
				  enum candidates candidates, uint64_t rnd);
static struct member_msg *compose(struct member_table *t, struct outbox *out,
				  enum member_msg_kind kind, uint64_t to,
				  uint64_t seq);
static void add_updates(struct member_table *t, struct member_msg *msg);
static size_t select_updates(struct member_table *t, uint64_t except,
			     struct member **selected, size_t max);
static bool is_valid(const struct member_msg *msg);
static void merge_all(struct member_table *t, const struct member_msg *msg,
		      uint64_t now);
static void handle_ack(struct member_table *t, const struct member_msg *msg,
		       struct outbox *out);
static void handle_ping_req(struct member_table *t,
			    const struct member_msg *msg, struct outbox *out);

/*
 * Runs the timers due at `now`; to be called every MEMBER_TICK_MS.  `rnd` is a
 * new random number.  Writes at most `max` messages to `out` and returns their
 * number; MEMBER_OUT_MAX is always enough.
 */
size_t member_tick(struct member_table *t, uint64_t now, uint64_t rnd,
		   struct member_msg *out, size_t max)
{
	struct outbox box = { .msgs = out, .max = max };

	detect_pause(t, now);
	t->last_tick_ms = now;
	if (t->urgent) {
		t->urgent = false;
		announce(t, pair_hash(rnd, 4), &box);
	}
	advance_probe(t, now, pair_hash(rnd, 1), &box);
	if (now >= t->next_period_ms && !t->probe.active) {
		t->next_period_ms = now + MEMBER_PERIOD_MS;
		declare_dead(t, now);
		start_probe(t, now, pair_hash(rnd, 2), &box);
	}
	if (now >= t->next_reconnect_ms) {
		t->next_reconnect_ms = now + MEMBER_RECONNECT_MS;
		ping_random(t, DEAD_MEMBERS, pair_hash(rnd, 3), &box);
	}
	if (now >= t->next_backlog_ping_ms &&
	    t->n_pending > MEMBER_PIGGYBACK_MAX) {
		t->next_backlog_ping_ms = now + MEMBER_BACKLOG_PING_MS;
		ping_random(t, LIVE_PEERS, pair_hash(rnd, 5), &box);
	}
	return box.n;
}

/* Pings a random member; the answer doesn't affect its state. */
static void ping_random(struct member_table *t, enum candidates candidates,
			uint64_t rnd, struct outbox *out)
{
	struct member *m = pick_member(t, candidates, rnd);

	if (m)
		compose(t, out, MEMBER_PING, m->u.id, t->next_seq++);
}

/*
 * Detects a pause of this instance.  Messages missed during it don't count
 * against other members: the current probe is dropped, and the deadlines of all
 * suspects start anew.
 */
static void detect_pause(struct member_table *t, uint64_t now)
{
	size_t i;

	if (now <= t->last_tick_ms + MEMBER_PAUSE_MS)
		return;
	t->pauses++;
	t->health = MEMBER_HEALTH_MAX;
	t->probe.active = false;
	for (i = 0; i < t->n; i++) {
		struct member *m = &t->members[i];

		if (m->u.state == MEMBER_SUSPECT)
			m->suspect_deadline_ms =
				now + member_suspect_ms(t->n) * (1 + t->health);
	}
}

/* Fails the current probe at its deadline, or starts its indirect part. */
static void advance_probe(struct member_table *t, uint64_t now, uint64_t rnd,
			  struct outbox *out)
{
	struct member_probe *p = &t->probe;

	if (!p->active)
		return;
	if (now >= p->deadline_ms) {
		fail_probe(t, now);
		return;
	}
	if (!p->indirect && now >= p->indirect_ms) {
		p->indirect = true;
		send_indirect_probes(t, rnd, out);
	}
}

/* Ends the probe; its target becomes suspect unless it has sent a message. */
static void fail_probe(struct member_table *t, uint64_t now)
{
	struct member *m = member_lookup(t, t->probe.id);

	t->probe.active = false;
	if (!m || m->last_seen_ms >= t->probe.started_ms)
		return;
	if (t->health < MEMBER_HEALTH_MAX)
		t->health++;
	if (m->u.state == MEMBER_ALIVE || m->u.state == MEMBER_LEAVING) {
		t->suspicions++;
		member_set_state(t, m, MEMBER_SUSPECT, now);
	}
}

/* Asks up to MEMBER_INDIRECT_PEERS random peers to probe the target. */
static void send_indirect_probes(struct member_table *t, uint64_t rnd,
				 struct outbox *out)
{
	struct member_msg *msg;
	struct member *m;
	uint64_t asked[MEMBER_INDIRECT_PEERS] = { 0 };
	size_t i;
	size_t j;

	for (i = 0; i < MEMBER_INDIRECT_PEERS; i++) {
		m = pick_member(t, LIVE_PEERS, pair_hash(rnd, i));
		if (!m)
			return;
		for (j = 0; j < i && asked[j] != m->u.id; j++)
			;
		if (j < i || m->u.id == t->probe.id)
			continue;
		asked[i] = m->u.id;
		msg = compose(t, out, MEMBER_PING_REQ, m->u.id, t->probe.seq);
		if (msg)
			msg->target = t->probe.id;
	}
}

/* Starts a direct probe of a random member. */
static void start_probe(struct member_table *t, uint64_t now, uint64_t rnd,
			struct outbox *out)
{
	struct member *m = pick_member(t, PROBE_CANDIDATES, rnd);
	struct member_probe *p = &t->probe;

	if (!m)
		return;
	p->active = true;
	p->indirect = false;
	p->id = m->u.id;
	p->seq = t->next_seq++;
	p->started_ms = now;
	p->indirect_ms = now + MEMBER_ACK_TIMEOUT_MS * (1 + t->health);
	p->deadline_ms = now + MEMBER_PERIOD_MS * (1 + t->health);
	compose(t, out, MEMBER_PING, p->id, p->seq);
}

/* Declares suspects dead after their deadline. */
static void declare_dead(struct member_table *t, uint64_t now)
{
	size_t i;

	for (i = 0; i < t->n; i++) {
		struct member *m = &t->members[i];

		if (m->u.state != MEMBER_SUSPECT ||
		    now < m->suspect_deadline_ms)
			continue;
		t->deaths++;
		member_set_state(t, m, MEMBER_DEAD, now);
	}
}

static bool is_candidate(const struct member_table *t, const struct member *m,
			 enum candidates candidates)
{
	enum member_state state = m->u.state;

	if (m->u.id == t->self)
		return false;
	switch (candidates) {
	case PROBE_CANDIDATES:
		return state <= MEMBER_SUSPECT;
	case LIVE_PEERS:
		return state == MEMBER_ALIVE || state == MEMBER_LEAVING;
	case DEAD_MEMBERS:
		return state == MEMBER_DEAD;
	}
	return false;
}

/* Returns a random member that is_candidate, or NULL if none does. */
static struct member *pick_member(struct member_table *t,
				  enum candidates candidates, uint64_t rnd)
{
	struct member *m;
	size_t start;
	size_t i;

	for (i = 0; i < RANDOM_PICKS_MAX; i++) {
		m = &t->members[pair_hash(rnd, i) % t->n];
		if (is_candidate(t, m, candidates))
			return m;
	}
	start = pair_hash(rnd, RANDOM_PICKS_MAX) % t->n;
	for (i = 0; i < t->n; i++) {
		m = &t->members[(start + i) % t->n];
		if (is_candidate(t, m, candidates))
			return m;
	}
	return NULL;
}

/*
 * Appends a message with updates and returns it; NULL if `out` is full.
 */
static struct member_msg *compose(struct member_table *t, struct outbox *out,
				  enum member_msg_kind kind, uint64_t to,
				  uint64_t seq)
{
	struct member_msg *msg;

	if (out->n == out->max)
		return NULL;
	msg = &out->msgs[out->n++];
	memset(msg, 0, sizeof(*msg));
	msg->kind = kind;
	msg->to = to;
	msg->seq = seq;
	msg->from = member_self(t)->u;
	add_updates(t, msg);
	return msg;
}

/*
 * Adds updates that are still to be sent, the latest first, so that a backlog
 * from the start or loss of a zone doesn't delay new ones.  A receiver that is
 * suspect or dead in this table gets that update too, so that it can refute
 * it.
 */
static void add_updates(struct member_table *t, struct member_msg *msg)
{
	struct member *selected[MEMBER_PIGGYBACK_MAX];
	struct member *to = member_lookup(t, msg->to);
	size_t free_slots = MEMBER_PIGGYBACK_MAX;
	size_t n;
	size_t i;

	if (to && to->u.state >= MEMBER_SUSPECT) {
		msg->updates[msg->n_updates++] = to->u;
		free_slots--;
	}
	if (t->n_pending == 0)
		return;
	n = select_updates(t, msg->to, selected, free_slots);
	for (i = 0; i < n; i++) {
		msg->updates[msg->n_updates++] = selected[i]->u;
		if (--selected[i]->sends_left == 0)
			t->n_pending--;
	}
}

/*
 * Selects up to `max` members with pending updates, the latest first, without
 * the member `except`.  Returns their number.
 */
static size_t select_updates(struct member_table *t, uint64_t except,
			     struct member **selected, size_t max)
{
	size_t n = 0;
	size_t i;
	size_t j;

	for (i = 0; i < t->n; i++) {
		struct member *m = &t->members[i];

		if (m->sends_left == 0 || m->u.id == except)
			continue;
		if (n == max && selected[n - 1]->update_order > m->update_order)
			continue;
		if (n < max)
			n++;
		for (j = n - 1;
		     j > 0 && selected[j - 1]->update_order < m->update_order;
		     j--)
			selected[j] = selected[j - 1];
		selected[j] = m;
	}
	return n;
}

/* Returns whether a message's own fields are in range. */
static bool is_valid(const struct member_msg *msg)
{
	if ((unsigned int)msg->kind > MEMBER_PING_REQ)
		return false;
	if (msg->n_updates > MEMBER_PIGGYBACK_MAX)
		return false;
	if (msg->from.state == MEMBER_SUSPECT || msg->from.state == MEMBER_DEAD)
		return false;
	return member_update_valid(&msg->from);
}

/*
 * Handles a message.  Writes at most `max` replies to `out` and sets `n_out` to
 * their number, which is at most one.
 */
enum member_outcome member_receive(struct member_table *t,
				   const struct member_msg *msg, uint64_t now,
				   struct member_msg *out, size_t max,
				   size_t *n_out)
{
	struct outbox box = { .msgs = out, .max = max };

	*n_out = 0;
	if (!is_valid(msg))
		return MEMBER_MALFORMED;
	if (msg->to != t->self || msg->from.id == t->self)
		return MEMBER_NOT_FOR_US;
	merge_all(t, msg, now);
	switch (msg->kind) {
	case MEMBER_PING:
		compose(t, &box, MEMBER_ACK, msg->from.id, msg->seq);
		if (box.n > 0)
			out[0].target = t->self;
		break;
	case MEMBER_ACK:
		handle_ack(t, msg, &box);
		break;
	case MEMBER_PING_REQ:
		handle_ping_req(t, msg, &box);
		break;
	}
	*n_out = box.n;
	return MEMBER_OK;
}

/* Merges all updates of a message; a malformed one is skipped. */
static void merge_all(struct member_table *t, const struct member_msg *msg,
		      uint64_t now)
{
	struct member *sender;
	unsigned int i;

	member_merge(t, &msg->from, now);
	for (i = 0; i < msg->n_updates; i++)
		member_merge(t, &msg->updates[i], now);
	sender = member_lookup(t, msg->from.id);
	if (sender)
		sender->last_seen_ms = now;
}

/* Completes the current probe, or relays the ACK of an indirect one. */
static void handle_ack(struct member_table *t, const struct member_msg *msg,
		       struct outbox *out)
{
	struct member_msg *ack;
	size_t i;

	if (t->probe.active && msg->seq == t->probe.seq &&
	    msg->target == t->probe.id) {
		t->probe.active = false;
		if (t->health > 0)
			t->health--;
		return;
	}
	for (i = 0; i < MEMBER_RELAY_MAX; i++) {
		struct member_relay *r = &t->relays[i];

		if (r->seq == 0 || r->seq != msg->seq)
			continue;
		r->seq = 0;
		ack = compose(t, out, MEMBER_ACK, r->origin, r->origin_seq);
		if (ack)
			ack->target = msg->target;
		return;
	}
}

/* Pings `target` on behalf of the sender; handle_ack() relays the ACK. */
static void handle_ping_req(struct member_table *t,
			    const struct member_msg *msg, struct outbox *out)
{
	struct member_relay *r;

	if (!member_lookup(t, msg->target) || msg->target == t->self)
		return;
	r = &t->relays[t->n_relays++ % MEMBER_RELAY_MAX];
	r->seq = t->next_seq++;
	r->origin = msg->from.id;
	r->origin_seq = msg->seq;
	compose(t, out, MEMBER_PING, msg->target, r->seq);
}

/*
 * Writes pings to MEMBER_ANNOUNCE_PEERS random peers, at most `max`, for
 * updates that shouldn't wait for the next probe, such as a new version of the
 * configuration.  Returns their number.
 */
size_t member_announce(struct member_table *t, uint64_t rnd,
		       struct member_msg *out, size_t max)
{
	struct outbox box = { .msgs = out, .max = max };

	announce(t, rnd, &box);
	return box.n;
}

/* Pings MEMBER_ANNOUNCE_PEERS random peers. */
static void announce(struct member_table *t, uint64_t rnd, struct outbox *out)
{
	size_t i;

	for (i = 0; i < MEMBER_ANNOUNCE_PEERS; i++)
		ping_random(t, LIVE_PEERS, pair_hash(rnd, i), out);
}
