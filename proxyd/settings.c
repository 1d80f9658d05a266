/*
 * Reads and checks the settings file of cdmproxyd.
 */
#include "proxyd/settings.h"

#include <string.h>

#define FIELD(name) \
	.key = #name, .offset = offsetof(struct proxyd_settings, name)

static const struct setting settings[] = {
	{ FIELD(name), .type = SETTING_STRING, .required = true },
	{ FIELD(zone), .type = SETTING_STRING, .required = true },
	{ FIELD(callers), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(readiness), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(directory), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(metrics), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(peers), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(control), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(seeds), .type = SETTING_STRINGS },
	{ FIELD(capacity), .type = SETTING_DECIMAL, .min = 0, .max = 1024 },
	{ FIELD(store), .type = SETTING_ADDRESS, .required = true },
	{ FIELD(grace_s), .type = SETTING_DECIMAL, .min = 1, .max = 3600 },
	{ FIELD(reuse_after_s), .type = SETTING_DECIMAL, .min = 0,
	  .max = 3600 },
	{ FIELD(directory_ttl_s), .type = SETTING_DECIMAL, .min = 1,
	  .max = 3600 },
	{ FIELD(repeat_window_s), .type = SETTING_DECIMAL, .min = 0.1,
	  .max = 600 },
	{ FIELD(repeat_ratio), .type = SETTING_DECIMAL, .min = 0, .max = 10 },
	{ FIELD(repeat_slack), .type = SETTING_DECIMAL, .min = 0,
	  .max = 1000000 },
	{ .key = NULL },
};

/* Reads and checks the file.  On error, returns false with a message in err
 * that names file, line and key, and leaves the settings empty. */
bool proxyd_settings_load(struct proxyd_settings *s, const char *file,
			  char *err, size_t err_size)
{
	struct toml_node *root = toml_parse_file(file, err, err_size);
	bool ok = proxyd_settings_read(s, root, file, err, err_size);

	toml_free(root);
	return ok;
}

/* Reads a parsed file, with errors as above.  A NULL root is a file that could
 * not be parsed; err then holds the parser's message. */
bool proxyd_settings_read(struct proxyd_settings *s,
			  const struct toml_node *root, const char *file,
			  char *err, size_t err_size)
{
	bool ok;

	memset(s, 0, sizeof(*s));
	s->grace_s = 8;
	s->capacity = 1;
	s->reuse_after_s = 2;
	s->directory_ttl_s = 2;
	s->repeat_window_s = 10;
	s->repeat_ratio = 0.8;
	s->repeat_slack = 150;
	ok = root && settings_read(root, file, settings, s, err, err_size);
	if (!ok)
		proxyd_settings_release(s);
	return ok;
}

/* Frees the strings of the settings. */
void proxyd_settings_release(struct proxyd_settings *s)
{
	settings_release(settings, s);
}
