/* Functions shared by the benches. */
#include <stdio.h>
#include <time.h>

#include "regress/bench_tools.h"

/*
 * Prints one figure as `name_size value unit`; size is that of the fleet.
 */
void bench_print(const char *name, const char *size, double value,
		 const char *unit)
{
	printf("%s_%s %.6g %s\n", name, size, value, unit);
}

/*
 * Returns the processor time of this process, ns.
 */
double bench_cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * 1e9 + ts.tv_nsec;
}
