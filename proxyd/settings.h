#ifndef PROXYD_SETTINGS_H
#define PROXYD_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/settings.h"

/* Settings of an instance, read from a TOML file (cdmproxyd.toml(5)). */
struct proxyd_settings {
	char *name; /* of the instance */
	char *zone;
	char *callers; /* address for requests */
	char *readiness; /* address */
	char *directory; /* address of the directory service */
	char *metrics; /* address */
	char *peers; /* address for datagrams from other instances */
	char *control; /* address for requests from other instances */
	struct string_list seeds; /* control addresses of some instances */
	double capacity; /* CPU cores for the process; may be a fraction */
	char *store; /* address of the platform's store */
	double grace_s; /* time from a stop signal to the kill */
	/* time after which an endpoint's address may belong to another one */
	double reuse_after_s;
	double directory_ttl_s; /* longest time that callers cache an answer */
	double repeat_window_s;
	double repeat_ratio; /* repeats per request in a window */
	double repeat_slack; /* further repeats per window, for all instances */
};

struct toml_node;

bool proxyd_settings_read(struct proxyd_settings *s,
			  const struct toml_node *root, const char *file,
			  char *err, size_t err_size);
bool proxyd_settings_load(struct proxyd_settings *s, const char *file,
			  char *err, size_t err_size);
void proxyd_settings_release(struct proxyd_settings *s);

#endif /* PROXYD_SETTINGS_H */
