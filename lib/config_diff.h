#ifndef LIB_CONFIG_DIFF_H
#define LIB_CONFIG_DIFF_H

#include "lib/config.h"

enum config_change_kind {
	CONFIG_ADDED,
	CONFIG_REMOVED,
	CONFIG_CHANGED,
};

/* One table of the operators' file that differs between two versions.  section
 * and name belong to the configurations. */
struct config_change {
	enum config_change_kind kind;
	const char *section;
	const char *name;
	char keys[160]; /* of CONFIG_CHANGED, separated by ", " */
};

size_t config_diff(const struct config *before, const struct config *after,
		   struct config_change **changes);
const char *config_change_name(enum config_change_kind kind);

#endif /* LIB_CONFIG_DIFF_H */
