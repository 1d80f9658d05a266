#ifndef FLEETD_ROSTER_H
#define FLEETD_ROSTER_H

#include <stddef.h>

#include "fleetd/fleetd.h"
#include "proto/control.pb-c.h"

/* What the membership table of policy/ doesn't hold about an instance. */
struct roster_entry {
	uint64_t id;
	char *name;
	char *zone;
	char *control_address;
	char *operator_address; /* or NULL */
	struct string_list entry_addresses;
	uint64_t incarnation; /* of the record above */
	enum member_state state; /* as last told to the cdmentryds */
	bool serves; /* as endpoints and shards were last dealt out */
	uint64_t config_version;
	uint64_t changed; /* sequence of the last change */
};

struct roster {
	struct roster_entry *entries; /* by id */
	size_t n;
};

struct roster *roster_new(struct fleetd *f);
void roster_free(struct roster *r);
struct roster_entry *roster_find(const struct roster *r, uint64_t id);
bool roster_put(struct fleetd *f, const Cdm__Member *m);
void roster_list(struct fleetd *f, const struct platform_instance *i);
void roster_set_entries(struct fleetd *f, const char *const *addresses,
			size_t n);
void roster_sync(struct fleetd *f);
void roster_pack(const struct roster_entry *e, Cdm__Member *out);
Cdm__MemberState roster_wire_state(enum member_state state);

#endif /* FLEETD_ROSTER_H */
