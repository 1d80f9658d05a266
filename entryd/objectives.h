#ifndef ENTRYD_OBJECTIVES_H
#define ENTRYD_OBJECTIVES_H

#include <jansson.h>
#include <stdint.h>

#include "entryd/entryd.h"
#include "entryd/generation.h"

struct objectives *objectives_new(void);
void objectives_free(struct objectives *t);
void objectives_configure(struct entryd *e);
void objectives_record_resume(struct entryd *e, const struct generation *g,
			      uint64_t ms);
void objectives_record_first_token(struct entryd *e, const struct generation *g,
				   uint64_t ms);
void objectives_record_generation(struct entryd *e, const struct generation *g,
				  bool whole);
void objectives_record_call(struct entryd *e, uint64_t service, uint64_t org,
			    bool answered);
json_t *objectives_json(const struct entryd *e);

#endif /* ENTRYD_OBJECTIVES_H */
