/*
 * Replays policy/path.c without a clock: instances that are cut off from all
 * endpoints, and endpoints that end, fall silent or are busy.  Calls, probes and
 * ticks are simulated; instances affect each other only in that one without a
 * path sends its calls by another one that has one.
 */
#include "regress/path_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#include "lib/xalloc.h"
#include "policy/endpoint_restart.h"
#include "policy/local_fault.h"
#include "policy/path.h"
#include "regress/random.h"

/* Times and bounds are in ms. */
enum {
	START_MS = 100000,
	FAULT_MS = START_MS + 1000, /* when cuts and ends of endpoints come */
	CUT_LASTS_MS = 12000,
	AFTER_MS = 3000, /* simulated after the end of the fault */
	STEP_MS = 4, /* of the simulation */
	TICK_MS = ENDPOINT_RESTART_TICK_MS,
	ZONES = 3,
	CALLS_MAX = 256, /* under way at an instance */
	TARGETS_MAX = 4, /* endpoints that a call tries in turn */
	SCATTER = 7919, /* no divisor of a number of endpoints */

	CALL_EVERY_MAX_MS = 200, /* at least 5 calls a second */
	CALL_EVERY_MIN_MS = 100,
	CONNECT_MS = 60, /* timeout of a call's first connection, and probes */
	CONNECT_AFTER_FAILURE_MS = 400,
	REFUSED_MS = STEP_MS,
	PROBE_ANSWER_MS = 400, /* timeout of a probe's answer */
	LATENCY_MIN_MS = 20,
	LATENCY_MAX_MS = 60,
	BUSY_MS = 250, /* a busy endpoint's answer */

	KNOWN_MAX_MS = 500, /* from the cut until it is known */
	BACK_MAX_MS = 1000, /* from its end until direct calls */
	WRONG_MAX_MS = 1000, /* held for lost while an endpoint answers */
};

#define N(list) (sizeof(list) / sizeof((list)[0]))

const uint32_t path_sim_fleets[PATH_SIM_SIZES] = { 6, 64, 295 };
const uint32_t path_sim_services[PATH_SIM_SIZES] = { 3, 18, 244 };

/* A call or probe under way. */
struct call {
	bool probe;
	bool kept; /* sent on a connection that was open before */
	bool noted; /* as unanswered */
	enum path_manner manner; /* of the endpoint, for this call */
	uint32_t endpoint;
	uint32_t tried;
	uint64_t sent_ms;
	uint64_t due_ms; /* when its result is known */
};

/* An instance's view of an endpoint. */
struct view {
	struct path_endpoint path;
	bool up;
	bool kept; /* there is an open connection */
	bool probing;
	uint64_t probed_ms;
};

struct instance {
	struct path path;
	struct local_fault fault;
	struct view *view;
	uint32_t n_down;
	struct call call[CALLS_MAX];
	uint32_t n_calls;
	uint64_t due_ms; /* of the call that is due first */
	uint32_t phase_ms; /* of its tick */
	uint64_t next_call_ms;
	uint32_t losses;
	uint32_t returns;
	uint64_t lost_ms; /* first loss since the fault */
	uint64_t back_ms; /* newest return */
	uint64_t wrong_ms; /* longest time it was held for lost wrongly */
	uint64_t wrong_since_ms;
};

struct sim {
	const struct path_scenario *s;
	struct random_source rnd;
	struct instance *instance;
	uint32_t n_lost; /* instances without a path */
	uint64_t now;
	uint32_t probes;
};

static uint64_t fault_ends_ms(const struct path_scenario *s)
{
	return FAULT_MS +
	       (s->fault_lasts_ms ? s->fault_lasts_ms : CUT_LASTS_MS);
}

/* Returns whether an endpoint has a fault of its own. */
static bool is_faulty(const struct path_scenario *s, uint32_t e)
{
	return (s->in_a_row ? e : e * SCATTER % s->endpoints) < s->faulty;
}

/* Returns how an endpoint treats an instance's connection or call now. */
static enum path_manner manner_of(const struct sim *m, uint32_t i, uint32_t e)
{
	const struct path_scenario *s = m->s;

	if (m->now < FAULT_MS || m->now >= fault_ends_ms(s))
		return PATH_SOUND;
	if (i < s->cut)
		return s->cut_manner;
	return is_faulty(s, e) ? s->fault_manner : PATH_SOUND;
}

