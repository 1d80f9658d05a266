/*
 * Common parts of all stand-ins: command line, control interface, held
 * requests, and graceful stop.
 */
#include "emulator/standin.h"

#include <argp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "emulator/standin_settings.h"
#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define MAX_BODY_BYTES (8u << 20)
#define STOP_POLL_MS 20
#define HELD_POLL_MS 1

const char *argp_program_version = "cardamomknot 0.1";

/* A request that is handled later. */
struct held_request {
	struct held_request *next;
	struct httpd_req *req; /* NULL: the caller disconnected */
	double due_ms; /* INFINITY: never */
	void (*handle)(struct httpd_req *req, void *arg);
	void *arg;
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static void build_routes(struct standin *s);
static struct httpd *open_server(struct standin *s, const char *address);
static void handle_control(struct httpd_req *req, void *arg);
static void change_settings(struct standin *s, struct httpd_req *req);
static bool check_all(const struct standin *s, json_t *body, char *err,
		      size_t err_size);
static void handle_counters(struct httpd_req *req, void *arg);
static void on_stop_signal(void *arg, int signum);
static void on_stop_timer(uv_timer_t *timer);
static void on_held_timer(uv_timer_t *timer);
static void on_held_close(void *arg);
static void ignore_close(void *arg);
static void abort_held(struct standin *s);
static void close_handles(struct standin *s);
static void release(struct standin *s);

/* Returns a monotonic clock in milliseconds. */
double standin_now_ms(void)
{
	return (double)uv_hrtime() / 1e6;
}

/* Runs a stand-in until SIGTERM or SIGINT; returns the exit code. */
int standin_run(struct standin *s, int argc, char **argv)
{
	struct argp argp = { .parser = parse_option, .doc = s->doc };
	struct argp_option *options = standin_make_options(s);
	uv_loop_t *loop = uv_default_loop();

	argp.options = options;
	daemon_signals_hold();
	signal(SIGPIPE, SIG_IGN);
	log_open(s->program, LOG_INFO);
	argp_parse(&argp, argc, argv, 0, NULL, s);
	standin_free_options(options);
	s->loop = loop;
	s->signals = (struct daemon_signals){
		.on_stop = on_stop_signal,
		.arg = s,
	};
	daemon_signals_handle(&s->signals, loop);
	uv_timer_init(loop, &s->stop_timer);
	s->stop_timer.data = s;
	uv_timer_init(loop, &s->held_timer);
	s->held_timer.data = s;
	if (s->start)
		s->start(s);
	build_routes(s);
	if (s->control_address)
		s->control = open_server(s, s->control_address);
	s->httpd = open_server(s, s->address);
	s->listening = true;
	if (s->changed)
		s->changed(s->target);
	log_msg(LOG_INFO, "start", NULL, "%s serves at %s", s->program,
		s->address);
	uv_run(loop, UV_RUN_DEFAULT);
	release(s);
	return 0;
}

/* Starts or stops listening on the stand-in's main address. */
void standin_listen(struct standin *s, bool on)
{
	char err[256];

	if (on == s->listening || s->stopping)
		return;
	s->listening = on;
	if (!on)
		httpd_stop_listening(s->httpd);
	else if (httpd_listen(s->httpd, s->address, err, sizeof(err)) < 0)
		log_msg(LOG_ERR, "listen", NULL, "listening again: %s", err);
}

/* Answers with a JSON body and drops its reference. */
void standin_reply(struct httpd_req *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);

	httpd_reply(req, status, "application/json", text ? text : "",
		    text ? strlen(text) : 0);
	free(text);
	json_decref(body);
}

/* Answers with an error status and a message formatted as by printf(3). */
void standin_error(struct httpd_req *req, int status, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	standin_reply(req, status, json_pack("{s:s}", "error", text));
}

/* Returns the request's body as a JSON object; if it is none, answers with 400
 * and returns NULL. */
json_t *standin_body(struct httpd_req *req)
{
	json_error_t error;
	size_t len;
	const char *body = httpd_body(req, &len);
	json_t *object = json_loadb(body ? body : "", len, 0, &error);

	if (json_is_object(object))
		return object;
	if (object)
		standin_error(req, 400, "the body is not a JSON object");
	else
		standin_error(req, 400, "the body is not JSON: %s", error.text);
	json_decref(object);
	return NULL;
}

