/*
 * Choice of endpoints: describes the endpoints of a service to the placement
 * policy and returns its choice.
 */
#include "proxyd/endpoints_table.h"

#include <string.h>

#include <xxhash.h>

#include "lib/xalloc.h"
#include "policy/heartbeat.h"
#include "proxyd/limits.h"
#include "proxyd/origins.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"

/* After a loss, the endpoints of the same service and zone are suspected for
 * this time. */
#define LOSS_SUSPECT_MS 1500

#define CANDIDATES_MAX 8192
#define PERMILLE 1000

/* Half-lives by which the means of latency and failures decay, so that slow or
 * failing endpoints are tried again: their faults last some seconds, and one
 * bad answer costs less than a lost endpoint. */
#define LATENCY_HALF_LIFE_MS 3000
#define FAILURE_HALF_LIFE_MS 1500

static struct handle place_elsewhere(
	struct endpoints *t, const struct endpoint_criteria *criteria,
	struct handle run_at,
	uint32_t (*place)(const struct placement_request *r,
			  const struct placement_candidate *c, size_t n,
			  uint32_t run_at, uint64_t rnd));
static size_t collect_candidates(struct endpoints *t,
				 const struct endpoint_criteria *criteria);
static void describe_candidate(struct endpoints *t,
			       struct placement_candidate *c,
			       struct endpoint *e,
			       const struct route_service *s,
			       const struct endpoint_criteria *criteria,
			       uint64_t prompt_endpoint);
static bool is_suspected(const struct endpoint *e,
			 const struct service_state *s, uint64_t now);

/* Chooses an endpoint for a run or for a plain call.  *chosen is set only if
 * the outcome is PLACEMENT_OK. */
struct placement_choice endpoints_place(
	struct endpoints *t, const struct endpoint_criteria *criteria, bool run,
	struct handle *chosen)
{
	const struct placement_request r = {
		.tokens = criteria->tokens,
		.zone = t->own_zone,
		.software = criteria->software,
		.resumes = criteria->resumes,
		.view_age_ms = heartbeat_interval_ms(
			peers_listed(t->proxyd->peers) + 1),
	};
	size_t n = collect_candidates(t, criteria);
	struct placement_choice choice;

	if (run)
		placement_mark_alone(t->candidates, n);
	choice = run ? placement_run(&r, t->candidates, n, proxyd_random())
		     : placement_plain(&r, t->candidates, n, proxyd_random());
	if (choice.outcome == PLACEMENT_OK)
		*chosen = t->candidate_handles[choice.index];
	return choice;
}

/* Returns the endpoint that was a candidate, by its index, in the last
 * choice. */
struct handle endpoints_candidate(const struct endpoints *t, uint32_t index)
{
	return t->candidate_handles[index];
}

/* Chooses the endpoint that keeps the KV-cache copy of a run.  Returns an empty
 * handle if there is none. */
struct handle endpoints_place_kv_copy(struct endpoints *t,
				      const struct endpoint_criteria *criteria,
				      struct handle run_at)
{
	return place_elsewhere(t, criteria, run_at, placement_kv_copy);
}

/* Chooses the endpoint of a run's decode phase, after its prefill.  Returns an
 * empty handle if there is none. */
struct handle endpoints_place_decode_phase(
	struct endpoints *t, const struct endpoint_criteria *criteria,
	struct handle run_at)
{
	return place_elsewhere(t, criteria, run_at, placement_decode_phase);
}

/* Records that an endpoint has prefilled a prompt and holds its KV cache. */
void endpoints_record_prompt(struct endpoints *t, uint64_t session,
			     uint64_t endpoint)
{
	prompt_location_record(&t->prompt_locations, session, endpoint,
			       proxyd_now(t->proxyd));
}

/* Chooses another endpoint for a run at run_at by the given policy function.
 * Returns an empty handle if there is none. */
static struct handle place_elsewhere(
	struct endpoints *t, const struct endpoint_criteria *criteria,
	struct handle run_at,
	uint32_t (*place)(const struct placement_request *r,
			  const struct placement_candidate *c, size_t n,
			  uint32_t run_at, uint64_t rnd))
{
	const struct placement_request r = {
		.tokens = criteria->tokens,
		.zone = t->own_zone,
	};
	const struct handle none = { 0 };
	size_t n = collect_candidates(t, criteria);
	uint32_t chosen;
	uint32_t i;

	for (i = 0; i < n; i++)
		if (handle_equal(t->candidate_handles[i], run_at))
			break;
	if (i == n)
		return none;
	chosen = place(&r, t->candidates, n, i, proxyd_random());
	return chosen == PLACEMENT_NONE ? none : t->candidate_handles[chosen];
}