static bool is_busy(const struct sim *m, uint32_t e)
{
	return e >= m->s->endpoints - m->s->busy;
}

static void set_up(struct instance *in, struct view *v, bool up)
{
	in->n_down += (uint32_t)v->up - (uint32_t)up;
	v->up = up;
}

/* Starts a call or probe. */
static void start_call(struct sim *m, uint32_t i, uint32_t e, bool probe,
		       uint32_t tried)
{
	struct instance *in = &m->instance[i];
	struct view *v = &in->view[e];
	uint32_t latency_ms =
		probe ? REFUSED_MS
		      : LATENCY_MIN_MS +
				random_below(&m->rnd,
					     LATENCY_MAX_MS - LATENCY_MIN_MS);
	struct call *c = &in->call[in->n_calls++];

	assert_true(in->n_calls <= CALLS_MAX);
	if (is_busy(m, e))
		latency_ms = BUSY_MS;
	*c = (struct call){
		.probe = probe,
		.kept = v->kept && !probe,
		.manner = manner_of(m, i, e),
		.endpoint = e,
		.tried = tried,
		.sent_ms = m->now,
		.due_ms = m->now + latency_ms,
	};
	if (!probe)
		v->kept = false;
	if (c->manner == PATH_REFUSES)
		c->due_ms = m->now + REFUSED_MS;
	else if (c->manner == PATH_SILENT && !c->kept)
		c->due_ms = m->now + (probe || !tried
					      ? CONNECT_MS
					      : CONNECT_AFTER_FAILURE_MS);
	else if (c->manner != PATH_SOUND)
		c->due_ms = fault_ends_ms(m->s) + latency_ms;
	if (probe && c->due_ms > m->now + PROBE_ANSWER_MS)
		c->due_ms = m->now + PROBE_ANSWER_MS;
	if (c->due_ms < in->due_ms)
		in->due_ms = c->due_ms;
	v->probing = v->probing || probe;
}

/* Sends a call to an endpoint that is up, if there is one.  An instance without a
 * path sends it by another one. */
static void send_call(struct sim *m, uint32_t i, uint32_t tried)
{
	struct instance *in = &m->instance[i];
	uint32_t first = random_below(&m->rnd, m->s->endpoints);
	uint32_t k;

	if (tried == TARGETS_MAX ||
	    (in->path.lost && m->n_lost < m->s->instances))
		return;
	for (k = 0; k < m->s->endpoints; k++) {
		uint32_t e = (first + k) % m->s->endpoints;

		if (in->view[e].up) {
			start_call(m, i, e, false, tried);
			return;
		}
	}
}

/* Handles an endpoint that could not be connected to. */
static void not_connected(struct sim *m, uint32_t i, const struct call *c)
{
	struct instance *in = &m->instance[i];
	struct view *v = &in->view[c->endpoint];

	path_not_connected(&in->path, &v->path, c->sent_ms, m->now);
	if (!c->probe && c->manner == PATH_SILENT) {
		local_fault_record_timeout(
			&in->fault, (uint16_t)(c->endpoint % ZONES), m->now);
		if (local_fault_likely(&in->fault, m->now)) {
			send_call(m, i, c->tried + 1);
			return;
		}
	}
	if (!c->probe) {
		set_up(in, v, false);
		v->kept = false;
		v->probed_ms = m->now;
		send_call(m, i, c->tried + 1);
	}
}

/* Handles the result of a call. */
static void end_call(struct sim *m, uint32_t i, const struct call *c)
{
	struct instance *in = &m->instance[i];
	struct view *v = &in->view[c->endpoint];

	if (c->probe)
		v->probing = false;
	if (c->manner == PATH_REFUSES ||
	    (c->manner == PATH_SILENT && !c->kept)) {
		not_connected(m, i, c);
		return;
	}
	if (c->manner != PATH_SOUND && m->now < fault_ends_ms(m->s)) {
		/* the timeout of a probe */
		path_unanswered(&in->path, &v->path, c->sent_ms, m->now);
		return;
	}
	path_answered(&in->path, &v->path, c->sent_ms, c->kept);
	set_up(in, v, true);
	v->kept = true;
}

