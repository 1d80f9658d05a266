/*
 * Detects requests that crash each endpoint that runs them and are sent again.
 *
 * A content becomes a suspect once endpoints crashed during three runs of it,
 * one after the other, and no run of it has completed recently: neither since
 * the first of these began nor for a while before.  A completed run shows that
 * the content does not crash every endpoint, so that a popular lookup, which is
 * running on every endpoint that crashes, is not refused.  Of concurrent runs
 * only one counts: the loss of a rack or zone cuts off all of them at once.
 *
 * A suspect is held until all crashes of the moment have been received.  It is
 * refused if it then stands out: no other content has as many crashes and was
 * running in the last of them.  Crashes that a refused content explains count
 * against no other.  Suspects with equal evidence continue to run until one
 * stands out, or has so many crashes that it is refused in any case.  So does a
 * popular content, which many callers request at once; of its crashes only
 * those with a minimum gap count, so that the loss of a whole service refuses
 * nothing, and it is tried again soon.
 *
 * A refusal expires.  The next run is then a trial: one more crash, and the
 * content is refused for much longer.  The first refusal is short, so that a
 * content which was refused wrongly is soon accepted again; refusals grow so
 * that the others get few trials.
 *
 * Handles a caller that sends such a request again and again, to one instance
 * after the other, with a new id each time.
 *
 * A part of a prompt that crashes each endpoint is found in the same way; it is
 * named by the tagged hash of its id (policy/content.h).  Crashes of endpoints
 * under runs without any event count against the parts of these runs, also of
 * runs that overlap, as the requests that share a part differ, but crashes in
 * one moment count once, as the loss of a zone is no part's doing.  The first
 * event of any run clears its parts, which are shared with sound requests.
 * A part that was in one crash only, or in those of one request with many parts,
 * is a sighting (policy/crash_sighting.c).
 * While a part is suspected its requests run one at a time; when its refusal
 * expires one run in the fleet is a trial, and the part is refused meanwhile.
 */
#include "policy/crash_suspect.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/content.h"
#include "policy/crash_sighting.h"
#include "policy/pair_hash.h"

#define WAYS 8 /* records per set of the table */

/* Upper bound of the error of times received from others: a run that continues
 * at another endpoint was sent in the moment of the crash. */
#define TIME_ERROR_MS 10

/* Instances detect the same crash of an endpoint within this time. */
#define SAME_CRASH_MS 2000

/* The loss of several endpoints at once is detected within this time. */
#define SAME_MOMENT_MS 250

/* Last completed run of a content. */
struct completed_run {
	uint64_t content;
	uint64_t at_ms;
};

struct crash_suspects {
	struct crash_suspect_params params;
	struct crash_suspect_record *records;
	size_t n_sets;
	struct crash_sightings sightings;
	struct completed_run *completed;
	size_t n_completed;
	uint64_t evaluate_ms; /* next evaluation of suspects; 0: none */
};

const struct crash_suspect_params crash_suspect_defaults = {
	.records_max = 1024,
	.sightings_max = 32768,
	.completed_max = 32768,
	.completed_ms = 30000,
	.min_gap_ms = 1000,
	.settle_ms = 100,
	.suspected_ms = 3600000,
	.refused_ms = 8000,
	.refused_popular_ms = 2000,
	.refused_factor = 8,
	.refused_max_ms = 86400000,
	.completed_part_ms = 10000,
	.refused_part_ms = 30000,
	.alone_ms = 3000,
};

static size_t power_of_two(size_t least);
static struct crash_suspect_record *set_of(const struct crash_suspects *p,
					   uint64_t content);
static struct crash_suspect_record *lookup(const struct crash_suspects *p,
					   uint64_t content);
static struct crash_suspect_record *find(const struct crash_suspects *p,
					 uint64_t content, uint64_t now);
static struct crash_suspect_record *find_or_add(struct crash_suspects *p,
						uint64_t content, uint64_t now);
static bool second_crash(struct crash_suspects *p, uint64_t part,
			 const struct run_crash *crash, uint64_t now);
static bool add_sighting(struct crash_suspects *p, uint64_t part,
			 const struct run_crash *crash, uint64_t now);
static bool is_same_or_simultaneous(const struct run_crash *a,
				    const struct run_crash *b);
static bool clear_sighting(struct crash_suspects *p, uint64_t part);
static struct crash_sighting *find_sighting(const struct crash_suspects *p,
					    uint64_t part, uint64_t now);
