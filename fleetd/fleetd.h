#ifndef FLEETD_FLEETD_H
#define FLEETD_FLEETD_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "fleetd/settings.h"
#include "lib/config.h"
#include "lib/daemon_signals.h"
#include "lib/httpc.h"
#include "lib/platform.h"
#include "policy/member.h"

struct commits;
struct confsync;
struct demands;
struct endpoints;
struct feed;
struct gossip;
struct leases;
struct listing;
struct operator_server;
struct orders;
struct peers;
struct roster;
struct suspects;
struct watch;

#define FLEETD_TICK_MS MEMBER_TICK_MS

/*
 * State of the process.  Each part keeps its tables, has a function that runs
 * at each tick, and reaches the other parts through this struct.
 */
struct fleetd {
	uv_loop_t *loop;
	uv_timer_t tick;
	struct daemon_signals signals;
	const struct fleetd_settings *settings;
	struct httpc *client;
	struct platform *platform;
	uint64_t self; /* id of this instance */
	uint16_t zone;
	/* Number of the last change that the cdmentryds must be sent.  Each
	 * changed object records the number of its last change. */
	uint64_t sequence;
	struct config *config; /* in force, or NULL */
	uint64_t config_changed; /* sequence of the change */
	bool members_changed; /* since the last tick */
	bool leaving;
	uint64_t leaving_since_ms;
	uint64_t leaving_changed; /* sequence of the change */
	bool stopping; /* the process ends after leaving */
	uint64_t leave_deadline_ms; /* end of the wait for cdmentryds */
	uint64_t left_ms; /* when it left; 0: not yet */
	struct peers *peers;
	struct roster *roster;
	struct gossip *gossip;
	struct feed *feed;
	struct confsync *confsync;
	struct commits *commits;
	struct demands *demands;
	struct endpoints *endpoints;
	struct watch *watch;
	struct listing *listing;
	struct leases *leases;
	struct orders *orders;
	struct suspects *suspects;
	struct operator_server *operator;
};

int fleetd_run(const struct fleetd_settings *settings);
uint64_t fleetd_now(const struct fleetd *f);
uint64_t fleetd_random(void);
uint64_t fleetd_next_sequence(struct fleetd *f);
void fleetd_adopt(struct fleetd *f, struct config *config);
void fleetd_members_changed(struct fleetd *f);
void fleetd_leave(struct fleetd *f, const char *why);

#endif /* FLEETD_FLEETD_H */