/* Applies a fault that begins while a call is under way.  Returns false if the
 * call is reset, which is no sign of its own. */
static bool meet_fault(const struct sim *m, uint32_t i, struct call *c)
{
	enum path_manner now = c->manner == PATH_SOUND
				       ? manner_of(m, i, c->endpoint)
				       : PATH_SOUND;

	if (now == PATH_REFUSES)
		return false;
	if (now != PATH_SOUND) {
		c->manner = PATH_MUTE;
		c->due_ms = fault_ends_ms(m->s) + LATENCY_MIN_MS;
		if (c->probe)
			c->due_ms = c->sent_ms + PROBE_ANSWER_MS;
	}
	return true;
}

/* Notes a call that has been unanswered for too long, at an instance's tick. */
static void note_overdue(struct sim *m, uint32_t i, struct call *c)
{
	struct instance *in = &m->instance[i];
	const struct path_call call = { .sent_ms = c->sent_ms };
	bool connected = c->manner == PATH_SOUND || c->manner == PATH_MUTE ||
			 (c->manner == PATH_SILENT && c->kept);

	if (c->probe || c->noted || !connected ||
	    m->now % TICK_MS != in->phase_ms ||
	    !path_call_overdue(&call, m->now))
		return;
	c->noted = true;
	path_unanswered(&in->path, &in->view[c->endpoint].path, c->sent_ms,
			m->now);
}

/* Handles the calls that are under way.  Between ticks nothing happens to them
 * before one is due, unless the fault begins. */
static void handle_calls(struct sim *m, uint32_t i)
{
	struct instance *in = &m->instance[i];
	uint32_t k = 0;

	if (m->now < in->due_ms && m->now != FAULT_MS &&
	    m->now % TICK_MS != in->phase_ms)
		return;
	in->due_ms = UINT64_MAX;
	while (k < in->n_calls) {
		struct call c = in->call[k];
		bool whole = meet_fault(m, i, &c);

		if (whole && m->now < c.due_ms) {
			note_overdue(m, i, &c);
			if (c.due_ms < in->due_ms)
				in->due_ms = c.due_ms;
			in->call[k++] = c;
			continue;
		}
		in->call[k] = in->call[--in->n_calls];
		if (whole)
			end_call(m, i, &c);
		else if (c.probe)
			in->view[c.endpoint].probing = false;
	}
}

/* Probes an endpoint, of those that have not failed while the path is only
 * suspected. */
static void probe_path(struct sim *m, uint32_t i)
{
	struct instance *in = &m->instance[i];
	uint32_t chosen = m->s->endpoints;
	struct path_probe choice = { 0 };
	uint32_t e;

	for (e = 0; e < m->s->endpoints; e++) {
		const struct view *v = &in->view[e];

		if (v->probing ||
		    (!in->path.lost && path_endpoint_failed(&v->path, m->now)))
			continue;
		if (path_probe_prefers(&choice, &in->path, &v->path,
				       v->probed_ms, random_next(&m->rnd),
				       m->now))
			chosen = e;
	}
	if (chosen == m->s->endpoints)
		return;
	in->path.probed_ms = m->now;
	in->view[chosen].probed_ms = m->now;
	m->probes++;
	start_call(m, i, chosen, true, 0);
}

/* Probes endpoints that were found dead. */
static void probe_dead(struct sim *m, uint32_t i)
{
	struct instance *in = &m->instance[i];
	uint32_t e;

	for (e = 0; in->n_down && e < m->s->endpoints; e++) {
		struct view *v = &in->view[e];
		const struct endpoint_restart_probe probe = {
			.probed_ms_ago = m->now - v->probed_ms,
			.instances = m->s->instances,
			.store_answers = true,
		};

		if (v->up || v->probing ||
		    !endpoint_restart_probe_due(&probe, random_next(&m->rnd)))
			continue;
		v->probed_ms = m->now;
		start_call(m, i, e, true, 0);
	}
}

/* Notes when a path is lost, or back, and how long it is held for lost while an
 * endpoint answers. */