static uint64_t oldest_ms(const struct crash_suspects *p, uint64_t now);
static bool replaced_before(const struct crash_suspect_record *a,
			    const struct crash_suspect_record *b, uint64_t now);
static bool completed_since(const struct crash_suspects *p, uint64_t content,
			    uint64_t since_ms);
static bool is_known(const struct crash_suspect_record *r,
		     const struct run_crash *crash);
static bool is_concurrent(const struct crash_suspect_record *r,
			  const struct run_crash *crash);
static void insert(struct crash_suspect_record *r,
		   const struct run_crash *crash);
static bool is_popular(const struct crash_suspect_record *r);
static bool crashed_simultaneously(const struct crash_suspect_record *r,
				   const struct run_crash *crash);
static bool is_simultaneous(const struct crash_suspect_record *r,
			    const struct run_crash *crash);
static void drop_close_crashes(const struct crash_suspects *p,
			       struct crash_suspect_record *r);
static bool ever_completed(const struct crash_suspects *p, uint64_t content);
static bool must_refuse(const struct crash_suspects *p,
			const struct crash_suspect_record *r);
static bool stands_out(const struct crash_suspects *p,
		       const struct crash_suspect_record *r, uint64_t now);
static uint64_t time_between_ms(const struct run_crash *a,
				const struct run_crash *b);
static bool same_crash(const struct run_crash *a, const struct run_crash *b);
static bool was_running(const struct crash_suspect_record *r,
			const struct run_crash *crash);
static bool has_crash(const struct run_crash *list, uint32_t n,
		      const struct run_crash *crash);
static void add_uncounted(struct crash_suspects *p,
			  struct crash_suspect_record *r,
			  const struct run_crash *crash, uint64_t now);
static bool has_as_many(const struct crash_suspect_record *o,
			const struct crash_suspect_record *r);
static bool was_uncounted(const struct crash_suspect_record *r,
			  const struct run_crash *crash);
static void remove_explained_crashes(
	struct crash_suspects *p, const struct crash_suspect_record *refused);
static void refuse(struct crash_suspects *p, struct crash_suspect_record *r,
		   uint64_t now);
static void expire_refusal(struct crash_suspect_record *r, uint64_t now);

/* Allocates empty tables. */
struct crash_suspects *crash_suspect_new(
	const struct crash_suspect_params *params)
{
	struct crash_suspects *p = xcalloc(1, sizeof(*p));

	p->params = *params;
	p->n_sets = power_of_two(params->records_max) / WAYS;
	if (!p->n_sets)
		p->n_sets = 1;
	crash_sightings_init(&p->sightings, params->sightings_max);
	p->n_completed = power_of_two(params->completed_max);
	p->records = xcalloc(p->n_sets * WAYS, sizeof(*p->records));
	p->completed = xcalloc(p->n_completed, sizeof(*p->completed));
	return p;
}

/* Frees the tables; p may be NULL. */
void crash_suspect_free(struct crash_suspects *p)
{
	if (!p)
		return;
	free(p->records);
	crash_sightings_release(&p->sightings);
	free(p->completed);
	free(p);
}

/* Records that an endpoint crashed during a run.  Returns false if the crash is
 * not counted: it was counted before, the content is refused or has completed a
 * run, or the run was concurrent with one that counts. */
bool crash_suspect_add_crash(struct crash_suspects *p, uint64_t content,
			     const struct run_crash *crash, uint64_t now)
{
	struct crash_suspect_record *r;

	if (completed_since(p, content, crash->sent_ms))
		return false;
	if (content_is_part(content) && !find(p, content, now) &&
	    !second_crash(p, content, crash, now))
		return add_sighting(p, content, crash, now);
	r = find_or_add(p, content, now);
	expire_refusal(r, now);
	if (r->refused_until_ms || r->n_crashes == CRASH_SUSPECT_CRASHES_MAX ||
	    is_known(r, crash))
		return false;
	if (content_is_part(content) && was_running(r, crash))
		return false;
	if (content_is_part(content) && is_simultaneous(r, crash)) {
		add_uncounted(p, r, crash, now);
		return false;
	}
	if (!content_is_part(content) &&
	    (is_concurrent(r, crash) || was_running(r, crash))) {
		r->concurrent += crashed_simultaneously(r, crash);
		return false;
	}
	insert(r, crash);
	r->last_crash_ms = now;
	r->decided = false;
	r->expires_ms = now + p->params.suspected_ms;
	if (r->n_crashes >= CRASH_SUSPECT_CRASHES && !p->evaluate_ms)
		p->evaluate_ms = now + p->params.settle_ms;
	return true;
}

