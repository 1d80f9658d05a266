/*
 * The listening sockets: requests of callers, readiness, the directory of
 * instance addresses, control requests of other instances, and metrics.
 */
#include "proxyd/listeners.h"

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

#define ADDRESSES_MAX 64 /* callers read at most this many */
#define MS_PER_S 1000

struct listeners {
	struct proxyd *proxyd;
	struct http1_server *callers;
	struct http1_server *services; /* readiness, directory, metrics */
	struct counter *directory;
	struct counter *connects;
	struct counter *reuses;
	struct counter *lines_dropped;
	struct counter *ended[HTTP1_END_PROCESS + 1];
	struct counter *cut[HTTP1_END_PROCESS + 1];
};

static void on_caller(struct http1_conn *c, struct http1_request *r, void *arg);
static void on_service(struct http1_conn *c, struct http1_request *r,
		       void *arg);
static void on_service_gone(void *owner);
static void on_caller_end(const struct http1_ended *ended, void *arg);
static bool path_is(const struct http1_head *head, const char *path);
static void serve_ready(struct listeners *l, struct http1_conn *c);
static void serve_directory(struct listeners *l, struct http1_conn *c,
			    const struct http1_head *head);
static size_t list_stopping(const struct listeners *l, const char **addresses);
static void serve_metrics(struct listeners *l, struct http1_conn *c);

static const struct http1_server_ops caller_ops = {
	.on_request = on_caller,
	.on_gone = exchange_caller_left,
	.on_end = on_caller_end,
};

static const struct http1_server_ops service_ops = {
	.on_request = on_service,
	.on_gone = on_service_gone,
};

/* Listens on all addresses; returns NULL with a message in err if one fails. */
struct listeners *listeners_new(struct proxyd *p, char *err, size_t err_size)
{
	struct listeners *l = xcalloc(1, sizeof(*l));
	enum http1_end why;

	l->proxyd = p;
	l->callers = http1_server_new(p->loop, &caller_ops, p);
	l->services = http1_server_new(p->loop, &service_ops, l);
	l->directory = counter_labelled("cdm_directory_answers_total",
					"Callers told where to connect",
					COUNTER_TOTAL, "kind", "all");
	l->connects = counter_labelled("cdm_connections_total",
				       "Calls by their connection",
				       COUNTER_TOTAL, "connection", "new");
	l->reuses = counter_labelled("cdm_connections_total",
				     "Calls by their connection", COUNTER_TOTAL,
				     "connection", "kept");
	l->lines_dropped = counter_labelled("cdm_log_lines_dropped_total",
					    "Lines left out of the log",
					    COUNTER_TOTAL, "kind", "all");
	for (why = HTTP1_END_IDLE; why <= HTTP1_END_PROCESS; why++) {
		l->ended[why] = counter_labelled(
			"cdm_connections_ended_total",
			"Connections of callers that were ended", COUNTER_TOTAL,
			"why", http1_end_text(why));
		l->cut[why] = counter_labelled(
			"cdm_answers_cut_total",
			"Whole answers whose connection was ended before they "
			"were sent",
			COUNTER_TOTAL, "why", http1_end_text(why));
	}
	if (http1_server_listen(l->callers, p->settings.callers, err,
				err_size) ||
	    http1_server_listen(l->services, p->settings.readiness, err,
				err_size) ||
	    http1_server_listen(l->services, p->settings.directory, err,
				err_size) ||
	    http1_server_listen(l->services, p->settings.control, err,
				err_size) ||
	    http1_server_listen(l->services, p->settings.metrics, err,
				err_size))
		return NULL; /* the process exits */
	return l;
}

/* Closes connections that have been idle for too long. */
void listeners_tick(struct listeners *l)
{
	http1_server_tick(l->callers);
	http1_server_tick(l->services);
}

/* Applies the limits of the active configuration. */
void listeners_apply_limits(struct listeners *l)
{
	http1_server_limits(l->callers, &l->proxyd->routes->limits);
}

/* Closes each caller's connection after its next answer, for a planned stop. */
void listeners_drain(struct listeners *l)
{
	http1_server_disable_keepalive(l->callers);
}

/* Returns whether a caller has sent something that is not answered, or has not
 * received its whole answer. */
bool listeners_busy(const struct listeners *l)
{
	return http1_server_busy(l->callers);
}

/* Reports callers whose connections the end of the process closes. */
void listeners_end(struct listeners *l)
{
	http1_server_report_open(l->callers);
}

