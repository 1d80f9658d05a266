#ifndef EMULATOR_STANDIN_SETTINGS_H
#define EMULATOR_STANDIN_SETTINGS_H

#include <argp.h>

#include "emulator/standin.h"

/* Option key of the first setting; the others follow consecutively. */
#define FIRST_SETTING_KEY 0x200

struct argp_option *standin_make_options(const struct standin *s);
void standin_free_options(struct argp_option *options);
json_t *standin_parse_argument(const struct standin_setting *d,
			       const char *arg);
const struct standin_setting *standin_find(const struct standin *s,
					   const char *name);
bool standin_value_valid(const struct standin_setting *d, const json_t *value);
bool standin_set(const struct standin *s, const struct standin_setting *d,
		 const json_t *value, char *err, size_t err_size);
json_t *standin_get(const struct standin *s, const struct standin_setting *d);

#endif /* EMULATOR_STANDIN_SETTINGS_H */
