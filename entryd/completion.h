#ifndef ENTRYD_COMPLETION_H
#define ENTRYD_COMPLETION_H

#include <stdbool.h>
#include <stddef.h>

#include "entryd/generation.h"

/* Parses a request in the commonly published completion format and copies the
 * model's name to model.  On failure, returns false with an error message in
 * why. */
bool completion_parse(struct entryd *e, struct httpd_req *req, bool chat,
		      struct generation_params *params, char *model,
		      size_t model_size, char *why, size_t why_size);
void completion_limit(const struct entryd *e, uint32_t org,
		      struct generation_params *params);

#endif /* ENTRYD_COMPLETION_H */
