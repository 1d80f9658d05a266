#ifndef REGRESS_PEER_STANDIN_H
#define REGRESS_PEER_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "regress/platform_standin.h"

/* Datagrams of an instance that a test simulates, and what the log of the one
 * that gets them tells of entries. */

struct peer_standin_pulse {
	const char *name;
	uint64_t born_ms; /* Unix time of the start of its process */
	uint64_t version; /* of its configuration */
	bool leaving;
	/* at whose address it found an endpoint, or NULL, and its id */
	const struct standin_worker *worker;
	const char *found;
};

/* The entry of a plain worker as the simulated instance has read it. */
struct peer_standin_entry {
	const char *name; /* of the instance */
	uint64_t version; /* of the table with this entry */
	uint64_t era;
	const struct standin_worker *worker;
	const char *state;
};

void peer_standin_pulse(const struct standin_instance *to,
			const struct peer_standin_pulse *p);
void peer_standin_forward(const struct standin_instance *to,
			  const struct peer_standin_entry *e);
size_t peer_standin_logged_entries(const struct standin_instance *in,
				   const struct standin_worker *worker,
				   bool leaving);

#endif /* REGRESS_PEER_STANDIN_H */
