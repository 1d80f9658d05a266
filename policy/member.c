/*
 * The member table: an instance's view of the other instances.
 *
 * Each update carries an incarnation, which only the instance that it describes
 * increases.  The update with the higher incarnation takes precedence; at equal
 * incarnations, the one with the later state.  An instance that receives an
 * update that declares it dead refutes it with a higher incarnation.  The
 * platform's instance list lags: an entry marked as leaving takes effect at
 * once, a listed instance that has sent no message is only a candidate for
 * probes, and a dead one is forgotten after MEMBER_FORGET_MS off the list.
 */
#include <assert.h>
#include <string.h>

#include "policy/member_internal.h"

static void apply_update(struct member_table *t, struct member *m,
			 const struct member_update *u, uint64_t now);
static void refute_update(struct member_table *t, const struct member_update *u,
			  uint64_t now);
static struct member *insert(struct member_table *t, uint64_t id);
static bool evict_dead(struct member_table *t);
static void remove_at(struct member_table *t, size_t i);
static size_t lower_bound(const struct member_table *t, uint64_t id);
static bool supersedes(const struct member_update *u, const struct member *m);
static enum member_outcome apply_list_entry(struct member_table *t,
					    const struct member_listing *l,
					    uint64_t now);
static void forget_unlisted(struct member_table *t, uint64_t now);
static unsigned int log2_up(size_t n);

/*
 * Initialises a table that holds only the instance itself.  The incarnation in
 * `self` is the wall clock at the start of the process, so that updates of a
 * restarted instance supersede those of its former process.
 */
void member_init(struct member_table *t, const struct member_update *self,
		 uint64_t now)
{
	struct member *m;

	memset(t, 0, sizeof(*t));
	t->self = self->id;
	t->next_seq = 1;
	t->last_tick_ms = now;
	t->next_period_ms = now;
	t->next_reconnect_ms = now + MEMBER_RECONNECT_MS;
	m = insert(t, self->id);
	m->u = *self;
	m->u.state = MEMBER_ALIVE;
	m->state_since_ms = now;
	m->last_seen_ms = now;
	t->latest_config = self->config_version;
	t->latest_config_holder = self->id;
	member_queue_update(t, m);
}

/*
 * Returns the member with this id, or NULL.
 */
const struct member *member_find(const struct member_table *t, uint64_t id)
{
	size_t i = lower_bound(t, id);

	if (i == t->n || t->members[i].u.id != id)
		return NULL;
	return &t->members[i];
}

/*
 * Returns the member with this id for modification, or NULL.
 */
struct member *member_lookup(struct member_table *t, uint64_t id)
{
	size_t i = lower_bound(t, id);

	if (i == t->n || t->members[i].u.id != id)
		return NULL;
	return &t->members[i];
}

/*
 * Returns the entry of the instance itself, which is always in the table.
 */
struct member *member_self(struct member_table *t)
{
	struct member *m = member_lookup(t, t->self);

	assert(m);
	return m;
}

/* Returns the index of the first member whose id is at least `id`. */
static size_t lower_bound(const struct member_table *t, uint64_t id)
{
	size_t lo = 0;
	size_t hi = t->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (t->members[mid].u.id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Inserts a zeroed member and returns it; NULL if the table is full. */
static struct member *insert(struct member_table *t, uint64_t id)
{
	size_t i;

	if (t->n == MEMBER_MAX && !evict_dead(t))
		return NULL;
	i = lower_bound(t, id);
	memmove(&t->members[i + 1], &t->members[i],
		(t->n - i) * sizeof(t->members[0]));
	memset(&t->members[i], 0, sizeof(t->members[i]));
	t->members[i].u.id = id;
	t->n++;
	return &t->members[i];
}

/* Removes the unlisted member that has been dead for longest, if any. */
static bool evict_dead(struct member_table *t)
{
	size_t best = t->n;
	size_t i;

	for (i = 0; i < t->n; i++) {
		const struct member *m = &t->members[i];

		if (m->u.state < MEMBER_DEAD || m->listed)
			continue;
		if (best == t->n ||
		    m->state_since_ms < t->members[best].state_since_ms)
			best = i;
	}
	if (best == t->n)
		return false;
	remove_at(t, best);
	return true;
}

static void remove_at(struct member_table *t, size_t i)
{
	assert(t->members[i].u.id != t->self);
	if (t->members[i].sends_left > 0)
		t->n_pending--;
	t->n--;
	memmove(&t->members[i], &t->members[i + 1],
		(t->n - i) * sizeof(t->members[0]));
}

static unsigned int log2_up(size_t n)
{
	unsigned int bits = 0;

	while ((size_t)1 << bits < n)
		bits++;
	return bits;
}

/*
 * Queues the member's update for the next messages.  The update about this
 * instance itself is in every message anyway.
 */
void member_queue_update(struct member_table *t, struct member *m)
{
	if (m->u.id == t->self)
		return;
	if (m->sends_left == 0)
		t->n_pending++;
	m->update_order = ++t->n_updates;
	m->sends_left = MEMBER_RETRANSMIT_FACTOR * (1 + log2_up(t->n));
}

/*
 * Returns whether callers and work may be sent to the member.  A suspect still
 * serves, since suspicions are often refuted.
 */
bool member_serves(const struct member *m)
{
	if (m->leaving || m->listed_leaving)
		return false;
	return m->u.state == MEMBER_ALIVE || m->u.state == MEMBER_SUSPECT;
}

/*
 * Returns the number of members that serve.
 */
size_t member_count_serving(const struct member_table *t)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < t->n; i++)
		n += member_serves(&t->members[i]);
	return n;
}