/* Evaluates the suspects whose settling time is over.  Returns one that is
 * refused from now on; the caller repeats the call until it returns NULL. */
const struct crash_suspect_record *crash_suspect_evaluate(
	struct crash_suspects *p, uint64_t now)
{
	struct crash_suspect_record *r;

	if (!p->evaluate_ms || now < p->evaluate_ms)
		return NULL;
	p->evaluate_ms = 0;
	for (r = p->records; r < p->records + p->n_sets * WAYS; r++) {
		if (!r->content || r->n_crashes < CRASH_SUSPECT_CRASHES ||
		    r->decided || r->expires_ms <= now)
			continue;
		if (now < r->last_crash_ms + p->params.settle_ms) {
			p->evaluate_ms = r->last_crash_ms + p->params.settle_ms;
			continue;
		}
		r->decided = true;
		if (is_popular(r))
			drop_close_crashes(p, r);
		if (!must_refuse(p, r) &&
		    (is_popular(r) || !stands_out(p, r, now)))
			continue;
		refuse(p, r, now);
		p->evaluate_ms = now; /* the next call evaluates the others */
		return r;
	}
	return NULL;
}

/* Decides whether a request of the content may be sent to an endpoint. */
enum crash_suspect_decision crash_suspect_decide(struct crash_suspects *p,
						 uint64_t content, uint64_t now)
{
	struct crash_suspect_record *r = find(p, content, now);
	const struct crash_sighting *s;

	if (!r) {
		s = find_sighting(p, content, now);
		return s && now < s->at_ms + p->params.alone_ms
			       ? CRASH_SUSPECT_ALONE
			       : CRASH_SUSPECT_RUN;
	}
	expire_refusal(r, now);
	if (r->refused_until_ms)
		return CRASH_SUSPECT_REFUSE;
	if (r->n_crashes >= CRASH_SUSPECT_CRASHES && !r->decided)
		return CRASH_SUSPECT_HOLD;
	if (!content_is_part(content))
		return CRASH_SUSPECT_RUN;
	if (r->refusals)
		return CRASH_SUSPECT_TRIAL;
	return r->n_crashes && now < r->last_crash_ms + p->params.alone_ms
		       ? CRASH_SUSPECT_ALONE
		       : CRASH_SUSPECT_RUN;
}

/* Refuses a part whose refusal has expired once more, for longer: the run that
 * begins now is its trial, whose first event clears it.  Returns its record, or
 * NULL if there is none. */
const struct crash_suspect_record *crash_suspect_begin_trial(
	struct crash_suspects *p, uint64_t part, uint64_t now)
{
	struct crash_suspect_record *r = find(p, part, now);

	if (r)
		refuse(p, r, now);
	return r;
}

/* Returns whether a run of the content completed, or a run with the part had its
 * first event, not long before now. */
bool crash_suspect_completed_lately(const struct crash_suspects *p,
				    uint64_t content, uint64_t now)
{
	return completed_since(p, content, now);
}

/* Records that a run of the content completed, and clears its record.  Returns
 * true if there was one. */
bool crash_suspect_run_completed(struct crash_suspects *p, uint64_t content,
				 uint64_t now)
{
	struct completed_run *ran =
		&p->completed[content & (p->n_completed - 1)];

	ran->content = content;
	ran->at_ms = now;
	return crash_suspect_clear(p, content);
}

/* Records that another instance refuses the content for left_ms more, for runs
 * the first of which began at since_ms.  Returns false if a run of it completed
 * on this instance since then or shortly before: the content is not refused,
 * and the caller informs the other instances. */
bool crash_suspect_refuse(struct crash_suspects *p, uint64_t content,
			  uint64_t since_ms, uint64_t left_ms, uint64_t now)
{
	struct crash_suspect_record *r;

	if (completed_since(p, content, since_ms))
		return false;
	if (left_ms > p->params.refused_max_ms)
		left_ms = p->params.refused_max_ms;
	r = find_or_add(p, content, now);
	if (!r->n_crashes)
		insert(r, &(struct run_crash){ .sent_ms = since_ms,
					       .crashed_ms = since_ms });
	if (now + left_ms > r->refused_until_ms)
		r->refused_until_ms = now + left_ms;
	r->decided = true;
	r->expires_ms = r->refused_until_ms + p->params.suspected_ms;
	remove_explained_crashes(p, r);
	return true;
}

