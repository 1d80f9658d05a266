#ifndef POLICY_SIZE_STEP_H
#define POLICY_SIZE_STEP_H

#include <stddef.h>

size_t size_step_eighth(size_t n);
size_t size_step_pow2(size_t n);

#endif /* POLICY_SIZE_STEP_H */
