#ifndef REGRESS_BENCH_COPY_LOOP_H
#define REGRESS_BENCH_COPY_LOOP_H

#include <sys/types.h>

/* Starts a process that listens on one address and copies the bytes of each
 * connection to and from another: the minimum cost of a relay on libuv.
 * Returns the process id; exits if fork() fails. */
pid_t copy_loop_start(const char *listen, const char *target);

#endif /* REGRESS_BENCH_COPY_LOOP_H */