/* Clears the record of a content, or the sighting of a part; returns true if
 * there was one. */
bool crash_suspect_clear(struct crash_suspects *p, uint64_t content)
{
	struct crash_suspect_record *r = lookup(p, content);
	bool sighted = clear_sighting(p, content);

	if (r)
		*r = (struct crash_suspect_record){ 0 };
	return r || sighted;
}

/* Clears the sighting of a part; returns true if there was one. */
static bool clear_sighting(struct crash_suspects *p, uint64_t part)
{
	struct crash_sighting *s =
		content_is_part(part)
			? crash_sighting_find(&p->sightings, part, 0)
			: NULL;

	if (s)
		*s = (struct crash_sighting){ 0 };
	return s != NULL;
}

/* Returns whether there is a record of the content, or a sighting of the
 * part. */
bool crash_suspect_known(struct crash_suspects *p, uint64_t content,
			 uint64_t now)
{
	return find(p, content, now) || find_sighting(p, content, now);
}

/* Returns how many sightings were replaced before they expired. */
uint64_t crash_suspect_forgotten(const struct crash_suspects *p)
{
	return p->sightings.forgotten;
}

/* Makes a record of a part that was in one crash before and is in another one
 * now, of another request unless its parts are few: of many parts, those that
 * are the request's own would all get one whenever it is sent again.  Returns
 * false if it makes none. */
static bool second_crash(struct crash_suspects *p, uint64_t part,
			 const struct run_crash *crash, uint64_t now)
{
	struct crash_sighting *s = find_sighting(p, part, now);
	struct crash_sighting first;
	struct crash_suspect_record *r;

	if (!s || is_same_or_simultaneous(&s->crash, crash) ||
	    (crash->content && crash->content == s->crash.content))
		return false;
	first = *s;
	r = find_or_add(p, part, now);
	clear_sighting(p, part);
	insert(r, &first.crash);
	r->last_crash_ms = first.at_ms;
	r->expires_ms = now + p->params.suspected_ms;
	return true;
}

/* Records that a part was in a crash for the first time, or that it was in a
 * further one that makes no record, and returns false. */
static bool add_sighting(struct crash_suspects *p, uint64_t part,
			 const struct run_crash *crash, uint64_t now)
{
	struct crash_sighting *known = find_sighting(p, part, now);
	const struct crash_sighting s = {
		.part = part,
		.crash = *crash,
		.at_ms = now,
	};

	if (!known)
		crash_sighting_add(&p->sightings, &s, oldest_ms(p, now));
	else if (known->crash.id != crash->id)
		known->at_ms = now;
	return !known;
}

/* Tells whether two runs were cut off by the same crash, or in one moment. */
static bool is_same_or_simultaneous(const struct run_crash *a,
				    const struct run_crash *b)
{
	return a->id == b->id || same_crash(a, b) ||
	       time_between_ms(a, b) < SAME_MOMENT_MS;
}

/* Returns the sighting of a part, or NULL if there is none or it expired. */
static struct crash_sighting *find_sighting(const struct crash_suspects *p,
					    uint64_t part, uint64_t now)
{
	return content_is_part(part) ? crash_sighting_find(&p->sightings, part,
							   oldest_ms(p, now))
				     : NULL;
}

/* Returns the time of the oldest sightings that have not expired, ms. */
static uint64_t oldest_ms(const struct crash_suspects *p, uint64_t now)
{
	return now > p->params.suspected_ms ? now - p->params.suspected_ms : 0;
}

/* Returns for how long the content is still refused, ms; 0 if it is not. */
uint64_t crash_suspect_refused_ms(struct crash_suspects *p, uint64_t content,
				  uint64_t now)
{
	struct crash_suspect_record *r = find(p, content, now);

	if (!r)
		return 0;
	expire_refusal(r, now);
	return r->refused_until_ms ? r->refused_until_ms - now : 0;
}

/* Returns the record of a content, or NULL. */
const struct crash_suspect_record *crash_suspect_find(
	const struct crash_suspects *p, uint64_t content, uint64_t now)
{
	return find(p, content, now);
}

