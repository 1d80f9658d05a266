/*
 * Model check of policy/claim.c: explores every order of events of two copies
 * of one call.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <stdbool.h>
#include <xxhash.h>

#include "lib/xalloc.h"
#include "policy/claim.h"

/*
 * The model: two instances serve copies of the same call; copy 1 starts at any
 * time after copy 0.  A store operation may take effect or not, and its answer
 * may arrive or be lost; if it is lost, the operation may also take effect at
 * any later time.  A call that was sent may run at once, later or never.  A
 * copy may be paused past its deadline before any event; its caller may
 * disconnect and its instance may crash at any time.
 */
enum {
	COPIES = 2,
	DEADLINE_MS = 1,
	VISITED_SLOTS = 1 << 18, /* hash table of visited states */
	STACK_DEPTH = 1 << 18,
};

/* Bits of operations that may take effect later. */
enum { LATE_INSERT = 1, LATE_DELETE = 2, LATE_STORE = 4, LATE_RUN = 8 };

struct copy {
	struct claim claim;
	enum claim_action pending; /* requested; outcome still open */
	uint8_t late;
	uint8_t began;
	uint8_t dead;
	uint8_t sent;
	uint8_t ran;
};

struct model_state {
	struct copy copy[COPIES];
	struct claim_row row;
	uint32_t row_present;
	uint32_t runs;
};

struct model {
	XXH128_hash_t *visited; /* digests of states; zero: unused */
	struct model_state *stack;
	size_t depth;
	size_t states;
	size_t refused_not_run;
	size_t ran_once;
};

static const struct claim_params params = {
	.store_tries = 3,
	.connect_tries = 2,
};

static void explore(struct model *m, const struct model_state *w);
static void visit(struct model *m, const struct model_state *w);

static uint64_t nonce_of(int i)
{
	return 100 + (uint64_t)i;
}

/* Adds a state to the stack, unless it was visited. */
static void visit(struct model *m, const struct model_state *w)
{
	const XXH128_hash_t none = { 0, 0 };
	XXH128_hash_t digest = XXH3_128bits(w, sizeof(*w));
	size_t i = digest.low64 & (VISITED_SLOTS - 1);

	while (!XXH128_isEqual(m->visited[i], none)) {
		if (XXH128_isEqual(m->visited[i], digest))
			return;
		i = (i + 1) & (VISITED_SLOTS - 1);
	}
	m->visited[i] = digest;
	m->states++;
	assert_true(m->states < VISITED_SLOTS / 4 * 3);
	assert_true(m->depth < STACK_DEPTH);
	m->stack[m->depth++] = *w;
}

/*
 * Asserts, for a refusal of copy i that says not-run, that no copy up to i ran
 * or may still run.
 */
static void check_not_run(struct model *m, const struct model_state *w, int i)
{
	int k;

	m->refused_not_run++;
	assert_false(w->copy[i].sent);
	for (k = 0; k <= i; k++)
		assert_false(w->copy[k].ran || w->copy[k].late & LATE_RUN);
}

/* Passes an event to copy i and records the action it requests. */
static void step_copy(struct model *m, struct model_state w, int i,
		      enum claim_event_type type, uint64_t now)
{
	const struct claim_event ev = { type, w.row, now };
	struct copy *c = &w.copy[i];
	struct claim_decision d = claim_step(&c->claim, &params, &ev);

	if ((d.action == CLAIM_ACT_REFUSE ||
	     d.action == CLAIM_ACT_REFUSE_RELEASE) &&
	    d.run == CLAIM_NOT_RUN)
		check_not_run(m, &w, i);
	if (d.action == CLAIM_ACT_SEND) {
		assert_false(c->sent);
		c->sent = 1;
	}
	if (d.action == CLAIM_ACT_REPLAY)
		assert_int_equal(w.runs, 1);
	if (d.action != CLAIM_ACT_NONE || type != CLAIM_EV_CANCELLED)
		c->pending = d.action;
	visit(m, &w);
}

/* Passes an event to copy i, both before and after its deadline. */
static void step_copy_paused(struct model *m, const struct model_state *w,
			     int i, enum claim_event_type type)
{
	step_copy(m, *w, i, type, 0);
	step_copy(m, *w, i, type, DEADLINE_MS);
}

static void apply_insert(struct model_state *w, int i)
{
	if (w->row_present)
		return;
	w->row_present = 1;
	w->row.nonce = nonce_of(i);
	w->row.body_digest = 1;
}

static bool is_row_of(const struct model_state *w, int i)
{
	return w->row_present && w->row.nonce == nonce_of(i);
}

static void apply_delete(struct model_state *w, int i)
{
	if (!is_row_of(w, i))
		return;
	w->row_present = 0;
	memset(&w->row, 0, sizeof(w->row));
}

static void apply_store(struct model_state *w, int i)
{
	if (!is_row_of(w, i))
		return;
	w->row.answered = true;
	w->row.answer_kept = true;
}

static void apply_run(struct model *m, struct model_state *w, int i)
{
	w->copy[i].ran = 1;
	w->runs++;
	m->ran_once += w->runs == 1;
	assert_true(w->runs <= 1);
}

/* Explores all outcomes of an insert. */
static void do_insert(struct model *m, const struct model_state *w, int i)
{
	struct model_state next = *w;

	step_copy(m, *w, i, CLAIM_EV_STORE_LOST, 0);
	step_copy(m, *w, i, CLAIM_EV_STORE_REFUSED, 0);
	next.copy[i].late |= LATE_INSERT;
	step_copy(m, next, i, CLAIM_EV_STORE_LOST, 0);
	next = *w;
	apply_insert(&next, i);
	step_copy(m, next, i, CLAIM_EV_STORE_LOST, 0);
	step_copy_paused(m, &next, i,
			 w->row_present ? CLAIM_EV_CONFLICT
					: CLAIM_EV_INSERTED);
}

