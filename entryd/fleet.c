/*
 * Connection to this instance's cdmfleetd.  Received updates are applied to the
 * tables, and this process's observations are sent.  While the connection is
 * down, the process continues with the last known state.
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
	uint64_t reconnect_at; /* ms */
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
static bool apply_snapshot(struct entryd *e, const uint8_t *data, size_t len);
static bool apply_delta(struct entryd *e, const uint8_t *data, size_t len);
static bool apply_observation(struct entryd *e, const uint8_t *data,
			      size_t len);
static void apply_config(struct entryd *e, uint64_t number,
			 const ProtobufCBinaryData *text);
static void send_version(struct entryd *e);

static const struct frame_ops fleet_ops = {
	.on_open = on_open,
	.on_message = on_message,
	.on_close = on_close,
};

/* Allocates the connection's state; fleet_tick() connects. */
struct fleet *fleet_new(struct entryd *e)
{
	(void)e;
	counter_register(&connected);
	counter_register(&version);
	return xcalloc(1, sizeof(struct fleet));
}

/* Closes the connection and prevents reconnection. */
void fleet_stop(struct entryd *e)
{
	e->fleet->stopping = true;
	if (e->fleet->conn)
		frame_close(e->fleet->conn);
}

/* Frees the state after the loop has closed the connection. */
void fleet_free(struct fleet *f)
{
	free(f);
}

/* Connects if there is no connection. */
void fleet_tick(struct entryd *e, uint64_t now)
{
	struct fleet *f = e->fleet;

	if (f->conn || f->stopping || now < f->reconnect_at)
		return;
	f->conn = frame_connect(e->loop, e->settings->fleet_address, &fleet_ops,
				e);
}

/* Sends an observation, with this instance as its sender.  Returns false if
 * cdmfleetd is not connected. */
bool fleet_observe(struct entryd *e, Cdm__Observation *m)
{
	struct fleet *f = e->fleet;

	if (!f->open)
		return false;
	m->instance = e->settings->instance;
	return frame_send(f->conn, CDM__FRAME_TYPE__FRAME_OBSERVATION,
			  &m->base);
}

/* Returns whether cdmfleetd is connected. */
bool fleet_connected(const struct entryd *e)
{
	return e->fleet->open;
}

/* Sends the hello message and the configuration version in force. */
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
	send_version(e);
}

/* Handles one message.  Returns false if it is malformed. */
static bool on_message(struct frame_conn *c, void *arg, uint8_t type,
		       const uint8_t *data, size_t len)
{
	struct entryd *e = arg;

	(void)c;
	switch (type) {
	case CDM__FRAME_TYPE__FRAME_SNAPSHOT:
		return apply_snapshot(e, data, len);
	case CDM__FRAME_TYPE__FRAME_DELTA:
		return apply_delta(e, data, len);
	case CDM__FRAME_TYPE__FRAME_OBSERVATION:
		return apply_observation(e, data, len);
	default:
		return false;
	}
}

/* Schedules a reconnection after RECONNECT_MS. */
static void on_close(struct frame_conn *c, void *arg, const char *why)
{
	struct entryd *e = arg;
	struct fleet *f = e->fleet;

	(void)c;
	if (f->open && !f->stopping)
		log_msg(LOG_WARNING, "fleet-lost", NULL,
			"lost connection to cdmfleetd at %s: %s; continuing "
			"with the last known state",
			e->settings->fleet_address, why);
	f->open = false;
	f->conn = NULL;
	f->reconnect_at = entryd_now(e) + RECONNECT_MS;
	counter_set(&connected, 0);
}

/* Applies a snapshot of the whole state.  Returns false if it is malformed. */
static bool apply_snapshot(struct entryd *e, const uint8_t *data, size_t len)
{
	Cdm__Snapshot *m = cdm__snapshot__unpack(NULL, len, data);

	if (!m)
		return false;
	if (m->has_config)
		apply_config(e, m->config_version, &m->config);
	members_receive(e, m->members, m->n_members);
	endpoints_receive(e, m->endpoints, m->n_endpoints);
	suspects_receive(e, m->suspicions, m->n_suspicions);
	if (m->has_leaving && m->leaving)
		entryd_leave(e, "the instance is leaving");
	cdm__snapshot__free_unpacked(m, NULL);
	return true;
}

/* Applies a delta.  Returns false if it is malformed. */
static bool apply_delta(struct entryd *e, const uint8_t *data, size_t len)
{
	Cdm__Delta *m = cdm__delta__unpack(NULL, len, data);

	if (!m)
		return false;
	if (m->has_config && m->has_config_version)
		apply_config(e, m->config_version, &m->config);
	members_receive(e, m->members, m->n_members);
	endpoints_receive(e, m->endpoints, m->n_endpoints);
	suspects_receive(e, m->suspicions, m->n_suspicions);
	if (m->has_leaving && m->leaving)
		entryd_leave(e, "the instance is leaving");
	cdm__delta__free_unpacked(m, NULL);
	return true;
}

/* Applies the demands that another instance of a shard published.  Returns
 * false if the message is malformed. */
static bool apply_observation(struct entryd *e, const uint8_t *data, size_t len)
{
	Cdm__Observation *m = cdm__observation__unpack(NULL, len, data);

	if (!m)
		return false;
	if (m->instance)
		orgs_receive(e, m->instance, m->demands, m->n_demands);
	cdm__observation__free_unpacked(m, NULL);
	return true;
}

/* Applies a configuration if it is newer than the one in force. */
static void apply_config(struct entryd *e, uint64_t number,
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
			"version %llu cannot be parsed and is not applied: %s",
			(unsigned long long)number, err);
		return;
	}
	entryd_adopt(e, config);
	counter_set(&version, (double)number);
	send_version(e);
}

/* Sends the version of the configuration in force to cdmfleetd. */
static void send_version(struct entryd *e)
{
	Cdm__Observation m = CDM__OBSERVATION__INIT;

	m.has_config_version = 1;
	m.config_version = e->config ? e->config->version : 0;
	fleet_observe(e, &m);
}
