/*
 * A TCP proxy that injects faults.  One process serves several mappings from a
 * listening address to a target.  The control interface has a separate address
 * and identifies a mapping by its listening address.
 */
#include <argp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uv.h>

#include "emulator/fault_mapping.h"
#include "lib/daemon_signals.h"
#include "lib/httpd.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define MAPPINGS_MAX 256

const char *argp_program_version = "cardamomknot 0.1";

struct faultd {
	char *control_address;
	struct fault_mapping *mappings[MAPPINGS_MAX];
	size_t n;
	uv_loop_t *loop;
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static bool add_mapping(struct faultd *f, const char *arg);
static void handle_control(struct httpd_req *req, void *arg);
static void change(struct faultd *f, struct httpd_req *req, json_t *body);
static bool check(const struct faultd *f, json_t *body, char *err,
		  size_t err_size);
static bool name_matches(const char *name, const struct fault_mapping *m);
static void reply_state(const struct faultd *f, struct httpd_req *req);
static void reply(struct httpd_req *req, int status, json_t *body);
static void on_stop_signal(void *arg, int signum);

static const struct argp_option options[] = {
	{ "control", 'c', "ADDRESS", 0, "Take control requests at a.b.c.d:port",
	  0 },
	{ "map", 'm', "LISTEN=TARGET", 0,
	  "Carry connections to LISTEN on to TARGET", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

static const struct httpd_route routes[] = {
	{ "/control", handle_control },
	{ NULL, NULL },
};

/* Handles one option of the command line. */
static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct faultd *f = state->input;

	switch (key) {
	case 'c':
		free(f->control_address);
		f->control_address = xstrdup(arg);
		return 0;
	case 'm':
		if (!add_mapping(f, arg))
			argp_error(state, "%s: not LISTEN=TARGET", arg);
		return 0;
	case ARGP_KEY_END:
		if (!f->control_address)
			argp_error(state, "a control address is needed (-c)");
		if (!f->n)
			argp_error(state, "a mapping is needed (-m)");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Adds a mapping given as LISTEN=TARGET. */
static bool add_mapping(struct faultd *f, const char *arg)
{
	const char *equals = strchr(arg, '=');
	char *listen_address;

	if (!equals || f->n == MAPPINGS_MAX)
		return false;
	listen_address = xstrndup(arg, (size_t)(equals - arg));
	f->mappings[f->n] = fault_mapping_new(listen_address, equals + 1);
	free(listen_address);
	if (!f->mappings[f->n])
		return false;
	f->n++;
	return true;
}

/* GET returns the settings of all mappings, POST changes some. */
static void handle_control(struct httpd_req *req, void *arg)
{
	struct faultd *f = arg;
	size_t len;
	const char *text = httpd_body(req, &len);
	json_t *body;

	if (strcmp(httpd_method(req), "POST") != 0) {
		reply_state(f, req);
		return;
	}
	body = json_loadb(text, len, 0, NULL);
	if (json_is_object(body))
		change(f, req, body);
	else
		reply(req, 400,
		      json_pack("{s:s}", "error",
				"the body is not a JSON object"));
	json_decref(body);
}

/* Changes the mappings named in the body, all or none. */
static void change(struct faultd *f, struct httpd_req *req, json_t *body)
{
	char err[256];
	const char *name;
	json_t *settings;
	size_t i;

	if (!check(f, body, err, sizeof(err))) {
		reply(req, 400, json_pack("{s:s}", "error", err));
		return;
	}
	json_object_foreach(
		body, name,
		settings) for (i = 0; i < f->n;
			       i++) if (name_matches(name, f->mappings[i]))
		fault_mapping_apply(f->mappings[i], settings);
	reply(req, 200, json_pack("{s:b}", "ok", 1));
}

/* Checks that every mapping named exists and every setting is valid. */
static bool check(const struct faultd *f, json_t *body, char *err,
		  size_t err_size)
{
	const char *name;
	json_t *settings;
	size_t i;

	json_object_foreach(body, name, settings)
	{
		for (i = 0; i < f->n; i++)
			if (name_matches(name, f->mappings[i]))
				break;
		if (i == f->n) {
			snprintf(err, err_size, "no mapping listens at %s",
				 name);
			return false;
		}
		if (!fault_settings_check(settings, err, err_size))
			return false;
	}
	return true;
}

/* Returns whether a name selects a mapping; "*" selects all. */
static bool name_matches(const char *name, const struct fault_mapping *m)
{
	return strcmp(name, "*") == 0 ||
	       strcmp(name, fault_mapping_address(m)) == 0;
}

/* Answers with the settings and counts of all mappings. */
static void reply_state(const struct faultd *f, struct httpd_req *req)
{
	json_t *all = json_object();
	size_t i;

	for (i = 0; i < f->n; i++)
		json_object_set_new(all, fault_mapping_address(f->mappings[i]),
				    fault_mapping_state(f->mappings[i]));
	reply(req, 200, all);
}

/* Answers with a JSON body and drops its reference. */
static void reply(struct httpd_req *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	httpd_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

/* Stops the loop on SIGTERM or SIGINT. */
static void on_stop_signal(void *arg, int signum)
{
	log_msg(LOG_INFO, "stop", NULL, "stopping on signal %d", signum);
	uv_stop(arg);
}

/* Opens all listeners; false with a message on failure. */
static bool open_all(struct faultd *f, struct httpd *control)
{
	char err[256];
	size_t i;

	if (httpd_listen(control, f->control_address, err, sizeof(err)) < 0)
		goto failed;
	for (i = 0; i < f->n; i++)
		if (!fault_mapping_open(f->mappings[i], f->loop, err,
					sizeof(err)))
			goto failed;
	return true;
failed:
	log_msg(LOG_ERR, "listen", NULL, "%s", err);
	return false;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "TCP proxy that injects faults on order.",
	};
	struct faultd f = { .loop = uv_default_loop() };
	struct httpd_options http = { .routes = routes, .arg = &f };
	struct httpd *control;
	struct daemon_signals signals = {
		.on_stop = on_stop_signal,
		.arg = f.loop,
	};
	size_t i;
	int rc = 1;

	daemon_signals_hold();
	signal(SIGPIPE, SIG_IGN);
	log_open("faultd", LOG_INFO);
	argp_parse(&argp, argc, argv, 0, NULL, &f);
	daemon_signals_handle(&signals, f.loop);
	control = httpd_new(f.loop, &http);
	if (open_all(&f, control)) {
		log_msg(LOG_INFO, "start", NULL, "%zu mappings, control at %s",
			f.n, f.control_address);
		uv_run(f.loop, UV_RUN_DEFAULT);
		rc = 0;
	}
	for (i = 0; i < f.n; i++)
		fault_mapping_close(f.mappings[i]);
	httpd_free(control);
	uv_run(f.loop, UV_RUN_NOWAIT);
	for (i = 0; i < f.n; i++)
		fault_mapping_free(f.mappings[i]);
	free(f.control_address);
	return rc;
}
