#ifndef REGRESS_SOAK_CONFIG_PHASE_H
#define REGRESS_SOAK_CONFIG_PHASE_H

#include <stddef.h>
#include <stdint.h>

void config_phase_run(size_t n_instances, uint64_t seed, uint32_t ms);

#endif /* REGRESS_SOAK_CONFIG_PHASE_H */
