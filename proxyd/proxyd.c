/*
 * The process: its parts, its tick, its start and its stop.
 */
#include "proxyd/proxyd.h"

#include <bsd/stdlib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "lib/counters.h"
#include "lib/event_log.h"
#include "proxyd/desk.h"
#include "proxyd/endpoints.h"
#include "proxyd/exchange.h"
#include "proxyd/peers.h"
#include "proxyd/snapshot.h"
#include "proxyd/suspects.h"
#include "proxyd/watch.h"

/* A tick that comes later than this: the process itself stood still, and the
 * silence of others in that time says nothing. */
#define STALL_MS 60

/* Callers learn of a stop within this time; they ask again for little. */
#define DIRECTORY_TTL_S 1

#define TICKS_PER_LOG 5 /* the log is written every 100 ms */

static bool start(struct proxyd *p, const struct proxyd_world *world, char *err,
		  size_t err_size);
static void set_bounds(struct proxyd *p);
static void on_tick(uv_timer_t *timer);
static void excuse(struct proxyd *p, uint64_t stall_ms);
static void on_stop_signal(uv_signal_t *signal, int number);
static void on_reload_signal(uv_signal_t *signal, int number);

/* Runs the process until it is told to stop; returns its exit status. */
int proxyd_run(const struct proxyd_world *world, const char *settings_file,
	       const struct proxyd_settings *settings)
{
	static struct proxyd process;
	struct proxyd *p = &process;
	char err[512];

	signal(SIGPIPE, SIG_IGN);
	p->loop = uv_default_loop();
	p->settings_file = settings_file;
	p->settings = *settings;
	p->born_ms = proxyd_unix_ms();
	p->started_ms = proxyd_now(p);
	event_log_open("cdmproxyd", p->settings.name, STDOUT_FILENO);
	if (!start(p, world, err, sizeof(err))) {
		event_log(EVENT_ALWAYS, "start-failed", NULL, "{s:s}", "why",
			  err);
		event_log_close();
		return 1;
	}
	event_log(EVENT_ALWAYS, "start", NULL, "{s:s, s:s, s:s}", "callers",
		  p->settings.callers, "zone", p->settings.zone, "store",
		  p->settings.store);
	event_log_tick(proxyd_now(p));
	uv_run(p->loop, UV_RUN_DEFAULT);
	event_log(EVENT_ALWAYS, "stop", NULL, "{s:I, s:I}", "open_requests",
		  (json_int_t)exchanges_open(p->exchanges), "ms_after_signal",
		  (json_int_t)(proxyd_now(p) - p->stop.signal_ms));
	event_log_close();
	return 0;
}

/* Returns the time of the loop, ms; it stands while the process does. */
uint64_t proxyd_now(const struct proxyd *p)
{
	return uv_now(p->loop);
}

/* Returns Unix time, ms. */
uint64_t proxyd_unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Returns a random number. */
uint64_t proxyd_random(void)
{
	return (uint64_t)arc4random() << 32 | arc4random();
}

/* Puts a configuration in force if it is newer; takes the reference over. */
void proxyd_adopt(struct proxyd *p, struct routes *routes)
{
	if (p->routes && routes->version <= p->routes->version) {
		routes_unref(routes);
		return;
	}
	event_log(EVENT_ALWAYS, "configuration", NULL, "{s:I, s:I, s:I, s:I}",
		  "version", (json_int_t)routes->version, "before",
		  (json_int_t)(p->routes ? p->routes->version : 0), "routes",
		  (json_int_t)routes->n_routes, "organisations",
		  (json_int_t)routes->n_organisations);
	routes_unref(p->routes);
	p->routes = routes;
	snapshots_invalidate(p->snapshots);
	peers_announce_soon(p->peers);
	desk_limits(p->desk);
}

/* Makes the parts; false with a message in err. */
static bool start(struct proxyd *p, const struct proxyd_world *world, char *err,
		  size_t err_size)
{
	p->protocol = world->protocol;
	set_bounds(p);
	p->client = http1_client_new(p->loop);
	p->store = world->store_new(p->client, p->loop, p->settings.store);
	p->endpoints = endpoints_new(p);
	p->exchanges = exchanges_new(p);
	p->suspects = suspects_new(p);
	p->watches = watches_new(p);
	p->snapshots = snapshots_new(p);
	p->peers = peers_new(p, err, err_size);
	if (!p->peers)
		return false;
	p->desk = desk_new(p, err, err_size);
	if (!p->desk)
		return false;
	uv_signal_init(p->loop, &p->sigterm);
	uv_signal_init(p->loop, &p->sigint);
	uv_signal_init(p->loop, &p->sighup);
	p->sigterm.data = p;
	p->sigint.data = p;
	p->sighup.data = p;
	uv_signal_start(&p->sigterm, on_stop_signal, SIGTERM);
	uv_signal_start(&p->sigint, on_stop_signal, SIGINT);
	uv_signal_start(&p->sighup, on_reload_signal, SIGHUP);
	uv_timer_init(p->loop, &p->tick);
	p->tick.data = p;
	uv_timer_start(&p->tick, on_tick, 0, PROXYD_TICK_MS);
	return true;
}

