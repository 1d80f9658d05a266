/*
 * Membership: CPU time per call, bytes on the wire, and the time that updates
 * take to spread, with tables that exchange messages inside this process.
 */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/member.h"
#include "policy/pair_hash.h"
#include "regress/bench_tools.h"

#define FRAME_BYTES 4 /* length prefix */
#define TCP_BYTES 52 /* TCP and IP headers per segment */
#define PERIODS_MAX 200
#define TICKS_A_PERIOD (MEMBER_PERIOD_MS / MEMBER_TICK_MS)
#define ZONES 13
#define REGIONS 4
#define JOINED_AT 1700000000000ull /* wall clock, ms */

struct bench_net {
	size_t n;
	uint64_t now;
	uint64_t rnd;
	size_t n_queued;
	size_t max_queued;
	struct member_msg *queue;
	struct member_msg *in_flight;
	struct member_table *tables;
	bool *down;
	bool *partitioned; /* in a region that is disconnected from the rest */
	uint64_t n_messages;
	uint64_t n_bytes;
	uint64_t n_ticks;
	uint64_t n_received;
	double tick_ns;
	double receive_ns;
};

static void print(const char *name, size_t n, double value, const char *unit)
{
	printf("%s_%zu %.6g %s\n", name, n, value, unit);
}

static size_t varint(uint64_t v)
{
	size_t n = 1;

	while (v >>= 7)
		n++;
	return n;
}

/* Size of a field with a one-byte tag; protobuf omits zeros. */
static size_t field(uint64_t v)
{
	return v == 0 ? 0 : 1 + varint(v);
}

/* Size of an update as protobuf, with an IPv4 address and a port. */
static size_t update_bytes(const struct member_update *u)
{
	return 2 + field(u->id) + field(u->incarnation) +
	       field(u->config_version) + field(u->state) + 6 +
	       field(u->addr.port) + field(u->addr.zone) +
	       field(u->addr.region);
}

static size_t message_bytes(const struct member_msg *msg)
{
	size_t bytes = FRAME_BYTES + field(msg->kind) + field(msg->seq) +
		       field(msg->to) + field(msg->target) +
		       update_bytes(&msg->from);
	unsigned int i;

	for (i = 0; i < msg->n_updates; i++)
		bytes += update_bytes(&msg->updates[i]);
	return bytes;
}

static void enqueue(struct bench_net *net, const struct member_msg *msgs,
		    size_t n)
{
	size_t i;

	if (net->n_queued + n > net->max_queued)
		abort();
	for (i = 0; i < n; i++) {
		net->queue[net->n_queued++] = msgs[i];
		net->n_messages++;
		net->n_bytes += message_bytes(&msgs[i]);
	}
}

/* Ids are random; a node's index is stored in its port. */
static uint64_t id_of(size_t i)
{
	return pair_hash(99, i);
}

static size_t index_of(const struct bench_net *net, uint64_t id)
{
	const struct member *m = member_find(&net->tables[0], id);

	return m->u.addr.port;
}

static void deliver(struct bench_net *net)
{
	struct member_msg out[MEMBER_OUT_MAX];
	struct member_msg *swap = net->in_flight;
	size_t n = net->n_queued;
	size_t n_out;
	size_t i;
	double start;

	net->in_flight = net->queue;
	net->queue = swap;
	net->n_queued = 0;
	for (i = 0; i < n; i++) {
		size_t to = index_of(net, net->in_flight[i].to);
		size_t from;

		from = index_of(net, net->in_flight[i].from.id);
		if (net->down[to] ||
		    net->partitioned[from] != net->partitioned[to])
			continue;
		start = bench_cpu_ns();
		member_receive(&net->tables[to], &net->in_flight[i], net->now,
			       out, MEMBER_OUT_MAX, &n_out);
		net->receive_ns += bench_cpu_ns() - start;
		net->n_received++;
		enqueue(net, out, n_out);
	}
}

static void run(struct bench_net *net, unsigned int ticks)
{
	struct member_msg out[MEMBER_OUT_MAX];
	double start;
	size_t n;
	size_t i;

	while (ticks-- > 0) {
		net->now += MEMBER_TICK_MS;
		deliver(net);
		for (i = 0; i < net->n; i++) {
			if (net->down[i])
				continue;
			net->rnd = pair_hash(net->rnd, i);
			start = bench_cpu_ns();
			n = member_tick(&net->tables[i], net->now, net->rnd,
					out, MEMBER_OUT_MAX);
			net->tick_ns += bench_cpu_ns() - start;
			net->n_ticks++;
			enqueue(net, out, n);
		}
	}
}

/*
 * Nodes that have received `version` adopt and announce it at once.  Returns
 * the number of nodes that have it in force.
 */
