#ifndef PROXYD_WATCH_H
#define PROXYD_WATCH_H

#include <stdbool.h>

struct proxyd;
struct watches;

struct watches *watches_new(struct proxyd *p);
void watches_free(struct watches *w);
void watches_tick(struct watches *w);
void watches_leave(struct watches *w);
bool watches_starting(const struct watches *w);

#endif /* PROXYD_WATCH_H */
