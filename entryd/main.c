/*
 * cdmentryd: serves the callers of an instance.
 */
#include <argp.h>
#include <err.h>

#include "entryd/entryd.h"
#include "entryd/settings.h"
#include "lib/daemon_args.h"
#include "lib/daemon_signals.h"
#include "lib/log.h"

const char *argp_program_version = "cdmentryd 0.1";

int main(int argc, char **argv)
{
	struct daemon_args args = { .file = NULL };
	struct entryd_settings settings;
	char err[512];
	int status = 0;

	daemon_signals_hold();
	daemon_args_parse(argc, argv,
			  "Answers callers: admission, routing, streams and "
			  "their resumption, calls that run at most once.",
			  &args);
	if (!entryd_settings_load(&settings, args.file, err, sizeof(err)))
		errx(1, "%s", err);
	log_open("cdmentryd", settings.log_level);
	if (!args.check_only)
		status = entryd_run(&settings);
	entryd_settings_release(&settings);
	return status;
}
