#ifndef ENTRYD_COMPLETION_H
#define ENTRYD_COMPLETION_H

#include <stdbool.h>
#include <stddef.h>

#include "entryd/generation.h"

/* Reads a request in the commonly published completion format; false with a
 * sentence in why.  The model's name goes to model. */
bool completion_parse(struct entryd *e, struct httpd_req *req, bool chat,
		      struct generation_params *ask, char *model,
		      size_t model_size, char *why, size_t why_size);
void completion_limit(const struct entryd *e, uint32_t org,
		      struct generation_params *ask);

#endif /* ENTRYD_COMPLETION_H */
