#ifndef ENTRYD_ORGS_H
#define ENTRYD_ORGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entryd/entryd.h"
#include "policy/retry.h"
#include "policy/share.h"
#include "proto/control.pb-c.h"

#define ORGS_MAX 2048 /* over the lifetime of the process */
#define ORG_PEERS_MAX SHARE_MEMBERS_MAX

/* Demand that another instance of the shard published. */
struct org_peer {
	uint64_t id;
	struct share_member member;
};

/* One organisation.  Its index is never reused for another one. */
struct org {
	uint64_t id;
	char *name;
	size_t config_index;
	bool configured;
	uint32_t weight; /* thousandths */
	uint32_t limit; /* running requests in the whole fleet */
	uint32_t share; /* part of the limit that is in force here */
	bool exchanges; /* its shard is small enough to exchange demands */
	uint32_t running; /* here, over all services */
	uint32_t waiting;
	uint64_t active_at; /* ms, last time with requests here or at a peer */
	struct retry_budget retry;
	struct org_peer peers[ORG_PEERS_MAX];
	size_t n_peers;
};

struct orgs *orgs_new(void);
void orgs_free(struct orgs *t);
void orgs_configure(struct entryd *e);
void orgs_tick(struct entryd *e, uint64_t now);
void orgs_receive(struct entryd *e, const char *instance, Cdm__Demand **demands,
		  size_t n);
struct org *org_at(const struct entryd *e, uint32_t index);
uint32_t org_index(const struct entryd *e, uint64_t id);

#endif /* ENTRYD_ORGS_H */
