/*
 * A stand-in for a plain service: it counts the runs of each idempotency key,
 * so that a test detects a call that ran twice.
 */
#include <math.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "emulator/standin.h"
#include "lib/counters.h"

#define EXIT_DIED 3
#define ECHO_BYTES 256

struct service {
	struct standin standin;
	double delay_ms;
	bool hang;
	bool reset_after_run;
	bool reset_before_run;
	int64_t status;
	json_t *runs; /* key: count */
	int64_t total;
};

static void handle_call(struct httpd_req *req, void *arg);
static void answer(struct httpd_req *req, void *arg);
static int64_t count_run(struct service *sv, const char *key);
static void handle_runs(struct httpd_req *req, void *arg);
static bool die(void *target, const json_t *value, char *err, size_t err_size);
static void start(struct standin *s);
static void release(void *target);

static struct counter runs_counter = {
	.name = "service_runs_total",
	.help = "Calls that ran",
	.kind = COUNTER_TOTAL,
};

#define FIELD(name) offsetof(struct service, name)
static const struct standin_setting settings[] = {
	{ .name = "delay_ms",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(delay_ms),
	  .max = 3600000,
	  .help = "Time from a call's run to its answer" },
	{ .name = "hang",
	  .type = STANDIN_BOOLEAN,
	  .offset = FIELD(hang),
	  .help = "Run and answer nothing" },
	{ .name = "reset_after_run",
	  .type = STANDIN_BOOLEAN,
	  .offset = FIELD(reset_after_run),
	  .help = "Run each call, then cut its connection" },
	{ .name = "reset_before_run",
	  .type = STANDIN_BOOLEAN,
	  .offset = FIELD(reset_before_run),
	  .help = "Cut the connection of each call and run none" },
	{ .name = "status",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(status),
	  .min = 200,
	  .max = 599,
	  .help = "Status of the answers" },
	{ .name = "die", .type = STANDIN_ACTION, .act = die },
	{ .name = NULL },
};

static const struct httpd_route routes[] = {
	{ "/runs", handle_runs },
	{ "/", handle_call },
	{ NULL, NULL },
};

/* Runs one call: counts it immediately and answers after delay_ms. */
static void handle_call(struct httpd_req *req, void *arg)
{
	struct service *sv = ((struct standin *)arg)->target;
	const char *key = httpd_header(req, "idempotency-key");

	if (sv->hang) {
		standin_hold(arg, req, INFINITY, answer, sv);
		return;
	}
	if (sv->reset_before_run) {
		standin_abort(req);
		return;
	}
	count_run(sv, key ? key : "");
	if (sv->reset_after_run)
		standin_abort(req);
	else if (sv->delay_ms > 0)
		standin_hold(arg, req, standin_now_ms() + sv->delay_ms, answer,
			     sv);
	else
		answer(req, sv);
}

/* Answers a call that ran; req is NULL if the caller disconnected. */
static void answer(struct httpd_req *req, void *arg)
{
	struct service *sv = arg;
	const char *key;
	const char *body;
	json_t *run;
	json_t *echo;
	size_t len;

	if (!req)
		return;
	key = httpd_header(req, "idempotency-key");
	run = json_object_get(sv->runs, key ? key : "");
	body = httpd_body(req, &len);
	echo = json_stringn(body, len < ECHO_BYTES ? len : ECHO_BYTES);
	standin_reply(req, (int)sv->status,
		      json_pack("{s:s, s:I, s:s, s:I, s:o}", "key",
				key ? key : "", "run", json_integer_value(run),
				"path", httpd_path(req), "echo",
				(json_int_t)len, "body",
				echo ? echo : json_null()));
}

/* Counts one more run of a key and returns the count. */
static int64_t count_run(struct service *sv, const char *key)
{
	int64_t n = json_integer_value(json_object_get(sv->runs, key)) + 1;

	json_object_set_new(sv->runs, key, json_integer(n));
	sv->total++;
	counter_add(&runs_counter, 1);
	return n;
}

/* GET /runs */
static void handle_runs(struct httpd_req *req, void *arg)
{
	struct service *sv = ((struct standin *)arg)->target;

	standin_reply(req, 200,
		      json_pack("{s:O, s:I}", "runs", sv->runs, "total",
				(json_int_t)sv->total));
}

/* Exits the process immediately. */
static bool die(void *target, const json_t *value, char *err, size_t err_size)
{
	(void)target;
	(void)value;
	(void)err;
	(void)err_size;
	_exit(EXIT_DIED);
}

/* Initializes the counts. */
static void start(struct standin *s)
{
	struct service *sv = s->target;

	sv->runs = json_object();
	counter_register(&runs_counter);
}

/* Frees the counts. */
static void release(void *target)
{
	struct service *sv = target;

	json_decref(sv->runs);
}

int main(int argc, char **argv)
{
	struct service service = {
		.status = 200,
		.standin = {
			.program = "serviced",
			.doc = "Stand-in for a plain service.",
			.settings = settings,
			.target = &service,
			.routes = routes,
			.start = start,
			.release = release,
		},
	};

	return standin_run(&service.standin, argc, argv);
}
