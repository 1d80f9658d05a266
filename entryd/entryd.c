/*
 * Life of the process: sets up the parts, runs them at each tick, and drains
 * and stops on a signal or when the instance leaves.
 */
#include "entryd/entryd.h"

#include <bsd/stdlib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "entryd/api.h"
#include "entryd/calls.h"
#include "entryd/endpoints.h"
#include "entryd/engine.h"
#include "entryd/fleet.h"
#include "entryd/generation.h"
#include "entryd/journal.h"
#include "entryd/members.h"
#include "entryd/objectives.h"
#include "entryd/orgs.h"
#include "entryd/services.h"
#include "entryd/suspects.h"
#include "lib/counters.h"
#include "lib/ident.h"
#include "lib/log.h"

#define CLOSE_ROUNDS 50 /* loop iterations for handles to close */
#define MAX_BODY_BYTES (4u << 20)
#define ENTRIES_TTL_MS 5000 /* until there is a configuration */

static bool start_parts(struct entryd *e, char *err, size_t err_size);
static bool start_listening(struct entryd *e, char *err, size_t err_size);
static void start_handles(struct entryd *e);
static void on_tick(uv_timer_t *timer);
static void on_stop_signal(void *arg, int signum);
static void step_drain(struct entryd *e, uint64_t now);
static void stop_parts(struct entryd *e);

/* Runs until the drain after a stop request is complete.  Returns the process's
 * exit status. */
int entryd_run(const struct entryd_settings *settings)
{
	static struct entryd e;
	char err[512];

	memset(&e, 0, sizeof(e));
	e.settings = settings;
	e.loop = uv_default_loop();
	e.self = name_id(settings->instance);
	e.zone = zone_id(settings->zone);
	signal(SIGPIPE, SIG_IGN);
	if (!start_parts(&e, err, sizeof(err))) {
		log_msg(LOG_CRIT, "start", NULL, "%s", err);
		return 1;
	}
	start_handles(&e);
	log_msg(LOG_NOTICE, "started", NULL,
		"instance %s in zone %s serves callers at %s",
		settings->instance, settings->zone, settings->listen_address);
	uv_run(e.loop, UV_RUN_DEFAULT);
	stop_parts(&e);
	log_msg(LOG_NOTICE, "stopped", NULL, "instance %s has shut down",
		settings->instance);
	return 0;
}

/* Returns the loop's monotonic time in milliseconds. */
uint64_t entryd_now(const struct entryd *e)
{
	return uv_now(e->loop);
}

/* Returns a random 64-bit number. */
uint64_t entryd_random(void)
{
	uint64_t word;

	arc4random_buf(&word, sizeof(word));
	return word;
}

/* Applies a configuration and takes ownership of it. */
void entryd_adopt(struct entryd *e, struct config *config)
{
	struct config *old = e->config;

	e->config = config;
	if (e->drain.phase == DRAIN_SERVING)
		e->drain.settings.entries_ttl_ms =
			(uint64_t)config->entries_ttl_s * 1000;
	members_orgs_changed(e);
	members_tick(e);
	services_configure(e);
	orgs_configure(e);
	endpoints_configure(e);
	objectives_configure(e);
	if (old)
		config_unref(old);
	log_msg(LOG_INFO, "config", NULL, "version %llu is in force",
		(unsigned long long)config->version);
}

/* Starts the drain; later calls have no effect.  why goes into the log. */
void entryd_leave(struct entryd *e, const char *why)
{
	if (e->drain.phase != DRAIN_SERVING)
		return;
	drain_announce(&e->drain, entryd_now(e));
	log_msg(LOG_NOTICE, "leaving", NULL,
		"instance %s is leaving: %s; it accepts requests as long as "
		"callers may hold its address",
		e->settings->instance, why);
}

/* Allocates all parts and opens the addresses.  Returns false with a message in
 * err if an address can't be listened on. */
