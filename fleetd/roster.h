#ifndef FLEETD_ROSTER_H
#define FLEETD_ROSTER_H

#include <stddef.h>

#include "fleetd/fleetd.h"
#include "proto/control.pb-c.h"

/* An instance: its record and the state last copied from the membership. */
struct roster_entry {
	uint64_t id;
	char *name;
	char *zone;
	char *control_address;
	char *operator_address; /* or NULL */
	struct string_list entry_addresses;
	uint64_t incarnation; /* of the record above */
	enum member_state state; /* as last sent to the cdmentryds */
	bool serving; /* in the last assignment of endpoints and shards */
	uint64_t config_version;
	uint64_t changed_seq; /* sequence of the last change */
};

struct roster {
	struct roster_entry *entries; /* sorted by id */
	size_t n;
};

struct roster *roster_new(struct fleetd *f);
void roster_free(struct roster *r);
struct roster_entry *roster_find(const struct roster *r, uint64_t id);
bool roster_update(struct fleetd *f, const Cdm__Member *m);
void roster_add_listed(struct fleetd *f, const struct platform_instance *i);
void roster_set_entry_addresses(struct fleetd *f, const char *const *addresses,
				size_t n);
void roster_sync(struct fleetd *f);
void roster_pack(const struct roster_entry *e, Cdm__Member *out);
Cdm__MemberState roster_state_to_wire(enum member_state state);

#endif /* FLEETD_ROSTER_H */
