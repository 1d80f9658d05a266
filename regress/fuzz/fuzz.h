#ifndef REGRESS_FUZZ_FUZZ_H
#define REGRESS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* What a fuzz target defines: takes one input and ends the process if a
 * property does not hold.  The name is libFuzzer's. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif /* REGRESS_FUZZ_FUZZ_H */
