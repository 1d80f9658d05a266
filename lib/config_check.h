#ifndef LIB_CONFIG_CHECK_H
#define LIB_CONFIG_CHECK_H

#include "lib/config.h"
#include "lib/toml.h"

bool config_check(const struct config *c, const struct toml_node *root,
		  const char *file, char *err, size_t err_size);

#endif /* LIB_CONFIG_CHECK_H */