/*
 * Returns how long a member of a fleet of `n` stays suspect before it is
 * declared dead, in milliseconds.
 */
uint64_t member_suspect_ms(size_t n)
{
	unsigned int log10_up = 1;

	for (; n > 10; n /= 10)
		log10_up++;
	return (uint64_t)MEMBER_SUSPECT_FACTOR * MEMBER_PERIOD_MS * log10_up;
}

/*
 * Sets a member's state and queues its update.
 */
void member_set_state(struct member_table *t, struct member *m,
		      enum member_state state, uint64_t now)
{
	if (m->u.state != state) {
		m->u.state = state;
		m->state_since_ms = now;
		t->serving_epoch++;
	}
	if (state == MEMBER_SUSPECT)
		m->suspect_deadline_ms =
			now + member_suspect_ms(t->n) * (1 + t->health);
	if (state == MEMBER_LEAVING)
		m->leaving = true;
	if (state == MEMBER_ALIVE)
		m->leaving = false;
	member_queue_update(t, m);
}

/* Returns whether `u` takes precedence over what is known of `m`. */
static bool supersedes(const struct member_update *u, const struct member *m)
{
	if (u->incarnation != m->u.incarnation)
		return u->incarnation > m->u.incarnation;
	return u->state > m->u.state;
}

/*
 * Returns whether the fields of an update are in range.
 */
bool member_update_valid(const struct member_update *u)
{
	return u->id != 0 && u->state >= MEMBER_ALIVE &&
	       u->state <= MEMBER_LEFT &&
	       u->incarnation < MEMBER_INCARNATION_MAX;
}

/*
 * Merges an update that another instance has sent.
 */
enum member_outcome member_merge(struct member_table *t,
				 const struct member_update *u, uint64_t now)
{
	struct member *m;

	if (!member_update_valid(u))
		return MEMBER_MALFORMED;
	if (u->id == t->self) {
		refute_update(t, u, now);
		return MEMBER_OK;
	}
	m = member_lookup(t, u->id);
	if (!m) {
		/* Members that are already gone aren't added. */
		if (u->state >= MEMBER_DEAD)
			return MEMBER_OK;
		m = insert(t, u->id);
		if (!m)
			return MEMBER_TABLE_FULL;
		m->unlisted_since_ms = now;
	}
	if (supersedes(u, m))
		apply_update(t, m, u, now);
	if (u->config_version > m->u.config_version)
		m->u.config_version = u->config_version;
	member_note_config(t, u->config_version, u->id);
	return MEMBER_OK;
}

/* Replaces what is known of `m` by `u`, which supersedes it. */
static void apply_update(struct member_table *t, struct member *m,
			 const struct member_update *u, uint64_t now)
{
	bool new_process = u->incarnation > m->u.incarnation &&
			   u->state == MEMBER_ALIVE;

	m->u.incarnation = u->incarnation;
	m->u.addr = u->addr;
	/* A leaving member stays so while suspect. */
	if (new_process)
		m->leaving = false;
	member_set_state(t, m, u->state, now);
	if (u->state == MEMBER_LEAVING || u->state == MEMBER_LEFT)
		t->urgent = true;
}

/*
 * Refutes an update about this instance that supersedes its own.  An update
 * with a higher incarnation comes from a former process of this instance whose
 * wall clock was ahead.
 */
static void refute_update(struct member_table *t, const struct member_update *u,
			  uint64_t now)
{
	struct member *self = member_self(t);

	if (!supersedes(u, self))
		return;
	self->u.incarnation = u->incarnation + 1;
	if (u->state >= MEMBER_SUSPECT) {
		t->false_suspicions++;
		if (t->health < MEMBER_HEALTH_MAX)
			t->health++;
	}
	self->last_seen_ms = now;
	member_queue_update(t, self);
}

