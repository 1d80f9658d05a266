/*
 * Rounding of sizes to steps, so that values computed from the size of a fleet
 * stay the same while single members join and leave.
 */
#include "policy/size_step.h"

/*
 * Rounds n up to a multiple of an eighth of the largest power of two that is
 * not above n.  Numbers below 16 are unchanged.
 */
size_t size_step_eighth(size_t n)
{
	size_t step = 1;

	while (step * 16 <= n)
		step *= 2;
	return (n + step - 1) / step * step;
}

/* Rounds n up to a power of two; 0 stays 0. */
size_t size_step_pow2(size_t n)
{
	size_t step = 1;

	if (n == 0)
		return 0;
	while (step < n)
		step *= 2;
	return step;
}
