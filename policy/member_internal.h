#ifndef POLICY_MEMBER_INTERNAL_H
#define POLICY_MEMBER_INTERNAL_H

#include "policy/member.h"

/* Shared by member.c and member_probe.c only. */
struct member *member_lookup(struct member_table *t, uint64_t id);
struct member *member_self(struct member_table *t);
bool member_update_valid(const struct member_update *u);
void member_queue_update(struct member_table *t, struct member *m);
void member_set_state(struct member_table *t, struct member *m,
		      enum member_state state, uint64_t now);
void member_note_config(struct member_table *t, uint64_t version, uint64_t id);

#endif /* POLICY_MEMBER_INTERNAL_H */
