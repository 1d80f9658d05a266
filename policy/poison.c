/*
 * Requests that end each endpoint that runs them, and come again.
 *
 * A content is suspected once endpoints have ended under three runs of it, one
 * after the other, and no run of it has come to its end lately: neither since the
 * first of these began nor for a while before.  A run that ends well shows that the
 * content does not end each endpoint, so that a lookup which runs everywhere, and
 * is there whenever an endpoint ends, is not refused.  Of runs at the same time
 * only one counts: a rack or zone that is lost ends all of them at once.
 *
 * A suspected content is held until all ends of the moment are told.  If it then
 * stands out, as no other has as many strikes and was there at its last end, it is
 * refused, and what ended under it counts against no other.  Those that are even
 * run on until one stands out, or has so many strikes that it is refused in any
 * case.  So does what many callers ask for at once; of its strikes only those count
 * that lie apart, so that the loss of a whole service refuses nothing, and it is
 * tried again soon.
 *
 * A refusal lapses.  The next run is then a trial: one more end, and it is
 * refused for much longer.  The first refusal is short, so that a content which is
 * refused wrongly is back soon; they grow so that few trials are made of the others.
 *
 * Answers the pattern of a caller that sends such a request again and again, to
 * one instance after the other, with a new id each time.
 */
#include "policy/poison.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/pair_hash.h"

#define WAYS 8 /* records among which a content has its place */

/* Times that others tell are off by up to this: a run that goes on elsewhere was
 * sent in the moment of its endpoint's end. */
#define TOLD_MS 10

/* Instances learn of an endpoint's end within this time of each other. */
#define SAME_END_MS 2000

/* Endpoints that are lost together are found lost within this time. */
#define MOMENT_MS 250

/* When a run of a content ended well. */
struct ran {
	uint64_t content;
	uint64_t at_ms;
};

struct poison {
	struct poison_params params;
	struct poison_record *records;
	size_t n_sets;
	struct ran *ran;
	size_t n_ran;
	uint64_t decide_ms; /* some record may be decided on then; 0: none */
};

const struct poison_params poison_defaults = {
	.records_max = 1024,
	.ran_max = 4096,
	.ran_ms = 30000,
	.apart_ms = 1000,
	.settle_ms = 100,
	.suspected_ms = 3600000,
	.refused_ms = 8000,
	.refused_many_ms = 2000,
	.refused_factor = 8,
	.refused_max_ms = 86400000,
};

static size_t power_of_two(size_t least);
static struct poison_record *set_of(const struct poison *p, uint64_t content);
static struct poison_record *held(const struct poison *p, uint64_t content);
static struct poison_record *find(const struct poison *p, uint64_t content,
				  uint64_t now);
static struct poison_record *find_or_add(struct poison *p, uint64_t content,
					 uint64_t now);
static bool goes_before(const struct poison_record *a,
			const struct poison_record *b, uint64_t now);
static bool ran_since(const struct poison *p, uint64_t content,
		      uint64_t since_ms);
static bool is_known(const struct poison_record *r,
		     const struct poison_strike *strike);
static bool at_the_same_time(const struct poison_record *r,
			     const struct poison_strike *strike);
static void insert(struct poison_record *r, const struct poison_strike *strike);
static bool many_ask_for(const struct poison_record *r);
static bool in_the_same_moment(const struct poison_record *r,
			       const struct poison_strike *strike);
static void drop_close(const struct poison *p, struct poison_record *r);
static bool stands_out(const struct poison *p, const struct poison_record *r,
		       uint64_t now);
static uint64_t apart_ms(const struct poison_strike *a,
			 const struct poison_strike *b);
static bool same_end(const struct poison_strike *a,
		     const struct poison_strike *b);
static bool was_there(const struct poison_record *r,
		      const struct poison_strike *end);
static void explain(struct poison *p, const struct poison_record *refused);
static void refuse(struct poison *p, struct poison_record *r, uint64_t now);
static void lapse(struct poison_record *r, uint64_t now);

/* Makes empty tables. */
struct poison *poison_new(const struct poison_params *params)
{
	struct poison *p = xcalloc(1, sizeof(*p));

	p->params = *params;
	p->n_sets = power_of_two(params->records_max) / WAYS;
	if (!p->n_sets)
		p->n_sets = 1;
	p->n_ran = power_of_two(params->ran_max);
	p->records = xcalloc(p->n_sets * WAYS, sizeof(*p->records));
	p->ran = xcalloc(p->n_ran, sizeof(*p->ran));
	return p;
}

