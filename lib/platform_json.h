#ifndef LIB_PLATFORM_JSON_H
#define LIB_PLATFORM_JSON_H

#include <jansson.h>

#include "lib/platform.h"

bool platform_row_parse(const json_t *object, struct platform_row *row);
bool platform_instance_parse(const json_t *object, struct platform_instance *i);
char *platform_encode_path(const char *prefix, const char *text);
json_t *platform_write_json(const struct platform_write *w);

#endif /* LIB_PLATFORM_JSON_H */
