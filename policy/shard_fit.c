/*
 * Fits the shares by which organisations spread over their shards, so that all
 * instances carry about the same load.  This is iterative proportional fitting;
 * it changes shares, never members.
 */
#include <math.h>
#include <string.h>

#include "policy/shard_fit.h"

#define FIT_ROUNDS_MAX 40
#define FIT_MAX_LOAD 1.02 /* done at this load of an instance over the mean */
#define FIT_WEIGHT_MAX 1e12

static double sum_loads(struct shard_plan *plan, const struct shard_org *orgs);
static void add_org_load(struct shard_plan *plan, size_t i,
			 const struct shard_org *org, double load);
static void split_demand(struct shard_plan *plan, size_t i,
			 const struct shard_org *org);
static double member_fraction(const struct shard_plan *plan, size_t member);
static void sum_weights(struct shard_plan *plan, size_t org);
static void adjust_weights(struct shard_plan *plan);
static void store_shares(struct shard_plan *plan, const struct shard_org *orgs);

/*
 * Returns the weight of an organisation, which is never 0.
 */
double shard_org_weight(const struct shard_org *org)
{
	return org->weight > 0 ? org->weight : 1;
}

/*
 * Returns the regions that may serve an organisation.  If none of its allowed
 * regions has a serving instance, all regions may.
 */
uint32_t shard_org_regions(const struct shard_scratch *s,
			   const struct shard_org *org)
{
	uint32_t regions = org->regions & s->demand.present;

	return regions ? regions : s->demand.present;
}

/*
 * Does one round of fitting.  Returns true when the shares of all entries and
 * the load of each member are set.
 */
bool shard_fit_step(struct shard_plan *plan, const struct shard_org *orgs)
{
	struct shard_scratch *s = plan->scratch;
	double max_load;
	size_t i;

	if (s->n_rounds++ == 0) {
		for (i = 0; i < plan->n_members; i++)
			s->weight[i] = 1;
	}
	max_load = sum_loads(plan, orgs);
	if (max_load > FIT_MAX_LOAD && s->n_rounds <= FIT_ROUNDS_MAX) {
		adjust_weights(plan);
		return false;
	}
	store_shares(plan, orgs);
	return true;
}

/* Sets each member's load relative to the mean and returns the highest. */
static double sum_loads(struct shard_plan *plan, const struct shard_org *orgs)
{
	double max_load = 0;
	size_t i;

	memset(plan->load, 0, plan->n_members * sizeof(plan->load[0]));
	for (i = 0; i < plan->n_orgs; i++)
		add_org_load(plan, i, &orgs[i],
			     shard_org_weight(&orgs[i]) / plan->scratch->total *
				     plan->n_members);
	for (i = 0; i < plan->n_members; i++)
		max_load = fmax(max_load, plan->load[i]);
	return max_load;
}

/* Adds an organisation's load to its members. */
static void add_org_load(struct shard_plan *plan, size_t i,
			 const struct shard_org *org, double load)
{
	uint32_t j;

	split_demand(plan, i, org);
	for (j = plan->first_entry[i]; j < plan->first_entry[i + 1]; j++) {
		size_t m = plan->entries[j].member;

		plan->load[m] += load * member_fraction(plan, m);
	}
}

/*
 * Prepares for member_fraction(): sums the weights of the organisation's
 * members and computes the fraction of its callers in each region.
 */
static void split_demand(struct shard_plan *plan, size_t i,
			 const struct shard_org *org)
{
	struct shard_demand *d = &plan->scratch->demand;
	uint32_t regions = shard_org_regions(plan->scratch, org);
	double instances = 0;
	unsigned int r;

	sum_weights(plan, i);
	d->remote_fraction = 0;
	for (r = 0; r < d->n_regions; r++) {
		if (!(regions & 1u << r))
			continue;
		instances += d->instances[r];
		if (d->weight[r] <= 0)
			d->remote_fraction += d->instances[r];
	}
	for (r = 0; r < d->n_regions; r++)
		d->caller_fraction[r] = d->instances[r] / instances;
	d->remote_fraction /= instances;
}

/*
 * Returns the fraction of the organisation's load on a member.  The callers of
 * a region use its members; those of a region without members use all.
 */
static double member_fraction(const struct shard_plan *plan, size_t member)
{
	const struct shard_demand *d = &plan->scratch->demand;
	unsigned int r = plan->members[member].region;

	return plan->scratch->weight[member] *
	       (d->caller_fraction[r] / d->weight[r] +
		d->remote_fraction / d->sum);
}

/* Sums the weights of the members of an organisation, by region. */
static void sum_weights(struct shard_plan *plan, size_t org)
{
	struct shard_demand *d = &plan->scratch->demand;
	uint32_t j;

	memset(d->weight, 0, d->n_regions * sizeof(d->weight[0]));
	d->sum = 0;
	for (j = plan->first_entry[org]; j < plan->first_entry[org + 1]; j++) {
		size_t m = plan->entries[j].member;
		double weight = plan->scratch->weight[m];

		d->weight[plan->members[m].region] += weight;
		d->sum += weight;
	}
}

/* Divides each member's weight by its load. */
static void adjust_weights(struct shard_plan *plan)
{
	double *weight = plan->scratch->weight;
	size_t i;

	for (i = 0; i < plan->n_members; i++) {
		if (plan->load[i] <= 0)
			continue;
		weight[i] /= plan->load[i];
		weight[i] = fmin(weight[i], FIT_WEIGHT_MAX);
		weight[i] = fmax(weight[i], 1 / FIT_WEIGHT_MAX);
	}
}

/* Sets the shares of all entries from the weights. */
static void store_shares(struct shard_plan *plan, const struct shard_org *orgs)
{
	size_t i;
	uint32_t j;

	for (i = 0; i < plan->n_orgs; i++) {
		split_demand(plan, i, &orgs[i]);
		for (j = plan->first_entry[i]; j < plan->first_entry[i + 1];
		     j++) {
			struct shard_entry *e = &plan->entries[j];

			e->share = lround(member_fraction(plan, e->member) *
					  SHARD_SHARE_ONE);
		}
	}
}
