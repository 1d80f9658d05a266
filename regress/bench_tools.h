#ifndef REGRESS_BENCH_TOOLS_H
#define REGRESS_BENCH_TOOLS_H

void bench_print(const char *name, const char *size, double value,
		 const char *unit);
double bench_cpu_ns(void);

#endif /* REGRESS_BENCH_TOOLS_H */
