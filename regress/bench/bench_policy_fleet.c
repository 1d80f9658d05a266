/*
 * Cost, balance and movement of the fleet-wide decisions, at the sizes of
 * today, of a tenth and of the whole target.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "lib/xalloc.h"
#include "policy/pair_hash.h"
#include "policy/shard.h"
#include "policy/subset.h"
#include "regress/fleet_tables.h"

#define SEED 20240611
#define SEEDS 20
#define LOSSES 6 /* instances whose loss is tried */
#define ANSWER_MAX 8

struct bench_size {
	const char *name;
	size_t instances;
	size_t endpoints;
	size_t orgs;
	unsigned int zones;
	unsigned int regions;
	unsigned int models;
};

static const struct bench_size sizes[] = {
	{ "6", 6, 100, 10, 3, 1, 4 },
	{ "60", 60, 1000, 130, 6, 2, 10 },
	{ "920", 920, 6600, 1300, 13, 4, 29 },
};

static void print(const char *name, const char *size, double value,
		  const char *unit)
{
	printf("%s_%s %.6g %s\n", name, size, value, unit);
}

/* Processor time, ns. */
static double cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * 1e9 + ts.tv_nsec;
}

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
	start = cpu_ns();
	for (i = 0; i < rounds; i++)
		build(&plan, f);
	print("shard_build", size, (cpu_ns() - start) / rounds / 1e3, "us");
	start = cpu_ns();
	for (i = 0; i < 100000; i++)
		shard_order(&plan, i % f->n_orgs, i % f->n_zones, 0, i, out,
			    ANSWER_MAX);
	print("shard_lookup", size, (cpu_ns() - start) / 100000, "ns");
	shard_of(&plan, 0, &largest);
	print("shard_largest", size, largest, "instances");
	print("shard_entries_an_instance", size,
	      (double)plan.n_entries / plan.n_members, "entries");
	print("shard_plan_bytes", size,
	      plan.n_entries * sizeof(plan.entries[0]) +
		      (plan.n_orgs + 1) * sizeof(plan.first[0]),
	      "bytes");
	print("shard_fullest", size, shard_fullest(&plan), "of_mean");
	shard_plan_free(&plan);
}

/* Tells whether `e` is among the entries that go first for the caller. */
static bool goes_first(const struct shard_plan *plan,
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
	bool by_zone = plan->near == SHARD_NEAR_ZONE;
	double first = 0;
	double all = 0;
	size_t n;
	size_t i;

	e = shard_of(plan, org, &n);
	for (i = 0; i < n && by_zone; i++)
		first += goes_first(plan, &e[i], zone, f->n_regions, true);
	by_zone = by_zone && first > 0;
	first = 0;
	for (i = 0; i < n; i++) {
		all += e[i].share;
		if (goes_first(plan, &e[i], zone, f->n_regions, by_zone))
			first += e[i].share;
	}
	for (i = 0; i < n; i++) {
		double part = e[i].share / all;

		if (first > 0)
			part = goes_first(plan, &e[i], zone, f->n_regions,
					  by_zone)
				       ? e[i].share / first
				       : 0;
		load[e[i].member] += part * f->orgs[org].weight;
	}
}

/*
 * Load of the fullest instance, of the mean, when callers come from all zones
 * alike (or, for `skewed`, each organisation's from one zone) and take the
 * first address of the answer.
 */
static void bench_shard_nearest(const char *name, const char *size,
				const struct fleet *f, enum shard_near near,
				bool skewed)
{
	double load[FLEET_INSTANCES_MAX] = { 0 };
	struct shard_plan plan;
	double total = 0;
	double fullest = 0;
	unsigned int zone;
	size_t i;

	shard_plan_init(&plan);
	plan.near = near;
	build(&plan, f);
	for (i = 0; i < f->n_orgs; i++) {
		for (zone = 0; zone < f->n_zones; zone++)
			add_callers(&plan, f, i, skewed ? i % f->n_zones : zone,
				    load);
		total += (double)f->n_zones * f->orgs[i].weight;
	}
	for (i = 0; i < plan.n_members; i++)
		fullest = fmax(fullest, load[i] * plan.n_members / total);
	print(name, size, fullest, "of_mean");
	shard_plan_free(&plan);
}

