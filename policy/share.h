#ifndef POLICY_SHARE_H
#define POLICY_SHARE_H

#include <stddef.h>
#include <stdint.h>

/* What one member of a shard knows of another (or of itself). */
struct share_member {
	uint32_t demand; /* running and queued requests of the organisation */
	uint32_t share; /* in force there, as last published */
	uint64_t last_seen_ms; /* of its news, also by way of others */
};

/* Times of the exchange between members. */
struct share_params {
	uint32_t fresh_ms; /* a share is raised on news this young only */
	uint32_t hold_ms; /* a member not heard for longer is cut off */
};

enum {
	SHARE_MEMBERS_MAX = 64,
	SHARE_EXCHANGE_MAX = 16, /* members that exchange demands */
	SHARE_NONMEMBER_DIVISOR = 8, /* of a limit, at no member of the shard */
};

void share_split(uint32_t limit, const uint32_t *demand, size_t n,
		 uint32_t *share);
uint32_t share_even(uint32_t limit, size_t self, size_t n);
uint32_t share_proportional(uint32_t limit, uint32_t part, uint32_t whole);
uint32_t share_nonmember(uint32_t limit);
uint32_t share_next(uint32_t limit, const struct share_member *members,
		    size_t n, size_t self, uint64_t now,
		    const struct share_params *params);

#endif /* POLICY_SHARE_H */
