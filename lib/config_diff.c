/*
 * Computes the differences between two configurations, table by table.
 */
#include "lib/config_diff.h"

#include <bsd/string.h>
#include <stdlib.h>
#include <string.h>

#include "lib/config_section.h"
#include "lib/xalloc.h"

/* The array of changes being built. */
struct diff {
	struct config_change *changes;
	size_t n;
};

static size_t section_count(const struct config *c,
			    const struct config_section *s);
static const void *section_item(const struct config *c,
				const struct config_section *s, size_t i);
static const void *section_find(const struct config *c,
				const struct config_section *s,
				const char *name);
static const char *item_name(const void *item);
static void diff_section(struct diff *d, const struct config_section *s,
			 const struct config *before,
			 const struct config *after);
static void diff_cluster(struct diff *d, const struct config *before,
			 const struct config *after);
static void diff_item(struct diff *d, const struct config_section *s,
		      const void *before, const void *after);
static bool fields_equal(const struct setting *s, const void *a, const void *b);
static bool strings_equal(const char *a, const char *b);
static struct config_change *add_change(struct diff *d,
					enum config_change_kind kind,
					const char *section, const char *name);

/* Stores an array of the tables that differ in *changes, in section order, and
 * returns its length; the caller frees it.  before may be NULL. */
size_t config_diff(const struct config *before, const struct config *after,
		   struct config_change **changes)
{
	static const struct config none;
	struct diff d = { 0 };
	size_t i;

	diff_cluster(&d, before ? before : &none, after);
	for (i = 0; i < CONFIG_SECTIONS; i++)
		diff_section(&d, &config_sections[i], before ? before : &none,
			     after);
	*changes = d.changes;
	return d.n;
}

/* Returns the display name of a kind of change. */
const char *config_change_name(enum config_change_kind kind)
{
	switch (kind) {
	case CONFIG_ADDED:
		return "added";
	case CONFIG_REMOVED:
		return "removed";
	case CONFIG_CHANGED:
		return "changed";
	}
	abort();
}

/* Returns the number of elements of a section. */
static size_t section_count(const struct config *c,
			    const struct config_section *s)
{
	return *(const size_t *)((const char *)c + s->n_offset);
}

/* Returns element i of a section. */
static const void *section_item(const struct config *c,
				const struct config_section *s, size_t i)
{
	const char *items = *(char *const *)((const char *)c + s->items_offset);

	return items + i * s->item_size;
}

/* Returns the name of an element, which is its first field. */
static const char *item_name(const void *item)
{
	return *(char *const *)item;
}

/* Returns the element called name, or NULL. */
static const void *section_find(const struct config *c,
				const struct config_section *s,
				const char *name)
{
	size_t i;

	for (i = 0; i < section_count(c, s); i++)
		if (!strcmp(item_name(section_item(c, s, i)), name))
			return section_item(c, s, i);
	return NULL;
}

/* Compares the [cluster] tables, of which each configuration has one. */
static void diff_cluster(struct diff *d, const struct config *before,
			 const struct config *after)
{
	struct config_change *change;
	bool same_key = strings_equal(before->cursor_key, after->cursor_key);
	bool same_ttl = before->entries_ttl_s == after->entries_ttl_s;

	if (same_key && same_ttl)
		return;
	change = add_change(d, before->text ? CONFIG_CHANGED : CONFIG_ADDED,
			    "cluster", "cluster");
	if (!before->text)
		return;
	if (!same_key)
		strlcat(change->keys, "cursor_key", sizeof(change->keys));
	if (!same_key && !same_ttl)
		strlcat(change->keys, ", ", sizeof(change->keys));
	if (!same_ttl)
		strlcat(change->keys, "entries_ttl_s", sizeof(change->keys));
}

/* Compares the tables of one section, matching them by name. */
static void diff_section(struct diff *d, const struct config_section *s,
			 const struct config *before,
			 const struct config *after)
{
	const void *item;
	const void *old;
	size_t i;

	for (i = 0; i < section_count(before, s); i++) {
		item = section_item(before, s, i);
		if (!section_find(after, s, item_name(item)))
			add_change(d, CONFIG_REMOVED, s->key, item_name(item));
	}
	for (i = 0; i < section_count(after, s); i++) {
		item = section_item(after, s, i);
		old = section_find(before, s, item_name(item));
		if (old)
			diff_item(d, s, old, item);
		else
			add_change(d, CONFIG_ADDED, s->key, item_name(item));
	}
}

/* Compares two elements of the same name, key by key. */
static void diff_item(struct diff *d, const struct config_section *s,
		      const void *before, const void *after)
{
	struct config_change *change = NULL;
	const struct setting *setting;

	for (setting = s->settings; setting->key; setting++) {
		if (fields_equal(setting,
				 (const char *)before + setting->offset,
				 (const char *)after + setting->offset))
			continue;
		if (change)
			strlcat(change->keys, ", ", sizeof(change->keys));
		else
			change = add_change(d, CONFIG_CHANGED, s->key,
					    item_name(after));
		strlcat(change->keys, setting->key, sizeof(change->keys));
	}
}

/* Returns whether two fields described by s have equal values. */
static bool fields_equal(const struct setting *s, const void *a, const void *b)
{
	const struct string_list *x = a;
	const struct string_list *y = b;
	size_t i;

	switch (s->type) {
	case SETTING_STRING:
	case SETTING_ADDRESS:
		return strings_equal(*(char *const *)a, *(char *const *)b);
	case SETTING_STRINGS:
		if (x->n != y->n)
			return false;
		for (i = 0; i < x->n; i++)
			if (strcmp(x->items[i], y->items[i]) != 0)
				return false;
		return true;
	case SETTING_INTEGER:
		return *(const int64_t *)a == *(const int64_t *)b;
	case SETTING_DECIMAL:
		return *(const double *)a == *(const double *)b;
	case SETTING_BOOLEAN:
		return *(const bool *)a == *(const bool *)b;
	case SETTING_CHOICE:
		return *(const int *)a == *(const int *)b;
	case SETTING_TABLE:
		return true;
	}
	abort();
}

/* Returns whether two strings are equal; NULL equals only NULL. */
static bool strings_equal(const char *a, const char *b)
{
	if (!a || !b)
		return a == b;
	return !strcmp(a, b);
}

/* Appends a change; the pointer is valid until the next call. */
static struct config_change *add_change(struct diff *d,
					enum config_change_kind kind,
					const char *section, const char *name)
{
	struct config_change *change;

	d->changes = xreallocarray(d->changes, d->n + 1, sizeof(*d->changes));
	change = &d->changes[d->n++];
	memset(change, 0, sizeof(*change));
	change->kind = kind;
	change->section = section;
	change->name = name;
	return change;
}
