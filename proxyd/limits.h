#ifndef PROXYD_LIMITS_H
#define PROXYD_LIMITS_H

#include <stdint.h>

struct answer_fields;
struct endpoint;

void limits_init(void);
void limits_answer(struct endpoint *e, const struct answer_fields *answer,
		   uint64_t sent_ms, const char *request);

#endif /* PROXYD_LIMITS_H */
