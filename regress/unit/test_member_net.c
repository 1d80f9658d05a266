/*
 * Tests of policy/member_probe.c with tables that exchange messages, under
 * loss, pauses, deaths and a partition.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "policy/member.h"
#include "policy/pair_hash.h"

#define NODES 60
#define QUEUE_MAX 65536
#define DETECT_PERIODS 40 /* until all have detected a death */
#define JOIN_PERIODS 30
#define CONFIG_PERIODS 5
#define LEAVE_PERIODS 2
#define HEAL_PERIODS 60

/* Tables that exchange messages, each in flight for one tick. */
struct net {
	uint64_t now;
	uint64_t rnd;
	unsigned int loss_percent;
	size_t n_sent;
	size_t n_queued;
	struct member_msg queue[QUEUE_MAX];
	bool down[NODES];
	bool paused[NODES];
	int partition[NODES];
	struct member_table *tables[NODES];
};

static uint64_t next_random(struct net *net)
{
	return net->rnd = pair_hash(net->rnd, 1);
}

static void enqueue(struct net *net, const struct member_msg *msgs, size_t n)
{
	assert_true(net->n_queued + n <= QUEUE_MAX);
	memcpy(&net->queue[net->n_queued], msgs, n * sizeof(*msgs));
	net->n_queued += n;
	net->n_sent += n;
}

static bool is_lost(struct net *net, const struct member_msg *msg)
{
	size_t from = msg->from.id - 1;
	size_t to = msg->to - 1;

	if (net->down[from] || net->down[to])
		return true;
	if (net->partition[from] != net->partition[to])
		return true;
	return next_random(net) % 100 < net->loss_percent;
}

static void deliver(struct net *net)
{
	static struct member_msg in_flight[QUEUE_MAX];
	struct member_msg out[MEMBER_OUT_MAX];
	size_t n = net->n_queued;
	size_t n_out;
	size_t i;

	memcpy(in_flight, net->queue, n * sizeof(in_flight[0]));
	net->n_queued = 0;
	for (i = 0; i < n; i++) {
		const struct member_msg *msg = &in_flight[i];

		if (net->paused[msg->to - 1]) {
			/* Stays in the receiver's buffers. */
			enqueue(net, msg, 1);
			net->n_sent--;
			continue;
		}
		if (is_lost(net, msg))
			continue;
		assert_int_equal(member_receive(net->tables[msg->to - 1], msg,
						net->now, out, MEMBER_OUT_MAX,
						&n_out),
				 MEMBER_OK);
		enqueue(net, out, n_out);
	}
}

/* Adopts a newly announced version at once and announces it. */
static void adopt_config(struct net *net, size_t i)
{
	struct member_msg out[MEMBER_OUT_MAX];
	struct member_table *t = net->tables[i];
	size_t n;

	if (t->latest_config <= member_find(t, i + 1)->u.config_version)
		return;
	member_set_config(t, t->latest_config);
	n = member_announce(t, next_random(net), out, MEMBER_OUT_MAX);
	enqueue(net, out, n);
}

static void run(struct net *net, unsigned int periods)
{
	struct member_msg out[MEMBER_OUT_MAX];
	unsigned int ticks = periods * MEMBER_PERIOD_MS / MEMBER_TICK_MS;
	size_t i;
	size_t n;

	while (ticks-- > 0) {
		net->now += MEMBER_TICK_MS;
		deliver(net);
		for (i = 0; i < NODES; i++) {
			if (net->down[i] || net->paused[i])
				continue;
			n = member_tick(net->tables[i], net->now,
					next_random(net), out, MEMBER_OUT_MAX);
			enqueue(net, out, n);
			adopt_config(net, i);
		}
	}
}

static void start_node(struct net *net, size_t i, uint64_t incarnation)
{
	struct member_listing list[NODES] = { 0 };
	struct member_update self = { .id = i + 1, .incarnation = incarnation };
	size_t j;

	for (j = 0; j < NODES; j++)
		list[j].id = j + 1;
	member_init(net->tables[i], &self, net->now);
	assert_int_equal(member_list(net->tables[i], list, NODES, net->now),
			 MEMBER_OK);
}

/* Copies the whole table of a peer, as a new process does. */
static void copy_table(struct net *net, size_t from, size_t to)
{
	struct member_update updates[7];
	size_t at = 0;
	size_t n;
	size_t i;

	while ((n = member_copy_updates(net->tables[from], &at, updates, 7)) >
	       0) {
		for (i = 0; i < n; i++)
			member_merge(net->tables[to], &updates[i], net->now);
	}
}

static struct net *new_net(uint64_t seed, unsigned int loss_percent)
{
	struct net *net = xcalloc(1, sizeof(*net));
	size_t i;

	net->now = 1000;
	net->rnd = seed;
	net->loss_percent = loss_percent;
	for (i = 0; i < NODES; i++) {
		net->tables[i] = xcalloc(1, sizeof(*net->tables[i]));
		start_node(net, i, 1000 + i);
	}
	run(net, JOIN_PERIODS);
	return net;
}

static void free_net(struct net *net)
{
	size_t i;

	for (i = 0; i < NODES; i++)
		free(net->tables[i]);
	free(net);
}

/* Returns how many running nodes have node `about` in `state`. */
static size_t count_views(const struct net *net, size_t about,
			  enum member_state state)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < NODES; i++) {
		const struct member *m;

		if (net->down[i] || net->paused[i] || i == about)
			continue;
		m = member_find(net->tables[i], about + 1);
		n += m && m->u.state == state;
	}
	return n;
}

