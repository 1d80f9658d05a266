#ifndef FLEETD_GOSSIP_H
#define FLEETD_GOSSIP_H

#include "fleetd/fleetd.h"
#include "lib/frame.h"
#include "proto/control.pb-c.h"

struct gossip *gossip_new(struct fleetd *f);
void gossip_free(struct gossip *g);
void gossip_tick(struct fleetd *f, uint64_t now);
bool gossip_received(struct fleetd *f, const Cdm__Digest *m);
void gossip_send_identity(struct fleetd *f, struct frame_conn *c);
void gossip_push_soon(struct fleetd *f);
void gossip_self_changed(struct fleetd *f);
void gossip_config_changed(struct fleetd *f);
void gossip_request_leave_check(struct fleetd *f, uint64_t id);
void gossip_leave(struct fleetd *f, enum member_state state);
void gossip_apply_list(struct fleetd *f, const struct platform_instance *list,
		       size_t n);
const struct member_table *gossip_members(const struct fleetd *f);

#endif /* FLEETD_GOSSIP_H */
