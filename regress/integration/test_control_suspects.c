/*
 * Crash records of requests: a record that one cdmentryd reports reaches every
 * instance, also one that is started later.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/frame.h"
#include "proto/control.pb-c.h"
#include "regress/control_fleet.h"

#define REQUEST 0xfeedfacecafebeefull

/* A connection to a cdmfleetd in the role of a cdmentryd. */
struct entryd {
	struct control_fleet *f;
	struct frame_conn *conn;
	bool snapshot; /* received */
	bool closed;
	json_int_t deaths; /* expected in every instance */
	bool blocked; /* likewise */
};

static void on_open(struct frame_conn *c, void *arg)
{
	Cdm__Hello m = CDM__HELLO__INIT;

	(void)arg;
	m.instance = "instance-1";
	frame_send(c, CDM__FRAME_TYPE__FRAME_HELLO, &m.base);
}

static bool on_message(struct frame_conn *c, void *arg, uint8_t type,
		       const uint8_t *data, size_t len)
{
	struct entryd *e = arg;

	(void)c;
	(void)data;
	(void)len;
	if (type == CDM__FRAME_TYPE__FRAME_SNAPSHOT)
		e->snapshot = true;
	return true;
}

static void on_close(struct frame_conn *c, void *arg, const char *why)
{
	struct entryd *e = arg;

	(void)c;
	(void)why;
	e->closed = true;
}

static const struct frame_ops ops = {
	.on_open = on_open,
	.on_message = on_message,
	.on_close = on_close,
};

static bool has_snapshot(void *arg)
{
	return ((struct entryd *)arg)->snapshot;
}

static bool is_closed(void *arg)
{
	return ((struct entryd *)arg)->closed;
}

/* Tells whether every instance has the expected record. */
static bool all_have_record(void *arg)
{
	struct entryd *e = arg;
	json_t *status;
	json_t *record;
	bool same;
	size_t i;

	for (i = 0; i < e->f->n; i++) {
		status = control_status(e->f, i);
		record = json_array_get(json_object_get(status, "suspects"), 0);
		same = record &&
		       json_integer_value(json_object_get(record, "deaths")) ==
			       e->deaths &&
		       json_is_true(json_object_get(record, "convicted")) ==
			       e->blocked;
		json_decref(status);
		if (!same)
			return false;
	}
	return true;
}

static void report(struct entryd *e, uint64_t death, bool blocked)
{
	Cdm__Observation m = CDM__OBSERVATION__INIT;
	Cdm__Suspicion s = CDM__SUSPICION__INIT;
	Cdm__Suspicion *list = &s;

	s.digest = REQUEST;
	s.deaths = &death;
	s.n_deaths = 1;
	s.has_convicted = 1;
	s.convicted = blocked;
	m.suspicions = &list;
	m.n_suspicions = 1;
	assert_true(frame_send(e->conn, CDM__FRAME_TYPE__FRAME_OBSERVATION,
			       &m.base));
}

static void test_spread(void **state)
{
	struct entryd e = { .f = control_fleet_new(3, 2) };

	(void)state;
	e.conn = frame_connect(harness_loop(e.f->h), e.f->instances[0].control,
			       &ops, &e);
	harness_until(e.f->h, has_snapshot, &e, "a snapshot is received");
	report(&e, 1, false);
	e.deaths = 1;
	harness_until(e.f->h, all_have_record, &e,
		      "every instance has one crash");
	report(&e, 1, false); /* a duplicate */
	report(&e, 2, true);
	e.deaths = 2;
	e.blocked = true;
	harness_until(e.f->h, all_have_record, &e,
		      "every instance blocks the request");
	control_start(e.f, 3);
	proc_kill(e.f->instances[1].proc);
	control_start(e.f, 1);
	harness_until(e.f->h, all_have_record, &e,
		      "new instances block the request");
	frame_close(e.conn);
	harness_until(e.f->h, is_closed, &e, "the connection is closed");
	control_fleet_free(e.f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
