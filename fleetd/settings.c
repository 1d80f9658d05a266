/*
 * The settings file of cdmfleetd.
 */
#include "fleetd/settings.h"

#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "lib/xalloc.h"

/* In the order of syslog's priorities. */
static const char *const levels[] = { "emerg", "alert",	  "crit",
				      "err",   "warning", "notice",
				      "info",  "debug",	  NULL };

#define FIELD(name) \
	.key = #name, .offset = offsetof(struct fleetd_settings, name)

static const struct setting settings[] = {
	{ FIELD(instance), .type = SETTING_STRING, .required = true },
	{ FIELD(zone), .type = SETTING_STRING, .required = true },
	{ FIELD(control_address), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(advertise_address), .type = SETTING_ADDRESS },
	{ FIELD(operator_address), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(platform_address), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(peers), .type = SETTING_STRINGS },
	{ FIELD(platform_timeout_ms), .type = SETTING_INTEGER, .min = 10,
	  .max = 60000 },
	{ FIELD(drain_ms), .type = SETTING_INTEGER, .min = 0, .max = 3600000 },
	{ FIELD(log_level), .type = SETTING_CHOICE, .choices = levels },
	{ .key = NULL },
};

static bool check_peers(const struct fleetd_settings *s, const char *file,
			int line, char *err, size_t err_size);

/* Reads and checks the file.  Returns false with a message that names file,
 * line and key; the settings are then empty. */
bool fleetd_settings_load(struct fleetd_settings *s, const char *file,
			  char *err, size_t err_size)
{
	struct toml_node *root = toml_parse_file(file, err, err_size);
	bool ok = fleetd_settings_read(s, root, file, err, err_size);

	toml_free(root);
	return ok;
}

/* Reads and checks a parsed file, with the same result.  A NULL root is a file
 * that could not be parsed; err then already has a message. */
bool fleetd_settings_read(struct fleetd_settings *s,
			  const struct toml_node *root, const char *file,
			  char *err, size_t err_size)
{
	const struct toml_node *peers;
	bool ok;

	memset(s, 0, sizeof(*s));
	s->platform_timeout_ms = 1000;
	s->drain_ms = 180000;
	s->log_level = LOG_INFO;
	if (!root)
		return false;
	peers = toml_get(root, "peers");
	ok = settings_read(root, file, settings, s, err, err_size) &&
	     check_peers(s, file, peers ? peers->line : 0, err, err_size);
	if (ok && !s->advertise_address)
		s->advertise_address = xstrdup(s->control_address);
	if (!ok)
		fleetd_settings_release(s);
	return ok;
}

/* Frees the strings. */
void fleetd_settings_release(struct fleetd_settings *s)
{
	settings_release(settings, s);
}

/* Checks that each peer is a numeric address with a port.  Returns false with a
 * message in err. */
static bool check_peers(const struct fleetd_settings *s, const char *file,
			int line, char *err, size_t err_size)
{
	char host[64];
	uint16_t port;
	size_t i;

	for (i = 0; i < s->peers.n; i++) {
		if (address_parse(s->peers.items[i], host, sizeof(host), &port))
			continue;
		snprintf(err, err_size,
			 "%s:%d: peers: \"%s\" is not a numeric IPv4 address "
			 "and port, such as \"10.0.0.1:7200\"",
			 file, line, s->peers.items[i]);
		return false;
	}
	return true;
}
