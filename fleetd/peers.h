#ifndef FLEETD_PEERS_H
#define FLEETD_PEERS_H

#include "fleetd/fleetd.h"
#include "lib/frame.h"

struct peers *peers_new(struct fleetd *f, char *err, size_t err_size);
void peers_stop(struct fleetd *f);
void peers_free(struct peers *p);
void peers_tick(struct fleetd *f, uint64_t now);
void peers_send(struct fleetd *f, uint64_t id, const char *address,
		uint8_t type, const ProtobufCMessage *message);
void peers_disconnect(struct fleetd *f, uint64_t id);
size_t peers_count(const struct fleetd *f);

#endif /* FLEETD_PEERS_H */