/* Iterates over the refused contents; *index is 0 for the first call.  Returns
 * NULL at the end. */
const struct crash_suspect_record *crash_suspect_next_refused(
	const struct crash_suspects *p, uint64_t now, size_t *index)
{
	while (*index < p->n_sets * WAYS) {
		const struct crash_suspect_record *r = &p->records[(*index)++];

		if (r->content && r->refused_until_ms > now)
			return r;
	}
	return NULL;
}

/* Returns the weight of an instance for a content.  The instances with the
 * largest weights keep its records; all instances that know the same instances
 * compute the same order. */
uint64_t crash_suspect_weight(uint64_t content, uint64_t instance)
{
	return pair_hash(content, instance);
}

/* Returns the smallest power of two that is at least the given number. */
static size_t power_of_two(size_t least)
{
	size_t n = 1;

	while (n < least)
		n *= 2;
	return n;
}

/* Returns the set of records that may hold a content. */
static struct crash_suspect_record *set_of(const struct crash_suspects *p,
					   uint64_t content)
{
	return &p->records[(content & (p->n_sets - 1)) * WAYS];
}

/* Returns the record of a content, valid or expired, or NULL. */
static struct crash_suspect_record *lookup(const struct crash_suspects *p,
					   uint64_t content)
{
	struct crash_suspect_record *set = set_of(p, content);
	int i;

	for (i = 0; i < WAYS; i++)
		if (set[i].content == content)
			return &set[i];
	return NULL;
}

/* Returns the record of a content, or NULL if there is none or it expired. */
static struct crash_suspect_record *find(const struct crash_suspects *p,
					 uint64_t content, uint64_t now)
{
	struct crash_suspect_record *r = lookup(p, content);

	return r && r->expires_ms > now ? r : NULL;
}

/* Returns the record of a content; a new one replaces the least valuable of its
 * set. */
static struct crash_suspect_record *find_or_add(struct crash_suspects *p,
						uint64_t content, uint64_t now)
{
	struct crash_suspect_record *r = find(p, content, now);
	struct crash_suspect_record *set = set_of(p, content);
	int i;

	if (r)
		return r;
	crash_suspect_clear(p, content); /* an expired record */
	r = set;
	for (i = 1; i < WAYS; i++)
		if (replaced_before(&set[i], r, now))
			r = &set[i];
	*r = (struct crash_suspect_record){ .content = content };
	return r;
}

/* Tells whether record a is replaced before b. */
static bool replaced_before(const struct crash_suspect_record *a,
			    const struct crash_suspect_record *b, uint64_t now)
{
	bool a_valid = a->content && a->expires_ms > now;
	bool b_valid = b->content && b->expires_ms > now;

	if (a_valid != b_valid)
		return b_valid;
	if ((a->refused_until_ms > now) != (b->refused_until_ms > now))
		return b->refused_until_ms > now;
	if (a->n_crashes != b->n_crashes)
		return a->n_crashes < b->n_crashes;
	return a->expires_ms < b->expires_ms;
}

/* Tells whether a run of the content completed after since_ms, or shortly
 * before. */
static bool completed_since(const struct crash_suspects *p, uint64_t content,
			    uint64_t since_ms)
{
	const struct completed_run *ran =
		&p->completed[content & (p->n_completed - 1)];

	return ran->content == content &&
	       ran->at_ms + (content_is_part(content)
				     ? p->params.completed_part_ms
				     : p->params.completed_ms) >=
		       since_ms;
}

/* Returns whether a run is known to have completed at any time. */
static bool ever_completed(const struct crash_suspects *p, uint64_t content)
{
	return p->completed[content & (p->n_completed - 1)].content == content;
}

/* Returns whether a suspect has so many crashes that it is refused even if
 * another one has as many.  A part that has completed is not. */
static bool must_refuse(const struct crash_suspects *p,
			const struct crash_suspect_record *r)
{
	return r->n_crashes == CRASH_SUSPECT_CRASHES_MAX &&
	       !(content_is_part(r->content) && ever_completed(p, r->content));
}

/* Tells whether a crash is already recorded. */
static bool is_known(const struct crash_suspect_record *r,
		     const struct run_crash *crash)
{
	uint32_t i;

	for (i = 0; i < r->n_crashes; i++)
		if (r->crashes[i].id == crash->id)
			return true;
	return false;
}

