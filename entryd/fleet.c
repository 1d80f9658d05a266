/*
 * The connection to this instance's cdmfleetd: what it tells is taken into the
 * tables, and what is seen here is told to it.  While it is down, the process
 * goes on with what it knows.
 */
#include "entryd/fleet.h"

#include <stdlib.h>

#include "entryd/endpoints.h"
#include "entryd/members.h"
#include "entryd/orgs.h"
#include "entryd/suspects.h"
#include "lib/counters.h"
#include "lib/frame.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define RECONNECT_MS 300

struct fleet {
	struct frame_conn *conn; /* or NULL */
	bool open;
	bool stopping;
	uint64_t connect_at; /* ms */
};

static struct counter connected = {
	.name = "cdmentryd_fleet_connected",
	.help = "1 while the instance's cdmfleetd is connected.",
	.kind = COUNTER_GAUGE,
};
static struct counter version = {
	.name = "cdmentryd_config_version",
	.help = "Version of the configuration in force.",
	.kind = COUNTER_GAUGE,
};

static void on_open(struct frame_conn *c, void *arg);
static bool on_message(struct frame_conn *c, void *arg, uint8_t type,
		       const uint8_t *data, size_t len);
static void on_close(struct frame_conn *c, void *arg, const char *why);
static bool take_snapshot(struct entryd *e, const uint8_t *data, size_t len);
static bool take_delta(struct entryd *e, const uint8_t *data, size_t len);
static bool take_observation(struct entryd *e, const uint8_t *data, size_t len);
static void take_config(struct entryd *e, uint64_t number,
			const ProtobufCBinaryData *text);
static void tell_version(struct entryd *e);

static const struct frame_ops fleet_ops = {
	.on_open = on_open,
	.on_message = on_message,
	.on_close = on_close,
};

/* Prepares the connection; fleet_tick() makes it. */
struct fleet *fleet_new(struct entryd *e)
{
	(void)e;
	counter_register(&connected);
	counter_register(&version);
	return xcalloc(1, sizeof(struct fleet));
}

/* Closes the connection for good. */
void fleet_stop(struct entryd *e)
{
	e->fleet->stopping = true;
	if (e->fleet->conn)
		frame_close(e->fleet->conn);
}

/* Frees it after the loop has closed the connection. */
void fleet_free(struct fleet *f)
{
	free(f);
}

/* Connects if there is no connection. */
void fleet_tick(struct entryd *e, uint64_t now)
{
	struct fleet *f = e->fleet;

	if (f->conn || f->stopping || now < f->connect_at)
		return;
	f->conn = frame_connect(e->loop, e->settings->fleet_address, &fleet_ops,
				e);
}

/* Sends an observation; false if cdmfleetd is not connected. */
bool fleet_observe(struct entryd *e, Cdm__Observation *m)
{
	struct fleet *f = e->fleet;

	if (!f->open)
		return false;
	m->instance = e->settings->instance;
	return frame_send(f->conn, CDM__FRAME_TYPE__FRAME_OBSERVATION,
			  &m->base);
}

/* Tells whether cdmfleetd is connected. */
bool fleet_connected(const struct entryd *e)
{
	return e->fleet->open;
}

/* Greets cdmfleetd. */
static void on_open(struct frame_conn *c, void *arg)
{
	struct entryd *e = arg;
	Cdm__Hello hello = CDM__HELLO__INIT;

	e->fleet->open = true;
	counter_set(&connected, 1);
	hello.instance = e->settings->instance;
	hello.entry_address = e->settings->advertise_address;
	hello.operator_address = e->settings->operator_address;
	frame_send(c, CDM__FRAME_TYPE__FRAME_HELLO, &hello.base);
	tell_version(e);
}

/* Takes one message; false if it is malformed. */
static bool on_message(struct frame_conn *c, void *arg, uint8_t type,
		       const uint8_t *data, size_t len)
{
	struct entryd *e = arg;

	(void)c;
	switch (type) {
	case CDM__FRAME_TYPE__FRAME_SNAPSHOT:
		return take_snapshot(e, data, len);
	case CDM__FRAME_TYPE__FRAME_DELTA:
		return take_delta(e, data, len);
	case CDM__FRAME_TYPE__FRAME_OBSERVATION:
		return take_observation(e, data, len);
	default:
		return false;
	}
}

/* Waits a little before connecting anew. */
static void on_close(struct frame_conn *c, void *arg, const char *why)
{
	struct entryd *e = arg;
	struct fleet *f = e->fleet;

	(void)c;
	if (f->open && !f->stopping)
		log_msg(LOG_WARNING, "fleet-lost", NULL,
			"lost cdmfleetd at %s: %s; going on with what is known",
			e->settings->fleet_address, why);
	f->open = false;
	f->conn = NULL;
	f->connect_at = entryd_now(e) + RECONNECT_MS;
	counter_set(&connected, 0);
}

/* Takes the whole state. */
static bool take_snapshot(struct entryd *e, const uint8_t *data, size_t len)
{
	Cdm__Snapshot *m = cdm__snapshot__unpack(NULL, len, data);

	if (!m)
		return false;
	if (m->has_config)
		take_config(e, m->config_version, &m->config);
	members_heard(e, m->members, m->n_members);
	endpoints_heard(e, m->endpoints, m->n_endpoints);
	suspects_received(e, m->suspicions, m->n_suspicions);
	if (m->has_leaving && m->leaving)
		entryd_leave(e, "the instance is leaving");
	cdm__snapshot__free_unpacked(m, NULL);
	return true;
}

/* Takes what changed. */
static bool take_delta(struct entryd *e, const uint8_t *data, size_t len)
{
	Cdm__Delta *m = cdm__delta__unpack(NULL, len, data);

	if (!m)
		return false;
	if (m->has_config && m->has_config_version)
		take_config(e, m->config_version, &m->config);
	members_heard(e, m->members, m->n_members);
	endpoints_heard(e, m->endpoints, m->n_endpoints);
	suspects_received(e, m->suspicions, m->n_suspicions);
	if (m->has_leaving && m->leaving)
		entryd_leave(e, "the instance is leaving");
	cdm__delta__free_unpacked(m, NULL);
	return true;
}

/* Takes the demands that another instance of a shard published. */
static bool take_observation(struct entryd *e, const uint8_t *data, size_t len)
{
	Cdm__Observation *m = cdm__observation__unpack(NULL, len, data);

	if (!m)
		return false;
	if (m->instance)
		orgs_heard(e, m->instance, m->demands, m->n_demands);
	cdm__observation__free_unpacked(m, NULL);
	return true;
}

/* Puts a newer configuration in force; an older one never replaces it. */
static void take_config(struct entryd *e, uint64_t number,
			const ProtobufCBinaryData *text)
{
	struct config *config;
	char err[512];

	if (e->config && number <= e->config->version)
		return;
	config = config_parse((const char *)text->data, text->len,
			      "configuration", number, err, sizeof(err));
	if (!config) {
		log_msg(LOG_ERR, "config", NULL,
			"version %llu cannot be read and is not in force: %s",
			(unsigned long long)number, err);
		return;
	}
	entryd_adopt(e, config);
	counter_set(&version, (double)number);
	tell_version(e);
}

/* Tells cdmfleetd which version is in force here. */
static void tell_version(struct entryd *e)
{
	Cdm__Observation m = CDM__OBSERVATION__INIT;

	m.has_config_version = 1;
	m.config_version = e->config ? e->config->version : 0;
	fleet_observe(e, &m);
}
