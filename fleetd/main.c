/*
 * cdmfleetd: the control process of an instance.
 */
#include <argp.h>
#include <err.h>

#include "fleetd/fleetd.h"
#include "fleetd/settings.h"
#include "lib/daemon_args.h"
#include "lib/daemon_signals.h"
#include "lib/log.h"

const char *argp_program_version = "cdmfleetd 0.1";

int main(int argc, char **argv)
{
	struct daemon_args args = { .file = NULL };
	struct fleetd_settings settings;
	char err[512];
	int status = 0;

	daemon_signals_hold();
	daemon_args_parse(argc, argv,
			  "Control process of an instance: membership, "
			  "configuration, monitoring of endpoints, and orders "
			  "to engines.",
			  &args);
	if (!fleetd_settings_load(&settings, args.file, err, sizeof(err)))
		errx(1, "%s", err);
	log_open("cdmfleetd", settings.log_level);
	if (!args.check_only)
		status = fleetd_run(&settings);
	fleetd_settings_release(&settings);
	return status;
}