/*
 * Records the highest announced configuration version and a member that has it.
 */
void member_note_config(struct member_table *t, uint64_t version, uint64_t id)
{
	if (version <= t->latest_config)
		return;
	t->latest_config = version;
	t->latest_config_holder = id;
}

/*
 * Sets the configuration version in force on this instance.
 */
void member_set_config(struct member_table *t, uint64_t version)
{
	struct member *self = member_self(t);

	assert(version >= self->u.config_version);
	self->u.config_version = version;
	member_note_config(t, version, t->self);
}

/*
 * Announces, from the next tick on, that this instance is leaving
 * (MEMBER_LEAVING) or has left (MEMBER_LEFT).  This can't be undone.
 */
void member_leave(struct member_table *t, enum member_state state, uint64_t now)
{
	struct member *self = member_self(t);

	assert(state == MEMBER_LEAVING || state == MEMBER_LEFT);
	if (self->u.state >= state)
		return;
	self->u.incarnation++;
	member_set_state(t, self, state, now);
	t->urgent = true;
}

/*
 * Applies the platform's instance list of `n` entries.  Returns MEMBER_OK, or
 * the outcome of the last entry that couldn't be applied.
 */
enum member_outcome member_list(struct member_table *t,
				const struct member_listing *list, size_t n,
				uint64_t now)
{
	enum member_outcome outcome = MEMBER_OK;
	size_t i;

	for (i = 0; i < t->n; i++)
		t->members[i].listed = false;
	for (i = 0; i < n; i++) {
		enum member_outcome one = apply_list_entry(t, &list[i], now);

		if (one != MEMBER_OK)
			outcome = one;
	}
	forget_unlisted(t, now);
	return outcome;
}

static enum member_outcome apply_list_entry(struct member_table *t,
					    const struct member_listing *l,
					    uint64_t now)
{
	struct member *m;
	bool served;

	if (l->id == 0)
		return MEMBER_MALFORMED;
	m = member_lookup(t, l->id);
	if (!m) {
		m = insert(t, l->id);
		if (!m)
			return MEMBER_TABLE_FULL;
		m->state_since_ms = now;
	}
	if (m->u.state == MEMBER_UNKNOWN)
		m->u.addr = l->addr;
	served = member_serves(m);
	m->listed = true;
	m->unlisted_since_ms = 0;
	m->listed_leaving = l->leaving;
	if (l->leaving && m->u.id == t->self)
		member_leave(t, MEMBER_LEAVING, now);
	if (served != member_serves(m))
		t->serving_epoch++;
	return MEMBER_OK;
}

/*
 * Removes unlisted members that have sent no message or have been dead and off
 * the list for MEMBER_FORGET_MS.
 */
static void forget_unlisted(struct member_table *t, uint64_t now)
{
	size_t i = 0;

	while (i < t->n) {
		struct member *m = &t->members[i++];

		if (m->listed || m->u.id == t->self)
			continue;
		if (m->unlisted_since_ms == 0)
			m->unlisted_since_ms = now;
		if (m->u.state == MEMBER_UNKNOWN ||
		    (m->u.state >= MEMBER_DEAD &&
		     now - m->unlisted_since_ms >= MEMBER_FORGET_MS &&
		     now - m->state_since_ms >= MEMBER_FORGET_MS))
			remove_at(t, --i);
	}
}

/*
 * Copies the updates of up to `max` members, from index `from` on, for a new
 * instance that requests the whole table.  Advances `from` and returns the
 * number of updates; 0 at the end.  Members known only from the list are left
 * out.
 */
size_t member_copy_updates(const struct member_table *t, size_t *from,
			   struct member_update *out, size_t max)
{
	size_t n = 0;

	for (; *from < t->n && n < max; (*from)++) {
		if (t->members[*from].u.state != MEMBER_UNKNOWN)
			out[n++] = t->members[*from].u;
	}
	return n;
}

/*
 * Returns the name of a state, for display.
 */
const char *member_state_name(enum member_state state)
{
	static const char *const names[] = {
		[MEMBER_UNKNOWN] = "unknown", [MEMBER_ALIVE] = "alive",
		[MEMBER_LEAVING] = "leaving", [MEMBER_SUSPECT] = "suspect",
		[MEMBER_DEAD] = "dead",	      [MEMBER_LEFT] = "left",
	};

	if ((unsigned int)state >= sizeof(names) / sizeof(names[0]))
		return "invalid";
	return names[state];
}
