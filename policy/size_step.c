/*
 * Sizes in steps, so that what is worked out from the size of a fleet stays
 * the same while single members come and go.
 */
#include "policy/size_step.h"

/*
 * Rounds `n` up to a multiple of an eighth of the largest power of two in it.
 * Numbers below 16 stay as they are.
 */
size_t size_step_eighth(size_t n)
{
	size_t step = 1;

	while (step * 16 <= n)
		step *= 2;
	return (n + step - 1) / step * step;
}

/*
 * Rounds `n` up to a power of two; 0 stays 0.
 */
size_t size_step_pow2(size_t n)
{
	size_t step = 1;

	if (n == 0)
		return 0;
	while (step < n)
		step *= 2;
	return step;
}
