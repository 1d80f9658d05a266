#ifndef ENTRYD_API_H
#define ENTRYD_API_H

#include "lib/httpd.h"

/* Routes of the callers' address and of the operators' address. */
extern const struct httpd_route api_routes[];
extern const struct httpd_route operator_routes[];

#endif /* ENTRYD_API_H */
