#ifndef POLICY_DRAIN_H
#define POLICY_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#define DRAIN_SPREAD_MS 5000 /* until all instances know of a leaving one */
#define DRAIN_HANDOVER_MS 120000 /* running requests finish by themselves */
#define DRAIN_EXIT_MS 30000 /* for the hand-over itself */
#define DRAIN_ENDPOINT_MOVE_MS 10000 /* before an endpoint's deadline */

/* What may be done at a leaving endpoint. */
enum drain_endpoint_phase {
	DRAIN_ENDPOINT_OPEN,
	DRAIN_ENDPOINT_FINISHING, /* no new work; what runs goes on */
	DRAIN_ENDPOINT_MOVING, /* what runs is resumed elsewhere */
	DRAIN_ENDPOINT_GONE,
};

struct drain_endpoint {
	bool leaving;
	uint64_t since; /* when we learnt of it, ms */
	uint64_t deadline; /* when the platform takes it away; 0: none */
};

/* A leaving instance, in order; it never goes back. */
enum drain_phase {
	DRAIN_SERVING,
	DRAIN_ANNOUNCED, /* out of the entries; accepts as before */
	DRAIN_REFUSING, /* new requests are sent to another instance */
	DRAIN_HANDING_OVER, /* streams go on elsewhere by their cursor */
	DRAIN_EXIT,
};

struct drain_settings {
	uint64_t entries_ttl_ms; /* how long callers keep an answer */
	uint64_t handover_ms; /* from the announcement */
	uint64_t exit_ms; /* from the start of the hand-over */
};

struct drain {
	enum drain_phase phase;
	uint64_t announced_at;
	uint64_t phase_since;
	struct drain_settings settings;
};

bool drain_endpoint_leave(struct drain_endpoint *d, uint64_t now,
			  uint64_t deadline);
bool drain_endpoint_return(struct drain_endpoint *d);
enum drain_endpoint_phase drain_endpoint_phase(const struct drain_endpoint *d,
					       uint64_t now);
bool drain_endpoint_takes_work(const struct drain_endpoint *d);

void drain_init(struct drain *d, const struct drain_settings *settings);
void drain_announce(struct drain *d, uint64_t now);
enum drain_phase drain_step(struct drain *d, uint64_t now,
			    unsigned int running);
bool drain_in_entries(const struct drain *d);
bool drain_accepts(const struct drain *d);
uint64_t drain_next(const struct drain *d);
const char *drain_phase_name(enum drain_phase phase);

#endif /* POLICY_DRAIN_H */
