#ifndef POLICY_SHARE_H
#define POLICY_SHARE_H

#include <stddef.h>
#include <stdint.h>

/* What one member of a shard knows of another (or of itself). */
struct share_member {
	uint32_t demand; /* running and queued requests of the organisation */
	uint32_t share; /* in force there, as last published */
	uint64_t heard_ms; /* when last heard; unused for the member itself */
};

enum { SHARE_MEMBERS_MAX = 64 };

void share_split(uint32_t limit, const uint32_t *demand, size_t n,
		 uint32_t *share);
uint32_t share_start(uint32_t limit, size_t self, size_t n);
uint32_t share_next(uint32_t limit, const struct share_member *members,
		    size_t n, size_t self, uint64_t now, uint32_t hold_ms);

#endif /* POLICY_SHARE_H */
