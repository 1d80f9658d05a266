/* How old an instance's view of the store is. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/store_poll.h"
#include "policy/store_view.h"

#define NOW_MS 100000
#define FLEET_MAX 16
#define TICK_MS 20
#define PULSE_MS 250 /* of up to 16 instances */
#define BOUND_MS 2000 /* in which a configuration takes effect */
#define ADOPT_MS 100 /* from a reading until the others have its change */

/* The newer of what was read and what others have told decides; neither goes
 * back. */
static void newest_decides(void **state)
{
	struct store_view v = { 0 };

	(void)state;
	assert_true(store_view_age_ms(&v, NOW_MS) == UINT64_MAX);
	store_view_read(&v, NOW_MS - 900);
	assert_int_equal(store_view_age_ms(&v, NOW_MS), 900);
	store_view_told(&v, NOW_MS - 1200);
	assert_int_equal(store_view_age_ms(&v, NOW_MS), 900);
	store_view_told(&v, NOW_MS - 300);
	store_view_read(&v, NOW_MS - 800);
	assert_int_equal(store_view_age_ms(&v, NOW_MS), 300);
	store_view_told(&v, NOW_MS + 5); /* by a clock that is ahead */
	assert_int_equal(store_view_age_ms(&v, NOW_MS), 0);
	store_view_reset(&v);
	assert_true(store_view_age_ms(&v, NOW_MS) == UINT64_MAX);
}

/* That a view becomes old is told once, and that it is renewed. */
static void changes_are_told_once(void **state)
{
	struct store_view v = { 0 };
	const uint64_t old_ms = NOW_MS + STORE_VIEW_OLD_MS + 1;

	(void)state;
	store_view_read(&v, NOW_MS);
	assert_false(store_view_old_changes(&v, old_ms - 1));
	assert_true(store_view_old_changes(&v, old_ms));
	assert_true(v.old);
	assert_false(store_view_old_changes(&v, old_ms + 500));
	store_view_told(&v, old_ms);
	assert_true(store_view_old_changes(&v, old_ms + 600));
	assert_false(v.old);
}

/* An instance of a fleet in the order in which they renew their views. */
struct fleet_instance {
	struct store_view view;
	uint64_t answer_ms; /* of its call in progress; UINT64_MAX: never */
	uint64_t answer_shows_ms; /* the view that the answer then gives */
	uint64_t pulse_ms; /* the next one */
	unsigned int renewals;
	bool parted; /* no call of it is answered any more */
	bool frozen;
};

struct fleet {
	struct fleet_instance instance[FLEET_MAX];
	size_t n;
	uint32_t latency_ms; /* of the store's answers */
	bool datagrams_lost;
};

/* Starts the call of the first instance that waits for changes in vain. */
static void wait_for_changes(const struct fleet *f, struct fleet_instance *p,
			     uint64_t now)
{
	const struct store_poll_others others = { .instances = f->n };
	uint64_t until_ms = now + store_poll_wait_ms(&others, true,
						     now - p->answer_shows_ms);

	p->answer_ms = until_ms + f->latency_ms;
	p->answer_shows_ms = until_ms;
}

/* Tells the others the view that an instance has read itself. */
static void pulse(struct fleet *f, const struct fleet_instance *from)
{
	size_t i;

	for (i = 0; i < f->n && !f->datagrams_lost; i++)
		if (&f->instance[i] != from && !f->instance[i].frozen)
			store_view_told(&f->instance[i].view,
					from->view.read_ms);
}

/* Runs one tick of an instance. */
static void tick_instance(struct fleet *f, size_t i, uint64_t now)
{
	struct fleet_instance *p = &f->instance[i];

	if (p->frozen)
		return;
	if (now >= p->answer_ms) {
		if (store_view_read(&p->view, p->answer_shows_ms))
			p->pulse_ms = now;
		p->answer_ms = UINT64_MAX;
		if (!i && !p->parted)
			wait_for_changes(f, p, now);
	}
	if (store_view_renewal_due(&p->view, f->datagrams_lost ? 0 : i,
				   f->datagrams_lost ? 1 : f->n, now)) {
		p->renewals++;
		p->answer_ms = p->parted ? UINT64_MAX : now + f->latency_ms;
		p->answer_shows_ms = now;
	}
	if (now >= p->pulse_ms) {
		pulse(f, p);
		p->pulse_ms = now + PULSE_MS;
	}
}

