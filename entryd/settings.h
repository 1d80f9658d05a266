#ifndef ENTRYD_SETTINGS_H
#define ENTRYD_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/settings.h"

/* Settings of cdmentryd; see cdmentryd.toml(5). */
struct entryd_settings {
	char *instance;
	char *zone;
	char *fleet_address; /* control address of this instance's cdmfleetd */
	char *listen_address; /* for callers */
	char *advertise_address; /* for callers; default: listen_address */
	char *operator_address;
	char *platform_address;
	int64_t platform_timeout_ms;
	int64_t handover_ms; /* time to finish requests in a planned stop */
	int64_t streams_max; /* requests held at once */
	int log_level; /* syslog priority */
};

bool entryd_settings_load(struct entryd_settings *s, const char *file,
			  char *err, size_t err_size);
bool entryd_settings_read(struct entryd_settings *s,
			  const struct toml_node *root, const char *file,
			  char *err, size_t err_size);
void entryd_settings_release(struct entryd_settings *s);

#endif /* ENTRYD_SETTINGS_H */
