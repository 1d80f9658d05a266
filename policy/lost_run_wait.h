#ifndef POLICY_LOST_RUN_WAIT_H
#define POLICY_LOST_RUN_WAIT_H

#include <stdbool.h>
#include <stdint.h>

bool lost_run_offered_again(uint64_t failed_ms, uint32_t offers, uint64_t now);
uint32_t lost_run_wait_ms(bool begun, bool out_of_reach, uint64_t left_ms);

#endif /* POLICY_LOST_RUN_WAIT_H */
