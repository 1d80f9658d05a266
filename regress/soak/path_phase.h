#ifndef REGRESS_SOAK_PATH_PHASE_H
#define REGRESS_SOAK_PATH_PHASE_H

#include <stddef.h>
#include <stdint.h>

void path_phase_run(size_t n_instances, uint64_t seed);

#endif /* REGRESS_SOAK_PATH_PHASE_H */
