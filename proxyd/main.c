/*
 * cdmproxyd: proxy for the callers of one instance on the users' platform.
 */
#include <argp.h>
#include <err.h>

#include "lib/daemon_args.h"
#include "lib/daemon_signals.h"
#include "platform/platform.h"
#include "proxyd/proxyd.h"

const char *argp_program_version = "cdmproxyd 0.1";

static const struct proxyd_platform platform = {
	.protocol = &platform_protocol,
	.store_new = platform_store_new,
};

int main(int argc, char **argv)
{
	struct daemon_args args = { .file = NULL };
	struct proxyd_settings settings;
	char err[512];
	int status = 0;

	daemon_signals_hold();
	daemon_args_parse(
		argc, argv,
		"Forwards requests from callers to services and model "
		"engines, and resumes streams when engines fail.",
		&args);
	if (!proxyd_settings_load(&settings, args.file, err, sizeof(err)))
		errx(1, "%s", err);
	if (!args.check_only)
		status = proxyd_run(&platform, args.file, &settings);
	proxyd_settings_release(&settings);
	return status;
}
