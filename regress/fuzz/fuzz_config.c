/* Fuzzes the parser of the operators' configuration file. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "lib/config.h"
#include "lib/config_diff.h"
#include "regress/fuzz/fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct config_change *changes;
	struct config *again;
	struct config *c;
	char err[512] = "";

	c = config_parse((const char *)data, size, "fuzz", 1, err, sizeof(err));
	if (!c) {
		if (strncmp(err, "fuzz:", 5) != 0)
			abort(); /* an error names the file */
		return 0;
	}
	/* Other instances parse the stored text of an accepted file. */
	again = config_parse(c->text, c->text_len, "fuzz", 2, err, sizeof(err));
	if (!again || config_diff(c, again, &changes) != 0)
		abort();
	free(changes);
	config_diff(NULL, c, &changes);
	free(changes);
	config_unref(again);
	config_unref(c);
	return 0;
}
