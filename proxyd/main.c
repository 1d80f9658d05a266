/*
 * cdmproxyd: answers the callers of an instance on the users' platform.
 */
#include <argp.h>
#include <err.h>

#include "lib/daemon_args.h"
#include "platform/platform.h"
#include "proxyd/proxyd.h"

const char *argp_program_version = "cdmproxyd 0.1";

static const struct proxyd_world platform_world = {
	.protocol = &platform_protocol,
	.store_new = platform_store_new,
};

int main(int argc, char **argv)
{
	struct daemon_args args = { .file = NULL };
	struct proxyd_settings settings;
	char err[512];
	int status = 0;

	daemon_args_parse(argc, argv,
			  "Passes requests of callers on to services and model "
			  "engines, and keeps streams going when engines fail.",
			  &args);
	if (!proxyd_settings_load(&settings, args.file, err, sizeof(err)))
		errx(1, "%s", err);
	if (!args.check_only)
		status = proxyd_run(&platform_world, args.file, &settings);
	proxyd_settings_release(&settings);
	return status;
}
