/*
 * Names and addresses of the instances, by id.  policy/member.c decides their
 * membership states; the roster copies the states at each tick, so that each
 * change is sent to the cdmentryds once.
 */
#include "fleetd/roster.h"

#include <stdlib.h>
#include <string.h>

#include "fleetd/gossip.h"
#include "fleetd/peers.h"
#include "lib/ident.h"
#include "lib/xalloc.h"

static struct roster_entry *roster_add(struct roster *r, uint64_t id);
static size_t roster_lower_bound(const struct roster *r, uint64_t id);
static void entry_release(struct roster_entry *e);
static void roster_prune(struct roster *r, const struct member_table *t);
static bool set_string(char **field, const char *value);
static bool set_strings(struct string_list *list, const char *const *items,
			size_t n);
static void release_strings(struct string_list *list);

/* Returns a roster that contains only this instance. */
struct roster *roster_new(struct fleetd *f)
{
	struct roster *r = xcalloc(1, sizeof(*r));
	struct roster_entry *e = roster_add(r, f->self);

	e->name = xstrdup(f->settings->instance);
	e->zone = xstrdup(f->settings->zone);
	e->control_address = xstrdup(f->settings->advertise_address);
	e->operator_address = xstrdup(f->settings->operator_address);
	e->changed_seq = fleetd_next_sequence(f);
	return r;
}

void roster_free(struct roster *r)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		entry_release(&r->entries[i]);
	free(r->entries);
	free(r);
}

/* Frees the strings of an entry. */
static void entry_release(struct roster_entry *e)
{
	free(e->name);
	free(e->zone);
	free(e->control_address);
	free(e->operator_address);
	release_strings(&e->entry_addresses);
}

/* Returns the instance with the id, or NULL. */
struct roster_entry *roster_find(const struct roster *r, uint64_t id)
{
	size_t i = roster_lower_bound(r, id);

	if (i < r->n && r->entries[i].id == id)
		return &r->entries[i];
	return NULL;
}

/* Stores an instance's record from a digest.  Records of this instance and
 * records with an older incarnation are ignored.  Returns false if the record
 * is malformed. */
bool roster_update(struct fleetd *f, const Cdm__Member *m)
{
	struct roster_entry *e;
	char host[64];
	uint16_t port;
	bool changed;

	if (!*m->name || m->id != name_id(m->name) ||
	    !address_parse(m->control_address, host, sizeof(host), &port))
		return false;
	e = roster_find(f->roster, m->id);
	if (m->id == f->self || (e && m->incarnation < e->incarnation))
		return true;
	if (!e)
		e = roster_add(f->roster, m->id);
	e->incarnation = m->incarnation;
	changed = set_string(&e->name, m->name);
	changed |= set_string(&e->zone, m->zone);
	changed |= set_string(&e->control_address, m->control_address);
	if (m->operator_address)
		changed |=
			set_string(&e->operator_address, m->operator_address);
	changed |= set_strings(&e->entry_addresses,
			       (const char *const *)m->entry_addresses,
			       m->n_entry_addresses);
	if (changed)
		e->changed_seq = fleetd_next_sequence(f);
	return true;
}

/* Adds an instance of the platform's list.  A known instance is left unchanged,
 * because its own record is more complete than the list. */
void roster_add_listed(struct fleetd *f, const struct platform_instance *i)
{
	uint64_t id = name_id(i->name);
	struct roster_entry *e = roster_find(f->roster, id);

	if (e)
		return;
	e = roster_add(f->roster, id);
	set_string(&e->name, i->name);
	set_string(&e->zone, i->zone);
	set_string(&e->control_address, i->address);
	e->changed_seq = fleetd_next_sequence(f);
}

/* Sets the addresses at which callers reach this instance. */
void roster_set_entry_addresses(struct fleetd *f, const char *const *addresses,
				size_t n)
{
	struct roster_entry *e = roster_find(f->roster, f->self);

	if (!set_strings(&e->entry_addresses, addresses, n))
		return;
	e->changed_seq = fleetd_next_sequence(f);
	gossip_self_changed(f);
}

/* Copies states and configuration versions from the membership table.  Closes
 * the connections of instances that became suspect or dead. */
