/*
 * cdmfleetd: the control process of an instance.
 */
#include <argp.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleetd/fleetd.h"
#include "fleetd/settings.h"
#include "lib/log.h"

struct arguments {
	const char *file;
	bool check_only;
};

static error_t parse_option(int key, char *arg, struct argp_state *state);

const char *argp_program_version = "cdmfleetd 0.1";

static const struct argp_option options[] = {
	{ .name = "file",
	  .key = 'f',
	  .arg = "FILE",
	  .doc = "read the settings from FILE" },
	{ .name = "check",
	  .key = 'n',
	  .doc = "check the settings file and exit" },
	{ .name = NULL },
};

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.doc = "Control process of an instance: membership, configuration, "
	       "watch over endpoints, and orders to engines.",
};

/* Takes one option. */
static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'f':
		arguments->file = arg;
		return 0;
	case 'n':
		arguments->check_only = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!arguments->file)
			argp_error(state, "-f is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	struct arguments arguments = { 0 };
	struct fleetd_settings settings;
	char err[512];
	int status = 0;

	argp_err_exit_status = 2;
	argp_parse(&parser, argc, argv, 0, NULL, &arguments);
	if (!fleetd_settings_load(&settings, arguments.file, err, sizeof(err)))
		errx(1, "%s", err);
	log_open("cdmfleetd", settings.log_level);
	if (!arguments.check_only)
		status = fleetd_run(&settings);
	fleetd_settings_release(&settings);
	return status;
}
