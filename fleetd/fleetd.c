/*
 * The process: creates its parts, runs their tick functions, and shuts down in
 * order on a signal.
 */
#include "fleetd/fleetd.h"

#include <bsd/stdlib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fleetd/commit.h"
#include "fleetd/confsync.h"
#include "fleetd/demands.h"
#include "fleetd/endpoints.h"
#include "fleetd/feed.h"
#include "fleetd/gossip.h"
#include "fleetd/leases.h"
#include "fleetd/listing.h"
#include "fleetd/operator.h"
#include "fleetd/orders.h"
#include "fleetd/peers.h"
#include "fleetd/roster.h"
#include "fleetd/suspects.h"
#include "fleetd/watch.h"
#include "lib/counters.h"
#include "lib/ident.h"
#include "lib/log.h"

#define LEAVING_PROPAGATION_MS 1000 /* for the leaving state to spread */
#define LEFT_PROPAGATION_MS 300 /* for the last digests to be sent */
#define CLOSE_ITERATIONS_MAX 200 /* of the loop, until all handles are closed */

static bool start_parts(struct fleetd *f, char *err, size_t err_size);
static void start_handles(struct fleetd *f);
static void on_tick(uv_timer_t *timer);
static void run_parts(struct fleetd *f, uint64_t now);
static void on_stop_signal(void *arg, int signum);
static void step_shutdown(struct fleetd *f, uint64_t now);
static bool calls_outstanding(const struct fleetd *f);
static void stop_parts(struct fleetd *f);
static void free_parts(struct fleetd *f);

/* Runs until a signal ends the process.  Returns its exit status. */
int fleetd_run(const struct fleetd_settings *settings)
{
	static struct fleetd f;
	char err[512];

	memset(&f, 0, sizeof(f));
	f.settings = settings;
	f.loop = uv_default_loop();
	f.self = name_id(settings->instance);
	f.zone = zone_id(settings->zone);
	signal(SIGPIPE, SIG_IGN);
	if (!start_parts(&f, err, sizeof(err))) {
		log_msg(LOG_CRIT, "start", NULL, "%s", err);
		return 1;
	}
	start_handles(&f);
	log_msg(LOG_NOTICE, "started", NULL,
		"instance %s in zone %s: control address %s, operator "
		"address %s",
		settings->instance, settings->zone, settings->control_address,
		settings->operator_address);
	uv_run(f.loop, UV_RUN_DEFAULT);
	stop_parts(&f);
	log_msg(LOG_NOTICE, "ended", NULL, "instance %s has left the fleet",
		settings->instance);
	free_parts(&f);
	return 0;
}

/* Returns the loop's monotonic time in milliseconds. */
uint64_t fleetd_now(const struct fleetd *f)
{
	return uv_now(f->loop);
}

/* Returns 64 random bits. */
uint64_t fleetd_random(void)
{
	uint64_t r;

	arc4random_buf(&r, sizeof(r));
	return r;
}

/* Returns the sequence number of a new change. */
uint64_t fleetd_next_sequence(struct fleetd *f)
{
	return ++f->sequence;
}

/* Puts a configuration in force.  Takes over the reference. */
void fleetd_adopt(struct fleetd *f, struct config *config)
{
	struct config *before = f->config;

	f->config = config;
	f->config_changed = fleetd_next_sequence(f);
	endpoints_configure(f);
	leases_configure(f);
	demands_changed(f);
	listing_apply(f);
	config_unref(before);
	gossip_config_changed(f);
	feed_tick(f);
}

/* Marks what depends on the members (assigned endpoints, shards, leases) for
 * recomputation at the next tick. */
void fleetd_members_changed(struct fleetd *f)
{
	f->members_changed = true;
}

/* Announces that the instance is leaving: other instances stop naming it to
 * callers, and its cdmentryds finish their requests.  The process goes on. */
void fleetd_leave(struct fleetd *f, const char *why)
{
	if (f->leaving)
		return;
	f->leaving = true;
	f->leaving_since_ms = fleetd_now(f);
	f->leaving_changed = fleetd_next_sequence(f);
	log_msg(LOG_NOTICE, "leaving", NULL, "instance %s is leaving: %s",
		f->settings->instance, why);
	gossip_leave(f, MEMBER_LEAVING);
	gossip_push_soon(f);
	feed_tick(f);
}

