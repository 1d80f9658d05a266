#ifndef ENTRYD_SUSPECTS_H
#define ENTRYD_SUSPECTS_H

#include "entryd/endpoints.h"
#include "entryd/entryd.h"
#include "proto/control.pb-c.h"

void suspects_init(void);
void suspects_broke(struct endpoint *ep,
		    const struct quarantine_digest *digest);
void suspects_death(struct entryd *e, struct endpoint *ep, uint64_t salt);
void suspects_clear(struct endpoint *ep);
void suspects_received(struct entryd *e, Cdm__Suspicion **list, size_t n);
void suspects_tick(struct entryd *e, uint64_t now);
struct quarantine_digest suspects_digest(const char *org, const char *content,
					 size_t len);

#endif /* ENTRYD_SUSPECTS_H */
