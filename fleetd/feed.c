/*
 * Sends state to the cdmentryds of this instance: a snapshot when one connects,
 * then at each tick a delta with all changes since the last message.
 */
#include "fleetd/feed.h"

#include <stdlib.h>
#include <string.h>

#include "fleetd/demands.h"
#include "fleetd/endpoints.h"
#include "fleetd/gossip.h"
#include "fleetd/roster.h"
#include "fleetd/suspects.h"
#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

/* One connected cdmentryd. */
struct feed_entry {
	struct frame_conn *conn;
	char *entry_address;
	char *operator_address;
	uint64_t sent_sequence; /* of the last message sent to it */
	uint64_t config_version; /* in force, as it reports */
};

/* The connected cdmentryds. */
struct feed {
	struct feed_entry *entries;
	size_t n;
};

/* The contents of one message with their storage. */
struct selection {
	Cdm__Member *members;
	Cdm__Member **member_list;
	size_t n_members;
	Cdm__EndpointState *endpoints;
	Cdm__EndpointState **endpoint_list;
	size_t n_endpoints;
	Cdm__Suspicion *suspicions;
	Cdm__Suspicion **suspicion_list;
	size_t n_suspicions;
};

static struct counter feeds = {
	.name = "cdmfleetd_entryds",
	.help = "Connected cdmentryds of this instance.",
	.kind = COUNTER_GAUGE,
};
static struct counter deltas = {
	.name = "cdmfleetd_deltas",
	.help = "Deltas sent to cdmentryds.",
};
static struct counter observations = {
	.name = "cdmfleetd_observations",
	.help = "Observations received from cdmentryds.",
};

static struct feed_entry *feed_find(struct feed *feed, struct frame_conn *c);
static void select_changes(struct fleetd *f, uint64_t since,
			   struct selection *s);
static void selection_release(struct selection *s);
static void send_snapshot(struct fleetd *f, struct feed_entry *e);
static void send_delta(struct fleetd *f, struct feed_entry *e);
static void announce_entries(struct fleetd *f);

/* Returns an empty list and registers the counters. */
struct feed *feed_new(struct fleetd *f)
{
	(void)f;
	counter_register(&feeds);
	counter_register(&deltas);
	counter_register(&observations);
	return xcalloc(1, sizeof(struct feed));
}

void feed_free(struct feed *feed)
{
	size_t i;

	for (i = 0; i < feed->n; i++) {
		free(feed->entries[i].entry_address);
		free(feed->entries[i].operator_address);
	}
	free(feed->entries);
	free(feed);
}

/* Returns the version in force on the whole instance: that of this process,
 * or the lowest that a connected cdmentryd reports. */
uint64_t feed_config_version(const struct fleetd *f)
{
	uint64_t version = f->config ? f->config->version : 0;
	size_t i;

	for (i = 0; f->feed && i < f->feed->n; i++)
		if (f->feed->entries[i].config_version < version)
			version = f->feed->entries[i].config_version;
	return version;
}

/* Returns the number of connected cdmentryds. */
size_t feed_count(const struct fleetd *f)
{
	return f->feed->n;
}

/* Sends each cdmentryd the changes since the last message to it. */
void feed_tick(struct fleetd *f)
{
	size_t i;

	for (i = 0; i < f->feed->n; i++)
		if (f->feed->entries[i].sent_sequence < f->sequence)
			send_delta(f, &f->feed->entries[i]);
}

/* Adds a cdmentryd that has sent its hello, and sends it a snapshot. */
void feed_opened(struct fleetd *f, struct frame_conn *c,
		 const Cdm__Hello *hello)
{
	struct feed *feed = f->feed;
	struct feed_entry *e;

	if (strcmp(hello->instance, f->settings->instance) != 0)
		log_msg(LOG_WARNING, "entryd-instance", NULL,
			"a cdmentryd of instance %s connected to the cdmfleetd "
			"of instance %s; its settings name the wrong "
			"control_address",
			hello->instance, f->settings->instance);
	feed->entries = xreallocarray(feed->entries, feed->n + 1,
				      sizeof(*feed->entries));
	e = &feed->entries[feed->n++];
	memset(e, 0, sizeof(*e));
	e->conn = c;
	if (hello->entry_address)
		e->entry_address = xstrdup(hello->entry_address);
	if (hello->operator_address)
		e->operator_address = xstrdup(hello->operator_address);
	counter_set(&feeds, (double)feed->n);
	announce_entries(f);
	send_snapshot(f, e);
}

/* Removes a cdmentryd whose connection has closed. */
void feed_closed(struct fleetd *f, struct frame_conn *c)
{
	struct feed *feed = f->feed;
	struct feed_entry *e = feed_find(feed, c);

	if (!e)
		return;
	free(e->entry_address);
	free(e->operator_address);
	*e = feed->entries[--feed->n];
	counter_set(&feeds, (double)feed->n);
	announce_entries(f);
}

/* Handles an observation message of a cdmentryd. */
void feed_observed(struct fleetd *f, struct frame_conn *c,
		   const Cdm__Observation *m)
{
	struct feed_entry *e = feed_find(f->feed, c);

	counter_add(&observations, 1);
	if (e && m->has_config_version &&
	    e->config_version != m->config_version) {
		e->config_version = m->config_version;
		gossip_config_changed(f);
	}
	endpoints_observed(f, m->endpoints, m->n_endpoints);
	suspects_received(f, m->suspicions, m->n_suspicions);
	if (m->n_demands)
		demands_observed(f, c, m);
}

