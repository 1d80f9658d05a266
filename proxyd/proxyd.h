#ifndef PROXYD_PROXYD_H
#define PROXYD_PROXYD_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "lib/http1_client.h"
#include "lib/http1_server.h"
#include "policy/repeat.h"
#include "policy/planned_stop.h"
#include "proxyd/protocol.h"
#include "proxyd/routes.h"
#include "proxyd/settings.h"
#include "proxyd/store.h"

#define PROXYD_TICK_MS 20

struct desk;
struct endpoints;
struct exchanges;
struct peers;
struct snapshots;
struct suspects;
struct watches;

/* How the process speaks with the world outside of it. */
struct proxyd_world {
	const struct protocol_ops *protocol;
	struct store *(*store_new)(struct http1_client *client, uv_loop_t *loop,
				   const char *address);
};

/* One process.  Its parts are tables with systems that run over them at each
 * tick; a part finds the others here. */
struct proxyd {
	uv_loop_t *loop;
	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	const char *settings_file;
	struct proxyd_settings settings;
	struct repeat_params repeat;
	struct repeat_group sharers; /* of the slack of repeats */
	const struct protocol_ops *protocol;
	struct store *store;
	struct http1_client *client;
	struct routes *routes; /* in force, or NULL */
	struct planned_stop stop;
	uint64_t ticked_ms; /* last tick */
	uint64_t born_ms; /* Unix time of the start */
	uint64_t started_ms; /* the same by the loop's clock */
	struct endpoints *endpoints;
	struct peers *peers;
	struct watches *watches;
	struct snapshots *snapshots;
	struct exchanges *exchanges;
	struct suspects *suspects;
	struct desk *desk;
	bool ending;
};

int proxyd_run(const struct proxyd_world *world, const char *settings_file,
	       const struct proxyd_settings *settings);
uint64_t proxyd_now(const struct proxyd *p);
uint64_t proxyd_unix_ms(void);
uint64_t proxyd_random(void);
void proxyd_adopt(struct proxyd *p, struct routes *routes);

#endif /* PROXYD_PROXYD_H */