/* Begins a fleet of n whose views are new and whose pulses are spread. */
static void fleet_begin(struct fleet *f, size_t n, uint32_t latency_ms)
{
	size_t i;

	*f = (struct fleet){ .n = n, .latency_ms = latency_ms };
	for (i = 0; i < n; i++) {
		f->instance[i].view.read_ms = NOW_MS;
		f->instance[i].pulse_ms = NOW_MS + i * PULSE_MS / n;
		f->instance[i].answer_ms = UINT64_MAX;
	}
	f->instance[0].answer_shows_ms = NOW_MS;
	wait_for_changes(f, &f->instance[0], NOW_MS);
}

/* Runs a fleet from one time to another; returns the largest age of a view of an
 * instance that is neither parted nor frozen. */
static uint64_t fleet_run(struct fleet *f, uint64_t from, uint64_t until)
{
	uint64_t oldest_ms = 0;
	uint64_t now;
	size_t i;

	for (now = from; now < until; now += TICK_MS)
		for (i = 0; i < f->n; i++) {
			const struct fleet_instance *p = &f->instance[i];
			uint64_t age_ms = store_view_age_ms(&p->view, now);

			tick_instance(f, i, now);
			if (!p->parted && !p->frozen && age_ms > oldest_ms)
				oldest_ms = age_ms;
		}
	return oldest_ms;
}

/* Nothing is lost: the calls of the first instance renew all views, and no other
 * one reads. */
static void calm_fleets(void **state)
{
	static const uint32_t latencies_ms[] = { 4, 240 };
	struct fleet f;
	size_t n;
	size_t i;
	size_t k;

	(void)state;
	for (k = 0; k < 2; k++)
		for (n = 1; n <= FLEET_MAX; n++) {
			fleet_begin(&f, n, latencies_ms[k]);
			assert_true(fleet_run(&f, NOW_MS, NOW_MS + 30000) <=
				    STORE_VIEW_OLD_MS);
			for (i = 0; i < n; i++)
				assert_int_equal(f.instance[i].renewals, 0);
		}
}

/* A slow store costs readings, but each view is renewed. */
static void slow_store(void **state)
{
	struct fleet f;

	(void)state;
	fleet_begin(&f, 6, 1500);
	assert_true(fleet_run(&f, NOW_MS, NOW_MS + 30000) < 6000);
}

/* All calls in progress are dead, and the first instances are parted from the
 * store, or frozen, in the same moment: a change that is made just after the last
 * answer is known to all others in time.  Few of them read for that. */
static void calls_are_lost(void **state)
{
	struct fleet f;
	size_t n;
	size_t lost;
	size_t i;
	int how;

	(void)state;
	for (n = 1; n <= FLEET_MAX; n++)
		for (lost = 0; lost < n; lost++)
			for (how = 0; how < 2; how++) {
				unsigned int renewals = 0;

				fleet_begin(&f, n, 4);
				for (i = 0; i < n; i++)
					f.instance[i].answer_ms = UINT64_MAX;
				for (i = 0; i < lost; i++) {
					f.instance[i].parted = how == 0;
					f.instance[i].frozen = how == 1;
				}
				assert_true(
					fleet_run(&f, NOW_MS, NOW_MS + 8000) +
						ADOPT_MS <=
					BOUND_MS);
				for (i = lost; i < n; i++)
					renewals += f.instance[i].renewals;
				assert_true(renewals <= 8 * 2);
			}
}

/* The same if the instances can't tell each other anything: each reads. */
static void datagrams_are_lost(void **state)
{
	struct fleet f;
	size_t i;

	(void)state;
	fleet_begin(&f, 6, 4);
	f.datagrams_lost = true;
	for (i = 0; i < 6; i++)
		f.instance[i].answer_ms = UINT64_MAX;
	assert_true(fleet_run(&f, NOW_MS, NOW_MS + 8000) + ADOPT_MS <=
		    BOUND_MS);
}

/* A renewal whose calls are dead as well is made again soon, and less often as
 * long as none is answered. */
static void renewals_are_made_again(void **state)
{
	struct store_view v = { .read_ms = NOW_MS };
	uint64_t at_ms[8] = { 0 };
	uint64_t now;
	size_t n = 0;

	(void)state;
	for (now = NOW_MS; now < NOW_MS + 30000 && n < 8; now += TICK_MS)
		if (store_view_renewal_due(&v, 0, 1, now))
			at_ms[n++] = now;
	assert_int_equal(n, 8);
	assert_true(at_ms[1] - NOW_MS + ADOPT_MS <= BOUND_MS);
	assert_true(at_ms[7] - at_ms[6] >= 3000);
	assert_true(at_ms[7] - at_ms[6] <= 4000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(calm_fleets),
		cmocka_unit_test(slow_store),
		cmocka_unit_test(calls_are_lost),
		cmocka_unit_test(datagrams_are_lost),
		cmocka_unit_test(renewals_are_made_again),
		cmocka_unit_test(newest_decides),
		cmocka_unit_test(changes_are_told_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
