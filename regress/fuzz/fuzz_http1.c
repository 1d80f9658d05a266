/* Fuzzes the parsers of HTTP/1.1 heads and bodies, and of the headers that
 * platform/ decodes. */
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "regress/fuzz/fuzz.h"

/* Decodes a body to its end; aborts if the decoded and the remaining bytes
 * together exceed the input. */
static void read_body(struct http1_body *body, const uint8_t *data, size_t len)
{
	char *copy = malloc(len ? len : 1);
	size_t decoded = 0;
	size_t rest = 0;

	if (!copy)
		abort();
	if (len)
		memcpy(copy, data, len);
	if (http1_body_read(body, copy, len, &decoded, &rest) != HTTP1_BAD &&
	    decoded + rest > len)
		abort();
	free(copy);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct request_fields fields;
	struct answer_fields answer;
	struct http1_request r = { .body = "" };
	const struct forward_fields forward = { .endpoint = "e" };
	struct http1_body body;
	struct bytes out = { 0 };
	char zone[16];
	size_t used = 0;

	if (http1_parse_request((const char *)data, size, &r.head, &used) ==
	    HTTP1_DONE) {
		if (used > size)
			abort();
		platform_protocol.decode_request(&r.head, &fields);
		prompt_parts_unref(fields.parts);
		platform_protocol.decode_directory(&r.head, zone, sizeof(zone));
		platform_protocol.encode_request(&out, &r, &forward);
		if (http1_request_framing(&r.head, &body))
			read_body(&body, data + used, size - used);
	}
	if (http1_parse_response((const char *)data, size, &r.head, &used) ==
	    HTTP1_DONE) {
		platform_protocol.decode_answer(&r.head, &answer);
		platform_protocol.encode_answer(&out, &r.head);
		if (http1_response_framing(&r.head, false, &body))
			read_body(&body, data + used, size - used);
	}
	bytes_release(&out);
	return 0;
}