/* Explores all outcomes of a delete or a store, whose bit is late. */
static void do_update(struct model *m, const struct model_state *w, int i,
		      uint8_t late)
{
	struct model_state next = *w;

	step_copy(m, *w, i, CLAIM_EV_STORE_LOST, 0);
	next.copy[i].late |= late;
	step_copy(m, next, i, CLAIM_EV_STORE_LOST, 0);
	next = *w;
	if (late == LATE_DELETE)
		apply_delete(&next, i);
	else
		apply_store(&next, i);
	step_copy(m, next, i, CLAIM_EV_STORED, 0);
	step_copy(m, next, i, CLAIM_EV_STORE_LOST, 0);
}

/* Explores all outcomes of sending the call. */
static void do_send(struct model *m, const struct model_state *w, int i)
{
	struct model_state next = *w;

	step_copy(m, *w, i, CLAIM_EV_ANSWER_LOST, 0);
	next.copy[i].late |= LATE_RUN;
	step_copy(m, next, i, CLAIM_EV_ANSWER_LOST, 0);
	next = *w;
	apply_run(m, &next, i);
	step_copy(m, next, i, CLAIM_EV_ANSWER_LOST, 0);
	step_copy(m, next, i, CLAIM_EV_ANSWER, 0);
}

/* Explores all outcomes of the action that copy i requested. */
static void do_pending(struct model *m, const struct model_state *w, int i)
{
	switch (w->copy[i].pending) {
	case CLAIM_ACT_INSERT:
		do_insert(m, w, i);
		break;
	case CLAIM_ACT_READ:
		step_copy(m, *w, i, CLAIM_EV_STORE_LOST, 0);
		step_copy_paused(m, w, i,
				 w->row_present ? CLAIM_EV_ROW
						: CLAIM_EV_NO_ROW);
		break;
	case CLAIM_ACT_CONNECT:
		step_copy_paused(m, w, i, CLAIM_EV_CONNECTED);
		step_copy_paused(m, w, i, CLAIM_EV_CONNECT_FAILED);
		break;
	case CLAIM_ACT_SEND:
		do_send(m, w, i);
		break;
	case CLAIM_ACT_REPLY_STORE:
	case CLAIM_ACT_STORE:
		do_update(m, w, i, LATE_STORE);
		break;
	case CLAIM_ACT_REFUSE_RELEASE:
	case CLAIM_ACT_RELEASE:
		do_update(m, w, i, LATE_DELETE);
		break;
	default:
		break;
	}
}

/* Lets each late operation of copy i take effect. */
static void do_late(struct model *m, const struct model_state *w, int i)
{
	unsigned int bit;

	for (bit = LATE_INSERT; bit <= LATE_RUN; bit <<= 1) {
		struct model_state next = *w;

		if (!(w->copy[i].late & bit))
			continue;
		next.copy[i].late &= (uint8_t)~bit;
		if (bit == LATE_INSERT)
			apply_insert(&next, i);
		else if (bit == LATE_DELETE)
			apply_delete(&next, i);
		else if (bit == LATE_STORE)
			apply_store(&next, i);
		else
			apply_run(m, &next, i);
		visit(m, &next);
	}
}

/* Starts copy i, disconnects its caller, or crashes its instance. */
static void do_lifecycle(struct model *m, const struct model_state *w, int i)
{
	struct model_state next = *w;

	if (!w->copy[i].began) {
		if (i && !w->copy[i - 1].began)
			return;
		next.copy[i].began = 1;
		step_copy(m, next, i, CLAIM_EV_BEGIN, 0);
		return;
	}
	if (!w->copy[i].claim.cancelled)
		step_copy(m, *w, i, CLAIM_EV_CANCELLED, 0);
	next.copy[i].dead = 1;
	if (w->copy[i].pending == CLAIM_ACT_INSERT)
		next.copy[i].late |= LATE_INSERT;
	if (w->copy[i].pending == CLAIM_ACT_SEND)
		next.copy[i].late |= LATE_RUN;
	if (w->copy[i].pending == CLAIM_ACT_REFUSE_RELEASE ||
	    w->copy[i].pending == CLAIM_ACT_RELEASE)
		next.copy[i].late |= LATE_DELETE;
	next.copy[i].pending = CLAIM_ACT_NONE;
	memset(&next.copy[i].claim, 0, sizeof(next.copy[i].claim));
	visit(m, &next);
}

/* Adds all successors of a state. */
static void explore(struct model *m, const struct model_state *w)
{
	int i;

	for (i = 0; i < COPIES; i++) {
		do_late(m, w, i);
		if (w->copy[i].dead)
			continue;
		do_lifecycle(m, w, i);
		do_pending(m, w, i);
	}
}

static void test_every_order(void **state)
{
	struct model m = {
		.visited = xcalloc(VISITED_SLOTS, sizeof(XXH128_hash_t)),
		.stack = xcalloc(STACK_DEPTH, sizeof(struct model_state)),
	};
	struct model_state w;
	int i;

	(void)state;
	memset(&w, 0, sizeof(w));
	for (i = 0; i < COPIES; i++)
		claim_init(&w.copy[i].claim, nonce_of(i), 1, DEADLINE_MS,
			   i == 0);
	visit(&m, &w);
	while (m.depth) {
		w = m.stack[--m.depth];
		explore(&m, &w);
	}
	print_message("%zu states, %zu refusals not-run, %zu first runs\n",
		      m.states, m.refused_not_run, m.ran_once);
	assert_true(m.refused_not_run > 0);
	assert_true(m.ran_once > 0);
	free(m.visited);
	free(m.stack);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