/* Derives from the settings what the parts use. */
static void set_bounds(struct proxyd *p)
{
	double ttl_s = p->settings.directory_ttl_s;

	p->stop.grace_ms = (uint64_t)(p->settings.grace_s * 1000);
	p->stop.directory_ttl_ms =
		(uint64_t)(ttl_s < DIRECTORY_TTL_S ? ttl_s : DIRECTORY_TTL_S) *
		1000;
	p->repeat = (struct repeat_params){
		.window_ms = (uint32_t)(p->settings.repeat_window_s * 1000),
		.ratio_permille = (uint32_t)(p->settings.repeat_ratio * 1000),
		.slack = (uint32_t)p->settings.repeat_slack,
		.grace_ms = (uint32_t)p->stop.grace_ms,
	};
}

/* Lets each part do what is due. */
static void on_tick(uv_timer_t *timer)
{
	static unsigned int count;
	struct proxyd *p = timer->data;
	uint64_t now = proxyd_now(p);

	if (p->ticked_ms && now - p->ticked_ms > STALL_MS) {
		excuse(p, now - p->ticked_ms);
		p->ticked_ms = now;
		return; /* what has come meanwhile is read first */
	}
	p->ticked_ms = now;
	http1_client_tick(p->client);
	p->store->ops->tick(p->store);
	watches_tick(p->watches);
	if (watches_listed(p->watches))
		repeat_group_update(&p->sharers, &p->repeat,
				    (uint32_t)peers_listed(p->peers) + 1, now);
	endpoints_tick(p->endpoints);
	exchanges_tick(p->exchanges);
	exchanges_borrow(p->exchanges);
	suspects_tick(p->suspects);
	peers_tick(p->peers);
	if (++count % TICKS_PER_LOG == 0) {
		desk_tick(p->desk);
		event_log_tick(now);
	}
	if (planned_stop_should_exit(&p->stop, now,
				     exchanges_open(p->exchanges)))
		uv_stop(p->loop);
}

/* Takes the time that this process stood still out of every silence. */
static void excuse(struct proxyd *p, uint64_t stall_ms)
{
	event_log(EVENT_NOTABLE, "stood-still", NULL, "{s:I}", "ms",
		  (json_int_t)stall_ms);
	http1_client_excuse(p->client, stall_ms);
	exchanges_excuse(p->exchanges, stall_ms);
	endpoints_stood_still(p->endpoints, stall_ms);
}

/* Begins a planned stop. */
static void on_stop_signal(uv_signal_t *signal, int number)
{
	struct proxyd *p = signal->data;

	if (p->stop.signal_ms)
		return;
	p->stop.signal_ms = proxyd_now(p);
	event_log(EVENT_ALWAYS, "stopping", NULL, "{s:i, s:I, s:I}", "signal",
		  number, "grace_ms", (json_int_t)p->stop.grace_ms,
		  "open_requests", (json_int_t)exchanges_open(p->exchanges));
	desk_leave(p->desk);
	watches_remove_entry(p->watches);
	peers_announce_now(p->peers);
}

/* Reads the settings again.  Addresses stay as they are until the next start;
 * a file that is not in order changes nothing. */
static void on_reload_signal(uv_signal_t *signal, int number)
{
	struct proxyd *p = signal->data;
	struct proxyd_settings fresh;
	char err[512];

	(void)number;
	if (!proxyd_settings_load(&fresh, p->settings_file, err, sizeof(err))) {
		event_log(EVENT_ALWAYS, "reload-failed", NULL, "{s:s}", "why",
			  err);
		return;
	}
	if (p->settings.repeat_window_s != fresh.repeat_window_s)
		p->sharers.known_since_ms =
			0; /* counts anew, as after a start */
	p->settings.grace_s = fresh.grace_s;
	p->settings.reuse_after_s = fresh.reuse_after_s;
	p->settings.directory_ttl_s = fresh.directory_ttl_s;
	p->settings.repeat_window_s = fresh.repeat_window_s;
	p->settings.repeat_ratio = fresh.repeat_ratio;
	p->settings.repeat_slack = fresh.repeat_slack;
	set_bounds(p);
	proxyd_settings_release(&fresh);
	event_log(EVENT_ALWAYS, "reload", NULL, "{s:f, s:f, s:f}", "grace_s",
		  p->settings.grace_s, "repeat_ratio", p->settings.repeat_ratio,
		  "repeat_slack", p->settings.repeat_slack);
}