static double fullest_of(const struct fleet *f)
{
	struct shard_plan plan;
	double fullest;

	shard_plan_init(&plan);
	build(&plan, f);
	fullest = shard_fullest(&plan);
	shard_plan_free(&plan);
	return fullest;
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
 * The worst over seeds of names: all there, a zone lost, a zone with a quarter
 * of its instances, steeper and flatter weights of the organisations.
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
		worst[0] = fmax(worst[0], fullest_of(f));
		kill_zone(f, 1, 0);
		worst[1] = fmax(worst[1], fullest_of(f));
		fleet_fill(f, seed * 1000);
		kill_zone(f, 1, 4);
		worst[2] = fmax(worst[2], fullest_of(f));
		fleet_fill(f, seed * 1000);
		for (j = 0; j < 2; j++) {
			for (i = 0; i < f->n_orgs; i++)
				f->orgs[i].weight =
					ceil(1e6 / pow(i + 1, slopes[j]));
			worst[3 + j] = fmax(worst[3 + j], fullest_of(f));
		}
	}
	print("shard_fullest_worst_seed", size, worst[0], "of_mean");
	print("shard_fullest_worst_zone_lost", size, worst[1], "of_mean");
	print("shard_fullest_worst_small_zone", size, worst[2], "of_mean");
	print("shard_fullest_worst_steep", size, worst[3], "of_mean");
	print("shard_fullest_worst_flat", size, worst[4], "of_mean");
	fleet_fill(f, SEED);
}

static size_t count_lost(const struct shard_plan *old,
			 const struct shard_plan *new)
{
	size_t lost = 0;
	const struct shard_entry *e;
	size_t i;
	size_t j;
	size_t n;

	for (i = 0; i < old->n_orgs; i++) {
		e = shard_of(old, i, &n);
		for (j = 0; j < n; j++) {
			uint64_t id = old->members[e[j].member].id;

			if (!shard_serves(new, i, id))
				lost++;
		}
	}
	return lost;
}

static size_t count_on(const struct shard_plan *plan, const struct fleet *f,
		       const struct fleet *smaller)
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

/* Assignments that end or begin, over those that were on the lost ones. */
static double shard_moves(const struct fleet *f, const struct fleet *smaller)
{
	struct shard_plan old;
	struct shard_plan new;
	size_t unavoidable;
	size_t ended;
	size_t begun;

	shard_plan_init(&old);
	shard_plan_init(&new);
	build(&old, f);
	build(&new, smaller);
	unavoidable = count_on(&old, f, smaller);
	ended = count_lost(&old, &new);
	begun = count_lost(&new, &old);
	shard_plan_free(&old);
	shard_plan_free(&new);
	return fmax(ended, begun) / unavoidable;
}

/* The worst of some instances and of all zones. */
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
	print("shard_moves_instance_lost", size, instance, "of_unavoidable");
	print("shard_moves_zone_lost", size, zone, "of_unavoidable");
	free(smaller);
}

/* The endpoints of one model; returns their number. */
static size_t of_model(const struct fleet *f, unsigned int model,
		       struct subset_endpoint *out)
{
	size_t n = 0;
	size_t i;

	for (i = model; i < f->n_endpoints; i += f->n_models)
		out[n++] = f->endpoints[i];
	return n;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

struct subset_sums {
	double users[FLEET_ENDPOINTS_MAX];
	double load[FLEET_ENDPOINTS_MAX];
	double watchers[FLEET_ENDPOINTS_MAX];
	double connections[FLEET_INSTANCES_MAX];
	double watched[FLEET_INSTANCES_MAX];
	double smallest;
};

static void add_instance(const struct fleet *f, size_t i,
			 const struct subset_endpoint *endpoints, size_t n,
			 struct subset_sums *s)
{
	struct subset_entry out[FLEET_ENDPOINTS_MAX];
	size_t n_out;
	size_t j;

	n_out = subset_of_instance(f->instances, f->n_instances, i, endpoints,
				   n, out);
	s->smallest = fmin(s->smallest, n_out);
	s->connections[i] += n_out;
	for (j = 0; j < n_out; j++) {
		s->users[out[j].endpoint]++;
		s->load[out[j].endpoint] += 1.0 / n_out;
		s->watchers[out[j].endpoint] += out[j].watch;
		s->watched[i] += out[j].watch;
	}
}

static double most(const double *v, size_t n)
{
	double max = 0;
	size_t i;

	for (i = 0; i < n; i++)
		max = fmax(max, v[i]);
	return max;
}

static double fullness(const double *v, size_t n)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		sum += v[i];
	return most(v, n) * n / sum;
}

/*
 * Connections and balance with `n_models` models; each load figure is of one
 * model's endpoints, the worst of the models.
 */
static void bench_subset(const char *size, struct fleet *f)
{
	struct subset_endpoint *endpoints;
	struct subset_sums *s = xcalloc(1, sizeof(*s));
	double users = 0;
	double load = 0;
	double watchers = 0;
	double start;
	unsigned int model;
	size_t n;
	size_t i;

	endpoints = xcalloc(f->n_endpoints, sizeof(*endpoints));
	s->smallest = f->n_endpoints;
	start = cpu_ns();
	for (model = 0; model < f->n_models; model++) {
		n = of_model(f, model, endpoints);
		memset(s->users, 0, sizeof(s->users));
		memset(s->load, 0, sizeof(s->load));
		memset(s->watchers, 0, sizeof(s->watchers));
		for (i = 0; i < f->n_instances; i++)
			add_instance(f, i, endpoints, n, s);
		users = fmax(users, fullness(s->users, n));
		load = fmax(load, fullness(s->load, n));
		watchers = fmax(watchers, most(s->watchers, n));
	}
	print("subset_cost_all_models", size,
	      (cpu_ns() - start) / f->n_instances / 1e3, "us");
	print("subset_fullest_users", size, users, "of_mean");
	print("subset_fullest_load", size, load, "of_mean");
	print("subset_watchers_most", size, watchers, "instances");
	print("subset_smallest", size, s->smallest, "endpoints");
	qsort(s->connections, f->n_instances, sizeof(double), compare_doubles);
	print("subset_connections_median", size,
	      s->connections[f->n_instances / 2], "connections");
	print("subset_connections_most", size,
	      s->connections[f->n_instances - 1], "connections");
	print("subset_watched_most", size, most(s->watched, f->n_instances),
	      "endpoints");
	free(endpoints);
	free(s);
}

