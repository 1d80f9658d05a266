/*
 * Parser for the operators' file.  Tables of struct setting describe the keys
 * of each section; config_check.c then validates references between sections,
 * so that every struct config is complete and consistent.
 */
#include "lib/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/config_check.h"
#include "lib/config_section.h"
#include "lib/xalloc.h"

#define CURSOR_KEY_MIN 16 /* bytes */
#define COUNT_MAX 1e9
#define TIMEOUT_MAX_MS 3600e3

static const char *const resume_names[] = { "latency", "work", NULL };
static const char *const kind_names[] = { "model", "plain", NULL };
static const char *const measure_names[] = { "resume-latency", "extra-work",
					     "refusals", "first-token", NULL };

static const struct setting root_settings[] = {
	{ .key = "cluster", .type = SETTING_TABLE, .required = true },
	{ .key = "model", .type = SETTING_TABLE },
	{ .key = "organisation", .type = SETTING_TABLE },
	{ .key = "service", .type = SETTING_TABLE },
	{ .key = "endpoint", .type = SETTING_TABLE },
	{ .key = "objective", .type = SETTING_TABLE },
	{ .key = NULL },
};

static const struct setting cluster_settings[] = {
	{ .key = "cursor_key",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config, cursor_key),
	  .required = true },
	{ .key = "entries_ttl_s",
	  .type = SETTING_INTEGER,
	  .offset = offsetof(struct config, entries_ttl_s),
	  .min = 1,
	  .max = 3600 },
	{ .key = NULL },
};

static const struct setting model_settings[] = {
	{ .key = "name",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_model, name),
	  .required = true },
	{ .key = "context_tokens",
	  .type = SETTING_INTEGER,
	  .offset = offsetof(struct config_model, context_tokens),
	  .min = 1,
	  .max = COUNT_MAX },
	{ .key = NULL },
};

static const struct setting organisation_settings[] = {
	{ .key = "name",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_organisation, name),
	  .required = true },
	{ .key = "key",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_organisation, key),
	  .required = true },
	{ .key = "weight",
	  .type = SETTING_DECIMAL,
	  .offset = offsetof(struct config_organisation, weight),
	  .min = 0.001,
	  .max = 1e6 },
	{ .key = "max_running",
	  .type = SETTING_INTEGER,
	  .offset = offsetof(struct config_organisation, max_running),
	  .min = 1,
	  .max = COUNT_MAX },
	{ .key = "max_tokens",
	  .type = SETTING_INTEGER,
	  .offset = offsetof(struct config_organisation, max_tokens),
	  .min = 1,
	  .max = COUNT_MAX },
	{ .key = "shard_size",
	  .type = SETTING_INTEGER,
	  .offset = offsetof(struct config_organisation, shard_size),
	  .min = 0,
	  .max = 1024 },
	{ .key = "services",
	  .type = SETTING_STRINGS,
	  .offset = offsetof(struct config_organisation, services) },
	{ .key = NULL },
};

static const struct setting service_settings[] = {
	{ .key = "name",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_service, name),
	  .required = true },
	{ .key = "kind",
	  .type = SETTING_CHOICE,
	  .offset = offsetof(struct config_service, kind),
	  .required = true,
	  .choices = kind_names },
	{ .key = "model",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_service, model) },
	{ .key = "resume",
	  .type = SETTING_CHOICE,
	  .offset = offsetof(struct config_service, resume),
	  .choices = resume_names },
	{ .key = "idempotent",
	  .type = SETTING_STRINGS,
	  .offset = offsetof(struct config_service, idempotent) },
	{ .key = "timeout_ms",
	  .type = SETTING_INTEGER,
	  .offset = offsetof(struct config_service, timeout_ms),
	  .min = 1,
	  .max = TIMEOUT_MAX_MS },
	{ .key = "queue_max",
	  .type = SETTING_INTEGER,
	  .offset = offsetof(struct config_service, queue_max),
	  .min = 0,
	  .max = 1e6 },
	{ .key = NULL },
};