/* Logs and counts a caller's connection that this system ends. */
static void on_caller_end(const struct http1_ended *ended, void *arg)
{
	const struct proxyd *p = arg;
	const char *why = http1_end_text(ended->why);
	/* closing an idle connection is routine unless a request is in it */
	bool routine = ended->why == HTTP1_END_IDLE && !ended->unread &&
		       !ended->cut;

	counter_add(p->listeners->ended[ended->why], 1);
	if (ended->cut)
		counter_add(p->listeners->cut[ended->why], 1);
	event_log(routine ? EVENT_ROUTINE : EVENT_NOTABLE, "connection-ended",
		  NULL, "{s:s, s:s, s:i, s:I, s:I, s:I, s:I, s:I, s:b, s:I}",
		  "why", why, "state", ended->state, "status", ended->status,
		  "idle_ms", (json_int_t)ended->idle_ms, "parsed",
		  (json_int_t)ended->parsed, "unread",
		  (json_int_t)ended->unread, "unsent",
		  (json_int_t)ended->unsent, "unreceived",
		  (json_int_t)ended->unreceived, "cut", ended->cut, "version",
		  (json_int_t)(p->routes ? p->routes->version : 0));
}

/* Handles a request of a caller. */
static void on_caller(struct http1_conn *c, struct http1_request *r, void *arg)
{
	struct proxyd *p = arg;

	exchanges_start(p->exchanges, c, r);
}

/* Handles a request that this instance answers itself. */
static void on_service(struct http1_conn *c, struct http1_request *r, void *arg)
{
	struct listeners *l = arg;

	if (path_is(&r->head, l->proxyd->protocol->ready_path))
		serve_ready(l, c);
	else if (path_is(&r->head, l->proxyd->protocol->directory_path))
		serve_directory(l, c, &r->head);
	else if (path_is(&r->head, "/metrics"))
		serve_metrics(l, c);
	else if (path_is(&r->head, SNAPSHOT_CONFIGURATION_PATH))
		snapshot_serve_configuration(l->proxyd->snapshots, c);
	else if (path_is(&r->head, SNAPSHOT_ALL_PATH))
		snapshot_serve_all(l->proxyd->snapshots, c);
	else
		http1_reply(c, 404, NULL, "", 0);
}

/* Does nothing: service requests are answered at once, so none is pending. */
static void on_service_gone(void *owner)
{
	(void)owner;
}

/* Returns whether the target's path, without its query, equals path. */
static bool path_is(const struct http1_head *head, const char *path)
{
	size_t len = strlen(path);

	return head->target_len >= len && !memcmp(head->target, path, len) &&
	       (head->target_len == len || head->target[len] == '?');
}

/* Answers 200 if this instance is ready for callers, otherwise 503. */
static void serve_ready(struct listeners *l, struct http1_conn *c)
{
	bool ready = l->proxyd->routes &&
		     planned_stop_ready(&l->proxyd->planned_stop);

	http1_reply(c, ready ? 200 : 503, NULL, "", 0);
}

/* Answers with the addresses of the live instances, without those that are cut off
 * from endpoints while enough others are left. */
static void serve_directory(struct listeners *l, struct http1_conn *c,
			    const struct http1_head *head)
{
	struct proxyd *p = l->proxyd;
	const char *addresses[ADDRESSES_MAX];
	struct bytes body = { 0 };
	bool omit = peers_omit_cut_off(p->peers);
	char zone[64];
	size_t n = 0;

	p->protocol->decode_directory(head, zone, sizeof(zone));
	if (planned_stop_ready(&p->planned_stop) && p->routes &&
	    !(omit && endpoints_any_path_lost(p->endpoints)))
		addresses[n++] = p->settings.callers;
	n += peers_addresses(p->peers, omit, addresses + n, ADDRESSES_MAX - n);
	if (!n && p->routes)
		n = list_stopping(l, addresses);
	if (!n) {
		event_log(EVENT_NOTABLE, "directory-empty", NULL, "{s:s}",
			  "zone", zone);
		http1_reply(c, 503, NULL, "", 0);
		return;
	}
	counter_add(l->directory, 1);
	p->protocol->encode_directory(
		&body, addresses, n,
		(uint32_t)(p->planned_stop.directory_ttl_ms / MS_PER_S));
	http1_reply(c, 200, "content-type: application/json\r\n", body.data,
		    body.len);
	bytes_release(&body);
}

/* Lists the stopping instances, this one first, and returns their number.  When
 * no other instance is left, they still accept requests that can complete in
 * time. */
static size_t list_stopping(const struct listeners *l, const char **addresses)
{
	struct proxyd *p = l->proxyd;
	size_t n = 0;

	if (!planned_stop_ready(&p->planned_stop))
		addresses[n++] = p->settings.callers;
	return n + peers_addresses_stopping(p->peers, addresses + n,
					    ADDRESSES_MAX - n);
}

/* Answers with the counters and histograms as text. */
static void serve_metrics(struct listeners *l, struct http1_conn *c)
{
	struct http1_client_stats stats = http1_client_stats(l->proxyd->client);
	size_t len;
	char *text;

	counter_set(l->connects, (double)stats.connects);
	counter_set(l->reuses, (double)stats.reuses);
	counter_set(l->lines_dropped, (double)event_log_dropped());
	text = counters_text(&len);
	http1_reply(c, 200, "content-type: text/plain; version=0.0.4\r\n", text,
		    len);
	free(text);
}
