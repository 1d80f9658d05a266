/*
 * Choices among the endpoints: what the policy is told of them.
 */
#include "proxyd/endpoints_table.h"

#include <string.h>

#include <xxhash.h>

#include "lib/xalloc.h"
#include "policy/heartbeat.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"

/* A loss puts the endpoints beside it in doubt for this time. */
#define DOUBT_MS 1500

#define CANDIDATES_MAX 8192
#define PERMILLE 1000

/* Slow or failing endpoints are tried again as this fades: their troubles last
 * some seconds, and one bad answer costs less than a lost endpoint. */
#define LATENCY_HALF_MS 3000
#define FAILING_HALF_MS 1500

static struct handle place_beside(
	struct endpoints *t, const struct endpoint_wish *wish,
	struct handle run_at,
	uint32_t (*place)(const struct placement_request *r,
			  const struct placement_candidate *c, size_t n,
			  uint32_t run_at, uint64_t rnd));
static size_t gather(struct endpoints *t, const struct endpoint_wish *wish);
static void fill(struct endpoints *t, struct placement_candidate *c,
		 const struct endpoint *e, const struct route_service *s,
		 const struct endpoint_wish *wish, uint64_t read_at);
static bool doubtful(const struct endpoint *e, const struct service_state *s,
		     uint64_t now);

/* Chooses an endpoint for a run or for a plain call. */
struct placement_choice endpoints_place(struct endpoints *t,
					const struct endpoint_wish *wish,
					bool run, struct handle *chosen)
{
	const struct placement_request r = {
		.tokens = wish->tokens,
		.zone = t->own_zone,
		.resumes = wish->resumes,
		.view_age_ms = heartbeat_interval_ms(
			peers_listed(t->proxyd->peers) + 1),
	};
	size_t n = gather(t, wish);
	struct placement_choice choice =
		run ? placement_run(&r, t->candidates, n, proxyd_random())
		    : placement_plain(&r, t->candidates, n, proxyd_random());

	if (choice.outcome == PLACEMENT_OK)
		*chosen = t->candidate_handles[choice.index];
	return choice;
}

/* Chooses where the copy of a run is kept; the handle may name none. */
struct handle endpoints_place_copy(struct endpoints *t,
				   const struct endpoint_wish *wish,
				   struct handle run_at)
{
	return place_beside(t, wish, run_at, placement_kv_copy);
}

/* Chooses where a run goes on once its prompt is read; the handle may name
 * none. */
struct handle endpoints_place_settled(struct endpoints *t,
				      const struct endpoint_wish *wish,
				      struct handle run_at)
{
	return place_beside(t, wish, run_at, placement_decode_phase);
}

/* Notes that an endpoint has read a prompt and holds its memory. */
void endpoints_prompt_read(struct endpoints *t, uint64_t session,
			   uint64_t endpoint)
{
	prompt_location_record(&t->prompts, session, endpoint,
			       proxyd_now(t->proxyd));
}

/* Chooses an endpoint beside the one where a run is; the handle may name
 * none. */
static struct handle place_beside(
	struct endpoints *t, const struct endpoint_wish *wish,
	struct handle run_at,
	uint32_t (*place)(const struct placement_request *r,
			  const struct placement_candidate *c, size_t n,
			  uint32_t run_at, uint64_t rnd))
{
	const struct placement_request r = {
		.tokens = wish->tokens,
		.zone = t->own_zone,
	};
	const struct handle none = { 0 };
	size_t n = gather(t, wish);
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

/* Gathers the candidates of a choice and returns their number. */
static size_t gather(struct endpoints *t, const struct endpoint_wish *wish)
{
	const struct route_service *s =
		routes_service(t->proxyd->routes, wish->service);
	uint64_t read_at = prompt_location_find(&t->prompts, wish->session,
						proxyd_now(t->proxyd));
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	while ((e = endpoint_next(t, &i)) && n < CANDIDATES_MAX) {
		if (strcmp(e->service, wish->service) != 0)
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
		fill(t, &t->candidates[n], e, s, wish, read_at);
		t->candidate_handles[n++] = e->self;
	}
	return n;
}

/* Describes an endpoint to the policy.  The one that has read the prompt, if
 * any has, draws it most. */
static void fill(struct endpoints *t, struct placement_candidate *c,
		 const struct endpoint *e, const struct route_service *s,
		 const struct endpoint_wish *wish, uint64_t read_at)
{
	uint64_t now = proxyd_now(t->proxyd);
	bool up = e->state == ENDPOINT_UP &&
		  entry_expiry_accepts_work(&e->lapse, now);
	size_t i;

	*c = (struct placement_candidate){
		.zone = e->zone,
		.usable = up && endpoint_takes_work(e, now),
		.leaving = up && endpoint_leaves(e),
		.pause_ms = up ? holdoff_remaining_ms(&e->holdoff, now) : 0,
		.suspected = doubtful(e, endpoints_service(t, e->service), now),
		.capacity_tokens = s ? s->memory_tokens : 0,
		.used_tokens = e->own.tokens + e->others.tokens,
		.prefill_tokens = e->own.prefill + e->others.prefill,
		.requests = e->own.requests + e->others.requests,
		.own_requests = e->own.requests,
		.prefills = e->own.prefills + e->others.prefills,
		.slots = e->slots,
		.latency_ms = (uint32_t)placement_decayed(
			e->latency_ms, now - e->answered_ms, LATENCY_HALF_MS),
		.failing_permille =
			(uint32_t)(placement_decayed(e->failing,
						     now - e->answered_ms,
						     FAILING_HALF_MS) *
				   PERMILLE),
	};
	if (wish->session) {
		const uint64_t pair[2] = { wish->session, e->address_hash };

		c->affinity = XXH3_64bits(pair, sizeof(pair));
	}
	if (read_at && read_at == e->hash)
		c->affinity = UINT64_MAX;
	for (i = 0; i < wish->n_avoided; i++)
		if (handle_equal(wish->avoided[i], e->self))
			c->avoided = true;
}

/* Tells whether an endpoint may be dead without our knowing it. */
static bool doubtful(const struct endpoint *e, const struct service_state *s,
		     uint64_t now)
{
	uint64_t lost = s->lost_ms[e->zone];

	if (e->rumoured_ms > lost)
		lost = e->rumoured_ms;
	return e->unproven ||
	       (lost && e->reached_ms <= lost && now - lost < DOUBT_MS);
}