static const struct setting endpoint_settings[] = {
	{ .key = "name",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_endpoint, name),
	  .required = true },
	{ .key = "service",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_endpoint, service),
	  .required = true },
	{ .key = "address",
	  .type = SETTING_ADDRESS,
	  .offset = offsetof(struct config_endpoint, address),
	  .required = true },
	{ .key = "zone",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_endpoint, zone),
	  .required = true },
	{ .key = "checks_fencing",
	  .type = SETTING_BOOLEAN,
	  .offset = offsetof(struct config_endpoint, checks_fencing) },
	{ .key = "leaving",
	  .type = SETTING_BOOLEAN,
	  .offset = offsetof(struct config_endpoint, leaving) },
	{ .key = "slots",
	  .type = SETTING_INTEGER,
	  .offset = offsetof(struct config_endpoint, slots),
	  .min = 1,
	  .max = 1e6 },
	{ .key = NULL },
};

static const struct setting objective_settings[] = {
	{ .key = "name",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_objective, name),
	  .required = true },
	{ .key = "service",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_objective, service) },
	{ .key = "organisation",
	  .type = SETTING_STRING,
	  .offset = offsetof(struct config_objective, organisation) },
	{ .key = "measure",
	  .type = SETTING_CHOICE,
	  .offset = offsetof(struct config_objective, measure),
	  .required = true,
	  .choices = measure_names },
	{ .key = "threshold",
	  .type = SETTING_DECIMAL,
	  .offset = offsetof(struct config_objective, threshold),
	  .min = 0,
	  .max = COUNT_MAX },
	{ .key = "target",
	  .type = SETTING_DECIMAL,
	  .offset = offsetof(struct config_objective, target),
	  .required = true,
	  .min = 0.001,
	  .max = 0.999999 },
	{ .key = NULL },
};

static const struct config_model model_defaults = { .context_tokens = 32768 };
static const struct config_organisation organisation_defaults = {
	.weight = 1,
	.max_running = 1000,
	.max_tokens = 65536,
};
static const struct config_service service_defaults = {
	.timeout_ms = 30000,
	.queue_max = 256,
};
static const struct config_endpoint endpoint_defaults = { .slots = 8 };
static const struct config_objective objective_defaults;