/* Creates the parts.  Returns false with a message in err. */
static bool start_parts(struct fleetd *f, char *err, size_t err_size)
{
	f->peers = peers_new(f, err, err_size);
	if (!f->peers)
		return false;
	f->operator= operator_new(f, err, err_size);
	if (!f->operator)
		return false;
	f->client = httpc_new(f->loop);
	f->platform =
		platform_http_new(f->client, f->settings->platform_address,
				  (uint32_t)f->settings->platform_timeout_ms);
	f->roster = roster_new(f);
	f->endpoints = endpoints_new();
	f->suspects = suspects_new();
	f->confsync = confsync_new(f);
	f->commits = commits_new();
	f->gossip = gossip_new(f);
	f->feed = feed_new(f);
	f->demands = demands_new();
	f->listing = listing_new();
	f->leases = leases_new();
	f->watch = watch_new();
	f->orders = orders_new();
	return true;
}

/* Starts the tick timer and the signal handlers. */
static void start_handles(struct fleetd *f)
{
	uv_timer_init(f->loop, &f->tick);
	f->tick.data = f;
	uv_timer_start(&f->tick, on_tick, 0, FLEETD_TICK_MS);
	f->signals = (struct daemon_signals){
		.on_stop = on_stop_signal,
		.arg = f,
	};
	daemon_signals_handle(&f->signals, f->loop);
}

/* Runs the parts, or only the shutdown once this instance has left. */
static void on_tick(uv_timer_t *timer)
{
	struct fleetd *f = timer->data;
	uint64_t now = fleetd_now(f);

	if (f->left_ms) {
		step_shutdown(f, now);
		return;
	}
	run_parts(f, now);
	if (f->stopping)
		step_shutdown(f, now);
}

/* Runs the tick function of each part once. */
static void run_parts(struct fleetd *f, uint64_t now)
{
	listing_tick(f, now);
	confsync_tick(f, now);
	commits_tick(f, now);
	gossip_tick(f, now);
	roster_sync(f);
	if (f->members_changed) {
		endpoints_assign(f);
		demands_changed(f);
		leases_members_changed(f);
	}
	f->members_changed = false;
	leases_tick(f);
	watch_tick(f, now);
	orders_tick(f, now);
	endpoints_tick(f, now);
	suspects_tick(f, now);
	peers_tick(f, now);
	feed_tick(f);
}

/* The first signal starts to leave; a second one ends the wait for the
 * cdmentryds. */
static void on_stop_signal(void *arg, int signum)
{
	struct fleetd *f = arg;

	(void)signum;
	f->leave_deadline_ms = fleetd_now(f);
	if (!f->stopping)
		f->leave_deadline_ms += (uint64_t)f->settings->drain_ms;
	f->stopping = true;
	fleetd_leave(f, "stop signal received");
}

/* Waits until the cdmentryds have disconnected, announces that this instance
 * has left, waits for outstanding calls, then stops the loop. */
static void step_shutdown(struct fleetd *f, uint64_t now)
{
	if (!f->left_ms) {
		if (now < f->leaving_since_ms + LEAVING_PROPAGATION_MS)
			return;
		if (feed_count(f) && now < f->leave_deadline_ms)
			return;
		f->left_ms = now;
		gossip_leave(f, MEMBER_LEFT);
		return;
	}
	if (now >= f->left_ms + LEFT_PROPAGATION_MS && !calls_outstanding(f))
		uv_stop(f->loop);
}

/* Returns whether a call of this process is in progress; each has a timeout. */
static bool calls_outstanding(const struct fleetd *f)
{
	return watch_outstanding(f) || orders_outstanding(f) ||
	       f->platform->ops->pending(f->platform);
}

/* Closes all handles of the loop. */
static void stop_parts(struct fleetd *f)
{
	int i;

	uv_close((uv_handle_t *)&f->tick, NULL);
	daemon_signals_close(&f->signals);
	operator_stop(f);
	peers_stop(f);
	f->platform->ops->free(f->platform);
	httpc_free(f->client);
	for (i = 0; i < CLOSE_ITERATIONS_MAX && (i < 10 || peers_count(f)); i++)
		uv_run(f->loop, UV_RUN_NOWAIT);
}

/* Frees the parts after their handles are closed. */
static void free_parts(struct fleetd *f)
{
	orders_free(f->orders);
	watch_free(f->watch);
	leases_free(f->leases);
	listing_free(f->listing);
	demands_free(f->demands);
	feed_free(f->feed);
	gossip_free(f->gossip);
	commits_free(f->commits);
	confsync_free(f->confsync);
	suspects_free(f->suspects);
	endpoints_free(f->endpoints);
	roster_free(f->roster);
	peers_free(f->peers);
	operator_free(f->operator);
	config_unref(f->config);
	counters_release();
}