static bool start_parts(struct entryd *e, char *err, size_t err_size)
{
	const struct drain_settings drain = {
		.entries_ttl_ms = ENTRIES_TTL_MS,
		.handover_ms = (uint64_t)e->settings->handover_ms,
		.exit_ms = DRAIN_EXIT_MS,
	};

	e->client = httpc_new(e->loop);
	e->platform =
		platform_http_new(e->client, e->settings->platform_address,
				  (uint32_t)e->settings->platform_timeout_ms);
	e->engine = engine_http_new(e->client);
	e->quarantine = quarantine_new(&quarantine_defaults);
	drain_init(&e->drain, &drain);
	e->members = members_new();
	e->orgs = orgs_new();
	e->services = services_new();
	e->endpoints = endpoints_new();
	e->generations = generations_new();
	e->calls = calls_new();
	e->journal = journal_new();
	e->objectives = objectives_new();
	e->fleet = fleet_new(e);
	return start_listening(e, err, err_size);
}

/* Listens on the callers' and the operators' address. */
static bool start_listening(struct entryd *e, char *err, size_t err_size)
{
	const struct httpd_options callers = {
		.routes = api_routes,
		.arg = e,
		.max_body = MAX_BODY_BYTES,
	};
	const struct httpd_options operators = {
		.routes = operator_routes,
		.arg = e,
	};

	e->callers = httpd_new(e->loop, &callers);
	e->operators = httpd_new(e->loop, &operators);
	return httpd_listen(e->callers, e->settings->listen_address, err,
			    err_size) == 0 &&
	       httpd_listen(e->operators, e->settings->operator_address, err,
			    err_size) == 0;
}

/* Starts the tick timer and the signal handlers. */
static void start_handles(struct entryd *e)
{
	uv_timer_init(e->loop, &e->tick);
	e->tick.data = e;
	e->ticked_at = uv_now(e->loop);
	uv_timer_start(&e->tick, on_tick, 0, ENTRYD_TICK_MS);
	e->signals = (struct daemon_signals){
		.on_stop = on_stop_signal,
		.arg = e,
	};
	daemon_signals_handle(&e->signals, e->loop);
}

/* Runs all parts.  A stall of this process is passed on to them, so that it is
 * not attributed to the endpoints. */
static void on_tick(uv_timer_t *timer)
{
	struct entryd *e = timer->data;
	uint64_t now = uv_now(e->loop);
	uint64_t gap = now - e->ticked_at;
	uint32_t stall = gap > ENTRYD_STALL_MS ? (uint32_t)gap : 0;

	members_tick(e);
	endpoints_assign_step(e);
	e->ticked_at = now;
	fleet_tick(e, now);
	suspects_tick(e, now);
	endpoints_tick(e, now, stall);
	orgs_tick(e, now);
	services_tick(e, now);
	generations_tick(e, now, stall);
	calls_tick(e, now);
	step_drain(e, now);
}

/* SIGTERM and SIGINT start a planned stop. */
static void on_stop_signal(void *arg, int signum)
{
	entryd_leave(arg, strsignal(signum));
}

/* Advances the drain and acts on its phase. */
static void step_drain(struct entryd *e, uint64_t now)
{
	size_t running = generations_count(e) + calls_count(e) +
			 httpd_open_requests(e->callers);

	switch (drain_step(&e->drain, now, (unsigned)running)) {
	case DRAIN_SERVING:
	case DRAIN_ANNOUNCED:
		return;
	case DRAIN_REFUSING:
		httpd_shutdown(e->callers);
		return;
	case DRAIN_HANDING_OVER:
		if (!e->handed_over)
			generations_hand_over(e);
		e->handed_over = true;
		return;
	case DRAIN_EXIT:
		uv_stop(e->loop);
		return;
	}
}

/* Closes all listeners, connections and handles and frees the parts. */
static void stop_parts(struct entryd *e)
{
	int i;

	httpd_free(e->callers);
	httpd_free(e->operators);
	fleet_stop(e);
	uv_close((uv_handle_t *)&e->tick, NULL);
	daemon_signals_close(&e->signals);
	e->platform->ops->free(e->platform);
	e->engine->ops->free(e->engine);
	httpc_free(e->client);
	for (i = 0; i < CLOSE_ROUNDS; i++)
		uv_run(e->loop, UV_RUN_NOWAIT);
	fleet_free(e->fleet);
	generations_free(e->generations);
	calls_free(e->calls);
	services_free(e->services);
	orgs_free(e->orgs);
	endpoints_free(e->endpoints);
	members_free(e->members);
	objectives_free(e->objectives);
	journal_free(e->journal);
	quarantine_free(e->quarantine);
	if (e->config)
		config_unref(e->config);
	counters_release();
}