static size_t adopt_all(struct bench_net *net, uint64_t version)
{
	struct member_msg out[MEMBER_OUT_MAX];
	size_t in_force = 0;
	size_t i;
	size_t n;

	for (i = 0; i < net->n; i++) {
		struct member_table *t = &net->tables[i];
		const struct member *self = member_find(t, id_of(i));

		if (self->u.config_version < version &&
		    t->latest_config >= version) {
			member_set_config(t, version);
			net->rnd = pair_hash(net->rnd, i);
			n = member_announce(t, net->rnd, out, MEMBER_OUT_MAX);
			enqueue(net, out, n);
		}
		in_force += self->u.config_version >= version;
	}
	return in_force;
}

static void reset_counts(struct bench_net *net)
{
	net->n_messages = 0;
	net->n_bytes = 0;
	net->n_ticks = 0;
	net->n_received = 0;
	net->tick_ns = 0;
	net->receive_ns = 0;
}

static struct member_update update_of(size_t i)
{
	struct member_update u = {
		.id = id_of(i),
		.incarnation = JOINED_AT + i,
		.config_version = 4900,
		.state = MEMBER_ALIVE,
		.addr = { .port = i, .zone = i % ZONES, .region = i % REGIONS },
	};

	return u;
}

/* All nodes know each other from the start, without pending updates. */
static struct bench_net *new_net(size_t n)
{
	struct bench_net *net = xcalloc(1, sizeof(*net));
	struct member_update u;
	size_t i;
	size_t j;

	net->n = n;
	net->rnd = 1;
	net->max_queued = 64 * n;
	net->queue = xcalloc(net->max_queued, sizeof(net->queue[0]));
	net->in_flight = xcalloc(net->max_queued, sizeof(net->queue[0]));
	net->tables = xcalloc(n, sizeof(net->tables[0]));
	net->down = xcalloc(n, sizeof(net->down[0]));
	net->partitioned = xcalloc(n, sizeof(net->partitioned[0]));
	for (i = 0; i < n; i++) {
		u = update_of(i);
		member_init(&net->tables[i], &u, 0);
		for (j = 0; j < n; j++) {
			u = update_of(j);
			member_merge(&net->tables[i], &u, 0);
		}
		for (j = 0; j < n; j++)
			net->tables[i].members[j].sends_left = 0;
		net->tables[i].n_pending = 0;
	}
	return net;
}

static void free_net(struct bench_net *net)
{
	free(net->tables);
	free(net->down);
	free(net->partitioned);
	free(net->queue);
	free(net->in_flight);
	free(net);
}

/* Whether all running nodes have node `about` in `state` or a later one. */
static bool all_see(const struct bench_net *net, size_t about,
		    enum member_state state)
{
	size_t i;

	for (i = 0; i < net->n; i++) {
		if (i == about || net->down[i])
			continue;
		if (member_find(&net->tables[i], id_of(about))->u.state < state)
			return false;
	}
	return true;
}

/* Seconds until all_see(); -1 after PERIODS_MAX periods. */
static double seconds_until(struct bench_net *net, size_t about,
			    enum member_state state)
{
	unsigned int ticks = 0;

	while (!all_see(net, about, state)) {
		if (ticks++ == PERIODS_MAX * TICKS_A_PERIOD)
			return -1;
		run(net, 1);
	}
	return ticks * MEMBER_TICK_MS / 1e3;
}

static void bench_steady(struct bench_net *net)
{
	const unsigned int periods = 20;
	double node_seconds = (double)periods * net->n;

	reset_counts(net);
	run(net, periods * TICKS_A_PERIOD);
	print("member_tick", net->n, net->tick_ns / net->n_ticks, "ns");
	print("member_receive", net->n, net->receive_ns / net->n_received,
	      "ns");
	print("member_cpu_a_node", net->n,
	      (net->tick_ns + net->receive_ns) / node_seconds / 1e7, "percent");
	print("member_sent_a_node", net->n, net->n_messages / node_seconds,
	      "messages/s");
	print("member_sent_bytes_a_node", net->n, net->n_bytes / node_seconds,
	      "bytes/s");
	print("member_sent_wire_bytes_a_node", net->n,
	      (net->n_bytes + net->n_messages * 2 * TCP_BYTES) / node_seconds,
	      "bytes/s");
}

static void bench_config(struct bench_net *net)
{
	const uint64_t version = 5000;
	struct member_update first = update_of(0);
	unsigned int ticks = 0;

	first.config_version = version;
	member_merge(&net->tables[1], &first, net->now);
	member_set_config(&net->tables[0], version);
	while (adopt_all(net, version) < net->n &&
	       ticks++ < PERIODS_MAX * TICKS_A_PERIOD)
		run(net, 1);
	print("member_config_known_to_all", net->n,
	      ticks * MEMBER_TICK_MS / 1e3, "s");
}

