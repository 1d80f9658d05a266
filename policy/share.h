#ifndef POLICY_SHARE_H
#define POLICY_SHARE_H

#include <stddef.h>
#include <stdint.h>

/* State of a member of a shard, as known to another member or to itself. */
struct share_member {
	uint32_t demand; /* running and queued requests of the organisation */
	uint32_t share; /* in force at the member, as last published */
	uint64_t last_seen_ms; /* latest report, direct or relayed */
};

/* Time limits of the exchange between members. */
struct share_params {
	uint32_t fresh_ms; /* maximum age of reports to raise a share on */
	uint32_t hold_ms; /* a majority must be seen within this time */
};

enum {
	SHARE_MEMBERS_MAX = 64,
	SHARE_EXCHANGE_MAX = 16, /* members that exchange demands */
	SHARE_NONMEMBER_DIVISOR = 8, /* of a limit, outside the shard */
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