/* Passes demands on to the cdmentryds except the one they came from. */
void feed_forward(struct fleetd *f, const struct frame_conn *except,
		  const Cdm__Observation *m)
{
	size_t i;

	for (i = 0; i < f->feed->n; i++)
		if (f->feed->entries[i].conn != except)
			frame_send(f->feed->entries[i].conn,
				   CDM__FRAME_TYPE__FRAME_OBSERVATION,
				   &m->base);
}

/* Returns the connected cdmentryds as JSON. */
json_t *feed_status(const struct fleetd *f)
{
	json_t *list = json_array();
	const struct feed_entry *e;
	size_t i;

	for (i = 0; i < f->feed->n; i++) {
		e = &f->feed->entries[i];
		json_array_append_new(
			list, json_pack("{s:s?, s:s?, s:I}", "entry_address",
					e->entry_address, "operator_address",
					e->operator_address, "config_version",
					(json_int_t)e->config_version));
	}
	return list;
}

/* Returns the cdmentryd of a connection, or NULL. */
static struct feed_entry *feed_find(struct feed *feed, struct frame_conn *c)
{
	size_t i;

	for (i = 0; i < feed->n; i++)
		if (feed->entries[i].conn == c)
			return &feed->entries[i];
	return NULL;
}

/* Publishes the addresses where callers reach this instance. */
static void announce_entries(struct fleetd *f)
{
	struct feed *feed = f->feed;
	const char **addresses = xcalloc(feed->n, sizeof(*addresses));
	size_t n = 0;
	size_t i;

	for (i = 0; i < feed->n; i++)
		if (feed->entries[i].entry_address)
			addresses[n++] = feed->entries[i].entry_address;
	roster_set_entry_addresses(f, addresses, n);
	free(addresses);
}

/* Collects everything whose last change is after the sequence since. */
static void select_changes(struct fleetd *f, uint64_t since,
			   struct selection *s)
{
	const struct roster *r = f->roster;
	size_t i;

	memset(s, 0, sizeof(*s));
	s->members = xcalloc(r->n, sizeof(*s->members));
	s->member_list = xcalloc(r->n, sizeof(Cdm__Member *));
	for (i = 0; i < r->n; i++) {
		if (r->entries[i].changed_seq <= since)
			continue;
		s->member_list[s->n_members] = &s->members[s->n_members];
		roster_pack(&r->entries[i], &s->members[s->n_members++]);
	}
	s->endpoints = endpoints_changes(f, since, &s->n_endpoints);
	s->endpoint_list =
		xcalloc(s->n_endpoints, sizeof(Cdm__EndpointState *));
	for (i = 0; i < s->n_endpoints; i++)
		s->endpoint_list[i] = &s->endpoints[i];
	s->suspicions = suspects_changes(f, since, &s->n_suspicions);
	s->suspicion_list = xcalloc(s->n_suspicions, sizeof(Cdm__Suspicion *));
	for (i = 0; i < s->n_suspicions; i++)
		s->suspicion_list[i] = &s->suspicions[i];
}

/* Frees the storage of a message's contents. */
static void selection_release(struct selection *s)
{
	free(s->members);
	free(s->member_list);
	free(s->endpoints);
	free(s->endpoint_list);
	free(s->suspicions);
	free(s->suspicion_list);
}

/* Sends the complete state. */
static void send_snapshot(struct fleetd *f, struct feed_entry *e)
{
	Cdm__Snapshot m = CDM__SNAPSHOT__INIT;
	struct selection s;

	roster_sync(f);
	select_changes(f, 0, &s);
	m.sequence = f->sequence;
	m.config_version = f->config ? f->config->version : 0;
	if (f->config) {
		m.has_config = 1;
		m.config.data = (uint8_t *)f->config->text;
		m.config.len = f->config->text_len;
	}
	m.members = s.member_list;
	m.n_members = s.n_members;
	m.endpoints = s.endpoint_list;
	m.n_endpoints = s.n_endpoints;
	m.suspicions = s.suspicion_list;
	m.n_suspicions = s.n_suspicions;
	m.has_leaving = 1;
	m.leaving = f->leaving;
	if (frame_send(e->conn, CDM__FRAME_TYPE__FRAME_SNAPSHOT, &m.base))
		e->sent_sequence = f->sequence;
	selection_release(&s);
}

/* Sends the changes since the last message. */
static void send_delta(struct fleetd *f, struct feed_entry *e)
{
	Cdm__Delta m = CDM__DELTA__INIT;
	struct selection s;

	select_changes(f, e->sent_sequence, &s);
	m.sequence = f->sequence;
	if (f->config && f->config_changed > e->sent_sequence) {
		m.has_config_version = 1;
		m.config_version = f->config->version;
		m.has_config = 1;
		m.config.data = (uint8_t *)f->config->text;
		m.config.len = f->config->text_len;
	}
	m.members = s.member_list;
	m.n_members = s.n_members;
	m.endpoints = s.endpoint_list;
	m.n_endpoints = s.n_endpoints;
	m.suspicions = s.suspicion_list;
	m.n_suspicions = s.n_suspicions;
	if (f->leaving_changed > e->sent_sequence) {
		m.has_leaving = 1;
		m.leaving = f->leaving;
	}
	if (frame_send(e->conn, CDM__FRAME_TYPE__FRAME_DELTA, &m.base))
		e->sent_sequence = f->sequence;
	counter_add(&deltas, 1);
	selection_release(&s);
}
