#ifndef PROXYD_ANSWER_ENDS_H
#define PROXYD_ANSWER_ENDS_H

#include <stdbool.h>
#include <stdint.h>

struct endpoint;
struct exchange;
struct exchanges;

void answer_ends_init(struct exchanges *t);
void answer_end_await(struct exchange *x);
void answer_end_tick(struct exchange *x, uint64_t now, bool last);
void answer_end_watch(struct exchange *x, uint64_t now);
void answer_end_forget(struct endpoint *e);

#endif /* PROXYD_ANSWER_ENDS_H */
