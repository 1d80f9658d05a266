/* Fuzzes the parsers of messages that instances of cdmproxyd exchange. */
#include <stdlib.h>

#include "proto/peer.pb-c.h"
#include "proxyd/routes_wire.h"
#include "regress/fuzz/fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	PeerDatagram *datagram = peer_datagram__unpack(NULL, size, data);
	PeerSnapshot *snapshot = peer_snapshot__unpack(NULL, size, data);
	struct routes *routes = routes_unpack(data, size);

	if (datagram)
		peer_datagram__free_unpacked(datagram, NULL);
	if (snapshot)
		peer_snapshot__free_unpacked(snapshot, NULL);
	routes_unref(routes);
	return 0;
}