struct users {
	size_t n;
	uint64_t ids[FLEET_INSTANCES_MAX + 1];
};

static void find_users(const struct fleet *f, size_t n_instances,
		       const struct subset_endpoint *e, size_t n_endpoints,
		       struct users *u)
{
	uint16_t index[FLEET_INSTANCES_MAX + 1];
	size_t i;

	u->n = subset_of_endpoint(f->instances, n_instances, e,
				  subset_users(n_instances, n_endpoints),
				  index);
	for (i = 0; i < u->n; i++)
		u->ids[i] = f->instances[index[i]].id;
}

static size_t count_missing(const struct users *in, const struct users *of)
{
	size_t missing = 0;
	size_t i;
	size_t j;

	for (i = 0; i < in->n; i++) {
		for (j = 0; j < of->n && of->ids[j] != in->ids[i]; j++)
			;
		missing += j == of->n;
	}
	return missing;
}

/*
 * Uses that end or begin over those that were on the lost instances, for the
 * loss of one instance and of a zone; the endpoints are those of one model.
 */
static void bench_subset_moves(const char *name, const char *size,
			       struct fleet *f, size_t n_lost)
{
	struct subset_endpoint *endpoints;
	size_t n_left = f->n_instances - n_lost;
	struct users before;
	struct users after;
	double unavoidable = 0;
	double ended = 0;
	double begun = 0;
	size_t i;
	size_t j;
	size_t n;

	endpoints = xcalloc(f->n_endpoints, sizeof(*endpoints));
	n = of_model(f, 0, endpoints);
	for (i = 0; i < n; i++) {
		find_users(f, f->n_instances, &endpoints[i], n, &before);
		find_users(f, n_left, &endpoints[i], n, &after);
		ended += count_missing(&before, &after);
		begun += count_missing(&after, &before);
		for (j = 0; j < before.n; j++) {
			size_t k = n_left;

			while (k < f->n_instances &&
			       f->instances[k].id != before.ids[j])
				k++;
			unavoidable += k < f->n_instances;
		}
	}
	print(name, size, fmax(ended, begun) / unavoidable, "of_unavoidable");
	free(endpoints);
}

/* Orders the instances so that zone 1 comes last. */
static size_t put_zone_last(struct fleet *f)
{
	size_t n = f->n_instances;
	size_t lost = 0;
	size_t i;

	for (i = 0; i < n - lost;) {
		struct shard_member m = f->instances[i];

		if (m.zone != 1) {
			i++;
			continue;
		}
		lost++;
		f->instances[i] = f->instances[n - lost];
		f->instances[n - lost] = m;
	}
	return lost;
}

int main(void)
{
	struct fleet *f = xcalloc(1, sizeof(*f));
	size_t i;

	setlinebuf(stdout);
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		f->n_instances = sizes[i].instances;
		f->n_endpoints = sizes[i].endpoints;
		f->n_orgs = sizes[i].orgs;
		f->n_zones = sizes[i].zones;
		f->n_regions = sizes[i].regions;
		f->n_models = sizes[i].models;
		fleet_fill(f, SEED);
		bench_shard_cost(sizes[i].name, f);
		bench_shard_nearest("shard_fullest_region_first", sizes[i].name,
				    f, SHARD_NEAR_REGION, false);
		bench_shard_nearest("shard_fullest_zone_first", sizes[i].name,
				    f, SHARD_NEAR_ZONE, false);
		bench_shard_nearest("shard_fullest_region_first_skewed",
				    sizes[i].name, f, SHARD_NEAR_REGION, true);
		bench_shard_nearest("shard_fullest_zone_first_skewed",
				    sizes[i].name, f, SHARD_NEAR_ZONE, true);
		bench_shard_seeds(sizes[i].name, f);
		bench_shard_losses(sizes[i].name, f);
		bench_subset(sizes[i].name, f);
		bench_subset_moves("subset_moves_instance_lost", sizes[i].name,
				   f, 1);
		bench_subset_moves("subset_moves_zone_lost", sizes[i].name, f,
				   put_zone_last(f));
	}
	free(f);
	return 0;
}
