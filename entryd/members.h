#ifndef ENTRYD_MEMBERS_H
#define ENTRYD_MEMBERS_H

#include <jansson.h>

#include "entryd/entryd.h"
#include "policy/shard.h"
#include "proto/control.pb-c.h"

struct org;

struct members *members_new(void);
void members_free(struct members *m);
void members_receive(struct entryd *e, Cdm__Member **list, size_t n);
void members_orgs_changed(struct entryd *e);
const struct shard_member *members_serving(struct entryd *e, size_t *n,
					   size_t *self);
void members_tick(struct entryd *e);
size_t members_shard(struct entryd *e, const struct org *org, uint64_t *ids,
		     size_t max, uint16_t *fraction);
json_t *members_entries(struct entryd *e, const struct org *org, uint16_t zone);

#endif /* ENTRYD_MEMBERS_H */
