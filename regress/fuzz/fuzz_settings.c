/* Fuzzes the parsers of the daemons' settings files. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/settings.h"
#include "fleetd/settings.h"
#include "proxyd/settings.h"
#include "regress/fuzz/fuzz.h"

/* Aborts unless an error names the file, and accepted settings hold an instance
 * and a valid address. */
static void check(bool ok, const char *err, const char *instance,
		  const char *advertised)
{
	char host[64];
	uint16_t port;

	if (!ok && (strncmp(err, "fuzz:", 5) != 0 || instance || advertised))
		abort();
	if (ok && (!instance ||
		   !address_parse(advertised, host, sizeof(host), &port)))
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char err[512] = "";
	struct toml_node *root =
		toml_parse((const char *)data, size, "fuzz", err, sizeof(err));
	struct entryd_settings entryd;
	struct fleetd_settings fleetd;
	struct proxyd_settings proxyd;
	bool ok;

	ok = entryd_settings_read(&entryd, root, "fuzz", err, sizeof(err));
	check(ok, err, entryd.instance, entryd.advertise_address);
	entryd_settings_release(&entryd);
	ok = fleetd_settings_read(&fleetd, root, "fuzz", err, sizeof(err));
	check(ok, err, fleetd.instance, fleetd.advertise_address);
	fleetd_settings_release(&fleetd);
	ok = proxyd_settings_read(&proxyd, root, "fuzz", err, sizeof(err));
	check(ok, err, proxyd.name, proxyd.callers);
	proxyd_settings_release(&proxyd);
	toml_free(root);
	return 0;
}