/* Aborts the connection of a request that is not answered yet. */
void standin_abort(struct httpd_req *req)
{
	httpd_stream_begin(req, 200, "application/octet-stream");
	httpd_stream_abort(req);
}

/* Holds a request until due_ms on the clock of standin_now_ms(), or forever
 * (INFINITY), and then calls handle, with a NULL request if the caller
 * disconnected. */
void standin_hold(struct standin *s, struct httpd_req *req, double due_ms,
		  void (*handle)(struct httpd_req *req, void *arg), void *arg)
{
	struct held_request *h = xcalloc(1, sizeof(*h));
	struct held_request **end = &s->held;

	*h = (struct held_request){
		.req = req, .due_ms = due_ms, .handle = handle, .arg = arg
	};
	while (*end)
		end = &(*end)->next;
	*end = h;
	httpd_on_close(req, on_held_close, h);
	if (!uv_is_active((uv_handle_t *)&s->held_timer))
		uv_timer_start(&s->held_timer, on_held_timer, HELD_POLL_MS,
			       HELD_POLL_MS);
}

/* Handles due held requests in order of arrival. */
static void on_held_timer(uv_timer_t *timer)
{
	struct standin *s = timer->data;
	struct held_request *h = s->held;
	struct held_request *rest = NULL;
	struct held_request **end = &rest;
	double now = standin_now_ms();

	s->held = NULL;
	while (h) {
		struct held_request *next = h->next;

		h->next = NULL;
		if (h->req && h->due_ms > now) {
			*end = h;
			end = &h->next;
		} else {
			if (h->req)
				httpd_on_close(h->req, ignore_close, NULL);
			h->handle(h->req, h->arg);
			free(h);
		}
		h = next;
	}
	*end = s->held;
	s->held = rest;
	if (!s->held)
		uv_timer_stop(timer);
}

/* Marks a held request whose caller disconnected. */
static void on_held_close(void *arg)
{
	struct held_request *h = arg;

	h->req = NULL;
}

/* Replaces on_held_close for requests that are no longer held. */
static void ignore_close(void *arg)
{
	(void)arg;
}

/* Aborts all held requests. */
static void abort_held(struct standin *s)
{
	struct held_request *h;

	while ((h = s->held)) {
		s->held = h->next;
		if (h->req) {
			httpd_on_close(h->req, ignore_close, NULL);
			standin_abort(h->req);
		}
		h->handle(NULL, h->arg);
		free(h);
	}
}

/* Handles one option of the command line. */
static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct standin *s = state->input;
	const struct standin_setting *d;
	char err[256];
	json_t *value;
	bool good;

	if (key == 'l') {
		free(s->address);
		s->address = xstrdup(arg);
		return 0;
	}
	if (key == 'c') {
		free(s->control_address);
		s->control_address = xstrdup(arg);
		return 0;
	}
	if (key == ARGP_KEY_END && !s->address)
		argp_error(state, "an address to listen at is needed (-l)");
	if (key < FIRST_SETTING_KEY || key >= FIRST_SETTING_KEY + 0x100)
		return ARGP_ERR_UNKNOWN;
	d = &s->settings[key - FIRST_SETTING_KEY];
	value = standin_parse_argument(d, arg);
	good = value && standin_value_valid(d, value) &&
	       standin_set(s, d, value, err, sizeof(err));
	json_decref(value);
	if (!good)
		argp_error(state, "%s: \"%s\" is not allowed", d->name, arg);
	return 0;
}

/* Combines the common routes with those of this stand-in. */
static void build_routes(struct standin *s)
{
	size_t n = 0;
	size_t i;

	s->all_routes[n++] = (struct httpd_route){ "/control", handle_control };
	s->all_routes[n++] =
		(struct httpd_route){ "/counters", handle_counters };
	for (i = 0; s->routes[i].path && n < STANDIN_MAX_ROUTES; i++)
		s->all_routes[n++] = s->routes[i];
}