void roster_sync(struct fleetd *f)
{
	const struct member_table *t = gossip_members(f);
	struct roster_entry *e;
	const struct member *m;
	size_t i;

	if (f->roster->n > t->n)
		roster_prune(f->roster, t);
	for (i = 0; i < t->n; i++) {
		m = &t->members[i];
		e = roster_find(f->roster, m->u.id);
		if (!e)
			continue;
		if (e->serving != member_serves(m)) {
			e->serving = member_serves(m);
			fleetd_members_changed(f);
		}
		if (e->state == m->u.state &&
		    e->config_version == m->u.config_version)
			continue;
		if (m->u.state == MEMBER_SUSPECT || m->u.state == MEMBER_DEAD)
			peers_disconnect(f, e->id);
		e->state = m->u.state;
		e->config_version = m->u.config_version;
		e->changed_seq = fleetd_next_sequence(f);
	}
}

/* Removes the instances that are no longer in the membership table. */
static void roster_prune(struct roster *r, const struct member_table *t)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < r->n; i++) {
		if (member_find(t, r->entries[i].id))
			r->entries[kept++] = r->entries[i];
		else
			entry_release(&r->entries[i]);
	}
	r->n = kept;
}

/* Fills a message, which points to the entry's strings.  The caller may
 * overwrite the state and the incarnation. */
void roster_pack(const struct roster_entry *e, Cdm__Member *out)
{
	cdm__member__init(out);
	out->id = e->id;
	out->name = e->name;
	out->zone = e->zone;
	out->control_address = e->control_address;
	out->operator_address = e->operator_address;
	out->entry_addresses = e->entry_addresses.items;
	out->n_entry_addresses = e->entry_addresses.n;
	out->state = roster_state_to_wire(e->state);
	out->incarnation = e->incarnation;
	out->has_config_version = 1;
	out->config_version = e->config_version;
}

/* Converts a state to the wire; MEMBER_UNKNOWN is sent as dead. */
Cdm__MemberState roster_state_to_wire(enum member_state state)
{
	switch (state) {
	case MEMBER_ALIVE:
		return CDM__MEMBER_STATE__MEMBER_ALIVE;
	case MEMBER_LEAVING:
		return CDM__MEMBER_STATE__MEMBER_LEAVING;
	case MEMBER_SUSPECT:
		return CDM__MEMBER_STATE__MEMBER_SUSPECT;
	case MEMBER_LEFT:
		return CDM__MEMBER_STATE__MEMBER_LEFT;
	case MEMBER_UNKNOWN:
	case MEMBER_DEAD:
		break;
	}
	return CDM__MEMBER_STATE__MEMBER_DEAD;
}

/* Returns the index of the first entry whose id is not below id. */
static size_t roster_lower_bound(const struct roster *r, uint64_t id)
{
	size_t low = 0;
	size_t high = r->n;
	size_t mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (r->entries[mid].id < id)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Adds an entry for an id that has none.  Pointers to other entries become
 * invalid. */
static struct roster_entry *roster_add(struct roster *r, uint64_t id)
{
	size_t i = roster_lower_bound(r, id);

	r->entries = xreallocarray(r->entries, r->n + 1, sizeof(*r->entries));
	memmove(&r->entries[i + 1], &r->entries[i],
		(r->n - i) * sizeof(*r->entries));
	memset(&r->entries[i], 0, sizeof(r->entries[i]));
	r->entries[i].id = id;
	r->n++;
	return &r->entries[i];
}

/* Replaces a string; returns true if the value changed. */
static bool set_string(char **field, const char *value)
{
	if (*field && !strcmp(*field, value))
		return false;
	free(*field);
	*field = xstrdup(value);
	return true;
}

/* Replaces a list; returns true if the value changed. */
static bool set_strings(struct string_list *list, const char *const *items,
			size_t n)
{
	size_t i;

	for (i = 0; i < n && i < list->n; i++)
		if (strcmp(items[i], list->items[i]) != 0)
			break;
	if (i == n && n == list->n)
		return false;
	release_strings(list);
	list->items = xcalloc(n, sizeof(*list->items));
	for (i = 0; i < n; i++)
		list->items[i] = xstrdup(items[i]);
	list->n = n;
	return true;
}

/* Frees the strings of a list and empties it. */
static void release_strings(struct string_list *list)
{
	while (list->n)
		free(list->items[--list->n]);
	free(list->items);
	list->items = NULL;
}