static uint64_t count_deaths(const struct net *net)
{
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < NODES; i++)
		n += net->tables[i]->deaths;
	return n;
}

static bool all_alive(const struct net *net)
{
	size_t i;

	for (i = 0; i < NODES; i++) {
		if (count_views(net, i, MEMBER_ALIVE) != NODES - 1)
			return false;
	}
	return true;
}

/*
 * Fails unless all nodes see each other as alive at some moment within
 * `periods`.  With message loss a node may be suspect at any single moment.
 */
static void require_all_alive(struct net *net, unsigned int periods)
{
	while (!all_alive(net)) {
		assert_true(periods-- > 0);
		run(net, 1);
	}
}

static void test_all_join(void **state)
{
	struct net *net = new_net(1, 5);

	(void)state;
	require_all_alive(net, JOIN_PERIODS);
	assert_int_equal(count_deaths(net), 0);
	free_net(net);
}

static void test_death_detected_by_all(void **state)
{
	struct net *net = new_net(2, 5);
	unsigned int period;
	size_t i;

	(void)state;
	net->down[7] = true;
	/* Message loss may make others suspect, but never dead. */
	for (period = 0; period < DETECT_PERIODS; period++) {
		run(net, 1);
		for (i = 0; i < NODES; i++) {
			if (i != 7)
				assert_int_equal(
					count_views(net, i, MEMBER_DEAD), 0);
		}
	}
	assert_int_equal(count_views(net, 7, MEMBER_DEAD), NODES - 1);
	/* The same instance comes back as a new process. */
	net->down[7] = false;
	start_node(net, 7, 50000);
	copy_table(net, 0, 7);
	require_all_alive(net, JOIN_PERIODS);
	free_net(net);
}

/* An instance restarted with an earlier wall clock refutes its death. */
static void test_restart_with_earlier_clock(void **state)
{
	struct net *net = new_net(3, 0);

	(void)state;
	net->down[7] = true;
	run(net, DETECT_PERIODS);
	net->down[7] = false;
	start_node(net, 7, 1);
	copy_table(net, 0, 7);
	require_all_alive(net, JOIN_PERIODS);
	free_net(net);
}

static void test_short_pause_causes_no_death(void **state)
{
	struct net *net = new_net(4, 2);

	(void)state;
	net->paused[11] = true;
	run(net, 5);
	net->paused[11] = false;
	run(net, JOIN_PERIODS);
	assert_int_equal(net->tables[11]->pauses, 1);
	assert_int_equal(count_deaths(net), 0);
	require_all_alive(net, JOIN_PERIODS);
	free_net(net);
}

/* Others declare a node dead that is paused for long, but not vice versa. */
static void test_long_pause(void **state)
{
	struct net *net = new_net(5, 2);
	size_t i;

	(void)state;
	net->paused[11] = true;
	run(net, DETECT_PERIODS);
	assert_int_equal(count_views(net, 11, MEMBER_DEAD), NODES - 1);
	net->paused[11] = false;
	for (i = 0; i < JOIN_PERIODS; i++) {
		run(net, 1);
		assert_int_equal(net->tables[11]->deaths, 0);
	}
	require_all_alive(net, JOIN_PERIODS);
	free_net(net);
}

static void test_partition_heals(void **state)
{
	struct net *net = new_net(6, 2);
	size_t i;

	(void)state;
	for (i = 0; i < NODES / 3; i++)
		net->partition[i] = 1;
	run(net, 120);
	assert_int_equal(count_views(net, 0, MEMBER_DEAD), NODES * 2 / 3);
	assert_int_equal(count_views(net, NODES - 1, MEMBER_DEAD), NODES / 3);
	memset(net->partition, 0, sizeof(net->partition));
	require_all_alive(net, HEAL_PERIODS);
	free_net(net);
}

static void test_leaving_spreads(void **state)
{
	struct net *net = new_net(7, 2);
	const struct member *m;

	(void)state;
	member_leave(net->tables[3], MEMBER_LEAVING, net->now);
	run(net, LEAVE_PERIODS);
	assert_int_equal(count_views(net, 3, MEMBER_LEAVING), NODES - 1);
	m = member_find(net->tables[0], 4);
	assert_false(member_serves(m));
	/* It is paused while leaving and doesn't serve afterwards. */
	net->paused[3] = true;
	run(net, 5);
	assert_false(member_serves(member_find(net->tables[0], 4)));
	net->paused[3] = false;
	run(net, JOIN_PERIODS);
	assert_int_equal(count_views(net, 3, MEMBER_LEAVING), NODES - 1);
	free_net(net);
}

/* A new version is in force everywhere within a few periods. */
static void test_config_version_spreads(void **state)
{
	struct net *net = new_net(8, 5);
	size_t i;

	(void)state;
	member_set_config(net->tables[0], 9);
	run(net, CONFIG_PERIODS);
	for (i = 0; i < NODES; i++)
		assert_int_equal(
			member_find(net->tables[i], i + 1)->u.config_version,
			9);
	free_net(net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_join),
		cmocka_unit_test(test_death_detected_by_all),
		cmocka_unit_test(test_restart_with_earlier_clock),
		cmocka_unit_test(test_short_pause_causes_no_death),
		cmocka_unit_test(test_long_pause),
		cmocka_unit_test(test_partition_heals),
		cmocka_unit_test(test_leaving_spreads),
		cmocka_unit_test(test_config_version_spreads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
