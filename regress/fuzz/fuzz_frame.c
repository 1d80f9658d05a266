/* Fuzzes the parser of frames and of the messages in them, as another process
 * of the system sends them. */
#include <stdint.h>
#include <stdlib.h>

#include "lib/frame.h"
#include "proto/control.pb-c.h"
#include "regress/fuzz/fuzz.h"

static const ProtobufCMessageDescriptor *const messages[] = {
	[CDM__FRAME_TYPE__FRAME_HELLO] = &cdm__hello__descriptor,
	[CDM__FRAME_TYPE__FRAME_SNAPSHOT] = &cdm__snapshot__descriptor,
	[CDM__FRAME_TYPE__FRAME_DELTA] = &cdm__delta__descriptor,
	[CDM__FRAME_TYPE__FRAME_OBSERVATION] = &cdm__observation__descriptor,
	[CDM__FRAME_TYPE__FRAME_DIGEST] = &cdm__digest__descriptor,
	[CDM__FRAME_TYPE__FRAME_CONFIG] = &cdm__config_body__descriptor,
};

/* Unpacks a payload as a message.  Packing it again must give the size that
 * protobuf-c computes beforehand, since frame_send() allocates that much. */
static void check_message(const ProtobufCMessageDescriptor *type,
			  const uint8_t *payload, size_t len)
{
	ProtobufCMessage *m =
		protobuf_c_message_unpack(type, NULL, len, payload);
	uint8_t *packed;
	size_t size;

	if (!m)
		return;
	size = protobuf_c_message_get_packed_size(m);
	packed = malloc(size + 1);
	if (!packed || protobuf_c_message_pack(m, packed) != size)
		abort();
	protobuf_c_message_free_unpacked(m, NULL);
	free(packed);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *payload;
	size_t len;
	uint8_t type;
	size_t i;
	long n;

	while ((n = frame_parse(data, size, &type, &payload, &len)) > 0) {
		if ((size_t)n > size || payload < data ||
		    payload + len != data + n)
			abort();
		if (type < sizeof(messages) / sizeof(messages[0]) &&
		    messages[type])
			check_message(messages[type], payload, len);
		data += n;
		size -= (size_t)n;
	}
	/* parse the rest as a payload, without a valid frame header */
	for (i = 1; size && i < sizeof(messages) / sizeof(messages[0]); i++)
		check_message(messages[i], data, size);
	return 0;
}
