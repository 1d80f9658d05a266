/*
 * The member table: what an instance believes about the others.
 *
 * Updates carry an incarnation, which only the instance that they are about
 * increases; of two updates the one with the higher incarnation counts, and of
 * two with the same the one with the later state.  An instance that hears of
 * its own death refutes it by a higher incarnation.  The platform's instance
 * list lags: a line that says "leaving" counts at once, a listed instance that
 * was never heard is only a candidate for probes, and a dead one is forgotten
 * when it has been off the list for long.
 */
#include <assert.h>
#include <string.h>

#include "policy/member_internal.h"

static void take_update(struct member_table *t, struct member *m,
			const struct member_update *u, uint64_t now);
static void hear_of_self(struct member_table *t, const struct member_update *u,
			 uint64_t now);
static struct member *insert(struct member_table *t, uint64_t id);
static bool make_room(struct member_table *t);
static void remove_at(struct member_table *t, size_t i);
static size_t lower_bound(const struct member_table *t, uint64_t id);
static bool newer(const struct member_update *u, const struct member *m);
static enum member_outcome list_one(struct member_table *t,
				    const struct member_listing *l,
				    uint64_t now);
static void drop_unlisted(struct member_table *t, uint64_t now);
static unsigned int log2_up(size_t n);

/*
 * Starts a table that knows only the instance itself.  The incarnation in
 * `self` comes from the wall clock at the start of the process, so that a
 * restarted instance goes before its former self.
 */
