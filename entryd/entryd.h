#ifndef ENTRYD_ENTRYD_H
#define ENTRYD_ENTRYD_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "entryd/settings.h"
#include "lib/config.h"
#include "lib/daemon_signals.h"
#include "lib/httpc.h"
#include "lib/httpd.h"
#include "lib/platform.h"
#include "lib/slots.h"
#include "policy/drain.h"
#include "policy/quarantine.h"

#define ENTRYD_TICK_MS 20
#define ENTRYD_STALL_MS 150 /* a longer gap between ticks is a stall */

struct calls;
struct endpoints;
struct engine;
struct fleet;
struct generations;
struct journal;
struct members;
struct objectives;
struct orgs;
struct services;

/* State of the process.  Each part is a table with a function that runs over it
 * at each tick; parts reach each other through this struct. */
struct entryd {
	uv_loop_t *loop;
	uv_timer_t tick;
	struct daemon_signals signals;
	uint64_t ticked_at; /* ms, time of the last tick */
	const struct entryd_settings *settings;
	struct httpc *client;
	struct platform *platform;
	struct httpd *callers;
	struct httpd *operators;
	uint64_t self; /* id of this instance */
	uint16_t zone;
	struct config *config; /* in force, or NULL */
	struct drain drain;
	bool handed_over; /* the drain's handover has started */
	struct engine *engine;
	struct quarantine *quarantine;
	struct fleet *fleet;
	struct members *members;
	struct endpoints *endpoints;
	struct orgs *orgs;
	struct services *services;
	struct generations *generations;
	struct calls *calls;
	struct journal *journal;
	struct objectives *objectives;
};

int entryd_run(const struct entryd_settings *settings);
uint64_t entryd_now(const struct entryd *e);
uint64_t entryd_random(void);
void entryd_adopt(struct entryd *e, struct config *config);
void entryd_leave(struct entryd *e, const char *why);

/* Converts handles to 64-bit numbers, for callbacks and policies that carry a
 * number. */
static inline uint64_t handle_pack(struct handle h)
{
	return (uint64_t)h.index << 32 | h.generation;
}

static inline struct handle handle_unpack(uint64_t packed)
{
	struct handle h = {
		.index = (uint32_t)(packed >> 32),
		.generation = (uint32_t)packed,
	};

	return h;
}

#endif /* ENTRYD_ENTRYD_H */
