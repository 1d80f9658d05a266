#ifndef PROXYD_REQUEST_END_H
#define PROXYD_REQUEST_END_H

#include <stdint.h>

struct exchange;
struct exchanges;

void request_ends_init(struct exchanges *t);
void request_ended(const struct exchange *x, const char *outcome);
void request_ends_at_exit(const struct exchanges *t);
void request_check_attended(struct exchange *x, uint64_t now);

#endif /* PROXYD_REQUEST_END_H */
