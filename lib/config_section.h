#ifndef LIB_CONFIG_SECTION_H
#define LIB_CONFIG_SECTION_H

#include "lib/config.h"

#define CONFIG_SECTIONS 5

/* Describes one kind of [[table]]: its keys, its defaults and its array in
 * struct config.  The first field of each element is its name. */
struct config_section {
	const char *key;
	const struct setting *settings;
	const void *defaults;
	size_t item_size;
	size_t items_offset; /* of the array pointer in struct config */
	size_t n_offset; /* of the element count in struct config */
};

extern const struct config_section config_sections[CONFIG_SECTIONS];

#endif /* LIB_CONFIG_SECTION_H */
