/*
 * Fits the shares in which organisations spread over their shards, so that
 * all instances carry about the same load.  This is iterative proportional
 * fitting; it changes shares, never members.
 */
#include <math.h>
#include <string.h>

#include "policy/shard_fit.h"

#define FIT_ROUNDS_MAX 40
#define FIT_ENOUGH 1.02 /* fullest instance over the mean */
#define FIT_WEIGHT_MAX 1e12

static double sum_loads(struct shard_plan *plan, const struct shard_org *orgs);
static void add_org_load(struct shard_plan *plan, size_t i,
			 const struct shard_org *org, double load);
static void split_demand(struct shard_plan *plan, size_t i,
			 const struct shard_org *org);
static double member_part(const struct shard_plan *plan, size_t member);
static void weigh_shard(struct shard_plan *plan, size_t org);
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
 * Returns the regions that may serve an organisation.  One whose regions are
 * all gone may be served anywhere.
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
	double fullest;
	size_t i;

	if (s->n_rounds++ == 0) {
		for (i = 0; i < plan->n_members; i++)
			s->weight[i] = 1;
	}
	fullest = sum_loads(plan, orgs);
	if (fullest > FIT_ENOUGH && s->n_rounds <= FIT_ROUNDS_MAX) {
		adjust_weights(plan);
		return false;
	}
	store_shares(plan, orgs);
	return true;
}

/* Sets each member's load, of the mean, and returns the highest. */
static double sum_loads(struct shard_plan *plan, const struct shard_org *orgs)
{
	double fullest = 0;
	size_t i;

	memset(plan->load, 0, plan->n_members * sizeof(plan->load[0]));
	for (i = 0; i < plan->n_orgs; i++)
		add_org_load(plan, i, &orgs[i],
			     shard_org_weight(&orgs[i]) / plan->scratch->total *
				     plan->n_members);
	for (i = 0; i < plan->n_members; i++)
		fullest = fmax(fullest, plan->load[i]);
	return fullest;
}

/* Adds an organisation's load to its members. */
static void add_org_load(struct shard_plan *plan, size_t i,
			 const struct shard_org *org, double load)
{
	uint32_t j;

	split_demand(plan, i, org);
	for (j = plan->first[i]; j < plan->first[i + 1]; j++) {
		size_t m = plan->entries[j].member;

		plan->load[m] += load * member_part(plan, m);
	}
}

/*
 * Prepares for member_part(): sums the weights of the organisation's members
 * and works out which part of its callers are in each region.
 */
static void split_demand(struct shard_plan *plan, size_t i,
			 const struct shard_org *org)
{
	struct shard_demand *d = &plan->scratch->demand;
	uint32_t regions = shard_org_regions(plan->scratch, org);
	double instances = 0;
	unsigned int r;

	weigh_shard(plan, i);
	d->far = 0;
	for (r = 0; r < d->n_regions; r++) {
		if (!(regions & 1u << r))
			continue;
		instances += d->instances[r];
		if (d->weight[r] <= 0)
			d->far += d->instances[r];
	}
	for (r = 0; r < d->n_regions; r++)
		d->part[r] = d->instances[r] / instances;
	d->far /= instances;
}

/*
 * Returns the part of the organisation's load that falls to a member.  The
 * callers of a region go to the members there, those of a region without
 * members to all.
 */
static double member_part(const struct shard_plan *plan, size_t member)
{
	const struct shard_demand *d = &plan->scratch->demand;
	unsigned int r = plan->members[member].region;

	return plan->scratch->weight[member] *
	       (d->part[r] / d->weight[r] + d->far / d->sum);
}

/* Sums the weights of the members of an organisation, by region. */
static void weigh_shard(struct shard_plan *plan, size_t org)
{
	struct shard_demand *d = &plan->scratch->demand;
	uint32_t j;

	memset(d->weight, 0, d->n_regions * sizeof(d->weight[0]));
	d->sum = 0;
	for (j = plan->first[org]; j < plan->first[org + 1]; j++) {
		size_t m = plan->entries[j].member;
		double weight = plan->scratch->weight[m];

		d->weight[plan->members[m].region] += weight;
		d->sum += weight;
	}
}

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

static void store_shares(struct shard_plan *plan, const struct shard_org *orgs)
{
	size_t i;
	uint32_t j;

	for (i = 0; i < plan->n_orgs; i++) {
		split_demand(plan, i, &orgs[i]);
		for (j = plan->first[i]; j < plan->first[i + 1]; j++) {
			struct shard_entry *e = &plan->entries[j];

			e->share = lround(member_part(plan, e->member) *
					  SHARD_SHARE_ONE);
		}
	}
}