#define SECTION(name)                                             \
	{                                                         \
		.key = #name, .settings = name##_settings,        \
		.defaults = &name##_defaults,                     \
		.item_size = sizeof(struct config_##name),        \
		.items_offset = offsetof(struct config, name##s), \
		.n_offset = offsetof(struct config, n_##name##s), \
	}

const struct config_section config_sections[CONFIG_SECTIONS] = {
	SECTION(model),	   SECTION(organisation), SECTION(service),
	SECTION(endpoint), SECTION(objective),
};

static unsigned char **section_items_ptr(struct config *c,
					 const struct config_section *s);
static size_t *section_count_ptr(struct config *c,
				 const struct config_section *s);
static bool read_cluster(struct config *c, const struct toml_node *root,
			 const char *file, char *err, size_t err_size);
static bool read_section(struct config *c, const struct config_section *s,
			 const struct toml_node *root, const char *file,
			 char *err, size_t err_size);
static bool read_all(struct config *c, const struct toml_node *root,
		     const char *file, char *err, size_t err_size);

/* Returns the address of the pointer to the section's elements. */
static unsigned char **section_items_ptr(struct config *c,
					 const struct config_section *s)
{
	return (unsigned char **)((char *)c + s->items_offset);
}

/* Returns the address of the section's element count. */
static size_t *section_count_ptr(struct config *c,
				 const struct config_section *s)
{
	return (size_t *)((char *)c + s->n_offset);
}

/* Reads the [cluster] table. */
static bool read_cluster(struct config *c, const struct toml_node *root,
			 const char *file, char *err, size_t err_size)
{
	const struct toml_node *table = toml_get(root, "cluster");

	if (table->type != TOML_TABLE) {
		snprintf(err, err_size, "%s:%d: cluster: must be a table", file,
			 table->line);
		return false;
	}
	if (!settings_read(table, file, cluster_settings, c, err, err_size))
		return false;
	if (strlen(c->cursor_key) < CURSOR_KEY_MIN) {
		snprintf(err, err_size,
			 "%s:%d: cursor_key: must have at least %d characters",
			 file, toml_get(table, "cursor_key")->line,
			 CURSOR_KEY_MIN);
		return false;
	}
	return true;
}

/* Reads all [[tables]] of one section, in file order. */
static bool read_section(struct config *c, const struct config_section *s,
			 const struct toml_node *root, const char *file,
			 char *err, size_t err_size)
{
	const struct toml_node *array = toml_get(root, s->key);
	const struct toml_node *table;
	unsigned char *item;
	size_t i;

	if (!array)
		return true;
	if (array->type != TOML_ARRAY) {
		snprintf(err, err_size, "%s:%d: %s: must be written [[%s]]",
			 file, array->line, s->key, s->key);
		return false;
	}
	*section_items_ptr(c, s) = xcalloc(array->n_children, s->item_size);
	for (i = 0; i < array->n_children; i++) {
		table = &array->children[i];
		if (table->type != TOML_TABLE) {
			snprintf(err, err_size,
				 "%s:%d: %s: must be written [[%s]]", file,
				 table->line, s->key, s->key);
			return false;
		}
		item = *section_items_ptr(c, s) + i * s->item_size;
		memcpy(item, s->defaults, s->item_size);
		*section_count_ptr(c, s) = i + 1;
		if (!settings_read(table, file, s->settings, item, err,
				   err_size))
			return false;
	}
	return true;
}

/* Reads all tables of the file, then checks the references between them. */
static bool read_all(struct config *c, const struct toml_node *root,
		     const char *file, char *err, size_t err_size)
{
	size_t i;

	/* all keys of the root are tables, so this stores nothing in c */
	if (!settings_read(root, file, root_settings, c, err, err_size))
		return false;
	if (!read_cluster(c, root, file, err, err_size))
		return false;
	for (i = 0; i < CONFIG_SECTIONS; i++)
		if (!read_section(c, &config_sections[i], root, file, err,
				  err_size))
			return false;
	return config_check(c, root, file, err, err_size);
}

/* Parses the operators' file, len bytes at text; file is its name for messages.
 * Returns a configuration with one reference, or NULL and a message of the form
 * "FILE:LINE: KEY: what is wrong" in err. */
struct config *config_parse(const char *text, size_t len, const char *file,
			    uint64_t version, char *err, size_t err_size)
{
	struct toml_node *root = toml_parse(text, len, file, err, err_size);
	struct config *c;

	if (!root)
		return NULL;
	c = xcalloc(1, sizeof(*c));
	c->refs = 1;
	c->version = version;
	c->text = xstrndup(text, len);
	c->text_len = len;
	c->entries_ttl_s = 5;
	if (!read_all(c, root, file, err, err_size)) {
		config_unref(c);
		c = NULL;
	}
	toml_free(root);
	return c;
}

/* Adds a reference and returns c. */
struct config *config_ref(struct config *c)
{
	c->refs++;
	return c;
}

/* Drops a reference and frees the configuration with the last one.  NULL is
 * allowed. */
void config_unref(struct config *c)
{
	const struct config_section *s;
	size_t i, k;

	if (!c || --c->refs)
		return;
	for (i = 0; i < CONFIG_SECTIONS; i++) {
		s = &config_sections[i];
		for (k = 0; k < *section_count_ptr(c, s); k++)
			settings_release(s->settings, *section_items_ptr(c, s) +
							      k * s->item_size);
		free(*section_items_ptr(c, s));
	}
	settings_release(cluster_settings, c);
	free(c->text);
	free(c);
}

/* Returns the organisation whose bearer token is key, or NULL. */
const struct config_organisation *config_organisation_by_key(
	const struct config *c, const char *key)
{
	size_t i;

	for (i = 0; i < c->n_organisations; i++)
		if (!strcmp(c->organisations[i].key, key))
			return &c->organisations[i];
	return NULL;
}

/* Returns the service called name, or NULL. */
const struct config_service *config_service_by_name(const struct config *c,
						    const char *name)
{
	size_t i;

	for (i = 0; i < c->n_services; i++)
		if (!strcmp(c->services[i].name, name))
			return &c->services[i];
	return NULL;
}

/* Returns the service that serves the model called model, or NULL. */
const struct config_service *config_service_by_model(const struct config *c,
						     const char *model)
{
	size_t i;

	for (i = 0; i < c->n_services; i++)
		if (c->services[i].model &&
		    !strcmp(c->services[i].model, model))
			return &c->services[i];
	return NULL;
}

/* Returns the endpoint called name, or NULL. */
const struct config_endpoint *config_endpoint_by_name(const struct config *c,
						      const char *name)
{
	size_t i;

	for (i = 0; i < c->n_endpoints; i++)
		if (!strcmp(c->endpoints[i].name, name))
			return &c->endpoints[i];
	return NULL;
}