/* Tells whether the crashed run was concurrent with one that counts. */
static bool is_concurrent(const struct crash_suspect_record *r,
			  const struct run_crash *crash)
{
	uint32_t i;

	for (i = 0; i < r->n_crashes; i++)
		if (crash->sent_ms + TIME_ERROR_MS < r->crashes[i].crashed_ms &&
		    r->crashes[i].sent_ms + TIME_ERROR_MS < crash->crashed_ms)
			return true;
	return false;
}

/* Inserts a crash in order of time; the record has space for it. */
static void insert(struct crash_suspect_record *r,
		   const struct run_crash *crash)
{
	uint32_t i;

	for (i = r->n_crashes++;
	     i && r->crashes[i - 1].sent_ms > crash->sent_ms; i--)
		r->crashes[i] = r->crashes[i - 1];
	r->crashes[i] = *crash;
}

/* Tells whether runs of the content crash at several endpoints at once.  The
 * runs of a caller that sends its request again crash one after the other. */
static bool is_popular(const struct crash_suspect_record *r)
{
	return r->concurrent >= r->n_crashes;
}

/* Tells whether a recorded run crashed in the same moment at any endpoint.  A
 * rack or zone takes many endpoints with it in one moment; endpoints that crash
 * under a part do so one after the other. */
static bool is_simultaneous(const struct crash_suspect_record *r,
			    const struct run_crash *crash)
{
	uint32_t i;

	for (i = 0; i < r->n_crashes; i++)
		if (time_between_ms(&r->crashes[i], crash) < SAME_MOMENT_MS)
			return true;
	return false;
}

/* Tells whether a recorded run crashed in the same moment at another
 * endpoint. */
static bool crashed_simultaneously(const struct crash_suspect_record *r,
				   const struct run_crash *crash)
{
	uint32_t i;

	for (i = 0; i < r->n_crashes; i++)
		if (r->crashes[i].endpoint != crash->endpoint &&
		    time_between_ms(&r->crashes[i], crash) < SAME_MOMENT_MS)
			return true;
	return false;
}

/* Of crashes that are less than min_gap_ms apart, keeps the first. */
static void drop_close_crashes(const struct crash_suspects *p,
			       struct crash_suspect_record *r)
{
	uint32_t left = 0;
	uint32_t i;

	for (i = 0; i < r->n_crashes; i++)
		if (!left || r->crashes[i].crashed_ms >=
				     r->crashes[left - 1].crashed_ms +
					     p->params.min_gap_ms)
			r->crashes[left++] = r->crashes[i];
	r->n_crashes = left;
}

/* Tells whether no other content, or no other part, has as many crashes and was
 * running in the last crash of this one.  Of parts, one that has completed
 * stands behind one that has not. */
static bool stands_out(const struct crash_suspects *p,
		       const struct crash_suspect_record *r, uint64_t now)
{
	const struct run_crash *last = &r->crashes[r->n_crashes - 1];
	bool part = content_is_part(r->content);
	const struct crash_suspect_record *o;

	for (o = p->records; o < p->records + p->n_sets * WAYS; o++)
		if (o != r && content_is_part(o->content) == part &&
		    !(part && ever_completed(p, o->content) &&
		      !ever_completed(p, r->content)) &&
		    o->content && o->expires_ms > now && !o->refused_until_ms &&
		    has_as_many(o, r) &&
		    (was_running(o, last) || was_uncounted(o, last)))
			return false;
	return true;
}

/* Returns the time between the crashes of two runs. */
static uint64_t time_between_ms(const struct run_crash *a,
				const struct run_crash *b)
{
	return a->crashed_ms > b->crashed_ms ? a->crashed_ms - b->crashed_ms
					     : b->crashed_ms - a->crashed_ms;
}

/* Tells whether two runs were cut off by the same crash of an endpoint. */
static bool same_crash(const struct run_crash *a, const struct run_crash *b)
{
	return a->endpoint == b->endpoint &&
	       time_between_ms(a, b) < SAME_CRASH_MS;
}

/* Tells whether a recorded run of the content was cut off by the same crash. */
static bool was_running(const struct crash_suspect_record *r,
			const struct run_crash *crash)
{
	return has_crash(r->crashes, r->n_crashes, crash);
}

/* Tells whether a run with the part was cut off by the same crash, which does
 * not count. */
