#ifndef LIB_SETTINGS_H
#define LIB_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/toml.h"

enum setting_type {
	SETTING_STRING, /* char *, owned by the target */
	SETTING_STRINGS, /* struct string_list */
	SETTING_INTEGER, /* int64_t within [min, max] */
	SETTING_DECIMAL, /* double within [min, max] */
	SETTING_BOOLEAN, /* bool */
	SETTING_ADDRESS, /* char *, numeric IPv4 address and port */
	SETTING_CHOICE, /* int, index into choices */
	SETTING_TABLE, /* the caller reads it; only its presence is checked */
};

struct string_list {
	char **items;
	size_t n;
};

/* Describes one key of a TOML table. */
struct setting {
	const char *key;
	enum setting_type type;
	size_t offset; /* of the target's field */
	bool required;
	double min;
	double max; /* min and max both 0: unbounded */
	const char *const *choices; /* NULL-terminated */
};

/* Reads a table into target.  Returns false with a message in err that names
 * file, line, key and the allowed values.  A NULL key ends the array of
 * settings. */
bool settings_read(const struct toml_node *table, const char *file,
		   const struct setting *settings, void *target, char *err,
		   size_t err_size);
void settings_release(const struct setting *settings, void *target);
const char *settings_nearest(const char *word, const char *const *words,
			     size_t n);
bool address_parse(const char *address, char *host, size_t host_size,
		   uint16_t *port);

#endif /* LIB_SETTINGS_H */
