#ifndef REGRESS_BENCH_COPY_LOOP_H
#define REGRESS_BENCH_COPY_LOOP_H

#include <sys/types.h>

/* Starts a process that listens on one address and copies every connection to
 * and from another: the least that a relay on libuv can cost. */
pid_t copy_loop_start(const char *listen, const char *target);

#endif /* REGRESS_BENCH_COPY_LOOP_H */
