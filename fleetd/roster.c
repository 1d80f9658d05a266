/*
 * Names and addresses of the instances, by id.  Membership itself is decided
 * in policy/member.c; the roster copies each state at the tick, so that a
 * change is told to the cdmentryds once.
 */
#include "fleetd/roster.h"

#include <stdlib.h>
#include <string.h>

#include "fleetd/gossip.h"
#include "fleetd/peers.h"
#include "lib/ident.h"
#include "lib/xalloc.h"

static struct roster_entry *roster_add(struct roster *r, uint64_t id);
static size_t roster_place(const struct roster *r, uint64_t id);
static void entry_release(struct roster_entry *e);
static void roster_prune(struct roster *r, const struct member_table *t);
static bool set_string(char **field, const char *value);
static bool set_strings(struct string_list *list, const char *const *items,
			size_t n);
static void release_strings(struct string_list *list);

/* Returns a roster that holds this instance. */
struct roster *roster_new(struct fleetd *f)
{
	struct roster *r = xcalloc(1, sizeof(*r));
	struct roster_entry *e = roster_add(r, f->self);

	e->name = xstrdup(f->settings->instance);
	e->zone = xstrdup(f->settings->zone);
	e->control_address = xstrdup(f->settings->advertise_address);
	e->operator_address = xstrdup(f->settings->operator_address);
	e->changed = fleetd_next_sequence(f);
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
	size_t i = roster_place(r, id);

	if (i < r->n && r->entries[i].id == id)
		return &r->entries[i];
	return NULL;
}

/* Takes a record from another instance unless it is older than ours.  Returns
 * false if it is malformed. */
bool roster_put(struct fleetd *f, const Cdm__Member *m)
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
		e->changed = fleetd_next_sequence(f);
	return true;
}

/* Takes a line of the platform's list, which knows less than the instance
 * itself, so that it only adds. */
void roster_list(struct fleetd *f, const struct platform_instance *i)
{
	uint64_t id = name_id(i->name);
	struct roster_entry *e = roster_find(f->roster, id);

	if (e)
		return;
	e = roster_add(f->roster, id);
	set_string(&e->name, i->name);
	set_string(&e->zone, i->zone);
	set_string(&e->control_address, i->address);
	e->changed = fleetd_next_sequence(f);
}

/* Sets where callers reach this instance. */
void roster_set_entries(struct fleetd *f, const char *const *addresses,
			size_t n)
{
	struct roster_entry *e = roster_find(f->roster, f->self);

	if (!set_strings(&e->entry_addresses, addresses, n))
		return;
	e->changed = fleetd_next_sequence(f);
	gossip_self_changed(f);
}

/* Copies states and versions from the membership table. */
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
		if (e->serves != member_serves(m)) {
			e->serves = member_serves(m);
			fleetd_members_changed(f);
		}
		if (e->state == m->u.state &&
		    e->config_version == m->u.config_version)
			continue;
		if (m->u.state == MEMBER_SUSPECT || m->u.state == MEMBER_DEAD)
			peers_drop(f, e->id);
		e->state = m->u.state;
		e->config_version = m->u.config_version;
		e->changed = fleetd_next_sequence(f);
	}
}

/* Drops the instances that the membership table has forgotten. */
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

/* Fills a message, which borrows the entry's strings; state and incarnation
 * are the entry's and may be replaced by the caller. */
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
	out->state = roster_wire_state(e->state);
	out->incarnation = e->incarnation;
	out->has_config_version = 1;
	out->config_version = e->config_version;
}

/* Returns a state as it goes over the wire; one never heard is not alive. */
Cdm__MemberState roster_wire_state(enum member_state state)
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
static size_t roster_place(const struct roster *r, uint64_t id)
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

/* Adds an entry that is not there yet; others may move. */
static struct roster_entry *roster_add(struct roster *r, uint64_t id)
{
	size_t i = roster_place(r, id);

	r->entries = xreallocarray(r->entries, r->n + 1, sizeof(*r->entries));
	memmove(&r->entries[i + 1], &r->entries[i],
		(r->n - i) * sizeof(*r->entries));
	memset(&r->entries[i], 0, sizeof(r->entries[i]));
	r->entries[i].id = id;
	r->n++;
	return &r->entries[i];
}

/* Replaces a string; true if it differs from the one before. */
static bool set_string(char **field, const char *value)
{
	if (*field && !strcmp(*field, value))
		return false;
	free(*field);
	*field = xstrdup(value);
	return true;
}

/* Replaces a list; true if it differs from the one before. */
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

static void release_strings(struct string_list *list)
{
	while (list->n)
		free(list->items[--list->n]);
	free(list->items);
	list->items = NULL;
}
