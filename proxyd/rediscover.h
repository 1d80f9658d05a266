#ifndef PROXYD_REDISCOVER_H
#define PROXYD_REDISCOVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/slots.h"

struct proxyd;

void rediscover(struct proxyd *p, struct handle endpoint);
bool rediscover_path(struct proxyd *p, struct handle endpoint);
void rediscover_start(struct proxyd *p, struct handle endpoint, bool may_reuse);
void rediscover_with_id(struct proxyd *p, struct handle endpoint,
			const char *id, size_t id_len, uint64_t sent_ms);

#endif /* PROXYD_REDISCOVER_H */