static void note_path(struct sim *m, uint32_t i, bool changed)
{
	struct instance *in = &m->instance[i];
	const struct path_scenario *s = m->s;
	bool in_fault = m->now >= FAULT_MS && m->now < fault_ends_ms(s);
	bool reaches = !in_fault || (i >= s->cut && (s->faulty < s->endpoints));

	if (changed && in->path.lost) {
		in->losses++;
		m->n_lost++;
		if (!in->lost_ms)
			in->lost_ms = m->now;
	} else if (changed) {
		in->returns++;
		m->n_lost--;
		in->back_ms = m->now;
	}
	if (!in->path.lost || !reaches) {
		in->wrong_since_ms = 0;
		return;
	}
	if (!in->wrong_since_ms)
		in->wrong_since_ms = m->now;
	if (m->now - in->wrong_since_ms > in->wrong_ms)
		in->wrong_ms = m->now - in->wrong_since_ms;
}

/* An instance's tick. */
static void tick(struct sim *m, uint32_t i)
{
	struct instance *in = &m->instance[i];
	bool changed = false;
	uint32_t e;

	probe_dead(m, i);
	if (path_needs_count(&in->path, m->now)) {
		struct path_count count = { 0 };

		for (e = 0; e < m->s->endpoints; e++)
			path_count_add(&count, &in->path, &in->view[e].path,
				       m->now);
		changed = path_decide(&in->path, &count, m->now);
		if (path_probe_due(&in->path, false, m->now))
			probe_path(m, i);
	}
	note_path(m, i, changed);
}

/* Closes the connections that are reset when the fault begins.  Endpoints that
 * had ended are started, and listed anew, when it ends. */
static void change_connections(struct sim *m)
{
	uint32_t i;
	uint32_t e;

	for (i = 0; i < m->s->instances; i++) {
		for (e = 0; e < m->s->endpoints; e++) {
			struct instance *in = &m->instance[i];
			struct view *v = &in->view[e];

			if (manner_of(m, i, e) == PATH_REFUSES)
				v->kept = false;
			if (m->now < fault_ends_ms(m->s) ||
			    !is_faulty(m->s, e) ||
			    m->s->fault_manner == PATH_MUTE)
				continue;
			set_up(in, v, true);
			*v = (struct view){ .up = true };
		}
	}
}

static void advance_instance(struct sim *m, uint32_t i)
{
	struct instance *in = &m->instance[i];

	handle_calls(m, i);
	if (m->now >= in->next_call_ms) {
		in->next_call_ms =
			m->now + CALL_EVERY_MIN_MS +
			random_below(&m->rnd,
				     CALL_EVERY_MAX_MS - CALL_EVERY_MIN_MS + 1);
		send_call(m, i, 0);
	}
	if (m->now % TICK_MS == in->phase_ms)
		tick(m, i);
}

static void run(struct sim *m, const struct path_scenario *s, uint64_t seed)
{
	uint64_t end_ms = fault_ends_ms(s) + AFTER_MS;
	uint32_t i;
	uint32_t e;

	*m = (struct sim){ .s = s, .rnd = { .seed = seed } };
	m->instance = xcalloc(s->instances, sizeof(*m->instance));
	for (i = 0; i < s->instances; i++) {
		struct instance *in = &m->instance[i];

		in->view = xcalloc(s->endpoints, sizeof(*in->view));
		for (e = 0; e < s->endpoints; e++)
			in->view[e].up = true;
		in->due_ms = UINT64_MAX;
		in->phase_ms =
			STEP_MS * random_below(&m->rnd, TICK_MS / STEP_MS);
		in->next_call_ms =
			START_MS + random_below(&m->rnd, CALL_EVERY_MAX_MS);
	}
	for (m->now = START_MS; m->now < end_ms; m->now += STEP_MS) {
		if (m->now == FAULT_MS || m->now == fault_ends_ms(s))
			change_connections(m);
		for (i = 0; i < s->instances; i++)
			advance_instance(m, i);
	}
}

static void release(struct sim *m)
{
	uint32_t i;

	for (i = 0; i < m->s->instances; i++)
		free(m->instance[i].view);
	free(m->instance);
}

static void note_worst(uint64_t *worst, uint64_t value)
{
	if (value > *worst)
		*worst = value;
}

