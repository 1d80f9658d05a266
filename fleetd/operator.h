#ifndef FLEETD_OPERATOR_H
#define FLEETD_OPERATOR_H

#include "fleetd/fleetd.h"

struct operator_server *operator_new(struct fleetd *f, char *err,
				     size_t err_size);
void operator_stop(struct fleetd *f);
void operator_free(struct operator_server *o);

#endif /* FLEETD_OPERATOR_H */
