#ifndef PROXYD_ROUTES_WIRE_H
#define PROXYD_ROUTES_WIRE_H

#include "lib/bytes.h"
#include "proxyd/routes.h"

void routes_pack(const struct routes *r, struct bytes *out);
struct routes *routes_unpack(const void *data, size_t len);

#endif /* PROXYD_ROUTES_WIRE_H */
