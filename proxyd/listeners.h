#ifndef PROXYD_LISTENERS_H
#define PROXYD_LISTENERS_H

#include <stdbool.h>
#include <stddef.h>

struct listeners;
struct proxyd;

struct listeners *listeners_new(struct proxyd *p, char *err, size_t err_size);
void listeners_tick(struct listeners *l);
void listeners_apply_limits(struct listeners *l);
void listeners_drain(struct listeners *l);
bool listeners_busy(const struct listeners *l);
void listeners_end(struct listeners *l);

#endif /* PROXYD_LISTENERS_H */
