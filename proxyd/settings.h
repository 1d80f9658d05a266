#ifndef PROXYD_SETTINGS_H
#define PROXYD_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/settings.h"

/* Settings of an instance, from a file in TOML (cdmproxyd.toml(5)). */
struct proxyd_settings {
	char *name; /* of the instance */
	char *zone;
	char *callers; /* address for requests */
	char *readiness; /* address */
	char *directory; /* address that says where to connect */
	char *metrics; /* address */
	char *peers; /* address for datagrams of other instances */
	char *control; /* address for whole answers to other instances */
	struct string_list seeds; /* control addresses of some instances */
	double capacity; /* share of a core that the process has */
	char *store; /* address of the platform's store */
	double grace_s; /* from a stop signal to the kill */
	double reuse_after_s; /* an endpoint's address may serve others then */
	double directory_ttl_s; /* callers keep an answer at most so long */
	double repeat_window_s;
	double repeat_ratio; /* repeats for each request in a window */
	double repeat_slack; /* repeats beyond that, all instances together */
};

struct toml_node;

bool proxyd_settings_read(struct proxyd_settings *s,
			  const struct toml_node *root, const char *file,
			  char *err, size_t err_size);
bool proxyd_settings_load(struct proxyd_settings *s, const char *file,
			  char *err, size_t err_size);
void proxyd_settings_release(struct proxyd_settings *s);

#endif /* PROXYD_SETTINGS_H */
