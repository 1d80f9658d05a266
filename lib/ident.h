#ifndef LIB_IDENT_H
#define LIB_IDENT_H

#include <stdint.h>

uint64_t name_id(const char *name);
uint16_t zone_id(const char *zone);

#endif /* LIB_IDENT_H */
