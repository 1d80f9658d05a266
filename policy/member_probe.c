/*
 * Failure detection between instances, in the manner of SWIM: each period an
 * instance probes one other at random, directly and then through a few
 * helpers; who doesn't answer is suspected and, unless it refutes that in
 * time, taken for dead.  Updates ride on these messages, so that the cost per
 * instance doesn't depend on the size of the fleet.
 *
 * An instance that was itself paused, or whose probes fail one after the
 * other, distrusts its own view: it drops the probe at hand, and its timeouts
 * grow.  Dead members are probed now and then, which brings the two sides of
 * a healed partition together.
 */
#include <assert.h>
#include <string.h>

#include "policy/member_internal.h"
#include "policy/pair_hash.h"

#define DRAWS_MAX 16 /* random draws before a scan */

struct outbox {
	struct member_msg *msgs;
	size_t n;
	size_t max;
};

/* Whom a random choice may fall on. */
enum choice {
	CHOOSE_PROBE, /* all that may be alive, listed ones included */
	CHOOSE_PEER, /* known to be alive */
	CHOOSE_DEAD,
};

static void announce(struct member_table *t, uint64_t rnd, struct outbox *out);
static void ping_one(struct member_table *t, enum choice choice, uint64_t rnd,
		     struct outbox *out);
static void note_pause(struct member_table *t, uint64_t now);
static void advance_probe(struct member_table *t, uint64_t now, uint64_t rnd,
			  struct outbox *out);
static void fail_probe(struct member_table *t, uint64_t now);
static void ask_helpers(struct member_table *t, uint64_t rnd,
			struct outbox *out);
static void start_probe(struct member_table *t, uint64_t now, uint64_t rnd,
			struct outbox *out);
static void bury_suspects(struct member_table *t, uint64_t now);
static bool matches(const struct member_table *t, const struct member *m,
		    enum choice choice);
static struct member *choose(struct member_table *t, enum choice choice,
			     uint64_t rnd);
static struct member_msg *compose(struct member_table *t, struct outbox *out,
				  enum member_msg_kind kind, uint64_t to,
				  uint64_t seq);
static void add_updates(struct member_table *t, struct member_msg *msg);
static size_t latest(struct member_table *t, uint64_t except,
		     struct member **best, size_t max);
static bool valid(const struct member_msg *msg);
static void merge_all(struct member_table *t, const struct member_msg *msg,
		      uint64_t now);
static void handle_ack(struct member_table *t, const struct member_msg *msg,
		       struct outbox *out);
static void handle_ping_req(struct member_table *t,
			    const struct member_msg *msg, struct outbox *out);

/*
 * Does what is due at `now`; to be called every MEMBER_TICK_MS.  `rnd` is a
 * fresh random number.  Writes at most `max` messages, of which
 * MEMBER_OUT_MAX are enough, to `out` and returns their number.
 */
size_t member_tick(struct member_table *t, uint64_t now, uint64_t rnd,
		   struct member_msg *out, size_t max)
{
	struct outbox box = { .msgs = out, .max = max };

	note_pause(t, now);
	t->last_tick = now;
	if (t->urgent) {
		t->urgent = false;
		announce(t, pair_hash(rnd, 4), &box);
	}
	advance_probe(t, now, pair_hash(rnd, 1), &box);
	if (now >= t->next_period && !t->probe.active) {
		t->next_period = now + MEMBER_PERIOD_MS;
		bury_suspects(t, now);
		start_probe(t, now, pair_hash(rnd, 2), &box);
	}
	if (now >= t->next_reconnect) {
		t->next_reconnect = now + MEMBER_RECONNECT_MS;
		ping_one(t, CHOOSE_DEAD, pair_hash(rnd, 3), &box);
	}
	if (now >= t->next_backlog && t->n_hot > MEMBER_PIGGYBACK_MAX) {
		t->next_backlog = now + MEMBER_BACKLOG_MS;
		ping_one(t, CHOOSE_PEER, pair_hash(rnd, 5), &box);
	}
	return box.n;
}

/* Pings a random member without judging it by the answer. */
static void ping_one(struct member_table *t, enum choice choice, uint64_t rnd,
		     struct outbox *out)
{
	struct member *m = choose(t, choice, rnd);

	if (m)
		compose(t, out, MEMBER_PING, m->u.id, t->next_seq++);
}

/*
 * After a pause of our own nothing that we didn't hear counts against the
 * others: the probe at hand is dropped, and suspects get their time anew.
 */
static void note_pause(struct member_table *t, uint64_t now)
{
	size_t i;

	if (now <= t->last_tick + MEMBER_LATE_MS)
		return;
	t->pauses++;
	t->health = MEMBER_HEALTH_MAX;
	t->probe.active = false;
	for (i = 0; i < t->n; i++) {
		struct member *m = &t->members[i];

		if (m->u.state == MEMBER_SUSPECT)
			m->deadline =
				now + member_suspect_ms(t->n) * (1 + t->health);
	}
}

static void advance_probe(struct member_table *t, uint64_t now, uint64_t rnd,
			  struct outbox *out)
{
	struct member_probe *p = &t->probe;

	if (!p->active)
		return;
	if (now >= p->deadline) {
		fail_probe(t, now);
		return;
	}
	if (!p->indirect && now >= p->indirect_at) {
		p->indirect = true;
		ask_helpers(t, rnd, out);
	}
}

static void fail_probe(struct member_table *t, uint64_t now)
{
	struct member *m = member_lookup(t, t->probe.id);

	t->probe.active = false;
	if (!m || m->heard_at >= t->probe.started_at)
		return;
	if (t->health < MEMBER_HEALTH_MAX)
		t->health++;
	if (m->u.state == MEMBER_ALIVE || m->u.state == MEMBER_LEAVING) {
		t->suspicions++;
		member_set_state(t, m, MEMBER_SUSPECT, now);
	}
}