/* Opens a server with all routes on an address, or exits the process. */
static struct httpd *open_server(struct standin *s, const char *address)
{
	struct httpd_options options = { .routes = s->all_routes,
					 .arg = s,
					 .max_body = MAX_BODY_BYTES };
	struct httpd *server = httpd_new(s->loop, &options);
	char err[256];

	if (httpd_listen(server, address, err, sizeof(err)) < 0) {
		log_msg(LOG_ERR, "listen", NULL, "%s", err);
		exit(1);
	}
	return server;
}

/* GET /control returns all settings, POST /control changes some. */
static void handle_control(struct httpd_req *req, void *arg)
{
	struct standin *s = arg;
	const struct standin_setting *d;
	json_t *all;

	if (strcmp(httpd_method(req), "POST") == 0) {
		change_settings(s, req);
		return;
	}
	all = json_object();
	for (d = s->settings; d->name; d++)
		if (d->type != STANDIN_ACTION)
			json_object_set_new(all, d->name, standin_get(s, d));
	standin_reply(req, 200, all);
}

/* Changes all of the settings in a request, or none. */
static void change_settings(struct standin *s, struct httpd_req *req)
{
	json_t *body = standin_body(req);
	char err[256] = "";
	const char *name;
	json_t *value;
	bool good = true;

	if (!body)
		return;
	if (!check_all(s, body, err, sizeof(err))) {
		json_decref(body);
		standin_error(req, 400, "%s", err);
		return;
	}
	json_object_foreach(body, name, value) good =
		good &&
		standin_set(s, standin_find(s, name), value, err, sizeof(err));
	json_decref(body);
	if (s->changed)
		s->changed(s->target);
	if (good)
		standin_reply(req, 200, json_pack("{s:b}", "ok", 1));
	else
		standin_error(req, 400, "%s", err);
}

/* Validates every setting of a request before any is changed. */
static bool check_all(const struct standin *s, json_t *body, char *err,
		      size_t err_size)
{
	const struct standin_setting *d;
	const char *name;
	json_t *value;

	json_object_foreach(body, name, value)
	{
		d = standin_find(s, name);
		if (!d) {
			snprintf(err, err_size, "no setting is named %s", name);
			return false;
		}
		if (!standin_value_valid(d, value)) {
			snprintf(err, err_size, "%s cannot have this value",
				 name);
			return false;
		}
	}
	return true;
}

/* GET /counters */
static void handle_counters(struct httpd_req *req, void *arg)
{
	size_t len;
	char *text = counters_text(&len);

	(void)arg;
	httpd_reply(req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

/* Stops gracefully: refuses new connections and finishes open requests. */
static void on_stop_signal(void *arg, int signum)
{
	struct standin *s = arg;

	if (s->stopping)
		return;
	log_msg(LOG_INFO, "stop", NULL, "stopping on signal %d", signum);
	standin_listen(s, false);
	s->stopping = true;
	httpd_shutdown(s->httpd);
	abort_held(s);
	uv_timer_start(&s->stop_timer, on_stop_timer, 0, STOP_POLL_MS);
}

/* Stops the loop once all requests are finished. */
static void on_stop_timer(uv_timer_t *timer)
{
	struct standin *s = timer->data;

	if (httpd_open_requests(s->httpd) == 0)
		uv_stop(s->loop);
}

/* Closes the stand-in's own libuv handles. */
static void close_handles(struct standin *s)
{
	daemon_signals_close(&s->signals);
	uv_close((uv_handle_t *)&s->stop_timer, NULL);
	uv_close((uv_handle_t *)&s->held_timer, NULL);
}

/* Frees everything after the loop has stopped.  The loop is not closed, since
 * h2o keeps state until the process exits. */
static void release(struct standin *s)
{
	const struct standin_setting *d;

	close_handles(s);
	abort_held(s);
	httpd_free(s->httpd);
	if (s->control)
		httpd_free(s->control);
	if (s->release)
		s->release(s->target);
	uv_run(s->loop, UV_RUN_NOWAIT);
	for (d = s->settings; d->name; d++)
		if (d->type == STANDIN_STRING)
			free(*(char **)((char *)s->target + d->offset));
	free(s->address);
	free(s->control_address);
	counters_release();
}
