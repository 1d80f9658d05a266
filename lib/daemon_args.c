/*
 * Command line of the daemons: -f FILE is the settings file, -n only checks it.
 */
#include "lib/daemon_args.h"

#include <argp.h>
#include <stddef.h>

#define EXIT_USAGE 2

static error_t parse_option(int key, char *arg, struct argp_state *state);

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

/* Parses the command line; doc is the introductory sentence of --help.  On a
 * usage error it prints a message and exits with status 2. */
void daemon_args_parse(int argc, char **argv, const char *doc,
		       struct daemon_args *args)
{
	const struct argp parser = {
		.options = options,
		.parser = parse_option,
		.doc = doc,
	};

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&parser, argc, argv, 0, NULL, args);
}

/* Handles one option; called by argp. */
static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct daemon_args *args = state->input;

	switch (key) {
	case 'f':
		args->file = arg;
		return 0;
	case 'n':
		args->check_only = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!args->file)
			argp_error(state, "-f is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
