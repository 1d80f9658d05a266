#ifndef POLICY_DRAIN_H
#define POLICY_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/* Time for all instances to learn that an instance leaves. */
#define DRAIN_PROPAGATION_MS 5000
#define DRAIN_HANDOVER_MS 120000 /* for running requests to finish */
#define DRAIN_EXIT_MS 30000 /* for the hand-over */
/* How long before an endpoint's deadline its streams are moved. */
#define DRAIN_ENDPOINT_MOVE_MS 10000

/* Phases of an endpoint that leaves. */
enum drain_endpoint_phase {
	DRAIN_ENDPOINT_OPEN,
	DRAIN_ENDPOINT_FINISHING, /* no new runs; current ones continue */
	DRAIN_ENDPOINT_MOVING, /* current runs move to other endpoints */
	DRAIN_ENDPOINT_GONE,
};

struct drain_endpoint {
	bool leaving;
	uint64_t since; /* when this instance learned of it, ms */
	uint64_t deadline; /* when the platform removes it, ms; 0: none */
};

/* Phases of an instance that leaves, in order; it never returns to one. */
enum drain_phase {
	DRAIN_SERVING,
	DRAIN_ANNOUNCED, /* no longer in the entries; accepts requests */
	DRAIN_REFUSING, /* refers new requests to other instances */
	DRAIN_HANDING_OVER, /* streams resume elsewhere by their cursors */
	DRAIN_EXIT,
};

struct drain_settings {
	uint64_t entries_ttl_ms; /* how long callers cache the entries */
	uint64_t handover_ms; /* from announcement to hand-over */
	uint64_t exit_ms; /* max. duration of the hand-over */
};

struct drain {
	enum drain_phase phase;
	uint64_t announced_at;
	uint64_t phase_since;
	struct drain_settings settings;
};

bool drain_endpoint_leave(struct drain_endpoint *d, uint64_t now,
			  uint64_t deadline);
bool drain_endpoint_cancel(struct drain_endpoint *d);
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
