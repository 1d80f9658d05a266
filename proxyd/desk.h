#ifndef PROXYD_DESK_H
#define PROXYD_DESK_H

#include <stddef.h>

struct desk;
struct proxyd;

struct desk *desk_new(struct proxyd *p, char *err, size_t err_size);
void desk_tick(struct desk *d);
void desk_limits(struct desk *d);
void desk_leave(struct desk *d);

#endif /* PROXYD_DESK_H */