/* Frees the tables; NULL is allowed. */
void poison_free(struct poison *p)
{
	if (!p)
		return;
	free(p->records);
	free(p->ran);
	free(p);
}

/* An endpoint ended under a run.  Returns false if that was counted before, or
 * counts for nothing. */
bool poison_strike(struct poison *p, uint64_t content,
		   const struct poison_strike *strike, uint64_t now)
{
	struct poison_record *r;

	if (ran_since(p, content, strike->sent_ms))
		return false;
	r = find_or_add(p, content, now);
	lapse(r, now);
	if (r->refused_until_ms || r->n == POISON_STRIKES_MAX ||
	    is_known(r, strike))
		return false;
	if (at_the_same_time(r, strike) || was_there(r, strike)) {
		r->beside += in_the_same_moment(r, strike);
		return false;
	}
	insert(r, strike);
	r->struck_ms = now;
	r->decided = false;
	r->expires_ms = now + p->params.suspected_ms;
	if (r->n >= POISON_STRIKES && !p->decide_ms)
		p->decide_ms = now + p->params.settle_ms;
	return true;
}

/* Decides on suspected contents whose time to be compared has come.  Returns one
 * that is refused from now on, or NULL if there is no further one. */
const struct poison_record *poison_decide(struct poison *p, uint64_t now)
{
	struct poison_record *r;

	if (!p->decide_ms || now < p->decide_ms)
		return NULL;
	p->decide_ms = 0;
	for (r = p->records; r < p->records + p->n_sets * WAYS; r++) {
		if (!r->content || r->n < POISON_STRIKES || r->decided ||
		    r->expires_ms <= now)
			continue;
		if (now < r->struck_ms + p->params.settle_ms) {
			p->decide_ms = r->struck_ms + p->params.settle_ms;
			continue;
		}
		r->decided = true;
		if (many_ask_for(r))
			drop_close(p, r);
		if (r->n < POISON_STRIKES_MAX &&
		    (many_ask_for(r) || !stands_out(p, r, now)))
			continue;
		refuse(p, r, now);
		p->decide_ms = now; /* for the others */
		return r;
	}
	return NULL;
}

/* Tells whether a request of the content may be sent to an endpoint. */
enum poison_verdict poison_judge(struct poison *p, uint64_t content,
				 uint64_t now)
{
	struct poison_record *r = find(p, content, now);

	if (!r)
		return POISON_RUN;
	lapse(r, now);
	if (r->refused_until_ms)
		return POISON_REFUSE;
	return r->n >= POISON_STRIKES && !r->decided ? POISON_HOLD : POISON_RUN;
}

/* A run of the content has come to its end.  Returns true if something was held
 * against the content, which is forgotten. */
bool poison_ran(struct poison *p, uint64_t content, uint64_t now)
{
	struct ran *ran = &p->ran[content & (p->n_ran - 1)];

	ran->content = content;
	ran->at_ms = now;
	return poison_clear(p, content);
}

/* Another instance refuses the content for left_ms more, since runs that began
 * at since_ms.  Returns false if a run of it has come to its end here since or
 * shortly before: the content is not refused, and the others are to be told. */
bool poison_refuse(struct poison *p, uint64_t content, uint64_t since_ms,
		   uint64_t left_ms, uint64_t now)
{
	struct poison_record *r;

	if (ran_since(p, content, since_ms))
		return false;
	if (left_ms > p->params.refused_max_ms)
		left_ms = p->params.refused_max_ms;
	r = find_or_add(p, content, now);
	if (!r->n)
		insert(r, &(struct poison_strike){ .sent_ms = since_ms,
						   .ended_ms = since_ms });
	if (now + left_ms > r->refused_until_ms)
		r->refused_until_ms = now + left_ms;
	r->decided = true;
	r->expires_ms = r->refused_until_ms + p->params.suspected_ms;
	explain(p, r);
	return true;
}

/* Forgets what is held against a content; true if there was something. */
bool poison_clear(struct poison *p, uint64_t content)
{
	struct poison_record *r = held(p, content);

	if (r)
		*r = (struct poison_record){ 0 };
	return r != NULL;
}

