#ifndef REGRESS_FUZZ_FUZZ_H
#define REGRESS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* The entry point of a fuzz target, named by libFuzzer.  Runs one input and
 * aborts the process if a property does not hold.  Returns 0. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif /* REGRESS_FUZZ_FUZZ_H */
