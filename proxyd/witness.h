#ifndef PROXYD_WITNESS_H
#define PROXYD_WITNESS_H

#include <stdbool.h>

struct endpoint;

void witness_ask(struct endpoint *e);
bool witness_awaited(const struct endpoint *e);
bool witness_serves_on(const struct endpoint *e);
void witness_forget(struct endpoint *e);

#endif /* PROXYD_WITNESS_H */
