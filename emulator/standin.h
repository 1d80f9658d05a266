#ifndef EMULATOR_STANDIN_H
#define EMULATOR_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <uv.h>

#include "lib/daemon_signals.h"
#include "lib/httpd.h"

#define STANDIN_MAX_ROUTES 16

enum standin_type {
	STANDIN_INTEGER, /* int64_t in [min, max] */
	STANDIN_DECIMAL, /* double in [min, max] */
	STANDIN_BOOLEAN, /* bool */
	STANDIN_STRING, /* char *, owned by the target */
	STANDIN_CHOICE, /* int, index into choices */
	STANDIN_ACTION, /* executed when set; has no value */
};

/* A setting is both a long option and a key of POST /control. */
struct standin_setting {
	const char *name; /* as in JSON; options use '-' instead of '_' */
	enum standin_type type;
	size_t offset; /* of the field in the target */
	double min;
	double max;
	const char *const *choices; /* NULL-terminated */
	const char *help;
	/* For STANDIN_ACTION; false with a message refuses the value. */
	bool (*act)(void *target, const json_t *value, char *err,
		    size_t err_size);
};

/* One stand-in: a process with an HTTP interface and settings that can be
 * changed at any time.  It is the argument of the handlers of its routes. */
struct standin {
	const char *program;
	const char *doc;
	const struct standin_setting *settings; /* terminated by a NULL name */
	void *target; /* holds the settings' fields */
	const struct httpd_route *routes; /* terminated by a NULL path */
	void (*start)(struct standin *s); /* after parsing the command line */
	void (*changed)(void *target); /* after settings may have changed */
	void (*release)(void *target); /* before the process exits */
	struct httpd_route all_routes[STANDIN_MAX_ROUTES + 1];
	uv_loop_t *loop;
	struct httpd *httpd;
	struct httpd *control; /* on a separate address, or NULL */
	struct daemon_signals signals;
	uv_timer_t stop_timer;
	uv_timer_t held_timer;
	struct held_request *held;
	char *address;
	char *control_address;
	bool stopping;
	bool listening;
};

int standin_run(struct standin *s, int argc, char **argv);
void standin_listen(struct standin *s, bool on);
void standin_reply(struct httpd_req *req, int status, json_t *body);
void standin_error(struct httpd_req *req, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
json_t *standin_body(struct httpd_req *req);
void standin_abort(struct httpd_req *req);
void standin_hold(struct standin *s, struct httpd_req *req, double due_ms,
		  void (*handle)(struct httpd_req *req, void *arg), void *arg);
double standin_now_ms(void);

#endif /* EMULATOR_STANDIN_H */
