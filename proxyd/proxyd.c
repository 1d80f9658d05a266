/*
 * The process: creates its parts, runs them at each tick, and handles signals.
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
#include "proxyd/limits.h"
#include "proxyd/listeners.h"
#include "proxyd/endpoints.h"
#include "proxyd/exchange.h"
#include "proxyd/origins.h"
#include "proxyd/peers.h"
#include "proxyd/request_end.h"
#include "proxyd/snapshot.h"
#include "proxyd/suspects.h"
#include "proxyd/watch.h"

/* Upper bound of the directory TTL: callers learn of a stop within this time,
 * and asking again costs them little. */
#define DIRECTORY_TTL_MAX_S 1

#define TICKS_PER_LOG 5 /* write the log every 100 ms */

static bool start(struct proxyd *p, const struct proxyd_platform *platform,
		  char *err, size_t err_size);
static void apply_settings(struct proxyd *p);
static void on_tick(uv_timer_t *timer);
static bool should_exit(const struct proxyd *p, uint64_t now);
static void discount_stall(struct proxyd *p, uint64_t stall_ms);
static void on_stop_signal(void *arg, int number);
static void on_reload_signal(void *arg);

/* Runs the process until it is stopped; returns its exit status. */
int proxyd_run(const struct proxyd_platform *platform,
	       const char *settings_file,
	       const struct proxyd_settings *settings)
{
	static struct proxyd process;
	struct proxyd *p = &process;
	char err[512];

	signal(SIGPIPE, SIG_IGN);
	p->loop = uv_default_loop();
	p->settings_file = settings_file;
	p->settings = *settings;
	p->start_unix_ms = proxyd_unix_ms();
	p->start_ms = proxyd_now(p);
	event_log_open("cdmproxyd", p->settings.name, STDOUT_FILENO);
	if (!start(p, platform, err, sizeof(err))) {
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
	request_ends_at_exit(p->exchanges);
	listeners_end(p->listeners);
	event_log(EVENT_ALWAYS, "stop", NULL, "{s:I, s:I}", "open_requests",
		  (json_int_t)exchanges_open(p->exchanges), "ms_after_signal",
		  (json_int_t)(proxyd_now(p) - p->planned_stop.signal_ms));
	event_log_close();
	return 0;
}

/* Returns the time of the event loop, ms; it does not advance while the process
 * is stalled. */
uint64_t proxyd_now(const struct proxyd *p)
{
	return uv_now(p->loop);
}

/* Returns the present time by the clock of the event loop, ms. */
uint64_t proxyd_clock_ms(void)
{
	return uv_hrtime() / 1000000;
}

/* Returns a time after which all arrived that is read now, ms: if this process
 * was stalled, a time before that. */
uint64_t proxyd_received_ms(const struct proxyd *p)
{
	return p->input_read_ms ? p->input_read_ms : p->start_ms;
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

/* Activates a configuration if it is newer than the active one; takes over the
 * reference. */
void proxyd_apply_routes(struct proxyd *p, struct routes *routes)
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
	p->routes_since_ms = proxyd_now(p);
	snapshots_invalidate(p->snapshots);
	peers_announce_soon(p->peers);
	listeners_apply_limits(p->listeners);
}

/* Creates the parts and starts the timer and signal handlers; false with a
 * message in err on failure. */
static bool start(struct proxyd *p, const struct proxyd_platform *platform,
		  char *err, size_t err_size)
{
	p->protocol = platform->protocol;
	apply_settings(p);
	p->signals = (struct daemon_signals){
		.on_stop = on_stop_signal,
		.on_reload = on_reload_signal,
		.arg = p,
	};
	daemon_signals_handle(&p->signals, p->loop);
	p->client = http1_client_new(p->loop);
	p->store = platform->store_new(p->client, p->loop, p->settings.store);
	p->limits = limits_new(p);
	p->endpoints = endpoints_new(p);
	p->origins = origins_new(p);
	p->exchanges = exchanges_new(p);
	p->suspects = suspects_new(p);
	p->watches = watches_new(p);
	p->snapshots = snapshots_new(p);
	p->peers = peers_new(p, err, err_size);
	if (!p->peers)
		return false;
	p->listeners = listeners_new(p, err, err_size);
	if (!p->listeners)
		return false;
	uv_timer_init(p->loop, &p->tick);
	p->tick.data = p;
	uv_timer_start(&p->tick, on_tick, 0, PROXYD_TICK_MS);
	return true;
}

/* Derives the planned-stop and repeat parameters from the settings.  The grace time
 * of a stop in progress stays: requests were accepted under it. */
static void apply_settings(struct proxyd *p)
{
	double ttl_s = p->settings.directory_ttl_s;

	if (!p->planned_stop.signal_ms)
		p->planned_stop.grace_ms =
			(uint64_t)(p->settings.grace_s * 1000);
	p->planned_stop.directory_ttl_ms =
		(uint64_t)(ttl_s < DIRECTORY_TTL_MAX_S ? ttl_s
						       : DIRECTORY_TTL_MAX_S) *
		1000;
	p->repeat = (struct repeat_params){
		.window_ms = (uint32_t)(p->settings.repeat_window_s * 1000),
		.ratio_permille = (uint32_t)(p->settings.repeat_ratio * 1000),
		.slack = (uint32_t)p->settings.repeat_slack,
		.grace_ms = (uint32_t)p->planned_stop.grace_ms,
	};
}

/* Runs the periodic work of each part. */
static void on_tick(uv_timer_t *timer)
{
	static unsigned int count;
	struct proxyd *p = timer->data;
	uint64_t now = proxyd_now(p);

	if (p->last_tick_ms && now - p->last_tick_ms > PROXYD_STALL_MS) {
		discount_stall(p, now - p->last_tick_ms);
		p->last_tick_ms = now;
		return; /* read the input received during the stall first */
	}
	p->last_tick_ms = now;
	p->input_read_ms = now;
	http1_client_tick(p->client);
	p->store->ops->tick(p->store);
	watches_tick(p->watches);
	if (watches_listed(p->watches))
		repeat_group_update(&p->repeat_group, &p->repeat,
				    (uint32_t)peers_listed(p->peers) + 1, now);
	endpoints_tick(p->endpoints);
	origins_tick(p->origins);
	limits_tick(p->limits);
	exchanges_tick(p->exchanges);
	exchanges_borrow_repeats(p->exchanges);
	suspects_tick(p->suspects);
	peers_tick(p->peers);
	if (++count % TICKS_PER_LOG == 0) {
		listeners_tick(p->listeners);
		event_log_tick(now);
	}
	if (should_exit(p, now)) {
		p->planned_stop.over = true; /* the loop polls once more */
		uv_stop(p->loop);
	}
}

/* Returns whether the planned stop is over: no request is open and all answers
 * have been sent, or the grace time ends. */
static bool should_exit(const struct proxyd *p, uint64_t now)
{
	if (!planned_stop_should_exit(&p->planned_stop, now,
				      exchanges_open(p->exchanges)))
		return false;
	return planned_stop_must_abort(&p->planned_stop, now) ||
	       !listeners_busy(p->listeners);
}

/* Discounts a stall of this process from the silence of its peers. */
static void discount_stall(struct proxyd *p, uint64_t stall_ms)
{
	event_log(EVENT_NOTABLE, "stood-still", NULL, "{s:I}", "ms",
		  (json_int_t)stall_ms);
	http1_client_discount_stall(p->client, stall_ms);
	exchanges_discount_stall(p->exchanges, stall_ms);
	endpoints_after_stall(p->endpoints, stall_ms);
}

/* Starts a planned stop. */
static void on_stop_signal(void *arg, int number)
{
	struct proxyd *p = arg;

	if (p->planned_stop.signal_ms)
		return;
	p->planned_stop.signal_ms = proxyd_now(p);
	event_log(EVENT_ALWAYS, "stopping", NULL, "{s:i, s:I, s:I}", "signal",
		  number, "grace_ms", (json_int_t)p->planned_stop.grace_ms,
		  "open_requests", (json_int_t)exchanges_open(p->exchanges));
	listeners_drain(p->listeners);
	watches_remove_entry(p->watches);
	peers_announce_now(p->peers);
}

/* Reloads the settings.  Addresses are not applied before the next start, and
 * an invalid file changes nothing. */
static void on_reload_signal(void *arg)
{
	struct proxyd *p = arg;
	struct proxyd_settings reloaded;
	char err[512];

	if (!proxyd_settings_load(&reloaded, p->settings_file, err,
				  sizeof(err))) {
		event_log(EVENT_ALWAYS, "reload-failed", NULL, "{s:s}", "why",
			  err);
		return;
	}
	if (p->settings.repeat_window_s != reloaded.repeat_window_s)
		p->repeat_group.known_since_ms =
			0; /* start counting as after a process start */
	p->settings.grace_s = reloaded.grace_s;
	p->settings.reuse_after_s = reloaded.reuse_after_s;
	p->settings.directory_ttl_s = reloaded.directory_ttl_s;
	p->settings.repeat_window_s = reloaded.repeat_window_s;
	p->settings.repeat_ratio = reloaded.repeat_ratio;
	p->settings.repeat_slack = reloaded.repeat_slack;
	apply_settings(p);
	proxyd_settings_release(&reloaded);
	event_log(EVENT_ALWAYS, "reload", NULL, "{s:f, s:f, s:f}", "grace_s",
		  p->settings.grace_s, "repeat_ratio", p->settings.repeat_ratio,
		  "repeat_slack", p->settings.repeat_slack);
}