static void ask_helpers(struct member_table *t, uint64_t rnd,
			struct outbox *out)
{
	struct member_msg *msg;
	struct member *m;
	uint64_t asked[MEMBER_INDIRECT_PEERS] = { 0 };
	size_t i;
	size_t j;

	for (i = 0; i < MEMBER_INDIRECT_PEERS; i++) {
		m = choose(t, CHOOSE_PEER, pair_hash(rnd, i));
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

static void start_probe(struct member_table *t, uint64_t now, uint64_t rnd,
			struct outbox *out)
{
	struct member *m = choose(t, CHOOSE_PROBE, rnd);
	struct member_probe *p = &t->probe;

	if (!m)
		return;
	p->active = true;
	p->indirect = false;
	p->id = m->u.id;
	p->seq = t->next_seq++;
	p->started_at = now;
	p->indirect_at = now + MEMBER_ACK_TIMEOUT_MS * (1 + t->health);
	p->deadline = now + MEMBER_PERIOD_MS * (1 + t->health);
	compose(t, out, MEMBER_PING, p->id, p->seq);
}

static void bury_suspects(struct member_table *t, uint64_t now)
{
	size_t i;

	for (i = 0; i < t->n; i++) {
		struct member *m = &t->members[i];

		if (m->u.state != MEMBER_SUSPECT || now < m->deadline)
			continue;
		t->deaths++;
		member_set_state(t, m, MEMBER_DEAD, now);
	}
}

static bool matches(const struct member_table *t, const struct member *m,
		    enum choice choice)
{
	enum member_state state = m->u.state;

	if (m->u.id == t->self)
		return false;
	switch (choice) {
	case CHOOSE_PROBE:
		return state <= MEMBER_SUSPECT;
	case CHOOSE_PEER:
		return state == MEMBER_ALIVE || state == MEMBER_LEAVING;
	case CHOOSE_DEAD:
		return state == MEMBER_DEAD;
	}
	return false;
}

/* Returns a random member that matches, or NULL if none does. */
static struct member *choose(struct member_table *t, enum choice choice,
			     uint64_t rnd)
{
	struct member *m;
	size_t start;
	size_t i;

	for (i = 0; i < DRAWS_MAX; i++) {
		m = &t->members[pair_hash(rnd, i) % t->n];
		if (matches(t, m, choice))
			return m;
	}
	start = pair_hash(rnd, DRAWS_MAX) % t->n;
	for (i = 0; i < t->n; i++) {
		m = &t->members[(start + i) % t->n];
		if (matches(t, m, choice))
			return m;
	}
	return NULL;
}

/*
 * Appends a message with updates and returns it; NULL if there is no room.
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
 * Adds the latest updates that haven't been sent often enough.  The latest go
 * first so that news isn't held up by the backlog of a zone that came or went.
 * A receiver that we suspect or take for dead is told so, to let it refute
 * that.
 */
static void add_updates(struct member_table *t, struct member_msg *msg)
{
	struct member *best[MEMBER_PIGGYBACK_MAX];
	struct member *to = member_lookup(t, msg->to);
	size_t room = MEMBER_PIGGYBACK_MAX;
	size_t n;
	size_t i;

	if (to && to->u.state >= MEMBER_SUSPECT) {
		msg->updates[msg->n_updates++] = to->u;
		room--;
	}
	if (t->n_hot == 0)
		return;
	n = latest(t, msg->to, best, room);
	for (i = 0; i < n; i++) {
		msg->updates[msg->n_updates++] = best[i]->u;
		if (--best[i]->sends_left == 0)
			t->n_hot--;
	}
}

static size_t latest(struct member_table *t, uint64_t except,
		     struct member **best, size_t max)
{
	size_t n = 0;
	size_t i;
	size_t j;

	for (i = 0; i < t->n; i++) {
		struct member *m = &t->members[i];

		if (m->sends_left == 0 || m->u.id == except)
			continue;
		if (n == max && best[n - 1]->news > m->news)
			continue;
		if (n < max)
			n++;
		for (j = n - 1; j > 0 && best[j - 1]->news < m->news; j--)
			best[j] = best[j - 1];
		best[j] = m;
	}
	return n;
}

static bool valid(const struct member_msg *msg)
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
 * Takes in a message.  Sets `n_out` to the number of answers, at most `max`,
 * that it writes to `out`; one is enough.
 */
enum member_outcome member_receive(struct member_table *t,
				   const struct member_msg *msg, uint64_t now,
				   struct member_msg *out, size_t max,
				   size_t *n_out)
{
	struct outbox box = { .msgs = out, .max = max };

	*n_out = 0;
	if (!valid(msg))
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

/* One malformed update doesn't spoil the others. */
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
		sender->heard_at = now;
}

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

/* Probes `target` for another instance; its answer is passed on. */
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
 * Writes pings to MEMBER_ANNOUNCE_PEERS random peers, at most `max`, for news
 * that shouldn't wait for the next probe, such as a version of the
 * configuration.  Returns their number.
 */
size_t member_announce(struct member_table *t, uint64_t rnd,
		       struct member_msg *out, size_t max)
{
	struct outbox box = { .msgs = out, .max = max };

	announce(t, rnd, &box);
	return box.n;
}

static void announce(struct member_table *t, uint64_t rnd, struct outbox *out)
{
	size_t i;

	for (i = 0; i < MEMBER_ANNOUNCE_PEERS; i++)
		ping_one(t, CHOOSE_PEER, pair_hash(rnd, i), out);
}
