/* Selection of the k candidates with the smallest keys (quickselect). */
#include <stdbool.h>

#include "policy/smallest.h"

/* Orders candidates by key, then by index. */
static bool before(const struct ranked *a, const struct ranked *b)
{
	if (a->key != b->key)
		return a->key < b->key;
	return a->index < b->index;
}

/* Exchanges two candidates. */
static void swap(struct ranked *a, struct ranked *b)
{
	struct ranked t = *a;

	*a = *b;
	*b = t;
}

/* Swaps the smallest of n candidates into r[0]. */
static void move_smallest_to_front(struct ranked *r, size_t n)
{
	size_t best = 0;
	size_t i;

	for (i = 1; i < n; i++) {
		if (before(&r[i], &r[best]))
			best = i;
	}
	swap(&r[0], &r[best]);
}

/*
 * Partitions r[lo..hi] around its middle element and returns the final position
 * of that element.
 */
static size_t partition(struct ranked *r, size_t lo, size_t hi)
{
	size_t i;
	size_t position = lo;

	swap(&r[lo + (hi - lo) / 2], &r[hi]);
	for (i = lo; i < hi; i++) {
		if (before(&r[i], &r[hi]))
			swap(&r[i], &r[position++]);
	}
	swap(&r[position], &r[hi]);
	return position;
}

/*
 * Reorders the n candidates so that the first k are those with the smallest
 * keys, in no particular order.  Equal keys are ordered by index, so that the
 * selection does not depend on the input order.
 */
void select_smallest(struct ranked *r, size_t n, size_t k)
{
	size_t lo = 0;
	size_t hi;
	size_t position;

	if (k == 0 || k >= n)
		return;
	if (k == 1) {
		move_smallest_to_front(r, n);
		return;
	}
	hi = n - 1;
	while (lo < hi) {
		position = partition(r, lo, hi);
		if (position == k)
			return;
		if (position < k)
			lo = position + 1;
		else
			hi = position - 1;
	}
}
