/*
 * Shards: cost, balance and reassignments, for the fleet sizes of
 * regress/fleet_tables.c.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/pair_hash.h"
#include "policy/shard.h"
#include "regress/bench_tools.h"
#include "regress/fleet_tables.h"

#define SEED 20240611
#define SEEDS 20
#define LOSSES 6 /* about so many single losses are tried */
#define ANSWER_MAX 8

static void build(struct shard_plan *plan, const struct fleet *f)
{
	if (shard_plan_build(plan, f->instances, f->n_instances, f->orgs,
			     f->n_orgs) != SHARD_OK)
		abort();
}

static void bench_shard_cost(const char *size, const struct fleet *f)
{
	struct shard_plan plan;
	uint16_t out[ANSWER_MAX];
	size_t largest;
	double start;
	int rounds = 20;
	int i;

	shard_plan_init(&plan);
	start = bench_cpu_ns();
	for (i = 0; i < rounds; i++)
		build(&plan, f);
	bench_print("shard_build", size,
		    (bench_cpu_ns() - start) / rounds / 1e3, "us");
	start = bench_cpu_ns();
	for (i = 0; i < 100000; i++)
		shard_order(&plan, i % f->n_orgs, i % f->n_zones, 0, i, out,
			    ANSWER_MAX);
	bench_print("shard_lookup", size, (bench_cpu_ns() - start) / 100000,
		    "ns");
	shard_entries(&plan, 0, &largest);
	bench_print("shard_largest", size, largest, "instances");
	bench_print("shard_entries_an_instance", size,
		    (double)plan.n_entries / plan.n_members, "entries");
	bench_print("shard_plan_bytes", size,
		    plan.n_entries * sizeof(plan.entries[0]) +
			    (plan.n_orgs + 1) * sizeof(plan.first_entry[0]),
		    "bytes");
	bench_print("shard_fullest", size, shard_max_load(&plan), "of_mean");
	shard_plan_free(&plan);
}

/* Longest step of a plan that is built in steps; the minimum over 10 builds. */
static void bench_shard_step(const char *size, const struct fleet *f)
{
	struct shard_plan plan;
	double least = INFINITY;
	double longest;
	double start;
	bool done;
	int i;

	shard_plan_init(&plan);
	for (i = 0; i < 10; i++) {
		longest = 0;
		if (shard_plan_begin(&plan, f->instances, f->n_instances,
				     f->orgs, f->n_orgs) != SHARD_OK)
			abort();
		do {
			start = bench_cpu_ns();
			done = shard_plan_step(&plan, f->orgs);
			longest = fmax(longest, bench_cpu_ns() - start);
		} while (!done);
		least = fmin(least, longest);
	}
	bench_print("shard_longest_step", size, least / 1e3, "us");
	shard_plan_free(&plan);
}

/* Returns whether `e` is in the caller's zone (or region). */
static bool is_preferred(const struct shard_plan *plan,
			 const struct shard_entry *e, unsigned int zone,
			 unsigned int n_regions, bool by_zone)
{
	const struct shard_member *m = &plan->members[e->member];

	return by_zone ? m->zone == zone : m->region == zone % n_regions;
}

static void add_callers(const struct shard_plan *plan, const struct fleet *f,
			size_t org, unsigned int zone, double *load)
{
	const struct shard_entry *e;
	bool by_zone = plan->locality == SHARD_LOCALITY_ZONE;
	double first = 0;
	double all = 0;
	size_t n;
	size_t i;

	e = shard_entries(plan, org, &n);
	for (i = 0; i < n && by_zone; i++)
		first += is_preferred(plan, &e[i], zone, f->n_regions, true);
	by_zone = by_zone && first > 0;
	first = 0;
	for (i = 0; i < n; i++) {
		all += e[i].share;
		if (is_preferred(plan, &e[i], zone, f->n_regions, by_zone))
			first += e[i].share;
	}
	for (i = 0; i < n; i++) {
		double part = e[i].share / all;

		if (first > 0)
			part = is_preferred(plan, &e[i], zone, f->n_regions,
					    by_zone)
				       ? e[i].share / first
				       : 0;
		load[e[i].member] += part * f->orgs[org].weight;
	}
}

/*
 * Highest load of an instance, relative to the mean, if callers are spread
 * evenly over the zones (or, for `skewed`, each organisation's are in one zone)
 * and use the first address of the answer.
 */
static void bench_shard_nearest(const char *name, const char *size,
				const struct fleet *f,
				enum shard_locality locality, bool skewed)
{
	double load[FLEET_INSTANCES_MAX] = { 0 };
	struct shard_plan plan;
	double total = 0;
	double max_load = 0;
	unsigned int zone;
	size_t i;

	shard_plan_init(&plan);
	plan.locality = locality;
	build(&plan, f);
	for (i = 0; i < f->n_orgs; i++) {
		for (zone = 0; zone < f->n_zones; zone++)
			add_callers(&plan, f, i, skewed ? i % f->n_zones : zone,
				    load);
		total += (double)f->n_zones * f->orgs[i].weight;
	}
	for (i = 0; i < plan.n_members; i++)
		max_load = fmax(max_load, load[i] * plan.n_members / total);
	bench_print(name, size, max_load, "of_mean");
	shard_plan_free(&plan);
}

static double planned_max_load(const struct fleet *f)
{
	struct shard_plan plan;
	double max_load;

	shard_plan_init(&plan);
	build(&plan, f);
	max_load = shard_max_load(&plan);
	shard_plan_free(&plan);
	return max_load;
}

