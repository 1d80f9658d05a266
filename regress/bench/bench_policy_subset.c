/*
 * Subsets of endpoints: cost, balance and reassignments, for the fleet sizes of
 * regress/fleet_tables.c.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/subset.h"
#include "regress/bench_tools.h"
#include "regress/fleet_tables.h"

#define SEED 20240611

/* Copies the endpoints of one model to `out` and returns their number. */
static size_t copy_model_endpoints(const struct fleet *f, unsigned int model,
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

static double maximum(const double *v, size_t n)
{
	double max = 0;
	size_t i;

	for (i = 0; i < n; i++)
		max = fmax(max, v[i]);
	return max;
}

static double max_over_mean(const double *v, size_t n)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		sum += v[i];
	return maximum(v, n) * n / sum;
}

/*
 * Connections and balance with `n_models` models; each load figure is that of
 * the model with the highest value.
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
	start = bench_cpu_ns();
	for (model = 0; model < f->n_models; model++) {
		n = copy_model_endpoints(f, model, endpoints);
		memset(s->users, 0, sizeof(s->users));
		memset(s->load, 0, sizeof(s->load));
		memset(s->watchers, 0, sizeof(s->watchers));
		for (i = 0; i < f->n_instances; i++)
			add_instance(f, i, endpoints, n, s);
		users = fmax(users, max_over_mean(s->users, n));
		load = fmax(load, max_over_mean(s->load, n));
		watchers = fmax(watchers, maximum(s->watchers, n));
	}
	bench_print("subset_cost_all_models", size,
		    (bench_cpu_ns() - start) / f->n_instances / 1e3, "us");
	bench_print("subset_fullest_users", size, users, "of_mean");
	bench_print("subset_fullest_load", size, load, "of_mean");
	bench_print("subset_watchers_most", size, watchers, "instances");
	bench_print("subset_smallest", size, s->smallest, "endpoints");
	qsort(s->connections, f->n_instances, sizeof(double), compare_doubles);
	bench_print("subset_connections_median", size,
		    s->connections[f->n_instances / 2], "connections");
	bench_print("subset_connections_most", size,
		    s->connections[f->n_instances - 1], "connections");
	bench_print("subset_watched_most", size,
		    maximum(s->watched, f->n_instances), "endpoints");
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
 * Endpoint uses removed or added, relative to those on lost instances, if the
 * last `n_lost` instances are lost; for the endpoints of one model.
 */
static void bench_subset_moves(const char *name, const char *size,
			       struct fleet *f, size_t n_lost)
{
	struct subset_endpoint *endpoints;
	size_t n_left = f->n_instances - n_lost;
	struct users before;
	struct users after;
	double unavoidable = 0;
	double removed = 0;
	double added = 0;
	size_t i;
	size_t j;
	size_t n;

	endpoints = xcalloc(f->n_endpoints, sizeof(*endpoints));
	n = copy_model_endpoints(f, 0, endpoints);
	for (i = 0; i < n; i++) {
		find_users(f, f->n_instances, &endpoints[i], n, &before);
		find_users(f, n_left, &endpoints[i], n, &after);
		removed += count_missing(&before, &after);
		added += count_missing(&after, &before);
		for (j = 0; j < before.n; j++) {
			size_t k = n_left;

			while (k < f->n_instances &&
			       f->instances[k].id != before.ids[j])
				k++;
			unavoidable += k < f->n_instances;
		}
	}
	bench_print(name, size, fmax(removed, added) / unavoidable,
		    "of_unavoidable");
	free(endpoints);
}

/* Moves the instances of zone 1 to the end and returns their number. */
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
	const char *size;
	size_t i;

	setlinebuf(stdout);
	for (i = 0; i < FLEET_SIZES; i++) {
		size = fleet_resize(f, i, SEED);
		bench_subset(size, f);
		bench_subset_moves("subset_moves_instance_lost", size, f, 1);
		bench_subset_moves("subset_moves_zone_lost", size, f,
				   put_zone_last(f));
	}
	free(f);
	return 0;
}
