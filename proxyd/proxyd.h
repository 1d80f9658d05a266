#ifndef PROXYD_PROXYD_H
#define PROXYD_PROXYD_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "lib/daemon_signals.h"
#include "lib/http1_client.h"
#include "lib/http1_server.h"
#include "policy/repeat.h"
#include "policy/planned_stop.h"
#include "proxyd/protocol.h"
#include "proxyd/routes.h"
#include "proxyd/settings.h"
#include "proxyd/store.h"

#define PROXYD_TICK_MS 20

/* If a tick comes later than this, the process itself was stalled, and silence
 * of endpoints and instances in that time is no sign of a failure. */
#define PROXYD_STALL_MS 60

struct limits;
struct origins;
struct listeners;
struct endpoints;
struct exchanges;
struct peers;
struct snapshots;
struct suspects;
struct watches;

/* The platform that the process runs on: its protocol and its store. */
struct proxyd_platform {
	const struct protocol_ops *protocol;
	struct store *(*store_new)(struct http1_client *client, uv_loop_t *loop,
				   const char *address);
};

/* State of the process.  Each part is a table that its functions update at
 * every tick; parts reach each other through this struct. */
struct proxyd {
	uv_loop_t *loop;
	uv_timer_t tick;
	struct daemon_signals signals;
	const char *settings_file;
	struct proxyd_settings settings;
	struct repeat_params repeat;
	struct repeat_group
		repeat_group; /* instances that share the repeat slack */
	const struct protocol_ops *protocol;
	struct store *store;
	struct http1_client *client;
	struct routes *routes; /* active configuration, or NULL */
	uint64_t routes_since_ms; /* when that was activated; 0: never */
	struct planned_stop planned_stop;
	uint64_t last_tick_ms; /* loop time of the last tick */
	uint64_t input_read_ms; /* of the last one that followed no stall */
	uint64_t start_unix_ms; /* Unix time of the process start */
	uint64_t start_ms; /* loop time of the process start */
	struct endpoints *endpoints;
	struct origins *origins; /* of streams */
	struct peers *peers;
	struct watches *watches;
	struct snapshots *snapshots;
	struct exchanges *exchanges;
	struct suspects *suspects;
	struct limits *limits; /* of endpoints */
	struct listeners *listeners;
	bool ending;
};

int proxyd_run(const struct proxyd_platform *platform,
	       const char *settings_file,
	       const struct proxyd_settings *settings);
uint64_t proxyd_now(const struct proxyd *p);
uint64_t proxyd_clock_ms(void);
uint64_t proxyd_received_ms(const struct proxyd *p);
uint64_t proxyd_unix_ms(void);
uint64_t proxyd_random(void);
void proxyd_apply_routes(struct proxyd *p, struct routes *routes);

#endif /* PROXYD_PROXYD_H */