static void kill_zone(struct fleet *f, unsigned int zone, size_t keep_every)
{
	size_t i;

	for (i = 0; i < f->n_instances; i++) {
		if (f->instances[i].zone != zone)
			continue;
		if (keep_every == 0 || i % keep_every != 0)
			f->instances[i].state = MEMBER_DEAD;
	}
}

/*
 * Worst case over seeds of the names: whole fleet, one zone lost, one zone with
 * a quarter of its instances, steeper and flatter weights of organisations.
 */
static void bench_shard_seeds(const char *size, struct fleet *f)
{
	const double slopes[] = { 1.3, 0.6 };
	double worst[5] = { 0 };
	uint64_t seed;
	size_t i;
	size_t j;

	for (seed = 0; seed < SEEDS; seed++) {
		fleet_fill(f, seed * 1000);
		worst[0] = fmax(worst[0], planned_max_load(f));
		kill_zone(f, 1, 0);
		worst[1] = fmax(worst[1], planned_max_load(f));
		fleet_fill(f, seed * 1000);
		kill_zone(f, 1, 4);
		worst[2] = fmax(worst[2], planned_max_load(f));
		fleet_fill(f, seed * 1000);
		for (j = 0; j < 2; j++) {
			for (i = 0; i < f->n_orgs; i++)
				f->orgs[i].weight =
					ceil(1e6 / pow(i + 1, slopes[j]));
			worst[3 + j] = fmax(worst[3 + j], planned_max_load(f));
		}
	}
	bench_print("shard_fullest_worst_seed", size, worst[0], "of_mean");
	bench_print("shard_fullest_worst_zone_lost", size, worst[1], "of_mean");
	bench_print("shard_fullest_worst_small_zone", size, worst[2],
		    "of_mean");
	bench_print("shard_fullest_worst_steep", size, worst[3], "of_mean");
	bench_print("shard_fullest_worst_flat", size, worst[4], "of_mean");
	fleet_fill(f, SEED);
}

static size_t count_removed(const struct shard_plan *old,
			    const struct shard_plan *new)
{
	size_t lost = 0;
	const struct shard_entry *e;
	size_t i;
	size_t j;
	size_t n;

	for (i = 0; i < old->n_orgs; i++) {
		e = shard_entries(old, i, &n);
		for (j = 0; j < n; j++) {
			uint64_t id = old->members[e[j].member].id;

			if (!shard_serves(new, i, id))
				lost++;
		}
	}
	return lost;
}

static size_t count_on_lost(const struct shard_plan *plan,
			    const struct fleet *f, const struct fleet *smaller)
{
	bool stays[SHARD_MEMBERS_MAX] = { 0 };
	size_t i;
	size_t j;
	size_t n = 0;

	for (i = 0; i < plan->n_members; i++) {
		for (j = 0; j < f->n_instances; j++) {
			if (smaller->instances[j].id == plan->members[i].id)
				stays[i] = smaller->instances[j].state ==
					   MEMBER_ALIVE;
		}
	}
	for (i = 0; i < plan->n_entries; i++) {
		if (!stays[plan->entries[i].member])
			n++;
	}
	return n;
}

/* Assignments removed or added, relative to those on lost instances. */
static double shard_moves(const struct fleet *f, const struct fleet *smaller)
{
	struct shard_plan old;
	struct shard_plan new;
	size_t unavoidable;
	size_t removed;
	size_t added;

	shard_plan_init(&old);
	shard_plan_init(&new);
	build(&old, f);
	build(&new, smaller);
	unavoidable = count_on_lost(&old, f, smaller);
	removed = count_removed(&old, &new);
	added = count_removed(&new, &old);
	shard_plan_free(&old);
	shard_plan_free(&new);
	return fmax(removed, added) / unavoidable;
}

/* Worst case over the loss of single instances and of each zone. */
static void bench_shard_losses(const char *size, const struct fleet *f)
{
	struct fleet *smaller = xmemdup(f, sizeof(*f));
	double instance = 0;
	double zone = 0;
	size_t i;

	for (i = 0; i < f->n_instances; i += f->n_instances / LOSSES) {
		memcpy(smaller, f, sizeof(*f));
		smaller->instances[i].state = MEMBER_DEAD;
		instance = fmax(instance, shard_moves(f, smaller));
	}
	for (i = 0; i < f->n_zones; i++) {
		memcpy(smaller, f, sizeof(*f));
		kill_zone(smaller, i, 0);
		zone = fmax(zone, shard_moves(f, smaller));
	}
	bench_print("shard_moves_instance_lost", size, instance,
		    "of_unavoidable");
	bench_print("shard_moves_zone_lost", size, zone, "of_unavoidable");
	free(smaller);
}

int main(void)
{
	struct fleet *f = xcalloc(1, sizeof(*f));
	const char *size;
	size_t i;

	setlinebuf(stdout);
	for (i = 0; i < FLEET_SIZES; i++) {
		size = fleet_resize(f, i, SEED);
		bench_shard_cost(size, f);
		bench_shard_step(size, f);
		bench_shard_nearest("shard_fullest_region_first", size, f,
				    SHARD_LOCALITY_REGION, false);
		bench_shard_nearest("shard_fullest_zone_first", size, f,
				    SHARD_LOCALITY_ZONE, false);
		bench_shard_nearest("shard_fullest_region_first_skewed", size,
				    f, SHARD_LOCALITY_REGION, true);
		bench_shard_nearest("shard_fullest_zone_first_skewed", size, f,
				    SHARD_LOCALITY_ZONE, true);
		bench_shard_seeds(size, f);
		bench_shard_losses(size, f);
	}
	free(f);
	return 0;
}