/* Replays a scenario and adds its worst to w, in ms of the scenario. */
void path_sim_replay(struct path_worst *w, const struct path_scenario *s,
		     uint64_t seed)
{
	struct sim m;
	uint32_t i;

	run(&m, s, seed);
	for (i = 0; i < s->instances; i++) {
		const struct instance *in = &m.instance[i];
		bool cut = i < s->cut;

		note_worst(&w->wrong_ms, in->wrong_ms);
		if (in->losses > w->losses)
			w->losses = in->losses;
		if (!cut && in->losses > w->wrong_losses)
			w->wrong_losses = in->losses;
		if (in->path.lost)
			w->back_ms = UINT64_MAX;
		else if (in->losses && (cut || s->faulty == s->endpoints))
			note_worst(&w->back_ms,
				   in->back_ms > fault_ends_ms(s)
					   ? in->back_ms - fault_ends_ms(s)
					   : 0);
		if (!cut)
			continue;
		w->n++;
		note_worst(&w->known_ms,
			   in->lost_ms ? in->lost_ms - FAULT_MS : UINT64_MAX);
		w->known_sum_ms += in->lost_ms ? in->lost_ms - FAULT_MS : 0;
	}
	release(&m);
}

/* Cuts off one, some, most and all instances of fleets of each size.  Returns how
 * many sizes break a bound. */
int path_sim_check_cuts(enum path_manner manner, uint32_t busy_percent,
			uint64_t seed)
{
	int broken = 0;
	size_t f, k, part;

	for (f = 0; f < PATH_SIM_SIZES; f++) {
		for (k = 0; k < PATH_SIM_SIZES; k++) {
			const uint32_t cuts[] = { 1, path_sim_fleets[f] / 2,
						  path_sim_fleets[f] - 1,
						  path_sim_fleets[f] };
			struct path_worst w = { 0 };
			bool holds;

			for (part = 0; part < N(cuts); part++) {
				const struct path_scenario s = {
					.instances = path_sim_fleets[f],
					.endpoints = path_sim_services[k],
					.cut = cuts[part],
					.cut_manner = manner,
					.busy = path_sim_services[k] *
						busy_percent / 100,
				};

				path_sim_replay(&w, &s, ++seed);
			}
			holds = w.known_ms <= KNOWN_MAX_MS &&
				w.back_ms <= BACK_MAX_MS && w.losses == 1 &&
				w.wrong_losses == 0;
			broken += !holds;
			print_message(
				"%u instances, %u endpoints: known after "
				"%lld ms (mean %llu), back after %lld, "
				"losses %u (not cut off: %u)%s\n",
				path_sim_fleets[f], path_sim_services[k],
				(long long)w.known_ms,
				(unsigned long long)(w.known_sum_ms / w.n),
				(long long)w.back_ms, w.losses, w.wrong_losses,
				holds ? "" : ": BROKEN");
		}
	}
	return broken;
}

/* Replays faults of endpoints.  Returns how many sizes break a bound. */
int path_sim_check_fault(const struct path_fault *fault, uint64_t seed)
{
	int broken = 0;
	size_t f, k, part;

	for (f = 0; f < PATH_SIM_SIZES; f++) {
		for (k = 0; k < PATH_SIM_SIZES; k++) {
			const uint32_t n = path_sim_services[k];
			const uint32_t faulty[] = { n / 3, n / 2, n - 1, n };

			for (part = 0; part < N(faulty); part++) {
				const struct path_scenario s = {
					.instances = path_sim_fleets[f],
					.endpoints = n,
					.faulty = faulty[part],
					.fault_manner = fault->manner,
					.fault_lasts_ms = fault->lasts_ms,
					.in_a_row = fault->in_a_row,
					.busy = n * fault->busy_percent / 100,
				};
				struct path_worst w = { 0 };
				bool holds;

				if (!fault->of[part])
					continue;
				path_sim_replay(&w, &s, ++seed);
				holds = w.wrong_ms <= WRONG_MAX_MS &&
					w.back_ms != UINT64_MAX &&
					w.losses <= 1;
				broken += !holds;
				print_message(
					"%u instances, %u of %u endpoints "
					"%s: held for lost wrongly for "
					"%llu ms, back after %lld, "
					"losses %u%s\n",
					path_sim_fleets[f], s.faulty, n,
					fault->what,
					(unsigned long long)w.wrong_ms,
					(long long)w.back_ms, w.losses,
					holds ? "" : ": BROKEN");
			}
		}
	}
	return broken;
}