/* Returns for how long the content is still refused, ms; 0 if it is not. */
uint64_t poison_refused_ms(struct poison *p, uint64_t content, uint64_t now)
{
	struct poison_record *r = find(p, content, now);

	if (!r)
		return 0;
	lapse(r, now);
	return r->refused_until_ms ? r->refused_until_ms - now : 0;
}

/* Returns what is held against a content, or NULL. */
const struct poison_record *poison_find(const struct poison *p,
					uint64_t content, uint64_t now)
{
	return find(p, content, now);
}

/* Goes through the contents that are refused; begin with *index 0. */
const struct poison_record *poison_next_refused(const struct poison *p,
						uint64_t now, size_t *index)
{
	while (*index < p->n_sets * WAYS) {
		const struct poison_record *r = &p->records[(*index)++];

		if (r->content && r->refused_until_ms > now)
			return r;
	}
	return NULL;
}

/* Orders instances for a content: those of the largest weights keep the records
 * of it, the same for all who know the same instances. */
uint64_t poison_weight(uint64_t content, uint64_t instance)
{
	return pair_hash(content, instance);
}

/* Returns the least power of two that is not below a number. */
static size_t power_of_two(size_t least)
{
	size_t n = 1;

	while (n < least)
		n *= 2;
	return n;
}

/* Returns the records where a content has its place. */
static struct poison_record *set_of(const struct poison *p, uint64_t content)
{
	return &p->records[(content & (p->n_sets - 1)) * WAYS];
}

/* Returns the record of a content, in force or expired, or NULL. */
static struct poison_record *held(const struct poison *p, uint64_t content)
{
	struct poison_record *set = set_of(p, content);
	int i;

	for (i = 0; i < WAYS; i++)
		if (set[i].content == content)
			return &set[i];
	return NULL;
}

/* Returns the record of a content, or NULL if there is none in force. */
static struct poison_record *find(const struct poison *p, uint64_t content,
				  uint64_t now)
{
	struct poison_record *r = held(p, content);

	return r && r->expires_ms > now ? r : NULL;
}

/* Returns the record of a content; a new one takes the place of the one that is
 * missed least. */
static struct poison_record *find_or_add(struct poison *p, uint64_t content,
					 uint64_t now)
{
	struct poison_record *r = find(p, content, now);
	struct poison_record *set = set_of(p, content);
	int i;

	if (r)
		return r;
	poison_clear(p, content); /* one that has expired */
	r = set;
	for (i = 1; i < WAYS; i++)
		if (goes_before(&set[i], r, now))
			r = &set[i];
	*r = (struct poison_record){ .content = content };
	return r;
}

/* Orders records by how soon they may be dropped for another. */
static bool goes_before(const struct poison_record *a,
			const struct poison_record *b, uint64_t now)
{
	bool a_holds = a->content && a->expires_ms > now;
	bool b_holds = b->content && b->expires_ms > now;

	if (a_holds != b_holds)
		return b_holds;
	if ((a->refused_until_ms > now) != (b->refused_until_ms > now))
		return b->refused_until_ms > now;
	if (a->n != b->n)
		return a->n < b->n;
	return a->expires_ms < b->expires_ms;
}

/* Tells whether a run of the content has come to its end since then, or lately
 * before. */
static bool ran_since(const struct poison *p, uint64_t content,
		      uint64_t since_ms)
{
	const struct ran *ran = &p->ran[content & (p->n_ran - 1)];

	return ran->content == content &&
	       ran->at_ms + p->params.ran_ms >= since_ms;
}

/* Tells whether a strike was told before. */
static bool is_known(const struct poison_record *r,
		     const struct poison_strike *strike)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		if (r->strikes[i].id == strike->id)
			return true;
	return false;
}

/* Tells whether the run of a strike went on beside that of one that counts. */
static bool at_the_same_time(const struct poison_record *r,
			     const struct poison_strike *strike)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		if (strike->sent_ms + TOLD_MS < r->strikes[i].ended_ms &&
		    r->strikes[i].sent_ms + TOLD_MS < strike->ended_ms)
			return true;
	return false;
}

/* Puts a strike in its place; the record has room for it. */
static void insert(struct poison_record *r, const struct poison_strike *strike)
{
	uint32_t i;

	for (i = r->n++; i && r->strikes[i - 1].sent_ms > strike->sent_ms; i--)
		r->strikes[i] = r->strikes[i - 1];
	r->strikes[i] = *strike;
}

