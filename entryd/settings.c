/*
 * Reads the settings file of cdmentryd.
 */
#include "entryd/settings.h"

#include <string.h>
#include <syslog.h>

#include "lib/xalloc.h"
#include "policy/drain.h"

/* Log levels in the order of syslog's priorities. */
static const char *const levels[] = { "emerg", "alert",	  "crit",
				      "err",   "warning", "notice",
				      "info",  "debug",	  NULL };

#define FIELD(name) \
	.key = #name, .offset = offsetof(struct entryd_settings, name)

static const struct setting settings[] = {
	{ FIELD(instance), .type = SETTING_STRING, .required = true },
	{ FIELD(zone), .type = SETTING_STRING, .required = true },
	{ FIELD(fleet_address), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(listen_address), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(advertise_address), .type = SETTING_ADDRESS },
	{ FIELD(operator_address), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(platform_address), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(platform_timeout_ms), .type = SETTING_INTEGER, .min = 10,
	  .max = 60000 },
	{ FIELD(handover_ms), .type = SETTING_INTEGER, .min = 0,
	  .max = 3600000 },
	{ FIELD(streams_max), .type = SETTING_INTEGER, .min = 1,
	  .max = 200000 },
	{ FIELD(log_level), .type = SETTING_CHOICE, .choices = levels },
	{ .key = NULL },
};

/* Reads and checks the file.  Returns false with a message that names file,
 * line and key; the settings are then empty. */
bool entryd_settings_load(struct entryd_settings *s, const char *file,
			  char *err, size_t err_size)
{
	struct toml_node *root = toml_parse_file(file, err, err_size);
	bool ok = entryd_settings_read(s, root, file, err, err_size);

	toml_free(root);
	return ok;
}

/* Reads the settings from a parsed file, as above.  If root is NULL, the file
 * could not be parsed and err already holds the message. */
bool entryd_settings_read(struct entryd_settings *s,
			  const struct toml_node *root, const char *file,
			  char *err, size_t err_size)
{
	bool ok;

	memset(s, 0, sizeof(*s));
	s->platform_timeout_ms = 1000;
	s->handover_ms = DRAIN_HANDOVER_MS;
	s->streams_max = 20000;
	s->log_level = LOG_INFO;
	if (!root)
		return false;
	ok = settings_read(root, file, settings, s, err, err_size);
	if (ok && !s->advertise_address)
		s->advertise_address = xstrdup(s->listen_address);
	if (!ok)
		entryd_settings_release(s);
	return ok;
}

/* Frees the strings. */
void entryd_settings_release(struct entryd_settings *s)
{
	settings_release(settings, s);
}
