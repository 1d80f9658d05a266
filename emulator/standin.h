#ifndef EMULATOR_STANDIN_H
#define EMULATOR_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <uv.h>

#include "lib/httpd.h"

#define STANDIN_MAX_ROUTES 16

enum standin_type {
	STANDIN_INTEGER, /* int64_t within [min, max] */
	STANDIN_DECIMAL, /* double within [min, max] */
	STANDIN_BOOLEAN, /* bool */
	STANDIN_STRING, /* char *, owned by the target */
	STANDIN_CHOICE, /* int, index into choices */
	STANDIN_ACTION, /* done once when given; keeps no value */
};

/* A setting is a long option and a key of POST /control alike. */
struct standin_setting {
	const char *name; /* as in JSON; options have '-' in place of '_' */
	enum standin_type type;
	size_t offset; /* of the target's field */
	double min;
	double max;
	const char *const *choices; /* ends with NULL */
	const char *help;
	/* For an action; false refuses the value with a message. */
	bool (*act)(void *target, const json_t *value, char *err,
		    size_t err_size);
};

/* One stand-in: a process with an HTTP interface and settings that can be
 * changed at any time.  Handlers of its routes get it as their argument. */
struct standin {
	const char *program;
	const char *doc;
	const struct standin_setting *settings; /* ends with a NULL name */
	void *target; /* holds the settings' fields */
	const struct httpd_route *routes; /* ends with a NULL path */
	void (*start)(struct standin *s); /* the command line is read */
	void (*changed)(void *target); /* settings may have changed */
	void (*release)(void *target); /* before the process ends */
	struct httpd_route all_routes[STANDIN_MAX_ROUTES + 1];
	uv_loop_t *loop;
	struct httpd *httpd;
	struct httpd *control; /* on an address of its own, or NULL */
	uv_signal_t signals[2];
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