static bool was_uncounted(const struct crash_suspect_record *r,
			  const struct run_crash *crash)
{
	uint32_t n = r->n_uncounted < CRASH_SUSPECT_CRASHES_MAX
			     ? r->n_uncounted
			     : CRASH_SUSPECT_CRASHES_MAX;

	return has_crash(r->uncounted, n, crash);
}

/* Tells whether one of n runs was cut off by the same crash. */
static bool has_crash(const struct run_crash *list, uint32_t n,
		      const struct run_crash *crash)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (same_crash(&list[i], crash))
			return true;
	return false;
}

/* Adds a crash in the same moment as one that counts.  It counts only in the
 * comparison with other parts, which may be another one by it. */
static void add_uncounted(struct crash_suspects *p,
			  struct crash_suspect_record *r,
			  const struct run_crash *crash, uint64_t now)
{
	if (was_uncounted(r, crash))
		return;
	r->uncounted[r->n_uncounted++ % CRASH_SUSPECT_CRASHES_MAX] = *crash;
	if (r->n_crashes < CRASH_SUSPECT_CRASHES)
		return;
	r->decided = false;
	r->last_crash_ms = now;
	if (!p->evaluate_ms)
		p->evaluate_ms = now + p->params.settle_ms;
}

/* Tells whether record o has as many crashes as r: of those that count, and with
 * those in the same moments. */
static bool has_as_many(const struct crash_suspect_record *o,
			const struct crash_suspect_record *r)
{
	return o->n_crashes >= r->n_crashes &&
	       o->n_crashes + o->n_uncounted >= r->n_crashes + r->n_uncounted;
}

/* Removes the crashes that a refused content explains from the records of
 * others, and those that a refused part explains from all others. */
static void remove_explained_crashes(struct crash_suspects *p,
				     const struct crash_suspect_record *refused)
{
	struct crash_suspect_record *o;
	struct crash_sighting *s;
	size_t index = 0;
	uint32_t i;

	while (content_is_part(refused->content) &&
	       (s = crash_sighting_next(&p->sightings, &index)))
		if (was_running(refused, &s->crash))
			*s = (struct crash_sighting){ 0 };
	for (o = p->records; o < p->records + p->n_sets * WAYS; o++) {
		uint32_t left = 0;

		if (o == refused || !o->content || o->refused_until_ms ||
		    o->refusals ||
		    (content_is_part(o->content) &&
		     !content_is_part(refused->content)))
			continue;
		for (i = 0; i < o->n_crashes; i++)
			if (!was_running(refused, &o->crashes[i]))
				o->crashes[left++] = o->crashes[i];
		o->n_crashes = left;
		if (!left)
			*o = (struct crash_suspect_record){ 0 };
	}
}

/* Refuses a content for a time that grows by refused_factor per refusal. */
static void refuse(struct crash_suspects *p, struct crash_suspect_record *r,
		   uint64_t now)
{
	uint64_t ms = content_is_part(r->content) ? p->params.refused_part_ms
		      : is_popular(r)		  ? p->params.refused_popular_ms
						  : p->params.refused_ms;
	uint32_t i;

	for (i = 0; i < r->refusals && ms < p->params.refused_max_ms; i++)
		ms *= p->params.refused_factor;
	if (ms > p->params.refused_max_ms)
		ms = p->params.refused_max_ms;
	r->refusals++;
	r->refused_until_ms = now + ms;
	r->expires_ms = r->refused_until_ms + p->params.suspected_ms;
	remove_explained_crashes(p, r);
}

/* Ends a refusal that has expired.  One more crash refuses the content again,
 * also if another instance had refused it: missing crashes are filled up. */
static void expire_refusal(struct crash_suspect_record *r, uint64_t now)
{
	if (!r->refused_until_ms || r->refused_until_ms > now)
		return;
	if (!r->refusals)
		r->refusals = 1;
	r->refused_until_ms = 0;
	r->decided = true;
	if (r->n_crashes >= CRASH_SUSPECT_CRASHES) {
		memmove(r->crashes,
			r->crashes + r->n_crashes - CRASH_SUSPECT_CRASHES + 1,
			sizeof(r->crashes[0]) * (CRASH_SUSPECT_CRASHES - 1));
		r->n_crashes = CRASH_SUSPECT_CRASHES - 1;
	}
	while (r->n_crashes < CRASH_SUSPECT_CRASHES - 1) {
		r->crashes[r->n_crashes] = r->crashes[0];
		r->n_crashes++;
	}
}
