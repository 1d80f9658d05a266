#ifndef ENTRYD_CALLS_H
#define ENTRYD_CALLS_H

#include "entryd/entryd.h"
#include "entryd/services.h"

struct calls *calls_new(void);
void calls_free(struct calls *t);
size_t calls_count(const struct entryd *e);
void calls_tick(struct entryd *e, uint64_t now);
void call_start(struct entryd *e, struct httpd_req *req, uint32_t org,
		struct service *service, const char *path);
void call_admitted(struct entryd *e, struct handle h,
		   const struct admit_decision *v);

#endif /* ENTRYD_CALLS_H */