static void bench_leaving(struct bench_net *net)
{
	member_leave(&net->tables[1], MEMBER_LEAVING, net->now);
	print("member_leaving_known_to_all", net->n,
	      seconds_until(net, 1, MEMBER_LEAVING), "s");
}

static void bench_death(struct bench_net *net)
{
	double suspected;

	net->down[2] = true;
	suspected = seconds_until(net, 2, MEMBER_SUSPECT);
	print("member_death_suspected_by_all", net->n, suspected, "s");
	print("member_death_known_to_all", net->n,
	      suspected + seconds_until(net, 2, MEMBER_DEAD), "s");
}

/* Zone 3 is lost; one more node leaves while that spreads. */
static void bench_zone_loss(struct bench_net *net)
{
	uint64_t lost_at = net->now;
	size_t n_lost = 0;
	size_t i;

	for (i = 3; i < net->n; i += ZONES) {
		net->down[i] = true;
		n_lost++;
	}
	reset_counts(net);
	run(net, 10 * TICKS_A_PERIOD);
	member_leave(&net->tables[4], MEMBER_LEAVING, net->now);
	print("member_leaving_known_to_all_in_zone_loss", net->n,
	      seconds_until(net, 4, MEMBER_LEAVING), "s");
	for (i = 3; i < net->n; i += ZONES) {
		if (seconds_until(net, i, MEMBER_DEAD) < 0)
			abort();
	}
	print("member_zone_loss_known_to_all", net->n,
	      (net->now - lost_at) / 1e3, "s");
	print("member_sent_wire_bytes_a_node_in_zone_loss", net->n,
	      (net->n_bytes + net->n_messages * 2 * TCP_BYTES) * 1e3 /
		      (net->now - lost_at) / (net->n - n_lost),
	      "bytes/s");
}

/* The fraction of all views in which the member is alive. */
static double alive_views(const struct bench_net *net)
{
	size_t n = 0;
	size_t i;
	size_t j;

	for (i = 0; i < net->n; i++) {
		for (j = 0; j < net->n; j++)
			n += net->tables[i].members[j].u.state == MEMBER_ALIVE;
	}
	return (double)n / net->n / net->n;
}

/* Region 0 is disconnected for two minutes. */
static void bench_partition(struct bench_net *net)
{
	unsigned int ticks = 0;
	size_t i;

	for (i = 0; i < net->n; i += REGIONS)
		net->partitioned[i] = true;
	run(net, 120 * TICKS_A_PERIOD);
	print("member_alive_views_in_partition", net->n, alive_views(net),
	      "of_all");
	memset(net->partitioned, 0, net->n * sizeof(net->partitioned[0]));
	reset_counts(net);
	while (alive_views(net) < 1 && ticks++ < PERIODS_MAX * TICKS_A_PERIOD)
		run(net, 1);
	print("member_partition_healed", net->n, ticks * MEMBER_TICK_MS / 1e3,
	      "s");
	print("member_sent_wire_bytes_a_node_while_healing", net->n,
	      (net->n_bytes + net->n_messages * 2 * TCP_BYTES) * 1e3 /
		      (ticks * MEMBER_TICK_MS) / net->n,
	      "bytes/s");
}

/* Bytes of a message that is full of updates. */
static void bench_full_message(void)
{
	struct member_msg msg = { .kind = MEMBER_ACK, .seq = 100000 };
	unsigned int i;

	msg.to = id_of(1);
	msg.target = id_of(2);
	msg.from = update_of(2);
	msg.n_updates = MEMBER_PIGGYBACK_MAX;
	for (i = 0; i < MEMBER_PIGGYBACK_MAX; i++)
		msg.updates[i] = update_of(900 + i);
	printf("member_full_message %zu bytes\n", message_bytes(&msg));
	printf("member_memory %zu bytes_a_member\n", sizeof(struct member));
	printf("member_table %zu bytes\n", sizeof(struct member_table));
}

int main(void)
{
	const size_t sizes[] = { 6, 60, 920 };
	struct bench_net *net;
	size_t i;

	setlinebuf(stdout);
	bench_full_message();
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		net = new_net(sizes[i]);
		bench_steady(net);
		bench_config(net);
		bench_leaving(net);
		bench_death(net);
		if (sizes[i] > ZONES * 2)
			bench_zone_loss(net);
		free_net(net);
		net = new_net(sizes[i]);
		bench_partition(net);
		free_net(net);
	}
	return 0;
}
