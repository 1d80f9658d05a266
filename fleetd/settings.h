#ifndef FLEETD_SETTINGS_H
#define FLEETD_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/settings.h"

struct fleetd_settings {
	char *instance;
	char *zone;
	char *control_address; /* listens for cdmentryds and cdmfleetds */
	char *advertise_address; /* for others; default: control_address */
	char *operator_address;
	char *platform_address;
	struct string_list peers; /* tried while no other instance is known */
	int64_t platform_timeout_ms;
	int64_t drain_ms; /* longest wait for cdmentryds on SIGTERM */
	int log_level; /* syslog priority */
};

bool fleetd_settings_load(struct fleetd_settings *s, const char *file,
			  char *err, size_t err_size);
bool fleetd_settings_read(struct fleetd_settings *s,
			  const struct toml_node *root, const char *file,
			  char *err, size_t err_size);
void fleetd_settings_release(struct fleetd_settings *s);

#endif /* FLEETD_SETTINGS_H */