void member_init(struct member_table *t, const struct member_update *self,
		 uint64_t now)
{
	struct member *m;

	memset(t, 0, sizeof(*t));
	t->self = self->id;
	t->next_seq = 1;
	t->last_tick = now;
	t->next_period = now;
	t->next_reconnect = now + MEMBER_RECONNECT_MS;
	m = insert(t, self->id);
	m->u = *self;
	m->u.state = MEMBER_ALIVE;
	m->since = now;
	m->heard_at = now;
	t->config_seen = self->config_version;
	t->config_seen_at = self->id;
	member_send_update(t, m);
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

struct member *member_lookup(struct member_table *t, uint64_t id)
{
	size_t i = lower_bound(t, id);

	if (i == t->n || t->members[i].u.id != id)
		return NULL;
	return &t->members[i];
}

/* The table always holds the instance itself. */
struct member *member_self(struct member_table *t)
{
	struct member *m = member_lookup(t, t->self);

	assert(m);
	return m;
}

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

/* Returns a new member without state; NULL if the table is full. */
static struct member *insert(struct member_table *t, uint64_t id)
{
	size_t i;

	if (t->n == MEMBER_MAX && !make_room(t))
		return NULL;
	i = lower_bound(t, id);
	memmove(&t->members[i + 1], &t->members[i],
		(t->n - i) * sizeof(t->members[0]));
	memset(&t->members[i], 0, sizeof(t->members[i]));
	t->members[i].u.id = id;
	t->n++;
	return &t->members[i];
}

/* Forgets the unlisted member that has been dead for longest. */
static bool make_room(struct member_table *t)
{
	size_t best = t->n;
	size_t i;

	for (i = 0; i < t->n; i++) {
		const struct member *m = &t->members[i];

		if (m->u.state < MEMBER_DEAD || m->listed)
			continue;
		if (best == t->n || m->since < t->members[best].since)
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
		t->n_hot--;
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
 * Has the member's update sent with the next messages.  What is new about this
 * instance itself is in each message anyway.
 */
void member_send_update(struct member_table *t, struct member *m)
{
	if (m->u.id == t->self)
		return;
	if (m->sends_left == 0)
		t->n_hot++;
	m->news = ++t->n_news;
	m->sends_left = MEMBER_RETRANSMIT * (1 + log2_up(t->n));
}

/*
 * Tells whether callers and work may be sent to the member.  A suspect still
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
 * Returns how long a member of a fleet of `n` stays suspect before it is taken
 * for dead, in milliseconds.
 */
uint64_t member_suspect_ms(size_t n)
{
	unsigned int log10_up = 1;

	for (; n > 10; n /= 10)
		log10_up++;
	return (uint64_t)MEMBER_SUSPECT_PERIODS * MEMBER_PERIOD_MS * log10_up;
}

/* Puts a member into a state and starts to tell the others. */
void member_set_state(struct member_table *t, struct member *m,
		      enum member_state state, uint64_t now)
{
	if (m->u.state != state) {
		m->u.state = state;
		m->since = now;
		t->serving_epoch++;
	}
	if (state == MEMBER_SUSPECT)
		m->deadline = now + member_suspect_ms(t->n) * (1 + t->health);
	if (state == MEMBER_LEAVING)
		m->leaving = true;
	if (state == MEMBER_ALIVE)
		m->leaving = false;
	member_send_update(t, m);
}

static bool newer(const struct member_update *u, const struct member *m)
{
	if (u->incarnation != m->u.incarnation)
		return u->incarnation > m->u.incarnation;
	return u->state > m->u.state;
}

bool member_update_valid(const struct member_update *u)
{
	return u->id != 0 && u->state >= MEMBER_ALIVE &&
	       u->state <= MEMBER_LEFT &&
	       u->incarnation < MEMBER_INCARNATION_MAX;
}

/*
 * Takes in what another instance says about a member.
 */
enum member_outcome member_merge(struct member_table *t,
				 const struct member_update *u, uint64_t now)
{
	struct member *m;

	if (!member_update_valid(u))
		return MEMBER_MALFORMED;
	if (u->id == t->self) {
		hear_of_self(t, u, now);
		return MEMBER_OK;
	}
	m = member_lookup(t, u->id);
	if (!m) {
		/* Whoever is gone already needn't be remembered. */
		if (u->state >= MEMBER_DEAD)
			return MEMBER_OK;
		m = insert(t, u->id);
		if (!m)
			return MEMBER_TABLE_FULL;
		m->unlisted_at = now;
	}
	if (newer(u, m))
		take_update(t, m, u, now);
	if (u->config_version > m->u.config_version)
		m->u.config_version = u->config_version;
	member_see_config(t, u->config_version, u->id);
	return MEMBER_OK;
}

static void take_update(struct member_table *t, struct member *m,
			const struct member_update *u, uint64_t now)
{
	bool new_process = u->incarnation > m->u.incarnation &&
			   u->state == MEMBER_ALIVE;

	m->u.incarnation = u->incarnation;
	m->u.addr = u->addr;
	/* A suspect that was leaving is still leaving. */
	if (new_process)
		m->leaving = false;
	member_set_state(t, m, u->state, now);
	if (u->state == MEMBER_LEAVING || u->state == MEMBER_LEFT)
		t->urgent = true;
}

/*
 * Refutes what is said about this instance unless it is true.  A higher
 * incarnation than ours comes from a former process of this instance whose
 * wall clock was ahead.
 */
static void hear_of_self(struct member_table *t, const struct member_update *u,
			 uint64_t now)
{
	struct member *self = member_self(t);

	if (!newer(u, self))
		return;
	self->u.incarnation = u->incarnation + 1;
	if (u->state >= MEMBER_SUSPECT) {
		t->false_suspicions++;
		if (t->health < MEMBER_HEALTH_MAX)
			t->health++;
	}
	self->heard_at = now;
	member_send_update(t, self);
}

/* Notes the highest version of the configuration and who has it. */
void member_see_config(struct member_table *t, uint64_t version, uint64_t id)
{
	if (version <= t->config_seen)
		return;
	t->config_seen = version;
	t->config_seen_at = id;
}

/*
 * Tells the table which version of the configuration is in force here.
 */
void member_set_config(struct member_table *t, uint64_t version)
{
	struct member *self = member_self(t);

	assert(version >= self->u.config_version);
	self->u.config_version = version;
	member_see_config(t, version, t->self);
}

/*
 * Announces, from the next tick on, that this instance is leaving
 * (MEMBER_LEAVING) or has left (MEMBER_LEFT).  There is no way back.
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
 * Takes in the platform's instance list, of `n` lines, as just read.
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
		enum member_outcome one = list_one(t, &list[i], now);

		if (one != MEMBER_OK)
			outcome = one;
	}
	drop_unlisted(t, now);
	return outcome;
}

static enum member_outcome list_one(struct member_table *t,
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
		m->since = now;
	}
	if (m->u.state == MEMBER_UNKNOWN)
		m->u.addr = l->addr;
	served = member_serves(m);
	m->listed = true;
	m->unlisted_at = 0;
	m->listed_leaving = l->leaving;
	if (l->leaving && m->u.id == t->self)
		member_leave(t, MEMBER_LEAVING, now);
	if (served != member_serves(m))
		t->serving_epoch++;
	return MEMBER_OK;
}

/* Forgets those that are off the list for long and not heard either. */
static void drop_unlisted(struct member_table *t, uint64_t now)
{
	size_t i = 0;

	while (i < t->n) {
		struct member *m = &t->members[i++];

		if (m->listed || m->u.id == t->self)
			continue;
		if (m->unlisted_at == 0)
			m->unlisted_at = now;
		if (m->u.state == MEMBER_UNKNOWN ||
		    (m->u.state >= MEMBER_DEAD &&
		     now - m->unlisted_at >= MEMBER_FORGET_MS &&
		     now - m->since >= MEMBER_FORGET_MS))
			remove_at(t, --i);
	}
}

/*
 * Copies the updates of up to `max` members, from index `from` on, for a
 * newcomer that asks for the whole table.  Returns their number; 0 at the end.
 * Members only known from the list are left out.
 */
size_t member_fill(const struct member_table *t, size_t *from,
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
 * Returns a state's name for people.
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
