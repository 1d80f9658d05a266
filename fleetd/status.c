/*
 * JSON responses for operators: the state of the fleet as this instance sees
 * it, and the changes that a configuration would make.
 */
#include "fleetd/status.h"

#include <stdlib.h>

#include "fleetd/confsync.h"
#include "fleetd/endpoints.h"
#include "fleetd/feed.h"
#include "fleetd/gossip.h"
#include "fleetd/leases.h"
#include "fleetd/roster.h"
#include "fleetd/suspects.h"
#include "lib/config_diff.h"

static json_t *instance_json(const struct roster_entry *e,
			     const struct member *m);
static json_t *instances_json(const struct fleetd *f);
static json_t *config_json(const struct fleetd *f);

/* Returns the whole status. */
json_t *status_json(const struct fleetd *f)
{
	return json_pack("{s:s, s:s, s:b, s:o, s:o, s:o, s:o, s:o, s:o}",
			 "instance", f->settings->instance, "zone",
			 f->settings->zone, "leaving", f->leaving, "config",
			 config_json(f), "instances", instances_json(f),
			 "endpoints", endpoints_status(f), "leases",
			 leases_status(f), "suspects", suspects_status(f),
			 "entryds", feed_status(f));
}

/* Returns the differences between a configuration and the one in force. */
json_t *status_plan(const struct fleetd *f, const struct config *after)
{
	struct config_change *changes;
	size_t n = config_diff(f->config, after, &changes);
	json_t *list = json_array();
	json_t *change;
	size_t i;

	for (i = 0; i < n; i++) {
		change = json_pack("{s:s, s:s, s:s, s:s}", "change",
				   config_change_name(changes[i].kind),
				   "section", changes[i].section, "name",
				   changes[i].name, "keys", changes[i].keys);
		json_array_append_new(list, change);
	}
	free(changes);
	return json_pack("{s:I, s:s, s:o}", "base",
			 (json_int_t)(f->config ? f->config->version : 0),
			 "author", confsync_author(f), "changes", list);
}

/* Returns the version, author and freshness of the configuration in force. */
static json_t *config_json(const struct fleetd *f)
{
	return json_pack("{s:I, s:s, s:s}", "version",
			 (json_int_t)(f->config ? f->config->version : 0),
			 "author", confsync_author(f), "standing",
			 confsync_freshness(f));
}

static json_t *instance_json(const struct roster_entry *e,
			     const struct member *m)
{
	json_t *entries = json_array();
	size_t i;

	for (i = 0; i < e->entry_addresses.n; i++)
		json_array_append_new(entries,
				      json_string(e->entry_addresses.items[i]));
	return json_pack("{s:s, s:s, s:s, s:I, s:s, s:s?, s:o}", "name",
			 e->name, "zone", e->zone, "state",
			 member_state_name(m->u.state), "config_version",
			 (json_int_t)m->u.config_version, "control_address",
			 e->control_address, "operator_address",
			 e->operator_address, "entries", entries);
}

/* Returns all instances of the membership table. */
static json_t *instances_json(const struct fleetd *f)
{
	const struct member_table *t = gossip_members(f);
	const struct roster_entry *e;
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < t->n; i++) {
		e = roster_find(f->roster, t->members[i].u.id);
		if (e)
			json_array_append_new(list,
					      instance_json(e, &t->members[i]));
	}
	return list;
}
