#ifndef POLICY_PAIR_HASH_H
#define POLICY_PAIR_HASH_H

#include <stdint.h>

uint64_t pair_hash(uint64_t a, uint64_t b);
double pair_hash_unit(uint64_t hash);

#endif /* POLICY_PAIR_HASH_H */