/* Tells whether runs of the content end at several endpoints at once.  Those of a
 * caller that sends its request again end one after the other. */
static bool many_ask_for(const struct poison_record *r)
{
	return r->beside >= r->n;
}

/* Tells whether a run ended in the moment of a strike, at another endpoint. */
static bool in_the_same_moment(const struct poison_record *r,
			       const struct poison_strike *strike)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		if (r->strikes[i].endpoint != strike->endpoint &&
		    apart_ms(&r->strikes[i], strike) < MOMENT_MS)
			return true;
	return false;
}

/* Leaves of strikes that are close to each other the first. */
static void drop_close(const struct poison *p, struct poison_record *r)
{
	uint32_t left = 0;
	uint32_t i;

	for (i = 0; i < r->n; i++)
		if (!left ||
		    r->strikes[i].ended_ms >=
			    r->strikes[left - 1].ended_ms + p->params.apart_ms)
			r->strikes[left++] = r->strikes[i];
	r->n = left;
}

/* Tells whether no other content has as many strikes and was there at the last
 * end of this one. */
static bool stands_out(const struct poison *p, const struct poison_record *r,
		       uint64_t now)
{
	const struct poison_strike *last = &r->strikes[r->n - 1];
	const struct poison_record *o;

	for (o = p->records; o < p->records + p->n_sets * WAYS; o++)
		if (o != r && o->content && o->expires_ms > now &&
		    !o->refused_until_ms && o->n >= r->n && was_there(o, last))
			return false;
	return true;
}

/* Returns the time between the ends of two runs. */
static uint64_t apart_ms(const struct poison_strike *a,
			 const struct poison_strike *b)
{
	return a->ended_ms > b->ended_ms ? a->ended_ms - b->ended_ms
					 : b->ended_ms - a->ended_ms;
}

/* Tells whether two runs were cut off by the same end of an endpoint. */
static bool same_end(const struct poison_strike *a,
		     const struct poison_strike *b)
{
	return a->endpoint == b->endpoint && apart_ms(a, b) < SAME_END_MS;
}

/* Tells whether a run of a content was cut off by an end. */
static bool was_there(const struct poison_record *r,
		      const struct poison_strike *end)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		if (same_end(&r->strikes[i], end))
			return true;
	return false;
}

/* What ended under a refused content counts against no other. */
static void explain(struct poison *p, const struct poison_record *refused)
{
	struct poison_record *o;
	uint32_t i;

	for (o = p->records; o < p->records + p->n_sets * WAYS; o++) {
		uint32_t left = 0;

		if (o == refused || !o->content || o->refused_until_ms)
			continue;
		for (i = 0; i < o->n; i++)
			if (!was_there(refused, &o->strikes[i]))
				o->strikes[left++] = o->strikes[i];
		o->n = left;
		if (!left)
			*o = (struct poison_record){ 0 };
	}
}

/* Refuses a content for a time that grows with each refusal. */
static void refuse(struct poison *p, struct poison_record *r, uint64_t now)
{
	uint64_t ms = many_ask_for(r) ? p->params.refused_many_ms
				      : p->params.refused_ms;
	uint32_t i;

	for (i = 0; i < r->refusals && ms < p->params.refused_max_ms; i++)
		ms *= p->params.refused_factor;
	if (ms > p->params.refused_max_ms)
		ms = p->params.refused_max_ms;
	r->refusals++;
	r->refused_until_ms = now + ms;
	r->expires_ms = r->refused_until_ms + p->params.suspected_ms;
	explain(p, r);
}

/* Ends a refusal whose time is over: one more strike refuses the content again,
 * whoever convicted it. */
static void lapse(struct poison_record *r, uint64_t now)
{
	if (!r->refused_until_ms || r->refused_until_ms > now)
		return;
	if (!r->refusals)
		r->refusals = 1;
	r->refused_until_ms = 0;
	r->decided = true;
	if (r->n >= POISON_STRIKES) {
		memmove(r->strikes, r->strikes + r->n - POISON_STRIKES + 1,
			sizeof(r->strikes[0]) * (POISON_STRIKES - 1));
		r->n = POISON_STRIKES - 1;
	}
	while (r->n < POISON_STRIKES - 1) {
		r->strikes[r->n] = r->strikes[0];
		r->n++;
	}
}
