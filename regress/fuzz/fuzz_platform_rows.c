/* Fuzzes the decoders of the rows of the platform's store; a decoder that
 * rejects a row must set an error message. */
#include <stdlib.h>

#include "platform/platform.h"
#include "regress/fuzz/fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	struct endpoint_entry endpoint;
	struct instance_entry instance;
	char err[160] = "";
	struct routes *routes =
		platform_routes_decode(text, size, err, sizeof(err));
	struct json_document *root;
	struct origin_entry origins;
	struct software_entry software;
	uint64_t *streams;
	uint64_t born_ms;
	char id[32];

	if (!routes && !err[0])
		abort();
	routes_unref(routes);
	err[0] = '\0';
	root = platform_endpoint_decode(text, size, &endpoint, err,
					sizeof(err));
	if (!root && !err[0])
		abort();
	json_document_free(root);
	err[0] = '\0';
	root = platform_instance_decode(text, size, &instance, err,
					sizeof(err));
	if (!root && !err[0])
		abort();
	json_document_free(root);
	platform_protocol.decode_copy_answer(text, size, id, sizeof(id));
	platform_protocol.decode_report(text, size, &born_ms);
	err[0] = '\0';
	streams =
		platform_origins_decode(text, size, &origins, err, sizeof(err));
	if (!streams && !err[0])
		abort();
	free(streams);
	err[0] = '\0';
	if (!platform_software_decode(text, size, &software, err,
				      sizeof(err)) &&
	    !err[0])
		abort();
	return 0;
}