/* Collects the endpoints of the service as candidates and returns their
 * number. */
static size_t collect_candidates(struct endpoints *t,
				 const struct endpoint_criteria *criteria)
{
	const struct route_service *s =
		routes_service(t->proxyd->routes, criteria->service);
	uint64_t prompt_endpoint = prompt_location_find(
		&t->prompt_locations, criteria->session, proxyd_now(t->proxyd));
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	while ((e = endpoint_next(t, &i)) && n < CANDIDATES_MAX) {
		if (strcmp(e->service, criteria->service) != 0)
			continue;
		if (n == t->candidates_size) {
			t->candidates_size = n ? 2 * n : 64;
			t->candidates = xreallocarray(t->candidates,
						      t->candidates_size,
						      sizeof(*t->candidates));
			t->candidate_handles = xreallocarray(
				t->candidate_handles, t->candidates_size,
				sizeof(*t->candidate_handles));
		}
		describe_candidate(t, &t->candidates[n], e, s, criteria,
				   prompt_endpoint);
		t->candidate_handles[n++] = e->self;
	}
	return n;
}

/* Describes an endpoint to the policy.  The endpoint that has prefilled the
 * prompt, if any, gets the highest affinity. */
static void describe_candidate(struct endpoints *t,
			       struct placement_candidate *c,
			       struct endpoint *e,
			       const struct route_service *s,
			       const struct endpoint_criteria *criteria,
			       uint64_t prompt_endpoint)
{
	uint64_t now = proxyd_now(t->proxyd);
	bool up = e->state == ENDPOINT_UP &&
		  entry_expiry_accepts_work(&e->expiry, now);
	bool usable = up && endpoint_accepts_work(e, now);
	bool limited = usable && limits_in_force(e);
	bool permitted = !limited || (!criteria->behind && limits_available(e));
	size_t i;

	if (!permitted)
		limits_check(e);
	*c = (struct placement_candidate){
		.zone = e->zone,
		.usable = usable && permitted,
		.limited = limited,
		.leaving = up && endpoint_is_leaving(e),
		.pause_ms = up ? holdoff_remaining_ms(&e->holdoff, now) : 0,
		.suspected =
			is_suspected(e, endpoints_service(t, e->service), now),
		.capacity_tokens = s ? s->memory_tokens : 0,
		.used_tokens = e->own_load.tokens + e->others_load.tokens,
		.prefill_tokens = e->own_load.prefill_tokens +
				  e->others_load.prefill_tokens,
		.requests = e->own_load.requests + e->others_load.requests,
		.own_requests = e->own_load.requests,
		.prefills = e->own_load.prefills + e->others_load.prefills,
		.slots = e->slots,
		.latency_ms = (uint32_t)placement_decayed(
			e->latency_ms, now - e->means_updated_ms,
			LATENCY_HALF_LIFE_MS),
		.failing_permille =
			(uint32_t)(placement_decayed(e->failure_rate,
						     now - e->means_updated_ms,
						     FAILURE_HALF_LIFE_MS) *
				   PERMILLE),
	};
	if (criteria->session) {
		const uint64_t pair[2] = { criteria->session, e->address_hash };

		c->affinity = XXH3_64bits(pair, sizeof(pair));
	}
	if (prompt_endpoint && prompt_endpoint == e->hash)
		c->affinity = UINT64_MAX;
	c->software = criteria->software &&
				      endpoint_continues(e, criteria->software)
			      ? criteria->software
			      : endpoint_software(e);
	if (criteria->software && e->software == criteria->software &&
	    c->software != criteria->software) {
		c->software = criteria->software; /* once it has confirmed it */
		c->usable = false;
	}
	c->returns = entry_expiry_accepts_work(&e->expiry, now) &&
		     !endpoint_is_leaving(e) && e->state != ENDPOINT_REPLACED;
	c->unrecorded =
		!origins_software_stored(t->proxyd->origins, c->software);
	for (i = 0; i < criteria->n_avoided; i++)
		if (handle_equal(criteria->avoided[i], e->self))
			c->avoided = true;
}

/* Returns whether an endpoint that is marked as up may be dead. */
static bool is_suspected(const struct endpoint *e,
			 const struct service_state *s, uint64_t now)
{
	uint64_t lost = s->lost_ms[e->zone];

	if (e->reported_lost_ms > lost)
		lost = e->reported_lost_ms;
	return e->unconfirmed ||
	       (lost && e->reached_ms <= lost && now - lost < LOSS_SUSPECT_MS);
}
