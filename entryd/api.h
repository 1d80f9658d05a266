#ifndef ENTRYD_API_H
#define ENTRYD_API_H

#include "lib/httpd.h"

extern const struct httpd_route api_routes[];
extern const struct httpd_route operator_routes[];

#endif /* ENTRYD_API_H */
