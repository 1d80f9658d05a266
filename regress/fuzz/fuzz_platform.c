/* Fuzzes the parsers of the platform's answers: rows, lines of the instance
 * list and the configuration's head row. */
#include <stdlib.h>
#include <string.h>

#include "fleetd/confsync.h"
#include "lib/platform_json.h"
#include "regress/fuzz/fuzz.h"

/* Aborts unless a parsed head row, formatted and parsed again, is the same. */
static void check_head_round_trip(const char *text, size_t len)
{
	struct config_head head;
	struct config_head again;
	char *written;

	if (!config_head_parse(text, len, &head))
		return;
	written = config_head_format(&head);
	if (!written || !config_head_parse(written, strlen(written), &again) ||
	    again.version != head.version ||
	    strcmp(again.digest, head.digest) != 0 ||
	    strcmp(again.object, head.object) != 0)
		abort();
	free(written);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *json = json_loadb((const char *)data, size, 0, NULL);
	struct platform_instance instance;
	struct platform_row row;

	if (json && platform_row_parse(json, &row)) {
		if (!row.key || strlen(row.value) != row.value_len)
			abort();
		check_head_round_trip(row.value, row.value_len);
	}
	if (json && platform_instance_parse(json, &instance))
		free(platform_encode_path("/objects/", instance.name));
	json_decref(json);
	check_head_round_trip((const char *)data, size);
	return 0;
}
