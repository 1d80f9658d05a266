/*
 * The addresses that are listened on: requests of callers, readiness, the
 * directory that says where to connect, and metrics.
 */
#include "proxyd/desk.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/bytes.h"
#include "lib/counters.h"
#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "proxyd/exchange.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/snapshot.h"

#define ADDRESSES_MAX 64 /* callers read no more */
#define MS_PER_S 1000

struct desk {
	struct proxyd *proxyd;
	struct http1_server *callers;
	struct http1_server *services; /* readiness, directory, metrics */
	struct counter *directory;
	struct counter *connects;
	struct counter *reuses;
	struct counter *lines_dropped;
};

static void on_caller(struct http1_conn *c, struct http1_request *r, void *arg);
static void on_service(struct http1_conn *c, struct http1_request *r,
		       void *arg);
static void on_service_gone(void *owner);
static bool path_is(const struct http1_head *head, const char *path);
static void serve_ready(struct desk *d, struct http1_conn *c);
static void serve_directory(struct desk *d, struct http1_conn *c,
			    const struct http1_head *head);
static size_t list_stopping(const struct desk *d, const char **addresses);
static void serve_metrics(struct desk *d, struct http1_conn *c);

static const struct http1_server_ops caller_ops = {
	.on_request = on_caller,
	.on_gone = exchange_caller_left,
};

static const struct http1_server_ops service_ops = {
	.on_request = on_service,
	.on_gone = on_service_gone,
};

/* Listens on all addresses; NULL with a message in err. */
struct desk *desk_new(struct proxyd *p, char *err, size_t err_size)
{
	struct desk *d = xcalloc(1, sizeof(*d));

	d->proxyd = p;
	d->callers = http1_server_new(p->loop, &caller_ops, p);
	d->services = http1_server_new(p->loop, &service_ops, d);
	d->directory = counter_labelled("cdm_directory_answers_total",
					"Callers told where to connect",
					COUNTER_TOTAL, "kind", "all");
	d->connects = counter_labelled("cdm_connections_total",
				       "Calls by their connection",
				       COUNTER_TOTAL, "connection", "new");
	d->reuses = counter_labelled("cdm_connections_total",
				     "Calls by their connection", COUNTER_TOTAL,
				     "connection", "kept");
	d->lines_dropped = counter_labelled("cdm_log_lines_dropped_total",
					    "Lines left out of the log",
					    COUNTER_TOTAL, "kind", "all");
	if (http1_server_listen(d->callers, p->settings.callers, err,
				err_size) ||
	    http1_server_listen(d->services, p->settings.readiness, err,
				err_size) ||
	    http1_server_listen(d->services, p->settings.directory, err,
				err_size) ||
	    http1_server_listen(d->services, p->settings.control, err,
				err_size) ||
	    http1_server_listen(d->services, p->settings.metrics, err,
				err_size))
		return NULL; /* the process ends */
	return d;
}

/* Closes connections that were idle for too long. */
void desk_tick(struct desk *d)
{
	http1_server_tick(d->callers);
	http1_server_tick(d->services);
}

/* Applies the limits of the configuration in force. */
void desk_limits(struct desk *d)
{
	http1_server_limits(d->callers, &d->proxyd->routes->limits);
}

/* From now on answers end the connections of callers. */
void desk_leave(struct desk *d)
{
	http1_server_disable_keepalive(d->callers);
}

/* A request of a caller. */
static void on_caller(struct http1_conn *c, struct http1_request *r, void *arg)
{
	struct proxyd *p = arg;

	exchanges_start(p->exchanges, c, r);
}

/* A question to this instance itself. */
static void on_service(struct http1_conn *c, struct http1_request *r, void *arg)
{
	struct desk *d = arg;

	if (path_is(&r->head, d->proxyd->protocol->ready_path))
		serve_ready(d, c);
	else if (path_is(&r->head, d->proxyd->protocol->directory_path))
		serve_directory(d, c, &r->head);
	else if (path_is(&r->head, "/metrics"))
		serve_metrics(d, c);
	else if (path_is(&r->head, SNAPSHOT_CONFIGURATION_PATH))
		snapshot_serve_configuration(d->proxyd->snapshots, c);
	else if (path_is(&r->head, SNAPSHOT_ALL_PATH))
		snapshot_serve_all(d->proxyd->snapshots, c);
	else
		http1_reply(c, 404, NULL, "", 0);
}

/* Answers are given at once, so that none is left open. */
static void on_service_gone(void *owner)
{
	(void)owner;
}

/* Tells whether the target's path, without its query, is this one. */
static bool path_is(const struct http1_head *head, const char *path)
{
	size_t len = strlen(path);

	return head->target_len >= len && !memcmp(head->target, path, len) &&
	       (head->target_len == len || head->target[len] == '?');
}

/* Says whether callers may be sent here. */
static void serve_ready(struct desk *d, struct http1_conn *c)
{
	bool ready = d->proxyd->routes && planned_stop_ready(&d->proxyd->stop);

	http1_reply(c, ready ? 200 : 503, NULL, "", 0);
}

/* Says where to connect: all instances that live. */
static void serve_directory(struct desk *d, struct http1_conn *c,
			    const struct http1_head *head)
{
	struct proxyd *p = d->proxyd;
	const char *addresses[ADDRESSES_MAX];
	struct bytes body = { 0 };
	char zone[64];
	size_t n = 0;

	p->protocol->decode_directory(head, zone, sizeof(zone));
	if (planned_stop_ready(&p->stop) && p->routes)
		addresses[n++] = p->settings.callers;
	n += peers_addresses(p->peers, addresses + n, ADDRESSES_MAX - n);
	if (!n && p->routes)
		n = list_stopping(d, addresses);
	if (!n) {
		event_log(EVENT_NOTABLE, "directory-empty", NULL, "{s:s}",
			  "zone", zone);
		http1_reply(c, 503, NULL, "", 0);
		return;
	}
	counter_add(d->directory, 1);
	p->protocol->encode_directory(
		&body, addresses, n,
		(uint32_t)(p->stop.directory_ttl_ms / MS_PER_S));
	http1_reply(c, 200, "content-type: application/json\r\n", body.data,
		    body.len);
	bytes_release(&body);
}

/* Lists the instances that are stopping, this one first: with no other there
 * they still take what ends in time.  Returns the number. */
static size_t list_stopping(const struct desk *d, const char **addresses)
{
	struct proxyd *p = d->proxyd;
	size_t n = 0;

	if (!planned_stop_ready(&p->stop))
		addresses[n++] = p->settings.callers;
	return n + peers_addresses_stopping(p->peers, addresses + n,
					    ADDRESSES_MAX - n);
}

/* Gives counters and histograms. */
static void serve_metrics(struct desk *d, struct http1_conn *c)
{
	struct http1_client_stats stats = http1_client_stats(d->proxyd->client);
	size_t len;
	char *text;

	counter_set(d->connects, (double)stats.connects);
	counter_set(d->reuses, (double)stats.reuses);
	counter_set(d->lines_dropped, (double)event_log_dropped());
	text = counters_text(&len);
	http1_reply(c, 200, "content-type: text/plain; version=0.0.4\r\n", text,
		    len);
	free(text);
}
