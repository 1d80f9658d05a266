#ifndef POLICY_HANDOVER_H
#define POLICY_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

bool handover_over(uint64_t sent_ms_ago, bool answered);

#endif /* POLICY_HANDOVER_H */
