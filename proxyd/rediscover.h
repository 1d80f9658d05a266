#ifndef PROXYD_REDISCOVER_H
#define PROXYD_REDISCOVER_H

#include <stddef.h>

#include "lib/slots.h"

struct proxyd;

void rediscover(struct proxyd *p, struct handle endpoint);
void rediscover_start(struct proxyd *p, struct handle endpoint);
void rediscover_with_id(struct proxyd *p, struct handle endpoint,
			const char *id, size_t id_len);

#endif /* PROXYD_REDISCOVER_H */
